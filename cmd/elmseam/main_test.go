package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"elmseam/internal/leak"
)

// testTimeout is the limit for events that must occur; a passing test does not wait it out.
const testTimeout = 20 * time.Second

// TestMain runs the program instead of the tests if a test started this binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("ELMSEAM_TEST_RUN") != "" {
		main()
		return
	}
	leak.Main(m)
}

// testSettings are the settings in the program's configuration: one class, at most four attempts. The controller may refuse set-ups
// when a server's answers are delayed by more than a tenth of the retransmit interval, which is long here so that a stall of the
// test machine does not count as such a delay.
const testSettings = `{"request-classes":[{"name":"voice","effect":"free","gain":1,"objective-us":1000000,"hard-limit-us":3000000}],
 "family-info":{"own-number":-1,"release-guard-us":200000,"retransmit-us":20000000},
 "limits":{"max-attempts":4,"max-open":100,"connect-timeout-us":500000,"retry-after":true,"max-retry-after-us":2000000,"cancel":true},
 "load-report":{"columns":["spare","total","cut_by"],"via":"inline"},"obligations":{"cold-from":0.3,"ramp-time-us":14000000,
 "tip-multiple":2.5,"tip-after-us":1000000}}`

// program is the program under test, running in a process of its own.
type program struct {
	*testing.T
	cmd      *exec.Cmd
	config   string       // path of the configuration file
	logLines chan string  // log lines after the one that reports the callers' address
	listen   string       // address for platform callers
	m3ua     string       // address for M3UA callers
	mgmt     string       // address of the admin endpoint
	channel  net.Listener // stand-in for the command channel
}

// startProgram starts the program with the given servers in its configuration, and waits until it listens.
func startProgram(t *testing.T, signalling string, servers ...string) *program {
	t.Helper()
	p := newProgram(t, servers...)
	p.launch(signalling)
	return p
}

// newProgram writes a configuration with the given servers and does not start the program.
func newProgram(t *testing.T, servers ...string) *program {
	p := &program{T: t, channel: listen(t), config: filepath.Join(t.TempDir(), "config.json"), logLines: make(chan string, 100)}
	p.writeConfig(p.channel, testSettings, servers...)
	return p
}

// launch starts the program, with the given variables added to its environment, and waits until it listens.
func (p *program) launch(signalling string, env ...string) {
	t := p.T
	t.Helper()
	p.cmd = programCommand(p.config, signalling)
	p.cmd.Env = append(p.cmd.Env, env...)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd := p.cmd
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	lines := bufio.NewScanner(out)
	for p.listen == "" && lines.Scan() {
		var l struct{ Listen, M3UA, Mgmt string }
		json.Unmarshal(lines.Bytes(), &l)
		p.listen, p.m3ua, p.mgmt = l.Listen, p.m3ua+l.M3UA, p.mgmt+l.Mgmt
	}
	if p.listen == "" {
		t.Fatal("the program does not start")
	}
	go func() {
		for lines.Scan() {
			select {
			case p.logLines <- lines.Text():
			default:
			}
		}
	}()
}

// writeConfig writes the configuration file.
func (p *program) writeConfig(channel net.Listener, settings string, servers ...string) {
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","mgmt":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"memory_mb":192,"sockets":1024},
		"channel":%q,"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"snapshot":true,"endpoints":[%s]}}]},"settings":%s}`,
		channel.Addr(), strings.Join(servers, ","), settings)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		p.Fatal(err)
	}
}

// wantLog waits for a log line that contains the text.
func (p *program) wantLog(text string) {
	p.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case line := <-p.logLines:
			if strings.Contains(line, text) {
				return
			}
		case <-timeout:
			p.Fatalf("no log line contains %q", text)
		}
	}
}

// programCommand returns the command that runs this test binary as the program.
func programCommand(config, signalling string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ELMSEAM_TEST_RUN=1", "ROUTER_CONFIG="+config, "ROUTER_NAME=", "ROUTER_LISTEN=", "TMPDIR=")
	if signalling != "" {
		cmd.Env = append(cmd.Env, "ELMSEAM_SIGNALLING="+signalling)
	}
	return cmd
}

// serverEntry returns the entry of a server in a command of the command channel.
func serverEntry(name, status string, server interface{ Addr() net.Addr }) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"group":0,"status":%q,"since_ms":0}`, name, server.Addr(), status)
}

// listen opens a loopback port that is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// conn is a connection to the program from a peer that the test plays.
type conn struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

// newConn wraps a connection, which is closed when the test ends.
func newConn(t *testing.T, netConn net.Conn, err error) *conn {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { netConn.Close() })
	netConn.SetDeadline(time.Now().Add(testTimeout))
	return &conn{t, netConn, bufio.NewReader(netConn)}
}

// accept accepts a connection from the program.
func accept(t *testing.T, listener net.Listener) *conn {
	t.Helper()
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	netConn, err := listener.Accept()
	return newConn(t, netConn, err)
}

// acceptServer accepts both connections that the program makes to a server. The result reads the lines of both and writes
// to the first.
func acceptServer(t *testing.T, listener net.Listener) *conn {
	t.Helper()
	first := accept(t, listener)
	pipeReader, pipeWriter := io.Pipe()
	lines := bufio.NewWriterSize(pipeWriter, 1<<16)
	var mu sync.Mutex
	var readers sync.WaitGroup
	for _, serverConn := range []*conn{first, accept(t, listener)} {
		readers.Go(func() {
			for {
				text, err := serverConn.reader.ReadString('\n')
				if err != nil {
					return
				}
				mu.Lock()
				lines.WriteString(text)
				lines.Flush()
				mu.Unlock()
			}
		})
	}
	go func() { readers.Wait(); pipeWriter.Close() }()
	return &conn{t, first.Conn, bufio.NewReader(pipeReader)}
}

// dial connects to the program.
func dial(t *testing.T, address string) *conn {
	t.Helper()
	netConn, err := net.Dial("tcp", address)
	return newConn(t, netConn, err)
}

// wantLine reads a line of the servers' protocol, which must contain want, and returns the call id in the line, if any.
func (c *conn) wantLine(want string) string {
	c.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.Contains(line, want) {
		c.Fatalf("line %q, %v, want %s", line, err, want)
	}
	if match := regexp.MustCompile(`"call":"([0-9a-f]{16})"`).FindStringSubmatch(line); match != nil {
		return match[1]
	}
	return ""
}

// readBytes reads n bytes.
func (c *conn) readBytes(n int) []byte {
	c.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c.reader, b); err != nil {
		c.Fatalf("%d bytes: %v", n, err)
	}
	return b
}

// wantCallerMessage reads a message of the callers' protocol, which must have the given type (9 answer, 12 release, 53
// readiness) and call, and returns its parameters.
func (c *conn) wantCallerMessage(kind byte, call uint64) []byte {
	c.Helper()
	message := c.readBytes(int(binary.BigEndian.Uint16(c.readBytes(2))))
	if message[0] != kind || binary.BigEndian.Uint64(message[1:]) != call {
		c.Fatalf("message %x, want type %d for call %x", message, kind, call)
	}
	return message[9:]
}

// sendSetUp asks for a call of the class voice.
func (c *conn) sendSetUp(call uint64) { c.sendSetUpOfClass("voice", call) }

// sendSetUpOfClass asks for a call of the given class.
func (c *conn) sendSetUpOfClass(class string, call uint64) { c.Write(setUpMessage(class, call)) }

// setUpMessage encodes a set-up in the callers' protocol.
func setUpMessage(class string, call uint64) []byte {
	message := binary.BigEndian.AppendUint64([]byte{0, 0, 1}, call)
	for code, value := range map[byte]string{16: class, 19: "60000", 28: "0a", 31: "dest:0;width:1;via:-1", 61: "d"} {
		message = append(append(message, code, 0, byte(len(value))), value...)
	}
	message[1] = byte(len(message) - 2)
	return message
}

// acceptEventStream answers the program's request on the command channel and returns its Last-Event-ID.
func (c *conn) acceptEventStream() (lastEventID string) {
	c.Helper()
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.Fatal(err)
		}
		if v, ok := strings.CutPrefix(line, "Last-Event-ID: "); ok {
			lastEventID = strings.TrimSpace(v)
		}
		if line == "\r\n" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			return lastEventID
		}
	}
}

// sendEvent sends a change of servers on the command channel, in chunks that end at arbitrary places.
func (c *conn) sendEvent(cursor int, serverEntries ...string) {
	text := fmt.Sprintf(": comment\n\nid: %d\ndata: {\"cursor\":%d,\"nodes\":{\"snapshot\":false,\"endpoints\":[%s]}}\n\n",
		cursor, cursor, strings.Join(serverEntries, ","))
	for len(text) > 0 {
		n := min(7, len(text))
		fmt.Fprintf(c, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
}

// TestServeFollowStop checks that the program serves calls, follows the command channel after its connection broke, and
// after a SIGTERM still accepts and answers calls during the grace period.
func TestServeFollowStop(t *testing.T) {
	old, added := listen(t), listen(t)
	process := startProgram(t, "", serverEntry("old", "in_service", old))
	first := acceptServer(t, old)
	caller := dial(t, process.listen)
	caller.sendSetUp(1)
	callID := first.wantLine(`"offer"`)
	fmt.Fprintf(first, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", callID)
	if b := caller.wantCallerMessage(9, 1); !bytes.Equal(b, []byte{61, 0, 1, 'x'}) {
		t.Errorf("answer %x", b)
	}

	channel := accept(t, process.channel)
	if last := channel.acceptEventStream(); last != "1" {
		t.Errorf("Last-Event-ID %s, want 1", last)
	}
	channel.sendEvent(2, serverEntry("new", "in_service", added))
	second := acceptServer(t, added)
	channel.Close()
	channel = accept(t, process.channel)
	if last := channel.acceptEventStream(); last != "2" {
		t.Errorf("Last-Event-ID %s, want 2", last)
	}
	channel.sendEvent(3, serverEntry("old", "terminated", old))
	first.wantLine(`"op":"end","call":"0000000000000001"`) // the call established on the removed server ends there too
	if _, err := first.reader.ReadByte(); err != io.EOF {  // the connection to the server closes when its calls have ended
		t.Errorf("the old server reads %v, want EOF", err)
	}
	caller.wantCallerMessage(12, 1) // the call established on the removed server ends
	caller.sendSetUp(2)
	callID = second.wantLine(`"offer"`)

	process.cmd.Process.Signal(syscall.SIGTERM)
	caller.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0}) // the readiness test must fail from now on: repeated until it does
	for caller.wantCallerMessage(53, 9)[3] != 0 {
		caller.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	}
	answer := func(callID string) { fmt.Fprintf(second, `{"op":"accept","call":%q,"with":{},"desc":""}`+"\n", callID) }
	answer(callID) // an unanswered set-up would keep the next one from the server
	caller.wantCallerMessage(9, 2)
	lateCaller := dial(t, process.listen)
	lateCaller.sendSetUp(3)
	lateID := second.wantLine(`"offer"`)
	answer(lateID)
	lateCaller.wantCallerMessage(9, 3)
	for _, callID := range []string{callID, lateID} {
		fmt.Fprintf(second, `{"op":"end","call":%q,"with":{},"why":16}`+"\n", callID)
	}
	caller.wantCallerMessage(12, 2)
	lateCaller.wantCallerMessage(12, 3)
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("the program exits with %v", err)
	}
}

// TestReload checks that SIGHUP, which once ended the program, reloads the configuration: an invalid file changes nothing,
// a new command channel is followed from the cursor reached, calls of a new class are offered to a server, and open calls
// stay open, also after repeated signals and while the program stops.
func TestReload(t *testing.T) {
	srv, channel := listen(t), listen(t)
	process := startProgram(t, "", serverEntry("s", "in_service", srv))
	peer := acceptServer(t, srv)
	caller := dial(t, process.listen)
	caller.sendSetUp(1)
	callID := peer.wantLine(`"offer"`)
	oldChannel := accept(t, process.channel)
	oldChannel.acceptEventStream()
	oldChannel.sendEvent(2, serverEntry("s", "in_service", srv))

	os.WriteFile(process.config, []byte(`{"name":"n1"}`), 0o600)
	process.cmd.Process.Signal(syscall.SIGHUP)
	process.wantLog("configuration rejected")
	process.writeConfig(channel, strings.Replace(testSettings, `"total"`, `"spare"`, 1)) // invalid: the same column twice
	process.cmd.Process.Signal(syscall.SIGHUP)
	process.wantLog("load-report.columns[1]")
	process.writeConfig(channel, strings.Replace(testSettings, `[{"name":"voice"`, `[{"name":"video","effect":"free","gain":1,"objective-us":1000000,"hard-limit-us":3000000},{"name":"voice"`, 1))
	process.cmd.Process.Signal(syscall.SIGHUP)
	newChannel := accept(t, channel)
	if last := newChannel.acceptEventStream(); last != "2" {
		t.Errorf("Last-Event-ID %s, want 2", last)
	}
	process.cmd.Process.Signal(syscall.SIGHUP)
	process.wantLog("configuration reloaded")
	// The open call is answered first, because the controller sends no other set-up to a server that has left one
	// unanswered for a part of the retransmit interval.
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":""}`+"\n", callID)
	caller.wantCallerMessage(9, 1)
	caller.sendSetUpOfClass("video", 2)
	second := peer.wantLine(`"video"`)

	process.cmd.Process.Signal(syscall.SIGTERM)
	process.wantLog("stopping")
	process.cmd.Process.Signal(syscall.SIGHUP)
	process.wantLog("configuration reloaded")
	fmt.Fprintf(peer, `{"op":"end","call":%q,"with":{},"why":16}`+"\n", callID)
	caller.wantCallerMessage(12, 1)
	fmt.Fprintf(peer, `{"op":"end","call":%q,"with":{},"why":47}`+"\n", second)
	caller.wantCallerMessage(12, 2)
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("the program exits with %v", err)
	}
}

// TestExampleConfigStarts guards against an example configuration that the program rejects.
func TestExampleConfigStarts(t *testing.T) {
	p := &program{T: t, config: filepath.Join("..", "..", "deploy", "example.json"), logLines: make(chan string, 100)}
	p.launch("", "ROUTER_LISTEN=127.0.0.1:0", "ROUTER_MGMT=127.0.0.1:0")
	if p.listen == "" {
		t.Error("the program does not listen")
	}
}

// TestReloadWithM3UA guards against a crash: a class that a reload adds has no M3UA category, so its calls to an M3UA
// server must be refused. Such a call crashed the program while M3UA kept the classes of the start.
func TestReloadWithM3UA(t *testing.T) {
	srv := listen(t)
	path := filepath.Join(t.TempDir(), "m3ua.toml")
	os.WriteFile(path, fmt.Appendf(nil, `enabled = true
		[m3ua]
		listen = "127.0.0.1:0"
		point_code = 100
		routing_context = 1
		heartbeat_ms = 5000
		circuits = 8
		categories = { voice = 11 }
		[[m3ua.server]]
		name = "hlr"
		address = %q
		point_code = 201`, srv.Addr()), 0o600)
	process := startProgram(t, path)
	hlr := accept(t, srv)
	hlr.readBytes(8) // ASP Up
	hlr.Write([]byte{1, 0, 3, 4, 0, 0, 0, 8})
	hlr.readBytes(16) // ASP Active
	hlr.Write([]byte{1, 0, 4, 3, 0, 0, 0, 8})
	iam := func() byte { return hlr.readBytes(int(binary.BigEndian.Uint32(hlr.readBytes(8)[4:])) - 8)[26] }
	caller := dial(t, process.listen)
	caller.sendSetUp(1)
	if kind := iam(); kind != 1 {
		t.Fatalf("ISUP message type %d, want an IAM", kind)
	}
	process.writeConfig(process.channel, strings.Replace(testSettings, `[{"name":"voice"`, `[{"name":"video","effect":"free","gain":1,"objective-us":1000000,"hard-limit-us":3000000},{"name":"voice"`, 1))
	process.cmd.Process.Signal(syscall.SIGHUP)
	process.wantLog("configuration reloaded")
	caller.sendSetUpOfClass("video", 2)
	caller.wantCallerMessage(12, 2)
	caller.sendSetUp(3)
	if kind := iam(); kind != 1 {
		t.Fatalf("ISUP message type %d, want another IAM", kind)
	}
}

// TestInvalidConfiguration checks that the program exits on an invalid configuration, with one line that names the field,
// and on an invalid signalling file, with an error that names the field.
func TestInvalidConfiguration(t *testing.T) {
	validConfig := `{"name":"n","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":1,"sockets":99},"channel":"127.0.0.1:1","settings":` + testSettings + "}"
	for field, text := range map[string]string{
		"ROUTER_CONFIG":      `{"name":`,
		"name":               strings.Replace(validConfig, `"n"`, `""`, 1),
		"listen":             strings.Replace(validConfig, "127.0.0.1:0", "here", 1),
		"seed":               strings.Replace(validConfig, `"1"`, `"x"`, 1),
		"limits.memory_mb":   strings.Replace(validConfig, `"memory_mb":1`, `"memory_mb":0`, 1),
		"limits.sockets":     strings.Replace(validConfig, "99", "9", 1),
		"channel":            strings.Replace(validConfig, "127.0.0.1:1", "", 1),
		"request-classes[0]": strings.Replace(validConfig, `"voice"`, `""`, 1),
		"columns[2]":         strings.Replace(validConfig, `"cut_by"`, `"total"`, 1),
		"tenants[1].share":   strings.Replace(validConfig, `"limits":{"max`, `"tenants":[{"name":"a","share":0.7},{"name":"b","share":0.6}],"limits":{"max`, 1),
		"known.cmds[0]":      strings.Replace(validConfig, `"channel"`, `"known":{"cmds":[{"nodes":{"endpoints":[{"name":"s"}]}}]},"channel"`, 1),
	} {
		path := filepath.Join(t.TempDir(), "c.json")
		os.WriteFile(path, []byte(text), 0o600)
		out, err := programCommand(path, "").CombinedOutput()
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte(field+":")) && !bytes.Contains(out, []byte(field+".")) {
			t.Errorf("%s: %v, %s", field, err, out)
		}
	}
	for field, text := range map[string]string{
		"m3ua.listen":       "enabled = true",
		"m3ua.points":       "[m3ua]\npoints = 1",
		"m3ua.categories.x": "enabled = true\n[m3ua]\nlisten = \"127.0.0.1:0\"\npoint_code = 1\nheartbeat_ms = 1\ncircuits = 1\n[m3ua.categories]\nx = 1",
	} {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, "c.json"), []byte(validConfig), 0o600)
		os.WriteFile(filepath.Join(dir, "m.toml"), []byte(text), 0o600)
		out, err := programCommand(filepath.Join(dir, "c.json"), filepath.Join(dir, "m.toml")).CombinedOutput()
		if err == nil || !bytes.Contains(out, []byte(field+":")) {
			t.Errorf("%s: %v, %s", field, err, out)
		}
	}
}

// TestInvalidMembersFile checks that the program exits on an invalid members file, or on a configuration that does not
// describe the tier, with one line that names the field. If the settings permit no peer messages, the program must serve
// with membership off.
func TestInvalidMembersFile(t *testing.T) {
	tierFields := `"peer_listen":"127.0.0.1:1","peers":["127.0.0.1:1","127.0.0.1:2"],`
	permitted := strings.Replace(testSettings, `"max-open"`, `"peer-messages":true,"max-open"`, 1)
	withIndex := strings.Replace(permitted, `{"request-classes"`, `{"me":1,"peers-total":2,"request-classes"`, 1)
	for field, tc := range map[string]struct{ members, tier, settings string }{
		"period": {"enabled = true\nperiod = \"1ms\"", tierFields, withIndex},
		"who":    {"who = 1", tierFields, withIndex},

		"knowledge.half_life": {"enabled = true\n[knowledge]\nenabled = true\nhalf_life = \"0s\"", tierFields, withIndex},
		"knowledge.enabled":   {"[knowledge]\nenabled = true", tierFields, withIndex},
		"parts.lease":         {"enabled = true\n[parts]\nenabled = true\nlease = \"1ms\"", tierFields, withIndex},
		"parts.enabled":       {"[parts]\nenabled = true", tierFields, withIndex},
		"peers":               {"enabled = true", "", withIndex},
		"peers[0]":            {"enabled = true", `"peer_listen":"127.0.0.1:1","peers":["x","y"],`, withIndex},
		"peer_listen":         {"enabled = true", `"peers":["127.0.0.1:1","127.0.0.1:2"],`, withIndex},
		"settings.me":         {"enabled = true", tierFields, permitted},
	} {
		dir := t.TempDir()
		config, members := filepath.Join(dir, "c.json"), filepath.Join(dir, "members.toml")
		os.WriteFile(config, []byte(`{"name":"n","listen":"127.0.0.1:0","seed":"1","limits":{"memory_mb":1,"sockets":99},"channel":"127.0.0.1:1",`+
			tc.tier+`"settings":`+tc.settings+"}"), 0o600)
		os.WriteFile(members, []byte(tc.members), 0o600)
		cmd := programCommand(config, "")
		cmd.Env = append(cmd.Env, "ELMSEAM_MEMBERS="+members)
		out, err := cmd.CombinedOutput()
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte(field+":")) {
			t.Errorf("%s: %v, %s", field, err, out)
		}
	}
	members := filepath.Join(t.TempDir(), "members.toml")
	os.WriteFile(members, []byte("enabled = true"), 0o600)
	process := newProgram(t)
	process.launch("", "ELMSEAM_MEMBERS="+members)
	process.wantResponse("/ops/members", 404, "membership is off")
}

// TestDeploymentWithoutPeerMessages runs a deployment with tenants and shares, load reports without a hold-back share, five
// attempts, and no peer messages, although the members file enables membership and the configuration names a tier. The
// program must serve calls and send no datagram from start to end. With peer messages permitted it must send some.
func TestDeploymentWithoutPeerMessages(t *testing.T) {
	for _, permitted := range []bool{false, true} {
		srv, channel := listen(t), listen(t)
		var tierConns [2]*net.UDPConn
		for i := range tierConns {
			udpConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			tierConns[i] = udpConn
			defer udpConn.Close()
		}
		tierConns[0].Close() // the program opens this address itself
		members := filepath.Join(t.TempDir(), "members.toml")
		os.WriteFile(members, []byte("enabled = true"), 0o600)
		process := newProgram(t)
		text := strings.NewReplacer(`"total","cut_by"`, `"total","recent_ms"`, `"max-attempts":4`, `"max-attempts":5,"probes":true,"peer-messages":`+fmt.Sprint(permitted),
			`{"request-classes"`, `{"me":0,"peers-total":2,"over-share-worth":0.1,"tenants":[{"name":"a","share":0.5,"allowance-per-s":9}],"request-classes"`).Replace(testSettings)
		process.writeConfig(channel, text, serverEntry("s", "in_service", srv))
		config, _ := os.ReadFile(process.config)
		config = bytes.Replace(config, []byte(`{"name"`), fmt.Appendf(nil, `{"peer_listen":%q,"peers":[%[1]q,%q],"name"`, tierConns[0].LocalAddr(), tierConns[1].LocalAddr()), 1)
		os.WriteFile(process.config, config, 0o600)
		process.launch("", "ELMSEAM_MEMBERS="+members)
		peer, caller := acceptServer(t, srv), dial(t, process.listen)
		caller.sendSetUp(1)
		fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{"load":"spare:9;total:9;recent_ms:4"},"desc":""}`+"\n", peer.wantLine(`"offer"`))
		caller.wantCallerMessage(9, 1)
		tierConns[1].SetReadDeadline(time.Now().Add(testTimeout))
		if permitted {
			if _, err := tierConns[1].Read(make([]byte, 256)); err != nil {
				t.Errorf("no datagram although peer messages are permitted: %v", err)
			}
			continue
		}
		process.wantResponse("/ops/stats", 200, "app.probes.sent=0\n")
		process.cmd.Process.Signal(syscall.SIGTERM)
		process.wantLog("stopping")
		fmt.Fprintf(peer, `{"op":"end","call":"0000000000000001","with":{},"why":16}`+"\n")
		caller.wantCallerMessage(12, 1)
		if err := process.cmd.Wait(); err != nil {
			t.Errorf("the program exits with %v", err)
		}
		tierConns[1].SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // a datagram sent before has arrived by now
		if n, err := tierConns[1].Read(make([]byte, 256)); err == nil {
			t.Errorf("datagram of %d bytes although peer messages are not permitted", n)
		}
	}
}

// TestM3UAAndBGP checks that the program listens for M3UA callers at the configured address, serves such a caller by a
// platform server, and announces the service address over BGP until a signal stops it.
func TestM3UAAndBGP(t *testing.T) {
	serverListener, neighbour := listen(t), listen(t)
	path := filepath.Join(t.TempDir(), "m3ua.toml")
	text, err := os.ReadFile("../../deploy/m3ua.toml")
	if err != nil {
		t.Fatal(err)
	}
	file := strings.NewReplacer("enabled = false", "enabled = true", "127.0.0.1:2905", "127.0.0.1:0", "activate", "voice",
		"status-check = 10\n", "", "profile-read = 12\n", "").Replace(string(text))
	file += fmt.Sprintf("[[bgp.peer]]\naddress = %q\nas = 64513\n", neighbour.Addr())
	os.WriteFile(path, []byte(file), 0o600)
	process := startProgram(t, path, serverEntry("new", "in_service", serverListener))
	serverConn := acceptServer(t, serverListener)

	peer := accept(t, neighbour)
	marker := bytes.Repeat([]byte{0xff}, 16)
	message := func() (byte, []byte) {
		b := peer.readBytes(19)
		return b[18], peer.readBytes(int(binary.BigEndian.Uint16(b[16:])) - 19)
	}
	message()
	peer.Write(append(marker, 0, 29, 1, 4, 0xfc, 1, 0, 90, 127, 0, 0, 2, 0))
	peer.Write(append(marker, 0, 19, 4))
	kind, body := message()
	for kind == 4 {
		kind, body = message()
	}
	if kind != 2 || !bytes.HasSuffix(body, []byte{32, 127, 0, 0, 1}) {
		t.Errorf("message type %d %x, want an announcement", kind, body)
	}

	client := dial(t, process.m3ua)
	client.Write([]byte{1, 0, 3, 1, 0, 0, 0, 8})
	client.Write([]byte{1, 0, 4, 1, 0, 0, 0, 16, 0, 6, 0, 8, 0, 0, 0, 1})
	// Protocol data from point 300 to 100, national: IAM on circuit 7, category 11, number 12.
	client.Write([]byte{1, 0, 1, 1, 0, 0, 0, 44, 2, 0x10, 0, 33, 0, 0, 1, 44, 0, 0, 0, 100, 5, 2, 0, 7,
		7, 0, 1, 0, 0x60, 1, 11, 0, 2, 0, 3, 3, 0x10, 0x21, 0, 0, 0, 0, 0, 0})
	callID := serverConn.wantLine(`"key":"12"`)
	fmt.Fprintf(serverConn, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", callID)
	for {
		b := client.readBytes(8)
		rest := client.readBytes(int(binary.BigEndian.Uint32(b[4:])) - 8)
		if b[2] == 1 && rest[26] == 9 { // DATA with an ANM
			if !bytes.Equal(rest[27:32], []byte{1, 0x20, 1, 'x', 0}) {
				t.Errorf("ANM %x", rest)
			}
			break
		}
	}
	process.cmd.Process.Signal(syscall.SIGTERM)
	for kind, body = message(); kind == 4; kind, body = message() {
	}
	if kind != 2 || !bytes.Equal(body, []byte{0, 5, 32, 127, 0, 0, 1, 0, 0}) {
		t.Errorf("message type %d %x, want a withdrawal", kind, body)
	}
}
