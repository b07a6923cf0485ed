package link

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Serve accepts connections and gives each a goroutine, at most so many at once; one more is closed. It
// returns when the listener is closed.
func Serve(l net.Listener, most func() int, serve func(net.Conn)) {
	var held atomic.Int64
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: what is open goes on
			time.Sleep(10 * time.Millisecond)
			continue
		}
		// Those that can be missed are being closed: there is room soon, or none.
		for until := time.Now().Add(roomWait); held.Load() >= int64(most()) && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		if held.Add(1) > int64(most()) {
			held.Add(-1)
			conn.Close()
			continue
		}
		go func() {
			defer held.Add(-1)
			defer conn.Close()
			serve(conn)
		}()
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

const roomWait = 50 * time.Millisecond

const sparseLines = 5 // a second
