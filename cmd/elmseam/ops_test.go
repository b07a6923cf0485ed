package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// call calls the operators' door, and fails where the answer takes longer than a second.
func (p *program) call(method, path string) (int, string) {
	p.Helper()
	req, err := http.NewRequest(method, "http://"+p.mgmt+path, nil)
	if err != nil {
		p.Fatal(err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		p.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		p.Fatal(err)
	}
	return res.StatusCode, string(text)
}

// until calls until the answer is the one wanted, or what it says holds that.
func (p *program) until(path string, status int, part string) {
	p.Helper()
	last := ""
	for late := time.Now().Add(patience); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		got, text := p.call("GET", path)
		if got == status && strings.Contains(text, part) {
			return
		}
		last = fmt.Sprint(got, " ", text)
	}
	p.Fatalf("%s: %s, want %d with %q", path, last, status, part)
}

// test asks at the callers' address whether the program takes work.
func (p *program) test() bool {
	c := dial(p.T, p.listen)
	defer c.Close()
	c.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	return c.frame(53, 9)[3] == 1
}

// Operators ask whether the program can serve, read its figures, and send its callers away and back. Callers who say
// nothing hold up nobody, and what makes no sense is told so at once.
func TestOperators(t *testing.T) {
	srv := listen(t)
	p := start(t, "")
	p.until("/ops/readiness", 503, "no server")
	ch := accept(t, p.channel)
	ch.events()
	ch.event(2, endpoint("s", "in_service", srv))
	peer := server(t, srv)
	p.until("/ops/readiness", 200, "")
	for range 40 { // more than are let in
		dial(t, p.mgmt)
	}
	for want, call := range map[int][2]string{404: {"GET", "/ops"}, 405: {"GET", "/ops/drain/start"}} {
		if got, _ := p.call(call[0], call[1]); got != want {
			t.Errorf("%v: %d, want %d", call, got, want)
		}
	}
	for want, text := range map[string]string{" 400 ": "what?\r\n\r\n", " 431 ": "GET /ops/stats HTTP/1.1\r\nX: " + strings.Repeat("x", 9000)} {
		c := dial(t, p.mgmt)
		io.WriteString(c, text)
		if l, err := c.r.ReadString('\n'); err != nil || !strings.Contains(l, want) {
			t.Errorf("%q, %v, want%s", l, err, want)
		}
	}

	caller, idle := dial(t, p.listen), dial(t, p.listen)
	caller.setUp(1)
	id := peer.line(`"offer"`)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":""}`+"\n", id)
	caller.frame(9, 1)
	p.until("/ops/stats", 200, "app.transactions.voice.answered=1\n")
	p.until("/ops/stats", 200, "app.sends=1\napp.current=1\napp.cluster_size=1\napp.cluster_unhealthy=0\n")

	for range 2 {
		if got, text := p.call("POST", "/ops/drain/start"); got != 200 {
			t.Fatalf("drain: %d %s", got, text)
		}
		if p.test() {
			t.Error("drained, and yet it says that it takes work")
		}
	}
	p.until("/ops/readiness", 503, "drained")
	if _, err := idle.r.ReadByte(); err != io.EOF { // with an orderly end, not a reset
		t.Errorf("the idle connection ends with %v", err)
	}
	fmt.Fprintf(peer, `{"op":"end","call":%q,"with":{},"why":16}`+"\n", id)
	caller.frame(12, 1) // what stood is released on its own connection, which ends then
	if _, err := caller.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection of a call that stood ends with %v", err)
	}
	p.call("POST", "/ops/drain/stop")
	p.until("/ops/readiness", 200, "")
	if !p.test() {
		t.Error("the drain is over, and it takes no work")
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.wantLog("stopping")
}

// A broken file changes nothing and is counted; the one line that is logged names the field. What came before it
// keeps the attempts it came with, and what comes after a good one has the new ones.
func TestRetune(t *testing.T) {
	srv := listen(t)
	p := start(t, "", endpoint("s", "in_service", srv))
	peer := server(t, srv)
	good, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	broken := map[string]string{
		"":                         "ROUTER_CONFIG:",
		string(good[:len(good)/2]): "ROUTER_CONFIG:",
		strings.Replace(string(good), `"hard-limit-us":3000000`, `"hard-limit-us":0`, 1): "settings.request-classes[0].hard-limit-us",
		strings.Replace(string(good), `"max-attempts":4`, `"max-attempts":0`, 1):         "settings.limits.max-attempts",
		strings.Replace(string(good), `"max-attempts":4`, `"max-attempts":-1`, 1):        "settings.limits.max-attempts",
	}
	without := func(field string, path ...string) {
		var top map[string]any
		if err := json.Unmarshal(good, &top); err != nil {
			t.Fatal(err)
		}
		at := top
		for _, name := range path[:len(path)-1] {
			if list, ok := at[name].([]any); ok {
				at = list[0].(map[string]any)
			} else {
				at = at[name].(map[string]any)
			}
		}
		delete(at, path[len(path)-1])
		text, _ := json.Marshal(top)
		broken[string(text)] = field
	}
	for _, key := range []string{"name", "listen", "seed", "limits", "channel", "known", "settings"} {
		without(key, key)
	}
	for _, key := range []string{"request-classes", "family-info", "limits", "load-report", "obligations"} {
		without("settings."+key, "settings", key)
	}
	without("settings.limits.max-attempts", "settings", "limits", "max-attempts")
	count := 0
	for text, field := range broken {
		os.WriteFile(p.config, []byte(text), 0o600)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.wantLog(field)
		count++
		p.until("/ops/stats", 200, fmt.Sprintf("app.conf_loaded=0\napp.conf_invalid=%d\n", count))
	}
	caller := dial(t, p.listen)
	caller.setUp(1)
	id := peer.line(`"offer"`)
	next := strings.Replace(settingsText, `"max-attempts":4`, `"max-attempts":1`, 1)
	p.write(p.channel, strings.Replace(next, `"name":"voice"`, `"name":"video"`, 1))
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.until("/ops/stats", 200, "app.conf_loaded=1\n")
	stand := func(id string, call uint64) {
		fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":""}`+"\n", id)
		caller.frame(9, call)
	}
	stand(id, 1)
	caller.setUpOf("voice", 2)
	caller.frame(12, 2)
	caller.setUpOf("video", 3)
	stand(peer.line(`"video"`), 3)
	p.until("/ops/stats", 200, "app.transactions.voice.answered=1\n")
	p.until("/ops/stats", 200, "app.transactions.video.answered=1\n")
}
