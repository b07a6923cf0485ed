package membership

// apply merges an update about a member, in SWIM's order (4.2): a higher incarnation overrides a lower one, and at
// the same incarnation a suspicion overrides alive, dead overrides both, and left overrides dead too. With propagate, a
// change of state or incarnation is sent on to other members; suspicions and confirmations are always sent on.
func (r *Reducer) apply(u update, propagate bool) {
	if u.member == r.cfg.Self {
		r.applyToSelf(u)
		return
	}
	member := &r.members[u.member]
	newer := u.incarnation > member.Incarnation
	same := u.incarnation == member.Incarnation
	switch u.state {
	case StateAlive, StateDraining:
		if newer || member.State == StateUnknown && same {
			if member.State == StateDead {
				r.synced = false // a partition may have healed: the list of a member of the other side is needed
			}
			r.setState(u, propagate)
		}
	case StateSuspect:
		switch {
		case newer, same && !member.State.Down() && member.State != StateSuspect:
			r.startSuspicion(u.member, u.incarnation, u.observer)
		case same && member.State == StateSuspect:
			r.confirmSuspicion(u.member, u.observer)
		}
	case StateDead:
		if newer || same && !member.State.Down() {
			r.setState(u, propagate)
		}
	case StateLeft:
		if newer || same && member.State != StateLeft {
			r.setState(u, propagate)
		}
	}
}

// applyToSelf handles an update about this member. An update that is wrong and has this member's incarnation or a
// higher one is refuted by a higher incarnation. The refutation of a suspicion or death is announced to some members at
// once, as the suspicion is timing out, and this member's health gets worse. Information about an earlier incarnation of
// this member is refuted too, in case the clock was set back between the two starts. After Leave nothing is refuted.
func (r *Reducer) applyToSelf(u update) {
	self := r.self()
	if r.hasLeft || !r.guardEnabled(GuardRefute) || u.incarnation < self.Incarnation || u.incarnation == self.Incarnation && u.state == self.State {
		return
	}
	self.Incarnation = u.incarnation + 1
	r.counters.Refutations++
	if u.state == StateSuspect || u.state == StateDead {
		r.adjustHealth(1)
		r.announceSelf(r.cfg.Limits.IndirectProbes)
	}
}

// setState sets the state and incarnation of a member, and with propagate queues the update for other members. Any state
// but StateSuspect ends a suspicion of the member.
func (r *Reducer) setState(u update, propagate bool) {
	member := &r.members[u.member]
	old := member.State
	member.Incarnation = u.incarnation
	if u.state != StateSuspect {
		r.suspicions[u.member] = nil
	}
	if old != u.state {
		member.State, member.Since = u.state, r.now
		if u.state == StateDead {
			r.counters.Deaths++
		}
		r.emit(StateChanged{Member: u.member, Old: old, New: u.state, Incarnation: u.incarnation})
	}
	if propagate {
		r.enqueueUpdate(u)
	}
}
