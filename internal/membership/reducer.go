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

// Config configures the reducer of one member.
type Config struct {
	Self, TierSize int // index of this member, and number of members of the tier
	Limits         Limits
	Seed           uint64
	DisabledGuards Guard // guards that a test switches off to see a rule violated; no program sets it
}

// Guard is a set of parts of the protocol, as a bit set, that a test can switch off.
type Guard uint8

// The guards, each with the behaviour that it stands for.
const (
	GuardRefute  Guard = 1 << iota // a member refutes false information about itself
	GuardSuspect                   // a failed probe starts a suspicion
)

// guardEnabled reports whether a guard is not switched off.
func (r *Reducer) guardEnabled(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }

// probe is this member's regular probe of the current period.
type probe struct {
	Target         int
	Seq            uint32
	Acked          bool
	Intermediaries []int // members asked to probe on this member's behalf
	Nacked         []int // intermediaries that are alive but got no answer either
}

// relayedProbe is a probe on behalf of another member.
type relayedProbe struct {
	Seq, RequesterSeq uint32 // sequence numbers of this probe and of the request
	Requester, Target int
	Acked, NackSent   bool
}

// suspicion is a running suspicion of a member.
type suspicion struct {
	StartedAt Time
	Observers []int // the first K+1 known members that suspect the member, each by its own observation
}

// queuedUpdate is an update to be sent with the next datagrams.
type queuedUpdate struct {
	update
	Transmissions int
	Seq           uint64 // number of the update: a higher one was queued later
}

// Reducer runs the membership protocol for one member. It is not safe for concurrent use.
type Reducer struct {
	cfg                 Config
	now                 Time
	rng                 *rand.Rand
	effects             []Effect
	members             []Member     // by index; the entry of this member is what it announces of itself
	suspicions          []*suspicion // by index; nil: not suspected
	updateQueue         []queuedUpdate
	lastQueuedUpdateSeq uint64
	healthMultiplier    int // local health multiplier; 0 is the best, higher is worse
	lastProbeSeq        uint32
	probeOrder          []int // members still to be probed in this round, in a random order
	nextPeriodAt        Time
	periodCount         uint32 // number of the period scheduled last
	currentProbe        *probe
	relayedProbes       []relayedProbe
	syncReceived        bool   // a kindSyncPart came since this member's start, last pause and last sign of a healed partition
	lastSyncPeriod      uint32 // period of the last kindSyncRequest; 0: none was sent
	nextSyncIndex       int    // index of the member that the next kindSyncPart begins with
	hasLeft             bool   // this member has announced that it shuts down
	counters            Counters
	maxTransmissions    int // number of times that each update is sent
}

// New returns the reducer of a member and its first effects, or an error if Self, TierSize or a limit is invalid. The
// incarnation of the member is the time in milliseconds since the Unix epoch: a member has no disk, and its earlier
// incarnations must have lower numbers. The first period begins at a random time within one period, so that a tier
// whose members start together does not probe in step.
func New(cfg Config, now Time) (*Reducer, []Effect, error) {
	switch {
	case cfg.TierSize < 1 || cfg.TierSize > math.MaxUint16:
		return nil, nil, fmt.Errorf("tier: %d members, not in [1, %d]", cfg.TierSize, math.MaxUint16)
	case cfg.Self < 0 || cfg.Self >= cfg.TierSize:
		return nil, nil, fmt.Errorf("self: %d, not in [0, %d)", cfg.Self, cfg.TierSize)
	}
	if err := cfg.Limits.Check(); err != nil {
		return nil, nil, err
	}
	r := &Reducer{
		cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d656d62)),
		members: make([]Member, cfg.TierSize), suspicions: make([]*suspicion, cfg.TierSize),
		maxTransmissions: cfg.Limits.RetransmitMult * int(math.Ceil(math.Log10(float64(cfg.TierSize+1)))),
	}
	r.members[cfg.Self] = Member{State: StateAlive, Incarnation: max(uint64(now/time.Millisecond), 1), Since: now}
	r.schedulePeriod(time.Duration(r.rng.Int64N(int64(cfg.Limits.Period))))
	return r, r.takeEffects(), nil
}

// Step handles one event and returns the effects, to be carried out in their order. A time before that of the
// previous Step counts as the time of the previous Step.
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
		r.announceLeave()
	}
	return r.takeEffects()
}

// takeEffects returns the effects collected so far and clears them.
func (r *Reducer) takeEffects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

// emit appends an effect to those that Step returns.
func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// self returns the entry of this member in members.
func (r *Reducer) self() *Member { return &r.members[r.cfg.Self] }

// nextProbeSeq returns the sequence number of a new probe.
func (r *Reducer) nextProbeSeq() uint32 { r.lastProbeSeq++; return r.lastProbeSeq }

// scaleByHealth multiplies a time-out or period by the local health multiplier plus one, because a member in bad health
// has to give other members more time (Lifeguard, LHA-Probe).
func (r *Reducer) scaleByHealth(duration time.Duration) time.Duration {
	return duration * time.Duration(r.healthMultiplier+1)
}

// adjustHealth changes the local health multiplier by delta; a positive delta means worse health.
func (r *Reducer) adjustHealth(delta int) {
	r.healthMultiplier = min(max(r.healthMultiplier+delta, 0), r.cfg.Limits.MaxHealth)
}

// schedulePeriod requests the timer of the next period.
func (r *Reducer) schedulePeriod(delay time.Duration) {
	r.periodCount++
	r.nextPeriodAt = r.now + delay
	r.emit(Timer{At: r.nextPeriodAt, Token: Token{kind: tokenPeriod, seq: r.periodCount}})
}

// handleTimer handles a timer that fired. Outdated timers are ignored.
func (r *Reducer) handleTimer(token Token) {
	switch token.kind {
	case tokenPeriod:
		if token.seq == r.periodCount && !r.hasLeft {
			r.runPeriod()
		}
	case tokenProbeTimeout:
		if p := r.currentProbe; p != nil && p.Seq == token.seq && !p.Acked {
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

// runPeriod concludes the probe of the last period and starts the next one. It also probes suspects again and, every
// ReclaimPeriods periods, a dead member.
func (r *Reducer) runPeriod() {
	if p := r.currentProbe; p != nil {
		r.currentProbe = nil
		r.concludeProbe(p)
	}
	if target, ok := r.nextProbeTarget(); ok {
		r.currentProbe = &probe{Target: target, Seq: r.nextProbeSeq()}
		r.counters.Probes++
		r.send(target, message{Kind: kindPing, Seq: r.currentProbe.Seq})
		r.emit(Timer{At: r.now + r.scaleByHealth(r.cfg.Limits.ProbeTimeout), Token: Token{kind: tokenProbeTimeout, seq: r.currentProbe.Seq}})
	}
	r.reprobeSuspects()
	if r.periodCount%uint32(r.cfg.Limits.ReclaimPeriods) == 0 {
		r.probeDeadMember()
	}
	r.schedulePeriod(r.scaleByHealth(r.cfg.Limits.Period))
}

// nextProbeTarget returns the member to be probed next. Each member is probed once a round, in an order that is shuffled
// again for each round, so that some member detects a failure soon and every member does within two rounds (SWIM 4.3).
// It returns false if all other members are dead or have left.
func (r *Reducer) nextProbeTarget() (int, bool) {
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

// probeIndirectly asks other members to probe the target, as the path from this member to it may be at fault (SWIM
// 3.1). The direct probe is repeated too: under datagram loss the repetition halves the number of probes that fail, at
// the price of one datagram. (memberlist tries TCP at this point; softswitches have no TCP connections to each other.)
func (r *Reducer) probeIndirectly(unanswered *probe) {
	r.send(unanswered.Target, message{Kind: kindPing, Seq: unanswered.Seq})
	unanswered.Intermediaries = r.randomAvailable(r.cfg.Limits.IndirectProbes, unanswered.Target)
	for _, m := range unanswered.Intermediaries {
		r.counters.IndirectProbes++
		r.send(m, message{Kind: kindPingReq, Seq: unanswered.Seq, Target: uint16(unanswered.Target)})
	}
}

// randomAvailable returns up to count randomly chosen available members, without this member and without excluded.
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

// concludeProbe evaluates this member's probe at the end of its period. An answer improves this member's health; without one it
// suspects the target, unless that is down. If the intermediaries did not answer either, or there were none, the fault
// is likely on this member's side, and its health gets worse (Lifeguard, LHA-Probe).
func (r *Reducer) concludeProbe(concluded *probe) {
	if concluded.Acked {
		r.adjustHealth(-1)
		return
	}
	r.counters.FailedProbes++
	if len(concluded.Intermediaries) > 0 {
		r.adjustHealth(len(concluded.Intermediaries) - len(concluded.Nacked))
	} else {
		r.adjustHealth(1)
	}
	if m := &r.members[concluded.Target]; !m.State.Down() && r.guardEnabled(GuardSuspect) {
		r.startSuspicion(concluded.Target, m.Incarnation, r.cfg.Self)
	}
}

// reprobeSuspects probes again, once a period, a few of the members that this member suspects by its own observation.
// The probe carries the suspicion, so that one answer refutes it. If this member already knew of K+1 others that suspect a
// member, it is not recorded as an observer and does not probe that member again.
func (r *Reducer) reprobeSuspects() {
	var suspects []int
	for index, s := range r.suspicions {
		if s != nil && slices.Contains(s.Observers, r.cfg.Self) {
			suspects = append(suspects, index)
		}
	}
	r.rng.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	for _, index := range suspects[:min(len(suspects), maxReprobes)] {
		r.send(index, message{Kind: kindPing, Seq: r.nextProbeSeq()})
	}
}

// maxReprobes is the maximum number of suspects that are probed again in one period.
const maxReprobes = 3

// probeDeadMember probes a random one of the members considered dead: that member may be alive and not know that it was
// declared dead, as after a partition. The probe carries the state that this member holds of it, so that it refutes
// before it answers.
func (r *Reducer) probeDeadMember() {
	var dead []int
	for m := range r.members {
		if r.members[m].State == StateDead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		r.send(dead[r.rng.IntN(len(dead))], message{Kind: kindPing, Seq: r.nextProbeSeq()})
	}
}

// handleStall handles a pause of this process, which shows as a late period timer.
//
// During the pause this member could not receive anything. So the current probe does not count as failed, probes on
// behalf of others are forgotten, the time-out of every suspicion starts again, and the next member that answers
// is asked for the states of all members.
// This member's health gets worse, and the next period begins at once.
//
// Lifeguard detects a pause only when the member
// has to refute a suspicion of itself, after it has already suspected others falsely.
func (r *Reducer) handleStall() {
	r.counters.Stalls++
	r.adjustHealth(1)
	r.currentProbe, r.relayedProbes, r.syncReceived = nil, nil, false
	for index, s := range r.suspicions {
		if s != nil {
			s.StartedAt = r.now
			r.scheduleSuspicionTimer(index)
		}
	}
	r.schedulePeriod(0)
}

// setDraining changes the state of this member to draining or back to alive, with a new incarnation, as other members
// accept the change only with a higher incarnation. After Leave it does nothing.
func (r *Reducer) setDraining(draining bool) {
	self := r.self()
	state := StateAlive
	if draining {
		state = StateDraining
	}
	if r.hasLeft || self.State == state {
		return
	}
	self.State, self.Since = state, r.now
	self.Incarnation++
	r.emit(StateChanged{Member: r.cfg.Self, Old: StateAlive + StateDraining - state, New: state, Incarnation: self.Incarnation})
}

// announceLeave announces to up to maxTransmissions members that this member shuts down in order.
func (r *Reducer) announceLeave() {
	if r.hasLeft {
		return
	}
	r.hasLeft = true
	r.self().State, r.self().Since = StateLeft, r.now
	r.announceSelf(r.maxTransmissions)
}

// announceSelf sends the state of this member at once to up to count available members, which send it on to others.
func (r *Reducer) announceSelf(count int) {
	for _, m := range r.randomAvailable(count, r.cfg.Self) {
		r.send(m, message{Kind: kindUpdates})
	}
}

// handleDatagram handles a received datagram: checks it, merges the sender's state and its updates, and responds.
func (r *Reducer) handleDatagram(received Datagram) {
	if received.From < 0 || received.From >= r.cfg.TierSize {
		r.counters.UnknownSenders++
		return
	}
	if received.From == r.cfg.Self { // its own datagram came back, as from an address that reaches all members
		return
	}
	msg, updates, err := decode(received.Data, r.cfg.TierSize, r.cfg.Limits.MaxDatagramSize)
	if err == nil && r.tooFarAhead(msg.Incarnation) {
		err = datagram.ErrMalformed
	}
	switch {
	case errors.Is(err, datagram.ErrVersion):
		r.counters.VersionMismatches++
		return
	case errors.Is(err, errOtherTierSize):
		r.counters.UnknownSenders++
		return
	case err != nil:
		r.counters.Malformed++
		return
	}
	r.counters.Received++
	r.members[received.From].LastReceived = r.now
	r.mergeUpdate(update{member: received.From, state: msg.State, incarnation: msg.Incarnation, observer: -1}, true)
	for _, u := range updates {
		if r.tooFarAhead(u.incarnation) {
			r.counters.Malformed++
			continue
		}
		r.mergeUpdate(u, msg.Kind != kindSyncPart)
	}
	r.respondTo(received.From, msg)
}

// tooFarAhead reports whether an incarnation is further in the future than clocks may differ. Such an incarnation,
// once accepted, could never be refuted.
func (r *Reducer) tooFarAhead(incarnation uint64) bool {
	return incarnation > uint64((r.now+r.cfg.Limits.MaxSkew)/time.Millisecond)
}

// respondTo does what a received datagram requests.
func (r *Reducer) respondTo(from int, msg message) {
	target := int(msg.Target)
	switch msg.Kind {
	case kindPing:
		r.send(from, message{Kind: kindAck, Seq: msg.Seq, Target: uint16(r.cfg.Self)})
	case kindPingReq:
		if target == r.cfg.Self || target == from {
			return
		}
		relayed := relayedProbe{Seq: r.nextProbeSeq(), RequesterSeq: msg.Seq, Requester: from, Target: target}
		r.relayedProbes = append(r.relayedProbes, relayed)
		r.relayedProbes = r.relayedProbes[max(len(r.relayedProbes)-r.cfg.Limits.MaxRelays, 0):]
		r.send(target, message{Kind: kindPing, Seq: relayed.Seq})
		r.emit(Timer{At: r.now + r.cfg.Limits.ProbeTimeout, Token: Token{kind: tokenRelayTimeout, seq: relayed.Seq}})
	case kindAck:
		r.handleAck(from, msg)
	case kindNack:
		if p := r.currentProbe; p != nil && p.Seq == msg.Seq && slices.Contains(p.Intermediaries, from) && !slices.Contains(p.Nacked, from) {
			p.Nacked = append(p.Nacked, from)
			r.counters.Nacks++
		}
	case kindSyncRequest:
		r.sendSync(from)
	case kindSyncPart:
		r.syncReceived = true
	}
}

// handleAck handles an answer to a probe of this member, or to a probe on behalf of another member.
func (r *Reducer) handleAck(from int, msg message) {
	if p := r.currentProbe; p != nil && p.Seq == msg.Seq && int(msg.Target) == p.Target && (from == p.Target || slices.Contains(p.Intermediaries, from)) {
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

// requestSync asks a member that has just answered a probe for the states of all members, if syncReceived is not set and
// no such request was sent in the last 2·ReclaimPeriods periods.
func (r *Reducer) requestSync(from int) {
	if minPeriods := uint32(2 * r.cfg.Limits.ReclaimPeriods); r.syncReceived || r.lastSyncPeriod > 0 && r.periodCount < r.lastSyncPeriod+minPeriods {
		return
	}
	r.lastSyncPeriod = r.periodCount
	r.send(from, message{Kind: kindSyncRequest})
}

// maxSyncParts is the maximum number of datagrams sent for one kindSyncRequest. The answer to the next request
// continues where the last one stopped.
const maxSyncParts = 16

// sendSync sends the states of all members of which this member knows something to a member, in up to maxSyncParts
// datagrams of which each can be used without the others.
func (r *Reducer) sendSync(to int) {
	var updates []update
	for i := range r.members {
		index := (r.nextSyncIndex + i) % len(r.members)
		if member := r.members[index]; index != to && index != r.cfg.Self && member.State != StateUnknown {
			updates = append(updates, r.updateOfCurrentState(index))
		}
	}
	for sent := 0; sent == 0 || sent < maxSyncParts && len(updates) > 0; sent++ {
		n := r.sendUpdates(to, message{Kind: kindSyncPart}, updates)
		updates = updates[n:]
	}
	if len(updates) > 0 {
		r.nextSyncIndex = updates[0].member
	}
}

// Members returns what this member knows of all members, by index. The caller owns the slice.
func (r *Reducer) Members() []Member { return slices.Clone(r.members) }

// Counters returns the current counters.
func (r *Reducer) Counters() Counters { return r.counters }

// Health returns the local health multiplier; 0 is the best.
func (r *Reducer) Health() int { return r.healthMultiplier }

// View returns a summary of the states of all members.
func (r *Reducer) View() View {
	summary := View{TierSize: r.cfg.TierSize}
	for _, m := range r.members {
		switch m.State {
		case StateUnknown:
			summary.Unknown++
		case StateSuspect:
			summary.Suspects++
		case StateDead, StateLeft:
			summary.Down++
		case StateDraining:
			summary.Draining++
			summary.Available++
		default:
			summary.Available++
		}
	}
	return summary
}
