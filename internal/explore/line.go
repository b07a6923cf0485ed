package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/circuits"
	"elmseam/internal/core"
)

// The rules on circuits.
const (
	OneCall  Rule = "one-call"  // a circuit is used again only after the server's RLC: no IAM meets one in use
	NoMixUp  Rule = "no-mix-up" // what the server says of a call is never taken for news of another
	ComeBack Rule = "come-back" // no circuit is lost for good
)

// confirm is when a release that the server has not confirmed goes out again.
const confirm = 15 * time.Second

// The messages between the circuits and the server.
type signal uint8

const (
	iam signal = iota
	anm
	rel
	rlc
)

var signalNames = [...]string{"IAM", "ANM", "REL", "RLC"}

// message is on its way, with the call that its sender means, which nobody reads.
type message struct {
	Signal  signal
	Circuit uint16
	Call    core.ID
}

// farCircuit is a circuit as the server sees it.
type farCircuit struct {
	Call     core.ID // 0: free
	Answered bool
	Released bool // its own REL waits for our RLC
}

// line is the circuits to a server, that server, and what is on its way between the two.
type line struct {
	Config   Config
	Ours     *circuits.Circuits
	Now      time.Time
	Up       bool
	ToServer []message
	ToUs     []message
	Far      []farCircuit
	Started  int
	Left     int // faults to come
	Pauses   int // and stalls
	Waits    int // for releases that are overdue
	Seen     *Violation
}

// newLine is where the exploration of circuits begins: a connection is up, and all are free. Servers are circuits here.
func newLine(cfg Config) *line {
	ours := circuits.New(cfg.Servers)
	ours.Break(cfg.Without)
	return &line{
		Config: cfg, Ours: ours, Now: time.Unix(1_000_000, 0), Up: true,
		Far: make([]farCircuit, cfg.Servers), Left: cfg.Faults, Pauses: cfg.Pauses,
		Waits: 2 * (cfg.Calls + cfg.Faults + cfg.Pauses), // each can make a release or two overdue
	}
}

func (l *line) Digest() xxh3.Uint128  { return digestOf(l) }
func (l *line) violation() *Violation { return l.Seen }
func (l *line) clock() time.Duration  { return time.Duration(l.Now.UnixNano()) }
func (l *line) send(to *[]message, m message) {
	if l.Up {
		*to = append(*to, m)
	}
}

func (l *line) broken(r Rule, format string, args ...any) {
	if l.Seen == nil {
		l.Seen = &Violation{r, fmt.Sprintf(format, args...)}
	}
}

// Actions are all things that can happen next.
func (l *line) Actions() (all []Action) {
	add := func(k Kind, of int, fault bool) {
		if !fault || l.Left > 0 {
			all = append(all, Action{Kind: k, Of: uint8(of)})
		}
	}
	if l.Over() {
		return nil
	}
	if l.Up && l.Started < l.Config.Calls && l.Ours.Free() > 0 {
		add(seize, 0, false)
	}
	if l.Up { // without a connection the core ends nothing here
		for _, id := range l.Ours.Calls() {
			add(clear, int(id), false)
		}
	}
	if len(l.ToServer) > 0 {
		add(toServer, 0, false)
		if l.ToServer[0].Signal == rel {
			add(deaf, 0, true)
			add(mute, 0, true)
		}
	}
	if len(l.ToUs) > 0 {
		add(toUs, 0, false)
	}
	for i, f := range l.Far {
		if l.Up && f.Call != 0 && !f.Released {
			if !f.Answered {
				add(farAnswer, i, false)
			}
			add(farRelease, i, false)
		}
	}
	if l.Up {
		add(down, 0, true)
	} else {
		add(up, 0, false)
	}
	quiet := len(l.ToServer)+len(l.ToUs) == 0
	if l.Up && l.Ours.Free()+len(l.Ours.Calls()) < len(l.Far) && (quiet || l.Pauses > 0) && l.Waits > 0 {
		add(overdue, 0, false) // with something under way, the server has stalled for as long
	}
	return all
}

// Apply has something happen. It says no to what can't happen now.
func (l *line) Apply(a Action) bool {
	if !slices.Contains(l.Actions(), a) {
		return false
	}
	l.apply(a)
	return true
}

func (l *line) apply(a Action) {
	n := int(a.Of)
	switch a.Kind {
	case seize:
		l.Started++
		id := core.ID(l.Started)
		if cic, ok := l.Ours.Take(id); ok {
			l.send(&l.ToServer, message{iam, cic, id})
		}
	case clear:
		id := core.ID(n)
		if cic, ok := l.Ours.End(id, l.Now); ok {
			l.send(&l.ToServer, message{rel, cic, id})
		}
	case toServer, deaf, mute:
		m := l.ToServer[0]
		l.ToServer = l.ToServer[1:]
		if a.Kind != toServer {
			l.Left--
		}
		if a.Kind != deaf {
			l.atServer(m, a.Kind == mute)
		}
	case toUs:
		m := l.ToUs[0]
		l.ToUs = l.ToUs[1:]
		l.atOurs(m)
	case farAnswer:
		l.Far[n].Answered = true
		l.send(&l.ToUs, message{anm, uint16(n), l.Far[n].Call})
	case farRelease:
		l.Far[n].Released = true
		l.send(&l.ToUs, message{rel, uint16(n), l.Far[n].Call})
	case down:
		l.Left--
		l.Up, l.ToServer, l.ToUs = false, nil, nil
		l.Ours.Lost(l.Now)
	case up:
		l.Up = true
		for i := range l.Far { // a server's REL that was lost goes out again
			if l.Far[i].Released {
				l.send(&l.ToUs, message{rel, uint16(i), l.Far[i].Call})
			}
		}
		for _, cic := range l.Ours.Unconfirmed(l.Now) {
			l.send(&l.ToServer, message{rel, cic, 0})
		}
	case overdue:
		if len(l.ToServer)+len(l.ToUs) > 0 {
			l.Pauses--
		}
		l.Waits--
		l.Now = l.Now.Add(confirm)
		for _, cic := range l.Ours.Overdue(l.Now, confirm) {
			l.send(&l.ToServer, message{rel, cic, 0})
		}
	}
}

// atServer has the server hear a message.
func (l *line) atServer(m message, mute bool) {
	f := &l.Far[m.Circuit]
	switch m.Signal {
	case iam:
		if f.Call != 0 {
			l.broken(OneCall, "the IAM of call %d meets circuit %d in use for call %d", m.Call, m.Circuit, f.Call)
		}
		*f = farCircuit{Call: m.Call}
	case rel:
		if m.Call != 0 && f.Call != 0 && f.Call != m.Call {
			l.broken(NoMixUp, "the REL of call %d ends call %d", m.Call, f.Call)
		}
		*f = farCircuit{}
		if !mute {
			l.send(&l.ToUs, message{rlc, m.Circuit, m.Call})
		}
	case rlc:
		if f.Released {
			*f = farCircuit{}
		}
	}
}

// atOurs has the circuits hear a message.
func (l *line) atOurs(m message) {
	var id core.ID
	there := false
	switch m.Signal {
	case anm:
		id, there = l.Ours.Answered(m.Circuit)
	case rel:
		id, there = l.Ours.Released(m.Circuit)
		l.send(&l.ToServer, message{rlc, m.Circuit, m.Call})
	case rlc:
		l.Ours.Confirmed(m.Circuit, l.Now)
	}
	if there && id != m.Call {
		l.broken(NoMixUp, "the %s of call %d on circuit %d is taken for one of call %d", signalNames[m.Signal], m.Call, m.Circuit, id)
	}
}

// Over says whether every call is over and every circuit is free on both sides.
func (l *line) Over() bool {
	if l.Started < l.Config.Calls || l.Ours.Free() < len(l.Far) || len(l.ToServer)+len(l.ToUs) > 0 {
		return false
	}
	return !slices.ContainsFunc(l.Far, func(f farCircuit) bool { return f.Call != 0 })
}

// stuck judges a state in which nothing can happen any more.
func (l *line) stuck() {
	if !l.Over() {
		l.broken(ComeBack, "%d of %d circuits are free, and nothing can happen any more", l.Ours.Free(), len(l.Far))
	}
}
