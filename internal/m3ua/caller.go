package m3ua

import (
	"net"
	"strconv"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/link"
	"elmseam/internal/q850"
)

// caller is the connection of an old client, an ASP of ours.
type callerConn struct {
	session
	activationTimer *time.Timer // ends one that doesn't come up
	connID          core.ConnID // while active
	aspUp           bool
	active          bool
}

// Serve serves callers until the listener is closed.
func (m *M3UA) Serve(l net.Listener) {
	link.NewAcceptor(func() int { return m.config.Load().MaxCallers }, func(conn net.Conn) {
		c := &callerConn{session: m.newSession(conn, m.config.Load().CallerConn)}
		c.handler = c.handleMessage
		c.activationTimer = time.AfterFunc(c.limits.MessageTimeout, func() { conn.Close() })
		defer c.activationTimer.Stop()
		err := c.read()
		m.sampledLog.Info().Err(err).Stringer("caller", conn.RemoteAddr()).Msg("association ended")
		c.deactivate()
		if _, malformed := err.(*protocolError); malformed { // the ERR is still to be read
			c.out.Linger(conn)
		}
	}).Serve(l)
}

// FreeCircuit frees the circuit of a call whose caller will not be told of its end.
func (m *M3UA) FreeCircuit(id core.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if circ, ok := m.circuitByCall[id]; ok {
		m.freeLocked(circ)
	}
}

// SetServing tells callers whether this point takes new calls: DAVA or DUNA.
func (m *M3UA) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = on
	for c := range m.active {
		c.sendAvailability(on)
	}
}

func (c *callerConn) sendAvailability(available bool) {
	kind := uint16(msgDUNA)
	if available {
		kind = msgDAVA
	}
	c.send(kind, uint32Param(tagRoutingContext, c.m.RoutingContext), uint32Param(tagAffectedPC, c.m.PointCode))
}

// take handles a caller's message.
func (c *callerConn) handleMessage(msg message, at core.Time) error {
	routingContext := uint32Param(tagRoutingContext, c.m.RoutingContext)
	switch msg.kind {
	case msgASPUP:
		c.deactivate()
		c.activationTimer.Stop()
		c.aspUp = true
		c.send(msgASPUPACK)
		c.send(msgNTFY, uint32Param(tagStatus, statusASInactive), routingContext)
	case msgASPDN:
		c.deactivate()
		c.aspUp = false
		c.send(msgASPDNACK)
	case msgASPAC:
		if !c.aspUp {
			return unexpectedMessage(msg.kind)
		}
		if rc, ok := msg.getUint32(tagRoutingContext); ok && rc != c.m.RoutingContext {
			return &protocolError{errContext, "ASP active for another routing context", false}
		}
		c.send(msgASPACACK, routingContext)
		c.send(msgNTFY, uint32Param(tagStatus, statusASActive), routingContext)
		c.activate()
	case msgASPIA:
		if !c.aspUp {
			return unexpectedMessage(msg.kind)
		}
		c.deactivate()
		c.send(msgASPIAACK, routingContext)
		c.send(msgNTFY, uint32Param(tagStatus, statusASInactive), routingContext)
	case msgDAUD:
		if !c.active {
			return unexpectedMessage(msg.kind)
		}
		c.m.mu.Lock()
		c.sendAvailability(c.m.serving)
		c.m.mu.Unlock()
	case msgDATA:
		if !c.active {
			return unexpectedMessage(msg.kind)
		}
		return c.handleData(msg, at)
	default:
		return unexpectedMessage(msg.kind)
	}
	return nil
}

// activate lets calls in.
func (c *callerConn) activate() {
	if c.active {
		return
	}
	c.active, c.connID = true, c.m.loop.NewConnID()
	c.m.mu.Lock()
	c.m.active[c] = true
	if !c.m.serving {
		c.sendAvailability(false)
	}
	c.m.mu.Unlock()
	c.m.loop.Attach(c.connID, &callerEffects{c}, core.CallerUp{Conn: c.connID, Protocol: Protocol})
}

// deactivate stops new calls at once. Set-ups open here may come again on another association; what stands
// is released on any that is active.
func (c *callerConn) deactivate() {
	if !c.active {
		return
	}
	c.active = false
	c.m.mu.Lock()
	delete(c.m.active, c)
	c.m.mu.Unlock()
	c.m.loop.Post(core.CallerDown{Conn: c.connID})
}

// data handles an ISUP message.
func (c *callerConn) handleData(msg message, at core.Time) error {
	circ, isup, err := parseData(msg, c.m.RoutingContext)
	if err != nil {
		return err
	}
	sig, err := parseISUP(isup)
	if err != nil {
		return err
	}
	switch sig.kind {
	case isupIAM:
		c.handleSetUp(circ, sig, at)
	case isupREL, isupRSC: // after a restart, a client resets its circuits
		c.m.mu.Lock()
		id, ok := c.m.freeLocked(circ)
		c.sendISUP(circ.reverse(), isupMessage{kind: isupRLC})
		c.m.mu.Unlock()
		if ok {
			c.m.loop.Post(core.CallerEnd{ID: id, From: c.connID})
		}
	case isupRLC: // the circuit was freed when it was released
	default:
		return &protocolError{errUnexpected, "an ISUP message that callers don't send", false}
	}
	return nil
}

// setUp takes a circuit for a call. A set-up on a circuit in use is the same call come again after its
// association broke.
func (c *callerConn) handleSetUp(circ circuit, iam isupMessage, at core.Time) {
	setUp := core.SetUp{
		From: c.connID, Class: c.m.classOfCategory(iam.category), Number: hashNumber(iam.digits), NumberText: iam.digits, Desc: iam.desc,
		Cell: -1, At: at,
	}
	if cell, ok := c.m.Cells[strconv.Itoa(int(circ.dpc))]; ok {
		setUp.Cell = cell
	}
	if setUp.Class >= 0 { // places are kept for good
		class := c.m.config.Load().Deployment.Classes[setUp.Class]
		setUp.Name, setUp.TimeLeft = class.Name, class.MaxWait
	}
	c.m.mu.Lock()
	id, ok := c.m.callByCircuit[circ]
	if !ok {
		id = c.m.newID()
		c.m.callByCircuit[circ], c.m.circuitByCall[id] = id, circ
	}
	c.m.mu.Unlock()
	setUp.ID = id
	c.sendISUP(circ.reverse(), isupMessage{kind: isupACM})
	c.m.loop.Post(setUp)
}

// free frees a caller's circuit. The lock is held from here until what follows on the circuit is queued:
// else the answer of a call given up could come behind the RLC, and pass for that of the next call.
func (m *M3UA) freeLocked(circ circuit) (core.ID, bool) {
	id, ok := m.callByCircuit[circ]
	if ok {
		delete(m.callByCircuit, circ)
		delete(m.circuitByCall, id)
	}
	return id, ok
}

// reply writes an ISUP message.
func (c *callerConn) sendISUP(circ circuit, sig isupMessage) {
	isup, err := buildISUP(circ.cic, sig)
	if err != nil {
		c.m.log.Error().Err(err).Msg("message not sent")
		return
	}
	c.out.Post(link.Item{Data: buildData(circ, c.m.NetworkIndicator, c.m.RoutingContext, isup)})
}

// callerSide carries effects out towards a caller.
type callerEffects struct{ conn *callerConn }

func (s *callerEffects) Close() { s.conn.out.Close() }

func (s *callerEffects) Flush() { s.conn.out.Flush() }

// HandleEffect writes an effect for a caller. A call's circuit is free from its final answer or release on.
func (s *callerEffects) HandleEffect(e core.Effect) []core.Event {
	m := s.conn.m
	switch e := e.(type) {
	case core.Answered:
		m.mu.Lock()
		defer m.mu.Unlock()
		if circ, ok := m.circuitByCall[e.ID]; ok {
			s.conn.sendISUP(circ.reverse(), isupMessage{kind: isupANM, desc: e.Desc})
		}
	case core.Rejected:
		s.release(e.ID, isupMessage{kind: isupREL, cause: int(q850.CauseFromReason(e.Reason)), retryAfter: e.RetryAfter})
	case core.Released:
		s.release(e.ID, isupMessage{kind: isupREL, cause: int(q850.CauseFromReason(e.Reason))})
	case core.GracefulClose:
		s.conn.out.Finish(s.conn.out.Close)
	}
	return nil
}

func (s *callerEffects) release(id core.ID, sig isupMessage) {
	m := s.conn.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if circ, ok := m.circuitByCall[id]; ok {
		m.freeLocked(circ)
		s.conn.sendISUP(circ.reverse(), sig)
	}
}
