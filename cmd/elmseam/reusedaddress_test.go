package main

import (
	"fmt"
	"testing"
	"time"
)

// startedServerEntry returns the entry of a server that started late.
func startedServerEntry(name, status string, server *machine, startedAt time.Time) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"group":0,"status":%q,"since_ms":%d}`, name, server.Addr(), status, startedAt.UnixMilli())
}

// setUpCalls sets calls up, numbered from first to last, and waits for their answers.
func setUpCalls(caller *conn, first, last uint64) {
	for call := first; call <= last; call++ {
		caller.sendSetUp(call)
		caller.wantCallerMessage(9, call)
	}
}

// TestCallsOfDeadProcessLeftWithNextServer guards against calls that are never released: their server died, and the list then named another
// one at its address that had started before they were answered.
func TestCallsOfDeadProcessLeftWithNextServer(t *testing.T) {
	t.Parallel()
	server := startMachine(t, 300*time.Millisecond)
	process := startProgram(t, "", serverEntry("former", "in_service", server))
	channel := accept(t, process.channel)
	channel.acceptEventStream()
	caller := dial(t, process.listen)
	setUpCalls(caller, 1, 3)
	nextStartedAt := time.Now()
	pause(t.Context().Done(), 5*time.Millisecond)
	setUpCalls(caller, 4, 6)
	pause(t.Context().Done(), 60*time.Millisecond)
	go keepActive(caller)
	diedAt := time.Now()
	server.restartProcess(0)
	pause(t.Context().Done(), 700*time.Millisecond)
	channel.sendEvent(2, serverEntry("former", "terminated", server), startedServerEntry("next", "in_service", server, nextStartedAt))
	if released := readReleases(caller, 6, diedAt.Add(releaseLimit)); released != 6 {
		t.Errorf("%d of 6 calls released in time", released)
	}
}
