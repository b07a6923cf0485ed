package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/maintenance"
	"elmseam/internal/mgmt"
)

// DefaultSettings are the lab's own settings for the softswitches, where a scenario names none: one class, four attempts,
// the release gap, the drain grace and the cold-server budget of the deployment.
const DefaultSettings = `{"request-classes":[{"name":"voice","effect":"free","gain":1,"objective-us":1000000,"hard-limit-us":3000000}],
 "family-info":{"own-number":-1,"release-guard-us":200000,"retransmit-us":500000},
 "limits":{"max-attempts":4,"max-open":100,"connect-timeout-us":500000,"retry-after":true,"max-retry-after-us":2000000,"cancel":true},
 "load-report":{"columns":["spare","total","cut_by"],"via":"inline"},
 "obligations":{"cold-from":0.3,"ramp-time-us":14000000,"tip-multiple":2.5,"tip-after-us":1000000,"drain-grace-us":250000}}`

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

// Result is what a run saw.
type Result struct {
	Scenario       string          `json:"scenario"`
	Passed         bool            `json:"held"`
	Violations     []Violation     `json:"breaches"`
	Offered        int             `json:"offered"`
	Served         int             `json:"served"`
	Refused        int             `json:"refused"`
	Lost           int             `json:"lost"`
	Excused        int             `json:"excused"`
	Unsent         int             `json:"unsent"` // set-ups no softswitch could be reached for
	MaxLag         time.Duration   `json:"lag_max_ns"`
	LagSpans       int             `json:"blind_spans"`
	AdminServed    int64           `json:"door_served"` // the softswitches' own count, all lives
	Datagrams      map[string]int  `json:"datagrams"`
	Starts         map[string]int  `json:"starts"`
	InjectedFaults []InjectedFault `json:"faults"`

	// Of membership, where it is on.
	Detections          []*Detection      `json:"detections,omitempty"`
	FalseDeaths         []FalseDeath      `json:"false_deaths,omitempty"`
	MembershipCounters  map[string]int64  `json:"members,omitempty"`     // the doors' figures, all softswitches and lives together
	MaintenanceCounters map[string]int64  `json:"maintenance,omitempty"` // and these
	KnowledgeCounters   map[string]int64  `json:"knowledge,omitempty"`   // and these
	BudgetCounters      map[string]int64  `json:"parts,omitempty"`
	MaintenanceRuns     []*MaintenanceRun `json:"works,omitempty"`
	Recoveries          []*RecoveryStats  `json:"returns,omitempty"` // of softswitches that were killed and started again
	MaxOut              int               `json:"most_out"`          // softswitches out for work at one sample
	Elapsed             time.Duration     `json:"span_ns"`           // from the load's start to the end

	seconds  []SecondStats
	servers  []string
	views    [][]string
	ready    [][]bool    // by second, by softswitch: ready at the second's last sample
	capacity [][]float64 // by second, by server: what it could do
}

// rulesOf reads the rules' figures from the settings.
func parseRules(settings []byte) (Rules, error) {
	var parsed struct {
		Family struct {
			Release float64 `json:"release-guard-us"`
		} `json:"family-info"`
		Limits struct {
			Attempts int `json:"max-attempts"`
		} `json:"limits"`
		Duties struct {
			ColdFrom float64 `json:"cold-from"`
			Ramp     float64 `json:"ramp-time-us"`
			Multiple float64 `json:"tip-multiple"`
			After    float64 `json:"tip-after-us"`
			Grace    float64 `json:"drain-grace-us"`
		} `json:"obligations"`
	}
	if err := json.Unmarshal(settings, &parsed); err != nil {
		return Rules{}, fmt.Errorf("settings: %w", err)
	}
	microseconds := func(value float64) time.Duration { return time.Duration(value * float64(time.Microsecond)) }
	rules := Rules{MaxAttempts: parsed.Limits.Attempts, ReleaseGuard: microseconds(parsed.Family.Release), DrainGrace: microseconds(parsed.Duties.Grace),
		TipMultiple: parsed.Duties.Multiple, TipWindow: microseconds(parsed.Duties.After), ColdFrom: parsed.Duties.ColdFrom, Ramp: microseconds(parsed.Duties.Ramp),
		Slack: 50 * time.Millisecond, ColdSlack: 3}
	if rules.DrainGrace == 0 {
		rules.DrainGrace = 250 * time.Millisecond
	}
	if rules.MaxAttempts <= 0 || rules.TipMultiple <= 0 || rules.TipWindow <= 0 {
		return rules, errors.New("settings: limits.max-attempts and obligations.tip-multiple, tip-after-us are needed")
	}
	return rules, nil
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

func (r *runner) attemptReceived(server string, id uint64) {
	r.mu.Lock()
	r.checker.RecordAttempt(r.now(), server, id)
	r.mu.Unlock()
}

func (r *runner) attemptEnded(server string, id uint64, outcome AttemptOutcome) {
	r.mu.Lock()
	r.checker.RecordAttemptEnd(r.now(), server, id, outcome)
	r.mu.Unlock()
}

// capacity is what a stand-in can do at a moment: cold from its start, warm after the ramp.
func (r *runner) capacity(server string, at time.Duration) float64 {
	config := r.servers[server]
	startedAt := time.Duration(-1)
	if config.StartAt.Duration > 0 && r.options.SelfTestFault != "weak cold servers" {
		startedAt = config.StartAt.Duration
	}
	return r.checker.rules.RampedCapacity(config.Capacity, startedAt, at)
}

func (r *runner) setUpSent(id uint64, memberIndex int, giveUp time.Duration) {
	r.mu.Lock()
	r.checker.RecordSetUp(r.now(), id, memberIndex, giveUp)
	r.mu.Unlock()
}

func (r *runner) finalAnswer(id uint64, served bool, desc string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served && !isStandInDescription(desc, id) {
		r.checker.recordViolation("answer made by no server", r.now(), "call %016x: %q", id, desc)
	}
	r.checker.RecordFinalAnswer(r.now(), id, served)
}

func (r *runner) setUpNotWritten(id uint64) {
	r.mu.Lock()
	r.checker.Withdraw(id)
	r.mu.Unlock()
}

func (r *runner) setUpUnanswered(id uint64, memberIndex int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := now - r.scenario.GiveUp.Duration
	r.checker.RecordUnanswered(now, id, r.members[memberIndex].disturbedDuring(sent-time.Second, now))
}

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

func loopbackAddress(network, index int) string { return fmt.Sprintf("127.0.%d.%d", network, index+1) }

// build starts the stand-ins, the channel, the relay and the softswitches, and waits until every softswitch is ready.
func (r *runner) startAll() error {
	tierSize := r.scenario.Softswitches
	var hosts [4][]string
	for i := range tierSize {
		for network := range hosts {
			hosts[network] = append(hosts[network], loopbackAddress(network+1, i))
		}
	}
	for _, config := range r.scenario.Servers {
		startedAt := time.Duration(-1)
		if config.StartAt.Duration > 0 {
			startedAt = config.StartAt.Duration
		}
		checkedCapacity := config.Capacity
		if r.options.SelfTestFault == "weak cold servers" {
			startedAt, checkedCapacity = 0, config.Capacity/10
		}
		r.checker.AddServer(config.Name, checkedCapacity, startedAt)
		server, err := newStandInServer(config, r, hosts[1])
		if err != nil {
			return err
		}
		r.servers[config.Name] = server
		r.serverOrder = append(r.serverOrder, config.Name)
	}
	var err error
	if r.channel, err = newChannel(hosts[2], func(name string, from int) string { return r.servers[name].addressFor(from) }); err != nil {
		return err
	}
	var initial []serverChange
	for _, config := range r.scenario.Servers {
		if config.StartAt.Duration == 0 || r.options.SelfTestFault == "weak cold servers" {
			initial = append(initial, serverChange{name: config.Name, status: "in_service"})
		}
	}
	r.channel.publish(true, initial...)
	text, err := r.scenario.membersFileText()
	if err != nil {
		return err
	}
	r.membersFile = filepath.Join(r.options.OutDir, "members.toml")
	if err := os.WriteFile(r.membersFile, []byte(text), 0o600); err != nil {
		return err
	}
	for i := range tierSize {
		m := &member{index: i, name: MemberName(i), dir: filepath.Join(r.options.OutDir, MemberName(i))}
		if err := os.MkdirAll(m.dir, 0o755); err != nil {
			return err
		}
		for _, port := range []struct {
			to      *string
			network string
		}{{&m.listenAddr, "tcp"}, {&m.mgmtAddr, "tcp"}, {&m.peerAddr, "udp"}} {
			if *port.to, err = r.pickPort(port.network, hosts[0][i]); err != nil {
				return err
			}
		}
		r.members = append(r.members, m)
	}
	var memberAddrs []*net.UDPAddr
	for _, m := range r.members {
		addr, err := net.ResolveUDPAddr("udp", m.peerAddr)
		if err != nil {
			return err
		}
		memberAddrs = append(memberAddrs, addr)
	}
	if r.relay, err = NewRelay(hosts[3], "127.0.4.250", memberAddrs, r.scenario.Seed); err != nil {
		return err
	}
	for _, m := range r.members {
		if err := r.launch(m); err != nil {
			return err
		}
	}
	// A port that another program took since it was picked ends a softswitch at its start: it gets new ones,
	// at most three times, before it is known to any peer or caller.
	for attempt := 0; ; attempt++ {
		err := r.waitReady(r.members)
		var exited *exitedAtStart
		if !errors.As(err, &exited) || attempt == 3 {
			return err
		}
		m := exited.member
		if m.listenAddr, err = r.pickPort("tcp", hosts[0][m.index]); err != nil {
			return err
		}
		if m.mgmtAddr, err = r.pickPort("tcp", hosts[0][m.index]); err != nil {
			return err
		}
		r.options.Log.Warn().Str("softswitch", m.name).Msg("ended at its start; new ports")
		if err := r.launch(m); err != nil {
			return err
		}
	}
}

// endedAtStart is a softswitch whose process ended before it was ready.
type exitedAtStart struct{ member *member }

func (e *exitedAtStart) Error() string {
	return fmt.Sprintf("%s ended at its start; its log is %s", e.member.name, filepath.Join(e.member.dir, "log.jsonl"))
}

// launch starts a member with a configuration of now.
func (r *runner) launch(m *member) error {
	var peers []string
	allPeersAddr := ""
	if r.scenario.PeersEnabled {
		peers, allPeersAddr = r.relay.PeerAddresses(), r.relay.AllPeersAddress()
	}
	seed := r.rand.Uint64()
	settings, err := r.memberSettings(m.index)
	if err != nil {
		return err
	}
	return m.start(r.options.Binary, memberConfig(m, seed, r.channel.listeners[m.index].Addr().String(), r.channel.initialState(m.index), peers, allPeersAddr, settings), r.membersFile)
}

// settingsOf are the settings with what differs from one softswitch to another: its number in the tier.
func (r *runner) memberSettings(index int) (json.RawMessage, error) {
	var settings map[string]any
	if err := json.Unmarshal(r.settings, &settings); err != nil {
		return nil, err
	}
	settings["me"], settings["peers-total"] = index, r.scenario.Softswitches
	if limits, ok := settings["limits"].(map[string]any); ok {
		limits["peer-messages"] = r.scenario.PeersEnabled
	}
	return json.Marshal(settings)
}

func (r *runner) waitReady(members []*member) error {
	deadline := time.Now().Add(r.scenario.StartTimeout.Duration)
	for _, m := range members {
		for m.sample(); !m.isReady(); m.sample() {
			if !m.running() {
				return &exitedAtStart{m}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s not ready within %v", m.name, r.scenario.StartTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
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

// load sends set-ups at the scenario's rate, to the softswitches that are ready, in turn; it measures its own lag
// and tells the judge where it lagged so that no timing is judged there.
func (r *runner) generateLoad() {
	const tick = 5 * time.Millisecond
	due, next, class := 0.0, 0, 0
	credit := make([]float64, len(r.members))
	tickAt := time.Duration(0)
	for tickAt < r.scenario.Duration.Duration {
		select {
		case <-r.options.Stop:
			return
		default:
		}
		now := r.now()
		if lag := now - tickAt; lag > r.scenario.MaxLag.Duration {
			r.mu.Lock()
			r.checker.RecordLag(tickAt, now)
			r.lagSpans++
			r.mu.Unlock()
		}
		if lag := now - tickAt; lag > r.maxLag {
			r.maxLag = lag
		}
		due += r.scenario.RateAt(tickAt) * tick.Seconds()
		for ; due >= 1; due-- {
			if shares := r.scenario.SharesAt(tickAt); shares != nil {
				next = nextByShare(credit, shares)
			}
			if !r.sendSetUp(&next, r.scenario.Classes[class%len(r.scenario.Classes)]) {
				r.mu.Lock()
				r.unsent++
				r.mu.Unlock()
			}
			class++
		}
		tickAt += tick
		if d := tickAt - r.now(); d > 0 {
			time.Sleep(d)
		}
	}
}

// whose turn it is by shares: each gains its share, and who has most gives all of one turn (smooth weighted round robin).
func nextByShare(credit, shares []float64) (best int) {
	total := 0.0
	for i, share := range shares {
		credit[i] += share
		if total += share; credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return best
}

// send sends one set-up to the next ready softswitch, on one of its callers' connections.
func (r *runner) sendSetUp(next *int, class string) bool {
	for range len(r.members) {
		index := *next % len(r.members)
		*next++
		m := r.members[index]
		if !m.isReady() {
			continue
		}
		conn := r.callerConn(index, *next%r.scenario.CallerConns)
		if conn == nil {
			continue
		}
		if conn.setUp(r.rand.Uint64()|1, class, r.scenario.GiveUp.Duration) == nil {
			return true
		}
	}
	return false
}

// conn is a caller's connection to a softswitch, dialled anew where the last one has ended.
func (r *runner) callerConn(index, slot int) *callerConn {
	r.connMu.Lock()
	defer r.connMu.Unlock()
	for len(r.callerConns[index]) < r.scenario.CallerConns {
		r.callerConns[index] = append(r.callerConns[index], nil)
	}
	conn := r.callerConns[index][slot]
	if conn != nil {
		select {
		case <-conn.done:
			conn = nil
		default:
			return conn
		}
	}
	conn, err := dialCaller(r.members[index].listenAddr, index, r)
	if err != nil {
		return nil
	}
	r.callerConns[index][slot] = conn
	return conn
}

// sampler reads every door at the scenario's pace and keeps, for each second, who was ready.
func (r *runner) sampleLoop(stop chan struct{}) {
	ticker := time.NewTicker(r.scenario.SampleInterval.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var wg sync.WaitGroup
		for _, m := range r.members {
			wg.Add(1)
			go func() { defer wg.Done(); m.sample() }()
		}
		wg.Wait()
		second := int(r.now() / time.Second)
		r.mu.Lock()
		for len(r.readyBySecond) <= second {
			r.readyBySecond = append(r.readyBySecond, make([]bool, len(r.members)))
		}
		for i, m := range r.members {
			r.readyBySecond[second][i] = m.isReady()
		}
		r.mu.Unlock()
		r.readViews()
		r.mu.Lock()
		if r.scenario.MaintenanceBudget > 0 {
			r.tierChecker.CheckMaintenanceBudget(r.now(), r.scenario.MaintenanceBudget, func(place int) bool { return !r.members[place].isReady() })
		}
		for len(r.viewsBySecond) <= second {
			r.viewsBySecond = append(r.viewsBySecond, nil)
		}
		r.viewsBySecond[second] = r.tierChecker.StateInitials()
		r.mu.Unlock()
	}
}

// look takes in what each softswitch says of its tier, where membership is on.
func (r *runner) readViews() {
	if r.scenario.Membership == nil {
		return
	}
	var wg sync.WaitGroup
	for i, m := range r.members {
		wg.Go(func() {
			view, ok := m.readView()
			r.mu.Lock()
			if ok {
				r.tierChecker.RecordView(r.now(), i, view)
			}
			r.mu.Unlock()
			if r.scenario.MaintenanceBudget > 0 {
				r.operateMaintenance(m)
			}
		})
	}
	wg.Wait()
}

// maintain asks a softswitch's door for maintenance, or withdraws it; one that is not settled yet is asked again.
func (r *runner) requestMaintenance(action Action) {
	method := http.MethodPost
	if action.Retire {
		method = http.MethodDelete
	}
	names := url.Values{}
	for _, m := range r.membersAt(action.Members) {
		names.Add("member", m.name)
	}
	for deadline := r.now() + 10*time.Second; r.now() < deadline; time.Sleep(100 * time.Millisecond) {
		status, _ := r.members[action.Via].callAdmin(method, "/ops/maintenance?"+names.Encode())
		if status == http.StatusAccepted {
			return
		}
	}
	r.options.Log.Error().Str("via", r.members[action.Via].name).Msg("no order for maintenance was taken")
}

// work is the lab's operator: a softswitch that is ready for work is worked on, and then released, or started anew.
func (r *runner) operateMaintenance(m *member) {
	status, text := m.callAdmin(http.MethodGet, "/ops/maintenance")
	var maintenanceStatus mgmt.MaintenanceStatus
	if status != http.StatusOK || json.Unmarshal(text, &maintenanceStatus) != nil {
		return
	}
	grantIndex := slices.IndexFunc(maintenanceStatus.Granted, func(request mgmt.MaintenanceRequest) bool { return request.Index == m.index })
	granted := grantIndex >= 0 && maintenanceStatus.HoldsGrant
	ready := granted && maintenanceStatus.Granted[grantIndex].Stage == maintenance.Ready.String()
	r.mu.Lock()
	r.tierChecker.RecordMaintenance(r.now(), m.index, granted, ready)
	start := ready && !m.underMaintenance && r.scenario.WorkDuration.Duration > 0
	m.underMaintenance = ready && (m.underMaintenance || start)
	r.mu.Unlock()
	if !start {
		return
	}
	go func() {
		select {
		case <-time.After(r.scenario.WorkDuration.Duration):
		case <-r.finished:
			return
		}
		if r.scenario.WorkMethod == "restart" {
			r.recordFault(m, "work", true)
			m.stop(syscall.SIGTERM, 5*time.Second)
			if err := r.launch(m); err != nil {
				r.options.Log.Error().Err(err).Str("softswitch", m.name).Msg("restart")
			}
			r.waitReady([]*member{m})
			r.recordFault(m, "", false)
			return
		}
		m.callAdmin(http.MethodDelete, "/ops/maintenance?member="+m.name)
	}()
}

// hinder says that a softswitch is in trouble from now on, or no more.
func (r *runner) recordFault(m *member, kind string, begins bool) {
	now := r.now()
	m.markFaultSpan(now, begins)
	r.mu.Lock()
	r.tierChecker.RecordFault(now, m.index, kind, begins)
	r.mu.Unlock()
}

// faults plays the plan. What waits for softswitches to be ready runs beside it, so that no step is late for it.
func (r *runner) runFaults(stop chan struct{}) {
	var background sync.WaitGroup
	defer background.Wait()
	for _, action := range Plan(r.scenario, r.options.SelfTestFault != "weak cold servers") {
		select {
		case <-stop:
			return
		case <-time.After(action.At - r.now()):
		}
		r.perform(action, &background)
	}
}

func (r *runner) membersAt(indexes []int) []*member {
	var members []*member
	for _, index := range indexes {
		members = append(members, r.members[index])
	}
	return members
}

// act does one step of the plan.
func (r *runner) perform(action Action, background *sync.WaitGroup) {
	now := r.now()
	if action.Fault >= 0 {
		fault := r.scenario.Faults[action.Fault]
		r.mu.Lock()
		r.injectedFaults = append(r.injectedFaults, InjectedFault{At: now.Seconds(), Kind: fault.Kind, Detail: fmt.Sprint(fault.Target, fault.Groups, fault.Server)})
		r.mu.Unlock()
	}
	r.options.Log.Info().Stringer("act", action.Kind).Ints("places", action.Members).Str("server", action.Server).Dur("at", now).Msg("step")
	members := r.membersAt(action.Members)
	inBackground := func(task func()) {
		background.Add(1)
		go func() { defer background.Done(); task() }()
	}
	switch action.Kind {
	case ActKill:
		signal := syscall.SIGKILL
		if action.Term {
			signal = syscall.SIGTERM
		}
		for _, m := range members {
			r.recordFault(m, map[bool]string{true: "term", false: "kill"}[action.Term], true)
			inBackground(func() { m.stop(signal, 5*time.Second) })
		}
	case ActLaunch:
		inBackground(func() {
			for _, m := range members {
				m.stop(syscall.SIGKILL, time.Second)
				if err := r.launch(m); err != nil {
					r.options.Log.Error().Err(err).Str("softswitch", m.name).Msg("restart")
				}
			}
			r.waitReady(members)
			for _, m := range members {
				r.recordFault(m, "", false)
			}
		})
	case ActPause:
		for _, m := range members {
			r.recordFault(m, "pause", true)
			m.signal(syscall.SIGSTOP)
		}
	case ActResume:
		for _, m := range members {
			m.signal(syscall.SIGCONT)
		}
		inBackground(func() {
			r.waitReady(members)
			for _, m := range members {
				r.recordFault(m, "", false)
			}
		})
	case ActNetworkConditions:
		r.relay.SetConditions(action.Conditions)
		r.mu.Lock()
		r.tierChecker.SetConditions(now, action.Conditions)
		r.mu.Unlock()
	case ActReset:
		indexes := map[int]bool{}
		for _, index := range action.Members {
			indexes[index] = true
		}
		r.servers[action.Server].resetConns(indexes, false)
	case ActStall:
		r.servers[action.Server].setStalled(action.Members, action.Stall)
	case ActSlow:
		r.servers[action.Server].setSlowdown(action.Factor)
	case ActMaintenance:
		inBackground(func() { r.requestMaintenance(action) })
	case ActServerStatus:
		if action.Retire {
			r.mu.Lock()
			r.checker.RecordRetirement(action.Server, now)
			r.mu.Unlock()
		}
		if !action.Retire || r.options.SelfTestFault != "unheard drains" {
			var since int64
			if action.Status == "in_service" {
				since = time.Now().UnixMilli()
			}
			r.channel.publish(false, serverChange{name: action.Server, status: action.Status, sinceMS: since})
		}
		if action.Status == "terminated" {
			r.servers[action.Server].resetConns(nil, true)
		}
	}
}

func (r *runner) teardown() {
	r.connMu.Lock()
	for _, conns := range r.callerConns {
		for _, conn := range conns {
			if conn != nil {
				conn.close()
			}
		}
	}
	r.connMu.Unlock()
	var wg sync.WaitGroup
	for _, m := range r.members {
		wg.Add(1)
		go func() { defer wg.Done(); m.stop(syscall.SIGKILL, time.Second) }()
	}
	wg.Wait()
	for _, server := range r.servers {
		server.close()
	}
	if r.channel != nil {
		r.channel.close()
	}
	if r.relay != nil {
		r.relay.Close()
	}
}

func (r *runner) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{Scenario: r.scenario.Name, Violations: r.checker.Violations(), Unsent: r.unsent, MaxLag: r.maxLag, LagSpans: r.lagSpans,
		seconds: r.checker.PerSecond(), servers: r.serverOrder, Starts: map[string]int{}, InjectedFaults: r.injectedFaults,
		MembershipCounters: map[string]int64{}, MaintenanceCounters: map[string]int64{}, KnowledgeCounters: map[string]int64{}, BudgetCounters: map[string]int64{}, ready: r.readyBySecond, views: r.viewsBySecond, Detections: r.tierChecker.detections, FalseDeaths: r.tierChecker.falseDeaths, MaintenanceRuns: r.tierChecker.maintenanceRuns, MaxOut: r.tierChecker.maxOut, Elapsed: r.now()}
	res.Violations = append(res.Violations, r.tierChecker.Violations()...)
	for _, fault := range r.scenario.Faults {
		for _, index := range r.scenario.memberIndexes(fault.Target) {
			if recovery := r.checker.Recovery(index, fault.At.Duration+fault.Duration.Duration, recoverySeconds); fault.Kind == "kill" && fault.Duration.Duration > 0 && recovery != nil {
				res.Recoveries = append(res.Recoveries, recovery)
			}
		}
	}
	for i := range res.seconds {
		var row []float64
		for _, name := range r.serverOrder {
			row = append(row, r.capacity(name, time.Duration(i)*time.Second))
		}
		res.capacity = append(res.capacity, row)
	}
	for _, s := range res.seconds {
		res.Offered += s.Offered
		res.Served += s.Served
		res.Refused += s.Refused
		res.Lost += s.Lost
		res.Excused += s.Excused
	}
	restarted := false
	sumsByGroup := map[string]map[string]int64{"members": res.MembershipCounters, "maintenance": res.MaintenanceCounters, "knowledge": res.KnowledgeCounters, "parts": res.BudgetCounters}
	for _, m := range r.members {
		res.AdminServed += m.counters["answered"]
		for key, value := range m.counters {
			group, name, _ := strings.Cut(key, ".")
			if sums := sumsByGroup[group]; sums != nil && monotonicCounters[name] {
				sums[name] += value
			}
		}
		res.Starts[m.name] = m.starts
		restarted = restarted || m.starts > 1
	}
	counters := &r.relay.Counters
	res.Datagrams = map[string]int{"passed": int(counters.Forwarded.Load()), "dropped": int(counters.Dropped.Load()),
		"doubled": int(counters.Duplicated.Load()), "strangers": int(counters.UnknownSender.Load()), "oversized": int(counters.Oversized.Load()),
		"bytes": int(counters.Bytes.Load())}
	if counters.Oversized.Load() > 0 {
		res.Violations = append(res.Violations, Violation{Rule: "datagram over 256 bytes", Count: int(counters.Oversized.Load())})
	}
	// The doors count what they answered; with no restart the lab must agree with them within the tolerance.
	if diff := float64(res.AdminServed - int64(res.Served)); !restarted &&
		abs(diff) > r.scenario.Tolerance*float64(max(res.Served, 1))+2 {
		res.Violations = append(res.Violations, Violation{Rule: "counts disagree with the doors", Count: 1,
			Detail: fmt.Sprintf("lab %d served, doors %d", res.Served, res.AdminServed)})
	}
	res.Passed = len(res.Violations) == 0
	return res
}

// returnSeconds are the seconds for which one that came back is compared with its peers.
const recoverySeconds = 5

// protocols are those of the tier whose figures the doors show.
var counterGroups = []string{"members", "maintenance", "knowledge", "parts"}

// summed are the figures of these that count up, so that those of all lives add up.
var monotonicCounters = map[string]bool{"probes": true, "indirect": true, "acks": true, "nacks": true, "failed": true,
	"told": true, "stale": true, "unlisted": true, "answered": true, "claims": true, "inherited": true, "expired": true, "borrowed": true, "lent": true,
	"suspicions": true, "deaths": true, "refutations": true, "stalls": true, "sent": true, "sent_bytes": true, "heard": true,
	"asked": true, "granted": true, "renewed": true, "lost": true, "yes": true, "no": true, "dropped_garbled": true, "dropped_version": true, "dropped_stranger": true, "dropped_flood": true, "unwritten": true}

func abs(f float64) float64 {
	if f < 0 {
		return -f
	}
	return f
}

// WriteTable writes the per-second table as CSV: offered, served, refused, lost, excused, whether the lab lagged,
// for each server the attempts that reached it and its capacity, and for each softswitch whether it was ready and, where
// membership is on, what it held of each of the tier, by the first letters of the states.
func (res *Result) WriteTable(path string) error {
	var b strings.Builder
	b.WriteString("second,offered,served,refused,lost,excused,blind")
	for _, s := range res.servers {
		fmt.Fprintf(&b, ",load:%s,capacity:%s", s, s)
	}
	tierSize := 0
	if len(res.ready) > 0 {
		tierSize = len(res.ready[0])
	}
	for i := range tierSize {
		fmt.Fprintf(&b, ",ready:%s", MemberName(i))
	}
	hasViews := slices.ContainsFunc(res.views, func(v []string) bool { return len(v) > 0 })
	for i := range tierSize {
		if hasViews {
			fmt.Fprintf(&b, ",view:%s", MemberName(i))
		}
	}
	b.WriteString("\n")
	for i, s := range res.seconds {
		fmt.Fprintf(&b, "%d,%d,%d,%d,%d,%d,%t", i, s.Offered, s.Served, s.Refused, s.Lost, s.Excused, s.Lagged)
		for k, name := range res.servers {
			fmt.Fprintf(&b, ",%d,%.0f", s.Arrivals[name], res.capacity[i][k])
		}
		for k := range tierSize {
			ready := i < len(res.ready) && res.ready[i][k]
			fmt.Fprintf(&b, ",%d", map[bool]int{true: 1}[ready])
		}
		for k := range tierSize {
			if hasViews && i < len(res.views) && len(res.views[i]) > 0 {
				fmt.Fprintf(&b, ",%s", res.views[i][k])
			} else if hasViews {
				b.WriteString(",")
			}
		}
		b.WriteString("\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
