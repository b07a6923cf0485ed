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
const Overhead = 1 + sumSize

const sumSize = 4

// Errors of a datagram that is passed over.
var (
	ErrMalformed = errors.New("garbled")
	ErrVersion   = errors.New("of another version")
)

var (
	encoding = func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	decoding = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: MaxSize, MaxMapPairs: 16, MaxNestedLevels: 4,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

func sum(b []byte) uint32 { return uint32(xxh3.Hash(b)) }

// Encode writes v, a struct that stands as an array, under this version byte.
func Encode(version byte, v any) []byte {
	body := EncodeItem(v)
	data := append(append(make([]byte, 0, len(body)+Overhead), version), body...)
	return binary.BigEndian.AppendUint32(data, sum(data))
}

// Size is what an array takes by itself, in bytes.
func Size(v any) int { return len(EncodeItem(v)) }

// IntSize is what an integer takes in an array, in bytes.
func IntSize(w int64) int {
	if w < 0 {
		w = ^w
	}
	switch {
	case w < 24:
		return 1
	case w < 1<<8:
		return 2
	case w < 1<<16:
		return 3
	case w < 1<<32:
		return 5
	}
	return 9
}

// Decode reads a datagram of this version, of most bytes at most, into v. The error is ErrGarbled or ErrVersion.
func Decode(data []byte, version byte, most int, v any) error {
	if len(data) < Overhead || len(data) > most {
		return ErrMalformed
	}
	body, tail := data[:len(data)-sumSize], data[len(data)-sumSize:]
	if sum(body) != binary.BigEndian.Uint32(tail) {
		return ErrMalformed
	}
	if body[0] != version {
		return ErrVersion
	}
	if decoding.Unmarshal(body[1:], v) != nil {
		return ErrMalformed
	}
	return nil
}

// AppendPiggyback has something else ride on a datagram, behind its array and within the checksum, so that no more datagrams are sent
// for it. Who does not look for a rider takes the datagram for garbled; so all of a tier must.
func AppendPiggyback(data, rider []byte) []byte {
	body := data[:len(data)-sumSize]
	all := append(append(make([]byte, 0, len(data)+len(rider)), body...), rider...)
	return binary.BigEndian.AppendUint32(all, sum(all))
}

// SplitPiggyback takes a datagram and what rides on it apart: what it was without a rider, and the rider, empty if there is none.
func SplitPiggyback(data []byte) (bare, rider []byte, err error) {
	if len(data) < Overhead || len(data) > MaxSize {
		return nil, nil, ErrMalformed
	}
	body, tail := data[:len(data)-sumSize], data[len(data)-sumSize:]
	if sum(body) != binary.BigEndian.Uint32(tail) {
		return nil, nil, ErrMalformed
	}
	var first cbor.RawMessage
	rider, err = decoding.UnmarshalFirst(body[1:], &first)
	if err != nil {
		return nil, nil, ErrMalformed
	}
	if len(rider) == 0 {
		return data, nil, nil
	}
	bare = body[:len(body)-len(rider)]
	return binary.BigEndian.AppendUint32(append(make([]byte, 0, len(bare)+sumSize), bare...), sum(bare)), rider, nil
}

// DecodeItem reads one array by itself, such as a rider, into v. The error is ErrGarbled.
func DecodeItem(data []byte, v any) error {
	if decoding.Unmarshal(data, v) != nil {
		return ErrMalformed
	}
	return nil
}

// EncodeItem writes one array by itself.
func EncodeItem(v any) []byte {
	body, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // no field of ours has no form
	}
	return body
}

// FixChecksum gives a datagram, whose last four bytes don't matter, the checksum that it should have.
func FixChecksum(data []byte) []byte {
	if len(data) < sumSize {
		return data
	}
	body := data[:len(data)-sumSize]
	return binary.BigEndian.AppendUint32(append([]byte(nil), body...), sum(body))
}
