package core

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"elmseam"
)

// call is a call of a caller, from its set-up to its release.
type call struct {
	SetUp
	controllerID   elmseam.CallID // the controller's id of the call
	fingerprint    uint64         // hash of what the set-up asks for; a set-up sent again has the same
	keptBytes      int            // memory of the call, in bytes; changed by setKeptBytes only
	releaseGuard   time.Duration  // release guard of the settings that the call arrived under
	protocol       Protocol       // signalling protocol of the caller
	deadline       Time           // latest time of the final answer
	callerConnLost bool           // the connection of the caller ended while the set-up was open
	answered       bool           // the final answer has been given, or none is due any more as the caller has gone
	callerGone     bool           // the caller has given the set-up up or released the call
	attemptCount   int            // attempts made so far
	maxAttempts    int            // attempts that the core permits by the settings that the call arrived under; 0: any number
	attempt        *attempt       // outstanding attempt; nil: none
	earlierConns   []ConnID       // connections of the attempts that have ended
	resendAfter    Time           // no offer goes out before this time, by the release guard
	server         *server        // server on which the call is established; nil: not established
	establishedAt  Time           // when that server's answer came
	serverConn     ConnID         // connection of the set-up to that server
	setUpConn      *serverConn    // the same, which may have ended since
	connGeneration int            // generation of that connection
	doubt          callDoubt      // whether that server's process may be gone
	answerDesc     []byte         // description in the answer of that server
	answerDropped  bool           // that description is not kept any more
}

// endedCall remembers the id of a call that has ended.
type endedCall struct {
	id         ID
	recordedAt Time // when the id was recorded
}

// handleSetUp handles a set-up from a caller. A set-up with the id of a call that has ended, or that the other process of a hand-over has
// sent to a server, is refused, as ids are never used twice: the caller may have sent the set-up again because its answer was lost with a
// closing connection.
func (c *Core) handleSetUp(ev SetUp) {
	from := c.callerConns[ev.From]
	if from == nil { // the connection has been closed: the caller may send the set-up again on another
		if c.calls[ev.ID] == nil {
			c.emit(ForgetCall{ID: ev.ID})
		}
		return
	}
	c.markCallerConnUsed(from)
	if call := c.calls[ev.ID]; call != nil {
		c.handleRepeatedSetUp(call, ev)
		return
	}
	if _, foreign := c.predecessorSetUps[ev.ID]; foreign { // open on the predecessor
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: ReasonUnsupported})
		return
	}
	if _, known := c.endedCalls[ev.ID]; known || c.attemptedElsewhere.ids[ev.ID] {
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: ReasonCongested, RetryAfter: c.limits.RetryAfterHint})
		return
	}
	timeLeft := ev.TimeLeft - (c.now - ev.At) - c.limits.AnswerMargin
	size := c.limits.CallOverhead + len(ev.Desc) + len(ev.NumberText)
	switch {
	case ev.Class < 0:
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: ReasonUnsupported})
		return
	case ev.Class >= len(c.stats.Classes): // the class is part of a configuration that has not reached this process yet
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: ReasonCongested, RetryAfter: c.limits.RetryAfterHint})
		return
	}
	if reason, refused := c.refusalReason(timeLeft, size); refused {
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: ReasonCongested, RetryAfter: c.limits.RetryAfterHint})
		c.countAnswer(ev.Class, false, ReasonCongested)
		c.traceRefusal(ev.ID, reason)
		return
	}
	c.lastControllerID++
	call := &call{SetUp: ev, controllerID: c.lastControllerID, fingerprint: fingerprintOf(ev), protocol: from.protocol, deadline: c.now + timeLeft, maxAttempts: c.maxAttempts, releaseGuard: c.releaseGuard}
	c.calls[call.ID], c.callsByControllerID[call.controllerID] = call, call
	c.openSetUps++
	c.setKeptBytes(call, size)
	c.setTimer(call.deadline, Token{kind: tokenDeadline, call: call.ID, controllerID: call.controllerID})
	c.notifyController(elmseam.Arrival{
		Call: call.controllerID, Class: ev.Class, Number: ev.Number, Cell: ev.Cell, Interrupted: ev.Interrupted,
		Tenant:   slices.IndexFunc(c.tenants, func(t elmseam.Tenant) bool { return t.Name == ev.Tenant }),
		TimeLeft: timeLeft,
	})
	call.Tenant = ""
}

// refusalReason says whether the core refuses a set-up without asking the controller, and why. size is the memory of its call in bytes. Kept
// answers are dropped where the set-up needs their room.
func (c *Core) refusalReason(timeLeft time.Duration, size int) (reason RefusalReason, refused bool) {
	switch {
	case timeLeft <= 0:
		return RefusalTimeUp, true
	case c.drainRefuses():
		return RefusalDraining, true
	case c.stopGraceOver && !c.handingOver, c.closing:
		return RefusalStopping, true
	case c.openSetUps >= c.limits.MaxOpen:
		return RefusalMaxOpen, true
	case !c.makeRoom(size):
		return RefusalMemory, true
	}
	return 0, false
}

// handleRepeatedSetUp handles a set-up with the id of a call that has not ended. The same set-up on another connection is taken to be sent
// again because its first connection closed: the call goes on for the new connection, which is given the answer that its caller may have
// missed.
//
// Any other set-up is refused, as the answer to the existing call is no answer to it. When both came on one connection and the first has no
// final answer yet, both are refused, as the caller could not tell which of them an answer is for.
func (c *Core) handleRepeatedSetUp(call *call, ev SetUp) {
	resent := ev.From != call.From && fingerprintOf(ev) == call.fingerprint
	switch {
	case resent && call.server != nil && !call.answerDropped:
		call.From = ev.From
		c.emit(Answered{To: call.From, ID: call.ID, Desc: call.answerDesc})
	case resent && !call.answered && !call.callerGone:
		call.From, call.callerConnLost = ev.From, false
	default:
		if ev.From == call.From && !call.answered {
			c.reject(call, Rejected{Reason: ReasonUnsupported})
		}
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: ReasonUnsupported})
	}
}

// fingerprintOf hashes what a set-up asks for: the number called, the class and the description.
func fingerprintOf(ev SetUp) uint64 {
	h := fnv.New64a()
	h.Write(append([]byte(ev.NumberText), 0, byte(ev.Class)))
	h.Write(ev.Desc)
	return h.Sum64()
}

// reject gives a call a final answer other than being established. A call that already has its final answer gets no second one:
// the attempt to give one is reported as a violation. A caller that has gone, or whose connection ended, gets no message.
func (c *Core) reject(call *call, rejection Rejected) {
	if call.answered {
		c.emit(Violation{ID: call.ID, Rule: "second final answer for a call"})
		return
	}
	switch {
	case call.callerGone:
	case call.callerConnLost:
		c.emit(ForgetCall{Protocol: call.protocol, ID: call.ID})
	default:
		rejection.To, rejection.ID = call.From, call.ID
		c.emit(rejection)
		c.countAnswer(call.Class, false, rejection.Reason)
	}
	c.endCallerSide(call)
}

// endCallerSide ends a call towards its caller. An outstanding attempt is given up first, and the call is forgotten when that
// attempt has ended.
func (c *Core) endCallerSide(call *call) {
	if !call.answered {
		call.answered = true
		c.openSetUps--
		defer c.pruneCallerConns()
	}
	if call.attempt != nil && call.attempt.phase != attemptEnding {
		c.giveUpAttempt(call, elmseam.CauseCancelled)
	}
	if call.attempt == nil {
		c.forgetCall(call)
	}
}

// abandonSetUp ends a set-up whose caller has gone. The set-up gets no answer.
func (c *Core) abandonSetUp(call *call) {
	if call.callerGone {
		return
	}
	call.callerGone = true
	if call.answered {
		return
	}
	if call.callerConnLost {
		c.emit(ForgetCall{Protocol: call.protocol, ID: call.ID})
	}
	c.notifyController(elmseam.CallerGone{Call: call.controllerID})
	c.endCallerSide(call)
}

// deadlineReached gives a call its final answer while the caller still waits. An outstanding attempt is ended first.
func (c *Core) deadlineReached(call *call) {
	if !c.guardEnabled(GuardDeadline) {
		return
	}
	if a := call.attempt; a != nil {
		if a.phase == attemptSent {
			c.emit(End{To: a.conn.id, ID: call.ID})
		}
		cause := elmseam.CauseTimeout
		if a.phase == attemptWaiting {
			cause = elmseam.CauseNotSent
		}
		c.endAttempt(call, elmseam.Outcome{Cause: cause})
	}
	if !call.answered { // the controller still holds the call
		c.notifyController(elmseam.CallerGone{Call: call.controllerID})
		c.reject(call, Rejected{Reason: ReasonFailed})
	}
}

// endEstablished ends an established call towards its caller and reports the outcome to the controller.
func (c *Core) endEstablished(call *call, reason Reason, outcome elmseam.Outcome) {
	delete(call.server.established, call.ID)
	c.forgetCall(call)
	if !call.callerGone {
		c.sendRelease(call.protocol, call.From, call.ID, reason)
	}
	outcome.Call, outcome.Server, outcome.Final = call.controllerID, call.server.id, true
	outcome.Attempt = max(call.attemptCount-1, 0)
	c.notifyController(outcome)
	c.removeServerIfUnused(call.server)
}

// forgetCall forgets a call except for its id.
func (c *Core) forgetCall(call *call) {
	if c.calls[call.ID] != call || !c.guardEnabled(GuardForgetEnded) {
		return
	}
	c.setKeptBytes(call, 0)
	call.answerDesc, call.answerDropped = nil, true
	delete(c.calls, call.ID)
	delete(c.callsByControllerID, call.controllerID)
	c.rememberEnded(call.ID)
}

// rememberEnded records the id of a call that has ended, for EndedCallTTL and for at most MaxEndedCalls ids: calls that arrive at
// full speed and are refused would otherwise fill the memory.
func (c *Core) rememberEnded(id ID) {
	c.endedCalls[id] = c.now
	c.endedCallOrder = append(c.endedCallOrder, endedCall{id, c.now})
	for len(c.endedCallOrder) > 0 && (c.endedCallOrder[0].recordedAt < c.now-c.limits.EndedCallTTL || c.limits.MaxEndedCalls > 0 && len(c.endedCallOrder) > c.limits.MaxEndedCalls) {
		if c.endedCalls[c.endedCallOrder[0].id] == c.endedCallOrder[0].recordedAt {
			delete(c.endedCalls, c.endedCallOrder[0].id)
		}
		c.endedCallOrder = c.endedCallOrder[1:]
	}
}

// callsInOrder returns the calls that are wanted, in the order of their arrival.
func (c *Core) callsInOrder(wanted func(*call) bool) (calls []*call) {
	for _, call := range c.calls {
		if wanted(call) {
			calls = append(calls, call)
		}
	}
	sortByArrival(calls)
	return calls
}

// sortByArrival sorts calls in the order of their arrival, so that the same events always have the same effects.
func sortByArrival(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return int(a.controllerID) - int(b.controllerID) })
}

// inArrivalOrder returns calls in the order of their arrival.
func inArrivalOrder(calls map[ID]*call) []*call {
	sorted := slices.Collect(maps.Values(calls))
	sortByArrival(sorted)
	return sorted
}
