// Package swarm runs a tier of membership reducers in discrete-event time, with a network that loses, delays and cuts,
// and members that are killed, started anew, stopped and slowed. It does no I/O and reads no clock: a run is a function of
// its configuration, whatever the machine. It measures what processes on sockets can't show at a thousand members.
package swarm

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"elmseam/internal/knowledge"
	"elmseam/internal/membership"
)

// Time is an instant of the run's clock, as the members see it.
type Time = membership.Time

// Epoch is the instant at which a run begins: members take their incarnations from the clock.
const Epoch = Time(1_700_000_000 * int64(time.Second))

// Config is a run's.
type Config struct {
	Members int
	Limits  membership.Limits
	Seed    uint64
	// Delays says after which delays a datagram arrives: none, it is lost; two, it is doubled. Nil: after 1 ms.
	Delays func(at Time, from, to int, r *rand.Rand) []time.Duration
	// Servers are those of which each member tells the others (internal/knowledge); 0: nothing is told. Hear is how long
	// passes, on the mean, between two reports that a member has of one.
	Servers        int
	ReportInterval time.Duration
}

// what happens next.
type event struct {
	at          Time
	seq         uint64 // of events of one instant, as they came about
	to          int
	incarnation int // of the member that a timer is of
	input       membership.Event
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// member is one of the tier.
type memberState struct {
	reducer         *membership.Reducer // nil: killed
	incarnation     int
	paused          bool
	waiting         []event // what came while it was paused
	inputDelay      time.Duration
	clockSkew       time.Duration       // of its clock
	earlierCounters membership.Counters // of earlier lives
	knowledge       *knowledge.Reducer  // nil: nothing is told of servers
	observations    map[uint32]knowledge.Observation
	observedAt      Time
}

// Simulation is a run.
type Simulation struct {
	cfg     Config
	now     Time
	seq     uint64
	queue   eventQueue
	members []memberState
	rng     *rand.Rand

	// OnChange, unless nil, hears of every change of a state that a member holds of another.
	OnChange func(at Time, observer int, c membership.StateChanged)
}

// New begins a run: all members start at the same instant.
func New(cfg Config) (*Simulation, error) {
	if cfg.Delays == nil {
		cfg.Delays = func(Time, int, int, *rand.Rand) []time.Duration { return []time.Duration{time.Millisecond} }
	}
	s := &Simulation{cfg: cfg, now: Epoch, members: make([]memberState, cfg.Members), rng: rand.New(rand.NewPCG(cfg.Seed, 0x737761))}
	for member := range s.members {
		if err := s.Start(member); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Now is the run's time.
func (s *Simulation) Now() Time { return s.now }

// Start starts a member that was killed, as nothing but its number and the clock.
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

// Kill ends a member without a word.
func (s *Simulation) Kill(member int) {
	state := &s.members[member]
	if state.reducer == nil {
		return
	}
	state.earlierCounters = addCounters(state.earlierCounters, state.reducer.Counters())
	state.reducer, state.paused, state.waiting = nil, false, nil
}

// Pause stops a member: what is for it waits, but for the datagrams, of which a socket holds only so many.
func (s *Simulation) Pause(member int) { s.members[member].paused = true }

// socketHolds is how many datagrams wait for a member that is stopped.
const maxWaitingDatagrams = 128

// Resume lets a stopped member go on: its timers that are overdue come first, then the datagrams.
func (s *Simulation) Resume(member int) {
	state := &s.members[member]
	waiting := state.waiting
	state.paused, state.waiting = false, nil
	for _, wantTimers := range []bool{true, false} {
		for _, waitingEvent := range waiting {
			if _, isTimer := waitingEvent.input.(membership.TimerFired); isTimer == wantTimers {
				waitingEvent.at = s.now
				s.schedule(waitingEvent)
			}
		}
	}
}

// Slow has a member take in each event so much later.
func (s *Simulation) Slow(member int, delay time.Duration) { s.members[member].inputDelay = delay }

// Skew has a member's clock be off by so much from its next start on.
func (s *Simulation) Skew(member int, skew time.Duration) { s.members[member].clockSkew = skew }

// Inject hands a member an event of its own.
func (s *Simulation) Inject(member int, ev membership.Event) {
	if reducer := s.members[member].reducer; reducer != nil {
		s.applyEffects(member, reducer.Step(s.now+s.members[member].clockSkew, ev))
	}
}

// Running says whether a member is there: neither killed nor stopped.
func (s *Simulation) Running(member int) bool {
	return s.members[member].reducer != nil && !s.members[member].paused
}

// Member is a member's reducer; nil if it is killed.
func (s *Simulation) Member(member int) *membership.Reducer { return s.members[member].reducer }

// StateOf is what one member holds of another.
func (s *Simulation) StateOf(observer, subject int) membership.Member {
	return s.members[observer].reducer.Members()[subject]
}

// Counters are the sums over all members and lives.
func (s *Simulation) Counters() (total membership.Counters) {
	for _, state := range s.members {
		total = addCounters(total, state.earlierCounters)
		if state.reducer != nil {
			total = addCounters(total, state.reducer.Counters())
		}
	}
	return total
}

// Run lets time pass up to an instant.
func (s *Simulation) Run(until Time) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(event)
		s.now = max(s.now, next.at)
		target := &s.members[next.to]
		_, isDatagram := next.input.(membership.Datagram)
		switch {
		case target.reducer == nil, !isDatagram && next.incarnation != target.incarnation:
		case target.paused:
			if !isDatagram || len(target.waiting) < maxWaitingDatagrams {
				target.waiting = append(target.waiting, next)
			}
		default:
			s.applyEffects(next.to, target.reducer.Step(s.now+target.clockSkew, s.takePiggyback(next.to, next.input)))
		}
	}
	s.now = max(s.now, until)
}

func (s *Simulation) schedule(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// carry carries a member's effects out.
func (s *Simulation) applyEffects(member int, effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			data := s.appendPiggyback(member, e.Data)
			for _, delay := range s.cfg.Delays(s.now, member, e.To, s.rng) {
				s.schedule(event{at: s.now + delay + s.members[e.To].inputDelay, to: e.To, input: membership.Datagram{From: member, Data: data}})
			}
		case membership.Timer:
			s.schedule(event{at: e.At - s.members[member].clockSkew + s.members[member].inputDelay, to: member, incarnation: s.members[member].incarnation, input: membership.TimerFired{Token: e.Token}})
		case membership.StateChanged:
			if s.OnChange != nil && e.Member != member {
				s.OnChange(s.now, member, e)
			}
		}
	}
}

func addCounters(a, b membership.Counters) membership.Counters {
	a.Probes += b.Probes
	a.Indirect += b.Indirect
	a.Acks += b.Acks
	a.Nacks += b.Nacks
	a.Failed += b.Failed
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
