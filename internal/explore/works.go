package explore

import (
	"time"

	"elmseam/internal/maintenance"
)

// The rules on ordered maintenance.
const (
	InBudget Rule = "in-budget" // never more than B out
	AskedFor Rule = "asked-for" // no member goes out that nobody asked for
	AllOnce  Rule = "all-once"  // every member asked for that lives is maintained in the end, once
	NotStuck Rule = "not-stuck" // none is left out, or draining without a slot
)

// What the world around a member does to it, as timers of its own.
type (
	emptied struct{ Life uint8 } // its last call is over
	worked  struct{ Life uint8 } // an operator has finished
)

// works is the protocol of maintenance: the first two members are asked for, at two members at once; the last is not.
type works struct {
	Limits maintenance.Limits
	Done   []int // times that a member was maintained
}

func newWorks(cfg Config) *tier {
	l := maintenance.Defaults()
	l.Lease, l.Work, l.Round = 2*time.Second, 3*time.Second, 500*time.Millisecond
	return newTier(cfg, &works{l, make([]int, cfg.Servers)}, 3*time.Second)
}

// workNode is a member's reducer, and what it does at its word.
type workNode struct {
	R     *maintenance.Reducer
	P     *works
	Self  int
	Life  uint8
	Drain bool
	Stage maintenance.Stage
}

func (n *workNode) step(now time.Duration, ev maintenance.Event) outcome {
	return n.outcome(now, n.R.Step(now, ev))
}

func (n *workNode) datagram(now time.Duration, from int, data []byte) outcome {
	return n.step(now, maintenance.Datagram{From: from, Data: data})
}

func (n *workNode) due(now time.Duration, token any) outcome {
	switch token := token.(type) {
	case maintenance.Token:
		return n.step(now, maintenance.Due{Token: token})
	case emptied:
		if token.Life == n.Life && n.R.Waits() {
			return n.step(now, maintenance.Drained{})
		}
	case worked:
		if token.Life == n.Life && n.Stage == maintenance.Ready && n.R.State().Until > now { // else it goes again
			return n.step(now, maintenance.Cancel{Members: []int{n.Self}})
		}
	}
	return n.step(now, maintenance.There{Member: n.Self}) // nothing happens, and time has passed
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
			if n.Drain = e.On; e.On {
				o.Timers = append(o.Timers, tierTimer{now + workTakes, emptied{n.Life}})
			}
		case maintenance.Told:
			if e.Member != n.Self {
				break
			}
			was := n.Stage
			switch n.Stage = e.Record.Stage; {
			case n.Stage == maintenance.Ready:
				o.Timers = append(o.Timers, tierTimer{now + workTakes, worked{n.Life}})
			case n.Stage == maintenance.Done && was == maintenance.Ready:
				n.P.Done[n.Self]++
			}
		}
	}
	return o
}

func (p *works) start(t *tier, m int, life uint8) (peerNode, outcome) {
	r, out, err := maintenance.New(maintenance.Config{Self: m, Tier: len(t.Members), Zone: -1, Limits: p.Limits,
		Seed: t.Config.Seed + uint64(m) + 100*uint64(life), Without: t.Config.Idle}, t.Now)
	if err != nil {
		panic(err)
	}
	n := &workNode{R: r, P: p, Self: m, Life: life}
	o := n.outcome(t.Now, out)
	add := func(out outcome) {
		o.Sends, o.Timers = append(o.Sends, out.Sends...), append(o.Timers, out.Timers...)
	}
	for other, e := range t.Members {
		add(n.step(t.Now, maintenance.There{Member: other, Yes: e.N != nil || life == 0}))
		if e.N != nil && !e.Paused && other != m {
			t.carry(other, e.N.(*workNode).step(t.Now, maintenance.There{Member: m, Yes: true}))
		}
	}
	add(n.step(t.Now, maintenance.Serving{Yes: true}))
	return n, o
}

func (p *works) begin(t *tier) {
	t.carry(0, t.Members[0].N.(*workNode).step(t.Now, maintenance.Request{Members: []int{0, 1}}))
	last := len(t.Members) - 1
	t.carry(last, t.Members[last].N.(*workNode).step(t.Now, maintenance.Request{Members: []int{1}}))
}

func (p *works) killed(t *tier, m int) {
	for o, e := range t.Members {
		if e.N != nil && !e.Paused {
			t.carry(o, e.N.(*workNode).step(t.Now, maintenance.There{Member: m}))
		}
	}
}

func (p *works) stepped(t *tier, m int) {
	out := 0
	for o, e := range t.Members {
		if e.N == nil || e.Paused {
			continue
		}
		n := e.N.(*workNode)
		if n.Drain {
			if out++; o >= 2 {
				t.broken(AskedFor, "member %d goes out, and nobody asked for it", o)
			}
		}
	}
	if out > p.Limits.Budget {
		t.broken(InBudget, "%d members are out", out)
	}
}

func (p *works) passed(*tier) {}

func (p *works) settled(t *tier) {
	for m, e := range t.Members {
		if e.N == nil {
			continue
		}
		n := e.N.(*workNode)
		if n.Drain || n.R.Holds() {
			t.broken(NotStuck, "%v after the last disturbance member %d drains: %t, and holds a slot: %t", tierSettle, m, n.Drain, n.R.Holds())
		}
		for of, record := range n.R.State().Records {
			if t.Members[of].N != nil && !record.Stage.Over() {
				t.broken(AllOnce, "%v after the last disturbance member %d holds the request for member %d to be %v", tierSettle, m, of, record.Stage)
			}
		}
		if want := map[bool]int{true: 1}[m < 2]; p.Done[m] != want && !(e.Lives > 1 && p.Done[m] == 0 && n.R.State().Records[m].Gen == 0) {
			t.broken(AllOnce, "member %d was maintained %d times", m, p.Done[m])
		}
	}
}
