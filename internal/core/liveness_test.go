package core

import (
	"fmt"
	"testing"
	"time"

	"elmseam"
)

// newLivenessHarness returns a harness in which call 1 is established on server "a" and the liveness of servers is checked.
func newLivenessHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.recordDials = true
	limits := h.core.limits
	limits.Transient = map[Protocol]bool{"": true}
	limits.ServerLostAfter, limits.MinServerOutage = 7500*ms, 2*time.Second
	limits.LivenessCheckAfter, limits.LivenessRecheck = 3500*ms, time.Second
	limits.MaxPendingReleases, limits.MaxConnsPerServer = 10, 2
	h.core.limits = limits
	h.setUp(1, 9*time.Second)
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 1}), "answered1@1 ")
	return h
}

// newReconnectedHarness returns such a harness in which server "a" can be reached again on connection 12 after an outage of 3.6 s. Its last
// sign of life is the answer that established call 2 there.
func newReconnectedHarness(t *testing.T) *harness {
	t.Helper()
	h := newLivenessHarness(t)
	h.advance(3600 * ms)
	h.step(ServerDown{Server: "a", Conn: 10})
	h.step(ServerDown{Server: "a", Address: "a:1"})
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.setUp(2, 9*time.Second)
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 2}), "answered2@1 ")
	return h
}

// A server whose last sign of life is 7.5 s old counts as lost if it can't be reached, however late that was noticed. The server is told
// of the releases as soon as it can be reached, as its process may have survived.
func TestLostServerIsTimedFromLastSignOfLife(t *testing.T) {
	h := newLivenessHarness(t)
	h.wantEffects(h.advance(3499*ms), "")
	h.wantEffects(h.advance(2*ms), "dial-a ")
	h.advance(2500 * ms)
	h.step(ServerDown{Server: "a", Address: "a:1"})
	h.step(ServerDown{Server: "a", Conn: 10})
	if effects := h.advance(1490 * ms); countEffects(effects, "released") != 0 {
		t.Errorf("effects %q before the limit", effects)
	}
	if effects := h.advance(20 * ms); countEffects(effects, "released1@1") != 1 {
		t.Errorf("effects %q at the limit, want the release", effects)
	}
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "end1@12 ")
}

// A new connection after an outage does not show that the process with the calls is alive, so they are lost. Calls that were established
// after the outage go on. The server is dialled after 3.5 s of silence, as it may have vanished meanwhile.
func TestReconnectedServerLosesCallsWithoutProof(t *testing.T) {
	h := newReconnectedHarness(t)
	h.wantEffects(h.advance(3890*ms), "dial-a ")
	h.wantEffects(h.advance(20*ms), "end1@12 released1@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 2, Reason: ReasonNormal}), "released2@1 ")
}

// A release of a call from before the outage, or a message on a connection from before it, shows that the process is alive: a partition
// that heals cuts no call.
func TestHealedPartitionCutsNoCall(t *testing.T) {
	for name, prove := range map[string]func(h *harness){
		"release": func(h *harness) {
			h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 3, Reason: ReasonNormal}), "released3@1 ")
		},
		"message on an earlier connection": func(h *harness) { h.step(ServerReport{Server: "a", Conn: 20}) },
	} {
		h := newLivenessHarness(t)
		h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
		h.step(ServerUp{Server: "a", Address: "a:1", Conn: 20})
		h.setUp(3, 9*time.Second)
		h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 20, ID: 3}), "answered3@1 ")
		h.advance(5 * time.Second)
		h.step(ServerDown{Server: "a", Conn: 10})
		h.step(ServerDown{Server: "a", Address: "a:1"})
		h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
		prove(h)
		if effects := h.advance(3 * time.Second); countEffects(effects, "released") != 0 || h.core.calls[1] == nil {
			t.Errorf("%s: effects %q, want no release of a live call", name, effects)
		}
	}
}

// A server that sends nothing while calls are established on it is dialled, and a connection that comes up shows that it is there. The one on
// which the call was set up stays open, as the process may hang and release the call there; of the others MaxConnsPerServer - 1 stay.
func TestReachableSilentServerKeepsCalls(t *testing.T) {
	h := newLivenessHarness(t)
	for conn := ConnID(20); conn < 25; conn++ {
		if effects := h.advance(3600 * ms); countEffects(effects, "dial-a") != 1 || countEffects(effects, "released") != 0 {
			t.Fatalf("effects %q, want one dial and no release", effects)
		}
		closed := ""
		if conn > 20 {
			closed = fmt.Sprintf("close@%d ", conn-1)
		}
		h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: conn}), closed)
	}
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 1, Reason: ReasonNormal}), "released1@1 ")
	if effects := h.advance(20 * time.Second); countEffects(effects, "dial") != 0 {
		t.Errorf("effects %q, want no dial without established calls", effects)
	}
}

// A new process may take a server's address so fast that a connection to it is made between the resets of the former connections. Its
// messages show nothing about the calls of the former process.
func TestConnectionBetweenResetsProvesNothing(t *testing.T) {
	h := newLivenessHarness(t)
	h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 20})
	h.advance(time.Second)
	h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.step(ServerDown{Server: "a", Conn: 20, End: ConnEndReset})
	for range 9 {
		h.step(ServerReport{Server: "a", Conn: 12})
		if h.core.calls[1] == nil {
			return
		}
		h.advance(time.Second)
	}
	t.Error("the call of the former process is still established")
}

// A machine vanishes, and another process resets its connections when it takes the address. A connection made between the resets is no sign of
// life of the former one: its calls are timed from its last.
func TestCallsTimedFromConnectionBetweenResets(t *testing.T) {
	h := newLivenessHarness(t)
	h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 20})
	h.advance(2 * time.Second)
	h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.step(ServerDown{Server: "a", Conn: 12, End: ConnEndReset})
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 13})
	h.step(ServerDown{Server: "a", Conn: 20, End: ConnEndReset})
	effects := h.advance(3 * time.Second)
	effects += h.step(ServerReport{Server: "a", Conn: 13}) + h.advance(2510*ms)
	if countEffects(effects, "released1@1") != 1 {
		t.Errorf("effects %q until 7.51 s after the last sign of life, want the release", effects)
	}
}

// The resets of one process's end come far apart, as one of its connections is read late, and a connection to the next process is made in
// between. It shows nothing about the calls of the former process, unless the connection that ends later has brought something since.
func TestResetsFarApartLeaveCallsOfDeadProcess(t *testing.T) {
	for name, outlives := range map[string]bool{"one process ends": false, "two connections of a live process": true} {
		t.Run(name, func(t *testing.T) {
			h := newLivenessHarness(t)
			h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 20})
			h.advance(time.Second)
			h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
			h.advance(20 * ms)
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
			h.advance(40 * ms)
			if outlives {
				h.step(ServerReport{Server: "a", Conn: 20})
			}
			h.advance(40 * ms)
			h.step(ServerDown{Server: "a", Conn: 20, End: ConnEndReset})
			for range 9 {
				h.step(ServerReport{Server: "a", Conn: 12})
				h.advance(time.Second)
			}
			if stands := h.core.calls[1] != nil; stands != outlives {
				t.Errorf("the call stands: %v, want %v", stands, outlives)
			}
		})
	}
}

// A connection to a process is made just after another one was reset, and the process dies within the window of that reset. Its calls on
// the new connection are over as well.
func TestCallsOnConnectionMadeJustBeforeProcessDied(t *testing.T) {
	for name, order := range map[string][]ConnID{"new connection ends first": {12, 20}, "new connection ends last": {20, 12}} {
		t.Run(name, func(t *testing.T) {
			h := newLivenessHarness(t)
			h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 20})
			h.step(ServerAnswer{Server: "a", Conn: 20, ID: 99}) // a sign of life
			h.advance(time.Second)
			h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
			h.core.servers["a"].conns[0].lastOfferAt = h.now // so that the set-up takes the new connection
			h.wantEffects(h.setUp(2, 9*time.Second), "offer2@12 ")
			h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 2}), "answered2@1 ")
			h.advance(45 * ms)
			for _, conn := range order {
				h.step(ServerDown{Server: "a", Conn: conn, End: ConnEndReset})
			}
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 13})
			for range 8 {
				h.step(ServerReport{Server: "a", Conn: 13})
				h.advance(time.Second)
			}
			if h.core.calls[1] != nil || h.core.calls[2] != nil {
				t.Errorf("calls still established: 1 %v, 2 %v", h.core.calls[1] != nil, h.core.calls[2] != nil)
			}
		})
	}
}

// The calls of a protocol whose associations end and begin apart from its calls outlive an outage that is over in time.
func TestAssociationOutageCutsNoCall(t *testing.T) {
	h := newLivenessHarness(t)
	h.core.limits.Transient = nil
	h.advance(time.Second)
	h.step(ServerDown{Server: "a", Conn: 10})
	h.step(ServerDown{Server: "a", Address: "a:1"})
	h.advance(3 * time.Second)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	if effects := h.advance(20 * time.Second); countEffects(effects, "released") != 0 {
		t.Errorf("effects %q, want no release", effects)
	}
}

// A server that vanishes again while its calls are in doubt after a first outage is noticed as soon as one that vanishes the first time.
func TestSecondOutageIsTimedFromLastSignOfLife(t *testing.T) {
	h := newReconnectedHarness(t)
	effects := h.advance(3950*ms) + h.step(ServerDown{Server: "a", Address: "a:1"}) + h.advance(3550*ms)
	if countEffects(effects, "released1@1") != 1 || countEffects(effects, "released2@1") != 1 {
		t.Errorf("effects %q, want both calls released 7.5 s after the last sign of life", effects)
	}
}

// TestOutageDuringDoubtForgotten guards against calls that are never released, as their server vanishes while older calls are in doubt, and a
// new process is there before these are given up.
func TestOutageDuringDoubtForgotten(t *testing.T) {
	h := newReconnectedHarness(t) // call 1 is in doubt, its server's last sign of life at 0 s; call 2 is established at 3.6 s
	h.step(ServerDown{Server: "a", Conn: 12})
	h.step(ServerDown{Server: "a", Address: "a:1"})
	h.advance(3 * time.Second)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 13})
	if effects := h.advance(950 * ms); countEffects(effects, "released1@1") != 1 || countEffects(effects, "released2") != 0 {
		t.Errorf("effects %q at 7.55 s, want the release of call 1 alone", effects)
	}
	h.step(ServerReport{Server: "a", Conn: 13})
	if effects := h.advance(3600 * ms); countEffects(effects, "released2@1") != 1 {
		t.Errorf("effects %q at 11.15 s, want the release of call 2", effects)
	}
}

// A process that outlives a second outage ends the doubt about the calls established before that outage, not about older ones.
func TestProofEndsLaterDoubtOnly(t *testing.T) {
	h := newReconnectedHarness(t)
	h.step(ServerDown{Server: "a", Conn: 12})
	h.step(ServerDown{Server: "a", Address: "a:1"})
	h.advance(3 * time.Second)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 13})
	h.setUp(3, 9*time.Second)
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 13, ID: 3}), "answered3@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 13, ID: 2, Reason: ReasonNormal}), "released2@1 ")
	if effects := h.advance(950 * ms); countEffects(effects, "released1@1") != 1 || countEffects(effects, "released") != 1 {
		t.Errorf("effects %q, want the release of call 1 alone", effects)
	}
}

// TestLateNewsOfRestartCutsNewCalls guards against calls of a restarted server that are cut when the list names the restart late, although they
// were established on the new process.
func TestLateNewsOfRestartCutsNewCalls(t *testing.T) {
	h := newLivenessHarness(t)
	h.core.calls[1].setUpConn.madeAt -= time.Minute // long before the new process started
	h.advance(time.Second)
	h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
	startedAt := h.now
	h.advance(100 * ms)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.setUp(2, 9*time.Second)
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 2}), "answered2@1 ")
	h.advance(time.Second)
	list := ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseReady, Started: startedAt}}}
	h.wantEffects(h.step(list), "released1@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 2, Reason: ReasonNormal}), "released2@1 ")
	list.Servers[0].Address, list.Servers[0].Started = "a:2", h.now-time.Second
	if effects := h.step(list); countEffects(effects, "closeconn@12") != 1 {
		t.Errorf("effects %q, want the connection to the former address closed", effects)
	}
}

// TestDrainWithoutStartCutsCalls guards against calls that are cut, and a start that is forgotten, when a server that started late drains and the
// news names no start.
func TestDrainWithoutStartCutsCalls(t *testing.T) {
	h := newHarness(t)
	startedAt := h.now - time.Minute
	entry := Server{Name: "a", Address: "a:1", Phase: elmseam.PhaseReady, Started: startedAt}
	h.step(ServerList{Servers: []Server{entry}})
	h.setUp(1, 9*time.Second)
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 1}), "answered1@1 ")
	h.advance(time.Second)
	entry.Phase, entry.Started = elmseam.PhaseDraining, 0
	if effects := h.step(ServerList{Servers: []Server{entry}}); countEffects(effects, "released") != 0 || countEffects(effects, "closeconn") != 0 {
		t.Errorf("effects %q of a drain, want the call and its connection to stay", effects)
	}
	if h.core.servers["a"].Started != startedAt {
		t.Error("the start of the process is forgotten")
	}
}

// TestReleaseLostOnClosedConnection guards against releases that are read seconds late: a process that hung writes them to connections that were
// closed here as dead, and repeats them only on the next one that is made.
func TestReleaseLostOnClosedConnection(t *testing.T) {
	h := newLivenessHarness(t)
	h.setUp(2, 9*time.Second)
	h.advance(3 * time.Second)
	h.step(ServerSilent{Server: "a", Conn: 10, SilentFor: 3 * time.Second})
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.advance(time.Second)
	effects := h.step(ServerReport{Server: "a", Conn: 12}) + h.advance(500*ms)
	if countEffects(effects, "dial-a") != 1 {
		t.Errorf("effects %q after the process goes on, want a new connection for its releases", effects)
	}
}
