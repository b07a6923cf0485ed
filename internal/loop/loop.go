// Package loop runs the core: one goroutine owns it, takes events from a bounded inbox, keeps the
// timers and carries out the effects.
package loop

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
)

// EffectHandler carries effects out on one connection. It must not block; what it knows at once it returns.
type EffectHandler interface {
	HandleEffect(core.Effect) []core.Event
	Close()
	Flush() // waits, not for long, until what was carried is written
}

// Dialer makes a connection to a server and posts ServerUp or ServerDown. It runs in a goroutine of
// its own.
type Dialer func(core.Dial)

// Loop is the owner of a core.
type Loop struct {
	core            *core.Core
	inbox           chan inboxItem
	done            chan struct{}
	lastConn        atomic.Uint64
	start           time.Time
	epoch           time.Duration // of start, since the Unix epoch
	handlers        map[core.ConnID]EffectHandler
	dialers         map[core.Protocol]Dialer
	timers          timerHeap
	notify          func(core.Effect)
	log             zerolog.Logger
	publishInterval time.Duration // between snapshots of the figures; 0: none
	snapshot        atomic.Pointer[Snapshot]
}

// Snapshot are the figures as they were at a time.
type Snapshot struct {
	core.Stats
	At time.Time
}

// item is an event with the time it happened at and, where it begins a connection, its carrier.
type inboxItem struct {
	at      core.Time
	ev      core.Event
	conn    core.ConnID
	handler EffectHandler
}

// New makes a loop whose inbox holds so many events. notify is handed the effects that concern no
// connection, Serving and Dropped. It must not block.
func New(c *core.Core, inboxSize int, notify func(core.Effect), log zerolog.Logger) *Loop {
	start := time.Now()
	return &Loop{
		core: c, inbox: make(chan inboxItem, inboxSize), done: make(chan struct{}),
		start: start, epoch: time.Duration(start.UnixNano()),
		handlers: make(map[core.ConnID]EffectHandler), dialers: make(map[core.Protocol]Dialer),
		notify: notify, log: log,
	}
}

// Now is the time since the Unix epoch. It never runs backwards.
func (l *Loop) Now() core.Time { return l.epoch + time.Since(l.start) }

// WallTime turns a time of the core into one of the clock.
func (l *Loop) WallTime(t core.Time) time.Time { return l.start.Add(t - l.epoch) }

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// NewConnID names a connection.
func (l *Loop) NewConnID() core.ConnID { return core.ConnID(l.lastConn.Add(1)) }

// SetDialer sets how servers of a front are reached. It must be called before Run.
func (l *Loop) SetDialer(protocol core.Protocol, dial Dialer) { l.dialers[protocol] = dial }

// PublishEvery has the figures published at this interval. It must be called before Run.
func (l *Loop) PublishEvery(interval time.Duration) { l.publishInterval = interval }

// Snapshot are those last published. It never waits for the loop.
func (l *Loop) Snapshot() Snapshot {
	if s := l.snapshot.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}

// Post hands in an event; it waits while the inbox is full.
func (l *Loop) Post(ev core.Event) { l.post(inboxItem{at: l.Now(), ev: ev}) }

// Attach hands in the event that begins a connection, with what carries its effects out.
func (l *Loop) Attach(conn core.ConnID, handler EffectHandler, ev core.Event) {
	l.post(inboxItem{at: l.Now(), ev: ev, conn: conn, handler: handler})
}

func (l *Loop) post(item inboxItem) {
	select {
	case l.inbox <- item:
	case <-l.done:
		item.reject()
		return
	}
	select {
	case <-l.done: // it may have come too late to be taken
		l.rejectQueued()
	default:
	}
}

// late ends a connection that has come too late: the peer is told that there is no more.
func (item inboxItem) reject() {
	if item.handler != nil {
		item.handler.HandleEffect(core.GracefulClose{To: item.conn})
	}
}

// leave empties the inbox when the loop has ended.
func (l *Loop) rejectQueued() {
	for {
		select {
		case item := <-l.inbox:
			item.reject()
		default:
			return
		}
	}
}

// Run owns the core until all is answered after a Stop, or until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.rejectQueued()
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var publishTick <-chan time.Time
	if l.publishInterval > 0 {
		ticker := time.NewTicker(l.publishInterval)
		defer ticker.Stop()
		publishTick = ticker.C
	}
	for {
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = max(l.timers[0].At-l.Now(), 0)
		}
		timer.Reset(wait)
		var item inboxItem
		select {
		case <-ctx.Done():
			return
		case <-publishTick:
			l.snapshot.Store(&Snapshot{l.core.Stats(l.Now()), time.Now()})
			continue
		case item = <-l.inbox:
		case <-timer.C:
			if len(l.timers) == 0 || l.timers[0].At > l.Now() {
				continue
			}
			fired := heap.Pop(&l.timers).(core.Timer)
			item = inboxItem{at: l.Now(), ev: core.TimerFired{Token: fired.Token}}
		}
		if l.process(item) {
			var flushes sync.WaitGroup // one that is stalled doesn't hold up the others
			for _, handler := range l.handlers {
				flushes.Go(handler.Flush)
			}
			flushes.Wait()
			return
		}
	}
}

// take steps the core through an event and what follows from it at once. It says whether all is over.
func (l *Loop) process(item inboxItem) (stopped bool) {
	if item.handler != nil {
		l.handlers[item.conn] = item.handler
	}
	events := []core.Event{item.ev}
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		switch ev := ev.(type) {
		case core.CallerDown:
			delete(l.handlers, ev.Conn)
		case core.ServerDown:
			delete(l.handlers, ev.Conn)
		}
		for _, e := range l.core.Step(item.at, ev) {
			switch e := e.(type) {
			case core.Timer:
				heap.Push(&l.timers, e)
			case core.Dial:
				if dial := l.dialers[e.Protocol]; dial != nil {
					go dial(e)
				} else {
					l.log.Error().Str("server", e.Server).Str("front", string(e.Protocol)).Msg("no front reaches this server")
					events = append(events, core.ServerDown{Server: e.Server, Address: e.Address})
				}
			case core.CloseConn:
				if c := l.handlers[e.To]; c != nil {
					delete(l.handlers, e.To)
					c.Close()
				}
			case core.GracefulClose:
				if c := l.handlers[e.To]; c != nil {
					delete(l.handlers, e.To)
					c.HandleEffect(e)
				}
			case core.Serving:
				l.log.Info().Bool("serving", e.On).Msg("service")
				l.notify(e)
			case core.ForgetCall, core.ReadyToServe, core.ToPredecessor, core.ToSuccessor, core.SendToMember, core.MemberChanged,
				core.DrainChanged, core.MaintenanceProgress, core.CloseListener:
				l.notify(e)
			case core.Stopped:
				stopped = true
			case core.Violation:
				l.log.Error().Uint64("call", uint64(e.ID)).Str("rule", e.Rule).Msg("a guard held")
			default:
				if c := l.handlers[target(e)]; c != nil {
					events = append(events, c.HandleEffect(e)...)
				}
			}
		}
	}
	return stopped
}

// target is the connection that an effect is for.
func target(e core.Effect) core.ConnID {
	switch e := e.(type) {
	case core.Answered:
		return e.To
	case core.Rejected:
		return e.To
	case core.Released:
		return e.To
	case core.Offer:
		return e.To
	case core.End:
		return e.To
	case core.Withdraw:
		return e.To
	case core.Probe:
		return e.To
	case core.StopReading:
		return e.To
	case core.Transfer:
		return e.To
	}
	return 0
}

// timers is a heap, the earliest first.
type timerHeap []core.Timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].At < t[j].At }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(core.Timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
