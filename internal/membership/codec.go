package membership

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// MaxDatagram is the most that a datagram between softswitches may hold, in bytes (PROTOCOL, "Between softswitches").
const MaxDatagram = 256

// Version is that of the datagrams' form: their first byte. Any other is counted and dropped.
const Version = 1

// kind is what a datagram is for.
type kind uint8

const (
	ping   kind = iota // answer with an ack of the same number
	pingOn             // probe Target, and answer for it
	ack                // the member pinged is there
	nack               // the member to be probed has not answered in time; who was asked is there
	sync               // tell what you know of all, in parts
	part               // a part of that
	news               // nothing but its updates: a member leaves
	kinds
)

// message is a datagram. In the wire's form a version byte comes first, then this as a CBOR array (RFC 8949), then
// the low 32 bits of XXH3 over all before, big-endian. Incarnations stand as differences to the sender's own.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        kind
	Tier        uint16 // members of the sender's tier
	Seq         uint32
	Target      uint16
	State       State  // of the sender: alive, draining or left
	Incarnation uint64 // of the sender
	Updates     []int64
}

// update is one piece of news: for a suspicion it says whose it is.
type update struct {
	member      int
	state       State
	incarnation uint64
	by          int
}

const (
	sumSize   = 4
	stateBits = 3
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
		m, err := cbor.DecOptions{MaxArrayElements: MaxDatagram, MaxMapPairs: 16, MaxNestedLevels: 4,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

var (
	errGarbled = errors.New("garbled")
	errVersion = errors.New("of another version")
	errTier    = errors.New("of another tier")
)

func sum(b []byte) uint32 { return uint32(xxh3.Hash(b)) }

// encode writes a message with as many of the updates as fit into most bytes, first ones first. It says how many did.
func (m message) encode(updates []update, most int) (data []byte, taken int) {
	m.Updates = []int64{}
	head, _ := encoding.Marshal(m)
	room := most - 1 - len(head) - sumSize - 2 // two more for the count of the updates
	for _, u := range updates {
		words := u.words(m.Incarnation)
		for _, w := range words {
			room -= wordSize(w)
		}
		if room < 0 {
			break
		}
		m.Updates = append(m.Updates, words...)
		taken++
	}
	body, _ := encoding.Marshal(m)
	data = append(append(make([]byte, 0, 1+len(body)+sumSize), Version), body...)
	return binary.BigEndian.AppendUint32(data, sum(data)), taken
}

// words are an update as it stands in a message of a sender with this incarnation.
func (u update) words(base uint64) []int64 {
	w := []int64{int64(u.member)<<stateBits | int64(u.state), int64(u.incarnation - base)}
	if u.state == Suspect {
		w = append(w, int64(u.by))
	}
	return w
}

// wordSize is the size of a CBOR integer.
func wordSize(w int64) int {
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

// decode reads a datagram of a tier of n members. What makes no sense in it makes all of it garbled.
func decode(data []byte, n, most int) (m message, updates []update, err error) {
	if len(data) < 1+sumSize || len(data) > most {
		return m, nil, errGarbled
	}
	body, tail := data[:len(data)-sumSize], data[len(data)-sumSize:]
	if sum(body) != binary.BigEndian.Uint32(tail) {
		return m, nil, errGarbled
	}
	if body[0] != Version {
		return m, nil, errVersion
	}
	if decoding.Unmarshal(body[1:], &m) != nil {
		return m, nil, errGarbled
	}
	switch {
	case int(m.Tier) != n:
		return m, nil, errTier
	case m.Kind >= kinds, int(m.Target) >= n, m.Incarnation == 0, !m.State.There() && m.State != Left:
		return m, nil, errGarbled
	}
	for w := m.Updates; len(w) > 0; {
		if len(w) < 2 {
			return m, nil, errGarbled
		}
		u := update{member: int(w[0] >> stateBits), state: State(w[0] & (1<<stateBits - 1)), incarnation: m.Incarnation + uint64(w[1]), by: -1}
		w = w[2:]
		if u.state == Suspect {
			if len(w) == 0 || w[0] < 0 || w[0] >= int64(n) {
				return m, nil, errGarbled
			}
			u.by, w = int(w[0]), w[1:]
		}
		if u.member < 0 || u.member >= n || u.state == Unknown || u.state >= states {
			return m, nil, errGarbled
		}
		updates = append(updates, u)
	}
	return m, updates, nil
}
