package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

// longestGapInLine is the longest time, in milliseconds, between the two pieces of a line.
const longestGapInLine = 5

// report sends the state of the server's group first of all, and then at the interval.
func (s *trialServer) report(c *trialServerConn) {
	for s.reportInterval > 0 {
		s.send(c, `{"op":"group","call":"0000000000000000","with":{"load":"spare:100;total:200;cut_by:0"}}`)
		select {
		case <-c.done:
			return
		case <-time.After(s.reportInterval):
		}
	}
}

// send queues a line for a connection.
func (s *trialServer) send(c *trialServerConn, line string) { s.sendAndReport(c, line, nil) }

// sendAndReport queues a line for a connection, and has a function called when it is written.
func (s *trialServer) sendAndReport(c *trialServerConn, line string, written func()) {
	select {
	case c.writes <- serverLine{line, written}:
	case <-c.done:
	default:
	}
}

// write writes the lines of a connection while the server serves.
func (s *trialServer) write(c *trialServerConn) {
	for {
		select {
		case <-c.done:
			return
		case line := <-c.writes:
			if !s.awaitServing(c) {
				return
			}
			s.mu.Lock()
			pieces, cut := s.faults.Pieces && s.rng.IntN(4) == 0, 1+s.rng.IntN(len(line.text))
			s.mu.Unlock()
			text := line.text + "\n"
			if pieces {
				c.Write([]byte(text[:cut]))
				time.Sleep(time.Duration(cut%(longestGapInLine+1)) * time.Millisecond)
				text = text[cut:]
			}
			if line.written != nil {
				line.written()
			}
			c.Write([]byte(text))
		}
	}
}

// awaitServing waits while the server is hung or vanished. It returns false if the connection or its process has ended.
func (s *trialServer) awaitServing(c *trialServerConn) bool {
	for {
		s.mu.Lock()
		state, process, resumed := s.state, s.process, s.resumed
		s.mu.Unlock()
		switch {
		case process != c.process:
			return false
		case state == serverServing:
			return true
		}
		select {
		case <-resumed:
		case <-c.done:
			return false
		}
	}
}

// awaitAnyProcess waits until the present process or a later one serves, or until a channel is closed.
func (s *trialServer) awaitAnyProcess(done <-chan struct{}) {
	for {
		s.mu.Lock()
		serving, resumed := s.state == serverServing, s.resumed
		s.mu.Unlock()
		if serving {
			return
		}
		select {
		case <-resumed:
		case <-done:
			return
		}
	}
}

// serve reads a connection until it ends.
func (s *trialServer) serve(c *trialServerConn) {
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 4<<10), 64<<10)
	s.mu.Lock()
	idleClose := s.faults.IdleClose
	s.mu.Unlock()
	malformed := "" // the last line, if it could not be decoded
	for {
		if idleClose > 0 {
			c.SetReadDeadline(time.Now().Add(idleClose))
		}
		more := lines.Scan()
		if malformed != "" && (more || lines.Err() == nil) { // otherwise a reset by this side, or another failure, has cut the line
			s.checker.report("malformed line to a server", "%s: %.80q", c.server, malformed)
		}
		if !more {
			break
		}
		malformed = ""
		var message struct {
			Op   string `json:"op"`
			Call string `json:"call"`
		}
		if err := json.Unmarshal(lines.Bytes(), &message); err != nil {
			malformed = lines.Text()
			continue
		}
		id, err := strconv.ParseUint(message.Call, 16, 64)
		if err != nil {
			continue
		}
		switch message.Op {
		case "offer":
			s.receiveOffer(c, id)
		case "end":
			s.receiveEnd(c, id)
		case "test":
			s.send(c, fmt.Sprintf(`{"op":"tested","call":%q,"with":{},"why":1}`, message.Call))
		}
	}
	if errors.Is(lines.Err(), os.ErrDeadlineExceeded) {
		s.awaitAnyProcess(c.done) // a server that is cut off or hangs closes no idle connection
	}
	s.endConn(c)
}

// endConn ends a connection with its set-ups. The calls that were answered on it stand on.
func (s *trialServer) endConn(c *trialServerConn) {
	s.mu.Lock()
	s.disturbedAt = s.checker.clock()
	delete(s.conns, c)
	pending := c.pending
	c.pending = map[uint64]bool{}
	s.mu.Unlock()
	close(c.done)
	for id := range pending {
		s.checker.attemptEnded(c.server, id, true)
	}
	s.awaitAnyProcess(nil) // a machine that is cut off sends no end of the connection
	c.Close()
}
