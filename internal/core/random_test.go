package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"elmseam"
)

// The rules hold for any events in any order: thousands of calls meet random answers, resets, drains, restarts,
// give-ups, closed connections of callers and End effects that are written late. The effects are checked against a model that
// knows only the rules.
func TestRulesUnderRandomEvents(t *testing.T) {
	for name, settings := range deployments {
		t.Run(name, func(t *testing.T) { rulesUnderRandomEvents(t, settings) })
	}
}

// rulesUnderRandomEvents plays random events with the settings and checks the effects.
func rulesUnderRandomEvents(t *testing.T, settings elmseam.Settings) {
	rng := rand.New(rand.NewPCG(7, 7))
	h := newHarnessWith(t, settings)
	h.core.limits.MaxCallBytes = 1 << 20
	type callModel struct {
		server       string // server with an outstanding attempt; empty: none
		ending       bool   // the End of the attempt is not written yet
		attempts     int
		finalAnswers int
		callerGone   bool   // the caller has given up, or gets no message about the call
		badEndAt     Time   // when the last attempt was reset, cancelled or timed out; 0: none was
		established  string // server on which the call was established; empty: none
		released     bool
	}
	calls := make(map[ID]*callModel)
	ids := []ID{}
	connServer := map[ConnID]string{10: "a", 11: "b"}
	serverConnID := map[string]ConnID{"a": 10, "b": 11}
	phases := map[string]elmseam.Phase{"a": elmseam.PhaseReady, "b": elmseam.PhaseReady}
	var pendingDials []string
	type serverCall struct {
		server string
		id     ID
	}
	var unwrittenEnds []serverCall
	var probeAnswers []ServerProbeAnswer
	lastID, lastConn := ID(0), ConnID(100)
	var callerConnID ConnID = 1
	failCall := func(id ID, what string) { t.Fatalf("call %d: %s: %+v", id, what, calls[id]) }
	loseConn := func(name string) { // ends a connection to a server and the attempts on it
		delete(connServer, serverConnID[name])
		delete(serverConnID, name)
		for _, modelled := range calls {
			if modelled.server == name {
				modelled.server, modelled.ending, modelled.badEndAt = "", false, h.now
			}
		}
	}
	step := func(ev Event) {
		for _, e := range h.core.Step(h.now, ev) {
			switch e := e.(type) {
			case Timer:
				h.timers = append(h.timers, e)
			case Dial:
				pendingDials = append(pendingDials, e.Server)
			case CloseConn:
				if name, known := connServer[e.To]; known {
					loseConn(name)
				}
			case Offer:
				modelled, name := calls[e.ID], connServer[e.To]
				switch {
				case name == "":
					failCall(e.ID, "offered on a connection that has ended")
				case modelled.server != "":
					failCall(e.ID, "second attempt while one is outstanding")
				case phases[name] != elmseam.PhaseReady:
					failCall(e.ID, "sent to a server that drains or is gone")
				case modelled.badEndAt != 0 && h.now < modelled.badEndAt+h.core.releaseGuard:
					failCall(e.ID, "sent within the release guard")
				case modelled.finalAnswers > 0 || modelled.callerGone:
					failCall(e.ID, "sent after its final answer or give-up")
				}
				if modelled.server = name; modelled.attempts == settings.MaxAttempts {
					failCall(e.ID, "more attempts than permitted")
				}
				modelled.attempts++
			case Probe:
				name := connServer[e.To]
				if !h.core.limits.Probe.Permitted || name == "" || phases[name] != elmseam.PhaseReady {
					t.Fatalf("a probe on connection %d, which goes to %q", e.To, name)
				}
				if rng.IntN(2) == 0 {
					probeAnswers = append(probeAnswers, ServerProbeAnswer{Server: name, Conn: e.To, ID: e.ID, Report: Report{{elmseam.LoadMetricWait, rng.Float64() * 900}}})
				}
			case GracefulClose:
				if name, known := connServer[e.To]; known { // replaced, as no attempt is outstanding on it
					for id, modelled := range calls {
						if modelled.server == name {
							failCall(id, "its connection is closed as one without an outstanding attempt")
						}
					}
					loseConn(name)
				}
			case End:
				if modelled, name := calls[e.ID], connServer[e.To]; modelled != nil && name != "" && modelled.server == name {
					if modelled.ending = true; e.Notify {
						unwrittenEnds = append(unwrittenEnds, serverCall{name, e.ID})
					} else {
						modelled.server, modelled.ending = "", false
					}
				}
			case Answered:
				modelled := calls[e.ID]
				if modelled.finalAnswers++; modelled.established == "" || modelled.finalAnswers > 1 {
					failCall(e.ID, "answered twice, or without an answer of a server")
				}
			case Rejected:
				modelled := calls[e.ID]
				if modelled.finalAnswers++; modelled.finalAnswers > 1 || modelled.callerGone {
					failCall(e.ID, "refused after its final answer or give-up")
				}
			case ForgetCall:
				calls[e.ID].callerGone = true
			case Released:
				if modelled := calls[e.ID]; modelled != nil && (modelled.established == "" || modelled.released) {
					failCall(e.ID, "released twice, or without having been established")
				} else if modelled != nil {
					modelled.released = true
				}
			case Violation:
				failCall(e.ID, e.Rule)
			}
		}
	}
	establishedCount := 0
	for range 60000 {
		h.now += time.Duration(rng.IntN(8)) * ms
		for i := 0; i < len(h.timers); {
			if timer := h.timers[i]; timer.At <= h.now {
				h.timers = append(h.timers[:i], h.timers[i+1:]...)
				step(TimerFired{Token: timer.Token})
				i = 0
			} else {
				i++
			}
		}
		name := []string{"a", "b"}[rng.IntN(2)]
		var id ID
		if len(ids) > 0 {
			id = ids[max(0, len(ids)-1-rng.IntN(30))]
		}
		modelled := calls[id]
		switch rng.IntN(26) {
		case 24:
			step(ServerSilent{Server: name, Conn: serverConnID[name], SilentFor: time.Duration(rng.IntN(2000)) * ms})
		case 25: // the answer to a probe; the last answer comes twice
			if n := len(probeAnswers); n > 0 {
				step(probeAnswers[0])
				probeAnswers = probeAnswers[min(1, n-1):]
			}
		case 0, 1, 2, 3, 4:
			lastID++
			calls[lastID] = &callModel{}
			ids = append(ids, lastID)
			step(SetUp{ID: lastID, From: callerConnID, Class: rng.IntN(len(settings.Classes)), Tenant: []string{"", "x", "y", "z"}[rng.IntN(4)], Cell: rng.IntN(2), TimeLeft: time.Duration(50+rng.IntN(4000)) * ms, At: h.now})
		case 5, 6, 7, 8, 9, 10, 11, 12: // a server answers an attempt
			if modelled != nil && modelled.server != "" {
				server := modelled.server
				if !modelled.ending {
					modelled.server, modelled.established = "", server
					establishedCount++
				}
				step(ServerAnswer{Server: server, Conn: serverConnID[server], ID: id})
			}
		case 13:
			if modelled != nil && modelled.server != "" && !modelled.ending {
				server := modelled.server
				modelled.server = ""
				step(ServerEnd{Server: server, Conn: serverConnID[server], ID: id, Reason: []Reason{ReasonFull, ReasonBusy, ReasonUnsent}[rng.IntN(3)]})
			}
		case 14, 15:
			if modelled != nil && modelled.established != "" && !modelled.released && serverConnID[modelled.established] != 0 {
				step(ServerEnd{Server: modelled.established, Conn: serverConnID[modelled.established], ID: id, Reason: ReasonNormal})
			}
		case 16:
			if modelled != nil && !modelled.callerGone && !modelled.released {
				modelled.callerGone, modelled.released = modelled.established == "", modelled.established != ""
				step(CallerEnd{ID: id, From: callerConnID})
			}
		case 17:
			if connID := serverConnID[name]; connID != 0 && rng.IntN(20) == 0 {
				loseConn(name)
				step(ServerDown{Server: name, Conn: connID})
			}
		case 18, 19: // a dial succeeds or fails
			if len(pendingDials) > 0 {
				server := pendingDials[0]
				pendingDials = pendingDials[1:]
				if rng.IntN(10) == 0 {
					step(ServerDown{Server: server})
				} else {
					lastConn++
					connServer[lastConn], serverConnID[server] = server, lastConn
					step(ServerUp{Server: server, Address: server + ":1", Conn: lastConn})
				}
			}
		case 20:
			if rng.IntN(4) == 0 {
				phases[name] = []elmseam.Phase{elmseam.PhaseReady, elmseam.PhaseReady, elmseam.PhaseReady, elmseam.PhaseReady, elmseam.PhaseDraining, elmseam.PhaseGone}[rng.IntN(6)]
				step(ServerList{Servers: []Server{{Name: name, Address: name + ":1", Cell: int(name[0] - 'a'), Phase: phases[name]}}})
			}
		case 21, 22: // an End is written late
			if len(unwrittenEnds) > 0 {
				end := unwrittenEnds[0]
				unwrittenEnds = unwrittenEnds[1:]
				if modelled := calls[end.id]; modelled.server == end.server && modelled.ending {
					modelled.server, modelled.ending, modelled.badEndAt = "", false, h.now
				}
				step(EndWritten{Server: end.server, ID: end.id})
			}
		case 23:
			if rng.IntN(20) == 0 {
				old := callerConnID
				lastConn++
				callerConnID = lastConn
				step(CallerDown{Conn: old})
				step(CallerUp{Conn: callerConnID, Protocol: "f"})
			}
		}
	}
	for range 100 { // all final answers that are pending are given
		h.now += time.Second
		for _, timer := range h.timers {
			step(TimerFired{Token: timer.Token})
		}
		h.timers = nil
	}
	for id, modelled := range calls {
		if modelled.finalAnswers == 0 && !modelled.callerGone && modelled.established == "" {
			failCall(id, "no final answer")
		}
	}
	t.Logf("%d calls, %d established", lastID, establishedCount)
	if lastID < 5000 || establishedCount < 500 {
		t.Error("too few calls for the test to cover the rules: want at least 5000, and 500 established")
	}
}
