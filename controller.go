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
	reportLapse   = 10.0                   // gaps after which a report is forgotten (draft 4.5: 5 s)
	fullHold      = 2.0                    // after 'processor full' no report that may be older lifts the cut
	waitLow       = 0.1                    // part of the gap up to which a wait asks for no cut
	waitSpan      = 0.8                    // each further such part leaves 1/e: steady at reports delays
	scarceLines   = 0.02                   // part of its lines free below which a server is spared
	fewLines      = 0.08                   // part of its lines free below which each sender reuses its own
	shortHold     = time.Second            // a server that had no line counts as short of them for so long
	keptLines     = 1.0                    // freed lines kept for calls of great worth
	rateNeeded    = 0.5                    // part of its best told rate that a server needs
	silence       = 0.3                    // part of the gap that a set-up may be unanswered before the next
	doubtful      = 0.6                    // gaps without an answer, reports of ease meanwhile: a loss
	hopeless      = 2.0                    // gaps without an answer after which a set-up is held for lost
	overtaken     = 0.2                    // gaps by which an answered set-up must be later to tell of a loss
	maxVotes      = 20                     // tries of another length in a row that make it the usual one
	failLimit     = 8                      // weight of bad endings in a row for a full cut; an error is 1
	silenceWeight = 4                      // of a set-up that stays unanswered
	busyHold      = 4.0                    // gaps for which calls to a number found busy are refused
	busyNumbers   = 8                      // numbers kept as busy
	windowed      = 0.1                    // share over which a server also has a window
	defaultGap    = 500 * time.Millisecond // stands in for the resend gap where there is none
	lagFresh      = 2.0                    // gaps for which an observed answer delay tells of the present
	wayVaries     = 1.5                    // times the shortest that the way there and back may take
	lagKeep       = 3                      // and for so many times the delay itself: slow ones jam easily
	rateMemory    = 15.0                   // s, memory of the own rate
	minMemory     = 3.0                    // s, least time over which a rate is taken
	coldSafety    = 0.9                    // part of the tipping multiple that cold servers may get
	coldBurst     = 2.0                    // set-ups that may go to a cold server at once
	divertPart    = 0.5                    // times its part of the set-ups that a server may get diverted
	easePart      = 3.0                    // times as many where a live report tells of ease
	easeShare     = 0.25                   // the less of it the nearer the share asked for comes to this
	trialShare    = 0.5                    // share over which a lapse is followed by a trial
	trialPart     = 0.25                   // part of its part that a server gets as trials after a full cut
	savedGaps     = 4.0                    // gaps for which a budget of less than a set-up is kept
	coldGaps      = 3.0                    // the same for a cold server
	divertBurst   = 3.0                    // diverted set-ups at once
	maxCredit     = 3.0                    // set-ups a server's thinning remainder may save up
	lowCredit     = 2.0                    // remainder that a call of little worth needs
	highDebt      = -3.0                   // remainder down to which a call of great worth may go
	greatWorth    = 2.0                    // times the least worth of a class that make great worth
	greatWindow   = 3.0                    // times the limit on unanswered set-ups that holds for such a call
	offeredPart   = 0.25                   // of the calls that came: the least taken for what servers take
	retryPart     = 0.25                   // of the least aim: a redial after it can still stand in time
	answerMargin  = 5 * time.Millisecond   // final answers go out this long before the caller's time is up
	stallRoom     = 4.0                    // gaps that a held call must have left: a proxy may stall
	stallAims     = 2.0                    // but no more than so many aims, where the gap is long
	pastKept      = time.Minute            // what a server that has gone was is known for so long
	pastServers   = 8                      // and of so many
	resubscribe   = time.Second            // gap between requests for the list after one failed
)

// server is what this edge proxy knows of a core server.
type server struct {
	id      ServerID
	cell    int
	phase   Phase
	started Time

	told   float64 // hold-back share last told
	own    float64 // and here, not to others of the tier
	ownAt  Time
	lapse  Time    // when that is forgotten
	full   bool    // the cut is a full one: when it lapses, a trial comes first
	fullAt Time    // when it began
	trial  bool    // the trial is out
	lines  float64 // hold-back share that its free lines ask for
	free   float64 // its free lines when last told, less what was sent since
	short  Time    // until then it is held for short of lines: it has turned a call away for want of one
	freed  float64 // lines that calls from here have freed and none has taken again
	spare  bucket  // budget of tries beside those
	credit float64 // thinning remainder: one passes a set-up

	floor time.Duration // shortest set-up time seen: the way there and back
	lag   time.Duration // last set-up's time beyond that
	lagAt Time
	out   []*attempt // unanswered, oldest first

	stands counter // calls from here that stood
	took   float64 // such calls a second, the most before it started anew
	faults int     // weight of the bad endings in a row
	errs   bool    // its cut is for errors: it answers, and not every call fails

	topRate float64 // highest rate told
	size    float64 // lines in all, 0: not told
	most    float64 // the most that it has had: its processor is still there for those
	cold    bucket  // budget while cold
	allot   float64 // what the tier allots of that budget; negative: nothing, the own part counts
	divert  bucket  // budget of diverted calls
	trials  bucket  // budget of trials after a full cut
}

// past is what a server was that has gone: it may come back.
type past struct {
	id         ServerID
	most, took float64
	floor      time.Duration
	at         Time
}

// attempt is a set-up that has not been answered.
type attempt struct {
	call    *call
	server  *server
	sent    Time
	trial   bool
	lost    bool // held for lost: no sign of a queue any more
	dropped bool // called off
}

// call is a call that this edge proxy owes an answer.
type call struct {
	id      CallID
	class   *Class
	number  uint64
	cell    int
	transit bool
	low     bool // worth little
	end     Time // the final answer is out by then
	after   Time // not sent again before
	sends   int
	most    int  // attempts it may have, by the settings it came under
	mayRun  bool // an attempt may have run
	gone    bool // its caller has left
	cut     bool // it stood, was cut and comes again
	tried   []*server
	out     *attempt
}

// busyNumber is a number called whose lines were all busy, and until when that is believed.
type busyNumber struct {
	number uint64
	until  Time
}

// usualTry is the time that most tries of a class have before their caller gives up.
type usualTry struct {
	within time.Duration
	votes  int
}

// Controller decides for one edge proxy.
type Controller struct {
	set        Settings
	servers    []*server // as listed
	byID       map[ServerID]*server
	past       []past // the last to go, oldest first
	calls      map[CallID]*call
	out        []Action
	now        Time
	leastWorth float64
	hint       time.Duration // told with a refusal
	usual      []usualTry    // of each class
	busy       [busyNumbers]busyNumber
	busyAt     int             // next to be replaced
	mix        *shares.Tracker // of the tenants' calls
	born       Time            // first event
	stands     counter         // calls that stood at warm servers
	offered    counter         // calls that came
	meanLines  float64         // of the servers that tell their lines
	measured   Time
	lineTime   float64 // line seconds of warm servers, decayed
	perLine    float64 // set-ups a second that stand from here for each line of a warm server
	rng        *rand.Rand
	askAt      Time
	asked      bool
	careful    float64 // part of its own part of a cold server's budget that this sender takes
	foreign    float64 // share of its rates that is not of calls from here, when that changed
	foreignAt  Time
}

// New makes a controller. The seed sets the phases of its budgets: those of many senders are not in step.
func New(set Settings, seed uint64) (*Controller, error) {
	c := &Controller{
		rng: rand.New(rand.NewPCG(seed, 0)), careful: 1,
		byID:  make(map[ServerID]*server),
		calls: make(map[CallID]*call),
		mix:   shares.New(rateMemory * Time(time.Second)),
	}
	if err := c.Configure(set); err != nil {
		return nil, err
	}
	return c, nil
}

// Configure replaces the settings; what is known of servers and calls stays. Settings that make no sense
// change nothing. The classes there were keep their places.
func (c *Controller) Configure(set Settings) error {
	if err := check(&set); err != nil {
		return fmt.Errorf("elmseam: settings: %w", err)
	}
	c.set = set
	c.mix.Configure(set.Tenants)
	c.usual = make([]usualTry, len(set.Classes))
	c.leastWorth = set.Classes[0].Worth
	aim := set.Classes[0].Aim
	for _, class := range set.Classes {
		c.leastWorth, aim = min(c.leastWorth, class.Worth), min(aim, class.Aim)
	}
	c.hint = time.Duration(retryPart * float64(aim))
	return nil
}

// check names the first setting that makes no sense.
func check(set *Settings) error {
	if len(set.Classes) == 0 {
		return fmt.Errorf("Classes: no class")
	}
	for i, c := range set.Classes {
		switch {
		case c.Aim < 0:
			return fmt.Errorf("Classes[%d].Aim: negative time %v", i, c.Aim)
		case c.Deadline < 0:
			return fmt.Errorf("Classes[%d].Deadline: negative time %v", i, c.Deadline)
		}
	}
	switch {
	case set.MaxRetryAfter < 0:
		return fmt.Errorf("MaxRetryAfter: negative time %v", set.MaxRetryAfter)
	case set.RetransmitInterval < 0:
		return fmt.Errorf("ResendGap: negative time %v", set.RetransmitInterval)
	case set.ReleaseGuard < 0:
		return fmt.Errorf("ReleaseGuard: negative time %v", set.ReleaseGuard)
	case set.OverloadAfter < 0:
		return fmt.Errorf("TipAfter: negative time %v", set.OverloadAfter)
	case set.ColdRamp < 0:
		return fmt.Errorf("ColdRamp: negative time %v", set.ColdRamp)
	case !(set.ColdInitialShare >= 0 && set.ColdInitialShare <= 1):
		return fmt.Errorf("ColdFrom: %v is no share", set.ColdInitialShare)
	case !(set.OverloadMultiple >= 0):
		return fmt.Errorf("TipMultiple: %v is negative", set.OverloadMultiple)
	}
	for _, f := range set.ReportMetrics {
		if f != LoadMetricUnknown {
			return nil
		}
	}
	if len(set.ReportMetrics) > 0 {
		return fmt.Errorf("Report: no known figure among %d", len(set.ReportMetrics))
	}
	return nil
}

// Handle takes in one event and appends what is to be done to out.
func (c *Controller) Handle(now Time, ev Event, out []Action) []Action {
	c.now, c.out = now, out
	if c.born == 0 {
		c.born, c.measured = now, now
	}
	c.follow()
	switch ev := ev.(type) {
	case ListFull:
		c.listFull(ev)
	case ListDelta:
		for _, e := range ev.Entries {
			c.listEntry(e)
		}
		c.forget()
	case ListFailed:
		c.asked, c.askAt = false, now+resubscribe
	case Arrival:
		c.arrive(ev)
	case Established:
		c.standing(ev)
	case Outcome:
		c.outcome(ev)
	case CallerGone:
		c.callerGone(ev.Call)
	case TimerFired:
		c.wake(CallID(ev.Token))
	case Health:
		if s := c.byID[ev.Server]; s != nil {
			c.report(s, ev.Report)
		}
	}
	out, c.out = c.out, nil
	return out
}

func (c *Controller) do(a Action) { c.out = append(c.out, a) }

// follow subscribes to the list where it has to be asked for.
func (c *Controller) follow() {
	if c.set.ListOnRequest && !c.asked && c.now >= c.askAt {
		c.asked = true
		c.do(Subscribe{})
	}
}

func (c *Controller) listFull(ev ListFull) {
	for _, s := range c.servers {
		s.phase = Gone
	}
	for _, e := range ev.Entries {
		c.listEntry(e)
	}
	c.forget()
}

// forget drops servers that are gone and have nothing out, so that replacements do not pile up.
func (c *Controller) forget() {
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		over := s.phase == Gone && len(s.out) == 0
		if over {
			delete(c.byID, s.id)
			c.past = append(c.past, past{s.id, s.most, c.tookBy(s), s.floor, c.now})
		}
		return over
	})
	c.past = slices.DeleteFunc(c.past, func(p past) bool { return c.now > p.at+pastKept })
	c.past = c.past[max(len(c.past)-pastServers, 0):]
}

// tookBy is what a server takes from here, or took before it started anew: as it was when it last
// answered, for one that starts anew has been dead for a while.
func (c *Controller) tookBy(s *server) float64 { return max(s.took, c.rateAt(s.stands, s.stands.at)) }

// newServer is a server that the list names; of one that comes back some things are known.
func (c *Controller) newServer(id ServerID) *server {
	s := &server{id: id, allot: -1}
	for _, p := range c.past {
		if p.id == id {
			s.most, s.took, s.floor = p.most, p.took, p.floor
		}
	}
	return s
}

// listEntry takes in what the list says of one server. One that started anew has a clean slate.
func (c *Controller) listEntry(e ListEntry) {
	s := c.byID[e.Server]
	if s == nil {
		s = c.newServer(e.Server)
		c.byID[e.Server] = s
		c.servers = append(c.servers, s)
	} else if s.started != e.Started {
		*s = server{id: s.id, allot: -1, out: s.out, floor: s.floor, most: s.most, took: c.tookBy(s)}
	}
	s.cell, s.phase, s.started = e.Cell, e.Phase, e.Started
	if s.cold.at == 0 { // from the telling on, or what came due before would go out at once
		s.cold, s.divert = bucket{c.rng.Float64(), c.now}, bucket{c.rng.Float64(), c.now}
	}
}

// report replaces the state of a server by what a load report tells.
func (c *Controller) report(s *server, r Report) {
	c.freeLines(s, r)
	share, known := c.shareTold(s, r)
	if !known || s.full && c.now < s.fullAt+c.gaps(fullHold) {
		return
	}
	s.told, s.lapse, s.full, s.trial = share, c.now+c.gaps(reportLapse), false, false
	s.own, s.ownAt = share, c.now
}

// ApplyTierReport takes in what others of the tier have seen of a server. A report that came to them after
// the last one here stands for one, but lifts no full cut. One that fails for them is cut at its next bad
// ending here. A sender just back begins with the rates that they have; no budget while cold grows by that,
// see coldPart.
func (c *Controller) ApplyTierReport(now Time, id ServerID, l TierReport) {
	s := c.byID[id]
	if s == nil {
		return
	}
	if lapse := l.ShareAt + c.gaps(reportLapse); l.ShareAt > 0 && lapse > s.lapse && !s.full {
		s.told, s.lapse = l.Share, lapse
	}
	if l.Failing {
		s.faults = max(s.faults, failLimit-1)
	}
	if s.floor == 0 {
		s.floor = l.RoundTrip
	}
	if (c.young(now) || c.foreign > 0) && s.stands.count == 0 && l.Rate > 0 {
		if c.foreign == 0 { // as if it had counted for so long
			c.born, c.measured = c.born-minMemory*Time(time.Second), c.measured-minMemory*Time(time.Second)
		}
		n := l.Rate * rateMemory * (1 - decay(minMemory))
		s.stands, c.stands = counter{n, now}, counter{c.stands.now(now) + n, now}
		c.foreign, c.foreignAt = 1-offeredPart, now
	}
}

// freeLines takes in how many lines a server has left, which it tells by itself at short intervals.
// It guards against a server that has processor to spare and turns all away for want of lines.
func (c *Controller) freeLines(s *server, r Report) {
	free, all := -1.0, -1.0
	for i, f := range c.set.ReportMetrics {
		switch {
		case i >= len(r):
		case f == LoadMetricFreeLines:
			free = r[i]
		case f == LoadMetricTotalLines:
			all = r[i]
		}
	}
	if free >= 0 && all > 0 {
		s.size, s.most, s.free = all, max(s.most, all), free
		s.lines = max(0, 1-free/(scarceLines*all))
	}
}

// shareTold is the one map from told figures to a hold-back share: the most that any of them asks for.
// A rate is for all senders, and this one's part of it is not known: streams differ and peers die. It is
// set against the highest rate that the server has told, of which it needs some part for what is offered.
func (c *Controller) shareTold(s *server, r Report) (share float64, known bool) {
	for i, f := range c.set.ReportMetrics {
		if i >= len(r) || !(r[i] >= 0) {
			continue
		}
		asked := 0.0
		switch f {
		case LoadMetricHoldBackShare:
			asked = r[i]
		case LoadMetricWait:
			asked = c.shareOfWait(time.Duration(r[i] * float64(time.Millisecond)))
		case LoadMetricRate:
			s.topRate = max(s.topRate, r[i])
			asked = 1 - r[i]/max(rateNeeded*s.topRate, 1e-9)
		default:
			continue
		}
		share, known = min(max(share, asked), 1), true
	}
	return share, known
}

// shareOfWait is the share to hold back at a given wait.
func (c *Controller) shareOfWait(wait time.Duration) float64 {
	parts := float64(wait) / float64(c.gaps(1))
	return 1 - math.Exp(-max(parts-waitLow, 0)/waitSpan)
}

// gaps is so many resend gaps.
func (c *Controller) gaps(n float64) time.Duration {
	gap := c.set.RetransmitInterval
	if gap <= 0 {
		gap = defaultGap
	}
	return time.Duration(n * float64(gap))
}

// cut makes a full cut of a server.
func (c *Controller) cut(s *server, wait time.Duration) {
	if most := c.gaps(reportLapse); wait <= 0 || wait > most {
		wait = most
	}
	c.tryAfter(s)
	s.told, s.fullAt, s.lapse, s.trial, s.errs = 1, c.now, c.now+wait, false, false
}

// tryAfter makes a cut one that trials follow when it lapses.
func (c *Controller) tryAfter(s *server) {
	if !s.full {
		s.full, s.errs, s.trials = true, false, bucket{c.rng.Float64(), c.now}
	}
}

// way is the time that a set-up may take that meets no queue.
func (s *server) way() time.Duration { return time.Duration(wayVaries * float64(s.floor)) }

// lagNow is how late a server's answers are: the last set-up's delay, or what the oldest
// unanswered one has waited by now.
func (s *server) lagNow(now Time, fresh time.Duration) time.Duration {
	var lag time.Duration
	if now < s.lagAt+fresh+lagKeep*s.lag {
		lag = s.lag
	}
	for _, a := range s.out {
		if !a.lost {
			return max(lag, now-a.sent-s.way())
		}
	}
	return lag
}

// share is the share of new set-ups to hold back from a server now, of ordinary calls.
func (c *Controller) share(s *server) float64 {
	p := c.reported(s)
	if p < 1 && c.unanswered(s, c.pressed(s, p), 1) {
		return 1
	}
	return p
}

// reported is the share that live reports and observed delays of a server ask for. A full cut that has lapsed
// is over for one set-up, the trial, when the budget of trials has room. A share over a half lapses likewise:
// a jammed server ends no calls and so reports nothing, and all senders would come back with whole calls.
func (c *Controller) reported(s *server) float64 {
	if c.now >= s.lapse && s.told > trialShare {
		c.tryAfter(s)
	}
	if s.full {
		if c.now < s.lapse || s.trial || !s.trials.refill(c.now, trialPart*c.partOf(s), 1) {
			return 1
		}
		return 0
	}
	p := max(s.lines, c.shareOfWait(s.lagNow(c.now, c.gaps(lagFresh))))
	if c.now < s.lapse {
		p = max(p, s.told)
	}
	return p
}

// pressed says whether a server has a window now: where it asks to hold back, and for a while after its
// processor was full. A report of ease lifts that cut, and all that comes would fill its queue again at once.
func (c *Controller) pressed(s *server, p float64) bool {
	return p > windowed || s.fullAt > 0 && c.now < s.fullAt+c.gaps(reportLapse)
}

// unanswered says whether a server leaves this sender's set-ups without an answer so that no other may
// follow for now: the oldest for too long, or of a pressed one more than it answers in that time. Senders
// so clock themselves by the answers, whatever the redials that a share lets pass, and none piles up at a
// server that is slow, hung, jammed or gone. What is on its way there and back is not held against a server:
// that way may be as long as the limit. It could harm where ways are more uneven than queues.
// Calls of great worth have a wider limit.
func (c *Controller) unanswered(s *server, pressed bool, wider float64) bool {
	limit := c.gaps(silence * wider)
	n := 0
	for _, a := range s.out {
		if a.lost {
			continue
		}
		if n++; c.now-a.sent-s.way() > limit {
			return true
		}
	}
	return pressed && float64(n) >= max(wider, c.rate(s.stands)*(limit+s.way()).Seconds())
}

// usable says whether a call may go to a server at all.
func (c *Controller) usable(s *server, k *call) bool {
	if s.phase != Ready || s.cell == c.set.OwnCell && c.set.OwnCell >= 0 {
		return false
	}
	if k.transit && s.cell != k.cell {
		return false
	}
	if slices.Contains(k.tried, s) {
		return false
	}
	return len(k.class.Cells) == 0 || c.set.OwnCell >= 0 || slices.Contains(k.class.Cells, s.cell)
}

// route sends a call, or refuses it: also when its time is all but up, as after a stall of this proxy, where
// each send would come back as not sent until the answer is late.
func (c *Controller) route(k *call) {
	if c.now >= k.end {
		c.refuse(k, c.hint)
		return
	}
	c.measure()
	s := c.pick(k)
	if s == nil {
		s = c.lastResort(k)
	}
	if s == nil {
		c.refuse(k, c.hint)
		return
	}
	c.send(k, s)
}

// lastResort is a server that is cut for its errors, for a call that would be refused. Errors come at once:
// they cost a call less than a refusal does, and a server seldom fails every call.
func (c *Controller) lastResort(k *call) *server {
	for _, s := range c.servers {
		if s.full && s.errs && !k.low && k.class.Retry == RetryAlways && c.usable(s, k) && c.coldPasses(s) &&
			c.linePasses(s, k) && !c.unanswered(s, true, 1) {
			return s
		}
	}
	return nil
}

// pick chooses the server: the first choice if it can be had and its thinning lets the call pass, else the
// least pressed of the others with room for diverted calls. That is one without a live report; where none
// is left, the call may still pass the thinning of the least pressed. A call of great worth whose first
// choice is pressed goes to the least pressed at once: to pass into a queue that loses callers is no favour.
func (c *Controller) pick(k *call) *server {
	var primary, best *server
	for _, s := range c.servers {
		switch {
		case !c.usable(s, k) || !c.coldPasses(s) || !c.linePasses(s, k):
		case s.cell == k.cell && primary == nil && !(c.great(k) && c.reported(s) > windowed):
			primary = s
		case c.divertPasses(s, k) && (best == nil || c.less(s, best)):
			best = s
		}
	}
	switch {
	case primary != nil && c.passes(primary, k):
		return primary
	case best != nil && c.passes(best, k):
		best.divert.tokens = max(best.divert.tokens-1, -divertBurst)
		return best
	}
	return nil
}

// less says whether a is less pressed than b: by the share to hold back, then by what is out for its size.
func (c *Controller) less(a, b *server) bool {
	if p, q := c.share(a), c.share(b); p != q {
		return p < q
	}
	return float64(len(a.out)+1)*c.linesOf(b) < float64(len(b.out)+1)*c.linesOf(a)
}

// passes thins by a running remainder, calls of little worth first and those of great worth last: these
// overdraw the remainder and wait for no answers, and the ordinary ones make up for it.
func (c *Controller) passes(s *server, k *call) bool {
	p, need := c.share(s), 1.0
	switch {
	case k.low:
		need = lowCredit
	case c.great(k):
		need = highDebt
		if p = c.reported(s); p < 1 && c.unanswered(s, c.pressed(s, p), greatWindow) {
			return false
		}
	}
	if p <= 0 {
		return true
	}
	if p >= 1 {
		return false
	}
	if s.credit = min(s.credit+1-p, maxCredit); s.credit < need {
		return false
	}
	s.credit--
	return true
}

// great says whether a call is worth far more than the least of the classes, or was cut and comes again.
func (c *Controller) great(k *call) bool {
	return !k.low && (k.cut || k.class.Worth > greatWorth*c.leastWorth)
}

// isCold says whether a server has started so recently that it may not be warm.
func (c *Controller) isCold(s *server) bool {
	return s.started > 0 && c.now < s.started+c.set.ColdRamp
}

// coldPasses says whether a cold server has room in this sender's budget: this sender's part of what
// a warm server of its size takes, times what is surely warm of it, times a part of the multiple that
// tips it over. If every sender keeps to its own part, all together do. The budget of one among many is a
// small part of a set-up, so it starts at a random phase: else the first ones of all would come at once.
func (c *Controller) coldPasses(s *server) bool {
	if !c.isCold(s) {
		return true
	}
	part := s.allot
	if part < 0 {
		part = c.careful * c.coldPart(s)
	}
	return s.cold.spread(c.now, c.coldTimes(s, c.now)*part, coldBurst, c.gaps(coldGaps))
}

// coldTimes is how many set-ups a cold server may get for each that it takes when warm.
func (c *Controller) coldTimes(s *server, now Time) float64 {
	warm := c.set.ColdInitialShare + (1-c.set.ColdInitialShare)*float64(now-s.started)/float64(c.set.ColdRamp)
	return coldSafety * c.set.OverloadMultiple * warm
}

// coldPart is this sender's own part of a cold server, as set-ups a second of a warm one: what it took before
// it started anew, as lines say little of a processor.
func (c *Controller) coldPart(s *server) float64 {
	if s.took > 0 {
		return s.took
	}
	return c.partOf(s) * (1 - c.foreignNow(c.now))
}

// linePasses says whether a server has a line for one more call. Where few are free, all senders hear of the
// same ones and race for them, and each that loses costs the processor a look. So a sender then uses the
// lines again that its own calls have freed, the last of them for calls of great worth, and tries for others
// the less the fewer they are: one just back has none of its own.
func (c *Controller) linePasses(s *server, k *call) bool {
	few := s.free / max(fewLines*s.size, 1)
	if c.now >= s.short || few >= 1 {
		return true
	}
	if s.freed >= 1 && c.great(k) || s.freed >= 1+keptLines {
		return true
	}
	return s.spare.refill(c.now, few*few*c.partOf(s), 1) && s.free >= 1
}

// divertPasses says whether a server has room for one more diverted call. Reports tell of a flood only when
// it has come: where a great server leaves, all that it had would fall on small ones and jam them for
// long. So a server gets diverted no more than what is its part by its lines. Calls of great worth overdraw
// that, but not by so much that the others are kept out for long.
func (c *Controller) divertPasses(s *server, k *call) bool {
	part := divertPart * c.partOf(s)
	if c.now < s.lapse {
		part *= 1 + (easePart-1)*max(1-c.reported(s)/easeShare, 0)
	}
	room := s.divert.spread(c.now, part, divertBurst, c.gaps(savedGaps))
	return room || c.great(k) || c.young(c.now) && c.foreign == 0 // one just back knows no rate
}

// young says whether this sender has just started, and has no rate of its own.
func (c *Controller) young(now Time) bool { return c.born == 0 || (now-c.born).Seconds() < minMemory }

// partOf is a server's part, by its lines, of the set-ups a second that warm servers take from here.
func (c *Controller) partOf(s *server) float64 { return c.perLine * c.linesOf(s) }

// linesOf is the size of a server as far as its processor goes: the mean of the others where it is not told.
func (c *Controller) linesOf(s *server) float64 {
	if s.most > 0 {
		return s.most
	}
	return c.meanLines
}

// measure brings the set-ups a second for each line up to date: what stood at warm servers over the time that
// their lines were there for it, both with the same memory. So servers that leave, few or many, change it by
// what they took themselves, and where none is left the last known holds. A part of the calls that came is
// the least: a sender just back, or one that nothing stood for of late, has to try somewhere.
func (c *Controller) measure() {
	told, n := 0.0, 0.0
	for _, s := range c.servers {
		if s.most > 0 {
			told, n = told+s.most, n+1
		}
	}
	if c.meanLines = 1; n > 0 {
		c.meanLines = told / n
	}
	lines, all, dt := 0.0, 1.0, (c.now - c.measured).Seconds()
	for _, s := range c.servers {
		if all += c.linesOf(s); s.phase == Ready && !c.isCold(s) {
			lines += c.linesOf(s)
		}
	}
	c.lineTime, c.measured = c.lineTime*decay(dt)+lines*min(dt, rateMemory), c.now
	c.perLine = max(c.stands.now(c.now), offeredPart*c.offered.now(c.now)) / max(c.lineTime, all*minMemory)
}

// rate is the rate a second of what a counter has counted.
func (c *Controller) rate(n counter) float64 { return c.rateAt(n, c.now) }

// rateAt is the rate as it was at a time after the last count.
func (c *Controller) rateAt(n counter, at Time) float64 {
	return n.now(at) / (rateMemory * (1 - decay(max((at-c.born).Seconds(), minMemory))))
}

func (c *Controller) send(k *call, s *server) {
	a := &attempt{call: k, server: s, sent: c.now}
	if s.full {
		a.trial, s.trial = true, true
		s.trials.tokens--
	}
	if c.isCold(s) {
		s.cold.tokens--
	}
	if s.free--; s.freed >= 1 {
		s.freed--
	} else {
		s.spare.tokens--
	}
	k.out, k.sends = a, k.sends+1
	k.tried = append(k.tried, s)
	s.out = append(s.out, a)
	c.do(Send{Call: k.id, Server: s.id})
	c.do(SetTimer{Token: uint32(k.id), At: c.now + c.gaps(doubtful)})
}

// giveUp calls off an attempt that a later one has overtaken: servers answer in order, so it or its answer
// was lost. The call goes on elsewhere if it can.
func (c *Controller) giveUp(a *attempt) {
	k := a.call
	if a.lost = true; !a.dropped && c.set.CanCancel && k.class.Retry == RetryAlways && !k.gone {
		a.dropped = true
		c.do(Cancel{Call: k.id, Attempt: k.sends - 1})
	}
}

// fault counts bad endings in a row with no call standing between them; enough of them make a full cut. A
// silence weighs more than an error: it costs its call the time in which an error is made good elsewhere.
// A server that fails all at once looks idle and would draw every call; one that is silent keeps its load.
func (c *Controller) fault(s *server, weight int) {
	if s.faults += weight; s.faults >= failLimit {
		errs := weight < silenceWeight && (s.errs || !s.full) // no error makes light of another cause
		c.cut(s, 0)
		s.errs = errs
	}
}

func (c *Controller) arrive(ev Arrival) {
	if ev.Class < 0 || ev.Class >= len(c.set.Classes) {
		ev.Class = 0
	}
	k := &call{
		id: ev.Call, class: &c.set.Classes[ev.Class], number: ev.Number, cell: ev.Cell, transit: ev.Transit,
		most: c.set.MaxAttempts, end: c.now + ev.TimeLeft - answerMargin,
	}
	c.offered.add(c.now)
	late, over := c.lateTry(ev), c.overShare(ev.Tenant)
	k.low, k.cut = late || over, ev.Interrupted
	c.calls[k.id] = k
	if c.numberBusy(k.number) {
		c.refuse(k, c.set.MaxRetryAfter)
		return
	}
	c.route(k)
}

// numberBusy says whether a number was found busy of late. A crowd on one number costs the servers a
// set-up for each try and all but a few fail; when the hold lapses the next call is the trial.
func (c *Controller) numberBusy(number uint64) bool {
	for i := range c.busy {
		if b := &c.busy[i]; number != 0 && b.number == number {
			return c.now < b.until
		}
	}
	return false
}

// holdNumber takes in that all lines of a number are busy.
func (c *Controller) holdNumber(number uint64) {
	for i := range c.busy {
		if c.busy[i].number == number {
			c.busy[i].until = c.now + c.gaps(busyHold)
			return
		}
	}
	c.busy[c.busyAt] = busyNumber{number, c.now + c.gaps(busyHold)}
	c.busyAt = (c.busyAt + 1) % len(c.busy)
}

// overShare says whether a call is one of those beyond its tenant's share, where these are worth little.
func (c *Controller) overShare(tenant int) bool {
	return c.set.OverShareWorth*greatWorth < 1 && c.mix.ExceedsShare(c.now, tenant)
}

// lateTry says whether a try is known to come after the aim has passed. Most tries have the time that
// callers usually give one (found by majority vote); another time is what is left of the deadline.
func (c *Controller) lateTry(ev Arrival) bool {
	u, class := &c.usual[ev.Class], &c.set.Classes[ev.Class]
	usual := ev.TimeLeft <= u.within+answerMargin && ev.TimeLeft >= u.within-answerMargin
	switch {
	case usual:
		u.votes = min(u.votes+1, maxVotes)
	case u.votes > 0:
		u.votes--
	default:
		u.within = ev.TimeLeft
	}
	return !usual && u.votes > 0 && class.Deadline-ev.TimeLeft > class.Aim
}

// refuse gives a call its final answer: refused, or failed where an attempt may have run.
func (c *Controller) refuse(k *call, retryAfter time.Duration) {
	delete(c.calls, k.id)
	if k.mayRun && k.class.Retry != RetryAlways {
		c.do(Fail{Call: k.id})
		return
	}
	c.do(Refuse{Call: k.id, RetryAfter: min(retryAfter, c.set.MaxRetryAfter)})
}

// answered takes an attempt off its server's list.
func (c *Controller) answered(k *call) *attempt {
	a := k.out
	if a == nil {
		return nil
	}
	k.out = nil
	a.server.out = slices.DeleteFunc(a.server.out, func(o *attempt) bool { return o == a })
	return a
}

func (c *Controller) standing(ev Established) {
	k := c.calls[ev.Call]
	if k == nil {
		return
	}
	delete(c.calls, ev.Call)
	a := c.answered(k)
	if a == nil {
		return
	}
	s := a.server
	if !c.isCold(s) {
		c.stands.add(c.now)
	}
	s.stands.add(c.now)
	s.faults = 0
	if s.floor == 0 || ev.SetUpTime < s.floor {
		s.floor = ev.SetUpTime
	}
	s.lag, s.lagAt = max(ev.SetUpTime-s.way(), 0), c.now
	if s.full && a.trial {
		s.full, s.trial, s.told = false, false, 0
	}
	for _, o := range s.out {
		if o.sent+c.gaps(overtaken) < a.sent {
			c.giveUp(o)
		}
	}
}

// callerGone ends a call. Its attempt counts as unanswered until its own end is told.
func (c *Controller) callerGone(id CallID) {
	k := c.calls[id]
	if k == nil {
		return
	}
	if k.gone = true; k.out == nil {
		delete(c.calls, id)
	}
}

func (c *Controller) outcome(ev Outcome) {
	k := c.calls[ev.Call]
	if s := c.byID[ev.Server]; s != nil {
		c.report(s, ev.Report)
		switch {
		case ev.Cause == CauseFull && ev.Refusal == RefusalProcessor, ev.Cause == CauseUnreachable:
			c.cut(s, ev.Wait)
		case ev.Cause == CauseFull:
			if s.short = c.now + shortHold; s.size > 0 { // else no report will tell of a free line
				s.lines = 1
			}
		}
	}
	if k == nil {
		if s := c.byID[ev.Server]; s != nil && ev.Cause != CauseFull { // a call that stood is over
			s.freed = min(s.freed+1, max(fewLines*s.size, 1+keptLines))
		}
		return
	}
	a := c.answered(k)
	if a != nil && a.trial {
		a.server.trial = false
	}
	if ev.Final || k.gone {
		delete(c.calls, ev.Call)
		return
	}
	switch ev.Cause {
	case CauseBusy:
		k.mayRun = true
		if ev.Refusal == RefusalNumber {
			c.holdNumber(k.number)
			c.refuse(k, c.set.MaxRetryAfter)
			return
		}
		if a != nil {
			c.fault(a.server, 1)
		}
		c.again(k)
	case CauseFull, CauseUnreachable, CauseNotSent:
		c.again(k)
	case CauseReset, CauseCancelled:
		k.mayRun = true
		k.after = c.now + c.set.ReleaseGuard
		c.again(k)
	default:
		k.mayRun = true
		delete(c.calls, k.id)
		c.do(Fail{Call: k.id})
	}
}

// again makes a further attempt, now or when the release guard has passed. A call is held only if it has so
// much time left that a stall of this proxy does not lose it: while it is held nothing else answers it.
func (c *Controller) again(k *call) {
	room := min(c.gaps(stallRoom), time.Duration(stallAims*float64(k.class.Aim)))
	if k.sends >= k.most || k.mayRun && k.class.Retry != RetryAlways ||
		k.after > c.now && k.after > k.end-room {
		c.refuse(k, c.hint)
		return
	}
	if k.after > c.now {
		c.do(SetTimer{Token: uint32(k.id), At: k.after})
		return
	}
	c.route(k)
}

// atEase says whether a server has reported of late that it is not pressed.
func (c *Controller) atEase(s *server) bool {
	return s.told < windowed && c.now < s.lapse-c.gaps(reportLapse-lagFresh)
}

// wake looks after a call: the release guard has passed, or its attempt has been out for long.
func (c *Controller) wake(id CallID) {
	k := c.calls[id]
	switch {
	case k == nil:
	case k.out == nil:
		if c.now >= k.after {
			c.again(k)
		}
	case c.now >= k.out.sent+c.gaps(hopeless):
		if k.out.lost = true; !c.atEase(k.out.server) { // it says that it is there: the way is at fault
			c.fault(k.out.server, silenceWeight)
		}
	case c.now >= k.out.sent+c.gaps(doubtful):
		k.out.lost = c.atEase(k.out.server)
		c.do(SetTimer{Token: uint32(k.id), At: k.out.sent + c.gaps(hopeless)})
	}
}
