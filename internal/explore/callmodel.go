package explore

import (
	"fmt"
	"slices"
	"time"

	"elmseam"
	"elmseam/internal/core"
)

// Protocol and times of the call model.
const (
	releaseGuardTime = 200 * time.Millisecond // wait of the core before it resends a call after a time-out, a reset or a cancel
	modelProtocol    = core.Protocol("f")     // protocol of all simulated connections
	pauseDuration    = 120 * time.Millisecond // two pauses exceed the release guard, one the 100 ms in which a lost caller may reconnect
	timerHorizon     = 2 * time.Second        // timers later than this after the give-up time of a set-up sent at the start are ignored
)

// attemptState is the state of a call's attempt outside the core.
type attemptState uint8

// The states of an attempt.
const (
	attemptNone        attemptState = iota
	attemptQueued                   // the offer is queued for a connection and can be withdrawn
	attemptOutstanding              // the server has the offer and has not answered
	attemptEnding                   // the end is queued for a connection
)

// Short names for the phases of a server.
const (
	phaseReady    = elmseam.PhaseReady
	phaseDraining = elmseam.PhaseDraining
	phaseGone     = elmseam.PhaseGone
)

// Call is the state of a call outside the core: at its caller, its server and on the connections.
type Call struct {
	Started             bool        // the caller has sent the set-up
	CallerConn          core.ConnID // connection of the caller's last set-up
	Cell                int         // cell of the first-choice server
	Deadline            core.Time   // when the caller stops waiting for an answer
	State               attemptState
	Conn                core.ConnID // connection of the last attempt or end to a server
	Server              int         // server of the last attempt; where the call is established
	Established         bool        // the server has answered, and neither side has released the call
	LateAnswerFrom      int         // 1 + index of a server that may still answer an attempt that has ended; 0: none
	RepeatedReleaseFrom int         // 1 + index of a server that may repeat its release, or whose release may cross that of the core; 0: none
	Repeated            bool        // the caller has sent the set-up again
	Account             callAccount
}

// Server is the state of a server outside the core.
type Server struct {
	Phase       elmseam.Phase
	Incarnation int // restarts so far
	StartedAt   core.Time
	Dials       int // connection attempts of the core in progress
}

// serverConn is an open connection to a server.
type serverConn struct {
	ID     core.ConnID
	Server int // index of the server
}

// coreTimer is a timer that the core has requested.
type coreTimer struct {
	At    core.Time
	Token core.Token
}

// CallModel is the model of the core and the controller, with their callers, servers, connections and timers.
type CallModel struct {
	Config          Config
	Core            *core.Core
	Now, TimerLimit core.Time // timers after TimerLimit are ignored
	Calls           []Call
	Servers         []Server
	ServerConns     []serverConn
	CallerConns     []core.ConnID // open connections of callers
	NextConn        core.ConnID   // id of the next connection
	Timers          []coreTimer   // in the order of their requests
	FaultsLeft      int           // faults that may still be injected
	PausesLeft      int           // pauses that may still be applied
	Reloaded        bool          // a configuration with one attempt fewer has been loaded
	Draining        bool          // the operator drains the softswitch
	Violation       *Violation
}

// settings returns the settings of the controller, with the given maximum number of attempts.
func (c Config) settings(attempts int) elmseam.Settings {
	return elmseam.Settings{
		Classes:     []elmseam.Class{{Aim: c.GiveUp / 2, Deadline: c.GiveUp, Worth: 1}},
		MaxAttempts: attempts, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		RetransmitInterval: 500 * time.Millisecond, ReleaseGuard: releaseGuardTime,
		ColdInitialShare: 0.3, ColdRamp: 14 * time.Second, OverloadMultiple: 2.5, OverloadAfter: time.Second,
	}
}

// limits returns the limits of the core.
func (c Config) limits() core.Limits {
	const ms = time.Millisecond
	return core.Limits{
		AnswerMargin: 15 * ms, RebindTimeout: 100 * ms, InitialRedialDelay: 100 * ms, MaxRedialDelay: 500 * ms, UnresponsiveAfter: 100 * ms, MaxRemovedServers: 4, MaxPendingReleases: 8, MaxCallerReleases: 8,
		ServerLostAfter: 5 * time.Second, DrainGrace: 500 * ms, DrainRefuseAfter: 1500 * ms, DrainCheckInterval: time.Minute, DrainIdle: 20 * ms,
		Transient: map[core.Protocol]bool{}, StopGrace: 700 * ms, MaxStopWait: time.Minute,
		CallerConnsTarget: 8, MaxOpen: 100, MaxCallBytes: 1 << 20, RetryAfterHint: 100 * ms, EndedCallTTL: time.Minute, MaxEndedCalls: 100, MaxRoutes: 4,
	}
}

// NewCallModel returns the initial state of the call model: all servers ready and connected, one caller connected, no call.
// The error is that of Config.Check, or a violation in the initial state.
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
	list := core.ServerList{Full: true}
	for server := range model.Servers {
		model.Servers[server].Phase = phaseReady
		list.Servers = append(list.Servers, model.serverListEntry(server))
	}
	model.stepCore(list)
	for server := range model.Servers {
		model.connectServer(server)
	}
	return model, model.violationError()
}

// violationError returns the recorded violation as an error, or nil.
func (m *CallModel) violationError() error {
	if m.Violation != nil {
		return m.Violation
	}
	return nil
}

// serverName returns the name of the server with the given index: a, b and so on.
func serverName(server int) string { return string(rune('a' + server)) }

// currentServerAddress returns the address of a server's current incarnation.
func (m *CallModel) currentServerAddress(server int) string {
	return fmt.Sprintf("%s%d:1", serverName(server), m.Servers[server].Incarnation)
}

// serverListEntry returns a server's entry in the list of servers.
func (m *CallModel) serverListEntry(index int) core.Server {
	server := &m.Servers[index]
	return core.Server{Name: serverName(index), Address: m.currentServerAddress(index), Protocol: modelProtocol, Cell: index, Phase: server.Phase, Started: server.StartedAt}
}

// newConnID returns an unused connection id.
func (m *CallModel) newConnID() core.ConnID {
	m.NextConn++
	return m.NextConn - 1
}

// connectCaller opens a connection of a caller and returns its id.
func (m *CallModel) connectCaller() core.ConnID {
	connID := m.newConnID()
	m.CallerConns = append(m.CallerConns, connID)
	m.stepCore(core.CallerUp{Conn: connID, Protocol: modelProtocol})
	return connID
}

// connectServer completes a connection attempt to a server.
func (m *CallModel) connectServer(server int) {
	if m.Servers[server].Dials > 0 {
		m.Servers[server].Dials--
	}
	connID := m.newConnID()
	m.ServerConns = append(m.ServerConns, serverConn{connID, server})
	m.stepCore(core.ServerUp{Server: serverName(server), Address: m.currentServerAddress(server), Conn: connID})
}

// callerConnected reports whether a caller's connection is open.
func (m *CallModel) callerConnected(connID core.ConnID) bool {
	return slices.Contains(m.CallerConns, connID)
}

// findConn returns the open connection to a server with the given id, or nil.
func (m *CallModel) findConn(connID core.ConnID) *serverConn {
	for i := range m.ServerConns {
		if m.ServerConns[i].ID == connID {
			return &m.ServerConns[i]
		}
	}
	return nil
}

// openConnTo returns the id of an open connection to a server, or 0.
func (m *CallModel) openConnTo(server int) core.ConnID {
	for _, c := range m.ServerConns {
		if c.Server == server {
			return c.ID
		}
	}
	return 0
}

// callID returns the id of the call with the given index.
func callID(index int) core.ID { return core.ID(index + 1) }

// callIndex returns the index of the call with the given id, or -1.
func (m *CallModel) callIndex(id core.ID) int {
	if i := int(id) - 1; i >= 0 && i < len(m.Calls) {
		return i
	}
	return -1
}

// stepCore passes an event to the core and applies the effects that the core requests, then does the same with the
// events that result immediately from these effects. In the end it removes the timers that can have no effect any more.
func (m *CallModel) stepCore(event core.Event) {
	events := []core.Event{event}
	for len(events) > 0 {
		event := events[0]
		events = events[1:]
		for _, effect := range m.Core.Step(m.Now, event) {
			events = append(events, m.applyEffect(effect)...)
		}
	}
	m.Timers = slices.DeleteFunc(m.Timers, func(t coreTimer) bool { return m.Core.TimerObsolete(t.Token) })
}

// applyEffect applies an effect to the environment of the core. It returns the events that result immediately, as the effect
// handlers of the softswitch do.
func (m *CallModel) applyEffect(effect core.Effect) (events []core.Event) {
	switch effect := effect.(type) {
	case core.Timer:
		if effect.At <= m.TimerLimit {
			m.Timers = append(m.Timers, coreTimer{effect.At, effect.Token})
		}
	case core.Dial:
		m.Servers[effect.Server[0]-'a'].Dials++
	case core.CloseConn:
		m.closeConn(effect.To)
	case core.GracefulClose:
		m.closeConn(effect.To)
	case core.Offer:
		index, conn := m.callIndex(effect.ID), m.findConn(effect.To)
		m.checkOffer(index, conn)
		if call := &m.Calls[index]; conn != nil {
			call.State, call.Conn, call.Server = attemptQueued, effect.To, conn.Server
		}
	case core.End:
		events = m.applyEnd(effect)
	case core.Withdraw:
		for index := range m.Calls {
			if call := &m.Calls[index]; call.State == attemptQueued && call.Conn == effect.To {
				events = append(events, m.withdrawOffer(index))
			}
		}
	case core.Answered:
		m.checkFinalAnswer(m.callIndex(effect.ID), effect.To, true)
	case core.Rejected:
		m.checkFinalAnswer(m.callIndex(effect.ID), effect.To, false)
	case core.Released:
		m.checkRelease(m.callIndex(effect.ID), effect.To)
	case core.ForgetCall:
		m.Calls[m.callIndex(effect.ID)].Account.CallerGone = true
	case core.Violation:
		// If a hook changes decisions or events, guards have to stop actions: that is no violation of NoGuardTripped.
		if m.Config.CoreHook.Decide == nil && m.Config.CoreHook.SuppressEvent == nil {
			m.recordViolation(NoGuardTripped, "call %d: %s", m.callIndex(effect.ID), effect.Rule)
		}
	}
	return events
}

// withdrawOffer removes an offer that is still queued for its connection.
func (m *CallModel) withdrawOffer(index int) core.Event {
	call := &m.Calls[index]
	call.State = attemptNone
	m.recordAttemptEnd(index, false)
	return core.NotSent{Server: serverName(call.Server), ID: callID(index)}
}

// applyEnd applies the end of an attempt, or the release of an established call, towards a server.
func (m *CallModel) applyEnd(end core.End) []core.Event {
	index, conn := m.callIndex(end.ID), m.findConn(end.To)
	if conn == nil {
		m.recordViolation(SendOnOpenConn, "call %d is ended on a closed connection", index)
		return nil
	}
	call := &m.Calls[index]
	switch {
	case call.State == attemptQueued && call.Server == conn.Server:
		return []core.Event{m.withdrawOffer(index)}
	case call.State == attemptOutstanding && call.Server == conn.Server && end.Notify:
		call.State = attemptEnding
	case call.State == attemptOutstanding && call.Server == conn.Server:
		call.State, call.LateAnswerFrom = attemptNone, call.Server+1
		m.recordAttemptEnd(index, true)
	case call.Established && call.Server == conn.Server:
		call.Established, call.RepeatedReleaseFrom = false, call.Server+1 // the server's own release may cross this one
		if end.Notify {
			// The answer arrived too late for the caller: the end is still written.
			call.State, call.Conn = attemptEnding, end.To
		}
	}
	return nil
}

// closeConn closes a connection of a caller or to a server. Attempts on the connection end.
func (m *CallModel) closeConn(connID core.ConnID) {
	m.CallerConns = slices.DeleteFunc(m.CallerConns, func(callerConn core.ConnID) bool { return callerConn == connID })
	if m.findConn(connID) == nil {
		return
	}
	m.ServerConns = slices.DeleteFunc(m.ServerConns, func(c serverConn) bool { return c.ID == connID })
	for i := range m.Calls {
		if call := &m.Calls[i]; call.State != attemptNone && call.Conn == connID {
			call.State = attemptNone
			m.recordAttemptEnd(i, true)
		}
	}
}

// endServerProcess ends a server's process: its established calls end, and it sends no late answer and no repeated release.
// Its connections and outstanding attempts end only when the core closes the connections or they are lost.
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
