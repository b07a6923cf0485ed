package elmseam

// Exchange of observations and budgets with the other softswitches of the tier, through the embedding
// softswitch.

import "time"

// SetColdQuotaFraction sets the fraction, 0 to 1, of its own quota of a cold server's budget that this
// softswitch uses.
func (c *Controller) SetColdQuotaFraction(fraction float64) {
	c.coldQuotaFraction = min(max(fraction, 0), 1)
}

// SetColdRate sets the quota of a cold server's budget that the tier allots to this softswitch, in set-ups
// per second of a warm server. With a negative rate the softswitch uses the fraction of its own quota that
// SetColdQuotaFraction has set.
func (c *Controller) SetColdRate(id ServerID, rate float64) {
	if s := c.serversByID[id]; s != nil {
		s.allottedRate = rate
	}
}

// Observation is what this softswitch has observed of a server itself, without what tier reports told.
type Observation struct {
	HoldBackShare   float64       // hold-back share of the last report to this softswitch, 0 to 1
	HoldBackShareAt Time          // time of that report; 0: none
	Rate            float64       // set-ups per second that the warm server takes from here; 0: unknown
	TotalLines      float64       // most lines that the server has reported in all; 0: none reported
	FailureWeight   int           // weight of the consecutive failures
	MinSetUpTime    time.Duration // shortest set-up time, taken for the round trip; 0: unknown
}

// Observed returns what this softswitch has observed of a server itself until now, and whether the server is
// known: it is listed or still has a pending attempt.
func (c *Controller) Observed(id ServerID, now Time) (observation Observation, known bool) {
	s := c.serversByID[id]
	if s == nil {
		return observation, false
	}
	observation = Observation{
		HoldBackShare: s.ownHoldBack, HoldBackShareAt: s.ownHoldBackAt, TotalLines: s.maxLines,
		FailureWeight: s.failureWeight, MinSetUpTime: s.minSetUpTime,
	}
	switch {
	case s.startedAt > 0 && now < s.startedAt+c.settings.ColdRamp:
		observation.Rate = s.rateBeforeRestart
	case !c.newlyStarted(now) && c.currentImportedRateShare(now) < 0.5:
		// A rate of which half or more comes from members, not from own calls, is not passed on.
		observation.Rate = c.rateAt(s.establishedCounter, now)
	}
	return observation, true
}

// TierReport is what the other members of the tier have observed of a server.
type TierReport struct {
	HoldBackShare   float64       // hold-back share that their load reports, and those here, ask for, 0 to 1
	HoldBackShareAt Time          // time of the newest of these load reports; 0: none
	Rate            float64       // mean set-ups per second per member that the warm server takes; 0: unknown
	Failing         bool          // whether the server is failing for most members
	MinSetUpTime    time.Duration // longest of the members' shortest set-up times; 0: unknown
}

// ScaleRates multiplies the rates that this softswitch has counted by factor, after callers of other members
// of the tier have moved here or back. Counting alone would show the change only after about
// rateTimeConstant. The quotas of cold servers' budgets are not scaled: coldQuota leaves out the
// importedRateShare, which is adapted here. A factor that is not positive changes nothing.
func (c *Controller) ScaleRates(now Time, factor float64) {
	if !(factor > 0) || c.startedAt == 0 {
		return
	}
	for _, s := range c.servers {
		s.establishedCounter.count *= factor
	}
	c.establishedCounter.count *= factor
	c.offeredCounter.count *= factor
	c.importedRateShare, c.importedRateShareAt = max(1-(1-c.currentImportedRateShare(now))/factor, 0), now
}

// currentImportedRateShare returns the share of the rates that does not come from calls of this softswitch.
// The share decays like the counters behind the rates.
func (c *Controller) currentImportedRateShare(now Time) float64 {
	return c.importedRateShare * decayFactor((now - c.importedRateShareAt).Seconds())
}

// ColdBudget is this softswitch's budget of set-ups to a cold server.
type ColdBudget struct {
	ColdUntil    Time    // time at which the server is warm
	Quota        float64 // this softswitch's own quota, in set-ups per second of the warm server
	RateMultiple float64 // set-ups that the server may get now for each set-up that the warm server takes
}

// ColdBudget returns the budget of a cold server, or false if the server is not listed, not ready or not cold
// at the given time.
func (c *Controller) ColdBudget(id ServerID, now Time) (ColdBudget, bool) {
	s := c.serversByID[id]
	if s == nil || s.phase != PhaseReady || s.startedAt <= 0 || now >= s.startedAt+c.settings.ColdRamp {
		return ColdBudget{}, false
	}
	return ColdBudget{s.startedAt + c.settings.ColdRamp, c.coldQuota(s), c.coldRateMultiple(s, now)}, true
}

// Blocked returns whether a server gets no new set-ups now, except for trials and last resorts: it is not
// listed or not ready, it is blocked, its load reports ask to hold back everything, or it has no free line.
func (c *Controller) Blocked(id ServerID, now Time) bool {
	s := c.serversByID[id]
	return s == nil || s.phase != PhaseReady || s.blocked ||
		s.reportedHoldBack >= 1 && now < s.holdBackExpiry || s.lineHoldBack >= 1
}

// HasCall returns whether a call still needs an answer or has an attempt pending.
func (c *Controller) HasCall(id CallID) bool { return c.calls[id] != nil }

// Calls returns the number of calls that still need an answer or have an attempt pending.
func (c *Controller) Calls() int { return len(c.calls) }
