package transport

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Budget bounds the memory of the messages that several outboxes have queued together. When it is exceeded, connections whose peers do not
// read are closed: one that reads may have more queued than its part as long as there is room.
type Budget struct {
	max  atomic.Int64 // in bytes
	used atomic.Int64 // in bytes

	reclaiming sync.Mutex // held while connections are closed

	mu       sync.Mutex // guards the field below
	outboxes map[*Outbox]bool
}

// NewBudget returns a budget of maxBytes bytes.
func NewBudget(maxBytes int) *Budget {
	b := &Budget{outboxes: make(map[*Outbox]bool)}
	b.SetMax(maxBytes)
	return b
}

// SetMax changes the size of the budget, in bytes.
func (b *Budget) SetMax(maxBytes int) { b.max.Store(int64(maxBytes)) }

// add counts a change of the queued bytes.
func (b *Budget) add(change int) { b.used.Add(int64(change)) }

// exceeded reports whether more is queued than the budget allows.
func (b *Budget) exceeded() bool { return b.used.Load() > b.max.Load() }

// setQueued records whether an outbox has anything queued.
func (b *Budget) setQueued(outbox *Outbox, queued bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if queued {
		b.outboxes[outbox] = true
	} else {
		delete(b.outboxes, outbox)
	}
}

// reclaim closes connections until the budget is kept: first those that are stalled, then the others, each time the one with the most
// queued. No outbox may be locked by its caller.
func (b *Budget) reclaim() {
	if !b.exceeded() {
		return
	}
	b.reclaiming.Lock()
	defer b.reclaiming.Unlock()
	for b.exceeded() {
		victim := b.victim(time.Now())
		if victim == nil {
			return
		}
		victim.Close()
	}
}

// victim returns the outbox whose connection is closed next, or nil if none has anything queued.
func (b *Budget) victim(now time.Time) (victim *Outbox) {
	b.mu.Lock()
	outboxes := slices.Collect(maps.Keys(b.outboxes))
	b.mu.Unlock()
	var worst outboxLoad
	for _, outbox := range outboxes {
		if load := outbox.load(now); load.queuedBytes > 0 && (victim == nil || load.worseThan(worst)) {
			victim, worst = outbox, load
		}
	}
	return victim
}

// stalledAfter is how long a message waits until its peer counts as one that does not read. The time of one write is no measure: the kernel
// takes a little from time to time though the peer reads nothing.
const stalledAfter = 250 * time.Millisecond

// outboxLoad says how much an outbox has queued, and whether its peer reads.
type outboxLoad struct {
	queuedBytes int
	stalled     bool
}

// worseThan says whether the connection of this outbox is to be closed rather than that of another.
func (l outboxLoad) worseThan(other outboxLoad) bool {
	if l.stalled != other.stalled {
		return l.stalled
	}
	return l.queuedBytes > other.queuedBytes
}
