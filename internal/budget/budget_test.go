package budget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"elmseam/internal/datagram"
)

// testTier simulates a tier of members with clocks of their own, and a network that a test impairs.
type testTier struct {
	t              *testing.T
	rng            *rand.Rand
	now            time.Duration // simulated time since the start
	limits         Limits
	disabledGuards Guard // guards that are switched off at all members
	members        []*testMember
	queue          []scheduledEvent        // events to be delivered
	isCutOff       func(from, to int) bool // whether the network loses a datagram that is sent now
	datagramDelay  func() time.Duration    // delay of a datagram that is sent now
	demand         []float64               // by member: demand that it reports when it starts
}

// testMember is a member of the simulated tier; reducer is nil while the member is dead.
type testMember struct {
	reducer     *Reducer
	clockRate   float64 // pace of its clock, relative to the simulation's time
	incarnation int     // number of starts so far
	paused      bool
	heldEvents  []scheduledEvent // events that came while the member was paused
}

// scheduledEvent is an event to be delivered at a time.
type scheduledEvent struct {
	at          time.Duration
	to          int
	incarnation int // incarnation of the member that set the timer; 0: a datagram
	ev          Event
}

const epoch = 1_700_000_000 * time.Second

// newTestTier starts a tier of the given size with a fault-free network.
func newTestTier(t *testing.T, size int, disabledGuards Guard, seed uint64) *testTier {
	tier := &testTier{t: t, rng: rand.New(rand.NewPCG(seed, 1)), limits: Defaults(), disabledGuards: disabledGuards, demand: make([]float64, size),
		isCutOff: func(int, int) bool { return false }, datagramDelay: func() time.Duration { return 5 * time.Millisecond }}
	for range size {
		tier.members = append(tier.members, &testMember{clockRate: 1})
	}
	for member := range size {
		tier.startMember(member)
	}
	return tier
}

// memberClock returns the present time by a member's clock.
func (tier *testTier) memberClock(member int) Time {
	return epoch + time.Duration(float64(tier.now)*tier.members[member].clockRate)
}

// startMember starts a member, or restarts a dead one, and reports a cold server to it.
func (tier *testTier) startMember(member int) {
	state := tier.members[member]
	state.incarnation++
	state.reducer, _, _ = New(Config{Self: member, TierSize: len(tier.members), Limits: tier.limits, Seed: tier.rng.Uint64(), DisabledGuards: tier.disabledGuards}, tier.memberClock(member))
	for other := range tier.members {
		tier.step(member, MemberAvailability{other, tier.members[other].reducer != nil || tier.members[other].incarnation == 0})
		tier.step(other, MemberAvailability{member, true})
	}
	tier.step(member, Demand{tier.demand[member]})
	tier.step(member, ColdServer{Server: 7, Rate: 10, ColdUntil: tier.memberClock(member) + time.Hour})
}

// killMember kills a member and makes it unavailable to the others.
func (tier *testTier) killMember(member int) {
	tier.members[member].reducer, tier.members[member].paused, tier.members[member].heldEvents = nil, false, nil
	tier.setAvailable(member, false)
}

// setAvailable tells all members whether a member is available.
func (tier *testTier) setAvailable(member int, available bool) {
	for observer := range tier.members {
		tier.step(observer, MemberAvailability{member, available})
	}
}

// step gives an event to a member, unless it is dead or paused, carries out the effects, and calls checkExclusive.
func (tier *testTier) step(member int, ev Event) {
	state := tier.members[member]
	if state.reducer == nil || state.paused {
		return
	}
	for _, effect := range state.reducer.Step(tier.memberClock(member), ev) {
		switch effect := effect.(type) {
		case Send:
			if len(effect.Data) > datagram.MaxSize {
				tier.t.Fatalf("a datagram of %d bytes is too long", len(effect.Data))
			}
			if !tier.isCutOff(member, effect.To) {
				tier.queue = append(tier.queue, scheduledEvent{tier.now + tier.datagramDelay(), effect.To, 0, Datagram{member, effect.Data}})
			}
		case Timer:
			tier.queue = append(tier.queue, scheduledEvent{time.Duration(float64(effect.At-epoch) / state.clockRate), member, state.incarnation, TimerFired{effect.Token}})
		}
	}
	tier.checkExclusive()
}

// checkExclusive checks the invariant that no unit of a quota is used by two running members.
func (tier *testTier) checkExclusive() {
	for owner := range tier.members {
		var inUse Mask
		for member, state := range tier.members {
			if state.reducer == nil || state.paused {
				continue
			}
			usable := state.reducer.Usable(tier.memberClock(member), owner)
			if inUse&usable != 0 {
				tier.t.Fatalf("at %v units %08b of the quota of member %d are used by member %d and by another one", tier.now, inUse&usable, owner, member)
			}
			inUse |= usable
		}
	}
}

// run delivers the pending events up to a time.
func (tier *testTier) run(until time.Duration) {
	for {
		next := -1
		for i, pending := range tier.queue {
			if pending.at <= until && (next < 0 || pending.at < tier.queue[next].at) {
				next = i
			}
		}
		if next < 0 {
			tier.now = max(tier.now, until)
			tier.checkExclusive()
			return
		}
		pending := tier.queue[next]
		tier.queue = slices.Delete(tier.queue, next, next+1)
		tier.now = max(tier.now, pending.at)
		switch state := tier.members[pending.to]; {
		case state.reducer == nil || pending.incarnation != 0 && pending.incarnation != state.incarnation:
		case state.paused:
			state.heldEvents = append(state.heldEvents, pending)
		default:
			tier.step(pending.to, pending.ev)
		}
	}
}

// resumeMember resumes a paused member and queues the events that arrived in the meantime.
func (tier *testTier) resumeMember(member int) {
	state := tier.members[member]
	state.paused = false
	tier.checkExclusive()
	tier.queue = append(tier.queue, state.heldEvents...)
	state.heldEvents = nil
}

// unitsInUse returns how many units of an owner's quota are used by running members.
func (tier *testTier) unitsInUse(owner int) (unitCount int) {
	for member, state := range tier.members {
		if state.reducer != nil && !state.paused {
			for usable := state.reducer.Usable(tier.memberClock(member), owner); usable != 0; usable &= usable - 1 {
				unitCount++
			}
		}
	}
	return unitCount
}

// Units of the quotas of two members that are considered dead go to the available members once their leases have expired, and not
// before; no other member uses their reserved units. The one that was only paused resumes with its reserved unit alone,
// and has the other units back within 5 s.
func TestSuccessorsUseUnitsOfDeadMembers(t *testing.T) {
	tier := newTestTier(t, 5, 0, 1)
	tier.run(6 * time.Second)
	for owner := range tier.members {
		if n := tier.unitsInUse(owner); n != Units {
			t.Fatalf("%d units of the quota of member %d are used, want %d", n, owner, Units)
		}
	}
	tier.killMember(1)
	tier.members[3].paused = true
	tier.setAvailable(3, false)
	tier.run(7 * time.Second)
	if n := tier.unitsInUse(1) + tier.unitsInUse(3); n != 0 {
		t.Errorf("%d units of the two members are used a second after they stopped, within their leases, want 0", n)
	}
	tier.run(11 * time.Second)
	for _, owner := range []int{1, 3} {
		if n := tier.unitsInUse(owner); n != Units-1 {
			t.Errorf("%d units of the quota of member %d are used, want %d", n, owner, Units-1)
		}
	}
	if rate, known := tier.members[0].reducer.Rate(tier.memberClock(0), 7); !known || rate <= 10 {
		t.Errorf("an available member may use %v set-ups/s, known: %t; want more than its own quota of 10", rate, known)
	}
	tier.resumeMember(3)
	if usable := tier.members[3].reducer.Usable(tier.memberClock(3), 3); usable != reservedUnit {
		t.Errorf("the paused member uses units %08b when it resumes, want the reserved unit", usable)
	}
	tier.setAvailable(3, true)
	tier.run(16 * time.Second)
	if usable := tier.members[3].reducer.Usable(tier.memberClock(3), 3); usable != reservedUnit|transferableUnits {
		t.Errorf("the resumed member uses units %08b 5 s after it resumed, want all", usable)
	}
}

// A busy member borrows from an idle one within 2 s, and the owner does not use units that it has lent. After the death of the
// borrower the owner, in a tier of two, has no majority that renews its leases, and uses its reserved unit alone.
func TestLoan(t *testing.T) {
	for _, disabledGuards := range []Guard{0, GuardLoan} {
		tier := newTestTier(t, 2, disabledGuards, 1)
		usedByBoth := func() (units Mask) {
			return tier.members[0].reducer.Usable(tier.memberClock(0), 1) & tier.members[1].reducer.Usable(tier.memberClock(1), 1)
		}
		tier.run(4 * time.Second)
		tier.demand[0] = 3
		if disabledGuards != 0 { // without GuardLoan the lender uses a lent unit
			tier.isCutOff = func(from, _ int) bool { return false }
			tier.members[1].reducer.loans[3] = loan{0, tier.memberClock(1) + time.Second}
			if usable := tier.members[1].reducer.Usable(tier.memberClock(1), 1); usable&(1<<3) == 0 {
				t.Error("without GuardLoan a member does not use the units that it has lent")
			}
			continue
		}
		tier.step(0, Demand{3})
		tier.run(6 * time.Second)
		if n := tier.unitsInUse(1); usedByBoth() != 0 || n != Units || tier.members[0].reducer.Usable(tier.memberClock(0), 1) == 0 {
			t.Errorf("%d units of the idle member's quota are used, %08b by both; the busy member uses %08b", n, usedByBoth(), tier.members[0].reducer.Usable(tier.memberClock(0), 1))
		}
		tier.killMember(0)
		tier.run(6*time.Second + 2*tier.limits.Lease)
		if usable := tier.members[1].reducer.Usable(tier.memberClock(1), 1) &^ reservedUnit; usable != 0 {
			t.Errorf("a member without a majority uses units %08b", usable)
		}
	}
}

// When all members restart at once, no member knows the earlier grants: each uses only its reserved unit until all
// units that may have been held have expired.
func TestAllMembersRestart(t *testing.T) {
	tier := newTestTier(t, 5, 0, 1)
	tier.run(5 * time.Second)
	for member := range tier.members {
		tier.killMember(member)
	}
	for member := range tier.members {
		tier.startMember(member)
	}
	for tier.now < 5*time.Second+tier.limits.Lease {
		tier.run(tier.now + 100*time.Millisecond)
		for owner := range tier.members {
			if n := tier.unitsInUse(owner); n > 1 {
				t.Fatalf("%d units of the quota of member %d are used %v after the start", n, owner, tier.now-5*time.Second)
			}
		}
	}
	tier.run(10 * time.Second)
	if n := tier.unitsInUse(2); n != Units {
		t.Errorf("%d units of a quota are used 5 s after the start, want all", n)
	}
}

// With datagrams lost and delayed, members isolated, killed, restarted and paused, and clocks that run up to a hundredth
// too fast or too slow, no unit is used by two members. After the faults have ended, each available member uses its own
// quota, and the units of the dead are used.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		tier := newTestTier(t, 5, 0, seed)
		for member, state := range tier.members {
			state.clockRate = 1 + 0.01*float64(member-2)/2
		}
		isolated := [5]bool{}
		tier.isCutOff = func(from, to int) bool { return isolated[from] != isolated[to] || tier.rng.IntN(5) == 0 }
		tier.datagramDelay = func() time.Duration {
			if tier.rng.IntN(10) == 0 {
				return time.Duration(tier.rng.IntN(3000)) * time.Millisecond
			}
			return time.Duration(tier.rng.IntN(30)) * time.Millisecond
		}
		for range 40 {
			member := tier.rng.IntN(5)
			switch state := tier.members[member]; tier.rng.IntN(8) {
			case 0:
				if state.reducer != nil {
					tier.killMember(member)
				}
			case 1:
				if state.reducer == nil {
					tier.startMember(member)
				}
			case 2:
				if state.reducer != nil {
					state.paused = true
				}
			case 3:
				tier.setAvailable(member, tier.rng.IntN(2) == 0) // the members' views may be wrong
			case 4:
				isolated[member] = !isolated[member]
			case 5:
				tier.demand[member] = 3 * tier.rng.Float64()
				tier.step(member, Demand{tier.demand[member]})
			}
			for member, state := range tier.members {
				if state.paused && tier.rng.IntN(3) == 0 {
					tier.resumeMember(member)
				}
			}
			tier.run(tier.now + time.Duration(tier.rng.IntN(700))*time.Millisecond)
		}
		tier.isCutOff, tier.datagramDelay = func(int, int) bool { return false }, func() time.Duration { return 5 * time.Millisecond }
		for member, state := range tier.members {
			if state.paused {
				tier.resumeMember(member)
			}
			if state.reducer == nil && member < 4 {
				tier.startMember(member)
			}
			tier.setAvailable(member, tier.members[member].reducer != nil)
		}
		tier.run(tier.now + 15*time.Second)
		for owner, state := range tier.members {
			want := Units
			if state.reducer == nil {
				want--
			}
			if got := tier.unitsInUse(owner); got != want {
				t.Errorf("seed %d: %d units of the quota of member %d are used in the end, want %d", seed, got, owner, want)
			}
		}
	}
}

// A tier larger than MaxMembers keeps fixed quotas, and malformed input is counted.
func TestLargeTiersAndMalformedInput(t *testing.T) {
	r, _, err := New(Config{TierSize: 300, Limits: Defaults()}, epoch)
	if err != nil || r.Transferable() || len(r.Step(epoch, ColdServer{7, 1, epoch + time.Hour})) > 0 {
		t.Errorf("%v: units move in a tier of 300 members", err)
	}
	if _, known := r.Rate(epoch, 7); known {
		t.Error("a rate is known though units do not move")
	}
	r, _, _ = New(Config{TierSize: 5, Limits: Defaults()}, epoch)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		msg := message{Kind: messageKind(rng.IntN(7)), TierSize: 5, Seq: rng.Uint32(), Incarnation: rng.Uint64N(3), Items: []int64{}, QuotaRates: []int64{}}
		for range rng.IntN(4) {
			msg.Items = append(msg.Items, rng.Int64N(1<<12)-5)
		}
		for range rng.IntN(4) {
			msg.QuotaRates = append(msg.QuotaRates, rng.Int64N(1<<34)-5)
		}
		data := datagram.Encode(Version, msg)
		if rng.IntN(4) == 0 {
			data = data[:rng.IntN(len(data))]
		}
		r.Step(epoch, Datagram{rng.IntN(7) - 1, data})
	}
	if counters := r.Counters(); counters.Malformed < 500 || counters.UnknownSenders == 0 {
		t.Errorf("counters %+v, want at least 500 malformed datagrams and some of unknown senders", counters)
	}
}
