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
	core     *core.Core
	in       chan item
	done     chan struct{}
	links    atomic.Uint64
	start    time.Time
	epoch    time.Duration // of start, since the Unix epoch
	carriers map[core.ConnID]EffectHandler
	dialers  map[core.Protocol]Dialer
	timers   timers
	notify   func(core.Effect)
	log      zerolog.Logger
	publish  time.Duration // between snapshots of the figures; 0: none
	figures  atomic.Pointer[Snapshot]
}

// Snapshot are the figures as they were at a time.
type Snapshot struct {
	core.Stats
	At time.Time
}

// item is an event with the time it happened at and, where it begins a connection, its carrier.
type item struct {
	at      core.Time
	ev      core.Event
	link    core.ConnID
	carrier EffectHandler
}

// New makes a loop whose inbox holds so many events. notify is handed the effects that concern no
// connection, Serving and Dropped. It must not block.
func New(c *core.Core, inbox int, notify func(core.Effect), log zerolog.Logger) *Loop {
	start := time.Now()
	return &Loop{
		core: c, in: make(chan item, inbox), done: make(chan struct{}),
		start: start, epoch: time.Duration(start.UnixNano()),
		carriers: make(map[core.ConnID]EffectHandler), dialers: make(map[core.Protocol]Dialer),
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
func (l *Loop) NewConnID() core.ConnID { return core.ConnID(l.links.Add(1)) }

// SetDialer sets how servers of a front are reached. It must be called before Run.
func (l *Loop) SetDialer(f core.Protocol, d Dialer) { l.dialers[f] = d }

// PublishEvery has the figures published at this interval. It must be called before Run.
func (l *Loop) PublishEvery(every time.Duration) { l.publish = every }

// Snapshot are those last published. It never waits for the loop.
func (l *Loop) Snapshot() Snapshot {
	if s := l.figures.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}

// Post hands in an event; it waits while the inbox is full.
func (l *Loop) Post(ev core.Event) { l.post(item{at: l.Now(), ev: ev}) }

// Attach hands in the event that begins a connection, with what carries its effects out.
func (l *Loop) Attach(link core.ConnID, c EffectHandler, ev core.Event) {
	l.post(item{at: l.Now(), ev: ev, link: link, carrier: c})
}

func (l *Loop) post(it item) {
	select {
	case l.in <- it:
	case <-l.done:
		it.late()
		return
	}
	select {
	case <-l.done: // it may have come too late to be taken
		l.leave()
	default:
	}
}

// late ends a connection that has come too late: the peer is told that there is no more.
func (it item) late() {
	if it.carrier != nil {
		it.carrier.HandleEffect(core.GracefulClose{To: it.link})
	}
}

// leave empties the inbox when the loop has ended.
func (l *Loop) leave() {
	for {
		select {
		case it := <-l.in:
			it.late()
		default:
			return
		}
	}
}

// Run owns the core until all is answered after a Stop, or until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.leave()
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var publish <-chan time.Time
	if l.publish > 0 {
		ticker := time.NewTicker(l.publish)
		defer ticker.Stop()
		publish = ticker.C
	}
	for {
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = max(l.timers[0].At-l.Now(), 0)
		}
		timer.Reset(wait)
		var it item
		select {
		case <-ctx.Done():
			return
		case <-publish:
			l.figures.Store(&Snapshot{l.core.Stats(l.Now()), time.Now()})
			continue
		case it = <-l.in:
		case <-timer.C:
			if len(l.timers) == 0 || l.timers[0].At > l.Now() {
				continue
			}
			due := heap.Pop(&l.timers).(core.Timer)
			it = item{at: l.Now(), ev: core.TimerFired{Token: due.Token}}
		}
		if l.take(it) {
			var flushed sync.WaitGroup // one that is stalled doesn't hold up the others
			for _, c := range l.carriers {
				flushed.Go(c.Flush)
			}
			flushed.Wait()
			return
		}
	}
}

// take steps the core through an event and what follows from it at once. It says whether all is over.
func (l *Loop) take(it item) (stopped bool) {
	if it.carrier != nil {
		l.carriers[it.link] = it.carrier
	}
	events := []core.Event{it.ev}
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		switch ev := ev.(type) {
		case core.CallerDown:
			delete(l.carriers, ev.Conn)
		case core.ServerDown:
			delete(l.carriers, ev.Conn)
		}
		for _, e := range l.core.Step(it.at, ev) {
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
				if c := l.carriers[e.To]; c != nil {
					delete(l.carriers, e.To)
					c.Close()
				}
			case core.GracefulClose:
				if c := l.carriers[e.To]; c != nil {
					delete(l.carriers, e.To)
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
				if c := l.carriers[target(e)]; c != nil {
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
type timers []core.Timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].At < t[j].At }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(core.Timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
