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

// Time is an instant on the clock that Step is given.
type Time = elmseam.Time

// ID identifies a call towards callers and servers. A call has the same ID on every attempt.
type ID uint64

// ConnID identifies one connection, of a caller or to a server. 0 means no connection.
type ConnID uint64

// Protocol names a signalling protocol.
type Protocol string

// Reason says why a set-up or a call ended, independently of the signalling protocol.
type Reason uint8

// Reasons for the end of a set-up or a call.
const (
	ReasonNormal      Reason = iota // released or given up by one of the parties
	ReasonFull                      // refused by the server before the set-up ran
	ReasonBusy                      // the number called is busy, or it or its signalling is at fault
	ReasonReset                     // the call or its attempt was lost, for example with a connection or a server process
	ReasonUnsent                    // the set-up was never sent
	ReasonCongested                 // refused by the softswitch; the caller may safely try again
	ReasonFailed                    // given up by the softswitch
	ReasonUnsupported               // the set-up is invalid
)

// Server is one entry of the server list.
type Server struct {
	Name     string
	Address  string
	Protocol Protocol
	Cell     int           // the server's cell number, which a call names as its first choice
	Phase    elmseam.Phase // state of the server
	Started  Time          // when the process of the server started; another value means another process
}

// Report is a server's load report. Each value names its metric, because the order of the metrics in the settings may change
// between the arrival of a report and its use.
type Report []LoadValue

// LoadValue is one value of a load report.
type LoadValue struct {
	Metric elmseam.LoadMetric
	Value  float64
}

// ConnEnd says what the server's side did when a connection to it ended or could not be made.
type ConnEnd uint8

// What the server's side did.
const (
	ConnEndSilent ConnEnd = iota // nothing, or it is not known: this side closed the connection, or gave up waiting for it
	ConnEndClosed                // it closed the connection in order
	ConnEndReset                 // it reset or refused the connection, as a kernel does for a process that is gone
)

// Event is an input of Step. The types below implement it, as do the event types declared in membership.go, maintenance.go,
// knowledge.go, budget.go and probe.go.
type Event interface{ event() }

type (
	// CallerUp reports a new connection of a caller. A connection that a predecessor transferred may have brought set-ups
	// already; the predecessor still has to answer those in Open.
	CallerUp struct {
		Conn        ConnID
		Protocol    Protocol
		Used        bool // a set-up or the end of a call came on the connection before its transfer
		Open        []ID // set-ups that the predecessor has not answered yet
		Established []ID // calls that are established on the predecessor
	}
	// CallerDown reports that the connection of a caller has ended.
	CallerDown struct{ Conn ConnID }
	// CallerTested reports that a connection of a caller has brought a test, as the callers' front end sends them.
	CallerTested struct{ Conn ConnID }
	// CallerIdle reports that nothing has come on the connection of a caller for long. If no set-up is open on the connection and no
	// call of it is established, a GracefulClose follows.
	CallerIdle struct{ Conn ConnID }
	// CallerMalformed reports that nothing more can be read from the connection of a caller, because its input is malformed or a
	// message stays incomplete. A GracefulClose follows once no set-up is open on the connection.
	CallerMalformed struct{ Conn ConnID }
	// SetUp is a caller's request for a call.
	SetUp struct {
		ID          ID
		From        ConnID
		Class       int           // index of the class in the settings; negative: unknown
		ClassName   string        // name of the class as the caller wrote it
		Tenant      string        // name of the tenant; empty: the caller named none
		Number      uint64        // number called
		NumberText  string        // number called as the caller wrote it
		Desc        []byte        // description from the caller, passed on to the server unchanged
		Cell        int           // cell of first choice, -1: none
		Interrupted bool          // the call was established, was cut and is set up again
		TimeLeft    time.Duration // time from At until the caller gives up
		At          Time          // when the last byte of the set-up arrived
	}
	// CallerEnd reports that a caller gives its set-up up or releases an established call.
	CallerEnd struct {
		ID             ID
		From           ConnID
		SetUpDiscarded bool // the set-up was discarded before it reached the core, as the end came together with it
	}
	// ServerUp reports that a connection to a server is made.
	ServerUp struct {
		Server  string
		Address string
		Conn    ConnID
	}
	// ServerDown reports that a connection to a server has ended or, with a Conn of 0, that none could be made to the address.
	ServerDown struct {
		Server    string
		Address   string
		Conn      ConnID
		SilentFor time.Duration // time since something came on the connection; only for protocols with heartbeats of their own
		End       ConnEnd
	}
	// ServerAnswer reports that a server has answered a set-up: the call is established.
	ServerAnswer struct {
		Server string
		Conn   ConnID
		ID     ID
		Desc   []byte // description from the server, passed on to the caller unchanged
		Report Report
	}
	// ServerEnd is a server's refusal of a set-up or its release of an established call.
	ServerEnd struct {
		Server      string
		Conn        ConnID
		ID          ID
		Reason      Reason
		Refusal     elmseam.Refusal
		RefusalOnly bool // the message can only refuse a set-up: it never releases an established call
		Report      Report
	}
	// ServerMalformed reports a message from a server that can't be decoded. An ID of 0 means that its call is unknown. What
	// follows on the connection may be malformed too.
	ServerMalformed struct {
		Server string
		Conn   ConnID
		ID     ID
	}
	// ServerReport is a load report that a server sent by itself.
	ServerReport struct {
		Server string
		Conn   ConnID
		Report Report
	}
	// ServerPaused reports that a server's own signalling takes no new work, or takes new work again.
	ServerPaused struct {
		Server string
		Paused bool
	}
	// Route reports that the route to some servers is withdrawn or announced again.
	Route struct {
		Name   string
		Covers func(address string) bool // whether the route leads to a server's address
		Up     bool
	}
	// EndWritten reports that the End of an attempt has been written. A Conn of 0 stands for the connection of the outstanding
	// attempt.
	EndWritten struct {
		Server string
		Conn   ConnID
		ID     ID
	}
	// NotSent reports that an offer was withdrawn before its first byte was written. A Conn of 0 stands for the connection of
	// the outstanding attempt.
	NotSent struct {
		Server string
		Conn   ConnID
		ID     ID
	}
	// ServerList names servers, with their states, from one source. Full means that the list replaces all that was known from this
	// source, Cached that the list was stored before a restart.
	ServerList struct {
		Source       string
		Full, Cached bool
		Servers      []Server
	}
	// Configured reports new settings and limits. The classes of the settings before keep their indexes.
	Configured struct {
		Settings elmseam.Settings
		Limits   Limits
	}
	// Misconfigured reports that a new configuration is invalid. The one in use stays in force.
	Misconfigured struct{}
	// Drain begins or ends a drain: callers are sent away while the process goes on.
	Drain struct{ On bool }
	// OfferWritten reports that the last byte of an offer has been written.
	OfferWritten struct {
		Server string
		ID     ID
	}
	// HandOver begins to transfer the connections of callers to a successor that serves. The process ends when nothing is
	// pending any more, or after MaxStopWait. A HandOver has no effect once the process has begun to close its connections.
	HandOver struct{}
	// ReadingStopped reports that the connection of a caller is no longer read, after a StopReading.
	ReadingStopped struct{ Conn ConnID }
	// Transferred reports that the successor has the connection of a caller.
	Transferred struct{ Conn ConnID }
	// TransferFailed reports that the connection of a caller could not be transferred and is read again here.
	TransferFailed struct{ Conn ConnID }
	// Predecessor reports whether there is another process that owns calls whose callers are connected here. Transferring means
	// that the predecessor has begun to transfer its connections of callers.
	Predecessor struct{ Present, Transferring bool }
	// Relayed is an effect of a predecessor for one of its callers. A Conn of 0 stands for any connection of the protocol.
	Relayed struct {
		Protocol Protocol
		Conn     ConnID
		Effect   Effect
	}
	// Successor reports whether a successor serves callers beside this process.
	Successor struct{ Serving bool }
	// AttemptedElsewhere names calls that the other process of a hand-over has sent to a server.
	AttemptedElsewhere struct{ IDs []ID }
	// EndedCalls names calls that have ended in another process.
	EndedCalls struct{ IDs []ID }
	// TimerFired reports that a timer fires.
	TimerFired struct{ Token Token }
	// Stop asks for an orderly end of the process.
	Stop struct{}
)

func (CallerUp) event()        {}
func (CallerDown) event()      {}
func (CallerTested) event()    {}
func (CallerIdle) event()      {}
func (CallerMalformed) event() {}
func (SetUp) event()           {}
func (CallerEnd) event()       {}
func (ServerUp) event()        {}
func (ServerDown) event()      {}
func (ServerAnswer) event()    {}
func (ServerEnd) event()       {}
func (ServerReport) event()    {}
func (ServerMalformed) event() {}
func (ServerPaused) event()    {}
func (Route) event()           {}
func (EndWritten) event()      {}
func (NotSent) event()         {}
func (ServerList) event()      {}
func (Configured) event()      {}
func (Misconfigured) event()   {}
func (Drain) event()           {}
func (OfferWritten) event()    {}
func (HandOver) event()        {}
func (ReadingStopped) event()  {}
func (Transferred) event()     {}
func (TransferFailed) event()  {}
func (Predecessor) event()     {}
func (Relayed) event()         {}
func (EndedCalls) event()      {}
func (Successor) event()       {}

func (AttemptedElsewhere) event() {}
func (TimerFired) event()         {}
func (Stop) event()               {}

// Effect is an output of Step, which the loop has to carry out. The types below implement it, as do the effect types declared in
// membership.go, maintenance.go and probe.go.
type Effect interface{ effect() }

type (
	// Answered tells a caller that its call is established.
	Answered struct {
		To   ConnID
		ID   ID
		Desc []byte
	}
	// Rejected tells a caller that its set-up has failed or is refused.
	Rejected struct {
		To         ConnID
		ID         ID
		Reason     Reason
		RetryAfter time.Duration // wait recommended to the caller before another set-up; 0: no recommendation
	}
	// Released tells a caller that its established call has ended.
	Released struct {
		To     ConnID
		ID     ID
		Reason Reason
	}
	// Offer starts an attempt. An offer is not written after Until.
	Offer struct {
		To         ConnID
		ID         ID
		ClassName  string // name of the class
		NumberText string
		Desc       []byte
		Cell       int
		Until      Time // latest time of the final answer, AnswerMargin before the caller gives up
	}
	// End gives an attempt up or releases a call.
	End struct {
		To     ConnID
		ID     ID
		Notify bool // an EndWritten or a NotSent has to follow

		Unknown bool // this process does not know the call: the End may be dropped where too much is queued
	}
	// Withdraw takes back the offers on a connection to a server of which no byte has been written.
	Withdraw struct{ To ConnID }
	// Dial asks for a connection to a server. A ServerUp or a ServerDown follows.
	Dial struct {
		Server   string
		Address  string
		Protocol Protocol
	}
	// CloseConn closes a connection to a server at once.
	CloseConn struct{ To ConnID }
	// GracefulClose closes a connection with no open set-up such that what was written last can still be read.
	GracefulClose struct{ To ConnID }
	// StopReading has the connection of a caller read no further. A ReadingStopped follows.
	StopReading struct{ To ConnID }
	// Transfer passes the connection of a caller to the successor, with its calls. Effects for the connection go there from then
	// on.
	Transfer struct {
		To          ConnID
		Open        []ID // set-ups that this process still has to answer
		Established []ID // calls that are established on this process
		Used        bool // a set-up or the end of a call has come on the connection
	}
	// ToPredecessor passes an event to the predecessor.
	ToPredecessor struct{ Event Event }
	// ToSuccessor passes an effect for a caller to the successor.
	ToSuccessor struct {
		Protocol Protocol
		Effect   Effect
	}
	// Attempted names calls that this process has sent to a server, for the other process of a hand-over.
	Attempted struct{ IDs []ID }
	// ReadyToServe says, once, that this process can serve.
	ReadyToServe struct{}
	// Timer asks for a TimerFired with the token at the time.
	Timer struct {
		At    Time
		Token Token
	}
	// Serving says whether new calls are welcome at this softswitch.
	Serving struct{ On bool }
	// ForgetCall says that a caller's call has ended, or never began, and that the caller gets no message about it.
	ForgetCall struct {
		Protocol Protocol // empty: unknown
		ID       ID
	}
	// CloseListener closes the listener for callers: new connections are refused from then on.
	CloseListener struct{}
	// Stopped says that the process can end: after a Stop or a HandOver nothing is pending any more, or MaxStopWait has passed.
	Stopped struct{}
	// Violation reports that a guard prevented the violation of a rule, or that a configuration of a part of the core is invalid.
	Violation struct {
		ID   ID // call concerned; 0: none
		Rule string
	}
)

func (Answered) effect()      {}
func (Rejected) effect()      {}
func (Released) effect()      {}
func (Offer) effect()         {}
func (End) effect()           {}
func (Withdraw) effect()      {}
func (Dial) effect()          {}
func (CloseConn) effect()     {}
func (GracefulClose) effect() {}
func (StopReading) effect()   {}
func (Transfer) effect()      {}
func (ToPredecessor) effect() {}
func (ToSuccessor) effect()   {}
func (ReadyToServe) effect()  {}
func (Attempted) effect()     {}
func (Timer) effect()         {}
func (Serving) effect()       {}
func (ForgetCall) effect()    {}
func (CloseListener) effect() {}
func (Stopped) effect()       {}
func (Violation) effect()     {}

// Token says what a timer is for. The fields that are set depend on the kind.
type Token struct {
	kind         tokenKind
	call         ID
	controllerID elmseam.CallID // the controller's id of that call, as an ID may be used again
	number       uint32         // token of the controller's timer, number of the attempt, or count of drain changes
	server       string         // name of the server concerned
	membership   membership.Token
	maintenance  maintenance.Token
	budget       budget.Token
	knowledge    knowledge.Token
	probe        probe.ID
	conn         ConnID
}

// tokenKind is the purpose of a timer.
type tokenKind uint8

// The purposes of timers, each with what has happened when the timer fires.
const (
	tokenController       tokenKind = iota // a timer of the controller
	tokenDeadline                          // the final answer of a call is due
	tokenRebind                            // the caller has not sent a set-up again within RebindTimeout after its connection ended
	tokenAttemptTimeout                    // an attempt has had no answer
	tokenReleaseGuard                      // the release guard of a waiting attempt has ended
	tokenRedial                            // a server may be dialled again
	tokenServerLost                        // calls that an outage of a server has put in doubt count as lost
	tokenReleaseRepeat                     // a process that hung has gone on, and may have to repeat releases
	tokenLiveness                          // a server with established calls may have been silent for LivenessCheckAfter
	tokenStopGrace                         // the grace of a stop or a hand-over has ended
	tokenDrainCheck                        // idle connections are closed during a drain
	tokenMaxStopWait                       // a stop or a hand-over waits no longer for calls to end
	tokenPruneCallerConns                  // pruneCallerConns runs again, as connections may have become older than NewConnGrace
	tokenFlushReleases                     // releases to callers that wait may go out
	tokenStopLinger                        // set-ups have been refused for StopLinger since the process began to close
	tokenMembership                        // a timer of the membership reducer
	tokenMaintenance                       // a timer of the maintenance reducer
	tokenBudget                            // a timer of the budget reducer
	tokenKnowledge                         // a timer of the knowledge reducer
	tokenProbeTimeout                      // a probe has had no answer
	tokenDrainReport                       // a drain reported by members expires
)

// Limits are the times and sizes that the core keeps to.
type Limits struct {
	AnswerMargin        time.Duration     // the final answer is given at the latest this long before the caller's time limit
	RebindTimeout       time.Duration     // a set-up whose connection has ended is given up if the caller does not send it again within this time
	InitialRedialDelay  time.Duration     // wait after a first failed attempt to reach a server; doubled by each further one
	MaxRedialDelay      time.Duration     // longest wait after a failed attempt to reach a server
	ConnsPerServer      map[Protocol]int  // max connections to one server, by its protocol; 1 where the protocol is missing
	MaxConnsPerServer   int               // max connections to one server, with those that verify that it can be reached
	MaxServerConns      int               // max connections to all servers together; 0: no limit
	UnresponsiveAfter   time.Duration     // a connection without input for this long after a set-up or a probe is avoided for new set-ups
	MaxPendingReleases  int               // max releases per server that wait for a connection; the oldest are dropped
	MaxCallerReleases   int               // max releases to callers that wait for a connection; the oldest are dropped
	MaxRemovedServers   int               // max removed servers that are remembered in case they come back
	ServerLostAfter     time.Duration     // time from the last sign of life of a server that can't be reached until its calls count as lost
	MinServerOutage     time.Duration     // an outage shorter than this does not put the established calls in doubt
	LivenessCheckAfter  time.Duration     // time without a sign of life after which a server with established calls is dialled; 0: never
	LivenessRecheck     time.Duration     // time between two such dials, at least
	DrainGrace          time.Duration     // time from the beginning of a drain until idle connections of callers are closed
	DrainRefuseAfter    time.Duration     // time from the beginning of a drain until set-ups are refused
	DrainCheckInterval  time.Duration     // interval between searches for idle connections during a drain
	DrainIdle           time.Duration     // a connection active less than this long ago is not idle: it may bring another set-up
	Transient           map[Protocol]bool // whether a protocol's callers connect and disconnect freely, and are sent away by closing their connections; all that keep calls over a restart
	MaxTransferredCalls int               // max calls named when a connection is transferred; open set-ups are named even beyond it
	HandOverGrace       time.Duration     // time after a HandOver in which connections may still arrive
	StopGrace           time.Duration     // time after a Stop in which new calls are still accepted
	MaxStopWait         time.Duration     // longest wait after a Stop or a HandOver for calls to end
	StopLinger          time.Duration     // time between the last call and the closing of connections, in which late set-ups are refused
	CallerConnsTarget   int               // connections of callers above which some are closed; exceeded while none of them may be closed
	CallerQuietAfter    time.Duration     // an unused transient connection that brings no test for this long is a caller's, not a health check; 0: it never counts as one
	NewConnGrace        time.Duration     // age at which an unused connection may be closed; before that its first set-up may be on its way
	MaxOpen             int               // max set-ups without a final answer at a time
	MaxCallBytes        int               // max memory of all calls, in bytes; set-ups beyond it are refused
	CallOverhead        int               // memory that a call takes besides its descriptions and its number, in bytes
	RetryAfterHint      time.Duration     // RetryAfter of refusals that the core gives without asking the controller
	EndedCallTTL        time.Duration     // how long the id of an ended call is remembered
	MaxEndedCalls       int               // max ids of ended calls that are remembered; 0: no limit

	MaxAttemptedElsewhere int           // max ids of calls of the other process of a hand-over that are remembered
	ReportedDrainTTL      time.Duration // how long a server counts as draining because members reported so
	Probe                 probe.Limits  // limits of probes of silent connections
	MaxRoutes             int           // once so many withdrawn routes are remembered, one that concerns no server of the list is not
}
