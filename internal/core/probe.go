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
	conn := s.connByID(ev.Conn)
	if conn == nil {
		return
	}
	unansweredSince := conn.unansweredSince // set-up that nothing has come after, or that is out
	for _, k := range s.outstanding {
		if k.attempt.conn == conn && (unansweredSince == 0 || k.attempt.startedAt < unansweredSince) {
			unansweredSince = k.attempt.startedAt
		}
	}
	switch {
	case unansweredSince != 0 && c.now-unansweredSince >= ev.For/2:
		c.replaceConn(s, conn)
		return
	case unansweredSince != 0, len(s.established) == 0:
		return
	}
	verdict, id, deadline := probe.Forbidden, probe.ID(0), Time(0)
	if s.effectivePhase == elmseam.Ready {
		verdict, id, deadline = c.prober.Request(c.now, uint64(conn.id))
	}
	switch verdict {
	case probe.Forbidden:
		c.replaceConn(s, conn)
	case probe.Send:
		conn.unansweredSince = c.now // as for a set-up: what goes out from now on goes elsewhere unless something comes
		c.emit(Probe{To: conn.id, ID: id})
		c.setTimer(deadline, Token{kind: tokenProbeTimeout, server: s.Name, probe: id, conn: conn.id})
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
		if conn := s.connByID(t.conn); conn != nil {
			c.replaceConn(s, conn)
		}
	}
}

// replace ends a connection that is held for dead, with what is out there, and asks for another.
func (c *Core) replaceConn(s *server, conn *serverConn) {
	c.prober.ConnClosed(uint64(conn.id))
	if slices.ContainsFunc(inArrivalOrder(s.outstanding), func(k *call) bool { return k.attempt.conn == conn }) {
		conn.malformed = true
		c.emit(CloseConn{To: conn.id}) // its end tells of what was out
	} else {
		s.conns = slices.DeleteFunc(s.conns, func(other *serverConn) bool { return other == conn })
		c.emit(GracefulClose{To: conn.id})
	}
	if c.wantedConns(s) > 0 {
		c.dialAhead(s)
	}
}

// lineOf is a connection to a server by its name; nil: it is one no more.
func (s *server) connByID(id ConnID) *serverConn {
	for _, conn := range s.conns {
		if conn.id == id {
			return conn
		}
	}
	return nil
}
