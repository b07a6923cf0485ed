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
type parts struct{ Limits budget.Limits }

func newParts(cfg Config) *tier {
	l := budget.Defaults()
	l.Lease = time.Second
	return newTier(cfg, &parts{l}, 2*time.Second)
}

// partNode is a member's reducer.
type partNode struct{ Reducer *budget.Reducer }

func (n *partNode) step(now time.Duration, ev budget.Event) (o outcome) {
	for _, e := range n.Reducer.Step(now, ev) {
		switch e := e.(type) {
		case budget.Send:
			o.Sends = append(o.Sends, flight{To: e.To, Data: e.Data})
		case budget.Timer:
			o.Timers = append(o.Timers, tierTimer{e.At, e.Token})
		}
	}
	return o
}

func (n *partNode) datagram(now time.Duration, from int, data []byte) outcome {
	return n.step(now, budget.Datagram{From: from, Data: data})
}

func (n *partNode) due(now time.Duration, token any) outcome {
	return n.step(now, budget.TimerFired{Token: token.(budget.Token)})
}

func (p *parts) start(t *tier, m int, life uint8) (peerNode, outcome) {
	r, _, err := budget.New(budget.Config{Self: m, TierSize: len(t.Members), Limits: p.Limits,
		Seed: t.Config.Seed + uint64(m) + 100*uint64(life), DisabledGuards: t.Config.DisabledBudgetGuards}, t.Now)
	if err != nil {
		panic(err)
	}
	n := &partNode{r}
	var o outcome
	add := func(ev budget.Event) {
		out := n.step(t.Now, ev)
		o.Sends, o.Timers = append(o.Sends, out.Sends...), append(o.Timers, out.Timers...)
	}
	for other, e := range t.Members {
		add(budget.MemberAvailability{Member: other, Available: e.Node != nil || life == 0})
		if e.Node != nil && !e.Paused && other != m {
			t.carry(other, e.Node.(*partNode).step(t.Now, budget.MemberAvailability{Member: m, Available: true}))
		}
	}
	use := 0.0
	if m == 0 {
		use = 3
	}
	add(budget.Demand{Quotas: use})
	add(budget.ColdServer{Server: 1, Rate: 1, Until: t.Now + time.Hour})
	return n, o
}

func (p *parts) begin(*tier) {}

func (p *parts) killed(t *tier, m int) {
	for o, e := range t.Members {
		if e.Node != nil && !e.Paused {
			t.carry(o, e.Node.(*partNode).step(t.Now, budget.MemberAvailability{Member: m}))
		}
	}
}

func (p *parts) stepped(t *tier, _ int) { p.passed(t) }

// used are the units of a part that those use who run.
func (p *parts) used(t *tier, part int) (units budget.Mask, by int) {
	for m, e := range t.Members {
		if e.Node == nil || e.Paused {
			continue
		}
		use := e.Node.(*partNode).Reducer.Usable(t.Now, part)
		if units&use != 0 {
			t.broken(ExclusiveUnits, "units %08b of member %d's part are used by member %d and another", units&use, part, m)
		}
		units |= use
		if use != 0 {
			by++
		}
	}
	return units, by
}

func (p *parts) passed(t *tier) {
	for part := range t.Members {
		p.used(t, part)
	}
}

func (p *parts) settled(t *tier) {
	there := 0
	for _, e := range t.Members {
		if e.Node != nil {
			there++
		}
	}
	if 2*there <= len(t.Members) {
		return
	}
	all := budget.Mask(1<<budget.Units - 1)
	for part, e := range t.Members {
		want := all
		if e.Node == nil {
			want &^= 1
		}
		if units, _ := p.used(t, part); units != want {
			t.broken(AllUnitsUsed, "%v after the last disturbance units %08b of member %d's part are used", tierSettle, units, part)
		}
	}
}
