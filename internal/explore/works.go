package explore

import (
	"time"

	"elmseam/internal/maintenance"
)

// The rules on ordered maintenance.
const (
	WithinMaintenanceBudget Invariant = "in-budget" // never more than B out
	OnlyRequested           Invariant = "asked-for" // no member goes out that nobody asked for
	MaintainedOnce          Invariant = "all-once"  // every member asked for that lives is maintained in the end, once
	NoStuckDrain            Invariant = "not-stuck" // none is left out, or draining without a slot
)

// What the world around a member does to it, as timers of its own.
type (
	emptied struct{ Incarnation uint8 } // its last call is over
	worked  struct{ Incarnation uint8 } // an operator has finished
)

// works is the protocol of maintenance: the first two members are asked for, at two members at once; the last is not.
type works struct {
	Limits maintenance.Limits
	Done   []int // times that a member was maintained
}

func newWorks(cfg Config) *tier {
	l := maintenance.Defaults()
	l.Lease, l.WorkLease, l.Round = 2*time.Second, 3*time.Second, 500*time.Millisecond
	return newTier(cfg, &works{l, make([]int, cfg.Servers)}, 3*time.Second)
}

// workNode is a member's reducer, and what it does at its word.
type workNode struct {
	Reducer     *maintenance.Reducer
	Protocol    *works
	Self        int
	Incarnation uint8
	Draining    bool
	Stage       maintenance.Stage
}

func (n *workNode) step(now time.Duration, ev maintenance.Event) outcome {
	return n.outcome(now, n.Reducer.Step(now, ev))
}

func (n *workNode) datagram(now time.Duration, from int, data []byte) outcome {
	return n.step(now, maintenance.Datagram{From: from, Data: data})
}

func (n *workNode) due(now time.Duration, token any) outcome {
	switch token := token.(type) {
	case maintenance.Token:
		return n.step(now, maintenance.TimerFired{Token: token})
	case emptied:
		if token.Incarnation == n.Incarnation && n.Reducer.AwaitsDrained() {
			return n.step(now, maintenance.Drained{})
		}
	case worked:
		if token.Incarnation == n.Incarnation && n.Stage == maintenance.Ready && n.Reducer.Status().Expiry > now { // else it goes again
			return n.step(now, maintenance.Cancel{Members: []int{n.Self}})
		}
	}
	return n.step(now, maintenance.MemberAvailability{Member: n.Self}) // nothing happens, and time has passed
}

const workTakes = 300 * time.Millisecond

func (n *workNode) outcome(now time.Duration, out []maintenance.Effect) (o outcome) {
	for _, e := range out {
		switch e := e.(type) {
		case maintenance.Send:
			o.Sends = append(o.Sends, flight{To: e.To, Data: e.Data})
		case maintenance.Timer:
			o.Timers = append(o.Timers, tierTimer{e.At, e.Token})
		case maintenance.Drain:
			if n.Draining = e.On; e.On {
				o.Timers = append(o.Timers, tierTimer{now + workTakes, emptied{n.Incarnation}})
			}
		case maintenance.RequestChanged:
			if e.Member != n.Self {
				break
			}
			was := n.Stage
			switch n.Stage = e.Record.Stage; {
			case n.Stage == maintenance.Ready:
				o.Timers = append(o.Timers, tierTimer{now + workTakes, worked{n.Incarnation}})
			case n.Stage == maintenance.Done && was == maintenance.Ready:
				n.Protocol.Done[n.Self]++
			}
		}
	}
	return o
}

func (p *works) start(t *tier, m int, life uint8) (peerNode, outcome) {
	r, out, err := maintenance.New(maintenance.Config{Self: m, TierSize: len(t.Members), Zone: -1, Limits: p.Limits,
		Seed: t.Config.Seed + uint64(m) + 100*uint64(life), DisabledGuards: t.Config.DisabledMaintenanceGuards}, t.Now)
	if err != nil {
		panic(err)
	}
	n := &workNode{Reducer: r, Protocol: p, Self: m, Incarnation: life}
	o := n.outcome(t.Now, out)
	add := func(out outcome) {
		o.Sends, o.Timers = append(o.Sends, out.Sends...), append(o.Timers, out.Timers...)
	}
	for other, e := range t.Members {
		add(n.step(t.Now, maintenance.MemberAvailability{Member: other, Available: e.Node != nil || life == 0}))
		if e.Node != nil && !e.Paused && other != m {
			t.carry(other, e.Node.(*workNode).step(t.Now, maintenance.MemberAvailability{Member: m, Available: true}))
		}
	}
	add(n.step(t.Now, maintenance.Serving{Serving: true}))
	return n, o
}

func (p *works) begin(t *tier) {
	t.carry(0, t.Members[0].Node.(*workNode).step(t.Now, maintenance.Request{Members: []int{0, 1}}))
	last := len(t.Members) - 1
	t.carry(last, t.Members[last].Node.(*workNode).step(t.Now, maintenance.Request{Members: []int{1}}))
}

func (p *works) killed(t *tier, m int) {
	for o, e := range t.Members {
		if e.Node != nil && !e.Paused {
			t.carry(o, e.Node.(*workNode).step(t.Now, maintenance.MemberAvailability{Member: m}))
		}
	}
}

func (p *works) stepped(t *tier, m int) {
	out := 0
	for o, e := range t.Members {
		if e.Node == nil || e.Paused {
			continue
		}
		n := e.Node.(*workNode)
		if n.Draining {
			if out++; o >= 2 {
				t.broken(OnlyRequested, "member %d goes out, and nobody asked for it", o)
			}
		}
	}
	if out > p.Limits.Budget {
		t.broken(WithinMaintenanceBudget, "%d members are out", out)
	}
}

func (p *works) passed(*tier) {}

func (p *works) settled(t *tier) {
	for m, e := range t.Members {
		if e.Node == nil {
			continue
		}
		n := e.Node.(*workNode)
		if n.Draining || n.Reducer.HoldsSlot() {
			t.broken(NoStuckDrain, "%v after the last disturbance member %d drains: %t, and holds a slot: %t", tierSettle, m, n.Draining, n.Reducer.HoldsSlot())
		}
		for of, record := range n.Reducer.Status().Records {
			if t.Members[of].Node != nil && !record.Stage.Ended() {
				t.broken(MaintainedOnce, "%v after the last disturbance member %d holds the request for member %d to be %v", tierSettle, m, of, record.Stage)
			}
		}
		if want := map[bool]int{true: 1}[m < 2]; p.Done[m] != want && !(e.Incarnations > 1 && p.Done[m] == 0 && n.Reducer.Status().Records[m].Generation == 0) {
			t.broken(MaintainedOnce, "member %d was maintained %d times", m, p.Done[m])
		}
	}
}
