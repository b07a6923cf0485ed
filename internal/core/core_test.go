package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"elmseam"
	"elmseam/internal/probe"
)

const ms = time.Millisecond

// harness drives a core by hand, event by event. It begins with two servers, "a" on connection 10 and "b" on connection 11, and a
// caller on connection 1.
type harness struct {
	t      *testing.T
	core   *Core
	now    Time
	timers []Timer // timers that the core has set and that have not fired

	recordDials bool // step reports Dial effects too
}

// newHarness returns a harness with the settings of servers that report a hold-back share.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, deployments["hold-back share reported"])
}

// deployments are settings of two kinds. The first stands for servers that report a hold-back share and may not be probed; it names no
// ReportMetrics, so the values of reports are not read. In the second, servers report their waiting time and may be probed, tenants
// have shares, and the times and limits differ.
var deployments = map[string]elmseam.Settings{
	"hold-back share reported": {
		Classes:     []elmseam.Class{{Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}},
		MaxAttempts: 4, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		RetransmitInterval: 500 * ms, ReleaseGuard: 200 * ms, ColdInitialShare: 0.3, ColdRamp: 14 * time.Second,
		OverloadMultiple: 2.5, OverloadAfter: time.Second,
	},
	"wait reported": {
		Classes: []elmseam.Class{{Aim: 1500 * ms, Deadline: 9 * time.Second, Worth: 1}, {Aim: 1500 * ms, Deadline: 9 * time.Second, Worth: 3}},
		Tenants: []elmseam.Tenant{{Name: "x", Allowance: 54}, {Name: "y", Allowance: 19}}, OverShareWorth: 0.1,
		ReportMetrics: []elmseam.LoadMetric{elmseam.LoadMetricFreeLines, elmseam.LoadMetricTotalLines, elmseam.LoadMetricWait},
		MaxAttempts:   5, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		RetransmitInterval: 800 * ms, ReleaseGuard: 300 * ms, ColdInitialShare: 0.29, ColdRamp: 14 * time.Second,
		OverloadMultiple: 3, OverloadAfter: time.Second,
	},
}

// newHarnessWith returns a harness with the settings. The core may send probes if the settings have tenants.
func newHarnessWith(t *testing.T, settings elmseam.Settings) *harness {
	t.Helper()
	c, err := New(settings, 1, Limits{
		AnswerMargin: 15 * ms, RebindTimeout: 100 * ms, InitialRedialDelay: 100 * ms, MaxRedialDelay: 500 * ms,
		Probe:           probe.Limits{Permitted: len(settings.Tenants) > 0, Rate: 5, Burst: 2, Timeout: 300 * ms},
		ServerLostAfter: 6 * time.Second, StopGrace: 700 * ms, MaxStopWait: 9 * time.Second, CallerConnsTarget: 100, MaxCallerReleases: 100, MaxOpen: 100, MaxCallBytes: 100, EndedCallTTL: time.Minute, ReportedDrainTTL: 5 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, core: c, now: time.Hour}
	h.step(CallerUp{Conn: 1, Protocol: "f"})
	h.sendServerList(elmseam.PhaseReady, elmseam.PhaseReady)
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
	h.step(ServerUp{Server: "b", Address: "b:1", Conn: 11})
	return h
}

// sendServerList gives the core a full server list in which "a" is in phaseA and "b" in phaseB.
func (h *harness) sendServerList(phaseA, phaseB elmseam.Phase) string {
	return h.step(ServerList{Full: true, Servers: []Server{
		{Name: "a", Address: "a:1", Cell: 0, Phase: phaseA}, {Name: "b", Address: "b:1", Cell: 1, Phase: phaseB},
	}})
}

// step gives the core an event and returns the effects as text: each as its name, the id of its call if any, an @ and the connection, as in
// "offer7@10 ", or a dash and the server that is dialled, as in "dial-a ". Timers are kept for advance. A violation fails the test.
func (h *harness) step(ev Event) string {
	effects := ""
	for _, e := range h.core.Step(h.now, ev) {
		switch e := e.(type) {
		case Timer:
			h.timers = append(h.timers, e)
		case Offer:
			effects += fmt.Sprintf("offer%d@%d ", e.ID, e.To)
		case End:
			effects += fmt.Sprintf("end%d@%d ", e.ID, e.To)
		case Answered:
			effects += fmt.Sprintf("answered%d@%d ", e.ID, e.To)
		case Rejected:
			effects += fmt.Sprintf("rejected%d@%d ", e.ID, e.To)
		case Released:
			effects += fmt.Sprintf("released%d@%d ", e.ID, e.To)
		case Probe:
			effects += fmt.Sprintf("probe%d@%d ", e.ID, e.To)
		case Withdraw:
			effects += fmt.Sprintf("withdraw@%d ", e.To)
		case StopReading:
			effects += fmt.Sprintf("stopreading@%d ", e.To)
		case Transfer:
			effects += fmt.Sprintf("transfer@%d%v%v ", e.To, e.Open, e.Established) // with the ids of both kinds of calls, as in "transfer@1[2][1] "
		case ToPredecessor:
			effects += "to-predecessor "
		case ToSuccessor:
			effects += "to-successor "
		case GracefulClose:
			effects += fmt.Sprintf("close@%d ", e.To)
		case CloseConn:
			effects += fmt.Sprintf("closeconn@%d ", e.To)
		case ForgetCall:
			effects += fmt.Sprintf("forget%d ", e.ID)
		case Stopped:
			effects += "stopped "
		case CloseListener:
			effects += "close-listener "
		case Dial:
			if h.recordDials {
				effects += "dial-" + e.Server + " "
			}
		case Violation:
			h.t.Errorf("violation: call %d: %s", e.ID, e.Rule)
		}
	}
	return effects
}

// advance lets the time go by, with the timers that fire in it, and returns the effects.
func (h *harness) advance(duration time.Duration) (effects string) {
	for until := h.now + duration; ; {
		next := -1
		for i, timer := range h.timers {
			if timer.At <= until && (next < 0 || timer.At < h.timers[next].At) {
				next = i
			}
		}
		if next < 0 {
			h.now = until
			return effects
		}
		timer := h.timers[next]
		h.timers = append(h.timers[:next], h.timers[next+1:]...)
		h.now = max(h.now, timer.At)
		effects += h.step(TimerFired{Token: timer.Token})
	}
}

// countEffects counts an effect in a text that step returned.
func countEffects(effects, part string) int { return strings.Count(effects, part) }

// wantEffects checks a text of effects that step returned.
func (h *harness) wantEffects(got, want string) {
	h.t.Helper()
	if got != want {
		h.t.Errorf("effects %q, want %q", got, want)
	}
}

// setUp gives the core a set-up from the caller on connection 1 that prefers the cell of server "a".
func (h *harness) setUp(id ID, timeLeft time.Duration) string {
	return h.step(SetUp{ID: id, From: 1, Cell: 0, TimeLeft: timeLeft, At: h.now})
}

// When the connection to a server is reset, the attempt ends and the call is sent to another server only after the release
// guard. The answer is passed on once, and a late answer from the first server is followed by a release of the call at that server.
func TestResetAttemptIsRetriedElsewhereAfterReleaseGuard(t *testing.T) {
	h := newHarness(t)
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
	h.wantEffects(h.step(ServerDown{Server: "a", Conn: 10}), "")
	h.wantEffects(h.advance(199*ms), "")
	h.wantEffects(h.advance(2*ms), "offer7@11 ")
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "end7@12 ")
	h.wantEffects(h.step(ServerAnswer{Server: "b", ID: 7}), "answered7@1 ")
	h.wantEffects(h.step(ServerAnswer{Server: "b", ID: 7}), "")
	h.wantEffects(h.step(ServerEnd{Server: "b", ID: 7, Reason: ReasonNormal}), "released7@1 ")
}

// An attempt that was given up stays outstanding until its End is written, however long a stalled connection takes. Only then
// does the release guard begin and may another attempt follow.
func TestGivenUpAttemptIsOutstandingUntilItsEndIsWritten(t *testing.T) {
	h := newHarness(t)
	h.setUp(7, 5*time.Second)
	call := h.core.calls[7]
	h.core.effects = nil
	h.core.giveUpAttempt(call, elmseam.CauseCancelled) // as the controller does when a set-up has been overtaken
	h.wantEffects(h.advance(time.Second), "")
	if call.attempt == nil {
		t.Fatal("the attempt ended before its End was written")
	}
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "")
	h.wantEffects(h.step(EndWritten{Server: "a", ID: 7}), "")
	h.wantEffects(h.advance(201*ms), "offer7@11 ")
}

// The final answer is given before the caller's time is up. An answer that the server sends later is never passed on, and the call is
// released at the server.
func TestFinalAnswerBeforeDeadline(t *testing.T) {
	h := newHarness(t)
	h.setUp(7, 400*ms)
	h.wantEffects(h.advance(384*ms), "")
	h.wantEffects(h.advance(2*ms), "end7@10 rejected7@1 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "end7@10 ")
	h.wantEffects(h.advance(10*time.Second), "")
}

// A draining server gets no new set-ups: attempts that wait for its connection go elsewhere, and offers that are queued on its
// connections are withdrawn.
func TestServerDrainStopsWaitingAttempts(t *testing.T) {
	h := newHarness(t)
	h.step(ServerDown{Server: "a", Conn: 10})
	h.wantEffects(h.setUp(7, 5*time.Second), "") // waits for the connection
	h.wantEffects(h.sendServerList(elmseam.PhaseDraining, elmseam.PhaseReady), "offer7@11 ")
	h.wantEffects(h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "closeconn@12 ") // no longer wanted
	h.wantEffects(h.sendServerList(elmseam.PhaseReady, elmseam.PhaseDraining), "withdraw@11 ")
	h.wantEffects(h.step(NotSent{Server: "b", ID: 7}), "rejected7@1 ")
}

// An established call outlives the connections that it was set up on: its release goes out on another connection, or on the next
// one. When its server is removed, or unreachable for ServerLostAfter, the core releases the call, as no message from the
// server will.
func TestEstablishedCallsOutliveConnections(t *testing.T) {
	h := newHarness(t)
	for id := ID(1); id <= 3; id++ {
		h.setUp(id, 5*time.Second)
		h.step(ServerAnswer{Server: "a", ID: id})
	}
	h.wantEffects(h.step(ServerDown{Server: "a", Conn: 10}), "")
	h.wantEffects(h.step(CallerDown{Conn: 1}), "")
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 1, Reason: ReasonNormal}), "")
	h.wantEffects(h.step(CallerUp{Conn: 2, Protocol: "f"}), "released1@2 ")
	h.wantEffects(h.step(CallerEnd{ID: 2, From: 2}), "end2@12 ")
	h.wantEffects(h.sendServerList(elmseam.PhaseGone, elmseam.PhaseReady), "withdraw@12 released3@2 closeconn@12 ")
	h.step(SetUp{ID: 4, From: 2, TimeLeft: 5 * time.Second, At: h.now})
	h.step(ServerAnswer{Server: "b", ID: 4})
	h.step(ServerDown{Server: "b", Conn: 11})
	h.wantEffects(h.advance(5900*ms), "")
	h.wantEffects(h.advance(200*ms), "released4@2 ")
}

// A set-up may be sent just as its connection is closed. The caller sends it again on another connection: it stays one call with one
// answer. A set-up that the caller does not send again within RebindTimeout is given up.
func TestSetUpResentOnAnotherConnection(t *testing.T) {
	h := newHarness(t)
	h.wantEffects(h.setUp(7, 5*time.Second)+h.setUp(8, 5*time.Second), "offer7@10 offer8@10 ")
	h.step(CallerDown{Conn: 1})
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.wantEffects(h.step(SetUp{ID: 7, From: 2, TimeLeft: 5 * time.Second, At: h.now}), "")
	h.wantEffects(h.advance(101*ms), "forget8 end8@10 ")
	h.wantEffects(h.step(EndWritten{Server: "a", ID: 8}), "")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "answered7@2 ")
}

// A server whose route is withdrawn counts as gone until the route is back, a paused server as draining.
func TestRouteAndPause(t *testing.T) {
	h := newHarness(t)
	covers := func(address string) bool { return address == "a:1" }
	h.wantEffects(h.step(Route{Name: "a/32", Covers: covers}), "withdraw@10 ")
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@11 ")
	h.step(Route{Name: "a/32", Covers: covers, Up: true})
	h.wantEffects(h.step(ServerPaused{Server: "b", Paused: true}), "withdraw@11 ")
	h.wantEffects(h.setUp(8, 5*time.Second), "offer8@10 ")
}

// New calls are accepted for StopGrace after a stop. The process ends when the calls have ended.
func TestStop(t *testing.T) {
	h := newHarness(t)
	h.step(Stop{})
	h.advance(600 * ms)
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
	h.wantEffects(h.advance(200*ms), "")
	h.step(ServerAnswer{Server: "a", ID: 7})
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonNormal}), "released7@1 stopped ")
}

// The release of a call that this process has never seen is passed on. The release of a call that ended here is not, as it
// would be a second answer.
func TestReleaseOfUnknownCall(t *testing.T) {
	h := newHarness(t)
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 99, Reason: ReasonNormal}), "released99@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 99, Reason: ReasonNormal}), "")
	h.setUp(7, 5*time.Second)
	h.step(CallerEnd{ID: 7, From: 1})
	h.step(EndWritten{Server: "a", ID: 7})
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonReset}), "")
}

// A set-up is refused when the descriptions of the calls would take more memory than MaxCallBytes.
func TestCallBytesAreLimited(t *testing.T) {
	h := newHarness(t)
	big := SetUp{ID: 1, From: 1, TimeLeft: 5 * time.Second, At: h.now, Desc: make([]byte, 80)}
	h.wantEffects(h.step(big), "offer1@10 ")
	big.ID = 2
	h.wantEffects(h.step(big), "rejected2@1 ")
	h.step(ServerAnswer{Server: "a", ID: 1, Desc: make([]byte, 10)}) // the description of the caller is freed
	big.ID = 3
	h.wantEffects(h.step(big), "offer3@10 ")
	h.step(ServerEnd{Server: "a", ID: 1})
	h.step(ServerEnd{Server: "a", ID: 3, Reason: ReasonReset})
	if h.advance(10 * time.Second); h.core.callBytes != 0 {
		t.Errorf("callBytes is %d after all calls have ended, want 0", h.core.callBytes)
	}
}

// Calls that stand used to keep their answers' descriptions however many there were: large answers to small set-ups filled the memory, and
// then every further set-up was refused.
func TestAnswersOfStandingCallsFillMemory(t *testing.T) {
	h := newHarness(t)
	const calls = 30
	for id := ID(1); id <= calls; id++ {
		if effects := h.step(SetUp{ID: id, From: 1, TimeLeft: 5 * time.Second, At: h.now, Desc: make([]byte, 10)}); !strings.HasPrefix(effects, "offer") {
			t.Fatalf("set-up %d beside calls that stand: effects %q", id, effects)
		}
		for _, server := range []string{"a", "b"} {
			if h.core.servers[server].outstanding[id] != nil {
				h.step(ServerAnswer{Server: server, ID: id, Desc: make([]byte, 40)})
			}
		}
		if h.core.callBytes > h.core.limits.MaxCallBytes {
			t.Fatalf("%d calls take %d bytes of %d", id, h.core.callBytes, h.core.limits.MaxCallBytes)
		}
	}
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.wantEffects(h.step(SetUp{ID: calls, From: 2, TimeLeft: 5 * time.Second, At: h.now, Desc: make([]byte, 10)}), fmt.Sprintf("answered%d@2 ", calls))
	h.wantEffects(h.step(SetUp{ID: 1, From: 2, TimeLeft: 5 * time.Second, At: h.now, Desc: make([]byte, 10)}), "rejected1@2 ")
}

// The guards of the core hold whatever the controller decides: here the test decides on attempts that break the rules.
func TestGuardsHoldAgainstTheController(t *testing.T) {
	h := newHarness(t)
	addCall := func(id ID) *call {
		call := &call{SetUp: SetUp{ID: id, From: 1}, controllerID: elmseam.CallID(1000 + id), deadline: h.now + 5*time.Second, releaseGuard: h.core.releaseGuard}
		h.core.calls[id], h.core.callsByControllerID[call.controllerID] = call, call
		return call
	}
	send := func(call *call, server string) (effects string) {
		h.core.effects = nil
		h.core.startAttempt(call, elmseam.Send{Server: h.core.servers[server].id})
		for _, e := range h.core.effects {
			switch e := e.(type) {
			case Offer:
				effects += "offer "
			case Violation:
				effects += "violation "
			case Timer:
				h.timers = append(h.timers, e)
			}
		}
		return effects
	}
	call := addCall(1)
	h.wantEffects(send(call, "a"), "offer ")
	h.wantEffects(send(call, "b"), "violation ") // another attempt is outstanding
	h.step(ServerDown{Server: "a", Conn: 10})
	h.wantEffects(send(call, "b"), "") // waits for the release guard
	h.wantEffects(h.advance(199*ms), "")
	h.wantEffects(h.advance(2*ms), "offer1@11 ")
	h.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	h.core.servers["a"].effectivePhase = elmseam.PhaseDraining
	call = addCall(2)
	if h.wantEffects(send(call, "a"), ""); call.attempt != nil {
		t.Error("an attempt to a draining server is outstanding")
	}
	call = addCall(3)
	call.maxAttempts = 4
	call.attemptCount = call.maxAttempts
	if h.wantEffects(send(call, "b"), ""); call.attempt != nil {
		t.Error("an attempt beyond the limit is outstanding")
	}
	call = addCall(4)
	call.answered = true
	h.wantEffects(send(call, "b"), "violation ")
	call = addCall(5)
	h.core.now = call.deadline
	h.wantEffects(send(call, "b"), "")
}

// A different set-up with the id of an open call is refused and does not affect that call. Guards against the second set-up taking the
// call over and being given its answer. Two set-ups with one id on one connection are both refused, and so is a set-up with the id of an
// ended call.
func TestRepeatedIDs(t *testing.T) {
	h := newHarness(t)
	h.step(CallerUp{Conn: 2, Protocol: "f"})
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
	h.wantEffects(h.step(SetUp{ID: 7, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: h.now, Desc: []byte("another")}), "rejected7@2 ")
	h.wantEffects(h.step(CallerEnd{ID: 7, From: 2}), "")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	h.wantEffects(h.step(SetUp{ID: 7, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: h.now, Desc: []byte("another")}), "rejected7@2 ")
	h.wantEffects(h.step(CallerDown{Conn: 1}), "")
	h.wantEffects(h.setUp(7, 5*time.Second), "") // sent before the connection was closed: no answer can reach it
	h.wantEffects(h.step(SetUp{ID: 7, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: h.now}), "answered7@2 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7}), "released7@2 ")

	h.wantEffects(h.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: h.now}), "offer8@10 ")
	h.wantEffects(h.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: h.now}), "rejected8@2 end8@10 rejected8@2 ")
	h.wantEffects(h.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: h.now}), "rejected8@2 ")
	h.step(EndWritten{Server: "a", ID: 8})
	h.wantEffects(h.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: h.now}), "rejected8@2 ")
}

// When callers hold more than CallerConnsTarget connections, those without a set-up are closed first, then those idle longest.
// Connections with an open set-up stay, and so does the newest, as its set-up may be on its way: the next connection whose
// set-up is answered is closed instead. Guards against closing the newest connection with its set-up, and against closing a
// connection before the answer just written can be read.
func TestSurplusCallerConnectionsAreClosed(t *testing.T) {
	h := newHarness(t)
	h.core.limits.CallerConnsTarget = 4
	for conn := ConnID(2); conn <= 4; conn++ {
		h.now += ms
		h.wantEffects(h.step(CallerUp{Conn: conn, Protocol: "f"}), "")
	}
	sendSetUp := func(conn ConnID) {
		h.now += ms
		h.step(SetUp{ID: ID(conn), From: conn, Cell: 0, TimeLeft: time.Minute, At: h.now})
	}
	sendSetUp(1)
	sendSetUp(2)
	sendSetUp(3)
	h.step(ServerAnswer{Server: "a", ID: 1})
	h.step(ServerAnswer{Server: "a", ID: 2})
	h.wantEffects(h.step(CallerUp{Conn: 5, Protocol: "f"}), "close@4 ") // has brought no set-up
	sendSetUp(5)
	h.wantEffects(h.step(CallerUp{Conn: 6, Protocol: "f"}), "close@1 ") // idle longest, as the calls on 1 and 2 are established
	sendSetUp(6)
	h.wantEffects(h.step(CallerUp{Conn: 7, Protocol: "f"}), "close@2 ")
	sendSetUp(7)
	h.wantEffects(h.step(CallerUp{Conn: 8, Protocol: "f"}), "")
	h.wantEffects(h.step(SetUp{ID: 8, From: 8, Cell: 0, TimeLeft: time.Minute, At: h.now}), "offer8@10 ")
	h.wantEffects(h.step(ServerAnswer{Server: "a", ID: 3}), "answered3@3 close@3 ")
	// A protocol handler that keeps state for the call, a circuit for instance, has to forget it.
	h.wantEffects(h.step(SetUp{ID: 9, From: 3, Cell: 0, TimeLeft: time.Minute, At: h.now}), "forget9 ")
}

// New settings and limits apply to new calls. A call that exists keeps the number of attempts of its own settings.
func TestReconfiguration(t *testing.T) {
	h := newHarness(t)
	h.wantEffects(h.setUp(7, 5*time.Second), "offer7@10 ")
	settings := elmseam.Settings{Classes: []elmseam.Class{{Deadline: 9 * time.Second, Worth: 1}}, MaxAttempts: 1, OwnCell: -1}
	limits := h.core.limits
	limits.MaxOpen = 1
	h.wantEffects(h.step(Configured{Settings: settings, Limits: limits}), "")
	h.wantEffects(h.setUp(8, 5*time.Second), "rejected8@1 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 7, Reason: ReasonFull}), "offer7@11 ")
	h.step(ServerEnd{Server: "b", ID: 7, Reason: ReasonFull})
	h.advance(5 * time.Second) // the servers are no longer blocked
	h.wantEffects(h.setUp(9, 5*time.Second), "offer9@10 ")
	h.wantEffects(h.step(ServerEnd{Server: "a", ID: 9, Reason: ReasonFull}), "rejected9@1 ") // one attempt, by the new settings
}

// Calls that are refused at full speed, and routes to addresses that no server has, take a bounded amount of memory.
func TestRememberedIDsAndRoutesAreBounded(t *testing.T) {
	h := newHarness(t)
	h.core.limits.MaxEndedCalls, h.core.limits.MaxRoutes = 3, 2
	for id := ID(1); id <= 10; id++ {
		h.setUp(id, 5*time.Second)
		h.step(ServerEnd{Server: "a", ID: id, Reason: ReasonFull})
		h.step(ServerEnd{Server: "b", ID: id, Reason: ReasonFull})
	}
	if len(h.core.endedCalls) != 3 || len(h.core.endedCallOrder) != 3 || len(h.core.calls) != 0 {
		t.Errorf("%d and %d ids of ended calls, and %d calls, are kept, want 3, 3 and 0", len(h.core.endedCalls), len(h.core.endedCallOrder), len(h.core.calls))
	}
	h.wantEffects(h.setUp(10, 5*time.Second), "rejected10@1 ") // the last ids are kept
	for i := range 10 {
		h.step(Route{Name: fmt.Sprint(i), Covers: func(string) bool { return false }})
	}
	h.wantEffects(h.step(Route{Name: "a/32", Covers: func(address string) bool { return address == "a:1" }}), "withdraw@10 ")
	if len(h.core.withdrawnRoutes) != 3 || h.core.servers["a"].effectivePhase != elmseam.PhaseGone {
		t.Errorf("%d routes kept, a server whose route is withdrawn is in phase %v", len(h.core.withdrawnRoutes), h.core.servers["a"].effectivePhase)
	}
}

// A server that leaves the list and comes back keeps its id towards the controller. The number of removed servers that are
// remembered is bounded.
func TestReturningServerKeepsItsID(t *testing.T) {
	h := newHarness(t)
	h.core.limits.MaxRemovedServers = 2
	id := h.core.servers["a"].id
	h.sendServerList(elmseam.PhaseGone, elmseam.PhaseReady)
	h.sendServerList(elmseam.PhaseReady, elmseam.PhaseReady)
	if got := h.core.servers["a"].id; got != id {
		t.Errorf("the id of the server is %d, was %d", got, id)
	}
	for i := range 10 {
		name := fmt.Sprint(i)
		h.step(ServerList{Servers: []Server{{Name: name, Address: "x:1", Phase: elmseam.PhaseReady}}})
		h.step(ServerList{Servers: []Server{{Name: name, Address: "x:1", Phase: elmseam.PhaseGone}}})
	}
	if len(h.core.removedServers) != 2 || len(h.core.servers) != 2 || len(h.core.serversByID) != 2 || len(h.core.serverOrder) != 2 {
		t.Errorf("%d removed servers remembered, and %d servers, %d ids and %d entries of serverOrder kept, want 2 of each", len(h.core.removedServers), len(h.core.servers), len(h.core.serversByID), len(h.core.serverOrder))
	}
}
