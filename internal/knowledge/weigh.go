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
const badAt = 8

func weight(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

// View weighs what is known of a server: each entry halves its weight with each half-life of its age, so a stale peer, or
// two that contradict each other, are outweighed by whoever has heard of it later; the own entry counts beside the rest.
func (r *Reducer) View(now Time, server uint32) (v View) {
	now = max(now, r.now)
	share, shares, rate, rates, bad, all := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	there := 1.0
	for _, yes := range r.there {
		if yes {
			there++
		}
	}
	l := r.cfg.Limits
	report := func(s Observation) {
		if s.HoldBackShareAt > 0 && now-s.HoldBackShareAt < l.MaxAge {
			w := weight(now-s.HoldBackShareAt, l.HalfLife)
			share, shares = share+w*s.HoldBackShare, shares+w
		}
	}
	for _, o := range r.observers {
		e, known := o.Entries[server]
		if !known || now-e.At >= l.MaxAge {
			continue
		}
		v.Observers++
		v.MinSetUpTime = max(v.MinSetUpTime, e.MinSetUpTime)
		report(e.Observation)
		v.HoldBackShareAt, v.DrainingSince = max(v.HoldBackShareAt, e.HoldBackShareAt), max(v.DrainingSince, e.DrainingSince)
		w := weight(now-e.At, l.SlowHalfLife)
		if e.Rate > 0 {
			rate, rates = rate+w*e.Rate, rates+w
		}
		if all += w; e.FailureWeight >= badAt {
			bad += w
		}
	}
	if report(r.own[server]); shares > 0 {
		v.HoldBackShare = share / shares
	}
	if rates > 0 {
		v.Rate = rate / rates
		v.FairRate = v.Rate * max(there-1, 1) / there
	}
	if all > 0 {
		v.FailingShare = bad / all
	}
	return v
}

// TakeoverFactor is by how much the rates of this member grow when some others have died: those leave their callers to all that
// are there, each as many, as far as anybody knows. Where too little is known each is held to have had as many.
func (r *Reducer) TakeoverFactor(died []int, there int) float64 {
	own, left, known := 0.0, 0.0, true
	for _, s := range r.own {
		own += s.Rate
	}
	for _, m := range died {
		rate, any := 0.0, false
		for _, e := range r.observers[m].Entries {
			if r.now-e.At < r.cfg.Limits.MaxAge {
				rate, any = rate+e.Rate, any || e.Rate > 0
			}
		}
		left, known = left+rate, known && any
	}
	there = max(there, 1)
	if !known || own <= 0 {
		return float64(there+len(died)) / float64(there)
	}
	return 1 + min(left/float64(there)/own, float64(len(died)))
}

// ObserverEntry is an observer's entry, for operators.
type ObserverEntry struct {
	Observer int
	Observation
	At Time
}

// Entries is all that is known of a server, by observer, the own entry included.
func (r *Reducer) Entries(server uint32) (all []ObserverEntry) {
	for m, o := range r.observers {
		if e, known := o.Entries[server]; known {
			all = append(all, ObserverEntry{m, e.Observation, e.At})
		}
	}
	if s, listed := r.own[server]; listed {
		all = append(all, ObserverEntry{r.cfg.Self, s, r.now})
	}
	slices.SortFunc(all, func(a, b ObserverEntry) int { return a.Observer - b.Observer })
	return all
}

// Counters are the figures of now.
func (r *Reducer) Counters() Counters { return r.figures }
