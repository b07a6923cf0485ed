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
func (c *Core) startBudget(ev StartBudget) {
	if c.budget != nil || c.membership == nil {
		return
	}
	reducer, effects, err := budget.New(ev.Config, c.now)
	if err != nil {
		c.emit(Violation{Rule: err.Error()})
		return
	}
	c.budget = reducer
	c.budgetEffects(effects)
	for index, member := range c.membership.Members() {
		c.stepBudget(budget.MemberAvailability{Member: index, Available: member.State.Available()})
	}
	c.reportColdServers()
}

// toParts hands budget an event.
func (c *Core) stepBudget(ev budget.Event) {
	if c.budget != nil {
		c.budgetEffects(c.budget.Step(c.now, ev))
	}
}

// partEffects carries out what budget asks for.
func (c *Core) budgetEffects(effects []budget.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case budget.Send:
			c.emit(SendToMember{To: effect.To, Data: effect.Data})
		case budget.Timer:
			c.setTimer(effect.At, Token{kind: tokenBudget, budget: effect.Token})
		}
	}
}

// startOf names one start of a server, alike at every softswitch that was told of it.
func incarnationKey(s *server) uint32 {
	return uint32(xxh3.HashString(s.Name + " " + strconv.FormatInt(int64(s.Started), 10)))
}

// settling is how long a softswitch that has just started tells anew what its part of a cold server is: at first it has
// counted nothing, and a part of nothing would stay so until the server is warm.
const coldReportPeriod = 15 * time.Second

// colds tells budget of the servers that are cold.
func (c *Core) reportColdServers() {
	if c.budget == nil {
		return
	}
	for _, s := range c.serverOrder {
		coldBudget, isCold := c.controller.ColdBudget(s.id, c.now)
		if isCold && s.coldStart != s.Started {
			s.coldStart, s.coldCountSince, s.coldSetUps = s.Started, c.now, 0
		} else if c.now > c.startedAt+coldReportPeriod {
			isCold = false
		}
		if isCold {
			c.stepBudget(budget.ColdServer{Server: incarnationKey(s), Rate: coldBudget.Quota, Until: coldBudget.Until})
		}
	}
	c.applyColdRates()
}

// allot tells the module what may be used of cold servers' budgets now.
func (c *Core) applyColdRates() {
	if c.budget == nil || !c.budget.AnyCold() {
		return
	}
	for _, s := range c.serverOrder {
		if s.coldStart == 0 || s.coldStart != s.Started {
			continue
		}
		rate, known := c.budget.Rate(c.now, incarnationKey(s))
		if !known {
			rate = -1
		}
		c.controller.SetColdRate(s.id, rate)
	}
}

// coldUse is how much of its own part of cold servers' budgets this softswitch has used since it was asked last, of the
// one of which it used most; 1 is all.
func (c *Core) coldDemand() (demand float64) {
	for _, s := range c.serverOrder {
		coldBudget, isCold := c.controller.ColdBudget(s.id, c.now)
		if elapsed := (c.now - s.coldCountSince).Seconds(); isCold && s.coldStart == s.Started && elapsed > 0 {
			if quota := coldBudget.RateMultiple * coldBudget.Quota * elapsed; quota > 0 {
				demand = max(demand, float64(s.coldSetUps)/quota)
			}
		}
		s.coldCountSince, s.coldSetUps = c.now, 0
	}
	return demand
}

// partThere tells budget who is there. One that is merely suspected is not: what it left can be had only when its lease
// has run out.
func (c *Core) budgetAvailability(member int, state membership.State) {
	c.stepBudget(budget.MemberAvailability{Member: member, Available: state.Available()})
}

// QuotaStats are what operators are shown of parts of budgets.
type QuotaStats struct {
	budget.Counters
	Enabled bool // false: the tier is too great for it
	Active  bool // a server is cold
	Quotas  []budget.Quota
}

// shared are the figures of parts; nil where they don't move.
func (c *Core) quotaStats() *QuotaStats {
	if c.budget == nil {
		return nil
	}
	return &QuotaStats{Counters: c.budget.Counters(), Enabled: c.budget.Transferable(), Active: c.budget.AnyCold(), Quotas: c.budget.Quotas()}
}
