package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/handover"
	"elmseam/internal/platform"
)

// startSuccessor starts a successor of p, and waits until the successor reports that it is ready to serve.
func (p *program) startSuccessor(dir string, env ...string) *program {
	p.Helper()
	successor := &program{T: p.T, channel: p.channel, config: p.config, logLines: make(chan string, 100)}
	successor.launch("", append([]string{"TMPDIR=" + dir, "ROUTER_LISTEN=" + p.listen}, env...)...)
	successor.wantResponse("/ops/readiness", 200, "")
	return successor
}

// startUpgradable starts a program whose hand-over socket is in dir, so that a successor can take over.
func startUpgradable(t *testing.T, dir string, servers ...string) *program {
	t.Helper()
	p := newProgram(t, servers...)
	p.launch("", "TMPDIR="+dir)
	return p
}

// TestUpgrade checks that callers do not notice a hand-over. Outstanding set-ups are answered on the connection on which
// they arrived, by either process, and the successor reads the rest of a set-up of which the predecessor read a part.
// Calls established in the predecessor are released through the successor or, if the predecessor was killed, by the
// successor alone. Then a third process takes over.
func TestUpgrade(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	os.WriteFile(filepath.Join(dir, "elmseam-n1.sock"), nil, 0o600) // left by a process that was killed
	predecessor := startUpgradable(t, dir, serverEntry("s", "in_service", srv))
	peer := acceptServer(t, srv)
	caller, partial := dial(t, predecessor.listen), dial(t, predecessor.listen)
	answer := func(peer *conn, callID string) {
		fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", callID)
	}
	for call := uint64(1); call <= 2; call++ {
		caller.sendSetUp(call)
		answer(peer, peer.wantLine(`"offer"`))
		caller.wantCallerMessage(9, call)
	}
	caller.sendSetUp(3)
	openCallID := peer.wantLine(`"offer"`)
	setUp := setUpMessage("voice", 4)
	partial.Write(setUp[:20])

	successor := predecessor.startSuccessor(dir)
	successorPeer := acceptServer(t, srv)
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	successor.wantConnsTakenOver(2)
	answer(peer, openCallID)
	caller.wantCallerMessage(9, 3)
	partial.Write(setUp[20:])
	answer(successorPeer, successorPeer.wantLine(`"offer"`))
	partial.wantCallerMessage(9, 4)
	fmt.Fprintf(peer, `{"op":"end","call":"%016x","with":{},"why":16}`+"\n", 1)
	caller.wantCallerMessage(12, 1)
	predecessor.cmd.Process.Kill()
	successor.wantLog("predecessor disconnected")
	fmt.Fprintf(successorPeer, `{"op":"end","call":"%016x","with":{},"why":16}`+"\n", 2)
	caller.wantCallerMessage(12, 2)

	third := successor.startSuccessor(dir)
	successor.cmd.Process.Signal(syscall.SIGTERM)
	third.wantConnsTakenOver(2)
	fmt.Fprintf(successorPeer, `{"op":"end","call":"%016x","with":{},"why":16}`+"\n", 4)
	partial.wantCallerMessage(12, 4)
	if err := successor.cmd.Wait(); err != nil { // no call remains
		t.Errorf("the predecessor exits with %v", err)
	}
}

// wantConnsTakenOver waits until this process has taken over n connections from its predecessor.
func (p *program) wantConnsTakenOver(n int) {
	p.Helper()
	for range n {
		p.wantLog("caller's connection taken over")
	}
}

// TestUpgradeWithKilledProcess kills a successor before the predecessor is stopped: the predecessor must continue to serve,
// and another successor must be able to take over. Then it kills the predecessor while a set-up is outstanding: the
// successor must answer the set-up.
func TestUpgradeWithKilledProcess(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	predecessor := startUpgradable(t, dir, serverEntry("s", "in_service", srv))
	peer := acceptServer(t, srv)
	failed := predecessor.startSuccessor(dir)
	failed.cmd.Process.Kill()
	predecessor.wantLog("successor disconnected")
	caller := dial(t, predecessor.listen)
	caller.sendSetUp(1)
	peer.wantLine(`"offer"`)
	accept(t, srv) // connections of the killed successor
	accept(t, srv)

	successor := predecessor.startSuccessor(dir)
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	successor.wantConnsTakenOver(1)
	predecessor.cmd.Process.Kill()
	if b := caller.wantCallerMessage(12, 1); b[3] != 41 {
		t.Errorf("release %x, want cause 41, as the server may have answered the call", b)
	}
}

// TestUpgradePredecessorExitsEarly ends the predecessor while the successor, which shares its listener, is not ready to
// serve. New connections must wait in the accept queue until the successor is ready: closing the predecessor's listener
// must not close the successor's.
func TestUpgradePredecessorExitsEarly(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	predecessor := startUpgradable(t, dir, serverEntry("s", "in_service", srv))
	acceptServer(t, srv)
	srv.Close() // so that the successor cannot connect to the server
	successor := &program{T: t, channel: predecessor.channel, config: predecessor.config, logLines: make(chan string, 100)}
	successor.launch("", "TMPDIR="+dir, "ROUTER_LISTEN="+predecessor.listen)
	predecessor.wantLog("successor connected")
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	if err := predecessor.cmd.Wait(); err != nil {
		t.Errorf("the predecessor exits with %v", err)
	}
	caller := dial(t, predecessor.listen)
	caller.sendSetUp(1)
	listener, err := net.Listen("tcp", srv.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	peer := acceptServer(t, listener)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", peer.wantLine(`"offer"`))
	caller.wantCallerMessage(9, 1)
}

// TestUpgradeRefused checks that the program refuses a hand-over to a process of another protocol version or another
// address, and serves on. A process that finds no hand-over socket must start as usual.
func TestUpgradeRefused(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	predecessor := startUpgradable(t, dir, serverEntry("s", "in_service", srv))
	for hello, want := range map[string]string{
		`{"kind":"hello","version":99}`:                                   "version",
		`{"kind":"hello","version":1,"listen":"127.0.0.1:1"}`:             "served here",
		`{"kind":"serving","version":1}`:                                  "version",
		fmt.Sprintf(`{"kind":"hello","listen":%q}`, predecessor.listen):   "version",
		`{"kind":"hello","version":1,"listen":"` + predecessor.listen[:3]: "",
	} {
		client, err := net.Dial("unixpacket", filepath.Join(dir, "elmseam-n1.sock"))
		if err != nil {
			t.Fatal(err)
		}
		client.Write([]byte(hello))
		response := make([]byte, 1000)
		if n, _ := client.Read(response); want != "" && !strings.Contains(string(response[:n]), want) {
			t.Errorf("%s: %s, want %s", hello, response[:n], want)
		}
		client.Close()
	}
	other := newProgram(t, serverEntry("s", "in_service", srv))
	other.launch("", "TMPDIR="+filepath.Join(dir, "none"))
	other.wantResponse("/ops/readiness", 200, "")
	if !predecessor.acceptsSetUps() || !other.acceptsSetUps() {
		t.Error("one of the two processes does not accept work")
	}
}

// TestSilentPeerBlocksUpgrade guards against a process that connects to the hand-over socket and says nothing: a successor found no listener,
// and the address in use.
func TestSilentPeerBlocksUpgrade(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	predecessor := startUpgradable(t, dir, serverEntry("s", "in_service", srv))
	for range 2 {
		silent, err := net.Dial("unixpacket", filepath.Join(dir, "elmseam-n1.sock"))
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
	}
	if !predecessor.startSuccessor(dir).acceptsSetUps() {
		t.Error("the successor does not accept set-ups")
	}
}

// TestSilentPeerResetsCallers guards against callers whose connections wait to be accepted and are reset when the process ends, because a
// process that connected to the hand-over socket and says nothing counts as a successor.
func TestSilentPeerResetsCallers(t *testing.T) {
	callers := listen(t)
	successors, err := handover.Listen(filepath.Join(t.TempDir(), "x.sock"))
	if err != nil {
		t.Fatal(err)
	}
	defer successors.Close()
	limits := handover.Limits{HelloTimeout: 300 * time.Millisecond, WriteTimeout: time.Second, MaxMessageSize: 1000}
	u := &upgrader{listener: callers, handOverLimits: limits, platform: platform.New(platform.Config{}, nil, zerolog.Nop()), log: zerolog.Nop()}
	silent, err := net.Dial("unixpacket", strings.TrimSuffix(successors.Addr().String(), filepath.Ext(successors.Addr().String())))
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	conn, err := successors.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	refused := make(chan struct{})
	go func() {
		u.acceptSuccessor(conn)
		close(refused)
	}()
	time.Sleep(50 * time.Millisecond)
	u.closeListener()
	if err := callers.(*net.TCPListener).SetDeadline(time.Time{}); err != nil {
		t.Errorf("the listener is closed before its connections are accepted: %v", err)
	}
	<-refused
}

// TestUpgradeUnderLoad makes calls, each caller on a connection of its own and in split writes, during three successive
// hand-overs. Every set-up must get exactly one answer, every established call exactly one release, and no connection
// may close.
func TestUpgradeUnderLoad(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	go func() { // a server that answers at once and releases the call 20 ms later
		for {
			serverConn, err := srv.Accept()
			if err != nil {
				return
			}
			go func() {
				defer serverConn.Close()
				var mu sync.Mutex
				respond := func(format string, id string) {
					mu.Lock()
					defer mu.Unlock()
					fmt.Fprintf(serverConn, format+"\n", id)
				}
				for lines := bufio.NewScanner(serverConn); lines.Scan(); {
					var message struct{ Op, Call string }
					if json.Unmarshal(lines.Bytes(), &message); message.Op == "offer" {
						respond(`{"op":"accept","call":%q,"with":{},"desc":"x"}`, message.Call)
						time.AfterFunc(20*time.Millisecond, func() { respond(`{"op":"end","call":%q,"with":{},"why":16}`, message.Call) })
					}
				}
			}()
		}
	}()
	process := startUpgradable(t, dir, serverEntry("s", "in_service", srv))
	process.wantResponse("/ops/readiness", 200, "")
	const callers = 8
	var requested, established atomic.Int64
	stopCalls := make(chan struct{})
	var callerLoops sync.WaitGroup
	for n := range callers {
		callerConn := dial(t, process.listen)
		callerLoops.Go(func() {
			if err := makeCalls(callerConn, uint64(n+1)<<32, stopCalls, &requested, &established); err != nil {
				t.Errorf("caller %d: %v", n, err)
			}
		})
	}
	for range 3 {
		for from := requested.Load(); requested.Load() < from+50; {
			time.Sleep(time.Millisecond)
		}
		successor := process.startSuccessor(dir)
		process.cmd.Process.Signal(syscall.SIGTERM)
		if err := process.cmd.Wait(); err != nil {
			t.Errorf("the predecessor exits with %v", err)
		}
		process = successor
	}
	close(stopCalls)
	callerLoops.Wait()
	if requested.Load() < 150 || established.Load() < requested.Load()/2 {
		t.Errorf("%d set-ups, %d established: too few for a meaningful test", requested.Load(), established.Load())
	}
}

// makeCalls makes one call after the other, with ids above callID, writing each set-up in two parts, and checks the answers
// and releases. After stop is closed, it waits for the release of the open calls.
func makeCalls(caller *conn, callID uint64, stop chan struct{}, requested, established *atomic.Int64) error {
	readMessage := func() (kind byte, call uint64, err error) {
		var head [2]byte
		if _, err := io.ReadFull(caller.reader, head[:]); err != nil {
			return 0, 0, err
		}
		message := make([]byte, binary.BigEndian.Uint16(head[:]))
		if _, err := io.ReadFull(caller.reader, message); err != nil {
			return 0, 0, err
		}
		return message[0], binary.BigEndian.Uint64(message[1:]), nil
	}
	openCalls := make(map[uint64]bool)
	for stopped := false; !stopped || len(openCalls) > 0; {
		if !stopped {
			callID++
			setUp := setUpMessage("voice", callID)
			caller.Write(setUp[:len(setUp)/2])
			time.Sleep(time.Duration(callID%3) * time.Millisecond)
			caller.Write(setUp[len(setUp)/2:])
			requested.Add(1)
		}
		for answered := stopped; ; {
			kind, call, err := readMessage()
			switch {
			case err != nil:
				return err
			case call == callID && !answered && kind == 9:
				answered, openCalls[call] = true, true
				established.Add(1)
			case call == callID && !answered && kind == 12:
				answered = true
			case kind == 12 && openCalls[call]:
				delete(openCalls, call)
			default:
				return fmt.Errorf("unexpected message of type %d for call %x", kind, call)
			}
			if answered && (!stopped || len(openCalls) == 0) {
				break
			}
		}
		select {
		case <-stop:
			stopped = true
		default:
		}
	}
	return nil
}

// TestSameIDAtBothProcessesOfUpgrade guards against a call that runs twice: its caller left, and the same id came again at the other process
// of an upgrade, before or after the older one was stopped.
func TestSameIDAtBothProcessesOfUpgrade(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	predecessor := startUpgradable(t, dir, serverEntry("s", "in_service", srv))
	var offers [4]atomic.Int64 // by call
	acceptAll := func(peer *conn) {
		for {
			line, err := peer.reader.ReadString('\n')
			if err != nil {
				return
			}
			var offer struct{ Op, Call string }
			if json.Unmarshal([]byte(line), &offer); offer.Op == "offer" {
				call, _ := strconv.ParseUint(offer.Call, 16, 64)
				offers[call].Add(1)
				fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", offer.Call)
			}
		}
	}
	setUp := func(call uint64) {
		caller := dial(t, predecessor.listen)
		defer caller.Close()
		caller.sendSetUp(call)
		caller.readBytes(int(binary.BigEndian.Uint16(caller.readBytes(2)))) // the answer, given again, or a refusal
	}
	go acceptAll(acceptServer(t, srv))
	for call := uint64(1); call <= 3; call++ {
		setUp(call)
	}
	successor := predecessor.startSuccessor(dir)
	go acceptAll(acceptServer(t, srv))
	time.Sleep(100 * time.Millisecond)
	for range 10 { // either process may accept the caller
		setUp(1)
	}
	predecessor.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	setUp(2)
	predecessor.cmd.Process.Kill()
	successor.wantLog("predecessor disconnected")
	setUp(3)
	for call := 1; call <= 3; call++ {
		if n := offers[call].Load(); n != 1 {
			t.Errorf("call %d was sent to the server %d times", call, n)
		}
	}
}
