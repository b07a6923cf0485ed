package core

import (
	"time"

	"elmseam"
)

// A server's name and address may outlive its process: a new server may have the address of one that has gone, or another process serve under
// the same name, and the list may say so late. Connections to the former server then lead to the next process, and calls that were set up on
// them stand there.
//
// A connection leads to one process for all its life, so the connection of a call's set-up says on which process the call stands. The time
// of the answer does not: a process starts before the former one at its address has ended, and the former one answers until then.

// callProcess is the process on which an established call stands, of two that have served at one address.
type callProcess uint8

// The processes.
const (
	formerProcess callProcess = iota // the one that has gone
	nextProcess                      // the one that serves now
)

// startTolerance is the longest time from the start of a process, as the list tells it, until the former one at its address has ended.
const startTolerance = time.Second

// processOfCall says on which process an established call stands, when another one has started at its server's address. A call in doubt has
// lost its connection in a way that shows the end of a process.
func (c *Core) processOfCall(call *call, nextStarted Time) callProcess {
	switch {
	case nextStarted == 0, call.connMadeAt <= nextStarted, call.doubt.since != 0:
		return formerProcess
	case call.connMadeAt < nextStarted+startTolerance && call.connGeneration < call.server.connGeneration:
		return formerProcess
	}
	return nextProcess
}

// cutCall is a call that was cut because its server has gone.
type cutCall struct {
	id            ID
	address       string // of that server
	establishedAt Time
	cutAt         Time
}

// endCallsOfGoneServer ends the calls that were established on a server which has gone, and leaves those to the next server at its address
// that stand on that one's process.
func (c *Core) endCallsOfGoneServer(s *server) {
	next := c.nextServerAt(s)
	for _, call := range inArrivalOrder(s.established) {
		if next != nil && c.processOfCall(call, next.Started) == nextProcess {
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
