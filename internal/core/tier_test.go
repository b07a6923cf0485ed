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
func (h *harness) startMembership(tierSize int) {
	h.step(StartMembership{Config: membership.Config{TierSize: tierSize, Limits: membership.Defaults(), Seed: 1}})
}

// A member that receives nothing from the other members of its tier uses only a fraction of its own quota of a cold server's budget: the
// available members over all members, a fifth in a tier of five. In a tier of one, and without a tier, it uses its whole quota.
func TestIsolatedMemberReducesColdServerLoad(t *testing.T) {
	coldSetUps := func(tierSize int) (n int) {
		h := newHarness(t)
		if tierSize > 0 {
			h.startMembership(tierSize)
		}
		id := ID(0)
		serveFor := func(span time.Duration) (cold int) {
			for end := h.now + span; h.now < end; h.advance(5 * ms) {
				id++
				effects := h.setUp(id, 5*time.Second)
				for server, conn := range map[string]string{"a": "@10 ", "b": "@11 "} {
					if strings.Contains(effects, conn) {
						h.step(ServerAnswer{Server: server, ID: id})
						h.step(ServerEnd{Server: server, ID: id, Reason: ReasonNormal})
						if server == "a" {
							cold++
						}
					}
				}
			}
			return cold
		}
		serveFor(10 * time.Second) // the controller measures the rates of both servers
		h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: 1, Started: h.now}}})
		h.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
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
	h := newHarness(t)
	h.enableDrains()
	h.startMembership(1)
	limits := maintenance.Defaults()
	h.step(StartMaintenance{Config: maintenance.Config{TierSize: 1, Zone: -1, Limits: limits, Seed: 1}})
	stage := func() maintenance.Stage { return h.core.Stats(h.now).Maintenance.Records[0].Stage }
	h.setUp(7, 5*time.Second)
	h.step(ServerAnswer{Server: "a", ID: 7})
	h.step(MaintenanceRequest{Event: maintenance.Request{Members: []int{0}}})
	if stats := h.core.Stats(h.now); stats.Ready || !stats.Draining || stage() != maintenance.StageDraining {
		t.Errorf("on its turn for maintenance: %+v, stage %v", stats, stage())
	}
	h.advance(3 * time.Second)
	if stage() != maintenance.StageDraining { // a call is established
		t.Errorf("stage %v with an established call", stage())
	}
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonNormal}), "released7@1 ")
	if stage() != maintenance.StageReady {
		t.Errorf("stage %v after the last call", stage())
	}
	h.step(Drain{})
	if stats := h.core.Stats(h.now); !stats.Ready || stats.Draining || stage() != maintenance.StageDone {
		t.Errorf("after the operator ended the drain: %+v, stage %v", stats, stage())
	}
	h.step(Drain{On: true})
	h.step(MaintenanceRequest{Event: maintenance.Request{Members: []int{0}}})
	h.advance(3 * time.Second)
	h.step(MaintenanceRequest{Event: maintenance.Cancel{Members: []int{0}}})
	if stats := h.core.Stats(h.now); !stats.Draining || stage() != maintenance.StageDone {
		t.Errorf("with a drain on an operator's request: %+v, stage %v", stats, stage())
	}
}

// receiveObservation gives the core another member's observation of server "a".
func (h *harness) receiveObservation(sender *knowledge.Reducer, observation knowledge.Observation) string {
	sender.Step(h.now, knowledge.LocalObservations{Servers: map[uint32]knowledge.Observation{uint32(xxh3.HashString("a")): observation}})
	data := datagram.Encode(membership.Version, []int{}) // malformed for membership; the piggybacked data counts all the same
	return h.step(MemberDatagram{From: 1, Data: sender.AppendPiggyback(h.now, data)})
}

// A drain reported by another member stops new set-ups to the server if the report is newer than this softswitch's own server list, and
// only for ReportedDrainTTL. The own list takes precedence: an older report and a reported hold-back share do not override it.
func TestDrainReportedByMember(t *testing.T) {
	h := newHarness(t)
	h.startMembership(2)
	h.step(StartKnowledge{Config: knowledge.Config{TierSize: 2, Limits: knowledge.Defaults(), Seed: 1}})
	sender, _, _ := knowledge.New(knowledge.Config{Self: 1, TierSize: 2, Limits: knowledge.Defaults(), Seed: 1}, h.now)
	id := ID(0)
	wantOffered := func(what string, offered bool) {
		t.Helper()
		id++
		effects := h.setUp(id, 5*time.Second)
		h.step(ServerAnswer{Server: "a", ID: id})
		h.step(ServerAnswer{Server: "b", ID: id})
		if strings.Contains(effects, "@10") != offered {
			t.Errorf("%s: effects %q, want an offer to the server: %t", what, effects, offered)
		}
	}
	h.advance(time.Second)
	h.receiveObservation(sender, knowledge.Observation{DrainingSince: h.now - 3*time.Second}) // older than the own list
	wantOffered("report older than the own list", true)
	h.advance(time.Second)
	h.receiveObservation(sender, knowledge.Observation{DrainingSince: h.now})
	h.advance(time.Second)
	wantOffered("report newer than the own list", false)
	h.advance(h.core.limits.ReportedDrainTTL + time.Second) // the own list does not confirm the drain
	wantOffered("report not confirmed by the own list", true)
	h.advance(time.Second)
	h.receiveObservation(sender, knowledge.Observation{DrainingSince: h.now})
	h.advance(10 * ms)
	h.sendServerList(elmseam.PhaseReady, elmseam.PhaseReady)
	wantOffered("own list newer than the report", true)
	h.sendServerList(elmseam.PhaseDraining, elmseam.PhaseReady)
	h.advance(time.Second)
	h.receiveObservation(sender, knowledge.Observation{Rate: 100, HoldBackShare: 0, HoldBackShareAt: h.now})
	wantOffered("reported hold-back share of 0, and a drain in the own list", false)
}

// The rate permitted to a cold server is set again before every event. A softswitch that was stalled until its leases had expired
// resumes with the one unit of its quota, an eighth, that is never lent.
func TestColdRateAfterLeasesExpired(t *testing.T) {
	h := newHarness(t)
	h.startMembership(1)
	h.step(StartBudget{Config: budget.Config{TierSize: 1, Limits: budget.Defaults(), Seed: 1}})
	for id := ID(1); id < 400; id++ {
		h.advance(10 * ms)
		if strings.Contains(h.setUp(id, 5*time.Second), "@10") {
			h.step(ServerAnswer{Server: "a", ID: id})
			h.step(ServerEnd{Server: "a", ID: id, Reason: ReasonNormal})
		}
	}
	h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseReady, Started: h.now}}})
	id := ID(400)
	countSent := func() (n int) { // within 300 ms, in which no timer fires
		for range 30 {
			id++
			h.now += 10 * ms
			if strings.Contains(h.setUp(id, 5*time.Second), "@10") {
				n++
				h.step(ServerAnswer{Server: "a", ID: id})
				h.step(ServerEnd{Server: "a", ID: id, Reason: ReasonNormal})
			}
		}
		return n
	}
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
	h.advance(time.Second)
	before := countSent()
	h.now += 3 * time.Second
	if after := countSent(); before < 6 || after > before/2 {
		t.Errorf("%d set-ups to a cold server after the stall, %d before it", after, before)
	}
	rate, known := h.core.budget.Rate(h.now, incarnationKey(h.core.servers["a"]))
	h.advance(time.Second)
	if renewed, _ := h.core.budget.Rate(h.now, incarnationKey(h.core.servers["a"])); !known || math.Abs(renewed/rate-budget.Units) > 1e-9 {
		t.Errorf("rate %v after the stall, %v a second later, want eight times as much", rate, renewed)
	}
}

// A softswitch that starts while a server is cold has counted no set-ups yet, so its quota begins at 0. The quota grows as set-ups are
// counted. Guards against a quota that stays 0 until the server is warm: after a restart of the whole tier a cold server got no
// set-ups for ten seconds.
func TestInitiallyZeroQuotaGrows(t *testing.T) {
	h := newHarness(t)
	h.startMembership(1)
	h.step(StartBudget{Config: budget.Config{TierSize: 1, Limits: budget.Defaults(), Seed: 1}})
	h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseReady, Started: h.now}}})
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
	coldSetUps := 0
	for id := ID(1); id < 500; id++ {
		h.advance(10 * ms)
		effects := h.setUp(id, 5*time.Second)
		for server, conn := range map[string]string{"a": "@10 ", "b": "@11 "} {
			if strings.Contains(effects, conn) {
				h.step(ServerAnswer{Server: server, ID: id})
				h.step(ServerEnd{Server: server, ID: id, Reason: ReasonNormal})
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
