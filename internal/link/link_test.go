package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"elmseam/internal/leak"
)

// pair is a connection over loopback, and its peer's end, for the length of a test.
func pair(t *testing.T) (conn, peer net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if conn, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if peer, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return conn, peer
}

// A peer reads nothing: whoever posts never waits. Offers that have not been begun can be taken back, one by one or
// all where new work has to stop; and since some may be in the write that is stuck, the connection is closed then, so
// that the peer doesn't get them late.
func TestStalledPeer(t *testing.T) {
	conn, _ := pair(t)
	o := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 64 << 20, WriteTimeout: time.Minute, FlushTimeout: time.Millisecond})
	stalled := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return !o.began.IsZero() && time.Since(o.began) > 100*time.Millisecond
	}
	for !stalled() { // fill what the machine buffers
		if o.waiting() < 32<<20 {
			o.Post(Item{Data: make([]byte, 64<<10)})
		}
		time.Sleep(time.Millisecond)
	}
	for id := uint64(1); id <= 3; id++ {
		o.Post(Item{Data: []byte("offer"), ID: id, Retractable: true, Deadline: time.Now().Add(time.Minute)})
	}
	if !o.Retract(2) || o.Retract(2) {
		t.Error("an offer that has not begun is taken back once")
	}
	if ids := o.RetractAll(); len(ids) != 2 || ids[0] != 1 || ids[1] != 3 {
		t.Errorf("withdrawn %v, want 1 and 3", ids)
	}
	if err := conn.SetDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Error("the connection with a stuck write is still open")
	}
}

// An offer whose time is over when its turn comes is not written.
func TestLapsedOffer(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	o := NewOutbox(a, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 1 << 10, WriteTimeout: time.Minute})
	lapsed := make(chan bool, 1)
	o.Post(Item{Data: []byte("late"), Retractable: true, Deadline: time.Now().Add(-time.Second), OnExpired: func() { lapsed <- true }})
	o.Post(Item{Data: []byte("next")})
	in := NewBuffer(1, 8) // grows from one byte, is compacted in place
	for !bytes.Equal(in.Bytes(), []byte("next")) {
		if err := in.Fill(b); err != nil {
			t.Fatalf("%q: %v", in.Bytes(), err)
		}
	}
	<-lapsed
	in.Skip(3)
	o.Post(Item{Data: []byte("1234567")})
	for len(in.Bytes()) < 8 {
		if err := in.Fill(b); err != nil {
			t.Fatal(err)
		}
	}
	if err := in.Fill(b); err != ErrTooLong {
		t.Errorf("past the limit: %v", err)
	}
}

func (o *Outbox) waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes
}

// A connection ends while its peer reads nothing for a while: all that was queued is written all the same, then the peer
// hears that there is no more, and it is no reset, though it goes on sending. What had not been written within 50 ms was
// cut off.
func TestFinishWritesAllFirst(t *testing.T) {
	conn, peer := pair(t)
	o := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 64 << 20, WriteTimeout: time.Minute, FlushTimeout: time.Millisecond})
	total := 0
	for n := 64 << 10; total < 16<<20; total += n { // more than the machine buffers
		o.Post(Item{Data: make([]byte, n)})
	}
	done := make(chan struct{})
	o.Finish(func() { close(done) })
	o.Finish(func() { t.Error("it ends twice") })
	o.Post(Item{Data: []byte("too late")})
	if o.Flush() {
		t.Error("it has been written, and the test has not met its case")
	}
	peer.Write([]byte("goes on"))
	if told, err := io.ReadAll(peer); err != nil || len(told) != total {
		t.Errorf("%d bytes of %d, then %v", len(told), total, err)
	}
	<-done
}

// Connections beyond the limit wait in the backlog, and none of those that have connected is reset when the listener is
// closed: each is accepted, also where there was no room.
func TestDrainAcceptsTheBacklog(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	let := make(chan struct{})
	a := NewAcceptor(func() int { return 1 }, func(c net.Conn) {
		defer open.Done()
		<-let
		io.WriteString(c, "x")
	})
	var callers []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		callers = append(callers, c)
		open.Add(1)
	}
	ended := make(chan struct{})
	go func() { a.Serve(l); close(ended) }()
	for a.held.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if n := a.held.Load(); n != 1 {
		t.Errorf("%d served at once, want 1", n)
	}
	a.Drain()
	a.Drain()
	<-ended
	close(let)
	open.Wait()
	for i, c := range callers {
		if b, err := io.ReadAll(c); string(b) != "x" || err != nil {
			t.Errorf("connection %d: %q, %v", i, b, err)
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// backlog is how many connections wait to be accepted.
func backlog(t *testing.T, l net.Listener) (n int) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			t.Fatal(err)
		}
		n = int(info.Unacked)
	})
	return n
}

// The time to accept the backlog is over before the first accept, as on a busy machine: those in it are accepted all the
// same. They were reset, and so was whoever connected between the last accept and the close: nobody can any more.
func TestDrainAcceptsTheBacklogHoweverLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	looks, late := make(chan struct{}, 1), make(chan struct{})
	a := NewAcceptor(func() int {
		looks <- struct{}{}
		<-late
		return 100
	}, func(c net.Conn) { io.WriteString(c, "x") })
	var callers []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		callers = append(callers, c)
	}
	for backlog(t, l) < len(callers) { // the machine may be behind with a handshake
		time.Sleep(time.Millisecond)
	}
	ended := make(chan struct{})
	go func() { a.Serve(l); close(ended) }()
	<-looks
	a.Drain()
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("one more is let in")
	}
	l.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	close(late)
	<-ended
	a.Wait()
	for i, c := range callers {
		if b, err := io.ReadAll(c); string(b) != "x" || err != nil {
			t.Errorf("connection %d: %q, %v", i, b, err)
		}
	}
}

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }
