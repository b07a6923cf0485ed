package explore

import (
	"time"

	"elmseam/internal/membership"
)

// The rules on membership.
const (
	NotForGood Rule = "not-for-good" // a living member that can be heard is never held dead for good
	InTime     Rule = "in-time"      // a dead member is suspected by all living ones within the bound
	StaysDead  Rule = "stays-dead"   // what is dead is held dead in the end: nothing brings it back
	Careful    Rule = "careful"      // a member that sees no majority takes less of a cold server's budget
)

// members is the protocol of membership.
type members struct{ Limits membership.Limits }

// newMembers has the defaults, with suspicions that are soon over and times that are stretched less: deaths come within a
// few periods of turmoil.
func newMembers(cfg Config) *tier {
	l := membership.Defaults()
	l.Health, l.SuspicionMin, l.SuspicionMax = 2, 1, 2
	return newTier(cfg, &members{l}, 4*l.Period)
}

// memberNode is a member's reducer.
type memberNode struct{ R *membership.Reducer }

func (n *memberNode) datagram(now time.Duration, from int, data []byte) outcome {
	return memberOutcome(n.R.Step(now, membership.Datagram{From: from, Data: data}))
}

func (n *memberNode) due(now time.Duration, token any) outcome {
	return memberOutcome(n.R.Step(now, membership.Due{Token: token.(membership.Token)}))
}

func memberOutcome(out []membership.Effect) (o outcome) {
	for _, e := range out {
		switch e := e.(type) {
		case membership.Send:
			o.Sends = append(o.Sends, flight{To: e.To, Data: e.Data})
		case membership.Timer:
			o.Timers = append(o.Timers, tierTimer{e.At, e.Token})
		}
	}
	return o
}

func (p *members) start(t *tier, m int, life uint8) (peerNode, outcome) {
	r, out, err := membership.New(membership.Config{Self: m, Tier: len(t.Members), Limits: p.Limits,
		Seed: t.Config.Seed + uint64(m) + 100*uint64(life), Without: t.Config.Lacks}, t.Now)
	if err != nil {
		panic(err)
	}
	return &memberNode{r}, memberOutcome(out)
}

func (p *members) begin(*tier)       {}
func (p *members) killed(*tier, int) {}

func (p *members) stepped(t *tier, m int) {
	if v := t.Members[m].N.(*memberNode).R.View(); !v.Majority() && v.ColdShare() > float64(max(v.There, 1))/float64(v.Tier) {
		t.broken(Careful, "member %d sees %d of %d and takes %v", m, v.There, v.Tier, v.ColdShare())
	}
}

// passed judges whether the dead are suspected by now: every living member probes each other one within two rounds, and a
// probe takes a period, each stretched by as much as a member's health may.
func (p *members) passed(t *tier) {
	bound := time.Duration(2*len(t.Members)) * p.Limits.Period * time.Duration(p.Limits.Health+1)
	for d, e := range t.Members {
		if e.N != nil {
			continue
		}
		for o, by := range t.Members {
			if by.N == nil || by.Paused || t.Now < max(e.Died, by.Clear, t.Shaken)+bound {
				continue
			}
			if s := by.N.(*memberNode).R.Members()[d].State; s.There() {
				t.broken(InTime, "member %d holds member %d %v, %v after its death", o, d, s, t.Now-e.Died)
			}
		}
	}
}

func (p *members) settled(t *tier) {
	for o, by := range t.Members {
		if by.N == nil {
			continue
		}
		for m, e := range t.Members {
			switch s := by.N.(*memberNode).R.Members()[m].State; {
			case e.N != nil && !s.There():
				t.broken(NotForGood, "%v after the last disturbance member %d holds member %d, which is there, %v", tierSettle, o, m, s)
			case e.N == nil && s != membership.Dead:
				t.broken(StaysDead, "%v after the last disturbance member %d holds member %d, which is dead, %v", tierSettle, o, m, s)
			}
		}
	}
}
