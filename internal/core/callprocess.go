package core

import (
	"slices"
	"time"

	"elmseam"
)

// A server's name and address may outlive its process: a new server may have the address of one that has gone, or another process serve under
// the same name, and the list may say so late. Connections to the former server then lead to the next process, and calls that were set up on
// them stand there.
//
// That holds for protocols whose messages name the call. Where they name a circuit of an association, the call stands on a circuit of the
// server's name, whichever process serves it: it is never left to another server, and its release frees the circuit.
//
// A connection leads to one process for all its life, so the connection of a call's set-up says on which process the call stands. The time
// of the answer does not: a process starts before the former one at its address has ended, and the former one answers until then.

// callProcess is the process on which an established call stands, of two that have served at one address.
type callProcess uint8

// The processes.
const (
	formerProcess    callProcess = iota // the one that has gone
	nextProcess                         // the one that serves now
	uncertainProcess                    // one of them: nothing tells which
)

// startTolerance is the longest time by which the list tells a process's start too late: after connections to it could be made.
const startTolerance = 10 * time.Second

// processOfCall says on which process an established call stands, when another one has started at its server's address. A call in doubt, or one
// of whose generation no connection is left, may have lost its process since.
func (c *Core) processOfCall(call *call, nextStarted Time) callProcess {
	switch {
	case !c.limits.Transient[call.server.Protocol]:
		return uncertainProcess
	case !c.mayLeadToNext(call.connMadeAt(), nextStarted):
		return formerProcess
	case !c.startKnown(nextStarted), call.setUpConn == nil, call.setUpConn.processSince <= nextStarted, call.doubt.since != 0:
		return uncertainProcess
	case call.server.hasConnFrom(nextStarted), call.connGeneration < call.server.connGeneration && !call.server.hasConnOf(call.connGeneration):
		return uncertainProcess
	}
	return nextProcess
}

// hasConnFrom says whether a connection is open to a process that is known to have run at a time. It contradicts the start of another process
// since, unless that one's machine vanished.
func (s *server) hasConnFrom(startedBy Time) bool {
	return slices.ContainsFunc(s.conns, func(conn *serverConn) bool { return conn.processSince <= startedBy })
}

// hasConnOf says whether a connection of a generation is open.
func (s *server) hasConnOf(generation int) bool {
	return slices.ContainsFunc(s.conns, func(conn *serverConn) bool { return conn.generation == generation })
}

// startKnown says whether the start of a process is told, and can be true.
func (c *Core) startKnown(started Time) bool { return started > 0 && started <= c.now }

// mayLeadToNext says whether a connection that was made at a time may lead to the process that has started at the address.
func (c *Core) mayLeadToNext(madeAt, nextStarted Time) bool {
	return !c.startKnown(nextStarted) || madeAt > nextStarted-startTolerance
}

// cutCall is a call whose server has gone, with its set-up or established, and which may stand on the next process at the address.
type cutCall struct {
	id         ID
	server     string // name of that server
	address    string // of that server
	connMadeAt Time   // when the connection of its set-up was made
	cutAt      Time
}

// endCallsOfGoneServer ends the calls and set-ups of a server which has gone. It leaves those calls to the next server at its address that
// stand on that one's process, and releases there what may stand there.
func (c *Core) endCallsOfGoneServer(s *server, reason CutReason) {
	next := c.nextServerAt(s)
	for _, call := range inArrivalOrder(s.established) {
		if next != nil && c.processOfCall(call, next.Started) == nextProcess {
			c.moveEstablished(call, next)
			continue
		}
		c.releaseOnOwnConn(call)
		c.releaseAtNextProcess(cutCall{call.ID, s.Name, s.Address, call.connMadeAt(), c.now}, next)
		c.cutEstablished(call, reason)
	}
	for _, call := range inArrivalOrder(s.outstanding) { // their answers may cross the close of their connections
		if conn := call.attempt.conn; conn != nil {
			c.releaseAtNextProcess(cutCall{call.ID, s.Name, s.Address, conn.madeAt, c.now}, next)
		}
	}
}

// replaceProcess handles the news that a server has another process, at the same address or elsewhere. Calls and connections of the former
// process are lost. The news may be late: calls that stand on the next process go on. It returns the calls that have to be released at the
// server, as they may stand on the next process.
func (c *Core) replaceProcess(s *server, entry Server) (uncertain []ID) {
	if s.Address != entry.Address && c.limits.Transient[s.Protocol] {
		c.endCallsOfGoneServer(s, CutProcessReplaced)
		c.closeServerConns(s)
		c.forgetOutages(s)
		return nil
	}
	started := entry.Started
	if started <= s.Started { // earlier news said otherwise
		started = 0
	}
	for _, call := range inArrivalOrder(s.established) {
		process := c.processOfCall(call, started)
		if process == uncertainProcess {
			uncertain = append(uncertain, call.ID)
		}
		if process != nextProcess {
			c.cutEstablished(call, CutProcessReplaced)
		}
	}
	connsLostBefore := c.now + 1
	if c.startKnown(started) && s.Address == entry.Address {
		connsLostBefore = started
	}
	for _, call := range inArrivalOrder(s.outstanding) { // their answers may cross the close of their connections
		if conn := call.attempt.conn; conn != nil && conn.madeAt < connsLostBefore && c.mayLeadToNext(conn.madeAt, started) {
			uncertain = append(uncertain, call.ID)
		}
	}
	c.closeServerConnsBefore(s, connsLostBefore)
	if len(s.established) == 0 {
		c.forgetOutages(s)
	}
	return uncertain
}

// nextServerAt returns another listed server that has the address of a server, the one that started last; nil: there is none.
func (c *Core) nextServerAt(former *server) (next *server) {
	for _, s := range c.serverOrder {
		if s != former && c.sameProcess(s, former.Address, former.Protocol) && s.Phase != elmseam.PhaseGone && (next == nil || s.Started > next.Started) {
			next = s
		}
	}
	return next
}

// sameProcess says whether the connections to a server lead to the process at an address of a protocol.
func (c *Core) sameProcess(s *server, address string, protocol Protocol) bool {
	return s.Address == address && s.Protocol == protocol && c.limits.Transient[protocol]
}

// superseded says whether another listed server has started at the address of one since. The process of the one is gone then, though the list
// does not say so yet: set-ups to it would reach the other one, beyond what that may get as it has just started.
func (c *Core) superseded(s *server) bool {
	next := c.nextServerAt(s)
	return next != nil && next.Started > s.Started && c.startKnown(next.Started)
}

// establishedCall returns the established call that a message on a connection of a server is about. Where two servers have one address, their
// connections lead to one process. The sender may have left the list, and its calls been left to the next server at its address.
func (c *Core) establishedCall(serverName string, id ID) *call {
	call, s := c.calls[id], c.servers[serverName]
	switch {
	case call == nil || call.server == nil:
		return nil
	case s == nil:
		if !c.wasAtAddressOf(call.server, serverName) {
			return nil
		}
	case call.server != s && !c.sameProcess(call.server, s.Address, s.Protocol):
		return nil
	}
	return call
}

// wasAtAddressOf says whether a server that has left the list had the address of a listed one.
func (c *Core) wasAtAddressOf(s *server, removedName string) bool {
	return slices.ContainsFunc(c.removedServers, func(removed removedServer) bool {
		return removed.name == removedName && c.sameProcess(s, removed.address, removed.protocol)
	})
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

// releaseOnOwnConn releases a call on the connection of its set-up, if that is open, before it is closed. It may lead to the next process at
// the address, which may come into the list much later, or to the former one that still runs.
func (c *Core) releaseOnOwnConn(call *call) {
	if conn := call.server.connByID(call.serverConn); conn != nil {
		conn.closeGracefully = true
		c.emit(End{To: conn.id, ID: call.ID})
	}
}

// closeAfterReleases closes a connection once the releases on it are written. Its set-ups are given up by messages, not by the close.
func (c *Core) closeAfterReleases(s *server, conn *serverConn) {
	for _, call := range inArrivalOrder(s.outstanding) {
		if call.attempt.conn == conn {
			c.emit(End{To: conn.id, ID: call.ID})
		}
	}
	c.emit(GracefulClose{To: conn.id})
}

// releaseAtNextProcess releases a call at the next server at its address (nil: none is listed) if it may stand there, and remembers the call
// for servers that come into the list later.
func (c *Core) releaseAtNextProcess(call cutCall, next *server) {
	if next != nil && c.mayStandOn(call, next.Server) {
		c.releaseAtServer(next, call.id)
	}
	c.cutCalls = append(c.cutCalls, call)
	c.cutCalls = c.cutCalls[max(len(c.cutCalls)-c.limits.MaxPendingReleases, 0):]
}

// mayStandOn says whether a call that was cut may stand on the process of a listed server.
func (c *Core) mayStandOn(cut cutCall, listed Server) bool {
	if !c.limits.Transient[listed.Protocol] {
		return cut.server == listed.Name
	}
	return cut.address == listed.Address && cut.cutAt > c.now-c.limits.EndedCallTTL && c.mayLeadToNext(cut.connMadeAt, listed.Started)
}

// releasesOfCutCalls returns the calls to release at a server that comes into the list, of those that were cut. A call that has been established
// again since is left alone.
func (c *Core) releasesOfCutCalls(entry Server) (ids []ID) {
	for _, cut := range c.cutCalls {
		if call := c.calls[cut.id]; c.mayStandOn(cut, entry) && (call == nil || call.server == nil) {
			ids = append(ids, cut.id)
		}
	}
	return ids
}
