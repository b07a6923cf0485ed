// Package elmseam decides, inside one softswitch, which server gets which call set-up.
//
// The embedding softswitch makes one Controller from its Settings, hands it every event with the time at
// which the event happened, and carries out the returned actions. The package reads no clock, starts no
// goroutine and does no I/O. A Controller is not safe for concurrent use.
package elmseam

import (
	"time"

	"elmseam/internal/shares"
)

// Time is an instant, counted from any fixed origin. Time never runs backwards. A server start time of zero
// means that the server started long ago.
type Time = time.Duration

// CallID identifies a call. The embedding softswitch chooses it and never uses it twice.
type CallID uint32

// ServerID identifies a server. The package compares it and does not interpret it.
type ServerID uint64

// Phase is the state of a server in the server list.
type Phase uint8

// The phases of a server. A list entry with PhaseGone marks a server that leaves the list.
const (
	PhaseGone     Phase = iota // removed from the list
	PhaseReady                 // takes new calls
	PhaseDraining              // takes no new calls
)

// LoadMetric is the meaning of one value of a load report.
type LoadMetric uint8

// The metrics that a load report may hold. LoadMetricUnknown stands for any other metric. The decisions use
// the lines, the wait, the rate and the hold-back share; the other metrics are skipped.
const (
	LoadMetricUnknown       LoadMetric = iota
	LoadMetricFreeLines                // free lines of the server
	LoadMetricTotalLines               // all lines of the server, free or not
	LoadMetricOutstanding              // messages that the server's processor is handling
	LoadMetricQueue                    // messages that wait for the server's processor
	LoadMetricUtilisation              // busy share of the server's processor
	LoadMetricWait                     // wait for the server's processor, in milliseconds
	LoadMetricRate                     // new set-ups per second that the server takes from all softswitches
	LoadMetricHoldBackShare            // share of new set-ups, 0 to 1, that each softswitch is to hold back
)

// RetryPolicy says when an attempt that may have run at a server can be retried.
type RetryPolicy uint8

// The retry policies, by when a retry is safe. As no setting says which groups drop duplicates,
// the controller treats RetryGuarded like RetryNever.
const (
	RetryAlways  RetryPolicy = iota // always
	RetryGuarded                    // only where the server group drops duplicates, within a window
	RetryNever                      // never
)

// Class describes a class of calls.
type Class struct {
	Aim      time.Duration // a call that is established within this time has its full worth
	Deadline time.Duration // time after which the caller gives up for good
	Worth    float64       // worth of a call, in units shared by all classes
	Retry    RetryPolicy   // when an attempt that may have run can be retried
	Cells    []int         // cells that calls of the class may be sent to; empty, or in a mesh: any cell
}

// Tenant is one customer of the deployment. Its allowance is the call rate within its share, in calls per
// second over all softswitches.
type Tenant = shares.Tenant

// Settings describe the deployment of a Controller.
type Settings struct {
	Classes            []Class       // classes of calls; at least one
	Tenants            []Tenant      // customers with an allowance
	OverShareWorth     float64       // worth of a call beyond its tenant's share
	ReportMetrics      []LoadMetric  // metrics of the values of a load report, in their order
	MaxAttempts        int           // maximum number of attempts per call; 0 counts as 1
	MaxRetryAfter      time.Duration // longest retry-after hint for callers; 0: callers get no hint
	CanCancel          bool          // whether the Cancel action is permitted
	OwnCell            int           // own cell in a mesh, which gets no set-ups; -1 outside a mesh
	RetransmitInterval time.Duration // wait before an unanswered set-up is sent again; 0: it never is
	ReleaseGuard       time.Duration // wait before a call is sent again whose attempt was reset or cancelled
	ColdInitialShare   float64       // share of its capacity, 0 to 1, at which a cold server starts
	ColdRamp           time.Duration // time from the start of a server until it is warm
	OverloadMultiple   float64       // load above this multiple of its capacity overloads a server
	OverloadAfter      time.Duration // time for which the load must stay above OverloadMultiple
	ListOnRequest      bool          // whether the server list comes only after a Subscribe action
}

// ListEntry describes one server of the server list.
type ListEntry struct {
	Server  ServerID
	Cell    int   // the server's cell number, which a call names as its first choice
	Phase   Phase // state of the server
	Started Time  // start of the server's process; 0: long ago
}

// Cause says how an attempt ended.
type Cause uint8

// The causes. CauseFull, CauseUnreachable and CauseNotSent prove that the attempt never ran.
const (
	CauseEnded       Cause = iota // the call has ended
	CauseBusy                     // all lines of the called number are busy, or a signalling fault
	CauseFull                     // the server refused the set-up for want of capacity
	CauseTimeout                  // no answer in time
	CauseUnreachable              // no connection to the server
	CauseReset                    // the connection was cut
	CauseCancelled                // the attempt was cancelled
	CauseNotSent                  // the set-up was not sent
)

// Refusal details an outcome of CauseFull or CauseBusy.
type Refusal uint8

// The refusals that the decisions distinguish.
const (
	RefusalOther     Refusal = iota // any other refusal
	RefusalProcessor                // the server's processor was full
	RefusalNumber                   // all lines of the called number were busy
)

// Report is one load report, with values in the order of Settings.ReportMetrics, or empty if no report came.
// A negative value stands for a metric that was not reported.
type Report []float64

// Event is an input of Controller.Handle; the types below implement it.
type Event interface{ event() }

type (
	// ListFull is the complete server list. Cached is set if the list was kept from before a restart.
	ListFull struct {
		Entries []ListEntry
		Cached  bool
	}
	// ListDelta holds the changed entries of the server list.
	ListDelta struct{ Entries []ListEntry }
	// ListFailed says that the request for the server list failed.
	ListFailed struct{}
	// Arrival is a new call, which needs exactly one final answer.
	Arrival struct {
		Call        CallID
		Class       int           // index in Settings.Classes; any other value counts as 0
		Tenant      int           // index in Settings.Tenants; any other value: an unknown tenant
		Number      uint64        // called number; 0: none
		Cell        int           // cell of the first choice; -1: none
		Interrupted bool          // the call was established before, was cut and is set up again
		Transit     bool          // the call may be sent to Cell only
		TimeLeft    time.Duration // time until the caller gives up
	}
	// Established says that a call is established.
	Established struct {
		Call      CallID
		Server    ServerID
		SetUpTime time.Duration // time from the sending of the set-up to the server's answer
	}
	// Outcome is the end of an attempt or of an established call. Final is set if the call needs no further
	// answer.
	Outcome struct {
		Call    CallID
		Server  ServerID
		Attempt int // index of the attempt within the call, from 0
		Cause   Cause
		Refusal Refusal
		Wait    time.Duration // wait that a full processor asks for; 0: none
		Report  Report
		Final   bool
	}
	// CallerGone says that the caller has left.
	CallerGone struct{ Call CallID }
	// TimerFired says that the time of a SetTimer action has come.
	TimerFired struct{ Token uint32 }
	// Health is a load report that came unasked or as the answer to a probe. OK is false if the probe failed.
	Health struct {
		Server ServerID
		OK     bool
		Report Report
	}
)

func (ListFull) event()    {}
func (ListDelta) event()   {}
func (ListFailed) event()  {}
func (Arrival) event()     {}
func (Established) event() {}
func (Outcome) event()     {}
func (CallerGone) event()  {}
func (TimerFired) event()  {}
func (Health) event()      {}

// Action is an output of Controller.Handle that the softswitch carries out; the types below implement it.
type Action interface{ action() }

type (
	// Send starts an attempt, which times out after Timeout. With a Timeout of 0 the attempt times out when
	// the caller gives up.
	Send struct {
		Call    CallID
		Server  ServerID
		Timeout time.Duration
	}
	// Refuse is the final answer of a call that is refused. A RetryAfter of 0 gives the caller no hint.
	Refuse struct {
		Call       CallID
		RetryAfter time.Duration
	}
	// Fail is the final answer of a call that failed and may have run at a server.
	Fail struct{ Call CallID }
	// Cancel ends the wait for an attempt, which is named by its index within the call, from 0.
	Cancel struct {
		Call    CallID
		Attempt int
	}
	// SetTimer asks for a TimerFired event with the same token at the given time.
	SetTimer struct {
		Token uint32
		At    Time
	}
	// Subscribe asks for the server list and its changes.
	Subscribe struct{}
)

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
