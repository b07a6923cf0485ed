package membership

// What a member does while views may disagree. The rules are docs/MEMBERSHIP.md's, "While views disagree"; each holds
// under every partition, loss and pause, because none lets a member do more for what it has heard, only less.

// Majority says whether more than half of the tier is there, by what is held here. Two sides of a partition never both
// say yes of the same moment's members; views that lag may, so whatever must not happen twice needs a lease beside it.
func (v View) Majority() bool { return 2*v.Available > v.TierSize }

// ColdQuotaFactor is the part, over 0 and at most 1, that a member takes of its own part of a just-started server's budget.
//
// The budget is one for all softswitches together. What a member holds dead, left or suspect may be alive on the other
// side of a cut, or have started anew, and spend its part: so nobody's part ever falls to another, whatever is held of
// it. And a member that sees no majority may be on the small side of a cut, where callers of the others come to it and
// swell what it takes for its own part of the traffic: it gives up as much of the part as it misses of the tier. Until
// a member that has just started has heard of a majority it is such a one.
func (v View) ColdQuotaFactor() float64 {
	if v.Majority() || v.TierSize <= 1 {
		return 1
	}
	return float64(max(v.Available, 1)) / float64(v.TierSize)
}
