package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// restart stops the softswitch and starts it again while a call stands. The call ends at its server meanwhile. Its release has to reach the
// callers within 8 s of its end, as the servers send it on the next connection that is opened.
func restart(p *play) (int, error) {
	if err := p.addServers(2); err != nil {
		return couldnt, err
	}
	first, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	id, err := link.setUp("activate", "7f3a9c21e0b4d655", 3*time.Second)
	if err != nil || !f.await(id, 1, 3*time.Second) || f.eventsOf(id)[0].kind != 9 {
		return couldnt, fmt.Errorf("the call was not established: %v", err)
	}
	s := p.serverOf(id)
	if p.trouble {
		if os.Getenv("BY") == "kill" { // not part of the case
			p.signal(first, syscall.SIGKILL)
		} else {
			p.signal(first, syscall.SIGTERM)
		}
		if !first.awaitEnd(10 * time.Second) {
			return couldnt, fmt.Errorf("process 1 did not end")
		}
	}
	time.Sleep(500 * time.Millisecond)
	s.finish(fmt.Sprintf("%016x", id))
	endedAt := time.Now()
	if p.trouble {
		time.Sleep(time.Second)
		second, err := p.start("process 2")
		if err != nil {
			return couldnt, err
		}
		if link = f.awaitAdmission(6 * time.Second); link == nil {
			return couldnt, fmt.Errorf("the front did not admit process 2")
		}
		if !p.awaitReady(second, 6*time.Second) {
			return couldnt, fmt.Errorf("process 2 is not ready")
		}
	}
	// The callers go on making calls, on the connection that was admitted.
	other, err := link.setUp("status-check", "7f3a9c21e0b4d656", 3*time.Second)
	if err != nil || !f.await(other, 1, 3*time.Second) || f.eventsOf(other)[0].kind != 9 {
		return couldnt, fmt.Errorf("the next call was not established: %v", err)
	}
	released := f.await(id, 2, time.Until(endedAt.Add(8*time.Second+50*time.Millisecond)))
	if released {
		events := f.eventsOf(id)
		p.printf("play     call %016x was released to its callers %v after its end", id, events[1].at.Sub(endedAt).Round(time.Millisecond))
		return held, nil
	}
	released = f.await(id, 2, 4*time.Second)
	p.printf("play     call %016x was not released to its callers within 8.05 s of its end; within 12 s: %v", id, released)
	return broken, nil
}
