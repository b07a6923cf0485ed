package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case: the softswitch's processes, its stand-ins and the record.
type play struct {
	*record
	root      string // of the repository
	trouble   bool
	tempDir   string // TMPDIR of the softswitch
	listen    string // the callers' address
	channel   *channel
	servers   []*server
	processes []*process
	env       []string // further environment of the softswitch
	classes   string   // request-classes of the settings; empty: those of a small deployment
	attempts  int

	classCells string // class-cells of the settings; empty: each class may go to the pools 0 to 2
}

// process is one process of the softswitch.
type process struct {
	name   string
	mgmt   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

const smallClasses = `[{"name":"status-check","effect":"free","gain":1,"objective-us":1200000,"hard-limit-us":9000000,"late-worth":0.25,"stream":true},
{"name":"activate","effect":"free","gain":3,"objective-us":1500000,"hard-limit-us":9000000,"late-worth":0.25,"stream":true},
{"name":"profile-read","effect":"free","gain":1,"objective-us":1500000,"hard-limit-us":9000000,"late-worth":0.25,"stream":true}]`

// settings returns the settings of a small deployment.
func (p *play) settings() string {
	classes := p.classes
	if classes == "" {
		classes = smallClasses
	}
	attempts := p.attempts
	if attempts == 0 {
		attempts = 4
	}
	classCells := p.classCells
	if classCells == "" {
		classCells = "[[0,1,2],[0,1,2],[0,1,2]]"
	}
	return fmt.Sprintf(`{"request-classes":%s,
 "family-info":{"class-cells":%s,"own-number":-1,"release-guard-us":200000,"retransmit-us":500000,"topology":"groups","says-wait":false},
 "limits":{"max-attempts":%d,"max-open":20000,"connect-timeout-us":500000,"retry-after":true,"max-retry-after-us":2000000,"cancel":true,"peer-messages":false,"probes":%v},
 "load-report":{"columns":["spare","total","cut_by"],"via":"inline"},
 "obligations":{"cold-from":0.3,"ramp-time-us":14000000,"tip-multiple":2.5,"tip-after-us":1000000,"drain-grace-us":250000},
 "me":0,"peers-total":1,"zone":0}`, classes, classCells, attempts, os.Getenv("PROBES") != "")
}

// sockets returns the limit on descriptors.
func (p *play) sockets() int {
	if n, err := strconv.Atoi(os.Getenv("SOCKETS")); err == nil {
		return n
	}
	return 1024
}

// writeConfig writes the configuration file and returns its path. The platform servers of the play are the known ones.
func (p *play) writeConfig(name string) string {
	var known any = map[string]any{"cursor": 1, "cmds": []any{p.channel.snapshot()}}
	config := map[string]any{
		"name": "n1", "listen": p.listen, "seed": "9d41c07a5be2f318",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": p.sockets()}, "channel": p.channel.address,
		"known": known, "settings": json.RawMessage(p.settings()),
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		panic(err)
	}
	path := filepath.Join(p.tempDir, name)
	if err := os.WriteFile(path, text, 0o644); err != nil {
		panic(err)
	}
	return path
}

// start starts a process of the softswitch with the run command of the deploy file.
func (p *play) start(name string) (*process, error) {
	deploy, err := os.ReadFile(filepath.Join(p.root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if match == nil {
		return nil, fmt.Errorf("no run command in the deploy file")
	}
	proc := &process{name: name, mgmt: freeAddress(), exited: make(chan struct{})}
	proc.cmd = exec.Command("/bin/sh", "-c", string(match[1]))
	proc.cmd.Dir = p.root
	proc.cmd.Env = append(os.Environ(), "ROUTER_NAME=n1", "ROUTER_LISTEN="+p.listen, "ROUTER_CONFIG="+p.writeConfig("config.json"),
		"ROUTER_MGMT="+proc.mgmt, "TMPDIR="+p.tempDir)
	proc.cmd.Env = append(proc.cmd.Env, p.env...)
	stderr, err := proc.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := proc.cmd.Start(); err != nil {
		return nil, err
	}
	p.printf("run      %s started, process %d: %s", name, proc.cmd.Process.Pid, match[1])
	go func() {
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			p.printf("log      %s %s", name, lines.Text())
		}
		io.Copy(io.Discard, stderr)
		err := proc.cmd.Wait()
		p.printf("run      %s has ended: %v", name, err)
		close(proc.exited)
	}()
	p.processes = append(p.processes, proc)
	return proc, nil
}

// signal sends a signal to a process of the softswitch.
func (p *play) signal(proc *process, s syscall.Signal) {
	p.printf("run      %v to %s", s, proc.name)
	proc.cmd.Process.Signal(s)
}

// hasEnded says whether a process has ended.
func (proc *process) hasEnded() bool {
	select {
	case <-proc.exited:
		return true
	default:
		return false
	}
}

// awaitEnd waits until a process has ended, and reports whether it has.
func (proc *process) awaitEnd(timeout time.Duration) bool {
	select {
	case <-proc.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// awaitReady waits until the process answers yes at its second address.
func (p *play) awaitReady(proc *process, timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if proc.hasEnded() {
			return false
		}
		if response, err := client.Get("http://" + proc.mgmt + "/ops/readiness"); err == nil {
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				p.printf("run      %s says it is ready", proc.name)
				return true
			}
		}
	}
	return false
}

// end ends everything that the play has started.
func (p *play) end() {
	for _, proc := range p.processes {
		if !proc.hasEnded() {
			proc.cmd.Process.Kill()
			proc.awaitEnd(5 * time.Second)
		}
	}
	for _, s := range p.servers {
		s.close()
	}
	if p.channel != nil {
		p.channel.close()
	}
	os.RemoveAll(p.tempDir)
}

// channel is the command channel: it has told one event, the list of servers, and sends a comment each second.
type channel struct {
	address  string
	listener net.Listener
	list     []*server

	mu     sync.Mutex
	down   bool          // new calls are cut off at once, open streams are closed
	later  []any         // events after the first one
	change chan struct{} // closed at each change
}

func newChannel(servers []*server) (*channel, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &channel{address: listener.Addr().String(), listener: listener, list: servers, change: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
		for {
			c.mu.Lock()
			down, change := c.down, c.change
			events := append([]any{c.snapshot()}, c.later...)
			c.mu.Unlock()
			if down {
				panic(http.ErrAbortHandler)
			}
			for ; last < len(events); last++ {
				text, _ := json.Marshal(events[last])
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, text)
			}
			fmt.Fprint(w, ": \n\n")
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-change:
			case <-time.After(time.Second):
			}
		}
	})
	go http.Serve(listener, mux)
	return c, nil
}

func (c *channel) close() { c.listener.Close() }

// setDown makes the channel fail, or work again.
func (c *channel) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	close(c.change)
	c.change = make(chan struct{})
}

// publish tells a change of endpoints.
func (c *channel) publish(endpoints ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cursor := len(c.later) + 2
	c.later = append(c.later, map[string]any{"cursor": cursor, "nodes": map[string]any{"index": cursor, "snapshot": false, "endpoints": endpoints}})
	close(c.change)
	c.change = make(chan struct{})
}

// snapshot returns the first event.
func (c *channel) snapshot() any {
	var endpoints []any
	for _, s := range c.list {
		endpoints = append(endpoints, map[string]any{"name": s.name, "address": s.address, "zone": "zagreb", "type": "std-1core", "group": s.group,
			"status": "in_service", "weight": 1, "since_ms": 0})
	}
	return map[string]any{"cursor": 1, "nodes": map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints}}
}

// repositoryRoot returns the folder above this program's own that holds the deploy file.
func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	for ; err == nil; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy/balancer.toml")); err == nil {
			return dir, nil
		}
		if strings.Count(dir, "/") <= 1 {
			break
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml not found above the working folder")
}
