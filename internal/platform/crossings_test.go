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
type peer struct {
	*story
	conn net.Conn
}

// another connects a caller of its own.
func (s *story) another() *peer {
	other := s.copy()
	other.caller = s.dial(s.listener)
	return &peer{other, other.caller}
}

// wantEnd reads on: there must be nothing more, and an end that is no reset.
func (s *story) wantEnd() {
	s.Helper()
	if rest, err := io.ReadAll(s.caller); err != nil || len(rest) > 0 {
		s.Fatalf("%x and %v, where the connection has to end", rest, err)
	}
}

// limit changes the limits of connections that come from now on.
func (s *story) limit(change func(*Config)) {
	told := *s.front.told.Load()
	change(&told.Config)
	s.front.Configure(told.Config)
}

const accept = `{"op":"accept","call":"%016x","with":{},"desc":"x"}`

// A connection has been idle for too long, or stops within a message, or brings nonsense, while a set-up is open on it:
// the set-up is answered first, then the connection ends. Each was closed at once, and the answer lost. Another one, that
// came later and carries nothing, shows that its time is over.
func TestIdleCloseWithASetUpOpen(t *testing.T) {
	test := appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))
	half := setUp(9, "voice", "5000", "")[:20]
	for name, behind := range map[string][]byte{
		"nothing": nil, "half a message": half, "too long": {0xff, 0xff, 1}, "no message": appendFrame(nil, 99, 1, nil),
		"a set-up cut short": appendFrame(nil, typeSetUp, 3, []byte{paramClass, 0, 9, 'v'}),
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory(t)
			s.limit(func(c *Config) {
				c.CallerConn.MessageTimeout, c.CallerConn.IdleTimeout = 20*time.Millisecond, 20*time.Millisecond
			})
			a := s.another()
			a.conn.Write(append(setUp(1, "voice", "9000", ""), behind...))
			s.wantLine(`"offer"`)
			b := s.another()
			if b.conn.Write(test); name == "half a message" {
				b.conn.Write(half)
			}
			b.wantFrame(typeTested, 5, 1)
			b.wantEnd()
			if name == "a set-up cut short" {
				a.wantFrame(typeRelease, 3, 100)
			}
			s.say(accept, 1)
			a.wantFrame(typeAnswer, 1, -1)
			a.wantEnd()
		})
	}
}

// Connections beyond what there are descriptors for wait in the backlog, with what they ask, and are served when there is
// room; those beyond what callers are to hold make room where one can be missed, and are served where none can. They were
// closed with their set-ups unread.
func TestFloodOfConnections(t *testing.T) {
	s := newStory(t, func(s *story) { s.limits.MaxCallerConns, s.limits.NewConnGrace = 2, time.Minute }) // one of them is the story's own caller
	s.caller.Write(setUp(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	var more []*peer
	for id := core.ID(2); id <= 12; id++ { // 8 are served at once
		p := s.another()
		p.conn.Write(setUp(id, "voice", "9000", ""))
		more = append(more, p)
	}
	go func() { // a server that answers all but the first
		for s.lines.Scan() {
			var id core.ID
			if n, _ := fmt.Sscanf(s.lines.Text(), `{"op":"offer","call":"%x"`, &id); n == 1 {
				s.say(accept, id)
			}
		}
	}()
	for i, p := range more { // the module may refuse it
		if id, err := p.final(); id != core.ID(i+2) || err != nil {
			t.Errorf("a final answer for %x, %v, want %x", id, err, i+2)
		}
	}
	s.say(accept, 1)
	s.wantFrame(typeAnswer, 1, -1)
}

// final reads a final answer.
func (s *story) final() (core.ID, error) {
	var head [frameHead]byte
	_, err := io.ReadFull(s.caller, head[:])
	body := make([]byte, binary.BigEndian.Uint16(head[:]))
	if err == nil {
		_, err = io.ReadFull(s.caller, body)
	}
	f, _, bad := parseFrame(append(head[:], body...), 16<<10)
	if err == nil && bad == nil && f.kind != typeAnswer && f.kind != typeRelease {
		bad = fmt.Errorf("message of type %d", f.kind)
	}
	return f.id, errors.Join(err, bad)
}

// A server's message that can't be read ends the attempt it is for, as reset, and no other call: what else is out on that
// connection is answered there, and new ones go over another. All of them ended as reset.
func TestMalformedAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"cut short":   `{"op":"accept","call":"0000000000000001","with":{},"de`,
		"an odd type": `{"op":"nonsense","call":"0000000000000001","with":{}}`,
		"no cause":    `{"op":"end","call":"0000000000000001","with":{},"why":"x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory(t)
			s.caller.Write(append(setUp(1, "voice", "9000", ""), setUp(2, "voice", "9000", "")...))
			s.wantLine(`"offer"`, `0001"`)
			s.wantLine(`"offer"`, `0002"`)
			s.say("%s", line)
			s.wantLine(`"end"`, `0001"`)
			first, lines := s.srv, s.lines
			s.accept()
			s.wantFrame(typeRelease, 1, 42) // there is no other server
			fmt.Fprintf(first, accept+"\n", 2)
			s.wantFrame(typeAnswer, 2, -1)
			if lines.Scan() || lines.Err() != nil {
				t.Errorf("%q, %v on a connection that has to end", lines.Text(), lines.Err())
			}
			s.say(`{"op":"end","call":"0000000000000002","with":{},"why":16}`)
			s.wantFrame(typeRelease, 2, 16)
		})
	}
}

// A second answer comes behind the first: a refusal ended the call that stood. It changes nothing, nor does one that says
// again that it stands; the release is told once.
func TestSecondAnswer(t *testing.T) {
	s := newStory(t)
	s.caller.Write(setUp(1, "voice", "9000", ""))
	s.wantLine(`"offer"`)
	s.say(accept, 1)
	s.wantFrame(typeAnswer, 1, -1)
	for _, why := range []int{34, 17, 47, 102} {
		s.say(`{"op":"end","call":"0000000000000001","with":{},"why":%d}`, why)
	}
	s.say(accept, 1)
	s.say(`{"op":"end","call":"0000000000000001","with":{},"why":41}`)
	s.wantFrame(typeRelease, 1, 41)
	s.say(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
	s.caller.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	s.wantFrame(typeTested, 5, 1) // and nothing before it
}

// second brings a second server.
func (s *story) second() net.Listener {
	t := listen(s.T)
	s.loop.Post(core.List{Servers: []core.Server{{Name: "t", Address: t.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.Ready}}})
	return t
}

func (s *story) on(l net.Listener) *story {
	s.Helper()
	other := s.copy()
	other.server = l
	other.accept()
	return other
}

func (s *story) copy() *story {
	return &story{T: s.T, loop: s.loop, front: s.front, listener: s.listener, server: s.server, caller: s.caller,
		lines: s.lines, srv: s.srv, told: s.told}
}

// A caller leaves, by a give-up or by closing its connection, while its set-up waits for the release gap, and while it
// waits for a connection: it is not sent on later. The next set-up is the first that the server sees.
func TestCallerLeavesWhileItsSetUpWaits(t *testing.T) {
	for _, leaves := range []string{"gives up", "closes", "resets"} {
		leave := func(p *peer, id core.ID) {
			switch leaves {
			case "gives up":
				p.conn.Write(release(id, 16))
				p.wantFrame(typeHeard, id, -1)
			case "resets":
				p.conn.(*net.TCPConn).SetLinger(0)
				fallthrough
			default:
				p.conn.Close()
				for e := range p.told { // when it has been noticed
					if e == core.Effect(core.ForgetCall{Protocol: Protocol, ID: id}) {
						return
					}
				}
			}
		}
		t.Run(leaves+" in the gap", func(t *testing.T) {
			s := newStory(t, func(s *story) { s.limits.Rebind = time.Millisecond })
			other := s.on(s.second())
			p, q := s.another(), s.another()
			p.conn.Write(setUp(1, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0001"`)
			q.conn.Write(setUp(2, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0002"`)
			s.say(`{"op":"end","call":"0000000000000002","with":{},"why":41}`)
			leave(p, 1)
			s.wantLine(`"end"`, `0001"`)
			other.wantLine(`"offer"`, `0002"`) // after the gap
		})
		t.Run(leaves+" in the queue for a connection", func(t *testing.T) {
			s := newStory(t, func(s *story) { s.limits.Rebind = time.Millisecond })
			s.srv.(*net.TCPConn).SetLinger(0)
			held := make(chan struct{})
			s.hold.Store(&held) // the dial comes up when it is let go
			s.srv.Close()
			for s.dials.Load() < 2 { // until it has been noticed: nothing is offered on the old one
				time.Sleep(time.Millisecond)
			}
			p := s.another()
			p.conn.Write(append(setUp(1, "voice", "9000", ""), appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))...))
			p.wantFrame(typeTested, 5, 1) // it has been taken
			leave(p, 1)
			close(held)
			s.accept()
			s.caller.Write(setUp(2, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0002"`)
		})
	}
}

// A set-up waits in the backlog, as there is no room, and its caller leaves meanwhile, by a give-up or by closing its
// connection: it is not sent on when its turn comes. What comes with it and still means something is taken.
func TestCallerLeavesWhileItWaitsInTheBacklog(t *testing.T) {
	s := newStory(t)
	s.listener = listen(t)
	s.limit(func(c *Config) { c.CallerConn.InitialBufferSize = 16 << 10 }) // so much is read at once
	room := make(chan struct{})
	go link.NewAcceptor(func() int { <-room; return 100 }, s.front.caller).Serve(s.listener)
	givesUp, closes, stays := s.another(), s.another(), s.another()
	const many = 100
	var text []byte
	for id := core.ID(100); id < 100+many; id++ {
		text = append(append(text, setUp(id, "voice", "9000", "")...), release(id, 16)...)
	}
	givesUp.conn.Write(text)
	closes.conn.Write(append(setUp(2, "voice", "9000", ""), release(9, 16)...)) // and a call that stood before this start
	closes.conn.(*net.TCPConn).CloseWrite()
	stays.conn.Write(setUp(3, "voice", "9000", ""))
	for tcp(t, closes.conn).State != unix.BPF_TCP_FIN_WAIT2 { // the other side's machine knows that nothing more comes
		time.Sleep(time.Millisecond)
	}
	close(room)
	for id := core.ID(100); id < 100+many; id++ {
		givesUp.wantFrame(typeHeard, id, -1)
	}
	io.Copy(io.Discard, closes.conn)
	for range 2 { // in either order
		if s.wantLine(`"0`); !strings.Contains(s.lines.Text(), `"offer","call":"0000000000000003"`) && !strings.Contains(s.lines.Text(), `"end","call":"0000000000000009"`) {
			t.Errorf("the server is told %s", s.lines.Text())
		}
	}
	s.say(accept, 3)
	stays.wantFrame(typeAnswer, 3, -1)
	stays.conn.Write(setUp(4, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0004"`)
}

// tcp is what the machine says of a connection or a listener.
func tcp(t *testing.T, of any) (info *unix.TCPInfo) {
	raw, err := of.(syscall.Conn).SyscallConn()
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
func TestClassOfACallOutlivesTheSettings(t *testing.T) {
	s := newStory(t)
	other := s.on(s.second())
	s.caller.Write(setUp(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `"class":"voice"`)
	s.limit(func(c *Config) {
		c.Deployment.Classes = append(c.Deployment.Classes[:0:0], c.Deployment.Classes...)
		c.Deployment.Classes[0].Name = "video"
	})
	s.say(`{"op":"end","call":"0000000000000001","with":{"note":"swamped"},"why":34}`)
	other.wantLine(`"offer"`, `"class":"voice"`)
}

// successor is the process that callers are handed to, as a test wants it.
type successor struct {
	takes chan core.Transfer
	fails chan error
	told  chan core.Effect
}

func (s *successor) Transfer(pass core.Transfer, _ []byte, _ syscall.Conn) error {
	s.takes <- pass
	return <-s.fails
}

func (s *successor) ForwardEffect(_ core.ConnID, e core.Effect) { s.told <- e }

// A connection is handed to a newer process: what comes for its caller meanwhile is held. If the newer one dies before it
// has the connection, the older one goes on with it: what was held is said, and what the caller asks is served. The caller
// lost its connection and its answers.
func TestSuccessorDiesHalfWay(t *testing.T) {
	for _, dies := range []bool{true, false} {
		s := newStory(t, func(s *story) { s.limits.MaxStopWait = time.Minute })
		next := &successor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
		s.front.SetSuccessor(next)
		s.caller.Write(append(setUp(1, "voice", "9000", ""), setUp(2, "voice", "9000", "")...))
		s.wantLine(`"offer"`, `0001"`)
		s.wantLine(`"offer"`, `0002"`)
		s.loop.Post(core.HandOver{})
		if pass := <-next.takes; len(pass.Open) != 2 {
			t.Errorf("%d set-ups are passed on as open, want 2", len(pass.Open))
		}
		s.say(accept, 1) // while it is held
		s.say(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
		s.say(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
		s.wantLine(`"tested"`) // all that has been taken in
		if !dies {
			next.fails <- nil
			for _, want := range []core.Effect{core.Answered{}, core.Released{}} {
				if e := <-next.told; fmt.Sprintf("%T", e) != fmt.Sprintf("%T", want) {
					t.Errorf("the newer one is told %T, want %T", e, want)
				}
			}
			continue
		}
		next.fails <- io.ErrClosedPipe
		s.wantFrame(typeAnswer, 1, -1)
		s.wantFrame(typeRelease, 1, 16)
		s.say(accept, 2)
		s.wantFrame(typeAnswer, 2, -1)
		s.caller.Write(setUp(3, "voice", "9000", ""))
		s.wantLine(`"offer"`, `0003"`)
		s.caller.Write(release(3, 16))
		s.wantFrame(typeHeard, 3, -1)
	}
}

// While a connection is held for a newer process its server resets, operators drain this process and take that back, and
// SIGTERM comes again: what the caller is owed is said to it through the newer one, once, and the connection isn't closed here.
func TestEventsWhileAConnectionIsHeld(t *testing.T) {
	for name, crosses := range map[string]func(s *story){
		"reset": func(s *story) { s.srv.(*net.TCPConn).SetLinger(0); s.srv.Close() },
		"drain": func(s *story) { s.loop.Post(core.Drain{On: true}); s.loop.Post(core.Drain{}); s.say(accept, 1) },
		"stop":  func(s *story) { s.loop.Post(core.Stop{}); s.loop.Post(core.HandOver{}); s.say(accept, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory(t, func(s *story) { s.limits.MaxStopWait, s.limits.DrainCheckInterval = time.Minute, time.Millisecond })
			next := &successor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
			s.front.SetSuccessor(next)
			s.caller.Write(setUp(1, "voice", "9000", ""))
			s.wantLine(`"offer"`, `0001"`)
			s.loop.Post(core.HandOver{})
			<-next.takes
			crosses(s)
			if name == "reset" { // it is tried again there, or refused: the module's choice
				s.loop.Post(core.List{Servers: []core.Server{{Name: "s", Address: s.server.Addr().String(), Protocol: Protocol, Phase: elmseam.Gone}}})
				other := s.on(s.second())
				other.wantLine(`"offer"`, `0001"`)
				other.say(accept, 1)
			} else {
				s.say(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
				s.wantLine(`"tested"`)
			}
			next.fails <- nil
			if e, is := (<-next.told).(core.Answered); !is || e.ID != 1 {
				t.Errorf("the newer process is told %T %+v", e, e)
			}
			s.loop.Post(core.CallerEnd{ID: 1}) // as the newer one hears it
			<-s.loop.Done()
			select {
			case e := <-next.told:
				t.Errorf("and %T", e)
			default:
			}
		})
	}
}

// A connection is on its way to a newer process while nothing else is owed: the older one lives until it is there. It ended,
// and the connection with it, if it was quicker.
func TestHandingOverOutlivesWhatIsOwed(t *testing.T) {
	s := newStory(t, func(s *story) { s.limits.MaxStopWait = time.Minute })
	next := &successor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
	s.front.SetSuccessor(next)
	s.caller.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	s.wantFrame(typeTested, 5, 1) // it has come
	s.loop.Post(core.HandOver{})  // the grace is over at once
	<-next.takes
	for range 3 {
		s.on(s.second()) // and it goes on
	}
	next.fails <- nil
	<-s.loop.Done()
}

// A caller reads nothing while its connection is to be handed on: it stays with the older process, and is told there, when
// it reads, what it is owed. It lost its connection if it was 50 ms late.
func TestStalledCallerIsNotHandedOn(t *testing.T) {
	s := newStory(t, func(s *story) { s.limits.MaxStopWait = time.Minute })
	next := &successor{make(chan core.Transfer, 1), make(chan error), make(chan core.Effect, 9)}
	s.front.SetSuccessor(next)
	p, c, unread := s.stall(1)
	s.loop.Post(core.HandOver{})
	<-next.takes // the story's own caller; the other is to move, too
	next.fails <- nil
	for c.moving.Load() {
		time.Sleep(time.Millisecond)
	}
	s.say(accept, 1)
	if _, err := io.CopyN(io.Discard, p.caller, unread); err != nil {
		t.Fatal(err)
	}
	p.wantFrame(typeAnswer, 1, -1)
	c.Close()
}

// stall takes in a caller that has a set-up open and reads nothing of what it is told; the bytes are those it has to read first.
func (s *story) stall(id core.ID) (p *story, c *caller, bytes int64) {
	limits := s.front.told.Load().CallerConn
	limits.MaxQueuedBytes, limits.FlushTimeout, limits.WriteTimeout = 64<<20, time.Millisecond, patience
	own := listen(s.T)
	p = s.copy()
	p.caller = s.dial(own)
	conn, err := own.Accept()
	if err != nil {
		s.Fatal(err)
	}
	c = s.front.newCaller(s.loop.NewConnID(), conn, limits)
	s.loop.Attach(c.link, c, core.CallerUp{Conn: c.link, Protocol: Protocol})
	go func() {
		defer conn.Close()
		s.front.read(c, limits, nil, false)
	}()
	p.caller.Write(setUp(id, "voice", "9000", ""))
	s.wantLine(`"offer"`)
	const piece = 64 << 10
	for ; bytes < 16<<20; bytes += piece { // more than the machine buffers
		c.out.Post(link.Item{Data: make([]byte, piece)})
	}
	return p, c, bytes
}

// A process stops and finds set-ups that are out, within the gap, and wait for a connection, one answered but not yet
// written as its caller reads nothing, and a call that stands. Each gets one final answer, the one that reads late too, and
// no connection is reset.
func TestStopFindsSetUps(t *testing.T) {
	s := newStory(t, func(s *story) {
		s.limits.StopGrace, s.limits.StopLinger, s.limits.MaxStopWait = 20*time.Millisecond, 20*time.Millisecond, 300*time.Millisecond
	})
	late, _, unread := s.stall(1)
	s.say(accept, 1)
	s.caller.Write(append(setUp(2, "voice", "9000", ""), setUp(3, "voice", "9000", "")...))
	s.wantLine(`"offer"`, `0002"`)
	s.wantLine(`"offer"`, `0003"`)
	s.say(`{"op":"end","call":"0000000000000002","with":{},"why":41}`) // within the gap
	held := make(chan struct{})
	s.hold.Store(&held)
	s.loop.Post(core.List{Full: true, Servers: []core.Server{
		{Name: "s", Address: s.server.Addr().String(), Protocol: Protocol, Phase: elmseam.Draining},
		{Name: "t", Address: s.server.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.Ready},
	}})
	s.caller.Write(setUp(4, "voice", "9000", "")) // waits for a connection
	s.loop.Post(core.Stop{})
	s.loop.Post(core.Stop{})
	owed := map[core.ID]bool{2: true, 3: true, 4: true}
	for len(owed) > 0 {
		id, err := s.final()
		if err != nil || !owed[id] {
			t.Fatalf("an answer for %x, %v, with %v owed", id, err, owed)
		}
		delete(owed, id)
	}
	s.wantEnd()
	if _, err := io.CopyN(io.Discard, late.caller, unread); err != nil {
		t.Fatal(err)
	}
	late.wantFrame(typeAnswer, 1, -1)
	late.wantEnd()
	<-s.loop.Done()
	close(held)
}

// Connects to a server never come up, over and over: set-ups are served by the other server meanwhile, and nothing is left
// over of the attempts.
func TestConnectsThatNeverComeUp(t *testing.T) {
	s := newStory(t)
	s.limit(func(c *Config) { c.DialTimeout = time.Millisecond })
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
	for tcp(t, deaf).Unacked == 0 { // the handshake may lag behind the connect
		time.Sleep(time.Millisecond)
	}
	before := leak.OpenDescriptors()
	s.loop.Post(core.List{Servers: []core.Server{{Name: "t", Address: deaf.Addr().String(), Protocol: Protocol, Cell: 1, Phase: elmseam.Ready}}})
	for id := core.ID(1); s.dials.Load() < 50; id++ {
		s.caller.Write(setUp(id, "voice", "9000", ""))
		s.wantLine(`"offer"`, fmt.Sprintf(`%x"`, uint64(id)))
		s.say(accept, id)
		s.wantFrame(typeAnswer, id, -1)
	}
	if n := leak.OpenDescriptors(); n > before+1 {
		t.Errorf("%d descriptors, %d before", n, before)
	}
}

// A process stops while callers go on asking, on old connections and on new ones. Each set-up is answered or crosses the
// close of its connection, which is no reset.
func TestCallersGoOnAskingWhileItStops(t *testing.T) {
	s := newStory(t, func(s *story) {
		s.limits.StopGrace, s.limits.StopLinger, s.limits.MaxStopWait = time.Millisecond, 60*time.Millisecond, time.Minute
	})
	s.limit(func(c *Config) { c.MaxCallers = 1000 })
	type end struct {
		owed int
		err  error
	}
	ends := make(chan end)
	ask := func(c net.Conn, id core.ID) {
		r := bufio.NewReader(c)
		owed := 0
		for {
			id++
			c.Write(setUp(id, "voice", "9000", ""))
			owed++
			var head [2]byte
			if _, err := io.ReadFull(r, head[:]); err != nil {
				c.Close()
				ends <- end{owed, err}
				return
			}
			io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint16(head[:])))
			owed--
		}
	}
	go func() { // a server that refuses all
		for s.lines.Scan() {
			var id core.ID
			if n, _ := fmt.Sscanf(s.lines.Text(), `{"op":"offer","call":"%x"`, &id); n == 1 {
				s.say(`{"op":"end","call":"%016x","with":{},"why":47}`, id)
			}
		}
	}()
	const callers = 4
	for n := range callers {
		go ask(s.dial(s.listener), core.ID(n+1)<<32)
	}
	s.loop.Post(core.Stop{})
	fresh := 0
	go func() {
		for e := range s.told {
			if _, ends := e.(core.CloseListener); ends {
				s.front.CloseListener()
				return
			}
		}
	}()
	for {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			break // it isn't listened any more
		}
		c.SetDeadline(time.Now().Add(patience))
		fresh++
		go ask(c, core.ID(100+fresh)<<32)
		time.Sleep(time.Millisecond)
	}
	for range callers + fresh {
		if e := <-ends; e.err != io.EOF || e.owed > 1 {
			t.Errorf("a connection ends with %v and %d set-ups unanswered", e.err, e.owed)
		}
	}
	<-s.loop.Done()
	s.front.Wait()
}

// A connection comes up late: its set-up has been given up and its server told draining. Nothing is sent on it, it is closed,
// and when the server is back in service it gets another, with the next set-up.
func TestConnectionComesUpLate(t *testing.T) {
	s := newStory(t)
	held := make(chan struct{})
	s.hold.Store(&held)
	s.srv.Close()
	for s.dials.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.caller.Write(append(setUp(1, "voice", "9000", ""), appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))...))
	s.wantFrame(typeTested, 5, 1)
	s.caller.Write(release(1, 16))
	s.wantFrame(typeHeard, 1, -1)
	at := func(phase elmseam.Phase) {
		s.loop.Post(core.List{Servers: []core.Server{{Name: "s", Address: s.server.Addr().String(), Protocol: Protocol, Phase: phase}}})
	}
	at(elmseam.Draining)
	close(held)
	s.accept()
	if s.lines.Scan() || s.lines.Err() != nil {
		t.Errorf("%q, %v on a connection that came too late", s.lines.Text(), s.lines.Err())
	}
	at(elmseam.Ready)
	s.accept()
	s.caller.Write(setUp(2, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0002"`)
}

// One event says that a server is gone and that another is at its address: the first one's connection is closed, what stood
// there is released, and the next set-up goes over a connection of the other's own.
func TestAnotherServerAtTheSameAddress(t *testing.T) {
	s := newStory(t)
	s.caller.Write(setUp(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	s.say(accept, 1)
	s.wantFrame(typeAnswer, 1, -1)
	address := s.server.Addr().String()
	s.loop.Post(core.List{Servers: []core.Server{
		{Name: "s", Address: address, Protocol: Protocol, Phase: elmseam.Gone}, {Name: "t", Address: address, Protocol: Protocol, Phase: elmseam.Ready},
	}})
	s.wantFrame(typeRelease, 1, 41)
	if s.lines.Scan() || s.lines.Err() != nil {
		t.Errorf("%q, %v on the connection of a server that is gone", s.lines.Text(), s.lines.Err())
	}
	s.accept()
	s.caller.Write(setUp(2, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0002"`)
}

// An id comes again when the call that had it is over and forgotten: the deadline of the first means nothing to the second.
func TestIDComesAgain(t *testing.T) {
	s := newStory(t, func(s *story) { s.limits.MaxEndedCalls = 1 })
	for _, id := range []core.ID{1, 2} { // the second is remembered, the first is not
		s.caller.Write(setUp(id, "voice", "2000", ""))
		s.wantLine(`"offer"`)
		s.say(accept, id)
		s.wantFrame(typeAnswer, id, -1)
		s.say(`{"op":"end","call":"%016x","with":{},"why":16}`, id)
		s.wantFrame(typeRelease, id, 16) // it is over by then
	}
	s.caller.Write(setUp(1, "voice", "9000", ""))
	s.wantLine(`"offer"`, `0001"`)
	time.Sleep(2100 * time.Millisecond) // past the first one's deadline
	s.say(accept, 1)
	s.wantFrame(typeAnswer, 1, -1)
}

// Descriptors for one connection to servers, and two servers: the one that is needed takes the place of the other's.
func TestConnectionToAServerMakesRoom(t *testing.T) {
	s := newStory(t, func(s *story) { s.limits.MaxServerConns = 1 })
	s.caller.Write(setUp(9, "voice", "9000", ""))
	s.wantLine(`"offer"`) // the connection to the first is up
	s.say(accept, 9)
	s.wantFrame(typeAnswer, 9, -1)
	s.say(`{"op":"end","call":"%016x","with":{},"why":16}`, 9)
	s.wantFrame(typeRelease, 9, 16)
	l := s.second()
	s.loop.Post(core.List{Servers: []core.Server{{Name: "s", Address: s.server.Addr().String(), Protocol: Protocol, Phase: elmseam.Draining}}})
	s.caller.Write(setUp(1, "voice", "9000", ""))
	other := s.on(l)
	other.wantLine(`"offer"`, `0001"`)
	if s.lines.Scan() || s.lines.Err() != nil {
		t.Errorf("%q, %v on the connection that makes room", s.lines.Text(), s.lines.Err())
	}
}

// The settings change the order of a report's columns, or leave one out: values that a server tells keep what they mean.
func TestColumnsChange(t *testing.T) {
	seen := make(chan elmseam.Report, 9)
	s := newStory(t, func(s *story) {
		s.hook.SuppressEvent = func(ev elmseam.Event) bool {
			if h, report := ev.(elmseam.Health); report {
				seen <- h.Report
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
		s.caller.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
		s.wantFrame(typeTested, 5, 1)
		s.say(`{"op":"group","call":"","with":{"load":"spare:8;cut_by:0.5"},"why":0}`)
		got := <-seen
		for i, f := range tt.columns {
			if want := map[elmseam.LoadMetric]float64{elmseam.LoadMetricFreeLines: 8, elmseam.LoadMetricHoldBackShare: 0.5}[f]; got[i] != want {
				t.Errorf("columns %v: %v", tt.columns, got)
			}
		}
	}
}
