package m3ua

import (
	"errors"
	"net"
	"sync"
	"time"

	"elmseam"
	"elmseam/internal/circuits"
	"elmseam/internal/core"
	"elmseam/internal/link"
	"elmseam/internal/q850"
)

// trunk is the circuits to one server, under a lock: the loop and the connection both change them.
type trunk struct {
	route circuit
	mu    sync.Mutex
	*circuits.Circuits
}

func newTrunk(route circuit, circuitCount int) *trunk {
	return &trunk{route: route, Circuits: circuits.New(circuitCount)}
}

// do changes the circuits.
func (t *trunk) withLock(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(time.Now())
}

// server is a connection to a server, as an ASP of its.
type serverConn struct {
	session
	name      string
	trunk     *trunk
	connID    core.ConnID
	activated chan struct{} // closed once active
	active    bool
}

var errActivationTimeout = errors.New("not active in time")

// Dial makes a connection to a server, becomes active there and reads it to its end. It is a loop.Dialer.
func (m *M3UA) Dial(e core.Dial) {
	trunk := m.trunks[e.Server]
	if trunk == nil {
		m.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	cfg := m.config.Load()
	conn, err := net.DialTimeout("tcp", e.Address, cfg.DialTimeout)
	if err != nil {
		m.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	defer conn.Close()
	s := &serverConn{session: m.newSession(conn, cfg.ServerConn), name: e.Server, trunk: trunk, activated: make(chan struct{})}
	s.handler = func(msg message, at core.Time) error { return s.handleMessage(msg, e.Address) }
	s.send(msgASPUP)
	activationTimer := time.AfterFunc(cfg.DialTimeout, func() {
		select {
		case <-s.activated:
		default:
			conn.Close()
		}
	})
	defer activationTimer.Stop()
	err = s.read()
	if !s.active && err == nil {
		err = errActivationTimeout
	}
	m.log.Info().Err(err).Str("server", e.Server).Msg("association with server ended")
	trunk.withLock(trunk.ConnLost)
	m.loop.Post(core.ServerDown{Server: e.Server, Conn: s.connID})
	s.out.Flush() // what is wrong with its messages
}

// take handles a server's message.
func (s *serverConn) handleMessage(msg message, address string) error {
	switch msg.kind {
	case msgASPUPACK:
		if !s.active {
			s.send(msgASPAC, uint32Param(tagRoutingContext, s.m.RoutingContext))
		}
	case msgASPACACK:
		s.activate(address)
	case msgASPIAACK, msgASPDNACK: // unasked: the server takes no more
		s.setPaused(true)
	case msgNTFY:
		status, ok := msg.getUint32(tagStatus)
		if !ok {
			return &protocolError{errMissingParam, "NTFY without status", false}
		}
		switch status {
		case statusASActive:
			s.setPaused(false)
		case statusASInactive, statusASPending:
			s.setPaused(true)
		}
	case msgDUNA, msgDAVA, msgSCON:
		pcs, err := affectedPointCodes(msg)
		if err != nil {
			return err
		}
		for _, pc := range pcs {
			if pc == s.trunk.route.dpc {
				s.handleState(msg)
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

// activate lets calls out. Circuits whose release was not confirmed are released again first.
func (s *serverConn) activate(address string) {
	if s.active {
		return
	}
	s.active, s.connID = true, s.m.loop.NewConnID()
	close(s.activated)
	s.trunk.withLock(func(now time.Time) {
		for _, cic := range s.trunk.Unconfirmed(now) {
			s.sendISUP(cic, isupMessage{kind: isupREL, cause: q850.NormalClearing}, nil)
		}
	})
	s.m.loop.Attach(s.connID, s, core.ServerUp{Server: s.name, Address: address, Conn: s.connID})
	s.m.loop.Post(core.ServerPaused{Server: s.name})
}

// pause is ignored before the first activation: a server says AS-INACTIVE while an ASP comes up.
func (s *serverConn) setPaused(paused bool) {
	if s.active {
		s.m.loop.Post(core.ServerPaused{Server: s.name, Paused: paused})
	}
}

// state takes in what is said of the server's point code.
func (s *serverConn) handleState(msg message) {
	switch msg.kind {
	case msgDUNA:
		s.setPaused(true)
	case msgDAVA:
		s.setPaused(false)
	case msgSCON:
		level, _ := msg.getUint32(tagCongestion) // 0 to 3; absent: congested, with no levels in use
		if _, ok := msg.get(tagCongestion); !ok {
			level = maxCongestionLevel
		}
		holdBackShare := float64(min(level&0xff, maxCongestionLevel)) / maxCongestionLevel
		report := core.Report{{Metric: elmseam.LoadMetricHoldBackShare, Value: holdBackShare}}
		s.m.loop.Post(core.ServerReport{Server: s.name, Conn: s.connID, Report: report})
	}
}

const maxCongestionLevel = 3

// data handles an ISUP message.
func (s *serverConn) handleData(msg message) error {
	circ, isup, err := parseData(msg, s.m.RoutingContext)
	if err != nil {
		return err
	}
	if circ.opc != s.trunk.route.dpc || circ.dpc != s.trunk.route.opc {
		return &protocolError{errParamValue, "point codes that are not this route's", false}
	}
	sig, err := parseISUP(isup)
	if err != nil {
		return err
	}
	switch sig.kind {
	case isupACM:
	case isupANM:
		var id core.ID
		var ok bool
		s.trunk.withLock(func(time.Time) { id, ok = s.trunk.Answered(circ.cic) })
		if ok {
			s.m.loop.Post(core.ServerAnswer{Server: s.name, Conn: s.connID, ID: id, Desc: sig.desc})
		}
	case isupREL, isupRSC: // a circuit reset has no cause: the call on it is cut
		var id core.ID
		var ok bool
		s.trunk.withLock(func(time.Time) {
			id, ok = s.trunk.Released(circ.cic)
			s.sendISUP(circ.cic, isupMessage{kind: isupRLC}, nil)
		})
		if ok {
			s.m.loop.Post(core.ServerEnd{
				Server: s.name, Conn: s.connID, ID: id, Reason: q850.ReasonFromCause(sig.cause), Refusal: q850.RefusalFromCause(sig.cause),
			})
		}
	case isupRLC:
		s.trunk.withLock(func(now time.Time) { s.trunk.Confirmed(circ.cic, now) })
	default:
		return &protocolError{errUnexpected, "an ISUP message that servers don't send", false}
	}
	return nil
}

// write writes an ISUP message on a circuit.
func (s *serverConn) sendISUP(cic uint16, sig isupMessage, onWritten func()) {
	isup, err := buildISUP(cic, sig)
	if err != nil {
		s.m.log.Error().Err(err).Msg("message not sent")
		return
	}
	circ := s.trunk.route
	circ.cic = cic
	s.out.Post(link.Item{Data: buildData(circ, s.m.NetworkIndicator, s.m.RoutingContext, isup), OnWritten: onWritten})
}

func (s *serverConn) Close() { s.out.Close() }

func (s *serverConn) Flush() { s.out.Flush() }

// HandleEffect writes an effect for a server.
func (s *serverConn) HandleEffect(e core.Effect) []core.Event {
	switch e := e.(type) {
	case core.Offer:
		return s.sendSetUp(e)
	case core.End:
		if s.out.Retract(uint64(e.ID)) {
			return s.notSent(e.ID)
		}
		written := core.EndWritten{Server: s.name, Conn: s.connID, ID: e.ID}
		var onWritten func()
		if e.Notify {
			onWritten = func() { s.m.loop.Post(written) }
		}
		found := false
		s.trunk.withLock(func(now time.Time) {
			var cic uint16
			if cic, found = s.trunk.Release(e.ID, now); found {
				s.sendISUP(cic, isupMessage{kind: isupREL, cause: q850.NormalClearing}, onWritten)
			}
		})
		if !found && e.Notify { // released by the server meanwhile
			return []core.Event{written}
		}
	case core.GracefulClose:
		s.out.Finish(s.out.Close)
	case core.Withdraw:
		var events []core.Event
		for _, id := range s.out.RetractAll() {
			events = append(events, s.notSent(core.ID(id))...)
		}
		return events
	}
	return nil
}

// offer writes a set-up. A class or a number that has no form here is not sent, and neither is a call for
// which no circuit is free.
func (s *serverConn) sendSetUp(e core.Offer) []core.Event {
	category, hasCategory := s.m.categoryOfClass(e.Class)
	cic, allocated := uint16(0), false
	s.trunk.withLock(func(now time.Time) {
		for _, cic := range s.trunk.Overdue(now, s.m.config.Load().ConfirmTimeout) {
			s.sendISUP(cic, isupMessage{kind: isupREL, cause: q850.NormalClearing}, nil)
		}
		if hasCategory {
			cic, allocated = s.trunk.Allocate(e.ID)
		}
	})
	if !allocated {
		return []core.Event{core.NotSent{Server: s.name, Conn: s.connID, ID: e.ID}}
	}
	isup, err := buildISUP(cic, isupMessage{kind: isupIAM, category: category, digits: e.NumberText, desc: e.Desc})
	circ := s.trunk.route
	circ.cic = cic
	var data []byte
	if err == nil {
		data = buildData(circ, s.m.NetworkIndicator, s.m.RoutingContext, isup)
	}
	if err != nil || len(data) > s.limits.MaxMessageSize {
		return s.notSent(e.ID)
	}
	s.out.Post(link.Item{
		Data: data, ID: uint64(e.ID), Retractable: true, Deadline: s.m.loop.WallTime(e.Until),
		OnWritten: func() { s.m.loop.Post(core.OfferWritten{Server: s.name, ID: e.ID}) },
		OnExpired: func() {
			for _, ev := range s.notSent(e.ID) {
				s.m.loop.Post(ev)
			}
		},
	})
	return nil
}

// notSent frees the circuit of a set-up that never left.
func (s *serverConn) notSent(id core.ID) []core.Event {
	s.trunk.withLock(func(time.Time) { s.trunk.NotSent(id) })
	return []core.Event{core.NotSent{Server: s.name, Conn: s.connID, ID: id}}
}
