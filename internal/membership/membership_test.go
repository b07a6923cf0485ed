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

// networkConditions describe a network that loses, duplicates and reorders datagrams, and drops those between members
// for which isCutOff returns true.
type networkConditions struct {
	loss     float64
	isCutOff func(from, to int) bool
}

// delays returns the delay of each copy of a datagram that arrives; none if the datagram is lost.
func (conditions *networkConditions) delays(_ swarm.Time, from, to int, r *rand.Rand) []time.Duration {
	if conditions.isCutOff != nil && conditions.isCutOff(from, to) || r.Float64() < conditions.loss {
		return nil
	}
	delays := []time.Duration{time.Millisecond + time.Duration(r.Int64N(int64(20*time.Millisecond)))}
	if r.Float64() < 0.1 {
		delays = append(delays, delays[0]+time.Duration(r.Int64N(int64(30*time.Millisecond))))
	}
	return delays
}

// testTier is a simulated tier of size members.
type testTier struct {
	*swarm.Simulation
	networkConditions
	t    *testing.T
	size int
}

// startTier starts a simulated tier of n members whose network loses the given share of the datagrams.
func startTier(t *testing.T, n int, loss float64) *testTier {
	t.Helper()
	tier := &testTier{t: t, networkConditions: networkConditions{loss: loss}, size: n}
	var err error
	if tier.Simulation, err = swarm.New(swarm.Config{Members: n, Limits: membership.Defaults(), Seed: 7, Delays: tier.delays}); err != nil {
		t.Fatal(err)
	}
	return tier
}

// advance runs the simulation for the given duration of simulated time.
func (tier *testTier) advance(duration time.Duration) { tier.Run(tier.Now() + duration) }

// expectAgreement fails the test unless every running member considers all running members available, and all stopped
// members to be in stoppedState.
func (tier *testTier) expectAgreement(phase string, stoppedState membership.State) {
	tier.t.Helper()
	for i := range tier.size {
		if !tier.Running(i) {
			continue
		}
		for j := range tier.size {
			state := tier.StateOf(i, j).State
			if tier.Running(j) && !state.Available() || !tier.Running(j) && state != stoppedState {
				tier.t.Errorf("%s: member %d considers member %d %v; the latter runs: %t", phase, i, j, state, tier.Running(j))
			}
		}
	}
}

// A killed member is considered dead by all members, and available again after its restart: the incarnation of the new
// process overrides what is known of the old process, although the new process remembers nothing, and also when the
// member restarts within one period. Until the restart 30% of the datagrams are lost.
func TestKilledMemberReturns(t *testing.T) {
	for _, downtime := range []time.Duration{20 * second, 100 * time.Millisecond} {
		tier := startTier(t, 8, 0.3)
		tier.advance(10 * second)
		oldIncarnation := tier.StateOf(0, 3).Incarnation
		tier.Kill(3)
		tier.advance(downtime)
		if downtime > second && tier.StateOf(0, 3).State != membership.StateDead {
			t.Errorf("after %v the killed member is considered %v, want dead", downtime, tier.StateOf(0, 3).State)
		}
		if err := tier.Start(3); err != nil {
			t.Fatal(err)
		}
		tier.loss = 0
		tier.advance(8 * second)
		tier.expectAgreement("after restart", membership.StateDead)
		if incarnation := tier.StateOf(0, 3).Incarnation; incarnation <= oldIncarnation {
			t.Errorf("incarnation %d after the restart, %d before it; want a higher one", incarnation, oldIncarnation)
		}
	}
}

// A member that restarts with its clock set back receives the higher incarnation of its earlier process and chooses
// a higher one. Otherwise no member would consider it available until its clock has caught up.
func TestRestartWithClockSetBack(t *testing.T) {
	tier := startTier(t, 4, 0)
	tier.advance(5 * second)
	oldIncarnation := tier.StateOf(0, 3).Incarnation
	tier.Kill(3)
	tier.advance(10 * second)
	tier.SetClockSkew(3, -time.Hour)
	if err := tier.Start(3); err != nil {
		t.Fatal(err)
	}
	tier.advance(5 * second)
	tier.expectAgreement("clock set back", membership.StateDead)
	if incarnation := tier.StateOf(0, 3).Incarnation; incarnation <= oldIncarnation {
		t.Errorf("incarnation %d after the restart, %d before it; want a higher one", incarnation, oldIncarnation)
	}
}

// During a partition into three and two of five members, each side considers the other dead. The members of the smaller
// side reduce their quota of a cold server's budget, those of the larger side use no more than their own quota. After
// the partition all members are available.
func TestPartition(t *testing.T) {
	tier := startTier(t, 5, 0)
	tier.advance(5 * second)
	tier.isCutOff = func(from, to int) bool { return (from < 3) != (to < 3) }
	tier.advance(15 * second)
	for m := range 5 {
		view := tier.Member(m).View()
		want := map[bool]membership.View{true: {TierSize: 5, Available: 3, Down: 2}, false: {TierSize: 5, Available: 2, Down: 3}}[m < 3]
		if view != want || view.Majority() != (m < 3) || view.ColdQuotaFraction() != map[bool]float64{true: 1, false: 0.4}[m < 3] {
			t.Errorf("member %d: %+v, majority %t, cold quota fraction %v", m, view, view.Majority(), view.ColdQuotaFraction())
		}
	}
	tier.isCutOff = nil
	tier.advance(10 * second)
	tier.expectAgreement("healed", membership.StateDead)
}

// A member that has received nothing since its start takes a reduced cold quota: it may be on the smaller side of a
// partition.
func TestIsolatedMemberTakesReducedColdQuota(t *testing.T) {
	tier := startTier(t, 4, 1)
	if fraction := tier.Member(0).View().ColdQuotaFraction(); fraction != 0.25 {
		t.Errorf("cold quota fraction at the start: %v", fraction)
	}
	tier.advance(20 * second)
	if fraction := tier.Member(0).View().ColdQuotaFraction(); fraction != 0.25 {
		t.Errorf("cold quota fraction after 20 s of isolation: %v", fraction)
	}
}

// If all datagrams of one member are lost while it receives those of the others, the others consider only that member
// dead. After the fault all members consider each other available again.
func TestOneWayLoss(t *testing.T) {
	tier := startTier(t, 6, 0)
	tier.advance(5 * second)
	tier.isCutOff = func(from, to int) bool { return from == 0 }
	tier.advance(20 * second)
	for i := 1; i < 6; i++ {
		for j := range 6 {
			if state := tier.StateOf(i, j).State; (state == membership.StateDead) != (j == 0) {
				t.Errorf("member %d considers member %d %v", i, j, state)
			}
		}
	}
	tier.isCutOff = nil
	tier.advance(10 * second)
	tier.expectAgreement("healed", membership.StateDead)
}

// A member whose network connection fails and recovers repeatedly leaves all members available in the end. The other
// members never consider each other dead.
func TestFlappingLink(t *testing.T) {
	tier := startTier(t, 6, 0.1)
	tier.advance(5 * second)
	tier.OnChange = func(_ swarm.Time, observer int, c membership.StateChanged) {
		if c.New == membership.StateDead && observer != 0 && c.Member != 0 {
			t.Errorf("member %d considers member %d dead", observer, c.Member)
		}
	}
	for i := range 20 {
		tier.isCutOff = nil
		if i%2 == 0 {
			tier.isCutOff = func(from, to int) bool { return from == 0 || to == 0 }
		}
		tier.advance(second)
	}
	tier.advance(8 * second)
	tier.expectAgreement("after 20 s of flapping", membership.StateDead)
}

// A member that was paused beyond the suspicion time-out resumes with its old state, and with probes and suspicions
// that have timed out by its clock. It detects the pause, declares no member dead because of it, and is available
// again for all members.
func TestPauseBeyondSuspicionTimeout(t *testing.T) {
	tier := startTier(t, 6, 0.1)
	tier.advance(10 * second)
	tier.isCutOff = func(from, to int) bool { return to == 5 } // its probes and suspicions will have timed out when it resumes
	tier.advance(1500 * time.Millisecond)
	tier.Pause(5)
	tier.isCutOff = nil
	tier.advance(20 * second)
	if state := tier.StateOf(0, 5).State; state != membership.StateDead {
		t.Errorf("the paused member is considered %v, want dead", state)
	}
	tier.OnChange = func(_ swarm.Time, observer int, c membership.StateChanged) {
		if c.New == membership.StateDead && c.Member != 5 {
			t.Errorf("member %d considers member %d dead", observer, c.Member)
		}
	}
	tier.Resume(5)
	tier.advance(8 * second)
	if tier.Member(5).Counters().Stalls == 0 {
		t.Error("the pause was not detected")
	}
	tier.expectAgreement("after the pause", membership.StateDead)
}

// A drain and an orderly shutdown become known within seconds, and no member is declared dead. A member that has left is
// still considered left, not dead, when its process has ended.
func TestDrainAndLeave(t *testing.T) {
	tier := startTier(t, 8, 0)
	tier.advance(8 * second)
	tier.Inject(2, membership.Drain{On: true})
	tier.advance(4 * second)
	if state := tier.StateOf(5, 2).State; state != membership.StateDraining {
		t.Errorf("the draining member is considered %v, want draining", state)
	}
	tier.Inject(2, membership.Leave{})
	tier.Kill(2)
	tier.advance(4 * second)
	tier.expectAgreement("after leaving", membership.StateLeft)
	if deaths := tier.Counters().Deaths; deaths != 0 {
		t.Errorf("%d members declared dead, want 0", deaths)
	}
}

// When all members start together, and have many updates to send, they send on average only a few datagrams a period
// each, with a mean size within the maximum of 256 bytes, and in the end all consider each other available.
func TestSimultaneousRestartCausesNoStorm(t *testing.T) {
	tier := startTier(t, 270, 0)
	tier.advance(5 * second)
	for m := range 270 {
		tier.Kill(m)
	}
	before := tier.Counters()
	tier.advance(second)
	for m := range 270 {
		tier.Start(m)
	}
	tier.advance(10 * second)
	after := tier.Counters()
	sent := after.Sent - before.Sent
	if rate := float64(sent) / 270 / 10; rate > 12 {
		t.Errorf("%.1f datagrams per member and second, want at most 12", rate)
	}
	if size := (after.SentBytes - before.SentBytes) / sent; size > datagram.MaxSize {
		t.Errorf("%d bytes per datagram on average, more than the maximum", size)
	}
	tier.advance(60 * second)
	tier.expectAgreement("after simultaneous restart", membership.StateDead)
}

// Datagrams that are damaged, truncated, too long, of another version or tier, or from an unknown sender are counted,
// change no state and are not answered. The same holds for a datagram with an incarnation far ahead of the clock.
func TestInvalidDatagramsDropped(t *testing.T) {
	limits := membership.Defaults()
	newMember := func(self, tierSize int) (*membership.Reducer, []byte) {
		r, effects, err := membership.New(membership.Config{Self: self, TierSize: tierSize, Limits: limits}, swarm.Epoch)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range r.Step(swarm.Epoch+second/2, membership.TimerFired{Token: effects[0].(membership.Timer).Token}) {
			if s, ok := e.(membership.Send); ok {
				return r, s.Data
			}
		}
		t.Fatal("the first period sent no probe")
		return nil, nil
	}
	r, _ := newMember(0, 2)
	_, valid := newMember(1, 2)
	_, otherTier := newMember(1, 3)
	ahead, _, _ := membership.New(membership.Config{Self: 1, TierSize: 2, Limits: limits}, swarm.Epoch+1000*time.Hour)
	ahead.Step(swarm.Epoch+1000*time.Hour, membership.Datagram{From: 0, Data: valid})
	var farAhead []byte
	for _, e := range ahead.Step(swarm.Epoch+1000*time.Hour, membership.Datagram{From: 0, Data: valid}) {
		farAhead = e.(membership.Send).Data
	}
	otherVersion := append([]byte(nil), valid...)
	otherVersion[0]++
	cases := []struct {
		name    string
		from    int
		data    []byte
		counter func(membership.Counters) uint64
	}{
		{"empty", 1, nil, func(counters membership.Counters) uint64 { return counters.Malformed }},
		{"too long", 1, append(append([]byte(nil), valid...), make([]byte, 256)...), func(counters membership.Counters) uint64 { return counters.Malformed }},
		{"incarnation far ahead", 1, farAhead, func(counters membership.Counters) uint64 { return counters.Malformed }},
		{"other version", 1, datagram.FixChecksum(otherVersion), func(counters membership.Counters) uint64 { return counters.VersionMismatches }},
		{"other tier", 1, otherTier, func(counters membership.Counters) uint64 { return counters.UnknownSenders }},
		{"unknown sender", 2, valid, func(counters membership.Counters) uint64 { return counters.UnknownSenders }},
	}
	for i := range valid {
		damaged := append([]byte(nil), valid...)
		damaged[i] ^= 0x10
		cases = append(cases, struct {
			name    string
			from    int
			data    []byte
			counter func(membership.Counters) uint64
		}{"damaged", 1, damaged, func(counters membership.Counters) uint64 { return counters.Malformed }}, struct {
			name    string
			from    int
			data    []byte
			counter func(membership.Counters) uint64
		}{"truncated", 1, valid[:i], func(counters membership.Counters) uint64 { return counters.Malformed }})
	}
	for _, c := range cases {
		before := c.counter(r.Counters())
		effects := r.Step(swarm.Epoch+second/2, membership.Datagram{From: c.from, Data: c.data})
		if c.counter(r.Counters()) != before+1 || len(effects) > 0 || r.Members()[1].State != membership.StateUnknown {
			t.Errorf("%s: counters %+v, effects %v", c.name, r.Counters(), effects)
		}
	}
	if effects := r.Step(swarm.Epoch+second/2, membership.Datagram{From: 1, Data: valid}); len(effects) == 0 || r.Members()[1].State != membership.StateAlive {
		t.Error("a valid datagram is not accepted")
	}
}

// FuzzDatagram checks that no datagram makes the reducer panic or send a datagram over the maximum size.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte{1, 0x87, 0, 2, 0, 0, 1, 1, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		reducer, _, err := membership.New(membership.Config{Self: 0, TierSize: 5, Limits: membership.Defaults()}, swarm.Epoch)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range [][]byte{data, datagram.FixChecksum(append(append([]byte(nil), data...), 0, 0, 0, 0))} {
			for _, e := range reducer.Step(swarm.Epoch+second, membership.Datagram{From: 1, Data: d}) {
				if s, ok := e.(membership.Send); ok && len(s.Data) > datagram.MaxSize {
					t.Errorf("datagram of %d bytes", len(s.Data))
				}
			}
		}
	})
}

// Limits.Check names the invalid limit first.
func TestLimitsCheck(t *testing.T) {
	for field, invalidate := range map[string]func(*membership.Limits){
		"period":        func(l *membership.Limits) { l.Period = 0 },
		"timeout":       func(l *membership.Limits) { l.ProbeTimeout = l.Period },
		"suspicion_min": func(l *membership.Limits) { l.SuspicionMin = 0 },
		"datagram":      func(l *membership.Limits) { l.MaxDatagramSize = 257 },
	} {
		l := membership.Defaults()
		invalidate(&l)
		if err := l.Check(); err == nil || err.Error()[:len(field)] != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// Under a loss of 30% of the datagrams there are many suspicions and no false death: the members that suspect a
// member send it the suspicion every period, and it refutes at once.
func TestLossCausesNoFalseDeaths(t *testing.T) {
	suspicions := uint64(0)
	for _, n := range []int{5, 8, 12} {
		for seed := range uint64(8) {
			outcome, err := swarm.Experiment{Members: n, Limits: membership.Defaults(), Seed: seed, Loss: 0.3, MaxDelay: 5 * time.Millisecond,
				WarmUp: 10 * second, MeasureDuration: 60 * second}.Run()
			if err != nil || outcome.FalseDeaths > 0 {
				t.Errorf("%d members, seed %d: %d false deaths, error %v", n, seed, outcome.FalseDeaths, err)
			}
			suspicions += outcome.Suspicions
		}
	}
	if suspicions < 100 {
		t.Errorf("only %d suspicions: the test covers too little", suspicions)
	}
}

// A member in bad health does not cause others to be declared dead: 8 of 32 members are paused for 4 s of every 5 s.
// Plain SWIM, without Lifeguard and without pause detection, has false deaths there.
func TestPausedMembersCauseNoFalseDeaths(t *testing.T) {
	limits := membership.Defaults()
	for _, variant := range []struct {
		change func(*membership.Limits)
		deaths bool
	}{{func(*membership.Limits) {}, false}, {swarm.Variants[0].Change, true}} {
		l := limits
		variant.change(&l)
		deaths := 0
		for seed := range uint64(2) {
			outcome, err := swarm.Experiment{Members: 32, Limits: l, Seed: seed + 1, MaxDelay: 5 * time.Millisecond, WarmUp: 10 * second, MeasureDuration: 60 * second,
				Impaired: 8, PauseDuration: 4 * second, PauseInterval: 5 * second}.Run()
			if err != nil {
				t.Fatal(err)
			}
			deaths += outcome.FalseDeaths
		}
		if (deaths > 0) != variant.deaths {
			t.Errorf("limits %+v: %d false deaths", l, deaths)
		}
	}
}
