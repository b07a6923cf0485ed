package platform

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/q850"
	"elmseam/internal/transport"
)

// callerConn is a connection of a caller. Its methods Close, Flush and HandleEffect make it the loop.EffectHandler of that
// connection; Platform.readCaller receives the caller's messages.
type callerConn struct {
	platform          *Platform
	connID            core.ConnID
	conn              net.Conn
	events            *loop.Source // posts what comes on the connection
	outbox            *transport.Outbox
	lingerTimeout     time.Duration      // longest time between the half-close and the end of the connection
	writeTimeout      time.Duration      // longest time that one write may take
	closingGracefully atomic.Bool        // the connection is being closed gracefully
	transferring      atomic.Bool        // the connection is to be read no further, so that it can be transferred to the successor
	transferOrders    chan core.Transfer // receives the core's order to transfer the connection
	coreClosed        chan struct{}      // closed when the core closes the connection, at once or gracefully

	mu                  sync.Mutex    // guards the fields below
	closeDeadline       time.Time     // when the connection ends at the latest; zero: it is not being closed
	effectsRedirected   bool          // effects are kept in heldEffects or forwarded to the successor, not executed here
	transferred         bool          // the successor has received the connection
	heldEffects         []core.Effect // effects held while effectsRedirected is true and transferred is not
	coreClosedSignalled bool          // the channel coreClosed is closed
}

// newCallerConn returns the callerConn for an open connection.
func (p *Platform) newCallerConn(id core.ConnID, conn net.Conn, limits transport.Limits) *callerConn {
	return &callerConn{
		platform: p, connID: id, conn: conn, events: p.loop.NewSource(), outbox: transport.NewOutbox(conn, limits, p.config.Load().CallerQueues),
		lingerTimeout: limits.LingerTimeout, writeTimeout: limits.WriteTimeout,
		transferOrders: make(chan core.Transfer, 1), coreClosed: make(chan struct{}),
	}
}

// Close closes the connection immediately.
func (c *callerConn) Close() {
	c.signalCoreClosed()
	c.outbox.Close()
}

// signalCoreClosed closes the channel coreClosed, so that transferToSuccessor stops waiting.
func (c *callerConn) signalCoreClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.coreClosedSignalled {
		c.coreClosedSignalled = true
		close(c.coreClosed)
	}
}

// Flush waits for a short, bounded time until all queued messages are written. It does not wait while the transfer of the
// connection to the successor is under way.
func (c *callerConn) Flush() {
	c.mu.Lock()
	awaitingTransfer := c.effectsRedirected && !c.transferred && !c.coreClosedSignalled
	c.mu.Unlock()
	if !awaitingTransfer {
		c.outbox.Flush()
	}
}

// closeGracefully starts to write all queued messages and then half-closes the connection. It does not wait. Meanwhile readCaller
// reads what the caller still sends, and drops all but releases, until the caller closes its side: closing with unread data would reset the
// connection, and the reset would discard messages that the caller has not read yet. Both the writing and the reading have a
// time limit.
func (c *callerConn) closeGracefully() {
	c.closeWithin(c.writeTimeout + c.lingerTimeout)
	c.signalCoreClosed()
	c.outbox.Finish(func() { c.closeWithin(c.lingerTimeout) })
}

// closeWithin makes the connection end after timeout at the latest, whatever the caller does.
func (c *callerConn) closeWithin(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeDeadline = time.Now().Add(timeout)
	c.closingGracefully.Store(true)
	c.conn.SetReadDeadline(c.closeDeadline)
}

// setReadDeadline sets when the next bytes must have arrived. If closeDeadline is set, it applies instead; otherwise, if the
// connection is to be transferred, reading ends at once.
func (c *callerConn) setReadDeadline(deadline time.Time) {
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

// readUntilClosed calls handleInput when there is new data in the buffer, until the connection ends or its close deadline has passed.
func (c *callerConn) readUntilClosed(buf *transport.Buffer, handleInput func()) {
	for {
		handleInput()
		c.mu.Lock()
		deadline := c.closeDeadline // zero: no deadline until the core closes the connection
		c.conn.SetReadDeadline(deadline)
		c.mu.Unlock()
		if err := buf.Fill(c.conn); err != nil && (!deadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return
		}
	}
}

// transferToSuccessor transfers a connection that is read no further to the successor, with the bytes that were read and not yet
// parsed. It reports whether the successor has the connection and, if not, whether this process keeps serving the connection:
// a successor that dies during the transfer must not cost callers their connections.
func (c *callerConn) transferToSuccessor(unparsed []byte) (transferred, keptHere bool) {
	c.events.Post(core.ReadingStopped{Conn: c.connID})
	var transfer core.Transfer
	select {
	case transfer = <-c.transferOrders:
	case <-c.coreClosed:
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
		if c.heldEffects = nil; len(effects) == 0 { // later effects are executed or forwarded at once
			c.transferred, c.effectsRedirected = err == nil, err == nil
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

// redirectEffect forwards an effect to the successor, or holds the effect while the transfer is under way. It reports false if
// this process has to execute the effect.
func (c *callerConn) redirectEffect(e core.Effect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if successor := c.platform.successor.Load(); c.transferred && successor != nil {
		(*successor).ForwardEffect(c.connID, e)
	} else if c.effectsRedirected {
		c.heldEffects = append(c.heldEffects, e)
	}
	return c.effectsRedirected
}

// HandleEffect executes an effect on the connection, holds it during a transfer, or forwards it to the successor that has the
// connection. It returns no events.
func (c *callerConn) HandleEffect(e core.Effect) []core.Event {
	if !c.redirectEffect(e) {
		c.writeEffect(e)
	}
	return nil
}

// writeEffect executes an effect in this process: a message to the caller, a close, or a step of the transfer.
func (c *callerConn) writeEffect(e core.Effect) {
	switch e := e.(type) {
	case core.Answered:
		c.outbox.Send(transport.Message{Data: appendFrame(nil, typeAnswer, e.ID, appendParam(nil, paramDesc, e.Desc...))})
	case core.Rejected:
		c.outbox.Send(transport.Message{Data: rejectionFrame(e.ID, q850.CauseFromReason(e.Reason), e.RetryAfter)})
	case core.Released:
		c.outbox.Send(transport.Message{Data: appendFrame(nil, typeRelease, e.ID, appendParam(nil, paramCause, q850.CauseFromReason(e.Reason)))})
	case core.GracefulClose:
		c.closeGracefully()
	case core.StopReading:
		c.transferring.Store(true)
		c.outbox.Interrupt()
		c.setReadDeadline(time.Now())
	case core.Transfer:
		c.mu.Lock()
		c.effectsRedirected = true
		c.mu.Unlock()
		c.transferOrders <- e
	}
}

// serveCaller serves a new connection of a caller until it ends.
func (p *Platform) serveCaller(conn net.Conn) {
	limits := p.config.Load().CallerConn
	c := p.newCallerConn(p.loop.NewConnID(), conn, limits)
	p.loop.Attach(c.connID, c, core.CallerUp{Conn: c.connID, Protocol: Protocol})
	p.readCaller(c, limits, nil, false)
}

// Adopt serves a connection that the predecessor, the older process of a hand-over, has transferred. unparsed holds the bytes
// that the predecessor has read and not yet parsed. Adopt posts callerUp before it returns. It calls onClosed when this process
// has closed its descriptor: the connection has ended, or the successor has it.
func (p *Platform) Adopt(conn net.Conn, unparsed []byte, callerUp core.CallerUp, onClosed func()) {
	limits := p.config.Load().CallerConn
	c := p.newCallerConn(callerUp.Conn, conn, limits)
	p.loop.Attach(c.connID, c, callerUp)
	p.connsOutsideAcceptor.Add(1)
	go func() {
		defer p.connsOutsideAcceptor.Add(-1)
		defer onClosed()
		defer conn.Close()
		p.readCaller(c, limits, unparsed, callerUp.Used)
	}()
}
