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

// startMembership makes the core member 0 of a tier.
func (r *rig) startMembership(tierSize int) {
	r.step(StartMembership{Config: membership.Config{TierSize: tierSize, Limits: membership.Defaults(), Seed: 1}})
}

// A member that receives nothing from the other members of its tier uses only a fraction of its own quota of a cold server's budget: the
// available members over all members, a fifth in a tier of five. In a tier of one, and without a tier, it uses its whole quota.
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
		serveFor(10 * time.Second) // the controller measures the rates of both servers
		r.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: 1, Started: r.now}}})
		r.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
		return serveFor(2 * time.Second)
	}
	noTier, tierOfOne, isolated := coldSetUps(0), coldSetUps(1), coldSetUps(5)
	if tierOfOne != noTier || noTier < 50 || isolated > noTier/3 || isolated == 0 {
		t.Errorf("set-ups to a cold server: %d without a tier, %d in a tier of one, %d isolated from four other members", noTier, tierOfOne, isolated)
	}
}

// A softswitch drains when its turn for maintenance comes, and is ready for the work when its last call has ended. An operator who ends
// the drain cancels the maintenance. A drain on an operator's request goes on after the maintenance.
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
		t.Errorf("on its turn for maintenance: %+v, stage %v", stats, stage())
	}
	r.advance(3 * time.Second)
	if stage() != maintenance.Draining { // a call is established
		t.Errorf("stage %v with an established call", stage())
	}
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "released7@1 ")
	if stage() != maintenance.Ready {
		t.Errorf("stage %v after the last call", stage())
	}
	r.step(Drain{})
	if stats := r.core.Stats(r.now); !stats.Ready || stats.Draining || stage() != maintenance.Done {
		t.Errorf("after the operator ended the drain: %+v, stage %v", stats, stage())
	}
	r.step(Drain{On: true})
	r.step(MaintenanceRequest{Event: maintenance.Request{Members: []int{0}}})
	r.advance(3 * time.Second)
	r.step(MaintenanceRequest{Event: maintenance.Cancel{Members: []int{0}}})
	if stats := r.core.Stats(r.now); !stats.Draining || stage() != maintenance.Done {
		t.Errorf("with a drain on an operator's request: %+v, stage %v", stats, stage())
	}
}

// receiveObservation gives the core another member's observation of server "a".
func (r *rig) receiveObservation(sender *knowledge.Reducer, observation knowledge.Observation) string {
	sender.Step(r.now, knowledge.LocalObservations{Servers: map[uint32]knowledge.Observation{uint32(xxh3.HashString("a")): observation}})
	data := datagram.Encode(membership.Version, []int{}) // malformed for membership; the piggybacked data counts all the same
	return r.step(MemberDatagram{From: 1, Data: sender.AppendPiggyback(r.now, data)})
}

// A drain reported by another member stops new set-ups to the server if the report is newer than this softswitch's own server list, and
// only for ReportedDrainTTL. The own list takes precedence: an older report and a reported hold-back share do not override it.
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
			t.Errorf("%s: effects %q, want an offer to the server: %t", what, effects, offered)
		}
	}
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{DrainingSince: r.now - 3*time.Second}) // older than the own list
	wantOffered("report older than the own list", true)
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{DrainingSince: r.now})
	r.advance(time.Second)
	wantOffered("report newer than the own list", false)
	r.advance(r.core.limits.ReportedDrainTTL + time.Second) // the own list does not confirm the drain
	wantOffered("report not confirmed by the own list", true)
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{DrainingSince: r.now})
	r.advance(10 * ms)
	r.list(elmseam.Ready, elmseam.Ready)
	wantOffered("own list newer than the report", true)
	r.list(elmseam.Draining, elmseam.Ready)
	r.advance(time.Second)
	r.receiveObservation(sender, knowledge.Observation{Rate: 100, HoldBackShare: 0, HoldBackShareAt: r.now})
	wantOffered("reported hold-back share of 0, and a drain in the own list", false)
}

// The rate permitted to a cold server is set again before every event. A softswitch that was stalled until its leases had expired
// resumes with the one unit of its quota, an eighth, that is never lent.
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
	r.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.Ready, Started: r.now}}})
	id := ID(400)
	countSent := func() (n int) { // within 300 ms, in which no timer fires
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
		t.Errorf("%d set-ups to a cold server after the stall, %d before it", after, before)
	}
	rate, known := r.core.budget.Rate(r.now, incarnationKey(r.core.servers["a"]))
	r.advance(time.Second)
	if renewed, _ := r.core.budget.Rate(r.now, incarnationKey(r.core.servers["a"])); !known || math.Abs(renewed/rate-budget.Units) > 1e-9 {
		t.Errorf("rate %v after the stall, %v a second later, want eight times as much", rate, renewed)
	}
}

// A softswitch that starts while a server is cold has counted no set-ups yet, so its quota begins at 0. The quota grows as set-ups are
// counted. Guards against a quota that stays 0 until the server is warm: after a restart of the whole tier a cold server got no
// set-ups for ten seconds.
func TestInitiallyZeroQuotaGrows(t *testing.T) {
	r := newRig(t)
	r.startMembership(1)
	r.step(StartBudget{Config: budget.Config{TierSize: 1, Limits: budget.Defaults(), Seed: 1}})
	r.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.Ready, Started: r.now}}})
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
