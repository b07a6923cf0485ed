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
func (t Experiment) Run() (Outcome, error) {
	o := Outcome{FirstSuspected: -1, FirstDead: -1, AllDead: -1}
	s, err := New(Config{Servers: t.Servers, ReportInterval: t.ReportInterval, Members: t.Members, Limits: t.Limits, Seed: t.Seed, Delays: func(_ Time, _, _ int, r *rand.Rand) []time.Duration {
		if r.Float64() < t.Loss {
			return nil
		}
		return []time.Duration{time.Millisecond/2 + time.Duration(r.Int64N(int64(max(t.MaxDelay, 1))))}
	}})
	if err != nil {
		return o, err
	}
	const victim = 0 // and the troubled ones are the last
	s.Run(Epoch + t.WarmUp)
	began, killed, dead := s.Counters(), Time(0), make([]bool, t.Members)
	rode := s.PiggybackBytes()
	s.OnChange = func(at Time, observer int, c membership.StateChanged) {
		switch {
		case killed > 0 && c.Member == victim:
			if o.FirstSuspected < 0 && (c.New == membership.Suspect || c.New == membership.Dead) {
				o.FirstSuspected = at - killed
			}
			dead[observer] = c.New == membership.Dead
			if o.FirstDead < 0 && dead[observer] {
				o.FirstDead = at - killed
			}
		case c.New == membership.Dead && c.Member < t.Members-t.Impaired:
			o.FalseDeaths++
		}
	}
	troubled := func(do func(m int)) {
		for m := t.Members - t.Impaired; m < t.Members; m++ {
			do(m)
		}
	}
	troubled(func(m int) { s.Slow(m, t.SlowDelay) })
	for end := s.Now() + t.Measured; s.Now() < end; {
		if t.PauseInterval <= 0 {
			s.Run(end)
			break
		}
		s.Run(min(s.Now()+t.PauseInterval-t.PauseDuration, end))
		troubled(s.Pause)
		s.Run(min(s.Now()+t.PauseDuration, end))
		troubled(s.Resume)
	}
	f := s.Counters()
	per := float64(t.Members) * t.Measured.Seconds()
	o.DatagramRate, o.ByteRate = float64(f.Sent-began.Sent)/per, float64(f.SentBytes-began.SentBytes)/per
	o.Suspicions = f.Suspicions - began.Suspicions
	o.ByteRate += float64(s.PiggybackBytes()-rode) / per
	o.OwnAge, o.AnyAge = s.ReportAges()
	if !t.Kill {
		return o, nil
	}
	killed = s.Now()
	s.Kill(victim)
	dead[victim] = true
	for step, most := t.Limits.Period/5, killed+200*t.Limits.Period; s.Now() < most; {
		s.Run(s.Now() + step)
		if !slices.Contains(dead, false) {
			o.AllDead = s.Now() - killed
			break
		}
	}
	return o, nil
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
