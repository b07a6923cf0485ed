package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// m3uaServer is a stand-in of an activation server that speaks M3UA-style signalling (RFC 4666 over TCP, ISUP payload). A circuit carries
// one call from its IAM to its REL; an IAM on a circuit whose call is not over is ignored. Calls outlive the associations.
type m3uaServer struct {
	*record
	address  string
	listener net.Listener
	delay    time.Duration // from an IAM to its ANM

	mu       sync.Mutex
	gone     bool // the machine has vanished: it reads and writes nothing
	circuits map[uint16]*circuitCall
	nextConn int
}

// circuitCall is the call on a circuit.
type circuitCall struct {
	cic     uint16
	digits  string
	stands  bool
	over    bool
	endedAt time.Time
}

const (
	serverPointCode     = 201
	softswitchPointCode = 100
)

func newM3UAServer(r *record) (*m3uaServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &m3uaServer{record: r, address: listener.Addr().String(), listener: listener, delay: 10 * time.Millisecond, circuits: make(map[uint16]*circuitCall)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

type m3uaParam struct {
	tag   uint16
	value []byte
}

func m3uaMessage(kind uint16, params ...m3uaParam) []byte {
	b := []byte{1, 0, byte(kind >> 8), byte(kind), 0, 0, 0, 0}
	for _, p := range params {
		b = binary.BigEndian.AppendUint16(b, p.tag)
		b = binary.BigEndian.AppendUint16(b, uint16(4+len(p.value)))
		b = append(b, p.value...)
		b = append(b, make([]byte, -len(p.value)&3)...)
	}
	binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
	return b
}

func uint32Value(tag uint16, n uint32) m3uaParam {
	return m3uaParam{tag, binary.BigEndian.AppendUint32(nil, n)}
}

// isupData returns a DATA message from the server on a circuit.
func isupData(cic uint16, isup ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, serverPointCode)
	b = binary.BigEndian.AppendUint32(b, softswitchPointCode)
	b = append(b, 5, 2, 0, byte(cic&15))
	b = binary.LittleEndian.AppendUint16(b, cic)
	return m3uaMessage(0x0101, uint32Value(6, 1), m3uaParam{0x0210, append(b, isup...)})
}

func (s *m3uaServer) serve(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	s.nextConn++
	number := s.nextConn
	s.mu.Unlock()
	s.printf("m3ua     association %d opened", number)
	var writer sync.Mutex
	send := func(b []byte) {
		writer.Lock()
		defer writer.Unlock()
		conn.SetWriteDeadline(time.Now().Add(time.Second))
		conn.Write(b)
	}
	for {
		header := make([]byte, 8)
		if _, err := io.ReadFull(conn, header); err != nil {
			s.printf("m3ua     association %d ended: %v", number, err)
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header[4:])-8)
		if _, err := io.ReadFull(conn, body); err != nil {
			return
		}
		s.mu.Lock()
		gone := s.gone
		s.mu.Unlock()
		if gone {
			continue
		}
		var data []byte
		for rest := body; len(rest) >= 4; {
			n := int(binary.BigEndian.Uint16(rest[2:]))
			if binary.BigEndian.Uint16(rest) == 0x0210 {
				data = rest[4:n]
			}
			rest = rest[min((n+3)&^3, len(rest)):]
		}
		switch kind := binary.BigEndian.Uint16(header[2:]); kind {
		case 0x0301: // ASP Up
			send(m3uaMessage(0x0304))
			send(m3uaMessage(0x0001, uint32Value(0x0d, 1<<16|2), uint32Value(6, 1)))
		case 0x0401: // ASP Active
			send(m3uaMessage(0x0403, uint32Value(6, 1)))
			send(m3uaMessage(0x0001, uint32Value(0x0d, 1<<16|3), uint32Value(6, 1)))
			s.printf("m3ua     association %d active", number)
		case 0x0303: // BEAT
			b := m3uaMessage(0x0306)
			b = append(b, body...)
			binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
			send(b)
		case 0x0101:
			s.handleISUP(number, data, send)
		}
	}
}

func (s *m3uaServer) handleISUP(number int, data []byte, send func([]byte)) {
	if len(data) < 15 {
		return
	}
	cic, kind := binary.LittleEndian.Uint16(data[12:]), data[14]
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.circuits[cic]
	switch kind {
	case 0x01: // IAM: fixed part of 5 bytes, then the pointer to the called number
		rest := data[15+5:]
		called := rest[rest[0]+1:][:rest[rest[0]]]
		digits := ""
		for _, c := range called[2:] {
			digits += fmt.Sprintf("%x%x", c&15, c>>4)
		}
		if call != nil && !call.over {
			s.printf("m3ua     association %d: IAM on circuit %d for %s, but the call for %s is on it: ignored", number, cic, digits, call.digits)
			return
		}
		call = &circuitCall{cic: cic, digits: digits}
		s.circuits[cic] = call
		s.printf("m3ua     association %d: IAM on circuit %d for %s", number, cic, digits)
		send(isupData(cic, 0x06, 0x16, 0x14, 0))
		time.AfterFunc(s.delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if call.over {
				return
			}
			call.stands = true
			s.printf("m3ua     circuit %d: ANM for %s, the call stands", cic, digits)
			send(isupData(cic, 0x09, 0))
		})
	case 0x0c: // REL
		s.printf("m3ua     association %d: REL on circuit %d (call for %s, over before: %v)", number, cic, nameOf(call), call == nil || call.over)
		if call != nil && !call.over {
			call.over, call.endedAt = true, time.Now()
		}
		send(isupData(cic, 0x10, 0))
	case 0x12: // RSC
		s.printf("m3ua     association %d: RSC on circuit %d", number, cic)
		if call != nil && !call.over {
			call.over, call.endedAt = true, time.Now()
		}
		send(isupData(cic, 0x10, 0))
	}
}

func nameOf(call *circuitCall) string {
	if call == nil {
		return "nobody"
	}
	return call.digits
}

// vanish makes the machine silent for good; what connects afterwards gets no answer.
func (s *m3uaServer) vanish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

// callTo returns a copy of the first call for a number.
func (s *m3uaServer) callTo(digits string) (circuitCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.circuits {
		if call.digits == digits {
			return *call, true
		}
	}
	return circuitCall{}, false
}
