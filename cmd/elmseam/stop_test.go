package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestStopUnderLoad stops the program while set-ups are outstanding, callers keep calling on open and new connections, and
// signals are repeated. Each set-up must get one answer or cross the close of its connection, and no connection may be
// reset. Twenty reload signals before a SIGTERM, or one while the program stops, must not hide the SIGTERM.
func TestStopUnderLoad(t *testing.T) {
	srv := listen(t)
	process := startProgram(t, "", serverEntry("s", "in_service", srv))
	peer := acceptServer(t, srv)
	waiting := dial(t, process.listen)
	waiting.sendSetUp(1)
	waitingID := peer.wantLine(`"offer"`)
	go func() { // the server refuses all other set-ups
		for {
			text, err := peer.reader.ReadString('\n')
			var refusedID string
			if n, _ := fmt.Sscanf(text, `{"op":"offer","call":%q`, &refusedID); n == 1 {
				fmt.Fprintf(peer, `{"op":"end","call":%q,"with":{},"why":17}`+"\n", refusedID)
			}
			if err != nil {
				return
			}
		}
	}()
	type connEnd struct {
		unanswered bool          // whether the connection ended before any byte of the answer
		elapsed    time.Duration // since the last set-up
		err        error
	}
	connEnds := make(chan connEnd)
	var requested atomic.Int64
	repeatSetUps := func(callerConn *conn, call uint64) {
		for {
			call++
			requested.Add(1)
			setUpAt := time.Now()
			callerConn.sendSetUp(call)
			var head [2]byte
			n, err := io.ReadFull(callerConn.reader, head[:])
			if err == nil {
				_, err = io.CopyN(io.Discard, callerConn.reader, int64(binary.BigEndian.Uint16(head[:])))
			}
			if err != nil {
				callerConn.Close()
				connEnds <- connEnd{n == 0, time.Since(setUpAt), err}
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	const callers = 4
	for n := range callers {
		go repeatSetUps(dial(t, process.listen), uint64(n+1)<<32)
	}
	for range 20 {
		process.cmd.Process.Signal(syscall.SIGHUP)
	}
	process.cmd.Process.Signal(syscall.SIGTERM)
	process.cmd.Process.Signal(syscall.SIGTERM)
	process.wantLog("stopping")
	process.cmd.Process.Signal(syscall.SIGHUP)
	newConns := 0
	answered := false
	for {
		callerConn, err := net.Dial("tcp", process.listen)
		if err != nil {
			break
		}
		if newConns++; newConns == 3 { // within the grace period
			fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n"+`{"op":"end","call":%q,"with":{},"why":16}`+"\n", waitingID, waitingID)
			answered = true
		}
		go repeatSetUps(newConn(t, callerConn, nil), uint64(100+newConns)<<32)
		time.Sleep(5 * time.Millisecond)
	}
	for range callers + newConns {
		if ended := <-connEnds; ended.err != io.EOF || !ended.unanswered {
			t.Errorf("a connection ends with %v, %v after its last set-up", ended.err, ended.elapsed)
		}
	}
	if waiting.wantCallerMessage(9, 1); !answered {
		t.Error("the program closed its listener before the waiting set-up was answered")
	}
	waiting.wantCallerMessage(12, 1)
	if _, err := waiting.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection of the waiting set-up ends with %v, want EOF", err)
	}
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("the program exits with %v", err)
	}
	t.Logf("%d set-ups sent, %d new connections", requested.Load(), newConns)
}

// TestReadyWithCommandChannelDown starts the program while the command channel is down and the configured list of servers
// is stale: one listed server no longer accepts connections. The program must report at once that it accepts work, and
// serve calls by the remaining server.
func TestReadyWithCommandChannelDown(t *testing.T) {
	srv, closed := listen(t), listen(t)
	process := newProgram(t, serverEntry("gone", "in_service", closed), serverEntry("s", "in_service", srv))
	process.channel.Close()
	closed.Close()
	process.launch("")
	caller := dial(t, process.listen)
	caller.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	if caller.wantCallerMessage(53, 9)[3] != 1 {
		t.Error("the program reports that it accepts no work")
	}
	peer := acceptServer(t, srv)
	caller.sendSetUp(1)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", peer.wantLine(`"offer"`))
	caller.wantCallerMessage(9, 1)
}

// TestSetUpsLostAtEarliestKill guards against set-ups that are unanswered when SIGKILL comes at its earliest, the longest deadline (3 s at
// most) and 0.7 s after SIGTERM, while a server hangs and callers go on sending on their open connections.
func TestSetUpsLostAtEarliestKill(t *testing.T) {
	for deadline, killAfter := range map[time.Duration]time.Duration{
		50 * time.Millisecond: 750 * time.Millisecond, time.Second: 1700 * time.Millisecond, 9 * time.Second: 3700 * time.Millisecond,
	} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			hung := listen(t)
			process := newProgram(t, serverEntry("s", "in_service", hung))
			settings := strings.ReplaceAll(testSettings, `"hard-limit-us":3000000`, fmt.Sprintf(`"hard-limit-us":%d`, deadline.Microseconds()))
			settings = strings.ReplaceAll(settings, `"objective-us":1000000`, `"objective-us":10000`)
			process.writeConfig(process.channel, settings, serverEntry("s", "in_service", hung))
			process.launch("")
			peer := acceptServer(t, hung)
			caller := dial(t, process.listen)
			caller.sendSetUp(1)
			id := peer.wantLine(`"offer"`)
			fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", id) // a call that stands throughout
			caller.wantCallerMessage(9, 1)
			go io.Copy(io.Discard, peer.reader)
			stoppedAt := time.Now()
			process.cmd.Process.Signal(syscall.SIGTERM)
			lastSent := make(chan time.Time, 1)
			go func() {
				sentAt := time.Now()
				for call := uint64(2); ; call++ {
					if _, err := caller.Write(setUpMessage("voice", call)); err != nil || !pause(t.Context().Done(), time.Millisecond) {
						lastSent <- sentAt
						return
					}
					sentAt = time.Now()
				}
			}()
			_, err := io.Copy(io.Discard, caller.reader)
			if ended := time.Since(stoppedAt); err != nil || ended > killAfter {
				t.Errorf("the connection ends %v after SIGTERM with %v, want its orderly end by %v", ended, err, killAfter)
			}
			caller.Close()
			<-lastSent
		})
	}
}
