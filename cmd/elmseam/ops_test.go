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

// request sends a request to the admin endpoint, and fails the test if the response takes longer than a second.
func (p *program) request(method, path string) (int, string) {
	p.Helper()
	req, err := http.NewRequest(method, "http://"+p.mgmt+path, nil)
	if err != nil {
		p.Fatal(err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(req)
	if err != nil {
		p.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		p.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// wantResponse repeats a GET until the response has the status and its body contains the text.
func (p *program) wantResponse(path string, status int, text string) {
	p.Helper()
	last := ""
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		got, body := p.request("GET", path)
		if got == status && strings.Contains(body, text) {
			return
		}
		last = fmt.Sprint(got, " ", body)
	}
	p.Fatalf("%s: %s, want %d with %q", path, last, status, text)
}

// acceptsSetUps asks at the callers' address, by the callers' protocol, whether the program accepts set-ups.
func (p *program) acceptsSetUps() bool {
	c := dial(p.T, p.listen)
	defer c.Close()
	c.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	return c.wantCallerMessage(53, 9)[3] == 1
}

// TestAdminEndpoint checks the admin endpoint's readiness, statistics and drain. Silent connections must not delay other
// requests, and malformed requests must be refused at once.
func TestAdminEndpoint(t *testing.T) {
	srv := listen(t)
	process := startProgram(t, "")
	process.wantResponse("/ops/readiness", 503, "no server")
	channel := accept(t, process.channel)
	channel.acceptEventStream()
	channel.sendEvent(2, serverEntry("s", "in_service", srv))
	peer := acceptServer(t, srv)
	process.wantResponse("/ops/readiness", 200, "")
	for range 40 { // more than the admin endpoint accepts at once
		dial(t, process.mgmt)
	}
	for want, request := range map[int][2]string{404: {"GET", "/ops"}, 405: {"GET", "/ops/drain/start"}} {
		if got, _ := process.request(request[0], request[1]); got != want {
			t.Errorf("%v: %d, want %d", request, got, want)
		}
	}
	for want, text := range map[string]string{" 400 ": "what?\r\n\r\n", " 431 ": "GET /ops/stats HTTP/1.1\r\nX: " + strings.Repeat("x", 9000)} {
		client := dial(t, process.mgmt)
		io.WriteString(client, text)
		if statusLine, err := client.reader.ReadString('\n'); err != nil || !strings.Contains(statusLine, want) {
			t.Errorf("%q, %v, want%s", statusLine, err, want)
		}
	}

	caller, idle := dial(t, process.listen), dial(t, process.listen)
	caller.sendSetUp(1)
	callID := peer.wantLine(`"offer"`)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":""}`+"\n", callID)
	caller.wantCallerMessage(9, 1)
	process.wantResponse("/ops/stats", 200, "app.transactions.voice.answered=1\n")
	process.wantResponse("/ops/stats", 200, "app.sends=1\napp.current=1\napp.cluster_size=1\napp.cluster_unhealthy=0\n")

	for range 2 {
		if got, text := process.request("POST", "/ops/drain/start"); got != 200 {
			t.Fatalf("drain: %d %s", got, text)
		}
		if process.acceptsSetUps() {
			t.Error("the program reports that it accepts work while drained")
		}
	}
	process.wantResponse("/ops/readiness", 503, "drained")
	if _, err := idle.reader.ReadByte(); err != io.EOF { // closed in order, not reset
		t.Errorf("the idle connection ends with %v, want EOF", err)
	}
	fmt.Fprintf(peer, `{"op":"end","call":%q,"with":{},"why":16}`+"\n", callID)
	caller.wantCallerMessage(12, 1) // the established call is released on its own connection, which then closes
	if _, err := caller.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection of an established call ends with %v, want EOF", err)
	}
	process.request("POST", "/ops/drain/stop")
	process.wantResponse("/ops/readiness", 200, "")
	if !process.acceptsSetUps() {
		t.Error("the program accepts no work after the drain")
	}
	process.cmd.Process.Signal(syscall.SIGTERM)
	process.wantLog("stopping")
}

// TestReloadInvalidConfiguration checks that an invalid configuration changes nothing, is counted, and is logged in a line
// that names the field. After a valid one, the open call is still answered, calls of a class that the new
// configuration drops are refused, and calls of a class that it adds are accepted. That an open call keeps the attempt
// limit of its arrival is tested by TestReconfiguration of package core.
func TestReloadInvalidConfiguration(t *testing.T) {
	srv := listen(t)
	process := startProgram(t, "", serverEntry("s", "in_service", srv))
	peer := acceptServer(t, srv)
	valid, err := os.ReadFile(process.config)
	if err != nil {
		t.Fatal(err)
	}
	invalid := map[string]string{
		"":                           "ROUTER_CONFIG:",
		string(valid[:len(valid)/2]): "ROUTER_CONFIG:",
		strings.Replace(string(valid), `"hard-limit-us":3000000`, `"hard-limit-us":0`, 1): "settings.request-classes[0].hard-limit-us",
		strings.Replace(string(valid), `"max-attempts":4`, `"max-attempts":0`, 1):         "settings.limits.max-attempts",
		strings.Replace(string(valid), `"max-attempts":4`, `"max-attempts":-1`, 1):        "settings.limits.max-attempts",
	}
	addWithoutKey := func(field string, path ...string) {
		var topLevel map[string]any
		if err := json.Unmarshal(valid, &topLevel); err != nil {
			t.Fatal(err)
		}
		object := topLevel
		for _, name := range path[:len(path)-1] {
			if list, ok := object[name].([]any); ok {
				object = list[0].(map[string]any)
			} else {
				object = object[name].(map[string]any)
			}
		}
		delete(object, path[len(path)-1])
		text, _ := json.Marshal(topLevel)
		invalid[string(text)] = field
	}
	for _, key := range []string{"name", "listen", "seed", "limits", "channel", "known", "settings"} {
		addWithoutKey(key, key)
	}
	for _, key := range []string{"request-classes", "family-info", "limits", "load-report", "obligations"} {
		addWithoutKey("settings."+key, "settings", key)
	}
	addWithoutKey("settings.limits.max-attempts", "settings", "limits", "max-attempts")
	count := 0
	for text, field := range invalid {
		os.WriteFile(process.config, []byte(text), 0o600)
		process.cmd.Process.Signal(syscall.SIGHUP)
		process.wantLog(field)
		count++
		process.wantResponse("/ops/stats", 200, fmt.Sprintf("app.conf_loaded=0\napp.conf_invalid=%d\n", count))
	}
	caller := dial(t, process.listen)
	caller.sendSetUp(1)
	callID := peer.wantLine(`"offer"`)
	newSettings := strings.Replace(testSettings, `"max-attempts":4`, `"max-attempts":1`, 1)
	process.writeConfig(process.channel, strings.Replace(newSettings, `"name":"voice"`, `"name":"video"`, 1))
	process.cmd.Process.Signal(syscall.SIGHUP)
	process.wantResponse("/ops/stats", 200, "app.conf_loaded=1\n")
	answer := func(callID string, call uint64) {
		fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":""}`+"\n", callID)
		caller.wantCallerMessage(9, call)
	}
	answer(callID, 1)
	caller.sendSetUpOfClass("voice", 2)
	caller.wantCallerMessage(12, 2)
	caller.sendSetUpOfClass("video", 3)
	answer(peer.wantLine(`"video"`), 3)
	process.wantResponse("/ops/stats", 200, "app.transactions.voice.answered=1\n")
	process.wantResponse("/ops/stats", 200, "app.transactions.video.answered=1\n")
}
