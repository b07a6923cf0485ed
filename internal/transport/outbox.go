package transport

import (
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Limits are the size limits and timeouts of a connection.
type Limits struct {
	InitialBufferSize int           // initial size of the read buffer, and size of one write of several messages, in bytes
	MaxMessageSize    int           // max size of a received message, and of the set-ups that package m3ua sends, in bytes
	MaxQueuedBytes    int           // bytes queued for writing beyond which no set-up is queued, and WaitForRoom waits
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
	Optional     bool      // the message is dropped rather than exceed MaxQueuedBytes
	Withdrawable bool      // Data starts a set-up: the message can be withdrawn while queued, and expires at Deadline
	Deadline     time.Time // the write of a withdrawable message does not begin after this time
	OnWritten    func()    // called when the message has been written; may be nil
	OnExpired    func()    // called when the message was dropped because its deadline had passed; required for a withdrawable message

	queuedAt time.Time // set by Send
}

// Outbox writes messages to a connection in order. Only Flush, Linger and WaitForRoom wait for the peer: a goroutine writes while the queue
// is not empty, and calls the functions of the messages. The connection of a peer that reads nothing is closed when a write exceeds
// limits.WriteTimeout, or when the outbox's budget is exceeded. A long queue alone is no sign of such a peer: the goroutine may have had no
// turn yet.
type Outbox struct {
	conn   net.Conn
	limits Limits
	budget *Budget

	mu           sync.Mutex // guards the fields below
	room         *sync.Cond // signalled when WaitForRoom may return
	queue        []Message
	queuedBytes  int       // memory of the messages in queue and of the batch being written
	batchBytes   int       // memory of the batch being written
	batchSince   time.Time // when the first message of that batch was queued
	writing      bool      // writeLoop is running
	writeStarted time.Time // when the write in progress was started; zero if there is none
	closed       bool      // this side has closed the connection
	onFinished   func()    // the function passed to Finish, called after the last write; nil until Finish is called
}

// NewOutbox returns the outbox of a connection. Its messages count in the budget.
func NewOutbox(conn net.Conn, limits Limits, budget *Budget) *Outbox {
	o := &Outbox{conn: conn, limits: limits, budget: budget}
	o.room = sync.NewCond(&o.mu)
	return o
}

// messageOverhead is the approximate memory of a queued message besides its data, in bytes.
const messageOverhead = 192

// memory returns the approximate memory that a queued message takes, in bytes.
func (m *Message) memory() int { return messageOverhead + len(m.Data) }

// yieldAbove is the number of queued bytes at which Send lets the writing goroutine have its turn.
const yieldAbove = 64 << 10

// Send queues a message. It returns false if it drops the message: after Finish or Close, or because a withdrawable or optional message would
// exceed limits.MaxQueuedBytes. If the budget is exceeded, connections are closed, perhaps this one.
func (o *Outbox) Send(message Message) bool {
	queued, starved := o.enqueue(message)
	if starved {
		runtime.Gosched()
	}
	o.budget.reclaim()
	return queued
}

// enqueue adds a message to the queue, unless it has to be dropped. starved means that much is queued, and that the goroutine which writes
// has not had its turn.
func (o *Outbox) enqueue(message Message) (queued, starved bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	full := o.queuedBytes+message.memory() > o.limits.MaxQueuedBytes
	if o.closed || o.onFinished != nil || (message.Withdrawable || message.Optional) && full {
		return false, false
	}
	message.queuedAt = time.Now()
	o.queue = append(o.queue, message)
	o.countLocked(message.memory())
	o.startLocked()
	return true, o.queuedBytes > yieldAbove && o.writeStarted.IsZero()
}

// countLocked counts a change of the queued bytes. The caller holds o.mu.
func (o *Outbox) countLocked(change int) {
	o.queuedBytes += change
	o.budget.add(change)
}

// startLocked starts the goroutine that writes, if it does not run. The caller holds o.mu.
func (o *Outbox) startLocked() {
	if !o.writing {
		o.writing = true
		o.budget.setQueued(o, true)
		go o.writeLoop()
	}
}

// load returns what the outbox has queued, and whether its peer reads.
func (o *Outbox) load(now time.Time) outboxLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	return outboxLoad{o.queuedBytes, o.batchBytes > 0 && now.Sub(o.batchSince) > stalledAfter}
}

// WaitForRoom waits while more than limits.MaxQueuedBytes are queued: a peer that does not read what it is sent is not read any further
// either. It returns when the outbox is closed or finished, and after Interrupt once interrupted returns true.
func (o *Outbox) WaitForRoom(interrupted func() bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.queuedBytes > o.limits.MaxQueuedBytes && !o.closed && o.onFinished == nil && !interrupted() {
		o.room.Wait()
	}
}

// Interrupt has WaitForRoom look at its condition again.
func (o *Outbox) Interrupt() {
	o.mu.Lock() // WaitForRoom is not between its look and its wait
	defer o.mu.Unlock()
	o.room.Broadcast()
}

// Withdraw removes the withdrawable message with the given id from the queue. It reports whether the message was still queued.
func (o *Outbox) Withdraw(id uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, message := range o.queue {
		if message.Withdrawable && message.ID == id {
			o.countLocked(-message.memory())
			o.queue = slices.Delete(o.queue, i, i+1)
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
			o.countLocked(-message.memory())
		} else {
			remaining = append(remaining, message)
		}
	}
	clear(o.queue[len(remaining):])
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
	o.room.Broadcast()
	o.startLocked()
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
	o.countLocked(-o.queuedBytes)
	o.batchBytes = 0
	o.room.Broadcast()
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
		if !o.writeBatch(batch) {
			return
		}
	}
}

// writeBatch writes messages, except for those that have expired, and calls their functions. If the write fails, it closes the connection
// and returns false.
func (o *Outbox) writeBatch(batch []Message) bool {
	now := time.Now()
	o.conn.SetWriteDeadline(now.Add(o.limits.WriteTimeout))
	var data net.Buffers
	written := batch[:0]
	for _, message := range batch {
		if message.Withdrawable && now.After(message.Deadline) {
			message.OnExpired()
			continue
		}
		data = append(data, message.Data)
		written = append(written, message)
	}
	if _, err := data.WriteTo(o.conn); err != nil {
		o.Close()
		o.endWriting()
		return false
	}
	for _, message := range written {
		if message.OnWritten != nil {
			message.OnWritten()
		}
	}
	return true
}

// endWriting records that writeLoop ends after a failed write.
func (o *Outbox) endWriting() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
	o.budget.setQueued(o, false)
}

// nextBatch removes the messages of the next write from the queue. When the queue is empty it returns the function passed to
// Finish, if any.
func (o *Outbox) nextBatch() (batch []Message, done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.countLocked(-o.batchBytes)
	o.batchBytes = 0
	o.room.Broadcast()
	if o.writeStarted = (time.Time{}); o.closed || len(o.queue) == 0 {
		o.writing = false
		o.budget.setQueued(o, false)
		if o.closed {
			return nil, nil
		}
		return nil, o.onFinished
	}
	count, size := 0, 0
	for count < len(o.queue) && (count == 0 || size+len(o.queue[count].Data) <= o.limits.InitialBufferSize) {
		size += len(o.queue[count].Data)
		o.batchBytes += o.queue[count].memory()
		count++
	}
	o.batchSince = o.queue[0].queuedAt
	batch = slices.Clone(o.queue[:count])
	clear(o.queue[:count])
	o.queue = o.queue[count:]
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
