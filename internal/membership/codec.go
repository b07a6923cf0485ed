package membership

import (
	"errors"

	"elmseam/internal/datagram"
)

// Version is the first byte of membership's datagrams. Any other is counted and dropped.
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

// message is what a datagram holds. Incarnations stand as differences to the sender's own.
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

const stateBits = 3

var errTier = errors.New("of another tier")

// encode writes a message with as many of the updates as fit into most bytes, first ones first. It says how many did.
func (m message) encode(updates []update, most int) (data []byte, taken int) {
	m.Updates = []int64{}
	room := most - datagram.Overhead - datagram.Size(m) - 2 // two more for the count of the updates
	for _, u := range updates {
		words := u.words(m.Incarnation)
		for _, w := range words {
			room -= datagram.IntSize(w)
		}
		if room < 0 {
			break
		}
		m.Updates = append(m.Updates, words...)
		taken++
	}
	return datagram.Encode(Version, m), taken
}

// words are an update as it stands in a message of a sender with this incarnation.
func (u update) words(base uint64) []int64 {
	w := []int64{int64(u.member)<<stateBits | int64(u.state), int64(u.incarnation - base)}
	if u.state == Suspect {
		w = append(w, int64(u.by))
	}
	return w
}

// decode reads a datagram of a tier of n members. What makes no sense in it makes all of it garbled.
func decode(data []byte, n, most int) (m message, updates []update, err error) {
	if err := datagram.Decode(data, Version, most, &m); err != nil {
		return m, nil, err
	}
	switch {
	case int(m.Tier) != n:
		return m, nil, errTier
	case m.Kind >= kinds, int(m.Target) >= n, m.Incarnation == 0, !m.State.Available() && m.State != Left:
		return m, nil, datagram.ErrMalformed
	}
	for w := m.Updates; len(w) > 0; {
		if len(w) < 2 {
			return m, nil, datagram.ErrMalformed
		}
		u := update{member: int(w[0] >> stateBits), state: State(w[0] & (1<<stateBits - 1)), incarnation: m.Incarnation + uint64(w[1]), by: -1}
		w = w[2:]
		if u.state == Suspect {
			if len(w) == 0 || w[0] < 0 || w[0] >= int64(n) {
				return m, nil, datagram.ErrMalformed
			}
			u.by, w = int(w[0]), w[1:]
		}
		if u.member < 0 || u.member >= n || u.state == Unknown || u.state >= states {
			return m, nil, datagram.ErrMalformed
		}
		updates = append(updates, u)
	}
	return m, updates, nil
}
