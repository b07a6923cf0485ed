package membership

// mergeUpdate merges an update about a member, in SWIM's order (4.2): a higher incarnation overrides a lower one, and at
// the same incarnation a suspicion overrides alive, dead overrides both, and left overrides dead too. With propagate, a
// change of state or incarnation is sent on to other members. Suspicions and their confirmations are always sent on.
func (r *Reducer) mergeUpdate(reported update, propagate bool) {
	if reported.member == r.cfg.Self {
		r.mergeUpdateAboutSelf(reported)
		return
	}
	member := &r.members[reported.member]
	newerIncarnation := reported.incarnation > member.Incarnation
	sameIncarnation := reported.incarnation == member.Incarnation
	switch reported.state {
	case StateAlive, StateDraining:
		if newerIncarnation || member.State == StateUnknown && sameIncarnation {
			if member.State == StateDead {
				r.syncReceived = false // a partition may have healed: the states that the other side knows are needed
			}
			r.setMemberState(reported, propagate)
		}
	case StateSuspect:
		switch {
		case newerIncarnation, sameIncarnation && !member.State.Down() && member.State != StateSuspect:
			r.startSuspicion(reported.member, reported.incarnation, reported.observer)
		case sameIncarnation && member.State == StateSuspect:
			r.confirmSuspicion(reported.member, reported.observer)
		}
	case StateDead:
		if newerIncarnation || sameIncarnation && !member.State.Down() {
			r.setMemberState(reported, propagate)
		}
	case StateLeft:
		if newerIncarnation || sameIncarnation && member.State != StateLeft {
			r.setMemberState(reported, propagate)
		}
	}
}

// mergeUpdateAboutSelf handles an update about this member. An update that is wrong and has this member's incarnation or a
// higher one is refuted: this member takes a higher incarnation. That includes information about an earlier incarnation
// of this member, in case the clock was set back between the two starts. After Leave nothing is refuted.
//
// The refutation of a suspicion or death is announced to some members at once, as the suspicion is timing out, and this
// member's health gets worse.
func (r *Reducer) mergeUpdateAboutSelf(reported update) {
	self := r.self()
	if r.hasLeft || !r.guardEnabled(GuardRefute) || reported.incarnation < self.Incarnation || reported.incarnation == self.Incarnation && reported.state == self.State {
		return
	}
	self.Incarnation = reported.incarnation + 1
	r.counters.Refutations++
	if reported.state == StateSuspect || reported.state == StateDead {
		r.adjustHealth(1)
		r.announceSelf(r.cfg.Limits.IndirectProbes)
	}
}

// setMemberState sets what this member holds as the state and incarnation of another one, and with propagate queues the
// update for other members. Any state but StateSuspect ends a suspicion of the member.
func (r *Reducer) setMemberState(change update, propagate bool) {
	member := &r.members[change.member]
	oldState := member.State
	member.Incarnation = change.incarnation
	if change.state != StateSuspect {
		r.suspicions[change.member] = nil
	}
	if oldState != change.state {
		member.State, member.Since = change.state, r.now
		if change.state == StateDead {
			r.counters.Deaths++
		}
		r.emit(StateChanged{Member: change.member, Old: oldState, New: change.state, Incarnation: change.incarnation})
	}
	if propagate {
		r.enqueueUpdate(change)
	}
}
