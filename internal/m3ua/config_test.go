package m3ua

import (
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestAmbiguousConfigAccepted guards against a signalling file of which one entry is chosen at random, or never matches.
func TestAmbiguousConfigAccepted(t *testing.T) {
	const valid = `
listen = "127.0.0.1:2905"
point_code = 1
heartbeat_ms = 1000
circuits = 10
[categories]
voice = 10
[cells]
7 = 0
[[server]]
name = "a"
address = "127.0.0.1:1"
point_code = 2
`
	for want, edit := range map[string][2]string{
		"":                             {"", ""},
		"categories.voice: 10 is":      {"voice = 10", "voice = 10\nurgent = 10"},
		"cells.007: is to be":          {"7 = 0", "007 = 0"},
		"server[0].point_code":         {"point_code = 2", "point_code = 16777216"},
		"server[1].name: \"a\" is the": {"[[server]]", "[[server]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\npoint_code = 3\n[[server]]"},
	} {
		var file FileConfig
		if _, err := toml.Decode(strings.Replace(valid, edit[0], edit[1], 1), &file); err != nil {
			t.Fatal(err)
		}
		if err := file.Check(); want == "" && err != nil || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
			t.Errorf("%q: error %v, want one that begins with %q", edit[1], err, want)
		}
	}
}
