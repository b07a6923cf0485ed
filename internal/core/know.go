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
type hearsay struct {
	told  Time // when the own list spoke of it last
	until Time // till then it is held for draining, as a peer's list says so that is newer
}

// know begins. A second Know changes nothing.
func (c *Core) know(ev StartKnowledge) {
	if c.knows != nil || c.fleet == nil {
		return
	}
	knows, out, err := knowledge.New(ev.Config, c.now)
	if err != nil {
		c.do(Violation{Rule: err.Error()})
		return
	}
	c.knows, c.carried = knows, make(map[int]float64)
	c.learnt(out)
	for m, e := range c.fleet.Members() {
		c.toKnow(knowledge.MemberAvailability{Member: m, Available: e.State.Available()})
	}
}

// toKnow hands knowledge an event.
func (c *Core) toKnow(ev knowledge.Event) {
	if c.knows != nil {
		c.learnt(c.knows.Step(c.now, ev))
	}
}

// learnt carries out what knowledge asks for.
func (c *Core) learnt(out []knowledge.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case knowledge.Send:
			c.do(SendToMember{To: e.To, Data: e.Data})
		case knowledge.Timer:
			c.timer(e.At, Token{kind: tokenKnow, know: e.Token})
		case knowledge.ServersUpdated:
			for _, key := range e.Servers {
				c.learn(key)
			}
		}
	}
}

// learn hands the module what the tier knows of a server.
func (c *Core) learn(key uint32) {
	s := c.named()[key]
	if s == nil {
		return
	}
	v := c.knows.View(c.now, key)
	c.ctl.ApplyTierReport(c.now, s.id, elmseam.TierReport{Share: v.HoldBackShare, ShareAt: v.HoldBackShareAt, Rate: v.FairRate, Failing: v.Observers > 1 && v.FailingShare > 0.5, RoundTrip: v.MinSetUpTime})
	if h := &s.hears; v.DrainingSince > h.told && h.until == 0 && s.Phase == elmseam.Ready {
		h.until = c.now + c.limits.ReportedDrainTTL
		c.timer(h.until, Token{kind: tokenHearsay, server: s.Name})
		c.phases([]*server{s}, false, false)
	}
}

// unhear forgets that a server is held for draining: the own list, which is late, has not confirmed it.
func (c *Core) unhear(name string) {
	if s := c.servers[name]; s != nil && s.hears.until > 0 && c.now >= s.hears.until {
		s.hears = hearsay{told: c.now}
		c.phases([]*server{s}, false, false)
	}
}

// named are the servers by the hash of their names; two that hash alike are left out.
func (c *Core) named() map[uint32]*server {
	all := make(map[uint32]*server, len(c.order))
	for _, s := range c.order {
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
func (c *Core) seen() {
	own := make(map[uint32]knowledge.Observation)
	for key, s := range c.named() {
		if s == nil {
			continue
		}
		k, _ := c.ctl.Observed(s.id, c.now)
		e := knowledge.Observation{HoldBackShare: k.Share, HoldBackShareAt: k.ShareAt, Rate: k.Rate, Lines: k.TotalLines, FailureWeight: k.FailureWeight, MinSetUpTime: k.MinSetUpTime}
		if s.Phase == elmseam.Draining {
			e.DrainingSince = s.hears.told
		}
		own[key] = e
	}
	c.toKnow(knowledge.LocalObservations{Servers: own})
}

// ride has what this softswitch has seen ride on a datagram of membership.
func (c *Core) ride(data []byte) []byte {
	if c.knows == nil {
		return data
	}
	c.seen()
	return c.knows.AppendPiggyback(c.now, data)
}

// knowThere tells knowledge who is there. Who dies leaves its callers to the others, who serve them at rates that would
// follow slowly; who comes back takes them back. A suspicion is enough: the callers of one that answers nobody leave it long
// before it is held dead, and a rate that is held too high for a while costs little.
func (c *Core) knowThere(m int, was, is membership.State) {
	c.toKnow(knowledge.MemberAvailability{Member: m, Available: is.Available()})
	if c.knows == nil {
		return
	}
	switch times := c.carried[m]; {
	case was.Available() && !is.Available():
		times = c.knows.TakeoverFactor([]int{m}, c.fleet.View().Available)
		c.carried[m] = times
		c.ctl.ScaleRates(c.now, times)
	case times > 0 && is.Available():
		delete(c.carried, m)
		c.ctl.ScaleRates(c.now, 1/times)
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
func (c *Core) known() *KnowledgeStats {
	if c.knows == nil {
		return nil
	}
	f := &KnowledgeStats{Counters: c.knows.Counters()}
	named := c.named()
	for _, s := range c.order {
		key := uint32(xxh3.HashString(s.Name))
		if named[key] != s {
			continue
		}
		e := ServerKnowledge{Name: s.Name, Phase: s.told, DrainReported: s.hears.until > 0, View: c.knows.View(c.now, key), Reports: c.knows.Entries(key), ColdRate: -1}
		if c.parts != nil && c.parts.AnyCold() {
			if rate, known := c.parts.Rate(c.now, startOf(s)); known {
				e.ColdRate = rate
			}
		}
		f.Servers = append(f.Servers, e)
	}
	return f
}
