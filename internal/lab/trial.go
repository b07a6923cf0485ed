package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A trial plays a few softswitches, real processes, for some tens of seconds with many faults, all drawn from a seed, and checks the rules
// of PROTOCOL from outside.

// TrialOptions are the parameters of a trial that its seed does not decide.
type TrialOptions struct {
	Binary string // path of the softswitch program
	OutDir string // folder for the configurations, logs and the record of the trial; it is removed if nothing was violated
}

// TrialResult is the outcome of a trial.
type TrialResult struct {
	Seed       uint64
	Counts     map[string]int      // set-ups by their fate
	Violations map[string][]string // by rule, the first few each
	Faults     []string            // what was injected, with times
	Unjudged   int                 // violations seen while the lab itself lagged, which may be its own
}

// trial is one trial while it runs.
type trial struct {
	plan      TrialPlan
	options   TrialOptions
	startedAt time.Time
	// addressBlock is the number of the trial's block of loopback addresses.
	addressBlock int
	checker      *trialChecker
	channel      *trialChannel
	servers      []*trialServer
	members      []*trialMember
	stop         chan struct{} // closed when the callers stop
	tasks        sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	callers [][]*trialCaller // by softswitch
	nextID  uint64
	faults  []string
	busy    map[string]bool // servers and softswitches that a fault is under way at
	renamed int             // servers that were replaced
}

// RunTrial plays a trial. An error means that the trial could not be played.
func RunTrial(plan TrialPlan, options TrialOptions) (*TrialResult, error) {
	t := &trial{plan: plan, options: options, startedAt: time.Now(), stop: make(chan struct{}), rng: rand.New(rand.NewPCG(plan.Seed, 1)),
		busy: make(map[string]bool), addressBlock: int(startedTrials.Add(1) % trialAddressBlocks)}
	t.nextID = t.rng.Uint64() | 1
	if err := os.MkdirAll(options.OutDir, 0o755); err != nil {
		return nil, err
	}
	rules, err := parseRules(t.plan.settings())
	if err != nil {
		return nil, err
	}
	t.checker = newTrialChecker(t.plan.Softswitches, rules, t.now)
	defer t.close()
	if err := t.startWorld(); err != nil {
		return nil, err
	}
	t.play()
	for _, server := range t.servers {
		server.reportStandingCalls()
	}
	t.checker.finish()
	result := &TrialResult{Seed: plan.Seed, Counts: t.checker.counts, Faults: t.faults}
	result.Violations, result.Unjudged = t.checker.judge()
	return result, t.writeRecord(result)
}

// now returns the time since the trial started.
func (t *trial) now() time.Duration { return time.Since(t.startedAt) }

// startWorld starts the servers, the command channel and the softswitches.
func (t *trial) startWorld() error {
	var memberHosts, serverHosts, channelHosts []string
	for i := range t.plan.Softswitches {
		memberHosts, serverHosts, channelHosts = append(memberHosts, t.host(1, i)), append(serverHosts, t.host(2, i)), append(channelHosts, t.host(3, i))
	}
	var entries []serverChange
	for i := range t.plan.Servers {
		server, err := newTrialServer(fmt.Sprintf("s%d", i+1), serverHosts, t.checker, rand.New(rand.NewPCG(t.rng.Uint64(), 2)))
		if err != nil {
			return err
		}
		server.capacity, server.faults, server.holdTime, server.serviceTime, server.reportInterval = t.plan.Capacity, t.plan.ServerFaults, t.plan.HoldTime, t.plan.ServiceTime, t.plan.ReportInterval
		t.servers = append(t.servers, server)
		server.start()
		entries = append(entries, serverChange{name: server.name, status: "in_service"})
	}
	var err error
	if t.channel, err = newTrialChannel(channelHosts, t.checker, t.serverAddress); err != nil {
		return err
	}
	t.channel.publish(true, entries...)
	for i, host := range memberHosts {
		address, err := freePort("tcp", host)
		if err != nil {
			return err
		}
		t.members = append(t.members, &trialMember{trial: t, index: i, listenAddr: address, dir: filepath.Join(t.options.OutDir, MemberName(i))})
		t.callers = append(t.callers, nil)
	}
	for _, m := range t.members {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range t.members {
		m.awaitReady()
	}
	return nil
}

// host returns the loopback address for a softswitch in one of the trial's networks. No other trial of this process has it, and of another
// process hardly any: while a stand-in refuses connections, its port is free for others to take.
func (t *trial) host(network, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%processAddressBlocks, t.addressBlock*networksPerTrial+network, index+1)
}

// Numbers of address blocks. The second octet belongs to a process, the third to a trial and its network.
const (
	processAddressBlocks = 250
	trialAddressBlocks   = 60
	networksPerTrial     = 4
)

// startedTrials counts the trials of this process.
var startedTrials atomic.Int64

// serverAddress returns the address at which a softswitch reaches a server. A replaced server keeps its address.
func (t *trial) serverAddress(name string, member int) string {
	index := int(name[1] - '1')
	return t.servers[index].listeners[member].Addr().String()
}

// play runs the callers and the faults, and waits until the calls have ended.
func (t *trial) play() {
	for member := range t.members {
		t.tasks.Go(func() { t.call(member) })
		t.tasks.Go(func() { t.members[member].watchLimits(t.stop) })
	}
	go t.watchLag()
	if t.plan.Rude > 0 {
		t.tasks.Go(t.sendGarbage)
	}
	start := t.now()
	for _, step := range t.plan.Steps {
		time.Sleep(start + step.At - t.now())
		t.record("step: %s", step.Kind)
		t.tasks.Go(func() { t.playStep(step) })
	}
	time.Sleep(start + t.plan.Length - t.now())
	close(t.stop)
	t.tasks.Wait()
	t.channel.setMode(channelServing)
	time.Sleep(settle)
}

// maxTrialLag is the lag of the lab above which a trial does not judge what it sees.
const maxTrialLag = 25 * time.Millisecond

// watchLag measures by how much the lab itself is late, until the trial is closed.
func (t *trial) watchLag() {
	const tick = 5 * time.Millisecond
	for {
		before := t.now()
		select {
		case <-t.channel.done:
			return
		case <-time.After(tick):
		}
		if now := t.now(); now-before > maxTrialLag {
			t.checker.recordLag(before, now)
		}
	}
}

// record notes a fault, or a part of one.
func (t *trial) record(format string, args ...any) {
	t.mu.Lock()
	t.faults = append(t.faults, fmt.Sprintf("%.3f ", t.now().Seconds())+fmt.Sprintf(format, args...))
	t.mu.Unlock()
}

// wait waits, and returns earlier when the callers stop.
func (t *trial) wait(duration time.Duration) {
	select {
	case <-t.stop:
	case <-time.After(duration):
	}
}

// exclusively plays a fault unless another one is under way at the same server or softswitch.
func (t *trial) exclusively(key string, fault func()) {
	t.mu.Lock()
	if t.busy[key] {
		t.mu.Unlock()
		return
	}
	t.busy[key] = true
	t.mu.Unlock()
	fault()
	t.mu.Lock()
	delete(t.busy, key)
	t.mu.Unlock()
}

// call sends set-ups to one softswitch until the callers stop.
func (t *trial) call(member int) {
	for {
		t.mu.Lock()
		gap := time.Duration(t.rng.ExpFloat64() * float64(t.plan.Interval))
		rude := t.rng.Float64() < t.plan.Rude
		left := t.plan.Deadline/4 + time.Duration(t.rng.Int64N(int64(t.plan.Deadline*3/4)))
		t.nextID += 2
		id := t.nextID
		t.mu.Unlock()
		select {
		case <-t.stop:
			return
		case <-time.After(gap):
		}
		caller := t.caller(member, t.plan.Connections)
		if caller == nil {
			continue
		}
		if !rude {
			caller.sendSetUp(id, left, false)
			continue
		}
		t.tasks.Go(func() { t.callRudely(caller, id, left) })
	}
}

// callRudely sends a set-up in one of the ways of bad callers.
func (t *trial) callRudely(caller *trialCaller, id uint64, left time.Duration) {
	switch id / 2 % 5 {
	case 0: // gives up early
		if caller.sendSetUp(id, left, false) {
			time.Sleep(left / 10)
			caller.giveUp(id)
		}
	case 1: // gives up at once
		if caller.sendSetUp(id, left, false) {
			caller.giveUp(id)
		}
	case 2: // writes slowly, on a connection of its own
		if own := t.dialTrialCaller(caller.member); own != nil {
			own.sendSetUp(id, left, true)
			t.addCaller(own)
		}
	case 3: // closes its connection just after the set-up
		if own := t.dialTrialCaller(caller.member); own != nil {
			own.sendSetUp(id, left, false)
			own.leave()
		}
	case 4: // asks for very little time
		caller.sendSetUp(id, time.Millisecond*time.Duration(5+id%40), false)
	}
}

// sendGarbage connects to softswitches and sends what is no message, until the callers stop.
func (t *trial) sendGarbage() {
	garbage := [][]byte{{0}, {0, 9, 1}, {255, 255, 1, 2, 3}, {0, 1, 99}, []byte("GET / HTTP/1.1\r\n\r\n"), {0, 9, 77, 0, 0, 0, 0, 0, 0, 0, 1}, {0, 3, 1, 2, 3}}
	for i := 0; ; i++ {
		if conn := t.dialTrialCaller(i % len(t.members)); conn != nil {
			conn.conn.Write(garbage[i%len(garbage)])
			time.AfterFunc(time.Duration(i%7)*100*time.Millisecond, conn.leave)
		}
		select {
		case <-t.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// answered handles an answer. Some callers end their calls themselves, on any connection.
func (t *trial) answered(c *trialCaller, id uint64, description string, pending bool) {
	t.checker.finalAnswer(id, true, description)
	t.mu.Lock()
	endsCall, hold := pending && t.rng.IntN(4) == 0, time.Duration(t.rng.ExpFloat64()*float64(t.plan.HoldTime))
	t.mu.Unlock()
	if !endsCall {
		return
	}
	time.AfterFunc(hold, func() {
		if other := t.caller(c.member, 1); other != nil && other.release(id) {
			t.checker.callEnded(anyServer, id, "released by the caller", unknownTime)
		}
	})
}

// writeRecord writes what was violated and injected, or removes the trial's folder if nothing was violated.
func (t *trial) writeRecord(result *TrialResult) error {
	if len(result.Violations) == 0 {
		return os.RemoveAll(t.options.OutDir)
	}
	text := fmt.Sprintf("seed %d\ncounts %v\n", result.Seed, result.Counts)
	var rules []string
	for rule := range result.Violations {
		rules = append(rules, rule)
	}
	slices.Sort(rules)
	for _, rule := range rules {
		text += rule + "\n\t" + strings.Join(result.Violations[rule], "\n\t") + "\n"
	}
	text += "faults\n\t" + strings.Join(result.Faults, "\n\t") + "\n"
	plan, err := t.plan.encode()
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(filepath.Join(t.options.OutDir, "record.txt"), []byte(text), 0o644),
		os.WriteFile(filepath.Join(t.options.OutDir, "plan.toml"), plan, 0o644))
}

// close ends the processes and closes all sockets.
func (t *trial) close() {
	for _, m := range t.members {
		m.end()
	}
	t.mu.Lock()
	callers := slices.Concat(t.callers...)
	t.mu.Unlock()
	for _, c := range callers {
		c.leave()
	}
	if t.channel != nil {
		t.channel.close()
	}
	for _, server := range t.servers {
		server.close()
	}
}
