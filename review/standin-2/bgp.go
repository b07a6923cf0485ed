package main

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// bgpPeer is the stand-in for a BGP peer (RFC 4271, IPv4 unicast, the connection opened by the softswitch). It announces its routes and an
// End-of-RIB in each new session, and sends changes in the session that is up. A connection that collides with an established session is
// closed with a NOTIFICATION, as section 6.8 asks.
type bgpPeer struct {
	as uint16
	id netip.Addr

	mu      sync.Mutex
	session net.Conn // established; nil: none
	routes  map[netip.Prefix]bool
}

// startBGPPeer starts a peer.
func startBGPPeer(address string, as uint16, routes ...netip.Prefix) (*bgpPeer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &bgpPeer{as: as, id: netip.MustParseAddr("127.0.0.9"), routes: make(map[netip.Prefix]bool)}
	for _, route := range routes {
		p.routes[route] = true
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// bgpMessage encodes a message.
func bgpMessage(kind byte, body []byte) []byte {
	b := make([]byte, 16, 19+len(body))
	for i := range b {
		b[i] = 0xff
	}
	b = binary.BigEndian.AppendUint16(b, uint16(19+len(body)))
	return append(append(b, kind), body...)
}

// prefixBytes encodes a prefix.
func prefixBytes(p netip.Prefix) []byte {
	addr := p.Addr().As4()
	return append([]byte{byte(p.Bits())}, addr[:(p.Bits()+7)/8]...)
}

// announcement returns an UPDATE that announces a prefix.
func (p *bgpPeer) announcement(prefix netip.Prefix) []byte {
	attrs := []byte{0x40, 1, 1, 0, 0x40, 2, 4, 2, 1}
	attrs = binary.BigEndian.AppendUint16(attrs, p.as)
	attrs = append(attrs, 0x40, 3, 4, 127, 0, 0, 9)
	b := binary.BigEndian.AppendUint16([]byte{0, 0}, uint16(len(attrs)))
	return bgpMessage(2, append(append(b, attrs...), prefixBytes(prefix)...))
}

// withdraw withdraws a prefix.
func (p *bgpPeer) withdraw(prefix netip.Prefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.routes, prefix)
	log.add("bgp", "withdraws %v", prefix)
	if p.session != nil {
		withdrawn := prefixBytes(prefix)
		b := binary.BigEndian.AppendUint16(nil, uint16(len(withdrawn)))
		p.session.Write(bgpMessage(2, append(append(b, withdrawn...), 0, 0)))
	}
}

// established says whether a session is up.
func (p *bgpPeer) established() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil
}

// serve serves one connection.
func (p *bgpPeer) serve(conn net.Conn) {
	defer conn.Close()
	defer func() {
		p.mu.Lock()
		if p.session == conn {
			p.session = nil
			log.add("bgp", "session ended")
		}
		p.mu.Unlock()
	}()
	header := make([]byte, 19)
	for {
		if _, err := io.ReadFull(conn, header); err != nil {
			return
		}
		body := make([]byte, int(binary.BigEndian.Uint16(header[16:]))-19)
		if _, err := io.ReadFull(conn, body); err != nil {
			return
		}
		p.mu.Lock()
		switch kind := header[18]; {
		case kind == 1 && p.session != nil:
			log.add("bgp", "a second connection collides with the session: closed")
			conn.Write(bgpMessage(3, []byte{6, 7}))
			p.mu.Unlock()
			return
		case kind == 1:
			open := binary.BigEndian.AppendUint16([]byte{4}, p.as)
			open = append(binary.BigEndian.AppendUint16(open, 90), p.id.AsSlice()...)
			conn.Write(bgpMessage(1, append(open, 0)))
			conn.Write(bgpMessage(4, nil))
		case kind == 4 && p.session == nil:
			p.session = conn
			log.add("bgp", "session established")
			for route := range p.routes {
				log.add("bgp", "announces %v", route)
				conn.Write(p.announcement(route))
			}
			conn.Write(bgpMessage(2, []byte{0, 0, 0, 0})) // End-of-RIB
			go p.keepAlive(conn)
		case kind == 3:
			log.add("bgp", "NOTIFICATION %d/%d", body[0], body[1])
		}
		p.mu.Unlock()
	}
}

// keepAlive sends KEEPALIVEs while a session is up.
func (p *bgpPeer) keepAlive(conn net.Conn) {
	for range time.Tick(2 * time.Second) {
		p.mu.Lock()
		up := p.session == conn
		if up {
			conn.Write(bgpMessage(4, nil))
		}
		p.mu.Unlock()
		if !up {
			return
		}
	}
}
