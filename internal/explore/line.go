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
	OneCallPerCircuit Invariant = "one-call"  // a circuit is used again only after the server's RLC: no IAM meets one in use
	SignalMatchesCall Invariant = "no-mix-up" // what the server says of a call is never taken for news of another
	NoLostCircuit     Invariant = "come-back" // no circuit is lost for good
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
	Config         Config
	Circuits       *circuits.Circuits
	Now            time.Time
	Connected      bool
	ToServer       []message
	FromServer     []message
	ServerCircuits []farCircuit
	Started        int
	FaultsLeft     int // faults to come
	PausesLeft     int // and stalls
	OverdueLeft    int // for releases that are overdue
	Violation      *Violation
}

// newLine is where the exploration of circuits begins: a connection is up, and all are free. Servers are circuits here.
func newLine(cfg Config) *line {
	ours := circuits.New(cfg.Servers)
	ours.DisableGuards(cfg.DisabledCircuitGuards)
	return &line{
		Config: cfg, Circuits: ours, Now: time.Unix(1_000_000, 0), Connected: true,
		ServerCircuits: make([]farCircuit, cfg.Servers), FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses,
		OverdueLeft: 2 * (cfg.Calls + cfg.Faults + cfg.Pauses), // each can make a release or two overdue
	}
}

func (l *line) Digest() xxh3.Uint128  { return digestOf(l) }
func (l *line) violation() *Violation { return l.Violation }
func (l *line) clock() time.Duration  { return time.Duration(l.Now.UnixNano()) }
func (l *line) send(to *[]message, m message) {
	if l.Connected {
		*to = append(*to, m)
	}
}

func (l *line) broken(r Invariant, format string, args ...any) {
	if l.Violation == nil {
		l.Violation = &Violation{r, fmt.Sprintf(format, args...)}
	}
}

// EnabledActions are all things that can happen next.
func (l *line) EnabledActions() (all []Action) {
	add := func(k ActionKind, of int, fault bool) {
		if !fault || l.FaultsLeft > 0 {
			all = append(all, Action{Kind: k, Target: uint8(of)})
		}
	}
	if l.Terminal() {
		return nil
	}
	if l.Connected && l.Started < l.Config.Calls && l.Circuits.Free() > 0 {
		add(seize, 0, false)
	}
	if l.Connected { // without a connection the core ends nothing here
		for _, id := range l.Circuits.Calls() {
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
	if len(l.FromServer) > 0 {
		add(toUs, 0, false)
	}
	for i, f := range l.ServerCircuits {
		if l.Connected && f.Call != 0 && !f.Released {
			if !f.Answered {
				add(farAnswer, i, false)
			}
			add(farRelease, i, false)
		}
	}
	if l.Connected {
		add(down, 0, true)
	} else {
		add(up, 0, false)
	}
	quiet := len(l.ToServer)+len(l.FromServer) == 0
	if l.Connected && l.Circuits.Free()+len(l.Circuits.Calls()) < len(l.ServerCircuits) && (quiet || l.PausesLeft > 0) && l.OverdueLeft > 0 {
		add(overdue, 0, false) // with something under way, the server has stalled for as long
	}
	return all
}

// TryApply has something happen. It says no to what can't happen now.
func (l *line) TryApply(a Action) bool {
	if !slices.Contains(l.EnabledActions(), a) {
		return false
	}
	l.apply(a)
	return true
}

func (l *line) apply(a Action) {
	n := int(a.Target)
	switch a.Kind {
	case seize:
		l.Started++
		id := core.ID(l.Started)
		if cic, ok := l.Circuits.Allocate(id); ok {
			l.send(&l.ToServer, message{iam, cic, id})
		}
	case clear:
		id := core.ID(n)
		if cic, ok := l.Circuits.Release(id, l.Now); ok {
			l.send(&l.ToServer, message{rel, cic, id})
		}
	case toServer, deaf, mute:
		m := l.ToServer[0]
		l.ToServer = l.ToServer[1:]
		if a.Kind != toServer {
			l.FaultsLeft--
		}
		if a.Kind != deaf {
			l.atServer(m, a.Kind == mute)
		}
	case toUs:
		m := l.FromServer[0]
		l.FromServer = l.FromServer[1:]
		l.atOurs(m)
	case farAnswer:
		l.ServerCircuits[n].Answered = true
		l.send(&l.FromServer, message{anm, uint16(n), l.ServerCircuits[n].Call})
	case farRelease:
		l.ServerCircuits[n].Released = true
		l.send(&l.FromServer, message{rel, uint16(n), l.ServerCircuits[n].Call})
	case down:
		l.FaultsLeft--
		l.Connected, l.ToServer, l.FromServer = false, nil, nil
		l.Circuits.ConnLost(l.Now)
	case up:
		l.Connected = true
		for i := range l.ServerCircuits { // a server's REL that was lost goes out again
			if l.ServerCircuits[i].Released {
				l.send(&l.FromServer, message{rel, uint16(i), l.ServerCircuits[i].Call})
			}
		}
		for _, cic := range l.Circuits.Unconfirmed(l.Now) {
			l.send(&l.ToServer, message{rel, cic, 0})
		}
	case overdue:
		if len(l.ToServer)+len(l.FromServer) > 0 {
			l.PausesLeft--
		}
		l.OverdueLeft--
		l.Now = l.Now.Add(confirm)
		for _, cic := range l.Circuits.Overdue(l.Now, confirm) {
			l.send(&l.ToServer, message{rel, cic, 0})
		}
	}
}

// atServer has the server hear a message.
func (l *line) atServer(m message, mute bool) {
	f := &l.ServerCircuits[m.Circuit]
	switch m.Signal {
	case iam:
		if f.Call != 0 {
			l.broken(OneCallPerCircuit, "the IAM of call %d meets circuit %d in use for call %d", m.Call, m.Circuit, f.Call)
		}
		*f = farCircuit{Call: m.Call}
	case rel:
		if m.Call != 0 && f.Call != 0 && f.Call != m.Call {
			l.broken(SignalMatchesCall, "the REL of call %d ends call %d", m.Call, f.Call)
		}
		*f = farCircuit{}
		if !mute {
			l.send(&l.FromServer, message{rlc, m.Circuit, m.Call})
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
		id, there = l.Circuits.Answered(m.Circuit)
	case rel:
		id, there = l.Circuits.Released(m.Circuit)
		l.send(&l.ToServer, message{rlc, m.Circuit, m.Call})
	case rlc:
		l.Circuits.Confirmed(m.Circuit, l.Now)
	}
	if there && id != m.Call {
		l.broken(SignalMatchesCall, "the %s of call %d on circuit %d is taken for one of call %d", signalNames[m.Signal], m.Call, m.Circuit, id)
	}
}

// Terminal says whether every call is over and every circuit is free on both sides.
func (l *line) Terminal() bool {
	if l.Started < l.Config.Calls || l.Circuits.Free() < len(l.ServerCircuits) || len(l.ToServer)+len(l.FromServer) > 0 {
		return false
	}
	return !slices.ContainsFunc(l.ServerCircuits, func(f farCircuit) bool { return f.Call != 0 })
}

// stuck judges a state in which nothing can happen any more.
func (l *line) stuck() {
	if !l.Terminal() {
		l.broken(NoLostCircuit, "%d of %d circuits are free, and nothing can happen any more", l.Circuits.Free(), len(l.ServerCircuits))
	}
}
