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
func (c *Core) serverSilent(ev ServerSilent) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	l := s.connByID(ev.Conn)
	if l == nil {
		return
	}
	first := l.unansweredSince // set-up that nothing has come after, or that is out
	for _, k := range s.outstanding {
		if k.attempt.conn == l && (first == 0 || k.attempt.startedAt < first) {
			first = k.attempt.startedAt
		}
	}
	switch {
	case first != 0 && c.now-first >= ev.For/2:
		c.replaceConn(s, l)
		return
	case first != 0, len(s.established) == 0:
		return
	}
	verdict, id, until := probe.Forbidden, probe.ID(0), Time(0)
	if s.effectivePhase == elmseam.Ready {
		verdict, id, until = c.prober.Request(c.now, uint64(l.id))
	}
	switch verdict {
	case probe.Forbidden:
		c.replaceConn(s, l)
	case probe.Send:
		l.unansweredSince = c.now // as for a set-up: what goes out from now on goes elsewhere unless something comes
		c.emit(Probe{To: l.id, ID: id})
		c.setTimer(until, Token{kind: tokenProbeTimeout, server: s.Name, probe: id, conn: l.id})
	}
}

// tested takes in what a server says to a probe.
func (c *Core) probeAnswered(ev ServerProbeAnswer) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	s.markReceived(ev.Conn)
	if c.prober.Answered(ev.ID, uint64(ev.Conn)) {
		c.reportHealth(s, ev.Report)
	}
}

// overdue takes in that a probe's time is up. Without an answer its connection is of no use.
func (c *Core) probeExpired(t Token) {
	if s := c.servers[t.server]; c.prober.Expire(t.probe) && s != nil {
		if l := s.connByID(t.conn); l != nil {
			c.replaceConn(s, l)
		}
	}
}

// replace ends a connection that is held for dead, with what is out there, and asks for another.
func (c *Core) replaceConn(s *server, l *serverConn) {
	c.prober.ConnClosed(uint64(l.id))
	if slices.ContainsFunc(inArrivalOrder(s.outstanding), func(k *call) bool { return k.attempt.conn == l }) {
		l.malformed = true
		c.emit(CloseConn{To: l.id}) // its end tells of what was out
	} else {
		s.conns = slices.DeleteFunc(s.conns, func(have *serverConn) bool { return have == l })
		c.emit(GracefulClose{To: l.id})
	}
	if c.wantedConns(s) > 0 {
		c.dialAhead(s)
	}
}

// lineOf is a connection to a server by its name; nil: it is one no more.
func (s *server) connByID(link ConnID) *serverConn {
	for _, l := range s.conns {
		if l.id == link {
			return l
		}
	}
	return nil
}
