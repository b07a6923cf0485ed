package bgp

import (
	"bytes"
	"context"
	"encoding/hex"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
	"elmseam/internal/leak"
	"elmseam/internal/link"
)

const patience = 10 * time.Second // for what must come; tests don't wait it out

// neighbour is a stand-in peer's end of a session.
type neighbour struct {
	*testing.T
	net.Conn
	in *link.Buffer
}

// next reads the next message that is not a KEEPALIVE, or that is if one is wanted.
func (n *neighbour) next(kind byte) []byte {
	n.Helper()
	for {
		got, body, size, err := parse(n.in.Bytes())
		switch {
		case err == errShort:
			if err := n.in.Fill(n); err != nil {
				n.Fatalf("no message of type %d: %v", kind, err)
			}
			continue
		case err != nil:
			n.Fatal(err)
		}
		body = bytes.Clone(body)
		n.in.Skip(size)
		if got == kind {
			return body
		}
		if got != msgKeepalive {
			n.Fatalf("message type %d %x, want %d", got, body, kind)
		}
	}
}

// accept takes a session in. An OPEN of the given hold time answers the speaker's.
func accept(t *testing.T, l net.Listener, hold uint16) *neighbour {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	n := &neighbour{t, c, link.NewBuffer(64, mostSize)}
	o, wide, err := parseOpen(n.next(msgOpen))
	if err != nil || o.as != 64512 || !wide {
		t.Fatalf("OPEN %+v, %v", o, err)
	}
	n.Write(open{64513, hold, netip.MustParseAddr("127.0.0.2")}.build())
	n.Write(build(msgKeepalive, nil))
	n.next(msgKeepalive)
	return n
}

func speaker(t *testing.T, holdS int) (*Speaker, net.Listener, chan core.Event) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	events := make(chan core.Event, 16)
	s, err := New(Config{
		AS: 64512, RouterID: "127.0.0.1", Service: "127.0.9.1/32", NextHop: "127.0.0.1", HoldS: holdS,
		Peers: []Peer{{l.Addr().String(), 64513}},
	}, Limits{ConnectTimeout: time.Second, RetryMin: time.Millisecond, RetryMax: 4 * time.Millisecond, MaxRoutes: 100, Conn: link.Limits{
		InitialBufferSize: 64, MaxMessageSize: mostSize, MaxQueuedBytes: 1 << 16, WriteTimeout: time.Second, FlushTimeout: 50 * time.Millisecond,
	}}, func(ev core.Event) { events <- ev }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s, l, events
}

// The service address is announced while calls are welcome, and again on each new session; withdrawn when not.
func TestServiceAddress(t *testing.T) {
	s, l, _ := speaker(t, 90)
	n := accept(t, l, 90)
	s.SetServing(true)
	// By hand from RFC 4271: no withdrawal, ORIGIN IGP, AS_PATH of one AS of four bytes, NEXT_HOP, the prefix.
	want := "0000" + "0014" + "40010100" + "400206" + "0201" + "0000fc00" + "400304" + "7f000001" + "20" + "7f000901"
	if got := hex.EncodeToString(n.next(msgUpdate)); got != want {
		t.Errorf("announced by %s, want %s", got, want)
	}
	n.Close()
	n = accept(t, l, 90)
	if u, err := parseUpdate(n.next(msgUpdate)); err != nil || len(u.announced) != 1 {
		t.Errorf("on the new session: %+v, %v", u, err)
	}
	s.SetServing(false)
	if got, want := hex.EncodeToString(n.next(msgUpdate)), "0005207f0009010000"; got != want {
		t.Errorf("withdrawn by %s, want %s", got, want)
	}
}

// A withdrawal by a peer that announced an address counts; of one it never spoke of, it is no news. The end of
// a session alone takes no server away.
func TestPeersRoutes(t *testing.T) {
	_, l, events := speaker(t, 90)
	n := accept(t, l, 90)
	p := netip.MustParsePrefix("127.0.3.0/24")
	next := netip.MustParseAddr("127.0.0.2")
	n.Write(withdrawal(p))
	n.Write(announcement(p, next, 64513, true, true))
	if ev := (<-events).(core.Route); !ev.Up || !ev.Covers("127.0.3.7:2905") || ev.Covers("127.0.4.7:2905") {
		t.Errorf("first event %+v", ev)
	}
	n.Close()
	n = accept(t, l, 90)
	n.Write(announcement(p, next, 64513, true, true))
	n.Write(withdrawal(p))
	if ev := (<-events).(core.Route); ev.Up {
		t.Errorf("second event %+v, want the withdrawal", ev)
	}
	n.Write(announcement(p, next, 64513, true, true))
	if ev := (<-events).(core.Route); !ev.Up {
		t.Errorf("third event %+v, want the route back", ev)
	}
	n.Close() // a peer that comes back without it, and says that this is all, has withdrawn it
	n = accept(t, l, 90)
	n.Write(build(msgUpdate, []byte{0, 0, 0, 0}))
	if ev := (<-events).(core.Route); ev.Up {
		t.Errorf("fourth event %+v, want the withdrawal", ev)
	}
}

// Routes that come and go leave nothing behind: each was counted for good, and after as many as a peer may announce
// the session ended, and so did every later one.
func TestRoutesThatGoAreForgotten(t *testing.T) {
	s, l, events := speaker(t, 90)
	n := accept(t, l, 90)
	next := netip.MustParseAddr("127.0.0.2")
	for i := range 3 * s.limits.MaxRoutes {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 32)
		n.Write(announcement(p, next, 64513, true, true))
		n.Write(withdrawal(p))
		for _, up := range []bool{true, false} {
			select {
			case ev := <-events:
				if ev.(core.Route).Up != up {
					t.Fatalf("route %d: %+v, want up: %v", i, ev, up)
				}
			case <-time.After(patience):
				t.Fatalf("route %d: nothing is told of it", i)
			}
		}
	}
	s.telling.Lock()
	defer s.telling.Unlock()
	if len(s.routes) != 0 {
		t.Errorf("%d routes kept", len(s.routes))
	}
}

// A silent peer is left when the hold timer expires, with a NOTIFICATION; KEEPALIVEs go out meanwhile. What is
// malformed ends the session likewise, and the session is tried again.
func TestSessionsEnd(t *testing.T) {
	_, l, _ := speaker(t, 3)
	n := accept(t, l, 3)
	n.next(msgKeepalive)
	if b := n.next(msgNotification); b[0] != errHoldExpired>>8 {
		t.Errorf("NOTIFICATION %x, want the hold timer's", b)
	}
	for name, tt := range map[string]struct {
		b    []byte
		code uint16
	}{
		"marker":    {make([]byte, headSize), errMarker},
		"type":      {build(9, nil), errType},
		"length":    {build(msgUpdate, nil), errLength},
		"update":    {build(msgUpdate, []byte{0, 9, 0, 0}), errAttributes},
		"prefix":    {build(msgUpdate, []byte{0, 0, 0, 0, 33, 1, 2, 3, 4, 5}), errNetwork},
		"attribute": {build(msgUpdate, []byte{0, 0, 0, 3, 0x40, 1, 9}), errAttributes},
		"state":     {open{64513, 90, netip.MustParseAddr("127.0.0.2")}.build(), errState},
	} {
		n := accept(t, l, 90)
		n.Write(tt.b)
		if b := n.next(msgNotification); b[0] != byte(tt.code>>8) || b[1] != byte(tt.code) {
			t.Errorf("%s: NOTIFICATION %x, want %04x", name, b, tt.code)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(open{64513, 90, netip.MustParseAddr("127.0.0.2")}.build())
	f.Add(announcement(netip.MustParsePrefix("127.0.3.0/24"), netip.MustParseAddr("127.0.0.2"), 1, true, true))
	f.Add(withdrawal(netip.MustParsePrefix("127.0.3.0/24")))
	f.Fuzz(func(t *testing.T, b []byte) {
		kind, body, n, err := parse(b)
		if err != nil {
			return
		}
		if n > len(b) || n > mostSize {
			t.Errorf("a message of %d bytes out of %d", n, len(b))
		}
		switch kind {
		case msgOpen:
			parseOpen(body)
		case msgUpdate:
			parseUpdate(body)
		}
	})
}

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }
