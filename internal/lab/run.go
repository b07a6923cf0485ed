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
func rulesOf(settings []byte) (Rules, error) {
	var s struct {
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
	if err := json.Unmarshal(settings, &s); err != nil {
		return Rules{}, fmt.Errorf("settings: %w", err)
	}
	us := func(v float64) time.Duration { return time.Duration(v * float64(time.Microsecond)) }
	r := Rules{MaxAttempts: s.Limits.Attempts, ReleaseGuard: us(s.Family.Release), DrainGrace: us(s.Duties.Grace),
		TipMultiple: s.Duties.Multiple, TipWindow: us(s.Duties.After), ColdFrom: s.Duties.ColdFrom, Ramp: us(s.Duties.Ramp),
		Slack: 50 * time.Millisecond, ColdSlack: 3}
	if r.DrainGrace == 0 {
		r.DrainGrace = 250 * time.Millisecond
	}
	if r.MaxAttempts <= 0 || r.TipMultiple <= 0 || r.TipWindow <= 0 {
		return r, errors.New("settings: limits.max-attempts and obligations.tip-multiple, tip-after-us are needed")
	}
	return r, nil
}

// ErrLab is an error of the lab itself, not of the fleet.
var ErrLab = errors.New("lab failed")

// runner is one run: the world round the fleet.
type runner struct {
	s        *Scenario
	o        Options
	mu       sync.Mutex // over the judge and the counts
	judge    *Checker
	watch    *TierChecker
	over     chan struct{} // the run's faults and samples are over
	begin    time.Time
	members  []*member
	servers  map[string]*standIn
	order    []string
	channel  *channel
	tierFile string // the softswitches' members file
	relay    *Relay
	setting  json.RawMessage
	unsent   int
	marks    []InjectedFault
	ready    [][]bool
	views    [][]string // by second, by softswitch: its view's letters at the second's last sample
	lagMax   time.Duration
	blinds   int
	rand     *rand.Rand
	pick     func(network, host string) (string, error) // a free port; freePort but in tests
	conns    [][]*callerConn
	connMu   sync.Mutex
}

func (r *runner) now() time.Duration { return time.Since(r.begin) }

func (r *runner) attempt(server string, id uint64) {
	r.mu.Lock()
	r.judge.RecordAttempt(r.now(), server, id)
	r.mu.Unlock()
}

func (r *runner) ended(server string, id uint64, how AttemptOutcome) {
	r.mu.Lock()
	r.judge.RecordAttemptEnd(r.now(), server, id, how)
	r.mu.Unlock()
}

// capacity is what a stand-in can do at a moment: cold from its start, warm after the ramp.
func (r *runner) capacity(server string, at time.Duration) float64 {
	v := r.servers[server]
	started := time.Duration(-1)
	if v.StartAt.Duration > 0 && r.o.SelfTestFault != "weak cold servers" {
		started = v.StartAt.Duration
	}
	return r.judge.rules.RampedCapacity(v.Capacity, started, at)
}

func (r *runner) sent(id uint64, to int, giveUp time.Duration) {
	r.mu.Lock()
	r.judge.RecordSetUp(r.now(), id, to, giveUp)
	r.mu.Unlock()
}

func (r *runner) final(id uint64, served bool, desc string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served && !madeBy(desc, id) {
		r.judge.broke("answer made by no server", r.now(), "call %016x: %q", id, desc)
	}
	r.judge.RecordFinalAnswer(r.now(), id, served)
}

func (r *runner) withdrawn(id uint64) {
	r.mu.Lock()
	r.judge.Withdraw(id)
	r.mu.Unlock()
}

func (r *runner) unanswered(id uint64, to int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := now - r.s.GiveUp.Duration
	r.judge.RecordUnanswered(now, id, r.members[to].hindered(sent-time.Second, now))
}

// Run plays a scenario against real processes of the program. The error is ErrLab's where the lab itself failed;
// a fleet that broke an invariant is a Result that has not held.
func Run(s *Scenario, o Options) (*Result, error) {
	settings := s.Settings
	if settings == "" {
		settings = DefaultSettings
	}
	rules, err := rulesOf([]byte(settings))
	if err != nil {
		return nil, err
	}
	return newRunner(s, o, rules, settings).run()
}

func newRunner(s *Scenario, o Options, rules Rules, settings string) *runner {
	return &runner{s: s, o: o, judge: NewChecker(rules), servers: make(map[string]*standIn), setting: json.RawMessage(settings),
		watch: NewTierChecker(s.Softswitches), over: make(chan struct{}), pick: freePort, rand: rand.New(rand.NewPCG(s.Seed, 0x63616c6c))}
}

func (r *runner) run() (*Result, error) {
	if err := os.MkdirAll(r.o.OutDir, 0o755); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	r.begin = time.Now()
	defer r.teardown()
	if err := r.build(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	if err := r.play(); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLab, err)
	}
	return r.result(), nil
}

func host(block, i int) string { return fmt.Sprintf("127.0.%d.%d", block, i+1) }

// build starts the stand-ins, the channel, the relay and the softswitches, and waits until every softswitch is ready.
func (r *runner) build() error {
	n := r.s.Softswitches
	var hosts [4][]string
	for i := range n {
		for b := range hosts {
			hosts[b] = append(hosts[b], host(b+1, i))
		}
	}
	for _, v := range r.s.Servers {
		start := time.Duration(-1)
		if v.StartAt.Duration > 0 {
			start = v.StartAt.Duration
		}
		judged := v.Capacity
		if r.o.SelfTestFault == "weak cold servers" {
			start, judged = 0, v.Capacity/10
		}
		r.judge.AddServer(v.Name, judged, start)
		si, err := newStandIn(v, r, hosts[1])
		if err != nil {
			return err
		}
		r.servers[v.Name] = si
		r.order = append(r.order, v.Name)
	}
	var err error
	if r.channel, err = newChannel(hosts[2], func(name string, from int) string { return r.servers[name].address(from) }); err != nil {
		return err
	}
	var first []listChange
	for _, v := range r.s.Servers {
		if v.StartAt.Duration == 0 || r.o.SelfTestFault == "weak cold servers" {
			first = append(first, listChange{name: v.Name, status: "in_service"})
		}
	}
	r.channel.tell(true, first...)
	text, err := r.s.membersText()
	if err != nil {
		return err
	}
	r.tierFile = filepath.Join(r.o.OutDir, "members.toml")
	if err := os.WriteFile(r.tierFile, []byte(text), 0o600); err != nil {
		return err
	}
	for i := range n {
		m := &member{place: i, name: MemberName(i), dir: filepath.Join(r.o.OutDir, MemberName(i))}
		if err := os.MkdirAll(m.dir, 0o755); err != nil {
			return err
		}
		for _, p := range []struct {
			to      *string
			network string
		}{{&m.listen, "tcp"}, {&m.mgmt, "tcp"}, {&m.peer, "udp"}} {
			if *p.to, err = r.pick(p.network, hosts[0][i]); err != nil {
				return err
			}
		}
		r.members = append(r.members, m)
	}
	var real []*net.UDPAddr
	for _, m := range r.members {
		a, err := net.ResolveUDPAddr("udp", m.peer)
		if err != nil {
			return err
		}
		real = append(real, a)
	}
	if r.relay, err = NewRelay(hosts[3], "127.0.4.250", real, r.s.Seed); err != nil {
		return err
	}
	for _, m := range r.members {
		if err := r.launch(m); err != nil {
			return err
		}
	}
	// A port that another program took since it was picked ends a softswitch at its start: it gets new ones,
	// at most three times, before it is known to any peer or caller.
	for try := 0; ; try++ {
		err := r.waitReady(r.members)
		var ended *endedAtStart
		if !errors.As(err, &ended) || try == 3 {
			return err
		}
		m := ended.m
		if m.listen, err = r.pick("tcp", hosts[0][m.place]); err != nil {
			return err
		}
		if m.mgmt, err = r.pick("tcp", hosts[0][m.place]); err != nil {
			return err
		}
		r.o.Log.Warn().Str("softswitch", m.name).Msg("ended at its start; new ports")
		if err := r.launch(m); err != nil {
			return err
		}
	}
}

// endedAtStart is a softswitch whose process ended before it was ready.
type endedAtStart struct{ m *member }

func (e *endedAtStart) Error() string {
	return fmt.Sprintf("%s ended at its start; its log is %s", e.m.name, filepath.Join(e.m.dir, "log.jsonl"))
}

// launch starts a member with a configuration of now.
func (r *runner) launch(m *member) error {
	var peers []string
	all := ""
	if r.s.PeersEnabled {
		peers, all = r.relay.PeerAddresses(), r.relay.AllPeersAddress()
	}
	seed := r.rand.Uint64()
	settings, err := r.settingsOf(m.place)
	if err != nil {
		return err
	}
	return m.start(r.o.Binary, configure(m, seed, r.channel.listeners[m.place].Addr().String(), r.channel.known(m.place), peers, all, settings), r.tierFile)
}

// settingsOf are the settings with what differs from one softswitch to another: its number in the tier.
func (r *runner) settingsOf(place int) (json.RawMessage, error) {
	var s map[string]any
	if err := json.Unmarshal(r.setting, &s); err != nil {
		return nil, err
	}
	s["me"], s["peers-total"] = place, r.s.Softswitches
	if limits, ok := s["limits"].(map[string]any); ok {
		limits["peer-messages"] = r.s.PeersEnabled
	}
	return json.Marshal(s)
}

func (r *runner) waitReady(ms []*member) error {
	deadline := time.Now().Add(r.s.StartTimeout.Duration)
	for _, m := range ms {
		for m.sample(); !m.isReady(); m.sample() {
			if !m.running() {
				return &endedAtStart{m}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s not ready within %v", m.name, r.s.StartTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// play drives the load, the faults and the samples until the end of the run.
func (r *runner) play() error {
	r.mu.Lock()
	r.begin = time.Now()
	r.mu.Unlock()
	r.conns = make([][]*callerConn, len(r.members))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); r.sampler(stop) }()
	go func() { defer wg.Done(); r.faults(stop) }()
	r.load()
	select {
	case <-time.After(max(r.s.QuietPeriod.Duration+r.s.GiveUp.Duration, r.s.lastFault()+r.s.ConvergenceTime.Duration-r.now())):
	case <-r.o.Stop:
	}
	close(stop)
	close(r.over)
	wg.Wait()
	select {
	case <-r.o.Stop:
		return errors.New("stopped from outside")
	default:
	}
	for _, m := range r.members {
		m.sample()
	}
	r.mu.Lock()
	r.judge.CheckOpen(r.now())
	r.mu.Unlock()
	if r.s.ConvergenceTime.Duration > 0 {
		r.look()
		r.mu.Lock()
		r.watch.CheckConvergence(r.now(), func(place int) bool { return r.members[place].running() })
		r.watch.CheckMaintained(r.now(), r.s.places(r.s.ExpectMaintained))
		r.mu.Unlock()
	}
	return nil
}

// load sends set-ups at the scenario's rate, to the softswitches that are ready, in turn; it measures its own lag
// and tells the judge where it lagged so that no timing is judged there.
func (r *runner) load() {
	const tick = 5 * time.Millisecond
	owed, turn, class := 0.0, 0, 0
	credit := make([]float64, len(r.members))
	next := time.Duration(0)
	for next < r.s.Duration.Duration {
		select {
		case <-r.o.Stop:
			return
		default:
		}
		now := r.now()
		if lag := now - next; lag > r.s.MaxLag.Duration {
			r.mu.Lock()
			r.judge.RecordLag(next, now)
			r.blinds++
			r.mu.Unlock()
		}
		if lag := now - next; lag > r.lagMax {
			r.lagMax = lag
		}
		owed += r.s.Rate(next) * tick.Seconds()
		for ; owed >= 1; owed-- {
			if shares := r.s.Shares(next); shares != nil {
				turn = whose(credit, shares)
			}
			if !r.send(&turn, r.s.Classes[class%len(r.s.Classes)]) {
				r.mu.Lock()
				r.unsent++
				r.mu.Unlock()
			}
			class++
		}
		next += tick
		if d := next - r.now(); d > 0 {
			time.Sleep(d)
		}
	}
}

// whose turn it is by shares: each gains its share, and who has most gives all of one turn (smooth weighted round robin).
func whose(credit, shares []float64) (best int) {
	all := 0.0
	for i, share := range shares {
		credit[i] += share
		if all += share; credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= all
	return best
}

// send sends one set-up to the next ready softswitch, on one of its callers' connections.
func (r *runner) send(turn *int, class string) bool {
	for range len(r.members) {
		i := *turn % len(r.members)
		*turn++
		m := r.members[i]
		if !m.isReady() {
			continue
		}
		c := r.conn(i, *turn%r.s.CallerConns)
		if c == nil {
			continue
		}
		if c.setUp(r.rand.Uint64()|1, class, r.s.GiveUp.Duration) == nil {
			return true
		}
	}
	return false
}

// conn is a caller's connection to a softswitch, dialled anew where the last one has ended.
func (r *runner) conn(i, k int) *callerConn {
	r.connMu.Lock()
	defer r.connMu.Unlock()
	for len(r.conns[i]) < r.s.CallerConns {
		r.conns[i] = append(r.conns[i], nil)
	}
	c := r.conns[i][k]
	if c != nil {
		select {
		case <-c.done:
			c = nil
		default:
			return c
		}
	}
	c, err := dialCaller(r.members[i].listen, i, r)
	if err != nil {
		return nil
	}
	r.conns[i][k] = c
	return c
}

// sampler reads every door at the scenario's pace and keeps, for each second, who was ready.
func (r *runner) sampler(stop chan struct{}) {
	t := time.NewTicker(r.s.SampleInterval.Duration)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		var wg sync.WaitGroup
		for _, m := range r.members {
			wg.Add(1)
			go func() { defer wg.Done(); m.sample() }()
		}
		wg.Wait()
		second := int(r.now() / time.Second)
		r.mu.Lock()
		for len(r.ready) <= second {
			r.ready = append(r.ready, make([]bool, len(r.members)))
		}
		for i, m := range r.members {
			r.ready[second][i] = m.isReady()
		}
		r.mu.Unlock()
		r.look()
		r.mu.Lock()
		if r.s.MaintenanceBudget > 0 {
			r.watch.CheckMaintenanceBudget(r.now(), r.s.MaintenanceBudget, func(place int) bool { return !r.members[place].isReady() })
		}
		for len(r.views) <= second {
			r.views = append(r.views, nil)
		}
		r.views[second] = r.watch.StateInitials()
		r.mu.Unlock()
	}
}

// look takes in what each softswitch says of its tier, where membership is on.
func (r *runner) look() {
	if r.s.Membership == nil {
		return
	}
	var wg sync.WaitGroup
	for i, m := range r.members {
		wg.Go(func() {
			v, ok := m.view()
			r.mu.Lock()
			if ok {
				r.watch.RecordView(r.now(), i, v)
			}
			r.mu.Unlock()
			if r.s.MaintenanceBudget > 0 {
				r.work(m)
			}
		})
	}
	wg.Wait()
}

// maintain asks a softswitch's door for maintenance, or withdraws it; one that is not settled yet is asked again.
func (r *runner) maintain(a Action) {
	method := http.MethodPost
	if a.Retire {
		method = http.MethodDelete
	}
	names := url.Values{}
	for _, m := range r.at(a.Members) {
		names.Add("member", m.name)
	}
	for until := r.now() + 10*time.Second; r.now() < until; time.Sleep(100 * time.Millisecond) {
		status, _ := r.members[a.Via].call(method, "/ops/maintenance?"+names.Encode())
		if status == http.StatusAccepted {
			return
		}
	}
	r.o.Log.Error().Str("via", r.members[a.Via].name).Msg("no order for maintenance was taken")
}

// work is the lab's operator: a softswitch that is ready for work is worked on, and then released, or started anew.
func (r *runner) work(m *member) {
	status, text := m.call(http.MethodGet, "/ops/maintenance")
	var t mgmt.MaintenanceStatus
	if status != http.StatusOK || json.Unmarshal(text, &t) != nil {
		return
	}
	at := slices.IndexFunc(t.Granted, func(q mgmt.MaintenanceRequest) bool { return q.Index == m.place })
	out := at >= 0 && t.HoldsGrant
	ready := out && t.Granted[at].Stage == maintenance.Ready.String()
	r.mu.Lock()
	r.watch.RecordMaintenance(r.now(), m.place, out, ready)
	begin := ready && !m.worked && r.s.WorkDuration.Duration > 0
	m.worked = ready && (m.worked || begin)
	r.mu.Unlock()
	if !begin {
		return
	}
	go func() {
		select {
		case <-time.After(r.s.WorkDuration.Duration):
		case <-r.over:
			return
		}
		if r.s.WorkMethod == "restart" {
			r.hinder(m, "work", true)
			m.stop(syscall.SIGTERM, 5*time.Second)
			if err := r.launch(m); err != nil {
				r.o.Log.Error().Err(err).Str("softswitch", m.name).Msg("restart")
			}
			r.waitReady([]*member{m})
			r.hinder(m, "", false)
			return
		}
		m.call(http.MethodDelete, "/ops/maintenance?member="+m.name)
	}()
}

// hinder says that a softswitch is in trouble from now on, or no more.
func (r *runner) hinder(m *member, kind string, begins bool) {
	now := r.now()
	m.trouble(now, begins)
	r.mu.Lock()
	r.watch.RecordFault(now, m.place, kind, begins)
	r.mu.Unlock()
}

// faults plays the plan. What waits for softswitches to be ready runs beside it, so that no step is late for it.
func (r *runner) faults(stop chan struct{}) {
	var later sync.WaitGroup
	defer later.Wait()
	for _, a := range Plan(r.s, r.o.SelfTestFault != "weak cold servers") {
		select {
		case <-stop:
			return
		case <-time.After(a.At - r.now()):
		}
		r.act(a, &later)
	}
}

func (r *runner) at(places []int) []*member {
	var out []*member
	for _, p := range places {
		out = append(out, r.members[p])
	}
	return out
}

// act does one step of the plan.
func (r *runner) act(a Action, later *sync.WaitGroup) {
	now := r.now()
	if a.Fault >= 0 {
		f := r.s.Faults[a.Fault]
		r.mu.Lock()
		r.marks = append(r.marks, InjectedFault{At: now.Seconds(), Kind: f.Kind, Detail: fmt.Sprint(f.Target, f.Groups, f.Server)})
		r.mu.Unlock()
	}
	r.o.Log.Info().Stringer("act", a.Kind).Ints("places", a.Members).Str("server", a.Server).Dur("at", now).Msg("step")
	ms := r.at(a.Members)
	beside := func(do func()) {
		later.Add(1)
		go func() { defer later.Done(); do() }()
	}
	switch a.Kind {
	case ActKill:
		sig := syscall.SIGKILL
		if a.Term {
			sig = syscall.SIGTERM
		}
		for _, m := range ms {
			r.hinder(m, map[bool]string{true: "term", false: "kill"}[a.Term], true)
			beside(func() { m.stop(sig, 5*time.Second) })
		}
	case ActLaunch:
		beside(func() {
			for _, m := range ms {
				m.stop(syscall.SIGKILL, time.Second)
				if err := r.launch(m); err != nil {
					r.o.Log.Error().Err(err).Str("softswitch", m.name).Msg("restart")
				}
			}
			r.waitReady(ms)
			for _, m := range ms {
				r.hinder(m, "", false)
			}
		})
	case ActPause:
		for _, m := range ms {
			r.hinder(m, "pause", true)
			m.signal(syscall.SIGSTOP)
		}
	case ActResume:
		for _, m := range ms {
			m.signal(syscall.SIGCONT)
		}
		beside(func() {
			r.waitReady(ms)
			for _, m := range ms {
				r.hinder(m, "", false)
			}
		})
	case ActNetworkConditions:
		r.relay.SetConditions(a.Conditions)
		r.mu.Lock()
		r.watch.SetConditions(now, a.Conditions)
		r.mu.Unlock()
	case ActReset:
		places := map[int]bool{}
		for _, p := range a.Members {
			places[p] = true
		}
		r.servers[a.Server].cut(places, false)
	case ActStall:
		r.servers[a.Server].stall(a.Members, a.Stall)
	case ActSlow:
		r.servers[a.Server].slowBy(a.Factor)
	case ActMaintenance:
		beside(func() { r.maintain(a) })
	case ActServerStatus:
		if a.Retire {
			r.mu.Lock()
			r.judge.Retire(a.Server, now)
			r.mu.Unlock()
		}
		if !a.Retire || r.o.SelfTestFault != "unheard drains" {
			var since int64
			if a.Status == "in_service" {
				since = time.Now().UnixMilli()
			}
			r.channel.tell(false, listChange{name: a.Server, status: a.Status, since: since})
		}
		if a.Status == "terminated" {
			r.servers[a.Server].cut(nil, true)
		}
	}
}

func (r *runner) teardown() {
	r.connMu.Lock()
	for _, cs := range r.conns {
		for _, c := range cs {
			if c != nil {
				c.close()
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
	for _, v := range r.servers {
		v.close()
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
	res := &Result{Scenario: r.s.Name, Violations: r.judge.Violations(), Unsent: r.unsent, MaxLag: r.lagMax, LagSpans: r.blinds,
		seconds: r.judge.PerSecond(), servers: r.order, Starts: map[string]int{}, InjectedFaults: r.marks,
		MembershipCounters: map[string]int64{}, MaintenanceCounters: map[string]int64{}, KnowledgeCounters: map[string]int64{}, BudgetCounters: map[string]int64{}, ready: r.ready, views: r.views, Detections: r.watch.detections, FalseDeaths: r.watch.deaths, MaintenanceRuns: r.watch.works, MaxOut: r.watch.mostOut, Elapsed: r.now()}
	res.Violations = append(res.Violations, r.watch.Violations()...)
	for _, f := range r.s.Faults {
		for _, place := range r.s.places(f.Target) {
			if back := r.judge.Recovery(place, f.At.Duration+f.Duration.Duration, returnSeconds); f.Kind == "kill" && f.Duration.Duration > 0 && back != nil {
				res.Recoveries = append(res.Recoveries, back)
			}
		}
	}
	for i := range res.seconds {
		var row []float64
		for _, name := range r.order {
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
	sums := map[string]map[string]int64{"members": res.MembershipCounters, "maintenance": res.MaintenanceCounters, "knowledge": res.KnowledgeCounters, "parts": res.BudgetCounters}
	for _, m := range r.members {
		res.AdminServed += m.figures["answered"]
		for k, v := range m.figures {
			protocol, name, _ := strings.Cut(k, ".")
			if of := sums[protocol]; of != nil && summed[name] {
				of[name] += v
			}
		}
		res.Starts[m.name] = m.starts
		restarted = restarted || m.starts > 1
	}
	c := &r.relay.Counters
	res.Datagrams = map[string]int{"passed": int(c.Forwarded.Load()), "dropped": int(c.Dropped.Load()),
		"doubled": int(c.Duplicated.Load()), "strangers": int(c.UnknownSender.Load()), "oversized": int(c.Oversized.Load()),
		"bytes": int(c.Bytes.Load())}
	if c.Oversized.Load() > 0 {
		res.Violations = append(res.Violations, Violation{Rule: "datagram over 256 bytes", Count: int(c.Oversized.Load())})
	}
	// The doors count what they answered; with no restart the lab must agree with them within the tolerance.
	if diff := float64(res.AdminServed - int64(res.Served)); !restarted &&
		abs(diff) > r.s.Tolerance*float64(max(res.Served, 1))+2 {
		res.Violations = append(res.Violations, Violation{Rule: "counts disagree with the doors", Count: 1,
			Detail: fmt.Sprintf("lab %d served, doors %d", res.Served, res.AdminServed)})
	}
	res.Passed = len(res.Violations) == 0
	return res
}

// returnSeconds are the seconds for which one that came back is compared with its peers.
const returnSeconds = 5

// protocols are those of the tier whose figures the doors show.
var protocols = []string{"members", "maintenance", "knowledge", "parts"}

// summed are the figures of these that count up, so that those of all lives add up.
var summed = map[string]bool{"probes": true, "indirect": true, "acks": true, "nacks": true, "failed": true,
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
	n := 0
	if len(res.ready) > 0 {
		n = len(res.ready[0])
	}
	for i := range n {
		fmt.Fprintf(&b, ",ready:%s", MemberName(i))
	}
	seen := slices.ContainsFunc(res.views, func(v []string) bool { return len(v) > 0 })
	for i := range n {
		if seen {
			fmt.Fprintf(&b, ",view:%s", MemberName(i))
		}
	}
	b.WriteString("\n")
	for i, s := range res.seconds {
		fmt.Fprintf(&b, "%d,%d,%d,%d,%d,%d,%t", i, s.Offered, s.Served, s.Refused, s.Lost, s.Excused, s.Lagged)
		for k, name := range res.servers {
			fmt.Fprintf(&b, ",%d,%.0f", s.Arrivals[name], res.capacity[i][k])
		}
		for k := range n {
			ready := i < len(res.ready) && res.ready[i][k]
			fmt.Fprintf(&b, ",%d", map[bool]int{true: 1}[ready])
		}
		for k := range n {
			if seen && i < len(res.views) && len(res.views[i]) > 0 {
				fmt.Fprintf(&b, ",%s", res.views[i][k])
			} else if seen {
				b.WriteString(",")
			}
		}
		b.WriteString("\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
