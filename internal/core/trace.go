package core

import (
	"time"

	"elmseam"
)

// TraceKind is the kind of a Trace.
type TraceKind uint8

// The kinds of traces, each with the fields that it sets besides Server.
const (
	TraceOutageBegan     TraceKind = iota // an outage of a server begins: SilentFor, Calls
	TraceServerReachable                  // a connection is made during an outage, and the established calls are in doubt: SilentFor, Calls
	TraceServerRecovered                  // the calls from before an outage go on, or none of them is left: SilentFor, Calls
	TraceServerLost                       // the calls established on a server are released, as it has been lost: SilentFor, Calls
	TraceConnReplaced                     // a connection counts as dead and is replaced: Conn
	TraceAttemptFailed                    // an attempt ended without an answer: ID, Attempt, Cause
	TraceCallCut                          // an established call ended without a release by either party: ID, Conn, Cut, StoodFor
	TraceCallMoved                        // an established call stands on another server than the one it was offered to: ID, Former, StoodFor
	TraceServerListed                     // the list names a new server, or a new state, start or address of one: Phase, Started, Address
	TraceSetUpRefused                     // the core refused a set-up without asking the controller: ID, Refusal
	TraceUnknownRelease                   // a release of a call that this process does not know: ID; without Server it came from a caller
)

// RefusalReason says why the core refused a set-up without asking the controller.
type RefusalReason uint8

// The reasons for a refusal.
const (
	RefusalTimeUp      RefusalReason = iota // the caller's time was up when the set-up was processed
	RefusalDraining                         // the softswitch drains
	RefusalStopping                         // the process stops
	RefusalMaxOpen                          // MaxOpen set-ups have no final answer
	RefusalMemory                           // the descriptions and numbers of all calls take MaxCallBytes
	refusalReasonCount = iota
)

// String returns the reason as it appears in logs and statistics.
func (r RefusalReason) String() string {
	return [refusalReasonCount]string{"time_up", "draining", "stopping", "max_open", "memory"}[r]
}

// CutReason says why an established call ended without a release by either party.
type CutReason uint8

// The reasons for cutting a call.
const (
	CutServerGone      CutReason = iota // the list says that its server has gone
	CutProcessReplaced                  // the list says that another process serves under the name of its server
	CutServerLost                       // its server gave no sign of life for ServerLostAfter
	cutReasonCount     = iota
)

// String returns the reason as it appears in logs.
func (r CutReason) String() string {
	return [cutReasonCount]string{"server_gone", "process_replaced", "server_lost"}[r]
}

// Trace reports a transition or a decision for the log. It asks for nothing to be carried out. The fields that are set depend on the kind.
type Trace struct {
	Kind      TraceKind
	Server    string
	Conn      ConnID
	ID        ID
	Attempt   int // index among the attempts of the call, from 0
	Cause     elmseam.Cause
	Refusal   RefusalReason
	Cut       CutReason
	Former    string        // name of the server to which the call was offered
	Address   string        // address of the server
	Phase     elmseam.Phase // state of the server
	Started   Time          // when the process of the server started, by the list; 0: not told
	StoodFor  time.Duration // time since the call was established
	SilentFor time.Duration // time since the last sign of life of the server
	Calls     int           // calls that are established on the server
}

func (Trace) effect() {}

// FailureStats counts what went wrong since the start of the process.
type FailureStats struct {
	ConnsReplaced      uint64 // connections to servers that counted as dead
	ServerOutages      uint64 // times that a server became unreachable
	ServersLost        uint64 // times that a server was lost with calls established on it
	CallsCut           uint64 // established calls that ended without a release by either party
	CallsMoved         uint64 // established calls that stand on another server than the one they were offered to
	ReleasesWaiting    int    // releases that wait now for a connection of callers
	ServersUnreachable int    // servers that are unreachable now
	FailedAttempts     [elmseam.CauseNotSent + 1]uint64
	Refusals           [refusalReasonCount]uint64

	UnknownServerReleases uint64 // releases by servers of calls that this process does not know, as from before its start
	UnknownCallerReleases uint64 // the same by callers
	ReleasesDropped       uint64 // releases to callers that were given up before a connection came
	ServerReleasesWaiting int    // releases that wait now for a connection to a server, each server counted
}

// traceFailedAttempt counts an attempt that ended without an answer, and reports it unless the server merely refused it.
func (c *Core) traceFailedAttempt(call *call, outcome elmseam.Outcome, server *server) {
	c.stats.Failures.FailedAttempts[outcome.Cause]++
	switch outcome.Cause {
	case elmseam.CauseFull, elmseam.CauseBusy, elmseam.CauseNotSent:
	default:
		c.emit(Trace{Kind: TraceAttemptFailed, Server: server.Name, ID: call.ID, Attempt: outcome.Attempt, Cause: outcome.Cause})
	}
}

// traceRefusal counts a set-up that the core refused without asking the controller, and reports it.
func (c *Core) traceRefusal(id ID, reason RefusalReason) {
	c.stats.Failures.Refusals[reason]++
	c.emit(Trace{Kind: TraceSetUpRefused, ID: id, Refusal: reason})
}
