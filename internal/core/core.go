// Package core is the softswitch without its sockets: a reducer that takes in one event at a time
// and says what is to be done. It owns the calls, the attempts, the list of servers and the
// decision module, and it keeps the rules by guards of its own, whatever the module decides.
//
// It does no I/O, reads no clock and knows no protocol. A Core is not safe for concurrent use.
package core

import (
	"hash/fnv"
	"slices"
	"time"

	"elmseam"
	"elmseam/internal/budget"
	"elmseam/internal/knowledge"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
	"elmseam/internal/probe"
)

// phase is where an attempt is on its way.
type phase uint8

const (
	waiting phase = iota // for a connection
	sent
	ending // given up; the end has not been written
)

// attempt is a set-up that is out at a server.
type attempt struct {
	number int
	server *server
	phase  phase
	line   *line // where it went
	at     Time
	cause  elmseam.Cause // that the module is told when the end is written
}

// call is a call in hand, up to its release.
type call struct {
	SetUp
	cid      elmseam.CallID
	print    uint64        // of the set-up's text: one that comes again is the same
	size     int           // bytes it keeps
	guard    time.Duration // the release gap that it came under
	front    Protocol
	deadline Time
	orphan   bool // its caller's connection has ended
	answered bool // the final answer is out
	gone     bool // its caller has left
	sends    int
	most     int // attempts it may have, by the settings of its set-up
	out      *attempt
	past     []ConnID // that earlier attempts went over
	gap      Time     // not sent again before
	stands   *server  // where it stands
	desc     []byte   // what that server answered
}

// server is a server of the list.
type server struct {
	Server
	id        elmseam.ServerID
	lines     []*line
	dialing   bool
	backoff   time.Duration
	lost      Time   // out of reach since; 0: not
	paused    bool   // by its own signalling
	source    string // of the list that names it
	told      elmseam.Phase
	standing  map[ID]*call
	out       map[ID]*call // attempts out, those that are ending included
	redialing bool         // a timer runs
	coldAt    Time         // the start of which budget was told
	coldFrom  Time         // since when set-ups to it are counted
	coldSent  int
	hears     hearsay
	owed      []ID // releases that wait for a connection
}

// left remembers under which id the module knew a server that has gone: one that comes back is the same.
type left struct {
	name string
	id   elmseam.ServerID
}

// line is a connection to a server.
type line struct {
	link      ConnID
	used      Time // for a set-up, last
	malformed bool // something on it could not be read: nothing new goes there
	mute      Time // nothing has been heard since this set-up went out; 0: something has
}

// caller is the connection of a caller.
type caller struct {
	link   ConnID
	front  Protocol
	asked  bool // it has brought a set-up
	stood  bool // one of them stood
	handed bool // to a successor: its effects go there

	passing   bool // which is not known to have it
	kept      bool // it could not be
	malformed bool // nothing more is read from it: it goes when no set-up is open on it
	heard     Time // of last
}

// over remembers a call that has ended.
type over struct {
	id ID
	at Time
}

// Core is the reducer.
type Core struct {
	limits   Limits
	guard    time.Duration        // the release gap
	most     int                  // attempts a call may have
	columns  []elmseam.LoadMetric // of a report, as the module reads them
	tenants  []elmseam.Tenant     // by their places in the module
	prober   *probe.Prober
	ctl      *elmseam.Controller
	now      Time
	out      []Effect
	calls    map[ID]*call
	byCID    map[elmseam.CallID]*call
	open     int // set-ups with no final answer
	bytes    int // that calls keep
	lastCID  elmseam.CallID
	servers  map[string]*server
	byID     map[elmseam.ServerID]*server
	order    []*server
	lastID   elmseam.ServerID
	left     []left           // servers that have gone, oldest first
	routes   map[string]Route // withdrawn
	callers  map[ConnID]*caller
	links    []*caller // oldest first
	room     bool      // a timer runs that looks for some
	pending  []*pendingRelease
	ended    map[ID]Time
	endedAt  []over
	stopping bool
	graced   bool
	ending   bool // all that was owed is done: what comes now is refused
	stopped  bool
	serving  bool
	draining bool
	drained  Time   // when that began or ended
	drains   uint32 // how often it did
	figures  Stats
	hook     Hook
	handing  bool                 // callers' connections are handed to a successor
	preceded bool                 // a predecessor has calls of callers who are here
	halved   bool                 // which holds as many callers as are here
	foreign  map[ID]ConnID        // and owes these set-ups an answer
	stood    map[ID]ConnID        // calls that stand from before it handed their callers on
	able     bool                 // this process could serve, once
	fleet    *membership.Reducer  // nil: this softswitch knows nothing of the others of its tier
	self     int                  // its number there
	work     *maintenance.Reducer // nil: it takes part in no ordered maintenance
	by       drainers             // who wants this softswitch drained
	since    Time                 // its first event
	carried  map[int]float64      // by how much rates grew for members that are not there
	knows    *knowledge.Reducer   // nil: it shares nothing of the servers with the tier
	parts    *budget.Reducer      // nil: its parts of cold servers' budgets are fixed
}

// pendingRelease is a release that finds no connection of its caller.
type pendingRelease struct {
	front Protocol
	id    ID
	why   Reason
	at    Time
}

// New makes a core round the decision module.
func New(set elmseam.Settings, seed uint64, limits Limits) (*Core, error) {
	ctl, err := elmseam.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		limits:  limits,
		guard:   set.ReleaseGuard,
		most:    set.MaxAttempts,
		columns: set.ReportMetrics,
		tenants: set.Tenants,
		prober:  probe.New(limits.Probe),
		ctl:     ctl,
		calls:   make(map[ID]*call),
		byCID:   make(map[elmseam.CallID]*call),
		servers: make(map[string]*server),
		byID:    make(map[elmseam.ServerID]*server),
		routes:  make(map[string]Route),
		callers: make(map[ConnID]*caller),
		ended:   make(map[ID]Time),
		foreign: make(map[ID]ConnID),
		stood:   make(map[ID]ConnID),
	}
	c.figures.room(len(set.Classes))
	return c, nil
}

// Step takes in one event. The effects are to be carried out in their order, and are valid until the
// next Step. A time before that of the last Step counts as the last one's.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.now, c.out = max(now, c.now), c.out[:0]
	c.allot()
	if c.since == 0 {
		c.since = c.now
	}
	switch ev := ev.(type) {
	case CallerUp:
		c.callerUp(ev)
	case CallerDown:
		c.callerDown(ev.Conn)
	case CallerIdle:
		if l := c.callers[ev.Conn]; l != nil && !c.busy()[ev.Conn] {
			c.closeGracefully(l)
		}
	case CallerMalformed:
		if l := c.callers[ev.Conn]; l != nil {
			l.malformed = true
			c.settle()
		}
	case SetUp:
		c.setUp(ev)
	case CallerEnd:
		c.callerEnd(ev)
	case ServerUp:
		c.serverUp(ev)
	case ServerDown:
		c.serverDown(ev)
	case ServerAnswer:
		c.answer(ev)
	case ServerEnd:
		c.serverEnd(ev)
	case ServerReport:
		if s := c.servers[ev.Server]; s != nil {
			s.heard(ev.Conn)
			c.health(s, ev.Report)
		}
	case ServerMalformed:
		c.malformed(ev)
	case ServerSilent:
		c.silent(ev)
	case ServerProbeAnswer:
		c.tested(ev)
	case ServerPaused:
		if s := c.servers[ev.Server]; s != nil {
			s.paused = ev.Paused
			c.phases([]*server{s}, false, false)
		}
	case Route:
		c.route(ev)
	case EndWritten:
		c.written(ev)
	case NotSent:
		c.notSent(ev)
	case List:
		c.list(ev)
	case Configured:
		if err := c.ctl.Configure(ev.Settings); err != nil {
			c.do(Violation{Rule: err.Error()})
			c.figures.ConfigsInvalid++
			break
		}
		c.figures.ConfigsLoaded++
		c.figures.room(len(ev.Settings.Classes))
		c.limits, c.guard, c.most = ev.Limits, ev.Settings.ReleaseGuard, ev.Settings.MaxAttempts
		c.prober.Configure(ev.Limits.Probe)
		c.columns, c.tenants = ev.Settings.ReportMetrics, ev.Settings.Tenants
	case Misconfigured:
		c.figures.ConfigsInvalid++
	case Drain:
		c.byHand(ev.On)
	case StartMaintenance:
		c.plan(ev)
	case MaintenanceRequest:
		c.toWork(ev.Event)
	case StartBudget:
		c.share(ev)
	case StartKnowledge:
		c.know(ev)
	case StartMembership:
		c.join(ev)
	case MemberDatagram:
		c.peer(ev)
	case HandOver:
		c.handOver()
	case ReadingStopped:
		c.moved(ev.Conn)
	case Transferred:
		if l := c.callers[ev.Conn]; l != nil {
			l.passing = false
		}
	case TransferFailed:
		if l := c.callers[ev.Conn]; l != nil {
			l.handed, l.passing, l.kept = false, false, true
		}
	case Predecessor:
		c.predecessor(ev)
	case Relayed:
		c.relayed(ev)
	case EndedCalls:
		for _, id := range ev.IDs {
			c.remember(id)
		}
	case OfferWritten:
		c.figures.Sends++
	case TimerFired:
		c.due(ev.Token)
	case Stop:
		if !c.stopping {
			c.stopping = true
			c.timer(c.now+c.limits.StopGrace, Token{kind: tokenStop})
			c.timer(c.now+c.limits.MaxStopWait, Token{kind: tokenFinal})
			c.toPeers(membership.Drain{On: true})
		}
	}
	c.empty()
	c.serve()
	return c.out
}

func (c *Core) do(e Effect) { c.out = append(c.out, e) }

func (c *Core) timer(at Time, t Token) { c.do(Timer{At: at, Token: t}) }

// tell hands the module an event and carries out what it decides.
func (c *Core) tell(ev elmseam.Event) {
	if c.hook.SuppressEvent != nil && c.hook.SuppressEvent(ev) {
		return
	}
	actions := c.ctl.Handle(c.now, ev, nil)
	if c.hook.Decide != nil {
		actions = c.hook.Decide(ev, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case elmseam.Send:
			if k := c.byCID[a.Call]; k != nil {
				c.send(k, a)
			}
		case elmseam.Refuse:
			if k := c.byCID[a.Call]; k != nil {
				c.final(k, Rejected{Reason: Congested, RetryAfter: a.RetryAfter})
			}
		case elmseam.Fail:
			if k := c.byCID[a.Call]; k != nil {
				c.final(k, Rejected{Reason: Failed})
			}
		case elmseam.Cancel:
			if k := c.byCID[a.Call]; k != nil && k.out != nil && k.out.number == a.Attempt {
				c.giveUp(k, elmseam.CauseCancelled)
			}
		case elmseam.SetTimer:
			c.timer(a.At, Token{kind: tokenController, number: a.Token})
		}
	}
}

// serve says when new calls begin or cease to be welcome, and when a stop is complete.
func (c *Core) serve() {
	yes := false
	for _, s := range c.order {
		yes = yes || s.told == elmseam.Ready
	}
	if yes = yes && !c.stopping && !c.draining; yes != c.serving {
		c.serving = yes
		c.do(Serving{On: yes})
		c.toWork(maintenance.Serving{Serving: yes})
	}
	if !c.able && yes {
		for _, s := range c.order {
			c.able = c.able || s.told == elmseam.Ready && len(s.lines) > 0
		}
		if c.able {
			c.do(ReadyToServe{})
		}
	}
	if c.graced && !c.ending && len(c.calls) == 0 && len(c.pending) == 0 && !c.keeps() {
		c.end()
	}
}

// end is reached when nothing is owed any more; the others of the tier are told that this one goes. What callers have
// sent by now may still be on its way: it is refused, for a while, before their connections are closed.
func (c *Core) end() {
	c.ending = true
	c.toPeers(membership.Leave{})
	if !slices.ContainsFunc(c.links, func(l *caller) bool { return !l.handed }) && c.handing || c.limits.StopLinger == 0 {
		c.stop()
		return
	}
	c.do(CloseListener{})
	c.timer(c.now+c.limits.StopLinger, Token{kind: tokenClose})
}

// stop closes the connections gracefully, and ends.
func (c *Core) stop() {
	for _, l := range slices.Clone(c.links) {
		if c.limits.Transient[l.front] && !l.handed {
			c.closeGracefully(l)
		}
	}
	for _, s := range c.order {
		for _, l := range s.lines {
			if c.limits.Transient[s.Protocol] {
				c.do(GracefulClose{To: l.link})
			}
		}
	}
	c.stopped = true
	c.do(Stopped{})
}

// cease gives each set-up that is still open its final answer: this process ends, and no other knows of it.
func (c *Core) cease() {
	for _, k := range inOrder(c.calls) {
		if !k.answered && !k.gone {
			c.tell(elmseam.CallerGone{Call: k.cid})
			c.final(k, Rejected{Reason: Failed})
		}
	}
}

// setUp takes in a call. One that is over already may have come again because its answer was lost with a
// closing connection; as ids are never used twice, it is refused.
func (c *Core) setUp(ev SetUp) {
	from := c.callers[ev.From]
	if from == nil { // its connection has been closed: it comes again on another
		if c.calls[ev.ID] == nil {
			c.do(ForgetCall{ID: ev.ID})
		}
		return
	}
	c.asks(from)
	if k := c.calls[ev.ID]; k != nil {
		c.repeated(k, ev)
		return
	}
	if _, foreign := c.foreign[ev.ID]; foreign { // open with a predecessor
		c.do(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
		return
	}
	if _, known := c.ended[ev.ID]; known {
		c.do(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		return
	}
	left := ev.TimeLeft - (c.now - ev.At) - c.limits.AnswerMargin
	size := len(ev.Desc) + len(ev.NumberText)
	switch {
	case ev.Class < 0:
		c.do(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
		return
	case ev.Class >= len(c.figures.Classes): // it comes with a configuration that is on its way here
		c.do(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		return
	case left <= 0 || c.away() || c.graced && !c.handing || c.ending || c.open >= c.limits.MaxOpen || c.bytes+size > c.limits.MaxCallBytes:
		c.do(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		c.count(ev.Class, false, Congested)
		return
	}
	c.lastCID++
	k := &call{SetUp: ev, size: size, cid: c.lastCID, print: printOf(ev), front: from.front, deadline: c.now + left, most: c.most, guard: c.guard}
	c.calls[k.ID], c.byCID[k.cid] = k, k
	c.open++
	c.bytes += size
	c.timer(k.deadline, Token{kind: tokenDeadline, call: k.ID, cid: k.cid})
	c.tell(elmseam.Arrival{
		Call: k.cid, Class: ev.Class, Number: ev.Number, Cell: ev.Cell, Interrupted: ev.Interrupted,
		Tenant:   slices.IndexFunc(c.tenants, func(t elmseam.Tenant) bool { return t.Name == ev.Tenant }),
		TimeLeft: left,
	})
	k.Tenant = ""
}

// repeated takes in a set-up under the id of a call in hand. The same one on another connection came again after
// its own had closed: it goes on there, and is told what its caller may have missed. Any other is refused, as the
// answer to the call in hand is none for it; where both came on one connection, nobody could tell whose it is.
func (c *Core) repeated(k *call, ev SetUp) {
	again := ev.From != k.From && printOf(ev) == k.print
	switch {
	case again && k.stands != nil:
		k.From = ev.From
		c.do(Answered{To: k.From, ID: k.ID, Desc: k.desc})
	case again && !k.answered && !k.gone:
		k.From, k.orphan = ev.From, false
	default:
		if ev.From == k.From && !k.answered {
			c.final(k, Rejected{Reason: Unsupported})
		}
		c.do(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
	}
}

// printOf tells set-ups apart by what they ask for.
func printOf(ev SetUp) uint64 {
	h := fnv.New64a()
	h.Write(append([]byte(ev.NumberText), 0, byte(ev.Class)))
	h.Write(ev.Desc)
	return h.Sum64()
}

// final gives a call its one final answer other than standing.
func (c *Core) final(k *call, r Rejected) {
	if k.answered {
		c.do(Violation{ID: k.ID, Rule: "second final answer"})
		return
	}
	switch {
	case k.gone:
	case k.orphan:
		c.do(ForgetCall{Protocol: k.front, ID: k.ID})
	default:
		r.To, r.ID = k.From, k.ID
		c.do(r)
		c.count(k.Class, false, r.Reason)
	}
	c.close(k)
}

// close ends a call's part with its caller. An attempt that is still out is given up first.
func (c *Core) close(k *call) {
	if !k.answered {
		k.answered = true
		c.open--
		defer c.settle()
	}
	if k.out != nil && k.out.phase != ending {
		c.giveUp(k, elmseam.CauseCancelled)
	}
	if k.out == nil {
		c.drop(k)
	}
}

// drop forgets a call, but for its id.
func (c *Core) drop(k *call) {
	if c.calls[k.ID] != k || !c.has(GuardForgetEnded) {
		return
	}
	c.bytes -= k.size
	delete(c.calls, k.ID)
	delete(c.byCID, k.cid)
	c.remember(k.ID)
}

// remember keeps the id of a call that is over for a while, and of so many: those that come at full speed to be
// turned away would else fill the memory.
func (c *Core) remember(id ID) {
	c.ended[id] = c.now
	c.endedAt = append(c.endedAt, over{id, c.now})
	for len(c.endedAt) > 0 && (c.endedAt[0].at < c.now-c.limits.EndedCallTTL || c.limits.MaxEndedCalls > 0 && len(c.endedAt) > c.limits.MaxEndedCalls) {
		if c.ended[c.endedAt[0].id] == c.endedAt[0].at {
			delete(c.ended, c.endedAt[0].id)
		}
		c.endedAt = c.endedAt[1:]
	}
}

// send starts an attempt, if the rules permit it: no answer is out, no other attempt is, there are not
// too many, and the server takes new work. Within the release gap it waits.
func (c *Core) send(k *call, a elmseam.Send) {
	s := c.byID[a.Server]
	if k.answered || k.gone || k.out != nil && c.has(GuardSingleAttempt) || s == nil {
		c.do(Violation{ID: k.ID, Rule: "send of a call that may not be sent"})
		return
	}
	at := &attempt{number: k.sends, server: s, at: c.now}
	k.sends++
	k.out, s.out[k.ID] = at, k
	switch {
	case c.now >= k.deadline || k.most > 0 && k.sends > k.most && c.has(GuardMaxAttempts), s.told != elmseam.Ready && c.has(GuardPhase):
		c.outcome(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	case a.Timeout > 0:
		c.timer(c.now+a.Timeout, Token{kind: tokenTimeout, call: k.ID, cid: k.cid, number: uint32(at.number)})
	}
	c.offer(k)
}

// offer writes an attempt, or has it wait for the release gap or a connection.
func (c *Core) offer(k *call) {
	s := k.out.server
	l := c.lineTo(s)
	switch {
	case c.now < k.gap && c.has(GuardResendWait):
		c.timer(k.gap, Token{kind: tokenGap, call: k.ID, cid: k.cid, number: uint32(k.out.number)})
	case l == nil && !c.dial(s):
		c.outcome(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case l == nil:
	default:
		k.out.phase, k.out.line, k.out.at, l.used = sent, l, c.now, c.now
		s.coldSent++
		if l.mute == 0 {
			l.mute = c.now
		}
		c.do(Offer{To: l.link, ID: k.ID, Class: k.Name, NumberText: k.NumberText, Desc: k.SetUp.Desc, Cell: s.Cell, Until: k.deadline})
	}
}

// giveUp calls an attempt off. It is out until its end has been written.
func (c *Core) giveUp(k *call, cause elmseam.Cause) {
	a := k.out
	switch {
	case a.phase == waiting:
		c.outcome(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case a.phase == sent:
		a.phase, a.cause = ending, cause
		c.do(End{To: a.line.link, ID: k.ID, Notify: true})
	}
}

// outcome takes in the end of the attempt that is out and tells the module.
func (c *Core) outcome(k *call, o elmseam.Outcome) {
	a := k.out
	k.out = nil
	if a.line != nil {
		k.past = append(k.past, a.line.link)
	}
	delete(a.server.out, k.ID)
	defer c.retire(a.server)
	switch o.Cause {
	case elmseam.CauseTimeout, elmseam.CauseReset, elmseam.CauseCancelled:
		k.gap = c.now + k.guard
	}
	o.Call, o.Server, o.Attempt, o.Final = k.cid, a.server.id, a.number, k.answered || k.gone
	if o.Final {
		c.drop(k)
	}
	c.tell(o)
}

// written says that the end of an attempt has left.
func (c *Core) written(ev EndWritten) {
	if k := c.at(ev.Server, ev.Conn, ev.ID); k != nil && k.out.phase == ending {
		c.outcome(k, elmseam.Outcome{Cause: k.out.cause})
	}
}

// notSent says that an attempt never left.
func (c *Core) notSent(ev NotSent) {
	if k := c.at(ev.Server, ev.Conn, ev.ID); k != nil {
		c.outcome(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	}
}

// at finds the call that has an attempt out at a server, on a connection.
func (c *Core) at(name string, on ConnID, id ID) *call {
	s := c.servers[name]
	if s == nil {
		return nil
	}
	k := s.out[id]
	if k != nil && k.stale(on) {
		return nil
	}
	return k
}

// stale says whether what has come on a connection concerns an earlier attempt of the call: that one went over it, and
// the one that is out did not.
func (k *call) stale(on ConnID) bool {
	return slices.Contains(k.past, on) && (k.out.line == nil || k.out.line.link != on)
}

// told puts a report into the order in which the module reads one; what isn't told is -1.
func (c *Core) told(r Report) elmseam.Report {
	var out elmseam.Report
	for i, f := range c.columns {
		for _, t := range r {
			if t.Metric != f {
				continue
			}
			for len(out) < len(c.columns) {
				out = append(out, -1)
			}
			out[i] = t.Value
		}
	}
	return out
}

// health tells the module what a server has reported by itself, or beside what concerns no attempt.
func (c *Core) health(s *server, r Report) {
	if told := c.told(r); told != nil {
		c.tell(elmseam.Health{Server: s.id, OK: true, Report: told})
	}
}

// malformed ends the attempt that an unreadable message was for: it may have run. Nothing new goes over that connection,
// and it is closed when nothing is out on it any more: no other call has to pay for it.
func (c *Core) malformed(ev ServerMalformed) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	for _, l := range s.lines {
		l.malformed = l.malformed || l.link == ev.Conn
	}
	if k := c.at(ev.Server, ev.Conn, ev.ID); k != nil && k.out.phase == sent {
		c.giveUp(k, elmseam.CauseReset)
	}
	c.retire(s)
	if c.wanted(s) > 0 { // also to hear again what has been lost of the calls that stand
		c.ahead(s)
	}
}

// answer takes in that a call stands. An answer to an attempt that is over is released, never passed on.
func (c *Core) answer(ev ServerAnswer) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	s.heard(ev.Conn)
	k := s.out[ev.ID]
	switch {
	case k == nil && s.standing[ev.ID] != nil:
		return // said twice
	case k != nil && k.stale(ev.Conn) && c.has(GuardSingleAnswer):
		return // to an earlier attempt, whose end is on the way
	case k == nil:
		c.endAt(s, ev.ID)
		return
	case k.out.phase != sent && c.has(GuardSingleAnswer):
		return // its end is on the way
	case (k.orphan || k.gone || k.answered) && c.has(GuardSingleAnswer) || c.now > k.deadline+c.limits.AnswerMargin:
		c.giveUp(k, elmseam.CauseCancelled)
		return
	}
	took := c.now - k.out.at
	k.out = nil
	delete(s.out, k.ID)
	k.stands, k.desc, k.answered = s, ev.Desc, true
	c.bytes += len(ev.Desc) - len(k.SetUp.Desc)
	k.size += len(ev.Desc) - len(k.SetUp.Desc)
	k.SetUp.Desc = nil
	s.standing[k.ID] = k
	c.open--
	if l := c.callers[k.From]; l != nil {
		l.stood, l.heard = true, c.now
	}
	c.do(Answered{To: k.From, ID: k.ID, Desc: ev.Desc})
	c.count(k.Class, true, Normal)
	c.tell(elmseam.Established{Call: k.cid, Server: s.id, SetUpTime: took})
	c.health(s, ev.Report)
	c.retire(s)
	c.settle()
}

// serverEnd takes in a refusal or a release.
func (c *Core) serverEnd(ev ServerEnd) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	s.heard(ev.Conn)
	o := elmseam.Outcome{Refusal: ev.Refusal, Report: c.told(ev.Report)}
	if k := s.standing[ev.ID]; k != nil {
		if ev.RefusalOnly { // a second answer to its set-up
			c.health(s, ev.Report)
			return
		}
		if o.Cause = elmseam.CauseReset; ev.Reason == Normal {
			o.Cause = elmseam.CauseEnded
		}
		c.released(k, ev.Reason, o)
		return
	}
	k := s.out[ev.ID]
	if k == nil || k.out.phase != sent || k.stale(ev.Conn) {
		c.health(s, ev.Report)
		if k == nil {
			c.stray(ev)
		}
		return
	}
	switch ev.Reason {
	case Full, Congested:
		o.Cause = elmseam.CauseFull
	case Busy, Failed, Unsupported:
		o.Cause = elmseam.CauseBusy
	case Unsent:
		o.Cause = elmseam.CauseNotSent
	default:
		o.Cause = elmseam.CauseReset
	}
	c.outcome(k, o)
}

// stray passes on the release of a call that stood before this program started, or that this program
// never saw: it is nobody's second answer, as ids of calls that ended here are remembered.
func (c *Core) stray(ev ServerEnd) {
	if _, known := c.ended[ev.ID]; known && c.has(GuardSingleRelease) || c.calls[ev.ID] != nil || ev.Reason == Full || ev.Reason == Busy || ev.Reason == Unsent {
		return
	}
	if c.preceded { // it knows whether it is over
		c.do(ToPredecessor{Event: ev})
		return
	}
	c.remember(ev.ID)
	if l := c.callers[c.stood[ev.ID]]; l != nil {
		delete(c.stood, ev.ID)
		c.release(l.front, l.link, ev.ID, ev.Reason)
		return
	}
	told := make(map[Protocol]bool)
	for _, l := range c.links { // whose it was isn't known
		if !told[l.front] {
			told[l.front] = true
			c.release(l.front, 0, ev.ID, ev.Reason)
		}
	}
}

// released ends a call that stands, towards its caller and in the module.
func (c *Core) released(k *call, why Reason, o elmseam.Outcome) {
	delete(k.stands.standing, k.ID)
	c.drop(k)
	if !k.gone {
		c.release(k.front, k.From, k.ID, why)
	}
	o.Call, o.Server, o.Final = k.cid, k.stands.id, true
	o.Attempt = max(k.sends-1, 0)
	c.tell(o)
	c.tidy(k.stands)
}

// asks takes in that a caller's connection is used: releases that found none go out on it.
func (c *Core) asks(l *caller) {
	l.heard = c.now
	if !l.asked {
		l.asked = true
		c.flush()
	}
}

// takes says whether releases of any call can go out on a connection. One that has asked for nothing yet may be a
// front's test, where they are lost.
func (c *Core) takes(l *caller) bool { return l.asked || !c.limits.Transient[l.front] }

// release sends a caller the end of a call that stood, on its connection or another of its front, best one
// that has had calls and is in use; if there is none, on the next.
func (c *Core) release(front Protocol, to ConnID, id ID, why Reason) {
	if c.callers[to] == nil {
		var best *caller
		for _, l := range c.links {
			if l.front == front && c.takes(l) && (best == nil || l.stood && !best.stood || l.stood == best.stood && l.heard >= best.heard) {
				best = l
			}
		}
		if best == nil && c.handing && c.limits.Transient[front] {
			c.do(ToSuccessor{Protocol: front, Effect: Released{ID: id, Reason: why}})
			return
		}
		if best == nil {
			c.pending = append(c.pending, &pendingRelease{front, id, why, c.now})
			return
		}
		to = best.link
	}
	c.do(Released{To: to, ID: id, Reason: why})
}

// flush sends the releases that found no connection.
func (c *Core) flush() {
	waiting := c.pending
	c.pending = nil
	for _, p := range waiting {
		if p.at > c.now-c.limits.EndedCallTTL {
			c.release(p.front, 0, p.id, p.why)
		} else {
			c.do(ForgetCall{Protocol: p.front, ID: p.id})
		}
	}
}

// callerEnd is a set-up given up, or the release of a call that stands, perhaps from before a restart.
func (c *Core) callerEnd(ev CallerEnd) {
	k := c.calls[ev.ID]
	if l := c.callers[ev.From]; l != nil {
		c.asks(l)
	}
	switch {
	case k == nil:
		_, known := c.ended[ev.ID]
		switch {
		case known, ev.SetUpDiscarded:
		case c.preceded:
			delete(c.stood, ev.ID)
			delete(c.foreign, ev.ID)
			c.remember(ev.ID) // what the older process says of it may cross this
			c.do(ToPredecessor{Event: ev})
		default:
			for _, s := range c.order {
				c.endAt(s, ev.ID)
			}
		}
	case k.stands != nil:
		k.gone = true
		c.hangUpAt(k.stands, k.ID)
		c.released(k, Normal, elmseam.Outcome{Cause: elmseam.CauseCancelled})
	case ev.From == k.From || k.orphan:
		c.callerGone(k)
	} // else somebody who guessed the id of a set-up that is open on another connection
}

// callerGone ends a set-up that nobody waits for any more. No answer is owed.
func (c *Core) callerGone(k *call) {
	if k.gone {
		return
	}
	k.gone = true
	if k.answered {
		return
	}
	if k.orphan {
		c.do(ForgetCall{Protocol: k.front, ID: k.ID})
	}
	c.tell(elmseam.CallerGone{Call: k.cid})
	c.close(k)
}

// callerUp takes in a connection of a caller.
func (c *Core) callerUp(ev CallerUp) {
	l := &caller{link: ev.Conn, front: ev.Protocol, heard: c.now}
	c.callers[ev.Conn] = l
	c.links = append(c.links, l)
	c.adopt(l, ev)
	c.settle()
	if c.takes(l) {
		c.flush()
	}
	if c.handing {
		c.move(l)
	}
}

// busy are the connections on which a set-up is open, here or with a predecessor.
func (c *Core) busy() map[ConnID]bool {
	busy := make(map[ConnID]bool)
	for _, k := range c.calls {
		if !k.answered && !k.gone && !k.orphan {
			busy[k.From] = true
		}
	}
	for _, l := range c.foreign {
		busy[l] = true
	}
	return busy
}

// settle closes the connections that have to go and have no set-up open: those from which nothing can be read and, where
// there are too many, those that can be missed first. Where each has one open there are too many for a while.
func (c *Core) settle() {
	most := c.limits.MaxCallerConns
	if c.halved { // descriptors are shared
		most /= 2
	}
	if len(c.links) <= most && !slices.ContainsFunc(c.links, func(l *caller) bool { return l.malformed }) {
		return
	}
	busy := c.busy()
	for _, l := range slices.Clone(c.links) {
		if l.malformed && !busy[l.link] {
			c.closeGracefully(l)
		}
	}
	for len(c.links) > most {
		victim := c.spare(busy)
		if victim == nil {
			if !c.room && c.limits.NewConnGrace > 0 {
				c.room = true
				c.timer(c.now+c.limits.NewConnGrace, Token{kind: tokenRoom})
			}
			return
		}
		c.closeGracefully(victim)
	}
}

// closeGracefully ends a connection that can be missed: what was written last can still be read.
func (c *Core) closeGracefully(l *caller) {
	c.forgetCaller(l.link)
	c.do(GracefulClose{To: l.link})
}

// spare is the connection that can be missed first: one that has never asked for anything, the oldest of them,
// or else the one that has been idle longest. One that has just come can't: what it asks is on its way.
func (c *Core) spare(busy map[ConnID]bool) (victim *caller) {
	for _, l := range c.links[:max(len(c.links)-1, 0)] {
		switch {
		case busy[l.link], l.handed, !l.asked && c.now < l.heard+c.limits.NewConnGrace:
		case victim == nil, victim.asked && !l.asked, victim.asked == l.asked && l.heard < victim.heard:
			victim = l
		}
	}
	return victim
}

// forgetCaller takes a connection off the list.
func (c *Core) forgetCaller(l ConnID) {
	delete(c.callers, l)
	c.links = slices.DeleteFunc(c.links, func(have *caller) bool { return have.link == l })
}

// callerDown ends a caller's connection. Its set-ups may come again on another one shortly.
func (c *Core) callerDown(l ConnID) {
	c.forgetCaller(l)
	c.forgetForeign(l)
	for _, k := range inOrder(c.calls) {
		if k.From == l && k.stands == nil && !k.answered {
			k.orphan = true
			c.timer(c.now+c.limits.Rebind, Token{kind: tokenRebind, call: k.ID, cid: k.cid})
		}
	}
}

// due takes in a timer. None is ever unset, so each looks whether it still means something.
func (c *Core) due(t Token) {
	k := c.calls[t.call]
	if t.cid != 0 && (k == nil || k.cid != t.cid) { // of a call that is over
		return
	}
	switch t.kind {
	case tokenController:
		c.tell(elmseam.TimerFired{Token: t.number})
	case tokenDeadline:
		if !k.answered {
			c.deadline(k)
		}
	case tokenRebind:
		if k.orphan {
			c.callerGone(k)
		}
	case tokenTimeout:
		if k.out != nil && uint32(k.out.number) == t.number {
			c.giveUp(k, elmseam.CauseTimeout)
		}
	case tokenGap:
		if k.out != nil && uint32(k.out.number) == t.number && k.out.phase == waiting {
			c.retry(k)
		}
	case tokenRedial:
		if s := c.servers[t.server]; s != nil {
			s.redialing = false
			if s.sound() < c.wanted(s) {
				c.ahead(s)
			}
		}
	case tokenLost:
		if s := c.servers[t.server]; s != nil && s.lost != 0 && c.now >= s.lost+c.limits.ServerLostAfter {
			c.cutAll(s)
		}
	case tokenDrain:
		c.sweep(t.number)
	case tokenStop:
		c.graced = true
	case tokenFinal:
		if c.graced && !c.ending {
			c.cease()
			c.end()
		}
	case tokenRoom:
		c.room = false
		c.settle()
	case tokenClose:
		c.stop()
	case tokenProbe:
		c.overdue(t)
	case tokenMember:
		c.toPeers(membership.TimerFired{Token: t.member})
	case tokenKnow:
		c.seen()
		c.toKnow(knowledge.TimerFired{Token: t.know})
	case tokenHearsay:
		c.unhear(t.server)
	case tokenParts:
		c.toParts(budget.Demand{Quotas: c.coldUse()})
		c.colds()
		c.toParts(budget.TimerFired{Token: t.parts})
		c.allot()
	case tokenWork:
		c.toWork(maintenance.TimerFired{Token: t.work})
	}
}

// retry looks again at an attempt that waited, before its first byte.
func (c *Core) retry(k *call) {
	if k.gone || k.answered || c.now >= k.deadline || k.out.server.told != elmseam.Ready {
		c.outcome(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	}
	c.offer(k)
}

// deadline gives a call its final answer while its caller still waits. What is out ends first.
func (c *Core) deadline(k *call) {
	if !c.has(GuardDeadline) {
		return
	}
	if a := k.out; a != nil {
		if a.phase == sent {
			c.do(End{To: a.line.link, ID: k.ID})
		}
		cause := elmseam.CauseTimeout
		if a.phase == waiting {
			cause = elmseam.CauseNotSent
		}
		c.outcome(k, elmseam.Outcome{Cause: cause})
	}
	if !k.answered { // the module holds it still
		c.tell(elmseam.CallerGone{Call: k.cid})
		c.final(k, Rejected{Reason: Failed})
	}
}
