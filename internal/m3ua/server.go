package m3ua

import (
	"errors"
	"net"
	"slices"
	"time"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/q850"
	"elmseam/internal/transport"
)

// serverConn is a connection to a server, on which this program acts as an ASP of the server.
type serverConn struct {
	session
	name      string // the server's name
	trunk     *trunk
	connID    core.ConnID   // valid once the association is active
	activated chan struct{} // closed when the association becomes active
	active    bool          // whether the association has become active
}

// errActivationTimeout is the error for an association that ended without another error before it became active.
var errActivationTimeout = errors.New("association did not become active in time")

// Dial connects to a server, activates the association and reads the connection until it ends. Dial is a loop.Dialer.
func (m *M3UA) Dial(e core.Dial) {
	trunk := m.trunks[e.Server]
	if trunk == nil {
		m.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	cfg := m.config.Load()
	conn, err := net.DialTimeout("tcp", e.Address, cfg.ConnectTimeout)
	if err != nil {
		m.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	defer conn.Close()
	s := &serverConn{session: m.newSession(conn, cfg.ServerConn, cfg.ServerQueues), name: e.Server, trunk: trunk, activated: make(chan struct{})}
	s.handleOther = func(msg message, at core.Time) error { return s.handleMessage(msg, e.Address) }
	s.send(msgASPUP)
	activationTimer := time.AfterFunc(cfg.ConnectTimeout, func() {
		select {
		case <-s.activated:
		default:
			conn.Close()
		}
	})
	defer activationTimer.Stop()
	err = s.read()
	if !s.active && (err == nil || errors.Is(err, net.ErrClosed)) { // the activation timer closes the connection
		err = errActivationTimeout
	}
	m.log.Info().Err(err).Str("server", e.Server).Msg("association with server ended")
	if s.active {
		trunk.withLock(func(now time.Time) {
			trunk.conns = slices.DeleteFunc(trunk.conns, func(conn *serverConn) bool { return conn == s })
			trunk.ConnLost(now)
		})
		s.events.Post(core.ServerDown{Server: e.Server, Conn: s.connID, SilentFor: m.loop.Now() - s.lastInputAt})
	} else { // no set-up went out on the connection
		m.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
	}
	s.outbox.Flush() // sends the ERR, if any, that answers the last message
}

// handleMessage handles a message from a server at the given address.
func (s *serverConn) handleMessage(msg message, address string) error {
	switch msg.kind {
	case msgASPUPACK:
		if !s.active {
			s.send(msgASPAC, uint32Param(tagRoutingContext, s.m3ua.RoutingContext))
		}
	case msgASPACACK:
		s.activate(address)
	case msgASPIAACK, msgASPDNACK: // not requested: the server accepts no more set-ups
		s.setPaused(true)
	case msgNTFY:
		status, ok := msg.uint32Value(tagStatus)
		if !ok {
			return &protocolError{errCodeMissingParam, "NTFY without status", false}
		}
		switch status {
		case statusASActive:
			s.setPaused(false)
		case statusASInactive, statusASPending:
			s.setPaused(true)
		}
	case msgDUNA, msgDAVA, msgSCON:
		pointCodes, err := affectedPointCodes(msg)
		if err != nil {
			return err
		}
		for _, pointCode := range pointCodes {
			if pointCode == s.trunk.pointCodes.dpc {
				s.handlePointCodeState(msg)
			}
		}
	case msgDATA:
		if !s.active {
			return unexpectedMessage(msg.kind)
		}
		return s.handleData(msg)
	default:
		return unexpectedMessage(msg.kind)
	}
	return nil
}

// activate attaches the connection to the core, which may then send set-ups to the server. Before that, it sends a REL
// on every circuit whose release the server has not confirmed. It does nothing if the association is active already.
func (s *serverConn) activate(address string) {
	if s.active {
		return
	}
	s.active, s.connID = true, s.m3ua.loop.NewConnID()
	close(s.activated)
	s.trunk.withLock(func(now time.Time) {
		s.sendReleases(s.trunk.Unconfirmed(now))
		s.trunk.conns = append(s.trunk.conns, s)
	})
	s.m3ua.loop.Attach(s.connID, s, core.ServerUp{Server: s.name, Address: address, Conn: s.connID})
	s.events.Post(core.ServerPaused{Server: s.name})
}

// setPaused posts whether the server accepts new set-ups. Before the activation it does nothing, because a server sends
// AS-INACTIVE while an ASP comes up.
func (s *serverConn) setPaused(paused bool) {
	if s.active {
		s.events.Post(core.ServerPaused{Server: s.name, Paused: paused})
	}
}

// handlePointCodeState handles a DUNA (unavailable), DAVA (available) or SCON (congested) about the server's point code.
func (s *serverConn) handlePointCodeState(msg message) {
	switch msg.kind {
	case msgDUNA:
		s.setPaused(true)
	case msgDAVA:
		s.setPaused(false)
	case msgSCON:
		level, _ := msg.uint32Value(tagCongestion) // 0 to 3; without the parameter the point is congested and uses no levels
		if _, ok := msg.paramValue(tagCongestion); !ok {
			level = maxCongestionLevel
		}
		holdBackShare := float64(min(level&0xff, maxCongestionLevel)) / maxCongestionLevel
		report := core.Report{{Metric: elmseam.LoadMetricHoldBackShare, Value: holdBackShare}}
		s.events.Post(core.ServerReport{Server: s.name, Conn: s.connID, Report: report})
	}
}

// maxCongestionLevel is the highest congestion level of an SCON. It stands for a hold-back share of 1.
const maxCongestionLevel = 3

// handleData handles a DATA message, which carries an ISUP message.
func (s *serverConn) handleData(msg message) error {
	circ, isup, err := parseData(msg, s.m3ua.RoutingContext)
	if err != nil {
		return err
	}
	if circ.opc != s.trunk.pointCodes.dpc || circ.dpc != s.trunk.pointCodes.opc {
		return &protocolError{errCodeInvalidParamValue, "point codes do not belong to this route", false}
	}
	isupMsg, err := parseISUP(isup)
	if err != nil {
		return err
	}
	switch isupMsg.kind {
	case isupACM:
	case isupANM:
		var id core.ID
		var ok bool
		s.trunk.withLock(func(time.Time) { id, ok = s.trunk.Answered(circ.cic) })
		if ok {
			s.events.Post(core.ServerAnswer{Server: s.name, Conn: s.connID, ID: id, Desc: isupMsg.desc})
		}
	case isupREL, isupRSC: // an RSC has no cause: its call ends with core.ReasonReset
		var id core.ID
		var ok bool
		s.trunk.withLock(func(time.Time) {
			id, ok = s.trunk.Released(circ.cic)
			s.sendISUP(circ.cic, isupMessage{kind: isupRLC}, nil)
		})
		if ok {
			s.events.Post(core.ServerEnd{
				Server: s.name, Conn: s.connID, ID: id, Reason: q850.ReasonFromCause(isupMsg.cause), Refusal: q850.RefusalFromCause(isupMsg.cause),
			})
		}
	case isupRLC:
		s.trunk.withLock(func(now time.Time) { s.trunk.Confirmed(circ.cic, now) })
	default:
		return &protocolError{errCodeUnexpectedMessage, "ISUP message not expected from a server", false}
	}
	return nil
}

// sendReleases queues a REL on each of some circuits.
func (s *serverConn) sendReleases(cics []uint16) {
	for _, cic := range cics {
		s.sendISUP(cic, isupMessage{kind: isupREL, cause: q850.NormalClearing}, nil)
	}
}

// sendISUP queues an ISUP message on a circuit. If onWritten is not nil, it is called when the message has been written.
func (s *serverConn) sendISUP(cic uint16, isupMsg isupMessage, onWritten func()) {
	isup, err := buildISUP(cic, isupMsg)
	if err != nil {
		s.m3ua.log.Error().Err(err).Msg("ISUP message not sent")
		return
	}
	circ := s.trunk.pointCodes
	circ.cic = cic
	s.outbox.Send(transport.Message{Data: buildData(circ, s.m3ua.NetworkIndicator, s.m3ua.RoutingContext, isup), OnWritten: onWritten})
}

// Close closes the connection.
func (s *serverConn) Close() { s.outbox.Close() }

// Flush waits briefly until the queued messages are written.
func (s *serverConn) Flush() { s.outbox.Flush() }

// HandleEffect sends the ISUP message for an effect to the server. It returns core.NotSent for offers that it could not send
// or could withdraw, and core.EndWritten, if e.Notify asks for it, for an end that needs no message.
func (s *serverConn) HandleEffect(e core.Effect) []core.Event {
	switch e := e.(type) {
	case core.Offer:
		return s.sendSetUp(e)
	case core.End:
		if s.outbox.Withdraw(uint64(e.ID)) {
			return s.freeUnsent(e.ID)
		}
		endWritten := core.EndWritten{Server: s.name, Conn: s.connID, ID: e.ID}
		var onWritten func()
		if e.Notify {
			onWritten = func() { s.m3ua.loop.Post(endWritten) }
		}
		found := false
		s.trunk.withLock(func(now time.Time) {
			var cic uint16
			if cic, found = s.trunk.Release(e.ID, now); found {
				s.sendISUP(cic, isupMessage{kind: isupREL, cause: q850.NormalClearing}, onWritten)
			}
		})
		if !found && e.Notify { // the call has no circuit any more, for example as the server has released it
			return []core.Event{endWritten}
		}
	case core.GracefulClose:
		s.outbox.Finish(s.outbox.Close)
	case core.Withdraw:
		var events []core.Event
		for _, id := range s.outbox.WithdrawAll() {
			events = append(events, s.freeUnsent(core.ID(id))...)
		}
		return events
	}
	return nil
}

// sendSetUp queues the IAM for a set-up on a free circuit. It returns core.NotSent if the class has no category, the
// called number cannot be encoded, the message is too long or no circuit is free. It also repeats the RELs whose
// confirmation is overdue.
func (s *serverConn) sendSetUp(e core.Offer) []core.Event {
	category, hasCategory := s.m3ua.categoryOfClass(e.ClassName)
	cic, allocated := uint16(0), false
	s.trunk.withLock(func(now time.Time) {
		s.sendReleases(s.trunk.Overdue(now, s.m3ua.config.Load().ConfirmTimeout))
		if hasCategory {
			cic, allocated = s.trunk.Allocate(e.ID)
		}
	})
	if !allocated {
		return []core.Event{core.NotSent{Server: s.name, Conn: s.connID, ID: e.ID}}
	}
	isup, err := buildISUP(cic, isupMessage{kind: isupIAM, category: category, digits: e.NumberText, desc: e.Desc})
	circ := s.trunk.pointCodes
	circ.cic = cic
	var data []byte
	if err == nil {
		data = buildData(circ, s.m3ua.NetworkIndicator, s.m3ua.RoutingContext, isup)
	}
	if err != nil || len(data) > s.limits.MaxMessageSize {
		return s.freeUnsent(e.ID)
	}
	queued := s.outbox.Send(transport.Message{
		Data: data, ID: uint64(e.ID), Withdrawable: true, Deadline: s.m3ua.loop.WallTime(e.Until),
		OnWritten: func() { s.m3ua.loop.Post(core.OfferWritten{Server: s.name, ID: e.ID}) },
		OnExpired: func() {
			for _, ev := range s.freeUnsent(e.ID) {
				s.m3ua.loop.Post(ev)
			}
		},
	})
	if !queued {
		return s.freeUnsent(e.ID)
	}
	return nil
}

// freeUnsent frees the circuit of a set-up that was never written, and returns the event for the core.
func (s *serverConn) freeUnsent(id core.ID) []core.Event {
	s.trunk.withLock(func(time.Time) { s.trunk.NotSent(id) })
	return []core.Event{core.NotSent{Server: s.name, Conn: s.connID, ID: id}}
}
