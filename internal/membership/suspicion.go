package membership

import (
	"math"
	"slices"
	"time"
)

// startSuspicion starts a suspicion that this member or another one reports. If the member is suspected already at
// this incarnation, the report counts as a confirmation.
func (r *Reducer) startSuspicion(index int, incarnation uint64, observer int) {
	if member := &r.members[index]; member.State == StateSuspect && member.Incarnation == incarnation {
		r.confirmSuspicion(index, observer)
		return
	}
	r.counters.Suspicions++
	r.suspicions[index] = &suspicion{StartedAt: r.now, Observers: []int{observer}}
	r.setMemberState(update{member: index, state: StateSuspect, incarnation: incarnation, observer: observer}, true)
	r.scheduleSuspicionTimer(index)
}

// confirmSuspicion records that one more member, possibly this one, suspects the same member by its own observation. Each
// new observer, up to Limits.Confirmations (K), shortens the suspicion and is sent on (Lifeguard, LHA-Suspicion).
func (r *Reducer) confirmSuspicion(index, observer int) {
	s := r.suspicions[index]
	if s == nil || len(s.Observers) > r.cfg.Limits.Confirmations || slices.Contains(s.Observers, observer) {
		return
	}
	s.Observers = append(s.Observers, observer)
	r.enqueueUpdate(update{member: index, state: StateSuspect, incarnation: r.members[index].Incarnation, observer: observer})
	r.scheduleSuspicionTimer(index)
}

// scheduleSuspicionTimer requests a timer for the present time-out of a suspicion.
func (r *Reducer) scheduleSuspicionTimer(index int) {
	s := r.suspicions[index]
	r.emit(Timer{At: s.StartedAt + r.suspicionTimeout(s), Token: Token{kind: tokenSuspicion, member: index}})
}

// checkSuspicion declares a member dead if its suspicion has timed out, and otherwise schedules the timer again.
func (r *Reducer) checkSuspicion(index int) {
	s := r.suspicions[index]
	switch {
	case s == nil:
	case r.now < s.StartedAt+r.suspicionTimeout(s): // the suspicion was restarted, or fewer members are down than before
		r.scheduleSuspicionTimer(index)
	default:
		r.setMemberState(update{member: index, state: StateDead, incarnation: r.members[index].Incarnation, observer: r.cfg.Self}, true)
	}
}

// suspicionTimeout returns how long a suspicion lasts, from SuspicionMax (β) times the shortest time-out down to the
// shortest one. It decreases with the logarithm of the number of members that confirm the suspicion.
func (r *Reducer) suspicionTimeout(running *suspicion) time.Duration {
	limits := r.cfg.Limits
	view := r.View()
	participants := float64(view.TierSize - view.Down)
	minTimeout := limits.SuspicionMin * max(1, math.Log10(participants)) * float64(limits.Period)
	maxTimeout := limits.SuspicionMax * minTimeout
	requiredConfirmations := min(limits.Confirmations, int(participants)-2)
	if requiredConfirmations < 1 {
		return time.Duration(minTimeout)
	}
	progress := math.Log(float64(len(running.Observers))) / math.Log(float64(requiredConfirmations+1))
	return time.Duration(max(maxTimeout-progress*(maxTimeout-minTimeout), minTimeout))
}
