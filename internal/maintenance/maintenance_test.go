package maintenance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"elmseam/internal/datagram"
)

const second = time.Second

// world is a tier in its own time: datagrams take a millisecond, and those that cut names are lost.
type world struct {
	*testing.T
	limits  Limits
	zones   []int
	without Guard
	now     Time
	rs      []*Reducer // nil: killed
	drains  []bool
	queue   []happening
	seq     int
	loss    float64
	rng     *rand.Rand
	cut     func(from, to int) bool
	stages  [][]Stage // of each one's own requests, as they came
	at      []Time    // when each went out last
	most    int       // out at once
}

type happening struct {
	at   Time
	seq  int
	to   int
	life *Reducer
	ev   Event
}

func begin(t *testing.T, n int, limits Limits) *world {
	t.Helper()
	w := &world{T: t, limits: limits, now: 1_000_000 * second, rs: make([]*Reducer, n), drains: make([]bool, n), stages: make([][]Stage, n),
		at: make([]Time, n), rng: rand.New(rand.NewPCG(1, 2)), zones: make([]int, n)}
	for m := range n {
		w.zones[m] = -1
		w.start(m)
	}
	return w
}

func short() Limits {
	l := Defaults()
	l.Lease, l.WorkLease, l.Round = 2*second, 4*second, 200*time.Millisecond
	return l
}

func (w *world) start(m int) {
	r, out, err := New(Config{Self: m, TierSize: len(w.rs), Zone: w.zones[m], Name: fmt.Sprint("n", m), Limits: w.limits, Seed: uint64(w.seq), DisabledGuards: w.without}, w.now)
	if err != nil {
		w.Fatal(err)
	}
	w.rs[m], w.drains[m] = r, false
	w.carry(m, out)
	for o := range w.rs {
		w.step(m, MemberAvailability{Member: o, Available: true})
		w.step(o, MemberAvailability{Member: m, Available: true})
	}
	w.step(m, Serving{Serving: true})
}

func (w *world) kill(m int) {
	w.rs[m], w.drains[m] = nil, false
	for o := range w.rs {
		w.step(o, MemberAvailability{Member: m})
	}
}

func (w *world) step(m int, ev Event) {
	if r := w.rs[m]; r != nil {
		w.carry(m, r.Step(w.now, ev))
	}
}

func (w *world) push(in time.Duration, to int, ev Event) {
	w.seq++
	w.queue = append(w.queue, happening{w.now + in, w.seq, to, w.rs[to], ev})
}

func (w *world) carry(m int, out []Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case Send:
			if len(e.Data) > datagram.MaxSize {
				w.Errorf("a datagram of %d bytes", len(e.Data))
			}
			if w.cut != nil && w.cut(m, e.To) || w.rng.Float64() < w.loss {
				continue
			}
			w.push(time.Millisecond, e.To, Datagram{From: m, Data: e.Data})
		case Timer:
			w.push(max(e.At-w.now, 0), m, TimerFired{Token: e.Token})
		case Drain:
			if w.drains[m] = e.On; e.On {
				w.at[m] = w.now
				w.push(300*time.Millisecond, m, Drained{})
			}
		case RequestChanged:
			if e.Member == m {
				w.stages[m] = append(w.stages[m], e.Record.Stage)
			}
		}
	}
	n := 0
	for _, out := range w.drains {
		if out {
			n++
		}
	}
	w.most = max(w.most, n)
}

func (w *world) pass(d time.Duration) {
	for end := w.now + d; ; {
		slices.SortFunc(w.queue, func(a, b happening) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.seq - b.seq
		})
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.now = end
			return
		}
		h := w.queue[0]
		w.queue = w.queue[1:]
		w.now = max(w.now, h.at)
		if _, datagram := h.ev.(Datagram); datagram || h.life == w.rs[h.to] {
			w.step(h.to, h.ev)
		}
	}
}

// out are those that drain or are ready now.
func (w *world) outNow() (out []int) {
	for m, yes := range w.drains {
		if yes {
			out = append(out, m)
		}
	}
	return out
}

// finish has operators release whoever is ready, until time is up.
func (w *world) finish(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.pass(100 * time.Millisecond)
		for _, m := range w.outNow() {
			if w.rs[m].Status().Records[m].Stage == Ready {
				w.step(m, Cancel{Members: []int{m}})
			}
		}
	}
}

// once fails unless each of these was ready for work once, and nobody else ever was out.
func (w *world) once(members ...int) {
	w.Helper()
	for m, stages := range w.stages {
		ready := 0
		for _, s := range slices.Compact(slices.Clone(stages)) { // a new life hears of its stage again
			if s == Ready {
				ready++
			}
		}
		if want := map[bool]int{true: 1}[slices.Contains(members, m)]; ready != want {
			w.Errorf("member %d was ready for work %d times, want %d: %v", m, ready, want, stages)
		}
	}
}

// Two operators ask at two members in the same second, for some machines both: each goes once, B at a time, and all agree
// on the order, also where three in ten datagrams are lost.
func TestTwoOperators(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		l := short()
		l.Budget = 2
		w := begin(t, 5, l)
		w.pass(2 * second)
		w.loss = loss
		w.step(0, Request{Members: []int{1, 2, 3}})
		w.step(4, Request{Members: []int{2, 3, 0}})
		w.pass(100 * time.Millisecond)
		if loss == 0 {
			if a, b := w.rs[0].Queue(), w.rs[4].Queue(); !slices.Equal(a, b) || len(a) == 0 {
				t.Errorf("the order is %v, and %v elsewhere", a, b)
			}
		}
		w.finish(40 * second)
		w.loss = 0
		w.finish(10 * second)
		if loss == 0 {
			w.once(0, 1, 2, 3)
		}
		if w.most != 2 {
			t.Errorf("%d were out at once", w.most)
		}
		for _, r := range w.rs {
			for m, e := range r.Status().Records {
				if !e.Stage.Ended() {
					t.Errorf("member %d is %v in the end", m, e.Stage)
				}
			}
		}
	}
}

// Of those asked for at once zones take turns; those asked for earlier go before.
func TestOrderSpreadsOverZones(t *testing.T) {
	w := begin(t, 6, short())
	w.zones = []int{0, 0, 0, 1, 1, 2}
	for m := range w.rs {
		w.start(m)
	}
	w.pass(3 * second)
	w.step(0, Request{Members: []int{2}})
	w.pass(5 * time.Millisecond)
	w.step(0, Request{Members: []int{0, 1, 3, 4, 5}})
	if got := fmt.Sprint(w.rs[0].Queue()); got != "[2 3 5 0 4 1]" && got != "[3 5 0 4 1]" { // 2 may be out by now
		t.Errorf("the order is %s", got)
	}
}

// A member cut off from the majority starts no drain, and what it holds ends by its own clock before anybody else goes;
// when the cut has healed all are served.
func TestMinorityStartsNothing(t *testing.T) {
	w := begin(t, 5, short())
	w.pass(2 * second)
	w.step(3, Request{Members: []int{3, 0}})
	w.pass(250 * time.Millisecond)
	if got := w.outNow(); len(got) != 1 {
		t.Fatalf("out: %v", got)
	}
	w.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
	w.finish(8 * second)
	if w.at[3] > w.at[0] {
		t.Errorf("member 3 went out at %v, cut off", w.at[3])
	}
	w.cut = nil
	w.finish(15 * second)
	if w.most != 1 {
		t.Errorf("%d were out at once", w.most)
	}
	w.once(0, 3)
}

// A holder that dies frees its slot within its lease; the request for it waits until it is back, and it goes then.
func TestHolderDies(t *testing.T) {
	w := begin(t, 3, short())
	w.pass(2 * second)
	w.step(0, Request{Members: []int{0, 1}})
	w.pass(250 * time.Millisecond)
	w.kill(0)
	died := w.now
	w.finish(6 * second)
	if took := w.at[1] - died; took <= 0 || took > w.limits.Lease+2*w.limits.Round {
		t.Errorf("the next went %v after the death", took)
	}
	w.start(0)
	w.finish(10 * second)
	w.once(0, 1)
}

// Amnesia: while one holds a slot, the two others that granted it start anew. They grant it to nobody else before they
// know; without that rule two are out.
func TestWhoStartsAnewGrantsNothing(t *testing.T) {
	for _, without := range []Guard{0, GuardRecover} {
		w := begin(t, 3, short())
		w.without = without
		w.pass(2 * second)
		w.step(0, Request{Members: []int{0, 1}})
		w.pass(250 * time.Millisecond)
		if got := w.outNow(); !slices.Equal(got, []int{0}) {
			t.Fatalf("out: %v", got)
		}
		w.cut = func(from, _ int) bool { return from == 0 } // its word of the lease is lost, its word of the requests was heard
		w.kill(2)
		w.start(2)
		w.pass(100 * time.Millisecond)
		w.kill(1)
		w.start(1)
		w.step(1, Request{Members: []int{1}})
		w.step(2, Request{Members: []int{1}})
		w.pass(1500 * time.Millisecond)
		if (w.most > 1) != (without != 0) {
			t.Errorf("without %d: %d were out at once", without, w.most)
		}
	}
}

// A budget that is lowered while more are out throws none back and lets none more out until few enough are.
func TestLoweredBudget(t *testing.T) {
	l := short()
	l.Budget = 3
	w := begin(t, 5, l)
	w.pass(2 * second)
	w.step(0, Request{Members: []int{0, 1, 2, 3, 4}})
	for range 30 { // two may want one slot at first
		if w.pass(100 * time.Millisecond); len(w.outNow()) == 3 {
			break
		}
	}
	if got := w.outNow(); len(got) != 3 {
		t.Fatalf("out: %v", got)
	}
	for m := range w.rs {
		w.step(m, SetBudget{Budget: 1})
	}
	out := w.outNow()
	for range 2 {
		m := out[len(out)-1]
		out = out[:len(out)-1]
		w.step(m, Cancel{Members: []int{m}})
		w.pass(second)
		if got := w.outNow(); !slices.Equal(got, out) {
			t.Errorf("out: %v, want %v", got, out)
		}
	}
	w.finish(20 * second)
	w.once(0, 1, 2, 3, 4)
}

// A member ready for work that ends keeps its slot while it is away, gives it back when it serves again, and is done.
func TestAwayForWork(t *testing.T) {
	w := begin(t, 3, short())
	w.pass(2 * second)
	w.step(1, Request{Members: []int{0, 1}})
	w.pass(800 * time.Millisecond)
	first := w.outNow()[0]
	if s := w.rs[first].Status().Records[first].Stage; s != Ready {
		t.Fatalf("member %d is %v", first, s)
	}
	w.kill(first)
	w.pass(2500 * time.Millisecond) // past its first lease
	if got := w.outNow(); len(got) > 0 {
		t.Errorf("out while one is away: %v", got)
	}
	w.start(first)
	w.finish(8 * second)
	w.once(0, 1)
}

// A slot given back is free for the next although all heard of it too late the first time: who granted it for as long as a
// machine may be away would else hold it that long.
func TestLostRelease(t *testing.T) {
	l := short()
	l.WorkLease = time.Hour
	w := begin(t, 3, l)
	w.pass(2 * second)
	w.step(0, Request{Members: []int{0, 1}})
	w.pass(800 * time.Millisecond)
	if got := w.outNow(); !slices.Equal(got, []int{0}) || w.rs[0].Status().Records[0].Stage != Ready {
		t.Fatalf("out: %v", got)
	}
	w.cut = func(from, to int) bool { return from == 0 }
	w.step(0, Cancel{Members: []int{0}})
	w.cut = nil
	w.finish(5 * second)
	w.once(0, 1)

	// So it is where who gives it back dies at once, as soon as it is back.
	w.step(0, Request{Members: []int{0, 1}})
	w.pass(1500 * time.Millisecond)
	w.cut = func(from, to int) bool { return from == 0 }
	w.step(0, Cancel{Members: []int{0}})
	w.cut = nil
	w.step(1, Cancel{Members: []int{0}}) // known elsewhere, but not from who held it
	w.kill(0)
	w.pass(second)
	if got := w.outNow(); len(got) > 0 {
		t.Errorf("out: %v", got)
	}
	w.start(0)
	w.pass(2 * second)
	if got := w.outNow(); !slices.Equal(got, []int{1}) {
		t.Errorf("out: %v, want the next", got)
	}
}

// A great tier that starts at once causes no storm of queries, and settles.
func TestNoStorm(t *testing.T) {
	w := begin(t, 60, short())
	w.pass(20 * second)
	most := uint64(0)
	for m, r := range w.rs {
		if s := r.Status(); !s.Recovered {
			t.Errorf("member %d is not settled", m)
		} else {
			most = max(most, s.Counters.Sent)
		}
	}
	if most > 250 { // 59 queries, some again, and as many answers to others'
		t.Errorf("a member sent %d datagrams", most)
	}
}

// Merge comes to the same in every order, however often, and two requests made at once for one member are one.
func TestMerge(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	draw := func() Record {
		return Record{Generation: 1 + r.Uint32N(3), RequestedAt: 1 + r.Uint64N(3), Restarts: r.Uint32N(3), Stage: Stage(1 + r.IntN(int(stages)-1)), Slot: uint8(r.IntN(2)), Epoch: r.Uint64N(3)}
	}
	for range 20000 {
		a, b, c := draw(), draw(), draw()
		if Merge(a, b) != Merge(b, a) || Merge(a, a) != a || Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) || Merge(Merge(a, b), b) != Merge(a, b) {
			t.Fatalf("%+v, %+v, %+v", a, b, c)
		}
	}
	if got := Merge(Record{Generation: 1, RequestedAt: 5, Stage: Draining, Epoch: 9}, Record{Generation: 1, RequestedAt: 4, Stage: Waiting}); got != (Record{Generation: 1, RequestedAt: 4, Stage: Draining, Epoch: 9}) {
		t.Errorf("%+v", got)
	}
}

// Datagrams that are damaged, of another version or tier, or from nobody are counted and change nothing.
func TestDropped(t *testing.T) {
	w := begin(t, 3, short())
	w.pass(second)
	good := w.rs[1].encode(message{Kind: ask, Slot: 0, Epoch: 1 << 62, Lease: 1000})
	other := begin(t, 4, short()).rs[1].encode(message{Kind: ask, Epoch: 1 << 62, Lease: 1000})
	r := w.rs[0]
	before := r.Status().Grants
	for i := range good {
		bad := slices.Clone(good)
		bad[i] ^= 8
		r.Step(w.now, Datagram{From: 1, Data: bad})
		r.Step(w.now, Datagram{From: 1, Data: good[:i]})
	}
	version := slices.Clone(good)
	version[0]++
	r.Step(w.now, Datagram{From: 1, Data: datagram.FixChecksum(version)})
	r.Step(w.now, Datagram{From: 1, Data: other})
	r.Step(w.now, Datagram{From: 3, Data: good})
	r.Step(w.now, Datagram{From: 1, Data: r.encode(message{Kind: news, Items: []int64{0, 1, 1, 0, 99, 0, 0}})})
	f := r.Status().Counters
	if f.Malformed != uint64(2*len(good)+1) || f.VersionMismatches != 1 || f.UnknownSenders != 2 || !slices.Equal(r.Status().Grants, before) {
		t.Errorf("%+v, grants %v", f, r.Status().Grants)
	}
	r.Step(w.now, Datagram{From: 1, Data: good})
	if r.Status().Grants[0].Holder != 1 {
		t.Error("a good one is not taken")
	}
}

// FuzzDatagram: whatever comes, the reducer stands, and no effect breaks the size.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte{Version, 0x8a, 0, 5, 0, 1, 0, 1, 0x19, 3, 0xe8, 0xf5, 0, 0x60, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, _, err := New(Config{TierSize: 5, Limits: Defaults()}, second)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range [][]byte{data, datagram.FixChecksum(append(slices.Clone(data), 0, 0, 0, 0))} {
			for _, e := range r.Step(2*second, Datagram{From: 1, Data: d}) {
				if s, ok := e.(Send); ok && len(s.Data) > datagram.MaxSize {
					t.Errorf("a datagram of %d bytes", len(s.Data))
				}
			}
		}
	})
}
