package swarm

import (
	"math"
	"time"

	"elmseam/internal/datagram"
	"elmseam/internal/knowledge"
	"elmseam/internal/membership"
)

// startKnowledge creates the knowledge reducer of a member that starts, if the configuration has servers, and gives the
// member an observation of each server. The datagrams that knowledge itself sends after a start are not simulated. Server
// keys are the server numbers spread over 32 bits by a multiplicative hash.
func (s *Simulation) startKnowledge(member int) (err error) {
	simulated := &s.members[member]
	if s.cfg.Servers == 0 {
		return nil
	}
	simulated.knowledge, _, err = knowledge.New(knowledge.Config{Self: member, TierSize: s.cfg.Members, Limits: knowledge.Defaults(), Seed: s.rng.Uint64()}, s.now+simulated.clockSkew)
	simulated.observations, simulated.observedAt = make(map[uint32]knowledge.Observation), s.now
	for server := range s.cfg.Servers {
		simulated.observations[uint32(server)*2654435761] = knowledge.Observation{Rate: 1, TotalLines: 1000, MinSetUpTime: 20 * time.Millisecond}
	}
	return err
}

// appendPiggyback updates a member's own observations and returns the datagram with piggybacked knowledge added. Since the
// last update, a load report has come from each server with the probability of a Poisson process with the mean interval
// Config.ReportInterval, at a uniformly distributed time.
func (s *Simulation) appendPiggyback(member int, data []byte) []byte {
	simulated := &s.members[member]
	if simulated.knowledge == nil {
		return data
	}
	elapsed := s.now - simulated.observedAt
	for server := range s.cfg.Servers { // in a fixed order, so that runs are reproducible
		key := uint32(server) * 2654435761
		if s.rng.Float64() < 1-math.Exp(-float64(elapsed)/float64(s.cfg.ReportInterval)) {
			observation := simulated.observations[key]
			observation.HoldBackShare, observation.HoldBackShareAt = s.rng.Float64(), s.now-time.Duration(s.rng.Float64()*float64(elapsed))+simulated.clockSkew
			simulated.observations[key] = observation
		}
	}
	simulated.observedAt = s.now
	simulated.knowledge.Step(s.now+simulated.clockSkew, knowledge.LocalObservations{Servers: simulated.observations})
	return simulated.knowledge.AppendPiggyback(s.now+simulated.clockSkew, data)
}

// takePiggyback passes the knowledge piggybacked on a datagram to the member's knowledge reducer and returns the datagram
// without the piggybacked data. An event that is no datagram, or is for a member without knowledge, is returned unchanged.
func (s *Simulation) takePiggyback(member int, ev membership.Event) membership.Event {
	datagramEvent, isDatagram := ev.(membership.Datagram)
	if simulated := &s.members[member]; isDatagram && simulated.knowledge != nil {
		if bare, piggyback, err := datagram.SplitPiggyback(datagramEvent.Data); err == nil {
			datagramEvent.Data = bare
			if len(piggyback) > 0 {
				simulated.knowledge.Step(s.now+simulated.clockSkew, knowledge.Piggyback{From: datagramEvent.From, Data: piggyback})
			}
		}
		return datagramEvent
	}
	return ev
}

// ReportAges returns the mean age, over members and servers, of the newest load report that a member received from a server
// itself (own), and of the newest report that the member knows of, its own or one reported by another member (newest).
// Killed members, and servers of which a member has no report, are left out of the mean.
func (s *Simulation) ReportAges() (own, newest time.Duration) {
	var sums, counts [2]float64
	for _, simulated := range s.members {
		if simulated.reducer == nil || simulated.knowledge == nil {
			continue
		}
		for key, observation := range simulated.observations {
			reportedAt := simulated.knowledge.View(s.now+simulated.clockSkew, key).HoldBackShareAt
			for i, at := range []Time{observation.HoldBackShareAt, max(observation.HoldBackShareAt, reportedAt)} {
				if at > 0 {
					sums[i], counts[i] = sums[i]+float64(s.now+simulated.clockSkew-at), counts[i]+1
				}
			}
		}
	}
	return time.Duration(sums[0] / max(counts[0], 1)), time.Duration(sums[1] / max(counts[1], 1))
}

// PiggybackBytes returns the number of piggybacked bytes that the members, killed ones included, have sent, each in its latest
// incarnation.
func (s *Simulation) PiggybackBytes() (total uint64) {
	for _, simulated := range s.members {
		if simulated.knowledge != nil {
			total += simulated.knowledge.Counters().SentBytes
		}
	}
	return total
}
