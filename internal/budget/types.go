// Package budget moves parts of a just-started server's budget between the softswitches of a tier, so that those who are
// there may use what the dead leave and the busy what the idle don't need, and all together never use more than the whole.
//
// Each member's part is cut into Units. The first is sure: it is the owner's, always, and nobody else's ever. Each other
// one is a lease that a majority of the tier grants, in the manner of Gray and Cheriton, "Leases: An Efficient
// Fault-Tolerant Mechanism for Distributed File Cache Consistency" (SOSP 1989), without a disk as in Trencséni, Gazsó and
// Reinhardt, "PaxosLease" (2009): to its owner, or, when that one's lease has run out and it is not there, to an heir. What
// an owner holds by such a lease it may lend for a shorter time: escrow between two (O'Neil, "The Escrow Transactional
// Method", TODS 1986; Barbará and Garcia-Molina, "The Demarcation Protocol", 1992), which needs no third.
// docs/BUDGET.md has the whole.
//
// It is a reducer like internal/maintenance: no I/O, no goroutine, no clock.
package budget

import (
	"fmt"
	"math/bits"
	"time"

	"elmseam/internal/datagram"
)

// Time is an instant of the core's clock. It never runs backwards.
type Time = time.Duration

// Version is the first byte of the datagrams.
const Version = 0x42

// Units are the pieces of a member's part. The first never moves.
const Units = 8

// Mask names units of one part, the first by its lowest bit.
type Mask uint8

// Count is how many units are named.
func (m Mask) Count() int { return bits.OnesCount8(uint8(m)) }

const (
	reservedUnit      Mask = 1
	transferableUnits Mask = 1<<Units - 1 - reservedUnit
)

// Limits are the times and counts. Check says which make no sense.
type Limits struct {
	Lease      time.Duration // of a unit: what a dead member leaves can be had after it
	MaxDrift   float64       // share by which clocks may differ in their pace
	MaxMembers int           // tiers of more keep fixed parts: each is a fraction of a set-up there
	MaxServers int           // cold ones at once
}

// Defaults are limits for the platform.
func Defaults() Limits {
	return Limits{Lease: 2 * time.Second, MaxDrift: 0.01, MaxMembers: 32, MaxServers: 12}
}

// Check names the first limit that makes no sense.
func (l Limits) Check() error {
	switch {
	case l.Lease < 200*time.Millisecond || l.Lease > time.Minute:
		return fmt.Errorf("lease: %v, not in [200ms, 1m]", l.Lease)
	case !(l.MaxDrift >= 0 && l.MaxDrift <= 0.2):
		return fmt.Errorf("drift: %v, not in [0, 0.2]", l.MaxDrift)
	case l.MaxMembers < 1 || l.MaxMembers > 32:
		return fmt.Errorf("members: %d, not in [1, 32]", l.MaxMembers) // a claim of all parts fits a datagram
	case l.MaxServers < 1 || l.MaxServers > 12:
		return fmt.Errorf("servers: %d, not in [1, 12]", l.MaxServers)
	}
	return nil
}

// round is the time between claims: three of them may be lost within a lease.
func (l Limits) roundInterval() time.Duration { return l.Lease / 4 }

// sure is for how long a holder believes in a lease, from the moment at which it asked for it.
func (l Limits) safeDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - 2*l.MaxDrift))
}

// longest is the longest that a grant of an earlier life may count anywhere, by any clock.
func (l Limits) recoveryTime() time.Duration {
	return time.Duration(float64(l.Lease)*(1+2*l.MaxDrift)) + l.roundInterval()
}

// Config is what a member is told.
type Config struct {
	Self, TierSize int // the own number, and how many members there are
	Limits         Limits
	Seed           uint64
	DisabledGuards Guard // taken out, for checks that have to see a rule broken; no program sets it
}

// Guard names a part of the protocol that a check can take out.
type Guard uint8

// The guards.
const (
	GuardExpiry      Guard = 1 << iota // what is held ends by the own clock, from when it was asked for
	GuardExclusive                     // a unit granted to one is refused to others
	GuardIncarnation                   // a member that starts anew is another than the one before
	GuardRecover                       // who starts anew grants nothing until what it may have granted is over
	GuardLoan                          // what is lent is not used
)

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
	// MemberAvailability says whether a member is held to be there (membership).
	MemberAvailability struct {
		Member    int
		Available bool
	}
	// ColdServer says that a server, by the hash of its name and its start, is cold until a time, and what rate, in set-ups a
	// second, this member's own whole part of it is: it holds for all of that time, unless a greater one is told.
	ColdServer struct {
		Server uint32
		Rate   float64
		Until  Time
	}
	// Demand says how much of its own part this member could use now: 1, all of it; 2, twice as much.
	Demand struct{ Quotas float64 }
)

func (Datagram) event()           {}
func (TimerFired) event()         {}
func (MemberAvailability) event() {}
func (ColdServer) event()         {}
func (Demand) event()             {}

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
)

func (Send) effect()  {}
func (Timer) effect() {}

// Token says what a timer is for.
type Token struct{ seq uint32 }

// Counters count what has been done since the start.
type Counters struct {
	Claims                     uint64 // rounds
	Granted                    uint64 // units that a majority granted anew
	TakenOver                  uint64 // of those, units of others' parts
	Expired                    uint64 // units whose lease ran out here
	Borrowed                   uint64
	Lent                       uint64
	VotesGranted, VotesRefused uint64 // units in answers to others' claims
	Sent                       uint64 // datagrams
	SentBytes                  uint64
	Malformed                  uint64 // dropped
	UnknownSenders             uint64 // dropped: of a tier of another size, or from nobody of it
}

// Quota is what is known here of one member's part.
type Quota struct {
	Usable Mask // units that this member may use now
	Lent   Mask // of its own, to others
	Grants [Units]Grant
}

// Grant is what this member, as one of the tier, has granted of a unit.
type Grant struct {
	Holder      int // -1: nobody
	Incarnation uint64
	Seq         uint32
	Expiry      Time
}

// message is what a datagram holds.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        kind
	Tier        uint16
	Seq         uint32 // of the claim, or of the loan asked for
	Incarnation uint64 // of the sender
	Lendable    uint8  // units of its own that the sender could lend
	Items       []int64
	Rates       []int64 // of the sender's part: server, thousandths of a set-up a second
}

type kind uint8

const (
	kindClaim  kind = iota // Items: part<<Units | units
	kindGrant              // those of a claim that are granted
	kindReturn             // those of a claim that are not wanted after all
	kindBorrow             // Items: how many units, those that are to be prolonged
	kindLend               // Items: units, for how many milliseconds
	kindCount
)

const loanItems = 2

// decode reads a datagram of a tier of n members. What makes no sense in it makes all of it garbled.
func decode(data []byte, tierSize int) (m message, err error) {
	if err := datagram.Decode(data, Version, datagram.MaxSize, &m); err != nil {
		return m, err
	}
	malformed := m.Kind >= kindCount || m.Incarnation == 0 || len(m.Rates)%2 != 0 || m.Kind >= kindBorrow && len(m.Items) != loanItems
	for i, item := range m.Items {
		switch m.Kind {
		case kindClaim, kindGrant, kindReturn:
			malformed = malformed || item < 0 || item>>Units >= int64(tierSize) || Mask(item)&reservedUnit != 0
		default:
			malformed = malformed || item < 0 || item > int64(time.Hour/time.Millisecond) || m.Kind == kindLend && i == 0 && Mask(item)&^transferableUnits != 0
		}
	}
	for i := 0; i+1 < len(m.Rates); i += 2 {
		malformed = malformed || m.Rates[i] < 0 || m.Rates[i] > 1<<32-1 || m.Rates[i+1] < 0 || m.Rates[i+1] > 1e9
	}
	if malformed {
		return m, datagram.ErrMalformed
	}
	return m, nil
}
