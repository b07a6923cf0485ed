// Package transport provides what the TCP connections of all protocols need: a read buffer, an outbox that sends without
// waiting for the peer, and an acceptor that limits the number of open connections.
package transport

import (
	"errors"
	"io"
)

// ErrTooLong is returned by Buffer.Fill when the buffer is full at its maximum size.
var ErrTooLong = errors.New("message too long")

// Buffer is the read buffer of a connection. It grows when a message needs more room and is compacted in place.
type Buffer struct {
	data    []byte
	start   int // index in data of the first byte that is not consumed
	maxSize int
}

// NewBuffer returns a buffer of initialSize bytes that grows up to maxSize bytes.
func NewBuffer(initialSize, maxSize int) *Buffer {
	return &Buffer{data: make([]byte, 0, min(initialSize, maxSize)), maxSize: maxSize}
}

// Bytes returns the bytes that were read and not consumed. They are valid until the next Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Skip consumes n bytes.
func (b *Buffer) Skip(n int) { b.start += n }

// Fill makes room in the buffer and reads from r once. It returns ErrTooLong if there is no room. If r returns data together with
// an error, Fill returns nil.
func (b *Buffer) Fill(r io.Reader) error {
	if b.start > 0 {
		n := copy(b.data, b.data[b.start:])
		b.data, b.start = b.data[:n], 0
	}
	if len(b.data) == cap(b.data) {
		if cap(b.data) >= b.maxSize {
			return ErrTooLong
		}
		grown := make([]byte, len(b.data), min(2*cap(b.data), b.maxSize))
		copy(grown, b.data)
		b.data = grown
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// MaxSize returns the size up to which the buffer grows, in bytes.
func (b *Buffer) MaxSize() int { return b.maxSize }
