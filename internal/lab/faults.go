package lab

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// executePlan executes the plan's actions at their times. Work that waits for softswitches to become ready runs in the
// background, so that it delays no later action. executePlan returns when that work is done, after the last action or
// once stop is closed.
func (r *runner) executePlan(stop chan struct{}) {
	var background sync.WaitGroup
	defer background.Wait()
	for _, action := range Plan(r.scenario, r.options.SelfTestFault != "weak cold servers") {
		select {
		case <-stop:
			return
		case <-time.After(action.At - r.now()):
		}
		r.performAction(action, &background)
	}
}

// membersAt returns the members with the given indexes.
func (r *runner) membersAt(indexes []int) []*member {
	var members []*member
	for _, index := range indexes {
		members = append(members, r.members[index])
	}
	return members
}

// performAction executes one action of the plan. Tasks that wait run in goroutines counted by background.
func (r *runner) performAction(action Action, background *sync.WaitGroup) {
	now := r.now()
	if action.Fault >= 0 {
		fault := r.scenario.Faults[action.Fault]
		r.mu.Lock()
		r.injectedFaults = append(r.injectedFaults,
			InjectedFault{At: now.Seconds(), Kind: fault.Kind, Detail: fmt.Sprint(fault.Target, fault.Groups, fault.Server)})
		r.mu.Unlock()
	}
	r.options.Log.Info().Stringer("act", action.Kind).Ints("places", action.Members).
		Str("server", action.Server).Dur("at", now).Msg("step")
	members := r.membersAt(action.Members)
	inBackground := func(task func()) {
		background.Add(1)
		go func() { defer background.Done(); task() }()
	}
	switch action.Kind {
	case ActKill:
		signal := syscall.SIGKILL
		if action.Term {
			signal = syscall.SIGTERM
		}
		for _, m := range members {
			r.recordFault(m, map[bool]string{true: "term", false: "kill"}[action.Term], true)
			inBackground(func() { m.stopProcess(signal, 5*time.Second) })
		}
	case ActLaunch:
		inBackground(func() {
			for _, m := range members {
				m.stopProcess(syscall.SIGKILL, time.Second)
				if err := r.launch(m); err != nil {
					r.options.Log.Error().Err(err).Str("softswitch", m.name).Msg("restart failed")
				}
			}
			r.waitReady(members)
			for _, m := range members {
				r.recordFault(m, "", false)
			}
		})
	case ActPause:
		for _, m := range members {
			r.recordFault(m, "pause", true)
			m.signalProcess(syscall.SIGSTOP)
		}
	case ActResume:
		for _, m := range members {
			m.signalProcess(syscall.SIGCONT)
		}
		inBackground(func() {
			r.waitReady(members)
			for _, m := range members {
				r.recordFault(m, "", false)
			}
		})
	case ActNetworkConditions:
		r.relay.SetConditions(action.Conditions)
		r.mu.Lock()
		r.tierChecker.SetConditions(now, action.Conditions)
		r.mu.Unlock()
	case ActReset:
		memberSet := map[int]bool{}
		for _, index := range action.Members {
			memberSet[index] = true
		}
		r.servers[action.Server].resetConns(memberSet, false)
	case ActStall:
		r.servers[action.Server].setStalled(action.Members, action.Stall)
	case ActSlow:
		r.servers[action.Server].setSlowdown(action.Factor)
	case ActMaintenance:
		inBackground(func() { r.requestMaintenance(action) })
	case ActServerStatus:
		if action.Withdraw {
			r.mu.Lock()
			r.checker.RecordRetirement(action.Server, now)
			r.mu.Unlock()
		}
		if !action.Withdraw || r.options.SelfTestFault != "unheard drains" {
			var startedAtMS int64
			if action.Status == "in_service" {
				startedAtMS = time.Now().UnixMilli()
			}
			r.commandChannel.publish(false, serverChange{name: action.Server, status: action.Status, sinceMS: startedAtMS})
		}
		if action.Status == "terminated" {
			r.servers[action.Server].resetConns(nil, true)
		}
	}
}

// recordFault records that the lab begins (begins true) to disturb a softswitch by a fault of this kind, or ceases to
// disturb it; then kind is not used.
func (r *runner) recordFault(softswitch *member, kind string, begins bool) {
	now := r.now()
	if disturbed := softswitch.markFaultSpan(now, begins); disturbed && !begins {
		return // by another fault
	}
	r.mu.Lock()
	r.tierChecker.RecordFault(now, softswitch.index, kind, begins)
	r.mu.Unlock()
}
