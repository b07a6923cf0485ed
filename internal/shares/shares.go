// Package shares tells which calls a tenant makes beyond its share. It does no I/O and reads no clock.
package shares

import (
	"math"
	"time"
)

// Tenant is one customer: what it may ask for, in calls a second.
type Tenant struct {
	Name      string
	Allowance float64
}

// Tracker is what each tenant's calls make of one sender's. How many come to the other senders isn't known here, so it is the
// mix that is held against the allowances, not a rate.
type Tracker struct {
	tenants      []tenant
	timeConstant time.Duration
	lastCallAt   time.Duration // of the last call
}

type tenant struct {
	Tenant
	calls  float64 // decayed count
	excess float64 // remainder: one marks a call
}

// New makes a mix that forgets what is longer ago than its memory.
func New(timeConstant time.Duration) *Tracker { return &Tracker{timeConstant: timeConstant} }

// Configure replaces the tenants. What those that stay have asked for, known by their names, is kept.
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

// ExceedsShare takes in a call of a tenant, by its place, and says whether it is one of those beyond its share: of a tenant that
// makes a fifth more of the mix than its share, a sixth of the calls are. A call of no tenant that is known is in nobody's
// share, or one could have more than its own by leaving its name out. Where there are no tenants there are no shares.
func (tracker *Tracker) ExceedsShare(now time.Duration, index int) bool {
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
