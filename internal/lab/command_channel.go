package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commandChannel is the command channel (PROTOCOL, "The command channel"). It sends the list of servers as numbered
// server-sent events. It has a listener for each softswitch, and each softswitch reads the server addresses that are
// reserved for it.
type commandChannel struct {
	mu        sync.Mutex     // guards events and changed
	events    []listEvent    // the event with cursor n has index n-1
	changed   chan struct{}  // closed and replaced at each new event
	listeners []net.Listener // by softswitch
	// serverAddress returns the address at which a softswitch reaches a server.
	serverAddress func(server string, memberIndex int) string
	wg            sync.WaitGroup
	done          chan struct{} // closed to end the channel
}

// listEvent is one event of the server list: a full list (snapshot) or changes to it.
type listEvent struct {
	snapshot bool
	changes  []serverChange
}

// serverChange is a server's new status on the channel: in_service, terminating or terminated.
type serverChange struct {
	name, status string
	sinceMS      int64 // start time of a server that starts late, in Unix milliseconds; otherwise 0
}

// newCommandChannel opens a listener on each host, one for each softswitch, and serves them.
func newCommandChannel(hosts []string, serverAddress func(string, int) string) (*commandChannel, error) {
	ch := &commandChannel{changed: make(chan struct{}), serverAddress: serverAddress, done: make(chan struct{})}
	var err error
	if ch.listeners, err = listenOnEachHost(hosts); err != nil {
		return nil, err
	}
	for i, listener := range ch.listeners {
		ch.wg.Add(1)
		go ch.accept(i, listener)
	}
	return ch, nil
}

// publish adds an event to the channel. A softswitch that is started from now on gets the event in its configuration.
func (ch *commandChannel) publish(snapshot bool, changes ...serverChange) {
	ch.mu.Lock()
	ch.events = append(ch.events, listEvent{snapshot, changes})
	close(ch.changed)
	ch.changed = make(chan struct{})
	ch.mu.Unlock()
}

// eventText returns the event with a cursor as JSON, with the server addresses for one softswitch. The caller holds
// mu.
func (ch *commandChannel) eventText(cursor int, memberIndex int) string {
	event := ch.events[cursor-1]
	endpoints := []map[string]any{}
	for _, c := range event.changes {
		endpoints = append(endpoints, map[string]any{"name": c.name, "address": ch.serverAddress(c.name, memberIndex),
			"zone": "lab", "type": "std", "group": 0, "status": c.status, "weight": 1, "since_ms": c.sinceMS})
	}
	text, _ := json.Marshal(map[string]any{"cursor": cursor,
		"nodes": map[string]any{"index": cursor, "snapshot": event.snapshot, "endpoints": endpoints}})
	return string(text)
}

// initialState returns the channel's state for the configuration of a softswitch that starts now: the last cursor and
// all events.
func (ch *commandChannel) initialState(memberIndex int) map[string]any {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	cmds := []json.RawMessage{}
	for i := range ch.events {
		cmds = append(cmds, json.RawMessage(ch.eventText(i+1, memberIndex)))
	}
	return map[string]any{"cursor": len(ch.events), "cmds": cmds}
}

// accept serves a softswitch's connections until its listener is closed.
func (ch *commandChannel) accept(memberIndex int, listener net.Listener) {
	defer ch.wg.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		ch.wg.Add(1)
		go ch.serve(memberIndex, conn)
	}
}

// serve answers one request with the stream of events after the request's Last-Event-ID, and a keepalive comment
// every second.
func (ch *commandChannel) serve(memberIndex int, conn net.Conn) {
	defer ch.wg.Done()
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	lastSent := 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if value, ok := strings.CutPrefix(line, "Last-Event-ID: "); ok {
			lastSent, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		if line == "\r\n" {
			break
		}
	}
	conn.SetReadDeadline(time.Time{})
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	keepalive := time.NewTicker(time.Second)
	defer keepalive.Stop()
	for {
		ch.mu.Lock()
		var text strings.Builder
		for ; lastSent < len(ch.events); lastSent++ {
			fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", lastSent+1, ch.eventText(lastSent+1, memberIndex))
		}
		changed := ch.changed
		ch.mu.Unlock()
		if text.Len() > 0 {
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", text.Len(), text.String()); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-keepalive.C:
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := fmt.Fprint(conn, "c\r\n: keepalive\n\r\n"); err != nil {
				return
			}
		case <-ch.done:
			return
		}
	}
}

// close closes the listeners and streams and waits for them.
func (ch *commandChannel) close() {
	select {
	case <-ch.done:
	default:
		close(ch.done)
	}
	for _, listener := range ch.listeners {
		listener.Close()
	}
	ch.wg.Wait()
}
