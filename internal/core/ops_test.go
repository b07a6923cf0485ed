package core

import (
	"testing"
	"time"

	"elmseam"
)

// enableDrains sets the limits of drains and makes the connections of protocol "f" transient.
func (r *rig) enableDrains() {
	limits := &r.core.limits
	limits.DrainGrace, limits.DrainRefuseAfter, limits.DrainCheckInterval, limits.DrainIdle = 500*ms, 1500*ms, 20*ms, 20*ms
	limits.Transient = map[Protocol]bool{"f": true}
}

// A drain closes the connections without a call after DrainGrace, when the callers' front end has noticed the drain. A connection with an
// established call stays open for the release of that call, and set-ups on it are refused after DrainRefuseAfter. A second Drain event
// changes nothing, and after the end of the drain no connection is closed.
func TestDrain(t *testing.T) {
	r := newRig(t)
	r.enableDrains()
	r.step(CallerUp{Conn: 2, Protocol: "f"})
	r.step(CallerUp{Conn: 3, Protocol: "m"}) // connections of a protocol that is not transient stay
	r.want(r.setUp(7, 5*time.Second), "offer7@10 ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	r.want(r.step(Drain{On: true}), "")
	r.want(r.advance(300*ms), "")
	r.want(r.setUp(8, 5*time.Second), "offer8@10 ") // until the front end notices the drain, its set-ups are served
	r.want(r.step(Drain{On: true}), "")
	r.want(r.step(ServerAnswer{Server: "a", ID: 8}), "answered8@1 ")
	r.want(r.advance(210*ms), "close@2 ")
	r.want(r.advance(time.Second), "")
	r.want(r.setUp(9, 5*time.Second), "rejected9@1 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 8, Reason: Normal}), "released8@1 ")
	r.want(r.advance(time.Second), "")
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "released7@1 ")
	r.want(r.advance(50*ms), "close@1 ")
	r.step(Drain{})
	r.step(CallerUp{Conn: 4, Protocol: "f"})
	r.want(r.advance(time.Minute), "")
	if stats := r.core.Stats(r.now); !stats.Ready || stats.Draining {
		t.Errorf("stats after the drain: %+v", stats)
	}
}

// A release whose caller has no connection waits for a connection that brings a set-up. A connection without a set-up may be a health
// check of the front end, where the release would be lost.
func TestReleaseWaitsForUsedCallerConnection(t *testing.T) {
	r := newRig(t)
	r.enableDrains()
	r.setUp(7, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 7})
	r.step(CallerDown{Conn: 1})
	r.want(r.step(CallerUp{Conn: 2, Protocol: "f"}), "")
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "")
	r.want(r.step(CallerUp{Conn: 3, Protocol: "f"}), "")
	r.want(r.step(SetUp{ID: 8, From: 3, Cell: 0, TimeLeft: 5 * time.Second, At: r.now}), "released7@3 offer8@10 ")
}

// The counters count each set-up once, by its class and final answer. The counters of a class that a new configuration drops are kept.
// Servers that get no new set-ups count as unhealthy.
func TestStats(t *testing.T) {
	r := newRig(t)
	r.setUp(1, 5*time.Second)
	r.step(OfferWritten{Server: "a", ID: 1})
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.step(SetUp{ID: 2, From: 1, Cell: 0, TimeLeft: ms, At: r.now}) // too little time is left to send the set-up
	r.setUp(3, 400*ms)
	r.advance(time.Second) // the deadline of call 3 passes
	r.setUp(4, 5*time.Second)
	r.step(ServerEnd{Server: "a", ID: 4, Reason: Full, Refusal: elmseam.RefusalProcessor})
	stats := r.core.Stats(r.now)
	if want := (ClassStats{Answered: 1, Deferred: 1, Errored: 1}); stats.Classes[0] != want {
		t.Errorf("stats of the class %+v, want %+v", stats.Classes[0], want)
	}
	if stats.Sends != 1 || stats.Current != 2 || stats.ClusterSize != 2 || stats.ClusterUnhealthy != 1 || !stats.Ready {
		t.Errorf("stats %+v, want one offer sent, two current calls, and one of two servers unhealthy", stats)
	}
	r.step(Misconfigured{})
	r.step(Configured{Settings: elmseam.Settings{Classes: make([]elmseam.Class, 2), MaxAttempts: 1, OwnCell: -1}, Limits: r.core.limits})
	r.list(elmseam.Draining, elmseam.Gone)
	stats = r.core.Stats(r.now)
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
	r := newRig(t)
	r.enableDrains()
	r.step(Predecessor{Present: true})
	r.want(r.step(CallerUp{Conn: 5, Protocol: "f", HadSetUp: true, Open: []ID{1, 2, 3}, Established: []ID{4, 5}}), "")
	relay := func(e Effect) string { return r.step(Relayed{Protocol: "f", Conn: 5, Effect: e}) }
	r.want(relay(Answered{ID: 1}), "answered1@5 ")
	r.want(relay(Answered{ID: 1}), "")
	r.want(relay(Rejected{ID: 1}), "")
	r.want(relay(Released{ID: 1}), "released1@5 ")
	r.want(relay(Released{ID: 1}), "")
	r.want(r.step(SetUp{ID: 2, From: 5, TimeLeft: time.Second, At: r.now}), "rejected2@5 ") // the id belongs to an open set-up of the predecessor
	r.want(r.step(CallerEnd{ID: 3, From: 5}), "to-predecessor ")
	r.want(relay(Rejected{ID: 3}), "")
	r.want(relay(Released{ID: 3}), "") // crossed the give-up of the caller, who expects no release
	r.want(r.step(ServerEnd{Server: "a", ID: 4, Reason: Normal}), "to-predecessor ")
	r.want(r.step(Predecessor{}), "rejected2@5 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 5, Reason: Normal}), "released5@5 ")
	r.step(EndedCalls{IDs: []ID{9}})
	r.want(r.step(ServerEnd{Server: "a", ID: 9, Reason: Normal}), "")
}

// A predecessor stops only when every connection is transferred and nothing is pending. A transfer names the open set-ups and the
// established calls of the connection, and a release whose caller has no connection here goes to the successor.
func TestHandOver(t *testing.T) {
	r := newRig(t)
	r.enableDrains()
	r.core.limits.HandOverGrace, r.core.limits.MaxTransferredCalls = 100*ms, 10
	r.setUp(1, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.setUp(2, 5*time.Second)
	r.step(CallerUp{Conn: 2, Protocol: "f"})
	r.want(r.step(HandOver{}), "stopreading@1 stopreading@2 ")
	r.want(r.step(HandOver{}), "")
	r.want(r.step(CallerUp{Conn: 3, Protocol: "f"}), "stopreading@3 ") // accepted before the hand-over began
	r.want(r.step(ReadingStopped{Conn: 1}), "transfer@1[2][1] ")
	r.want(r.step(ReadingStopped{Conn: 2})+r.step(Transferred{Conn: 2}), "transfer@2[][] ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 2}), "answered2@1 ")
	r.want(r.advance(time.Second), "")
	r.want(r.step(ServerEnd{Server: "a", ID: 2, Reason: Normal}), "released2@1 ")
	r.step(CallerDown{Conn: 1})
	r.want(r.step(ServerEnd{Server: "a", ID: 1, Reason: Normal}), "to-successor ")
	r.want(r.step(ReadingStopped{Conn: 3}), "transfer@3[][] ")
	r.want(r.advance(100*ms), "") // the transfer is not confirmed yet
	r.want(r.step(Transferred{Conn: 3}), "stopped ")
}

// A caller releases its call while the server has no connection. The release goes out on the next connection, which is dialled
// even if the server drains and nothing else would need it. Guards against a server that keeps a line occupied without a caller. A
// server that is gone, or a new process of the server, gets no release.
func TestReleaseWithoutServerConnection(t *testing.T) {
	r := newRig(t)
	r.core.limits.MaxPendingReleases = 8
	r.setUp(7, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 7})
	r.list(elmseam.Draining, elmseam.Ready)
	r.step(ServerDown{Server: "a", Conn: 10})
	r.want(r.step(CallerEnd{ID: 7, From: 1}), "")
	r.advance(time.Second)
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "end7@12 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "") // crossed the release of the caller: not passed on
	if retained := r.core.Retained(); retained != (Retained{}) {
		t.Errorf("%+v is kept", retained)
	}
}
