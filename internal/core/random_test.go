package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"elmseam"
)

// The rules hold whatever happens in whatever order: thousands of calls under random answers, resets, drains,
// restarts, give-ups, closed callers and ends that are written late. What goes out is held against a model that
// knows the rules only.
func TestRulesUnderRandomEvents(t *testing.T) {
	for name, set := range deployments {
		t.Run(name, func(t *testing.T) { rulesUnderRandomEvents(t, set) })
	}
}

func rulesUnderRandomEvents(t *testing.T, set elmseam.Settings) {
	rnd := rand.New(rand.NewPCG(7, 7))
	r := newRigWith(t, set)
	r.core.limits.MaxCallBytes = 1 << 20
	type model struct {
		out      string // server that has an attempt
		ending   bool   // its end is not written
		attempts int
		finals   int
		gone     bool
		badEnd   Time // of the last attempt that was reset, cancelled or timed out
		stands   string
		over     bool
	}
	calls := make(map[ID]*model)
	ids := []ID{}
	connServer := map[ConnID]string{10: "a", 11: "b"}
	serverConnID := map[string]ConnID{"a": 10, "b": 11}
	phases := map[string]elmseam.Phase{"a": elmseam.Ready, "b": elmseam.Ready}
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
	loseConn := func(name string) { // a connection is no more: what is out on it is over
		delete(connServer, serverConnID[name])
		delete(serverConnID, name)
		for _, m := range calls {
			if m.out == name {
				m.out, m.ending, m.badEnd = "", false, r.now
			}
		}
	}
	step := func(ev Event) {
		for _, e := range r.core.Step(r.now, ev) {
			switch e := e.(type) {
			case Timer:
				r.timers = append(r.timers, e)
			case Dial:
				pendingDials = append(pendingDials, e.Server)
			case CloseConn:
				if name, there := connServer[e.To]; there {
					loseConn(name)
				}
			case Offer:
				m, name := calls[e.ID], connServer[e.To]
				switch {
				case name == "":
					failCall(e.ID, "offered on a connection that is no more")
				case m.out != "":
					failCall(e.ID, "second attempt out")
				case phases[name] != elmseam.Ready:
					failCall(e.ID, "sent to a server that drains or is gone")
				case m.badEnd != 0 && r.now < m.badEnd+r.core.releaseGuard:
					failCall(e.ID, "sent within the release gap")
				case m.finals > 0 || m.gone:
					failCall(e.ID, "sent after its end")
				}
				if m.out = name; m.attempts == set.MaxAttempts {
					failCall(e.ID, "an attempt too many")
				}
				m.attempts++
			case Probe:
				name := connServer[e.To]
				if !r.core.limits.Probe.Permitted || name == "" || phases[name] != elmseam.Ready {
					t.Fatalf("a probe on link %d, which goes to %q", e.To, name)
				}
				if rnd.IntN(2) == 0 {
					probeAnswers = append(probeAnswers, ServerProbeAnswer{Server: name, Conn: e.To, ID: e.ID, Report: Report{{elmseam.LoadMetricWait, rnd.Float64() * 900}}})
				}
			case GracefulClose:
				if name, there := connServer[e.To]; there { // replaced, where nothing is out
					for id, m := range calls {
						if m.out == name {
							failCall(id, "its connection is closed as one on which nothing is out")
						}
					}
					loseConn(name)
				}
			case End:
				if m, name := calls[e.ID], connServer[e.To]; m != nil && name != "" && m.out == name {
					if m.ending = true; e.Notify {
						unwrittenEnds = append(unwrittenEnds, serverCall{name, e.ID})
					} else {
						m.out, m.ending = "", false
					}
				}
			case Answered:
				m := calls[e.ID]
				if m.finals++; m.stands == "" || m.finals > 1 {
					failCall(e.ID, "answered, and never or twice")
				}
			case Rejected:
				m := calls[e.ID]
				if m.finals++; m.finals > 1 || m.gone {
					failCall(e.ID, "refused after its end")
				}
			case ForgetCall:
				calls[e.ID].gone = true
			case Released:
				if m := calls[e.ID]; m != nil && (m.stands == "" || m.over) {
					failCall(e.ID, "released, but never stood or twice")
				} else if m != nil {
					m.over = true
				}
			case Violation:
				failCall(e.ID, e.Rule)
			}
		}
	}
	establishedCount := 0
	for range 60000 {
		r.now += time.Duration(rnd.IntN(8)) * ms
		for i := 0; i < len(r.timers); {
			if timer := r.timers[i]; timer.At <= r.now {
				r.timers = append(r.timers[:i], r.timers[i+1:]...)
				step(TimerFired{Token: timer.Token})
				i = 0
			} else {
				i++
			}
		}
		name := []string{"a", "b"}[rnd.IntN(2)]
		var id ID
		if len(ids) > 0 {
			id = ids[max(0, len(ids)-1-rnd.IntN(30))]
		}
		m := calls[id]
		switch rnd.IntN(26) {
		case 24:
			step(ServerSilent{Server: name, Conn: serverConnID[name], For: time.Duration(rnd.IntN(2000)) * ms})
		case 25: // the answer to a probe, the last one twice
			if n := len(probeAnswers); n > 0 {
				step(probeAnswers[0])
				probeAnswers = probeAnswers[min(1, n-1):]
			}
		case 0, 1, 2, 3, 4:
			lastID++
			calls[lastID] = &model{}
			ids = append(ids, lastID)
			step(SetUp{ID: lastID, From: callerConnID, Class: rnd.IntN(len(set.Classes)), Tenant: []string{"", "x", "y", "z"}[rnd.IntN(4)], Cell: rnd.IntN(2), TimeLeft: time.Duration(50+rnd.IntN(4000)) * ms, At: r.now})
		case 5, 6, 7, 8, 9, 10, 11, 12: // the server answers what is out
			if m != nil && m.out != "" {
				server := m.out
				if !m.ending {
					m.out, m.stands = "", server
					establishedCount++
				}
				step(ServerAnswer{Server: server, Conn: serverConnID[server], ID: id})
			}
		case 13:
			if m != nil && m.out != "" && !m.ending {
				server := m.out
				m.out = ""
				step(ServerEnd{Server: server, Conn: serverConnID[server], ID: id, Reason: []Reason{Full, Busy, Unsent}[rnd.IntN(3)]})
			}
		case 14, 15:
			if m != nil && m.stands != "" && !m.over && serverConnID[m.stands] != 0 {
				step(ServerEnd{Server: m.stands, Conn: serverConnID[m.stands], ID: id, Reason: Normal})
			}
		case 16:
			if m != nil && !m.gone && !m.over {
				m.gone, m.over = m.stands == "", m.stands != ""
				step(CallerEnd{ID: id, From: callerConnID})
			}
		case 17:
			if l := serverConnID[name]; l != 0 && rnd.IntN(20) == 0 {
				loseConn(name)
				step(ServerDown{Server: name, Conn: l})
			}
		case 18, 19: // a dial ends
			if len(pendingDials) > 0 {
				server := pendingDials[0]
				pendingDials = pendingDials[1:]
				if rnd.IntN(10) == 0 {
					step(ServerDown{Server: server})
				} else {
					lastConn++
					connServer[lastConn], serverConnID[server] = server, lastConn
					step(ServerUp{Server: server, Address: server + ":1", Conn: lastConn})
				}
			}
		case 20:
			if rnd.IntN(4) == 0 {
				phases[name] = []elmseam.Phase{elmseam.Ready, elmseam.Ready, elmseam.Ready, elmseam.Ready, elmseam.Draining, elmseam.Gone}[rnd.IntN(6)]
				step(List{Servers: []Server{{Name: name, Address: name + ":1", Cell: int(name[0] - 'a'), Phase: phases[name]}}})
			}
		case 21, 22: // an end is written at last
			if len(unwrittenEnds) > 0 {
				end := unwrittenEnds[0]
				unwrittenEnds = unwrittenEnds[1:]
				if m := calls[end.id]; m.out == end.server && m.ending {
					m.out, m.ending, m.badEnd = "", false, r.now
				}
				step(EndWritten{Server: end.server, ID: end.id})
			}
		case 23:
			if rnd.IntN(20) == 0 {
				old := callerConnID
				lastConn++
				callerConnID = lastConn
				step(CallerDown{Conn: old})
				step(CallerUp{Conn: callerConnID, Protocol: "f"})
			}
		}
	}
	for range 100 { // all that is owed comes out in the end
		r.now += time.Second
		for _, timer := range r.timers {
			step(TimerFired{Token: timer.Token})
		}
		r.timers = nil
	}
	for id, m := range calls {
		if m.finals == 0 && !m.gone && m.stands == "" {
			failCall(id, "no final answer")
		}
	}
	t.Logf("%d calls, %d stood", lastID, establishedCount)
	if lastID < 5000 || establishedCount < 500 {
		t.Error("the test has not met its case")
	}
}
