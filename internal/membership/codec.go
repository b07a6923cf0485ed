package membership

import (
	"errors"

	"elmseam/internal/datagram"
)

// Version is the first byte of the datagrams of the membership protocol. Datagrams with another first byte are
// counted and dropped.
const Version = 1

// messageKind is the purpose of a datagram.
type messageKind uint8

// The kinds of membership messages.
const (
	kindPing        messageKind = iota // request for a kindAck with the same sequence number
	kindPingReq                        // request to probe Target and to answer on its behalf (SWIM's ping-req)
	kindAck                            // Target is alive
	kindNack                           // Target did not answer the relayed probe in time; the sender of the nack is alive
	kindSyncRequest                    // request for the states of all members
	kindSyncPart                       // one part of the answer to a kindSyncRequest
	kindUpdates                        // announces a change of the sender itself; carries Updates and requests nothing
	numKinds
)

// message is the content of a datagram. Incarnations in Updates are encoded as differences to the incarnation of the
// sender.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	TierSize    uint16 // number of members of the sender's tier
	Seq         uint32 // number of the probe, chosen by the member that sent the kindPing or kindPingReq; otherwise 0
	Target      uint16 // of a kindPingReq, kindAck or kindNack: index of the probed member; otherwise 0
	State       State  // of the sender: alive, draining or left
	Incarnation uint64 // of the sender
	Updates     []int64
}

// update is one member's state as it is sent to other members.
type update struct {
	member      int
	state       State
	incarnation uint64
	observer    int // of a suspicion: index of the member that observed the failure; otherwise unused
}

// stateBits is the width of the state in the first integer of an update; the index of the member is above it.
const stateBits = 3

// errOtherTierSize rejects a datagram of a sender whose tier has another number of members.
var errOtherTierSize = errors.New("datagram from a tier of another size")

// encode encodes a message with as many of the updates as fit into maxSize bytes, in their order, and returns how
// many did.
func (m message) encode(updates []update, maxSize int) (data []byte, count int) {
	m.Updates = []int64{}
	remaining := maxSize - datagram.Overhead - datagram.Size(m) - 2 // 2 bytes more for the length of the list of updates
	for _, u := range updates {
		ints := u.encode(m.Incarnation)
		for _, value := range ints {
			remaining -= datagram.IntSize(value)
		}
		if remaining < 0 {
			break
		}
		m.Updates = append(m.Updates, ints...)
		count++
	}
	return datagram.Encode(Version, m), count
}

// encode returns the integers of an update in a message of a sender with senderIncarnation.
func (u update) encode(senderIncarnation uint64) []int64 {
	ints := []int64{int64(u.member)<<stateBits | int64(u.state), int64(u.incarnation - senderIncarnation)}
	if u.state == StateSuspect {
		ints = append(ints, int64(u.observer))
	}
	return ints
}

// decode decodes a datagram of a tier of tierSize members. One invalid value makes the whole datagram malformed. The
// error is datagram.ErrMalformed, datagram.ErrVersion or errOtherTierSize.
func decode(data []byte, tierSize, maxSize int) (msg message, updates []update, err error) {
	if err := datagram.Decode(data, Version, maxSize, &msg); err != nil {
		return msg, nil, err
	}
	switch {
	case int(msg.TierSize) != tierSize:
		return msg, nil, errOtherTierSize
	case msg.Kind >= numKinds, int(msg.Target) >= tierSize, msg.Incarnation == 0, !msg.State.Available() && msg.State != StateLeft:
		return msg, nil, datagram.ErrMalformed
	}
	for ints := msg.Updates; len(ints) > 0; {
		if len(ints) < 2 {
			return msg, nil, datagram.ErrMalformed
		}
		decoded := update{member: int(ints[0] >> stateBits), state: State(ints[0] & (1<<stateBits - 1)), incarnation: msg.Incarnation + uint64(ints[1]), observer: -1}
		ints = ints[2:]
		if decoded.state == StateSuspect {
			if len(ints) == 0 || ints[0] < 0 || ints[0] >= int64(tierSize) {
				return msg, nil, datagram.ErrMalformed
			}
			decoded.observer, ints = int(ints[0]), ints[1:]
		}
		if decoded.member < 0 || decoded.member >= tierSize || decoded.state == StateUnknown || decoded.state >= numStates {
			return msg, nil, datagram.ErrMalformed
		}
		updates = append(updates, decoded)
	}
	return msg, updates, nil
}
