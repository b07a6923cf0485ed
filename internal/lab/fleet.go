package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
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

// member is one softswitch process of the fleet, always under the same name and addresses.
type member struct {
	place              int
	name               string
	listen, mgmt, peer string
	dir                string
	worked             bool // the lab's operator is at work on it
	mu                 sync.Mutex
	cmd                *exec.Cmd
	exited             chan struct{}
	troubles           [][2]time.Duration // spans in which a fault of the lab stood in its way; an open one ends at -1
	ready              bool               // at the last sample
	starts             int
	figures            map[string]int64 // its door's at the last sample, with those of earlier lives
	before             map[string]int64 // those alone
}

// freePort asks the system for a free port on a host, for a program that will listen there itself.
func freePort(network, host string) (string, error) {
	switch network {
	case "udp":
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// listenEach opens a TCP listener on a free port of each host, one for each softswitch; all or none.
func listenEach(hosts []string) ([]net.Listener, error) {
	var out []net.Listener
	for _, h := range hosts {
		l, err := net.Listen("tcp", net.JoinHostPort(h, "0"))
		if err != nil {
			for _, o := range out {
				o.Close()
			}
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// start runs the program with a configuration written anew, so that it knows the list as it is now. The child is
// in a process group of its own and dies with the lab's thread that started it.
func (m *member) start(binary string, config []byte, membership string) error {
	path := filepath.Join(m.dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	signalling := filepath.Join(m.dir, "signalling.toml") // the second front stays off
	if err := os.WriteFile(signalling, []byte("enabled = false\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log.jsonl"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_MGMT=", "TMPDIR=",
		"ELMSEAM_SIGNALLING="+signalling, "ELMSEAM_MEMBERS="+membership)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() { cmd.Wait(); log.Close(); close(exited) }()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.starts++
	m.before = maps.Clone(m.figures)
	m.mu.Unlock()
	return nil
}

// signal sends a signal to the member's process group; it says whether there was one.
func (m *member) signal(sig syscall.Signal) bool {
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

// stop kills the member and waits for its end, at most a while.
func (m *member) stop(sig syscall.Signal, wait time.Duration) {
	m.signal(syscall.SIGCONT)
	m.signal(sig)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(wait):
		m.signal(syscall.SIGKILL)
		<-exited
	}
}

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

// trouble opens or closes a span in which the member is hindered by the lab.
func (m *member) trouble(at time.Duration, open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.troubles)
	switch {
	case open && (n == 0 || m.troubles[n-1][1] >= 0):
		m.troubles = append(m.troubles, [2]time.Duration{at, -1})
	case !open && n > 0 && m.troubles[n-1][1] < 0:
		m.troubles[n-1][1] = at
	}
}

// hindered says whether a span of trouble meets [from, to].
func (m *member) hindered(from, to time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.troubles {
		if t[0] <= to && (t[1] < 0 || t[1] >= from) {
			return true
		}
	}
	return false
}

var door = &http.Client{Timeout: 300 * time.Millisecond}

// sample reads the member's door: readiness, and the figures.
func (m *member) sample() {
	ready := false
	if r, err := door.Get("http://" + m.mgmt + "/ops/readiness"); err == nil {
		io.Copy(io.Discard, r.Body)
		r.Body.Close()
		ready = r.StatusCode == http.StatusOK
	}
	figures := map[string]int64{}
	if r, err := door.Get("http://" + m.mgmt + "/ops/stats"); err == nil {
		text, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
		r.Body.Close()
		for _, l := range strings.Split(string(text), "\n") {
			k, v, _ := strings.Cut(l, "=")
			n, _ := strconv.ParseInt(v, 10, 64)
			switch name, _ := strings.CutPrefix(k, "app."); {
			case strings.HasPrefix(name, "transactions.") && strings.HasSuffix(name, ".answered"):
				figures["answered"] += n
			case slices.ContainsFunc(protocols, func(p string) bool { return strings.HasPrefix(name, p+".") }):
				figures[name] = n
			}
		}
	}
	m.mu.Lock()
	m.ready = ready
	if len(figures) > 0 {
		m.figures = figures
		for k, v := range m.before {
			m.figures[k] += v
		}
	}
	m.mu.Unlock()
}

// call calls the member's door.
func (m *member) call(method, path string) (status int, text []byte) {
	req, err := http.NewRequest(method, "http://"+m.mgmt+path, nil)
	if err != nil {
		return 0, nil
	}
	res, err := door.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	text, _ = io.ReadAll(io.LimitReader(res.Body, 64<<10))
	return res.StatusCode, text
}

// view reads what the member's door says of its tier.
func (m *member) view() (v View, ok bool) {
	status, text := m.call(http.MethodGet, "/ops/members")
	var t mgmt.TierStatus
	if status != http.StatusOK || json.Unmarshal(text, &t) != nil {
		return v, false
	}
	v = View{Majority: t.Majority, ColdShare: t.ColdShare}
	for _, e := range t.Members {
		v.States = append(v.States, e.State)
	}
	return v, true
}

func (m *member) isReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// configure is the configuration a member is started with (DEPLOY, "What a softswitch is told").
func configure(m *member, seed uint64, channel string, known map[string]any, peers []string, all string, settings json.RawMessage) []byte {
	c := map[string]any{"name": m.name, "listen": m.listen, "mgmt": m.mgmt, "seed": fmt.Sprintf("%016x", seed),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"channel": channel, "known": known, "settings": settings}
	if peers != nil {
		c["peer_listen"], c["peers"], c["peers_all"] = m.peer, peers, all
	}
	b, _ := json.Marshal(c)
	return b
}
