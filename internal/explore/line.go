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
const releaseConfirmTimeout = 15 * time.Second

// The messages between the circuits and the server.
type messageType uint8

const (
	msgIAM messageType = iota
	msgANM
	msgREL
	msgRLC
)

var messageTypeNames = [...]string{"IAM", "ANM", "REL", "RLC"}

// message is on its way, with the call that its sender means, which nobody reads.
type message struct {
	Type    messageType
	Circuit uint16
	Call    core.ID
}

// farCircuit is a circuit as the server sees it.
type serverCircuit struct {
	Call      core.ID // 0: free
	Answered  bool
	AwaitsRLC bool // its own REL waits for our RLC
}

// line is the circuits to a server, that server, and what is on its way between the two.
type circuitModel struct {
	Config         Config
	Circuits       *circuits.Circuits
	Now            time.Time
	Connected      bool
	ToServer       []message
	FromServer     []message
	ServerCircuits []serverCircuit
	Started        int
	FaultsLeft     int // faults to come
	PausesLeft     int // and stalls
	OverdueLeft    int // for releases that are overdue
	Violation      *Violation
}

// newLine is where the exploration of circuits begins: a connection is up, and all are free. Servers are circuits here.
func newCircuitModel(cfg Config) *circuitModel {
	ownCircuits := circuits.New(cfg.Servers)
	ownCircuits.DisableGuards(cfg.DisabledCircuitGuards)
	return &circuitModel{
		Config: cfg, Circuits: ownCircuits, Now: time.Unix(1_000_000, 0), Connected: true,
		ServerCircuits: make([]serverCircuit, cfg.Servers), FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses,
		OverdueLeft: 2 * (cfg.Calls + cfg.Faults + cfg.Pauses), // each can make a release or two overdue
	}
}

func (c *circuitModel) Digest() xxh3.Uint128  { return digestOf(c) }
func (c *circuitModel) violation() *Violation { return c.Violation }
func (c *circuitModel) clock() time.Duration  { return time.Duration(c.Now.UnixNano()) }
func (c *circuitModel) send(queue *[]message, msg message) {
	if c.Connected {
		*queue = append(*queue, msg)
	}
}

func (c *circuitModel) recordViolation(invariant Invariant, format string, args ...any) {
	if c.Violation == nil {
		c.Violation = &Violation{invariant, fmt.Sprintf(format, args...)}
	}
}

// EnabledActions are all things that can happen next.
func (c *circuitModel) EnabledActions() (actions []Action) {
	add := func(kind ActionKind, target int, fault bool) {
		if !fault || c.FaultsLeft > 0 {
			actions = append(actions, Action{Kind: kind, Target: uint8(target)})
		}
	}
	if c.Terminal() {
		return nil
	}
	if c.Connected && c.Started < c.Config.Calls && c.Circuits.Free() > 0 {
		add(actSeizeCircuit, 0, false)
	}
	if c.Connected { // without a connection the core ends nothing here
		for _, id := range c.Circuits.Calls() {
			add(actClearCall, int(id), false)
		}
	}
	if len(c.ToServer) > 0 {
		add(actDeliverToServer, 0, false)
		if c.ToServer[0].Type == msgREL {
			add(actLoseREL, 0, true)
			add(actLoseRLC, 0, true)
		}
	}
	if len(c.FromServer) > 0 {
		add(actDeliverFromServer, 0, false)
	}
	for i, circuit := range c.ServerCircuits {
		if c.Connected && circuit.Call != 0 && !circuit.AwaitsRLC {
			if !circuit.Answered {
				add(actServerAnswer, i, false)
			}
			add(actServerRelease, i, false)
		}
	}
	if c.Connected {
		add(actConnDown, 0, true)
	} else {
		add(actConnUp, 0, false)
	}
	idle := len(c.ToServer)+len(c.FromServer) == 0
	if c.Connected && c.Circuits.Free()+len(c.Circuits.Calls()) < len(c.ServerCircuits) && (idle || c.PausesLeft > 0) && c.OverdueLeft > 0 {
		add(actReleaseOverdue, 0, false) // with something under way, the server has stalled for as long
	}
	return actions
}

// TryApply has something happen. It says no to what can't happen now.
func (c *circuitModel) TryApply(a Action) bool {
	if !slices.Contains(c.EnabledActions(), a) {
		return false
	}
	c.apply(a)
	return true
}

func (c *circuitModel) apply(a Action) {
	target := int(a.Target)
	switch a.Kind {
	case actSeizeCircuit:
		c.Started++
		id := core.ID(c.Started)
		if cic, ok := c.Circuits.Allocate(id); ok {
			c.send(&c.ToServer, message{msgIAM, cic, id})
		}
	case actClearCall:
		id := core.ID(target)
		if cic, ok := c.Circuits.Release(id, c.Now); ok {
			c.send(&c.ToServer, message{msgREL, cic, id})
		}
	case actDeliverToServer, actLoseREL, actLoseRLC:
		msg := c.ToServer[0]
		c.ToServer = c.ToServer[1:]
		if a.Kind != actDeliverToServer {
			c.FaultsLeft--
		}
		if a.Kind != actLoseREL {
			c.receiveAtServer(msg, a.Kind == actLoseRLC)
		}
	case actDeliverFromServer:
		msg := c.FromServer[0]
		c.FromServer = c.FromServer[1:]
		c.receiveFromServer(msg)
	case actServerAnswer:
		c.ServerCircuits[target].Answered = true
		c.send(&c.FromServer, message{msgANM, uint16(target), c.ServerCircuits[target].Call})
	case actServerRelease:
		c.ServerCircuits[target].AwaitsRLC = true
		c.send(&c.FromServer, message{msgREL, uint16(target), c.ServerCircuits[target].Call})
	case actConnDown:
		c.FaultsLeft--
		c.Connected, c.ToServer, c.FromServer = false, nil, nil
		c.Circuits.ConnLost(c.Now)
	case actConnUp:
		c.Connected = true
		for i := range c.ServerCircuits { // a server's REL that was lost goes out again
			if c.ServerCircuits[i].AwaitsRLC {
				c.send(&c.FromServer, message{msgREL, uint16(i), c.ServerCircuits[i].Call})
			}
		}
		for _, cic := range c.Circuits.Unconfirmed(c.Now) {
			c.send(&c.ToServer, message{msgREL, cic, 0})
		}
	case actReleaseOverdue:
		if len(c.ToServer)+len(c.FromServer) > 0 {
			c.PausesLeft--
		}
		c.OverdueLeft--
		c.Now = c.Now.Add(releaseConfirmTimeout)
		for _, cic := range c.Circuits.Overdue(c.Now, releaseConfirmTimeout) {
			c.send(&c.ToServer, message{msgREL, cic, 0})
		}
	}
}

// atServer has the server hear a message.
func (c *circuitModel) receiveAtServer(msg message, loseRLC bool) {
	circuit := &c.ServerCircuits[msg.Circuit]
	switch msg.Type {
	case msgIAM:
		if circuit.Call != 0 {
			c.recordViolation(OneCallPerCircuit, "the IAM of call %d meets circuit %d in use for call %d", msg.Call, msg.Circuit, circuit.Call)
		}
		*circuit = serverCircuit{Call: msg.Call}
	case msgREL:
		if msg.Call != 0 && circuit.Call != 0 && circuit.Call != msg.Call {
			c.recordViolation(SignalMatchesCall, "the REL of call %d ends call %d", msg.Call, circuit.Call)
		}
		*circuit = serverCircuit{}
		if !loseRLC {
			c.send(&c.FromServer, message{msgRLC, msg.Circuit, msg.Call})
		}
	case msgRLC:
		if circuit.AwaitsRLC {
			*circuit = serverCircuit{}
		}
	}
}

// atOurs has the circuits hear a message.
func (c *circuitModel) receiveFromServer(msg message) {
	var id core.ID
	found := false
	switch msg.Type {
	case msgANM:
		id, found = c.Circuits.Answered(msg.Circuit)
	case msgREL:
		id, found = c.Circuits.Released(msg.Circuit)
		c.send(&c.ToServer, message{msgRLC, msg.Circuit, msg.Call})
	case msgRLC:
		c.Circuits.Confirmed(msg.Circuit, c.Now)
	}
	if found && id != msg.Call {
		c.recordViolation(SignalMatchesCall, "the %s of call %d on circuit %d is taken for one of call %d", messageTypeNames[msg.Type], msg.Call, msg.Circuit, id)
	}
}

// Terminal says whether every call is over and every circuit is free on both sides.
func (c *circuitModel) Terminal() bool {
	if c.Started < c.Config.Calls || c.Circuits.Free() < len(c.ServerCircuits) || len(c.ToServer)+len(c.FromServer) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.ServerCircuits, func(circuit serverCircuit) bool { return circuit.Call != 0 })
}

// stuck judges a state in which nothing can happen any more.
func (c *circuitModel) checkDeadlock() {
	if !c.Terminal() {
		c.recordViolation(NoLostCircuit, "%d of %d circuits are free, and nothing can happen any more", c.Circuits.Free(), len(c.ServerCircuits))
	}
}
