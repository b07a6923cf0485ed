// Package platform implements the platform's own signalling protocol: binary messages between callers and the softswitch, JSON
// lines between the softswitch and servers. It translates messages into events of the core and effects of the core into
// messages; every decision is the core's.
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

// Protocol is the name of the platform's protocol in the core and the logs.
const Protocol core.Protocol = "platform"

// Message types, parameter codes and sizes of the callers' protocol.
const (
	typeSetUp      = 1
	typeProgress   = 6
	typeAnswer     = 9
	typeRelease    = 12 // from a caller: give-up or release; to a caller: refusal or release
	typeReleaseAck = 16 // answer to a caller's typeRelease
	typeGroup      = 43
	typeTest       = 52 // asks whether the softswitch takes new calls
	typeTested     = 53 // answer to typeTest; paramCause is 1 if it does, else 0

	paramClass        = 16
	paramTimeLeft     = 19 // milliseconds until the caller gives up, in decimal
	paramTenant       = 22
	paramNumber       = 28 // called number
	paramExtras       = 31 // "name:value" pairs, separated by semicolons
	paramRetry        = 34 // milliseconds to wait before a retry, in decimal
	paramCause        = 58
	paramDesc         = 61 // description of the call, passed on unchanged
	lengthSize        = 2  // bytes of the length before a message
	headerSize        = 9  // bytes of a message's type and call id
	paramHeaderSize   = 3  // bytes of a parameter's code and length
	rejectionCapacity = 32 // bytes that the parameters of a rejection usually fit in
)

// frame is a decoded message from a caller, with its parameters in the protocol's own text form. A parameter that is absent
// leaves its field empty.
type frame struct {
	msgType  byte
	callID   core.ID
	class    string
	timeLeft string

	tenant string

	numberText string
	extras     string
	cause      int // -1 if the message has no cause
	desc       []byte
}

// errIncomplete is returned by parseFrame when the rest of the message has yet to be read.
var errIncomplete = errors.New("incomplete message")

// parseFrame decodes the message at the start of b and returns it with its size in bytes, including the length field. A message
// of more than maxSize bytes is an error.
func parseFrame(b []byte, maxSize int) (f frame, size int, err error) {
	if len(b) < lengthSize {
		return f, 0, errIncomplete
	}
	size = lengthSize + int(binary.BigEndian.Uint16(b))
	switch {
	case size < lengthSize+headerSize || size > maxSize:
		return f, 0, fmt.Errorf("invalid message size of %d bytes", size)
	case len(b) < size:
		return f, 0, errIncomplete
	}
	f.msgType, f.callID, f.cause = b[2], core.ID(binary.BigEndian.Uint64(b[3:])), -1
	for params := b[lengthSize+headerSize : size]; len(params) > 0; {
		if len(params) < paramHeaderSize || len(params) < paramHeaderSize+int(binary.BigEndian.Uint16(params[1:])) {
			return f, 0, errors.New("truncated parameter")
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
				return f, 0, errors.New("cause parameter is not one byte long")
			}
			f.cause = int(value[0])
		case paramDesc:
			f.desc = append([]byte(nil), value...)
		}
	}
	return f, size, nil
}

// appendFrame appends an encoded message to b. params are parameters encoded by appendParam.
func appendFrame(b []byte, msgType byte, id core.ID, params []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(headerSize+len(params)))
	b = append(b, msgType)
	b = binary.BigEndian.AppendUint64(b, uint64(id))
	return append(b, params...)
}

// appendParam appends an encoded parameter to b.
func appendParam(b []byte, code byte, value ...byte) []byte {
	b = append(b, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
	return append(b, value...)
}

// Config holds the settings of a Platform. Configure can replace them at any time.
type Config struct {
	Deployment  settings.Deployment
	CallerConn  link.Limits   // limits of a caller's connection
	DialTimeout time.Duration // longest time to make a connection to a server

	ServerConn link.Limits // limits of a connection to a server
	MaxCallers int         // maximum number of simultaneous caller connections
}

// activeConfig is a Config with an index over its classes: the index of each class by its name.
type activeConfig struct {
	Config
	classIndexes map[string]int
}

// Platform serves callers and servers that use the platform's protocol.
type Platform struct {
	config     atomic.Pointer[activeConfig]
	loop       *loop.Loop
	log        zerolog.Logger
	sampledLog zerolog.Logger // for messages that callers or servers can provoke without limit
	stopping   atomic.Bool
	draining   atomic.Bool
	successor  atomic.Pointer[Successor]
	silence    silenceDetector // shared by all connections to servers
	openConns  atomic.Int64    // open connections to servers and of adopted callers, which acceptor doesn't count
	acceptor   *link.Acceptor
}

// New returns a Platform that exchanges events and effects with l.
func New(cfg Config, l *loop.Loop, log zerolog.Logger) *Platform {
	p := &Platform{loop: l, log: log, sampledLog: link.SampledLogger(log)}
	p.Configure(cfg)
	p.acceptor = link.NewAcceptor(func() int { return p.config.Load().MaxCallers }, p.serveCaller)
	return p
}

// Configure replaces the settings. Open connections keep the limits that they were opened with.
func (p *Platform) Configure(cfg Config) {
	p.config.Store(&activeConfig{cfg, cfg.Deployment.ClassIndexes()})
}

// Classes returns the names of the request classes, by class index.
func (p *Platform) Classes() []string {
	var names []string
	for _, c := range p.config.Load().Deployment.Classes {
		names = append(names, c.Name)
	}
	return names
}

// MarkStopping makes all later test messages of callers fail, so that no new callers are sent to this softswitch.
func (p *Platform) MarkStopping() { p.stopping.Store(true) }

// SetDraining makes test messages of callers fail while on is true.
func (p *Platform) SetDraining(on bool) { p.draining.Store(on) }

// SetSuccessor sets the newer process that callers' connections are transferred to.
func (p *Platform) SetSuccessor(s Successor) { p.successor.Store(&s) }

// Wait waits until all connections have ended, at most for twice the linger timeout of a caller's connection.
func (p *Platform) Wait() {
	ended := make(chan struct{})
	timeout := time.After(2 * p.config.Load().CallerConn.LingerTimeout)
	go func() { p.acceptor.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-timeout:
		return
	}
	for p.openConns.Load() > 0 { // a connection may still be starting; the loop rejects it
		select {
		case <-timeout:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Serve accepts and serves callers until l is closed.
func (p *Platform) Serve(l net.Listener) { p.acceptor.Serve(l) }

// CloseListener makes the listener close once all callers that have connected so far are accepted. It does not wait.
func (p *Platform) CloseListener() { p.acceptor.Drain() }

// Successor is the newer process of a hand-over, which callers' connections are transferred to.
type Successor interface {
	// Transfer passes a connection to the successor, with the bytes that were read from it and not yet parsed. It may
	// wait. An error means that the successor did not receive the connection.
	Transfer(pass core.Transfer, rest []byte, conn syscall.Conn) error
	// ForwardEffect passes an effect for a caller on to the successor, which has the caller's connection. It must not wait.
	ForwardEffect(link core.ConnID, e core.Effect)
}

// caller is a connection of a caller. It is the loop.EffectHandler of that connection; readCaller is its receiving side.
type caller struct {
	platform      *Platform
	connID        core.ConnID
	conn          net.Conn
	outbox        *link.Outbox
	lingerTimeout time.Duration
	writeTimeout  time.Duration      // longest time that one write may take
	closing       atomic.Bool        // the connection is being closed gracefully
	transferring  atomic.Bool        // the connection is to be read no further, so that it can be transferred
	transfer      chan core.Transfer // receives the core's order to transfer the connection
	done          chan struct{}      // closed when the connection begins to close

	mu            sync.Mutex
	closeDeadline time.Time     // when the connection ends at the latest; zero: it is not being closed
	redirected    bool          // effects are held for the successor, or forwarded to it
	transferred   bool          // the successor has the connection
	heldEffects   []core.Effect // effects held while redirected is true and transferred is not
	doneClosed    bool          // done is closed
}

// newCaller returns the caller for an open connection.
func (p *Platform) newCaller(id core.ConnID, conn net.Conn, limits link.Limits) *caller {
	return &caller{
		platform: p, connID: id, conn: conn, outbox: link.NewOutbox(conn, limits),
		lingerTimeout: limits.LingerTimeout, writeTimeout: limits.WriteTimeout,
		transfer: make(chan core.Transfer, 1), done: make(chan struct{}),
	}
}

// Close closes the connection immediately.
func (c *caller) Close() {
	c.signalDone()
	c.outbox.Close()
}

// signalDone closes the done channel, so that transferToSuccessor stops waiting.
func (c *caller) signalDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.doneClosed {
		c.doneClosed = true
		close(c.done)
	}
}

// Flush waits for a short, bounded time until all queued messages are written. It does not wait while the transfer of the
// connection to the successor is under way.
func (c *caller) Flush() {
	c.mu.Lock()
	awaitingTransfer := c.redirected && !c.transferred && !c.doneClosed
	c.mu.Unlock()
	if !awaitingTransfer {
		c.outbox.Flush()
	}
}

// closeGracefully writes all queued messages, half-closes the connection, and lets the reading side drop what the caller still
// sends until the caller closes its side. Closing with unread data would reset the connection, and the reset would discard
// messages that the caller has not read yet. Both the writing and the reading have a time limit.
func (c *caller) closeGracefully() {
	c.closeWithin(c.writeTimeout + c.lingerTimeout)
	c.signalDone()
	c.outbox.Finish(func() { c.closeWithin(c.lingerTimeout) })
}

// closeWithin makes the connection end after timeout at the latest, whatever the caller does.
func (c *caller) closeWithin(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeDeadline = time.Now().Add(timeout)
	c.closing.Store(true)
	c.conn.SetReadDeadline(c.closeDeadline)
}

// setReadDeadline sets when the next bytes must have arrived. The close deadline and a transfer take precedence.
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

// discard reads and drops all data until the connection ends.
func (c *caller) discard(buf *link.Buffer) {
	for {
		buf.Skip(len(buf.Bytes()))
		c.mu.Lock()
		deadline := c.closeDeadline // zero: no deadline until the core closes the connection
		c.conn.SetReadDeadline(deadline)
		c.mu.Unlock()
		if err := buf.Fill(c.conn); err != nil && (!deadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return
		}
	}
}

// errCallerStalled means that a connection can't be transferred because the caller does not read the messages queued for it.
var errCallerStalled = errors.New("caller does not read")

// transferToSuccessor transfers a connection that is read no further to the successor, with the bytes that were read and not yet
// parsed. It reports whether the successor has the connection and, if not, whether this process keeps serving the connection:
// a successor that dies during the transfer must not cost callers their connections.
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
		c.platform.sampledLog.Warn().Err(err).Msg("transfer of a caller's connection failed")
		c.transferring.Store(false)
	}
	for {
		c.mu.Lock()
		effects := c.heldEffects
		if c.heldEffects = nil; len(effects) == 0 { // later effects need not be held
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

// redirect forwards an effect to the successor, or holds the effect while the transfer is under way. It reports false if this
// process has to execute the effect.
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

// HandleEffect sends the message for an effect to the caller, directly or through the successor.
func (c *caller) HandleEffect(e core.Effect) []core.Event {
	if !c.redirect(e) {
		c.writeEffect(e)
	}
	return nil
}

// writeEffect executes an effect on the connection in this process.
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

// rejectionFrame encodes the final answer to a set-up that did not lead to an established call. A retryAfter of 0 is left out.
func rejectionFrame(id core.ID, cause byte, retryAfter time.Duration) []byte {
	params := appendParam(make([]byte, 0, rejectionCapacity), paramCause, cause)
	if retryAfter > 0 {
		params = appendParam(params, paramRetry, strconv.AppendInt(nil, retryAfter.Milliseconds(), 10)...)
	}
	return appendFrame(nil, typeRelease, id, params)
}

// serveCaller serves a new connection of a caller until it ends.
func (p *Platform) serveCaller(conn net.Conn) {
	limits := p.config.Load().CallerConn
	c := p.newCaller(p.loop.NewConnID(), conn, limits)
	p.loop.Attach(c.connID, c, core.CallerUp{Conn: c.connID, Protocol: Protocol})
	p.readCaller(c, limits, nil, false)
}

// Adopt serves a connection that the predecessor has transferred, with the bytes that the predecessor has read and not yet
// parsed. It posts up before it returns, and calls onClosed when the connection has ended.
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

// readCaller reads a caller's messages until the connection ends. unparsed holds bytes that a predecessor has read; hadSetUp
// says whether a set-up has already come on the connection.
//
// A connection on which a message is not complete within the message timeout, or which is idle for the idle timeout, has to be
// closed, as it holds a file descriptor that others need. The core decides when to close it, since a set-up may still be
// pending on the connection; data that arrives before the close is dropped.
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
	var messageDeadline time.Time // when the message being read must be complete, however slowly it arrives; zero: none is being read
	if !hadSetUp || len(unparsed) > 0 {
		messageDeadline = time.Now().Add(limits.MessageTimeout)
	}
	var discardedSetUps map[core.ID]bool // set-ups that were given up before they were posted
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
		if firstRead { // the caller may have left while the connection waited in the backlog or for its transfer
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
			case f.msgType == typeSetUp && (peerClosed || containsGiveUp(buf.Bytes()[size:], f.callID)): // the caller no longer waits for an answer
				if discardedSetUps == nil {
					discardedSetUps = make(map[core.ID]bool)
				}
				discardedSetUps[f.callID] = true
			default:
				err = p.handleFrame(c.connID, c.outbox, f, receivedAt, discardedSetUps[f.callID])
				delete(discardedSetUps, f.callID)
			}
			if err != nil {
				p.sampledLog.Warn().Err(err).Stringer("caller", c.conn.RemoteAddr()).Msg("malformed message from a caller")
				if f.msgType == typeSetUp { // the core refuses a set-up of class -1
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

// containsGiveUp reports whether b, the bytes read after a set-up, contains the release message that gives the set-up up.
func containsGiveUp(b []byte, id core.ID) bool {
	for len(b) >= lengthSize+headerSize {
		if b[lengthSize] == typeRelease && binary.BigEndian.Uint64(b[lengthSize+1:]) == uint64(id) {
			return true
		}
		b = b[min(lengthSize+int(binary.BigEndian.Uint16(b)), len(b)):]
	}
	return false
}

// handleFrame posts the event for a caller's message and answers the message if the protocol requires that. setUpDiscarded
// means that the set-up which a release message ends was never posted.
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
		return fmt.Errorf("unknown message type %d", f.msgType)
	}
	return nil
}

// setUpEvent translates a set-up message. An invalid set-up gets class -1, and the core refuses it. It must not reach a server:
// on a call without an id, servers close the connection with all other calls on it, and other errors cost them work.
func (p *Platform) setUpEvent(conn core.ConnID, f frame, receivedAt core.Time) core.SetUp {
	ev := core.SetUp{ID: f.callID, From: conn, Name: f.class, Tenant: f.tenant, NumberText: f.numberText, Number: numberValue(f.numberText),
		Desc: f.desc, Cell: -1, At: receivedAt}
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
		p.sampledLog.Warn().Str("class", f.class).Str("left", f.timeLeft).Str("extras", f.extras).Msg("invalid set-up refused")
		ev.Class = -1
		return ev
	}
	ev.TimeLeft = time.Duration(timeLeft * float64(time.Millisecond))
	if class.MaxWait > 0 { // no caller waits longer; a claim of days would keep a timer for days
		ev.TimeLeft = min(ev.TimeLeft, class.MaxWait)
	}
	return ev
}

// Exclusive upper limits of values in a valid set-up.
const (
	maxTimeLeft = 1e9     // milliseconds
	maxCells    = 1 << 16 // cell index
)

// numberValue converts a called number to the value that the controller compares: hexadecimal digits to their value, other
// text to a hash. 0 means no number.
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
