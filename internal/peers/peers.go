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
	cfg    Config
	listen netip.AddrPort
	to     []netip.AddrPort
	by     map[netip.AddrPort]int
	queue  chan core.SendToMember
	post   func(core.Event)
	log    zerolog.Logger
	wg     sync.WaitGroup

	strangers, flooded, unwritten atomic.Uint64
}

// New checks the addresses. An error is one line that names the field.
func New(cfg Config, post func(core.Event), log zerolog.Logger) (*Socket, error) {
	p := &Socket{cfg: cfg, by: make(map[netip.AddrPort]int), queue: make(chan core.SendToMember, cfg.Limits.Queue), post: post, log: log}
	var err error
	if p.listen, err = netip.ParseAddrPort(cfg.Listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	for i, text := range cfg.Peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		a = plain(a)
		if at, twice := p.by[a]; twice {
			return nil, fmt.Errorf("peers[%d]: %s is peers[%d] too", i, a, at)
		}
		p.by[a], p.to = i, append(p.to, a)
	}
	if cfg.Self < 0 || cfg.Self >= len(p.to) {
		return nil, fmt.Errorf("settings.me: %d is none of %d peers", cfg.Self, len(p.to))
	}
	return p, nil
}

func plain(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Run opens the socket, as soon as the address is free, has the core join, and serves until the context ends and what
// was still to be sent is written.
func (p *Socket) Run(ctx context.Context, join ...core.Event) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.listen))
	for first := true; err != nil; first = false {
		if first {
			p.log.Info().Err(err).Msg("peers' address not free yet")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.cfg.Limits.Retry):
		}
		conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.listen))
	}
	p.log.Info().Str("peers", conn.LocalAddr().String()).Int("self", p.cfg.Self).Int("tier", len(p.to)).Msg("membership")
	p.wg.Go(func() { p.read(conn) })
	for _, ev := range join {
		p.post(ev)
	}
	for {
		select {
		case e := <-p.queue:
			p.write(conn, e)
			continue
		case <-ctx.Done():
		}
		break
	}
	for len(p.queue) > 0 {
		p.write(conn, <-p.queue)
	}
	conn.Close()
	p.wg.Wait()
}

func (p *Socket) write(conn *net.UDPConn, e core.SendToMember) {
	if _, err := conn.WriteToUDPAddrPort(e.Data, p.to[e.To]); err != nil {
		p.unwritten.Add(1)
	}
}

// Send queues a datagram. It never waits: one that finds no room is lost, as any may be.
func (p *Socket) Send(e core.SendToMember) {
	select {
	case p.queue <- e:
	default:
		p.unwritten.Add(1)
	}
}

// read takes datagrams in. One from nobody of the tier is counted and leaves nothing; one too long is handed on one byte
// too long, which membership counts.
func (p *Socket) read(conn *net.UDPConn) {
	var b [datagram.MaxSize + 1]byte
	pace := rate.NewLimiter(rate.Limit(p.cfg.Limits.Rate), max(int(p.cfg.Limits.Rate), 1))
	for {
		n, src, err := conn.ReadFromUDPAddrPort(b[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what an earlier datagram met
			continue
		}
		from, known := p.by[plain(src)]
		switch {
		case !known:
			p.strangers.Add(1)
		case !pace.Allow():
			p.flooded.Add(1)
		default:
			p.post(core.MemberDatagram{From: from, Data: append([]byte(nil), b[:n]...)})
		}
	}
}

// Addresses are those of the tier, by number.
func (p *Socket) Addresses() []string { return p.cfg.Peers }

// Counters are the figures of now.
func (p *Socket) Counters() Counters {
	return Counters{p.strangers.Load(), p.flooded.Load(), p.unwritten.Load()}
}
