package core

import (
	"slices"
	"time"

	"elmseam"
)

// A machine that has vanished gives no sign: its connections stay open and silent, and new ones never come up. The calls established on
// it are over, and their callers have to be told within a limit that begins when the machine vanished, not when this process noticed.
// All times here therefore count from the server's last sign of life. A sign of life is anything that a server sends, and a connection
// that is made.
//
// An outage begins when the last connection to a server ends, when none can be made, or when all connections are reset at once, as by a
// process that dies. It puts the calls established before in doubt, and is over when a connection is made. That ends the doubt too, unless
// there may be a new process, which knows none of the calls: after a dial that was refused, after resets of all connections, and when the
// server could not be reached for MinServerOutage. What ends it then is a message on a connection from before the outage, or a release of a
// call that was put in doubt by it or before. Without either, a call is lost ServerLostAfter after the last sign of life before the outage
// that put it in doubt. Another outage may begin while calls are in doubt: they keep their limit, and those established since get their own.

// livenessTracker is what is known of the life of a server.
type livenessTracker struct {
	lastAliveAt      Time // last sign of life
	unreachable      bool // an outage has begun, and no connection was made since
	outageSince      Time // last sign of life before the last outage
	outageGeneration int  // generation of the last outage: connections of an earlier one are from before it
	dialFailed       bool // no connection could be made during the outage
	mayBeRenewed     bool // the process that serves after the outage may be another one
	doubtGeneration  int  // of the last outage whose calls may be in doubt; 0: none
	resetsSince      Time // when the first of the last series of resets came; 0: none came
	aliveBefore      Time // last sign of life before the resets that came close to each other: connections made since show nothing
	connGeneration   int  // of the next connection; it grows when an outage or a series of resets begins
	timerSet         bool // a timer for checkLiveness is set
	verifying        bool // the dial under way is for a connection beyond those that are wanted: see dialExtra
	closedDeadConn   bool // a connection was closed as dead, and the server has given no sign of life since
}

// callDoubt says whether the process that knows an established call may be gone.
type callDoubt struct {
	since      Time // last sign of life before the outage that put the call in doubt; 0: not in doubt
	generation int  // generation of that outage
}

// recordServerInput records that something has come on a connection of a server.
func (c *Core) recordServerInput(s *server, id ConnID) {
	s.lastAliveAt = c.now
	if s.closedDeadConn {
		s.closedDeadConn = false
		c.setTimer(c.now+releaseRepeatDelay, Token{kind: tokenReleaseRepeat, server: s.Name})
	}
	conn := s.connByID(id)
	if conn == nil {
		return
	}
	conn.unansweredSince, conn.lastInputAt = 0, c.now
	c.recordSameProcess(s, conn)
	if conn.generation < s.doubtGeneration {
		c.endDoubt(s, conn.generation+1)
	}
}

// recordSameProcess records that input on a connection shows the process which listened when later ones were made: its own. Input that comes
// just after may have been sent before a process died.
func (c *Core) recordSameProcess(s *server, conn *serverConn) {
	for _, later := range s.conns {
		if later.processSince > conn.processSince && c.now > later.madeAt+resetSeriesWindow {
			later.processSince = conn.processSince
		}
	}
}

// recordServerRelease records that a server has released an established call, so its process is the one that knows the call.
func (c *Core) recordServerRelease(s *server, call *call) {
	if call.doubt.since != 0 {
		c.endDoubt(s, call.doubt.generation)
	}
}

// endDoubt records that the process of a server has outlived all outages of the generation and of later ones. The calls that these put in
// doubt go on.
func (c *Core) endDoubt(s *server, generation int) {
	for _, call := range s.established {
		if call.doubt.generation >= generation {
			call.doubt = callDoubt{}
		}
	}
	s.doubtGeneration = min(s.doubtGeneration, generation-1)
	c.emit(Trace{Kind: TraceServerRecovered, Server: s.Name, SilentFor: c.now - s.outageSince, Calls: len(s.established)})
	c.endOutage(s)
}

// endOutage makes a server count as reachable.
func (c *Core) endOutage(s *server) {
	s.unreachable, s.dialFailed, s.mayBeRenewed, s.lastAliveAt = false, false, false, c.now
}

// Longest times between two resets by the same process that dies. The second one holds if nothing came on the connection that ends later since
// the first reset: its end may just be noticed late.
const (
	resetSeriesWindow       = 50 * time.Millisecond
	silentResetSeriesWindow = 300 * time.Millisecond
)

// recordServerDown records the end of a connection to a server, which is no longer among its connections, or (nil) a dial that failed.
func (c *Core) recordServerDown(s *server, endedConn *serverConn, ev ServerDown) {
	if endedConn == nil {
		c.recordFailedDial(s, ev.End)
		return
	}
	if !c.limits.Transient[s.Protocol] { // the protocol has heartbeats of its own
		s.lastAliveAt = max(s.lastAliveAt, c.now-ev.SilentFor)
	}
	switch {
	case ev.End == ConnEndReset:
		c.recordReset(s, endedConn)
	case ev.End == ConnEndClosed && !s.unreachable:
		s.lastAliveAt = c.now
	}
	if len(s.conns) == 0 {
		c.beginOutageNow(s)
	}
}

// recordFailedDial records that no connection to a server could be made.
func (c *Core) recordFailedDial(s *server, end ConnEnd) {
	c.beginOutageNow(s)
	s.dialFailed = true
	s.mayBeRenewed = s.mayBeRenewed || end == ConnEndReset
}

// recordReset records that a connection to a server was reset. When no connection is left from before the series of resets, a process may
// have died. A new one may have given signs of life between the resets.
func (c *Core) recordReset(s *server, endedConn *serverConn) {
	if s.resetsSince == 0 || c.now-s.resetsSince > silentResetSeriesWindow {
		s.aliveBefore = s.lastAliveAt
	}
	if !c.continuesResets(s, endedConn) {
		s.resetsSince = c.now
		s.connGeneration++
	}
	if s.hasEarlierConn() {
		return
	}
	c.beginOutage(s, min(s.aliveBefore, s.resetsSince))
	s.mayBeRenewed = true
	if len(s.conns) > 0 {
		c.reconnect(s)
	}
}

// continuesResets says whether the reset of a connection may belong to the last series of resets. A connection that was made since that began
// leads to a process that was alive then.
func (c *Core) continuesResets(s *server, endedConn *serverConn) bool {
	if s.resetsSince == 0 || endedConn.generation == s.connGeneration {
		return false
	}
	window := resetSeriesWindow
	if endedConn.lastInputAt <= s.resetsSince {
		window = silentResetSeriesWindow
	}
	return c.now-s.resetsSince <= window
}

// hasEarlierConn says whether a connection to the server is open that was made before the last outage or series of resets.
func (s *server) hasEarlierConn() bool {
	return slices.ContainsFunc(s.conns, func(conn *serverConn) bool { return conn.generation < s.connGeneration })
}

// beginOutageNow begins an outage, unless there is one: all connections are from before it.
func (c *Core) beginOutageNow(s *server) {
	if !s.unreachable {
		s.connGeneration++
		c.beginOutage(s, s.lastAliveAt)
	}
}

// beginOutage begins an outage, unless there is one. since is the last sign of life before it. The calls established on connections from
// before the outage are in doubt from now on; those that are already keep their limit.
func (c *Core) beginOutage(s *server, since Time) {
	if s.unreachable {
		return
	}
	s.unreachable, s.outageSince = true, since
	s.outageGeneration, s.doubtGeneration = s.connGeneration, s.connGeneration
	c.stats.Failures.ServerOutages++
	c.emit(Trace{Kind: TraceOutageBegan, Server: s.Name, SilentFor: c.now - since, Calls: len(s.established)})
	if s.putCallsInDoubt() {
		c.setTimer(max(since+c.limits.ServerLostAfter, c.now), Token{kind: tokenServerLost, server: s.Name})
	}
}

// putCallsInDoubt puts the calls in doubt that were established on connections from before the outage and are not in doubt yet. It returns
// whether there are any.
func (s *server) putCallsInDoubt() (found bool) {
	for _, call := range s.established {
		if call.doubt.since == 0 && call.connGeneration < s.outageGeneration {
			call.doubt = callDoubt{max(s.outageSince, 1), s.outageGeneration}
			found = true
		}
	}
	return found
}

// reconnect records that a connection to a server is made. The calls go on if the process can't be another one. Calls of protocols whose
// associations end and begin apart from their calls (not Transient) always go on.
func (c *Core) reconnect(s *server) {
	if !s.unreachable {
		s.lastAliveAt = c.now
		return
	}
	longOutage := s.dialFailed && c.now-s.outageSince >= c.limits.MinServerOutage
	mayBeRenewed := s.mayBeRenewed || longOutage && c.limits.Transient[s.Protocol]
	if !mayBeRenewed || !s.hasDoubtfulCalls() {
		c.endDoubt(s, s.outageGeneration)
		return
	}
	c.emit(Trace{Kind: TraceServerReachable, Server: s.Name, SilentFor: c.now - s.outageSince, Calls: len(s.established)})
	c.endOutage(s)
}

// hasDoubtfulCalls says whether an established call of the server is in doubt.
func (s *server) hasDoubtfulCalls() bool {
	for _, call := range s.established {
		if call.doubt.since != 0 {
			return true
		}
	}
	return false
}

// forgetOutages makes a server count as alive, as another process has taken its place.
func (c *Core) forgetOutages(s *server) {
	c.endOutage(s)
	s.doubtGeneration = 0
}

// loseDoubtfulCalls ends the calls of a server that have been in doubt for ServerLostAfter. The server is told as soon as it can be reached:
// its process may have survived.
func (c *Core) loseDoubtfulCalls(s *server) {
	var lost []*call
	for _, call := range inArrivalOrder(s.established) {
		if call.doubt.since != 0 && c.now >= call.doubt.since+c.limits.ServerLostAfter {
			lost = append(lost, call)
		}
	}
	if len(lost) == 0 {
		return
	}
	c.stats.Failures.ServersLost++
	c.emit(Trace{Kind: TraceServerLost, Server: s.Name, SilentFor: c.now - lost[0].doubt.since, Calls: len(s.established)})
	for _, call := range lost {
		c.releaseAtServer(s, call.ID)
		c.cutEstablished(call, CutServerLost)
	}
}

// cutEstablished ends an established call that neither party released.
func (c *Core) cutEstablished(call *call, reason CutReason) {
	c.stats.Failures.CallsCut++
	c.emit(Trace{Kind: TraceCallCut, Server: call.server.Name, ID: call.ID, Conn: call.serverConn, Cut: reason, StoodFor: c.now - call.establishedAt})
	c.endEstablished(call, ReasonReset, elmseam.Outcome{Cause: elmseam.CauseReset})
}

// recordSetUpConn records on which connection the set-up of an established call went out; nil: no longer known.
func (call *call) recordSetUpConn(conn *serverConn) {
	if conn != nil {
		call.serverConn, call.setUpConn, call.connGeneration = conn.id, conn, conn.generation
	}
}

// connMadeAt returns when the connection of the set-up of an established call was made.
func (call *call) connMadeAt() Time {
	if call.setUpConn == nil {
		return 0
	}
	return call.setUpConn.madeAt
}

// watchLiveness has checkLiveness called while calls are established on a server.
func (c *Core) watchLiveness(s *server) {
	if !s.timerSet && c.limits.LivenessCheckAfter > 0 && c.limits.Transient[s.Protocol] {
		s.timerSet = true
		c.setTimer(max(s.lastAliveAt+c.limits.LivenessCheckAfter, c.now+c.limits.LivenessRecheck), Token{kind: tokenLiveness, server: s.Name})
	}
}

// checkLiveness verifies by a new connection that a server can be reached, if calls are established on it and it has given no sign of
// life for LivenessCheckAfter. It repeats that at LivenessRecheck.
func (c *Core) checkLiveness(s *server) {
	s.timerSet = false
	if len(s.established) == 0 {
		return
	}
	if c.now-s.lastAliveAt >= c.limits.LivenessCheckAfter && !s.dialPending {
		if !c.dialExtra(s) && len(s.conns) == 0 {
			c.beginOutageNow(s)
			s.dialFailed = true
		}
	}
	c.watchLiveness(s)
}

// dialExtra asks for a connection to a server, also beyond those that are wanted. It returns whether it did.
func (c *Core) dialExtra(s *server) bool {
	s.verifying = c.startDial(s)
	return s.verifying
}

// releaseRepeatDelay is the time between the first sign of life of a process that hung and the connection on which it is to repeat its
// releases.
const releaseRepeatDelay = 100 * time.Millisecond

// recordDeadConn records that a connection to a server was closed as dead. A process that hung may write releases there when it goes on, and
// repeats them only on the next connection that is made after that.
func (c *Core) recordDeadConn(s *server) {
	s.closedDeadConn = c.limits.LivenessCheckAfter > 0 && c.limits.Transient[s.Protocol]
}

// requestReleases makes a connection on which a server repeats the releases that it has written to connections closed as dead.
func (c *Core) requestReleases(s *server) {
	if s.Phase != elmseam.PhaseGone && !s.dialPending {
		c.dialExtra(s)
	}
}

// keepVerified makes room for a connection that was made to verify that the server can be reached. The connections on which established calls
// were set up stay open: a process that hung sends their releases there when it goes on. It returns false if there is no room.
func (c *Core) keepVerified(s *server) bool {
	if len(s.conns) < c.limits.MaxConnsPerServer {
		return true
	}
	used := s.usedConns()
	for _, call := range s.established {
		if conn := s.connByID(call.serverConn); conn != nil {
			used[conn] = true
		}
	}
	for i, conn := range s.conns {
		if !used[conn] {
			c.prober.ConnClosed(uint64(conn.id))
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			c.emit(GracefulClose{To: conn.id})
			return true
		}
	}
	return false
}

// usedConns returns the connections to a server that have an outstanding attempt.
func (s *server) usedConns() map[*serverConn]bool {
	used := make(map[*serverConn]bool)
	for _, call := range s.outstanding {
		used[call.attempt.conn] = true
	}
	return used
}
