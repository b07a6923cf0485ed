package main

import (
	"os"
	"path/filepath"
	"testing"
)

// The exit code tells what came of it: scripts and CI go by it alone.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	small := []string{"check", "--servers=1", "--calls=1", "--attempts=2", "--faults=1"}
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"complete":     {small, exitPassed},
		"incomplete":   {append(small[:len(small):len(small)], "--depth=2", "--walks=3"), exitIncomplete},
		"no command":   {nil, exitUsage},
		"no flag":      {[]string{"check", "--servants=1"}, exitUsage},
		"too many":     {[]string{"check", "--servers=99"}, exitUsage},
		"an argument":  {[]string{"check", "all"}, exitUsage},
		"no file":      {[]string{"check", "replay", filepath.Join(dir, "none")}, exitUsage},
		"no trace":     {[]string{"check", "replay", file("text", "nothing\n")}, exitUsage},
		"help":         {[]string{"check", "--help"}, exitPassed},
		"bad scenario": {[]string{"lab", "run", file("s.toml", "name = \"x\"\nduration = \"5s\"\nsoftswitches = 0\n")}, labBad},
		"no program": {[]string{"lab", "run", "--binary", filepath.Join(dir, "none"), "--out", dir, file("t.toml",
			"name = \"x\"\nduration = \"1s\"\nsoftswitches = 1\n[[server]]\nname = \"s\"\ncapacity = 10\n[[load]]\nrate = 1\n")}, labFailed},
	} {
		if got := run(c.args); got != c.want {
			t.Errorf("%s: exit code %d, want %d", name, got, c.want)
		}
	}
}
