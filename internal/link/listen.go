package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Acceptor accepts connections and gives each a goroutine, at most so many at once: those beyond wait in the listener's
// backlog, where nothing is lost.
type Acceptor struct {
	most   func() int
	handle func(net.Conn)
	held   atomic.Int64
	freed  chan struct{}

	mu       sync.Mutex
	listener net.Listener
	drain    chan struct{} // closed when it drains
	drains   bool
}

// NewAcceptor makes an acceptor for so many connections at once.
func NewAcceptor(most func() int, handle func(net.Conn)) *Acceptor {
	return &Acceptor{most: most, handle: handle, freed: make(chan struct{}, 1), drain: make(chan struct{})}
}

// Serve accepts until the listener is closed, by Drain or otherwise.
func (a *Acceptor) Serve(l net.Listener) {
	a.mu.Lock()
	if a.listener = l; a.drains {
		a.until(l)
	}
	a.mu.Unlock()
	for {
		a.room()
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			l.Close()
			return
		case err != nil: // out of descriptors, say: what is open goes on
			time.Sleep(10 * time.Millisecond)
			continue
		}
		a.held.Add(1)
		go func() {
			defer func() {
				a.held.Add(-1)
				select {
				case a.freed <- struct{}{}:
				default:
				}
			}()
			defer conn.Close()
			a.handle(conn)
		}()
	}
}

// room waits until one more connection can be had. While it drains there is no waiting: those in the backlog are to hear
// that they are refused.
func (a *Acceptor) room() {
	for a.held.Load() >= int64(a.most()) {
		select {
		case <-a.freed:
		case <-a.drain:
			return
		}
	}
}

// Drain has the listener closed when those who have connected by now have been accepted. To close it at once would reset
// them. It does not wait.
func (a *Acceptor) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drains {
		return
	}
	a.drains = true
	close(a.drain)
	if a.listener != nil {
		a.until(a.listener)
	}
}

// until sets the end of accepting.
func (a *Acceptor) until(l net.Listener) {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(drainTime)) != nil {
		l.Close()
	}
}

// Linger ends a connection so that the peer can read what it was told last: it is told that there is no more,
// and what it still sends is read and dropped, for a while. To close at once would reset the connection, and the
// peer's machine would throw away what it has not read.
func (o *Outbox) Linger(conn net.Conn) {
	o.Flush()
	if c, ok := conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(o.limits.Linger))
		io.CopyN(io.Discard, conn, int64(o.limits.Drain))
	}
}

// Sparse is a log that drops lines where they come in masses.
func Sparse(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: sparseLines, Period: time.Second})
}

const drainTime = 5 * time.Millisecond

const sparseLines = 5 // a second
