// Package circuits keeps account of the ISUP circuits to one server: which call is on which circuit, and which
// circuits may be used. It is the ISUP side of an association (Q.764) without messages, connections, clocks and
// locks: its user reports the messages that arrive, and the methods return what has to be sent.
package circuits

import (
	"slices"
	"time"

	"elmseam/internal/core"
)

// State is the state of a circuit. The values stand in files: see package circuitfile.
type State uint8

// The states of a circuit.
const (
	StateFree             State = iota // carries no call and may be allocated
	StateSettingUp                     // an IAM was sent or is about to be, and no ANM has arrived
	StateEstablished                   // the server has answered the call
	StateReleasing                     // a REL was sent, or has to be sent on the next connection; waits for the RLC
	StateAwaitingExtraRLC              // an RLC has arrived, but the REL was sent more than once: another RLC may be on its way
)

// circuit is one circuit and the call on it.
type circuit struct {
	call              core.ID
	state             State
	pendingRLCs       int       // RLCs that may still arrive: one for each REL sent, unless the server has lost that REL
	ownRLCUnconfirmed bool      // the circuit was freed by an RLC sent here, and no message has shown that the server received it
	stateSince        time.Time // time of the last REL, of the last RLC that left others pending, or of the ConnLost that ended a set-up
}

// Circuits holds all circuits to one server. They outlive the server's connections: an established call keeps its
// circuit, and the circuit of a call released here is not used again before the server has confirmed the release.
type Circuits struct {
	circuits          []circuit          // indexed by circuit identification code (CIC)
	cicByCall         map[core.ID]uint16 // CIC of each call
	searchStart       int                // where the search for a free circuit begins
	lastOverdueSearch time.Time          // when Overdue last searched
	table             Table              // holds the states for other processes too
	disabledGuards    Guard
}

// Guard is a set of the rules that keep the messages of successive calls on a circuit apart, and regain circuits whose
// release stays unconfirmed. A test can switch guards off, to see that the violation then shows.
type Guard uint8

// The guards. Each comment says what Circuits does when the guard is on.
const (
	GuardConfirm      Guard = 1 << iota // a circuit that was released here waits for the server's RLC
	GuardReleaseCount                   // the circuit waits for as many RLCs as RELs were sent
	GuardOverdue                        // an unconfirmed REL is sent again, and an extra RLC is awaited for a limited time
)

// DisableGuards switches off the given guards and switches on all others. Only tests switch any off.
func (c *Circuits) DisableGuards(g Guard) { c.disabledGuards = g }

// guardEnabled reports whether the guard is on.
func (c *Circuits) guardEnabled(g Guard) bool { return c.disabledGuards&g == 0 }

// New returns n circuits, all free.
func New(n int) *Circuits {
	return &Circuits{circuits: make([]circuit, n), cicByCall: make(map[core.ID]uint16), table: privateTable{}}
}

// Allocate assigns a free circuit to a call whose IAM is about to be sent. Circuits that still await an RLC are not
// used, even if no other circuit is free; ok is then false.
func (c *Circuits) Allocate(call core.ID) (cic uint16, ok bool) {
	for range c.circuits {
		i := c.searchStart
		if c.searchStart++; c.searchStart == len(c.circuits) {
			c.searchStart = 0
		}
		if c.circuits[i].state == StateFree && c.table.Claim(uint16(i), call) {
			c.circuits[i].state, c.circuits[i].call, c.cicByCall[call] = StateSettingUp, call, uint16(i)
			return uint16(i), true
		}
	}
	return 0, false
}

// NotSent frees the circuit of a call whose IAM was not sent. It does nothing if the call is not being set up.
func (c *Circuits) NotSent(call core.ID) {
	if cic, found := c.cicByCall[call]; found && c.circuits[cic].state == StateSettingUp {
		c.removeCall(cic, StateFree)
	}
}

// Release handles the release of a call by this side. It returns the circuit on which a REL has to be sent; ok is false
// if the call is on no circuit.
func (c *Circuits) Release(call core.ID, now time.Time) (cic uint16, ok bool) {
	cic, found := c.cicByCall[call]
	if !found || !c.owned(cic) || c.circuits[cic].state != StateSettingUp && c.circuits[cic].state != StateEstablished {
		return 0, false
	}
	c.markReleasing(cic, now)
	return cic, true
}

// Answered handles an ANM and returns the call that is now established. It returns false if no call is being set up on
// the circuit.
func (c *Circuits) Answered(cic uint16) (core.ID, bool) {
	if int(cic) >= len(c.circuits) || c.circuits[cic].state != StateSettingUp {
		return 0, false
	}
	circuit := &c.circuits[cic]
	// An RLC for an earlier release would have arrived before the ANM.
	circuit.pendingRLCs, circuit.ownRLCUnconfirmed = 0, false
	c.setState(cic, StateEstablished)
	return circuit.call, true
}

// Released handles a REL or RSC of the server and returns the call that it ends, which may be one of another process, or false if the
// circuit has no call. If it crosses a REL sent here, the circuit stays in use until the server has confirmed that REL too. An RLC has
// to be sent in any case.
func (c *Circuits) Released(cic uint16) (call core.ID, ok bool) {
	switch {
	case int(cic) >= len(c.circuits):
		return 0, false
	case c.circuits[cic].state == StateFree:
		if call, ok = c.table.TakeEstablished(cic); !ok {
			return 0, false
		}
	case c.circuits[cic].state != StateSettingUp && c.circuits[cic].state != StateEstablished:
		return 0, false
	default:
		call = c.circuits[cic].call
		c.removeCall(cic, StateFree)
	}
	c.circuits[cic].pendingRLCs, c.circuits[cic].ownRLCUnconfirmed = 0, true
	return call, true
}

// Confirmed handles an RLC. If the REL was sent more than once, as many RLCs may arrive, and the circuit becomes free
// with the last of them, or when Overdue gives that one up. Otherwise a late RLC would be taken for the confirmation of
// the circuit's next release, and then messages of the server about the earlier call for messages about the next one.
func (c *Circuits) Confirmed(cic uint16, now time.Time) {
	if int(cic) >= len(c.circuits) {
		return
	}
	circuit := &c.circuits[cic]
	circuit.pendingRLCs = max(circuit.pendingRLCs-1, 0)
	switch {
	case circuit.state != StateReleasing && circuit.state != StateAwaitingExtraRLC:
	case circuit.pendingRLCs == 0 || !c.guardEnabled(GuardReleaseCount):
		circuit.ownRLCUnconfirmed = false
		c.setState(cic, StateFree)
	default:
		circuit.stateSince = now
		c.setState(cic, StateAwaitingExtraRLC)
	}
}

// ConnLost handles the end of a connection. It gives up all outstanding set-ups. Messages that were on their way are
// lost. An RLC sent here may be one of them, and a server that waits for it holds the circuit, so such circuits are
// released again.
func (c *Circuits) ConnLost(now time.Time) {
	for i := range c.circuits {
		switch circuit := &c.circuits[i]; {
		case !c.owned(uint16(i)):
		case circuit.state == StateFree && circuit.ownRLCUnconfirmed:
			if c.table.Claim(uint16(i), 0) { // no other process has seized it, as it could with the server's RLC
				circuit.pendingRLCs = 0
				c.setState(uint16(i), StateReleasing)
			}
		case circuit.state == StateSettingUp:
			c.removeCall(uint16(i), StateReleasing)
			circuit.stateSince, circuit.pendingRLCs = now, 0
		case circuit.state == StateReleasing || circuit.state == StateAwaitingExtraRLC:
			circuit.pendingRLCs = 0
			c.setState(uint16(i), StateReleasing)
		}
	}
}

// Unconfirmed returns the circuits on which a REL has to be sent when a connection has come up, and records that it is
// sent.
func (c *Circuits) Unconfirmed(now time.Time) (cics []uint16) {
	for i := range c.circuits {
		if c.circuits[i].state == StateReleasing && c.owned(uint16(i)) {
			c.markReleasing(uint16(i), now)
			cics = append(cics, uint16(i))
		}
	}
	return cics
}

// Overdue returns the circuits whose release the server has not confirmed for the timeout. The REL or the RLC may
// have been lost, or the server does not answer; each such case would otherwise cost a circuit for good. The REL has
// to be sent again on each of them; Overdue records that. A circuit that has awaited an extra RLC for the timeout
// becomes free. Overdue returns nil if less than the timeout has passed since its last search.
func (c *Circuits) Overdue(now time.Time, timeout time.Duration) (cics []uint16) {
	if now.Sub(c.lastOverdueSearch) < timeout || !c.guardEnabled(GuardOverdue) {
		return nil
	}
	c.lastOverdueSearch = now
	for i := range c.circuits {
		switch circuit := &c.circuits[i]; {
		case now.Sub(circuit.stateSince) < timeout, !c.owned(uint16(i)):
		case circuit.state == StateAwaitingExtraRLC: // the extra RLC still counts if it arrives later
			c.setState(uint16(i), StateFree)
		case circuit.state == StateReleasing:
			c.markReleasing(uint16(i), now)
			cics = append(cics, uint16(i))
		}
	}
	return cics
}

// Free returns the number of free circuits.
func (c *Circuits) Free() int {
	count := 0
	for i := range c.circuits {
		if c.circuits[i].state == StateFree {
			count++
		}
	}
	return count
}

// Calls returns the calls that are on a circuit, in ascending order.
func (c *Circuits) Calls() []core.ID {
	ids := make([]core.ID, 0, len(c.cicByCall))
	for id := range c.cicByCall {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// markReleasing removes the call, if any, from a circuit and records that a REL is sent on it.
func (c *Circuits) markReleasing(cic uint16, now time.Time) {
	c.removeCall(cic, StateReleasing)
	c.circuits[cic].stateSince = now
	c.circuits[cic].pendingRLCs++
	if !c.guardEnabled(GuardConfirm) {
		c.setState(cic, StateFree)
	}
}

// removeCall removes the call, if any, from a circuit and sets the circuit's state to nextState.
func (c *Circuits) removeCall(cic uint16, nextState State) {
	circuit := &c.circuits[cic]
	if circuit.state == StateSettingUp || circuit.state == StateEstablished {
		delete(c.cicByCall, circuit.call)
	}
	c.setState(cic, nextState)
}
