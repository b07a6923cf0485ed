package knowledge

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"elmseam/internal/datagram"
)

var errTierSize = errors.New("of another tier")

// entry is what an observer has told of a server, in this member's time.
type entry struct {
	Observation
	Stamp      uint32
	ObservedAt Time // it was so then
}

// observer is another member, as far as it tells of servers.
type observer struct {
	Seen        bool
	Incarnation uint32
	MinLag      int64 // least that its stamps have lagged behind this member's clock, in milliseconds
	MinLagAt    Time
	Entries     map[uint32]entry
}

// Reducer is one member's part. It is not safe for concurrent use.
type Reducer struct {
	cfg          Config
	now          Time
	startedAt    Time
	rng          *rand.Rand
	effects      []Effect
	local        map[uint32]Observation
	sendOrder    []uint32 // the own servers, that told last the longest ago first
	observers    []observer
	available    []bool
	queried      map[int]bool
	tries        int
	answered     bool
	emptyAnswers int // answers of members that had nothing to tell
	timerSeq     uint32
	counters     Counters
}

// New begins a member's part.
func New(cfg Config, now Time) (*Reducer, []Effect, error) {
	switch {
	case cfg.TierSize < 1 || cfg.TierSize > math.MaxUint16:
		return nil, nil, fmt.Errorf("tier: %d members, not in [1, %d]", cfg.TierSize, math.MaxUint16)
	case cfg.Self < 0 || cfg.Self >= cfg.TierSize:
		return nil, nil, fmt.Errorf("self: %d is none of %d members", cfg.Self, cfg.TierSize)
	}
	if err := cfg.Limits.Check(); err != nil {
		return nil, nil, err
	}
	r := &Reducer{cfg: cfg, now: now, startedAt: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6b6e6f77)), local: make(map[uint32]Observation),
		observers: make([]observer, cfg.TierSize), available: make([]bool, cfg.TierSize), queried: make(map[int]bool)}
	r.setTimer(cfg.Limits.RetryInterval / 8) // when the list is known
	return r, r.takeEffects(), nil
}

// Step takes in one event. The effects are to be carried out in their order. A time before that of the last Step counts
// as the last one's.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	switch ev := ev.(type) {
	case LocalObservations:
		r.setLocal(ev.Servers)
	case Datagram:
		var m message
		if err := datagram.Decode(ev.Data, Version, datagram.MaxSize, &m); err != nil {
			r.counters.Malformed++
			break
		}
		r.handleMessage(ev.From, m)
	case Piggyback:
		var m message
		if datagram.DecodeItem(ev.Data, &m) != nil || m.Kind != kindEntries {
			r.counters.Malformed++
			break
		}
		r.handleMessage(ev.From, m)
	case TimerFired:
		if ev.Token.seq == r.timerSeq {
			r.query()
		}
	case MemberAvailability:
		if ev.Member >= 0 && ev.Member < r.cfg.TierSize && ev.Member != r.cfg.Self {
			r.available[ev.Member] = ev.Available
		}
	}
	return r.takeEffects()
}

func (r *Reducer) takeEffects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) setTimer(delay time.Duration) {
	r.timerSeq++
	r.emit(Timer{At: r.now + delay, Token: Token{r.timerSeq}})
}

// list takes over what this member has seen. What others told of servers that are not listed any more is forgotten.
func (r *Reducer) setLocal(servers map[uint32]Observation) {
	r.local = maps.Clone(servers)
	r.sendOrder = slices.DeleteFunc(r.sendOrder, func(s uint32) bool { _, listed := r.local[s]; return !listed })
	for _, s := range slices.Sorted(maps.Keys(r.local)) {
		if !slices.Contains(r.sendOrder, s) {
			r.sendOrder = append([]uint32{s}, r.sendOrder...)
		}
	}
	for i := range r.observers {
		maps.DeleteFunc(r.observers[i].Entries, func(s uint32, e entry) bool {
			_, listed := r.local[s]
			return !listed || r.now > e.ObservedAt+r.cfg.Limits.MaxAge
		})
	}
}

// ask asks a few members what they know, after the start, until one has answered: others each time, as long as there are
// some, the ones that are there first.
func (r *Reducer) query() {
	if r.answered || r.tries >= r.cfg.Limits.MaxTries || r.cfg.TierSize == 1 {
		return
	}
	if len(r.local) > 0 {
		r.tries++
		candidates := r.rng.Perm(r.cfg.TierSize)
		rank := func(member int) (sent int) {
			if r.queried[member] {
				sent = 2
			}
			if !r.available[member] {
				sent++
			}
			return sent
		}
		slices.SortStableFunc(candidates, func(a, b int) int { return rank(a) - rank(b) })
		sent := 0
		for _, member := range candidates {
			if member != r.cfg.Self && sent < r.cfg.Limits.Fanout {
				sent++
				r.queried[member] = true
				r.counters.QueriesSent++
				r.send(member, message{Kind: kindQuery, Items: []int64{}})
			}
		}
	}
	r.setTimer(r.cfg.Limits.RetryInterval)
}

// message takes in one that has been read.
func (r *Reducer) handleMessage(from int, m message) {
	if from < 0 || from >= r.cfg.TierSize || from == r.cfg.Self {
		r.counters.UnknownSenders++
		return
	}
	switch err := m.check(r.cfg.TierSize); {
	case errors.Is(err, errTierSize):
		r.counters.UnknownSenders++
		return
	case err != nil:
		r.counters.Malformed++
		return
	}
	delay := r.extraDelay(&r.observers[from], m)
	if delay < 0 { // of an earlier life
		r.counters.Stale++
		return
	}
	if m.Kind == kindQuery {
		r.sendAnswer(from)
		return
	}
	if len(m.Items) == 0 {
		r.emptyAnswers++
	}
	r.answered = r.answered || len(m.Items) > 0 || r.emptyAnswers >= r.cfg.Limits.Fanout
	r.applyEntries(&r.observers[from], m, delay)
}

// late is how much longer a message was on its way than the quickest of its sender, as far as the clocks tell; negative: it
// is of a life before. The quickest is held to be slower by and by, as clocks differ in their pace by up to two hundredths.
func (r *Reducer) extraDelay(o *observer, m message) time.Duration {
	const maxDrift = 0.02
	lag := int64(r.now/time.Millisecond) - int64(m.Stamp)
	if o.Seen && int32(m.Incarnation-o.Incarnation) < 0 {
		return -1
	}
	if !o.Seen || m.Incarnation != o.Incarnation {
		o.Seen, o.Incarnation, o.MinLag, o.MinLagAt = true, m.Incarnation, lag, r.now
		for s, e := range o.Entries { // the new life's first word of each is newer
			e.Stamp = 0
			o.Entries[s] = e
		}
		return 0
	}
	if minLag := o.MinLag + int64(maxDrift*float64(r.now-o.MinLagAt)/float64(time.Millisecond)); lag < minLag {
		o.MinLag, o.MinLagAt = lag, r.now
		return 0
	} else {
		return time.Duration(lag-minLag) * time.Millisecond
	}
}

// learn takes in what an observer tells of servers.
func (r *Reducer) applyEntries(o *observer, m message, delay time.Duration) {
	var updated []uint32
	for items := m.Items; len(items) > 0; {
		server, obs, n := decodeObservation(items, r.now-delay)
		items = items[n:]
		if _, listed := r.local[server]; !listed {
			r.counters.Unlisted++
			continue
		}
		old, known := o.Entries[server]
		if known && m.Stamp <= old.Stamp && old.Stamp > 0 {
			r.counters.Stale++
			continue
		}
		if !known && len(o.Entries) >= r.cfg.Limits.MaxServers {
			continue
		}
		if o.Entries == nil {
			o.Entries = make(map[uint32]entry)
		}
		o.Entries[server] = entry{obs, max(m.Stamp, 1), r.now - delay}
		r.counters.EntriesReceived++
		updated = append(updated, server)
	}
	if len(updated) > 0 {
		r.emit(ServersUpdated{updated})
	}
}

// answer tells one that asks all that this member has seen.
func (r *Reducer) sendAnswer(member int) {
	r.counters.QueriesAnswered++
	remaining := 0
	for _, obs := range r.local {
		if obs.hasData() {
			remaining++
		}
	}
	for first := true; first || remaining > 0; first = false { // one in any case: nothing has been seen
		m, n := r.nextEntries(datagram.MaxSize-datagram.Overhead, len(r.sendOrder))
		r.send(member, m)
		remaining -= max(n, 1)
	}
}

// tell is a message with as many of the own entries as fit, those that were told longest ago first: the fresh ones, and of
// the others no more than so many.
func (r *Reducer) nextEntries(space, maxOlder int) (m message, n int) {
	m = r.stamped(message{Kind: kindEntries, Items: []int64{}})
	space -= datagram.Size(m) + 2 // two more for the count of the items
	var sent, unsent []uint32
	for _, server := range r.sendOrder {
		obs := r.local[server]
		if !obs.hasData() {
			unsent = append(unsent, server)
			continue
		}
		fresh := obs.HoldBackShareAt > 0 && r.now-obs.HoldBackShareAt < freshHalfLives*r.cfg.Limits.HalfLife || obs.DrainingSince > 0
		items, size := obs.encode(server, r.now), 0
		for _, item := range items {
			size += datagram.IntSize(item)
		}
		if !fresh && maxOlder <= 0 || size > space {
			unsent = append(unsent, server)
			continue
		}
		if !fresh {
			maxOlder--
		}
		space -= size
		m.Items = append(m.Items, items...)
		sent = append(sent, server)
	}
	r.sendOrder = append(unsent, sent...)
	r.counters.EntriesSent += uint64(len(sent))
	return m, len(sent)
}

// freshLives are the half-lives for which a report is worth its bytes; othersRide is how many entries ride that have none
// so fresh, for what lasts longer.
const (
	freshHalfLives      = 4
	maxOlderPiggybacked = 1
)

func (r *Reducer) stamped(m message) message {
	m.Tier, m.Incarnation, m.Stamp = uint16(r.cfg.TierSize), uint32(r.startedAt/time.Millisecond), uint32((r.now-r.startedAt)/time.Millisecond)
	return m
}

func (r *Reducer) send(member int, m message) {
	data := datagram.Encode(Version, r.stamped(m))
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: member, Data: data})
}

// AppendPiggyback has what this member has seen ride on a datagram, as far as there is room.
func (r *Reducer) AppendPiggyback(now Time, data []byte) []byte {
	r.now = max(now, r.now)
	m, n := r.nextEntries(datagram.MaxSize-len(data), maxOlderPiggybacked)
	if n == 0 {
		return data
	}
	piggyback := datagram.EncodeItem(m)
	r.counters.SentBytes += uint64(len(piggyback))
	return datagram.AppendPiggyback(data, piggyback)
}
