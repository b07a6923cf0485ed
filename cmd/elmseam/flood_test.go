package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Limits of a softswitch under floods: its memory, and the objective of testSettings' class, within which a caller has its answer.
const (
	floodMemoryMB  = 32
	answerDeadline = time.Second
)

// startSmall starts a program on one processor, with a small memory limit and a listener for M3UA callers.
func startSmall(t *testing.T, servers ...string) *program {
	t.Helper()
	text, err := os.ReadFile("../../deploy/m3ua.toml")
	if err != nil {
		t.Fatal(err)
	}
	signalling := filepath.Join(t.TempDir(), "m3ua.toml")
	file := strings.NewReplacer("enabled = false", "enabled = true", "127.0.0.1:2905", "127.0.0.1:0", "activate", "voice",
		"status-check = 10\n", "", "profile-read = 12\n", "").Replace(string(text))
	os.WriteFile(signalling, []byte(file), 0o600)
	p := newProgram(t, servers...)
	cfg, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	cfg = bytes.Replace(cfg, []byte(`"memory_mb":192`), fmt.Appendf(nil, `"memory_mb":%d`, floodMemoryMB), 1)
	os.WriteFile(p.config, cfg, 0o600)
	p.launch(signalling, "GOMAXPROCS=1")
	return p
}

// anonymousMemory returns the memory of the process without the pages of files, in KiB.
func (p *program) anonymousMemory() int {
	p.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			size, _ := strconv.Atoi(fields[1])
			return size
		}
	}
	p.Fatal("no figure of the memory")
	return 0
}

// flood sends a message at full speed on some connections, and reads what comes, until stop is closed. It connects again when a connection
// ends. first is sent first on each.
func flood(address string, conns int, first, message []byte, stop chan struct{}) (wait func()) {
	var senders sync.WaitGroup
	for range conns {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if conn, err := net.Dial("tcp", address); err == nil {
					floodConn(conn, slices.Concat(first, message), message, stop)
				}
			}
		})
	}
	return senders.Wait
}

// floodConn sends on one connection until it ends or stop is closed.
func floodConn(conn net.Conn, next, message []byte, stop chan struct{}) {
	read := make(chan struct{})
	go func() {
		io.Copy(io.Discard, conn)
		close(read)
	}()
	defer func() {
		conn.Close()
		<-read
	}()
	for ; ; next = message {
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := conn.Write(next)
		select {
		case <-stop:
			return
		default:
		}
		if netErr, ok := err.(net.Error); err != nil && !(ok && netErr.Timeout()) {
			return
		}
	}
}

// Hundreds of callers that send messages of very many short fields at full speed drove the memory of a small softswitch over its limit, and
// other callers waited for seconds: each field took many times its size, and a connection kept its turn as long as it brought input.
func TestManyShortFieldsFromHundredsOfCallers(t *testing.T) {
	const fields = 5000
	callerFields := binary.BigEndian.AppendUint16(nil, 9+3*fields)
	callerFields = binary.BigEndian.AppendUint64(append(callerFields, 1), 9) // a set-up without a class, which is refused
	callerFields = append(callerFields, bytes.Repeat([]byte{99, 0, 0}, fields)...)
	m3uaFields := append([]byte{1, 0, 3, 3, 0, 0, 0x3e, 0x80}, bytes.Repeat([]byte{0, 99, 0, 4}, (0x3e80-8)/4)...)
	m3uaActive := []byte{1, 0, 3, 1, 0, 0, 0, 8}
	for name, target := range map[string]struct {
		address        func(*program) string
		first, message []byte
	}{
		"platform": {func(p *program) string { return p.listen }, nil, callerFields},
		"M3UA":     {func(p *program) string { return p.m3ua }, m3uaActive, m3uaFields},
	} {
		t.Run(name, func(t *testing.T) {
			srv := listen(t)
			process := startSmall(t, serverEntry("s", "in_service", srv))
			acceptServer(t, srv)
			stop := make(chan struct{})
			wait := flood(target.address(process), 300, target.first, target.message, stop)
			usual := dial(t, process.listen)
			var waits []time.Duration
			most := 0
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				sentAt := time.Now()
				usual.Write(callerTest)
				usual.wantCallerMessage(53, 5)
				waits = append(waits, time.Since(sentAt))
				most = max(most, process.anonymousMemory())
			}
			close(stop)
			wait()
			longest := slices.Max(waits)
			t.Logf("%d answers, the longest wait %v; %d KiB", len(waits), longest, most)
			if longest > answerDeadline {
				t.Errorf("another caller waits for %v for one of %d answers", longest, len(waits))
			}
			if most > floodMemoryMB<<10 && !raceDetector { // the run without it judges the memory
				t.Errorf("the program takes %d KiB of memory, %d are allowed", most, floodMemoryMB<<10)
			}
		})
	}
}

// callerTest is a caller's test of whether the softswitch takes new calls.
var callerTest = []byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 5, 58, 0, 1, 0}
