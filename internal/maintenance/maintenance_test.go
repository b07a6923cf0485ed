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
type testTier struct {
	*testing.T
	limits         Limits
	zones          []int
	disabledGuards Guard
	now            Time
	reducers       []*Reducer // nil: killed
	draining       []bool
	queue          []scheduledEvent
	seq            int
	loss           float64
	rng            *rand.Rand
	cut            func(from, to int) bool
	stages         [][]Stage // of each one's own requests, as they came
	lastDrainAt    []Time    // when each went out last
	maxOut         int       // out at once
}

type scheduledEvent struct {
	at      Time
	seq     int
	to      int
	reducer *Reducer
	ev      Event
}

func startTier(t *testing.T, n int, limits Limits) *testTier {
	t.Helper()
	tier := &testTier{T: t, limits: limits, now: 1_000_000 * second, reducers: make([]*Reducer, n), draining: make([]bool, n), stages: make([][]Stage, n),
		lastDrainAt: make([]Time, n), rng: rand.New(rand.NewPCG(1, 2)), zones: make([]int, n)}
	for m := range n {
		tier.zones[m] = -1
		tier.start(m)
	}
	return tier
}

func shortLimits() Limits {
	limits := Defaults()
	limits.Lease, limits.WorkLease, limits.Round = 2*second, 4*second, 200*time.Millisecond
	return limits
}

func (tier *testTier) start(member int) {
	reducer, effects, err := New(Config{Self: member, TierSize: len(tier.reducers), Zone: tier.zones[member], Name: fmt.Sprint("n", member), Limits: tier.limits, Seed: uint64(tier.seq), DisabledGuards: tier.disabledGuards}, tier.now)
	if err != nil {
		tier.Fatal(err)
	}
	tier.reducers[member], tier.draining[member] = reducer, false
	tier.handleEffects(member, effects)
	for other := range tier.reducers {
		tier.step(member, MemberAvailability{Member: other, Available: true})
		tier.step(other, MemberAvailability{Member: member, Available: true})
	}
	tier.step(member, Serving{Serving: true})
}

func (tier *testTier) kill(member int) {
	tier.reducers[member], tier.draining[member] = nil, false
	for other := range tier.reducers {
		tier.step(other, MemberAvailability{Member: member})
	}
}

func (tier *testTier) step(member int, ev Event) {
	if reducer := tier.reducers[member]; reducer != nil {
		tier.handleEffects(member, reducer.Step(tier.now, ev))
	}
}

func (tier *testTier) schedule(delay time.Duration, to int, ev Event) {
	tier.seq++
	tier.queue = append(tier.queue, scheduledEvent{tier.now + delay, tier.seq, to, tier.reducers[to], ev})
}

func (tier *testTier) handleEffects(member int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			if len(e.Data) > datagram.MaxSize {
				tier.Errorf("a datagram of %d bytes", len(e.Data))
			}
			if tier.cut != nil && tier.cut(member, e.To) || tier.rng.Float64() < tier.loss {
				continue
			}
			tier.schedule(time.Millisecond, e.To, Datagram{From: member, Data: e.Data})
		case Timer:
			tier.schedule(max(e.At-tier.now, 0), member, TimerFired{Token: e.Token})
		case Drain:
			if tier.draining[member] = e.On; e.On {
				tier.lastDrainAt[member] = tier.now
				tier.schedule(300*time.Millisecond, member, Drained{})
			}
		case RequestChanged:
			if e.Member == member {
				tier.stages[member] = append(tier.stages[member], e.Record.Stage)
			}
		}
	}
	count := 0
	for _, effects := range tier.draining {
		if effects {
			count++
		}
	}
	tier.maxOut = max(tier.maxOut, count)
}

func (tier *testTier) advance(d time.Duration) {
	for end := tier.now + d; ; {
		slices.SortFunc(tier.queue, func(a, b scheduledEvent) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.seq - b.seq
		})
		if len(tier.queue) == 0 || tier.queue[0].at > end {
			tier.now = end
			return
		}
		next := tier.queue[0]
		tier.queue = tier.queue[1:]
		tier.now = max(tier.now, next.at)
		if _, datagram := next.ev.(Datagram); datagram || next.reducer == tier.reducers[next.to] {
			tier.step(next.to, next.ev)
		}
	}
}

// out are those that drain or are ready now.
func (tier *testTier) membersOut() (out []int) {
	for m, draining := range tier.draining {
		if draining {
			out = append(out, m)
		}
	}
	return out
}

// finish has operators release whoever is ready, until time is up.
func (tier *testTier) completeWork(d time.Duration) {
	for end := tier.now + d; tier.now < end; {
		tier.advance(100 * time.Millisecond)
		for _, m := range tier.membersOut() {
			if tier.reducers[m].Status().Records[m].Stage == Ready {
				tier.step(m, Cancel{Members: []int{m}})
			}
		}
	}
}

// once fails unless each of these was ready for work once, and nobody else ever was out.
func (tier *testTier) expectMaintainedOnce(members ...int) {
	tier.Helper()
	for m, stages := range tier.stages {
		ready := 0
		for _, s := range slices.Compact(slices.Clone(stages)) { // a new life hears of its stage again
			if s == Ready {
				ready++
			}
		}
		if want := map[bool]int{true: 1}[slices.Contains(members, m)]; ready != want {
			tier.Errorf("member %d was ready for work %d times, want %d: %v", m, ready, want, stages)
		}
	}
}

// Two operators ask at two members in the same second, for some machines both: each goes once, B at a time, and all agree
// on the order, also where three in ten datagrams are lost.
func TestTwoOperators(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		limits := shortLimits()
		limits.Budget = 2
		tier := startTier(t, 5, limits)
		tier.advance(2 * second)
		tier.loss = loss
		tier.step(0, Request{Members: []int{1, 2, 3}})
		tier.step(4, Request{Members: []int{2, 3, 0}})
		tier.advance(100 * time.Millisecond)
		if loss == 0 {
			if a, b := tier.reducers[0].Queue(), tier.reducers[4].Queue(); !slices.Equal(a, b) || len(a) == 0 {
				t.Errorf("the order is %v, and %v elsewhere", a, b)
			}
		}
		tier.completeWork(40 * second)
		tier.loss = 0
		tier.completeWork(10 * second)
		if loss == 0 {
			tier.expectMaintainedOnce(0, 1, 2, 3)
		}
		if tier.maxOut != 2 {
			t.Errorf("%d were out at once", tier.maxOut)
		}
		for _, reducer := range tier.reducers {
			for m, record := range reducer.Status().Records {
				if !record.Stage.Ended() {
					t.Errorf("member %d is %v in the end", m, record.Stage)
				}
			}
		}
	}
}

// Of those asked for at once zones take turns; those asked for earlier go before.
func TestQueueAlternatesZones(t *testing.T) {
	tier := startTier(t, 6, shortLimits())
	tier.zones = []int{0, 0, 0, 1, 1, 2}
	for m := range tier.reducers {
		tier.start(m)
	}
	tier.advance(3 * second)
	tier.step(0, Request{Members: []int{2}})
	tier.advance(5 * time.Millisecond)
	tier.step(0, Request{Members: []int{0, 1, 3, 4, 5}})
	if got := fmt.Sprint(tier.reducers[0].Queue()); got != "[2 3 5 0 4 1]" && got != "[3 5 0 4 1]" { // 2 may be out by now
		t.Errorf("the order is %s", got)
	}
}

// A member cut off from the majority starts no drain, and what it holds ends by its own clock before anybody else goes;
// when the cut has healed all are served.
func TestMinorityStartsNoDrain(t *testing.T) {
	tier := startTier(t, 5, shortLimits())
	tier.advance(2 * second)
	tier.step(3, Request{Members: []int{3, 0}})
	tier.advance(250 * time.Millisecond)
	if got := tier.membersOut(); len(got) != 1 {
		t.Fatalf("out: %v", got)
	}
	tier.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
	tier.completeWork(8 * second)
	if tier.lastDrainAt[3] > tier.lastDrainAt[0] {
		t.Errorf("member 3 went out at %v, cut off", tier.lastDrainAt[3])
	}
	tier.cut = nil
	tier.completeWork(15 * second)
	if tier.maxOut != 1 {
		t.Errorf("%d were out at once", tier.maxOut)
	}
	tier.expectMaintainedOnce(0, 3)
}

// A holder that dies frees its slot within its lease; the request for it waits until it is back, and it goes then.
func TestHolderDeathFreesSlot(t *testing.T) {
	tier := startTier(t, 3, shortLimits())
	tier.advance(2 * second)
	tier.step(0, Request{Members: []int{0, 1}})
	tier.advance(250 * time.Millisecond)
	tier.kill(0)
	diedAt := tier.now
	tier.completeWork(6 * second)
	if delay := tier.lastDrainAt[1] - diedAt; delay <= 0 || delay > tier.limits.Lease+2*tier.limits.Round {
		t.Errorf("the next went %v after the death", delay)
	}
	tier.start(0)
	tier.completeWork(10 * second)
	tier.expectMaintainedOnce(0, 1)
}

// Amnesia: while one holds a slot, the two others that granted it start anew. They grant it to nobody else before they
// know; without that rule two are out.
func TestNewlyStartedMemberGrantsNothing(t *testing.T) {
	for _, disabledGuards := range []Guard{0, GuardRecover} {
		tier := startTier(t, 3, shortLimits())
		tier.disabledGuards = disabledGuards
		tier.advance(2 * second)
		tier.step(0, Request{Members: []int{0, 1}})
		tier.advance(250 * time.Millisecond)
		if got := tier.membersOut(); !slices.Equal(got, []int{0}) {
			t.Fatalf("out: %v", got)
		}
		tier.cut = func(from, _ int) bool { return from == 0 } // its word of the lease is lost, its word of the requests was heard
		tier.kill(2)
		tier.start(2)
		tier.advance(100 * time.Millisecond)
		tier.kill(1)
		tier.start(1)
		tier.step(1, Request{Members: []int{1}})
		tier.step(2, Request{Members: []int{1}})
		tier.advance(1500 * time.Millisecond)
		if (tier.maxOut > 1) != (disabledGuards != 0) {
			t.Errorf("without %d: %d were out at once", disabledGuards, tier.maxOut)
		}
	}
}

// A budget that is lowered while more are out throws none back and lets none more out until few enough are.
func TestLoweredBudget(t *testing.T) {
	limits := shortLimits()
	limits.Budget = 3
	tier := startTier(t, 5, limits)
	tier.advance(2 * second)
	tier.step(0, Request{Members: []int{0, 1, 2, 3, 4}})
	for range 30 { // two may want one slot at first
		if tier.advance(100 * time.Millisecond); len(tier.membersOut()) == 3 {
			break
		}
	}
	if got := tier.membersOut(); len(got) != 3 {
		t.Fatalf("out: %v", got)
	}
	for m := range tier.reducers {
		tier.step(m, SetBudget{Budget: 1})
	}
	out := tier.membersOut()
	for range 2 {
		m := out[len(out)-1]
		out = out[:len(out)-1]
		tier.step(m, Cancel{Members: []int{m}})
		tier.advance(second)
		if got := tier.membersOut(); !slices.Equal(got, out) {
			t.Errorf("out: %v, want %v", got, out)
		}
	}
	tier.completeWork(20 * second)
	tier.expectMaintainedOnce(0, 1, 2, 3, 4)
}

// A member ready for work that ends keeps its slot while it is away, gives it back when it serves again, and is done.
func TestSlotKeptDuringWork(t *testing.T) {
	tier := startTier(t, 3, shortLimits())
	tier.advance(2 * second)
	tier.step(1, Request{Members: []int{0, 1}})
	tier.advance(800 * time.Millisecond)
	first := tier.membersOut()[0]
	if stage := tier.reducers[first].Status().Records[first].Stage; stage != Ready {
		t.Fatalf("member %d is %v", first, stage)
	}
	tier.kill(first)
	tier.advance(2500 * time.Millisecond) // past its first lease
	if got := tier.membersOut(); len(got) > 0 {
		t.Errorf("out while one is away: %v", got)
	}
	tier.start(first)
	tier.completeWork(8 * second)
	tier.expectMaintainedOnce(0, 1)
}

// A slot given back is free for the next although all heard of it too late the first time: who granted it for as long as a
// machine may be away would else hold it that long.
func TestLostRelease(t *testing.T) {
	limits := shortLimits()
	limits.WorkLease = time.Hour
	tier := startTier(t, 3, limits)
	tier.advance(2 * second)
	tier.step(0, Request{Members: []int{0, 1}})
	tier.advance(800 * time.Millisecond)
	if got := tier.membersOut(); !slices.Equal(got, []int{0}) || tier.reducers[0].Status().Records[0].Stage != Ready {
		t.Fatalf("out: %v", got)
	}
	tier.cut = func(from, to int) bool { return from == 0 }
	tier.step(0, Cancel{Members: []int{0}})
	tier.cut = nil
	tier.completeWork(5 * second)
	tier.expectMaintainedOnce(0, 1)

	// So it is where who gives it back dies at once, as soon as it is back.
	tier.step(0, Request{Members: []int{0, 1}})
	tier.advance(1500 * time.Millisecond)
	tier.cut = func(from, to int) bool { return from == 0 }
	tier.step(0, Cancel{Members: []int{0}})
	tier.cut = nil
	tier.step(1, Cancel{Members: []int{0}}) // known elsewhere, but not from who held it
	tier.kill(0)
	tier.advance(second)
	if got := tier.membersOut(); len(got) > 0 {
		t.Errorf("out: %v", got)
	}
	tier.start(0)
	tier.advance(2 * second)
	if got := tier.membersOut(); !slices.Equal(got, []int{1}) {
		t.Errorf("out: %v, want the next", got)
	}
}

// A great tier that starts at once causes no storm of queries, and settles.
func TestSimultaneousStartCausesNoStorm(t *testing.T) {
	tier := startTier(t, 60, shortLimits())
	tier.advance(20 * second)
	maxSent := uint64(0)
	for m, reducer := range tier.reducers {
		if status := reducer.Status(); !status.Recovered {
			t.Errorf("member %d is not settled", m)
		} else {
			maxSent = max(maxSent, status.Counters.Sent)
		}
	}
	if maxSent > 250 { // 59 queries, some again, and as many answers to others'
		t.Errorf("a member sent %d datagrams", maxSent)
	}
}

// Merge comes to the same in every order, however often, and two requests made at once for one member are one.
func TestMerge(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	randomRecord := func() Record {
		return Record{Generation: 1 + rng.Uint32N(3), RequestedAt: 1 + rng.Uint64N(3), Restarts: rng.Uint32N(3), Stage: Stage(1 + rng.IntN(int(numStages)-1)), Slot: uint8(rng.IntN(2)), Epoch: rng.Uint64N(3)}
	}
	for range 20000 {
		a, b, c := randomRecord(), randomRecord(), randomRecord()
		if Merge(a, b) != Merge(b, a) || Merge(a, a) != a || Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) || Merge(Merge(a, b), b) != Merge(a, b) {
			t.Fatalf("%+v, %+v, %+v", a, b, c)
		}
	}
	if got := Merge(Record{Generation: 1, RequestedAt: 5, Stage: Draining, Epoch: 9}, Record{Generation: 1, RequestedAt: 4, Stage: Waiting}); got != (Record{Generation: 1, RequestedAt: 4, Stage: Draining, Epoch: 9}) {
		t.Errorf("%+v", got)
	}
}

// Datagrams that are damaged, of another version or tier, or from nobody are counted and change nothing.
func TestInvalidDatagramsDropped(t *testing.T) {
	tier := startTier(t, 3, shortLimits())
	tier.advance(second)
	valid := tier.reducers[1].encode(message{Kind: kindSlotRequest, Slot: 0, Epoch: 1 << 62, Lease: 1000})
	otherTier := startTier(t, 4, shortLimits()).reducers[1].encode(message{Kind: kindSlotRequest, Epoch: 1 << 62, Lease: 1000})
	reducer := tier.reducers[0]
	grantsBefore := reducer.Status().Grants
	for i := range valid {
		damaged := slices.Clone(valid)
		damaged[i] ^= 8
		reducer.Step(tier.now, Datagram{From: 1, Data: damaged})
		reducer.Step(tier.now, Datagram{From: 1, Data: valid[:i]})
	}
	otherVersion := slices.Clone(valid)
	otherVersion[0]++
	reducer.Step(tier.now, Datagram{From: 1, Data: datagram.FixChecksum(otherVersion)})
	reducer.Step(tier.now, Datagram{From: 1, Data: otherTier})
	reducer.Step(tier.now, Datagram{From: 3, Data: valid})
	reducer.Step(tier.now, Datagram{From: 1, Data: reducer.encode(message{Kind: kindRecords, Items: []int64{0, 1, 1, 0, 99, 0, 0}})})
	counters := reducer.Status().Counters
	if counters.Malformed != uint64(2*len(valid)+1) || counters.VersionMismatches != 1 || counters.UnknownSenders != 2 || !slices.Equal(reducer.Status().Grants, grantsBefore) {
		t.Errorf("%+v, grants %v", counters, reducer.Status().Grants)
	}
	reducer.Step(tier.now, Datagram{From: 1, Data: valid})
	if reducer.Status().Grants[0].Holder != 1 {
		t.Error("a good one is not taken")
	}
}

// FuzzDatagram: whatever comes, the reducer stands, and no effect breaks the size.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte{Version, 0x8a, 0, 5, 0, 1, 0, 1, 0x19, 3, 0xe8, 0xf5, 0, 0x60, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		reducer, _, err := New(Config{TierSize: 5, Limits: Defaults()}, second)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range [][]byte{data, datagram.FixChecksum(append(slices.Clone(data), 0, 0, 0, 0))} {
			for _, e := range reducer.Step(2*second, Datagram{From: 1, Data: d}) {
				if s, ok := e.(Send); ok && len(s.Data) > datagram.MaxSize {
					t.Errorf("a datagram of %d bytes", len(s.Data))
				}
			}
		}
	})
}
