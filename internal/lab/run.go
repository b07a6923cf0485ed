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

// Options are how a run is made, apart from the scenario.
type Options struct {
	Binary string // the softswitch program
	OutDir string // folder for the table, the verdict and each softswitch's configuration and log
	Log    zerolog.Logger

	// SelfTestFault makes the lab's own world lie, so that tests see the judge catch a fleet that was misled: "unheard
	// drains" tells the judge of a drain that the channel keeps back; "weak cold servers" holds a server to a tenth of
	// its capacity, cold from the beginning, at the judge, while the channel lists it warm and it serves at all of it.
	SelfTestFault string

	// Stop, where it is closed, ends the run early: every process and socket of the lab is closed all the same,
	// and Run returns ErrLab.
	Stop <-chan struct{}
}

// ErrLab is an error of the lab itself, not of the fleet.
var ErrLab = errors.New("lab failed")

// runner is one run: the world round the fleet.
type runner struct {
	scenario       *Scenario
	options        Options
	mu             sync.Mutex // over the judge and the counts
	checker        *Checker
	tierChecker    *TierChecker
	finished       chan struct{} // the run's faults and samples are over
	startedAt      time.Time
	members        []*member
	servers        map[string]*standInServer
	serverOrder    []string
	channel        *commandChannel
	membersFile    string // the softswitches' members file
	relay          *Relay
	settings       json.RawMessage
	unsent         int
	injectedFaults []InjectedFault
	readyBySecond  [][]bool
	viewsBySecond  [][]string // by second, by softswitch: its view's letters at the second's last sample
	maxLag         time.Duration
	lagSpans       int
	rand           *rand.Rand
	pickPort       func(network, host string) (string, error) // a free port; freePort but in tests
	callerConns    [][]*callerConn
	connMu         sync.Mutex
}

func (r *runner) now() time.Duration { return time.Since(r.startedAt) }

// Run plays a scenario against real processes of the program. The error is ErrLab's where the lab itself failed;
// a fleet that broke an invariant is a Result that has not held.
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

func newRunner(scenario *Scenario, options Options, rules Rules, settings string) *runner {
	return &runner{scenario: scenario, options: options, checker: NewChecker(rules), servers: make(map[string]*standInServer), settings: json.RawMessage(settings),
		tierChecker: NewTierChecker(scenario.Softswitches), finished: make(chan struct{}), pickPort: freePort, rand: rand.New(rand.NewPCG(scenario.Seed, 0x63616c6c))}
}

func (r *runner) run() (*Result, error) {
	if err := os.MkdirAll(r.options.OutDir, 0o755); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	r.startedAt = time.Now()
	defer r.teardown()
	if err := r.startAll(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	if err := r.execute(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	return r.result(), nil
}

// play drives the load, the faults and the samples until the end of the run.
func (r *runner) execute() error {
	r.mu.Lock()
	r.startedAt = time.Now()
	r.mu.Unlock()
	r.callerConns = make([][]*callerConn, len(r.members))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); r.sampleLoop(stop) }()
	go func() { defer wg.Done(); r.runFaults(stop) }()
	r.generateLoad()
	select {
	case <-time.After(max(r.scenario.QuietPeriod.Duration+r.scenario.GiveUp.Duration, r.scenario.lastFaultEnd()+r.scenario.ConvergenceTime.Duration-r.now())):
	case <-r.options.Stop:
	}
	close(stop)
	close(r.finished)
	wg.Wait()
	select {
	case <-r.options.Stop:
		return errors.New("stopped from outside")
	default:
	}
	for _, m := range r.members {
		m.sample()
	}
	r.mu.Lock()
	r.checker.CheckOpen(r.now())
	r.mu.Unlock()
	if r.scenario.ConvergenceTime.Duration > 0 {
		r.readViews()
		r.mu.Lock()
		r.tierChecker.CheckConvergence(r.now(), func(place int) bool { return r.members[place].running() })
		r.tierChecker.CheckMaintained(r.now(), r.scenario.memberIndexes(r.scenario.ExpectMaintained))
		r.mu.Unlock()
	}
	return nil
}
