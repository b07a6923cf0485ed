package lab

import (
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

// buildSoftswitch builds the softswitch program for tests that start its processes.
func buildSoftswitch(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "elmseam")
	if out, err := exec.Command("go", "build", "-o", binary, "elmseam/cmd/elmseam").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// shortScenario returns a scenario of 4 s with three softswitches and two servers.
func shortScenario(name string, faults ...Fault) *Scenario {
	return &Scenario{Name: name, Duration: Duration{4 * time.Second}, Seed: 1, Softswitches: 3, PeersEnabled: true,
		GiveUp:  Duration{time.Second},
		Servers: []Server{{Name: "s1", Capacity: 400}, {Name: "s2", Capacity: 400}},
		Load:    []LoadStep{{Rate: 120}}, Faults: faults}
}

// A fleet whose members are killed, paused and partitioned keeps every rule. The lab excuses the set-ups that the
// faults cost, retries when another program takes a port, and leaves no process behind. The lab's counts are not compared
// with the softswitches' own, because softswitches restart.
func TestTierUnderFaults(t *testing.T) {
	binary := buildSoftswitch(t)
	scenario := shortScenario("faults",
		Fault{At: Duration{time.Second}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{time.Second}},
		Fault{At: Duration{time.Second}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}},
			Duration: Duration{2 * time.Second}},
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
	run := newRunner(scenario, Options{Binary: binary, OutDir: outDir}, rules, DefaultSettings)
	// Another program takes the first port chosen for n1 before n1 listens there; n1 gets new ports.
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
		t.Fatalf("passed %v, violations %+v; served %d of %d; starts %v", res.Passed, res.Violations, res.Served,
			res.Offered, res.Starts)
	}
	if err := res.WriteTable(filepath.Join(outDir, "seconds.csv")); err != nil {
		t.Fatal(err)
	}
	assertNoProcesses(t, outDir)
}

// assertNoProcesses fails if a softswitch that the lab started is still running, and kills it.
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

// The checker reports the violations of a fleet that the lab misleads on purpose: drains that the command channel
// does not publish, and servers that are weaker and colder than the command channel says.
func TestTierWithSelfTestFaults(t *testing.T) {
	binary := buildSoftswitch(t)
	for _, test := range []struct {
		fault, wantRule string
		scenario        *Scenario
	}{
		{"unheard drains", "new attempt at a retired server",
			shortScenario("unheard", Fault{At: Duration{time.Second}, Kind: "drain", Server: "s1"},
				Fault{At: Duration{time.Second}, Kind: "drain", Server: "s2"})},
		{"weak cold servers", "cold server pushed over", func() *Scenario {
			scenario := shortScenario("untold")
			scenario.Servers = []Server{{Name: "s1", Capacity: 100, StartAt: Duration{time.Second}}}
			scenario.Load = []LoadStep{{Rate: 300}}
			return scenario
		}()},
	} {
		if err := test.scenario.Check(); err != nil {
			t.Fatal(err)
		}
		res, err := Run(test.scenario, Options{Binary: binary, OutDir: t.TempDir(), SelfTestFault: test.fault})
		if err != nil {
			t.Fatal(err)
		}
		found := false
		for _, violation := range res.Violations {
			found = found || violation.Rule == test.wantRule
		}
		if res.Passed || !found {
			t.Errorf("%s: violations %+v, want %q; seconds %+v", test.fault, res.Violations, test.wantRule, res.seconds)
		}
	}
}

// Membership with datagrams lost (30%), duplicated and reordered, then maintenance: all members see a killed member
// dead and then available again, a partitioned member is available again after the partition, and all views agree in the
// end. All three members are maintained, one at a time, each once, although the member that received the requests is killed
// shortly afterwards and another member is partitioned; no call is lost because of the maintenance.
func TestTierWithMembership(t *testing.T) {
	binary := buildSoftswitch(t)
	scenario := shortScenario("members",
		Fault{At: Duration{time.Second}, Kind: "loss", Probability: 0.3, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{time.Second}, Kind: "duplicate", Probability: 0.2, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{time.Second}, Kind: "reorder", Delay: Duration{30 * ms}, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{1500 * ms}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{6 * time.Second}},
		Fault{At: Duration{8500 * ms}, Kind: "maintain", Target: []string{"n1", "n2", "n3"}, Via: "n2"},
		Fault{At: Duration{8900 * ms}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{time.Second}},
		Fault{At: Duration{10500 * ms}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}},
			Duration: Duration{1500 * ms}})
	scenario.Duration, scenario.ConvergenceTime, scenario.SampleInterval = Duration{12500 * ms},
		Duration{12 * time.Second}, Duration{100 * ms}
	scenario.MaintenanceBudget, scenario.WorkDuration, scenario.WorkMethod, scenario.ExpectMaintained = 1,
		Duration{100 * ms}, "release", []string{"n1", "n2", "n3"}
	scenario.Membership = map[string]any{"period": "200ms", "timeout": "80ms", "stall": "300ms",
		"maintenance": map[string]any{"enabled": true, "lease": "4s", "work": "6s", "round": "250ms"}}
	if err := scenario.Check(); err != nil {
		t.Fatal(err)
	}
	outDir := t.TempDir()
	res, err := Run(scenario, Options{Binary: binary, OutDir: outDir})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Passed || len(res.Detections) != 2 || res.Detections[0].AllDead < 0 || res.Detections[0].AllAvailable < 0 {
		t.Errorf("passed %v, violations %+v, detections %+v", res.Passed, res.Violations, *res.Detections[0])
	}
	if res.Datagrams["dropped"] == 0 || res.Datagrams["passed"] == 0 || res.MembershipCounters["heard"] == 0 ||
		res.MembershipCounters["dropped_stranger"] != 0 {
		t.Errorf("datagrams %v, membership counters %v", res.Datagrams, res.MembershipCounters)
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
