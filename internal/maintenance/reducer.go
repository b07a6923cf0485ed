package maintenance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"elmseam/internal/datagram"
)

// Config configures the reducer of one member.
type Config struct {
	Self, TierSize int    // index of this member, and number of members of the tier
	Zone           int    // zone of this member; -1: not known
	Name           string // name of this member, shown to operators
	Limits         Limits
	Seed           uint64
	DisabledGuards Guard // guards that a test switches off to see a rule violated; no program sets it
}

// Guard is a set of parts of the protocol, as a bit set, that a test can switch off.
type Guard uint8

// The guards, each with the behaviour that it stands for.
const (
	GuardRecover   Guard = 1 << iota // a member that restarts grants nothing until it knows what it may have granted
	GuardExpiry                      // a holder no longer relies on a lease that has expired
	GuardStopDrain                   // a member that loses its slot stops draining
)

// queryAnswer says of another member whether it has answered a query of this member while both had the same records
// (Received), and whether it had recovered itself by then.
type queryAnswer struct{ Received, Recovered bool }

// Reducer runs the maintenance protocol for one member. It is not safe for concurrent use.
type Reducer struct {
	cfg                    Config
	now                    Time
	startedAt              Time
	rng                    *rand.Rand
	effects                []Effect
	records                []Record // by index of the member
	remainingTransmissions []int    // by index of the member: how often its record is still sent on
	zones                  []int8   // of the members; -1: not known
	names                  []string // of the members
	available              []bool   // by index: the member is available
	serving                bool     // this member accepts calls
	grants                 [MaxSlots]Grant
	highestEpochs          [MaxSlots]uint64 // the highest known epoch that was granted or released, for each slot
	refusedUntil           [MaxSlots]Time   // by slot: until this time the slot counts as granted by other members and is not requested
	recovered              bool             // this member knows what it may have granted before its start, and may grant slots
	queryNonce             uint32           // identifies the queries of this incarnation; answers to queries of an earlier one are ignored
	queryRounds            uint32           // rounds of queries sent
	nextQueried            int              // index of the member queried next
	queryAnswers           []queryAnswer
	currentRound           *slotRound // nil: no round is running
	heldLease              *slotLease // nil: no lease is held
	releaseNotices         []releaseNotice
	earliestRequestAt      Time // no new slot is requested before this time
	drained                bool // this member holds a slot and has no calls left (Drained event)
	lastRoundSeq           uint32
	tickCount              uint32
	nextGossipIndex        int // index of the member whose record is gossiped next
	counters               Counters
}

// New returns the reducer of a member and its first effects, or an error if Self, TierSize or a limit is invalid.
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
		cfg: cfg, now: now, startedAt: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d61696e)),
		records: make([]Record, cfg.TierSize), remainingTransmissions: make([]int, cfg.TierSize), zones: make([]int8, cfg.TierSize), names: make([]string, cfg.TierSize),
		available: make([]bool, cfg.TierSize), queryAnswers: make([]queryAnswer, cfg.TierSize), recovered: cfg.TierSize == 1,
	}
	r.cfg.Name = cutName(cfg.Name)
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
	r.scheduleTick(time.Duration(r.rng.Int64N(int64(cfg.Limits.RoundTimeout))))
	return r, r.takeEffects(), nil
}

// Step handles one event and returns the effects, to be carried out in their order. A time before that of the
// previous Step counts as the time of the previous Step.
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
		if r.heldLease != nil && !r.drained {
			r.drained = true
			r.renewLease()
		}
	case Serving:
		r.serving = ev.Serving
		r.advanceOwnRequest()
	case SetBudget:
		if ev.Budget >= 1 && ev.Budget <= MaxSlots {
			r.cfg.Limits.Budget = ev.Budget
		}
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

// guardEnabled reports whether a guard is not switched off.
func (r *Reducer) guardEnabled(g Guard) bool { return r.cfg.DisabledGuards&g == 0 }

// nextRoundSeq returns the sequence number of a new round.
func (r *Reducer) nextRoundSeq() uint32 { r.lastRoundSeq++; return r.lastRoundSeq }

// majoritySize returns the number of members in a majority of the tier.
func (r *Reducer) majoritySize() int { return r.cfg.TierSize/2 + 1 }

// scheduleTick requests the timer of the next tick (see tokenTick).
func (r *Reducer) scheduleTick(delay time.Duration) {
	r.tickCount++
	r.emit(Timer{At: r.now + delay, Token: Token{kind: tokenTick, seq: r.tickCount}})
}

// handleTimer handles a timer that fired. Outdated timers are ignored. tokenExpiry needs no handling here, as Step has
// called expireLease already.
func (r *Reducer) handleTimer(token Token) {
	switch token.kind {
	case tokenTick:
		if token.seq != r.tickCount {
			return
		}
		if !r.recovered {
			r.continueRecovery()
		}
		r.advanceOwnRequest()
		r.repeatReleases()
		r.gossipRecords()
		r.scheduleTick(r.cfg.Limits.RoundTimeout)
	case tokenResend: // half of the round has passed: requests or answers may be lost
		if r.currentRound != nil && r.currentRound.Seq == token.seq {
			r.sendSlotRequests()
		}
	case tokenRoundTimeout:
		if r.currentRound != nil && r.currentRound.Seq == token.seq {
			r.failRound()
		}
	case tokenRenew:
		if r.heldLease != nil && r.currentRound == nil && r.heldLease.Seq == token.seq {
			r.renewLease()
		}
	}
}

// randomMembers returns up to count randomly chosen other members: available ones, or any if none is known to be
// available.
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

// send sends a message to a member, with the recovery state and the hash of the records of this member filled in.
func (r *Reducer) send(to int, msg message) {
	msg.Recovered, msg.RecordsHash = r.recovered, r.recordsHash()
	data := r.encode(msg)
	r.counters.Sent++
	r.counters.SentBytes += uint64(len(data))
	r.emit(Send{To: to, Data: data})
}

// handleDatagram handles a received datagram: drops and counts an invalid one, and responds to the others by their kind.
func (r *Reducer) handleDatagram(received Datagram) {
	if received.From < 0 || received.From >= r.cfg.TierSize {
		r.counters.UnknownSenders++
		return
	}
	if received.From == r.cfg.Self {
		return
	}
	msg, records, err := r.decode(received.Data)
	switch {
	case errors.Is(err, datagram.ErrVersion):
		r.counters.VersionMismatches++
		return
	case err != nil:
		r.counters.Malformed++
		return
	case int(msg.TierSize) != r.cfg.TierSize:
		r.counters.UnknownSenders++
		return
	}
	r.zones[received.From], r.names[received.From] = msg.Zone, msg.Name
	switch msg.Kind {
	case kindSlotRequest:
		granted, refusal := r.voteOnRequest(received.From, int(msg.Slot), msg.Epoch, time.Duration(msg.LeaseMillis)*time.Millisecond)
		if granted {
			r.send(received.From, message{Kind: kindGrant, Seq: msg.Seq})
		} else {
			r.send(received.From, message{Kind: kindRefusal, Seq: msg.Seq, Slot: msg.Slot, Items: refusal})
		}
	case kindGrant:
		r.countGrantedVote(received.From, msg.Seq)
	case kindRefusal:
		r.highestEpochs[msg.Slot] = max(r.highestEpochs[msg.Slot], uint64(msg.Items[2]))
		if remaining := time.Duration(msg.Items[1]) * time.Millisecond; msg.Items[0] >= 0 && int(msg.Items[0]) != r.cfg.Self && remaining > 0 {
			r.refusedUntil[msg.Slot] = r.now + min(remaining, 4*r.cfg.Limits.RoundTimeout) // capped: the release may be lost
		}
		r.countRefusedVote(received.From, msg.Seq)
	case kindRelease:
		r.handleRelease(received.From, int(msg.Slot), msg.Epoch)
		r.advanceOwnRequest()
	case kindQuery:
		r.answerQuery(received.From, msg)
	case kindState:
		r.handleQueryAnswer(received.From, msg)
	case kindRecords:
		r.mergeRecords(received.From, records)
	}
}

// Status returns the present status. The caller owns its slices.
func (r *Reducer) Status() Status {
	status := Status{Recovered: r.recovered, Budget: r.cfg.Limits.Budget, Slot: -1, Queue: r.Queue(), Counters: r.counters}
	status.Records = append(status.Records, r.records...)
	if r.heldLease != nil {
		status.Slot, status.Epoch, status.Expiry = r.heldLease.Slot, r.heldLease.Epoch, r.heldLease.Expiry
	}
	for slot := range r.grants {
		grant := r.grants[slot]
		if !r.isGranted(slot) {
			grant.Holder = -1
		}
		status.Grants = append(status.Grants, grant)
	}
	return status
}

// Names returns the names of the members by index; a name is empty if the member has not sent it. The slice belongs
// to the reducer.
func (r *Reducer) Names() []string { return r.names }

// HoldsSlot reports whether this member relies on a lease of a slot.
func (r *Reducer) HoldsSlot() bool { return r.heldLease != nil }

// AwaitsDrained reports whether this member holds a slot and waits for the Drained event.
func (r *Reducer) AwaitsDrained() bool { return r.heldLease != nil && !r.drained }
