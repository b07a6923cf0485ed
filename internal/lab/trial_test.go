package lab

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestTrialCheckerFindsEachViolation feeds the checker of trials one sequence of events for each rule that breaks it, and a sequence that
// breaks none.
func TestTrialCheckerFindsEachViolation(t *testing.T) {
	const ms = time.Millisecond
	var now time.Duration
	rules := Rules{MaxAttempts: 2, ReleaseGuard: 200 * ms, DrainGrace: 250 * ms, OverloadMultiple: 2.5, OverloadAfter: time.Second,
		ColdInitialShare: 0.3, ColdRamp: 14 * time.Second}
	serve := func(c *trialChecker, id uint64) {
		c.setUpSent(id, 0, time.Second)
		c.offerReceived(0, "s1", id)
		c.attemptEnded("s1", id, false)
		c.established("s1", id)
		c.finalAnswer(id, true, trialDescription("s1", id))
	}
	for rule, events := range map[string]func(c *trialChecker){
		"": func(c *trialChecker) {
			serve(c, 1)
			c.callEnded("s1", 1, "", releaseLimit)
			now += 900 * ms
			c.releaseRead(1)
			c.setUpSent(2, 0, time.Second)
			c.offerReceived(0, "s1", 2)
			c.attemptEnded("s1", 2, true)
			now += 210 * ms
			c.offerReceived(0, "s2", 2)
			c.callerLeft(2)
		},
		"second final answer": func(c *trialChecker) { serve(c, 1); c.finalAnswer(1, false, "") },
		"answer that no server made": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			c.finalAnswer(1, true, "other")
		},
		"answer to no request": func(c *trialChecker) { c.finalAnswer(7, false, "") },
		"request lost: answered too late": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			now += 2 * time.Second
			c.finalAnswer(1, false, "")
		},
		"request lost: never answered":       func(c *trialChecker) { c.setUpSent(1, 0, time.Second); now += 2 * time.Second },
		"request lost: its connection ended": func(c *trialChecker) { c.setUpSent(1, 0, time.Second); c.connectionEnded(1, nil) },
		"request unanswered when its softswitch ended": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			c.softswitchDown(0, 0, false)
		},
		"set-up that no caller sent": func(c *trialChecker) { c.offerReceived(0, "s1", 1) },
		"too many attempts": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			for range 3 {
				c.offerReceived(0, "s1", 1)
				c.attemptEnded("s1", 1, false)
			}
		},
		"two attempts out": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			c.offerReceived(0, "s1", 1)
			c.offerReceived(0, "s2", 1)
		},
		"sent again too soon": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			c.offerReceived(0, "s1", 1)
			c.attemptEnded("s1", 1, true)
			now += 140 * ms
			c.offerReceived(0, "s2", 1)
		},
		"sent after its answer": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			c.finalAnswer(1, false, "")
			now += 60 * ms
			c.offerReceived(0, "s2", 1)
		},
		"sent after its caller left": func(c *trialChecker) {
			c.setUpSent(1, 0, time.Second)
			c.callerLeft(1)
			now += 360 * ms
			c.offerReceived(0, "s1", 1)
		},
		"sent to a draining or removed server": func(c *trialChecker) {
			c.told(0, "s1", now)
			now += 310 * ms
			c.setUpSent(1, 0, time.Second)
			c.offerReceived(0, "s1", 1)
		},
		"cold server pushed over": func(c *trialChecker) {
			for range 16 { // 2.5 x 0.3 x 7 = 5.25 a second; with the margin for chance 15.1
				c.coldOffer("s1", 7, 0)
			}
		},
		"release not passed on to the server": func(c *trialChecker) {
			now += time.Second
			serve(c, 1)
			c.releaseAcknowledged(1)
			now += 1100 * ms
			c.standsAtServer("s1", 1, 0)
			c.standsAtServer("s2", 1, 0)
			serve(c, 2)
			c.releaseAcknowledged(2)
			now += 1100 * ms
			c.standsAtServer("s1", 2, now) // something went wrong at the server meanwhile
		},
		"call stands at its server only": func(c *trialChecker) {
			now += time.Second
			serve(c, 1)
			c.releaseRead(1)
			serve(c, 2)
			c.releaseRead(2)
			c.softswitchDown(0, unknownTime, true)
			serve(c, 3)
			now += 1100 * ms
			c.standsAtServer("s1", 1, now) // something went wrong at the server meanwhile
			c.standsAtServer("s1", 2, 0)   // its softswitch ended meanwhile
			c.standsAtServer("s1", 3, 0)   // it stands for its caller as well
			serve(c, 4)
			c.releaseRead(4)
			now += 1100 * ms
			c.standsAtServer("s1", 4, 0)
		},
		"release too late": func(c *trialChecker) {
			serve(c, 1)
			c.callEnded("s1", 1, "", silentReleaseLimit)
			now += 8100 * ms
		},
	} {
		now = 0
		checker := newTrialChecker(1, rules, func() time.Duration { return now })
		events(checker)
		now += time.Millisecond
		checker.finish()
		violations, _ := checker.judge()
		if _, found := violations[rule]; len(violations) > 1 || found != (rule != "") {
			t.Errorf("events that break %q: violations %v", rule, violations)
		}
	}
}

// TestTrialIsDrawnFromItsSeed checks that a seed always draws the same valid plan, that seeds differ, and that a plan that was written is read
// as it was.
func TestTrialIsDrawnFromItsSeed(t *testing.T) {
	for seed := range uint64(300) {
		plan := DrawTrial(seed)
		if err := plan.check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if takeOvers := AddTakeOvers(plan); takeOvers.check() != nil || len(takeOvers.Steps) <= len(plan.Steps) {
			t.Errorf("seed %d: take-overs: %v, %d steps", seed, takeOvers.check(), len(takeOvers.Steps))
		}
		if !reflect.DeepEqual(plan, DrawTrial(seed)) || reflect.DeepEqual(plan, DrawTrial(seed+1)) {
			t.Fatalf("the plan of seed %d does not follow its seed alone", seed)
		}
		text, err := plan.encode()
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "plan.toml")
		os.WriteFile(path, text, 0o600)
		if again, err := ReadTrialPlan(path); err != nil || !reflect.DeepEqual(plan, again) {
			t.Fatalf("seed %d: %v, read %+v, written %+v", seed, err, again, plan)
		}
	}
}

// TestCheckedInPlansAreValid checks the plans that are played again in CI or by hand.
func TestCheckedInPlansAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../lab/trials/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no plans: %v", err)
	}
	for _, path := range paths {
		if _, err := ReadTrialPlan(path); err != nil {
			t.Error(err)
		}
	}
}

// TestInvalidPlanPlayed guards against a plan with an unknown kind, a negative time or a target that does not exist.
func TestInvalidPlanPlayed(t *testing.T) {
	for field, change := range map[string]func(p *TrialPlan){
		"step[0].kind:":         func(p *TrialPlan) { p.Steps[0].Kind = "earthquake" },
		"step[0].for:":          func(p *TrialPlan) { p.Steps[0].Duration = -time.Second },
		"step[0].at:":           func(p *TrialPlan) { p.Steps[0].At = -1 },
		"step[0].server:":       func(p *TrialPlan) { p.Steps[0].Server = 9 },
		"step[0].mode:":         func(p *TrialPlan) { p.Steps[0] = TrialStep{Kind: StepDiscovery, Mode: "x"} },
		"step[0].softswitch:":   func(p *TrialPlan) { p.Steps[0] = TrialStep{Kind: StepKill} },
		"server_faults.refuse:": func(p *TrialPlan) { p.ServerFaults.Refuse = 2 },
		"length:":               func(p *TrialPlan) { p.Length = 0 },
	} {
		plan := DrawTrial(1)
		plan.Steps = []TrialStep{{Kind: StepHang, Server: 1, Duration: time.Second}}
		change(&plan)
		if err := plan.check(); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("error %v, want one that names %s", err, field)
		}
	}
}
