package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Options are the parameters of a run that are not in the scenario.
type Options struct {
	Binary string // path of the softswitch program
	OutDir string // folder for the members file and each softswitch's configuration and log; created if missing
	Log    zerolog.Logger

	// SelfTestFault makes the lab mislead the fleet on purpose, so that tests can verify that the checker reports the
	// violations. "unheard drains": the checker records drains that the command channel does not publish. "weak cold
	// servers": the checker assumes that every server has a tenth of its capacity and is cold from the beginning,
	// while the command channel lists it as warm and it serves at its whole capacity.
	SelfTestFault string

	// Stop, once closed, ends the run early, but not before all softswitches are ready or their start has failed. Every
	// process and socket of the lab is closed then too, and Run returns ErrLab.
	Stop <-chan struct{}
}

// ErrLab is the error of a run that gives no result: the lab itself failed, a softswitch did not become ready at the
// start, or the run was stopped.
var ErrLab = errors.New("lab failed")

// runner executes one run: it holds the fleet and everything that the lab simulates around it.
type runner struct {
	scenario *Scenario
	options  Options
	// mu guards checker, tierChecker, unsent, injectedFaults, readyBySecond, viewsBySecond, lagSpans and the members'
	// underMaintenance, and startedAt while the run starts.
	mu             sync.Mutex
	checker        *Checker
	tierChecker    *TierChecker
	finished       chan struct{}             // closed at the end of the run
	startedAt      time.Time                 // the load's start; before it, the start of the lab
	members        []*member                 // by index
	servers        map[string]*standInServer // by name
	serverOrder    []string                  // names, in the order of the scenario
	commandChannel *commandChannel
	membersFile    string // path of the members file that all softswitches read
	relay          *Relay
	baseSettings   json.RawMessage // the settings object that memberSettings completes for each softswitch
	unsent         int             // set-ups for which no softswitch could be reached
	injectedFaults []InjectedFault
	readyBySecond  [][]bool                                   // by second, by softswitch
	viewsBySecond  [][]string                                 // by second, by softswitch: its view at the second's last sample, as initials
	maxLag         time.Duration                              // greatest lag of the load generator
	lagSpans       int                                        // ticks of the load generator whose lag was above the scenario's MaxLag
	callIDs        *rand.Rand                                 // draws the calls' ids; used by the load generator only
	background     sync.WaitGroup                             // the operator's work under way
	pickPort       func(network, host string) (string, error) // returns an address with a free port; tests replace it
	// callerConns has up to Scenario.CallerConns connections for each softswitch; an entry may be nil.
	callerConns [][]*callerConn
	connMu      sync.Mutex // guards callerConns
}

// Streams of random numbers of a run, beside its seed. That of the softswitches' seeds is the first of one for each softswitch.
const (
	callIDStream     = 0x63616c6c
	memberSeedStream = 0x73656564
)

// now returns the time since the start of the run.
func (r *runner) now() time.Duration { return time.Since(r.startedAt) }

// Run executes a scenario against real processes of the program. The error wraps ErrLab, unless the
// scenario's settings are invalid. A fleet that violated a rule gives a Result that has not passed.
func Run(scenario *Scenario, options Options) (*Result, error) {
	settings := scenario.Settings
	if settings == "" {
		settings = DefaultSettings
	}
	rules, err := parseRules([]byte(settings))
	if err != nil {
		return nil, err
	}
	return newRunner(scenario, options, rules, settings).run()
}

// newRunner makes a runner without starting anything.
func newRunner(scenario *Scenario, options Options, rules Rules, settings string) *runner {
	return &runner{scenario: scenario, options: options, checker: NewChecker(rules),
		servers: make(map[string]*standInServer), baseSettings: json.RawMessage(settings),
		tierChecker: NewTierChecker(scenario.Softswitches), finished: make(chan struct{}),
		pickPort: freePort, callIDs: rand.New(rand.NewPCG(scenario.Seed, callIDStream))}
}

// run starts the environment, executes the scenario and tears the environment down.
func (r *runner) run() (*Result, error) {
	if err := os.MkdirAll(r.options.OutDir, 0o755); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	r.startedAt = time.Now()
	defer r.teardown()
	if err := r.startFleetAndEnvironment(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	if err := r.executeScenario(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	return r.collectResult(), nil
}

// executeScenario runs the load, the faults and the samples until the end of the run, and then the checks of the final state.
func (r *runner) executeScenario() error {
	r.mu.Lock()
	r.startedAt = time.Now()
	r.mu.Unlock()
	r.callerConns = make([][]*callerConn, len(r.members))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); r.sampleMembers(stop) }()
	go func() { defer wg.Done(); r.executePlan(stop) }()
	r.generateLoad()
	select {
	case <-time.After(max(r.scenario.QuietPeriod.Duration+r.scenario.GiveUp.Duration,
		r.scenario.lastFaultEnd()+r.scenario.ConvergenceTime.Duration-r.now())):
	case <-r.options.Stop:
	}
	close(stop)
	close(r.finished)
	wg.Wait()
	r.background.Wait()
	select {
	case <-r.options.Stop:
		return errors.New("stopped before the end of the run")
	default:
	}
	for _, m := range r.members {
		m.pollAdminEndpoint()
	}
	r.mu.Lock()
	r.checker.CheckOpen(r.now())
	r.mu.Unlock()
	if r.scenario.ConvergenceTime.Duration > 0 {
		r.readViews()
		r.mu.Lock()
		r.tierChecker.CheckConvergence(r.now(), func(index int) bool { return r.members[index].running() })
		r.tierChecker.CheckMaintained(r.now(), r.scenario.memberIndexes(r.scenario.ExpectMaintained))
		r.mu.Unlock()
	}
	return nil
}
