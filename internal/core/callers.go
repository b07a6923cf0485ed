package core

import (
	"slices"

	"elmseam"
)

// callerConn is the connection of a caller.
type callerConn struct {
	id             ConnID
	protocol       Protocol
	used           bool // the connection has brought a set-up or the end of a call
	hadEstablished bool // a set-up from the connection was established
	transferred    bool // the connection was transferred to the successor, which gets the effects for the connection

	transferUnconfirmed bool // the successor has not confirmed the transfer
	transferFailed      bool // the transfer failed; the connection is read here again
	malformed           bool // nothing more is read from the connection; it is closed once no set-up is open on it
	lastActive          Time // when the connection was made, last brought a set-up or an end, or one of its calls was established
	tests               int  // tests of the front end that the connection has brought
	quietSince          Time // when the connection was made or last brought a test
}

// handleCallerUp handles a new connection of a caller.
func (c *Core) handleCallerUp(ev CallerUp) {
	conn := &callerConn{id: ev.Conn, protocol: ev.Protocol, lastActive: c.now, quietSince: c.now}
	c.callerConns[ev.Conn] = conn
	c.callerConnOrder = append(c.callerConnOrder, conn)
	c.adoptTransferred(conn, ev)
	c.pruneCallerConns()
	if c.acceptsReleases(conn) {
		c.flushReleases()
	} else if len(c.pendingReleases) > 0 {
		c.scheduleFlush(conn.protocol)
	}
	if c.handingOver {
		c.stopReadingConn(conn)
	}
}

// handleCallerDown handles the end of the connection of a caller. The caller may send its open set-ups again on another connection within
// RebindTimeout.
func (c *Core) handleCallerDown(id ConnID) {
	conn := c.callerConns[id]
	c.forgetCallerConn(id)
	if conn != nil && !conn.used { // it has no calls, and connections may come and go at full speed
		return
	}
	c.forgetPredecessorCalls(id)
	for _, call := range c.callsInOrder(func(call *call) bool { return call.From == id && call.server == nil && !call.answered }) {
		call.callerConnLost = true
		c.setTimer(c.now+c.limits.RebindTimeout, Token{kind: tokenRebind, call: call.ID, controllerID: call.controllerID})
	}
}

// handleCallerEnd handles a caller that gives a set-up up or releases an established call, perhaps one from before a restart.
func (c *Core) handleCallerEnd(ev CallerEnd) {
	call := c.calls[ev.ID]
	c.cancelRelease(ev.ID)
	if conn := c.callerConns[ev.From]; conn != nil {
		c.markCallerConnUsed(conn)
	}
	switch {
	case call == nil:
		_, known := c.endedCalls[ev.ID]
		switch {
		case known, ev.SetUpDiscarded: // the call has ended already, or was never offered to a server
		case c.hasPredecessor:
			delete(c.predecessorCalls, ev.ID)
			delete(c.predecessorSetUps, ev.ID)
			c.rememberEnded(ev.ID) // the predecessor may send a release of the call at the same time
			c.forwardToPredecessor(ev.ID, ev)
		default:
			c.releaseUnknownAtServers(ev.ID)
		}
	case call.server != nil:
		call.callerGone = true
		c.releaseAtServer(call.server, call.ID)
		c.endEstablished(call, ReasonNormal, elmseam.Outcome{Cause: elmseam.CauseCancelled})
	case ev.From == call.From || call.callerConnLost:
		c.abandonSetUp(call)
	} // any other end is ignored: its sender guessed the id of a set-up that is open on a different connection
}

// markCallerConnUsed records that a caller uses its connection. At the first use, releases that waited for a connection go out.
func (c *Core) markCallerConnUsed(conn *callerConn) {
	conn.lastActive = c.now
	if !conn.used {
		conn.used = true
		c.flushReleases()
	}
}

// busyConns returns the connections of callers with an open set-up, here or on the predecessor.
func (c *Core) busyConns() map[ConnID]bool {
	busy := make(map[ConnID]bool)
	for _, call := range c.calls {
		if !call.answered && !call.callerGone && !call.callerConnLost {
			busy[call.From] = true
		}
	}
	for _, id := range c.predecessorSetUps {
		busy[id] = true
	}
	return busy
}

// connsWithCalls returns the connections of callers with an open set-up or an established call, here or on the predecessor. The release of
// an established call goes out on its connection.
func (c *Core) connsWithCalls() map[ConnID]bool {
	conns := c.busyConns()
	for _, call := range c.calls {
		if !call.callerGone {
			conns[call.From] = true
		}
	}
	for _, id := range c.predecessorCalls {
		conns[id] = true
	}
	return conns
}

// pruneCallerConns closes connections of callers that have no open set-up: those from which nothing more can be read and, while there
// are more than CallerConnsTarget, the best candidates for eviction. Where there is no candidate, the target is exceeded for a while.
func (c *Core) pruneCallerConns() {
	target := c.limits.CallerConnsTarget
	if c.sharesCallerLimit { // file descriptors are shared between both processes
		target /= 2
	}
	if len(c.callerConnOrder) <= target && !slices.ContainsFunc(c.callerConnOrder, func(conn *callerConn) bool { return conn.malformed }) {
		return
	}
	busyConns := c.busyConns()
	for _, conn := range slices.Clone(c.callerConnOrder) {
		if conn.malformed && !busyConns[conn.id] {
			c.closeCallerConn(conn)
		}
	}
	for len(c.callerConnOrder) > target {
		victim := c.evictionCandidate(busyConns)
		if victim == nil {
			if !c.pruneTimerSet && c.limits.NewConnGrace > 0 {
				c.pruneTimerSet = true
				c.setTimer(c.now+c.limits.NewConnGrace, Token{kind: tokenPruneCallerConns})
			}
			return
		}
		c.closeCallerConn(victim)
	}
}

// evictionCandidate returns the connection to close first: the oldest of the unused ones, or else the one that has been idle
// longest. Connections in busy, transferred ones and the newest one are no candidates, nor is an unused one that is younger than
// NewConnGrace, as its first set-up may be on its way. The result is nil if there is no candidate.
func (c *Core) evictionCandidate(busyConns map[ConnID]bool) (victim *callerConn) {
	for _, conn := range c.callerConnOrder[:max(len(c.callerConnOrder)-1, 0)] {
		switch {
		case busyConns[conn.id], conn.transferred, !conn.used && c.now < conn.lastActive+c.limits.NewConnGrace:
		case victim == nil, victim.used && !conn.used, victim.used == conn.used && conn.lastActive < victim.lastActive:
			victim = conn
		}
	}
	return victim
}

// closeCallerConn closes the connection of a caller gracefully: what was written last can still be read.
func (c *Core) closeCallerConn(conn *callerConn) {
	c.forgetCallerConn(conn.id)
	c.emit(GracefulClose{To: conn.id})
}

// forgetCallerConn removes a connection from the list of callers.
func (c *Core) forgetCallerConn(id ConnID) {
	delete(c.callerConns, id)
	c.callerConnOrder = slices.DeleteFunc(c.callerConnOrder, func(conn *callerConn) bool { return conn.id == id })
}
