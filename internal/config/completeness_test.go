package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// runningConfig is a configuration with every kind of part: keys at every depth, also such that the program does not read, and lists of
// objects, names, numbers and lists.
const runningConfig = `{"name":"n1","listen":"127.0.0.1:0","mgmt":"127.0.0.1:0","seed":"9d41c07a5be2f318","channel":"127.0.0.1:1",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":384},"peer_listen":"127.0.0.1:2","peers":["127.0.0.1:2","127.0.0.1:3"],
 "known":{"cursor":2,"cmds":[{"cursor":1,"nodes":{"index":0,"snapshot":true,"endpoints":[
  {"name":"s1","address":"127.0.0.1:4","zone":"a","type":"std","group":0,"status":"in_service","weight":4,"since_ms":0},
  {"name":"s2","address":"127.0.0.1:5","zone":"b","type":"std","group":1,"status":"in_service","weight":4,"since_ms":0}]}},
  {"cursor":2,"nodes":{"index":1,"snapshot":false,"endpoints":[
  {"name":"s3","address":"127.0.0.1:6","zone":"a","type":"std","group":1,"status":"in_service","weight":4,"since_ms":1796391551608}]}}]},
 "settings":{"clients":{"marks-retry":false},"discovery":"push","family":"trunks",
  "request-classes":[
   {"name":"check","effect":"free","gain":1,"group":"all","hard-limit-us":3000000,"late-worth":0.25,"objective-us":300000,"aim-stretch":1.5},
   {"name":"activate","effect":"guarded","gain":3,"group":"all","hard-limit-us":3000000,"late-worth":0.25,"objective-us":380000,"aim-stretch":1.5}],
  "family-info":{"class-cells":[[0,1],[0]],"class-hold-us":[1000000,1200000],"widths":[1,2],"far-reports":"inline","own-number":-1,
   "release-guard-us":100000,"retransmit-us":125000,"route-advice":false,"says-wait":false,"topology":"groups"},
  "goal":{"whole":0.6,"worst-class":0.4},"layer":0,"localities":["a","b"],"me":0,"peers-total":2,"zone":1,
  "limits":{"cancel":true,"connect-timeout-us":500000,"keepalive-us":600000000,"max-attempts":2,"max-open":20000,
   "max-retry-after-us":2000000,"peer-messages":true,"probes":false,"retry-after":true,"second-copies":false},
  "load-report":{"columns":["spare","total","cut_by"],"via":"inline"},
  "obligations":{"ask-within-us":10000000,"cold-from":0.85,"drain-grace-us":250000,"ramp-time-us":1000000,"tip-after-us":1000000,"tip-multiple":2.5},
  "over-share-worth":0.1,"prices":{"waste":0.16},
  "tenants":[{"name":"x","share":0.6,"allowance-per-s":40},{"name":"y","share":0.4,"allowance-per-s":20}],"tiers":["act-servers"]}}`

// loadText loads the configuration file with the text.
func loadText(t *testing.T, text []byte) (*Config, error) {
	t.Helper()
	return Load(writeConfig(t, text))
}

// reloadText reloads the running configuration from a file with the text.
func reloadText(t *testing.T, text []byte) error {
	t.Helper()
	running, err := loadText(t, []byte(runningConfig))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Reload(writeConfig(t, text), running)
	return err
}

// writeConfig writes a configuration file and returns an environment that names it.
func writeConfig(t *testing.T, text []byte) (getenv func(string) string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return ""
	}
}

// damage is one way to damage a part of a configuration file.
type damage struct {
	field  string // path of the part
	change func() // damages the document
	undo   func()
}

// damages returns all ways to damage a part of a document or one below it: each key missing or null, each list and object of
// another kind, each list of the settings empty, or shorter if shortened.
func damages(field string, part any, shortened func(field string) bool) (all []damage) {
	switch part := part.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(part)) {
			value, keyField := part[key], strings.TrimPrefix(field+"."+key, ".")
			set := func(damaged any) damage {
				return damage{keyField, func() { part[key] = damaged }, func() { part[key] = value }}
			}
			all = append(all, damage{keyField, func() { delete(part, key) }, func() { part[key] = value }}, set(nil))
			switch value := value.(type) {
			case []any:
				all = append(all, set(map[string]any{}))
				if inSettings(keyField) {
					all = append(all, set([]any{}))
				}
				if shortened(keyField) {
					all = append(all, set(value[:len(value)-1]))
				}
			case map[string]any:
				all = append(all, set(map[string]any{}), set([]any{}))
			}
			all = append(all, damages(keyField, value, shortened)...)
		}
	case []any:
		for i, entry := range part {
			all = append(all, damages(fmt.Sprintf("%s[%d]", field, i), entry, shortened)...)
		}
	}
	return all
}

// TestIncompleteFileApplied guards against a file that is applied at SIGHUP although it lacks a part of the running one: without
// settings.family-info.class-cells, set-ups went to servers that their class may not go to.
func TestIncompleteFileApplied(t *testing.T) {
	var document map[string]any
	if err := json.Unmarshal([]byte(runningConfig), &document); err != nil {
		t.Fatal(err)
	}
	shortened := func(field string) bool {
		switch field {
		case "settings.load-report.columns", "settings.localities", "settings.family-info.class-cells", "settings.family-info.class-hold-us",
			"settings.family-info.widths":
			return true
		}
		return false
	}
	count := 0
	for _, damage := range damages("", document, shortened) {
		damage.change()
		text, err := json.Marshal(document)
		damage.undo()
		if err != nil {
			t.Fatal(err)
		}
		count++
		if err := reloadText(t, text); err == nil {
			t.Errorf("%s: applied: %s", damage.field, text)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %q is more than one line", damage.field, err)
		}
	}
	if count < 250 {
		t.Errorf("%d ways to damage the file", count)
	}
}

// TestReloadNamesMissingPart checks that the error names the part.
func TestReloadNamesMissingPart(t *testing.T) {
	for field, change := range map[string][2]string{
		"settings.family-info.class-cells: missing":                 {`"class-cells":[[0,1],[0]],`, ""},
		"settings.family-info.class-cells[1]: empty":                {`[[0,1],[0]]`, "[[0,1],[]]"},
		"settings.family-info.class-cells[1]: missing":              {`[[0,1],[0]]`, "[[0,1],null]"},
		"settings.family-info.class-cells: 1 entries for 2 classes": {`[[0,1],[0]]`, "[[0,1]]"},
		"settings.family-info.widths: 3 entries for 2 classes":      {`[1,2]`, "[1,2,1]"},
		"settings.load-report.columns: 2 entries, had 3":            {`"spare","total","cut_by"`, `"spare","total"`},
		"settings.tenants[1].allowance-per-s: missing":              {`,"allowance-per-s":20`, ""},
		"settings.tenants[1].share: missing":                        {`{"name":"y","share":0.4,`, `{"name":"z",`},
		"settings.request-classes[0].late-worth: missing":           {`"late-worth":0.25,`, ""},
		"settings.request-classes[1].group: missing":                {`"activate","effect":"guarded","gain":3,"group":"all"`, `"new","effect":"free","gain":3`},
		"known.cmds[0].nodes.endpoints[1].group: missing":           {`"group":1,"status":"in_service","weight":4,"since_ms":0`, `"status":"in_service","weight":4,"since_ms":0`},
		"limits.cores: missing":                                     {`"cores":0.5,`, ""},
		"settings.clients: not an object":                           {`{"marks-retry":false}`, "1"},
	} {
		text := strings.Replace(runningConfig, change[0], change[1], 1)
		if err := reloadText(t, []byte(text)); text == runningConfig || err == nil || err.Error() != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// TestCompleteFileApplied guards against valid changes that are rejected: entries of lists come, go and change places, values change.
func TestCompleteFileApplied(t *testing.T) {
	const check = `{"name":"check","effect":"free","gain":1,"group":"all","hard-limit-us":3000000,"late-worth":0.25,"objective-us":300000,"aim-stretch":1.5}`
	const activate = `{"name":"activate","effect":"guarded","gain":3,"group":"all","hard-limit-us":3000000,"late-worth":0.25,"objective-us":380000,"aim-stretch":1.5}`
	added := strings.NewReplacer(`,"aim-stretch":1.5`, "", "check", "new").Replace(check)
	const classes = check + ",\n   " + activate
	for what, changes := range map[string][]string{
		"nothing changes":                    {},
		"values change":                      {`"max-attempts":2`, `"max-attempts":5`, `"effect":"guarded"`, `"effect":"single_shot"`, `"cores":0.5`, `"cores":1`},
		"a class is restricted further":      {`[[0,1],[0]]`, `[[1],[0]]`},
		"a class may go to more cells":       {`[[0,1],[0]]`, `[[0,1],[0,1]]`},
		"classes change places":              {classes, activate + "," + check, `[[0,1],[0]]`, `[[0],[0,1]]`},
		"a class is dropped":                 {classes, activate, `[[0,1],[0]]`, `[[0]]`, `[1000000,1200000]`, `[1200000]`, `[1,2]`, `[2]`},
		"a class is replaced":                {`"check"`, `"other"`},
		"a class is added without a stretch": {classes, classes + "," + added, `[[0,1],[0]]`, `[[0],[0,1],[0]]`, `[1000000,1200000]`, `[1,1,1]`, `[1,2]`, `[1,1,1]`},
		"a tenant is dropped":                {`,{"name":"y","share":0.4,"allowance-per-s":20}`, ""},
		"columns are replaced":               {`"total"`, `"recent_ms"`},
		"a server is dropped":                {`{"name":"s1","address":"127.0.0.1:4","zone":"a","type":"std","group":0,"status":"in_service","weight":4,"since_ms":0},`, ""},
		"the list was told anew":             {runningConfig[strings.Index(runningConfig, `"known"`):strings.Index(runningConfig, ` "settings"`)], `"known":{"cursor":7,"cmds":[{"cursor":7,"nodes":{"index":6,"snapshot":true,"endpoints":[{"name":"s9","address":"127.0.0.1:9","zone":"a","type":"std","group":0,"status":"in_service","weight":4,"since_ms":0}]}}]},`},
		"no server is known":                 {runningConfig[strings.Index(runningConfig, `"endpoints"`)+12 : strings.Index(runningConfig, `]}},`)], "["},
		"a member leaves the tier":           {`,"127.0.0.1:3"]`, "]"},
		"parts are added":                    {`"goal":`, `"new":{"a":[1]},"goal":`},
	} {
		text := runningConfig
		for i := 0; i < len(changes); i += 2 {
			changed := strings.Replace(text, changes[i], changes[i+1], 1)
			if changed == text {
				t.Errorf("%s: %q not found", what, changes[i])
			}
			text = changed
		}
		if err := reloadText(t, []byte(text)); err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
}
