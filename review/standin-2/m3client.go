package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// m3Client is the stand-in for an older client. Its associations, one for each address, serve the same pair of point codes, and it connects
// again when one ends. Its circuits belong to the pair of point codes and outlive an association. It acts as ITU-T Q.764 asks: it confirms
// each REL by an RLC, on the association on which the REL came.
type m3Client struct {
	name string
	own  uint32

	mu    sync.Mutex
	conns []net.Conn // active association with each address; nil: none
	calls map[uint16]*m3ClientCall
}

// m3ClientCall is a call of the client. Zero times: it has not happened.
type m3ClientCall struct{ sentAt, answeredAt, releasedAt time.Time }

// startM3Client starts a client.
func startM3Client(name string, own uint32, addresses ...string) *m3Client {
	c := &m3Client{name: name, own: own, conns: make([]net.Conn, len(addresses)), calls: make(map[uint16]*m3ClientCall)}
	for i, address := range addresses {
		go func() {
			for {
				if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					c.serve(i, conn)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	return c
}

// serve serves one association.
func (c *m3Client) serve(i int, conn net.Conn) {
	defer conn.Close()
	conn.Write(buildM3(m3ASPUP))
	for {
		msg, err := readM3(conn)
		if err != nil {
			log.add(c.name, "association %d ended: %v", i+1, err)
			c.mu.Lock()
			c.conns[i] = nil
			c.mu.Unlock()
			return
		}
		c.mu.Lock()
		switch msg.kind {
		case m3ASPUPACK:
			conn.Write(buildM3(m3ASPAC, u32(tagContext, routingContextID)))
		case m3ASPACACK:
			c.conns[i] = conn
			log.add(c.name, "association %d active", i+1)
		case m3BEAT:
			conn.Write(buildM3(m3BEATACK, m3Param{tagHeartbeat, msg.params[tagHeartbeat]}))
		case m3DATA:
			if m, err := decodeISUP(msg); err == nil {
				c.handle(conn, m)
			}
		}
		c.mu.Unlock()
	}
}

// handle handles an ISUP message. The caller holds c.mu.
func (c *m3Client) handle(conn net.Conn, m isup) {
	call := c.calls[m.cic]
	switch {
	case m.kind == isREL || m.kind == isRSC:
		log.add(c.name, "REL on circuit %d, cause %d", m.cic, m.cause)
		if call != nil && call.releasedAt.IsZero() {
			call.releasedAt = time.Now()
		}
		conn.Write(isup{opc: c.own, dpc: softswitchPC, cic: m.cic, kind: isRLC}.encode())
	case m.kind == isRLC:
		log.add(c.name, "RLC on circuit %d", m.cic)
	case m.kind == isANM && call != nil:
		log.add(c.name, "ANM on circuit %d", m.cic)
		call.answeredAt = time.Now()
	}
}

// setUp sends an IAM on the first association.
func (c *m3Client) setUp(cic uint16, id uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[0] == nil {
		return fmt.Errorf("%s: no association", c.name)
	}
	c.calls[cic] = &m3ClientCall{sentAt: time.Now()}
	log.add(c.name, "IAM of %016x on circuit %d", id, cic)
	_, err := c.conns[0].Write(isup{opc: c.own, dpc: softswitchPC, cic: cic, kind: isIAM, category: 10, digits: fmt.Sprintf("%016x", id), desc: "m3ua"}.encode())
	return err
}

// release sends a REL on the first association.
func (c *m3Client) release(cic uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log.add(c.name, "REL on circuit %d", cic)
	if c.conns[0] != nil {
		c.conns[0].Write(isup{opc: c.own, dpc: softswitchPC, cic: cic, kind: isREL, cause: 16}.encode())
	}
}

// get returns a copy of a call.
func (c *m3Client) get(cic uint16) m3ClientCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call := c.calls[cic]; call != nil {
		return *call
	}
	return m3ClientCall{}
}

// active returns the number of active associations.
func (c *m3Client) active() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if conn != nil {
			n++
		}
	}
	return n
}
