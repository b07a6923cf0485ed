package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"elmseam/internal/mgmt"
)

// member is one softswitch process of the fleet. A restarted process keeps the member's name and addresses,
// except for the ports that startFleetAndEnvironment may change before the load begins.
type member struct {
	index int // index in the fleet, from 0
	name  string
	// Addresses for callers, for the admin endpoint and for datagrams between softswitches.
	listenAddr, mgmtAddr, peerAddr string
	// dir holds the configuration and the log of the process.
	dir              string
	underMaintenance bool          // the lab's operator works on the member; guarded by the runner's lock
	mu               sync.Mutex    // guards the fields below
	cmd              *exec.Cmd     // the present or last process
	exited           chan struct{} // closed when that process has exited
	// faultSpans are the spans in which faults that the lab injected disturb the member: start and end; -1 as the
	// end of a span that is still open.
	faultSpans      [][2]time.Duration
	activeFaults    int              // faults that disturb the member now
	ready           bool             // whether the member was ready at the last sample
	starts          int              // processes started so far
	counters        map[string]int64 // counters of the admin endpoint at the last sample, plus those of earlier processes
	earlierCounters map[string]int64 // counters of earlier processes alone
}

// startProcess runs the program with a newly written configuration, which has the present list of servers. The child is in
// its own process group, and the kernel kills it when the lab's thread that started it ends.
func (m *member) startProcess(binary string, config []byte, membersFile string) error {
	configPath := filepath.Join(m.dir, "config.json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return err
	}
	signallingPath := filepath.Join(m.dir, "signalling.toml") // the M3UA protocol stays off
	if err := os.WriteFile(signallingPath, []byte("enabled = false\n"), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.dir, "log.jsonl"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_MGMT=", "TMPDIR=",
		"ELMSEAM_SIGNALLING="+signallingPath, "ELMSEAM_MEMBERS="+membersFile)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return err
	}
	exited := make(chan struct{})
	go func() { cmd.Wait(); logFile.Close(); close(exited) }()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.starts++
	m.earlierCounters = maps.Clone(m.counters)
	m.mu.Unlock()
	return nil
}

// signalProcess sends a signal to the member's process group and reports whether a running process got it.
func (m *member) signalProcess(sig syscall.Signal) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
	}
	return syscall.Kill(-m.cmd.Process.Pid, sig) == nil
}

// stopProcess signals the member's process, continuing it first if it is paused, and waits for its exit. After the timeout
// the process is killed.
func (m *member) stopProcess(sig syscall.Signal, timeout time.Duration) {
	m.signalProcess(syscall.SIGCONT)
	m.signalProcess(sig)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(timeout):
		m.signalProcess(syscall.SIGKILL)
		<-exited
	}
}

// running reports whether the member has a process that has not exited.
func (m *member) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.exited == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// markFaultSpan records that a fault begins or ceases to disturb the member. Faults that overlap share a span, which the last end closes. It
// returns whether the member is disturbed from now on.
func (m *member) markFaultSpan(at time.Duration, begins bool) (disturbed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case begins && m.activeFaults == 0:
		m.faultSpans = append(m.faultSpans, [2]time.Duration{at, -1})
		m.activeFaults = 1
	case begins:
		m.activeFaults++
	case m.activeFaults > 0:
		if m.activeFaults--; m.activeFaults == 0 {
			m.faultSpans[len(m.faultSpans)-1][1] = at
		}
	}
	return m.activeFaults > 0
}

// nextSeed returns the seed of the member's next process, which depends on the seed of the run, the member and the number of its processes.
func (m *member) nextSeed(runSeed uint64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rng := rand.New(rand.NewPCG(runSeed, memberSeedStream+uint64(m.index)))
	for range m.starts {
		rng.Uint64()
	}
	return rng.Uint64()
}

// disturbedDuring reports whether a span of faults overlaps [from, to].
func (m *member) disturbedDuring(from, to time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, span := range m.faultSpans {
		if span[0] <= to && (span[1] < 0 || span[1] >= from) {
			return true
		}
	}
	return false
}

// adminClient makes the requests to the softswitches' admin endpoints.
var adminClient = &http.Client{Timeout: 300 * time.Millisecond}

// pollAdminEndpoint reads readiness and counters from the member's admin endpoint. Without an answer the
// member counts as not ready, and its counters stay as they are.
func (m *member) pollAdminEndpoint() {
	ready := false
	if response, err := adminClient.Get("http://" + m.mgmtAddr + "/ops/readiness"); err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		ready = response.StatusCode == http.StatusOK
	}
	counters := map[string]int64{}
	if response, err := adminClient.Get("http://" + m.mgmtAddr + "/ops/stats"); err == nil {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
		response.Body.Close()
		for _, line := range strings.Split(string(text), "\n") {
			key, value, _ := strings.Cut(line, "=")
			number, _ := strconv.ParseInt(value, 10, 64)
			switch name, _ := strings.CutPrefix(key, "app."); {
			case strings.HasPrefix(name, "transactions.") && strings.HasSuffix(name, ".answered"):
				counters["answered"] += number
			case slices.ContainsFunc(tierCounterGroups, func(p string) bool { return strings.HasPrefix(name, p+".") }):
				counters[name] = number
			}
		}
	}
	m.mu.Lock()
	m.ready = ready
	if len(counters) > 0 {
		m.counters = counters
		for key, value := range m.earlierCounters {
			m.counters[key] += value
		}
	}
	m.mu.Unlock()
}

// sendAdminRequest makes a request to the member's admin endpoint; status 0 means that the request failed.
func (m *member) sendAdminRequest(method, path string) (status int, text []byte) {
	request, err := http.NewRequest(method, "http://"+m.mgmtAddr+path, nil)
	if err != nil {
		return 0, nil
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, _ = io.ReadAll(io.LimitReader(response.Body, 64<<10))
	return response.StatusCode, text
}

// readView reads the member's view of its tier from the admin endpoint.
func (m *member) readView() (view View, ok bool) {
	status, text := m.sendAdminRequest(http.MethodGet, "/ops/members")
	var tier mgmt.TierStatus
	if status != http.StatusOK || json.Unmarshal(text, &tier) != nil {
		return view, false
	}
	view = View{Majority: tier.Majority, ColdQuotaFraction: tier.ColdQuotaFraction}
	for _, entry := range tier.Members {
		view.States = append(view.States, entry.State)
	}
	return view, true
}

// isReady returns the readiness at the last sample.
func (m *member) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// memberConfig returns the JSON configuration that a member is started with (DEPLOY, "What a softswitch is told").
func memberConfig(softswitch *member, seed uint64, channelAddr string, initialState map[string]any, peers []string,
	allPeersAddr string, settings json.RawMessage) []byte {
	config := map[string]any{"name": softswitch.name, "listen": softswitch.listenAddr, "mgmt": softswitch.mgmtAddr,
		"seed":    fmt.Sprintf("%016x", seed),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"channel": channelAddr, "known": initialState, "settings": settings}
	if peers != nil {
		config["peer_listen"], config["peers"], config["peers_all"] = softswitch.peerAddr, peers, allPeersAddr
	}
	text, _ := json.Marshal(config)
	return text
}
