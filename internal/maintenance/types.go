// Package maintenance takes softswitches of a tier out for work in an order that they settle among themselves: at most B
// at once, whatever is lost, cut, stopped or started anew.
//
// Who may be out is a lease on one of B slots, granted by a majority of the tier, in the manner of Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (SOSP 1989), and of Trencséni,
// Gazsó and Reinhardt, "PaxosLease: Diskless Paxos for Leases" (2009): nobody has a disk, so who starts anew grants nothing
// until it has learned what it may have granted, or until that has run out. Requests are a record for each member,
// merged like a join semilattice (Shapiro et al., "Conflict-free Replicated Data Types", 2011) and passed on by gossip: they
// survive whoever was asked. docs/MAINTENANCE.md has the whole.
//
// It is a reducer like internal/membership: no I/O, no goroutine, no clock.
package maintenance

import (
	"fmt"
	"time"
)

// Time is an instant of the core's clock. It never runs backwards.
type Time = time.Duration

// Version is the first byte of maintenance's datagrams.
const Version = 0x41

// Slots are the most that can be out at once.
const Slots = 8

// Stage is how far a request is.
type Stage uint8

// The stages. The last two end a request.
const (
	None     Stage = iota
	Waiting        // for its turn
	Draining       // it sends its callers away
	Ready          // for work: nothing is left on it
	Withdrawn
	Done
	numStages
)

var stageNames = [numStages]string{"none", "waiting", "draining", "ready for work", "withdrawn", "done"}

func (s Stage) String() string {
	if s < numStages {
		return stageNames[s]
	}
	return fmt.Sprintf("Stage(%d)", uint8(s))
}

// Ended says whether a request in this stage has ended, or was never made.
func (s Stage) Ended() bool { return s == None || s >= Withdrawn }

// Record is the last request for a member.
type Record struct {
	Generation  uint32 // how many there have been
	RequestedAt uint64 // when, by the clock of who was asked, in milliseconds since the Unix epoch
	Restarts    uint32 // times that it had to begin again
	Stage       Stage
	Slot        uint8  // that it is out by
	Epoch       uint64 // of that grant: a later grant of any slot has a higher one
}

// Merge is what is known after both have been heard. It is commutative, associative and idempotent: whatever order news
// comes in, and however often, all come to the same. Two requests made for one member before either was heard of are one,
// asked at the earlier time.
func Merge(a, b Record) Record {
	if less(a, b) {
		a, b = b, a
	}
	if a.Generation == b.Generation && b.RequestedAt > 0 {
		a.RequestedAt = min(a.RequestedAt, b.RequestedAt)
	}
	return a
}

// less orders records: an end stands over all else of its generation, then a later try, then a later stage.
func less(a, b Record) bool {
	switch {
	case a.Generation != b.Generation:
		return a.Generation < b.Generation
	case a.Stage.Ended() != b.Stage.Ended():
		return b.Stage.Ended()
	case a.Stage.Ended() && a.Stage != b.Stage:
		return a.Stage < b.Stage
	case a.Restarts != b.Restarts:
		return a.Restarts < b.Restarts
	case a.Stage != b.Stage:
		return a.Stage < b.Stage
	case a.Epoch != b.Epoch:
		return a.Epoch < b.Epoch
	}
	return a.Slot < b.Slot
}

// Limits are the times and counts. Check says which make no sense.
type Limits struct {
	Budget        int           // B: members that may be out at once
	Lease         time.Duration // of a member that sends its callers away
	WorkLease     time.Duration // of one that is ready for work: the longest that a machine may stay away and keep its slot
	Round         time.Duration // in which a majority has to answer, and between looks at the queue
	MaxDrift      float64       // share by which clocks may differ in their pace
	Transmissions int           // times that news is passed on
}

// Defaults are limits for the platform.
func Defaults() Limits {
	return Limits{Budget: 1, Lease: 6 * time.Second, WorkLease: 5 * time.Minute, Round: 500 * time.Millisecond, MaxDrift: 0.01, Transmissions: 6}
}

// Check names the first limit that makes no sense.
func (l Limits) Check() error {
	switch {
	case l.Budget < 1 || l.Budget > Slots:
		return fmt.Errorf("budget: %d, not in [1, %d]", l.Budget, Slots)
	case l.Round < 10*time.Millisecond || l.Round > 10*time.Second:
		return fmt.Errorf("round: %v, not in [10ms, 10s]", l.Round)
	case l.Lease < 4*l.Round || l.Lease > time.Hour:
		return fmt.Errorf("lease: %v, not in [4 rounds, 1h]", l.Lease)
	case l.WorkLease < l.Lease || l.WorkLease > 24*time.Hour:
		return fmt.Errorf("work: %v, not in [lease, 24h]", l.WorkLease)
	case !(l.MaxDrift >= 0 && l.MaxDrift <= 0.2):
		return fmt.Errorf("drift: %v, not in [0, 0.2]", l.MaxDrift)
	case l.Transmissions < 1 || l.Transmissions > 64:
		return fmt.Errorf("passes: %d, not in [1, 64]", l.Transmissions)
	}
	return nil
}

// longest is the longest that a grant may still count anywhere, by any clock.
func (l Limits) maxGrantDuration() time.Duration {
	return time.Duration(float64(l.WorkLease)*(1+2*l.MaxDrift)) + 2*l.Round
}

// sure is for how long a holder believes in a lease, from the moment at which it first asked for it.
func (l Limits) safeDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - 2*l.MaxDrift))
}

// Event is something that has happened; see the types below.
type Event interface{ event() }

type (
	// Datagram came from a member, by its number in the tier. The bytes are not kept.
	Datagram struct {
		From int
		Data []byte
	}
	// TimerFired is a timer that has come due.
	TimerFired struct{ Token Token }
	// Request asks for maintenance of members, by their numbers; Cancel withdraws it, or, of one that is out, ends it.
	Request struct{ Members []int }
	Cancel  struct{ Members []int }
	// MemberAvailability says whether a member is held to be there (membership).
	MemberAvailability struct {
		Member    int
		Available bool
	}
	// Drained says that this member, which sends its callers away, has nothing left.
	Drained struct{}
	// Serving says whether this member takes calls: one that is back from work gives its slot back then.
	Serving struct{ Serving bool }
	// SetBudget is another B from now on: where it is lower, no more go out than that, and none is thrown back.
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

// Effect is something to be carried out; see the types below.
type Effect interface{ effect() }

type (
	// Send is a datagram to a member, by its number in the tier.
	Send struct {
		To   int
		Data []byte
	}
	// Timer asks for a Due. None is ever unset.
	Timer struct {
		At    Time
		Token Token
	}
	// Drain has this member send its callers away, or take them back.
	Drain struct{ On bool }
	// RequestChanged says that a member's request is in another stage now.
	RequestChanged struct {
		Member int
		Record Record
	}
)

func (Send) effect()           {}
func (Timer) effect()          {}
func (Drain) effect()          {}
func (RequestChanged) effect() {}

// Token says what a timer is for.
type Token struct {
	kind tokenKind
	seq  uint32
}

type tokenKind uint8

const (
	tokenTick         tokenKind = iota // a look at the queue, and gossip
	tokenResend                        // a round has had half of its time
	tokenRoundTimeout                  // or all of it
	tokenRenew                         // the lease is to be renewed
	tokenExpiry                        // it is over by this member's clock
)

// Counters count what has been done since the start.
type Counters struct {
	Rounds                     uint64 // rounds begun for a slot
	Granted                    uint64 // and won
	Renewed                    uint64
	Expired                    uint64 // leases that ran out here
	VotesGranted, VotesRefused uint64 // answers given as one of the tier
	Sent                       uint64 // datagrams
	SentBytes                  uint64
	Malformed                  uint64 // dropped
	VersionMismatches          uint64
	UnknownSenders             uint64
}

// Grant is what this member, as one of the tier, has granted of a slot.
type Grant struct {
	Holder int // -1: nobody
	Epoch  uint64
	Expiry Time
}

// Status is what operators are shown.
type Status struct {
	Recovered bool // this member knows what it may have granted; until then it grants nothing and takes no request
	Budget    int
	Slot      int // held by this member; -1: none
	Epoch     uint64
	Expiry    Time // by its own clock
	Queue     []int
	Records   []Record
	Grants    []Grant // by slot
	Counters  Counters
}
