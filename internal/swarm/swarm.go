// Package swarm is a discrete-event simulation of a tier of membership reducers. The simulated network can lose, delay,
// duplicate and partition; members can be killed, restarted, paused and slowed down. The package does no I/O and reads no
// clock, so a run depends on its configuration only, not on the machine. The simulation reaches tiers of a thousand
// members, which are too many for processes on sockets.
package swarm

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"elmseam/internal/knowledge"
	"elmseam/internal/membership"
)

// Time is an instant of the simulated clock, counted like the clock of the members from the Unix epoch.
type Time = membership.Time

// Epoch is the instant at which a run begins. It is not zero because members take their incarnations from the clock.
const Epoch = Time(1_700_000_000 * int64(time.Second))

// Config describes a run.
type Config struct {
	Members int               // size of the tier
	Limits  membership.Limits // limits of the membership protocol, the same for all members
	Seed    uint64            // seed of all random numbers of the run
	// Delays returns the delays after which a datagram sent at the given instant arrives, one delay per copy: no delay
	// means that the datagram is lost, two that the datagram is duplicated. If Delays is nil, every datagram arrives once, after 1 ms.
	Delays func(at Time, from, to int, r *rand.Rand) []time.Duration
	// Servers is the number of servers whose load reports the members share by internal/knowledge; 0: knowledge is off.
	Servers int
	// ReportInterval is the mean time between two load reports that a member itself receives from a server.
	ReportInterval time.Duration
}

// event is an input to a member at a simulated instant.
type event struct {
	at           Time
	scheduledSeq uint64 // order of scheduling, which decides between events of one instant
	receiver     int    // index of the member that gets the event
	incarnation  int    // incarnation of the member that set the timer; unused for datagrams
	input        membership.Event
}

// eventQueue is a heap of events, ordered by time and then by order of scheduling.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].scheduledSeq < e[j].scheduledSeq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulatedMember is a member of the simulated tier, with its impairments.
type simulatedMember struct {
	reducer         *membership.Reducer // nil: the member is killed
	incarnation     int                 // number of starts so far
	paused          bool
	heldEvents      []event                          // events that came while the member was paused
	inputDelay      time.Duration                    // delay added to every datagram and timer of the member
	clockSkew       time.Duration                    // how far the member's clock is ahead of the simulated clock
	earlierCounters membership.Counters              // counters of earlier incarnations
	knowledge       *knowledge.Reducer               // nil: the members share no knowledge of servers
	observations    map[uint32]knowledge.Observation // own observations of servers, by server key
	observedAt      Time                             // when the observations were last updated
}

// Simulation is a run of a simulated tier.
type Simulation struct {
	cfg              Config
	now              Time
	lastScheduledSeq uint64 // sequence number of the event scheduled last
	queue            eventQueue
	members          []simulatedMember
	rng              *rand.Rand

	// OnChange, unless nil, is called for every change of another member's state in the view of a member.
	OnChange func(at Time, observer int, c membership.StateChanged)
}

// New returns a run at Epoch. All members start at that instant.
func New(cfg Config) (*Simulation, error) {
	if cfg.Delays == nil {
		cfg.Delays = func(Time, int, int, *rand.Rand) []time.Duration { return []time.Duration{time.Millisecond} }
	}
	s := &Simulation{cfg: cfg, now: Epoch, members: make([]simulatedMember, cfg.Members), rng: rand.New(rand.NewPCG(cfg.Seed, 0x737761))}
	for member := range s.members {
		if err := s.Start(member); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Now returns the simulated time.
func (s *Simulation) Now() Time { return s.now }

// Start starts a member, without any state from an earlier incarnation: the member has only its index, a seed and the clock.
// A member that is not killed has to be killed first, or its counters are lost.
func (s *Simulation) Start(member int) error {
	reducer, effects, err := membership.New(membership.Config{Self: member, TierSize: s.cfg.Members, Limits: s.cfg.Limits, Seed: s.rng.Uint64()}, s.now+s.members[member].clockSkew)
	if err != nil {
		return err
	}
	s.members[member].reducer = reducer
	s.members[member].incarnation++
	if err := s.startKnowledge(member); err != nil {
		return err
	}
	s.applyEffects(member, effects)
	return nil
}

// Kill ends a member without notice to the other members.
func (s *Simulation) Kill(member int) {
	simulated := &s.members[member]
	if simulated.reducer == nil {
		return
	}
	simulated.earlierCounters = addCounters(simulated.earlierCounters, simulated.reducer.Counters())
	simulated.reducer, simulated.paused, simulated.heldEvents = nil, false, nil
}

// Pause stops a member until Resume. Its events wait meanwhile. Once maxHeldEvents are held, further datagrams are
// dropped, as by the buffer of a socket.
func (s *Simulation) Pause(member int) { s.members[member].paused = true }

// maxHeldEvents is the number of held events from which on datagrams for a paused member are dropped.
const maxHeldEvents = 128

// Resume ends a member's pause. The next Run delivers the held timers first, then the held datagrams.
func (s *Simulation) Resume(member int) {
	simulated := &s.members[member]
	held := simulated.heldEvents
	simulated.paused, simulated.heldEvents = false, nil
	for _, wantTimers := range []bool{true, false} {
		for _, heldEvent := range held {
			if _, isTimer := heldEvent.input.(membership.TimerFired); isTimer == wantTimers {
				heldEvent.at = s.now
				s.schedule(heldEvent)
			}
		}
	}
}

// SetInputDelay sets the time by which every datagram and timer of a member that is scheduled after the call is delayed.
func (s *Simulation) SetInputDelay(member int, delay time.Duration) {
	s.members[member].inputDelay = delay
}

// SetClockSkew sets how far a member's clock is ahead of the simulated clock. Call it while the member is killed, so that the
// clock of a running member doesn't jump.
func (s *Simulation) SetClockSkew(member int, skew time.Duration) { s.members[member].clockSkew = skew }

// Inject passes an event to a member at the present instant, also while it is paused, unless the member is killed.
func (s *Simulation) Inject(member int, ev membership.Event) {
	if reducer := s.members[member].reducer; reducer != nil {
		s.applyEffects(member, reducer.Step(s.now+s.members[member].clockSkew, ev))
	}
}

// Running reports whether a member is neither killed nor paused.
func (s *Simulation) Running(member int) bool {
	return s.members[member].reducer != nil && !s.members[member].paused
}

// Member returns the reducer of a member, or nil if the member is killed.
func (s *Simulation) Member(member int) *membership.Reducer { return s.members[member].reducer }

// StateOf returns what the observer knows of another member. The observer must not be killed.
func (s *Simulation) StateOf(observer, subject int) membership.Member {
	return s.members[observer].reducer.Members()[subject]
}

// Counters returns the sums of the counters over all members and all their incarnations.
func (s *Simulation) Counters() (total membership.Counters) {
	for _, simulated := range s.members {
		total = addCounters(total, simulated.earlierCounters)
		if simulated.reducer != nil {
			total = addCounters(total, simulated.reducer.Counters())
		}
	}
	return total
}

// Run handles all events up to and including the given instant and advances the simulated time to that instant.
func (s *Simulation) Run(until Time) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(event)
		s.now = max(s.now, next.at)
		target := &s.members[next.receiver]
		_, isDatagram := next.input.(membership.Datagram)
		switch {
		case target.reducer == nil, !isDatagram && next.incarnation != target.incarnation:
		case target.paused:
			if !isDatagram || len(target.heldEvents) < maxHeldEvents {
				target.heldEvents = append(target.heldEvents, next)
			}
		default:
			s.applyEffects(next.receiver, target.reducer.Step(s.now+target.clockSkew, s.takePiggyback(next.receiver, next.input)))
		}
	}
	s.now = max(s.now, until)
}

// schedule adds an event to the queue, after all queued events of the same instant.
func (s *Simulation) schedule(e event) {
	s.lastScheduledSeq++
	e.scheduledSeq = s.lastScheduledSeq
	heap.Push(&s.queue, e)
}

// applyEffects schedules the datagrams and timers that a member asks for, and reports to OnChange the changes of other
// members' states in its view.
func (s *Simulation) applyEffects(member int, effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			data := s.appendPiggyback(member, e.Data)
			for _, delay := range s.cfg.Delays(s.now, member, e.To, s.rng) {
				s.schedule(event{at: s.now + delay + s.members[e.To].inputDelay, receiver: e.To, input: membership.Datagram{From: member, Data: data}})
			}
		case membership.Timer:
			s.schedule(event{at: e.At - s.members[member].clockSkew + s.members[member].inputDelay, receiver: member, incarnation: s.members[member].incarnation, input: membership.TimerFired{Token: e.Token}})
		case membership.StateChanged:
			if s.OnChange != nil && e.Member != member {
				s.OnChange(s.now, member, e)
			}
		}
	}
}

// addCounters returns two sets of counters added up, counter by counter.
func addCounters(a, b membership.Counters) membership.Counters {
	a.Probes += b.Probes
	a.IndirectProbes += b.IndirectProbes
	a.Acks += b.Acks
	a.Nacks += b.Nacks
	a.FailedProbes += b.FailedProbes
	a.Suspicions += b.Suspicions
	a.Deaths += b.Deaths
	a.Refutations += b.Refutations
	a.Stalls += b.Stalls
	a.Sent += b.Sent
	a.SentBytes += b.SentBytes
	a.Received += b.Received
	a.Malformed += b.Malformed
	a.VersionMismatches += b.VersionMismatches
	a.UnknownSenders += b.UnknownSenders
	return a
}
