package maintenance

import (
	"elmseam/internal/datagram"
)

// kind is what a datagram is for.
type messageKind uint8

const (
	kindSlotRequest messageKind = iota // grant me a slot, or go on granting it
	kindGrant                          // granted
	kindRefusal                        // not granted: Items say who holds it, for how long, and the highest epoch seen
	kindRelease                        // I hold it no more
	kindQuery                          // what have you granted?
	kindState                          // this: Items are slot, holder, time left, epoch, of each that counts
	kindRecords                        // Items are records
	numKinds
)

// message is what a datagram holds.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	Tier        uint16
	Zone        int8 // of the sender; -1: not known
	Seq         uint32
	Slot        uint8
	Epoch       uint64
	Lease       uint32 // milliseconds
	Recovered   bool   // the sender knows what it may have granted
	RecordsHash uint32 // of the records that it has
	Name        string // its name
	Items       []int64
}

// nameMost is the longest name that is told, in bytes.
const maxNameLength = 24

const (
	itemsPerGrant  = 4
	itemsPerRecord = 7
)

func (r *Reducer) encode(msg message) []byte {
	msg.Tier, msg.Zone, msg.Name = uint16(r.cfg.TierSize), int8(r.cfg.Zone), r.cfg.Name
	if msg.Items == nil {
		msg.Items = []int64{}
	}
	return datagram.Encode(Version, msg)
}

// items write a record down.
func recordItems(member int, record Record) []int64 {
	return []int64{int64(member), int64(record.Generation), int64(record.RequestedAt), int64(record.Restarts), int64(record.Stage), int64(record.Slot), int64(record.Epoch)}
}

// decode reads a datagram. What makes no sense in it makes all of it garbled.
func (r *Reducer) decode(data []byte) (msg message, records map[int]Record, err error) {
	if err := datagram.Decode(data, Version, datagram.MaxSize, &msg); err != nil {
		return msg, nil, err
	}
	tierSize := int64(r.cfg.TierSize)
	if msg.Kind >= numKinds || len(msg.Name) > maxNameLength || msg.Slot >= Slots || msg.Kind == kindRefusal && len(msg.Items) != 3 ||
		msg.Kind == kindState && len(msg.Items)%itemsPerGrant != 0 || msg.Kind == kindRecords && len(msg.Items)%itemsPerRecord != 0 {
		return msg, nil, datagram.ErrMalformed
	}
	switch msg.Kind {
	case kindState:
		for items := msg.Items; len(items) > 0; items = items[itemsPerGrant:] {
			if items[0] < 0 || items[0] >= Slots || items[1] < -1 || items[1] >= tierSize || items[2] < 0 {
				return msg, nil, datagram.ErrMalformed
			}
		}
	case kindRecords:
		records = make(map[int]Record)
		for items := msg.Items; len(items) > 0; items = items[itemsPerRecord:] {
			record := Record{Generation: uint32(items[1]), RequestedAt: uint64(items[2]), Restarts: uint32(items[3]), Stage: Stage(items[4]), Slot: uint8(items[5]), Epoch: uint64(items[6])}
			if items[0] < 0 || items[0] >= tierSize || items[4] <= 0 || record.Stage >= numStages || record.Generation == 0 || items[5] < 0 || items[5] >= Slots {
				return msg, nil, datagram.ErrMalformed
			}
			records[int(items[0])] = record
		}
	}
	return msg, records, nil
}
