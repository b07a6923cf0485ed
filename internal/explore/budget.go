package explore

import (
	"time"

	"elmseam/internal/budget"
)

// The invariants of quotas of a cold server's budget.
const (
	// ExclusiveUnits: no unit of a quota is used by two members, so that all members together use at most the whole budget.
	ExclusiveUnits Invariant = "whole"
	// AllUnitsUsed: in the end every unit of a running member's quota is used, by its owner or another member, and every
	// unit of a dead member's quota except the first, which only the owner may use.
	AllUnitsUsed Invariant = "carried"
)

// budgetProtocol runs the budget reducer of each member while one server is cold. The demand of member 0 is three quotas,
// that of the others zero.
type budgetProtocol struct{ Limits budget.Limits }

// newBudgetModel returns the initial state of the budget model. The lease is short, so that leases can expire within the
// periods in which faults are injected.
func newBudgetModel(cfg Config) *tierModel {
	limits := budget.Defaults()
	limits.Lease = time.Second
	return newTierModel(cfg, &budgetProtocol{limits}, 2*time.Second)
}

// budgetProcess is the running process of a member: its budget reducer.
type budgetProcess struct{ Reducer *budget.Reducer }

// stepReducer passes an event to the reducer and converts the reducer's effects to stepEffects.
func (p *budgetProcess) stepReducer(now time.Duration, event budget.Event) (result stepEffects) {
	for _, effect := range p.Reducer.Step(now, event) {
		switch effect := effect.(type) {
		case budget.Send:
			result.Sends = append(result.Sends, sentDatagram{To: effect.To, Data: effect.Data})
		case budget.Timer:
			result.Timers = append(result.Timers, memberTimer{effect.At, effect.Token})
		}
	}
	return result
}

// receive passes a datagram to the reducer.
func (p *budgetProcess) receive(now time.Duration, from int, data []byte) stepEffects {
	return p.stepReducer(now, budget.Datagram{From: from, Data: data})
}

// timerFired passes a timer to the reducer.
func (p *budgetProcess) timerFired(now time.Duration, token any) stepEffects {
	return p.stepReducer(now, budget.TimerFired{Token: token.(budget.Token)})
}

// startMember starts a member's reducer, informs it and the running, unpaused members of each other, and
// declares a server cold. All members start together, so at its first start the reducer considers every member available.
func (p *budgetProtocol) startMember(tier *tierModel, index int, incarnation uint8) (memberProcess, stepEffects) {
	reducer, _, err := budget.New(budget.Config{Self: index, TierSize: len(tier.Members), Limits: p.Limits,
		Seed: tier.Config.Seed + uint64(index) + 100*uint64(incarnation), DisabledGuards: tier.Config.DisabledBudgetGuards}, tier.Now)
	if err != nil {
		panic(err)
	}
	process := &budgetProcess{reducer}
	var result stepEffects
	addStep := func(event budget.Event) {
		effects := process.stepReducer(tier.Now, event)
		result.Sends, result.Timers = append(result.Sends, effects.Sends...), append(result.Timers, effects.Timers...)
	}
	for other, member := range tier.Members {
		addStep(budget.MemberAvailability{Member: other, Available: member.Process != nil || incarnation == 0})
		if member.Process != nil && !member.Paused && other != index {
			tier.applyEffects(other, member.Process.(*budgetProcess).stepReducer(tier.Now, budget.MemberAvailability{Member: index, Available: true}))
		}
	}
	demand := 0.0
	if index == 0 {
		demand = 3
	}
	addStep(budget.Demand{Quotas: demand})
	addStep(budget.ColdServer{Server: 1, Rate: 1, ColdUntil: tier.Now + time.Hour})
	return process, result
}

// tierConverged does nothing: startMember has already declared a server cold.
func (p *budgetProtocol) tierConverged(*tierModel) {}

// informOfDeath informs a member that another one is dead.
func (p *budgetProtocol) informOfDeath(tier *tierModel, observer, dead int) {
	process := tier.Members[observer].Process.(*budgetProcess)
	tier.applyEffects(observer, process.stepReducer(tier.Now, budget.MemberAvailability{Member: dead}))
}

// checkStep checks the invariant ExclusiveUnits.
func (p *budgetProtocol) checkStep(tier *tierModel, _ int) { p.checkTimePassed(tier) }

// usedUnits returns the units of a member's quota that running, unpaused members use, and how many of them use any. It
// checks ExclusiveUnits. owner is the member's index.
func (p *budgetProtocol) usedUnits(tier *tierModel, owner int) (units budget.Mask, users int) {
	for index, member := range tier.Members {
		if member.Process == nil || member.Paused {
			continue
		}
		usable := member.Process.(*budgetProcess).Reducer.Usable(tier.Now, owner)
		if units&usable != 0 {
			tier.recordViolation(ExclusiveUnits, "units %08b of member %d's quota are used by member %d and another member", units&usable, owner, index)
		}
		units |= usable
		if usable != 0 {
			users++
		}
	}
	return units, users
}

// checkTimePassed checks the invariant ExclusiveUnits for the quota of every member.
func (p *budgetProtocol) checkTimePassed(tier *tierModel) {
	for owner := range tier.Members {
		p.usedUnits(tier, owner)
	}
}

// checkSettled checks the invariant AllUnitsUsed, if a majority of the members is running.
func (p *budgetProtocol) checkSettled(tier *tierModel) {
	available := 0
	for _, member := range tier.Members {
		if member.Process != nil {
			available++
		}
	}
	if 2*available <= len(tier.Members) {
		return
	}
	allUnits := budget.Mask(1<<budget.Units - 1)
	for owner, member := range tier.Members {
		want := allUnits
		if member.Process == nil {
			want &^= 1 // only the owner itself uses the first unit of its quota
		}
		if units, _ := p.usedUnits(tier, owner); units != want {
			tier.recordViolation(AllUnitsUsed, "after %v without faults units %08b of member %d's quota are used", settleTime, units, owner)
		}
	}
}
