package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// upgradeTwice: set-ups wait for a slow server, a new version takes over from the softswitch, and another one takes over from it.
func upgradeTwice(w *world, trouble bool) (verdict, error) { return upgradeAgain(w, trouble, true) }

// upgradeAndStop: set-ups wait for a slow server, a new version takes over from the softswitch, and is stopped in turn.
func upgradeAndStop(w *world, trouble bool) (verdict, error) { return upgradeAgain(w, trouble, false) }

// upgradeAgain plays both. Without trouble the second upgrade comes when the first one has ended.
func upgradeAgain(w *world, trouble, third bool) (verdict, error) {
	const delay, left, pause = 2800 * time.Millisecond, 3500 * time.Millisecond, time.Second
	configPath, tmpDir := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "tmp")
	if err := os.Mkdir(tmpDir, 0o700); err != nil {
		return notRun, err
	}
	channel, listen, serverAddress := freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1")
	if err := startChannel(channel); err != nil {
		return notRun, err
	}
	if _, err := startServer("s1", serverAddress, 0, delay, 5*time.Second, 500*time.Millisecond); err != nil {
		return notRun, err
	}
	if err := (config{name: "n1", listen: listen, channel: channel, endpoints: []endpoint{inService("s1", serverAddress, 0)}, cells: []int{0}}).write(configPath); err != nil {
		return notRun, err
	}
	var processes []*process
	next := func() (*process, error) {
		p, err := w.start(fmt.Sprintf("n1-%d", len(processes)+1), configPath, tmpDir, freeAddress("127.0.0.1"), "", "")
		if err != nil {
			return nil, err
		}
		processes = append(processes, p)
		return p, p.waitReady(10 * time.Second)
	}
	a, err := next()
	if err != nil {
		return notRun, err
	}
	c := newCaller(listen)
	link, err := c.connectTested(5 * time.Second)
	if err != nil {
		return notRun, err
	}
	b, err := next()
	if err != nil {
		return notRun, err
	}
	var ids []uint64
	for id := uint64(0xf0); id < 0xf5; id++ {
		ids = append(ids, id)
		link.setUp(id, left, 0)
		time.Sleep(20 * time.Millisecond)
	}
	a.signal(syscall.SIGTERM)
	if !trouble {
		select {
		case <-a.done:
		case <-time.After(3700 * time.Millisecond):
			a.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(pause)
	if third {
		if _, err = next(); err != nil {
			return notRun, err
		}
	}
	b.signal(syscall.SIGTERM)
	time.Sleep(6 * time.Second)
	result := held
	for _, id := range ids {
		switch call := c.get(id); {
		case call.answers == 0:
			log.add("check", "%016x: no final answer", id)
			result = broken
		case call.answers > 1:
			log.add("check", "%016x: %d final answers", id, call.answers)
			result = broken
		default:
			log.add("check", "%016x: one final answer", id)
		}
	}
	return result, nil
}
