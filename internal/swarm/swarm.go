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
	at   Time
	seq  uint64 // of events of one instant, as they came about
	to   int
	life int // of the member that a timer is of
	ev   membership.Event
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// member is one of the tier.
type member struct {
	r      *membership.Reducer // nil: killed
	life   int
	paused bool
	held   []event // what came while it was paused
	slow   time.Duration
	skew   time.Duration       // of its clock
	before membership.Counters // of earlier lives
	knows  *knowledge.Reducer  // nil: nothing is told of servers
	seen   map[uint32]knowledge.Observation
	seenAt Time
}

// Simulation is a run.
type Simulation struct {
	cfg     Config
	now     Time
	seq     uint64
	queue   events
	members []member
	rng     *rand.Rand

	// OnChange, unless nil, hears of every change of a state that a member holds of another.
	OnChange func(at Time, observer int, c membership.StateChanged)
}

// New begins a run: all members start at the same instant.
func New(cfg Config) (*Simulation, error) {
	if cfg.Delays == nil {
		cfg.Delays = func(Time, int, int, *rand.Rand) []time.Duration { return []time.Duration{time.Millisecond} }
	}
	s := &Simulation{cfg: cfg, now: Epoch, members: make([]member, cfg.Members), rng: rand.New(rand.NewPCG(cfg.Seed, 0x737761))}
	for m := range s.members {
		if err := s.Start(m); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Now is the run's time.
func (s *Simulation) Now() Time { return s.now }

// Start starts a member that was killed, as nothing but its number and the clock.
func (s *Simulation) Start(m int) error {
	r, out, err := membership.New(membership.Config{Self: m, TierSize: s.cfg.Members, Limits: s.cfg.Limits, Seed: s.rng.Uint64()}, s.now+s.members[m].skew)
	if err != nil {
		return err
	}
	s.members[m].r = r
	s.members[m].life++
	if err := s.know(m); err != nil {
		return err
	}
	s.carry(m, out)
	return nil
}

// Kill ends a member without a word.
func (s *Simulation) Kill(m int) {
	e := &s.members[m]
	if e.r == nil {
		return
	}
	e.before = add(e.before, e.r.Counters())
	e.r, e.paused, e.held = nil, false, nil
}

// Pause stops a member: what is for it waits, but for the datagrams, of which a socket holds only so many.
func (s *Simulation) Pause(m int) { s.members[m].paused = true }

// socketHolds is how many datagrams wait for a member that is stopped.
const socketHolds = 128

// Resume lets a stopped member go on: its timers that are overdue come first, then the datagrams.
func (s *Simulation) Resume(m int) {
	e := &s.members[m]
	held := e.held
	e.paused, e.held = false, nil
	for _, timers := range []bool{true, false} {
		for _, h := range held {
			if _, due := h.ev.(membership.TimerFired); due == timers {
				h.at = s.now
				s.push(h)
			}
		}
	}
}

// Slow has a member take in each event so much later.
func (s *Simulation) Slow(m int, by time.Duration) { s.members[m].slow = by }

// Skew has a member's clock be off by so much from its next start on.
func (s *Simulation) Skew(m int, by time.Duration) { s.members[m].skew = by }

// Inject hands a member an event of its own.
func (s *Simulation) Inject(m int, ev membership.Event) {
	if r := s.members[m].r; r != nil {
		s.carry(m, r.Step(s.now+s.members[m].skew, ev))
	}
}

// Running says whether a member is there: neither killed nor stopped.
func (s *Simulation) Running(m int) bool { return s.members[m].r != nil && !s.members[m].paused }

// Member is a member's reducer; nil if it is killed.
func (s *Simulation) Member(m int) *membership.Reducer { return s.members[m].r }

// StateOf is what one member holds of another.
func (s *Simulation) StateOf(observer, of int) membership.Member {
	return s.members[observer].r.Members()[of]
}

// Counters are the sums over all members and lives.
func (s *Simulation) Counters() (f membership.Counters) {
	for _, e := range s.members {
		f = add(f, e.before)
		if e.r != nil {
			f = add(f, e.r.Counters())
		}
	}
	return f
}

// Run lets time pass up to an instant.
func (s *Simulation) Run(until Time) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = max(s.now, e.at)
		to := &s.members[e.to]
		_, datagram := e.ev.(membership.Datagram)
		switch {
		case to.r == nil, !datagram && e.life != to.life:
		case to.paused:
			if !datagram || len(to.held) < socketHolds {
				to.held = append(to.held, e)
			}
		default:
			s.carry(e.to, to.r.Step(s.now+to.skew, s.rider(e.to, e.ev)))
		}
	}
	s.now = max(s.now, until)
}

func (s *Simulation) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.queue, e)
}

// carry carries a member's effects out.
func (s *Simulation) carry(m int, out []membership.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case membership.Send:
			data := s.ride(m, e.Data)
			for _, d := range s.cfg.Delays(s.now, m, e.To, s.rng) {
				s.push(event{at: s.now + d + s.members[e.To].slow, to: e.To, ev: membership.Datagram{From: m, Data: data}})
			}
		case membership.Timer:
			s.push(event{at: e.At - s.members[m].skew + s.members[m].slow, to: m, life: s.members[m].life, ev: membership.TimerFired{Token: e.Token}})
		case membership.StateChanged:
			if s.OnChange != nil && e.Member != m {
				s.OnChange(s.now, m, e)
			}
		}
	}
}

func add(a, b membership.Counters) membership.Counters {
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
