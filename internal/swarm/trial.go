package swarm

import (
	"math/rand/v2"
	"slices"
	"time"

	"elmseam/internal/membership"
)

// Trial is an experiment: a tier that has come together, then a trouble, and what it took to see it.
type Trial struct {
	Members  int
	Limits   membership.Limits
	Seed     uint64
	Loss     float64       // share of the datagrams
	Delay    time.Duration // of each, at most; a datagram takes any part of it
	Warm     time.Duration // before it is measured
	Span     time.Duration // that is measured
	Kill     bool          // a member, when the load has been measured for Span; then it goes on until all hold it dead
	Troubled int           // members that do badly:
	Pause    time.Duration // they stand still together for so long,
	Every    time.Duration // so often;
	Slow     time.Duration // they take in all so much later
	Servers  int           // of which members tell each other
	Hear     time.Duration // between two reports of one that a member has itself
}

// Outcome is what a trial saw. Times are since the kill; negative: it did not come to that.
type Outcome struct {
	Datagrams, Bytes float64       // a member and second, sent, before the kill
	Suspected, Dead  time.Duration // by the first other member
	AllDead          time.Duration // by every one
	FalseDeaths      int           // a member held dead that is not troubled, by any
	Suspicions       uint64        // in the measured span, all members together
	OwnAge, AnyAge   time.Duration // of the newest report of a server that a member has itself, or knows of, on the mean
}

// Run runs a trial: the same one has the same outcome on any machine.
func (t Trial) Run() (Outcome, error) {
	o := Outcome{Suspected: -1, Dead: -1, AllDead: -1}
	s, err := New(Config{Servers: t.Servers, Hear: t.Hear, Members: t.Members, Limits: t.Limits, Seed: t.Seed, Net: func(_ Time, _, _ int, r *rand.Rand) []time.Duration {
		if r.Float64() < t.Loss {
			return nil
		}
		return []time.Duration{time.Millisecond/2 + time.Duration(r.Int64N(int64(max(t.Delay, 1))))}
	}})
	if err != nil {
		return o, err
	}
	const victim = 0 // and the troubled ones are the last
	s.Run(Epoch + t.Warm)
	began, killed, dead := s.Figures(), Time(0), make([]bool, t.Members)
	rode := s.Rode()
	s.Watch = func(at Time, observer int, c membership.Changed) {
		switch {
		case killed > 0 && c.Member == victim:
			if o.Suspected < 0 && (c.Is == membership.Suspect || c.Is == membership.Dead) {
				o.Suspected = at - killed
			}
			dead[observer] = c.Is == membership.Dead
			if o.Dead < 0 && dead[observer] {
				o.Dead = at - killed
			}
		case c.Is == membership.Dead && c.Member < t.Members-t.Troubled:
			o.FalseDeaths++
		}
	}
	troubled := func(do func(m int)) {
		for m := t.Members - t.Troubled; m < t.Members; m++ {
			do(m)
		}
	}
	troubled(func(m int) { s.Slow(m, t.Slow) })
	for end := s.Now() + t.Span; s.Now() < end; {
		if t.Every <= 0 {
			s.Run(end)
			break
		}
		s.Run(min(s.Now()+t.Every-t.Pause, end))
		troubled(s.Pause)
		s.Run(min(s.Now()+t.Pause, end))
		troubled(s.Resume)
	}
	f := s.Figures()
	per := float64(t.Members) * t.Span.Seconds()
	o.Datagrams, o.Bytes = float64(f.Sent-began.Sent)/per, float64(f.SentBytes-began.SentBytes)/per
	o.Suspicions = f.Suspicions - began.Suspicions
	o.Bytes += float64(s.Rode()-rode) / per
	o.OwnAge, o.AnyAge = s.Fresh()
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
	{"SWIM alone", func(l *membership.Limits) { l.Health, l.SuspicionMax, l.Stall = 0, 1, 0 }},
	{"with Lifeguard", func(l *membership.Limits) { l.Stall = 0 }},
	{"and own pauses noticed", func(*membership.Limits) {}},
}
