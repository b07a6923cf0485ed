// Package feed follows the command channel, a stream of server-sent events over HTTP/1.1 with the changes to the list of
// servers.
package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/backoff"
	"elmseam/internal/core"
	"elmseam/internal/transport"
)

// Limits are the timeouts and size limits of the channel's connections. Retry bounds the waits after failed calls.
type Limits struct {
	ConnectTimeout    time.Duration // max time to connect
	HeaderTimeout     time.Duration // max time from a request to the end of the response header; then the call is given up
	HedgeAfter        time.Duration // time without a response header after which another call is made besides those under way
	ReadTimeout       time.Duration // max time to the end of each line; then the connection is closed
	RenewAfter        time.Duration // longest time without an event until a connection is replaced by a new one
	Retry             backoff.Limits
	RetryDelay        time.Duration // min time between the starts of two connections that carry events or comments, except after Follow
	MaxEventSize      int           // max size of a line, and of an event's data, in bytes
	InitialBufferSize int           // initial size of the read buffer, in bytes
}

// Source names the command channel as the origin of a server list.
const Source = "channel"

// phaseByStatus maps the channel's status values to server phases.
var phaseByStatus = map[string]elmseam.Phase{
	"in_service":  elmseam.PhaseReady,
	"terminating": elmseam.PhaseDraining,
	"terminated":  elmseam.PhaseGone,
}

// Command is one event of the command channel.
type Command struct {
	Cursor  int64    `json:"cursor"` // the event's id; ids increase
	Servers struct { // the changed servers, or all servers
		Snapshot  bool       `json:"snapshot"` // Endpoints is the complete list, not only changes
		Endpoints []Endpoint `json:"endpoints"`
	} `json:"nodes"`
}

// Endpoint is the entry of one server in a command.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`  // host:port
	Status  string `json:"status"`   // a key of phaseByStatus
	Group   int    `json:"group"`    // the server's cell
	SinceMS int64  `json:"since_ms"` // start of the server, in milliseconds
}

// List converts a command to a server list for the core. protocolFor returns the protocol of a server; cached says whether the
// command was stored before the start. Entries with an unknown status or without a name are left out; the error names the last
// of them.
func (c Command) List(protocolFor func(name string) core.Protocol, cached bool) (list core.ServerList, err error) {
	list = core.ServerList{Source: Source, Full: c.Servers.Snapshot, Cached: cached}
	for _, endpoint := range c.Servers.Endpoints {
		phase, known := phaseByStatus[endpoint.Status]
		if !known || endpoint.Name == "" {
			err = fmt.Errorf("endpoint %q: no name, or unknown status %q", endpoint.Name, endpoint.Status)
			continue
		}
		list.Servers = append(list.Servers, core.Server{
			Name: endpoint.Name, Address: endpoint.Address, Protocol: protocolFor(endpoint.Name), Cell: endpoint.Group, Phase: phase,
			Started: time.Duration(endpoint.SinceMS) * time.Millisecond,
		})
	}
	return list, err
}

// Feed follows one command channel at a time and posts the server lists that it receives.
type Feed struct {
	Cursor      int64                           // id of the last event that was handled or skipped
	ProtocolFor func(name string) core.Protocol // returns the protocol of a server
	Limits      Limits
	Post        func(core.Event) // delivers a list to the core
	Log         zerolog.Logger

	cursorMu   sync.Mutex     // guards Cursor
	sampledLog zerolog.Logger // rate-limited, for events that the channel can cause at any rate

	mu              sync.Mutex // guards the fields below
	channelAddress  string
	initialCommands []Command // commands received along with channelAddress and not handled yet
	disconnect      func()    // cancels the context of the current connection
}

// Follow switches to the channel at address. initialCommands were received along with the address. Event ids continue across
// channels: events handled before are not handled again. Follow may be called at any time and ends the current connection at
// once, also if the address is the same. It waits while Run posts the commands of an earlier call.
func (f *Feed) Follow(address string, initialCommands []Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.channelAddress, f.initialCommands = address, initialCommands
	if f.disconnect != nil {
		f.disconnect()
	}
}

// prepareConnection handles the commands passed to the last Follow. It returns the address to connect to, with a context that
// ends with ctx or at the next Follow, and the function that cancels it.
func (f *Feed) prepareConnection(ctx context.Context) (connCtx context.Context, disconnect func(), address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, command := range f.initialCommands {
		f.handleCommand(command)
	}
	f.initialCommands = nil
	connCtx, f.disconnect = context.WithCancel(ctx)
	return connCtx, f.disconnect, f.channelAddress
}

// Run follows the channel until ctx is done. When a connection ends it connects again and continues after the last event: at once, but at
// most once in Limits.RetryDelay, if the connection has carried anything, otherwise after a wait that grows with each failure, and at once
// after Follow.
func (f *Feed) Run(ctx context.Context) {
	f.sampledLog = transport.SampledLogger(f.Log)
	retry := backoff.New(f.Limits.Retry, rand.Float64)
	for ctx.Err() == nil {
		started := time.Now()
		connCtx, disconnect, address := f.prepareConnection(ctx)
		carried, err := f.followChannel(connCtx, address)
		if ctx.Err() == nil {
			f.sampledLog.Info().Err(err).Str("channel", address).Int64("cursor", f.lastCursor()).Msg("command channel connection ended")
		}
		wait := f.Limits.RetryDelay - time.Since(started)
		if carried || connCtx.Err() != nil {
			retry.Reset()
		} else {
			wait = retry.Next()
		}
		select {
		case <-connCtx.Done():
		case <-time.After(wait):
		}
		disconnect()
	}
}

// followChannel reads events from the channel at an address until a connection ends that has no replacement. It returns whether a connection
// has carried an event or a comment.
func (f *Feed) followChannel(ctx context.Context, address string) (carried bool, err error) {
	response, err := f.openStream(ctx, address)
	for err == nil {
		last := response
		response, err = f.readUntilReplaced(ctx, address, response)
		carried = carried || last.carried
	}
	return carried, err
}

// readUntilReplaced handles the events of a connection until the connection ends. It returns the connection that replaces it, or
// the error that ended it.
//
// A connection may stop delivering events although its comments (lines without an event) still arrive, while the channel
// counts the events as delivered. So when no event has arrived for Limits.RenewAfter, the function opens a second connection,
// which replaces the first one once its response header has arrived; if it fails, the next attempt follows after a wait that
// grows with each failure. Events that both deliver are handled once, by their id.
func (f *Feed) readUntilReplaced(ctx context.Context, address string, response *responseReader) (*responseReader, error) {
	var mu sync.Mutex // guards replacement and connEnded
	var replacement *responseReader
	connEnded := false
	var renewTimer *time.Timer
	retry := backoff.New(f.Limits.Retry, rand.Float64) // used by the timer's function only
	mu.Lock()
	renewTimer = time.AfterFunc(f.renewDelay(), func() {
		candidate, err := f.openStream(ctx, address)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil && !connEnded:
			renewTimer.Reset(retry.Next())
		case err == nil && (connEnded || replacement != nil):
			candidate.close()
		case err == nil:
			replacement = candidate
			response.conn.Close()
		}
	})
	mu.Unlock()
	err := f.readEvents(response, func() { renewTimer.Reset(f.renewDelay()) })
	response.close()
	mu.Lock()
	defer mu.Unlock()
	connEnded = true
	renewTimer.Stop()
	if replacement != nil {
		return replacement, nil
	}
	return nil, err
}

// renewJitter is the share of RenewAfter by which a renewal may be earlier, so that softswitches that got the same event do not renew in step.
const renewJitter = 0.2

// renewDelay returns the time without an event after which a connection is replaced.
func (f *Feed) renewDelay() time.Duration {
	return time.Duration((1 - renewJitter*rand.Float64()) * float64(f.Limits.RenewAfter))
}

// readEvents reads and handles events until the connection ends, and calls onEvent after each. A malformed event is skipped,
// and its id counts as handled: if the connection were closed instead, the channel would send the event again on each new
// connection, and no later event would ever arrive.
func (f *Feed) readEvents(response *responseReader, onEvent func()) error {
	var data []byte
	var eventID int64
	malformedErr := error(nil)
	for {
		response.conn.SetReadDeadline(time.Now().Add(f.Limits.ReadTimeout)) // covers the whole line, even if its bytes arrive one by one
		line, err := response.readLine()
		switch {
		case err == errTooLong:
			malformedErr = err
			continue
		case err != nil:
			return err
		}
		response.carried = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && (data != nil || malformedErr != nil):
			var command Command
			if malformedErr == nil {
				malformedErr = json.Unmarshal(data, &command)
			}
			if malformedErr != nil {
				f.sampledLog.Warn().Err(malformedErr).Int64("id", eventID).Msg("malformed event skipped")
				f.advanceCursor(eventID)
			} else {
				f.handleCommand(command)
			}
			onEvent()
			data, eventID, malformedErr = nil, 0, nil
		case string(name) == "id":
			eventID, _ = strconv.ParseInt(string(value), 10, 64)
		case string(name) == "data" && malformedErr == nil:
			if len(data)+len(value) > f.Limits.MaxEventSize {
				data, malformedErr = nil, errTooLong
				continue
			}
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
	}
}

// lastCursor returns the id of the last event that was handled or skipped.
func (f *Feed) lastCursor() int64 {
	f.cursorMu.Lock()
	defer f.cursorMu.Unlock()
	return f.Cursor
}

// advanceCursor records an event's id and reports whether the event is new.
func (f *Feed) advanceCursor(eventID int64) bool {
	f.cursorMu.Lock()
	defer f.cursorMu.Unlock()
	if eventID <= f.Cursor {
		return false
	}
	f.Cursor = eventID
	return true
}

// handleCommand posts the server list of a command, unless the command was handled before.
func (f *Feed) handleCommand(command Command) {
	if !f.advanceCursor(command.Cursor) {
		return
	}
	list, err := command.List(f.ProtocolFor, false)
	if err != nil {
		f.sampledLog.Warn().Err(err).Int64("cursor", command.Cursor).Msg("invalid server entry skipped")
	}
	f.Post(list)
}

// responseReader reads the lines of an HTTP response, with or without chunked transfer encoding.
type responseReader struct {
	conn           net.Conn
	buf            *transport.Buffer
	cancel         func()      // cancels the context whose end closes the connection
	stopAfterFunc  func() bool // detaches the connection from the context whose end closes it
	carried        bool        // a line of the body has come
	chunked        bool
	chunkRemaining int    // unread bytes of the current chunk; meaningless unless chunked
	lineBuf        []byte // the part of the current line that was read
}

// close closes the connection.
func (r *responseReader) close() {
	r.stopAfterFunc()
	r.cancel()
	r.conn.Close()
}

// errTooLong is the error of a line, or of the data of an event, that is longer than the maximum.
var errTooLong = errors.New("line or event too long")

// readRawLine reads a line of the response as sent, without regard to chunks, and returns it without its line end. It fails on a
// line that is longer than the buffer's maximum size.
func (r *responseReader) readRawLine() (string, error) {
	for {
		if i := bytes.IndexByte(r.buf.Bytes(), '\n'); i >= 0 {
			line := string(bytes.TrimSuffix(r.buf.Bytes()[:i], []byte("\r")))
			r.buf.Skip(i + 1)
			return line, nil
		}
		if err := r.buf.Fill(r.conn); err != nil {
			return "", err
		}
	}
}

// readHeader reads the status line and the header. It fails on a status other than 200.
func (r *responseReader) readHeader() error {
	statusLine, err := r.readRawLine()
	if err != nil {
		return err
	}
	if len(statusLine) < 12 || statusLine[:5] != "HTTP/" || statusLine[8:12] != " 200" {
		return fmt.Errorf("%w: %.40q", errBadResponse, statusLine)
	}
	for {
		line, err := r.readRawLine()
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
		name, value, _ := bytes.Cut(bytes.ToLower([]byte(line)), []byte(":"))
		if string(name) == "transfer-encoding" && bytes.Contains(value, []byte("chunked")) {
			r.chunked = true
		}
	}
}

// readLine reads a line of the body and returns it without its line end. The result is valid until the next call. A line that
// is too long is read to its end before errTooLong is returned.
func (r *responseReader) readLine() ([]byte, error) {
	r.lineBuf = r.lineBuf[:0]
	tooLong := false
	for {
		if r.chunked && r.chunkRemaining == 0 {
			if err := r.readChunkSize(); err != nil {
				return nil, err
			}
		}
		available := r.buf.Bytes()
		if r.chunked && len(available) > r.chunkRemaining {
			available = available[:r.chunkRemaining]
		}
		lineEnd := bytes.IndexByte(available, '\n')
		n := lineEnd + 1
		if lineEnd < 0 {
			n = len(available)
		}
		if tooLong = tooLong || len(r.lineBuf)+n > r.buf.MaxSize(); !tooLong {
			r.lineBuf = append(r.lineBuf, available[:n]...)
		}
		r.buf.Skip(n)
		if r.chunkRemaining -= n; r.chunked && r.chunkRemaining == 0 {
			if _, err := r.readRawLine(); err != nil { // the line end after the chunk
				return nil, err
			}
		}
		if lineEnd >= 0 && tooLong {
			return nil, errTooLong
		}
		if lineEnd >= 0 {
			return bytes.TrimRight(r.lineBuf, "\r\n"), nil
		}
		if len(r.buf.Bytes()) == 0 {
			if err := r.buf.Fill(r.conn); err != nil {
				return nil, err
			}
		}
	}
}

// readChunkSize reads the size line of the next chunk. A size of 0, which ends the body, is an error too.
func (r *responseReader) readChunkSize() error {
	sizeLine, err := r.readRawLine()
	if err != nil {
		return err
	}
	for i := range sizeLine {
		if sizeLine[i] == ';' {
			sizeLine = sizeLine[:i]
			break
		}
	}
	n, err := strconv.ParseUint(sizeLine, 16, 31)
	if err != nil || n == 0 {
		return fmt.Errorf("%w: invalid chunk size %.20q", errBadResponse, sizeLine)
	}
	r.chunkRemaining = int(n)
	return nil
}
