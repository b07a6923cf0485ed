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

func node(t *testing.T, self, tier int, now Time, servers ...uint32) (*Reducer, []Effect) {
	t.Helper()
	r, out, err := New(Config{Self: self, TierSize: tier, Limits: Defaults(), Seed: uint64(self)}, now)
	if err != nil {
		t.Fatal(err)
	}
	own := make(map[uint32]Observation)
	for _, s := range servers {
		own[s] = Observation{}
	}
	return r, append(out, r.Step(now, LocalObservations{own})...)
}

// rider is what a member says of one server.
func rider(r *Reducer, now Time, server uint32, s Observation) []byte {
	r.Step(now, LocalObservations{map[uint32]Observation{server: s}})
	bare := datagram.Encode(1, []int{1})
	_, rider, err := datagram.SplitPiggyback(r.AppendPiggyback(now, bare))
	if err != nil {
		panic(err)
	}
	return rider
}

// A word that was long on its way, comes twice, or comes behind a later one makes old news no younger, whatever the
// clocks say; nor does a life before the present one.
func TestOldNewsStaysOld(t *testing.T) {
	const behind = 3 * time.Second // the writer's clock
	a, _ := node(t, 0, 2, epoch)
	b, _ := node(t, 1, 2, epoch-behind)
	seen := func(now Time, share float64) []byte {
		return rider(b, now-behind, 7, Observation{HoldBackShare: share, HoldBackShareAt: now - behind - 100*ms})
	}
	a.Step(epoch, LocalObservations{map[uint32]Observation{7: {}}})
	first, second, third := seen(epoch+time.Second, 0.25), seen(epoch+2*time.Second, 0.5), seen(epoch+3*time.Second, 0.75)
	at := epoch + time.Second + 10*ms
	a.Step(at, Piggyback{1, first})
	if v := a.View(at, 7); math.Abs(v.HoldBackShare-0.25) > 0.01 || at-v.HoldBackShareAt < 100*ms || at-v.HoldBackShareAt > 120*ms {
		t.Errorf("%+v: a report of 0.25 that is 100 ms old", v)
	}
	at = epoch + 9*time.Second // the second was six seconds longer on its way
	a.Step(at, Piggyback{1, second})
	v := a.View(at, 7)
	if age := at - v.HoldBackShareAt; age < 6900*ms || age > 7300*ms {
		t.Errorf("a report that is 7.1 s old is held to be %v old", age)
	}
	a.Step(at, Piggyback{1, third})
	a.Step(at, Piggyback{1, second})
	a.Step(at, Piggyback{1, third})
	if v := a.View(at, 7); math.Abs(v.HoldBackShare-0.75) > 0.01 || a.Counters().Stale != 2 {
		t.Errorf("%+v, %+v: the third stands, what came twice or late is passed over", v, a.Counters())
	}
	again, _ := node(t, 1, 2, epoch+10*time.Second-behind)
	a.Step(epoch+11*time.Second, Piggyback{1, rider(again, epoch+11*time.Second-behind, 7, Observation{HoldBackShare: 1, HoldBackShareAt: epoch + 11*time.Second - behind})})
	late := seen(epoch+12*time.Second, 0)
	a.Step(epoch+12*time.Second, Piggyback{1, late})
	if v := a.View(epoch+12*time.Second, 7); v.HoldBackShare < 0.99 {
		t.Errorf("%+v: a life before the present one speaks", v)
	}
}

// Of two who contradict each other the later one weighs more, by half for each half-life; a stale one hardly counts, and
// what is past all use does not.
func TestTheLaterWeighsMore(t *testing.T) {
	a, _ := node(t, 0, 3, epoch, 7)
	now := epoch + time.Minute
	for m, s := range map[int]Observation{1: {HoldBackShare: 1, HoldBackShareAt: now - 2*a.cfg.Limits.HalfLife, Rate: 8, FailureWeight: 15}, 2: {HoldBackShare: 0, HoldBackShareAt: now - a.cfg.Limits.HalfLife, Rate: 4}} {
		b, _ := node(t, m, 3, epoch)
		a.Step(now, Piggyback{m, rider(b, now, 7, s)})
	}
	v := a.View(now, 7)
	if math.Abs(v.HoldBackShare-1.0/3) > 0.01 || math.Abs(v.Rate-6) > 0.1 || math.Abs(v.FailingShare-0.5) > 0.01 || v.Observers != 2 {
		t.Errorf("%+v, want a share of a third, a rate of 6, half for failing", v)
	}
	if v := a.View(now+a.cfg.Limits.MaxAge, 7); v.Observers != 0 || v.Rate != 0 {
		t.Errorf("%+v of what is past all use", v)
	}
}

// Who has just started asks a few, and others until one has answered; later answers still count. What is told of a server
// that the own list does not name is passed over.
func TestAStartAsks(t *testing.T) {
	const tier = 9
	now := epoch
	r, out := node(t, 0, tier, now, 7)
	asked := map[int]int{}
	var due Timer
	collect := func(out []Effect) {
		for _, e := range out {
			switch e := e.(type) {
			case Send:
				asked[e.To]++
			case Timer:
				due = e
			}
		}
	}
	collect(out)
	for range 2 {
		now = due.At
		collect(r.Step(now, TimerFired{due.Token}))
	}
	if len(asked) != 2*r.cfg.Limits.Fanout {
		t.Fatalf("asked %v, want %d others, each once", asked, 2*r.cfg.Limits.Fanout)
	}
	var answer []byte
	for m := range asked { // one answer was lost, two come
		peer, _ := node(t, m, tier, epoch)
		peer.Step(now, LocalObservations{map[uint32]Observation{7: {Rate: 5}, 8: {Rate: 9}}})
		for _, e := range peer.Step(now, Datagram{0, datagram.Encode(Version, message{Kind: ask, Tier: tier, Items: []int64{}})}) {
			answer = e.(Send).Data
			r.Step(now, Datagram{m, answer})
		}
		if len(r.observers[m].Entries) != 1 {
			t.Fatalf("of member %d's two servers %d are known, one is listed", m, len(r.observers[m].Entries))
		}
	}
	if v := r.View(now, 7); v.Rate != 5 || v.Observers != len(asked) || r.Counters().Unlisted == 0 {
		t.Errorf("%+v, %+v", v, r.Counters())
	}
	if out := r.Step(due.At, TimerFired{due.Token}); len(out) != 0 {
		t.Errorf("answered, it asks on: %v", out)
	}
	// Where all have just started nobody has anything to tell: each says so in one datagram, and the asking ends.
	peer, _ := node(t, 1, tier, epoch, 7, 8, 9)
	told := peer.Step(now, Datagram{0, datagram.Encode(Version, message{Kind: ask, Tier: tier, Items: []int64{}})})
	if len(told) != 1 || len(told[0].(Send).Data) > 40 {
		t.Errorf("who has seen nothing answers %v", told)
	}
	young, _ := node(t, 0, tier, epoch, 7)
	for m := range r.cfg.Limits.Fanout {
		young.Step(now, Datagram{m + 1, told[0].(Send).Data})
	}
	if !young.answered {
		t.Error("among those who have seen nothing it asks on")
	}
}

// Entries ride where there is room, those told longest ago first, and no datagram grows over 256 bytes; garbage is counted.
func TestRidersAndGarbage(t *testing.T) {
	r, _ := node(t, 0, 2, epoch)
	own := make(map[uint32]Observation)
	for s := range uint32(24) {
		own[s<<27] = Observation{HoldBackShare: 0.5, HoldBackShareAt: epoch, Rate: 100, Lines: 1e5, FailureWeight: 20, DrainingSince: epoch, MinSetUpTime: time.Second}
	}
	r.Step(epoch+time.Second, LocalObservations{own})
	peer, _ := node(t, 1, 2, epoch)
	peer.Step(epoch, LocalObservations{own})
	for i := range 6 {
		bare := datagram.Encode(1, make([]int, 20*i))
		all := r.AppendPiggyback(epoch+time.Second+time.Duration(i)*ms, bare)
		if len(all) > datagram.MaxSize {
			t.Fatalf("%d bytes", len(all))
		}
		back, rider, err := datagram.SplitPiggyback(all)
		if err != nil || string(back) != string(bare) {
			t.Fatalf("%v: what it rode on has changed", err)
		}
		if len(rider) > 0 {
			peer.Step(epoch+time.Second, Piggyback{0, rider})
		}
	}
	if n := len(peer.observers[0].Entries); n != len(own) {
		t.Errorf("%d of %d servers told", n, len(own))
	}
	if e := peer.observers[0].Entries[1<<27]; e.HoldBackShare < 0.49 || e.Rate != 100 || e.Lines != 1e5 || e.FailureWeight != 15 || e.MinSetUpTime != time.Second || e.DrainingSince < epoch-20*ms {
		t.Errorf("%+v", e)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 3000 {
		m := message{Kind: tell, Tier: 2, Incarnation: uint32(int64(epoch/ms) & math.MaxUint32), Stamp: rng.Uint32N(100), Items: []int64{}}
		for range rng.IntN(8) {
			m.Items = append(m.Items, rng.Int64N(1<<rng.IntN(50)+1)-3)
		}
		data := datagram.Encode(Version, m)
		if rng.IntN(4) == 0 {
			data = data[:rng.IntN(len(data))]
		}
		peer.Step(epoch+time.Second, Datagram{rng.IntN(4) - 1, data})
	}
	if f := peer.Counters(); f.Malformed < 500 || f.UnknownSenders == 0 {
		t.Errorf("%+v", f)
	}
}

// Who dies leaves its callers to those who are there: by what it has told of its rates, or as many as each has.
func TestCarried(t *testing.T) {
	r, _ := node(t, 0, 5, epoch)
	r.Step(epoch, LocalObservations{map[uint32]Observation{7: {Rate: 10}, 8: {Rate: 10}}})
	if k := r.TakeoverFactor([]int{1}, 4); k != 1.25 {
		t.Errorf("a fifth's callers for four: times %v", k)
	}
	b, _ := node(t, 1, 5, epoch)
	r.Step(epoch, Piggyback{1, rider(b, epoch, 7, Observation{Rate: 40})})
	if k := r.TakeoverFactor([]int{1}, 4); math.Abs(k-1.5) > 1e-9 {
		t.Errorf("40 a second for four that have 20 each: times %v", k)
	}
}
