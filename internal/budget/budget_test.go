package budget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"elmseam/internal/datagram"
)

// simTier simulates a tier of members with clocks of their own, and a network that a test impairs.
type simTier struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	limits   Limits
	disabled Guard
	members  []*simMember
	queue    []pendingEvent
	drops    func(from, to int) bool
	delay    func() time.Duration
	demand   []float64
}

// simMember is a member of the simulated tier; r is nil while the member is dead.
type simMember struct {
	r           *Reducer
	clockRate   float64 // pace of its clock, relative to the simulation's time
	incarnation int
	paused      bool
	deferred    []pendingEvent
}

// pendingEvent is an event to be delivered at a time.
type pendingEvent struct {
	at          time.Duration
	to          int
	incarnation int // incarnation of the member that set the timer; 0: a datagram
	ev          Event
}

const epoch = 1_700_000_000 * time.Second

func newSimTier(t *testing.T, size int, disabled Guard, seed uint64) *simTier {
	w := &simTier{t: t, rng: rand.New(rand.NewPCG(seed, 1)), limits: Defaults(), disabled: disabled, demand: make([]float64, size),
		drops: func(int, int) bool { return false }, delay: func() time.Duration { return 5 * time.Millisecond }}
	for range size {
		w.members = append(w.members, &simMember{clockRate: 1})
	}
	for member := range size {
		w.startMember(member)
	}
	return w
}

func (w *simTier) memberClock(member int) Time {
	return epoch + time.Duration(float64(w.now)*w.members[member].clockRate)
}

func (w *simTier) startMember(member int) {
	sim := w.members[member]
	sim.incarnation++
	sim.r, _, _ = New(Config{Self: member, TierSize: len(w.members), Limits: w.limits, Seed: w.rng.Uint64(), DisabledGuards: w.disabled}, w.memberClock(member))
	for other := range w.members {
		w.step(member, MemberAvailability{other, w.members[other].r != nil || w.members[other].incarnation == 0})
		w.step(other, MemberAvailability{member, true})
	}
	w.step(member, Demand{w.demand[member]})
	w.step(member, ColdServer{Server: 7, Rate: 10, Until: w.memberClock(member) + time.Hour})
}

func (w *simTier) killMember(member int) {
	w.members[member].r, w.members[member].paused, w.members[member].deferred = nil, false, nil
	w.setAvailable(member, false)
}

// setAvailable tells all members whether a member is available.
func (w *simTier) setAvailable(member int, available bool) {
	for observer := range w.members {
		w.step(observer, MemberAvailability{member, available})
	}
}

func (w *simTier) step(member int, ev Event) {
	sim := w.members[member]
	if sim.r == nil || sim.paused {
		return
	}
	for _, effect := range sim.r.Step(w.memberClock(member), ev) {
		switch effect := effect.(type) {
		case Send:
			if len(effect.Data) > datagram.MaxSize {
				w.t.Fatalf("a datagram of %d bytes is too long", len(effect.Data))
			}
			if !w.drops(member, effect.To) {
				w.queue = append(w.queue, pendingEvent{w.now + w.delay(), effect.To, 0, Datagram{member, effect.Data}})
			}
		case Timer:
			w.queue = append(w.queue, pendingEvent{time.Duration(float64(effect.At-epoch) / sim.clockRate), member, sim.incarnation, TimerFired{effect.Token}})
		}
	}
	w.checkExclusive()
}

// checkExclusive checks the invariant that no unit of a quota is used by two running members.
func (w *simTier) checkExclusive() {
	for owner := range w.members {
		var inUse Mask
		for member, sim := range w.members {
			if sim.r == nil || sim.paused {
				continue
			}
			usable := sim.r.Usable(w.memberClock(member), owner)
			if inUse&usable != 0 {
				w.t.Fatalf("at %v units %08b of the quota of member %d are used by member %d and by another one", w.now, inUse&usable, owner, member)
			}
			inUse |= usable
		}
	}
}

func (w *simTier) run(until time.Duration) {
	for {
		next := -1
		for i, pending := range w.queue {
			if pending.at <= until && (next < 0 || pending.at < w.queue[next].at) {
				next = i
			}
		}
		if next < 0 {
			w.now = max(w.now, until)
			w.checkExclusive()
			return
		}
		pending := w.queue[next]
		w.queue = slices.Delete(w.queue, next, next+1)
		w.now = max(w.now, pending.at)
		switch sim := w.members[pending.to]; {
		case sim.r == nil || pending.incarnation != 0 && pending.incarnation != sim.incarnation:
		case sim.paused:
			sim.deferred = append(sim.deferred, pending)
		default:
			w.step(pending.to, pending.ev)
		}
	}
}

func (w *simTier) resumeMember(member int) {
	sim := w.members[member]
	sim.paused = false
	w.checkExclusive()
	w.queue = append(w.queue, sim.deferred...)
	sim.deferred = nil
}

// unitsInUse returns how many units of an owner's quota are used by running members.
func (w *simTier) unitsInUse(owner int) (n int) {
	for member, sim := range w.members {
		if sim.r != nil && !sim.paused {
			for usable := sim.r.Usable(w.memberClock(member), owner); usable != 0; usable &= usable - 1 {
				n++
			}
		}
	}
	return n
}

// Units of two dead members go to the available members once the leases of the dead have expired, and not before;
// nobody uses the reserved unit of a dead member. A member that was only paused resumes with its reserved unit alone,
// and has the other units back within two leases.
func TestSuccessorsUseUnitsOfDeadMembers(t *testing.T) {
	w := newSimTier(t, 5, 0, 1)
	w.run(6 * time.Second)
	for owner := range w.members {
		if n := w.unitsInUse(owner); n != Units {
			t.Fatalf("%d units of the quota of member %d are used, want %d", n, owner, Units)
		}
	}
	w.killMember(1)
	w.members[3].paused = true
	w.setAvailable(3, false)
	w.run(7 * time.Second)
	if n := w.unitsInUse(1) + w.unitsInUse(3); n != 0 {
		t.Errorf("%d units of the two members are used a second after, within their leases", n)
	}
	w.run(11 * time.Second)
	for _, owner := range []int{1, 3} {
		if n := w.unitsInUse(owner); n != Units-1 {
			t.Errorf("%d units of the quota of member %d are used, want %d", n, owner, Units-1)
		}
	}
	if rate, known := w.members[0].r.Rate(w.memberClock(0), 7); !known || rate <= 10 {
		t.Errorf("an available member may use %v set-ups/s, known: %t; want more than its own quota of 10", rate, known)
	}
	w.resumeMember(3)
	if usable := w.members[3].r.Usable(w.memberClock(3), 3); usable != reservedUnit {
		t.Errorf("the paused member uses units %08b when it resumes, want the reserved unit", usable)
	}
	w.setAvailable(3, true)
	w.run(16 * time.Second)
	if usable := w.members[3].r.Usable(w.memberClock(3), 3); usable != reservedUnit|transferableUnits {
		t.Errorf("the resumed member uses units %08b after two leases, want all", usable)
	}
}

// A busy member borrows from an idle one at once. The owner does not use units that it has lent, and gets them back
// when the borrower dies.
func TestLoan(t *testing.T) {
	for _, disabled := range []Guard{0, GuardLoan} {
		w := newSimTier(t, 2, disabled, 1)
		usedByBoth := func() (n Mask) {
			return w.members[0].r.Usable(w.memberClock(0), 1) & w.members[1].r.Usable(w.memberClock(1), 1)
		}
		w.run(4 * time.Second)
		w.demand[0] = 3
		if disabled != 0 { // without the guard the violation shows
			w.drops = func(from, _ int) bool { return false }
			w.members[1].r.loans[3] = loan{0, w.memberClock(1) + time.Second}
			if usable := w.members[1].r.Usable(w.memberClock(1), 1); usable&(1<<3) == 0 {
				t.Error("without GuardLoan a member does not use the units that it has lent")
			}
			continue
		}
		w.step(0, Demand{3})
		w.run(6 * time.Second)
		if n := w.unitsInUse(1); usedByBoth() != 0 || n != Units || w.members[0].r.Usable(w.memberClock(0), 1) == 0 {
			t.Errorf("%d units of the idle member's quota are used, %08b by both; the busy member uses %08b", n, usedByBoth(), w.members[0].r.Usable(w.memberClock(0), 1))
		}
		w.killMember(0)
		w.run(6*time.Second + 2*w.limits.Lease)
		if usable := w.members[1].r.Usable(w.memberClock(1), 1) &^ reservedUnit; usable != 0 {
			t.Errorf("a member without a majority uses units %08b", usable)
		}
	}
}

// When all members restart at once, no member knows the earlier grants: each uses only its reserved unit until all
// units that may have been held have expired.
func TestAllMembersRestart(t *testing.T) {
	w := newSimTier(t, 5, 0, 1)
	w.run(5 * time.Second)
	for member := range w.members {
		w.killMember(member)
	}
	for member := range w.members {
		w.startMember(member)
	}
	for w.now < 5*time.Second+w.limits.Lease {
		w.run(w.now + 100*time.Millisecond)
		for owner := range w.members {
			if n := w.unitsInUse(owner); n > 1 {
				t.Fatalf("%d units of the quota of member %d are used %v after the start", n, owner, w.now-5*time.Second)
			}
		}
	}
	w.run(10 * time.Second)
	if n := w.unitsInUse(2); n != Units {
		t.Errorf("%d units of a quota are used 5 s after the start, want all", n)
	}
}

// Under datagrams lost and delayed, and members isolated, killed, restarted and paused, with clock pace differing by
// a hundredth, no unit is used by two members. After the faults have ended, each available member uses its own quota,
// and the units of the dead are used.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		w := newSimTier(t, 5, 0, seed)
		for member, sim := range w.members {
			sim.clockRate = 1 + 0.01*float64(member-2)/2
		}
		isolated := [5]bool{}
		w.drops = func(from, to int) bool { return isolated[from] != isolated[to] || w.rng.IntN(5) == 0 }
		w.delay = func() time.Duration {
			if w.rng.IntN(10) == 0 {
				return time.Duration(w.rng.IntN(3000)) * time.Millisecond
			}
			return time.Duration(w.rng.IntN(30)) * time.Millisecond
		}
		for range 40 {
			member := w.rng.IntN(5)
			switch sim := w.members[member]; w.rng.IntN(8) {
			case 0:
				if sim.r != nil {
					w.killMember(member)
				}
			case 1:
				if sim.r == nil {
					w.startMember(member)
				}
			case 2:
				if sim.r != nil {
					sim.paused = true
				}
			case 3:
				w.setAvailable(member, w.rng.IntN(2) == 0) // the members' views may be wrong
			case 4:
				isolated[member] = !isolated[member]
			case 5:
				w.demand[member] = 3 * w.rng.Float64()
				w.step(member, Demand{w.demand[member]})
			}
			for member, sim := range w.members {
				if sim.paused && w.rng.IntN(3) == 0 {
					w.resumeMember(member)
				}
			}
			w.run(w.now + time.Duration(w.rng.IntN(700))*time.Millisecond)
		}
		w.drops, w.delay = func(int, int) bool { return false }, func() time.Duration { return 5 * time.Millisecond }
		for member, sim := range w.members {
			if sim.paused {
				w.resumeMember(member)
			}
			if sim.r == nil && member < 4 {
				w.startMember(member)
			}
			w.setAvailable(member, w.members[member].r != nil)
		}
		w.run(w.now + 15*time.Second)
		for owner, sim := range w.members {
			want := Units
			if sim.r == nil {
				want--
			}
			if got := w.unitsInUse(owner); got != want {
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
		msg := message{Kind: kind(rng.IntN(7)), Tier: 5, Seq: rng.Uint32(), Incarnation: rng.Uint64N(3), Items: []int64{}, Rates: []int64{}}
		for range rng.IntN(4) {
			msg.Items = append(msg.Items, rng.Int64N(1<<12)-5)
		}
		for range rng.IntN(4) {
			msg.Rates = append(msg.Rates, rng.Int64N(1<<34)-5)
		}
		data := datagram.Encode(Version, msg)
		if rng.IntN(4) == 0 {
			data = data[:rng.IntN(len(data))]
		}
		r.Step(epoch, Datagram{rng.IntN(7) - 1, data})
	}
	if counters := r.Counters(); counters.Malformed < 500 || counters.UnknownSenders == 0 {
		t.Errorf("%+v", counters)
	}
}
