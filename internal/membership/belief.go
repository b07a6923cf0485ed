package membership

import (
	"math"
	"slices"
	"time"
)

// apply takes in a piece of news by SWIM's order (4.2): a higher incarnation stands over a lower one, and at the same one
// a suspicion over life, a death or a leave over both. Spread: what is news here goes on to others.
func (r *Reducer) apply(u update, spread bool) {
	if u.member == r.cfg.Self {
		r.aboutSelf(u)
		return
	}
	m := &r.members[u.member]
	newer := u.incarnation > m.Incarnation
	same := u.incarnation == m.Incarnation
	switch u.state {
	case Alive, Draining:
		if newer || m.State == Unknown && same {
			if m.State == Dead {
				r.synced = false // the two sides of a partition may have met
			}
			r.hold(u, spread)
		}
	case Suspect:
		switch {
		case newer, same && !m.State.Down() && m.State != Suspect:
			r.suspect(u.member, u.incarnation, u.by)
		case same && m.State == Suspect:
			r.confirm(u.member, u.by)
		}
	case Dead:
		if newer || same && !m.State.Down() {
			r.hold(u, spread)
		}
	case Left:
		if newer || same && m.State != Left {
			r.hold(u, spread)
		}
	}
}

// aboutSelf takes in what is said of this member. What is not so, at an incarnation that it has or above, it refutes by
// a higher one, and tells some at once, as the suspicion is running out: also what is known of a life before this one, should the clock have gone back between the two.
func (r *Reducer) aboutSelf(u update) {
	s := r.self()
	if r.left || !r.has(GuardRefute) || u.incarnation < s.Incarnation || u.incarnation == s.Incarnation && u.state == s.State {
		return
	}
	s.Incarnation = u.incarnation + 1
	r.figures.Refutations++
	if u.state == Suspect || u.state == Dead {
		r.feel(1)
		r.announce(r.cfg.Limits.Indirect)
	}
}

// hold takes a state over.
func (r *Reducer) hold(u update, spread bool) {
	m := &r.members[u.member]
	was := m.State
	m.Incarnation = u.incarnation
	if u.state != Suspect {
		r.suspicions[u.member] = nil
	}
	if was != u.state {
		m.State, m.Since = u.state, r.now
		if u.state == Dead {
			r.figures.Deaths++
		}
		r.do(StateChanged{Member: u.member, Old: was, New: u.state, Incarnation: u.incarnation})
	}
	if spread {
		r.spread(u)
	}
}

// suspect begins a suspicion, an own one or one heard of, or takes an own one for a confirmation.
func (r *Reducer) suspect(m int, incarnation uint64, by int) {
	if e := &r.members[m]; e.State == Suspect && e.Incarnation == incarnation {
		r.confirm(m, by)
		return
	}
	r.figures.Suspicions++
	r.suspicions[m] = &suspicion{Began: r.now, By: []int{by}}
	r.hold(update{member: m, state: Suspect, incarnation: incarnation, by: by}, true)
	r.await(m)
}

// confirm takes in that another member suspects the same by its own observation. Each one that is new, up to K, makes
// the suspicion shorter and is passed on (Lifeguard, LHA-Suspicion).
func (r *Reducer) confirm(m, by int) {
	s := r.suspicions[m]
	if s == nil || len(s.By) > r.cfg.Limits.Confirm || slices.Contains(s.By, by) {
		return
	}
	s.By = append(s.By, by)
	r.spread(update{member: m, state: Suspect, incarnation: r.members[m].Incarnation, by: by})
	r.await(m)
}

// await asks to look at a suspicion when it is over as things stand.
func (r *Reducer) await(m int) {
	s := r.suspicions[m]
	r.do(Timer{At: s.Began + r.patience(s), Token: Token{kind: tokenSuspect, member: m}})
}

// suspected looks at a suspicion whose time may be up.
func (r *Reducer) suspected(m int) {
	s := r.suspicions[m]
	switch {
	case s == nil:
	case r.now < s.Began+r.patience(s): // it began anew, or the tier has grown
		r.await(m)
	default:
		r.hold(update{member: m, state: Dead, incarnation: r.members[m].Incarnation, by: r.cfg.Self}, true)
	}
}

// patience is how long a suspicion lasts: from β·min down to min, by the logarithm of how many confirm it.
func (r *Reducer) patience(s *suspicion) time.Duration {
	l := r.cfg.Limits
	v := r.View()
	n := float64(v.TierSize - v.Down)
	least := l.SuspicionMin * max(1, math.Log10(n)) * float64(l.Period)
	most := l.SuspicionMax * least
	needed := min(l.Confirm, int(n)-2)
	if needed < 1 {
		return time.Duration(least)
	}
	done := math.Log(float64(len(s.By))) / math.Log(float64(needed+1))
	return time.Duration(max(most-done*(most-least), least))
}

// spread has an update ride on the datagrams to come, in the place of an older one of the same member. The queue stands
// in the order in which it goes: what has been passed on least first, of that the newest.
func (r *Reducer) spread(u update) {
	if i := slices.IndexFunc(r.queue, func(p pending) bool { return p.member == u.member }); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
	}
	r.age++
	r.queue = slices.Insert(r.queue, 0, pending{update: u, Age: r.age})
}

// passed takes in that the first n of the queue went out once more.
func (r *Reducer) passed(n int) {
	sent := slices.Clone(r.queue[:n])
	for i := range sent {
		sent[i].Sent++
	}
	sent = slices.DeleteFunc(sent, func(p pending) bool { return p.Sent >= r.transmitMax })
	rest, queue := r.queue[n:], make([]pending, 0, len(r.queue))
	for len(sent) > 0 && len(rest) > 0 {
		if a, b := sent[0], rest[0]; a.Sent < b.Sent || a.Sent == b.Sent && a.Age > b.Age {
			queue, sent = append(queue, a), sent[1:]
		} else {
			queue, rest = append(queue, b), rest[1:]
		}
	}
	r.queue = append(append(queue, sent...), rest...)
}

// held is what is held of a member, as an update.
func (r *Reducer) held(m int) update {
	u := update{member: m, state: r.members[m].State, incarnation: r.members[m].Incarnation, by: -1}
	if s := r.suspicions[m]; s != nil {
		u.by = s.By[0]
	}
	return u
}

// send sends a datagram with the news that has been passed on least. First comes what has to: what a member that is
// suspected or held dead can refute only if it hears of it (Lifeguard, Buddy System).
func (r *Reducer) send(to int, m message, first ...update) {
	if s := r.members[to].State; s == Suspect || s.Down() {
		first = append(first, r.held(to))
	}
	all := first
	for _, p := range r.queue[:min(len(r.queue), r.cfg.Limits.MaxDatagram/2)] { // no more fit
		all = append(all, p.update)
	}
	if taken := r.post(to, m, all) - len(first); taken > 0 {
		r.passed(taken)
	}
}

// post sends a datagram with as many updates as fit, and says how many did.
func (r *Reducer) post(to int, m message, updates []update) int {
	s := r.self()
	m.Tier, m.State, m.Incarnation = uint16(r.cfg.TierSize), s.State, s.Incarnation
	data, n := m.encode(updates, r.cfg.Limits.MaxDatagram)
	r.figures.Sent++
	r.figures.SentBytes += uint64(len(data))
	r.do(Send{To: to, Data: data})
	return n
}
