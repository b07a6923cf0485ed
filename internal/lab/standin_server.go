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

// serverObserver receives what happens at the stand-in servers. The runner implements it, and passes the events to
// the checker under its lock.
type serverObserver interface {
	now() time.Duration
	attemptReceived(server string, id uint64)
	attemptEnded(server string, id uint64, outcome AttemptOutcome)
	capacity(server string, at time.Duration) float64
}

// standInServer plays an activation server as PROTOCOL describes it. It has a listener for each softswitch, so that
// it knows the sender, and speaks JSON lines. One processor works on set-ups in turn; a limited number of lines holds
// calls that stay established for HoldTime.
type standInServer struct {
	Server
	observer         serverObserver
	mu               sync.Mutex     // guards serverConn.pending and the fields below, except listeners and wg
	listeners        []net.Listener // by softswitch
	conns            map[*serverConn]bool
	busyUntil        time.Duration // when the processor will have finished the set-ups accepted so far
	establishedCalls int
	queuedSetUps     int          // set-ups that the processor has accepted and not answered
	slowdown         float64      // factor on the service time; 1: normal speed
	stalledMembers   map[int]bool // softswitches whose set-ups get no answer
	removed          bool         // the server is gone: it closes new connections at once
	wg               sync.WaitGroup
}

// serverConn is a connection from one softswitch.
type serverConn struct {
	net.Conn
	memberIndex int             // the softswitch
	mu          sync.Mutex      // serialises writes
	pending     map[uint64]bool // set-ups not yet answered
}

// sendLine writes one line to the softswitch.
func (c *serverConn) sendLine(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c.Conn, format+"\n", args...)
}

// newStandInServer opens a listener on each host, one for each softswitch, and serves them.
func newStandInServer(config Server, observer serverObserver, hosts []string) (*standInServer, error) {
	server := &standInServer{Server: config, observer: observer, conns: make(map[*serverConn]bool), slowdown: 1,
		stalledMembers: make(map[int]bool)}
	var err error
	if server.listeners, err = listenOnEachHost(hosts); err != nil {
		return nil, err
	}
	for i, listener := range server.listeners {
		server.wg.Add(1)
		go server.accept(i, listener)
	}
	return server, nil
}

// addressForMember returns the address at which a softswitch reaches this server.
func (s *standInServer) addressForMember(memberIndex int) string {
	return s.listeners[memberIndex].Addr().String()
}

// accept serves a softswitch's connections and sends a load report on each new connection.
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
		accepted.sendLine(`{"op":"group","call":"0000000000000000","with":{"load":%q}}`, s.loadReport())
		s.wg.Add(1)
		go s.serve(accepted)
	}
}

// loadReport returns a load report with the columns of DefaultSettings.
func (s *standInServer) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("spare:%d;total:%d;cut_by:0", max(0, s.Lines-s.establishedCalls), s.Lines)
}

// serverMessage is a line from a softswitch.
type serverMessage struct {
	Op    string `json:"op"`
	Call  string `json:"call"`
	Cause int    `json:"why"`
}

// serve handles a connection's lines until the connection ends. It reports the attempts that are still pending then as
// ended by a reset.
func (s *standInServer) serve(conn *serverConn) {
	defer s.wg.Done()
	reader := bufio.NewReaderSize(conn, 16<<10)
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
			if s.stalled(conn) {
				continue
			}
			conn.sendLine(`{"op":"tested","call":%q,"with":{},"why":1}`, message.Call)
		case "offer":
			s.handleOffer(conn, id)
		case "end":
			s.mu.Lock()
			wasPending := conn.pending[id]
			delete(conn.pending, id)
			s.mu.Unlock()
			if wasPending {
				s.observer.attemptEnded(s.Name, id, OutcomeCancelled)
			}
			conn.sendLine(`{"op":"ended","call":%q,"with":{}}`, message.Call)
		}
	}
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	interrupted := conn.pending
	conn.pending = map[uint64]bool{}
	s.mu.Unlock()
	for id := range interrupted {
		s.observer.attemptEnded(s.Name, id, OutcomeConnectionReset)
	}
}

// handleOffer queues a set-up for the processor, or refuses it: as blocked if no line is free, as swamped if the wait
// would be too long. A set-up that arrives, or would be answered, while its connection is stalled never gets an answer.
func (s *standInServer) handleOffer(conn *serverConn, id uint64) {
	s.observer.attemptReceived(s.Name, id)
	now := s.observer.now()
	s.mu.Lock()
	conn.pending[id] = true
	if s.stalledMembers[conn.memberIndex] {
		s.mu.Unlock()
		return
	}
	serviceTime := time.Duration(float64(time.Second) * s.slowdown / max(s.observer.capacity(s.Name, now), 1e-3))
	startAt := max(now, s.busyUntil)
	full := s.establishedCalls+s.queuedSetUps >= s.Lines
	swamped := startAt-now > s.MaxQueueDelay.Duration
	if !full && !swamped {
		s.busyUntil = startAt + serviceTime
		s.queuedSetUps++
	}
	s.mu.Unlock()
	if full || swamped {
		note := map[bool]string{true: "blocked", false: "swamped"}[full]
		s.endAttempt(conn, id, OutcomeRefused, fmt.Sprintf(`{"op":"end","call":"%016x","with":{"note":%q,"load":%q},"why":34}`,
			id, note, s.loadReport()))
		return
	}
	time.AfterFunc(startAt+serviceTime-now, func() {
		s.mu.Lock()
		s.queuedSetUps--
		if !conn.pending[id] || s.stalledMembers[conn.memberIndex] {
			s.mu.Unlock()
			return
		}
		s.establishedCalls++
		s.mu.Unlock()
		if !s.endAttempt(conn, id, OutcomeAnswered, fmt.Sprintf(`{"op":"accept","call":"%016x","with":{"load":%q},"desc":"lab:%s:%016x"}`,
			id, s.loadReport(), s.Name, id)) {
			s.releaseLine()
			return
		}
		time.AfterFunc(s.HoldTime.Duration, func() {
			s.releaseLine()
			conn.sendLine(`{"op":"end","call":"%016x","with":{"load":%q},"why":16}`, id, s.loadReport())
		})
	})
}

// releaseLine frees a line when a call ends. A server that had no free line reports the free line on every open
// connection.
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
			c.sendLine(`{"op":"group","call":"0000000000000000","with":{"load":%q}}`, report)
		}
	}
}

// endAttempt sends the reply that ends a pending set-up. It reports false, and sends nothing, if the set-up is no
// longer pending.
func (s *standInServer) endAttempt(conn *serverConn, id uint64, outcome AttemptOutcome, reply string) bool {
	s.mu.Lock()
	wasPending := conn.pending[id]
	delete(conn.pending, id)
	s.mu.Unlock()
	if !wasPending {
		return false
	}
	s.observer.attemptEnded(s.Name, id, outcome)
	conn.sendLine("%s", reply)
	return true
}

// resetConns resets the connections from the given softswitches, or all connections if members is nil. remove also
// makes the server close new connections at once.
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

// stalled reports whether the softswitch of a connection gets no answers.
func (s *standInServer) stalled(conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalledMembers[conn.memberIndex]
}

// setStalled leaves the set-ups and tests of the given softswitches without an answer, or has them answered again. Ends are acknowledged
// during a stall too.
func (s *standInServer) setStalled(members []int, stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, index := range members {
		s.stalledMembers[index] = stalled
	}
}

// setSlowdown sets the factor on the service time of the set-ups that arrive from now on.
func (s *standInServer) setSlowdown(factor float64) {
	s.mu.Lock()
	s.slowdown = factor
	s.mu.Unlock()
}

// close closes the listeners, resets all connections and waits for their goroutines.
func (s *standInServer) close() {
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.resetConns(nil, true)
	s.wg.Wait()
}
