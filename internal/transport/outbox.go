package transport

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

// Limits are the size limits and timeouts of a connection.
type Limits struct {
	InitialBufferSize int           // initial size of the read buffer, and size of the write buffer, in bytes
	MaxMessageSize    int           // max size of a received message, and of the set-ups that package m3ua sends, in bytes
	MaxQueuedBytes    int           // max bytes queued for writing; beyond it the peer counts as stalled and the connection is closed
	WriteTimeout      time.Duration // max duration of one write; beyond it the connection is closed
	MessageTimeout    time.Duration // max time until the first message, or a message that has begun, is complete
	IdleTimeout       time.Duration // max time without data between messages
	LineTimeout       time.Duration // max time from the first byte of a line to its last
	MaxSilence        time.Duration // max time without data after which a peer that sends at regular intervals counts as silent
	LingerTimeout     time.Duration // max time between half-close and close, in which the peer reads the last messages
	MaxLingerBytes    int           // max bytes read and dropped from the peer within LingerTimeout
	FlushTimeout      time.Duration // max wait of Flush; WithdrawAll closes the connection if a write has taken longer
}

// Message is a message that an Outbox writes.
type Message struct {
	Data         []byte
	ID           uint64    // identifies a withdrawable message to Withdraw and WithdrawAll
	Withdrawable bool      // Data starts a set-up: the message can be withdrawn while queued, and expires at Deadline
	Deadline     time.Time // the write of a withdrawable message does not begin after this time
	OnWritten    func()    // called when the message has been written; may be nil
	OnExpired    func()    // called when the message was dropped because its deadline had passed; required for a withdrawable message
}

// Outbox writes messages to a connection in order. Only Flush and Linger wait for the peer: a goroutine writes while the queue
// is not empty, and calls the functions of the messages. The connection of a peer that reads nothing is closed when a write
// exceeds limits.WriteTimeout or the queue exceeds limits.MaxQueuedBytes.
type Outbox struct {
	conn   net.Conn
	limits Limits
	writer *bufio.Writer

	mu           sync.Mutex // guards the fields below
	queue        []Message
	queuedBytes  int       // total size of the messages in queue
	writing      bool      // writeLoop is running
	writeStarted time.Time // when the write in progress was started; zero if there is none
	closed       bool      // this side has closed the connection
	onFinished   func()    // the function passed to Finish, called after the last write; nil until Finish is called
}

// NewOutbox returns the outbox of a connection.
func NewOutbox(conn net.Conn, limits Limits) *Outbox {
	return &Outbox{conn: conn, limits: limits, writer: bufio.NewWriterSize(conn, limits.InitialBufferSize)}
}

// Send queues a message. It closes the connection if more than limits.MaxQueuedBytes are queued. After Finish or Close the
// message is dropped.
func (o *Outbox) Send(message Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.onFinished != nil {
		return
	}
	if o.queuedBytes += len(message.Data); o.queuedBytes > o.limits.MaxQueuedBytes {
		o.closeLocked()
		return
	}
	o.queue = append(o.queue, message)
	if !o.writing {
		o.writing = true
		go o.writeLoop()
	}
}

// Withdraw removes the withdrawable message with the given id from the queue. It reports whether the message was still queued.
func (o *Outbox) Withdraw(id uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, message := range o.queue {
		if message.Withdrawable && message.ID == id {
			o.queuedBytes -= len(message.Data)
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			return true
		}
	}
	return false
}

// WithdrawAll removes all withdrawable messages from the queue and returns their ids. If a write has been in progress for more
// than limits.FlushTimeout it closes the connection: the write may contain messages that the peer would receive too late.
func (o *Outbox) WithdrawAll() (ids []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	remaining := o.queue[:0]
	for _, message := range o.queue {
		if message.Withdrawable {
			ids = append(ids, message.ID)
			o.queuedBytes -= len(message.Data)
		} else {
			remaining = append(remaining, message)
		}
	}
	o.queue = remaining
	if !o.writeStarted.IsZero() && time.Since(o.writeStarted) > o.limits.FlushTimeout {
		o.closeLocked()
	}
	return ids
}

// Finish half-closes the connection once the queue is written, and then calls done. The peer can thus read the last messages,
// followed by the end of the stream. If the half-close fails, the connection is closed before done is called. If the connection
// is closed before the queue is written, or after an earlier Finish, done is never called. Messages passed to Send after Finish
// are dropped. Finish does not wait.
func (o *Outbox) Finish(done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.onFinished != nil {
		return
	}
	o.onFinished = done
	if !o.writing {
		o.writing = true
		go o.writeLoop()
	}
}

// Close drops the queue and closes the connection at once.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeLocked()
}

// closeLocked drops the queue and closes the connection. The caller holds o.mu.
func (o *Outbox) closeLocked() {
	o.closed, o.queue = true, nil
	o.conn.Close()
}

// writeLoop writes until the queue is empty or the connection is closed. The size of one write is limited so that the messages
// behind it can still be withdrawn.
func (o *Outbox) writeLoop() {
	for {
		batch, done := o.nextBatch()
		if len(batch) == 0 {
			if done != nil {
				if halfCloser, ok := o.conn.(interface{ CloseWrite() error }); !ok || halfCloser.CloseWrite() != nil {
					o.Close()
				}
				done()
			}
			return
		}
		now := time.Now()
		o.conn.SetWriteDeadline(now.Add(o.limits.WriteTimeout))
		var err error
		written := batch[:0]
		for _, message := range batch {
			if message.Withdrawable && now.After(message.Deadline) {
				message.OnExpired()
				continue
			}
			if _, err = o.writer.Write(message.Data); err != nil {
				break
			}
			written = append(written, message)
		}
		if err == nil {
			err = o.writer.Flush()
		}
		if err != nil {
			o.Close()
			return
		}
		for _, message := range written {
			if message.OnWritten != nil {
				message.OnWritten()
			}
		}
	}
}

// nextBatch removes the messages of the next write from the queue. When the queue is empty it returns the function passed to
// Finish, if any.
func (o *Outbox) nextBatch() (batch []Message, done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writeStarted = (time.Time{}); o.closed || len(o.queue) == 0 {
		o.writing = false
		if o.closed {
			return nil, nil
		}
		return nil, o.onFinished
	}
	count, size := 0, 0
	for count < len(o.queue) && (count == 0 || size+len(o.queue[count].Data) <= o.limits.InitialBufferSize) {
		size += len(o.queue[count].Data)
		count++
	}
	batch = append([]Message(nil), o.queue[:count]...)
	o.queue = append(o.queue[:0], o.queue[count:]...)
	o.queuedBytes -= size
	o.writeStarted = time.Now()
	return batch, nil
}

// Flush waits until the queue is written, for at most limits.FlushTimeout. It reports whether the queue was written and the
// connection was not closed by this side.
func (o *Outbox) Flush() bool {
	for deadline := time.Now().Add(o.limits.FlushTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		o.mu.Lock()
		idle, closed := !o.writing, o.closed
		o.mu.Unlock()
		if idle || closed {
			return !closed
		}
	}
	return false
}

// Linger flushes the outbox, half-closes the connection and drops what the peer still sends, within limits.LingerTimeout and
// limits.MaxLingerBytes. It blocks meanwhile and leaves the close to its user. The peer can thus read the last messages. A
// close with data of the peer unread would reset the connection, and the peer's kernel would discard what the peer has not read.
func (o *Outbox) Linger(conn net.Conn) {
	o.Flush()
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(o.limits.LingerTimeout))
		io.CopyN(io.Discard, conn, int64(o.limits.MaxLingerBytes))
	}
}
