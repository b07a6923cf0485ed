package core

import (
	"slices"

	"elmseam"
)

// handleServerList handles news of the servers from one source.
func (c *Core) handleServerList(ev ServerList) {
	listedNames, addresses := make(map[string]bool), make(map[string]bool)
	var changedServers []*server
	for _, entry := range ev.Servers {
		listedNames[entry.Name], addresses[entry.Address] = true, true
		if s := c.servers[entry.Name]; s != nil {
			addresses[s.Address] = true
		}
		changedServers = append(changedServers, c.applyListEntry(entry, ev.Source))
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

// applyListEntry records what the list says of one server, which may be new or have another process.
func (c *Core) applyListEntry(entry Server, source string) *server {
	s := c.servers[entry.Name]
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
	s.Server, s.listSource, s.drainReport = entry, source, drainReport{listedAt: c.now}
	for _, id := range releases {
		c.releaseAtServer(s, id)
	}
	return s
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
	c.removedServers = append(c.removedServers, removedServer{s.Name, s.id, s.Address, s.Protocol})
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
