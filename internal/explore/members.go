package explore

import (
	"time"

	"elmseam/internal/membership"
)

// The rules on membership.
const (
	NoPermanentFalseDeath Invariant = "not-for-good" // a living member that can be heard is never held dead for good
	TimelySuspicion       Invariant = "in-time"      // a dead member is suspected by all living ones within the bound
	StaysDead             Invariant = "stays-dead"   // what is dead is held dead in the end: nothing brings it back
	MinorityColdLimit     Invariant = "careful"      // a member that sees no majority takes less of a cold server's budget
)

// members is the protocol of membership.
type membershipProtocol struct{ Limits membership.Limits }

// newMembers has the defaults, with suspicions that are soon over and times that are stretched less: deaths come within a
// few periods of turmoil.
func newMembershipModel(cfg Config) *tierModel {
	l := membership.Defaults()
	l.MaxHealth, l.SuspicionMin, l.SuspicionMax = 2, 1, 2
	return newTierModel(cfg, &membershipProtocol{l}, 4*l.Period)
}

// memberNode is a member's reducer.
type membershipProcess struct{ Reducer *membership.Reducer }

func (p *membershipProcess) receive(now time.Duration, from int, data []byte) stepEffects {
	return membershipEffects(p.Reducer.Step(now, membership.Datagram{From: from, Data: data}))
}

func (p *membershipProcess) timerFired(now time.Duration, token any) stepEffects {
	return membershipEffects(p.Reducer.Step(now, membership.TimerFired{Token: token.(membership.Token)}))
}

func membershipEffects(effects []membership.Effect) (result stepEffects) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			result.Sends = append(result.Sends, sentDatagram{To: e.To, Data: e.Data})
		case membership.Timer:
			result.Timers = append(result.Timers, memberTimer{e.At, e.Token})
		}
	}
	return result
}

func (p *membershipProtocol) startMember(t *tierModel, index int, incarnation uint8) (memberProcess, stepEffects) {
	reducer, effects, err := membership.New(membership.Config{Self: index, TierSize: len(t.Members), Limits: p.Limits,
		Seed: t.Config.Seed + uint64(index) + 100*uint64(incarnation), DisabledGuards: t.Config.DisabledMembershipGuards}, t.Now)
	if err != nil {
		panic(err)
	}
	return &membershipProcess{reducer}, membershipEffects(effects)
}

func (p *membershipProtocol) converged(*tierModel)         {}
func (p *membershipProtocol) memberKilled(*tierModel, int) {}

func (p *membershipProtocol) checkStep(t *tierModel, index int) {
	if view := t.Members[index].Process.(*membershipProcess).Reducer.View(); !view.Majority() && view.ColdQuotaFactor() > float64(max(view.Available, 1))/float64(view.TierSize) {
		t.recordViolation(MinorityColdLimit, "member %d sees %d of %d and takes %v", index, view.Available, view.TierSize, view.ColdQuotaFactor())
	}
}

// passed judges whether the dead are suspected by now: every living member probes each other one within two rounds, and a
// probe takes a period, each stretched by as much as a member's health may.
func (p *membershipProtocol) checkTimePassed(t *tierModel) {
	bound := time.Duration(2*len(t.Members)) * p.Limits.Period * time.Duration(p.Limits.MaxHealth+1)
	for deadIndex, dead := range t.Members {
		if dead.Process != nil {
			continue
		}
		for observerIndex, observer := range t.Members {
			if observer.Process == nil || observer.Paused || t.Now < max(dead.DiedAt, observer.UndisturbedSince, t.LastFault)+bound {
				continue
			}
			if state := observer.Process.(*membershipProcess).Reducer.Members()[deadIndex].State; state.Available() {
				t.recordViolation(TimelySuspicion, "member %d holds member %d %v, %v after its death", observerIndex, deadIndex, state, t.Now-dead.DiedAt)
			}
		}
	}
}

func (p *membershipProtocol) checkSettled(t *tierModel) {
	for observerIndex, observer := range t.Members {
		if observer.Process == nil {
			continue
		}
		for index, member := range t.Members {
			switch state := observer.Process.(*membershipProcess).Reducer.Members()[index].State; {
			case member.Process != nil && !state.Available():
				t.recordViolation(NoPermanentFalseDeath, "%v after the last disturbance member %d holds member %d, which is there, %v", settleTime, observerIndex, index, state)
			case member.Process == nil && state != membership.Dead:
				t.recordViolation(StaysDead, "%v after the last disturbance member %d holds member %d, which is dead, %v", settleTime, observerIndex, index, state)
			}
		}
	}
}
