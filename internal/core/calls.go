package core

import (
	"hash/fnv"
	"slices"
	"time"

	"elmseam"
)

// call is a call of a caller, from its set-up to its release. The variables of this type are named k, as c is the Core.
type call struct {
	SetUp
	controllerID elmseam.CallID // the controller's id of the call
	fingerprint  uint64         // hash of what the set-up asks for; a set-up sent again has the same
	size         int            // size of the number and the description that the call keeps, in bytes
	releaseGuard time.Duration  // release guard of the settings that the call arrived under
	protocol     Protocol       // signalling protocol of the caller
	deadline     Time           // latest time of the final answer
	orphaned     bool           // the connection of the caller ended while the set-up was open
	answered     bool           // the final answer has been given
	callerGone   bool           // the caller has given the set-up up or released the call
	attempts     int            // attempts made so far
	maxAttempts  int            // attempts permitted by the settings that the call arrived under; 0: any number
	attempt      *attempt       // outstanding attempt; nil: none
	earlierConns []ConnID       // connections of the attempts that have ended
	resendAfter  Time           // no offer goes out before this time, by the release guard
	server       *server        // server on which the call is established; nil: not established
	answerDesc   []byte         // description in the answer of that server
}

// endedCall remembers the id of a call that has ended.
type endedCall struct {
	id ID
	at Time // when the id was recorded
}

// setUp handles a set-up from a caller. A set-up with the id of a call that has ended is refused, as ids are never used twice: the
// caller may have sent the set-up again because its answer was lost with a closing connection.
func (c *Core) setUp(ev SetUp) {
	from := c.callers[ev.From]
	if from == nil { // the connection has been closed: the caller sends the set-up again on another
		if c.calls[ev.ID] == nil {
			c.emit(ForgetCall{ID: ev.ID})
		}
		return
	}
	c.markUsed(from)
	if k := c.calls[ev.ID]; k != nil {
		c.repeatedSetUp(k, ev)
		return
	}
	if _, foreign := c.predecessorSetUps[ev.ID]; foreign { // open on the predecessor
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
		return
	}
	if _, known := c.ended[ev.ID]; known {
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		return
	}
	timeLeft := ev.TimeLeft - (c.now - ev.At) - c.limits.AnswerMargin
	size := len(ev.Desc) + len(ev.NumberText)
	switch {
	case ev.Class < 0:
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
		return
	case ev.Class >= len(c.stats.Classes): // the class is part of a configuration that has not reached this process yet
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		return
	case timeLeft <= 0 || c.drainRefuses() || c.stopGraceOver && !c.handingOver || c.closing || c.openSetUps >= c.limits.MaxOpen || c.callBytes+size > c.limits.MaxCallBytes:
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		c.countAnswer(ev.Class, false, Congested)
		return
	}
	c.lastControllerID++
	k := &call{SetUp: ev, size: size, controllerID: c.lastControllerID, fingerprint: fingerprintOf(ev), protocol: from.protocol, deadline: c.now + timeLeft, maxAttempts: c.maxAttempts, releaseGuard: c.releaseGuard}
	c.calls[k.ID], c.callsByControllerID[k.controllerID] = k, k
	c.openSetUps++
	c.callBytes += size
	c.setTimer(k.deadline, Token{kind: tokenDeadline, call: k.ID, controllerID: k.controllerID})
	c.notifyController(elmseam.Arrival{
		Call: k.controllerID, Class: ev.Class, Number: ev.Number, Cell: ev.Cell, Interrupted: ev.Interrupted,
		Tenant:   slices.IndexFunc(c.tenants, func(t elmseam.Tenant) bool { return t.Name == ev.Tenant }),
		TimeLeft: timeLeft,
	})
	k.Tenant = ""
}

// repeatedSetUp handles a set-up with the id of a call that has not ended. The same set-up on another connection was sent again
// after its first connection had closed: the call goes on for the new connection, which is given the answer that its caller
// may have missed. Any other set-up is refused, as the answer to the existing call is no answer to it. When both came on one
// connection, both are refused, as the caller could not tell which of them an answer is for.
func (c *Core) repeatedSetUp(k *call, ev SetUp) {
	resent := ev.From != k.From && fingerprintOf(ev) == k.fingerprint
	switch {
	case resent && k.server != nil:
		k.From = ev.From
		c.emit(Answered{To: k.From, ID: k.ID, Desc: k.answerDesc})
	case resent && !k.answered && !k.callerGone:
		k.From, k.orphaned = ev.From, false
	default:
		if ev.From == k.From && !k.answered {
			c.reject(k, Rejected{Reason: Unsupported})
		}
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
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
// the attempt to give one is reported as a violation.
func (c *Core) reject(k *call, rejection Rejected) {
	if k.answered {
		c.emit(Violation{ID: k.ID, Rule: "second final answer for a call"})
		return
	}
	switch {
	case k.callerGone:
	case k.orphaned:
		c.emit(ForgetCall{Protocol: k.protocol, ID: k.ID})
	default:
		rejection.To, rejection.ID = k.From, k.ID
		c.emit(rejection)
		c.countAnswer(k.Class, false, rejection.Reason)
	}
	c.endCallerSide(k)
}

// endCallerSide ends a call towards its caller. An outstanding attempt is given up first, and the call is forgotten when that
// attempt has ended.
func (c *Core) endCallerSide(k *call) {
	if !k.answered {
		k.answered = true
		c.openSetUps--
		defer c.pruneCallers()
	}
	if k.attempt != nil && k.attempt.phase != attemptEnding {
		c.giveUpAttempt(k, elmseam.CauseCancelled)
	}
	if k.attempt == nil {
		c.forgetCall(k)
	}
}

// abandonSetUp ends a set-up whose caller has gone. The set-up gets no answer.
func (c *Core) abandonSetUp(k *call) {
	if k.callerGone {
		return
	}
	k.callerGone = true
	if k.answered {
		return
	}
	if k.orphaned {
		c.emit(ForgetCall{Protocol: k.protocol, ID: k.ID})
	}
	c.notifyController(elmseam.CallerGone{Call: k.controllerID})
	c.endCallerSide(k)
}

// deadlineReached gives a call its final answer while the caller still waits. An outstanding attempt is ended first.
func (c *Core) deadlineReached(k *call) {
	if !c.guardEnabled(GuardDeadline) {
		return
	}
	if a := k.attempt; a != nil {
		if a.phase == attemptSent {
			c.emit(End{To: a.conn.id, ID: k.ID})
		}
		cause := elmseam.CauseTimeout
		if a.phase == attemptWaiting {
			cause = elmseam.CauseNotSent
		}
		c.endAttempt(k, elmseam.Outcome{Cause: cause})
	}
	if !k.answered { // the controller still holds the call
		c.notifyController(elmseam.CallerGone{Call: k.controllerID})
		c.reject(k, Rejected{Reason: Failed})
	}
}

// endEstablished ends an established call towards its caller and reports the outcome to the controller.
func (c *Core) endEstablished(k *call, reason Reason, outcome elmseam.Outcome) {
	delete(k.server.established, k.ID)
	c.forgetCall(k)
	if !k.callerGone {
		c.sendRelease(k.protocol, k.From, k.ID, reason)
	}
	outcome.Call, outcome.Server, outcome.Final = k.controllerID, k.server.id, true
	outcome.Attempt = max(k.attempts-1, 0)
	c.notifyController(outcome)
	c.removeIfUnused(k.server)
}

// forgetCall forgets a call except for its id.
func (c *Core) forgetCall(k *call) {
	if c.calls[k.ID] != k || !c.guardEnabled(GuardForgetEnded) {
		return
	}
	c.callBytes -= k.size
	delete(c.calls, k.ID)
	delete(c.callsByControllerID, k.controllerID)
	c.rememberEnded(k.ID)
}

// rememberEnded records the id of a call that has ended, for EndedCallTTL and for at most MaxEndedCalls ids: calls that arrive at
// full speed and are refused would otherwise fill the memory.
func (c *Core) rememberEnded(id ID) {
	c.ended[id] = c.now
	c.endedOrder = append(c.endedOrder, endedCall{id, c.now})
	for len(c.endedOrder) > 0 && (c.endedOrder[0].at < c.now-c.limits.EndedCallTTL || c.limits.MaxEndedCalls > 0 && len(c.endedOrder) > c.limits.MaxEndedCalls) {
		if c.ended[c.endedOrder[0].id] == c.endedOrder[0].at {
			delete(c.ended, c.endedOrder[0].id)
		}
		c.endedOrder = c.endedOrder[1:]
	}
}
