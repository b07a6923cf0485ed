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
type attemptPhase uint8

const (
	attemptWaiting attemptPhase = iota // for a connection
	attemptSent
	attemptEnding // given up; the end has not been written
)

// attempt is a set-up that is out at a server.
type attempt struct {
	number    int
	server    *server
	phase     attemptPhase
	conn      *serverConn // where it went
	startedAt Time
	endCause  elmseam.Cause // that the module is told when the end is written
}

// call is a call in hand, up to its release.
type call struct {
	SetUp
	controllerID elmseam.CallID
	fingerprint  uint64        // of the set-up's text: one that comes again is the same
	size         int           // bytes it keeps
	releaseGuard time.Duration // the release gap that it came under
	protocol     Protocol
	deadline     Time
	orphaned     bool // its caller's connection has ended
	answered     bool // the final answer is out
	callerGone   bool // its caller has left
	attempts     int
	maxAttempts  int // attempts it may have, by the settings of its set-up
	attempt      *attempt
	earlierConns []ConnID // that earlier attempts went over
	resendAfter  Time     // not sent again before
	server       *server  // where it stands
	answerDesc   []byte   // what that server answered
}

// server is a server of the list.
type server struct {
	Server
	id               elmseam.ServerID
	conns            []*serverConn
	dialing          bool
	backoff          time.Duration
	unreachableSince Time   // out of reach since; 0: not
	paused           bool   // by its own signalling
	source           string // of the list that names it
	effectivePhase   elmseam.Phase
	established      map[ID]*call
	outstanding      map[ID]*call // attempts out, those that are ending included
	redialPending    bool         // a timer runs
	coldStart        Time         // the start of which budget was told
	coldCountSince   Time         // since when set-ups to it are counted
	coldSetUps       int
	drainReport      drainReport
	pendingReleases  []ID // releases that wait for a connection
}

// left remembers under which id the module knew a server that has gone: one that comes back is the same.
type removedServer struct {
	name string
	id   elmseam.ServerID
}

// line is a connection to a server.
type serverConn struct {
	id              ConnID
	lastSetUp       Time // for a set-up, last
	malformed       bool // something on it could not be read: nothing new goes there
	unansweredSince Time // nothing has been heard since this set-up went out; 0: something has
}

// caller is the connection of a caller.
type callerConn struct {
	id             ConnID
	protocol       Protocol
	hadSetUp       bool // it has brought a set-up
	hadEstablished bool // one of them stood
	transferred    bool // to a successor: its effects go there

	transferUnconfirmed bool // which is not known to have it
	transferFailed      bool // it could not be
	malformed           bool // nothing more is read from it: it goes when no set-up is open on it
	lastActive          Time // of last
}

// over remembers a call that has ended.
type endedCall struct {
	id ID
	at Time
}

// Core is the reducer.
type Core struct {
	limits              Limits
	releaseGuard        time.Duration        // the release gap
	maxAttempts         int                  // attempts a call may have
	reportMetrics       []elmseam.LoadMetric // of a report, as the module reads them
	tenants             []elmseam.Tenant     // by their places in the module
	prober              *probe.Prober
	controller          *elmseam.Controller
	now                 Time
	out                 []Effect
	calls               map[ID]*call
	callsByControllerID map[elmseam.CallID]*call
	openSetUps          int // set-ups with no final answer
	callBytes           int // that calls keep
	lastControllerID    elmseam.CallID
	servers             map[string]*server
	serversByID         map[elmseam.ServerID]*server
	serverOrder         []*server
	lastServerID        elmseam.ServerID
	removed             []removedServer  // servers that have gone, oldest first
	withdrawnRoutes     map[string]Route // withdrawn
	callers             map[ConnID]*callerConn
	callerOrder         []*callerConn // oldest first
	pruneTimerSet       bool          // a timer runs that looks for some
	pendingReleases     []*pendingRelease
	ended               map[ID]Time
	endedOrder          []endedCall
	stopping            bool
	stopGraceOver       bool
	closing             bool // all that was owed is done: what comes now is refused
	stopped             bool
	serving             bool
	draining            bool
	drainChangedAt      Time   // when that began or ended
	drainChanges        uint32 // how often it did
	stats               Stats
	hook                Hook
	handingOver         bool                 // callers' connections are handed to a successor
	hasPredecessor      bool                 // a predecessor has calls of callers who are here
	sharesCallerLimit   bool                 // which holds as many callers as are here
	predecessorSetUps   map[ID]ConnID        // and owes these set-ups an answer
	predecessorCalls    map[ID]ConnID        // calls that stand from before it handed their callers on
	ready               bool                 // this process could serve, once
	membership          *membership.Reducer  // nil: this softswitch knows nothing of the others of its tier
	selfIndex           int                  // its number there
	maintenance         *maintenance.Reducer // nil: it takes part in no ordered maintenance
	drainReasons        drainReasons         // who wants this softswitch drained
	startedAt           Time                 // its first event
	takeoverFactors     map[int]float64      // by how much rates grew for members that are not there
	knowledge           *knowledge.Reducer   // nil: it shares nothing of the servers with the tier
	budget              *budget.Reducer      // nil: its parts of cold servers' budgets are fixed
}

// pendingRelease is a release that finds no connection of its caller.
type pendingRelease struct {
	protocol Protocol
	id       ID
	reason   Reason
	at       Time
}

// New makes a core round the decision module.
func New(set elmseam.Settings, seed uint64, limits Limits) (*Core, error) {
	ctl, err := elmseam.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		limits:              limits,
		releaseGuard:        set.ReleaseGuard,
		maxAttempts:         set.MaxAttempts,
		reportMetrics:       set.ReportMetrics,
		tenants:             set.Tenants,
		prober:              probe.New(limits.Probe),
		controller:          ctl,
		calls:               make(map[ID]*call),
		callsByControllerID: make(map[elmseam.CallID]*call),
		servers:             make(map[string]*server),
		serversByID:         make(map[elmseam.ServerID]*server),
		withdrawnRoutes:     make(map[string]Route),
		callers:             make(map[ConnID]*callerConn),
		ended:               make(map[ID]Time),
		predecessorSetUps:   make(map[ID]ConnID),
		predecessorCalls:    make(map[ID]ConnID),
	}
	c.stats.growClasses(len(set.Classes))
	return c, nil
}

// Step takes in one event. The effects are to be carried out in their order, and are valid until the
// next Step. A time before that of the last Step counts as the last one's.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.now, c.out = max(now, c.now), c.out[:0]
	c.applyColdRates()
	if c.startedAt == 0 {
		c.startedAt = c.now
	}
	switch ev := ev.(type) {
	case CallerUp:
		c.callerUp(ev)
	case CallerDown:
		c.callerDown(ev.Conn)
	case CallerIdle:
		if l := c.callers[ev.Conn]; l != nil && !c.busyConns()[ev.Conn] {
			c.closeCaller(l)
		}
	case CallerMalformed:
		if l := c.callers[ev.Conn]; l != nil {
			l.malformed = true
			c.pruneCallers()
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
		c.serverAnswer(ev)
	case ServerEnd:
		c.serverEnd(ev)
	case ServerReport:
		if s := c.servers[ev.Server]; s != nil {
			s.markReceived(ev.Conn)
			c.reportHealth(s, ev.Report)
		}
	case ServerMalformed:
		c.serverMalformed(ev)
	case ServerSilent:
		c.serverSilent(ev)
	case ServerProbeAnswer:
		c.probeAnswered(ev)
	case ServerPaused:
		if s := c.servers[ev.Server]; s != nil {
			s.paused = ev.Paused
			c.updatePhases([]*server{s}, false, false)
		}
	case Route:
		c.routeChanged(ev)
	case EndWritten:
		c.endWritten(ev)
	case NotSent:
		c.notSent(ev)
	case List:
		c.serverList(ev)
	case Configured:
		if err := c.controller.Configure(ev.Settings); err != nil {
			c.emit(Violation{Rule: err.Error()})
			c.stats.ConfigsInvalid++
			break
		}
		c.stats.ConfigsLoaded++
		c.stats.growClasses(len(ev.Settings.Classes))
		c.limits, c.releaseGuard, c.maxAttempts = ev.Limits, ev.Settings.ReleaseGuard, ev.Settings.MaxAttempts
		c.prober.Configure(ev.Limits.Probe)
		c.reportMetrics, c.tenants = ev.Settings.ReportMetrics, ev.Settings.Tenants
	case Misconfigured:
		c.stats.ConfigsInvalid++
	case Drain:
		c.operatorDrain(ev.On)
	case StartMaintenance:
		c.startMaintenance(ev)
	case MaintenanceRequest:
		c.stepMaintenance(ev.Event)
	case StartBudget:
		c.startBudget(ev)
	case StartKnowledge:
		c.startKnowledge(ev)
	case StartMembership:
		c.startMembership(ev)
	case MemberDatagram:
		c.memberDatagram(ev)
	case HandOver:
		c.handOver()
	case ReadingStopped:
		c.transfer(ev.Conn)
	case Transferred:
		if l := c.callers[ev.Conn]; l != nil {
			l.transferUnconfirmed = false
		}
	case TransferFailed:
		if l := c.callers[ev.Conn]; l != nil {
			l.transferred, l.transferUnconfirmed, l.transferFailed = false, false, true
		}
	case Predecessor:
		c.predecessorChanged(ev)
	case Relayed:
		c.relayFromPredecessor(ev)
	case EndedCalls:
		for _, id := range ev.IDs {
			c.rememberEnded(id)
		}
	case OfferWritten:
		c.stats.Sends++
	case TimerFired:
		c.timerFired(ev.Token)
	case Stop:
		if !c.stopping {
			c.stopping = true
			c.setTimer(c.now+c.limits.StopGrace, Token{kind: tokenStopGrace})
			c.setTimer(c.now+c.limits.MaxStopWait, Token{kind: tokenMaxStopWait})
			c.stepMembership(membership.Drain{On: true})
		}
	}
	c.reportDrained()
	c.updateServing()
	return c.out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) setTimer(at Time, t Token) { c.emit(Timer{At: at, Token: t}) }

// tell hands the module an event and carries out what it decides.
func (c *Core) notifyController(ev elmseam.Event) {
	if c.hook.SuppressEvent != nil && c.hook.SuppressEvent(ev) {
		return
	}
	actions := c.controller.Handle(c.now, ev, nil)
	if c.hook.Decide != nil {
		actions = c.hook.Decide(ev, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case elmseam.Send:
			if k := c.callsByControllerID[a.Call]; k != nil {
				c.startAttempt(k, a)
			}
		case elmseam.Refuse:
			if k := c.callsByControllerID[a.Call]; k != nil {
				c.reject(k, Rejected{Reason: Congested, RetryAfter: a.RetryAfter})
			}
		case elmseam.Fail:
			if k := c.callsByControllerID[a.Call]; k != nil {
				c.reject(k, Rejected{Reason: Failed})
			}
		case elmseam.Cancel:
			if k := c.callsByControllerID[a.Call]; k != nil && k.attempt != nil && k.attempt.number == a.Attempt {
				c.giveUpAttempt(k, elmseam.CauseCancelled)
			}
		case elmseam.SetTimer:
			c.setTimer(a.At, Token{kind: tokenController, number: a.Token})
		}
	}
}

// serve says when new calls begin or cease to be welcome, and when a stop is complete.
func (c *Core) updateServing() {
	yes := false
	for _, s := range c.serverOrder {
		yes = yes || s.effectivePhase == elmseam.Ready
	}
	if yes = yes && !c.stopping && !c.draining; yes != c.serving {
		c.serving = yes
		c.emit(Serving{On: yes})
		c.stepMaintenance(maintenance.Serving{Serving: yes})
	}
	if !c.ready && yes {
		for _, s := range c.serverOrder {
			c.ready = c.ready || s.effectivePhase == elmseam.Ready && len(s.conns) > 0
		}
		if c.ready {
			c.emit(ReadyToServe{})
		}
	}
	if c.stopGraceOver && !c.closing && len(c.calls) == 0 && len(c.pendingReleases) == 0 && !c.transfersPending() {
		c.beginClosing()
	}
}

// end is reached when nothing is owed any more; the others of the tier are told that this one goes. What callers have
// sent by now may still be on its way: it is refused, for a while, before their connections are closed.
func (c *Core) beginClosing() {
	c.closing = true
	c.stepMembership(membership.Leave{})
	if !slices.ContainsFunc(c.callerOrder, func(l *callerConn) bool { return !l.transferred }) && c.handingOver || c.limits.StopLinger == 0 {
		c.finishStop()
		return
	}
	c.emit(CloseListener{})
	c.setTimer(c.now+c.limits.StopLinger, Token{kind: tokenStopLinger})
}

// stop closes the connections gracefully, and ends.
func (c *Core) finishStop() {
	for _, l := range slices.Clone(c.callerOrder) {
		if c.limits.Transient[l.protocol] && !l.transferred {
			c.closeCaller(l)
		}
	}
	for _, s := range c.serverOrder {
		for _, l := range s.conns {
			if c.limits.Transient[s.Protocol] {
				c.emit(GracefulClose{To: l.id})
			}
		}
	}
	c.stopped = true
	c.emit(Stopped{})
}

// cease gives each set-up that is still open its final answer: this process ends, and no other knows of it.
func (c *Core) failOpenSetUps() {
	for _, k := range inArrivalOrder(c.calls) {
		if !k.answered && !k.callerGone {
			c.notifyController(elmseam.CallerGone{Call: k.controllerID})
			c.reject(k, Rejected{Reason: Failed})
		}
	}
}

// setUp takes in a call. One that is over already may have come again because its answer was lost with a
// closing connection; as ids are never used twice, it is refused.
func (c *Core) setUp(ev SetUp) {
	from := c.callers[ev.From]
	if from == nil { // its connection has been closed: it comes again on another
		if c.calls[ev.ID] == nil {
			c.emit(ForgetCall{ID: ev.ID})
		}
		return
	}
	c.markUsed(from)
	if k := c.calls[ev.ID]; k != nil {
		c.repeatedSetUp(k, ev)
		return
	}
	if _, foreign := c.predecessorSetUps[ev.ID]; foreign { // open with a predecessor
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
		return
	}
	if _, known := c.ended[ev.ID]; known {
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		return
	}
	left := ev.TimeLeft - (c.now - ev.At) - c.limits.AnswerMargin
	size := len(ev.Desc) + len(ev.NumberText)
	switch {
	case ev.Class < 0:
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
		return
	case ev.Class >= len(c.stats.Classes): // it comes with a configuration that is on its way here
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		return
	case left <= 0 || c.drainRefuses() || c.stopGraceOver && !c.handingOver || c.closing || c.openSetUps >= c.limits.MaxOpen || c.callBytes+size > c.limits.MaxCallBytes:
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Congested, RetryAfter: c.limits.RetryHint})
		c.countAnswer(ev.Class, false, Congested)
		return
	}
	c.lastControllerID++
	k := &call{SetUp: ev, size: size, controllerID: c.lastControllerID, fingerprint: fingerprintOf(ev), protocol: from.protocol, deadline: c.now + left, maxAttempts: c.maxAttempts, releaseGuard: c.releaseGuard}
	c.calls[k.ID], c.callsByControllerID[k.controllerID] = k, k
	c.openSetUps++
	c.callBytes += size
	c.setTimer(k.deadline, Token{kind: tokenDeadline, call: k.ID, controllerID: k.controllerID})
	c.notifyController(elmseam.Arrival{
		Call: k.controllerID, Class: ev.Class, Number: ev.Number, Cell: ev.Cell, Interrupted: ev.Interrupted,
		Tenant:   slices.IndexFunc(c.tenants, func(t elmseam.Tenant) bool { return t.Name == ev.Tenant }),
		TimeLeft: left,
	})
	k.Tenant = ""
}

// repeated takes in a set-up under the id of a call in hand. The same one on another connection came again after
// its own had closed: it goes on there, and is told what its caller may have missed. Any other is refused, as the
// answer to the call in hand is none for it; where both came on one connection, nobody could tell whose it is.
func (c *Core) repeatedSetUp(k *call, ev SetUp) {
	again := ev.From != k.From && fingerprintOf(ev) == k.fingerprint
	switch {
	case again && k.server != nil:
		k.From = ev.From
		c.emit(Answered{To: k.From, ID: k.ID, Desc: k.answerDesc})
	case again && !k.answered && !k.callerGone:
		k.From, k.orphaned = ev.From, false
	default:
		if ev.From == k.From && !k.answered {
			c.reject(k, Rejected{Reason: Unsupported})
		}
		c.emit(Rejected{To: ev.From, ID: ev.ID, Reason: Unsupported})
	}
}

// printOf tells set-ups apart by what they ask for.
func fingerprintOf(ev SetUp) uint64 {
	h := fnv.New64a()
	h.Write(append([]byte(ev.NumberText), 0, byte(ev.Class)))
	h.Write(ev.Desc)
	return h.Sum64()
}

// final gives a call its one final answer other than standing.
func (c *Core) reject(k *call, r Rejected) {
	if k.answered {
		c.emit(Violation{ID: k.ID, Rule: "second final answer"})
		return
	}
	switch {
	case k.callerGone:
	case k.orphaned:
		c.emit(ForgetCall{Protocol: k.protocol, ID: k.ID})
	default:
		r.To, r.ID = k.From, k.ID
		c.emit(r)
		c.countAnswer(k.Class, false, r.Reason)
	}
	c.endCallerSide(k)
}

// close ends a call's part with its caller. An attempt that is still out is given up first.
func (c *Core) endCallerSide(k *call) {
	if !k.answered {
		k.answered = true
		c.openSetUps--
		defer c.pruneCallers()
	}
	if k.attempt != nil && k.attempt.phase != attemptEnding {
		c.giveUpAttempt(k, elmseam.CauseCancelled)
	}
	if k.attempt == nil {
		c.forgetCall(k)
	}
}

// drop forgets a call, but for its id.
func (c *Core) forgetCall(k *call) {
	if c.calls[k.ID] != k || !c.guardEnabled(GuardForgetEnded) {
		return
	}
	c.callBytes -= k.size
	delete(c.calls, k.ID)
	delete(c.callsByControllerID, k.controllerID)
	c.rememberEnded(k.ID)
}

// remember keeps the id of a call that is over for a while, and of so many: those that come at full speed to be
// turned away would else fill the memory.
func (c *Core) rememberEnded(id ID) {
	c.ended[id] = c.now
	c.endedOrder = append(c.endedOrder, endedCall{id, c.now})
	for len(c.endedOrder) > 0 && (c.endedOrder[0].at < c.now-c.limits.EndedCallTTL || c.limits.MaxEndedCalls > 0 && len(c.endedOrder) > c.limits.MaxEndedCalls) {
		if c.ended[c.endedOrder[0].id] == c.endedOrder[0].at {
			delete(c.ended, c.endedOrder[0].id)
		}
		c.endedOrder = c.endedOrder[1:]
	}
}

// send starts an attempt, if the rules permit it: no answer is out, no other attempt is, there are not
// too many, and the server takes new work. Within the release gap it waits.
func (c *Core) startAttempt(k *call, a elmseam.Send) {
	s := c.serversByID[a.Server]
	if k.answered || k.callerGone || k.attempt != nil && c.guardEnabled(GuardSingleAttempt) || s == nil {
		c.emit(Violation{ID: k.ID, Rule: "send of a call that may not be sent"})
		return
	}
	at := &attempt{number: k.attempts, server: s, startedAt: c.now}
	k.attempts++
	k.attempt, s.outstanding[k.ID] = at, k
	switch {
	case c.now >= k.deadline || k.maxAttempts > 0 && k.attempts > k.maxAttempts && c.guardEnabled(GuardMaxAttempts), s.effectivePhase != elmseam.Ready && c.guardEnabled(GuardPhase):
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	case a.Timeout > 0:
		c.setTimer(c.now+a.Timeout, Token{kind: tokenAttemptTimeout, call: k.ID, controllerID: k.controllerID, number: uint32(at.number)})
	}
	c.offer(k)
}

// offer writes an attempt, or has it wait for the release gap or a connection.
func (c *Core) offer(k *call) {
	s := k.attempt.server
	l := c.connFor(s)
	switch {
	case c.now < k.resendAfter && c.guardEnabled(GuardResendWait):
		c.setTimer(k.resendAfter, Token{kind: tokenReleaseGuard, call: k.ID, controllerID: k.controllerID, number: uint32(k.attempt.number)})
	case l == nil && !c.dial(s):
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case l == nil:
	default:
		k.attempt.phase, k.attempt.conn, k.attempt.startedAt, l.lastSetUp = attemptSent, l, c.now, c.now
		s.coldSetUps++
		if l.unansweredSince == 0 {
			l.unansweredSince = c.now
		}
		c.emit(Offer{To: l.id, ID: k.ID, Class: k.Name, NumberText: k.NumberText, Desc: k.SetUp.Desc, Cell: s.Cell, Until: k.deadline})
	}
}

// giveUp calls an attempt off. It is out until its end has been written.
func (c *Core) giveUpAttempt(k *call, cause elmseam.Cause) {
	a := k.attempt
	switch {
	case a.phase == attemptWaiting:
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	case a.phase == attemptSent:
		a.phase, a.endCause = attemptEnding, cause
		c.emit(End{To: a.conn.id, ID: k.ID, Notify: true})
	}
}

// outcome takes in the end of the attempt that is out and tells the module.
func (c *Core) endAttempt(k *call, o elmseam.Outcome) {
	a := k.attempt
	k.attempt = nil
	if a.conn != nil {
		k.earlierConns = append(k.earlierConns, a.conn.id)
	}
	delete(a.server.outstanding, k.ID)
	defer c.closeMalformedConns(a.server)
	switch o.Cause {
	case elmseam.CauseTimeout, elmseam.CauseReset, elmseam.CauseCancelled:
		k.resendAfter = c.now + k.releaseGuard
	}
	o.Call, o.Server, o.Attempt, o.Final = k.controllerID, a.server.id, a.number, k.answered || k.callerGone
	if o.Final {
		c.forgetCall(k)
	}
	c.notifyController(o)
}

// written says that the end of an attempt has left.
func (c *Core) endWritten(ev EndWritten) {
	if k := c.outstandingCall(ev.Server, ev.Conn, ev.ID); k != nil && k.attempt.phase == attemptEnding {
		c.endAttempt(k, elmseam.Outcome{Cause: k.attempt.endCause})
	}
}

// notSent says that an attempt never left.
func (c *Core) notSent(ev NotSent) {
	if k := c.outstandingCall(ev.Server, ev.Conn, ev.ID); k != nil {
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
	}
}

// at finds the call that has an attempt out at a server, on a connection.
func (c *Core) outstandingCall(name string, on ConnID, id ID) *call {
	s := c.servers[name]
	if s == nil {
		return nil
	}
	k := s.outstanding[id]
	if k != nil && k.concernsEarlierAttempt(on) {
		return nil
	}
	return k
}

// stale says whether what has come on a connection concerns an earlier attempt of the call: that one went over it, and
// the one that is out did not.
func (k *call) concernsEarlierAttempt(on ConnID) bool {
	return slices.Contains(k.earlierConns, on) && (k.attempt.conn == nil || k.attempt.conn.id != on)
}

// told puts a report into the order in which the module reads one; what isn't told is -1.
func (c *Core) orderReport(r Report) elmseam.Report {
	var out elmseam.Report
	for i, f := range c.reportMetrics {
		for _, t := range r {
			if t.Metric != f {
				continue
			}
			for len(out) < len(c.reportMetrics) {
				out = append(out, -1)
			}
			out[i] = t.Value
		}
	}
	return out
}

// health tells the module what a server has reported by itself, or beside what concerns no attempt.
func (c *Core) reportHealth(s *server, r Report) {
	if told := c.orderReport(r); told != nil {
		c.notifyController(elmseam.Health{Server: s.id, OK: true, Report: told})
	}
}

// malformed ends the attempt that an unreadable message was for: it may have run. Nothing new goes over that connection,
// and it is closed when nothing is out on it any more: no other call has to pay for it.
func (c *Core) serverMalformed(ev ServerMalformed) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	for _, l := range s.conns {
		l.malformed = l.malformed || l.id == ev.Conn
	}
	if k := c.outstandingCall(ev.Server, ev.Conn, ev.ID); k != nil && k.attempt.phase == attemptSent {
		c.giveUpAttempt(k, elmseam.CauseReset)
	}
	c.closeMalformedConns(s)
	if c.wantedConns(s) > 0 { // also to hear again what has been lost of the calls that stand
		c.dialAhead(s)
	}
}

// answer takes in that a call stands. An answer to an attempt that is over is released, never passed on.
func (c *Core) serverAnswer(ev ServerAnswer) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	s.markReceived(ev.Conn)
	k := s.outstanding[ev.ID]
	switch {
	case k == nil && s.established[ev.ID] != nil:
		return // said twice
	case k != nil && k.concernsEarlierAttempt(ev.Conn) && c.guardEnabled(GuardSingleAnswer):
		return // to an earlier attempt, whose end is on the way
	case k == nil:
		c.sendEnd(s, ev.ID)
		return
	case k.attempt.phase != attemptSent && c.guardEnabled(GuardSingleAnswer):
		return // its end is on the way
	case (k.orphaned || k.callerGone || k.answered) && c.guardEnabled(GuardSingleAnswer) || c.now > k.deadline+c.limits.AnswerMargin:
		c.giveUpAttempt(k, elmseam.CauseCancelled)
		return
	}
	took := c.now - k.attempt.startedAt
	k.attempt = nil
	delete(s.outstanding, k.ID)
	k.server, k.answerDesc, k.answered = s, ev.Desc, true
	c.callBytes += len(ev.Desc) - len(k.SetUp.Desc)
	k.size += len(ev.Desc) - len(k.SetUp.Desc)
	k.SetUp.Desc = nil
	s.established[k.ID] = k
	c.openSetUps--
	if l := c.callers[k.From]; l != nil {
		l.hadEstablished, l.lastActive = true, c.now
	}
	c.emit(Answered{To: k.From, ID: k.ID, Desc: ev.Desc})
	c.countAnswer(k.Class, true, Normal)
	c.notifyController(elmseam.Established{Call: k.controllerID, Server: s.id, SetUpTime: took})
	c.reportHealth(s, ev.Report)
	c.closeMalformedConns(s)
	c.pruneCallers()
}

// serverEnd takes in a refusal or a release.
func (c *Core) serverEnd(ev ServerEnd) {
	s := c.servers[ev.Server]
	if s == nil {
		return
	}
	s.markReceived(ev.Conn)
	o := elmseam.Outcome{Refusal: ev.Refusal, Report: c.orderReport(ev.Report)}
	if k := s.established[ev.ID]; k != nil {
		if ev.RefusalOnly { // a second answer to its set-up
			c.reportHealth(s, ev.Report)
			return
		}
		if o.Cause = elmseam.CauseReset; ev.Reason == Normal {
			o.Cause = elmseam.CauseEnded
		}
		c.endEstablished(k, ev.Reason, o)
		return
	}
	k := s.outstanding[ev.ID]
	if k == nil || k.attempt.phase != attemptSent || k.concernsEarlierAttempt(ev.Conn) {
		c.reportHealth(s, ev.Report)
		if k == nil {
			c.releaseUnknown(ev)
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
	c.endAttempt(k, o)
}

// stray passes on the release of a call that stood before this program started, or that this program
// never saw: it is nobody's second answer, as ids of calls that ended here are remembered.
func (c *Core) releaseUnknown(ev ServerEnd) {
	if _, known := c.ended[ev.ID]; known && c.guardEnabled(GuardSingleRelease) || c.calls[ev.ID] != nil || ev.Reason == Full || ev.Reason == Busy || ev.Reason == Unsent {
		return
	}
	if c.hasPredecessor { // it knows whether it is over
		c.emit(ToPredecessor{Event: ev})
		return
	}
	c.rememberEnded(ev.ID)
	if l := c.callers[c.predecessorCalls[ev.ID]]; l != nil {
		delete(c.predecessorCalls, ev.ID)
		c.sendRelease(l.protocol, l.id, ev.ID, ev.Reason)
		return
	}
	told := make(map[Protocol]bool)
	for _, l := range c.callerOrder { // whose it was isn't known
		if !told[l.protocol] {
			told[l.protocol] = true
			c.sendRelease(l.protocol, 0, ev.ID, ev.Reason)
		}
	}
}

// released ends a call that stands, towards its caller and in the module.
func (c *Core) endEstablished(k *call, why Reason, o elmseam.Outcome) {
	delete(k.server.established, k.ID)
	c.forgetCall(k)
	if !k.callerGone {
		c.sendRelease(k.protocol, k.From, k.ID, why)
	}
	o.Call, o.Server, o.Final = k.controllerID, k.server.id, true
	o.Attempt = max(k.attempts-1, 0)
	c.notifyController(o)
	c.removeIfUnused(k.server)
}

// asks takes in that a caller's connection is used: releases that found none go out on it.
func (c *Core) markUsed(l *callerConn) {
	l.lastActive = c.now
	if !l.hadSetUp {
		l.hadSetUp = true
		c.flushReleases()
	}
}

// takes says whether releases of any call can go out on a connection. One that has asked for nothing yet may be a
// front's test, where they are lost.
func (c *Core) acceptsReleases(l *callerConn) bool {
	return l.hadSetUp || !c.limits.Transient[l.protocol]
}

// release sends a caller the end of a call that stood, on its connection or another of its front, best one
// that has had calls and is in use; if there is none, on the next.
func (c *Core) sendRelease(front Protocol, to ConnID, id ID, why Reason) {
	if c.callers[to] == nil {
		var best *callerConn
		for _, l := range c.callerOrder {
			if l.protocol == front && c.acceptsReleases(l) && (best == nil || l.hadEstablished && !best.hadEstablished || l.hadEstablished == best.hadEstablished && l.lastActive >= best.lastActive) {
				best = l
			}
		}
		if best == nil && c.handingOver && c.limits.Transient[front] {
			c.emit(ToSuccessor{Protocol: front, Effect: Released{ID: id, Reason: why}})
			return
		}
		if best == nil {
			c.pendingReleases = append(c.pendingReleases, &pendingRelease{front, id, why, c.now})
			return
		}
		to = best.id
	}
	c.emit(Released{To: to, ID: id, Reason: why})
}

// flush sends the releases that found no connection.
func (c *Core) flushReleases() {
	waiting := c.pendingReleases
	c.pendingReleases = nil
	for _, p := range waiting {
		if p.at > c.now-c.limits.EndedCallTTL {
			c.sendRelease(p.protocol, 0, p.id, p.reason)
		} else {
			c.emit(ForgetCall{Protocol: p.protocol, ID: p.id})
		}
	}
}

// callerEnd is a set-up given up, or the release of a call that stands, perhaps from before a restart.
func (c *Core) callerEnd(ev CallerEnd) {
	k := c.calls[ev.ID]
	if l := c.callers[ev.From]; l != nil {
		c.markUsed(l)
	}
	switch {
	case k == nil:
		_, known := c.ended[ev.ID]
		switch {
		case known, ev.SetUpDiscarded:
		case c.hasPredecessor:
			delete(c.predecessorCalls, ev.ID)
			delete(c.predecessorSetUps, ev.ID)
			c.rememberEnded(ev.ID) // what the older process says of it may cross this
			c.emit(ToPredecessor{Event: ev})
		default:
			for _, s := range c.serverOrder {
				c.sendEnd(s, ev.ID)
			}
		}
	case k.server != nil:
		k.callerGone = true
		c.releaseAtServer(k.server, k.ID)
		c.endEstablished(k, Normal, elmseam.Outcome{Cause: elmseam.CauseCancelled})
	case ev.From == k.From || k.orphaned:
		c.abandonSetUp(k)
	} // else somebody who guessed the id of a set-up that is open on another connection
}

// callerGone ends a set-up that nobody waits for any more. No answer is owed.
func (c *Core) abandonSetUp(k *call) {
	if k.callerGone {
		return
	}
	k.callerGone = true
	if k.answered {
		return
	}
	if k.orphaned {
		c.emit(ForgetCall{Protocol: k.protocol, ID: k.ID})
	}
	c.notifyController(elmseam.CallerGone{Call: k.controllerID})
	c.endCallerSide(k)
}

// callerUp takes in a connection of a caller.
func (c *Core) callerUp(ev CallerUp) {
	l := &callerConn{id: ev.Conn, protocol: ev.Protocol, lastActive: c.now}
	c.callers[ev.Conn] = l
	c.callerOrder = append(c.callerOrder, l)
	c.adoptTransferred(l, ev)
	c.pruneCallers()
	if c.acceptsReleases(l) {
		c.flushReleases()
	}
	if c.handingOver {
		c.stopReading(l)
	}
}

// busy are the connections on which a set-up is open, here or with a predecessor.
func (c *Core) busyConns() map[ConnID]bool {
	busy := make(map[ConnID]bool)
	for _, k := range c.calls {
		if !k.answered && !k.callerGone && !k.orphaned {
			busy[k.From] = true
		}
	}
	for _, l := range c.predecessorSetUps {
		busy[l] = true
	}
	return busy
}

// settle closes the connections that have to go and have no set-up open: those from which nothing can be read and, where
// there are too many, those that can be missed first. Where each has one open there are too many for a while.
func (c *Core) pruneCallers() {
	most := c.limits.MaxCallerConns
	if c.sharesCallerLimit { // descriptors are shared
		most /= 2
	}
	if len(c.callerOrder) <= most && !slices.ContainsFunc(c.callerOrder, func(l *callerConn) bool { return l.malformed }) {
		return
	}
	busy := c.busyConns()
	for _, l := range slices.Clone(c.callerOrder) {
		if l.malformed && !busy[l.id] {
			c.closeCaller(l)
		}
	}
	for len(c.callerOrder) > most {
		victim := c.evictionCandidate(busy)
		if victim == nil {
			if !c.pruneTimerSet && c.limits.NewConnGrace > 0 {
				c.pruneTimerSet = true
				c.setTimer(c.now+c.limits.NewConnGrace, Token{kind: tokenPruneCallers})
			}
			return
		}
		c.closeCaller(victim)
	}
}

// closeGracefully ends a connection that can be missed: what was written last can still be read.
func (c *Core) closeCaller(l *callerConn) {
	c.forgetCaller(l.id)
	c.emit(GracefulClose{To: l.id})
}

// spare is the connection that can be missed first: one that has never asked for anything, the oldest of them,
// or else the one that has been idle longest. One that has just come can't: what it asks is on its way.
func (c *Core) evictionCandidate(busy map[ConnID]bool) (victim *callerConn) {
	for _, l := range c.callerOrder[:max(len(c.callerOrder)-1, 0)] {
		switch {
		case busy[l.id], l.transferred, !l.hadSetUp && c.now < l.lastActive+c.limits.NewConnGrace:
		case victim == nil, victim.hadSetUp && !l.hadSetUp, victim.hadSetUp == l.hadSetUp && l.lastActive < victim.lastActive:
			victim = l
		}
	}
	return victim
}

// forgetCaller takes a connection off the list.
func (c *Core) forgetCaller(l ConnID) {
	delete(c.callers, l)
	c.callerOrder = slices.DeleteFunc(c.callerOrder, func(have *callerConn) bool { return have.id == l })
}

// callerDown ends a caller's connection. Its set-ups may come again on another one shortly.
func (c *Core) callerDown(l ConnID) {
	c.forgetCaller(l)
	c.forgetPredecessorCalls(l)
	for _, k := range inArrivalOrder(c.calls) {
		if k.From == l && k.server == nil && !k.answered {
			k.orphaned = true
			c.setTimer(c.now+c.limits.Rebind, Token{kind: tokenRebind, call: k.ID, controllerID: k.controllerID})
		}
	}
}

// due takes in a timer. None is ever unset, so each looks whether it still means something.
func (c *Core) timerFired(t Token) {
	k := c.calls[t.call]
	if t.controllerID != 0 && (k == nil || k.controllerID != t.controllerID) { // of a call that is over
		return
	}
	switch t.kind {
	case tokenController:
		c.notifyController(elmseam.TimerFired{Token: t.number})
	case tokenDeadline:
		if !k.answered {
			c.deadlineReached(k)
		}
	case tokenRebind:
		if k.orphaned {
			c.abandonSetUp(k)
		}
	case tokenAttemptTimeout:
		if k.attempt != nil && uint32(k.attempt.number) == t.number {
			c.giveUpAttempt(k, elmseam.CauseTimeout)
		}
	case tokenReleaseGuard:
		if k.attempt != nil && uint32(k.attempt.number) == t.number && k.attempt.phase == attemptWaiting {
			c.retryAttempt(k)
		}
	case tokenRedial:
		if s := c.servers[t.server]; s != nil {
			s.redialPending = false
			if s.usableConns() < c.wantedConns(s) {
				c.dialAhead(s)
			}
		}
	case tokenServerLost:
		if s := c.servers[t.server]; s != nil && s.unreachableSince != 0 && c.now >= s.unreachableSince+c.limits.ServerLostAfter {
			c.resetEstablished(s)
		}
	case tokenDrainCheck:
		c.closeIdleCallers(t.number)
	case tokenStopGrace:
		c.stopGraceOver = true
	case tokenMaxStopWait:
		if c.stopGraceOver && !c.closing {
			c.failOpenSetUps()
			c.beginClosing()
		}
	case tokenPruneCallers:
		c.pruneTimerSet = false
		c.pruneCallers()
	case tokenStopLinger:
		c.finishStop()
	case tokenProbeTimeout:
		c.probeExpired(t)
	case tokenMembership:
		c.stepMembership(membership.TimerFired{Token: t.membership})
	case tokenKnowledge:
		c.reportObservations()
		c.stepKnowledge(knowledge.TimerFired{Token: t.knowledge})
	case tokenDrainReport:
		c.expireDrainReport(t.server)
	case tokenBudget:
		c.stepBudget(budget.Demand{Quotas: c.coldDemand()})
		c.reportColdServers()
		c.stepBudget(budget.TimerFired{Token: t.budget})
		c.applyColdRates()
	case tokenMaintenance:
		c.stepMaintenance(maintenance.TimerFired{Token: t.maintenance})
	}
}

// retry looks again at an attempt that waited, before its first byte.
func (c *Core) retryAttempt(k *call) {
	if k.callerGone || k.answered || c.now >= k.deadline || k.attempt.server.effectivePhase != elmseam.Ready {
		c.endAttempt(k, elmseam.Outcome{Cause: elmseam.CauseNotSent})
		return
	}
	c.offer(k)
}

// deadline gives a call its final answer while its caller still waits. What is out ends first.
func (c *Core) deadlineReached(k *call) {
	if !c.guardEnabled(GuardDeadline) {
		return
	}
	if a := k.attempt; a != nil {
		if a.phase == attemptSent {
			c.emit(End{To: a.conn.id, ID: k.ID})
		}
		cause := elmseam.CauseTimeout
		if a.phase == attemptWaiting {
			cause = elmseam.CauseNotSent
		}
		c.endAttempt(k, elmseam.Outcome{Cause: cause})
	}
	if !k.answered { // the module holds it still
		c.notifyController(elmseam.CallerGone{Call: k.controllerID})
		c.reject(k, Rejected{Reason: Failed})
	}
}
