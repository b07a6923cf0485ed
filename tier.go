package elmseam

// What the embedding softswitch asks of the module and tells it of its tier. Nothing here decides.

import "time"

// SetColdQuotaFraction sets the part, up to 1, of its own part of a cold server's budget that this sender takes.
func (c *Controller) SetColdQuotaFraction(fraction float64) {
	c.coldQuotaFraction = min(max(fraction, 0), 1)
}

// SetColdRate sets what the tier lets this sender use of a cold server's budget, in set-ups a second of a warm one, in the place
// of its own part. Negative: the own part counts.
func (c *Controller) SetColdRate(id ServerID, rate float64) {
	if s := c.byID[id]; s != nil {
		s.allottedRate = rate
	}
}

// Observation is what this sender has seen of a server itself.
type Observation struct {
	Share         float64       // hold-back share last told to it
	ShareAt       Time          // when; 0: never
	Rate          float64       // set-ups a second that the server takes from here when warm; 0: not known
	TotalLines    float64       // 0: not told
	FailureWeight int           // weight of the bad endings in a row
	MinSetUpTime  time.Duration // shortest set-up time: the way there and back; 0: none stood yet
}

// Observation is what this sender has seen of a server itself, at a time.
func (c *Controller) Observed(id ServerID, now Time) (observation Observation, listed bool) {
	s := c.byID[id]
	if s == nil {
		return observation, false
	}
	observation = Observation{Share: s.ownShare, ShareAt: s.ownShareAt, TotalLines: s.maxLines, FailureWeight: s.failureWeight, MinSetUpTime: s.minSetUpTime}
	switch {
	case s.started > 0 && now < s.started+c.settings.ColdRamp:
		observation.Rate = s.rateBeforeRestart
	case !c.newlyStarted(now) && c.currentImportedShare(now) < 0.5: // what was heard is not told on
		observation.Rate = c.rateAt(s.established, now)
	}
	return observation, true
}

// TierReport is what others of the tier have seen of a server.
type TierReport struct {
	Share     float64       // to hold back, by their reports
	ShareAt   Time          // of the newest of these; 0: there is none
	Rate      float64       // set-ups a second that it takes from one of them when warm, on the mean; 0: not known
	Failing   bool          // most of them hold it for failing
	RoundTrip time.Duration // the longest of their ways there and back; 0: not known
}

// ScaleRates scales the rates that this sender holds for its own: others of the tier have left it their callers, or taken them
// back. Counting would show it within the memory of rates; budgets while cold go by counting alone (see coldPart).
func (c *Controller) ScaleRates(now Time, factor float64) {
	if !(factor > 0) || c.startedAt == 0 {
		return
	}
	for _, s := range c.servers {
		s.established.count *= factor
	}
	c.established.count *= factor
	c.offered.count *= factor
	c.importedShare, c.importedShareAt = max(1-(1-c.currentImportedShare(now))/factor, 0), now
}

// foreignNow is the share of the rates that is not of calls from here: it fades as these do.
func (c *Controller) currentImportedShare(now Time) float64 {
	return c.importedShare * decayFactor((now - c.importedShareAt).Seconds())
}

// ColdBudget is what this sender holds of a server that is cold.
type ColdBudget struct {
	Until        Time    // it is warm then
	Quota        float64 // this sender's own part of it, in set-ups a second of a warm one
	RateMultiple float64 // set-ups a second that may be sent to it now for each that a warm one takes
}

// ColdBudget says whether a server is cold at a time, and what is held of it.
func (c *Controller) ColdBudget(id ServerID, now Time) (ColdBudget, bool) {
	s := c.byID[id]
	if s == nil || s.phase != Ready || s.started <= 0 || now >= s.started+c.settings.ColdRamp {
		return ColdBudget{}, false
	}
	return ColdBudget{s.started + c.settings.ColdRamp, c.coldQuota(s), c.coldRateMultiple(s, now)}, true
}

// Blocked says whether a server gets nothing new for now: it is not ready, or its cut is a full one.
func (c *Controller) Blocked(id ServerID, now Time) bool {
	s := c.byID[id]
	return s == nil || s.phase != Ready || s.blocked || s.reportedShare >= 1 && now < s.shareExpiry || s.lineShare >= 1
}

// HasCall says whether a call is in hand, and Calls how many are.
func (c *Controller) HasCall(id CallID) bool { return c.calls[id] != nil }

func (c *Controller) Calls() int { return len(c.calls) }
