package core

import (
	"testing"
	"time"

	"elmseam"
)

// A process came up at the address of one that had gone, and the list told of both later. Calls that had been set up there meanwhile, in the
// name of the former server, were cut towards their callers and stood at the new server for ever. They stand on with the new server, or are
// released there if it comes into the list after the former one has gone.
func TestCallsOfProcessAtReusedAddress(t *testing.T) {
	for name, inOneList := range map[string]bool{"in one list": true, "one after the other": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.core.limits.MaxPendingReleases, h.core.limits.Transient = 100, map[Protocol]bool{"": true}
			h.core.servers["a"].conns[0].madeAt -= time.Minute // long before the other server starts
			h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
			h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 7}), "answered7@1 ")
			h.advance(100 * ms)
			h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
			h.advance(100 * ms)
			next := Server{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now}
			h.advance(ms)
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
			h.wantEffects(h.setUp(8, 5*time.Second), "offer8@12 ")
			h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 8}), "answered8@1 ")
			h.advance(time.Second)
			gone := Server{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}
			if inOneList {
				h.wantEffects(h.step(ServerList{Servers: []Server{gone, next}}), "withdraw@12 released7@1 closeconn@12 ")
				h.wantEffects(h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13}), "")
				h.wantEffects(h.step(ServerEnd{Server: "c", Conn: 13, ID: 8, Reason: ReasonNormal}), "released8@1 ")
				return
			}
			h.wantEffects(h.step(ServerList{Servers: []Server{gone}}), "withdraw@12 released7@1 end8@12 released8@1 close@12 ")
			h.step(ServerList{Servers: []Server{next}})
			h.wantEffects(h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13}), "end8@13 ")
		})
	}
}

// A set-up is out on a connection that leads to the next server's process when the list tells of it. The answer crosses the close of the
// connection, and the call is released there. A call that has been established again meanwhile is left alone.
func TestAnswerCrossesCloseAtReusedAddress(t *testing.T) {
	for name, inOneList := range map[string]bool{"in one list": true, "one after the other": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.core.limits.MaxPendingReleases, h.core.limits.Transient = 100, map[Protocol]bool{"": true}
			next := Server{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now - ms}
			gone := Server{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}
			h.advance(100 * ms)
			h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
			if inOneList {
				h.wantEffects(h.step(ServerList{Servers: []Server{gone, next}}), "withdraw@10 closeconn@10 ")
				h.wantEffects(h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13}), "end7@13 ")
				return
			}
			h.wantEffects(h.step(ServerList{Servers: []Server{gone}}), "withdraw@10 closeconn@10 ")
			h.wantEffects(h.advance(201*ms), "offer7@11 ")
			h.step(ServerList{Servers: []Server{next}})
			h.wantEffects(h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13}), "end7@13 ")
			h.wantEffects(h.step(ServerAnswer{Server: "b", Conn: 11, ID: 7}), "answered7@1 ")
			later := Server{Name: "d", Address: "a:1", Cell: 3, Phase: elmseam.PhaseReady, Started: h.now - ms}
			h.step(ServerList{Servers: []Server{later}})
			h.wantEffects(h.step(ServerUp{Server: "d", Address: "a:1", Conn: 14}), "")
		})
	}
}

// Two servers have one address for a while, as the list names the next one before the former one's end. The process releases a call that was
// offered to the former one on a connection of the next.
func TestReleaseOnConnectionOfServerAtSameAddress(t *testing.T) {
	h := newHarness(t)
	h.core.limits.Transient = map[Protocol]bool{"": true}
	h.setUp(7, 5*time.Second)
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 7}), "answered7@1 ")
	h.step(ServerList{Servers: []Server{{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now - ms}}})
	h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13})
	h.wantEffects(h.step(ServerEnd{Server: "b", Conn: 11, ID: 7, Reason: ReasonNormal}), "") // of an earlier attempt
	h.wantEffects(h.step(ServerAnswer{Server: "c", Conn: 13, ID: 7}), "")                    // repeated
	h.wantEffects(h.step(ServerEnd{Server: "c", Conn: 13, ID: 7, Reason: ReasonNormal}), "released7@1 ")
}

// The list names a server that has just started at the address of one that it still names. Set-ups in the former one's name would reach the
// same process and push it over.
func TestSetUpsToFormerServerPushNextOneOver(t *testing.T) {
	h := newHarness(t)
	h.core.limits.Transient = map[Protocol]bool{"": true}
	next := Server{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now - ms}
	h.step(ServerList{Servers: []Server{next}})
	h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13})
	effects := ""
	for id := ID(1); id <= 20; id++ {
		effects += h.setUp(id, 5*time.Second)
	}
	if countEffects(effects, "@10") > 0 {
		t.Errorf("effects %q, want no set-up in the former server's name", effects)
	}
	next.Phase = elmseam.PhaseGone
	h.step(ServerList{Servers: []Server{next}})
	for id := ID(21); id <= 40; id++ {
		effects += h.setUp(id, 5*time.Second)
	}
	if countEffects(effects, "@10") == 0 {
		t.Errorf("effects %q, want set-ups to the former server once the other one is gone", effects)
	}
}

// The release of a call that is left to the next server is on its way on the former server's connection when the list tells of both.
func TestReleaseOfMovedCallOnFormerConnection(t *testing.T) {
	h := newHarness(t)
	h.core.limits.Transient, h.core.limits.MaxRemovedServers = map[Protocol]bool{"": true}, 10
	h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
	next := Server{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now}
	h.advance(ms)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.wantEffects(h.setUp(8, 5*time.Second), "offer8@12 ")
	h.step(ServerAnswer{Server: "a", Conn: 12, ID: 8})
	h.wantEffects(h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}, next}}), "withdraw@12 closeconn@12 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 8, Reason: ReasonNormal}), "released8@1 ")
}

// The next server has started seconds before it takes the address, and the connections to the former one were made anew since and end in
// order with its process. Its calls are over. Those on a process of which a connection is still open go on.
func TestCallsOfProcessThatEndedLongAfterStartOfNext(t *testing.T) {
	for name, connOpen := range map[string]bool{"all connections ended": false, "one is open": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.core.limits.Transient, h.core.limits.MaxPendingReleases = map[Protocol]bool{"": true}, 10
			h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
			next := Server{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now}
			h.advance(3 * time.Second)
			h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndClosed})
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 13})
			h.wantEffects(h.setUp(7, 5*time.Second), "offer7@12 ")
			h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "answered7@1 ")
			h.step(ServerDown{Server: "a", Conn: 12, End: ConnEndReset})
			h.advance(100 * ms)
			released := 0
			if !connOpen {
				h.step(ServerDown{Server: "a", Conn: 13, End: ConnEndClosed})
				h.step(ServerUp{Server: "a", Address: "a:1", Conn: 14})
				released = 1
			}
			effects := h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}, next}})
			if countEffects(effects, "released7@1") != released {
				t.Errorf("effects %q, want %d releases", effects, released)
			}
			if effects = h.step(ServerUp{Server: "c", Address: "a:1", Conn: 15}); countEffects(effects, "end7@15") != released {
				t.Errorf("effects %q, want %d releases at the next server", effects, released)
			}
		})
	}
}

// The first connection to a server leads to the next process at its address already, which the list names only after the server's end.
func TestCallsOnFirstConnectionStandAtNextProcess(t *testing.T) {
	h := newHarness(t)
	h.core.limits.Transient = map[Protocol]bool{"": true}
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 7}), "answered7@1 ")
	h.wantEffects(h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}}}), "withdraw@10 end7@10 released7@1 close@10 ")
}

// The list is ahead of the processes: the former one still runs, and has a connection that was made after the told start of the next one. An
// older connection that is open, or has brought input since, shows whose process that is.
func TestCallsOfProcessThatOutlivesItsEndInTheList(t *testing.T) {
	for name, olderEnded := range map[string]bool{"older connection is open": false, "older connection brought input and ended": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.core.limits.Transient, h.core.limits.MaxPendingReleases = map[Protocol]bool{"": true}, 10
			h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 20})
			next := Server{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now}
			h.advance(100 * ms)
			h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
			h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
			h.core.servers["a"].conns[0].lastOfferAt = h.now // so that the set-up takes the new connection
			h.wantEffects(h.setUp(7, 5*time.Second), "offer7@12 ")
			h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "answered7@1 ")
			h.advance(100 * ms)
			if olderEnded {
				h.step(ServerReport{Server: "a", Conn: 20})
				h.step(ServerDown{Server: "a", Conn: 20})
			}
			effects := h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}, next}})
			if countEffects(effects, "end7@12 released7@1") != 1 {
				t.Errorf("effects %q, want the release on both sides", effects)
			}
		})
	}
}

// The list names several processes at one address at once, after discovery was down: a call is left to one server after the other, while its
// release is on its way on the connection of the first.
func TestReleaseOfCallMovedSeveralTimes(t *testing.T) {
	h := newHarness(t)
	h.core.limits.Transient, h.core.limits.MaxRemovedServers = map[Protocol]bool{"": true}, 10
	h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
	startedAt := h.now
	listed := func(name string, phase elmseam.Phase) Server {
		return Server{Name: name, Address: "a:1", Cell: 2, Phase: phase, Started: startedAt}
	}
	second, third := listed("c", elmseam.PhaseReady), listed("d", elmseam.PhaseReady)
	h.advance(ms)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.wantEffects(h.setUp(8, 5*time.Second), "offer8@12 ")
	h.step(ServerAnswer{Server: "a", Conn: 12, ID: 8})
	h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}, second}})
	h.step(ServerList{Servers: []Server{listed("c", elmseam.PhaseGone), third}})
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 8, Reason: ReasonNormal}), "released8@1 ")
}

// The process that the list names as the next one dies just as its calls are left to it: the connections that would show its end are closed with
// the former server's, and a later process answers on the new ones.
func TestCallsMovedAsTheirProcessDies(t *testing.T) {
	h := newLivenessHarness(t)
	h.step(ServerDown{Server: "a", Conn: 10, End: ConnEndReset})
	next := Server{Name: "c", Address: "a:1", Cell: 2, Phase: elmseam.PhaseReady, Started: h.now}
	h.advance(ms)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.setUp(8, 9*time.Second)
	h.step(ServerAnswer{Server: "a", Conn: 12, ID: 8})
	h.step(ServerList{Servers: []Server{{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}, next}})
	h.step(ServerDown{Server: "a", Conn: 12, End: ConnEndReset})
	h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13})
	for range 9 {
		h.step(ServerReport{Server: "c", Conn: 13})
		h.advance(time.Second)
	}
	if h.core.calls[8] != nil {
		t.Error("the call is still established 8 s after the end of its process")
	}
}
