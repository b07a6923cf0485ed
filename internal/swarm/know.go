package swarm

import (
	"math"
	"time"

	"elmseam/internal/datagram"
	"elmseam/internal/knowledge"
	"elmseam/internal/membership"
)

// know begins a member's part in what the tier knows of servers. Datagrams of its own, after a start, are left out.
func (s *Simulation) know(m int) (err error) {
	e := &s.members[m]
	if s.cfg.Servers == 0 {
		return nil
	}
	e.knows, _, err = knowledge.New(knowledge.Config{Self: m, TierSize: s.cfg.Members, Limits: knowledge.Defaults(), Seed: s.rng.Uint64()}, s.now+e.skew)
	e.seen, e.seenAt = make(map[uint32]knowledge.Observation), s.now
	for v := range s.cfg.Servers {
		e.seen[uint32(v)*2654435761] = knowledge.Observation{Rate: 1, Lines: 1000, MinSetUpTime: 20 * time.Millisecond}
	}
	return err
}

// ride has a member's own reports, as they have come by now, ride on a datagram.
func (s *Simulation) ride(m int, data []byte) []byte {
	e := &s.members[m]
	if e.knows == nil {
		return data
	}
	since := s.now - e.seenAt
	for v := range s.cfg.Servers { // in order, so that a run is the same each time
		key := uint32(v) * 2654435761
		if s.rng.Float64() < 1-math.Exp(-float64(since)/float64(s.cfg.ReportInterval)) {
			seen := e.seen[key]
			seen.HoldBackShare, seen.HoldBackShareAt = s.rng.Float64(), s.now-time.Duration(s.rng.Float64()*float64(since))+e.skew
			e.seen[key] = seen
		}
	}
	e.seenAt = s.now
	e.knows.Step(s.now+e.skew, knowledge.LocalObservations{Servers: e.seen})
	return e.knows.AppendPiggyback(s.now+e.skew, data)
}

// rider takes what rides on a datagram off it.
func (s *Simulation) rider(m int, ev membership.Event) membership.Event {
	d, is := ev.(membership.Datagram)
	if e := &s.members[m]; is && e.knows != nil {
		if bare, rider, err := datagram.SplitPiggyback(d.Data); err == nil {
			d.Data = bare
			if len(rider) > 0 {
				e.knows.Step(s.now+e.skew, knowledge.Piggyback{From: d.From, Data: rider})
			}
		}
		return d
	}
	return ev
}

// ReportAges says how old, on the mean over members and servers, the newest report is that a member has of a server: its own,
// and any that it knows. Who has none is left out.
func (s *Simulation) ReportAges() (own, any time.Duration) {
	var sums, counts [2]float64
	for _, e := range s.members {
		if e.r == nil || e.knows == nil {
			continue
		}
		for key, seen := range e.seen {
			heard := e.knows.View(s.now+e.skew, key).HoldBackShareAt
			for i, at := range []Time{seen.HoldBackShareAt, max(seen.HoldBackShareAt, heard)} {
				if at > 0 {
					sums[i], counts[i] = sums[i]+float64(s.now+e.skew-at), counts[i]+1
				}
			}
		}
	}
	return time.Duration(sums[0] / max(counts[0], 1)), time.Duration(sums[1] / max(counts[1], 1))
}

// PiggybackBytes are the bytes that rode on datagrams, all members together.
func (s *Simulation) PiggybackBytes() (bytes uint64) {
	for _, e := range s.members {
		if e.knows != nil {
			bytes += e.knows.Counters().SentBytes
		}
	}
	return bytes
}
