package knowledge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"elmseam/internal/datagram"
)

const (
	ms    = time.Millisecond
	epoch = 1_700_000_000 * time.Second
)

// newReducer makes the reducer of a member that lists the given servers without observations, and returns it with its
// effects so far.
func newReducer(t *testing.T, self, tierSize int, now Time, servers ...uint32) (*Reducer, []Effect) {
	t.Helper()
	r, effects, err := New(Config{Self: self, TierSize: tierSize, Limits: Defaults(), Seed: uint64(self)}, now)
	if err != nil {
		t.Fatal(err)
	}
	local := make(map[uint32]Observation)
	for _, s := range servers {
		local[s] = Observation{}
	}
	return r, append(effects, r.Step(now, LocalObservations{local})...)
}

// piggybackOf returns the piggybacked data with which a member reports one server.
func piggybackOf(r *Reducer, now Time, server uint32, obs Observation) []byte {
	r.Step(now, LocalObservations{map[uint32]Observation{server: obs}})
	bare := datagram.Encode(1, []int{1})
	_, piggyback, err := datagram.SplitPiggyback(r.AppendPiggyback(now, bare))
	if err != nil {
		panic(err)
	}
	return piggyback
}

// Messages that were delayed, duplicated or reordered must not make an old report look recent, whatever the clocks
// show, and messages of an earlier incarnation must not count at all.
func TestAgeSurvivesDelayAndReordering(t *testing.T) {
	const clockOffset = 3 * time.Second // how far the writer's clock is behind the receiver's
	receiver, _ := newReducer(t, 0, 2, epoch)
	writer, _ := newReducer(t, 1, 2, epoch-clockOffset)
	report := func(now Time, share float64) []byte {
		return piggybackOf(writer, now-clockOffset, 7, Observation{HoldBackShare: share, HoldBackShareAt: now - clockOffset - 100*ms})
	}
	receiver.Step(epoch, LocalObservations{map[uint32]Observation{7: {}}})
	first, second, third := report(epoch+time.Second, 0.25), report(epoch+2*time.Second, 0.5), report(epoch+3*time.Second, 0.75)
	now := epoch + time.Second + 10*ms
	receiver.Step(now, Piggyback{1, first})
	if v := receiver.View(now, 7); math.Abs(v.HoldBackShare-0.25) > 0.01 || now-v.HoldBackShareAt < 100*ms || now-v.HoldBackShareAt > 120*ms {
		t.Errorf("%+v, want a share of 0.25 that is about 100 ms old", v)
	}
	now = epoch + 9*time.Second // the second message was under way for 7 s, the first for 10 ms
	receiver.Step(now, Piggyback{1, second})
	v := receiver.View(now, 7)
	if age := now - v.HoldBackShareAt; age < 6900*ms || age > 7300*ms {
		t.Errorf("a report that is 7.1 s old has the age %v", age)
	}
	receiver.Step(now, Piggyback{1, third})
	receiver.Step(now, Piggyback{1, second})
	receiver.Step(now, Piggyback{1, third})
	if v := receiver.View(now, 7); math.Abs(v.HoldBackShare-0.75) > 0.01 || receiver.Counters().Stale != 2 {
		t.Errorf("%+v, %+v: want the third report to count, duplicate and reordered messages to be stale", v, receiver.Counters())
	}
	restarted, _ := newReducer(t, 1, 2, epoch+10*time.Second-clockOffset)
	receiver.Step(epoch+11*time.Second, Piggyback{1, piggybackOf(restarted, epoch+11*time.Second-clockOffset, 7, Observation{HoldBackShare: 1, HoldBackShareAt: epoch + 11*time.Second - clockOffset})})
	late := report(epoch+12*time.Second, 0)
	receiver.Step(epoch+12*time.Second, Piggyback{1, late})
	if v := receiver.View(epoch+12*time.Second, 7); v.HoldBackShare < 0.99 {
		t.Errorf("%+v: a report of an earlier incarnation was accepted", v)
	}
}

// Of two contradicting reports the newer one weighs more, by a factor of two for each half-life between them, and
// entries of the age MaxAge or more do not count at all.
func TestNewerEntriesWeighMore(t *testing.T) {
	receiver, _ := newReducer(t, 0, 3, epoch, 7)
	now := epoch + time.Minute
	for member, obs := range map[int]Observation{1: {HoldBackShare: 1, HoldBackShareAt: now - 2*receiver.cfg.Limits.HalfLife, Rate: 8, FailureWeight: 15}, 2: {HoldBackShare: 0, HoldBackShareAt: now - receiver.cfg.Limits.HalfLife, Rate: 4}} {
		writer, _ := newReducer(t, member, 3, epoch)
		receiver.Step(now, Piggyback{member, piggybackOf(writer, now, 7, obs)})
	}
	v := receiver.View(now, 7)
	if math.Abs(v.HoldBackShare-1.0/3) > 0.01 || math.Abs(v.Rate-6) > 0.1 || math.Abs(v.FailingShare-0.5) > 0.01 || v.Observers != 2 {
		t.Errorf("%+v, want a hold-back share of 1/3, a rate of 6, a failing share of 1/2", v)
	}
	if v := receiver.View(now+receiver.cfg.Limits.MaxAge, 7); v.Observers != 0 || v.Rate != 0 {
		t.Errorf("%+v from entries of the age MaxAge", v)
	}
}

// A newly started member queries a few members, and others until one has answered; later answers still count. Entries
// for a server that the member's own server list does not contain are ignored.
func TestNewlyStartedMemberQueries(t *testing.T) {
	const tierSize = 9
	now := epoch
	r, effects := newReducer(t, 0, tierSize, now, 7)
	queried := map[int]int{}
	var timer Timer
	apply := func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Send:
				queried[e.To]++
			case Timer:
				timer = e
			}
		}
	}
	apply(effects)
	for range 2 {
		now = timer.At
		apply(r.Step(now, TimerFired{timer.Token}))
	}
	if len(queried) != 2*r.cfg.Limits.Fanout {
		t.Fatalf("queried %v, want %d other members, each once", queried, 2*r.cfg.Limits.Fanout)
	}
	var answer []byte
	for member := range queried { // the answers arrive late, after the second round of queries
		other, _ := newReducer(t, member, tierSize, epoch)
		other.Step(now, LocalObservations{map[uint32]Observation{7: {Rate: 5}, 8: {Rate: 9}}})
		for _, e := range other.Step(now, Datagram{0, datagram.Encode(Version, message{Kind: kindQuery, TierSize: tierSize, Items: []int64{}})}) {
			answer = e.(Send).Data
			r.Step(now, Datagram{member, answer})
		}
		if len(r.observers[member].Entries) != 1 {
			t.Fatalf("of the two servers that member %d reports %d are known, want only the listed one", member, len(r.observers[member].Entries))
		}
	}
	if v := r.View(now, 7); v.Rate != 5 || v.Observers != len(queried) || r.Counters().Unlisted == 0 {
		t.Errorf("%+v, %+v: want a rate of 5 reported by every queried member, and the entries for the unlisted server counted", v, r.Counters())
	}
	if effects := r.Step(timer.At, TimerFired{timer.Token}); len(effects) != 0 {
		t.Errorf("the member queries on after an answer: %v", effects)
	}
	// Where all members are newly started none has entries: each answers with one empty message, and the queries end.
	other, _ := newReducer(t, 1, tierSize, epoch, 7, 8, 9)
	answers := other.Step(now, Datagram{0, datagram.Encode(Version, message{Kind: kindQuery, TierSize: tierSize, Items: []int64{}})})
	if len(answers) != 1 || len(answers[0].(Send).Data) > 40 {
		t.Errorf("a member without observations answers %v, want one datagram of at most 40 bytes", answers)
	}
	newlyStarted, _ := newReducer(t, 0, tierSize, epoch, 7)
	for member := range r.cfg.Limits.Fanout {
		newlyStarted.Step(now, Datagram{member + 1, answers[0].(Send).Data})
	}
	if !newlyStarted.queriesDone {
		t.Error("the member queries on after enough empty answers")
	}
}

// Entries are piggybacked where there is room, those sent longest ago first, and no datagram grows over 256 bytes;
// malformed input is counted.
func TestPiggybackAndMalformedInput(t *testing.T) {
	r, _ := newReducer(t, 0, 2, epoch)
	observations := make(map[uint32]Observation)
	for s := range uint32(24) {
		observations[s<<27] = Observation{HoldBackShare: 0.5, HoldBackShareAt: epoch, Rate: 100, TotalLines: 1e5, FailureWeight: 20, DrainingSince: epoch, MinSetUpTime: time.Second}
	}
	r.Step(epoch+time.Second, LocalObservations{observations})
	other, _ := newReducer(t, 1, 2, epoch)
	other.Step(epoch, LocalObservations{observations})
	for i := range 6 {
		bare := datagram.Encode(1, make([]int, 20*i))
		data := r.AppendPiggyback(epoch+time.Second+time.Duration(i)*ms, bare)
		if len(data) > datagram.MaxSize {
			t.Fatalf("datagram of %d bytes with piggybacked data, more than the maximum", len(data))
		}
		carrier, piggyback, err := datagram.SplitPiggyback(data)
		if err != nil || string(carrier) != string(bare) {
			t.Fatalf("%v: the datagram changed under its piggybacked data", err)
		}
		if len(piggyback) > 0 {
			other.Step(epoch+time.Second, Piggyback{0, piggyback})
		}
	}
	if n := len(other.observers[0].Entries); n != len(observations) {
		t.Errorf("entries of %d of %d servers arrived", n, len(observations))
	}
	if e := other.observers[0].Entries[1<<27]; e.HoldBackShare < 0.49 || e.Rate != 100 || e.TotalLines != 1e5 || e.FailureWeight != 15 || e.MinSetUpTime != time.Second || e.DrainingSince < epoch-20*ms {
		t.Errorf("entry %+v, want the observation that was sent, with the failure weight limited to 15", e)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 3000 {
		msg := message{Kind: kindEntries, TierSize: 2, Incarnation: uint32(int64(epoch/ms) & math.MaxUint32), Stamp: rng.Uint32N(100), Items: []int64{}}
		for range rng.IntN(8) {
			msg.Items = append(msg.Items, rng.Int64N(1<<rng.IntN(50)+1)-3)
		}
		data := datagram.Encode(Version, msg)
		if rng.IntN(4) == 0 {
			data = data[:rng.IntN(len(data))]
		}
		other.Step(epoch+time.Second, Datagram{rng.IntN(4) - 1, data})
	}
	if counters := other.Counters(); counters.Malformed < 500 || counters.UnknownSenders == 0 {
		t.Errorf("counters %+v, want at least 500 malformed datagrams and some of unknown senders", counters)
	}
}

// The callers of a dead member move to the available ones: as many as its reported rates say, or else as many as each
// member has.
func TestTakeoverFactor(t *testing.T) {
	r, _ := newReducer(t, 0, 5, epoch)
	r.Step(epoch, LocalObservations{map[uint32]Observation{7: {Rate: 10}, 8: {Rate: 10}}})
	if factor := r.TakeoverFactor([]int{1}, 4); factor != 1.25 {
		t.Errorf("one of five members died, four remain, rates unknown: factor %v, want 1.25", factor)
	}
	writer, _ := newReducer(t, 1, 5, epoch)
	r.Step(epoch, Piggyback{1, piggybackOf(writer, epoch, 7, Observation{Rate: 40})})
	if factor := r.TakeoverFactor([]int{1}, 4); math.Abs(factor-1.5) > 1e-9 {
		t.Errorf("40 set-ups/s taken over by four members, this one with 20/s: factor %v, want 1.5", factor)
	}
}

// TestRestartedMemberIgnored guards against a member whose entries and queries are ignored for good by those that knew its earlier process:
// after a restart with the clock set back, after one 25 to 50 days later, and after 2^32 ms of running.
func TestRestartedMemberIgnored(t *testing.T) {
	const day = 24 * time.Hour
	for name, test := range map[string]struct {
		restartAfter, clockBack, runFor time.Duration
	}{
		"clock set back":       {restartAfter: time.Minute, clockBack: time.Hour},
		"restart after 30 d":   {restartAfter: 30 * day},
		"restart after 24.8 d": {restartAfter: (1 << 31) * ms},
		"running for 50 d":     {runFor: 50 * day},
	} {
		t.Run(name, func(t *testing.T) {
			receiver, _ := newReducer(t, 0, 2, epoch, 7)
			writer, _ := newReducer(t, 1, 2, epoch, 7)
			receiver.Step(epoch, Piggyback{1, piggybackOf(writer, epoch, 7, Observation{Rate: 1})})
			now := epoch + test.restartAfter
			if test.restartAfter > 0 {
				writer, _ = newReducer(t, 1, 2, now-test.clockBack, 7)
			}
			for end := now + test.runFor; now < end; now += day { // they talk once a day
				receiver.Step(now, Piggyback{1, piggybackOf(writer, now-test.clockBack, 7, Observation{Rate: 2})})
			}
			for range 2 { // the first message may be ignored
				now += time.Second
				for _, e := range receiver.Step(now, Piggyback{1, piggybackOf(writer, now-test.clockBack, 7, Observation{Rate: 3})}) {
					if send, ok := e.(Send); ok {
						writer.Step(now-test.clockBack, Datagram{0, send.Data})
					}
				}
			}
			if v := receiver.View(now, 7); v.Rate != 3 {
				t.Errorf("%+v, want the rate of 3 that the member reported last", v)
			}
		})
	}
}
