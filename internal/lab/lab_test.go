package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

var testRules = Rules{MaxAttempts: 4, ReleaseGuard: 200 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
	TipMultiple: 2.5, TipWindow: time.Second, ColdFrom: 0.3, Ramp: 14 * time.Second, Slack: 50 * time.Millisecond, ColdSlack: 3}

const ms = time.Millisecond

func violatedRules(checker *Checker) []string {
	var names []string
	for _, violation := range checker.Violations() {
		names = append(names, violation.Rule)
	}
	return names
}

// Each invariant is seen broken by a story that breaks it, and held by its twin that doesn't.
func TestCheckerReportsEachViolation(t *testing.T) {
	for _, test := range []struct {
		name, want string
		events     func(checker *Checker)
	}{
		{"two answers", "two final answers", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.RecordFinalAnswer(10*ms, 1, true)
			checker.RecordFinalAnswer(20*ms, 1, false)
		}},
		{"none before give-up", "no final answer before give-up", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.RecordUnanswered(1500*ms, 1, false)
		}},
		{"none at the end", "no final answer before give-up", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.CheckOpen(2 * time.Second)
		}},
		{"lost with its connection", "set-up lost", func(checker *Checker) {
			checker.RecordSetUp(0, 1, 0, 1500*ms)
			checker.RecordUnanswered(100*ms, 1, false)
		}},
		{"two out", "two attempts out", func(checker *Checker) {
			checker.RecordAttempt(0, "a", 1)
			checker.RecordAttempt(5*ms, "b", 1)
		}},
		{"five attempts", "too many attempts", func(checker *Checker) {
			for i := range 5 {
				at := time.Duration(i) * 10 * ms
				checker.RecordAttempt(at, "a", 1)
				checker.RecordAttemptEnd(at+ms, "a", 1, Refused)
			}
		}},
		{"again too soon", "release gap", func(checker *Checker) {
			checker.RecordAttempt(0, "a", 1)
			checker.RecordAttemptEnd(10*ms, "a", 1, ConnectionReset)
			checker.RecordAttempt(100*ms, "b", 1)
		}},
		{"to a drained server", "new attempt at a retired server", func(checker *Checker) {
			checker.RecordRetirement("a", 0)
			checker.RecordAttempt(400*ms, "a", 1)
		}},
		{"a cold server flooded", "cold server pushed over", func(checker *Checker) {
			checker.AddServer("c", 100, 0) // 30 a second at first: a budget of 75 in a second
			for i := range 90 {
				checker.RecordAttempt(time.Duration(i)*10*ms, "c", uint64(i+10))
			}
		}},
	} {
		checker := NewChecker(testRules)
		checker.AddServer("a", 100, -1)
		checker.AddServer("b", 100, -1)
		test.events(checker)
		if got := violatedRules(checker); len(got) != 1 || got[0] != test.want {
			t.Errorf("%s: broken %v, want %q", test.name, got, test.want)
		}
	}
}

func TestCheckerAcceptsCorrectRun(t *testing.T) {
	checker := NewChecker(testRules)
	checker.AddServer("a", 100, -1)
	checker.AddServer("c", 100, 0)
	checker.RecordSetUp(0, 1, 0, 1500*ms)
	checker.RecordAttempt(0, "a", 1)
	checker.RecordAttemptEnd(10*ms, "a", 1, ConnectionReset)
	checker.RecordAttempt(260*ms, "a", 1) // after the gap
	checker.RecordAttemptEnd(270*ms, "a", 1, Answered)
	checker.RecordFinalAnswer(271*ms, 1, true)
	checker.RecordSetUp(0, 2, 0, 1500*ms)
	checker.RecordUnanswered(300*ms, 2, true) // excused: a fault of the lab's stood in its way
	checker.RecordRetirement("a", 300*ms)
	checker.RecordAttempt(590*ms, "a", 3) // within the grace and its slack
	for i := range 70 {                   // within the cold budget, with the slack for chance
		checker.RecordAttempt(time.Duration(i)*10*ms, "c", uint64(i+10))
	}
	checker.CheckOpen(3 * time.Second)
	if got := violatedRules(checker); len(got) > 0 {
		t.Fatalf("broken %v", got)
	}
	if s := checker.PerSecond()[0]; s.Offered != 2 || s.Served != 1 || s.Excused != 1 || s.Arrivals["c"] != 70 {
		t.Fatalf("second 0: %+v", s)
	}
}

// Where the lab lagged, a lateness is its own, not the fleet's.
func TestCheckerIgnoresViolationsDuringLag(t *testing.T) {
	checker := NewChecker(testRules)
	checker.RecordSetUp(0, 1, 0, 1500*ms)
	checker.RecordLag(1400*ms, 1600*ms)
	checker.RecordUnanswered(1500*ms, 1, false)
	if got := violatedRules(checker); len(got) > 0 {
		t.Fatalf("broken %v", got)
	}
}

func TestNetworkConditions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	conditions := NetworkConditions{Groups: map[int]int{0: 0, 1: 0, 2: 1}, OneWay: true}
	if !conditions.Deliver(0, 2, rng).Drop || conditions.Deliver(2, 0, rng).Drop || conditions.Deliver(0, 1, rng).Drop {
		t.Fatal("a one-way cut drops only from the first group to the others")
	}
	conditions.OneWay = false
	if !conditions.Deliver(2, 0, rng).Drop {
		t.Fatal("a cut both ways drops back too")
	}
	conditions = NetworkConditions{Loss: 0.3, Duplicate: 0.5, Reorder: 10 * ms}
	lost, duplicated := 0, 0
	for range 10000 {
		delivery := conditions.Deliver(0, 1, rng)
		if delivery.Drop {
			lost++
		} else if len(delivery.Delays) == 2 {
			duplicated++
		}
	}
	if lost < 2800 || lost > 3200 || duplicated < 3300 || duplicated > 3700 {
		t.Fatalf("lost %d, doubled %d of 10000", lost, duplicated)
	}
}

func TestReadScenario(t *testing.T) {
	dir := t.TempDir()
	for _, test := range []struct{ text, field string }{
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 2\n[[server]]\nname = \"s\"\ncapacity = 10\n[[load]]\nrate = 1\n" +
			"[[fault]]\nkind = \"kill\"\ntarget = [\"n3\"]\n", "fault[0].target"},
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 2\nwho = 1\n", "who"},
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 99\n", "softswitches"},
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 2\n[[server]]\nname = \"s\"\ncapacity = 10\n[[load]]\nrate = 1\n" +
			"[[fault]]\nkind = \"flood\"\n", "fault[0].kind"},
	} {
		path := filepath.Join(dir, "s.toml")
		os.WriteFile(path, []byte(test.text), 0o600)
		_, err := ReadScenario(path)
		if err == nil || !strings.HasPrefix(err.Error(), test.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line naming %s", test.text, err, test.field)
		}
	}
	shipped, _ := filepath.Glob(filepath.Join("..", "..", "lab", "scenarios", "*.toml"))
	for _, path := range shipped {
		if _, err := ReadScenario(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
	if len(shipped) < 40 {
		t.Errorf("%d scenarios shipped", len(shipped))
	}
	credit, got := make([]float64, 3), [3]int{}
	for range 120 {
		got[nextByShare(credit, []float64{10, 1, 1})]++
	}
	if got != [3]int{100, 10, 10} {
		t.Errorf("of 120 set-ups by shares of 10, 1 and 1 go %v", got)
	}
}

// One that came back is compared with its peers by the second in which each set-up was sent, from its first call after it
// was started again; what came to it before is not its return.
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
	if stats == nil || stats.First != 5000*ms || stats.Share[0] != 0.75 || stats.Peers[0] != 0.25 || stats.Share[1] != -1 || stats.Peers[1] != 1 || stats.Peers[2] != -1 {
		t.Errorf("%+v", stats)
	}
	if checker.Recovery(1, 6000*ms, 3) != nil {
		t.Error("a return without a call")
	}
}

// Faults of every kind that can be drawn make sense when they are, and are the same for the same seed.
func TestRandomFaults(t *testing.T) {
	draw := func(seed uint64) []Fault {
		scenario := shortScenario("random")
		scenario.Seed = seed
		for _, kind := range randomFaultKinds {
			scenario.RandomFaults = append(scenario.RandomFaults, RandomFault{Kind: kind, Count: 5, To: Duration{3 * time.Second}, Duration: Duration{time.Second},
				Probability: 0.2, Delay: Duration{10 * ms}, Factor: 3})
		}
		if err := scenario.Check(); err != nil {
			t.Fatal(err)
		}
		return scenario.Faults
	}
	faults, repeated, other := draw(1), draw(1), draw(2)
	if fmt.Sprint(faults) != fmt.Sprint(repeated) || fmt.Sprint(faults) == fmt.Sprint(other) || len(faults) != 5*len(randomFaultKinds) {
		t.Errorf("%d faults; the same seed draws the same: %t", len(faults), fmt.Sprint(faults) == fmt.Sprint(repeated))
	}
	for _, fault := range faults {
		if fault.Kind == "partition" && (len(fault.Groups[0]) == 0 || len(fault.Groups[1]) == 0) {
			t.Errorf("a partition with one side: %v", fault.Groups)
		}
	}
}

// program builds the softswitch once for the stories that start processes of it.
func buildSoftswitch(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	bin := filepath.Join(t.TempDir(), "elmseam")
	if out, err := exec.Command("go", "build", "-o", bin, "elmseam/cmd/elmseam").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

func shortScenario(name string, faults ...Fault) *Scenario {
	return &Scenario{Name: name, Duration: Duration{4 * time.Second}, Seed: 1, Softswitches: 3, PeersEnabled: true,
		GiveUp:  Duration{time.Second},
		Servers: []Server{{Name: "s1", Capacity: 400}, {Name: "s2", Capacity: 400}},
		Load:    []LoadStep{{Rate: 120}}, Faults: faults}
}

// A fleet that the lab kills, pauses and cuts apart keeps every rule; the lab accounts for what the faults cost,
// agrees with the doors, gets past a port taken under it, and leaves no process behind.
func TestFleetUnderFaults(t *testing.T) {
	bin := buildSoftswitch(t)
	scenario := shortScenario("faults",
		Fault{At: Duration{time.Second}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{time.Second}},
		Fault{At: Duration{time.Second}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}}, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{1500 * ms}, Kind: "pause", Target: []string{"n3"}, Duration: Duration{1500 * ms}},
		Fault{At: Duration{2 * time.Second}, Kind: "reset", Target: []string{"n1"}, Server: "s1"})
	if err := scenario.Check(); err != nil {
		t.Fatal(err)
	}
	outDir := t.TempDir()
	rules, err := parseRules([]byte(DefaultSettings))
	if err != nil {
		t.Fatal(err)
	}
	run := newRunner(scenario, Options{Binary: bin, OutDir: outDir}, rules, DefaultSettings)
	// The first port handed to n1 is taken by another program before n1 listens there: it gets new ones.
	taken, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	first := true
	run.pickPort = func(network, host string) (string, error) {
		if first && network == "tcp" {
			first = false
			return taken.Addr().String(), nil
		}
		return freePort(network, host)
	}
	res, err := run.run()
	if err != nil {
		t.Fatal(err)
	}
	if !res.Passed || res.Served < res.Offered/2 || res.Starts["n2"] != 2 || res.Starts["n1"] != 2 {
		t.Fatalf("held %v, breaches %+v; served %d of %d; starts %v", res.Passed, res.Violations, res.Served, res.Offered, res.Starts)
	}
	if err := res.WriteTable(filepath.Join(outDir, "seconds.csv")); err != nil {
		t.Fatal(err)
	}
	assertNoProcesses(t, outDir)
}

// noneLeft fails where a softswitch that the lab started is still there.
func assertNoProcesses(t *testing.T, outDir string) {
	t.Helper()
	entries, _ := os.ReadDir("/proc")
	for _, entry := range entries {
		env, err := os.ReadFile(filepath.Join("/proc", entry.Name(), "environ"))
		if pid, _ := strconv.Atoi(entry.Name()); err == nil && strings.Contains(string(env), "ROUTER_CONFIG="+outDir) {
			syscall.Kill(pid, syscall.SIGKILL)
			t.Errorf("process %d outlived the lab", pid)
		}
	}
}

// The judge catches a fleet that its world misled: drains that the channel kept back, and servers weaker and colder
// than the channel said. Both are the lab's faults on purpose; what is seen is that the judge sees them.
func TestFleetWithSelfTestFaults(t *testing.T) {
	bin := buildSoftswitch(t)
	for _, test := range []struct {
		fault, wantRule string
		s               *Scenario
	}{
		{"unheard drains", "new attempt at a retired server",
			shortScenario("unheard", Fault{At: Duration{time.Second}, Kind: "drain", Server: "s1"}, Fault{At: Duration{time.Second}, Kind: "drain", Server: "s2"})},
		{"weak cold servers", "cold server pushed over", func() *Scenario {
			scenario := shortScenario("untold")
			scenario.Servers = []Server{{Name: "s1", Capacity: 100, StartAt: Duration{time.Second}}}
			scenario.Load = []LoadStep{{Rate: 300}}
			return scenario
		}()},
	} {
		if err := test.s.Check(); err != nil {
			t.Fatal(err)
		}
		res, err := Run(test.s, Options{Binary: bin, OutDir: t.TempDir(), SelfTestFault: test.fault})
		if err != nil {
			t.Fatal(err)
		}
		found := false
		for _, violation := range res.Violations {
			found = found || violation.Rule == test.wantRule
		}
		if res.Passed || !found {
			t.Errorf("%s: breaches %+v, want %q; seconds %+v", test.fault, res.Violations, test.wantRule, res.seconds)
		}
	}
}

// The plan overlaps the network's faults: the weather at each moment is all of them that stand then.
func TestPlanCombinesNetworkFaults(t *testing.T) {
	scenario := shortScenario("plan",
		Fault{At: Duration{time.Second}, Kind: "loss", Probability: 0.5, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{2 * time.Second}, Kind: "loss", Probability: 0.5, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{2 * time.Second}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}}, OneWay: true},
		Fault{At: Duration{time.Second}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{500 * ms}},
		Fault{At: Duration{time.Second}, Kind: "restart"})
	scenario.Servers = append(scenario.Servers, Server{Name: "late", Capacity: 10, StartAt: Duration{3 * time.Second}})
	if err := scenario.Check(); err != nil {
		t.Fatal(err)
	}
	var conditions []string
	var kinds []ActionKind
	for _, action := range Plan(scenario, true) {
		kinds = append(kinds, action.Kind)
		if action.Kind == ActNetworkConditions {
			conditions = append(conditions, fmt.Sprintf("%v loss %.2f cut %v", action.At, action.Conditions.Loss, action.Conditions.Groups))
		}
		if action.Kind == ActKill && action.Fault == 4 && len(action.Members) != 3 {
			t.Errorf("a restart kills %v, want every softswitch", action.Members)
		}
	}
	wantConditions := []string{"1s loss 0.50 cut map[]", "2s loss 0.75 cut map[0:0 1:1 2:1]", "3s loss 0.50 cut map[0:0 1:1 2:1]",
		"4s loss 0.00 cut map[0:0 1:1 2:1]"}
	if fmt.Sprint(conditions) != fmt.Sprint(wantConditions) {
		t.Errorf("weather %q, want %q", conditions, wantConditions)
	}
	wantKinds := []ActionKind{ActNetworkConditions, ActKill, ActKill, ActLaunch, ActNetworkConditions, ActServerStatus, ActNetworkConditions, ActNetworkConditions}
	if fmt.Sprint(kinds) != fmt.Sprint(wantKinds) {
		t.Errorf("acts %v, want %v", kinds, wantKinds)
	}
	for _, action := range Plan(scenario, false) {
		if action.Kind == ActServerStatus {
			t.Error("a late start told where the lab keeps it back")
		}
	}
}

// Each rule on the views is seen broken by a story, and held by its lawful twin; a death is false only where the one held
// dead was there and could be heard.
func TestTierCheckerViolations(t *testing.T) {
	view := func(share float64, states ...string) View { return View{States: states, ColdShare: share} }
	allRunning := func(int) bool { return true }
	for _, test := range []struct {
		name, want string
		deaths     int
		events     func(checker *TierChecker)
	}{
		{"agreement", "", 0, func(checker *TierChecker) {
			for observer := range 3 {
				checker.RecordView(0, observer, view(1, "alive", "draining", "alive"))
			}
			checker.CheckConvergence(ms, allRunning)
		}},
		{"one believed dead", "views disagree", 1, func(checker *TierChecker) {
			for observer := range 3 {
				checker.RecordView(0, observer, view(1, "alive", "alive", []string{"dead", "alive", "alive"}[observer]))
			}
			checker.CheckConvergence(ms, allRunning)
		}},
		{"a dead one believed there", "views disagree", 0, func(checker *TierChecker) {
			checker.RecordFault(0, 2, "kill", true)
			checker.RecordView(ms, 0, view(1, "alive", "alive", "dead"))
			checker.RecordView(ms, 1, view(1, "alive", "alive", "alive"))
			checker.CheckConvergence(2*ms, func(index int) bool { return index != 2 })
		}},
		{"bold without a majority", "too bold without a majority", 0, func(checker *TierChecker) {
			checker.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			checker.RecordView(ms, 0, view(1, "alive", "dead", "dead"))
		}},
		{"careful without a majority", "", 0, func(checker *TierChecker) {
			checker.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			checker.RecordView(ms, 0, view(1.0/3, "alive", "dead", "dead"))
		}},
		{"a death after a cut", "", 1, func(checker *TierChecker) {
			checker.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			checker.SetConditions(ms, NetworkConditions{})
			checker.RecordView(2*ms, 0, view(1, "alive", "alive", "dead")) // the cut's
			checker.RecordView(time.Minute, 1, view(1, "alive", "alive", "dead"))
		}},
	} {
		checker := NewTierChecker(3)
		test.events(checker)
		got := ""
		for _, violation := range checker.Violations() {
			got += violation.Rule
		}
		if got != test.want || len(checker.falseDeaths) != test.deaths {
			t.Errorf("%s: broken %q, want %q; false deaths %v, want %d", test.name, got, test.want, checker.falseDeaths, test.deaths)
		}
	}
}

// A trouble is followed from the first who suspects it to the last who holds the softswitch there again.
func TestTierCheckerDetectionTimes(t *testing.T) {
	checker := NewTierChecker(3)
	checker.RecordFault(10*ms, 2, "kill", true)
	for i, states := range [][2]string{{"alive", "alive"}, {"suspect", "alive"}, {"suspect", "suspect"}, {"dead", "suspect"}, {"dead", "dead"}} {
		for observer, state := range states {
			checker.RecordView(time.Duration(20+10*i)*ms, observer, View{States: []string{"alive", "alive", state}, ColdShare: 1})
		}
	}
	checker.RecordFault(100*ms, 2, "", false)
	for observer := range 2 {
		checker.RecordView(time.Duration(110+10*observer)*ms, observer, View{States: []string{"alive", "alive", "alive"}, ColdShare: 1})
	}
	detection := *checker.detections[0]
	if want := (Detection{Softswitch: "n3", Kind: "kill", At: 10 * ms, Suspected: 20 * ms, AllSuspected: 30 * ms, Dead: 40 * ms, AllDead: 50 * ms,
		Ended: 100 * ms, AllAvailable: 20 * ms, index: 2}); detection != want {
		t.Errorf("%+v, want %+v", detection, want)
	}
}

// Processes that know their tier: with three in ten datagrams lost, doubled and late, a killed one is held dead by all and
// there again once it is back, one cut off is back when the cut has healed, and all agree in the end. All three are taken
// out for work, one at a time, each once, though the one asked dies at once and one is cut off; no call is lost for it.
func TestFleetWithMembership(t *testing.T) {
	bin := buildSoftswitch(t)
	scenario := shortScenario("members",
		Fault{At: Duration{time.Second}, Kind: "loss", Probability: 0.3, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{time.Second}, Kind: "duplicate", Probability: 0.2, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{time.Second}, Kind: "reorder", Delay: Duration{30 * ms}, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{1500 * ms}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{8500 * ms}, Kind: "maintain", Target: []string{"n1", "n2", "n3"}, Via: "n2"},
		Fault{At: Duration{8900 * ms}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{time.Second}},
		Fault{At: Duration{10500 * ms}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}}, Duration: Duration{1500 * ms}})
	scenario.Duration, scenario.ConvergenceTime, scenario.SampleInterval = Duration{12500 * ms}, Duration{12 * time.Second}, Duration{100 * ms}
	scenario.MaintenanceBudget, scenario.WorkDuration, scenario.WorkMethod, scenario.ExpectMaintained = 1, Duration{100 * ms}, "release", []string{"n1", "n2", "n3"}
	scenario.Membership = map[string]any{"period": "200ms", "timeout": "80ms", "stall": "300ms",
		"maintenance": map[string]any{"enabled": true, "lease": "4s", "work": "6s", "round": "250ms"}}
	if err := scenario.Check(); err != nil {
		t.Fatal(err)
	}
	outDir := t.TempDir()
	res, err := Run(scenario, Options{Binary: bin, OutDir: outDir})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Passed || len(res.Detections) != 2 || res.Detections[0].AllDead < 0 || res.Detections[0].AllAvailable < 0 {
		t.Errorf("held %v, breaches %+v, detections %+v", res.Passed, res.Violations, *res.Detections[0])
	}
	if res.Datagrams["dropped"] == 0 || res.Datagrams["passed"] == 0 || res.MembershipCounters["heard"] == 0 || res.MembershipCounters["dropped_stranger"] != 0 {
		t.Errorf("datagrams %v, doors %v", res.Datagrams, res.MembershipCounters)
	}
	path := filepath.Join(outDir, "seconds.csv")
	if err := res.WriteTable(path); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(path); !strings.Contains(string(text), "view:n3") || !strings.Contains(string(text), "aaa") {
		t.Errorf("no views in the table:\n%s", text)
	}
	assertNoProcesses(t, outDir)
}
