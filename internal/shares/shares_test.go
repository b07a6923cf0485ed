package shares

import (
	"testing"
	"time"
)

// New settings replace the tenants, in any order; what those that stay have asked for is kept. With a count begun anew the
// first calls after each SIGHUP were held for in nobody's way.
func TestConfigureKeepsCountsOfRemainingTenants(t *testing.T) {
	tracker := New(15 * time.Second)
	now := time.Duration(0)
	countExceeding := func(n int, indexes ...int) (exceeding int) {
		for i := range n {
			now += 10 * time.Millisecond
			if index := indexes[i%len(indexes)]; tracker.ExceedsShare(now, index) && index == indexes[0] {
				exceeding++
			}
		}
		return exceeding
	}
	if tracker.ExceedsShare(now, 0) || tracker.ExceedsShare(now, -1) {
		t.Error("there are shares where there is no tenant")
	}
	tracker.Configure([]Tenant{{"a", 30}, {"b", 10}})
	countExceeding(2000, 0, 1) // half each: every second call of b is beyond its quarter
	tracker.Configure([]Tenant{{"b", 10}, {"c", 10}, {"a", 30}})
	if got := countExceeding(40, 0, 2); got < 8 || got > 12 {
		t.Errorf("%d of 20 calls beyond the share at once after new settings, want 10 or so", got)
	}
	if tracker.ExceedsShare(now, 1) {
		t.Error("the first call of a new tenant is beyond its share")
	}
	if !tracker.ExceedsShare(now, 3) || !tracker.ExceedsShare(now, -1) {
		t.Error("a call of no known tenant is within somebody's share")
	}
}
