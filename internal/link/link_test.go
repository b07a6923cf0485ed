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
func tcpPair(t *testing.T) (conn, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if conn, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if peer, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return conn, peer
}

// A peer reads nothing: whoever posts never waits. Offers that have not been begun can be taken back, one by one or
// all where new work has to stop; and since some may be in the write that is stuck, the connection is closed then, so
// that the peer doesn't get them late.
func TestStalledPeerDoesNotBlockPost(t *testing.T) {
	conn, _ := tcpPair(t)
	outbox := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 64 << 20, WriteTimeout: time.Minute, FlushTimeout: time.Millisecond})
	stalled := func() bool {
		outbox.mu.Lock()
		defer outbox.mu.Unlock()
		return !outbox.writeStarted.IsZero() && time.Since(outbox.writeStarted) > 100*time.Millisecond
	}
	for !stalled() { // fill what the machine buffers
		if outbox.queuedSize() < 32<<20 {
			outbox.Post(Item{Data: make([]byte, 64<<10)})
		}
		time.Sleep(time.Millisecond)
	}
	for id := uint64(1); id <= 3; id++ {
		outbox.Post(Item{Data: []byte("offer"), ID: id, Retractable: true, Deadline: time.Now().Add(time.Minute)})
	}
	if !outbox.Retract(2) || outbox.Retract(2) {
		t.Error("an offer that has not begun is taken back once")
	}
	if ids := outbox.RetractAll(); len(ids) != 2 || ids[0] != 1 || ids[1] != 3 {
		t.Errorf("withdrawn %v, want 1 and 3", ids)
	}
	if err := conn.SetDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Error("the connection with a stuck write is still open")
	}
}

// An offer whose time is over when its turn comes is not written.
func TestExpiredItemIsNotWritten(t *testing.T) {
	conn, peer := net.Pipe()
	defer peer.Close()
	outbox := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 1 << 10, WriteTimeout: time.Minute})
	expired := make(chan bool, 1)
	outbox.Post(Item{Data: []byte("late"), Retractable: true, Deadline: time.Now().Add(-time.Second), OnExpired: func() { expired <- true }})
	outbox.Post(Item{Data: []byte("next")})
	buf := NewBuffer(1, 8) // grows from one byte, is compacted in place
	for !bytes.Equal(buf.Bytes(), []byte("next")) {
		if err := buf.Fill(peer); err != nil {
			t.Fatalf("%q: %v", buf.Bytes(), err)
		}
	}
	<-expired
	buf.Skip(3)
	outbox.Post(Item{Data: []byte("1234567")})
	for len(buf.Bytes()) < 8 {
		if err := buf.Fill(peer); err != nil {
			t.Fatal(err)
		}
	}
	if err := buf.Fill(peer); err != ErrTooLong {
		t.Errorf("past the limit: %v", err)
	}
}

func (o *Outbox) queuedSize() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedBytes
}

// A connection ends while its peer reads nothing for a while: all that was queued is written all the same, then the peer
// hears that there is no more, and it is no reset, though it goes on sending. What had not been written within 50 ms was
// cut off.
func TestFinishWritesAllQueuedItems(t *testing.T) {
	conn, peer := tcpPair(t)
	outbox := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 64 << 20, WriteTimeout: time.Minute, FlushTimeout: time.Millisecond})
	total := 0
	for n := 64 << 10; total < 16<<20; total += n { // more than the machine buffers
		outbox.Post(Item{Data: make([]byte, n)})
	}
	done := make(chan struct{})
	outbox.Finish(func() { close(done) })
	outbox.Finish(func() { t.Error("it ends twice") })
	outbox.Post(Item{Data: []byte("too late")})
	if outbox.Flush() {
		t.Error("it has been written, and the test has not met its case")
	}
	peer.Write([]byte("goes on"))
	if received, err := io.ReadAll(peer); err != nil || len(received) != total {
		t.Errorf("%d bytes of %d, then %v", len(received), total, err)
	}
	<-done
}

// Connections beyond the limit wait in the backlog, and none of those that have connected is reset when the listener is
// closed: each is accepted, also where there was no room.
func TestDrainAcceptsTheBacklog(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var handlers sync.WaitGroup
	proceed := make(chan struct{})
	acceptor := NewAcceptor(func() int { return 1 }, func(conn net.Conn) {
		defer handlers.Done()
		<-proceed
		io.WriteString(conn, "x")
	})
	var conns []net.Conn
	for range 5 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		handlers.Add(1)
	}
	served := make(chan struct{})
	go func() { acceptor.Serve(listener); close(served) }()
	for acceptor.activeConns.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if n := acceptor.activeConns.Load(); n != 1 {
		t.Errorf("%d served at once, want 1", n)
	}
	acceptor.Drain()
	acceptor.Drain()
	<-served
	close(proceed)
	handlers.Wait()
	for i, conn := range conns {
		if b, err := io.ReadAll(conn); string(b) != "x" || err != nil {
			t.Errorf("connection %d: %q, %v", i, b, err)
		}
	}
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// backlog is how many connections wait to be accepted.
func backlogSize(t *testing.T, listener net.Listener) (n int) {
	raw, err := listener.(*net.TCPListener).SyscallConn()
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
func TestDrainAcceptsTheBacklogAfterItsDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	slotChecked, proceed := make(chan struct{}, 1), make(chan struct{})
	acceptor := NewAcceptor(func() int {
		slotChecked <- struct{}{}
		<-proceed
		return 100
	}, func(conn net.Conn) { io.WriteString(conn, "x") })
	var conns []net.Conn
	for range 5 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	for backlogSize(t, listener) < len(conns) { // the machine may be behind with a handshake
		time.Sleep(time.Millisecond)
	}
	served := make(chan struct{})
	go func() { acceptor.Serve(listener); close(served) }()
	<-slotChecked
	acceptor.Drain()
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("one more is let in")
	}
	listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	close(proceed)
	<-served
	acceptor.Wait()
	for i, conn := range conns {
		if b, err := io.ReadAll(conn); string(b) != "x" || err != nil {
			t.Errorf("connection %d: %q, %v", i, b, err)
		}
	}
}

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }
