// Package knowledge shares between the softswitches of a tier what each has seen of the servers: the last load report, what
// a server takes a second, how set-ups end there, that it drains. A softswitch with much traffic of its own hardly needs
// it; one that has just started, or sees a call a second, leans on what the others hear.
//
// There is one entry for each server and observer, written by the observer alone and replaced by its next one (a
// last-writer-wins register each, ordered by the writer's own clock: Johnson and Thomas, RFC 677), so loss, order and
// doubling do not matter. An age travels with each, not a time, and what a datagram took longer on its way than others of
// its sender is added, so that neither clocks that differ nor a late datagram make old news young. Entries ride on
// membership's probes and answers (internal/datagram.Ride); only who has just started sends datagrams of its own.
// docs/KNOWLEDGE.md has the whole.
//
// It is a reducer like internal/membership: no I/O, no goroutine, no clock.
package knowledge

import (
	"fmt"
	"math"
	"time"

	"elmseam/internal/datagram"
)

// Time is an instant of the core's clock. It never runs backwards.
type Time = time.Duration

// Version is the first byte of the datagrams that a start asks and answers by.
const Version = 0x4b

// Limits are the times and counts. Check says which make no sense.
type Limits struct {
	HalfLife      time.Duration // of a load report: it weighs half as much when so much older
	SlowHalfLife  time.Duration // the same for what changes slowly: rates, bad endings
	MaxAge        time.Duration // an entry that is older counts for nothing
	Fanout        int           // members that who has just started asks
	RetryInterval time.Duration // and asks others, where none has answered
	MaxTries      int           // so often in all
	MaxServers    int           // entries kept of an observer
}

// Defaults are limits for the platform.
func Defaults() Limits {
	return Limits{HalfLife: 500 * time.Millisecond, SlowHalfLife: 10 * time.Second, MaxAge: 30 * time.Second, Fanout: 3,
		RetryInterval: 250 * time.Millisecond, MaxTries: 4, MaxServers: 64}
}

// Check names the first limit that makes no sense.
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
		return fmt.Errorf("again: %v, not in [50ms, 10s]", l.RetryInterval)
	case l.MaxTries < 1 || l.MaxTries > 16:
		return fmt.Errorf("tries: %d, not in [1, 16]", l.MaxTries)
	case l.MaxServers < 1 || l.MaxServers > 1024:
		return fmt.Errorf("servers: %d, not in [1, 1024]", l.MaxServers)
	}
	return nil
}

// Config is what a member is told.
type Config struct {
	Self, TierSize int // the own number, and how many members there are
	Limits         Limits
	Seed           uint64
}

// Observation is what a member has seen of a server itself.
type Observation struct {
	HoldBackShare   float64       // of new set-ups that it last asked to hold back, 0 to 1
	HoldBackShareAt Time          // when that came; 0: it has told none
	Rate            float64       // set-ups a second that it takes from there when warm; 0: not known
	Lines           float64       // 0: not told
	FailureWeight   int           // weight of the bad endings in a row, at most 15
	MinSetUpTime    time.Duration // shortest set-up time; 0: none stood yet
	DrainingSince   Time          // since when the list says that it drains; 0: it doesn't
}

// any says whether there is anything in it that is worth telling.
func (o Observation) hasData() bool {
	return o.HoldBackShareAt > 0 || o.Rate > 0 || o.FailureWeight > 0 || o.DrainingSince > 0
}

// Event is something that has happened; see the types below.
type Event interface{ event() }

type (
	// LocalObservations is all that this member has seen, by the hash of the servers' names: its whole list.
	LocalObservations struct{ Servers map[uint32]Observation }
	// Datagram came from a member, by its number in the tier. Rider is what rode on one of membership's.
	Datagram struct {
		From int
		Data []byte
	}
	Piggyback struct {
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
)

func (LocalObservations) event()  {}
func (Datagram) event()           {}
func (Piggyback) event()          {}
func (TimerFired) event()         {}
func (MemberAvailability) event() {}

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
	// ServersUpdated says of which servers there is news.
	ServersUpdated struct{ Servers []uint32 }
)

func (Send) effect()           {}
func (Timer) effect()          {}
func (ServersUpdated) effect() {}

// Token says what a timer is for.
type Token struct{ seq uint32 }

// Counters count what has been done since the start.
type Counters struct {
	EntriesSent     uint64 // entries sent
	EntriesReceived uint64 // entries taken in
	Stale           uint64 // passed over: not newer than what is known
	Unlisted        uint64 // passed over: of a server that the own list has not named
	QueriesSent     uint64 // members asked after the start
	QueriesAnswered uint64 // answers to that
	Sent            uint64 // datagrams of its own
	SentBytes       uint64 // of these, and of riders
	Malformed       uint64 // dropped
	UnknownSenders  uint64 // dropped: from nobody of the tier, or of a tier of another size
}

// message is what a datagram, or a rider (a tell), holds.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        kind
	Tier        uint16
	Incarnation uint32 // of the sender: the start, the low bits of its milliseconds
	Stamp       uint32 // milliseconds since that
	Items       []int64
}

type kind uint8

const (
	kindQuery kind = iota
	kindEntries
	kindCount
)

// An entry stands as three to six integers: the server; the report's age and share; rate, bad endings and which of these
// follow; lines; how long it has drained; the shortest set-up time.
const (
	ageUnit           = 10 * time.Millisecond
	maxEncodedAge     = 1<<14 - 1
	shareBits         = 7
	shareUnknown      = 1<<shareBits - 1
	maxEncodedShare   = shareUnknown - 1
	maxEncodedRate    = 1<<24 - 1 // tenths
	failureWeightBits = 4
	hasLines          = 1
	hasDrainingSince  = 2
	hasMinSetUpTime   = 4
	flagBits          = 3
	setUpTimeUnit     = 100 * time.Microsecond
)

// words are an entry at a time.
func (o Observation) encode(server uint32, now Time) []int64 {
	age, share := int64(0), int64(shareUnknown)
	if o.HoldBackShareAt > 0 {
		age, share = min(int64((now-o.HoldBackShareAt)/ageUnit), maxEncodedAge), int64(math.Round(min(max(o.HoldBackShare, 0), 1)*maxEncodedShare))
	}
	flags := int64(0)
	if o.Lines > 0 {
		flags |= hasLines
	}
	if o.DrainingSince > 0 {
		flags |= hasDrainingSince
	}
	if o.MinSetUpTime > 0 {
		flags |= hasMinSetUpTime
	}
	rate := int64(min(max(o.Rate, 0)*10, maxEncodedRate))
	items := []int64{int64(server), age<<shareBits | share, rate<<(failureWeightBits+flagBits) | int64(min(o.FailureWeight, 1<<failureWeightBits-1))<<flagBits | flags}
	if o.Lines > 0 {
		items = append(items, int64(min(o.Lines, 1<<31)))
	}
	if o.DrainingSince > 0 {
		items = append(items, int64((now-o.DrainingSince)/ageUnit))
	}
	if o.MinSetUpTime > 0 {
		items = append(items, int64((o.MinSetUpTime+setUpTimeUnit-1)/setUpTimeUnit))
	}
	return items
}

// readSeen reads one entry, that was so old by then, and says how many integers it took; 0: it makes no sense.
func decodeObservation(items []int64, now Time) (server uint32, obs Observation, n int) {
	const maxValue = int64(1) << 40
	if len(items) < 3 || items[0] < 0 || items[0] > math.MaxUint32 || items[1] < 0 || items[1]>>shareBits > maxEncodedAge || items[2] < 0 || items[2] > maxValue {
		return 0, obs, 0
	}
	server, n = uint32(items[0]), 3
	if share := items[1] & shareUnknown; share != shareUnknown {
		obs.HoldBackShare, obs.HoldBackShareAt = float64(share)/maxEncodedShare, now-time.Duration(items[1]>>shareBits)*ageUnit
	}
	obs.Rate, obs.FailureWeight = float64(items[2]>>(failureWeightBits+flagBits))/10, int(items[2]>>flagBits&(1<<failureWeightBits-1))
	next := func() (v int64, ok bool) {
		if n >= len(items) || items[n] < 0 || items[n] > maxValue {
			return 0, false
		}
		n++
		return items[n-1], true
	}
	if items[2]&hasLines != 0 {
		v, ok := next()
		if obs.Lines = float64(v); !ok {
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
	return server, obs, n
}

// decode checks what a datagram or a rider of a tier of n members holds.
func (m message) check(tierSize int) error {
	if m.Kind >= kindCount || int(m.Tier) != tierSize {
		return errTierSize
	}
	for items := m.Items; len(items) > 0; {
		_, _, n := decodeObservation(items, time.Hour)
		if n == 0 {
			return datagram.ErrMalformed
		}
		items = items[n:]
	}
	return nil
}
