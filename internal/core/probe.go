package core

import (
	"slices"
	"time"

	"elmseam"
	"elmseam/internal/probe"
)

// A connection without input may be dead, or its server has nothing to send. What is pending on the connection decides whether it
// is replaced, probed or left alone.

type (
	// ServerSilent reports that nothing has come on a connection for the duration SilentFor. The reader of the connection does
	// not know whether anything is pending on it.
	ServerSilent struct {
		Server    string
		Conn      ConnID
		SilentFor time.Duration
	}
	// ServerProbeAnswer reports the answer of a server to a Probe.
	ServerProbeAnswer struct {
		Server string
		Conn   ConnID
		ID     probe.ID
		Report Report
	}
	// Probe asks a server on a connection whether it responds. A probe is not a set-up.
	Probe struct {
		To ConnID
		ID probe.ID
	}
)

func (ServerSilent) event()      {}
func (ServerProbeAnswer) event() {}
func (Probe) effect()            {}

// handleServerSilent handles a connection on which nothing has come for the duration SilentFor.
//
// If an unanswered set-up or probe went out on the connection at least SilentFor/2 ago, the connection counts as dead and is replaced,
// whether that set-up is still outstanding or was given up meanwhile. If the first unanswered one was sent later, the connection is judged
// at the next ServerSilent.
//
// Without any the silence is normal, except at a server with established calls, whose releases may come on any connection: the connection
// to such a server is probed, or replaced where the settings permit no probe or the server is not ready. It is left alone while it has an
// outstanding probe or the rate of probes is used up.
func (c *Core) handleServerSilent(ev ServerSilent) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	conn := s.connByID(ev.Conn)
	if conn == nil {
		return
	}
	// The time of the first set-up or probe after which nothing came on the connection, or of an older set-up that is outstanding on it.
	unansweredSince := conn.unansweredSince
	for _, call := range s.outstanding {
		if call.attempt.conn == conn && (unansweredSince == 0 || call.attempt.startedAt < unansweredSince) {
			unansweredSince = call.attempt.startedAt
		}
	}
	switch {
	case unansweredSince != 0 && c.now-unansweredSince >= ev.SilentFor/2:
		c.replaceConn(s, conn)
		return
	case unansweredSince != 0, len(s.established) == 0:
		return
	}
	verdict, id, deadline := probe.VerdictForbidden, probe.ID(0), Time(0)
	if s.effectivePhase == elmseam.PhaseReady {
		verdict, id, deadline = c.prober.Request(c.now, uint64(conn.id))
	}
	switch verdict {
	case probe.VerdictForbidden:
		c.replaceConn(s, conn)
	case probe.VerdictSend:
		conn.unansweredSince = c.now // as after a set-up: new set-ups avoid the connection after UnresponsiveAfter without input
		c.emit(Probe{To: conn.id, ID: id})
		c.setTimer(deadline, Token{kind: tokenProbeTimeout, server: s.Name, probe: id, conn: conn.id})
	}
}

// handleProbeAnswer handles the answer to a probe.
func (c *Core) handleProbeAnswer(ev ServerProbeAnswer) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	c.recordServerInput(s, ev.Conn)
	if c.prober.Answered(ev.ID, uint64(ev.Conn)) {
		c.forwardLoadReport(s, ev.Report)
	}
}

// handleProbeTimeout handles the time-out of a probe. The connection is replaced if the probe has not been answered.
func (c *Core) handleProbeTimeout(token Token) {
	if s := c.servers[token.server]; c.prober.Expire(token.probe) && s != nil {
		if conn := s.connByID(token.conn); conn != nil {
			c.replaceConn(s, conn)
		}
	}
}

// replaceConn closes a connection that counts as dead, which ends its outstanding attempts, and dials another.
func (c *Core) replaceConn(s *server, conn *serverConn) {
	c.prober.ConnClosed(uint64(conn.id))
	c.stats.Failures.ConnsReplaced++
	c.recordDeadConn(s)
	c.emit(Trace{Kind: TraceConnReplaced, Server: s.Name, Conn: conn.id})
	if slices.ContainsFunc(inArrivalOrder(s.outstanding), func(call *call) bool { return call.attempt.conn == conn }) {
		conn.unusable = true
		c.emit(CloseConn{To: conn.id}) // the ServerDown that follows ends the outstanding attempts
	} else {
		s.conns = slices.DeleteFunc(s.conns, func(other *serverConn) bool { return other == conn })
		c.emit(GracefulClose{To: conn.id})
	}
	if c.wantedConnCount(s) > 0 {
		c.dialServerAhead(s)
	}
}

// connByID returns the connection to the server with the id; nil: the server has no such connection any more.
func (s *server) connByID(id ConnID) *serverConn {
	for _, conn := range s.conns {
		if conn.id == id {
			return conn
		}
	}
	return nil
}
