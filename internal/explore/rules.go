package explore

import (
	"fmt"

	"elmseam/internal/core"
)

// Rule names a property that no exploration may see broken.
type Rule string

// The rules, each in the words that the softswitch promises it in. They are judged by what is asked of the sockets
// (the effects) and by what the world around has done, and share no code with the core's guards.
const (
	OneFinal   Rule = "one-final"   // "Exactly one final answer per call before its caller gives up": never a second
	OneOut     Rule = "one-out"     // "never two attempts out"
	FewSends   Rule = "few-sends"   // "at most four": no more attempts than the settings of the call's set-up allow
	ReleaseGap Rule = "release-gap" // "200 ms before resending after timeout, reset or cancel"
	NoDrained  Rule = "no-drained"  // "nothing new to a server after it is told draining or gone"
	NoWait     Rule = "no-wait"     // "Exactly one final answer ... before its caller gives up": never none
	OneRelease Rule = "one-release" // what has stood and is over is released towards its caller, once
	NoLeak     Rule = "no-leak"     // all memory is given back when every call is over
	Reachable  Rule = "reachable"   // what a caller or a server is told goes out on a connection that is there
	Quiet      Rule = "quiet"       // no guard of the core's has to hold against the module
)

// Rules are all of them.
var Rules = []Rule{OneFinal, OneOut, FewSends, ReleaseGap, NoDrained, NoWait, OneRelease, NoLeak, Reachable, Quiet}

// Violation is a rule seen broken.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v *Violation) Error() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// account is what the rules know of a call.
type account struct {
	Offers   int
	Most     int // attempts that it may have
	Out      int // attempts out
	Bad      core.Time
	BadEnd   bool // its last attempt ended at Bad by a time-out, a reset or a cancel
	Finals   int
	Stood    bool
	Released int
	Gone     bool // nobody waits for an answer, or for a release
}

// broken records the first rule that is broken.
func (w *World) broken(r Rule, format string, args ...any) {
	if w.Seen == nil {
		w.Seen = &Violation{r, fmt.Sprintf(format, args...)}
	}
}

// offered judges an attempt.
func (w *World) offered(i int, to *conn) {
	a := &w.Calls[i].Account
	switch {
	case to == nil:
		w.broken(Reachable, "call %d is offered on no connection", i)
		return
	case a.Out > 0:
		w.broken(OneOut, "call %d has a second attempt out", i)
	case a.Offers >= a.Most:
		w.broken(FewSends, "call %d is sent for the %d. time", i, a.Offers+1)
	case a.BadEnd && w.Now < a.Bad+releaseGap:
		w.broken(ReleaseGap, "call %d is sent %v after its last attempt ended", i, w.Now-a.Bad)
	case w.Servers[to.Server].Phase != ready:
		w.broken(NoDrained, "call %d is sent to server %d", i, to.Server)
	case a.Finals > 0 || a.Gone:
		w.broken(OneFinal, "call %d is sent after its end", i)
	}
	a.Offers++
	a.Out++
}

// attemptOver takes in the end of an attempt. Bad: by a time-out, a reset or a cancel.
func (w *World) attemptOver(i int, bad bool) {
	a := &w.Calls[i].Account
	if a.Out > 0 {
		a.Out--
	}
	a.BadEnd, a.Bad = bad, w.Now
}

// finalAnswer judges a final answer.
func (w *World) finalAnswer(i int, to core.Link, stands bool) {
	c := &w.Calls[i]
	a := &c.Account
	switch {
	case !w.callerUp(to):
		w.broken(Reachable, "call %d is answered on no connection", i)
	case a.Finals > 0:
		w.broken(OneFinal, "call %d has a second final answer", i)
	case a.Gone:
		w.broken(OneFinal, "call %d is answered and nobody waits", i)
	case stands && !c.Stands:
		w.broken(OneFinal, "call %d is said to stand and stands nowhere", i)
	case w.Now > c.Deadline:
		w.broken(NoWait, "call %d is answered %v late", i, w.Now-c.Deadline)
	}
	a.Finals++
	a.Stood = a.Stood || stands
}

// released judges a release towards a caller.
func (w *World) released(i int, to core.Link) {
	a := &w.Calls[i].Account
	switch {
	case !w.callerUp(to):
		w.broken(Reachable, "call %d is released on no connection", i)
	case !a.Stood:
		w.broken(OneRelease, "call %d is released and never stood", i)
	case a.Released > 0 || a.Gone:
		w.broken(OneRelease, "call %d is released twice", i)
	}
	a.Released++
}

// inTime judges whether anybody waits for longer than it wanted to.
func (w *World) inTime(now core.Time) {
	for i := range w.Calls {
		if c := &w.Calls[i]; c.Started && c.Account.Finals == 0 && !c.Account.Gone && now > c.Deadline {
			w.broken(NoWait, "call %d has no final answer %v after its time", i, now-c.Deadline)
		}
	}
}

// over says whether nothing more is owed for a call.
func (c *Call) over() bool {
	a := &c.Account
	return c.Started && c.At == nowhere && !c.Stands && (a.Gone || a.Finals > 0 && (!a.Stood || a.Released > 0))
}

// done says whether every call is over.
func (w *World) done() bool {
	for i := range w.Calls {
		if !w.Calls[i].over() {
			return false
		}
	}
	return true
}

// Over says whether every call is over, and judges what is kept then.
func (w *World) Over() bool {
	if !w.done() {
		return false
	}
	if h := w.Core.Held(); h != (core.Held{}) {
		w.broken(NoLeak, "every call is over, and %+v is kept", h)
	}
	return true
}

// stuck judges a state in which nothing can happen any more.
func (w *World) stuck() {
	for i := range w.Calls {
		c := &w.Calls[i]
		switch a := &c.Account; {
		case c.over() || !c.Started:
		case c.Stands && a.Gone:
			w.broken(OneRelease, "call %d was hung up and stands at its server", i)
		case a.Stood:
			w.broken(OneRelease, "call %d is over and never released", i)
		default:
			w.broken(NoWait, "call %d waits for ever", i)
		}
	}
}
