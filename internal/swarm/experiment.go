package swarm

import (
	"math/rand/v2"
	"slices"
	"time"

	"elmseam/internal/membership"
)

// Experiment is an experiment: a tier that has come together, then a trouble, and what it took to see it.
type Experiment struct {
	Members        int
	Limits         membership.Limits
	Seed           uint64
	Loss           float64       // share of the datagrams
	MaxDelay       time.Duration // of each, at most; a datagram takes any part of it
	WarmUp         time.Duration // before it is measured
	Measured       time.Duration // that is measured
	Kill           bool          // a member, when the load has been measured for Span; then it goes on until all hold it dead
	Impaired       int           // members that do badly:
	PauseDuration  time.Duration // they stand still together for so long,
	PauseInterval  time.Duration // so often;
	SlowDelay      time.Duration // they take in all so much later
	Servers        int           // of which members tell each other
	ReportInterval time.Duration // between two reports of one that a member has itself
}

// Outcome is what a trial saw. Times are since the kill; negative: it did not come to that.
type Outcome struct {
	DatagramRate, ByteRate    float64       // a member and second, sent, before the kill
	FirstSuspected, FirstDead time.Duration // by the first other member
	AllDead                   time.Duration // by every one
	FalseDeaths               int           // a member held dead that is not troubled, by any
	Suspicions                uint64        // in the measured span, all members together
	OwnAge, AnyAge            time.Duration // of the newest report of a server that a member has itself, or knows of, on the mean
}

// Run runs a trial: the same one has the same outcome on any machine.
func (e Experiment) Run() (Outcome, error) {
	outcome := Outcome{FirstSuspected: -1, FirstDead: -1, AllDead: -1}
	sim, err := New(Config{Servers: e.Servers, ReportInterval: e.ReportInterval, Members: e.Members, Limits: e.Limits, Seed: e.Seed, Delays: func(_ Time, _, _ int, r *rand.Rand) []time.Duration {
		if r.Float64() < e.Loss {
			return nil
		}
		return []time.Duration{time.Millisecond/2 + time.Duration(r.Int64N(int64(max(e.MaxDelay, 1))))}
	}})
	if err != nil {
		return outcome, err
	}
	const victim = 0 // and the troubled ones are the last
	sim.Run(Epoch + e.WarmUp)
	startCounters, killedAt, heldDead := sim.Counters(), Time(0), make([]bool, e.Members)
	startPiggybackBytes := sim.PiggybackBytes()
	sim.OnChange = func(at Time, observer int, change membership.StateChanged) {
		switch {
		case killedAt > 0 && change.Member == victim:
			if outcome.FirstSuspected < 0 && (change.New == membership.Suspect || change.New == membership.Dead) {
				outcome.FirstSuspected = at - killedAt
			}
			heldDead[observer] = change.New == membership.Dead
			if outcome.FirstDead < 0 && heldDead[observer] {
				outcome.FirstDead = at - killedAt
			}
		case change.New == membership.Dead && change.Member < e.Members-e.Impaired:
			outcome.FalseDeaths++
		}
	}
	forEachImpaired := func(apply func(member int)) {
		for member := e.Members - e.Impaired; member < e.Members; member++ {
			apply(member)
		}
	}
	forEachImpaired(func(member int) { sim.Slow(member, e.SlowDelay) })
	for end := sim.Now() + e.Measured; sim.Now() < end; {
		if e.PauseInterval <= 0 {
			sim.Run(end)
			break
		}
		sim.Run(min(sim.Now()+e.PauseInterval-e.PauseDuration, end))
		forEachImpaired(sim.Pause)
		sim.Run(min(sim.Now()+e.PauseDuration, end))
		forEachImpaired(sim.Resume)
	}
	endCounters := sim.Counters()
	memberSeconds := float64(e.Members) * e.Measured.Seconds()
	outcome.DatagramRate, outcome.ByteRate = float64(endCounters.Sent-startCounters.Sent)/memberSeconds, float64(endCounters.SentBytes-startCounters.SentBytes)/memberSeconds
	outcome.Suspicions = endCounters.Suspicions - startCounters.Suspicions
	outcome.ByteRate += float64(sim.PiggybackBytes()-startPiggybackBytes) / memberSeconds
	outcome.OwnAge, outcome.AnyAge = sim.ReportAges()
	if !e.Kill {
		return outcome, nil
	}
	killedAt = sim.Now()
	sim.Kill(victim)
	heldDead[victim] = true
	for step, deadline := e.Limits.Period/5, killedAt+200*e.Limits.Period; sim.Now() < deadline; {
		sim.Run(sim.Now() + step)
		if !slices.Contains(heldDead, false) {
			outcome.AllDead = sim.Now() - killedAt
			break
		}
	}
	return outcome, nil
}

// Variant is a way to set the limits, by name.
type Variant struct {
	Name   string
	Change func(*membership.Limits)
}

// Variants are the steps from plain SWIM to what is shipped.
var Variants = []Variant{
	{"SWIM alone", func(l *membership.Limits) { l.MaxHealth, l.SuspicionMax, l.StallThreshold = 0, 1, 0 }},
	{"with Lifeguard", func(l *membership.Limits) { l.StallThreshold = 0 }},
	{"and own pauses noticed", func(*membership.Limits) {}},
}
