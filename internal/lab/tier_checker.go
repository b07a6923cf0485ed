package lab

import (
	"fmt"
	"slices"
	"time"
)

// View is what one softswitch's door says of its tier at a moment: its state for each, by place.
type View struct {
	States    []string
	Majority  bool
	ColdShare float64
}

func isDown(state string) bool      { return state == "dead" || state == "left" }
func isAvailable(state string) bool { return state == "alive" || state == "draining" }

// Detection is how the others saw a softswitch that the lab killed, stopped or paused. Times are since the trouble
// began, for Back since it ended; negative: it was not seen.
type Detection struct {
	Softswitch   string        `json:"softswitch"`
	Kind         string        `json:"kind"`
	At           time.Duration `json:"at_ns"`
	Suspected    time.Duration `json:"suspected_ns"` // some other holds it for suspect or worse
	AllSuspected time.Duration `json:"known_ns"`     // every other that runs holds it for suspect or worse
	Dead         time.Duration `json:"dead_ns"`      // some other holds it dead or left
	AllDead      time.Duration `json:"all_dead_ns"`  // every other that runs does
	Ended        time.Duration `json:"ended_ns"`     // when the trouble ended, since the start of the run
	AllAvailable time.Duration `json:"back_ns"`      // every other that runs holds it there again
	index        int
}

// FalseDeath is a softswitch held dead that was there and could be heard.
type FalseDeath struct {
	At     time.Duration `json:"at_ns"`
	By, Of string
}

// aftermath is how long after a trouble or a cut has ended what is held of those it met may still come from it.
const recoveryGrace = 3 * time.Second

// TierChecker follows the softswitches' views of each other. Like the judge it does no I/O and reads no clock.
type TierChecker struct {
	lastViews        []View // each one's last; no states: none seen in this life
	faulted          []bool
	faultEndedAt     []time.Duration // its last trouble ended; -1: it had none
	conditions       NetworkConditions
	partitionEndedAt time.Duration // -1: none has
	detections       []*Detection
	falseDeaths      []FalseDeath
	maintenanceRuns  []*MaintenanceRun
	endedRequests     map[int]bool // its last request is
	maxOut           int
	violations       map[string]*Violation
}

// NewTierChecker follows so many softswitches.
func NewTierChecker(tierSize int) *TierChecker {
	c := &TierChecker{lastViews: make([]View, tierSize), faulted: make([]bool, tierSize), violations: make(map[string]*Violation), endedRequests: make(map[int]bool), partitionEndedAt: -1}
	for range tierSize {
		c.faultEndedAt = append(c.faultEndedAt, -1)
	}
	return c
}

func (c *TierChecker) recordViolation(rule string, at time.Duration, format string, args ...any) {
	violation := c.violations[rule]
	if violation == nil {
		violation = &Violation{Rule: rule, First: at, Detail: fmt.Sprintf(format, args...)}
		c.violations[rule] = violation
	}
	violation.Count++
}

// RecordFault says that the lab begins to hinder a softswitch, or has ceased to. A kill ends what it held.
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
		for _, d := range c.detections {
			if d.index == index && d.Ended < 0 {
				d.Ended = at
			}
		}
	}
}

// SetConditions says how the datagrams between softswitches fare from now on.
func (c *TierChecker) SetConditions(at time.Duration, conditions NetworkConditions) {
	if c.conditions.Groups != nil && conditions.Groups == nil {
		c.partitionEndedAt = at
	}
	c.conditions = conditions
}

// apart says whether two softswitches can't be held to hear each other.
func (c *TierChecker) maybeSeparated(a, b int, at time.Duration) bool {
	return c.conditions.Groups != nil && c.conditions.Groups[a] != c.conditions.Groups[b] || c.partitionEndedAt >= 0 && at < c.partitionEndedAt+recoveryGrace
}

// RecordView takes in what a softswitch says of its tier.
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
	if majority := 2*available > len(view.States); view.ColdShare > 1 || !majority && view.ColdShare > float64(available)/float64(len(view.States))+1e-9 {
		c.recordViolation("too bold without a majority", at, "%s sees %d of %d there and takes %.2f of its part of a cold server's budget",
			MemberName(observer), available, len(view.States), view.ColdShare)
	}
	for subject, state := range view.States {
		if subject == observer || state != "dead" || len(previous.States) > 0 && previous.States[subject] == "dead" {
			continue
		}
		if !c.faulted[subject] && (c.faultEndedAt[subject] < 0 || at > c.faultEndedAt[subject]+recoveryGrace) && !c.maybeSeparated(observer, subject, at) {
			c.falseDeaths = append(c.falseDeaths, FalseDeath{at, MemberName(observer), MemberName(subject)})
		}
	}
	for _, d := range c.detections {
		c.updateDetection(at, d)
	}
}

// follow looks how far the others are with a trouble.
func (c *TierChecker) updateDetection(at time.Duration, d *Detection) {
	observers, suspecting, holdingDead, available := 0, 0, 0, 0
	for observer, view := range c.lastViews {
		if observer == d.index || c.faulted[observer] || len(view.States) == 0 {
			continue
		}
		observers++
		switch state := view.States[d.index]; {
		case isAvailable(state):
			available++
		case isDown(state):
			suspecting++
			holdingDead++
		case state == "suspect":
			suspecting++
		}
	}
	setOnce := func(elapsed *time.Duration, condition bool, since time.Duration) {
		if *elapsed < 0 && condition && observers > 0 {
			*elapsed = at - since
		}
	}
	if d.Ended < 0 {
		setOnce(&d.Suspected, suspecting > 0, d.At)
		setOnce(&d.AllSuspected, suspecting == observers, d.At)
		setOnce(&d.Dead, holdingDead > 0, d.At)
		setOnce(&d.AllDead, holdingDead == observers, d.At)
	} else {
		setOnce(&d.AllAvailable, available == observers, d.Ended)
	}
}

// CheckConvergence judges the views at the end of a run, long enough after its last fault: those that run hold each other there, and
// those that don't down.
func (c *TierChecker) CheckConvergence(at time.Duration, running func(index int) bool) {
	for observer, view := range c.lastViews {
		if !running(observer) {
			continue
		}
		if len(view.States) == 0 {
			c.recordViolation("views disagree", at, "%s shows none", MemberName(observer))
			continue
		}
		for subject, state := range view.States {
			if runs := running(subject); runs && !isAvailable(state) || !runs && !isDown(state) {
				c.recordViolation("views disagree", at, "%s holds %s %s, and it runs: %t", MemberName(observer), MemberName(subject), state, runs)
			}
		}
	}
}

// Violations are the broken invariants, first seen first.
func (c *TierChecker) Violations() []Violation {
	var violations []Violation
	for _, violation := range c.violations {
		violations = append(violations, *violation)
	}
	slices.SortFunc(violations, func(a, violation Violation) int { return int(a.First - violation.First) })
	return violations
}

// StateInitials are each softswitch's last view, a letter for each softswitch of the tier.
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
