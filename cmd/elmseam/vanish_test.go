package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"elmseam/internal/faultnet"
)

// releaseLimit is the time from the end of a call until its caller must have read a release if its server could send none.
const releaseLimit = 8*time.Second + 50*time.Millisecond

// machine is a stand-in server on a machine that can vanish. It answers every set-up and releases no call.
type machine struct {
	*faultnet.Listener
	reportInterval time.Duration   // 0: no reports
	stop           <-chan struct{} // closed when the test ends

	ended chan string // ids of the calls that the softswitch has ended, as far as there is room

	mu       sync.Mutex // guards the fields below
	conns    map[net.Conn]bool
	standing map[string]bool // ids of the calls that stand at the present process
	vanished bool
}

// startMachine starts a machine whose server reports its state at the interval.
func startMachine(t *testing.T, reportInterval time.Duration) *machine {
	t.Helper()
	listener, err := faultnet.Listen("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	m := &machine{Listener: listener, reportInterval: reportInterval, stop: t.Context().Done(), conns: make(map[net.Conn]bool), standing: make(map[string]bool), ended: make(chan string, 16)}
	t.Cleanup(func() {
		listener.Close()
		m.resetConns()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[conn] = true
			m.mu.Unlock()
			go m.serve(conn)
			go m.report(conn)
		}
	}()
	return m
}

// offerPattern matches the line of a set-up.
var offerPattern = regexp.MustCompile(`"op":"offer","call":"([0-9a-f]{16})"`)

// endPattern matches the line that ends a set-up or a call.
var endPattern = regexp.MustCompile(`"op":"end","call":"([0-9a-f]{16})"`)

// serve answers the set-ups of a connection.
func (m *machine) serve(conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		if match := offerPattern.FindStringSubmatch(lines.Text()); match != nil {
			m.setStanding(match[1], true)
			m.send(conn, fmt.Sprintf(`{"op":"accept","call":%q,"with":{},"desc":"x"}`, match[1]))
		}
		if match := endPattern.FindStringSubmatch(lines.Text()); match != nil {
			m.setStanding(match[1], false)
			select {
			case m.ended <- match[1]:
			default:
			}
		}
	}
}

// setStanding records that a call stands at the present process, or does no longer.
func (m *machine) setStanding(call string, stands bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stands {
		m.standing[call] = true
	} else {
		delete(m.standing, call)
	}
}

// standingCalls returns the ids of the calls that stand at the present process, in order.
func (m *machine) standingCalls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.standing))
}

// report sends the state of the server's group at the interval, until the connection is closed.
func (m *machine) report(conn net.Conn) {
	for m.reportInterval > 0 && m.send(conn, groupReport) == nil && pause(m.stop, m.reportInterval) {
	}
}

// pause waits, and reports whether it did so to the end.
func pause(stop <-chan struct{}, duration time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// send writes a line, unless the machine has vanished.
func (m *machine) send(conn net.Conn, line string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vanished {
		return nil
	}
	_, err := io.WriteString(conn, line+"\n")
	return err
}

// groupReport is the line by which a server reports its state.
const groupReport = `{"op":"group","call":"0000000000000000","with":{"load":"cut_by:0"}}`

// vanish makes the machine silent and unreachable, right after a report if its server reports.
func (m *machine) vanish() {
	m.mu.Lock()
	for conn := range m.conns {
		if m.reportInterval > 0 {
			io.WriteString(conn, groupReport+"\n")
		}
	}
	m.vanished = true
	m.mu.Unlock()
	m.SetMode(faultnet.Unreachable)
}

// returnAsNewProcess makes the machine reachable again, with a server that knows none of the former calls and connections.
func (m *machine) returnAsNewProcess() {
	m.resetConns()
	m.mu.Lock()
	m.vanished = false
	m.mu.Unlock()
	m.SetMode(faultnet.Accepting)
}

// restartProcess resets all connections, refuses new ones for a while, and goes on with a server that knows none of the former calls.
func (m *machine) restartProcess(refuseFor time.Duration) {
	if refuseFor > 0 {
		m.SetMode(faultnet.Refusing)
	}
	m.resetConns()
	time.AfterFunc(refuseFor, func() { m.SetMode(faultnet.Accepting) })
}

// releaseCall releases a call on all connections.
func (m *machine) releaseCall(call uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for conn := range m.conns {
		fmt.Fprintf(conn, `{"op":"end","call":"%016x","with":{},"why":16}`+"\n", call)
	}
}

// resetConns resets all connections to the machine, as a process does that dies with its calls.
func (m *machine) resetConns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for conn := range m.conns {
		faultnet.Reset(conn)
	}
	clear(m.conns)
	clear(m.standing)
}

// establishCalls sets calls up, numbered from 1, and waits for their answers.
func establishCalls(caller *conn, count uint64) {
	for call := uint64(1); call <= count; call++ {
		caller.sendSetUp(call)
		caller.wantCallerMessage(9, call)
	}
}

// readReleases reads releases until count have come or the deadline passes, and returns how many came.
func readReleases(caller *conn, count int, deadline time.Time) (released int) {
	caller.SetReadDeadline(deadline)
	for released < count {
		header, err := caller.reader.Peek(3)
		if err != nil {
			return released
		}
		if header[2] == 12 {
			released++
		}
		caller.readBytes(2 + int(binary.BigEndian.Uint16(header)))
	}
	return released
}

// keepActive sends readiness tests, so that the softswitch does not close the connection as idle.
func keepActive(caller *conn) {
	for pause(caller.Context().Done(), time.Second) {
		caller.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	}
}

// TestCallsOfVanishedServerReleasedTooLate guards against releases that come later than 8 s after the calls' server vanished.
func TestCallsOfVanishedServerReleasedTooLate(t *testing.T) {
	for name, test := range map[string]struct {
		reportInterval time.Duration
		returnAfter    time.Duration // 0: the machine does not return
		setUpsGoOn     bool
	}{
		"server that reports every 1 s":     {reportInterval: time.Second},
		"server that has not reported yet":  {},
		"set-ups go on":                     {reportInterval: time.Second, setUpsGoOn: true},
		"new process after 1.2 s":           {reportInterval: 300 * time.Millisecond, returnAfter: 1200 * time.Millisecond},
		"new process after 4 s":             {reportInterval: 300 * time.Millisecond, returnAfter: 4 * time.Second},
		"new process after 6 s":             {reportInterval: 900 * time.Millisecond, returnAfter: 6 * time.Second},
		"new process, server never reports": {returnAfter: 5500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const calls = 3
			server := startMachine(t, test.reportInterval)
			process := startProgram(t, "", serverEntry("s", "in_service", server))
			caller := dial(t, process.listen)
			establishCalls(caller, calls)
			go keepActive(caller)
			time.Sleep(5 * test.reportInterval)
			vanishedAt := time.Now()
			server.vanish()
			if test.setUpsGoOn {
				other := dial(t, process.listen)
				go func() {
					for call := uint64(100); pause(t.Context().Done(), 200*time.Millisecond); call++ {
						other.sendSetUp(call)
					}
				}()
			}
			if test.returnAfter > 0 {
				time.AfterFunc(test.returnAfter, server.returnAsNewProcess)
			}
			inTime := readReleases(caller, calls, vanishedAt.Add(releaseLimit))
			if inTime < calls {
				late := readReleases(caller, calls-inTime, vanishedAt.Add(releaseLimit+5*time.Second))
				t.Errorf("%d of %d calls released in time, %d more by %v after the server vanished", inTime, calls, late, time.Since(vanishedAt))
			}
		})
	}
}

// TestCallsOfRestartedProcessNeverReleased guards against calls that stay established when their server's process dies and another one
// takes its address before anybody notices, while the command channel tells nothing.
func TestCallsOfRestartedProcessNeverReleased(t *testing.T) {
	for name, refuseFor := range map[string]time.Duration{"after 0.7 s": 700 * time.Millisecond, "at once": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const calls = 3
			server := startMachine(t, 300*time.Millisecond)
			process := startProgram(t, "", serverEntry("s", "in_service", server))
			caller := dial(t, process.listen)
			establishCalls(caller, calls)
			go keepActive(caller)
			diedAt := time.Now()
			server.restartProcess(refuseFor)
			if released := readReleases(caller, calls, diedAt.Add(releaseLimit)); released < calls {
				t.Errorf("%d of %d calls released in time", released, calls)
			}
		})
	}
}

// TestReleaseHasNoConnection guards against closing the only connection of a caller, as idle, while its call stands: the release of the call
// then has nowhere to go.
func TestReleaseHasNoConnection(t *testing.T) {
	t.Parallel()
	server := startMachine(t, 300*time.Millisecond)
	process := startProgram(t, "", serverEntry("s", "in_service", server))
	caller := dial(t, process.listen)
	establishCalls(caller, 1)
	pause(t.Context().Done(), 13*time.Second) // longer than the idle time
	server.releaseCall(1)
	if released := readReleases(caller, 1, time.Now().Add(1050*time.Millisecond)); released != 1 {
		t.Error("the call is not released within 1 s")
	}
}
