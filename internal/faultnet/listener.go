// Package faultnet injects network faults between a program and its peers, on loopback and without privileges. It is for tests and for
// the lab; the softswitch does not use it.
package faultnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Listener is a TCP listener that can become unreachable: connections to it then neither come up nor are refused, as with a machine
// that has vanished. This uses a full backlog, in which the kernel drops the first packet of each further connection.
type Listener struct {
	tcp *net.TCPListener

	mu          sync.Mutex // guards the fields below
	unreachable bool
	changed     chan struct{} // closed and replaced when unreachable changes
	closed      bool
	fillers     map[string]net.Conn // connections that fill the backlog, by their local address
}

// Sizes of the backlog while the listener is reachable and while it is not. The kernel completes one connection more than the size.
const (
	reachableBacklog   = 512
	unreachableBacklog = 0
)

// fillTimeout is the time after which a connection that does not come up shows that the backlog is full.
const fillTimeout = 30 * time.Millisecond

// Listen opens a listener on a free port of a loopback host.
func Listen(host string) (*Listener, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	return &Listener{tcp: listener.(*net.TCPListener), changed: make(chan struct{}), fillers: make(map[string]net.Conn)}, nil
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Accept waits for a connection, and while the listener is unreachable.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		unreachable, changed, closed := l.unreachable, l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case unreachable:
			<-changed
			continue
		}
		conn, err := l.tcp.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case err != nil:
			return nil, err
		case l.discardFiller(conn):
			continue
		}
		return conn, nil
	}
}

// discardFiller closes a connection that filled the backlog, and reports whether it was one.
func (l *Listener) discardFiller(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	filler := l.fillers[conn.RemoteAddr().String()]
	if filler == nil {
		return false
	}
	delete(l.fillers, conn.RemoteAddr().String())
	filler.Close()
	conn.Close()
	return true
}

// SetReachable makes the listener unreachable or reachable again. Open connections are not affected.
func (l *Listener) SetReachable(reachable bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.unreachable == !reachable {
		return nil
	}
	l.unreachable = !reachable
	backlog := reachableBacklog
	if l.unreachable {
		backlog = unreachableBacklog
		l.tcp.SetDeadline(time.Unix(1, 0)) // ends a pending Accept
	} else {
		l.tcp.SetDeadline(time.Time{})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if err := l.setBacklog(backlog); err != nil || reachable {
		return err
	}
	return l.fillBacklog()
}

// setBacklog changes the size of the kernel's backlog.
func (l *Listener) setBacklog(size int) error {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), size) }); err != nil {
		return err
	}
	return listenErr
}

// fillBacklog connects to the listener until a connection does not come up any more. The caller holds l.mu.
func (l *Listener) fillBacklog() error {
	for {
		conn, err := net.DialTimeout("tcp", l.tcp.Addr().String(), fillTimeout)
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				return nil
			}
			return err
		}
		l.fillers[conn.LocalAddr().String()] = conn
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.changed)
		for _, filler := range l.fillers {
			filler.Close()
		}
	}
	return l.tcp.Close()
}

// Reset closes a TCP connection such that its peer reads a reset instead of the end of the stream.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
