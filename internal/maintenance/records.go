package maintenance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
)

// Record is the last maintenance request for a member.
type Record struct {
	Generation  uint32 // number of requests made for the member so far
	RequestedAt uint64 // by the clock of the member that accepted the request, in milliseconds since the Unix epoch
	Restarts    uint32 // how often the request had to return to StageWaiting
	Stage       Stage
	Slot        uint8  // slot of the grant under which the member is out of service
	Epoch       uint64 // of that grant; above all epochs that the member knew when it requested the slot
}

// Merge returns the record that follows from both. It is commutative, associative and idempotent: members that
// receive the same records, in any order and any number of times, reach the same result. Two requests for one member
// that were made independently count as one, made at the earlier time.
func Merge(a, b Record) Record {
	if recordLess(a, b) {
		a, b = b, a
	}
	if a.Generation == b.Generation && b.RequestedAt > 0 {
		a.RequestedAt = min(a.RequestedAt, b.RequestedAt)
	}
	return a
}

// recordLess reports whether a is lower than b. Records are ordered by generation. Within a generation an ended request is
// higher than any other, and StageDone higher than StageWithdrawn; then the order is by restarts, stage, epoch and slot.
func recordLess(a, b Record) bool {
	switch {
	case a.Generation != b.Generation:
		return a.Generation < b.Generation
	case a.Stage.Ended() != b.Stage.Ended():
		return b.Stage.Ended()
	case a.Stage.Ended() && a.Stage != b.Stage:
		return a.Stage < b.Stage
	case a.Restarts != b.Restarts:
		return a.Restarts < b.Restarts
	case a.Stage != b.Stage:
		return a.Stage < b.Stage
	case a.Epoch != b.Epoch:
		return a.Epoch < b.Epoch
	}
	return a.Slot < b.Slot
}

// restartRequest returns the request of this member to StageWaiting, unless it has ended.
func (r *Reducer) restartRequest() {
	record := r.records[r.cfg.Self]
	if record.Stage.Ended() {
		return
	}
	record.Restarts++
	record.Stage = StageWaiting
	r.setRecord(r.cfg.Self, record)
}

// handleRequest starts requests for members, once this member has recovered. A request that has not ended stays as it is.
func (r *Reducer) handleRequest(members []int) {
	if !r.recovered {
		return
	}
	for _, m := range members {
		if m < 0 || m >= r.cfg.TierSize || !r.records[m].Stage.Ended() {
			continue
		}
		r.setRecord(m, Record{Generation: r.records[m].Generation + 1, RequestedAt: uint64(r.now / time.Millisecond), Stage: StageWaiting})
	}
	r.advanceOwnRequest()
}

// handleCancel withdraws the requests for members. A request whose member is ready for work becomes StageDone instead.
func (r *Reducer) handleCancel(members []int) {
	for _, m := range members {
		if m < 0 || m >= r.cfg.TierSize || r.records[m].Stage.Ended() {
			continue
		}
		record := r.records[m]
		if record.Stage == StageReady {
			record.Stage = StageDone
		} else {
			record.Stage = StageWithdrawn
		}
		r.setRecord(m, record)
	}
}

// setRecord replaces a record, reports the change, and sends it to a few members at once. If the request of this
// member has ended, its slot is released, or its attempt to get one ends.
func (r *Reducer) setRecord(member int, record Record) {
	if r.records[member] == record {
		return
	}
	r.records[member] = record
	r.remainingTransmissions[member] = r.cfg.Limits.Transmissions
	r.emit(RequestChanged{member, record})
	for _, to := range r.randomMembers(3) {
		r.sendRecords(to, []int{member})
	}
	if member == r.cfg.Self && record.Stage.Ended() {
		if r.heldLease != nil {
			r.releaseSlot(r.heldLease.Slot, r.heldLease.Epoch)
			r.forgetSlot()
		} else if r.currentRound != nil {
			r.failRound()
		}
	}
}

// Queue returns the indexes of the waiting members in their order: by the time of the request, and among requests
// made at the same time such that the zones take turns. A zone's members that are out of service count as turns of
// the zone. Members that know the same records and zones compute the same order.
func (r *Reducer) Queue() []int {
	var waiting []int
	outPerZone := make(map[int8]int)
	for m, record := range r.records {
		switch record.Stage {
		case StageWaiting:
			waiting = append(waiting, m)
		case StageDraining, StageReady:
			outPerZone[r.zones[m]]++
		}
	}
	slices.SortStableFunc(waiting, func(a, b int) int {
		return int(int64(r.records[a].RequestedAt) - int64(r.records[b].RequestedAt))
	})
	var queue []int
	for len(waiting) > 0 {
		best := 0
		for i, m := range waiting {
			if r.records[m].RequestedAt != r.records[waiting[0]].RequestedAt {
				break
			}
			if outPerZone[r.zones[m]] < outPerZone[r.zones[waiting[best]]] {
				best = i
			}
		}
		m := waiting[best]
		waiting = slices.Delete(waiting, best, best+1)
		outPerZone[r.zones[m]]++
		queue = append(queue, m)
	}
	return queue
}

// gossipRecords sends recently changed records, and those of requests that have not ended, as far as they fit into one datagram,
// to one random member. Once all requests have ended and all changes were sent often enough, it sends nothing.
func (r *Reducer) gossipRecords() {
	var members []int
	for i := range r.records {
		member := (r.nextGossipIndex + i) % len(r.records)
		if r.remainingTransmissions[member] > 0 || !r.records[member].Stage.Ended() {
			members = append(members, member)
		}
	}
	for _, to := range r.randomMembers(1) {
		count := r.sendRecords(to, members)
		for _, member := range members[:count] {
			r.remainingTransmissions[member] = max(r.remainingTransmissions[member]-1, 0)
		}
		if count < len(members) {
			r.nextGossipIndex = members[count]
		}
	}
}

// sendRecords sends as many of the records of these members as fit into one datagram, and returns how many did. Records
// in StageNone count but are not sent; without others nothing is sent. The room is computed with the maximum sizes of
// Seq, LeaseMillis and RecordsHash, so that the datagram never exceeds its maximum size.
func (r *Reducer) sendRecords(to int, members []int) (count int) {
	msg := message{Kind: kindRecords, Seq: math.MaxUint32, RecordsHash: math.MaxUint32, LeaseMillis: math.MaxUint32, Epoch: 0}
	msg.TierSize, msg.Zone, msg.Name = uint16(r.cfg.TierSize), int8(r.cfg.Zone), r.cfg.Name
	remaining := datagram.MaxSize - datagram.Overhead - datagram.Size(msg) - 2
	for _, member := range members {
		items := recordItems(member, r.records[member])
		for _, item := range items {
			remaining -= datagram.IntSize(item)
		}
		if remaining < 0 {
			break
		}
		if r.records[member].Stage != StageNone {
			msg.Items = append(msg.Items, items...)
		}
		count++
	}
	if len(msg.Items) > 0 {
		r.send(to, message{Kind: kindRecords, Items: msg.Items})
	}
	return count
}

// recordsHash returns a hash of this member's records that tells different sets of records apart.
func (r *Reducer) recordsHash() uint32 {
	var b []byte
	for m, record := range r.records {
		if record.Stage != StageNone {
			for _, item := range recordItems(m, record) {
				b = binary.BigEndian.AppendUint64(b, uint64(item))
			}
		}
	}
	return uint32(xxh3.Hash(b))
}

// mergeRecords merges received records, and sends the sender back those records of which this member knows more, as far
// as they fit into one datagram.
func (r *Reducer) mergeRecords(from int, records map[int]Record) {
	var newerHere []int
	for member := range r.records {
		theirs, included := records[member]
		if !included {
			continue
		}
		merged := Merge(r.records[member], theirs)
		r.setRecord(member, merged)
		if merged != theirs {
			newerHere = append(newerHere, member)
		}
	}
	if len(newerHere) > 0 {
		r.sendRecords(from, newerHere)
	}
	r.advanceOwnRequest()
}
