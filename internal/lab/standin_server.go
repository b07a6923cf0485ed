package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// observer is what the stand-ins tell the runner; the runner feeds the judge under its lock.
type serverObserver interface {
	now() time.Duration
	attemptReceived(server string, id uint64)
	attemptEnded(server string, id uint64, outcome AttemptOutcome)
	capacity(server string, at time.Duration) float64
}

// standIn is an activation server as PROTOCOL describes it, with a listener for each softswitch, so that it knows
// who sends: JSON lines, one processor that works set-ups in turn, a number of lines, calls that stand for a time.
type standInServer struct {
	Server
	observer         serverObserver
	mu               sync.Mutex
	listeners        []net.Listener // by softswitch
	conns            map[*serverConn]bool
	busyUntil        time.Duration
	establishedCalls int
	slowdown         float64
	stalledMembers   map[int]bool
	removed          bool
	wg               sync.WaitGroup
}

type serverConn struct {
	net.Conn
	memberIndex int // softswitch
	mu          sync.Mutex
	pending     map[uint64]bool // set-ups not yet answered
}

func (c *serverConn) send(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c.Conn, format+"\n", args...)
}

func newStandInServer(config Server, observer serverObserver, hosts []string) (*standInServer, error) {
	server := &standInServer{Server: config, observer: observer, conns: make(map[*serverConn]bool), slowdown: 1, stalledMembers: make(map[int]bool)}
	var err error
	if server.listeners, err = listenEach(hosts); err != nil {
		return nil, err
	}
	for i, listener := range server.listeners {
		server.wg.Add(1)
		go server.accept(i, listener)
	}
	return server, nil
}

// address is where a softswitch is told to find this server.
func (s *standInServer) addressFor(memberIndex int) string {
	return s.listeners[memberIndex].Addr().String()
}

func (s *standInServer) accept(memberIndex int, listener net.Listener) {
	defer s.wg.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted := &serverConn{Conn: conn, memberIndex: memberIndex, pending: make(map[uint64]bool)}
		s.mu.Lock()
		if s.removed {
			s.mu.Unlock()
			conn.Close()
			continue
		}
		s.conns[accepted] = true
		s.mu.Unlock()
		accepted.send(`{"op":"group","call":"0000000000000000","with":{"load":%q}}`, s.loadReport())
		s.wg.Add(1)
		go s.serve(accepted)
	}
}

// report is a load report in the columns of the lab's settings.
func (s *standInServer) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("spare:%d;total:%d;cut_by:0", max(0, s.Lines-s.establishedCalls), s.Lines)
}

type serverMessage struct {
	Op    string `json:"op"`
	Call  string `json:"call"`
	Cause int    `json:"why"`
}

func (s *standInServer) serve(c *serverConn) {
	defer s.wg.Done()
	reader := bufio.NewReaderSize(c, 16<<10)
	for {
		text, err := reader.ReadSlice('\n')
		if err != nil {
			break
		}
		var message serverMessage
		if json.Unmarshal(text, &message) != nil {
			continue
		}
		id, err := strconv.ParseUint(message.Call, 16, 64)
		if err != nil {
			continue
		}
		switch message.Op {
		case "test":
			c.send(`{"op":"tested","call":%q,"with":{},"why":1}`, message.Call)
		case "offer":
			s.handleOffer(c, id)
		case "end":
			s.mu.Lock()
			wasPending := c.pending[id]
			delete(c.pending, id)
			s.mu.Unlock()
			if wasPending {
				s.observer.attemptEnded(s.Name, id, Cancelled)
			}
			c.send(`{"op":"ended","call":%q,"with":{}}`, message.Call)
		}
	}
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	interrupted := c.pending
	c.pending = map[uint64]bool{}
	s.mu.Unlock()
	for id := range interrupted {
		s.observer.attemptEnded(s.Name, id, ConnectionReset)
	}
}

func (s *standInServer) handleOffer(c *serverConn, id uint64) {
	s.observer.attemptReceived(s.Name, id)
	now := s.observer.now()
	s.mu.Lock()
	c.pending[id] = true
	if s.stalledMembers[c.memberIndex] {
		s.mu.Unlock()
		return
	}
	serviceTime := time.Duration(float64(time.Second) * s.slowdown / max(s.observer.capacity(s.Name, now), 1e-3))
	startAt := max(now, s.busyUntil)
	full := s.establishedCalls >= s.Lines
	swamped := startAt-now > s.MaxQueueDelay.Duration
	if !full && !swamped {
		s.busyUntil = startAt + serviceTime
	}
	s.mu.Unlock()
	if full || swamped {
		note := map[bool]string{true: "blocked", false: "swamped"}[full]
		s.endAttempt(c, id, Refused, fmt.Sprintf(`{"op":"end","call":"%016x","with":{"note":%q,"load":%q},"why":34}`, id, note, s.loadReport()))
		return
	}
	time.AfterFunc(startAt+serviceTime-now, func() {
		s.mu.Lock()
		if !c.pending[id] || s.stalledMembers[c.memberIndex] {
			s.mu.Unlock()
			return
		}
		s.establishedCalls++
		s.mu.Unlock()
		if !s.endAttempt(c, id, Answered, fmt.Sprintf(`{"op":"accept","call":"%016x","with":{"load":%q},"desc":"lab:%s:%016x"}`, id, s.loadReport(), s.Name, id)) {
			s.releaseLine()
			return
		}
		time.AfterFunc(s.HoldTime.Duration, func() {
			s.releaseLine()
			c.send(`{"op":"end","call":"%016x","with":{"load":%q},"why":16}`, id, s.loadReport())
		})
	})
}

// hangUp frees a line. A server that was full tells every open connection that it has one again, unasked.
func (s *standInServer) releaseLine() {
	s.mu.Lock()
	s.establishedCalls--
	wasFull := s.establishedCalls == s.Lines-1
	var conns []*serverConn
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	if wasFull {
		report := s.loadReport()
		for _, c := range conns {
			c.send(`{"op":"group","call":"0000000000000000","with":{"load":%q}}`, report)
		}
	}
}

// finish ends a pending set-up with an answer, if it is still pending.
func (s *standInServer) endAttempt(c *serverConn, id uint64, outcome AttemptOutcome, reply string) bool {
	s.mu.Lock()
	wasPending := c.pending[id]
	delete(c.pending, id)
	s.mu.Unlock()
	if !wasPending {
		return false
	}
	s.observer.attemptEnded(s.Name, id, outcome)
	c.send("%s", reply)
	return true
}

// cut resets the connections from the given softswitches (all where from is nil); gone also stops accepting.
func (s *standInServer) resetConns(members map[int]bool, remove bool) {
	s.mu.Lock()
	if remove {
		s.removed = true
	}
	var resetting []*serverConn
	for c := range s.conns {
		if members == nil || members[c.memberIndex] {
			resetting = append(resetting, c)
		}
	}
	s.mu.Unlock()
	for _, c := range resetting {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// stall leaves the connections from the given softswitches silent, or lets them speak again.
func (s *standInServer) setStalled(members []int, stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, index := range members {
		s.stalledMembers[index] = stalled
	}
}

func (s *standInServer) setSlowdown(factor float64) {
	s.mu.Lock()
	s.slowdown = factor
	s.mu.Unlock()
}

func (s *standInServer) close() {
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.resetConns(nil, true)
}
