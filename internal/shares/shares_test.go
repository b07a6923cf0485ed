package shares

import (
	"testing"
	"time"
)

// New settings replace the tenants, in any order; what those that stay have asked for is kept. With a count begun anew the
// first calls after each SIGHUP were held for in nobody's way.
func TestConfigureKeepsWhatIsKnown(t *testing.T) {
	m := New(15 * time.Second)
	now := time.Duration(0)
	beyond := func(n int, places ...int) (marked int) {
		for i := range n {
			now += 10 * time.Millisecond
			if place := places[i%len(places)]; m.ExceedsShare(now, place) && place == places[0] {
				marked++
			}
		}
		return marked
	}
	if m.ExceedsShare(now, 0) || m.ExceedsShare(now, -1) {
		t.Error("there are shares where there is no tenant")
	}
	m.Configure([]Tenant{{"a", 30}, {"b", 10}})
	beyond(2000, 0, 1) // half each: every second call of b is beyond its quarter
	m.Configure([]Tenant{{"b", 10}, {"c", 10}, {"a", 30}})
	if got := beyond(40, 0, 2); got < 8 || got > 12 {
		t.Errorf("%d of 20 calls beyond the share at once after new settings, want 10 or so", got)
	}
	if m.ExceedsShare(now, 1) {
		t.Error("the first call of a new tenant is beyond its share")
	}
	if !m.ExceedsShare(now, 3) || !m.ExceedsShare(now, -1) {
		t.Error("a call of no known tenant is within somebody's share")
	}
}
