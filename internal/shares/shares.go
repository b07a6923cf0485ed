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
	tenants      []tenant
	timeConstant time.Duration // of the decaying counters
	lastCallAt   time.Duration // time of the last call that was counted
}

// tenant is a tenant and its state in the tracker.
type tenant struct {
	Tenant
	calls  float64 // decaying counter of calls
	excess float64 // calls beyond the share that have not been marked yet; a call is marked at 1
}

// New returns a tracker without tenants whose counters decay with the given time constant.
func New(timeConstant time.Duration) *Tracker { return &Tracker{timeConstant: timeConstant} }

// Configure replaces the tenants. Tenants that remain, identified by their names, keep their counters.
func (tracker *Tracker) Configure(tenants []Tenant) {
	old := tracker.tenants
	tracker.tenants = make([]tenant, len(tenants))
	for i, t := range tenants {
		tracker.tenants[i].Tenant = t
		for _, o := range old {
			if o.Name == t.Name {
				tracker.tenants[i].calls, tracker.tenants[i].excess = o.calls, o.excess
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
	calls, allowed := 0.0, 0.0
	decay := math.Exp(-float64(now-tracker.lastCallAt) / float64(tracker.timeConstant))
	tracker.lastCallAt = now
	tracker.tenants[index].calls++
	for i := range tracker.tenants {
		tracker.tenants[i].calls *= decay
		calls += tracker.tenants[i].calls
		allowed += tracker.tenants[i].Allowance
	}
	t := &tracker.tenants[index]
	if share := t.Allowance / max(allowed, 1e-9); t.calls > 0 {
		t.excess = max(t.excess+1-share*calls/t.calls, 0)
	}
	if t.excess < 1 {
		return false
	}
	t.excess--
	return true
}
