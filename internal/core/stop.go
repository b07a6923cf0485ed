package core

import (
	"slices"

	"elmseam"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// updateServing reports when new calls begin or cease to be welcome and when the process is first ready to serve. After the grace of
// a stop or a hand-over it also begins the end of the process, once nothing is pending.
func (c *Core) updateServing() {
	serving := false
	for _, s := range c.serverOrder {
		serving = serving || s.effectivePhase == elmseam.PhaseReady
	}
	if serving = serving && !c.stopping && !c.draining; serving != c.serving {
		c.serving = serving
		c.emit(Serving{On: serving})
		c.stepMaintenance(maintenance.Serving{Serving: serving})
	}
	if !c.ready && serving {
		for _, s := range c.serverOrder {
			c.ready = c.ready || s.effectivePhase == elmseam.PhaseReady && len(s.conns) > 0
		}
		if c.ready {
			c.emit(ReadyToServe{})
		}
	}
	if c.stopGraceOver && !c.closing && len(c.calls) == 0 && len(c.pendingReleases) == 0 && !c.serverReleasesPending() && !c.transfersPending() {
		c.beginClosing()
	}
}

// serverReleasesPending says whether the release of a call waits for a connection to a server. A server that can't be reached does not count.
func (c *Core) serverReleasesPending() bool {
	return slices.ContainsFunc(c.serverOrder, func(s *server) bool { return len(s.pendingReleases) > 0 && !s.dialFailed })
}

// beginClosing begins the end of the process, when nothing is pending any more or MaxStopWait has passed, and announces to the other
// members that this softswitch leaves. Set-ups that callers sent before they could know of the end may still arrive: they are refused
// for StopLinger before the connections are closed. There is no such wait if StopLinger is 0, or if the successor has every connection.
func (c *Core) beginClosing() {
	c.closing = true
	c.stepMembership(membership.Leave{})
	if !slices.ContainsFunc(c.callerConnOrder, func(conn *callerConn) bool { return !conn.transferred }) && c.handingOver || c.limits.StopLinger == 0 {
		c.finishStop()
		return
	}
	c.emit(CloseListener{})
	c.setTimer(c.now+c.limits.StopLinger, Token{kind: tokenStopLinger})
}

// finishStop closes the connections of transient protocols that were not transferred, gracefully, and reports that the process can end.
func (c *Core) finishStop() {
	for _, conn := range slices.Clone(c.callerConnOrder) {
		if c.limits.Transient[conn.protocol] && !conn.transferred {
			c.closeCallerConn(conn)
		}
	}
	for _, s := range c.serverOrder {
		for _, conn := range s.conns {
			if c.limits.Transient[s.Protocol] {
				c.emit(GracefulClose{To: conn.id})
			}
		}
	}
	c.stopped = true
	c.emit(Stopped{})
}

// failOpenSetUps rejects every set-up that has no final answer: this process ends, and no other process knows of them.
func (c *Core) failOpenSetUps() {
	for _, call := range inArrivalOrder(c.calls) {
		if !call.answered && !call.callerGone {
			c.notifyController(elmseam.CallerGone{Call: call.controllerID})
			c.reject(call, Rejected{Reason: ReasonFailed})
		}
	}
}
