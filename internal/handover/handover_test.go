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

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }

// A newer process comes while the older one is closing its listener: it waits until that one has gone, and listens itself. It
// found the address taken, and didn't start.
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
			t.Error("it doesn't wait")
		}
		result <- err
	}()
	conn, err := unixListener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := AcceptSuccessor(conn, tcpListener.Addr().String(), ReasonExiting, tcpListener.(syscall.Conn), limits); err == nil || !strings.Contains(err.Error(), ReasonExiting) {
		t.Errorf("the older one: %v", err)
	}
	select {
	case err := <-result:
		t.Fatalf("the newer one: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	exited.Store(true)
	conn.CloseRead() // as the process ends: its side hears no more, and closes
	if err := <-result; err == nil || !strings.Contains(err.Error(), ReasonExiting) {
		t.Errorf("the newer one: %v", err)
	}
}
