package bgp

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
	"elmseam/internal/link"
)

// Config is what a speaker is told, in the front's file.
type Config struct {
	AS       uint32 `toml:"as"`
	RouterID string `toml:"router_id"`
	Service  string `toml:"service"`  // the prefix to announce
	NextHop  string `toml:"next_hop"` // where it is served
	HoldS    int    `toml:"hold_s"`
	Peers    []Peer `toml:"peer"`
}

// Peer is one neighbour.
type Peer struct {
	Address string `toml:"address"`
	AS      uint32 `toml:"as"`
}

// Limits are a speaker's times and sizes.
type Limits struct {
	ConnectTimeout time.Duration
	RetryMin       time.Duration // before a session is tried again, doubling
	RetryMax       time.Duration
	MaxRoutes      int // that peers may announce in all
	Conn           link.Limits
}

// Speaker holds a session with each peer.
type Speaker struct {
	as       uint32
	id, next netip.Addr
	service  netip.Prefix
	hold     uint16
	peers    []Peer
	limits   Limits
	post     func(core.Event)
	log      zerolog.Logger
	loud     zerolog.Logger // of what peers can cause as often as they like

	telling sync.Mutex                       // keeps what is told of routes in order; never held by the loop, which may be waited for
	routes  map[netip.Prefix]map[string]bool // by whom an address is announced; under telling

	mu       sync.Mutex
	ready    bool
	sessions map[*session]bool
}

// New checks the configuration. An error names the field.
func New(c Config, limits Limits, post func(core.Event), log zerolog.Logger) (*Speaker, error) {
	s := &Speaker{
		as: c.AS, hold: uint16(c.HoldS), peers: c.Peers, limits: limits, post: post, log: log, loud: link.SampledLogger(log),
		sessions: make(map[*session]bool), routes: make(map[netip.Prefix]map[string]bool),
	}
	var err error
	if s.id, err = netip.ParseAddr(c.RouterID); err != nil || !s.id.Is4() {
		return nil, fmt.Errorf("bgp.router_id: %q is no IPv4 address", c.RouterID)
	}
	if s.next, err = netip.ParseAddr(c.NextHop); err != nil || !s.next.Is4() {
		return nil, fmt.Errorf("bgp.next_hop: %q is no IPv4 address", c.NextHop)
	}
	if s.service, err = netip.ParsePrefix(c.Service); err != nil || !s.service.Addr().Is4() {
		return nil, fmt.Errorf("bgp.service: %q is no IPv4 prefix", c.Service)
	}
	switch {
	case c.AS == 0:
		return nil, errors.New("bgp.as: missing")
	case c.HoldS < 3 || c.HoldS > 1<<16-1:
		return nil, fmt.Errorf("bgp.hold_s: %d, 3 is the least", c.HoldS)
	}
	for i, p := range c.Peers {
		if _, _, err := net.SplitHostPort(p.Address); err != nil || p.AS == 0 {
			return nil, fmt.Errorf("bgp.peer[%d]: address or as missing", i)
		}
	}
	s.service = s.service.Masked()
	return s, nil
}

// SetServing announces the service address, or withdraws it.
func (s *Speaker) SetServing(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = yes
	for ses := range s.sessions {
		ses.announce(yes)
	}
}

// Run keeps a session with every peer until the context ends.
func (s *Speaker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range s.peers {
		wg.Go(func() { s.keep(ctx, p) })
	}
	wg.Wait()
}

// keep makes a session again whenever it ends, at doubling gaps while none comes up.
func (s *Speaker) keep(ctx context.Context, p Peer) {
	gap := s.limits.RetryMin
	for ctx.Err() == nil {
		up, err := s.session(ctx, p)
		if ctx.Err() != nil {
			return
		}
		s.log.Info().Err(err).Str("peer", p.Address).Msg("BGP session ended")
		if up {
			gap = s.limits.RetryMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
		gap = min(2*gap, s.limits.RetryMax)
	}
}

// session is an established session.
type session struct {
	s        *Speaker
	peer     Peer
	conn     net.Conn
	out      *link.Outbox
	external bool
	wide     bool
	heard    map[netip.Prefix]bool // announced in this session
}

// announce must be called with the speaker's lock held.
func (ses *session) announce(yes bool) {
	s := ses.s
	b := withdrawal(s.service)
	if yes {
		b = announcement(s.service, s.next, s.as, ses.external, ses.wide)
	}
	ses.out.Post(link.Item{Data: b})
}

// session holds one session, and says whether it was established.
func (s *Speaker) session(ctx context.Context, p Peer) (up bool, err error) {
	d := net.Dialer{Timeout: s.limits.ConnectTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	ses := &session{
		s: s, peer: p, conn: conn, out: link.NewOutbox(conn, s.limits.Conn), external: p.AS != s.as,
		heard: make(map[netip.Prefix]bool)}
	defer context.AfterFunc(ctx, func() { ses.notify(errCease) })()
	ses.out.Post(link.Item{Data: open{s.as, s.hold, s.id}.build()})
	up, err = ses.read()
	s.mu.Lock()
	delete(s.sessions, ses)
	s.mu.Unlock()
	var bad *fault
	if errors.As(err, &bad) {
		ses.notify(bad.code)
	}
	return up, err
}

// notify ends the session with a NOTIFICATION.
func (ses *session) notify(code uint16) {
	ses.out.Post(link.Item{Data: build(msgNotification, binary.BigEndian.AppendUint16(nil, code))})
	ses.out.Flush()
	ses.conn.Close()
}

// read drives the session: OPEN, KEEPALIVE, then UPDATEs. A third of the hold time with nothing heard, or a
// third gone by since the last, is when a KEEPALIVE goes out; the whole of it, and the session is over.
func (ses *session) read() (up bool, err error) {
	in := link.NewBuffer(headSize, mostSize)
	hold := time.Duration(ses.s.hold) * time.Second
	opened := false
	last, beat := time.Now(), time.Now()
	for {
		now := time.Now()
		if opened && hold > 0 && now.Sub(beat) >= hold/3 {
			ses.out.Post(link.Item{Data: build(msgKeepalive, nil)})
			beat = now
		}
		if hold > 0 {
			ses.conn.SetReadDeadline(now.Add(min(hold/3-now.Sub(beat), hold-now.Sub(last))))
		} else {
			ses.conn.SetReadDeadline(time.Time{})
		}
		switch err := in.Fill(ses.conn); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if time.Since(last) >= hold {
				return up, &fault{errHoldExpired, "hold timer expired"}
			}
			if !opened {
				beat = time.Now()
			}
			continue
		case err != nil:
			return up, err
		}
		for {
			kind, body, n, err := parse(in.Bytes())
			if err == errShort {
				break
			}
			if err != nil {
				return up, err
			}
			last = time.Now()
			switch {
			case kind == msgNotification:
				return up, fmt.Errorf("peer ends the session: code %d, subcode %d", body[0], body[1])
			case kind == msgOpen && !opened:
				o, wide, err := parseOpen(body)
				if err != nil {
					return up, err
				}
				if o.as != ses.peer.AS {
					return up, &fault{errPeerAS, fmt.Sprintf("peer is AS %d", o.as)}
				}
				opened, ses.wide = true, wide
				hold = min(hold, time.Duration(o.hold)*time.Second)
				ses.out.Post(link.Item{Data: build(msgKeepalive, nil)})
				beat = last
			case kind == msgKeepalive && opened:
				if !up {
					up = true
					ses.established()
				}
			case kind == msgUpdate && up:
				u, err := parseUpdate(body)
				if err != nil {
					return up, err
				}
				if err := ses.update(u); err != nil {
					return up, err
				}
			default:
				return up, &fault{errState, fmt.Sprintf("message type %d is not expected here", kind)}
			}
			in.Skip(n)
		}
	}
}

// established announces the service address if calls are welcome.
func (ses *session) established() {
	s := ses.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[ses] = true
	s.log.Info().Str("peer", ses.peer.Address).Msg("BGP session established")
	if s.ready {
		ses.announce(true)
	}
}

// update takes in what a peer says of addresses. One is gone when the last peer that announced it has
// withdrawn it; one that no peer ever spoke of is none of BGP's business. What a peer told is kept when its
// session ends: only its word counts as a withdrawal, or that it has told all and this was not among it.
func (ses *session) update(u update) error {
	s := ses.s
	s.telling.Lock()
	defer s.telling.Unlock()
	if u.whole {
		for p := range s.routes {
			if !ses.heard[p] {
				u.withdrawn = append(u.withdrawn, p)
			}
		}
	}
	for _, p := range u.withdrawn {
		delete(ses.heard, p)
		if s.change(p, ses.peer.Address, false) {
			s.tell(p, false)
		}
	}
	for _, p := range u.announced {
		ses.heard[p] = true
		if s.change(p, ses.peer.Address, true) {
			s.tell(p, true)
		}
		if len(s.routes) > s.limits.MaxRoutes {
			return &fault{errPrefixes, fmt.Sprintf("more than %d routes", s.limits.MaxRoutes)}
		}
	}
	return nil
}

// change takes in one route and says whether it has come or gone with that.
func (s *Speaker) change(p netip.Prefix, peer string, up bool) bool {
	by := s.routes[p]
	switch {
	case up == by[peer]:
		return false
	case up:
		if by == nil {
			by = make(map[string]bool)
			s.routes[p] = by
		}
		by[peer] = true
		return len(by) == 1
	}
	if delete(by, peer); len(by) > 0 {
		return false
	}
	delete(s.routes, p)
	return true
}

// tell hands the core a route's coming or going.
func (s *Speaker) tell(p netip.Prefix, up bool) {
	s.loud.Info().Stringer("prefix", p).Bool("up", up).Msg("route")
	s.post(core.Route{Name: p.String(), Up: up, Covers: func(address string) bool {
		a, err := netip.ParseAddrPort(address)
		return err == nil && p.Contains(a.Addr())
	}})
}
