package m3ua

import (
	"net"
	"testing"
	"time"

	"elmseam"
	"elmseam/internal/core"
)

// recordingCaller is the connection of a caller whose effects a test reads.
type recordingCaller struct {
	m       *M3UA
	conn    core.ConnID
	effects chan core.Effect
}

// HandleEffect records an effect.
func (c *recordingCaller) HandleEffect(e core.Effect) []core.Event {
	c.effects <- e
	return nil
}

func (c *recordingCaller) Close() {}
func (c *recordingCaller) Flush() {}

// attachCaller connects a caller of another protocol to a softswitch.
func attachCaller(m *M3UA) *recordingCaller {
	c := &recordingCaller{m: m, conn: m.loop.NewConnID(), effects: make(chan core.Effect, 100)}
	m.loop.Attach(c.conn, c, core.CallerUp{Conn: c.conn, Protocol: "test"})
	return c
}

// setUp sends a set-up, and returns the circuit of its IAM at the server.
func (c *recordingCaller) setUp(t *testing.T, id core.ID, server *testPeer) circuitID {
	t.Helper()
	c.m.loop.Post(core.SetUp{ID: id, From: c.conn, ClassName: "voice", NumberText: "12", Cell: -1, TimeLeft: 5 * time.Second, At: c.m.loop.Now()})
	circ, _ := server.wantISUP(t, isupIAM)
	return circ
}

// want waits for an effect.
func (c *recordingCaller) want(t *testing.T, want func(core.Effect) bool) {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case e := <-c.effects:
			if want(e) {
				return
			}
		case <-timeout:
			t.Fatal("the effect did not come")
		}
	}
}

// serverPC is the point code of the server.
const serverPC = 201

// standingCalls are calls that stand at an M3UA server, and one that the server has not answered, on circuits of a first process.
type standingCalls struct {
	established1, established2, open circuitID
}

// setUpCalls sets up the calls 1 and 2, which the server answers, and 3, which it does not.
func setUpCalls(t *testing.T, caller *recordingCaller, server *testPeer) (calls standingCalls) {
	t.Helper()
	for id, circ := range map[core.ID]*circuitID{1: &calls.established1, 2: &calls.established2} {
		*circ = caller.setUp(t, id, server)
		server.sendISUP(circ.reverse(), isupMessage{kind: isupANM, desc: []byte("x")})
		caller.want(t, func(e core.Effect) bool { answered, ok := e.(core.Answered); return ok && answered.ID == id })
	}
	calls.open = caller.setUp(t, 3, server)
	return calls
}

// startWithState starts a softswitch whose circuits to the server at l are kept in a directory, and accepts its association.
func startWithState(t *testing.T, dir string, l net.Listener) (*M3UA, *testPeer) {
	t.Helper()
	file := serverFileConfig("hlr", serverPC, l)
	file.StateDir = dir
	m, _ := startSoftswitch(t, 50*time.Millisecond, file)
	return m, mustAcceptASP(t, l)
}

// A process that started after another one was killed used the circuits on which calls stood, and cut them with its own releases; the
// servers' and the callers' releases of these calls were passed on to nobody.
func TestCircuitsOfKilledProcess(t *testing.T) {
	l, dir := listen(t), t.TempDir()
	first, server := startWithState(t, dir, l)
	calls := setUpCalls(t, attachCaller(first), server) // the first process does nothing more, as if it were killed

	file := serverFileConfig("hlr", serverPC, l)
	file.StateDir = dir
	second, _ := startSoftswitch(t, 50*time.Millisecond, file)
	second.AdoptCircuits()
	server = mustAcceptASP(t, l)
	if circ, _ := server.wantISUP(t, isupREL); circ != calls.open {
		t.Fatalf("the second process releases circuit %v, want %v, whose set-up has no caller any more", circ, calls.open)
	}
	caller := attachCaller(second)
	for id := core.ID(11); id <= 13; id++ {
		if circ := caller.setUp(t, id, server); circ == calls.established1 || circ == calls.established2 || circ == calls.open {
			t.Errorf("a set-up goes out on circuit %v, which the first process used", circ)
		}
	}
	server.sendISUP(calls.established1.reverse(), isupMessage{kind: isupREL, cause: 16})
	server.wantISUP(t, isupRLC)
	caller.want(t, func(e core.Effect) bool { released, ok := e.(core.Released); return ok && released.ID == 1 })
	second.loop.Post(core.CallerEnd{ID: 2, From: caller.conn})
	if circ, _ := server.wantISUP(t, isupREL); circ != calls.established2 {
		t.Errorf("a caller's release goes out on circuit %v, want %v", circ, calls.established2)
	}
}

// Two processes that run side by side during an upgrade used the same circuits. The newer one takes the older one's over when that has
// ended, and passes releases on before.
func TestCircuitsDuringUpgrade(t *testing.T) {
	l, dir := listen(t), t.TempDir()
	first, server := startWithState(t, dir, l)
	calls := setUpCalls(t, attachCaller(first), server)
	second, secondServer := startWithState(t, dir, l)
	caller := attachCaller(second)
	for id := core.ID(11); id <= 400; id++ { // nearly all circuits
		if circ := caller.setUp(t, id, secondServer); circ == calls.established1 || circ == calls.established2 || circ == calls.open {
			t.Fatalf("a set-up goes out on circuit %v, which the other process uses", circ)
		}
	}
	secondServer.sendISUP(calls.established1.reverse(), isupMessage{kind: isupREL, cause: 16})
	caller.want(t, func(e core.Effect) bool { released, ok := e.(core.Released); return ok && released.ID == 1 })
	first.trunks["hlr"].withLock(func(now time.Time) {
		if _, ok := first.trunks["hlr"].Release(1, now); ok {
			t.Error("the older process releases a circuit that the newer one has freed")
		}
	})
	second.AdoptCircuits()
	if circ, _ := secondServer.wantISUP(t, isupREL); circ != calls.open {
		t.Errorf("the newer process releases circuit %v, want %v", circ, calls.open)
	}
	second.loop.Post(core.CallerEnd{ID: 2, From: caller.conn})
	if circ, _ := secondServer.wantISUP(t, isupREL); circ != calls.established2 {
		t.Errorf("a caller's release goes out on circuit %v, want %v", circ, calls.established2)
	}
}

// Calls of M3UA callers that stood when the process was killed: the callers' releases were confirmed and passed on to nobody, and so were the
// server's. An IAM on the circuit of such a call says that it is over; it used to be taken for a repetition of that call's.
func TestCallersCircuitsOfKilledProcess(t *testing.T) {
	l, dir := listen(t), t.TempDir()
	file := serverFileConfig("hlr", serverPC, l)
	file.StateDir = dir
	_, address := startSoftswitch(t, 50*time.Millisecond, file)
	server, caller := mustAcceptASP(t, l), connectCaller(t, address)
	circuits := make([]circuitID, 3) // of the server, by the caller's circuit
	callersCircuit := func(cic int) circuitID { return circuitID{clientPC, ownPC, uint16(cic)} }
	iam := isupMessage{kind: isupIAM, category: 10, digits: "12"}
	for cic := range circuits {
		caller.sendISUP(callersCircuit(cic), iam)
		circuits[cic], _ = server.wantISUP(t, isupIAM)
		server.sendISUP(circuits[cic].reverse(), isupMessage{kind: isupANM})
		caller.wantISUP(t, isupANM)
	} // the first process does nothing more, as if it were killed

	second, address := startSoftswitch(t, 50*time.Millisecond, file)
	second.AdoptCircuits()
	server = mustAcceptASP(t, l)
	server.sendISUP(circuits[0].reverse(), isupMessage{kind: isupREL, cause: 16}) // before the caller is back
	server.wantISUP(t, isupRLC)
	caller = connectCaller(t, address)
	if circ, _ := caller.wantISUP(t, isupREL); circ != callersCircuit(0).reverse() {
		t.Errorf("the server's release comes on circuit %v, want %v", circ, callersCircuit(0).reverse())
	}
	caller.sendISUP(callersCircuit(1), isupMessage{kind: isupREL, cause: 16})
	if circ, _ := server.wantISUP(t, isupREL); circ != circuits[1] {
		t.Errorf("the caller's release comes on circuit %v, want %v", circ, circuits[1])
	}
	caller.sendISUP(callersCircuit(2), iam)
	if circ, _ := server.wantISUP(t, isupREL); circ != circuits[2] {
		t.Errorf("the release of the call that was on the circuit comes on %v, want %v", circ, circuits[2])
	}
	if circ, _ := server.wantISUP(t, isupIAM); circ == circuits[2] {
		t.Error("the new call is on the circuit of the earlier one, which the server has not confirmed as free")
	}
}

// The list says that a server has another process, or that it has gone and is back: its calls are cut. Their circuits stayed occupied for ever,
// as no REL was sent on them.
func TestCircuitOfCutCallStaysOccupied(t *testing.T) {
	for name, goneBetween := range map[string]bool{"another process": false, "gone and back": true} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			m, _ := startSoftswitch(t, 50*time.Millisecond, serverFileConfig("hlr", serverPC, l))
			server := mustAcceptASP(t, l)
			caller := attachCaller(m)
			circ := caller.setUp(t, 1, server)
			server.sendISUP(circ.reverse(), isupMessage{kind: isupANM, desc: []byte("x")})
			caller.want(t, func(e core.Effect) bool { _, ok := e.(core.Answered); return ok })
			time.Sleep(1100 * time.Millisecond) // the connection is older than any doubt about the start of the next process
			entry := core.Server{Name: "hlr", Address: l.Addr().String(), Protocol: Protocol, Phase: elmseam.PhaseGone}
			if goneBetween {
				m.loop.Post(core.ServerList{Servers: []core.Server{entry}})
			}
			entry.Phase, entry.Started = elmseam.PhaseReady, m.loop.Now()
			m.loop.Post(core.ServerList{Servers: []core.Server{entry}})
			caller.want(t, func(e core.Effect) bool { _, ok := e.(core.Released); return ok })
			server = mustAcceptASP(t, l)
			if released, _ := server.wantISUP(t, isupREL); released != circ {
				t.Errorf("REL on circuit %v, want %v", released, circ)
			}
		})
	}
}
