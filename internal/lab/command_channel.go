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

// channel is the command channel (PROTOCOL, "The command channel"): the list of servers as numbered events, served
// as server-sent events on a listener for each softswitch, each told the addresses reserved for it.
type commandChannel struct {
	mu            sync.Mutex
	events        []listEvent
	changed       chan struct{} // closed and replaced at each new event
	listeners     []net.Listener
	serverAddress func(server string, memberIndex int) string
	wg            sync.WaitGroup
	done          chan struct{}
}

type listEvent struct {
	snapshot bool
	changes  []serverChange
}

type serverChange struct {
	name, status string
	sinceMS      int64 // Unix milliseconds of a late start, or 0
}

func newCommandChannel(hosts []string, serverAddress func(string, int) string) (*commandChannel, error) {
	channel := &commandChannel{changed: make(chan struct{}), serverAddress: serverAddress, done: make(chan struct{})}
	var err error
	if channel.listeners, err = listenEach(hosts); err != nil {
		return nil, err
	}
	for i, l := range channel.listeners {
		channel.wg.Add(1)
		go channel.accept(i, l)
	}
	return channel, nil
}

// tell adds an event to the channel. It counts as told from now on.
func (ch *commandChannel) publish(snapshot bool, changes ...serverChange) {
	ch.mu.Lock()
	ch.events = append(ch.events, listEvent{snapshot, changes})
	close(ch.changed)
	ch.changed = make(chan struct{})
	ch.mu.Unlock()
}

// event is the text of the event with this number, as a softswitch is to read it.
func (ch *commandChannel) eventText(cursor int, memberIndex int) string {
	event := ch.events[cursor-1]
	endpoints := []map[string]any{}
	for _, c := range event.changes {
		endpoints = append(endpoints, map[string]any{"name": c.name, "address": ch.serverAddress(c.name, memberIndex), "zone": "lab",
			"type": "std", "group": 0, "status": c.status, "weight": 1, "since_ms": c.sinceMS})
	}
	text, _ := json.Marshal(map[string]any{"cursor": cursor, "nodes": map[string]any{"index": cursor, "snapshot": event.snapshot, "endpoints": endpoints}})
	return string(text)
}

// known is what a softswitch that starts now is told in its configuration.
func (ch *commandChannel) initialState(memberIndex int) map[string]any {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	cmds := []json.RawMessage{}
	for i := range ch.events {
		cmds = append(cmds, json.RawMessage(ch.eventText(i+1, memberIndex)))
	}
	return map[string]any{"cursor": len(ch.events), "cmds": cmds}
}

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
