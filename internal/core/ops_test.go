package core

import (
	"testing"
	"time"

	"elmseam"
)

func (r *rig) enableDrains() {
	limits := &r.core.limits
	limits.DrainGrace, limits.DrainRefuseAfter, limits.DrainCheckInterval, limits.DrainIdle = 500*ms, 1500*ms, 20*ms, 20*ms
	limits.Transient = map[Protocol]bool{"f": true}
}

// A drain closes the connections that carry no call once the front has learned of it; one whose call stands is left
// until that is released there, as nobody else would hear of it, and takes nothing new after a while. To ask twice is
// to ask once, and a drain that has ended closes nothing.
func TestDrain(t *testing.T) {
	r := newRig(t)
	r.enableDrains()
	r.step(CallerUp{Conn: 2, Protocol: "f"})
	r.step(CallerUp{Conn: 3, Protocol: "m"}) // associations of the other front stay
	r.want(r.setUp(7, 5*time.Second), "offer7@10 ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	r.want(r.step(Drain{On: true}), "")
	r.want(r.advance(300*ms), "")
	r.want(r.setUp(8, 5*time.Second), "offer8@10 ") // the front sends new ones for a while
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
		t.Errorf("figures after the drain: %+v", stats)
	}
}

// A release that finds no connection of its caller waits for one that is used: on one that has asked for nothing, a
// front's test, it would be lost.
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

// The figures count each request once, by its final answer, in its class; a class that a new configuration drops
// keeps its counts, and servers that are avoided show.
func TestStats(t *testing.T) {
	r := newRig(t)
	r.setUp(1, 5*time.Second)
	r.step(OfferWritten{Server: "a", ID: 1})
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.step(SetUp{ID: 2, From: 1, Cell: 0, TimeLeft: ms, At: r.now}) // too late to be sent
	r.setUp(3, 400*ms)
	r.advance(time.Second) // its time is up
	r.setUp(4, 5*time.Second)
	r.step(ServerEnd{Server: "a", ID: 4, Reason: Full, Refusal: elmseam.RefusalProcessor})
	stats := r.core.Stats(r.now)
	if want := (ClassStats{Answered: 1, Deferred: 1, Errored: 1}); stats.Classes[0] != want {
		t.Errorf("figures of the class %+v, want %+v", stats.Classes[0], want)
	}
	if stats.Sends != 1 || stats.Current != 2 || stats.ClusterSize != 2 || stats.ClusterUnhealthy != 1 || !stats.Ready {
		t.Errorf("figures %+v", stats)
	}
	r.step(Misconfigured{})
	r.step(Configured{Settings: elmseam.Settings{Classes: make([]elmseam.Class, 2), MaxAttempts: 1, OwnCell: -1}, Limits: r.core.limits})
	r.list(elmseam.Draining, elmseam.Gone)
	stats = r.core.Stats(r.now)
	if len(stats.Classes) != 2 || stats.Classes[0].Answered != 1 || stats.ConfigsLoaded != 1 || stats.ConfigsInvalid != 1 {
		t.Errorf("figures after a reload %+v", stats)
	}
	if stats.ClusterSize != 1 || stats.ClusterUnhealthy != 1 || stats.Ready {
		t.Errorf("figures with one server that drains %+v", stats)
	}
}

// A successor keeps account of the set-ups that the older process has open: it passes one answer on for each, on the
// connection they came on, and answers those that nobody can answer any more. What it doesn't know it asks of the older
// process as long as that is there, where it would release it at every server otherwise.
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
	r.want(r.step(SetUp{ID: 2, From: 5, TimeLeft: time.Second, At: r.now}), "rejected2@5 ") // its id is in use
	r.want(r.step(CallerEnd{ID: 3, From: 5}), "to-predecessor ")
	r.want(relay(Rejected{ID: 3}), "")
	r.want(relay(Released{ID: 3}), "") // it crossed: the caller has left
	r.want(r.step(ServerEnd{Server: "a", ID: 4, Reason: Normal}), "to-predecessor ")
	r.want(r.step(Predecessor{}), "rejected2@5 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 5, Reason: Normal}), "released5@5 ")
	r.step(EndedCalls{IDs: []ID{9}})
	r.want(r.step(ServerEnd{Server: "a", ID: 9, Reason: Normal}), "")
}

// A process that is taken over from stops only when no connection is left to hand on and nothing is owed. It names what
// is open on each, and a release that finds no connection goes to the successor.
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
	r.want(r.step(CallerUp{Conn: 3, Protocol: "f"}), "stopreading@3 ") // it was on its way in
	r.want(r.step(ReadingStopped{Conn: 1}), "transfer@1[2][1] ")
	r.want(r.step(ReadingStopped{Conn: 2})+r.step(Transferred{Conn: 2}), "transfer@2[][] ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 2}), "answered2@1 ")
	r.want(r.advance(time.Second), "")
	r.want(r.step(ServerEnd{Server: "a", ID: 2, Reason: Normal}), "released2@1 ")
	r.step(CallerDown{Conn: 1})
	r.want(r.step(ServerEnd{Server: "a", ID: 1, Reason: Normal}), "to-successor ")
	r.want(r.step(ReadingStopped{Conn: 3}), "transfer@3[][] ")
	r.want(r.advance(100*ms), "") // the successor hasn't got it yet
	r.want(r.step(Transferred{Conn: 3}), "stopped ")
}

// A caller hangs up while its call's server has no connection: the server is told on the next one, also where it drains
// and nothing else would make one. It went on holding a line for nobody. One that is gone, or another process, isn't told.
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
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "") // crossed: nobody is told
	if retained := r.core.Retained(); retained != (Retained{}) {
		t.Errorf("%+v is kept", retained)
	}
}
