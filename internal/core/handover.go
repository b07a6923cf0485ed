package core

import (
	"maps"
	"slices"
)

// A new process takes over from an old one while both run. The old one hands its callers' connections on, between two
// messages, and keeps the calls it has: what it says to their callers goes through the new one, which keeps account
// of the set-ups that the old one still owes an answer. Should the old one die, the new one answers them.

// handOver begins to hand the callers on. What comes on their connections from now on is the successor's.
func (c *Core) handOver() {
	if c.handing || c.ending { // at the end connections are closed: one on its way would be lost
		return
	}
	c.handing, c.stopping = true, true
	for _, l := range c.links {
		c.move(l)
	}
	c.timer(c.now+c.limits.HandOverGrace, Token{kind: tokenStop})
	c.timer(c.now+c.limits.MaxStopWait, Token{kind: tokenFinal})
}

// move has a connection read no further.
func (c *Core) move(l *caller) {
	if c.limits.Transient[l.front] && !l.malformed {
		c.do(StopReading{To: l.link})
	}
}

// moved passes on a connection that is read no further, with the set-ups that are open on it.
func (c *Core) moved(link ConnID) {
	l := c.callers[link]
	if l == nil {
		return
	}
	l.handed, l.passing = true, true
	var open, stand []ID
	for _, k := range inOrder(c.calls) {
		switch {
		case k.From != link || k.gone:
		case !k.answered:
			open = append(open, k.ID)
		case k.stands != nil:
			stand = append(stand, k.ID)
		}
	}
	// They have to fit into one message. An answer that is owed goes before a release that finds another way.
	stand = stand[:min(len(stand), max(c.limits.MaxTransferredCalls-len(open), 0))]
	c.do(Transfer{To: link, Open: open, Established: stand, HadSetUp: l.asked})
}

// keeps says whether callers' connections are still here that have to be handed on, or are on their way.
func (c *Core) keeps() bool {
	return c.handing && slices.ContainsFunc(c.links, func(l *caller) bool {
		return (!l.handed || l.passing) && !l.kept && !l.malformed && c.limits.Transient[l.front]
	})
}

// adopt takes in what a predecessor says of a connection that it has handed on.
func (c *Core) adopt(l *caller, ev CallerUp) {
	if l.asked = ev.HadSetUp; l.asked {
		c.flush()
	}
	for _, id := range ev.Open {
		c.foreign[id] = ev.Conn
	}
	for _, id := range ev.Established {
		c.stood[id] = ev.Conn
	}
}

// predecessor takes in that another process owns calls of callers who are here, or that it has gone. What it owed an
// answer may have run.
func (c *Core) predecessor(ev Predecessor) {
	c.preceded, c.halved = ev.Present, ev.Present && !ev.Transferring
	if ev.Present {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.foreign)) {
		c.do(Rejected{To: c.foreign[id], ID: id, Reason: Failed})
		c.remember(id)
	}
	clear(c.foreign)
}

// relayed passes on what a predecessor tells a caller of its own call. A second final answer is passed on to nobody.
func (c *Core) relayed(ev Relayed) {
	switch e := ev.Effect.(type) {
	case Answered:
		if to, owed := c.foreign[e.ID]; owed {
			delete(c.foreign, e.ID)
			e.To = to
			c.stood[e.ID] = to
			c.do(e)
		}
	case Rejected:
		if to, owed := c.foreign[e.ID]; owed {
			delete(c.foreign, e.ID)
			e.To = to
			c.do(e)
			c.remember(e.ID)
		}
	case Released:
		if _, known := c.ended[e.ID]; !known {
			c.remember(e.ID)
			delete(c.stood, e.ID)
			c.release(ev.Protocol, ev.Conn, e.ID, e.Reason)
		}
	}
}

// forgetForeign takes in that nobody waits any more for the set-ups that a predecessor has open for a caller.
func (c *Core) forgetForeign(link ConnID) {
	theirs := func(_ ID, of ConnID) bool { return of == link }
	maps.DeleteFunc(c.foreign, theirs)
	maps.DeleteFunc(c.stood, theirs)
}

// RecentlyEnded are the ids of the last calls that ended here, at most so many, for a successor.
func (c *Core) RecentlyEnded(most int) []ID {
	last := c.endedAt[max(len(c.endedAt)-most, 0):]
	ids := make([]ID, 0, len(last))
	for _, o := range last {
		ids = append(ids, o.id)
	}
	return ids
}
