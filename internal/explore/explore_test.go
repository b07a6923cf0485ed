package explore

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"elmseam"
	"elmseam/internal/budget"
	"elmseam/internal/circuits"
	"elmseam/internal/core"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

func runSearch(t *testing.T, cfg Config, b Bounds) *Report {
	t.Helper()
	cfg.GiveUp = time.Second
	r, err := Run(context.Background(), cfg, b)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The served code keeps every rule in every state that a few calls, servers and disturbances lead to, and the same
// exploration comes to the same counts, on one worker or on many. It guards against a rule that breaks where failures
// overlap, and against a digest that depends on the order of a map.
func TestInvariantsHoldInSmallModels(t *testing.T) {
	for _, c := range []struct {
		cfg    Config
		states int
	}{
		{Config{Servers: 1, Calls: 1, Attempts: 2, Faults: 2}, 1000},
		{Config{Servers: 2, Calls: 1, Attempts: 4, Faults: 1}, 1000},
		{Config{Servers: 1, Calls: 2, Attempts: 2, Faults: 0, Pauses: 1}, 1000},
	} {
		r := runSearch(t, c.cfg, Bounds{Workers: 4})
		if r.Counterexample != nil {
			t.Fatalf("%+v: %v after %v", c.cfg, &r.Counterexample.Violation, r.Counterexample.Actions)
		}
		if !r.Complete || r.States < c.states || r.TerminalStates == 0 {
			t.Errorf("%+v: %+v, want a complete exploration", c.cfg, r)
		}
		again := runSearch(t, c.cfg, Bounds{Workers: 1})
		if again.States != r.States || again.Steps != r.Steps || again.TerminalStates != r.TerminalStates {
			t.Errorf("%+v: %+v and then %+v", c.cfg, r, again)
		}
	}
}

// decide has the module do something else when it hears of an event.
func decideHook(when func(elmseam.Event, []elmseam.Action) []elmseam.Action) core.Hook {
	return core.Hook{Decide: when}
}

func withoutGuard(g core.Guard, h core.Hook) core.Hook {
	h.DisabledGuards = g
	return h
}

// Every rule is seen to break in a core that lacks its guard, under a module that errs where the guard would hold. An
// exploration that can't see a rule broken proves nothing.
func TestDisabledCoreGuardsAreDetected(t *testing.T) {
	var none core.Hook
	gap := decideHook(func(ev elmseam.Event, acts []elmseam.Action) []elmseam.Action { // sends again at once
		if o, ok := ev.(elmseam.Outcome); ok && o.Cause == elmseam.CauseReset && !o.Final {
			return []elmseam.Action{elmseam.Send{Call: o.Call, Server: o.Server}}
		}
		return acts
	})
	twice := decideHook(func(_ elmseam.Event, acts []elmseam.Action) []elmseam.Action {
		for _, a := range acts {
			if s, ok := a.(elmseam.Send); ok {
				acts = append(acts, s)
			}
		}
		return acts
	})
	stubborn := decideHook(func(ev elmseam.Event, acts []elmseam.Action) []elmseam.Action {
		if o, ok := ev.(elmseam.Outcome); ok && o.Cause == elmseam.CauseFull && !o.Final {
			return []elmseam.Action{elmseam.Send{Call: o.Call, Server: o.Server}}
		}
		return acts
	})
	hasty := decideHook(func(ev elmseam.Event, acts []elmseam.Action) []elmseam.Action { // refuses what is out
		if wake, ok := ev.(elmseam.TimerFired); ok {
			acts = append(acts, elmseam.Refuse{Call: elmseam.CallID(wake.Token)})
		}
		return acts
	})
	deaf := core.Hook{SuppressEvent: func(ev elmseam.Event) bool {
		l, delta := ev.(elmseam.ListDelta)
		return delta && l.Entries[0].Phase == elmseam.Draining
	}}
	one := Config{Servers: 1, Calls: 1, Attempts: 2, Faults: 2}
	for _, c := range []struct {
		rule  Invariant
		guard core.Guard
		hook  core.Hook
		cfg   Config
	}{
		{OneFinalAnswer, core.GuardSingleAnswer, hasty, one},
		{OneOutstandingAttempt, core.GuardSingleAttempt, twice, one},
		{AttemptLimit, core.GuardMaxAttempts, stubborn, one},
		{ReleaseGuard, core.GuardResendWait, gap, one},
		{NoSetUpToDrained, core.GuardPhase, deaf, one},
		{AnswerBeforeGiveUp, core.GuardDeadline, none, one},
		{OneRelease, core.GuardSingleRelease, none, one},
		{NoLeak, core.GuardForgetEnded, none, one},
	} {
		c.cfg.CoreHook = c.hook
		if r := runSearch(t, c.cfg, Bounds{}); r.Counterexample != nil {
			t.Errorf("%s: broken with all guards in their places: %v after %v", c.rule, &r.Counterexample.Violation, r.Counterexample.Actions)
		}
		c.cfg.CoreHook = withoutGuard(c.guard, c.hook)
		r := runSearch(t, c.cfg, Bounds{})
		if r.Counterexample == nil || r.Counterexample.Violation.Invariant != c.rule {
			t.Errorf("%s: not seen broken without its guard: %+v", c.rule, r)
			continue
		}
		c.cfg.GiveUp = time.Second
		for range 2 { // and again by its trace, written and read
			var text strings.Builder
			if err := r.Counterexample.Write(&text); err != nil {
				t.Fatal(err)
			}
			read, err := ReadTrace(strings.NewReader(text.String()))
			if err != nil {
				t.Fatal(err)
			}
			if v, err := read.Replay(c.cfg, nil); err != nil || v == nil || *v != r.Counterexample.Violation {
				t.Errorf("%s: the trace comes to %v, %v", c.rule, v, err)
			}
			if v, err := read.Replay(read.Config, nil); err == nil && v != nil {
				t.Errorf("%s: the trace breaks a rule in the served core too: %v", c.rule, v)
			}
		}
	}
}

// Calls on circuits are kept apart in every state that releases that cross, are lost or stalled, and connections that
// break lead to; and each rule is seen to break without its guard.
func TestCircuitInvariants(t *testing.T) {
	for _, cfg := range []Config{{Servers: 1, Calls: 3, Faults: 3, Pauses: 1}, {Servers: 2, Calls: 3, Faults: 1}} {
		cfg.Model, cfg.Attempts = ModelCircuits, 1
		if r := runSearch(t, cfg, Bounds{}); !r.Complete || r.Counterexample != nil || r.States < 1000 {
			t.Errorf("%+v: %+v", cfg, r)
		}
	}
	for _, c := range []struct {
		rule   Invariant
		guard  circuits.Guard
		faults int
	}{{OneCallPerCircuit, circuits.GuardConfirm, 1}, {SignalMatchesCall, circuits.GuardReleaseCount, 0}, {NoLostCircuit, circuits.GuardOverdue, 1}} {
		cfg := Config{Model: ModelCircuits, Servers: 1, Calls: 3, Attempts: 1, Faults: c.faults, Pauses: 1, DisabledCircuitGuards: c.guard}
		if r := runSearch(t, cfg, Bounds{}); r.Counterexample == nil || r.Counterexample.Violation.Invariant != c.rule {
			t.Errorf("%s: not seen broken without its guard: %+v", c.rule, r.Counterexample)
		}
	}
}

// An exploration that was cut short by any bound says so, and samples what lies beyond where it is asked to.
func TestIncompleteSearchReportsReason(t *testing.T) {
	big := Config{Servers: 2, Calls: 3, Attempts: 4, Faults: 3}
	for why, b := range map[string]Bounds{"depth": {Depth: 3}, "memory": {Memory: 1 << 12}, "time": {Time: time.Millisecond}} {
		b.Walks = 20
		if r := runSearch(t, big, b); r.Complete || r.StopReason != why || r.Walks != 20 || r.Counterexample != nil {
			t.Errorf("%s: %+v", why, r)
		}
	}
}

// A trace that was damaged, cut short or written by a newer version is refused.
func TestInvalidTracesAreRejected(t *testing.T) {
	var text strings.Builder
	good := Trace{Config: Config{Servers: 1, Calls: 1, Attempts: 2, GiveUp: time.Second}, Actions: []Action{{Kind: actSetUp}, {Kind: actOfferWritten}}}
	if err := good.Write(&text); err != nil {
		t.Fatal(err)
	}
	whole := text.String()
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"empty":     {"", ErrNotTrace},
		"other":     {"{}\n", ErrNotTrace},
		"newer":     {strings.Replace(whole, `"version":1`, `"version":2`, 1), ErrNewerVersion},
		"cut short": {whole[:len(whole)-40], ErrDamaged},
		"a line":    {strings.Replace(whole, "written 0 0\n", "", 1), ErrDamaged},
		"changed":   {strings.Replace(whole, "written", "answer", 1), ErrDamaged},
		"unknown":   {strings.Replace(whole, "written", "eaten", 1), ErrDamaged},
		"too large": {strings.Replace(whole, `"servers":1`, `"servers":1000`, 1), ErrDamaged},
		"more":      {whole + "x", ErrDamaged},
	} {
		if _, err := ReadTrace(strings.NewReader(c.text)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	if _, err := ReadTrace(strings.NewReader(whole)); err != nil {
		t.Error(err)
	}
}

// What explorations have found once is mended: its traces break no rule any more.
func TestRecordedCounterexamplesNoLongerFail(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		tr, err := ReadTrace(f)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		v, err := tr.Replay(tr.Config, nil)
		if v != nil {
			t.Errorf("%s: %v", path, v)
		}
		if err != nil {
			t.Logf("%s: goes another way by now: %v", path, err)
		}
	}
}

// What a state costs: to be made again from the beginning, and its digest.
func BenchmarkReplay(b *testing.B) {
	benchmarkModel(b, func(_ Model, cfg Config, way []Action) { Replay(cfg, way) })
}

func BenchmarkDigest(b *testing.B) {
	benchmarkModel(b, func(w Model, _ Config, _ []Action) { w.Digest() })
}

func benchmarkModel(b *testing.B, measured func(Model, Config, []Action)) {
	cfg := Config{Servers: 2, Calls: 3, Attempts: 4, Faults: 2, GiveUp: time.Second}
	path := []Action{{Kind: actSetUp}, {Kind: actSetUp, Target: 1, Arg: 1}, {Kind: actOfferWritten}, {Kind: actOfferWritten, Target: 1}, {Kind: actAnswer},
		{Kind: actRefuseBusy, Target: 1}, {Kind: actSetUp, Target: 2}, {Kind: actConnLost}, {Kind: actDialCompleted}, {Kind: actRelease}}
	model, n := Replay(cfg, path)
	if n != len(path) {
		b.Fatal("the way ends early")
	}
	for b.Loop() {
		measured(model, cfg, path)
	}
}

// Membership keeps its rules whatever is lost, late, killed, started anew or stopped among three members; without its
// refutations a living member stays dead for good, and without its own suspicions a dead one is not seen in time.
func TestMembershipInvariants(t *testing.T) {
	cfg := Config{Model: ModelMembership, Servers: 3, Calls: 2, Attempts: 1, Faults: 1, Pauses: 0, GiveUp: time.Second}
	if r, err := Run(context.Background(), cfg, Bounds{}); err != nil || !r.Complete || r.Counterexample != nil || r.TerminalStates < 100 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, c := range []struct {
		lacks          membership.Guard
		faults, pauses int
		want           Invariant
	}{{membership.GuardRefute, 0, 1, NoPermanentFalseDeath}, {membership.GuardSuspect, 1, 0, TimelySuspicion}} {
		cfg := Config{Model: ModelMembership, Servers: 3, Calls: 4, Attempts: 1, Faults: c.faults, Pauses: c.pauses, GiveUp: time.Second, DisabledMembershipGuards: c.lacks}
		r, err := Run(context.Background(), cfg, Bounds{})
		if err != nil || r.Counterexample == nil || r.Counterexample.Violation.Invariant != c.want {
			t.Errorf("without %d: %+v, %v, want %s broken", c.lacks, r, err, c.want)
			continue
		}
		whole := cfg
		whole.DisabledMembershipGuards = 0
		if v, err := r.Counterexample.Replay(whole, nil); err == nil && v != nil {
			t.Errorf("without %d: the whole member breaks it too: %v", c.lacks, v)
		}
	}
}

// Ordered maintenance keeps its rules whatever is lost, late, killed, started anew or stopped among three members of
// which two are asked for; a holder that stood still past its lease is seen out beside the next without its fence, or
// without taking its callers back.
func TestMaintenanceInvariants(t *testing.T) {
	cfg := Config{Model: ModelMaintenance, Servers: 3, Calls: 2, Attempts: 1, Faults: 1, GiveUp: time.Second}
	if r, err := Run(context.Background(), cfg, Bounds{}); err != nil || !r.Complete || r.Counterexample != nil || r.TerminalStates < 100 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, lacks := range []maintenance.Guard{maintenance.GuardExpiry, maintenance.GuardStopDrain} {
		cfg := Config{Model: ModelMaintenance, Servers: 3, Calls: 8, Attempts: 1, Pauses: 1, GiveUp: time.Second, DisabledMaintenanceGuards: lacks}
		r, err := Run(context.Background(), cfg, Bounds{})
		if err != nil || r.Counterexample == nil || r.Counterexample.Violation.Invariant != WithinMaintenanceBudget {
			t.Errorf("without %d: %+v, %v, want %s broken", lacks, r, err, WithinMaintenanceBudget)
			continue
		}
		whole := cfg
		whole.DisabledMaintenanceGuards = 0
		if v, err := r.Counterexample.Replay(whole, nil); err == nil && v != nil {
			t.Errorf("without %d: the whole member breaks it too: %v", lacks, v)
		}
	}
}

// Parts of a cold server's budget keep their rules whatever is lost, late, killed, started anew or stopped among three
// members of which one lends and borrows: no unit is used by two, and in the end none is left unused. Each guard taken
// out is seen to let two use one.
func TestBudgetInvariants(t *testing.T) {
	cfg := Config{Model: ModelBudget, Servers: 3, Calls: 1, Attempts: 1, Faults: 1, GiveUp: time.Second}
	if r, err := Run(context.Background(), cfg, Bounds{}); err != nil || !r.Complete || r.Counterexample != nil || r.TerminalStates < 20 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, c := range []struct {
		lacks          budget.Guard
		faults, pauses int
	}{{budget.GuardExpiry, 1, 0}, {budget.GuardExclusive, 1, 0}, {budget.GuardIncarnation, 1, 0}, {budget.GuardRecover, 2, 0}} {
		cfg := Config{Model: ModelBudget, Servers: 3, Calls: 2, Attempts: 1, Faults: c.faults, Pauses: c.pauses, GiveUp: time.Second, DisabledBudgetGuards: c.lacks}
		r, err := Run(context.Background(), cfg, Bounds{Time: time.Minute})
		if err != nil || r.Counterexample == nil || r.Counterexample.Violation.Invariant != ExclusiveUnits {
			t.Errorf("without %d: %+v, %v, want %s broken", c.lacks, r, err, ExclusiveUnits)
			continue
		}
		whole := cfg
		whole.DisabledBudgetGuards = 0
		if v, err := r.Counterexample.Replay(whole, nil); err == nil && v != nil {
			t.Errorf("without %d: the whole member breaks it too: %v", c.lacks, v)
		}
	}
}
