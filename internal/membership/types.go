// Package membership decides who of a tier of softswitches is there, who has failed, and what to do while views
// disagree. It is SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002) with Lifeguard (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for
// More Accurate Failure Detection", DSN-W 2018), over datagrams of at most 256 bytes, for a tier whose members are
// known from the start; what is kept and what is left out of both is in docs/MEMBERSHIP.md.
//
// It is a reducer: it does no I/O, starts no goroutine and reads no clock. The same events at the same times have the
// same effects, so it runs under the core, under a discrete-event harness and under the explorer alike.
package membership

import (
	"fmt"
	"time"

	"elmseam/internal/datagram"
)

// Time is an instant of the core's clock, counted from the Unix epoch. It never runs backwards.
type Time = time.Duration

// State is what one member holds of another.
type State uint8

// The states. A member that drains is there; one that has left said so itself.
const (
	Unknown State = iota // not heard of since this start
	Alive
	Draining // alive, and sends callers away
	Suspect
	Dead
	Left
	numStates
)

var stateNames = [numStates]string{"unknown", "alive", "draining", "suspect", "dead", "left"}

func (s State) String() string {
	if s < numStates {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Available says whether a member in this state takes part.
func (s State) Available() bool { return s == Alive || s == Draining }

// Down says whether a member in this state is taken for out of work: it is not probed in turn.
func (s State) Down() bool { return s == Dead || s == Left }

// Limits are the protocol's times and counts. Check says which make no sense.
type Limits struct {
	Period         time.Duration // the protocol period T' (SWIM 3.1), one probe each
	Timeout        time.Duration // of a direct probe, under Period
	Indirect       int           // members k that are asked to probe for us
	SuspicionMin   float64       // α: the least suspicion lasts α·max(1, log10 n) periods
	SuspicionMax   float64       // β: and one that nobody confirms β times that; 1: no dynamic time-out
	Confirm        int           // K: independent confirmations that bring it to the least
	Retransmit     int           // λ: an update goes out λ·⌈log10(n+1)⌉ times
	MaxHealth      int           // S: most of the local health multiplier; 0: no local health awareness
	StallThreshold time.Duration // an own timer that is later than this tells of an own pause; 0: never
	ReclaimPeriods int           // periods between probes of a member that is held dead
	MaxDatagram    int           // bytes, at most
	MaxRelays      int           // probes made for others at once
	MaxSkew        time.Duration // an incarnation further ahead of the own clock than this is nonsense
}

// Defaults are limits for a tier of n members on the platform.
func Defaults() Limits {
	return Limits{
		Period: 500 * time.Millisecond, Timeout: 150 * time.Millisecond, Indirect: 3,
		SuspicionMin: 4, SuspicionMax: 4, Confirm: 3, Retransmit: 4, MaxHealth: 8,
		StallThreshold: 400 * time.Millisecond, ReclaimPeriods: 4, MaxDatagram: datagram.MaxSize, MaxRelays: 64, MaxSkew: time.Hour,
	}
}

// Check names the first limit that makes no sense.
func (l Limits) Check() error {
	switch {
	case l.Period < 10*time.Millisecond || l.Period > time.Minute:
		return fmt.Errorf("period: %v, not in [10ms, 1m]", l.Period)
	case l.Timeout <= 0 || l.Timeout >= l.Period:
		return fmt.Errorf("timeout: %v, not over 0 and under the period", l.Timeout)
	case l.Indirect < 0 || l.Indirect > 16:
		return fmt.Errorf("indirect: %d, not in [0, 16]", l.Indirect)
	case !(l.SuspicionMin >= 1 && l.SuspicionMin <= 100):
		return fmt.Errorf("suspicion_min: %v, not in [1, 100]", l.SuspicionMin)
	case !(l.SuspicionMax >= 1 && l.SuspicionMax <= 100):
		return fmt.Errorf("suspicion_max: %v, not in [1, 100]", l.SuspicionMax)
	case l.Confirm < 0 || l.Confirm > 16:
		return fmt.Errorf("confirm: %d, not in [0, 16]", l.Confirm)
	case l.Retransmit < 1 || l.Retransmit > 16:
		return fmt.Errorf("retransmit: %d, not in [1, 16]", l.Retransmit)
	case l.MaxHealth < 0 || l.MaxHealth > 64:
		return fmt.Errorf("health: %d, not in [0, 64]", l.MaxHealth)
	case l.StallThreshold < 0:
		return fmt.Errorf("stall: %v is negative", l.StallThreshold)
	case l.ReclaimPeriods < 1 || l.ReclaimPeriods > 1000:
		return fmt.Errorf("reclaim: %d, not in [1, 1000]", l.ReclaimPeriods)
	case l.MaxDatagram < 64 || l.MaxDatagram > datagram.MaxSize:
		return fmt.Errorf("datagram: %d, not in [64, %d]", l.MaxDatagram, datagram.MaxSize)
	case l.MaxRelays < 1:
		return fmt.Errorf("relays: %d, not over 0", l.MaxRelays)
	case l.MaxSkew < time.Second:
		return fmt.Errorf("skew: %v, under 1s", l.MaxSkew)
	}
	return nil
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
	// Drain says that this member begins or ends a drain.
	Drain struct{ On bool }
	// Leave says that this member ends in order. Nothing but refusals of its own death follows.
	Leave struct{}
)

func (Datagram) event()   {}
func (TimerFired) event() {}
func (Drain) event()      {}
func (Leave) event()      {}

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
	// StateChanged says that a member's state is another one now.
	StateChanged struct {
		Member      int
		Old, New    State
		Incarnation uint64
	}
)

func (Send) effect()         {}
func (Timer) effect()        {}
func (StateChanged) effect() {}

// Token says what a timer is for.
type Token struct {
	kind   tokenKind
	seq    uint32
	member int
}

type tokenKind uint8

const (
	tokenPeriod       tokenKind = iota // a protocol period begins
	tokenProbeTimeout                  // the direct probe has had its time
	tokenSuspicion                     // a suspicion may be over
	tokenRelayTimeout                  // a probe made for another has had most of its time
)

// Member is what is held of a member.
type Member struct {
	State        State
	Incarnation  uint64
	LastReceived Time // of its last datagram; 0: none came
	Since        Time // of its state
}

// Counters count what the protocol has done since the start.
type Counters struct {
	Probes            uint64 // direct
	Indirect          uint64 // members asked to probe for us
	Acks              uint64 // answers to probes of ours
	Nacks             uint64 // and words that a member asked has had none
	Failed            uint64 // probes that nobody answered
	Suspicions        uint64 // begun here or heard of
	Deaths            uint64 // members that came to be held dead
	Refutations       uint64 // of what was said of this member
	Stalls            uint64 // own pauses that were noticed
	Sent              uint64 // datagrams
	SentBytes         uint64
	Received          uint64 // datagrams taken in
	Malformed         uint64 // dropped: damaged, cut short, too long, or nonsense
	VersionMismatches uint64 // dropped: of another version
	UnknownSenders    uint64 // dropped: from nobody of the tier, or of another tier
}

// View sums up what a member holds of its tier, itself included.
type View struct {
	TierSize  int // members in all
	Available int // alive or draining
	Draining  int // of those
	Suspects  int
	Down      int // dead or left
	Unknown   int
}
