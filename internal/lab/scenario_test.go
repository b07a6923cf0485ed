package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// An invalid scenario gives one line that begins with the field, and every scenario in lab/scenarios is valid.
// Set-ups are distributed by the shares.
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
		t.Errorf("%d scenarios in lab/scenarios, want at least 40", len(shipped))
	}
	accumulatedShares, got := make([]float64, 3), [3]int{}
	for range 120 {
		got[nextByShare(accumulatedShares, []float64{10, 1, 1})]++
	}
	if got != [3]int{100, 10, 10} {
		t.Errorf("120 set-ups by shares of 10, 1 and 1 are distributed as %v", got)
	}
}

// Faults drawn at random are valid for every kind that can be drawn, the same for the same seed, and others for another
// seed.
func TestRandomFaults(t *testing.T) {
	draw := func(seed uint64) []Fault {
		scenario := shortScenario("random")
		scenario.Seed = seed
		for _, kind := range randomFaultKinds {
			scenario.RandomFaults = append(scenario.RandomFaults,
				RandomFault{Kind: kind, Count: 5, To: Duration{3 * time.Second}, Duration: Duration{time.Second},
					Probability: 0.2, Delay: Duration{10 * ms}, Factor: 3})
		}
		if err := scenario.Check(); err != nil {
			t.Fatal(err)
		}
		return scenario.Faults
	}
	faults, repeated, other := draw(1), draw(1), draw(2)
	if fmt.Sprint(faults) != fmt.Sprint(repeated) || fmt.Sprint(faults) == fmt.Sprint(other) ||
		len(faults) != 5*len(randomFaultKinds) {
		t.Errorf("%d faults; same seed draws the same faults: %t", len(faults), fmt.Sprint(faults) == fmt.Sprint(repeated))
	}
	for _, fault := range faults {
		if fault.Kind == "partition" && (len(fault.Groups[0]) == 0 || len(fault.Groups[1]) == 0) {
			t.Errorf("a partition with an empty group: %v", fault.Groups)
		}
	}
}
