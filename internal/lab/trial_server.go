package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"elmseam/internal/faultnet"
)

// trialServerState is what a trial's server does at a time.
type trialServerState int

// The states of a trial's server.
const (
	serverServing  trialServerState = iota
	serverHung                      // the process does nothing; its kernel still takes connections and data, whose arrival is recorded
	serverVanished                  // the machine is cut off: nothing goes in or out
	serverDead                      // the process is gone: connections are refused
)

// listenerModes are the modes of the listeners in each state.
var listenerModes = map[trialServerState]faultnet.Mode{
	serverServing: faultnet.Accepting, serverHung: faultnet.Accepting, serverVanished: faultnet.Unreachable, serverDead: faultnet.Refusing,
}

// trialServer is a stand-in server of a trial, as PROTOCOL describes it. It has a listener for each softswitch.
type trialServer struct {
	checker        *trialChecker
	reportInterval time.Duration // 0: no reports
	holdTime       time.Duration // mean duration of a call
	serviceTime    time.Duration // longest time to answer a set-up, besides the wait for the processor
	capacity       float64       // set-ups a second of a warm process
	listeners      []*faultnet.Listener

	mu      sync.Mutex // guards the fields below
	name    string     // of the present process
	rng     *rand.Rand
	faults  ServerFaults
	state   trialServerState
	process int // number of the process; calls and connections belong to one
	conns   map[*trialServerConn]bool
	calls   map[uint64]*serverCall
	resumed chan struct{} // closed when the state becomes serving again
	stopped bool
	// disturbedAt is when the server last changed its state or lost a connection.
	disturbedAt time.Duration
	// startedAt is when the present process started cold; unknownTime: it is warm.
	startedAt time.Duration
	busyUntil time.Duration // when the processor will have finished the set-ups accepted so far
	// releases are the releases that a softswitch gets on its next connection as well, by softswitch.
	releases map[int][]string
}

// serverCall is a call that stands at a server.
type serverCall struct {
	conn   *trialServerConn
	member int
}

// trialServerConn is a connection from a softswitch.
type trialServerConn struct {
	net.Conn
	server  string // name of the server when the connection was accepted
	member  int
	process int
	writes  chan serverLine
	done    chan struct{}   // closed when the connection has ended
	pending map[uint64]bool // set-ups without an answer; guarded by trialServer.mu
	offered map[uint64]bool // set-ups received in this connection's life; guarded by trialServer.mu
}

// serverLine is a line to a softswitch.
type serverLine struct {
	text    string
	written func() // called when the line is written; may be nil
}

// trialDescription is the description with which a server answers a call.
func trialDescription(server string, id uint64) string { return fmt.Sprintf("%s:%016x", server, id) }

// newTrialServer starts a server with a listener on each host.
func newTrialServer(name string, hosts []string, checker *trialChecker, rng *rand.Rand) (*trialServer, error) {
	s := &trialServer{name: name, checker: checker, startedAt: unknownTime, rng: rng, conns: make(map[*trialServerConn]bool),
		calls: make(map[uint64]*serverCall), resumed: make(chan struct{}), releases: make(map[int][]string)}
	for _, host := range hosts {
		listener, err := faultnet.Listen(host)
		if err != nil {
			return nil, err
		}
		s.listeners = append(s.listeners, listener)
	}
	return s, nil
}

// start serves the listeners.
func (s *trialServer) start() {
	for member, listener := range s.listeners {
		go s.accept(member, listener)
	}
}

// accept serves the connections of one softswitch.
func (s *trialServer) accept(member int, listener *faultnet.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.state == serverDead || s.rng.Float64() < s.faults.CloseEarly {
			s.mu.Unlock()
			faultnet.Reset(conn)
			continue
		}
		c := &trialServerConn{Conn: conn, server: s.name, member: member, process: s.process, writes: make(chan serverLine, 10000), done: make(chan struct{}),
			pending: make(map[uint64]bool), offered: make(map[uint64]bool)}
		s.conns[c] = true
		releases := s.releases[member]
		delete(s.releases, member)
		s.mu.Unlock()
		go s.write(c)
		go s.serve(c)
		go s.report(c)
		for _, release := range releases {
			s.send(c, release)
		}
	}
}

// receiveOffer records a set-up and answers it later.
func (s *trialServer) receiveOffer(c *trialServerConn, id uint64) {
	s.checker.offerReceived(c.member, c.server, id)
	s.mu.Lock()
	c.pending[id], c.offered[id] = true, true
	delay, swamped := s.processorWait()
	delay += time.Duration(s.rng.Int64N(int64(s.serviceTime) + 1))
	startedAt := s.startedAt
	reset := s.rng.Float64() < s.faults.Reset
	s.mu.Unlock()
	s.checker.coldOffer(c.server, s.capacity, startedAt)
	if reset {
		faultnet.Reset(c.Conn)
		return
	}
	time.AfterFunc(delay, func() { s.answer(c, id, swamped) })
}

// longestProcessorWait is the wait for a server's processor beyond which it refuses set-ups.
const longestProcessorWait = 600 * time.Millisecond

// processorWait queues a set-up for the processor and returns how long it waits there, or says that the server refuses it. The caller holds
// mu.
func (s *trialServer) processorWait() (wait time.Duration, swamped bool) {
	now := s.checker.clock()
	s.busyUntil = max(s.busyUntil, now)
	wait = s.busyUntil - now
	if wait > longestProcessorWait {
		return 0, true
	}
	s.busyUntil += time.Duration(float64(time.Second) / s.checker.rules.RampedCapacity(s.capacity, s.startedAt, now))
	return wait, false
}

// answer answers a set-up that is still pending, once the server serves.
func (s *trialServer) answer(c *trialServerConn, id uint64, swamped bool) {
	if !s.awaitServing(c) {
		return
	}
	s.mu.Lock()
	if !c.pending[id] || s.process != c.process || s.stopped {
		s.mu.Unlock()
		return
	}
	draw, faults := s.rng.Float64(), s.faults
	within := func(probability float64) bool {
		draw -= probability
		return draw < 0
	}
	refusal := ""
	switch {
	case within(faults.Mute):
		s.mu.Unlock()
		return
	case within(faults.Spoil): // the set-up stays pending: the softswitch has to end it
		s.mu.Unlock()
		s.send(c, fmt.Sprintf(`{"op":"accept","call":"%016x","with":{},"desc":"`, id))
		return
	case swamped, within(faults.Refuse):
		refusal = fmt.Sprintf(`{"op":"end","call":"%016x","with":{"note":"swamped"},"why":34}`, id)
	case within(faults.Fail):
		refusal = fmt.Sprintf(`{"op":"end","call":"%016x","with":{},"why":47}`, id)
	}
	delete(c.pending, id)
	double := s.rng.Float64() < faults.Double
	hold := time.Duration(s.rng.ExpFloat64() * float64(s.holdTime))
	if refusal == "" {
		s.calls[id] = &serverCall{c, c.member}
	}
	s.mu.Unlock()
	s.checker.attemptEnded(c.server, id, false)
	if refusal != "" {
		s.send(c, refusal)
		return
	}
	s.checker.established(c.server, id)
	text := fmt.Sprintf(`{"op":"accept","call":"%016x","with":{},"desc":%q}`, id, trialDescription(c.server, id))
	s.send(c, text)
	if double {
		time.AfterFunc(5*time.Millisecond, func() { s.send(c, text) })
	}
	time.AfterFunc(hold, func() { s.release(c.process, id) })
}

// receiveEnd handles the end of a set-up or the release of a call by the softswitch.
func (s *trialServer) receiveEnd(c *trialServerConn, id uint64) {
	s.mu.Lock()
	pending, standing := false, s.calls[id] != nil
	for conn := range s.conns {
		if conn.pending[id] && conn.member == c.member {
			pending = true
			delete(conn.pending, id)
		}
	}
	delete(s.calls, id)
	s.mu.Unlock()
	if pending {
		s.checker.attemptEnded(c.server, id, true)
	}
	if standing {
		s.checker.callEnded(c.server, id, "released by the softswitch", releaseLimit)
	}
	s.send(c, fmt.Sprintf(`{"op":"ended","call":"%016x","with":{}}`, id))
}

// deliveryTime is the longest time in which a line that was written reaches a softswitch.
const deliveryTime = 20 * time.Millisecond

// release ends a call of a process in the ordinary way. While the server can't serve, it waits.
func (s *trialServer) release(process int, id uint64) {
	for {
		s.mu.Lock()
		call := s.calls[id]
		state, resumed := s.state, s.resumed
		if call == nil || s.process != process || s.stopped {
			s.mu.Unlock()
			return
		}
		if state == serverServing {
			break
		}
		s.mu.Unlock()
		<-resumed
	}
	defer s.mu.Unlock()
	call := s.calls[id]
	conn := call.conn
	s.checker.standsAtServer(conn.server, id, s.disturbedAt)
	if !s.conns[conn] {
		conn = s.anyConn(call.member)
	}
	if conn == nil { // the release goes out on the next connection
		time.AfterFunc(20*time.Millisecond, func() { s.release(process, id) })
		return
	}
	delete(s.calls, id)
	text := fmt.Sprintf(`{"op":"end","call":"%016x","with":{},"why":16}`, id)
	s.sendAndReport(conn, text, func() {
		detail := fmt.Sprint("released by the server to ", conn.RemoteAddr())
		time.AfterFunc(deliveryTime, func() {
			s.mu.Lock()
			died := s.process != process
			s.mu.Unlock()
			limit := releaseLimit
			if died { // the reset of the connection may have overtaken the release
				limit = silentReleaseLimit
			}
			s.checker.callEnded(call.conn.server, id, detail, limit)
		})
	})
	s.releases[call.member] = append(s.releases[call.member], text)
}

// anyConn returns an open connection from a softswitch, or nil. The caller holds mu.
func (s *trialServer) anyConn(member int) *trialServerConn {
	for conn := range s.conns {
		if conn.member == member && conn.process == s.process {
			return conn
		}
	}
	return nil
}

// setState changes what the server does.
func (s *trialServer) setState(state trialServerState) {
	s.mu.Lock()
	s.state, s.disturbedAt = state, s.checker.clock()
	if state == serverServing {
		close(s.resumed)
		s.resumed = make(chan struct{})
	}
	s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.SetMode(listenerModes[state])
	}
}

// startCold makes the present process one that has just started.
func (s *trialServer) startCold() {
	s.mu.Lock()
	s.startedAt = s.checker.clock()
	s.mu.Unlock()
}

// rename makes the server another one under the same address.
func (s *trialServer) rename(name string) {
	s.mu.Lock()
	s.name = name
	s.mu.Unlock()
}

// currentName returns the name of the present process.
func (s *trialServer) currentName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name
}

// loseCalls ends all calls of the present process, whose callers the server can't inform, and makes the next process the present one.
func (s *trialServer) loseCalls(detail string) {
	s.mu.Lock()
	calls := s.calls
	s.calls = make(map[uint64]*serverCall)
	clear(s.releases)
	s.process++
	s.busyUntil = 0
	s.mu.Unlock()
	for id, call := range calls {
		s.checker.callEnded(call.conn.server, id, detail, silentReleaseLimit)
	}
}

// reportStandingCalls tells the checker which calls stand at the server.
func (s *trialServer) reportStandingCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, call := range s.calls {
		s.checker.standsAtServer(call.conn.server, id, s.disturbedAt)
	}
}

// resetConns resets the connections of all processes.
func (s *trialServer) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedAt = s.checker.clock()
	for conn := range s.conns {
		faultnet.Reset(conn.Conn)
	}
}

// close ends the server.
func (s *trialServer) close() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.setState(serverServing)
	s.resetConns()
}
