package maintenance

import (
	"unicode/utf8"

	"elmseam/internal/datagram"
)

// messageKind is the purpose of a datagram.
type messageKind uint8

// The kinds of messages.
const (
	kindSlotRequest messageKind = iota // requests a grant of Slot, or its renewal
	kindGrant                          // grants the request with the same sequence number
	kindRefusal                        // refuses the request; Items are the holder, the remaining time in milliseconds and the highest epoch known
	kindRelease                        // the sender releases Slot up to Epoch
	kindQuery                          // asks for the grants that the receiver knows
	kindState                          // answers a kindQuery; Items are slot, holder, remaining milliseconds and highest epoch, for each slot in use so far
	kindRecords                        // carries records in Items
	numKinds
)

// message is the content of a datagram.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	TierSize    uint16 // number of members of the sender's tier
	Zone        int8   // of the sender; -1: not known
	Seq         uint32 // number of the round, or nonce of the queries; repeated in the answers
	Slot        uint8
	Epoch       uint64
	LeaseMillis uint32 // in milliseconds
	Recovered   bool   // the sender knows which slots it may have granted
	RecordsHash uint32 // of the records that the sender has
	Name        string // of the sender
	Items       []int64
}

// maxNameLength is the maximum length in bytes of a name in a datagram; longer names are cut.
const maxNameLength = 24

// cutName cuts a name to maxNameLength bytes, between two characters.
func cutName(name string) string {
	if len(name) <= maxNameLength {
		return name
	}
	end := maxNameLength
	for end > 0 && !utf8.RuneStart(name[end]) {
		end--
	}
	return name[:end]
}

// Number of items for one entry of a kindState or kindRecords message.
const (
	itemsPerGrant  = 4
	itemsPerRecord = 7
)

// encode encodes a message with the tier size, zone and name of this member.
func (r *Reducer) encode(msg message) []byte {
	msg.TierSize, msg.Zone, msg.Name = uint16(r.cfg.TierSize), int8(r.cfg.Zone), r.cfg.Name
	if msg.Items == nil {
		msg.Items = []int64{}
	}
	return datagram.Encode(Version, msg)
}

// recordItems returns the integers that stand for a member's record in a kindRecords message.
func recordItems(member int, record Record) []int64 {
	return []int64{int64(member), int64(record.Generation), int64(record.RequestedAt), int64(record.Restarts), int64(record.Stage), int64(record.Slot), int64(record.Epoch)}
}

// decode decodes a datagram; records holds those of a kindRecords message by the index of the member. One invalid value
// makes the whole datagram malformed. The error is datagram.ErrMalformed or datagram.ErrVersion.
func (r *Reducer) decode(data []byte) (msg message, records map[int]Record, err error) {
	if err := datagram.Decode(data, Version, datagram.MaxSize, &msg); err != nil {
		return msg, nil, err
	}
	tierSize := int64(r.cfg.TierSize)
	if msg.Kind >= numKinds || len(msg.Name) > maxNameLength || msg.Slot >= MaxSlots || msg.Kind == kindRefusal && len(msg.Items) != 3 ||
		msg.Kind == kindState && len(msg.Items)%itemsPerGrant != 0 || msg.Kind == kindRecords && len(msg.Items)%itemsPerRecord != 0 {
		return msg, nil, datagram.ErrMalformed
	}
	switch msg.Kind {
	case kindState:
		for items := msg.Items; len(items) > 0; items = items[itemsPerGrant:] {
			if items[0] < 0 || items[0] >= MaxSlots || items[1] < -1 || items[1] >= tierSize || items[2] < 0 {
				return msg, nil, datagram.ErrMalformed
			}
		}
	case kindRecords:
		records = make(map[int]Record)
		for items := msg.Items; len(items) > 0; items = items[itemsPerRecord:] {
			record := Record{Generation: uint32(items[1]), RequestedAt: uint64(items[2]), Restarts: uint32(items[3]), Stage: Stage(items[4]), Slot: uint8(items[5]), Epoch: uint64(items[6])}
			if items[0] < 0 || items[0] >= tierSize || items[4] <= 0 || record.Stage >= numStages || record.Generation == 0 || items[5] < 0 || items[5] >= MaxSlots {
				return msg, nil, datagram.ErrMalformed
			}
			records[int(items[0])] = record
		}
	}
	return msg, records, nil
}
