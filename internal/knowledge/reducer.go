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

var errTier = errors.New("of another tier")

// entry is what an observer has told of a server, in this member's time.
type entry struct {
	Observation
	Stamp uint32
	At    Time // it was so then
}

// observer is another member, as far as it tells of servers.
type observer struct {
	Came        bool
	Incarnation uint32
	MinLag      int64 // least that its stamps have lagged behind this member's clock, in milliseconds
	MinLagAt    Time
	Entries     map[uint32]entry
}

// Reducer is one member's part. It is not safe for concurrent use.
type Reducer struct {
	cfg       Config
	now       Time
	began     Time
	rng       *rand.Rand
	out       []Effect
	own       map[uint32]Observation
	order     []uint32 // the own servers, that told last the longest ago first
	observers []observer
	there     []bool
	asked     map[int]bool
	tries     int
	answered  bool
	empty     int // answers of members that had nothing to tell
	seq       uint32
	figures   Counters
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
	r := &Reducer{cfg: cfg, now: now, began: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6b6e6f77)), own: make(map[uint32]Observation),
		observers: make([]observer, cfg.TierSize), there: make([]bool, cfg.TierSize), asked: make(map[int]bool)}
	r.later(cfg.Limits.RetryInterval / 8) // when the list is known
	return r, r.take(), nil
}

// Step takes in one event. The effects are to be carried out in their order. A time before that of the last Step counts
// as the last one's.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	switch ev := ev.(type) {
	case LocalObservations:
		r.list(ev.Servers)
	case Datagram:
		var m message
		if err := datagram.Decode(ev.Data, Version, datagram.MaxSize, &m); err != nil {
			r.figures.Malformed++
			break
		}
		r.message(ev.From, m)
	case Piggyback:
		var m message
		if datagram.DecodeItem(ev.Data, &m) != nil || m.Kind != tell {
			r.figures.Malformed++
			break
		}
		r.message(ev.From, m)
	case TimerFired:
		if ev.Token.seq == r.seq {
			r.ask()
		}
	case MemberAvailability:
		if ev.Member >= 0 && ev.Member < r.cfg.TierSize && ev.Member != r.cfg.Self {
			r.there[ev.Member] = ev.Available
		}
	}
	return r.take()
}

func (r *Reducer) take() []Effect {
	out := r.out
	r.out = nil
	return out
}

func (r *Reducer) do(e Effect) { r.out = append(r.out, e) }

func (r *Reducer) later(in time.Duration) {
	r.seq++
	r.do(Timer{At: r.now + in, Token: Token{r.seq}})
}

// list takes over what this member has seen. What others told of servers that are not listed any more is forgotten.
func (r *Reducer) list(servers map[uint32]Observation) {
	r.own = maps.Clone(servers)
	r.order = slices.DeleteFunc(r.order, func(s uint32) bool { _, listed := r.own[s]; return !listed })
	for _, s := range slices.Sorted(maps.Keys(r.own)) {
		if !slices.Contains(r.order, s) {
			r.order = append([]uint32{s}, r.order...)
		}
	}
	for i := range r.observers {
		maps.DeleteFunc(r.observers[i].Entries, func(s uint32, e entry) bool {
			_, listed := r.own[s]
			return !listed || r.now > e.At+r.cfg.Limits.MaxAge
		})
	}
}

// ask asks a few members what they know, after the start, until one has answered: others each time, as long as there are
// some, the ones that are there first.
func (r *Reducer) ask() {
	if r.answered || r.tries >= r.cfg.Limits.MaxTries || r.cfg.TierSize == 1 {
		return
	}
	if len(r.own) > 0 {
		r.tries++
		order := r.rng.Perm(r.cfg.TierSize)
		rank := func(m int) (n int) {
			if r.asked[m] {
				n = 2
			}
			if !r.there[m] {
				n++
			}
			return n
		}
		slices.SortStableFunc(order, func(a, b int) int { return rank(a) - rank(b) })
		n := 0
		for _, m := range order {
			if m != r.cfg.Self && n < r.cfg.Limits.Fanout {
				n++
				r.asked[m] = true
				r.figures.QueriesSent++
				r.send(m, message{Kind: ask, Items: []int64{}})
			}
		}
	}
	r.later(r.cfg.Limits.RetryInterval)
}

// message takes in one that has been read.
func (r *Reducer) message(from int, m message) {
	if from < 0 || from >= r.cfg.TierSize || from == r.cfg.Self {
		r.figures.UnknownSenders++
		return
	}
	switch err := m.check(r.cfg.TierSize); {
	case errors.Is(err, errTier):
		r.figures.UnknownSenders++
		return
	case err != nil:
		r.figures.Malformed++
		return
	}
	late := r.late(&r.observers[from], m)
	if late < 0 { // of an earlier life
		r.figures.Stale++
		return
	}
	if m.Kind == ask {
		r.answer(from)
		return
	}
	if len(m.Items) == 0 {
		r.empty++
	}
	r.answered = r.answered || len(m.Items) > 0 || r.empty >= r.cfg.Limits.Fanout
	r.learn(&r.observers[from], m, late)
}

// late is how much longer a message was on its way than the quickest of its sender, as far as the clocks tell; negative: it
// is of a life before. The quickest is held to be slower by and by, as clocks differ in their pace by up to two hundredths.
func (r *Reducer) late(o *observer, m message) time.Duration {
	const drift = 0.02
	lag := int64(r.now/time.Millisecond) - int64(m.Stamp)
	if o.Came && int32(m.Incarnation-o.Incarnation) < 0 {
		return -1
	}
	if !o.Came || m.Incarnation != o.Incarnation {
		o.Came, o.Incarnation, o.MinLag, o.MinLagAt = true, m.Incarnation, lag, r.now
		for s, e := range o.Entries { // the new life's first word of each is newer
			e.Stamp = 0
			o.Entries[s] = e
		}
		return 0
	}
	if least := o.MinLag + int64(drift*float64(r.now-o.MinLagAt)/float64(time.Millisecond)); lag < least {
		o.MinLag, o.MinLagAt = lag, r.now
		return 0
	} else {
		return time.Duration(lag-least) * time.Millisecond
	}
}

// learn takes in what an observer tells of servers.
func (r *Reducer) learn(o *observer, m message, late time.Duration) {
	var news []uint32
	for w := m.Items; len(w) > 0; {
		server, s, n := readSeen(w, r.now-late)
		w = w[n:]
		if _, listed := r.own[server]; !listed {
			r.figures.Unlisted++
			continue
		}
		old, known := o.Entries[server]
		if known && m.Stamp <= old.Stamp && old.Stamp > 0 {
			r.figures.Stale++
			continue
		}
		if !known && len(o.Entries) >= r.cfg.Limits.MaxServers {
			continue
		}
		if o.Entries == nil {
			o.Entries = make(map[uint32]entry)
		}
		o.Entries[server] = entry{s, max(m.Stamp, 1), r.now - late}
		r.figures.EntriesReceived++
		news = append(news, server)
	}
	if len(news) > 0 {
		r.do(ServersUpdated{news})
	}
}

// answer tells one that asks all that this member has seen.
func (r *Reducer) answer(to int) {
	r.figures.QueriesAnswered++
	left := 0
	for _, s := range r.own {
		if s.any() {
			left++
		}
	}
	for first := true; first || left > 0; first = false { // one in any case: nothing has been seen
		m, n := r.tell(datagram.MaxSize-datagram.Overhead, len(r.order))
		r.send(to, m)
		left -= max(n, 1)
	}
}

// tell is a message with as many of the own entries as fit, those that were told longest ago first: the fresh ones, and of
// the others no more than so many.
func (r *Reducer) tell(room, others int) (m message, n int) {
	m = r.stamped(message{Kind: tell, Items: []int64{}})
	room -= datagram.Size(m) + 2 // two more for the count of the items
	var told, left []uint32
	for _, server := range r.order {
		s := r.own[server]
		if !s.any() {
			left = append(left, server)
			continue
		}
		fresh := s.HoldBackShareAt > 0 && r.now-s.HoldBackShareAt < freshLives*r.cfg.Limits.HalfLife || s.DrainingSince > 0
		words, size := s.words(server, r.now), 0
		for _, w := range words {
			size += datagram.IntSize(w)
		}
		if !fresh && others <= 0 || size > room {
			left = append(left, server)
			continue
		}
		if !fresh {
			others--
		}
		room -= size
		m.Items = append(m.Items, words...)
		told = append(told, server)
	}
	r.order = append(left, told...)
	r.figures.EntriesSent += uint64(len(told))
	return m, len(told)
}

// freshLives are the half-lives for which a report is worth its bytes; othersRide is how many entries ride that have none
// so fresh, for what lasts longer.
const (
	freshLives = 4
	othersRide = 1
)

func (r *Reducer) stamped(m message) message {
	m.Tier, m.Incarnation, m.Stamp = uint16(r.cfg.TierSize), uint32(r.began/time.Millisecond), uint32((r.now-r.began)/time.Millisecond)
	return m
}

func (r *Reducer) send(to int, m message) {
	data := datagram.Encode(Version, r.stamped(m))
	r.figures.Sent++
	r.figures.SentBytes += uint64(len(data))
	r.do(Send{To: to, Data: data})
}

// AppendPiggyback has what this member has seen ride on a datagram, as far as there is room.
func (r *Reducer) AppendPiggyback(now Time, data []byte) []byte {
	r.now = max(now, r.now)
	m, n := r.tell(datagram.MaxSize-len(data), othersRide)
	if n == 0 {
		return data
	}
	rider := datagram.EncodeItem(m)
	r.figures.SentBytes += uint64(len(rider))
	return datagram.AppendPiggyback(data, rider)
}
