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

func explore(t *testing.T, cfg Config, b Bounds) *Report {
	t.Helper()
	cfg.Wait = time.Second
	r, err := Run(context.Background(), cfg, b)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The served code keeps every rule in every state that a few calls, servers and disturbances lead to, and the same
// exploration comes to the same counts, on one worker or on many. It guards against a rule that breaks where failures
// overlap, and against a digest that depends on the order of a map.
func TestSmallWorldsKeepTheRules(t *testing.T) {
	for _, c := range []struct {
		cfg    Config
		states int
	}{
		{Config{Servers: 1, Calls: 1, Attempts: 2, Faults: 2}, 1000},
		{Config{Servers: 2, Calls: 1, Attempts: 4, Faults: 1}, 1000},
		{Config{Servers: 1, Calls: 2, Attempts: 2, Faults: 0, Pauses: 1}, 1000},
	} {
		r := explore(t, c.cfg, Bounds{Workers: 4})
		if r.Trace != nil {
			t.Fatalf("%+v: %v after %v", c.cfg, &r.Trace.Broken, r.Trace.Actions)
		}
		if !r.Complete || r.States < c.states || r.Ends == 0 {
			t.Errorf("%+v: %+v, want a complete exploration", c.cfg, r)
		}
		again := explore(t, c.cfg, Bounds{Workers: 1})
		if again.States != r.States || again.Steps != r.Steps || again.Ends != r.Ends {
			t.Errorf("%+v: %+v and then %+v", c.cfg, r, again)
		}
	}
}

// decide has the module do something else when it hears of an event.
func decide(when func(elmseam.Event, []elmseam.Action) []elmseam.Action) core.Hook {
	return core.Hook{Decide: when}
}

func without(g core.Guard, h core.Hook) core.Hook {
	h.Without = g
	return h
}

// Every rule is seen to break in a core that lacks its guard, under a module that errs where the guard would hold. An
// exploration that can't see a rule broken proves nothing.
func TestBrokenCoresAreFound(t *testing.T) {
	var none core.Hook
	gap := decide(func(ev elmseam.Event, acts []elmseam.Action) []elmseam.Action { // sends again at once
		if o, ok := ev.(elmseam.Outcome); ok && o.Cause == elmseam.CauseReset && !o.Final {
			return []elmseam.Action{elmseam.Send{Call: o.Call, Server: o.Server}}
		}
		return acts
	})
	twice := decide(func(_ elmseam.Event, acts []elmseam.Action) []elmseam.Action {
		for _, a := range acts {
			if s, ok := a.(elmseam.Send); ok {
				acts = append(acts, s)
			}
		}
		return acts
	})
	stubborn := decide(func(ev elmseam.Event, acts []elmseam.Action) []elmseam.Action {
		if o, ok := ev.(elmseam.Outcome); ok && o.Cause == elmseam.CauseFull && !o.Final {
			return []elmseam.Action{elmseam.Send{Call: o.Call, Server: o.Server}}
		}
		return acts
	})
	hasty := decide(func(ev elmseam.Event, acts []elmseam.Action) []elmseam.Action { // refuses what is out
		if wake, ok := ev.(elmseam.Wake); ok {
			acts = append(acts, elmseam.Refuse{Call: elmseam.CallID(wake.Token)})
		}
		return acts
	})
	deaf := core.Hook{Deaf: func(ev elmseam.Event) bool {
		l, delta := ev.(elmseam.ListDelta)
		return delta && l.Entries[0].Phase == elmseam.Draining
	}}
	one := Config{Servers: 1, Calls: 1, Attempts: 2, Faults: 2}
	for _, c := range []struct {
		rule  Rule
		guard core.Guard
		hook  core.Hook
		cfg   Config
	}{
		{OneFinal, core.GuardFinal, hasty, one},
		{OneOut, core.GuardOut, twice, one},
		{FewSends, core.GuardMost, stubborn, one},
		{ReleaseGap, core.GuardGap, gap, one},
		{NoDrained, core.GuardPhase, deaf, one},
		{NoWait, core.GuardDeadline, none, one},
		{OneRelease, core.GuardRelease, none, one},
		{NoLeak, core.GuardMemory, none, one},
	} {
		c.cfg.Hook = c.hook
		if r := explore(t, c.cfg, Bounds{}); r.Trace != nil {
			t.Errorf("%s: broken with all guards in their places: %v after %v", c.rule, &r.Trace.Broken, r.Trace.Actions)
		}
		c.cfg.Hook = without(c.guard, c.hook)
		r := explore(t, c.cfg, Bounds{})
		if r.Trace == nil || r.Trace.Broken.Rule != c.rule {
			t.Errorf("%s: not seen broken without its guard: %+v", c.rule, r)
			continue
		}
		c.cfg.Wait = time.Second
		for range 2 { // and again by its trace, written and read
			var text strings.Builder
			if err := r.Trace.Write(&text); err != nil {
				t.Fatal(err)
			}
			read, err := ReadTrace(strings.NewReader(text.String()))
			if err != nil {
				t.Fatal(err)
			}
			if v, err := read.Play(c.cfg, nil); err != nil || v == nil || *v != r.Trace.Broken {
				t.Errorf("%s: the trace comes to %v, %v", c.rule, v, err)
			}
			if v, err := read.Play(read.Config, nil); err == nil && v != nil {
				t.Errorf("%s: the trace breaks a rule in the served core too: %v", c.rule, v)
			}
		}
	}
}

// Calls on circuits are kept apart in every state that releases that cross, are lost or stalled, and connections that
// break lead to; and each rule is seen to break without its guard.
func TestCircuitsKeepCallsApart(t *testing.T) {
	for _, cfg := range []Config{{Servers: 1, Calls: 3, Faults: 3, Pauses: 1}, {Servers: 2, Calls: 3, Faults: 1}} {
		cfg.Model, cfg.Attempts = Circuits, 1
		if r := explore(t, cfg, Bounds{}); !r.Complete || r.Trace != nil || r.States < 1000 {
			t.Errorf("%+v: %+v", cfg, r)
		}
	}
	for _, c := range []struct {
		rule   Rule
		guard  circuits.Guard
		faults int
	}{{OneCall, circuits.GuardConfirm, 1}, {NoMixUp, circuits.GuardCount, 0}, {ComeBack, circuits.GuardOverdue, 1}} {
		cfg := Config{Model: Circuits, Servers: 1, Calls: 3, Attempts: 1, Faults: c.faults, Pauses: 1, Without: c.guard}
		if r := explore(t, cfg, Bounds{}); r.Trace == nil || r.Trace.Broken.Rule != c.rule {
			t.Errorf("%s: not seen broken without its guard: %+v", c.rule, r.Trace)
		}
	}
}

// An exploration that was cut short by any bound says so, and samples what lies beyond where it is asked to.
func TestCutShort(t *testing.T) {
	big := Config{Servers: 2, Calls: 3, Attempts: 4, Faults: 3}
	for why, b := range map[string]Bounds{"depth": {Depth: 3}, "memory": {Memory: 1 << 12}, "time": {Time: time.Millisecond}} {
		b.Walks = 20
		if r := explore(t, big, b); r.Complete || r.Why != why || r.Walks != 20 || r.Trace != nil {
			t.Errorf("%s: %+v", why, r)
		}
	}
}

// A trace that was damaged, cut short or written by a newer version is refused.
func TestBadTraces(t *testing.T) {
	var text strings.Builder
	good := Trace{Config: Config{Servers: 1, Calls: 1, Attempts: 2, Wait: time.Second}, Actions: []Action{{Kind: setUp}, {Kind: written}}}
	if err := good.Write(&text); err != nil {
		t.Fatal(err)
	}
	whole := text.String()
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"empty":     {"", ErrNoTrace},
		"other":     {"{}\n", ErrNoTrace},
		"newer":     {strings.Replace(whole, `"version":1`, `"version":2`, 1), ErrNewer},
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
func TestFoundOnce(t *testing.T) {
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
		v, err := tr.Play(tr.Config, nil)
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
	benchmark(b, func(_ Model, cfg Config, way []Action) { Replay(cfg, way) })
}

func BenchmarkDigest(b *testing.B) { benchmark(b, func(w Model, _ Config, _ []Action) { w.Digest() }) }

func benchmark(b *testing.B, do func(Model, Config, []Action)) {
	cfg := Config{Servers: 2, Calls: 3, Attempts: 4, Faults: 2, Wait: time.Second}
	way := []Action{{Kind: setUp}, {Kind: setUp, Of: 1, N: 1}, {Kind: written}, {Kind: written, Of: 1}, {Kind: answer},
		{Kind: busy, Of: 1}, {Kind: setUp, Of: 2}, {Kind: connLost}, {Kind: dialled}, {Kind: release}}
	w, n := Replay(cfg, way)
	if n != len(way) {
		b.Fatal("the way ends early")
	}
	for b.Loop() {
		do(w, cfg, way)
	}
}

// Membership keeps its rules whatever is lost, late, killed, started anew or stopped among three members; without its
// refutations a living member stays dead for good, and without its own suspicions a dead one is not seen in time.
func TestMembers(t *testing.T) {
	cfg := Config{Model: Members, Servers: 3, Calls: 2, Attempts: 1, Faults: 1, Pauses: 0, Wait: time.Second}
	if r, err := Run(context.Background(), cfg, Bounds{}); err != nil || !r.Complete || r.Trace != nil || r.Ends < 100 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, c := range []struct {
		lacks          membership.Guard
		faults, pauses int
		want           Rule
	}{{membership.GuardRefute, 0, 1, NotForGood}, {membership.GuardSuspect, 1, 0, InTime}} {
		cfg := Config{Model: Members, Servers: 3, Calls: 4, Attempts: 1, Faults: c.faults, Pauses: c.pauses, Wait: time.Second, Lacks: c.lacks}
		r, err := Run(context.Background(), cfg, Bounds{})
		if err != nil || r.Trace == nil || r.Trace.Broken.Rule != c.want {
			t.Errorf("without %d: %+v, %v, want %s broken", c.lacks, r, err, c.want)
			continue
		}
		whole := cfg
		whole.Lacks = 0
		if v, err := r.Trace.Play(whole, nil); err == nil && v != nil {
			t.Errorf("without %d: the whole member breaks it too: %v", c.lacks, v)
		}
	}
}

// Ordered maintenance keeps its rules whatever is lost, late, killed, started anew or stopped among three members of
// which two are asked for; a holder that stood still past its lease is seen out beside the next without its fence, or
// without taking its callers back.
func TestWorks(t *testing.T) {
	cfg := Config{Model: Works, Servers: 3, Calls: 2, Attempts: 1, Faults: 1, Wait: time.Second}
	if r, err := Run(context.Background(), cfg, Bounds{}); err != nil || !r.Complete || r.Trace != nil || r.Ends < 100 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, lacks := range []maintenance.Guard{maintenance.GuardEnd, maintenance.GuardBack} {
		cfg := Config{Model: Works, Servers: 3, Calls: 8, Attempts: 1, Pauses: 1, Wait: time.Second, Idle: lacks}
		r, err := Run(context.Background(), cfg, Bounds{})
		if err != nil || r.Trace == nil || r.Trace.Broken.Rule != InBudget {
			t.Errorf("without %d: %+v, %v, want %s broken", lacks, r, err, InBudget)
			continue
		}
		whole := cfg
		whole.Idle = 0
		if v, err := r.Trace.Play(whole, nil); err == nil && v != nil {
			t.Errorf("without %d: the whole member breaks it too: %v", lacks, v)
		}
	}
}

// Parts of a cold server's budget keep their rules whatever is lost, late, killed, started anew or stopped among three
// members of which one lends and borrows: no unit is used by two, and in the end none is left unused. Each guard taken
// out is seen to let two use one.
func TestParts(t *testing.T) {
	cfg := Config{Model: Parts, Servers: 3, Calls: 1, Attempts: 1, Faults: 1, Wait: time.Second}
	if r, err := Run(context.Background(), cfg, Bounds{}); err != nil || !r.Complete || r.Trace != nil || r.Ends < 20 {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, c := range []struct {
		lacks          budget.Guard
		faults, pauses int
	}{{budget.GuardEnd, 1, 0}, {budget.GuardOther, 1, 0}, {budget.GuardLife, 1, 0}, {budget.GuardForget, 2, 0}} {
		cfg := Config{Model: Parts, Servers: 3, Calls: 2, Attempts: 1, Faults: c.faults, Pauses: c.pauses, Wait: time.Second, Loose: c.lacks}
		r, err := Run(context.Background(), cfg, Bounds{Time: time.Minute})
		if err != nil || r.Trace == nil || r.Trace.Broken.Rule != Whole {
			t.Errorf("without %d: %+v, %v, want %s broken", c.lacks, r, err, Whole)
			continue
		}
		whole := cfg
		whole.Loose = 0
		if v, err := r.Trace.Play(whole, nil); err == nil && v != nil {
			t.Errorf("without %d: the whole member breaks it too: %v", c.lacks, v)
		}
	}
}
