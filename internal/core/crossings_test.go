package core

import (
	"slices"
	"strings"
	"testing"
	"time"

	"elmseam"
)

// Two events cross each other when each side sends one before it has received the other's. docs/CROSSINGS.md lists the crossings.
// The tests here force the order of the events one by one; the tests of the protocol handlers force the same crossings over sockets.

// resendTo replaces the controller's decisions: each attempt that ends is followed by one at the named server.
func (h *harness) resendTo(server string) {
	h.core.hook.Decide = func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		if o, ended := ev.(elmseam.Outcome); ended && !o.Final {
			return []elmseam.Action{elmseam.Send{Call: o.Call, Server: h.core.servers[server].id}}
		}
		return actions
	}
}

// An idle connection is closed only if no set-up is open on it and no call of it is established, here or on the predecessor. Guards against
// a reader that closes the connection by its own clock, so that the answer or the release can't reach the caller.
func TestIdleCloseCrossesASetUp(t *testing.T) {
	h := newHarness(t)
	h.wantEffects(h.setUp(7, 5*time.Second)+h.step(CallerIdle{Conn: 1}), "offer7@10 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7})+h.step(CallerIdle{Conn: 1}), "answered7@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonNormal})+h.step(CallerIdle{Conn: 1}), "released7@1 close@1 ")
	h.wantEffects(h.step(CallerIdle{Conn: 1}), "")
	h.step(CallerUp{Conn: 2, Protocol: "f", Open: []ID{5}, Used: true})
	h.wantEffects(h.step(CallerIdle{Conn: 2}), "")
	h.step(Relayed{Protocol: "f", Conn: 2, Effect: Rejected{ID: 5}})
	h.wantEffects(h.step(CallerIdle{Conn: 2}), "close@2 ")
}

// Malformed input on a connection does not affect the set-ups that are open on it: each gets its answer, then the connection is
// closed. A connection closed at once would leave them without an answer.
func TestMalformedCallerGetsItsAnswers(t *testing.T) {
	h := newHarness(t)
	h.wantEffects(h.setUp(7, 5*time.Second)+h.setUp(8, time.Second)+h.step(CallerMalformed{Conn: 1}), "offer7@10 offer8@10 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	h.wantEffects(h.advance(time.Second), "end8@10 rejected8@1 close@1 ")
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.wantEffects(h.step(CallerMalformed{Conn: 2}), "close@2 ")
	h.step(CallerUp{Conn: 3, Protocol: "f"}) // a malformed connection that ends is not kept for its set-up
	h.step(SetUp{ID: 9, From: 3, TimeLeft: 5 * time.Second, At: h.now})
	h.step(CallerMalformed{Conn: 3})
	h.step(CallerDown{Conn: 3})
	h.wantEffects(h.advance(101*ms), "forget9 end9@10 ")
}

// A stop meets calls that wait for a connection, that have an outstanding attempt, that wait for the release guard and that are
// established. Each set-up gets one answer. Set-ups after StopGrace are refused, also during StopLinger, and only then are the
// connections closed. Guards against open set-ups left without an answer when MaxStopWait ends.
func TestStopAnswersEverySetUp(t *testing.T) {
	h := newHarness(t)
	h.core.limits.StopLinger, h.core.limits.Transient = 60*ms, map[Protocol]bool{"f": true}
	h.wantEffects(h.setUp(1, 30*time.Second)+h.step(ServerAnswer{Server: "a", ID: 1}), "offer1@10 answered1@1 ")
	h.wantEffects(h.setUp(2, 30*time.Second)+h.step(ServerDown{Server: "a", Conn: 10}), "offer2@10 ") // waits for the release guard
	h.wantEffects(h.setUp(3, 30*time.Second), "")                                                     // waits for a connection
	h.step(Stop{})
	h.step(Stop{}) // a second Stop changes nothing
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "offer3@12 ")
	h.wantEffects(h.setUp(4, 30*time.Second), "offer4@12 ") // within StopGrace
	h.wantEffects(h.advance(201*ms), "offer2@11 ")
	h.wantEffects(h.step(ServerEnd{Server: "b", ID: 2, Reason: ReasonBusy})+h.step(ServerAnswer{Server: "a", ID: 4}), "rejected2@1 answered4@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 1, Reason: ReasonNormal})+h.step(ServerEnd{Server: "a", ID: 4, Reason: ReasonNormal}), "released1@1 released4@1 ")
	h.advance(600 * ms)
	h.wantEffects(h.setUp(5, 30*time.Second), "rejected5@1 ")
	effects := h.advance(9 * time.Second)
	if rejections := countEffects(effects, "rejected3@1"); rejections != 1 || !strings.HasSuffix(effects, "close@1 stopped ") {
		t.Errorf("when MaxStopWait ends: %q", effects)
	}

	h = newHarness(t) // set-ups that cross the end of the stop
	h.core.limits.StopLinger, h.core.limits.Transient = 60*ms, map[Protocol]bool{"f": true}
	h.step(Stop{})
	h.wantEffects(h.advance(701*ms), "close-listener ")
	h.wantEffects(h.setUp(6, 5*time.Second), "rejected6@1 ")
	h.step(CallerUp{Conn: 2, Protocol: "f"}) // accepted before the listener was closed
	h.wantEffects(h.step(SetUp{ID: 7, From: 2, TimeLeft: 5 * time.Second, At: h.now}), "rejected7@2 ")
	h.wantEffects(h.step(HandOver{}), "") // no transfer begins, as the connections are about to be closed
	h.wantEffects(h.advance(61*ms), "close@1 close@2 stopped ")
}

// A second answer to an attempt that has ended comes late. It does not affect the outstanding attempt, which is at the same
// server on another connection, and a late refusal does not release an established call.
func TestLateSecondAnswer(t *testing.T) {
	h := newHarness(t)
	h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.sendServerList(elmseam.PhaseReady, elmseam.PhaseGone)
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
	h.core.servers["a"].conns[0].lastOfferAt, h.core.servers["a"].conns[1].lastOfferAt = h.now+2, h.now+1
	h.resendTo("a")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: ReasonFull}), "offer7@12 ")
	for _, late := range []Event{
		ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: ReasonReset}, ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: ReasonFull},
		ServerAnswer{Server: "a", Conn: 10, ID: 7}, NotSent{Server: "a", Conn: 10, ID: 7}, ServerMalformed{Server: "a", Conn: 10, ID: 7},
	} {
		if effects := h.step(late); countEffects(effects, "offer")+countEffects(effects, "answered")+countEffects(effects, "end7") > 0 || h.core.calls[7].attempt == nil {
			t.Errorf("%T: effects %q, attempt %v", late, effects, h.core.calls[7].attempt)
		}
	}
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "answered7@1 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 7, Reason: ReasonFull, RefusalOnly: true}), "")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 7, Reason: ReasonNormal}), "released7@1 ")
}

// The answer, the refusal or the reset of an attempt comes at the same time as its time-out, before or after it. The attempt has
// one outcome, and the release guard applies wherever the set-up may have run.
func TestAnswerCrossesTimeOut(t *testing.T) {
	for _, test := range []struct {
		ev           Event
		first, after string // effects of the event before the time-out, and effects after the release guard
	}{
		{ServerAnswer{Server: "a", Conn: 10, ID: 7}, "answered7@1 ", ""},
		{ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: ReasonFull}, "offer7@11 ", ""},
		{ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: ReasonReset}, "", "offer7@11 "},
		{ServerDown{Server: "a", Conn: 10}, "", "offer7@11 "},
		{ServerMalformed{Server: "a", Conn: 10, ID: 7}, "end7@10 ", "offer7@11 "},
	} {
		for _, eventFirst := range []bool{true, false} {
			h := newHarness(t)
			h.resendTo("b")
			h.setUp(7, 5*time.Second)
			call := h.core.calls[7]
			timeout := TimerFired{Token: Token{kind: tokenAttemptTimeout, call: 7, controllerID: call.controllerID, number: uint32(call.attempt.number)}}
			if eventFirst {
				h.wantEffects(strings.TrimSuffix(h.step(test.ev)+h.step(timeout)+h.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "close@10 "), test.first)
				h.wantEffects(h.advance(199*ms), "")
				h.wantEffects(h.advance(2*ms), test.after)
			} else {
				h.wantEffects(strings.TrimSuffix(h.step(timeout)+h.step(test.ev)+h.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "close@10 "), "end7@10 ")
				h.wantEffects(h.advance(199*ms), "")
				h.wantEffects(h.advance(2*ms), "offer7@11 ")
			}
			h.wantEffects(h.step(timeout), "") // the timer of an attempt that has ended
		}
	}
}

// A malformed message from a server ends the attempt that it was for, as the set-up may have run, and no other. The other
// attempts on that connection may finish, no new offer goes there, and established calls are released on another connection. A
// connection closed at once would end all of its attempts as reset.
func TestMalformedAnswerEndsOnlyItsAttempt(t *testing.T) {
	h := newHarness(t)
	h.recordDials = true
	h.wantEffects(h.setUp(7, 5*time.Second)+h.setUp(8, 5*time.Second), "offer7@10 offer8@10 ")
	h.wantEffects(h.step(ServerMalformed{Server: "a", Conn: 10, ID: 7}), "end7@10 dial-a ")
	h.wantEffects(h.step(ServerMalformed{Server: "a", Conn: 10}), "")
	h.wantEffects(h.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "")
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "")
	h.wantEffects(h.setUp(9, 5*time.Second), "offer9@12 ")
	h.wantEffects(h.advance(199*ms), "")
	h.wantEffects(h.advance(2*ms), "offer7@11 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 8}), "answered8@1 close@10 ")
	h.wantEffects(h.step(ServerDown{Server: "a", Conn: 10}), "")
	h.wantEffects(h.step(ServerEnd{Server: "a", Conn: 12, ID: 8, Reason: ReasonNormal}), "released8@1 ")
}

// A connection is made late, when its server drains, is gone, has another address or has connections enough. It is closed with
// nothing sent on it, and another dial can follow. Guards against an overtaken dial that counts as under way for ever, so that
// the server is never dialled again once it is back in service.
func TestLateServerConnection(t *testing.T) {
	h := newHarness(t)
	h.recordDials = true
	h.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
	h.setUp(1, 5*time.Second)
	h.step(ServerAnswer{Server: "a", ID: 1})
	h.wantEffects(h.sendServerList(elmseam.PhaseReady, elmseam.PhaseReady), "dial-a dial-b ") // a second connection to each server
	h.wantEffects(h.sendServerList(elmseam.PhaseDraining, elmseam.PhaseReady), "withdraw@10 ")
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "closeconn@12 ") // one connection is enough for the established call
	h.wantEffects(h.step(ServerDown{Server: "a", Conn: 12}), "")
	h.wantEffects(h.sendServerList(elmseam.PhaseReady, elmseam.PhaseReady), "dial-a ")
	h.wantEffects(h.sendServerList(elmseam.PhaseGone, elmseam.PhaseReady), "withdraw@10 end1@10 released1@1 close@10 ")
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 13}), "closeconn@13 ")
	h.step(ServerDown{Server: "b", Conn: 11})
	h.wantEffects(h.setUp(2, 50*time.Millisecond), "") // given up before a connection is made
	h.wantEffects(h.advance(time.Second), "rejected2@1 ")
	h.wantEffects(h.step(ServerUp{Server: "b", Address: "b:1", Conn: 14}), "dial-b ")

	// The dial to a server's former address fails late. The set-up that waits for a connection to the new address goes on.
	h = newHarness(t)
	h.recordDials = true
	h.step(ServerDown{Server: "a", Conn: 10})
	h.step(ServerDown{Server: "b", Conn: 11})
	h.advance(ms)
	h.setUp(3, 5*time.Second)
	target := h.core.calls[3].attempt.server.Name
	h.step(ServerList{Servers: []Server{{Name: target, Address: "elsewhere:1", Phase: elmseam.PhaseReady}}})
	h.wantEffects(h.step(ServerDown{Server: target, Address: target + ":1"}), "dial-"+target+" ")
	h.wantEffects(h.step(ServerUp{Server: target, Address: "elsewhere:1", Conn: 12}), "offer3@12 ")
}

// One list removes a server and names another one at the same address. Attempts at the first server end as reset and are not
// sent to the other one within the release guard, and established calls are released. Offers to the other server go out on a
// connection of its own, even if a late dial for the first server has reached it.
func TestAnotherServerAtTheSameAddress(t *testing.T) {
	h := newHarness(t)
	h.recordDials = true
	h.core.servers["a"].conns[0].madeAt -= time.Minute // long before the other server starts
	h.setUp(1, 5*time.Second)
	h.step(ServerAnswer{Server: "a", ID: 1})
	h.setUp(2, 5*time.Second) // at server "a"
	h.step(ServerDown{Server: "b", Conn: 11})
	h.wantEffects(h.step(ServerList{Servers: []Server{
		{Name: "a", Address: "a:1", Phase: elmseam.PhaseGone}, {Name: "b", Address: "b:1", Cell: 1, Phase: elmseam.PhaseGone},
		{Name: "c", Address: "a:1", Phase: elmseam.PhaseReady, Started: h.now},
	}}), "withdraw@10 end1@10 released1@1 end2@10 close@10 dial-c ")
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "closeconn@12 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", Conn: 10, ID: 2}), "") // crossed the close
	h.wantEffects(h.step(ServerUp{Server: "c", Address: "a:1", Conn: 13}), "")
	h.wantEffects(h.advance(199*ms), "")
	if effects := h.advance(2 * time.Second); countEffects(effects, "offer2") > countEffects(effects, "offer2@13") || countEffects(effects, "offer2") > 1 {
		t.Errorf("after the release guard: %q", effects)
	}
}

// The caller gives up or closes its connection while its set-up waits for a connection or for the release guard, while its
// offer is being written, or while the End of its attempt is being written. The set-up is not sent again, gets no answer, and
// nothing is kept of it.
func TestCallerLeavesDuringSetUp(t *testing.T) {
	for name, begin := range map[string]func(h *harness){
		"waiting for a connection": func(h *harness) {
			h.step(ServerDown{Server: "a", Conn: 10})
			h.step(ServerDown{Server: "b", Conn: 11})
			h.setUp(7, 5*time.Second)
		},
		"waiting for the release guard": func(h *harness) { h.setUp(7, 5*time.Second); h.step(ServerDown{Server: "a", Conn: 10}) },
		"offer being written":           func(h *harness) { h.setUp(7, 5*time.Second) },
		"end being written":             func(h *harness) { h.setUp(7, 5*time.Second); h.step(ServerMalformed{Server: "a", Conn: 10, ID: 7}) },
	} {
		for _, departure := range []Event{CallerEnd{ID: 7, From: 1}, CallerDown{Conn: 1}} {
			h := newHarness(t)
			begin(h)
			effects := h.step(departure) + h.advance(101*ms)
			effects += h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}) + h.step(EndWritten{Server: "a", Conn: 10, ID: 7}) + h.advance(10*time.Second)
			if retained := h.core.Retained(); countEffects(effects, "offer") > 0 || countEffects(effects, "rejected") > 0 || countEffects(effects, "answered") > 0 || retained != (Retained{}) {
				t.Errorf("%s, %T: effects %q, and %+v is kept", name, departure, effects, retained)
			}
		}
	}
}

// The timers of an ended call do not apply to a later call with the same id. Guards against the old deadline failing the new
// call.
func TestTimersOfAnEarlierCallOfTheSameID(t *testing.T) {
	h := newHarness(t)
	h.core.limits.MaxEndedCalls = 1
	h.setUp(7, 2*time.Second)
	h.step(CallerEnd{ID: 7, From: 1})
	h.step(EndWritten{Server: "a", ID: 7})
	h.setUp(8, time.Second)
	h.step(CallerEnd{ID: 8, From: 1})
	h.step(EndWritten{Server: "a", ID: 8})
	h.wantEffects(h.setUp(7, 9*time.Second), "offer7@10 ")
	h.wantEffects(h.advance(4*time.Second), "")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
}

// A call keeps the name of its class, its release guard and its number of attempts while the settings change. A report that was
// decoded before the order of the metrics changes keeps its meaning. Guards against a hold-back share read as a number of
// lines, and the other way round.
func TestSettingsChangeDuringCall(t *testing.T) {
	h := newHarness(t)
	configure := func(releaseGuard time.Duration, attempts int, metrics ...elmseam.LoadMetric) {
		h.step(Configured{Limits: h.core.limits, Settings: elmseam.Settings{
			Classes:     []elmseam.Class{{Deadline: 9 * time.Second, Worth: 1}, {Deadline: 9 * time.Second, Worth: 1}},
			MaxAttempts: attempts, MaxRetryAfter: 2 * time.Second, OwnCell: -1, ReleaseGuard: releaseGuard, ReportMetrics: metrics,
		}})
	}
	configure(200*ms, 4, elmseam.LoadMetricFreeLines, elmseam.LoadMetricTotalLines, elmseam.LoadMetricHoldBackShare)
	var reported elmseam.Report
	h.core.hook.SuppressEvent = func(ev elmseam.Event) bool {
		if health, isHealth := ev.(elmseam.Health); isHealth {
			reported = health.Report
		}
		return false
	}
	report := ServerReport{Server: "a", Conn: 10, Report: Report{{elmseam.LoadMetricFreeLines, 8}, {elmseam.LoadMetricTotalLines, 9}, {elmseam.LoadMetricHoldBackShare, 0.5}}}
	offeredClass := ""
	stepOffer := func(ev Event) {
		for _, e := range h.core.Step(h.now, ev) {
			if o, ok := e.(Offer); ok {
				offeredClass = o.ClassName
			} else if timer, ok := e.(Timer); ok {
				h.timers = append(h.timers, timer)
			}
		}
	}
	stepOffer(SetUp{ID: 7, From: 1, Class: 1, ClassName: "gold", Cell: 0, TimeLeft: 5 * time.Second, At: h.now})
	if h.step(report); offeredClass != "gold" || !slices.Equal(reported, elmseam.Report{8, 9, 0.5}) {
		t.Errorf("class %q, report %v", offeredClass, reported)
	}
	configure(0, 1, elmseam.LoadMetricHoldBackShare, elmseam.LoadMetricTotalLines)
	if h.step(report); !slices.Equal(reported, elmseam.Report{0.5, 9}) {
		t.Errorf("report %v after the metrics changed", reported)
	}
	configure(0, 1)
	reported = nil
	if h.step(report); reported != nil {
		t.Errorf("report %v where the settings name no metrics, want none", reported)
	}
	h.step(ServerDown{Server: "a", Conn: 10})
	h.wantEffects(h.advance(199*ms), "") // the release guard of the settings it arrived under
	for _, timer := range slices.Clone(h.timers) {
		if offeredClass = ""; timer.Token.kind == tokenReleaseGuard {
			h.now += 2 * ms
			stepOffer(TimerFired{Token: timer.Token})
			break
		}
	}
	if offeredClass != "gold" {
		t.Errorf("class %q when the call is sent again, want the class of its arrival, gold", offeredClass)
	}
}

// Connections to servers keep within MaxServerConns, and a connection that is needed replaces one that is not. Without the
// limit, 24 servers with 64 or 48 file descriptors left too few for callers: the program accepted no more set-ups, or could not
// start.
func TestServerConnectionsKeepWithinLimit(t *testing.T) {
	h := newHarness(t)
	h.recordDials = true
	h.core.limits.MaxServerConns, h.core.limits.ConnsPerServer = 2, map[Protocol]int{"": 2}
	third := Server{Name: "c", Address: "c:1", Cell: 2, Phase: elmseam.PhaseReady}
	h.wantEffects(h.step(ServerList{Servers: []Server{third}}), "") // no dial before the connection is needed
	h.wantEffects(h.setUp(1, 5*time.Second), "offer1@10 ")
	target := "c"
	h.core.hook.Decide = func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		switch ev := ev.(type) {
		case elmseam.Arrival:
			return []elmseam.Action{elmseam.Send{Call: ev.Call, Server: h.core.servers[target].id}}
		case elmseam.Outcome:
			return []elmseam.Action{elmseam.Refuse{Call: ev.Call}}
		}
		return actions
	}
	h.wantEffects(h.setUp(2, 5*time.Second), "close@11 dial-c ") // an attempt is outstanding at server "a"
	h.wantEffects(h.step(ServerUp{Server: "c", Address: "c:1", Conn: 12}), "offer2@12 ")
	target = "b"
	h.wantEffects(h.setUp(3, 5*time.Second), "rejected3@1 ") // every connection has an outstanding attempt
	h.step(ServerAnswer{Server: "a", ID: 1})
	h.wantEffects(h.step(ServerEnd{Server: "c", ID: 2, Reason: ReasonBusy}), "rejected2@1 ")
	h.wantEffects(h.setUp(4, 5*time.Second), "close@12 dial-b ") // the last connection to "a" is kept for its established call
	h.wantEffects(h.step(ServerDown{Server: "b"})+h.step(ServerDown{Server: "c", Conn: 12}), "rejected4@1 ")
	if n := h.core.serverConnCount(); n > 2 {
		t.Errorf("%d connections to servers, want at most 2", n)
	}
}
