package m3ua

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/leak"
	"elmseam/internal/link"
	"elmseam/internal/loop"
	"elmseam/internal/platform"
	"elmseam/internal/settings"
)

const (
	patience = 20 * time.Second      // for what must come; tests don't wait it out
	guard    = 20 * time.Millisecond // the release gap
	ownPC    = 100
	clientPC = 300
)

var testNode = settings.Deployment{Classes: []settings.Class{{Name: "voice", MaxWait: 5 * time.Second}}}

var testLink = link.Limits{InitialBufferSize: 256, MaxMessageSize: 16 << 10, MaxQueuedBytes: 1 << 20, WriteTimeout: time.Second, FlushTimeout: 50 * time.Millisecond,
	MessageTimeout: patience, IdleTimeout: patience, LingerTimeout: 100 * time.Millisecond, MaxLingerBytes: 1 << 16}

// peer is a stand-in's end of an association: it writes messages and reads them one by one.
type peer struct {
	net.Conn
	in *link.Buffer
	mu sync.Mutex
}

func newPeer(c net.Conn) *peer {
	return &peer{Conn: c, in: link.NewBuffer(256, 16<<10)}
}

func (p *peer) put(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Write(b)
}

func (p *peer) isup(c circuit, k call) {
	b, err := appendISUP(c.cic, k)
	if err != nil {
		panic(err)
	}
	p.put(dataMessage(c, 2, 1, b))
}

// next is the next message, the one before consumed.
func (p *peer) next() (m message, err error) {
	for {
		m, n, err := parse(p.in.Bytes(), 16<<10)
		if err != errShort {
			for i := range m.params {
				m.params[i].value = bytes.Clone(m.params[i].value)
			}
			p.in.Skip(n)
			return m, err
		}
		if err := p.in.Fill(p); err != nil {
			return m, err
		}
	}
}

// until reads up to a message of the given kind.
func (p *peer) until(t *testing.T, kind uint16) message {
	t.Helper()
	for {
		m, err := p.next()
		if err != nil {
			t.Fatalf("no %#04x: %v", kind, err)
		}
		if m.kind == kind {
			return m
		}
	}
}

// untilISUP reads up to an ISUP message of the given kind.
func (p *peer) untilISUP(t *testing.T, kind byte) (circuit, call) {
	t.Helper()
	for {
		c, b, err := parseData(p.until(t, msgDATA), 1)
		k, err2 := parseISUP(b)
		if err != nil || err2 != nil {
			t.Fatal(err, err2)
		}
		if k.kind == kind {
			return c, k
		}
	}
}

// listen opens a loopback port for the length of a test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// softswitch starts the program's parts with this front and returns where it listens. The platform's
// front reaches the servers of which no trunk is known.
func softswitch(t *testing.T, guard time.Duration, file FileConfig, more ...core.Server) (*M3UA, string) {
	t.Helper()
	set := elmseam.Settings{
		Classes:     []elmseam.Class{{Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}},
		MaxAttempts: 4, OwnCell: -1, ReleaseGuard: guard, MaxRetryAfter: 2 * time.Second, RetransmitInterval: 10 * time.Second,
		ReportMetrics: []elmseam.LoadMetric{elmseam.LoadMetricHoldBackShare},
	}
	c, err := core.New(set, 1, core.Limits{AnswerMargin: 15 * time.Millisecond, Rebind: 100 * time.Millisecond,
		MinRedial: time.Millisecond, MaxRedial: time.Millisecond, ServerLostAfter: time.Minute, MaxCallerConns: 100, MaxOpen: 10000, MaxCallBytes: 1 << 20, EndedCallTTL: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	var m *M3UA
	l := loop.New(c, 1024, func(e core.Effect) {
		switch e := e.(type) {
		case core.Serving:
			m.SetServing(e.On)
		case core.ForgetCall:
			m.FreeCircuit(e.ID)
		}
	}, zerolog.Nop())
	file.PointCode, file.NetworkIndicator, file.RoutingContext, file.HeartbeatMS = ownPC, 2, 1, 1000
	file.Circuits, file.Categories, file.Cells = 512, map[string]int{"voice": 10}, map[string]int{"100": 0}
	m, err = New(Config{FileConfig: file, Deployment: testNode,
		CallerConn: testLink, ServerConn: testLink, DialTimeout: time.Second, MaxCallers: 8, ConfirmTimeout: 50 * time.Millisecond}, l, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	l.SetDialer(Protocol, m.Dial)
	p := platform.New(platform.Config{Deployment: testNode, CallerConn: testLink, ServerConn: testLink, DialTimeout: time.Second, MaxCallers: 8}, l, zerolog.Nop())
	l.SetDialer(platform.Protocol, p.Dial)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	front := listen(t)
	go m.Serve(front)
	l.Post(m.Servers())
	l.Post(core.List{Source: "test", Full: true, Servers: more})
	return m, front.Addr().String()
}

// client is an old client's active association.
func client(t *testing.T, address string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(3 * patience))
	p := newPeer(c)
	p.put(build(msgASPUP))
	p.until(t, msgASPUPACK)
	p.put(build(msgASPAC, number32(tagRoutingContext, 1)))
	p.until(t, msgASPACACK)
	return p
}

// accept takes the softswitch's association in and makes it active.
func accept(l net.Listener) (*peer, error) {
	c, err := l.Accept()
	if err != nil {
		return nil, err
	}
	p := newPeer(c)
	for _, ack := range []uint16{msgASPUPACK, msgASPACACK} {
		if _, err := p.next(); err != nil {
			return nil, err
		}
		p.put(build(ack))
	}
	return p, nil
}

func mustAccept(t *testing.T, l net.Listener) *peer {
	t.Helper()
	p, err := accept(l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	p.SetDeadline(time.Now().Add(patience))
	return p
}

func fileOf(name string, pc uint32, l net.Listener) FileConfig {
	var f FileConfig
	f.Servers = append(f.Servers, struct {
		Name      string `toml:"name"`
		Address   string `toml:"address"`
		PointCode uint32 `toml:"point_code"`
		Cell      int    `toml:"cell"`
	}{name, l.Addr().String(), pc, 0})
	return f
}

// The bytes of messages, written out by hand from RFC 4666 and Q.763: a stand-in that shares this package's
// parser would share its mistakes.
func TestBytesOfMessages(t *testing.T) {
	iam, err := appendISUP(0x0123, call{kind: isupIAM, category: 10, digits: "12345", desc: []byte("hi")})
	if err != nil {
		t.Fatal(err)
	}
	got := hex.EncodeToString(dataMessage(circuit{0x64, 0xc9, 0x123}, 2, 1, iam))
	want := "01000101" + "00000038" + "0006000800000001" + "02100025" + "00000064" + "000000c9" + "05020003" +
		"230101" + "0060010a00" + "0207" + "05" + "8310214305" + "20026869" + "00" + "000000"
	if got != want {
		t.Errorf("IAM\n%s, want\n%s", got, want)
	}
	rel, _ := hex.DecodeString("2301" + "0c" + "0200" + "02" + "80aa")
	if k, err := parseISUP(rel); err != nil || k.cause != 42 {
		t.Errorf("REL %+v, %v, want cause 42", k, err)
	}
}

// An old client reaches an M3UA server and a server of the platform, from request to release, with a
// description longer than one parameter holds; refusals carry the cause and when to come back.
func TestOldClientReachesBothKindsOfServer(t *testing.T) {
	sl := listen(t)
	_, address := softswitch(t, guard, fileOf("hlr", 201, sl))
	s := mustAccept(t, sl)
	c := client(t, address)
	ci := circuit{clientPC, ownPC, 7}
	long := bytes.Repeat([]byte("0123456789"), 70)
	c.isup(ci, call{kind: isupIAM, category: 10, digits: "38591", desc: long})
	out, k := s.untilISUP(t, isupIAM)
	if out.opc != ownPC || out.dpc != 201 || k.digits != "38591" || k.category != 10 || !bytes.Equal(k.desc, long) {
		t.Errorf("IAM %+v on %+v", k, out)
	}
	s.isup(out.back(), call{kind: isupANM, desc: long[1:]})
	if back, k := c.untilISUP(t, isupANM); back != ci.back() || !bytes.Equal(k.desc, long[1:]) {
		t.Errorf("ANM on %+v with %d bytes", back, len(k.desc))
	}
	s.isup(out.back(), call{kind: isupREL, cause: 41})
	s.untilISUP(t, isupRLC)
	if _, k := c.untilISUP(t, isupREL); k.cause != 41 {
		t.Errorf("released with cause %d, want 41", k.cause)
	}
	c.isup(ci, call{kind: isupRLC})
	c.isup(ci, call{kind: isupIAM, category: 10, digits: "38593"}) // both sides reset circuits after a restart
	out, _ = s.untilISUP(t, isupIAM)
	s.isup(out.back(), call{kind: isupANM})
	c.untilISUP(t, isupANM)
	s.isup(out.back(), call{kind: isupRSC})
	if _, k := c.untilISUP(t, isupREL); k.cause != 41 {
		t.Errorf("cut by a circuit reset with cause %d, want 41", k.cause)
	}
	c.isup(ci, call{kind: isupIAM, category: 10, digits: "38594"})
	s.untilISUP(t, isupIAM)
	c.isup(ci, call{kind: isupRSC})
	c.untilISUP(t, isupRLC)
	if _, k := s.untilISUP(t, isupREL); k.cause != 16 {
		t.Errorf("set-up given up with cause %d, want 16", k.cause)
	}
	c.isup(ci, call{kind: isupIAM, category: 10, digits: "38592"}) // the server is full, and there is no other
	out, _ = s.untilISUP(t, isupIAM)
	s.isup(out.back(), call{kind: isupREL, cause: 34})
	if _, k := c.untilISUP(t, isupREL); k.cause != 42 || k.retry <= 0 {
		t.Errorf("refused with cause %d, retry after %v", k.cause, k.retry)
	}

	pl := listen(t)
	_, address = softswitch(t, guard, FileConfig{}, core.Server{
		Name: "new", Address: pl.Addr().String(), Protocol: platform.Protocol, Phase: elmseam.Ready})
	conn, err := pl.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	c = client(t, address)
	c.isup(ci, call{kind: isupIAM, category: 10, digits: "38591", desc: []byte("x")})
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	var id string
	if _, after, ok := strings.Cut(string(buf[:n]), `"call":"`); !ok || err != nil || !strings.Contains(after, `"key":"38591"`) {
		t.Fatalf("offer %s: %v", buf[:n], err)
	} else {
		id = after[:16]
	}
	fmt.Fprintf(conn, `{"op":"accept","call":"%s","with":{},"desc":"y"}`+"\n", id)
	if _, k := c.untilISUP(t, isupANM); string(k.desc) != "y" {
		t.Errorf("description %q", k.desc)
	}
	c.isup(ci, call{kind: isupREL, cause: 16})
	c.untilISUP(t, isupRLC)
	if n, err = conn.Read(buf); err != nil || !strings.Contains(string(buf[:n]), `"why":16`) {
		t.Errorf("release %s: %v", buf[:n], err)
	}
}

// DUNA, AS-INACTIVE and an inactive ASP stop new work at once; DAVA, AS-ACTIVE and ASP active let it in again.
func TestAvailability(t *testing.T) {
	sl := listen(t)
	_, address := softswitch(t, guard, fileOf("hlr", 201, sl))
	s := mustAccept(t, sl)
	c := client(t, address)
	iam := call{kind: isupIAM, category: 10, digits: "1"}
	pc := number32(tagAffectedPC, 201)
	for i, p := range []struct{ stop, start []byte }{
		{build(msgDUNA, pc), build(msgDAVA, pc)},
		{build(msgNTFY, number32(tagStatus, statusASInactive)), build(msgNTFY, number32(tagStatus, statusASActive))},
		{build(msgASPIAACK), build(msgNTFY, number32(tagStatus, statusASActive))},
	} {
		ci := circuit{clientPC, ownPC, uint16(i)}
		s.put(p.stop)
		if m := c.until(t, msgDUNA); len(m.params) == 0 { // the only server: we are not available either
			t.Error("DUNA without a point code")
		}
		c.isup(ci, iam)
		if _, k := c.untilISUP(t, isupREL); k.cause != 42 {
			t.Errorf("%d: refused with cause %d", i, k.cause)
		}
		s.put(p.start)
		c.until(t, msgDAVA)
		c.isup(ci, iam)
		out, _ := s.untilISUP(t, isupIAM)
		s.isup(out.back(), call{kind: isupANM})
		c.untilISUP(t, isupANM)
	}
	c.put(build(msgDAUD, number32(tagAffectedPC, ownPC)))
	c.until(t, msgDAVA)
	c.put(build(msgASPIA))
	c.until(t, msgASPIAACK)
	c.isup(circuit{clientPC, ownPC, 9}, iam)
	if m := c.until(t, msgERR); !hasError(m, errUnexpected) {
		t.Errorf("ERR %+v, want unexpected message", m)
	}
}

func hasError(m message, code uint32) bool {
	n, ok := m.number(tagErrorCode)
	return ok && n == code
}

// What is malformed is answered by an ERR; where the framing is lost, the connection ends. Others go on.
func TestMalformed(t *testing.T) {
	sl := listen(t)
	_, address := softswitch(t, guard, fileOf("hlr", 201, sl))
	mustAccept(t, sl)
	ci := circuit{clientPC, ownPC, 1}
	for name, tt := range map[string]struct {
		b    []byte
		code uint32
		ends bool
	}{
		"version":         {[]byte{9, 0, 3, 1, 0, 0, 0, 8}, errVersion, true},
		"length":          {[]byte{1, 0, 3, 1, 0xff, 0, 0, 8}, errProtocol, true},
		"class":           {build(0x0701), errClass, false},
		"type":            {build(0x0309), errType, false},
		"unexpected":      {build(msgASPACACK), errUnexpected, false},
		"parameter":       {[]byte{1, 0, 1, 1, 0, 0, 0, 12, 2, 0x10, 0, 99}, errParamField, false},
		"missing":         {build(msgDATA), errMissingParam, false},
		"routing context": {dataMessage(ci, 2, 9, []byte{1, 0, isupRLC, 0}), errContext, false},
		"ISUP type":       {dataMessage(ci, 2, 1, []byte{1, 0, 0x99, 0}), errParamValue, false},
		"ISUP cut short":  {dataMessage(ci, 2, 1, []byte{1, 0, isupIAM, 0, 0, 0, 10, 0, 2, 0, 99}), errParamValue, false},
	} {
		c := client(t, address)
		c.put(tt.b)
		if m := c.until(t, msgERR); !hasError(m, tt.code) {
			t.Errorf("%s: ERR %+v, want code %d", name, m, tt.code)
		}
		c.put(build(msgBEAT, param{tagHeartbeat, []byte("x")}))
		for {
			m, err := c.next()
			if err != nil || m.kind == msgBEATACK {
				if (err != nil) != tt.ends {
					t.Errorf("%s: connection ended: %v", name, err)
				}
				break
			}
		}
		c.Close()
	}
}

// Connections that say nothing, stop within a message or trickle it, or never come up held a place for as long as
// they liked. They are closed in time, and an association that is up and idle is not. Where the framing is lost the
// ERR can be read, whatever the peer sent behind it.
func TestIdleAndGarbledAssociations(t *testing.T) {
	m, address := softswitch(t, guard, FileConfig{})
	told := *m.told.Load()
	told.CallerConn.MessageTimeout = 50 * time.Millisecond
	m.Configure(told)
	c := client(t, address)
	dial := func() net.Conn {
		d, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close() })
		d.SetDeadline(time.Now().Add(patience))
		return d
	}
	up := build(msgASPUP)
	for name, sent := range map[string][]byte{
		"nothing": nil, "not up": build(msgBEAT), "half a message": up[:5], "half of the next": append(build(msgASPUP), up[:5]...),
	} {
		d := dial()
		d.Write(sent)
		if _, err := io.ReadAll(d); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	d := dial() // a trickle
	d.Write(up)
	long := build(msgBEAT, param{tagHeartbeat, make([]byte, 12<<10)})
	go func() {
		for _, b := range long {
			if _, err := d.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	for p := newPeer(d); ; {
		if m, err := p.next(); err != nil || m.kind == msgBEATACK {
			if err == nil {
				t.Error("a message that came in by single bytes was waited for")
			}
			break
		}
	}
	for range 30 { // a reset is a matter of luck
		d := dial()
		d.Write(append([]byte{9, 0, 3, 1, 0, 0, 0, 8}, make([]byte, 32<<10)...))
		if b, err := io.ReadAll(d); err != nil || len(b) == 0 {
			t.Fatalf("told %x, and then %v, want an ERR and the end", b, err)
		}
	}
	c.put(build(msgBEAT, param{tagHeartbeat, []byte("x")}))
	c.until(t, msgBEATACK)
}

// A server that loses a release, or its own confirmation, would keep a circuit from us for good with each: it is
// told again.
func TestReleaseNotConfirmed(t *testing.T) {
	sl := listen(t)
	m, address := softswitch(t, guard, fileOf("hlr", 201, sl))
	s := mustAccept(t, sl)
	m.trunks["hlr"].mu.Lock()
	for id := core.ID(1); m.trunks["hlr"].Free() > 1; id++ { // the others are in use
		m.trunks["hlr"].Allocate(id)
	}
	m.trunks["hlr"].mu.Unlock()
	c := client(t, address)
	iam := call{kind: isupIAM, category: 10, digits: "1"}
	c.isup(circuit{clientPC, ownPC, 1}, iam)
	s.untilISUP(t, isupIAM)
	c.isup(circuit{clientPC, ownPC, 1}, call{kind: isupREL, cause: 16})
	s.untilISUP(t, isupREL) // not confirmed
	c.isup(circuit{clientPC, ownPC, 2}, iam)
	c.untilISUP(t, isupREL)
	time.Sleep(2 * m.told.Load().ConfirmTimeout)
	c.isup(circuit{clientPC, ownPC, 3}, iam)
	ci, _ := s.untilISUP(t, isupREL)
	s.isup(ci.back(), call{kind: isupRLC})
	for n := uint16(4); ; n++ {
		c.isup(circuit{clientPC, ownPC, n}, iam)
		time.Sleep(time.Millisecond)
		s.SetDeadline(time.Now().Add(20 * time.Millisecond))
		if msg, err := s.next(); err == nil && msg.kind == msgDATA {
			return
		} else if n > 200 {
			t.Fatal("the circuit never comes back")
		}
	}
}

// ledger counts, over all stand-in servers, the attempts out for each call.
type ledger struct {
	mu       sync.Mutex
	out      map[string]string // call to server
	attempts map[string]int
	cutAt    map[string]time.Time // before the reset that cut the call's set-up
	overlaps int
	early    int // sent again within the release gap
	resets   int // set-ups cut by a reset
}

func (l *ledger) begin(tag, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out[tag] != "" {
		l.overlaps++
	}
	if at, cut := l.cutAt[tag]; cut && time.Since(at) < guard {
		l.early++
	}
	l.out[tag] = server
	l.attempts[tag]++
}

func (l *ledger) end(tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.out, tag)
}

// flaky is a stand-in server that resets its connection halfway through set-ups, again and again, while a
// drain notice is on its way: DUNA, then part of an answer, then the reset. What it had answered stands on.
func flaky(ctx context.Context, l net.Listener, name string, book *ledger, rnd *rand.Rand) {
	for {
		p, err := accept(l)
		if err != nil {
			return
		}
		open := make(map[circuit]string)
		for left := 20 + rnd.IntN(100); ; {
			p.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			m, err := p.next()
			if ctx.Err() != nil {
				p.Close()
				return
			}
			if errors.Is(err, os.ErrDeadlineExceeded) { // nothing more to mix up: answer what is open
				for c, tag := range open {
					delete(open, c)
					book.end(tag)
					p.isup(c.back(), call{kind: isupANM, desc: []byte(tag)})
				}
				continue
			}
			if err != nil {
				break
			}
			c, b, err := parseData(m, 1)
			k, err2 := parseISUP(b)
			if m.kind != msgDATA || err != nil || err2 != nil {
				continue
			}
			switch k.kind {
			case isupREL:
				if tag, there := open[c]; there {
					delete(open, c)
					book.end(tag)
				}
				p.isup(c.back(), call{kind: isupRLC})
			case isupIAM:
				open[c] = string(k.desc)
				book.begin(string(k.desc), name)
			}
			if left--; left < 0 {
				p.put(build(msgDUNA, number32(tagAffectedPC, c.dpc)))
				time.Sleep(time.Duration(rnd.IntN(4)) * time.Millisecond) // drained, with set-ups open
				half, _ := appendISUP(c.cic, call{kind: isupANM, desc: k.desc})
				p.put(dataMessage(c.back(), 2, 1, half)[:10+rnd.IntN(20)])
				break
			}
			for c, tag := range open {
				if rnd.IntN(3) == 0 { // the others wait, so that a reset finds some open
					delete(open, c)
					book.end(tag)
					p.isup(c.back(), call{kind: isupANM, desc: []byte(tag)})
				}
			}
			if len(open) > 8 {
				for c, tag := range open {
					delete(open, c)
					book.end(tag)
					p.isup(c.back(), call{kind: isupREL, cause: 34})
				}
			}
		}
		for _, tag := range open {
			book.end(tag)
			book.mu.Lock()
			book.cutAt[tag] = time.Now()
			book.resets++
			book.mu.Unlock()
		}
		p.Conn.(*net.TCPConn).SetLinger(0)
		p.Close()
	}
}

// The hard case: connections are reset halfway through set-ups while drain notices arrive, over many thousands
// of calls. Each gets exactly one final answer, and none ever has two attempts out, or more than four in all.
func TestResetsWhileDraining(t *testing.T) {
	const circuits, each = 50, 160
	book := &ledger{out: make(map[string]string), attempts: make(map[string]int), cutAt: make(map[string]time.Time)}
	var file FileConfig
	for i, name := range []string{"hlr-1", "hlr-2", "hlr-3"} {
		l := listen(t)
		file.Servers = append(file.Servers, fileOf(name, uint32(201+i), l).Servers...)
		go flaky(t.Context(), l, name, book, rand.New(rand.NewPCG(uint64(i), 1)))
	}
	_, address := softswitch(t, guard, file)
	c := client(t, address)
	var inbox [circuits]chan call
	for i := range inbox {
		inbox[i] = make(chan call, 16)
	}
	go func() {
		for {
			m, err := c.next()
			if err != nil {
				return
			}
			if ci, b, err := parseData(m, 1); m.kind == msgDATA && err == nil {
				if k, err := parseISUP(b); err == nil && k.kind != isupACM {
					inbox[ci.cic] <- k
				}
			}
		}
	}()
	var mu sync.Mutex
	stood, refused, given := 0, 0, 0
	var wg sync.WaitGroup
	for i := range circuits {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 2))
			ci := circuit{clientPC, ownPC, uint16(i)}
			wait := func() (call, bool) {
				select {
				case k := <-inbox[i]:
					return k, true
				case <-time.After(patience):
					t.Errorf("circuit %d: no answer", i)
					return call{}, false
				}
			}
			for n := range each {
				tag := fmt.Sprintf("%d-%d", i, n)
				c.isup(ci, call{kind: isupIAM, category: 10, digits: "1", desc: []byte(tag)})
				if rnd.IntN(8) == 0 { // the caller gives up; an answer may cross
					time.Sleep(time.Duration(rnd.IntN(2000)) * time.Microsecond)
					c.isup(ci, call{kind: isupREL, cause: 16})
					for finals := 0; ; {
						k, ok := wait()
						if !ok {
							return
						}
						if k.kind == isupRLC {
							break
						}
						if finals++; finals > 1 || k.kind == isupANM && string(k.desc) != tag {
							t.Errorf("call %s, given up: second or foreign answer %+v", tag, k)
						}
					}
					mu.Lock()
					given++
					mu.Unlock()
					continue
				}
				k, ok := wait()
				switch {
				case !ok:
					return
				case k.kind == isupREL:
					c.isup(ci, call{kind: isupRLC})
				case k.kind == isupANM && string(k.desc) == tag:
					c.isup(ci, call{kind: isupREL, cause: 16})
					if end, ok := wait(); !ok || end.kind != isupRLC {
						t.Errorf("call %s: %+v after the final answer", tag, end)
					}
				default:
					t.Errorf("call %s: final answer %+v", tag, k)
				}
				mu.Lock()
				if k.kind == isupANM {
					stood++
				} else {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.put(build(msgBEAT)) // all that was sent before has come in before its answer
	time.Sleep(50 * time.Millisecond)
	for i := range inbox {
		if len(inbox[i]) > 0 {
			t.Errorf("circuit %d: %+v after the last call", i, <-inbox[i])
		}
	}
	book.mu.Lock()
	defer book.mu.Unlock()
	again, most := 0, 0
	for _, n := range book.attempts {
		if most = max(most, n); n > 1 {
			again++
		}
	}
	t.Logf("%d calls: %d stood, %d refused, %d given up; %d set-ups cut by resets, %d calls sent again, at most %d attempts, %d overlaps, %d sent again too early",
		circuits*each, stood, refused, given, book.resets, again, most, book.overlaps, book.early)
	if stood+refused+given != circuits*each || book.overlaps+book.early > 0 || most > 4 {
		t.Error("a rule is broken")
	}
	if stood < circuits*each/4 || book.resets < 100 || again < 50 {
		t.Error("the test has not met its case")
	}
}

func FuzzParse(f *testing.F) {
	iam, _ := appendISUP(1, call{kind: isupIAM, digits: "12", desc: []byte("x")})
	f.Add(dataMessage(circuit{1, 2, 3}, 2, 1, iam))
	f.Add(build(msgNTFY, number32(tagStatus, statusASActive)))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, n, err := parse(b, 1<<10)
		if err == nil && (n < headSize || n > len(b)) {
			t.Errorf("a message of %d bytes out of %d", n, len(b))
		}
		affected(m)
		if _, isup, err := parseData(m, 1); err == nil {
			parseISUP(isup)
		}
		parseISUP(b)
	})
}

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }
