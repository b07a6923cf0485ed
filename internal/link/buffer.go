// Package link holds what every connection here needs, whatever it speaks: a read buffer, an outbox
// that never blocks its user, and a listener that keeps within a number of connections.
package link

import (
	"errors"
	"io"
)

// ErrTooLong is returned by Fill when a message outgrows the buffer's limit.
var ErrTooLong = errors.New("message too long")

// Buffer is the one read buffer of a connection. It grows as a message needs and is compacted in place.
type Buffer struct {
	data    []byte
	start   int // first byte not consumed
	maxSize int
}

// NewBuffer makes a buffer that grows up to most bytes.
func NewBuffer(initialSize, maxSize int) *Buffer {
	return &Buffer{data: make([]byte, 0, min(initialSize, maxSize)), maxSize: maxSize}
}

// Bytes are those read and not consumed. They are valid until the next Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Skip consumes n bytes.
func (b *Buffer) Skip(n int) { b.start += n }

// Fill reads once, making room first.
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

// MaxSize is the size up to which the buffer grows.
func (b *Buffer) MaxSize() int { return b.maxSize }
