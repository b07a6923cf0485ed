package explore

import (
	"fmt"
	"slices"

	"elmseam/internal/core"
)

// ActionKind is something that can happen.
type ActionKind uint8

// The kinds. Those from firstFault on are disturbances, of which only so many happen.
const (
	actSetUp ActionKind = iota // N: the first choice
	actOfferWritten
	actAnswer
	actRefuseFull
	actRefuseBusy
	actEndWritten // the end of an attempt is written
	actRelease
	actDialCompleted
	actCallerConnects // a caller's next connection
	actDrainStop
	actTimer // N: which of the timers that are due first
	actPause // some time, in which no timer is due
	actAttemptReset
	actCrossingAnswer  // an answer that crosses the attempt's end
	actLateAnswer      // an answer to an attempt that is over
	actCallReset       // a standing call
	actRepeatedRelease // a release said twice
	actHangUp
	actGiveUp
	actRepeatedSetUp
	actCallerLost
	actConnLost
	actDialRefused
	actServerDraining
	actServerGone
	actServerRestart
	actServerReady
	actReload
	actDrainStart
	// Of the circuits.
	actSeizeCircuit      // an IAM goes out
	actClearCall         // a call is released here
	actDeliverToServer   // the next message reaches the server
	actDeliverFromServer // or us
	actServerAnswer      // the server answers
	actServerRelease
	actReleaseOverdue // a release has not been confirmed for long
	actLoseREL        // the server loses a REL
	actLoseRLC        // or its RLC
	actConnDown       // the connection ends
	actConnUp         // and another comes up
	// Of a tier's members.
	actDeliverDatagram // the next datagram arrives
	actLoseDatagram    // or is lost
	actDelayDatagram   // or comes late
	actTick            // the next timer comes due
	actKillMember      // a member dies
	actStartMember     // and starts anew
	actPauseMember     // or stands still
	actResumeMember    // and goes on
	actSettle          // nothing disturbs any more
	numActionKinds
)

const firstFaultKind = actAttemptReset

var actionKindNames = [numActionKinds]string{"set-up", "written", "answer", "full", "busy", "ended", "release", "dialled", "caller-back", "undrain",
	"due", "pass", "reset", "cross", "late", "cut", "again", "hang-up", "give-up", "repeat", "caller-lost", "conn-lost", "refused",
	"drains", "goes", "restarts", "returns", "reload", "drain",
	"seize", "clear", "to-server", "to-us", "far-answer", "far-release", "overdue", "deaf", "mute", "down", "up",
	"arrive", "lose", "delay", "tick", "kill", "start", "halt", "go-on", "settle"}

// Action is one thing that happens: to a call or a server, with a number that some kinds have.
type Action struct {
	Kind   ActionKind
	Target uint8
	Arg    uint8
}

func (a Action) String() string {
	return fmt.Sprintf("%s %d %d", actionKindNames[a.Kind], a.Target, a.Arg)
}

// ParseAction reads what String has written.
func ParseAction(text string) (a Action, err error) {
	var kind string
	if n, err := fmt.Sscanf(text, "%s %d %d", &kind, &a.Target, &a.Arg); err != nil || n != 3 {
		return a, fmt.Errorf("action %q: %w", text, err)
	}
	index := slices.Index(actionKindNames[:], kind)
	if index < 0 {
		return a, fmt.Errorf("action %q: unknown", text)
	}
	a.Kind = ActionKind(index)
	return a, nil
}

// due are the timers that are due first, by their places.
func (m *CallModel) earliestTimers() (first []int) {
	for i, t := range m.Timers {
		switch {
		case len(first) == 0 || t.At < m.Timers[first[0]].At:
			first = append(first[:0], i)
		case t.At == m.Timers[first[0]].At:
			first = append(first, i)
		}
	}
	return first
}

// EnabledActions are all things that can happen next, always in the same order. Like calls come in the order of their
// numbers, and the first one's first choice is the first server: the others are the same with other names.
func (m *CallModel) EnabledActions() (actions []Action) {
	add := func(kind ActionKind, target, arg int) {
		if kind < firstFaultKind || m.FaultsLeft > 0 {
			actions = append(actions, Action{kind, uint8(target), uint8(arg)})
		}
	}
	if m.allCallsEnded() { // all that is left is what servers say late, or again
		for index := range m.Calls {
			m.lateServerMessages(index, &m.Calls[index], add)
		}
		return actions
	}
	for index := range m.Calls {
		if m.Calls[index].Started {
			continue
		}
		for server := range m.Servers {
			if len(m.CallerConns) > 0 && (index > 0 || server == 0) {
				add(actSetUp, index, server)
			}
		}
		break
	}
	for index := range m.Calls {
		m.callActions(index, &m.Calls[index], add)
	}
	for index := range m.Servers {
		server := &m.Servers[index]
		if server.Dials > 0 {
			add(actDialCompleted, index, 0)
			add(actDialRefused, index, 0)
		}
		if m.connTo(index) != 0 {
			add(actConnLost, index, 0)
		}
		switch server.Phase {
		case phaseReady:
			add(actServerDraining, index, 0)
			add(actServerGone, index, 0)
			add(actServerRestart, index, 0)
		case phaseDraining:
			add(actServerGone, index, 0)
			add(actServerReady, index, 0)
		}
	}
	if len(m.CallerConns) == 0 {
		add(actCallerConnects, 0, 0)
	} else {
		add(actCallerLost, 0, 0)
	}
	if !m.Reloaded && m.Config.Attempts > 1 {
		add(actReload, 0, 0)
	}
	if m.Draining {
		add(actDrainStop, 0, 0)
	} else {
		add(actDrainStart, 0, 0)
	}
	timers := m.earliestTimers()
	for arg := range timers {
		add(actTimer, 0, arg)
	}
	if m.PausesLeft > 0 && (len(timers) == 0 || m.Timers[timers[0]].At > m.Now+pauseDuration) {
		add(actPause, 0, 0)
	}
	return actions
}

// actionsOf are those of one call.
func (m *CallModel) callActions(index int, call *Call, add func(kind ActionKind, target, arg int)) {
	if !call.Started {
		return
	}
	switch call.State {
	case attemptQueued:
		add(actOfferWritten, index, 0)
	case attemptOutstanding:
		add(actAnswer, index, 0)
		add(actRefuseFull, index, 0)
		add(actRefuseBusy, index, 0)
		add(actAttemptReset, index, 0)
	case attemptEnding:
		add(actEndWritten, index, 0)
		add(actCrossingAnswer, index, 0)
	}
	if call.Established && m.connTo(call.Server) != 0 {
		add(actRelease, index, 0)
		add(actCallReset, index, 0)
	}
	m.lateServerMessages(index, call, add)
	switch acct := &call.Account; {
	case acct.CallerGone:
	case acct.FinalAnswers == 0:
		if m.callerConnected(call.CallerConn) {
			add(actGiveUp, index, 0)
		}
		if !call.Repeated {
			add(actRepeatedSetUp, index, 0)
		}
	case acct.WasEstablished && acct.Releases == 0 && len(m.CallerConns) > 0:
		add(actHangUp, index, 0)
	}
}

// echoes are what a server may say of a call that is over for it.
func (m *CallModel) lateServerMessages(index int, call *Call, add func(kind ActionKind, target, arg int)) {
	if call.LateAnswerFrom != 0 && m.connTo(call.LateAnswerFrom-1) != 0 {
		add(actLateAnswer, index, 0)
	}
	if call.RepeatedReleaseFrom != 0 && m.connTo(call.RepeatedReleaseFrom-1) != 0 {
		add(actRepeatedRelease, index, 0)
	}
}

// TryApply has something happen. It says no to what can't happen now.
func (m *CallModel) TryApply(a Action) bool {
	if !slices.Contains(m.EnabledActions(), a) {
		return false
	}
	m.apply(a)
	return true
}

func (m *CallModel) apply(a Action) {
	if a.Kind >= firstFaultKind {
		m.FaultsLeft--
	}
	target := int(a.Target)
	switch a.Kind {
	case actTimer:
		m.fireTimer(m.earliestTimers()[a.Arg])
	case actPause:
		m.PausesLeft--
		m.Now += pauseDuration
		m.checkDeadlines(m.Now)
	case actDialCompleted:
		m.connectServer(target)
	case actDialRefused:
		m.Servers[target].Dials--
		m.step(core.ServerDown{Server: serverName(target)})
	case actConnLost:
		connID := m.connTo(target)
		m.closeConn(connID)
		m.step(core.ServerDown{Server: serverName(target), Conn: connID})
	case actServerDraining, actServerGone, actServerRestart, actServerReady:
		m.changeServer(a.Kind, target)
	case actCallerConnects:
		m.connectCaller()
	case actCallerLost:
		connID := m.CallerConns[0]
		m.closeConn(connID)
		m.step(core.CallerDown{Conn: connID})
	case actReload:
		m.Reloaded = true
		m.step(core.Configured{Settings: m.Config.settings(m.Config.Attempts - 1), Limits: m.Config.limits()})
	case actDrainStart, actDrainStop:
		m.Draining = a.Kind == actDrainStart
		m.step(core.Drain{On: m.Draining})
	default:
		m.applyToCall(a.Kind, target, int(a.Arg))
	}
}

// fire has a timer come due.
func (m *CallModel) fireTimer(index int) {
	fired := m.Timers[index]
	m.Timers = slices.Delete(m.Timers, index, index+1)
	m.Now = max(m.Now, fired.At)
	m.checkDeadlines(m.Now)
	m.step(core.TimerFired{Token: fired.Token})
}

// list changes the list of servers.
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
		server.Dials = 0 // they lead to where nobody is
		m.endServerProcess(index)
	case actServerReady:
		server.Phase = phaseReady
	}
	dials := server.Dials
	m.step(core.List{Servers: []core.Server{m.listEntry(index)}})
	if kind == actServerRestart && server.Dials == dials { // the one under way comes up at the old address, or not at all
		m.step(core.ServerDown{Server: serverName(index)})
	}
}

// call has something happen to a call.
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
		m.step(m.setUpEvent(index))
	case actRepeatedSetUp:
		call.Repeated, call.CallerConn = true, m.connectCaller()
		m.step(m.setUpEvent(index))
	case actOfferWritten:
		call.State = attemptOutstanding
		m.step(core.OfferWritten{Server: server, ID: callID(index)})
	case actAnswer:
		call.State, call.Established = attemptNone, true
		m.recordAttemptEnd(index, false)
		m.step(core.ServerAnswer{Server: server, Conn: call.Conn, ID: callID(index)})
	case actRefuseFull, actRefuseBusy, actAttemptReset:
		call.State = attemptNone
		m.recordAttemptEnd(index, kind == actAttemptReset)
		reason := map[ActionKind]core.Reason{actRefuseFull: core.Full, actRefuseBusy: core.Busy, actAttemptReset: core.Reset}[kind]
		m.step(core.ServerEnd{Server: server, Conn: call.Conn, ID: callID(index), Reason: reason})
	case actEndWritten:
		call.State, call.LateAnswerFrom = attemptNone, call.Server+1
		m.recordAttemptEnd(index, true)
		m.step(core.EndWritten{Server: server, ID: callID(index)})
	case actCrossingAnswer:
		m.step(core.ServerAnswer{Server: server, Conn: call.Conn, ID: callID(index)})
	case actLateAnswer:
		server := call.LateAnswerFrom - 1
		call.LateAnswerFrom = 0
		m.step(core.ServerAnswer{Server: serverName(server), Conn: m.connTo(server), ID: callID(index)})
	case actRelease, actCallReset:
		call.Established, call.RepeatedReleaseFrom = false, call.Server+1
		reason := core.Normal
		if kind == actCallReset {
			reason = core.Reset
		}
		m.step(core.ServerEnd{Server: server, Conn: m.connTo(call.Server), ID: callID(index), Reason: reason})
	case actRepeatedRelease:
		server := call.RepeatedReleaseFrom - 1
		call.RepeatedReleaseFrom = 0
		m.step(core.ServerEnd{Server: serverName(server), Conn: m.connTo(server), ID: callID(index), Reason: core.Normal})
	case actHangUp, actGiveUp:
		call.Account.CallerGone = true
		callerConn := call.CallerConn
		if kind == actHangUp && !m.callerConnected(callerConn) {
			callerConn = callerConns[0]
		}
		m.step(core.CallerEnd{ID: callID(index), From: callerConn})
	}
}

func (m *CallModel) setUpEvent(index int) core.SetUp {
	call := &m.Calls[index]
	return core.SetUp{ID: callID(index), From: call.CallerConn, Cell: call.Cell, NumberText: "k", TimeLeft: call.Deadline - m.Now, At: m.Now}
}
