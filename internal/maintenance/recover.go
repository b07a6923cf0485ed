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
func (r *Reducer) recover() {
	if r.now >= r.began+r.cfg.Limits.longest() {
		r.settle()
		return
	}
	if r.now < r.began+2*r.cfg.Limits.Round {
		return
	}
	r.queries++
	ask := askedAtOnce
	if int(r.queries)*askedAtOnce > 2*r.cfg.TierSize {
		ask = 1
	}
	for range r.cfg.TierSize {
		m := r.asking
		r.asking = (r.asking + 1) % r.cfg.TierSize
		if a := r.answers[m]; m == r.cfg.Self || a.Came && a.Settled {
			continue
		}
		r.send(m, message{Kind: query, Seq: r.nonce})
		if ask--; ask == 0 {
			return
		}
	}
}

// askedAtOnce are how many members are asked in a round.
const askedAtOnce = 8

// settle begins to grant. What an earlier life held and had no more use for is given back.
func (r *Reducer) settle() {
	r.settled = true
	for slot, g := range r.grants {
		if g.Holder == r.cfg.Self && r.live(slot) && r.records[r.cfg.Self].Stage.Ended() {
			r.release(slot, g.Epoch)
		}
	}
	r.consider()
}

// tell answers a query: with the records, if the asker's are others, then with what is granted and held here.
func (r *Reducer) tell(to int, m message) {
	if m.Sum != r.sum() {
		var all []int
		for of, e := range r.records {
			if e.Stage != None {
				all = append(all, of)
			}
		}
		for n := 0; len(all) > 0; all = all[n:] {
			n = max(r.sendRecords(to, all), 1)
		}
	}
	var w []int64
	for s, g := range r.grants {
		holder, left := -1, time.Duration(0)
		if r.live(s) {
			holder, left = g.Holder, g.Expiry-r.now
		}
		if r.lease != nil && r.lease.Slot == s {
			holder, left = r.cfg.Self, max(r.lease.Until-r.now, left)
		}
		if holder != -1 || r.tops[s] > 0 {
			w = append(w, int64(s), int64(max(holder, -1)), int64(left/time.Millisecond), int64(r.tops[s]))
		}
	}
	r.send(to, message{Kind: state, Seq: m.Seq, Items: w})
}

// answered takes in an answer.
func (r *Reducer) answered(from int, m message) {
	if r.settled || m.Seq != r.nonce {
		return
	}
	for w := m.Items; len(w) > 0; w = w[itemsOfState:] {
		slot, left := w[0], time.Duration(w[2])*time.Millisecond
		r.tops[slot] = max(r.tops[slot], uint64(w[3]))
		if left <= 0 {
			continue
		}
		until := r.now + time.Duration(float64(left)*(1+2*r.cfg.Limits.MaxDrift)) + r.cfg.Limits.Round
		g := &r.grants[slot]
		switch {
		case !r.live(int(slot)):
			*g = Grant{Holder: int(w[1]), Epoch: uint64(w[3]), Expiry: until}
			if w[1] < 0 {
				g.Holder = somebody
			}
		case g.Holder == int(w[1]):
			g.Epoch, g.Expiry = max(g.Epoch, uint64(w[3])), max(g.Expiry, until)
		default:
			g.Holder, g.Expiry = somebody, max(g.Expiry, until)
		}
	}
	if m.Sum == r.sum() {
		r.answers[from] = answer{true, m.Settled || r.answers[from].Settled}
	}
	all, settled := 0, 0
	for _, a := range r.answers {
		if a.Came {
			all++
		}
		if a.Settled {
			settled++
		}
	}
	if settled >= r.quorum() || all == r.cfg.TierSize-1 {
		r.settle()
	}
}

// Status is what operators are shown. What it holds is the caller's.
func (r *Reducer) Status() Status {
	s := Status{Recovered: r.settled, Budget: r.cfg.Limits.Budget, Slot: -1, Queue: r.Queue(), Counters: r.figures}
	s.Records = append(s.Records, r.records...)
	if r.lease != nil {
		s.Slot, s.Epoch, s.Expiry = r.lease.Slot, r.lease.Epoch, r.lease.Until
	}
	for slot := range r.grants {
		g := r.grants[slot]
		if !r.live(slot) {
			g.Holder = -1
		}
		s.Grants = append(s.Grants, g)
	}
	return s
}

// Names are those of the tier's members, by number, where they have told them.
func (r *Reducer) Names() []string { return r.names }

// HoldsSlot says whether this member believes that it holds a slot.
func (r *Reducer) HoldsSlot() bool { return r.lease != nil }

// AwaitsDrained says whether a Drained is of use.
func (r *Reducer) AwaitsDrained() bool { return r.lease != nil && !r.drained }
