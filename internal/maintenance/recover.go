package maintenance

import "time"

// Recovery of grants after a restart.
//
// A member that restarts may have granted slots in an earlier incarnation, and does not know them. Until it does, it
// grants none. It waits for two rounds, until every round in which its earlier incarnation may have voted has ended, and
// then queries all other members. It has recovered on the first of these:
//
//   - A majority of the tier that has recovered itself has answered. It knows every lease in force: a majority granted
//     the lease, and two majorities share a member that has not forgotten.
//   - Every other member has answered. Then every holder that relies on a lease has reported it itself.
//   - The longest time that a grant may be in force has passed since the start.
//
// A grant that an answer reports binds the member at once, which is the safe side. The answers may be far apart in time: a
// lease granted after one of them has a majority without this member, and that majority shares with any other majority a
// member that knows the lease.
//
// The member queries only a few members a round, so that a large tier whose members start together causes no storm of
// datagrams, and one a round after the rounds in which every member could have been queried twice.

// continueRecovery sends the next queries to members that have not answered as recovered members. It ends the recovery
// instead when all grants of earlier incarnations have expired. In the first two rounds it does nothing.
func (r *Reducer) continueRecovery() {
	if r.now >= r.startedAt+r.cfg.Limits.maxGrantDuration() {
		r.finishRecovery()
		return
	}
	if r.now < r.startedAt+2*r.cfg.Limits.RoundTimeout {
		return
	}
	r.queryRounds++
	remaining := queriesPerRound
	if int(r.queryRounds)*queriesPerRound > 2*r.cfg.TierSize {
		remaining = 1
	}
	for range r.cfg.TierSize {
		member := r.nextQueried
		r.nextQueried = (r.nextQueried + 1) % r.cfg.TierSize
		if answer := r.queryAnswers[member]; member == r.cfg.Self || answer.Received && answer.Recovered {
			continue
		}
		r.send(member, message{Kind: kindQuery, Seq: r.queryNonce})
		if remaining--; remaining == 0 {
			return
		}
	}
}

// queriesPerRound is the number of members queried in one round.
const queriesPerRound = 8

// finishRecovery lets this member grant slots. A slot that an earlier incarnation of this member held, and that no
// request needs any more, is released.
func (r *Reducer) finishRecovery() {
	r.recovered = true
	for slot, grant := range r.grants {
		if grant.Holder == r.cfg.Self && r.isGranted(slot) && r.records[r.cfg.Self].Stage.Ended() {
			r.releaseSlot(slot, grant.Epoch)
		}
	}
	r.advanceOwnRequest()
}

// answerQuery answers a kindQuery: first with the records, if the sender's records differ, then with the grants that
// this member knows and the lease that it holds.
func (r *Reducer) answerQuery(to int, msg message) {
	if msg.RecordsHash != r.recordsHash() {
		var members []int
		for member, record := range r.records {
			if record.Stage != StageNone {
				members = append(members, member)
			}
		}
		for count := 0; len(members) > 0; members = members[count:] {
			count = max(r.sendRecords(to, members), 1)
		}
	}
	var items []int64
	for slot, grant := range r.grants {
		holder, remaining := -1, time.Duration(0)
		if r.isGranted(slot) {
			holder, remaining = grant.Holder, grant.Expiry-r.now
		}
		if r.heldLease != nil && r.heldLease.Slot == slot {
			holder, remaining = r.cfg.Self, max(r.heldLease.Expiry-r.now, remaining)
		}
		if holder != -1 || r.highestEpochs[slot] > 0 {
			items = append(items, int64(slot), int64(max(holder, -1)), int64(remaining/time.Millisecond), int64(r.highestEpochs[slot]))
		}
	}
	r.send(to, message{Kind: kindState, Seq: msg.Seq, Items: items})
}

// handleQueryAnswer merges the grants of an answer, and ends the recovery when enough members have answered. The answer
// counts towards the recovery only if the sender's records equal those of this member. Answers to queries of an earlier
// incarnation, and all answers after the recovery, are ignored.
func (r *Reducer) handleQueryAnswer(from int, msg message) {
	if r.recovered || msg.Seq != r.queryNonce {
		return
	}
	for items := msg.Items; len(items) > 0; items = items[itemsPerGrant:] {
		slot, remaining := items[0], time.Duration(items[2])*time.Millisecond
		r.highestEpochs[slot] = max(r.highestEpochs[slot], uint64(items[3]))
		if remaining <= 0 {
			continue
		}
		expiry := r.now + time.Duration(float64(remaining)*(1+2*r.cfg.Limits.MaxDrift)) + r.cfg.Limits.RoundTimeout
		grant := &r.grants[slot]
		switch {
		case !r.isGranted(int(slot)):
			*grant = Grant{Holder: int(items[1]), Epoch: uint64(items[3]), Expiry: expiry}
			if items[1] < 0 {
				grant.Holder = unknownHolder
			}
		case grant.Holder == int(items[1]):
			grant.Epoch, grant.Expiry = max(grant.Epoch, uint64(items[3])), max(grant.Expiry, expiry)
		default:
			grant.Holder, grant.Expiry = unknownHolder, max(grant.Expiry, expiry)
		}
	}
	if msg.RecordsHash == r.recordsHash() {
		r.queryAnswers[from] = queryAnswer{true, msg.Recovered || r.queryAnswers[from].Recovered}
	}
	received, recovered := 0, 0
	for _, a := range r.queryAnswers {
		if a.Received {
			received++
		}
		if a.Recovered {
			recovered++
		}
	}
	if recovered >= r.majoritySize() || received == r.cfg.TierSize-1 {
		r.finishRecovery()
	}
}
