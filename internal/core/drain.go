package core

import "elmseam/internal/membership"

// A drain sends callers away while the process goes on: operators ask for it and end it, as often as they like.
// New calls cease to be welcome at once, and the front's test says so. The front needs a while to learn of it and
// sends new ones until then; they are served. After that, connections that carry no call are closed. One whose
// calls still stand is needed for their releases; callers that go on asking on it are turned away after a while.

// drain begins or ends a drain. To ask for what is so already changes nothing.
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

// sweep closes the connections of callers that have nothing here, and looks again in a while as long as the drain lasts.
func (c *Core) closeIdleCallers(drainChange uint32) {
	if !c.draining || drainChange != c.drainChanges || c.handingOver {
		return
	}
	busy := c.busyConns()
	for _, k := range c.calls {
		busy[k.From] = true
	}
	var idle []*callerConn
	for _, conn := range c.callerOrder {
		if !busy[conn.id] && c.limits.Transient[conn.protocol] && c.now >= conn.lastActive+c.limits.DrainIdle {
			idle = append(idle, conn)
		}
	}
	for _, conn := range idle {
		c.closeCaller(conn)
	}
	c.setTimer(c.now+c.limits.DrainCheckInterval, Token{kind: tokenDrainCheck, number: drainChange})
}

// away says whether callers have had time enough to go elsewhere.
func (c *Core) drainRefuses() bool {
	return c.draining && c.now >= c.drainChangedAt+c.limits.DrainRefuseAfter
}
