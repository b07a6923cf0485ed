package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
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
	p := startProgram(t, "", endpoint("s", "in_service", srv))
	peer := acceptServer(t, srv)
	waiting := dial(t, p.listen)
	waiting.sendSetUp(1)
	id := peer.wantLine(`"offer"`)
	go func() { // the server refuses all other set-ups
		for {
			text, err := peer.r.ReadString('\n')
			var other string
			if n, _ := fmt.Sscanf(text, `{"op":"offer","call":%q`, &other); n == 1 {
				fmt.Fprintf(peer, `{"op":"end","call":%q,"with":{},"why":17}`+"\n", other)
			}
			if err != nil {
				return
			}
		}
	}()
	type end struct {
		unanswered bool          // whether the connection ended before any byte of the answer
		elapsed    time.Duration // since the last set-up
		err        error
	}
	ends := make(chan end)
	var requested atomic.Int64
	repeatSetUps := func(c *conn, call uint64) {
		for {
			call++
			requested.Add(1)
			at := time.Now()
			c.sendSetUp(call)
			var head [2]byte
			n, err := io.ReadFull(c.r, head[:])
			if err == nil {
				_, err = io.CopyN(io.Discard, c.r, int64(binary.BigEndian.Uint16(head[:])))
			}
			if err != nil {
				c.Close()
				ends <- end{n == 0, time.Since(at), err}
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	const callers = 4
	for n := range callers {
		go repeatSetUps(dial(t, p.listen), uint64(n+1)<<32)
	}
	for range 20 {
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.wantLog("stopping")
	p.cmd.Process.Signal(syscall.SIGHUP)
	newConns := 0
	answered := false
	for {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			break
		}
		if newConns++; newConns == 3 { // within the grace period
			fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n"+`{"op":"end","call":%q,"with":{},"why":16}`+"\n", id, id)
			answered = true
		}
		go repeatSetUps(newConn(t, c, nil), uint64(100+newConns)<<32)
		time.Sleep(5 * time.Millisecond)
	}
	for range callers + newConns {
		if e := <-ends; e.err != io.EOF || !e.unanswered {
			t.Errorf("a connection ends with %v, %v after its last set-up", e.err, e.elapsed)
		}
	}
	if waiting.wantFrame(9, 1); !answered {
		t.Error("the program closed its listener before the waiting set-up was answered")
	}
	waiting.wantFrame(12, 1)
	if _, err := waiting.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection of the waiting set-up ends with %v, want EOF", err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the program exits with %v", err)
	}
	t.Logf("%d set-ups sent, %d new connections", requested.Load(), newConns)
}

// TestReadyWithCommandChannelDown starts the program while the command channel is down and the configured list of servers
// is stale: one listed server no longer accepts connections. The program must report at once that it accepts work, and
// serve calls by the remaining server.
func TestReadyWithCommandChannelDown(t *testing.T) {
	srv, closed := listen(t), listen(t)
	p := newProgram(t, endpoint("gone", "in_service", closed), endpoint("s", "in_service", srv))
	p.channel.Close()
	closed.Close()
	p.launch("")
	caller := dial(t, p.listen)
	caller.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	if caller.wantFrame(53, 9)[3] != 1 {
		t.Error("the program reports that it accepts no work")
	}
	peer := acceptServer(t, srv)
	caller.sendSetUp(1)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", peer.wantLine(`"offer"`))
	caller.wantFrame(9, 1)
}
