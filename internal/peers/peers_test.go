package peers

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
	"elmseam/internal/datagram"
	"elmseam/internal/leak"
)

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// The socket waits for its address, hands on what members send and says from whom, passes over strangers and floods
// without a word to the core, and writes what still waits before it ends.
func TestSocket(t *testing.T) {
	occupied, member, outsider := listenUDP(t), listenUDP(t), listenUDP(t)
	ownAddr := occupied.LocalAddr().String()
	events := make(chan core.Event, 100)
	sock, err := New(Config{Listen: ownAddr, Peers: []string{ownAddr, member.LocalAddr().String()}, Limits: Limits{Queue: 2, Rate: 5, Retry: 5 * time.Millisecond}},
		func(ev core.Event) { events <- ev }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { sock.Run(ctx, core.StartMembership{}); close(done) }()
	next := func() core.Event {
		t.Helper()
		select {
		case ev := <-events:
			return ev
		case <-time.After(5 * time.Second):
			t.Fatal("nothing came")
			return nil
		}
	}
	time.Sleep(20 * time.Millisecond)
	if len(events) > 0 {
		t.Error("it joins without its address")
	}
	occupied.Close()
	if _, ok := next().(core.StartMembership); !ok {
		t.Fatal("it does not join first")
	}
	to := net.UDPAddrFromAddrPort(sock.addresses[0])
	outsider.WriteToUDP([]byte("who?"), to)
	member.WriteToUDP(make([]byte, 1000), to)
	if ev, ok := next().(core.MemberDatagram); !ok || ev.From != 1 || len(ev.Data) != datagram.MaxSize+1 {
		t.Errorf("%+v, want the one too long from member 1, a byte too long", ev)
	}
	for range 50 {
		member.WriteToUDP([]byte("x"), to)
	}
	for deadline := time.Now().Add(5 * time.Second); sock.Counters().RateLimited == 0 || sock.Counters().UnknownSenders == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%+v", sock.Counters())
		}
	}
	for range 3 { // the last may find no room; what is in the queue goes out at the end
		sock.Send(core.SendToMember{To: 1, Data: []byte("leaving")})
	}
	cancel()
	<-done
	member.SetReadDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 300)
	if n, _, err := member.ReadFromUDP(buf); err != nil || string(buf[:n]) != "leaving" {
		t.Errorf("%q, %v", buf[:n], err)
	}
}

// A configuration that makes no sense is refused by one line that names the field.
func TestInvalidConfig(t *testing.T) {
	for want, cfg := range map[string]Config{
		"peer_listen: ": {Listen: "nowhere", Peers: []string{"127.0.0.1:1"}},
		"peers[1]: ":    {Listen: "127.0.0.1:1", Peers: []string{"127.0.0.1:1", "x"}},
		"peers[2]: ":    {Listen: "127.0.0.1:1", Peers: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1"}},
		"settings.me: ": {Listen: "127.0.0.1:1", Peers: []string{"127.0.0.1:1"}, Self: 1},
	} {
		if _, err := New(cfg, nil, zerolog.Nop()); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want one line with %s", err, want)
		}
	}
}

// No goroutine and no descriptor may be left over.
func TestMain(m *testing.M) { leak.Main(m) }
