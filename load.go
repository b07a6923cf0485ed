package elmseam

// The load of servers: load reports, the hold-back share, blocked servers, unanswered set-ups.

import (
	"math"
	"time"
)

// applyReport replaces the load of a server by the load in a report. A report that asks for a hold-back
// share, 0 included, lifts a block, but until minBlockTime after the block only the lines of a report count.
func (c *Controller) applyReport(s *server, report Report) {
	c.applyLineReport(s, report)
	share, known := c.holdBackFromReport(s, report)
	if !known || s.blocked && c.now < s.blockedAt+c.retransmitIntervals(minBlockTime) {
		return
	}
	s.reportedHoldBack, s.holdBackExpiry, s.blocked, s.trialPending =
		share, c.now+c.retransmitIntervals(reportLifetime), false, false
	s.ownHoldBack, s.ownHoldBackAt = share, c.now
}

// ApplyTierReport processes what the other members of the tier have observed of a server. Their hold-back
// share counts like that of a load report if it is newer than the last one that counted, but not while the
// server is blocked. A server that is failing for them is blocked at its next failure here. Their set-up
// time is taken if none is known here.
//
// A newly started softswitch adopts the members' rates. Only minOfferedShare of an adopted rate counts in
// its quotas of cold servers' budgets, as coldQuota leaves out the importedRateShare.
func (c *Controller) ApplyTierReport(now Time, id ServerID, report TierReport) {
	s := c.serversByID[id]
	if s == nil {
		return
	}
	if expiry := report.HoldBackShareAt + c.retransmitIntervals(reportLifetime); report.HoldBackShareAt > 0 &&
		expiry > s.holdBackExpiry && !s.blocked {
		s.reportedHoldBack, s.holdBackExpiry = report.HoldBackShare, expiry
	}
	if report.Failing {
		s.tierFailureWeight = maxFailureWeight - 1
	}
	if s.minSetUpTime == 0 && s.tierMinSetUpTime == 0 {
		s.tierMinSetUpTime = report.MinSetUpTime
	}
	if (c.newlyStarted(now) || c.importedRateShare > 0) &&
		s.establishedCounter.count == 0 && report.Rate > 0 {
		if c.importedRateShare == 0 {
			// The rate counts as if it had been observed for minRateSpan.
			c.startedAt, c.lineSecondsAt =
				c.startedAt-minRateSpan*Time(time.Second), c.lineSecondsAt-minRateSpan*Time(time.Second)
		}
		count := report.Rate * rateTimeConstant * (1 - decayFactor(minRateSpan))
		s.establishedCounter, c.establishedCounter =
			decayingCounter{count, now}, decayingCounter{c.establishedCounter.value(now) + count, now}
		c.importedRateShare, c.importedRateShareAt = 1-minOfferedShare, now
	}
}

// applyLineReport updates the lines of a server, which the server reports unasked at short intervals. They
// matter for a server that refuses every call for want of lines: its processor is free, so its other metrics
// ask to hold back nothing. A report without both the free and the total lines changes nothing here.
func (c *Controller) applyLineReport(s *server, report Report) {
	free, total := -1.0, -1.0
	for i, metric := range c.settings.ReportMetrics {
		switch {
		case i >= len(report):
		case metric == LoadMetricFreeLines:
			free = report[i]
		case metric == LoadMetricTotalLines:
			total = report[i]
		}
	}
	if free >= 0 && total > 0 {
		s.totalLines, s.maxLines, s.freeLines = total, max(s.maxLines, total), free
		s.lineHoldBack = max(0, 1-free/(scarceLineShare*total))
	}
}

// holdBackFromReport returns the hold-back share that a load report asks for: the highest that any of its
// metrics asks for. The result is not known if the report has no usable metric.
//
// A reported rate is for all softswitches, and the part of it that this softswitch may take is unknown, as
// traffic is uneven and softswitches fail. The rate is therefore compared with the highest rate that the
// server has reported, of which the offered calls need neededRateShare.
func (c *Controller) holdBackFromReport(s *server, report Report) (share float64, known bool) {
	for i, metric := range c.settings.ReportMetrics {
		if i >= len(report) || !(report[i] >= 0) {
			continue
		}
		requested := 0.0
		switch metric {
		case LoadMetricHoldBackShare:
			requested = report[i]
		case LoadMetricWait:
			requested = c.holdBackForWait(time.Duration(report[i] * float64(time.Millisecond)))
		case LoadMetricRate:
			s.maxReportedRate = max(s.maxReportedRate, report[i])
			requested = 1 - report[i]/max(neededRateShare*s.maxReportedRate, 1e-9)
		default:
			continue
		}
		share, known = min(max(share, requested), 1), true
	}
	return share, known
}

// holdBackForWait returns the hold-back share for a wait at the server's processor.
func (c *Controller) holdBackForWait(wait time.Duration) float64 {
	waitIntervals := float64(wait) / float64(c.retransmitIntervals(1))
	return 1 - math.Exp(-max(waitIntervals-waitThreshold, 0)/waitScale)
}

// retransmitIntervals returns the length of n retransmit intervals.
func (c *Controller) retransmitIntervals(n float64) time.Duration {
	interval := c.settings.RetransmitInterval
	if interval <= 0 {
		interval = defaultInterval
	}
	return time.Duration(n * float64(interval))
}

// blockServer stops new set-ups to a server for the given wait. A wait of 0 or beyond reportLifetime becomes
// reportLifetime.
func (c *Controller) blockServer(s *server, wait time.Duration) {
	if maxWait := c.retransmitIntervals(reportLifetime); wait <= 0 || wait > maxWait {
		wait = maxWait
	}
	c.requireTrial(s)
	s.reportedHoldBack, s.blockedAt, s.holdBackExpiry, s.trialPending, s.blockedForErrors =
		1, c.now, c.now+wait, false, false
}

// requireTrial blocks a server such that trials follow when its hold-back share expires.
func (c *Controller) requireTrial(s *server) {
	if !s.blocked {
		s.blocked, s.blockedForErrors, s.trialBudget = true, false, bucket{c.rng.Float64(), c.now}
	}
}

// maxRoundTrip returns the longest set-up time that shows no queue at the server.
func (s *server) maxRoundTrip() time.Duration {
	shortest := s.minSetUpTime
	if told := s.tierMinSetUpTime; shortest == 0 || told > 0 && told < shortest {
		shortest = told
	}
	return time.Duration(roundTripVariation * float64(shortest))
}

// currentAnswerDelay returns the delay of a server's answers beyond the round trip: the delay of the last
// set-up if that is recent, or the time that the oldest unanswered set-up has waited so far, whichever is
// longer.
func (s *server) currentAnswerDelay(now Time, lifetime time.Duration) time.Duration {
	var delay time.Duration
	if now < s.answerDelayAt+lifetime+answerDelayLifetimeFactor*s.answerDelay {
		delay = s.answerDelay
	}
	for _, a := range s.pendingAttempts {
		if !a.presumedLost {
			return max(delay, now-a.sentAt-s.maxRoundTrip())
		}
	}
	return delay
}

// holdBackShare returns the share of new ordinary set-ups to hold back from a server now, 0 to 1.
func (c *Controller) holdBackShare(s *server) float64 {
	share := c.requestedHoldBack(s)
	if share < 1 && c.windowFull(s, c.hasWindow(s, share), 1) {
		return 1
	}
	return share
}

// requestedHoldBack returns the hold-back share that the live reports and the observed delays of a server
// ask for. A block that has expired admits one set-up, the trial, when the budget of trials allows it.
//
// A reported share above trialMinShare also becomes a block when it expires: a jammed server ends no calls
// and so sends no reports, and all softswitches would resume their full load at once.
func (c *Controller) requestedHoldBack(s *server) float64 {
	if c.now >= s.holdBackExpiry && s.reportedHoldBack > trialMinShare {
		c.requireTrial(s)
	}
	if s.blocked {
		if c.now < s.holdBackExpiry || s.trialPending ||
			!s.trialBudget.refill(c.now, trialFactor*c.expectedRate(s), 1) {
			return 1
		}
		return 0
	}
	share := max(s.lineHoldBack,
		c.holdBackForWait(s.currentAnswerDelay(c.now, c.retransmitIntervals(answerDelayLifetime))))
	if c.now < s.holdBackExpiry {
		share = max(share, s.reportedHoldBack)
	}
	return share
}

// hasWindow returns whether a server has a window, which limits the number of its unanswered set-ups (see
// windowFull). It has one while it asks to hold back more than windowMinShare, and for reportLifetime after
// a block: where the processor was full, the first report of a low load lifts the block, and the full load
// would fill the server's queue again at once.
func (c *Controller) hasWindow(s *server, share float64) bool {
	return share > windowMinShare ||
		s.blockedAt > 0 && c.now < s.blockedAt+c.retransmitIntervals(reportLifetime)
}

// windowFull returns whether a server's unanswered set-ups forbid another one now: the oldest has waited too
// long, or, at a server with a window, they are at least limitFactor and as many as the server answers
// within the limit and the round trip. The answers thus pace the softswitches, whatever number of redials
// passes the thinning, and no queue grows at a server that is slow, hung, jammed or gone.
//
// The round trip does not count against a server, as it may be as long as the limit; this exemption would do
// harm where round trips vary more than queues. limitFactor widens the limits for calls of high worth.
func (c *Controller) windowFull(s *server, hasWindow bool, limitFactor float64) bool {
	limit := c.retransmitIntervals(maxUnanswered * limitFactor)
	count := 0
	for _, a := range s.pendingAttempts {
		if a.presumedLost {
			continue
		}
		if count++; c.now-a.sentAt-s.maxRoundTrip() > limit {
			return true
		}
	}
	return hasWindow &&
		float64(count) >= max(
			limitFactor, c.currentRate(s.establishedCounter)*(limit+s.maxRoundTrip()).Seconds(),
		)
}

// reportedIdle returns whether a report no older than answerDelayLifetime shows a low load of a server.
func (c *Controller) reportedIdle(s *server) bool {
	return s.reportedHoldBack < windowMinShare &&
		c.now < s.holdBackExpiry-c.retransmitIntervals(reportLifetime-answerDelayLifetime)
}
