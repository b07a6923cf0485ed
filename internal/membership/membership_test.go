package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"elmseam/internal/datagram"
	"elmseam/internal/membership"
	"elmseam/internal/swarm"
)

const second = time.Second

// weather is a network that loses, doubles and reorders, and that cuts members apart while cut says so.
type weather struct {
	loss float64
	cut  func(from, to int) bool
}

func (w *weather) net(_ swarm.Time, from, to int, r *rand.Rand) []time.Duration {
	if w.cut != nil && w.cut(from, to) || r.Float64() < w.loss {
		return nil
	}
	ds := []time.Duration{time.Millisecond + time.Duration(r.Int64N(int64(20*time.Millisecond)))}
	if r.Float64() < 0.1 {
		ds = append(ds, ds[0]+time.Duration(r.Int64N(int64(30*time.Millisecond))))
	}
	return ds
}

type tier struct {
	*swarm.Simulation
	weather
	t *testing.T
	n int
}

func begin(t *testing.T, n int, loss float64) *tier {
	t.Helper()
	x := &tier{t: t, weather: weather{loss: loss}, n: n}
	var err error
	if x.Simulation, err = swarm.New(swarm.Config{Members: n, Limits: membership.Defaults(), Seed: 7, Delays: x.net}); err != nil {
		t.Fatal(err)
	}
	return x
}

func (x *tier) pass(d time.Duration) { x.Run(x.Now() + d) }

// agree fails unless every running member holds every running one there, and the others in the given state.
func (x *tier) agree(when string, others membership.State) {
	x.t.Helper()
	for i := range x.n {
		if !x.Running(i) {
			continue
		}
		for j := range x.n {
			got := x.StateOf(i, j).State
			if x.Running(j) && !got.Available() || !x.Running(j) && got != others {
				x.t.Errorf("%s: member %d holds member %d %v; it runs: %t", when, i, j, got, x.Running(j))
			}
		}
	}
}

// A killed member is held dead by all, and there again once it is back: its new life stands over what is believed of the
// old one, though it remembers nothing, and also when it comes back within a period. Three in ten datagrams are lost.
func TestKilledAndBack(t *testing.T) {
	for _, away := range []time.Duration{20 * second, 100 * time.Millisecond} {
		x := begin(t, 8, 0.3)
		x.pass(10 * second)
		old := x.StateOf(0, 3).Incarnation
		x.Kill(3)
		x.pass(away)
		if away > second && x.StateOf(0, 3).State != membership.Dead {
			t.Errorf("after %v it is held %v", away, x.StateOf(0, 3).State)
		}
		if err := x.Start(3); err != nil {
			t.Fatal(err)
		}
		x.loss = 0
		x.pass(8 * second)
		x.agree("back", membership.Dead)
		if now := x.StateOf(0, 3).Incarnation; now <= old {
			t.Errorf("incarnation %d after %d", now, old)
		}
	}
}

// A member that started anew with its clock set back hears of its earlier life and goes above it; else nobody would
// believe it to be there until its clock has caught up.
func TestClockSetBack(t *testing.T) {
	x := begin(t, 4, 0)
	x.pass(5 * second)
	old := x.StateOf(0, 3).Incarnation
	x.Kill(3)
	x.pass(10 * second)
	x.Skew(3, -time.Hour)
	if err := x.Start(3); err != nil {
		t.Fatal(err)
	}
	x.pass(5 * second)
	x.agree("clock set back", membership.Dead)
	if now := x.StateOf(0, 3).Incarnation; now <= old {
		t.Errorf("incarnation %d after %d", now, old)
	}
}

// While three of five are cut from the other two, each side holds the other dead; the small side takes less of a cold
// server's budget, the great one no more than its part; when they meet again, all are there.
func TestPartition(t *testing.T) {
	x := begin(t, 5, 0)
	x.pass(5 * second)
	x.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
	x.pass(15 * second)
	for m := range 5 {
		v := x.Member(m).View()
		want := map[bool]membership.View{true: {TierSize: 5, Available: 3, Down: 2}, false: {TierSize: 5, Available: 2, Down: 3}}[m < 3]
		if v != want || v.Majority() != (m < 3) || v.ColdQuotaFactor() != map[bool]float64{true: 1, false: 0.4}[m < 3] {
			t.Errorf("member %d: %+v, majority %t, cold share %v", m, v, v.Majority(), v.ColdQuotaFactor())
		}
	}
	x.cut = nil
	x.pass(10 * second)
	x.agree("healed", membership.Dead)
}

// A member that hears of nobody since its start is careful: it may be on the small side of a cut.
func TestAloneIsCareful(t *testing.T) {
	x := begin(t, 4, 1)
	if got := x.Member(0).View().ColdQuotaFactor(); got != 0.25 {
		t.Errorf("at the start %v", got)
	}
	x.pass(20 * second)
	if got := x.Member(0).View().ColdQuotaFactor(); got != 0.25 {
		t.Errorf("after 20 s alone %v", got)
	}
}

// Where one member's datagrams are lost and it hears the others, it is held dead while that lasts, and no other is; it
// holds them all there, and is back soon after.
func TestOneWay(t *testing.T) {
	x := begin(t, 6, 0)
	x.pass(5 * second)
	x.cut = func(from, to int) bool { return from == 0 }
	x.pass(20 * second)
	for i := 1; i < 6; i++ {
		for j := range 6 {
			if got := x.StateOf(i, j).State; (got == membership.Dead) != (j == 0) {
				t.Errorf("member %d holds member %d %v", i, j, got)
			}
		}
	}
	x.cut = nil
	x.pass(10 * second)
	x.agree("healed", membership.Dead)
}

// A link that comes and goes leaves every member there in the end, and those that it doesn't concern all along.
func TestFlapping(t *testing.T) {
	x := begin(t, 6, 0.1)
	x.pass(5 * second)
	x.OnChange = func(_ swarm.Time, observer int, c membership.StateChanged) {
		if c.New == membership.Dead && observer != 0 && c.Member != 0 {
			t.Errorf("member %d holds member %d dead", observer, c.Member)
		}
	}
	for i := range 20 {
		x.cut = nil
		if i%2 == 0 {
			x.cut = func(from, to int) bool { return from == 0 || to == 0 }
		}
		x.pass(second)
	}
	x.pass(8 * second)
	x.agree("after 20 s of flapping", membership.Dead)
}

// A member that stood still past its suspicion time-out comes back with what it believed before, and with probes and
// suspicions whose time is up by its clock. It notices, holds nobody dead for it, and is there again for all.
func TestPausedPastItsSuspicion(t *testing.T) {
	x := begin(t, 6, 0.1)
	x.pass(10 * second)
	x.cut = func(from, to int) bool { return to == 5 } // what it waits for now will have run out
	x.pass(1500 * time.Millisecond)
	x.Pause(5)
	x.cut = nil
	x.pass(20 * second)
	if got := x.StateOf(0, 5).State; got != membership.Dead {
		t.Errorf("while it stands still it is held %v", got)
	}
	x.OnChange = func(_ swarm.Time, observer int, c membership.StateChanged) {
		if c.New == membership.Dead && c.Member != 5 {
			t.Errorf("member %d holds member %d dead", observer, c.Member)
		}
	}
	x.Resume(5)
	x.pass(8 * second)
	if x.Member(5).Counters().Stalls == 0 {
		t.Error("it noticed nothing")
	}
	x.agree("back", membership.Dead)
}

// A drain and an end in order are told, at once and without a suspicion; what has left stays so until it is back.
func TestDrainAndLeave(t *testing.T) {
	x := begin(t, 8, 0)
	x.pass(8 * second)
	x.Inject(2, membership.Drain{On: true})
	x.pass(4 * second)
	if got := x.StateOf(5, 2).State; got != membership.Draining {
		t.Errorf("held %v while it drains", got)
	}
	x.Inject(2, membership.Leave{})
	x.Kill(2)
	x.pass(4 * second)
	x.agree("left", membership.Left)
	if n := x.Counters().Deaths; n != 0 {
		t.Errorf("%d held dead", n)
	}
}

// However many start at once, and whatever they have to tell, each sends a few datagrams a period, of 256 bytes at most.
func TestNoStorm(t *testing.T) {
	x := begin(t, 270, 0)
	x.pass(5 * second)
	for m := range 270 {
		x.Kill(m)
	}
	before := x.Counters()
	x.pass(second)
	for m := range 270 {
		x.Start(m)
	}
	x.pass(10 * second)
	f := x.Counters()
	n := f.Sent - before.Sent
	if each := float64(n) / 270 / 10; each > 12 {
		t.Errorf("%.1f datagrams a member and second", each)
	}
	if size := (f.SentBytes - before.SentBytes) / n; size > datagram.MaxSize {
		t.Errorf("%d bytes a datagram", size)
	}
	x.pass(60 * second)
	x.agree("restarted at once", membership.Dead)
}

// Datagrams that are damaged, cut short, too long, of another version or tier, or from nobody are counted, change
// nothing and are not answered; so is one with an incarnation that no clock will reach.
func TestDropped(t *testing.T) {
	limits := membership.Defaults()
	fresh := func(self, tier int) (*membership.Reducer, []byte) {
		r, out, err := membership.New(membership.Config{Self: self, TierSize: tier, Limits: limits}, swarm.Epoch)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range r.Step(swarm.Epoch+second/2, membership.TimerFired{Token: out[0].(membership.Timer).Token}) {
			if s, ok := e.(membership.Send); ok {
				return r, s.Data
			}
		}
		t.Fatal("no probe")
		return nil, nil
	}
	r, _ := fresh(0, 2)
	_, good := fresh(1, 2)
	_, other := fresh(1, 3)
	late, _, _ := membership.New(membership.Config{Self: 1, TierSize: 2, Limits: limits}, swarm.Epoch+1000*time.Hour)
	late.Step(swarm.Epoch+1000*time.Hour, membership.Datagram{From: 0, Data: good})
	var future []byte
	for _, e := range late.Step(swarm.Epoch+1000*time.Hour, membership.Datagram{From: 0, Data: good}) {
		future = e.(membership.Send).Data
	}
	version := append([]byte(nil), good...)
	version[0]++
	cases := []struct {
		name string
		from int
		data []byte
		what func(membership.Counters) uint64
	}{
		{"nothing", 1, nil, func(f membership.Counters) uint64 { return f.Malformed }},
		{"too long", 1, append(append([]byte(nil), good...), make([]byte, 256)...), func(f membership.Counters) uint64 { return f.Malformed }},
		{"the future", 1, future, func(f membership.Counters) uint64 { return f.Malformed }},
		{"a version", 1, datagram.FixChecksum(version), func(f membership.Counters) uint64 { return f.VersionMismatches }},
		{"another tier", 1, other, func(f membership.Counters) uint64 { return f.UnknownSenders }},
		{"nobody", 2, good, func(f membership.Counters) uint64 { return f.UnknownSenders }},
	}
	for i := range good {
		flipped := append([]byte(nil), good...)
		flipped[i] ^= 0x10
		cases = append(cases, struct {
			name string
			from int
			data []byte
			what func(membership.Counters) uint64
		}{"damaged", 1, flipped, func(f membership.Counters) uint64 { return f.Malformed }}, struct {
			name string
			from int
			data []byte
			what func(membership.Counters) uint64
		}{"cut short", 1, good[:i], func(f membership.Counters) uint64 { return f.Malformed }})
	}
	for _, c := range cases {
		before := c.what(r.Counters())
		out := r.Step(swarm.Epoch+second/2, membership.Datagram{From: c.from, Data: c.data})
		if c.what(r.Counters()) != before+1 || len(out) > 0 || r.Members()[1].State != membership.Unknown {
			t.Errorf("%s: figures %+v, effects %v", c.name, r.Counters(), out)
		}
	}
	if out := r.Step(swarm.Epoch+second/2, membership.Datagram{From: 1, Data: good}); len(out) == 0 || r.Members()[1].State != membership.Alive {
		t.Error("a good one is not taken")
	}
}

// FuzzDatagram: whatever comes, the reducer stands, and no effect breaks the size.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte{1, 0x87, 0, 2, 0, 0, 1, 1, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, _, err := membership.New(membership.Config{Self: 0, TierSize: 5, Limits: membership.Defaults()}, swarm.Epoch)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range [][]byte{data, datagram.FixChecksum(append(append([]byte(nil), data...), 0, 0, 0, 0))} {
			for _, e := range r.Step(swarm.Epoch+second, membership.Datagram{From: 1, Data: d}) {
				if s, ok := e.(membership.Send); ok && len(s.Data) > datagram.MaxSize {
					t.Errorf("a datagram of %d bytes", len(s.Data))
				}
			}
		}
	})
}

// Limits that make no sense are named.
func TestLimits(t *testing.T) {
	for field, spoil := range map[string]func(*membership.Limits){
		"period":        func(l *membership.Limits) { l.Period = 0 },
		"timeout":       func(l *membership.Limits) { l.Timeout = l.Period },
		"suspicion_min": func(l *membership.Limits) { l.SuspicionMin = 0 },
		"datagram":      func(l *membership.Limits) { l.MaxDatagram = 257 },
	} {
		l := membership.Defaults()
		spoil(&l)
		if err := l.Check(); err == nil || err.Error()[:len(field)] != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// Where three in ten datagrams are lost, suspicions are many and nobody comes to be held dead: who suspects a member tells it
// each period, and it refutes at once.
func TestLossKillsNobody(t *testing.T) {
	suspicions := uint64(0)
	for _, n := range []int{5, 8, 12} {
		for seed := range uint64(8) {
			o, err := swarm.Experiment{Members: n, Limits: membership.Defaults(), Seed: seed, Loss: 0.3, MaxDelay: 5 * time.Millisecond,
				WarmUp: 10 * second, Measured: 60 * second}.Run()
			if err != nil || o.FalseDeaths > 0 {
				t.Errorf("%d members, seed %d: %d held dead, %v", n, seed, o.FalseDeaths, err)
			}
			suspicions += o.Suspicions
		}
	}
	if suspicions < 100 {
		t.Errorf("%d suspicions: nothing was put to the test", suspicions)
	}
}

// A member that does badly itself does not have others held dead for it: 8 of 32 stand still for 4 s of every 5 s.
func TestBadHealthIsNotContagious(t *testing.T) {
	limits := membership.Defaults()
	for _, c := range []struct {
		change func(*membership.Limits)
		deaths bool
	}{{func(*membership.Limits) {}, false}, {swarm.Variants[0].Change, true}} {
		l := limits
		c.change(&l)
		deaths := 0
		for seed := range uint64(2) {
			o, err := swarm.Experiment{Members: 32, Limits: l, Seed: seed + 1, MaxDelay: 5 * time.Millisecond, WarmUp: 10 * second, Measured: 60 * second,
				Impaired: 8, PauseDuration: 4 * second, PauseInterval: 5 * second}.Run()
			if err != nil {
				t.Fatal(err)
			}
			deaths += o.FalseDeaths
		}
		if (deaths > 0) != c.deaths {
			t.Errorf("%+v: %d held dead", l, deaths)
		}
	}
}
