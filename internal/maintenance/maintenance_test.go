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

// testTier is a tier in simulated time. Datagrams take 1 ms; those between members for which isCutOff returns true, and a
// random share of the others, are lost.
type testTier struct {
	*testing.T
	limits          Limits
	zones           []int
	disabledGuards  Guard
	now             Time
	reducers        []*Reducer // by index; nil: killed
	draining        []bool
	queue           []scheduledEvent
	seq             int
	loss            float64 // random share of the datagrams that is lost
	rng             *rand.Rand
	isCutOff        func(from, to int) bool
	stages          [][]Stage // by index: the stages of the member's own requests, in their order
	lastDrainAt     []Time    // by index: when the member last started to drain
	maxOutOfService int       // maximum number of running members that were out of service at once
}

// scheduledEvent is an event for the member with index to. Except for a datagram it is delivered only to the reducer that
// the member had when the event was scheduled.
type scheduledEvent struct {
	at      Time
	seq     int
	to      int
	reducer *Reducer
	ev      Event
}

// startTier starts a tier of n members without zones.
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

// shortLeaseLimits returns the default limits with shorter leases and rounds.
func shortLeaseLimits() Limits {
	limits := Defaults()
	limits.Lease, limits.WorkLease, limits.RoundTimeout = 2*second, 4*second, 200*time.Millisecond
	return limits
}

// start starts or restarts a member, announces its availability to all members, and tells it that all are available.
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

// kill removes a member and announces to all others that it is not available.
func (tier *testTier) kill(member int) {
	tier.reducers[member], tier.draining[member] = nil, false
	for other := range tier.reducers {
		tier.step(other, MemberAvailability{Member: member})
	}
}

// step passes an event to a member, unless the member is killed.
func (tier *testTier) step(member int, ev Event) {
	if reducer := tier.reducers[member]; reducer != nil {
		tier.handleEffects(member, reducer.Step(tier.now, ev))
	}
}

// schedule schedules an event for a member.
func (tier *testTier) schedule(delay time.Duration, to int, ev Event) {
	tier.seq++
	tier.queue = append(tier.queue, scheduledEvent{tier.now + delay, tier.seq, to, tier.reducers[to], ev})
}

// handleEffects carries out the effects of a member and updates maxOutOfService. A draining member is drained after 300 ms.
func (tier *testTier) handleEffects(member int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			if len(e.Data) > datagram.MaxSize {
				tier.Errorf("datagram of %d bytes", len(e.Data))
			}
			if tier.isCutOff != nil && tier.isCutOff(member, e.To) || tier.rng.Float64() < tier.loss {
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
	for _, draining := range tier.draining {
		if draining {
			count++
		}
	}
	tier.maxOutOfService = max(tier.maxOutOfService, count)
}

// advance runs the tier for the given duration of simulated time.
func (tier *testTier) advance(duration time.Duration) {
	for end := tier.now + duration; ; {
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

// membersOutOfService returns the members that are draining or ready for work now.
func (tier *testTier) membersOutOfService() (out []int) {
	for m, draining := range tier.draining {
		if draining {
			out = append(out, m)
		}
	}
	return out
}

// completeWork runs the tier for the given duration, and reports the work as done for every member that becomes ready.
func (tier *testTier) completeWork(duration time.Duration) {
	for end := tier.now + duration; tier.now < end; {
		tier.advance(100 * time.Millisecond)
		for _, m := range tier.membersOutOfService() {
			if tier.reducers[m].Status().Records[m].Stage == StageReady {
				tier.step(m, Cancel{Members: []int{m}})
			}
		}
	}
}

// expectMaintainedOnce fails the test unless each of these members was ready for work exactly once, and no other
// member was.
func (tier *testTier) expectMaintainedOnce(members ...int) {
	tier.Helper()
	for m, stages := range tier.stages {
		ready := 0
		for _, s := range slices.Compact(slices.Clone(stages)) { // a restarted member receives its stage again
			if s == StageReady {
				ready++
			}
		}
		if want := map[bool]int{true: 1}[slices.Contains(members, m)]; ready != want {
			tier.Errorf("member %d was ready for work %d times, want %d: %v", m, ready, want, stages)
		}
	}
}

// Two operators send requests to two members in the same second, some of them for the same machines. Each machine is
// maintained once, at most B at a time, and both members agree on the order. With a loss of 30% of the datagrams only the
// budget and the end of all requests are checked: a lease may expire then, and its request starts again.
func TestTwoOperators(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		limits := shortLeaseLimits()
		limits.Budget = 2
		tier := startTier(t, 5, limits)
		tier.advance(2 * second)
		tier.loss = loss
		tier.step(0, Request{Members: []int{1, 2, 3}})
		tier.step(4, Request{Members: []int{2, 3, 0}})
		tier.advance(100 * time.Millisecond)
		if loss == 0 {
			if a, b := tier.reducers[0].Queue(), tier.reducers[4].Queue(); !slices.Equal(a, b) || len(a) == 0 {
				t.Errorf("queue %v at member 0, %v at member 4", a, b)
			}
		}
		tier.completeWork(40 * second)
		tier.loss = 0
		tier.completeWork(10 * second)
		if loss == 0 {
			tier.expectMaintainedOnce(0, 1, 2, 3)
		}
		if tier.maxOutOfService != 2 {
			t.Errorf("%d members were out at once, want 2", tier.maxOutOfService)
		}
		for _, reducer := range tier.reducers {
			for m, record := range reducer.Status().Records {
				if !record.Stage.Ended() {
					t.Errorf("member %d: request still %v at the end", m, record.Stage)
				}
			}
		}
	}
}

// Among members requested at the same time the zones take turns. Members requested earlier come first.
func TestQueueAlternatesZones(t *testing.T) {
	tier := startTier(t, 6, shortLeaseLimits())
	tier.zones = []int{0, 0, 0, 1, 1, 2}
	for m := range tier.reducers {
		tier.start(m)
	}
	tier.advance(3 * second)
	tier.step(0, Request{Members: []int{2}})
	tier.advance(5 * time.Millisecond)
	tier.step(0, Request{Members: []int{0, 1, 3, 4, 5}})
	if got := fmt.Sprint(tier.reducers[0].Queue()); got != "[2 3 5 0 4 1]" && got != "[3 5 0 4 1]" { // member 2 may have left the queue for a slot by now
		t.Errorf("queue %s, want [2 3 5 0 4 1] or, once member 2 has its slot, [3 5 0 4 1]", got)
	}
}

// A member whose turn would come while it is cut off from the majority starts no drain. After the partition all requests
// are served.
func TestMinorityStartsNoDrain(t *testing.T) {
	tier := startTier(t, 5, shortLeaseLimits())
	tier.advance(2 * second)
	tier.step(3, Request{Members: []int{3, 0}})
	tier.advance(250 * time.Millisecond)
	if got := tier.membersOutOfService(); len(got) != 1 {
		t.Fatalf("members out: %v, want one", got)
	}
	tier.isCutOff = func(from, to int) bool { return (from < 3) != (to < 3) }
	tier.completeWork(8 * second)
	if tier.lastDrainAt[3] > tier.lastDrainAt[0] {
		t.Errorf("member 3 started to drain at %v while it was cut off", tier.lastDrainAt[3])
	}
	tier.isCutOff = nil
	tier.completeWork(15 * second)
	if tier.maxOutOfService != 1 {
		t.Errorf("%d members were out at once, want 1", tier.maxOutOfService)
	}
	tier.expectMaintainedOnce(0, 3)
}

// The death of a holder frees its slot within the lease and two rounds. Its own request waits until it has restarted, and
// is served then.
func TestHolderDeathFreesSlot(t *testing.T) {
	tier := startTier(t, 3, shortLeaseLimits())
	tier.advance(2 * second)
	tier.step(0, Request{Members: []int{0, 1}})
	tier.advance(250 * time.Millisecond)
	tier.kill(0)
	diedAt := tier.now
	tier.completeWork(6 * second)
	if delay := tier.lastDrainAt[1] - diedAt; delay <= 0 || delay > tier.limits.Lease+2*tier.limits.RoundTimeout {
		t.Errorf("the next member started to drain %v after the death", delay)
	}
	tier.start(0)
	tier.completeWork(10 * second)
	tier.expectMaintainedOnce(0, 1)
}

// While a member holds a slot, the two others that granted it restart and forget the grant. They grant the slot to no
// other member before they know of that grant. Without GuardRecover two members are out at once.
func TestNewlyStartedMemberGrantsNothing(t *testing.T) {
	for _, disabledGuards := range []Guard{0, GuardRecover} {
		tier := startTier(t, 3, shortLeaseLimits())
		tier.disabledGuards = disabledGuards
		tier.advance(2 * second)
		tier.step(0, Request{Members: []int{0, 1}})
		tier.advance(250 * time.Millisecond)
		if got := tier.membersOutOfService(); !slices.Equal(got, []int{0}) {
			t.Fatalf("members out: %v, want member 0", got)
		}
		tier.isCutOff = func(from, _ int) bool { return from == 0 } // the requests were received before; datagrams about the lease are lost
		tier.kill(2)
		tier.start(2)
		tier.advance(100 * time.Millisecond)
		tier.kill(1)
		tier.start(1)
		tier.step(1, Request{Members: []int{1}})
		tier.step(2, Request{Members: []int{1}})
		tier.advance(1500 * time.Millisecond)
		if (tier.maxOutOfService > 1) != (disabledGuards != 0) {
			t.Errorf("disabled guards %d: %d members were out at once", disabledGuards, tier.maxOutOfService)
		}
	}
}

// A budget that is reduced while more members are out calls none back and starts no further one until few enough are
// out.
func TestLoweredBudget(t *testing.T) {
	limits := shortLeaseLimits()
	limits.Budget = 3
	tier := startTier(t, 5, limits)
	tier.advance(2 * second)
	tier.step(0, Request{Members: []int{0, 1, 2, 3, 4}})
	for range 30 { // two members may compete for one slot at first
		if tier.advance(100 * time.Millisecond); len(tier.membersOutOfService()) == 3 {
			break
		}
	}
	if got := tier.membersOutOfService(); len(got) != 3 {
		t.Fatalf("members out: %v, want three", got)
	}
	for m := range tier.reducers {
		tier.step(m, SetBudget{Budget: 1})
	}
	out := tier.membersOutOfService()
	for range 2 {
		m := out[len(out)-1]
		out = out[:len(out)-1]
		tier.step(m, Cancel{Members: []int{m}})
		tier.advance(second)
		if got := tier.membersOutOfService(); !slices.Equal(got, out) {
			t.Errorf("members out: %v, want %v", got, out)
		}
	}
	tier.completeWork(20 * second)
	tier.expectMaintainedOnce(0, 1, 2, 3, 4)
}

// A member that is ready for work and stops keeps its slot while it is away, releases it when it serves again, and
// its request is done.
func TestSlotKeptDuringWork(t *testing.T) {
	tier := startTier(t, 3, shortLeaseLimits())
	tier.advance(2 * second)
	tier.step(1, Request{Members: []int{0, 1}})
	tier.advance(800 * time.Millisecond)
	first := tier.membersOutOfService()[0]
	if stage := tier.reducers[first].Status().Records[first].Stage; stage != StageReady {
		t.Fatalf("member %d is %v", first, stage)
	}
	tier.kill(first)
	tier.advance(2500 * time.Millisecond) // longer than the lease of a draining member
	if got := tier.membersOutOfService(); len(got) > 0 {
		t.Errorf("members out while one is away: %v", got)
	}
	tier.start(first)
	tier.completeWork(8 * second)
	tier.expectMaintainedOnce(0, 1)
}

// A released slot is free for the next member although the first release was lost everywhere: otherwise the members
// that granted the slot would hold it granted for the whole work lease.
func TestLostRelease(t *testing.T) {
	limits := shortLeaseLimits()
	limits.WorkLease = time.Hour
	tier := startTier(t, 3, limits)
	tier.advance(2 * second)
	tier.step(0, Request{Members: []int{0, 1}})
	tier.advance(800 * time.Millisecond)
	if got := tier.membersOutOfService(); !slices.Equal(got, []int{0}) || tier.reducers[0].Status().Records[0].Stage != StageReady {
		t.Fatalf("members out: %v, want member 0, ready for work", got)
	}
	tier.isCutOff = func(from, to int) bool { return from == 0 }
	tier.step(0, Cancel{Members: []int{0}})
	tier.isCutOff = nil
	tier.completeWork(5 * second)
	tier.expectMaintainedOnce(0, 1)

	// The same holds if the holder dies right after a release that was lost: the slot is free once the holder has restarted.
	tier.step(0, Request{Members: []int{0, 1}})
	tier.advance(1500 * time.Millisecond)
	tier.isCutOff = func(from, to int) bool { return from == 0 }
	tier.step(0, Cancel{Members: []int{0}})
	tier.isCutOff = nil
	tier.step(1, Cancel{Members: []int{0}}) // member 1 knows that the request has ended, but not from the holder
	tier.kill(0)
	tier.advance(second)
	if got := tier.membersOutOfService(); len(got) > 0 {
		t.Errorf("members out: %v, want none until the holder has restarted", got)
	}
	tier.start(0)
	tier.advance(2 * second)
	if got := tier.membersOutOfService(); !slices.Equal(got, []int{1}) {
		t.Errorf("members out: %v, want member 1", got)
	}
}

// A large tier whose members start together causes no storm of queries, and all members recover.
func TestSimultaneousStartCausesNoStorm(t *testing.T) {
	tier := startTier(t, 60, shortLeaseLimits())
	tier.advance(20 * second)
	maxSent := uint64(0)
	for m, reducer := range tier.reducers {
		if status := reducer.Status(); !status.Recovered {
			t.Errorf("member %d has not recovered", m)
		} else {
			maxSent = max(maxSent, status.Counters.Sent)
		}
	}
	if maxSent > 250 { // 59 queries, some repeated, and as many answers to other members
		t.Errorf("one member sent %d datagrams, want at most 250", maxSent)
	}
}

// Merge reaches the same result in every order and with any repetition. Two independent requests for one member
// become one.
func TestMerge(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	randomRecord := func() Record {
		return Record{Generation: 1 + rng.Uint32N(3), RequestedAt: 1 + rng.Uint64N(3), Restarts: rng.Uint32N(3), Stage: Stage(1 + rng.IntN(int(numStages)-1)), Slot: uint8(rng.IntN(2)), Epoch: rng.Uint64N(3)}
	}
	for range 20000 {
		a, b, c := randomRecord(), randomRecord(), randomRecord()
		if Merge(a, b) != Merge(b, a) || Merge(a, a) != a || Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) || Merge(Merge(a, b), b) != Merge(a, b) {
			t.Fatalf("Merge is not a semilattice on %+v, %+v, %+v", a, b, c)
		}
	}
	if got := Merge(Record{Generation: 1, RequestedAt: 5, Stage: StageDraining, Epoch: 9}, Record{Generation: 1, RequestedAt: 4, Stage: StageWaiting}); got != (Record{Generation: 1, RequestedAt: 4, Stage: StageDraining, Epoch: 9}) {
		t.Errorf("merged record %+v, want one request made at the earlier time", got)
	}
}

// Datagrams that are damaged, truncated, of another version or tier, or from an unknown sender are counted and change no
// grant.
func TestInvalidDatagramsDropped(t *testing.T) {
	tier := startTier(t, 3, shortLeaseLimits())
	tier.advance(second)
	valid := tier.reducers[1].encode(message{Kind: kindSlotRequest, Slot: 0, Epoch: 1 << 62, LeaseMillis: 1000})
	otherTier := startTier(t, 4, shortLeaseLimits()).reducers[1].encode(message{Kind: kindSlotRequest, Epoch: 1 << 62, LeaseMillis: 1000})
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
		t.Errorf("counters %+v, grants %v", counters, reducer.Status().Grants)
	}
	reducer.Step(tier.now, Datagram{From: 1, Data: valid})
	if reducer.Status().Grants[0].Holder != 1 {
		t.Error("a valid datagram is not accepted")
	}
}

// TestRefusalCountedTwice guards against a round that ends early, as one member refuses the request and its repetition.
func TestRefusalCountedTwice(t *testing.T) {
	tier := startTier(t, 5, shortLeaseLimits())
	tier.advance(2 * second)
	reducer := tier.reducers[0]
	reducer.currentRound = &slotRound{Seq: 7, Voters: []int{1, 2, 3, 4}}
	for range 3 {
		reducer.countRefusedVote(1, 7)
	}
	if reducer.currentRound == nil {
		t.Fatal("the refusals of one member of five end the round")
	}
	reducer.countRefusedVote(2, 7)
	reducer.countGrantedVote(2, 7)
	reducer.countRefusedVote(3, 7)
	if reducer.currentRound == nil {
		t.Fatal("a member that granted the repetition counts as refusing")
	}
	reducer.countRefusedVote(4, 7)
	if reducer.currentRound != nil {
		t.Error("the refusals of three members of five do not end the round")
	}
}

// TestLongNameMakesDatagramsInvalid guards against a member that nobody hears, as its name is cut within a character.
func TestLongNameMakesDatagramsInvalid(t *testing.T) {
	const name = "centrala-zagreb-istok-0\u0161-2"
	sender, _, err := New(Config{TierSize: 2, Self: 1, Name: name, Limits: Defaults()}, second)
	if err != nil {
		t.Fatal(err)
	}
	receiver, _, err := New(Config{TierSize: 2, Limits: Defaults()}, second)
	if err != nil {
		t.Fatal(err)
	}
	receiver.Step(second, Datagram{From: 1, Data: sender.encode(message{Kind: kindRecords, Items: []int64{}})})
	if counters := receiver.Status().Counters; counters.Malformed != 0 || receiver.names[1] != name[:23] {
		t.Errorf("name %q, counters %+v", receiver.names[1], counters)
	}
}

// FuzzDatagram checks that no datagram makes the reducer panic or send a datagram over the maximum size.
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
					t.Errorf("datagram of %d bytes", len(s.Data))
				}
			}
		}
	})
}
