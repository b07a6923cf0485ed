package handover

import (
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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
	if _, err := AcceptSuccessor(conn, tcpListener.Addr().String(), ReasonExiting, tcpListener.(syscall.Conn), limits); err == nil || !strings.Contains(err.Error(), ReasonExiting) {
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
