package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Serve accepts connections and gives each a goroutine, at most so many at once: those beyond wait in the listener's
// backlog, where nothing is lost. It returns when the listener is closed, by Drain or otherwise.
func Serve(l net.Listener, most func() int, serve func(net.Conn)) {
	var held atomic.Int64
	freed := make(chan struct{}, 1)
	for {
		for held.Load() >= int64(most()) {
			<-freed
		}
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
		held.Add(1)
		go func() {
			defer func() {
				held.Add(-1)
				select {
				case freed <- struct{}{}:
				default:
				}
			}()
			defer conn.Close()
			serve(conn)
		}()
	}
}

// Drain has a listener that is served closed when those who have connected by now have been accepted. To close it at
// once would reset them.
func Drain(l net.Listener) {
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
