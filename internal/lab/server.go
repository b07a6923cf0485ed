package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// observer is what the stand-ins tell the runner; the runner feeds the judge under its lock.
type observer interface {
	now() time.Duration
	attempt(server string, id uint64)
	ended(server string, id uint64, how AttemptOutcome)
	capacity(server string, at time.Duration) float64
}

// standIn is an activation server as PROTOCOL describes it, with a listener for each softswitch, so that it knows
// who sends: JSON lines, one processor that works set-ups in turn, a number of lines, calls that stand for a time.
type standIn struct {
	Server
	obs       observer
	mu        sync.Mutex
	listeners []net.Listener // by softswitch
	conns     map[*serverConn]bool
	busyUntil time.Duration
	standing  int
	slow      float64
	stalled   map[int]bool
	gone      bool
	wg        sync.WaitGroup
}

type serverConn struct {
	net.Conn
	from    int // softswitch
	mu      sync.Mutex
	pending map[uint64]bool // set-ups not yet answered
}

func (c *serverConn) send(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c.Conn, format+"\n", args...)
}

func newStandIn(s Server, obs observer, hosts []string) (*standIn, error) {
	v := &standIn{Server: s, obs: obs, conns: make(map[*serverConn]bool), slow: 1, stalled: make(map[int]bool)}
	var err error
	if v.listeners, err = listenEach(hosts); err != nil {
		return nil, err
	}
	for i, l := range v.listeners {
		v.wg.Add(1)
		go v.accept(i, l)
	}
	return v, nil
}

// address is where a softswitch is told to find this server.
func (v *standIn) address(from int) string { return v.listeners[from].Addr().String() }

func (v *standIn) accept(from int, l net.Listener) {
	defer v.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		sc := &serverConn{Conn: c, from: from, pending: make(map[uint64]bool)}
		v.mu.Lock()
		if v.gone {
			v.mu.Unlock()
			c.Close()
			continue
		}
		v.conns[sc] = true
		v.mu.Unlock()
		sc.send(`{"op":"group","call":"0000000000000000","with":{"load":%q}}`, v.report())
		v.wg.Add(1)
		go v.serve(sc)
	}
}

// report is a load report in the columns of the lab's settings.
func (v *standIn) report() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("spare:%d;total:%d;cut_by:0", max(0, v.Lines-v.standing), v.Lines)
}

type serverLine struct {
	Op    string `json:"op"`
	Call  string `json:"call"`
	Cause int    `json:"why"`
}

func (v *standIn) serve(c *serverConn) {
	defer v.wg.Done()
	r := bufio.NewReaderSize(c, 16<<10)
	for {
		text, err := r.ReadSlice('\n')
		if err != nil {
			break
		}
		var l serverLine
		if json.Unmarshal(text, &l) != nil {
			continue
		}
		id, err := strconv.ParseUint(l.Call, 16, 64)
		if err != nil {
			continue
		}
		switch l.Op {
		case "test":
			c.send(`{"op":"tested","call":%q,"with":{},"why":1}`, l.Call)
		case "offer":
			v.offer(c, id)
		case "end":
			v.mu.Lock()
			was := c.pending[id]
			delete(c.pending, id)
			v.mu.Unlock()
			if was {
				v.obs.ended(v.Name, id, Cancelled)
			}
			c.send(`{"op":"ended","call":%q,"with":{}}`, l.Call)
		}
	}
	c.Close()
	v.mu.Lock()
	delete(v.conns, c)
	open := c.pending
	c.pending = map[uint64]bool{}
	v.mu.Unlock()
	for id := range open {
		v.obs.ended(v.Name, id, ConnectionReset)
	}
}

func (v *standIn) offer(c *serverConn, id uint64) {
	v.obs.attempt(v.Name, id)
	now := v.obs.now()
	v.mu.Lock()
	c.pending[id] = true
	if v.stalled[c.from] {
		v.mu.Unlock()
		return
	}
	work := time.Duration(float64(time.Second) * v.slow / max(v.obs.capacity(v.Name, now), 1e-3))
	start := max(now, v.busyUntil)
	full := v.standing >= v.Lines
	swamped := start-now > v.MaxQueueDelay.Duration
	if !full && !swamped {
		v.busyUntil = start + work
	}
	v.mu.Unlock()
	if full || swamped {
		note := map[bool]string{true: "blocked", false: "swamped"}[full]
		v.finish(c, id, Refused, fmt.Sprintf(`{"op":"end","call":"%016x","with":{"note":%q,"load":%q},"why":34}`, id, note, v.report()))
		return
	}
	time.AfterFunc(start+work-now, func() {
		v.mu.Lock()
		if !c.pending[id] || v.stalled[c.from] {
			v.mu.Unlock()
			return
		}
		v.standing++
		v.mu.Unlock()
		if !v.finish(c, id, Answered, fmt.Sprintf(`{"op":"accept","call":"%016x","with":{"load":%q},"desc":"lab:%s:%016x"}`, id, v.report(), v.Name, id)) {
			v.hangUp()
			return
		}
		time.AfterFunc(v.HoldTime.Duration, func() {
			v.hangUp()
			c.send(`{"op":"end","call":"%016x","with":{"load":%q},"why":16}`, id, v.report())
		})
	})
}

// hangUp frees a line. A server that was full tells every open connection that it has one again, unasked.
func (v *standIn) hangUp() {
	v.mu.Lock()
	v.standing--
	wasFull := v.standing == v.Lines-1
	var open []*serverConn
	for c := range v.conns {
		open = append(open, c)
	}
	v.mu.Unlock()
	if wasFull {
		report := v.report()
		for _, c := range open {
			c.send(`{"op":"group","call":"0000000000000000","with":{"load":%q}}`, report)
		}
	}
}

// finish ends a pending set-up with an answer, if it is still pending.
func (v *standIn) finish(c *serverConn, id uint64, how AttemptOutcome, text string) bool {
	v.mu.Lock()
	was := c.pending[id]
	delete(c.pending, id)
	v.mu.Unlock()
	if !was {
		return false
	}
	v.obs.ended(v.Name, id, how)
	c.send("%s", text)
	return true
}

// cut resets the connections from the given softswitches (all where from is nil); gone also stops accepting.
func (v *standIn) cut(from map[int]bool, gone bool) {
	v.mu.Lock()
	if gone {
		v.gone = true
	}
	var cut []*serverConn
	for c := range v.conns {
		if from == nil || from[c.from] {
			cut = append(cut, c)
		}
	}
	v.mu.Unlock()
	for _, c := range cut {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// stall leaves the connections from the given softswitches silent, or lets them speak again.
func (v *standIn) stall(from []int, on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, f := range from {
		v.stalled[f] = on
	}
}

func (v *standIn) slowBy(factor float64) {
	v.mu.Lock()
	v.slow = factor
	v.mu.Unlock()
}

func (v *standIn) close() {
	for _, l := range v.listeners {
		l.Close()
	}
	v.cut(nil, true)
}
