package maintenance

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
)

// Config is what a member is told.
type Config struct {
	Self, TierSize int    // the own number, and how many members there are
	Zone           int    // the own zone; -1: none is told
	Name           string // the own name, as operators know it
	Limits         Limits
	Seed           uint64
	DisabledGuards Guard // taken out, for checks that have to see a rule broken; no program sets it
}

// Guard names a part of the protocol that a check can take out.
type Guard uint8

// The guards.
const (
	GuardRecover   Guard = 1 << iota // who starts anew grants nothing until it knows what it may have granted
	GuardExpiry                      // a holder stops believing in a lease that has run out
	GuardStopDrain                   // who loses its slot takes its callers back
)

// round is one of asking the tier for a slot, or to go on granting it.
type round struct {
	Seq       uint32
	Slot      int
	Epoch     uint64
	StartedAt Time
	Lease     time.Duration
	Voters    []int // who is asked
	Granters  []int
	Refusals  int
}

// lease is the one held.
type lease struct {
	Slot     int
	Epoch    uint64
	Seq      uint32 // of the round that brought it last
	Expiry   Time
	Granters []int // who grants it
}

// giving is a slot given back, told again a few times: who misses it would hold the slot granted for as long as the
// lease lasts.
type releaseNotice struct {
	Slot      int
	Epoch     uint64
	Remaining int // times
}

// answer is what a member has answered to queries, after a start, when its records and ours were the same.
type queryAnswer struct{ Received, Recovered bool }

// Reducer is one member's part. It is not safe for concurrent use.
type Reducer struct {
	cfg                    Config
	now                    Time
	startedAt              Time
	rng                    *rand.Rand
	effects                []Effect
	records                []Record
	remainingTransmissions []int // times that a record is still to be passed on
	zones                  []int8
	names                  []string
	available              []bool
	serving                bool
	grants                 [Slots]Grant
	highestEpochs          [Slots]uint64 // the highest epoch granted or given back
	refusedUntil           [Slots]Time   // till then others are held to have granted the slot: it is not asked for
	recovered              bool
	queryNonce             uint32 // of this life's queries: what answers an earlier one's is passed over
	queryRounds            uint32 // rounds of them
	nextQueried            int    // who is asked next
	answers                []queryAnswer
	round                  *round
	lease                  *lease
	releaseNotices         []releaseNotice
	retryAt                Time
	drained                bool
	lastSeq                uint32
	tickCount              uint32
	gossipCursor           int // whose record goes next
	counters               Counters
}

// somebody holds a slot of which answers to a query differ: nobody gets it until it has run out.
const unknownHolder = -2

// New begins a member's part.
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
		cfg: cfg, now: now, startedAt: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d61696e)),
		records: make([]Record, cfg.TierSize), remainingTransmissions: make([]int, cfg.TierSize), zones: make([]int8, cfg.TierSize), names: make([]string, cfg.TierSize),
		available: make([]bool, cfg.TierSize), answers: make([]queryAnswer, cfg.TierSize), recovered: cfg.TierSize == 1,
	}
	r.cfg.Name = cfg.Name[:min(len(cfg.Name), maxNameLength)]
	r.names[cfg.Self] = r.cfg.Name
	for m := range r.zones {
		r.zones[m] = -1
	}
	r.zones[cfg.Self], r.available[cfg.Self] = int8(cfg.Zone), true
	for s := range r.grants {
		r.grants[s].Holder = -1
	}
	r.queryNonce = r.rng.Uint32()
	r.recovered = r.recovered || !r.guardEnabled(GuardRecover)
	r.scheduleTick(time.Duration(r.rng.Int64N(int64(cfg.Limits.Round))))
	return r, r.takeEffects(), nil
}

// Step takes in one event. The effects are to be carried out in their order. A time before that of the last Step counts
// as the last one's.
func (r *Reducer) Step(now Time, ev Event) []Effect {
	r.now = max(now, r.now)
	r.expireLease()
	switch ev := ev.(type) {
	case Datagram:
		r.handleDatagram(ev)
	case TimerFired:
		r.handleTimer(ev.Token)
	case Request:
		r.handleRequest(ev.Members)
	case Cancel:
		r.handleCancel(ev.Members)
	case MemberAvailability:
		if ev.Member >= 0 && ev.Member < r.cfg.TierSize && ev.Member != r.cfg.Self {
			r.available[ev.Member] = ev.Available
		}
	case Drained:
		if r.lease != nil && !r.drained {
			r.drained = true
			r.renewLease()
		}
	case Serving:
		r.serving = ev.Serving
		r.advanceOwnRequest()
	case SetBudget:
		if ev.Budget >= 1 && ev.Budget <= Slots {
			r.cfg.Limits.Budget = ev.Budget
		}
	}
	return r.takeEffects()
}

func (r *Reducer) takeEffects() []Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Reducer) emit(e Effect)             { r.effects = append(r.effects, e) }
func (r *Reducer) guardEnabled(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }
func (r *Reducer) nextSeq() uint32           { r.lastSeq++; return r.lastSeq }
func (r *Reducer) quorum() int               { return r.cfg.TierSize/2 + 1 }

// next asks for the next look.
func (r *Reducer) scheduleTick(delay time.Duration) {
	r.tickCount++
	r.emit(Timer{At: r.now + delay, Token: Token{kind: tokenTick, seq: r.tickCount}})
}

func (r *Reducer) handleTimer(token Token) {
	switch token.kind {
	case tokenTick:
		if token.seq != r.tickCount {
			return
		}
		if !r.recovered {
			r.recoverGrants()
		}
		r.advanceOwnRequest()
		r.repeatReleases()
		r.gossip()
		r.scheduleTick(r.cfg.Limits.Round)
	case tokenResend: // the half of its time is over: what was lost goes out once more
		if r.round != nil && r.round.Seq == token.seq {
			r.sendSlotRequests()
		}
	case tokenRoundTimeout:
		if r.round != nil && r.round.Seq == token.seq {
			r.failRound()
		}
	case tokenRenew:
		if r.lease != nil && r.round == nil && r.lease.Seq == token.seq {
			r.renewLease()
		}
	}
}

// fence ends a lease that has run out, before anything else: a holder that stood still past it does not believe that it
// holds it when it wakes.
func (r *Reducer) expireLease() {
	if r.lease == nil || r.now < r.lease.Expiry || !r.guardEnabled(GuardExpiry) {
		return
	}
	r.counters.Expired++
	r.dropSlot()
	r.restartRequest()
}

// giveUp is left without a slot, and takes its callers back.
func (r *Reducer) dropSlot() {
	r.lease, r.round, r.drained = nil, nil, false
	if r.guardEnabled(GuardStopDrain) {
		r.emit(Drain{})
	}
}

// again has the own request begin again.
func (r *Reducer) restartRequest() {
	record := r.records[r.cfg.Self]
	if record.Stage.Ended() {
		return
	}
	record.Restarts++
	record.Stage = Waiting
	r.setRecord(r.cfg.Self, record)
}

// request takes in what an operator asks for. Of a member that is asked for already nothing changes.
func (r *Reducer) handleRequest(members []int) {
	if !r.recovered {
		return
	}
	for _, m := range members {
		if m < 0 || m >= r.cfg.TierSize || !r.records[m].Stage.Ended() {
			continue
		}
		r.setRecord(m, Record{Generation: r.records[m].Generation + 1, RequestedAt: uint64(r.now / time.Millisecond), Stage: Waiting})
	}
	r.advanceOwnRequest()
}

// cancel withdraws requests; of a member that is ready for work it says that the work is done.
func (r *Reducer) handleCancel(members []int) {
	for _, m := range members {
		if m < 0 || m >= r.cfg.TierSize || r.records[m].Stage.Ended() {
			continue
		}
		record := r.records[m]
		if record.Stage == Ready {
			record.Stage = Done
		} else {
			record.Stage = Withdrawn
		}
		r.setRecord(m, record)
	}
}

// set takes a record over, tells of it, and passes it on, at once to a few. The own request's end gives the slot back.
func (r *Reducer) setRecord(member int, record Record) {
	if r.records[member] == record {
		return
	}
	r.records[member] = record
	r.remainingTransmissions[member] = r.cfg.Limits.Transmissions
	r.emit(RequestChanged{member, record})
	for _, to := range r.randomMembers(3) {
		r.sendRecords(to, []int{member})
	}
	if member == r.cfg.Self && record.Stage.Ended() {
		if r.lease != nil {
			r.releaseSlot(r.lease.Slot, r.lease.Epoch)
			r.dropSlot()
		} else if r.round != nil {
			r.failRound()
		}
	}
}

// Queue are the members that wait, in their order: as they were asked for, and of those asked for at once such that zones
// take turns. All that have the same records have the same order.
func (r *Reducer) Queue() []int {
	var waiting []int
	outPerZone := make(map[int8]int)
	for m, record := range r.records {
		switch record.Stage {
		case Waiting:
			waiting = append(waiting, m)
		case Draining, Ready:
			outPerZone[r.zones[m]]++
		}
	}
	slices.SortStableFunc(waiting, func(a, b int) int {
		return int(int64(r.records[a].RequestedAt) - int64(r.records[b].RequestedAt))
	})
	var queue []int
	for len(waiting) > 0 {
		best := 0
		for i, m := range waiting {
			if r.records[m].RequestedAt != r.records[waiting[0]].RequestedAt {
				break
			}
			if outPerZone[r.zones[m]] < outPerZone[r.zones[waiting[best]]] {
				best = i
			}
		}
		m := waiting[best]
		waiting = slices.Delete(waiting, best, best+1)
		outPerZone[r.zones[m]]++
		queue = append(queue, m)
	}
	return queue
}

// consider looks whether the own turn has come, or the own work is over.
func (r *Reducer) advanceOwnRequest() {
	record := r.records[r.cfg.Self]
	if !r.recovered || r.lease != nil || r.round != nil || r.now < r.retryAt || record.Stage.Ended() {
		return
	}
	if record.Stage != Waiting { // of an earlier life
		if !r.serving {
			return
		}
		r.releaseSlot(int(record.Slot), record.Epoch)
		if record.Stage == Ready {
			record.Stage = Done
			r.setRecord(r.cfg.Self, record)
			return
		}
		r.restartRequest()
	}
	ahead := 0
	for _, m := range r.Queue() {
		if m == r.cfg.Self {
			break
		}
		if r.available[m] {
			ahead++
		}
	}
	for slot := range r.usableSlots() {
		if r.isGranted(slot) || r.now < r.refusedUntil[slot] {
			continue
		}
		if ahead == 0 {
			r.drained = false
			r.startRound(slot, max(slices.Max(r.highestEpochs[:]), uint64(r.now/time.Millisecond)<<16)&^0xffff+1<<16|uint64(r.cfg.Self), r.cfg.Limits.Lease, nil)
			return
		}
		ahead--
	}
}

// live says whether a slot is granted to somebody now, for all that this member knows.
func (r *Reducer) isGranted(slot int) bool {
	grant := r.grants[slot]
	return grant.Holder != -1 && r.now < grant.Expiry
}

// usable are the slots, from the first, that may be granted anew: B of them, less those that a greater B let out.
func (r *Reducer) usableSlots() int {
	usable := r.cfg.Limits.Budget
	for slot := r.cfg.Limits.Budget; slot < Slots; slot++ {
		if r.isGranted(slot) {
			usable--
		}
	}
	return max(usable, 0)
}

// ask begins a round: with these members, or with all.
func (r *Reducer) startRound(slot int, epoch uint64, lease time.Duration, voters []int) {
	r.round = &round{Seq: r.nextSeq(), Slot: slot, Epoch: epoch, StartedAt: r.now, Lease: lease}
	r.counters.Rounds++
	for member := range r.cfg.TierSize {
		if member != r.cfg.Self && (voters == nil || slices.Contains(voters, member)) {
			r.round.Voters = append(r.round.Voters, member)
		}
	}
	r.sendSlotRequests()
	r.emit(Timer{At: r.now + r.cfg.Limits.Round/2, Token: Token{kind: tokenResend, seq: r.round.Seq}})
	r.emit(Timer{At: r.now + r.cfg.Limits.Round, Token: Token{kind: tokenRoundTimeout, seq: r.round.Seq}})
	if granted, _ := r.vote(r.cfg.Self, slot, epoch, lease); granted {
		r.countGrant(r.cfg.Self, r.round.Seq)
	} else {
		r.countRefusal(r.round.Seq)
	}
}

// askThem asks those who have not said yes yet.
func (r *Reducer) sendSlotRequests() {
	round := r.round
	for _, member := range round.Voters {
		if !slices.Contains(round.Granters, member) {
			r.send(member, message{Kind: kindSlotRequest, Seq: round.Seq, Slot: uint8(round.Slot), Epoch: round.Epoch, Lease: uint32(round.Lease / time.Millisecond)})
		}
	}
}

// renew asks those who grant the lease to go on; for as long as a machine may be away, once this member is drained.
// Where they have not all answered the last time, it asks all.
func (r *Reducer) renewLease() {
	lease := r.lease
	voters := lease.Granters
	if len(voters) < r.quorum() {
		voters = nil
	}
	duration := r.cfg.Limits.Lease
	if r.drained {
		duration = r.cfg.Limits.WorkLease
	}
	r.startRound(lease.Slot, lease.Epoch, duration, voters)
}

// vote is this member's answer, as one of the tier, to who asks for a slot. Items say why not.
func (r *Reducer) vote(from, slot int, epoch uint64, lease time.Duration) (granted bool, refusal []int64) {
	grant := &r.grants[slot]
	sameGrant := grant.Holder == from && epoch == grant.Epoch
	switch {
	case !r.recovered, lease <= 0 || lease > r.cfg.Limits.WorkLease:
	case r.isGranted(slot) && sameGrant:
		granted = true
	case r.isGranted(slot) && grant.Holder != from: // its earlier life, or lease, is over by its own word
	case epoch <= r.highestEpochs[slot]:
	case !r.isGranted(slot) && slot >= r.usableSlots():
	default:
		granted = true
	}
	if granted {
		expiry := r.now + lease
		if sameGrant {
			expiry = max(expiry, grant.Expiry)
		}
		*grant = Grant{Holder: from, Epoch: epoch, Expiry: expiry}
		r.highestEpochs[slot] = max(r.highestEpochs[slot], epoch)
		r.counters.VotesGranted++
		return true, nil
	}
	r.counters.VotesRefused++
	return false, []int64{int64(max(grant.Holder, -1)), int64(max(grant.Expiry-r.now, 0) / time.Millisecond), int64(r.highestEpochs[slot])}
}

// granted counts a yes; at a majority the slot is held, from when it was first asked for.
func (r *Reducer) countGrant(from int, seq uint32) {
	if held := r.lease; held != nil && held.Seq == seq && !slices.Contains(held.Granters, from) {
		held.Granters = append(held.Granters, from)
	}
	round := r.round
	if round == nil || round.Seq != seq || slices.Contains(round.Granters, from) {
		return
	}
	round.Granters = append(round.Granters, from)
	expiry := round.StartedAt + r.cfg.Limits.safeDuration(round.Lease)
	if len(round.Granters) < r.quorum() || r.now >= expiry {
		return
	}
	r.round = nil
	record := r.records[r.cfg.Self]
	if r.lease == nil {
		r.counters.Granted++
		r.lease = &lease{Slot: round.Slot, Epoch: round.Epoch}
		record.Stage, record.Slot, record.Epoch = Draining, uint8(round.Slot), round.Epoch
		r.emit(Drain{On: true})
	} else {
		r.counters.Renewed++
		if r.drained && round.Lease == r.cfg.Limits.WorkLease {
			record.Stage = Ready
		}
	}
	r.lease.Seq, r.lease.Expiry, r.lease.Granters = seq, max(r.lease.Expiry, expiry), round.Granters
	r.emit(Timer{At: round.StartedAt + round.Lease/3, Token: Token{kind: tokenRenew, seq: seq}})
	r.emit(Timer{At: r.lease.Expiry, Token: Token{kind: tokenExpiry}})
	r.setRecord(r.cfg.Self, record)
}

// refused counts a no.
func (r *Reducer) countRefusal(seq uint32) {
	if round := r.round; round != nil && round.Seq == seq {
		if round.Refusals++; round.Refusals > r.cfg.TierSize-r.quorum() {
			r.failRound()
		}
	}
}

// lose ends a round without a majority. For a new slot it takes back what it got, and tries again in a while; for the one
// that it holds it asks all, soon.
func (r *Reducer) failRound() {
	round := r.round
	r.round = nil
	if r.lease != nil {
		r.lease.Granters = nil
		r.lease.Seq = round.Seq
		r.emit(Timer{At: r.now + r.cfg.Limits.Round/2, Token: Token{kind: tokenRenew, seq: round.Seq}})
		return
	}
	r.releaseSlot(round.Slot, round.Epoch)
	r.retryAt = r.now + r.cfg.Limits.Round + time.Duration(r.rng.Int64N(int64(2*r.cfg.Limits.Round)))
}

// release tells all that this member holds a slot no more by this epoch, now and a few times more.
func (r *Reducer) releaseSlot(slot int, epoch uint64) {
	r.releaseNotices = append(r.releaseNotices, releaseNotice{slot, epoch, r.cfg.Limits.Transmissions})
	r.sendRelease(slot, epoch)
	r.handleRelease(r.cfg.Self, slot, epoch)
}

func (r *Reducer) sendRelease(slot int, epoch uint64) {
	for member := range r.cfg.TierSize {
		if member != r.cfg.Self {
			r.send(member, message{Kind: kindRelease, Slot: uint8(slot), Epoch: epoch})
		}
	}
}

// remind tells again what was given back.
func (r *Reducer) repeatReleases() {
	for i := range r.releaseNotices {
		r.releaseNotices[i].Remaining--
		r.sendRelease(r.releaseNotices[i].Slot, r.releaseNotices[i].Epoch)
	}
	r.releaseNotices = slices.DeleteFunc(r.releaseNotices, func(g releaseNotice) bool { return g.Remaining <= 0 })
}

func (r *Reducer) handleRelease(from, slot int, epoch uint64) {
	if g := &r.grants[slot]; g.Holder == from && g.Epoch <= epoch {
		g.Holder = -1
	}
	if from != r.cfg.Self {
		r.refusedUntil[slot] = 0
	}
	r.highestEpochs[slot] = max(r.highestEpochs[slot], epoch)
}

// some are so many other members, drawn at random: those that are there, or any if none is known to be.
func (r *Reducer) randomMembers(count int) []int {
	var candidates, all []int
	for member, available := range r.available {
		if member == r.cfg.Self {
			continue
		}
		if all = append(all, member); available {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		candidates = all
	}
	r.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}

// gossip passes news on to one member, and requests that are not over as long as there are any. When all is over and
// told, it is silent.
func (r *Reducer) gossip() {
	var members []int
	for i := range r.records {
		member := (r.gossipCursor + i) % len(r.records)
		if r.remainingTransmissions[member] > 0 || !r.records[member].Stage.Ended() {
			members = append(members, member)
		}
	}
	for _, to := range r.randomMembers(1) {
		count := r.sendRecords(to, members)
		for _, member := range members[:count] {
			r.remainingTransmissions[member] = max(r.remainingTransmissions[member]-1, 0)
		}
		if count < len(members) {
			r.gossipCursor = members[count]
		}
	}
}

// sendRecords sends as many of these members' records as fit, and says how many did.
func (r *Reducer) sendRecords(to int, members []int) (count int) {
	msg := message{Kind: kindRecords, Seq: math.MaxUint32, RecordsHash: math.MaxUint32, Lease: math.MaxUint32, Epoch: 0}
	msg.Tier, msg.Zone, msg.Name = uint16(r.cfg.TierSize), int8(r.cfg.Zone), r.cfg.Name
	remaining := datagram.MaxSize - datagram.Overhead - datagram.Size(msg) - 2
	for _, member := range members {
		items := recordItems(member, r.records[member])
		for _, item := range items {
			remaining -= datagram.IntSize(item)
		}
		if remaining < 0 {
			break
		}
		if r.records[member].Stage != None {
			msg.Items = append(msg.Items, items...)
		}
		count++
	}
	if len(msg.Items) > 0 {
		r.send(to, message{Kind: kindRecords, Items: msg.Items})
	}
	return count
}

func (r *Reducer) send(to int, msg message) {
	msg.Recovered, msg.RecordsHash = r.recovered, r.recordsHash()
	data := r.encode(msg)
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: to, Data: data})
}

// sum tells sets of records apart.
func (r *Reducer) recordsHash() uint32 {
	var b []byte
	for m, record := range r.records {
		if record.Stage != None {
			for _, item := range recordItems(m, record) {
				b = binary.BigEndian.AppendUint64(b, uint64(item))
			}
		}
	}
	return uint32(xxh3.Hash(b))
}

// datagram takes one in.
func (r *Reducer) handleDatagram(d Datagram) {
	if d.From < 0 || d.From >= r.cfg.TierSize {
		r.counters.UnknownSenders++
		return
	}
	if d.From == r.cfg.Self {
		return
	}
	msg, records, err := r.decode(d.Data)
	switch {
	case errors.Is(err, datagram.ErrVersion):
		r.counters.VersionMismatches++
		return
	case err != nil:
		r.counters.Malformed++
		return
	case int(msg.Tier) != r.cfg.TierSize:
		r.counters.UnknownSenders++
		return
	}
	r.zones[d.From], r.names[d.From] = msg.Zone, msg.Name
	switch msg.Kind {
	case kindSlotRequest:
		granted, refusal := r.vote(d.From, int(msg.Slot), msg.Epoch, time.Duration(msg.Lease)*time.Millisecond)
		if granted {
			r.send(d.From, message{Kind: kindGrant, Seq: msg.Seq})
		} else {
			r.send(d.From, message{Kind: kindRefusal, Seq: msg.Seq, Slot: msg.Slot, Items: refusal})
		}
	case kindGrant:
		r.countGrant(d.From, msg.Seq)
	case kindRefusal:
		r.highestEpochs[msg.Slot] = max(r.highestEpochs[msg.Slot], uint64(msg.Items[2]))
		if remaining := time.Duration(msg.Items[1]) * time.Millisecond; msg.Items[0] >= 0 && int(msg.Items[0]) != r.cfg.Self && remaining > 0 {
			r.refusedUntil[msg.Slot] = r.now + min(remaining, 4*r.cfg.Limits.Round) // a word of its end may be lost
		}
		r.countRefusal(msg.Seq)
	case kindRelease:
		r.handleRelease(d.From, int(msg.Slot), msg.Epoch)
		r.advanceOwnRequest()
	case kindQuery:
		r.answerQuery(d.From, msg)
	case kindState:
		r.handleQueryAnswer(d.From, msg)
	case kindRecords:
		r.mergeRecords(d.From, records)
	}
}

// hear merges records, and tells the sender of those of which it knows less.
func (r *Reducer) mergeRecords(from int, records map[int]Record) {
	var newer []int
	for member := range r.records {
		theirs, included := records[member]
		if !included {
			continue
		}
		merged := Merge(r.records[member], theirs)
		r.setRecord(member, merged)
		if merged != theirs {
			newer = append(newer, member)
		}
	}
	if len(newer) > 0 {
		r.sendRecords(from, newer)
	}
	r.advanceOwnRequest()
}
