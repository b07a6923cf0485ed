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

// Small is a rule on all that members of a tier say: no datagram of more than 256 bytes, and no burst of them.
const Small Rule = "small"

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
	N      peerNode // nil: killed
	Paused bool
	Timers []tierTimer // as they came
	Held   []flight    // datagrams that came while it was paused
	Died   time.Duration
	Clear  time.Duration // since when it has run undisturbed
	Lives  uint8
}

// flight is a datagram on its way.
type flight struct {
	From, To int
	Data     []byte
	At       time.Duration // of a slow one
}

// tier is all members of a tier, and the network between them. Datagrams take no time but those that are slow.
type tier struct {
	Config   Config
	Protocol protocol
	Members  []tierMember
	Flights  []flight // in order
	Slow     []flight
	Now      time.Duration
	Turmoil  time.Duration // until then there are disturbances
	Left     int           // of them
	Pauses   int           // and members that may stand still
	Shaken   time.Duration // the last disturbance
	Settled  bool
	Seen     *Violation
}

// newTier begins with all members started at once, and come together. Servers are members here, and calls the half
// seconds of turmoil.
func newTier(cfg Config, p protocol, together time.Duration) *tier {
	t := &tier{Config: cfg, Protocol: p, Members: make([]tierMember, cfg.Servers), Now: tierEpoch, Left: cfg.Faults, Pauses: cfg.Pauses}
	for m := range t.Members {
		t.start(m)
	}
	t.quietly(tierEpoch + together)
	p.begin(t)
	t.Turmoil = t.Now + time.Duration(cfg.Calls)*500*time.Millisecond
	return t
}

func (t *tier) Digest() xxh3.Uint128  { return digestOf(t) }
func (t *tier) violation() *Violation { return t.Seen }
func (t *tier) clock() time.Duration  { return t.Now }
func (t *tier) Over() bool            { return t.Settled }
func (t *tier) stuck()                {}

func (t *tier) broken(r Rule, format string, args ...any) {
	if t.Seen == nil {
		t.Seen = &Violation{r, fmt.Sprintf(format, args...)}
	}
}

func (t *tier) start(m int) {
	e := &t.Members[m]
	life := e.Lives
	n, out := t.Protocol.start(t, m, life)
	*e = tierMember{N: n, Clear: t.Now, Lives: life + 1}
	t.carry(m, out)
}

// carry takes what a member asks for in, and judges the member.
func (t *tier) carry(m int, out outcome) {
	for i, f := range out.Sends {
		if len(f.Data) > datagram.Max || i >= tierBurst {
			t.broken(Small, "member %d sends %d bytes, as its datagram %d of one event", m, len(f.Data), i+1)
		}
		f.From = m
		t.Flights = append(t.Flights, f)
	}
	t.Members[m].Timers = append(t.Members[m].Timers, out.Timers...)
	t.Protocol.stepped(t, m)
}

// arrive has a datagram reach its member.
func (t *tier) arrive(f flight) {
	switch e := &t.Members[f.To]; {
	case e.N == nil:
	case e.Paused:
		e.Held = append(e.Held, f)
	default:
		t.carry(f.To, e.N.datagram(t.Now, f.From, f.Data))
	}
}

// first is the timer that is due first: the member and its place there; a slow datagram has member -1.
func (t *tier) first() (member, place int, at time.Duration) {
	member, place = -2, -1
	for m, e := range t.Members {
		if e.N == nil || e.Paused {
			continue
		}
		for i, timer := range e.Timers {
			if member == -2 || timer.At < at {
				member, place, at = m, i, timer.At
			}
		}
	}
	for i, f := range t.Slow {
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
		f := t.Slow[i]
		t.Slow = slices.Delete(t.Slow, i, i+1)
		t.arrive(f)
	case m >= 0:
		e := &t.Members[m]
		due := e.Timers[i]
		e.Timers = slices.Delete(e.Timers, i, i+1)
		t.carry(m, e.N.due(t.Now, due.Token))
	}
	t.Protocol.passed(t)
}

// quietly lets time pass with no disturbance.
func (t *tier) quietly(until time.Duration) {
	for t.Seen == nil {
		if len(t.Flights) > 0 {
			f := t.Flights[0]
			t.Flights = t.Flights[1:]
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

// Actions are all things that can happen next.
func (t *tier) Actions() (all []Action) {
	add := func(k Kind, of int, fault bool) {
		if !fault || t.Left > 0 {
			all = append(all, Action{Kind: k, Of: uint8(of)})
		}
	}
	switch {
	case t.Settled:
		return nil
	case t.Now >= t.Turmoil && len(t.Flights) == 0:
		add(settle, 0, false)
		return all
	case len(t.Flights) > 0:
		add(arrive, 0, false)
		add(lose, 0, true)
		add(delay, 0, true)
		return all
	}
	add(tick, 0, false)
	for m, e := range t.Members {
		switch {
		case e.N == nil:
			add(start, m, false)
		case e.Paused:
			add(goOn, m, false)
		default:
			add(kill, m, true)
			if t.Pauses > 0 {
				add(halt, m, false)
			}
		}
	}
	return all
}

// Apply has something happen. It says no to what can't happen now.
func (t *tier) Apply(a Action) bool {
	if !slices.Contains(t.Actions(), a) {
		return false
	}
	t.apply(a)
	return true
}

func (t *tier) apply(a Action) {
	m := int(a.Of)
	if a.Kind != arrive && a.Kind != tick && a.Kind != settle {
		t.Shaken = t.Now
	}
	switch a.Kind {
	case arrive, lose, delay:
		f := t.Flights[0]
		t.Flights = t.Flights[1:]
		switch a.Kind {
		case arrive:
			t.arrive(f)
		case delay:
			f.At = t.Now + tierSlow
			t.Slow = append(t.Slow, f)
		}
	case tick:
		t.tick()
	case kill:
		t.Members[m] = tierMember{Died: t.Now, Lives: t.Members[m].Lives}
		t.Protocol.killed(t, m)
	case start:
		t.start(m)
	case halt:
		t.Pauses--
		t.Members[m].Paused = true
	case goOn:
		t.goOn(m)
	case settle:
		t.settle()
	}
	if a.Kind == lose || a.Kind == delay || a.Kind == kill {
		t.Left--
	}
}

// goOn lets a paused member go on: its overdue timers come first, in their order, then what it was sent.
func (t *tier) goOn(m int) {
	e := &t.Members[m]
	held := e.Held
	e.Paused, e.Held, e.Clear = false, nil, t.Now
	for {
		if of, _, at := t.first(); of != m || at >= t.Now {
			break
		}
		t.tick()
	}
	t.Flights = append(t.Flights, held...)
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
