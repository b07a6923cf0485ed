// Package loop runs the core, the softswitch's state machine without I/O. A single goroutine owns the core: it takes events
// from a bounded inbox, fires the timers, and hands the core's effects to the connections they are for.
package loop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
)

// EffectHandler executes effects on one connection.
type EffectHandler interface {
	// HandleEffect executes an effect and returns the events that result immediately, without an answer from the peer. It
	// must not block. The loop's goroutine calls it; after the loop has ended, also the goroutine that calls Attach or Post,
	// with a core.GracefulClose.
	HandleEffect(core.Effect) []core.Event
	// Close closes the connection immediately. It must not block.
	Close()
	// Flush waits for a short, bounded time until the messages of earlier effects are written. It is called, in a
	// goroutine of its own, when the loop ends after core.Stopped.
	Flush()
}

// Dialer connects to a server and posts core.ServerUp, or core.ServerDown if that fails. Each call runs in its own goroutine, and
// may serve the connection until its end and then post core.ServerDown.
type Dialer func(core.Dial)

// Loop owns a core and runs it. Its methods may be called from any goroutine, except for those that must be called before Run.
type Loop struct {
	core              *core.Core
	inbox             *inbox
	lastConnID        atomic.Uint64 // connection id that NewConnID returned last
	startedAt         time.Time
	startSinceEpoch   time.Duration // wall-clock time of startedAt, since the Unix epoch
	handlers          map[core.ConnID]EffectHandler
	dialers           map[core.Protocol]Dialer
	timers            timerQueue        // pending timers
	handleOtherEffect func(core.Effect) // receives the effects that are for no single connection
	log               zerolog.Logger
	publishInterval   time.Duration // between snapshots of the counters; 0: no snapshots
	snapshot          atomic.Pointer[Snapshot]
}

// Snapshot holds the core's counters and state for operators at one moment.
type Snapshot struct {
	core.Stats
	At time.Time // when the snapshot was taken
}

// New returns a loop for c whose inbox keeps to the limits. handleOtherEffect receives the effects that are for no single
// connection, such as core.Serving, core.ForgetCall and core.SendToMember; it must not block.
func New(c *core.Core, limits InboxLimits, handleOtherEffect func(core.Effect), log zerolog.Logger) *Loop {
	startedAt := time.Now()
	return &Loop{
		core: c, inbox: newInbox(limits),
		startedAt: startedAt, startSinceEpoch: time.Duration(startedAt.UnixNano()),
		handlers: make(map[core.ConnID]EffectHandler), dialers: make(map[core.Protocol]Dialer),
		handleOtherEffect: handleOtherEffect, log: log,
	}
}

// Now returns the time since the Unix epoch. The value never decreases, even if the wall clock is set back.
func (l *Loop) Now() core.Time { return l.startSinceEpoch + time.Since(l.startedAt) }

// WallTime converts a time of the core into a time.Time.
func (l *Loop) WallTime(t core.Time) time.Time { return l.startedAt.Add(t - l.startSinceEpoch) }

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.inbox.closed() }

// NewConnID returns an unused connection id, unique in this process.
func (l *Loop) NewConnID() core.ConnID { return core.ConnID(l.lastConnID.Add(1)) }

// SetDialer sets the function that connects to servers of the given protocol. It must be called before Run.
func (l *Loop) SetDialer(protocol core.Protocol, dial Dialer) { l.dialers[protocol] = dial }

// PublishEvery sets the interval at which Run takes a new Snapshot. It must be called before Run.
func (l *Loop) PublishEvery(interval time.Duration) { l.publishInterval = interval }

// Snapshot returns the snapshot that was taken last, or the zero Snapshot if there is none. It never waits for the loop.
func (l *Loop) Snapshot() Snapshot {
	if s := l.snapshot.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}

// Run runs the core until it emits core.Stopped, after a core.Stop or a core.HandOver, or until the context ends.
// After core.Stopped, Run flushes the connections that are not being closed before it returns.
func (l *Loop) Run(ctx context.Context) {
	defer l.inbox.rejectQueued()
	defer l.inbox.close()
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
		if next, pending := l.timers.next(); pending {
			wait = max(next-l.Now(), 0)
		}
		timer.Reset(wait)
		var item inboxItem
		select {
		case <-ctx.Done():
			return
		case <-publishTick:
			l.snapshot.Store(&Snapshot{l.core.Stats(l.Now()), time.Now()})
			continue
		case item = <-l.inbox.items:
			l.inbox.release(item)
		case <-timer.C:
			if next, pending := l.timers.next(); !pending || next > l.Now() {
				continue
			}
			item = inboxItem{postedAt: l.Now(), ev: core.TimerFired{Token: l.timers.pop().Token}}
		}
		if l.processItem(item) {
			var flushes sync.WaitGroup // in parallel: a stalled connection must not delay the others
			for _, handler := range l.handlers {
				flushes.Go(handler.Flush)
			}
			flushes.Wait()
			return
		}
	}
}

// processItem steps the core with an item's event and with the events that effect handlers return for the resulting effects. A
// dial for which there is no dialer results in a core.ServerDown. processItem reports whether the core has stopped.
func (l *Loop) processItem(item inboxItem) (stopped bool) {
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
		for _, e := range l.core.Step(item.postedAt, ev) {
			switch e := e.(type) {
			case core.Timer:
				l.timers.push(e, l.core.TimerObsolete)
			case core.Dial:
				if dial := l.dialers[e.Protocol]; dial != nil {
					go dial(e)
				} else {
					l.log.Error().Str("server", e.Server).Str("front", string(e.Protocol)).Msg("no dialer for the server's protocol")
					events = append(events, core.ServerDown{Server: e.Server, Address: e.Address})
				}
			case core.CloseConn:
				if handler := l.handlers[e.To]; handler != nil {
					delete(l.handlers, e.To)
					handler.Close()
				}
			case core.GracefulClose:
				if handler := l.handlers[e.To]; handler != nil {
					delete(l.handlers, e.To)
					handler.HandleEffect(e)
				}
			case core.Serving:
				l.log.Info().Bool("serving", e.On).Msg("service")
				l.handleOtherEffect(e)
			case core.ForgetCall, core.ReadyToServe, core.Attempted, core.ToPredecessor, core.ToSuccessor, core.SendToMember, core.MemberChanged,
				core.DrainChanged, core.MaintenanceProgress, core.CloseListener, core.Trace:
				l.handleOtherEffect(e)
			case core.Stopped:
				stopped = true
			case core.Violation:
				l.log.Error().Uint64("call", uint64(e.ID)).Str("rule", e.Rule).Msg("guard prevented a rule violation, or a configuration is invalid")
			default:
				if handler := l.handlers[effectTarget(e)]; handler != nil {
					events = append(events, handler.HandleEffect(e)...)
				}
			}
		}
	}
	return stopped
}

// effectTarget returns the connection whose handler has to execute an effect, or 0 for the effects that processItem executes
// itself.
func effectTarget(e core.Effect) core.ConnID {
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
