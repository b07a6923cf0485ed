package core

import (
	"slices"
	"time"

	"elmseam"
)

// A machine that has vanished gives no sign: its connections stay open and silent, and new ones never come up. The calls established on
// it are over, and their callers have to be told within a limit that begins when the machine vanished, not when this process noticed.
// All times here therefore count from the server's last sign of life. A sign of life is anything that a server sends, and a connection
// that is made outside an outage.
//
// An outage begins when the last connection to a server ends, when none can be made, or when all connections are reset at once, as by a
// process that dies. A new connection does not end it if there may be a new process, which knows none of the calls: after a dial that was
// refused, after resets of all connections, and when the server could not be reached for MinServerOutage. What ends it then is a message on
// a connection from before the outage, or a release of a call from before the outage. Without either, these calls are lost at
// ServerLostAfter.

// livenessTracker is what is known of the life of a server.
type livenessTracker struct {
	lastAliveAt      Time // last sign of life
	outageSince      Time // last sign of life before the present outage; 0: no outage
	dialFailed       bool // no connection could be made during the outage
	mayBeRenewed     bool // the process that serves after the outage may be another one
	reconnected      bool // the server can be reached again, but may be another process
	resetsSince      Time // when the first of the last series of resets came; 0: none came
	connGeneration   int  // of the next connection; it grows when an outage or a series of resets begins
	outageGeneration int  // connections of an earlier generation are from before the outage
	timerSet         bool // a timer for checkLiveness is set
	verifying        bool // the dial under way only verifies that the server can be reached
	lostTimerFrom    Time // outageSince for which a timer was set; 0: none was
}

// recordServerInput records that something has come on a connection of a server.
func (c *Core) recordServerInput(s *server, id ConnID) {
	s.lastAliveAt = c.now
	conn := s.connByID(id)
	if conn == nil {
		return
	}
	conn.unansweredSince = 0
	if s.outageSince != 0 && conn.generation < s.outageGeneration {
		c.endOutage(s)
	}
}

// recordServerRelease records that a server has released an established call, so its process is the one that knows the call.
func (c *Core) recordServerRelease(s *server, call *call) {
	if call.establishedAt <= s.outageSince {
		c.endOutage(s)
	}
}

// resetSeriesWindow is the longest time between two resets by the same process that dies.
const resetSeriesWindow = 50 * time.Millisecond

// recordServerDown records the end of a connection to a server, which is no longer among its connections, or a dial that failed.
func (c *Core) recordServerDown(s *server, ev ServerDown) {
	dialFailed := ev.Conn == 0
	if !dialFailed && !c.limits.Transient[s.Protocol] { // the protocol has heartbeats of its own
		s.lastAliveAt = max(s.lastAliveAt, c.now-ev.SilentFor)
	}
	reset := ev.End == ConnEndReset
	if ev.End == ConnEndClosed && s.outageSince == 0 {
		s.lastAliveAt = c.now
	}
	if !dialFailed && reset && (s.resetsSince == 0 || c.now-s.resetsSince > resetSeriesWindow) {
		s.resetsSince = c.now
		s.connGeneration++
	}
	allReset := !dialFailed && reset && !s.hasEarlierConn()
	if !dialFailed && !allReset && len(s.conns) > 0 {
		return
	}
	if allReset { // a new process may have given signs of life between the resets
		c.beginOutage(s, min(s.lastAliveAt, s.resetsSince))
	} else {
		c.beginOutageNow(s)
	}
	s.dialFailed = s.dialFailed || dialFailed
	s.mayBeRenewed = s.mayBeRenewed || allReset || dialFailed && reset
	s.reconnected = allReset && len(s.conns) > 0
}

// hasEarlierConn says whether a connection to the server is open that was made before the last outage or series of resets.
func (s *server) hasEarlierConn() bool {
	return slices.ContainsFunc(s.conns, func(conn *serverConn) bool { return conn.generation < s.connGeneration })
}

// beginOutageNow begins an outage, unless there is one: all connections are from before it.
func (c *Core) beginOutageNow(s *server) {
	if s.outageSince == 0 {
		s.connGeneration++
		c.beginOutage(s, s.lastAliveAt)
	}
}

// beginOutage begins an outage, unless there is one. since is the last sign of life before it.
func (c *Core) beginOutage(s *server, since Time) {
	if s.outageSince != 0 {
		return
	}
	s.outageSince, s.outageGeneration = since, s.connGeneration
	c.stats.Failures.ServerOutages++
	c.emit(Trace{Kind: TraceOutageBegan, Server: s.Name, SilentFor: c.now - s.outageSince, Calls: len(s.established)})
	c.setLostTimer(s)
}

// setLostTimer has expireOutage called when the calls from before the outage count as lost.
func (c *Core) setLostTimer(s *server) {
	if s.lostTimerFrom != s.outageSince {
		s.lostTimerFrom = s.outageSince
		c.setTimer(max(s.outageSince+c.limits.ServerLostAfter, c.now), Token{kind: tokenServerLost, server: s.Name})
	}
}

// reconnect records that a connection to a server is made. An outage ends if the process can't be another one, or if no established call
// is from before the outage. Calls of protocols whose associations end and begin apart from their calls (not Transient) always go on.
func (c *Core) reconnect(s *server) {
	longOutage := s.dialFailed && c.now-s.outageSince >= c.limits.MinServerOutage
	s.mayBeRenewed = s.mayBeRenewed || longOutage && c.limits.Transient[s.Protocol]
	switch {
	case s.outageSince == 0:
		s.lastAliveAt = c.now
	case !s.mayBeRenewed, !s.hasCallsBefore(s.outageSince):
		c.endOutage(s)
	default:
		s.reconnected = true
		c.emit(Trace{Kind: TraceServerReachable, Server: s.Name, SilentFor: c.now - s.outageSince, Calls: len(s.established)})
	}
}

// hasCallsBefore says whether a call was established on the server at the time or before.
func (s *server) hasCallsBefore(at Time) bool {
	for _, call := range s.established {
		if call.establishedAt <= at {
			return true
		}
	}
	return false
}

// endOutage records that the process from before the outage is alive, or that none of its calls is left.
func (c *Core) endOutage(s *server) {
	c.emit(Trace{Kind: TraceServerRecovered, Server: s.Name, SilentFor: c.now - s.outageSince, Calls: len(s.established)})
	c.forgetOutage(s)
}

// forgetOutage makes a server count as alive.
func (c *Core) forgetOutage(s *server) {
	s.outageSince, s.dialFailed, s.mayBeRenewed, s.reconnected, s.lastAliveAt = 0, false, false, false, c.now
}

// expireOutage gives up the calls from before an outage that has lasted for ServerLostAfter. If the server is still unreachable and has
// calls that were established after a connection was made, a further outage begins for them.
func (c *Core) expireOutage(s *server) {
	if s.outageSince == 0 || c.now < s.outageSince+c.limits.ServerLostAfter {
		return
	}
	c.loseCallsBefore(s, s.outageSince)
	switch {
	case c.servers[s.Name] != s:
	case s.reconnected:
		lastAliveAt := s.lastAliveAt
		c.endOutage(s)
		s.lastAliveAt = lastAliveAt // the end of the wait is no sign of life
	case len(s.established) > 0:
		s.outageSince = s.lastAliveAt
		c.setLostTimer(s)
	}
}

// loseCallsBefore ends the calls that were established on a server at the time or before. The server is told as soon as it can be
// reached: its process may have survived.
func (c *Core) loseCallsBefore(s *server, at Time) {
	if !s.hasCallsBefore(at) {
		return
	}
	c.stats.Failures.ServersLost++
	c.emit(Trace{Kind: TraceServerLost, Server: s.Name, SilentFor: c.now - s.outageSince, Calls: len(s.established)})
	for _, call := range inArrivalOrder(s.established) {
		if call.establishedAt <= at {
			c.releaseAtServer(s, call.ID)
			c.cutEstablished(call)
		}
	}
}

// cutEstablished ends an established call that neither party released.
func (c *Core) cutEstablished(call *call) {
	c.stats.Failures.CallsCut++
	c.emit(Trace{Kind: TraceCallCut, Server: call.server.Name, ID: call.ID})
	c.endEstablished(call, ReasonReset, elmseam.Outcome{Cause: elmseam.CauseReset})
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
	if c.now-s.lastAliveAt >= c.limits.LivenessCheckAfter && !s.reconnected && !s.dialPending {
		s.verifying = c.startDial(s)
		if !s.verifying && len(s.conns) == 0 {
			c.beginOutageNow(s)
			s.dialFailed = true
		}
	}
	c.watchLiveness(s)
}

// replaceByVerified replaces a connection to a server by the one that was made to verify that the server can be reached. It returns false
// if all connections have outstanding attempts.
func (c *Core) replaceByVerified(s *server) bool {
	used := s.usedConns()
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
