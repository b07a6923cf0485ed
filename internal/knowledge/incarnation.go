package knowledge

import (
	"math"
	"time"
)

// The incarnations of a member are ordered, so that a late datagram of an earlier one does not count. Each new process begins with its start
// time, of which a message carries the low 32 bits of the milliseconds. This fails where a process restarts with its clock set back, or 25
// to 50 days after the one before. A member that gets a message of an earlier incarnation therefore tells the sender which one it knows, and
// a sender with an earlier one takes the next.

// maxStampAge is the age of an incarnation at which its member begins another one: stamps have to stay in order within their 32 bits.
const maxStampAge = (1 << 31) * time.Millisecond

// incarnationBefore says whether an incarnation is earlier than another one, of which the numbers wrap around.
func incarnationBefore(incarnation, other uint32) bool { return int32(incarnation-other) < 0 }

// beginIncarnation begins an incarnation of this member.
func (r *Reducer) beginIncarnation(incarnation uint32) {
	r.incarnation, r.incarnationStartedAt = incarnation, r.now
}

// withSenderFields returns the message with tier size, incarnation and stamp filled in.
func (r *Reducer) withSenderFields(msg message) message {
	if r.now-r.incarnationStartedAt >= maxStampAge {
		r.beginIncarnation(r.incarnation + 1)
	}
	msg.TierSize, msg.Incarnation = uint16(r.cfg.TierSize), r.incarnation
	msg.Stamp = uint32((r.now - r.incarnationStartedAt) / time.Millisecond)
	return msg
}

// reportIncarnation tells a member which of its incarnations is known here, as its message was of an earlier one.
func (r *Reducer) reportIncarnation(member int) {
	r.counters.Stale++
	r.send(member, message{Kind: kindIncarnation, Items: []int64{int64(r.observers[member].Incarnation)}})
}

// handleIncarnationReport handles what another member knows as this member's incarnation. If that is a later one, this process has to take
// the next, or its messages would be ignored.
func (r *Reducer) handleIncarnationReport(msg message) {
	if known := uint32(msg.Items[0]); incarnationBefore(r.incarnation, known) {
		r.beginIncarnation(known + 1)
	}
}

// validIncarnationReport says whether the items of a message are those of a report of an incarnation.
func validIncarnationReport(items []int64) bool {
	return len(items) == 1 && items[0] >= 0 && items[0] <= math.MaxUint32
}
