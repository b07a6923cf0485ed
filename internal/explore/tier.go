package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
	"elmseam/internal/membership"
)

// The rules on membership.
const (
	NotForGood Rule = "not-for-good" // a living member that can be heard is never held dead for good
	InTime     Rule = "in-time"      // a dead member is suspected by all living ones within the bound
	StaysDead  Rule = "stays-dead"   // what is dead is held dead in the end: nothing brings it back
	Careful    Rule = "careful"      // a member that sees no majority takes less of a cold server's budget
	Small      Rule = "small"        // no datagram of more than 256 bytes, and no burst of them
)

const (
	tierBurst  = 24 // datagrams that one event may cause, of a handful of members
	tierSlow   = 200 * time.Millisecond
	tierSettle = 25 * time.Second // without a disturbance, after the last
	tierEpoch  = membership.Time(1_000_000 * time.Second)
)

// tierLimits are the defaults, with suspicions that are soon over and times that are stretched less: deaths come within
// a few periods of turmoil.
func tierLimits() membership.Limits {
	l := membership.Defaults()
	l.Health, l.SuspicionMin, l.SuspicionMax = 2, 1, 2
	return l
}

// tierTimer is one that a member asked for.
type tierTimer struct {
	At    membership.Time
	Token membership.Token
}

// tierMember is a member with what waits for it.
type tierMember struct {
	R      *membership.Reducer // nil: killed
	Paused bool
	Timers []tierTimer // as they came
	Held   []flight    // datagrams that came while it was paused
	Died   membership.Time
	Clear  membership.Time // since when it has run undisturbed
	Lives  uint8
}

// flight is a datagram on its way.
type flight struct {
	From, To int
	Data     []byte
	At       membership.Time // of a slow one
}

// tier is all members of a tier, and the network between them. Datagrams take no time but those that are slow.
type tier struct {
	Config  Config
	Limits  membership.Limits
	Members []tierMember
	Flights []flight // in order
	Slow    []flight
	Now     membership.Time
	Turmoil membership.Time // until then there are disturbances
	Left    int             // of them
	Pauses  int             // and members that may stand still
	Shaken  membership.Time // the last disturbance
	Settled bool
	Seen    *Violation
}

// newTier begins with all members started at once. Servers are members here, and calls the periods of turmoil.
func newTier(cfg Config) *tier {
	l := tierLimits()
	t := &tier{Config: cfg, Limits: l, Members: make([]tierMember, cfg.Servers), Now: tierEpoch, Left: cfg.Faults, Pauses: cfg.Pauses}
	for m := range t.Members {
		t.start(m)
	}
	t.quietly(tierEpoch + 4*l.Period) // they come together
	t.Turmoil = t.Now + time.Duration(cfg.Calls)*l.Period
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
	r, out, err := membership.New(membership.Config{Self: m, Tier: len(t.Members), Limits: t.Limits,
		Seed: t.Config.Seed + uint64(m) + 100*uint64(e.Lives), Without: t.Config.Lacks}, t.Now)
	if err != nil {
		panic(err)
	}
	*e = tierMember{R: r, Clear: t.Now, Lives: e.Lives + 1}
	t.carry(m, out)
}

// carry takes a member's effects in.
func (t *tier) carry(m int, out []membership.Effect) {
	sent := 0
	for _, e := range out {
		switch e := e.(type) {
		case membership.Send:
			if sent++; len(e.Data) > datagram.Max || sent > tierBurst {
				t.broken(Small, "member %d sends %d bytes, as its datagram %d of one event", m, len(e.Data), sent)
			}
			t.Flights = append(t.Flights, flight{From: m, To: e.To, Data: e.Data})
		case membership.Timer:
			t.Members[m].Timers = append(t.Members[m].Timers, tierTimer{e.At, e.Token})
		}
	}
	if v := t.Members[m].R.View(); !v.Majority() && v.ColdShare() > float64(max(v.There, 1))/float64(v.Tier) {
		t.broken(Careful, "member %d sees %d of %d and takes %v", m, v.There, v.Tier, v.ColdShare())
	}
}

// arrive has a datagram reach its member.
func (t *tier) arrive(f flight) {
	switch e := &t.Members[f.To]; {
	case e.R == nil:
	case e.Paused:
		e.Held = append(e.Held, f)
	default:
		t.carry(f.To, e.R.Step(t.Now, membership.Datagram{From: f.From, Data: f.Data}))
	}
}

// first is the timer that is due first: the member and its place there; a slow datagram has member -1.
func (t *tier) first() (member, place int, at membership.Time) {
	member, place = -2, -1
	for m, e := range t.Members {
		if e.R == nil || e.Paused {
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
		t.carry(m, e.R.Step(t.Now, membership.Due{Token: due.Token}))
	}
	t.inTime()
}

// quietly lets time pass with no disturbance.
func (t *tier) quietly(until membership.Time) {
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

// inTime judges whether the dead are suspected by now: every living member probes each other one within two rounds, and
// a probe takes a period, each stretched by as much as a member's health may.
func (t *tier) inTime() {
	bound := time.Duration(2*len(t.Members)) * t.Limits.Period * time.Duration(t.Limits.Health+1)
	for d, e := range t.Members {
		if e.R != nil {
			continue
		}
		for o, by := range t.Members {
			if by.R == nil || by.Paused || t.Now < max(e.Died, by.Clear, t.Shaken)+bound {
				continue
			}
			if s := by.R.Members()[d].State; s.There() {
				t.broken(InTime, "member %d holds member %d %v, %v after its death", o, d, s, t.Now-e.Died)
			}
		}
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
		case e.R == nil:
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
	for o, by := range t.Members {
		if by.R == nil {
			continue
		}
		for m, e := range t.Members {
			switch s := by.R.Members()[m].State; {
			case e.R != nil && !s.There():
				t.broken(NotForGood, "%v after the last disturbance member %d holds member %d, which is there, %v", tierSettle, o, m, s)
			case e.R == nil && s != membership.Dead:
				t.broken(StaysDead, "%v after the last disturbance member %d holds member %d, which is dead, %v", tierSettle, o, m, s)
			}
		}
	}
}
