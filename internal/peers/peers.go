// Package peers carries the datagrams between the softswitches of a tier (PROTOCOL, "Between softswitches"): UDP, at
// most 256 bytes, to the addresses of the configuration's peers and from those alone. It decides nothing; see
// internal/membership.
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

// Limits are the sizes, counts and times of the socket.
type Limits struct {
	Queue int           // datagrams that may wait to be written; more are dropped
	Rate  float64       // datagrams a second that are taken in, and as many at once
	Retry time.Duration // until the address is free: a predecessor may have it
}

// Config is what the socket is told.
type Config struct {
	Listen string   // host:port
	Peers  []string // of the tier, by number, the own one included
	Self   int
	Limits Limits
}

// Counters are the datagrams that never reached the core, or were not written.
type Counters struct{ UnknownSenders, RateLimited, SendDrops uint64 }

// Socket is the socket.
type Socket struct {
	cfg         Config
	listen      netip.AddrPort
	addresses   []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
	queue       chan core.SendToMember
	post        func(core.Event)
	log         zerolog.Logger
	wg          sync.WaitGroup

	unknownSenders, rateLimited, sendDrops atomic.Uint64
}

// New checks the addresses. An error is one line that names the field.
func New(cfg Config, post func(core.Event), log zerolog.Logger) (*Socket, error) {
	s := &Socket{cfg: cfg, indexByAddr: make(map[netip.AddrPort]int), queue: make(chan core.SendToMember, cfg.Limits.Queue), post: post, log: log}
	var err error
	if s.listen, err = netip.ParseAddrPort(cfg.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	for i, text := range cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		addr = unmap(addr)
		if first, duplicate := s.indexByAddr[addr]; duplicate {
			return nil, fmt.Errorf("peers[%d]: %s is peers[%d] too", i, addr, first)
		}
		s.indexByAddr[addr], s.addresses = i, append(s.addresses, addr)
	}
	if cfg.Self < 0 || cfg.Self >= len(s.addresses) {
		return nil, fmt.Errorf("settings.me: %d is none of %d peers", cfg.Self, len(s.addresses))
	}
	return s, nil
}

func unmap(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Run opens the socket, as soon as the address is free, has the core join, and serves until the context ends and what
// was still to be sent is written.
func (s *Socket) Run(ctx context.Context, join ...core.Event) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.listen))
	for first := true; err != nil; first = false {
		if first {
			s.log.Info().Err(err).Msg("peers' address not free yet")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.cfg.Limits.Retry):
		}
		conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.listen))
	}
	s.log.Info().Str("peers", conn.LocalAddr().String()).Int("self", s.cfg.Self).Int("tier", len(s.addresses)).Msg("membership")
	s.wg.Go(func() { s.read(conn) })
	for _, ev := range join {
		s.post(ev)
	}
	for {
		select {
		case msg := <-s.queue:
			s.write(conn, msg)
			continue
		case <-ctx.Done():
		}
		break
	}
	for len(s.queue) > 0 {
		s.write(conn, <-s.queue)
	}
	conn.Close()
	s.wg.Wait()
}

func (s *Socket) write(conn *net.UDPConn, msg core.SendToMember) {
	if _, err := conn.WriteToUDPAddrPort(msg.Data, s.addresses[msg.To]); err != nil {
		s.sendDrops.Add(1)
	}
}

// Send queues a datagram. It never waits: one that finds no room is lost, as any may be.
func (s *Socket) Send(msg core.SendToMember) {
	select {
	case s.queue <- msg:
	default:
		s.sendDrops.Add(1)
	}
}

// read takes datagrams in. One from nobody of the tier is counted and leaves nothing; one too long is handed on one byte
// too long, which membership counts.
func (s *Socket) read(conn *net.UDPConn) {
	var buf [datagram.MaxSize + 1]byte
	limiter := rate.NewLimiter(rate.Limit(s.cfg.Limits.Rate), max(int(s.cfg.Limits.Rate), 1))
	for {
		n, src, err := conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what an earlier datagram met
			continue
		}
		from, known := s.indexByAddr[unmap(src)]
		switch {
		case !known:
			s.unknownSenders.Add(1)
		case !limiter.Allow():
			s.rateLimited.Add(1)
		default:
			s.post(core.MemberDatagram{From: from, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}

// Addresses are those of the tier, by number.
func (s *Socket) Addresses() []string { return s.cfg.Peers }

// Counters are the figures of now.
func (s *Socket) Counters() Counters {
	return Counters{s.unknownSenders.Load(), s.rateLimited.Load(), s.sendDrops.Load()}
}
