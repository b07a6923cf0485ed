package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"elmseam/internal/leak"
)

// tcpPair returns the two ends of a TCP connection over loopback. They are closed at the end of the test.
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

// TestStalledPeerDoesNotBlockSend checks that Send does not block when the peer reads nothing, and that queued messages can be
// withdrawn one by one or all at once. Since the write in progress may contain further messages, WithdrawAll must close the
// connection, so that the peer does not receive them late.
func TestStalledPeerDoesNotBlockSend(t *testing.T) {
	conn, _ := tcpPair(t)
	outbox := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 64 << 20, WriteTimeout: time.Minute, FlushTimeout: time.Millisecond}, NewBudget(64<<20))
	stalled := func() bool {
		outbox.mu.Lock()
		defer outbox.mu.Unlock()
		return !outbox.writeStarted.IsZero() && time.Since(outbox.writeStarted) > 100*time.Millisecond
	}
	for !stalled() { // fill the kernel's socket buffers
		if outbox.queuedSize() < 32<<20 {
			outbox.Send(Message{Data: make([]byte, 64<<10)})
		}
		time.Sleep(time.Millisecond)
	}
	for id := uint64(1); id <= 3; id++ {
		outbox.Send(Message{Data: []byte("offer"), ID: id, Withdrawable: true, Deadline: time.Now().Add(time.Minute)})
	}
	if !outbox.Withdraw(2) || outbox.Withdraw(2) {
		t.Error("a queued message can be withdrawn exactly once")
	}
	if ids := outbox.WithdrawAll(); len(ids) != 2 || ids[0] != 1 || ids[1] != 3 {
		t.Errorf("withdrawn %v, want 1 and 3", ids)
	}
	if err := conn.SetDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Error("the connection with a stalled write is still open")
	}
}

// TestExpiredMessageIsNotWritten checks that a withdrawable message whose deadline has passed is dropped, and that the read
// buffer grows, is compacted and stops at its maximum size.
func TestExpiredMessageIsNotWritten(t *testing.T) {
	conn, peer := net.Pipe()
	defer peer.Close()
	outbox := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 1 << 10, WriteTimeout: time.Minute}, NewBudget(1<<10))
	expired := make(chan bool, 1)
	outbox.Send(Message{Data: []byte("late"), Withdrawable: true, Deadline: time.Now().Add(-time.Second), OnExpired: func() { expired <- true }})
	outbox.Send(Message{Data: []byte("next")})
	buf := NewBuffer(1, 8) // grows from one byte and is compacted in place
	for !bytes.Equal(buf.Bytes(), []byte("next")) {
		if err := buf.Fill(peer); err != nil {
			t.Fatalf("%q: %v", buf.Bytes(), err)
		}
	}
	<-expired
	buf.Skip(3)
	outbox.Send(Message{Data: []byte("1234567")})
	for len(buf.Bytes()) < 8 {
		if err := buf.Fill(peer); err != nil {
			t.Fatal(err)
		}
	}
	if err := buf.Fill(peer); err != ErrTooLong {
		t.Errorf("fill beyond the maximum size: %v", err)
	}
}

// queuedSize returns the number of queued bytes.
func (o *Outbox) queuedSize() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedBytes
}

// TestFinishWritesAllQueuedMessages guards against data that is lost when a connection ends while its peer reads nothing for
// some time: what was not written within 50 ms was cut off. All queued data must be written, followed by a half-close and not
// a reset, even if the peer goes on sending.
func TestFinishWritesAllQueuedMessages(t *testing.T) {
	conn, peer := tcpPair(t)
	outbox := NewOutbox(conn, Limits{InitialBufferSize: 1 << 10, MaxQueuedBytes: 64 << 20, WriteTimeout: time.Minute, FlushTimeout: time.Millisecond}, NewBudget(64<<20))
	total := 0
	for n := 64 << 10; total < 16<<20; total += n { // more than the kernel's socket buffers hold
		outbox.Send(Message{Data: make([]byte, n)})
	}
	done := make(chan struct{})
	outbox.Finish(func() { close(done) })
	outbox.Finish(func() { t.Error("the second Finish called its function") })
	outbox.Send(Message{Data: []byte("too late")})
	if outbox.Flush() {
		t.Error("the queue was written at once: the test did not reach its case")
	}
	peer.Write([]byte("goes on"))
	if received, err := io.ReadAll(peer); err != nil || len(received) != total {
		t.Errorf("received %d bytes of %d, then %v", len(received), total, err)
	}
	<-done
}

// TestDrainAcceptsTheBacklog checks that connections beyond the limit wait in the backlog, and that DrainBacklog resets none of
// them: each is accepted, even beyond the limit.
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
		t.Errorf("%d connections served at once, want 1", n)
	}
	acceptor.DrainBacklog()
	acceptor.DrainBacklog()
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

// backlogSize returns the number of connections that wait to be accepted.
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

// TestDrainAcceptsTheBacklogAfterItsDeadline guards against resets on a busy machine, where the accept deadline passes before
// the first accept. Connections in the backlog were reset, and so were those made between the last accept and the close. The
// backlog must be accepted, and new connections refused as soon as draining starts.
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
	for backlogSize(t, listener) < len(conns) { // the kernel may not have completed all handshakes yet
		time.Sleep(time.Millisecond)
	}
	served := make(chan struct{})
	go func() { acceptor.Serve(listener); close(served) }()
	<-slotChecked
	acceptor.DrainBacklog()
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("a connection was accepted by the kernel after DrainBacklog")
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

// TestRaisedLimitUnnoticed guards against connections that wait at the limit after it was raised, until another one ends.
func TestRaisedLimitUnnoticed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var limit atomic.Int64
	served := make(chan struct{}, 2)
	ended := make(chan struct{})
	acceptor := NewAcceptor(func() int { return int(limit.Load()) }, func(net.Conn) { served <- struct{}{}; <-ended })
	limit.Store(1)
	go acceptor.Serve(listener)
	for range 2 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	<-served
	select {
	case <-served:
		t.Error("a connection above the limit is served")
	case <-time.After(50 * time.Millisecond):
	}
	limit.Store(2)
	acceptor.MaxConnsChanged()
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Error("the raised limit is not noticed")
	}
	listener.Close()
	close(ended)
	acceptor.Wait()
}

// TestMain fails if a test leaks a goroutine or a file descriptor.
func TestMain(m *testing.M) { leak.Main(m) }
