package m3ua

import (
	"net"
	"strconv"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/q850"
	"elmseam/internal/transport"
)

// callerConn is the connection of an older client, which acts as an ASP of this program.
type callerConn struct {
	session
	aspUpTimer *time.Timer // closes the connection if no ASP Up arrives in time
	connID     core.ConnID // valid while the ASP is active
	aspUp      bool        // whether the ASP has sent ASP Up, and no ASP Down since
	active     bool        // whether the ASP is active, as it requested with ASP Active: only then its calls are accepted
}

// Serve accepts and serves callers' connections until the listener is closed. It does not wait for them to end. No other process may serve
// the callers of this softswitch.
func (m *M3UA) Serve(l net.Listener) {
	m.loadCallerCircuits()
	m.acceptor.Serve(l)
}

// serveCaller serves a caller's connection until it ends.
func (m *M3UA) serveCaller(conn net.Conn) {
	cfg := m.config.Load()
	c := &callerConn{session: m.newSession(conn, cfg.CallerConn, cfg.CallerQueues)}
	c.paced = true
	c.handleOther = c.handleMessage
	c.aspUpTimer = time.AfterFunc(c.limits.MessageTimeout, func() { conn.Close() })
	defer c.aspUpTimer.Stop()
	err := c.read()
	m.sampledLog.Info().Err(err).Stringer("caller", conn.RemoteAddr()).Msg("association ended")
	c.deactivate()
	if _, malformed := err.(*protocolError); malformed { // gives the peer time to read the ERR
		c.outbox.Linger(conn)
	}
}

// FreeCircuit frees the circuit of a call whose caller is not notified of the call's end.
func (m *M3UA) FreeCircuit(id core.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if circ, ok := m.circuitByCall[id]; ok {
		m.freeCircuitLocked(circ)
	}
}

// SetServing records whether this signalling point accepts new calls and sends a DAVA or DUNA to all active callers.
func (m *M3UA) SetServing(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = on
	for c := range m.activeCallers {
		c.sendAvailability(on)
	}
}

// sendAvailability sends a DAVA or DUNA for this program's point code. The caller of the method holds m.mu, so that
// these messages go out in the order of the changes.
func (c *callerConn) sendAvailability(available bool) {
	kind := uint16(msgDUNA)
	if available {
		kind = msgDAVA
	}
	c.send(kind, uint32Param(tagRoutingContext, c.m3ua.RoutingContext), uint32Param(tagAffectedPC, c.m3ua.PointCode))
}

// handleMessage handles a message from a caller.
func (c *callerConn) handleMessage(msg message, receivedAt core.Time) error {
	routingContext := uint32Param(tagRoutingContext, c.m3ua.RoutingContext)
	switch msg.kind {
	case msgASPUP:
		c.deactivate()
		c.aspUpTimer.Stop()
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
		if rc, ok := msg.uint32Value(tagRoutingContext); ok && rc != c.m3ua.RoutingContext {
			return &protocolError{errCodeInvalidRoutingContext, "ASP Active for another routing context", false}
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
		c.m3ua.mu.Lock()
		c.sendAvailability(c.m3ua.serving)
		c.m3ua.mu.Unlock()
	case msgDATA:
		if !c.active {
			return unexpectedMessage(msg.kind)
		}
		return c.handleData(msg, receivedAt)
	default:
		return unexpectedMessage(msg.kind)
	}
	return nil
}

// activate attaches the connection to the core, which then accepts the caller's calls. If this signalling point accepts
// no new calls, the caller is sent a DUNA before.
func (c *callerConn) activate() {
	if c.active {
		return
	}
	c.active, c.connID = true, c.m3ua.loop.NewConnID()
	c.m3ua.mu.Lock()
	c.m3ua.activeCallers[c] = true
	if !c.m3ua.serving {
		c.sendAvailability(false)
	}
	c.m3ua.mu.Unlock()
	c.m3ua.loop.Attach(c.connID, &callerEffects{c}, core.CallerUp{Conn: c.connID, Protocol: Protocol})
}

// deactivate detaches the connection from the core, so that no new calls are accepted on it. The client may repeat its
// outstanding set-ups on another association; established calls are released on any active association.
func (c *callerConn) deactivate() {
	if !c.active {
		return
	}
	c.active = false
	c.m3ua.mu.Lock()
	delete(c.m3ua.activeCallers, c)
	c.m3ua.mu.Unlock()
	c.events.Post(core.CallerDown{Conn: c.connID})
}

// handleData handles a DATA message, which carries an ISUP message.
func (c *callerConn) handleData(msg message, receivedAt core.Time) error {
	circ, isup, err := parseData(msg, c.m3ua.RoutingContext)
	if err != nil {
		return err
	}
	isupMsg, err := parseISUP(isup)
	if err != nil {
		return err
	}
	switch isupMsg.kind {
	case isupIAM:
		if !c.peerClosed { // otherwise the client repeats its set-up on another association, or has left
			c.handleSetUp(circ, isupMsg, receivedAt)
		}
	case isupREL, isupRSC: // a client resets its circuits after a restart
		c.m3ua.mu.Lock()
		id, ok := c.m3ua.freeCircuitLocked(circ)
		c.sendISUP(circ.reverse(), isupMessage{kind: isupRLC})
		c.m3ua.mu.Unlock()
		if ok {
			c.events.Post(core.CallerEnd{ID: id, From: c.connID})
		}
	case isupRLC: // the circuit was freed when the REL was sent
	default:
		return &protocolError{errCodeUnexpectedMessage, "ISUP message not expected from a caller", false}
	}
	return nil
}

// handleSetUp assigns the circuit to a new call and posts the call's set-up to the core. A set-up on a circuit that is
// in use repeats the same call after its association was lost, and keeps the call's id.
func (c *callerConn) handleSetUp(circ circuitID, iam isupMessage, receivedAt core.Time) {
	setUp := core.SetUp{
		From: c.connID, Class: c.m3ua.classOfCategory(iam.category), Number: core.NumberValue(iam.digits), NumberText: iam.digits, Desc: iam.desc,
		Cell: -1, At: receivedAt,
	}
	if cell, ok := c.m3ua.Cells[strconv.Itoa(int(circ.dpc))]; ok {
		setUp.Cell = cell
	}
	if setUp.Class >= 0 { // the index is in range: a class keeps its index when the configuration changes
		class := c.m3ua.config.Load().Deployment.Classes[setUp.Class]
		setUp.ClassName, setUp.TimeLeft = class.Name, class.Deadline
	}
	c.m3ua.mu.Lock()
	id, over := c.m3ua.seizeCircuitLocked(circ)
	c.m3ua.mu.Unlock()
	if over != 0 {
		c.events.Post(core.CallerEnd{ID: over, From: c.connID})
	}
	setUp.ID = id
	c.sendISUP(circ.reverse(), isupMessage{kind: isupACM})
	c.events.Post(setUp)
}

// sendISUP queues an ISUP message on a circuit.
func (c *callerConn) sendISUP(circ circuitID, isupMsg isupMessage) {
	isup, err := buildISUP(circ.cic, isupMsg)
	if err != nil {
		c.m3ua.log.Error().Err(err).Msg("ISUP message not sent")
		return
	}
	c.outbox.Send(transport.Message{Data: buildData(circ, c.m3ua.NetworkIndicator, c.m3ua.RoutingContext, isup)})
}

// callerEffects is the loop.EffectHandler of a caller's connection.
type callerEffects struct{ caller *callerConn }

// Close closes the connection.
func (c *callerEffects) Close() { c.caller.outbox.Close() }

// Flush waits briefly until the queued messages are written.
func (c *callerEffects) Flush() { c.caller.outbox.Flush() }

// HandleEffect sends the ISUP message for an effect to the caller. A call's circuit is free once its rejection or
// release is queued.
func (c *callerEffects) HandleEffect(e core.Effect) []core.Event {
	m := c.caller.m3ua
	switch e := e.(type) {
	case core.Answered:
		m.mu.Lock()
		defer m.mu.Unlock()
		if circ, ok := m.circuitByCall[e.ID]; ok {
			c.caller.sendISUP(circ.reverse(), isupMessage{kind: isupANM, desc: e.Desc})
		}
	case core.Rejected:
		c.sendRelease(e.ID, isupMessage{kind: isupREL, cause: int(q850.CauseFromReason(e.Reason)), retryAfter: e.RetryAfter})
	case core.Released:
		c.sendRelease(e.ID, isupMessage{kind: isupREL, cause: int(q850.CauseFromReason(e.Reason))})
	case core.GracefulClose:
		c.caller.outbox.Finish(c.caller.outbox.Close)
	}
	return nil
}

// sendRelease frees the circuit of a call and sends the REL on it, if the call still has a circuit.
func (c *callerEffects) sendRelease(id core.ID, isupMsg isupMessage) {
	m := c.caller.m3ua
	m.mu.Lock()
	defer m.mu.Unlock()
	if circ, ok := m.circuitByCall[id]; ok {
		m.freeCircuitLocked(circ)
		c.caller.sendISUP(circ.reverse(), isupMsg)
	}
}
