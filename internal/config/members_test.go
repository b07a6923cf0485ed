package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestIncompleteMembersFileApplied guards against a members file that is applied at SIGHUP although it lacks a key of the running one: without
// maintenance.budget, the budget became the default.
func TestIncompleteMembersFileApplied(t *testing.T) {
	const text = "enabled = true\nhealth = 8\n[maintenance]\nenabled = true\nbudget = 3\nlease = \"6s\"\n[parts]\nenabled = false\n"
	path := filepath.Join(t.TempDir(), "members.toml")
	reload := func(newText string) (MembersFile, error) {
		running, err := ParseMembers(text)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(path, []byte(newText), 0o600)
		return ReloadMembers(path, false, running)
	}
	for key, line := range map[string]string{"health": "health = 8\n", "maintenance.budget": "budget = 3\n", "maintenance.lease": "lease = \"6s\"\n",
		"parts": "[parts]\nenabled = false\n", "enabled": text} {
		if _, err := reload(strings.Replace(text, line, "", 1)); err == nil || err.Error() != path+": "+key+": missing" {
			t.Errorf("without %s: %v", key, err)
		}
	}
	if file, err := reload(strings.Replace(text, "budget = 3", "budget = 2\nwork = \"1m\"", 1)); err != nil || file.MaintenanceBudget(8) != 2 {
		t.Errorf("a complete file: budget %d, %v", file.MaintenanceBudget(8), err)
	}
	running, _ := reload(text)
	os.Remove(path)
	if _, err := ReloadMembers(path, false, running); err == nil {
		t.Error("a file that does not exist any more is applied")
	}
}
