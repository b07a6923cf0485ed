package explore

import (
	"fmt"
	"slices"

	"elmseam/internal/core"
)

// ActionKind is the kind of an Action. The kinds of all models share one enumeration; actionKindNames holds their names in
// traces.
type ActionKind uint8

// The kinds of actions of CallModel. Kinds from firstFaultKind to actDrainStart are faults, whose total is limited by
// Config.Faults. Where a kind uses Action.Arg, the comment says so.
const (
	actSetUp           ActionKind = iota // a caller sends a set-up; Arg: cell of its first-choice server
	actOfferWritten                      // the offer has been written to the server's connection
	actAnswer                            // the server answers the attempt
	actRefuseFull                        // the server refuses the attempt for lack of capacity
	actRefuseBusy                        // the server refuses the attempt because of the called number
	actEndWritten                        // the end of an attempt has been written to the server's connection
	actRelease                           // the server releases an established call
	actDialCompleted                     // a connection to a server is established
	actCallerConnects                    // a caller connects again after its connection was lost
	actDrainStop                         // the operator ends the drain
	actTimer                             // one of the timers with the earliest time fires; Arg: which of them
	actPause                             // pauseDuration passes without a timer firing
	actAttemptReset                      // an outstanding attempt ends by a reset
	actCrossingAnswer                    // an answer crosses the end of the attempt on the network
	actLateAnswer                        // the server answers an attempt that has ended
	actCallReset                         // an established call ends by a reset
	actRepeatedRelease                   // the server releases a call a second time
	actHangUp                            // the caller releases an established call
	actGiveUp                            // the caller gives up its unanswered set-up
	actRepeatedSetUp                     // the caller sends its set-up again on a new connection
	actCallerLost                        // a caller's connection is lost
	actConnLost                          // a connection to a server is lost
	actDialRefused                       // a connection attempt to a server fails
	actServerDraining                    // the list declares the server draining
	actServerGone                        // the list declares the server gone
	actServerRestart                     // the server restarts at a new address
	actServerReady                       // the list declares the draining server ready
	actReload                            // a configuration with one attempt fewer is loaded
	actDrainStart                        // the operator starts a drain
	// The kinds of actions of circuitModel. actLoseREL, actLoseRLC and actConnDown are faults.
	actSeizeCircuit      // a call takes a circuit and its IAM is sent
	actClearCall         // the softswitch releases a call
	actDeliverToServer   // the next message to the server arrives
	actDeliverFromServer // the next message from the server arrives
	actServerAnswer      // the server sends an ANM
	actServerRelease     // the server sends a REL
	actReleaseOverdue    // releaseConfirmTimeout passes without an RLC
	actLoseREL           // the server loses the next message, a REL
	actLoseRLC           // the server processes the next message, a REL, and its RLC is lost
	actConnDown          // the connection is lost
	actConnUp            // a new connection is established
	// The kinds of actions of tierModel. actLoseDatagram, actDelayDatagram and actKillMember are faults.
	actDeliverDatagram // the next datagram is delivered
	actLoseDatagram    // the next datagram is lost
	actDelayDatagram   // the next datagram is delayed by datagramDelay
	actTick            // the next timer fires, or the next delayed datagram is delivered
	actKillMember      // a member's process is killed
	actStartMember     // a killed member starts again
	actPauseMember     // a member's process is paused
	actResumeMember    // a paused member continues
	actSettle          // the faults are over: settleTime passes, and the final state is checked

	numActionKinds
)

// firstFaultKind is the first kind that counts as a fault in CallModel.
const firstFaultKind = actAttemptReset

// actionKindNames are the names of the kinds in traces, indexed by ActionKind.
var actionKindNames = [numActionKinds]string{"set-up", "written", "answer", "full", "busy", "ended", "release", "dialled", "caller-back", "undrain",
	"due", "pass", "reset", "cross", "late", "cut", "again", "hang-up", "give-up", "repeat", "caller-lost", "conn-lost", "refused",
	"drains", "goes", "restarts", "returns", "reload", "drain",
	"seize", "clear", "to-server", "to-us", "far-answer", "far-release", "overdue", "deaf", "mute", "down", "up",
	"arrive", "lose", "delay", "tick", "kill", "start", "halt", "go-on", "settle"}

// Action is one transition of a model, for example a message that arrives, a timer that fires or a fault.
type Action struct {
	Kind   ActionKind
	Target uint8 // index of the call, server, circuit or member that the action concerns, otherwise 0; actClearCall: the call's id
	Arg    uint8 // additional argument of kinds that need one, otherwise 0
}

// String returns the action's line in a trace.
func (a Action) String() string {
	return fmt.Sprintf("%s %d %d", actionKindNames[a.Kind], a.Target, a.Arg)
}

// ParseAction parses the text that Action.String returns.
func ParseAction(text string) (action Action, err error) {
	var kind string
	if n, err := fmt.Sscanf(text, "%s %d %d", &kind, &action.Target, &action.Arg); err != nil || n != 3 {
		return action, fmt.Errorf("action %q: %w", text, err)
	}
	index := slices.Index(actionKindNames[:], kind)
	if index < 0 {
		return action, fmt.Errorf("action %q: unknown kind", text)
	}
	action.Kind = ActionKind(index)
	return action, nil
}

// earliestTimers returns the indexes in m.Timers of the timers with the earliest time.
func (m *CallModel) earliestTimers() (earliest []int) {
	for i, timer := range m.Timers {
		switch {
		case len(earliest) == 0 || timer.At < m.Timers[earliest[0]].At:
			earliest = append(earliest[:0], i)
		case timer.At == m.Timers[earliest[0]].At:
			earliest = append(earliest, i)
		}
	}
	return earliest
}

// EnabledActions returns the actions possible in the current state, always in the same order. To reduce symmetric states,
// calls are set up in the order of their indexes, and the first choice of the first call is always server 0: other orders
// and choices differ only in the names of calls and servers.
func (m *CallModel) EnabledActions() (actions []Action) {
	addAction := func(kind ActionKind, target, arg int) {
		if kind < firstFaultKind || m.FaultsLeft > 0 {
			actions = append(actions, Action{kind, uint8(target), uint8(arg)})
		}
	}
	if m.allCallsEnded() { // only late answers and repeated releases of servers remain
		for index := range m.Calls {
			m.addLateServerMessages(index, &m.Calls[index], addAction)
		}
		return actions
	}
	for index := range m.Calls {
		if m.Calls[index].Started {
			continue
		}
		for server := range m.Servers {
			if len(m.CallerConns) > 0 && (index > 0 || server == 0) {
				addAction(actSetUp, index, server)
			}
		}
		break
	}
	for index := range m.Calls {
		m.addCallActions(index, &m.Calls[index], addAction)
	}
	for index := range m.Servers {
		server := &m.Servers[index]
		if server.Dials > 0 {
			addAction(actDialCompleted, index, 0)
			addAction(actDialRefused, index, 0)
		}
		if m.openConnTo(index) != 0 {
			addAction(actConnLost, index, 0)
		}
		switch server.Phase {
		case phaseReady:
			addAction(actServerDraining, index, 0)
			addAction(actServerGone, index, 0)
			addAction(actServerRestart, index, 0)
		case phaseDraining:
			addAction(actServerGone, index, 0)
			addAction(actServerReady, index, 0)
		}
	}
	if len(m.CallerConns) == 0 {
		addAction(actCallerConnects, 0, 0)
	} else {
		addAction(actCallerLost, 0, 0)
	}
	if !m.Reloaded && m.Config.Attempts > 1 {
		addAction(actReload, 0, 0)
	}
	if m.Draining {
		addAction(actDrainStop, 0, 0)
	} else {
		addAction(actDrainStart, 0, 0)
	}
	timers := m.earliestTimers()
	for i := range timers {
		addAction(actTimer, 0, i)
	}
	if m.PausesLeft > 0 && (len(timers) == 0 || m.Timers[timers[0]].At > m.Now+pauseDuration) {
		addAction(actPause, 0, 0)
	}
	return actions
}

// addCallActions adds the actions that are possible for one started call.
func (m *CallModel) addCallActions(index int, call *Call, addAction func(kind ActionKind, target, arg int)) {
	if !call.Started {
		return
	}
	switch call.State {
	case attemptQueued:
		addAction(actOfferWritten, index, 0)
	case attemptOutstanding:
		addAction(actAnswer, index, 0)
		addAction(actRefuseFull, index, 0)
		addAction(actRefuseBusy, index, 0)
		addAction(actAttemptReset, index, 0)
	case attemptEnding:
		addAction(actEndWritten, index, 0)
		addAction(actCrossingAnswer, index, 0)
	}
	if call.Established && m.openConnTo(call.Server) != 0 {
		addAction(actRelease, index, 0)
		addAction(actCallReset, index, 0)
	}
	m.addLateServerMessages(index, call, addAction)
	switch account := &call.Account; {
	case account.CallerGone:
	case account.FinalAnswers == 0:
		if m.callerConnected(call.CallerConn) {
			addAction(actGiveUp, index, 0)
		}
		if !call.Repeated {
			addAction(actRepeatedSetUp, index, 0)
		}
	case account.WasEstablished && account.Releases == 0 && len(m.CallerConns) > 0:
		addAction(actHangUp, index, 0)
	}
}

// addLateServerMessages adds the late answer and the repeated release that a server may still send for a call that has
// ended at that server.
func (m *CallModel) addLateServerMessages(index int, call *Call, addAction func(kind ActionKind, target, arg int)) {
	if call.LateAnswerFrom != 0 && m.openConnTo(call.LateAnswerFrom-1) != 0 {
		addAction(actLateAnswer, index, 0)
	}
	if call.RepeatedReleaseFrom != 0 && m.openConnTo(call.RepeatedReleaseFrom-1) != 0 {
		addAction(actRepeatedRelease, index, 0)
	}
}

// TryApply applies an action if it is enabled in the current state, and reports whether it was.
func (m *CallModel) TryApply(action Action) bool {
	if !slices.Contains(m.EnabledActions(), action) {
		return false
	}
	m.apply(action)
	return true
}

// apply applies an enabled action.
func (m *CallModel) apply(action Action) {
	if action.Kind >= firstFaultKind {
		m.FaultsLeft--
	}
	target := int(action.Target)
	switch action.Kind {
	case actTimer:
		m.fireTimer(m.earliestTimers()[action.Arg])
	case actPause:
		m.PausesLeft--
		m.Now += pauseDuration
		m.checkDeadlines(m.Now)
	case actDialCompleted:
		m.connectServer(target)
	case actDialRefused:
		m.Servers[target].Dials--
		m.stepCore(core.ServerDown{Server: serverName(target)})
	case actConnLost:
		connID := m.openConnTo(target)
		m.closeConn(connID)
		m.stepCore(core.ServerDown{Server: serverName(target), Conn: connID})
	case actServerDraining, actServerGone, actServerRestart, actServerReady:
		m.changeServer(action.Kind, target)
	case actCallerConnects:
		m.connectCaller()
	case actCallerLost:
		connID := m.CallerConns[0]
		m.closeConn(connID)
		m.stepCore(core.CallerDown{Conn: connID})
	case actReload:
		m.Reloaded = true
		m.stepCore(core.Configured{Settings: m.Config.settings(m.Config.Attempts - 1), Limits: m.Config.limits()})
	case actDrainStart, actDrainStop:
		m.Draining = action.Kind == actDrainStart
		m.stepCore(core.Drain{On: m.Draining})
	default:
		m.applyToCall(action.Kind, target, int(action.Arg))
	}
}

// fireTimer advances the time to that of a timer and fires the timer.
func (m *CallModel) fireTimer(index int) {
	fired := m.Timers[index]
	m.Timers = slices.Delete(m.Timers, index, index+1)
	m.Now = max(m.Now, fired.At)
	m.checkDeadlines(m.Now)
	m.stepCore(core.TimerFired{Token: fired.Token})
}

// changeServer changes the phase or the incarnation of a server and sends the core the server's changed list entry.
func (m *CallModel) changeServer(kind ActionKind, index int) {
	server := &m.Servers[index]
	switch kind {
	case actServerDraining:
		server.Phase = phaseDraining
	case actServerGone:
		server.Phase = phaseGone
		m.endServerProcess(index)
	case actServerRestart:
		server.Incarnation++
		server.StartedAt = m.Now
		server.Dials = 0 // pending connection attempts go to the address of the old process
		m.endServerProcess(index)
	case actServerReady:
		server.Phase = phaseReady
	}
	dials := server.Dials
	m.stepCore(core.ServerList{Servers: []core.Server{m.serverListEntry(index)}})
	if kind == actServerRestart && server.Dials == dials {
		// The core has not dialled again: its connection attempt to the old address, if any, fails.
		m.stepCore(core.ServerDown{Server: serverName(index)})
	}
}

// applyToCall applies an action whose target is a call.
func (m *CallModel) applyToCall(kind ActionKind, index, arg int) {
	call := &m.Calls[index]
	callerConns, server := m.CallerConns, serverName(call.Server)
	switch kind {
	case actSetUp:
		call.Started, call.CallerConn, call.Cell, call.Deadline = true, callerConns[len(callerConns)-1], arg, m.Now+m.Config.GiveUp
		call.Account.MaxAttempts = m.Config.Attempts
		if m.Reloaded {
			call.Account.MaxAttempts--
		}
		m.stepCore(m.setUpEvent(index))
	case actRepeatedSetUp:
		call.Repeated, call.CallerConn = true, m.connectCaller()
		m.stepCore(m.setUpEvent(index))
	case actOfferWritten:
		call.State = attemptOutstanding
		m.stepCore(core.OfferWritten{Server: server, ID: callID(index)})
	case actAnswer:
		call.State, call.Established = attemptNone, true
		m.recordAttemptEnd(index, false)
		m.stepCore(core.ServerAnswer{Server: server, Conn: call.Conn, ID: callID(index)})
	case actRefuseFull, actRefuseBusy, actAttemptReset:
		call.State = attemptNone
		m.recordAttemptEnd(index, kind == actAttemptReset)
		reason := map[ActionKind]core.Reason{actRefuseFull: core.ReasonFull, actRefuseBusy: core.ReasonBusy, actAttemptReset: core.ReasonReset}[kind]
		m.stepCore(core.ServerEnd{Server: server, Conn: call.Conn, ID: callID(index), Reason: reason})
	case actEndWritten:
		call.State, call.LateAnswerFrom = attemptNone, call.Server+1
		m.recordAttemptEnd(index, true)
		m.stepCore(core.EndWritten{Server: server, ID: callID(index)})
	case actCrossingAnswer:
		m.stepCore(core.ServerAnswer{Server: server, Conn: call.Conn, ID: callID(index)})
	case actLateAnswer:
		server := call.LateAnswerFrom - 1
		call.LateAnswerFrom = 0
		m.stepCore(core.ServerAnswer{Server: serverName(server), Conn: m.openConnTo(server), ID: callID(index)})
	case actRelease, actCallReset:
		call.Established, call.RepeatedReleaseFrom = false, call.Server+1
		reason := core.ReasonNormal
		if kind == actCallReset {
			reason = core.ReasonReset
		}
		m.stepCore(core.ServerEnd{Server: server, Conn: m.openConnTo(call.Server), ID: callID(index), Reason: reason})
	case actRepeatedRelease:
		server := call.RepeatedReleaseFrom - 1
		call.RepeatedReleaseFrom = 0
		m.stepCore(core.ServerEnd{Server: serverName(server), Conn: m.openConnTo(server), ID: callID(index), Reason: core.ReasonNormal})
	case actHangUp, actGiveUp:
		call.Account.CallerGone = true
		callerConn := call.CallerConn
		if kind == actHangUp && !m.callerConnected(callerConn) {
			callerConn = callerConns[0]
		}
		m.stepCore(core.CallerEnd{ID: callID(index), From: callerConn})
	}
}

// setUpEvent returns the event of a caller's set-up, first sent or repeated.
func (m *CallModel) setUpEvent(index int) core.SetUp {
	call := &m.Calls[index]
	return core.SetUp{ID: callID(index), From: call.CallerConn, Cell: call.Cell, NumberText: "k", TimeLeft: call.Deadline - m.Now, At: m.Now}
}
