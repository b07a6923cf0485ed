package core

import (
	"maps"
	"slices"
)

// A new process takes over from an old one while both run. The old one hands its callers' connections on, between two
// messages, and keeps the calls it has: what it says to their callers goes through the new one, which keeps account
// of the set-ups that the old one still owes an answer. Should the old one die, the new one answers them.

// handOver begins to hand the callers on. What comes on their connections from now on is the successor's.
func (c *Core) handOver() {
	if c.handingOver || c.closing { // at the end connections are closed: one on its way would be lost
		return
	}
	c.handingOver, c.stopping = true, true
	for _, l := range c.callerOrder {
		c.stopReading(l)
	}
	c.setTimer(c.now+c.limits.HandOverGrace, Token{kind: tokenStopGrace})
	c.setTimer(c.now+c.limits.MaxStopWait, Token{kind: tokenMaxStopWait})
}

// move has a connection read no further.
func (c *Core) stopReading(l *callerConn) {
	if c.limits.Transient[l.protocol] && !l.malformed {
		c.emit(StopReading{To: l.id})
	}
}

// moved passes on a connection that is read no further, with the set-ups that are open on it.
func (c *Core) transfer(link ConnID) {
	l := c.callers[link]
	if l == nil {
		return
	}
	l.transferred, l.transferUnconfirmed = true, true
	var open, stand []ID
	for _, k := range inArrivalOrder(c.calls) {
		switch {
		case k.From != link || k.callerGone:
		case !k.answered:
			open = append(open, k.ID)
		case k.server != nil:
			stand = append(stand, k.ID)
		}
	}
	// They have to fit into one message. An answer that is owed goes before a release that finds another way.
	stand = stand[:min(len(stand), max(c.limits.MaxTransferredCalls-len(open), 0))]
	c.emit(Transfer{To: link, Open: open, Established: stand, HadSetUp: l.hadSetUp})
}

// keeps says whether callers' connections are still here that have to be handed on, or are on their way.
func (c *Core) transfersPending() bool {
	return c.handingOver && slices.ContainsFunc(c.callerOrder, func(l *callerConn) bool {
		return (!l.transferred || l.transferUnconfirmed) && !l.transferFailed && !l.malformed && c.limits.Transient[l.protocol]
	})
}

// adopt takes in what a predecessor says of a connection that it has handed on.
func (c *Core) adoptTransferred(l *callerConn, ev CallerUp) {
	if l.hadSetUp = ev.HadSetUp; l.hadSetUp {
		c.flushReleases()
	}
	for _, id := range ev.Open {
		c.predecessorSetUps[id] = ev.Conn
	}
	for _, id := range ev.Established {
		c.predecessorCalls[id] = ev.Conn
	}
}

// predecessor takes in that another process owns calls of callers who are here, or that it has gone. What it owed an
// answer may have run.
func (c *Core) predecessorChanged(ev Predecessor) {
	c.hasPredecessor, c.sharesCallerLimit = ev.Present, ev.Present && !ev.Transferring
	if ev.Present {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.predecessorSetUps)) {
		c.emit(Rejected{To: c.predecessorSetUps[id], ID: id, Reason: Failed})
		c.rememberEnded(id)
	}
	clear(c.predecessorSetUps)
}

// relayed passes on what a predecessor tells a caller of its own call. A second final answer is passed on to nobody.
func (c *Core) relayFromPredecessor(ev Relayed) {
	switch e := ev.Effect.(type) {
	case Answered:
		if to, owed := c.predecessorSetUps[e.ID]; owed {
			delete(c.predecessorSetUps, e.ID)
			e.To = to
			c.predecessorCalls[e.ID] = to
			c.emit(e)
		}
	case Rejected:
		if to, owed := c.predecessorSetUps[e.ID]; owed {
			delete(c.predecessorSetUps, e.ID)
			e.To = to
			c.emit(e)
			c.rememberEnded(e.ID)
		}
	case Released:
		if _, known := c.ended[e.ID]; !known {
			c.rememberEnded(e.ID)
			delete(c.predecessorCalls, e.ID)
			c.sendRelease(ev.Protocol, ev.Conn, e.ID, e.Reason)
		}
	}
}

// forgetForeign takes in that nobody waits any more for the set-ups that a predecessor has open for a caller.
func (c *Core) forgetPredecessorCalls(link ConnID) {
	theirs := func(_ ID, of ConnID) bool { return of == link }
	maps.DeleteFunc(c.predecessorSetUps, theirs)
	maps.DeleteFunc(c.predecessorCalls, theirs)
}

// RecentlyEnded are the ids of the last calls that ended here, at most so many, for a successor.
func (c *Core) RecentlyEnded(most int) []ID {
	last := c.endedOrder[max(len(c.endedOrder)-most, 0):]
	ids := make([]ID, 0, len(last))
	for _, o := range last {
		ids = append(ids, o.id)
	}
	return ids
}
