package loop

import (
	"context"

	"golang.org/x/sync/semaphore"

	"elmseam/internal/core"
)

// InboxLimits bounds the events that wait for the core. Whoever posts beyond a limit waits.
type InboxLimits struct {
	MaxEvents  int   // max events
	MaxBytes   int64 // max memory of the events, in bytes
	MaxPerConn int   // max events of one connection, so that the events of others wait behind few of them
}

// inbox is the bounded queue of events for the core.
type inbox struct {
	limits InboxLimits
	items  chan inboxItem
	bytes  *semaphore.Weighted
	done   context.Context // ends when the loop has ended
	close  context.CancelFunc
}

// inboxItem is an event in the inbox, with the time at which it was posted. If the event begins a connection, conn and
// handler name the connection and its effect handler; otherwise they are zero.
type inboxItem struct {
	postedAt core.Time
	ev       core.Event
	conn     core.ConnID
	handler  EffectHandler
	bytes    int64   // memory that the event takes in the inbox
	source   *Source // connection that the event came on; nil: not counted for a connection
}

// newInbox returns an empty inbox.
func newInbox(limits InboxLimits) *inbox {
	done, cancel := context.WithCancel(context.Background())
	return &inbox{limits: limits, items: make(chan inboxItem, limits.MaxEvents), bytes: semaphore.NewWeighted(limits.MaxBytes), done: done, close: cancel}
}

// closed returns a channel that is closed when the loop has ended.
func (b *inbox) closed() <-chan struct{} { return b.done.Done() }

// put adds an item, or rejects the item if the loop has ended. It waits while a limit is reached.
func (b *inbox) put(item inboxItem) {
	item.bytes = min(eventBytes(item.ev), b.limits.MaxBytes)
	if b.bytes.Acquire(b.done, item.bytes) != nil {
		item.reject()
		return
	}
	select {
	case b.items <- item:
	case <-b.closed():
		item.reject()
		return
	}
	select {
	case <-b.closed(): // the loop may have ended before it took the item
		b.rejectQueued()
	default:
	}
}

// release makes the room of an item that was taken out available again.
func (b *inbox) release(item inboxItem) {
	b.bytes.Release(item.bytes)
	if item.source != nil {
		<-item.source.slots
	}
}

// reject handles an item that the loop can no longer take because it has ended. If the item begins a connection, reject closes
// the connection gracefully.
func (item inboxItem) reject() {
	if item.handler != nil {
		item.handler.HandleEffect(core.GracefulClose{To: item.conn})
	}
}

// rejectQueued takes all items that are left after the loop has ended, and rejects them.
func (b *inbox) rejectQueued() {
	for {
		select {
		case item := <-b.items:
			item.reject()
		default:
			return
		}
	}
}

// eventOverhead is the approximate memory of an event without its variable parts, in bytes.
const eventOverhead = 512

// eventBytes returns the approximate memory that an event takes, in bytes.
func eventBytes(ev core.Event) int64 {
	size := eventOverhead
	switch ev := ev.(type) {
	case core.SetUp:
		size += len(ev.Desc) + len(ev.NumberText) + len(ev.ClassName) + len(ev.Tenant)
	case core.ServerAnswer:
		size += len(ev.Desc)
	case core.CallerUp:
		size += callIDBytes * (len(ev.Open) + len(ev.Established))
	case core.AttemptedElsewhere:
		size += callIDBytes * len(ev.IDs)
	case core.EndedCalls:
		size += callIDBytes * len(ev.IDs)
	case core.Relayed:
		if answered, ok := ev.Effect.(core.Answered); ok {
			size += len(answered.Desc)
		}
	case core.ServerList:
		size += eventOverhead * len(ev.Servers)
	}
	return int64(size)
}

// callIDBytes is the size of the id of a call, in bytes.
const callIDBytes = 8

// Post puts an event into the inbox. It waits while the inbox is full; after the loop has ended, it drops the event.
func (l *Loop) Post(ev core.Event) { l.inbox.put(inboxItem{postedAt: l.Now(), ev: ev}) }

// Attach puts the event that begins a connection into the inbox, together with the handler of the connection's effects. It
// waits while the inbox is full; after the loop has ended, it makes the handler close the connection gracefully.
func (l *Loop) Attach(conn core.ConnID, handler EffectHandler, ev core.Event) {
	l.inbox.put(inboxItem{postedAt: l.Now(), ev: ev, conn: conn, handler: handler})
}

// Source posts the events that come on one connection. A peer that sends at full speed fills the places of its own connection only.
type Source struct {
	loop  *Loop
	slots chan struct{} // holds a value for each event in the inbox
}

// NewSource returns the source of a connection's events.
func (l *Loop) NewSource() *Source {
	return &Source{loop: l, slots: make(chan struct{}, l.inbox.limits.MaxPerConn)}
}

// Post is Loop.Post for an event of the connection. It also waits while the connection has MaxPerConn events in the inbox.
func (s *Source) Post(ev core.Event) {
	select {
	case s.slots <- struct{}{}:
	case <-s.loop.Done():
		return
	}
	s.loop.inbox.put(inboxItem{postedAt: s.loop.Now(), ev: ev, source: s})
}
