package core

import "elmseam/internal/membership"

// A drain sends callers away while the process goes on: operators ask for it and end it, as often as they like.
// New calls cease to be welcome at once, and the front's test says so. The front needs a while to learn of it and
// sends new ones until then; they are served. After that, connections that carry no call are closed. One whose
// calls still stand is needed for their releases; callers that go on asking on it are turned away after a while.

// drain begins or ends a drain. To ask for what is so already changes nothing.
func (c *Core) drain(on bool) {
	if on == c.draining {
		return
	}
	c.draining, c.drained = on, c.now
	c.drains++
	c.toPeers(membership.Drain{On: on || c.stopping})
	if on {
		c.timer(c.now+c.limits.DrainGrace, Token{kind: tokenDrain, number: c.drains})
	}
}

// sweep closes the connections of callers that have nothing here, and looks again in a while as long as the drain lasts.
func (c *Core) sweep(drain uint32) {
	if !c.draining || drain != c.drains || c.handing {
		return
	}
	carries := c.busy()
	for _, k := range c.calls {
		carries[k.From] = true
	}
	var idle []*caller
	for _, l := range c.links {
		if !carries[l.link] && c.limits.Transient[l.front] && c.now >= l.heard+c.limits.DrainIdle {
			idle = append(idle, l)
		}
	}
	for _, l := range idle {
		c.closeGracefully(l)
	}
	c.timer(c.now+c.limits.DrainCheckInterval, Token{kind: tokenDrain, number: drain})
}

// away says whether callers have had time enough to go elsewhere.
func (c *Core) away() bool { return c.draining && c.now >= c.drained+c.limits.DrainRefuseAfter }
