package membership

import (
	"math"
	"slices"
	"time"
)

// apply takes in a piece of news by SWIM's order (4.2): a higher incarnation stands over a lower one, and at the same one
// a suspicion over life, a death or a leave over both. Spread: what is news here goes on to others.
func (r *Reducer) apply(u update, propagate bool) {
	if u.member == r.cfg.Self {
		r.applyToSelf(u)
		return
	}
	member := &r.members[u.member]
	newer := u.incarnation > member.Incarnation
	same := u.incarnation == member.Incarnation
	switch u.state {
	case Alive, Draining:
		if newer || member.State == Unknown && same {
			if member.State == Dead {
				r.synced = false // the two sides of a partition may have met
			}
			r.setState(u, propagate)
		}
	case Suspect:
		switch {
		case newer, same && !member.State.Down() && member.State != Suspect:
			r.startSuspicion(u.member, u.incarnation, u.observer)
		case same && member.State == Suspect:
			r.confirmSuspicion(u.member, u.observer)
		}
	case Dead:
		if newer || same && !member.State.Down() {
			r.setState(u, propagate)
		}
	case Left:
		if newer || same && member.State != Left {
			r.setState(u, propagate)
		}
	}
}

// aboutSelf takes in what is said of this member. What is not so, at an incarnation that it has or above, it refutes by
// a higher one, and tells some at once, as the suspicion is running out: also what is known of a life before this one, should the clock have gone back between the two.
func (r *Reducer) applyToSelf(u update) {
	self := r.self()
	if r.hasLeft || !r.guardEnabled(GuardRefute) || u.incarnation < self.Incarnation || u.incarnation == self.Incarnation && u.state == self.State {
		return
	}
	self.Incarnation = u.incarnation + 1
	r.counters.Refutations++
	if u.state == Suspect || u.state == Dead {
		r.adjustHealth(1)
		r.announceSelf(r.cfg.Limits.Indirect)
	}
}

// hold takes a state over.
func (r *Reducer) setState(u update, propagate bool) {
	member := &r.members[u.member]
	old := member.State
	member.Incarnation = u.incarnation
	if u.state != Suspect {
		r.suspicions[u.member] = nil
	}
	if old != u.state {
		member.State, member.Since = u.state, r.now
		if u.state == Dead {
			r.counters.Deaths++
		}
		r.emit(StateChanged{Member: u.member, Old: old, New: u.state, Incarnation: u.incarnation})
	}
	if propagate {
		r.enqueueUpdate(u)
	}
}

// suspect begins a suspicion, an own one or one heard of, or takes an own one for a confirmation.
func (r *Reducer) startSuspicion(index int, incarnation uint64, observer int) {
	if member := &r.members[index]; member.State == Suspect && member.Incarnation == incarnation {
		r.confirmSuspicion(index, observer)
		return
	}
	r.counters.Suspicions++
	r.suspicions[index] = &suspicion{StartedAt: r.now, Observers: []int{observer}}
	r.setState(update{member: index, state: Suspect, incarnation: incarnation, observer: observer}, true)
	r.scheduleSuspicionTimer(index)
}

// confirm takes in that another member suspects the same by its own observation. Each one that is new, up to K, makes
// the suspicion shorter and is passed on (Lifeguard, LHA-Suspicion).
func (r *Reducer) confirmSuspicion(index, observer int) {
	s := r.suspicions[index]
	if s == nil || len(s.Observers) > r.cfg.Limits.Confirm || slices.Contains(s.Observers, observer) {
		return
	}
	s.Observers = append(s.Observers, observer)
	r.enqueueUpdate(update{member: index, state: Suspect, incarnation: r.members[index].Incarnation, observer: observer})
	r.scheduleSuspicionTimer(index)
}

// await asks to look at a suspicion when it is over as things stand.
func (r *Reducer) scheduleSuspicionTimer(index int) {
	s := r.suspicions[index]
	r.emit(Timer{At: s.StartedAt + r.suspicionTimeout(s), Token: Token{kind: tokenSuspicion, member: index}})
}

// suspected looks at a suspicion whose time may be up.
func (r *Reducer) checkSuspicion(index int) {
	s := r.suspicions[index]
	switch {
	case s == nil:
	case r.now < s.StartedAt+r.suspicionTimeout(s): // it began anew, or the tier has grown
		r.scheduleSuspicionTimer(index)
	default:
		r.setState(update{member: index, state: Dead, incarnation: r.members[index].Incarnation, observer: r.cfg.Self}, true)
	}
}

// patience is how long a suspicion lasts: from β·min down to min, by the logarithm of how many confirm it.
func (r *Reducer) suspicionTimeout(s *suspicion) time.Duration {
	limits := r.cfg.Limits
	view := r.View()
	participants := float64(view.TierSize - view.Down)
	minTimeout := limits.SuspicionMin * max(1, math.Log10(participants)) * float64(limits.Period)
	maxTimeout := limits.SuspicionMax * minTimeout
	required := min(limits.Confirm, int(participants)-2)
	if required < 1 {
		return time.Duration(minTimeout)
	}
	progress := math.Log(float64(len(s.Observers))) / math.Log(float64(required+1))
	return time.Duration(max(maxTimeout-progress*(maxTimeout-minTimeout), minTimeout))
}

// spread has an update ride on the datagrams to come, in the place of an older one of the same member. The queue stands
// in the order in which it goes: what has been passed on least first, of that the newest.
func (r *Reducer) enqueueUpdate(u update) {
	if i := slices.IndexFunc(r.updateQueue, func(p queuedUpdate) bool { return p.member == u.member }); i >= 0 {
		r.updateQueue = slices.Delete(r.updateQueue, i, i+1)
	}
	r.lastUpdateSeq++
	r.updateQueue = slices.Insert(r.updateQueue, 0, queuedUpdate{update: u, Seq: r.lastUpdateSeq})
}

// passed takes in that the first n of the queue went out once more.
func (r *Reducer) markTransmitted(count int) {
	sent := slices.Clone(r.updateQueue[:count])
	for i := range sent {
		sent[i].Transmissions++
	}
	sent = slices.DeleteFunc(sent, func(p queuedUpdate) bool { return p.Transmissions >= r.maxTransmissions })
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

// held is what is held of a member, as an update.
func (r *Reducer) currentUpdate(index int) update {
	u := update{member: index, state: r.members[index].State, incarnation: r.members[index].Incarnation, observer: -1}
	if s := r.suspicions[index]; s != nil {
		u.observer = s.Observers[0]
	}
	return u
}

// send sends a datagram with the news that has been passed on least. First comes what has to: what a member that is
// suspected or held dead can refute only if it hears of it (Lifeguard, Buddy System).
func (r *Reducer) send(to int, msg message, mandatory ...update) {
	if s := r.members[to].State; s == Suspect || s.Down() {
		mandatory = append(mandatory, r.currentUpdate(to))
	}
	updates := mandatory
	for _, p := range r.updateQueue[:min(len(r.updateQueue), r.cfg.Limits.MaxDatagram/2)] { // no more fit
		updates = append(updates, p.update)
	}
	if fromQueue := r.sendUpdates(to, msg, updates) - len(mandatory); fromQueue > 0 {
		r.markTransmitted(fromQueue)
	}
}

// post sends a datagram with as many updates as fit, and says how many did.
func (r *Reducer) sendUpdates(to int, msg message, updates []update) int {
	self := r.self()
	msg.Tier, msg.State, msg.Incarnation = uint16(r.cfg.TierSize), self.State, self.Incarnation
	data, count := msg.encode(updates, r.cfg.Limits.MaxDatagram)
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: to, Data: data})
	return count
}
