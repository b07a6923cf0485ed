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
	reducer, effects, err := knowledge.New(ev.Config, c.now)
	if err != nil {
		c.emit(Violation{Rule: err.Error()})
		return
	}
	c.knowledge, c.takeoverFactors = reducer, make(map[int]float64)
	c.knowledgeEffects(effects)
	for index, member := range c.membership.Members() {
		c.stepKnowledge(knowledge.MemberAvailability{Member: index, Available: member.State.Available()})
	}
}

// toKnow hands knowledge an event.
func (c *Core) stepKnowledge(ev knowledge.Event) {
	if c.knowledge != nil {
		c.knowledgeEffects(c.knowledge.Step(c.now, ev))
	}
}

// learnt carries out what knowledge asks for.
func (c *Core) knowledgeEffects(effects []knowledge.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case knowledge.Send:
			c.emit(SendToMember{To: effect.To, Data: effect.Data})
		case knowledge.Timer:
			c.setTimer(effect.At, Token{kind: tokenKnowledge, knowledge: effect.Token})
		case knowledge.ServersUpdated:
			for _, key := range effect.Servers {
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
	view := c.knowledge.View(c.now, key)
	c.controller.ApplyTierReport(c.now, s.id, elmseam.TierReport{Share: view.HoldBackShare, ShareAt: view.HoldBackShareAt, Rate: view.FairRate, Failing: view.Observers > 1 && view.FailingShare > 0.5, RoundTrip: view.MinSetUpTime})
	if report := &s.drainReport; view.DrainingSince > report.listedAt && report.expiry == 0 && s.Phase == elmseam.Ready {
		report.expiry = c.now + c.limits.ReportedDrainTTL
		c.setTimer(report.expiry, Token{kind: tokenDrainReport, server: s.Name})
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
	byKey := make(map[uint32]*server, len(c.serverOrder))
	for _, s := range c.serverOrder {
		if s.Phase == elmseam.Gone {
			continue
		}
		key := uint32(xxh3.HashString(s.Name))
		if _, duplicate := byKey[key]; duplicate {
			byKey[key] = nil
			continue
		}
		byKey[key] = s
	}
	return byKey
}

// seen tells knowledge what this softswitch has seen itself.
func (c *Core) reportObservations() {
	observations := make(map[uint32]knowledge.Observation)
	for key, s := range c.serversByKey() {
		if s == nil {
			continue
		}
		observed, _ := c.controller.Observed(s.id, c.now)
		observation := knowledge.Observation{HoldBackShare: observed.Share, HoldBackShareAt: observed.ShareAt, Rate: observed.Rate, Lines: observed.TotalLines, FailureWeight: observed.FailureWeight, MinSetUpTime: observed.MinSetUpTime}
		if s.Phase == elmseam.Draining {
			observation.DrainingSince = s.drainReport.listedAt
		}
		observations[key] = observation
	}
	c.stepKnowledge(knowledge.LocalObservations{Servers: observations})
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
func (c *Core) knowledgeAvailability(member int, oldState, newState membership.State) {
	c.stepKnowledge(knowledge.MemberAvailability{Member: member, Available: newState.Available()})
	if c.knowledge == nil {
		return
	}
	switch factor := c.takeoverFactors[member]; {
	case oldState.Available() && !newState.Available():
		factor = c.knowledge.TakeoverFactor([]int{member}, c.membership.View().Available)
		c.takeoverFactors[member] = factor
		c.controller.ScaleRates(c.now, factor)
	case factor > 0 && newState.Available():
		delete(c.takeoverFactors, member)
		c.controller.ScaleRates(c.now, 1/factor)
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
	stats := &KnowledgeStats{Counters: c.knowledge.Counters()}
	byKey := c.serversByKey()
	for _, s := range c.serverOrder {
		key := uint32(xxh3.HashString(s.Name))
		if byKey[key] != s {
			continue
		}
		entry := ServerKnowledge{Name: s.Name, Phase: s.effectivePhase, DrainReported: s.drainReport.expiry > 0, View: c.knowledge.View(c.now, key), Reports: c.knowledge.Entries(key), ColdRate: -1}
		if c.budget != nil && c.budget.AnyCold() {
			if rate, known := c.budget.Rate(c.now, incarnationKey(s)); known {
				entry.ColdRate = rate
			}
		}
		stats.Servers = append(stats.Servers, entry)
	}
	return stats
}
