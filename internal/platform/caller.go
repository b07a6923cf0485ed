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
	typeSetUp      = 1
	typeProgress   = 6
	typeAnswer     = 9
	typeRelease    = 12
	typeReleaseAck = 16
	typeGroup      = 43
	typeTest       = 52
	typeTested     = 53

	paramClass        = 16
	paramTimeLeft     = 19
	paramTenant       = 22
	paramNumber       = 28
	paramExtras       = 31
	paramRetry        = 34
	paramCause        = 58
	paramDesc         = 61
	lengthSize        = 2
	headerSize        = 9 // type and call
	paramHeaderSize   = 3
	rejectionCapacity = 32
)

// frame is one message of a caller.
type frame struct {
	msgType  byte
	callID   core.ID
	class    string
	timeLeft string

	tenant string

	numberText string
	extras     string
	cause      int
	desc       []byte
}

// errShort says that a frame is not whole yet.
var errIncomplete = errors.New("not whole")

// parseFrame reads the first frame of b, which may hold most bytes, and says how long it is.
func parseFrame(b []byte, maxSize int) (f frame, size int, err error) {
	if len(b) < lengthSize {
		return f, 0, errIncomplete
	}
	size = lengthSize + int(binary.BigEndian.Uint16(b))
	switch {
	case size < lengthSize+headerSize || size > maxSize:
		return f, 0, fmt.Errorf("a message of %d bytes", size)
	case len(b) < size:
		return f, 0, errIncomplete
	}
	f.msgType, f.callID, f.cause = b[2], core.ID(binary.BigEndian.Uint64(b[3:])), -1
	for params := b[lengthSize+headerSize : size]; len(params) > 0; {
		if len(params) < paramHeaderSize || len(params) < paramHeaderSize+int(binary.BigEndian.Uint16(params[1:])) {
			return f, 0, errors.New("a parameter is cut short")
		}
		code, value := params[0], params[paramHeaderSize:paramHeaderSize+int(binary.BigEndian.Uint16(params[1:]))]
		params = params[paramHeaderSize+len(value):]
		switch code {
		case paramClass:
			f.class = string(value)
		case paramTimeLeft:
			f.timeLeft = string(value)
		case paramTenant:
			f.tenant = string(value)
		case paramNumber:
			f.numberText = string(value)
		case paramExtras:
			f.extras = string(value)
		case paramCause:
			if len(value) != 1 {
				return f, 0, errors.New("a cause is one byte")
			}
			f.cause = int(value[0])
		case paramDesc:
			f.desc = append([]byte(nil), value...)
		}
	}
	return f, size, nil
}

// appendFrame writes a message; its parameters come as they are written by appendParam.
func appendFrame(b []byte, msgType byte, id core.ID, params []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(headerSize+len(params)))
	b = append(b, msgType)
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
type activeConfig struct {
	Config
	classIndexes map[string]int
}

// Platform is the front.
type Platform struct {
	config     atomic.Pointer[activeConfig]
	loop       *loop.Loop
	log        zerolog.Logger
	sampledLog zerolog.Logger // of what callers can cause as often as they like
	stopping   atomic.Bool
	draining   atomic.Bool
	successor  atomic.Pointer[Successor]
	silence    silenceDetector
	openConns  atomic.Int64 // connections, but for those that have been accepted here
	acceptor   *link.Acceptor
}

// New makes the front.
func New(cfg Config, l *loop.Loop, log zerolog.Logger) *Platform {
	p := &Platform{loop: l, log: log, sampledLog: link.SampledLogger(log)}
	p.Configure(cfg)
	p.acceptor = link.NewAcceptor(func() int { return p.config.Load().MaxCallers }, p.serveCaller)
	return p
}

// Configure replaces what the front was told. Connections that are open keep their limits.
func (p *Platform) Configure(cfg Config) {
	p.config.Store(&activeConfig{cfg, cfg.Deployment.ClassIndexes()})
}

// Classes are the names of the classes, by place.
func (p *Platform) Classes() []string {
	var names []string
	for _, c := range p.config.Load().Deployment.Classes {
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
	timeout := time.After(2 * p.config.Load().CallerConn.LingerTimeout)
	go func() { p.acceptor.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-timeout:
		return
	}
	for p.openConns.Load() > 0 { // one may still begin: it is told that it is too late
		select {
		case <-timeout:
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
	platform      *Platform
	connID        core.ConnID
	conn          net.Conn
	outbox        *link.Outbox
	lingerTimeout time.Duration
	writeTimeout  time.Duration // that a write may take
	closing       atomic.Bool
	transferring  atomic.Bool
	transfer      chan core.Transfer
	done          chan struct{} // closed when it is being closed

	mu            sync.Mutex
	closeDeadline time.Time     // the connection ends by then; zero: it isn't to
	redirected    bool          // what is for the caller is the successor's to say
	transferred   bool          // and it has the connection
	heldEffects   []core.Effect // until then
	doneClosed    bool
}

func (p *Platform) newCaller(id core.ConnID, conn net.Conn, limits link.Limits) *caller {
	return &caller{
		platform: p, connID: id, conn: conn, outbox: link.NewOutbox(conn, limits), lingerTimeout: limits.LingerTimeout, writeTimeout: limits.WriteTimeout,
		transfer: make(chan core.Transfer, 1), done: make(chan struct{}),
	}
}

// Close closes the connection at once.
func (c *caller) Close() {
	c.signalDone()
	c.outbox.Close()
}

// end says that the connection is being closed, to whoever waits for more of it.
func (c *caller) signalDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.doneClosed {
		c.doneClosed = true
		close(c.done)
	}
}

// Flush waits, not for long, until all is with the caller or the successor.
func (c *caller) Flush() {
	c.mu.Lock()
	awaitingTransfer := c.redirected && !c.transferred && !c.doneClosed
	c.mu.Unlock()
	if !awaitingTransfer {
		c.outbox.Flush()
	}
}

// closeGracefully ends the connection: the caller is told what is left, then that there is no more, and what it sends until it has
// heard that is read, as a connection closed with something unread is reset and takes with it what the caller has not
// read. Neither is waited for without an end.
func (c *caller) closeGracefully() {
	c.closeWithin(c.writeTimeout + c.lingerTimeout)
	c.signalDone()
	c.outbox.Finish(func() { c.closeWithin(c.lingerTimeout) })
}

// endBy sets when the connection ends, whatever the caller does.
func (c *caller) closeWithin(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeDeadline = time.Now().Add(timeout)
	c.closing.Store(true)
	c.conn.SetReadDeadline(c.closeDeadline)
}

// until sets when the next bytes must be here.
func (c *caller) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.closeDeadline.IsZero():
		deadline = c.closeDeadline
	case c.transferring.Load():
		deadline = time.Now()
	}
	c.conn.SetReadDeadline(deadline)
}

// discard reads and drops what comes, until the connection ends.
func (c *caller) discard(buf *link.Buffer) {
	for {
		buf.Skip(len(buf.Bytes()))
		c.mu.Lock()
		deadline := c.closeDeadline // zero: until it is closed, which is the core's to say
		c.conn.SetReadDeadline(deadline)
		c.mu.Unlock()
		if err := buf.Fill(c.conn); err != nil && (!deadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return
		}
	}
}

var errCallerStalled = errors.New("the caller reads nothing")

// hand passes the connection, of which nothing is read here any more, to the successor. It says whether it did, and if
// not, whether it goes on here: a successor that dies half way costs no caller its connection.
func (c *caller) transferToSuccessor(unparsed []byte) (transferred, kept bool) {
	c.platform.loop.Post(core.ReadingStopped{Conn: c.connID})
	var transfer core.Transfer
	select {
	case transfer = <-c.transfer:
	case <-c.done:
		return false, false
	case <-c.platform.loop.Done():
		return false, false
	}
	successor := c.platform.successor.Load()
	conn, ok := c.conn.(syscall.Conn)
	if !ok || successor == nil {
		return false, false
	}
	err := errCallerStalled
	if c.outbox.Flush() {
		err = (*successor).Transfer(transfer, unparsed, conn)
	}
	if err != nil {
		c.platform.sampledLog.Warn().Err(err).Msg("a caller's connection can't be handed over")
		c.transferring.Store(false)
	}
	for {
		c.mu.Lock()
		effects := c.heldEffects
		if c.heldEffects = nil; len(effects) == 0 { // what comes from now on needs not be held
			c.transferred, c.redirected = err == nil, err == nil
			c.mu.Unlock()
			return err == nil, err != nil
		}
		c.mu.Unlock()
		for _, e := range effects {
			if err == nil {
				(*successor).ForwardEffect(c.connID, e)
			} else {
				c.writeEffect(e)
			}
		}
	}
}

// toSuccessor says whether an effect is the successor's to carry out.
func (c *caller) redirect(e core.Effect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if successor := c.platform.successor.Load(); c.transferred && successor != nil {
		(*successor).ForwardEffect(c.connID, e)
	} else if c.redirected {
		c.heldEffects = append(c.heldEffects, e)
	}
	return c.redirected
}

// HandleEffect writes an effect for a caller.
func (c *caller) HandleEffect(e core.Effect) []core.Event {
	if !c.redirect(e) {
		c.writeEffect(e)
	}
	return nil
}

// write carries out what is the caller's here.
func (c *caller) writeEffect(e core.Effect) {
	switch e := e.(type) {
	case core.Answered:
		c.outbox.Post(link.Item{Data: appendFrame(nil, typeAnswer, e.ID, appendParam(nil, paramDesc, e.Desc...))})
	case core.Rejected:
		c.outbox.Post(link.Item{Data: rejectionFrame(e.ID, q850.CauseFromReason(e.Reason), e.RetryAfter)})
	case core.Released:
		c.outbox.Post(link.Item{Data: appendFrame(nil, typeRelease, e.ID, appendParam(nil, paramCause, q850.CauseFromReason(e.Reason)))})
	case core.GracefulClose:
		c.closeGracefully()
	case core.StopReading:
		c.transferring.Store(true)
		c.setReadDeadline(time.Now())
	case core.Transfer:
		c.mu.Lock()
		c.redirected = true
		c.mu.Unlock()
		c.transfer <- e
	}
}

// rejection is a final answer other than that the call stands.
func rejectionFrame(id core.ID, cause byte, retryAfter time.Duration) []byte {
	params := appendParam(make([]byte, 0, rejectionCapacity), paramCause, cause)
	if retryAfter > 0 {
		params = appendParam(params, paramRetry, strconv.AppendInt(nil, retryAfter.Milliseconds(), 10)...)
	}
	return appendFrame(nil, typeRelease, id, params)
}

// caller serves a new connection of a caller.
func (p *Platform) serveCaller(conn net.Conn) {
	limits := p.config.Load().CallerConn
	c := p.newCaller(p.loop.NewConnID(), conn, limits)
	p.loop.Attach(c.connID, c, core.CallerUp{Conn: c.connID, Protocol: Protocol})
	p.readCaller(c, limits, nil, false)
}

// Adopt serves a connection that a predecessor has handed on, with what that has read and not taken. It posts its
// CallerUp before it returns, and calls gone when the connection has ended.
func (p *Platform) Adopt(conn net.Conn, unparsed []byte, up core.CallerUp, onClosed func()) {
	limits := p.config.Load().CallerConn
	c := p.newCaller(up.Conn, conn, limits)
	p.loop.Attach(c.connID, c, up)
	p.openConns.Add(1)
	go func() {
		defer p.openConns.Add(-1)
		defer onClosed()
		defer conn.Close()
		p.readCaller(c, limits, unparsed, up.HadSetUp)
	}()
}

// read takes in a caller's messages until the connection ends. One that brings no whole message in time, or stops
// within one or trickles it, is to be closed, and so is one that is idle for long: it holds a descriptor that others
// need. When, is the core's to say, as a set-up may be open on it; what comes until then is dropped.
func (p *Platform) readCaller(c *caller, limits link.Limits, unparsed []byte, hadSetUp bool) {
	transferred := false
	defer func() {
		if !transferred {
			p.loop.Post(core.CallerDown{Conn: c.connID})
		}
	}()
	buf := link.NewBuffer(limits.InitialBufferSize, limits.MaxMessageSize)
	for reader := bytes.NewReader(unparsed); reader.Len() > 0; {
		if buf.Fill(reader) != nil {
			return
		}
	}
	var messageDeadline time.Time // when the message under way must be, however it trickles in; zero: there is none
	if !hadSetUp || len(unparsed) > 0 {
		messageDeadline = time.Now().Add(limits.MessageTimeout)
	}
	var discardedSetUps map[core.ID]bool // set-ups that were given up before they were taken
	firstRead, peerClosed := true, false
	closeMalformed := func() {
		p.loop.Post(core.CallerMalformed{Conn: c.connID})
		c.discard(buf)
	}
	for {
		if messageDeadline.IsZero() {
			c.setReadDeadline(time.Now().Add(limits.IdleTimeout))
		} else {
			c.setReadDeadline(messageDeadline)
		}
		err := buf.Fill(c.conn)
		switch timedOut := errors.Is(err, os.ErrDeadlineExceeded); {
		case c.closing.Load():
			if err == nil {
				c.discard(buf)
			}
			return
		case timedOut && c.transferring.Load():
			kept := false
			transferred, kept = c.transferToSuccessor(buf.Bytes())
			switch {
			case transferred:
				p.loop.Post(core.Transferred{Conn: c.connID})
			case kept:
				p.loop.Post(core.TransferFailed{Conn: c.connID})
				continue
			case c.closing.Load():
				c.discard(buf)
			}
			return
		case timedOut && !messageDeadline.IsZero(), err == link.ErrTooLong:
			closeMalformed()
			return
		case timedOut:
			p.loop.Post(core.CallerIdle{Conn: c.connID})
			continue
		case err != nil:
			return
		}
		if firstRead { // for its turn to be accepted, or for the process that has it now
			firstRead, peerClosed = false, link.PeerClosed(c.conn)
		}
		receivedAt := p.loop.Now()
		for {
			f, size, err := parseFrame(buf.Bytes(), limits.MaxMessageSize)
			if err == errIncomplete {
				break
			}
			switch {
			case err != nil:
			case f.msgType == typeSetUp && (peerClosed || containsGiveUp(buf.Bytes()[size:], f.callID)): // nobody waits for it any more
				if discardedSetUps == nil {
					discardedSetUps = make(map[core.ID]bool)
				}
				discardedSetUps[f.callID] = true
			default:
				err = p.handleFrame(c.connID, c.outbox, f, receivedAt, discardedSetUps[f.callID])
				delete(discardedSetUps, f.callID)
			}
			if err != nil {
				p.sampledLog.Warn().Err(err).Stringer("caller", c.conn.RemoteAddr()).Msg("what a caller sends can't be read")
				if f.msgType == typeSetUp { // refused
					p.loop.Post(core.SetUp{ID: f.callID, From: c.connID, Class: -1, At: receivedAt})
				}
				closeMalformed()
				return
			}
			buf.Skip(size)
			messageDeadline = time.Time{}
		}
		if len(buf.Bytes()) > 0 && messageDeadline.IsZero() {
			messageDeadline = time.Now().Add(limits.MessageTimeout)
		}
	}
}

// givesUp says whether what was read behind a set-up gives it up.
func containsGiveUp(b []byte, id core.ID) bool {
	for len(b) >= lengthSize+headerSize {
		if b[lengthSize] == typeRelease && binary.BigEndian.Uint64(b[lengthSize+1:]) == uint64(id) {
			return true
		}
		b = b[min(lengthSize+int(binary.BigEndian.Uint16(b)), len(b)):]
	}
	return false
}

// take passes a caller's message on. Moot: the set-up that it ends has not been.
func (p *Platform) handleFrame(conn core.ConnID, outbox *link.Outbox, f frame, receivedAt core.Time, setUpDiscarded bool) error {
	switch f.msgType {
	case typeSetUp:
		p.loop.Post(p.setUpEvent(conn, f, receivedAt))
	case typeRelease:
		p.loop.Post(core.CallerEnd{ID: f.callID, From: conn, SetUpDiscarded: setUpDiscarded})
		outbox.Post(link.Item{Data: appendFrame(nil, typeReleaseAck, f.callID, nil)})
	case typeTest:
		passed := byte(1)
		if p.stopping.Load() || p.draining.Load() {
			passed = 0
		}
		outbox.Post(link.Item{Data: appendFrame(nil, typeTested, f.callID, appendParam(nil, paramCause, passed))})
	case typeProgress, typeReleaseAck, typeGroup, typeTested:
	default:
		return fmt.Errorf("a message of the unknown type %d", f.msgType)
	}
	return nil
}

// setUp translates a set-up. One that makes no sense gets a Class of -1, and the core refuses it: servers close
// on a call without an id, whatever else is open there, and an error of theirs costs them work.
func (p *Platform) setUpEvent(conn core.ConnID, f frame, receivedAt core.Time) core.SetUp {
	ev := core.SetUp{ID: f.callID, From: conn, Name: f.class, Tenant: f.tenant, NumberText: f.numberText, Number: numberValue(f.numberText), Desc: f.desc, Cell: -1, At: receivedAt}
	timeLeft, err := strconv.ParseFloat(f.timeLeft, 64)
	cfg := p.config.Load()
	index, known := cfg.classIndexes[f.class]
	var class settings.Class
	if known {
		class = cfg.Deployment.Classes[index]
	}
	valid := f.callID != 0 && known && err == nil && timeLeft >= 0 && timeLeft < maxTimeLeft
	for pair := range strings.SplitSeq(f.extras, ";") {
		if pair == "" {
			continue
		}
		name, text, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		valid = valid && err == nil
		switch name {
		case "dest":
			valid = valid && value == math.Trunc(value) && value >= 0 && value < maxCells
			ev.Cell = int(value)
			valid = valid && (len(class.Cells) == 0 || slices.Contains(class.Cells, ev.Cell))
		case "width":
			valid = valid && value > 0 && (class.Lines == 0 || value == class.Lines)
		case "again":
			ev.Interrupted = value == 1
		}
	}
	if ev.Class = index; !valid {
		p.sampledLog.Warn().Str("class", f.class).Str("left", f.timeLeft).Str("extras", f.extras).Msg("set-up refused")
		ev.Class = -1
		return ev
	}
	ev.TimeLeft = time.Duration(timeLeft * float64(time.Millisecond))
	if class.MaxWait > 0 { // nobody waits for longer; a timer of days would be kept for days
		ev.TimeLeft = min(ev.TimeLeft, class.MaxWait)
	}
	return ev
}

// What a sound set-up stays under.
const (
	maxTimeLeft = 1e9
	maxCells    = 1 << 16
)

// number is a called number as the module compares it: 0 is none.
func numberValue(text string) uint64 {
	if text == "" {
		return 0
	}
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64()
}
