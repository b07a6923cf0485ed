package swarm

import (
	"testing"
	"time"

	"elmseam/internal/config"
)

// TestHerdAtDiscovery guards against followers that all call discovery 10 times a second while it is down, and against changes that are known
// late after its return.
func TestHerdAtDiscovery(t *testing.T) {
	const followers = 300
	retry := config.DiscoveryRetry
	for _, seconds := range []int{1, 2, 4, 8, 60} {
		knownInTime, known, peak := 0, 0, 0
		var calls float64
		var worst time.Duration
		for seed := range uint64(20) {
			load := DiscoveryOutage{Followers: followers, Duration: time.Duration(seconds) * time.Second, Retry: retry, Seed: seed}.Run()
			for _, delay := range load.Delays {
				if known++; delay <= 2500*time.Millisecond {
					knownInTime++
				}
				worst = max(worst, delay)
			}
			peak, calls = max(peak, load.PeakCalls, load.ReturnCalls), calls+load.CallRate/20
		}
		t.Logf("outage of %2d s: %.2f calls per follower and second, at most %d of all in 100 ms; next call after at most %v", seconds, calls, peak, worst)
		if knownInTime*100 < known*99 || worst >= 6*time.Second {
			t.Errorf("outage of %d s: %d of %d call within 2.5 s, the last after %v", seconds, knownInTime, known, worst)
		}
		if peak > followers/3 || seconds >= 4 && calls > 1 {
			t.Errorf("outage of %d s: %d calls within 100 ms, %.2f per follower and second", seconds, peak, calls)
		}
	}
}
