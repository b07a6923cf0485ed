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
type channel struct {
	mu        sync.Mutex
	events    []listEvent
	wake      chan struct{} // closed and replaced at each new event
	listeners []net.Listener
	address   func(server string, from int) string
	wg        sync.WaitGroup
	done      chan struct{}
}

type listEvent struct {
	snapshot bool
	changes  []listChange
}

type listChange struct {
	name, status string
	since        int64 // Unix milliseconds of a late start, or 0
}

func newChannel(hosts []string, address func(string, int) string) (*channel, error) {
	ch := &channel{wake: make(chan struct{}), address: address, done: make(chan struct{})}
	var err error
	if ch.listeners, err = listenEach(hosts); err != nil {
		return nil, err
	}
	for i, l := range ch.listeners {
		ch.wg.Add(1)
		go ch.accept(i, l)
	}
	return ch, nil
}

// tell adds an event to the channel. It counts as told from now on.
func (ch *channel) tell(snapshot bool, changes ...listChange) {
	ch.mu.Lock()
	ch.events = append(ch.events, listEvent{snapshot, changes})
	close(ch.wake)
	ch.wake = make(chan struct{})
	ch.mu.Unlock()
}

// event is the text of the event with this number, as a softswitch is to read it.
func (ch *channel) event(cursor int, from int) string {
	e := ch.events[cursor-1]
	eps := []map[string]any{}
	for _, c := range e.changes {
		eps = append(eps, map[string]any{"name": c.name, "address": ch.address(c.name, from), "zone": "lab",
			"type": "std", "group": 0, "status": c.status, "weight": 1, "since_ms": c.since})
	}
	text, _ := json.Marshal(map[string]any{"cursor": cursor, "nodes": map[string]any{"index": cursor, "snapshot": e.snapshot, "endpoints": eps}})
	return string(text)
}

// known is what a softswitch that starts now is told in its configuration.
func (ch *channel) known(from int) map[string]any {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	cmds := []json.RawMessage{}
	for i := range ch.events {
		cmds = append(cmds, json.RawMessage(ch.event(i+1, from)))
	}
	return map[string]any{"cursor": len(ch.events), "cmds": cmds}
}

func (ch *channel) accept(from int, l net.Listener) {
	defer ch.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		ch.wg.Add(1)
		go ch.serve(from, c)
	}
}

func (ch *channel) serve(from int, c net.Conn) {
	defer ch.wg.Done()
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	last := 0
	for {
		l, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if v, ok := strings.CutPrefix(l, "Last-Event-ID: "); ok {
			last, _ = strconv.Atoi(strings.TrimSpace(v))
		}
		if l == "\r\n" {
			break
		}
	}
	c.SetReadDeadline(time.Time{})
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		ch.mu.Lock()
		var text strings.Builder
		for ; last < len(ch.events); last++ {
			fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", last+1, ch.event(last+1, from))
		}
		wake := ch.wake
		ch.mu.Unlock()
		if text.Len() > 0 {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", text.Len(), text.String()); err != nil {
				return
			}
		}
		select {
		case <-wake:
		case <-tick.C:
			c.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := fmt.Fprint(c, "c\r\n: keepalive\n\r\n"); err != nil {
				return
			}
		case <-ch.done:
			return
		}
	}
}

func (ch *channel) close() {
	select {
	case <-ch.done:
	default:
		close(ch.done)
	}
	for _, l := range ch.listeners {
		l.Close()
	}
	ch.wg.Wait()
}
