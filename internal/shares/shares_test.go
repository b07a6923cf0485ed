package shares

import (
	"testing"
	"time"
)

// New settings replace the tenants in any order; tenants that remain keep their counters. If the counters started
// again, the first calls after each SIGHUP would not be counted as exceeding any share.
func TestConfigureKeepsCountsOfRemainingTenants(t *testing.T) {
	tracker := New(15 * time.Second)
	now := time.Duration(0)
	countExceeding := func(callCount int, indexes ...int) (exceeding int) {
		for i := range callCount {
			now += 10 * time.Millisecond
			if index := indexes[i%len(indexes)]; tracker.CountCall(now, index) && index == indexes[0] {
				exceeding++
			}
		}
		return exceeding
	}
	if tracker.CountCall(now, 0) || tracker.CountCall(now, -1) {
		t.Error("a call exceeds a share though there are no tenants")
	}
	tracker.Configure([]Tenant{{"a", 30}, {"b", 10}})
	countExceeding(2000, 0, 1) // half of the calls each: every second call of b exceeds its quarter
	tracker.Configure([]Tenant{{"b", 10}, {"c", 10}, {"a", 30}})
	if got := countExceeding(40, 0, 2); got < 8 || got > 12 {
		t.Errorf("%d of 20 calls exceed the share directly after new settings, want about 10", got)
	}
	if tracker.CountCall(now, 1) {
		t.Error("the first call of a new tenant exceeds its share")
	}
	if !tracker.CountCall(now, 3) || !tracker.CountCall(now, -1) {
		t.Error("a call of an unknown tenant does not exceed the share")
	}
}
