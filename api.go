// Package elmseam decides, inside one edge proxy, which core server gets which call set-up.
//
// The embedding proxy makes one Controller from its Settings, hands it every event with the time at
// which it happened, and carries out the actions that come back. Nothing in the package keeps a
// clock, starts a goroutine or does I/O. A Controller is not safe for concurrent use.
package elmseam

import (
	"time"

	"elmseam/internal/shares"
)

// Time is an instant, counted from any fixed start. It never runs backwards. As a start time of a
// core server, zero means long ago.
type Time = time.Duration

// CallID names a call. The caller of Handle picks it and never uses it twice.
type CallID uint32

// ServerID names a core server. It is compared, never interpreted.
type ServerID uint64

// Phase is what the list of core servers says of one of them.
type Phase uint8

// The phases of a listed core server.
const (
	Gone Phase = iota
	Ready
	Draining
)

// LoadMetric is the meaning of one value of a load report.
type LoadMetric uint8

// The figures a load report may hold. FigureUnknown stands for any other one and is skipped.
const (
	LoadMetricUnknown       LoadMetric = iota
	LoadMetricFreeLines                // lines free at the server
	LoadMetricTotalLines               // lines in all
	LoadMetricOutstanding              // messages in work at its processor
	LoadMetricQueue                    // messages waiting there
	LoadMetricUtilisation              // busy share of the processor
	LoadMetricWait                     // wait at its processor, in milliseconds
	LoadMetricRate                     // new set-ups a second it can take from all senders
	LoadMetricHoldBackShare            // share of new set-ups, 0 to 1, that each sender shall hold back
)

// RetryPolicy says when an attempt that may have run can be made again.
type RetryPolicy uint8

// The kinds of repeat.
const (
	RetryAlways  RetryPolicy = iota // always
	RetryGuarded                    // only where the group drops repeats, within a window
	RetryNever                      // never
)

// Class is a class of call.
type Class struct {
	Aim      time.Duration // stands in time for its full worth
	Deadline time.Duration // the caller gives up for good
	Worth    float64
	Retry    RetryPolicy
	Cells    []int // the cells it may be sent to; none listed: any
}

// Tenant is one customer of the deployment, with the calls a second within its share, over all edge proxies.
type Tenant = shares.Tenant

// Settings are what a controller knows of its deployment from the start.
type Settings struct {
	Classes            []Class
	Tenants            []Tenant
	OverShareWorth     float64       // worth of a call beyond its tenant's share
	ReportMetrics      []LoadMetric  // the values of a load report, in order
	MaxAttempts        int           // attempts a call may have
	MaxRetryAfter      time.Duration // longest wait callers are told; 0: they get no hint
	CanCancel          bool          // Cancel is permitted
	OwnCell            int           // own cell in a mesh, where nothing may be sent; else -1
	RetransmitInterval time.Duration // a waiting set-up is sent again after this; 0: never
	ReleaseGuard       time.Duration // wait before a call whose attempt ended badly is sent again
	ColdInitialShare   float64       // share of its capacity at which a core server starts
	ColdRamp           time.Duration // and the time by which it is warm
	OverloadMultiple   float64       // more than this times its capacity, for TipAfter, tips it over
	OverloadAfter      time.Duration
	ListOnRequest      bool // the list comes only when asked for
}

// ListEntry is one core server of a list.
type ListEntry struct {
	Server  ServerID
	Cell    int // its number: what calls name as their first choice
	Phase   Phase
	Started Time
}

// Cause says how an attempt ended.
type Cause uint8

// The ways for an attempt to end. CauseFull, CauseUnreachable and CauseNotSent prove it never ran.
const (
	CauseEnded       Cause = iota // the call has ended
	CauseBusy                     // all lines of the number busy, or a signalling fault
	CauseFull                     // turned away
	CauseTimeout                  // no answer in time
	CauseUnreachable              // no connection
	CauseReset                    // cut
	CauseCancelled                // called off
	CauseNotSent                  // not sent at all
)

// Refusal details an outcome of CauseFull or CauseBusy.
type Refusal uint8

// The refusals that matter.
const (
	RefusalOther     Refusal = iota
	RefusalProcessor         // the core server's processor was full
	RefusalNumber            // all lines of the number called were busy
)

// Report is one load report, its values in the order of Settings.Report; empty: none came.
type Report []float64

// Event is something that happened; see the types below.
type Event interface{ event() }

type (
	// ListFull is the complete list of core servers; Cached if held from before a restart.
	ListFull struct {
		Entries []ListEntry
		Cached  bool
	}
	// ListDelta holds the entries of the list that changed.
	ListDelta struct{ Entries []ListEntry }
	// ListFailed says that asking for the list failed.
	ListFailed struct{}
	// Arrival is a call that now needs exactly one final answer.
	Arrival struct {
		Call        CallID
		Class       int
		Tenant      int    // its place in Settings.Tenants; any other: none that is known
		Number      uint64 // the number called; 0: none
		Cell        int    // cell of first choice; -1: none
		Interrupted bool   // it was cut and comes again
		Transit     bool   // it may go to Cell only
		TimeLeft    time.Duration
	}
	// Established says that a call stands.
	Established struct {
		Call      CallID
		Server    ServerID
		SetUpTime time.Duration
	}
	// Outcome is the end of an attempt. Final is set when the call needs no further answer.
	Outcome struct {
		Call    CallID
		Server  ServerID
		Attempt int
		Cause   Cause
		Refusal Refusal
		Wait    time.Duration // named by a full processor; 0: none
		Report  Report
		Final   bool
	}
	// CallerGone says that the caller has left.
	CallerGone struct{ Call CallID }
	// TimerFired is a timer that has come due.
	TimerFired struct{ Token uint32 }
	// Health is a report that came by itself or by a probe; OK is false if the probe failed.
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

// Action is something the edge proxy shall do; see the types below.
type Action interface{ action() }

type (
	// Send starts an attempt. It times out after Timeout; 0: when the caller gives up.
	Send struct {
		Call    CallID
		Server  ServerID
		Timeout time.Duration
	}
	// Refuse is a final answer; RetryAfter of 0 gives no hint.
	Refuse struct {
		Call       CallID
		RetryAfter time.Duration
	}
	// Fail is a final answer: given up.
	Fail struct{ Call CallID }
	// Cancel stops the wait for an attempt.
	Cancel struct {
		Call    CallID
		Attempt int
	}
	// SetTimer asks for a Wake.
	SetTimer struct {
		Token uint32
		At    Time
	}
	// Subscribe asks for changes of the list.
	Subscribe struct{}
)

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
