package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// server is the stand-in for an activation server that speaks the platform's protocol (JSON lines).
type server struct {
	name  string
	group int
	delay time.Duration // from a set-up to its answer
	hold  time.Duration // from the answer to the release

	listener net.Listener

	mu    sync.Mutex
	links []*serverLink
	calls map[uint64]*serverCall
	sent  []time.Time // when set-ups came

	work         time.Duration // of the processor for a set-up; 0: none
	busyUntil    time.Time     // when the processor has done what waits for it
	descSuffix   string        // end of the descriptions in answers
	sendsChanges bool          // the state is sent when it changes
}

// serverCall is a call at the server.
type serverCall struct {
	link                    *serverLink // of the set-up
	came, answered, endedAt time.Time
	endedBy                 string // "softswitch", "server", "caller gave up" or "connection"
}

// serverLink is one connection.
type serverLink struct {
	conn net.Conn
	mu   sync.Mutex // held while a line is written
}

// line is a message of the servers' protocol.
type line struct {
	Op   string         `json:"op"`
	Call string         `json:"call,omitempty"`
	With map[string]any `json:"with"`
	Why  *int           `json:"why,omitempty"`
	Desc string         `json:"desc,omitempty"`
}

// longestWait is the wait beyond which a processor turns set-ups away (BRIEF-elmseam.md, 4.6: 1,900 to 3,900 ms).
const longestWait = 1900 * time.Millisecond

// full is the cause of a set-up that is turned away.
var full = 34

// report is the load report of a server with room.
const report = "x0:1000;x1:1000;eps:0"

// startServer starts a server, which sends its state at the start of each connection and then each interval. Without one it sends the state
// when it changes, as calls come and go.
func startServer(name, address string, group int, delay, hold, interval time.Duration) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: l, name: name, group: group, delay: delay, hold: hold, calls: make(map[uint64]*serverCall)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&serverLink{conn: conn})
		}
	}()
	if interval > 0 {
		go func() {
			for range time.Tick(interval) {
				s.mu.Lock()
				s.sendState()
				s.mu.Unlock()
			}
		}()
	}
	s.sendsChanges = interval == 0
	return s, nil
}

// state is the message with the state of the group.
func (s *server) state() line {
	standing := 0
	for _, call := range s.calls {
		if !call.answered.IsZero() && call.endedAt.IsZero() {
			standing++
		}
	}
	return line{Op: "group", With: map[string]any{"load": fmt.Sprintf("x0:%d;x1:1000;eps:0", 1000-standing)}}
}

// sendState sends the state on the open connections, four at most. The caller holds s.mu.
func (s *server) sendState() {
	for _, link := range s.links[:min(len(s.links), 4)] {
		link.write(s.state())
	}
}

// changed sends the state after a call has come or gone. The caller holds s.mu.
func (s *server) changed() {
	if s.sendsChanges {
		s.sendState()
	}
}

// write writes a line.
func (l *serverLink) write(msg line) {
	text, _ := json.Marshal(msg)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.Write(append(text, '\n'))
}

// serve serves one connection.
func (s *server) serve(link *serverLink) {
	s.mu.Lock()
	link.write(s.state())
	s.links = append(s.links, link)
	for id, call := range s.calls { // releases are sent on the next connection that is opened as well
		if call.endedBy == "server" && time.Since(call.endedAt) < 10*time.Second {
			link.writeEnd(id, 16)
		}
	}
	s.mu.Unlock()
	lines := bufio.NewScanner(link.conn)
	lines.Buffer(make([]byte, 4096), 32<<10)
	for lines.Scan() {
		var msg line
		if err := json.Unmarshal(lines.Bytes(), &msg); err != nil {
			log.add(s.name, "unreadable line: %v", err)
			break
		}
		id, _ := strconv.ParseUint(msg.Call, 16, 64)
		s.handle(link, id, msg)
	}
	link.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.links {
		if other == link {
			s.links = append(s.links[:i:i], s.links[i+1:]...)
			break
		}
	}
	for _, call := range s.calls { // closing a connection gives up the set-ups open on it
		if call.link == link && call.answered.IsZero() && call.endedAt.IsZero() {
			call.endedAt, call.endedBy = time.Now(), "connection"
		}
	}
}

// writeEnd writes a release.
func (l *serverLink) writeEnd(id uint64, cause int) {
	l.write(line{Op: "end", Call: fmt.Sprintf("%016x", id), With: map[string]any{"load": report}, Why: &cause})
}

// handle handles a message.
func (s *server) handle(link *serverLink, id uint64, msg line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch msg.Op {
	case "offer":
		log.add(s.name, "set-up of %016x", id)
		call := &serverCall{link: link, came: time.Now()}
		s.calls[id] = call
		s.sent = append(s.sent, call.came)
		wait := max(time.Until(s.busyUntil), 0)
		if s.work > 0 && wait > longestWait {
			call.endedAt, call.endedBy = time.Now(), "turned away"
			go link.write(line{Op: "end", Call: msg.Call, With: map[string]any{"load": report, "note": "swamped"}, Why: &full})
			return
		}
		s.busyUntil = time.Now().Add(wait + s.work)
		time.AfterFunc(s.delay+wait+s.work, func() { s.answer(id, call) })
	case "end":
		call := s.calls[id]
		if call != nil && call.endedAt.IsZero() {
			call.endedAt, call.endedBy = time.Now(), "softswitch"
			log.add(s.name, "end of %016x", id)
			s.changed()
		}
		go link.write(line{Op: "ended", Call: msg.Call, With: map[string]any{}})
	case "test":
		one := 1
		go link.write(line{Op: "tested", Call: msg.Call, With: map[string]any{"load": report}, Why: &one})
	}
}

// answer answers a set-up that is still wanted, and ends the call after the hold time.
func (s *server) answer(id uint64, call *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !call.endedAt.IsZero() {
		return
	}
	call.answered = time.Now()
	log.add(s.name, "accept of %016x", id)
	call.link.write(line{Op: "accept", Call: fmt.Sprintf("%016x", id), With: map[string]any{"load": report}, Desc: fmt.Sprintf("made-by-%s-for-%016x", s.name, id) + s.descSuffix})
	s.changed()
	time.AfterFunc(s.hold, func() { s.release(id, call) })
}

// release ends a call that still stands, on the connection of its set-up or else on any open one.
func (s *server) release(id uint64, call *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !call.endedAt.IsZero() {
		return
	}
	call.endedAt, call.endedBy = time.Now(), "server"
	log.add(s.name, "release of %016x: the call is over", id)
	defer s.changed()
	for _, link := range s.links {
		if link == call.link {
			link.writeEnd(id, 16)
			return
		}
	}
	if len(s.links) > 0 {
		s.links[0].writeEnd(id, 16)
	}
}

// stop ends the server, as its operators do when no work of theirs is left there: its connections are reset, its calls are cut, and new
// connections are refused.
func (s *server) stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.calls {
		if call.endedAt.IsZero() {
			call.endedAt, call.endedBy = time.Now(), "stop"
		}
	}
	log.add(s.name, "stops")
	for _, link := range s.links {
		link.conn.(*net.TCPConn).SetLinger(0)
		link.conn.Close()
	}
}

// setUpsAfter returns the number of set-ups that came after a time.
func (s *server) setUpsAfter(at time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, came := range s.sent {
		if came.After(at) {
			n++
		}
	}
	return n
}
