package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
)

// Limits and times of the models of a tier.
const (
	// maxBurst is the maximum number of datagrams that one event at one member may cause in a tier of at most four members.
	maxBurst      = 48
	datagramDelay = 200 * time.Millisecond  // of a datagram that a fault delays
	settleTime    = 25 * time.Second        // how long the tier runs without faults before its final state is checked
	tierStartTime = 1_000_000 * time.Second // model time at which all members start
)

// DatagramLimits is the invariant that no member sends a datagram of more than datagram.MaxSize (256) bytes, or more than
// maxBurst datagrams for one event.
const DatagramLimits Invariant = "small"

// memberProcess is the running process of a member, with the reducer of the protocol under test.
type memberProcess interface {
	// receive handles a datagram of another member.
	receive(now time.Duration, from int, data []byte) stepEffects
	// timerFired handles a timer that has fired.
	timerFired(now time.Duration, token any) stepEffects
}

// stepEffects are what a step of a process requests: datagrams to send and timers to set.
type stepEffects struct {
	Sends  []sentDatagram
	Timers []memberTimer
}

// tierProtocol is a protocol between the members of a tier, with its invariants. The int parameters are member indexes.
type tierProtocol interface {
	// startMember starts a process of a member.
	startMember(tier *tierModel, index int, incarnation uint8) (memberProcess, stepEffects)
	// tierConverged is called once, when all members have started and found each other, before the first fault.
	tierConverged(tier *tierModel)
	// informOfDeath informs a running, unpaused member, where the protocol needs it, that another one has been killed.
	informOfDeath(tier *tierModel, observer, dead int)
	// checkStep checks the invariants after a step of a member.
	checkStep(tier *tierModel, index int)
	// checkTimePassed checks the invariants after time has passed.
	checkTimePassed(tier *tierModel)
	// checkSettled checks the invariants of the final state.
	checkSettled(tier *tierModel)
}

// memberTimer is a timer that a member has requested.
type memberTimer struct {
	At    time.Duration
	Token any
}

// tierMember is a member of the tier.
type tierMember struct {
	Process          memberProcess // nil: killed and not started again
	Paused           bool
	Timers           []memberTimer  // in the order of their requests
	HeldDatagrams    []sentDatagram // datagrams that arrived while the member was paused
	DiedAt           time.Duration  // when the member was killed, if it is not running
	UndisturbedSince time.Duration  // start of the process, or end of its last pause
	Incarnations     uint8          // starts so far
}

// sentDatagram is a datagram in transit, or one that waits for a paused member to resume.
type sentDatagram struct {
	From, To  int
	Data      []byte
	DeliverAt time.Duration // delivery time of a delayed datagram
}

// tierModel is the model of all members of a tier and of the network between them. Datagrams take no time, except those
// that a fault delays.
type tierModel struct {
	Config      Config
	Protocol    tierProtocol
	Members     []tierMember
	InFlight    []sentDatagram // undelayed datagrams, in the order of delivery
	Delayed     []sentDatagram
	Now         time.Duration
	FaultsUntil time.Duration // from this time on, faults are injected only until no datagram is in InFlight
	FaultsLeft  int           // faults that may still be injected
	PausesLeft  int           // pauses of members that may still be injected
	LastFault   time.Duration // time of the last fault, start of a killed member, or start or end of a pause
	Settled     bool          // the final state has been reached and checked
	Violation   *Violation
}

// newTierModel returns the initial state: all members have started at the same time and have run for convergeTime.
// Config.Servers is the number of members, and Config.Calls the time in which faults are injected, in half seconds.
func newTierModel(cfg Config, protocol tierProtocol, convergeTime time.Duration) *tierModel {
	m := &tierModel{Config: cfg, Protocol: protocol, Members: make([]tierMember, cfg.Servers), Now: tierStartTime, FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses}
	for index := range m.Members {
		m.startMember(index)
	}
	m.runUndisturbed(tierStartTime + convergeTime)
	protocol.tierConverged(m)
	m.FaultsUntil = m.Now + time.Duration(cfg.Calls)*500*time.Millisecond
	return m
}

// Digest returns the digest of the whole model.
func (m *tierModel) Digest() xxh3.Uint128     { return digestOf(m) }
func (m *tierModel) violation() *Violation    { return m.Violation }
func (m *tierModel) modelTime() time.Duration { return m.Now }

// Terminal reports whether the tier has settled.
func (m *tierModel) Terminal() bool { return m.Settled }

// checkDeadlock does nothing: actSettle is always enabled in the end, and the settled state is terminal.
func (m *tierModel) checkDeadlock() {}

// recordViolation records the violation of an invariant, unless an earlier one is recorded.
func (m *tierModel) recordViolation(invariant Invariant, format string, args ...any) {
	if m.Violation == nil {
		m.Violation = &Violation{invariant, fmt.Sprintf(format, args...)}
	}
}

// startMember starts a process of a member, at first or after the member was killed.
func (m *tierModel) startMember(index int) {
	member := &m.Members[index]
	incarnation := member.Incarnations
	process, effects := m.Protocol.startMember(m, index, incarnation)
	*member = tierMember{Process: process, UndisturbedSince: m.Now, Incarnations: incarnation + 1}
	m.applyEffects(index, effects)
}

// applyEffects sends the datagrams and sets the timers that a member's step requests, and checks the invariants.
func (m *tierModel) applyEffects(index int, effects stepEffects) {
	for i, sent := range effects.Sends {
		if len(sent.Data) > datagram.MaxSize || i >= maxBurst {
			m.recordViolation(DatagramLimits, "member %d sends a datagram of %d bytes, number %d of one event", index, len(sent.Data), i+1)
		}
		sent.From = index
		m.InFlight = append(m.InFlight, sent)
	}
	m.Members[index].Timers = append(m.Members[index].Timers, effects.Timers...)
	m.Protocol.checkStep(m, index)
}

// deliverDatagram hands a datagram to its receiver. A killed member loses the datagram; a paused member handles it later.
func (m *tierModel) deliverDatagram(sent sentDatagram) {
	switch member := &m.Members[sent.To]; {
	case member.Process == nil:
	case member.Paused:
		member.HeldDatagrams = append(member.HeldDatagrams, sent)
	default:
		m.applyEffects(sent.To, member.Process.receive(m.Now, sent.From, sent.Data))
	}
}

// nextDueEvent returns the earliest timer of a running, unpaused member, or the delayed datagram if one is due earlier. For
// a timer, owner is the index of its member and position its index in Timers; for a datagram, owner is -1 and position its
// index in m.Delayed. If there is neither, owner is -2.
func (m *tierModel) nextDueEvent() (owner, position int, at time.Duration) {
	owner, position = -2, -1
	for index, member := range m.Members {
		if member.Process == nil || member.Paused {
			continue
		}
		for i, timer := range member.Timers {
			if owner == -2 || timer.At < at {
				owner, position, at = index, i, timer.At
			}
		}
	}
	for i, sent := range m.Delayed {
		if owner == -2 || sent.DeliverAt < at {
			owner, position, at = -1, i, sent.DeliverAt
		}
	}
	return owner, position, at
}

// handleNextDue moves the time to that of the next timer or delayed datagram and handles it.
func (m *tierModel) handleNextDue() {
	owner, position, at := m.nextDueEvent()
	m.Now = max(m.Now, at)
	switch {
	case owner == -1:
		sent := m.Delayed[position]
		m.Delayed = slices.Delete(m.Delayed, position, position+1)
		m.deliverDatagram(sent)
	case owner >= 0:
		member := &m.Members[owner]
		timer := member.Timers[position]
		member.Timers = slices.Delete(member.Timers, position, position+1)
		m.applyEffects(owner, member.Process.timerFired(m.Now, timer.Token))
	}
	m.Protocol.checkTimePassed(m)
}

// runUndisturbed delivers datagrams and fires timers without faults until the given time.
func (m *tierModel) runUndisturbed(until time.Duration) {
	for m.Violation == nil {
		if len(m.InFlight) > 0 {
			sent := m.InFlight[0]
			m.InFlight = m.InFlight[1:]
			m.deliverDatagram(sent)
			continue
		}
		if owner, _, at := m.nextDueEvent(); owner == -2 || at > until {
			m.Now = max(m.Now, until)
			return
		}
		m.handleNextDue()
	}
}

// EnabledActions returns the actions possible in the current state, always in the same order.
func (m *tierModel) EnabledActions() (actions []Action) {
	addAction := func(kind ActionKind, target int, fault bool) {
		if !fault || m.FaultsLeft > 0 {
			actions = append(actions, Action{Kind: kind, Target: uint8(target)})
		}
	}
	switch {
	case m.Settled:
		return nil
	case m.Now >= m.FaultsUntil && len(m.InFlight) == 0:
		addAction(actSettle, 0, false)
		return actions
	case len(m.InFlight) > 0:
		addAction(actDeliverDatagram, 0, false)
		addAction(actLoseDatagram, 0, true)
		addAction(actDelayDatagram, 0, true)
		return actions
	}
	addAction(actTick, 0, false)
	for index, member := range m.Members {
		switch {
		case member.Process == nil:
			addAction(actStartMember, index, false)
		case member.Paused:
			addAction(actResumeMember, index, false)
		default:
			addAction(actKillMember, index, true)
			if m.PausesLeft > 0 {
				addAction(actPauseMember, index, false)
			}
		}
	}
	return actions
}

// TryApply applies an action if it is enabled in the current state, and reports whether it was.
func (m *tierModel) TryApply(action Action) bool {
	if !slices.Contains(m.EnabledActions(), action) {
		return false
	}
	m.apply(action)
	return true
}

// apply applies an enabled action.
func (m *tierModel) apply(action Action) {
	index := int(action.Target)
	if action.Kind != actDeliverDatagram && action.Kind != actTick && action.Kind != actSettle {
		m.LastFault = m.Now
	}
	switch action.Kind {
	case actDeliverDatagram, actLoseDatagram, actDelayDatagram:
		sent := m.InFlight[0]
		m.InFlight = m.InFlight[1:]
		switch action.Kind {
		case actDeliverDatagram:
			m.deliverDatagram(sent)
		case actDelayDatagram:
			sent.DeliverAt = m.Now + datagramDelay
			m.Delayed = append(m.Delayed, sent)
		}
	case actTick:
		m.handleNextDue()
	case actKillMember:
		m.Members[index] = tierMember{DiedAt: m.Now, Incarnations: m.Members[index].Incarnations}
		m.informOthersOfDeath(index)
	case actStartMember:
		m.startMember(index)
	case actPauseMember:
		m.PausesLeft--
		m.Members[index].Paused = true
	case actResumeMember:
		m.resumeMember(index)
	case actSettle:
		m.settle()
	}
	if action.Kind == actLoseDatagram || action.Kind == actDelayDatagram || action.Kind == actKillMember {
		m.FaultsLeft--
	}
}

// informOthersOfDeath informs the running, unpaused members at once that a member is dead. A paused one is informed when it resumes.
func (m *tierModel) informOthersOfDeath(dead int) {
	for observer, member := range m.Members {
		if member.Process != nil && !member.Paused {
			m.Protocol.informOfDeath(m, observer, dead)
		}
	}
}

// resumeMember ends the pause of a member: its overdue timers fire first, in their order, then it is informed of the dead members, and the
// held datagrams join those in flight.
func (m *tierModel) resumeMember(index int) {
	member := &m.Members[index]
	held := member.HeldDatagrams
	member.Paused, member.HeldDatagrams, member.UndisturbedSince = false, nil, m.Now
	for {
		if owner, _, at := m.nextDueEvent(); owner != index || at >= m.Now {
			break
		}
		m.handleNextDue()
	}
	for other := range m.Members {
		if m.Members[other].Process == nil {
			m.Protocol.informOfDeath(m, index, other)
		}
	}
	m.InFlight = append(m.InFlight, held...)
}

// settle resumes all paused members, lets settleTime pass without faults and checks the final state.
func (m *tierModel) settle() {
	for index, member := range m.Members {
		if member.Paused {
			m.resumeMember(index)
		}
	}
	m.runUndisturbed(m.Now + settleTime)
	m.Settled = true
	m.Protocol.checkSettled(m)
}
