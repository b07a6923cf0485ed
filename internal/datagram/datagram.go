// Package datagram implements the common format of all datagrams between softswitches: a byte for protocol and
// version, a CBOR array (RFC 8949), possibly a piggybacked second array, and the low 32 bits of the XXH3 hash of all
// bytes before, big-endian. The checksum detects damage, not forgery.
package datagram

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// MaxSize is the max size of a datagram between softswitches, in bytes (PROTOCOL, "Between softswitches").
const MaxSize = 256

// Overhead is the number of bytes that the version byte and the checksum add to the CBOR array.
const Overhead = 1 + checksumSize

// checksumSize is the size of the checksum in bytes.
const checksumSize = 4

// Errors that say why a received datagram is dropped.
var (
	// ErrMalformed is returned for input that is damaged or cannot be decoded.
	ErrMalformed = errors.New("garbled")
	// ErrVersion is returned for a datagram of another protocol or version.
	ErrVersion = errors.New("protocol version not supported")
)

// CBOR modes of all datagrams. Decoding bounds the size and nesting of the input and rejects indefinite lengths and tags.
var (
	encodingMode = func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	decodingMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: MaxSize, MaxMapPairs: 16, MaxNestedLevels: 4,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

// checksum returns the low 32 bits of the XXH3 hash of a datagram's bytes.
func checksum(b []byte) uint32 { return uint32(xxh3.Hash(b)) }

// Encode encodes v, a value that CBOR encodes as an array, as a datagram with the given version byte. It does not limit
// the size, and panics if v has no CBOR form.
func Encode(version byte, v any) []byte {
	body := EncodeItem(v)
	data := append(append(make([]byte, 0, len(body)+Overhead), version), body...)
	return binary.BigEndian.AppendUint32(data, checksum(data))
}

// Size returns the size in bytes of v encoded as by EncodeItem.
func Size(v any) int { return len(EncodeItem(v)) }

// IntSize returns the size of an encoded integer in bytes.
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

// Decode decodes a datagram of the given version and of at most maxSize bytes into v. The error is ErrMalformed or
// ErrVersion.
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
	if decodingMode.Unmarshal(body[1:], v) != nil {
		return ErrMalformed
	}
	return nil
}

// AppendPiggyback appends an encoded item of another protocol to a datagram, between its array and the checksum, so
// that the item needs no datagram of its own. A receiver that does not call SplitPiggyback finds the datagram
// malformed, so all members of a tier have to call it.
func AppendPiggyback(data, piggyback []byte) []byte {
	body := data[:len(data)-checksumSize]
	content := append(append(make([]byte, 0, len(data)+len(piggyback)), body...), piggyback...)
	return binary.BigEndian.AppendUint32(content, checksum(content))
}

// SplitPiggyback splits a datagram into the datagram without piggybacked data and the piggybacked data, which is
// empty if there is none. The version byte and the content are not checked. The error is ErrMalformed.
func SplitPiggyback(data []byte) (bare, piggyback []byte, err error) {
	if len(data) < Overhead || len(data) > MaxSize {
		return nil, nil, ErrMalformed
	}
	body, trailer := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
	if checksum(body) != binary.BigEndian.Uint32(trailer) {
		return nil, nil, ErrMalformed
	}
	var array cbor.RawMessage
	piggyback, err = decodingMode.UnmarshalFirst(body[1:], &array)
	if err != nil {
		return nil, nil, ErrMalformed
	}
	if len(piggyback) == 0 {
		return data, nil, nil
	}
	bare = body[:len(body)-len(piggyback)]
	return binary.BigEndian.AppendUint32(append(make([]byte, 0, len(bare)+checksumSize), bare...), checksum(bare)), piggyback, nil
}

// DecodeItem decodes a single array, such as piggybacked data, into v. The error is ErrMalformed.
func DecodeItem(data []byte, v any) error {
	if decodingMode.Unmarshal(data, v) != nil {
		return ErrMalformed
	}
	return nil
}

// EncodeItem encodes v, a single array. It panics if v has no CBOR form.
func EncodeItem(v any) []byte {
	body, err := encodingMode.Marshal(v)
	if err != nil {
		panic(err) // all types encoded here have a CBOR form
	}
	return body
}

// FixChecksum returns the datagram with its last four bytes replaced by the correct checksum. Data of fewer than four
// bytes is returned unchanged.
func FixChecksum(data []byte) []byte {
	if len(data) < checksumSize {
		return data
	}
	body := data[:len(data)-checksumSize]
	return binary.BigEndian.AppendUint32(append([]byte(nil), body...), checksum(body))
}
