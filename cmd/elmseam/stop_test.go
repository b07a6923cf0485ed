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

// The program stops with set-ups that wait for their answer, callers that go on asking on open connections and on new
// ones, and signals that come again and again. Each set-up gets one answer or crosses the close of its connection, and no
// connection is reset. A reload that comes while it stops, or twenty, hides no SIGTERM.
func TestStopUnderLoad(t *testing.T) {
	srv := listen(t)
	p := startProgram(t, "", endpoint("s", "in_service", srv))
	peer := acceptServer(t, srv)
	waiting := dial(t, p.listen)
	waiting.sendSetUp(1)
	id := peer.wantLine(`"offer"`)
	go func() { // it refuses whatever else it is asked
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
		owed  bool
		since time.Duration
		err   error
	}
	ends := make(chan end)
	var requested atomic.Int64
	makeCalls := func(c *conn, call uint64) {
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
		go makeCalls(dial(t, p.listen), uint64(n+1)<<32)
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
		if newConns++; newConns == 3 { // in the grace
			fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n"+`{"op":"end","call":%q,"with":{},"why":16}`+"\n", id, id)
			answered = true
		}
		go makeCalls(newConn(t, c, nil), uint64(100+newConns)<<32)
		time.Sleep(5 * time.Millisecond)
	}
	for range callers + newConns {
		if e := <-ends; e.err != io.EOF || !e.owed {
			t.Errorf("a connection ends with %v, %v after its last set-up", e.err, e.since)
		}
	}
	if waiting.wantFrame(9, 1); !answered {
		t.Error("the test has not met its case")
	}
	waiting.wantFrame(12, 1)
	if _, err := waiting.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection that waited ends with %v", err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the program ends with %v", err)
	}
	t.Logf("%d set-ups asked for, %d new connections", requested.Load(), newConns)
}

// The program starts again while the channel is down and its list is stale: a server on it has gone, and its address takes
// no connections. It passes the front's test at once, and serves by those that are there.
func TestReadyWithCommandChannelDown(t *testing.T) {
	srv, gone := listen(t), listen(t)
	p := newProgram(t, endpoint("gone", "in_service", gone), endpoint("s", "in_service", srv))
	p.channel.Close()
	gone.Close()
	p.launch("")
	caller := dial(t, p.listen)
	caller.Write([]byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 58, 0, 1, 0})
	if caller.wantFrame(53, 9)[3] != 1 {
		t.Error("it doesn't pass the test")
	}
	peer := acceptServer(t, srv)
	caller.sendSetUp(1)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", peer.wantLine(`"offer"`))
	caller.wantFrame(9, 1)
}
