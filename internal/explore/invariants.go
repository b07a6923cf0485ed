package explore

import (
	"fmt"

	"elmseam/internal/core"
)

// Invariant names a property that must hold in every state. The value is its name in traces.
type Invariant string

// The invariants of CallModel. Quoted text is what the softswitch promises to its users. The invariants are checked on the
// effects that the core requests and on the actions of callers and servers, and share no code with the core's guards.
const (
	OneFinalAnswer        Invariant = "one-final"   // "Exactly one final answer per call before its caller gives up": at most one
	OneOutstandingAttempt Invariant = "one-out"     // "never two attempts out": at most one attempt of a call is outstanding
	AttemptLimit          Invariant = "few-sends"   // "at most four": no more attempts than the settings at the time of the set-up allow
	ReleaseGuard          Invariant = "release-gap" // "200 ms before resending after timeout, reset or cancel"
	NoSetUpToDrained      Invariant = "no-drained"  // "nothing new to a server after it is told draining or gone"
	AnswerBeforeGiveUp    Invariant = "no-wait"     // "Exactly one final answer ... before its caller gives up": at least one
	OneRelease            Invariant = "one-release" // an established call that has ended is released towards its caller exactly once
	NoLeak                Invariant = "no-leak"     // the core retains nothing when all calls have ended
	SendOnOpenConn        Invariant = "reachable"   // messages to callers and servers are sent on open connections only
	NoGuardTripped        Invariant = "quiet"       // no guard of the core has to stop an action of the controller
)

// Invariants lists the invariants of CallModel.
var Invariants = []Invariant{OneFinalAnswer, OneOutstandingAttempt, AttemptLimit, ReleaseGuard, NoSetUpToDrained, AnswerBeforeGiveUp, OneRelease, NoLeak, SendOnOpenConn, NoGuardTripped}

// Violation is an invariant that does not hold in a state.
type Violation struct {
	Invariant Invariant
	Detail    string // what happened, for people
}

// Error returns the name of the invariant and the detail.
func (v *Violation) Error() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// callAccount is the record of a call that the invariants are checked against. The core's own records are not used,
// except for NoLeak.
type callAccount struct {
	Attempts       int       // attempts sent
	MaxAttempts    int       // attempts allowed by the settings at the set-up
	Outstanding    int       // attempts that have not ended
	LastEndAt      core.Time // end of the last attempt, however it ended
	EndedBadly     bool      // the last attempt ended by a time-out, a reset or a cancel
	FinalAnswers   int       // final answers sent to the caller
	WasEstablished bool      // a final answer said that the call is established
	Releases       int       // releases sent to the caller
	CallerGone     bool      // the caller no longer expects an answer or a release
}

// recordViolation records the violation of an invariant, unless an earlier one is recorded.
func (m *CallModel) recordViolation(invariant Invariant, format string, args ...any) {
	if m.Violation == nil {
		m.Violation = &Violation{invariant, fmt.Sprintf(format, args...)}
	}
}

// checkOffer checks an attempt that the core sends, and counts it. conn is nil if the connection is closed.
func (m *CallModel) checkOffer(index int, conn *serverConn) {
	account := &m.Calls[index].Account
	switch {
	case conn == nil:
		m.recordViolation(SendOnOpenConn, "call %d is offered on a closed connection", index)
		return
	case account.Outstanding > 0:
		m.recordViolation(OneOutstandingAttempt, "call %d has a second outstanding attempt", index)
	case account.Attempts >= account.MaxAttempts:
		m.recordViolation(AttemptLimit, "call %d is sent %d times, more often than its settings allow", index, account.Attempts+1)
	case account.EndedBadly && m.Now < account.LastEndAt+releaseGuardTime:
		m.recordViolation(ReleaseGuard, "call %d is sent %v after its last attempt ended", index, m.Now-account.LastEndAt)
	case m.Servers[conn.Server].Phase != phaseReady:
		m.recordViolation(NoSetUpToDrained, "call %d is sent to server %d, which is not ready", index, conn.Server)
	case account.FinalAnswers > 0 || account.CallerGone:
		m.recordViolation(OneFinalAnswer, "call %d is sent after it has ended", index)
	}
	account.Attempts++
	account.Outstanding++
}

// recordAttemptEnd records the end of an attempt. endedBadly says that the attempt ended by a time-out, a reset or a cancel.
func (m *CallModel) recordAttemptEnd(index int, endedBadly bool) {
	account := &m.Calls[index].Account
	if account.Outstanding > 0 {
		account.Outstanding--
	}
	account.EndedBadly, account.LastEndAt = endedBadly, m.Now
}

// checkFinalAnswer checks a final answer that the core sends to a caller, and counts it.
func (m *CallModel) checkFinalAnswer(index int, connID core.ConnID, established bool) {
	call := &m.Calls[index]
	account := &call.Account
	switch {
	case !m.callerConnected(connID):
		m.recordViolation(SendOnOpenConn, "call %d is answered on a closed connection", index)
	case account.FinalAnswers > 0:
		m.recordViolation(OneFinalAnswer, "call %d has a second final answer", index)
	case account.CallerGone:
		m.recordViolation(OneFinalAnswer, "call %d is answered after its caller has left", index)
	case established && !call.Established:
		m.recordViolation(OneFinalAnswer, "call %d is reported as established, but no server has established it", index)
	case m.Now > call.Deadline:
		m.recordViolation(AnswerBeforeGiveUp, "call %d is answered %v after its deadline", index, m.Now-call.Deadline)
	}
	account.FinalAnswers++
	account.WasEstablished = account.WasEstablished || established
}

// checkRelease checks a release that the core sends to a caller, and counts it.
func (m *CallModel) checkRelease(index int, connID core.ConnID) {
	account := &m.Calls[index].Account
	switch {
	case !m.callerConnected(connID):
		m.recordViolation(SendOnOpenConn, "call %d is released on a closed connection", index)
	case !account.WasEstablished:
		m.recordViolation(OneRelease, "call %d is released but was never established", index)
	case account.Releases > 0 || account.CallerGone:
		m.recordViolation(OneRelease, "call %d is released twice, or after its caller has left", index)
	}
	account.Releases++
}

// checkDeadlines checks that no caller waits for a final answer beyond its deadline.
func (m *CallModel) checkDeadlines(now core.Time) {
	for i := range m.Calls {
		if call := &m.Calls[i]; call.Started && call.Account.FinalAnswers == 0 && !call.Account.CallerGone && now > call.Deadline {
			m.recordViolation(AnswerBeforeGiveUp, "call %d has no final answer %v after its deadline", i, now-call.Deadline)
		}
	}
}

// hasEnded reports whether the call has ended at its server and its caller has received all messages that are due.
func (c *Call) hasEnded() bool {
	account := &c.Account
	return c.Started && c.State == attemptNone && !c.Established && (account.CallerGone || account.FinalAnswers > 0 && (!account.WasEstablished || account.Releases > 0))
}

// allCallsEnded reports whether every call has ended.
func (m *CallModel) allCallsEnded() bool {
	for i := range m.Calls {
		if !m.Calls[i].hasEnded() {
			return false
		}
	}
	return true
}

// Terminal reports whether every call has ended, and if so checks the invariant NoLeak.
func (m *CallModel) Terminal() bool {
	if !m.allCallsEnded() {
		return false
	}
	if retained := m.Core.Retained(); retained != (core.Retained{}) {
		m.recordViolation(NoLeak, "all calls have ended, but the core retains %+v", retained)
	}
	return true
}

// checkDeadlock checks a state without enabled actions.
func (m *CallModel) checkDeadlock() {
	for i := range m.Calls {
		call := &m.Calls[i]
		switch account := &call.Account; {
		case call.hasEnded() || !call.Started:
		case call.Established && account.CallerGone:
			m.recordViolation(OneRelease, "the caller of call %d has hung up, but the call is still established at its server", i)
		case account.WasEstablished:
			m.recordViolation(OneRelease, "call %d has ended but was never released", i)
		default:
			m.recordViolation(AnswerBeforeGiveUp, "call %d never gets a final answer", i)
		}
	}
}
