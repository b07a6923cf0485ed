package main

import (
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// forgetful stands before a server like the machine's own connection table. A connection on which nothing has passed for the idle time is
// forgotten without a sign: the server sees it end, the softswitch's side stays open, and the first bytes that the softswitch sends there are
// answered by a reset, as a kernel does for a connection that it doesn't know. Without an idle time nothing is forgotten.
type forgetful struct {
	target string
	idle   time.Duration

	mu    sync.Mutex
	conns int
}

// startForgetful starts the table for a server.
func startForgetful(address, target string, idle time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f := &forgetful{target: target, idle: idle}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns++
			number := f.conns
			f.mu.Unlock()
			go f.serve(conn.(*net.TCPConn), number)
		}
	}()
	return nil
}

// serve passes one connection on until it is forgotten.
func (f *forgetful) serve(near *net.TCPConn, number int) {
	conn, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		near.SetLinger(0)
		near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	var mu sync.Mutex
	last, forgotten := time.Now(), false
	pass := func(from, to *net.TCPConn, fromSoftswitch bool) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			mu.Lock()
			gone := forgotten
			if n > 0 {
				last = time.Now()
			}
			mu.Unlock()
			if gone {
				if fromSoftswitch {
					if n > 0 {
						log.add("table", "connection %d is forgotten: %d bytes from the softswitch are answered by a reset: %.80q", number, n, buf[:n])
					}
					from.SetLinger(0)
					from.Close()
				}
				return
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
	go pass(far, near, false)
	if f.idle > 0 {
		go func() {
			for range time.Tick(20 * time.Millisecond) {
				mu.Lock()
				if time.Since(last) > f.idle {
					forgotten = true
					mu.Unlock()
					log.add("table", "connection %d was idle for %v and is forgotten", number, f.idle)
					far.Close()
					return
				}
				mu.Unlock()
			}
		}()
	}
	pass(near, far, true)
}

// forgottenConnection: a call stands, the server forgets idle connections, and the caller releases the call.
func forgottenConnection(w *world, trouble bool) (verdict, error) {
	const idle, releaseAfter, wait = 5 * time.Second, 8 * time.Second, 10 * time.Second
	configPath, tmpDir := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "tmp")
	if err := os.Mkdir(tmpDir, 0o700); err != nil {
		return notRun, err
	}
	channel, listen, serverAddress, tableAddress := freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1")
	if err := startChannel(channel); err != nil {
		return notRun, err
	}
	s, err := startServer("s1", serverAddress, 0, 20*time.Millisecond, time.Minute, 0)
	if err != nil {
		return notRun, err
	}
	var forgets time.Duration
	if trouble {
		forgets = idle
	}
	if err := startForgetful(tableAddress, serverAddress, forgets); err != nil {
		return notRun, err
	}
	if err := (config{name: "n1", listen: listen, channel: channel, endpoints: []endpoint{inService("s1", tableAddress, 0)}, cells: []int{0}, keepalive: idle}).write(configPath); err != nil {
		return notRun, err
	}
	p, err := w.start("n1", configPath, tmpDir, freeAddress("127.0.0.1"), "", "")
	if err != nil {
		return notRun, err
	}
	if err := p.waitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	c := newCaller(listen)
	link, err := c.connectTested(5 * time.Second)
	if err != nil {
		return notRun, err
	}
	ids := []uint64{0xd1}
	for _, id := range ids {
		link.setUp(id, 3*time.Second, 0)
		time.Sleep(50 * time.Millisecond)
	}
	if err := c.waitAnswered(ids, 3*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(releaseAfter)
	for _, id := range ids {
		link.end(id)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(wait)
	result := held
	for _, id := range ids {
		s.mu.Lock()
		call := *s.calls[id]
		s.mu.Unlock()
		if call.endedAt.IsZero() {
			log.add("check", "%016x: its caller released it, the softswitch has confirmed that, and it still stands at the server %v later", id, time.Since(c.get(id).givenUpAt))
			result = broken
		} else {
			log.add("check", "%016x: ended at the server by the %s %v after its caller released it", id, call.endedBy, call.endedAt.Sub(c.get(id).givenUpAt))
		}
	}
	return result, nil
}
