package core

import (
	"maps"
	"slices"

	"elmseam"
)

// handleServerList handles news of the servers from one source.
func (c *Core) handleServerList(ev ServerList) {
	listedNames, addresses := make(map[string]bool), make(map[string]bool)
	var changedServers []*server
	for _, entry := range ev.Servers {
		listedNames[entry.Name], addresses[entry.Address] = true, true
		s := c.servers[entry.Name]
		if s != nil {
			addresses[s.Address] = true
		}
		if s != nil && entry.Started == 0 && entry.Address == s.Address { // the entry names no start: it says nothing about the process
			entry.Started = s.Started
		}
		if s == nil || s.Server != entry {
			c.emit(Trace{Kind: TraceServerListed, Server: entry.Name, Address: entry.Address, Phase: entry.Phase, Started: entry.Started})
		}
		var releases []ID
		switch {
		case s == nil:
			s = &server{id: c.controllerServerID(entry.Name), established: make(map[ID]*call), outstanding: make(map[ID]*call)}
			s.lastAliveAt, s.pendingReleases = c.now, append(c.releasesForNewServer(), c.releasesOfCutCalls(entry)...)
			c.servers[entry.Name], c.serversByID[s.id] = s, s
			c.serverOrder = append(c.serverOrder, s)
		case s.Started != entry.Started || s.Address != entry.Address:
			releases = c.replaceProcess(s, entry)
		}
		s.Server, s.listSource, s.drainReport = entry, ev.Source, drainReport{listedAt: c.now}
		for _, id := range releases {
			c.releaseAtServer(s, id)
		}
		changedServers = append(changedServers, s)
	}
	if ev.Full {
		changedServers = nil
		for _, s := range c.serverOrder {
			if s.listSource == ev.Source && !listedNames[s.Name] {
				s.Phase = elmseam.PhaseGone
			}
		}
	}
	for _, s := range c.serverOrder { // the controller takes a full list to name all servers
		if ev.Full || addresses[s.Address] && !slices.Contains(changedServers, s) {
			changedServers = append(changedServers, s)
		}
	}
	c.updatePhases(changedServers, ev.Full, ev.Cached)
}

// updatePhases recomputes the effective phases of servers and reports them to the controller. Servers that are ready are dialled.
// Servers that are not lose their waiting attempts and unwritten offers. A server that is gone from the list also loses its
// established calls and its connections.
func (c *Core) updatePhases(changedServers []*server, fullList, cachedList bool) {
	var entries []elmseam.ListEntry
	for _, s := range changedServers {
		s.effectivePhase = s.Phase
		switch {
		case s.effectivePhase == elmseam.PhaseReady && c.routeWithdrawn(s):
			s.effectivePhase = elmseam.PhaseGone
		case s.effectivePhase == elmseam.PhaseReady && (s.signallingPaused || s.drainReport.expiry > 0 || c.superseded(s)):
			s.effectivePhase = elmseam.PhaseDraining
		}
		entries = append(entries, elmseam.ListEntry{Server: s.id, Cell: s.Cell, Phase: s.effectivePhase, Started: s.Started})
	}
	if fullList {
		c.notifyController(elmseam.ListFull{Entries: entries, Cached: cachedList})
	} else {
		c.notifyController(elmseam.ListDelta{Entries: entries})
	}
	c.reportColdServers()
	for _, s := range changedServers {
		if s.effectivePhase == elmseam.PhaseReady {
			c.dialServerAhead(s)
			continue
		}
		for _, conn := range s.conns {
			c.emit(Withdraw{To: conn.id})
		}
		for _, call := range inArrivalOrder(s.outstanding) {
			if call.attempt.phase == attemptWaiting {
				c.endAttempt(call, elmseam.Outcome{Cause: elmseam.CauseNotSent})
			}
		}
		if s.Phase == elmseam.PhaseGone { // closing the connections ends the outstanding attempts
			c.endCallsOfGoneServer(s, CutServerGone)
			c.closeServerConns(s)
			c.removeServerIfUnused(s)
		} else if len(s.pendingReleases) > 0 || c.mayHaveUnknownCalls(s) {
			c.dialServerAhead(s)
		}
	}
}

// removeServerIfUnused forgets a server that is gone and has neither calls nor attempts, and closes its connections.
func (c *Core) removeServerIfUnused(s *server) {
	if s.Phase != elmseam.PhaseGone || len(s.established)+len(s.outstanding) > 0 || c.servers[s.Name] != s {
		return
	}
	c.closeServerConns(s)
	delete(c.servers, s.Name)
	delete(c.serversByID, s.id)
	c.removedServers = append(c.removedServers, removedServer{s.Name, s.id})
	c.removedServers = c.removedServers[max(len(c.removedServers)-c.limits.MaxRemovedServers, 0):]
	for i, other := range c.serverOrder {
		if other == s {
			c.serverOrder = append(c.serverOrder[:i], c.serverOrder[i+1:]...)
			break
		}
	}
}

// controllerServerID returns the controller's id for a server that comes into the list: the former id of a server that comes back.
func (c *Core) controllerServerID(name string) elmseam.ServerID {
	for i, removed := range c.removedServers {
		if removed.name == name {
			c.removedServers = slices.Delete(c.removedServers, i, i+1)
			return removed.id
		}
	}
	c.lastServerID++
	return c.lastServerID
}

// handleRoute handles a route that is withdrawn or announced again.
func (c *Core) handleRoute(ev Route) {
	var changedServers []*server
	for _, s := range c.serverOrder {
		if ev.Covers(s.Address) {
			changedServers = append(changedServers, s)
		}
	}
	switch {
	case ev.Up:
		delete(c.withdrawnRoutes, ev.Name)
	case len(changedServers) > 0 || len(c.withdrawnRoutes) < c.limits.MaxRoutes:
		c.withdrawnRoutes[ev.Name] = ev
	}
	if len(changedServers) > 0 {
		c.updatePhases(changedServers, false, false)
	}
}

// routeWithdrawn says whether a withdrawn route covers the address of a server.
func (c *Core) routeWithdrawn(s *server) bool {
	for _, route := range c.withdrawnRoutes {
		if route.Covers(s.Address) {
			return true
		}
	}
	return false
}

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
	s.conns = append(s.conns, &serverConn{id: ev.Conn, madeAt: c.now, generation: s.connGeneration})
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

// callsInOrder returns the calls that are wanted, in the order of their arrival.
func (c *Core) callsInOrder(wanted func(*call) bool) (calls []*call) {
	for _, call := range c.calls {
		if wanted(call) {
			calls = append(calls, call)
		}
	}
	sortByArrival(calls)
	return calls
}

// sortByArrival sorts calls in the order of their arrival, so that the same events always have the same effects.
func sortByArrival(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return int(a.controllerID) - int(b.controllerID) })
}

// inArrivalOrder returns calls in the order of their arrival.
func inArrivalOrder(calls map[ID]*call) []*call {
	sorted := slices.Collect(maps.Values(calls))
	sortByArrival(sorted)
	return sorted
}
