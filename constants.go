package elmseam

// Constants of the decisions. Times that depend on the deployment are given in retransmit intervals (see
// Controller.retransmitIntervals) or as shares of other settings.

import "time"

const (
	// Load reports. waitScale keeps the control loop stable at the delay of load reports. For minBlockTime
	// after a block, reports may be older than the block and do not lift it.

	reportLifetime = 10.0 // retransmit intervals for which a report counts (draft 4.5: 5 s)
	minBlockTime   = 2.0  // retransmit intervals
	waitThreshold  = 0.1  // wait, in retransmit intervals, up to which nothing is held back
	waitScale      = 0.8  // further wait, in retransmit intervals, that divides the admitted share by e

	// Lines.

	scarceLineShare  = 0.02        // share of free lines below which set-ups are held back
	lowLineShare     = 0.08        // share of free lines below which a softswitch reuses its freed lines
	lineShortageHold = time.Second // time for which a server that had no line counts as short of lines
	reservedLines    = 1.0         // freed lines reserved for calls of high worth

	// neededRateShare is the reported rate, as a share of the highest reported, below which set-ups are held
	// back.
	neededRateShare = 0.5

	// Unanswered set-ups. An idle server is one whose recent reports show a low load. A set-up shows that an
	// earlier one is lost if it is answered first and was sent later by more than overtakeMargin.

	maxUnanswered    = 0.3 // retransmit intervals past the round trip until an unanswered set-up stops others
	suspectLossAfter = 0.6 // retransmit intervals until an idle server's unanswered set-up counts as lost
	assumeLossAfter  = 2.0 // retransmit intervals until any unanswered set-up counts as lost
	overtakeMargin   = 0.2 // retransmit intervals

	// maxTimeLeftVotes limits the votes for the usual time left of a class (see isLateTry). After as many
	// calls in a row with another time left, the next call's time left becomes the usual one.
	maxTimeLeftVotes = 20

	// Failures.

	maxFailureWeight = 8   // weight of consecutive failures that blocks a server; an error weighs 1
	unansweredWeight = 4   // weight of a set-up that stays unanswered
	busyNumberHold   = 4.0 // retransmit intervals for which calls to a busy number are refused
	maxBusyNumbers   = 8   // busy numbers remembered

	windowMinShare = 0.1 // requested hold-back share above which a server's unanswered set-ups are limited

	// defaultInterval replaces the retransmit interval in deployments without retransmission.
	defaultInterval = 500 * time.Millisecond

	// Round trips and answer delays. The delay itself lengthens its lifetime, as slow servers jam easily.

	answerDelayLifetime       = 2.0 // retransmit intervals for which an observed answer delay counts at least
	roundTripVariation        = 1.5 // longest round trip without a queue, over the shortest set-up time
	answerDelayLifetimeFactor = 3   // multiple of the delay that is added to its lifetime

	// Rates.

	rateTimeConstant = 15.0 // seconds, time constant of decaying counters
	minRateSpan      = 3.0  // seconds, shortest span over which a rate is computed

	// Budgets of cold servers and of diverted calls, and trials. A live report that asks to hold back nothing
	// multiplies the rate of diverted calls by idleDivertFactor; the multiple falls to 1 at idleMaxShare. A
	// budget that earns less than one set-up within its save time keeps an unused one no longer than that.

	coldSafetyFactor = 0.9  // share of OverloadMultiple that cold servers may get
	coldBurst        = 2.0  // set-ups that may go to a cold server at once
	divertFactor     = 0.5  // rate of diverted calls to a server, as a share of its expected rate
	idleDivertFactor = 3.0  // multiple of the rate of diverted calls at no requested hold-back share
	idleMaxShare     = 0.25 // requested hold-back share at which that multiple is 1
	trialMinShare    = 0.5  // reported hold-back share above which a trial follows its expiry
	trialFactor      = 0.25 // rate of trials at a blocked server, as a share of its expected rate
	divertSaveTime   = 4.0  // retransmit intervals, save time of a divert budget (see refillCapped)
	coldSaveTime     = 3.0  // retransmit intervals, save time of a cold server's budget
	divertBurst      = 3.0  // diverted calls that may go to a server at once, and limit of the overdraft

	// Worth, and thinning, which holds back a share of the set-ups to a server: each set-up earns credit, and
	// one that passes uses 1 (see passesThinning).

	maxCredit             = 3.0  // thinning credit, in set-ups, that a server may save up
	lowWorthCredit        = 2.0  // thinning credit that a call of low worth needs to pass
	highWorthCredit       = -3.0 // thinning credit that a call of high worth needs, which may overdraw
	highWorthFactor       = 2.0  // high worth is above this multiple of the least worth of a class
	highWorthWindowFactor = 3.0  // multiple of the limits on unanswered set-ups for a call of high worth

	// minOfferedShare is the least assumed rate of established calls, as a share of the offered calls.
	minOfferedShare = 0.25

	// retryAfterShare is the retry-after hint as a share of the least aim: a call that is set up again after
	// the hint can still be established within its aim.
	retryAfterShare = 0.25

	// answerMargin is the time between a final answer and the caller's give-up.
	answerMargin = 5 * time.Millisecond

	// stallReserve is the time, in retransmit intervals, that a call must have left after the release guard
	// to be held until then, as the softswitch may stall. maxStallReserve limits the time to a multiple of
	// the call's aim, for long retransmit intervals.
	stallReserve    = 4.0
	maxStallReserve = 2.0

	// Server list.

	removedServerTTL  = time.Minute // time for which a removed server is remembered
	maxRemovedServers = 8           // removed servers remembered
	resubscribeDelay  = time.Second // wait between requests for the list after a failed one
)
