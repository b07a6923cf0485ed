package core

import (
	"slices"
	"time"

	"elmseam"
	"elmseam/internal/probe"
)

// A connection that brings nothing may be dead, or its server has nothing to tell. What is owed there decides.

type (
	// ServerSilent says that nothing has come on a connection for so long. Whether anything is owed there, is not for its
	// reader to say.
	ServerSilent struct {
		Server string
		Conn   ConnID
		For    time.Duration
	}
	// ServerProbeAnswer is the answer to a Test.
	ServerProbeAnswer struct {
		Server string
		Conn   ConnID
		ID     probe.ID
		Report Report
	}
	// Probe asks a server, on a connection, whether it is there. It is no set-up.
	Probe struct {
		To ConnID
		ID probe.ID
	}
)

func (ServerSilent) event()      {}
func (ServerProbeAnswer) event() {}
func (Probe) effect()            {}

// silent takes in that nothing has come on a connection for some time. Where a set-up went out on it half of that ago, it
// is held for dead, whether the set-up is still out or was given up meanwhile. One that has had its first since then later is
// looked at again, and one on which nothing is owed may be silent. Where calls stand, what ends them may come on any
// connection: it is probed, or replaced where no probe is permitted.
func (c *Core) silent(ev ServerSilent) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	l := s.lineOf(ev.Conn)
	if l == nil {
		return
	}
	first := l.mute // set-up that nothing has come after, or that is out
	for _, k := range s.out {
		if k.out.line == l && (first == 0 || k.out.at < first) {
			first = k.out.at
		}
	}
	switch {
	case first != 0 && c.now-first >= ev.For/2:
		c.replace(s, l)
		return
	case first != 0, len(s.standing) == 0:
		return
	}
	verdict, id, until := probe.Forbidden, probe.ID(0), Time(0)
	if s.told == elmseam.Ready {
		verdict, id, until = c.prober.Request(c.now, uint64(l.link))
	}
	switch verdict {
	case probe.Forbidden:
		c.replace(s, l)
	case probe.Send:
		l.mute = c.now // as for a set-up: what goes out from now on goes elsewhere unless something comes
		c.do(Probe{To: l.link, ID: id})
		c.timer(until, Token{kind: tokenProbe, server: s.Name, probe: id, link: l.link})
	}
}

// tested takes in what a server says to a probe.
func (c *Core) tested(ev ServerProbeAnswer) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	s.heard(ev.Conn)
	if c.prober.Answered(ev.ID, uint64(ev.Conn)) {
		c.health(s, ev.Report)
	}
}

// overdue takes in that a probe's time is up. Without an answer its connection is of no use.
func (c *Core) overdue(t Token) {
	if s := c.servers[t.server]; c.prober.Expire(t.probe) && s != nil {
		if l := s.lineOf(t.link); l != nil {
			c.replace(s, l)
		}
	}
}

// replace ends a connection that is held for dead, with what is out there, and asks for another.
func (c *Core) replace(s *server, l *line) {
	c.prober.ConnClosed(uint64(l.link))
	if slices.ContainsFunc(inOrder(s.out), func(k *call) bool { return k.out.line == l }) {
		l.malformed = true
		c.do(CloseConn{To: l.link}) // its end tells of what was out
	} else {
		s.lines = slices.DeleteFunc(s.lines, func(have *line) bool { return have == l })
		c.do(GracefulClose{To: l.link})
	}
	if c.wanted(s) > 0 {
		c.ahead(s)
	}
}

// lineOf is a connection to a server by its name; nil: it is one no more.
func (s *server) lineOf(link ConnID) *line {
	for _, l := range s.lines {
		if l.link == link {
			return l
		}
	}
	return nil
}
