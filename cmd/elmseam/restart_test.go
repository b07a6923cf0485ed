package main

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
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
