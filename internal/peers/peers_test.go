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

// listenUDP opens a UDP socket on a free port of the loopback address, for the duration of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestSocket checks that the socket waits until its address is free, posts members' datagrams with the sender's index, drops
// datagrams from unknown senders and beyond the rate limit, and writes its queue before it ends.
func TestSocket(t *testing.T) {
	occupied, member, outsider := listenUDP(t), listenUDP(t), listenUDP(t)
	ownAddr := occupied.LocalAddr().String()
	events := make(chan core.Event, 100)
	sock, err := New(Config{ListenAddress: ownAddr, Addresses: []string{ownAddr, member.LocalAddr().String()}, Limits: Limits{MaxQueued: 2, MaxReceiveRate: 5, ListenRetryDelay: 5 * time.Millisecond}},
		func(ev core.Event) { events <- ev }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { sock.Run(ctx, core.StartMembership{}); close(done) }()
	nextEvent := func() core.Event {
		t.Helper()
		select {
		case ev := <-events:
			return ev
		case <-time.After(5 * time.Second):
			t.Fatal("no event was posted in time")
			return nil
		}
	}
	time.Sleep(20 * time.Millisecond)
	if len(events) > 0 {
		t.Error("the join event was posted before the socket had its address")
	}
	occupied.Close()
	if _, ok := nextEvent().(core.StartMembership); !ok {
		t.Fatal("the first event is not the join event")
	}
	socketAddress := net.UDPAddrFromAddrPort(sock.addresses[0])
	outsider.WriteToUDP([]byte("who?"), socketAddress)
	member.WriteToUDP(make([]byte, 1000), socketAddress)
	if ev, ok := nextEvent().(core.MemberDatagram); !ok || ev.From != 1 || len(ev.Data) != datagram.MaxSize+1 {
		t.Errorf("%+v, want the oversized datagram from member 1, cut to MaxSize+1 bytes", ev)
	}
	for range 50 {
		member.WriteToUDP([]byte("x"), socketAddress)
	}
	for deadline := time.Now().Add(5 * time.Second); sock.Counters().RateLimited == 0 || sock.Counters().UnknownSenders == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("counters %+v, want datagrams dropped for their sender and for their rate", sock.Counters())
		}
	}
	for range 3 { // the queue may be full at the last; the queued datagrams are written at the end
		sock.Send(core.SendToMember{To: 1, Data: []byte("leaving")})
	}
	cancel()
	<-done
	member.SetReadDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 300)
	if n, _, err := member.ReadFromUDP(buf); err != nil || string(buf[:n]) != "leaving" {
		t.Errorf("received %q, %v, want the datagram queued before the end", buf[:n], err)
	}
}

// TestInvalidConfig checks that an invalid configuration is refused with a one-line error that names the field.
func TestInvalidConfig(t *testing.T) {
	for want, cfg := range map[string]Config{
		"peer_listen: ": {ListenAddress: "nowhere", Addresses: []string{"127.0.0.1:1"}},
		"peers[1]: ":    {ListenAddress: "127.0.0.1:1", Addresses: []string{"127.0.0.1:1", "x"}},
		"peers[2]: ":    {ListenAddress: "127.0.0.1:1", Addresses: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1"}},
		"settings.me: ": {ListenAddress: "127.0.0.1:1", Addresses: []string{"127.0.0.1:1"}, Self: 1},
	} {
		if _, err := New(cfg, nil, zerolog.Nop()); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want one line that starts with %s", err, want)
		}
	}
}

// TestMain fails if a test leaks a goroutine or a file descriptor.
func TestMain(m *testing.M) { leak.Main(m) }
