package core

import "elmseam"

// Guard names a guard of the core's own. Checks take one out, to see that its absence shows.
type Guard uint16

// The guards.
const (
	GuardFinal    Guard = 1 << iota // one final answer
	GuardOut                        // no attempt beside another
	GuardMost                       // no attempt too many
	GuardGap                        // none within the release gap
	GuardPhase                      // none to a server that takes no new work
	GuardDeadline                   // an answer while the caller waits
	GuardRelease                    // one release
	GuardMemory                     // a call that is over is forgotten
)

// Hook breaks a core on purpose, for checks that have to see a rule broken. No program sets one.
type Hook struct {
	Without Guard
	Deaf    func(elmseam.Event) bool                               // the module isn't told
	Decide  func(elmseam.Event, []elmseam.Action) []elmseam.Action // in place of the module's decision
}

// SetHook breaks the core.
func (c *Core) SetHook(h Hook) { c.hook = h }

// has says whether a guard is in its place.
func (c *Core) has(g Guard) bool { return c.hook.Without&g == 0 }

// Spent says whether a timer can mean nothing any more, as its call is over. No id comes twice.
func (c *Core) Spent(t Token) bool {
	switch t.kind {
	case tokenController:
		return !c.ctl.Knows(elmseam.CallID(t.number))
	case tokenDeadline, tokenRebind, tokenTimeout, tokenGap:
		return c.calls[t.call] == nil || c.calls[t.call].cid != t.cid
	}
	return false
}

// Held is what a core keeps of calls.
type Held struct {
	Calls, Open, Bytes int // in hand, without a final answer, and what they keep
	Attempts, Standing int
	Releases           int // that wait for a connection
	Decisions          int // calls that the module knows
}

// Held is what the core keeps now. When every call is over it is all zeros.
func (c *Core) Held() Held {
	h := Held{Calls: len(c.calls), Open: c.open, Bytes: c.bytes, Releases: len(c.pending), Decisions: c.ctl.Calls()}
	for _, s := range c.servers {
		h.Attempts += len(s.out)
		h.Standing += len(s.standing)
	}
	return h
}
