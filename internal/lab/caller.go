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

// The callers' binary messages (PROTOCOL, "Messages").
const (
	msgSetUp   = 1
	msgAnswer  = 9
	msgRelease = 12
	msgHeard   = 16

	paramClass  = 16
	paramLeft   = 19
	paramNumber = 28
	paramFigs   = 31
	paramCause  = 58
	paramDesc   = 61
)

// callerEvents is what a caller's connection tells the runner.
type callerEvents interface {
	now() time.Duration
	sent(id uint64, to int, giveUp time.Duration)
	final(id uint64, served bool, desc string)
	unanswered(id uint64, to int)
	withdrawn(id uint64) // not written whole after all
}

// callerConn is one connection of callers to one softswitch: set-ups go out, answers come back on one reader.
type callerConn struct {
	to   int
	ev   callerEvents
	conn net.Conn
	mu   sync.Mutex
	open map[uint64]time.Duration // set-ups without a final answer, and their give-up
	done chan struct{}
}

func dialCaller(address string, to int, ev callerEvents) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", address, 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	cc := &callerConn{to: to, ev: ev, conn: c, open: make(map[uint64]time.Duration), done: make(chan struct{})}
	go cc.read()
	return cc, nil
}

func setUpMessage(id uint64, class string, giveUp time.Duration) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, msgSetUp}, id)
	param := func(code byte, v string) {
		b = append(binary.BigEndian.AppendUint16(append(b, code), uint16(len(v))), v...)
	}
	param(paramClass, class)
	param(paramLeft, fmt.Sprint(giveUp.Milliseconds()))
	param(paramNumber, fmt.Sprintf("%016x", id^0x5a5a))
	param(paramFigs, "dest:0;width:1;via:-1")
	param(paramDesc, "lab")
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

func releaseMessage(id uint64, cause byte) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, msgRelease}, id)
	b = append(b, paramCause, 0, 1, cause)
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

func (c *callerConn) write(b []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := c.conn.Write(b)
	return err
}

// setUp sends a set-up and gives it up when its caller stops waiting.
func (c *callerConn) setUp(id uint64, class string, wait time.Duration) error {
	giveUp := c.ev.now() + wait
	c.ev.sent(id, c.to, giveUp) // before the write: its answer may come back at once
	c.mu.Lock()
	c.open[id] = giveUp
	err := c.write(setUpMessage(id, class, wait))
	if err != nil {
		delete(c.open, id)
	}
	c.mu.Unlock()
	if err != nil {
		c.ev.withdrawn(id)
		return err
	}
	time.AfterFunc(wait, func() {
		c.mu.Lock()
		_, still := c.open[id]
		delete(c.open, id)
		if still {
			c.write(releaseMessage(id, 16))
		}
		c.mu.Unlock()
		if still {
			c.ev.unanswered(id, c.to)
		}
	})
	return nil
}

func (c *callerConn) read() {
	defer close(c.done)
	r := bufio.NewReaderSize(c.conn, 16<<10)
	head := make([]byte, 2)
	for {
		if _, err := io.ReadFull(r, head); err != nil {
			break
		}
		body := make([]byte, binary.BigEndian.Uint16(head))
		if _, err := io.ReadFull(r, body); err != nil || len(body) < 9 {
			break
		}
		id := binary.BigEndian.Uint64(body[1:9])
		c.mu.Lock()
		_, open := c.open[id]
		delete(c.open, id)
		c.mu.Unlock()
		switch body[0] {
		case msgAnswer:
			c.ev.final(id, true, param(body[9:], paramDesc))
		case msgRelease:
			if open {
				c.ev.final(id, false, "")
			} else {
				c.write(append([]byte{0, 9, msgHeard}, body[1:9]...))
			}
		}
	}
	c.conn.Close()
	c.mu.Lock()
	lost := c.open
	c.open = map[uint64]time.Duration{}
	c.mu.Unlock()
	for id := range lost {
		c.ev.unanswered(id, c.to)
	}
}

// param finds a parameter's value in a message's parameters.
func param(b []byte, code byte) string {
	for len(b) >= 3 {
		n := int(binary.BigEndian.Uint16(b[1:3]))
		if len(b) < 3+n {
			return ""
		}
		if b[0] == code {
			return string(b[3 : 3+n])
		}
		b = b[3+n:]
	}
	return ""
}

// madeBy says whether a description is one that a stand-in made for this call.
func madeBy(desc string, id uint64) bool {
	return strings.HasPrefix(desc, "lab:") && strings.HasSuffix(desc, fmt.Sprintf(":%016x", id))
}

func (c *callerConn) close() {
	c.conn.Close()
	<-c.done
}
