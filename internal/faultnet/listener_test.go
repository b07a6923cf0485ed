package faultnet

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestListenerReachability checks that connections never come up while a listener is unreachable, and do so afterwards.
func TestListenerReachability(t *testing.T) {
	listener, err := Listen("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	for range 3 {
		if err := listener.SetReachable(false); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			var netErr net.Error
			if conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond); !errors.As(err, &netErr) || !netErr.Timeout() {
				t.Fatalf("connection %v, %v, want a timeout", conn, err)
			}
		}
		if err := listener.SetReachable(true); err != nil {
			t.Fatal(err)
		}
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		(<-accepted).Close()
	}
}
