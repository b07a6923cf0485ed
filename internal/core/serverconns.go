package core

import (
	"slices"

	"elmseam"
)

// wantedConnCount returns how many connections to a server are useful. With several connections, a failure of one does not affect all
// outstanding attempts at the server, and it is noticed, as the other connections still bring answers.
func (c *Core) wantedConnCount(s *server) int {
	switch {
	case s.Phase == elmseam.PhaseReady && !c.routeWithdrawn(s):
		wanted := max(c.limits.ConnsPerServer[s.Protocol], 1)
		if c.limits.MaxServerConns > 0 { // file descriptors are scarce: each server gets an equal share of them, but at least one
			wanted = min(wanted, max(c.limits.MaxServerConns/len(c.serverOrder), 1))
		}
		return wanted
	case len(s.established) > 0, len(s.pendingReleases) > 0 && s.Phase != elmseam.PhaseGone, c.mayHaveUnknownCalls(s):
		return 1
	}
	return 0
}

// mayHaveUnknownCalls says whether calls from before the start of this process may stand at a server that drains. It sends their releases on
// the next connection. Protocols with associations identify no calls of a former process.
func (c *Core) mayHaveUnknownCalls(s *server) bool {
	return s.Phase == elmseam.PhaseDraining && s.Started < c.startedAt && c.limits.Transient[s.Protocol]
}

// usableConnCount returns how many connections to a server can carry new set-ups: those that are not marked unusable.
func (s *server) usableConnCount() (n int) {
	for _, conn := range s.conns {
		if !conn.unusable {
			n++
		}
	}
	return n
}

// closeUnusableConns closes the connections to a server that carry no new set-ups and have no outstanding attempt any more.
func (c *Core) closeUnusableConns(s *server) {
	if s.usableConnCount() == len(s.conns) {
		return
	}
	usedConns := s.usedConns()
	s.conns = slices.DeleteFunc(s.conns, func(conn *serverConn) bool {
		if conn.unusable && !usedConns[conn] {
			c.emit(GracefulClose{To: conn.id})
			return true
		}
		return false
	})
}

// dialServer asks for a connection to a server, unless a dial is under way, the server has connections enough, or MaxServerConns is reached
// and no other connection can be closed. It returns whether a dial is under way.
func (c *Core) dialServer(s *server) bool {
	if s.dialPending || s.usableConnCount() >= max(c.wantedConnCount(s), 1) {
		return s.dialPending
	}
	return c.startDial(s)
}

// startDial asks for a connection to a server, unless MaxServerConns is reached and no other connection can be closed. It returns whether
// it did.
func (c *Core) startDial(s *server) bool {
	if c.limits.MaxServerConns > 0 && c.serverConnCount() >= c.limits.MaxServerConns && !c.evictServerConn(s) {
		return false
	}
	s.dialPending = true
	c.emit(Dial{Server: s.Name, Address: s.Address, Protocol: s.Protocol})
	return true
}

// dialServerAhead asks for a connection before a set-up needs it, if no connection to another server has to be closed for it. A server
// with established calls and no usable connection is dialled even if another connection has to be closed.
func (c *Core) dialServerAhead(s *server) {
	if c.limits.MaxServerConns == 0 || c.serverConnCount() < c.limits.MaxServerConns || len(s.established) > 0 && s.usableConnCount() == 0 {
		c.dialServer(s)
	}
}

// serverConnCount returns the number of connections to all servers, dials under way included.
func (c *Core) serverConnCount() (n int) {
	for _, s := range c.serverOrder {
		if n += len(s.conns); s.dialPending {
			n++
		}
	}
	return n
}

// evictServerConn closes a connection of another server to make room for a connection to the requester, when file descriptors are
// scarce. It chooses the connection whose last offer is the oldest, among those without an outstanding attempt. The only connection
// to a server with established calls is never chosen. It returns whether it closed one.
func (c *Core) evictServerConn(requester *server) bool {
	var owner *server
	var victim *serverConn
	for _, s := range c.serverOrder {
		if s == requester || len(s.conns) == 1 && len(s.established) > 0 {
			continue
		}
		usedConns := s.usedConns()
		for _, conn := range s.conns {
			if !usedConns[conn] && (victim == nil || conn.lastOfferAt < victim.lastOfferAt) {
				owner, victim = s, conn
			}
		}
	}
	if victim == nil {
		return false
	}
	owner.conns = slices.DeleteFunc(owner.conns, func(conn *serverConn) bool { return conn == victim })
	c.emit(GracefulClose{To: victim.id}) // releases may still be waiting to be written there
	return true
}

// connForSetUp returns the connection for the next set-up to a server: the one whose last offer is the oldest, among those that are not
// unresponsive (see UnresponsiveAfter). An unresponsive connection is used only if there is no other, one marked unusable never. The result
// is nil if there is no usable connection.
func (c *Core) connForSetUp(s *server) (best *serverConn) {
	unresponsive := func(conn *serverConn) bool {
		return conn.unansweredSince != 0 && c.now-conn.unansweredSince > c.limits.UnresponsiveAfter
	}
	for _, conn := range s.conns {
		if conn.unusable {
			continue
		}
		if best == nil || unresponsive(best) && !unresponsive(conn) || unresponsive(best) == unresponsive(conn) && conn.lastOfferAt < best.lastOfferAt {
			best = conn
		}
	}
	return best
}

// closeServerConns closes all connections to a server at once.
func (c *Core) closeServerConns(s *server) { c.closeServerConnsBefore(s, c.now+1) }

// closeServerConnsBefore closes the connections to a server that were made before the time, at once unless releases have to be written. The attempts outstanding on them end as
// reset and, if no connection is left, attempts that wait for one as not sent.
func (c *Core) closeServerConnsBefore(s *server, before Time) {
	conns := s.conns
	s.conns = slices.DeleteFunc(slices.Clone(conns), func(conn *serverConn) bool { return conn.madeAt < before })
	for _, conn := range conns {
		if conn.madeAt >= before {
			continue
		}
		if conn.closeGracefully {
			c.closeAfterReleases(s, conn)
		} else {
			c.emit(CloseConn{To: conn.id})
		}
		c.endAttemptsOnConn(s, conn, elmseam.CauseReset)
	}
}

// handleServerUp handles a new connection to a server: the releases and attempts that waited for a connection go out. A connection that
// is not wanted any more is closed. Attempts within their release guard wait on.
func (c *Core) handleServerUp(ev ServerUp) {
	s := c.servers[ev.Server]
	if s == nil {
		c.emit(CloseConn{To: ev.Conn})
		return
	}
	verified := s.verifying
	s.dialPending, s.verifying = false, false
	switch {
	case s.Address != ev.Address: // the server has another address by now
		c.emit(CloseConn{To: ev.Conn})
		if c.wantedConnCount(s) > 0 {
			c.dialServerAhead(s)
		}
		return
	}
	c.reconnect(s)
	if s.usableConnCount() >= c.wantedConnCount(s) && !(verified && c.keepVerified(s)) { // the connection is not needed any more
		c.emit(CloseConn{To: ev.Conn})
		return
	}
	s.conns = append(s.conns, &serverConn{id: ev.Conn, madeAt: c.now, processSince: c.now, generation: s.connGeneration})
	s.redialDelay = 0
	for _, id := range s.pendingReleases {
		c.sendEnd(s, id)
	}
	s.pendingReleases = nil
	for _, call := range inArrivalOrder(s.outstanding) {
		if call.attempt.phase == attemptWaiting && c.now >= call.resendAfter {
			c.retryAttempt(call)
		}
	}
	c.dialServerAhead(s)
}

// handleServerDown handles the end of a connection to a server, or a dial that failed. The attempts outstanding on the connection end as
// reset. If the server has no connection left, its waiting attempts end too: as never sent, or after a failed dial as unreachable.
// Established calls go on: their releases can come on a new connection.
func (c *Core) handleServerDown(ev ServerDown) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	cause := elmseam.CauseUnreachable
	var endedConn *serverConn
	if ev.Conn != 0 {
		i := slices.IndexFunc(s.conns, func(conn *serverConn) bool { return conn.id == ev.Conn })
		if i < 0 {
			return
		}
		cause, endedConn = elmseam.CauseReset, s.conns[i]
		c.prober.ConnClosed(uint64(ev.Conn))
		s.conns = slices.Delete(s.conns, i, i+1)
	} else {
		s.dialPending, s.verifying = false, false
		if ev.Address != "" && ev.Address != s.Address { // a dial to a former address says nothing about the present one
			if c.wantedConnCount(s) > 0 {
				c.dialServerAhead(s)
			}
			return
		}
	}
	c.recordServerDown(s, endedConn, ev)
	c.endAttemptsOnConn(s, endedConn, cause)
	if !s.dialPending && !s.redialPending && s.usableConnCount() < c.wantedConnCount(s) {
		redialAt := c.now
		if cause == elmseam.CauseUnreachable {
			s.redialDelay = min(max(2*s.redialDelay, c.limits.InitialRedialDelay), c.limits.MaxRedialDelay)
			redialAt += s.redialDelay
		}
		s.redialPending = true
		c.setTimer(redialAt, Token{kind: tokenRedial, server: s.Name})
	}
	c.removeServerIfUnused(s)
}

// endAttemptsOnConn ends the attempts at a server that are outstanding on a connection that has ended. If the server has no connection
// left, the attempts that wait end too. An attempt that was given up keeps its cause; one that waits ends as not sent, not as reset.
func (c *Core) endAttemptsOnConn(s *server, endedConn *serverConn, cause elmseam.Cause) {
	for _, call := range inArrivalOrder(s.outstanding) {
		if call.attempt == nil || call.attempt.server != s {
			continue
		}
		outcome := elmseam.Outcome{Cause: cause}
		switch a := call.attempt; {
		case a.phase == attemptWaiting && len(s.conns) > 0, a.phase != attemptWaiting && a.conn != endedConn:
			continue
		case a.phase == attemptEnding:
			outcome.Cause = a.endCause
		case a.phase == attemptWaiting && cause == elmseam.CauseReset:
			outcome.Cause = elmseam.CauseNotSent
		}
		c.endAttempt(call, outcome)
	}
}
