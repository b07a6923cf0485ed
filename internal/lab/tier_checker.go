package lab

import (
	"fmt"
	"slices"
	"time"
)

// View is what one softswitch's admin endpoint reports of the tier at a time.
type View struct {
	States            []string // state of each member, by index
	Majority          bool     // whether the softswitch sees a majority of the tier
	ColdQuotaFraction float64  // factor on its quota of a cold server's budget, 0 to 1
}

// isDown reports whether a state means that the member takes no part in the tier.
func isDown(state string) bool { return state == "dead" || state == "left" }

// isAvailable reports whether a state means that the member takes part in the tier.
func isAvailable(state string) bool { return state == "alive" || state == "draining" }

// Detection records when the other softswitches noticed that the lab had killed, stopped or paused a softswitch. Unless
// a field's comment says otherwise, times are since the start of the fault; a negative time: the event was not seen.
type Detection struct {
	Softswitch   string        `json:"softswitch"`
	Kind         string        `json:"kind"`
	At           time.Duration `json:"at_ns"`        // start of the fault, since the start of the run
	Suspected    time.Duration `json:"suspected_ns"` // first other member reports the softswitch suspect, dead or left
	AllSuspected time.Duration `json:"known_ns"`     // all other running members report it suspect, dead or left
	Dead         time.Duration `json:"dead_ns"`      // first other member reports it dead or left
	AllDead      time.Duration `json:"all_dead_ns"`  // all other running members report it dead or left
	Ended        time.Duration `json:"ended_ns"`     // end of the fault, since the start of the run
	AllAvailable time.Duration `json:"back_ns"`      // all other running members report it available; time since Ended
	index        int           // index of the softswitch
}

// FalseDeath is a softswitch that another member reported dead although it was running and could be reached.
type FalseDeath struct {
	At     time.Duration `json:"at_ns"`
	By, Of string        // By is the member that reported, Of the softswitch
}

// recoveryGrace is the time after the end of a fault or a partition in which the members' views may still show its effects.
const recoveryGrace = 3 * time.Second

// TierChecker checks the softswitches' views of each other. Like Checker, it does no I/O and reads no clock.
type TierChecker struct {
	lastViews        []View            // each softswitch's last view; no states: none seen since its process started
	faulted          []bool            // by index: the lab disturbs the softswitch at present
	faultEndedAt     []time.Duration   // by index: when the last fault ended; -1: there was none
	conditions       NetworkConditions // of the network at present
	partitionEndedAt time.Duration     // when the last partition ended; -1: none has
	detections       []*Detection
	falseDeaths      []FalseDeath
	maintenanceRuns  []*MaintenanceRun
	maxOutOfService  int                   // greatest number of softswitches out for maintenance in one sample
	violations       map[string]*Violation // by rule
}

// NewTierChecker makes a checker for a tier of the given size.
func NewTierChecker(tierSize int) *TierChecker {
	c := &TierChecker{lastViews: make([]View, tierSize), faulted: make([]bool, tierSize),
		violations: make(map[string]*Violation), partitionEndedAt: -1}
	for range tierSize {
		c.faultEndedAt = append(c.faultEndedAt, -1)
	}
	return c
}

// recordViolation counts a violation of a rule and keeps the detail of the first one.
func (c *TierChecker) recordViolation(rule string, at time.Duration, format string, args ...any) {
	violation := c.violations[rule]
	if violation == nil {
		violation = &Violation{Rule: rule, First: at, Detail: fmt.Sprintf(format, args...)}
		c.violations[rule] = violation
	}
	violation.Count++
}

// RecordFault records that the lab begins or ceases to disturb a softswitch. Any fault but a pause ends the process,
// and so discards its last view. The end of a fault ends all open faults of the softswitch; kind is not used then.
func (c *TierChecker) RecordFault(at time.Duration, index int, kind string, begins bool) {
	switch {
	case begins:
		c.faulted[index] = true
		c.detections = append(c.detections, &Detection{Softswitch: MemberName(index), Kind: kind, At: at,
			Suspected: -1, AllSuspected: -1, Dead: -1, AllDead: -1, Ended: -1, AllAvailable: -1, index: index})
		if kind != "pause" {
			c.lastViews[index] = View{}
		}
	case c.faulted[index]:
		c.faulted[index], c.faultEndedAt[index] = false, at
		for _, detection := range c.detections {
			if detection.index == index && detection.Ended < 0 {
				detection.Ended = at
			}
		}
	}
}

// SetConditions records the network conditions from a time on.
func (c *TierChecker) SetConditions(at time.Duration, conditions NetworkConditions) {
	if c.conditions.Groups != nil && conditions.Groups == nil {
		c.partitionEndedAt = at
	}
	c.conditions = conditions
}

// maybeSeparated reports whether two softswitches may have been unable to reach each other, because a partition
// separates them, or because any partition has ended within recoveryGrace.
func (c *TierChecker) maybeSeparated(observer, subject int, at time.Duration) bool {
	return c.conditions.Groups != nil && c.conditions.Groups[observer] != c.conditions.Groups[subject] ||
		c.partitionEndedAt >= 0 && at < c.partitionEndedAt+recoveryGrace
}

// RecordView records a softswitch's view of its tier. It checks that the softswitch uses no more than its quota of cold
// servers' budgets, and without a majority no more of the quota than the fraction of members that it sees available. It
// also looks for false deaths and updates the detections. A view is ignored if it doesn't cover the whole tier or if the
// lab disturbs the observer.
func (c *TierChecker) RecordView(at time.Duration, observer int, view View) {
	previous := c.lastViews[observer]
	if len(view.States) != len(c.lastViews) || c.faulted[observer] {
		return
	}
	c.lastViews[observer] = view
	available := 0
	for _, state := range view.States {
		if isAvailable(state) {
			available++
		}
	}
	if majority := 2*available > len(view.States); view.ColdQuotaFraction > 1 ||
		!majority && view.ColdQuotaFraction > float64(available)/float64(len(view.States))+1e-9 {
		c.recordViolation("too bold without a majority", at,
			"%s sees %d of %d members available and uses %.2f of its quota of a cold server's budget",
			MemberName(observer), available, len(view.States), view.ColdQuotaFraction)
	}
	for subject, state := range view.States {
		if subject == observer || state != "dead" || len(previous.States) > 0 && previous.States[subject] == "dead" {
			continue
		}
		if !c.faulted[subject] && (c.faultEndedAt[subject] < 0 || at > c.faultEndedAt[subject]+recoveryGrace) &&
			!c.maybeSeparated(observer, subject, at) {
			c.falseDeaths = append(c.falseDeaths, FalseDeath{at, MemberName(observer), MemberName(subject)})
		}
	}
	for _, detection := range c.detections {
		c.updateDetection(at, detection)
	}
}

// updateDetection records how far the other running members have noticed a fault or its end.
func (c *TierChecker) updateDetection(at time.Duration, detection *Detection) {
	observers, suspecting, reportingDead, available := 0, 0, 0, 0
	for observer, view := range c.lastViews {
		if observer == detection.index || c.faulted[observer] || len(view.States) == 0 {
			continue
		}
		observers++
		switch state := view.States[detection.index]; {
		case isAvailable(state):
			available++
		case isDown(state):
			suspecting++
			reportingDead++
		case state == "suspect":
			suspecting++
		}
	}
	setOnce := func(elapsed *time.Duration, condition bool, since time.Duration) {
		if *elapsed < 0 && condition && observers > 0 {
			*elapsed = at - since
		}
	}
	if detection.Ended < 0 {
		setOnce(&detection.Suspected, suspecting > 0, detection.At)
		setOnce(&detection.AllSuspected, suspecting == observers, detection.At)
		setOnce(&detection.Dead, reportingDead > 0, detection.At)
		setOnce(&detection.AllDead, reportingDead == observers, detection.At)
	} else {
		setOnce(&detection.AllAvailable, available == observers, detection.Ended)
	}
}

// CheckConvergence checks the views at the end of a run, long enough after the last fault: all running softswitches
// must report the running members as available and the others as down.
func (c *TierChecker) CheckConvergence(at time.Duration, running func(index int) bool) {
	for observer, view := range c.lastViews {
		if !running(observer) {
			continue
		}
		if len(view.States) == 0 {
			c.recordViolation("views disagree", at, "%s reports no view of the tier", MemberName(observer))
			continue
		}
		for subject, state := range view.States {
			if runs := running(subject); runs && !isAvailable(state) || !runs && !isDown(state) {
				c.recordViolation("views disagree", at, "%s reports %s as %s; process running: %t",
					MemberName(observer), MemberName(subject), state, runs)
			}
		}
	}
}

// Violations returns the violated rules, ordered by the time of the first violation.
func (c *TierChecker) Violations() []Violation {
	var violations []Violation
	for _, violation := range c.violations {
		violations = append(violations, *violation)
	}
	slices.SortFunc(violations, func(a, b Violation) int { return int(a.First - b.First) })
	return violations
}

// StateInitials returns each softswitch's last view as the initials of the members' states.
func (c *TierChecker) StateInitials() []string {
	var rows []string
	for _, view := range c.lastViews {
		row := ""
		for _, state := range view.States {
			row += state[:1]
		}
		rows = append(rows, row)
	}
	return rows
}
