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
	as                uint32
	routerID, nextHop netip.Addr
	service           netip.Prefix
	holdTime          uint16
	peers             []Peer
	limits            Limits
	post              func(core.Event)
	log               zerolog.Logger
	sampledLog        zerolog.Logger // of what peers can cause as often as they like

	routesMu sync.Mutex                       // keeps what is told of routes in order; never held by the loop, which may be waited for
	routes   map[netip.Prefix]map[string]bool // by whom an address is announced; under telling

	mu       sync.Mutex
	serving  bool
	sessions map[*session]bool
}

// New checks the configuration. An error names the field.
func New(cfg Config, limits Limits, post func(core.Event), log zerolog.Logger) (*Speaker, error) {
	s := &Speaker{
		as: cfg.AS, holdTime: uint16(cfg.HoldS), peers: cfg.Peers, limits: limits, post: post, log: log, sampledLog: link.SampledLogger(log),
		sessions: make(map[*session]bool), routes: make(map[netip.Prefix]map[string]bool),
	}
	var err error
	if s.routerID, err = netip.ParseAddr(cfg.RouterID); err != nil || !s.routerID.Is4() {
		return nil, fmt.Errorf("bgp.router_id: %q is no IPv4 address", cfg.RouterID)
	}
	if s.nextHop, err = netip.ParseAddr(cfg.NextHop); err != nil || !s.nextHop.Is4() {
		return nil, fmt.Errorf("bgp.next_hop: %q is no IPv4 address", cfg.NextHop)
	}
	if s.service, err = netip.ParsePrefix(cfg.Service); err != nil || !s.service.Addr().Is4() {
		return nil, fmt.Errorf("bgp.service: %q is no IPv4 prefix", cfg.Service)
	}
	switch {
	case cfg.AS == 0:
		return nil, errors.New("bgp.as: missing")
	case cfg.HoldS < 3 || cfg.HoldS > 1<<16-1:
		return nil, fmt.Errorf("bgp.hold_s: %d, 3 is the least", cfg.HoldS)
	}
	for i, peer := range cfg.Peers {
		if _, _, err := net.SplitHostPort(peer.Address); err != nil || peer.AS == 0 {
			return nil, fmt.Errorf("bgp.peer[%d]: address or as missing", i)
		}
	}
	s.service = s.service.Masked()
	return s, nil
}

// SetServing announces the service address, or withdraws it.
func (s *Speaker) SetServing(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = serving
	for ses := range s.sessions {
		ses.announce(serving)
	}
}

// Run keeps a session with every peer until the context ends.
func (s *Speaker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range s.peers {
		wg.Go(func() { s.maintainSession(ctx, peer) })
	}
	wg.Wait()
}

// keep makes a session again whenever it ends, at doubling gaps while none comes up.
func (s *Speaker) maintainSession(ctx context.Context, peer Peer) {
	retryDelay := s.limits.RetryMin
	for ctx.Err() == nil {
		established, err := s.runSession(ctx, peer)
		if ctx.Err() != nil {
			return
		}
		s.log.Info().Err(err).Str("peer", peer.Address).Msg("BGP session ended")
		if established {
			retryDelay = s.limits.RetryMin
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		retryDelay = min(2*retryDelay, s.limits.RetryMax)
	}
}

// session is an established session.
type session struct {
	speaker    *Speaker
	peer       Peer
	conn       net.Conn
	outbox     *link.Outbox
	external   bool
	fourByteAS bool
	announced  map[netip.Prefix]bool // announced in this session
}

// announce must be called with the speaker's lock held.
func (ses *session) announce(serving bool) {
	speaker := ses.speaker
	msg := buildWithdrawal(speaker.service)
	if serving {
		msg = buildAnnouncement(speaker.service, speaker.nextHop, speaker.as, ses.external, ses.fourByteAS)
	}
	ses.outbox.Post(link.Item{Data: msg})
}

// session holds one session, and says whether it was established.
func (s *Speaker) runSession(ctx context.Context, peer Peer) (established bool, err error) {
	dialer := net.Dialer{Timeout: s.limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", peer.Address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	ses := &session{
		speaker: s, peer: peer, conn: conn, outbox: link.NewOutbox(conn, s.limits.Conn), external: peer.AS != s.as,
		announced: make(map[netip.Prefix]bool)}
	defer context.AfterFunc(ctx, func() { ses.notify(codeAdminShutdown) })()
	ses.outbox.Post(link.Item{Data: openMessage{s.as, s.holdTime, s.routerID}.encode()})
	established, err = ses.run()
	s.mu.Lock()
	delete(s.sessions, ses)
	s.mu.Unlock()
	var msgErr *messageError
	if errors.As(err, &msgErr) {
		ses.notify(msgErr.code)
	}
	return established, err
}

// notify ends the session with a NOTIFICATION.
func (ses *session) notify(code uint16) {
	ses.outbox.Post(link.Item{Data: buildMessage(msgNotification, binary.BigEndian.AppendUint16(nil, code))})
	ses.outbox.Flush()
	ses.conn.Close()
}

// read drives the session: OPEN, KEEPALIVE, then UPDATEs. A third of the hold time with nothing heard, or a
// third gone by since the last, is when a KEEPALIVE goes out; the whole of it, and the session is over.
func (ses *session) run() (established bool, err error) {
	buf := link.NewBuffer(headerSize, maxMessageSize)
	holdTime := time.Duration(ses.speaker.holdTime) * time.Second
	opened := false
	lastReceived, lastKeepalive := time.Now(), time.Now()
	for {
		now := time.Now()
		if opened && holdTime > 0 && now.Sub(lastKeepalive) >= holdTime/3 {
			ses.outbox.Post(link.Item{Data: buildMessage(msgKeepalive, nil)})
			lastKeepalive = now
		}
		if holdTime > 0 {
			ses.conn.SetReadDeadline(now.Add(min(holdTime/3-now.Sub(lastKeepalive), holdTime-now.Sub(lastReceived))))
		} else {
			ses.conn.SetReadDeadline(time.Time{})
		}
		switch err := buf.Fill(ses.conn); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if time.Since(lastReceived) >= holdTime {
				return established, &messageError{codeHoldTimerExpired, "hold timer expired"}
			}
			if !opened {
				lastKeepalive = time.Now()
			}
			continue
		case err != nil:
			return established, err
		}
		for {
			kind, body, size, err := parseMessage(buf.Bytes())
			if err == errIncomplete {
				break
			}
			if err != nil {
				return established, err
			}
			lastReceived = time.Now()
			switch {
			case kind == msgNotification:
				return established, fmt.Errorf("peer ends the session: code %d, subcode %d", body[0], body[1])
			case kind == msgOpen && !opened:
				open, fourByteAS, err := parseOpen(body)
				if err != nil {
					return established, err
				}
				if open.as != ses.peer.AS {
					return established, &messageError{codeBadPeerAS, fmt.Sprintf("peer is AS %d", open.as)}
				}
				opened, ses.fourByteAS = true, fourByteAS
				holdTime = min(holdTime, time.Duration(open.holdTime)*time.Second)
				ses.outbox.Post(link.Item{Data: buildMessage(msgKeepalive, nil)})
				lastKeepalive = lastReceived
			case kind == msgKeepalive && opened:
				if !established {
					established = true
					ses.established()
				}
			case kind == msgUpdate && established:
				update, err := parseUpdate(body)
				if err != nil {
					return established, err
				}
				if err := ses.handleUpdate(update); err != nil {
					return established, err
				}
			default:
				return established, &messageError{codeFSMError, fmt.Sprintf("message type %d is not expected here", kind)}
			}
			buf.Skip(size)
		}
	}
}

// established announces the service address if calls are welcome.
func (ses *session) established() {
	speaker := ses.speaker
	speaker.mu.Lock()
	defer speaker.mu.Unlock()
	speaker.sessions[ses] = true
	speaker.log.Info().Str("peer", ses.peer.Address).Msg("BGP session established")
	if speaker.serving {
		ses.announce(true)
	}
}

// update takes in what a peer says of addresses. One is gone when the last peer that announced it has
// withdrawn it; one that no peer ever spoke of is none of BGP's business. What a peer told is kept when its
// session ends: only its word counts as a withdrawal, or that it has told all and this was not among it.
func (ses *session) handleUpdate(update updateMessage) error {
	speaker := ses.speaker
	speaker.routesMu.Lock()
	defer speaker.routesMu.Unlock()
	if update.endOfRIB {
		for prefix := range speaker.routes {
			if !ses.announced[prefix] {
				update.withdrawn = append(update.withdrawn, prefix)
			}
		}
	}
	for _, prefix := range update.withdrawn {
		delete(ses.announced, prefix)
		if speaker.updateRoute(prefix, ses.peer.Address, false) {
			speaker.postRoute(prefix, false)
		}
	}
	for _, prefix := range update.announced {
		ses.announced[prefix] = true
		if speaker.updateRoute(prefix, ses.peer.Address, true) {
			speaker.postRoute(prefix, true)
		}
		if len(speaker.routes) > speaker.limits.MaxRoutes {
			return &messageError{codeTooManyPrefixes, fmt.Sprintf("more than %d routes", speaker.limits.MaxRoutes)}
		}
	}
	return nil
}

// change takes in one route and says whether it has come or gone with that.
func (s *Speaker) updateRoute(prefix netip.Prefix, peer string, reachable bool) bool {
	announcers := s.routes[prefix]
	switch {
	case reachable == announcers[peer]:
		return false
	case reachable:
		if announcers == nil {
			announcers = make(map[string]bool)
			s.routes[prefix] = announcers
		}
		announcers[peer] = true
		return len(announcers) == 1
	}
	if delete(announcers, peer); len(announcers) > 0 {
		return false
	}
	delete(s.routes, prefix)
	return true
}

// tell hands the core a route's coming or going.
func (s *Speaker) postRoute(prefix netip.Prefix, reachable bool) {
	s.sampledLog.Info().Stringer("prefix", prefix).Bool("up", reachable).Msg("route")
	s.post(core.Route{Name: prefix.String(), Up: reachable, Covers: func(address string) bool {
		addrPort, err := netip.ParseAddrPort(address)
		return err == nil && prefix.Contains(addrPort.Addr())
	}})
}
