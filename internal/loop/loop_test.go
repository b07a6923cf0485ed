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

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }

// carrier writes down what it is to carry.
type recordingHandler struct{ effects []core.Effect }

func (c *recordingHandler) HandleEffect(e core.Effect) []core.Event {
	c.effects = append(c.effects, e)
	return nil
}

func (c *recordingHandler) Close() {}
func (c *recordingHandler) Flush() {}

// Connections come while the loop ends, and after it has ended: each is either the core's, or is told that there is no more.
// Those that still stood in the inbox were left open with nobody to serve them, and those after it cut off unread.
func TestConnectionsAttachedAtShutdown(t *testing.T) {
	for range 50 { // what the loop takes at its end is chance
		c, err := core.New(elmseam.Settings{
			Classes: []elmseam.Class{{Deadline: time.Second, Worth: 1}}, MaxAttempts: 1, OwnCell: -1,
		}, 1, core.Limits{MaxCallerConns: 100, MaxOpen: 1})
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
		for range 20 { // more than the inbox holds
			attach()
		}
		for conn, c := range handlers {
			_, accepted := l.handlers[conn]
			if _, closed := lastEffect(c.effects).(core.GracefulClose); closed == accepted {
				t.Fatalf("connection %d: taken %v, told %v", conn, accepted, c.effects)
			}
		}
	}
}

func lastEffect(effects []core.Effect) core.Effect {
	if len(effects) == 0 {
		return nil
	}
	return effects[len(effects)-1]
}
