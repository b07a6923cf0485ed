// Command elmseam is one softswitch. The environment tells it where to listen and what it must know.
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
	"elmseam/internal/link"
	"elmseam/internal/loop"
	"elmseam/internal/m3ua"
	"elmseam/internal/maintenance"
	"elmseam/internal/mgmt"
	"elmseam/internal/peers"
	"elmseam/internal/platform"
)

// signallingFile tells of the second front where ELMSEAM_SIGNALLING names no other file.
const signallingFile = "deploy/m3ua.toml"

// membersFile tells of the tier's membership where ELMSEAM_MEMBERS names no other file.
const membersFile = "deploy/members.toml"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "elmseam:", err)
		os.Exit(1)
	}
}

func run() error {
	// From the first instant on: a signal that nobody asked for ends a program.
	// Each kind has room of its own: however often one comes, none of the other is missed.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	sig, err := signalling()
	if err != nil {
		return err
	}
	path, named := os.LookupEnv("ELMSEAM_MEMBERS")
	if !named {
		path = membersFile
	}
	members, err := config.LoadMembers(path, named)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Str("node", cfg.Name).Logger()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory := &memory{}
	memory.configure(cfg.Limits)

	c, err := core.New(cfg.Settings, cfg.Seed, cfg.Limits.Core)
	if err != nil {
		return err
	}
	var second *m3ua.M3UA
	var speaker *bgp.Speaker
	up := &upgrade{path: handover.SocketPath(os.Getenv("TMPDIR"), cfg.Name), limits: cfg.Limits.HandOver, memory: memory, log: log, loud: link.SampledLogger(log)}
	able := make(chan struct{})
	var tier *peers.Socket
	var front atomic.Pointer[platform.Platform] // before anything is posted
	sparse := link.SampledLogger(log)
	l := loop.New(c, cfg.Limits.EventQueue, func(e core.Effect) {
		switch e := e.(type) {
		case core.Serving:
			if second != nil {
				second.SetServing(e.On)
			}
			if speaker != nil {
				speaker.SetServing(e.On)
			}
		case core.ReadyToServe:
			close(able)
		case core.CloseListener:
			up.closeListener()
		case core.SendToMember:
			tier.Send(e)
		case core.MemberChanged:
			sparse.Info().Int("member", e.Member).Stringer("was", e.Old).Stringer("is", e.New).Uint64("incarnation", e.Incarnation).Msg("membership changed")
		case core.DrainChanged:
			front.Load().SetDraining(e.On)
		case core.MaintenanceProgress:
			sparse.Info().Int("member", e.Member).Stringer("stage", e.Record.Stage).Uint64("epoch", e.Record.Epoch).Msg("maintenance")
		case core.ToPredecessor:
			up.toPredecessor(e)
		case core.ToSuccessor:
			up.tell(e.Protocol, 0, e.Effect)
		case core.ForgetCall:
			if second != nil && e.Protocol != platform.Protocol {
				second.FreeCircuit(e.ID)
			}
		}
	}, log)

	if members.Enabled {
		sock, join, permitted, err := cfg.TierConfig(members)
		if err != nil {
			return err
		}
		if !permitted {
			log.Warn().Msg("membership is off: the settings permit no peer messages")
		} else if tier, err = peers.New(sock, l.Post, log); err != nil {
			return err
		} else {
			var carried sync.WaitGroup
			with, end := context.WithCancel(context.Background())
			defer carried.Wait() // the others are told that this one goes
			defer end()
			carried.Go(func() { tier.Run(with, join...) })
		}
	}

	first := platform.New(cfg.Platform(), l, log)
	front.Store(first)
	l.SetDialer(platform.Protocol, first.Dial)
	up.loop, up.front = l, first
	preceded := up.take(cfg.Listen)
	if !preceded {
		if up.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	listener := up.listener
	up.listen = listener.Addr().String()
	if !preceded {
		up.wait()
	}
	defer listener.Close()
	serve := []func(){func() { first.Serve(listener) }}
	if preceded { // the predecessor serves until this process can
		memory.share(1)
		serve = []func(){up.follow, func() {
			<-able
			up.serving()
			first.Serve(listener)
		}}
	}
	if cfg.Mgmt != "" {
		door, err := net.Listen("tcp", cfg.Mgmt)
		if err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
		defer door.Close()
		l.PublishEvery(cfg.Limits.StatsInterval)
		ops := &mgmt.AdminServer{
			Limits: cfg.Limits.Mgmt, Snapshot: l.Snapshot, ClassNames: first.Classes,
			SetDraining: first.SetDraining, Post: l.Post, Log: log, Peers: tier,
		}
		log.Info().Str("mgmt", door.Addr().String()).Msg("door for operators")
		go ops.Serve(door)
	}
	var speaking sync.WaitGroup // the speaker takes leave of its peers
	defer speaking.Wait()
	defer cancel()

	retry := cfg.Limits.Feed.RetryDelay
	fronts := func(string) core.Protocol { return platform.Protocol }
	var known []core.Event
	if preceded {
		known = append(known, core.Predecessor{Present: true})
	}
	if sig.Enabled {
		second, err = m3ua.New(cfg.M3UA(sig.M3UA), l, log)
		if err != nil {
			return fmt.Errorf("m3ua.%w", err)
		}
		l.SetDialer(m3ua.Protocol, second.Dial)
		fronts = func(name string) core.Protocol {
			if second.HasServer(name) {
				return m3ua.Protocol
			}
			return platform.Protocol
		}
		known = append(known, second.Servers())
		ml, err := net.Listen("tcp", sig.M3UA.Listen)
		if err != nil && !preceded {
			return fmt.Errorf("m3ua.listen: %w", err)
		}
		if err == nil {
			log.Info().Str("m3ua", ml.Addr().String()).Msg("second front")
		}
		serve = append(serve, func() {
			for err != nil { // until the predecessor has gone
				time.Sleep(retry)
				ml, err = net.Listen("tcp", sig.M3UA.Listen)
			}
			defer ml.Close()
			second.Serve(ml)
		})
	}
	if sig.Enabled && len(sig.BGP.Peers) > 0 {
		if speaker, err = bgp.New(sig.BGP, cfg.Limits.BGP(), l.Post, log); err != nil {
			return err
		}
		speaking.Go(func() { speaker.Run(ctx) })
	}
	for _, cmd := range cfg.InitialCommands {
		list, err := cmd.List(fronts, true)
		if err != nil {
			return err
		}
		known = append(known, list)
	}
	follow := &feed.Feed{Cursor: cfg.Cursor, ProtocolFor: fronts, Limits: cfg.Limits.Feed, Post: l.Post, Log: log}
	follow.Follow(cfg.CommandChannel, nil)
	serve = append(serve, func() { follow.Run(ctx) })

	// reload takes in the configuration as it stands in its file now. With one that makes no sense nothing changes.
	reload := func() {
		next, err := config.Reload(os.Getenv, cfg)
		if err != nil {
			log.Error().Err(err).Msg("configuration not taken over")
			l.Post(core.Misconfigured{})
			return
		}
		if next.Listen != cfg.Listen || next.Name != cfg.Name || next.Mgmt != cfg.Mgmt {
			log.Warn().Str("name", next.Name).Str("listen", next.Listen).Str("mgmt", next.Mgmt).Msg("name, listen and mgmt change at a restart only")
		}
		cfg = next
		memory.configure(cfg.Limits)
		first.Configure(cfg.Platform())
		if second != nil { // before the core knows of new classes
			second.Configure(cfg.M3UA(sig.M3UA))
		}
		l.Post(core.Configured{Settings: cfg.Settings, Limits: cfg.Limits.Core})
		if again, err := config.LoadMembers(path, named); err != nil {
			log.Error().Err(err).Msg("members' file not taken over")
		} else if tier != nil && again.Maintenance.Enabled {
			l.Post(core.MaintenanceRequest{Event: maintenance.SetBudget{Budget: again.MaintenanceBudget(len(cfg.Peers))}})
		}
		follow.Follow(cfg.CommandChannel, cfg.InitialCommands)
		log.Info().Str("channel", cfg.CommandChannel).Msg("configuration taken over")
	}
	go func() {
		for _, ev := range known {
			l.Post(ev)
		}
		for _, s := range serve {
			go s()
		}
		for {
			select {
			case <-reloads:
				reload()
			case <-stops:
				log.Info().Msg("stopping")
				if !up.stop() {
					first.MarkStopping()
				}
				l.Post(core.Stop{})
			}
		}
	}()
	log.Info().Str("listen", listener.Addr().String()).Msg("started")
	l.Run(ctx)
	up.leave(c)
	first.Wait()
	log.Info().Msg("stopped")
	return nil
}

// signalling reads the file of the second front. Without one there is only the first.
func signalling() (config.SignallingFile, error) {
	path, named := os.LookupEnv("ELMSEAM_SIGNALLING")
	if !named {
		path = signallingFile
	}
	s, err := config.LoadSignalling(path)
	if !named && errors.Is(err, fs.ErrNotExist) {
		return config.SignallingFile{}, nil
	}
	return s, err
}
