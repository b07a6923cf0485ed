package explore

import (
	"fmt"

	"elmseam/internal/core"
)

// Invariant names a property that no exploration may see broken.
type Invariant string

// The rules, each in the words that the softswitch promises it in. They are judged by what is asked of the sockets
// (the effects) and by what the world around has done, and share no code with the core's guards.
const (
	OneFinalAnswer        Invariant = "one-final"   // "Exactly one final answer per call before its caller gives up": never a second
	OneOutstandingAttempt Invariant = "one-out"     // "never two attempts out"
	AttemptLimit          Invariant = "few-sends"   // "at most four": no more attempts than the settings of the call's set-up allow
	ReleaseGuard          Invariant = "release-gap" // "200 ms before resending after timeout, reset or cancel"
	NoSetUpToDrained      Invariant = "no-drained"  // "nothing new to a server after it is told draining or gone"
	AnswerBeforeGiveUp    Invariant = "no-wait"     // "Exactly one final answer ... before its caller gives up": never none
	OneRelease            Invariant = "one-release" // what has stood and is over is released towards its caller, once
	NoLeak                Invariant = "no-leak"     // all memory is given back when every call is over
	SendOnOpenConn        Invariant = "reachable"   // what a caller or a server is told goes out on a connection that is there
	NoGuardTripped        Invariant = "quiet"       // no guard of the core's has to hold against the module
)

// Invariants are all of them.
var Invariants = []Invariant{OneFinalAnswer, OneOutstandingAttempt, AttemptLimit, ReleaseGuard, NoSetUpToDrained, AnswerBeforeGiveUp, OneRelease, NoLeak, SendOnOpenConn, NoGuardTripped}

// Violation is a rule seen broken.
type Violation struct {
	Invariant Invariant
	Detail    string
}

func (v *Violation) Error() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// account is what the rules know of a call.
type account struct {
	Attempts       int
	MaxAttempts    int // attempts that it may have
	Outstanding    int // attempts out
	BadEndAt       core.Time
	EndedBadly     bool // its last attempt ended at Bad by a time-out, a reset or a cancel
	FinalAnswers   int
	WasEstablished bool
	Releases       int
	CallerGone     bool // nobody waits for an answer, or for a release
}

// broken records the first rule that is broken.
func (m *CallModel) recordViolation(invariant Invariant, format string, args ...any) {
	if m.Violation == nil {
		m.Violation = &Violation{invariant, fmt.Sprintf(format, args...)}
	}
}

// offered judges an attempt.
func (m *CallModel) checkOffer(index int, conn *conn) {
	acct := &m.Calls[index].Account
	switch {
	case conn == nil:
		m.recordViolation(SendOnOpenConn, "call %d is offered on no connection", index)
		return
	case acct.Outstanding > 0:
		m.recordViolation(OneOutstandingAttempt, "call %d has a second attempt out", index)
	case acct.Attempts >= acct.MaxAttempts:
		m.recordViolation(AttemptLimit, "call %d is sent for the %d. time", index, acct.Attempts+1)
	case acct.EndedBadly && m.Now < acct.BadEndAt+releaseGuardTime:
		m.recordViolation(ReleaseGuard, "call %d is sent %v after its last attempt ended", index, m.Now-acct.BadEndAt)
	case m.Servers[conn.Server].Phase != phaseReady:
		m.recordViolation(NoSetUpToDrained, "call %d is sent to server %d", index, conn.Server)
	case acct.FinalAnswers > 0 || acct.CallerGone:
		m.recordViolation(OneFinalAnswer, "call %d is sent after its end", index)
	}
	acct.Attempts++
	acct.Outstanding++
}

// attemptOver takes in the end of an attempt. Bad: by a time-out, a reset or a cancel.
func (m *CallModel) recordAttemptEnd(index int, bad bool) {
	acct := &m.Calls[index].Account
	if acct.Outstanding > 0 {
		acct.Outstanding--
	}
	acct.EndedBadly, acct.BadEndAt = bad, m.Now
}

// finalAnswer judges a final answer.
func (m *CallModel) checkFinalAnswer(index int, connID core.ConnID, established bool) {
	call := &m.Calls[index]
	acct := &call.Account
	switch {
	case !m.callerConnected(connID):
		m.recordViolation(SendOnOpenConn, "call %d is answered on no connection", index)
	case acct.FinalAnswers > 0:
		m.recordViolation(OneFinalAnswer, "call %d has a second final answer", index)
	case acct.CallerGone:
		m.recordViolation(OneFinalAnswer, "call %d is answered and nobody waits", index)
	case established && !call.Established:
		m.recordViolation(OneFinalAnswer, "call %d is said to stand and stands nowhere", index)
	case m.Now > call.Deadline:
		m.recordViolation(AnswerBeforeGiveUp, "call %d is answered %v late", index, m.Now-call.Deadline)
	}
	acct.FinalAnswers++
	acct.WasEstablished = acct.WasEstablished || established
}

// released judges a release towards a caller.
func (m *CallModel) checkRelease(index int, connID core.ConnID) {
	acct := &m.Calls[index].Account
	switch {
	case !m.callerConnected(connID):
		m.recordViolation(SendOnOpenConn, "call %d is released on no connection", index)
	case !acct.WasEstablished:
		m.recordViolation(OneRelease, "call %d is released and never stood", index)
	case acct.Releases > 0 || acct.CallerGone:
		m.recordViolation(OneRelease, "call %d is released twice", index)
	}
	acct.Releases++
}

// inTime judges whether anybody waits for longer than it wanted to.
func (m *CallModel) checkDeadlines(now core.Time) {
	for i := range m.Calls {
		if call := &m.Calls[i]; call.Started && call.Account.FinalAnswers == 0 && !call.Account.CallerGone && now > call.Deadline {
			m.recordViolation(AnswerBeforeGiveUp, "call %d has no final answer %v after its time", i, now-call.Deadline)
		}
	}
}

// over says whether nothing more is owed for a call.
func (c *Call) ended() bool {
	acct := &c.Account
	return c.Started && c.State == attemptNone && !c.Established && (acct.CallerGone || acct.FinalAnswers > 0 && (!acct.WasEstablished || acct.Releases > 0))
}

// done says whether every call is over.
func (m *CallModel) allCallsEnded() bool {
	for i := range m.Calls {
		if !m.Calls[i].ended() {
			return false
		}
	}
	return true
}

// Terminal says whether every call is over, and judges what is kept then.
func (m *CallModel) Terminal() bool {
	if !m.allCallsEnded() {
		return false
	}
	if retained := m.Core.Retained(); retained != (core.Retained{}) {
		m.recordViolation(NoLeak, "every call is over, and %+v is kept", retained)
	}
	return true
}

// stuck judges a state in which nothing can happen any more.
func (m *CallModel) checkDeadlock() {
	for i := range m.Calls {
		call := &m.Calls[i]
		switch acct := &call.Account; {
		case call.ended() || !call.Started:
		case call.Established && acct.CallerGone:
			m.recordViolation(OneRelease, "call %d was hung up and stands at its server", i)
		case acct.WasEstablished:
			m.recordViolation(OneRelease, "call %d is over and never released", i)
		default:
			m.recordViolation(AnswerBeforeGiveUp, "call %d waits for ever", i)
		}
	}
}
