package core

import (
	"slices"

	"elmseam"
)

// attemptPhase is the progress of an attempt.
type attemptPhase uint8

// The phases of an attempt, in their order.
const (
	attemptWaiting attemptPhase = iota // no offer has gone out: the attempt waits for a connection or for the release guard
	attemptSent                        // the offer has gone out and the server has not answered
	attemptEnding                      // given up; its End effect is not written yet
)

// attempt is a set-up that is outstanding at a server.
type attempt struct {
	number    int // index among the attempts of the call, from 0
	server    *server
	phase     attemptPhase
	conn      *serverConn   // connection that the offer went out on; nil while the attempt waits
	startedAt Time          // when the attempt was decided on, then when its offer went out
	endCause  elmseam.Cause // outcome reported to the controller once the End is written
}

// startAttempt starts the attempt that the controller decided on, if the rules permit it: the call has no final answer, no other
// attempt and attempts remaining, its time is not up, and the server takes new work. Within the release guard the attempt waits. For a
// call that is answered, abandoned or has another attempt, and for an unknown server, a Violation is all that happens; in the other
// cases the attempt ends at once as not sent.
func (c *Core) startAttempt(call *call, decision elmseam.Send) {
	s := c.serversByID[decision.Server]
	if call.answered || call.callerGone || call.attempt != nil && c.guardEnabled(GuardSingleAttempt) || s == nil {
		c.emit(Violation{ID: call.ID, Rule: "attempt for a call that is answered, abandoned or has an outstanding attempt, or to an unknown server"})
		return
	}
	newAttempt := &attempt{number: call.attemptCount, server: s, startedAt: c.now}
	call.attemptCount++
	call.attempt, s.outstanding[call.ID] = newAttempt, call
	switch {
	case c.now >= call.deadline || call.maxAttempts > 0 && call.attemptCount > call.maxAttempts && c.guardEnabled(GuardMaxAttempts), s.effectivePhase != elmseam.PhaseReady && c.guardEnabled(GuardPhase):
		c.endAttempt(call, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	case decision.Timeout > 0:
		c.setTimer(c.now+decision.Timeout, Token{kind: tokenAttemptTimeout, call: call.ID, controllerID: call.controllerID, number: uint32(newAttempt.number)})
	}
	c.sendOffer(call)
}

// sendOffer sends the offer of an attempt, or has the attempt wait for the release guard or for a connection. Without a connection, and
// with no room to dial one, the attempt ends as not sent.
func (c *Core) sendOffer(call *call) {
	s := call.attempt.server
	conn := c.connForSetUp(s)
	switch {
	case c.now < call.resendAfter && c.guardEnabled(GuardResendWait):
		c.setTimer(call.resendAfter, Token{kind: tokenReleaseGuard, call: call.ID, controllerID: call.controllerID, number: uint32(call.attempt.number)})
	case conn == nil && !c.dialServer(s):
		c.endAttempt(call, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case conn == nil:
	default:
		call.attempt.phase, call.attempt.conn, call.attempt.startedAt, conn.lastOfferAt = attemptSent, conn, c.now, c.now
		s.coldSetUps++
		if conn.unansweredSince == 0 {
			conn.unansweredSince = c.now
		}
		if call.attemptCount == 1 {
			c.announceAttempt(call)
		}
		c.emit(Offer{To: conn.id, ID: call.ID, ClassName: call.ClassName, NumberText: call.NumberText, Desc: call.SetUp.Desc, Cell: s.Cell, Until: call.deadline})
	}
}

// retryAttempt resumes an attempt that waited for the release guard or for a connection. If the call needs no attempt any more, or the
// server takes no new work, the attempt ends as not sent.
func (c *Core) retryAttempt(call *call) {
	if call.callerGone || call.answered || c.now >= call.deadline || call.attempt.server.effectivePhase != elmseam.PhaseReady {
		c.endAttempt(call, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	}
	c.sendOffer(call)
}

// giveUpAttempt gives an attempt up. If its offer went out, the attempt stays outstanding until its End has been written. An attempt
// that waits ends at once as not sent, whatever the cause.
func (c *Core) giveUpAttempt(call *call, cause elmseam.Cause) {
	a := call.attempt
	switch {
	case a.phase == attemptWaiting:
		c.endAttempt(call, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case a.phase == attemptSent:
		a.phase, a.endCause = attemptEnding, cause
		c.emit(End{To: a.conn.id, ID: call.ID, Notify: true})
	}
}

// endAttempt ends the outstanding attempt of a call and reports the outcome to the controller. A call that needs no answer any more is
// forgotten.
func (c *Core) endAttempt(call *call, outcome elmseam.Outcome) {
	ended := call.attempt
	call.attempt = nil
	if ended.conn != nil {
		call.earlierConns = append(call.earlierConns, ended.conn.id)
	}
	delete(ended.server.outstanding, call.ID)
	defer c.closeUnusableConns(ended.server)
	switch outcome.Cause {
	case elmseam.CauseTimeout, elmseam.CauseReset, elmseam.CauseCancelled:
		call.resendAfter = c.now + call.releaseGuard
	}
	outcome.Call, outcome.Server, outcome.Attempt, outcome.Final = call.controllerID, ended.server.id, ended.number, call.answered || call.callerGone
	c.traceFailedAttempt(call, outcome, ended.server)
	if outcome.Final {
		c.forgetCall(call)
	}
	c.notifyController(outcome)
}

// handleEndWritten ends the attempt whose End has been written.
func (c *Core) handleEndWritten(ev EndWritten) {
	if call := c.outstandingCall(ev.Server, ev.Conn, ev.ID); call != nil && call.attempt.phase == attemptEnding {
		c.endAttempt(call, elmseam.Outcome{Cause: call.attempt.endCause})
	}
}

// handleNotSent ends the attempt whose offer was withdrawn before its first byte was written.
func (c *Core) handleNotSent(ev NotSent) {
	if call := c.outstandingCall(ev.Server, ev.Conn, ev.ID); call != nil {
		c.endAttempt(call, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	}
}

// outstandingCall returns the call whose outstanding attempt at a server is meant by an event from a connection. The result is nil
// if the call has no attempt there, or if the event is about an earlier attempt.
func (c *Core) outstandingCall(name string, conn ConnID, id ID) *call {
	s := c.servers[name]
	if s == nil {
		return nil
	}
	call := s.outstanding[id]
	if call != nil && call.concernsEarlierAttempt(conn) {
		return nil
	}
	return call
}

// concernsEarlierAttempt says whether a message that has come on a connection is for an earlier attempt of the call: an earlier
// attempt was sent on that connection, and the outstanding one was not.
func (call *call) concernsEarlierAttempt(conn ConnID) bool {
	return slices.Contains(call.earlierConns, conn) && (call.attempt.conn == nil || call.attempt.conn.id != conn)
}
