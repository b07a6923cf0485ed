package link

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Acceptor accepts connections and gives each a goroutine, at most so many at once: those beyond wait in the listener's
// backlog, where nothing is lost.
type Acceptor struct {
	maxConns    func() int
	handle      func(net.Conn)
	activeConns atomic.Int64
	slotFreed   chan struct{}
	wg          sync.WaitGroup // Serve, and each connection

	mu           sync.Mutex
	listener     net.Listener
	drainStarted chan struct{} // closed when it drains
	draining     bool
}

// NewAcceptor makes an acceptor for so many connections at once.
func NewAcceptor(maxConns func() int, handle func(net.Conn)) *Acceptor {
	return &Acceptor{maxConns: maxConns, handle: handle, slotFreed: make(chan struct{}, 1), drainStarted: make(chan struct{})}
}

// Serve accepts until the listener is closed, by Drain or otherwise.
func (a *Acceptor) Serve(listener net.Listener) {
	a.wg.Add(1)
	defer a.wg.Done()
	a.mu.Lock()
	if a.listener = listener; a.draining {
		a.startDraining(listener)
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
		case err != nil: // out of descriptors, say: what is open goes on
			time.Sleep(acceptRetry)
			continue
		}
		a.startHandler(conn)
	}
}

// take gives a connection its goroutine.
func (a *Acceptor) startHandler(conn net.Conn) {
	a.activeConns.Add(1)
	a.wg.Go(func() {
		defer func() {
			a.activeConns.Add(-1)
			select {
			case a.slotFreed <- struct{}{}:
			default:
			}
		}()
		defer conn.Close()
		a.handle(conn)
	})
}

// Wait waits until the listener is closed, all it has accepted is served, and their connections have ended.
func (a *Acceptor) Wait() { a.wg.Wait() }

// room waits until one more connection can be had. While it drains there is no waiting: those in the backlog are to hear
// that they are refused.
func (a *Acceptor) waitForSlot() {
	for a.activeConns.Load() >= int64(a.maxConns()) {
		select {
		case <-a.slotFreed:
		case <-a.drainStarted:
			return
		}
	}
}

// Drain has the listener closed when all who have connected by then have been accepted. To close it at once would reset
// those in its backlog. It does not wait. The listener must be no other process's too.
func (a *Acceptor) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return
	}
	a.draining = true
	close(a.drainStarted)
	if a.listener != nil {
		a.startDraining(a.listener)
	}
}

// until has new connections refused, so that the backlog only gets shorter, and sets the end of accepting: handshakes
// under way are over by then.
func (a *Acceptor) startDraining(listener net.Listener) {
	if tcpListener, ok := listener.(*net.TCPListener); ok {
		refuseNewConns(tcpListener)
	}
	if deadliner, ok := listener.(interface{ SetDeadline(time.Time) error }); !ok || deadliner.SetDeadline(time.Now().Add(drainDuration)) != nil {
		listener.Close()
	}
}

// refuse has the kernel refuse whoever connects from now on, by looking for them on an interface that isn't there. What is
// in the backlog stays. Where it can't, connections that come between the last accept and the close are reset.
func refuseNewConns(listener *net.TCPListener) {
	if raw, err := listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, math.MaxInt32)
		})
	}
}

// rest accepts what is left in the backlog, to the last, and closes the listener: an Accept whose deadline is over does not
// look there any more. Without descriptors it waits for some.
func (a *Acceptor) acceptBacklog(listener net.Listener) {
	defer listener.Close()
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcpListener.SyscallConn()
	if err != nil {
		return
	}
	for {
		var conn net.Conn
		controlErr := raw.Control(func(fd uintptr) { conn, err = acceptNonblocking(fd) })
		switch {
		case controlErr != nil, errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			time.Sleep(acceptRetry)
		default:
			a.startHandler(conn)
		}
	}
}

// accept takes one connection off the backlog, without waiting for one.
func acceptNonblocking(listener uintptr) (net.Conn, error) {
	fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "caller")
	defer f.Close()
	return net.FileConn(f)
}

// PeerClosed says whether the peer has closed its side of a connection, though something it sent before may be unread.
func PeerClosed(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			closed = info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE
		}
	})
	return closed
}

// Linger ends a connection so that the peer can read what it was told last: it is told that there is no more,
// and what it still sends is read and dropped, for a while. To close at once would reset the connection, and the
// peer's machine would throw away what it has not read.
func (o *Outbox) Linger(conn net.Conn) {
	o.Flush()
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(o.limits.LingerTimeout))
		io.CopyN(io.Discard, conn, int64(o.limits.MaxLingerBytes))
	}
}

// SampledLogger is a log that drops lines where they come in masses.
func SampledLogger(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxLogLinesPerSecond, Period: time.Second})
}

const (
	drainDuration = 20 * time.Millisecond // a handshake takes less
	acceptRetry   = 10 * time.Millisecond
)

const maxLogLinesPerSecond = 5 // a second
