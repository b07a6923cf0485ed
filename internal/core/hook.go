package core

import "elmseam"

// Guard is a set of guards, as a bit set. A guard is a check by which the core enforces a rule of signalling, whatever the controller
// decides. Tests disable a guard to check that they detect the violations that the guard prevents.
type Guard uint16

// The guards, each with the rule that it enforces.
const (
	GuardSingleAnswer  Guard = 1 << iota // a set-up gets one final answer
	GuardSingleAttempt                   // a call has one outstanding attempt at a time
	GuardMaxAttempts                     // a call has no more attempts than permitted
	GuardResendWait                      // no offer goes out within the release guard
	GuardPhase                           // no attempt goes to a server that takes no new work
	GuardDeadline                        // the final answer comes before the caller's time is up
	GuardSingleRelease                   // a call is released once
	GuardForgetEnded                     // an ended call is forgotten
)

// Hook makes a core violate its rules on purpose, for tests that have to detect the violation. Outside tests it is empty.
type Hook struct {
	DisabledGuards Guard                                                  // guards that are switched off, as a bit set
	SuppressEvent  func(elmseam.Event) bool                               // events for which it returns true are kept from the controller
	Decide         func(elmseam.Event, []elmseam.Action) []elmseam.Action // replaces the actions that the controller decided on
}

// SetHook installs a hook.
func (c *Core) SetHook(h Hook) { c.hook = h }

// guardEnabled says whether a guard is not disabled by the hook.
func (c *Core) guardEnabled(g Guard) bool { return c.hook.DisabledGuards&g == 0 }

// Retained counts what a core keeps for calls.
type Retained struct {
	Calls, Open, Bytes    int // calls, those without a final answer, and the size of the numbers and descriptions of all calls in bytes
	Attempts, Established int // outstanding attempts and established calls at all servers
	PendingReleases       int // releases that wait for a connection of callers
	ControllerCalls       int // calls that the controller keeps
}

// Retained returns what the core keeps now. All counts are 0 when every call has ended and no release to a caller waits.
func (c *Core) Retained() Retained {
	retained := Retained{Calls: len(c.calls), Open: c.openSetUps, Bytes: c.callBytes, PendingReleases: len(c.pendingReleases), ControllerCalls: c.controller.Calls()}
	for _, s := range c.servers {
		retained.Attempts += len(s.outstanding)
		retained.Established += len(s.established)
	}
	return retained
}
