package core

import (
	"github.com/zeebo/xxh3"

	"elmseam"
	"elmseam/internal/knowledge"
	"elmseam/internal/membership"
)

// The knowledge reducer (internal/knowledge), which shares observations of the servers within the tier, runs inside the core. The
// controller's own observations are piggybacked on membership datagrams. Observations reported by other members are weighed by
// the reducer and given to the controller by ApplyTierReport. They never add a server to the list. Only a reported drain acts on
// the core itself, and it can only stop new set-ups to a server, never permit them.

// StartKnowledge begins to share observations of the servers with the tier. It has no effect without a StartMembership before it.
type StartKnowledge struct{ Config knowledge.Config }

func (StartKnowledge) event() {}

// drainReport says whether other members report that a server drains, although it is ready in this softswitch's own list.
type drainReport struct {
	listedAt Time // when this softswitch's own server list last named the server, or a drain report expired; earlier reports do not count
	expiry   Time // the server counts as draining until then, as a member's report is later than listedAt; 0: not reported
}

// startKnowledge starts the knowledge reducer. A second StartKnowledge has no effect.
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
	c.applyKnowledgeEffects(effects)
	for index, member := range c.membership.Members() {
		c.stepKnowledge(knowledge.MemberAvailability{Member: index, Available: member.State.Available()})
	}
}

// stepKnowledge gives the knowledge reducer an event and carries out its effects.
func (c *Core) stepKnowledge(ev knowledge.Event) {
	if c.knowledge != nil {
		c.applyKnowledgeEffects(c.knowledge.Step(c.now, ev))
	}
}

// applyKnowledgeEffects carries out effects of the knowledge reducer.
func (c *Core) applyKnowledgeEffects(effects []knowledge.Effect) {
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

// applyTierReport gives the controller what other members report of a server. A reported drain later than the last entry of a ready
// server in this softswitch's own list makes the server count as draining for ReportedDrainTTL.
func (c *Core) applyTierReport(key uint32) {
	s := c.serversByKey()[key]
	if s == nil {
		return
	}
	view := c.knowledge.View(c.now, key)
	c.controller.ApplyTierReport(c.now, s.id, elmseam.TierReport{HoldBackShare: view.HoldBackShare, HoldBackShareAt: view.HoldBackShareAt, Rate: view.FairRate, Failing: view.Observers > 1 && view.FailingShare > 0.5, MinSetUpTime: view.MinSetUpTime})
	if report := &s.drainReport; view.DrainingSince > report.listedAt && report.expiry == 0 && s.Phase == elmseam.PhaseReady {
		report.expiry = c.now + c.limits.ReportedDrainTTL
		c.setTimer(report.expiry, Token{kind: tokenDrainReport, server: s.Name})
		c.updatePhases([]*server{s}, false, false)
	}
}

// expireDrainReport ends the effect of a reported drain that this softswitch's own server list has not confirmed within
// ReportedDrainTTL.
func (c *Core) expireDrainReport(name string) {
	if s := c.servers[name]; s != nil && s.drainReport.expiry > 0 && c.now >= s.drainReport.expiry {
		s.drainReport = drainReport{listedAt: c.now}
		c.updatePhases([]*server{s}, false, false)
	}
}

// serversByKey returns the servers of the list by the hash of their names. Servers whose names have the same hash are left out: their
// entry is nil.
func (c *Core) serversByKey() map[uint32]*server {
	byKey := make(map[uint32]*server, len(c.serverOrder))
	for _, s := range c.serverOrder {
		if s.Phase == elmseam.PhaseGone {
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

// reportObservations gives the knowledge reducer the observations of this softswitch.
func (c *Core) reportObservations() {
	observations := make(map[uint32]knowledge.Observation)
	for key, s := range c.serversByKey() {
		if s == nil {
			continue
		}
		observed, _ := c.controller.Observed(s.id, c.now)
		observation := knowledge.Observation{HoldBackShare: observed.HoldBackShare, HoldBackShareAt: observed.HoldBackShareAt, Rate: observed.Rate, TotalLines: observed.TotalLines, FailureWeight: observed.FailureWeight, MinSetUpTime: observed.MinSetUpTime}
		if s.Phase == elmseam.PhaseDraining {
			observation.DrainingSince = s.drainReport.listedAt
		}
		observations[key] = observation
	}
	c.stepKnowledge(knowledge.LocalObservations{Servers: observations})
}

// appendPiggyback appends the observations of this softswitch to a membership datagram.
func (c *Core) appendPiggyback(data []byte) []byte {
	if c.knowledge == nil {
		return data
	}
	c.reportObservations()
	return c.knowledge.AppendPiggyback(c.now, data)
}

// updateKnowledgeAvailability tells the knowledge reducer whether a member is available and adapts the controller's rates. The callers of a
// member that dies move to the other members, whose measured rates of calls would follow only slowly: the rates are raised at once by the
// takeover factor, and lowered by the same factor when the member is back.
//
// A suspected member already counts as unavailable: callers leave a member that does not respond long before it is declared dead, and rates
// that are too high for a while cost little.
func (c *Core) updateKnowledgeAvailability(member int, oldState, newState membership.State) {
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

// ServerKnowledge is the knowledge of a server, as shown to operators.
type ServerKnowledge struct {
	Name          string
	Phase         elmseam.Phase
	DrainReported bool                      // the server counts as draining only because members report so
	View          knowledge.View            // the weighed reports of the other members; its HoldBackShare also weighs this softswitch's own
	Reports       []knowledge.ObserverEntry // the report of each member that has one, this softswitch included
	// ColdRate is the quota of a cold server's budget that this softswitch may use, in set-ups per second of the warm server.
	// Negative: the server is not cold, or this softswitch's own quota applies.
	ColdRate float64
}

// KnowledgeStats is the state of the knowledge reducer, as shown to operators.
type KnowledgeStats struct {
	knowledge.Counters
	Servers []ServerKnowledge
}

// knowledgeStats returns the state of the knowledge reducer; nil if observations are not shared.
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
