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

// step passes an event to the reducer and converts the effects.
func (p *budgetProcess) step(now time.Duration, ev budget.Event) (result stepEffects) {
	for _, e := range p.Reducer.Step(now, ev) {
		switch e := e.(type) {
		case budget.Send:
			result.Sends = append(result.Sends, sentDatagram{To: e.To, Data: e.Data})
		case budget.Timer:
			result.Timers = append(result.Timers, memberTimer{e.At, e.Token})
		}
	}
	return result
}

// receive passes a datagram to the reducer.
func (p *budgetProcess) receive(now time.Duration, from int, data []byte) stepEffects {
	return p.step(now, budget.Datagram{From: from, Data: data})
}

// timerFired passes a timer to the reducer.
func (p *budgetProcess) timerFired(now time.Duration, token any) stepEffects {
	return p.step(now, budget.TimerFired{Token: token.(budget.Token)})
}

// startMember starts a member's reducer, informs it and the running, unpaused members of each other, and
// declares a server cold. All members start together, so at its first start the reducer considers every member available.
func (p *budgetProtocol) startMember(m *tierModel, index int, incarnation uint8) (memberProcess, stepEffects) {
	reducer, _, err := budget.New(budget.Config{Self: index, TierSize: len(m.Members), Limits: p.Limits,
		Seed: m.Config.Seed + uint64(index) + 100*uint64(incarnation), DisabledGuards: m.Config.DisabledBudgetGuards}, m.Now)
	if err != nil {
		panic(err)
	}
	process := &budgetProcess{reducer}
	var result stepEffects
	add := func(ev budget.Event) {
		effects := process.step(m.Now, ev)
		result.Sends, result.Timers = append(result.Sends, effects.Sends...), append(result.Timers, effects.Timers...)
	}
	for other, member := range m.Members {
		add(budget.MemberAvailability{Member: other, Available: member.Process != nil || incarnation == 0})
		if member.Process != nil && !member.Paused && other != index {
			m.applyEffects(other, member.Process.(*budgetProcess).step(m.Now, budget.MemberAvailability{Member: index, Available: true}))
		}
	}
	demand := 0.0
	if index == 0 {
		demand = 3
	}
	add(budget.Demand{Quotas: demand})
	add(budget.ColdServer{Server: 1, Rate: 1, ColdUntil: m.Now + time.Hour})
	return process, result
}

// converged does nothing: startMember has already declared a server cold.
func (p *budgetProtocol) converged(*tierModel) {}

// memberKilled informs the running, unpaused members at once that a member is dead.
func (p *budgetProtocol) memberKilled(m *tierModel, index int) {
	for other, member := range m.Members {
		if member.Process != nil && !member.Paused {
			m.applyEffects(other, member.Process.(*budgetProcess).step(m.Now, budget.MemberAvailability{Member: index}))
		}
	}
}

// checkStep checks ExclusiveUnits.
func (p *budgetProtocol) checkStep(m *tierModel, _ int) { p.checkTimePassed(m) }

// usedUnits returns the units of a member's quota that running, unpaused members use, and how many of them use any. It
// checks ExclusiveUnits. owner is the member's index.
func (p *budgetProtocol) usedUnits(m *tierModel, owner int) (units budget.Mask, users int) {
	for index, member := range m.Members {
		if member.Process == nil || member.Paused {
			continue
		}
		usable := member.Process.(*budgetProcess).Reducer.Usable(m.Now, owner)
		if units&usable != 0 {
			m.recordViolation(ExclusiveUnits, "units %08b of member %d's quota are used by member %d and another member", units&usable, owner, index)
		}
		units |= usable
		if usable != 0 {
			users++
		}
	}
	return units, users
}

// checkTimePassed checks ExclusiveUnits for the quota of every member.
func (p *budgetProtocol) checkTimePassed(m *tierModel) {
	for owner := range m.Members {
		p.usedUnits(m, owner)
	}
}

// checkSettled checks AllUnitsUsed, if a majority of the members is running.
func (p *budgetProtocol) checkSettled(m *tierModel) {
	available := 0
	for _, member := range m.Members {
		if member.Process != nil {
			available++
		}
	}
	if 2*available <= len(m.Members) {
		return
	}
	allUnits := budget.Mask(1<<budget.Units - 1)
	for owner, member := range m.Members {
		want := allUnits
		if member.Process == nil {
			want &^= 1 // only the owner itself uses the first unit of its quota
		}
		if units, _ := p.usedUnits(m, owner); units != want {
			m.recordViolation(AllUnitsUsed, "after %v without faults units %08b of member %d's quota are used", settleTime, units, owner)
		}
	}
}
