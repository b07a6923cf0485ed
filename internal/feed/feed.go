// Package feed follows the command channel: server-sent events over HTTP/1.1 that say how the list of
// servers changes.
package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/link"
)

// Limits are the channel's sizes and times.
type Limits struct {
	ConnectTimeout    time.Duration // to make a connection
	ReadTimeout       time.Duration // to the end of the answer's header, and between whole lines: past it the connection is dead
	RenewAfter        time.Duration // a watch that has brought no event for so long is overtaken by a fresh one
	RetryDelay        time.Duration // after a connection that brought nothing
	MaxEventSize      int           // the longest line
	InitialBufferSize int           // the read buffer's first size
}

// Source names this list to the core.
const Source = "channel"

// states are the channel's words for the phases.
var phases = map[string]elmseam.Phase{
	"in_service":  elmseam.Ready,
	"terminating": elmseam.Draining,
	"terminated":  elmseam.Gone,
}

// Command is one event of the channel.
type Command struct {
	Cursor  int64 `json:"cursor"`
	Servers struct {
		Snapshot  bool       `json:"snapshot"`
		Endpoints []Endpoint `json:"endpoints"`
	} `json:"nodes"`
}

// Endpoint is what the channel says of one server.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Status  string `json:"status"`
	Group   int    `json:"group"`
	SinceMS int64  `json:"since_ms"`
}

// List translates a command. Cached says that it was held from before the start; front tells which front
// reaches a server. An entry that makes no sense is left out, and an error names it.
func (c Command) List(protocolFor func(name string) core.Protocol, cached bool) (list core.List, err error) {
	list = core.List{Source: Source, Full: c.Servers.Snapshot, Cached: cached}
	for _, endpoint := range c.Servers.Endpoints {
		phase, known := phases[endpoint.Status]
		if !known || endpoint.Name == "" {
			err = fmt.Errorf("endpoint %q: unknown status %q", endpoint.Name, endpoint.Status)
			continue
		}
		list.Servers = append(list.Servers, core.Server{
			Name: endpoint.Name, Address: endpoint.Address, Protocol: protocolFor(endpoint.Name), Cell: endpoint.Group, Phase: phase,
			Started: time.Duration(endpoint.SinceMS) * time.Millisecond,
		})
	}
	return list, err
}

// Feed follows one channel at a time.
type Feed struct {
	Cursor      int64                           // the last event known
	ProtocolFor func(name string) core.Protocol // that reaches a server
	Limits      Limits
	Post        func(core.Event)
	Log         zerolog.Logger

	cursorMu   sync.Mutex     // guards Cursor
	sampledLog zerolog.Logger // of what the channel can cause as often as it likes

	mu              sync.Mutex
	address         string
	initialCommands []Command // that came with the address
	disconnect      func()    // ends the connection there is
}

// Follow names the channel, with events that are known already. What the feed has heard elsewhere stays: the
// numbers go on. It may be called at any time, and the connection there is ends at once.
func (f *Feed) Follow(address string, known []Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address, f.initialCommands = address, known
	if f.disconnect != nil {
		f.disconnect()
	}
}

// next is where to go, and a context that ends when that changes.
func (f *Feed) nextTarget(ctx context.Context) (connCtx context.Context, disconnect func(), address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, command := range f.initialCommands {
		f.handleCommand(command)
	}
	f.initialCommands = nil
	connCtx, f.disconnect = context.WithCancel(ctx)
	return connCtx, f.disconnect, f.address
}

// Run follows the channel until the context ends. A connection that ends is made again at once, from the
// event after the last one.
func (f *Feed) Run(ctx context.Context) {
	f.sampledLog = link.SampledLogger(f.Log)
	for ctx.Err() == nil {
		started := time.Now()
		connCtx, disconnect, address := f.nextTarget(ctx)
		err := f.followAddress(connCtx, address)
		if ctx.Err() == nil {
			f.Log.Info().Err(err).Str("channel", address).Int64("cursor", f.lastCursor()).Msg("command channel ended")
		}
		if wait := f.Limits.RetryDelay - time.Since(started); wait > 0 { // it brought nothing: don't spin
			select {
			case <-connCtx.Done():
			case <-time.After(wait):
			}
		}
		disconnect()
	}
}

// follow watches the channel at an address, over one connection after the other.
func (f *Feed) followAddress(ctx context.Context, address string) error {
	r, err := f.connect(ctx, address)
	for err == nil {
		r, err = f.watch(ctx, address, r)
	}
	return err
}

// open makes a connection and asks for what comes after the last event known.
func (f *Feed) connect(ctx context.Context, address string) (*reader, error) {
	dialer := net.Dialer{Timeout: f.Limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r := &reader{conn: conn, buf: link.NewBuffer(f.Limits.InitialBufferSize, f.Limits.MaxEventSize)}
	r.stopAfterFunc = context.AfterFunc(ctx, func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(f.Limits.ReadTimeout)) // of the header as a whole
	_, err = fmt.Fprintf(conn, "GET /cmd/next HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n", address, f.lastCursor())
	if err == nil {
		err = r.readHeader()
	}
	if err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// watch takes in the events of a connection until it ends. On one that has brought none for long there may be none any
// more, though its comments go on: what is told counts as heard all the same. A fresh one is made beside it and takes
// over when it is answered; what both bring is taken once, by its number.
func (f *Feed) watch(ctx context.Context, address string, r *reader) (*reader, error) {
	var mu sync.Mutex
	var replacement *reader
	ended := false
	var timer *time.Timer
	mu.Lock()
	timer = time.AfterFunc(f.Limits.RenewAfter, func() {
		candidate, err := f.connect(ctx, address)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil && !ended:
			timer.Reset(f.Limits.RenewAfter)
		case err == nil && (ended || replacement != nil):
			candidate.close()
		case err == nil:
			replacement = candidate
			r.conn.Close()
		}
	})
	mu.Unlock()
	err := f.readEvents(r, func() { timer.Reset(f.Limits.RenewAfter) })
	r.close()
	mu.Lock()
	defer mu.Unlock()
	ended = true
	timer.Stop()
	if replacement != nil {
		return replacement, nil
	}
	return nil, err
}

// events reads events until the connection ends. One that can't be read is passed over: it would come again with every
// connection, and nothing behind it would ever be heard.
func (f *Feed) readEvents(r *reader, onEvent func()) error {
	var data []byte
	var id int64
	malformed := error(nil)
	for {
		r.conn.SetReadDeadline(time.Now().Add(f.Limits.ReadTimeout)) // of the line, however it trickles
		line, err := r.readLine()
		switch {
		case err == errTooLong:
			malformed = err
			continue
		case err != nil:
			return err
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && (data != nil || malformed != nil):
			var command Command
			if malformed == nil {
				malformed = json.Unmarshal(data, &command)
			}
			if malformed != nil {
				f.sampledLog.Warn().Err(malformed).Int64("id", id).Msg("event passed over")
				f.advanceCursor(id)
			} else {
				f.handleCommand(command)
			}
			onEvent()
			data, id, malformed = nil, 0, nil
		case string(name) == "id":
			id, _ = strconv.ParseInt(string(value), 10, 64)
		case string(name) == "data" && malformed == nil:
			if len(data)+len(value) > f.Limits.MaxEventSize {
				data, malformed = nil, errTooLong
				continue
			}
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
	}
}

// cursor is the number of the last event known.
func (f *Feed) lastCursor() int64 {
	f.cursorMu.Lock()
	defer f.cursorMu.Unlock()
	return f.Cursor
}

// pass counts an event as known, and says whether it was news.
func (f *Feed) advanceCursor(id int64) bool {
	f.cursorMu.Lock()
	defer f.cursorMu.Unlock()
	if id <= f.Cursor {
		return false
	}
	f.Cursor = id
	return true
}

// take hands an event on, unless it is known.
func (f *Feed) handleCommand(command Command) {
	if !f.advanceCursor(command.Cursor) {
		return
	}
	list, err := command.List(f.ProtocolFor, false)
	if err != nil {
		f.sampledLog.Warn().Err(err).Int64("cursor", command.Cursor).Msg("entry passed over")
	}
	f.Post(list)
}

// reader reads an HTTP answer line by line, chunked or not.
type reader struct {
	conn           net.Conn
	buf            *link.Buffer
	stopAfterFunc  func() bool // from the context that closes it
	chunked        bool
	chunkRemaining int    // of the chunk
	lineBuf        []byte // of the line so far
}

func (r *reader) close() {
	r.stopAfterFunc()
	r.conn.Close()
}

var (
	errBadResponse = errors.New("not an HTTP answer with events")
	errTooLong     = errors.New("too long")
)

// raw reads a line of the connection itself.
func (r *reader) rawLine() (string, error) {
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

// head reads the status and the header.
func (r *reader) readHeader() error {
	status, err := r.rawLine()
	if err != nil {
		return err
	}
	if len(status) < 12 || status[:5] != "HTTP/" || status[8:12] != " 200" {
		return fmt.Errorf("%w: %.40q", errBadResponse, status)
	}
	for {
		line, err := r.rawLine()
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

// line reads a line of the body. One that is too long is read to its end all the same.
func (r *reader) readLine() ([]byte, error) {
	r.lineBuf = r.lineBuf[:0]
	tooLong := false
	for {
		if r.chunked && r.chunkRemaining == 0 {
			if err := r.readChunkSize(); err != nil {
				return nil, err
			}
		}
		part := r.buf.Bytes()
		if r.chunked && len(part) > r.chunkRemaining {
			part = part[:r.chunkRemaining]
		}
		end := bytes.IndexByte(part, '\n')
		n := end + 1
		if end < 0 {
			n = len(part)
		}
		if tooLong = tooLong || len(r.lineBuf)+n > r.buf.MaxSize(); !tooLong {
			r.lineBuf = append(r.lineBuf, part[:n]...)
		}
		r.buf.Skip(n)
		if r.chunkRemaining -= n; r.chunked && r.chunkRemaining == 0 {
			if _, err := r.rawLine(); err != nil { // the line end behind a chunk
				return nil, err
			}
		}
		if end >= 0 && tooLong {
			return nil, errTooLong
		}
		if end >= 0 {
			return bytes.TrimRight(r.lineBuf, "\r\n"), nil
		}
		if len(r.buf.Bytes()) == 0 {
			if err := r.buf.Fill(r.conn); err != nil {
				return nil, err
			}
		}
	}
}

// chunk reads the size of the next chunk.
func (r *reader) readChunkSize() error {
	text, err := r.rawLine()
	if err != nil {
		return err
	}
	for i := range text {
		if text[i] == ';' {
			text = text[:i]
			break
		}
	}
	n, err := strconv.ParseUint(text, 16, 31)
	if err != nil || n == 0 {
		return fmt.Errorf("%w: chunk %.20q", errBadResponse, text)
	}
	r.chunkRemaining = int(n)
	return nil
}
