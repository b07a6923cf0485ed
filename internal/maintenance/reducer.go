package maintenance

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
)

// Config is what a member is told.
type Config struct {
	Self, TierSize int    // the own number, and how many members there are
	Zone           int    // the own zone; -1: none is told
	Name           string // the own name, as operators know it
	Limits         Limits
	Seed           uint64
	DisabledGuards Guard // taken out, for checks that have to see a rule broken; no program sets it
}

// Guard names a part of the protocol that a check can take out.
type Guard uint8

// The guards.
const (
	GuardRecover   Guard = 1 << iota // who starts anew grants nothing until it knows what it may have granted
	GuardExpiry                      // a holder stops believing in a lease that has run out
	GuardStopDrain                   // who loses its slot takes its callers back
)

// round is one of asking the tier for a slot, or to go on granting it.
type round struct {
	Seq   uint32
	Slot  int
	Epoch uint64
	Began Time
	Lease time.Duration
	With  []int // who is asked
	Yes   []int
	No    int
}

// lease is the one held.
type lease struct {
	Slot  int
	Epoch uint64
	Seq   uint32 // of the round that brought it last
	Until Time
	By    []int // who grants it
}

// giving is a slot given back, told again a few times: who misses it would hold the slot granted for as long as the
// lease lasts.
type giving struct {
	Slot  int
	Epoch uint64
	Left  int // times
}

// answer is what a member has answered to queries, after a start, when its records and ours were the same.
type answer struct{ Came, Settled bool }

// Reducer is one member's part. It is not safe for concurrent use.
type Reducer struct {
	cfg     Config
	now     Time
	began   Time
	rng     *rand.Rand
	out     []Effect
	records []Record
	fresh   []int // times that a record is still to be passed on
	zones   []int8
	names   []string
	there   []bool
	serving bool
	grants  [Slots]Grant
	tops    [Slots]uint64 // the highest epoch granted or given back
	busy    [Slots]Time   // till then others are held to have granted the slot: it is not asked for
	settled bool
	nonce   uint32 // of this life's queries: what answers an earlier one's is passed over
	queries uint32 // rounds of them
	asking  int    // who is asked next
	answers []answer
	round   *round
	lease   *lease
	back    []giving
	retry   Time
	drained bool
	seq     uint32
	ticks   uint32
	cursor  int // whose record goes next
	figures Counters
}

// somebody holds a slot of which answers to a query differ: nobody gets it until it has run out.
const somebody = -2

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
	r := &Reducer{
		cfg: cfg, now: now, began: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d61696e)),
		records: make([]Record, cfg.TierSize), fresh: make([]int, cfg.TierSize), zones: make([]int8, cfg.TierSize), names: make([]string, cfg.TierSize),
		there: make([]bool, cfg.TierSize), answers: make([]answer, cfg.TierSize), settled: cfg.TierSize == 1,
	}
	r.cfg.Name = cfg.Name[:min(len(cfg.Name), nameMost)]
	r.names[cfg.Self] = r.cfg.Name
	for m := range r.zones {
		r.zones[m] = -1
	}
	r.zones[cfg.Self], r.there[cfg.Self] = int8(cfg.Zone), true
	for s := range r.grants {
		r.grants[s].Holder = -1
	}
	r.nonce = r.rng.Uint32()
	r.settled = r.settled || !r.has(GuardRecover)
	r.next(time.Duration(r.rng.Int64N(int64(cfg.Limits.Round))))
	return r, r.take(), nil
}

// Step takes in one event. The effects are to be carried out in their order. A time before that of the last Step counts
// as the last one's.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	r.fence()
	switch ev := ev.(type) {
	case Datagram:
		r.datagram(ev)
	case TimerFired:
		r.timer(ev.Token)
	case Request:
		r.request(ev.Members)
	case Cancel:
		r.cancel(ev.Members)
	case MemberAvailability:
		if ev.Member >= 0 && ev.Member < r.cfg.TierSize && ev.Member != r.cfg.Self {
			r.there[ev.Member] = ev.Available
		}
	case Drained:
		if r.lease != nil && !r.drained {
			r.drained = true
			r.renew()
		}
	case Serving:
		r.serving = ev.Serving
		r.consider()
	case SetBudget:
		if ev.Budget >= 1 && ev.Budget <= Slots {
			r.cfg.Limits.Budget = ev.Budget
		}
	}
	return r.take()
}

func (r *Reducer) take() []Effect {
	out := r.out
	r.out = nil
	return out
}

func (r *Reducer) do(e Effect)      { r.out = append(r.out, e) }
func (r *Reducer) has(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }
func (r *Reducer) number() uint32   { r.seq++; return r.seq }
func (r *Reducer) quorum() int      { return r.cfg.TierSize/2 + 1 }

// next asks for the next look.
func (r *Reducer) next(in time.Duration) {
	r.ticks++
	r.do(Timer{At: r.now + in, Token: Token{kind: tokenTick, seq: r.ticks}})
}

func (r *Reducer) timer(t Token) {
	switch t.kind {
	case tokenTick:
		if t.seq != r.ticks {
			return
		}
		if !r.settled {
			r.recover()
		}
		r.consider()
		r.remind()
		r.gossip()
		r.next(r.cfg.Limits.Round)
	case tokenAgain: // the half of its time is over: what was lost goes out once more
		if r.round != nil && r.round.Seq == t.seq {
			r.askThem()
		}
	case tokenRound:
		if r.round != nil && r.round.Seq == t.seq {
			r.lose()
		}
	case tokenRenew:
		if r.lease != nil && r.round == nil && r.lease.Seq == t.seq {
			r.renew()
		}
	}
}

// fence ends a lease that has run out, before anything else: a holder that stood still past it does not believe that it
// holds it when it wakes.
func (r *Reducer) fence() {
	if r.lease == nil || r.now < r.lease.Until || !r.has(GuardExpiry) {
		return
	}
	r.figures.Expired++
	r.giveUp()
	r.again()
}

// giveUp is left without a slot, and takes its callers back.
func (r *Reducer) giveUp() {
	r.lease, r.round, r.drained = nil, nil, false
	if r.has(GuardStopDrain) {
		r.do(Drain{})
	}
}

// again has the own request begin again.
func (r *Reducer) again() {
	e := r.records[r.cfg.Self]
	if e.Stage.Ended() {
		return
	}
	e.Restarts++
	e.Stage = Waiting
	r.set(r.cfg.Self, e)
}

// request takes in what an operator asks for. Of a member that is asked for already nothing changes.
func (r *Reducer) request(members []int) {
	if !r.settled {
		return
	}
	for _, m := range members {
		if m < 0 || m >= r.cfg.TierSize || !r.records[m].Stage.Ended() {
			continue
		}
		r.set(m, Record{Generation: r.records[m].Generation + 1, RequestedAt: uint64(r.now / time.Millisecond), Stage: Waiting})
	}
	r.consider()
}

// cancel withdraws requests; of a member that is ready for work it says that the work is done.
func (r *Reducer) cancel(members []int) {
	for _, m := range members {
		if m < 0 || m >= r.cfg.TierSize || r.records[m].Stage.Ended() {
			continue
		}
		e := r.records[m]
		if e.Stage == Ready {
			e.Stage = Done
		} else {
			e.Stage = Withdrawn
		}
		r.set(m, e)
	}
}

// set takes a record over, tells of it, and passes it on, at once to a few. The own request's end gives the slot back.
func (r *Reducer) set(m int, e Record) {
	if r.records[m] == e {
		return
	}
	r.records[m] = e
	r.fresh[m] = r.cfg.Limits.Transmissions
	r.do(RequestChanged{m, e})
	for _, to := range r.some(3) {
		r.sendRecords(to, []int{m})
	}
	if m == r.cfg.Self && e.Stage.Ended() {
		if r.lease != nil {
			r.release(r.lease.Slot, r.lease.Epoch)
			r.giveUp()
		} else if r.round != nil {
			r.lose()
		}
	}
}

// Queue are the members that wait, in their order: as they were asked for, and of those asked for at once such that zones
// take turns. All that have the same records have the same order.
func (r *Reducer) Queue() []int {
	var waiting []int
	busy := make(map[int8]int)
	for m, e := range r.records {
		switch e.Stage {
		case Waiting:
			waiting = append(waiting, m)
		case Draining, Ready:
			busy[r.zones[m]]++
		}
	}
	slices.SortStableFunc(waiting, func(a, b int) int {
		return int(int64(r.records[a].RequestedAt) - int64(r.records[b].RequestedAt))
	})
	var queue []int
	for len(waiting) > 0 {
		best := 0
		for i, m := range waiting {
			if r.records[m].RequestedAt != r.records[waiting[0]].RequestedAt {
				break
			}
			if busy[r.zones[m]] < busy[r.zones[waiting[best]]] {
				best = i
			}
		}
		m := waiting[best]
		waiting = slices.Delete(waiting, best, best+1)
		busy[r.zones[m]]++
		queue = append(queue, m)
	}
	return queue
}

// consider looks whether the own turn has come, or the own work is over.
func (r *Reducer) consider() {
	e := r.records[r.cfg.Self]
	if !r.settled || r.lease != nil || r.round != nil || r.now < r.retry || e.Stage.Ended() {
		return
	}
	if e.Stage != Waiting { // of an earlier life
		if !r.serving {
			return
		}
		r.release(int(e.Slot), e.Epoch)
		if e.Stage == Ready {
			e.Stage = Done
			r.set(r.cfg.Self, e)
			return
		}
		r.again()
	}
	place := 0
	for _, m := range r.Queue() {
		if m == r.cfg.Self {
			break
		}
		if r.there[m] {
			place++
		}
	}
	for slot := range r.usable() {
		if r.live(slot) || r.now < r.busy[slot] {
			continue
		}
		if place == 0 {
			r.drained = false
			r.ask(slot, max(slices.Max(r.tops[:]), uint64(r.now/time.Millisecond)<<16)&^0xffff+1<<16|uint64(r.cfg.Self), r.cfg.Limits.Lease, nil)
			return
		}
		place--
	}
}

// live says whether a slot is granted to somebody now, for all that this member knows.
func (r *Reducer) live(slot int) bool {
	g := r.grants[slot]
	return g.Holder != -1 && r.now < g.Expiry
}

// usable are the slots, from the first, that may be granted anew: B of them, less those that a greater B let out.
func (r *Reducer) usable() int {
	n := r.cfg.Limits.Budget
	for s := r.cfg.Limits.Budget; s < Slots; s++ {
		if r.live(s) {
			n--
		}
	}
	return max(n, 0)
}

// ask begins a round: with these members, or with all.
func (r *Reducer) ask(slot int, epoch uint64, lease time.Duration, with []int) {
	r.round = &round{Seq: r.number(), Slot: slot, Epoch: epoch, Began: r.now, Lease: lease}
	r.figures.Rounds++
	for m := range r.cfg.TierSize {
		if m != r.cfg.Self && (with == nil || slices.Contains(with, m)) {
			r.round.With = append(r.round.With, m)
		}
	}
	r.askThem()
	r.do(Timer{At: r.now + r.cfg.Limits.Round/2, Token: Token{kind: tokenAgain, seq: r.round.Seq}})
	r.do(Timer{At: r.now + r.cfg.Limits.Round, Token: Token{kind: tokenRound, seq: r.round.Seq}})
	if yes, _ := r.vote(r.cfg.Self, slot, epoch, lease); yes {
		r.granted(r.cfg.Self, r.round.Seq)
	} else {
		r.refused(r.round.Seq)
	}
}

// askThem asks those who have not said yes yet.
func (r *Reducer) askThem() {
	w := r.round
	for _, m := range w.With {
		if !slices.Contains(w.Yes, m) {
			r.send(m, message{Kind: ask, Seq: w.Seq, Slot: uint8(w.Slot), Epoch: w.Epoch, Lease: uint32(w.Lease / time.Millisecond)})
		}
	}
}

// renew asks those who grant the lease to go on; for as long as a machine may be away, once this member is drained.
// Where they have not all answered the last time, it asks all.
func (r *Reducer) renew() {
	l := r.lease
	with := l.By
	if len(with) < r.quorum() {
		with = nil
	}
	for_ := r.cfg.Limits.Lease
	if r.drained {
		for_ = r.cfg.Limits.WorkLease
	}
	r.ask(l.Slot, l.Epoch, for_, with)
}

// vote is this member's answer, as one of the tier, to who asks for a slot. Items say why not.
func (r *Reducer) vote(from, slot int, epoch uint64, lease time.Duration) (yes bool, why []int64) {
	g := &r.grants[slot]
	mine := g.Holder == from && epoch == g.Epoch
	switch {
	case !r.settled, lease <= 0 || lease > r.cfg.Limits.WorkLease:
	case r.live(slot) && mine:
		yes = true
	case r.live(slot) && g.Holder != from: // its earlier life, or lease, is over by its own word
	case epoch <= r.tops[slot]:
	case !r.live(slot) && slot >= r.usable():
	default:
		yes = true
	}
	if yes {
		until := r.now + lease
		if mine {
			until = max(until, g.Expiry)
		}
		*g = Grant{Holder: from, Epoch: epoch, Expiry: until}
		r.tops[slot] = max(r.tops[slot], epoch)
		r.figures.VotesGranted++
		return true, nil
	}
	r.figures.VotesRefused++
	return false, []int64{int64(max(g.Holder, -1)), int64(max(g.Expiry-r.now, 0) / time.Millisecond), int64(r.tops[slot])}
}

// granted counts a yes; at a majority the slot is held, from when it was first asked for.
func (r *Reducer) granted(from int, seq uint32) {
	if l := r.lease; l != nil && l.Seq == seq && !slices.Contains(l.By, from) {
		l.By = append(l.By, from)
	}
	w := r.round
	if w == nil || w.Seq != seq || slices.Contains(w.Yes, from) {
		return
	}
	w.Yes = append(w.Yes, from)
	until := w.Began + r.cfg.Limits.sure(w.Lease)
	if len(w.Yes) < r.quorum() || r.now >= until {
		return
	}
	r.round = nil
	e := r.records[r.cfg.Self]
	if r.lease == nil {
		r.figures.Granted++
		r.lease = &lease{Slot: w.Slot, Epoch: w.Epoch}
		e.Stage, e.Slot, e.Epoch = Draining, uint8(w.Slot), w.Epoch
		r.do(Drain{On: true})
	} else {
		r.figures.Renewed++
		if r.drained && w.Lease == r.cfg.Limits.WorkLease {
			e.Stage = Ready
		}
	}
	r.lease.Seq, r.lease.Until, r.lease.By = seq, max(r.lease.Until, until), w.Yes
	r.do(Timer{At: w.Began + w.Lease/3, Token: Token{kind: tokenRenew, seq: seq}})
	r.do(Timer{At: r.lease.Until, Token: Token{kind: tokenEnd}})
	r.set(r.cfg.Self, e)
}

// refused counts a no.
func (r *Reducer) refused(seq uint32) {
	if w := r.round; w != nil && w.Seq == seq {
		if w.No++; w.No > r.cfg.TierSize-r.quorum() {
			r.lose()
		}
	}
}

// lose ends a round without a majority. For a new slot it takes back what it got, and tries again in a while; for the one
// that it holds it asks all, soon.
func (r *Reducer) lose() {
	w := r.round
	r.round = nil
	if r.lease != nil {
		r.lease.By = nil
		r.lease.Seq = w.Seq
		r.do(Timer{At: r.now + r.cfg.Limits.Round/2, Token: Token{kind: tokenRenew, seq: w.Seq}})
		return
	}
	r.release(w.Slot, w.Epoch)
	r.retry = r.now + r.cfg.Limits.Round + time.Duration(r.rng.Int64N(int64(2*r.cfg.Limits.Round)))
}

// release tells all that this member holds a slot no more by this epoch, now and a few times more.
func (r *Reducer) release(slot int, epoch uint64) {
	r.back = append(r.back, giving{slot, epoch, r.cfg.Limits.Transmissions})
	r.tellRelease(slot, epoch)
	r.released(r.cfg.Self, slot, epoch)
}

func (r *Reducer) tellRelease(slot int, epoch uint64) {
	for m := range r.cfg.TierSize {
		if m != r.cfg.Self {
			r.send(m, message{Kind: release, Slot: uint8(slot), Epoch: epoch})
		}
	}
}

// remind tells again what was given back.
func (r *Reducer) remind() {
	for i := range r.back {
		r.back[i].Left--
		r.tellRelease(r.back[i].Slot, r.back[i].Epoch)
	}
	r.back = slices.DeleteFunc(r.back, func(g giving) bool { return g.Left <= 0 })
}

func (r *Reducer) released(from, slot int, epoch uint64) {
	if g := &r.grants[slot]; g.Holder == from && g.Epoch <= epoch {
		g.Holder = -1
	}
	if from != r.cfg.Self {
		r.busy[slot] = 0
	}
	r.tops[slot] = max(r.tops[slot], epoch)
}

// some are so many other members, drawn at random: those that are there, or any if none is known to be.
func (r *Reducer) some(n int) []int {
	var there, all []int
	for m, yes := range r.there {
		if m == r.cfg.Self {
			continue
		}
		if all = append(all, m); yes {
			there = append(there, m)
		}
	}
	if len(there) == 0 {
		there = all
	}
	r.rng.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	return there[:min(n, len(there))]
}

// gossip passes news on to one member, and requests that are not over as long as there are any. When all is over and
// told, it is silent.
func (r *Reducer) gossip() {
	var due []int
	for i := range r.records {
		m := (r.cursor + i) % len(r.records)
		if r.fresh[m] > 0 || !r.records[m].Stage.Ended() {
			due = append(due, m)
		}
	}
	for _, to := range r.some(1) {
		n := r.sendRecords(to, due)
		for _, m := range due[:n] {
			r.fresh[m] = max(r.fresh[m]-1, 0)
		}
		if n < len(due) {
			r.cursor = due[n]
		}
	}
}

// sendRecords sends as many of these members' records as fit, and says how many did.
func (r *Reducer) sendRecords(to int, members []int) (n int) {
	m := message{Kind: news, Seq: math.MaxUint32, Sum: math.MaxUint32, Lease: math.MaxUint32, Epoch: 0}
	m.Tier, m.Zone, m.Name = uint16(r.cfg.TierSize), int8(r.cfg.Zone), r.cfg.Name
	room := datagram.MaxSize - datagram.Overhead - datagram.Size(m) - 2
	for _, of := range members {
		w := items(of, r.records[of])
		for _, v := range w {
			room -= datagram.IntSize(v)
		}
		if room < 0 {
			break
		}
		if r.records[of].Stage != None {
			m.Items = append(m.Items, w...)
		}
		n++
	}
	if len(m.Items) > 0 {
		r.send(to, message{Kind: news, Items: m.Items})
	}
	return n
}

func (r *Reducer) send(to int, m message) {
	m.Settled, m.Sum = r.settled, r.sum()
	data := r.encode(m)
	r.figures.Sent++
	r.figures.SentBytes += uint64(len(data))
	r.do(Send{To: to, Data: data})
}

// sum tells sets of records apart.
func (r *Reducer) sum() uint32 {
	var b []byte
	for m, e := range r.records {
		if e.Stage != None {
			for _, w := range items(m, e) {
				b = binary.BigEndian.AppendUint64(b, uint64(w))
			}
		}
	}
	return uint32(xxh3.Hash(b))
}

// datagram takes one in.
func (r *Reducer) datagram(d Datagram) {
	if d.From < 0 || d.From >= r.cfg.TierSize {
		r.figures.UnknownSenders++
		return
	}
	if d.From == r.cfg.Self {
		return
	}
	m, records, err := r.decode(d.Data)
	switch {
	case errors.Is(err, datagram.ErrVersion):
		r.figures.VersionMismatches++
		return
	case err != nil:
		r.figures.Malformed++
		return
	case int(m.Tier) != r.cfg.TierSize:
		r.figures.UnknownSenders++
		return
	}
	r.zones[d.From], r.names[d.From] = m.Zone, m.Name
	switch m.Kind {
	case ask:
		yes, why := r.vote(d.From, int(m.Slot), m.Epoch, time.Duration(m.Lease)*time.Millisecond)
		if yes {
			r.send(d.From, message{Kind: grant, Seq: m.Seq})
		} else {
			r.send(d.From, message{Kind: refuse, Seq: m.Seq, Slot: m.Slot, Items: why})
		}
	case grant:
		r.granted(d.From, m.Seq)
	case refuse:
		r.tops[m.Slot] = max(r.tops[m.Slot], uint64(m.Items[2]))
		if left := time.Duration(m.Items[1]) * time.Millisecond; m.Items[0] >= 0 && int(m.Items[0]) != r.cfg.Self && left > 0 {
			r.busy[m.Slot] = r.now + min(left, 4*r.cfg.Limits.Round) // a word of its end may be lost
		}
		r.refused(m.Seq)
	case release:
		r.released(d.From, int(m.Slot), m.Epoch)
		r.consider()
	case query:
		r.tell(d.From, m)
	case state:
		r.answered(d.From, m)
	case news:
		r.hear(d.From, records)
	}
}

// hear merges records, and tells the sender of those of which it knows less.
func (r *Reducer) hear(from int, records map[int]Record) {
	var owed []int
	for m := range r.records {
		theirs, told := records[m]
		if !told {
			continue
		}
		both := Merge(r.records[m], theirs)
		r.set(m, both)
		if both != theirs {
			owed = append(owed, m)
		}
	}
	if len(owed) > 0 {
		r.sendRecords(from, owed)
	}
	r.consider()
}
