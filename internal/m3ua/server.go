package m3ua

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/link"
	"elmseam/internal/q850"
)

// trunk is the circuits to one server. They outlive the connection: a call that stands keeps its circuit,
// and one that was released is not used again before the server has said so.
type trunk struct {
	mu       sync.Mutex
	base     circuit
	next     int
	ids      []core.ID // by circuit
	state    []use
	since    []time.Time // of the release, while it is not confirmed
	swept    time.Time   // when that was last looked at
	circuits map[core.ID]uint16
}

type use uint8

const (
	free use = iota
	calling
	standing
	releasing // until the server's RLC
)

func newTrunk(base circuit, n int) *trunk {
	return &trunk{base: base, ids: make([]core.ID, n), state: make([]use, n), since: make([]time.Time, n), circuits: make(map[core.ID]uint16)}
}

// take finds a free circuit for a call.
func (t *trunk) take(id core.ID) (cic uint16, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range t.state {
		i := t.next
		if t.next++; t.next == len(t.state) {
			t.next = 0
		}
		if t.state[i] == free {
			t.state[i], t.ids[i], t.circuits[id] = calling, id, uint16(i)
			return uint16(i), true
		}
	}
	return 0, false
}

// move changes a call's circuit from one of some states to another and says which circuit that is.
func (t *trunk) move(id core.ID, to use, from ...use) (cic uint16, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cic, there := t.circuits[id]
	for _, f := range from {
		if there && t.state[cic] == f {
			t.set(cic, to)
			return cic, true
		}
	}
	return 0, false
}

// set must be called with the lock held.
func (t *trunk) set(cic uint16, to use) {
	if t.state[cic] = to; to == releasing {
		t.since[cic] = time.Now()
	}
	if to == free || to == releasing {
		if t.circuits[t.ids[cic]] == cic {
			delete(t.circuits, t.ids[cic])
		}
	}
}

// call is the call on a circuit, if it is in one of the states.
func (t *trunk) call(cic uint16, states ...use) (core.ID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if int(cic) >= len(t.state) {
		return 0, false
	}
	for _, s := range states {
		if t.state[cic] == s {
			return t.ids[cic], true
		}
	}
	return 0, false
}

// cleared frees a circuit if it is in one of the states, and says which call was on it. A release that crosses
// ours leaves the circuit in use until the server has heard of ours too.
func (t *trunk) cleared(cic uint16, from ...use) (core.ID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if int(cic) >= len(t.state) || !slices.Contains(from, t.state[cic]) {
		return 0, false
	}
	id := t.ids[cic]
	t.set(cic, free)
	return id, true
}

// broken gives the set-ups up that were open on a connection, and returns all circuits whose release the
// server has not confirmed.
func (t *trunk) broken() (unconfirmed []uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range t.state {
		if s == calling {
			t.set(uint16(i), releasing)
		}
		if t.state[i] == releasing {
			unconfirmed = append(unconfirmed, uint16(i))
		}
	}
	return unconfirmed
}

// overdue are the circuits whose release the server has not confirmed for so long: it may have lost that, or never
// answered, and a circuit would be lost for good with each. They are to be released again.
func (t *trunk) overdue(after time.Duration) (cics []uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.swept) < after {
		return nil
	}
	t.swept = now
	for i, s := range t.state {
		if s == releasing && now.Sub(t.since[i]) >= after {
			t.since[i] = now
			cics = append(cics, uint16(i))
		}
	}
	return cics
}

// server is a connection to a server, as an ASP of its.
type server struct {
	session
	name   string
	trunk  *trunk
	link   core.Link
	up     chan struct{} // closed once active
	active bool
}

var errLate = errors.New("not active in time")

// Dial makes a connection to a server, becomes active there and reads it to its end. It is a loop.Dialer.
func (m *M3UA) Dial(e core.Dial) {
	t := m.trunks[e.Server]
	if t == nil {
		m.loop.Post(core.ServerDown{Server: e.Server})
		return
	}
	told := m.told.Load()
	conn, err := net.DialTimeout("tcp", e.Address, told.Dial)
	if err != nil {
		m.loop.Post(core.ServerDown{Server: e.Server})
		return
	}
	defer conn.Close()
	s := &server{session: m.session(conn, told.ServerLink), name: e.Server, trunk: t, up: make(chan struct{})}
	s.handle = func(msg message, at core.Time) error { return s.take(msg, e.Address) }
	s.send(msgASPUP)
	late := time.AfterFunc(told.Dial, func() {
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
	t.broken()
	m.loop.Post(core.ServerDown{Server: e.Server, Link: s.link})
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
	s.active, s.link = true, s.m.loop.NewLink()
	close(s.up)
	for _, cic := range s.trunk.broken() {
		s.write(cic, call{kind: isupREL, cause: q850.NormalClearing}, nil)
	}
	s.m.loop.Attach(s.link, s, core.ServerUp{Server: s.name, Address: address, Link: s.link})
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
		figures := s.m.told.Load().Report
		report := make(elmseam.Report, len(figures))
		for i, f := range figures {
			if report[i] = -1; f == elmseam.FigureShare {
				report[i] = share
			}
		}
		s.m.loop.Post(core.ServerReport{Server: s.name, Link: s.link, Report: report})
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
		if id, there := s.trunk.call(ci.cic, calling); there {
			s.trunk.move(id, standing, calling)
			s.m.loop.Post(core.ServerAnswer{Server: s.name, Link: s.link, ID: id, Desc: k.desc})
		}
	case isupREL, isupRSC: // a circuit reset has no cause: the call on it is cut
		id, there := s.trunk.cleared(ci.cic, calling, standing)
		s.write(ci.cic, call{kind: isupRLC}, nil)
		if there {
			s.m.loop.Post(core.ServerEnd{
				Server: s.name, Link: s.link, ID: id, Reason: q850.FromServer(k.cause), Refusal: q850.RefusalOf(k.cause),
			})
		}
	case isupRLC:
		s.trunk.cleared(ci.cic, releasing)
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
	s.out.Post(link.Item{Data: dataMessage(ci, s.m.Network, s.m.RoutingContext, isup), Done: done})
}

func (s *server) Close() { s.out.Close() }

func (s *server) Flush() { s.out.Flush() }

// Carry writes an effect for a server.
func (s *server) Carry(e core.Effect) []core.Event {
	switch e := e.(type) {
	case core.Offer:
		return s.offer(e)
	case core.End:
		if s.out.TakeBack(uint64(e.ID)) {
			return s.notSent(e.ID)
		}
		cic, there := s.trunk.move(e.ID, releasing, calling, standing)
		written := core.Written{Server: s.name, ID: e.ID}
		switch {
		case there && e.Tell:
			s.write(cic, call{kind: isupREL, cause: q850.NormalClearing}, func() { s.m.loop.Post(written) })
		case there:
			s.write(cic, call{kind: isupREL, cause: q850.NormalClearing}, nil)
		case e.Tell: // released by the server meanwhile
			return []core.Event{written}
		}
	case core.Withdraw:
		var back []core.Event
		for _, id := range s.out.Withdraw() {
			back = append(back, s.notSent(core.ID(id))...)
		}
		return back
	}
	return nil
}

// offer writes a set-up. A class or a number that has no form here is not sent, and neither is a call for
// which no circuit is free.
func (s *server) offer(e core.Offer) []core.Event {
	for _, cic := range s.trunk.overdue(s.m.told.Load().Confirm) {
		s.write(cic, call{kind: isupREL, cause: q850.NormalClearing}, nil)
	}
	category, known := s.m.category(e.Class)
	cic, ok := uint16(0), false
	if known {
		cic, ok = s.trunk.take(e.ID)
	}
	if !ok {
		return []core.Event{core.NotSent{Server: s.name, ID: e.ID}}
	}
	isup, err := appendISUP(cic, call{kind: isupIAM, category: category, digits: e.Key, desc: e.Desc})
	ci := s.trunk.base
	ci.cic = cic
	var data []byte
	if err == nil {
		data = dataMessage(ci, s.m.Network, s.m.RoutingContext, isup)
	}
	if err != nil || len(data) > s.limits.Message {
		return s.notSent(e.ID)
	}
	s.out.Post(link.Item{
		Data: data, ID: uint64(e.ID), Offer: true, Until: s.m.loop.When(e.Until),
		Done: func() { s.m.loop.Post(core.Sent{Server: s.name, ID: e.ID}) },
		Lapse: func() {
			for _, ev := range s.notSent(e.ID) {
				s.m.loop.Post(ev)
			}
		},
	})
	return nil
}

// notSent frees the circuit of a set-up that never left.
func (s *server) notSent(id core.ID) []core.Event {
	s.trunk.move(id, free, calling)
	return []core.Event{core.NotSent{Server: s.name, ID: id}}
}
