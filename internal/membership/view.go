package membership

// View summarises what a member knows of its tier, itself included.
type View struct {
	TierSize  int // configured members
	Available int // members that are alive or draining
	Draining  int // draining members, counted in Available too
	Suspects  int // suspected members
	Down      int // members that are dead or have left
	Unknown   int // members of which nothing is known since this member's start
}

// The methods of View say what a member may do while the views of the members disagree. docs/MEMBERSHIP.md, "While views
// disagree", has the rules. The rules hold under every partition, loss and pause, because no information from other members
// makes a member use more than its own quota.

// Majority reports whether more than half of the tier is available in this view. At any moment at most one side of a
// partition has a majority of the tier. Views that lag may claim a majority on both sides, so an action that must not
// happen twice needs a lease in addition.
func (v View) Majority() bool { return 2*v.Available > v.TierSize }

// ColdQuotaFraction returns the fraction, over 0 and at most 1, that a member applies to its own quota of the budget of a
// server that has just started.
//
// All softswitches share that budget. A member considered dead, left or suspect may be alive on the other side of a
// partition, or may have restarted, and use its quota: so a view alone never lets another member take over a quota,
// whatever the state of its owner (internal/budget lets it, by leases). A member that sees no majority may be on the
// smaller side of a partition, where callers of the other members come to it and increase the traffic that it counts as
// its own share: it reduces its quota in proportion to the members that it misses. A member that has just started counts
// as one without a majority until it has information of a majority.
func (v View) ColdQuotaFraction() float64 {
	if v.Majority() || v.TierSize <= 1 {
		return 1
	}
	return float64(max(v.Available, 1)) / float64(v.TierSize)
}
