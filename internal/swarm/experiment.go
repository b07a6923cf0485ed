package swarm

import (
	"math/rand/v2"
	"slices"
	"time"

	"elmseam/internal/membership"
)

// Experiment describes a measurement of the membership protocol: a tier warms up, runs under impairments for a measured
// time, and may then lose a member, whose detection is timed.
type Experiment struct {
	Members         int               // size of the tier
	Limits          membership.Limits // limits of the membership protocol
	Seed            uint64            // seed of all random numbers of the run
	Loss            float64           // share of the datagrams that is lost, 0 to 1
	MaxDelay        time.Duration     // a datagram takes 0.5 ms plus a random time below MaxDelay
	WarmUp          time.Duration     // time before the measurement starts
	MeasureDuration time.Duration     // length of the measurement
	// Kill has member 0 killed after the measurement. The run then goes on until all other members consider member 0 dead, but
	// no longer than 200 protocol periods.
	Kill           bool
	Impaired       int           // number of members that are paused and slowed, the last of the tier
	PauseDuration  time.Duration // how long the impaired members are paused together
	PauseInterval  time.Duration // time from one pause to the next, pause included; 0: no pauses
	SlowDelay      time.Duration // delay of every datagram and timer of an impaired member
	Servers        int           // number of servers whose load reports members share; 0: none
	ReportInterval time.Duration // mean time between two load reports that a member receives from a server
}

// Outcome is the result of an experiment. FirstSuspected, FirstDead and AllDead count from the kill; a negative time means
// that the event did not occur.
type Outcome struct {
	// DatagramRate and ByteRate are the datagrams and bytes sent per member and second during the measurement. ByteRate
	// includes piggybacked bytes.
	DatagramRate, ByteRate float64
	// FirstSuspected and FirstDead are the times until the first other member suspects the killed member, or considers it dead
	// at once, and until the first other member considers it dead.
	FirstSuspected, FirstDead time.Duration
	// AllDead is the time until all other members consider the killed member dead, rounded up to a fifth of a protocol period.
	AllDead time.Duration
	// FalseDeaths counts how often, from the start of the measurement on, a member came to consider a running, unimpaired
	// member dead.
	FalseDeaths int
	// Suspicions is the number of suspicions during the measurement, summed over all members.
	Suspicions uint64
	// OwnAge and NewestKnownAge are the mean ages of the newest load report of a server that a member received itself and of
	// the newest report that the member knows of, at the end of the measurement; see Simulation.ReportAges.
	OwnAge, NewestKnownAge time.Duration
}

// Run runs the experiment. The same experiment has the same outcome on any machine.
func (e Experiment) Run() (Outcome, error) {
	outcome := Outcome{FirstSuspected: -1, FirstDead: -1, AllDead: -1}
	sim, err := New(Config{Servers: e.Servers, ReportInterval: e.ReportInterval, Members: e.Members, Limits: e.Limits, Seed: e.Seed, Delays: func(_ Time, _, _ int, rng *rand.Rand) []time.Duration {
		if rng.Float64() < e.Loss {
			return nil
		}
		return []time.Duration{time.Millisecond/2 + time.Duration(rng.Int64N(int64(max(e.MaxDelay, 1))))}
	}})
	if err != nil {
		return outcome, err
	}
	const victim = 0 // not impaired, unless all members are: the impaired members are the last
	sim.Run(Epoch + e.WarmUp)
	countersAtStart, killedAt, consideredDead := sim.Counters(), Time(0), make([]bool, e.Members)
	piggybackBytesAtStart := sim.PiggybackBytes()
	sim.OnChange = func(at Time, observer int, change membership.StateChanged) {
		switch {
		case killedAt > 0 && change.Member == victim:
			if outcome.FirstSuspected < 0 && (change.New == membership.StateSuspect || change.New == membership.StateDead) {
				outcome.FirstSuspected = at - killedAt
			}
			consideredDead[observer] = change.New == membership.StateDead
			if outcome.FirstDead < 0 && consideredDead[observer] {
				outcome.FirstDead = at - killedAt
			}
		case change.New == membership.StateDead && change.Member < e.Members-e.Impaired:
			outcome.FalseDeaths++
		}
	}
	forEachImpaired := func(apply func(member int)) {
		for member := e.Members - e.Impaired; member < e.Members; member++ {
			apply(member)
		}
	}
	forEachImpaired(func(member int) { sim.SetInputDelay(member, e.SlowDelay) })
	for end := sim.Now() + e.MeasureDuration; sim.Now() < end; {
		if e.PauseInterval <= 0 {
			sim.Run(end)
			break
		}
		sim.Run(min(sim.Now()+e.PauseInterval-e.PauseDuration, end))
		forEachImpaired(sim.Pause)
		sim.Run(min(sim.Now()+e.PauseDuration, end))
		forEachImpaired(sim.Resume)
	}
	countersAtEnd := sim.Counters()
	memberSeconds := float64(e.Members) * e.MeasureDuration.Seconds()
	outcome.DatagramRate, outcome.ByteRate = float64(countersAtEnd.Sent-countersAtStart.Sent)/memberSeconds, float64(countersAtEnd.SentBytes-countersAtStart.SentBytes)/memberSeconds
	outcome.Suspicions = countersAtEnd.Suspicions - countersAtStart.Suspicions
	outcome.ByteRate += float64(sim.PiggybackBytes()-piggybackBytesAtStart) / memberSeconds
	outcome.OwnAge, outcome.NewestKnownAge = sim.ReportAges()
	if !e.Kill {
		return outcome, nil
	}
	killedAt = sim.Now()
	sim.Kill(victim)
	for observer := range consideredDead { // it may have been considered dead by mistake
		consideredDead[observer] = observer == victim || sim.StateOf(observer, victim).State == membership.StateDead
	}
	for step, deadline := e.Limits.Period/5, killedAt+200*e.Limits.Period; sim.Now() < deadline; {
		sim.Run(sim.Now() + step)
		if !slices.Contains(consideredDead, false) {
			outcome.AllDead = sim.Now() - killedAt
			break
		}
	}
	return outcome, nil
}

// Variant is a named change of the default limits.
type Variant struct {
	Name   string                   // heading of the variant in reports
	Change func(*membership.Limits) // applies the variant to the default limits
}

// Variants are the steps from plain SWIM to the default limits, each with more of the protocol's extensions switched on.
var Variants = []Variant{
	{"SWIM alone", func(l *membership.Limits) { l.MaxHealth, l.SuspicionMax, l.StallThreshold = 0, 1, 0 }},
	{"with Lifeguard", func(l *membership.Limits) { l.StallThreshold = 0 }},
	{"with Lifeguard and stall detection", func(*membership.Limits) {}},
}
