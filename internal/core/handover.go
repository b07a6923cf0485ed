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
	for _, conn := range c.callerOrder {
		c.stopReading(conn)
	}
	c.setTimer(c.now+c.limits.HandOverGrace, Token{kind: tokenStopGrace})
	c.setTimer(c.now+c.limits.MaxStopWait, Token{kind: tokenMaxStopWait})
}

// move has a connection read no further.
func (c *Core) stopReading(conn *callerConn) {
	if c.limits.Transient[conn.protocol] && !conn.malformed {
		c.emit(StopReading{To: conn.id})
	}
}

// moved passes on a connection that is read no further, with the set-ups that are open on it.
func (c *Core) transfer(id ConnID) {
	conn := c.callers[id]
	if conn == nil {
		return
	}
	conn.transferred, conn.transferUnconfirmed = true, true
	var open, established []ID
	for _, k := range inArrivalOrder(c.calls) {
		switch {
		case k.From != id || k.callerGone:
		case !k.answered:
			open = append(open, k.ID)
		case k.server != nil:
			established = append(established, k.ID)
		}
	}
	// They have to fit into one message. An answer that is owed goes before a release that finds another way.
	established = established[:min(len(established), max(c.limits.MaxTransferredCalls-len(open), 0))]
	c.emit(Transfer{To: id, Open: open, Established: established, HadSetUp: conn.hadSetUp})
}

// keeps says whether callers' connections are still here that have to be handed on, or are on their way.
func (c *Core) transfersPending() bool {
	return c.handingOver && slices.ContainsFunc(c.callerOrder, func(conn *callerConn) bool {
		return (!conn.transferred || conn.transferUnconfirmed) && !conn.transferFailed && !conn.malformed && c.limits.Transient[conn.protocol]
	})
}

// adopt takes in what a predecessor says of a connection that it has handed on.
func (c *Core) adoptTransferred(conn *callerConn, ev CallerUp) {
	if conn.hadSetUp = ev.HadSetUp; conn.hadSetUp {
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
	switch effect := ev.Effect.(type) {
	case Answered:
		if to, open := c.predecessorSetUps[effect.ID]; open {
			delete(c.predecessorSetUps, effect.ID)
			effect.To = to
			c.predecessorCalls[effect.ID] = to
			c.emit(effect)
		}
	case Rejected:
		if to, open := c.predecessorSetUps[effect.ID]; open {
			delete(c.predecessorSetUps, effect.ID)
			effect.To = to
			c.emit(effect)
			c.rememberEnded(effect.ID)
		}
	case Released:
		if _, known := c.ended[effect.ID]; !known {
			c.rememberEnded(effect.ID)
			delete(c.predecessorCalls, effect.ID)
			c.sendRelease(ev.Protocol, ev.Conn, effect.ID, effect.Reason)
		}
	}
}

// forgetForeign takes in that nobody waits any more for the set-ups that a predecessor has open for a caller.
func (c *Core) forgetPredecessorCalls(conn ConnID) {
	ofConn := func(_ ID, callConn ConnID) bool { return callConn == conn }
	maps.DeleteFunc(c.predecessorSetUps, ofConn)
	maps.DeleteFunc(c.predecessorCalls, ofConn)
}

// RecentlyEnded are the ids of the last calls that ended here, at most so many, for a successor.
func (c *Core) RecentlyEnded(limit int) []ID {
	latest := c.endedOrder[max(len(c.endedOrder)-limit, 0):]
	ids := make([]ID, 0, len(latest))
	for _, call := range latest {
		ids = append(ids, call.id)
	}
	return ids
}
