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

// runSearch runs a search of a model whose callers wait for one second.
func runSearch(t *testing.T, cfg Config, bounds Bounds) *Report {
	t.Helper()
	cfg.GiveUp = time.Second
	report, err := Run(context.Background(), cfg, bounds)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// All invariants hold in every state of small call models, and the counts of a search do not depend on the number of
// workers. Guards against violations where failures overlap, and against a digest that depends on the order of a map.
func TestInvariantsHoldInSmallModels(t *testing.T) {
	for _, test := range []struct {
		cfg       Config
		minStates int
	}{
		{Config{Servers: 1, Calls: 1, Attempts: 2, Faults: 2}, 1000},
		{Config{Servers: 2, Calls: 1, Attempts: 4, Faults: 1}, 1000},
		{Config{Servers: 1, Calls: 2, Attempts: 2, Faults: 0, Pauses: 1}, 1000},
	} {
		report := runSearch(t, test.cfg, Bounds{Workers: 4})
		if report.Counterexample != nil {
			t.Fatalf("%+v: %v after %v", test.cfg, &report.Counterexample.Violation, report.Counterexample.Actions)
		}
		if !report.Complete || report.States < test.minStates || report.TerminalStates == 0 {
			t.Errorf("%+v: %+v, want a complete search", test.cfg, report)
		}
		repeated := runSearch(t, test.cfg, Bounds{Workers: 1})
		if repeated.States != report.States || repeated.Steps != report.Steps || repeated.TerminalStates != report.TerminalStates {
			t.Errorf("%+v: %+v with 4 workers, %+v with one", test.cfg, report, repeated)
		}
	}
}

// decideHook returns a hook that replaces the actions with which the controller reacts to an event.
func decideHook(decide func(elmseam.Event, []elmseam.Action) []elmseam.Action) core.Hook {
	return core.Hook{Decide: decide}
}

// withoutGuard returns the hook with a guard of the core disabled.
func withoutGuard(guard core.Guard, hook core.Hook) core.Hook {
	hook.DisabledGuards = guard
	return hook
}

// For every invariant with a guard in the core, the search finds a violation when the guard is disabled and, where needed, a
// hook makes the controller commit the error that the guard stops, and none when the guard is enabled. Guards against a
// search that cannot detect violations.
func TestDisabledCoreGuardsAreDetected(t *testing.T) {
	var noHook core.Hook
	// resendAtOnce sends again after a reset without the release guard.
	resendAtOnce := decideHook(func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		if outcome, ok := ev.(elmseam.Outcome); ok && outcome.Cause == elmseam.CauseReset && !outcome.Final {
			return []elmseam.Action{elmseam.Send{Call: outcome.Call, Server: outcome.Server}}
		}
		return actions
	})
	// sendTwice repeats every attempt.
	sendTwice := decideHook(func(_ elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		for _, a := range actions {
			if send, ok := a.(elmseam.Send); ok {
				actions = append(actions, send)
			}
		}
		return actions
	})
	// alwaysRetry sends again after every refusal for lack of capacity.
	alwaysRetry := decideHook(func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		if outcome, ok := ev.(elmseam.Outcome); ok && outcome.Cause == elmseam.CauseFull && !outcome.Final {
			return []elmseam.Action{elmseam.Send{Call: outcome.Call, Server: outcome.Server}}
		}
		return actions
	})
	// refuseOnTimer refuses the call of a timer when the timer fires, also while an attempt is outstanding.
	refuseOnTimer := decideHook(func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		if timer, ok := ev.(elmseam.TimerFired); ok {
			actions = append(actions, elmseam.Refuse{Call: elmseam.CallID(timer.Token)})
		}
		return actions
	})
	// ignoreDrain hides from the controller that a server drains.
	ignoreDrain := core.Hook{SuppressEvent: func(ev elmseam.Event) bool {
		list, ok := ev.(elmseam.ListDelta)
		return ok && list.Entries[0].Phase == elmseam.PhaseDraining
	}}
	oneCall := Config{Servers: 1, Calls: 1, Attempts: 2, Faults: 2}
	for _, test := range []struct {
		invariant Invariant
		guard     core.Guard
		hook      core.Hook
		cfg       Config
	}{
		{OneFinalAnswer, core.GuardSingleAnswer, refuseOnTimer, oneCall},
		{OneOutstandingAttempt, core.GuardSingleAttempt, sendTwice, oneCall},
		{AttemptLimit, core.GuardMaxAttempts, alwaysRetry, oneCall},
		{ReleaseGuard, core.GuardResendWait, resendAtOnce, oneCall},
		{NoSetUpToDrained, core.GuardPhase, ignoreDrain, oneCall},
		{AnswerBeforeGiveUp, core.GuardDeadline, noHook, oneCall},
		{OneRelease, core.GuardSingleRelease, noHook, oneCall},
		{NoLeak, core.GuardForgetEnded, noHook, oneCall},
	} {
		test.cfg.CoreHook = test.hook
		if report := runSearch(t, test.cfg, Bounds{}); report.Counterexample != nil {
			t.Errorf("%s: violation with all guards enabled: %v after %v", test.invariant, &report.Counterexample.Violation, report.Counterexample.Actions)
		}
		test.cfg.CoreHook = withoutGuard(test.guard, test.hook)
		report := runSearch(t, test.cfg, Bounds{})
		if report.Counterexample == nil || report.Counterexample.Violation.Invariant != test.invariant {
			t.Errorf("%s: no violation of it found without its guard: %+v", test.invariant, report)
			continue
		}
		test.cfg.GiveUp = time.Second
		for range 2 { // the trace, written and read, reproduces the violation, each time alike
			var text strings.Builder
			if err := report.Counterexample.Write(&text); err != nil {
				t.Fatal(err)
			}
			read, err := ReadTrace(strings.NewReader(text.String()))
			if err != nil {
				t.Fatal(err)
			}
			if v, err := read.Replay(test.cfg, nil); err != nil || v == nil || *v != report.Counterexample.Violation {
				t.Errorf("%s: replay of the trace returns %v, %v", test.invariant, v, err)
			}
			if v, err := read.Replay(read.Config, nil); err == nil && v != nil {
				t.Errorf("%s: the trace violates an invariant in the unmodified core too: %v", test.invariant, v)
			}
		}
	}
}

// The invariants of circuits hold in every state that crossing, lost and stalled releases and lost connections lead to, and
// the search finds a violation of each when its guard is disabled.
func TestCircuitInvariants(t *testing.T) {
	for _, cfg := range []Config{{Servers: 1, Calls: 3, Faults: 3, Pauses: 1}, {Servers: 2, Calls: 3, Faults: 1}} {
		cfg.Model, cfg.Attempts = ModelCircuits, 1
		if report := runSearch(t, cfg, Bounds{}); !report.Complete || report.Counterexample != nil || report.States < 1000 {
			t.Errorf("%+v: %+v", cfg, report)
		}
	}
	for _, test := range []struct {
		invariant Invariant
		guard     circuits.Guard
		faults    int
	}{{OneCallPerCircuit, circuits.GuardConfirm, 1}, {SignalMatchesCall, circuits.GuardReleaseCount, 0}, {NoLostCircuit, circuits.GuardOverdue, 1}} {
		cfg := Config{Model: ModelCircuits, Servers: 1, Calls: 3, Attempts: 1, Faults: test.faults, Pauses: 1, DisabledCircuitGuards: test.guard}
		if report := runSearch(t, cfg, Bounds{}); report.Counterexample == nil || report.Counterexample.Violation.Invariant != test.invariant {
			t.Errorf("%s: no violation of it found without its guard: %+v", test.invariant, report.Counterexample)
		}
	}
}

// A search that a bound stops reports which bound, and makes the requested random walks.
func TestIncompleteSearchReportsReason(t *testing.T) {
	largeModel := Config{Servers: 2, Calls: 3, Attempts: 4, Faults: 3}
	for reason, bounds := range map[string]Bounds{"depth": {Depth: 3}, "memory": {Memory: 1 << 12}, "time": {Time: time.Millisecond}} {
		bounds.Walks = 20
		if report := runSearch(t, largeModel, bounds); report.Complete || report.StopReason != reason || report.Walks != 20 || report.Counterexample != nil {
			t.Errorf("%s: %+v", reason, report)
		}
	}
}

// ReadTrace rejects a trace that is damaged, truncated or written by a newer version.
func TestInvalidTracesAreRejected(t *testing.T) {
	var text strings.Builder
	trace := Trace{Config: Config{Servers: 1, Calls: 1, Attempts: 2, GiveUp: time.Second}, Actions: []Action{{Kind: actSetUp}, {Kind: actOfferWritten}}}
	if err := trace.Write(&text); err != nil {
		t.Fatal(err)
	}
	validText := text.String()
	for name, test := range map[string]struct {
		text string
		want error
	}{
		"empty":     {"", ErrNotTrace},
		"other":     {"{}\n", ErrNotTrace},
		"newer":     {strings.Replace(validText, `"version":1`, `"version":2`, 1), ErrNewerVersion},
		"cut short": {validText[:len(validText)-40], ErrDamaged},
		"a line":    {strings.Replace(validText, "written 0 0\n", "", 1), ErrDamaged},
		"changed":   {strings.Replace(validText, "written", "answer", 1), ErrDamaged},
		"unknown":   {strings.Replace(validText, "written", "eaten", 1), ErrDamaged},
		"too large": {strings.Replace(validText, `"servers":1`, `"servers":1000`, 1), ErrDamaged},
		"more":      {validText + "x", ErrDamaged},
	} {
		if _, err := ReadTrace(strings.NewReader(test.text)); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
	if _, err := ReadTrace(strings.NewReader(validText)); err != nil {
		t.Error(err)
	}
}

// Counterexamples found by earlier searches no longer violate an invariant in the corrected code. A trace with
// an action that is no longer enabled is only logged.
func TestRecordedCounterexamplesNoLongerFail(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		trace, err := ReadTrace(file)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		violation, err := trace.Replay(trace.Config, nil)
		if violation != nil {
			t.Errorf("%s: %v", path, violation)
		}
		if err != nil {
			t.Logf("%s: no longer replays to the end: %v", path, err)
		}
	}
}

// BenchmarkReplay measures the rebuilding of a state by replay of ten actions.
func BenchmarkReplay(b *testing.B) {
	benchmarkModel(b, func(_ Model, cfg Config, path []Action) { Replay(cfg, path) })
}

// BenchmarkDigest measures the digest of a state.
func BenchmarkDigest(b *testing.B) {
	benchmarkModel(b, func(model Model, _ Config, _ []Action) { model.Digest() })
}

// benchmarkModel measures a function of a state, its configuration and the actions that lead to the state.
func benchmarkModel(b *testing.B, measured func(Model, Config, []Action)) {
	cfg := Config{Servers: 2, Calls: 3, Attempts: 4, Faults: 2, GiveUp: time.Second}
	path := []Action{{Kind: actSetUp}, {Kind: actSetUp, Target: 1, Arg: 1}, {Kind: actOfferWritten}, {Kind: actOfferWritten, Target: 1}, {Kind: actAnswer},
		{Kind: actRefuseBusy, Target: 1}, {Kind: actSetUp, Target: 2}, {Kind: actConnLost}, {Kind: actDialCompleted}, {Kind: actRelease}}
	model, n := Replay(cfg, path)
	if n != len(path) {
		b.Fatal("replay ends early")
	}
	for b.Loop() {
		measured(model, cfg, path)
	}
}

// The invariants of membership hold for three members under one fault: a lost or delayed datagram, or a killed member that may
// start again. Without refutations, a running member that was paused is considered dead permanently; without suspicions of
// its own, a member does not suspect a dead member in time.
func TestMembershipInvariants(t *testing.T) {
	cfg := Config{Model: ModelMembership, Servers: 3, Calls: 2, Attempts: 1, Faults: 1, Pauses: 0, GiveUp: time.Second}
	if report, err := Run(context.Background(), cfg, Bounds{}); err != nil || !report.Complete || report.Counterexample != nil || report.TerminalStates < 100 {
		t.Fatalf("%+v, %v", report, err)
	}
	for _, test := range []struct {
		disabled       membership.Guard
		faults, pauses int
		want           Invariant
	}{{membership.GuardRefute, 0, 1, NoPermanentFalseDeath}, {membership.GuardSuspect, 1, 0, TimelySuspicion}} {
		cfg := Config{Model: ModelMembership, Servers: 3, Calls: 4, Attempts: 1, Faults: test.faults, Pauses: test.pauses, GiveUp: time.Second, DisabledMembershipGuards: test.disabled}
		report, err := Run(context.Background(), cfg, Bounds{})
		if err != nil || report.Counterexample == nil || report.Counterexample.Violation.Invariant != test.want {
			t.Errorf("without %d: %+v, %v, want a violation of %s", test.disabled, report, err, test.want)
			continue
		}
		unmodified := cfg
		unmodified.DisabledMembershipGuards = 0
		if v, err := report.Counterexample.Replay(unmodified, nil); err == nil && v != nil {
			t.Errorf("without %d: the unmodified member violates an invariant too: %v", test.disabled, v)
		}
	}
}

// The invariants of maintenance hold for three members, two of them with a request, under one fault: a lost or delayed
// datagram, or a killed member that may start again. If a holder that was paused beyond the expiry of its lease does not
// check the expiry, or does not stop its drain, two members are out of service at the same time.
func TestMaintenanceInvariants(t *testing.T) {
	cfg := Config{Model: ModelMaintenance, Servers: 3, Calls: 2, Attempts: 1, Faults: 1, GiveUp: time.Second}
	if report, err := Run(context.Background(), cfg, Bounds{}); err != nil || !report.Complete || report.Counterexample != nil || report.TerminalStates < 100 {
		t.Fatalf("%+v, %v", report, err)
	}
	for _, disabled := range []maintenance.Guard{maintenance.GuardExpiry, maintenance.GuardStopDrain} {
		cfg := Config{Model: ModelMaintenance, Servers: 3, Calls: 8, Attempts: 1, Pauses: 1, GiveUp: time.Second, DisabledMaintenanceGuards: disabled}
		report, err := Run(context.Background(), cfg, Bounds{})
		if err != nil || report.Counterexample == nil || report.Counterexample.Violation.Invariant != WithinMaintenanceBudget {
			t.Errorf("without %d: %+v, %v, want a violation of %s", disabled, report, err, WithinMaintenanceBudget)
			continue
		}
		unmodified := cfg
		unmodified.DisabledMaintenanceGuards = 0
		if v, err := report.Counterexample.Replay(unmodified, nil); err == nil && v != nil {
			t.Errorf("without %d: the unmodified member violates an invariant too: %v", disabled, v)
		}
	}
}

// The invariants of quotas hold for three members, one of which borrows from the others, under one fault: a lost or delayed
// datagram, or a killed member that may start again. No unit is used by two members, and in the end no unit that may be
// used is unused. With any one of the guards listed below disabled, two members use the same unit.
func TestBudgetInvariants(t *testing.T) {
	cfg := Config{Model: ModelBudget, Servers: 3, Calls: 1, Attempts: 1, Faults: 1, GiveUp: time.Second}
	if report, err := Run(context.Background(), cfg, Bounds{}); err != nil || !report.Complete || report.Counterexample != nil || report.TerminalStates < 20 {
		t.Fatalf("%+v, %v", report, err)
	}
	for _, test := range []struct {
		disabled       budget.Guard
		faults, pauses int
	}{{budget.GuardExpiry, 1, 0}, {budget.GuardExclusive, 1, 0}, {budget.GuardIncarnation, 1, 0}, {budget.GuardRecover, 2, 0}} {
		cfg := Config{Model: ModelBudget, Servers: 3, Calls: 2, Attempts: 1, Faults: test.faults, Pauses: test.pauses, GiveUp: time.Second, DisabledBudgetGuards: test.disabled}
		report, err := Run(context.Background(), cfg, Bounds{Time: time.Minute})
		if err != nil || report.Counterexample == nil || report.Counterexample.Violation.Invariant != ExclusiveUnits {
			t.Errorf("without %d: %+v, %v, want a violation of %s", test.disabled, report, err, ExclusiveUnits)
			continue
		}
		unmodified := cfg
		unmodified.DisabledBudgetGuards = 0
		if v, err := report.Counterexample.Replay(unmodified, nil); err == nil && v != nil {
			t.Errorf("without %d: the unmodified member violates an invariant too: %v", test.disabled, v)
		}
	}
}
