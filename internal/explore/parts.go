package explore

import (
	"time"

	"elmseam/internal/budget"
)

// The rules on parts of a cold server's budget.
const (
	ExclusiveUnits Invariant = "whole"   // no unit of a part is used by two, so all together use no more than the whole
	AllUnitsUsed   Invariant = "carried" // in the end each one that is there has its own part, and those of the dead are used
)

// parts is the protocol of budgets, while a server is cold: the first member needs thrice its part, the others none.
type budgetProtocol struct{ Limits budget.Limits }

func newBudgetModel(cfg Config) *tierModel {
	l := budget.Defaults()
	l.Lease = time.Second
	return newTierModel(cfg, &budgetProtocol{l}, 2*time.Second)
}

// partNode is a member's reducer.
type budgetProcess struct{ Reducer *budget.Reducer }

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

func (p *budgetProcess) receive(now time.Duration, from int, data []byte) stepEffects {
	return p.step(now, budget.Datagram{From: from, Data: data})
}

func (p *budgetProcess) timerFired(now time.Duration, token any) stepEffects {
	return p.step(now, budget.TimerFired{Token: token.(budget.Token)})
}

func (p *budgetProtocol) startMember(t *tierModel, index int, incarnation uint8) (memberProcess, stepEffects) {
	reducer, _, err := budget.New(budget.Config{Self: index, TierSize: len(t.Members), Limits: p.Limits,
		Seed: t.Config.Seed + uint64(index) + 100*uint64(incarnation), DisabledGuards: t.Config.DisabledBudgetGuards}, t.Now)
	if err != nil {
		panic(err)
	}
	process := &budgetProcess{reducer}
	var result stepEffects
	add := func(ev budget.Event) {
		effects := process.step(t.Now, ev)
		result.Sends, result.Timers = append(result.Sends, effects.Sends...), append(result.Timers, effects.Timers...)
	}
	for other, member := range t.Members {
		add(budget.MemberAvailability{Member: other, Available: member.Process != nil || incarnation == 0})
		if member.Process != nil && !member.Paused && other != index {
			t.applyEffects(other, member.Process.(*budgetProcess).step(t.Now, budget.MemberAvailability{Member: index, Available: true}))
		}
	}
	demand := 0.0
	if index == 0 {
		demand = 3
	}
	add(budget.Demand{Quotas: demand})
	add(budget.ColdServer{Server: 1, Rate: 1, Until: t.Now + time.Hour})
	return process, result
}

func (p *budgetProtocol) converged(*tierModel) {}

func (p *budgetProtocol) memberKilled(t *tierModel, index int) {
	for other, member := range t.Members {
		if member.Process != nil && !member.Paused {
			t.applyEffects(other, member.Process.(*budgetProcess).step(t.Now, budget.MemberAvailability{Member: index}))
		}
	}
}

func (p *budgetProtocol) checkStep(t *tierModel, _ int) { p.checkTimePassed(t) }

// used are the units of a part that those use who run.
func (p *budgetProtocol) usedUnits(t *tierModel, quota int) (units budget.Mask, users int) {
	for index, member := range t.Members {
		if member.Process == nil || member.Paused {
			continue
		}
		usable := member.Process.(*budgetProcess).Reducer.Usable(t.Now, quota)
		if units&usable != 0 {
			t.recordViolation(ExclusiveUnits, "units %08b of member %d's part are used by member %d and another", units&usable, quota, index)
		}
		units |= usable
		if usable != 0 {
			users++
		}
	}
	return units, users
}

func (p *budgetProtocol) checkTimePassed(t *tierModel) {
	for quota := range t.Members {
		p.usedUnits(t, quota)
	}
}

func (p *budgetProtocol) checkSettled(t *tierModel) {
	available := 0
	for _, member := range t.Members {
		if member.Process != nil {
			available++
		}
	}
	if 2*available <= len(t.Members) {
		return
	}
	allUnits := budget.Mask(1<<budget.Units - 1)
	for quota, member := range t.Members {
		want := allUnits
		if member.Process == nil {
			want &^= 1
		}
		if units, _ := p.usedUnits(t, quota); units != want {
			t.recordViolation(AllUnitsUsed, "%v after the last disturbance units %08b of member %d's part are used", settleTime, units, quota)
		}
	}
}
