package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"elmseam/internal/membership"
	"elmseam/internal/mgmt"
	"elmseam/internal/swarm"
)

// The command "members" prints a line for each member of the tier, and its exit code shows whether the softswitch sees
// a majority.
func TestMembersCommand(t *testing.T) {
	age := int64(200)
	view := mgmt.TierStatus{Self: 0, Majority: true, ColdQuotaFraction: 1, Members: []mgmt.MemberStatus{{Index: 0, State: "alive", Incarnation: 7},
		{Index: 1, Address: "127.0.0.2:7946", State: "suspect", LastDatagramAgeMS: &age}, {Index: 2, State: "unknown"}}}
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(view)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	got, err := fetchTierStatus(address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	printTier(&text, got)
	for _, want := range []string{"itself", "127.0.0.2:7946  suspect", "200ms ago", "never", "sees a majority"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, &text)
		}
	}
	for want, modify := range map[int]func(){exitPassed: func() {}, exitViolation: func() { view.Majority = false },
		exitUsage: func() { status = http.StatusNotFound }} {
		view.Majority, status = true, http.StatusOK
		modify()
		if got := run([]string{"members", address}); got != want {
			t.Errorf("exit code %d, want %d", got, want)
		}
	}
}

// The command "servers" prints the members' reports of each server and the holders of each quota. Its exit code shows
// whether a server is considered failing.
func TestServersCommand(t *testing.T) {
	age := int64(300)
	view := mgmt.ServersStatus{Self: 1, AnyCold: true, Servers: []mgmt.ServerStatus{{Name: "hlr-1", State: "ready",
		Reports: []mgmt.MemberReport{{Index: 0, HoldBackAgeMS: &age, Rate: 12.5, MinSetUpTimeUS: 8800, AgeMS: 700}, {Index: 1, Draining: true}}}},
		Quotas: []mgmt.Quota{{Index: 0, Usable: 3, Holders: []int{-1, 0, 0, 1, 1, 1, 0, -1}}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(view) }))
	defer server.Close()
	var text strings.Builder
	printServers(&text, view)
	for _, want := range []string{"hlr-1", "700ms", "300ms ago", "8.8ms", "1 (itself)", "none", "3 of 8", "own 0 0 1 1 1 0 -"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, &text)
		}
	}
	for want, modify := range map[int]func(s *mgmt.ServerStatus){exitPassed: func(*mgmt.ServerStatus) {},
		exitViolation: func(s *mgmt.ServerStatus) { s.FailingShare = 0.9 }} {
		view.Servers[0].FailingShare = 0
		modify(&view.Servers[0])
		if got := run([]string{"servers", strings.TrimPrefix(server.URL, "http://")}); got != want {
			t.Errorf("exit code %d, want %d", got, want)
		}
	}
}

// Scripts and CI use only the exit code, so each kind of result has to have its own.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	smallCheck := []string{"check", "--servers=1", "--calls=1", "--attempts=2", "--faults=1"}
	for name, tc := range map[string]struct {
		args []string
		want int
	}{
		"complete":     {smallCheck, exitPassed},
		"incomplete":   {append(smallCheck[:len(smallCheck):len(smallCheck)], "--depth=2", "--walks=3"), exitIncomplete},
		"no command":   {nil, exitUsage},
		"no flag":      {[]string{"check", "--servants=1"}, exitUsage},
		"too many":     {[]string{"check", "--servers=99"}, exitUsage},
		"an argument":  {[]string{"check", "all"}, exitUsage},
		"no file":      {[]string{"check", "replay", filepath.Join(dir, "none")}, exitUsage},
		"no trace":     {[]string{"check", "replay", file("text", "nothing\n")}, exitUsage},
		"help":         {[]string{"check", "--help"}, exitPassed},
		"bad scenario": {[]string{"lab", "run", file("s.toml", "name = \"x\"\nduration = \"5s\"\nsoftswitches = 0\n")}, labExitInvalid},
		"bad seeds":    {[]string{"lab", "soak", "--seeds", "7-3"}, labExitInvalid},
		"no plan":      {[]string{"lab", "soak", "--plan", "none.toml"}, labExitInvalid},
		"same seeds":   {[]string{"lab", "soak", "--seeds", "7,7"}, labExitInvalid},
		"no program": {[]string{"lab", "run", "--binary", filepath.Join(dir, "none"), "--out", dir, file("t.toml",
			"name = \"x\"\nduration = \"1s\"\nsoftswitches = 1\n[[server]]\nname = \"s\"\ncapacity = 10\n[[load]]\nrate = 1\n")}, labExitFailed},
	} {
		if got := run(tc.args); got != tc.want {
			t.Errorf("%s: exit code %d, want %d", name, got, tc.want)
		}
	}
}

// Each run of an experiment has a different seed; with equal seeds the median would be that of a single run.
func TestRunsUseDifferentSeeds(t *testing.T) {
	results, err := runExperiments(swarm.Experiment{Members: 5, Limits: membership.Defaults(), WarmUp: 5 * time.Second,
		MeasureDuration: time.Second, Kill: true}, 4)
	if err != nil {
		t.Fatal(err)
	}
	if results[0] == results[1] && results[1] == results[2] && results[2] == results[3] {
		t.Errorf("four runs with the same outcome: %+v", results[0])
	}
}
