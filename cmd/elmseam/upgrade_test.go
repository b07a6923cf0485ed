package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// succeed starts a newer process beside p, and waits until it says that it can serve.
func (p *program) succeed(dir string, env ...string) *program {
	p.Helper()
	next := &program{T: p.T, channel: p.channel, config: p.config, logged: make(chan string, 100)}
	next.run("", append([]string{"TMPDIR=" + dir, "ROUTER_LISTEN=" + p.listen}, env...)...)
	next.until("/ops/readiness", 200, "")
	return next
}

// upgradable starts a program that can be taken over from.
func upgradable(t *testing.T, dir string, servers ...string) *program {
	t.Helper()
	p := newProgram(t, servers...)
	p.run("", "TMPDIR="+dir)
	return p
}

// A newer process takes over: what is open stays open and is answered on the connection it came on, by whichever process
// has it; a set-up of which only a part has been read goes on in the newer one; callers don't notice, and what stands
// in the older one is released through the newer one or, when that has been killed, by it. Then comes the next one.
func TestUpgrade(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	os.WriteFile(filepath.Join(dir, "elmseam-n1.sock"), nil, 0o600) // left by one that was killed
	old := upgradable(t, dir, endpoint("s", "in_service", srv))
	peer := server(t, srv)
	caller, pieces := dial(t, old.listen), dial(t, old.listen)
	accepted := func(peer *conn, id string) {
		fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", id)
	}
	for call := uint64(1); call <= 2; call++ {
		caller.setUp(call)
		accepted(peer, peer.line(`"offer"`))
		caller.frame(9, call)
	}
	caller.setUp(3)
	open := peer.line(`"offer"`)
	half := setUpText("voice", 4)
	pieces.Write(half[:20])

	next := old.succeed(dir)
	fresh := server(t, srv)
	old.cmd.Process.Signal(syscall.SIGTERM)
	next.wantTaken(2)
	accepted(peer, open)
	caller.frame(9, 3)
	pieces.Write(half[20:])
	accepted(fresh, fresh.line(`"offer"`))
	pieces.frame(9, 4)
	fmt.Fprintf(peer, `{"op":"end","call":"%016x","with":{},"why":16}`+"\n", 1)
	caller.frame(12, 1)
	old.cmd.Process.Kill()
	next.wantLog("the predecessor has gone")
	fmt.Fprintf(fresh, `{"op":"end","call":"%016x","with":{},"why":16}`+"\n", 2)
	caller.frame(12, 2)

	last := next.succeed(dir)
	next.cmd.Process.Signal(syscall.SIGTERM)
	last.wantTaken(2)
	fmt.Fprintf(fresh, `{"op":"end","call":"%016x","with":{},"why":16}`+"\n", 4)
	pieces.frame(12, 4)
	if err := next.cmd.Wait(); err != nil { // nothing is owed any more
		t.Errorf("the process that was taken over from ends with %v", err)
	}
}

// wantTaken waits until this process has so many connections of the older one.
func (p *program) wantTaken(n int) {
	p.Helper()
	for range n {
		p.wantLog("a caller's connection taken over")
	}
}

// The older process is killed while it owes an answer: the newer one gives it. The newer one is killed before it was
// told to take over: the older one serves on, and can be taken over from again.
func TestUpgradeWithADeath(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	old := upgradable(t, dir, endpoint("s", "in_service", srv))
	peer := server(t, srv)
	failed := old.succeed(dir)
	failed.cmd.Process.Kill()
	old.wantLog("the newer process has gone")
	caller := dial(t, old.listen)
	caller.setUp(1)
	peer.line(`"offer"`)
	accept(t, srv) // from the one that was killed
	accept(t, srv)

	next := old.succeed(dir)
	old.cmd.Process.Signal(syscall.SIGTERM)
	next.wantTaken(1)
	old.cmd.Process.Kill()
	if b := caller.frame(12, 1); b[3] != 41 {
		t.Errorf("release %x, want a failure, as the call may have run", b)
	}
}

// The older process ends while the newer one, which has its listener, can't serve yet. Whoever connects waits there, and is
// served when it can: what the older one does to close its listener must not close the newer one's.
func TestOlderEndsBeforeTheNewerServes(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	old := upgradable(t, dir, endpoint("s", "in_service", srv))
	server(t, srv) // the newer one has no way to it
	srv.Close()
	next := &program{T: t, channel: old.channel, config: old.config, logged: make(chan string, 100)}
	next.run("", "TMPDIR="+dir, "ROUTER_LISTEN="+old.listen)
	old.wantLog("a newer process has come")
	old.cmd.Process.Signal(syscall.SIGTERM)
	if err := old.cmd.Wait(); err != nil {
		t.Errorf("the older process ends with %v", err)
	}
	caller := dial(t, old.listen)
	caller.setUp(1)
	again, err := net.Listen("tcp", srv.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { again.Close() })
	peer := server(t, again)
	fmt.Fprintf(peer, `{"op":"accept","call":%q,"with":{},"desc":"x"}`+"\n", peer.line(`"offer"`))
	caller.frame(9, 1)
}

// A process that speaks another version, or serves another address, gets nothing, and the older one serves on. One that
// finds no hand-over starts as usual.
func TestUpgradeRefused(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	old := upgradable(t, dir, endpoint("s", "in_service", srv))
	for hello, want := range map[string]string{
		`{"kind":"hello","version":99}`:                           "version",
		`{"kind":"hello","version":1,"listen":"127.0.0.1:1"}`:     "served here",
		`{"kind":"serving","version":1}`:                          "version",
		fmt.Sprintf(`{"kind":"hello","listen":%q}`, old.listen):   "version",
		`{"kind":"hello","version":1,"listen":"` + old.listen[:3]: "",
	} {
		c, err := net.Dial("unixpacket", filepath.Join(dir, "elmseam-n1.sock"))
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte(hello))
		b := make([]byte, 1000)
		if n, _ := c.Read(b); want != "" && !strings.Contains(string(b[:n]), want) {
			t.Errorf("%s: %s, want %s", hello, b[:n], want)
		}
		c.Close()
	}
	other := newProgram(t, endpoint("s", "in_service", srv))
	other.run("", "TMPDIR="+filepath.Join(dir, "none"))
	other.until("/ops/readiness", 200, "")
	if !old.test() || !other.test() {
		t.Error("one of the two doesn't serve")
	}
}

// Under load, a few callers ask over and over, each on a connection of its own and in pieces, while one process after
// another takes over. Every set-up gets one answer, every call that stands one release, and no connection ends: what a
// caller would notice is a connection that closes, a second answer, or none.
func TestUpgradeUnderLoad(t *testing.T) {
	dir, srv := t.TempDir(), listen(t)
	go func() { // a server that answers at once and releases a little later
		for {
			c, err := srv.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var mu sync.Mutex
				say := func(format string, id string) {
					mu.Lock()
					defer mu.Unlock()
					fmt.Fprintf(c, format+"\n", id)
				}
				for lines := bufio.NewScanner(c); lines.Scan(); {
					var l struct{ Op, Call string }
					if json.Unmarshal(lines.Bytes(), &l); l.Op == "offer" {
						say(`{"op":"accept","call":%q,"with":{},"desc":"x"}`, l.Call)
						time.AfterFunc(20*time.Millisecond, func() { say(`{"op":"end","call":%q,"with":{},"why":16}`, l.Call) })
					}
				}
			}()
		}
	}()
	p := upgradable(t, dir, endpoint("s", "in_service", srv))
	p.until("/ops/readiness", 200, "")
	const callers = 8
	var asked, stood atomic.Int64
	stop := make(chan struct{})
	var open sync.WaitGroup
	for n := range callers {
		c := dial(t, p.listen)
		open.Go(func() {
			if err := converse(c, uint64(n+1)<<32, stop, &asked, &stood); err != nil {
				t.Errorf("caller %d: %v", n, err)
			}
		})
	}
	for range 3 {
		for from := asked.Load(); asked.Load() < from+50; {
			time.Sleep(time.Millisecond)
		}
		next := p.succeed(dir)
		p.cmd.Process.Signal(syscall.SIGTERM)
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("the process that was taken over from ends with %v", err)
		}
		p = next
	}
	close(stop)
	open.Wait()
	if asked.Load() < 150 || stood.Load() < asked.Load()/2 {
		t.Errorf("%d asked, %d stood: the test has not met its case", asked.Load(), stood.Load())
	}
}

// converse asks for one call after the other, in two pieces each, and reads what it is told of them.
func converse(c *conn, id uint64, stop chan struct{}, asked, stood *atomic.Int64) error {
	read := func() (kind byte, of uint64, err error) {
		var head [2]byte
		if _, err := io.ReadFull(c.r, head[:]); err != nil {
			return 0, 0, err
		}
		b := make([]byte, binary.BigEndian.Uint16(head[:]))
		if _, err := io.ReadFull(c.r, b); err != nil {
			return 0, 0, err
		}
		return b[0], binary.BigEndian.Uint64(b[1:]), nil
	}
	standing := make(map[uint64]bool)
	for done := false; !done || len(standing) > 0; {
		if !done {
			id++
			text := setUpText("voice", id)
			c.Write(text[:len(text)/2])
			time.Sleep(time.Duration(id%3) * time.Millisecond)
			c.Write(text[len(text)/2:])
			asked.Add(1)
		}
		for answered := done; ; {
			kind, of, err := read()
			switch {
			case err != nil:
				return err
			case of == id && !answered && kind == 9:
				answered, standing[of] = true, true
				stood.Add(1)
			case of == id && !answered && kind == 12:
				answered = true
			case kind == 12 && standing[of]:
				delete(standing, of)
			default:
				return fmt.Errorf("message of type %d for call %x, which has been answered", kind, of)
			}
			if answered && (!done || len(standing) == 0) {
				break
			}
		}
		select {
		case <-stop:
			done = true
		default:
		}
	}
	return nil
}
