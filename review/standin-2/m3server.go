package main

import (
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// m3Server is the stand-in for an activation server that speaks M3UA-style signalling. Its circuits belong to the pair of point codes and
// outlive each association, as in ISUP. It acts as ITU-T Q.764 asks: a REL on any circuit is confirmed by an RLC; an IAM on a circuit with a
// call that stands is unexpected and discarded; a REL of its own is repeated until its RLC comes, on the next association too.
type m3Server struct {
	name    string
	own     uint32        // point code
	peer    uint32        // point code of the softswitch
	hold    time.Duration // from the answer to the server's release
	backlog *net.TCPListener

	mu       sync.Mutex
	vanished bool
	links    []net.Conn // active associations, the oldest first
	circuits map[uint16]*m3Call
	calls    map[uint64]*m3Call // by id, the last one of each
}

// m3Call is a call at the server. Zero times: it has not happened.
type m3Call struct {
	id         uint64
	cic        uint16
	desc       string
	answeredAt time.Time
	endedAt    time.Time // the call is over at the server
	endedBy    string    // "softswitch" or "server"
	confirmed  bool      // the softswitch has confirmed the server's REL
}

// startM3Server starts a server on an address.
func startM3Server(name, address string, own, peer uint32, hold time.Duration) (*m3Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &m3Server{name: name, own: own, peer: peer, hold: hold, backlog: l.(*net.TCPListener), circuits: make(map[uint16]*m3Call), calls: make(map[uint64]*m3Call)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			vanished := s.vanished
			s.mu.Unlock()
			if vanished { // fills the place of a connection that never comes up: held, silent
				continue
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// vanish makes the server silent: open connections stay open and bring nothing, and new ones never come up.
func (s *m3Server) vanish() error {
	s.mu.Lock()
	s.vanished = true
	for _, call := range s.calls {
		if call.endedAt.IsZero() {
			call.endedAt, call.endedBy = time.Now(), "vanished"
		}
	}
	s.mu.Unlock()
	log.add(s.name, "vanishes: its calls are over")
	s.backlog.SetDeadline(time.Now()) // accepts no more
	raw, err := s.backlog.SyscallConn()
	if err != nil {
		return err
	}
	if err := raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	for range 8 { // connections of our own fill the queue of the listener; later ones hang
		go net.DialTimeout("tcp", s.backlog.Addr().String(), time.Minute)
	}
	time.Sleep(50 * time.Millisecond)
	return nil
}

// serve serves one association.
func (s *m3Server) serve(conn net.Conn) {
	defer conn.Close()
	defer func() {
		s.mu.Lock()
		for i, link := range s.links {
			if link == conn {
				s.links = append(s.links[:i:i], s.links[i+1:]...)
				break
			}
		}
		s.mu.Unlock()
	}()
	for {
		msg, err := readM3(conn)
		if err != nil {
			log.add(s.name, "association ended: %v", err)
			return
		}
		s.mu.Lock()
		if !s.vanished {
			s.handle(conn, msg)
		}
		s.mu.Unlock()
	}
}

// handle handles a message. The caller holds s.mu.
func (s *m3Server) handle(conn net.Conn, msg m3Message) {
	switch msg.kind {
	case m3ASPUP:
		conn.Write(buildM3(m3ASPUPACK))
		conn.Write(buildM3(m3NTFY, u32(tagStatus, asInactive), u32(tagContext, routingContextID)))
	case m3ASPAC:
		conn.Write(buildM3(m3ASPACACK, u32(tagContext, routingContextID)))
		conn.Write(buildM3(m3NTFY, u32(tagStatus, asActive), u32(tagContext, routingContextID)))
		log.add(s.name, "association active")
		s.links = append(s.links, conn)
		for _, call := range s.circuits { // releases that were not confirmed
			if !call.endedAt.IsZero() && call.endedBy == "server" && !call.confirmed {
				s.send(conn, isup{cic: call.cic, kind: isREL, cause: 16})
			}
		}
	case m3BEAT:
		conn.Write(buildM3(m3BEATACK, m3Param{tagHeartbeat, msg.params[tagHeartbeat]}))
	case m3DATA:
		if m, err := decodeISUP(msg); err != nil {
			log.add(s.name, "unreadable DATA: %v", err)
		} else {
			s.handleISUP(conn, m)
		}
	}
}

// send sends an ISUP message.
func (s *m3Server) send(conn net.Conn, m isup) {
	m.opc, m.dpc = s.own, s.peer
	conn.Write(m.encode())
}

// handleISUP handles an ISUP message.
func (s *m3Server) handleISUP(conn net.Conn, m isup) {
	call := s.circuits[m.cic]
	switch m.kind {
	case isIAM:
		id, _ := strconv.ParseUint(m.digits, 16, 64)
		if call != nil {
			log.add(s.name, "IAM of %016x on circuit %d, on which %016x stands: discarded", id, m.cic, call.id)
			return
		}
		call = &m3Call{id: id, cic: m.cic, desc: "made-by-" + s.name + "-for-" + m.digits}
		s.circuits[m.cic], s.calls[id] = call, call
		log.add(s.name, "IAM of %016x on circuit %d", id, m.cic)
		s.send(conn, isup{cic: m.cic, kind: isACM})
		time.AfterFunc(20*time.Millisecond, func() { s.answer(conn, call) })
	case isREL:
		if call != nil && call.endedAt.IsZero() {
			call.endedAt, call.endedBy = time.Now(), "softswitch"
			log.add(s.name, "REL on circuit %d: %016x is over", m.cic, call.id)
			delete(s.circuits, m.cic)
		} else {
			log.add(s.name, "REL on circuit %d", m.cic)
		}
		s.send(conn, isup{cic: m.cic, kind: isRLC})
	case isRSC:
		if call != nil && call.endedAt.IsZero() {
			call.endedAt, call.endedBy = time.Now(), "softswitch"
		}
		delete(s.circuits, m.cic)
		log.add(s.name, "RSC on circuit %d", m.cic)
		s.send(conn, isup{cic: m.cic, kind: isRLC})
	case isRLC:
		log.add(s.name, "RLC on circuit %d", m.cic)
		if call != nil && !call.endedAt.IsZero() {
			call.confirmed = true
			delete(s.circuits, m.cic)
		}
	}
}

// answer answers a call that is still wanted, and ends it after the hold time.
func (s *m3Server) answer(conn net.Conn, call *m3Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vanished || s.circuits[call.cic] != call {
		return
	}
	call.answeredAt = time.Now()
	log.add(s.name, "ANM of %016x on circuit %d", call.id, call.cic)
	s.send(conn, isup{cic: call.cic, kind: isANM, desc: call.desc})
	time.AfterFunc(s.hold, func() { s.release(call) })
}

// release ends a call that still stands from the server's side.
func (s *m3Server) release(call *m3Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vanished || s.circuits[call.cic] != call || !call.endedAt.IsZero() {
		return
	}
	call.endedAt, call.endedBy = time.Now(), "server"
	log.add(s.name, "REL of %016x on circuit %d: the call is over", call.id, call.cic)
	if len(s.links) > 0 {
		s.send(s.links[0], isup{cic: call.cic, kind: isREL, cause: 16})
	}
}

// get returns a copy of the server's view of a call.
func (s *m3Server) get(id uint64) m3Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call := s.calls[id]; call != nil {
		return *call
	}
	return m3Call{}
}
