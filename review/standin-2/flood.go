package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// badClients are clients that send the same again the moment it is turned away.
type badClients struct {
	connections int
	atOnce      int // set-ups that each connection keeps open
	descSize    int // bytes of the description of a set-up
	duration    time.Duration
}

// floodMemory: a few clients send small set-ups.
func floodMemory(w *world, trouble bool) (verdict, error) {
	return flood(w, trouble, badClients{connections: 4, atOnce: 200, descSize: 18, duration: 12 * time.Second})
}

// floodLarge: many clients send set-ups of nearly 16 KiB.
func floodLarge(w *world, trouble bool) (verdict, error) {
	return flood(w, trouble, badClients{connections: 100, atOnce: 100, descSize: 15900, duration: 6 * time.Second})
}

// flood has bad clients send beside usual ones, and compares the memory of the softswitch with its limit.
func flood(w *world, trouble bool, bad badClients) (verdict, error) {
	const (
		memoryMB = 64
		work     = 20 * time.Millisecond // of the server's processor for a set-up
	)
	w.oneCore = true
	configPath, tmpDir := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "tmp")
	if err := os.Mkdir(tmpDir, 0o700); err != nil {
		return notRun, err
	}
	channel, listen := freeAddress("127.0.0.1"), freeAddress("127.0.0.1")
	if err := startChannel(channel); err != nil {
		return notRun, err
	}
	var endpoints []endpoint
	for i, name := range []string{"s1", "s2"} {
		address := freeAddress("127.0.0.1")
		s, err := startServer(name, address, i, 10*time.Millisecond, 8*time.Second, time.Second)
		if err != nil {
			return notRun, err
		}
		s.work = work
		endpoints = append(endpoints, inService(name, address, i))
	}
	if err := (config{name: "n1", listen: listen, channel: channel, endpoints: endpoints, cells: []int{0, 1}, memoryMB: memoryMB}).write(configPath); err != nil {
		return notRun, err
	}
	p, err := w.start("n1", configPath, tmpDir, freeAddress("127.0.0.1"), "", "")
	if err != nil {
		return notRun, err
	}
	if err := p.waitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	c := newCaller(listen)
	link, err := c.connectTested(5 * time.Second)
	if err != nil {
		return notRun, err
	}
	var sent, turnedAway atomic.Int64
	end := time.Now().Add(bad.duration)
	if trouble {
		for k := range bad.connections {
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				return notRun, err
			}
			defer conn.Close()
			go bad.send(conn, uint64(k+1)<<40, end, &sent, &turnedAway)
		}
	}
	go func() { // the usual clients: 20 calls a second
		for id := uint64(0x100); time.Now().Before(end); id++ {
			link.setUp(id, 3*time.Second, int(id%2))
			time.Sleep(50 * time.Millisecond)
		}
	}()
	most := 0
	for second := 1; time.Now().Before(end); second++ {
		for next := time.Now().Add(time.Second); time.Now().Before(next); time.Sleep(50 * time.Millisecond) {
			most = max(most, anonymousMemory(p.cmd.Process.Pid))
		}
		log.add("check", "second %d: %d set-ups of bad clients sent, %d turned away; memory of the softswitch at most %d KiB so far, without files", second, sent.Load(), turnedAway.Load(), most)
	}
	if p.ended() || most == 0 {
		log.add("check", "the softswitch has ended, or its memory can't be read")
		if p.ended() {
			return broken, nil
		}
		return notRun, fmt.Errorf("no memory figure")
	}
	if most > memoryMB<<10 {
		log.add("check", "over the limit of %d MiB: the softswitch would have been killed", memoryMB)
		return broken, nil
	}
	return held, nil
}

// send keeps some set-ups open on a connection and sends the same again, under a new id, the moment one is turned away.
func (bad badClients) send(conn net.Conn, id uint64, end time.Time, sent, turnedAway *atomic.Int64) {
	desc := bytes.Repeat([]byte("x"), bad.descSize)
	appendSetUp := func(b []byte) []byte {
		id++
		sent.Add(1)
		body := binary.BigEndian.AppendUint64([]byte{frameSetUp}, id)
		for _, p := range [][]byte{param(paramClass, []byte("status-check")), param(paramLeft, []byte("9000")), param(paramNumber, fmt.Appendf(nil, "%016x", id)),
			param(paramExtras, []byte("dest:0;width:1;via:-1")), param(paramDesc, desc)} {
			body = append(body, p...)
		}
		return append(binary.BigEndian.AppendUint16(b, uint16(len(body))), body...)
	}
	var out, in []byte
	for range bad.atOnce {
		out = appendSetUp(out)
	}
	for buf := make([]byte, 64<<10); time.Now().Before(end); {
		if len(out) > 0 {
			if _, err := conn.Write(out); err != nil {
				return
			}
		}
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		in, out = append(in, buf[:n]...), out[:0]
		for len(in) >= 3 {
			size := 2 + int(binary.BigEndian.Uint16(in))
			if len(in) < size {
				break
			}
			if in[2] == frameRelease {
				turnedAway.Add(1)
				out = appendSetUp(out)
			}
			in = in[size:]
		}
		in = append([]byte(nil), in...)
	}
}

// anonymousMemory returns the memory of a process without the pages of files, in KiB; 0 if it can't be read.
func anonymousMemory(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for status := range strings.Lines(string(text)) {
		if fields := strings.Fields(status); len(fields) > 1 && fields[0] == "RssAnon:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}
