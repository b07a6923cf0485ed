// Package wire speaks the simulator's binary wire and maps it to the library's events and actions.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

const (
	batchHeaderSize  = 20
	replyHeaderSize  = 12
	eventRecordSize  = 48
	actionRecordSize = 16
	listEntrySize    = 23
)

var byteOrder = binary.LittleEndian

// Batch is one frame of events.
type Batch struct {
	Seq    uint32
	Clock  uint64 // microseconds
	events []byte
	tail   []byte
}

// Len is the number of records.
func (b *Batch) Len() int { return len(b.events) / eventRecordSize }

// record is record i, its code first.
func (b *Batch) record(i int) []byte { return b.events[i*eventRecordSize : (i+1)*eventRecordSize] }

// span is a stretch of the tail, of count items of the given size.
func (b *Batch) tailBytes(offset, count, size uint32) ([]byte, error) {
	end := uint64(offset) + uint64(count)*uint64(size)
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("%d x %d bytes at %d reach beyond the tail of %d", count, size, offset, len(b.tail))
	}
	return b.tail[offset:end], nil
}

// ReadBatch reads one frame. It returns io.EOF at an end of input between frames. Memory grows with
// what has come in, not with the length that the header claims.
func ReadBatch(r io.Reader) (*Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if err == io.EOF {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: %w", err)
	}
	b := &Batch{Seq: byteOrder.Uint32(header[0:]), Clock: byteOrder.Uint64(header[12:])}
	length, count := byteOrder.Uint32(header[4:]), byteOrder.Uint32(header[8:])
	if uint64(count)*eventRecordSize > uint64(length) {
		return nil, fmt.Errorf("batch %d: %d records do not fit into %d bytes", b.Seq, count, length)
	}
	var body bytes.Buffer
	if n, err := io.CopyN(&body, r, int64(length)); err != nil {
		return nil, fmt.Errorf("batch %d record %d: frame cut short: %w", b.Seq, n/eventRecordSize, err)
	}
	b.events, b.tail = body.Bytes()[:count*eventRecordSize], body.Bytes()[count*eventRecordSize:]
	return b, nil
}

// Reply collects the actions that answer a batch.
type Reply struct {
	records []byte
	tail    []byte
}

// add appends a record of the given code and returns it to be filled in.
func (r *Reply) addRecord(code byte) []byte {
	var blank [actionRecordSize]byte
	blank[0] = code
	r.records = append(r.records, blank[:]...)
	return r.records[len(r.records)-actionRecordSize:]
}

// addText appends a record whose only field is a text in the tail.
func (r *Reply) addTextRecord(code byte, text string) {
	rec := r.addRecord(code)
	byteOrder.PutUint32(rec[1:], uint32(len(r.tail)))
	byteOrder.PutUint32(rec[5:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the batch of the given number and empties it.
func (r *Reply) WriteTo(w io.Writer, seq uint32) error {
	var header [replyHeaderSize]byte
	byteOrder.PutUint32(header[0:], seq)
	byteOrder.PutUint32(header[4:], uint32(len(r.records)/actionRecordSize))
	byteOrder.PutUint32(header[8:], uint32(len(r.records)+len(r.tail)))
	for _, part := range [][]byte{header[:], r.records, r.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("reply to batch %d: %w", seq, err)
		}
	}
	r.records, r.tail = r.records[:0], r.tail[:0]
	return nil
}

// float reads an f32.
func decodeFloat32(b []byte) float64 { return float64(math.Float32frombits(byteOrder.Uint32(b))) }
