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
	h.wantEffects(h.step(SetUp{ID: 7, From: 2, TimeLeft: 5 * time.Second, At: h.now}), "released99@2 offer7@10 ")
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
	effects := h.step(SetUp{ID: 1 << 40, From: 2, TimeLeft: 5 * time.Second, At: h.now})
	if sent := countEffects(effects, "released"); sent != maxReleasesPerFlush {
		t.Errorf("%d releases at once, want %d", sent, maxReleasesPerFlush)
	}
	if sent := countEffects(h.advance(time.Second), "released"); sent != 2*maxReleasesPerFlush {
		t.Errorf("%d releases within a second, want the remaining %d", sent, 2*maxReleasesPerFlush)
	}
}
