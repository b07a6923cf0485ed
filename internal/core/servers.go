package core

import (
	"maps"
	"slices"

	"elmseam"
)

// list takes in news of the servers.
func (c *Core) list(ev List) {
	named := make(map[string]bool)
	var changed []*server
	for _, e := range ev.Servers {
		named[e.Name] = true
		s := c.servers[e.Name]
		switch {
		case s == nil:
			s = &server{id: c.idOf(e.Name), standing: make(map[ID]*call), out: make(map[ID]*call)}
			c.servers[e.Name], c.byID[s.id] = s, s
			c.order = append(c.order, s)
		case s.Started != e.Started || s.Address != e.Address:
			// Another process: what stood at the one before is cut. Its connection is of no use.
			c.cutAll(s)
			c.hangUp(s)
			s.owed = nil // of the process that is no more
		}
		s.Server, s.source, s.hears = e, ev.Source, hearsay{told: c.now}
		changed = append(changed, s)
	}
	if ev.Full {
		for _, s := range c.order {
			if s.source == ev.Source && !named[s.Name] {
				s.Phase = elmseam.Gone
			}
		}
	}
	if ev.Full { // the module takes a full list for all there is
		changed = slices.Clone(c.order)
	}
	c.phases(changed, ev.Full, ev.Cached)
}

// phases tells the module of servers whose state may have changed, stops new work where it must, and
// looks after the connections.
func (c *Core) phases(changed []*server, full, cached bool) {
	var entries []elmseam.ListEntry
	for _, s := range changed {
		s.told = s.Phase
		switch {
		case s.told == elmseam.Ready && c.cutOff(s):
			s.told = elmseam.Gone
		case s.told == elmseam.Ready && (s.paused || s.hears.until > 0):
			s.told = elmseam.Draining
		}
		entries = append(entries, elmseam.ListEntry{Server: s.id, Cell: s.Cell, Phase: s.told, Started: s.Started})
	}
	if full {
		c.tell(elmseam.ListFull{Entries: entries, Cached: cached})
	} else {
		c.tell(elmseam.ListDelta{Entries: entries})
	}
	c.colds()
	for _, s := range changed {
		if s.told == elmseam.Ready {
			c.ahead(s)
			continue
		}
		for _, l := range s.lines {
			c.do(Withdraw{To: l.link})
		}
		for _, k := range inOrder(s.out) {
			if k.out.phase == waiting {
				c.outcome(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
			}
		}
		if s.Phase == elmseam.Gone { // closing the connection gives up what is out there
			c.cutAll(s)
			c.hangUp(s)
			c.tidy(s)
		}
	}
}

// tidy closes the connection to a server that is gone and of which nothing is left, and forgets it.
func (c *Core) tidy(s *server) {
	if s.Phase != elmseam.Gone || len(s.standing)+len(s.out) > 0 || c.servers[s.Name] != s {
		return
	}
	c.hangUp(s)
	delete(c.servers, s.Name)
	delete(c.byID, s.id)
	c.left = append(c.left, left{s.Name, s.id})
	c.left = c.left[max(len(c.left)-c.limits.MaxRemovedServers, 0):]
	for i, have := range c.order {
		if have == s {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
}

// idOf is the module's name for a server that comes into the list.
func (c *Core) idOf(name string) elmseam.ServerID {
	for i, l := range c.left {
		if l.name == name {
			c.left = slices.Delete(c.left, i, i+1)
			return l.id
		}
	}
	c.lastID++
	return c.lastID
}

// route takes in that the way to some servers has gone or come.
func (c *Core) route(ev Route) {
	var changed []*server
	for _, s := range c.order {
		if ev.Covers(s.Address) {
			changed = append(changed, s)
		}
	}
	switch {
	case ev.Up:
		delete(c.routes, ev.Name)
	case len(changed) > 0 || len(c.routes) < c.limits.MaxRoutes:
		c.routes[ev.Name] = ev
	}
	if len(changed) > 0 {
		c.phases(changed, false, false)
	}
}

// cutOff says whether the way to a server is withdrawn.
func (c *Core) cutOff(s *server) bool {
	for _, r := range c.routes {
		if r.Covers(s.Address) {
			return true
		}
	}
	return false
}

// wanted is how many connections to a server are of use. More than one, so that what goes wrong on one doesn't
// concern all that is out there, and shows.
func (c *Core) wanted(s *server) int {
	switch {
	case s.Phase == elmseam.Ready && !c.cutOff(s):
		most := max(c.limits.ConnsPerServer[s.Protocol], 1)
		if c.limits.MaxServerConns > 0 { // descriptors are scarce: each server its part, and one at least
			most = min(most, max(c.limits.MaxServerConns/len(c.order), 1))
		}
		return most
	case len(s.standing) > 0, len(s.owed) > 0 && s.Phase != elmseam.Gone:
		return 1
	}
	return 0
}

// sound are the connections to a server that are of use for something new.
func (s *server) sound() (n int) {
	for _, l := range s.lines {
		if !l.malformed {
			n++
		}
	}
	return n
}

// retire closes the malformed connections to a server on which nothing is out any more.
func (c *Core) retire(s *server) {
	if s.sound() == len(s.lines) {
		return
	}
	used := make(map[*line]bool)
	for _, k := range s.out {
		used[k.out.line] = true
	}
	s.lines = slices.DeleteFunc(s.lines, func(l *line) bool {
		if l.malformed && !used[l] {
			c.do(GracefulClose{To: l.link})
			return true
		}
		return false
	})
}

// dial asks for a connection, one at a time, and says whether one is on its way.
func (c *Core) dial(s *server) bool {
	if s.dialing || s.sound() >= max(c.wanted(s), 1) {
		return s.dialing
	}
	if c.limits.MaxServerConns > 0 && c.lines() >= c.limits.MaxServerConns && !c.spareLine(s) {
		return false
	}
	s.dialing = true
	c.do(Dial{Server: s.Name, Address: s.Address, Protocol: s.Protocol})
	return true
}

// ahead asks for a connection before anything needs it, where that takes none from another server.
func (c *Core) ahead(s *server) {
	if c.limits.MaxServerConns == 0 || c.lines() < c.limits.MaxServerConns || len(s.standing) > 0 && s.sound() == 0 {
		c.dial(s)
	}
}

// lines are the connections to servers that there are or will be.
func (c *Core) lines() (n int) {
	for _, s := range c.order {
		if n += len(s.lines); s.dialing {
			n++
		}
	}
	return n
}

// spareLine makes room for a connection to a server where descriptors are scarce: it closes the one used least of late
// among those on which nothing is out, and that are not a server's last while calls stand there. It says whether it did.
func (c *Core) spareLine(other *server) bool {
	var of *server
	var victim *line
	for _, s := range c.order {
		if s == other || len(s.lines) == 1 && len(s.standing) > 0 {
			continue
		}
		used := make(map[*line]bool)
		for _, k := range s.out {
			used[k.out.line] = true
		}
		for _, l := range s.lines {
			if !used[l] && (victim == nil || l.used < victim.used) {
				of, victim = s, l
			}
		}
	}
	if victim == nil {
		return false
	}
	of.lines = slices.DeleteFunc(of.lines, func(l *line) bool { return l == victim })
	c.do(GracefulClose{To: victim.link}) // releases may wait there to be written
	return true
}

// lineTo is the connection for the next set-up: the one used least of late among those that don't leave set-ups
// without a word. None goes over a malformed one.
func (c *Core) lineTo(s *server) (best *line) {
	doubt := func(l *line) bool { return l.mute != 0 && c.now-l.mute > c.limits.UnresponsiveAfter }
	for _, l := range s.lines {
		if l.malformed {
			continue
		}
		if best == nil || doubt(best) && !doubt(l) || doubt(best) == doubt(l) && l.used < best.used {
			best = l
		}
	}
	return best
}

// heard takes in that a connection brings something.
func (s *server) heard(link ConnID) {
	if l := s.lineOf(link); l != nil {
		l.mute = 0
	}
}

// endAt releases a call at a server, on any connection.
func (c *Core) endAt(s *server, id ID) {
	if l := c.lineTo(s); l != nil {
		c.do(End{To: l.link, ID: id})
	}
}

// hangUpAt releases a call that stands at a server, on the next connection if there is none: the server would go on
// holding a line for a caller who has left.
func (c *Core) hangUpAt(s *server, id ID) {
	if s.sound() > 0 {
		c.endAt(s, id)
		return
	}
	if s.Phase == elmseam.Gone {
		return
	}
	s.owed = append(s.owed, id)
	s.owed = s.owed[max(len(s.owed)-c.limits.MaxPendingReleases, 0):]
	if !s.redialing {
		c.dial(s)
	}
}

// hangUp ends the connections to a server; what is out there is cut.
func (c *Core) hangUp(s *server) {
	lines := s.lines
	s.lines = nil
	for _, l := range lines {
		c.do(CloseConn{To: l.link})
		c.cutOut(s, l, elmseam.CauseReset)
	}
}

// serverUp sends what has waited for the connection.
func (c *Core) serverUp(ev ServerUp) {
	s := c.servers[ev.Server]
	if s == nil {
		c.do(CloseConn{To: ev.Conn})
		return
	}
	s.dialing = false
	switch {
	case s.Address != ev.Address: // it has moved meanwhile
		c.do(CloseConn{To: ev.Conn})
		if c.wanted(s) > 0 {
			c.ahead(s)
		}
		return
	case s.sound() >= c.wanted(s): // late: it is of no use any more
		c.do(CloseConn{To: ev.Conn})
		return
	}
	s.lines = append(s.lines, &line{link: ev.Conn})
	s.backoff, s.lost = 0, 0
	for _, id := range s.owed {
		c.endAt(s, id)
	}
	s.owed = nil
	for _, k := range inOrder(s.out) {
		if k.out.phase == waiting && c.now >= k.gap {
			c.retry(k)
		}
	}
	c.ahead(s)
}

// serverDown takes in that a connection has ended or could not be made. Set-ups open on it are cut or
// were never sent; what stands there stands on, and a new connection will tell of it.
func (c *Core) serverDown(ev ServerDown) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	cause := elmseam.CauseUnreachable
	var gone *line
	if ev.Conn != 0 {
		i := slices.IndexFunc(s.lines, func(l *line) bool { return l.link == ev.Conn })
		if i < 0 {
			return
		}
		cause, gone = elmseam.CauseReset, s.lines[i]
		c.prober.ConnClosed(uint64(ev.Conn))
		s.lines = slices.Delete(s.lines, i, i+1)
	} else {
		s.dialing = false
		if ev.Address != "" && ev.Address != s.Address { // a dial of before it moved: it says nothing of where it is now
			if c.wanted(s) > 0 {
				c.ahead(s)
			}
			return
		}
	}
	if s.lost == 0 && len(s.lines) == 0 {
		s.lost = c.now
		c.timer(c.now+c.limits.ServerLostAfter, Token{kind: tokenLost, server: s.Name})
	}
	c.cutOut(s, gone, cause)
	if !s.dialing && !s.redialing && s.sound() < c.wanted(s) {
		at := c.now
		if cause == elmseam.CauseUnreachable {
			s.backoff = min(max(2*s.backoff, c.limits.MinRedial), c.limits.MaxRedial)
			at += s.backoff
		}
		s.redialing = true
		c.timer(at, Token{kind: tokenRedial, server: s.Name})
	}
	c.tidy(s)
}

// cutOut ends the attempts out at a server on a connection that has ended, and if it was the last, or none could
// be made, those that wait for one.
func (c *Core) cutOut(s *server, gone *line, cause elmseam.Cause) {
	for _, k := range inOrder(s.out) {
		if k.out == nil || k.out.server != s {
			continue
		}
		o := elmseam.Outcome{Cause: cause}
		switch a := k.out; {
		case a.phase == waiting && len(s.lines) > 0, a.phase != waiting && a.line != gone:
			continue
		case a.phase == ending:
			o.Cause = a.cause
		case a.phase == waiting && cause == elmseam.CauseReset:
			o.Cause = elmseam.CauseNotSent
		}
		c.outcome(k, o)
	}
}

// cutAll releases the calls that stand at a server which is no more.
func (c *Core) cutAll(s *server) {
	for _, k := range inOrder(s.standing) {
		c.released(k, Reset, elmseam.Outcome{Cause: elmseam.CauseReset})
	}
}

// inOrder lists calls as they came, so that the same events have the same effects.
func inOrder(calls map[ID]*call) []*call {
	return slices.SortedFunc(maps.Values(calls), func(a, b *call) int { return int(a.cid) - int(b.cid) })
}
