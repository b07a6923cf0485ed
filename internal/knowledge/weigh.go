package knowledge

import (
	"math"
	"slices"
	"time"
)

// View is what the tier knows of a server at a time.
type View struct {
	HoldBackShare   float64       // to be held back, of all that is known: the newest reports weigh most
	HoldBackShareAt Time          // of the newest that another has heard; 0: none
	Rate            float64       // set-ups a second that a server takes from another member when warm, on the mean; 0: not known
	FairRate        float64       // the same, when this member has its part of the callers again
	FailingShare    float64       // share of the others' weight that holds it for failing
	DrainingSince   Time          // since when another's list says that it drains; 0: none does
	Observers       int           // observers that have told of it
	MinSetUpTime    time.Duration // the longest of the others' shortest set-up times: ways differ; 0: not known
}

// badAt is the weight of bad endings in a row from which on a member holds a server for failing.
const failingThreshold = 8

func weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// View weighs what is known of a server: each entry halves its weight with each half-life of its age, so a stale peer, or
// two that contradict each other, are outweighed by whoever has heard of it later; the own entry counts beside the rest.
func (r *Reducer) View(now Time, server uint32) (v View) {
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
			w := weight(now-obs.HoldBackShareAt, limits.HalfLife)
			shareSum, shareWeight = shareSum+w*obs.HoldBackShare, shareWeight+w
		}
	}
	for _, o := range r.observers {
		e, known := o.Entries[server]
		if !known || now-e.ObservedAt >= limits.MaxAge {
			continue
		}
		v.Observers++
		v.MinSetUpTime = max(v.MinSetUpTime, e.MinSetUpTime)
		addReport(e.Observation)
		v.HoldBackShareAt, v.DrainingSince = max(v.HoldBackShareAt, e.HoldBackShareAt), max(v.DrainingSince, e.DrainingSince)
		w := weight(now-e.ObservedAt, limits.SlowHalfLife)
		if e.Rate > 0 {
			rateSum, rateWeight = rateSum+w*e.Rate, rateWeight+w
		}
		if totalWeight += w; e.FailureWeight >= failingThreshold {
			failingWeight += w
		}
	}
	if addReport(r.local[server]); shareWeight > 0 {
		v.HoldBackShare = shareSum / shareWeight
	}
	if rateWeight > 0 {
		v.Rate = rateSum / rateWeight
		v.FairRate = v.Rate * max(members-1, 1) / members
	}
	if totalWeight > 0 {
		v.FailingShare = failingWeight / totalWeight
	}
	return v
}

// TakeoverFactor is by how much the rates of this member grow when some others have died: those leave their callers to all that
// are there, each as many, as far as anybody knows. Where too little is known each is held to have had as many.
func (r *Reducer) TakeoverFactor(dead []int, available int) float64 {
	localRate, deadRate, allKnown := 0.0, 0.0, true
	for _, obs := range r.local {
		localRate += obs.Rate
	}
	for _, member := range dead {
		rate, reported := 0.0, false
		for _, e := range r.observers[member].Entries {
			if r.now-e.ObservedAt < r.cfg.Limits.MaxAge {
				rate, reported = rate+e.Rate, reported || e.Rate > 0
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

// ObserverEntry is an observer's entry, for operators.
type ObserverEntry struct {
	Observer int
	Observation
	At Time
}

// Entries is all that is known of a server, by observer, the own entry included.
func (r *Reducer) Entries(server uint32) (entries []ObserverEntry) {
	for member, o := range r.observers {
		if e, known := o.Entries[server]; known {
			entries = append(entries, ObserverEntry{member, e.Observation, e.ObservedAt})
		}
	}
	if obs, listed := r.local[server]; listed {
		entries = append(entries, ObserverEntry{r.cfg.Self, obs, r.now})
	}
	slices.SortFunc(entries, func(a, b ObserverEntry) int { return a.Observer - b.Observer })
	return entries
}

// Counters are the figures of now.
func (r *Reducer) Counters() Counters { return r.counters }
