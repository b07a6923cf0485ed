package core

import (
	"fmt"
	"testing"
	"time"

	"elmseam"
	"elmseam/internal/probe"
)

// A silent connection counts as dead only if something is pending on it. An attempt that has been outstanding for long ends with the
// connection, an attempt that has just begun is left alone, the connection to a server with established calls is replaced, and an
// unused connection is kept. Guards against a reader that closes the connection by its own clock, with all its outstanding attempts.
func TestSilentConnectionIsReplacedOnlyIfInUse(t *testing.T) {
	h := newHarness(t)
	h.recordDials = true
	silent := ServerSilent{Server: "a", Conn: 10, SilentFor: time.Second}
	h.wantEffects(h.step(silent), "")
	h.wantEffects(h.setUp(1, 5*time.Second), "offer1@10 ")
	h.advance(400 * ms)
	h.wantEffects(h.step(silent), "")
	h.wantEffects(h.step(ServerSilent{Server: "a", Conn: 99, SilentFor: time.Second}), "")
	h.advance(200 * ms)
	h.wantEffects(h.step(silent), "closeconn@10 dial-a ")
	h.wantEffects(h.step(ServerDown{Server: "a", Conn: 10}), "")
	h.wantEffects(h.advance(201*ms), "offer1@11 ") // after the release guard
	h.step(ServerAnswer{Server: "b", Conn: 11, ID: 1})
	h.wantEffects(h.step(ServerSilent{Server: "b", Conn: 11, SilentFor: time.Second}), "close@11 dial-b ")
	h.wantEffects(h.step(ServerSilent{Server: "b", Conn: 11, SilentFor: time.Second}), "")
	h.step(ServerUp{Server: "b", Address: "b:1", Conn: 12})
	h.wantEffects(h.step(ServerEnd{Server: "b", Conn: 12, ID: 1, Reason: ReasonNormal}), "released1@1 ")
	h.wantEffects(h.step(ServerSilent{Server: "b", Conn: 12, SilentFor: time.Second}), "")

	// A set-up that the controller has given up counts as unanswered too. Otherwise each further set-up on a dead connection was
	// lost too, and a tenth of all calls was refused: a simulation of silent connections and leaving servers gave 0.82 to 0.92
	// instead of 0.996.
	h.wantEffects(h.step(SetUp{ID: 2, From: 1, Cell: 1, TimeLeft: 5 * time.Second, At: h.now}), "offer2@12 ")
	h.core.effects = nil
	h.core.giveUpAttempt(h.core.calls[2], elmseam.CauseCancelled)
	h.wantEffects(h.step(EndWritten{Server: "b", Conn: 12, ID: 2}), "")
	h.wantEffects(h.advance(400*ms)+h.step(ServerSilent{Server: "b", Conn: 12, SilentFor: time.Second}), "")
	h.wantEffects(h.advance(100*ms)+h.step(ServerSilent{Server: "b", Conn: 12, SilentFor: time.Second}), "close@12 dial-b ")
}

// Where the settings permit probes, a silent connection is probed before it is replaced, with one probe at a time and at a limited
// rate. It is not probed while an attempt is outstanding, which shows as much as a probe, nor if the server drains or is gone. An answer
// counts once. Without an answer in time the connection is replaced, and attempts that began on it meanwhile end.
func TestProbesOfSilentConnections(t *testing.T) {
	h := newHarness(t)
	h.recordDials = true
	limits := h.core.limits
	limits.Probe = probe.Limits{Permitted: true, Rate: 1, Burst: 2, Timeout: time.Second}
	h.step(Configured{Settings: elmseam.Settings{Classes: []elmseam.Class{{Deadline: 9 * time.Second}}, MaxAttempts: 4, OwnCell: -1}, Limits: limits})
	h.core.prober = probe.New(limits.Probe)
	reportSilence := func(server string, conn ConnID) string {
		return h.step(ServerSilent{Server: server, Conn: conn, SilentFor: 200 * ms})
	}
	answer := func(server string, conn ConnID, id probe.ID) string {
		return h.step(ServerProbeAnswer{Server: server, Conn: conn, ID: id, Report: Report{{elmseam.LoadMetricWait, 5}}})
	}
	wantCounters := func(want string) { // probes sent, answered, failed, held back by the rate limit, and unexpected answers
		t.Helper()
		if got := fmt.Sprint(*h.core.Stats(h.now).Probes); got != want {
			t.Errorf("probe counters %s, want %s", got, want)
		}
	}
	h.wantEffects(reportSilence("a", 10), "") // nothing is pending
	h.setUp(1, 9*time.Second)
	h.wantEffects(reportSilence("a", 10), "") // an outstanding attempt makes the probe superfluous
	h.step(ServerAnswer{Server: "a", Conn: 10, ID: 1})
	h.wantEffects(reportSilence("a", 10)+reportSilence("a", 10), "probe1@10 ") // one at a time
	h.wantEffects(answer("b", 11, 1)+answer("a", 10, 1)+answer("a", 10, 1)+h.advance(time.Second), "")
	wantCounters("{1 1 0 0 2}")
	h.wantEffects(reportSilence("a", 10), "probe2@10 ")
	h.wantEffects(h.advance(500*ms)+h.setUp(2, 9*time.Second), "offer2@10 ")
	h.wantEffects(h.advance(500*ms), "closeconn@10 dial-a ") // the probe has failed
	h.wantEffects(h.step(ServerDown{Server: "a", Conn: 10})+h.advance(201*ms), "offer2@11 ")
	h.wantEffects(answer("a", 10, 2), "")
	wantCounters("{2 1 1 0 3}")
	h.step(ServerAnswer{Server: "b", Conn: 11, ID: 2})
	h.wantEffects(reportSilence("b", 11)+h.advance(time.Second), "probe3@11 close@11 dial-b ")
	h.step(ServerUp{Server: "b", Address: "b:1", Conn: 12})
	h.core.prober = probe.New(probe.Limits{Permitted: true, Rate: 0.01, Burst: 1, Timeout: time.Second})
	h.wantEffects(reportSilence("b", 12), "probe1@12 ")
	h.step(ServerProbeAnswer{Server: "b", Conn: 12, ID: 1})
	h.wantEffects(reportSilence("b", 12)+reportSilence("b", 12), "") // the rate limit permits no probe, and the connection stays
	wantCounters("{1 1 0 2 0}")
	h.advance(100 * time.Second)
	h.sendServerList(elmseam.PhaseReady, elmseam.PhaseDraining)
	h.wantEffects(reportSilence("b", 12), "close@12 dial-b ")
	h.step(ServerUp{Server: "b", Address: "b:1", Conn: 13})
	h.sendServerList(elmseam.PhaseReady, elmseam.PhaseGone)
	h.wantEffects(reportSilence("b", 13), "")
	wantCounters("{1 1 0 2 0}")
}

// While the answer to a probe is outstanding, set-ups go out on another connection. An unanswered probe has the connection replaced at
// the next silence, as an unanswered set-up does, even if the time-out of the probe is much longer.
func TestProbedConnectionIsAvoided(t *testing.T) {
	h := newHarness(t)
	h.core.limits.ConnsPerServer, h.core.limits.UnresponsiveAfter = map[Protocol]int{"": 2}, 100*ms
	h.core.prober = probe.New(probe.Limits{Permitted: true, Rate: 1, Burst: 2, Timeout: 9 * time.Second})
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 20})
	h.wantEffects(h.setUp(1, 9*time.Second), "offer1@10 ")
	h.step(ServerAnswer{Server: "a", Conn: 10, ID: 1})
	h.advance(time.Second)
	silent := ServerSilent{Server: "a", Conn: 20, SilentFor: time.Second}
	h.wantEffects(h.step(silent), "probe1@20 ")
	h.wantEffects(h.advance(101*ms)+h.setUp(2, 9*time.Second), "offer2@10 ") // without the probe: connection 20, which was used least recently
	h.step(ServerAnswer{Server: "a", Conn: 10, ID: 2})
	h.wantEffects(h.advance(400*ms)+h.step(silent), "close@20 ")
}

// The tenant of a call is looked up by name when the call arrives, under the settings in force. An index from a protocol handler
// would mean another tenant after a new configuration.
func TestTenantIsBoundAtArrival(t *testing.T) {
	h := newHarness(t)
	var tenants []int
	h.core.hook.SuppressEvent = func(ev elmseam.Event) bool {
		if a, ok := ev.(elmseam.Arrival); ok {
			tenants = append(tenants, a.Tenant)
		}
		return false
	}
	settings := elmseam.Settings{
		Classes: []elmseam.Class{{Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}}, MaxAttempts: 4, OwnCell: -1,
		Tenants: []elmseam.Tenant{{Name: "x", Allowance: 1}, {Name: "y", Allowance: 1}}, OverShareWorth: 0.1,
	}
	sendSetUp := func(id ID, tenant string) {
		h.step(SetUp{ID: id, From: 1, Tenant: tenant, TimeLeft: 5 * time.Second, At: h.now})
	}
	sendSetUp(1, "x")
	h.step(Configured{Settings: settings, Limits: h.core.limits})
	sendSetUp(2, "x")
	sendSetUp(3, "y")
	sendSetUp(4, "z")
	sendSetUp(5, "")
	settings.Tenants = []elmseam.Tenant{{Name: "y", Allowance: 1}}
	h.step(Configured{Settings: settings, Limits: h.core.limits})
	sendSetUp(6, "x")
	sendSetUp(7, "y")
	for i, want := range []int{-1, 0, 1, -1, -1, -1, 0} {
		if tenants[i] != want {
			t.Errorf("call %d has tenant %d, want %d", i+1, tenants[i], want)
		}
	}
}
