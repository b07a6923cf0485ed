package core

import (
	"runtime"
	"testing"
	"time"
	"unsafe"

	"elmseam"
)

// enableDrains sets the limits of drains and makes the connections of protocol "f" transient.
func (h *harness) enableDrains() {
	limits := &h.core.limits
	limits.DrainGrace, limits.DrainRefuseAfter, limits.DrainCheckInterval, limits.DrainIdle = 500*ms, 1500*ms, 20*ms, 20*ms
	limits.Transient = map[Protocol]bool{"f": true}
}

// A drain closes the connections without a call after DrainGrace, when the callers' front end has noticed the drain. A connection with an
// established call stays open for the release of that call, and set-ups on it are refused after DrainRefuseAfter. A second Drain event
// changes nothing, and after the end of the drain no connection is closed.
func TestDrain(t *testing.T) {
	h := newHarness(t)
	h.enableDrains()
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.step(CallerUp{Conn: 3, Protocol: "m"}) // connections of a protocol that is not transient stay
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	h.wantEffects(h.step(Drain{On: true}), "")
	h.wantEffects(h.advance(300*ms), "")
	h.wantEffects(h.setUp(8, 5*time.Second), "offer8@10 ") // until the front end notices the drain, its set-ups are served
	h.wantEffects(h.step(Drain{On: true}), "")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 8}), "answered8@1 ")
	h.wantEffects(h.advance(210*ms), "close@2 ")
	h.wantEffects(h.advance(time.Second), "")
	h.wantEffects(h.setUp(9, 5*time.Second), "rejected9@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 8, Reason: ReasonNormal}), "released8@1 ")
	h.wantEffects(h.advance(time.Second), "")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonNormal}), "released7@1 ")
	h.wantEffects(h.advance(50*ms), "close@1 ")
	h.step(Drain{})
	h.step(CallerUp{Conn: 4, Protocol: "f"})
	h.wantEffects(h.advance(time.Minute), "")
	if stats := h.core.Stats(h.now); !stats.Ready || stats.Draining {
		t.Errorf("stats after the drain: %+v", stats)
	}
}

// A release whose caller has no connection waits for a connection that brings a set-up. A connection without a set-up may be a health
// check of the front end, where the release would be lost.
func TestReleaseWaitsForUsedCallerConnection(t *testing.T) {
	h := newHarness(t)
	h.enableDrains()
	h.setUp(7, 5*time.Second)
	h.step(ServerAnswer{Server: "a", ID: 7})
	h.step(CallerDown{Conn: 1})
	h.wantEffects(h.step(CallerUp{Conn: 2, Protocol: "f"}), "")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonNormal}), "")
	h.wantEffects(h.step(CallerUp{Conn: 3, Protocol: "f"}), "")
	h.wantEffects(h.step(SetUp{ID: 8, From: 3, Cell: 0, TimeLeft: 5 * time.Second, At: h.now}), "released7@3 offer8@10 ")
}

// TestWaitingReleasesNeverExpire guards against releases that are sent long after their calls have ended, or kept without a limit.
func TestWaitingReleasesNeverExpire(t *testing.T) {
	h := newHarness(t)
	h.enableDrains()
	h.core.limits.MaxCallerReleases = 2
	for id := ID(7); id <= 9; id++ {
		h.setUp(id, 5*time.Second)
		h.step(ServerAnswer{Server: "a", ID: id})
	}
	h.step(CallerDown{Conn: 1})
	for id := ID(7); id <= 9; id++ {
		h.step(ServerEnd{Server: "a", ID: id, Reason: ReasonNormal})
	}
	if waiting := h.core.Retained().PendingReleases; waiting != 2 {
		t.Errorf("%d releases wait, want 2", waiting)
	}
	for conn := ConnID(2); conn < 7; conn++ {
		h.advance(20 * time.Second)
		h.step(CallerUp{Conn: conn, Protocol: "m"})
	}
	h.step(CallerUp{Conn: 8, Protocol: "f"})
	h.wantEffects(h.step(SetUp{ID: 10, From: 8, Cell: 0, TimeLeft: 5 * time.Second, At: h.now}), "offer10@10 ")
}

// The counters count each set-up once, by its class and final answer. The counters of a class that a new configuration drops are kept.
// Servers that get no new set-ups count as unhealthy.
func TestStats(t *testing.T) {
	h := newHarness(t)
	h.setUp(1, 5*time.Second)
	h.step(OfferWritten{Server: "a", ID: 1})
	h.step(ServerAnswer{Server: "a", ID: 1})
	h.step(SetUp{ID: 2, From: 1, Cell: 0, TimeLeft: ms, At: h.now}) // too little time is left to send the set-up
	h.setUp(3, 400*ms)
	h.advance(time.Second) // the deadline of call 3 passes
	h.setUp(4, 5*time.Second)
	h.step(ServerEnd{Server: "a", ID: 4, Reason: ReasonFull, Refusal: elmseam.RefusalProcessor})
	stats := h.core.Stats(h.now)
	if want := (ClassStats{Answered: 1, Deferred: 1, Errored: 1}); stats.Classes[0] != want {
		t.Errorf("stats of the class %+v, want %+v", stats.Classes[0], want)
	}
	if stats.Sends != 1 || stats.Current != 2 || stats.ClusterSize != 2 || stats.ClusterUnhealthy != 1 || !stats.Ready {
		t.Errorf("stats %+v, want one offer sent, two current calls, and one of two servers unhealthy", stats)
	}
	h.step(Misconfigured{})
	h.step(Configured{Settings: elmseam.Settings{Classes: make([]elmseam.Class, 2), MaxAttempts: 1, OwnCell: -1}, Limits: h.core.limits})
	h.sendServerList(elmseam.PhaseDraining, elmseam.PhaseGone)
	stats = h.core.Stats(h.now)
	if len(stats.Classes) != 2 || stats.Classes[0].Answered != 1 || stats.ConfigsLoaded != 1 || stats.ConfigsInvalid != 1 {
		t.Errorf("stats after new settings %+v, want the counters of both classes and of both configurations", stats)
	}
	if stats.ClusterSize != 1 || stats.ClusterUnhealthy != 1 || stats.Ready {
		t.Errorf("stats with one draining server %+v, want the server unhealthy and the process not ready", stats)
	}
}

// A successor records the set-ups that the predecessor has not answered: it passes one answer on for each, on the connection of the
// caller, and rejects them when the predecessor has ended. Give-ups and releases of calls that the successor does not know go to the
// predecessor while it exists; without a predecessor a give-up would go to every server.
func TestSuccessorAnswersForPredecessor(t *testing.T) {
	h := newHarness(t)
	h.enableDrains()
	h.step(Predecessor{Present: true})
	h.wantEffects(h.step(CallerUp{Conn: 5, Protocol: "f", Used: true, Open: []ID{1, 2, 3}, Established: []ID{4, 5}}), "")
	relay := func(e Effect) string { return h.step(Relayed{Protocol: "f", Conn: 5, Effect: e}) }
	h.wantEffects(relay(Answered{ID: 1}), "answered1@5 ")
	h.wantEffects(relay(Answered{ID: 1}), "")
	h.wantEffects(relay(Rejected{ID: 1}), "")
	h.wantEffects(relay(Released{ID: 1}), "released1@5 ")
	h.wantEffects(relay(Released{ID: 1}), "")
	h.wantEffects(h.step(SetUp{ID: 2, From: 5, TimeLeft: time.Second, At: h.now}), "rejected2@5 ") // the id belongs to an open set-up of the predecessor
	h.wantEffects(h.step(CallerEnd{ID: 3, From: 5}), "to-predecessor ")
	h.wantEffects(relay(Rejected{ID: 3}), "")
	h.wantEffects(relay(Released{ID: 3}), "") // crossed the give-up of the caller, who expects no release
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 4, Reason: ReasonNormal}), "to-predecessor ")
	h.wantEffects(h.step(Predecessor{}), "rejected2@5 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 5, Reason: ReasonNormal}), "released5@5 ")
	h.step(EndedCalls{IDs: []ID{9}})
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 9, Reason: ReasonNormal}), "")
}

// A predecessor stops only when every connection is transferred and nothing is pending. A transfer names the open set-ups and the
// established calls of the connection, and a release whose caller has no connection here goes to the successor.
func TestHandOver(t *testing.T) {
	h := newHarness(t)
	h.enableDrains()
	h.core.limits.HandOverGrace, h.core.limits.MaxTransferredCalls = 100*ms, 10
	h.setUp(1, 5*time.Second)
	h.step(ServerAnswer{Server: "a", ID: 1})
	h.setUp(2, 5*time.Second)
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.wantEffects(h.step(HandOver{}), "stopreading@1 stopreading@2 ")
	h.wantEffects(h.step(HandOver{}), "")
	h.wantEffects(h.step(CallerUp{Conn: 3, Protocol: "f"}), "stopreading@3 ") // accepted before the hand-over began
	h.wantEffects(h.step(ReadingStopped{Conn: 1}), "transfer@1[2][1] ")
	h.wantEffects(h.step(ReadingStopped{Conn: 2})+h.step(Transferred{Conn: 2}), "transfer@2[][] ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 2}), "answered2@1 ")
	h.wantEffects(h.advance(time.Second), "")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 2, Reason: ReasonNormal}), "released2@1 ")
	h.step(CallerDown{Conn: 1})
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 1, Reason: ReasonNormal}), "to-successor ")
	h.wantEffects(h.step(ReadingStopped{Conn: 3}), "transfer@3[][] ")
	h.wantEffects(h.advance(100*ms), "") // the transfer is not confirmed yet
	h.wantEffects(h.step(Transferred{Conn: 3}), "stopped ")
}

// A caller releases its call while the server has no connection. The release goes out on the next connection, which is dialled
// even if the server drains and nothing else would need it. Guards against a server that keeps a line occupied without a caller. A
// server that is gone gets no release.
func TestReleaseWithoutServerConnection(t *testing.T) {
	h := newHarness(t)
	h.core.limits.MaxPendingReleases = 8
	h.setUp(7, 5*time.Second)
	h.step(ServerAnswer{Server: "a", ID: 7})
	h.sendServerList(elmseam.PhaseDraining, elmseam.PhaseReady)
	h.step(ServerDown{Server: "a", Conn: 10})
	h.wantEffects(h.step(CallerEnd{ID: 7, From: 1}), "")
	h.advance(time.Second)
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "end7@12 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonNormal}), "") // crossed the release of the caller: not passed on
	if retained := h.core.Retained(); retained != (Retained{}) {
		t.Errorf("%+v is kept", retained)
	}
}

// Connections of callers that came and went at full speed made the core look through and sort all calls each time, so that others waited for
// seconds while some thousand calls stood. The end of a connection must not cost more the more calls of others there are.
func TestEndOfConnectionCostsNoLookAtOtherCalls(t *testing.T) {
	const otherCalls, connections = 2000, 100
	for name, used := range map[string]bool{"unused": false, "used": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for id := ID(1); id <= otherCalls; id++ {
				h.core.calls[id] = &call{SetUp: SetUp{ID: id, From: 1}, controllerID: elmseam.CallID(10000 + id), answered: true}
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for conn := ConnID(1000); conn < 1000+connections; conn++ {
				h.core.Step(h.now, CallerUp{Conn: conn, Protocol: "f", Used: used})
				h.core.Step(h.now, CallerDown{Conn: conn})
			}
			runtime.ReadMemStats(&after)
			listOfCalls := uint64(otherCalls * unsafe.Sizeof(&call{}))
			if size := (after.TotalAlloc - before.TotalAlloc) / connections; size >= listOfCalls {
				t.Errorf("each end of a connection takes %d bytes, as much as a list of the other calls", size)
			}
		})
	}
}
