package explore

import (
	"time"

	"elmseam/internal/membership"
)

// The invariants of membership.
const (
	// NoPermanentFalseDeath: a running, reachable member is not considered dead permanently.
	NoPermanentFalseDeath Invariant = "not-for-good"
	// TimelySuspicion: all running members suspect a dead member within a time limit.
	TimelySuspicion Invariant = "in-time"
	// StaysDead: a dead member is considered dead in the end; no old message makes it available again.
	StaysDead Invariant = "stays-dead"
	// MinorityColdLimit: a member that sees no majority of the tier reduces its quota of a cold server's budget at least to
	// the fraction of members that it sees.
	MinorityColdLimit Invariant = "careful"
)

// membershipProtocol runs the membership reducer of each member.
type membershipProtocol struct{ Limits membership.Limits }

// newMembershipModel returns the initial state of the membership model. It uses the default limits, except that suspicions
// expire sooner and a member's health stretches timeouts less, so that deaths are detected within the few periods in
// which faults are injected.
func newMembershipModel(cfg Config) *tierModel {
	limits := membership.Defaults()
	limits.MaxHealth, limits.SuspicionMin, limits.SuspicionMax = 2, 1, 2
	return newTierModel(cfg, &membershipProtocol{limits}, 4*limits.Period)
}

// membershipProcess is the running process of a member: its membership reducer.
type membershipProcess struct{ Reducer *membership.Reducer }

// receive passes a datagram to the reducer.
func (p *membershipProcess) receive(now time.Duration, from int, data []byte) stepEffects {
	return membershipEffects(p.Reducer.Step(now, membership.Datagram{From: from, Data: data}))
}

// timerFired passes a timer to the reducer.
func (p *membershipProcess) timerFired(now time.Duration, token any) stepEffects {
	return membershipEffects(p.Reducer.Step(now, membership.TimerFired{Token: token.(membership.Token)}))
}

// membershipEffects converts the effects of a reducer's step to stepEffects.
func membershipEffects(effects []membership.Effect) (result stepEffects) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.Send:
			result.Sends = append(result.Sends, sentDatagram{To: effect.To, Data: effect.Data})
		case membership.Timer:
			result.Timers = append(result.Timers, memberTimer{effect.At, effect.Token})
		}
	}
	return result
}

// startMember starts a member's reducer, with a seed that differs between members and incarnations.
func (p *membershipProtocol) startMember(tier *tierModel, index int, incarnation uint8) (memberProcess, stepEffects) {
	reducer, effects, err := membership.New(membership.Config{Self: index, TierSize: len(tier.Members), Limits: p.Limits,
		Seed: tier.Config.Seed + uint64(index) + 100*uint64(incarnation), DisabledGuards: tier.Config.DisabledMembershipGuards}, tier.Now)
	if err != nil {
		panic(err)
	}
	return &membershipProcess{reducer}, membershipEffects(effects)
}

// tierConverged and informOfDeath do nothing: membership needs no request, and detects a killed member by itself.
func (p *membershipProtocol) tierConverged(*tierModel)           {}
func (p *membershipProtocol) informOfDeath(*tierModel, int, int) {}

// checkStep checks the invariant MinorityColdLimit.
func (p *membershipProtocol) checkStep(tier *tierModel, index int) {
	if view := tier.Members[index].Process.(*membershipProcess).Reducer.View(); !view.Majority() && view.ColdQuotaFraction() > float64(max(view.Available, 1))/float64(view.TierSize) {
		tier.recordViolation(MinorityColdLimit, "member %d sees %d of %d members and uses %v of its quota", index, view.Available, view.TierSize, view.ColdQuotaFraction())
	}
}

// checkTimePassed checks the invariant TimelySuspicion. Its limit covers two rounds, in which every running member probes each other
// member. A probe takes one period, which a member's health may stretch by a factor of MaxHealth+1.
// The time counts from the latest of the member's death, the observer's start, the end of its last pause and LastFault.
func (p *membershipProtocol) checkTimePassed(tier *tierModel) {
	suspicionLimit := time.Duration(2*len(tier.Members)) * p.Limits.Period * time.Duration(p.Limits.MaxHealth+1)
	for deadIndex, dead := range tier.Members {
		if dead.Process != nil {
			continue
		}
		for observerIndex, observer := range tier.Members {
			if observer.Process == nil || observer.Paused || tier.Now < max(dead.DiedAt, observer.UndisturbedSince, tier.LastFault)+suspicionLimit {
				continue
			}
			if state := observer.Process.(*membershipProcess).Reducer.Members()[deadIndex].State; state.Available() {
				tier.recordViolation(TimelySuspicion, "member %d considers member %d %v, %v after its death", observerIndex, deadIndex, state, tier.Now-dead.DiedAt)
			}
		}
	}
}

// checkSettled checks the invariants NoPermanentFalseDeath and StaysDead.
func (p *membershipProtocol) checkSettled(tier *tierModel) {
	for observerIndex, observer := range tier.Members {
		if observer.Process == nil {
			continue
		}
		for index, member := range tier.Members {
			switch state := observer.Process.(*membershipProcess).Reducer.Members()[index].State; {
			case member.Process != nil && !state.Available():
				tier.recordViolation(NoPermanentFalseDeath, "after %v without faults member %d considers the running member %d %v", settleTime, observerIndex, index, state)
			case member.Process == nil && state != membership.StateDead:
				tier.recordViolation(StaysDead, "after %v without faults member %d considers the dead member %d %v", settleTime, observerIndex, index, state)
			}
		}
	}
}
