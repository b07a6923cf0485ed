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

	"golang.org/x/sys/unix"
)

// Mode is how a listener treats new connections.
type Mode int

// The modes of a listener.
const (
	Accepting   Mode = iota
	Unreachable      // connections neither come up nor are refused, as with a machine that has vanished
	Refusing         // connections are refused, as with a process that is gone
	Crowded          // connections come up and are not accepted, as with a process that hangs
)

// Listener is a TCP listener whose mode can be changed. Unreachable uses a full backlog, in which the kernel drops the first packet of each
// further connection.
type Listener struct {
	address   string
	accepting sync.Mutex // held while a connection is taken from the backlog; locked after mu

	mu      sync.Mutex // guards the fields below
	tcp     *net.TCPListener
	mode    Mode
	changed chan struct{} // closed and replaced when the mode changes
	closed  bool
	fillers []net.Conn // connections that fill the backlog
	// fillerAddresses are the local addresses of the connections that filled the backlog last.
	fillerAddresses map[string]bool
}

// Sizes of the backlog of a listener that is unreachable, and of one that is not. The kernel completes one connection more than the size.
const (
	unreachableBacklog = 0
	ordinaryBacklog    = 512
)

// Limits of filling the backlog.
const (
	fillAttempts = 50
	fillTimeout  = 30 * time.Millisecond // of one connection
)

// errBacklogNotFull means that the backlog could not be filled.
var errBacklogNotFull = errors.New("the backlog of the listener cannot be filled")

// Listen opens a listener on a free port of a loopback host.
func Listen(host string) (*Listener, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	return &Listener{address: listener.Addr().String(), tcp: listener.(*net.TCPListener), changed: make(chan struct{})}, nil
}

// Addr returns the address of the listener, which stays the same in all modes.
func (l *Listener) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp", l.address)
	return address
}

// Accept waits for a connection, and for the mode Accepting.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		tcp, mode, changed, closed := l.tcp, l.mode, l.changed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case mode != Accepting:
			<-changed
			continue
		}
		l.accepting.Lock()
		conn, err := tcp.Accept()
		l.accepting.Unlock()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed): // the mode has changed, or the listener is closed
			continue
		case err != nil:
			return nil, err
		case l.keepAsFiller(conn):
			continue
		}
		return conn, nil
	}
}

// keepAsFiller keeps a connection that was accepted while the mode changed, and reports whether it did.
func (l *Listener) keepAsFiller(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.mode != Accepting:
		l.fillers = append(l.fillers, conn)
	case l.fillerAddresses[conn.RemoteAddr().String()]:
		conn.Close()
	default:
		return false
	}
	return true
}

// SetMode changes how new connections are treated. Open connections are not affected.
func (l *Listener) SetMode(mode Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.mode == mode {
		return nil
	}
	former := l.mode
	l.mode = mode
	defer func() {
		close(l.changed)
		l.changed = make(chan struct{})
	}()
	if former == Refusing {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		l.tcp = listener.(*net.TCPListener)
	}
	switch mode {
	case Refusing:
		return l.tcp.Close()
	case Unreachable:
		l.interruptAccept()
		if err := l.setBacklog(unreachableBacklog); err != nil {
			return err
		}
		return l.fillBacklog()
	case Crowded:
		l.interruptAccept()
	case Accepting:
		if former == Unreachable {
			l.discardBacklog()
		}
		l.tcp.SetDeadline(time.Time{})
	}
	return l.setBacklog(ordinaryBacklog)
}

// discardBacklog resets the connections that came up while the backlog was being filled. The caller holds l.mu.
func (l *Listener) discardBacklog() {
	l.tcp.SetDeadline(time.Now().Add(time.Millisecond))
	for {
		conn, err := l.tcp.Accept()
		if err != nil {
			break
		}
		Reset(conn)
	}
	for _, filler := range l.fillers {
		filler.Close()
	}
	l.fillers = nil
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

// interruptAccept ends a pending Accept, and returns when it has ended. The caller holds l.mu.
func (l *Listener) interruptAccept() {
	l.tcp.SetDeadline(time.Unix(1, 0))
	l.accepting.Lock()
	defer l.accepting.Unlock()
}

// fillBacklog connects to the listener until the backlog is full. The caller holds l.mu.
func (l *Listener) fillBacklog() error {
	l.fillerAddresses = make(map[string]bool)
	for range fillAttempts {
		full, err := l.backlogFull()
		if full || err != nil {
			return err
		}
		conn, err := net.DialTimeout("tcp", l.address, fillTimeout)
		var netErr net.Error
		switch {
		case errors.As(err, &netErr) && netErr.Timeout():
			continue
		case err != nil:
			return err
		}
		l.fillers = append(l.fillers, conn)
		l.fillerAddresses[conn.LocalAddr().String()] = true
	}
	return errBacklogNotFull
}

// backlogFull says whether the kernel drops the first packet of each further connection.
func (l *Listener) backlogFull() (bool, error) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	waiting, size := info.Unacked, info.Sacked // of a socket that listens
	return waiting > size, nil
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.changed)
	for _, filler := range l.fillers {
		filler.Close()
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
