// Command elmseam runs one softswitch, a member of a tier. The environment names its configuration files and overrides
// some of their settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"elmseam/internal/bgp"
	"elmseam/internal/config"
	"elmseam/internal/core"
	"elmseam/internal/feed"
	"elmseam/internal/handover"
	"elmseam/internal/loop"
	"elmseam/internal/m3ua"
	"elmseam/internal/mgmt"
	"elmseam/internal/peers"
	"elmseam/internal/platform"
	"elmseam/internal/transport"
)

// signallingFile is the default signalling file, which configures M3UA and BGP. ELMSEAM_SIGNALLING overrides it.
const signallingFile = "deploy/m3ua.toml"

// membersFile is the default members file, which configures the tier's membership. ELMSEAM_MEMBERS overrides it.
const membersFile = "deploy/members.toml"

// logTimeFormat is the format of times in the log: RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "elmseam:", err)
		os.Exit(1)
	}
}

// run runs the softswitch until a signal stops it. It returns an error if the softswitch cannot start.
func run() error {
	// Signals are caught before anything else, because an uncaught signal ends the process. Stop and reload signals
	// have separate channels, so that many signals of one kind cannot displace one of the other.
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	signalling, err := loadSignalling()
	if err != nil {
		return err
	}
	if signalling.Enabled {
		cfg.ShareSocketsWithM3UA()
		if signalling.M3UA.StateDir == "" {
			signalling.M3UA.StateDir = os.Getenv("TMPDIR")
		}
	}
	membersPath, membersPathSet := os.LookupEnv("ELMSEAM_MEMBERS")
	if !membersPathSet {
		membersPath = membersFile
	}
	members, err := config.LoadMembers(membersPath, membersPathSet)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Str("node", cfg.Name).Logger()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limiter := &memoryLimiter{}
	limiter.setLimits(cfg.Limits)

	reducer, err := core.New(cfg.Settings, cfg.Seed, cfg.Limits.Core)
	if err != nil {
		return err
	}
	var m3uaProtocol *m3ua.M3UA
	var bgpSpeaker *bgp.Speaker
	upgrader := &upgrader{socketPath: handover.SocketPath(os.Getenv("TMPDIR"), cfg.Name), handOverLimits: cfg.Limits.HandOver, memoryLimiter: limiter, log: log, sampledLog: transport.SampledLogger(log)}
	readyToServe := make(chan struct{})
	var tierSocket *peers.Socket
	var platformRef atomic.Pointer[platform.Platform] // set before the event loop runs
	sampledLog, callLog := transport.SampledLogger(log), transport.SampledLogger(log)
	eventLoop := loop.New(reducer, cfg.Limits.Inbox, func(effect core.Effect) {
		switch effect := effect.(type) {
		case core.Serving:
			if m3uaProtocol != nil {
				m3uaProtocol.SetServing(effect.On)
			}
			if bgpSpeaker != nil {
				bgpSpeaker.SetServing(effect.On)
			}
		case core.ReadyToServe:
			close(readyToServe)
		case core.Trace:
			if effect.ID != 0 { // a flood of traces of calls must not displace those of servers
				logTrace(&callLog, effect)
			} else {
				logTrace(&sampledLog, effect)
			}
		case core.CloseListener:
			upgrader.closeListener()
		case core.SendToMember:
			tierSocket.Send(effect)
		case core.MemberChanged:
			sampledLog.Info().Int("member", effect.Member).Stringer("was", effect.Old).Stringer("is", effect.New).Uint64("incarnation", effect.Incarnation).Msg("membership changed")
		case core.DrainChanged:
			platformRef.Load().SetDraining(effect.On)
		case core.MaintenanceProgress:
			sampledLog.Info().Int("member", effect.Member).Stringer("stage", effect.Record.Stage).Uint64("epoch", effect.Record.Epoch).Msg("maintenance")
		case core.Attempted:
			upgrader.announceAttempts(effect.IDs)
		case core.ToPredecessor:
			upgrader.sendToPredecessor(effect)
		case core.ToSuccessor:
			upgrader.sendToSuccessor(effect.Protocol, 0, effect.Effect)
		case core.ForgetCall:
			if m3uaProtocol != nil && effect.Protocol != platform.Protocol {
				m3uaProtocol.FreeCircuit(effect.ID)
			}
		}
	}, log)

	if members.Enabled {
		socketConfig, joinEvents, permitted, err := cfg.TierConfig(members)
		if err != nil {
			return err
		}
		if !permitted {
			log.Warn().Msg("membership is off: the settings permit no peer messages")
		} else if tierSocket, err = peers.New(socketConfig, eventLoop.Post, log); err != nil {
			return err
		} else {
			var tierSocketDone sync.WaitGroup
			tierCtx, stopTier := context.WithCancel(context.Background())
			defer tierSocketDone.Wait() // until the socket has sent what is queued, such as the announcement that this member leaves
			defer stopTier()
			tierSocketDone.Go(func() { tierSocket.Run(tierCtx, joinEvents...) })
		}
	}

	platformProtocol := platform.New(cfg.Platform(), eventLoop, log)
	platformRef.Store(platformProtocol)
	eventLoop.SetDialer(platform.Protocol, platformProtocol.Dial)
	upgrader.loop, upgrader.platform = eventLoop, platformProtocol
	hasPredecessor := upgrader.takeOver(cfg.Listen)
	if !hasPredecessor {
		if upgrader.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	listener := upgrader.listener
	upgrader.listenAddr = listener.Addr().String()
	if !hasPredecessor {
		upgrader.listenForSuccessor()
	}
	defer listener.Close()
	backgroundTasks := []func(){func() { platformProtocol.Serve(listener) }}
	if hasPredecessor { // the predecessor serves until this process is ready
		limiter.addProcesses(1)
		backgroundTasks = []func(){upgrader.followPredecessor, func() {
			<-readyToServe
			upgrader.reportServingToPredecessor()
			platformProtocol.Serve(listener)
		}}
	}
	if cfg.Mgmt != "" {
		adminListener, err := net.Listen("tcp", cfg.Mgmt)
		if err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
		defer adminListener.Close()
		eventLoop.PublishEvery(cfg.Limits.StatsInterval)
		admin := &mgmt.AdminServer{
			Limits: cfg.Limits.Mgmt, Snapshot: eventLoop.Snapshot, ClassNames: platformProtocol.ClassNames,
			SetDraining: platformProtocol.SetDraining, Post: eventLoop.Post, Log: log, TierSocket: tierSocket,
		}
		log.Info().Str("mgmt", adminListener.Addr().String()).Msg("admin endpoint listening")
		go admin.Serve(adminListener)
	}
	var bgpSpeakerDone sync.WaitGroup // done when the speaker has closed its sessions with its peers
	defer bgpSpeakerDone.Wait()
	defer cancel()

	retryDelay := cfg.Limits.Feed.RetryDelay
	protocolFor := func(string) core.Protocol { return platform.Protocol }
	var initialEvents []core.Event
	if hasPredecessor {
		initialEvents = append(initialEvents, core.Predecessor{Present: true})
	}
	if signalling.Enabled {
		m3uaProtocol, err = m3ua.New(cfg.M3UA(signalling.M3UA), eventLoop, log)
		if err != nil {
			return fmt.Errorf("m3ua.%w", err)
		}
		eventLoop.SetDialer(m3ua.Protocol, m3uaProtocol.Dial)
		protocolFor = func(name string) core.Protocol {
			if m3uaProtocol.HasServer(name) {
				return m3ua.Protocol
			}
			return platform.Protocol
		}
		initialEvents = append(initialEvents, m3uaProtocol.Servers())
		m3uaListener, err := net.Listen("tcp", signalling.M3UA.Listen)
		if err != nil && !hasPredecessor {
			return fmt.Errorf("m3ua.listen: %w", err)
		}
		if err == nil {
			log.Info().Str("m3ua", m3uaListener.Addr().String()).Msg("M3UA endpoint listening")
		}
		if hasPredecessor {
			upgrader.onPredecessorGone = m3uaProtocol.AdoptCircuits
		} else {
			m3uaProtocol.AdoptCircuits()
		}
		backgroundTasks = append(backgroundTasks, func() {
			for errors.Is(err, syscall.EADDRINUSE) { // the predecessor holds the address until it exits
				time.Sleep(retryDelay)
				m3uaListener, err = net.Listen("tcp", signalling.M3UA.Listen)
			}
			if err != nil {
				log.Error().Err(err).Msg("m3ua.listen: no M3UA callers are served")
				return
			}
			defer m3uaListener.Close()
			m3uaProtocol.Serve(m3uaListener)
		})
	}
	if signalling.Enabled && len(signalling.BGP.Peers) > 0 {
		if bgpSpeaker, err = bgp.New(signalling.BGP, cfg.Limits.BGP(), eventLoop.Post, log); err != nil {
			return err
		}
		bgpSpeakerDone.Go(func() { bgpSpeaker.Run(ctx) })
	}
	for _, command := range cfg.InitialCommands {
		serverList, err := command.List(protocolFor, true)
		if err != nil {
			return err
		}
		initialEvents = append(initialEvents, serverList)
	}
	commandFeed := &feed.Feed{Cursor: cfg.Cursor, ProtocolFor: protocolFor, Limits: cfg.Limits.Feed, Post: eventLoop.Post, Log: log}
	commandFeed.Follow(cfg.CommandChannel, nil)
	backgroundTasks = append(backgroundTasks, func() { commandFeed.Run(ctx) })

	reloader := &reloader{cfg: cfg, members: members, membersPath: membersPath, membersPathSet: membersPathSet, inTier: tierSocket != nil, signalling: signalling,
		loop: eventLoop, platform: platformProtocol, m3ua: m3uaProtocol, feed: commandFeed, limiter: limiter, log: log}
	go func() {
		for _, event := range initialEvents {
			eventLoop.Post(event)
		}
		for _, task := range backgroundTasks {
			go task()
		}
		for {
			select {
			case <-reloadSignals:
				reloader.reload()
			case <-stopSignals:
				log.Info().Msg("stopping")
				if !upgrader.requestStop() {
					platformProtocol.MarkStopping()
				}
				eventLoop.Post(core.Stop{})
			}
		}
	}()
	log.Info().Str("listen", listener.Addr().String()).Msg("started")
	eventLoop.Run(ctx)
	upgrader.finishHandOver(reducer)
	platformProtocol.Wait()
	log.Info().Msg("stopped")
	return nil
}

// loadSignalling reads the signalling file. If the default file does not exist, M3UA and BGP stay off.
func loadSignalling() (config.SignallingFile, error) {
	path, pathSet := os.LookupEnv("ELMSEAM_SIGNALLING")
	if !pathSet {
		path = signallingFile
	}
	cfg, err := config.LoadSignalling(path)
	if !pathSet && errors.Is(err, fs.ErrNotExist) {
		return config.SignallingFile{}, nil
	}
	return cfg, err
}
