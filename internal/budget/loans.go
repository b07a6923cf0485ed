package budget

import (
	"math"
	"math/bits"
	"time"
)

// A loan is between two. The lender holds the units by a lease of the majority, counts them as lent from the moment at
// which it says so, and goes on renewing them; the loan ends, by any clock, before that lease does and before the lender
// uses the units again. So it takes no third: neither a lost word nor the death of either leaves a unit with two.

const (
	hungryAt = 0.8 // share of what a member has that it uses, from which on it asks for more
	keep     = 1   // movable units that a lender keeps beyond what it uses
)

// idle are the own movable units that this member could lend.
func (r *Reducer) idle() (units Mask) {
	if r.use < 0 {
		return 0
	}
	keeps := int(math.Ceil(r.use*Units)) - 1 + keep // the sure one is kept in any case
	out := r.lentOut(r.now)
	for u := Units - 1; u >= 1; u-- {
		if bit := Mask(1) << u; r.now < r.held[r.cfg.Self][u] && out&bit == 0 {
			units |= bit
		}
	}
	for ; keeps > 0 && units != 0; keeps-- {
		units &= units - 1
	}
	return units
}

// lentOut are the own units that are lent.
func (r *Reducer) lentOut(now Time) (units Mask) {
	for u, l := range r.lent {
		if now < l.Until {
			units |= 1 << u
		}
	}
	return units
}

// ask asks for loans where this member uses nearly all that it has by leases: first for those that it has already, as far as
// they are needed, then of the member that has most to spare.
func (r *Reducer) ask() {
	needs := int(math.Ceil(r.use / hungryAt * Units))
	again := make([]Mask, r.cfg.TierSize)
	best := -1
	for p := range r.held {
		own := r.Usable(r.now, p)
		for u, until := range r.borrowed[p] {
			if r.now < until {
				again[p] |= 1 << u
			}
		}
		needs -= (own &^ again[p]).Count()
		if n := r.spare[p]; p != r.cfg.Self && r.there[p] && n > 0 && (best < 0 || n > r.spare[best]) {
			best = p
		}
	}
	r.want++
	r.wantAt = r.now
	for m, units := range again {
		for ; units.Count() > max(needs, 0); units &= units - 1 {
		}
		needs -= units.Count()
		again[m] = units
	}
	for m, units := range again {
		switch more := min(max(needs, 0), Units); {
		case m == best && more > 0:
			r.send(m, message{Kind: borrow, Seq: r.want, Items: []int64{int64(more), int64(units)}})
		case units != 0:
			r.send(m, message{Kind: borrow, Seq: r.want, Items: []int64{0, int64(units)}})
		}
	}
}

// borrow answers one that asks for a loan: with what it has already, as long as this member can spare it, and with more.
func (r *Reducer) borrow(to int, m message) {
	n, again := int(m.Items[0]), Mask(m.Items[1])
	var units Mask
	for u, l := range r.lent {
		if l.To == to && r.now < l.Until && r.use >= 0 && r.use <= hungryAt {
			units |= again & (1 << u)
		}
	}
	for free := r.idle(); n > 0 && free != 0; n-- {
		top := Mask(1) << (bits.Len8(uint8(free)) - 1)
		units, free = units|top, free&^top
	}
	left := r.cfg.Limits.Lease
	for u := 1; u < Units; u++ {
		if units&(1<<u) != 0 {
			left = min(left, r.held[r.cfg.Self][u]-r.now)
		}
	}
	if left = left.Truncate(time.Millisecond); units == 0 || left <= 0 {
		return
	}
	until := r.now + time.Duration(float64(left)*(1+2*r.cfg.Limits.MaxDrift))
	for u := range r.lent {
		if units&(1<<u) != 0 {
			r.lent[u] = loan{to, max(until, r.lent[u].Until)}
		}
	}
	r.figures.Lent += uint64(units.Count())
	r.send(to, message{Kind: lend, Seq: m.Seq, Items: []int64{int64(units), int64(left / time.Millisecond)}, Rates: r.rates()})
}

// took takes a loan in, counted from when it was asked for.
func (r *Reducer) took(from int, m message) {
	if m.Seq != r.want || m.Items[0] == 0 {
		return
	}
	until := r.wantAt + r.cfg.Limits.sure(time.Duration(m.Items[1])*time.Millisecond)
	if !r.has(GuardExpiry) {
		until = r.now + 2*r.cfg.Limits.Lease
	}
	if until > r.now {
		for u := range Units {
			if Mask(m.Items[0])&(1<<u) != 0 {
				r.borrowed[from][u] = max(r.borrowed[from][u], until)
			}
		}
		r.figures.Borrowed += uint64(Mask(m.Items[0]).Count())
	}
}

// Usable are the units of a member's part that this one may use at a time.
func (r *Reducer) Usable(now Time, part int) (units Mask) {
	now = max(now, r.now)
	if part == r.cfg.Self {
		units = sure
	}
	for u := 1; u < Units; u++ {
		if now < r.held[part][u] || now < r.borrowed[part][u] {
			units |= 1 << u
		}
	}
	if part == r.cfg.Self && r.has(GuardLoan) {
		units &^= r.lentOut(now)
	}
	return units
}

// Rate is what this member may send to a cold server, in set-ups a second of a warm one, at a time. It says no of a server
// that it was not told of, or where parts do not move.
func (r *Reducer) Rate(now Time, server uint32) (rate float64, known bool) {
	c := r.known(server)
	if c == nil || max(now, r.now) >= c.Until || !r.Transferable() {
		return 0, false
	}
	for p, own := range c.Rates {
		if own > 0 {
			rate += own * float64(r.Usable(now, p).Count()) / Units
		}
	}
	return rate, true
}

// Quotas are what is known of each member's part. What is returned is the caller's.
func (r *Reducer) Quotas() (all []Quota) {
	for p := range r.held {
		e := Quota{Usable: r.Usable(r.now, p), Grants: r.grants[p]}
		for u := range e.Grants {
			if r.now >= e.Grants[u].Expiry {
				e.Grants[u].Holder = -1
			}
		}
		if p == r.cfg.Self {
			e.Lent = r.lentOut(r.now)
		}
		all = append(all, e)
	}
	return all
}

// AnyCold says whether a server is cold now.
func (r *Reducer) AnyCold() bool { return r.ticking }

// Counters are the figures of now.
func (r *Reducer) Counters() Counters { return r.figures }
