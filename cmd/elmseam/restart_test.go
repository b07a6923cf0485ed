package main

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"elmseam/internal/faultnet"
)

// releaseLine is the line by which a server releases a call.
const releaseLine = `{"op":"end","call":"%016x","with":{},"why":16}` + "\n"

// restart ends the program by a signal and starts it again at the same address.
func (p *program) restart(signal syscall.Signal) *program {
	p.Helper()
	p.cmd.Process.Signal(signal)
	p.cmd.Wait()
	next := &program{T: p.T, channel: p.channel, config: p.config, logLines: make(chan string, 100)}
	next.launch("", "ROUTER_LISTEN="+p.listen)
	return next
}

// establishAt sets call 1 up at a server that accepts both connections of the program.
func (p *program) establishAt(peer *conn) {
	p.Helper()
	caller := dial(p.T, p.listen)
	caller.sendSetUp(1)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", peer.wantLine(`"offer"`))
	caller.wantCallerMessage(9, 1)
}

// sendOnNewConns sends a line on each connection that a server's listener accepts, until that is closed.
func sendOnNewConns(listener net.Listener, line string) {
	go func() {
		for {
			serverConn, err := listener.Accept()
			if err != nil {
				return
			}
			defer serverConn.Close()
			io.WriteString(serverConn, line)
		}
	}()
}

// TestReleaseLostAtRestart guards against calls that never end for their callers: the server's release came just after the start of the
// next process, when no caller had connected yet.
func TestReleaseLostAtRestart(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		for _, makesCalls := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v, calls %v", signal, makesCalls), func(t *testing.T) {
				t.Parallel()
				srv := listen(t)
				process := startProgram(t, "", serverEntry("s", "in_service", srv))
				process.establishAt(acceptServer(t, srv))
				process = process.restart(signal)
				sendOnNewConns(srv, fmt.Sprintf(releaseLine, 1))
				process.wantLog("release of unknown call")
				caller := dial(t, process.listen)
				if makesCalls {
					caller.sendSetUp(2)
				}
				if released := readReleases(caller, 1, time.Now().Add(2*time.Second)); released != 1 {
					t.Error("the call is not released to its callers")
				}
			})
		}
	}
}

// TestCallerReleaseLostAtRestart guards against calls that stand at a server for ever: their caller released them when the next process had
// no connection to that server.
func TestCallerReleaseLostAtRestart(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			server, other := startMachine(t, 300*time.Millisecond), startMachine(t, 300*time.Millisecond)
			process := startProgram(t, "", serverEntry("s", "in_service", server), serverEntry("other", "in_service", other))
			establishCalls(dial(t, process.listen), 1)
			server.SetMode(faultnet.Refusing)
			process = process.restart(signal)
			process.wantLog("outage of server begins")
			caller := dial(t, process.listen)
			caller.Write([]byte{0, 13, 12, 0, 0, 0, 0, 0, 0, 0, 1, 58, 0, 1, 16})
			caller.wantCallerMessage(16, 1)
			server.SetMode(faultnet.Accepting)
			select {
			case call := <-server.ended:
				if call != "0000000000000001" {
					t.Errorf("call %s is released at the server", call)
				}
			case <-time.After(testTimeout):
				t.Error("the call is not released at its server")
			}
		})
	}
}

// TestReleaseOfDrainingServerLostAtRestart guards against calls that never end for their callers: they stand at a server that drains when the
// next process starts, which made no connection to it for their releases.
func TestReleaseOfDrainingServerLostAtRestart(t *testing.T) {
	t.Parallel()
	srv, other := listen(t), startMachine(t, 300*time.Millisecond)
	process := startProgram(t, "", serverEntry("s", "in_service", srv))
	process.establishAt(acceptServer(t, srv))
	process.writeConfig(process.channel, testSettings, serverEntry("s", "terminating", srv), serverEntry("other", "in_service", other))
	process = process.restart(syscall.SIGKILL)
	caller := dial(t, process.listen)
	caller.sendSetUp(2)
	caller.wantCallerMessage(9, 2)
	sendOnNewConns(srv, fmt.Sprintf(releaseLine, 1))
	if released := readReleases(caller, 1, time.Now().Add(2*time.Second)); released != 1 {
		t.Error("the call is not released to its callers")
	}
}
