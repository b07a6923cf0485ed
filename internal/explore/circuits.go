package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/circuits"
	"elmseam/internal/core"
)

// The invariants of circuits.
const (
	// OneCallPerCircuit: no IAM arrives on a circuit that the server has in use. A circuit that the softswitch has
	// released is therefore reused only after the server's RLC.
	OneCallPerCircuit Invariant = "one-call"
	// SignalMatchesCall: a message about one call is never attributed to another call, by the softswitch or by the server.
	SignalMatchesCall Invariant = "no-mix-up"
	// NoLostCircuit: every circuit becomes free again.
	NoLostCircuit Invariant = "come-back"
)

// releaseConfirmTimeout is the wait for an RLC after which a REL is sent again.
const releaseConfirmTimeout = 15 * time.Second

// messageType is the type of an ISUP message between the softswitch and the server.
type messageType uint8

// The message types.
const (
	msgIAM messageType = iota // initial address: sets up a call
	msgANM                    // answer
	msgREL                    // release
	msgRLC                    // release complete: confirms a REL
)

// messageTypeNames are the names of the types in the details of violations.
var messageTypeNames = [...]string{"IAM", "ANM", "REL", "RLC"}

// message is an ISUP message in transit.
type message struct {
	Type    messageType
	Circuit uint16
	Call    core.ID // call that the sender means, 0: unknown; read only to check the invariants, not by either side
}

// serverCircuit is the server's state of a circuit.
type serverCircuit struct {
	Call      core.ID // 0: free
	Answered  bool
	AwaitsRLC bool // the server has sent a REL and has no RLC yet
}

// circuitModel is the model of the circuits between the softswitch and one server, with the messages in transit.
type circuitModel struct {
	Config         Config
	Circuits       *circuits.Circuits // the code under test
	Now            time.Time
	Connected      bool
	ToServer       []message       // in transit to the server, in order
	FromServer     []message       // in transit from the server, in order
	ServerCircuits []serverCircuit // indexed by circuit
	Started        int             // calls started so far
	FaultsLeft     int             // faults that may still be injected
	PausesLeft     int             // stalls of the server that may still be injected
	OverdueLeft    int             // actReleaseOverdue actions that may still be applied
	Violation      *Violation
}

// newCircuitModel returns the initial state: the connection is established and all circuits are free. Config.Servers is
// the number of circuits.
func newCircuitModel(cfg Config) *circuitModel {
	ownCircuits := circuits.New(cfg.Servers)
	ownCircuits.DisableGuards(cfg.DisabledCircuitGuards)
	return &circuitModel{
		Config: cfg, Circuits: ownCircuits, Now: time.Unix(1_000_000, 0), Connected: true,
		ServerCircuits: make([]serverCircuit, cfg.Servers), FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses,
		OverdueLeft: 2 * (cfg.Calls + cfg.Faults + cfg.Pauses), // each call, fault and pause can make up to two releases overdue
	}
}

// Digest returns the digest of the whole model.
func (c *circuitModel) Digest() xxh3.Uint128     { return digestOf(c) }
func (c *circuitModel) violation() *Violation    { return c.Violation }
func (c *circuitModel) modelTime() time.Duration { return time.Duration(c.Now.UnixNano()) }

// enqueueMessage appends a message to a queue. Without a connection the message is lost.
func (c *circuitModel) enqueueMessage(queue *[]message, msg message) {
	if c.Connected {
		*queue = append(*queue, msg)
	}
}

// recordViolation records the violation of an invariant, unless an earlier one is recorded.
func (c *circuitModel) recordViolation(invariant Invariant, format string, args ...any) {
	if c.Violation == nil {
		c.Violation = &Violation{invariant, fmt.Sprintf(format, args...)}
	}
}

// EnabledActions returns the actions possible in the current state, always in the same order.
func (c *circuitModel) EnabledActions() (actions []Action) {
	addAction := func(kind ActionKind, target int, fault bool) {
		if !fault || c.FaultsLeft > 0 {
			actions = append(actions, Action{Kind: kind, Target: uint8(target)})
		}
	}
	if c.Terminal() {
		return nil
	}
	if c.Connected && c.Started < c.Config.Calls && c.Circuits.Free() > 0 {
		addAction(actSeizeCircuit, 0, false)
	}
	if c.Connected { // without a connection the core releases no call on a circuit
		for _, id := range c.Circuits.Calls() {
			addAction(actClearCall, int(id), false)
		}
	}
	if len(c.ToServer) > 0 {
		addAction(actDeliverToServer, 0, false)
		if c.ToServer[0].Type == msgREL {
			addAction(actLoseREL, 0, true)
			addAction(actLoseRLC, 0, true)
		}
	}
	if len(c.FromServer) > 0 {
		addAction(actDeliverFromServer, 0, false)
	}
	for i, circuit := range c.ServerCircuits {
		if c.Connected && circuit.Call != 0 && !circuit.AwaitsRLC {
			if !circuit.Answered {
				addAction(actServerAnswer, i, false)
			}
			addAction(actServerRelease, i, false)
		}
	}
	if c.Connected {
		addAction(actConnDown, 0, true)
	} else {
		addAction(actConnUp, 0, false)
	}
	idle := len(c.ToServer)+len(c.FromServer) == 0
	if c.Connected && c.Circuits.Free()+len(c.Circuits.Calls()) < len(c.ServerCircuits) && (idle || c.PausesLeft > 0) && c.OverdueLeft > 0 {
		// If messages are in transit, the server has stalled for that time, which counts as a pause.
		addAction(actReleaseOverdue, 0, false)
	}
	return actions
}

// TryApply applies an action if it is enabled in the current state, and reports whether it was.
func (c *circuitModel) TryApply(action Action) bool {
	if !slices.Contains(c.EnabledActions(), action) {
		return false
	}
	c.apply(action)
	return true
}

// apply applies an enabled action.
func (c *circuitModel) apply(action Action) {
	target := int(action.Target)
	switch action.Kind {
	case actSeizeCircuit:
		c.Started++
		id := core.ID(c.Started)
		if circuit, ok := c.Circuits.Allocate(id); ok {
			c.enqueueMessage(&c.ToServer, message{msgIAM, circuit, id})
		}
	case actClearCall:
		id := core.ID(target)
		if circuit, ok := c.Circuits.Release(id, c.Now); ok {
			c.enqueueMessage(&c.ToServer, message{msgREL, circuit, id})
		}
	case actDeliverToServer, actLoseREL, actLoseRLC:
		msg := c.ToServer[0]
		c.ToServer = c.ToServer[1:]
		if action.Kind != actDeliverToServer {
			c.FaultsLeft--
		}
		if action.Kind != actLoseREL {
			c.receiveAtServer(msg, action.Kind == actLoseRLC)
		}
	case actDeliverFromServer:
		msg := c.FromServer[0]
		c.FromServer = c.FromServer[1:]
		c.receiveFromServer(msg)
	case actServerAnswer:
		c.ServerCircuits[target].Answered = true
		c.enqueueMessage(&c.FromServer, message{msgANM, uint16(target), c.ServerCircuits[target].Call})
	case actServerRelease:
		c.ServerCircuits[target].AwaitsRLC = true
		c.enqueueMessage(&c.FromServer, message{msgREL, uint16(target), c.ServerCircuits[target].Call})
	case actConnDown:
		c.FaultsLeft--
		c.Connected, c.ToServer, c.FromServer = false, nil, nil
		c.Circuits.ConnLost(c.Now)
	case actConnUp:
		c.Connected = true
		// The server repeats each REL without RLC: the REL may have been lost with the old connection.
		for i := range c.ServerCircuits {
			if c.ServerCircuits[i].AwaitsRLC {
				c.enqueueMessage(&c.FromServer, message{msgREL, uint16(i), c.ServerCircuits[i].Call})
			}
		}
		for _, circuit := range c.Circuits.Unconfirmed(c.Now) {
			c.enqueueMessage(&c.ToServer, message{msgREL, circuit, 0})
		}
	case actReleaseOverdue:
		if len(c.ToServer)+len(c.FromServer) > 0 {
			c.PausesLeft--
		}
		c.OverdueLeft--
		c.Now = c.Now.Add(releaseConfirmTimeout)
		for _, circuit := range c.Circuits.Overdue(c.Now, releaseConfirmTimeout) {
			c.enqueueMessage(&c.ToServer, message{msgREL, circuit, 0})
		}
	}
}

// receiveAtServer applies a message at the server. With loseRLC, the RLC that answers a REL is lost.
func (c *circuitModel) receiveAtServer(msg message, loseRLC bool) {
	circuit := &c.ServerCircuits[msg.Circuit]
	switch msg.Type {
	case msgIAM:
		if circuit.Call != 0 {
			c.recordViolation(OneCallPerCircuit, "the IAM of call %d arrives on circuit %d, which is in use for call %d", msg.Call, msg.Circuit, circuit.Call)
		}
		*circuit = serverCircuit{Call: msg.Call}
	case msgREL:
		if msg.Call != 0 && circuit.Call != 0 && circuit.Call != msg.Call {
			c.recordViolation(SignalMatchesCall, "the REL of call %d releases call %d", msg.Call, circuit.Call)
		}
		*circuit = serverCircuit{}
		if !loseRLC {
			c.enqueueMessage(&c.FromServer, message{msgRLC, msg.Circuit, msg.Call})
		}
	case msgRLC:
		if circuit.AwaitsRLC {
			*circuit = serverCircuit{}
		}
	}
}

// receiveFromServer passes a message of the server to the circuits of the softswitch.
func (c *circuitModel) receiveFromServer(msg message) {
	var id core.ID
	found := false
	switch msg.Type {
	case msgANM:
		id, found = c.Circuits.Answered(msg.Circuit)
	case msgREL:
		id, found = c.Circuits.Released(msg.Circuit)
		c.enqueueMessage(&c.ToServer, message{msgRLC, msg.Circuit, msg.Call})
	case msgRLC:
		c.Circuits.Confirmed(msg.Circuit, c.Now)
	}
	if found && id != msg.Call {
		c.recordViolation(SignalMatchesCall, "the %s of call %d on circuit %d is attributed to call %d", messageTypeNames[msg.Type], msg.Call, msg.Circuit, id)
	}
}

// Terminal reports whether every call has ended, every circuit is free on both sides and no message is in transit.
func (c *circuitModel) Terminal() bool {
	if c.Started < c.Config.Calls || c.Circuits.Free() < len(c.ServerCircuits) || len(c.ToServer)+len(c.FromServer) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.ServerCircuits, func(circuit serverCircuit) bool { return circuit.Call != 0 })
}

// checkDeadlock checks a state without enabled actions.
func (c *circuitModel) checkDeadlock() {
	if !c.Terminal() {
		c.recordViolation(NoLostCircuit, "only %d of %d circuits are free, and no action is enabled", c.Circuits.Free(), len(c.ServerCircuits))
	}
}
