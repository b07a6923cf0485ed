package core

import "elmseam"

// A new server may have the address of one that has gone, and its process may have been there before the list says so. Connections to the
// former server then lead to the new one, and calls that were set up on them stand there.

// cutCall is a call that was cut because its server has gone.
type cutCall struct {
	id            ID
	address       string // of that server
	establishedAt Time
	cutAt         Time
}

// endCallsOfGoneServer ends the calls that were established on a server which has gone, and leaves those to the next server at its address
// that have been established since that one started.
func (c *Core) endCallsOfGoneServer(s *server) {
	next := c.nextServerAt(s)
	for _, call := range inArrivalOrder(s.established) {
		if next != nil && call.establishedAt > next.Started {
			c.moveEstablished(call, next)
		} else {
			c.cutOnGoneServer(call)
		}
	}
}

// nextServerAt returns another listed server that has the address of a server, and is known to have started late; nil: there is none.
func (c *Core) nextServerAt(former *server) *server {
	for _, s := range c.serverOrder {
		if s != former && s.Address == former.Address && s.Phase != elmseam.PhaseGone && s.Started > 0 {
			return s
		}
	}
	return nil
}

// moveEstablished records that an established call stands on another server than the one it was offered to.
func (c *Core) moveEstablished(call *call, s *server) {
	c.stats.Failures.CallsMoved++
	c.emit(Trace{Kind: TraceCallMoved, Server: s.Name, Former: call.server.Name, ID: call.ID, StoodFor: c.now - call.establishedAt})
	delete(call.server.established, call.ID)
	call.server, call.serverConn, call.connGeneration, call.doubt = s, 0, s.connGeneration, callDoubt{}
	s.established[call.ID] = call
	c.watchLiveness(s)
}

// cutOnGoneServer cuts a call and remembers it for a server that comes into the list at the same address.
func (c *Core) cutOnGoneServer(call *call) {
	c.cutCalls = append(c.cutCalls, cutCall{call.ID, call.server.Address, call.establishedAt, c.now})
	c.cutCalls = c.cutCalls[max(len(c.cutCalls)-c.limits.MaxPendingReleases, 0):]
	c.cutEstablished(call, CutServerGone)
}

// releasesAtReusedAddress returns the calls to release at a server that comes into the list: those that were cut with a former server at its
// address, and were established after this one had started.
func (c *Core) releasesAtReusedAddress(entry Server) (ids []ID) {
	for _, call := range c.cutCalls {
		if entry.Started > 0 && call.address == entry.Address && call.establishedAt > entry.Started && call.cutAt > c.now-c.limits.EndedCallTTL {
			ids = append(ids, call.id)
		}
	}
	return ids
}
