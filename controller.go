package elmseam

// The controller: its state, its settings and the dispatch of events. Settings, events and actions are
// declared in api.go.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"elmseam/internal/shares"
)

// Controller decides for one softswitch which server gets which call set-up.
type Controller struct {
	settings            Settings
	servers             []*server // in the order in which the list first named them
	serversByID         map[ServerID]*server
	removedServers      []removedServer // servers removed last, oldest first
	calls               map[CallID]*callState
	actions             []Action        // actions of the event in progress
	now                 Time            // time of the event in progress
	minClassWorth       float64         // least worth of a class
	retryAfterHint      time.Duration   // hint for the callers of refused calls
	usualTimesLeft      []usualTimeLeft // by class
	busyNumbers         [maxBusyNumbers]busyNumber
	nextBusyNumber      int             // index of the busy number to replace next
	tenantTracker       *shares.Tracker // finds the calls beyond their tenant's share
	startedAt           Time            // time of the first event, moved back by a first tier report
	establishedCounter  decayingCounter // calls established at warm servers
	offeredCounter      decayingCounter // calls that arrived
	meanLines           float64         // mean lines of the servers that report lines; 1 if none does
	lineSecondsAt       Time            // time of the last update of lineSeconds and ratePerLine
	lineSeconds         float64         // seconds of all lines of warm servers, decayed like the counters
	ratePerLine         float64         // established calls per second for each line of a warm server
	rng                 *rand.Rand      // draws the phases of budgets
	subscribeAt         Time            // no Subscribe action before this time
	subscribed          bool            // a Subscribe action was emitted and has not failed
	coldQuotaFraction   float64         // fraction that is used of the own quota of a cold server's budget
	importedRateShare   float64         // share of the rates not from own calls, at importedRateShareAt
	importedRateShareAt Time            // time at which importedRateShare was set
}

// New makes a controller. The seed sets the phases of its budgets, so that the budgets of many
// softswitches are not in step.
func New(settings Settings, seed uint64) (*Controller, error) {
	c := &Controller{
		rng: rand.New(rand.NewPCG(seed, 0)), coldQuotaFraction: 1,
		serversByID:   make(map[ServerID]*server),
		calls:         make(map[CallID]*callState),
		tenantTracker: shares.New(rateTimeConstant * Time(time.Second)),
	}
	if err := c.Configure(settings); err != nil {
		return nil, err
	}
	return c, nil
}

// Configure replaces the settings and keeps what is known of servers and calls; only the usual times left
// are learned again. Invalid settings change nothing. The classes of the previous settings must keep their
// indexes.
func (c *Controller) Configure(settings Settings) error {
	if err := checkSettings(&settings); err != nil {
		return fmt.Errorf("elmseam: settings: %w", err)
	}
	c.settings = settings
	c.tenantTracker.Configure(settings.Tenants)
	c.usualTimesLeft = make([]usualTimeLeft, len(settings.Classes))
	c.minClassWorth = settings.Classes[0].Worth
	leastAim := settings.Classes[0].Aim
	for _, class := range settings.Classes {
		c.minClassWorth, leastAim = min(c.minClassWorth, class.Worth), min(leastAim, class.Aim)
	}
	c.retryAfterHint = time.Duration(retryAfterShare * float64(leastAim))
	return nil
}

// Handle processes one event, appends the resulting actions to out and returns it.
func (c *Controller) Handle(now Time, ev Event, out []Action) []Action {
	c.now, c.actions = now, out
	if c.startedAt == 0 {
		c.startedAt, c.lineSecondsAt = now, now
	}
	c.requestServerList()
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
		if s := c.serversByID[ev.Server]; s != nil {
			c.applyReport(s, ev.Report)
		}
	}
	out, c.actions = c.actions, nil
	return out
}

// emit appends an action to the actions of the event in progress.
func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }
