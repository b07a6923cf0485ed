// Package shares determines which calls of a tenant exceed the tenant's share. It does no I/O and reads no clock.
package shares

import (
	"math"
	"time"
)

// Tenant is a customer. Allowance is the rate of calls that it may ask for, in calls a second.
type Tenant struct {
	Name      string
	Allowance float64
}

// Tracker counts each tenant's calls at one softswitch. The calls that the tenants send to other softswitches are not
// known here, so the tracker compares each tenant's fraction of this softswitch's calls, and not its rate, with the
// allowances.
type Tracker struct {
	tenants      []tenantState
	timeConstant time.Duration // of the decay of the counters of calls
	lastCallAt   time.Duration // time of the last call that was counted
}

// tenantState is a tenant with its counters in the tracker.
type tenantState struct {
	Tenant
	decayedCalls float64 // decaying counter of its calls
	excessCalls  float64 // calls beyond the share that CountCall has not reported yet; it reports a call when this reaches 1
}

// New returns a tracker without tenants whose counters decay with the given time constant.
func New(timeConstant time.Duration) *Tracker { return &Tracker{timeConstant: timeConstant} }

// Configure replaces the tenants. Tenants that remain, identified by their names, keep their counters.
func (tracker *Tracker) Configure(tenants []Tenant) {
	oldStates := tracker.tenants
	tracker.tenants = make([]tenantState, len(tenants))
	for i, configured := range tenants {
		tracker.tenants[i].Tenant = configured
		for _, previous := range oldStates {
			if previous.Name == configured.Name {
				tracker.tenants[i].decayedCalls, tracker.tenants[i].excessCalls = previous.decayedCalls, previous.excessCalls
			}
		}
	}
}

// CountCall counts a call of the tenant with the given index and reports whether the call exceeds the tenant's
// share: if a tenant makes a fifth more of the calls than its share, a sixth of its calls exceed it. A call of an
// unknown tenant is not counted and always exceeds its share, or else a tenant could get more than its share by
// leaving out its name. Without any tenants no call is counted or exceeds a share.
func (tracker *Tracker) CountCall(now time.Duration, index int) bool {
	if len(tracker.tenants) == 0 {
		return false
	}
	if index < 0 || index >= len(tracker.tenants) {
		return true
	}
	totalCalls, totalAllowance := 0.0, 0.0
	decay := math.Exp(-float64(now-tracker.lastCallAt) / float64(tracker.timeConstant))
	tracker.lastCallAt = now
	tracker.tenants[index].decayedCalls++
	for i := range tracker.tenants {
		tracker.tenants[i].decayedCalls *= decay
		totalCalls += tracker.tenants[i].decayedCalls
		totalAllowance += tracker.tenants[i].Allowance
	}
	calling := &tracker.tenants[index]
	if share := calling.Allowance / max(totalAllowance, 1e-9); calling.decayedCalls > 0 {
		calling.excessCalls = max(calling.excessCalls+1-share*totalCalls/calling.decayedCalls, 0)
	}
	if calling.excessCalls < 1 {
		return false
	}
	calling.excessCalls--
	return true
}
