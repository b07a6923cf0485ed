// Package budget moves units of the budgets of cold servers between the softswitches of a tier. A cold server has
// just started and ramps up (slow start), so the tier as a whole may send it only a limited rate of set-ups; each
// member's portion of that budget is its quota. Available members use the units that dead members leave, busy members
// use units that idle members do not need, and all members together never use more than the whole budget.
//
// Each member's quota is cut into Units units. The first unit is reserved: only its owner ever uses it. Each other
// unit is a lease that a majority of the tier grants, in the manner of Gray and Cheriton, "Leases: An Efficient
// Fault-Tolerant Mechanism for Distributed File Cache Consistency" (SOSP 1989), without a disk as in Trencséni, Gazsó
// and Reinhardt, "PaxosLease" (2009). The majority grants a unit to its owner or, when the owner's lease has expired
// and the owner is not available, to a successor. A unit that its owner holds by such a lease may be lent until that
// lease ends at most. A loan is escrow between two members (O'Neil, "The Escrow Transactional Method", TODS 1986; Barbará
// and Garcia-Molina, "The Demarcation Protocol", 1992) and needs no third one. docs/BUDGET.md describes the whole
// protocol.
//
// The package is a reducer like internal/maintenance: a state machine without I/O, goroutines or a clock.
package budget

import (
	"fmt"
	"math/bits"
	"time"

	"elmseam/internal/datagram"
)

// Time is an instant on the core's clock. It never runs backwards.
type Time = time.Duration

// Version is the first byte of the datagrams. It names the protocol and its version.
const Version = 0x42

// Units is the number of units in a member's quota. The first unit never moves.
const Units = 8

// Mask is a set of units of one quota; the lowest bit is the first unit.
type Mask uint8

// Count returns the number of units in the set.
func (m Mask) Count() int { return bits.OnesCount8(uint8(m)) }

// The units of a quota, by whether they can move.
const (
	reservedUnit      Mask = 1                           // used only by the owner of the quota
	transferableUnits Mask = 1<<Units - 1 - reservedUnit // leased, may move to other members
)

// Limits holds the times and counts of the budget protocol. Check reports invalid ones.
type Limits struct {
	// Lease is the duration of a grant of a unit. Units of a dead member become available to others after it.
	Lease time.Duration
	// MaxDrift is the max share by which the pace of two members' clocks may differ.
	MaxDrift float64
	// MaxMembers is the max size of a tier in which units move. In a larger tier a unit would be a small fraction of
	// a set-up, so its quotas stay fixed.
	MaxMembers int
	// MaxServers is the max number of cold servers that are handled at the same time; further ones are ignored.
	MaxServers int
}

// Defaults returns the limits for the platform.
func Defaults() Limits {
	return Limits{Lease: 2 * time.Second, MaxDrift: 0.01, MaxMembers: 32, MaxServers: 12}
}

// Check returns an error that names the first invalid limit.
func (l Limits) Check() error {
	switch {
	case l.Lease < 200*time.Millisecond || l.Lease > time.Minute:
		return fmt.Errorf("lease: %v, not in [200ms, 1m]", l.Lease)
	case !(l.MaxDrift >= 0 && l.MaxDrift <= 0.2):
		return fmt.Errorf("drift: %v, not in [0, 0.2]", l.MaxDrift)
	case l.MaxMembers < 1 || l.MaxMembers > 32:
		return fmt.Errorf("members: %d, not in [1, 32]", l.MaxMembers) // a claim for units of all quotas has to fit in one datagram
	case l.MaxServers < 1 || l.MaxServers > 12:
		return fmt.Errorf("servers: %d, not in [1, 12]", l.MaxServers)
	}
	return nil
}

// roundInterval is the mean time between rounds of claims. A lease is claimed again about three times before it ends, so
// it outlasts two lost rounds.
func (l Limits) roundInterval() time.Duration { return l.Lease / 4 }

// holderLeaseDuration returns how long a holder relies on a lease or loan, counted from its request.
func (l Limits) holderLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - 2*l.MaxDrift))
}

// recoveryTime is the max time for which a grant of an earlier incarnation may count at any member, by any clock.
func (l Limits) recoveryTime() time.Duration {
	return time.Duration(float64(l.Lease)*(1+2*l.MaxDrift)) + l.roundInterval()
}

// Config configures a Reducer.
type Config struct {
	Self, TierSize int // index of this member in the tier; number of members
	Limits         Limits
	// Seed seeds the random jitter of the rounds.
	Seed uint64
	// DisabledGuards is the set of guards to switch off, for tests that have to see a violation; no program sets it.
	DisabledGuards Guard
}

// Guard is a set of parts of the protocol that a test can switch off.
type Guard uint8

// The guards, each with the behaviour of the protocol when the guard is on.
const (
	GuardExpiry      Guard = 1 << iota // a lease or loan ends on the holder's clock, counted from its request
	GuardExclusive                     // a unit granted to one member is refused to all others
	GuardIncarnation                   // a restarted member does not count as the holder of grants to its earlier incarnation
	GuardRecover                       // a restarted member grants nothing until the grants of its earlier incarnation have expired
	GuardLoan                          // a lender does not use the units that it has lent
)

// Event is an input of the reducer. The types below implement it.
type Event interface{ event() }

type (
	// Datagram is a datagram of this protocol from the member with the index From. The reducer keeps no reference to
	// Data.
	Datagram struct {
		From int
		Data []byte
	}
	// TimerFired says that a requested timer fires.
	TimerFired struct{ Token Token }
	// MemberAvailability says whether membership considers a member available.
	MemberAvailability struct {
		Member    int
		Available bool
	}
	// ColdServer says that a server, identified by the hash of its name and its start, is cold until the time
	// ColdUntil. Rate, in set-ups a second of the warm server, is this member's whole quota of the server's budget.
	// The rate applies until ColdUntil unless a later event gives a greater rate. Events with a negative rate, with
	// ColdUntil in the past, or for more than MaxServers servers are ignored.
	ColdServer struct {
		Server    uint32
		Rate      float64
		ColdUntil Time
	}
	// Demand says how much of the budgets this member could use now, in multiples of its own quota: 1 is all of its
	// quota, 2 twice as much.
	Demand struct{ Quotas float64 }
)

func (Datagram) event()           {}
func (TimerFired) event()         {}
func (MemberAvailability) event() {}
func (ColdServer) event()         {}
func (Demand) event()             {}

// Effect is an output of the reducer, to be carried out by the caller. The types below implement it.
type Effect interface{ effect() }

type (
	// Send sends a datagram to the member with the index To.
	Send struct {
		To   int
		Data []byte
	}
	// Timer requests a TimerFired event with the token at the time At. Timers are never cancelled.
	Timer struct {
		At    Time
		Token Token
	}
)

func (Send) effect()  {}
func (Timer) effect() {}

// Token identifies a requested timer.
type Token struct{ seq uint32 }

// Counters counts events since this member's start.
type Counters struct {
	Claims                     uint64 // rounds of claims sent
	Granted                    uint64 // units that a majority granted to this member, renewals not included
	TakenOver                  uint64 // units counted in Granted that belong to other members' quotas
	Expired                    uint64 // held units whose lease expired
	Borrowed                   uint64 // units received in loans, renewals included
	Lent                       uint64 // units given in loans, renewals included
	VotesGranted, VotesRefused uint64 // units granted and refused in answers to claims of other members
	Sent                       uint64 // datagrams sent
	SentBytes                  uint64 // bytes of these datagrams
	Malformed                  uint64 // datagrams dropped as malformed or of another version
	UnknownSenders             uint64 // datagrams dropped because the sender is no other member or its tier has another size
}

// Quota is this member's knowledge of one member's quota.
type Quota struct {
	Usable Mask // units that this member may use now
	Lent   Mask // units that this member has lent, if the quota is its own
	// Grants holds the grants of the quota's units that this member, as a voter, has made, by unit.
	Grants [Units]Grant
}

// Grant is the grant of a unit that this member, as a voter, has made.
type Grant struct {
	Holder      int    // index of the member; -1: none
	Incarnation uint64 // of that holder
	Seq         uint32 // number of the claim that was granted
	Expiry      Time   // end of the grant on this member's clock
}

// message is the content of a datagram. It is sent as a CBOR array.
type message struct {
	_             struct{} `cbor:",toarray"`
	Kind          messageKind
	TierSize      uint16  // number of members in the sender's tier
	Seq           uint32  // number of the claim or loan request, repeated in its answers
	Incarnation   uint64  // of the sender
	LendableCount uint8   // number of units of its own quota that the sender could lend
	Items         []int64 // depends on the kind
	QuotaRates    []int64 // sender's whole quotas, in pairs: hash of the server, rate in thousandths of a set-up a second
}

// messageKind is the kind of a message. Its values are part of the format.
type messageKind uint8

// The kinds of budget messages, with the meaning of Items.
const (
	kindClaim  messageKind = iota // claims units; Items: owner<<Units | units, for each quota
	kindGrant                     // answers a claim; Items: the granted units in the same form
	kindReturn                    // gives back units of a claim; Items: in the same form
	kindBorrow                    // requests a loan; Items: number of additional units, mask of borrowed units to renew
	kindLend                      // grants a loan; Items: mask of units, duration in milliseconds
	numKinds                      // number of kinds
)

// loanItemCount is the number of items of kindBorrow and kindLend.
const loanItemCount = 2

// decode decodes a datagram received in a tier of tierSize members. An invalid field makes the whole datagram
// malformed. The error is datagram.ErrMalformed or datagram.ErrVersion.
func decode(data []byte, tierSize int) (msg message, err error) {
	if err := datagram.Decode(data, Version, datagram.MaxSize, &msg); err != nil {
		return msg, err
	}
	malformed := msg.Kind >= numKinds || msg.Incarnation == 0 || len(msg.QuotaRates)%2 != 0 || msg.Kind >= kindBorrow && len(msg.Items) != loanItemCount
	for i, item := range msg.Items {
		switch msg.Kind {
		case kindClaim, kindGrant, kindReturn:
			malformed = malformed || item < 0 || item>>Units >= int64(tierSize) || Mask(item)&reservedUnit != 0
		default:
			malformed = malformed || item < 0 || item > int64(time.Hour/time.Millisecond) || msg.Kind == kindLend && i == 0 && Mask(item)&^transferableUnits != 0
		}
	}
	for i := 0; i+1 < len(msg.QuotaRates); i += 2 {
		malformed = malformed || msg.QuotaRates[i] < 0 || msg.QuotaRates[i] > 1<<32-1 || msg.QuotaRates[i+1] < 0 || msg.QuotaRates[i+1] > 1e9
	}
	if malformed {
		return msg, datagram.ErrMalformed
	}
	return msg, nil
}
