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
func (s Observation) any() bool {
	return s.HoldBackShareAt > 0 || s.Rate > 0 || s.FailureWeight > 0 || s.DrainingSince > 0
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
	ask kind = iota
	tell
	kinds
)

// An entry stands as three to six integers: the server; the report's age and share; rate, bad endings and which of these
// follow; lines; how long it has drained; the shortest set-up time.
const (
	agePer    = 10 * time.Millisecond
	ageMost   = 1<<14 - 1
	shareBits = 7
	noShare   = 1<<shareBits - 1
	shareMost = noShare - 1
	rateMost  = 1<<24 - 1 // tenths
	badBits   = 4
	hasLines  = 1
	hasDrain  = 2
	hasFloor  = 4
	flagBits  = 3
	floorPer  = 100 * time.Microsecond
)

// words are an entry at a time.
func (s Observation) words(server uint32, now Time) []int64 {
	age, share := int64(0), int64(noShare)
	if s.HoldBackShareAt > 0 {
		age, share = min(int64((now-s.HoldBackShareAt)/agePer), ageMost), int64(math.Round(min(max(s.HoldBackShare, 0), 1)*shareMost))
	}
	flags := int64(0)
	if s.Lines > 0 {
		flags |= hasLines
	}
	if s.DrainingSince > 0 {
		flags |= hasDrain
	}
	if s.MinSetUpTime > 0 {
		flags |= hasFloor
	}
	rate := int64(min(max(s.Rate, 0)*10, rateMost))
	w := []int64{int64(server), age<<shareBits | share, rate<<(badBits+flagBits) | int64(min(s.FailureWeight, 1<<badBits-1))<<flagBits | flags}
	if s.Lines > 0 {
		w = append(w, int64(min(s.Lines, 1<<31)))
	}
	if s.DrainingSince > 0 {
		w = append(w, int64((now-s.DrainingSince)/agePer))
	}
	if s.MinSetUpTime > 0 {
		w = append(w, int64((s.MinSetUpTime+floorPer-1)/floorPer))
	}
	return w
}

// readSeen reads one entry, that was so old by then, and says how many integers it took; 0: it makes no sense.
func readSeen(w []int64, now Time) (server uint32, s Observation, n int) {
	const most = int64(1) << 40
	if len(w) < 3 || w[0] < 0 || w[0] > math.MaxUint32 || w[1] < 0 || w[1]>>shareBits > ageMost || w[2] < 0 || w[2] > most {
		return 0, s, 0
	}
	server, n = uint32(w[0]), 3
	if share := w[1] & noShare; share != noShare {
		s.HoldBackShare, s.HoldBackShareAt = float64(share)/shareMost, now-time.Duration(w[1]>>shareBits)*agePer
	}
	s.Rate, s.FailureWeight = float64(w[2]>>(badBits+flagBits))/10, int(w[2]>>flagBits&(1<<badBits-1))
	next := func() (v int64, ok bool) {
		if n >= len(w) || w[n] < 0 || w[n] > most {
			return 0, false
		}
		n++
		return w[n-1], true
	}
	if w[2]&hasLines != 0 {
		v, ok := next()
		if s.Lines = float64(v); !ok {
			return 0, s, 0
		}
	}
	if w[2]&hasDrain != 0 {
		v, ok := next()
		if s.DrainingSince = max(now-time.Duration(v)*agePer, 1); !ok {
			return 0, s, 0
		}
	}
	if w[2]&hasFloor != 0 {
		v, ok := next()
		if s.MinSetUpTime = time.Duration(min(v, int64(time.Minute/floorPer))) * floorPer; !ok {
			return 0, s, 0
		}
	}
	return server, s, n
}

// decode checks what a datagram or a rider of a tier of n members holds.
func (m message) check(n int) error {
	if m.Kind >= kinds || int(m.Tier) != n {
		return errTier
	}
	for w := m.Items; len(w) > 0; {
		_, _, took := readSeen(w, time.Hour)
		if took == 0 {
			return datagram.ErrMalformed
		}
		w = w[took:]
	}
	return nil
}
