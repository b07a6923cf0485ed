// Package mgmt is the admin endpoint for operators: HTTP/1.1 with one request per connection. The server answers from
// the last snapshot that the event loop has published and waits for nothing else, so it answers even while the
// softswitch is busy.
package mgmt

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/peers"
)

// Limits are the sizes and times of the admin endpoint.
type Limits struct {
	MaxConns       int           // max. open connections; a further one replaces the oldest
	MaxRequestSize int           // max. bytes of a request
	ReadTimeout    time.Duration // longest time until a request has been read
	WriteTimeout   time.Duration // longest time until the response has been written
	MaxStatsAge    time.Duration // older snapshots are not shown; maintenance orders are refused then
	MaxOrders      int           // max. operator orders (drain, resume, maintenance) that wait for the event loop
}

// AdminServer serves the admin endpoint. Its exported fields are set before Serve is called.
type AdminServer struct {
	Limits      Limits
	Snapshot    func() loop.Snapshot // returns the last snapshot of the event loop
	ClassNames  func() []string      // returns the names of the classes, by index
	SetDraining func(on bool)        // makes callers' readiness tests fail while on is true; takes effect at once
	Post        func(ev core.Event)  // sends an event to the event loop; may block
	TierSocket  *peers.Socket        // socket of the tier's datagrams; nil: membership is off
	Log         zerolog.Logger

	orders  chan core.Event // orders of operators that wait for the event loop
	drainMu sync.Mutex      // held while a drain is ordered

	mu    sync.Mutex // guards conns
	conns []net.Conn // open connections, oldest first
}

// Serve accepts connections and answers their requests until the listener is closed, and then waits for the requests in
// progress, but not until the event loop has taken their orders.
func (s *AdminServer) Serve(listener net.Listener) {
	s.orders = make(chan core.Event, s.Limits.MaxOrders)
	defer close(s.orders)
	go func() { // one goroutine, so that orders keep their sequence
		for order := range s.orders {
			s.Post(order)
		}
	}()
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example, out of file descriptors
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.addConn(conn)
		requests.Go(func() {
			defer s.removeConn(conn)
			s.serveConn(conn)
		})
	}
}

// addConn registers a connection. At MaxConns connections the oldest is closed, so that silent clients can't block the
// endpoint.
func (s *AdminServer) addConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.Limits.MaxConns {
		s.conns[0].Close()
		s.conns = s.conns[1:]
	}
	s.conns = append(s.conns, conn)
}

// removeConn closes a connection and removes it from the open connections.
func (s *AdminServer) removeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == conn {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}

// serveConn reads the request of a connection and answers it.
func (s *AdminServer) serveConn(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(s.Limits.ReadTimeout))
	limitedReader := &io.LimitedReader{R: conn, N: int64(s.Limits.MaxRequestSize)}
	req, err := http.ReadRequest(bufio.NewReaderSize(limitedReader, 1<<10))
	var netErr net.Error
	switch {
	case err == io.EOF: // the client closed without a request, for example after a check that the port is open
		return
	case errors.As(err, &netErr) && netErr.Timeout():
		s.writeResponse(conn, http.StatusRequestTimeout, "no call came in time\n")
	case err != nil && limitedReader.N <= 0:
		s.writeResponse(conn, http.StatusRequestHeaderFieldsTooLarge, "the call is too long\n")
	case err != nil:
		s.writeResponse(conn, http.StatusBadRequest, "the call can't be read\n")
	default:
		status, text, allow := s.handleRequest(req.Method, req.URL.Path, req.URL.Query()["member"])
		s.writeResponse(conn, status, text, allow...)
	}
}

// handleRequest carries out a request and returns the status and the text of the response. memberNames are the values of
// the query parameter "member". allow lists the permitted methods if the path doesn't permit the request's method;
// otherwise it is nil.
func (s *AdminServer) handleRequest(method, path string, memberNames []string) (status int, text string, allow []string) {
	wantMethod := http.MethodGet
	if path == pathDrainStart || path == pathDrainStop {
		wantMethod = http.MethodPost
	}
	switch path {
	case pathMaintenance:
		return s.handleMaintenance(method, memberNames)
	case pathReady, pathStats, pathMembers, pathServers, pathDrainStart, pathDrainStop:
	default:
		return http.StatusNotFound, "no such call\n", nil
	}
	if method != wantMethod {
		return http.StatusMethodNotAllowed, wantMethod + " only\n", []string{wantMethod}
	}
	snapshot := s.Snapshot()
	if wantMethod == http.MethodGet {
		if time.Since(snapshot.At) > s.Limits.MaxStatsAge {
			return http.StatusServiceUnavailable, "no figures of late\n", nil
		}
		switch path {
		case pathStats:
			text := StatsText(snapshot.Stats, s.ClassNames())
			if snapshot.Probes != nil {
				text += probeStatsText(*snapshot.Probes)
			}
			if snapshot.Members != nil {
				text += membershipStatsText(*snapshot.Members, s.TierSocket.Counters())
			}
			if snapshot.Maintenance != nil {
				text += maintenanceStatsText(*snapshot.Maintenance)
			}
			if snapshot.Knowledge != nil {
				text += knowledgeStatsText(*snapshot.Knowledge)
			}
			if snapshot.Quotas != nil {
				text += quotaStatsText(*snapshot.Quotas)
			}
			return http.StatusOK, text, nil
		case pathServers:
			if snapshot.Knowledge == nil && snapshot.Quotas == nil {
				return http.StatusNotFound, "knowledge and parts are off\n", nil
			}
			return http.StatusOK, serversJSON(snapshot), nil
		case pathMembers:
			if snapshot.Members == nil {
				return http.StatusNotFound, "membership is off\n", nil
			}
			return http.StatusOK, membersJSON(snapshot, s.TierSocket.Addresses()), nil
		}
		return readinessResponse(snapshot.Stats)
	}
	drainOn := path == pathDrainStart
	if snapshot.Stopping {
		return http.StatusServiceUnavailable, "stopping\n", nil
	}
	if !s.orderDrain(drainOn) {
		return http.StatusServiceUnavailable, "too many orders wait\n", nil
	}
	s.Log.Info().Bool("drain", drainOn).Msg("operator order: drain")
	return http.StatusOK, "", nil
}

// orderDrain begins or ends a drain, at the readiness tests and in the queue to the event loop in the same order. It returns false where
// the queue is full.
func (s *AdminServer) orderDrain(on bool) bool {
	s.drainMu.Lock()
	defer s.drainMu.Unlock()
	if !s.enqueueOrder(core.Drain{On: on}) {
		return false
	}
	s.SetDraining(on)
	return true
}

// enqueueOrder puts an order of an operator into the queue to the event loop. It returns false where the queue is full.
func (s *AdminServer) enqueueOrder(order core.Event) bool {
	select {
	case s.orders <- order:
		return true
	default:
		return false
	}
}

// readinessResponse is the response to /ops/readiness: whether this process can serve and, if not, why.
func readinessResponse(stats core.Stats) (status int, text string, allow []string) {
	reason := "no server can be reached\n"
	switch {
	case stats.Ready:
		return http.StatusOK, "ready\n", nil
	case stats.Stopping:
		reason = "stopping\n"
	case stats.Maintenance != nil && stats.Maintenance.Slot >= 0:
		reason = "out for maintenance\n"
	case stats.Draining:
		reason = "drained by an operator\n"
	}
	return http.StatusServiceUnavailable, reason, nil
}

// writeResponse writes a response and closes the connection for writing. It then reads what the client still sends, within
// the limits of time and size, because closing a connection with unread data resets it, and the client could lose the
// response.
func (s *AdminServer) writeResponse(conn net.Conn, status int, text string, allow ...string) {
	conn.SetDeadline(time.Now().Add(s.Limits.WriteTimeout))
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if len(allow) > 0 {
		header["Allow"] = allow
	}
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	}
	w := bufio.NewWriter(conn)
	if response.Write(w) != nil || w.Flush() != nil {
		return
	}
	if closer, ok := conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		io.CopyN(io.Discard, conn, int64(s.Limits.MaxRequestSize))
	}
}
