package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
)

const (
	tierBurst  = 48 // datagrams that one event may cause, of a handful of members
	tierSlow   = 200 * time.Millisecond
	tierSettle = 25 * time.Second // without a disturbance, after the last
	tierEpoch  = 1_000_000 * time.Second
)

// DatagramLimits is a rule on all that members of a tier say: no datagram of more than 256 bytes, and no burst of them.
const DatagramLimits Invariant = "small"

// peerNode is a member's reducer, of whatever protocol.
type peerNode interface {
	datagram(now time.Duration, from int, data []byte) outcome
	due(now time.Duration, token any) outcome
}

// outcome is what a step of a node asks for.
type outcome struct {
	Sends  []flight
	Timers []tierTimer
}

// protocol is what members of a tier do, with its rules.
type protocol interface {
	start(t *tier, m int, life uint8) (peerNode, outcome) // a member starts, or starts anew
	begin(t *tier)                                        // all have come together, and the turmoil begins
	killed(t *tier, m int)
	stepped(t *tier, m int) // judges what a member holds now
	passed(t *tier)         // judges what is held when time has passed
	settled(t *tier)        // judges what is held in the end
}

// tierTimer is one that a member asked for.
type tierTimer struct {
	At    time.Duration
	Token any
}

// tierMember is a member with what waits for it.
type tierMember struct {
	Node             peerNode // nil: killed
	Paused           bool
	Timers           []tierTimer // as they came
	Held             []flight    // datagrams that came while it was paused
	DiedAt           time.Duration
	UndisturbedSince time.Duration // since when it has run undisturbed
	Incarnations     uint8
}

// flight is a datagram on its way.
type flight struct {
	From, To int
	Data     []byte
	At       time.Duration // of a slow one
}

// tier is all members of a tier, and the network between them. Datagrams take no time but those that are slow.
type tier struct {
	Config      Config
	Protocol    protocol
	Members     []tierMember
	InFlight    []flight // in order
	Delayed     []flight
	Now         time.Duration
	FaultsUntil time.Duration // until then there are disturbances
	FaultsLeft  int           // of them
	PausesLeft  int           // and members that may stand still
	LastFault   time.Duration // the last disturbance
	Settled     bool
	Violation   *Violation
}

// newTier begins with all members started at once, and come together. Servers are members here, and calls the half
// seconds of turmoil.
func newTier(cfg Config, p protocol, together time.Duration) *tier {
	t := &tier{Config: cfg, Protocol: p, Members: make([]tierMember, cfg.Servers), Now: tierEpoch, FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses}
	for m := range t.Members {
		t.start(m)
	}
	t.quietly(tierEpoch + together)
	p.begin(t)
	t.FaultsUntil = t.Now + time.Duration(cfg.Calls)*500*time.Millisecond
	return t
}

func (t *tier) Digest() xxh3.Uint128  { return digestOf(t) }
func (t *tier) violation() *Violation { return t.Violation }
func (t *tier) clock() time.Duration  { return t.Now }
func (t *tier) Terminal() bool        { return t.Settled }
func (t *tier) stuck()                {}

func (t *tier) broken(r Invariant, format string, args ...any) {
	if t.Violation == nil {
		t.Violation = &Violation{r, fmt.Sprintf(format, args...)}
	}
}

func (t *tier) start(m int) {
	e := &t.Members[m]
	life := e.Incarnations
	n, out := t.Protocol.start(t, m, life)
	*e = tierMember{Node: n, UndisturbedSince: t.Now, Incarnations: life + 1}
	t.carry(m, out)
}

// carry takes what a member asks for in, and judges the member.
func (t *tier) carry(m int, out outcome) {
	for i, f := range out.Sends {
		if len(f.Data) > datagram.MaxSize || i >= tierBurst {
			t.broken(DatagramLimits, "member %d sends %d bytes, as its datagram %d of one event", m, len(f.Data), i+1)
		}
		f.From = m
		t.InFlight = append(t.InFlight, f)
	}
	t.Members[m].Timers = append(t.Members[m].Timers, out.Timers...)
	t.Protocol.stepped(t, m)
}

// arrive has a datagram reach its member.
func (t *tier) arrive(f flight) {
	switch e := &t.Members[f.To]; {
	case e.Node == nil:
	case e.Paused:
		e.Held = append(e.Held, f)
	default:
		t.carry(f.To, e.Node.datagram(t.Now, f.From, f.Data))
	}
}

// first is the timer that is due first: the member and its place there; a slow datagram has member -1.
func (t *tier) first() (member, place int, at time.Duration) {
	member, place = -2, -1
	for m, e := range t.Members {
		if e.Node == nil || e.Paused {
			continue
		}
		for i, timer := range e.Timers {
			if member == -2 || timer.At < at {
				member, place, at = m, i, timer.At
			}
		}
	}
	for i, f := range t.Delayed {
		if member == -2 || f.At < at {
			member, place, at = -1, i, f.At
		}
	}
	return member, place, at
}

// tick lets time pass until something is due, and has it happen.
func (t *tier) tick() {
	m, i, at := t.first()
	t.Now = max(t.Now, at)
	switch {
	case m == -1:
		f := t.Delayed[i]
		t.Delayed = slices.Delete(t.Delayed, i, i+1)
		t.arrive(f)
	case m >= 0:
		e := &t.Members[m]
		due := e.Timers[i]
		e.Timers = slices.Delete(e.Timers, i, i+1)
		t.carry(m, e.Node.due(t.Now, due.Token))
	}
	t.Protocol.passed(t)
}

// quietly lets time pass with no disturbance.
func (t *tier) quietly(until time.Duration) {
	for t.Violation == nil {
		if len(t.InFlight) > 0 {
			f := t.InFlight[0]
			t.InFlight = t.InFlight[1:]
			t.arrive(f)
			continue
		}
		if m, _, at := t.first(); m == -2 || at > until {
			t.Now = max(t.Now, until)
			return
		}
		t.tick()
	}
}

// EnabledActions are all things that can happen next.
func (t *tier) EnabledActions() (all []Action) {
	add := func(k ActionKind, of int, fault bool) {
		if !fault || t.FaultsLeft > 0 {
			all = append(all, Action{Kind: k, Target: uint8(of)})
		}
	}
	switch {
	case t.Settled:
		return nil
	case t.Now >= t.FaultsUntil && len(t.InFlight) == 0:
		add(settle, 0, false)
		return all
	case len(t.InFlight) > 0:
		add(arrive, 0, false)
		add(lose, 0, true)
		add(delay, 0, true)
		return all
	}
	add(tick, 0, false)
	for m, e := range t.Members {
		switch {
		case e.Node == nil:
			add(start, m, false)
		case e.Paused:
			add(goOn, m, false)
		default:
			add(kill, m, true)
			if t.PausesLeft > 0 {
				add(halt, m, false)
			}
		}
	}
	return all
}

// TryApply has something happen. It says no to what can't happen now.
func (t *tier) TryApply(a Action) bool {
	if !slices.Contains(t.EnabledActions(), a) {
		return false
	}
	t.apply(a)
	return true
}

func (t *tier) apply(a Action) {
	m := int(a.Target)
	if a.Kind != arrive && a.Kind != tick && a.Kind != settle {
		t.LastFault = t.Now
	}
	switch a.Kind {
	case arrive, lose, delay:
		f := t.InFlight[0]
		t.InFlight = t.InFlight[1:]
		switch a.Kind {
		case arrive:
			t.arrive(f)
		case delay:
			f.At = t.Now + tierSlow
			t.Delayed = append(t.Delayed, f)
		}
	case tick:
		t.tick()
	case kill:
		t.Members[m] = tierMember{DiedAt: t.Now, Incarnations: t.Members[m].Incarnations}
		t.Protocol.killed(t, m)
	case start:
		t.start(m)
	case halt:
		t.PausesLeft--
		t.Members[m].Paused = true
	case goOn:
		t.goOn(m)
	case settle:
		t.settle()
	}
	if a.Kind == lose || a.Kind == delay || a.Kind == kill {
		t.FaultsLeft--
	}
}

// goOn lets a paused member go on: its overdue timers come first, in their order, then what it was sent.
func (t *tier) goOn(m int) {
	e := &t.Members[m]
	held := e.Held
	e.Paused, e.Held, e.UndisturbedSince = false, nil, t.Now
	for {
		if of, _, at := t.first(); of != m || at >= t.Now {
			break
		}
		t.tick()
	}
	t.InFlight = append(t.InFlight, held...)
}

// settle lets all that stands still go on and time pass with no disturbance, and judges what is held then.
func (t *tier) settle() {
	for m, e := range t.Members {
		if e.Paused {
			t.goOn(m)
		}
	}
	t.quietly(t.Now + tierSettle)
	t.Settled = true
	t.Protocol.settled(t)
}
