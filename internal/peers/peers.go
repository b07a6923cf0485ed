// Package peers sends and receives the datagrams between the softswitches of a tier (PROTOCOL, "Between softswitches"). They
// are UDP datagrams of at most 256 bytes, exchanged only with the configured peer addresses. The datagrams are interpreted
// elsewhere, see internal/membership.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"elmseam/internal/core"
	"elmseam/internal/datagram"
)

// Limits are the size limits, rates and times of the socket.
type Limits struct {
	MaxQueued        int           // max number of datagrams queued for sending; more are dropped
	MaxReceiveRate   float64       // max number of datagrams received from members per second, also the max burst; more are dropped
	ListenRetryDelay time.Duration // wait before trying again to listen: a predecessor may still use the address
}

// Config is the configuration of the socket.
type Config struct {
	ListenAddress string   // own address, IP:port
	Addresses     []string // address of each member of the tier by index, this member included; IP:port
	Self          int      // index of this member in Addresses
	Limits        Limits
}

// Counters counts dropped datagrams since the start: received from an address that is no member's, received beyond the rate
// limit, and not sent because the queue was full or the write failed.
type Counters struct{ UnknownSenders, RateLimited, SendDrops uint64 }

// Socket is the UDP socket for the datagrams between the members of the tier.
type Socket struct {
	cfg           Config
	listenAddress netip.AddrPort
	addresses     []netip.AddrPort       // addresses of the members, by index
	indexByAddr   map[netip.AddrPort]int // index of the member with an address
	sendQueue     chan core.SendToMember
	postEvent     func(core.Event)
	log           zerolog.Logger
	wg            sync.WaitGroup

	unknownSenders, rateLimited, sendDrops atomic.Uint64
}

// New checks the configuration and returns a socket that posts received datagrams with postEvent. An error is a single line that
// names the invalid field.
func New(cfg Config, postEvent func(core.Event), log zerolog.Logger) (*Socket, error) {
	s := &Socket{cfg: cfg, indexByAddr: make(map[netip.AddrPort]int), sendQueue: make(chan core.SendToMember, cfg.Limits.MaxQueued), postEvent: postEvent, log: log}
	var err error
	if s.listenAddress, err = netip.ParseAddrPort(cfg.ListenAddress); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	for i, text := range cfg.Addresses {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		addr = unmap(addr)
		if first, duplicate := s.indexByAddr[addr]; duplicate {
			return nil, fmt.Errorf("peers[%d]: %s is the address of peers[%d] too", i, addr, first)
		}
		s.indexByAddr[addr], s.addresses = i, append(s.addresses, addr)
	}
	if cfg.Self < 0 || cfg.Self >= len(s.addresses) {
		return nil, fmt.Errorf("settings.me: %d is not the index of one of %d peers", cfg.Self, len(s.addresses))
	}
	return s, nil
}

// unmap converts an IPv4-mapped IPv6 address to IPv4, so that addresses can be compared.
func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Run opens the socket as soon as its address is free, posts joinEvents, and sends and receives until ctx is done and the
// queue is written. If ctx is done before the socket is open, Run posts and sends nothing.
func (s *Socket) Run(ctx context.Context, joinEvents ...core.Event) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.listenAddress))
	for first := true; err != nil; first = false {
		if first {
			s.log.Info().Err(err).Msg("cannot listen on the peer address yet, trying again")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.cfg.Limits.ListenRetryDelay):
		}
		conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.listenAddress))
	}
	s.log.Info().Str("peers", conn.LocalAddr().String()).Int("self", s.cfg.Self).Int("tier", len(s.addresses)).Msg("membership")
	s.wg.Go(func() { s.read(conn) })
	for _, ev := range joinEvents {
		s.postEvent(ev)
	}
	for {
		select {
		case msg := <-s.sendQueue:
			s.write(conn, msg)
			continue
		case <-ctx.Done():
		}
		break
	}
	for len(s.sendQueue) > 0 {
		s.write(conn, <-s.sendQueue)
	}
	conn.Close()
	s.wg.Wait()
}

// write sends one datagram. A failed write is counted.
func (s *Socket) write(conn *net.UDPConn, msg core.SendToMember) {
	if _, err := conn.WriteToUDPAddrPort(msg.Data, s.addresses[msg.To]); err != nil {
		s.sendDrops.Add(1)
	}
}

// Send queues a datagram, also before Run has opened the socket. Send never blocks: the datagram is dropped if the queue is full,
// which is harmless because the protocols between members tolerate lost datagrams.
func (s *Socket) Send(msg core.SendToMember) {
	select {
	case s.sendQueue <- msg:
	default:
		s.sendDrops.Add(1)
	}
}

// read receives datagrams and posts those of members, until conn is closed. A datagram from an unknown sender or beyond the rate
// limit is only counted. A datagram that exceeds datagram.MaxSize is posted with MaxSize+1 bytes, and the protocol that its first
// byte names counts it as malformed.
func (s *Socket) read(conn *net.UDPConn) {
	var buf [datagram.MaxSize + 1]byte
	limiter := rate.NewLimiter(rate.Limit(s.cfg.Limits.MaxReceiveRate), max(int(s.cfg.Limits.MaxReceiveRate), 1))
	for {
		n, src, err := conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example an ICMP error caused by a datagram sent earlier
			continue
		}
		from, known := s.indexByAddr[unmap(src)]
		switch {
		case !known:
			s.unknownSenders.Add(1)
		case !limiter.Allow():
			s.rateLimited.Add(1)
		default:
			s.postEvent(core.MemberDatagram{From: from, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}

// Addresses returns the configured addresses of the tier's members, by index.
func (s *Socket) Addresses() []string { return s.cfg.Addresses }

// Counters returns the current counters.
func (s *Socket) Counters() Counters {
	return Counters{s.unknownSenders.Load(), s.rateLimited.Load(), s.sendDrops.Load()}
}
