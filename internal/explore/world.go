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
	GiveUp   time.Duration `json:"wait"`     // that callers wait
	Seed     uint64        `json:"seed"`     // of the module

	CoreHook              core.Hook      `json:"-"` // breaks the core on purpose
	DisabledCircuitGuards circuits.Guard `json:"-"` // and the circuits

	DisabledMembershipGuards  membership.Guard  `json:"-"` // and the members
	DisabledMaintenanceGuards maintenance.Guard `json:"-"` // and their maintenance
	DisabledBudgetGuards      budget.Guard      `json:"-"` // and their parts of budgets
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
	if models := []string{"", ModelCalls, ModelCircuits, ModelMembership, ModelMaintenance, ModelBudget}; !slices.Contains(models, c.Model) {
		return fmt.Errorf("model: %q, there are %s", c.Model, strings.Join(models[1:], ", "))
	}
	if c.GiveUp < 100*time.Millisecond || c.GiveUp > time.Minute {
		return fmt.Errorf("wait: %v", c.GiveUp)
	}
	return nil
}

const (
	releaseGap = 200 * time.Millisecond
	front      = core.Protocol("f")
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
	Started             bool
	From                core.ConnID
	Cell                int
	Deadline            core.Time
	State               where
	Link                core.ConnID // that its attempt went out on
	Server              int         // of its attempt, or where it stands
	Established         bool
	LateAnswerFrom      int // a server, from 1, that may still answer an attempt that is over
	RepeatedReleaseFrom int // a server, from 1, that may say its release again, or has said it when it hears of ours
	Repeated            bool
	Account             account
}

// Server is a server as the world sees it.
type Server struct {
	Phase       elmseam.Phase
	Incarnation int // how often it has started anew
	StartedAt   core.Time
	Dials       int // connections on their way
}

type conn struct {
	Link   core.ConnID
	Server int
}

type timer struct {
	At    core.Time
	Token core.Token
}

// CallModel is the core, and all around it that matters.
type CallModel struct {
	Config     Config
	Core       *core.Core
	Now, End   core.Time
	Calls      []Call
	Servers    []Server
	Conns      []conn
	Callers    []core.ConnID // callers' connections
	NextLink   core.ConnID
	Timers     []timer // as they came
	FaultsLeft int     // faults to come
	PausesLeft int     // and pauses
	Reloaded   bool
	Draining   bool
	Violation  *Violation
}

func (c Config) settings(attempts int) elmseam.Settings {
	return elmseam.Settings{
		Classes:     []elmseam.Class{{Aim: c.GiveUp / 2, Deadline: c.GiveUp, Worth: 1}},
		MaxAttempts: attempts, MaxRetryAfter: 2 * time.Second, CanCancel: true, OwnCell: -1,
		RetransmitInterval: 500 * time.Millisecond, ReleaseGuard: releaseGap,
		ColdInitialShare: 0.3, ColdRamp: 14 * time.Second, OverloadMultiple: 2.5, OverloadAfter: time.Second,
	}
}

func (c Config) limits() core.Limits {
	const ms = time.Millisecond
	return core.Limits{
		AnswerMargin: 15 * ms, Rebind: 100 * ms, MinRedial: 100 * ms, MaxRedial: 500 * ms, UnresponsiveAfter: 100 * ms, MaxRemovedServers: 4, MaxPendingReleases: 8,
		ServerLostAfter: 5 * time.Second, DrainGrace: 500 * ms, DrainRefuseAfter: 1500 * ms, DrainCheckInterval: time.Minute, DrainIdle: 20 * ms,
		Transient: map[core.Protocol]bool{}, StopGrace: 700 * ms, MaxStopWait: time.Minute,
		MaxCallerConns: 8, MaxOpen: 100, MaxCallBytes: 1 << 20, RetryHint: 100 * ms, EndedCallTTL: time.Minute, MaxEndedCalls: 100, MaxRoutes: 4,
	}
}

// NewCallModel is where every exploration begins: servers that are ready and reached, a caller, and no call.
func NewCallModel(cfg Config) (*CallModel, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c, err := core.New(cfg.settings(cfg.Attempts), cfg.Seed, cfg.limits())
	if err != nil {
		return nil, err
	}
	c.SetHook(cfg.CoreHook)
	w := &CallModel{Config: cfg, Core: c, Now: time.Hour, NextLink: 1, FaultsLeft: cfg.Faults, PausesLeft: cfg.Pauses}
	w.End = w.Now + cfg.GiveUp + horizon
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

func (w *CallModel) err() error {
	if w.Violation != nil {
		return w.Violation
	}
	return nil
}

func name(s int) string { return string(rune('a' + s)) }

func (w *CallModel) address(s int) string {
	return fmt.Sprintf("%s%d:1", name(s), w.Servers[s].Incarnation)
}

func (w *CallModel) entry(s int) core.Server {
	v := &w.Servers[s]
	return core.Server{Name: name(s), Address: w.address(s), Protocol: front, Cell: s, Phase: v.Phase, Started: v.StartedAt}
}

func (w *CallModel) newLink() core.ConnID {
	w.NextLink++
	return w.NextLink - 1
}

func (w *CallModel) newCaller() core.ConnID {
	l := w.newLink()
	w.Callers = append(w.Callers, l)
	w.step(core.CallerUp{Conn: l, Protocol: front})
	return l
}

// connect completes a connection to a server.
func (w *CallModel) connect(s int) {
	if w.Servers[s].Dials > 0 {
		w.Servers[s].Dials--
	}
	l := w.newLink()
	w.Conns = append(w.Conns, conn{l, s})
	w.step(core.ServerUp{Server: name(s), Address: w.address(s), Conn: l})
}

func (w *CallModel) callerUp(l core.ConnID) bool { return slices.Contains(w.Callers, l) }

func (w *CallModel) connOf(l core.ConnID) *conn {
	for i := range w.Conns {
		if w.Conns[i].Link == l {
			return &w.Conns[i]
		}
	}
	return nil
}

// to is a connection to a server on which it can say something, 0: none.
func (w *CallModel) to(s int) core.ConnID {
	for _, c := range w.Conns {
		if c.Server == s {
			return c.Link
		}
	}
	return 0
}

// id is a call's id, and callOf the call of one.
func id(i int) core.ID { return core.ID(i + 1) }

func (w *CallModel) callOf(id core.ID) int {
	if i := int(id) - 1; i >= 0 && i < len(w.Calls) {
		return i
	}
	return -1
}

// step tells the core of an event and carries out what it asks for.
func (w *CallModel) step(ev core.Event) {
	events := []core.Event{ev}
	for len(events) > 0 {
		ev := events[0]
		events = events[1:]
		for _, e := range w.Core.Step(w.Now, ev) {
			events = append(events, w.carry(e)...)
		}
	}
	w.Timers = slices.DeleteFunc(w.Timers, func(t timer) bool { return w.Core.TimerObsolete(t.Token) })
}

// carry is the world's side of an effect. What it knows at once it returns, as carriers do.
func (w *CallModel) carry(e core.Effect) (events []core.Event) {
	switch e := e.(type) {
	case core.Timer:
		if e.At <= w.End {
			w.Timers = append(w.Timers, timer{e.At, e.Token})
		}
	case core.Dial:
		w.Servers[e.Server[0]-'a'].Dials++
	case core.CloseConn:
		w.lose(e.To)
	case core.GracefulClose:
		w.lose(e.To)
	case core.Offer:
		i, to := w.callOf(e.ID), w.connOf(e.To)
		w.offered(i, to)
		if c := &w.Calls[i]; to != nil {
			c.State, c.Link, c.Server = queued, e.To, to.Server
		}
	case core.End:
		events = w.end(e)
	case core.Withdraw:
		for i := range w.Calls {
			if c := &w.Calls[i]; c.State == queued && c.Link == e.To {
				events = append(events, w.takeBack(i))
			}
		}
	case core.Answered:
		w.finalAnswer(w.callOf(e.ID), e.To, true)
	case core.Rejected:
		w.finalAnswer(w.callOf(e.ID), e.To, false)
	case core.Released:
		w.released(w.callOf(e.ID), e.To)
	case core.ForgetCall:
		w.Calls[w.callOf(e.ID)].Account.CallerGone = true
	case core.Violation:
		if w.Config.CoreHook.Decide == nil && w.Config.CoreHook.SuppressEvent == nil {
			w.broken(NoGuardTripped, "call %d: %s", w.callOf(e.ID), e.Rule)
		}
	}
	return events
}

// takeBack takes an offer out of the outbox.
func (w *CallModel) takeBack(i int) core.Event {
	c := &w.Calls[i]
	c.State = nowhere
	w.attemptOver(i, false)
	return core.NotSent{Server: name(c.Server), ID: id(i)}
}

// end is an attempt's end, or a release towards a server.
func (w *CallModel) end(e core.End) []core.Event {
	i, to := w.callOf(e.ID), w.connOf(e.To)
	if to == nil {
		w.broken(SendOnOpenConn, "call %d is ended on no connection", i)
		return nil
	}
	c := &w.Calls[i]
	switch {
	case c.State == queued && c.Server == to.Server:
		return []core.Event{w.takeBack(i)}
	case c.State == out && c.Server == to.Server && e.Notify:
		c.State = ending
	case c.State == out && c.Server == to.Server:
		c.State, c.LateAnswerFrom = nowhere, c.Server+1
		w.attemptOver(i, true)
	case c.Established && c.Server == to.Server:
		c.Established, c.RepeatedReleaseFrom = false, c.Server+1 // its own release may cross this one
		if e.Notify {                                            // an answer that comes too late for its caller: the end is written all the same
			c.State, c.Link = ending, e.To
		}
	}
	return nil
}

// lose ends a connection: what is out on it is over.
func (w *CallModel) lose(l core.ConnID) {
	w.Callers = slices.DeleteFunc(w.Callers, func(have core.ConnID) bool { return have == l })
	if w.connOf(l) == nil {
		return
	}
	w.Conns = slices.DeleteFunc(w.Conns, func(c conn) bool { return c.Link == l })
	for i := range w.Calls {
		if c := &w.Calls[i]; c.State != nowhere && c.Link == l {
			c.State = nowhere
			w.attemptOver(i, true)
		}
	}
}

// die ends a server's process: its connections and what stands there.
func (w *CallModel) die(s int) {
	for i := range w.Calls {
		c := &w.Calls[i]
		if c.Established && c.Server == s {
			c.Established = false
		}
		if c.RepeatedReleaseFrom == s+1 {
			c.RepeatedReleaseFrom = 0
		}
		if c.LateAnswerFrom == s+1 {
			c.LateAnswerFrom = 0
		}
	}
}
