package core

import (
	"maps"
	"slices"
	"time"
)

// In a hand-over a new process, the successor, takes over from the running process, its predecessor, while both run. The
// predecessor transfers the connections of its callers, each at a boundary between two messages, and keeps its calls: its effects
// for their callers go through the successor. The successor records the set-ups that the predecessor has not answered yet, and
// rejects them if the predecessor ends first.

// beginHandOver begins to transfer the connections of callers. The input of those that are transferred is read by the successor from then
// on.
func (c *Core) beginHandOver() {
	if c.handingOver || c.closing { // while closing, the connections are about to be closed, and a connection in transfer would be lost
		return
	}
	c.handingOver, c.stopping = true, true
	c.flushReleases() // callers connect to the successor from now on
	for _, conn := range c.callerConnOrder {
		c.stopReadingConn(conn)
	}
	c.setTimer(c.now+c.limits.HandOverGrace, Token{kind: tokenStopGrace})
	c.setTimer(c.now+c.limits.MaxStopWait, Token{kind: tokenMaxStopWait})
}

// stopReadingConn begins the transfer of a connection: the connection is read no further. Only transient connections whose input is
// not malformed are transferred.
func (c *Core) stopReadingConn(conn *callerConn) {
	if c.limits.Transient[conn.protocol] && !conn.malformed {
		c.emit(StopReading{To: conn.id})
	}
}

// transferCallerConn passes a connection that is read no further to the successor, with the ids of its open set-ups and, up to
// MaxTransferredCalls in all, of its established calls.
func (c *Core) transferCallerConn(id ConnID) {
	conn := c.callerConns[id]
	if conn == nil {
		return
	}
	conn.transferred, conn.transferUnconfirmed = true, true
	var open, established []ID
	for _, call := range inArrivalOrder(c.calls) {
		switch {
		case call.From != id || call.callerGone:
		case !call.answered:
			open = append(open, call.ID)
		case call.server != nil:
			established = append(established, call.ID)
		}
	}
	// The ids have to fit into one message. Open set-ups go first: their answers need this connection, whereas the release of an
	// established call can be sent on another one.
	established = established[:min(len(established), max(c.limits.MaxTransferredCalls-len(open), 0))]
	c.emit(Transfer{To: id, Open: open, Established: established, Used: conn.used})
}

// transfersPending says whether a connection of a caller still has to be transferred, or its transfer is not confirmed yet.
func (c *Core) transfersPending() bool {
	return c.handingOver && slices.ContainsFunc(c.callerConnOrder, func(conn *callerConn) bool {
		return (!conn.transferred || conn.transferUnconfirmed) && !conn.transferFailed && !conn.malformed && c.limits.Transient[conn.protocol]
	})
}

// adoptTransferred records the calls that the predecessor has on a connection that it transferred.
func (c *Core) adoptTransferred(conn *callerConn, ev CallerUp) {
	if conn.used = ev.Used; conn.used {
		c.flushReleases()
	}
	for _, id := range ev.Open {
		c.predecessorSetUps[id] = ev.Conn
	}
	for _, id := range ev.Established {
		c.predecessorCalls[id] = ev.Conn
	}
}

// forwardedRelease is a release that was forwarded to the predecessor.
type forwardedRelease struct {
	id          ID
	event       Event // the ServerEnd or CallerEnd
	forwardedAt Time
}

// maxForwardDelay is the longest time until the predecessor has handled a forwarded event or counts as gone.
const maxForwardDelay = 2 * time.Second

// forwardToPredecessor forwards the release of a call that this process does not know, and the predecessor may. The release is kept for
// maxForwardDelay in case the predecessor ends before it handles it.
func (c *Core) forwardToPredecessor(id ID, event Event) {
	for len(c.forwardedReleases) > 0 && c.forwardedReleases[0].forwardedAt < c.now-maxForwardDelay {
		c.forwardedReleases = c.forwardedReleases[1:]
	}
	c.forwardedReleases = append(c.forwardedReleases, forwardedRelease{id, event, c.now})
	c.forwardedReleases = c.forwardedReleases[max(len(c.forwardedReleases)-c.limits.MaxPendingReleases, 0):]
	c.emit(ToPredecessor{Event: event})
}

// handleForwardedReleases handles the releases that a predecessor which has ended may not have handled.
func (c *Core) handleForwardedReleases() {
	releases := c.forwardedReleases
	c.forwardedReleases = nil
	for _, release := range releases {
		if release.forwardedAt < c.now-maxForwardDelay {
			continue
		}
		switch event := release.event.(type) {
		case ServerEnd:
			c.releaseUnknown(event)
		case CallerEnd:
			c.releaseUnknownAtServers(event.ID)
		}
	}
}

// handleEndedCalls records calls that have ended in the predecessor, which has handled their releases.
func (c *Core) handleEndedCalls(ev EndedCalls) {
	ended := make(map[ID]bool)
	for _, id := range ev.IDs {
		c.rememberEnded(id)
		ended[id] = true
	}
	c.forwardedReleases = slices.DeleteFunc(c.forwardedReleases, func(release forwardedRelease) bool { return ended[release.id] })
}

// handlePredecessor handles news that a predecessor owns calls whose callers are connected here, or that the predecessor has ended. The
// set-ups that an ended predecessor left unanswered may have run at a server and are rejected as ReasonFailed.
func (c *Core) handlePredecessor(ev Predecessor) {
	c.hasPredecessor, c.sharesCallerLimit = ev.Present, ev.Present && !ev.Transferring
	if ev.Present {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.predecessorSetUps)) {
		c.emit(Rejected{To: c.predecessorSetUps[id], ID: id, Reason: ReasonFailed})
		c.rememberEnded(id)
	}
	clear(c.predecessorSetUps)
	c.handleForwardedReleases()
}

// relayFromPredecessor passes an answer or a release of the predecessor on to the caller. A second final answer to a set-up is dropped,
// and so is the release of a call whose end is known here.
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
		if _, known := c.endedCalls[effect.ID]; !known {
			c.rememberEnded(effect.ID)
			delete(c.predecessorCalls, effect.ID)
			c.sendRelease(ev.Protocol, ev.Conn, effect.ID, effect.Reason)
		}
	}
}

// forgetPredecessorCalls forgets the calls of the predecessor on the connection of a caller that has ended.
func (c *Core) forgetPredecessorCalls(conn ConnID) {
	ofConn := func(_ ID, callConn ConnID) bool { return callConn == conn }
	maps.DeleteFunc(c.predecessorSetUps, ofConn)
	maps.DeleteFunc(c.predecessorCalls, ofConn)
}

// RecentlyEnded returns the ids of ended calls that this process recorded last, oldest first and at most limit, for a successor.
func (c *Core) RecentlyEnded(limit int) []ID {
	latest := c.endedCallOrder[max(len(c.endedCallOrder)-limit, 0):]
	ids := make([]ID, 0, len(latest))
	for _, endedCall := range latest {
		ids = append(ids, endedCall.id)
	}
	return ids
}
