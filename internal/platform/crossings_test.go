package platform

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/leak"
	"elmseam/internal/transport"
)

// The tests in this file force the crossings of messages and events that docs/CROSSINGS.md lists, over sockets.

// TestMain fails the run if the tests leave a goroutine or a file descriptor behind.
func TestMain(m *testing.M) { leak.Main(m) }

// extraCaller is a scenario seen from an additional caller: its fields callerConn and conn are both that caller's connection.
type extraCaller struct {
	*scenario
	conn net.Conn
}

// connectCaller connects an additional caller.
func (s *scenario) connectCaller() *extraCaller {
	clone := s.clone()
	clone.callerConn = s.dial(s.callerListener)
	return &extraCaller{clone, clone.callerConn}
}

// wantCallerEOF fails the test unless the caller's connection ends without another message and without a reset.
func (s *scenario) wantCallerEOF() {
	s.Helper()
	if rest, err := io.ReadAll(s.callerConn); err != nil || len(rest) > 0 {
		s.Fatalf("read %x and %v, want the end of the connection", rest, err)
	}
}

// changeConfig changes the configuration. Connections that are already open keep their limits.
func (s *scenario) changeConfig(change func(*Config)) {
	cfg := *s.platform.config.Load()
	change(&cfg.Config)
	s.platform.Configure(cfg.Config)
}

// acceptLine is the server's message that accepts a call; its argument is the call id.
const acceptLine = `{"op":"accept","call":"%016x","with":{},"desc":"x"}`

// While a set-up is pending on a caller's connection, the connection is idle for too long, stops within a message or carries a
// malformed message. The set-up must be answered before the connection is closed. The connection used to be closed at once, and
// the answer was lost. A later connection without a set-up shows by its end that the first connection's time has run out.
func TestCloseWaitsForOpenSetUp(t *testing.T) {
	testFrame := appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))
	partial := setUpFrame(9, "voice", "5000", "")[:20]
	for name, trailing := range map[string][]byte{
		"nothing": nil, "half a message": partial, "too long": {0xff, 0xff, 1}, "unknown type": appendFrame(nil, 99, 1, nil),
		"a set-up cut short": appendFrame(nil, typeSetUp, 3, []byte{paramClass, 0, 9, 'v'}),
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t)
			s.changeConfig(func(c *Config) {
				c.CallerConn.MessageTimeout, c.CallerConn.IdleTimeout = 20*time.Millisecond, 20*time.Millisecond
			})
			pending := s.connectCaller()
			pending.conn.Write(append(setUpFrame(1, "voice", "9000", ""), trailing...))
			s.wantLine(`"offer"`)
			idle := s.connectCaller()
			if idle.conn.Write(testFrame); name == "half a message" {
				idle.conn.Write(partial)
			}
			idle.wantFrame(typeTested, 5, 1)
			idle.wantCallerEOF()
			if name == "a set-up cut short" {
				pending.wantFrame(typeRelease, 3, 100)
			}
			s.sendLine(acceptLine, 1)
			pending.wantFrame(typeAnswer, 1, -1)
			if name == "nothing" { // a connection that is merely idle also waits for the release of its call
				s.sendLine(`{"op":"end","call":"%016x","with":{},"why":16}`, 1)
				pending.wantFrame(typeRelease, 1, 16)
			}
			pending.wantCallerEOF()
		})
	}
}

// Connections above Config.MaxCallerConns, the limit set by the available file descriptors, must wait in the listener's backlog
// with their set-ups and be served when there is room. A connection above CallerConnsTarget of core.Limits, which is lower,
// must displace one that can be closed, and be served even if there is none. Connections above the limits used to be closed with their
// set-ups unread.
func TestConnectionsAboveLimit(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.CallerConnsTarget, s.limits.NewConnGrace = 2, time.Minute }) // this limit includes the scenario's own caller
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	var callers []*extraCaller
	for id := core.ID(2); id <= 12; id++ { // Config.MaxCallerConns is 8
		caller := s.connectCaller()
		caller.conn.Write(setUpFrame(id, "voice", "9000", ""))
		callers = append(callers, caller)
	}
	go func() { // a server that accepts all set-ups but the first
		for s.serverLines.Scan() {
			var id core.ID
			if n, _ := fmt.Sscanf(s.serverLines.Text(), `{"op":"offer","call":"%x"`, &id); n == 1 {
				s.sendLine(acceptLine, id)
			}
		}
	}()
	for i, caller := range callers { // the controller may refuse a set-up, so the final answer may be a refusal
		if id, err := caller.readFinalAnswer(); id != core.ID(i+2) || err != nil {
			t.Errorf("final answer for call %x, error %v, want call %x", id, err, i+2)
		}
	}
	s.sendLine(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
}

// readFinalAnswer reads the caller's next message, which must be a final answer (an answer or a refusal), and returns its call
// id.
func (s *scenario) readFinalAnswer() (core.ID, error) {
	var header [lengthSize]byte
	_, err := io.ReadFull(s.callerConn, header[:])
	body := make([]byte, binary.BigEndian.Uint16(header[:]))
	if err == nil {
		_, err = io.ReadFull(s.callerConn, body)
	}
	f, _, parseErr := parseFrame(append(header[:], body...), 16<<10)
	if err == nil && parseErr == nil && f.msgType != typeAnswer && f.msgType != typeRelease {
		parseErr = fmt.Errorf("message type %d is no final answer", f.msgType)
	}
	return f.callID, errors.Join(err, parseErr)
}

// A malformed message from a server must end, as reset, the attempt that it is for, and no other call. Other outstanding set-ups
// must be answered on the same connection, and new ones go over another. All of them used to end as reset.
func TestMalformedServerMessage(t *testing.T) {
	for name, line := range map[string]string{
		"cut short":              `{"op":"accept","call":"0000000000000001","with":{},"de`,
		"unknown type":           `{"op":"nonsense","call":"0000000000000001","with":{}}`,
		"bytes after the object": `{"op":"accept","call":"0000000000000001","with":{}}` + "\x00{",
		"invalid cause":          `{"op":"end","call":"0000000000000001","with":{},"why":"x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t)
			s.callerConn.Write(append(setUpFrame(1, "voice", "9000", ""), setUpFrame(2, "voice", "9000", "")...))
			s.wantLine(`"offer"`, `0001"`)
			s.wantLine(`"offer"`, `0002"`)
			s.sendLine("%s", line)
			s.wantLine(`"end"`, `0001"`)
			firstConn, firstLines := s.serverConn, s.serverLines
			s.acceptServerConn()
			s.wantFrame(typeRelease, 1, 42) // refused, as there is no other server
			fmt.Fprintf(firstConn, acceptLine+"\n", 2)
			s.wantFrame(typeAnswer, 2, -1)
			if firstLines.Scan() || firstLines.Err() != nil {
				t.Errorf("read %q, error %v, want the end of the connection", firstLines.Text(), firstLines.Err())
			}
			s.sendLine(`{"op":"end","call":"0000000000000002","with":{},"why":16}`)
			s.wantFrame(typeRelease, 2, 16)
		})
	}
}

// A server sends further answers after it has accepted a call. They must change nothing, and the release must be sent to the
// caller once. A refusal after the first answer used to end the established call.
func TestSecondAnswer(t *testing.T) {
	s := newScenario(t)
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`)
	s.sendLine(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
	for _, why := range []int{34, 17, 47, 102} {
		s.sendLine(`{"op":"end","call":"0000000000000001","with":{},"why":%d}`, why)
	}
	s.sendLine(acceptLine, 1)
	s.sendLine(`{"op":"end","call":"0000000000000001","with":{},"why":41}`)
	s.wantFrame(typeRelease, 1, 41)
	s.sendLine(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
	s.callerConn.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	s.wantFrame(typeTested, 5, 1) // and no message before it
}

// addServer adds a second server, named t, to the softswitch's list of servers and returns the server's listener.
func (s *scenario) addServer() net.Listener {
	listener := listen(s.T)
	s.loop.Post(core.ServerList{Servers: []core.Server{{Name: "t", Address: listener.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.PhaseReady}}})
	return listener
}

// acceptFrom accepts the connection to another server and returns a scenario whose server that is.
func (s *scenario) acceptFrom(listener net.Listener) *scenario {
	s.Helper()
	clone := s.clone()
	clone.serverListener = listener
	clone.acceptServerConn()
	return clone
}

// clone returns a scenario with the same softswitch, caller and server, which can then be replaced.
func (s *scenario) clone() *scenario {
	return &scenario{T: s.T, loop: s.loop, platform: s.platform, callerListener: s.callerListener, serverListener: s.serverListener, callerConn: s.callerConn,
		serverLines: s.serverLines, serverConn: s.serverConn, effects: s.effects}
}

// A caller gives up, closes or resets its connection while the release guard delays a set-up, or while its own set-up waits for
// a connection to a server. Its set-up must not be sent later: the next offer to a server is for another caller's set-up.
func TestCallerLeavesWhileSetUpWaits(t *testing.T) {
	for _, how := range []string{"gives up", "closes", "resets"} {
		leave := func(leaving *extraCaller, id core.ID) {
			switch how {
			case "gives up":
				leaving.conn.Write(releaseFrame(id, 16))
				leaving.wantFrame(typeReleaseAck, id, -1)
			case "resets":
				leaving.conn.(*net.TCPConn).SetLinger(0)
				fallthrough
			default:
				leaving.conn.Close()
				for e := range leaving.effects { // until the core has noticed the end of the connection
					if e == core.Effect(core.ForgetCall{Protocol: Protocol, ID: id}) {
						return
					}
				}
			}
		}
		t.Run(how+" during the release guard", func(t *testing.T) {
			s := newScenario(t, func(s *scenario) { s.limits.RebindTimeout = time.Millisecond })
			other := s.acceptFrom(s.addServer())
			leaving, staying := s.connectCaller(), s.connectCaller()
			leaving.conn.Write(setUpFrame(1, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0001"`)
			staying.conn.Write(setUpFrame(2, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0002"`)
			s.sendLine(`{"op":"end","call":"0000000000000002","with":{},"why":41}`)
			leave(leaving, 1)
			s.wantLine(`"end"`, `0001"`)
			other.wantLine(`"offer"`, `0002"`) // after the release guard
		})
		t.Run(how+" while waiting for a connection", func(t *testing.T) {
			s := newScenario(t, func(s *scenario) { s.limits.RebindTimeout = time.Millisecond })
			s.serverConn.(*net.TCPConn).SetLinger(0)
			gate := make(chan struct{})
			s.dialGate.Store(&gate) // the dial continues when gate is closed
			s.serverConn.Close()
			for s.dialCount.Load() < 2 { // until the core has noticed and offers nothing on the old connection
				time.Sleep(time.Millisecond)
			}
			leaving := s.connectCaller()
			leaving.conn.Write(append(setUpFrame(1, "voice", "9000", ""), appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))...))
			leaving.wantFrame(typeTested, 5, 1) // the set-up has been processed
			leave(leaving, 1)
			close(gate)
			s.acceptServerConn()
			s.callerConn.Write(setUpFrame(2, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0002"`)
		})
	}
}

// A set-up waits in the listener's backlog, and its caller gives up or closes its connection meanwhile. The set-up must not be
// sent to a server when the connection is accepted, but a release of another call on that connection must be processed.
func TestCallerLeavesInBacklog(t *testing.T) {
	s := newScenario(t)
	s.callerListener = listen(t)
	s.changeConfig(func(c *Config) { c.CallerConn.InitialBufferSize = 16 << 10 }) // large enough to read all messages at once
	hasRoom := make(chan struct{})
	go transport.NewAcceptor(func() int { <-hasRoom; return 100 }, s.platform.serveCaller).Serve(s.callerListener)
	givesUp, closes, stays := s.connectCaller(), s.connectCaller(), s.connectCaller()
	const setUps = 100
	var messages []byte
	for id := core.ID(100); id < 100+setUps; id++ {
		messages = append(append(messages, setUpFrame(id, "voice", "9000", "")...), releaseFrame(id, 16)...)
	}
	givesUp.conn.Write(messages)
	closes.conn.Write(append(setUpFrame(2, "voice", "9000", ""), releaseFrame(9, 16)...)) // the release is for a call established before this process started
	closes.conn.(*net.TCPConn).CloseWrite()
	stays.conn.Write(setUpFrame(3, "voice", "9000", ""))
	for tcpInfo(t, closes.conn).State != unix.BPF_TCP_FIN_WAIT2 { // until the accepting side's kernel has seen the close
		time.Sleep(time.Millisecond)
	}
	close(hasRoom)
	for id := core.ID(100); id < 100+setUps; id++ {
		givesUp.wantFrame(typeReleaseAck, id, -1)
	}
	io.Copy(io.Discard, closes.conn)
	for range 2 { // the offer and the end come in either order
		if s.wantLine(`"0`); !strings.Contains(s.serverLines.Text(), `"offer","call":"0000000000000003"`) && !strings.Contains(s.serverLines.Text(), `"end","call":"0000000000000009"`) {
			t.Errorf("the server got %s", s.serverLines.Text())
		}
	}
	s.sendLine(acceptLine, 3)
	stays.wantFrame(typeAnswer, 3, -1)
	stays.conn.Write(setUpFrame(4, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0004"`)
}

// tcpInfo returns the kernel's state of a TCP connection or listener.
func tcpInfo(t *testing.T, socket any) (info *unix.TCPInfo) {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	}
	if err != nil {
		t.Fatal(err)
	}
	return info
}

// The settings change while an attempt is outstanding. The next attempt must carry the class that the caller sent, though that
// class no longer exists and another class has its index.
func TestCallKeepsClassWhenSettingsChange(t *testing.T) {
	s := newScenario(t)
	other := s.acceptFrom(s.addServer())
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `"class":"voice"`)
	s.changeConfig(func(c *Config) {
		c.Deployment.Classes = append(c.Deployment.Classes[:0:0], c.Deployment.Classes...)
		c.Deployment.Classes[0].Name = "video"
	})
	s.sendLine(`{"op":"end","call":"0000000000000001","with":{"note":"swamped"},"why":34}`)
	other.wantLine(`"offer"`, `"class":"voice"`)
}

// stubSuccessor is a Successor that a test controls.
type stubSuccessor struct {
	transfers chan core.Transfer // receives each transfer that begins
	results   chan error         // supplies the result of each transfer
	effects   chan core.Effect   // receives the forwarded effects
}

func (s *stubSuccessor) Transfer(transfer core.Transfer, _ []byte, _ syscall.Conn) error {
	s.transfers <- transfer
	return <-s.results
}

func (s *stubSuccessor) ForwardEffect(_ core.ConnID, e core.Effect) { s.effects <- e }

// Effects for a caller are held while the caller's connection is transferred to a newer process. If that process dies before it
// has the connection, the older process must send the held messages and keep serving the caller. The caller used to lose its
// connection and its answers.
func TestSuccessorDiesDuringTransfer(t *testing.T) {
	for _, successorDies := range []bool{true, false} {
		s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait = time.Minute })
		successor := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
		s.platform.SetSuccessor(successor)
		s.callerConn.Write(append(setUpFrame(1, "voice", "9000", ""), setUpFrame(2, "voice", "9000", "")...))
		s.wantLine(`"offer"`, `0001"`)
		s.wantLine(`"offer"`, `0002"`)
		s.loop.Post(core.HandOver{})
		if transfer := <-successor.transfers; len(transfer.Open) != 2 {
			t.Errorf("%d open set-ups in the transfer, want 2", len(transfer.Open))
		}
		s.sendLine(acceptLine, 1) // while effects are held
		s.sendLine(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
		s.sendLine(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
		s.wantLine(`"tested"`) // all earlier messages have been processed
		if !successorDies {
			successor.results <- nil
			for _, want := range []core.Effect{core.Answered{}, core.Released{}} {
				if e := <-successor.effects; fmt.Sprintf("%T", e) != fmt.Sprintf("%T", want) {
					t.Errorf("the successor got %T, want %T", e, want)
				}
			}
			continue
		}
		successor.results <- io.ErrClosedPipe
		s.wantFrame(typeAnswer, 1, -1)
		s.wantFrame(typeRelease, 1, 16)
		s.sendLine(acceptLine, 2)
		s.wantFrame(typeAnswer, 2, -1)
		s.callerConn.Write(setUpFrame(3, "voice", "9000", ""))
		s.wantLine(`"offer"`, `0003"`)
		s.callerConn.Write(releaseFrame(3, 16))
		s.wantFrame(typeReleaseAck, 3, -1)
	}
}

// During the transfer of a caller's connection, a server's connection is reset, or a drain is begun and cancelled, or a second
// SIGTERM arrives. The caller must get its answer once, through the newer process, and this process must not close the connection.
func TestEventsDuringTransfer(t *testing.T) {
	for name, causeEvent := range map[string]func(s *scenario){
		"reset": func(s *scenario) { s.serverConn.(*net.TCPConn).SetLinger(0); s.serverConn.Close() },
		"drain": func(s *scenario) {
			s.loop.Post(core.Drain{On: true})
			s.loop.Post(core.Drain{})
			s.sendLine(acceptLine, 1)
		},
		"stop": func(s *scenario) { s.loop.Post(core.Stop{}); s.loop.Post(core.HandOver{}); s.sendLine(acceptLine, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait, s.limits.DrainCheckInterval = time.Minute, time.Millisecond })
			successor := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
			s.platform.SetSuccessor(successor)
			s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0001"`)
			s.loop.Post(core.HandOver{})
			<-successor.transfers
			causeEvent(s)
			if name == "reset" { // the controller may refuse a set-up after a reset; here it tries the second server
				s.loop.Post(core.ServerList{Servers: []core.Server{{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: elmseam.PhaseGone}}})
				other := s.acceptFrom(s.addServer())
				other.wantLine(`"offer"`, `0001"`)
				other.sendLine(acceptLine, 1)
			} else {
				s.sendLine(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
				s.wantLine(`"tested"`)
			}
			successor.results <- nil
			if e, ok := (<-successor.effects).(core.Answered); !ok || e.ID != 1 {
				t.Errorf("the successor got %T %+v, want the answer to call 1", e, e)
			}
			s.loop.Post(core.CallerEnd{ID: 1}) // as the successor reports the end of the call
			<-s.loop.Done()
			select {
			case e := <-successor.effects:
				t.Errorf("the successor also got %T", e)
			default:
			}
		})
	}
}

// A connection is being transferred to a newer process, and no answer is pending. The older process must run until the transfer
// is complete; it used to end first, and the connection with it.
func TestStopWaitsForTransfer(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait = time.Minute })
	successor := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
	s.platform.SetSuccessor(successor)
	s.callerConn.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	s.wantFrame(typeTested, 5, 1) // the connection has been accepted
	s.loop.Post(core.HandOver{})  // the hand-over grace is zero
	<-successor.transfers
	for range 3 {
		s.acceptFrom(s.addServer()) // the older process still connects to servers
	}
	successor.results <- nil
	<-s.loop.Done()
}

// A caller reads nothing while its connection is due for transfer. The connection must stay with the older process, and the
// caller must get its answer from there once it reads. A caller that was 50 ms late used to lose its connection.
func TestStalledCallerIsNotTransferred(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait = time.Minute })
	successor := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
	s.platform.SetSuccessor(successor)
	client, c, queuedBytes := s.addStalledCaller(1)
	s.loop.Post(core.HandOver{})
	<-successor.transfers // of the scenario's own caller; the stalled caller's connection is due for transfer, too
	successor.results <- nil
	for c.transferring.Load() {
		time.Sleep(time.Millisecond)
	}
	s.sendLine(acceptLine, 1)
	if _, err := io.CopyN(io.Discard, client.callerConn, queuedBytes); err != nil {
		t.Fatal(err)
	}
	client.wantFrame(typeAnswer, 1, -1)
	c.Close()
}

// TestTransferTakesTimeOfMessage guards against a connection that is closed as malformed, because its transfer failed and took the time in which
// a message had to be complete.
func TestTransferTakesTimeOfMessage(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait = time.Minute })
	s.changeConfig(func(c *Config) { c.CallerConn.MessageTimeout = 200 * time.Millisecond })
	successor := &stubSuccessor{make(chan core.Transfer, 2), make(chan error), make(chan core.Effect, 9)}
	s.platform.SetSuccessor(successor)
	s.callerConn.Write(setUpFrame(7, "voice", "9000", "")) // the process goes on for this call
	s.wantLine(`"offer"`, `0007"`)
	s.callerConn = s.dial(s.callerListener)
	message := setUpFrame(1, "voice", "9000", "")
	s.callerConn.Write(message[:20])
	s.loop.Post(core.HandOver{})
	for range 2 {
		<-successor.transfers
	}
	time.Sleep(250 * time.Millisecond)
	for range 2 {
		successor.results <- io.ErrClosedPipe
	}
	s.callerConn.Write(message[20:])
	s.wantLine(`"offer"`, `0001"`)
	s.sendLine(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
}

// addStalledCaller connects a caller that has a set-up pending and reads nothing. queuedBytes is the number of filler bytes
// queued for that caller, which it has to read before any message.
func (s *scenario) addStalledCaller(id core.ID) (client *scenario, c *callerConn, queuedBytes int64) {
	limits := s.platform.config.Load().CallerConn
	limits.MaxQueuedBytes, limits.FlushTimeout, limits.WriteTimeout = 64<<20, time.Millisecond, testTimeout
	listener := listen(s.T)
	client = s.clone()
	client.callerConn = s.dial(listener)
	conn, err := listener.Accept()
	if err != nil {
		s.Fatal(err)
	}
	c = s.platform.newCallerConn(s.loop.NewConnID(), conn, limits)
	s.loop.Attach(c.connID, c, core.CallerUp{Conn: c.connID, Protocol: Protocol})
	go func() {
		defer conn.Close()
		s.platform.readCaller(c, limits, nil, false)
	}()
	client.callerConn.Write(setUpFrame(id, "voice", "9000", ""))
	s.wantLine(`"offer"`)
	const chunk = 64 << 10
	for ; queuedBytes < 16<<20; queuedBytes += chunk { // more than the kernel buffers
		c.outbox.Send(transport.Message{Data: make([]byte, chunk)})
	}
	return client, c, queuedBytes
}

// A process stops while one set-up is outstanding at a server, one waits out the release guard, and one waits for a connection. A
// further call is established, but its caller, which reads nothing yet, has not received the answer. Each caller must get one
// final answer, the late reader too, and no connection may be reset.
func TestStopWithPendingSetUps(t *testing.T) {
	s := newScenario(t, func(s *scenario) {
		s.limits.StopGrace, s.limits.StopLinger, s.limits.MaxStopWait = 20*time.Millisecond, 20*time.Millisecond, 300*time.Millisecond
	})
	stalled, _, queuedBytes := s.addStalledCaller(1)
	s.sendLine(acceptLine, 1)
	s.callerConn.Write(append(setUpFrame(2, "voice", "9000", ""), setUpFrame(3, "voice", "9000", "")...))
	s.wantLine(`"offer"`, `0002"`)
	s.wantLine(`"offer"`, `0003"`)
	s.sendLine(`{"op":"end","call":"0000000000000002","with":{},"why":41}`) // the set-up waits out the release guard
	gate := make(chan struct{})
	s.dialGate.Store(&gate)
	s.loop.Post(core.ServerList{Full: true, Servers: []core.Server{
		{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: elmseam.PhaseDraining},
		{Name: "t", Address: s.serverListener.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.PhaseReady},
	}})
	s.callerConn.Write(setUpFrame(4, "voice", "9000", "")) // the set-up waits for a connection
	s.loop.Post(core.Stop{})
	s.loop.Post(core.Stop{})
	pending := map[core.ID]bool{2: true, 3: true, 4: true}
	for len(pending) > 0 {
		id, err := s.readFinalAnswer()
		if err != nil || !pending[id] {
			t.Fatalf("final answer for call %x, error %v, want one of %v", id, err, pending)
		}
		delete(pending, id)
	}
	s.wantCallerEOF()
	if _, err := io.CopyN(io.Discard, stalled.callerConn, queuedBytes); err != nil {
		t.Fatal(err)
	}
	stalled.wantFrame(typeAnswer, 1, -1)
	stalled.wantCallerEOF()
	<-s.loop.Done()
	close(gate)
}

// Connection attempts to one server time out again and again. The other server must serve the set-ups meanwhile, and the
// attempts must leave no file descriptors open.
func TestServerConnectsThatNeverComplete(t *testing.T) {
	s := newScenario(t)
	s.changeConfig(func(c *Config) { c.ConnectTimeout = time.Millisecond })
	unresponsive := listen(t) // with its backlog full, connects are not answered
	raw, err := unresponsive.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	s.dial(unresponsive)
	for tcpInfo(t, unresponsive).Unacked == 0 { // the handshake may complete after the connect returns
		time.Sleep(time.Millisecond)
	}
	completeSetUp := func(id core.ID) {
		t.Helper()
		s.callerConn.Write(setUpFrame(id, "voice", "9000", ""))
		s.wantLine(`"offer"`, fmt.Sprintf(`%x"`, uint64(id)))
		s.sendLine(acceptLine, id)
		s.wantFrame(typeAnswer, id, -1)
	}
	completeSetUp(1) // the answer shows that the caller's connection has been accepted
	descriptorsBefore := leak.OpenDescriptors()
	s.loop.Post(core.ServerList{Servers: []core.Server{{Name: "t", Address: unresponsive.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.PhaseReady}}})
	for id := core.ID(2); s.dialCount.Load() < 50; id++ {
		completeSetUp(id)
	}
	if n := leak.OpenDescriptors(); n > descriptorsBefore+1 {
		t.Errorf("%d descriptors, %d before", n, descriptorsBefore)
	}
	gate := make(chan struct{}) // keeps the next dial from opening a socket
	defer close(gate)
	s.dialGate.Store(&gate)
	for deadline := time.Now().Add(testTimeout); leak.OpenDescriptors() != descriptorsBefore; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d descriptors with no dial in progress, %d before", leak.OpenDescriptors(), descriptorsBefore)
		}
	}
}

// A process stops while callers keep sending set-ups on old and new connections. Each set-up must be answered, or cross the
// close of its connection, which must not be a reset.
func TestSetUpsDuringStop(t *testing.T) {
	s := newScenario(t, func(s *scenario) {
		s.limits.StopGrace, s.limits.StopLinger, s.limits.MaxStopWait = time.Millisecond, 60*time.Millisecond, time.Minute
	})
	s.changeConfig(func(c *Config) { c.MaxCallerConns = 1000 })
	type connEnd struct {
		pending int
		err     error
	}
	ends := make(chan connEnd)
	sendSetUpsUntilClosed := func(c net.Conn, id core.ID) {
		r := bufio.NewReader(c)
		pending := 0
		for {
			id++
			c.Write(setUpFrame(id, "voice", "9000", ""))
			pending++
			var head [2]byte
			if _, err := io.ReadFull(r, head[:]); err != nil {
				c.Close()
				ends <- connEnd{pending, err}
				return
			}
			io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint16(head[:])))
			pending--
		}
	}
	go func() { // a server that refuses all set-ups
		for s.serverLines.Scan() {
			var id core.ID
			if n, _ := fmt.Sscanf(s.serverLines.Text(), `{"op":"offer","call":"%x"`, &id); n == 1 {
				s.sendLine(`{"op":"end","call":"%016x","with":{},"why":47}`, id)
			}
		}
	}()
	const callers = 4
	for n := range callers {
		go sendSetUpsUntilClosed(s.dial(s.callerListener), core.ID(n+1)<<32)
	}
	s.loop.Post(core.Stop{})
	newConns := 0
	go func() {
		for e := range s.effects {
			if _, ok := e.(core.CloseListener); ok {
				s.platform.CloseListener()
				return
			}
		}
	}()
	for {
		c, err := net.Dial("tcp", s.callerListener.Addr().String())
		if err != nil {
			break // the listener is closed
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		newConns++
		go sendSetUpsUntilClosed(c, core.ID(100+newConns)<<32)
		time.Sleep(time.Millisecond)
	}
	for range callers + newConns {
		if e := <-ends; e.err != io.EOF || e.pending > 1 {
			t.Errorf("connection ended with %v and %d unanswered set-ups", e.err, e.pending)
		}
	}
	<-s.loop.Done()
	s.platform.Wait()
}

// A connection to a server comes up late: its set-up has been given up and the server is draining. Nothing may be sent on it. The connection
// must be closed if the server started after this process, which then knows all calls there. One that started before may have calls from
// before the start of this process, and the connection stays open for their releases. When the server is in service again, the next
// set-up must go over a new connection, or over the open one.
func TestLateServerConnection(t *testing.T) {
	for name, startedLate := range map[string]bool{"started before the process": false, "started after the process": true} {
		t.Run(name, func(t *testing.T) { lateServerConnection(t, startedLate) })
	}
}

// lateServerConnection plays that for one kind of server.
func lateServerConnection(t *testing.T, startedLate bool) {
	s := newScenario(t)
	entry := core.Server{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol}
	if startedLate {
		entry.Started = s.loop.Now()
	}
	gate := make(chan struct{})
	s.dialGate.Store(&gate)
	s.serverConn.Close()
	for s.dialCount.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.callerConn.Write(append(setUpFrame(1, "voice", "9000", ""), appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))...))
	s.wantFrame(typeTested, 5, 1)
	s.callerConn.Write(releaseFrame(1, 16))
	s.wantFrame(typeReleaseAck, 1, -1)
	setPhase := func(phase elmseam.Phase) {
		entry.Phase = phase
		s.loop.Post(core.ServerList{Servers: []core.Server{entry}})
	}
	setPhase(elmseam.PhaseDraining)
	close(gate)
	s.acceptServerConn()
	if startedLate {
		if s.serverLines.Scan() || s.serverLines.Err() != nil {
			t.Errorf("read %q, error %v, want the end of the late connection", s.serverLines.Text(), s.serverLines.Err())
		}
		setPhase(elmseam.PhaseReady)
		s.acceptServerConn()
	} else {
		s.sendLine(`{"op":"end","call":"%016x","with":{},"why":16}`, 9)
		s.wantFrame(typeRelease, 9, 16)
		setPhase(elmseam.PhaseReady)
	}
	s.callerConn.Write(setUpFrame(2, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0002"`)
}

// One event removes a server and adds another at the same address. The first server's connection must be closed and its
// established calls released on both sides, and the next set-up must go over a new connection for the second server.
func TestServerReplacedAtSameAddress(t *testing.T) {
	s := newScenario(t)
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	s.sendLine(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
	address := s.serverListener.Addr().String()
	s.loop.Post(core.ServerList{Servers: []core.Server{
		{Name: "s", Address: address, Protocol: Protocol, Phase: elmseam.PhaseGone}, {Name: "t", Address: address, Protocol: Protocol, Phase: elmseam.PhaseReady},
	}})
	s.wantFrame(typeRelease, 1, 41)
	s.wantLine(`"end"`, `0001"`)
	if s.serverLines.Scan() || s.serverLines.Err() != nil {
		t.Errorf("read %q, error %v, want the end of the removed server's connection", s.serverLines.Text(), s.serverLines.Err())
	}
	s.acceptServerConn()
	s.callerConn.Write(setUpFrame(2, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0002"`)
}

// A caller reuses the id of a call that has ended and been forgotten. The first call's deadline must not affect the second call
// with that id.
func TestReusedCallID(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxEndedCalls = 1 })
	for _, id := range []core.ID{1, 2} { // MaxEndedCalls is 1: the first call is forgotten, the second remembered
		s.callerConn.Write(setUpFrame(id, "voice", "2000", ""))
		s.wantLine(`"offer"`)
		s.sendLine(acceptLine, id)
		s.wantFrame(typeAnswer, id, -1)
		s.sendLine(`{"op":"end","call":"%016x","with":{},"why":16}`, id)
		s.wantFrame(typeRelease, id, 16) // the call has ended
	}
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	time.Sleep(2100 * time.Millisecond) // until after the first call's deadline
	s.sendLine(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
}

// With a limit of one connection to servers and two servers, a needed connection must replace the other server's connection.
func TestServerConnectionLimit(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxServerConns = 1 })
	s.callerConn.Write(setUpFrame(9, "voice", "9000", ""))
	s.wantLine(`"offer"`) // the connection to the first server is up
	s.sendLine(acceptLine, 9)
	s.wantFrame(typeAnswer, 9, -1)
	s.sendLine(`{"op":"end","call":"%016x","with":{},"why":16}`, 9)
	s.wantFrame(typeRelease, 9, 16)
	listener := s.addServer()
	s.loop.Post(core.ServerList{Servers: []core.Server{{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: elmseam.PhaseDraining}}})
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	other := s.acceptFrom(listener)
	other.wantLine(`"offer"`, `0001"`)
	if s.serverLines.Scan() || s.serverLines.Err() != nil {
		t.Errorf("read %q, error %v, want the end of the replaced connection", s.serverLines.Text(), s.serverLines.Err())
	}
}

// The settings reorder the metrics of a load report, or omit one. The values that a server reports must keep their meaning.
func TestReportMetricsChange(t *testing.T) {
	reports := make(chan elmseam.Report, 9)
	s := newScenario(t, func(s *scenario) {
		s.hook.SuppressEvent = func(ev elmseam.Event) bool {
			if h, report := ev.(elmseam.Health); report {
				reports <- h.Report
			}
			return false
		}
	})
	for _, tt := range []struct{ columns []elmseam.LoadMetric }{
		{columns: []elmseam.LoadMetric{elmseam.LoadMetricFreeLines, elmseam.LoadMetricHoldBackShare}},
		{columns: []elmseam.LoadMetric{elmseam.LoadMetricHoldBackShare, elmseam.LoadMetricFreeLines}},
		{columns: []elmseam.LoadMetric{elmseam.LoadMetricHoldBackShare}},
	} {
		s.loop.Post(core.Configured{Limits: s.limits, Settings: elmseam.Settings{
			Classes: []elmseam.Class{{Deadline: 9 * time.Second, Worth: 1}}, MaxAttempts: 4, OwnCell: -1,
			ReleaseGuard: 50 * time.Millisecond, MaxRetryAfter: 2 * time.Second, ReportMetrics: tt.columns,
		}})
		s.callerConn.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
		s.wantFrame(typeTested, 5, 1)
		s.sendLine(`{"op":"group","call":"","with":{"load":"spare:8;cut_by:0.5"},"why":0}`)
		got := <-reports
		for i, metric := range tt.columns {
			if want := map[elmseam.LoadMetric]float64{elmseam.LoadMetricFreeLines: 8, elmseam.LoadMetricHoldBackShare: 0.5}[metric]; got[i] != want {
				t.Errorf("report metrics %v: got values %v", tt.columns, got)
			}
		}
	}
}

// TestCallerReleaseCrossesCloseLost guards against calls that stand at a server without a caller: the caller released its call, whole or in
// pieces, just as the softswitch closed that connection to make room for others. A set-up that crosses the close is not served.
func TestCallerReleaseCrossesCloseLost(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.CallerConnsTarget = 1 })
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	s.sendLine(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
	other := s.connectCaller() // displaces the first connection, which carries no open set-up
	s.wantCallerEOF()
	crossing := append(setUpFrame(2, "voice", "9000", ""), releaseFrame(1, 16)...)
	s.callerConn.Write(crossing[:len(crossing)-3])
	time.Sleep(10 * time.Millisecond)
	s.callerConn.Write(crossing[len(crossing)-3:])
	s.wantLine(`"end"`, `0001"`)
	other.callerConn.Write(setUpFrame(3, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0003"`)
}

// TestInputAfterMalformedMessageOnClosingConnection guards against bytes behind a malformed message that are taken for a caller's release
// while the connection is being closed: nothing shows where the next message begins.
func TestInputAfterMalformedMessageOnClosingConnection(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.CallerConnsTarget = 1 })
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	s.sendLine(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
	other := s.connectCaller() // displaces the first connection, which carries no open set-up
	s.wantCallerEOF()
	s.callerConn.Write([]byte{0, 1, 0}) // shorter than any message
	time.Sleep(10 * time.Millisecond)
	s.callerConn.Write(releaseFrame(1, 16))
	time.Sleep(10 * time.Millisecond)
	other.callerConn.Write(setUpFrame(2, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0002"`)
}

// blockingCaller is the connection of a caller whose first effect keeps the loop busy until unblock is closed.
type blockingCaller struct{ blocked, unblock chan struct{} }

// HandleEffect blocks.
func (c blockingCaller) HandleEffect(core.Effect) []core.Event {
	close(c.blocked)
	<-c.unblock
	return nil
}

func (blockingCaller) Close() {}
func (blockingCaller) Flush() {}

// blockLoop keeps the loop busy until the function that it returns is called.
func (s *scenario) blockLoop() (unblock func()) {
	caller := blockingCaller{make(chan struct{}), make(chan struct{})}
	conn := s.loop.NewConnID()
	s.loop.Attach(conn, caller, core.CallerUp{Conn: conn, Protocol: "test"})
	s.loop.Post(core.SetUp{ID: 1 << 40, From: conn, Class: -1, At: s.loop.Now()})
	<-caller.blocked
	return func() { close(caller.unblock) }
}

// A caller sent many set-ups and closed its connection while they waited to be read. They were read and sent to servers one after the
// other, long after their caller had left. Only those that were read before may reach the core.
func TestSetUpsReadAfterTheirCallerHasLeft(t *testing.T) {
	const setUps, maxRead = 60, 20 // of which the core may have 16 waiting, and one is being posted
	var arrivals atomic.Int64
	s := newScenario(t, func(s *scenario) {
		s.hook.SuppressEvent = func(ev elmseam.Event) bool {
			if _, isArrival := ev.(elmseam.Arrival); isArrival {
				arrivals.Add(1)
			}
			return false
		}
	})
	unblock := s.blockLoop()
	var burst []byte
	for id := core.ID(1); id <= setUps; id++ {
		burst = append(burst, setUpFrame(id, "voice", "9000", "")...)
	}
	s.callerConn.Write(burst)
	time.Sleep(20 * time.Millisecond)
	s.callerConn.Close()
	time.Sleep(20 * time.Millisecond)
	unblock()
	other := s.clone()
	other.callerConn = s.dial(s.callerListener)
	time.Sleep(100 * time.Millisecond)
	other.callerConn.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	other.wantFrame(typeTested, 5, 1)
	if n := arrivals.Load(); n == 0 || n > maxRead {
		t.Errorf("%d of %d set-ups reached the core, want some and at most %d", n, setUps, maxRead)
	}
}
