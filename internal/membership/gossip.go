package membership

import "slices"

// enqueueUpdate queues an update for the next datagrams, in place of an older update about the same member. The updates
// transmitted least often come first in the queue, and among equally often transmitted ones the newest.
func (r *Reducer) enqueueUpdate(u update) {
	if i := slices.IndexFunc(r.updateQueue, func(queued queuedUpdate) bool { return queued.member == u.member }); i >= 0 {
		r.updateQueue = slices.Delete(r.updateQueue, i, i+1)
	}
	r.lastQueuedUpdateSeq++
	r.updateQueue = slices.Insert(r.updateQueue, 0, queuedUpdate{update: u, Seq: r.lastQueuedUpdateSeq})
}

// markTransmitted counts one transmission of each of the first count updates of the queue, removes the updates that
// were sent maxTransmissions times, and restores the order of the queue.
func (r *Reducer) markTransmitted(count int) {
	sent := slices.Clone(r.updateQueue[:count])
	for i := range sent {
		sent[i].Transmissions++
	}
	sent = slices.DeleteFunc(sent, func(queued queuedUpdate) bool { return queued.Transmissions >= r.maxTransmissions })
	unsent, queue := r.updateQueue[count:], make([]queuedUpdate, 0, len(r.updateQueue))
	for len(sent) > 0 && len(unsent) > 0 {
		if a, b := sent[0], unsent[0]; a.Transmissions < b.Transmissions || a.Transmissions == b.Transmissions && a.Seq > b.Seq {
			queue, sent = append(queue, a), sent[1:]
		} else {
			queue, unsent = append(queue, b), unsent[1:]
		}
	}
	r.updateQueue = append(append(queue, sent...), unsent...)
}

// updateOfCurrentState returns what this member knows of a member's state, as an update to be sent.
func (r *Reducer) updateOfCurrentState(index int) update {
	current := update{member: index, state: r.members[index].State, incarnation: r.members[index].Incarnation, observer: -1}
	if s := r.suspicions[index]; s != nil {
		current.observer = s.Observers[0]
	}
	return current
}

// send sends a member a datagram with as many updates as fit. The mandatory updates come first, then those of the queue,
// the least often transmitted first. If the receiver is considered suspect, dead or left, its own state is one of them, because a
// member can refute only what it receives (Lifeguard, Buddy System).
func (r *Reducer) send(to int, msg message, mandatory ...update) {
	if s := r.members[to].State; s == StateSuspect || s.Down() {
		mandatory = append(mandatory, r.updateOfCurrentState(to))
	}
	updates := mandatory
	for _, queued := range r.updateQueue[:min(len(r.updateQueue), r.cfg.Limits.MaxDatagramSize/2)] { // more never fit: an update takes at least 2 bytes
		updates = append(updates, queued.update)
	}
	if fromQueue := r.sendUpdates(to, msg, updates) - len(mandatory); fromQueue > 0 {
		r.markTransmitted(fromQueue)
	}
}

// sendUpdates sends a member a datagram with as many of the updates as fit, and returns how many were sent.
func (r *Reducer) sendUpdates(to int, msg message, updates []update) int {
	self := r.self()
	msg.TierSize, msg.State, msg.Incarnation = uint16(r.cfg.TierSize), self.State, self.Incarnation
	data, count := msg.encode(updates, r.cfg.Limits.MaxDatagramSize)
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: to, Data: data})
	return count
}
