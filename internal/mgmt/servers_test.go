package mgmt

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/knowledge"
	"elmseam/internal/loop"
)

// In a large tier hundreds of members report each server. Only the newest reports are shown, in order, and the number
// of the others: an answer with all of them took megabytes.
func TestServersShowNewestReports(t *testing.T) {
	var reports []knowledge.ObserverEntry
	for observer := range 300 {
		reports = append(reports, knowledge.ObserverEntry{Observer: observer,
			At: knowledge.Time(1000+observer%150) * knowledge.Time(time.Millisecond)})
	}
	snapshot := loop.Snapshot{At: time.Unix(2, 0)}
	snapshot.Knowledge = &core.KnowledgeStats{Servers: []core.ServerKnowledge{{Name: "s", Reports: reports},
		{Name: "t", Reports: reports[:2]}}}
	var status ServersStatus
	if err := json.Unmarshal([]byte(serversJSON(snapshot)), &status); err != nil {
		t.Fatal(err)
	}
	many, few := status.Servers[0], status.Servers[1]
	if len(many.Reports) != maxReportsShown || many.OmittedReports != 300-maxReportsShown || len(few.Reports) != 2 || few.OmittedReports != 0 {
		t.Fatalf("%d shown and %d omitted, then %d and %d", len(many.Reports), many.OmittedReports, len(few.Reports), few.OmittedReports)
	}
	for i, report := range many.Reports {
		if report.AgeMS > 1000-150+maxReportsShown/2 || i > 0 && report.Index <= many.Reports[i-1].Index {
			t.Errorf("report %d: of member %d, %d ms old", i, report.Index, report.AgeMS)
		}
	}
}

// TestDrainAndResumeDisagree guards against readiness tests that keep failing while the core is not drained, after a drain and a resume at the
// same time.
func TestDrainAndResumeDisagree(t *testing.T) {
	var draining atomic.Bool
	drainBegun := make(chan struct{})
	s := &AdminServer{orders: make(chan core.Event, 2), SetDraining: func(on bool) {
		if on {
			close(drainBegun)
			time.Sleep(50 * time.Millisecond) // the resume comes meanwhile
		}
		draining.Store(on)
	}}
	var wg sync.WaitGroup
	wg.Go(func() { s.orderDrain(true) })
	<-drainBegun
	s.orderDrain(false)
	wg.Wait()
	if draining.Load() || len(s.orders) != 2 {
		t.Errorf("the readiness tests fail after the resume, %d orders", len(s.orders))
	}
}
