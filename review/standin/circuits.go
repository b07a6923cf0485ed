package main

import (
	"fmt"
	"syscall"
	"time"
)

// circuits replaces the process by a new version while calls stand at an M3UA server. The calls have to go on: neither their callers nor the
// server end them.
func circuits(p *play) (int, error) {
	if err := p.addServers(0); err != nil {
		return couldnt, err
	}
	s, err := newM3UAServer(p.record)
	if err != nil {
		return couldnt, err
	}
	defer s.listener.Close()
	if err := p.enableM3UA(s); err != nil {
		return couldnt, err
	}
	first, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	const standing = 3
	number := func(i int) string { return fmt.Sprintf("7f3a9c21e0b4d6%02x", i) }
	var ids []uint64
	for i := range standing {
		id, err := link.setUp("activate", number(i), 3*time.Second)
		if err != nil || !f.await(id, 1, 3*time.Second) || f.eventsOf(id)[0].kind != 9 {
			return couldnt, fmt.Errorf("call %d was not established: %v", i, err)
		}
		ids = append(ids, id)
	}
	if p.trouble {
		second, err := p.start("process 2")
		if err != nil {
			return couldnt, err
		}
		if !p.awaitReady(second, 6*time.Second) {
			return couldnt, fmt.Errorf("process 2 is not ready")
		}
		p.signal(first, syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
	}
	// The callers go on making calls, and release those that were established.
	later := 0
	for i := range standing {
		id, err := link.setUp("status-check", number(100+i), 3*time.Second)
		if err != nil {
			return couldnt, fmt.Errorf("the callers' connection ended: %v", err)
		}
		if f.await(id, 1, 3500*time.Millisecond) && f.eventsOf(id)[0].kind == 9 {
			later++
			link.release(id, 16)
		}
	}
	p.printf("play     of %d later set-ups, %d were established", standing, later)
	const releaseLimit = 8*time.Second + 50*time.Millisecond
	time.Sleep(releaseLimit + 500*time.Millisecond)
	verdict := held
	for i, id := range ids {
		call, found := s.callTo(number(i))
		if !found {
			return couldnt, fmt.Errorf("the server does not know the call to %s", number(i))
		}
		events := f.eventsOf(id)
		switch {
		case !call.over && len(events) == 1:
			p.printf("play     call %016x to %s stands at the server and for its caller", id, number(i))
		case !call.over:
			p.printf("play     call %016x to %s stands at the server, and was released to its caller", id, number(i))
			verdict = broken
		case len(events) > 1 && events[1].at.Sub(call.endedAt) <= releaseLimit:
			p.printf("play     call %016x to %s was ended at the server, and released to its caller %v later", id, number(i), events[1].at.Sub(call.endedAt))
		default:
			p.printf("play     call %016x to %s was ended at the server by a REL that its caller did not ask for; its caller was not told within %v", id, number(i), releaseLimit)
			verdict = broken
		}
	}
	return verdict, nil
}
