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
type members struct{ Limits membership.Limits }

// newMembers has the defaults, with suspicions that are soon over and times that are stretched less: deaths come within a
// few periods of turmoil.
func newMembers(cfg Config) *tier {
	l := membership.Defaults()
	l.MaxHealth, l.SuspicionMin, l.SuspicionMax = 2, 1, 2
	return newTier(cfg, &members{l}, 4*l.Period)
}

// memberNode is a member's reducer.
type memberNode struct{ Reducer *membership.Reducer }

func (n *memberNode) datagram(now time.Duration, from int, data []byte) outcome {
	return memberOutcome(n.Reducer.Step(now, membership.Datagram{From: from, Data: data}))
}

func (n *memberNode) due(now time.Duration, token any) outcome {
	return memberOutcome(n.Reducer.Step(now, membership.TimerFired{Token: token.(membership.Token)}))
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
	r, out, err := membership.New(membership.Config{Self: m, TierSize: len(t.Members), Limits: p.Limits,
		Seed: t.Config.Seed + uint64(m) + 100*uint64(life), DisabledGuards: t.Config.DisabledMembershipGuards}, t.Now)
	if err != nil {
		panic(err)
	}
	return &memberNode{r}, memberOutcome(out)
}

func (p *members) begin(*tier)       {}
func (p *members) killed(*tier, int) {}

func (p *members) stepped(t *tier, m int) {
	if v := t.Members[m].Node.(*memberNode).Reducer.View(); !v.Majority() && v.ColdQuotaFactor() > float64(max(v.Available, 1))/float64(v.TierSize) {
		t.broken(MinorityColdLimit, "member %d sees %d of %d and takes %v", m, v.Available, v.TierSize, v.ColdQuotaFactor())
	}
}

// passed judges whether the dead are suspected by now: every living member probes each other one within two rounds, and a
// probe takes a period, each stretched by as much as a member's health may.
func (p *members) passed(t *tier) {
	bound := time.Duration(2*len(t.Members)) * p.Limits.Period * time.Duration(p.Limits.MaxHealth+1)
	for d, e := range t.Members {
		if e.Node != nil {
			continue
		}
		for o, by := range t.Members {
			if by.Node == nil || by.Paused || t.Now < max(e.DiedAt, by.UndisturbedSince, t.LastFault)+bound {
				continue
			}
			if s := by.Node.(*memberNode).Reducer.Members()[d].State; s.Available() {
				t.broken(TimelySuspicion, "member %d holds member %d %v, %v after its death", o, d, s, t.Now-e.DiedAt)
			}
		}
	}
}

func (p *members) settled(t *tier) {
	for o, by := range t.Members {
		if by.Node == nil {
			continue
		}
		for m, e := range t.Members {
			switch s := by.Node.(*memberNode).Reducer.Members()[m].State; {
			case e.Node != nil && !s.Available():
				t.broken(NoPermanentFalseDeath, "%v after the last disturbance member %d holds member %d, which is there, %v", tierSettle, o, m, s)
			case e.Node == nil && s != membership.Dead:
				t.broken(StaysDead, "%v after the last disturbance member %d holds member %d, which is dead, %v", tierSettle, o, m, s)
			}
		}
	}
}
