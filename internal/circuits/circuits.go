// Package circuits keeps account of the circuits to one server: which call is on which, and which may be used. It is the
// ISUP side of an association (Q.764) without messages, connections, clocks and locks: what arrives is told, and what
// is to be written is returned.
package circuits

import (
	"slices"
	"time"

	"elmseam/internal/core"
)

// use is what a circuit is used for.
type state uint8

const (
	stateFree state = iota
	stateSettingUp
	stateEstablished
	stateReleasing        // until the server's RLC
	stateAwaitingExtraRLC // that has come, but a REL went out more than once: another RLC may be on its way
)

// circuit is one of them.
type circuit struct {
	call              core.ID
	state             state
	pendingRLCs       int       // RLCs that may still come: one for each REL, unless the server has lost it
	ownRLCUnconfirmed bool      // freed by an RLC of ours, and nothing has shown that the server has heard it
	stateSince        time.Time // of the last REL, or of the RLC that left it settling
}

// Circuits are all to one server. They outlive its connections: a call that stands keeps its circuit, and one that was
// released is not used again before the server has said so.
type Circuits struct {
	circuits       []circuit
	byCall         map[core.ID]uint16
	nextIndex      int
	lastSweep      time.Time // when overdue ones were last looked for
	disabledGuards Guard
}

// Guard names what keeps calls on circuits apart. Checks take one out, to see that its absence shows.
type Guard uint8

// The guards.
const (
	GuardConfirm      Guard = 1 << iota // a circuit that was released here waits for the server's RLC
	GuardReleaseCount                   // and for as many as there were RELs
	GuardOverdue                        // a release that is not confirmed goes out again
)

// DisableGuards takes guards out. No program does.
func (c *Circuits) DisableGuards(g Guard) { c.disabledGuards = g }

func (c *Circuits) guardEnabled(g Guard) bool { return c.disabledGuards&g == 0 }

// New makes so many circuits, all free.
func New(n int) *Circuits {
	return &Circuits{circuits: make([]circuit, n), byCall: make(map[core.ID]uint16)}
}

// Allocate finds a free circuit for a call whose IAM goes out. Those that settle are the last resort of none.
func (c *Circuits) Allocate(call core.ID) (cic uint16, ok bool) {
	for range c.circuits {
		i := c.nextIndex
		if c.nextIndex++; c.nextIndex == len(c.circuits) {
			c.nextIndex = 0
		}
		if c.circuits[i].state == stateFree {
			c.circuits[i].state, c.circuits[i].call, c.byCall[call] = stateSettingUp, call, uint16(i)
			return uint16(i), true
		}
	}
	return 0, false
}

// NotSent frees the circuit of a call whose IAM never left.
func (c *Circuits) NotSent(call core.ID) {
	if cic, found := c.byCall[call]; found && c.circuits[cic].state == stateSettingUp {
		c.detach(cic, stateFree)
	}
}

// Release takes in that a call is released here, and says on which circuit a REL has to go out.
func (c *Circuits) Release(call core.ID, now time.Time) (cic uint16, ok bool) {
	cic, found := c.byCall[call]
	if !found || c.circuits[cic].state != stateSettingUp && c.circuits[cic].state != stateEstablished {
		return 0, false
	}
	c.markReleasing(cic, now)
	return cic, true
}

// Answered takes in an ANM, and says which call stands.
func (c *Circuits) Answered(cic uint16) (core.ID, bool) {
	if int(cic) >= len(c.circuits) || c.circuits[cic].state != stateSettingUp {
		return 0, false
	}
	circuit := &c.circuits[cic]
	circuit.state, circuit.pendingRLCs, circuit.ownRLCUnconfirmed = stateEstablished, 0, false // an RLC of before would have come first
	return circuit.call, true
}

// Released takes in a REL or an RSC of the server, and says which call that ends. One that crosses ours leaves the circuit
// in use until the server has heard of ours too. An RLC goes out in any case.
func (c *Circuits) Released(cic uint16) (core.ID, bool) {
	if int(cic) >= len(c.circuits) || c.circuits[cic].state != stateSettingUp && c.circuits[cic].state != stateEstablished {
		return 0, false
	}
	call := c.circuits[cic].call
	c.detach(cic, stateFree)
	c.circuits[cic].pendingRLCs, c.circuits[cic].ownRLCUnconfirmed = 0, true
	return call, true
}

// Confirmed takes in an RLC. Where a REL went out more than once, so may RLCs come, and one that is late would pass for
// that of the circuit's next release; what the server said of the call before would then pass for news of the next.
func (c *Circuits) Confirmed(cic uint16, now time.Time) {
	if int(cic) >= len(c.circuits) {
		return
	}
	circuit := &c.circuits[cic]
	circuit.pendingRLCs = max(circuit.pendingRLCs-1, 0)
	switch {
	case circuit.state != stateReleasing && circuit.state != stateAwaitingExtraRLC:
	case circuit.pendingRLCs == 0 || !c.guardEnabled(GuardReleaseCount):
		circuit.state, circuit.ownRLCUnconfirmed = stateFree, false
	default:
		circuit.state, circuit.stateSince = stateAwaitingExtraRLC, now
	}
}

// ConnLost gives up the set-ups that were open on a connection that has ended. What was on its way is lost with it, and an
// RLC of ours may have been: a server that waits for it holds the circuit.
func (c *Circuits) ConnLost(now time.Time) {
	for i := range c.circuits {
		switch circuit := &c.circuits[i]; {
		case circuit.state == stateFree && circuit.ownRLCUnconfirmed:
			circuit.state, circuit.pendingRLCs = stateReleasing, 0
		case circuit.state == stateSettingUp:
			c.detach(uint16(i), stateReleasing)
			circuit.stateSince, circuit.pendingRLCs = now, 0
		case circuit.state == stateReleasing || circuit.state == stateAwaitingExtraRLC:
			circuit.state, circuit.pendingRLCs = stateReleasing, 0
		}
	}
}

// Unconfirmed are the circuits that a REL has to go out on when a connection has come up.
func (c *Circuits) Unconfirmed(now time.Time) (cics []uint16) {
	for i := range c.circuits {
		if c.circuits[i].state == stateReleasing {
			c.markReleasing(uint16(i), now)
			cics = append(cics, uint16(i))
		}
	}
	return cics
}

// Overdue are the circuits whose release the server has not confirmed for so long: it may have lost that, or never answered,
// and a circuit would be lost for good with each. A REL has to go out on each again. One that has settled for so long is
// free.
func (c *Circuits) Overdue(now time.Time, timeout time.Duration) (cics []uint16) {
	if now.Sub(c.lastSweep) < timeout || !c.guardEnabled(GuardOverdue) {
		return nil
	}
	c.lastSweep = now
	for i := range c.circuits {
		switch circuit := &c.circuits[i]; {
		case now.Sub(circuit.stateSince) < timeout:
		case circuit.state == stateAwaitingExtraRLC: // and should the other RLC come after all, it is still counted
			circuit.state = stateFree
		case circuit.state == stateReleasing:
			c.markReleasing(uint16(i), now)
			cics = append(cics, uint16(i))
		}
	}
	return cics
}

// Free is how many circuits are free.
func (c *Circuits) Free() int {
	count := 0
	for i := range c.circuits {
		if c.circuits[i].state == stateFree {
			count++
		}
	}
	return count
}

// Calls are those that are on a circuit, in order.
func (c *Circuits) Calls() []core.ID {
	ids := make([]core.ID, 0, len(c.byCall))
	for id := range c.byCall {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// release counts a REL.
func (c *Circuits) markReleasing(cic uint16, now time.Time) {
	c.detach(cic, stateReleasing)
	c.circuits[cic].stateSince = now
	c.circuits[cic].pendingRLCs++
	if !c.guardEnabled(GuardConfirm) {
		c.circuits[cic].state = stateFree
	}
}

// leave takes a circuit's call off it.
func (c *Circuits) detach(cic uint16, next state) {
	circuit := &c.circuits[cic]
	if circuit.state == stateSettingUp || circuit.state == stateEstablished {
		delete(c.byCall, circuit.call)
	}
	circuit.state = next
}
