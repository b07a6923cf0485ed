package membership

import (
	"errors"

	"elmseam/internal/datagram"
)

// Version is the first byte of membership's datagrams. Any other is counted and dropped.
const Version = 1

// kind is what a datagram is for.
type messageKind uint8

const (
	kindPing        messageKind = iota // answer with an ack of the same number
	kindPingReq                        // probe Target, and answer for it
	kindAck                            // the member pinged is there
	kindNack                           // the member to be probed has not answered in time; who was asked is there
	kindSyncRequest                    // tell what you know of all, in parts
	kindSyncPart                       // a part of that
	kindUpdates                        // nothing but its updates: a member leaves
	numKinds
)

// message is what a datagram holds. Incarnations stand as differences to the sender's own.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
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
	observer    int
}

const stateBits = 3

var errOtherTier = errors.New("of another tier")

// encode writes a message with as many of the updates as fit into most bytes, first ones first. It says how many did.
func (m message) encode(updates []update, maxSize int) (data []byte, count int) {
	m.Updates = []int64{}
	remaining := maxSize - datagram.Overhead - datagram.Size(m) - 2 // two more for the count of the updates
	for _, u := range updates {
		ints := u.encode(m.Incarnation)
		for _, w := range ints {
			remaining -= datagram.IntSize(w)
		}
		if remaining < 0 {
			break
		}
		m.Updates = append(m.Updates, ints...)
		count++
	}
	return datagram.Encode(Version, m), count
}

// words are an update as it stands in a message of a sender with this incarnation.
func (u update) encode(senderIncarnation uint64) []int64 {
	ints := []int64{int64(u.member)<<stateBits | int64(u.state), int64(u.incarnation - senderIncarnation)}
	if u.state == Suspect {
		ints = append(ints, int64(u.observer))
	}
	return ints
}

// decode reads a datagram of a tier of n members. What makes no sense in it makes all of it garbled.
func decode(data []byte, tierSize, maxSize int) (msg message, updates []update, err error) {
	if err := datagram.Decode(data, Version, maxSize, &msg); err != nil {
		return msg, nil, err
	}
	switch {
	case int(msg.Tier) != tierSize:
		return msg, nil, errOtherTier
	case msg.Kind >= numKinds, int(msg.Target) >= tierSize, msg.Incarnation == 0, !msg.State.Available() && msg.State != Left:
		return msg, nil, datagram.ErrMalformed
	}
	for ints := msg.Updates; len(ints) > 0; {
		if len(ints) < 2 {
			return msg, nil, datagram.ErrMalformed
		}
		u := update{member: int(ints[0] >> stateBits), state: State(ints[0] & (1<<stateBits - 1)), incarnation: msg.Incarnation + uint64(ints[1]), observer: -1}
		ints = ints[2:]
		if u.state == Suspect {
			if len(ints) == 0 || ints[0] < 0 || ints[0] >= int64(tierSize) {
				return msg, nil, datagram.ErrMalformed
			}
			u.observer, ints = int(ints[0]), ints[1:]
		}
		if u.member < 0 || u.member >= tierSize || u.state == Unknown || u.state >= numStates {
			return msg, nil, datagram.ErrMalformed
		}
		updates = append(updates, u)
	}
	return msg, updates, nil
}
