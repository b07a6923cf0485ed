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

// ID names a call towards callers and servers. A call keeps it on every attempt.
type ID uint64

// ConnID names one connection, of a caller or to a server. 0 is none.
type ConnID uint64

// Protocol names a signalling protocol.
type Protocol string

// Reason says why a call or a set-up ended, in no protocol's terms.
type Reason uint8

// The reasons.
const (
	Normal      Reason = iota // ended or called off
	Full                      // turned away before it ran
	Busy                      // the number called, or its signalling, is at fault
	Reset                     // broken on its way, or cut
	Unsent                    // it never left
	Congested                 // refused here: trying again is harmless
	Failed                    // given up here
	Unsupported               // the set-up makes no sense
)

// Server is one server of the list.
type Server struct {
	Name     string
	Address  string
	Protocol Protocol
	Cell     int
	Phase    elmseam.Phase
	Started  Time
}

// Report is what a server tells of its load, each value by what it means: the order of the settings may change between
// its arrival and its use.
type Report []LoadValue

// LoadValue is one value of a report.
type LoadValue struct {
	Metric elmseam.LoadMetric
	Value  float64
}

// Event is something that has happened; see the types below.
type Event interface{ event() }

type (
	// CallerUp and CallerDown say that a caller's connection begins and ends. One that a predecessor has handed on
	// may have asked for calls already, and that one owes an answer to those open.
	CallerUp struct {
		Conn        ConnID
		Protocol    Protocol
		HadSetUp    bool
		Open        []ID
		Established []ID // calls that stand
	}
	CallerDown struct{ Conn ConnID }
	// CallerIdle says that nothing has come on a caller's connection for long, CallerMalformed that nothing more can be read
	// from it, as what came makes no sense or is never whole. Either ends with a GracefulClose, when no set-up is open on it.
	CallerIdle      struct{ Conn ConnID }
	CallerMalformed struct{ Conn ConnID }
	// SetUp is a call that a caller asks for.
	SetUp struct {
		ID          ID
		From        ConnID
		Class       int
		Name        string // of the class, as the caller wrote it
		Tenant      string // its name; empty: the caller named none
		Number      uint64
		NumberText  string // the number called as the caller wrote it
		Desc        []byte // the caller's description, passed on as it is
		Cell        int    // first choice, -1: none
		Interrupted bool   // it stood, was cut and comes again
		TimeLeft    time.Duration
		At          Time // when its last byte arrived
	}
	// CallerEnd is a caller giving its set-up up, or releasing a call that stands. Moot: its set-up was not taken in, as the
	// two came together.
	CallerEnd struct {
		ID             ID
		From           ConnID
		SetUpDiscarded bool
	}
	// ServerUp says that a connection to a server is made; ServerDown that one has ended, or with
	// a Link of 0 that none could be made to the address.
	ServerUp struct {
		Server  string
		Address string
		Conn    ConnID
	}
	ServerDown struct {
		Server  string
		Address string
		Conn    ConnID
	}
	// ServerAnswer says that the call stands.
	ServerAnswer struct {
		Server string
		Conn   ConnID
		ID     ID
		Desc   []byte
		Report Report
	}
	// ServerEnd is a server's refusal of a set-up or its release of a call that stands.
	ServerEnd struct {
		Server      string
		Conn        ConnID
		ID          ID
		Reason      Reason
		Refusal     elmseam.Refusal
		RefusalOnly bool // it can only be the answer to a set-up: it ends no call that stands
		Report      Report
	}
	// ServerMalformed is something of a server's that can't be read. An ID of 0: whose it was isn't known. What comes behind
	// it on this connection may be malformed too.
	ServerMalformed struct {
		Server string
		Conn   ConnID
		ID     ID
	}
	// ServerReport is a load report that came by itself.
	ServerReport struct {
		Server string
		Conn   ConnID
		Report Report
	}
	// ServerPaused says that a server's own signalling takes no new work, or does again.
	ServerPaused struct {
		Server string
		Paused bool
	}
	// Route says that the way to the servers whose addresses it covers has gone or come.
	Route struct {
		Name   string
		Covers func(address string) bool
		Up     bool
	}
	// EndWritten says that the end of an attempt has left, NotSent that an attempt was taken back
	// before its first byte. A Link of 0: whichever connection the attempt that is out went over.
	EndWritten struct {
		Server string
		Conn   ConnID
		ID     ID
	}
	NotSent struct {
		Server string
		Conn   ConnID
		ID     ID
	}
	// List is news of the servers; Full: it replaces all that was known from this source.
	List struct {
		Source       string
		Full, Cached bool
		Servers      []Server
	}
	// Configured says that settings and limits have changed. The classes of old keep their places.
	Configured struct {
		Settings elmseam.Settings
		Limits   Limits
	}
	// Misconfigured says that a configuration was turned down. What was told before holds on.
	Misconfigured struct{}
	// Drain begins or ends a drain: callers are sent away while the process goes on.
	Drain struct{ On bool }
	// OfferWritten says that an offer has been written whole.
	OfferWritten struct {
		Server string
		ID     ID
	}
	// HandOver hands the callers on to a successor that serves, and ends this process when nothing is owed.
	HandOver struct{}
	// ReadingStopped says that a connection is read no further, Passed that the successor has it, Kept that it could not be handed
	// on and is read again.
	ReadingStopped struct{ Conn ConnID }
	Transferred    struct{ Conn ConnID }
	TransferFailed struct{ Conn ConnID }
	// Predecessor says whether there is another process that owns calls of callers who come here.
	// Moving: it hands its callers on by now.
	Predecessor struct{ Present, Transferring bool }
	// Relayed is what a predecessor has to tell a caller. A Link of 0: any.
	Relayed struct {
		Protocol Protocol
		Conn     ConnID
		Effect   Effect
	}
	// EndedCalls names calls that have ended elsewhere.
	EndedCalls struct{ IDs []ID }
	// TimerFired is a timer that has come due.
	TimerFired struct{ Token Token }
	// Stop asks for an orderly end.
	Stop struct{}
)

func (CallerUp) event()        {}
func (CallerDown) event()      {}
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
func (List) event()            {}
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
func (TimerFired) event()      {}
func (Stop) event()            {}

// Effect is something the loop shall carry out; see the types below.
type Effect interface{ effect() }

type (
	// Answered, Rejected and Released are for a caller: the call stands, gets no answer, is over.
	Answered struct {
		To   ConnID
		ID   ID
		Desc []byte
	}
	Rejected struct {
		To         ConnID
		ID         ID
		Reason     Reason
		RetryAfter time.Duration
	}
	Released struct {
		To     ConnID
		ID     ID
		Reason Reason
	}
	// Offer starts an attempt. It is not written after Until.
	Offer struct {
		To         ConnID
		ID         ID
		Class      string // its name
		NumberText string
		Desc       []byte
		Cell       int
		Until      Time // when the caller gives up
	}
	// End gives an attempt up or releases a call; a Written or a NotSent follows if Tell is set.
	End struct {
		To     ConnID
		ID     ID
		Notify bool
	}
	// Withdraw takes back the offers that have not been begun.
	Withdraw struct{ To ConnID }
	// Dial asks for a connection to a server, Hangup for its end.
	Dial struct {
		Server   string
		Address  string
		Protocol Protocol
	}
	CloseConn struct{ To ConnID }
	// GracefulClose ends a connection with no set-up open on it, so that what was written last can be read.
	GracefulClose struct{ To ConnID }
	// StopReading has a caller's connection read no further; a Parked follows. Pass hands it to the successor, with the
	// set-ups open on it, and what is for it goes there from then on.
	StopReading struct{ To ConnID }
	Transfer    struct {
		To          ConnID
		Open        []ID
		Established []ID
		HadSetUp    bool
	}
	// ToPredecessor and ToSuccessor are for the other process.
	ToPredecessor struct{ Event Event }
	ToSuccessor   struct {
		Protocol Protocol
		Effect   Effect
	}
	// ReadyToServe says, once, that this process can serve.
	ReadyToServe struct{}
	// Timer asks for a Due.
	Timer struct {
		At    Time
		Token Token
	}
	// Serving says whether new calls are welcome.
	Serving struct{ On bool }
	// ForgetCall says that a caller's call is over, or never was, and that it will not be told.
	ForgetCall struct {
		Protocol Protocol // empty: not known
		ID       ID
	}
	// CloseListener says that the callers' listener is to be closed: what comes from now on is refused.
	CloseListener struct{}
	// Stopped says that nothing is owed any more after a Stop.
	Stopped struct{}
	// Violation says that a guard held back what a rule forbids.
	Violation struct {
		ID   ID
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
func (Timer) effect()         {}
func (Serving) effect()       {}
func (ForgetCall) effect()    {}
func (CloseListener) effect() {}
func (Stopped) effect()       {}
func (Violation) effect()     {}

// Token says what a timer is for.
type Token struct {
	kind         tokenKind
	call         ID
	controllerID elmseam.CallID // of that call: ids may come again
	number       uint32         // the controller's token, or the attempt
	server       string
	membership   membership.Token
	maintenance  maintenance.Token
	budget       budget.Token
	knowledge    knowledge.Token
	probe        probe.ID
	conn         ConnID
}

type tokenKind uint8

const (
	tokenController tokenKind = iota
	tokenDeadline
	tokenRebind         // a caller's connection ended with the set-up open
	tokenAttemptTimeout // of an attempt
	tokenReleaseGuard   // a send waits for the release gap
	tokenRedial
	tokenServerLost   // a server has been out of reach for long
	tokenStopGrace    // the grace of a stop is over
	tokenDrainCheck   // callers of a drained process are looked through
	tokenMaxStopWait  // and so is the longest time for what still stands
	tokenPruneCallers // there may be connections of callers that can be missed by now
	tokenStopLinger   // and callers have been refused for long enough
	tokenMembership
	tokenMaintenance
	tokenBudget
	tokenKnowledge
	tokenProbeTimeout
	tokenDrainReport // a server is held for draining by a peer's word no longer
)

// Limits are the times the core keeps.
type Limits struct {
	AnswerMargin        time.Duration // the final answer leaves this long before the caller's time is up
	Rebind              time.Duration // a set-up may come again on a new connection for so long
	MinRedial           time.Duration // between attempts to reach a server again
	MaxRedial           time.Duration
	ConnsPerServer      map[Protocol]int  // connections to a server, by its front; not named: one
	MaxServerConns      int               // to all servers together; 0: any
	UnresponsiveAfter   time.Duration     // a connection that has brought nothing so long after a set-up is doubtful
	MaxPendingReleases  int               // releases that wait for a connection to a server, the last ones
	MaxRemovedServers   int               // servers that have gone and are known again when they come back
	ServerLostAfter     time.Duration     // out of reach for so long, a server's standing calls are taken for cut
	DrainGrace          time.Duration     // and after a Drain, before connections are closed
	DrainRefuseAfter    time.Duration     // and before set-ups are refused on those that stay open
	DrainCheckInterval  time.Duration     // between looks for connections that can be closed
	DrainIdle           time.Duration     // one that has brought a set-up so short a time ago may bring the next
	Transient           map[Protocol]bool // fronts whose callers come and go by connections, and are sent away by closing them
	MaxTransferredCalls int               // calls that are named with a connection, open ones first
	HandOverGrace       time.Duration     // connections may still turn up for this long after a HandOver
	StopGrace           time.Duration     // callers may still come for this long after a Stop
	MaxStopWait         time.Duration     // and standing calls are waited for this long
	StopLinger          time.Duration     // what crosses the end is refused for this long before connections are closed
	MaxCallerConns      int               // connections of callers
	NewConnGrace        time.Duration     // one that has asked for nothing is not missed before this: its set-up is on its way
	MaxOpen             int               // set-ups open at once
	MaxCallBytes        int               // that calls in hand may keep
	RetryHint           time.Duration     // told with a refusal for want of room
	EndedCallTTL        time.Duration     // a call that is over is remembered for so long
	MaxEndedCalls       int               // and of so many; 0: of any
	ReportedDrainTTL    time.Duration     // a server is held for draining by a peer's word for so long
	Probe               probe.Limits      // of connections in doubt
	MaxRoutes           int               // withdrawn ones that concern no server of the list
}
