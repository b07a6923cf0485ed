package link

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// Serve accepts connections and gives each a goroutine, at most most at once; one more is closed. It
// returns when the listener is closed.
func Serve(l net.Listener, most int, serve func(net.Conn)) {
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
		if held.Add(1) > int64(most) {
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
