package elmseam

// Budgets of set-ups to cold servers, to servers short of lines and for diverted calls, and the expected
// rates that the budgets are based on.

// isCold returns whether a server has started so recently that it may not be warm.
func (c *Controller) isCold(s *server) bool {
	return s.startedAt > 0 && c.now < s.startedAt+c.settings.ColdRamp
}

// coldBudgetAllows returns whether this softswitch's budget for a server allows another set-up; a warm
// server has no such budget. The budget's rate is this softswitch's quota of what the warm server takes,
// times the share that is surely warm by now, times a safe part of the overload multiple. If every
// softswitch keeps to its quota, the server is not overloaded.
//
// In a large tier the budget of one softswitch is a small fraction of a set-up, so the budget starts at a
// random phase: otherwise the first set-ups of all softswitches would come at once.
func (c *Controller) coldBudgetAllows(s *server) bool {
	if !c.isCold(s) {
		return true
	}
	quota := s.allottedRate
	if quota < 0 {
		quota = c.coldQuotaFraction * c.coldQuota(s)
	}
	return s.coldBudget.refillCapped(
		c.now, c.coldRateMultiple(s, c.now)*quota, coldBurst, c.retransmitIntervals(coldSaveTime),
	)
}

// coldRateMultiple returns the number of set-ups that a cold server may get, at the time now, for each set-up
// that it takes when warm. A start in the future, by a clock that differs, counts as one just now.
func (c *Controller) coldRateMultiple(s *server, now Time) float64 {
	warmShare := c.settings.ColdInitialShare + (1-c.settings.ColdInitialShare)*
		float64(max(now-s.startedAt, 0))/float64(c.settings.ColdRamp)
	return coldSafetyFactor * c.settings.OverloadMultiple * warmShare
}

// coldQuota returns this softswitch's own quota of a cold server's budget, in set-ups per second of the
// warm server: what the server took from here before its restart, as the number of lines says little about
// the processor, or else the expected rate without the rates reported by members.
func (c *Controller) coldQuota(s *server) float64 {
	if s.rateBeforeRestart > 0 {
		return s.rateBeforeRestart
	}
	return c.expectedRate(s) * (1 - c.currentImportedRateShare(c.now))
}

// lineAvailable returns whether a server has a line for one more call. Where few lines are free, all
// softswitches learn of the same lines and compete for them, and each refused set-up costs the server
// processor time.
//
// Until lineShortUntil, a softswitch therefore reuses the lines that its own calls have freed, and keeps the
// last of them for calls of high worth. It also tries for other lines, as a newly started softswitch has
// freed none, but the less often the fewer are free.
func (c *Controller) lineAvailable(s *server, call *callState) bool {
	freeRatio := s.freeLines / max(lowLineShare*s.totalLines, 1)
	if c.now >= s.lineShortUntil || freeRatio >= 1 {
		return true
	}
	if s.reusableLines >= 1 && c.isHighWorth(call) || s.reusableLines >= 1+reservedLines {
		return true
	}
	return s.lineTryBudget.refill(c.now, freeRatio*freeRatio*c.expectedRate(s), 1) && s.freeLines >= 1
}

// divertBudgetAllows returns whether a server's divert budget, for calls whose first choice is another
// server, allows one more call. Reports show a flood of diverted calls only after it has come: where a large
// server leaves, its whole load would fall on small servers and jam them for long. The budget's rate is
// therefore based on the server's expected rate.
//
// Calls of high worth overdraw the budget, but not so far that other calls are kept out for long.
func (c *Controller) divertBudgetAllows(s *server, call *callState) bool {
	rate := divertFactor * c.expectedRate(s)
	if c.now < s.holdBackExpiry {
		rate *= 1 + (idleDivertFactor-1)*max(1-c.requestedHoldBack(s)/idleMaxShare, 0)
	}
	budgetAllows := s.divertBudget.refillCapped(
		c.now, rate, divertBurst, c.retransmitIntervals(divertSaveTime),
	)
	// A newly started softswitch knows no rate.
	return budgetAllows || c.isHighWorth(call) || c.newlyStarted(c.now) && c.importedRateShare == 0
}

// newlyStarted returns whether this softswitch has just started and knows no rates of its own.
func (c *Controller) newlyStarted(now Time) bool {
	return c.startedAt == 0 || (now-c.startedAt).Seconds() < minRateSpan
}

// expectedRate returns the set-ups per second that a server is expected to take from this softswitch: its
// share, by lines, of what warm servers take.
func (c *Controller) expectedRate(s *server) float64 { return c.ratePerLine * c.maxLinesOrMean(s) }

// maxLinesOrMean returns the most lines that a server has reported, as a measure of its processor. For a
// server that reports no lines it returns the mean of the others, or 1 if no server reports lines.
func (c *Controller) maxLinesOrMean(s *server) float64 {
	if s.maxLines > 0 {
		return s.maxLines
	}
	return c.meanLines
}

// updateRatePerLine updates ratePerLine: the calls established at warm servers, over the line seconds that
// these servers had for them. Each line of a warm server adds one line second per second, and both counts
// have the same decay. Servers that leave, few or many, thus change the rate by no more than what they took
// themselves. With no server left the last known rate holds until the line seconds have decayed to the least
// divisor, which is about minRateSpan for each line.
//
// The established calls count as at least minOfferedShare of the offered calls: a softswitch that has newly
// started, or whose calls were not established lately, has to try some server.
func (c *Controller) updateRatePerLine() {
	reportedLines, reporting := 0.0, 0.0
	for _, s := range c.servers {
		if s.maxLines > 0 {
			reportedLines, reporting = reportedLines+s.maxLines, reporting+1
		}
	}
	if c.meanLines = 1; reporting > 0 {
		c.meanLines = reportedLines / reporting
	}
	warmLines, allLines, elapsed := 0.0, 1.0, (c.now - c.lineSecondsAt).Seconds()
	for _, s := range c.servers {
		if allLines += c.maxLinesOrMean(s); s.phase == PhaseReady && !c.isCold(s) {
			warmLines += c.maxLinesOrMean(s)
		}
	}
	c.lineSeconds, c.lineSecondsAt =
		c.lineSeconds*decayFactor(elapsed)+warmLines*min(elapsed, rateTimeConstant), c.now
	c.ratePerLine = max(c.establishedCounter.value(c.now), minOfferedShare*c.offeredCounter.value(c.now)) /
		max(c.lineSeconds, allLines*minRateSpan)
}

// currentRate returns the rate of a counter now, per second.
func (c *Controller) currentRate(counter decayingCounter) float64 { return c.rateAt(counter, c.now) }

// rateAt returns the rate of a counter, per second, as it was at a time not before the last addition.
func (c *Controller) rateAt(counter decayingCounter, at Time) float64 {
	return counter.value(at) /
		(rateTimeConstant * (1 - decayFactor(max((at-c.startedAt).Seconds(), minRateSpan))))
}
