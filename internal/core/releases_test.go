package core

import (
	"testing"
	"time"

	"elmseam"
)

// newRestartedHarness returns a harness as after the start of a process: callers of the transient protocol "f" have no connection yet.
func newRestartedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.enableDrains()
	h.core.limits.MaxPendingReleases = 8
	h.core.limits.CallerQuietAfter = 500 * ms
	h.step(CallerDown{Conn: 1})
	return h
}

// TestReleaseBeforeFirstCallerLost guards against calls that never end for their callers: a server's release of a call from before the
// start was lost if it came before a caller had connected.
func TestReleaseBeforeFirstCallerLost(t *testing.T) {
	h := newRestartedHarness(t)
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 99, Reason: ReasonNormal}), "")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 99, Reason: ReasonNormal}), "") // repeated on the next connection
	h.wantEffects(h.step(CallerUp{Conn: 2, Protocol: "f"}), "")
	h.wantEffects(h.setUpFrom(2, 7), "released99@2 offer7@10 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 99, Reason: ReasonNormal}), "")
}

// TestReleaseWithOtherProtocolConnected guards against the same loss while only callers of another protocol are connected, which do not
// have the call.
func TestReleaseWithOtherProtocolConnected(t *testing.T) {
	h := newRestartedHarness(t)
	h.step(CallerUp{Conn: 2, Protocol: "m"})
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 99, Reason: ReasonReset}), "released99@2 ")
	h.step(CallerUp{Conn: 3, Protocol: "f"})
	h.wantEffects(h.step(CallerEnd{ID: 5, From: 3}), "released99@3 end5@10 end5@11 ")
}

// TestReleaseOfRemovedServerLost guards against the loss of a release that is read just when the server leaves the list.
func TestReleaseOfRemovedServerLost(t *testing.T) {
	h := newRestartedHarness(t)
	h.sendServerList(elmseam.PhaseGone, elmseam.PhaseReady)
	h.step(ServerEnd{Server: "a", Conn: 10, ID: 99, Reason: ReasonNormal})
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.wantEffects(h.step(CallerEnd{ID: 5, From: 2}), "released99@2 end5@11 ")
}

// TestReleaseWaitsForCallersThatMakeNoCalls guards against releases that wait although callers are connected: a connection that has been
// quiet for CallerQuietAfter is a caller's, also if it has brought no call yet. A health check tests again and again or closes.
func TestReleaseWaitsForCallersThatMakeNoCalls(t *testing.T) {
	h := newRestartedHarness(t)
	h.step(ServerEnd{Server: "a", Conn: 10, ID: 99, Reason: ReasonNormal})
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	for range 20 {
		h.step(CallerTested{Conn: 2})
		h.wantEffects(h.advance(100*ms), "")
	}
	h.wantEffects(h.advance(2*time.Second), "") // a health check that has become slow
	h.step(CallerUp{Conn: 3, Protocol: "f"})
	h.wantEffects(h.advance(300*ms), "")
	h.step(CallerTested{Conn: 3})
	h.wantEffects(h.advance(400*ms), "")
	h.wantEffects(h.advance(400*ms), "released99@3 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 98, Reason: ReasonNormal}), "released98@3 ")
}

// TestReleasesFloodFirstCaller guards against a connection that is closed as stalled because all releases that have waited go out at once.
func TestReleasesFloodFirstCaller(t *testing.T) {
	h := newRestartedHarness(t)
	h.core.limits.MaxCallerReleases = 3 * maxReleasesPerFlush
	for id := ID(1); id <= 4*maxReleasesPerFlush; id++ {
		h.step(ServerEnd{Server: "a", Conn: 10, ID: id, Reason: ReasonNormal})
	}
	if stats := h.core.Stats(h.now).Failures; stats.ReleasesWaiting != 3*maxReleasesPerFlush || stats.ReleasesDropped != maxReleasesPerFlush {
		t.Errorf("%d releases wait and %d are dropped", stats.ReleasesWaiting, stats.ReleasesDropped)
	}
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	effects := h.setUpFrom(2, 1<<40)
	if sent := countEffects(effects, "released"); sent != maxReleasesPerFlush {
		t.Errorf("%d releases at once, want %d", sent, maxReleasesPerFlush)
	}
	if sent := countEffects(h.advance(time.Second), "released"); sent != 2*maxReleasesPerFlush {
		t.Errorf("%d releases within a second, want the remaining %d", sent, 2*maxReleasesPerFlush)
	}
}

// TestCallerReleaseWithoutServerConnectionLost guards against calls that stand at a server for ever: a caller's release of a call from before
// the start went only to the servers that had a connection just then.
func TestCallerReleaseWithoutServerConnectionLost(t *testing.T) {
	h := newRestartedHarness(t)
	h.recordDials = true
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.step(ServerDown{Server: "b", Conn: 11})
	h.advance(time.Millisecond)
	h.step(ServerDown{Server: "b", Address: "b:1"})
	h.wantEffects(h.step(CallerEnd{ID: 99, From: 2}), "end99@10 ")
	h.wantEffects(h.step(CallerEnd{ID: 99, From: 2}), "") // repeated
	h.wantEffects(h.step(ServerUp{Server: "b", Address: "b:1", Conn: 12}), "end99@12 ")
	h.wantEffects(h.step(ServerEnd{Server: "b", Conn: 12, ID: 99, Reason: ReasonNormal}), "") // crossed the release of the caller
}

// TestCallerReleaseBeforeServerListed guards against the same for a server that comes into the list only after the release, as when the
// list of the start is old.
func TestCallerReleaseBeforeServerListed(t *testing.T) {
	for _, phase := range []elmseam.Phase{elmseam.PhaseReady, elmseam.PhaseDraining} {
		h := newRestartedHarness(t)
		h.recordDials = true
		h.core.limits.MaxPendingReleases = 2
		h.step(CallerUp{Conn: 2, Protocol: "f"})
		h.step(CallerEnd{ID: 96, From: 2})
		h.advance(61 * time.Second) // EndedCallTTL
		for id := ID(97); id <= 99; id++ {
			h.step(CallerEnd{ID: id, From: 2})
		}
		h.wantEffects(h.step(ServerList{Servers: []Server{{Name: "c", Address: "c:1", Cell: 2, Phase: phase}}}), "dial-c ")
		h.wantEffects(h.step(ServerUp{Server: "c", Address: "c:1", Conn: 13}), "end98@13 end99@13 ")
	}
}

// TestWaitingServerReleaseDroppedByLateList guards against a call that stands at the new process of a server for ever: a caller's release
// waited for a connection, and was dropped when the list named the restart of the server, later than the call began.
func TestWaitingServerReleaseDroppedByLateList(t *testing.T) {
	h := newRestartedHarness(t)
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	restartedAt := h.now
	h.advance(time.Second)
	h.setUpFrom(2, 7)
	h.step(ServerAnswer{Server: "a", Conn: 10, ID: 7})
	h.step(ServerDown{Server: "a", Conn: 10})
	h.step(CallerEnd{ID: 7, From: 2})
	h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseReady, Started: restartedAt}}})
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "end7@12 ")
}

// TestLateAnswerOnUnusableConnectionNotReleased guards against a call that stands at its server without a caller: the answer came after the
// set-up had ended, on a connection that takes nothing any more.
func TestLateAnswerOnUnusableConnectionNotReleased(t *testing.T) {
	h := newRestartedHarness(t)
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.setUpFrom(2, 7) // keeps the connection open
	h.step(ServerMalformed{Server: "a", Conn: 10})
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 99}), "")
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "end99@12 ")
}

// TestStopDropsWaitingServerRelease guards against a stop that ends the process while a caller's release still waits for the connection to a
// server that is being dialled. A server that can't be reached delays no stop.
func TestStopDropsWaitingServerRelease(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		h := newRestartedHarness(t)
		h.step(CallerUp{Conn: 2, Protocol: "f"})
		h.step(ServerDown{Server: "b", Conn: 11})
		h.step(CallerEnd{ID: 99, From: 2})
		h.step(Stop{})
		h.wantEffects(h.advance(800*ms), "")
		if reachable {
			h.wantEffects(h.step(ServerUp{Server: "b", Address: "b:1", Conn: 12}), "end99@12 close@2 stopped ")
		} else {
			h.wantEffects(h.step(ServerDown{Server: "b", Address: "b:1"}), "close@2 stopped ")
		}
	}
}

// TestDrainingServerWithoutConnection guards against calls that never end for their callers: they stand from before the start at a server
// that drains, which sends their releases on the next connection, and none was made.
func TestDrainingServerWithoutConnection(t *testing.T) {
	h := newRestartedHarness(t)
	h.recordDials = true
	h.core.limits.Transient = map[Protocol]bool{"f": true, "": true}
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	drained := Server{Name: "c", Address: "c:1", Phase: elmseam.PhaseDraining}
	h.wantEffects(h.step(ServerList{Servers: []Server{drained}}), "dial-c ")
	h.wantEffects(h.step(ServerUp{Server: "c", Address: "c:1", Conn: 13}), "")
	h.step(ServerEnd{Server: "c", Conn: 13, ID: 99, Reason: ReasonNormal})
	h.wantEffects(h.step(CallerEnd{ID: 98, From: 2}), "released99@2 end98@10 end98@11 end98@13 ")
	h.step(ServerDown{Server: "c", Conn: 13})
	h.wantEffects(h.advance(time.Millisecond), "dial-c ")
	h.step(ServerUp{Server: "c", Address: "c:1", Conn: 14})
	h.wantEffects(h.setUpFrom(2, 7), "offer7@10 ") // it gets no set-up
	h.advance(61 * time.Second)                    // EndedCallTTL: the release of call 98 does not wait for server d
	started := Server{Name: "d", Address: "d:1", Phase: elmseam.PhaseDraining, Started: h.now}
	h.wantEffects(h.step(ServerList{Servers: []Server{started}}), "") // it started after this process, which knows all calls there
}

// setUpFrom sends a set-up on a connection.
func (h *harness) setUpFrom(conn ConnID, id ID) string {
	return h.step(SetUp{ID: id, From: conn, TimeLeft: 5 * time.Second, At: h.now})
}
