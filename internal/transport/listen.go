package transport

import (
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of an Acceptor.
const (
	// backlogDrainDuration is how long Accept goes on after DrainBacklog. TCP handshakes in progress complete within it.
	backlogDrainDuration = 20 * time.Millisecond
	// acceptRetryDelay is the wait before the next accept after one that failed, for example for lack of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// Acceptor accepts connections up to a maximum number of open ones and serves each in a goroutine. Connections beyond the
// maximum wait in the listener's backlog, where no data is lost.
type Acceptor struct {
	maxConns    func() int     // the current maximum of open connections
	serveConn   func(net.Conn) // serves a connection; the acceptor closes it afterwards
	activeConns atomic.Int64
	slotFreed   chan struct{}  // receives a value when a connection has ended or the maximum has changed, for waitForSlot
	wg          sync.WaitGroup // counts Serve and each connection's goroutine

	mu                  sync.Mutex // guards the fields below
	listener            net.Listener
	backlogDrainStarted chan struct{} // closed by the first DrainBacklog; waitForSlot receives from it without mu
	drainingBacklog     bool
}

// NewAcceptor returns an acceptor that calls serveConn for each connection. maxConns returns the max number of open connections;
// it is called before each accept, and while Serve waits at the maximum, each time a connection has ended or MaxConnsChanged was called.
func NewAcceptor(maxConns func() int, serveConn func(net.Conn)) *Acceptor {
	return &Acceptor{maxConns: maxConns, serveConn: serveConn, slotFreed: make(chan struct{}, 1), backlogDrainStarted: make(chan struct{})}
}

// Serve accepts connections until the listener is closed, by DrainBacklog or otherwise. It does not wait for the connections to
// end.
func (a *Acceptor) Serve(listener net.Listener) {
	a.wg.Add(1)
	defer a.wg.Done()
	a.mu.Lock()
	if a.listener = listener; a.drainingBacklog {
		a.startBacklogDrain(listener)
	}
	a.mu.Unlock()
	for {
		a.waitForSlot()
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			a.acceptBacklog(listener)
			return
		case err != nil: // for example out of file descriptors; open connections are not affected
			time.Sleep(acceptRetryDelay)
			continue
		}
		a.startHandler(conn)
	}
}

// startHandler serves a connection in a goroutine of its own.
func (a *Acceptor) startHandler(conn net.Conn) {
	a.activeConns.Add(1)
	a.wg.Go(func() {
		defer func() {
			a.activeConns.Add(-1)
			a.MaxConnsChanged()
		}()
		defer conn.Close()
		a.serveConn(conn)
	})
}

// MaxConnsChanged has Serve look at the max number of open connections again.
func (a *Acceptor) MaxConnsChanged() {
	select {
	case a.slotFreed <- struct{}{}:
	default:
	}
}

// Wait waits until Serve has returned and all connections it accepted have ended.
func (a *Acceptor) Wait() { a.wg.Wait() }

// waitForSlot waits until fewer than the maximum number of connections are open. It does not wait after DrainBacklog: all
// connections in the backlog must be accepted, so that their callers can be sent a refusal.
func (a *Acceptor) waitForSlot() {
	for a.activeConns.Load() >= int64(a.maxConns()) {
		select {
		case <-a.slotFreed:
		case <-a.backlogDrainStarted:
			return
		}
	}
}

// DrainBacklog has Serve close the listener once all connections in its backlog are accepted, beyond the maximum number too;
// closing it at once would reset them. DrainBacklog does not wait. It must not be called while another process shares the
// listener.
func (a *Acceptor) DrainBacklog() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drainingBacklog {
		return
	}
	a.drainingBacklog = true
	close(a.backlogDrainStarted)
	if a.listener != nil {
		a.startBacklogDrain(a.listener)
	}
}

// startBacklogDrain has the kernel refuse new connections, so that the backlog runs empty, and sets a deadline for Accept that
// leaves time for TCP handshakes in progress. A listener without deadlines is closed. The caller holds a.mu.
func (a *Acceptor) startBacklogDrain(listener net.Listener) {
	if tcpListener, ok := listener.(*net.TCPListener); ok {
		refuseNewConns(tcpListener)
	}
	if deadliner, ok := listener.(interface{ SetDeadline(time.Time) error }); !ok || deadliner.SetDeadline(time.Now().Add(backlogDrainDuration)) != nil {
		listener.Close()
	}
}

// refuseNewConns has the kernel refuse new connections, by binding the listener to a network interface that does not exist.
// The backlog is not affected. If the kernel does not support this, connections that are made between the last accept and the
// close are reset.
func refuseNewConns(listener *net.TCPListener) {
	if rawConn, err := listener.SyscallConn(); err == nil {
		rawConn.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, math.MaxInt32)
		})
	}
}

// acceptBacklog accepts all connections that remain in the backlog and closes the listener. It calls accept(2) directly, as
// Accept fails after its deadline even if the backlog is not empty. A failed accept, for example for lack of file descriptors, is
// repeated.
func (a *Acceptor) acceptBacklog(listener net.Listener) {
	defer listener.Close()
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	rawConn, err := tcpListener.SyscallConn()
	if err != nil {
		return
	}
	for {
		var conn net.Conn
		controlErr := rawConn.Control(func(fd uintptr) { conn, err = acceptNonblocking(fd) })
		switch {
		case controlErr != nil, errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		default:
			a.startHandler(conn)
		}
	}
}

// acceptNonblocking accepts a connection from the backlog. It returns EAGAIN if the backlog is empty.
func acceptNonblocking(listener uintptr) (net.Conn, error) {
	fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "caller")
	defer file.Close()
	return net.FileConn(file)
}
