package budget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"elmseam/internal/datagram"
)

// world is a tier of members with clocks of their own, and a network that a story spoils.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	limits  Limits
	without Guard
	nodes   []*node
	queue   []happening
	lost    func(from, to int) bool
	delay   func() time.Duration
	use     []float64
}

type node struct {
	r      *Reducer
	pace   float64 // of its clock
	life   int
	paused bool
	held   []happening
}

type happening struct {
	at   time.Duration
	to   int
	life int // of the member a timer is of; 0: a datagram
	ev   Event
}

const epoch = 1_700_000_000 * time.Second

func newWorld(t *testing.T, n int, without Guard, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), limits: Defaults(), without: without, use: make([]float64, n),
		lost: func(int, int) bool { return false }, delay: func() time.Duration { return 5 * time.Millisecond }}
	for range n {
		w.nodes = append(w.nodes, &node{pace: 1})
	}
	for m := range n {
		w.start(m)
	}
	return w
}

func (w *world) clock(m int) Time { return epoch + time.Duration(float64(w.now)*w.nodes[m].pace) }

func (w *world) start(m int) {
	n := w.nodes[m]
	n.life++
	n.r, _, _ = New(Config{Self: m, TierSize: len(w.nodes), Limits: w.limits, Seed: w.rng.Uint64(), DisabledGuards: w.without}, w.clock(m))
	for o := range w.nodes {
		w.step(m, MemberAvailability{o, w.nodes[o].r != nil || w.nodes[o].life == 0})
		w.step(o, MemberAvailability{m, true})
	}
	w.step(m, Demand{w.use[m]})
	w.step(m, ColdServer{Server: 7, Rate: 10, Until: w.clock(m) + time.Hour})
}

func (w *world) kill(m int) {
	w.nodes[m].r, w.nodes[m].paused, w.nodes[m].held = nil, false, nil
	w.tell(m, false)
}

// tell has all hold a member to be there, or not.
func (w *world) tell(m int, there bool) {
	for o := range w.nodes {
		w.step(o, MemberAvailability{m, there})
	}
}

func (w *world) step(m int, ev Event) {
	n := w.nodes[m]
	if n.r == nil || n.paused {
		return
	}
	for _, e := range n.r.Step(w.clock(m), ev) {
		switch e := e.(type) {
		case Send:
			if len(e.Data) > datagram.MaxSize {
				w.t.Fatalf("a datagram of %d bytes", len(e.Data))
			}
			if !w.lost(m, e.To) {
				w.queue = append(w.queue, happening{w.now + w.delay(), e.To, 0, Datagram{m, e.Data}})
			}
		case Timer:
			w.queue = append(w.queue, happening{time.Duration(float64(e.At-epoch) / n.pace), m, n.life, TimerFired{e.Token}})
		}
	}
	w.whole()
}

// whole is the rule: no unit of a part is used by two who run.
func (w *world) whole() {
	for p := range w.nodes {
		var all Mask
		for m, n := range w.nodes {
			if n.r == nil || n.paused {
				continue
			}
			use := n.r.Usable(w.clock(m), p)
			if all&use != 0 {
				w.t.Fatalf("at %v units %08b of part %d are used by member %d and another", w.now, all&use, p, m)
			}
			all |= use
		}
	}
}

func (w *world) run(until time.Duration) {
	for {
		first := -1
		for i, h := range w.queue {
			if h.at <= until && (first < 0 || h.at < w.queue[first].at) {
				first = i
			}
		}
		if first < 0 {
			w.now = max(w.now, until)
			w.whole()
			return
		}
		h := w.queue[first]
		w.queue = slices.Delete(w.queue, first, first+1)
		w.now = max(w.now, h.at)
		switch n := w.nodes[h.to]; {
		case n.r == nil || h.life != 0 && h.life != n.life:
		case n.paused:
			n.held = append(n.held, h)
		default:
			w.step(h.to, h.ev)
		}
	}
}

func (w *world) resume(m int) {
	n := w.nodes[m]
	n.paused = false
	w.whole()
	w.queue = append(w.queue, n.held...)
	n.held = nil
}

// units are how many units of a part are used, by whom most.
func (w *world) units(part int) (n int) {
	for m, e := range w.nodes {
		if e.r != nil && !e.paused {
			for u := e.r.Usable(w.clock(m), part); u != 0; u &= u - 1 {
				n++
			}
		}
	}
	return n
}

// What two dead leave goes to those who are there, when the leases of the dead have run out and not before; the sure unit of
// each goes to nobody. One that only stood still wakes with its sure unit alone, and has the rest back within two leases.
func TestTheDeadLeave(t *testing.T) {
	w := newWorld(t, 5, 0, 1)
	w.run(6 * time.Second)
	for p := range w.nodes {
		if n := w.units(p); n != Units {
			t.Fatalf("%d units of part %d are used, want %d", n, p, Units)
		}
	}
	w.kill(1)
	w.nodes[3].paused = true
	w.tell(3, false)
	w.run(7 * time.Second)
	if n := w.units(1) + w.units(3); n != 0 {
		t.Errorf("%d units of the two are used a second after, within their leases", n)
	}
	w.run(11 * time.Second)
	for _, p := range []int{1, 3} {
		if n := w.units(p); n != Units-1 {
			t.Errorf("%d units of part %d are used, want %d", n, p, Units-1)
		}
	}
	if rate, known := w.nodes[0].r.Rate(w.clock(0), 7); !known || rate <= 10 {
		t.Errorf("one who is there may use %v a second, %t; its own part is 10", rate, known)
	}
	w.resume(3)
	if use := w.nodes[3].r.Usable(w.clock(3), 3); use != sure {
		t.Errorf("who stood still uses units %08b when it wakes, want the sure one", use)
	}
	w.tell(3, true)
	w.run(16 * time.Second)
	if use := w.nodes[3].r.Usable(w.clock(3), 3); use != sure|movable {
		t.Errorf("and then %08b, want all", use)
	}
}

// A busy one borrows from an idle one at once; what is lent is not used by its owner, and comes back when the borrower dies.
func TestLent(t *testing.T) {
	for _, without := range []Guard{0, GuardLoan} {
		w := newWorld(t, 2, without, 1)
		both := func() (n Mask) {
			return w.nodes[0].r.Usable(w.clock(0), 1) & w.nodes[1].r.Usable(w.clock(1), 1)
		}
		w.run(4 * time.Second)
		w.use[0] = 3
		if without != 0 { // the rule is seen broken
			w.lost = func(from, _ int) bool { return false }
			w.nodes[1].r.lent[3] = loan{0, w.clock(1) + time.Second}
			if use := w.nodes[1].r.Usable(w.clock(1), 1); use&(1<<3) == 0 {
				t.Error("without its guard a member does not use what it has lent")
			}
			continue
		}
		w.step(0, Demand{3})
		w.run(6 * time.Second)
		if n := w.units(1); both() != 0 || n != Units || w.nodes[0].r.Usable(w.clock(0), 1) == 0 {
			t.Errorf("%d units of the idle one's part are used, %08b by both; the busy one uses %08b", n, both(), w.nodes[0].r.Usable(w.clock(0), 1))
		}
		w.kill(0)
		w.run(6*time.Second + 2*w.limits.Lease)
		if use := w.nodes[1].r.Usable(w.clock(1), 1) &^ sure; use != 0 {
			t.Errorf("one of two sees no majority and uses units %08b", use)
		}
	}
}

// When all start anew at once nobody knows anything: nobody uses more than its sure unit until all that may have been held
// is over.
func TestAllStartAnew(t *testing.T) {
	w := newWorld(t, 5, 0, 1)
	w.run(5 * time.Second)
	for m := range w.nodes {
		w.kill(m)
	}
	for m := range w.nodes {
		w.start(m)
	}
	for w.now < 5*time.Second+w.limits.Lease {
		w.run(w.now + 100*time.Millisecond)
		for p := range w.nodes {
			if n := w.units(p); n > 1 {
				t.Fatalf("%d units of part %d are used %v after the start", n, p, w.now-5*time.Second)
			}
		}
	}
	w.run(10 * time.Second)
	if n := w.units(2); n != Units {
		t.Errorf("%d units of a part are used 5 s after, want all", n)
	}
}

// Whatever is lost, late, doubled, cut, killed, started anew or stopped, with clocks a hundredth apart, no unit is used by
// two; when it is over, each one that is there has its own part and those of the dead are used.
func TestTurmoil(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, 5, 0, seed)
		for m, n := range w.nodes {
			n.pace = 1 + 0.01*float64(m-2)/2
		}
		cut := [5]bool{}
		w.lost = func(from, to int) bool { return cut[from] != cut[to] || w.rng.IntN(5) == 0 }
		w.delay = func() time.Duration {
			if w.rng.IntN(10) == 0 {
				return time.Duration(w.rng.IntN(3000)) * time.Millisecond
			}
			return time.Duration(w.rng.IntN(30)) * time.Millisecond
		}
		for range 40 {
			m := w.rng.IntN(5)
			switch n := w.nodes[m]; w.rng.IntN(8) {
			case 0:
				if n.r != nil {
					w.kill(m)
				}
			case 1:
				if n.r == nil {
					w.start(m)
				}
			case 2:
				if n.r != nil {
					n.paused = true
				}
			case 3:
				w.tell(m, w.rng.IntN(2) == 0) // views may be wrong
			case 4:
				cut[m] = !cut[m]
			case 5:
				w.use[m] = 3 * w.rng.Float64()
				w.step(m, Demand{w.use[m]})
			}
			for m, n := range w.nodes {
				if n.paused && w.rng.IntN(3) == 0 {
					w.resume(m)
				}
			}
			w.run(w.now + time.Duration(w.rng.IntN(700))*time.Millisecond)
		}
		w.lost, w.delay = func(int, int) bool { return false }, func() time.Duration { return 5 * time.Millisecond }
		for m, n := range w.nodes {
			if n.paused {
				w.resume(m)
			}
			if n.r == nil && m < 4 {
				w.start(m)
			}
			w.tell(m, w.nodes[m].r != nil)
		}
		w.run(w.now + 15*time.Second)
		for p, n := range w.nodes {
			want := Units
			if n.r == nil {
				want--
			}
			if got := w.units(p); got != want {
				t.Errorf("seed %d: %d units of part %d are used in the end, want %d", seed, got, p, want)
			}
		}
	}
}

// A tier too great for it keeps fixed parts, and garbage is counted.
func TestGreatTiersAndGarbage(t *testing.T) {
	r, _, err := New(Config{TierSize: 300, Limits: Defaults()}, epoch)
	if err != nil || r.Transferable() || len(r.Step(epoch, ColdServer{7, 1, epoch + time.Hour})) > 0 {
		t.Errorf("%v: parts move among 300", err)
	}
	if _, known := r.Rate(epoch, 7); known {
		t.Error("a rate where parts don't move")
	}
	r, _, _ = New(Config{TierSize: 5, Limits: Defaults()}, epoch)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		m := message{Kind: kind(rng.IntN(7)), Tier: 5, Seq: rng.Uint32(), Incarnation: rng.Uint64N(3), Items: []int64{}, Rates: []int64{}}
		for range rng.IntN(4) {
			m.Items = append(m.Items, rng.Int64N(1<<12)-5)
		}
		for range rng.IntN(4) {
			m.Rates = append(m.Rates, rng.Int64N(1<<34)-5)
		}
		data := datagram.Encode(Version, m)
		if rng.IntN(4) == 0 {
			data = data[:rng.IntN(len(data))]
		}
		r.Step(epoch, Datagram{rng.IntN(7) - 1, data})
	}
	if f := r.Counters(); f.Malformed < 500 || f.UnknownSenders == 0 {
		t.Errorf("%+v", f)
	}
}
