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
	Released       int
	CallerGone     bool // nobody waits for an answer, or for a release
}

// broken records the first rule that is broken.
func (w *CallModel) broken(r Invariant, format string, args ...any) {
	if w.Violation == nil {
		w.Violation = &Violation{r, fmt.Sprintf(format, args...)}
	}
}

// offered judges an attempt.
func (w *CallModel) offered(i int, to *conn) {
	a := &w.Calls[i].Account
	switch {
	case to == nil:
		w.broken(SendOnOpenConn, "call %d is offered on no connection", i)
		return
	case a.Outstanding > 0:
		w.broken(OneOutstandingAttempt, "call %d has a second attempt out", i)
	case a.Attempts >= a.MaxAttempts:
		w.broken(AttemptLimit, "call %d is sent for the %d. time", i, a.Attempts+1)
	case a.EndedBadly && w.Now < a.BadEndAt+releaseGap:
		w.broken(ReleaseGuard, "call %d is sent %v after its last attempt ended", i, w.Now-a.BadEndAt)
	case w.Servers[to.Server].Phase != ready:
		w.broken(NoSetUpToDrained, "call %d is sent to server %d", i, to.Server)
	case a.FinalAnswers > 0 || a.CallerGone:
		w.broken(OneFinalAnswer, "call %d is sent after its end", i)
	}
	a.Attempts++
	a.Outstanding++
}

// attemptOver takes in the end of an attempt. Bad: by a time-out, a reset or a cancel.
func (w *CallModel) attemptOver(i int, bad bool) {
	a := &w.Calls[i].Account
	if a.Outstanding > 0 {
		a.Outstanding--
	}
	a.EndedBadly, a.BadEndAt = bad, w.Now
}

// finalAnswer judges a final answer.
func (w *CallModel) finalAnswer(i int, to core.ConnID, stands bool) {
	c := &w.Calls[i]
	a := &c.Account
	switch {
	case !w.callerUp(to):
		w.broken(SendOnOpenConn, "call %d is answered on no connection", i)
	case a.FinalAnswers > 0:
		w.broken(OneFinalAnswer, "call %d has a second final answer", i)
	case a.CallerGone:
		w.broken(OneFinalAnswer, "call %d is answered and nobody waits", i)
	case stands && !c.Established:
		w.broken(OneFinalAnswer, "call %d is said to stand and stands nowhere", i)
	case w.Now > c.Deadline:
		w.broken(AnswerBeforeGiveUp, "call %d is answered %v late", i, w.Now-c.Deadline)
	}
	a.FinalAnswers++
	a.WasEstablished = a.WasEstablished || stands
}

// released judges a release towards a caller.
func (w *CallModel) released(i int, to core.ConnID) {
	a := &w.Calls[i].Account
	switch {
	case !w.callerUp(to):
		w.broken(SendOnOpenConn, "call %d is released on no connection", i)
	case !a.WasEstablished:
		w.broken(OneRelease, "call %d is released and never stood", i)
	case a.Released > 0 || a.CallerGone:
		w.broken(OneRelease, "call %d is released twice", i)
	}
	a.Released++
}

// inTime judges whether anybody waits for longer than it wanted to.
func (w *CallModel) inTime(now core.Time) {
	for i := range w.Calls {
		if c := &w.Calls[i]; c.Started && c.Account.FinalAnswers == 0 && !c.Account.CallerGone && now > c.Deadline {
			w.broken(AnswerBeforeGiveUp, "call %d has no final answer %v after its time", i, now-c.Deadline)
		}
	}
}

// over says whether nothing more is owed for a call.
func (c *Call) over() bool {
	a := &c.Account
	return c.Started && c.State == nowhere && !c.Established && (a.CallerGone || a.FinalAnswers > 0 && (!a.WasEstablished || a.Released > 0))
}

// done says whether every call is over.
func (w *CallModel) done() bool {
	for i := range w.Calls {
		if !w.Calls[i].over() {
			return false
		}
	}
	return true
}

// Terminal says whether every call is over, and judges what is kept then.
func (w *CallModel) Terminal() bool {
	if !w.done() {
		return false
	}
	if h := w.Core.Retained(); h != (core.Retained{}) {
		w.broken(NoLeak, "every call is over, and %+v is kept", h)
	}
	return true
}

// stuck judges a state in which nothing can happen any more.
func (w *CallModel) stuck() {
	for i := range w.Calls {
		c := &w.Calls[i]
		switch a := &c.Account; {
		case c.over() || !c.Started:
		case c.Established && a.CallerGone:
			w.broken(OneRelease, "call %d was hung up and stands at its server", i)
		case a.WasEstablished:
			w.broken(OneRelease, "call %d is over and never released", i)
		default:
			w.broken(AnswerBeforeGiveUp, "call %d waits for ever", i)
		}
	}
}
