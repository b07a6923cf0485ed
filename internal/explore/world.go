// Package explore runs the real reducer, with the real decision module, through everything that can happen to a few
// calls at a few servers, and judges what it asks of its sockets by the rules.
package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"elmseam"
	"elmseam/internal/budget"
	"elmseam/internal/circuits"
	"elmseam/internal/core"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// Config says what is explored.
type Config struct {
	Model    string        `json:"model,omitempty"` // Calls, if empty
	Servers  int           `json:"servers"`         // or circuits
	Calls    int           `json:"calls"`
	Attempts int           `json:"attempts"` // that a call may have
	Faults   int           `json:"faults"`   // disturbances in all; see Kind
	Pauses   int           `json:"pauses"`   // in which time passes without a timer being due, or the server stalls
	Wait     time.Duration `json:"wait"`     // that callers wait
	Seed     uint64        `json:"seed"`     // of the module

	Hook    core.Hook      `json:"-"` // breaks the core on purpose
	Without circuits.Guard `json:"-"` // and the circuits

	Lacks membership.Guard  `json:"-"` // and the members
	Idle  maintenance.Guard `json:"-"` // and their maintenance
	Loose budget.Guard      `json:"-"` // and their parts of budgets
}

// Check names the first figure that is out of range.
func (c Config) Check() error {
	for _, f := range []struct {
		name              string
		value, least, top int
	}{{"servers", c.Servers, 1, 4}, {"calls", c.Calls, 1, 8}, {"attempts", c.Attempts, 1, 8}, {"faults", c.Faults, 0, 16}, {"pauses", c.Pauses, 0, 16}} {
		if f.value < f.least || f.value > f.top {
			return fmt.Errorf("%s: %d, between %d and %d is possible", f.name, f.value, f.least, f.top)
		}
	}
	if models := []string{"", Calls, Circuits, Members, Works, Parts}; !slices.Contains(models, c.Model) {
		return fmt.Errorf("model: %q, there are %s", c.Model, strings.Join(models[1:], ", "))
	}
	if c.Wait < 100*time.Millisecond || c.Wait > time.Minute {
		return fmt.Errorf("wait: %v", c.Wait)
	}
	return nil
}

const (
	releaseGap = 200 * time.Millisecond
	front      = core.Front("f")
	pause      = 120 * time.Millisecond // over half of the gap, and over the time in which a caller may come again
	horizon    = 2 * time.Second        // past the last caller's time: timers that are due later are left alone
)

// Where an attempt is.
type where uint8

const (
	nowhere where = iota
	queued        // in the outbox: it can be taken back
	out           // at the server
	ending        // its end waits to be written
)

const (
	ready    = elmseam.Ready
	draining = elmseam.Draining
	gone     = elmseam.Gone
)

// Call is a call as the world around the core sees it.
type Call struct {
	Started  bool
	From     core.Link
	Cell     int
	Deadline core.Time
	At       where
	Link     core.Link // that its attempt went out on
	Server   int       // of its attempt, or where it stands
	Stands   bool
	Late     int // a server, from 1, that may still answer an attempt that is over
	Again    int // a server, from 1, that may say its release again, or has said it when it hears of ours
	Repeated bool
	Account  account
}

// Server is a server as the world sees it.
type Server struct {
	Phase elmseam.Phase
	Birth int // how often it has started anew
	Began core.Time
	Dials int // connections on their way
}

type conn struct {
	Link   core.Link
	Server int
}

type timer struct {
	At    core.Time
	Token core.Token
}

// World is the core, and all around it that matters.
type World struct {
	Config   Config
	Core     *core.Core
	Now, End core.Time
	Calls    []Call
	Servers  []Server
	Conns    []conn
	Callers  []core.Link // callers' connections
	Next     core.Link
	Timers   []timer // as they came
	Left     int     // faults to come
	Pauses   int     // and pauses
	Reloaded bool
	Drained  bool
	Seen     *Violation
}

func (c Config) settings(attempts int) elmseam.Settings {
	return elmseam.Settings{
		Classes:     []elmseam.Class{{Aim: c.Wait / 2, Deadline: c.Wait, Worth: 1}},
		MaxAttempts: attempts, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		ResendGap: 500 * time.Millisecond, ReleaseGuard: releaseGap,
		ColdFrom: 0.3, ColdRamp: 14 * time.Second, TipMultiple: 2.5, TipAfter: time.Second,
	}
}

func (c Config) limits() core.Limits {
	const ms = time.Millisecond
	return core.Limits{
		AnswerMargin: 15 * ms, Rebind: 100 * ms, RedialLeast: 100 * ms, RedialMost: 500 * ms, Mute: 100 * ms, Left: 4, Owed: 8,
		ServerLost: 5 * time.Second, DrainGrace: 500 * ms, DrainTake: 1500 * ms, DrainSweep: time.Minute, DrainIdle: 20 * ms,
		Transient: map[core.Front]bool{}, StopGrace: 700 * ms, StopMost: time.Minute,
		Callers: 8, MaxOpen: 100, OpenBytes: 1 << 20, RetryHint: 100 * ms, Remember: time.Minute, Ended: 100, Routes: 4,
	}
}

// NewWorld is where every exploration begins: servers that are ready and reached, a caller, and no call.
func NewWorld(cfg Config) (*World, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c, err := core.New(cfg.settings(cfg.Attempts), cfg.Seed, cfg.limits())
	if err != nil {
		return nil, err
	}
	c.SetHook(cfg.Hook)
	w := &World{Config: cfg, Core: c, Now: time.Hour, Next: 1, Left: cfg.Faults, Pauses: cfg.Pauses}
	w.End = w.Now + cfg.Wait + horizon
	w.Calls, w.Servers = make([]Call, cfg.Calls), make([]Server, cfg.Servers)
	w.newCaller()
	list := core.List{Full: true}
	for s := range w.Servers {
		w.Servers[s].Phase = ready
		list.Servers = append(list.Servers, w.entry(s))
	}
	w.step(list)
	for s := range w.Servers {
		w.connect(s)
	}
	return w, w.err()
}

func (w *World) err() error {
	if w.Seen != nil {
		return w.Seen
	}
	return nil
}

func name(s int) string { return string(rune('a' + s)) }

func (w *World) address(s int) string { return fmt.Sprintf("%s%d:1", name(s), w.Servers[s].Birth) }

func (w *World) entry(s int) core.Server {
	v := &w.Servers[s]
	return core.Server{Name: name(s), Address: w.address(s), Front: front, Cell: s, Phase: v.Phase, Started: v.Began}
}

func (w *World) newLink() core.Link {
	w.Next++
	return w.Next - 1
}

func (w *World) newCaller() core.Link {
	l := w.newLink()
	w.Callers = append(w.Callers, l)
	w.step(core.CallerUp{Link: l, Front: front})
	return l
}

// connect completes a connection to a server.
func (w *World) connect(s int) {
	if w.Servers[s].Dials > 0 {
		w.Servers[s].Dials--
	}
	l := w.newLink()
	w.Conns = append(w.Conns, conn{l, s})
	w.step(core.ServerUp{Server: name(s), Address: w.address(s), Link: l})
}

func (w *World) callerUp(l core.Link) bool { return slices.Contains(w.Callers, l) }

func (w *World) connOf(l core.Link) *conn {
	for i := range w.Conns {
		if w.Conns[i].Link == l {
			return &w.Conns[i]
		}
	}
	return nil
}

// to is a connection to a server on which it can say something, 0: none.
func (w *World) to(s int) core.Link {
	for _, c := range w.Conns {
		if c.Server == s {
			return c.Link
		}
	}
	return 0
}

// id is a call's id, and callOf the call of one.
func id(i int) core.ID { return core.ID(i + 1) }

func (w *World) callOf(id core.ID) int {
	if i := int(id) - 1; i >= 0 && i < len(w.Calls) {
		return i
	}
	return -1
}

// step tells the core of an event and carries out what it asks for.
func (w *World) step(ev core.Event) {
	events := []core.Event{ev}
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		for _, e := range w.Core.Step(w.Now, ev) {
			events = append(events, w.carry(e)...)
		}
	}
	w.Timers = slices.DeleteFunc(w.Timers, func(t timer) bool { return w.Core.Spent(t.Token) })
}

// carry is the world's side of an effect. What it knows at once it returns, as carriers do.
func (w *World) carry(e core.Effect) (events []core.Event) {
	switch e := e.(type) {
	case core.Timer:
		if e.At <= w.End {
			w.Timers = append(w.Timers, timer{e.At, e.Token})
		}
	case core.Dial:
		w.Servers[e.Server[0]-'a'].Dials++
	case core.Hangup:
		w.lose(e.To)
	case core.GracefulClose:
		w.lose(e.To)
	case core.Offer:
		i, to := w.callOf(e.ID), w.connOf(e.To)
		w.offered(i, to)
		if c := &w.Calls[i]; to != nil {
			c.At, c.Link, c.Server = queued, e.To, to.Server
		}
	case core.End:
		events = w.end(e)
	case core.Withdraw:
		for i := range w.Calls {
			if c := &w.Calls[i]; c.At == queued && c.Link == e.To {
				events = append(events, w.takeBack(i))
			}
		}
	case core.Answered:
		w.finalAnswer(w.callOf(e.ID), e.To, true)
	case core.Rejected:
		w.finalAnswer(w.callOf(e.ID), e.To, false)
	case core.Released:
		w.released(w.callOf(e.ID), e.To)
	case core.Dropped:
		w.Calls[w.callOf(e.ID)].Account.Gone = true
	case core.Broken:
		if w.Config.Hook.Decide == nil && w.Config.Hook.Deaf == nil {
			w.broken(Quiet, "call %d: %s", w.callOf(e.ID), e.Rule)
		}
	}
	return events
}

// takeBack takes an offer out of the outbox.
func (w *World) takeBack(i int) core.Event {
	c := &w.Calls[i]
	c.At = nowhere
	w.attemptOver(i, false)
	return core.NotSent{Server: name(c.Server), ID: id(i)}
}

// end is an attempt's end, or a release towards a server.
func (w *World) end(e core.End) []core.Event {
	i, to := w.callOf(e.ID), w.connOf(e.To)
	if to == nil {
		w.broken(Reachable, "call %d is ended on no connection", i)
		return nil
	}
	c := &w.Calls[i]
	switch {
	case c.At == queued && c.Server == to.Server:
		return []core.Event{w.takeBack(i)}
	case c.At == out && c.Server == to.Server && e.Tell:
		c.At = ending
	case c.At == out && c.Server == to.Server:
		c.At, c.Late = nowhere, c.Server+1
		w.attemptOver(i, true)
	case c.Stands && c.Server == to.Server:
		c.Stands, c.Again = false, c.Server+1 // its own release may cross this one
		if e.Tell {                           // an answer that comes too late for its caller: the end is written all the same
			c.At, c.Link = ending, e.To
		}
	}
	return nil
}

// lose ends a connection: what is out on it is over.
func (w *World) lose(l core.Link) {
	w.Callers = slices.DeleteFunc(w.Callers, func(have core.Link) bool { return have == l })
	if w.connOf(l) == nil {
		return
	}
	w.Conns = slices.DeleteFunc(w.Conns, func(c conn) bool { return c.Link == l })
	for i := range w.Calls {
		if c := &w.Calls[i]; c.At != nowhere && c.Link == l {
			c.At = nowhere
			w.attemptOver(i, true)
		}
	}
}

// die ends a server's process: its connections and what stands there.
func (w *World) die(s int) {
	for i := range w.Calls {
		c := &w.Calls[i]
		if c.Stands && c.Server == s {
			c.Stands = false
		}
		if c.Again == s+1 {
			c.Again = 0
		}
		if c.Late == s+1 {
			c.Late = 0
		}
	}
}
