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
// attempt and attempts remaining, and the server takes new work. Within the release guard the attempt waits.
func (c *Core) startAttempt(k *call, decision elmseam.Send) {
	s := c.serversByID[decision.Server]
	if k.answered || k.callerGone || k.attempt != nil && c.guardEnabled(GuardSingleAttempt) || s == nil {
		c.emit(Violation{ID: k.ID, Rule: "attempt for a call that is answered, abandoned or already outstanding, or to an unknown server"})
		return
	}
	newAttempt := &attempt{number: k.attempts, server: s, startedAt: c.now}
	k.attempts++
	k.attempt, s.outstanding[k.ID] = newAttempt, k
	switch {
	case c.now >= k.deadline || k.maxAttempts > 0 && k.attempts > k.maxAttempts && c.guardEnabled(GuardMaxAttempts), s.effectivePhase != elmseam.Ready && c.guardEnabled(GuardPhase):
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	case decision.Timeout > 0:
		c.setTimer(c.now+decision.Timeout, Token{kind: tokenAttemptTimeout, call: k.ID, controllerID: k.controllerID, number: uint32(newAttempt.number)})
	}
	c.offer(k)
}

// offer sends the offer of an attempt, or has the attempt wait for the release guard or for a connection.
func (c *Core) offer(k *call) {
	s := k.attempt.server
	conn := c.connFor(s)
	switch {
	case c.now < k.resendAfter && c.guardEnabled(GuardResendWait):
		c.setTimer(k.resendAfter, Token{kind: tokenReleaseGuard, call: k.ID, controllerID: k.controllerID, number: uint32(k.attempt.number)})
	case conn == nil && !c.dial(s):
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case conn == nil:
	default:
		k.attempt.phase, k.attempt.conn, k.attempt.startedAt, conn.lastSetUp = attemptSent, conn, c.now, c.now
		s.coldSetUps++
		if conn.unansweredSince == 0 {
			conn.unansweredSince = c.now
		}
		c.emit(Offer{To: conn.id, ID: k.ID, ClassName: k.ClassName, NumberText: k.NumberText, Desc: k.SetUp.Desc, Cell: s.Cell, Until: k.deadline})
	}
}

// retryAttempt resumes an attempt that waited for the release guard or for a connection.
func (c *Core) retryAttempt(k *call) {
	if k.callerGone || k.answered || c.now >= k.deadline || k.attempt.server.effectivePhase != elmseam.Ready {
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	}
	c.offer(k)
}

// giveUpAttempt gives an attempt up. If its offer went out, the attempt stays outstanding until its End has been written.
func (c *Core) giveUpAttempt(k *call, cause elmseam.Cause) {
	a := k.attempt
	switch {
	case a.phase == attemptWaiting:
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case a.phase == attemptSent:
		a.phase, a.endCause = attemptEnding, cause
		c.emit(End{To: a.conn.id, ID: k.ID, Notify: true})
	}
}

// endAttempt ends the outstanding attempt of a call and reports the outcome to the controller.
func (c *Core) endAttempt(k *call, outcome elmseam.Outcome) {
	ended := k.attempt
	k.attempt = nil
	if ended.conn != nil {
		k.earlierConns = append(k.earlierConns, ended.conn.id)
	}
	delete(ended.server.outstanding, k.ID)
	defer c.closeMalformedConns(ended.server)
	switch outcome.Cause {
	case elmseam.CauseTimeout, elmseam.CauseReset, elmseam.CauseCancelled:
		k.resendAfter = c.now + k.releaseGuard
	}
	outcome.Call, outcome.Server, outcome.Attempt, outcome.Final = k.controllerID, ended.server.id, ended.number, k.answered || k.callerGone
	if outcome.Final {
		c.forgetCall(k)
	}
	c.notifyController(outcome)
}

// endWritten ends the attempt whose End has been written.
func (c *Core) endWritten(ev EndWritten) {
	if k := c.outstandingCall(ev.Server, ev.Conn, ev.ID); k != nil && k.attempt.phase == attemptEnding {
		c.endAttempt(k, elmseam.Outcome{Cause: k.attempt.endCause})
	}
}

// notSent ends the attempt whose offer was withdrawn before its first byte was written.
func (c *Core) notSent(ev NotSent) {
	if k := c.outstandingCall(ev.Server, ev.Conn, ev.ID); k != nil {
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	}
}

// outstandingCall returns the call whose outstanding attempt at a server is meant by an event from a connection. The result is nil
// if the call has no attempt there, or if the event is about an earlier attempt.
func (c *Core) outstandingCall(name string, conn ConnID, id ID) *call {
	s := c.servers[name]
	if s == nil {
		return nil
	}
	k := s.outstanding[id]
	if k != nil && k.concernsEarlierAttempt(conn) {
		return nil
	}
	return k
}

// concernsEarlierAttempt says whether a message that has come on a connection is for an earlier attempt of the call: an earlier
// attempt was sent on that connection, and the outstanding one was not.
func (k *call) concernsEarlierAttempt(conn ConnID) bool {
	return slices.Contains(k.earlierConns, conn) && (k.attempt.conn == nil || k.attempt.conn.id != conn)
}
