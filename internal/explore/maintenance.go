package explore

import (
	"time"

	"elmseam/internal/maintenance"
)

// The invariants of requested maintenance.
const (
	// WithinMaintenanceBudget: at most Limits.Budget members are out of service (draining or under maintenance) at the same
	// time.
	WithinMaintenanceBudget Invariant = "in-budget"
	// OnlyRequested: no member drains without a request for its maintenance.
	OnlyRequested Invariant = "asked-for"
	// MaintainedOnce: in the end every running member with a request has been maintained exactly once.
	MaintainedOnce Invariant = "all-once"
	// NoStuckDrain: in the end no member drains or holds a slot.
	NoStuckDrain Invariant = "not-stuck"
)

// Events in the environment of a member, represented as tokens of its timers. They apply to one incarnation only.
type (
	lastCallEnded struct{ Incarnation uint8 } // the last call of the draining member has ended
	workFinished  struct{ Incarnation uint8 } // an operator has finished the work on the member
)

// maintenanceProtocol runs the maintenance reducer of each member. Two members receive requests at the same time: the first
// for the maintenance of members 0 and 1, the last for that of member 1. In a tier of three members no request is for
// member 2.
type maintenanceProtocol struct {
	Limits          maintenance.Limits
	MaintainedCount []int // completed maintenance runs, indexed by member
}

// newMaintenanceModel returns the initial state of the maintenance model. The leases are short, so that they can expire
// within the periods in which faults are injected.
func newMaintenanceModel(cfg Config) *tierModel {
	limits := maintenance.Defaults()
	limits.Lease, limits.WorkLease, limits.RoundTimeout = 2*time.Second, 3*time.Second, 500*time.Millisecond
	return newTierModel(cfg, &maintenanceProtocol{limits, make([]int, cfg.Servers)}, 3*time.Second)
}

// maintenanceProcess is the running process of a member: its maintenance reducer, and the effects of that reducer so far.
type maintenanceProcess struct {
	Reducer     *maintenance.Reducer
	Protocol    *maintenanceProtocol
	Self        int
	Incarnation uint8
	Draining    bool
	Stage       maintenance.Stage // stage of the maintenance request for this member
}

// stepReducer passes an event to the reducer and converts the reducer's effects to stepEffects.
func (p *maintenanceProcess) stepReducer(now time.Duration, event maintenance.Event) stepEffects {
	return p.collectEffects(now, p.Reducer.Step(now, event))
}

// receive passes a datagram to the reducer.
func (p *maintenanceProcess) receive(now time.Duration, from int, data []byte) stepEffects {
	return p.stepReducer(now, maintenance.Datagram{From: from, Data: data})
}

// timerFired passes a timer to the reducer, or ends the drain or the work of the member's current incarnation.
func (p *maintenanceProcess) timerFired(now time.Duration, token any) stepEffects {
	switch token := token.(type) {
	case maintenance.Token:
		return p.stepReducer(now, maintenance.TimerFired{Token: token})
	case lastCallEnded:
		if token.Incarnation == p.Incarnation && p.Reducer.AwaitsDrained() {
			return p.stepReducer(now, maintenance.Drained{})
		}
	case workFinished:
		// If the lease has expired, the work doesn't end the maintenance: the member drains again.
		if token.Incarnation == p.Incarnation && p.Stage == maintenance.StageReady && p.Reducer.Status().Expiry > now {
			return p.stepReducer(now, maintenance.Cancel{Members: []int{p.Self}})
		}
	}
	// This event only tells the reducer that time has passed: the availability of the member itself changes nothing.
	return p.stepReducer(now, maintenance.MemberAvailability{Member: p.Self})
}

// workDuration is the time from the start of a drain to the end of the last call, and also the duration of the work on a
// member.
const workDuration = 300 * time.Millisecond

// collectEffects applies the reducer's effects to the process. It returns the datagrams and timers among them, and timers for
// the events that follow in the member's environment.
func (p *maintenanceProcess) collectEffects(now time.Duration, effects []maintenance.Effect) (result stepEffects) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case maintenance.Send:
			result.Sends = append(result.Sends, sentDatagram{To: effect.To, Data: effect.Data})
		case maintenance.Timer:
			result.Timers = append(result.Timers, memberTimer{effect.At, effect.Token})
		case maintenance.Drain:
			if p.Draining = effect.On; effect.On {
				result.Timers = append(result.Timers, memberTimer{now + workDuration, lastCallEnded{p.Incarnation}})
			}
		case maintenance.RequestChanged:
			if effect.Member != p.Self {
				break
			}
			oldStage := p.Stage
			switch p.Stage = effect.Record.Stage; {
			case p.Stage == maintenance.StageReady:
				result.Timers = append(result.Timers, memberTimer{now + workDuration, workFinished{p.Incarnation}})
			case p.Stage == maintenance.StageDone && oldStage == maintenance.StageReady:
				p.Protocol.MaintainedCount[p.Self]++
			}
		}
	}
	return result
}

// startMember starts a member's reducer, and informs it and the running, unpaused members of each other. All members start
// together, so at its first start the reducer considers every member available.
func (p *maintenanceProtocol) startMember(tier *tierModel, index int, incarnation uint8) (memberProcess, stepEffects) {
	reducer, effects, err := maintenance.New(maintenance.Config{Self: index, TierSize: len(tier.Members), Zone: -1, Limits: p.Limits,
		Seed: tier.Config.Seed + uint64(index) + 100*uint64(incarnation), DisabledGuards: tier.Config.DisabledMaintenanceGuards}, tier.Now)
	if err != nil {
		panic(err)
	}
	process := &maintenanceProcess{Reducer: reducer, Protocol: p, Self: index, Incarnation: incarnation}
	result := process.collectEffects(tier.Now, effects)
	addEffects := func(effects stepEffects) {
		result.Sends, result.Timers = append(result.Sends, effects.Sends...), append(result.Timers, effects.Timers...)
	}
	for other, member := range tier.Members {
		addEffects(process.stepReducer(tier.Now, maintenance.MemberAvailability{Member: other, Available: member.Process != nil || incarnation == 0}))
		if member.Process != nil && !member.Paused && other != index {
			tier.applyEffects(other, member.Process.(*maintenanceProcess).stepReducer(tier.Now, maintenance.MemberAvailability{Member: index, Available: true}))
		}
	}
	addEffects(process.stepReducer(tier.Now, maintenance.Serving{Serving: true}))
	return process, result
}

// tierConverged requests the maintenance of members 0 and 1 at the first member, and that of member 1 at the last member too.
func (p *maintenanceProtocol) tierConverged(tier *tierModel) {
	tier.applyEffects(0, tier.Members[0].Process.(*maintenanceProcess).stepReducer(tier.Now, maintenance.Request{Members: []int{0, 1}}))
	last := len(tier.Members) - 1
	tier.applyEffects(last, tier.Members[last].Process.(*maintenanceProcess).stepReducer(tier.Now, maintenance.Request{Members: []int{1}}))
}

// informOfDeath informs a member that another one is dead.
func (p *maintenanceProtocol) informOfDeath(tier *tierModel, observer, dead int) {
	process := tier.Members[observer].Process.(*maintenanceProcess)
	tier.applyEffects(observer, process.stepReducer(tier.Now, maintenance.MemberAvailability{Member: dead}))
}

// checkStep checks the invariants OnlyRequested and WithinMaintenanceBudget for the running, unpaused members.
func (p *maintenanceProtocol) checkStep(tier *tierModel, index int) {
	drainingCount := 0
	for other, member := range tier.Members {
		if member.Process == nil || member.Paused {
			continue
		}
		process := member.Process.(*maintenanceProcess)
		if process.Draining {
			if drainingCount++; other >= 2 {
				tier.recordViolation(OnlyRequested, "member %d drains without a request", other)
			}
		}
	}
	if drainingCount > p.Limits.Budget {
		tier.recordViolation(WithinMaintenanceBudget, "%d members are out of service at the same time", drainingCount)
	}
}

// checkTimePassed does nothing: all invariants are checked after steps or in the settled state.
func (p *maintenanceProtocol) checkTimePassed(*tierModel) {}

// checkSettled checks the invariants NoStuckDrain and MaintainedOnce. Members 0 and 1 have requests; one of them that was
// restarted and has lost its records may not have been maintained at all.
func (p *maintenanceProtocol) checkSettled(tier *tierModel) {
	for index, member := range tier.Members {
		if member.Process == nil {
			continue
		}
		process := member.Process.(*maintenanceProcess)
		if process.Draining || process.Reducer.HoldsSlot() {
			tier.recordViolation(NoStuckDrain, "after %v without faults member %d drains: %t, and holds a slot: %t", settleTime, index, process.Draining, process.Reducer.HoldsSlot())
		}
		for target, record := range process.Reducer.Status().Records {
			if tier.Members[target].Process != nil && !record.Stage.Ended() {
				tier.recordViolation(MaintainedOnce, "after %v without faults member %d considers the request for member %d to be %v", settleTime, index, target, record.Stage)
			}
		}
		if want := map[bool]int{true: 1}[index < 2]; p.MaintainedCount[index] != want && !(member.Incarnations > 1 && p.MaintainedCount[index] == 0 && process.Reducer.Status().Records[index].Generation == 0) {
			tier.recordViolation(MaintainedOnce, "member %d was maintained %d times", index, p.MaintainedCount[index])
		}
	}
}
