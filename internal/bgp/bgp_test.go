package bgp

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
	"elmseam/internal/leak"
	"elmseam/internal/transport"
)

// testTimeout limits the wait for expected messages. It only runs out when a test fails.
const testTimeout = 10 * time.Second

// scriptedPeer is the test's end of a BGP session.
type scriptedPeer struct {
	*testing.T
	net.Conn
	buf *transport.Buffer
}

// nextMessage returns the body of the next message of the given type. It skips KEEPALIVEs, unless they are asked for, and fails
// on any other type.
func (p *scriptedPeer) nextMessage(kind byte) []byte {
	p.Helper()
	for {
		gotKind, body, size, err := parseMessage(p.buf.Bytes())
		switch {
		case err == errIncomplete:
			if err := p.buf.Fill(p); err != nil {
				p.Fatalf("no message of type %d: %v", kind, err)
			}
			continue
		case err != nil:
			p.Fatal(err)
		}
		body = bytes.Clone(body)
		p.buf.Skip(size)
		if gotKind == kind {
			return body
		}
		if gotKind != msgKeepalive {
			p.Fatalf("message type %d %x, want %d", gotKind, body, kind)
		}
	}
}

// acceptSession accepts a connection from the speaker under test and opens a session on it. It proposes a hold time of holdTime
// seconds.
func acceptSession(t *testing.T, listener net.Listener, holdTime uint16) *scriptedPeer {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	peer := &scriptedPeer{t, conn, transport.NewBuffer(64, maxMessageSize)}
	open, fourByteAS, err := parseOpen(peer.nextMessage(msgOpen))
	if err != nil || open.as != 64512 || !fourByteAS {
		t.Fatalf("OPEN %+v, %v", open, err)
	}
	peer.Write(openMessage{64513, holdTime, netip.MustParseAddr("127.0.0.2")}.encode())
	peer.Write(buildMessage(msgKeepalive, nil))
	peer.nextMessage(msgKeepalive)
	return peer
}

// startSpeaker runs a speaker with one peer, whose listener it returns along with the posted events.
func startSpeaker(t *testing.T, holdS int) (*Speaker, net.Listener, chan core.Event) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	events := make(chan core.Event, 16)
	s, err := New(Config{
		AS: 64512, RouterID: "127.0.0.1", Service: "127.0.9.1/32", NextHop: "127.0.0.1", HoldS: holdS,
		Peers: []Peer{{listener.Addr().String(), 64513}},
	}, Limits{ConnectTimeout: time.Second, MinRetryDelay: time.Millisecond, MaxRetryDelay: 4 * time.Millisecond, MaxRoutes: 100, Conn: transport.Limits{
		InitialBufferSize: 64, MaxMessageSize: maxMessageSize, MaxQueuedBytes: 1 << 16, WriteTimeout: time.Second, FlushTimeout: 50 * time.Millisecond,
	}}, func(ev core.Event) { events <- ev }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s, listener, events
}

// TestServicePrefixFollowsServing checks that the service prefix is announced while the program accepts calls, announced again
// in each new session, and withdrawn when the program stops accepting calls.
func TestServicePrefixFollowsServing(t *testing.T) {
	s, listener, _ := startSpeaker(t, 90)
	peer := acceptSession(t, listener, 90)
	s.SetServing(true)
	// Encoded by hand from RFC 4271: no withdrawn routes, ORIGIN IGP, AS_PATH of one four-byte AS, NEXT_HOP, the prefix.
	want := "0000" + "0014" + "40010100" + "400206" + "0201" + "0000fc00" + "400304" + "7f000001" + "20" + "7f000901"
	if got := hex.EncodeToString(peer.nextMessage(msgUpdate)); got != want {
		t.Errorf("announcement %s, want %s", got, want)
	}
	peer.Close()
	peer = acceptSession(t, listener, 90)
	if update, err := parseUpdate(peer.nextMessage(msgUpdate)); err != nil || len(update.announced) != 1 {
		t.Errorf("UPDATE in the new session: %+v, %v, want one announced prefix", update, err)
	}
	s.SetServing(false)
	if got, want := hex.EncodeToString(peer.nextMessage(msgUpdate)), "0005207f0009010000"; got != want {
		t.Errorf("withdrawal %s, want %s", got, want)
	}
}

// TestPeerRouteEvents checks that a withdrawal takes a route down only if the peer has announced it, that the end of a session
// alone takes no route down, and that an End-of-RIB marker takes down a route that its session has not announced.
func TestPeerRouteEvents(t *testing.T) {
	_, listener, events := startSpeaker(t, 90)
	peer := acceptSession(t, listener, 90)
	prefix := netip.MustParsePrefix("127.0.3.0/24")
	nextHop := netip.MustParseAddr("127.0.0.2")
	peer.Write(buildWithdrawal(prefix))
	peer.Write(buildAnnouncement(prefix, nextHop, 64513, true, true))
	if ev := (<-events).(core.Route); !ev.Up || !ev.Covers("127.0.3.7:2905") || ev.Covers("127.0.4.7:2905") {
		t.Errorf("first event %+v", ev)
	}
	peer.Close()
	peer = acceptSession(t, listener, 90)
	peer.Write(buildAnnouncement(prefix, nextHop, 64513, true, true))
	peer.Write(buildWithdrawal(prefix))
	if ev := (<-events).(core.Route); ev.Up {
		t.Errorf("second event %+v, want the withdrawal", ev)
	}
	peer.Write(buildAnnouncement(prefix, nextHop, 64513, true, true))
	if ev := (<-events).(core.Route); !ev.Up {
		t.Errorf("third event %+v, want the route back", ev)
	}
	peer.Close() // an End-of-RIB marker in a session that did not announce the route withdraws it
	peer = acceptSession(t, listener, 90)
	peer.Write(buildMessage(msgUpdate, []byte{0, 0, 0, 0}))
	if ev := (<-events).(core.Route); ev.Up {
		t.Errorf("fourth event %+v, want the withdrawal", ev)
	}
}

// TestWithdrawnRoutesAreForgotten guards against withdrawn routes that still count towards the limit: after MaxRoutes of them
// the session ended, and so did every later session.
func TestWithdrawnRoutesAreForgotten(t *testing.T) {
	s, listener, events := startSpeaker(t, 90)
	peer := acceptSession(t, listener, 90)
	nextHop := netip.MustParseAddr("127.0.0.2")
	for i := range 3 * s.limits.MaxRoutes {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 32)
		peer.Write(buildAnnouncement(prefix, nextHop, 64513, true, true))
		peer.Write(buildWithdrawal(prefix))
		for _, up := range []bool{true, false} {
			select {
			case ev := <-events:
				if ev.(core.Route).Up != up {
					t.Fatalf("route %d: %+v, want up: %v", i, ev, up)
				}
			case <-time.After(testTimeout):
				t.Fatalf("route %d: no event", i)
			}
		}
	}
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	if len(s.announcersByPrefix) != 0 {
		t.Errorf("%d routes kept after their withdrawal", len(s.announcersByPrefix))
	}
}

// TestSessionErrors checks that the session with a silent peer ends with a NOTIFICATION when the hold timer expires, with
// a KEEPALIVE sent before; and that a malformed or unexpected message ends the session with a NOTIFICATION, after which the
// speaker connects again.
func TestSessionErrors(t *testing.T) {
	_, listener, _ := startSpeaker(t, 3)
	peer := acceptSession(t, listener, 3)
	peer.nextMessage(msgKeepalive)
	if b := peer.nextMessage(msgNotification); b[0] != codeHoldTimerExpired>>8 {
		t.Errorf("NOTIFICATION %x, want hold timer expired", b)
	}
	for name, tt := range map[string]struct {
		b    []byte
		code uint16
	}{
		"marker":    {make([]byte, headerSize), codeNotSynchronized},
		"type":      {buildMessage(9, nil), codeBadType},
		"length":    {buildMessage(msgUpdate, nil), codeBadLength},
		"update":    {buildMessage(msgUpdate, []byte{0, 9, 0, 0}), codeMalformedAttributes},
		"prefix":    {buildMessage(msgUpdate, []byte{0, 0, 0, 0, 33, 1, 2, 3, 4, 5}), codeInvalidNetwork},
		"attribute": {buildMessage(msgUpdate, []byte{0, 0, 0, 3, 0x40, 1, 9}), codeMalformedAttributes},
		"state":     {openMessage{64513, 90, netip.MustParseAddr("127.0.0.2")}.encode(), codeFSMError},
	} {
		peer := acceptSession(t, listener, 90)
		peer.Write(tt.b)
		if b := peer.nextMessage(msgNotification); b[0] != byte(tt.code>>8) || b[1] != byte(tt.code) {
			t.Errorf("%s: NOTIFICATION %x, want %04x", name, b, tt.code)
		}
	}
}

// FuzzParse checks that the parsers neither panic nor read beyond their input.
func FuzzParse(f *testing.F) {
	f.Add(openMessage{64513, 90, netip.MustParseAddr("127.0.0.2")}.encode())
	f.Add(buildAnnouncement(netip.MustParsePrefix("127.0.3.0/24"), netip.MustParseAddr("127.0.0.2"), 1, true, true))
	f.Add(buildWithdrawal(netip.MustParsePrefix("127.0.3.0/24")))
	f.Fuzz(func(t *testing.T, b []byte) {
		kind, body, size, err := parseMessage(b)
		if err != nil {
			return
		}
		if size > len(b) || size > maxMessageSize {
			t.Errorf("parsed a message of %d bytes from %d bytes", size, len(b))
		}
		switch kind {
		case msgOpen:
			parseOpen(body)
		case msgUpdate:
			parseUpdate(body)
		}
	})
}

// TestOwnASReplacedInPath guards against announcements with AS_TRANS where the own AS number fits into two bytes.
func TestOwnASReplacedInPath(t *testing.T) {
	for as, want := range map[uint32]uint16{64512: 64512, 23457: 23457, 65535: 65535, 65536: asTrans, 4200000000: asTrans} {
		update := buildAnnouncement(netip.MustParsePrefix("10.0.0.0/8"), netip.MustParseAddr("10.0.0.1"), as, true, false)
		path := binary.BigEndian.AppendUint16([]byte{0x40, attrASPath, 4, 2, 1}, want)
		if !bytes.Contains(update, path) {
			t.Errorf("AS %d: %x, want the path %x", as, update, path)
		}
	}
}

// TestMain fails if a test leaks a goroutine or a file descriptor.
func TestMain(m *testing.M) { leak.Main(m) }
