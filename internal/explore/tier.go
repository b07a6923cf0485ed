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
	datagramDelay = 200 * time.Millisecond
	settleTime    = 25 * time.Second // how long the tier runs without faults before its final state is checked
	tierStartTime = 1_000_000 * time.Second
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

// stepEffects are the effects that a step of a process requests.
type stepEffects struct {
	Sends  []sentDatagram
	Timers []memberTimer
}

// tierProtocol is a protocol between the members of a tier, with its invariants. The int parameters are member indexes.
type tierProtocol interface {
	// startMember starts a process of a member.
	startMember(t *tierModel, index int, incarnation uint8) (memberProcess, stepEffects)
	// converged is called once, when all members have started and found each other, before the first fault.
	converged(t *tierModel)
	// memberKilled informs the other members, where the protocol needs it, that a member has been killed.
	memberKilled(t *tierModel, index int)
	// checkStep checks the invariants after a step of a member.
	checkStep(t *tierModel, index int)
	// checkTimePassed checks the invariants after time has passed.
	checkTimePassed(t *tierModel)
	// checkSettled checks the invariants of the final state.
	checkSettled(t *tierModel)
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
	FaultsUntil time.Duration // no faults are injected after this time
	FaultsLeft  int           // faults that may still be injected
	PausesLeft  int           // pauses of members that may still be injected
	LastFault   time.Duration // time of the last fault, pause, start or end of a pause
	Settled     bool          // the final state has been reached and checked
	Violation   *Violation
}

// newTierModel returns the initial state: all members have started at the same time and have run for convergeTime.
// Config.Servers is the number of members, and Config.Calls the time in which faults are injected, in half seconds.
func newTierModel(cfg Config, protocol tierProtocol, convergeTime time.Duration) *tierModel {
	t := &tierModel{Config: cfg, Protocol: protocol, Members: make([]tierMember, cfg.Servers), Now: tierStartTime, FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses}
	for index := range t.Members {
		t.startMember(index)
	}
	t.runUndisturbed(tierStartTime + convergeTime)
	protocol.converged(t)
	t.FaultsUntil = t.Now + time.Duration(cfg.Calls)*500*time.Millisecond
	return t
}

// Digest returns the digest of the whole model.
func (t *tierModel) Digest() xxh3.Uint128  { return digestOf(t) }
func (t *tierModel) violation() *Violation { return t.Violation }
func (t *tierModel) clock() time.Duration  { return t.Now }

// Terminal reports whether the tier has settled.
func (t *tierModel) Terminal() bool { return t.Settled }

// checkDeadlock does nothing: actSettle is always enabled in the end, and the settled state is terminal.
func (t *tierModel) checkDeadlock() {}

// recordViolation records the violation of an invariant, unless an earlier one is recorded.
func (t *tierModel) recordViolation(invariant Invariant, format string, args ...any) {
	if t.Violation == nil {
		t.Violation = &Violation{invariant, fmt.Sprintf(format, args...)}
	}
}

// startMember starts a process of a member, at first or after the member was killed.
func (t *tierModel) startMember(index int) {
	member := &t.Members[index]
	incarnation := member.Incarnations
	process, effects := t.Protocol.startMember(t, index, incarnation)
	*member = tierMember{Process: process, UndisturbedSince: t.Now, Incarnations: incarnation + 1}
	t.applyEffects(index, effects)
}

// applyEffects sends the datagrams and sets the timers that a member's step requests, and checks the invariants.
func (t *tierModel) applyEffects(index int, effects stepEffects) {
	for i, sent := range effects.Sends {
		if len(sent.Data) > datagram.MaxSize || i >= maxBurst {
			t.recordViolation(DatagramLimits, "member %d sends a datagram of %d bytes, number %d of one event", index, len(sent.Data), i+1)
		}
		sent.From = index
		t.InFlight = append(t.InFlight, sent)
	}
	t.Members[index].Timers = append(t.Members[index].Timers, effects.Timers...)
	t.Protocol.checkStep(t, index)
}

// deliver hands a datagram to its receiver. A killed member loses the datagram; a paused member handles it later.
func (t *tierModel) deliver(sent sentDatagram) {
	switch member := &t.Members[sent.To]; {
	case member.Process == nil:
	case member.Paused:
		member.HeldDatagrams = append(member.HeldDatagrams, sent)
	default:
		t.applyEffects(sent.To, member.Process.receive(t.Now, sent.From, sent.Data))
	}
}

// nextDue returns the earliest timer or delayed datagram. For a timer, owner is the index of its member and position its
// index in Timers; for a datagram, owner is -1 and position its index in t.Delayed. If there is neither, owner is -2.
func (t *tierModel) nextDue() (owner, position int, at time.Duration) {
	owner, position = -2, -1
	for index, member := range t.Members {
		if member.Process == nil || member.Paused {
			continue
		}
		for i, timer := range member.Timers {
			if owner == -2 || timer.At < at {
				owner, position, at = index, i, timer.At
			}
		}
	}
	for i, sent := range t.Delayed {
		if owner == -2 || sent.DeliverAt < at {
			owner, position, at = -1, i, sent.DeliverAt
		}
	}
	return owner, position, at
}

// advance moves the time to that of the next timer or delayed datagram and handles it.
func (t *tierModel) advance() {
	owner, position, at := t.nextDue()
	t.Now = max(t.Now, at)
	switch {
	case owner == -1:
		sent := t.Delayed[position]
		t.Delayed = slices.Delete(t.Delayed, position, position+1)
		t.deliver(sent)
	case owner >= 0:
		member := &t.Members[owner]
		timer := member.Timers[position]
		member.Timers = slices.Delete(member.Timers, position, position+1)
		t.applyEffects(owner, member.Process.timerFired(t.Now, timer.Token))
	}
	t.Protocol.checkTimePassed(t)
}

// runUndisturbed delivers datagrams and fires timers without faults until the given time.
func (t *tierModel) runUndisturbed(until time.Duration) {
	for t.Violation == nil {
		if len(t.InFlight) > 0 {
			sent := t.InFlight[0]
			t.InFlight = t.InFlight[1:]
			t.deliver(sent)
			continue
		}
		if owner, _, at := t.nextDue(); owner == -2 || at > until {
			t.Now = max(t.Now, until)
			return
		}
		t.advance()
	}
}

// EnabledActions returns the actions possible in the current state, always in the same order.
func (t *tierModel) EnabledActions() (actions []Action) {
	add := func(kind ActionKind, target int, fault bool) {
		if !fault || t.FaultsLeft > 0 {
			actions = append(actions, Action{Kind: kind, Target: uint8(target)})
		}
	}
	switch {
	case t.Settled:
		return nil
	case t.Now >= t.FaultsUntil && len(t.InFlight) == 0:
		add(actSettle, 0, false)
		return actions
	case len(t.InFlight) > 0:
		add(actDeliverDatagram, 0, false)
		add(actLoseDatagram, 0, true)
		add(actDelayDatagram, 0, true)
		return actions
	}
	add(actTick, 0, false)
	for index, member := range t.Members {
		switch {
		case member.Process == nil:
			add(actStartMember, index, false)
		case member.Paused:
			add(actResumeMember, index, false)
		default:
			add(actKillMember, index, true)
			if t.PausesLeft > 0 {
				add(actPauseMember, index, false)
			}
		}
	}
	return actions
}

// TryApply applies an action if it is enabled in the current state, and reports whether it was.
func (t *tierModel) TryApply(a Action) bool {
	if !slices.Contains(t.EnabledActions(), a) {
		return false
	}
	t.apply(a)
	return true
}

// apply applies an enabled action.
func (t *tierModel) apply(a Action) {
	index := int(a.Target)
	if a.Kind != actDeliverDatagram && a.Kind != actTick && a.Kind != actSettle {
		t.LastFault = t.Now
	}
	switch a.Kind {
	case actDeliverDatagram, actLoseDatagram, actDelayDatagram:
		sent := t.InFlight[0]
		t.InFlight = t.InFlight[1:]
		switch a.Kind {
		case actDeliverDatagram:
			t.deliver(sent)
		case actDelayDatagram:
			sent.DeliverAt = t.Now + datagramDelay
			t.Delayed = append(t.Delayed, sent)
		}
	case actTick:
		t.advance()
	case actKillMember:
		t.Members[index] = tierMember{DiedAt: t.Now, Incarnations: t.Members[index].Incarnations}
		t.Protocol.memberKilled(t, index)
	case actStartMember:
		t.startMember(index)
	case actPauseMember:
		t.PausesLeft--
		t.Members[index].Paused = true
	case actResumeMember:
		t.resume(index)
	case actSettle:
		t.settle()
	}
	if a.Kind == actLoseDatagram || a.Kind == actDelayDatagram || a.Kind == actKillMember {
		t.FaultsLeft--
	}
}

// resume ends the pause of a member: its overdue timers fire first, in their order, then it receives the held datagrams.
func (t *tierModel) resume(index int) {
	member := &t.Members[index]
	held := member.HeldDatagrams
	member.Paused, member.HeldDatagrams, member.UndisturbedSince = false, nil, t.Now
	for {
		if owner, _, at := t.nextDue(); owner != index || at >= t.Now {
			break
		}
		t.advance()
	}
	t.InFlight = append(t.InFlight, held...)
}

// settle resumes all paused members, lets settleTime pass without faults and checks the final state.
func (t *tierModel) settle() {
	for index, member := range t.Members {
		if member.Paused {
			t.resume(index)
		}
	}
	t.runUndisturbed(t.Now + settleTime)
	t.Settled = true
	t.Protocol.checkSettled(t)
}
