package knowledge

import (
	"math"
	"slices"
	"time"
)

// View is the tier's combined knowledge of a server at one time.
type View struct {
	// HoldBackShare is the share of new set-ups to hold back, weighted over the reports of all members; the newest
	// reports weigh most.
	HoldBackShare float64
	// HoldBackShareAt is the time of the newest report that another member received; 0: none.
	HoldBackShareAt Time
	// Rate is the mean rate, in set-ups a second, that the server takes from another member when warm; 0: not known.
	Rate float64
	// FairRate is Rate as it will be once this member, too, handles an equal share of the callers.
	FairRate float64
	// FailingShare is the share, by weight, of the Observers that consider the server failing.
	FailingShare float64
	// DrainingSince is the latest time at which another member's server list marked the server as draining; 0: none
	// does.
	DrainingSince Time
	// Observers is the number of other members with an entry for the server that is younger than MaxAge.
	Observers int
	// MinSetUpTime is the longest of the other members' shortest set-up times, as their network paths to the server
	// differ; 0: not known.
	MinSetUpTime time.Duration
}

// failingThreshold is the weight of failed set-ups in a row from which on a member considers a server failing.
const failingThreshold = 8

// weightByAge returns the weight of an observation of the given age: 1 when new, halved with each half-life.
func weightByAge(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// View combines what is known of a server. The weight of each entry halves with each half-life of its age, so a
// member with stale reports, or two members that contradict each other, are outweighed by a member with a much newer
// report. This member's own observations count only in HoldBackShare, beside the reports of the others.
func (r *Reducer) View(now Time, server uint32) (combined View) {
	now = max(now, r.now)
	shareSum, shareWeight, rateSum, rateWeight, failingWeight, totalWeight := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	members := 1.0
	for _, available := range r.available {
		if available {
			members++
		}
	}
	limits := r.cfg.Limits
	addReport := func(obs Observation) {
		if obs.HoldBackShareAt > 0 && now-obs.HoldBackShareAt < limits.MaxAge {
			entryWeight := weightByAge(now-obs.HoldBackShareAt, limits.HalfLife)
			shareSum, shareWeight = shareSum+entryWeight*obs.HoldBackShare, shareWeight+entryWeight
		}
	}
	for _, observer := range r.observers {
		entry, known := observer.Entries[server]
		if !known || now-entry.ObservedAt >= limits.MaxAge {
			continue
		}
		combined.Observers++
		combined.MinSetUpTime = max(combined.MinSetUpTime, entry.MinSetUpTime)
		addReport(entry.Observation)
		combined.HoldBackShareAt, combined.DrainingSince = max(combined.HoldBackShareAt, entry.HoldBackShareAt), max(combined.DrainingSince, entry.DrainingSince)
		entryWeight := weightByAge(now-entry.ObservedAt, limits.SlowHalfLife)
		if entry.Rate > 0 {
			rateSum, rateWeight = rateSum+entryWeight*entry.Rate, rateWeight+entryWeight
		}
		if totalWeight += entryWeight; entry.FailureWeight >= failingThreshold {
			failingWeight += entryWeight
		}
	}
	if addReport(r.localObservations[server]); shareWeight > 0 {
		combined.HoldBackShare = shareSum / shareWeight
	}
	if rateWeight > 0 {
		combined.Rate = rateSum / rateWeight
		combined.FairRate = combined.Rate * max(members-1, 1) / members
	}
	if totalWeight > 0 {
		combined.FailingShare = failingWeight / totalWeight
	}
	return combined
}

// TakeoverFactor returns the factor by which this member's set-up rates grow when the given members have died. Their
// callers move to all available members in equal numbers, as far as is known. The parameter available is the number of
// these, this member included. If the rates of a dead member or of this one are not known, each member is assumed to have had equally many
// callers. The factor is at most one more than the number of dead members.
func (r *Reducer) TakeoverFactor(dead []int, available int) float64 {
	localRate, deadRate, allKnown := 0.0, 0.0, true
	for _, obs := range r.localObservations {
		localRate += obs.Rate
	}
	for _, member := range dead {
		rate, reported := 0.0, false
		for _, entry := range r.observers[member].Entries {
			if r.now-entry.ObservedAt < r.cfg.Limits.MaxAge {
				rate, reported = rate+entry.Rate, reported || entry.Rate > 0
			}
		}
		deadRate, allKnown = deadRate+rate, allKnown && reported
	}
	available = max(available, 1)
	if !allKnown || localRate <= 0 {
		return float64(available+len(dead)) / float64(available)
	}
	return 1 + min(deadRate/float64(available)/localRate, float64(len(dead)))
}

// ObserverEntry is an observer's entry for a server, as shown to operators.
type ObserverEntry struct {
	Observer int // index of the member
	Observation
	At Time // time of the observation on this member's clock
}

// Entries returns all stored entries for a server, ordered by observer, this member's own included. Entries older than
// MaxAge are included until the next LocalObservations event drops them.
func (r *Reducer) Entries(server uint32) (entries []ObserverEntry) {
	for member, observer := range r.observers {
		if entry, known := observer.Entries[server]; known {
			entries = append(entries, ObserverEntry{member, entry.Observation, entry.ObservedAt})
		}
	}
	if obs, listed := r.localObservations[server]; listed {
		entries = append(entries, ObserverEntry{r.cfg.Self, obs, r.now})
	}
	slices.SortFunc(entries, func(a, b ObserverEntry) int { return a.Observer - b.Observer })
	return entries
}

// Counters returns the current counters.
func (r *Reducer) Counters() Counters { return r.counters }
