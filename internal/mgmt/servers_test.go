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
	var told []knowledge.ObserverEntry
	for m := range 300 {
		told = append(told, knowledge.ObserverEntry{Observer: m, At: knowledge.Time(1000+m%150) * knowledge.Time(time.Millisecond)})
	}
	f := loop.Snapshot{At: time.Unix(2, 0)}
	f.Knowledge = &core.KnowledgeStats{Servers: []core.ServerKnowledge{{Name: "s", Reports: told}, {Name: "t", Reports: told[:2]}}}
	var s ServersStatus
	if err := json.Unmarshal([]byte(serversJSON(f)), &s); err != nil {
		t.Fatal(err)
	}
	one, two := s.Servers[0], s.Servers[1]
	if len(one.Reports) != toldShown || one.Omitted != 300-toldShown || len(two.Reports) != 2 || two.Omitted != 0 {
		t.Fatalf("%d shown and %d beside, %d and %d", len(one.Reports), one.Omitted, len(two.Reports), two.Omitted)
	}
	for i, e := range one.Reports {
		if e.AgeMS > 1000-150+toldShown/2 || i > 0 && e.Index <= one.Reports[i-1].Index {
			t.Errorf("entry %d: of %d, %d ms old", i, e.Index, e.AgeMS)
		}
	}
}
