package core

import (
	"time"

	"elmseam"
)

// server is a server of the list, with its connections and calls.
type server struct {
	Server
	livenessTracker
	id               elmseam.ServerID // the controller's id of the server
	conns            []*serverConn
	dialPending      bool          // a Dial effect was given and its result has not come
	redialDelay      time.Duration // wait before the last redial
	signallingPaused bool          // its own signalling takes no new work
	listSource       string        // source of the list entry
	effectivePhase   elmseam.Phase // phase reported to the controller: that of the list, lowered by routes, pauses and drain reports
	established      map[ID]*call  // calls established on the server
	outstanding      map[ID]*call  // calls with an attempt here, attempts that are ending included
	redialPending    bool          // a redial timer is set
	coldStart        Time          // Started of the server's incarnation that was last cold; 0: none was
	coldCountSince   Time          // when counting of coldSetUps began
	coldSetUps       int           // offers sent since coldCountSince
	drainReport      drainReport   // whether other members report that the server drains
	pendingReleases  []ID          // calls whose release waits for a connection
}

// removedServer remembers a server that has left the list: it keeps the controller's id when it comes back, and messages on its former
// connections may be about calls that stand on the next server at its address.
type removedServer struct {
	name     string
	id       elmseam.ServerID
	address  string
	protocol Protocol
}

// serverConn is a connection to a server.
type serverConn struct {
	id              ConnID
	madeAt          Time
	processSince    Time // since when its process is known to have run, by input on earlier connections
	generation      int  // connGeneration of the server when the connection was made
	lastOfferAt     Time // when the last offer went out on the connection
	unusable        bool // a message on the connection could not be decoded, or the connection counts as dead: no new offer goes there
	closeGracefully bool // releases were sent on the connection just before it is closed
	lastInputAt     Time // when the connection last brought something; 0: never
	unansweredSince Time // time of the first set-up or probe sent since the connection last brought something; 0: none
}

// handleServerAnswer handles the answer of a server to a set-up. An answer to an attempt that has ended is released at the server and
// never passed on to the caller, and so is one that comes too late, or whose caller has gone or lost its connection.
func (c *Core) handleServerAnswer(ev ServerAnswer) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	c.recordServerInput(s, ev.Conn)
	call := s.outstanding[ev.ID]
	switch {
	case call == nil && c.establishedCall(ev.Server, ev.ID) != nil:
		return // repeated answer
	case call != nil && call.concernsEarlierAttempt(ev.Conn) && c.guardEnabled(GuardSingleAnswer):
		return // answer to an earlier attempt, whose End is being written
	case call == nil:
		c.releaseAtServer(s, ev.ID)
		return
	case call.attempt.phase != attemptSent && c.guardEnabled(GuardSingleAnswer):
		return // the attempt's End is being written
	case (call.callerConnLost || call.callerGone || call.answered) && c.guardEnabled(GuardSingleAnswer) || c.now > call.deadline+c.limits.AnswerMargin:
		c.giveUpAttempt(call, elmseam.CauseCancelled)
		return
	}
	setUpTime := c.now - call.attempt.startedAt
	call.recordSetUpConn(call.attempt.conn)
	call.attempt = nil
	delete(s.outstanding, call.ID)
	call.server, call.answerDesc, call.answered, call.establishedAt = s, ev.Desc, true, c.now
	call.SetUp.Desc, call.NumberText = nil, ""
	c.keepAnswer(call)
	s.established[call.ID] = call
	c.watchLiveness(s)
	c.openSetUps--
	if conn := c.callerConns[call.From]; conn != nil {
		conn.hadEstablished, conn.lastActive = true, c.now
	}
	c.emit(Answered{To: call.From, ID: call.ID, Desc: ev.Desc})
	c.countAnswer(call.Class, true, ReasonNormal)
	c.notifyController(elmseam.Established{Call: call.controllerID, Server: s.id, SetUpTime: setUpTime})
	c.forwardLoadReport(s, ev.Report)
	c.closeUnusableConns(s)
	c.pruneCallerConns()
}

// handleServerEnd handles a server's refusal of a set-up or its release of an established call.
func (c *Core) handleServerEnd(ev ServerEnd) {
	s := c.servers[ev.Server]
	if s != nil {
		c.recordServerInput(s, ev.Conn)
	}
	if call := c.establishedCall(ev.Server, ev.ID); call != nil {
		c.handleServerRelease(call, ev)
		return
	}
	if s == nil { // the server has just left the list, or is in the list of a successor only
		c.releaseUnknown(ev)
		return
	}
	outcome := elmseam.Outcome{Refusal: ev.Refusal, Report: c.reportForController(ev.Report)}
	call := s.outstanding[ev.ID]
	if call == nil || call.attempt.phase != attemptSent || call.concernsEarlierAttempt(ev.Conn) {
		c.forwardLoadReport(s, ev.Report)
		if call == nil {
			c.releaseUnknown(ev)
		}
		return
	}
	switch ev.Reason {
	case ReasonFull, ReasonCongested:
		outcome.Cause = elmseam.CauseFull
	case ReasonBusy, ReasonFailed, ReasonUnsupported:
		outcome.Cause = elmseam.CauseBusy
	case ReasonUnsent:
		outcome.Cause = elmseam.CauseNotSent
	default:
		outcome.Cause = elmseam.CauseReset
	}
	c.endAttempt(call, outcome)
}

// handleServerRelease ends an established call that its server releases. A message that can only refuse a set-up is a second answer to that.
func (c *Core) handleServerRelease(call *call, ev ServerEnd) {
	if ev.RefusalOnly {
		c.forwardLoadReport(call.server, ev.Report)
		return
	}
	outcome := elmseam.Outcome{Cause: elmseam.CauseReset, Refusal: ev.Refusal, Report: c.reportForController(ev.Report)}
	if ev.Reason == ReasonNormal {
		outcome.Cause = elmseam.CauseEnded
		c.recordServerRelease(call.server, call)
	}
	c.endEstablished(call, ev.Reason, outcome)
}

// handleServerMalformed gives up the attempt that an undecodable message was for, as the set-up may have run. No new offer goes out on that
// connection, and the connection is closed once no attempt is outstanding on it, so that no other call is lost.
func (c *Core) handleServerMalformed(ev ServerMalformed) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	for _, conn := range s.conns {
		conn.unusable = conn.unusable || conn.id == ev.Conn
	}
	if call := c.outstandingCall(ev.Server, ev.Conn, ev.ID); call != nil && call.attempt.phase == attemptSent {
		c.giveUpAttempt(call, elmseam.CauseReset)
	}
	c.closeUnusableConns(s)
	if c.wantedConnCount(s) > 0 { // on a new connection the server can also repeat lost releases of established calls
		c.dialServerAhead(s)
	}
}

// reportForController puts the values of a server's load report into the order in which the controller reads them. A value that the server
// did not report is -1. The result is nil if the report has none of the values.
func (c *Core) reportForController(report Report) elmseam.Report {
	var values elmseam.Report
	for i, metric := range c.reportMetrics {
		for _, loadValue := range report {
			if loadValue.Metric != metric {
				continue
			}
			for len(values) < len(c.reportMetrics) {
				values = append(values, -1)
			}
			values[i] = loadValue.Value
		}
	}
	return values
}

// forwardLoadReport tells the controller of a load report that comes with no outcome: a server sent it by itself, or with an answer or a
// late message. A report without any value that the controller reads is dropped.
func (c *Core) forwardLoadReport(s *server, report Report) {
	if values := c.reportForController(report); values != nil {
		c.notifyController(elmseam.Health{Server: s.id, OK: true, Report: values})
	}
}
