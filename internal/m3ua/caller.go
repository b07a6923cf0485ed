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
type caller struct {
	session
	late   *time.Timer // ends one that doesn't come up
	link   core.ConnID // while active
	up     bool
	active bool
}

// Serve serves callers until the listener is closed.
func (m *M3UA) Serve(l net.Listener) {
	link.NewAcceptor(func() int { return m.told.Load().MaxCallers }, func(conn net.Conn) {
		c := &caller{session: m.session(conn, m.told.Load().CallerConn)}
		c.handle = c.take
		c.late = time.AfterFunc(c.limits.MessageTimeout, func() { conn.Close() })
		defer c.late.Stop()
		err := c.read()
		m.loud.Info().Err(err).Stringer("caller", conn.RemoteAddr()).Msg("association ended")
		c.deactivate()
		if _, bad := err.(*protocolError); bad { // the ERR is still to be read
			c.out.Linger(conn)
		}
	}).Serve(l)
}

// FreeCircuit frees the circuit of a call whose caller will not be told of its end.
func (m *M3UA) FreeCircuit(id core.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ci, there := m.circuits[id]; there {
		m.free(ci)
	}
}

// SetServing tells callers whether this point takes new calls: DAVA or DUNA.
func (m *M3UA) SetServing(yes bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = yes
	for c := range m.active {
		c.available(yes)
	}
}

func (c *caller) available(yes bool) {
	kind := uint16(msgDUNA)
	if yes {
		kind = msgDAVA
	}
	c.send(kind, number32(tagRoutingContext, c.m.RoutingContext), number32(tagAffectedPC, c.m.PointCode))
}

// take handles a caller's message.
func (c *caller) take(msg message, at core.Time) error {
	context := number32(tagRoutingContext, c.m.RoutingContext)
	switch msg.kind {
	case msgASPUP:
		c.deactivate()
		c.late.Stop()
		c.up = true
		c.send(msgASPUPACK)
		c.send(msgNTFY, number32(tagStatus, statusASInactive), context)
	case msgASPDN:
		c.deactivate()
		c.up = false
		c.send(msgASPDNACK)
	case msgASPAC:
		if !c.up {
			return unknown(msg.kind)
		}
		if rc, there := msg.number(tagRoutingContext); there && rc != c.m.RoutingContext {
			return &protocolError{errContext, "ASP active for another routing context", false}
		}
		c.send(msgASPACACK, context)
		c.send(msgNTFY, number32(tagStatus, statusASActive), context)
		c.activate()
	case msgASPIA:
		if !c.up {
			return unknown(msg.kind)
		}
		c.deactivate()
		c.send(msgASPIAACK, context)
		c.send(msgNTFY, number32(tagStatus, statusASInactive), context)
	case msgDAUD:
		if !c.active {
			return unknown(msg.kind)
		}
		c.m.mu.Lock()
		c.available(c.m.serving)
		c.m.mu.Unlock()
	case msgDATA:
		if !c.active {
			return unknown(msg.kind)
		}
		return c.data(msg, at)
	default:
		return unknown(msg.kind)
	}
	return nil
}

// activate lets calls in.
func (c *caller) activate() {
	if c.active {
		return
	}
	c.active, c.link = true, c.m.loop.NewConnID()
	c.m.mu.Lock()
	c.m.active[c] = true
	if !c.m.serving {
		c.available(false)
	}
	c.m.mu.Unlock()
	c.m.loop.Attach(c.link, &callerSide{c}, core.CallerUp{Conn: c.link, Protocol: Protocol})
}

// deactivate stops new calls at once. Set-ups open here may come again on another association; what stands
// is released on any that is active.
func (c *caller) deactivate() {
	if !c.active {
		return
	}
	c.active = false
	c.m.mu.Lock()
	delete(c.m.active, c)
	c.m.mu.Unlock()
	c.m.loop.Post(core.CallerDown{Conn: c.link})
}

// data handles an ISUP message.
func (c *caller) data(msg message, at core.Time) error {
	ci, isup, err := parseData(msg, c.m.RoutingContext)
	if err != nil {
		return err
	}
	k, err := parseISUP(isup)
	if err != nil {
		return err
	}
	switch k.kind {
	case isupIAM:
		c.setUp(ci, k, at)
	case isupREL, isupRSC: // after a restart, a client resets its circuits
		c.m.mu.Lock()
		id, there := c.m.free(ci)
		c.reply(ci.back(), call{kind: isupRLC})
		c.m.mu.Unlock()
		if there {
			c.m.loop.Post(core.CallerEnd{ID: id, From: c.link})
		}
	case isupRLC: // the circuit was freed when it was released
	default:
		return &protocolError{errUnexpected, "an ISUP message that callers don't send", false}
	}
	return nil
}

// setUp takes a circuit for a call. A set-up on a circuit in use is the same call come again after its
// association broke.
func (c *caller) setUp(ci circuit, k call, at core.Time) {
	ev := core.SetUp{
		From: c.link, Class: c.m.classOf(k.category), Number: number(k.digits), NumberText: k.digits, Desc: k.desc,
		Cell: -1, At: at,
	}
	if cell, there := c.m.Cells[strconv.Itoa(int(ci.dpc))]; there {
		ev.Cell = cell
	}
	if ev.Class >= 0 { // places are kept for good
		class := c.m.told.Load().Deployment.Classes[ev.Class]
		ev.Name, ev.TimeLeft = class.Name, class.MaxWait
	}
	c.m.mu.Lock()
	id, there := c.m.inbound[ci]
	if !there {
		id = c.m.newID()
		c.m.inbound[ci], c.m.circuits[id] = id, ci
	}
	c.m.mu.Unlock()
	ev.ID = id
	c.reply(ci.back(), call{kind: isupACM})
	c.m.loop.Post(ev)
}

// free frees a caller's circuit. The lock is held from here until what follows on the circuit is queued:
// else the answer of a call given up could come behind the RLC, and pass for that of the next call.
func (m *M3UA) free(ci circuit) (core.ID, bool) {
	id, there := m.inbound[ci]
	if there {
		delete(m.inbound, ci)
		delete(m.circuits, id)
	}
	return id, there
}

// reply writes an ISUP message.
func (c *caller) reply(ci circuit, k call) {
	isup, err := appendISUP(ci.cic, k)
	if err != nil {
		c.m.log.Error().Err(err).Msg("message not sent")
		return
	}
	c.out.Post(link.Item{Data: dataMessage(ci, c.m.NetworkIndicator, c.m.RoutingContext, isup)})
}

// callerSide carries effects out towards a caller.
type callerSide struct{ c *caller }

func (s *callerSide) Close() { s.c.out.Close() }

func (s *callerSide) Flush() { s.c.out.Flush() }

// HandleEffect writes an effect for a caller. A call's circuit is free from its final answer or release on.
func (s *callerSide) HandleEffect(e core.Effect) []core.Event {
	m := s.c.m
	switch e := e.(type) {
	case core.Answered:
		m.mu.Lock()
		defer m.mu.Unlock()
		if ci, there := m.circuits[e.ID]; there {
			s.c.reply(ci.back(), call{kind: isupANM, desc: e.Desc})
		}
	case core.Rejected:
		s.release(e.ID, call{kind: isupREL, cause: int(q850.CauseFromReason(e.Reason)), retry: e.RetryAfter})
	case core.Released:
		s.release(e.ID, call{kind: isupREL, cause: int(q850.CauseFromReason(e.Reason))})
	case core.GracefulClose:
		s.c.out.Finish(s.c.out.Close)
	}
	return nil
}

func (s *callerSide) release(id core.ID, k call) {
	m := s.c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if ci, there := m.circuits[id]; there {
		m.free(ci)
		s.c.reply(ci.back(), k)
	}
}
