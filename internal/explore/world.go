// Package explore runs the real reducer, with the real decision module, through everything that can happen to a few
// calls at a few servers, and judges what it asks of its sockets by the rules.
package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"elmseam"
	"elmseam/internal/budget"
	"elmseam/internal/circuits"
	"elmseam/internal/core"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// Config says what is explored.
type Config struct {
	Model    string        `json:"model,omitempty"` // Calls, if empty
	Servers  int           `json:"servers"`         // or circuits
	Calls    int           `json:"calls"`
	Attempts int           `json:"attempts"` // that a call may have
	Faults   int           `json:"faults"`   // disturbances in all; see Kind
	Pauses   int           `json:"pauses"`   // in which time passes without a timer being due, or the server stalls
	GiveUp   time.Duration `json:"wait"`     // that callers wait
	Seed     uint64        `json:"seed"`     // of the module

	CoreHook              core.Hook      `json:"-"` // breaks the core on purpose
	DisabledCircuitGuards circuits.Guard `json:"-"` // and the circuits

	DisabledMembershipGuards  membership.Guard  `json:"-"` // and the members
	DisabledMaintenanceGuards maintenance.Guard `json:"-"` // and their maintenance
	DisabledBudgetGuards      budget.Guard      `json:"-"` // and their parts of budgets
}

// Check names the first figure that is out of range.
func (c Config) Check() error {
	for _, f := range []struct {
		name              string
		value, least, top int
	}{{"servers", c.Servers, 1, 4}, {"calls", c.Calls, 1, 8}, {"attempts", c.Attempts, 1, 8}, {"faults", c.Faults, 0, 16}, {"pauses", c.Pauses, 0, 16}} {
		if f.value < f.least || f.value > f.top {
			return fmt.Errorf("%s: %d, between %d and %d is possible", f.name, f.value, f.least, f.top)
		}
	}
	if models := []string{"", ModelCalls, ModelCircuits, ModelMembership, ModelMaintenance, ModelBudget}; !slices.Contains(models, c.Model) {
		return fmt.Errorf("model: %q, there are %s", c.Model, strings.Join(models[1:], ", "))
	}
	if c.GiveUp < 100*time.Millisecond || c.GiveUp > time.Minute {
		return fmt.Errorf("wait: %v", c.GiveUp)
	}
	return nil
}

const (
	releaseGuardTime = 200 * time.Millisecond
	modelProtocol    = core.Protocol("f")
	pauseDuration    = 120 * time.Millisecond // over half of the gap, and over the time in which a caller may come again
	timerHorizon     = 2 * time.Second        // past the last caller's time: timers that are due later are left alone
)

// Where an attempt is.
type attemptState uint8

const (
	attemptNone        attemptState = iota
	attemptQueued                   // in the outbox: it can be taken back
	attemptOutstanding              // at the server
	attemptEnding                   // its end waits to be written
)

const (
	phaseReady    = elmseam.Ready
	phaseDraining = elmseam.Draining
	phaseGone     = elmseam.Gone
)

// Call is a call as the world around the core sees it.
type Call struct {
	Started             bool
	CallerConn          core.ConnID
	Cell                int
	Deadline            core.Time
	State               attemptState
	Conn                core.ConnID // that its attempt went out on
	Server              int         // of its attempt, or where it stands
	Established         bool
	LateAnswerFrom      int // a server, from 1, that may still answer an attempt that is over
	RepeatedReleaseFrom int // a server, from 1, that may say its release again, or has said it when it hears of ours
	Repeated            bool
	Account             account
}

// Server is a server as the world sees it.
type Server struct {
	Phase       elmseam.Phase
	Incarnation int // how often it has started anew
	StartedAt   core.Time
	Dials       int // connections on their way
}

type conn struct {
	ID     core.ConnID
	Server int
}

type timer struct {
	At    core.Time
	Token core.Token
}

// CallModel is the core, and all around it that matters.
type CallModel struct {
	Config          Config
	Core            *core.Core
	Now, TimerLimit core.Time
	Calls           []Call
	Servers         []Server
	ServerConns     []conn
	CallerConns     []core.ConnID // callers' connections
	NextConn        core.ConnID
	Timers          []timer // as they came
	FaultsLeft      int     // faults to come
	PausesLeft      int     // and pauses
	Reloaded        bool
	Draining        bool
	Violation       *Violation
}

func (c Config) settings(attempts int) elmseam.Settings {
	return elmseam.Settings{
		Classes:     []elmseam.Class{{Aim: c.GiveUp / 2, Deadline: c.GiveUp, Worth: 1}},
		MaxAttempts: attempts, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		RetransmitInterval: 500 * time.Millisecond, ReleaseGuard: releaseGuardTime,
		ColdInitialShare: 0.3, ColdRamp: 14 * time.Second, OverloadMultiple: 2.5, OverloadAfter: time.Second,
	}
}

func (c Config) limits() core.Limits {
	const ms = time.Millisecond
	return core.Limits{
		AnswerMargin: 15 * ms, Rebind: 100 * ms, MinRedial: 100 * ms, MaxRedial: 500 * ms, UnresponsiveAfter: 100 * ms, MaxRemovedServers: 4, MaxPendingReleases: 8,
		ServerLostAfter: 5 * time.Second, DrainGrace: 500 * ms, DrainRefuseAfter: 1500 * ms, DrainCheckInterval: time.Minute, DrainIdle: 20 * ms,
		Transient: map[core.Protocol]bool{}, StopGrace: 700 * ms, MaxStopWait: time.Minute,
		MaxCallerConns: 8, MaxOpen: 100, MaxCallBytes: 1 << 20, RetryHint: 100 * ms, EndedCallTTL: time.Minute, MaxEndedCalls: 100, MaxRoutes: 4,
	}
}

// NewCallModel is where every exploration begins: servers that are ready and reached, a caller, and no call.
func NewCallModel(cfg Config) (*CallModel, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	reducer, err := core.New(cfg.settings(cfg.Attempts), cfg.Seed, cfg.limits())
	if err != nil {
		return nil, err
	}
	reducer.SetHook(cfg.CoreHook)
	model := &CallModel{Config: cfg, Core: reducer, Now: time.Hour, NextConn: 1, FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses}
	model.TimerLimit = model.Now + cfg.GiveUp + timerHorizon
	model.Calls, model.Servers = make([]Call, cfg.Calls), make([]Server, cfg.Servers)
	model.connectCaller()
	list := core.List{Full: true}
	for s := range model.Servers {
		model.Servers[s].Phase = phaseReady
		list.Servers = append(list.Servers, model.listEntry(s))
	}
	model.step(list)
	for s := range model.Servers {
		model.connectServer(s)
	}
	return model, model.err()
}

func (m *CallModel) err() error {
	if m.Violation != nil {
		return m.Violation
	}
	return nil
}

func serverName(s int) string { return string(rune('a' + s)) }

func (m *CallModel) address(s int) string {
	return fmt.Sprintf("%s%d:1", serverName(s), m.Servers[s].Incarnation)
}

func (m *CallModel) listEntry(index int) core.Server {
	server := &m.Servers[index]
	return core.Server{Name: serverName(index), Address: m.address(index), Protocol: modelProtocol, Cell: index, Phase: server.Phase, Started: server.StartedAt}
}

func (m *CallModel) newConnID() core.ConnID {
	m.NextConn++
	return m.NextConn - 1
}

func (m *CallModel) connectCaller() core.ConnID {
	connID := m.newConnID()
	m.CallerConns = append(m.CallerConns, connID)
	m.step(core.CallerUp{Conn: connID, Protocol: modelProtocol})
	return connID
}

// connect completes a connection to a server.
func (m *CallModel) connectServer(server int) {
	if m.Servers[server].Dials > 0 {
		m.Servers[server].Dials--
	}
	connID := m.newConnID()
	m.ServerConns = append(m.ServerConns, conn{connID, server})
	m.step(core.ServerUp{Server: serverName(server), Address: m.address(server), Conn: connID})
}

func (m *CallModel) callerConnected(connID core.ConnID) bool {
	return slices.Contains(m.CallerConns, connID)
}

func (m *CallModel) findConn(connID core.ConnID) *conn {
	for i := range m.ServerConns {
		if m.ServerConns[i].ID == connID {
			return &m.ServerConns[i]
		}
	}
	return nil
}

// to is a connection to a server on which it can say something, 0: none.
func (m *CallModel) connTo(server int) core.ConnID {
	for _, c := range m.ServerConns {
		if c.Server == server {
			return c.ID
		}
	}
	return 0
}

// id is a call's id, and callOf the call of one.
func callID(i int) core.ID { return core.ID(i + 1) }

func (m *CallModel) callIndex(id core.ID) int {
	if i := int(id) - 1; i >= 0 && i < len(m.Calls) {
		return i
	}
	return -1
}

// step tells the core of an event and carries out what it asks for.
func (m *CallModel) step(ev core.Event) {
	events := []core.Event{ev}
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		for _, e := range m.Core.Step(m.Now, ev) {
			events = append(events, m.applyEffect(e)...)
		}
	}
	m.Timers = slices.DeleteFunc(m.Timers, func(t timer) bool { return m.Core.TimerObsolete(t.Token) })
}

// carry is the world's side of an effect. What it knows at once it returns, as carriers do.
func (m *CallModel) applyEffect(e core.Effect) (events []core.Event) {
	switch e := e.(type) {
	case core.Timer:
		if e.At <= m.TimerLimit {
			m.Timers = append(m.Timers, timer{e.At, e.Token})
		}
	case core.Dial:
		m.Servers[e.Server[0]-'a'].Dials++
	case core.CloseConn:
		m.closeConn(e.To)
	case core.GracefulClose:
		m.closeConn(e.To)
	case core.Offer:
		index, conn := m.callIndex(e.ID), m.findConn(e.To)
		m.checkOffer(index, conn)
		if call := &m.Calls[index]; conn != nil {
			call.State, call.Conn, call.Server = attemptQueued, e.To, conn.Server
		}
	case core.End:
		events = m.applyEnd(e)
	case core.Withdraw:
		for index := range m.Calls {
			if call := &m.Calls[index]; call.State == attemptQueued && call.Conn == e.To {
				events = append(events, m.retractOffer(index))
			}
		}
	case core.Answered:
		m.checkFinalAnswer(m.callIndex(e.ID), e.To, true)
	case core.Rejected:
		m.checkFinalAnswer(m.callIndex(e.ID), e.To, false)
	case core.Released:
		m.checkRelease(m.callIndex(e.ID), e.To)
	case core.ForgetCall:
		m.Calls[m.callIndex(e.ID)].Account.CallerGone = true
	case core.Violation:
		if m.Config.CoreHook.Decide == nil && m.Config.CoreHook.SuppressEvent == nil {
			m.recordViolation(NoGuardTripped, "call %d: %s", m.callIndex(e.ID), e.Rule)
		}
	}
	return events
}

// takeBack takes an offer out of the outbox.
func (m *CallModel) retractOffer(index int) core.Event {
	call := &m.Calls[index]
	call.State = attemptNone
	m.recordAttemptEnd(index, false)
	return core.NotSent{Server: serverName(call.Server), ID: callID(index)}
}

// end is an attempt's end, or a release towards a server.
func (m *CallModel) applyEnd(e core.End) []core.Event {
	index, conn := m.callIndex(e.ID), m.findConn(e.To)
	if conn == nil {
		m.recordViolation(SendOnOpenConn, "call %d is ended on no connection", index)
		return nil
	}
	call := &m.Calls[index]
	switch {
	case call.State == attemptQueued && call.Server == conn.Server:
		return []core.Event{m.retractOffer(index)}
	case call.State == attemptOutstanding && call.Server == conn.Server && e.Notify:
		call.State = attemptEnding
	case call.State == attemptOutstanding && call.Server == conn.Server:
		call.State, call.LateAnswerFrom = attemptNone, call.Server+1
		m.recordAttemptEnd(index, true)
	case call.Established && call.Server == conn.Server:
		call.Established, call.RepeatedReleaseFrom = false, call.Server+1 // its own release may cross this one
		if e.Notify {                                                     // an answer that comes too late for its caller: the end is written all the same
			call.State, call.Conn = attemptEnding, e.To
		}
	}
	return nil
}

// lose ends a connection: what is out on it is over.
func (m *CallModel) closeConn(connID core.ConnID) {
	m.CallerConns = slices.DeleteFunc(m.CallerConns, func(callerConn core.ConnID) bool { return callerConn == connID })
	if m.findConn(connID) == nil {
		return
	}
	m.ServerConns = slices.DeleteFunc(m.ServerConns, func(call conn) bool { return call.ID == connID })
	for i := range m.Calls {
		if call := &m.Calls[i]; call.State != attemptNone && call.Conn == connID {
			call.State = attemptNone
			m.recordAttemptEnd(i, true)
		}
	}
}

// die ends a server's process: its connections and what stands there.
func (m *CallModel) endServerProcess(server int) {
	for i := range m.Calls {
		call := &m.Calls[i]
		if call.Established && call.Server == server {
			call.Established = false
		}
		if call.RepeatedReleaseFrom == server+1 {
			call.RepeatedReleaseFrom = 0
		}
		if call.LateAnswerFrom == server+1 {
			call.LateAnswerFrom = 0
		}
	}
}
