package core

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"elmseam"
	"elmseam/internal/budget"
	"elmseam/internal/datagram"
	"elmseam/internal/knowledge"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

func (r *rig) startMembership(tierSize int) {
	r.step(StartMembership{Config: membership.Config{TierSize: tierSize, Limits: membership.Defaults(), Seed: 1}})
}

// A softswitch that hears of nobody in its tier sends a just-started server the share of its own part that it sees of
// the tier: a fifth. One that is alone in its tier, or knows of none, sends its whole part.
func TestIsolatedMemberReducesColdServerLoad(t *testing.T) {
	coldSetUps := func(tierSize int) (n int) {
		r := newRig(t)
		if tierSize > 0 {
			r.startMembership(tierSize)
		}
		id := ID(0)
		serveFor := func(span time.Duration) (cold int) {
			for end := r.now + span; r.now < end; r.advance(5 * ms) {
				id++
				effects := r.setUp(id, 5*time.Second)
				for server, conn := range map[string]string{"a": "@10 ", "b": "@11 "} {
					if strings.Contains(effects, conn) {
						r.step(ServerAnswer{Server: server, ID: id})
						r.step(ServerEnd{Server: server, ID: id, Reason: Normal})
						if server == "a" {
							cold++
						}
					}
				}
			}
			return cold
		}
		serveFor(10 * time.Second) // at a rate that both know
		r.step(List{Servers: []Server{{Name: "a", Address: "a:1", Phase: 1, Started: r.now}}})
		r.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
		return serveFor(2 * time.Second)
	}
	noTier, tierOfOne, isolated := coldSetUps(0), coldSetUps(1), coldSetUps(5)
	if tierOfOne != noTier || noTier < 50 || isolated > noTier/3 || isolated == 0 {
		t.Errorf("to a cold server went %d without a tier, %d alone in one, %d cut off from four others", noTier, tierOfOne, isolated)
	}
}

// When its turn for work has come it drains as for an operator; when nothing is left it is ready for work, and an operator
// who takes its callers back has ended that. A drain by hand stays when the work is over.
func TestMaintenanceDrain(t *testing.T) {
	r := newRig(t)
	r.enableDrains()
	r.startMembership(1)
	limits := maintenance.Defaults()
	r.step(StartMaintenance{Config: maintenance.Config{TierSize: 1, Zone: -1, Limits: limits, Seed: 1}})
	stage := func() maintenance.Stage { return r.core.Stats(r.now).Maintenance.Records[0].Stage }
	r.setUp(7, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 7})
	r.step(MaintenanceRequest{Event: maintenance.Request{Members: []int{0}}})
	if stats := r.core.Stats(r.now); stats.Ready || !stats.Draining || stage() != maintenance.Draining {
		t.Errorf("its turn has come: %+v, %v", stats, stage())
	}
	r.advance(3 * time.Second)
	if stage() != maintenance.Draining { // a call stands
		t.Errorf("with a call that stands it is %v", stage())
	}
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "released7@1 ")
	if stage() != maintenance.Ready {
		t.Errorf("with nothing left it is %v", stage())
	}
	r.step(Drain{})
	if stats := r.core.Stats(r.now); !stats.Ready || stats.Draining || stage() != maintenance.Done {
		t.Errorf("taken back: %+v, %v", stats, stage())
	}
	r.step(Drain{On: true})
	r.step(MaintenanceRequest{Event: maintenance.Request{Members: []int{0}}})
	r.advance(3 * time.Second)
	r.step(MaintenanceRequest{Event: maintenance.Cancel{Members: []int{0}}})
	if stats := r.core.Stats(r.now); !stats.Draining || stage() != maintenance.Done {
		t.Errorf("drained by hand all along: %+v, %v", stats, stage())
	}
}

// hears hands the core a peer's word on server a.
func (r *rig) receiveObservation(sender *knowledge.Reducer, observation knowledge.Observation) string {
	sender.Step(r.now, knowledge.LocalObservations{Servers: map[uint32]knowledge.Observation{uint32(xxh3.HashString("a")): observation}})
	data := datagram.Encode(membership.Version, []int{}) // nonsense to membership; its rider counts all the same
	return r.step(MemberDatagram{From: 1, Data: sender.AppendPiggyback(r.now, data)})
}

// A peer's word that a server drains holds back where it is newer than the own list, and only for a while: the own list
// has the last word, and an older word or a share changes nothing of that.
func TestDrainReportedByMember(t *testing.T) {
	r := newRig(t)
	r.startMembership(2)
	r.step(StartKnowledge{Config: knowledge.Config{TierSize: 2, Limits: knowledge.Defaults(), Seed: 1}})
	sender, _, _ := knowledge.New(knowledge.Config{Self: 1, TierSize: 2, Limits: knowledge.Defaults(), Seed: 1}, r.now)
	id := ID(0)
	wantOffered := func(what string, offered bool) {
		t.Helper()
		id++
		effects := r.setUp(id, 5*time.Second)
		r.step(ServerAnswer{Server: "a", ID: id})
		r.step(ServerAnswer{Server: "b", ID: id})
		if strings.Contains(effects, "@10") != offered {
			t.Errorf("%s: %swant it at the server: %t", what, effects, offered)
		}
	}
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{DrainingSince: r.now - 3*time.Second}) // older than the own list
	wantOffered("an older word", true)
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{DrainingSince: r.now})
	r.advance(time.Second)
	wantOffered("a newer word", false)
	r.advance(r.core.limits.ReportedDrainTTL + time.Second) // not confirmed
	wantOffered("one that the own list does not confirm", true)
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{DrainingSince: r.now})
	r.advance(10 * ms)
	r.list(elmseam.Ready, elmseam.Ready)
	wantOffered("the own list has spoken since", true)
	r.list(elmseam.Draining, elmseam.Ready)
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{Rate: 100, HoldBackShare: 0, HoldBackShareAt: r.now})
	wantOffered("a word of ease, and the own list says that it drains", false)
}

// What may be used of a cold server's budget is looked at before every event: a softswitch that stood still past its leases
// wakes with the sure eighth of its part.
func TestColdRateAfterLeasesExpired(t *testing.T) {
	r := newRig(t)
	r.startMembership(1)
	r.step(StartBudget{Config: budget.Config{TierSize: 1, Limits: budget.Defaults(), Seed: 1}})
	for id := ID(1); id < 400; id++ {
		r.advance(10 * ms)
		if strings.Contains(r.setUp(id, 5*time.Second), "@10") {
			r.step(ServerAnswer{Server: "a", ID: id})
			r.step(ServerEnd{Server: "a", ID: id, Reason: Normal})
		}
	}
	r.step(List{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.Ready, Started: r.now}}})
	id := ID(400)
	countSent := func() (n int) { // in 300 ms, in which no timer runs
		for range 30 {
			id++
			r.now += 10 * ms
			if strings.Contains(r.setUp(id, 5*time.Second), "@10") {
				n++
				r.step(ServerAnswer{Server: "a", ID: id})
				r.step(ServerEnd{Server: "a", ID: id, Reason: Normal})
			}
		}
		return n
	}
	r.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
	r.advance(time.Second)
	before := countSent()
	r.now += 3 * time.Second
	if after := countSent(); before < 6 || after > before/2 {
		t.Errorf("%d set-ups to a cold server on waking, %d before", after, before)
	}
	rate, known := r.core.budget.Rate(r.now, incarnationKey(r.core.servers["a"]))
	r.advance(time.Second)
	if renewed, _ := r.core.budget.Rate(r.now, incarnationKey(r.core.servers["a"])); !known || math.Abs(renewed/rate-budget.Units) > 1e-9 {
		t.Errorf("%v a second on waking, %v a second later, want eight times as much", rate, renewed)
	}
}

// Who starts while a server is cold has counted nothing yet: its part of it grows as it counts, or it would stay nothing
// until the server is warm (the whole tier restarted: a cold server got nothing for ten seconds).
func TestInitiallyZeroQuotaGrows(t *testing.T) {
	r := newRig(t)
	r.startMembership(1)
	r.step(StartBudget{Config: budget.Config{TierSize: 1, Limits: budget.Defaults(), Seed: 1}})
	r.step(List{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.Ready, Started: r.now}}})
	r.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
	coldSetUps := 0
	for id := ID(1); id < 500; id++ {
		r.advance(10 * ms)
		effects := r.setUp(id, 5*time.Second)
		for server, conn := range map[string]string{"a": "@10 ", "b": "@11 "} {
			if strings.Contains(effects, conn) {
				r.step(ServerAnswer{Server: server, ID: id})
				r.step(ServerEnd{Server: server, ID: id, Reason: Normal})
				if server == "a" && id > 250 {
					coldSetUps++
				}
			}
		}
	}
	if coldSetUps < 25 {
		t.Errorf("%d set-ups in 2.5 s to a server that was cold when this softswitch started", coldSetUps)
	}
}
