package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// front is a stand-in of the callers: it keeps what has come for each call, on whatever connection.
type front struct {
	*record
	address string

	mu     sync.Mutex
	next   int
	events map[uint64][]callerEvent
}

type callerEvent struct {
	at    time.Time
	kind  byte
	cause int
	desc  string
	conn  int
}

// callerLink is a connection of the callers.
type callerLink struct {
	front  *front
	number int
	conn   net.Conn
	tested chan byte
	done   chan struct{}

	endedAt time.Time // when the connection ended; valid once done is closed
	writer  sync.Mutex
	pieces  func(size int) int // where a message is cut in two; nil: never
}

func newFront(r *record, address string) *front {
	return &front{record: r, address: address, events: make(map[uint64][]callerEvent)}
}

// connect opens a connection.
func (f *front) connect() (*callerLink, error) {
	conn, err := net.DialTimeout("tcp", f.address, time.Second)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.next++
	l := &callerLink{front: f, number: f.next, conn: conn, tested: make(chan byte, 4), done: make(chan struct{})}
	f.mu.Unlock()
	go l.read()
	return l, nil
}

func (l *callerLink) read() {
	defer func() {
		l.endedAt = time.Now()
		close(l.done)
	}()
	header := make([]byte, 2)
	for {
		if _, err := io.ReadFull(l.conn, header); err != nil {
			l.front.printf("caller   connection %d ended: %v", l.number, err)
			return
		}
		body := make([]byte, binary.BigEndian.Uint16(header))
		if _, err := io.ReadFull(l.conn, body); err != nil {
			l.front.printf("caller   connection %d ended within a message: %v", l.number, err)
			return
		}
		id := binary.BigEndian.Uint64(body[1:])
		event := callerEvent{at: time.Now(), kind: body[0], cause: -1, conn: l.number}
		for params := body[9:]; len(params) >= 3; {
			n := int(binary.BigEndian.Uint16(params[1:]))
			value := params[3 : 3+n]
			switch params[0] {
			case 58:
				event.cause = int(value[0])
			case 61:
				event.desc = string(value)
			}
			params = params[3+n:]
		}
		switch event.kind {
		case 53:
			select {
			case l.tested <- byte(event.cause):
			default:
			}
			continue
		case 9:
			l.front.printf("caller   connection %d: answer to %016x: it stands", l.number, id)
		case 12:
			l.front.printf("caller   connection %d: release of %016x, cause %d", l.number, id, event.cause)
			l.send(16, id, nil)
		case 16:
			l.front.printf("caller   connection %d: release of %016x heard", l.number, id)
		}
		l.front.mu.Lock()
		l.front.events[id] = append(l.front.events[id], event)
		l.front.mu.Unlock()
	}
}

func parameter(b []byte, code byte, value string) []byte {
	b = append(b, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
	return append(b, value...)
}

func (l *callerLink) send(kind byte, id uint64, params []byte) error {
	b := binary.BigEndian.AppendUint16(nil, uint16(9+len(params)))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(b, params...)
	l.writer.Lock()
	defer l.writer.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	if l.pieces != nil && len(b) > 2 {
		if n := l.pieces(len(b)); n > 0 {
			if _, err := l.conn.Write(b[:n]); err != nil {
				return err
			}
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			b = b[n:]
		}
	}
	_, err := l.conn.Write(b)
	return err
}

// test asks whether the softswitch takes new calls, as the front does.
func (l *callerLink) test(timeout time.Duration) bool {
	if l.send(52, rand.Uint64(), parameter(nil, 58, "\x00")) != nil {
		return false
	}
	select {
	case passed := <-l.tested:
		return passed == 1
	case <-l.done:
		return false
	case <-time.After(timeout):
		return false
	}
}

// setUp sends a set-up and returns its id.
func (l *callerLink) setUp(class, key string, left time.Duration) (uint64, error) {
	id := rand.Uint64() | 1
	params := parameter(nil, 16, class)
	params = parameter(params, 19, strconv.FormatInt(left.Milliseconds(), 10))
	params = parameter(params, 28, key)
	params = parameter(params, 31, "dest:0;width:1;via:-1")
	params = parameter(params, 61, fmt.Sprintf("%016x\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", id))
	err := l.send(1, id, params)
	if err == nil {
		l.front.printf("caller   connection %d: set-up %016x, class %s, left %v", l.number, id, class, left)
	}
	return id, err
}

// release sends the end of a call.
func (l *callerLink) release(id uint64, why byte) error {
	l.front.printf("caller   connection %d: end of %016x, cause %d", l.number, id, why)
	return l.send(12, id, parameter(nil, 58, string([]byte{why})))
}

// eventsOf returns what has come for a call: answers and releases, in order.
func (f *front) eventsOf(id uint64) []callerEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []callerEvent
	for _, event := range f.events[id] {
		if event.kind != 16 {
			events = append(events, event)
		}
	}
	return events
}

// await waits until count answers and releases have come for a call.
func (f *front) await(id uint64, count int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		if len(f.eventsOf(id)) >= count {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// awaitAdmission polls as the front does, until a new connection passes a test. It returns that connection.
func (f *front) awaitAdmission(timeout time.Duration) *callerLink {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		l, err := f.connect()
		if err != nil {
			continue
		}
		if l.test(time.Second) {
			f.printf("caller   connection %d passed the test: the front admits the softswitch", l.number)
			return l
		}
		l.conn.Close()
	}
	return nil
}
