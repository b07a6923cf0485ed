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

// rig drives a core by hand: two servers, both with connections, and a caller on link 1.
type rig struct {
	t      *testing.T
	core   *Core
	now    Time
	timers []Timer

	recordDials bool // are written down
}

func newRig(t *testing.T) *rig {
	t.Helper()
	return newRigWith(t, deployments["share told"])
}

// deployments are settings of two kinds: servers that tell a share to hold back, and none that may be probed; servers that
// tell their wait, probes, tenants with shares, and other figures of the rules.
var deployments = map[string]elmseam.Settings{
	"share told": {
		Classes:     []elmseam.Class{{Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}},
		MaxAttempts: 4, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		RetransmitInterval: 500 * ms, ReleaseGuard: 200 * ms, ColdInitialShare: 0.3, ColdRamp: 14 * time.Second,
		OverloadMultiple: 2.5, OverloadAfter: time.Second,
	},
	"wait told": {
		Classes: []elmseam.Class{{Aim: 1500 * ms, Deadline: 9 * time.Second, Worth: 1}, {Aim: 1500 * ms, Deadline: 9 * time.Second, Worth: 3}},
		Tenants: []elmseam.Tenant{{Name: "x", Allowance: 54}, {Name: "y", Allowance: 19}}, OverShareWorth: 0.1,
		ReportMetrics: []elmseam.LoadMetric{elmseam.LoadMetricFreeLines, elmseam.LoadMetricTotalLines, elmseam.LoadMetricWait},
		MaxAttempts:   5, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		RetransmitInterval: 800 * ms, ReleaseGuard: 300 * ms, ColdInitialShare: 0.29, ColdRamp: 14 * time.Second,
		OverloadMultiple: 3, OverloadAfter: time.Second,
	},
}

func newRigWith(t *testing.T, set elmseam.Settings) *rig {
	t.Helper()
	c, err := New(set, 1, Limits{
		AnswerMargin: 15 * ms, Rebind: 100 * ms, MinRedial: 100 * ms, MaxRedial: 500 * ms,
		Probe:           probe.Limits{Permitted: len(set.Tenants) > 0, Rate: 5, Burst: 2, Timeout: 300 * ms},
		ServerLostAfter: 6 * time.Second, StopGrace: 700 * ms, MaxStopWait: 9 * time.Second, MaxCallerConns: 100, MaxOpen: 100, MaxCallBytes: 100, EndedCallTTL: time.Minute, ReportedDrainTTL: 5 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, core: c, now: time.Hour}
	r.step(CallerUp{Conn: 1, Protocol: "f"})
	r.list(elmseam.Ready, elmseam.Ready)
	r.step(ServerUp{Server: "a", Address: "a:1", Conn: 10})
	r.step(ServerUp{Server: "b", Address: "b:1", Conn: 11})
	return r
}

func (r *rig) list(a, b elmseam.Phase) string {
	return r.step(List{Full: true, Servers: []Server{
		{Name: "a", Address: "a:1", Cell: 0, Phase: a}, {Name: "b", Address: "b:1", Cell: 1, Phase: b},
	}})
}

// step gives an event and writes down the effects that go out on links.
func (r *rig) step(ev Event) string {
	effects := ""
	for _, e := range r.core.Step(r.now, ev) {
		switch e := e.(type) {
		case Timer:
			r.timers = append(r.timers, e)
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
			effects += fmt.Sprintf("test%d@%d ", e.ID, e.To)
		case Withdraw:
			effects += fmt.Sprintf("withdraw@%d ", e.To)
		case StopReading:
			effects += fmt.Sprintf("move@%d ", e.To)
		case Transfer:
			effects += fmt.Sprintf("pass@%d%v%v ", e.To, e.Open, e.Established)
		case ToPredecessor:
			effects += "to the older "
		case ToSuccessor:
			effects += "to the newer "
		case GracefulClose:
			effects += fmt.Sprintf("close@%d ", e.To)
		case CloseConn:
			effects += fmt.Sprintf("hangup@%d ", e.To)
		case ForgetCall:
			effects += fmt.Sprintf("dropped%d ", e.ID)
		case Stopped:
			effects += "stopped "
		case CloseListener:
			effects += "closes its listener "
		case Dial:
			if r.recordDials {
				effects += "dial-" + e.Server + " "
			}
		case Violation:
			r.t.Errorf("a guard had to hold: call %d: %s", e.ID, e.Rule)
		}
	}
	return effects
}

// pass lets time go by, timers included.
func (r *rig) advance(duration time.Duration) (effects string) {
	for until := r.now + duration; ; {
		next := -1
		for i, timer := range r.timers {
			if timer.At <= until && (next < 0 || timer.At < r.timers[next].At) {
				next = i
			}
		}
		if next < 0 {
			r.now = until
			return effects
		}
		timer := r.timers[next]
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.now = max(r.now, timer.At)
		effects += r.step(TimerFired{Token: timer.Token})
	}
}

func countOf(effects, part string) int { return strings.Count(effects, part) }

func (r *rig) want(got, want string) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("effects %q, want %q", got, want)
	}
}

func (r *rig) setUp(id ID, timeLeft time.Duration) string {
	return r.step(SetUp{ID: id, From: 1, Cell: 0, TimeLeft: timeLeft, At: r.now})
}

// A reset server connection ends the attempt, and the call goes elsewhere only after the release gap;
// the answer is passed on once, and what comes late from the first server is released there.
func TestResetThenGapThenElsewhere(t *testing.T) {
	r := newRig(t)
	r.want(r.setUp(7, 5*time.Second), "offer7@10 ")
	r.want(r.step(ServerDown{Server: "a", Conn: 10}), "")
	r.want(r.advance(199*ms), "")
	r.want(r.advance(2*ms), "offer7@11 ")
	r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "end7@12 ")
	r.want(r.step(ServerAnswer{Server: "b", ID: 7}), "answered7@1 ")
	r.want(r.step(ServerAnswer{Server: "b", ID: 7}), "")
	r.want(r.step(ServerEnd{Server: "b", ID: 7, Reason: Normal}), "released7@1 ")
}

// An attempt is out until its end is written: the guard against two attempts out at once waits for that,
// however long a stalled connection takes, and the release gap counts from then.
func TestGivenUpAttemptIsOutUntilItsEndIsWritten(t *testing.T) {
	r := newRig(t)
	r.setUp(7, 5*time.Second)
	k := r.core.calls[7]
	r.core.out = nil
	r.core.giveUpAttempt(k, elmseam.CauseCancelled) // as the module does with an overtaken set-up
	r.want(r.advance(time.Second), "")
	if k.attempt == nil {
		t.Fatal("the attempt is over before its end was written")
	}
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "")
	r.want(r.step(EndWritten{Server: "a", ID: 7}), "")
	r.want(r.advance(201*ms), "offer7@11 ")
}

// The final answer is out before the caller's time is up, and only one: the answer that comes after it is
// never passed on.
func TestDeadline(t *testing.T) {
	r := newRig(t)
	r.setUp(7, 400*ms)
	r.want(r.advance(384*ms), "")
	r.want(r.advance(2*ms), "end7@10 rejected7@1 ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "end7@10 ")
	r.want(r.advance(10*time.Second), "")
}

// A server that drains gets nothing new: what waits for its connection is not sent there, and offers that
// are queued on it are withdrawn.
func TestDrainStopsWhatWaits(t *testing.T) {
	r := newRig(t)
	r.step(ServerDown{Server: "a", Conn: 10})
	r.want(r.setUp(7, 5*time.Second), "") // dialling
	r.want(r.list(elmseam.Draining, elmseam.Ready), "offer7@11 ")
	r.want(r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12}), "hangup@12 ") // too late to be of use
	r.want(r.list(elmseam.Ready, elmseam.Draining), "withdraw@11 ")
	r.want(r.step(NotSent{Server: "b", ID: 7}), "rejected7@1 ")
}

// A call that stands outlives connections; its release goes out on another one, or on the next. That of a
// server that is gone for good, or out of reach for long, is told by nobody else.
func TestStandingCallsBelongToNoConnection(t *testing.T) {
	r := newRig(t)
	for id := ID(1); id <= 3; id++ {
		r.setUp(id, 5*time.Second)
		r.step(ServerAnswer{Server: "a", ID: id})
	}
	r.want(r.step(ServerDown{Server: "a", Conn: 10}), "")
	r.want(r.step(CallerDown{Conn: 1}), "")
	r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	r.want(r.step(ServerEnd{Server: "a", ID: 1, Reason: Normal}), "")
	r.want(r.step(CallerUp{Conn: 2, Protocol: "f"}), "released1@2 ")
	r.want(r.step(CallerEnd{ID: 2, From: 2}), "end2@12 ")
	r.want(r.list(elmseam.Gone, elmseam.Ready), "withdraw@12 released3@2 hangup@12 ")
	r.step(SetUp{ID: 4, From: 2, TimeLeft: 5 * time.Second, At: r.now})
	r.step(ServerAnswer{Server: "b", ID: 4})
	r.step(ServerDown{Server: "b", Conn: 11})
	r.want(r.advance(5900*ms), "")
	r.want(r.advance(200*ms), "released4@2 ")
}

// A set-up comes again after a crossing close: one call goes on, with one answer. One that does not come
// again is given up.
func TestSetUpComesAgain(t *testing.T) {
	r := newRig(t)
	r.want(r.setUp(7, 5*time.Second)+r.setUp(8, 5*time.Second), "offer7@10 offer8@10 ")
	r.step(CallerDown{Conn: 1})
	r.step(CallerUp{Conn: 2, Protocol: "f"})
	r.want(r.step(SetUp{ID: 7, From: 2, TimeLeft: 5 * time.Second, At: r.now}), "")
	r.want(r.advance(101*ms), "dropped8 end8@10 ")
	r.want(r.step(EndWritten{Server: "a", ID: 8}), "")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "answered7@2 ")
}

// A way that is withdrawn counts as the server gone, one that comes back as ready; so with a pause.
func TestRouteAndPause(t *testing.T) {
	r := newRig(t)
	covers := func(address string) bool { return address == "a:1" }
	r.want(r.step(Route{Name: "a/32", Covers: covers}), "withdraw@10 ")
	r.want(r.setUp(7, 5*time.Second), "offer7@11 ")
	r.step(Route{Name: "a/32", Covers: covers, Up: true})
	r.want(r.step(ServerPaused{Server: "b", Paused: true}), "withdraw@11 ")
	r.want(r.setUp(8, 5*time.Second), "offer8@10 ")
}

// After a stop callers may still come for the grace; the end waits for what is owed, but not for ever.
func TestStop(t *testing.T) {
	r := newRig(t)
	r.step(Stop{})
	r.advance(600 * ms)
	r.want(r.setUp(7, 5*time.Second), "offer7@10 ")
	r.want(r.advance(200*ms), "")
	r.step(ServerAnswer{Server: "a", ID: 7})
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Normal}), "released7@1 stopped ")
}

// A release of a call that stood before this start is passed on; one of a call that ended here is not, as
// it would be a second answer.
func TestStrayRelease(t *testing.T) {
	r := newRig(t)
	r.want(r.step(ServerEnd{Server: "a", ID: 99, Reason: Normal}), "released99@1 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 99, Reason: Normal}), "")
	r.setUp(7, 5*time.Second)
	r.step(CallerEnd{ID: 7, From: 1})
	r.step(EndWritten{Server: "a", ID: 7})
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Reset}), "")
}

// Large descriptions of many open calls cost no more memory than there is: the next call is refused.
func TestOpenCallsKeepWithinMemory(t *testing.T) {
	r := newRig(t)
	big := SetUp{ID: 1, From: 1, TimeLeft: 5 * time.Second, At: r.now, Desc: make([]byte, 80)}
	r.want(r.step(big), "offer1@10 ")
	big.ID = 2
	r.want(r.step(big), "rejected2@1 ")
	r.step(ServerAnswer{Server: "a", ID: 1, Desc: make([]byte, 10)}) // what has been passed on is not kept
	big.ID = 3
	r.want(r.step(big), "offer3@10 ")
	r.step(ServerEnd{Server: "a", ID: 1})
	r.step(ServerEnd{Server: "a", ID: 3, Reason: Reset})
	if r.advance(10 * time.Second); r.core.callBytes != 0 {
		t.Errorf("%d bytes kept for no call", r.core.callBytes)
	}
}

// The core's guards hold whatever the module decides: here the sends are not its own, and break the rules.
func TestGuardsHoldAgainstTheModule(t *testing.T) {
	r := newRig(t)
	newCall := func(id ID) *call {
		k := &call{SetUp: SetUp{ID: id, From: 1}, controllerID: elmseam.CallID(1000 + id), deadline: r.now + 5*time.Second, releaseGuard: r.core.releaseGuard}
		r.core.calls[id], r.core.callsByControllerID[k.controllerID] = k, k
		return k
	}
	send := func(k *call, server string) (effects string) {
		r.core.out = nil
		r.core.startAttempt(k, elmseam.Send{Server: r.core.servers[server].id})
		for _, e := range r.core.out {
			switch e := e.(type) {
			case Offer:
				effects += "offer "
			case Violation:
				effects += "held "
			case Timer:
				r.timers = append(r.timers, e)
			}
		}
		return effects
	}
	k := newCall(1)
	r.want(send(k, "a"), "offer ")
	r.want(send(k, "b"), "held ") // one is out
	r.step(ServerDown{Server: "a", Conn: 10})
	r.want(send(k, "b"), "") // within the gap: it waits
	r.want(r.advance(199*ms), "")
	r.want(r.advance(2*ms), "offer1@11 ")
	r.step(ServerUp{Server: "a", Address: "a:1", Conn: 12})
	r.core.servers["a"].effectivePhase = elmseam.Draining
	k = newCall(2)
	if r.want(send(k, "a"), ""); k.attempt != nil {
		t.Error("a send to a server that drains waits for something")
	}
	k = newCall(3)
	k.maxAttempts = 4
	k.attempts = k.maxAttempts
	if r.want(send(k, "b"), ""); k.attempt != nil {
		t.Error("an attempt too many waits for something")
	}
	k = newCall(4)
	k.answered = true
	r.want(send(k, "b"), "held ")
	k = newCall(5)
	r.core.now = k.deadline
	r.want(send(k, "b"), "")
}

// Somebody else's set-up under the id of an open call is refused and does that call no harm: it took over the call
// and was given its answer. Two under one id on one connection are both refused, and an id that is over stays over.
func TestRepeatedIDs(t *testing.T) {
	r := newRig(t)
	r.step(CallerUp{Conn: 2, Protocol: "f"})
	r.want(r.setUp(7, 5*time.Second), "offer7@10 ")
	r.want(r.step(SetUp{ID: 7, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: r.now, Desc: []byte("another")}), "rejected7@2 ")
	r.want(r.step(CallerEnd{ID: 7, From: 2}), "")
	r.want(r.step(ServerAnswer{Server: "a", ID: 7}), "answered7@1 ")
	r.want(r.step(SetUp{ID: 7, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: r.now, Desc: []byte("another")}), "rejected7@2 ")
	r.want(r.step(CallerDown{Conn: 1}), "")
	r.want(r.setUp(7, 5*time.Second), "") // what a connection sent before it was closed: it can't be told anything
	r.want(r.step(SetUp{ID: 7, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: r.now}), "answered7@2 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 7}), "released7@2 ")

	r.want(r.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: r.now}), "offer8@10 ")
	r.want(r.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: r.now}), "rejected8@2 end8@10 rejected8@2 ")
	r.want(r.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: r.now}), "rejected8@2 ")
	r.step(EndWritten{Server: "a", ID: 8})
	r.want(r.step(SetUp{ID: 8, From: 2, Cell: 0, TimeLeft: 5 * time.Second, At: r.now}), "rejected8@2 ")
}

// Connections that ask for nothing fill up what callers may hold: they go first, then the ones idle longest. One
// with an open set-up stays, and where all have one so does the newest, as what it asks is on its way: the first that is
// answered makes room. It was hung up on, with its set-up, and those that went lost the answer just written.
func TestCallersMakeRoom(t *testing.T) {
	r := newRig(t)
	r.core.limits.MaxCallerConns = 4
	for l := ConnID(2); l <= 4; l++ {
		r.now += ms
		r.want(r.step(CallerUp{Conn: l, Protocol: "f"}), "")
	}
	ask := func(l ConnID) {
		r.now += ms
		r.step(SetUp{ID: ID(l), From: l, Cell: 0, TimeLeft: time.Minute, At: r.now})
	}
	ask(1)
	ask(2)
	ask(3)
	r.step(ServerAnswer{Server: "a", ID: 1})
	r.step(ServerAnswer{Server: "a", ID: 2})
	r.want(r.step(CallerUp{Conn: 5, Protocol: "f"}), "close@4 ") // never asked
	ask(5)
	r.want(r.step(CallerUp{Conn: 6, Protocol: "f"}), "close@1 ") // idle longest, as both calls stand
	ask(6)
	r.want(r.step(CallerUp{Conn: 7, Protocol: "f"}), "close@2 ")
	ask(7)
	r.want(r.step(CallerUp{Conn: 8, Protocol: "f"}), "")
	r.want(r.step(SetUp{ID: 8, From: 8, Cell: 0, TimeLeft: time.Minute, At: r.now}), "offer8@10 ")
	r.want(r.step(ServerAnswer{Server: "a", ID: 3}), "answered3@3 close@3 ")
	// A front that keeps something for a call, a circuit say, is told that it never was.
	r.want(r.step(SetUp{ID: 9, From: 3, Cell: 0, TimeLeft: time.Minute, At: r.now}), "dropped9 ")
}

// New settings and limits hold from now on, and drop no call in hand: that one keeps the attempts it came with.
func TestConfiguredAnew(t *testing.T) {
	r := newRig(t)
	r.want(r.setUp(7, 5*time.Second), "offer7@10 ")
	set := elmseam.Settings{Classes: []elmseam.Class{{Deadline: 9 * time.Second, Worth: 1}}, MaxAttempts: 1, OwnCell: -1}
	limits := r.core.limits
	limits.MaxOpen = 1
	r.want(r.step(Configured{Settings: set, Limits: limits}), "")
	r.want(r.setUp(8, 5*time.Second), "rejected8@1 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 7, Reason: Full}), "offer7@11 ")
	r.step(ServerEnd{Server: "b", ID: 7, Reason: Full})
	r.advance(5 * time.Second) // the full cuts are over
	r.want(r.setUp(9, 5*time.Second), "offer9@10 ")
	r.want(r.step(ServerEnd{Server: "a", ID: 9, Reason: Full}), "rejected9@1 ") // by the new settings
}

// What comes at full speed to be turned away, or is told of addresses that no server has, fills no memory.
func TestMemoriesAreBounded(t *testing.T) {
	r := newRig(t)
	r.core.limits.MaxEndedCalls, r.core.limits.MaxRoutes = 3, 2
	for id := ID(1); id <= 10; id++ {
		r.setUp(id, 5*time.Second)
		r.step(ServerEnd{Server: "a", ID: id, Reason: Full})
		r.step(ServerEnd{Server: "b", ID: id, Reason: Full})
	}
	if len(r.core.ended) != 3 || len(r.core.endedOrder) != 3 || len(r.core.calls) != 0 {
		t.Errorf("%d, %d ids kept, %d calls", len(r.core.ended), len(r.core.endedOrder), len(r.core.calls))
	}
	r.want(r.setUp(10, 5*time.Second), "rejected10@1 ") // the last ones are
	for i := range 10 {
		r.step(Route{Name: fmt.Sprint(i), Covers: func(string) bool { return false }})
	}
	r.want(r.step(Route{Name: "a/32", Covers: func(address string) bool { return address == "a:1" }}), "withdraw@10 ")
	if len(r.core.withdrawnRoutes) != 3 || r.core.servers["a"].effectivePhase != elmseam.Gone {
		t.Errorf("%d routes kept, a server whose own is withdrawn is in phase %v", len(r.core.withdrawnRoutes), r.core.servers["a"].effectivePhase)
	}
}

// A server that went and comes back is the same one to the module; what is kept of those that don't is bounded.
func TestServerComesBack(t *testing.T) {
	r := newRig(t)
	r.core.limits.MaxRemovedServers = 2
	id := r.core.servers["a"].id
	r.list(elmseam.Gone, elmseam.Ready)
	r.list(elmseam.Ready, elmseam.Ready)
	if got := r.core.servers["a"].id; got != id {
		t.Errorf("it is %d now, was %d", got, id)
	}
	for i := range 10 {
		name := fmt.Sprint(i)
		r.step(List{Servers: []Server{{Name: name, Address: "x:1", Phase: elmseam.Ready}}})
		r.step(List{Servers: []Server{{Name: name, Address: "x:1", Phase: elmseam.Gone}}})
	}
	if len(r.core.removed) != 2 || len(r.core.servers) != 2 || len(r.core.serversByID) != 2 || len(r.core.serverOrder) != 2 {
		t.Errorf("%d left, %d servers, %d ids, %d in order", len(r.core.removed), len(r.core.servers), len(r.core.serversByID), len(r.core.serverOrder))
	}
}
