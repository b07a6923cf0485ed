package maintenance

import (
	"slices"
	"time"
)

// slotRound is one attempt to get the votes of the tier for a slot, or for the renewal of its lease.
type slotRound struct {
	Seq           uint32 // sequence number, repeated in the answers
	Slot          int
	Epoch         uint64
	StartedAt     Time
	LeaseDuration time.Duration // duration of the requested lease
	Voters        []int         // other members that the request is sent to
	Granters      []int         // members that granted the request; this member too, if it did
	Refusers      []int         // members that refused the request and did not grant its repetition; this member too, if it did
}

// slotLease is the lease of a slot that this member holds.
type slotLease struct {
	Slot     int
	Epoch    uint64
	Seq      uint32 // of the round that obtained the lease, or of the last round that renewed it or failed to
	Expiry   Time
	Granters []int // members that granted it in that round, late answers included
}

// releaseNotice is the release of a slot, which is sent several times: a member that misses it would hold the slot
// granted for the rest of the lease.
type releaseNotice struct {
	Slot      int
	Epoch     uint64
	Remaining int // transmissions still to come
}

// unknownHolder is the holder of a slot on which the answers to a query differ or whose holder the sender does not know
// either. The slot is granted to no member until that grant has expired.
const unknownHolder = -2

// expireLease ends a lease that has expired, and returns the request to StageWaiting. Step calls it before it handles the
// event, so that a holder that was paused beyond the expiry no longer relies on the lease when it resumes.
func (r *Reducer) expireLease() {
	if r.heldLease == nil || r.now < r.heldLease.Expiry || !r.guardEnabled(GuardExpiry) {
		return
	}
	r.counters.Expired++
	r.forgetSlot()
	r.restartRequest()
}

// forgetSlot forgets this member's lease and its current round, and stops its drain.
func (r *Reducer) forgetSlot() {
	r.heldLease, r.currentRound, r.drained = nil, nil, false
	if r.guardEnabled(GuardStopDrain) {
		r.emit(Drain{})
	}
}

// advanceOwnRequest requests a slot if it is this member's turn, and ends or restarts a request that an earlier
// incarnation of this member left. The epoch of a new grant is above all epochs known here. Its upper 48 bits are at
// least the time in milliseconds, and its low 16 bits are the index of this member, so that no two members use the
// same epoch.
func (r *Reducer) advanceOwnRequest() {
	record := r.records[r.cfg.Self]
	if !r.recovered || r.heldLease != nil || r.currentRound != nil || r.now < r.earliestRequestAt || record.Stage.Ended() {
		return
	}
	if record.Stage != StageWaiting { // left by this member's earlier incarnation
		if !r.serving {
			return
		}
		r.releaseSlot(int(record.Slot), record.Epoch)
		if record.Stage == StageReady {
			record.Stage = StageDone
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

// isGranted reports whether a slot is granted at present, as far as this member knows.
func (r *Reducer) isGranted(slot int) bool {
	grant := r.grants[slot]
	return grant.Holder != -1 && r.now < grant.Expiry
}

// usableSlots returns how many slots, counted from slot 0, may be granted newly: the budget, minus the slots beyond
// it that are still granted since the budget was higher.
func (r *Reducer) usableSlots() int {
	usable := r.cfg.Limits.Budget
	for slot := r.cfg.Limits.Budget; slot < MaxSlots; slot++ {
		if r.isGranted(slot) {
			usable--
		}
	}
	return max(usable, 0)
}

// startRound starts a round with these voters, or with all members if voters is nil. This member votes at once.
func (r *Reducer) startRound(slot int, epoch uint64, leaseDuration time.Duration, voters []int) {
	r.currentRound = &slotRound{Seq: r.nextRoundSeq(), Slot: slot, Epoch: epoch, StartedAt: r.now, LeaseDuration: leaseDuration}
	r.counters.Rounds++
	for member := range r.cfg.TierSize {
		if member != r.cfg.Self && (voters == nil || slices.Contains(voters, member)) {
			r.currentRound.Voters = append(r.currentRound.Voters, member)
		}
	}
	r.sendSlotRequests()
	r.emit(Timer{At: r.now + r.cfg.Limits.RoundTimeout/2, Token: Token{kind: tokenResend, seq: r.currentRound.Seq}})
	r.emit(Timer{At: r.now + r.cfg.Limits.RoundTimeout, Token: Token{kind: tokenRoundTimeout, seq: r.currentRound.Seq}})
	if granted, _ := r.voteOnRequest(r.cfg.Self, slot, epoch, leaseDuration); granted {
		r.countGrantedVote(r.cfg.Self, r.currentRound.Seq)
	} else {
		r.countRefusedVote(r.cfg.Self, r.currentRound.Seq)
	}
}

// sendSlotRequests sends the request of the current round to the voters that have not granted it yet.
func (r *Reducer) sendSlotRequests() {
	round := r.currentRound
	for _, member := range round.Voters {
		if !slices.Contains(round.Granters, member) {
			r.send(member, message{Kind: kindSlotRequest, Seq: round.Seq, Slot: uint8(round.Slot), Epoch: round.Epoch, LeaseMillis: uint32(round.LeaseDuration / time.Millisecond)})
		}
	}
}

// renewLease starts a round with the members that granted the lease, or with all members if those are no majority. It
// requests Lease, and WorkLease, the longest absence of a machine, once this member is drained.
func (r *Reducer) renewLease() {
	lease := r.heldLease
	voters := lease.Granters
	if len(voters) < r.majoritySize() {
		voters = nil
	}
	duration := r.cfg.Limits.Lease
	if r.drained {
		duration = r.cfg.Limits.WorkLease
	}
	r.startRound(lease.Slot, lease.Epoch, duration, voters)
}

// voteOnRequest returns the vote of this member on a member's request for a slot, and records a grant. A refusal has the items
// of a kindRefusal message: the holder, the remaining time in milliseconds and the highest epoch.
func (r *Reducer) voteOnRequest(requester, slot int, epoch uint64, leaseDuration time.Duration) (granted bool, refusal []int64) {
	grant := &r.grants[slot]
	sameGrant := grant.Holder == requester && epoch == grant.Epoch
	switch {
	case !r.recovered, leaseDuration <= 0 || leaseDuration > r.cfg.Limits.WorkLease:
	case r.isGranted(slot) && sameGrant:
		granted = true
	case r.isGranted(slot) && grant.Holder != requester: // granted to another member; a holder's own request with a new epoch ends its earlier grant
	case epoch <= r.highestEpochs[slot]:
	case !r.isGranted(slot) && slot >= r.usableSlots():
	default:
		granted = true
	}
	if granted {
		expiry := r.now + leaseDuration
		if sameGrant {
			expiry = max(expiry, grant.Expiry)
		}
		*grant = Grant{Holder: requester, Epoch: epoch, Expiry: expiry}
		r.highestEpochs[slot] = max(r.highestEpochs[slot], epoch)
		r.counters.VotesGranted++
		return true, nil
	}
	r.counters.VotesRefused++
	return false, []int64{int64(max(grant.Holder, -1)), int64(max(grant.Expiry-r.now, 0) / time.Millisecond), int64(r.highestEpochs[slot])}
}

// countGrantedVote counts a granted vote. With a majority this member holds the slot; its lease counts from the start of
// the round. A majority that is reached only after that lease would have expired has no effect.
func (r *Reducer) countGrantedVote(from int, seq uint32) {
	if held := r.heldLease; held != nil && held.Seq == seq && !slices.Contains(held.Granters, from) {
		held.Granters = append(held.Granters, from)
	}
	round := r.currentRound
	if round == nil || round.Seq != seq || slices.Contains(round.Granters, from) {
		return
	}
	round.Granters = append(round.Granters, from)
	round.Refusers = slices.DeleteFunc(round.Refusers, func(member int) bool { return member == from })
	expiry := round.StartedAt + r.cfg.Limits.holderLeaseDuration(round.LeaseDuration)
	if len(round.Granters) < r.majoritySize() || r.now >= expiry {
		return
	}
	r.currentRound = nil
	record := r.records[r.cfg.Self]
	if r.heldLease == nil {
		r.counters.Granted++
		r.heldLease = &slotLease{Slot: round.Slot, Epoch: round.Epoch}
		record.Stage, record.Slot, record.Epoch = StageDraining, uint8(round.Slot), round.Epoch
		r.emit(Drain{On: true})
	} else {
		r.counters.Renewed++
		if r.drained && round.LeaseDuration == r.cfg.Limits.WorkLease {
			record.Stage = StageReady
		}
	}
	r.heldLease.Seq, r.heldLease.Expiry, r.heldLease.Granters = seq, max(r.heldLease.Expiry, expiry), round.Granters
	r.emit(Timer{At: round.StartedAt + round.LeaseDuration/3, Token: Token{kind: tokenRenew, seq: seq}})
	r.emit(Timer{At: r.heldLease.Expiry, Token: Token{kind: tokenExpiry}})
	r.setRecord(r.cfg.Self, record)
}

// countRefusedVote counts a member's refused vote once, and ends the round when the refusing members outnumber those that a majority can do
// without.
func (r *Reducer) countRefusedVote(member int, seq uint32) {
	round := r.currentRound
	if round == nil || round.Seq != seq || slices.Contains(round.Refusers, member) {
		return
	}
	round.Refusers = append(round.Refusers, member)
	if len(round.Refusers) > r.cfg.TierSize-r.majoritySize() {
		r.failRound()
	}
}

// failRound ends a round without a majority. In a round for a new slot the grants obtained so far are released, and a slot
// is requested again no earlier than after a random wait of 1 to 3 rounds. The renewal of a lease is tried again half a
// round later, with all members unless late answers have completed a majority.
func (r *Reducer) failRound() {
	round := r.currentRound
	r.currentRound = nil
	if r.heldLease != nil {
		r.heldLease.Granters = nil
		r.heldLease.Seq = round.Seq
		r.emit(Timer{At: r.now + r.cfg.Limits.RoundTimeout/2, Token: Token{kind: tokenRenew, seq: round.Seq}})
		return
	}
	r.releaseSlot(round.Slot, round.Epoch)
	r.earliestRequestAt = r.now + r.cfg.Limits.RoundTimeout + time.Duration(r.rng.Int64N(int64(2*r.cfg.Limits.RoundTimeout)))
}

// releaseSlot announces to all members, now and at the next ticks, that this member no longer holds a slot by the grant
// with this epoch.
func (r *Reducer) releaseSlot(slot int, epoch uint64) {
	r.releaseNotices = append(r.releaseNotices, releaseNotice{slot, epoch, r.cfg.Limits.Transmissions})
	r.sendRelease(slot, epoch)
	r.handleRelease(r.cfg.Self, slot, epoch)
}

// sendRelease sends the release of a slot to all other members.
func (r *Reducer) sendRelease(slot int, epoch uint64) {
	for member := range r.cfg.TierSize {
		if member != r.cfg.Self {
			r.send(member, message{Kind: kindRelease, Slot: uint8(slot), Epoch: epoch})
		}
	}
}

// repeatReleases sends the pending release notices again, and drops finished ones.
func (r *Reducer) repeatReleases() {
	for i := range r.releaseNotices {
		r.releaseNotices[i].Remaining--
		r.sendRelease(r.releaseNotices[i].Slot, r.releaseNotices[i].Epoch)
	}
	r.releaseNotices = slices.DeleteFunc(r.releaseNotices, func(notice releaseNotice) bool { return notice.Remaining <= 0 })
}

// handleRelease ends the grant of a slot that its holder has released, unless the grant has a higher epoch.
func (r *Reducer) handleRelease(from, slot int, epoch uint64) {
	if grant := &r.grants[slot]; grant.Holder == from && grant.Epoch <= epoch {
		grant.Holder = -1
	}
	if from != r.cfg.Self {
		r.refusedUntil[slot] = 0
	}
	r.highestEpochs[slot] = max(r.highestEpochs[slot], epoch)
}
