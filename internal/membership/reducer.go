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

func (r *Reducer) guardEnabled(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }

// probe is the one under way.
type probe struct {
	Target         int
	Seq            uint32
	Acked          bool
	Intermediaries []int // to probe for us
	Nacked         []int // of those: there, but with no answer either
}

// relay is a probe made for another member.
type relayedProbe struct {
	Seq, RequesterSeq uint32
	Requester, Target int
	Acked, NackSent   bool // its end was told
}

// suspicion of a member. By are who suspects it, each by an observation of its own.
type suspicion struct {
	StartedAt Time
	Observers []int
}

// pending is an update that is being passed on.
type queuedUpdate struct {
	update
	Transmissions int
	Seq           uint64
}

// Reducer is one member's part in the protocol. It is not safe for concurrent use.
type Reducer struct {
	cfg              Config
	now              Time
	rng              *rand.Rand
	effects          []Effect
	members          []Member // the own entry is what this member says of itself
	suspicions       []*suspicion
	updateQueue      []queuedUpdate
	lastUpdateSeq    uint64
	health           int // the local health multiplier, 0 the best
	lastSeq          uint32
	probeOrder       []int // still to be probed, in a random order
	nextPeriodAt     Time  // when the next period begins
	periodCount      uint32
	probe            *probe
	relayedProbes    []relayedProbe
	synced           bool // has the list of another since the start, or the last doubt
	lastSyncPeriod   uint32
	syncCursor       int // where the next list told begins
	hasLeft          bool
	counters         Counters
	maxTransmissions int
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
		maxTransmissions: cfg.Limits.Retransmit * int(math.Ceil(math.Log10(float64(cfg.TierSize+1)))),
	}
	r.members[cfg.Self] = Member{State: Alive, Incarnation: max(uint64(now/time.Millisecond), 1), Since: now}
	r.schedulePeriod(time.Duration(r.rng.Int64N(int64(cfg.Limits.Period))))
	return r, r.takeEffects(), nil
}

// Step takes in one event. The effects are to be carried out in their order. A time before that of the last Step counts
// as the last one's.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	if stall := r.cfg.Limits.StallThreshold; stall > 0 && r.now > r.nextPeriodAt+stall && !r.hasLeft {
		r.handleStall()
	}
	switch ev := ev.(type) {
	case Datagram:
		r.handleDatagram(ev)
	case TimerFired:
		r.handleTimer(ev.Token)
	case Drain:
		r.setDraining(ev.On)
	case Leave:
		r.leave()
	}
	return r.takeEffects()
}

func (r *Reducer) takeEffects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Reducer) emit(e Effect)   { r.effects = append(r.effects, e) }
func (r *Reducer) self() *Member   { return &r.members[r.cfg.Self] }
func (r *Reducer) nextSeq() uint32 { r.lastSeq++; return r.lastSeq }

// scaled is a time stretched by the local health multiplier: a member that does badly itself gives others longer
// (Lifeguard, LHA-Probe).
func (r *Reducer) scaleByHealth(d time.Duration) time.Duration { return d * time.Duration(r.health+1) }

// feel moves the local health multiplier: up for the worse.
func (r *Reducer) adjustHealth(delta int) {
	r.health = min(max(r.health+delta, 0), r.cfg.Limits.MaxHealth)
}

// begin asks for the next period.
func (r *Reducer) schedulePeriod(delay time.Duration) {
	r.periodCount++
	r.nextPeriodAt = r.now + delay
	r.emit(Timer{At: r.nextPeriodAt, Token: Token{kind: tokenPeriod, seq: r.periodCount}})
}

func (r *Reducer) handleTimer(token Token) {
	switch token.kind {
	case tokenPeriod:
		if token.seq == r.periodCount && !r.hasLeft {
			r.runPeriod()
		}
	case tokenProbeTimeout:
		if p := r.probe; p != nil && p.Seq == token.seq && !p.Acked {
			r.probeIndirectly(p)
		}
	case tokenSuspicion:
		r.checkSuspicion(token.member)
	case tokenRelayTimeout:
		for i := range r.relayedProbes {
			if relayed := &r.relayedProbes[i]; relayed.Seq == token.seq && !relayed.Acked && !relayed.NackSent {
				relayed.NackSent = true
				r.send(relayed.Requester, message{Kind: kindNack, Seq: relayed.RequesterSeq, Target: uint16(relayed.Target)})
			}
		}
	}
}

// period ends the last probe and begins the next.
func (r *Reducer) runPeriod() {
	if p := r.probe; p != nil {
		r.probe = nil
		r.concludeProbe(p)
	}
	if target, ok := r.nextTarget(); ok {
		r.probe = &probe{Target: target, Seq: r.nextSeq()}
		r.counters.Probes++
		r.send(target, message{Kind: kindPing, Seq: r.probe.Seq})
		r.emit(Timer{At: r.now + r.scaleByHealth(r.cfg.Limits.Timeout), Token: Token{kind: tokenProbeTimeout, seq: r.probe.Seq}})
	}
	r.reprobeSuspects()
	if r.periodCount%uint32(r.cfg.Limits.ReclaimPeriods) == 0 {
		r.probeDead()
	}
	r.schedulePeriod(r.scaleByHealth(r.cfg.Limits.Period))
}

// next is the member to be probed: each once a round, in an order drawn anew for each, so that a failure is seen by
// somebody soon and by each within two rounds (SWIM 4.3).
func (r *Reducer) nextTarget() (int, bool) {
	for range 2 {
		for len(r.probeOrder) > 0 {
			m := r.probeOrder[0]
			r.probeOrder = r.probeOrder[1:]
			if !r.members[m].State.Down() {
				return m, true
			}
		}
		for m := range r.members {
			if m != r.cfg.Self {
				r.probeOrder = append(r.probeOrder, m)
			}
		}
		r.rng.Shuffle(len(r.probeOrder), func(i, j int) { r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i] })
	}
	return 0, false
}

// indirect asks others to probe: the way from here may be at fault (SWIM 3.1). The direct probe goes out once more as
// well: where datagrams are lost, that halves what is held failed, for the price of one (memberlist tries TCP then; there is
// none between softswitches).
func (r *Reducer) probeIndirectly(p *probe) {
	r.send(p.Target, message{Kind: kindPing, Seq: p.Seq})
	p.Intermediaries = r.randomAvailable(r.cfg.Limits.Indirect, p.Target)
	for _, m := range p.Intermediaries {
		r.counters.Indirect++
		r.send(m, message{Kind: kindPingReq, Seq: p.Seq, Target: uint16(p.Target)})
	}
}

// some are so many members that are there, drawn at random, without one of them.
func (r *Reducer) randomAvailable(count, excluded int) []int {
	var candidates []int
	for m := range r.members {
		if m != r.cfg.Self && m != excluded && r.members[m].State.Available() {
			candidates = append(candidates, m)
		}
	}
	r.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}

// judge takes in how a probe ended. Where those that were asked are silent as well, the fault is likely here
// (Lifeguard, LHA-Probe).
func (r *Reducer) concludeProbe(p *probe) {
	if p.Acked {
		r.adjustHealth(-1)
		return
	}
	r.counters.Failed++
	if len(p.Intermediaries) > 0 {
		r.adjustHealth(len(p.Intermediaries) - len(p.Nacked))
	} else {
		r.adjustHealth(1)
	}
	if m := &r.members[p.Target]; !m.State.Down() && r.guardEnabled(GuardSuspect) {
		r.startSuspicion(p.Target, m.Incarnation, r.cfg.Self)
	}
}

// insist probes again, once a period, those whom this member suspects by what it saw itself, a few at a time. Each goes
// with the suspicion, so that one answer refutes it; no more than the first K+1 who suspect a member do so.
func (r *Reducer) reprobeSuspects() {
	var suspects []int
	for index, s := range r.suspicions {
		if s != nil && slices.Contains(s.Observers, r.cfg.Self) {
			suspects = append(suspects, index)
		}
	}
	r.rng.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	for _, index := range suspects[:min(len(suspects), maxReprobes)] {
		r.send(index, message{Kind: kindPing, Seq: r.nextSeq()})
	}
}

// insisted are how many suspects are probed again in a period.
const maxReprobes = 3

// reclaim probes a member that is held dead: it may be there and not know what is said of it, as after a partition.
// What is held of it goes with the probe, so that it refutes before it answers.
func (r *Reducer) probeDead() {
	var dead []int
	for m := range r.members {
		if r.members[m].State == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		r.send(dead[r.rng.IntN(len(dead))], message{Kind: kindPing, Seq: r.nextSeq()})
	}
}

// woke notices that this member itself stood still: its own timer is late. What it waited for meanwhile it could not
// hear, so no probe is held failed for it and every suspicion gets its whole time again, and it asks for the news.
// Lifeguard learns that only by a refutation of its own, when the damage to others is done.
func (r *Reducer) handleStall() {
	r.counters.Stalls++
	r.adjustHealth(1)
	r.probe, r.relayedProbes, r.synced = nil, nil, false
	for index, s := range r.suspicions {
		if s != nil {
			s.StartedAt = r.now
			r.scheduleSuspicionTimer(index)
		}
	}
	r.schedulePeriod(0)
}

// drain tells that this member sends its callers away, or takes them back: news of its own needs a new incarnation.
func (r *Reducer) setDraining(on bool) {
	self := r.self()
	state := Alive
	if on {
		state = Draining
	}
	if r.hasLeft || self.State == state {
		return
	}
	self.State, self.Since = state, r.now
	self.Incarnation++
	r.emit(StateChanged{Member: r.cfg.Self, Old: Alive + Draining - state, New: state, Incarnation: self.Incarnation})
}

// leave tells some members that this one ends in order.
func (r *Reducer) leave() {
	if r.hasLeft {
		return
	}
	r.hasLeft = true
	r.self().State, r.self().Since = Left, r.now
	r.announceSelf(r.maxTransmissions)
}

// announce tells some members at once what this one says of itself; they pass it on.
func (r *Reducer) announceSelf(count int) {
	for _, m := range r.randomAvailable(count, r.cfg.Self) {
		r.send(m, message{Kind: kindUpdates})
	}
}

// datagram takes one in.
func (r *Reducer) handleDatagram(d Datagram) {
	if d.From < 0 || d.From >= r.cfg.TierSize {
		r.counters.UnknownSenders++
		return
	}
	if d.From == r.cfg.Self { // by peers_all
		return
	}
	msg, updates, err := decode(d.Data, r.cfg.TierSize, r.cfg.Limits.MaxDatagram)
	if err == nil && r.tooFarAhead(msg.Incarnation) {
		err = datagram.ErrMalformed
	}
	switch {
	case errors.Is(err, datagram.ErrVersion):
		r.counters.VersionMismatches++
		return
	case errors.Is(err, errOtherTier):
		r.counters.UnknownSenders++
		return
	case err != nil:
		r.counters.Malformed++
		return
	}
	r.counters.Received++
	r.members[d.From].LastReceived = r.now
	r.apply(update{member: d.From, state: msg.State, incarnation: msg.Incarnation, observer: -1}, true)
	for _, u := range updates {
		if r.tooFarAhead(u.incarnation) {
			r.counters.Malformed++
			continue
		}
		r.apply(u, msg.Kind != kindSyncPart)
	}
	r.respond(d.From, msg)
}

// beyond says whether an incarnation is further in the future than clocks differ: taken in, it could never be refuted.
func (r *Reducer) tooFarAhead(incarnation uint64) bool {
	return incarnation > uint64((r.now+r.cfg.Limits.MaxSkew)/time.Millisecond)
}

// answer does what a datagram asks for.
func (r *Reducer) respond(from int, msg message) {
	target := int(msg.Target)
	switch msg.Kind {
	case kindPing:
		r.send(from, message{Kind: kindAck, Seq: msg.Seq, Target: uint16(r.cfg.Self)})
	case kindPingReq:
		if target == r.cfg.Self || target == from {
			return
		}
		relayed := relayedProbe{Seq: r.nextSeq(), RequesterSeq: msg.Seq, Requester: from, Target: target}
		r.relayedProbes = append(r.relayedProbes, relayed)
		r.relayedProbes = r.relayedProbes[max(len(r.relayedProbes)-r.cfg.Limits.MaxRelays, 0):]
		r.send(target, message{Kind: kindPing, Seq: relayed.Seq})
		r.emit(Timer{At: r.now + r.cfg.Limits.Timeout, Token: Token{kind: tokenRelayTimeout, seq: relayed.Seq}})
	case kindAck:
		r.handleAck(from, msg)
	case kindNack:
		if p := r.probe; p != nil && p.Seq == msg.Seq && slices.Contains(p.Intermediaries, from) && !slices.Contains(p.Nacked, from) {
			p.Nacked = append(p.Nacked, from)
			r.counters.Nacks++
		}
	case kindSyncRequest:
		r.sendSync(from)
	case kindSyncPart:
		r.synced = true
	}
}

// acked takes in that a member answered: to a probe of ours, or to one made for another.
func (r *Reducer) handleAck(from int, msg message) {
	if p := r.probe; p != nil && p.Seq == msg.Seq && int(msg.Target) == p.Target && (from == p.Target || slices.Contains(p.Intermediaries, from)) {
		if !p.Acked {
			p.Acked = true
			r.counters.Acks++
			r.requestSync(from)
		}
		return
	}
	for i := range r.relayedProbes {
		if relayed := &r.relayedProbes[i]; relayed.Seq == msg.Seq && relayed.Target == from && !relayed.Acked {
			relayed.Acked = true
			member := r.members[from]
			r.send(relayed.Requester, message{Kind: kindAck, Seq: relayed.RequesterSeq, Target: uint16(from)},
				update{member: from, state: member.State, incarnation: member.Incarnation, observer: r.cfg.Self})
			return
		}
	}
}

// learn asks a member that is known to answer for its list, after a start or a doubt, and not again at once.
func (r *Reducer) requestSync(from int) {
	if minPeriods := uint32(2 * r.cfg.Limits.ReclaimPeriods); r.synced || r.lastSyncPeriod > 0 && r.periodCount < r.lastSyncPeriod+minPeriods {
		return
	}
	r.lastSyncPeriod = r.periodCount
	r.send(from, message{Kind: kindSyncRequest})
}

// parts are how many datagrams a list told may take at once. The next one asked for goes on from there.
const maxSyncParts = 16

// list tells a member all that is held, in parts that are each of use alone.
func (r *Reducer) sendSync(to int) {
	var updates []update
	for i := range r.members {
		index := (r.syncCursor + i) % len(r.members)
		if member := r.members[index]; index != to && index != r.cfg.Self && member.State != Unknown {
			updates = append(updates, r.currentUpdate(index))
		}
	}
	for sent := 0; sent == 0 || sent < maxSyncParts && len(updates) > 0; sent++ {
		n := r.sendUpdates(to, message{Kind: kindSyncPart}, updates)
		updates = updates[n:]
	}
	if len(updates) > 0 {
		r.syncCursor = updates[0].member
	}
}

// Members are what is held of all, by number. What is returned is the caller's.
func (r *Reducer) Members() []Member { return slices.Clone(r.members) }

// Counters are the figures of now.
func (r *Reducer) Counters() Counters { return r.counters }

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
