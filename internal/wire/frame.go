// Package wire is the adapter between the simulator and the decision module. It reads the simulator's binary batches of
// event records, hands the events to one elmseam.Controller per simulated instance, and writes the resulting actions as
// binary replies.
//
// All integers are little-endian, floats are IEEE 754 single precision, and offsets into a frame's tail are in bytes.
// A batch is a header, event records of fixed size, and a tail that holds data of variable length; a reply has the same
// structure with action records.
package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

// Sizes of the parts of a frame, in bytes.
const (
	batchHeaderSize  = 20
	replyHeaderSize  = 12
	eventRecordSize  = 48
	actionRecordSize = 16
	listEntrySize    = 23
)

// byteOrder is the byte order of all integers in a frame.
var byteOrder = binary.LittleEndian

// Batch is one frame of event records.
type Batch struct {
	Seq    uint32 // sequence number, repeated in the reply
	Clock  uint64 // simulated time of all events in the batch, in microseconds
	events []byte // event records, each of eventRecordSize bytes
	tail   []byte // data of variable length that the records refer to
}

// Len returns the number of event records.
func (b *Batch) Len() int { return len(b.events) / eventRecordSize }

// record returns event record i. Its first byte is the event code.
func (b *Batch) record(i int) []byte { return b.events[i*eventRecordSize : (i+1)*eventRecordSize] }

// tailItems returns the part of the tail that starts at offset and holds count items of size bytes each.
func (b *Batch) tailItems(offset, count, size uint32) ([]byte, error) {
	end := uint64(offset) + uint64(count)*uint64(size)
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("%d x %d bytes at offset %d reach beyond the tail of %d bytes", count, size, offset, len(b.tail))
	}
	return b.tail[offset:end], nil
}

// ReadBatch reads one frame. It returns io.EOF if the input ends between frames. Memory use grows with the bytes that
// were received, not with the length that the header claims.
func ReadBatch(input io.Reader) (*Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(input, header[:]); err != nil {
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
	if n, err := io.CopyN(&body, input, int64(length)); err != nil {
		return nil, fmt.Errorf("batch %d record %d: frame cut short: %w", b.Seq, n/eventRecordSize, err)
	}
	b.events, b.tail = body.Bytes()[:count*eventRecordSize], body.Bytes()[count*eventRecordSize:]
	return b, nil
}

// Reply collects the action records that answer a batch.
type Reply struct {
	records []byte // action records, each of actionRecordSize bytes
	tail    []byte // data of variable length that the records refer to
}

// addRecord appends a zeroed record with the given action code and returns the record for the caller to fill in.
func (r *Reply) addRecord(code byte) []byte {
	var blank [actionRecordSize]byte
	blank[0] = code
	r.records = append(r.records, blank[:]...)
	return r.records[len(r.records)-actionRecordSize:]
}

// addTextRecord appends a record whose only field refers to a text, and appends the text to the tail.
func (r *Reply) addTextRecord(code byte, text string) {
	rec := r.addRecord(code)
	byteOrder.PutUint32(rec[1:], uint32(len(r.tail)))
	byteOrder.PutUint32(rec[5:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the batch with sequence number seq and then empties the reply.
func (r *Reply) WriteTo(output io.Writer, seq uint32) error {
	var header [replyHeaderSize]byte
	byteOrder.PutUint32(header[0:], seq)
	byteOrder.PutUint32(header[4:], uint32(len(r.records)/actionRecordSize))
	byteOrder.PutUint32(header[8:], uint32(len(r.records)+len(r.tail)))
	for _, part := range [][]byte{header[:], r.records, r.tail} {
		if _, err := output.Write(part); err != nil {
			return fmt.Errorf("reply to batch %d: %w", seq, err)
		}
	}
	r.records, r.tail = r.records[:0], r.tail[:0]
	return nil
}
