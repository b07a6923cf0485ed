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
type carrier struct{ told []core.Effect }

func (c *carrier) HandleEffect(e core.Effect) []core.Event {
	c.told = append(c.told, e)
	return nil
}

func (c *carrier) Close() {}
func (c *carrier) Flush() {}

// Connections come while the loop ends, and after it has ended: each is either the core's, or is told that there is no more.
// Those that still stood in the inbox were left open with nobody to serve them, and those after it cut off unread.
func TestConnectionsThatComeTooLate(t *testing.T) {
	for range 50 { // what the loop takes at its end is chance
		c, err := core.New(elmseam.Settings{
			Classes: []elmseam.Class{{Deadline: time.Second, Worth: 1}}, MaxAttempts: 1, OwnCell: -1,
		}, 1, core.Limits{MaxCallerConns: 100, MaxOpen: 1})
		if err != nil {
			t.Fatal(err)
		}
		l := New(c, 8, func(core.Effect) {}, zerolog.Nop())
		come := make(map[core.ConnID]*carrier)
		attach := func() {
			link := l.NewConnID()
			come[link] = &carrier{}
			l.Attach(link, come[link], core.CallerUp{Conn: link})
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
		for link, c := range come {
			_, taken := l.carriers[link]
			if _, closed := last(c.told).(core.GracefulClose); closed == taken {
				t.Fatalf("connection %d: taken %v, told %v", link, taken, c.told)
			}
		}
	}
}

func last(told []core.Effect) core.Effect {
	if len(told) == 0 {
		return nil
	}
	return told[len(told)-1]
}
