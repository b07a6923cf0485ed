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

// resendTo replaces the controller's decisions: each attempt that ends is followed by an attempt at the server.
func (r *rig) resendTo(server string) {
	r.core.hook.Decide = func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		if o, ended := ev.(elmseam.Outcome); ended && !o.Final {
			return []elmseam.Action{elmseam.Send{Call: o.Call, Server: r.core.servers[server].id}}
		}
		return actions
	}
}

// An idle connection is closed only if no set-up is open on it, here or on the predecessor. Guards against a
// reader that closes the connection by its own clock, so that the answer can't reach the caller.
func TestIdleCloseCrossesASetUp(t *testing.T) {
	r := newRig(t)
	r.want(r.setUp(7, 5*time.Second)+r.step(CallerIdle{Conn: 1}), "offer7@10 ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7})+r.step(CallerIdle{Conn: 1}), "answered7@1 close@1 ")
	r.want(r.step(CallerIdle{Conn: 1}), "")
	r.step(CallerUp{Conn: 2, Protocol: "f", Open: []ID{5}, HadSetUp: true})
	r.want(r.step(CallerIdle{Conn: 2}), "")
	r.step(Relayed{Protocol: "f", Conn: 2, Effect: Rejected{ID: 5}})
	r.want(r.step(CallerIdle{Conn: 2}), "close@2 ")
}

// Malformed input on a connection does not affect the set-ups that are open on it: each gets its answer, then the connection is
// closed. A connection closed at once would leave them without an answer.
func TestMalformedCallerGetsItsAnswers(t *testing.T) {
	r := newRig(t)
	r.want(r.setUp(7, 5*time.Second)+r.setUp(8, time.Second)+r.step(CallerMalformed{Conn: 1}), "offer7@10 offer8@10 ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	r.want(r.advance(time.Second), "end8@10 rejected8@1 close@1 ")
	r.step(CallerUp{Conn: 2, Protocol: "f"})
	r.want(r.step(CallerMalformed{Conn: 2}), "close@2 ")
	r.step(CallerUp{Conn: 3, Protocol: "f"}) // a malformed connection that ends is not kept for its set-up
	r.step(SetUp{ID: 9, From: 3, TimeLeft: 5 * time.Second, At: r.now})
	r.step(CallerMalformed{Conn: 3})
	r.step(CallerDown{Conn: 3})
	r.want(r.advance(101*ms), "forget9 end9@10 ")
}

// A stop meets calls that wait for a connection, that have an outstanding attempt, that wait for the release guard and that are
// established. Each set-up gets one answer. Set-ups after StopGrace are refused, also during StopLinger, and only then are the
// connections closed. Guards against open set-ups left without an answer when MaxStopWait ends.
func TestStopAnswersEverySetUp(t *testing.T) {
	r := newRig(t)
	r.core.limits.StopLinger, r.core.limits.Transient = 60*ms, map[Protocol]bool{"f": true}
	r.want(r.setUp(1, 30*time.Second)+r.step(ServerAnswer{Server: "a", ID: 1}), "offer1@10 answered1@1 ")
	r.want(r.setUp(2, 30*time.Second)+r.step(ServerDown{Server: "a", Conn: 10}), "offer2@10 ") // waits for the release guard
	r.want(r.setUp(3, 30*time.Second), "")                                                     // waits for a connection
	r.step(Stop{})
	r.step(Stop{}) // a second Stop changes nothing
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "offer3@12 ")
	r.want(r.setUp(4, 30*time.Second), "offer4@12 ") // within StopGrace
	r.want(r.advance(201*ms), "offer2@11 ")
	r.want(r.step(ServerEnd{Server: "b", ID: 2, Reason: Busy})+r.step(ServerAnswer{Server: "a", ID: 4}), "rejected2@1 answered4@1 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 1, Reason: Normal})+r.step(ServerEnd{Server: "a", ID: 4, Reason: Normal}), "released1@1 released4@1 ")
	r.advance(600 * ms)
	r.want(r.setUp(5, 30*time.Second), "rejected5@1 ")
	effects := r.advance(9 * time.Second)
	if rejections := countOf(effects, "rejected3@1"); rejections != 1 || !strings.HasSuffix(effects, "close@1 stopped ") {
		t.Errorf("when MaxStopWait ends: %q", effects)
	}

	r = newRig(t) // set-ups that cross the end of the stop
	r.core.limits.StopLinger, r.core.limits.Transient = 60*ms, map[Protocol]bool{"f": true}
	r.step(Stop{})
	r.want(r.advance(701*ms), "close-listener ")
	r.want(r.setUp(6, 5*time.Second), "rejected6@1 ")
	r.step(CallerUp{Conn: 2, Protocol: "f"}) // accepted before the listener was closed
	r.want(r.step(SetUp{ID: 7, From: 2, TimeLeft: 5 * time.Second, At: r.now}), "rejected7@2 ")
	r.want(r.step(HandOver{}), "") // no transfer begins, as the connections are about to be closed
	r.want(r.advance(61*ms), "close@1 close@2 stopped ")
}

// A second answer to an attempt that has ended comes late. It does not affect the outstanding attempt, which is at the same
// server on another connection, and a late refusal does not release an established call.
func TestLateSecondAnswer(t *testing.T) {
	r := newRig(t)
	r.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
	r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	r.list(elmseam.Ready, elmseam.Gone)
	r.want(r.setUp(7, 5*time.Second), "offer7@10 ")
	r.core.servers["a"].conns[0].lastSetUp, r.core.servers["a"].conns[1].lastSetUp = r.now+2, r.now+1
	r.resendTo("a")
	r.want(r.step(ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: Full}), "offer7@12 ")
	for _, late := range []Event{
		ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: Reset}, ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: Full},
		ServerAnswer{Server: "a", Conn: 10, ID: 7}, NotSent{Server: "a", Conn: 10, ID: 7}, ServerMalformed{Server: "a", Conn: 10, ID: 7},
	} {
		if effects := r.step(late); countOf(effects, "offer")+countOf(effects, "answered")+countOf(effects, "end7") > 0 || r.core.calls[7].attempt == nil {
			t.Errorf("%T: effects %q, attempt %v", late, effects, r.core.calls[7].attempt)
		}
	}
	r.want(r.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "answered7@1 ")
	r.want(r.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "")
	r.want(r.step(ServerEnd{Server: "a", Conn: 12, ID: 7, Reason: Full, RefusalOnly: true}), "")
	r.want(r.step(ServerEnd{Server: "a", Conn: 12, ID: 7, Reason: Normal}), "released7@1 ")
}

// The answer, the refusal or the reset of an attempt comes at the same time as its time-out, before or after it. The attempt has
// one outcome, and the release guard applies wherever the set-up may have run.
func TestAnswerCrossesTimeOut(t *testing.T) {
	for _, test := range []struct {
		ev           Event
		first, after string // effects of the event before the time-out, and effects after the release guard
	}{
		{ServerAnswer{Server: "a", Conn: 10, ID: 7}, "answered7@1 ", ""},
		{ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: Full}, "offer7@11 ", ""},
		{ServerEnd{Server: "a", Conn: 10, ID: 7, Reason: Reset}, "", "offer7@11 "},
		{ServerDown{Server: "a", Conn: 10}, "", "offer7@11 "},
		{ServerMalformed{Server: "a", Conn: 10, ID: 7}, "end7@10 ", "offer7@11 "},
	} {
		for _, eventFirst := range []bool{true, false} {
			r := newRig(t)
			r.resendTo("b")
			r.setUp(7, 5*time.Second)
			k := r.core.calls[7]
			timeout := TimerFired{Token: Token{kind: tokenAttemptTimeout, call: 7, controllerID: k.controllerID, number: uint32(k.attempt.number)}}
			if eventFirst {
				r.want(strings.TrimSuffix(r.step(test.ev)+r.step(timeout)+r.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "close@10 "), test.first)
				r.want(r.advance(199*ms), "")
				r.want(r.advance(2*ms), test.after)
			} else {
				r.want(strings.TrimSuffix(r.step(timeout)+r.step(test.ev)+r.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "close@10 "), "end7@10 ")
				r.want(r.advance(199*ms), "")
				r.want(r.advance(2*ms), "offer7@11 ")
			}
			r.want(r.step(timeout), "") // the timer of an attempt that has ended
		}
	}
}

// A malformed message from a server ends the attempt that it was for, as the set-up may have run, and no other. The other
// attempts on that connection may finish, no new offer goes there, and established calls are released on another connection. A
// connection closed at once would end all of its attempts as reset.
func TestMalformedAnswerEndsOnlyItsAttempt(t *testing.T) {
	r := newRig(t)
	r.recordDials = true
	r.want(r.setUp(7, 5*time.Second)+r.setUp(8, 5*time.Second), "offer7@10 offer8@10 ")
	r.want(r.step(ServerMalformed{Server: "a", Conn: 10, ID: 7}), "end7@10 dial-a ")
	r.want(r.step(ServerMalformed{Server: "a", Conn: 10}), "")
	r.want(r.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "")
	r.want(r.setUp(9, 5*time.Second), "offer9@12 ")
	r.want(r.advance(199*ms), "")
	r.want(r.advance(2*ms), "offer7@11 ")
	r.want(r.step(ServerAnswer{Server: "a", Conn: 10, ID: 8}), "answered8@1 close@10 ")
	r.want(r.step(ServerDown{Server: "a", Conn: 10}), "")
	r.want(r.step(ServerEnd{Server: "a", Conn: 12, ID: 8, Reason: Normal}), "released8@1 ")
}

// A connection is made late, when its server drains, is gone, has another address or has connections enough. It is closed with
// nothing sent on it, and another dial can follow. Guards against an overtaken dial that counts as under way for ever, so that
// the server is never dialled again once it is back in service.
func TestLateServerConnection(t *testing.T) {
	r := newRig(t)
	r.recordDials = true
	r.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
	r.setUp(1, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.want(r.list(elmseam.Ready, elmseam.Ready), "dial-a dial-b ") // a second connection to each server
	r.want(r.list(elmseam.Draining, elmseam.Ready), "withdraw@10 ")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "closeconn@12 ") // one connection is enough for the established call
	r.want(r.step(ServerDown{Server: "a", Conn: 12}), "")
	r.want(r.list(elmseam.Ready, elmseam.Ready), "dial-a ")
	r.want(r.list(elmseam.Gone, elmseam.Ready), "withdraw@10 released1@1 closeconn@10 ")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 13}), "closeconn@13 ")
	r.step(ServerDown{Server: "b", Conn: 11})
	r.want(r.setUp(2, 50*time.Millisecond), "") // given up before a connection is made
	r.want(r.advance(time.Second), "rejected2@1 ")
	r.want(r.step(ServerUp{Server: "b", Address: "b:1", Conn: 14}), "dial-b ")

	// The dial to a server's former address fails late. The set-up that waits for a connection to the new address goes on.
	r = newRig(t)
	r.recordDials = true
	r.step(ServerDown{Server: "a", Conn: 10})
	r.step(ServerDown{Server: "b", Conn: 11})
	r.advance(ms)
	r.setUp(3, 5*time.Second)
	target := r.core.calls[3].attempt.server.Name
	r.step(ServerList{Servers: []Server{{Name: target, Address: "elsewhere:1", Phase: elmseam.Ready}}})
	r.want(r.step(ServerDown{Server: target, Address: target + ":1"}), "dial-"+target+" ")
	r.want(r.step(ServerUp{Server: target, Address: "elsewhere:1", Conn: 12}), "offer3@12 ")
}

// One list removes a server and names another one at the same address. Attempts at the first server end as reset and are not
// sent to the other one within the release guard, and established calls are released. Offers to the other server go out on a
// connection of its own, even if a late dial for the first server has reached it.
func TestAnotherServerAtTheSameAddress(t *testing.T) {
	r := newRig(t)
	r.recordDials = true
	r.setUp(1, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.setUp(2, 5*time.Second) // at server "a"
	r.step(ServerDown{Server: "b", Conn: 11})
	r.want(r.step(ServerList{Servers: []Server{
		{Name: "a", Address: "a:1", Phase: elmseam.Gone}, {Name: "b", Address: "b:1", Cell: 1, Phase: elmseam.Gone},
		{Name: "c", Address: "a:1", Phase: elmseam.Ready, Started: r.now},
	}}), "withdraw@10 released1@1 closeconn@10 dial-c ")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "closeconn@12 ")
	r.want(r.step(ServerAnswer{Server: "a", Conn: 10, ID: 2}), "") // crossed the close
	r.want(r.step(ServerUp{Server: "c", Address: "a:1", Conn: 13}), "")
	r.want(r.advance(199*ms), "")
	if effects := r.advance(2 * time.Second); countOf(effects, "offer2") > countOf(effects, "offer2@13") || countOf(effects, "offer2") > 1 {
		t.Errorf("after the release guard: %q", effects)
	}
}

// The caller gives up or closes its connection while its set-up waits for a connection or for the release guard, while its
// offer is being written, or while the End of its attempt is being written. The set-up is not sent again, gets no answer, and
// nothing is kept of it.
func TestCallerLeavesDuringSetUp(t *testing.T) {
	for name, begin := range map[string]func(r *rig){
		"waiting for a connection": func(r *rig) {
			r.step(ServerDown{Server: "a", Conn: 10})
			r.step(ServerDown{Server: "b", Conn: 11})
			r.setUp(7, 5*time.Second)
		},
		"waiting for the release guard": func(r *rig) { r.setUp(7, 5*time.Second); r.step(ServerDown{Server: "a", Conn: 10}) },
		"offer being written":           func(r *rig) { r.setUp(7, 5*time.Second) },
		"end being written":             func(r *rig) { r.setUp(7, 5*time.Second); r.step(ServerMalformed{Server: "a", Conn: 10, ID: 7}) },
	} {
		for _, departure := range []Event{CallerEnd{ID: 7, From: 1}, CallerDown{Conn: 1}} {
			r := newRig(t)
			begin(r)
			effects := r.step(departure) + r.advance(101*ms)
			effects += r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}) + r.step(EndWritten{Server: "a", Conn: 10, ID: 7}) + r.advance(10*time.Second)
			if retained := r.core.Retained(); countOf(effects, "offer") > 0 || countOf(effects, "rejected") > 0 || countOf(effects, "answered") > 0 || retained != (Retained{}) {
				t.Errorf("%s, %T: effects %q, and %+v is kept", name, departure, effects, retained)
			}
		}
	}
}

// The timers of an ended call do not apply to a later call with the same id. Guards against the old deadline failing the new
// call.
func TestTimersOfAnEarlierCallOfTheSameID(t *testing.T) {
	r := newRig(t)
	r.core.limits.MaxEndedCalls = 1
	r.setUp(7, 2*time.Second)
	r.step(CallerEnd{ID: 7, From: 1})
	r.step(EndWritten{Server: "a", ID: 7})
	r.setUp(8, time.Second)
	r.step(CallerEnd{ID: 8, From: 1})
	r.step(EndWritten{Server: "a", ID: 8})
	r.want(r.setUp(7, 9*time.Second), "offer7@10 ")
	r.want(r.advance(4*time.Second), "")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
}

// A call keeps the name of its class, its release guard and its number of attempts while the settings change. A report that was
// decoded before the order of the metrics changes keeps its meaning. Guards against a share read as a number of lines, and the
// other way round.
func TestSettingsChangeDuringCall(t *testing.T) {
	r := newRig(t)
	configure := func(releaseGuard time.Duration, attempts int, metrics ...elmseam.LoadMetric) {
		r.step(Configured{Limits: r.core.limits, Settings: elmseam.Settings{
			Classes:     []elmseam.Class{{Deadline: 9 * time.Second, Worth: 1}, {Deadline: 9 * time.Second, Worth: 1}},
			MaxAttempts: attempts, MaxRetryAfter: 2 * time.Second, OwnCell: -1, ReleaseGuard: releaseGuard, ReportMetrics: metrics,
		}})
	}
	configure(200*ms, 4, elmseam.LoadMetricFreeLines, elmseam.LoadMetricTotalLines, elmseam.LoadMetricHoldBackShare)
	var reported elmseam.Report
	r.core.hook.SuppressEvent = func(ev elmseam.Event) bool {
		if health, isHealth := ev.(elmseam.Health); isHealth {
			reported = health.Report
		}
		return false
	}
	report := ServerReport{Server: "a", Conn: 10, Report: Report{{elmseam.LoadMetricFreeLines, 8}, {elmseam.LoadMetricTotalLines, 9}, {elmseam.LoadMetricHoldBackShare, 0.5}}}
	offeredClass := ""
	stepOffer := func(ev Event) {
		for _, e := range r.core.Step(r.now, ev) {
			if o, ok := e.(Offer); ok {
				offeredClass = o.ClassName
			} else if timer, ok := e.(Timer); ok {
				r.timers = append(r.timers, timer)
			}
		}
	}
	stepOffer(SetUp{ID: 7, From: 1, Class: 1, ClassName: "gold", Cell: 0, TimeLeft: 5 * time.Second, At: r.now})
	if r.step(report); offeredClass != "gold" || !slices.Equal(reported, elmseam.Report{8, 9, 0.5}) {
		t.Errorf("class %q, report %v", offeredClass, reported)
	}
	configure(0, 1, elmseam.LoadMetricHoldBackShare, elmseam.LoadMetricTotalLines)
	if r.step(report); !slices.Equal(reported, elmseam.Report{0.5, 9}) {
		t.Errorf("report %v after the metrics changed", reported)
	}
	configure(0, 1)
	reported = nil
	if r.step(report); reported != nil {
		t.Errorf("report %v where the settings name no metrics, want none", reported)
	}
	r.step(ServerDown{Server: "a", Conn: 10})
	r.want(r.advance(199*ms), "") // the release guard of the settings it arrived under
	for _, timer := range slices.Clone(r.timers) {
		if offeredClass = ""; timer.Token.kind == tokenReleaseGuard {
			r.now += 2 * ms
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
	r := newRig(t)
	r.recordDials = true
	r.core.limits.MaxServerConns, r.core.limits.ConnsPerServer = 2, map[Protocol]int{"": 2}
	third := Server{Name: "c", Address: "c:1", Cell: 2, Phase: elmseam.Ready}
	r.want(r.step(ServerList{Servers: []Server{third}}), "") // no dial before the connection is needed
	r.want(r.setUp(1, 5*time.Second), "offer1@10 ")
	target := "c"
	r.core.hook.Decide = func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		switch ev := ev.(type) {
		case elmseam.Arrival:
			return []elmseam.Action{elmseam.Send{Call: ev.Call, Server: r.core.servers[target].id}}
		case elmseam.Outcome:
			return []elmseam.Action{elmseam.Refuse{Call: ev.Call}}
		}
		return actions
	}
	r.want(r.setUp(2, 5*time.Second), "close@11 dial-c ") // an attempt is outstanding at server "a"
	r.want(r.step(ServerUp{Server: "c", Address: "c:1", Conn: 12}), "offer2@12 ")
	target = "b"
	r.want(r.setUp(3, 5*time.Second), "rejected3@1 ") // every connection has an outstanding attempt
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.want(r.step(ServerEnd{Server: "c", ID: 2, Reason: Busy}), "rejected2@1 ")
	r.want(r.setUp(4, 5*time.Second), "close@12 dial-b ") // the last connection to "a" is kept for its established call
	r.want(r.step(ServerDown{Server: "b"})+r.step(ServerDown{Server: "c", Conn: 12}), "rejected4@1 ")
	if n := r.core.serverConnCount(); n > 2 {
		t.Errorf("%d connections to servers, want at most 2", n)
	}
}
