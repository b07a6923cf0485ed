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
	w      *bufio.Writer

	mu      sync.Mutex
	queue   []Item
	bytes   int
	writing bool
	began   time.Time // of the write under way; zero: none
	closed  bool
	finish  func() // what follows the last write; nil: it is not asked for
}

// NewOutbox makes the outbox of a connection.
func NewOutbox(conn net.Conn, limits Limits) *Outbox {
	return &Outbox{conn: conn, limits: limits, w: bufio.NewWriterSize(conn, limits.InitialBufferSize)}
}

// Post queues a message.
func (o *Outbox) Post(it Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.finish != nil {
		return
	}
	if o.bytes += len(it.Data); o.bytes > o.limits.MaxQueuedBytes {
		o.shut()
		return
	}
	o.queue = append(o.queue, it)
	if !o.writing {
		o.writing = true
		go o.run()
	}
}

// Retract removes an offer that has not been begun, and says whether it did.
func (o *Outbox) Retract(id uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, it := range o.queue {
		if it.Retractable && it.ID == id {
			o.bytes -= len(it.Data)
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
	kept := o.queue[:0]
	for _, it := range o.queue {
		if it.Retractable {
			ids = append(ids, it.ID)
			o.bytes -= len(it.Data)
		} else {
			kept = append(kept, it)
		}
	}
	o.queue = kept
	if !o.began.IsZero() && time.Since(o.began) > o.limits.FlushTimeout {
		o.shut()
	}
	return ids
}

// Finish half-closes the connection once all that is queued has been written, and then calls done: the peer reads what it
// was told last, and that there is no more. Nothing is taken in from then on. It does not wait.
func (o *Outbox) Finish(done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.finish != nil {
		return
	}
	o.finish = done
	if !o.writing {
		o.writing = true
		go o.run()
	}
}

// Close closes the connection at once.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shut()
}

func (o *Outbox) shut() {
	o.closed, o.queue = true, nil
	o.conn.Close()
}

// run writes until nothing is left. What goes out in one write is limited, so that the rest can still
// be taken back.
func (o *Outbox) run() {
	for {
		batch, done := o.next()
		if len(batch) == 0 {
			if done != nil {
				if c, ok := o.conn.(interface{ CloseWrite() error }); !ok || c.CloseWrite() != nil {
					o.Close()
				}
				done()
			}
			return
		}
		now := time.Now()
		o.conn.SetWriteDeadline(now.Add(o.limits.WriteTimeout))
		var err error
		kept := batch[:0]
		for _, it := range batch {
			if it.Retractable && now.After(it.Deadline) {
				it.OnExpired()
				continue
			}
			if _, err = o.w.Write(it.Data); err != nil {
				break
			}
			kept = append(kept, it)
		}
		if err == nil {
			err = o.w.Flush()
		}
		if err != nil {
			o.Close()
			return
		}
		for _, it := range kept {
			if it.OnWritten != nil {
				it.OnWritten()
			}
		}
	}
}

// next takes what the next write holds; when there is nothing left, what follows the last one.
func (o *Outbox) next() (batch []Item, done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.began = (time.Time{}); o.closed || len(o.queue) == 0 {
		o.writing = false
		if o.closed {
			return nil, nil
		}
		return nil, o.finish
	}
	n, size := 0, 0
	for n < len(o.queue) && (n == 0 || size+len(o.queue[n].Data) <= o.limits.InitialBufferSize) {
		size += len(o.queue[n].Data)
		n++
	}
	batch = append([]Item(nil), o.queue[:n]...)
	o.queue = append(o.queue[:0], o.queue[n:]...)
	o.bytes -= size
	o.began = time.Now()
	return batch, nil
}

// Flush waits, not for long, until what is queued has been written, and says whether it was.
func (o *Outbox) Flush() bool {
	for until := time.Now().Add(o.limits.FlushTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		o.mu.Lock()
		idle, closed := !o.writing, o.closed
		o.mu.Unlock()
		if idle || closed {
			return !closed
		}
	}
	return false
}
