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
	base circuit
	mu   sync.Mutex
	*circuits.Circuits
}

func newTrunk(base circuit, n int) *trunk { return &trunk{base: base, Circuits: circuits.New(n)} }

// do changes the circuits.
func (t *trunk) do(change func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(time.Now())
}

// server is a connection to a server, as an ASP of its.
type server struct {
	session
	name   string
	trunk  *trunk
	link   core.ConnID
	up     chan struct{} // closed once active
	active bool
}

var errLate = errors.New("not active in time")

// Dial makes a connection to a server, becomes active there and reads it to its end. It is a loop.Dialer.
func (m *M3UA) Dial(e core.Dial) {
	t := m.trunks[e.Server]
	if t == nil {
		m.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	told := m.told.Load()
	conn, err := net.DialTimeout("tcp", e.Address, told.DialTimeout)
	if err != nil {
		m.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	defer conn.Close()
	s := &server{session: m.session(conn, told.ServerConn), name: e.Server, trunk: t, up: make(chan struct{})}
	s.handle = func(msg message, at core.Time) error { return s.take(msg, e.Address) }
	s.send(msgASPUP)
	late := time.AfterFunc(told.DialTimeout, func() {
		select {
		case <-s.up:
		default:
			conn.Close()
		}
	})
	defer late.Stop()
	err = s.read()
	if !s.active && err == nil {
		err = errLate
	}
	m.log.Info().Err(err).Str("server", e.Server).Msg("association with server ended")
	t.do(t.ConnLost)
	m.loop.Post(core.ServerDown{Server: e.Server, Conn: s.link})
	s.out.Flush() // what is wrong with its messages
}

// take handles a server's message.
func (s *server) take(msg message, address string) error {
	switch msg.kind {
	case msgASPUPACK:
		if !s.active {
			s.send(msgASPAC, number32(tagRoutingContext, s.m.RoutingContext))
		}
	case msgASPACACK:
		s.activate(address)
	case msgASPIAACK, msgASPDNACK: // unasked: the server takes no more
		s.pause(true)
	case msgNTFY:
		status, ok := msg.number(tagStatus)
		if !ok {
			return &protocolError{errMissingParam, "NTFY without status", false}
		}
		switch status {
		case statusASActive:
			s.pause(false)
		case statusASInactive, statusASPending:
			s.pause(true)
		}
	case msgDUNA, msgDAVA, msgSCON:
		pcs, err := affected(msg)
		if err != nil {
			return err
		}
		for _, pc := range pcs {
			if pc == s.trunk.base.dpc {
				s.state(msg)
			}
		}
	case msgDATA:
		if !s.active {
			return unknown(msg.kind)
		}
		return s.data(msg)
	default:
		return unknown(msg.kind)
	}
	return nil
}

// activate lets calls out. Circuits whose release was not confirmed are released again first.
func (s *server) activate(address string) {
	if s.active {
		return
	}
	s.active, s.link = true, s.m.loop.NewConnID()
	close(s.up)
	s.trunk.do(func(now time.Time) {
		for _, cic := range s.trunk.Unconfirmed(now) {
			s.write(cic, call{kind: isupREL, cause: q850.NormalClearing}, nil)
		}
	})
	s.m.loop.Attach(s.link, s, core.ServerUp{Server: s.name, Address: address, Conn: s.link})
	s.m.loop.Post(core.ServerPaused{Server: s.name})
}

// pause is ignored before the first activation: a server says AS-INACTIVE while an ASP comes up.
func (s *server) pause(yes bool) {
	if s.active {
		s.m.loop.Post(core.ServerPaused{Server: s.name, Paused: yes})
	}
}

// state takes in what is said of the server's point code.
func (s *server) state(msg message) {
	switch msg.kind {
	case msgDUNA:
		s.pause(true)
	case msgDAVA:
		s.pause(false)
	case msgSCON:
		level, _ := msg.number(tagCongestion) // 0 to 3; absent: congested, with no levels in use
		if _, there := msg.get(tagCongestion); !there {
			level = maxCongestion
		}
		share := float64(min(level&0xff, maxCongestion)) / maxCongestion
		report := core.Report{{Metric: elmseam.LoadMetricHoldBackShare, Value: share}}
		s.m.loop.Post(core.ServerReport{Server: s.name, Conn: s.link, Report: report})
	}
}

const maxCongestion = 3

// data handles an ISUP message.
func (s *server) data(msg message) error {
	ci, isup, err := parseData(msg, s.m.RoutingContext)
	if err != nil {
		return err
	}
	if ci.opc != s.trunk.base.dpc || ci.dpc != s.trunk.base.opc {
		return &protocolError{errParamValue, "point codes that are not this route's", false}
	}
	k, err := parseISUP(isup)
	if err != nil {
		return err
	}
	switch k.kind {
	case isupACM:
	case isupANM:
		var id core.ID
		var there bool
		s.trunk.do(func(time.Time) { id, there = s.trunk.Answered(ci.cic) })
		if there {
			s.m.loop.Post(core.ServerAnswer{Server: s.name, Conn: s.link, ID: id, Desc: k.desc})
		}
	case isupREL, isupRSC: // a circuit reset has no cause: the call on it is cut
		var id core.ID
		var there bool
		s.trunk.do(func(time.Time) {
			id, there = s.trunk.Released(ci.cic)
			s.write(ci.cic, call{kind: isupRLC}, nil)
		})
		if there {
			s.m.loop.Post(core.ServerEnd{
				Server: s.name, Conn: s.link, ID: id, Reason: q850.ReasonFromCause(k.cause), Refusal: q850.RefusalFromCause(k.cause),
			})
		}
	case isupRLC:
		s.trunk.do(func(now time.Time) { s.trunk.Confirmed(ci.cic, now) })
	default:
		return &protocolError{errUnexpected, "an ISUP message that servers don't send", false}
	}
	return nil
}

// write writes an ISUP message on a circuit.
func (s *server) write(cic uint16, k call, done func()) {
	isup, err := appendISUP(cic, k)
	if err != nil {
		s.m.log.Error().Err(err).Msg("message not sent")
		return
	}
	ci := s.trunk.base
	ci.cic = cic
	s.out.Post(link.Item{Data: dataMessage(ci, s.m.NetworkIndicator, s.m.RoutingContext, isup), OnWritten: done})
}

func (s *server) Close() { s.out.Close() }

func (s *server) Flush() { s.out.Flush() }

// HandleEffect writes an effect for a server.
func (s *server) HandleEffect(e core.Effect) []core.Event {
	switch e := e.(type) {
	case core.Offer:
		return s.offer(e)
	case core.End:
		if s.out.Retract(uint64(e.ID)) {
			return s.notSent(e.ID)
		}
		written := core.EndWritten{Server: s.name, Conn: s.link, ID: e.ID}
		var done func()
		if e.Notify {
			done = func() { s.m.loop.Post(written) }
		}
		there := false
		s.trunk.do(func(now time.Time) {
			var cic uint16
			if cic, there = s.trunk.Release(e.ID, now); there {
				s.write(cic, call{kind: isupREL, cause: q850.NormalClearing}, done)
			}
		})
		if !there && e.Notify { // released by the server meanwhile
			return []core.Event{written}
		}
	case core.GracefulClose:
		s.out.Finish(s.out.Close)
	case core.Withdraw:
		var back []core.Event
		for _, id := range s.out.RetractAll() {
			back = append(back, s.notSent(core.ID(id))...)
		}
		return back
	}
	return nil
}

// offer writes a set-up. A class or a number that has no form here is not sent, and neither is a call for
// which no circuit is free.
func (s *server) offer(e core.Offer) []core.Event {
	category, known := s.m.category(e.Class)
	cic, ok := uint16(0), false
	s.trunk.do(func(now time.Time) {
		for _, cic := range s.trunk.Overdue(now, s.m.told.Load().ConfirmTimeout) {
			s.write(cic, call{kind: isupREL, cause: q850.NormalClearing}, nil)
		}
		if known {
			cic, ok = s.trunk.Allocate(e.ID)
		}
	})
	if !ok {
		return []core.Event{core.NotSent{Server: s.name, Conn: s.link, ID: e.ID}}
	}
	isup, err := appendISUP(cic, call{kind: isupIAM, category: category, digits: e.NumberText, desc: e.Desc})
	ci := s.trunk.base
	ci.cic = cic
	var data []byte
	if err == nil {
		data = dataMessage(ci, s.m.NetworkIndicator, s.m.RoutingContext, isup)
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
func (s *server) notSent(id core.ID) []core.Event {
	s.trunk.do(func(time.Time) { s.trunk.NotSent(id) })
	return []core.Event{core.NotSent{Server: s.name, Conn: s.link, ID: id}}
}
