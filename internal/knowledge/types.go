// Package knowledge exchanges between the softswitches of a tier what each of them has observed of the servers: the
// last load report, the rate of set-ups that a server takes, how set-ups end there, and whether it drains. A
// softswitch with much traffic of its own hardly needs these reports. A newly started softswitch, or one that handles
// about one call a second, relies on the reports of the others.
//
// There is one entry for each pair of server and observer. Only the observer writes the entry, and each new version
// replaces the one before (a last-writer-wins register for each entry, ordered by the writer's own clock: Johnson and
// Thomas, RFC 677), so datagrams that are lost, reordered or duplicated do no harm. An entry carries ages instead of
// times. The receiver adds to the ages how much longer the datagram was under way than the quickest earlier datagram of
// the same sender, so neither clocks that differ nor a late datagram make an old observation look recent. Entries are
// piggybacked on the datagrams of membership (internal/datagram.AppendPiggyback); only a newly started member, and the
// members that answer its queries, send separate datagrams. docs/KNOWLEDGE.md describes the whole protocol.
//
// The package is a reducer like internal/membership: a state machine without I/O, goroutines or a clock.
package knowledge

import (
	"fmt"
	"math"
	"time"

	"elmseam/internal/datagram"
)

// Time is an instant on the core's clock. It never runs backwards.
type Time = time.Duration

// Version is the first byte of the datagrams with which a newly started member queries others and they answer. It
// names the protocol and its version.
const Version = 0x4b

// Limits holds the times and counts of the knowledge protocol. Check reports invalid ones.
type Limits struct {
	// HalfLife is the age by which the weight of a load report halves.
	HalfLife time.Duration
	// SlowHalfLife is the age by which the weight of observations that change slowly halves: rates and failures.
	SlowHalfLife time.Duration
	// MaxAge is the age from which on an entry is ignored.
	MaxAge time.Duration
	// Fanout is the number of members that a newly started member queries at a time.
	Fanout int
	// RetryInterval is the time between the rounds of queries of a newly started member.
	RetryInterval time.Duration
	// MaxQueryRounds is the max number of rounds in which a newly started member sends queries.
	MaxQueryRounds int
	// MaxServers is the max number of entries kept for each observer.
	MaxServers int
}

// Defaults returns the limits for the platform.
func Defaults() Limits {
	return Limits{HalfLife: 500 * time.Millisecond, SlowHalfLife: 10 * time.Second, MaxAge: 30 * time.Second, Fanout: 3,
		RetryInterval: 250 * time.Millisecond, MaxQueryRounds: 4, MaxServers: 64}
}

// Check returns an error that names the first invalid limit, by its key in the settings if it has one.
func (l Limits) Check() error {
	switch {
	case l.HalfLife < 10*time.Millisecond || l.HalfLife > time.Minute:
		return fmt.Errorf("half_life: %v, not in [10ms, 1m]", l.HalfLife)
	case l.SlowHalfLife < l.HalfLife || l.SlowHalfLife > 10*time.Minute:
		return fmt.Errorf("lasting: %v, not in [half_life, 10m]", l.SlowHalfLife)
	case l.MaxAge < l.SlowHalfLife || l.MaxAge > time.Hour:
		return fmt.Errorf("forget: %v, not in [lasting, 1h]", l.MaxAge)
	case l.Fanout < 1 || l.Fanout > 8:
		return fmt.Errorf("ask: %d, not in [1, 8]", l.Fanout)
	case l.RetryInterval < 50*time.Millisecond || l.RetryInterval > 10*time.Second:
		return fmt.Errorf("retry interval: %v, not in [50ms, 10s]", l.RetryInterval)
	case l.MaxQueryRounds < 1 || l.MaxQueryRounds > 16:
		return fmt.Errorf("max query rounds: %d, not in [1, 16]", l.MaxQueryRounds)
	case l.MaxServers < 1 || l.MaxServers > 1024:
		return fmt.Errorf("max servers: %d, not in [1, 1024]", l.MaxServers)
	}
	return nil
}

// Config configures a Reducer.
type Config struct {
	Self, TierSize int // index of this member in the tier; number of members
	Limits         Limits
	// Seed seeds the random choice of the members to query.
	Seed uint64
}

// Observation is what one member has observed of a server.
type Observation struct {
	// HoldBackShare is the share of new set-ups that the server last asked to hold back, from 0 to 1.
	HoldBackShare float64
	// HoldBackShareAt is the time of the load report that asked for that share, which may be 0; 0: no report has come.
	HoldBackShareAt Time
	// Rate is the rate, in set-ups a second, that the server takes from the observing member when warm; 0: not known.
	Rate float64
	// TotalLines is the server's number of lines; 0: not reported.
	TotalLines float64
	// FailureWeight is the weight of the failed set-ups in a row. Values above 15 are sent as 15.
	FailureWeight int
	// MinSetUpTime is the shortest set-up time; 0: no call was established yet.
	MinSetUpTime time.Duration
	// DrainingSince is the time at which the server list last marked the server as draining; 0: not draining.
	DrainingSince Time
}

// hasData reports whether the observation holds anything worth sending.
func (o Observation) hasData() bool {
	return o.HoldBackShareAt > 0 || o.Rate > 0 || o.FailureWeight > 0 || o.DrainingSince > 0
}

// Event is an input of the reducer. The types below implement it.
type Event interface{ event() }

type (
	// LocalObservations holds all observations of this member for its whole server list, keyed by the hash of the
	// server's name. Servers that it does not contain are no longer listed.
	LocalObservations struct{ Servers map[uint32]Observation }
	// Datagram is a datagram of this protocol from the member with the index From.
	Datagram struct {
		From int
		Data []byte
	}
	// Piggyback is data that was piggybacked on a membership datagram of the member with the index From.
	Piggyback struct {
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
)

func (LocalObservations) event()  {}
func (Datagram) event()           {}
func (Piggyback) event()          {}
func (TimerFired) event()         {}
func (MemberAvailability) event() {}

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
	// ServersUpdated lists the servers, by hash of their names, for which entries of another member were stored.
	ServersUpdated struct{ Servers []uint32 }
)

func (Send) effect()           {}
func (Timer) effect()          {}
func (ServersUpdated) effect() {}

// Token identifies a requested timer.
type Token struct{ seq uint32 }

// Counters counts events since this member's start.
type Counters struct {
	EntriesSent     uint64 // own entries sent
	EntriesReceived uint64 // entries of other members stored
	Stale           uint64 // entries ignored as no newer than the stored ones, and messages of earlier incarnations
	Unlisted        uint64 // entries ignored because this member's server list does not contain the server
	QueriesSent     uint64 // queries sent after the start
	QueriesAnswered uint64 // queries of other members answered
	Sent            uint64 // separate datagrams sent
	SentBytes       uint64 // bytes of these datagrams and of piggybacked data
	Malformed       uint64 // datagrams dropped as malformed or of another version; piggybacked data that is malformed or not of kindEntries
	UnknownSenders  uint64 // messages dropped because the sender is no other member, its tier has another size, or their kind is unknown
}

// message is the content of a datagram, or of piggybacked data (always of kindEntries). It is sent as a CBOR array.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind messageKind
	// TierSize is the number of members in the sender's tier.
	TierSize uint16
	// Incarnation identifies the sender's incarnation.
	Incarnation uint32
	// Stamp is the time at which the message was sent, in milliseconds since the incarnation began.
	Stamp uint32
	// Items holds the encoded entries one after another; empty in a query and in the answer of a member without entries. In a
	// message of kindIncarnation it holds the incarnation.
	Items []int64
}

// messageKind is the kind of a message. Its values are part of the format.
type messageKind uint8

// The kinds of knowledge messages.
const (
	kindQuery       messageKind = iota // asks for all entries of the receiver
	kindEntries                        // carries entries of the sender
	kindIncarnation                    // carries the incarnation of the receiver that the sender knows
	numKinds                           // number of kinds
)

// Bit layout and units of an entry, which is encoded as three to six integers:
//
// (1) the hash of the server's name; (2) age and value of the hold-back share; (3) the rate, the failure weight, and
// flags for which optional integers follow; then the optional integers: the number of lines, the age of
// DrainingSince, and the shortest set-up time.
const (
	ageUnit           = 10 * time.Millisecond  // unit of an encoded age
	maxEncodedAge     = 1<<14 - 1              // in units of ageUnit
	shareBits         = 7                      // bits of the hold-back share
	shareUnknown      = 1<<shareBits - 1       // value: no hold-back share was reported
	maxEncodedShare   = shareUnknown - 1       // encodes a share of 1
	maxEncodedRate    = 1<<24 - 1              // in tenths of a set-up a second
	failureWeightBits = 4                      // bits of the failure weight
	hasTotalLines     = 1                      // flag: the number of lines follows
	hasDrainingSince  = 2                      // flag: the age of DrainingSince follows
	hasMinSetUpTime   = 4                      // flag: the shortest set-up time follows
	flagBits          = 3                      // number of flag bits
	setUpTimeUnit     = 100 * time.Microsecond // unit of the shortest set-up time
)

// encode returns the observation as the integers of an entry for the server, with ages as of now.
func (o Observation) encode(server uint32, now Time) []int64 {
	age, share := int64(0), int64(shareUnknown)
	if o.HoldBackShareAt > 0 {
		age, share = min(int64((now-o.HoldBackShareAt)/ageUnit), maxEncodedAge), int64(math.Round(min(max(o.HoldBackShare, 0), 1)*maxEncodedShare))
	}
	flags := int64(0)
	if o.TotalLines > 0 {
		flags |= hasTotalLines
	}
	if o.DrainingSince > 0 {
		flags |= hasDrainingSince
	}
	if o.MinSetUpTime > 0 {
		flags |= hasMinSetUpTime
	}
	rate := int64(min(max(o.Rate, 0)*10, maxEncodedRate))
	items := []int64{int64(server), age<<shareBits | share, rate<<(failureWeightBits+flagBits) | int64(min(o.FailureWeight, 1<<failureWeightBits-1))<<flagBits | flags}
	if o.TotalLines > 0 {
		items = append(items, int64(min(o.TotalLines, 1<<31)))
	}
	if o.DrainingSince > 0 {
		items = append(items, int64((now-o.DrainingSince)/ageUnit))
	}
	if o.MinSetUpTime > 0 {
		items = append(items, int64((o.MinSetUpTime+setUpTimeUnit-1)/setUpTimeUnit))
	}
	return items
}

// decodeObservation decodes the first entry of items, whose ages count back from now, and returns the number of
// integers consumed. The number is 0 if the entry is malformed. A shortest set-up time above one minute is returned as
// one minute.
func decodeObservation(items []int64, now Time) (server uint32, obs Observation, consumed int) {
	const maxValue = int64(1) << 40
	if len(items) < 3 || items[0] < 0 || items[0] > math.MaxUint32 || items[1] < 0 || items[1]>>shareBits > maxEncodedAge || items[2] < 0 || items[2] > maxValue {
		return 0, obs, 0
	}
	server, consumed = uint32(items[0]), 3
	if share := items[1] & shareUnknown; share != shareUnknown {
		obs.HoldBackShare, obs.HoldBackShareAt = float64(share)/maxEncodedShare, now-time.Duration(items[1]>>shareBits)*ageUnit
	}
	obs.Rate, obs.FailureWeight = float64(items[2]>>(failureWeightBits+flagBits))/10, int(items[2]>>flagBits&(1<<failureWeightBits-1))
	next := func() (v int64, ok bool) {
		if consumed >= len(items) || items[consumed] < 0 || items[consumed] > maxValue {
			return 0, false
		}
		consumed++
		return items[consumed-1], true
	}
	if items[2]&hasTotalLines != 0 {
		v, ok := next()
		if obs.TotalLines = float64(v); !ok {
			return 0, obs, 0
		}
	}
	if items[2]&hasDrainingSince != 0 {
		v, ok := next()
		if obs.DrainingSince = max(now-time.Duration(v)*ageUnit, 1); !ok {
			return 0, obs, 0
		}
	}
	if items[2]&hasMinSetUpTime != 0 {
		v, ok := next()
		if obs.MinSetUpTime = time.Duration(min(v, int64(time.Minute/setUpTimeUnit))) * setUpTimeUnit; !ok {
			return 0, obs, 0
		}
	}
	return server, obs, consumed
}

// validate validates a message received in a tier of tierSize members. It returns errIncompatible for a message of an
// unknown kind or from a tier of another size, and datagram.ErrMalformed for a message with an undecodable entry.
func (m message) validate(tierSize int) error {
	if m.Kind >= numKinds || int(m.TierSize) != tierSize {
		return errIncompatible
	}
	if m.Kind == kindIncarnation {
		if !validIncarnationReport(m.Items) {
			return datagram.ErrMalformed
		}
		return nil
	}
	for items := m.Items; len(items) > 0; {
		_, _, n := decodeObservation(items, time.Hour) // any time will do: the observation is not used
		if n == 0 {
			return datagram.ErrMalformed
		}
		items = items[n:]
	}
	return nil
}
