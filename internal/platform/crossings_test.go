package platform

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/leak"
	"elmseam/internal/link"
)

// The stories here force what docs/CROSSINGS.md lists, over sockets.

// TestMain also holds that no goroutine and no descriptor is left over.
func TestMain(m *testing.M) { leak.Main(m) }

// peer is another caller.
type extraCaller struct {
	*scenario
	conn net.Conn
}

// another connects a caller of its own.
func (s *scenario) connectCaller() *extraCaller {
	other := s.clone()
	other.callerConn = s.dial(s.callerListener)
	return &extraCaller{other, other.callerConn}
}

// wantEnd reads on: there must be nothing more, and an end that is no reset.
func (s *scenario) wantEOF() {
	s.Helper()
	if rest, err := io.ReadAll(s.callerConn); err != nil || len(rest) > 0 {
		s.Fatalf("%x and %v, where the connection has to end", rest, err)
	}
}

// limit changes the limits of connections that come from now on.
func (s *scenario) changeConfig(change func(*Config)) {
	cfg := *s.platform.config.Load()
	change(&cfg.Config)
	s.platform.Configure(cfg.Config)
}

const acceptLine = `{"op":"accept","call":"%016x","with":{},"desc":"x"}`

// A connection has been idle for too long, or stops within a message, or brings nonsense, while a set-up is open on it:
// the set-up is answered first, then the connection ends. Each was closed at once, and the answer lost. Another one, that
// came later and carries nothing, shows that its time is over.
func TestCloseWaitsForOpenSetUp(t *testing.T) {
	test := appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))
	half := setUpFrame(9, "voice", "5000", "")[:20]
	for name, trailing := range map[string][]byte{
		"nothing": nil, "half a message": half, "too long": {0xff, 0xff, 1}, "no message": appendFrame(nil, 99, 1, nil),
		"a set-up cut short": appendFrame(nil, typeSetUp, 3, []byte{paramClass, 0, 9, 'v'}),
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t)
			s.changeConfig(func(c *Config) {
				c.CallerConn.MessageTimeout, c.CallerConn.IdleTimeout = 20*time.Millisecond, 20*time.Millisecond
			})
			a := s.connectCaller()
			a.conn.Write(append(setUpFrame(1, "voice", "9000", ""), trailing...))
			s.wantLine(`"offer"`)
			b := s.connectCaller()
			if b.conn.Write(test); name == "half a message" {
				b.conn.Write(half)
			}
			b.wantFrame(typeTested, 5, 1)
			b.wantEOF()
			if name == "a set-up cut short" {
				a.wantFrame(typeRelease, 3, 100)
			}
			s.send(acceptLine, 1)
			a.wantFrame(typeAnswer, 1, -1)
			a.wantEOF()
		})
	}
}

// Connections beyond what there are descriptors for wait in the backlog, with what they ask, and are served when there is
// room; those beyond what callers are to hold make room where one can be missed, and are served where none can. They were
// closed with their set-ups unread.
func TestConnectionsAboveLimit(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxCallerConns, s.limits.NewConnGrace = 2, time.Minute }) // one of them is the story's own caller
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	var callers []*extraCaller
	for id := core.ID(2); id <= 12; id++ { // 8 are served at once
		p := s.connectCaller()
		p.conn.Write(setUpFrame(id, "voice", "9000", ""))
		callers = append(callers, p)
	}
	go func() { // a server that answers all but the first
		for s.serverLines.Scan() {
			var id core.ID
			if n, _ := fmt.Sscanf(s.serverLines.Text(), `{"op":"offer","call":"%x"`, &id); n == 1 {
				s.send(acceptLine, id)
			}
		}
	}()
	for i, p := range callers { // the module may refuse it
		if id, err := p.readFinalAnswer(); id != core.ID(i+2) || err != nil {
			t.Errorf("a final answer for %x, %v, want %x", id, err, i+2)
		}
	}
	s.send(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
}

// final reads a final answer.
func (s *scenario) readFinalAnswer() (core.ID, error) {
	var head [lengthSize]byte
	_, err := io.ReadFull(s.callerConn, head[:])
	body := make([]byte, binary.BigEndian.Uint16(head[:]))
	if err == nil {
		_, err = io.ReadFull(s.callerConn, body)
	}
	f, _, bad := parseFrame(append(head[:], body...), 16<<10)
	if err == nil && bad == nil && f.msgType != typeAnswer && f.msgType != typeRelease {
		bad = fmt.Errorf("message of type %d", f.msgType)
	}
	return f.callID, errors.Join(err, bad)
}

// A server's message that can't be read ends the attempt it is for, as reset, and no other call: what else is out on that
// connection is answered there, and new ones go over another. All of them ended as reset.
func TestMalformedServerMessage(t *testing.T) {
	for name, line := range map[string]string{
		"cut short":   `{"op":"accept","call":"0000000000000001","with":{},"de`,
		"an odd type": `{"op":"nonsense","call":"0000000000000001","with":{}}`,
		"no cause":    `{"op":"end","call":"0000000000000001","with":{},"why":"x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t)
			s.callerConn.Write(append(setUpFrame(1, "voice", "9000", ""), setUpFrame(2, "voice", "9000", "")...))
			s.wantLine(`"offer"`, `0001"`)
			s.wantLine(`"offer"`, `0002"`)
			s.send("%s", line)
			s.wantLine(`"end"`, `0001"`)
			firstConn, firstLines := s.serverConn, s.serverLines
			s.acceptServerConn()
			s.wantFrame(typeRelease, 1, 42) // there is no other server
			fmt.Fprintf(firstConn, acceptLine+"\n", 2)
			s.wantFrame(typeAnswer, 2, -1)
			if firstLines.Scan() || firstLines.Err() != nil {
				t.Errorf("%q, %v on a connection that has to end", firstLines.Text(), firstLines.Err())
			}
			s.send(`{"op":"end","call":"0000000000000002","with":{},"why":16}`)
			s.wantFrame(typeRelease, 2, 16)
		})
	}
}

// A second answer comes behind the first: a refusal ended the call that stood. It changes nothing, nor does one that says
// again that it stands; the release is told once.
func TestSecondAnswer(t *testing.T) {
	s := newScenario(t)
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`)
	s.send(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
	for _, why := range []int{34, 17, 47, 102} {
		s.send(`{"op":"end","call":"0000000000000001","with":{},"why":%d}`, why)
	}
	s.send(acceptLine, 1)
	s.send(`{"op":"end","call":"0000000000000001","with":{},"why":41}`)
	s.wantFrame(typeRelease, 1, 41)
	s.send(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
	s.callerConn.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	s.wantFrame(typeTested, 5, 1) // and nothing before it
}

// second brings a second server.
func (s *scenario) addServer() net.Listener {
	t := listen(s.T)
	s.loop.Post(core.List{Servers: []core.Server{{Name: "t", Address: t.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.Ready}}})
	return t
}

func (s *scenario) acceptFrom(l net.Listener) *scenario {
	s.Helper()
	other := s.clone()
	other.serverListener = l
	other.acceptServerConn()
	return other
}

func (s *scenario) clone() *scenario {
	return &scenario{T: s.T, loop: s.loop, platform: s.platform, callerListener: s.callerListener, serverListener: s.serverListener, callerConn: s.callerConn,
		serverLines: s.serverLines, serverConn: s.serverConn, effects: s.effects}
}

// A caller leaves, by a give-up or by closing its connection, while its set-up waits for the release gap, and while it
// waits for a connection: it is not sent on later. The next set-up is the first that the server sees.
func TestCallerLeavesWhileSetUpWaits(t *testing.T) {
	for _, how := range []string{"gives up", "closes", "resets"} {
		leave := func(p *extraCaller, id core.ID) {
			switch how {
			case "gives up":
				p.conn.Write(releaseFrame(id, 16))
				p.wantFrame(typeReleaseAck, id, -1)
			case "resets":
				p.conn.(*net.TCPConn).SetLinger(0)
				fallthrough
			default:
				p.conn.Close()
				for e := range p.effects { // when it has been noticed
					if e == core.Effect(core.ForgetCall{Protocol: Protocol, ID: id}) {
						return
					}
				}
			}
		}
		t.Run(how+" in the gap", func(t *testing.T) {
			s := newScenario(t, func(s *scenario) { s.limits.Rebind = time.Millisecond })
			other := s.acceptFrom(s.addServer())
			p, q := s.connectCaller(), s.connectCaller()
			p.conn.Write(setUpFrame(1, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0001"`)
			q.conn.Write(setUpFrame(2, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0002"`)
			s.send(`{"op":"end","call":"0000000000000002","with":{},"why":41}`)
			leave(p, 1)
			s.wantLine(`"end"`, `0001"`)
			other.wantLine(`"offer"`, `0002"`) // after the gap
		})
		t.Run(how+" in the queue for a connection", func(t *testing.T) {
			s := newScenario(t, func(s *scenario) { s.limits.Rebind = time.Millisecond })
			s.serverConn.(*net.TCPConn).SetLinger(0)
			gate := make(chan struct{})
			s.dialGate.Store(&gate) // the dial comes up when it is let go
			s.serverConn.Close()
			for s.dialCount.Load() < 2 { // until it has been noticed: nothing is offered on the old one
				time.Sleep(time.Millisecond)
			}
			p := s.connectCaller()
			p.conn.Write(append(setUpFrame(1, "voice", "9000", ""), appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))...))
			p.wantFrame(typeTested, 5, 1) // it has been taken
			leave(p, 1)
			close(gate)
			s.acceptServerConn()
			s.callerConn.Write(setUpFrame(2, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0002"`)
		})
	}
}

// A set-up waits in the backlog, as there is no room, and its caller leaves meanwhile, by a give-up or by closing its
// connection: it is not sent on when its turn comes. What comes with it and still means something is taken.
func TestCallerLeavesInBacklog(t *testing.T) {
	s := newScenario(t)
	s.callerListener = listen(t)
	s.changeConfig(func(c *Config) { c.CallerConn.InitialBufferSize = 16 << 10 }) // so much is read at once
	room := make(chan struct{})
	go link.NewAcceptor(func() int { <-room; return 100 }, s.platform.serveCaller).Serve(s.callerListener)
	givesUp, closes, stays := s.connectCaller(), s.connectCaller(), s.connectCaller()
	const setUps = 100
	var messages []byte
	for id := core.ID(100); id < 100+setUps; id++ {
		messages = append(append(messages, setUpFrame(id, "voice", "9000", "")...), releaseFrame(id, 16)...)
	}
	givesUp.conn.Write(messages)
	closes.conn.Write(append(setUpFrame(2, "voice", "9000", ""), releaseFrame(9, 16)...)) // and a call that stood before this start
	closes.conn.(*net.TCPConn).CloseWrite()
	stays.conn.Write(setUpFrame(3, "voice", "9000", ""))
	for tcpInfo(t, closes.conn).State != unix.BPF_TCP_FIN_WAIT2 { // the other side's machine knows that nothing more comes
		time.Sleep(time.Millisecond)
	}
	close(room)
	for id := core.ID(100); id < 100+setUps; id++ {
		givesUp.wantFrame(typeReleaseAck, id, -1)
	}
	io.Copy(io.Discard, closes.conn)
	for range 2 { // in either order
		if s.wantLine(`"0`); !strings.Contains(s.serverLines.Text(), `"offer","call":"0000000000000003"`) && !strings.Contains(s.serverLines.Text(), `"end","call":"0000000000000009"`) {
			t.Errorf("the server is told %s", s.serverLines.Text())
		}
	}
	s.send(acceptLine, 3)
	stays.wantFrame(typeAnswer, 3, -1)
	stays.conn.Write(setUpFrame(4, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0004"`)
}

// tcp is what the machine says of a connection or a listener.
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

// The settings change while a call is on its way: it goes to the next server with the class that its caller sent, though
// that one is no more and others stand in its place.
func TestCallKeepsClassWhenSettingsChange(t *testing.T) {
	s := newScenario(t)
	other := s.acceptFrom(s.addServer())
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `"class":"voice"`)
	s.changeConfig(func(c *Config) {
		c.Deployment.Classes = append(c.Deployment.Classes[:0:0], c.Deployment.Classes...)
		c.Deployment.Classes[0].Name = "video"
	})
	s.send(`{"op":"end","call":"0000000000000001","with":{"note":"swamped"},"why":34}`)
	other.wantLine(`"offer"`, `"class":"voice"`)
}

// successor is the process that callers are handed to, as a test wants it.
type stubSuccessor struct {
	transfers chan core.Transfer
	results   chan error
	effects   chan core.Effect
}

func (s *stubSuccessor) Transfer(transfer core.Transfer, _ []byte, _ syscall.Conn) error {
	s.transfers <- transfer
	return <-s.results
}

func (s *stubSuccessor) ForwardEffect(_ core.ConnID, e core.Effect) { s.effects <- e }

// A connection is handed to a newer process: what comes for its caller meanwhile is held. If the newer one dies before it
// has the connection, the older one goes on with it: what was held is said, and what the caller asks is served. The caller
// lost its connection and its answers.
func TestSuccessorDiesDuringTransfer(t *testing.T) {
	for _, dies := range []bool{true, false} {
		s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait = time.Minute })
		next := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
		s.platform.SetSuccessor(next)
		s.callerConn.Write(append(setUpFrame(1, "voice", "9000", ""), setUpFrame(2, "voice", "9000", "")...))
		s.wantLine(`"offer"`, `0001"`)
		s.wantLine(`"offer"`, `0002"`)
		s.loop.Post(core.HandOver{})
		if pass := <-next.transfers; len(pass.Open) != 2 {
			t.Errorf("%d set-ups are passed on as open, want 2", len(pass.Open))
		}
		s.send(acceptLine, 1) // while it is held
		s.send(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
		s.send(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
		s.wantLine(`"tested"`) // all that has been taken in
		if !dies {
			next.results <- nil
			for _, want := range []core.Effect{core.Answered{}, core.Released{}} {
				if e := <-next.effects; fmt.Sprintf("%T", e) != fmt.Sprintf("%T", want) {
					t.Errorf("the newer one is told %T, want %T", e, want)
				}
			}
			continue
		}
		next.results <- io.ErrClosedPipe
		s.wantFrame(typeAnswer, 1, -1)
		s.wantFrame(typeRelease, 1, 16)
		s.send(acceptLine, 2)
		s.wantFrame(typeAnswer, 2, -1)
		s.callerConn.Write(setUpFrame(3, "voice", "9000", ""))
		s.wantLine(`"offer"`, `0003"`)
		s.callerConn.Write(releaseFrame(3, 16))
		s.wantFrame(typeReleaseAck, 3, -1)
	}
}

// While a connection is held for a newer process its server resets, operators drain this process and take that back, and
// SIGTERM comes again: what the caller is owed is said to it through the newer one, once, and the connection isn't closed here.
func TestEventsDuringTransfer(t *testing.T) {
	for name, causeEvent := range map[string]func(s *scenario){
		"reset": func(s *scenario) { s.serverConn.(*net.TCPConn).SetLinger(0); s.serverConn.Close() },
		"drain": func(s *scenario) { s.loop.Post(core.Drain{On: true}); s.loop.Post(core.Drain{}); s.send(acceptLine, 1) },
		"stop":  func(s *scenario) { s.loop.Post(core.Stop{}); s.loop.Post(core.HandOver{}); s.send(acceptLine, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait, s.limits.DrainCheckInterval = time.Minute, time.Millisecond })
			next := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
			s.platform.SetSuccessor(next)
			s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0001"`)
			s.loop.Post(core.HandOver{})
			<-next.transfers
			causeEvent(s)
			if name == "reset" { // it is tried again there, or refused: the module's choice
				s.loop.Post(core.List{Servers: []core.Server{{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: elmseam.Gone}}})
				other := s.acceptFrom(s.addServer())
				other.wantLine(`"offer"`, `0001"`)
				other.send(acceptLine, 1)
			} else {
				s.send(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
				s.wantLine(`"tested"`)
			}
			next.results <- nil
			if e, ok := (<-next.effects).(core.Answered); !ok || e.ID != 1 {
				t.Errorf("the newer process is told %T %+v", e, e)
			}
			s.loop.Post(core.CallerEnd{ID: 1}) // as the newer one hears it
			<-s.loop.Done()
			select {
			case e := <-next.effects:
				t.Errorf("and %T", e)
			default:
			}
		})
	}
}

// A connection is on its way to a newer process while nothing else is owed: the older one lives until it is there. It ended,
// and the connection with it, if it was quicker.
func TestStopWaitsForTransfer(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait = time.Minute })
	next := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
	s.platform.SetSuccessor(next)
	s.callerConn.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	s.wantFrame(typeTested, 5, 1) // it has come
	s.loop.Post(core.HandOver{})  // the grace is over at once
	<-next.transfers
	for range 3 {
		s.acceptFrom(s.addServer()) // and it goes on
	}
	next.results <- nil
	<-s.loop.Done()
}

// A caller reads nothing while its connection is to be handed on: it stays with the older process, and is told there, when
// it reads, what it is owed. It lost its connection if it was 50 ms late.
func TestStalledCallerIsNotTransferred(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxStopWait = time.Minute })
	next := &stubSuccessor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
	s.platform.SetSuccessor(next)
	p, c, queuedBytes := s.addStalledCaller(1)
	s.loop.Post(core.HandOver{})
	<-next.transfers // the story's own caller; the other is to move, too
	next.results <- nil
	for c.transferring.Load() {
		time.Sleep(time.Millisecond)
	}
	s.send(acceptLine, 1)
	if _, err := io.CopyN(io.Discard, p.callerConn, queuedBytes); err != nil {
		t.Fatal(err)
	}
	p.wantFrame(typeAnswer, 1, -1)
	c.Close()
}

// stall takes in a caller that has a set-up open and reads nothing of what it is told; the bytes are those it has to read first.
func (s *scenario) addStalledCaller(id core.ID) (p *scenario, c *caller, queuedBytes int64) {
	limits := s.platform.config.Load().CallerConn
	limits.MaxQueuedBytes, limits.FlushTimeout, limits.WriteTimeout = 64<<20, time.Millisecond, testTimeout
	listener := listen(s.T)
	p = s.clone()
	p.callerConn = s.dial(listener)
	conn, err := listener.Accept()
	if err != nil {
		s.Fatal(err)
	}
	c = s.platform.newCaller(s.loop.NewConnID(), conn, limits)
	s.loop.Attach(c.connID, c, core.CallerUp{Conn: c.connID, Protocol: Protocol})
	go func() {
		defer conn.Close()
		s.platform.readCaller(c, limits, nil, false)
	}()
	p.callerConn.Write(setUpFrame(id, "voice", "9000", ""))
	s.wantLine(`"offer"`)
	const piece = 64 << 10
	for ; queuedBytes < 16<<20; queuedBytes += piece { // more than the machine buffers
		c.outbox.Post(link.Item{Data: make([]byte, piece)})
	}
	return p, c, queuedBytes
}

// A process stops and finds set-ups that are out, within the gap, and wait for a connection, one answered but not yet
// written as its caller reads nothing, and a call that stands. Each gets one final answer, the one that reads late too, and
// no connection is reset.
func TestStopWithPendingSetUps(t *testing.T) {
	s := newScenario(t, func(s *scenario) {
		s.limits.StopGrace, s.limits.StopLinger, s.limits.MaxStopWait = 20*time.Millisecond, 20*time.Millisecond, 300*time.Millisecond
	})
	stalled, _, queuedBytes := s.addStalledCaller(1)
	s.send(acceptLine, 1)
	s.callerConn.Write(append(setUpFrame(2, "voice", "9000", ""), setUpFrame(3, "voice", "9000", "")...))
	s.wantLine(`"offer"`, `0002"`)
	s.wantLine(`"offer"`, `0003"`)
	s.send(`{"op":"end","call":"0000000000000002","with":{},"why":41}`) // within the gap
	gate := make(chan struct{})
	s.dialGate.Store(&gate)
	s.loop.Post(core.List{Full: true, Servers: []core.Server{
		{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: elmseam.Draining},
		{Name: "t", Address: s.serverListener.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.Ready},
	}})
	s.callerConn.Write(setUpFrame(4, "voice", "9000", "")) // waits for a connection
	s.loop.Post(core.Stop{})
	s.loop.Post(core.Stop{})
	pending := map[core.ID]bool{2: true, 3: true, 4: true}
	for len(pending) > 0 {
		id, err := s.readFinalAnswer()
		if err != nil || !pending[id] {
			t.Fatalf("an answer for %x, %v, with %v owed", id, err, pending)
		}
		delete(pending, id)
	}
	s.wantEOF()
	if _, err := io.CopyN(io.Discard, stalled.callerConn, queuedBytes); err != nil {
		t.Fatal(err)
	}
	stalled.wantFrame(typeAnswer, 1, -1)
	stalled.wantEOF()
	<-s.loop.Done()
	close(gate)
}

// Connects to a server never come up, over and over: set-ups are served by the other server meanwhile, and nothing is left
// over of the attempts.
func TestConnectsThatNeverComeUp(t *testing.T) {
	s := newScenario(t)
	s.changeConfig(func(c *Config) { c.DialTimeout = time.Millisecond })
	deaf := listen(t) // its backlog is full: nobody answers a connect
	raw, err := deaf.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	s.dial(deaf)
	for tcpInfo(t, deaf).Unacked == 0 { // the handshake may lag behind the connect
		time.Sleep(time.Millisecond)
	}
	before := leak.OpenDescriptors()
	s.loop.Post(core.List{Servers: []core.Server{{Name: "t", Address: deaf.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.Ready}}})
	for id := core.ID(1); s.dialCount.Load() < 50; id++ {
		s.callerConn.Write(setUpFrame(id, "voice", "9000", ""))
		s.wantLine(`"offer"`, fmt.Sprintf(`%x"`, uint64(id)))
		s.send(acceptLine, id)
		s.wantFrame(typeAnswer, id, -1)
	}
	if n := leak.OpenDescriptors(); n > before+1 {
		t.Errorf("%d descriptors, %d before", n, before)
	}
}

// A process stops while callers go on asking, on old connections and on new ones. Each set-up is answered or crosses the
// close of its connection, which is no reset.
func TestSetUpsDuringStop(t *testing.T) {
	s := newScenario(t, func(s *scenario) {
		s.limits.StopGrace, s.limits.StopLinger, s.limits.MaxStopWait = time.Millisecond, 60*time.Millisecond, time.Minute
	})
	s.changeConfig(func(c *Config) { c.MaxCallers = 1000 })
	type end struct {
		owed int
		err  error
	}
	ends := make(chan end)
	sendSetUps := func(c net.Conn, id core.ID) {
		r := bufio.NewReader(c)
		pending := 0
		for {
			id++
			c.Write(setUpFrame(id, "voice", "9000", ""))
			pending++
			var head [2]byte
			if _, err := io.ReadFull(r, head[:]); err != nil {
				c.Close()
				ends <- end{pending, err}
				return
			}
			io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint16(head[:])))
			pending--
		}
	}
	go func() { // a server that refuses all
		for s.serverLines.Scan() {
			var id core.ID
			if n, _ := fmt.Sscanf(s.serverLines.Text(), `{"op":"offer","call":"%x"`, &id); n == 1 {
				s.send(`{"op":"end","call":"%016x","with":{},"why":47}`, id)
			}
		}
	}()
	const callers = 4
	for n := range callers {
		go sendSetUps(s.dial(s.callerListener), core.ID(n+1)<<32)
	}
	s.loop.Post(core.Stop{})
	newConns := 0
	go func() {
		for e := range s.effects {
			if _, ends := e.(core.CloseListener); ends {
				s.platform.CloseListener()
				return
			}
		}
	}()
	for {
		c, err := net.Dial("tcp", s.callerListener.Addr().String())
		if err != nil {
			break // it isn't listened any more
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		newConns++
		go sendSetUps(c, core.ID(100+newConns)<<32)
		time.Sleep(time.Millisecond)
	}
	for range callers + newConns {
		if e := <-ends; e.err != io.EOF || e.owed > 1 {
			t.Errorf("a connection ends with %v and %d set-ups unanswered", e.err, e.owed)
		}
	}
	<-s.loop.Done()
	s.platform.Wait()
}

// A connection comes up late: its set-up has been given up and its server told draining. Nothing is sent on it, it is closed,
// and when the server is back in service it gets another, with the next set-up.
func TestLateServerConnection(t *testing.T) {
	s := newScenario(t)
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
		s.loop.Post(core.List{Servers: []core.Server{{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: phase}}})
	}
	setPhase(elmseam.Draining)
	close(gate)
	s.acceptServerConn()
	if s.serverLines.Scan() || s.serverLines.Err() != nil {
		t.Errorf("%q, %v on a connection that came too late", s.serverLines.Text(), s.serverLines.Err())
	}
	setPhase(elmseam.Ready)
	s.acceptServerConn()
	s.callerConn.Write(setUpFrame(2, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0002"`)
}

// One event says that a server is gone and that another is at its address: the first one's connection is closed, what stood
// there is released, and the next set-up goes over a connection of the other's own.
func TestServerReplacedAtSameAddress(t *testing.T) {
	s := newScenario(t)
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	s.send(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
	address := s.serverListener.Addr().String()
	s.loop.Post(core.List{Servers: []core.Server{
		{Name: "s", Address: address, Protocol: Protocol, Phase: elmseam.Gone}, {Name: "t", Address: address, Protocol: Protocol, Phase: elmseam.Ready},
	}})
	s.wantFrame(typeRelease, 1, 41)
	if s.serverLines.Scan() || s.serverLines.Err() != nil {
		t.Errorf("%q, %v on the connection of a server that is gone", s.serverLines.Text(), s.serverLines.Err())
	}
	s.acceptServerConn()
	s.callerConn.Write(setUpFrame(2, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0002"`)
}

// An id comes again when the call that had it is over and forgotten: the deadline of the first means nothing to the second.
func TestReusedCallID(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxEndedCalls = 1 })
	for _, id := range []core.ID{1, 2} { // the second is remembered, the first is not
		s.callerConn.Write(setUpFrame(id, "voice", "2000", ""))
		s.wantLine(`"offer"`)
		s.send(acceptLine, id)
		s.wantFrame(typeAnswer, id, -1)
		s.send(`{"op":"end","call":"%016x","with":{},"why":16}`, id)
		s.wantFrame(typeRelease, id, 16) // it is over by then
	}
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	time.Sleep(2100 * time.Millisecond) // past the first one's deadline
	s.send(acceptLine, 1)
	s.wantFrame(typeAnswer, 1, -1)
}

// Descriptors for one connection to servers, and two servers: the one that is needed takes the place of the other's.
func TestServerConnectionLimit(t *testing.T) {
	s := newScenario(t, func(s *scenario) { s.limits.MaxServerConns = 1 })
	s.callerConn.Write(setUpFrame(9, "voice", "9000", ""))
	s.wantLine(`"offer"`) // the connection to the first is up
	s.send(acceptLine, 9)
	s.wantFrame(typeAnswer, 9, -1)
	s.send(`{"op":"end","call":"%016x","with":{},"why":16}`, 9)
	s.wantFrame(typeRelease, 9, 16)
	l := s.addServer()
	s.loop.Post(core.List{Servers: []core.Server{{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: elmseam.Draining}}})
	s.callerConn.Write(setUpFrame(1, "voice", "9000", ""))
	other := s.acceptFrom(l)
	other.wantLine(`"offer"`, `0001"`)
	if s.serverLines.Scan() || s.serverLines.Err() != nil {
		t.Errorf("%q, %v on the connection that makes room", s.serverLines.Text(), s.serverLines.Err())
	}
}

// The settings change the order of a report's columns, or leave one out: values that a server tells keep what they mean.
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
		s.send(`{"op":"group","call":"","with":{"load":"spare:8;cut_by:0.5"},"why":0}`)
		got := <-reports
		for i, f := range tt.columns {
			if want := map[elmseam.LoadMetric]float64{elmseam.LoadMetricFreeLines: 8, elmseam.LoadMetricHoldBackShare: 0.5}[f]; got[i] != want {
				t.Errorf("columns %v: %v", tt.columns, got)
			}
		}
	}
}
