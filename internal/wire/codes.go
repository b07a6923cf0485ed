package wire

import "elmseam"

// Event codes: the first byte of an event record.
const (
	eventHealth         = 16 // a server's load report, unasked or as the answer to a probe; or a failed probe of a server
	eventKilled         = 17 // the selected instance was killed
	eventArrival        = 18 // a call arrived
	eventServerList     = 19 // numbered server list, for later list updates
	eventOutcome        = 20 // an attempt ended
	eventTimerFired     = 21 // a timer fired
	eventListUpdate     = 22 // the server list changed, or the request for it failed
	eventEstablished    = 23 // a call was established
	eventCallerGone     = 24 // the caller gave up
	eventSelectInstance = 25 // selects the instance (simulated softswitch) that the following events are for
	eventStarted        = 26 // the selected instance was started, with its settings and seed
	eventPeerData       = 27 // a message from another instance of the tier
)

// Action codes: the first byte of an action record.
const (
	actionSelectInstance = 16 // names the instance that the following actions are from
	actionSend           = 17 // starts an attempt
	actionSetTimer       = 18 // sets a timer
	actionFail           = 20 // final answer: the call failed and may have run at a server
	actionCancel         = 21 // stops waiting for an attempt
	actionInstanceFailed = 23 // the instance has failed, with the reason as text
	actionSubscribe      = 24 // asks for updates of the server list
	actionPeerData       = 25 // a message to another instance of the tier
	actionRefuse         = 26 // final answer: the call is refused
)

// Scopes of a server list update.
const (
	listScopeDelta  = iota // the entries that changed
	listScopeFull          // the complete list
	listScopeCached        // the complete list, stored before a restart
	listScopeFailed        // the request for the list failed
)

// Flags of an arriving call.
const (
	arrivalFlagTransit     = 8  // the call may go to its first-choice cell (server group) only
	arrivalFlagInterrupted = 16 // an established call that was cut and is set up again
)

// maxServerLists is the number of server lists that can be numbered; the numbers start at 0.
const maxServerLists = 16

// causeByCode maps the outcome codes on the wire to causes.
var causeByCode = map[byte]elmseam.Cause{
	10: elmseam.CauseEnded,
	20: elmseam.CauseBusy,
	30: elmseam.CauseFull,
	40: elmseam.CauseTimeout,
	50: elmseam.CauseUnreachable,
	60: elmseam.CauseReset,
	70: elmseam.CauseCancelled,
	80: elmseam.CauseNotSent,
}
