package budget

import (
	"math"
	"math/bits"
	"time"
)

// A loan involves only two members. The lender holds the units by leases that a majority granted, counts the units as
// lent from the moment it grants the loan, and goes on renewing the leases. The loan ends, by any clock, before the
// lease ends and before the lender uses the units again. So a loan needs no third member: neither a lost message nor
// the death of either member leaves a unit with two users.

// Conditions of loans.
const (
	borrowThreshold = 0.8 // a member that uses more than this share of its units requests loans, and renews none that it has given
	lenderReserve   = 1   // transferable units that a lender keeps beyond those that it uses
)

// lendableUnits returns the transferable units of its own quota that this member could lend; none before the first
// Demand event.
func (r *Reducer) lendableUnits() (units Mask) {
	if r.demand < 0 {
		return 0
	}
	reserve := int(math.Ceil(r.demand*Units)) - 1 + lenderReserve // less one: the reserved unit is kept in any case
	lent := r.lentUnits(r.now)
	for unit := Units - 1; unit >= 1; unit-- {
		if bit := Mask(1) << unit; r.now < r.heldExpiry[r.cfg.Self][unit] && lent&bit == 0 {
			units |= bit
		}
	}
	for ; reserve > 0 && units != 0; reserve-- {
		units &= units - 1
	}
	return units
}

// lentUnits returns the units of its own quota that this member has lent at the given time.
func (r *Reducer) lentUnits(now Time) (units Mask) {
	for unit, loan := range r.loans {
		if now < loan.Expiry {
			units |= 1 << unit
		}
	}
	return units
}

// requestLoans requests loans if this member uses nearly all units that it holds: first the renewal of existing
// loans, as far as they are needed, then additional units from the member with the most lendable units.
func (r *Reducer) requestLoans() {
	missingUnits := int(math.Ceil(r.demand / borrowThreshold * Units))
	renewals := make([]Mask, r.cfg.TierSize)
	lender := -1
	for owner := range r.heldExpiry {
		usable := r.Usable(r.now, owner)
		for unit, expiry := range r.borrowedExpiry[owner] {
			if r.now < expiry {
				renewals[owner] |= 1 << unit
			}
		}
		missingUnits -= (usable &^ renewals[owner]).Count()
		if lendable := r.lendableCounts[owner]; owner != r.cfg.Self && r.available[owner] && lendable > 0 && (lender < 0 || lendable > r.lendableCounts[lender]) {
			lender = owner
		}
	}
	r.lastLoanSeq++
	r.loanRequestedAt = r.now
	for owner, units := range renewals {
		for ; units.Count() > max(missingUnits, 0); units &= units - 1 {
		}
		missingUnits -= units.Count()
		renewals[owner] = units
	}
	for owner, units := range renewals {
		switch additional := min(max(missingUnits, 0), Units); {
		case owner == lender && additional > 0:
			r.send(owner, message{Kind: kindBorrow, Seq: r.lastLoanSeq, Items: []int64{int64(additional), int64(units)}})
		case units != 0:
			r.send(owner, message{Kind: kindBorrow, Seq: r.lastLoanSeq, Items: []int64{0, int64(units)}})
		}
	}
}

// handleBorrow answers a borrower's loan request: it renews existing loans while this member can spare the units, and
// lends additional units. Without any units to lend it sends no answer.
func (r *Reducer) handleBorrow(borrower int, msg message) {
	additionalUnits, renewals := int(msg.Items[0]), Mask(msg.Items[1])
	var units Mask
	for unit, loan := range r.loans {
		if loan.Borrower == borrower && r.now < loan.Expiry && r.demand >= 0 && r.demand <= borrowThreshold {
			units |= renewals & (1 << unit)
		}
	}
	for lendable := r.lendableUnits(); additionalUnits > 0 && lendable != 0; additionalUnits-- {
		highest := Mask(1) << (bits.Len8(uint8(lendable)) - 1)
		units, lendable = units|highest, lendable&^highest
	}
	duration := r.cfg.Limits.Lease
	for unit := 1; unit < Units; unit++ {
		if units&(1<<unit) != 0 {
			duration = min(duration, r.heldExpiry[r.cfg.Self][unit]-r.now)
		}
	}
	if duration = duration.Truncate(time.Millisecond); units == 0 || duration <= 0 {
		return
	}
	expiry := r.now + time.Duration(float64(duration)*(1+2*r.cfg.Limits.MaxDrift))
	for unit := range r.loans {
		if units&(1<<unit) != 0 {
			r.loans[unit] = loan{borrower, max(expiry, r.loans[unit].Expiry)}
		}
	}
	r.counters.Lent += uint64(units.Count())
	r.send(borrower, message{Kind: kindLend, Seq: msg.Seq, Items: []int64{int64(units), int64(duration / time.Millisecond)}, QuotaRates: r.encodeOwnQuotaRates()})
}

// handleLoan records the units of a loan received from a lender. The loan counts from when it was requested; the answer
// to an earlier request is ignored.
func (r *Reducer) handleLoan(from int, msg message) {
	if msg.Seq != r.lastLoanSeq || msg.Items[0] == 0 {
		return
	}
	expiry := r.loanRequestedAt + r.cfg.Limits.holderLeaseDuration(time.Duration(msg.Items[1])*time.Millisecond)
	if !r.guardEnabled(GuardExpiry) {
		expiry = r.now + 2*r.cfg.Limits.Lease
	}
	if expiry > r.now {
		for unit := range Units {
			if Mask(msg.Items[0])&(1<<unit) != 0 {
				r.borrowedExpiry[from][unit] = max(r.borrowedExpiry[from][unit], expiry)
			}
		}
		r.counters.Borrowed += uint64(Mask(msg.Items[0]).Count())
	}
}

// Usable returns the units of an owner's quota that this member may use at the given time. It must not be called in
// a tier whose units do not move.
func (r *Reducer) Usable(now Time, owner int) (units Mask) {
	now = max(now, r.now)
	if owner == r.cfg.Self {
		units = reservedUnit
	}
	for unit := 1; unit < Units; unit++ {
		if now < r.heldExpiry[owner][unit] || now < r.borrowedExpiry[owner][unit] {
			units |= 1 << unit
		}
	}
	if owner == r.cfg.Self && r.guardEnabled(GuardLoan) {
		units &^= r.lentUnits(now)
	}
	return units
}

// Rate returns the rate that this member may send to a cold server at the given time, in set-ups a second of a warm server.
// It returns false for a server that is not known to be cold, or if units do not move.
func (r *Reducer) Rate(now Time, server uint32) (rate float64, known bool) {
	cold := r.findColdServer(server)
	if cold == nil || max(now, r.now) >= cold.ColdUntil || !r.Transferable() {
		return 0, false
	}
	for owner, quotaRate := range cold.QuotaRates {
		if quotaRate > 0 {
			rate += quotaRate * float64(r.Usable(now, owner).Count()) / Units
		}
	}
	return rate, true
}

// Quotas returns what is known of each member's quota, by index; nil if units do not move. The result is a copy.
func (r *Reducer) Quotas() (quotas []Quota) {
	for owner := range r.heldExpiry {
		quota := Quota{Usable: r.Usable(r.now, owner), Grants: r.grants[owner]}
		for unit := range quota.Grants {
			if r.now >= quota.Grants[unit].Expiry {
				quota.Grants[unit].Holder = -1
			}
		}
		if owner == r.cfg.Self {
			quota.Lent = r.lentUnits(r.now)
		}
		quotas = append(quotas, quota)
	}
	return quotas
}

// AnyCold reports whether a server was cold at the last round or has become cold since; false if units do not move.
func (r *Reducer) AnyCold() bool { return r.roundsActive }

// Counters returns the current counters.
func (r *Reducer) Counters() Counters { return r.counters }
