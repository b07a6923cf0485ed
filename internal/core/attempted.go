package core

// While two processes of a hand-over run side by side, callers may connect to either. Each tells the other which calls it has sent to a
// server, so that a set-up with the same id is not sent a second time by the other.

// idSet remembers a limited number of ids, those that were added last.
type idSet struct {
	ids   map[ID]bool
	order []ID // oldest first
}

// add adds an id, and drops the oldest ones beyond the limit.
func (s *idSet) add(id ID, limit int) {
	if s.ids == nil {
		s.ids = make(map[ID]bool)
	}
	if s.ids[id] {
		return
	}
	s.ids[id] = true
	s.order = append(s.order, id)
	for len(s.order) > limit {
		delete(s.ids, s.order[0])
		s.order = s.order[1:]
	}
}

// maxIDsPerMessage is the number of ids that fit into one message of a hand-over.
const maxIDsPerMessage = 4000

// handleSuccessor handles news that a successor serves callers beside this process, or that it has gone. It is told of the calls that this
// process has sent to servers so far, as far as they are remembered.
func (c *Core) handleSuccessor(ev Successor) {
	if c.hasSuccessor = ev.Serving; !c.hasSuccessor {
		return
	}
	var ids []ID
	for _, call := range inArrivalOrder(c.calls) {
		if call.attemptCount > 0 {
			ids = append(ids, call.ID)
		}
	}
	ids = append(ids, c.RecentlyEnded(maxIDsPerMessage)...)
	for len(ids) > 0 {
		count := min(len(ids), maxIDsPerMessage)
		c.emit(Attempted{IDs: ids[:count:count]})
		ids = ids[count:]
	}
}

// announceAttempt tells the other process of a hand-over that a call is sent to a server.
func (c *Core) announceAttempt(call *call) {
	if c.hasPredecessor || c.hasSuccessor {
		c.emit(Attempted{IDs: []ID{call.ID}})
	}
}

// handleAttemptedElsewhere records calls that the other process has sent to a server.
func (c *Core) handleAttemptedElsewhere(ev AttemptedElsewhere) {
	for _, id := range ev.IDs {
		c.attemptedElsewhere.add(id, c.limits.MaxAttemptedElsewhere)
	}
}
