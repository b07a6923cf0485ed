package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// server is a stand-in of an activation server, written from the protocol page: it answers set-ups after a delay, sends the state of its
// group first on each connection and then each second, ends its calls on the connection of their set-up, otherwise on any open
// one, and sends that release on the next one opened as well.
type server struct {
	*record
	name, address string
	group         int
	listener      net.Listener
	delay         func(key string) time.Duration // from a set-up to its answer

	mu        sync.Mutex
	conns     []*serverConn // open ones, oldest first
	calls     map[string]*serverCall
	onNext    []string // ids of calls that have ended, whose release goes out on the next connection as well
	offers    []string // ids of all set-ups that arrived
	nextConn  int
	successor *server                       // has the address now
	lateReads bool                          // after a hang, timers come before the ends of connections
	hung      chan struct{}                 // not nil: the process hangs until this is closed
	serveCall func(call *serverCall)        // called for each call that stands; may be nil
	fault     func(call *serverCall) string // what goes wrong with a set-up: "", "full", "moot", "error", "cut", "reset", "mute", "spoilt"
}

type serverConn struct {
	number int
	conn   net.Conn
	writer sync.Mutex
}

// serverCall is a call or a set-up at a server.
type serverCall struct {
	id, key  string
	conn     *serverConn
	stands   bool
	over     bool
	endedBy  string // "server" or "softswitch"
	never    bool   // the server said that it never ran
	arrived  time.Time
	tries    int
	endedAt  time.Time
	answerAt time.Time
}

type jsonMessage struct {
	Op   string         `json:"op"`
	Call string         `json:"call,omitempty"`
	With map[string]any `json:"with"`
	Why  *int           `json:"why,omitempty"`
	Desc string         `json:"desc,omitempty"`
}

func newServer(r *record, name string, group int) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{record: r, name: name, address: listener.Addr().String(), group: group, listener: listener, calls: make(map[string]*serverCall),
		delay: func(string) time.Duration { return 10 * time.Millisecond }}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			serving := s
			for next := s.successor; next != nil; next = next.successor {
				serving = next
			}
			s.mu.Unlock()
			go serving.serve(conn)
		}
	}()
	return s, nil
}

func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.conn.Close()
	}
}

func (c *serverConn) send(msg jsonMessage) error {
	if msg.With == nil {
		msg.With = map[string]any{}
	}
	line, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	c.writer.Lock()
	defer c.writer.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = c.conn.Write(append(line, '\n'))
	return err
}

const groupReport = "spare:880;total:1000;cut_by:0"

func cause(n int) *int { return &n }

func (s *server) serve(conn net.Conn) {
	s.awaitResume()
	s.mu.Lock()
	s.nextConn++
	c := &serverConn{number: s.nextConn, conn: conn}
	s.conns = append(s.conns, c)
	onNext := s.onNext
	s.onNext = nil
	s.mu.Unlock()
	s.printf("server   %s connection %d opened", s.name, c.number)
	c.send(jsonMessage{Op: "group", With: map[string]any{"load": groupReport}})
	for _, id := range onNext {
		s.printf("server   %s connection %d: release of %s, whose end came before", s.name, c.number, id)
		c.send(jsonMessage{Op: "end", Call: id, Why: cause(16)})
	}
	closed := make(chan struct{})
	go func() {
		for {
			select {
			case <-closed:
				return
			case <-time.After(time.Second):
				s.awaitResume()
				c.send(jsonMessage{Op: "group", With: map[string]any{"load": groupReport}})
			}
		}
	}()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, 16<<10)
	for lines.Scan() {
		s.awaitResume()
		var msg jsonMessage
		if err := json.Unmarshal(lines.Bytes(), &msg); err != nil {
			s.printf("server   %s connection %d: unreadable: %.80q", s.name, c.number, lines.Text())
			break
		}
		s.handle(c, msg)
	}
	close(closed)
	s.awaitResume()
	if s.lateReads {
		time.Sleep(20 * time.Millisecond) // the process reads the end of the connection only after its timers
	}
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			break
		}
	}
	s.printf("server   %s connection %d closed: %v", s.name, c.number, lines.Err())
	for _, call := range s.calls { // set-ups that are open on it are given up
		if call.conn == c && !call.stands && !call.over {
			call.over, call.endedBy, call.endedAt = true, "softswitch", time.Now()
			s.printf("server   %s set-up %s given up by the close", s.name, call.id)
		}
	}
}

func (s *server) handle(c *serverConn, msg jsonMessage) {
	switch msg.Op {
	case "offer":
		key, _ := msg.With["key"].(string)
		call := &serverCall{id: msg.Call, key: key, conn: c, arrived: time.Now(), tries: 1}
		s.mu.Lock()
		if earlier := s.calls[msg.Call]; earlier != nil {
			call.tries = earlier.tries + 1
			s.printf("server   %s set-up %s AGAIN", s.name, msg.Call)
		}
		s.calls[msg.Call] = call
		s.offers = append(s.offers, msg.Call)
		delay := s.delay(key)
		s.mu.Unlock()
		s.printf("server   %s connection %d: set-up %s, class %v, left %v", s.name, c.number, msg.Call, msg.With["class"], msg.With["left"])
		time.AfterFunc(delay, func() { s.answer(call) })
	case "end":
		s.mu.Lock()
		call := s.calls[msg.Call]
		known := call != nil && !call.over
		if known {
			call.over, call.endedBy, call.endedAt = true, "softswitch", time.Now()
		}
		s.mu.Unlock()
		s.printf("server   %s connection %d: end of %s from the softswitch (known and not over: %v)", s.name, c.number, msg.Call, known)
		c.send(jsonMessage{Op: "ended", Call: msg.Call})
	case "test":
		c.send(jsonMessage{Op: "tested", Call: msg.Call, Why: cause(1), With: map[string]any{"load": groupReport}})
	}
}

func (s *server) answer(call *serverCall) {
	s.awaitResume()
	s.mu.Lock()
	if call.over {
		s.mu.Unlock()
		return
	}
	if s.fault != nil {
		if fault := s.fault(call); fault != "" {
			call.over, call.endedBy, call.endedAt = true, "server", time.Now()
			call.never = fault == "full" || fault == "swamped" || fault == "moot"
			s.mu.Unlock()
			s.printf("server   %s connection %d: %s for %s", s.name, call.conn.number, fault, call.id)
			switch fault {
			case "full":
				call.conn.send(jsonMessage{Op: "end", Call: call.id, Why: cause(34), With: map[string]any{"note": "blocked"}})
			case "swamped":
				call.conn.send(jsonMessage{Op: "end", Call: call.id, Why: cause(34), With: map[string]any{"note": "swamped"}})
			case "moot":
				call.conn.send(jsonMessage{Op: "end", Call: call.id, Why: cause(102)})
			case "error":
				call.conn.send(jsonMessage{Op: "end", Call: call.id, Why: cause(47)})
			case "cut":
				call.conn.send(jsonMessage{Op: "end", Call: call.id, Why: cause(41)})
			case "reset":
				call.conn.conn.(*net.TCPConn).SetLinger(0)
				call.conn.conn.Close()
			case "spoilt":
				call.conn.conn.Write([]byte("{\"op\":\"accept\",\"call\":\"" + call.id + "\",\n"))
			}
			return
		}
	}
	call.stands, call.answerAt = true, time.Now()
	serveCall := s.serveCall
	s.mu.Unlock()
	s.printf("server   %s connection %d: answer to %s: it stands", s.name, call.conn.number, call.id)
	call.conn.send(jsonMessage{Op: "accept", Call: call.id, Desc: s.descriptionOf(call.id), With: map[string]any{"load": groupReport}})
	if serveCall != nil {
		serveCall(call)
	}
}

// descriptionOf returns the description that the server makes for a call.
func (s *server) descriptionOf(id string) string {
	return fmt.Sprintf("%s of %s\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", s.name, id)
}

// finish brings a standing call to its end.
func (s *server) finish(id string) {
	s.mu.Lock()
	call := s.calls[id]
	if call == nil || call.over {
		s.mu.Unlock()
		s.printf("server   %s: call %s is not standing any more", s.name, id)
		return
	}
	call.over, call.endedBy, call.endedAt = true, "server", time.Now()
	s.onNext = append(s.onNext, id)
	var on *serverConn
	for _, c := range s.conns {
		if on == nil || c == call.conn {
			on = c
		}
	}
	s.mu.Unlock()
	if on == nil {
		s.printf("server   %s: call %s has ended; no connection is open, its release goes out on the next", s.name, id)
		return
	}
	s.printf("server   %s connection %d: call %s has ended, release", s.name, on.number, id)
	on.send(jsonMessage{Op: "end", Call: id, Why: cause(16)})
}

// call returns a copy of what the server knows of a call.
func (s *server) call(id string) (serverCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call := s.calls[id]; call != nil {
		return *call, true
	}
	return serverCall{}, false
}

// succeed ends the process: its connections are reset and its calls are cut. Another server has its address from then on.
func (s *server) succeed(next *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor = next
	for _, call := range s.calls {
		if !call.over {
			call.over, call.endedBy, call.endedAt = true, "server", time.Now()
		}
	}
	for _, c := range s.conns {
		c.conn.(*net.TCPConn).SetLinger(0)
		c.conn.Close()
	}
}

// awaitResume waits while the process hangs.
func (s *server) awaitResume() {
	s.mu.Lock()
	hung := s.hung
	s.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// hang makes the process hang for a while. Its kernel goes on taking connections.
func (s *server) hang(duration time.Duration) {
	s.mu.Lock()
	s.hung = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(duration)
	s.mu.Lock()
	close(s.hung)
	s.hung = nil
	s.mu.Unlock()
}
