package lab

import "time"

// MaintenanceRun is one time that a softswitch was out of service for maintenance. Times are since the start of the
// run; a negative time: the event was not seen.
type MaintenanceRun struct {
	Softswitch     string        `json:"softswitch"`
	OutOfServiceAt time.Duration `json:"out_ns"`   // the softswitch is granted maintenance and sends its callers away
	ReadyAt        time.Duration `json:"ready_ns"` // no call is left on the softswitch: the work may begin
	InServiceAt    time.Duration `json:"back_ns"`  // the softswitch no longer holds its maintenance slot
	index          int           // index of the softswitch
}

// RecordMaintenance records what a softswitch reports of itself: whether it is out of service for maintenance, and ready
// for the work.
func (c *TierChecker) RecordMaintenance(at time.Duration, index int, outOfService, ready bool) {
	var openRun *MaintenanceRun
	for _, run := range c.maintenanceRuns {
		if run.index == index && run.InServiceAt < 0 {
			openRun = run
		}
	}
	if outOfService && openRun == nil {
		openRun = &MaintenanceRun{Softswitch: MemberName(index), OutOfServiceAt: at, ReadyAt: -1, InServiceAt: -1, index: index}
		c.maintenanceRuns = append(c.maintenanceRuns, openRun)
	}
	if openRun == nil {
		return
	}
	if ready && openRun.ReadyAt < 0 {
		openRun.ReadyAt = at
	}
	if !outOfService {
		openRun.InServiceAt = at
	}
}

// CheckMaintenanceBudget checks how many softswitches are out for maintenance, by their readiness as seen from
// outside. A softswitch that the lab itself disturbs is not counted, unless the disturbance is the lab operator's
// maintenance work, and neither is a softswitch whose last disturbance ended within recoveryGrace.
func (c *TierChecker) CheckMaintenanceBudget(at time.Duration, budget int, unready func(index int) bool) {
	outOfService := 0
	for index := range c.lastViews {
		switch {
		case c.faulted[index] && !c.underMaintenance(index):
		case !c.faulted[index] && c.faultEndedAt[index] >= 0 && at < c.faultEndedAt[index]+recoveryGrace &&
			!c.underMaintenance(index):
		case unready(index):
			outOfService++
		}
	}
	if outOfService > budget {
		c.recordViolation("more out than the budget", at,
			"%d softswitches are not ready, at most %d may be out for maintenance", outOfService, budget)
	}
	c.maxOutOfService = max(c.maxOutOfService, outOfService)
}

// underMaintenance reports whether the last fault recorded for a softswitch is the operator's maintenance work, and
// has not ended.
func (c *TierChecker) underMaintenance(index int) bool {
	for i := len(c.detections) - 1; i >= 0; i-- {
		if detection := c.detections[i]; detection.index == index {
			return detection.Kind == "work" && detection.Ended < 0
		}
	}
	return false
}

// CheckMaintained checks that each of the given softswitches has been ready for maintenance exactly once, and is back
// in service.
func (c *TierChecker) CheckMaintained(at time.Duration, indexes []int) {
	for _, index := range indexes {
		readyRuns, backInService := 0, true
		for _, run := range c.maintenanceRuns {
			if run.index == index && run.ReadyAt >= 0 {
				readyRuns++
				backInService = run.InServiceAt >= 0
			}
		}
		if readyRuns != 1 || !backInService {
			c.recordViolation("not maintained once", at, "%s was ready for maintenance %d times; back in service: %t",
				MemberName(index), readyRuns, backInService)
		}
	}
}
