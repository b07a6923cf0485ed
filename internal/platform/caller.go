// Package platform is the front for the platform's own protocol: binary messages from callers, JSON
// lines to servers. It translates, and leaves every decision to the core.
package platform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
	"elmseam/internal/link"
	"elmseam/internal/loop"
	"elmseam/internal/q850"
	"elmseam/internal/settings"
)

// Protocol is the name of this front.
const Protocol core.Protocol = "platform"

// Message types and parameter codes of the callers' protocol.
const (
	typeSetUp    = 1
	typeProgress = 6
	typeAnswer   = 9
	typeRelease  = 12
	typeHeard    = 16
	typeGroup    = 43
	typeTest     = 52
	typeTested   = 53

	paramClass   = 16
	paramLeft    = 19
	paramTenant  = 22
	paramNumber  = 28
	paramExtras  = 31
	paramRetry   = 34
	paramCause   = 58
	paramDesc    = 61
	frameHead    = 2
	callHead     = 9 // type and call
	paramHead    = 3
	releasedSize = 32
)

// frame is one message of a caller.
type frame struct {
	kind  byte
	id    core.ID
	class string
	left  string

	tenant string

	key   string
	extra string
	cause int
	desc  []byte
}

// errShort says that a frame is not whole yet.
var errShort = errors.New("not whole")

// parseFrame reads the first frame of b, which may hold most bytes, and says how long it is.
func parseFrame(b []byte, most int) (f frame, n int, err error) {
	if len(b) < frameHead {
		return f, 0, errShort
	}
	n = frameHead + int(binary.BigEndian.Uint16(b))
	switch {
	case n < frameHead+callHead || n > most:
		return f, 0, fmt.Errorf("a message of %d bytes", n)
	case len(b) < n:
		return f, 0, errShort
	}
	f.kind, f.id, f.cause = b[2], core.ID(binary.BigEndian.Uint64(b[3:])), -1
	for p := b[frameHead+callHead : n]; len(p) > 0; {
		if len(p) < paramHead || len(p) < paramHead+int(binary.BigEndian.Uint16(p[1:])) {
			return f, 0, errors.New("a parameter is cut short")
		}
		code, value := p[0], p[paramHead:paramHead+int(binary.BigEndian.Uint16(p[1:]))]
		p = p[paramHead+len(value):]
		switch code {
		case paramClass:
			f.class = string(value)
		case paramLeft:
			f.left = string(value)
		case paramTenant:
			f.tenant = string(value)
		case paramNumber:
			f.key = string(value)
		case paramExtras:
			f.extra = string(value)
		case paramCause:
			if len(value) != 1 {
				return f, 0, errors.New("a cause is one byte")
			}
			f.cause = int(value[0])
		case paramDesc:
			f.desc = append([]byte(nil), value...)
		}
	}
	return f, n, nil
}

// appendFrame writes a message; its parameters come as they are written by appendParam.
func appendFrame(b []byte, kind byte, id core.ID, params []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(callHead+len(params)))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint64(b, uint64(id))
	return append(b, params...)
}

func appendParam(b []byte, code byte, value ...byte) []byte {
	b = append(b, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
	return append(b, value...)
}

// Config is what the front is told. A new one may come at any time.
type Config struct {
	Deployment  settings.Deployment
	CallerConn  link.Limits   // of a caller's connection
	DialTimeout time.Duration // longest time to make a connection to a server

	ServerConn link.Limits
	MaxCallers int // connections of callers at once
}

// told is a configuration with what is looked up in it.
type told struct {
	Config
	names map[string]int
}

// Platform is the front.
type Platform struct {
	told      atomic.Pointer[told]
	loop      *loop.Loop
	log       zerolog.Logger
	loud      zerolog.Logger // of what callers can cause as often as they like
	stopping  atomic.Bool
	draining  atomic.Bool
	successor atomic.Pointer[Successor]
	pulse     pulse
	open      atomic.Int64 // connections, but for those that have been accepted here
	acceptor  *link.Acceptor
}

// New makes the front.
func New(cfg Config, l *loop.Loop, log zerolog.Logger) *Platform {
	p := &Platform{loop: l, log: log, loud: link.SampledLogger(log)}
	p.Configure(cfg)
	p.acceptor = link.NewAcceptor(func() int { return p.told.Load().MaxCallers }, p.caller)
	return p
}

// Configure replaces what the front was told. Connections that are open keep their limits.
func (p *Platform) Configure(cfg Config) { p.told.Store(&told{cfg, cfg.Deployment.ClassIndexes()}) }

// Classes are the names of the classes, by place.
func (p *Platform) Classes() []string {
	var names []string
	for _, c := range p.told.Load().Deployment.Classes {
		names = append(names, c.Name)
	}
	return names
}

// MarkStopping makes the front fail tests, so that nobody new is sent here.
func (p *Platform) MarkStopping() { p.stopping.Store(true) }

// SetDraining makes the front fail tests while it lasts.
func (p *Platform) SetDraining(on bool) { p.draining.Store(on) }

// SetSuccessor names the process that callers are handed to.
func (p *Platform) SetSuccessor(s Successor) { p.successor.Store(&s) }

// Wait waits until the connections that are being closed have ended, not for long.
func (p *Platform) Wait() {
	ended := make(chan struct{})
	late := time.After(2 * p.told.Load().CallerConn.LingerTimeout)
	go func() { p.acceptor.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-late:
		return
	}
	for p.open.Load() > 0 { // one may still begin: it is told that it is too late
		select {
		case <-late:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Serve serves callers until the listener is closed.
func (p *Platform) Serve(l net.Listener) { p.acceptor.Serve(l) }

// CloseListener has the listener closed when who has connected by now is served. It does not wait.
func (p *Platform) CloseListener() { p.acceptor.Drain() }

// Successor is the process that callers are handed to.
type Successor interface {
	// Transfer is handed a connection, with what was read of it and not yet taken. It may wait. An error says that the
	// successor never got it.
	Transfer(pass core.Transfer, rest []byte, conn syscall.Conn) error
	// ForwardEffect passes on what is for a caller whose connection it has. It must not wait.
	ForwardEffect(link core.ConnID, e core.Effect)
}

// caller is the sending side of a caller's connection.
type caller struct {
	p       *Platform
	link    core.ConnID
	conn    net.Conn
	out     *link.Outbox
	linger  time.Duration
	stall   time.Duration // that a write may take
	closing atomic.Bool
	moving  atomic.Bool
	pass    chan core.Transfer
	ended   chan struct{} // closed when it is being closed

	mu      sync.Mutex
	closeBy time.Time     // the connection ends by then; zero: it isn't to
	passed  bool          // what is for the caller is the successor's to say
	taken   bool          // and it has the connection
	held    []core.Effect // until then
	closed  bool
}

func (p *Platform) newCaller(id core.ConnID, conn net.Conn, limits link.Limits) *caller {
	return &caller{
		p: p, link: id, conn: conn, out: link.NewOutbox(conn, limits), linger: limits.LingerTimeout, stall: limits.WriteTimeout,
		pass: make(chan core.Transfer, 1), ended: make(chan struct{}),
	}
}

// Close closes the connection at once.
func (c *caller) Close() {
	c.end()
	c.out.Close()
}

// end says that the connection is being closed, to whoever waits for more of it.
func (c *caller) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.ended)
	}
}

// Flush waits, not for long, until all is with the caller or the successor.
func (c *caller) Flush() {
	c.mu.Lock()
	waits := c.passed && !c.taken && !c.closed
	c.mu.Unlock()
	if !waits {
		c.out.Flush()
	}
}

// closeGracefully ends the connection: the caller is told what is left, then that there is no more, and what it sends until it has
// heard that is read, as a connection closed with something unread is reset and takes with it what the caller has not
// read. Neither is waited for without an end.
func (c *caller) closeGracefully() {
	c.endBy(c.stall + c.linger)
	c.end()
	c.out.Finish(func() { c.endBy(c.linger) })
}

// endBy sets when the connection ends, whatever the caller does.
func (c *caller) endBy(in time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeBy = time.Now().Add(in)
	c.closing.Store(true)
	c.conn.SetReadDeadline(c.closeBy)
}

// until sets when the next bytes must be here.
func (c *caller) until(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.closeBy.IsZero():
		t = c.closeBy
	case c.moving.Load():
		t = time.Now()
	}
	c.conn.SetReadDeadline(t)
}

// discard reads and drops what comes, until the connection ends.
func (c *caller) discard(in *link.Buffer) {
	for {
		in.Skip(len(in.Bytes()))
		c.mu.Lock()
		by := c.closeBy // zero: until it is closed, which is the core's to say
		c.conn.SetReadDeadline(by)
		c.mu.Unlock()
		if err := in.Fill(c.conn); err != nil && (!by.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return
		}
	}
}

var errStalled = errors.New("the caller reads nothing")

// hand passes the connection, of which nothing is read here any more, to the successor. It says whether it did, and if
// not, whether it goes on here: a successor that dies half way costs no caller its connection.
func (c *caller) hand(rest []byte) (handed, kept bool) {
	c.p.loop.Post(core.ReadingStopped{Conn: c.link})
	var pass core.Transfer
	select {
	case pass = <-c.pass:
	case <-c.ended:
		return false, false
	case <-c.p.loop.Done():
		return false, false
	}
	successor := c.p.successor.Load()
	conn, ok := c.conn.(syscall.Conn)
	if !ok || successor == nil {
		return false, false
	}
	err := errStalled
	if c.out.Flush() {
		err = (*successor).Transfer(pass, rest, conn)
	}
	if err != nil {
		c.p.loud.Warn().Err(err).Msg("a caller's connection can't be handed over")
		c.moving.Store(false)
	}
	for {
		c.mu.Lock()
		held := c.held
		if c.held = nil; len(held) == 0 { // what comes from now on needs not be held
			c.taken, c.passed = err == nil, err == nil
			c.mu.Unlock()
			return err == nil, err != nil
		}
		c.mu.Unlock()
		for _, e := range held {
			if err == nil {
				(*successor).ForwardEffect(c.link, e)
			} else {
				c.write(e)
			}
		}
	}
}

// toSuccessor says whether an effect is the successor's to carry out.
func (c *caller) toSuccessor(e core.Effect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if successor := c.p.successor.Load(); c.taken && successor != nil {
		(*successor).ForwardEffect(c.link, e)
	} else if c.passed {
		c.held = append(c.held, e)
	}
	return c.passed
}

// HandleEffect writes an effect for a caller.
func (c *caller) HandleEffect(e core.Effect) []core.Event {
	if !c.toSuccessor(e) {
		c.write(e)
	}
	return nil
}

// write carries out what is the caller's here.
func (c *caller) write(e core.Effect) {
	switch e := e.(type) {
	case core.Answered:
		c.out.Post(link.Item{Data: appendFrame(nil, typeAnswer, e.ID, appendParam(nil, paramDesc, e.Desc...))})
	case core.Rejected:
		c.out.Post(link.Item{Data: rejection(e.ID, q850.CauseFromReason(e.Reason), e.RetryAfter)})
	case core.Released:
		c.out.Post(link.Item{Data: appendFrame(nil, typeRelease, e.ID, appendParam(nil, paramCause, q850.CauseFromReason(e.Reason)))})
	case core.GracefulClose:
		c.closeGracefully()
	case core.StopReading:
		c.moving.Store(true)
		c.until(time.Now())
	case core.Transfer:
		c.mu.Lock()
		c.passed = true
		c.mu.Unlock()
		c.pass <- e
	}
}

// rejection is a final answer other than that the call stands.
func rejection(id core.ID, cause byte, retry time.Duration) []byte {
	params := appendParam(make([]byte, 0, releasedSize), paramCause, cause)
	if retry > 0 {
		params = appendParam(params, paramRetry, strconv.AppendInt(nil, retry.Milliseconds(), 10)...)
	}
	return appendFrame(nil, typeRelease, id, params)
}

// caller serves a new connection of a caller.
func (p *Platform) caller(conn net.Conn) {
	limits := p.told.Load().CallerConn
	c := p.newCaller(p.loop.NewConnID(), conn, limits)
	p.loop.Attach(c.link, c, core.CallerUp{Conn: c.link, Protocol: Protocol})
	p.read(c, limits, nil, false)
}

// Adopt serves a connection that a predecessor has handed on, with what that has read and not taken. It posts its
// CallerUp before it returns, and calls gone when the connection has ended.
func (p *Platform) Adopt(conn net.Conn, rest []byte, up core.CallerUp, gone func()) {
	limits := p.told.Load().CallerConn
	c := p.newCaller(up.Conn, conn, limits)
	p.loop.Attach(c.link, c, up)
	p.open.Add(1)
	go func() {
		defer p.open.Add(-1)
		defer gone()
		defer conn.Close()
		p.read(c, limits, rest, up.HadSetUp)
	}()
}

// read takes in a caller's messages until the connection ends. One that brings no whole message in time, or stops
// within one or trickles it, is to be closed, and so is one that is idle for long: it holds a descriptor that others
// need. When, is the core's to say, as a set-up may be open on it; what comes until then is dropped.
func (p *Platform) read(c *caller, limits link.Limits, rest []byte, asked bool) {
	handed := false
	defer func() {
		if !handed {
			p.loop.Post(core.CallerDown{Conn: c.link})
		}
	}()
	in := link.NewBuffer(limits.InitialBufferSize, limits.MaxMessageSize)
	for before := bytes.NewReader(rest); before.Len() > 0; {
		if in.Fill(before) != nil {
			return
		}
	}
	var whole time.Time // when the message under way must be, however it trickles in; zero: there is none
	if !asked || len(rest) > 0 {
		whole = time.Now().Add(limits.MessageTimeout)
	}
	var moot map[core.ID]bool // set-ups that were given up before they were taken
	waited, gone := true, false
	malformed := func() {
		p.loop.Post(core.CallerMalformed{Conn: c.link})
		c.discard(in)
	}
	for {
		if whole.IsZero() {
			c.until(time.Now().Add(limits.IdleTimeout))
		} else {
			c.until(whole)
		}
		err := in.Fill(c.conn)
		switch late := errors.Is(err, os.ErrDeadlineExceeded); {
		case c.closing.Load():
			if err == nil {
				c.discard(in)
			}
			return
		case late && c.moving.Load():
			kept := false
			handed, kept = c.hand(in.Bytes())
			switch {
			case handed:
				p.loop.Post(core.Transferred{Conn: c.link})
			case kept:
				p.loop.Post(core.TransferFailed{Conn: c.link})
				continue
			case c.closing.Load():
				c.discard(in)
			}
			return
		case late && !whole.IsZero(), err == link.ErrTooLong:
			malformed()
			return
		case late:
			p.loop.Post(core.CallerIdle{Conn: c.link})
			continue
		case err != nil:
			return
		}
		if waited { // for its turn to be accepted, or for the process that has it now
			waited, gone = false, link.PeerClosed(c.conn)
		}
		at := p.loop.Now()
		for {
			f, n, err := parseFrame(in.Bytes(), limits.MaxMessageSize)
			if err == errShort {
				break
			}
			switch {
			case err != nil:
			case f.kind == typeSetUp && (gone || givesUp(in.Bytes()[n:], f.id)): // nobody waits for it any more
				if moot == nil {
					moot = make(map[core.ID]bool)
				}
				moot[f.id] = true
			default:
				err = p.take(c.link, c.out, f, at, moot[f.id])
				delete(moot, f.id)
			}
			if err != nil {
				p.loud.Warn().Err(err).Stringer("caller", c.conn.RemoteAddr()).Msg("what a caller sends can't be read")
				if f.kind == typeSetUp { // refused
					p.loop.Post(core.SetUp{ID: f.id, From: c.link, Class: -1, At: at})
				}
				malformed()
				return
			}
			in.Skip(n)
			whole = time.Time{}
		}
		if len(in.Bytes()) > 0 && whole.IsZero() {
			whole = time.Now().Add(limits.MessageTimeout)
		}
	}
}

// givesUp says whether what was read behind a set-up gives it up.
func givesUp(b []byte, id core.ID) bool {
	for len(b) >= frameHead+callHead {
		if b[frameHead] == typeRelease && binary.BigEndian.Uint64(b[frameHead+1:]) == uint64(id) {
			return true
		}
		b = b[min(frameHead+int(binary.BigEndian.Uint16(b)), len(b)):]
	}
	return false
}

// take passes a caller's message on. Moot: the set-up that it ends has not been.
func (p *Platform) take(from core.ConnID, out *link.Outbox, f frame, at core.Time, moot bool) error {
	switch f.kind {
	case typeSetUp:
		p.loop.Post(p.setUp(from, f, at))
	case typeRelease:
		p.loop.Post(core.CallerEnd{ID: f.id, From: from, SetUpDiscarded: moot})
		out.Post(link.Item{Data: appendFrame(nil, typeHeard, f.id, nil)})
	case typeTest:
		passed := byte(1)
		if p.stopping.Load() || p.draining.Load() {
			passed = 0
		}
		out.Post(link.Item{Data: appendFrame(nil, typeTested, f.id, appendParam(nil, paramCause, passed))})
	case typeProgress, typeHeard, typeGroup, typeTested:
	default:
		return fmt.Errorf("a message of the unknown type %d", f.kind)
	}
	return nil
}

// setUp translates a set-up. One that makes no sense gets a Class of -1, and the core refuses it: servers close
// on a call without an id, whatever else is open there, and an error of theirs costs them work.
func (p *Platform) setUp(from core.ConnID, f frame, at core.Time) core.SetUp {
	ev := core.SetUp{ID: f.id, From: from, Name: f.class, Tenant: f.tenant, NumberText: f.key, Number: number(f.key), Desc: f.desc, Cell: -1, At: at}
	left, err := strconv.ParseFloat(f.left, 64)
	told := p.told.Load()
	place, known := told.names[f.class]
	var class settings.Class
	if known {
		class = told.Deployment.Classes[place]
	}
	sound := f.id != 0 && known && err == nil && left >= 0 && left < mostLeft
	for pair := range strings.SplitSeq(f.extra, ";") {
		if pair == "" {
			continue
		}
		name, text, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		sound = sound && err == nil
		switch name {
		case "dest":
			sound = sound && value == math.Trunc(value) && value >= 0 && value < mostCell
			ev.Cell = int(value)
			sound = sound && (len(class.Cells) == 0 || slices.Contains(class.Cells, ev.Cell))
		case "width":
			sound = sound && value > 0 && (class.Lines == 0 || value == class.Lines)
		case "again":
			ev.Interrupted = value == 1
		}
	}
	if ev.Class = place; !sound {
		p.loud.Warn().Str("class", f.class).Str("left", f.left).Str("extras", f.extra).Msg("set-up refused")
		ev.Class = -1
		return ev
	}
	ev.TimeLeft = time.Duration(left * float64(time.Millisecond))
	if class.MaxWait > 0 { // nobody waits for longer; a timer of days would be kept for days
		ev.TimeLeft = min(ev.TimeLeft, class.MaxWait)
	}
	return ev
}

// What a sound set-up stays under.
const (
	mostLeft = 1e9
	mostCell = 1 << 16
)

// number is a called number as the module compares it: 0 is none.
func number(key string) uint64 {
	if key == "" {
		return 0
	}
	if n, err := strconv.ParseUint(key, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return h.Sum64()
}
