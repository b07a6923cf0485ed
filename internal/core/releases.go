package core

import (
	"maps"
	"slices"
	"time"

	"elmseam"
)

// An established call belongs to no connection, and outlives the process that set it up. Its release goes out on any connection to the other
// party, and waits for the next one if none is open.

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
		c.forwardToPredecessor(ev.ID, ev)
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
	for _, protocol := range c.protocolsOfUnknownCalls() {
		c.sendRelease(protocol, 0, ev.ID, ev.Reason)
	}
}

// protocolsOfUnknownCalls returns the protocols whose callers may have a call that this process does not know. Callers of the protocols in
// Transient keep their calls when a process ends, whether they have connected again or not; those of others can only have one if connected.
func (c *Core) protocolsOfUnknownCalls() (protocols []Protocol) {
	protocols = slices.Sorted(maps.Keys(c.limits.Transient))
	for _, conn := range c.callerConnOrder {
		if !slices.Contains(protocols, conn.protocol) {
			protocols = append(protocols, conn.protocol)
		}
	}
	return protocols
}

// acceptsReleases says whether releases of any call can go out on a connection. A transient connection that has brought no call may be a
// health check of the callers' front end, where releases would be lost. It counts as a caller's once it has been quiet for
// CallerQuietAfter: a health check closes its connection, or tests again.
func (c *Core) acceptsReleases(conn *callerConn) bool {
	if conn.used || !c.limits.Transient[conn.protocol] {
		return true
	}
	return c.mayBecomeQuiet(conn) && c.now >= conn.quietSince+c.limits.CallerQuietAfter
}

// mayBecomeQuiet says whether an unused connection may turn out to be a caller's, as it has not brought several tests.
func (c *Core) mayBecomeQuiet(conn *callerConn) bool {
	return c.limits.CallerQuietAfter > 0 && conn.tests <= 1
}

// sendRelease tells a caller that an established call has ended: on a connection, or on another of the same protocol if that one is gone.
// If no connection can take the release, it goes to the successor during a hand-over of transient connections, and otherwise waits.
func (c *Core) sendRelease(protocol Protocol, to ConnID, id ID, reason Reason) {
	release := &pendingRelease{protocol, id, reason, c.now}
	conn := c.callerConns[to]
	if conn == nil {
		conn = c.connForRelease(protocol)
	}
	if c.trySendRelease(release, conn) {
		return
	}
	c.pendingReleases = append(c.pendingReleases, release)
	for len(c.pendingReleases) > c.limits.MaxCallerReleases {
		c.dropRelease(c.pendingReleases[0])
		c.pendingReleases = c.pendingReleases[1:]
	}
	c.scheduleFlush(protocol)
}

// trySendRelease sends a release on a connection or, without one, to the successor. It returns false if there is neither.
func (c *Core) trySendRelease(release *pendingRelease, conn *callerConn) bool {
	switch {
	case conn != nil:
		c.emit(Released{To: conn.id, ID: release.id, Reason: release.reason})
	case c.handingOver && c.limits.Transient[release.protocol]:
		c.emit(ToSuccessor{Protocol: release.protocol, Effect: Released{ID: release.id, Reason: release.reason}})
	default:
		return false
	}
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

// maxReleasesPerFlush is the number of waiting releases that go out at once: a connection on which too much is queued counts as stalled.
const maxReleasesPerFlush = 1000

// releaseFlushInterval is the time between two attempts to send releases that wait.
const releaseFlushInterval = 20 * time.Millisecond

// flushReleases sends releases that have waited for a connection, at most maxReleasesPerFlush; others follow later. A release whose wait
// has reached EndedCallTTL is dropped.
func (c *Core) flushReleases() {
	conns := make(map[Protocol]*callerConn)
	waiting := make(map[Protocol]bool)
	sent := 0
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(release *pendingRelease) bool {
		if release.queuedAt <= c.now-c.limits.EndedCallTTL {
			c.dropRelease(release)
			return true
		}
		conn, found := conns[release.protocol]
		if !found {
			conn = c.connForRelease(release.protocol)
			conns[release.protocol] = conn
		}
		if sent < maxReleasesPerFlush && c.trySendRelease(release, conn) {
			sent++
			return true
		}
		waiting[release.protocol] = true
		return false
	})
	for protocol := range waiting {
		c.scheduleFlush(protocol)
	}
}

// scheduleFlush has flushReleases called again, if the callers of a protocol can be reached now or soon: a connection takes releases or may
// become quiet, or the successor takes them.
func (c *Core) scheduleFlush(protocol Protocol) {
	if c.flushTimerSet {
		return
	}
	reachable := c.handingOver && c.limits.Transient[protocol]
	for _, conn := range c.callerConnOrder {
		reachable = reachable || conn.protocol == protocol && (c.acceptsReleases(conn) || c.mayBecomeQuiet(conn))
	}
	if reachable {
		c.flushTimerSet = true
		c.setTimer(c.now+releaseFlushInterval, Token{kind: tokenFlushReleases})
	}
}

// cancelRelease takes a waiting release back, as its caller has released the call too.
func (c *Core) cancelRelease(id ID) {
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(release *pendingRelease) bool { return release.id == id })
}

// handleCallerTested handles a test of the front end on the connection of a caller.
func (c *Core) handleCallerTested(ev CallerTested) {
	if conn := c.callerConns[ev.Conn]; conn != nil {
		conn.tests++
		conn.quietSince = c.now
	}
}

// dropRelease gives a release up.
func (c *Core) dropRelease(release *pendingRelease) {
	c.stats.Failures.ReleasesDropped++
	c.emit(ForgetCall{Protocol: release.protocol, ID: release.id})
}

// releaseUnknownAtServers releases a call that this process does not know. It may be from before the start, on any server: also on one that
// can't be reached now, or that comes into the list later.
func (c *Core) releaseUnknownAtServers(id ID) {
	c.stats.Failures.UnknownCallerReleases++
	c.emit(Trace{Kind: TraceUnknownRelease, ID: id})
	c.rememberEnded(id)
	c.unknownCallerReleases = append(c.unknownCallerReleases, endedCall{id, c.now})
	c.unknownCallerReleases = c.unknownCallerReleases[max(len(c.unknownCallerReleases)-c.limits.MaxPendingReleases, 0):]
	for _, s := range c.serverOrder {
		if conn := c.connForSetUp(s); conn != nil {
			c.emit(End{To: conn.id, ID: id, Unknown: true})
		} else {
			c.releaseAtServer(s, id)
		}
	}
}

// releasesForNewServer returns the calls to release at a server that comes into the list: those that callers released within EndedCallTTL
// and that this process does not know.
func (c *Core) releasesForNewServer() (ids []ID) {
	for _, release := range c.unknownCallerReleases {
		if release.recordedAt > c.now-c.limits.EndedCallTTL {
			ids = append(ids, release.id)
		}
	}
	return ids
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
