package elmseam

// The choice of the server for a call.

import "slices"

// eligible returns whether a call may go to a server at all, whatever the server's load.
func (c *Controller) eligible(s *server, call *callState) bool {
	if s.phase != PhaseReady || s.cell == c.settings.OwnCell && c.settings.OwnCell >= 0 {
		return false
	}
	if call.transit && s.cell != call.firstChoiceCell {
		return false
	}
	if slices.Contains(call.triedServers, s) {
		return false
	}
	return len(call.class.Cells) == 0 || c.settings.OwnCell >= 0 || slices.Contains(call.class.Cells, s.cell)
}

// routeCall sends a call to a server or refuses the call. A call whose time is nearly up, as after a stall of
// this softswitch, is refused: each set-up would end as not sent, until the final answer comes too late.
func (c *Controller) routeCall(call *callState) {
	if c.now >= call.answerBy {
		c.refuseCall(call, c.retryAfterHint)
		return
	}
	c.updateRatePerLine()
	s := c.pickServer(call)
	if s == nil {
		s = c.pickLastResort(call)
	}
	if s == nil {
		c.refuseCall(call, c.retryAfterHint)
		return
	}
	c.sendSetUp(call, s)
}

// pickLastResort returns a server that is blocked for errors, for a call that would be refused otherwise,
// or nil. Errors are answered at once, so an error costs a call less than a refusal does, and a server
// seldom fails every call. Calls of low worth, and those that cannot always be retried, are not served so.
func (c *Controller) pickLastResort(call *callState) *server {
	for _, s := range c.servers {
		if s.blocked && s.blockedForErrors && !call.lowWorth && call.class.Retry == RetryAlways &&
			c.eligible(s, call) && c.coldBudgetAllows(s) &&
			c.lineAvailable(s, call) && !c.windowFull(s, true, 1) {
			return s
		}
	}
	return nil
}

// pickServer returns the server for a call, or nil. The first choice is taken if it is available and its
// thinning lets the call pass. Otherwise the call is diverted to the least loaded of the other servers
// whose divert budget allows it, if that server's thinning lets the call pass; a server without a live
// report is judged by the other signs of load, such as its lines and answer delays. For a call of high worth
// a loaded first choice counts as one of the other servers: admitting the call to a queue that loses callers
// would not help it.
func (c *Controller) pickServer(call *callState) *server {
	var firstChoice, leastLoaded *server
	for _, s := range c.servers {
		switch {
		case !c.eligible(s, call) || !c.coldBudgetAllows(s) || !c.lineAvailable(s, call):
		case s.cell == call.firstChoiceCell && firstChoice == nil &&
			!(c.isHighWorth(call) && c.requestedHoldBack(s) > windowMinShare):
			firstChoice = s
		case c.divertBudgetAllows(s, call) && (leastLoaded == nil || c.lessLoaded(s, leastLoaded)):
			leastLoaded = s
		}
	}
	switch {
	case firstChoice != nil && c.passesThinning(firstChoice, call):
		return firstChoice
	case leastLoaded != nil && c.passesThinning(leastLoaded, call):
		leastLoaded.divertBudget.tokens = max(leastLoaded.divertBudget.tokens-1, -divertBurst)
		return leastLoaded
	}
	return nil
}

// lessLoaded returns whether a is less loaded than b: by the hold-back share, then by the pending attempts
// in proportion to the lines.
func (c *Controller) lessLoaded(a, b *server) bool {
	if shareA, shareB := c.holdBackShare(a), c.holdBackShare(b); shareA != shareB {
		return shareA < shareB
	}
	return float64(len(a.pendingAttempts)+1)*c.maxLinesOrMean(b) <
		float64(len(b.pendingAttempts)+1)*c.maxLinesOrMean(a)
}

// passesThinning returns whether a server's hold-back share lets a call pass. Where that share is between
// 0 and 1, each call adds the admitted share, which is 1 less the hold-back share, to the server's
// thinningCredit, and a call that passes uses 1. Calls of low worth are held back first and those of high
// worth last: these overdraw the credit and have a wider window, and ordinary calls make up for them.
func (c *Controller) passesThinning(s *server, call *callState) bool {
	share, needed := c.holdBackShare(s), 1.0
	switch {
	case call.lowWorth:
		needed = lowWorthCredit
	case c.isHighWorth(call):
		needed = highWorthCredit
		if share = c.requestedHoldBack(s); share < 1 &&
			c.windowFull(s, c.hasWindow(s, share), highWorthWindowFactor) {
			return false
		}
	}
	if share <= 0 {
		return true
	}
	if share >= 1 {
		return false
	}
	if s.thinningCredit = min(s.thinningCredit+1-share, maxCredit); s.thinningCredit < needed {
		return false
	}
	s.thinningCredit--
	return true
}

// isHighWorth returns whether a call is worth far more than a call of the class of least worth, or was
// established before and cut. A call of low worth is neither.
func (c *Controller) isHighWorth(call *callState) bool {
	return !call.lowWorth && (call.interrupted || call.class.Worth > highWorthFactor*c.minClassWorth)
}
