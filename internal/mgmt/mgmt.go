// Package mgmt is the operators' door: HTTP/1.1, one call a connection. It answers from what the loop has published
// last and waits for nothing else, so it answers however busy the softswitch is.
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

// Limits are the door's sizes and times.
type Limits struct {
	MaxConns       int           // at once; one more takes the place of the one that has been silent longest
	MaxRequestSize int           // bytes of a call
	ReadTimeout    time.Duration // to the end of a call
	WriteTimeout   time.Duration // and of its answer
	MaxStatsAge    time.Duration // figures that are older are not shown
	MaxOrders      int           // orders to drain or go on that may wait for the loop
}

// AdminServer serves operators.
type AdminServer struct {
	Limits      Limits
	Snapshot    func() loop.Snapshot
	ClassNames  func() []string     // of the classes, by place
	SetDraining func(on bool)       // takes effect at once
	Post        func(ev core.Event) // may wait
	Peers       *peers.Socket       // nil: there is no membership
	Log         zerolog.Logger

	orders chan core.Event
	mu     sync.Mutex
	conns  []net.Conn // that have not made their call, oldest first
}

// Serve serves until the listener is closed.
func (s *AdminServer) Serve(listener net.Listener) {
	s.orders = make(chan core.Event, s.Limits.MaxOrders)
	defer close(s.orders)
	go func() { // in the order they came
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
		if err != nil { // out of descriptors, say
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

// enter takes a caller in. Silent ones hold up nobody: where there are too many, the oldest has to go.
func (s *AdminServer) addConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.Limits.MaxConns {
		s.conns[0].Close()
		s.conns = s.conns[1:]
	}
	s.conns = append(s.conns, conn)
}

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

// serve answers one call.
func (s *AdminServer) serveConn(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(s.Limits.ReadTimeout))
	limited := &io.LimitedReader{R: conn, N: int64(s.Limits.MaxRequestSize)}
	req, err := http.ReadRequest(bufio.NewReaderSize(limited, 1<<10))
	var netErr net.Error
	switch {
	case err == io.EOF: // it has left, or tried whether the door is there
		return
	case errors.As(err, &netErr) && netErr.Timeout():
		s.writeResponse(conn, http.StatusRequestTimeout, "no call came in time\n")
	case err != nil && limited.N <= 0:
		s.writeResponse(conn, http.StatusRequestHeaderFieldsTooLarge, "the call is too long\n")
	case err != nil:
		s.writeResponse(conn, http.StatusBadRequest, "the call can't be read\n")
	default:
		status, text, allow := s.handle(req.Method, req.URL.Path, req.URL.Query()["member"])
		s.writeResponse(conn, status, text, allow...)
	}
}

// call does what is asked for. Allow is set where the method is not the path's.
func (s *AdminServer) handle(method, path string, members []string) (status int, text string, allow []string) {
	wantMethod := http.MethodGet
	if path == pathDrainStart || path == pathDrainStop {
		wantMethod = http.MethodPost
	}
	switch path {
	case pathMaintenance:
		return s.handleMaintenance(method, members)
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
				text += membershipStatsText(*snapshot.Members, s.Peers.Counters())
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
			return http.StatusOK, membersJSON(snapshot, s.Peers.Addresses()), nil
		}
		return readiness(snapshot.Stats)
	}
	on := path == pathDrainStart
	if snapshot.Stopping {
		return http.StatusServiceUnavailable, "stopping\n", nil
	}
	if !s.enqueue(core.Drain{On: on}) {
		return http.StatusServiceUnavailable, "too many orders wait\n", nil
	}
	s.SetDraining(on)
	s.Log.Info().Bool("drain", on).Msg("order of an operator")
	return http.StatusOK, "", nil
}

// order has the loop take an order in, behind those before. It says no where too many wait.
func (s *AdminServer) enqueue(event core.Event) bool {
	select {
	case s.orders <- event:
		return true
	default:
		return false
	}
}

// readiness says whether this process can serve, and what is in the way.
func readiness(stats core.Stats) (int, string, []string) {
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

// answer writes an answer and ends the connection so that it can be read.
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
