package lab

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// The callers' binary messages (PROTOCOL, "Messages"): message types, then parameter codes.
const (
	msgSetUp      = 1
	msgAnswer     = 9
	msgRelease    = 12
	msgReleaseAck = 16

	paramClass    = 16
	paramTimeLeft = 19
	paramNumber   = 28
	paramExtras   = 31
	paramCause    = 58
	paramDesc     = 61
)

// callerObserver receives what happens on callers' connections. The runner implements it.
type callerObserver interface {
	now() time.Duration
	setUpSent(id uint64, memberIndex int, giveUpAt time.Duration)
	finalAnswer(id uint64, served bool, desc string)
	setUpUnanswered(id uint64, memberIndex int)
	// setUpNotWritten takes back an earlier setUpSent: the set-up could not be written to the connection whole.
	setUpNotWritten(id uint64)
}

// callerConn is one callers' connection to one softswitch. Several set-ups can be pending on it; one goroutine reads
// the answers.
type callerConn struct {
	memberIndex int // the softswitch that the connection goes to
	// observer is notified of set-ups sent, answered and given up.
	observer callerObserver
	conn     net.Conn
	mu       sync.Mutex               // guards pending, and the writes of set-ups and give-ups
	pending  map[uint64]time.Duration // set-ups without a final answer, and the time at which each is given up
	done     chan struct{}            // closed when the reader has ended
}

// dialCaller connects to a softswitch's caller address and starts the connection's reader.
func dialCaller(address string, memberIndex int, observer callerObserver) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", address, 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	caller := &callerConn{memberIndex: memberIndex, observer: observer, conn: conn,
		pending: make(map[uint64]time.Duration), done: make(chan struct{})}
	go caller.readMessages()
	return caller, nil
}

// setUpMessage encodes a set-up. giveUpAfter is the time that the caller waits, sent in milliseconds. The called number
// is derived from the id.
func setUpMessage(id uint64, class string, giveUpAfter time.Duration) []byte {
	message := binary.BigEndian.AppendUint64([]byte{0, 0, msgSetUp}, id)
	appendParam := func(code byte, value string) {
		message = append(binary.BigEndian.AppendUint16(append(message, code), uint16(len(value))), value...)
	}
	appendParam(paramClass, class)
	appendParam(paramTimeLeft, fmt.Sprint(giveUpAfter.Milliseconds()))
	appendParam(paramNumber, fmt.Sprintf("%016x", id^0x5a5a))
	appendParam(paramExtras, "dest:0;width:1;via:-1")
	appendParam(paramDesc, "lab")
	binary.BigEndian.PutUint16(message, uint16(len(message)-2))
	return message
}

// releaseMessage encodes a release with a Q.850 cause.
func releaseMessage(id uint64, cause byte) []byte {
	message := binary.BigEndian.AppendUint64([]byte{0, 0, msgRelease}, id)
	message = append(message, paramCause, 0, 1, cause)
	binary.BigEndian.PutUint16(message, uint16(len(message)-2))
	return message
}

// writeMessage sends a message, and fails if the message is not written whole within 200 ms. A connection on which a part was written is
// closed, as nothing that follows could be read.
func (c *callerConn) writeMessage(message []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	written, err := c.conn.Write(message)
	if err != nil && written > 0 {
		c.conn.Close()
	}
	return err
}

// sendSetUp sends a set-up, and releases it with Q.850 cause 16 (normal clearing) if it has no final answer after
// giveUpAfter.
func (c *callerConn) sendSetUp(id uint64, class string, giveUpAfter time.Duration) error {
	giveUpAt := c.observer.now() + giveUpAfter
	c.observer.setUpSent(id, c.memberIndex, giveUpAt) // before the write, because the answer may arrive at once
	c.mu.Lock()
	c.pending[id] = giveUpAt
	err := c.writeMessage(setUpMessage(id, class, giveUpAfter))
	if err != nil {
		delete(c.pending, id)
	}
	c.mu.Unlock()
	if err != nil {
		c.observer.setUpNotWritten(id)
		return err
	}
	time.AfterFunc(giveUpAfter, func() {
		c.mu.Lock()
		_, stillPending := c.pending[id]
		delete(c.pending, id)
		if stillPending {
			c.writeMessage(releaseMessage(id, 16))
		}
		c.mu.Unlock()
		if stillPending {
			c.observer.setUpUnanswered(id, c.memberIndex)
		}
	})
	return nil
}

// readMessages handles answers and releases until the connection ends; set-ups still pending then are reported as
// unanswered. A release of a call that is no longer pending is acknowledged.
func (c *callerConn) readMessages() {
	defer close(c.done)
	reader := bufio.NewReaderSize(c.conn, 16<<10)
	header := make([]byte, 2)
	for {
		if _, err := io.ReadFull(reader, header); err != nil {
			break
		}
		body := make([]byte, binary.BigEndian.Uint16(header))
		if _, err := io.ReadFull(reader, body); err != nil || len(body) < 9 {
			break
		}
		id := binary.BigEndian.Uint64(body[1:9])
		c.mu.Lock()
		_, wasPending := c.pending[id]
		delete(c.pending, id)
		c.mu.Unlock()
		switch body[0] {
		case msgAnswer:
			c.observer.finalAnswer(id, true, findParam(body[9:], paramDesc))
		case msgRelease:
			if wasPending {
				c.observer.finalAnswer(id, false, "")
			} else {
				c.writeMessage(append([]byte{0, 9, msgReleaseAck}, body[1:9]...))
			}
		}
	}
	c.conn.Close()
	c.mu.Lock()
	unanswered := c.pending
	c.pending = map[uint64]time.Duration{}
	c.mu.Unlock()
	for id := range unanswered {
		c.observer.setUpUnanswered(id, c.memberIndex)
	}
}

// findParam returns the value of the first parameter with the given code, or "" if there is none or the parameters
// are malformed.
func findParam(params []byte, code byte) string {
	for len(params) >= 3 {
		n := int(binary.BigEndian.Uint16(params[1:3]))
		if len(params) < 3+n {
			return ""
		}
		if params[0] == code {
			return string(params[3 : 3+n])
		}
		params = params[3+n:]
	}
	return ""
}

// descriptionIsFromStandIn reports whether an answer's description was made by a stand-in server for
// the call with this id.
func descriptionIsFromStandIn(description string, id uint64) bool {
	return strings.HasPrefix(description, "lab:") && strings.HasSuffix(description, fmt.Sprintf(":%016x", id))
}

// close closes the connection and waits for its reader.
func (c *callerConn) close() {
	c.conn.Close()
	<-c.done
}
