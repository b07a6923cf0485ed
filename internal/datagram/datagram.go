// Package datagram is the outer form of all datagrams between softswitches: a byte that says which protocol and version,
// a CBOR array (RFC 8949), and the low 32 bits of XXH3 over all before, big-endian. The checksum tells of damage, not of
// malice.
package datagram

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// MaxSize is the most that a datagram between softswitches may hold, in bytes (PROTOCOL, "Between softswitches").
const MaxSize = 256

// Overhead is what the form takes beside the array, in bytes.
const Overhead = 1 + checksumSize

const checksumSize = 4

// Errors of a datagram that is passed over.
var (
	ErrMalformed = errors.New("garbled")
	ErrVersion   = errors.New("of another version")
)

var (
	encMode = func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	decMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: MaxSize, MaxMapPairs: 16, MaxNestedLevels: 4,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

func checksum(b []byte) uint32 { return uint32(xxh3.Hash(b)) }

// Encode writes v, a struct that stands as an array, under this version byte.
func Encode(version byte, v any) []byte {
	body := EncodeItem(v)
	data := append(append(make([]byte, 0, len(body)+Overhead), version), body...)
	return binary.BigEndian.AppendUint32(data, checksum(data))
}

// Size is what an array takes by itself, in bytes.
func Size(v any) int { return len(EncodeItem(v)) }

// IntSize is what an integer takes in an array, in bytes.
func IntSize(value int64) int {
	if value < 0 {
		value = ^value
	}
	switch {
	case value < 24:
		return 1
	case value < 1<<8:
		return 2
	case value < 1<<16:
		return 3
	case value < 1<<32:
		return 5
	}
	return 9
}

// Decode reads a datagram of this version, of most bytes at most, into v. The error is ErrGarbled or ErrVersion.
func Decode(data []byte, version byte, maxSize int, v any) error {
	if len(data) < Overhead || len(data) > maxSize {
		return ErrMalformed
	}
	body, trailer := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
	if checksum(body) != binary.BigEndian.Uint32(trailer) {
		return ErrMalformed
	}
	if body[0] != version {
		return ErrVersion
	}
	if decMode.Unmarshal(body[1:], v) != nil {
		return ErrMalformed
	}
	return nil
}

// AppendPiggyback has something else ride on a datagram, behind its array and within the checksum, so that no more datagrams are sent
// for it. Who does not look for a rider takes the datagram for garbled; so all of a tier must.
func AppendPiggyback(data, piggyback []byte) []byte {
	body := data[:len(data)-checksumSize]
	content := append(append(make([]byte, 0, len(data)+len(piggyback)), body...), piggyback...)
	return binary.BigEndian.AppendUint32(content, checksum(content))
}

// SplitPiggyback takes a datagram and what rides on it apart: what it was without a rider, and the rider, empty if there is none.
func SplitPiggyback(data []byte) (bare, piggyback []byte, err error) {
	if len(data) < Overhead || len(data) > MaxSize {
		return nil, nil, ErrMalformed
	}
	body, trailer := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
	if checksum(body) != binary.BigEndian.Uint32(trailer) {
		return nil, nil, ErrMalformed
	}
	var array cbor.RawMessage
	piggyback, err = decMode.UnmarshalFirst(body[1:], &array)
	if err != nil {
		return nil, nil, ErrMalformed
	}
	if len(piggyback) == 0 {
		return data, nil, nil
	}
	bare = body[:len(body)-len(piggyback)]
	return binary.BigEndian.AppendUint32(append(make([]byte, 0, len(bare)+checksumSize), bare...), checksum(bare)), piggyback, nil
}

// DecodeItem reads one array by itself, such as a rider, into v. The error is ErrGarbled.
func DecodeItem(data []byte, v any) error {
	if decMode.Unmarshal(data, v) != nil {
		return ErrMalformed
	}
	return nil
}

// EncodeItem writes one array by itself.
func EncodeItem(v any) []byte {
	body, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // no field of ours has no form
	}
	return body
}

// FixChecksum gives a datagram, whose last four bytes don't matter, the checksum that it should have.
func FixChecksum(data []byte) []byte {
	if len(data) < checksumSize {
		return data
	}
	body := data[:len(data)-checksumSize]
	return binary.BigEndian.AppendUint32(append([]byte(nil), body...), checksum(body))
}
