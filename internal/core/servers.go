package core

import (
	"maps"
	"slices"

	"elmseam"
)

// list takes in news of the servers.
func (c *Core) serverList(ev List) {
	listed := make(map[string]bool)
	var changed []*server
	for _, entry := range ev.Servers {
		listed[entry.Name] = true
		s := c.servers[entry.Name]
		switch {
		case s == nil:
			s = &server{id: c.serverID(entry.Name), established: make(map[ID]*call), outstanding: make(map[ID]*call)}
			c.servers[entry.Name], c.serversByID[s.id] = s, s
			c.serverOrder = append(c.serverOrder, s)
		case s.Started != entry.Started || s.Address != entry.Address:
			// Another process: what stood at the one before is cut. Its connection is of no use.
			c.resetEstablished(s)
			c.closeServerConns(s)
			s.pendingReleases = nil // of the process that is no more
		}
		s.Server, s.source, s.drainReport = entry, ev.Source, drainReport{listedAt: c.now}
		changed = append(changed, s)
	}
	if ev.Full {
		for _, s := range c.serverOrder {
			if s.source == ev.Source && !listed[s.Name] {
				s.Phase = elmseam.Gone
			}
		}
	}
	if ev.Full { // the module takes a full list for all there is
		changed = slices.Clone(c.serverOrder)
	}
	c.updatePhases(changed, ev.Full, ev.Cached)
}

// phases tells the module of servers whose state may have changed, stops new work where it must, and
// looks after the connections.
func (c *Core) updatePhases(changed []*server, full, cached bool) {
	var entries []elmseam.ListEntry
	for _, s := range changed {
		s.effectivePhase = s.Phase
		switch {
		case s.effectivePhase == elmseam.Ready && c.routeWithdrawn(s):
			s.effectivePhase = elmseam.Gone
		case s.effectivePhase == elmseam.Ready && (s.paused || s.drainReport.expiry > 0):
			s.effectivePhase = elmseam.Draining
		}
		entries = append(entries, elmseam.ListEntry{Server: s.id, Cell: s.Cell, Phase: s.effectivePhase, Started: s.Started})
	}
	if full {
		c.notifyController(elmseam.ListFull{Entries: entries, Cached: cached})
	} else {
		c.notifyController(elmseam.ListDelta{Entries: entries})
	}
	c.reportColdServers()
	for _, s := range changed {
		if s.effectivePhase == elmseam.Ready {
			c.dialAhead(s)
			continue
		}
		for _, conn := range s.conns {
			c.emit(Withdraw{To: conn.id})
		}
		for _, k := range inArrivalOrder(s.outstanding) {
			if k.attempt.phase == attemptWaiting {
				c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
			}
		}
		if s.Phase == elmseam.Gone { // closing the connection gives up what is out there
			c.resetEstablished(s)
			c.closeServerConns(s)
			c.removeIfUnused(s)
		}
	}
}

// tidy closes the connection to a server that is gone and of which nothing is left, and forgets it.
func (c *Core) removeIfUnused(s *server) {
	if s.Phase != elmseam.Gone || len(s.established)+len(s.outstanding) > 0 || c.servers[s.Name] != s {
		return
	}
	c.closeServerConns(s)
	delete(c.servers, s.Name)
	delete(c.serversByID, s.id)
	c.removed = append(c.removed, removedServer{s.Name, s.id})
	c.removed = c.removed[max(len(c.removed)-c.limits.MaxRemovedServers, 0):]
	for i, other := range c.serverOrder {
		if other == s {
			c.serverOrder = append(c.serverOrder[:i], c.serverOrder[i+1:]...)
			break
		}
	}
}

// idOf is the module's name for a server that comes into the list.
func (c *Core) serverID(name string) elmseam.ServerID {
	for i, removed := range c.removed {
		if removed.name == name {
			c.removed = slices.Delete(c.removed, i, i+1)
			return removed.id
		}
	}
	c.lastServerID++
	return c.lastServerID
}

// route takes in that the way to some servers has gone or come.
func (c *Core) routeChanged(ev Route) {
	var changed []*server
	for _, s := range c.serverOrder {
		if ev.Covers(s.Address) {
			changed = append(changed, s)
		}
	}
	switch {
	case ev.Up:
		delete(c.withdrawnRoutes, ev.Name)
	case len(changed) > 0 || len(c.withdrawnRoutes) < c.limits.MaxRoutes:
		c.withdrawnRoutes[ev.Name] = ev
	}
	if len(changed) > 0 {
		c.updatePhases(changed, false, false)
	}
}

// cutOff says whether the way to a server is withdrawn.
func (c *Core) routeWithdrawn(s *server) bool {
	for _, route := range c.withdrawnRoutes {
		if route.Covers(s.Address) {
			return true
		}
	}
	return false
}

// wanted is how many connections to a server are of use. More than one, so that what goes wrong on one doesn't
// concern all that is out there, and shows.
func (c *Core) wantedConns(s *server) int {
	switch {
	case s.Phase == elmseam.Ready && !c.routeWithdrawn(s):
		wanted := max(c.limits.ConnsPerServer[s.Protocol], 1)
		if c.limits.MaxServerConns > 0 { // descriptors are scarce: each server its part, and one at least
			wanted = min(wanted, max(c.limits.MaxServerConns/len(c.serverOrder), 1))
		}
		return wanted
	case len(s.established) > 0, len(s.pendingReleases) > 0 && s.Phase != elmseam.Gone:
		return 1
	}
	return 0
}

// sound are the connections to a server that are of use for something new.
func (s *server) usableConns() (n int) {
	for _, conn := range s.conns {
		if !conn.malformed {
			n++
		}
	}
	return n
}

// retire closes the malformed connections to a server on which nothing is out any more.
func (c *Core) closeMalformedConns(s *server) {
	if s.usableConns() == len(s.conns) {
		return
	}
	used := make(map[*serverConn]bool)
	for _, k := range s.outstanding {
		used[k.attempt.conn] = true
	}
	s.conns = slices.DeleteFunc(s.conns, func(conn *serverConn) bool {
		if conn.malformed && !used[conn] {
			c.emit(GracefulClose{To: conn.id})
			return true
		}
		return false
	})
}

// dial asks for a connection, one at a time, and says whether one is on its way.
func (c *Core) dial(s *server) bool {
	if s.dialing || s.usableConns() >= max(c.wantedConns(s), 1) {
		return s.dialing
	}
	if c.limits.MaxServerConns > 0 && c.serverConnCount() >= c.limits.MaxServerConns && !c.evictServerConn(s) {
		return false
	}
	s.dialing = true
	c.emit(Dial{Server: s.Name, Address: s.Address, Protocol: s.Protocol})
	return true
}

// ahead asks for a connection before anything needs it, where that takes none from another server.
func (c *Core) dialAhead(s *server) {
	if c.limits.MaxServerConns == 0 || c.serverConnCount() < c.limits.MaxServerConns || len(s.established) > 0 && s.usableConns() == 0 {
		c.dial(s)
	}
}

// lines are the connections to servers that there are or will be.
func (c *Core) serverConnCount() (n int) {
	for _, s := range c.serverOrder {
		if n += len(s.conns); s.dialing {
			n++
		}
	}
	return n
}

// spareLine makes room for a connection to a server where descriptors are scarce: it closes the one used least of late
// among those on which nothing is out, and that are not a server's last while calls stand there. It says whether it did.
func (c *Core) evictServerConn(requester *server) bool {
	var owner *server
	var victim *serverConn
	for _, s := range c.serverOrder {
		if s == requester || len(s.conns) == 1 && len(s.established) > 0 {
			continue
		}
		used := make(map[*serverConn]bool)
		for _, k := range s.outstanding {
			used[k.attempt.conn] = true
		}
		for _, conn := range s.conns {
			if !used[conn] && (victim == nil || conn.lastSetUp < victim.lastSetUp) {
				owner, victim = s, conn
			}
		}
	}
	if victim == nil {
		return false
	}
	owner.conns = slices.DeleteFunc(owner.conns, func(conn *serverConn) bool { return conn == victim })
	c.emit(GracefulClose{To: victim.id}) // releases may wait there to be written
	return true
}

// lineTo is the connection for the next set-up: the one used least of late among those that don't leave set-ups
// without a word. None goes over a malformed one.
func (c *Core) connFor(s *server) (best *serverConn) {
	unresponsive := func(conn *serverConn) bool {
		return conn.unansweredSince != 0 && c.now-conn.unansweredSince > c.limits.UnresponsiveAfter
	}
	for _, conn := range s.conns {
		if conn.malformed {
			continue
		}
		if best == nil || unresponsive(best) && !unresponsive(conn) || unresponsive(best) == unresponsive(conn) && conn.lastSetUp < best.lastSetUp {
			best = conn
		}
	}
	return best
}

// heard takes in that a connection brings something.
func (s *server) markReceived(id ConnID) {
	if conn := s.connByID(id); conn != nil {
		conn.unansweredSince = 0
	}
}

// endAt releases a call at a server, on any connection.
func (c *Core) sendEnd(s *server, id ID) {
	if conn := c.connFor(s); conn != nil {
		c.emit(End{To: conn.id, ID: id})
	}
}

// hangUpAt releases a call that stands at a server, on the next connection if there is none: the server would go on
// holding a line for a caller who has left.
func (c *Core) releaseAtServer(s *server, id ID) {
	if s.usableConns() > 0 {
		c.sendEnd(s, id)
		return
	}
	if s.Phase == elmseam.Gone {
		return
	}
	s.pendingReleases = append(s.pendingReleases, id)
	s.pendingReleases = s.pendingReleases[max(len(s.pendingReleases)-c.limits.MaxPendingReleases, 0):]
	if !s.redialPending {
		c.dial(s)
	}
}

// hangUp ends the connections to a server; what is out there is cut.
func (c *Core) closeServerConns(s *server) {
	conns := s.conns
	s.conns = nil
	for _, conn := range conns {
		c.emit(CloseConn{To: conn.id})
		c.failAttempts(s, conn, elmseam.CauseReset)
	}
}

// serverUp sends what has waited for the connection.
func (c *Core) serverUp(ev ServerUp) {
	s := c.servers[ev.Server]
	if s == nil {
		c.emit(CloseConn{To: ev.Conn})
		return
	}
	s.dialing = false
	switch {
	case s.Address != ev.Address: // it has moved meanwhile
		c.emit(CloseConn{To: ev.Conn})
		if c.wantedConns(s) > 0 {
			c.dialAhead(s)
		}
		return
	case s.usableConns() >= c.wantedConns(s): // late: it is of no use any more
		c.emit(CloseConn{To: ev.Conn})
		return
	}
	s.conns = append(s.conns, &serverConn{id: ev.Conn})
	s.backoff, s.unreachableSince = 0, 0
	for _, id := range s.pendingReleases {
		c.sendEnd(s, id)
	}
	s.pendingReleases = nil
	for _, k := range inArrivalOrder(s.outstanding) {
		if k.attempt.phase == attemptWaiting && c.now >= k.resendAfter {
			c.retryAttempt(k)
		}
	}
	c.dialAhead(s)
}

// serverDown takes in that a connection has ended or could not be made. Set-ups open on it are cut or
// were never sent; what stands there stands on, and a new connection will tell of it.
func (c *Core) serverDown(ev ServerDown) {
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
		s.dialing = false
		if ev.Address != "" && ev.Address != s.Address { // a dial of before it moved: it says nothing of where it is now
			if c.wantedConns(s) > 0 {
				c.dialAhead(s)
			}
			return
		}
	}
	if s.unreachableSince == 0 && len(s.conns) == 0 {
		s.unreachableSince = c.now
		c.setTimer(c.now+c.limits.ServerLostAfter, Token{kind: tokenServerLost, server: s.Name})
	}
	c.failAttempts(s, endedConn, cause)
	if !s.dialing && !s.redialPending && s.usableConns() < c.wantedConns(s) {
		at := c.now
		if cause == elmseam.CauseUnreachable {
			s.backoff = min(max(2*s.backoff, c.limits.MinRedial), c.limits.MaxRedial)
			at += s.backoff
		}
		s.redialPending = true
		c.setTimer(at, Token{kind: tokenRedial, server: s.Name})
	}
	c.removeIfUnused(s)
}

// cutOut ends the attempts out at a server on a connection that has ended, and if it was the last, or none could
// be made, those that wait for one.
func (c *Core) failAttempts(s *server, endedConn *serverConn, cause elmseam.Cause) {
	for _, k := range inArrivalOrder(s.outstanding) {
		if k.attempt == nil || k.attempt.server != s {
			continue
		}
		outcome := elmseam.Outcome{Cause: cause}
		switch a := k.attempt; {
		case a.phase == attemptWaiting && len(s.conns) > 0, a.phase != attemptWaiting && a.conn != endedConn:
			continue
		case a.phase == attemptEnding:
			outcome.Cause = a.endCause
		case a.phase == attemptWaiting && cause == elmseam.CauseReset:
			outcome.Cause = elmseam.CauseNotSent
		}
		c.endAttempt(k, outcome)
	}
}

// cutAll releases the calls that stand at a server which is no more.
func (c *Core) resetEstablished(s *server) {
	for _, k := range inArrivalOrder(s.established) {
		c.endEstablished(k, Reset, elmseam.Outcome{Cause: elmseam.CauseReset})
	}
}

// inOrder lists calls as they came, so that the same events have the same effects.
func inArrivalOrder(calls map[ID]*call) []*call {
	return slices.SortedFunc(maps.Values(calls), func(a, b *call) int { return int(a.controllerID) - int(b.controllerID) })
}
