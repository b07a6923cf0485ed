package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// startDelay starts a path to a target on which everything takes a fixed time, in each direction.
func startDelay(address, target string, delay time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	type chunk struct {
		at   time.Time
		data []byte
	}
	carry := func(from, to *net.TCPConn) {
		chunks := make(chan chunk, 10000)
		go func() {
			for c := range chunks {
				time.Sleep(time.Until(c.at.Add(delay)))
				if c.data == nil {
					to.CloseWrite()
					return
				}
				to.Write(c.data)
			}
		}()
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{time.Now(), buf[:n]}
			}
			if err != nil {
				if err != io.EOF {
					log.add("path", "reading ended: %v", err)
				}
				chunks <- chunk{time.Now(), nil}
				close(chunks)
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.DialTimeout("tcp", target, time.Second)
				if err != nil {
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
					return
				}
				go carry(conn.(*net.TCPConn), far.(*net.TCPConn))
				carry(far.(*net.TCPConn), conn.(*net.TCPConn))
			}()
		}
	}()
	return nil
}

// releaseAtStop: calls stand, the softswitch is restarted by SIGTERM, and their caller releases them one after another, also while the
// connection is closed.
func releaseAtStop(w *world, trouble bool) (verdict, error) {
	const delay, hold = 20 * time.Millisecond, 40 * time.Second
	configPath, tmpDir := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "tmp")
	if err := os.Mkdir(tmpDir, 0o700); err != nil {
		return notRun, err
	}
	channel, listen, serverAddress, pathAddress := freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1")
	if err := startChannel(channel); err != nil {
		return notRun, err
	}
	s, err := startServer("s1", serverAddress, 0, 5*time.Millisecond, hold, 500*time.Millisecond)
	if err != nil {
		return notRun, err
	}
	if err := startDelay(pathAddress, listen, delay); err != nil {
		return notRun, err
	}
	if err := (config{name: "n1", listen: listen, channel: channel, endpoints: []endpoint{inService("s1", serverAddress, 0)}, cells: []int{0}}).write(configPath); err != nil {
		return notRun, err
	}
	mgmt := freeAddress("127.0.0.1")
	p, err := w.start("n1", configPath, tmpDir, mgmt, "", "")
	if err != nil {
		return notRun, err
	}
	if err := p.waitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	c := newCaller(pathAddress)
	link, err := c.connectTested(5 * time.Second)
	if err != nil {
		return notRun, err
	}
	var ids []uint64
	for id := uint64(0xe00); len(ids) < 60; id++ {
		ids = append(ids, id)
		link.setUp(id, 3*time.Second, 0)
		time.Sleep(30 * time.Millisecond)
	}
	if err := c.waitAnswered(ids, 3*time.Second); err != nil {
		return notRun, err
	}
	if trouble {
		p.signal(syscall.SIGTERM)
	}
	time.Sleep(3400 * time.Millisecond)
	released := 0
	for _, id := range ids {
		if link.isClosed() {
			break
		}
		link.end(id)
		released++
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		select {
		case <-p.done:
		case <-time.After(3 * time.Second):
			p.signal(syscall.SIGKILL)
			<-p.done
		}
		if p, err = w.start("n1-again", configPath, tmpDir, mgmt, "", ""); err != nil {
			return notRun, err
		}
		if err := p.waitReady(10 * time.Second); err != nil {
			return notRun, err
		}
		if link, err = c.connectTested(5 * time.Second); err != nil {
			return notRun, err
		}
		for _, id := range ids[released:] { // not released before the end of the connection
			link.end(id)
		}
	}
	time.Sleep(9 * time.Second)
	result := held
	for i, id := range ids {
		s.mu.Lock()
		call := *s.calls[id]
		s.mu.Unlock()
		if call.endedAt.IsZero() {
			log.add("check", "%016x: its caller released it %v ago, before it saw the connection end: %v, and it still stands at the server", id, time.Since(c.get(id).givenUpAt), i < released)
			result = broken
		}
	}
	return result, nil
}
