package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// The plays below try entries of the project's own lists (REPORT.md). They are no cases.

// takenAddress replaces a server by another one at its address while discovery is down. A call that is established at the new server has to
// go on, or to be released at both ends.
func takenAddress(p *play) (int, error) {
	if err := p.addServers(2); err != nil {
		return couldnt, err
	}
	_, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	old := p.servers[0]
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		p.channel.setDown(true)
		p.printf("run      discovery is down")
	}
	time.Sleep(500 * time.Millisecond)
	next := &server{record: p.record, name: "s1-b", address: old.address, group: 0, listener: old.listener, calls: make(map[string]*serverCall), delay: old.delay}
	startedAt := time.Now().UnixMilli()
	if p.trouble {
		old.succeed(next)
		p.servers = append(p.servers, next)
		p.printf("run      the process of s1 has ended; s1-b has its address")
	}
	time.Sleep(time.Second)
	var id uint64
	for range 10 { // until one is established there
		if id, err = link.setUp("activate", "7f3a9c21e0b4d655", 3*time.Second); err != nil {
			return couldnt, err
		}
		f.await(id, 1, 3*time.Second)
		if at := p.serverOf(id); at == next || !p.trouble && at == old {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	at := p.serverOf(id)
	if at == nil || p.trouble && at != next {
		return couldnt, fmt.Errorf("no call was established at the new server")
	}
	time.Sleep(5 * time.Second)
	if p.trouble {
		p.channel.publish(map[string]any{"name": "s1", "address": old.address, "zone": "zagreb", "type": "std-1core", "group": 0, "status": "terminated", "weight": 1, "since_ms": 0},
			map[string]any{"name": "s1-b", "address": old.address, "zone": "zagreb", "type": "std-1core", "group": 0, "status": "in_service", "weight": 1, "since_ms": startedAt})
		p.channel.setDown(false)
		p.printf("run      discovery is back, and tells that s1 has gone and s1-b is there")
	}
	time.Sleep(3 * time.Second)
	told := len(f.eventsOf(id)) > 1
	if told {
		p.printf("play     call %016x was released to its caller, cause %d", id, f.eventsOf(id)[1].cause)
	}
	link.release(id, 16)
	time.Sleep(9 * time.Second)
	call, _ := at.call(fmt.Sprintf("%016x", id))
	p.printf("play     call %016x at %s: over %v, ended by %q; released to its caller before the caller ended it: %v", id, at.name, call.over, call.endedBy, told)
	if !call.over || told {
		return broken, nil
	}
	return held, nil
}

// silentM3UA makes the machine of an M3UA server fall silent. Its calls are over and have to be released within 8 s. The heartbeat is the one of
// deploy/m3ua.toml.
func silentM3UA(p *play) (int, error) {
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
	_, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	id, err := link.setUp("activate", "7f3a9c21e0b4d600", 3*time.Second)
	if err != nil || !f.await(id, 1, 3*time.Second) || f.eventsOf(id)[0].kind != 9 {
		return couldnt, fmt.Errorf("the call was not established: %v", err)
	}
	time.Sleep(time.Second)
	if !p.trouble {
		time.Sleep(20 * time.Second)
		if len(f.eventsOf(id)) > 1 {
			return broken, nil
		}
		return held, nil
	}
	s.vanish()
	p.printf("run      the machine of the M3UA server vanishes")
	vanishedAt := time.Now()
	if f.await(id, 2, 30*time.Second) {
		after := f.eventsOf(id)[1].at.Sub(vanishedAt)
		p.printf("play     released to its caller %v after the machine vanished", after)
		if after <= 8*time.Second+50*time.Millisecond {
			return held, nil
		}
	}
	return broken, nil
}

// enableM3UA writes the second front's file, with one server.
func (p *play) enableM3UA(s *m3uaServer) error {
	file := filepath.Join(p.tempDir, "m3ua.toml")
	text := fmt.Sprintf(`enabled = true
[m3ua]
listen = "%s"
point_code = %d
network_indicator = 2
routing_context = 1
heartbeat_ms = 5000
circuits = 4096
[m3ua.categories]
status-check = 10
activate = 11
profile-read = 12
[m3ua.cells]
100 = 0
[[m3ua.server]]
name = "hlr-1"
address = "%s"
point_code = %d
cell = 0
[bgp]
as = 64512
router_id = "127.0.0.1"
service = "127.0.0.1/32"
next_hop = "127.0.0.1"
hold_s = 9
`, freeAddress(), softswitchPointCode, s.address, serverPointCode)
	p.env = append(p.env, "ELMSEAM_SIGNALLING="+file)
	return os.WriteFile(file, []byte(text), 0o644)
}

// vanishedBeforeRestart kills a server for good, and then the softswitch, which comes back 1.5 s later: nobody knows the server's calls.
func vanishedBeforeRestart(p *play) (int, error) {
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
	at := p.serverOf(id)
	endedAt := time.Now()
	at.close()
	p.printf("run      %s dies", at.name)
	if p.trouble {
		time.Sleep(500 * time.Millisecond)
		p.signal(first, syscall.SIGKILL)
		time.Sleep(1500 * time.Millisecond)
		if _, err := p.start("process 2"); err != nil {
			return couldnt, err
		}
		if link = f.awaitAdmission(6 * time.Second); link == nil {
			return couldnt, fmt.Errorf("process 2 is not admitted")
		}
		link.setUp("status-check", "7f3a9c21e0b4d656", 3*time.Second)
	}
	if f.await(id, 2, time.Until(endedAt.Add(8050*time.Millisecond))) {
		p.printf("play     released %v after the server's end", f.eventsOf(id)[1].at.Sub(endedAt))
		return held, nil
	}
	p.printf("play     not released within 8.05 s; within 15 s: %v", f.await(id, 2, 7*time.Second))
	return broken, nil
}

// hungServer makes a server hang while a call stands there whose end comes in that time. The server releases it as it goes on, on the
// connection of its set-up, whose end it has not read yet.
func hungServer(p *play) (int, error) {
	if err := p.addServers(2); err != nil {
		return couldnt, err
	}
	_, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	var ids []uint64
	for range 4 {
		id, err := link.setUp("activate", "7f3a9c21e0b4d655", 3*time.Second)
		if err != nil || !f.await(id, 1, 3*time.Second) || f.eventsOf(id)[0].kind != 9 {
			return couldnt, fmt.Errorf("a call was not established: %v", err)
		}
		ids = append(ids, id)
	}
	s := p.servers[0]
	s.lateReads = true
	time.Sleep(5 * time.Second) // the report intervals are known
	resumed := make(chan struct{})
	if p.trouble {
		go func() {
			p.printf("run      s1 hangs for 6 s")
			s.hang(6 * time.Second)
			p.printf("run      s1 goes on")
			close(resumed)
		}()
		time.Sleep(100 * time.Millisecond)
	} else {
		close(resumed)
	}
	for range 20 { // set-ups go on
		if _, err := link.setUp("status-check", "7f3a9c21e0b4d656", 2*time.Second); err != nil {
			return couldnt, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	<-resumed
	released := time.Now()
	for _, id := range ids {
		if p.serverOf(id) == s {
			s.finish(fmt.Sprintf("%016x", id))
		}
	}
	verdict := held
	for _, id := range ids {
		if p.serverOf(id) != s {
			continue
		}
		if f.await(id, 2, time.Until(released.Add(1050*time.Millisecond))) {
			continue
		}
		verdict = broken
		p.printf("play     call %016x was not released to its caller within 1.05 s; within 12 s: %v", id, f.await(id, 2, time.Until(released.Add(12*time.Second))))
	}
	return verdict, nil
}
