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

// errIncompatible rejects a message from a tier with another number of members, or of an unknown kind.
var errIncompatible = errors.New("message of an unknown kind or from a tier of another size")

// entry is an observer's latest observation of a server, with times on this member's clock.
type entry struct {
	Observation
	// Stamp is the stamp of the message that carried the entry, at least 1; 0: the entry is of an earlier incarnation, so
	// any new message is newer.
	Stamp uint32
	// ObservedAt is the time at which the entry was received, less the extra delay of its message (see extraDelay).
	ObservedAt Time
}

// observerState is the state kept for another member as a source of entries.
type observerState struct {
	// Seen says that a message of this member was received; the fields below are valid only then.
	Seen        bool
	Incarnation uint32
	// MinLag is the min lag of the other member's message stamps behind this member's clock, in milliseconds, measured at
	// MinLagAt.
	MinLag   int64
	MinLagAt Time
	// Entries holds the latest entries by the hash of the server's name.
	Entries map[uint32]entry
}

// Reducer is one member's state of the knowledge protocol. It is not safe for concurrent use.
type Reducer struct {
	cfg         Config
	now         Time
	rng         *rand.Rand
	incarnation uint32 // identifies this process to the other members
	// incarnationStartedAt is the time that the stamps of messages count from.
	incarnationStartedAt Time
	effects              []Effect
	localObservations    map[uint32]Observation // own observations, by the hash of the server's name
	// sendOrder holds the local servers, those whose entries were sent longest ago first.
	sendOrder     []uint32
	observers     []observerState // by member
	available     []bool          // by member, as membership reports it
	queried       map[int]bool    // members queried since the start
	queryRounds   int             // rounds of queries sent
	queriesDone   bool            // no more queries are needed
	emptyAnswers  int             // number of answers without entries; as many as Fanout end the queries
	validTimerSeq uint32          // number in the token of the only valid timer
	counters      Counters
}

// New returns the reducer of a member and its first effects, or an error if Self, TierSize or a limit is invalid.
func New(cfg Config, now Time) (*Reducer, []Effect, error) {
	switch {
	case cfg.TierSize < 1 || cfg.TierSize > math.MaxUint16:
		return nil, nil, fmt.Errorf("tier: %d members, not in [1, %d]", cfg.TierSize, math.MaxUint16)
	case cfg.Self < 0 || cfg.Self >= cfg.TierSize:
		return nil, nil, fmt.Errorf("self: %d, not in [0, %d)", cfg.Self, cfg.TierSize)
	}
	if err := cfg.Limits.Check(); err != nil {
		return nil, nil, err
	}
	r := &Reducer{cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6b6e6f77)), localObservations: make(map[uint32]Observation),
		observers: make([]observerState, cfg.TierSize), available: make([]bool, cfg.TierSize), queried: make(map[int]bool)}
	r.beginIncarnation(uint32(now / time.Millisecond))
	r.setTimer(cfg.Limits.RetryInterval / 8) // time for the server list to arrive; without it sendQueries only waits on
	return r, r.takeEffects(), nil
}

// Step handles one event and returns the effects, which have to be carried out in their order. A time before that of
// the last Step or AppendPiggyback counts as the latter.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	switch ev := ev.(type) {
	case LocalObservations:
		r.setLocalObservations(ev.Servers)
	case Datagram:
		var msg message
		if err := datagram.Decode(ev.Data, Version, datagram.MaxSize, &msg); err != nil {
			r.counters.Malformed++
			break
		}
		r.handleMessage(ev.From, msg)
	case Piggyback:
		var msg message
		if datagram.DecodeItem(ev.Data, &msg) != nil || msg.Kind != kindEntries {
			r.counters.Malformed++
			break
		}
		r.handleMessage(ev.From, msg)
	case TimerFired:
		if ev.Token.seq == r.validTimerSeq {
			r.sendQueries()
		}
	case MemberAvailability:
		if ev.Member >= 0 && ev.Member < r.cfg.TierSize && ev.Member != r.cfg.Self {
			r.available[ev.Member] = ev.Available
		}
	}
	return r.takeEffects()
}

// takeEffects returns the collected effects and clears them.
func (r *Reducer) takeEffects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

// emit adds an effect to the result of the current Step.
func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// setTimer requests a timer. Earlier timers are ignored when they fire.
func (r *Reducer) setTimer(delay time.Duration) {
	r.validTimerSeq++
	r.emit(Timer{At: r.now + delay, Token: Token{r.validTimerSeq}})
}

// setLocalObservations replaces this member's own observations. It drops the entries of other members for servers that are no
// longer listed, and entries older than MaxAge.
func (r *Reducer) setLocalObservations(servers map[uint32]Observation) {
	r.localObservations = maps.Clone(servers)
	r.sendOrder = slices.DeleteFunc(r.sendOrder, func(s uint32) bool { _, listed := r.localObservations[s]; return !listed })
	for _, s := range slices.Sorted(maps.Keys(r.localObservations)) {
		if !slices.Contains(r.sendOrder, s) {
			r.sendOrder = append([]uint32{s}, r.sendOrder...)
		}
	}
	for i := range r.observers {
		maps.DeleteFunc(r.observers[i].Entries, func(s uint32, e entry) bool {
			_, listed := r.localObservations[s]
			return !listed || r.now > e.ObservedAt+r.cfg.Limits.MaxAge
		})
	}
}

// sendQueries sends queries to a few members after the start, every RetryInterval: until entries of another member have come,
// or Fanout messages without entries, or MaxQueryRounds is reached. While this member lists no servers it only waits.
// Each time it prefers members that were not queried before, and among those the available ones.
func (r *Reducer) sendQueries() {
	if r.queriesDone || r.queryRounds >= r.cfg.Limits.MaxQueryRounds || r.cfg.TierSize == 1 {
		return
	}
	if len(r.localObservations) > 0 {
		r.queryRounds++
		candidates := r.rng.Perm(r.cfg.TierSize)
		// rank orders the candidates: available before unavailable members, members already queried last.
		rank := func(member int) (value int) {
			if r.queried[member] {
				value = 2
			}
			if !r.available[member] {
				value++
			}
			return value
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

// handleMessage processes a decoded message from the member with the index from.
func (r *Reducer) handleMessage(from int, msg message) {
	if from < 0 || from >= r.cfg.TierSize || from == r.cfg.Self {
		r.counters.UnknownSenders++
		return
	}
	switch err := msg.validate(r.cfg.TierSize); {
	case errors.Is(err, errIncompatible):
		r.counters.UnknownSenders++
		return
	case err != nil:
		r.counters.Malformed++
		return
	}
	if msg.Kind == kindIncarnation {
		r.handleIncarnationReport(msg)
		return
	}
	delay := r.extraDelay(&r.observers[from], msg)
	if delay < 0 { // the message is of an earlier incarnation of the sender
		r.reportIncarnation(from)
		return
	}
	if msg.Kind == kindQuery {
		r.sendAnswer(from)
		return
	}
	if len(msg.Items) == 0 {
		r.emptyAnswers++
	}
	r.queriesDone = r.queriesDone || len(msg.Items) > 0 || r.emptyAnswers >= r.cfg.Limits.Fanout
	r.applyEntries(&r.observers[from], msg, delay)
}

// extraDelay returns how much longer a message was under way than the quickest message of its sender, as far as the
// clocks show. The result is negative if the message is of an earlier incarnation of the sender. It is 0 for the first message
// of an incarnation and for one quicker than the minimum, whose lag it records as the new minimum. The minimum grows with
// time, because the pace of two clocks may differ by up to two hundredths.
func (r *Reducer) extraDelay(observer *observerState, msg message) time.Duration {
	const maxDrift = 0.02
	lag := int64(r.now/time.Millisecond) - int64(msg.Stamp)
	if observer.Seen && incarnationBefore(msg.Incarnation, observer.Incarnation) {
		return -1
	}
	if !observer.Seen || msg.Incarnation != observer.Incarnation {
		observer.Seen, observer.Incarnation, observer.MinLag, observer.MinLagAt = true, msg.Incarnation, lag, r.now
		// Any entry of the new incarnation is newer than the stored ones.
		for s, e := range observer.Entries {
			e.Stamp = 0
			observer.Entries[s] = e
		}
		return 0
	}
	if minLag := observer.MinLag + int64(maxDrift*float64(r.now-observer.MinLagAt)/float64(time.Millisecond)); lag < minLag {
		observer.MinLag, observer.MinLagAt = lag, r.now
		return 0
	} else {
		return time.Duration(lag-minLag) * time.Millisecond
	}
}

// applyEntries stores the entries of an observer's message, which was under way longer than the quickest one by delay. It ignores
// entries for unlisted servers, entries that are no newer than the stored ones, and new entries beyond MaxServers.
func (r *Reducer) applyEntries(observer *observerState, msg message, delay time.Duration) {
	var updated []uint32
	for items := msg.Items; len(items) > 0; {
		server, obs, n := decodeObservation(items, r.now-delay)
		items = items[n:]
		if _, listed := r.localObservations[server]; !listed {
			r.counters.Unlisted++
			continue
		}
		old, known := observer.Entries[server]
		if known && msg.Stamp <= old.Stamp && old.Stamp > 0 {
			r.counters.Stale++
			continue
		}
		if !known && len(observer.Entries) >= r.cfg.Limits.MaxServers {
			continue
		}
		if observer.Entries == nil {
			observer.Entries = make(map[uint32]entry)
		}
		observer.Entries[server] = entry{obs, max(msg.Stamp, 1), r.now - delay}
		r.counters.EntriesReceived++
		updated = append(updated, server)
	}
	if len(updated) > 0 {
		r.emit(ServersUpdated{updated})
	}
}

// sendAnswer sends all own entries to a member that queried them.
func (r *Reducer) sendAnswer(member int) {
	r.counters.QueriesAnswered++
	remaining := 0
	for _, obs := range r.localObservations {
		if obs.hasData() {
			remaining++
		}
	}
	for first := true; first || remaining > 0; first = false { // at least one message, even if nothing has been observed
		msg, n := r.nextOwnEntries(datagram.MaxSize-datagram.Overhead, len(r.sendOrder))
		r.send(member, msg)
		remaining -= max(n, 1)
	}
}

// nextOwnEntries returns a message with as many own entries as fit into remainingSpace bytes, and their number. Entries
// sent longest ago come first. All fresh entries may be included, and at most maxNotFresh others: an entry is fresh if
// its load report is young (see freshHalfLives) or its server drains. The included entries count as sent.
func (r *Reducer) nextOwnEntries(remainingSpace, maxNotFresh int) (msg message, entryCount int) {
	msg = r.withSenderFields(message{Kind: kindEntries, Items: []int64{}})
	remainingSpace -= datagram.Size(msg) + 2 // two bytes more for the length of the list of items
	var sent, unsent []uint32
	for _, server := range r.sendOrder {
		obs := r.localObservations[server]
		if !obs.hasData() {
			unsent = append(unsent, server)
			continue
		}
		fresh := obs.HoldBackShareAt > 0 && r.now-obs.HoldBackShareAt < freshHalfLives*r.cfg.Limits.HalfLife || obs.DrainingSince > 0
		items, size := obs.encode(server, r.now), 0
		for _, item := range items {
			size += datagram.IntSize(item)
		}
		if !fresh && maxNotFresh <= 0 || size > remainingSpace {
			unsent = append(unsent, server)
			continue
		}
		if !fresh {
			maxNotFresh--
		}
		remainingSpace -= size
		msg.Items = append(msg.Items, items...)
		sent = append(sent, server)
	}
	r.sendOrder = append(unsent, sent...)
	r.counters.EntriesSent += uint64(len(sent))
	return msg, len(sent)
}

// The choice of the entries that a message carries (see nextOwnEntries).
const (
	// freshHalfLives is the age, in half-lives, up to which a load report is worth its bytes. The entry of a draining
	// server always is.
	freshHalfLives = 4
	// maxNotFreshPiggybacked is the max number of entries without a fresh report that are piggybacked on one datagram.
	// They carry the observations that change slowly.
	maxNotFreshPiggybacked = 1
)

// send sends a message to a member in a separate datagram.
func (r *Reducer) send(to int, msg message) {
	data := datagram.Encode(Version, r.withSenderFields(msg))
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: to, Data: data})
}

// AppendPiggyback appends own entries to a datagram of another protocol, as far as there is room, and returns the
// datagram; without room or entries it returns the datagram unchanged.
func (r *Reducer) AppendPiggyback(now Time, data []byte) []byte {
	r.now = max(now, r.now)
	msg, n := r.nextOwnEntries(datagram.MaxSize-len(data), maxNotFreshPiggybacked)
	if n == 0 {
		return data
	}
	piggyback := datagram.EncodeItem(msg)
	r.counters.SentBytes += uint64(len(piggyback))
	return datagram.AppendPiggyback(data, piggyback)
}
