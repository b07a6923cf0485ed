package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam/internal/datagram"
)

const (
	maxBurst      = 48 // datagrams that one event may cause, of a handful of members
	datagramDelay = 200 * time.Millisecond
	settleTime    = 25 * time.Second // without a disturbance, after the last
	tierStartTime = 1_000_000 * time.Second
)

// DatagramLimits is a rule on all that members of a tier say: no datagram of more than 256 bytes, and no burst of them.
const DatagramLimits Invariant = "small"

// peerNode is a member's reducer, of whatever protocol.
type memberProcess interface {
	receive(now time.Duration, from int, data []byte) stepEffects
	timerFired(now time.Duration, token any) stepEffects
}

// outcome is what a step of a node asks for.
type stepEffects struct {
	Sends  []sentDatagram
	Timers []memberTimer
}

// protocol is what members of a tier do, with its rules.
type tierProtocol interface {
	startMember(t *tierModel, m int, life uint8) (memberProcess, stepEffects) // a member starts, or starts anew
	converged(t *tierModel)                                                   // all have come together, and the turmoil begins
	memberKilled(t *tierModel, m int)
	checkStep(t *tierModel, m int) // judges what a member holds now
	checkTimePassed(t *tierModel)  // judges what is held when time has passed
	checkSettled(t *tierModel)     // judges what is held in the end
}

// tierTimer is one that a member asked for.
type memberTimer struct {
	At    time.Duration
	Token any
}

// tierMember is a member with what waits for it.
type tierMember struct {
	Process          memberProcess // nil: killed
	Paused           bool
	Timers           []memberTimer  // as they came
	HeldDatagrams    []sentDatagram // datagrams that came while it was paused
	DiedAt           time.Duration
	UndisturbedSince time.Duration // since when it has run undisturbed
	Incarnations     uint8
}

// flight is a datagram on its way.
type sentDatagram struct {
	From, To  int
	Data      []byte
	DeliverAt time.Duration // of a slow one
}

// tier is all members of a tier, and the network between them. Datagrams take no time but those that are slow.
type tierModel struct {
	Config      Config
	Protocol    tierProtocol
	Members     []tierMember
	InFlight    []sentDatagram // in order
	Delayed     []sentDatagram
	Now         time.Duration
	FaultsUntil time.Duration // until then there are disturbances
	FaultsLeft  int           // of them
	PausesLeft  int           // and members that may stand still
	LastFault   time.Duration // the last disturbance
	Settled     bool
	Violation   *Violation
}

// newTier begins with all members started at once, and come together. Servers are members here, and calls the half
// seconds of turmoil.
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

func (t *tierModel) Digest() xxh3.Uint128  { return digestOf(t) }
func (t *tierModel) violation() *Violation { return t.Violation }
func (t *tierModel) clock() time.Duration  { return t.Now }
func (t *tierModel) Terminal() bool        { return t.Settled }
func (t *tierModel) checkDeadlock()        {}

func (t *tierModel) recordViolation(invariant Invariant, format string, args ...any) {
	if t.Violation == nil {
		t.Violation = &Violation{invariant, fmt.Sprintf(format, args...)}
	}
}

func (t *tierModel) startMember(index int) {
	member := &t.Members[index]
	incarnation := member.Incarnations
	process, effects := t.Protocol.startMember(t, index, incarnation)
	*member = tierMember{Process: process, UndisturbedSince: t.Now, Incarnations: incarnation + 1}
	t.applyEffects(index, effects)
}

// carry takes what a member asks for in, and judges the member.
func (t *tierModel) applyEffects(index int, effects stepEffects) {
	for i, sent := range effects.Sends {
		if len(sent.Data) > datagram.MaxSize || i >= maxBurst {
			t.recordViolation(DatagramLimits, "member %d sends %d bytes, as its datagram %d of one event", index, len(sent.Data), i+1)
		}
		sent.From = index
		t.InFlight = append(t.InFlight, sent)
	}
	t.Members[index].Timers = append(t.Members[index].Timers, effects.Timers...)
	t.Protocol.checkStep(t, index)
}

// arrive has a datagram reach its member.
func (t *tierModel) deliver(sent sentDatagram) {
	switch member := &t.Members[sent.To]; {
	case member.Process == nil:
	case member.Paused:
		member.HeldDatagrams = append(member.HeldDatagrams, sent)
	default:
		t.applyEffects(sent.To, member.Process.receive(t.Now, sent.From, sent.Data))
	}
}

// first is the timer that is due first: the member and its place there; a slow datagram has member -1.
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

// tick lets time pass until something is due, and has it happen.
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

// quietly lets time pass with no disturbance.
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

// EnabledActions are all things that can happen next.
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

// TryApply has something happen. It says no to what can't happen now.
func (t *tierModel) TryApply(a Action) bool {
	if !slices.Contains(t.EnabledActions(), a) {
		return false
	}
	t.apply(a)
	return true
}

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

// goOn lets a paused member go on: its overdue timers come first, in their order, then what it was sent.
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

// settle lets all that stands still go on and time pass with no disturbance, and judges what is held then.
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
