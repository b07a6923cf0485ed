package main

import (
	"fmt"
	"syscall"
	"time"
)

// twoUpgrades replaces the process by a new version twice in a row, while a set-up waits at a busy server. The set-up needs its one final
// answer before its caller gives up.
func twoUpgrades(p *play) (int, error) {
	if err := p.addServers(2); err != nil {
		return couldnt, err
	}
	for _, s := range p.servers { // the wait at the processor, below what makes a server turn set-ups away (1.9 to 3.9 s)
		s.delay = func(string) time.Duration { return 1800 * time.Millisecond }
	}
	first, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	upgrade := func(name string) (*process, bool, error) {
		next, err := p.start(name)
		if err != nil {
			return nil, false, err
		}
		return next, p.awaitReady(next, 6*time.Second), nil
	}
	var second *process
	if p.trouble {
		ready := false
		if second, ready, err = upgrade("process 2"); err != nil || !ready {
			return couldnt, fmt.Errorf("process 2 is not ready: %v", err)
		}
	}
	const left = 3 * time.Second
	id, err := link.setUp("activate", "7f3a9c21e0b4d655", left)
	if err != nil {
		return couldnt, err
	}
	sentAt := time.Now()
	if p.trouble {
		time.Sleep(100 * time.Millisecond)
		p.signal(first, syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		third, ready, err := upgrade("process 3")
		switch {
		case err != nil:
			return couldnt, err
		case ready:
			p.signal(second, syscall.SIGTERM)
		default:
			p.printf("play     process 3 was refused or is not ready; process 2 goes on")
			_ = third
		}
	}
	answered := f.await(id, 1, time.Until(sentAt.Add(left+500*time.Millisecond)))
	for _, e := range f.eventsOf(id) {
		p.printf("play     answer to %016x: kind %d, cause %d, %v after the set-up", id, e.kind, e.cause, e.at.Sub(sentAt).Round(time.Millisecond))
	}
	if !answered {
		p.printf("play     set-up %016x got no answer within %v", id, left+500*time.Millisecond)
		return broken, nil
	}
	if len(f.eventsOf(id)) > 1 {
		return broken, nil
	}
	return held, nil
}
