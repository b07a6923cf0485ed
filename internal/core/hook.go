package core

import "elmseam"

// Guard names a guard of the core's own. Checks take one out, to see that its absence shows.
type Guard uint16

// The guards.
const (
	GuardSingleAnswer  Guard = 1 << iota // one final answer
	GuardSingleAttempt                   // no attempt beside another
	GuardMaxAttempts                     // no attempt too many
	GuardResendWait                      // none within the release gap
	GuardPhase                           // none to a server that takes no new work
	GuardDeadline                        // an answer while the caller waits
	GuardSingleRelease                   // one release
	GuardForgetEnded                     // a call that is over is forgotten
)

// Hook breaks a core on purpose, for checks that have to see a rule broken. No program sets one.
type Hook struct {
	DisabledGuards Guard
	SuppressEvent  func(elmseam.Event) bool                               // the module isn't told
	Decide         func(elmseam.Event, []elmseam.Action) []elmseam.Action // in place of the module's decision
}

// SetHook breaks the core.
func (c *Core) SetHook(h Hook) { c.hook = h }

// has says whether a guard is in its place.
func (c *Core) guardEnabled(g Guard) bool { return c.hook.DisabledGuards&g == 0 }

// TimerObsolete says whether a timer can mean nothing any more, as its call is over. No id comes twice.
func (c *Core) TimerObsolete(t Token) bool {
	switch t.kind {
	case tokenController:
		return !c.controller.HasCall(elmseam.CallID(t.number))
	case tokenDeadline, tokenRebind, tokenAttemptTimeout, tokenReleaseGuard:
		return c.calls[t.call] == nil || c.calls[t.call].controllerID != t.controllerID
	}
	return false
}

// Retained is what a core keeps of calls.
type Retained struct {
	Calls, Open, Bytes    int // in hand, without a final answer, and what they keep
	Attempts, Established int
	PendingReleases       int // that wait for a connection
	ControllerCalls       int // calls that the module knows
}

// Retained is what the core keeps now. When every call is over it is all zeros.
func (c *Core) Retained() Retained {
	retained := Retained{Calls: len(c.calls), Open: c.openSetUps, Bytes: c.callBytes, PendingReleases: len(c.pendingReleases), ControllerCalls: c.controller.Calls()}
	for _, s := range c.servers {
		retained.Attempts += len(s.outstanding)
		retained.Established += len(s.established)
	}
	return retained
}
