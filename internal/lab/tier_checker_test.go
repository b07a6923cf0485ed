package lab

import (
	"testing"
	"time"
)

// Each rule on the views is reported for a sequence of events that violates it, and not for a similar one that keeps
// it. A death is false only if the member reported dead was running and could be reached.
func TestTierCheckerViolations(t *testing.T) {
	view := func(quota float64, states ...string) View { return View{States: states, ColdQuotaFraction: quota} }
	allRunning := func(int) bool { return true }
	for _, test := range []struct {
		name, want   string
		falseDeaths  int
		recordEvents func(checker *TierChecker)
	}{
		{"agreement", "", 0, func(checker *TierChecker) {
			for observer := range 3 {
				checker.RecordView(0, observer, view(1, "alive", "draining", "alive"))
			}
			checker.CheckConvergence(ms, allRunning)
		}},
		{"a running member reported dead", "views disagree", 1, func(checker *TierChecker) {
			for observer := range 3 {
				checker.RecordView(0, observer, view(1, "alive", "alive", []string{"dead", "alive", "alive"}[observer]))
			}
			checker.CheckConvergence(ms, allRunning)
		}},
		{"a killed member reported alive", "views disagree", 0, func(checker *TierChecker) {
			checker.RecordFault(0, 2, "kill", true)
			checker.RecordView(ms, 0, view(1, "alive", "alive", "dead"))
			checker.RecordView(ms, 1, view(1, "alive", "alive", "alive"))
			checker.CheckConvergence(2*ms, func(index int) bool { return index != 2 })
		}},
		{"whole quota without a majority", "too bold without a majority", 0, func(checker *TierChecker) {
			checker.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			checker.RecordView(ms, 0, view(1, "alive", "dead", "dead"))
		}},
		{"reduced quota without a majority", "", 0, func(checker *TierChecker) {
			checker.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			checker.RecordView(ms, 0, view(1.0/3, "alive", "dead", "dead"))
		}},
		{"a false death long after a partition", "", 1, func(checker *TierChecker) {
			checker.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			checker.SetConditions(ms, NetworkConditions{})
			checker.RecordView(2*ms, 0, view(1, "alive", "alive", "dead")) // due to the partition
			checker.RecordView(time.Minute, 1, view(1, "alive", "alive", "dead"))
		}},
	} {
		checker := NewTierChecker(3)
		test.recordEvents(checker)
		got := ""
		for _, violation := range checker.Violations() {
			got += violation.Rule
		}
		if got != test.want || len(checker.falseDeaths) != test.falseDeaths {
			t.Errorf("%s: violated %q, want %q; false deaths %v, want %d", test.name, got, test.want,
				checker.falseDeaths, test.falseDeaths)
		}
	}
}

// A detection records the times from the first suspicion until all other members report the restarted softswitch
// available again.
func TestTierCheckerDetectionTimes(t *testing.T) {
	checker := NewTierChecker(3)
	checker.RecordFault(10*ms, 2, "kill", true)
	for i, states := range [][2]string{{"alive", "alive"}, {"suspect", "alive"}, {"suspect", "suspect"},
		{"dead", "suspect"}, {"dead", "dead"}} {
		for observer, state := range states {
			checker.RecordView(time.Duration(20+10*i)*ms, observer,
				View{States: []string{"alive", "alive", state}, ColdQuotaFraction: 1})
		}
	}
	checker.RecordFault(100*ms, 2, "", false)
	for observer := range 2 {
		checker.RecordView(time.Duration(110+10*observer)*ms, observer,
			View{States: []string{"alive", "alive", "alive"}, ColdQuotaFraction: 1})
	}
	detection := *checker.detections[0]
	if want := (Detection{Softswitch: "n3", Kind: "kill", At: 10 * ms, Suspected: 20 * ms, AllSuspected: 30 * ms,
		Dead: 40 * ms, AllDead: 50 * ms, Ended: 100 * ms, AllAvailable: 20 * ms, index: 2}); detection != want {
		t.Errorf("%+v, want %+v", detection, want)
	}
}
