// Package maintenance takes softswitches of a tier out of service for maintenance, in an order that the members agree
// on: at most B at once, under any loss, partition, pause or restart.
//
// The right to be out of service is a lease on one of B slots, granted by a majority of the tier, as in Gray and
// Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (SOSP 1989), and
// in Trencséni, Gazsó and Reinhardt, "PaxosLease: Diskless Paxos for Leases" (2009). No member has a disk, so a
// member that restarts grants nothing until it knows what its earlier process may have granted, or until those grants
// have expired. Requests are one record per member, merged as a join semilattice (Shapiro et al., "Conflict-free
// Replicated Data Types", 2011) and spread by gossip, so that they survive the loss of the member that accepted them.
// docs/MAINTENANCE.md describes the whole protocol.
//
// The package is a reducer like internal/membership: no I/O, no goroutine, no clock.
package maintenance

import (
	"fmt"
	"time"
)

// Time is an instant of the core's clock. It never runs backwards.
type Time = time.Duration

// Version is the first byte of the datagrams of the maintenance protocol. Datagrams with another first byte are
// counted and dropped.
const Version = 0x41

// MaxSlots is the number of slots, and the maximum of the budget B (see Limits.Budget).
const MaxSlots = 8

// Stage is the progress of a maintenance request.
type Stage uint8

// The stages of a request. The last two end it.
const (
	StageNone      Stage = iota // no request was made
	StageWaiting                // in the queue
	StageDraining               // holds a slot, and sends its callers away
	StageReady                  // holds a slot and has no calls left: the work may begin
	StageWithdrawn              // cancelled before the member was ready for work
	StageDone                   // the work is finished
	numStages
)

var stageNames = [numStages]string{"none", "waiting", "draining", "ready for work", "withdrawn", "done"}

// String returns the name of the stage, as /ops/maintenance prints it.
func (s Stage) String() string {
	if s < numStages {
		return stageNames[s]
	}
	return fmt.Sprintf("Stage(%d)", uint8(s))
}

// Ended reports whether a request in this stage has ended, or was never made.
func (s Stage) Ended() bool { return s == StageNone || s >= StageWithdrawn }

// Limits are the times and counts of the maintenance protocol. Check reports an invalid value.
type Limits struct {
	Budget        int           // B, the maximum number of members out of service at once
	Lease         time.Duration // lease of a draining member
	WorkLease     time.Duration // lease of a member that is ready for work: the longest absence during which it keeps its slot
	RoundTimeout  time.Duration // time for a majority to answer a round, and interval of ticks
	MaxDrift      float64       // maximum difference between the rates of two clocks, as a share
	Transmissions int           // number of times that a changed record or a release is sent again after its first transmission
}

// Defaults returns the limits for a tier on the platform.
func Defaults() Limits {
	return Limits{Budget: 1, Lease: 6 * time.Second, WorkLease: 5 * time.Minute, RoundTimeout: 500 * time.Millisecond, MaxDrift: 0.01, Transmissions: 6}
}

// Check returns an error that names the first invalid limit, or nil.
func (l Limits) Check() error {
	switch {
	case l.Budget < 1 || l.Budget > MaxSlots:
		return fmt.Errorf("budget: %d, not in [1, %d]", l.Budget, MaxSlots)
	case l.RoundTimeout < 10*time.Millisecond || l.RoundTimeout > 10*time.Second:
		return fmt.Errorf("round: %v, not in [10ms, 10s]", l.RoundTimeout)
	case l.Lease < 4*l.RoundTimeout || l.Lease > time.Hour:
		return fmt.Errorf("lease: %v, not in [4 rounds, 1h]", l.Lease)
	case l.WorkLease < l.Lease || l.WorkLease > 24*time.Hour:
		return fmt.Errorf("work: %v, not in [lease, 24h]", l.WorkLease)
	case !(l.MaxDrift >= 0 && l.MaxDrift <= 0.2):
		return fmt.Errorf("drift: %v, not in [0, 0.2]", l.MaxDrift)
	case l.Transmissions < 1 || l.Transmissions > 64:
		return fmt.Errorf("transmissions: %d, not in [1, 64]", l.Transmissions)
	}
	return nil
}

// maxGrantDuration returns the longest time for which any grant may be in force by any clock: the work lease
// lengthened by the clock drift, plus two rounds.
func (l Limits) maxGrantDuration() time.Duration {
	return time.Duration(float64(l.WorkLease)*(1+2*l.MaxDrift)) + 2*l.RoundTimeout
}

// holderLeaseDuration returns how long a holder relies on a lease, counted from its first request for the lease: the
// duration shortened by the clock drift.
func (l Limits) holderLeaseDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - 2*l.MaxDrift))
}

// Event is an input of the reducer: one of the types below.
type Event interface{ event() }

type (
	// Datagram is a datagram of this protocol, received from the member with index From. The reducer does not keep Data.
	Datagram struct {
		From int
		Data []byte
	}
	// TimerFired reports that a timer requested by a Timer effect has fired.
	TimerFired struct{ Token Token }
	// Request requests maintenance of the members with these indexes, except those with a request that has not ended. It is
	// ignored until this member has recovered.
	Request struct{ Members []int }
	// Cancel withdraws the requests for the members with these indexes. For a member that is ready for work it reports that
	// the work is done.
	Cancel struct{ Members []int }
	// MemberAvailability reports whether a member is available, as detected by internal/membership.
	MemberAvailability struct {
		Member    int
		Available bool
	}
	// Drained reports that this member, which is draining, has no calls left.
	Drained struct{}
	// Serving reports whether this member accepts calls. A member that is back from work releases its slot then.
	Serving struct{ Serving bool }
	// SetBudget changes the budget B. After a reduction the members that are out of service stay out, and no other one
	// starts until fewer than the new budget are out. A budget not in [1, MaxSlots] is ignored.
	SetBudget struct{ Budget int }
)

func (Datagram) event()           {}
func (TimerFired) event()         {}
func (Request) event()            {}
func (Cancel) event()             {}
func (MemberAvailability) event() {}
func (Drained) event()            {}
func (Serving) event()            {}
func (SetBudget) event()          {}

// Effect is an output of the reducer that the caller carries out: one of the types below.
type Effect interface{ effect() }

type (
	// Send sends a datagram to the member with index To.
	Send struct {
		To   int
		Data []byte
	}
	// Timer requests a TimerFired event with this token at a time. Timers are never cancelled.
	Timer struct {
		At    Time
		Token Token
	}
	// Drain makes this member start (On) or stop draining.
	Drain struct{ On bool }
	// RequestChanged reports that the record of a member changed.
	RequestChanged struct {
		Member int
		Record Record
	}
)

func (Send) effect()           {}
func (Timer) effect()          {}
func (Drain) effect()          {}
func (RequestChanged) effect() {}

// Token identifies the purpose of a timer.
type Token struct {
	kind tokenKind
	seq  uint32 // number of the tick, or of the round
}

// tokenKind is the purpose of a timer.
type tokenKind uint8

// The purposes of timers.
const (
	tokenTick         tokenKind = iota // tick: look at the queue, gossip records
	tokenResend                        // half of the round has passed: repeat the unanswered requests
	tokenRoundTimeout                  // the round has timed out
	tokenRenew                         // the lease is due for renewal
	tokenExpiry                        // the lease expires by the clock of this member
)

// Counters count what the maintenance protocol has done since the start of this member.
type Counters struct {
	Rounds                     uint64 // rounds started to get or renew a slot
	Granted                    uint64 // slots obtained
	Renewed                    uint64 // renewals of leases
	Expired                    uint64 // leases of this member that expired before it renewed or released them
	VotesGranted, VotesRefused uint64 // votes of this member on requests for slots
	Sent                       uint64 // datagrams sent
	SentBytes                  uint64
	Malformed                  uint64 // datagrams dropped as damaged, truncated, too long or invalid
	VersionMismatches          uint64 // datagrams dropped for another protocol version
	UnknownSenders             uint64 // datagrams dropped because the sender is no member of the tier, or its tier has another size
}

// Grant is what this member, as a voter, has granted of one slot.
type Grant struct {
	Holder int // index of the holder; -1: none; -2: not known which member
	Epoch  uint64
	Expiry Time
}

// Status is the state of the protocol as shown to operators.
type Status struct {
	Recovered bool // this member knows what it may have granted; until then it grants nothing and accepts no request
	Budget    int
	Slot      int // slot held by this member; -1: none
	Epoch     uint64
	Expiry    Time     // of the lease, by the clock of this member
	Queue     []int    // indexes of the waiting members, in their order
	Records   []Record // by index of the member
	Grants    []Grant  // by slot
	Counters  Counters
}
