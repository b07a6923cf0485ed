package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target. It can hold what comes on the open ones, as a path that is cut off without a sign, and reset them.
type proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	silent  bool
	pairs   [][2]*net.TCPConn
	holding chan struct{} // closed when the path goes on; nil: nothing is held
}

// startProxy starts a proxy for a target.
func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

// serve passes one connection on.
func (p *proxy) serve(near *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		near.SetLinger(0)
		near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	p.mu.Lock()
	p.pairs = append(p.pairs, [2]*net.TCPConn{near, far})
	p.mu.Unlock()
	go p.copy(near, far)
	p.copy(far, near)
}

// copy passes on what comes from one side. What comes while the path is silent is lost with the connection.
func (p *proxy) copy(from, to *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent, holding := p.silent, p.holding
		p.mu.Unlock()
		if holding != nil { // what comes meanwhile waits in the sockets, as it would in their send buffers
			<-holding
		}
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			to.Write(buf[:n])
		}
		if err != nil {
			to.CloseWrite()
			return
		}
	}
}

// fallSilent makes the open connections silent.
func (p *proxy) fallSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	log.add("proxy", "the open connections fall silent")
}

// hold cuts the path off: what is sent on the open connections waits until the path goes on.
func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holding = make(chan struct{})
	log.add("proxy", "the path is cut off")
}

// goOn ends the cut-off.
func (p *proxy) goOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	log.add("proxy", "the path goes on")
	close(p.holding)
	p.holding = nil
}

// reset resets all connections on both sides. New ones are passed on again.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pair := range p.pairs {
		for _, conn := range pair {
			conn.SetLinger(0)
			conn.Close()
		}
	}
	p.pairs, p.silent = nil, false
	log.add("proxy", "the connections are reset; new ones work")
}
