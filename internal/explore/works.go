package explore

import (
	"time"

	"elmseam/internal/maintenance"
)

// The rules on ordered maintenance.
const (
	WithinMaintenanceBudget Invariant = "in-budget" // never more than B out
	OnlyRequested           Invariant = "asked-for" // no member goes out that nobody asked for
	MaintainedOnce          Invariant = "all-once"  // every member asked for that lives is maintained in the end, once
	NoStuckDrain            Invariant = "not-stuck" // none is left out, or draining without a slot
)

// What the world around a member does to it, as timers of its own.
type (
	lastCallEnded struct{ Incarnation uint8 } // its last call is over
	workFinished  struct{ Incarnation uint8 } // an operator has finished
)

// works is the protocol of maintenance: the first two members are asked for, at two members at once; the last is not.
type maintenanceProtocol struct {
	Limits          maintenance.Limits
	MaintainedCount []int // times that a member was maintained
}

func newMaintenanceModel(cfg Config) *tierModel {
	l := maintenance.Defaults()
	l.Lease, l.WorkLease, l.Round = 2*time.Second, 3*time.Second, 500*time.Millisecond
	return newTierModel(cfg, &maintenanceProtocol{l, make([]int, cfg.Servers)}, 3*time.Second)
}

// workNode is a member's reducer, and what it does at its word.
type maintenanceProcess struct {
	Reducer     *maintenance.Reducer
	Protocol    *maintenanceProtocol
	Self        int
	Incarnation uint8
	Draining    bool
	Stage       maintenance.Stage
}

func (p *maintenanceProcess) step(now time.Duration, ev maintenance.Event) stepEffects {
	return p.collectEffects(now, p.Reducer.Step(now, ev))
}

func (p *maintenanceProcess) receive(now time.Duration, from int, data []byte) stepEffects {
	return p.step(now, maintenance.Datagram{From: from, Data: data})
}

func (p *maintenanceProcess) timerFired(now time.Duration, token any) stepEffects {
	switch token := token.(type) {
	case maintenance.Token:
		return p.step(now, maintenance.TimerFired{Token: token})
	case lastCallEnded:
		if token.Incarnation == p.Incarnation && p.Reducer.AwaitsDrained() {
			return p.step(now, maintenance.Drained{})
		}
	case workFinished:
		if token.Incarnation == p.Incarnation && p.Stage == maintenance.Ready && p.Reducer.Status().Expiry > now { // else it goes again
			return p.step(now, maintenance.Cancel{Members: []int{p.Self}})
		}
	}
	return p.step(now, maintenance.MemberAvailability{Member: p.Self}) // nothing happens, and time has passed
}

const workDuration = 300 * time.Millisecond

func (p *maintenanceProcess) collectEffects(now time.Duration, effects []maintenance.Effect) (result stepEffects) {
	for _, e := range effects {
		switch e := e.(type) {
		case maintenance.Send:
			result.Sends = append(result.Sends, sentDatagram{To: e.To, Data: e.Data})
		case maintenance.Timer:
			result.Timers = append(result.Timers, memberTimer{e.At, e.Token})
		case maintenance.Drain:
			if p.Draining = e.On; e.On {
				result.Timers = append(result.Timers, memberTimer{now + workDuration, lastCallEnded{p.Incarnation}})
			}
		case maintenance.RequestChanged:
			if e.Member != p.Self {
				break
			}
			oldStage := p.Stage
			switch p.Stage = e.Record.Stage; {
			case p.Stage == maintenance.Ready:
				result.Timers = append(result.Timers, memberTimer{now + workDuration, workFinished{p.Incarnation}})
			case p.Stage == maintenance.Done && oldStage == maintenance.Ready:
				p.Protocol.MaintainedCount[p.Self]++
			}
		}
	}
	return result
}

func (p *maintenanceProtocol) startMember(t *tierModel, index int, incarnation uint8) (memberProcess, stepEffects) {
	reducer, effects, err := maintenance.New(maintenance.Config{Self: index, TierSize: len(t.Members), Zone: -1, Limits: p.Limits,
		Seed: t.Config.Seed + uint64(index) + 100*uint64(incarnation), DisabledGuards: t.Config.DisabledMaintenanceGuards}, t.Now)
	if err != nil {
		panic(err)
	}
	process := &maintenanceProcess{Reducer: reducer, Protocol: p, Self: index, Incarnation: incarnation}
	result := process.collectEffects(t.Now, effects)
	add := func(effects stepEffects) {
		result.Sends, result.Timers = append(result.Sends, effects.Sends...), append(result.Timers, effects.Timers...)
	}
	for other, member := range t.Members {
		add(process.step(t.Now, maintenance.MemberAvailability{Member: other, Available: member.Process != nil || incarnation == 0}))
		if member.Process != nil && !member.Paused && other != index {
			t.applyEffects(other, member.Process.(*maintenanceProcess).step(t.Now, maintenance.MemberAvailability{Member: index, Available: true}))
		}
	}
	add(process.step(t.Now, maintenance.Serving{Serving: true}))
	return process, result
}

func (p *maintenanceProtocol) converged(t *tierModel) {
	t.applyEffects(0, t.Members[0].Process.(*maintenanceProcess).step(t.Now, maintenance.Request{Members: []int{0, 1}}))
	last := len(t.Members) - 1
	t.applyEffects(last, t.Members[last].Process.(*maintenanceProcess).step(t.Now, maintenance.Request{Members: []int{1}}))
}

func (p *maintenanceProtocol) memberKilled(t *tierModel, index int) {
	for other, member := range t.Members {
		if member.Process != nil && !member.Paused {
			t.applyEffects(other, member.Process.(*maintenanceProcess).step(t.Now, maintenance.MemberAvailability{Member: index}))
		}
	}
}

func (p *maintenanceProtocol) checkStep(t *tierModel, m int) {
	drainingCount := 0
	for index, member := range t.Members {
		if member.Process == nil || member.Paused {
			continue
		}
		process := member.Process.(*maintenanceProcess)
		if process.Draining {
			if drainingCount++; index >= 2 {
				t.recordViolation(OnlyRequested, "member %d goes out, and nobody asked for it", index)
			}
		}
	}
	if drainingCount > p.Limits.Budget {
		t.recordViolation(WithinMaintenanceBudget, "%d members are out", drainingCount)
	}
}

func (p *maintenanceProtocol) checkTimePassed(*tierModel) {}

func (p *maintenanceProtocol) checkSettled(t *tierModel) {
	for index, member := range t.Members {
		if member.Process == nil {
			continue
		}
		process := member.Process.(*maintenanceProcess)
		if process.Draining || process.Reducer.HoldsSlot() {
			t.recordViolation(NoStuckDrain, "%v after the last disturbance member %d drains: %t, and holds a slot: %t", settleTime, index, process.Draining, process.Reducer.HoldsSlot())
		}
		for target, record := range process.Reducer.Status().Records {
			if t.Members[target].Process != nil && !record.Stage.Ended() {
				t.recordViolation(MaintainedOnce, "%v after the last disturbance member %d holds the request for member %d to be %v", settleTime, index, target, record.Stage)
			}
		}
		if want := map[bool]int{true: 1}[index < 2]; p.MaintainedCount[index] != want && !(member.Incarnations > 1 && p.MaintainedCount[index] == 0 && process.Reducer.Status().Records[index].Generation == 0) {
			t.recordViolation(MaintainedOnce, "member %d was maintained %d times", index, p.MaintainedCount[index])
		}
	}
}
