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
	"elmseam/internal/core"
	"elmseam/internal/leak"
	"elmseam/internal/link"
)

const patience = 10 * time.Second // for what must come; tests don't wait it out

var testLimits = Limits{ConnectTimeout: time.Second, ReadTimeout: time.Second, RenewAfter: time.Minute, RetryDelay: time.Millisecond, MaxEventSize: 4096, InitialBufferSize: 16}

func front(string) core.Protocol { return "f" }

// script serves one connection of the channel and returns the Last-Event-ID that was asked for.
func script(t *testing.T, l net.Listener, answer string) (last string, end func()) {
	t.Helper()
	last, c := asked(t, l)
	io.WriteString(c, answer)
	return last, func() { c.Close() }
}

// asked takes one connection of the channel, and its request.
func asked(t *testing.T, l net.Listener) (last string, c net.Conn) {
	t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if v, ok := strings.CutPrefix(line, "Last-Event-ID: "); ok {
			last = strings.TrimSpace(v)
		}
		if line == "\r\n" {
			return last, c
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// run starts a feed; what it posts comes out of the channel.
func run(t *testing.T, f *Feed, address string) chan core.List {
	t.Helper()
	lists := make(chan core.List, 16)
	f.Cursor, f.ProtocolFor, f.Log, f.Post = 4, front, zerolog.Nop(), func(ev core.Event) { lists <- ev.(core.List) }
	f.Follow(address, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return lists
}

func want(t *testing.T, lists chan core.List, name string) {
	t.Helper()
	select {
	case got := <-lists:
		if len(got.Servers) != 1 || got.Servers[0].Name != name {
			t.Fatalf("%+v, want %s", got, name)
		}
	case <-time.After(patience):
		t.Fatalf("nothing heard of %s", name)
	}
}

func event(cursor int, name, status string) string {
	return fmt.Sprintf("id: %d\r\ndata: {\"cursor\":%d,\"new\":1,\"nodes\":{\"endpoints\":[{\"name\":%q,\r\ndata: \"address\":\"x:1\",\"status\":%q,\"group\":2,\"since_ms\":5}]}}\r\n\r\n",
		cursor, cursor, name, status)
}

// The channel breaks in every way it can; each time it is sought again from the last event, and none is lost or
// told twice. A channel that is silent past its comments is dead though its connection is open.
func TestChannelBreaks(t *testing.T) {
	l := listen(t)
	lists := run(t, &Feed{Limits: testLimits}, l.Addr().String())
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	half := event(6, "no", "in_service")
	half = half[:len(half)-2] // all but the empty line
	for i, tt := range []struct {
		answer, last string
		cut          bool // the connection is closed behind it
	}{
		{ok + event(4, "old", "in_service") + event(5, "a", "in_service"), "4", false}, // then silence
		{"HTTP/1.1 503 Busy\r\n\r\n" + event(6, "no", "in_service"), "5", false},
		{"SSH-2.0-x\r\n", "5", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Enc", "5", true},      // within the header
		{ok + half, "5", true},                              // within an event
		{chunked + "20\r\nid: 6\r\ndata: {\"cu", "5", true}, // within a chunk
		{ok + half, "5", false},
		{ok + "data: " + strings.Repeat("x", 5000), "5", true},
		{chunked + "zz\r\n", "5", false},
		{chunked + strings.Repeat("1", 5000), "5", false},
		{ok + strings.Replace(event(6, "odd", "unheard_of"), `"endpoints":[`, `"endpoints":[{"name":"a","address":"x:1","status":"terminating","group":2,"since_ms":5},`, 1) + event(7, "b", "terminating"), "5", false},
		{ok + event(8, "c", "terminated"), "7", false},
	} {
		last, end := script(t, l, tt.answer)
		defer end()
		if tt.cut {
			end()
		}
		if last != tt.last {
			t.Errorf("connection %d asks from %s on, want %s", i, last, tt.last)
		}
	}
	for _, want := range []core.Server{
		{Name: "a", Phase: elmseam.Ready}, {Name: "a", Phase: elmseam.Draining}, {Name: "b", Phase: elmseam.Draining}, {Name: "c", Phase: elmseam.Gone},
	} {
		want.Address, want.Protocol, want.Cell, want.Started = "x:1", "f", 2, 5*time.Millisecond
		if got := <-lists; len(got.Servers) != 1 || got.Servers[0] != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
}

// A new channel is followed at once though the old one is still open, its numbers go on, and what came with the
// new address is taken in if it is news.
func TestFollowElsewhere(t *testing.T) {
	ls := []net.Listener{listen(t), listen(t)}
	f := &Feed{Limits: testLimits}
	f.Limits.ReadTimeout = time.Minute
	lists := run(t, f, ls[0].Addr().String())
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	_, end := script(t, ls[0], ok+event(5, "a", "in_service"))
	defer end()
	<-lists
	known := []Command{{Cursor: 5}, {Cursor: 6}}
	known[1].Servers.Endpoints = []Endpoint{{Name: "b", Address: "x:1", Status: "in_service"}}
	f.Follow(ls[1].Addr().String(), known)
	last, end := script(t, ls[1], ok+event(6, "twice", "in_service")+event(7, "c", "terminating"))
	defer end()
	if last != "6" {
		t.Errorf("asks from %s on, want 6", last)
	}
	for _, want := range []string{"b", "c"} {
		if got := <-lists; len(got.Servers) != 1 || got.Servers[0].Name != want {
			t.Errorf("%+v, want %s", got, want)
		}
	}
}

// An event that can't be read, or is too long, is passed over: the connection stays, what comes behind it is heard, and it
// isn't asked for again. The watch broke off there each time, ten times a second, and nothing behind was ever heard.
func TestMalformedEventIsPassedOver(t *testing.T) {
	l := listen(t)
	lists := run(t, &Feed{Limits: testLimits}, l.Addr().String())
	_, end := script(t, l, "HTTP/1.1 200 OK\r\n\r\n"+
		"id: 5\r\ndata: {broken\r\n\r\n"+event(6, "a", "in_service")+
		"id: 7\r\ndata: "+strings.Repeat("x", 5000)+"\r\n\r\n"+event(8, "b", "in_service")+
		"id: 9\r\n"+strings.Repeat("data: "+strings.Repeat("x", 1000)+"\r\n", 5)+"\r\n"+event(10, "c", "in_service")+
		"data: []\r\n\r\n"+"id: 11\r\ndata: {\"cursor\":\"x\"}\r\n\r\n")
	for _, name := range []string{"a", "b", "c"} {
		want(t, lists, name)
	}
	end()
	if last, _ := script(t, l, ""); last != "11" {
		t.Errorf("asks from %s on, want 11", last)
	}
}

// Bytes trickle and never make a line, in the answer's header or behind it: the watch is as good as dead. Each byte began
// the time anew, and it was read for ever.
func TestChannelTrickles(t *testing.T) {
	for _, begin := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
		l := listen(t)
		f := &Feed{Limits: testLimits}
		f.Limits.ReadTimeout = 100 * time.Millisecond
		run(t, f, l.Addr().String())
		_, c := asked(t, l)
		io.WriteString(c, begin)
		err := error(nil)
		for late := time.Now().Add(patience); err == nil; time.Sleep(time.Millisecond) {
			if _, err = io.WriteString(c, "x"); time.Now().After(late) {
				t.Fatalf("behind %q it is read for ever", begin)
			}
		}
		if last, _ := asked(t, l); last != "4" {
			t.Errorf("asks from %s on, want 4", last)
		}
	}
}

// Comments go on and events don't come: what is told counts as heard after 7 s all the same. A fresh watch is made beside
// it, and takes over when it is answered; until then the first is heard.
func TestCommentsButNoEvents(t *testing.T) {
	l := listen(t)
	f := &Feed{Limits: testLimits}
	f.Limits.RenewAfter = 20 * time.Millisecond
	lists := run(t, f, l.Addr().String())
	_, stuck := asked(t, l)
	io.WriteString(stuck, "HTTP/1.1 200 OK\r\n\r\n: comment\r\n\r\n")
	last, fresh := asked(t, l)
	io.WriteString(stuck, event(5, "a", "in_service"))
	want(t, lists, "a")
	io.WriteString(fresh, "HTTP/1.1 200 OK\r\n\r\n"+event(5, "twice", "in_service")+event(6, "b", "in_service"))
	want(t, lists, "b")
	if last != "4" {
		t.Errorf("the fresh one asks from %s on, want 4", last)
	}
	if _, err := stuck.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the one overtaken ends with %v", err)
	}
	if last, _ := asked(t, l); last != "6" {
		t.Errorf("the next asks from %s on, want 6", last)
	}
}

// Another channel is named while a dial hangs, while a header is waited for, and within an event: it is followed at once.
func TestFollowElsewhereAtAnyMoment(t *testing.T) {
	hung := hang(t)
	ls := []net.Listener{listen(t), listen(t), listen(t)}
	f := &Feed{Limits: testLimits}
	f.Limits.ReadTimeout, f.Limits.ConnectTimeout = time.Minute, time.Minute
	lists := run(t, f, ls[0].Addr().String())
	_, c := asked(t, ls[0]) // no header
	defer c.Close()
	f.Follow(ls[1].Addr().String(), nil)
	half := event(5, "no", "in_service")
	_, end := script(t, ls[1], "HTTP/1.1 200 OK\r\n\r\n"+half[:len(half)/2])
	defer end()
	f.Follow(hung, nil)
	for late := time.Now().Add(patience); !dialled(hung); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("the dial that hangs isn't made")
		}
	}
	f.Follow(ls[2].Addr().String(), nil)
	_, end = script(t, ls[2], "HTTP/1.1 200 OK\r\n\r\n"+event(5, "a", "in_service"))
	defer end()
	want(t, lists, "a")
}

// hang is an address at which connections never come up: its listener's backlog is full.
func hang(t *testing.T) string {
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
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return address
}

// dialled says whether the machine is trying to connect to an address.
func dialled(address string) bool {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.Atoi(port)
	table, _ := os.ReadFile("/proc/net/tcp")
	return strings.Contains(string(table), fmt.Sprintf(":%04X 02 ", n)) // SYN sent
}

// once is a connection that brings some bytes and ends.
type once struct {
	net.Conn
	r io.Reader
}

func (c once) Read(b []byte) (int, error)    { return c.r.Read(b) }
func (once) SetReadDeadline(time.Time) error { return nil }

func FuzzReader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n" + event(1, "a", "in_service")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\na\nb\r\n1\r\n\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &reader{conn: once{r: strings.NewReader(string(b))}, in: link.NewBuffer(4, 256)}
		if r.head() != nil {
			return
		}
		for lines := 0; ; lines++ {
			line, err := r.line()
			if err != nil {
				return
			}
			if len(line) > 256 || lines > len(b) {
				t.Fatalf("line %d of %d bytes out of %d", lines, len(line), len(b))
			}
		}
	})
}

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }
