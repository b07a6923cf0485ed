// Package platform implements the platform's own signalling protocol: binary messages between callers and the softswitch, JSON
// lines between the softswitch and servers. It translates messages into events of the core and effects of the core into
// messages; every decision is the core's.
package platform

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/settings"
	"elmseam/internal/transport"
)

// Protocol is the name of the platform's protocol in the core and the logs.
const Protocol core.Protocol = "platform"

// Config holds the settings of a Platform. Configure can replace them at any time.
type Config struct {
	Deployment     settings.Deployment
	CallerConn     transport.Limits // limits of a caller's connection
	ConnectTimeout time.Duration    // longest time to make a connection to a server

	ServerConn     transport.Limits // limits of a connection to a server
	MaxCallerConns int              // maximum number of open connections that Serve has accepted; adopted ones do not count

	CallerQueues *transport.Budget // memory of what is queued for all callers
	ServerQueues *transport.Budget // memory of what is queued for all servers
}

// activeConfig is a Config together with the class indexes by class name. Removed classes have no entry.
type activeConfig struct {
	Config
	classIndexes map[string]int
}

// Platform serves callers and servers that use the platform's protocol.
type Platform struct {
	config               atomic.Pointer[activeConfig]
	loop                 *loop.Loop
	log                  zerolog.Logger
	sampledLog           zerolog.Logger // for log lines that callers or servers can provoke without limit
	stopping             atomic.Bool
	draining             atomic.Bool
	successor            atomic.Pointer[Successor]
	serverSilence        silenceDetector // shared by all connections to servers
	connsOutsideAcceptor atomic.Int64    // open connections to servers and of adopted callers, which acceptor doesn't count
	acceptor             *transport.Acceptor
}

// New returns a Platform that exchanges events and effects with l.
func New(cfg Config, l *loop.Loop, log zerolog.Logger) *Platform {
	p := &Platform{loop: l, log: log, sampledLog: transport.SampledLogger(log)}
	p.acceptor = transport.NewAcceptor(func() int { return p.config.Load().MaxCallerConns }, p.serveCaller)
	p.Configure(cfg)
	return p
}

// Configure replaces the settings. Open connections keep the limits that they were opened with.
func (p *Platform) Configure(cfg Config) {
	p.config.Store(&activeConfig{cfg, cfg.Deployment.ClassIndexes()})
	p.acceptor.MaxConnsChanged()
}

// ClassNames returns the names of the request classes, by class index.
func (p *Platform) ClassNames() []string {
	var names []string
	for _, c := range p.config.Load().Deployment.Classes {
		names = append(names, c.Name)
	}
	return names
}

// MarkStopping makes this softswitch answer all later test messages of callers with a failure, so that no new callers are sent to
// it.
func (p *Platform) MarkStopping() { p.stopping.Store(true) }

// SetDraining makes this softswitch answer test messages of callers with a failure while on is true.
func (p *Platform) SetDraining(on bool) { p.draining.Store(on) }

// SetSuccessor sets the newer process that callers' connections are transferred to.
func (p *Platform) SetSuccessor(s Successor) { p.successor.Store(&s) }

// Wait waits until Serve has returned and all connections have ended, at most for twice the linger timeout of a caller's
// connection.
func (p *Platform) Wait() {
	ended := make(chan struct{})
	timeout := time.After(2 * p.config.Load().CallerConn.LingerTimeout)
	go func() { p.acceptor.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-timeout:
		return
	}
	for p.connsOutsideAcceptor.Load() > 0 { // a connection made late may not have reached the loop yet; the ended loop closes it gracefully
		select {
		case <-timeout:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Serve accepts and serves callers until l is closed.
func (p *Platform) Serve(l net.Listener) { p.acceptor.Serve(l) }

// CloseListener makes the listener close once all callers that have connected so far are accepted. It does not wait.
func (p *Platform) CloseListener() { p.acceptor.DrainBacklog() }

// Successor is the newer process of a hand-over, which callers' connections are transferred to.
type Successor interface {
	// Transfer passes a connection to the successor, with the bytes that were read from it and not yet parsed. It may
	// wait, and may be called concurrently. An error means that the successor did not receive the connection.
	Transfer(transfer core.Transfer, unparsed []byte, conn syscall.Conn) error
	// ForwardEffect passes an effect for a caller on to the successor, which has the caller's connection. It must not wait.
	ForwardEffect(conn core.ConnID, e core.Effect)
}
