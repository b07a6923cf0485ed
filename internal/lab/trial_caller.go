package lab

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// trialCaller is a connection of a trial's callers to a softswitch.
type trialCaller struct {
	trial   *trial
	member  int
	conn    net.Conn
	mu      sync.Mutex               // guards writes and the fields below
	pending map[uint64]*pendingSetUp // set-ups without a final answer
	leaving bool                     // the callers close the connection themselves
	ended   bool                     // the connection has ended
}

// pendingSetUp is a set-up without a final answer.
type pendingSetUp struct {
	message []byte
	sentAt  time.Time // when the last byte was written; zero: not yet
	resent  bool      // the set-up crossed the close of a connection and was sent again
}

// dialTrialCaller connects to a softswitch; the result is nil if that fails.
func (t *trial) dialTrialCaller(member int) *trialCaller {
	conn, err := net.DialTimeout("tcp", t.members[member].listenAddr, 300*time.Millisecond)
	if err != nil {
		return nil
	}
	c := &trialCaller{trial: t, member: member, conn: conn, pending: make(map[uint64]*pendingSetUp)}
	go c.read()
	return c
}

// sendSetUp sends a set-up. It returns false if the connection has ended. In pieces, the message is written slowly; nothing else may use
// the connection then.
func (c *trialCaller) sendSetUp(id uint64, left time.Duration, inPieces bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.leaving {
		return false
	}
	c.trial.checker.setUpSent(id, c.member, left)
	message := setUpMessage(id, trialClass, left)
	setUp := &pendingSetUp{message: message}
	c.pending[id] = setUp
	if inPieces {
		c.conn.Write(message[:len(message)/2])
		c.mu.Unlock()
		time.Sleep(left / 20)
		c.mu.Lock()
		if c.ended {
			return false
		}
		message = message[len(message)/2:]
	}
	if _, err := c.conn.Write(message); err != nil {
		delete(c.pending, id)
		c.trial.checker.excuse(id) // never taken whole
		return false
	}
	setUp.sentAt = time.Now()
	return true
}

// giveUp gives a set-up up, if it has no answer yet.
func (c *trialCaller) giveUp(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[id] == nil || c.ended {
		return
	}
	delete(c.pending, id)
	c.trial.checker.callerLeft(id)
	c.conn.Write(releaseMessage(id, 16))
}

// release ends an established call.
func (c *trialCaller) release(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.leaving {
		return false
	}
	_, err := c.conn.Write(releaseMessage(id, 16))
	return err == nil
}

// read handles what the softswitch sends until the connection ends.
func (c *trialCaller) read() {
	reader := bufio.NewReader(c.conn)
	for {
		header := make([]byte, 2)
		if _, err := io.ReadFull(reader, header); err != nil {
			c.end(err)
			return
		}
		body := make([]byte, binary.BigEndian.Uint16(header))
		if _, err := io.ReadFull(reader, body); err != nil || len(body) < 9 {
			c.end(err)
			return
		}
		id := binary.BigEndian.Uint64(body[1:9])
		c.mu.Lock()
		_, pending := c.pending[id]
		if body[0] == msgAnswer || body[0] == msgRelease {
			delete(c.pending, id)
		}
		c.mu.Unlock()
		switch {
		case body[0] == msgAnswer:
			c.trial.answered(c, id, findParam(body[9:], paramDesc), pending)
		case body[0] == msgRelease && pending:
			c.trial.checker.finalAnswer(id, false, "")
		case body[0] == msgRelease:
			c.trial.checker.releaseRead(id)
		case body[0] == msgReleaseAck:
			c.trial.checker.releaseAcknowledged(id)
		}
	}
}

// end handles the end of the connection. A set-up that crossed it is sent again, once, on a new connection.
func (c *trialCaller) end(err error) {
	c.mu.Lock()
	c.ended = true
	pending, leaving := c.pending, c.leaving
	c.pending = nil
	c.mu.Unlock()
	c.conn.Close()
	if leaving {
		return
	}
	for id, setUp := range pending {
		if setUp.sentAt.IsZero() {
			c.trial.checker.excuse(id)
			continue
		}
		if setUp.resent || time.Since(setUp.sentAt) > closeCrossing {
			c.trial.checker.connectionEnded(id, err)
			continue
		}
		c.trial.resend(c.member, id, setUp, err)
	}
}

// resend sends a set-up again that crossed the close of its connection. A softswitch that accepts no connection has not taken it.
func (t *trial) resend(member int, id uint64, setUp *pendingSetUp, err error) {
	next := t.dialTrialCaller(member)
	if next == nil {
		t.checker.excuse(id)
		return
	}
	next.mu.Lock()
	defer next.mu.Unlock()
	setUp.resent, setUp.sentAt = true, time.Now()
	if next.ended {
		t.checker.excuse(id)
		return
	}
	next.pending[id] = setUp
	if _, writeErr := next.conn.Write(setUp.message); writeErr != nil {
		t.checker.excuse(id)
	}
	t.addCaller(next)
}

// leave closes the connection from the callers' side. Their open set-ups are given up by that.
func (c *trialCaller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.leaving = true
	for id := range c.pending {
		c.trial.checker.callerLeft(id)
	}
	c.conn.Close()
}

// open says whether the connection can be used.
func (c *trialCaller) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && !c.leaving
}

// addCaller adds a connection to those in use.
func (t *trial) addCaller(c *trialCaller) {
	t.mu.Lock()
	t.callers[c.member] = append(t.callers[c.member], c)
	t.mu.Unlock()
}

// caller returns one of the open connections to a softswitch, or a new one: while fewer than the given number are open or, at random, to
// replace one. The result is nil if there is none.
func (t *trial) caller(member, count int) *trialCaller {
	t.mu.Lock()
	t.callers[member] = slices.DeleteFunc(t.callers[member], func(c *trialCaller) bool { return !c.open() })
	open := t.callers[member]
	var chosen *trialCaller
	if len(open) >= count || len(open) > 0 && t.rng.IntN(4) > 0 {
		chosen = open[t.rng.IntN(len(open))]
	}
	t.mu.Unlock()
	if chosen != nil || !t.members[member].acceptsConnections() {
		return chosen
	}
	if chosen = t.dialTrialCaller(member); chosen != nil {
		t.addCaller(chosen)
	}
	return chosen
}
