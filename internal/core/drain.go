package core

import "elmseam/internal/membership"

// A drain sends callers away while the process goes on. Operators and ordered maintenance can begin and end drains any number of
// times. New calls cease to be welcome at once, which the health check of the callers' front end shows. The front end notices the drain
// only after a while; the set-ups that it still sends until then are served. After DrainGrace, idle connections of transient protocols
// without a call are closed. A connection with established calls stays open, as their releases need it. Set-ups that still arrive, on
// any connection, are refused after DrainRefuseAfter.

// setDraining begins or ends a drain. It does nothing if the drain already is as requested.
func (c *Core) setDraining(on bool) {
	if on == c.draining {
		return
	}
	c.draining, c.drainChangedAt = on, c.now
	c.drainChanges++
	c.stepMembership(membership.Drain{On: on || c.stopping})
	if on {
		c.setTimer(c.now+c.limits.DrainGrace, Token{kind: tokenDrainCheck, number: c.drainChanges})
	}
}

// closeIdleCallerConns closes the idle connections of callers without a call, and does so again after DrainCheckInterval until the drain
// ends or a hand-over begins. Only connections of transient protocols are closed. drainChange is the value of drainChanges at the
// beginning of the drain that the timer was set for: a timer of an earlier drain does nothing.
func (c *Core) closeIdleCallerConns(drainChange uint32) {
	if !c.draining || drainChange != c.drainChanges || c.handingOver {
		return
	}
	busyConns := c.connsWithCalls()
	var idleConns []*callerConn
	for _, conn := range c.callerConnOrder {
		if !busyConns[conn.id] && c.limits.Transient[conn.protocol] && c.now >= conn.lastActive+c.limits.DrainIdle {
			idleConns = append(idleConns, conn)
		}
	}
	for _, conn := range idleConns {
		c.closeCallerConn(conn)
	}
	c.setTimer(c.now+c.limits.DrainCheckInterval, Token{kind: tokenDrainCheck, number: drainChange})
}

// drainRefuses says whether set-ups are refused because a drain has lasted for DrainRefuseAfter, in which callers had time to go
// elsewhere.
func (c *Core) drainRefuses() bool {
	return c.draining && c.now >= c.drainChangedAt+c.limits.DrainRefuseAfter
}
