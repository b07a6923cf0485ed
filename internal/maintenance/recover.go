package maintenance

import "time"

// A member that starts anew may have granted slots in its life before, and does not know. Until it does it grants none:
//
//   - it waits until every round that its earlier life may have said yes in is over (two rounds), then asks all;
//   - a majority of the tier that is settled itself knows of every lease that is held: a majority granted it, and two
//     majorities meet in a member that has not forgotten;
//   - or every other member answers: then any holder that believes in a lease has told of it itself;
//   - or all that may ever have been granted has run out.
//
// The first of these settles it. What it hears on the way binds it at once, as that is the careful side. Answers count
// however far apart they came: a lease granted after one has a majority without this member, which meets any other majority
// in one that knows.
//
// It asks a few a round, so that a great tier that starts at once causes no storm, and after it has asked all, one.

// recover asks all what they have granted.
func (r *Reducer) recoverGrants() {
	if r.now >= r.startedAt+r.cfg.Limits.maxGrantDuration() {
		r.finishRecovery()
		return
	}
	if r.now < r.startedAt+2*r.cfg.Limits.Round {
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
		if answer := r.answers[member]; member == r.cfg.Self || answer.Received && answer.Recovered {
			continue
		}
		r.send(member, message{Kind: kindQuery, Seq: r.queryNonce})
		if remaining--; remaining == 0 {
			return
		}
	}
}

// askedAtOnce are how many members are asked in a round.
const queriesPerRound = 8

// settle begins to grant. What an earlier life held and had no more use for is given back.
func (r *Reducer) finishRecovery() {
	r.recovered = true
	for slot, g := range r.grants {
		if g.Holder == r.cfg.Self && r.isGranted(slot) && r.records[r.cfg.Self].Stage.Ended() {
			r.releaseSlot(slot, g.Epoch)
		}
	}
	r.advanceOwnRequest()
}

// tell answers a query: with the records, if the asker's are others, then with what is granted and held here.
func (r *Reducer) answerQuery(to int, msg message) {
	if msg.RecordsHash != r.recordsHash() {
		var members []int
		for member, record := range r.records {
			if record.Stage != None {
				members = append(members, member)
			}
		}
		for count := 0; len(members) > 0; members = members[count:] {
			count = max(r.sendRecords(to, members), 1)
		}
	}
	var items []int64
	for slot, g := range r.grants {
		holder, remaining := -1, time.Duration(0)
		if r.isGranted(slot) {
			holder, remaining = g.Holder, g.Expiry-r.now
		}
		if r.lease != nil && r.lease.Slot == slot {
			holder, remaining = r.cfg.Self, max(r.lease.Expiry-r.now, remaining)
		}
		if holder != -1 || r.highestEpochs[slot] > 0 {
			items = append(items, int64(slot), int64(max(holder, -1)), int64(remaining/time.Millisecond), int64(r.highestEpochs[slot]))
		}
	}
	r.send(to, message{Kind: kindState, Seq: msg.Seq, Items: items})
}

// answered takes in an answer.
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
		expiry := r.now + time.Duration(float64(remaining)*(1+2*r.cfg.Limits.MaxDrift)) + r.cfg.Limits.Round
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
		r.answers[from] = queryAnswer{true, msg.Recovered || r.answers[from].Recovered}
	}
	received, recovered := 0, 0
	for _, a := range r.answers {
		if a.Received {
			received++
		}
		if a.Recovered {
			recovered++
		}
	}
	if recovered >= r.quorum() || received == r.cfg.TierSize-1 {
		r.finishRecovery()
	}
}

// Status is what operators are shown. What it holds is the caller's.
func (r *Reducer) Status() Status {
	status := Status{Recovered: r.recovered, Budget: r.cfg.Limits.Budget, Slot: -1, Queue: r.Queue(), Counters: r.counters}
	status.Records = append(status.Records, r.records...)
	if r.lease != nil {
		status.Slot, status.Epoch, status.Expiry = r.lease.Slot, r.lease.Epoch, r.lease.Expiry
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

// Names are those of the tier's members, by number, where they have told them.
func (r *Reducer) Names() []string { return r.names }

// HoldsSlot says whether this member believes that it holds a slot.
func (r *Reducer) HoldsSlot() bool { return r.lease != nil }

// AwaitsDrained says whether a Drained is of use.
func (r *Reducer) AwaitsDrained() bool { return r.lease != nil && !r.drained }
