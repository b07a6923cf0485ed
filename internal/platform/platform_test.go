package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/probe"
	"elmseam/internal/settings"
	"elmseam/internal/transport"
)

// testTimeout is the longest wait for an expected event; a test that passes does not wait that long.
const testTimeout = 20 * time.Second

// scenario is a softswitch that speaks the platform's protocol, with a scripted server and a caller.
type scenario struct {
	*testing.T
	loop           *loop.Loop
	platform       *Platform
	callerListener net.Listener
	serverListener net.Listener
	callerConn     net.Conn       // the caller's end of its connection
	serverLines    *bufio.Scanner // reads from serverConn
	serverConn     net.Conn       // the server's end of its connection
	core           *core.Core
	limits         core.Limits
	hook           core.Hook
	effects        chan core.Effect // effects that are for no single connection
	tenants        []elmseam.Tenant
	dialGate       atomic.Pointer[chan struct{}] // if set, a dial waits until the channel is closed
	dialCount      atomic.Int64                  // connections to servers begun so far
}

// newScenario returns a scenario whose server and caller are connected. options change it before the softswitch starts. The
// controller (package elmseam) may refuse set-ups when a server's answers are delayed by more than a tenth of the retransmit
// interval. The interval is long, so that a stall of the test machine does not count as such a delay.
func newScenario(t *testing.T, options ...func(*scenario)) *scenario {
	t.Helper()
	s := &scenario{T: t, effects: make(chan core.Effect, 100), limits: core.Limits{MaxCallerReleases: 100, RebindTimeout: 100 * time.Millisecond, InitialRedialDelay: time.Millisecond,
		MaxRedialDelay: time.Millisecond, ServerLostAfter: time.Minute, CallerConnsTarget: 100, MaxOpen: 100, MaxCallBytes: 1 << 20, EndedCallTTL: time.Minute,
		Transient: map[core.Protocol]bool{Protocol: true}}}
	for _, option := range options {
		option(s)
	}
	reducer, err := core.New(elmseam.Settings{
		Classes: []elmseam.Class{{Deadline: 9 * time.Second, Worth: 1}}, MaxAttempts: 4, OwnCell: -1,
		RetransmitInterval: testTimeout, ReleaseGuard: 50 * time.Millisecond, MaxRetryAfter: 2 * time.Second, Tenants: s.tenants, OverShareWorth: 0.1,
		ReportMetrics: []elmseam.LoadMetric{elmseam.LoadMetricWait},
	}, 1, s.limits)
	if err != nil {
		t.Fatal(err)
	}
	reducer.SetHook(s.hook)
	eventLoop := loop.New(reducer, loop.InboxLimits{MaxEvents: 64, MaxBytes: 1 << 20, MaxPerConn: 16}, func(e core.Effect) {
		select {
		case s.effects <- e:
		default:
		}
	}, zerolog.Nop())
	limits := transport.Limits{InitialBufferSize: 64, MaxMessageSize: 16 << 10, MaxQueuedBytes: 1 << 20, WriteTimeout: time.Second, FlushTimeout: 50 * time.Millisecond,
		LineTimeout: 50 * time.Millisecond, MaxSilence: 100 * time.Millisecond,
		MessageTimeout: testTimeout, IdleTimeout: testTimeout, LingerTimeout: 100 * time.Millisecond, MaxLingerBytes: 1 << 16}
	platform := New(Config{
		Deployment: settings.Deployment{Classes: []settings.Class{{Name: "voice", Cells: []int{0, 1}, Lines: 1}}, ReportMetrics: []string{"spare", "cut_by"}}, ConnectTimeout: time.Second, MaxCallerConns: 8,
		CallerConn: limits, ServerConn: limits, CallerQueues: transport.NewBudget(64 << 20), ServerQueues: transport.NewBudget(1 << 20),
	}, eventLoop, zerolog.Nop())
	eventLoop.SetDialer(Protocol, func(d core.Dial) {
		s.dialCount.Add(1)
		if gate := s.dialGate.Load(); gate != nil {
			<-*gate
		}
		platform.Dial(d)
	})
	callerListener := listen(t)
	s.core, s.loop, s.platform, s.callerListener, s.serverListener = reducer, eventLoop, platform, callerListener, listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go eventLoop.Run(ctx)
	go platform.Serve(callerListener)
	eventLoop.Post(core.ServerList{Full: true, Servers: []core.Server{
		{Name: "s", Address: s.serverListener.Addr().String(), Protocol: Protocol, Phase: elmseam.PhaseReady},
	}})
	s.acceptServerConn()
	s.callerConn = s.dial(callerListener)
	return s
}

// listen returns a listener on a free local port, closed when the test ends.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// dial connects to l; the connection is closed when the test ends.
func (s *scenario) dial(l net.Listener) net.Conn {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// acceptServerConn accepts the next connection to the server, and makes it the one that the other methods use.
func (s *scenario) acceptServerConn() {
	c, err := s.serverListener.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	s.serverConn, s.serverLines = c, bufio.NewScanner(c)
}

// wantLine reads the server's next line, which must contain all substrings. `0001"` is the end of a call id.
func (s *scenario) wantLine(substrings ...string) {
	s.Helper()
	if !s.serverLines.Scan() {
		s.Fatalf("no line, want one with %q: %v", substrings, s.serverLines.Err())
	}
	for _, substring := range substrings {
		if !strings.Contains(s.serverLines.Text(), substring) {
			s.Fatalf("line %s, want %s in it", s.serverLines.Text(), substring)
		}
	}
}

// sendLine writes a message, which is one line of JSON, to the softswitch as the server.
func (s *scenario) sendLine(format string, args ...any) {
	fmt.Fprintf(s.serverConn, format+"\n", args...)
}

// wantFrame reads the caller's next message, which must have the given type, call id and cause (-1: no cause).
func (s *scenario) wantFrame(msgType byte, id core.ID, cause int) frame {
	s.Helper()
	header := make([]byte, lengthSize)
	_, err := io.ReadFull(s.callerConn, header)
	body := make([]byte, binary.BigEndian.Uint16(header))
	if err == nil {
		_, err = io.ReadFull(s.callerConn, body)
	}
	f, _, parseErr := parseFrame(append(header, body...), 16<<10)
	if err != nil || parseErr != nil || f.msgType != msgType || f.callID != id || f.cause != cause {
		s.Fatalf("message %+v (%v, %v), want type %d, call %x, cause %d", f, err, parseErr, msgType, id, cause)
	}
	return f
}

// setUpFrame encodes a set-up message. timeLeft is in milliseconds.
func setUpFrame(id core.ID, class, timeLeft, desc string) []byte {
	params := appendParam(nil, paramClass, []byte(class)...)
	params = appendParam(params, paramTimeLeft, []byte(timeLeft)...)
	params = appendParam(params, paramNumber, []byte("7f3a9c21e0b4d655")...)
	params = appendParam(params, paramExtras, []byte("dest:0;width:1;via:-1")...)
	return appendFrame(nil, typeSetUp, id, appendParam(params, paramDesc, []byte(desc)...))
}

// releaseFrame encodes a caller's give-up or release.
func releaseFrame(id core.ID, cause byte) []byte {
	return appendFrame(nil, typeRelease, id, appendParam(nil, paramCause, cause))
}

// A call from set-up to release: texts must be passed on unchanged, and messages must be understood when they arrive byte by byte.
func TestCallFromRequestToRelease(t *testing.T) {
	s := newScenario(t)
	for _, b := range setUpFrame(0x9b1f, "voice", "1500", "line\r\n\"q\\\" é\x01") {
		s.callerConn.Write([]byte{b})
	}
	s.wantLine(`"op":"offer"`, `"call":"0000000000009b1f"`, `"class":"voice"`, `"key":"7f3a9c21e0b4d655"`, `"left":"1`,
		`"desc":"line\r\n\"q\\\" é\u0001"`)
	s.sendLine(`{"op":"ringing","call":"0000000000009b1f","with":{}}`)
	s.sendLine(`{"op":"accept","call":"0000000000009b1f","with":{"load":"spare:3;new:1"},"x":[1,{"y":null}],"desc":"\u00e9\ud83d\ude00\n"}`)
	if f := s.wantFrame(typeAnswer, 0x9b1f, -1); string(f.desc) != "é😀\n" {
		t.Errorf("description %q", f.desc)
	}
	s.sendLine(`{"op":"end","call":"0000000000009b1f","with":{},"why":41}`)
	s.wantFrame(typeRelease, 0x9b1f, 41)
	s.callerConn.Write(appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0)))
	s.wantFrame(typeTested, 5, 1)
}

// A server's connection is reset with a pending set-up and an established call on it. The set-up must get one final answer, a
// refusal, as there is no other server, and the release of the established call must arrive over the next connection.
func TestServerConnectionReset(t *testing.T) {
	s := newScenario(t)
	s.callerConn.Write(append(setUpFrame(1, "voice", "5000", ""), setUpFrame(2, "voice", "5000", "")...))
	s.wantLine(`"offer"`, `0001"`)
	s.wantLine(`"offer"`, `0002"`)
	s.sendLine(`{"op":"accept","call":"0000000000000001","with":{},"desc":""}`)
	s.wantFrame(typeAnswer, 1, -1)
	s.serverConn.(*net.TCPConn).SetLinger(0)
	s.serverConn.Close()
	s.acceptServerConn()
	s.wantFrame(typeRelease, 2, 42)
	s.sendLine(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
	s.wantFrame(typeRelease, 1, 16)
}

// A server's connection stays open but is dead: it stops within a line, or carries nothing where the server used to report its
// state. The connection must be replaced. Set-ups used to wait on it until their callers gave up, and releases of established
// calls never arrived.
func TestSilentServerConnection(t *testing.T) {
	s := newScenario(t)
	s.callerConn.Write(setUpFrame(1, "voice", "5000", ""))
	s.wantLine(`"offer"`)
	s.sendLine(`{"op":"accept","call":"0000000000000001","with":{},"desc":""}`)
	s.wantFrame(typeAnswer, 1, -1)
	fmt.Fprint(s.serverConn, `{"op":"end","ca`)
	s.acceptServerConn()
	s.sendLine(`{"op":"end","call":"0000000000000001","with":{},"why":16}`) // the server repeats the release on the new connection
	s.wantFrame(typeRelease, 1, 16)
	for range minObservedIntervals + 1 {
		s.sendLine(`{"op":"group","with":{"load":"spare:3"}}`)
		time.Sleep(20 * time.Millisecond)
	}
	s.callerConn.Write(setUpFrame(2, "voice", "5000", ""))
	s.wantLine(`"offer"`, `0002"`)
	s.acceptServerConn()
	s.wantFrame(typeRelease, 2, 42) // refused, as there is no other server
	s.sendLine(`{"op":"group","with":{"load":"spare:3"}}`)
	s.callerConn.Write(setUpFrame(3, "voice", "5000", ""))
	s.wantLine(`"offer"`, `0003"`)
	s.acceptServerConn() // the report intervals seen on the first connection apply to the new one
	s.wantFrame(typeRelease, 3, 42)
}

// A server with nothing to report may be silent, and its connection must stay open. A server with few calls used to have its
// connections closed again and again, along with set-ups sent a moment before. A test message shows that the connection works.
func TestQuietServerKeepsConnection(t *testing.T) {
	s := newScenario(t)
	for range minObservedIntervals + 1 {
		s.sendLine(`{"op":"group","with":{"load":"spare:3"}}`)
		time.Sleep(5 * time.Millisecond)
	}
	s.serverConn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)) // many times the silence timeout of this scenario
	if _, err := s.serverConn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Fatalf("silent connection without pending calls: %v, want a read timeout", err)
	}
	s.serverConn.SetReadDeadline(time.Now().Add(testTimeout))
	s.sendLine(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
	s.wantLine(`"tested"`)
	s.callerConn.Write(setUpFrame(1, "voice", "5000", ""))
	s.wantLine(`"offer"`, `0001"`)
	s.sendLine(`{"op":"accept","call":"0000000000000001","with":{},"desc":""}`)
	s.wantFrame(typeAnswer, 1, -1)
}

// While a call is established at a silent server, the connection must be probed, by a test message that asks for a load report
// and not by a set-up. The report must be used once, however often it arrives. Without an answer the connection must be replaced;
// if probes are not permitted, it must be replaced at once.
func TestSilentServerIsProbed(t *testing.T) {
	for _, permitted := range []bool{true, false} {
		reports := make(chan float64, 100)
		s := newScenario(t, func(s *scenario) {
			s.limits.Probe = probe.Limits{Permitted: permitted, Rate: 1000, Burst: 1, Timeout: 50 * time.Millisecond}
			s.hook.SuppressEvent = func(ev elmseam.Event) bool {
				if h, ok := ev.(elmseam.Health); ok && len(h.Report) > 0 {
					reports <- h.Report[0]
				}
				return false
			}
		})
		s.callerConn.Write(setUpFrame(1, "voice", "5000", ""))
		s.wantLine(`"offer"`)
		s.sendLine(`{"op":"accept","call":"0000000000000001","with":{},"desc":""}`)
		s.wantFrame(typeAnswer, 1, -1)
		for range minObservedIntervals + 1 {
			s.sendLine(`{"op":"group","with":{"load":"recent_ms:1"}}`)
			time.Sleep(5 * time.Millisecond)
		}
		if permitted {
			s.wantLine(`"test"`, `"why":1`)
			var probeMsg struct{ Call string }
			json.Unmarshal(s.serverLines.Bytes(), &probeMsg)
			for range 2 {
				s.sendLine(`{"op":"tested","call":%q,"with":{"load":"recent_ms:7"},"why":1}`, probeMsg.Call)
			}
			s.wantLine(`"test"`) // the server is silent again and doesn't answer this probe
			for load := 0.0; load != 7; load = <-reports {
			}
		}
		s.acceptServerConn()
		s.sendLine(`{"op":"end","call":"0000000000000001","with":{},"why":16}`)
		s.wantFrame(typeRelease, 1, 16)
		for len(reports) > 0 {
			if <-reports == 7 {
				t.Error("the answer to a probe was used twice")
			}
		}
	}
}

// A caller gives up. The server must be notified, and an answer that crosses the give-up must not be passed on.
func TestCallerGivesUp(t *testing.T) {
	s := newScenario(t)
	s.callerConn.Write(setUpFrame(1, "voice", "5000", ""))
	s.wantLine(`"offer"`)
	s.callerConn.Write(releaseFrame(1, 16))
	s.wantFrame(typeReleaseAck, 1, -1)
	s.wantLine(`"end"`, `"why":16`)
	s.sendLine(`{"op":"accept","call":"0000000000000001","with":{},"desc":""}`)
	s.sendLine(`{"op":"test","call":"0000000000000009","with":{},"why":0}`)
	for s.serverLines.Scan() && !strings.Contains(s.serverLines.Text(), `"tested"`) { // until all earlier messages have been processed
	}
	s.callerConn.Write(setUpFrame(2, "video", "5000", "")) // an unknown class: only that set-up is refused
	s.wantFrame(typeRelease, 2, 100)
}

// Malformed data must end only the connection that it arrives on.
func TestMalformedCallers(t *testing.T) {
	s := newScenario(t)
	address := s.callerConn.RemoteAddr().String()
	for name, bad := range map[string][]byte{
		"too short":    {0, 3, 1, 2, 3},
		"too long":     {0xff, 0xff, 1},
		"unknown type": appendFrame(nil, 99, 1, nil),
		"cut short":    appendFrame(nil, typeSetUp, 1, []byte{paramClass, 0, 9, 'v'}),
		"long cause":   appendFrame(nil, typeRelease, 1, appendParam(nil, paramCause, 1, 2)),
	} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		c.Write(append(bad, make([]byte, 32<<10)...)) // if it stayed unread, a reset would discard the answer
		if received, err := io.ReadAll(c); err != nil || (len(received) > 0) != (name == "cut short") {
			t.Errorf("%s: read %x and %v", name, received, err)
		}
		c.Close()
	}
	s.sendLine(`{"op":"group","with":{"load":`) // a line of truncated JSON: the connection to the server ends, and a new one is made
	s.acceptServerConn()
	s.callerConn.Write(setUpFrame(1, "voice", "5000", ""))
	s.wantLine(`"offer"`)
}

// A set-up with a malformed value or one out of range, an unknown class or cell, or no id must be refused here. Servers used to
// get such set-ups: they answered with an error, and on a call without an id closed the connection with all calls on it.
func TestInvalidSetUps(t *testing.T) {
	s := newScenario(t)
	setUp := func(id core.ID, class, left, extras string) []byte {
		params := appendParam(appendParam(nil, paramClass, []byte(class)...), paramTimeLeft, []byte(left)...)
		return appendFrame(nil, typeSetUp, id, appendParam(params, paramExtras, []byte(extras)...))
	}
	for i, bad := range [][]byte{
		setUp(1, "voice_x", "500", "dest:0;width:1"), setUp(2, "voice", "-5", "dest:0;width:1"), setUp(3, "voice", "soon", "dest:0"),
		setUp(4, "voice", "", "dest:0"), setUp(5, "voice", "1e99", "dest:0"), setUp(6, "voice", "nan", "dest:0"),
		setUp(7, "voice", "500", "dest:-3"), setUp(8, "voice", "500", "dest:99"), setUp(9, "voice", "500", "dest:nan"),
		setUp(10, "voice", "500", "dest:0.5"), setUp(11, "voice", "500", "x"), setUp(12, "voice", "500", "dest:0;width:0"),
		setUp(13, "voice", "500", "dest:0;width:400"),
	} {
		s.callerConn.Write(bad)
		s.wantFrame(typeRelease, core.ID(i+1), 100)
	}
	s.callerConn.Write(setUp(0, "voice", "500", "dest:0;width:1"))
	s.wantFrame(typeRelease, 0, 100)
	// The wait is limited to the maximum of the class, as a timer of days would be kept for days.
	cfg := *s.platform.config.Load()
	cfg.Deployment.Classes = []settings.Class{{Name: "voice", Cells: []int{0, 1}, Lines: 1, Deadline: 200 * time.Millisecond}}
	s.platform.Configure(cfg.Config)
	s.callerConn.Write(setUp(14, "voice", "99999999", "dest:1;width:1;via:-1"))
	s.wantLine(`"offer"`, `00000e"`) // the first set-up that reaches the server
	s.wantFrame(typeRelease, 14, 41)
}

// TestGiveUpNeverComes guards against a set-up that is neither answered nor given up, as the release behind it is malformed or incomplete.
func TestGiveUpNeverComes(t *testing.T) {
	s := newScenario(t)
	malformed := appendFrame(nil, typeRelease, 1, appendParam(nil, paramCause, 1, 2))
	s.callerConn.Write(append(setUpFrame(1, "voice", "5000", ""), malformed...))
	s.wantFrame(typeRelease, 1, 100)
	s.callerConn = s.dial(s.callerListener)
	s.callerConn.Write(append(setUpFrame(2, "voice", "5000", ""), releaseFrame(2, 16)[:12]...))
	s.wantLine(`"offer"`, `0002"`)
	s.callerConn.Write(releaseFrame(2, 16)[12:])
	s.wantFrame(typeReleaseAck, 2, -1)
	s.wantLine(`"end"`, `0002"`)
}

// A connection on which no complete message arrives within the message timeout must be closed, also if a message stops half-way
// or arrives byte by byte. Each byte used to restart the timeout, so that one message could hold a connection for hours. A
// connection that has carried a message must stay open for the longer idle timeout.
func TestCallerMessageTimeout(t *testing.T) {
	s := newScenario(t)
	cfg := *s.platform.config.Load()
	cfg.CallerConn.MessageTimeout, cfg.CallerConn.IdleTimeout = 50*time.Millisecond, time.Hour
	s.platform.Configure(cfg.Config)
	testFrame := appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))
	for name, sent := range map[string][]byte{"nothing": nil, "half a message": testFrame[:5], "one and a half messages": append(testFrame, testFrame[:5]...)} {
		c := s.dial(s.callerListener)
		c.Write(sent)
		if _, err := io.ReadAll(c); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	trickle := s.dial(s.callerListener)
	trickle.Write(testFrame)
	trickle.Read(make([]byte, 64))
	_, err := trickle.Write([]byte{0x30, 0}) // the length field of a 12 KiB message
	for deadline := time.Now().Add(testTimeout); err == nil; time.Sleep(20 * time.Millisecond) {
		if _, err = trickle.Write([]byte{0}); time.Now().After(deadline) {
			t.Fatal("a connection on which a message arrives byte by byte stays open")
		}
	}
	c := s.dial(s.callerListener)
	c.Write(testFrame)
	c.Read(make([]byte, 64))
	c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("idle connection after a message: %v, want a read timeout", err)
	}
}

// TestNumberZeroIsNone guards against the number "0" counting as none, so that it could never be known to be busy.
func TestNumberZeroIsNone(t *testing.T) {
	s := newScenario(t)
	for number, want := range map[string]bool{"": false, "0": true, "7f3a9c21e0b4d655": true} {
		ev := s.platform.setUpEvent(1, frame{callID: 1, class: "voice", timeLeft: "500", numberText: number}, 0)
		if (ev.Number != 0) != want || ev.Number != core.NumberValue(number) {
			t.Errorf("number %q has the value %d", number, ev.Number)
		}
	}
}

// isTimeout reports whether err means that a network operation has timed out.
func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// The tenant named by parameter 22 of a set-up must reach the controller. A set-up without it, or with an unknown name, has no
// tenant (index -1).
func TestSetUpTenant(t *testing.T) {
	tenants := make(chan int, 10)
	s := newScenario(t, func(s *scenario) {
		s.tenants = []elmseam.Tenant{{Name: "x", Allowance: 1}, {Name: "acme", Allowance: 1}}
		s.hook.SuppressEvent = func(ev elmseam.Event) bool {
			if a, ok := ev.(elmseam.Arrival); ok {
				tenants <- a.Tenant
			}
			return false
		}
	})
	for id, name := range []string{"acme", "nobody", ""} {
		params := appendParam(appendParam(nil, paramClass, []byte("voice")...), paramTimeLeft, []byte("5000")...)
		if params = appendParam(params, paramTenant, []byte(name)...); name == "" {
			params = params[:len(params)-paramHeaderSize]
		}
		s.callerConn.Write(appendFrame(nil, typeSetUp, core.ID(id+1), params))
	}
	for i, want := range []int{1, -1, -1} {
		if got := <-tenants; got != want {
			t.Errorf("call %d has tenant %d, want %d", i+1, got, want)
		}
	}
}

// A caller that reads nothing must lose only its own connection, and other callers must be served meanwhile. The kernel's buffers
// are kept small, as the time to fill buffers that the kernel enlarges by itself is unpredictable.
func TestStalledCaller(t *testing.T) {
	s := newScenario(t)
	rawListener, err := s.callerListener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	rawListener.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 8<<10) })
	cfg := *s.platform.config.Load()
	cfg.CallerConn.MaxQueuedBytes = 64 << 10
	s.platform.Configure(cfg.Config)
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	stalled, dialErr := dialer.Dial("tcp", s.callerConn.RemoteAddr().String())
	if err != nil || dialErr != nil {
		t.Fatal(err, dialErr)
	}
	defer stalled.Close()
	testFrame := appendFrame(nil, typeTest, 5, appendParam(nil, paramCause, 0))
	stalled.SetDeadline(time.Now().Add(testTimeout))
	messages := bytes.Repeat(testFrame, 1000)
	for {
		if _, err := stalled.Write(messages); err != nil {
			if isTimeout(err) {
				t.Error("the connection of a caller that reads nothing stays open")
			}
			break
		}
	}
	s.callerConn.Write(testFrame)
	s.wantFrame(typeTested, 5, 1)
}

// FuzzParse checks that the parsers of callers' and servers' messages survive any input, that parseFrame returns a valid size,
// and that a description is unchanged after encoding and decoding.
func FuzzParse(f *testing.F) {
	f.Add(setUpFrame(1, "voice", "5", "x"))
	f.Add([]byte(`{"op":"end","call":"9b","with":{"load":"x0:1","note":"swamped"},"why":34,"d":[1,{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, size, err := parseFrame(b, 1<<10); err == nil && (size < lengthSize+headerSize || size > min(len(b), 1<<10)) {
			t.Errorf("message of %d bytes in an input of %d bytes", size, len(b))
		}
		msg, err := parseServerMessage(b)
		if err != nil {
			return
		}
		decoded, err := parseServerMessage([]byte(`{"desc":` + string(appendString(nil, msg.desc)) + "}"))
		if err != nil || decoded.desc != msg.desc {
			t.Errorf("%q decoded as %q: %v", msg.desc, decoded.desc, err)
		}
	})
}

// A caller that released unknown calls at full speed filled the queue of a server that reads slowly, whose connection was then closed with all
// set-ups on it.
func TestReleasesOfUnknownCallsCloseServerConnection(t *testing.T) {
	s := newScenario(t)
	cfg := *s.platform.config.Load()
	cfg.ServerConn.WriteTimeout = testTimeout // the kernel takes more only when a third of its buffer is free
	s.platform.Configure(cfg.Config)
	s.serverConn.Close()
	s.acceptServerConn()
	conns := s.dialCount.Load()
	stop := make(chan struct{})
	ended := make(chan struct{})
	serverConn := s.serverConn
	go func() { // reads some 800 KB a second, and all at the end
		defer close(ended)
		for buf := make([]byte, 16<<10); ; {
			if _, err := serverConn.Read(buf); err != nil {
				return
			}
			select {
			case <-stop:
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	var releases []byte
	for id := core.ID(1); id <= 150000; id++ {
		releases = append(releases, releaseFrame(id, 16)...)
	}
	go s.callerConn.Write(releases)
	for id := core.ID(1); id <= 150000; id++ {
		s.wantFrame(typeReleaseAck, id, -1)
	}
	if n := s.dialCount.Load(); n != conns {
		t.Errorf("%d connections to the server were made, want %d", n, conns)
	}
	close(stop)
	serverConn.Close()
	<-ended
}
