package core

import (
	"slices"
	"strings"
	"testing"
	"time"

	"elmseam"
)

// What crosses what is listed in docs/CROSSINGS.md. Here the order is forced by hand, event by event; the same moments
// over sockets are in the fronts' tests.

// again has each attempt that ends followed by one to a server, whatever the module would do.
func (r *rig) resendTo(server string) {
	r.core.hook.Decide = func(ev elmseam.Event, actions []elmseam.Action) []elmseam.Action {
		if o, ended := ev.(elmseam.Outcome); ended && !o.Final {
			return []elmseam.Action{elmseam.Send{Call: o.Call, Server: r.core.servers[server].id}}
		}
		return actions
	}
}

// A connection that is idle for long is closed only where no set-up is open on it, here or with an older process: its
// reader closed it by its own clock, and the answer had no way.
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

// Nonsense behind set-ups that are open costs these nothing: each gets its answer, then the connection ends. It was
// closed at once, and they were given up without a word.
func TestMalformedCallerGetsWhatItIsOwed(t *testing.T) {
	r := newRig(t)
	r.want(r.setUp(7, 5*time.Second)+r.setUp(8, time.Second)+r.step(CallerMalformed{Conn: 1}), "offer7@10 offer8@10 ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	r.want(r.advance(time.Second), "end8@10 rejected8@1 close@1 ")
	r.step(CallerUp{Conn: 2, Protocol: "f"})
	r.want(r.step(CallerMalformed{Conn: 2}), "close@2 ")
	r.step(CallerUp{Conn: 3, Protocol: "f"}) // one that leaves is not kept for its set-up
	r.step(SetUp{ID: 9, From: 3, TimeLeft: 5 * time.Second, At: r.now})
	r.step(CallerMalformed{Conn: 3})
	r.step(CallerDown{Conn: 3})
	r.want(r.advance(101*ms), "dropped9 end9@10 ")
}

// A stop finds calls that wait for a connection, are out, are within the release gap, and stand. Each gets one answer;
// what comes after the grace is refused, also while the end is being written, and only then connections are closed. At
// the longest time that is waited for, open set-ups were left without an answer.
func TestStopAnswersEverySetUp(t *testing.T) {
	r := newRig(t)
	r.core.limits.StopLinger, r.core.limits.Transient = 60*ms, map[Protocol]bool{"f": true}
	r.want(r.setUp(1, 30*time.Second)+r.step(ServerAnswer{Server: "a", ID: 1}), "offer1@10 answered1@1 ")
	r.want(r.setUp(2, 30*time.Second)+r.step(ServerDown{Server: "a", Conn: 10}), "offer2@10 ") // within the gap
	r.want(r.setUp(3, 30*time.Second), "")                                                     // waits for a connection
	r.step(Stop{})
	r.step(Stop{}) // a second one changes nothing
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "offer3@12 ")
	r.want(r.setUp(4, 30*time.Second), "offer4@12 ") // in the grace
	r.want(r.advance(201*ms), "offer2@11 ")
	r.want(r.step(ServerEnd{Server: "b", ID: 2, Reason: Busy})+r.step(ServerAnswer{Server: "a", ID: 4}), "rejected2@1 answered4@1 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 1, Reason: Normal})+r.step(ServerEnd{Server: "a", ID: 4, Reason: Normal}), "released1@1 released4@1 ")
	r.advance(600 * ms)
	r.want(r.setUp(5, 30*time.Second), "rejected5@1 ")
	effects := r.advance(9 * time.Second)
	if rejections := countOf(effects, "rejected3@1"); rejections != 1 || !strings.HasSuffix(effects, "close@1 stopped ") {
		t.Errorf("at the end of the longest wait: %q", effects)
	}

	r = newRig(t) // what crosses the end itself
	r.core.limits.StopLinger, r.core.limits.Transient = 60*ms, map[Protocol]bool{"f": true}
	r.step(Stop{})
	r.want(r.advance(701*ms), "closes its listener ")
	r.want(r.setUp(6, 5*time.Second), "rejected6@1 ")
	r.step(CallerUp{Conn: 2, Protocol: "f"}) // the machine had accepted it
	r.want(r.step(SetUp{ID: 7, From: 2, TimeLeft: 5 * time.Second, At: r.now}), "rejected7@2 ")
	r.want(r.step(HandOver{}), "") // a successor that comes now finds them on their own connections
	r.want(r.advance(61*ms), "close@1 close@2 stopped ")
}

// A second answer comes some milliseconds late: to an attempt that is over it changes nothing for the one that is out at
// the same server over another connection, and a refusal ends no call that stands.
func TestSecondAnswerComesLate(t *testing.T) {
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
			t.Errorf("%T: %q, and the attempt is %v", late, effects, r.core.calls[7].attempt)
		}
	}
	r.want(r.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "answered7@1 ")
	r.want(r.step(ServerAnswer{Server: "a", Conn: 12, ID: 7}), "")
	r.want(r.step(ServerEnd{Server: "a", Conn: 12, ID: 7, Reason: Full, RefusalOnly: true}), "")
	r.want(r.step(ServerEnd{Server: "a", Conn: 12, ID: 7, Reason: Normal}), "released7@1 ")
}

// The answer, the refusal or the reset of an attempt comes in the same instant as its time-out, on either side of it. It
// has one outcome, and the gap runs where it may have run.
func TestAnswerCrossesTimeOut(t *testing.T) {
	for _, tt := range []struct {
		ev           Event
		first, after string // with the event before its time-out, and what follows the gap
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
				r.want(strings.TrimSuffix(r.step(tt.ev)+r.step(timeout)+r.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "close@10 "), tt.first)
				r.want(r.advance(199*ms), "")
				r.want(r.advance(2*ms), tt.after)
			} else {
				r.want(strings.TrimSuffix(r.step(timeout)+r.step(tt.ev)+r.step(EndWritten{Server: "a", Conn: 10, ID: 7}), "close@10 "), "end7@10 ")
				r.want(r.advance(199*ms), "")
				r.want(r.advance(2*ms), "offer7@11 ")
			}
			r.want(r.step(timeout), "") // that of an attempt which is over
		}
	}
}

// What a server says that can't be read ends the attempt it was for, which may have run, and no other call. The rest out
// on that connection is waited for, nothing new goes there, and what stands is heard of on another. The connection was
// closed at once, and all set-ups open on it ended as reset.
func TestMalformedAnswerEndsItsAttemptAlone(t *testing.T) {
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

// A connection comes up late: its server drains, is gone, has another address, or has enough. It is closed, nothing is
// sent on it, and the next one can be asked for. The dial that had been overtaken counted as under way for ever: the
// server, back in service, was never dialled again.
func TestConnectionComesUpLate(t *testing.T) {
	r := newRig(t)
	r.recordDials = true
	r.core.limits.ConnsPerServer = map[Protocol]int{"": 2}
	r.setUp(1, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.want(r.list(elmseam.Ready, elmseam.Ready), "dial-a dial-b ") // a second one to each
	r.want(r.list(elmseam.Draining, elmseam.Ready), "withdraw@10 ")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "hangup@12 ") // one is enough for what stands
	r.want(r.step(ServerDown{Server: "a", Conn: 12}), "")
	r.want(r.list(elmseam.Ready, elmseam.Ready), "dial-a ")
	r.want(r.list(elmseam.Gone, elmseam.Ready), "withdraw@10 released1@1 hangup@10 ")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 13}), "hangup@13 ")
	r.step(ServerDown{Server: "b", Conn: 11})
	r.want(r.setUp(2, 50*time.Millisecond), "") // given up before a connection is there
	r.want(r.advance(time.Second), "rejected2@1 ")
	r.want(r.step(ServerUp{Server: "b", Address: "b:1", Conn: 14}), "dial-b ")

	// The dial to where a server was fails late: the set-up that waits for the way to where it is now doesn't pay for it.
	r = newRig(t)
	r.recordDials = true
	r.step(ServerDown{Server: "a", Conn: 10})
	r.step(ServerDown{Server: "b", Conn: 11})
	r.advance(ms)
	r.setUp(3, 5*time.Second)
	to := r.core.calls[3].attempt.server.Name
	r.step(List{Servers: []Server{{Name: to, Address: "elsewhere:1", Phase: elmseam.Ready}}})
	r.want(r.step(ServerDown{Server: to, Address: to + ":1"}), "dial-"+to+" ")
	r.want(r.step(ServerUp{Server: to, Address: "elsewhere:1", Conn: 12}), "offer3@12 ")
}

// One event says that a server is gone and that another is at its address: what was out at the first ends as reset and is
// not sent to its successor within the gap, what stood is released, and what waits goes over a connection of the other's own,
// also where the first one's dial comes up late and reaches it.
func TestAnotherServerAtTheSameAddress(t *testing.T) {
	r := newRig(t)
	r.recordDials = true
	r.setUp(1, 5*time.Second)
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.setUp(2, 5*time.Second) // at a
	r.step(ServerDown{Server: "b", Conn: 11})
	r.want(r.step(List{Servers: []Server{
		{Name: "a", Address: "a:1", Phase: elmseam.Gone}, {Name: "b", Address: "b:1", Cell: 1, Phase: elmseam.Gone},
		{Name: "c", Address: "a:1", Phase: elmseam.Ready, Started: r.now},
	}}), "withdraw@10 released1@1 hangup@10 dial-c ")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "hangup@12 ")
	r.want(r.step(ServerAnswer{Server: "a", Conn: 10, ID: 2}), "") // it crossed
	r.want(r.step(ServerUp{Server: "c", Address: "a:1", Conn: 13}), "")
	r.want(r.advance(199*ms), "")
	if said := r.advance(2 * time.Second); countOf(said, "offer2") > countOf(said, "offer2@13") || countOf(said, "offer2") > 1 {
		t.Errorf("after the gap: %q", said)
	}
}

// The caller gives up, or closes its connection, while its set-up waits for a connection, within the release gap, and
// while it is being written: it is not sent on, or is ended, and no answer is owed.
func TestCallerLeavesWhileItsSetUpWaits(t *testing.T) {
	for name, begin := range map[string]func(r *rig){
		"for a connection": func(r *rig) {
			r.step(ServerDown{Server: "a", Conn: 10})
			r.step(ServerDown{Server: "b", Conn: 11})
			r.setUp(7, 5*time.Second)
		},
		"within the gap":        func(r *rig) { r.setUp(7, 5*time.Second); r.step(ServerDown{Server: "a", Conn: 10}) },
		"while it is written":   func(r *rig) { r.setUp(7, 5*time.Second) },
		"for its end's writing": func(r *rig) { r.setUp(7, 5*time.Second); r.step(ServerMalformed{Server: "a", Conn: 10, ID: 7}) },
	} {
		for _, departure := range []Event{CallerEnd{ID: 7, From: 1}, CallerDown{Conn: 1}} {
			r := newRig(t)
			begin(r)
			effects := r.step(departure) + r.advance(101*ms)
			effects += r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}) + r.step(EndWritten{Server: "a", Conn: 10, ID: 7}) + r.advance(10*time.Second)
			if retained := r.core.Retained(); countOf(effects, "offer") > 0 || countOf(effects, "rejected") > 0 || countOf(effects, "answered") > 0 || retained != (Retained{}) {
				t.Errorf("%s, %T: %q, and %+v is kept", name, departure, effects, retained)
			}
		}
	}
}

// An id comes again: the timers of the call that had it mean nothing to the one that has it now. Its old deadline failed
// the new call.
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

// A call keeps what it came with while the settings change: its class by name, the release gap, how often it may be sent.
// A report that is read before the columns of the settings change places, and used after, keeps its meaning: a share
// was read as a number of lines, and the other way round.
func TestSettingsChangeBetweenARequestsEvents(t *testing.T) {
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
				offeredClass = o.Class
			} else if timer, ok := e.(Timer); ok {
				r.timers = append(r.timers, timer)
			}
		}
	}
	stepOffer(SetUp{ID: 7, From: 1, Class: 1, Name: "gold", Cell: 0, TimeLeft: 5 * time.Second, At: r.now})
	if r.step(report); offeredClass != "gold" || !slices.Equal(reported, elmseam.Report{8, 9, 0.5}) {
		t.Errorf("class %q, report %v", offeredClass, reported)
	}
	configure(0, 1, elmseam.LoadMetricHoldBackShare, elmseam.LoadMetricTotalLines)
	if r.step(report); !slices.Equal(reported, elmseam.Report{0.5, 9}) {
		t.Errorf("report %v with the columns changed", reported)
	}
	configure(0, 1)
	reported = nil
	if r.step(report); reported != nil {
		t.Errorf("report %v where the settings name no columns", reported)
	}
	r.step(ServerDown{Server: "a", Conn: 10})
	r.want(r.advance(199*ms), "") // the gap it came under
	for _, timer := range slices.Clone(r.timers) {
		if offeredClass = ""; timer.Token.kind == tokenReleaseGuard {
			r.now += 2 * ms
			stepOffer(TimerFired{Token: timer.Token})
			break
		}
	}
	if offeredClass != "gold" {
		t.Errorf("sent again as %q", offeredClass)
	}
}

// Descriptors are scarce: connections to servers keep within what there are, and one that is needed takes the place of one
// that is not. With as many as there are servers the program took descriptors from its callers, whose set-ups it could not
// accept any more, or could not start at all: found with 64 and 48 descriptors and 24 servers.
func TestConnectionsToServersKeepWithinDescriptors(t *testing.T) {
	r := newRig(t)
	r.recordDials = true
	r.core.limits.MaxServerConns, r.core.limits.ConnsPerServer = 2, map[Protocol]int{"": 2}
	third := Server{Name: "c", Address: "c:1", Cell: 2, Phase: elmseam.Ready}
	r.want(r.step(List{Servers: []Server{third}}), "") // not before it is needed
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
	r.want(r.setUp(2, 5*time.Second), "close@11 dial-c ") // something is out at a
	r.want(r.step(ServerUp{Server: "c", Address: "c:1", Conn: 12}), "offer2@12 ")
	target = "b"
	r.want(r.setUp(3, 5*time.Second), "rejected3@1 ") // none can be missed
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.want(r.step(ServerEnd{Server: "c", ID: 2, Reason: Busy}), "rejected2@1 ")
	r.want(r.setUp(4, 5*time.Second), "close@12 dial-b ") // the last at a has to tell of what stands there
	r.want(r.step(ServerDown{Server: "b"})+r.step(ServerDown{Server: "c", Conn: 12}), "rejected4@1 ")
	if n := r.core.serverConnCount(); n > 2 {
		t.Errorf("%d connections to servers", n)
	}
}
