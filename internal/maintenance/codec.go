package maintenance

import (
	"elmseam/internal/datagram"
)

// kind is what a datagram is for.
type kind uint8

const (
	ask     kind = iota // grant me a slot, or go on granting it
	grant               // granted
	refuse              // not granted: Items say who holds it, for how long, and the highest epoch seen
	release             // I hold it no more
	query               // what have you granted?
	state               // this: Items are slot, holder, time left, epoch, of each that counts
	news                // Items are records
	kinds
)

// message is what a datagram holds.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    kind
	Tier    uint16
	Zone    int8 // of the sender; -1: not known
	Seq     uint32
	Slot    uint8
	Epoch   uint64
	Lease   uint32 // milliseconds
	Settled bool   // the sender knows what it may have granted
	Sum     uint32 // of the records that it has
	Name    string // its name
	Items   []int64
}

// nameMost is the longest name that is told, in bytes.
const nameMost = 24

const (
	itemsOfState  = 4
	itemsOfRecord = 7
)

func (r *Reducer) encode(m message) []byte {
	m.Tier, m.Zone, m.Name = uint16(r.cfg.TierSize), int8(r.cfg.Zone), r.cfg.Name
	if m.Items == nil {
		m.Items = []int64{}
	}
	return datagram.Encode(Version, m)
}

// items write a record down.
func items(member int, e Record) []int64 {
	return []int64{int64(member), int64(e.Generation), int64(e.RequestedAt), int64(e.Restarts), int64(e.Stage), int64(e.Slot), int64(e.Epoch)}
}

// decode reads a datagram. What makes no sense in it makes all of it garbled.
func (r *Reducer) decode(data []byte) (m message, records map[int]Record, err error) {
	if err := datagram.Decode(data, Version, datagram.MaxSize, &m); err != nil {
		return m, nil, err
	}
	n := int64(r.cfg.TierSize)
	if m.Kind >= kinds || len(m.Name) > nameMost || m.Slot >= Slots || m.Kind == refuse && len(m.Items) != 3 ||
		m.Kind == state && len(m.Items)%itemsOfState != 0 || m.Kind == news && len(m.Items)%itemsOfRecord != 0 {
		return m, nil, datagram.ErrMalformed
	}
	switch m.Kind {
	case state:
		for w := m.Items; len(w) > 0; w = w[itemsOfState:] {
			if w[0] < 0 || w[0] >= Slots || w[1] < -1 || w[1] >= n || w[2] < 0 {
				return m, nil, datagram.ErrMalformed
			}
		}
	case news:
		records = make(map[int]Record)
		for w := m.Items; len(w) > 0; w = w[itemsOfRecord:] {
			e := Record{Generation: uint32(w[1]), RequestedAt: uint64(w[2]), Restarts: uint32(w[3]), Stage: Stage(w[4]), Slot: uint8(w[5]), Epoch: uint64(w[6])}
			if w[0] < 0 || w[0] >= n || w[4] <= 0 || e.Stage >= stages || e.Generation == 0 || w[5] < 0 || w[5] >= Slots {
				return m, nil, datagram.ErrMalformed
			}
			records[int(w[0])] = e
		}
	}
	return m, records, nil
}
