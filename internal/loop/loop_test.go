package loop

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/leak"
)

// TestMain fails the run if the tests leave a goroutine or a file descriptor behind.
func TestMain(m *testing.M) { leak.Main(m) }

// recordingHandler is an EffectHandler that records the effects it receives.
type recordingHandler struct{ effects []core.Effect }

func (h *recordingHandler) HandleEffect(e core.Effect) []core.Event {
	h.effects = append(h.effects, e)
	return nil
}

func (h *recordingHandler) Close() {}
func (h *recordingHandler) Flush() {}

// Connections are attached before Run is called with a context that has ended, and after Run has returned. Each of them must
// either be accepted by the loop or be closed gracefully. Connections still in the inbox used to stay open with nothing to serve
// them; later ones were closed at once, with the caller's data unread.
func TestConnectionsAttachedAtShutdown(t *testing.T) {
	for range 50 { // how many items the loop takes before it ends is random
		c, err := core.New(elmseam.Settings{
			Classes: []elmseam.Class{{Deadline: time.Second, Worth: 1}}, MaxAttempts: 1, OwnCell: -1,
		}, 1, core.Limits{CallerConnsTarget: 100, MaxOpen: 1})
		if err != nil {
			t.Fatal(err)
		}
		l := New(c, InboxLimits{MaxEvents: 8, MaxBytes: 1 << 20, MaxPerConn: 4}, func(core.Effect) {}, zerolog.Nop())
		handlers := make(map[core.ConnID]*recordingHandler)
		attach := func() {
			conn := l.NewConnID()
			handlers[conn] = &recordingHandler{}
			l.Attach(conn, handlers[conn], core.CallerUp{Conn: conn})
		}
		for range 8 {
			attach()
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		l.Run(ctx)
		for range 20 { // more than the inbox can hold
			attach()
		}
		for conn, handler := range handlers {
			_, accepted := l.handlers[conn]
			if _, closed := lastEffect(handler.effects).(core.GracefulClose); closed == accepted {
				t.Fatalf("connection %d: accepted %v, effects %v", conn, accepted, handler.effects)
			}
		}
	}
}

// Set-ups that are refused at once, or given up at once, with a time limit of hours used to leave their timers until then, so that
// callers which sent the same again could fill the memory.
func TestEndedCallsLeaveNoTimers(t *testing.T) {
	for name, giveUp := range map[string]bool{"refused": false, "given up": true} {
		t.Run(name, func(t *testing.T) {
			l := newLoopWithServer(t, giveUp)
			const calls = 50000
			for id := core.ID(1); id <= calls; id++ {
				l.processItem(inboxItem{postedAt: l.Now(), ev: core.SetUp{ID: id, From: 1, Cell: -1, TimeLeft: time.Hour, At: l.Now()}})
				if giveUp {
					l.processItem(inboxItem{postedAt: l.Now(), ev: core.CallerEnd{ID: id, From: 1}})
					l.processItem(inboxItem{postedAt: l.Now(), ev: core.EndWritten{Server: "a", Conn: 2, ID: id}})
				}
			}
			if retained := l.core.Retained(); retained.Calls != 0 || len(l.timers.heap) > 2*minTimersToPurge {
				t.Errorf("%d timers and %d calls after %d calls that have ended", len(l.timers.heap), retained.Calls, calls)
			}
		})
	}
}

// newLoopWithServer returns a loop whose core has a caller on connection 1 and, if withServer is true, the server "a" on connection 2.
func newLoopWithServer(t *testing.T, withServer bool) *Loop {
	t.Helper()
	c, err := core.New(elmseam.Settings{
		Classes: []elmseam.Class{{Deadline: 2 * time.Hour, Worth: 1}}, MaxAttempts: 1, OwnCell: -1, CanCancel: true, RetransmitInterval: time.Hour,
	}, 1, core.Limits{CallerConnsTarget: 100, MaxOpen: 100, MaxCallBytes: 1 << 20, MaxEndedCalls: 100})
	if err != nil {
		t.Fatal(err)
	}
	l := New(c, InboxLimits{MaxEvents: 8, MaxBytes: 1 << 20, MaxPerConn: 4}, func(core.Effect) {}, zerolog.Nop())
	events := []core.Event{core.CallerUp{Conn: 1, Protocol: "test"}}
	if withServer {
		events = append(events,
			core.ServerList{Full: true, Servers: []core.Server{{Name: "a", Address: "a:1", Protocol: "test", Phase: elmseam.PhaseReady}}},
			core.ServerUp{Server: "a", Address: "a:1", Conn: 2})
	}
	for _, event := range events {
		l.processItem(inboxItem{postedAt: l.Now(), ev: event})
	}
	return l
}

// The inbox used to hold 4,096 events whatever their size, 64 MiB of large set-ups, and one connection could fill all of it, so that the
// events of others waited behind thousands.
func TestInboxIsBoundedInBytesAndByConnection(t *testing.T) {
	for name, test := range map[string]struct {
		descSize, want int
	}{"small": {10, 16}, "large": {16 << 10, 3}} {
		t.Run(name, func(t *testing.T) {
			c, err := core.New(elmseam.Settings{Classes: []elmseam.Class{{Deadline: time.Second, Worth: 1}}, MaxAttempts: 1, OwnCell: -1}, 1, core.Limits{CallerConnsTarget: 100})
			if err != nil {
				t.Fatal(err)
			}
			l := New(c, InboxLimits{MaxEvents: 4096, MaxBytes: 3*(16<<10+eventOverhead) + 1000, MaxPerConn: 16}, func(core.Effect) {}, zerolog.Nop())
			var posters sync.WaitGroup
			source := l.NewSource()
			for id := range core.ID(1000) {
				posters.Go(func() { source.Post(core.SetUp{ID: id, Desc: make([]byte, test.descSize)}) })
			}
			time.Sleep(100 * time.Millisecond)
			if queued := len(l.inbox.items); queued != test.want {
				t.Errorf("%d events of one connection in the inbox, want %d", queued, test.want)
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { l.Run(ctx); close(ended) }()
			posters.Wait()
			cancel()
			<-ended
		})
	}
}

// lastEffect returns the last of effects, or nil if there are none.
func lastEffect(effects []core.Effect) core.Effect {
	if len(effects) == 0 {
		return nil
	}
	return effects[len(effects)-1]
}
