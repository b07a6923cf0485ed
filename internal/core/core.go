// Package core is the softswitch without its sockets: a reducer that processes one event at a time and returns the effects
// to carry out. It owns the calls, the attempts, the list of servers and the controller, which is the decision module of
// package elmseam. Guards of its own enforce the rules of signalling whatever the controller decides.
//
// Package core does no I/O, reads no clock and knows no signalling protocol. A Core is not safe for concurrent use.
package core

import (
	"time"

	"elmseam"
	"elmseam/internal/budget"
	"elmseam/internal/knowledge"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
	"elmseam/internal/probe"
)

// Core is the reducer of one softswitch.
type Core struct {
	limits                Limits
	releaseGuard          time.Duration        // wait before a call whose attempt timed out, was reset or was cancelled is sent again
	maxAttempts           int                  // attempts that the core permits a call; 0: any number
	reportMetrics         []elmseam.LoadMetric // values of a load report, in the order that the controller reads
	tenants               []elmseam.Tenant     // tenants of the settings; the controller knows them by their index
	prober                *probe.Prober        // decides on probes of silent connections
	controller            *elmseam.Controller  // decides on servers, retries and refusals
	now                   Time                 // time of the current Step
	effects               []Effect             // effects of the current Step
	calls                 map[ID]*call
	callsByControllerID   map[elmseam.CallID]*call
	openSetUps            int            // set-ups without a final answer
	callBytes             int            // memory of all calls, in bytes
	keptAnswers           []keptAnswer   // answers that may have to be repeated, oldest first
	lastControllerID      elmseam.CallID // id last given to a call
	servers               map[string]*server
	serversByID           map[elmseam.ServerID]*server
	serverOrder           []*server        // in the order in which they came into the list
	lastServerID          elmseam.ServerID // id last given to a server
	removedServers        []removedServer  // servers that have left the list, oldest first
	withdrawnRoutes       map[string]Route // by the name of the route
	callerConns           map[ConnID]*callerConn
	callerConnOrder       []*callerConn     // oldest first
	pruneTimerSet         bool              // a timer is set for the next pruneCallerConns
	pendingReleases       []*pendingRelease // releases to callers that wait for a connection, oldest first
	flushTimerSet         bool              // a timer is set for the next flushReleases
	unknownCallerReleases []endedCall       // calls released by callers that this process does not know, oldest first
	cutCalls              []cutCall         // calls cut because their servers have gone, oldest first
	endedCalls            map[ID]Time       // ids of calls that ended recently, with the time when each id was last recorded
	endedCallOrder        []endedCall       // the same ids, oldest first
	stopping              bool              // a Stop or a HandOver has begun
	stopGraceOver         bool              // the grace period of a Stop or HandOver, in which new callers may still connect, has ended
	closing               bool              // the process is about to end: set-ups are refused until the connections are closed
	stopped               bool              // the Stopped effect has been given
	serving               bool              // new calls are welcome, as the last Serving effect said
	draining              bool              // callers are sent away while the process goes on, on request of an operator or for maintenance
	drainChangedAt        Time              // when the drain began or ended
	drainChanges          uint32            // how often a drain began or ended
	stats                 Stats
	hook                  Hook                 // empty outside tests
	handingOver           bool                 // the connections of callers are being transferred to a successor
	hasPredecessor        bool                 // a predecessor owns calls whose callers are connected here
	sharesCallerLimit     bool                 // the predecessor has not begun to transfer: both processes hold connections of callers
	predecessorSetUps     map[ID]ConnID        // set-ups that the predecessor still has to answer, with the connection of the caller
	forwardedReleases     []forwardedRelease   // releases that the predecessor may not have handled, oldest first
	predecessorCalls      map[ID]ConnID        // calls established on the predecessor, with the connection of the caller
	hasSuccessor          bool                 // a successor serves callers beside this process
	attemptedElsewhere    idSet                // calls that the other process of a hand-over has sent to a server
	ready                 bool                 // the ReadyToServe effect has been given
	membership            *membership.Reducer  // nil: no membership, the other members of the tier are unknown
	selfIndex             int                  // index of this softswitch in the tier
	maintenance           *maintenance.Reducer // nil: no ordered maintenance
	drainReasons          drainReasons         // who has requested that this softswitch drains
	startedAt             Time                 // time of the first event
	takeoverFactors       map[int]float64      // by member that is not available: factor by which its absence raised the rates
	knowledge             *knowledge.Reducer   // nil: observations of the servers are not shared with the tier
	budget                *budget.Reducer      // nil: the quotas of cold servers' budgets are fixed
}

// New makes a core and its controller for the settings. The seed determines the random choices of the controller.
func New(settings elmseam.Settings, seed uint64, limits Limits) (*Core, error) {
	controller, err := elmseam.New(settings, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		limits:              limits,
		releaseGuard:        settings.ReleaseGuard,
		maxAttempts:         settings.MaxAttempts,
		reportMetrics:       settings.ReportMetrics,
		tenants:             settings.Tenants,
		prober:              probe.New(limits.Probe),
		controller:          controller,
		calls:               make(map[ID]*call),
		callsByControllerID: make(map[elmseam.CallID]*call),
		servers:             make(map[string]*server),
		serversByID:         make(map[elmseam.ServerID]*server),
		withdrawnRoutes:     make(map[string]Route),
		callerConns:         make(map[ConnID]*callerConn),
		endedCalls:          make(map[ID]Time),
		predecessorSetUps:   make(map[ID]ConnID),
		predecessorCalls:    make(map[ID]ConnID),
	}
	c.stats.growClassStats(len(settings.Classes))
	return c, nil
}

// Step processes one event and returns the effects, which have to be carried out in their order and are valid until the next
// Step. A time before that of the last Step counts as the time of the last Step.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.now, c.effects = max(now, c.now), c.effects[:0]
	c.applyColdRates()
	if c.startedAt == 0 {
		c.startedAt = c.now
	}
	switch ev := ev.(type) {
	case CallerUp:
		c.handleCallerUp(ev)
	case CallerDown:
		c.handleCallerDown(ev.Conn)
	case CallerTested:
		c.handleCallerTested(ev)
	case CallerIdle:
		if conn := c.callerConns[ev.Conn]; conn != nil && !c.connsWithCalls()[ev.Conn] {
			c.closeCallerConn(conn)
		}
	case CallerMalformed:
		if conn := c.callerConns[ev.Conn]; conn != nil {
			conn.malformed = true
			c.pruneCallerConns()
		}
	case SetUp:
		c.handleSetUp(ev)
	case CallerEnd:
		c.handleCallerEnd(ev)
	case ServerUp:
		c.handleServerUp(ev)
	case ServerDown:
		c.handleServerDown(ev)
	case ServerAnswer:
		c.handleServerAnswer(ev)
	case ServerEnd:
		c.handleServerEnd(ev)
	case ServerReport:
		if s := c.servers[ev.Server]; s != nil {
			c.recordServerInput(s, ev.Conn)
			c.forwardLoadReport(s, ev.Report)
		}
	case ServerMalformed:
		c.handleServerMalformed(ev)
	case ServerSilent:
		c.handleServerSilent(ev)
	case ServerProbeAnswer:
		c.handleProbeAnswer(ev)
	case ServerPaused:
		if s := c.servers[ev.Server]; s != nil {
			s.signallingPaused = ev.Paused
			c.updatePhases([]*server{s}, false, false)
		}
	case Route:
		c.handleRoute(ev)
	case EndWritten:
		c.handleEndWritten(ev)
	case NotSent:
		c.handleNotSent(ev)
	case ServerList:
		c.handleServerList(ev)
	case Configured:
		if err := c.controller.Configure(ev.Settings); err != nil {
			c.emit(Violation{Rule: err.Error()})
			c.stats.ConfigsInvalid++
			break
		}
		c.stats.ConfigsLoaded++
		c.stats.growClassStats(len(ev.Settings.Classes))
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
		c.handleMemberDatagram(ev)
	case HandOver:
		c.beginHandOver()
	case ReadingStopped:
		c.transferCallerConn(ev.Conn)
	case Transferred:
		if conn := c.callerConns[ev.Conn]; conn != nil {
			conn.transferUnconfirmed = false
		}
	case TransferFailed:
		if conn := c.callerConns[ev.Conn]; conn != nil {
			conn.transferred, conn.transferUnconfirmed, conn.transferFailed = false, false, true
		}
	case Predecessor:
		c.handlePredecessor(ev)
	case Successor:
		c.handleSuccessor(ev)
	case AttemptedElsewhere:
		c.handleAttemptedElsewhere(ev)
	case Relayed:
		c.relayFromPredecessor(ev)
	case EndedCalls:
		c.handleEndedCalls(ev)
	case OfferWritten:
		c.stats.Sends++
	case TimerFired:
		c.handleTimer(ev.Token)
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
	return c.effects
}

// emit adds an effect to those of this Step.
func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// setTimer asks for a TimerFired with the token. A timer is never cancelled: handleTimer checks whether it still applies, and
// TimerObsolete says so before it fires.
func (c *Core) setTimer(at Time, token Token) { c.emit(Timer{At: at, Token: token}) }

// TimerObsolete says whether a timer of a call can have no effect any more, however long it has to run: the call has ended, has its
// answer, or has gone on to another attempt. Whoever keeps the timers may drop such a timer. The controller's ids of calls are never
// used twice.
func (c *Core) TimerObsolete(token Token) bool {
	if token.kind == tokenController {
		return !c.controller.HasCall(elmseam.CallID(token.number))
	}
	if token.controllerID == 0 {
		return false
	}
	call := c.calls[token.call]
	if call == nil || call.controllerID != token.controllerID {
		return true
	}
	switch token.kind {
	case tokenDeadline, tokenRebind:
		return call.answered
	case tokenAttemptTimeout, tokenReleaseGuard:
		return call.attempt == nil || uint32(call.attempt.number) != token.number
	}
	return false
}

// notifyController hands the controller an event and carries out the actions that it decides on.
func (c *Core) notifyController(ev elmseam.Event) {
	if c.hook.SuppressEvent != nil && c.hook.SuppressEvent(ev) {
		return
	}
	actions := c.controller.Handle(c.now, ev, nil)
	if c.hook.Decide != nil {
		actions = c.hook.Decide(ev, actions)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case elmseam.Send:
			if call := c.callsByControllerID[action.Call]; call != nil {
				c.startAttempt(call, action)
			}
		case elmseam.Refuse:
			if call := c.callsByControllerID[action.Call]; call != nil {
				c.reject(call, Rejected{Reason: ReasonCongested, RetryAfter: action.RetryAfter})
			}
		case elmseam.Fail:
			if call := c.callsByControllerID[action.Call]; call != nil {
				c.reject(call, Rejected{Reason: ReasonFailed})
			}
		case elmseam.Cancel:
			if call := c.callsByControllerID[action.Call]; call != nil && call.attempt != nil && call.attempt.number == action.Attempt {
				c.giveUpAttempt(call, elmseam.CauseCancelled)
			}
		case elmseam.SetTimer:
			c.setTimer(action.At, Token{kind: tokenController, number: action.Token})
		}
	}
}

// handleTimer handles a timer that fires. As no timer is ever cancelled, each case checks whether its timer still applies.
func (c *Core) handleTimer(token Token) {
	call := c.calls[token.call]
	if token.controllerID != 0 && (call == nil || call.controllerID != token.controllerID) { // the call has ended
		return
	}
	switch token.kind {
	case tokenController:
		c.notifyController(elmseam.TimerFired{Token: token.number})
	case tokenDeadline:
		if !call.answered {
			c.deadlineReached(call)
		}
	case tokenRebind:
		if call.callerConnLost {
			c.abandonSetUp(call)
		}
	case tokenAttemptTimeout:
		if call.attempt != nil && uint32(call.attempt.number) == token.number {
			c.giveUpAttempt(call, elmseam.CauseTimeout)
		}
	case tokenReleaseGuard:
		if call.attempt != nil && uint32(call.attempt.number) == token.number && call.attempt.phase == attemptWaiting {
			c.retryAttempt(call)
		}
	case tokenRedial:
		if s := c.servers[token.server]; s != nil {
			s.redialPending = false
			if s.usableConnCount() < c.wantedConnCount(s) {
				c.dialServerAhead(s)
			}
		}
	case tokenServerLost:
		if s := c.servers[token.server]; s != nil {
			c.loseDoubtfulCalls(s)
		}
	case tokenReleaseRepeat:
		if s := c.servers[token.server]; s != nil {
			c.requestReleases(s)
		}
	case tokenLiveness:
		if s := c.servers[token.server]; s != nil {
			c.checkLiveness(s)
		}
	case tokenDrainCheck:
		c.closeIdleCallerConns(token.number)
	case tokenStopGrace:
		c.stopGraceOver = true
	case tokenMaxStopWait:
		if c.stopGraceOver = true; !c.closing {
			c.failOpenSetUps()
			c.beginClosing()
		}
	case tokenPruneCallerConns:
		c.pruneTimerSet = false
		c.pruneCallerConns()
	case tokenFlushReleases:
		c.flushTimerSet = false
		c.flushReleases()
	case tokenStopLinger:
		c.finishStop()
	case tokenProbeTimeout:
		c.handleProbeTimeout(token)
	case tokenMembership:
		c.stepMembership(membership.TimerFired{Token: token.membership})
	case tokenKnowledge:
		c.reportObservations()
		c.stepKnowledge(knowledge.TimerFired{Token: token.knowledge})
	case tokenDrainReport:
		c.expireDrainReport(token.server)
	case tokenBudget:
		c.stepBudget(budget.Demand{Quotas: c.coldDemand()})
		c.reportColdServers()
		c.stepBudget(budget.TimerFired{Token: token.budget})
		c.applyColdRates()
	case tokenMaintenance:
		c.stepMaintenance(maintenance.TimerFired{Token: token.maintenance})
	}
}
