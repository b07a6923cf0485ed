package mgmt

import (
	"encoding/json"
	"testing"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/knowledge"
	"elmseam/internal/loop"
)

// In a great tier each server is told of by hundreds: the newest are shown, in order, and how many there are beside. All of
// them made an answer of megabytes.
func TestServersShowTheNewest(t *testing.T) {
	var told []knowledge.Told
	for m := range 300 {
		told = append(told, knowledge.Told{Observer: m, At: knowledge.Time(1000+m%150) * knowledge.Time(time.Millisecond)})
	}
	f := loop.Snapshot{At: time.Unix(2, 0)}
	f.Knows = &core.KnowFigures{Servers: []core.ServerKnown{{Name: "s", Told: told}, {Name: "t", Told: told[:2]}}}
	var s Servers
	if err := json.Unmarshal([]byte(serversJSON(f)), &s); err != nil {
		t.Fatal(err)
	}
	one, two := s.Servers[0], s.Servers[1]
	if len(one.Told) != toldShown || one.More != 300-toldShown || len(two.Told) != 2 || two.More != 0 {
		t.Fatalf("%d shown and %d beside, %d and %d", len(one.Told), one.More, len(two.Told), two.More)
	}
	for i, e := range one.Told {
		if e.AgeMS > 1000-150+toldShown/2 || i > 0 && e.Number <= one.Told[i-1].Number {
			t.Errorf("entry %d: of %d, %d ms old", i, e.Number, e.AgeMS)
		}
	}
}
