package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// isupCaller is a stand-in of an older client: an ASP that makes calls on its circuits.
type isupCaller struct {
	*record
	address  string
	mu       sync.Mutex
	conn     net.Conn // active association; nil: none
	circuits map[uint16]*clientCircuit
	serial   int
}

type clientCircuit struct {
	cic        uint16
	digits     string
	state      string // "idle", "pending", "stands", "releasing"
	since      time.Time
	relPending bool
}

const callerPointCode = 300

func clientData(cic uint16, isup ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, callerPointCode)
	b = binary.BigEndian.AppendUint32(b, softswitchPointCode)
	b = append(b, 5, 2, 0, byte(cic&15))
	b = binary.LittleEndian.AppendUint16(b, cic)
	return m3uaMessage(0x0101, uint32Value(6, 1), m3uaParam{0x0210, append(b, isup...)})
}

func iam(category byte, digits string) []byte {
	b := []byte{0x01, 0, 0x60, 0x01, category, 0}
	called := []byte{0x03, 0x10}
	for i := 0; i < len(digits); i += 2 {
		called = append(called, digits[i]-'0'|(digits[i+1]-'0')<<4)
	}
	b = append(b, 2, 0, byte(len(called)))
	return append(b, called...)
}

func (c *isupCaller) send(b []byte) {
	if c.conn != nil {
		c.conn.SetWriteDeadline(time.Now().Add(time.Second))
		c.conn.Write(b)
	}
}

// run keeps an association up.
func (c *isupCaller) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn.Write(m3uaMessage(0x0301))
		c.read(conn)
		conn.Close()
		c.mu.Lock()
		c.conn = nil
		c.mu.Unlock()
		c.printf("isup     association ended")
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	}
}

func (c *isupCaller) read(conn net.Conn) {
	for {
		header := make([]byte, 8)
		if _, err := io.ReadFull(conn, header); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header[4:])-8)
		if _, err := io.ReadFull(conn, body); err != nil {
			return
		}
		var data []byte
		for rest := body; len(rest) >= 4; {
			n := int(binary.BigEndian.Uint16(rest[2:]))
			if binary.BigEndian.Uint16(rest) == 0x0210 {
				data = rest[4:n]
			}
			rest = rest[min((n+3)&^3, len(rest)):]
		}
		switch kind := binary.BigEndian.Uint16(header[2:]); kind {
		case 0x0304:
			conn.Write(m3uaMessage(0x0401, uint32Value(6, 1)))
		case 0x0403:
			c.mu.Lock()
			c.conn = conn
			c.printf("isup     association active")
			for _, circ := range c.circuits {
				switch circ.state {
				case "pending":
					c.printf("isup     circuit %d: IAM again for %s", circ.cic, circ.digits)
					c.send(clientData(circ.cic, iam(11, circ.digits)...))
				case "releasing":
					c.send(clientData(circ.cic, 0x0c, 2, 0, 2, 0x80, 0x80|16))
				}
			}
			c.mu.Unlock()
		case 0x0303:
			b := append(m3uaMessage(0x0306), body...)
			binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
			c.mu.Lock()
			conn.Write(b)
			c.mu.Unlock()
		case 0x0000:
			c.printf("isup     ERR %x", body)
		case 0x0101:
			c.handle(data)
		}
	}
}

func (c *isupCaller) handle(data []byte) {
	cic, kind := binary.LittleEndian.Uint16(data[12:]), data[14]
	c.mu.Lock()
	defer c.mu.Unlock()
	circ := c.circuits[cic]
	if circ == nil {
		c.printf("PROBLEM  message %#x on unknown circuit %d", kind, cic)
		return
	}
	switch kind {
	case 0x09:
		switch circ.state {
		case "pending":
			circ.state, circ.since = "stands", time.Now()
			c.printf("isup     circuit %d: ANM for %s after %v", cic, circ.digits, time.Since(circ.since))
		case "releasing":
		default:
			c.printf("PROBLEM  circuit %d: ANM in state %s", cic, circ.state)
		}
	case 0x0c:
		if circ.state == "idle" {
			c.printf("PROBLEM  circuit %d: REL while idle", cic)
		}
		c.printf("isup     circuit %d: REL for %s in state %s", cic, circ.digits, circ.state)
		if circ.state != "releasing" {
			circ.state = "idle"
		}
		c.send(clientData(cic, 0x10, 0))
	case 0x10:
		if circ.state == "releasing" {
			circ.state = "idle"
		}
	}
}

// loadISUP is a search for faults, no case: an M3UA client makes calls while its association is reset.
func loadISUP(p *play) (int, error) {
	if err := p.addServers(2); err != nil {
		return couldnt, err
	}
	for _, s := range p.servers {
		s.delay = func(string) time.Duration { return time.Duration(5+rand.IntN(300)) * time.Millisecond }
		s.serveCall = func(call *serverCall) {
			if call.key[0] == '1' {
				time.AfterFunc(time.Duration(300+rand.IntN(3000))*time.Millisecond, func() { s.finish(call.id) })
			}
		}
	}
	listen := freeAddress()
	file := p.tempDir + "/m3ua.toml"
	text := fmt.Sprintf("enabled = true\n[m3ua]\nlisten = %q\npoint_code = 100\nnetwork_indicator = 2\nrouting_context = 1\nheartbeat_ms = 5000\ncircuits = 4096\n[m3ua.categories]\nstatus-check = 10\nactivate = 11\nprofile-read = 12\n[m3ua.cells]\n100 = 0\n[bgp]\nas = 64512\nrouter_id = \"127.0.0.1\"\nservice = \"127.0.0.1/32\"\nnext_hop = \"127.0.0.1\"\nhold_s = 9\n", listen)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return couldnt, err
	}
	p.env = append(p.env, "ELMSEAM_SIGNALLING="+file)
	proc, _, _, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	c := &isupCaller{record: p.record, address: listen, circuits: make(map[uint16]*clientCircuit)}
	for i := range 60 {
		c.circuits[uint16(i)] = &clientCircuit{cic: uint16(i), state: "idle"}
	}
	stop := make(chan struct{})
	go c.run(stop)
	time.Sleep(200 * time.Millisecond)
	made := 0
	began := time.Now()
	nextReset := time.Now().Add(time.Second)
	restarted := false
	for time.Since(began) < 20*time.Second {
		time.Sleep(5 * time.Millisecond)
		c.mu.Lock()
		if c.conn != nil && time.Since(began) < 15*time.Second {
			circ := c.circuits[uint16(rand.IntN(len(c.circuits)))]
			switch {
			case circ.state == "idle":
				made++
				circ.digits, circ.state, circ.since = fmt.Sprintf("%d%07d", 1+rand.IntN(2), made), "pending", time.Now()
				c.printf("isup     circuit %d: IAM for %s", circ.cic, circ.digits)
				c.send(clientData(circ.cic, iam(11, circ.digits)...))
			case circ.state == "stands" && circ.digits[0] == '2' && rand.IntN(3) == 0, circ.state == "pending" && rand.IntN(30) == 0:
				c.printf("isup     circuit %d: REL sent for %s in state %s", circ.cic, circ.digits, circ.state)
				circ.state, circ.since = "releasing", time.Now()
				c.send(clientData(circ.cic, 0x0c, 2, 0, 2, 0x80, 0x80|16))
			}
		}
		if os.Getenv("DISRUPT") == "reset" && c.conn != nil && time.Now().After(nextReset) && time.Since(began) < 15*time.Second {
			nextReset = time.Now().Add(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
			c.conn.(*net.TCPConn).SetLinger(0)
			c.conn.Close()
		}
		c.mu.Unlock()
		if os.Getenv("DISRUPT") == "restart" && !restarted && time.Since(began) > 5*time.Second {
			restarted = true
			p.signal(proc, syscall.SIGTERM)
			proc.awaitEnd(6 * time.Second)
			if _, err := p.start("process 2"); err != nil {
				return couldnt, err
			}
		}
	}
	close(stop)
	bad := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]bool)
	for _, circ := range c.circuits {
		if circ.state == "pending" || circ.state == "releasing" {
			bad++
			p.printf("PROBLEM  circuit %d: %s since %v for %s", circ.cic, circ.state, time.Since(circ.since), circ.digits)
		}
		if circ.state == "stands" {
			known[circ.digits] = true
		}
	}
	for _, s := range p.servers {
		s.mu.Lock()
		for _, call := range s.calls {
			if call.stands && !call.over && !known[call.key] {
				bad++
				p.printf("PROBLEM  call %s to %s stands at %s, not for its caller", call.id, call.key, s.name)
			}
			if call.over && call.endedBy == "server" && call.stands && known[call.key] && time.Since(call.endedAt) > 1100*time.Millisecond {
				bad++
				p.printf("PROBLEM  call %s to %s is over at %s, stands for its caller", call.id, call.key, s.name)
			}
		}
		s.mu.Unlock()
	}
	fmt.Println(made, "calls", bad, "problems")
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}
