package explore

import (
	"fmt"
	"slices"

	"elmseam/internal/core"
)

// ActionKind is something that can happen.
type ActionKind uint8

// The kinds. Those from firstFault on are disturbances, of which only so many happen.
const (
	setUp ActionKind = iota // N: the first choice
	written
	answer
	full
	busy
	ended // the end of an attempt is written
	release
	dialled
	callerBack // a caller's next connection
	undrain
	due  // N: which of the timers that are due first
	pass // some time, in which no timer is due
	reset
	cross // an answer that crosses the attempt's end
	late  // an answer to an attempt that is over
	cut   // a standing call
	again // a release said twice
	hangup
	giveUp
	repeat
	callerLost
	connLost
	refused
	drains
	goes
	restarts
	returns
	reload
	drain
	// Of the circuits.
	seize     // an IAM goes out
	clear     // a call is released here
	toServer  // the next message reaches the server
	toUs      // or us
	farAnswer // the server answers
	farRelease
	overdue // a release has not been confirmed for long
	deaf    // the server loses a REL
	mute    // or its RLC
	down    // the connection ends
	up      // and another comes up
	// Of a tier's members.
	arrive // the next datagram arrives
	lose   // or is lost
	delay  // or comes late
	tick   // the next timer comes due
	kill   // a member dies
	start  // and starts anew
	halt   // or stands still
	goOn   // and goes on
	settle // nothing disturbs any more
	kinds
)

const firstFault = reset

var kindNames = [kinds]string{"set-up", "written", "answer", "full", "busy", "ended", "release", "dialled", "caller-back", "undrain",
	"due", "pass", "reset", "cross", "late", "cut", "again", "hang-up", "give-up", "repeat", "caller-lost", "conn-lost", "refused",
	"drains", "goes", "restarts", "returns", "reload", "drain",
	"seize", "clear", "to-server", "to-us", "far-answer", "far-release", "overdue", "deaf", "mute", "down", "up",
	"arrive", "lose", "delay", "tick", "kill", "start", "halt", "go-on", "settle"}

// Action is one thing that happens: to a call or a server, with a number that some kinds have.
type Action struct {
	Kind   ActionKind
	Target uint8
	Arg    uint8
}

func (a Action) String() string { return fmt.Sprintf("%s %d %d", kindNames[a.Kind], a.Target, a.Arg) }

// ParseAction reads what String has written.
func ParseAction(text string) (a Action, err error) {
	var kind string
	if n, err := fmt.Sscanf(text, "%s %d %d", &kind, &a.Target, &a.Arg); err != nil || n != 3 {
		return a, fmt.Errorf("action %q: %w", text, err)
	}
	at := slices.Index(kindNames[:], kind)
	if at < 0 {
		return a, fmt.Errorf("action %q: unknown", text)
	}
	a.Kind = ActionKind(at)
	return a, nil
}

// due are the timers that are due first, by their places.
func (w *CallModel) dueFirst() (first []int) {
	for i, t := range w.Timers {
		switch {
		case len(first) == 0 || t.At < w.Timers[first[0]].At:
			first = append(first[:0], i)
		case t.At == w.Timers[first[0]].At:
			first = append(first, i)
		}
	}
	return first
}

// EnabledActions are all things that can happen next, always in the same order. Like calls come in the order of their
// numbers, and the first one's first choice is the first server: the others are the same with other names.
func (w *CallModel) EnabledActions() (all []Action) {
	add := func(k ActionKind, of, n int) {
		if k < firstFault || w.FaultsLeft > 0 {
			all = append(all, Action{k, uint8(of), uint8(n)})
		}
	}
	if w.done() { // all that is left is what servers say late, or again
		for i := range w.Calls {
			w.echoes(i, &w.Calls[i], add)
		}
		return all
	}
	for i := range w.Calls {
		if w.Calls[i].Started {
			continue
		}
		for s := range w.Servers {
			if len(w.Callers) > 0 && (i > 0 || s == 0) {
				add(setUp, i, s)
			}
		}
		break
	}
	for i := range w.Calls {
		w.actionsOf(i, &w.Calls[i], add)
	}
	for s := range w.Servers {
		v := &w.Servers[s]
		if v.Dials > 0 {
			add(dialled, s, 0)
			add(refused, s, 0)
		}
		if w.to(s) != 0 {
			add(connLost, s, 0)
		}
		switch v.Phase {
		case ready:
			add(drains, s, 0)
			add(goes, s, 0)
			add(restarts, s, 0)
		case draining:
			add(goes, s, 0)
			add(returns, s, 0)
		}
	}
	if len(w.Callers) == 0 {
		add(callerBack, 0, 0)
	} else {
		add(callerLost, 0, 0)
	}
	if !w.Reloaded && w.Config.Attempts > 1 {
		add(reload, 0, 0)
	}
	if w.Draining {
		add(undrain, 0, 0)
	} else {
		add(drain, 0, 0)
	}
	first := w.dueFirst()
	for n := range first {
		add(due, 0, n)
	}
	if w.PausesLeft > 0 && (len(first) == 0 || w.Timers[first[0]].At > w.Now+pause) {
		add(pass, 0, 0)
	}
	return all
}

// actionsOf are those of one call.
func (w *CallModel) actionsOf(i int, c *Call, add func(k ActionKind, of, n int)) {
	if !c.Started {
		return
	}
	switch c.State {
	case queued:
		add(written, i, 0)
	case out:
		add(answer, i, 0)
		add(full, i, 0)
		add(busy, i, 0)
		add(reset, i, 0)
	case ending:
		add(ended, i, 0)
		add(cross, i, 0)
	}
	if c.Established && w.to(c.Server) != 0 {
		add(release, i, 0)
		add(cut, i, 0)
	}
	w.echoes(i, c, add)
	switch a := &c.Account; {
	case a.CallerGone:
	case a.FinalAnswers == 0:
		if w.callerUp(c.From) {
			add(giveUp, i, 0)
		}
		if !c.Repeated {
			add(repeat, i, 0)
		}
	case a.WasEstablished && a.Released == 0 && len(w.Callers) > 0:
		add(hangup, i, 0)
	}
}

// echoes are what a server may say of a call that is over for it.
func (w *CallModel) echoes(i int, c *Call, add func(k ActionKind, of, n int)) {
	if c.LateAnswerFrom != 0 && w.to(c.LateAnswerFrom-1) != 0 {
		add(late, i, 0)
	}
	if c.RepeatedReleaseFrom != 0 && w.to(c.RepeatedReleaseFrom-1) != 0 {
		add(again, i, 0)
	}
}

// TryApply has something happen. It says no to what can't happen now.
func (w *CallModel) TryApply(a Action) bool {
	if !slices.Contains(w.EnabledActions(), a) {
		return false
	}
	w.apply(a)
	return true
}

func (w *CallModel) apply(a Action) {
	if a.Kind >= firstFault {
		w.FaultsLeft--
	}
	n := int(a.Target)
	switch a.Kind {
	case due:
		w.fire(w.dueFirst()[a.Arg])
	case pass:
		w.PausesLeft--
		w.Now += pause
		w.inTime(w.Now)
	case dialled:
		w.connect(n)
	case refused:
		w.Servers[n].Dials--
		w.step(core.ServerDown{Server: name(n)})
	case connLost:
		l := w.to(n)
		w.lose(l)
		w.step(core.ServerDown{Server: name(n), Conn: l})
	case drains, goes, restarts, returns:
		w.list(a.Kind, n)
	case callerBack:
		w.newCaller()
	case callerLost:
		l := w.Callers[0]
		w.lose(l)
		w.step(core.CallerDown{Conn: l})
	case reload:
		w.Reloaded = true
		w.step(core.Configured{Settings: w.Config.settings(w.Config.Attempts - 1), Limits: w.Config.limits()})
	case drain, undrain:
		w.Draining = a.Kind == drain
		w.step(core.Drain{On: w.Draining})
	default:
		w.call(a.Kind, n, int(a.Arg))
	}
}

// fire has a timer come due.
func (w *CallModel) fire(i int) {
	t := w.Timers[i]
	w.Timers = slices.Delete(w.Timers, i, i+1)
	w.Now = max(w.Now, t.At)
	w.inTime(w.Now)
	w.step(core.TimerFired{Token: t.Token})
}

// list changes the list of servers.
func (w *CallModel) list(k ActionKind, s int) {
	v := &w.Servers[s]
	switch k {
	case drains:
		v.Phase = draining
	case goes:
		v.Phase = gone
		w.die(s)
	case restarts:
		v.Incarnation++
		v.StartedAt = w.Now
		v.Dials = 0 // they lead to where nobody is
		w.die(s)
	case returns:
		v.Phase = ready
	}
	dials := v.Dials
	w.step(core.List{Servers: []core.Server{w.entry(s)}})
	if k == restarts && v.Dials == dials { // the one under way comes up at the old address, or not at all
		w.step(core.ServerDown{Server: name(s)})
	}
}

// call has something happen to a call.
func (w *CallModel) call(k ActionKind, i, n int) {
	c := &w.Calls[i]
	from, server := w.Callers, name(c.Server)
	switch k {
	case setUp:
		c.Started, c.From, c.Cell, c.Deadline = true, from[len(from)-1], n, w.Now+w.Config.GiveUp
		c.Account.MaxAttempts = w.Config.Attempts
		if w.Reloaded {
			c.Account.MaxAttempts--
		}
		w.step(w.setUp(i))
	case repeat:
		c.Repeated, c.From = true, w.newCaller()
		w.step(w.setUp(i))
	case written:
		c.State = out
		w.step(core.OfferWritten{Server: server, ID: id(i)})
	case answer:
		c.State, c.Established = nowhere, true
		w.attemptOver(i, false)
		w.step(core.ServerAnswer{Server: server, Conn: c.Link, ID: id(i)})
	case full, busy, reset:
		c.State = nowhere
		w.attemptOver(i, k == reset)
		why := map[ActionKind]core.Reason{full: core.Full, busy: core.Busy, reset: core.Reset}[k]
		w.step(core.ServerEnd{Server: server, Conn: c.Link, ID: id(i), Reason: why})
	case ended:
		c.State, c.LateAnswerFrom = nowhere, c.Server+1
		w.attemptOver(i, true)
		w.step(core.EndWritten{Server: server, ID: id(i)})
	case cross:
		w.step(core.ServerAnswer{Server: server, Conn: c.Link, ID: id(i)})
	case late:
		s := c.LateAnswerFrom - 1
		c.LateAnswerFrom = 0
		w.step(core.ServerAnswer{Server: name(s), Conn: w.to(s), ID: id(i)})
	case release, cut:
		c.Established, c.RepeatedReleaseFrom = false, c.Server+1
		why := core.Normal
		if k == cut {
			why = core.Reset
		}
		w.step(core.ServerEnd{Server: server, Conn: w.to(c.Server), ID: id(i), Reason: why})
	case again:
		s := c.RepeatedReleaseFrom - 1
		c.RepeatedReleaseFrom = 0
		w.step(core.ServerEnd{Server: name(s), Conn: w.to(s), ID: id(i), Reason: core.Normal})
	case hangup, giveUp:
		c.Account.CallerGone = true
		at := c.From
		if k == hangup && !w.callerUp(at) {
			at = from[0]
		}
		w.step(core.CallerEnd{ID: id(i), From: at})
	}
}

func (w *CallModel) setUp(i int) core.SetUp {
	c := &w.Calls[i]
	return core.SetUp{ID: id(i), From: c.From, Cell: c.Cell, NumberText: "k", TimeLeft: c.Deadline - w.Now, At: w.Now}
}
