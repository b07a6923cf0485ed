package core

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/budget"
	"elmseam/internal/membership"
)

// Parts of a cold server's budget move between the softswitches of the tier (internal/budget); membership tells it who is
// there. What may be used here is set anew before each event, as a lease may have run out while this process stood still.

// StartBudget begins this softswitch's part in moving the tier's parts of cold servers' budgets. It needs a Join before.
type StartBudget struct{ Config budget.Config }

func (StartBudget) event() {}

// share begins. A second Share changes nothing.
func (c *Core) share(ev StartBudget) {
	if c.parts != nil || c.fleet == nil {
		return
	}
	parts, out, err := budget.New(ev.Config, c.now)
	if err != nil {
		c.do(Violation{Rule: err.Error()})
		return
	}
	c.parts = parts
	c.partEffects(out)
	for m, e := range c.fleet.Members() {
		c.toParts(budget.MemberAvailability{Member: m, Available: e.State.Available()})
	}
	c.colds()
}

// toParts hands budget an event.
func (c *Core) toParts(ev budget.Event) {
	if c.parts != nil {
		c.partEffects(c.parts.Step(c.now, ev))
	}
}

// partEffects carries out what budget asks for.
func (c *Core) partEffects(out []budget.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case budget.Send:
			c.do(SendToMember{To: e.To, Data: e.Data})
		case budget.Timer:
			c.timer(e.At, Token{kind: tokenParts, parts: e.Token})
		}
	}
}

// startOf names one start of a server, alike at every softswitch that was told of it.
func startOf(s *server) uint32 {
	return uint32(xxh3.HashString(s.Name + " " + strconv.FormatInt(int64(s.Started), 10)))
}

// settling is how long a softswitch that has just started tells anew what its part of a cold server is: at first it has
// counted nothing, and a part of nothing would stay so until the server is warm.
const settling = 15 * time.Second

// colds tells budget of the servers that are cold.
func (c *Core) colds() {
	if c.parts == nil {
		return
	}
	for _, s := range c.order {
		cold, yes := c.ctl.ColdBudget(s.id, c.now)
		if yes && s.coldAt != s.Started {
			s.coldAt, s.coldFrom, s.coldSent = s.Started, c.now, 0
		} else if c.now > c.since+settling {
			yes = false
		}
		if yes {
			c.toParts(budget.ColdServer{Server: startOf(s), Rate: cold.Quota, Until: cold.Until})
		}
	}
	c.allot()
}

// allot tells the module what may be used of cold servers' budgets now.
func (c *Core) allot() {
	if c.parts == nil || !c.parts.AnyCold() {
		return
	}
	for _, s := range c.order {
		if s.coldAt == 0 || s.coldAt != s.Started {
			continue
		}
		rate, known := c.parts.Rate(c.now, startOf(s))
		if !known {
			rate = -1
		}
		c.ctl.SetColdRate(s.id, rate)
	}
}

// coldUse is how much of its own part of cold servers' budgets this softswitch has used since it was asked last, of the
// one of which it used most; 1 is all.
func (c *Core) coldUse() (most float64) {
	for _, s := range c.order {
		cold, yes := c.ctl.ColdBudget(s.id, c.now)
		if dt := (c.now - s.coldFrom).Seconds(); yes && s.coldAt == s.Started && dt > 0 {
			if own := cold.RateMultiple * cold.Quota * dt; own > 0 {
				most = max(most, float64(s.coldSent)/own)
			}
		}
		s.coldFrom, s.coldSent = c.now, 0
	}
	return most
}

// partThere tells budget who is there. One that is merely suspected is not: what it left can be had only when its lease
// has run out.
func (c *Core) partThere(m int, s membership.State) {
	c.toParts(budget.MemberAvailability{Member: m, Available: s.Available()})
}

// QuotaStats are what operators are shown of parts of budgets.
type QuotaStats struct {
	budget.Counters
	Enabled bool // false: the tier is too great for it
	Active  bool // a server is cold
	Quotas  []budget.Quota
}

// shared are the figures of parts; nil where they don't move.
func (c *Core) shared() *QuotaStats {
	if c.parts == nil {
		return nil
	}
	return &QuotaStats{Counters: c.parts.Counters(), Enabled: c.parts.Transferable(), Active: c.parts.AnyCold(), Quotas: c.parts.Quotas()}
}
