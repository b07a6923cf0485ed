// Package membership detects which softswitches of a tier are available and which have failed, and says what a member
// may do while the members' views disagree. It implements SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with the extensions of Lifeguard
// (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W 2018),
// over datagrams of at most 256 bytes, for a tier whose members are configured from the start. docs/MEMBERSHIP.md
// lists what is kept and what is left out of both.
//
// The package is a reducer: it does no I/O, starts no goroutine and reads no clock. The same events at the same times
// give the same effects, so the reducer runs under the core, under a discrete-event simulation and under the
// state-space explorer alike.
package membership

import (
	"fmt"
	"time"

	"elmseam/internal/datagram"
)

// Time is an instant of the core's clock, counted from the Unix epoch. It never runs backwards.
type Time = time.Duration

// State is the state of a member in the view of another member, or of the member itself.
type State uint8

// The states of a member. Draining counts as available.
const (
	StateUnknown State = iota // nothing is known of the member since this member's start
	StateAlive
	StateDraining // alive, and sending its callers away
	StateSuspect  // did not answer a probe; declared dead when the suspicion times out
	StateDead     // declared failed
	StateLeft     // shut down in order, and announced that itself
	numStates
)

var stateNames = [numStates]string{"unknown", "alive", "draining", "suspect", "dead", "left"}

// String returns the name of the state, as /ops/members prints it.
func (s State) String() string {
	if s < numStates {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Available reports whether a member in this state takes part in the tier: it is alive or draining.
func (s State) Available() bool { return s == StateAlive || s == StateDraining }

// Down reports whether a member in this state is dead or has left. Such a member is excluded from the regular probes.
func (s State) Down() bool { return s == StateDead || s == StateLeft }

// Limits are the times and counts of the membership protocol. Check reports an invalid value.
type Limits struct {
	Period          time.Duration // protocol period T' (SWIM 3.1); one probe starts in each
	ProbeTimeout    time.Duration // time-out of a direct probe; shorter than Period
	IndirectProbes  int           // k, the number of members asked to probe on this member's behalf
	SuspicionMin    float64       // α: the shortest suspicion time-out is α·max(1, log10 n) periods; n: members not dead or left
	SuspicionMax    float64       // β: the suspicion time-out without confirmations is β times the shortest; 1 makes it constant
	Confirmations   int           // K, the number of independent confirmations that bring a suspicion's time-out to its minimum
	RetransmitMult  int           // λ: each update is sent λ·⌈log10(n+1)⌉ times; n: members of the tier
	MaxHealth       int           // S, the maximum of the local health multiplier; 0 disables local health awareness
	StallThreshold  time.Duration // a period timer overdue by more than this shows that the process was paused; 0: never
	ReclaimPeriods  int           // periods between two probes of members considered dead
	MaxDatagramSize int           // maximum size of a datagram, in bytes
	MaxRelays       int           // maximum number of probes on behalf of other members that are remembered; older ones are forgotten
	MaxSkew         time.Duration // an incarnation further ahead of this member's clock is rejected as malformed
}

// Defaults returns the limits for a tier on the platform.
func Defaults() Limits {
	return Limits{
		Period: 500 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond, IndirectProbes: 3,
		SuspicionMin: 4, SuspicionMax: 4, Confirmations: 3, RetransmitMult: 4, MaxHealth: 8,
		StallThreshold: 400 * time.Millisecond, ReclaimPeriods: 4, MaxDatagramSize: datagram.MaxSize, MaxRelays: 64, MaxSkew: time.Hour,
	}
}

// Check returns an error that names the first invalid limit, or nil.
func (l Limits) Check() error {
	switch {
	case l.Period < 10*time.Millisecond || l.Period > time.Minute:
		return fmt.Errorf("period: %v, not in [10ms, 1m]", l.Period)
	case l.ProbeTimeout <= 0 || l.ProbeTimeout >= l.Period:
		return fmt.Errorf("timeout: %v, not over 0 and less than the period", l.ProbeTimeout)
	case l.IndirectProbes < 0 || l.IndirectProbes > 16:
		return fmt.Errorf("indirect: %d, not in [0, 16]", l.IndirectProbes)
	case !(l.SuspicionMin >= 1 && l.SuspicionMin <= 100):
		return fmt.Errorf("suspicion_min: %v, not in [1, 100]", l.SuspicionMin)
	case !(l.SuspicionMax >= 1 && l.SuspicionMax <= 100):
		return fmt.Errorf("suspicion_max: %v, not in [1, 100]", l.SuspicionMax)
	case l.Confirmations < 0 || l.Confirmations > 16:
		return fmt.Errorf("confirm: %d, not in [0, 16]", l.Confirmations)
	case l.RetransmitMult < 1 || l.RetransmitMult > 16:
		return fmt.Errorf("retransmit: %d, not in [1, 16]", l.RetransmitMult)
	case l.MaxHealth < 0 || l.MaxHealth > 64:
		return fmt.Errorf("health: %d, not in [0, 64]", l.MaxHealth)
	case l.StallThreshold < 0:
		return fmt.Errorf("stall: %v is negative", l.StallThreshold)
	case l.ReclaimPeriods < 1 || l.ReclaimPeriods > 1000:
		return fmt.Errorf("reclaim: %d, not in [1, 1000]", l.ReclaimPeriods)
	case l.MaxDatagramSize < 64 || l.MaxDatagramSize > datagram.MaxSize:
		return fmt.Errorf("datagram: %d, not in [64, %d]", l.MaxDatagramSize, datagram.MaxSize)
	case l.MaxRelays < 1:
		return fmt.Errorf("relays: %d, not positive", l.MaxRelays)
	case l.MaxSkew < time.Second:
		return fmt.Errorf("skew: %v, less than 1s", l.MaxSkew)
	}
	return nil
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
	// Drain reports that this member starts (On) or ends a drain.
	Drain struct{ On bool }
	// Leave reports that this member shuts down in order. After Leave the reducer starts no probe of its own; its answers
	// carry the state Left, which overrides Dead at the same incarnation.
	Leave struct{}
)

func (Datagram) event()   {}
func (TimerFired) event() {}
func (Drain) event()      {}
func (Leave) event()      {}

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
	// StateChanged reports that the state of a member changed from Old to New; of this member itself only by a Drain event.
	StateChanged struct {
		Member      int
		Old, New    State
		Incarnation uint64
	}
)

func (Send) effect()         {}
func (Timer) effect()        {}
func (StateChanged) effect() {}

// Token identifies the purpose of a timer.
type Token struct {
	kind   tokenKind
	seq    uint32 // number of the period, the probe or the relayed probe
	member int    // index of the suspected member
}

// tokenKind is the purpose of a timer.
type tokenKind uint8

// The purposes of timers.
const (
	tokenPeriod       tokenKind = iota // the next protocol period begins
	tokenProbeTimeout                  // the time-out of the direct probe is over
	tokenSuspicion                     // a suspicion may have timed out
	tokenRelayTimeout                  // a probe on behalf of another member, whose period usually still runs, timed out: a nack may be due
)

// Member is what the reducer's member knows of one member of the tier, itself included.
type Member struct {
	State        State
	Incarnation  uint64
	LastReceived Time // time of the last valid datagram from the member; 0: none was received
	Since        Time // time since which the member is in State
}

// Counters count what the membership protocol has done since the start of this member.
type Counters struct {
	Probes            uint64 // regular probes started; repetitions and the probes of suspected and dead members are not counted
	IndirectProbes    uint64 // requests to other members to probe a target on this member's behalf
	Acks              uint64 // regular probes of this member that were answered
	Nacks             uint64 // negative answers of members asked to probe: the target did not answer them either
	FailedProbes      uint64 // regular probes that were not answered, except by nacks, until the next period
	Suspicions        uint64 // suspicions started here or reported by other members
	Deaths            uint64 // transitions of members to StateDead
	Refutations       uint64 // refutations of false information about this member
	Stalls            uint64 // pauses of this process that were detected
	Sent              uint64 // datagrams sent
	SentBytes         uint64
	Received          uint64 // datagrams accepted
	Malformed         uint64 // datagrams dropped as damaged, truncated, too long or invalid, and updates with an incarnation too far ahead
	VersionMismatches uint64 // datagrams dropped for another protocol version
	UnknownSenders    uint64 // datagrams dropped because the sender is no member of the tier, or its tier has another size
}
