package lab

import (
	"sync"
	"time"
)

// sampleMembers samples every admin endpoint at the scenario's interval and records, for each second, which softswitches
// were ready and the states that they reported. It also checks the maintenance budget, if the scenario has one.
func (r *runner) sampleMembers(stop chan struct{}) {
	ticker := time.NewTicker(r.scenario.SampleInterval.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var wg sync.WaitGroup
		for _, m := range r.members {
			wg.Add(1)
			go func() { defer wg.Done(); m.pollAdminEndpoint() }()
		}
		wg.Wait()
		second := int(r.now() / time.Second)
		r.mu.Lock()
		for len(r.readyBySecond) <= second {
			r.readyBySecond = append(r.readyBySecond, make([]bool, len(r.members)))
		}
		for i, m := range r.members {
			r.readyBySecond[second][i] = m.isReady()
		}
		r.mu.Unlock()
		r.readViews()
		r.mu.Lock()
		if r.scenario.MaintenanceBudget > 0 {
			r.tierChecker.CheckMaintenanceBudget(r.now(), r.scenario.MaintenanceBudget,
				func(index int) bool { return !r.members[index].isReady() })
		}
		for len(r.viewsBySecond) <= second {
			r.viewsBySecond = append(r.viewsBySecond, nil)
		}
		r.viewsBySecond[second] = r.tierChecker.StateInitials()
		r.mu.Unlock()
	}
}

// readViews reads each softswitch's view of its tier, if membership is on. If the scenario has a maintenance budget, it
// also plays the operator for each softswitch.
func (r *runner) readViews() {
	if r.scenario.Membership == nil {
		return
	}
	var wg sync.WaitGroup
	for i, softswitch := range r.members {
		wg.Go(func() {
			view, ok := softswitch.readView()
			r.mu.Lock()
			if ok {
				r.tierChecker.RecordView(r.now(), i, view)
			}
			r.mu.Unlock()
			if r.scenario.MaintenanceBudget > 0 {
				r.operateMaintenance(softswitch)
			}
		})
	}
	wg.Wait()
}
