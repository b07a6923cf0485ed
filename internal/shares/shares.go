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
	tenants []tenant
	memory  time.Duration
	at      time.Duration // of the last call
}

type tenant struct {
	Tenant
	calls float64 // decayed count
	over  float64 // remainder: one marks a call
}

// New makes a mix that forgets what is longer ago than its memory.
func New(memory time.Duration) *Tracker { return &Tracker{memory: memory} }

// Configure replaces the tenants. What those that stay have asked for, known by their names, is kept.
func (m *Tracker) Configure(set []Tenant) {
	old := m.tenants
	m.tenants = make([]tenant, len(set))
	for i, t := range set {
		m.tenants[i].Tenant = t
		for _, o := range old {
			if o.Name == t.Name {
				m.tenants[i].calls, m.tenants[i].over = o.calls, o.over
			}
		}
	}
}

// ExceedsShare takes in a call of a tenant, by its place, and says whether it is one of those beyond its share: of a tenant that
// makes a fifth more of the mix than its share, a sixth of the calls are. A call of no tenant that is known is in nobody's
// share, or one could have more than its own by leaving its name out. Where there are no tenants there are no shares.
func (m *Tracker) ExceedsShare(now time.Duration, place int) bool {
	if len(m.tenants) == 0 {
		return false
	}
	if place < 0 || place >= len(m.tenants) {
		return true
	}
	calls, allowed := 0.0, 0.0
	fade := math.Exp(-float64(now-m.at) / float64(m.memory))
	m.at = now
	m.tenants[place].calls++
	for i := range m.tenants {
		m.tenants[i].calls *= fade
		calls += m.tenants[i].calls
		allowed += m.tenants[i].Allowance
	}
	t := &m.tenants[place]
	if share := t.Allowance / max(allowed, 1e-9); t.calls > 0 {
		t.over = max(t.over+1-share*calls/t.calls, 0)
	}
	if t.over < 1 {
		return false
	}
	t.over--
	return true
}
