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
type use uint8

const (
	free use = iota
	calling
	standing
	releasing // until the server's RLC
	settling  // that has come, but a REL went out more than once: another RLC may be on its way
)

// circuit is one of them.
type circuit struct {
	id    core.ID
	use   use
	rels  int       // RLCs that may still come: one for each REL, unless the server has lost it
	doubt bool      // freed by an RLC of ours, and nothing has shown that the server has heard it
	since time.Time // of the last REL, or of the RLC that left it settling
}

// Circuits are all to one server. They outlive its connections: a call that stands keeps its circuit, and one that was
// released is not used again before the server has said so.
type Circuits struct {
	all   []circuit
	of    map[core.ID]uint16
	next  int
	swept time.Time // when overdue ones were last looked for
	lacks Guard
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
func (c *Circuits) DisableGuards(g Guard) { c.lacks = g }

func (c *Circuits) has(g Guard) bool { return c.lacks&g == 0 }

// New makes so many circuits, all free.
func New(n int) *Circuits { return &Circuits{all: make([]circuit, n), of: make(map[core.ID]uint16)} }

// Allocate finds a free circuit for a call whose IAM goes out. Those that settle are the last resort of none.
func (c *Circuits) Allocate(id core.ID) (cic uint16, ok bool) {
	for range c.all {
		i := c.next
		if c.next++; c.next == len(c.all) {
			c.next = 0
		}
		if c.all[i].use == free {
			c.all[i].use, c.all[i].id, c.of[id] = calling, id, uint16(i)
			return uint16(i), true
		}
	}
	return 0, false
}

// NotSent frees the circuit of a call whose IAM never left.
func (c *Circuits) NotSent(id core.ID) {
	if cic, there := c.of[id]; there && c.all[cic].use == calling {
		c.leave(cic, free)
	}
}

// Release takes in that a call is released here, and says on which circuit a REL has to go out.
func (c *Circuits) Release(id core.ID, now time.Time) (cic uint16, ok bool) {
	cic, there := c.of[id]
	if !there || c.all[cic].use != calling && c.all[cic].use != standing {
		return 0, false
	}
	c.release(cic, now)
	return cic, true
}

// Answered takes in an ANM, and says which call stands.
func (c *Circuits) Answered(cic uint16) (core.ID, bool) {
	if int(cic) >= len(c.all) || c.all[cic].use != calling {
		return 0, false
	}
	k := &c.all[cic]
	k.use, k.rels, k.doubt = standing, 0, false // an RLC of before would have come first
	return k.id, true
}

// Released takes in a REL or an RSC of the server, and says which call that ends. One that crosses ours leaves the circuit
// in use until the server has heard of ours too. An RLC goes out in any case.
func (c *Circuits) Released(cic uint16) (core.ID, bool) {
	if int(cic) >= len(c.all) || c.all[cic].use != calling && c.all[cic].use != standing {
		return 0, false
	}
	id := c.all[cic].id
	c.leave(cic, free)
	c.all[cic].rels, c.all[cic].doubt = 0, true
	return id, true
}

// Confirmed takes in an RLC. Where a REL went out more than once, so may RLCs come, and one that is late would pass for
// that of the circuit's next release; what the server said of the call before would then pass for news of the next.
func (c *Circuits) Confirmed(cic uint16, now time.Time) {
	if int(cic) >= len(c.all) {
		return
	}
	k := &c.all[cic]
	k.rels = max(k.rels-1, 0)
	switch {
	case k.use != releasing && k.use != settling:
	case k.rels == 0 || !c.has(GuardReleaseCount):
		k.use, k.doubt = free, false
	default:
		k.use, k.since = settling, now
	}
}

// ConnLost gives up the set-ups that were open on a connection that has ended. What was on its way is lost with it, and an
// RLC of ours may have been: a server that waits for it holds the circuit.
func (c *Circuits) ConnLost(now time.Time) {
	for i := range c.all {
		switch k := &c.all[i]; {
		case k.use == free && k.doubt:
			k.use, k.rels = releasing, 0
		case k.use == calling:
			c.leave(uint16(i), releasing)
			k.since, k.rels = now, 0
		case k.use == releasing || k.use == settling:
			k.use, k.rels = releasing, 0
		}
	}
}

// Unconfirmed are the circuits that a REL has to go out on when a connection has come up.
func (c *Circuits) Unconfirmed(now time.Time) (cics []uint16) {
	for i := range c.all {
		if c.all[i].use == releasing {
			c.release(uint16(i), now)
			cics = append(cics, uint16(i))
		}
	}
	return cics
}

// Overdue are the circuits whose release the server has not confirmed for so long: it may have lost that, or never answered,
// and a circuit would be lost for good with each. A REL has to go out on each again. One that has settled for so long is
// free.
func (c *Circuits) Overdue(now time.Time, after time.Duration) (cics []uint16) {
	if now.Sub(c.swept) < after || !c.has(GuardOverdue) {
		return nil
	}
	c.swept = now
	for i := range c.all {
		switch k := &c.all[i]; {
		case now.Sub(k.since) < after:
		case k.use == settling: // and should the other RLC come after all, it is still counted
			k.use = free
		case k.use == releasing:
			c.release(uint16(i), now)
			cics = append(cics, uint16(i))
		}
	}
	return cics
}

// Free is how many circuits are free.
func (c *Circuits) Free() int {
	n := 0
	for i := range c.all {
		if c.all[i].use == free {
			n++
		}
	}
	return n
}

// Calls are those that are on a circuit, in order.
func (c *Circuits) Calls() []core.ID {
	ids := make([]core.ID, 0, len(c.of))
	for id := range c.of {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// release counts a REL.
func (c *Circuits) release(cic uint16, now time.Time) {
	c.leave(cic, releasing)
	c.all[cic].since = now
	c.all[cic].rels++
	if !c.has(GuardConfirm) {
		c.all[cic].use = free
	}
}

// leave takes a circuit's call off it.
func (c *Circuits) leave(cic uint16, to use) {
	k := &c.all[cic]
	if k.use == calling || k.use == standing {
		delete(c.of, k.id)
	}
	k.use = to
}
