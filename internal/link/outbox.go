package link

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// Limits are the sizes and times of a connection.
type Limits struct {
	InitialBufferSize int           // the read buffer's first size
	MaxMessageSize    int           // the longest message
	MaxQueuedBytes    int           // bytes that may wait to be written before the peer counts as stalled
	WriteTimeout      time.Duration // and the longest that one write may take
	MessageTimeout    time.Duration // to the end of the first message, or of one that has begun
	IdleTimeout       time.Duration // without a message
	LineTimeout       time.Duration // from a line's first byte to its last
	MaxSilence        time.Duration // the longest that a peer may be silent that speaks at intervals
	LingerTimeout     time.Duration // that a connection's end may take, for the peer to read what it was told
	MaxLingerBytes    int           // bytes that the peer may send in that time
	FlushTimeout      time.Duration // a write that takes so long is broken off where new work has to stop
}

// Item is a message to be written.
type Item struct {
	Data        []byte
	ID          uint64
	Retractable bool      // it starts a set-up: it can be taken back, and is not begun
	Deadline    time.Time // after this time
	OnWritten   func()    // called when it is written
	OnExpired   func()    // called when it was not, as its time was over
}

// Outbox writes messages to a connection in order. Its user never waits for the peer: a goroutine
// writes while there is something to write. A peer that takes nothing costs its own connection.
type Outbox struct {
	conn   net.Conn
	limits Limits
	writer *bufio.Writer

	mu           sync.Mutex
	queue        []Item
	queuedBytes  int
	writing      bool
	writeStarted time.Time // of the write under way; zero: none
	closed       bool
	onFinished   func() // what follows the last write; nil: it is not asked for
}

// NewOutbox makes the outbox of a connection.
func NewOutbox(conn net.Conn, limits Limits) *Outbox {
	return &Outbox{conn: conn, limits: limits, writer: bufio.NewWriterSize(conn, limits.InitialBufferSize)}
}

// Post queues a message.
func (o *Outbox) Post(item Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.onFinished != nil {
		return
	}
	if o.queuedBytes += len(item.Data); o.queuedBytes > o.limits.MaxQueuedBytes {
		o.closeLocked()
		return
	}
	o.queue = append(o.queue, item)
	if !o.writing {
		o.writing = true
		go o.writeLoop()
	}
}

// Retract removes an offer that has not been begun, and says whether it did.
func (o *Outbox) Retract(id uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, item := range o.queue {
		if item.Retractable && item.ID == id {
			o.queuedBytes -= len(item.Data)
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			return true
		}
	}
	return false
}

// RetractAll removes all offers that have not been begun and returns their ids. A write that is stuck may
// hold some that the peer would get too late: the connection is closed.
func (o *Outbox) RetractAll() (ids []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	remaining := o.queue[:0]
	for _, item := range o.queue {
		if item.Retractable {
			ids = append(ids, item.ID)
			o.queuedBytes -= len(item.Data)
		} else {
			remaining = append(remaining, item)
		}
	}
	o.queue = remaining
	if !o.writeStarted.IsZero() && time.Since(o.writeStarted) > o.limits.FlushTimeout {
		o.closeLocked()
	}
	return ids
}

// Finish half-closes the connection once all that is queued has been written, and then calls done: the peer reads what it
// was told last, and that there is no more. Nothing is taken in from then on. It does not wait.
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

// Close closes the connection at once.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeLocked()
}

func (o *Outbox) closeLocked() {
	o.closed, o.queue = true, nil
	o.conn.Close()
}

// run writes until nothing is left. What goes out in one write is limited, so that the rest can still
// be taken back.
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
		for _, item := range batch {
			if item.Retractable && now.After(item.Deadline) {
				item.OnExpired()
				continue
			}
			if _, err = o.writer.Write(item.Data); err != nil {
				break
			}
			written = append(written, item)
		}
		if err == nil {
			err = o.writer.Flush()
		}
		if err != nil {
			o.Close()
			return
		}
		for _, item := range written {
			if item.OnWritten != nil {
				item.OnWritten()
			}
		}
	}
}

// next takes what the next write holds; when there is nothing left, what follows the last one.
func (o *Outbox) nextBatch() (batch []Item, done func()) {
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
	batch = append([]Item(nil), o.queue[:count]...)
	o.queue = append(o.queue[:0], o.queue[count:]...)
	o.queuedBytes -= size
	o.writeStarted = time.Now()
	return batch, nil
}

// Flush waits, not for long, until what is queued has been written, and says whether it was.
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
