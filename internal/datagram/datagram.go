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

// Max is the most that a datagram between softswitches may hold, in bytes (PROTOCOL, "Between softswitches").
const Max = 256

// Overhead is what the form takes beside the array, in bytes.
const Overhead = 1 + sumSize

const sumSize = 4

// Errors of a datagram that is passed over.
var (
	ErrGarbled = errors.New("garbled")
	ErrVersion = errors.New("of another version")
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
		m, err := cbor.DecOptions{MaxArrayElements: Max, MaxMapPairs: 16, MaxNestedLevels: 4,
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
	body, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // no field of ours has no form
	}
	data := append(append(make([]byte, 0, len(body)+Overhead), version), body...)
	return binary.BigEndian.AppendUint32(data, sum(data))
}

// Size is what an array takes by itself, in bytes.
func Size(v any) int {
	body, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(body)
}

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
		return ErrGarbled
	}
	body, tail := data[:len(data)-sumSize], data[len(data)-sumSize:]
	if sum(body) != binary.BigEndian.Uint32(tail) {
		return ErrGarbled
	}
	if body[0] != version {
		return ErrVersion
	}
	if decoding.Unmarshal(body[1:], v) != nil {
		return ErrGarbled
	}
	return nil
}

// Seal gives a datagram, whose last four bytes don't matter, the checksum that it should have.
func Seal(data []byte) []byte {
	if len(data) < sumSize {
		return data
	}
	body := data[:len(data)-sumSize]
	return binary.BigEndian.AppendUint32(append([]byte(nil), body...), sum(body))
}
