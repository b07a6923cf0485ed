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
var states = map[string]elmseam.Phase{
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
func (c Command) List(front func(name string) core.Protocol, cached bool) (l core.List, err error) {
	l = core.List{Source: Source, Full: c.Servers.Snapshot, Cached: cached}
	for _, e := range c.Servers.Endpoints {
		phase, known := states[e.Status]
		if !known || e.Name == "" {
			err = fmt.Errorf("endpoint %q: unknown status %q", e.Name, e.Status)
			continue
		}
		l.Servers = append(l.Servers, core.Server{
			Name: e.Name, Address: e.Address, Protocol: front(e.Name), Cell: e.Group, Phase: phase,
			Started: time.Duration(e.SinceMS) * time.Millisecond,
		})
	}
	return l, err
}

// Feed follows one channel at a time.
type Feed struct {
	Cursor      int64                           // the last event known
	ProtocolFor func(name string) core.Protocol // that reaches a server
	Limits      Limits
	Post        func(core.Event)
	Log         zerolog.Logger

	at   sync.Mutex     // guards Cursor
	loud zerolog.Logger // of what the channel can cause as often as it likes

	mu      sync.Mutex
	address string
	known   []Command // that came with the address
	leave   func()    // ends the connection there is
}

// Follow names the channel, with events that are known already. What the feed has heard elsewhere stays: the
// numbers go on. It may be called at any time, and the connection there is ends at once.
func (f *Feed) Follow(address string, known []Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address, f.known = address, known
	if f.leave != nil {
		f.leave()
	}
}

// next is where to go, and a context that ends when that changes.
func (f *Feed) next(ctx context.Context) (here context.Context, leave func(), address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.known {
		f.take(c)
	}
	f.known = nil
	here, f.leave = context.WithCancel(ctx)
	return here, f.leave, f.address
}

// Run follows the channel until the context ends. A connection that ends is made again at once, from the
// event after the last one.
func (f *Feed) Run(ctx context.Context) {
	f.loud = link.SampledLogger(f.Log)
	for ctx.Err() == nil {
		before := time.Now()
		here, leave, address := f.next(ctx)
		err := f.follow(here, address)
		if ctx.Err() == nil {
			f.Log.Info().Err(err).Str("channel", address).Int64("cursor", f.cursor()).Msg("command channel ended")
		}
		if wait := f.Limits.RetryDelay - time.Since(before); wait > 0 { // it brought nothing: don't spin
			select {
			case <-here.Done():
			case <-time.After(wait):
			}
		}
		leave()
	}
}

// follow watches the channel at an address, over one connection after the other.
func (f *Feed) follow(ctx context.Context, address string) error {
	r, err := f.open(ctx, address)
	for err == nil {
		r, err = f.watch(ctx, address, r)
	}
	return err
}

// open makes a connection and asks for what comes after the last event known.
func (f *Feed) open(ctx context.Context, address string) (*reader, error) {
	d := net.Dialer{Timeout: f.Limits.ConnectTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	r := &reader{conn: conn, in: link.NewBuffer(f.Limits.InitialBufferSize, f.Limits.MaxEventSize)}
	r.detach = context.AfterFunc(ctx, func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(f.Limits.ReadTimeout)) // of the header as a whole
	_, err = fmt.Fprintf(conn, "GET /cmd/next HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n", address, f.cursor())
	if err == nil {
		err = r.head()
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
	var fresh *reader
	ended := false
	var timer *time.Timer
	mu.Lock()
	timer = time.AfterFunc(f.Limits.RenewAfter, func() {
		next, err := f.open(ctx, address)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil && !ended:
			timer.Reset(f.Limits.RenewAfter)
		case err == nil && (ended || fresh != nil):
			next.close()
		case err == nil:
			fresh = next
			r.conn.Close()
		}
	})
	mu.Unlock()
	err := f.events(r, func() { timer.Reset(f.Limits.RenewAfter) })
	r.close()
	mu.Lock()
	defer mu.Unlock()
	ended = true
	timer.Stop()
	if fresh != nil {
		return fresh, nil
	}
	return nil, err
}

// events reads events until the connection ends. One that can't be read is passed over: it would come again with every
// connection, and nothing behind it would ever be heard.
func (f *Feed) events(r *reader, heard func()) error {
	var data []byte
	var id int64
	malformed := error(nil)
	for {
		r.conn.SetReadDeadline(time.Now().Add(f.Limits.ReadTimeout)) // of the line, however it trickles
		line, err := r.line()
		switch {
		case err == errLong:
			malformed = err
			continue
		case err != nil:
			return err
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && (data != nil || malformed != nil):
			var c Command
			if malformed == nil {
				malformed = json.Unmarshal(data, &c)
			}
			if malformed != nil {
				f.loud.Warn().Err(malformed).Int64("id", id).Msg("event passed over")
				f.pass(id)
			} else {
				f.take(c)
			}
			heard()
			data, id, malformed = nil, 0, nil
		case string(name) == "id":
			id, _ = strconv.ParseInt(string(value), 10, 64)
		case string(name) == "data" && malformed == nil:
			if len(data)+len(value) > f.Limits.MaxEventSize {
				data, malformed = nil, errLong
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
func (f *Feed) cursor() int64 {
	f.at.Lock()
	defer f.at.Unlock()
	return f.Cursor
}

// pass counts an event as known, and says whether it was news.
func (f *Feed) pass(id int64) bool {
	f.at.Lock()
	defer f.at.Unlock()
	if id <= f.Cursor {
		return false
	}
	f.Cursor = id
	return true
}

// take hands an event on, unless it is known.
func (f *Feed) take(c Command) {
	if !f.pass(c.Cursor) {
		return
	}
	list, err := c.List(f.ProtocolFor, false)
	if err != nil {
		f.loud.Warn().Err(err).Int64("cursor", c.Cursor).Msg("entry passed over")
	}
	f.Post(list)
}

// reader reads an HTTP answer line by line, chunked or not.
type reader struct {
	conn    net.Conn
	in      *link.Buffer
	detach  func() bool // from the context that closes it
	chunked bool
	left    int    // of the chunk
	body    []byte // of the line so far
}

func (r *reader) close() {
	r.detach()
	r.conn.Close()
}

var (
	errHTTP = errors.New("not an HTTP answer with events")
	errLong = errors.New("too long")
)

// raw reads a line of the connection itself.
func (r *reader) raw() (string, error) {
	for {
		if i := bytes.IndexByte(r.in.Bytes(), '\n'); i >= 0 {
			line := string(bytes.TrimSuffix(r.in.Bytes()[:i], []byte("\r")))
			r.in.Skip(i + 1)
			return line, nil
		}
		if err := r.in.Fill(r.conn); err != nil {
			return "", err
		}
	}
}

// head reads the status and the header.
func (r *reader) head() error {
	status, err := r.raw()
	if err != nil {
		return err
	}
	if len(status) < 12 || status[:5] != "HTTP/" || status[8:12] != " 200" {
		return fmt.Errorf("%w: %.40q", errHTTP, status)
	}
	for {
		line, err := r.raw()
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
func (r *reader) line() ([]byte, error) {
	r.body = r.body[:0]
	long := false
	for {
		if r.chunked && r.left == 0 {
			if err := r.chunk(); err != nil {
				return nil, err
			}
		}
		part := r.in.Bytes()
		if r.chunked && len(part) > r.left {
			part = part[:r.left]
		}
		end := bytes.IndexByte(part, '\n')
		n := end + 1
		if end < 0 {
			n = len(part)
		}
		if long = long || len(r.body)+n > r.in.MaxSize(); !long {
			r.body = append(r.body, part[:n]...)
		}
		r.in.Skip(n)
		if r.left -= n; r.chunked && r.left == 0 {
			if _, err := r.raw(); err != nil { // the line end behind a chunk
				return nil, err
			}
		}
		if end >= 0 && long {
			return nil, errLong
		}
		if end >= 0 {
			return bytes.TrimRight(r.body, "\r\n"), nil
		}
		if len(r.in.Bytes()) == 0 {
			if err := r.in.Fill(r.conn); err != nil {
				return nil, err
			}
		}
	}
}

// chunk reads the size of the next chunk.
func (r *reader) chunk() error {
	text, err := r.raw()
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
		return fmt.Errorf("%w: chunk %.20q", errHTTP, text)
	}
	r.left = int(n)
	return nil
}
