package faultnet

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// startListener opens a listener, which is closed when the test ends, and returns a channel with the connections that it accepts.
func startListener(t *testing.T) (listener *Listener, accepted chan net.Conn) {
	t.Helper()
	listener, err := Listen("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted = make(chan net.Conn, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener, accepted
}

// TestModes checks what a caller of a listener sees in each mode, and that the listener accepts connections again afterwards.
func TestModes(t *testing.T) {
	listener, accepted := startListener(t)
	timedOut := func(err error) bool {
		var netErr net.Error
		return errors.As(err, &netErr) && netErr.Timeout()
	}
	refused := func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
	connected := func(err error) bool { return err == nil }
	for _, test := range []struct {
		mode Mode
		want func(error) bool
	}{{Unreachable, timedOut}, {Refusing, refused}, {Crowded, connected}, {Unreachable, timedOut}, {Refusing, refused}} {
		if err := listener.SetMode(test.mode); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
			if !test.want(err) {
				t.Fatalf("mode %d: connection %v, %v", test.mode, conn, err)
			}
			if err == nil {
				defer conn.Close()
				select {
				case <-accepted:
					t.Errorf("mode %d: connection accepted", test.mode)
				case <-time.After(10 * time.Millisecond):
				}
			}
		}
		if err := listener.SetMode(Accepting); err != nil {
			t.Fatal(err)
		}
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for accept := range accepted {
			accept.Close()
			if accept.RemoteAddr().String() == conn.LocalAddr().String() {
				break
			}
		}
	}
}

// TestFillerAccepted guards against a connection of the listener's own, which fills the backlog, being taken for one of a peer.
func TestFillerAccepted(t *testing.T) {
	listener, accepted := startListener(t)
	for range 100 {
		listener.SetMode(Unreachable)
		listener.SetMode(Accepting)
	}
	time.Sleep(50 * time.Millisecond)
	if len(accepted) > 0 {
		t.Errorf("%d connections accepted, want none", len(accepted))
	}
}

// TestUnreachableListenerAccepts guards against a listener that is unreachable and still accepts a connection which fills its backlog: the
// next connection of a peer then comes up.
func TestUnreachableListenerAccepts(t *testing.T) {
	for range 300 {
		listener, accepted := startListener(t)
		peer, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		if err := listener.SetMode(Unreachable); err != nil {
			t.Fatal(err)
		}
		if full, err := listener.backlogFull(); !full || err != nil {
			t.Fatalf("the backlog is not full (%v), %d connections accepted", err, len(accepted))
		}
		listener.Close()
	}
}
