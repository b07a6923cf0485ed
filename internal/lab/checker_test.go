package lab

import (
	"testing"
	"time"
)

// testRules are the rules of DefaultSettings.
var testRules = Rules{MaxAttempts: 4, ReleaseGuard: 200 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
	OverloadMultiple: 2.5, OverloadAfter: time.Second, ColdInitialShare: 0.3, ColdRamp: 14 * time.Second, Slack: 50 * time.Millisecond, ColdSlack: 3}

// ms shortens times in the tests.
const ms = time.Millisecond

// violatedRules returns the rules of the checker's violations.
func violatedRules(checker *Checker) []string {
	var names []string
	for _, violation := range checker.Violations() {
		names = append(names, violation.Rule)
	}
	return names
}

// Each rule in the table is reported, and no other rule, for a sequence of events that violates it.
func TestCheckerReportsEachViolation(t *testing.T) {
	for _, test := range []struct {
		name, want   string
		recordEvents func(checker *Checker)
	}{
		{"two final answers", "two final answers", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.RecordFinalAnswer(10*ms, 1, true)
			checker.RecordFinalAnswer(20*ms, 1, false)
		}},
		{"no answer before give-up", "no final answer before give-up", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.RecordUnanswered(1500*ms, 1, false)
		}},
		{"no answer at the end of the run", "no final answer before give-up", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.CheckOpen(2 * time.Second)
		}},
		{"caller connection lost", "set-up lost", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.RecordUnanswered(100*ms, 1, false)
		}},
		{"two outstanding attempts", "two attempts out", func(checker *Checker) {
			checker.RecordAttempt(0, "a", 1)
			checker.RecordAttempt(5*ms, "b", 1)
		}},
		{"five attempts", "too many attempts", func(checker *Checker) {
			for i := range 5 {
				at := time.Duration(i) * 10 * ms
				checker.RecordAttempt(at, "a", 1)
				checker.RecordAttemptEnd(at+ms, "a", 1, OutcomeRefused)
			}
		}},
		{"sent again within the release guard", "release gap", func(checker *Checker) {
			checker.RecordAttempt(0, "a", 1)
			checker.RecordAttemptEnd(10*ms, "a", 1, OutcomeConnectionReset)
			checker.RecordAttempt(100*ms, "b", 1)
		}},
		{"to a drained server", "new attempt at a retired server", func(checker *Checker) {
			checker.RecordRetirement("a", 0)
			checker.RecordAttempt(400*ms, "a", 1)
		}},
		{"more than the cold-server budget", "cold server pushed over", func(checker *Checker) {
			checker.AddServer("c", 100, 0) // capacity 30 a second at first, so the budget is 75 attempts in a second
			for i := range 90 {
				checker.RecordAttempt(time.Duration(i)*10*ms, "c", uint64(i+10))
			}
		}},
	} {
		checker := NewChecker(testRules)
		checker.AddServer("a", 100, -1)
		checker.AddServer("b", 100, -1)
		test.recordEvents(checker)
		if got := violatedRules(checker); len(got) != 1 || got[0] != test.want {
			t.Errorf("%s: violated %v, want %q", test.name, got, test.want)
		}
	}
}

// A run that keeps every rule, some only within the slack, has no violation.
func TestCheckerAcceptsCorrectRun(t *testing.T) {
	checker := NewChecker(testRules)
	checker.AddServer("a", 100, -1)
	checker.AddServer("c", 100, 0)
	checker.RecordSetUp(0, 1, 0, 1500*ms)
	checker.RecordAttempt(0, "a", 1)
	checker.RecordAttemptEnd(10*ms, "a", 1, OutcomeConnectionReset)
	checker.RecordAttempt(260*ms, "a", 1) // after the release guard
	checker.RecordAttemptEnd(270*ms, "a", 1, OutcomeAnswered)
	checker.RecordFinalAnswer(271*ms, 1, true)
	checker.RecordSetUp(0, 2, 0, 1500*ms)
	checker.RecordUnanswered(300*ms, 2, true) // excused: a fault that the lab injected prevented the answer
	checker.RecordRetirement("a", 300*ms)
	checker.RecordAttempt(590*ms, "a", 3) // within the drain grace and the slack
	for i := range 70 {                   // within the cold-server budget
		checker.RecordAttempt(time.Duration(i)*10*ms, "c", uint64(i+10))
	}
	checker.CheckOpen(3 * time.Second)
	if got := violatedRules(checker); len(got) > 0 {
		t.Fatalf("violated %v", got)
	}
	if s := checker.PerSecond()[0]; s.Offered != 2 || s.Served != 1 || s.Excused != 1 || s.Arrivals["c"] != 70 {
		t.Fatalf("second 0: %+v", s)
	}
}

// While the lab itself lags, a late answer is the lab's delay and not the fleet's.
func TestCheckerIgnoresViolationsDuringLag(t *testing.T) {
	checker := NewChecker(testRules)
	checker.RecordSetUp(0, 1, 0, 1500*ms)
	checker.RecordLag(1400*ms, 1600*ms)
	checker.RecordUnanswered(1500*ms, 1, false)
	if got := violatedRules(checker); len(got) > 0 {
		t.Fatalf("violated %v", got)
	}
}

// A restarted softswitch is compared with the other softswitches by the second in which each set-up was sent, from the
// first call after the restart on; earlier calls don't count.
func TestRecoveryStats(t *testing.T) {
	checker := NewChecker(Rules{Slack: 50 * ms})
	id := uint64(0)
	recordCall := func(at time.Duration, memberIndex int, served bool) {
		id++
		checker.RecordSetUp(at, id, memberIndex, at+1500*ms)
		checker.RecordFinalAnswer(at+1100*ms, id, served)
	}
	recordCall(1000*ms, 1, false)
	for i, served := range []bool{true, true, false, true} {
		recordCall(5000*ms+time.Duration(i)*100*ms, 1, served)
		recordCall(5050*ms+time.Duration(i)*100*ms, 2, i < 1)
	}
	recordCall(6500*ms, 2, true)
	stats := checker.Recovery(1, 4000*ms, 3)
	if stats == nil || stats.First != 5000*ms || stats.Share[0] != 0.75 || stats.Peers[0] != 0.25 ||
		stats.Share[1] != -1 || stats.Peers[1] != 1 || stats.Peers[2] != -1 {
		t.Errorf("%+v", stats)
	}
	if checker.Recovery(1, 6000*ms, 3) != nil {
		t.Error("recovery of a softswitch that got no call")
	}
}

// TestSetUpCountedTwice guards against a set-up that counts as served besides lost, and a third final answer that is not reported.
func TestSetUpCountedTwice(t *testing.T) {
	checker := NewChecker(testRules)
	checker.RecordSetUp(0, 1, 0, 500*ms)
	checker.RecordUnanswered(500*ms, 1, true)
	checker.RecordFinalAnswer(510*ms, 1, true)
	checker.RecordFinalAnswer(520*ms, 1, true)
	checker.RecordFinalAnswer(530*ms, 1, false)
	if second := checker.PerSecond()[0]; second.Served != 0 || second.Refused != 0 || second.Excused != 1 {
		t.Errorf("second 0: %+v", second)
	}
	if violations := checker.Violations(); len(violations) != 1 || violations[0].Rule != "two final answers" || violations[0].Count != 2 {
		t.Errorf("violations %+v, want both repeated answers", violations)
	}
}

// TestLagRecordedTooLate guards against violations that the lab's own lag has caused and that were seen before the lag was noticed.
func TestLagRecordedTooLate(t *testing.T) {
	checker := NewChecker(testRules)
	checker.RecordSetUp(0, 1, 0, 1500*ms)
	checker.RecordUnanswered(1500*ms, 1, false)
	checker.RecordLag(1400*ms, 1600*ms)
	if got := violatedRules(checker); len(got) > 0 {
		t.Errorf("violated %v", got)
	}
}
