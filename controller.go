package elmseam

// The decision module. Its interface - settings, events and actions - is api.go.
// Top down: constants, state, lists, the map from told figures to a share, route, admission,
// outcomes and further attempts, timers.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"elmseam/internal/shares"
)

// Tuned values. Times that depend on the deployment are given as parts of its settings.
const (
	reportLifetime        = 10.0                   // gaps after which a report is forgotten (draft 4.5: 5 s)
	minBlockTime          = 2.0                    // after 'processor full' no report that may be older lifts the cut
	waitThreshold         = 0.1                    // part of the gap up to which a wait asks for no cut
	waitScale             = 0.8                    // each further such part leaves 1/e: steady at reports delays
	scarceLineShare       = 0.02                   // part of its lines free below which a server is spared
	lowLineShare          = 0.08                   // part of its lines free below which each sender reuses its own
	lineShortageHold      = time.Second            // a server that had no line counts as short of them for so long
	reservedLines         = 1.0                    // freed lines kept for calls of great worth
	neededRateShare       = 0.5                    // part of its best told rate that a server needs
	maxUnanswered         = 0.3                    // part of the gap that a set-up may be unanswered before the next
	suspectLossAfter      = 0.6                    // gaps without an answer, reports of ease meanwhile: a loss
	assumeLossAfter       = 2.0                    // gaps without an answer after which a set-up is held for lost
	overtakeMargin        = 0.2                    // gaps by which an answered set-up must be later to tell of a loss
	maxTimeLeftVotes      = 20                     // tries of another length in a row that make it the usual one
	maxFailureWeight      = 8                      // weight of bad endings in a row for a full cut; an error is 1
	unansweredWeight      = 4                      // of a set-up that stays unanswered
	busyNumberHold        = 4.0                    // gaps for which calls to a number found busy are refused
	maxBusyNumbers        = 8                      // numbers kept as busy
	windowMinShare        = 0.1                    // share over which a server also has a window
	defaultInterval       = 500 * time.Millisecond // stands in for the resend gap where there is none
	delayLifetime         = 2.0                    // gaps for which an observed answer delay tells of the present
	roundTripVariation    = 1.5                    // times the shortest that the way there and back may take
	delayLifetimeFactor   = 3                      // and for so many times the delay itself: slow ones jam easily
	rateTimeConstant      = 15.0                   // s, memory of the own rate
	minRateSpan           = 3.0                    // s, least time over which a rate is taken
	coldSafetyFactor      = 0.9                    // part of the tipping multiple that cold servers may get
	coldBurst             = 2.0                    // set-ups that may go to a cold server at once
	divertFactor          = 0.5                    // times its part of the set-ups that a server may get diverted
	idleDivertFactor      = 3.0                    // times as many where a live report tells of ease
	idleMaxShare          = 0.25                   // the less of it the nearer the share asked for comes to this
	trialMinShare         = 0.5                    // share over which a lapse is followed by a trial
	trialFactor           = 0.25                   // part of its part that a server gets as trials after a full cut
	divertSaveTime        = 4.0                    // gaps for which a budget of less than a set-up is kept
	coldSaveTime          = 3.0                    // the same for a cold server
	divertBurst           = 3.0                    // diverted set-ups at once
	maxCredit             = 3.0                    // set-ups a server's thinning remainder may save up
	lowWorthCredit        = 2.0                    // remainder that a call of little worth needs
	highWorthCredit       = -3.0                   // remainder down to which a call of great worth may go
	highWorthFactor       = 2.0                    // times the least worth of a class that make great worth
	highWorthWindowFactor = 3.0                    // times the limit on unanswered set-ups that holds for such a call
	minOfferedShare       = 0.25                   // of the calls that came: the least taken for what servers take
	retryAfterShare       = 0.25                   // of the least aim: a redial after it can still stand in time
	answerMargin          = 5 * time.Millisecond   // final answers go out this long before the caller's time is up
	stallReserve          = 4.0                    // gaps that a held call must have left: a proxy may stall
	maxStallReserve       = 2.0                    // but no more than so many aims, where the gap is long
	removedServerTTL      = time.Minute            // what a server that has gone was is known for so long
	maxRemovedServers     = 8                      // and of so many
	resubscribeDelay      = time.Second            // gap between requests for the list after one failed
)

// server is what this edge proxy knows of a core server.
type server struct {
	id      ServerID
	cell    int
	phase   Phase
	started Time

	reportedShare  float64 // hold-back share last told
	ownShare       float64 // and here, not to others of the tier
	ownShareAt     Time
	shareExpiry    Time    // when that is forgotten
	blocked        bool    // the cut is a full one: when it lapses, a trial comes first
	blockedAt      Time    // when it began
	trialPending   bool    // the trial is out
	lineShare      float64 // hold-back share that its free lines ask for
	freeLines      float64 // its free lines when last told, less what was sent since
	lineShortUntil Time    // until then it is held for short of lines: it has turned a call away for want of one
	reusableLines  float64 // lines that calls from here have freed and none has taken again
	lineTryBudget  bucket  // budget of tries beside those
	credit         float64 // thinning remainder: one passes a set-up

	minSetUpTime  time.Duration // shortest set-up time seen: the way there and back
	answerDelay   time.Duration // last set-up's time beyond that
	answerDelayAt Time
	pending       []*attempt // unanswered, oldest first

	established       decayingCounter // calls from here that stood
	rateBeforeRestart float64         // such calls a second, the most before it started anew
	failureWeight     int             // weight of the bad endings in a row
	blockedForErrors  bool            // its cut is for errors: it answers, and not every call fails

	maxReportedRate float64 // highest rate told
	totalLines      float64 // lines in all, 0: not told
	maxLines        float64 // the most that it has had: its processor is still there for those
	coldBudget      bucket  // budget while cold
	allottedRate    float64 // what the tier allots of that budget; negative: nothing, the own part counts
	divertBudget    bucket  // budget of diverted calls
	trialBudget     bucket  // budget of trials after a full cut
}

// past is what a server was that has gone: it may come back.
type removedServer struct {
	id             ServerID
	maxLines, rate float64
	minSetUpTime   time.Duration
	removedAt      Time
}

// attempt is a set-up that has not been answered.
type attempt struct {
	call         *callState
	server       *server
	sentAt       Time
	trial        bool
	presumedLost bool // held for lost: no sign of a queue any more
	cancelled    bool // called off
}

// call is a call that this edge proxy owes an answer.
type callState struct {
	id          CallID
	class       *Class
	number      uint64
	cell        int
	transit     bool
	lowWorth    bool // worth little
	answerBy    Time // the final answer is out by then
	notBefore   Time // not sent again before
	attempts    int
	maxAttempts int  // attempts it may have, by the settings it came under
	mayHaveRun  bool // an attempt may have run
	callerLeft  bool // its caller has left
	interrupted bool // it stood, was cut and comes again
	tried       []*server
	pending     *attempt
}

// busyNumber is a number called whose lines were all busy, and until when that is believed.
type busyNumber struct {
	number uint64
	until  Time
}

// usualTry is the time that most tries of a class have before their caller gives up.
type usualTimeLeft struct {
	timeLeft time.Duration
	votes    int
}

// Controller decides for one edge proxy.
type Controller struct {
	settings          Settings
	servers           []*server // as listed
	byID              map[ServerID]*server
	removed           []removedServer // the last to go, oldest first
	calls             map[CallID]*callState
	actions           []Action
	now               Time
	minWorth          float64
	retryAfterHint    time.Duration   // told with a refusal
	usualTimes        []usualTimeLeft // of each class
	busyNumbers       [maxBusyNumbers]busyNumber
	nextBusyNumber    int             // next to be replaced
	tenantTracker     *shares.Tracker // of the tenants' calls
	startedAt         Time            // first event
	established       decayingCounter // calls that stood at warm servers
	offered           decayingCounter // calls that came
	meanLines         float64         // of the servers that tell their lines
	measuredAt        Time
	lineSeconds       float64 // line seconds of warm servers, decayed
	ratePerLine       float64 // set-ups a second that stand from here for each line of a warm server
	rng               *rand.Rand
	subscribeAt       Time
	subscribed        bool
	coldQuotaFraction float64 // part of its own part of a cold server's budget that this sender takes
	importedShare     float64 // share of its rates that is not of calls from here, when that changed
	importedShareAt   Time
}

// New makes a controller. The seed sets the phases of its budgets: those of many senders are not in step.
func New(settings Settings, seed uint64) (*Controller, error) {
	c := &Controller{
		rng: rand.New(rand.NewPCG(seed, 0)), coldQuotaFraction: 1,
		byID:          make(map[ServerID]*server),
		calls:         make(map[CallID]*callState),
		tenantTracker: shares.New(rateTimeConstant * Time(time.Second)),
	}
	if err := c.Configure(settings); err != nil {
		return nil, err
	}
	return c, nil
}

// Configure replaces the settings; what is known of servers and calls stays. Settings that make no sense
// change nothing. The classes there were keep their places.
func (c *Controller) Configure(settings Settings) error {
	if err := checkSettings(&settings); err != nil {
		return fmt.Errorf("elmseam: settings: %w", err)
	}
	c.settings = settings
	c.tenantTracker.Configure(settings.Tenants)
	c.usualTimes = make([]usualTimeLeft, len(settings.Classes))
	c.minWorth = settings.Classes[0].Worth
	aim := settings.Classes[0].Aim
	for _, class := range settings.Classes {
		c.minWorth, aim = min(c.minWorth, class.Worth), min(aim, class.Aim)
	}
	c.retryAfterHint = time.Duration(retryAfterShare * float64(aim))
	return nil
}

// check names the first setting that makes no sense.
func checkSettings(settings *Settings) error {
	if len(settings.Classes) == 0 {
		return fmt.Errorf("Classes: no class")
	}
	for i, class := range settings.Classes {
		switch {
		case class.Aim < 0:
			return fmt.Errorf("Classes[%d].Aim: negative time %v", i, class.Aim)
		case class.Deadline < 0:
			return fmt.Errorf("Classes[%d].Deadline: negative time %v", i, class.Deadline)
		}
	}
	switch {
	case settings.MaxRetryAfter < 0:
		return fmt.Errorf("MaxRetryAfter: negative time %v", settings.MaxRetryAfter)
	case settings.RetransmitInterval < 0:
		return fmt.Errorf("ResendGap: negative time %v", settings.RetransmitInterval)
	case settings.ReleaseGuard < 0:
		return fmt.Errorf("ReleaseGuard: negative time %v", settings.ReleaseGuard)
	case settings.OverloadAfter < 0:
		return fmt.Errorf("TipAfter: negative time %v", settings.OverloadAfter)
	case settings.ColdRamp < 0:
		return fmt.Errorf("ColdRamp: negative time %v", settings.ColdRamp)
	case !(settings.ColdInitialShare >= 0 && settings.ColdInitialShare <= 1):
		return fmt.Errorf("ColdFrom: %v is no share", settings.ColdInitialShare)
	case !(settings.OverloadMultiple >= 0):
		return fmt.Errorf("TipMultiple: %v is negative", settings.OverloadMultiple)
	}
	for _, metric := range settings.ReportMetrics {
		if metric != LoadMetricUnknown {
			return nil
		}
	}
	if len(settings.ReportMetrics) > 0 {
		return fmt.Errorf("Report: no known figure among %d", len(settings.ReportMetrics))
	}
	return nil
}

// Handle takes in one event and appends what is to be done to out.
func (c *Controller) Handle(now Time, ev Event, out []Action) []Action {
	c.now, c.actions = now, out
	if c.startedAt == 0 {
		c.startedAt, c.measuredAt = now, now
	}
	c.subscribe()
	switch ev := ev.(type) {
	case ListFull:
		c.applyFullList(ev)
	case ListDelta:
		for _, e := range ev.Entries {
			c.applyListEntry(e)
		}
		c.dropGoneServers()
	case ListFailed:
		c.subscribed, c.subscribeAt = false, now+resubscribeDelay
	case Arrival:
		c.handleArrival(ev)
	case Established:
		c.handleEstablished(ev)
	case Outcome:
		c.handleOutcome(ev)
	case CallerGone:
		c.handleCallerGone(ev.Call)
	case TimerFired:
		c.handleTimer(CallID(ev.Token))
	case Health:
		if s := c.byID[ev.Server]; s != nil {
			c.applyReport(s, ev.Report)
		}
	}
	out, c.actions = c.actions, nil
	return out
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// follow subscribes to the list where it has to be asked for.
func (c *Controller) subscribe() {
	if c.settings.ListOnRequest && !c.subscribed && c.now >= c.subscribeAt {
		c.subscribed = true
		c.emit(Subscribe{})
	}
}

func (c *Controller) applyFullList(ev ListFull) {
	for _, s := range c.servers {
		s.phase = Gone
	}
	for _, e := range ev.Entries {
		c.applyListEntry(e)
	}
	c.dropGoneServers()
}

// forget drops servers that are gone and have nothing out, so that replacements do not pile up.
func (c *Controller) dropGoneServers() {
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		drop := s.phase == Gone && len(s.pending) == 0
		if drop {
			delete(c.byID, s.id)
			c.removed = append(c.removed, removedServer{s.id, s.maxLines, c.lastKnownRate(s), s.minSetUpTime, c.now})
		}
		return drop
	})
	c.removed = slices.DeleteFunc(c.removed, func(p removedServer) bool { return c.now > p.removedAt+removedServerTTL })
	c.removed = c.removed[max(len(c.removed)-maxRemovedServers, 0):]
}

// tookBy is what a server takes from here, or took before it started anew: as it was when it last
// answered, for one that starts anew has been dead for a while.
func (c *Controller) lastKnownRate(s *server) float64 {
	return max(s.rateBeforeRestart, c.rateAt(s.established, s.established.updatedAt))
}

// newServer is a server that the list names; of one that comes back some things are known.
func (c *Controller) newServer(id ServerID) *server {
	s := &server{id: id, allottedRate: -1}
	for _, old := range c.removed {
		if old.id == id {
			s.maxLines, s.rateBeforeRestart, s.minSetUpTime = old.maxLines, old.rate, old.minSetUpTime
		}
	}
	return s
}

// listEntry takes in what the list says of one server. One that started anew has a clean slate.
func (c *Controller) applyListEntry(entry ListEntry) {
	s := c.byID[entry.Server]
	if s == nil {
		s = c.newServer(entry.Server)
		c.byID[entry.Server] = s
		c.servers = append(c.servers, s)
	} else if s.started != entry.Started {
		*s = server{id: s.id, allottedRate: -1, pending: s.pending, minSetUpTime: s.minSetUpTime, maxLines: s.maxLines, rateBeforeRestart: c.lastKnownRate(s)}
	}
	s.cell, s.phase, s.started = entry.Cell, entry.Phase, entry.Started
	if s.coldBudget.updatedAt == 0 { // from the telling on, or what came due before would go out at once
		s.coldBudget, s.divertBudget = bucket{c.rng.Float64(), c.now}, bucket{c.rng.Float64(), c.now}
	}
}

// report replaces the state of a server by what a load report tells.
func (c *Controller) applyReport(s *server, r Report) {
	c.applyLineReport(s, r)
	share, known := c.shareFromReport(s, r)
	if !known || s.blocked && c.now < s.blockedAt+c.intervals(minBlockTime) {
		return
	}
	s.reportedShare, s.shareExpiry, s.blocked, s.trialPending = share, c.now+c.intervals(reportLifetime), false, false
	s.ownShare, s.ownShareAt = share, c.now
}

// ApplyTierReport takes in what others of the tier have seen of a server. A report that came to them after
// the last one here stands for one, but lifts no full cut. One that fails for them is cut at its next bad
// ending here. A sender just back begins with the rates that they have; no budget while cold grows by that,
// see coldPart.
func (c *Controller) ApplyTierReport(now Time, id ServerID, report TierReport) {
	s := c.byID[id]
	if s == nil {
		return
	}
	if expiry := report.ShareAt + c.intervals(reportLifetime); report.ShareAt > 0 && expiry > s.shareExpiry && !s.blocked {
		s.reportedShare, s.shareExpiry = report.Share, expiry
	}
	if report.Failing {
		s.failureWeight = max(s.failureWeight, maxFailureWeight-1)
	}
	if s.minSetUpTime == 0 {
		s.minSetUpTime = report.RoundTrip
	}
	if (c.newlyStarted(now) || c.importedShare > 0) && s.established.count == 0 && report.Rate > 0 {
		if c.importedShare == 0 { // as if it had counted for so long
			c.startedAt, c.measuredAt = c.startedAt-minRateSpan*Time(time.Second), c.measuredAt-minRateSpan*Time(time.Second)
		}
		count := report.Rate * rateTimeConstant * (1 - decayFactor(minRateSpan))
		s.established, c.established = decayingCounter{count, now}, decayingCounter{c.established.value(now) + count, now}
		c.importedShare, c.importedShareAt = 1-minOfferedShare, now
	}
}

// freeLines takes in how many lines a server has left, which it tells by itself at short intervals.
// It guards against a server that has processor to spare and turns all away for want of lines.
func (c *Controller) applyLineReport(s *server, r Report) {
	free, total := -1.0, -1.0
	for i, metric := range c.settings.ReportMetrics {
		switch {
		case i >= len(r):
		case metric == LoadMetricFreeLines:
			free = r[i]
		case metric == LoadMetricTotalLines:
			total = r[i]
		}
	}
	if free >= 0 && total > 0 {
		s.totalLines, s.maxLines, s.freeLines = total, max(s.maxLines, total), free
		s.lineShare = max(0, 1-free/(scarceLineShare*total))
	}
}

// shareTold is the one map from told figures to a hold-back share: the most that any of them asks for.
// A rate is for all senders, and this one's part of it is not known: streams differ and peers die. It is
// set against the highest rate that the server has told, of which it needs some part for what is offered.
func (c *Controller) shareFromReport(s *server, r Report) (share float64, known bool) {
	for i, metric := range c.settings.ReportMetrics {
		if i >= len(r) || !(r[i] >= 0) {
			continue
		}
		requested := 0.0
		switch metric {
		case LoadMetricHoldBackShare:
			requested = r[i]
		case LoadMetricWait:
			requested = c.shareForWait(time.Duration(r[i] * float64(time.Millisecond)))
		case LoadMetricRate:
			s.maxReportedRate = max(s.maxReportedRate, r[i])
			requested = 1 - r[i]/max(neededRateShare*s.maxReportedRate, 1e-9)
		default:
			continue
		}
		share, known = min(max(share, requested), 1), true
	}
	return share, known
}

// shareOfWait is the share to hold back at a given wait.
func (c *Controller) shareForWait(wait time.Duration) float64 {
	waitIntervals := float64(wait) / float64(c.intervals(1))
	return 1 - math.Exp(-max(waitIntervals-waitThreshold, 0)/waitScale)
}

// gaps is so many resend gaps.
func (c *Controller) intervals(n float64) time.Duration {
	interval := c.settings.RetransmitInterval
	if interval <= 0 {
		interval = defaultInterval
	}
	return time.Duration(n * float64(interval))
}

// cut makes a full cut of a server.
func (c *Controller) block(s *server, wait time.Duration) {
	if maxWait := c.intervals(reportLifetime); wait <= 0 || wait > maxWait {
		wait = maxWait
	}
	c.requireTrial(s)
	s.reportedShare, s.blockedAt, s.shareExpiry, s.trialPending, s.blockedForErrors = 1, c.now, c.now+wait, false, false
}

// tryAfter makes a cut one that trials follow when it lapses.
func (c *Controller) requireTrial(s *server) {
	if !s.blocked {
		s.blocked, s.blockedForErrors, s.trialBudget = true, false, bucket{c.rng.Float64(), c.now}
	}
}

// way is the time that a set-up may take that meets no queue.
func (s *server) maxRoundTrip() time.Duration {
	return time.Duration(roundTripVariation * float64(s.minSetUpTime))
}

// lagNow is how late a server's answers are: the last set-up's delay, or what the oldest
// unanswered one has waited by now.
func (s *server) currentDelay(now Time, lifetime time.Duration) time.Duration {
	var delay time.Duration
	if now < s.answerDelayAt+lifetime+delayLifetimeFactor*s.answerDelay {
		delay = s.answerDelay
	}
	for _, a := range s.pending {
		if !a.presumedLost {
			return max(delay, now-a.sentAt-s.maxRoundTrip())
		}
	}
	return delay
}

// share is the share of new set-ups to hold back from a server now, of ordinary calls.
func (c *Controller) holdBackShare(s *server) float64 {
	share := c.requestedShare(s)
	if share < 1 && c.windowFull(s, c.hasWindow(s, share), 1) {
		return 1
	}
	return share
}

// reported is the share that live reports and observed delays of a server ask for. A full cut that has lapsed
// is over for one set-up, the trial, when the budget of trials has room. A share over a half lapses likewise:
// a jammed server ends no calls and so reports nothing, and all senders would come back with whole calls.
func (c *Controller) requestedShare(s *server) float64 {
	if c.now >= s.shareExpiry && s.reportedShare > trialMinShare {
		c.requireTrial(s)
	}
	if s.blocked {
		if c.now < s.shareExpiry || s.trialPending || !s.trialBudget.refill(c.now, trialFactor*c.expectedRate(s), 1) {
			return 1
		}
		return 0
	}
	share := max(s.lineShare, c.shareForWait(s.currentDelay(c.now, c.intervals(delayLifetime))))
	if c.now < s.shareExpiry {
		share = max(share, s.reportedShare)
	}
	return share
}

// pressed says whether a server has a window now: where it asks to hold back, and for a while after its
// processor was full. A report of ease lifts that cut, and all that comes would fill its queue again at once.
func (c *Controller) hasWindow(s *server, share float64) bool {
	return share > windowMinShare || s.blockedAt > 0 && c.now < s.blockedAt+c.intervals(reportLifetime)
}

// unanswered says whether a server leaves this sender's set-ups without an answer so that no other may
// follow for now: the oldest for too long, or of a pressed one more than it answers in that time. Senders
// so clock themselves by the answers, whatever the redials that a share lets pass, and none piles up at a
// server that is slow, hung, jammed or gone. What is on its way there and back is not held against a server:
// that way may be as long as the limit. It could harm where ways are more uneven than queues.
// Calls of great worth have a wider limit.
func (c *Controller) windowFull(s *server, hasWindow bool, limitFactor float64) bool {
	limit := c.intervals(maxUnanswered * limitFactor)
	count := 0
	for _, a := range s.pending {
		if a.presumedLost {
			continue
		}
		if count++; c.now-a.sentAt-s.maxRoundTrip() > limit {
			return true
		}
	}
	return hasWindow && float64(count) >= max(limitFactor, c.currentRate(s.established)*(limit+s.maxRoundTrip()).Seconds())
}

// usable says whether a call may go to a server at all.
func (c *Controller) eligible(s *server, call *callState) bool {
	if s.phase != Ready || s.cell == c.settings.OwnCell && c.settings.OwnCell >= 0 {
		return false
	}
	if call.transit && s.cell != call.cell {
		return false
	}
	if slices.Contains(call.tried, s) {
		return false
	}
	return len(call.class.Cells) == 0 || c.settings.OwnCell >= 0 || slices.Contains(call.class.Cells, s.cell)
}

// route sends a call, or refuses it: also when its time is all but up, as after a stall of this proxy, where
// each send would come back as not sent until the answer is late.
func (c *Controller) route(call *callState) {
	if c.now >= call.answerBy {
		c.refuse(call, c.retryAfterHint)
		return
	}
	c.updateRatePerLine()
	s := c.pickServer(call)
	if s == nil {
		s = c.pickLastResort(call)
	}
	if s == nil {
		c.refuse(call, c.retryAfterHint)
		return
	}
	c.send(call, s)
}

// lastResort is a server that is cut for its errors, for a call that would be refused. Errors come at once:
// they cost a call less than a refusal does, and a server seldom fails every call.
func (c *Controller) pickLastResort(call *callState) *server {
	for _, s := range c.servers {
		if s.blocked && s.blockedForErrors && !call.lowWorth && call.class.Retry == RetryAlways && c.eligible(s, call) && c.coldBudgetAllows(s) &&
			c.lineAvailable(s, call) && !c.windowFull(s, true, 1) {
			return s
		}
	}
	return nil
}

// pick chooses the server: the first choice if it can be had and its thinning lets the call pass, else the
// least pressed of the others with room for diverted calls. That is one without a live report; where none
// is left, the call may still pass the thinning of the least pressed. A call of great worth whose first
// choice is pressed goes to the least pressed at once: to pass into a queue that loses callers is no favour.
func (c *Controller) pickServer(call *callState) *server {
	var primary, best *server
	for _, s := range c.servers {
		switch {
		case !c.eligible(s, call) || !c.coldBudgetAllows(s) || !c.lineAvailable(s, call):
		case s.cell == call.cell && primary == nil && !(c.highWorth(call) && c.requestedShare(s) > windowMinShare):
			primary = s
		case c.divertBudgetAllows(s, call) && (best == nil || c.lessLoaded(s, best)):
			best = s
		}
	}
	switch {
	case primary != nil && c.passesThinning(primary, call):
		return primary
	case best != nil && c.passesThinning(best, call):
		best.divertBudget.tokens = max(best.divertBudget.tokens-1, -divertBurst)
		return best
	}
	return nil
}

// less says whether a is less pressed than b: by the share to hold back, then by what is out for its size.
func (c *Controller) lessLoaded(a, b *server) bool {
	if p, q := c.holdBackShare(a), c.holdBackShare(b); p != q {
		return p < q
	}
	return float64(len(a.pending)+1)*c.linesOrMean(b) < float64(len(b.pending)+1)*c.linesOrMean(a)
}

// passes thins by a running remainder, calls of little worth first and those of great worth last: these
// overdraw the remainder and wait for no answers, and the ordinary ones make up for it.
func (c *Controller) passesThinning(s *server, call *callState) bool {
	share, needed := c.holdBackShare(s), 1.0
	switch {
	case call.lowWorth:
		needed = lowWorthCredit
	case c.highWorth(call):
		needed = highWorthCredit
		if share = c.requestedShare(s); share < 1 && c.windowFull(s, c.hasWindow(s, share), highWorthWindowFactor) {
			return false
		}
	}
	if share <= 0 {
		return true
	}
	if share >= 1 {
		return false
	}
	if s.credit = min(s.credit+1-share, maxCredit); s.credit < needed {
		return false
	}
	s.credit--
	return true
}

// great says whether a call is worth far more than the least of the classes, or was cut and comes again.
func (c *Controller) highWorth(call *callState) bool {
	return !call.lowWorth && (call.interrupted || call.class.Worth > highWorthFactor*c.minWorth)
}

// isCold says whether a server has started so recently that it may not be warm.
func (c *Controller) isCold(s *server) bool {
	return s.started > 0 && c.now < s.started+c.settings.ColdRamp
}

// coldPasses says whether a cold server has room in this sender's budget: this sender's part of what
// a warm server of its size takes, times what is surely warm of it, times a part of the multiple that
// tips it over. If every sender keeps to its own part, all together do. The budget of one among many is a
// small part of a set-up, so it starts at a random phase: else the first ones of all would come at once.
func (c *Controller) coldBudgetAllows(s *server) bool {
	if !c.isCold(s) {
		return true
	}
	quota := s.allottedRate
	if quota < 0 {
		quota = c.coldQuotaFraction * c.coldQuota(s)
	}
	return s.coldBudget.refillCapped(c.now, c.coldRateMultiple(s, c.now)*quota, coldBurst, c.intervals(coldSaveTime))
}

// coldTimes is how many set-ups a cold server may get for each that it takes when warm.
func (c *Controller) coldRateMultiple(s *server, now Time) float64 {
	warmShare := c.settings.ColdInitialShare + (1-c.settings.ColdInitialShare)*float64(now-s.started)/float64(c.settings.ColdRamp)
	return coldSafetyFactor * c.settings.OverloadMultiple * warmShare
}

// coldPart is this sender's own part of a cold server, as set-ups a second of a warm one: what it took before
// it started anew, as lines say little of a processor.
func (c *Controller) coldQuota(s *server) float64 {
	if s.rateBeforeRestart > 0 {
		return s.rateBeforeRestart
	}
	return c.expectedRate(s) * (1 - c.currentImportedShare(c.now))
}

// linePasses says whether a server has a line for one more call. Where few are free, all senders hear of the
// same ones and race for them, and each that loses costs the processor a look. So a sender then uses the
// lines again that its own calls have freed, the last of them for calls of great worth, and tries for others
// the less the fewer they are: one just back has none of its own.
func (c *Controller) lineAvailable(s *server, call *callState) bool {
	freeRatio := s.freeLines / max(lowLineShare*s.totalLines, 1)
	if c.now >= s.lineShortUntil || freeRatio >= 1 {
		return true
	}
	if s.reusableLines >= 1 && c.highWorth(call) || s.reusableLines >= 1+reservedLines {
		return true
	}
	return s.lineTryBudget.refill(c.now, freeRatio*freeRatio*c.expectedRate(s), 1) && s.freeLines >= 1
}

// divertPasses says whether a server has room for one more diverted call. Reports tell of a flood only when
// it has come: where a great server leaves, all that it had would fall on small ones and jam them for
// long. So a server gets diverted no more than what is its part by its lines. Calls of great worth overdraw
// that, but not by so much that the others are kept out for long.
func (c *Controller) divertBudgetAllows(s *server, call *callState) bool {
	rate := divertFactor * c.expectedRate(s)
	if c.now < s.shareExpiry {
		rate *= 1 + (idleDivertFactor-1)*max(1-c.requestedShare(s)/idleMaxShare, 0)
	}
	hasRoom := s.divertBudget.refillCapped(c.now, rate, divertBurst, c.intervals(divertSaveTime))
	return hasRoom || c.highWorth(call) || c.newlyStarted(c.now) && c.importedShare == 0 // one just back knows no rate
}

// young says whether this sender has just started, and has no rate of its own.
func (c *Controller) newlyStarted(now Time) bool {
	return c.startedAt == 0 || (now-c.startedAt).Seconds() < minRateSpan
}

// partOf is a server's part, by its lines, of the set-ups a second that warm servers take from here.
func (c *Controller) expectedRate(s *server) float64 { return c.ratePerLine * c.linesOrMean(s) }

// linesOf is the size of a server as far as its processor goes: the mean of the others where it is not told.
func (c *Controller) linesOrMean(s *server) float64 {
	if s.maxLines > 0 {
		return s.maxLines
	}
	return c.meanLines
}

// measure brings the set-ups a second for each line up to date: what stood at warm servers over the time that
// their lines were there for it, both with the same memory. So servers that leave, few or many, change it by
// what they took themselves, and where none is left the last known holds. A part of the calls that came is
// the least: a sender just back, or one that nothing stood for of late, has to try somewhere.
func (c *Controller) updateRatePerLine() {
	reportedLines, reporting := 0.0, 0.0
	for _, s := range c.servers {
		if s.maxLines > 0 {
			reportedLines, reporting = reportedLines+s.maxLines, reporting+1
		}
	}
	if c.meanLines = 1; reporting > 0 {
		c.meanLines = reportedLines / reporting
	}
	warmLines, allLines, elapsed := 0.0, 1.0, (c.now - c.measuredAt).Seconds()
	for _, s := range c.servers {
		if allLines += c.linesOrMean(s); s.phase == Ready && !c.isCold(s) {
			warmLines += c.linesOrMean(s)
		}
	}
	c.lineSeconds, c.measuredAt = c.lineSeconds*decayFactor(elapsed)+warmLines*min(elapsed, rateTimeConstant), c.now
	c.ratePerLine = max(c.established.value(c.now), minOfferedShare*c.offered.value(c.now)) / max(c.lineSeconds, allLines*minRateSpan)
}

// rate is the rate a second of what a counter has counted.
func (c *Controller) currentRate(counter decayingCounter) float64 { return c.rateAt(counter, c.now) }

// rateAt is the rate as it was at a time after the last count.
func (c *Controller) rateAt(counter decayingCounter, at Time) float64 {
	return counter.value(at) / (rateTimeConstant * (1 - decayFactor(max((at-c.startedAt).Seconds(), minRateSpan))))
}

func (c *Controller) send(call *callState, s *server) {
	a := &attempt{call: call, server: s, sentAt: c.now}
	if s.blocked {
		a.trial, s.trialPending = true, true
		s.trialBudget.tokens--
	}
	if c.isCold(s) {
		s.coldBudget.tokens--
	}
	if s.freeLines--; s.reusableLines >= 1 {
		s.reusableLines--
	} else {
		s.lineTryBudget.tokens--
	}
	call.pending, call.attempts = a, call.attempts+1
	call.tried = append(call.tried, s)
	s.pending = append(s.pending, a)
	c.emit(Send{Call: call.id, Server: s.id})
	c.emit(SetTimer{Token: uint32(call.id), At: c.now + c.intervals(suspectLossAfter)})
}

// giveUp calls off an attempt that a later one has overtaken: servers answer in order, so it or its answer
// was lost. The call goes on elsewhere if it can.
func (c *Controller) presumeLost(a *attempt) {
	call := a.call
	if a.presumedLost = true; !a.cancelled && c.settings.CanCancel && call.class.Retry == RetryAlways && !call.callerLeft {
		a.cancelled = true
		c.emit(Cancel{Call: call.id, Attempt: call.attempts - 1})
	}
}

// fault counts bad endings in a row with no call standing between them; enough of them make a full cut. A
// silence weighs more than an error: it costs its call the time in which an error is made good elsewhere.
// A server that fails all at once looks idle and would draw every call; one that is silent keeps its load.
func (c *Controller) recordFailure(s *server, weight int) {
	if s.failureWeight += weight; s.failureWeight >= maxFailureWeight {
		errorsOnly := weight < unansweredWeight && (s.blockedForErrors || !s.blocked) // no error makes light of another cause
		c.block(s, 0)
		s.blockedForErrors = errorsOnly
	}
}

func (c *Controller) handleArrival(ev Arrival) {
	if ev.Class < 0 || ev.Class >= len(c.settings.Classes) {
		ev.Class = 0
	}
	call := &callState{
		id: ev.Call, class: &c.settings.Classes[ev.Class], number: ev.Number, cell: ev.Cell, transit: ev.Transit,
		maxAttempts: c.settings.MaxAttempts, answerBy: c.now + ev.TimeLeft - answerMargin,
	}
	c.offered.add(c.now)
	late, overShare := c.isLateTry(ev), c.exceedsTenantShare(ev.Tenant)
	call.lowWorth, call.interrupted = late || overShare, ev.Interrupted
	c.calls[call.id] = call
	if c.numberIsBusy(call.number) {
		c.refuse(call, c.settings.MaxRetryAfter)
		return
	}
	c.route(call)
}

// numberBusy says whether a number was found busy of late. A crowd on one number costs the servers a
// set-up for each try and all but a few fail; when the hold lapses the next call is the trial.
func (c *Controller) numberIsBusy(number uint64) bool {
	for i := range c.busyNumbers {
		if entry := &c.busyNumbers[i]; number != 0 && entry.number == number {
			return c.now < entry.until
		}
	}
	return false
}

// holdNumber takes in that all lines of a number are busy.
func (c *Controller) markNumberBusy(number uint64) {
	for i := range c.busyNumbers {
		if c.busyNumbers[i].number == number {
			c.busyNumbers[i].until = c.now + c.intervals(busyNumberHold)
			return
		}
	}
	c.busyNumbers[c.nextBusyNumber] = busyNumber{number, c.now + c.intervals(busyNumberHold)}
	c.nextBusyNumber = (c.nextBusyNumber + 1) % len(c.busyNumbers)
}

// overShare says whether a call is one of those beyond its tenant's share, where these are worth little.
func (c *Controller) exceedsTenantShare(tenant int) bool {
	return c.settings.OverShareWorth*highWorthFactor < 1 && c.tenantTracker.ExceedsShare(c.now, tenant)
}

// lateTry says whether a try is known to come after the aim has passed. Most tries have the time that
// callers usually give one (found by majority vote); another time is what is left of the deadline.
func (c *Controller) isLateTry(ev Arrival) bool {
	usualTime, class := &c.usualTimes[ev.Class], &c.settings.Classes[ev.Class]
	isUsual := ev.TimeLeft <= usualTime.timeLeft+answerMargin && ev.TimeLeft >= usualTime.timeLeft-answerMargin
	switch {
	case isUsual:
		usualTime.votes = min(usualTime.votes+1, maxTimeLeftVotes)
	case usualTime.votes > 0:
		usualTime.votes--
	default:
		usualTime.timeLeft = ev.TimeLeft
	}
	return !isUsual && usualTime.votes > 0 && class.Deadline-ev.TimeLeft > class.Aim
}

// refuse gives a call its final answer: refused, or failed where an attempt may have run.
func (c *Controller) refuse(call *callState, retryAfter time.Duration) {
	delete(c.calls, call.id)
	if call.mayHaveRun && call.class.Retry != RetryAlways {
		c.emit(Fail{Call: call.id})
		return
	}
	c.emit(Refuse{Call: call.id, RetryAfter: min(retryAfter, c.settings.MaxRetryAfter)})
}

// answered takes an attempt off its server's list.
func (c *Controller) detachAttempt(call *callState) *attempt {
	a := call.pending
	if a == nil {
		return nil
	}
	call.pending = nil
	a.server.pending = slices.DeleteFunc(a.server.pending, func(other *attempt) bool { return other == a })
	return a
}

func (c *Controller) handleEstablished(ev Established) {
	call := c.calls[ev.Call]
	if call == nil {
		return
	}
	delete(c.calls, ev.Call)
	a := c.detachAttempt(call)
	if a == nil {
		return
	}
	s := a.server
	if !c.isCold(s) {
		c.established.add(c.now)
	}
	s.established.add(c.now)
	s.failureWeight = 0
	if s.minSetUpTime == 0 || ev.SetUpTime < s.minSetUpTime {
		s.minSetUpTime = ev.SetUpTime
	}
	s.answerDelay, s.answerDelayAt = max(ev.SetUpTime-s.maxRoundTrip(), 0), c.now
	if s.blocked && a.trial {
		s.blocked, s.trialPending, s.reportedShare = false, false, 0
	}
	for _, other := range s.pending {
		if other.sentAt+c.intervals(overtakeMargin) < a.sentAt {
			c.presumeLost(other)
		}
	}
}

// callerGone ends a call. Its attempt counts as unanswered until its own end is told.
func (c *Controller) handleCallerGone(id CallID) {
	call := c.calls[id]
	if call == nil {
		return
	}
	if call.callerLeft = true; call.pending == nil {
		delete(c.calls, id)
	}
}

func (c *Controller) handleOutcome(ev Outcome) {
	call := c.calls[ev.Call]
	if s := c.byID[ev.Server]; s != nil {
		c.applyReport(s, ev.Report)
		switch {
		case ev.Cause == CauseFull && ev.Refusal == RefusalProcessor, ev.Cause == CauseUnreachable:
			c.block(s, ev.Wait)
		case ev.Cause == CauseFull:
			if s.lineShortUntil = c.now + lineShortageHold; s.totalLines > 0 { // else no report will tell of a free line
				s.lineShare = 1
			}
		}
	}
	if call == nil {
		if s := c.byID[ev.Server]; s != nil && ev.Cause != CauseFull { // a call that stood is over
			s.reusableLines = min(s.reusableLines+1, max(lowLineShare*s.totalLines, 1+reservedLines))
		}
		return
	}
	a := c.detachAttempt(call)
	if a != nil && a.trial {
		a.server.trialPending = false
	}
	if ev.Final || call.callerLeft {
		delete(c.calls, ev.Call)
		return
	}
	switch ev.Cause {
	case CauseBusy:
		call.mayHaveRun = true
		if ev.Refusal == RefusalNumber {
			c.markNumberBusy(call.number)
			c.refuse(call, c.settings.MaxRetryAfter)
			return
		}
		if a != nil {
			c.recordFailure(a.server, 1)
		}
		c.retry(call)
	case CauseFull, CauseUnreachable, CauseNotSent:
		c.retry(call)
	case CauseReset, CauseCancelled:
		call.mayHaveRun = true
		call.notBefore = c.now + c.settings.ReleaseGuard
		c.retry(call)
	default:
		call.mayHaveRun = true
		delete(c.calls, call.id)
		c.emit(Fail{Call: call.id})
	}
}

// again makes a further attempt, now or when the release guard has passed. A call is held only if it has so
// much time left that a stall of this proxy does not lose it: while it is held nothing else answers it.
func (c *Controller) retry(call *callState) {
	reserve := min(c.intervals(stallReserve), time.Duration(maxStallReserve*float64(call.class.Aim)))
	if call.attempts >= call.maxAttempts || call.mayHaveRun && call.class.Retry != RetryAlways ||
		call.notBefore > c.now && call.notBefore > call.answerBy-reserve {
		c.refuse(call, c.retryAfterHint)
		return
	}
	if call.notBefore > c.now {
		c.emit(SetTimer{Token: uint32(call.id), At: call.notBefore})
		return
	}
	c.route(call)
}

// atEase says whether a server has reported of late that it is not pressed.
func (c *Controller) reportedIdle(s *server) bool {
	return s.reportedShare < windowMinShare && c.now < s.shareExpiry-c.intervals(reportLifetime-delayLifetime)
}

// wake looks after a call: the release guard has passed, or its attempt has been out for long.
func (c *Controller) handleTimer(id CallID) {
	call := c.calls[id]
	switch {
	case call == nil:
	case call.pending == nil:
		if c.now >= call.notBefore {
			c.retry(call)
		}
	case c.now >= call.pending.sentAt+c.intervals(assumeLossAfter):
		if call.pending.presumedLost = true; !c.reportedIdle(call.pending.server) { // it says that it is there: the way is at fault
			c.recordFailure(call.pending.server, unansweredWeight)
		}
	case c.now >= call.pending.sentAt+c.intervals(suspectLossAfter):
		call.pending.presumedLost = c.reportedIdle(call.pending.server)
		c.emit(SetTimer{Token: uint32(call.id), At: call.pending.sentAt + c.intervals(assumeLossAfter)})
	}
}
