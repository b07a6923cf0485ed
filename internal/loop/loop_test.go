package loop

import (
	"context"
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
		l := New(c, 8, func(core.Effect) {}, zerolog.Nop())
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

// lastEffect returns the last of effects, or nil if there are none.
func lastEffect(effects []core.Effect) core.Effect {
	if len(effects) == 0 {
		return nil
	}
	return effects[len(effects)-1]
}
