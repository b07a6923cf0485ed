package feed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/link"
)

const patience = 10 * time.Second // for what must come; tests don't wait it out

var testLimits = Limits{Connect: time.Second, Silence: time.Second, Retry: time.Millisecond, Event: 4096, First: 16}

func front(string) core.Front { return "f" }

// script serves one connection of the channel and returns the Last-Event-ID that was asked for.
func script(t *testing.T, l net.Listener, answer string) (last string, end func()) {
	t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
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
			break
		}
	}
	io.WriteString(c, answer)
	return last, func() { c.Close() }
}

func event(cursor int, name, status string) string {
	return fmt.Sprintf("id: %d\r\ndata: {\"cursor\":%d,\"new\":1,\"nodes\":{\"endpoints\":[{\"name\":%q,\r\ndata: \"address\":\"x:1\",\"status\":%q,\"group\":2,\"since_ms\":5}]}}\r\n\r\n",
		cursor, cursor, name, status)
}

// The channel breaks in every way it can; each time it is sought again from the last event, and none is lost or
// told twice. A channel that is silent past its comments is dead though its connection is open.
func TestChannelBreaks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	lists := make(chan core.List, 16)
	f := &Feed{Cursor: 4, Front: front, Limits: testLimits, Log: zerolog.Nop(),
		Post: func(ev core.Event) { lists <- ev.(core.List) }}
	f.Follow(l.Addr().String(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	for i, tt := range []struct{ answer, last string }{
		{ok + event(4, "old", "in_service") + event(5, "a", "in_service"), "4"}, // then silence
		{"HTTP/1.1 503 Busy\r\n\r\n" + event(6, "no", "in_service"), "5"},
		{"SSH-2.0-x\r\n", "5"},
		{ok + "data: {broken\r\n\r\n" + event(6, "no", "in_service"), "5"},
		{ok + "data: " + strings.Repeat("x", 5000), "5"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "5"},
		{ok + strings.Replace(event(6, "odd", "unheard_of"), `"endpoints":[`, `"endpoints":[{"name":"a","address":"x:1","status":"terminating","group":2,"since_ms":5},`, 1) + event(7, "b", "terminating"), "5"},
		{ok + event(8, "c", "terminated"), "7"},
	} {
		last, end := script(t, l, tt.answer)
		defer end()
		if last != tt.last {
			t.Errorf("connection %d asks from %s on, want %s", i, last, tt.last)
		}
	}
	for _, want := range []core.Server{
		{Name: "a", Phase: elmseam.Ready}, {Name: "a", Phase: elmseam.Draining}, {Name: "b", Phase: elmseam.Draining}, {Name: "c", Phase: elmseam.Gone},
	} {
		want.Address, want.Front, want.Cell, want.Started = "x:1", "f", 2, 5*time.Millisecond
		if got := <-lists; len(got.Servers) != 1 || got.Servers[0] != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
}

// A new channel is followed at once though the old one is still open, its numbers go on, and what came with the
// new address is taken in if it is news.
func TestFollowElsewhere(t *testing.T) {
	var ls [2]net.Listener
	for i := range ls {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ls[i] = l
	}
	lists := make(chan core.List, 16)
	f := &Feed{Cursor: 4, Front: front, Limits: testLimits, Log: zerolog.Nop(), Post: func(ev core.Event) { lists <- ev.(core.List) }}
	f.Limits.Silence = time.Minute
	f.Follow(ls[0].Addr().String(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	_, end := script(t, ls[0], ok+event(5, "a", "in_service"))
	defer end()
	<-lists
	known := []Command{{Cursor: 5}, {Cursor: 6}}
	known[1].Nodes.Endpoints = []Endpoint{{Name: "b", Address: "x:1", Status: "in_service"}}
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
