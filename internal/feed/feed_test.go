package feed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/backoff"
	"elmseam/internal/core"
	"elmseam/internal/leak"
	"elmseam/internal/transport"
)

// testTimeout limits the wait for expected events. It only runs out when a test fails.
const testTimeout = 10 * time.Second

// testLimits are the limits of the tested feeds.
var testLimits = Limits{ConnectTimeout: time.Second, ReadTimeout: time.Second, RenewAfter: time.Minute, Retry: backoff.Limits{Base: time.Millisecond, Max: time.Millisecond}, HeaderTimeout: time.Second, HedgeAfter: time.Minute, RetryDelay: time.Millisecond, MaxEventSize: 4096, InitialBufferSize: 16}

// protocolFor, the ProtocolFor of the tested feeds, always returns "f".
func protocolFor(string) core.Protocol { return "f" }

// serveAnswer accepts one connection from the feed and writes answer to it. It returns the Last-Event-ID of the request and a
// function that closes the connection.
func serveAnswer(t *testing.T, listener net.Listener, answer string) (lastEventID string, closeConn func()) {
	t.Helper()
	lastEventID, conn := acceptRequest(t, listener)
	io.WriteString(conn, answer)
	return lastEventID, func() { conn.Close() }
}

// acceptRequest accepts one connection from the feed and reads its request. It returns the request's Last-Event-ID.
func acceptRequest(t *testing.T, listener net.Listener) (lastEventID string, conn net.Conn) {
	t.Helper()
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if value, ok := strings.CutPrefix(line, "Last-Event-ID: "); ok {
			lastEventID = strings.TrimSpace(value)
		}
		if line == "\r\n" {
			return lastEventID, conn
		}
	}
}

// listen opens a TCP listener on the loopback address for the duration of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// startFeed runs a feed that has handled events up to id 4, and returns a Go channel with the lists it posts.
func startFeed(t *testing.T, f *Feed, address string) chan core.ServerList {
	t.Helper()
	lists := make(chan core.ServerList, 16)
	f.Cursor, f.ProtocolFor, f.Log, f.Post = 4, protocolFor, zerolog.Nop(), func(ev core.Event) { lists <- ev.(core.ServerList) }
	f.Follow(address, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return lists
}

// expectServer waits for a list that has the named server as its only entry.
func expectServer(t *testing.T, lists chan core.ServerList, name string) {
	t.Helper()
	select {
	case got := <-lists:
		if len(got.Servers) != 1 || got.Servers[0].Name != name {
			t.Fatalf("%+v, want %s", got, name)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no list with %s", name)
	}
}

// eventText returns a server-sent event, in two data lines, with one server entry.
func eventText(cursor int, name, status string) string {
	return fmt.Sprintf("id: %d\r\ndata: {\"cursor\":%d,\"new\":1,\"nodes\":{\"endpoints\":[{\"name\":%q,\r\ndata: \"address\":\"x:1\",\"status\":%q,\"group\":2,\"since_ms\":5}]}}\r\n\r\n",
		cursor, cursor, name, status)
}

// TestReconnectAfterBrokenChannel breaks the channel in many ways. The feed must connect again each time, continue after the
// last event, and neither lose nor repeat an event. A connection without data ends after Limits.ReadTimeout though it is open.
func TestReconnectAfterBrokenChannel(t *testing.T) {
	listener := listen(t)
	lists := startFeed(t, &Feed{Limits: testLimits}, listener.Addr().String())
	const header = "HTTP/1.1 200 OK\r\n\r\n"
	const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	partialEvent := eventText(6, "no", "in_service")
	partialEvent = partialEvent[:len(partialEvent)-2] // without the empty line that ends the event
	for i, tt := range []struct {
		answer, wantID string // wantID is the Last-Event-ID expected in the request
		closeAfter     bool   // the connection is closed after the answer
	}{
		{header + eventText(4, "old", "in_service") + eventText(5, "a", "in_service"), "4", false}, // followed by silence
		{"HTTP/1.1 503 Busy\r\n\r\n" + eventText(6, "no", "in_service"), "5", false},
		{"SSH-2.0-x\r\n", "5", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Enc", "5", true},            // ends within the header
		{header + partialEvent, "5", true},                        // ends within an event
		{chunkedHeader + "20\r\nid: 6\r\ndata: {\"cu", "5", true}, // ends within a chunk
		{header + partialEvent, "5", false},
		{header + "data: " + strings.Repeat("x", 5000), "5", true},
		{chunkedHeader + "zz\r\n", "5", false},
		{chunkedHeader + strings.Repeat("1", 5000), "5", false},
		{header + strings.Replace(eventText(6, "odd", "unheard_of"), `"endpoints":[`, `"endpoints":[{"name":"a","address":"x:1","status":"terminating","group":2,"since_ms":5},`, 1) + eventText(7, "b", "terminating"), "5", false},
		{header + eventText(8, "c", "terminated"), "7", false},
	} {
		lastEventID, closeConn := serveAnswer(t, listener, tt.answer)
		defer closeConn()
		if tt.closeAfter {
			closeConn()
		}
		if lastEventID != tt.wantID {
			t.Errorf("connection %d: Last-Event-ID %s, want %s", i, lastEventID, tt.wantID)
		}
	}
	for _, want := range []core.Server{
		{Name: "a", Phase: elmseam.PhaseReady}, {Name: "a", Phase: elmseam.PhaseDraining}, {Name: "b", Phase: elmseam.PhaseDraining}, {Name: "c", Phase: elmseam.PhaseGone},
	} {
		want.Address, want.Protocol, want.Cell, want.Started = "x:1", "f", 2, 5*time.Millisecond
		if got := <-lists; len(got.Servers) != 1 || got.Servers[0] != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
}

// TestFollowAnotherChannel checks that Follow switches to a new channel at once though the old connection is still open, that
// event ids continue there, and that commands passed to Follow are handled if they are new.
func TestFollowAnotherChannel(t *testing.T) {
	listeners := []net.Listener{listen(t), listen(t)}
	f := &Feed{Limits: testLimits}
	f.Limits.ReadTimeout = time.Minute
	lists := startFeed(t, f, listeners[0].Addr().String())
	const header = "HTTP/1.1 200 OK\r\n\r\n"
	_, closeConn := serveAnswer(t, listeners[0], header+eventText(5, "a", "in_service"))
	defer closeConn()
	<-lists
	known := []Command{{Cursor: 5}, {Cursor: 6}}
	known[1].Servers.Endpoints = []Endpoint{{Name: "b", Address: "x:1", Status: "in_service"}}
	f.Follow(listeners[1].Addr().String(), known)
	lastEventID, closeConn := serveAnswer(t, listeners[1], header+eventText(6, "twice", "in_service")+eventText(7, "c", "terminating"))
	defer closeConn()
	if lastEventID != "6" {
		t.Errorf("Last-Event-ID %s, want 6", lastEventID)
	}
	for _, want := range []string{"b", "c"} {
		if got := <-lists; len(got.Servers) != 1 || got.Servers[0].Name != want {
			t.Errorf("%+v, want %s", got, want)
		}
	}
}

// TestMalformedEventIsSkipped guards against a malformed or oversized event that ends the connection: the feed reconnected ten
// times a second, got the same event again, and never received the events behind it. The event must be skipped, the connection
// stay open, and the event not be requested again.
func TestMalformedEventIsSkipped(t *testing.T) {
	listener := listen(t)
	lists := startFeed(t, &Feed{Limits: testLimits}, listener.Addr().String())
	_, closeConn := serveAnswer(t, listener, "HTTP/1.1 200 OK\r\n\r\n"+
		"id: 5\r\ndata: {broken\r\n\r\n"+eventText(6, "a", "in_service")+
		"id: 7\r\ndata: "+strings.Repeat("x", 5000)+"\r\n\r\n"+eventText(8, "b", "in_service")+
		"id: 9\r\n"+strings.Repeat("data: "+strings.Repeat("x", 1000)+"\r\n", 5)+"\r\n"+eventText(10, "c", "in_service")+
		"data: []\r\n\r\n"+"id: 11\r\ndata: {\"cursor\":\"x\"}\r\n\r\n")
	for _, name := range []string{"a", "b", "c"} {
		expectServer(t, lists, name)
	}
	closeConn()
	if lastEventID, _ := serveAnswer(t, listener, ""); lastEventID != "11" {
		t.Errorf("Last-Event-ID %s, want 11", lastEventID)
	}
}

// TestTricklingBytesTimeOut guards against a read timeout that restarts with each byte: a channel that sent single bytes and
// never completed a line, in the response header or after it, was read forever. The connection must end after
// Limits.ReadTimeout.
func TestTricklingBytesTimeOut(t *testing.T) {
	for _, prefix := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
		listener := listen(t)
		f := &Feed{Limits: testLimits}
		f.Limits.ReadTimeout = 100 * time.Millisecond
		startFeed(t, f, listener.Addr().String())
		_, conn := acceptRequest(t, listener)
		io.WriteString(conn, prefix)
		err := error(nil)
		for deadline := time.Now().Add(testTimeout); err == nil; time.Sleep(time.Millisecond) {
			if _, err = io.WriteString(conn, "x"); time.Now().After(deadline) {
				t.Fatalf("after %q the connection is still read", prefix)
			}
		}
		if lastEventID, _ := acceptRequest(t, listener); lastEventID != "4" {
			t.Errorf("Last-Event-ID %s, want 4", lastEventID)
		}
	}
}

// TestWatchRenewedWithoutEvents covers a connection that delivers comments but no events, while the channel counts an event as
// delivered after 7 s. The feed must open a second connection, which replaces the first when its response arrives; events of
// the first one are handled until then.
func TestWatchRenewedWithoutEvents(t *testing.T) {
	listener := listen(t)
	f := &Feed{Limits: testLimits}
	f.Limits.RenewAfter = 20 * time.Millisecond
	lists := startFeed(t, f, listener.Addr().String())
	_, stale := acceptRequest(t, listener)
	io.WriteString(stale, "HTTP/1.1 200 OK\r\n\r\n: comment\r\n\r\n")
	lastEventID, renewed := acceptRequest(t, listener)
	io.WriteString(stale, eventText(5, "a", "in_service"))
	expectServer(t, lists, "a")
	io.WriteString(renewed, "HTTP/1.1 200 OK\r\n\r\n"+eventText(5, "twice", "in_service")+eventText(6, "b", "in_service"))
	expectServer(t, lists, "b")
	if lastEventID != "4" {
		t.Errorf("second connection: Last-Event-ID %s, want 4", lastEventID)
	}
	if _, err := stale.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("first connection: %v, want EOF", err)
	}
	if lastEventID, _ := acceptRequest(t, listener); lastEventID != "6" {
		t.Errorf("third connection: Last-Event-ID %s, want 6", lastEventID)
	}
}

// TestFollowAnotherChannelWhileConnecting calls Follow while the feed waits for a response header, is in the middle of an event,
// and while a dial hangs. The new channel must be followed at once.
func TestFollowAnotherChannelWhileConnecting(t *testing.T) {
	unreachable := hangingAddress(t)
	listeners := []net.Listener{listen(t), listen(t), listen(t)}
	f := &Feed{Limits: testLimits}
	f.Limits.ReadTimeout, f.Limits.ConnectTimeout = time.Minute, time.Minute
	lists := startFeed(t, f, listeners[0].Addr().String())
	_, conn := acceptRequest(t, listeners[0]) // sends no header
	defer conn.Close()
	f.Follow(listeners[1].Addr().String(), nil)
	partialEvent := eventText(5, "no", "in_service")
	_, closeConn := serveAnswer(t, listeners[1], "HTTP/1.1 200 OK\r\n\r\n"+partialEvent[:len(partialEvent)/2])
	defer closeConn()
	f.Follow(unreachable, nil)
	for deadline := time.Now().Add(testTimeout); !isDialing(unreachable); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the feed does not dial the hanging address")
		}
	}
	f.Follow(listeners[2].Addr().String(), nil)
	_, closeConn = serveAnswer(t, listeners[2], "HTTP/1.1 200 OK\r\n\r\n"+eventText(5, "a", "in_service"))
	defer closeConn()
	expectServer(t, lists, "a")
}

// hangingAddress returns an address to which connections never complete, as its listener's backlog is full.
func hangingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	boundAddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", boundAddr.(*syscall.SockaddrInet4).Port)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return address
}

// isDialing reports whether a connection attempt to an address is in progress on this machine.
func isDialing(address string) bool {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.Atoi(port)
	table, _ := os.ReadFile("/proc/net/tcp")
	return strings.Contains(string(table), fmt.Sprintf(":%04X 02 ", n)) // SYN sent
}

// oneShotConn is a connection that delivers the bytes of input and ends.
type oneShotConn struct {
	net.Conn
	input io.Reader
}

func (c oneShotConn) Read(b []byte) (int, error)    { return c.input.Read(b) }
func (oneShotConn) SetReadDeadline(time.Time) error { return nil }

// FuzzReader checks that the reader does not panic, loop forever or return lines beyond its size limit.
func FuzzReader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n" + eventText(1, "a", "in_service")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\na\nb\r\n1\r\n\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		response := &responseReader{conn: oneShotConn{input: strings.NewReader(string(b))}, buf: transport.NewBuffer(4, 256)}
		if response.readHeader() != nil {
			return
		}
		for lines := 0; ; lines++ {
			line, err := response.readLine()
			if err != nil {
				return
			}
			if len(line) > 256 || lines > len(b) {
				t.Fatalf("line %d has %d bytes, the input %d bytes", lines, len(line), len(b))
			}
		}
	})
}

// TestMain fails if a test leaks a goroutine or a file descriptor.
func TestMain(m *testing.M) { leak.Main(m) }

// streamHeader begins the answer to a request.
const streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// TestFailingChannelFlooded guards against a feed that calls a channel at its full pace while the channel answers every call with an error.
func TestFailingChannelFlooded(t *testing.T) {
	listener := listen(t)
	limits := testLimits
	limits.Retry = backoff.Limits{Base: 20 * time.Millisecond, Max: 200 * time.Millisecond}
	f := &Feed{Cursor: 4, ProtocolFor: protocolFor, Limits: limits, Post: func(core.Event) {}, Log: zerolog.Nop()}
	f.Follow(listener.Addr().String(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	calls := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); calls++ {
		_, closeConn := serveAnswer(t, listener, "HTTP/1.1 503 Service Unavailable\r\n\r\n")
		closeConn()
	}
	cancel()
	<-done
	if calls > 60 { // 20 are expected; without the backoff there are some thousands
		t.Errorf("%d calls in 2 s", calls)
	}
}

// TestChangeMissedAfterFailedRenewal guards against a change that is noticed later than 6 s (here 1.2 s) after the channel had it, as one
// renewal of a silent watch got no answer.
func TestChangeMissedAfterFailedRenewal(t *testing.T) {
	listener := listen(t)
	limits := testLimits
	limits.RenewAfter, limits.HeaderTimeout, limits.HedgeAfter = time.Second, 500*time.Millisecond, time.Minute
	limits.Retry = backoff.Limits{Base: 100 * time.Millisecond, Max: 100 * time.Millisecond}
	lists := startFeed(t, &Feed{Limits: limits}, listener.Addr().String())
	_, silent := acceptRequest(t, listener)
	io.WriteString(silent, streamHeader)
	go func() {
		for _, err := io.WriteString(silent, ": comment\n\n"); err == nil; _, err = io.WriteString(silent, ": comment\n\n") {
			time.Sleep(100 * time.Millisecond)
		}
	}()
	acceptRequest(t, listener) // the renewal, which gets no answer
	changedAt := time.Now()
	_, closeConn := serveAnswer(t, listener, streamHeader+eventText(5, "s", "terminating"))
	defer closeConn()
	expectServer(t, lists, "s")
	if elapsed := time.Since(changedAt); elapsed > 1200*time.Millisecond {
		t.Errorf("the change is noticed after %v, want at most 1.2 s", elapsed)
	}
}

// TestSlowChannelNeverAnswered guards against giving every call up while the channel answers each of them, but slowly.
func TestSlowChannelNeverAnswered(t *testing.T) {
	listener := listen(t)
	limits := testLimits
	limits.ReadTimeout, limits.HeaderTimeout, limits.HedgeAfter = 500*time.Millisecond, 2*time.Second, 400*time.Millisecond
	var conns []net.Conn
	acceptorDone := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		<-acceptorDone
		for _, conn := range conns {
			conn.Close()
		}
	})
	lists := startFeed(t, &Feed{Limits: limits}, listener.Addr().String())
	go func() {
		defer close(acceptorDone)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
			time.AfterFunc(800*time.Millisecond, func() { io.WriteString(conn, streamHeader+eventText(5, "s", "terminating")) })
		}
	}()
	expectServer(t, lists, "s")
}
