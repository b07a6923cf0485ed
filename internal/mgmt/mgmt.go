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
	open   []net.Conn // that have not made their call, oldest first
}

// Serve serves until the listener is closed.
func (d *AdminServer) Serve(l net.Listener) {
	d.orders = make(chan core.Event, d.Limits.MaxOrders)
	defer close(d.orders)
	go func() { // in the order they came
		for order := range d.orders {
			d.Post(order)
		}
	}()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d.enter(conn)
		calls.Go(func() {
			defer d.leave(conn)
			d.serve(conn)
		})
	}
}

// enter takes a caller in. Silent ones hold up nobody: where there are too many, the oldest has to go.
func (d *AdminServer) enter(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= d.Limits.MaxConns {
		d.open[0].Close()
		d.open = d.open[1:]
	}
	d.open = append(d.open, conn)
}

func (d *AdminServer) leave(conn net.Conn) {
	conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, have := range d.open {
		if have == conn {
			d.open = append(d.open[:i], d.open[i+1:]...)
			return
		}
	}
}

// serve answers one call.
func (d *AdminServer) serve(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(d.Limits.ReadTimeout))
	limited := &io.LimitedReader{R: conn, N: int64(d.Limits.MaxRequestSize)}
	req, err := http.ReadRequest(bufio.NewReaderSize(limited, 1<<10))
	var timeout net.Error
	switch {
	case err == io.EOF: // it has left, or tried whether the door is there
		return
	case errors.As(err, &timeout) && timeout.Timeout():
		d.answer(conn, http.StatusRequestTimeout, "no call came in time\n")
	case err != nil && limited.N <= 0:
		d.answer(conn, http.StatusRequestHeaderFieldsTooLarge, "the call is too long\n")
	case err != nil:
		d.answer(conn, http.StatusBadRequest, "the call can't be read\n")
	default:
		status, text, allow := d.call(req.Method, req.URL.Path, req.URL.Query()["member"])
		d.answer(conn, status, text, allow...)
	}
}

// call does what is asked for. Allow is set where the method is not the path's.
func (d *AdminServer) call(method, path string, members []string) (status int, text string, allow []string) {
	want := http.MethodGet
	if path == pathDrain || path == pathResume {
		want = http.MethodPost
	}
	switch path {
	case pathWork:
		return d.maintenance(method, members)
	case pathReady, pathStats, pathMembers, pathServers, pathDrain, pathResume:
	default:
		return http.StatusNotFound, "no such call\n", nil
	}
	if method != want {
		return http.StatusMethodNotAllowed, want + " only\n", []string{want}
	}
	f := d.Snapshot()
	if want == http.MethodGet {
		if time.Since(f.At) > d.Limits.MaxStatsAge {
			return http.StatusServiceUnavailable, "no figures of late\n", nil
		}
		switch path {
		case pathStats:
			text := StatsText(f.Stats, d.ClassNames())
			if f.Probes != nil {
				text += probeText(*f.Probes)
			}
			if f.Members != nil {
				text += memberText(*f.Members, d.Peers.Counters())
			}
			if f.Maintenance != nil {
				text += workText(*f.Maintenance)
			}
			if f.Knowledge != nil {
				text += knowText(*f.Knowledge)
			}
			if f.Quotas != nil {
				text += partText(*f.Quotas)
			}
			return http.StatusOK, text, nil
		case pathServers:
			if f.Knowledge == nil && f.Quotas == nil {
				return http.StatusNotFound, "knowledge and parts are off\n", nil
			}
			return http.StatusOK, serversJSON(f), nil
		case pathMembers:
			if f.Members == nil {
				return http.StatusNotFound, "membership is off\n", nil
			}
			return http.StatusOK, membersJSON(f, d.Peers.Addresses()), nil
		}
		return readiness(f.Stats)
	}
	on := path == pathDrain
	if f.Stopping {
		return http.StatusServiceUnavailable, "stopping\n", nil
	}
	if !d.order(core.Drain{On: on}) {
		return http.StatusServiceUnavailable, "too many orders wait\n", nil
	}
	d.SetDraining(on)
	d.Log.Info().Bool("drain", on).Msg("order of an operator")
	return http.StatusOK, "", nil
}

// order has the loop take an order in, behind those before. It says no where too many wait.
func (d *AdminServer) order(ev core.Event) bool {
	select {
	case d.orders <- ev:
		return true
	default:
		return false
	}
}

// readiness says whether this process can serve, and what is in the way.
func readiness(f core.Stats) (int, string, []string) {
	why := "no server can be reached\n"
	switch {
	case f.Ready:
		return http.StatusOK, "ready\n", nil
	case f.Stopping:
		why = "stopping\n"
	case f.Maintenance != nil && f.Maintenance.Slot >= 0:
		why = "out for maintenance\n"
	case f.Draining:
		why = "drained by an operator\n"
	}
	return http.StatusServiceUnavailable, why, nil
}

// answer writes an answer and ends the connection so that it can be read.
func (d *AdminServer) answer(conn net.Conn, status int, text string, allow ...string) {
	conn.SetDeadline(time.Now().Add(d.Limits.WriteTimeout))
	head := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if len(allow) > 0 {
		head["Allow"] = allow
	}
	res := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: head, Close: true,
		ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	}
	w := bufio.NewWriter(conn)
	if res.Write(w) != nil || w.Flush() != nil {
		return
	}
	if c, ok := conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		io.CopyN(io.Discard, conn, int64(d.Limits.MaxRequestSize))
	}
}
