package membership

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"elmseam/internal/datagram"
)

// Config is what a member is told.
type Config struct {
	Self, TierSize int // the own number, and how many members there are
	Limits         Limits
	Seed           uint64
	DisabledGuards Guard // taken out, for checks that have to see a rule broken; no program sets it
}

// Guard names a part of the protocol that a check can take out.
type Guard uint8

// The guards.
const (
	GuardRefute  Guard = 1 << iota // a member refutes what is not so of it
	GuardSuspect                   // a probe that failed makes a suspect
)

func (r *Reducer) has(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }

// probe is the one under way.
type probe struct {
	Target int
	Seq    uint32
	Acked  bool
	Asked  []int // to probe for us
	Nacked []int // of those: there, but with no answer either
}

// relay is a probe made for another member.
type relay struct {
	Seq, Theirs  uint32
	For, Target  int
	Acked, Spoke bool // its end was told
}

// suspicion of a member. By are who suspects it, each by an observation of its own.
type suspicion struct {
	Began Time
	By    []int
}

// pending is an update that is being passed on.
type pending struct {
	update
	Sent int
	Age  uint64
}

// Reducer is one member's part in the protocol. It is not safe for concurrent use.
type Reducer struct {
	cfg         Config
	now         Time
	rng         *rand.Rand
	out         []Effect
	members     []Member // the own entry is what this member says of itself
	suspicions  []*suspicion
	queue       []pending
	age         uint64
	health      int // the local health multiplier, 0 the best
	seq         uint32
	round       []int // still to be probed, in a random order
	due         Time  // when the next period begins
	periods     uint32
	probe       *probe
	relays      []relay
	synced      bool // has the list of another since the start, or the last doubt
	asked       uint32
	cursor      int // where the next list told begins
	left        bool
	figures     Counters
	transmitMax int
}

// New begins a member's part. Its incarnation is the time, in milliseconds since the Unix epoch: a member has no disk,
// and what it was before it started anew must be older. Effects begin the first period, at a random moment of it, so
// that a tier that starts at once does not probe at once.
func New(cfg Config, now Time) (*Reducer, []Effect, error) {
	switch {
	case cfg.TierSize < 1 || cfg.TierSize > math.MaxUint16:
		return nil, nil, fmt.Errorf("tier: %d members, not in [1, %d]", cfg.TierSize, math.MaxUint16)
	case cfg.Self < 0 || cfg.Self >= cfg.TierSize:
		return nil, nil, fmt.Errorf("self: %d is none of %d members", cfg.Self, cfg.TierSize)
	}
	if err := cfg.Limits.Check(); err != nil {
		return nil, nil, err
	}
	r := &Reducer{
		cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d656d62)),
		members: make([]Member, cfg.TierSize), suspicions: make([]*suspicion, cfg.TierSize),
		transmitMax: cfg.Limits.Retransmit * int(math.Ceil(math.Log10(float64(cfg.TierSize+1)))),
	}
	r.members[cfg.Self] = Member{State: Alive, Incarnation: max(uint64(now/time.Millisecond), 1), Since: now}
	r.begin(time.Duration(r.rng.Int64N(int64(cfg.Limits.Period))))
	return r, r.take(), nil
}

// Step takes in one event. The effects are to be carried out in their order. A time before that of the last Step counts
// as the last one's.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	if stall := r.cfg.Limits.StallThreshold; stall > 0 && r.now > r.due+stall && !r.left {
		r.woke()
	}
	switch ev := ev.(type) {
	case Datagram:
		r.datagram(ev)
	case TimerFired:
		r.timer(ev.Token)
	case Drain:
		r.drain(ev.On)
	case Leave:
		r.leave()
	}
	return r.take()
}

func (r *Reducer) take() []Effect {
	out := r.out
	r.out = nil
	return out
}

func (r *Reducer) do(e Effect)    { r.out = append(r.out, e) }
func (r *Reducer) self() *Member  { return &r.members[r.cfg.Self] }
func (r *Reducer) number() uint32 { r.seq++; return r.seq }

// scaled is a time stretched by the local health multiplier: a member that does badly itself gives others longer
// (Lifeguard, LHA-Probe).
func (r *Reducer) scaled(d time.Duration) time.Duration { return d * time.Duration(r.health+1) }

// feel moves the local health multiplier: up for the worse.
func (r *Reducer) feel(by int) { r.health = min(max(r.health+by, 0), r.cfg.Limits.MaxHealth) }

// begin asks for the next period.
func (r *Reducer) begin(in time.Duration) {
	r.periods++
	r.due = r.now + in
	r.do(Timer{At: r.due, Token: Token{kind: tokenPeriod, seq: r.periods}})
}

func (r *Reducer) timer(t Token) {
	switch t.kind {
	case tokenPeriod:
		if t.seq == r.periods && !r.left {
			r.period()
		}
	case tokenDirect:
		if p := r.probe; p != nil && p.Seq == t.seq && !p.Acked {
			r.indirect(p)
		}
	case tokenSuspect:
		r.suspected(t.member)
	case tokenRelay:
		for i := range r.relays {
			if a := &r.relays[i]; a.Seq == t.seq && !a.Acked && !a.Spoke {
				a.Spoke = true
				r.send(a.For, message{Kind: nack, Seq: a.Theirs, Target: uint16(a.Target)})
			}
		}
	}
}

// period ends the last probe and begins the next.
func (r *Reducer) period() {
	if p := r.probe; p != nil {
		r.probe = nil
		r.judge(p)
	}
	if target, ok := r.next(); ok {
		r.probe = &probe{Target: target, Seq: r.number()}
		r.figures.Probes++
		r.send(target, message{Kind: ping, Seq: r.probe.Seq})
		r.do(Timer{At: r.now + r.scaled(r.cfg.Limits.Timeout), Token: Token{kind: tokenDirect, seq: r.probe.Seq}})
	}
	r.insist()
	if r.periods%uint32(r.cfg.Limits.ReclaimPeriods) == 0 {
		r.reclaim()
	}
	r.begin(r.scaled(r.cfg.Limits.Period))
}

// next is the member to be probed: each once a round, in an order drawn anew for each, so that a failure is seen by
// somebody soon and by each within two rounds (SWIM 4.3).
func (r *Reducer) next() (int, bool) {
	for range 2 {
		for len(r.round) > 0 {
			m := r.round[0]
			r.round = r.round[1:]
			if !r.members[m].State.Down() {
				return m, true
			}
		}
		for m := range r.members {
			if m != r.cfg.Self {
				r.round = append(r.round, m)
			}
		}
		r.rng.Shuffle(len(r.round), func(i, j int) { r.round[i], r.round[j] = r.round[j], r.round[i] })
	}
	return 0, false
}

// indirect asks others to probe: the way from here may be at fault (SWIM 3.1). The direct probe goes out once more as
// well: where datagrams are lost, that halves what is held failed, for the price of one (memberlist tries TCP then; there is
// none between softswitches).
func (r *Reducer) indirect(p *probe) {
	r.send(p.Target, message{Kind: ping, Seq: p.Seq})
	p.Asked = r.some(r.cfg.Limits.Indirect, p.Target)
	for _, m := range p.Asked {
		r.figures.Indirect++
		r.send(m, message{Kind: pingOn, Seq: p.Seq, Target: uint16(p.Target)})
	}
}

// some are so many members that are there, drawn at random, without one of them.
func (r *Reducer) some(n, without int) []int {
	var there []int
	for m := range r.members {
		if m != r.cfg.Self && m != without && r.members[m].State.Available() {
			there = append(there, m)
		}
	}
	r.rng.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	return there[:min(n, len(there))]
}

// judge takes in how a probe ended. Where those that were asked are silent as well, the fault is likely here
// (Lifeguard, LHA-Probe).
func (r *Reducer) judge(p *probe) {
	if p.Acked {
		r.feel(-1)
		return
	}
	r.figures.Failed++
	if len(p.Asked) > 0 {
		r.feel(len(p.Asked) - len(p.Nacked))
	} else {
		r.feel(1)
	}
	if m := &r.members[p.Target]; !m.State.Down() && r.has(GuardSuspect) {
		r.suspect(p.Target, m.Incarnation, r.cfg.Self)
	}
}

// insist probes again, once a period, those whom this member suspects by what it saw itself, a few at a time. Each goes
// with the suspicion, so that one answer refutes it; no more than the first K+1 who suspect a member do so.
func (r *Reducer) insist() {
	var mine []int
	for m, s := range r.suspicions {
		if s != nil && slices.Contains(s.By, r.cfg.Self) {
			mine = append(mine, m)
		}
	}
	r.rng.Shuffle(len(mine), func(i, j int) { mine[i], mine[j] = mine[j], mine[i] })
	for _, m := range mine[:min(len(mine), insisted)] {
		r.send(m, message{Kind: ping, Seq: r.number()})
	}
}

// insisted are how many suspects are probed again in a period.
const insisted = 3

// reclaim probes a member that is held dead: it may be there and not know what is said of it, as after a partition.
// What is held of it goes with the probe, so that it refutes before it answers.
func (r *Reducer) reclaim() {
	var dead []int
	for m := range r.members {
		if r.members[m].State == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		r.send(dead[r.rng.IntN(len(dead))], message{Kind: ping, Seq: r.number()})
	}
}

// woke notices that this member itself stood still: its own timer is late. What it waited for meanwhile it could not
// hear, so no probe is held failed for it and every suspicion gets its whole time again, and it asks for the news.
// Lifeguard learns that only by a refutation of its own, when the damage to others is done.
func (r *Reducer) woke() {
	r.figures.Stalls++
	r.feel(1)
	r.probe, r.relays, r.synced = nil, nil, false
	for m, s := range r.suspicions {
		if s != nil {
			s.Began = r.now
			r.await(m)
		}
	}
	r.begin(0)
}

// drain tells that this member sends its callers away, or takes them back: news of its own needs a new incarnation.
func (r *Reducer) drain(on bool) {
	s := r.self()
	want := Alive
	if on {
		want = Draining
	}
	if r.left || s.State == want {
		return
	}
	s.State, s.Since = want, r.now
	s.Incarnation++
	r.do(StateChanged{Member: r.cfg.Self, Old: Alive + Draining - want, New: want, Incarnation: s.Incarnation})
}

// leave tells some members that this one ends in order.
func (r *Reducer) leave() {
	if r.left {
		return
	}
	r.left = true
	r.self().State, r.self().Since = Left, r.now
	r.announce(r.transmitMax)
}

// announce tells some members at once what this one says of itself; they pass it on.
func (r *Reducer) announce(n int) {
	for _, m := range r.some(n, r.cfg.Self) {
		r.send(m, message{Kind: news})
	}
}

// datagram takes one in.
func (r *Reducer) datagram(d Datagram) {
	if d.From < 0 || d.From >= r.cfg.TierSize {
		r.figures.UnknownSenders++
		return
	}
	if d.From == r.cfg.Self { // by peers_all
		return
	}
	m, updates, err := decode(d.Data, r.cfg.TierSize, r.cfg.Limits.MaxDatagram)
	if err == nil && r.beyond(m.Incarnation) {
		err = datagram.ErrMalformed
	}
	switch {
	case errors.Is(err, datagram.ErrVersion):
		r.figures.VersionMismatches++
		return
	case errors.Is(err, errTier):
		r.figures.UnknownSenders++
		return
	case err != nil:
		r.figures.Malformed++
		return
	}
	r.figures.Received++
	r.members[d.From].LastReceived = r.now
	r.apply(update{member: d.From, state: m.State, incarnation: m.Incarnation, by: -1}, true)
	for _, u := range updates {
		if r.beyond(u.incarnation) {
			r.figures.Malformed++
			continue
		}
		r.apply(u, m.Kind != part)
	}
	r.answer(d.From, m)
}

// beyond says whether an incarnation is further in the future than clocks differ: taken in, it could never be refuted.
func (r *Reducer) beyond(incarnation uint64) bool {
	return incarnation > uint64((r.now+r.cfg.Limits.MaxSkew)/time.Millisecond)
}

// answer does what a datagram asks for.
func (r *Reducer) answer(from int, m message) {
	target := int(m.Target)
	switch m.Kind {
	case ping:
		r.send(from, message{Kind: ack, Seq: m.Seq, Target: uint16(r.cfg.Self)})
	case pingOn:
		if target == r.cfg.Self || target == from {
			return
		}
		a := relay{Seq: r.number(), Theirs: m.Seq, For: from, Target: target}
		r.relays = append(r.relays, a)
		r.relays = r.relays[max(len(r.relays)-r.cfg.Limits.MaxRelays, 0):]
		r.send(target, message{Kind: ping, Seq: a.Seq})
		r.do(Timer{At: r.now + r.cfg.Limits.Timeout, Token: Token{kind: tokenRelay, seq: a.Seq}})
	case ack:
		r.acked(from, m)
	case nack:
		if p := r.probe; p != nil && p.Seq == m.Seq && slices.Contains(p.Asked, from) && !slices.Contains(p.Nacked, from) {
			p.Nacked = append(p.Nacked, from)
			r.figures.Nacks++
		}
	case sync:
		r.list(from)
	case part:
		r.synced = true
	}
}

// acked takes in that a member answered: to a probe of ours, or to one made for another.
func (r *Reducer) acked(from int, m message) {
	if p := r.probe; p != nil && p.Seq == m.Seq && int(m.Target) == p.Target && (from == p.Target || slices.Contains(p.Asked, from)) {
		if !p.Acked {
			p.Acked = true
			r.figures.Acks++
			r.learn(from)
		}
		return
	}
	for i := range r.relays {
		if a := &r.relays[i]; a.Seq == m.Seq && a.Target == from && !a.Acked {
			a.Acked = true
			t := r.members[from]
			r.send(a.For, message{Kind: ack, Seq: a.Theirs, Target: uint16(from)},
				update{member: from, state: t.State, incarnation: t.Incarnation, by: r.cfg.Self})
			return
		}
	}
}

// learn asks a member that is known to answer for its list, after a start or a doubt, and not again at once.
func (r *Reducer) learn(from int) {
	if wait := uint32(2 * r.cfg.Limits.ReclaimPeriods); r.synced || r.asked > 0 && r.periods < r.asked+wait {
		return
	}
	r.asked = r.periods
	r.send(from, message{Kind: sync})
}

// parts are how many datagrams a list told may take at once. The next one asked for goes on from there.
const parts = 16

// list tells a member all that is held, in parts that are each of use alone.
func (r *Reducer) list(to int) {
	var all []update
	for i := range r.members {
		m := (r.cursor + i) % len(r.members)
		if e := r.members[m]; m != to && m != r.cfg.Self && e.State != Unknown {
			all = append(all, r.held(m))
		}
	}
	for sent := 0; sent == 0 || sent < parts && len(all) > 0; sent++ {
		n := r.post(to, message{Kind: part}, all)
		all = all[n:]
	}
	if len(all) > 0 {
		r.cursor = all[0].member
	}
}

// Members are what is held of all, by number. What is returned is the caller's.
func (r *Reducer) Members() []Member { return slices.Clone(r.members) }

// Counters are the figures of now.
func (r *Reducer) Counters() Counters { return r.figures }

// Health is the local health multiplier: 0 is the best.
func (r *Reducer) Health() int { return r.health }

// View sums up what is held.
func (r *Reducer) View() View {
	v := View{TierSize: r.cfg.TierSize}
	for _, m := range r.members {
		switch m.State {
		case Unknown:
			v.Unknown++
		case Suspect:
			v.Suspects++
		case Dead, Left:
			v.Down++
		case Draining:
			v.Draining++
			v.Available++
		default:
			v.Available++
		}
	}
	return v
}
