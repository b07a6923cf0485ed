package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// startedServerEntry returns the entry of a server that started late; the zero time stands for a start that is not told.
func startedServerEntry(name, status string, server *machine, startedAt time.Time) string {
	sinceMS := int64(0)
	if !startedAt.IsZero() {
		sinceMS = startedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"group":0,"status":%q,"since_ms":%d}`, name, server.Addr(), status, sinceMS)
}

// followedCaller is a caller that follows which of its calls stand.
type followedCaller struct {
	*conn
	answers chan bool // whether a set-up was answered, or else refused

	mu       sync.Mutex
	standing map[string]bool
}

// followCaller connects a caller to the program.
func followCaller(process *program) *followedCaller {
	caller := &followedCaller{conn: dial(process.T, process.listen), answers: make(chan bool, 1000), standing: make(map[string]bool)}
	caller.SetDeadline(time.Time{})
	go caller.read()
	go keepActive(caller.conn)
	return caller
}

// read follows the answers and releases until the connection ends.
func (c *followedCaller) read() {
	for {
		var length [2]byte
		if _, err := io.ReadFull(c.reader, length[:]); err != nil {
			return
		}
		message := make([]byte, binary.BigEndian.Uint16(length[:]))
		if _, err := io.ReadFull(c.reader, message); err != nil {
			return
		}
		call := fmt.Sprintf("%016x", binary.BigEndian.Uint64(message[1:9]))
		c.mu.Lock()
		switch message[0] {
		case 9:
			c.standing[call] = true
			c.answers <- true
		case 12:
			if !c.standing[call] {
				c.answers <- false
			}
			delete(c.standing, call)
		}
		c.mu.Unlock()
	}
}

// retryIDs is the difference between the ids of two tries of a call.
const retryIDs = 1000

// setUpCalls sets calls up, numbered from first to last, and waits for their answers. A refused one is tried again, as a caller does.
func (c *followedCaller) setUpCalls(first, last uint64) {
	c.Helper()
	for call := first; call <= last; call++ {
		for id := call; !c.setUpCall(id); id += retryIDs {
			pause(c.Context().Done(), 100*time.Millisecond)
		}
	}
}

// setUpCall sends a set-up, and reports whether it was answered, or else refused.
func (c *followedCaller) setUpCall(id uint64) bool {
	c.Helper()
	c.sendSetUp(id)
	select {
	case answered := <-c.answers:
		return answered
	case <-time.After(testTimeout):
		c.Fatalf("set-up %d has neither answer nor refusal", id)
		return false
	}
}

// standingCalls returns the ids of the calls that stand for the caller, in order.
func (c *followedCaller) standingCalls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.standing))
}

// wantSameCalls checks, once all limits have passed, that exactly the calls that stand at the server stand for the caller.
func (c *followedCaller) wantSameCalls(server *machine, deadline time.Time) {
	c.Helper()
	for time.Now().Before(deadline) && !slices.Equal(c.standingCalls(), server.standingCalls()) && pause(c.Context().Done(), 20*time.Millisecond) {
	}
	if atCaller, atServer := c.standingCalls(), server.standingCalls(); !slices.Equal(atCaller, atServer) {
		c.Errorf("calls standing for the caller %v, at the server %v", atCaller, atServer)
	}
}

// eventStream is a stream of the command channel that brings comments, as the program takes a silent one for dead.
type eventStream struct {
	*conn
	mu sync.Mutex // held while an event or a comment is written
}

// acceptCommentedStream accepts the program's request on the command channel.
func acceptCommentedStream(process *program) *eventStream {
	stream := &eventStream{conn: accept(process.T, process.channel)}
	stream.acceptEventStream()
	go func() {
		for pause(stream.Context().Done(), 500*time.Millisecond) {
			stream.mu.Lock()
			io.WriteString(stream, "2\r\n:\n\r\n")
			stream.mu.Unlock()
		}
	}()
	return stream
}

// sendEvent sends a change of servers.
func (s *eventStream) sendEvent(cursor int, serverEntries ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn.sendEvent(cursor, serverEntries...)
}

// startWithCalls starts the program with a server, on which a caller's calls 1 to 3 stand.
func startWithCalls(t *testing.T) (server *machine, channel *eventStream, caller *followedCaller) {
	t.Helper()
	server = startMachine(t, 300*time.Millisecond)
	process := startProgram(t, "", serverEntry("former", "in_service", server))
	channel = acceptCommentedStream(process)
	caller = followCaller(process)
	caller.setUpCalls(1, 3)
	return server, channel, caller
}

// TestCallsOfDeadProcessLeftWithNextServer guards against calls that are never released: their server died, and the list then named another
// one at its address that had started before they were answered.
func TestCallsOfDeadProcessLeftWithNextServer(t *testing.T) {
	t.Parallel()
	server, channel, caller := startWithCalls(t)
	nextStartedAt := time.Now()
	pause(t.Context().Done(), 5*time.Millisecond)
	caller.setUpCalls(4, 6)
	pause(t.Context().Done(), 60*time.Millisecond)
	diedAt := time.Now()
	server.restartProcess(0)
	pause(t.Context().Done(), 700*time.Millisecond)
	channel.sendEvent(2, serverEntry("former", "terminated", server), startedServerEntry("next", "in_service", server, nextStartedAt))
	caller.wantSameCalls(server, diedAt.Add(releaseLimit))
}

// awaitConns waits until connections are open to the present process, and have been for a while.
func (m *machine) awaitConns(t *testing.T, count int) {
	t.Helper()
	const settled = 300 * time.Millisecond
	since := time.Now()
	for deadline := since.Add(testTimeout); time.Since(since) < settled; pause(m.stop, 10*time.Millisecond) {
		m.mu.Lock()
		open := len(m.conns)
		m.mu.Unlock()
		if open < count {
			since = time.Now()
		}
		if since.After(deadline) {
			t.Fatalf("%d connections, want %d", open, count)
		}
	}
}

// listOrder says in which events the list tells that another process has a server's address.
type listOrder string

// The orders.
const (
	goneAndReady  listOrder = "former gone and next ready in one event"
	readyAndGone  listOrder = "next ready and former gone in one event"
	goneThenReady listOrder = "former gone, then next ready"
	readyThenGone listOrder = "next ready, then former gone"
	goneOnly      listOrder = "former gone, next never listed"
	restarted     listOrder = "another start under the same name"
)

// replacement is a process that takes the address of a server's former one.
type replacement struct {
	order     listOrder
	start     time.Duration // as the list tells it, from the end of the former process
	startTold bool
	refuseFor time.Duration // from the end of the former process until the next one listens
	silentFor time.Duration // from the former machine's silent end until the next process listens; 0: the former process resets its connections
}

// events returns the entries of the list's events.
func (r replacement) events(server *machine, endedAt time.Time) [][]string {
	var startedAt time.Time
	if r.startTold {
		startedAt = endedAt.Add(r.start)
	}
	gone, ready := serverEntry("former", "terminated", server), startedServerEntry("next", "in_service", server, startedAt)
	switch r.order {
	case goneAndReady:
		return [][]string{{gone, ready}}
	case readyAndGone:
		return [][]string{{ready, gone}}
	case goneThenReady:
		return [][]string{{gone}, {ready}}
	case readyThenGone:
		return [][]string{{ready}, {gone}}
	case goneOnly:
		return [][]string{{gone}}
	}
	return [][]string{{startedServerEntry("former", "in_service", server, startedAt)}}
}

// play replaces the process of a server with calls, sets calls up on the next one before the list names it, and compares both sides.
func (r replacement) play(t *testing.T) {
	t.Parallel()
	server, channel, caller := startWithCalls(t)
	pause(t.Context().Done(), 20*time.Millisecond)
	endedAt := time.Now()
	if r.silentFor > 0 {
		server.vanish()
		pause(t.Context().Done(), r.silentFor)
		server.returnAsNewProcess()
		server.awaitConns(t, 2)
	} else {
		server.restartProcess(r.refuseFor)
	}
	pause(t.Context().Done(), r.refuseFor+200*time.Millisecond)
	caller.setUpCalls(4, 6)
	pause(t.Context().Done(), 400*time.Millisecond)
	for i, entries := range r.events(server, endedAt) {
		channel.sendEvent(2+i, entries...)
		pause(t.Context().Done(), 300*time.Millisecond)
	}
	caller.sendSetUp(7)
	caller.sendSetUp(8)
	pause(t.Context().Done(), time.Until(endedAt.Add(releaseLimit)))
	caller.wantSameCalls(server, endedAt.Add(releaseLimit))
}

// replacementStarts are the starts of the next process that the list may tell, from the end of the former one.
var replacementStarts = []time.Duration{-500 * time.Millisecond, -100 * time.Millisecond, 0, 250 * time.Millisecond, time.Hour}

// playStarts plays the replacements of an order.
func playStarts(t *testing.T, order listOrder) {
	for _, start := range replacementStarts {
		t.Run(fmt.Sprintf("%s, start %v after the end", order, start), replacement{order: order, start: start, startTold: true}.play)
	}
	t.Run(fmt.Sprintf("%s, start not told", order), replacement{order: order, refuseFor: 50 * time.Millisecond}.play)
}

// TestCallsStandOnOneSideAfterReplacement guards against calls that stand only for their caller or only at their server, after another server
// has taken the address.
func TestCallsStandOnOneSideAfterReplacement(t *testing.T) {
	for _, order := range []listOrder{goneAndReady, goneThenReady, readyThenGone} {
		playStarts(t, order)
	}
	t.Run("silent machine", replacement{order: goneAndReady, startTold: true, start: 1500 * time.Millisecond, silentFor: 2 * time.Second}.play)
	for _, order := range []listOrder{readyAndGone, goneOnly} {
		t.Run(string(order), replacement{order: order, startTold: true, refuseFor: 50 * time.Millisecond}.play)
	}
}

// TestCallsStandOnOneSideAfterRestart guards against the same after a restart that the list names late.
func TestCallsStandOnOneSideAfterRestart(t *testing.T) { playStarts(t, restarted) }

// TestCallsStandOnOneSideAfterReplacementInUpgrade guards against the same where the predecessor of an upgrade has some of the calls.
func TestCallsStandOnOneSideAfterReplacementInUpgrade(t *testing.T) {
	for _, order := range []listOrder{goneAndReady, goneThenReady, readyThenGone, restarted} {
		t.Run(string(order), func(t *testing.T) {
			t.Parallel()
			dir, server := t.TempDir(), startMachine(t, 300*time.Millisecond)
			predecessor := startUpgradable(t, dir, serverEntry("former", "in_service", server))
			channels := []*eventStream{acceptCommentedStream(predecessor)}
			caller := followCaller(predecessor)
			caller.setUpCalls(1, 3)
			successor := predecessor.startSuccessor(dir)
			channels = append(channels, acceptCommentedStream(predecessor))
			predecessor.cmd.Process.Signal(syscall.SIGTERM)
			successor.wantConnsTakenOver(1)
			endedAt := time.Now()
			server.restartProcess(0)
			pause(t.Context().Done(), 200*time.Millisecond)
			caller.setUpCalls(4, 6)
			for i, entries := range (replacement{order: order, start: -100 * time.Millisecond, startTold: true}).events(server, endedAt) {
				for _, channel := range channels {
					channel.sendEvent(2+i, entries...)
				}
				pause(t.Context().Done(), 300*time.Millisecond)
			}
			pause(t.Context().Done(), time.Until(endedAt.Add(releaseLimit)))
			caller.wantSameCalls(server, endedAt.Add(releaseLimit))
		})
	}
}
