package core

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/budget"
	"elmseam/internal/membership"
)

// The budget reducer (internal/budget) moves units of the quotas of cold servers' budgets between the members of the tier;
// membership tells it which members are available. A cold server has just started and ramps up (slow start). Until it is warm, its
// budget limits the set-ups that all members together may send to it, and each member has a quota of that budget. The
// controller's rates of set-ups to cold servers are set again before each event, as a lease of units may have expired while this process
// was stalled.

// StartBudget begins to share the quotas of cold servers' budgets with the tier. It has no effect without a StartMembership before
// it.
type StartBudget struct{ Config budget.Config }

func (StartBudget) event() {}

// startBudget starts the budget reducer. A second StartBudget has no effect.
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
	c.applyBudgetEffects(effects)
	for index, member := range c.membership.Members() {
		c.stepBudget(budget.MemberAvailability{Member: index, Available: member.State.Available()})
	}
	c.reportColdServers()
}

// stepBudget gives the budget reducer an event and carries out its effects.
func (c *Core) stepBudget(ev budget.Event) {
	if c.budget != nil {
		c.applyBudgetEffects(c.budget.Step(c.now, ev))
	}
}

// applyBudgetEffects carries out effects of the budget reducer.
func (c *Core) applyBudgetEffects(effects []budget.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case budget.Send:
			c.emit(SendToMember{To: effect.To, Data: effect.Data})
		case budget.Timer:
			c.setTimer(effect.At, Token{kind: tokenBudget, budget: effect.Token})
		}
	}
}

// incarnationKey hashes the name of a server and the time when its process started. The key of an incarnation is the same at every
// member.
func incarnationKey(s *server) uint32 {
	return uint32(xxh3.HashString(s.Name + " " + strconv.FormatInt(int64(s.Started), 10)))
}

// coldReportPeriod is the time from the start of this softswitch for which its quota of a cold server is reported repeatedly. At the
// start no set-ups have been counted, so the first reported quota is 0, and without an update it would stay 0 until the server is warm.
const coldReportPeriod = 15 * time.Second

// reportColdServers reports the cold servers, with the quotas of this softswitch, to the budget reducer: once for each start of a
// server, and at every call within coldReportPeriod after the start of this softswitch.
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
			c.stepBudget(budget.ColdServer{Server: incarnationKey(s), Rate: coldBudget.Quota, ColdUntil: coldBudget.ColdUntil})
		}
	}
	c.applyColdRates()
}

// applyColdRates sets the rates at which the controller may send set-ups to cold servers now.
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

// coldDemand returns the fraction of its own quota that this softswitch has used since the last call of coldDemand, for the cold
// server where that fraction is the highest. 1 means that the quota was used up.
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

// updateBudgetAvailability tells the budget reducer whether a member is available. A suspected member counts as unavailable, which is
// safe: the units that it holds can be taken only after its leases have expired.
func (c *Core) updateBudgetAvailability(member int, state membership.State) {
	c.stepBudget(budget.MemberAvailability{Member: member, Available: state.Available()})
}

// QuotaStats is the state of the budget reducer, as shown to operators.
type QuotaStats struct {
	budget.Counters
	Enabled bool           // false: the tier is too large to move units
	AnyCold bool           // a server is cold
	Quotas  []budget.Quota // by index of the member that the quota belongs to
}

// quotaStats returns the state of the budget reducer; nil if the quotas are fixed.
func (c *Core) quotaStats() *QuotaStats {
	if c.budget == nil {
		return nil
	}
	return &QuotaStats{Counters: c.budget.Counters(), Enabled: c.budget.Transferable(), AnyCold: c.budget.AnyCold(), Quotas: c.budget.Quotas()}
}
