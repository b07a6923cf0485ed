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
	"elmseam/internal/transport"
)

// Config is the [bgp] table of the signalling file (deploy/m3ua.toml).
type Config struct {
	AS       uint32 `toml:"as"`        // own AS number
	RouterID string `toml:"router_id"` // BGP identifier, an IPv4 address
	Service  string `toml:"service"`   // the IPv4 prefix to announce
	NextHop  string `toml:"next_hop"`  // IPv4 address at which Service is reached
	HoldS    int    `toml:"hold_s"`    // proposed hold time in seconds, 3 to 65535
	Peers    []Peer `toml:"peer"`
}

// Peer is the configuration of a BGP peer.
type Peer struct {
	Address string `toml:"address"` // host:port
	AS      uint32 `toml:"as"`
}

// Limits are a speaker's timeouts and size limits.
type Limits struct {
	ConnectTimeout time.Duration    // max time to connect to a peer
	MinRetryDelay  time.Duration    // wait before the first attempt to open a session again; doubles with each attempt
	MaxRetryDelay  time.Duration    // max wait between two attempts
	MaxRoutes      int              // max number of distinct prefixes that all peers together may announce
	Conn           transport.Limits // limits of a session's connection
}

// Speaker keeps a BGP session with each configured peer.
type Speaker struct {
	as                uint32
	routerID, nextHop netip.Addr
	service           netip.Prefix // the prefix to announce
	holdTime          uint16       // proposed hold time in seconds
	peers             []Peer
	limits            Limits
	postEvent         func(core.Event) // delivers events to the core; may block
	log               zerolog.Logger
	sampledLog        zerolog.Logger // for events that a peer can cause at any rate

	// routesMu guards announcersByPrefix and keeps the posted route events in order. It is held while postEvent waits for the
	// event loop, so the loop must never lock it.
	routesMu           sync.Mutex
	announcersByPrefix map[netip.Prefix]map[string]bool // prefix -> addresses of the peers that announce it

	mu       sync.Mutex        // guards the fields below
	serving  bool              // calls are accepted: the prefix is to be announced
	sessions map[*session]bool // the established sessions
}

// New checks the configuration and returns a speaker. An error names the invalid field.
func New(cfg Config, limits Limits, postEvent func(core.Event), log zerolog.Logger) (*Speaker, error) {
	s := &Speaker{
		as: cfg.AS, holdTime: uint16(cfg.HoldS), peers: cfg.Peers, limits: limits, postEvent: postEvent,
		log: log, sampledLog: transport.SampledLogger(log), sessions: make(map[*session]bool),
		announcersByPrefix: make(map[netip.Prefix]map[string]bool),
	}
	var err error
	if s.routerID, err = netip.ParseAddr(cfg.RouterID); err != nil || !s.routerID.Is4() {
		return nil, fmt.Errorf("bgp.router_id: %q is not an IPv4 address", cfg.RouterID)
	}
	if s.nextHop, err = netip.ParseAddr(cfg.NextHop); err != nil || !s.nextHop.Is4() {
		return nil, fmt.Errorf("bgp.next_hop: %q is not an IPv4 address", cfg.NextHop)
	}
	if s.service, err = netip.ParsePrefix(cfg.Service); err != nil || !s.service.Addr().Is4() {
		return nil, fmt.Errorf("bgp.service: %q is not an IPv4 prefix", cfg.Service)
	}
	switch {
	case cfg.AS == 0:
		return nil, errors.New("bgp.as: missing")
	case cfg.HoldS < 3 || cfg.HoldS > 1<<16-1:
		return nil, fmt.Errorf("bgp.hold_s: %d is not within 3 to 65535", cfg.HoldS)
	}
	for i, peer := range cfg.Peers {
		if _, _, err := net.SplitHostPort(peer.Address); err != nil || peer.AS == 0 {
			return nil, fmt.Errorf("bgp.peer[%d]: address is not host:port, or as is missing", i)
		}
	}
	s.service = s.service.Masked()
	return s, nil
}

// SetServing announces the service prefix on all established sessions, or withdraws it. Sessions established later announce
// the prefix if serving was last set to true.
func (s *Speaker) SetServing(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = serving
	for ses := range s.sessions {
		ses.announce(serving)
	}
}

// Run keeps a session with every peer until ctx is done.
func (s *Speaker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range s.peers {
		wg.Go(func() { s.maintainSession(ctx, peer) })
	}
	wg.Wait()
}

// maintainSession opens the session with a peer again whenever it ends, until ctx is done. The wait between attempts doubles, up
// to Limits.MaxRetryDelay, until a session is established.
func (s *Speaker) maintainSession(ctx context.Context, peer Peer) {
	retryDelay := s.limits.MinRetryDelay
	for ctx.Err() == nil {
		established, err := s.runSession(ctx, peer)
		if ctx.Err() != nil {
			return
		}
		s.log.Info().Err(err).Str("peer", peer.Address).Msg("BGP session ended")
		if established {
			retryDelay = s.limits.MinRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		retryDelay = min(2*retryDelay, s.limits.MaxRetryDelay)
	}
}

// session is one BGP session with a peer.
type session struct {
	speaker         *Speaker
	peer            Peer
	conn            net.Conn
	outbox          *transport.Outbox
	externalPeer    bool                  // the peer is in another AS
	fourByteAS      bool                  // the peer supports four-byte AS numbers
	announcedByPeer map[netip.Prefix]bool // prefixes that the peer has announced in this session and not withdrawn
}

// announce announces the service prefix to the peer, or withdraws it. The caller holds speaker.mu.
func (ses *session) announce(serving bool) {
	speaker := ses.speaker
	msg := buildWithdrawal(speaker.service)
	if serving {
		msg = buildAnnouncement(speaker.service, speaker.nextHop, speaker.as, ses.externalPeer, ses.fourByteAS)
	}
	ses.outbox.Send(transport.Message{Data: msg})
}

// runSession connects to a peer and runs one session until it ends. It reports whether the session was established. A session
// that ends by a messageError, or because ctx is done, ends with a NOTIFICATION.
func (s *Speaker) runSession(ctx context.Context, peer Peer) (established bool, err error) {
	dialer := net.Dialer{Timeout: s.limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", peer.Address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	ses := &session{
		speaker: s, peer: peer, conn: conn, outbox: transport.NewOutbox(conn, s.limits.Conn, transport.NewBudget(s.limits.Conn.MaxQueuedBytes)), externalPeer: peer.AS != s.as,
		announcedByPeer: make(map[netip.Prefix]bool)}
	defer context.AfterFunc(ctx, func() { ses.closeWithNotification(codeAdminShutdown) })()
	ses.outbox.Send(transport.Message{Data: openMessage{s.as, s.holdTime, s.routerID}.encode()})
	established, err = ses.handleMessages()
	s.mu.Lock()
	delete(s.sessions, ses)
	s.mu.Unlock()
	var msgErr *messageError
	if errors.As(err, &msgErr) {
		ses.closeWithNotification(msgErr.code)
	}
	return established, err
}

// closeWithNotification sends a NOTIFICATION with the given error code and closes the connection.
func (ses *session) closeWithNotification(code uint16) {
	ses.outbox.Send(transport.Message{Data: buildMessage(msgNotification, binary.BigEndian.AppendUint16(nil, code))})
	ses.outbox.Flush()
	ses.conn.Close()
}

// handleMessages reads and handles the peer's messages: OPEN, KEEPALIVE, then UPDATEs. After the OPEN it sends a KEEPALIVE when
// a third of the hold time has passed since the last one. It ends the session when no complete message was received for the
// whole hold time. If the peer's OPEN proposes a hold time of 0, it does neither.
func (ses *session) handleMessages() (established bool, err error) {
	buf := transport.NewBuffer(headerSize, maxMessageSize)
	holdTime := time.Duration(ses.speaker.holdTime) * time.Second
	openReceived := false
	lastReceived, lastKeepalive := time.Now(), time.Now()
	for {
		now := time.Now()
		if openReceived && holdTime > 0 && now.Sub(lastKeepalive) >= holdTime/3 {
			ses.outbox.Send(transport.Message{Data: buildMessage(msgKeepalive, nil)})
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
			if !openReceived {
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
				return established, fmt.Errorf("NOTIFICATION from peer: code %d, subcode %d", body[0], body[1])
			case kind == msgOpen && !openReceived:
				open, fourByteAS, err := parseOpen(body)
				if err != nil {
					return established, err
				}
				if open.as != ses.peer.AS {
					return established, &messageError{codeBadPeerAS, fmt.Sprintf("peer sent AS %d, which is not the configured one", open.as)}
				}
				openReceived, ses.fourByteAS = true, fourByteAS
				holdTime = min(holdTime, time.Duration(open.holdTime)*time.Second)
				ses.outbox.Send(transport.Message{Data: buildMessage(msgKeepalive, nil)})
				lastKeepalive = lastReceived
			case kind == msgKeepalive && openReceived:
				if !established {
					established = true
					ses.register()
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
				return established, &messageError{codeFSMError, fmt.Sprintf("message type %d is not expected in this state", kind)}
			}
			buf.Skip(size)
		}
	}
}

// register registers the session and announces the service prefix if the program accepts calls.
func (ses *session) register() {
	speaker := ses.speaker
	speaker.mu.Lock()
	defer speaker.mu.Unlock()
	speaker.sessions[ses] = true
	speaker.log.Info().Str("peer", ses.peer.Address).Msg("BGP session established")
	if speaker.serving {
		ses.announce(true)
	}
}

// handleUpdate applies an UPDATE to the routes. A route is down when the last peer that announced it has withdrawn it; the
// withdrawal of a route that no peer has announced is ignored, as such addresses are reached without BGP. A peer's routes are
// kept when its session ends: they are withdrawn only by an explicit withdrawal, or by an End-of-RIB marker in a session that
// did not announce them. The error says that the peers announce more than Limits.MaxRoutes prefixes; the prefix that exceeds
// the limit is applied, those after it are not.
func (ses *session) handleUpdate(update updateMessage) error {
	speaker := ses.speaker
	speaker.routesMu.Lock()
	defer speaker.routesMu.Unlock()
	if update.endOfRIB {
		for prefix := range speaker.announcersByPrefix {
			if !ses.announcedByPeer[prefix] {
				update.withdrawn = append(update.withdrawn, prefix)
			}
		}
	}
	for _, prefix := range update.withdrawn {
		delete(ses.announcedByPeer, prefix)
		if speaker.updateAnnouncer(prefix, ses.peer.Address, false) {
			speaker.postRoute(prefix, false)
		}
	}
	for _, prefix := range update.announced {
		ses.announcedByPeer[prefix] = true
		if speaker.updateAnnouncer(prefix, ses.peer.Address, true) {
			speaker.postRoute(prefix, true)
		}
		if len(speaker.announcersByPrefix) > speaker.limits.MaxRoutes {
			return &messageError{codeTooManyPrefixes, fmt.Sprintf("peers announce more than %d routes", speaker.limits.MaxRoutes)}
		}
	}
	return nil
}

// updateAnnouncer records that the peer with the given address announces a prefix (reachable) or withdraws it. It reports whether
// the prefix has thereby become reachable, or unreachable, through all peers together. The caller holds routesMu.
func (s *Speaker) updateAnnouncer(prefix netip.Prefix, peer string, reachable bool) bool {
	announcers := s.announcersByPrefix[prefix]
	switch {
	case reachable == announcers[peer]:
		return false
	case reachable:
		if announcers == nil {
			announcers = make(map[string]bool)
			s.announcersByPrefix[prefix] = announcers
		}
		announcers[peer] = true
		return len(announcers) == 1
	}
	if delete(announcers, peer); len(announcers) > 0 {
		return false
	}
	delete(s.announcersByPrefix, prefix)
	return true
}

// postRoute logs that a route came up or went down, and posts the event to the core. The caller holds routesMu.
func (s *Speaker) postRoute(prefix netip.Prefix, reachable bool) {
	s.sampledLog.Info().Stringer("prefix", prefix).Bool("up", reachable).Msg("route")
	s.postEvent(core.Route{Name: prefix.String(), Up: reachable, Covers: func(address string) bool {
		addrPort, err := netip.ParseAddrPort(address)
		return err == nil && prefix.Contains(addrPort.Addr())
	}})
}
