package elmseam

// Calls and their attempts: arrivals, outcomes, retries, final answers, timers.

import (
	"slices"
	"time"
)

// callState is a call that needs a final answer, or whose caller has left while an attempt is pending.
type callState struct {
	id              CallID
	class           *Class
	number          uint64 // called number; 0: none
	firstChoiceCell int    // cell of the first choice; -1: none
	transit         bool   // the call may be sent to firstChoiceCell only
	lowWorth        bool   // late, or beyond its tenant's share
	answerBy        Time   // latest time of the final answer
	notBefore       Time   // the call is not sent again before this time
	attemptCount    int    // attempts made
	maxAttempts     int    // maximum number of attempts, by the settings at the arrival
	mayHaveRun      bool   // an attempt may have run at a server
	callerLeft      bool   // the caller has left
	interrupted     bool   // the call was established before, was cut and is set up again
	triedServers    []*server
	pendingAttempt  *attempt // the unanswered attempt; nil: none
}

// attempt is a set-up that a server has not answered.
type attempt struct {
	call         *callState
	server       *server
	sentAt       Time
	trial        bool // the server was blocked when the attempt was sent
	presumedLost bool // the attempt or its answer counts as lost and is no sign of a queue
	cancelled    bool // a Cancel action was emitted
	suspected    bool // the attempt was unanswered for suspectLossAfter
	failed       bool // the attempt was unanswered for assumeLossAfter and counts as a failure of its server
}

// busyNumber is a called number whose lines were all busy.
type busyNumber struct {
	number uint64
	until  Time // calls to the number are refused until then
}

// usualTimeLeft is the time left, on arrival, of most calls of a class.
type usualTimeLeft struct {
	timeLeft time.Duration
	votes    int // raised by a call with this time left, lowered by any other; 0: timeLeft is replaced
}

// handleArrival routes a new call, or refuses the call if the called number is known to be busy.
func (c *Controller) handleArrival(ev Arrival) {
	if ev.Class < 0 || ev.Class >= len(c.settings.Classes) {
		ev.Class = 0
	}
	call := &callState{
		id: ev.Call, class: &c.settings.Classes[ev.Class], number: ev.Number,
		firstChoiceCell: ev.Cell, transit: ev.Transit,
		maxAttempts: c.settings.MaxAttempts, answerBy: c.now + ev.TimeLeft - answerMargin,
	}
	c.offeredCounter.add(c.now)
	late, overShare := c.isLateTry(ev), c.exceedsTenantShare(ev.Tenant)
	call.lowWorth, call.interrupted = late || overShare, ev.Interrupted
	c.calls[call.id] = call
	if c.numberIsBusy(call.number) {
		c.refuseCall(call, c.settings.MaxRetryAfter)
		return
	}
	c.routeCall(call)
}

// numberIsBusy returns whether all lines of a number were busy recently. Many calls to one number cost the
// servers a set-up for each try, and nearly all of them fail. After busyNumberHold calls test the number
// again.
func (c *Controller) numberIsBusy(number uint64) bool {
	for i := range c.busyNumbers {
		if entry := &c.busyNumbers[i]; number != 0 && entry.number == number {
			return c.now < entry.until
		}
	}
	return false
}

// markNumberBusy records that all lines of a number are busy.
func (c *Controller) markNumberBusy(number uint64) {
	for i := range c.busyNumbers {
		if c.busyNumbers[i].number == number {
			c.busyNumbers[i].until = c.now + c.retransmitIntervals(busyNumberHold)
			return
		}
	}
	c.busyNumbers[c.nextBusyNumber] = busyNumber{number, c.now + c.retransmitIntervals(busyNumberHold)}
	c.nextBusyNumber = (c.nextBusyNumber + 1) % len(c.busyNumbers)
}

// exceedsTenantShare counts a call of a tenant and returns whether the call is beyond the tenant's share,
// in deployments where such calls are worth little.
func (c *Controller) exceedsTenantShare(tenant int) bool {
	return c.settings.OverShareWorth*highWorthFactor < 1 && c.tenantTracker.CountCall(c.now, tenant)
}

// isLateTry returns whether a call is known to arrive after its aim has passed. Most calls arrive with the
// time left that callers usually have, which is found by majority vote; any other time left is the rest of
// the deadline.
func (c *Controller) isLateTry(ev Arrival) bool {
	usualTime, class := &c.usualTimesLeft[ev.Class], &c.settings.Classes[ev.Class]
	isUsual := ev.TimeLeft <= usualTime.timeLeft+answerMargin &&
		ev.TimeLeft >= usualTime.timeLeft-answerMargin
	switch {
	case isUsual:
		usualTime.votes = min(usualTime.votes+1, maxTimeLeftVotes)
	case usualTime.votes > 0:
		usualTime.votes--
	default:
		usualTime.timeLeft = ev.TimeLeft
	}
	return !isUsual && usualTime.votes > 0 && class.Deadline-ev.TimeLeft > class.Aim
}

// sendSetUp makes an attempt of a call at a server and sets the timer that checks on an unanswered attempt.
func (c *Controller) sendSetUp(call *callState, s *server) {
	newAttempt := &attempt{call: call, server: s, sentAt: c.now}
	if s.blocked {
		newAttempt.trial, s.trialPending = true, true
		s.trialBudget.tokens--
	}
	if c.isCold(s) {
		s.coldBudget.tokens--
	}
	if s.freeLines--; s.reusableLines >= 1 {
		s.reusableLines--
	} else {
		s.lineTryBudget.tokens--
	}
	call.pendingAttempt, call.attemptCount = newAttempt, call.attemptCount+1
	call.triedServers = append(call.triedServers, s)
	s.pendingAttempts = append(s.pendingAttempts, newAttempt)
	c.emit(Send{Call: call.id, Server: s.id})
	c.emit(SetTimer{Token: uint32(call.id), At: c.now + c.retransmitIntervals(suspectLossAfter)})
}

// refuseCall gives a call its final answer: Refuse, or Fail if an attempt may have run and cannot be retried.
func (c *Controller) refuseCall(call *callState, retryAfter time.Duration) {
	delete(c.calls, call.id)
	if call.mayHaveRun && call.class.Retry != RetryAlways {
		c.emit(Fail{Call: call.id})
		return
	}
	c.emit(Refuse{Call: call.id, RetryAfter: min(retryAfter, c.settings.MaxRetryAfter)})
}

// retryCall makes another attempt of a call, now or after the release guard, or refuses the call. A call
// waits for the release guard to pass only if it has enough time left to survive a stall of this softswitch
// (stallReserve), as nothing else answers the call meanwhile.
func (c *Controller) retryCall(call *callState) {
	reserve := min(
		c.retransmitIntervals(stallReserve), time.Duration(maxStallReserve*float64(call.class.Aim)),
	)
	if call.attemptCount >= call.maxAttempts || call.mayHaveRun && call.class.Retry != RetryAlways ||
		call.notBefore > c.now && call.notBefore > call.answerBy-reserve {
		c.refuseCall(call, c.retryAfterHint)
		return
	}
	if call.notBefore > c.now {
		c.emit(SetTimer{Token: uint32(call.id), At: call.notBefore})
		return
	}
	c.routeCall(call)
}

// handleEstablished removes an established call and updates the rates and the answer delay of its server. A
// trial that is established lifts the block. Attempts at the server that were sent more than overtakeMargin
// earlier and have no answer are presumed to be lost.
func (c *Controller) handleEstablished(ev Established) {
	call := c.calls[ev.Call]
	if call == nil {
		return
	}
	delete(c.calls, ev.Call)
	answered := c.detachAttempt(call)
	if answered == nil {
		return
	}
	s := answered.server
	if !c.isCold(s) {
		c.establishedCounter.add(c.now)
	}
	s.establishedCounter.add(c.now)
	s.failureWeight, s.tierFailureWeight = 0, 0
	if s.minSetUpTime == 0 || ev.SetUpTime < s.minSetUpTime {
		s.minSetUpTime = ev.SetUpTime
	}
	s.answerDelay, s.answerDelayAt = max(ev.SetUpTime-s.maxRoundTrip(), 0), c.now
	if s.blocked && answered.trial {
		s.blocked, s.trialPending, s.reportedHoldBack = false, false, 0
	}
	for _, other := range s.pendingAttempts {
		if other.sentAt+c.retransmitIntervals(overtakeMargin) < answered.sentAt {
			c.presumeLost(other)
		}
	}
}

// handleCallerGone ends a call. Its attempt counts as unanswered until its outcome comes.
func (c *Controller) handleCallerGone(id CallID) {
	call := c.calls[id]
	if call == nil {
		return
	}
	if call.callerLeft = true; call.pendingAttempt == nil {
		delete(c.calls, id)
	}
}

// handleOutcome processes the end of an attempt or of an established call: the load of the server, then, for
// an attempt, the retry or final answer of the call.
func (c *Controller) handleOutcome(ev Outcome) {
	call := c.calls[ev.Call]
	if s := c.serversByID[ev.Server]; s != nil {
		c.applyReport(s, ev.Report)
		switch {
		case ev.Cause == CauseFull && ev.Refusal == RefusalProcessor, ev.Cause == CauseUnreachable:
			c.blockServer(s, ev.Wait)
		case ev.Cause == CauseFull:
			// Only a server that reports its lines can report a free one and so lower the share again.
			if s.lineShortUntil = c.now + lineShortageHold; s.totalLines > 0 {
				s.lineHoldBack = 1
			}
		}
	}
	if call == nil {
		// With any other cause than CauseFull an established call has ended.
		if s := c.serversByID[ev.Server]; s != nil && ev.Cause != CauseFull {
			s.reusableLines = min(s.reusableLines+1, max(lowLineShare*s.totalLines, 1+reservedLines))
		}
		return
	}
	endedAttempt := c.detachAttempt(call)
	if endedAttempt != nil && endedAttempt.trial {
		endedAttempt.server.trialPending = false
	}
	if ev.Final || call.callerLeft {
		delete(c.calls, ev.Call)
		return
	}
	switch ev.Cause {
	case CauseBusy:
		call.mayHaveRun = true
		if ev.Refusal == RefusalNumber {
			c.markNumberBusy(call.number)
			c.refuseCall(call, c.settings.MaxRetryAfter)
			return
		}
		if endedAttempt != nil {
			c.recordFailure(endedAttempt.server, 1)
		}
		c.retryCall(call)
	case CauseFull, CauseUnreachable, CauseNotSent:
		c.retryCall(call)
	case CauseReset, CauseCancelled:
		call.mayHaveRun = true
		call.notBefore = c.now + c.settings.ReleaseGuard
		c.retryCall(call)
	default:
		call.mayHaveRun = true
		delete(c.calls, call.id)
		c.emit(Fail{Call: call.id})
	}
}

// handleTimer checks on a call whose release guard has passed, or whose attempt has been unanswered for
// long.
func (c *Controller) handleTimer(id CallID) {
	call := c.calls[id]
	switch {
	case call == nil:
	case call.pendingAttempt != nil:
		c.checkUnanswered(call.pendingAttempt)
	case c.now >= call.notBefore:
		c.retryCall(call)
	}
}

// checkUnanswered checks on an attempt that has been unanswered for suspectLossAfter or assumeLossAfter.
// Each of the two takes effect once, as a timer of an earlier attempt of the call may fire too.
func (c *Controller) checkUnanswered(a *attempt) {
	assumeLossAt := a.sentAt + c.retransmitIntervals(assumeLossAfter)
	switch {
	case c.now >= assumeLossAt && !a.failed:
		a.failed, a.presumedLost = true, true
		// Where the server reports a low load, the connection is at fault.
		if !c.reportedIdle(a.server) {
			c.recordFailure(a.server, unansweredWeight)
		}
	case c.now >= a.sentAt+c.retransmitIntervals(suspectLossAfter) && !a.suspected:
		a.suspected, a.presumedLost = true, c.reportedIdle(a.server)
		c.emit(SetTimer{Token: uint32(a.call.id), At: assumeLossAt})
	}
}

// detachAttempt removes the pending attempt from its call and server and returns it, or nil if there is
// none.
func (c *Controller) detachAttempt(call *callState) *attempt {
	a := call.pendingAttempt
	if a == nil {
		return nil
	}
	call.pendingAttempt = nil
	a.server.pendingAttempts = slices.DeleteFunc(
		a.server.pendingAttempts, func(other *attempt) bool { return other == a },
	)
	return a
}

// presumeLost handles an unanswered attempt that was sent before an answered one: servers answer in order,
// so the attempt or its answer was lost. The attempt is cancelled if the settings permit it, the caller has
// not left, and calls of its class can always be retried.
func (c *Controller) presumeLost(lostAttempt *attempt) {
	call := lostAttempt.call
	if lostAttempt.presumedLost = true; !lostAttempt.cancelled && c.settings.CanCancel &&
		call.class.Retry == RetryAlways && !call.callerLeft {
		lostAttempt.cancelled = true
		c.emit(Cancel{Call: call.id, Attempt: call.attemptCount - 1})
	}
}

// recordFailure adds to the weight of a server's consecutive failures, which an established call resets, and
// blocks the server at maxFailureWeight. An unanswered set-up weighs more than an error: the call loses the
// time in which an error is retried elsewhere.
//
// Errors have to block a server, as one that fails every call at once looks idle and would attract all
// calls. An unresponsive server looks loaded anyway, as its set-ups stay pending.
func (c *Controller) recordFailure(s *server, weight int) {
	s.failureWeight += weight
	if max(s.failureWeight, s.tierFailureWeight+weight) >= maxFailureWeight {
		// An error does not replace another cause of a block.
		errorsOnly := weight < unansweredWeight && (s.blockedForErrors || !s.blocked)
		c.blockServer(s, 0)
		s.blockedForErrors = errorsOnly
	}
}
