package feed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"elmseam/internal/transport"
)

// maxCalls is the maximum number of calls to the channel that are under way at a time for one stream.
const maxCalls = 3

// callResult is the outcome of one call to the channel.
type callResult struct {
	call     int // index of the call
	response *responseReader
	err      error
}

// openStream opens a connection to the channel and requests the events after the last one. A call that brings no response header in time
// goes on while another one is made: the channel may be slow, or the call may never be answered. The first response is used, and the
// other calls are given up.
func (f *Feed) openStream(ctx context.Context, address string) (*responseReader, error) {
	results := make(chan callResult, maxCalls)
	var cancels []context.CancelFunc
	start := func() {
		index := len(cancels)
		callCtx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			response, err := f.call(callCtx, cancel, address)
			results <- callResult{index, response, err}
		}()
	}
	start()
	underWay := 1
	hedge := time.NewTicker(f.Limits.HedgeAfter)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if underWay < maxCalls {
				start()
				underWay++
			}
		case result := <-results:
			underWay--
			switch {
			case result.err == nil:
				cancelOthers(cancels, result.call)
				go discard(results, underWay)
				return result.response, nil
			case underWay == 0:
				return nil, result.err
			}
		}
	}
}

// cancelOthers gives up all calls but one.
func cancelOthers(cancels []context.CancelFunc, used int) {
	for i, cancel := range cancels {
		if i != used {
			cancel()
		}
	}
}

// discard closes the responses of calls that are not used.
func discard(results <-chan callResult, count int) {
	for range count {
		if result := <-results; result.response != nil {
			result.response.close()
		}
	}
}

// errBadResponse is the error of a response that is not a stream of events.
var errBadResponse = errors.New("unexpected HTTP response")

// call makes one call to the channel and reads its response header. The context bounds the whole life of the connection.
func (f *Feed) call(ctx context.Context, cancel context.CancelFunc, address string) (*responseReader, error) {
	dialer := net.Dialer{Timeout: f.Limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		cancel()
		return nil, err
	}
	response := &responseReader{conn: conn, cancel: cancel, buf: transport.NewBuffer(f.Limits.InitialBufferSize, f.Limits.MaxEventSize)}
	response.stopAfterFunc = context.AfterFunc(ctx, func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(f.Limits.HeaderTimeout)) // covers the request and the whole response header
	_, err = fmt.Fprintf(conn, "GET /cmd/next HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n", address, f.lastCursor())
	if err == nil {
		err = response.readHeader()
	}
	if err != nil {
		response.close()
		return nil, err
	}
	return response, nil
}
