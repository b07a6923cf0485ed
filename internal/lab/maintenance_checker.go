package lab

import "time"

// MaintenanceRun is one time that a softswitch was out for work. Times are since the start of the run; negative: it did not come to
// that.
type MaintenanceRun struct {
	Softswitch string        `json:"softswitch"`
	OutAt      time.Duration `json:"out_ns"`   // it sends its callers away
	ReadyAt    time.Duration `json:"ready_ns"` // nothing is left on it
	BackAt     time.Duration `json:"back_ns"`  // it holds its slot no more
	index      int
}

// RecordMaintenance takes in what a softswitch says of itself: that it is out, and ready for work.
func (c *TierChecker) RecordMaintenance(at time.Duration, index int, outOfService, ready bool) {
	var current *MaintenanceRun
	for _, run := range c.maintenanceRuns {
		if run.index == index && run.BackAt < 0 {
			current = run
		}
	}
	if outOfService && current == nil {
		current = &MaintenanceRun{Softswitch: MemberName(index), OutAt: at, ReadyAt: -1, BackAt: -1, index: index}
		c.maintenanceRuns = append(c.maintenanceRuns, current)
	}
	if current == nil {
		return
	}
	if ready && current.ReadyAt < 0 {
		current.ReadyAt = at
	}
	if !outOfService {
		current.BackAt = at
	}
}

// CheckMaintenanceBudget judges how many softswitches are out for work, by their readiness as it is seen from outside. Those that the lab itself
// hinders, or has just ceased to, are not counted; one that the lab's operator works on is.
func (c *TierChecker) CheckMaintenanceBudget(at time.Duration, budget int, unready func(index int) bool) {
	outOfService := 0
	for index := range c.lastViews {
		switch {
		case c.faulted[index] && !c.underMaintenance(index):
		case !c.faulted[index] && c.faultEndedAt[index] >= 0 && at < c.faultEndedAt[index]+recoveryGrace && !c.underMaintenance(index):
		case unready(index):
			outOfService++
		}
	}
	if outOfService > budget {
		c.recordViolation("more out than the budget", at, "%d of at most %d are not ready", outOfService, budget)
	}
	c.maxOut = max(c.maxOut, outOfService)
}

// atWork says whether the last trouble of a softswitch is its operator's, and not over.
func (c *TierChecker) underMaintenance(index int) bool {
	for i := len(c.detections) - 1; i >= 0; i-- {
		if d := c.detections[i]; d.index == index {
			return d.Kind == "work" && d.Ended < 0
		}
	}
	return false
}

// CheckMaintained judges that each of some softswitches has been ready for work exactly once, and is back.
func (c *TierChecker) CheckMaintained(at time.Duration, indexes []int) {
	for _, index := range indexes {
		readyRuns, back := 0, true
		for _, run := range c.maintenanceRuns {
			if run.index == index && run.ReadyAt >= 0 {
				readyRuns++
				back = run.BackAt >= 0
			}
		}
		if readyRuns != 1 || !back {
			c.recordViolation("not maintained once", at, "%s was ready for work %d times, and is back: %t", MemberName(index), readyRuns, back)
		}
	}
}
