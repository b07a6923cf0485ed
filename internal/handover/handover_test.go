package handover

import (
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/leak"
)

// TestMain fails if a test leaks a goroutine or a file descriptor.
func TestMain(m *testing.M) { leak.Main(m) }

// TestSuccessorWaitsForExitingProcess guards against a process that fails to start because it asks for the listener while the
// older process is closing it: the address was still in use. It must wait until the older process has ended.
func TestSuccessorWaitsForExitingProcess(t *testing.T) {
	limits := Limits{HelloTimeout: 10 * time.Second, ExitTimeout: 10 * time.Second, WriteTimeout: time.Second, MaxMessageSize: 1 << 10, MaxQueuedBytes: 1 << 10}
	path := filepath.Join(t.TempDir(), "x.sock")
	unixListener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer unixListener.Close()
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcpListener.Close()
	var exited atomic.Bool
	result := make(chan error)
	go func() {
		_, _, err := RequestListener(path, tcpListener.Addr().String(), limits)
		if !exited.Load() {
			t.Error("the newer process did not wait for the older one to end")
		}
		result <- err
	}()
	conn, err := unixListener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	successor, err := AwaitHello(conn, tcpListener.Addr().String(), limits)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.Refuse(ReasonExiting); err == nil || !strings.Contains(err.Error(), ReasonExiting) {
		t.Errorf("older process: %v, want an error with the reason", err)
	}
	select {
	case err := <-result:
		t.Fatalf("newer process returned before the older one ended: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	exited.Store(true)
	conn.CloseRead() // simulates the end of the older process: its Receive fails and it closes the connection
	if err := <-result; err == nil || !strings.Contains(err.Error(), ReasonExiting) {
		t.Errorf("newer process: %v, want an error with the reason", err)
	}
}

// testLimits are the limits of the tests with connectedPair.
var testLimits = Limits{HelloTimeout: 50 * time.Millisecond, WriteTimeout: time.Second, MaxMessageSize: 1 << 10, MaxQueuedBytes: 1 << 20}

// connectedPair returns both ends of a connection between two processes.
func connectedPair(t *testing.T) (older, newer *net.UnixConn) {
	t.Helper()
	listener, err := Listen(filepath.Join(t.TempDir(), "x.sock"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	path := listener.Addr().String()
	conn, err := net.Dial("unixpacket", strings.TrimSuffix(path, filepath.Ext(path)))
	if err != nil {
		t.Fatal(err)
	}
	newer = conn.(*net.UnixConn)
	if older, err = listener.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { older.Close(); newer.Close() })
	return older, newer
}

// TestConnectionOvertakesQueuedMessage guards against a caller's connection that arrives before the messages that were sent before it.
func TestConnectionOvertakesQueuedMessage(t *testing.T) {
	older, newer := connectedPair(t)
	sender, receiver := newPeer(older, testLimits), newPeer(newer, testLimits)
	for range 100 {
		sender.Send(Message{Kind: KindTransferring})
		if err := sender.SendFile(Message{Kind: KindCallerConn}, older); err != nil {
			t.Fatal(err)
		}
		for _, want := range []Kind{KindTransferring, KindCallerConn} {
			msg, file, err := receiver.Receive()
			if err != nil || msg.Kind != want || (file != nil) != (want == KindCallerConn) {
				t.Fatalf("%+v, %v, want %s", msg, err, want)
			}
			file.Close()
		}
	}
	sender.Close()
	if err := sender.SendFile(Message{Kind: KindCallerConn}, newer); err == nil {
		t.Error("a file is sent after Close")
	}
}

// TestSilentSuccessorKeepsConnection guards against a process that connects, says nothing and keeps its connection for ever.
func TestSilentSuccessorKeepsConnection(t *testing.T) {
	older, newer := connectedPair(t)
	if _, err := AwaitHello(older, "127.0.0.1:1", testLimits); err == nil {
		t.Fatal("a silent process is accepted")
	}
	newer.SetReadDeadline(time.Now().Add(time.Second))
	if _, _, err := newPeer(newer, testLimits).Receive(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection is still open: %v", err)
	}
}

// TestFilesOfRefusedMessageStayOpen guards against a message with two files whose descriptors stay open.
func TestFilesOfRefusedMessageStayOpen(t *testing.T) {
	older, newer := connectedPair(t)
	raw, err := older.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { older.WriteMsgUnix([]byte("{}"), syscall.UnixRights(int(fd), int(fd)), nil) })
	if _, _, err := newPeer(newer, testLimits).Receive(); err == nil {
		t.Error("a message with two files is accepted")
	} // leak.Main counts the descriptors
}

// TestOversizedTransferEndsHandOver guards against a connection with too many open set-ups that ends the hand-over of all others.
func TestOversizedTransferEndsHandOver(t *testing.T) {
	older, newer := connectedPair(t)
	sender, receiver := newPeer(older, testLimits), newPeer(newer, testLimits)
	defer sender.Close()
	if err := sender.SendFile(Message{Kind: KindCallerConn, Pending: make([]core.ID, 20000)}, older); err == nil {
		t.Error("a message over the size limit is sent")
	}
	if err := sender.SendFile(Message{Kind: KindCallerConn}, older); err != nil {
		t.Fatal(err)
	}
	if _, file, err := receiver.Receive(); err != nil || file == nil {
		t.Errorf("next connection: %v", err)
	} else {
		file.Close()
	}
}
