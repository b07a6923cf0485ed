package core

import (
	"github.com/zeebo/xxh3"

	"elmseam"
	"elmseam/internal/knowledge"
	"elmseam/internal/membership"
)

// What the tier knows of the servers (internal/knowledge) runs inside the core: what the module has seen rides on
// membership's datagrams, and what others have seen is weighed there and handed to the module by one event, Learn. It
// names no servers. Only that a server drains reaches past the module, and only for the less.

// StartKnowledge begins this softswitch's part in sharing what the tier knows of the servers. It needs a Join before.
type StartKnowledge struct{ Config knowledge.Config }

func (StartKnowledge) event() {}

// hearsay is what peers' lists say of a server beyond the own list.
type drainReport struct {
	listedAt Time // when the own list spoke of it last
	expiry   Time // till then it is held for draining, as a peer's list says so that is newer
}

// know begins. A second Know changes nothing.
func (c *Core) startKnowledge(ev StartKnowledge) {
	if c.knowledge != nil || c.membership == nil {
		return
	}
	knows, out, err := knowledge.New(ev.Config, c.now)
	if err != nil {
		c.emit(Violation{Rule: err.Error()})
		return
	}
	c.knowledge, c.takeoverFactors = knows, make(map[int]float64)
	c.knowledgeEffects(out)
	for m, e := range c.membership.Members() {
		c.stepKnowledge(knowledge.MemberAvailability{Member: m, Available: e.State.Available()})
	}
}

// toKnow hands knowledge an event.
func (c *Core) stepKnowledge(ev knowledge.Event) {
	if c.knowledge != nil {
		c.knowledgeEffects(c.knowledge.Step(c.now, ev))
	}
}

// learnt carries out what knowledge asks for.
func (c *Core) knowledgeEffects(out []knowledge.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case knowledge.Send:
			c.emit(SendToMember{To: e.To, Data: e.Data})
		case knowledge.Timer:
			c.setTimer(e.At, Token{kind: tokenKnowledge, knowledge: e.Token})
		case knowledge.ServersUpdated:
			for _, key := range e.Servers {
				c.applyTierReport(key)
			}
		}
	}
}

// learn hands the module what the tier knows of a server.
func (c *Core) applyTierReport(key uint32) {
	s := c.serversByKey()[key]
	if s == nil {
		return
	}
	v := c.knowledge.View(c.now, key)
	c.controller.ApplyTierReport(c.now, s.id, elmseam.TierReport{Share: v.HoldBackShare, ShareAt: v.HoldBackShareAt, Rate: v.FairRate, Failing: v.Observers > 1 && v.FailingShare > 0.5, RoundTrip: v.MinSetUpTime})
	if h := &s.drainReport; v.DrainingSince > h.listedAt && h.expiry == 0 && s.Phase == elmseam.Ready {
		h.expiry = c.now + c.limits.ReportedDrainTTL
		c.setTimer(h.expiry, Token{kind: tokenDrainReport, server: s.Name})
		c.updatePhases([]*server{s}, false, false)
	}
}

// unhear forgets that a server is held for draining: the own list, which is late, has not confirmed it.
func (c *Core) expireDrainReport(name string) {
	if s := c.servers[name]; s != nil && s.drainReport.expiry > 0 && c.now >= s.drainReport.expiry {
		s.drainReport = drainReport{listedAt: c.now}
		c.updatePhases([]*server{s}, false, false)
	}
}

// named are the servers by the hash of their names; two that hash alike are left out.
func (c *Core) serversByKey() map[uint32]*server {
	all := make(map[uint32]*server, len(c.serverOrder))
	for _, s := range c.serverOrder {
		if s.Phase == elmseam.Gone {
			continue
		}
		key := uint32(xxh3.HashString(s.Name))
		if _, twice := all[key]; twice {
			all[key] = nil
			continue
		}
		all[key] = s
	}
	return all
}

// seen tells knowledge what this softswitch has seen itself.
func (c *Core) reportObservations() {
	own := make(map[uint32]knowledge.Observation)
	for key, s := range c.serversByKey() {
		if s == nil {
			continue
		}
		k, _ := c.controller.Observed(s.id, c.now)
		e := knowledge.Observation{HoldBackShare: k.Share, HoldBackShareAt: k.ShareAt, Rate: k.Rate, Lines: k.TotalLines, FailureWeight: k.FailureWeight, MinSetUpTime: k.MinSetUpTime}
		if s.Phase == elmseam.Draining {
			e.DrainingSince = s.drainReport.listedAt
		}
		own[key] = e
	}
	c.stepKnowledge(knowledge.LocalObservations{Servers: own})
}

// ride has what this softswitch has seen ride on a datagram of membership.
func (c *Core) appendPiggyback(data []byte) []byte {
	if c.knowledge == nil {
		return data
	}
	c.reportObservations()
	return c.knowledge.AppendPiggyback(c.now, data)
}

// knowThere tells knowledge who is there. Who dies leaves its callers to the others, who serve them at rates that would
// follow slowly; who comes back takes them back. A suspicion is enough: the callers of one that answers nobody leave it long
// before it is held dead, and a rate that is held too high for a while costs little.
func (c *Core) knowledgeAvailability(m int, was, is membership.State) {
	c.stepKnowledge(knowledge.MemberAvailability{Member: m, Available: is.Available()})
	if c.knowledge == nil {
		return
	}
	switch times := c.takeoverFactors[m]; {
	case was.Available() && !is.Available():
		times = c.knowledge.TakeoverFactor([]int{m}, c.membership.View().Available)
		c.takeoverFactors[m] = times
		c.controller.ScaleRates(c.now, times)
	case times > 0 && is.Available():
		delete(c.takeoverFactors, m)
		c.controller.ScaleRates(c.now, 1/times)
	}
}

// ServerKnowledge is what is known of a server, for operators.
type ServerKnowledge struct {
	Name          string
	Phase         elmseam.Phase
	DrainReported bool // it is held for draining by a peer's word alone
	View          knowledge.View
	Reports       []knowledge.ObserverEntry
	ColdRate      float64 // that may be used of its budget, while it is cold; negative: the own part counts
}

// KnowledgeStats are what operators are shown of what the tier knows.
type KnowledgeStats struct {
	knowledge.Counters
	Servers []ServerKnowledge
}

// known are the figures of knowledge; nil where it is off.
func (c *Core) knowledgeStats() *KnowledgeStats {
	if c.knowledge == nil {
		return nil
	}
	f := &KnowledgeStats{Counters: c.knowledge.Counters()}
	named := c.serversByKey()
	for _, s := range c.serverOrder {
		key := uint32(xxh3.HashString(s.Name))
		if named[key] != s {
			continue
		}
		e := ServerKnowledge{Name: s.Name, Phase: s.effectivePhase, DrainReported: s.drainReport.expiry > 0, View: c.knowledge.View(c.now, key), Reports: c.knowledge.Entries(key), ColdRate: -1}
		if c.budget != nil && c.budget.AnyCold() {
			if rate, known := c.budget.Rate(c.now, incarnationKey(s)); known {
				e.ColdRate = rate
			}
		}
		f.Servers = append(f.Servers, e)
	}
	return f
}
