package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of a planned restart (PROTOCOL).
const (
	longestCountedDeadline = 3 * time.Second        // a longer deadline does not delay SIGKILL
	killAfterDeadline      = 700 * time.Millisecond // from the longest deadline after SIGTERM to SIGKILL
	connectionsAfterStop   = 300 * time.Millisecond // from SIGTERM to the last new connection
	readyLimit             = 10 * time.Second       // from the start of a softswitch until it must pass a test
	memoryLimitMB          = 192
	callersNotice          = 20 * time.Millisecond // from the end of a process until its callers have read the ends of their connections
)

// trialMember is a softswitch of a trial.
type trialMember struct {
	trial      *trial
	index      int
	listenAddr string
	dir        string

	mu        sync.Mutex // guards the fields below
	cmd       *exec.Cmd
	exited    chan struct{} // closed when the process has exited
	ending    bool          // the process was told to end
	accepting bool          // callers open new connections
	moves     int           // configurations that moved the command channel
}

// config returns the configuration with the present list of servers.
func (m *trialMember) config() ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": MemberName(m.index), "listen": m.listenAddr, "seed": fmt.Sprintf("%016x", m.trial.rngUint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryLimitMB, "sockets": m.trial.plan.Sockets},
		"channel":  m.trial.channel.listeners[m.index][m.moves%2].Addr().String(),
		"known":    m.trial.channel.initialState(m.index),
		"settings": m.trial.plan.settings(),
	})
}

// rngUint64 returns a random number.
func (t *trial) rngUint64() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Uint64()
}

// writeConfig writes the configuration file whole.
func (m *trialMember) writeConfig() error {
	text, err := m.config()
	if err != nil {
		return err
	}
	path := filepath.Join(m.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts the process.
func (m *trialMember) start() error {
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.writeConfig(); err != nil {
		return err
	}
	off := filepath.Join(m.dir, "off.toml")
	if err := os.WriteFile(off, []byte("enabled = false\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log.jsonl"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.trial.options.Binary)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(m.dir, "config.json"), "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_MGMT=",
		"TMPDIR="+m.dir, "ELMSEAM_SIGNALLING="+off, "ELMSEAM_MEMBERS="+off)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	m.trial.channel.tellInitialState(m.index)
	m.trial.checker.softswitchKilled(m.index, false)
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.ending = cmd, exited, false
	go func() {
		err := cmd.Wait()
		log.Close()
		m.mu.Lock()
		ending := m.ending
		m.mu.Unlock()
		if !ending {
			m.trial.checker.report("crash", "n%d ended by itself: %v", m.index+1, err)
		}
		close(exited)
	}()
	return nil
}

// awaitReady waits until the softswitch passes a test, and lets callers connect then.
func (m *trialMember) awaitReady() {
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if m.passesTest() {
			m.mu.Lock()
			m.accepting = true
			m.mu.Unlock()
			return
		}
	}
	m.trial.checker.report("not ready", "n%d within %v", m.index+1, readyLimit)
}

// passesTest asks the softswitch for a test.
func (m *trialMember) passesTest() bool {
	conn, err := net.DialTimeout("tcp", m.listenAddr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	conn.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	reply := make([]byte, 15)
	_, err = conn.Read(reply)
	return err == nil && reply[14] == 1
}

// acceptsConnections says whether callers open new connections to the softswitch.
func (m *trialMember) acceptsConnections() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepting
}

// signal sends a signal to the process.
func (m *trialMember) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd.Process.Signal(signal)
}

// prepareEnd records that the process is about to be ended, and returns the channel that is closed when it has exited.
func (m *trialMember) prepareEnd() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ending = true
	return m.exited
}

// setAccepting says whether callers open new connections.
func (m *trialMember) setAccepting(accepting bool) {
	m.mu.Lock()
	m.accepting = accepting
	m.mu.Unlock()
}

// kill kills the process. stoppedAt is the time of its SIGTERM, or unknownTime.
func (m *trialMember) kill(stoppedAt time.Duration) {
	exited := m.prepareEnd()
	m.setAccepting(false)
	select {
	case <-exited:
		return
	default:
	}
	m.trial.checker.softswitchKilled(m.index, stoppedAt == unknownTime)
	m.signal(syscall.SIGKILL)
	<-exited
	time.Sleep(callersNotice)
	m.trial.checker.softswitchDown(m.index, stoppedAt, true)
}

// terminate stops the process as at a planned restart.
func (m *trialMember) terminate() {
	m.trial.record("n%d SIGTERM", m.index+1)
	exited := m.prepareEnd()
	stoppedAt := m.trial.now()
	m.signal(syscall.SIGTERM)
	stopConnecting := time.AfterFunc(connectionsAfterStop, func() { m.setAccepting(false) })
	defer stopConnecting.Stop()
	select {
	case <-exited:
		m.setAccepting(false)
		time.Sleep(callersNotice)
		m.trial.checker.softswitchDown(m.index, stoppedAt, false)
		m.trial.record("n%d ended after %v", m.index+1, m.trial.now()-stoppedAt)
	case <-time.After(min(m.trial.plan.Deadline, longestCountedDeadline) + killAfterDeadline):
		m.trial.record("n%d SIGKILL after SIGTERM", m.index+1)
		m.kill(stoppedAt)
	}
}

// restart starts the process again; the callers come back at once.
func (m *trialMember) restart() {
	if err := m.start(); err != nil {
		m.trial.checker.report("crash", "n%d does not start: %v", m.index+1, err)
		return
	}
	m.awaitReady()
	m.trial.record("n%d ready again", m.index+1)
}

// reload gives the softswitch a new configuration that moves the command channel.
func (m *trialMember) reload() {
	m.mu.Lock()
	m.moves++
	err := m.writeConfig()
	m.mu.Unlock()
	if err == nil {
		m.signal(syscall.SIGHUP)
	}
}

// watchLimits checks the process against its limits until stop is closed.
func (m *trialMember) watchLimits(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		m.mu.Lock()
		pid := m.cmd.Process.Pid
		m.mu.Unlock()
		if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(files) > m.trial.plan.Sockets {
			m.trial.checker.report("limit of descriptors", "n%d has %d, limit %d", m.index+1, len(files), m.trial.plan.Sockets)
		}
		if size := residentMB(pid); size > memoryLimitMB {
			m.trial.checker.report("limit of memory", "n%d has %d MB", m.index+1, size)
		}
	}
}

// residentMB returns the resident memory of a process in MB; 0: unknown.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// end ends the process, if there is one, and reports what its log says of a panic.
func (m *trialMember) end() {
	m.mu.Lock()
	started := m.cmd != nil
	m.mu.Unlock()
	if started {
		exited := m.prepareEnd()
		m.signal(syscall.SIGKILL)
		<-exited
	}
}
