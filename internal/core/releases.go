package core

import (
	"slices"

	"elmseam"
)

// An established call belongs to no connection. Its release goes out on any connection to the other party, and waits for the next one if none is open.

// pendingRelease is a release that waits for a connection to callers.
type pendingRelease struct {
	protocol Protocol
	id       ID
	reason   Reason
	queuedAt Time // when the call ended
}

// releaseUnknown passes on the release of a call that was established before this process started, or that this process never
// saw. The release can't be a second answer, as the ids of calls that ended here are remembered.
func (c *Core) releaseUnknown(ev ServerEnd) {
	if _, known := c.endedCalls[ev.ID]; known && c.guardEnabled(GuardSingleRelease) || c.calls[ev.ID] != nil || ev.Reason == ReasonFull || ev.Reason == ReasonBusy || ev.Reason == ReasonUnsent {
		return
	}
	if c.hasPredecessor { // the predecessor knows whether the call has ended
		c.emit(ToPredecessor{Event: ev})
		return
	}
	c.stats.Failures.UnknownServerReleases++
	c.emit(Trace{Kind: TraceUnknownRelease, Server: ev.Server, ID: ev.ID})
	c.rememberEnded(ev.ID)
	if conn := c.callerConns[c.predecessorCalls[ev.ID]]; conn != nil {
		delete(c.predecessorCalls, ev.ID)
		c.sendRelease(conn.protocol, conn.id, ev.ID, ev.Reason)
		return
	}
	notified := make(map[Protocol]bool)
	for _, conn := range c.callerConnOrder { // the protocol of the call is unknown: each one gets the release once
		if !notified[conn.protocol] {
			notified[conn.protocol] = true
			c.sendRelease(conn.protocol, 0, ev.ID, ev.Reason)
		}
	}
}

// acceptsReleases says whether releases of any call can go out on a connection. A transient connection that is not used yet may
// be a health check of the callers' front end, where releases would be lost.
func (c *Core) acceptsReleases(conn *callerConn) bool {
	return conn.used || !c.limits.Transient[conn.protocol]
}

// sendRelease tells a caller that an established call has ended. Without a connection that can take the release, it goes to the successor
// during a hand-over of transient connections, and otherwise waits for the next connection.
func (c *Core) sendRelease(protocol Protocol, to ConnID, id ID, reason Reason) {
	release := &pendingRelease{protocol, id, reason, c.now}
	if c.trySendRelease(release, to) {
		return
	}
	c.pendingReleases = append(c.pendingReleases, release)
	for len(c.pendingReleases) > c.limits.MaxCallerReleases {
		c.dropRelease(c.pendingReleases[0])
		c.pendingReleases = c.pendingReleases[1:]
	}
}

// trySendRelease sends a release on a connection, on another of the same protocol if that one is gone, or to the successor. It returns
// false if there is none of them.
func (c *Core) trySendRelease(release *pendingRelease, to ConnID) bool {
	if c.callerConns[to] == nil {
		conn := c.connForRelease(release.protocol)
		if conn == nil && c.handingOver && c.limits.Transient[release.protocol] {
			c.emit(ToSuccessor{Protocol: release.protocol, Effect: Released{ID: release.id, Reason: release.reason}})
			return true
		}
		if conn == nil {
			return false
		}
		to = conn.id
	}
	c.emit(Released{To: to, ID: release.id, Reason: release.reason})
	return true
}

// connForRelease returns the connection of a protocol that a release of any call goes out on: preferably one that has had established
// calls, then the one active last. It returns nil if there is none.
func (c *Core) connForRelease(protocol Protocol) (best *callerConn) {
	for _, conn := range c.callerConnOrder {
		if conn.protocol == protocol && c.acceptsReleases(conn) && (best == nil || conn.betterForRelease(best)) {
			best = conn
		}
	}
	return best
}

// betterForRelease says whether a release goes out on this connection rather than on an older one.
func (conn *callerConn) betterForRelease(older *callerConn) bool {
	if conn.hadEstablished != older.hadEstablished {
		return conn.hadEstablished
	}
	return conn.lastActive >= older.lastActive
}

// flushReleases sends the releases that have waited for a connection. A release whose wait has reached EndedCallTTL is dropped.
func (c *Core) flushReleases() {
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(release *pendingRelease) bool {
		if release.queuedAt <= c.now-c.limits.EndedCallTTL {
			c.dropRelease(release)
			return true
		}
		return c.trySendRelease(release, 0)
	})
}

// dropRelease gives a release up.
func (c *Core) dropRelease(release *pendingRelease) {
	c.stats.Failures.ReleasesDropped++
	c.emit(ForgetCall{Protocol: release.protocol, ID: release.id})
}

// sendEnd sends a server the End of a call on any usable connection; without one it sends nothing.
func (c *Core) sendEnd(s *server, id ID) {
	if conn := c.connForSetUp(s); conn != nil {
		c.emit(End{To: conn.id, ID: id})
	}
}

// releaseAtServer releases a call that is established on a server. Without a usable connection the release waits for the next one:
// the server would otherwise keep a line occupied for a caller who has left. A server that is gone and has none gets no release.
func (c *Core) releaseAtServer(s *server, id ID) {
	if s.usableConnCount() > 0 {
		c.sendEnd(s, id)
		return
	}
	if s.Phase == elmseam.PhaseGone {
		return
	}
	s.pendingReleases = append(s.pendingReleases, id)
	s.pendingReleases = s.pendingReleases[max(len(s.pendingReleases)-c.limits.MaxPendingReleases, 0):]
	if !s.redialPending {
		c.dialServer(s)
	}
}
