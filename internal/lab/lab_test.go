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

func rules(j *Checker) []string {
	var out []string
	for _, b := range j.Violations() {
		out = append(out, b.Rule)
	}
	return out
}

// Each invariant is seen broken by a story that breaks it, and held by its twin that doesn't.
func TestJudgeCatchesEachRule(t *testing.T) {
	for _, c := range []struct {
		name, want string
		story      func(j *Checker)
	}{
		{"two answers", "two final answers", func(j *Checker) {
			j.RecordSetUp(0, 1, 0, 1500*ms)
			j.RecordFinalAnswer(10*ms, 1, true)
			j.RecordFinalAnswer(20*ms, 1, false)
		}},
		{"none before give-up", "no final answer before give-up", func(j *Checker) {
			j.RecordSetUp(0, 1, 0, 1500*ms)
			j.RecordUnanswered(1500*ms, 1, false)
		}},
		{"none at the end", "no final answer before give-up", func(j *Checker) {
			j.RecordSetUp(0, 1, 0, 1500*ms)
			j.CheckOpen(2 * time.Second)
		}},
		{"lost with its connection", "set-up lost", func(j *Checker) {
			j.RecordSetUp(0, 1, 0, 1500*ms)
			j.RecordUnanswered(100*ms, 1, false)
		}},
		{"two out", "two attempts out", func(j *Checker) {
			j.RecordAttempt(0, "a", 1)
			j.RecordAttempt(5*ms, "b", 1)
		}},
		{"five attempts", "too many attempts", func(j *Checker) {
			for i := range 5 {
				at := time.Duration(i) * 10 * ms
				j.RecordAttempt(at, "a", 1)
				j.RecordAttemptEnd(at+ms, "a", 1, Refused)
			}
		}},
		{"again too soon", "release gap", func(j *Checker) {
			j.RecordAttempt(0, "a", 1)
			j.RecordAttemptEnd(10*ms, "a", 1, ConnectionReset)
			j.RecordAttempt(100*ms, "b", 1)
		}},
		{"to a drained server", "new attempt at a retired server", func(j *Checker) {
			j.Retire("a", 0)
			j.RecordAttempt(400*ms, "a", 1)
		}},
		{"a cold server flooded", "cold server pushed over", func(j *Checker) {
			j.AddServer("c", 100, 0) // 30 a second at first: a budget of 75 in a second
			for i := range 90 {
				j.RecordAttempt(time.Duration(i)*10*ms, "c", uint64(i+10))
			}
		}},
	} {
		j := NewChecker(testRules)
		j.AddServer("a", 100, -1)
		j.AddServer("b", 100, -1)
		c.story(j)
		if got := rules(j); len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: broken %v, want %q", c.name, got, c.want)
		}
	}
}

func TestJudgeHoldsTheLawful(t *testing.T) {
	j := NewChecker(testRules)
	j.AddServer("a", 100, -1)
	j.AddServer("c", 100, 0)
	j.RecordSetUp(0, 1, 0, 1500*ms)
	j.RecordAttempt(0, "a", 1)
	j.RecordAttemptEnd(10*ms, "a", 1, ConnectionReset)
	j.RecordAttempt(260*ms, "a", 1) // after the gap
	j.RecordAttemptEnd(270*ms, "a", 1, Answered)
	j.RecordFinalAnswer(271*ms, 1, true)
	j.RecordSetUp(0, 2, 0, 1500*ms)
	j.RecordUnanswered(300*ms, 2, true) // excused: a fault of the lab's stood in its way
	j.Retire("a", 300*ms)
	j.RecordAttempt(590*ms, "a", 3) // within the grace and its slack
	for i := range 70 {             // within the cold budget, with the slack for chance
		j.RecordAttempt(time.Duration(i)*10*ms, "c", uint64(i+10))
	}
	j.CheckOpen(3 * time.Second)
	if got := rules(j); len(got) > 0 {
		t.Fatalf("broken %v", got)
	}
	if s := j.PerSecond()[0]; s.Offered != 2 || s.Served != 1 || s.Excused != 1 || s.Arrivals["c"] != 70 {
		t.Fatalf("second 0: %+v", s)
	}
}

// Where the lab lagged, a lateness is its own, not the fleet's.
func TestJudgeBlindWhereTheLabLagged(t *testing.T) {
	j := NewChecker(testRules)
	j.RecordSetUp(0, 1, 0, 1500*ms)
	j.RecordLag(1400*ms, 1600*ms)
	j.RecordUnanswered(1500*ms, 1, false)
	if got := rules(j); len(got) > 0 {
		t.Fatalf("broken %v", got)
	}
}

func TestWeather(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	w := NetworkConditions{Groups: map[int]int{0: 0, 1: 0, 2: 1}, OneWay: true}
	if !w.Deliver(0, 2, r).Drop || w.Deliver(2, 0, r).Drop || w.Deliver(0, 1, r).Drop {
		t.Fatal("a one-way cut drops only from the first group to the others")
	}
	w.OneWay = false
	if !w.Deliver(2, 0, r).Drop {
		t.Fatal("a cut both ways drops back too")
	}
	w = NetworkConditions{Loss: 0.3, Duplicate: 0.5, Reorder: 10 * ms}
	lost, doubled := 0, 0
	for range 10000 {
		f := w.Deliver(0, 1, r)
		if f.Drop {
			lost++
		} else if len(f.Delays) == 2 {
			doubled++
		}
	}
	if lost < 2800 || lost > 3200 || doubled < 3300 || doubled > 3700 {
		t.Fatalf("lost %d, doubled %d of 10000", lost, doubled)
	}
}

func TestScenarioChecks(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct{ text, field string }{
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 2\n[[server]]\nname = \"s\"\ncapacity = 10\n[[load]]\nrate = 1\n" +
			"[[fault]]\nkind = \"kill\"\ntarget = [\"n3\"]\n", "fault[0].target"},
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 2\nwho = 1\n", "who"},
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 99\n", "softswitches"},
		{"name = \"x\"\nduration = \"5s\"\nsoftswitches = 2\n[[server]]\nname = \"s\"\ncapacity = 10\n[[load]]\nrate = 1\n" +
			"[[fault]]\nkind = \"flood\"\n", "fault[0].kind"},
	} {
		path := filepath.Join(dir, "s.toml")
		os.WriteFile(path, []byte(c.text), 0o600)
		_, err := ReadScenario(path)
		if err == nil || !strings.HasPrefix(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line naming %s", c.text, err, c.field)
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
		got[whose(credit, []float64{10, 1, 1})]++
	}
	if got != [3]int{100, 10, 10} {
		t.Errorf("of 120 set-ups by shares of 10, 1 and 1 go %v", got)
	}
}

// One that came back is compared with its peers by the second in which each set-up was sent, from its first call after it
// was started again; what came to it before is not its return.
func TestReturn(t *testing.T) {
	j := NewChecker(Rules{Slack: 50 * ms})
	id := uint64(0)
	call := func(at time.Duration, to int, served bool) {
		id++
		j.RecordSetUp(at, id, to, at+1500*ms)
		j.RecordFinalAnswer(at+1100*ms, id, served)
	}
	call(1000*ms, 1, false)
	for i, served := range []bool{true, true, false, true} {
		call(5000*ms+time.Duration(i)*100*ms, 1, served)
		call(5050*ms+time.Duration(i)*100*ms, 2, i < 1)
	}
	call(6500*ms, 2, true)
	r := j.Recovery(1, 4000*ms, 3)
	if r == nil || r.First != 5000*ms || r.Share[0] != 0.75 || r.Peers[0] != 0.25 || r.Share[1] != -1 || r.Peers[1] != 1 || r.Peers[2] != -1 {
		t.Errorf("%+v", r)
	}
	if j.Recovery(1, 6000*ms, 3) != nil {
		t.Error("a return without a call")
	}
}

// Faults of every kind that can be drawn make sense when they are, and are the same for the same seed.
func TestRandomFaults(t *testing.T) {
	draw := func(seed uint64) []Fault {
		s := short("random")
		s.Seed = seed
		for _, kind := range drawn {
			s.RandomFaults = append(s.RandomFaults, RandomFault{Kind: kind, Count: 5, To: Duration{3 * time.Second}, Duration: Duration{time.Second},
				Probability: 0.2, Delay: Duration{10 * ms}, Factor: 3})
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		return s.Faults
	}
	a, again, other := draw(1), draw(1), draw(2)
	if fmt.Sprint(a) != fmt.Sprint(again) || fmt.Sprint(a) == fmt.Sprint(other) || len(a) != 5*len(drawn) {
		t.Errorf("%d faults; the same seed draws the same: %t", len(a), fmt.Sprint(a) == fmt.Sprint(again))
	}
	for _, f := range a {
		if f.Kind == "partition" && (len(f.Groups[0]) == 0 || len(f.Groups[1]) == 0) {
			t.Errorf("a partition with one side: %v", f.Groups)
		}
	}
}

// program builds the softswitch once for the stories that start processes of it.
func program(t *testing.T) string {
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

func short(name string, faults ...Fault) *Scenario {
	return &Scenario{Name: name, Duration: Duration{4 * time.Second}, Seed: 1, Softswitches: 3, PeersEnabled: true,
		GiveUp:  Duration{time.Second},
		Servers: []Server{{Name: "s1", Capacity: 400}, {Name: "s2", Capacity: 400}},
		Load:    []LoadStep{{Rate: 120}}, Faults: faults}
}

// A fleet that the lab kills, pauses and cuts apart keeps every rule; the lab accounts for what the faults cost,
// agrees with the doors, gets past a port taken under it, and leaves no process behind.
func TestFleetUnderFaults(t *testing.T) {
	bin := program(t)
	s := short("faults",
		Fault{At: Duration{time.Second}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{time.Second}},
		Fault{At: Duration{time.Second}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}}, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{1500 * ms}, Kind: "pause", Target: []string{"n3"}, Duration: Duration{1500 * ms}},
		Fault{At: Duration{2 * time.Second}, Kind: "reset", Target: []string{"n1"}, Server: "s1"})
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	out := t.TempDir()
	rules, err := rulesOf([]byte(DefaultSettings))
	if err != nil {
		t.Fatal(err)
	}
	r := newRunner(s, Options{Binary: bin, OutDir: out}, rules, DefaultSettings)
	// The first port handed to n1 is taken by another program before n1 listens there: it gets new ones.
	taken, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	first := true
	r.pick = func(network, host string) (string, error) {
		if first && network == "tcp" {
			first = false
			return taken.Addr().String(), nil
		}
		return freePort(network, host)
	}
	res, err := r.run()
	if err != nil {
		t.Fatal(err)
	}
	if !res.Passed || res.Served < res.Offered/2 || res.Starts["n2"] != 2 || res.Starts["n1"] != 2 {
		t.Fatalf("held %v, breaches %+v; served %d of %d; starts %v", res.Passed, res.Violations, res.Served, res.Offered, res.Starts)
	}
	if err := res.WriteTable(filepath.Join(out, "seconds.csv")); err != nil {
		t.Fatal(err)
	}
	noneLeft(t, out)
}

// noneLeft fails where a softswitch that the lab started is still there.
func noneLeft(t *testing.T, out string) {
	t.Helper()
	entries, _ := os.ReadDir("/proc")
	for _, e := range entries {
		env, err := os.ReadFile(filepath.Join("/proc", e.Name(), "environ"))
		if pid, _ := strconv.Atoi(e.Name()); err == nil && strings.Contains(string(env), "ROUTER_CONFIG="+out) {
			syscall.Kill(pid, syscall.SIGKILL)
			t.Errorf("process %d outlived the lab", pid)
		}
	}
}

// The judge catches a fleet that its world misled: drains that the channel kept back, and servers weaker and colder
// than the channel said. Both are the lab's faults on purpose; what is seen is that the judge sees them.
func TestFleetMisled(t *testing.T) {
	bin := program(t)
	for _, c := range []struct {
		how, want string
		s         *Scenario
	}{
		{"unheard drains", "new attempt at a retired server",
			short("unheard", Fault{At: Duration{time.Second}, Kind: "drain", Server: "s1"}, Fault{At: Duration{time.Second}, Kind: "drain", Server: "s2"})},
		{"weak cold servers", "cold server pushed over", func() *Scenario {
			s := short("untold")
			s.Servers = []Server{{Name: "s1", Capacity: 100, StartAt: Duration{time.Second}}}
			s.Load = []LoadStep{{Rate: 300}}
			return s
		}()},
	} {
		if err := c.s.Check(); err != nil {
			t.Fatal(err)
		}
		res, err := Run(c.s, Options{Binary: bin, OutDir: t.TempDir(), SelfTestFault: c.how})
		if err != nil {
			t.Fatal(err)
		}
		found := false
		for _, b := range res.Violations {
			found = found || b.Rule == c.want
		}
		if res.Passed || !found {
			t.Errorf("%s: breaches %+v, want %q; seconds %+v", c.how, res.Violations, c.want, res.seconds)
		}
	}
}

// The plan overlaps the network's faults: the weather at each moment is all of them that stand then.
func TestPlanOverlapsTheWeather(t *testing.T) {
	s := short("plan",
		Fault{At: Duration{time.Second}, Kind: "loss", Probability: 0.5, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{2 * time.Second}, Kind: "loss", Probability: 0.5, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{2 * time.Second}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}}, OneWay: true},
		Fault{At: Duration{time.Second}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{500 * ms}},
		Fault{At: Duration{time.Second}, Kind: "restart"})
	s.Servers = append(s.Servers, Server{Name: "late", Capacity: 10, StartAt: Duration{3 * time.Second}})
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	var weather []string
	var acts []ActionKind
	for _, a := range Plan(s, true) {
		acts = append(acts, a.Kind)
		if a.Kind == ActNetworkConditions {
			weather = append(weather, fmt.Sprintf("%v loss %.2f cut %v", a.At, a.Conditions.Loss, a.Conditions.Groups))
		}
		if a.Kind == ActKill && a.Fault == 4 && len(a.Members) != 3 {
			t.Errorf("a restart kills %v, want every softswitch", a.Members)
		}
	}
	want := []string{"1s loss 0.50 cut map[]", "2s loss 0.75 cut map[0:0 1:1 2:1]", "3s loss 0.50 cut map[0:0 1:1 2:1]",
		"4s loss 0.00 cut map[0:0 1:1 2:1]"}
	if fmt.Sprint(weather) != fmt.Sprint(want) {
		t.Errorf("weather %q, want %q", weather, want)
	}
	wantActs := []ActionKind{ActNetworkConditions, ActKill, ActKill, ActLaunch, ActNetworkConditions, ActServerStatus, ActNetworkConditions, ActNetworkConditions}
	if fmt.Sprint(acts) != fmt.Sprint(wantActs) {
		t.Errorf("acts %v, want %v", acts, wantActs)
	}
	for _, a := range Plan(s, false) {
		if a.Kind == ActServerStatus {
			t.Error("a late start told where the lab keeps it back")
		}
	}
}

// Each rule on the views is seen broken by a story, and held by its lawful twin; a death is false only where the one held
// dead was there and could be heard.
func TestWatcher(t *testing.T) {
	view := func(share float64, states ...string) View { return View{States: states, ColdShare: share} }
	all := func(int) bool { return true }
	for _, c := range []struct {
		name, want string
		deaths     int
		story      func(w *TierChecker)
	}{
		{"agreement", "", 0, func(w *TierChecker) {
			for o := range 3 {
				w.RecordView(0, o, view(1, "alive", "draining", "alive"))
			}
			w.CheckConvergence(ms, all)
		}},
		{"one believed dead", "views disagree", 1, func(w *TierChecker) {
			for o := range 3 {
				w.RecordView(0, o, view(1, "alive", "alive", []string{"dead", "alive", "alive"}[o]))
			}
			w.CheckConvergence(ms, all)
		}},
		{"a dead one believed there", "views disagree", 0, func(w *TierChecker) {
			w.RecordFault(0, 2, "kill", true)
			w.RecordView(ms, 0, view(1, "alive", "alive", "dead"))
			w.RecordView(ms, 1, view(1, "alive", "alive", "alive"))
			w.CheckConvergence(2*ms, func(p int) bool { return p != 2 })
		}},
		{"bold without a majority", "too bold without a majority", 0, func(w *TierChecker) {
			w.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			w.RecordView(ms, 0, view(1, "alive", "dead", "dead"))
		}},
		{"careful without a majority", "", 0, func(w *TierChecker) {
			w.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			w.RecordView(ms, 0, view(1.0/3, "alive", "dead", "dead"))
		}},
		{"a death after a cut", "", 1, func(w *TierChecker) {
			w.SetConditions(0, NetworkConditions{Groups: map[int]int{0: 0, 1: 1, 2: 1}})
			w.SetConditions(ms, NetworkConditions{})
			w.RecordView(2*ms, 0, view(1, "alive", "alive", "dead")) // the cut's
			w.RecordView(time.Minute, 1, view(1, "alive", "alive", "dead"))
		}},
	} {
		w := NewTierChecker(3)
		c.story(w)
		got := ""
		for _, b := range w.Violations() {
			got += b.Rule
		}
		if got != c.want || len(w.deaths) != c.deaths {
			t.Errorf("%s: broken %q, want %q; false deaths %v, want %d", c.name, got, c.want, w.deaths, c.deaths)
		}
	}
}

// A trouble is followed from the first who suspects it to the last who holds the softswitch there again.
func TestWatcherFollowsADeath(t *testing.T) {
	w := NewTierChecker(3)
	w.RecordFault(10*ms, 2, "kill", true)
	for i, states := range [][2]string{{"alive", "alive"}, {"suspect", "alive"}, {"suspect", "suspect"}, {"dead", "suspect"}, {"dead", "dead"}} {
		for o, s := range states {
			w.RecordView(time.Duration(20+10*i)*ms, o, View{States: []string{"alive", "alive", s}, ColdShare: 1})
		}
	}
	w.RecordFault(100*ms, 2, "", false)
	for o := range 2 {
		w.RecordView(time.Duration(110+10*o)*ms, o, View{States: []string{"alive", "alive", "alive"}, ColdShare: 1})
	}
	d := *w.detections[0]
	if want := (Detection{Softswitch: "n3", Kind: "kill", At: 10 * ms, Suspected: 20 * ms, AllSuspected: 30 * ms, Dead: 40 * ms, AllDead: 50 * ms,
		Ended: 100 * ms, AllAvailable: 20 * ms, place: 2}); d != want {
		t.Errorf("%+v, want %+v", d, want)
	}
}

// Processes that know their tier: with three in ten datagrams lost, doubled and late, a killed one is held dead by all and
// there again once it is back, one cut off is back when the cut has healed, and all agree in the end. All three are taken
// out for work, one at a time, each once, though the one asked dies at once and one is cut off; no call is lost for it.
func TestFleetThatKnowsItself(t *testing.T) {
	bin := program(t)
	s := short("members",
		Fault{At: Duration{time.Second}, Kind: "loss", Probability: 0.3, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{time.Second}, Kind: "duplicate", Probability: 0.2, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{time.Second}, Kind: "reorder", Delay: Duration{30 * ms}, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{1500 * ms}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{8500 * ms}, Kind: "maintain", Target: []string{"n1", "n2", "n3"}, Via: "n2"},
		Fault{At: Duration{8900 * ms}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{time.Second}},
		Fault{At: Duration{10500 * ms}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}}, Duration: Duration{1500 * ms}})
	s.Duration, s.ConvergenceTime, s.SampleInterval = Duration{12500 * ms}, Duration{12 * time.Second}, Duration{100 * ms}
	s.MaintenanceBudget, s.WorkDuration, s.WorkMethod, s.ExpectMaintained = 1, Duration{100 * ms}, "release", []string{"n1", "n2", "n3"}
	s.Membership = map[string]any{"period": "200ms", "timeout": "80ms", "stall": "300ms",
		"maintenance": map[string]any{"enabled": true, "lease": "4s", "work": "6s", "round": "250ms"}}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	out := t.TempDir()
	res, err := Run(s, Options{Binary: bin, OutDir: out})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Passed || len(res.Detections) != 2 || res.Detections[0].AllDead < 0 || res.Detections[0].AllAvailable < 0 {
		t.Errorf("held %v, breaches %+v, detections %+v", res.Passed, res.Violations, *res.Detections[0])
	}
	if res.Datagrams["dropped"] == 0 || res.Datagrams["passed"] == 0 || res.MembershipCounters["heard"] == 0 || res.MembershipCounters["dropped_stranger"] != 0 {
		t.Errorf("datagrams %v, doors %v", res.Datagrams, res.MembershipCounters)
	}
	path := filepath.Join(out, "seconds.csv")
	if err := res.WriteTable(path); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(path); !strings.Contains(string(text), "view:n3") || !strings.Contains(string(text), "aaa") {
		t.Errorf("no views in the table:\n%s", text)
	}
	noneLeft(t, out)
}
