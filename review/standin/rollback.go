package main

import (
	"fmt"
	"syscall"
	"time"
)

// rollback starts a new version beside the running one and stops it again, as the on-call page says for going back. The old process was
// never stopped and has to go on serving: the front opens a new connection every 200 ms and sends a set-up on it.
func rollback(p *play) (int, error) {
	if err := p.addServers(2); err != nil {
		return couldnt, err
	}
	first, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	served := func(on *callerLink, class string) bool {
		id, err := on.setUp(class, "7f3a9c21e0b4d655", 3*time.Second)
		if err != nil || !f.await(id, 1, 3*time.Second) || f.eventsOf(id)[0].kind != 9 {
			return false
		}
		on.release(id, 16)
		return true
	}
	if !served(link, "activate") {
		return couldnt, fmt.Errorf("the first set-up was not served")
	}
	if p.trouble {
		second, err := p.start("process 2")
		if err != nil {
			return couldnt, err
		}
		if !p.awaitReady(second, 6*time.Second) {
			return couldnt, fmt.Errorf("process 2 is not ready")
		}
		time.Sleep(time.Second)
		p.signal(second, syscall.SIGTERM)
		refused := 0
		for signalledAt := time.Now(); !second.hasEnded(); time.Sleep(20 * time.Millisecond) {
			if time.Since(signalledAt) > 10*time.Second {
				return couldnt, fmt.Errorf("process 2 did not end")
			}
			l, err := f.connect()
			if err != nil {
				if refused++; refused == 1 {
					p.printf("caller   new connection %v after SIGTERM to process 2, the first that fails: %v", time.Since(signalledAt).Round(time.Millisecond), err)
				}
				continue
			}
			l.conn.Close()
		}
	}
	// Process 2 has ended; process 1 was sent no signal. Clients have 5 s to notice; then new connections have to be served again.
	time.Sleep(5 * time.Second)
	tried, ok := 0, 0
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		tried++
		l, err := f.connect()
		if err != nil {
			p.printf("caller   new connection: %v", err)
			continue
		}
		if l.test(time.Second) && served(l, "status-check") {
			ok++
		}
		l.conn.Close()
	}
	p.printf("play     of %d new connections in 15 s, %d were served; process 1 runs: %v, says that it is ready: %v", tried, ok, !first.hasEnded(),
		p.awaitReady(first, time.Second))
	if first.hasEnded() {
		return broken, nil
	}
	if ok == 0 {
		return broken, nil
	}
	return held, nil
}
