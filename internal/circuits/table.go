package circuits

import (
	"time"

	"elmseam/internal/core"
)

// Table holds the states of the circuits where they outlive this process and other processes see them. A circuit in use belongs to the
// process that has seized or adopted it.
type Table interface {
	Claim(cic uint16, call core.ID) bool                        // seizes a free circuit for a call; false: the circuit is in use
	Set(cic uint16, state State)                                // records the state of a circuit of this process; StateFree gives it back
	Owned(cic uint16) bool                                      // whether a circuit is one of this process
	TakeEstablished(cic uint16) (core.ID, bool)                 // frees a circuit with an established call of another process, and returns the call
	Adopt(cic uint16) (call core.ID, state State, adopted bool) // makes another process's circuit one of this process
}

// privateTable is the table of circuits that no other process knows.
type privateTable struct{}

func (privateTable) Claim(uint16, core.ID) bool             { return true }
func (privateTable) Set(uint16, State)                      {}
func (privateTable) Owned(uint16) bool                      { return true }
func (privateTable) TakeEstablished(uint16) (core.ID, bool) { return 0, false }
func (privateTable) Adopt(uint16) (core.ID, State, bool)    { return 0, StateFree, false }

// UseTable has the circuits keep their states in a table. It must be called before any other method.
func (c *Circuits) UseTable(table Table) { c.table = table }

// StartAt sets the circuit that Allocate tries first.
func (c *Circuits) StartAt(cic uint16) { c.searchStart = int(cic) % len(c.circuits) }

// AdoptAll takes over the circuits of processes that have ended. Their established calls stand on; set-ups that they left without an answer,
// and releases without a confirmation, are released: with a connection, a REL has to be sent on the circuits that AdoptAll returns; without
// one, Unconfirmed returns them for the next.
func (c *Circuits) AdoptAll(now time.Time, connected bool) (cics []uint16) {
	for i := range c.circuits {
		cic := uint16(i)
		call, state, adopted := c.table.Adopt(cic)
		if !adopted {
			continue
		}
		c.circuits[i] = circuit{}
		_, onOther := c.cicByCall[call]
		switch {
		case state == StateEstablished && !onOther:
			c.circuits[i].call, c.cicByCall[call] = call, cic
			c.setState(cic, StateEstablished)
		case connected:
			c.markReleasing(cic, now)
			cics = append(cics, cic)
		default:
			c.setState(cic, StateReleasing)
		}
	}
	return cics
}

// setState changes the state of a circuit, here and in the table.
func (c *Circuits) setState(cic uint16, state State) {
	c.circuits[cic].state = state
	c.table.Set(cic, state)
}

// owned reports whether a circuit is still one of this process. A successor that received the release of the circuit's call has freed it:
// then it is free here too.
func (c *Circuits) owned(cic uint16) bool {
	if c.circuits[cic].state == StateFree || c.table.Owned(cic) {
		return true
	}
	c.removeCall(cic, StateFree)
	c.circuits[cic].pendingRLCs, c.circuits[cic].ownRLCUnconfirmed = 0, false
	return false
}
