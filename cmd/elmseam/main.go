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
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/rs/zerolog"

	"elmseam/internal/bgp"
	"elmseam/internal/config"
	"elmseam/internal/core"
	"elmseam/internal/feed"
	"elmseam/internal/loop"
	"elmseam/internal/m3ua"
	"elmseam/internal/platform"
)

// signallingFile tells of the second front where ELMSEAM_SIGNALLING names no other file.
const signallingFile = "deploy/m3ua.toml"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "elmseam:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	sig, err := signalling()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(cfg.Limits.Memory)
	debug.SetGCPercent(cfg.Limits.GC)
	log := zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Str("node", cfg.Name).Logger()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	c, err := core.New(cfg.Settings, cfg.Seed, cfg.Limits.Core)
	if err != nil {
		return err
	}
	var second *m3ua.M3UA
	var speaker *bgp.Speaker
	l := loop.New(c, cfg.Limits.Inbox, func(e core.Effect) {
		switch e := e.(type) {
		case core.Serving:
			if second != nil {
				second.Serving(e.Yes)
			}
			if speaker != nil {
				speaker.Serving(e.Yes)
			}
		case core.Dropped:
			if second != nil && e.Front == m3ua.Front {
				second.Dropped(e.ID)
			}
		}
	}, log)

	first := platform.New(platform.Config{
		Classes: cfg.Node.Classes, Columns: cfg.Node.Columns, Link: cfg.Limits.Link, ServerLink: cfg.Limits.ServerLink,
		Dial: cfg.Limits.Dial, Callers: cfg.Limits.Callers,
	}, l, log)
	l.Dialer(platform.Front, first.Dial)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()
	serve := []func(){func() { first.Serve(listener) }}
	var speaking sync.WaitGroup // the speaker takes leave of its peers
	defer speaking.Wait()
	defer cancel()

	fronts := func(string) core.Front { return platform.Front }
	var known []core.Event
	if sig.Enabled {
		second, err = m3ua.New(m3ua.Config{
			File: sig.M3UA, Classes: cfg.Node.Classes, Waits: cfg.Node.Waits, Report: cfg.Settings.Report,
			Link: cfg.Limits.Link, ServerLink: cfg.Limits.ServerLink, Dial: cfg.Limits.Dial,
			Callers: cfg.Limits.Callers / 2,
		}, l, log)
		if err != nil {
			return fmt.Errorf("m3ua.%w", err)
		}
		l.Dialer(m3ua.Front, second.Dial)
		fronts = func(name string) core.Front {
			if second.Reaches(name) {
				return m3ua.Front
			}
			return platform.Front
		}
		known = append(known, second.Servers())
		ml, err := net.Listen("tcp", sig.M3UA.Listen)
		if err != nil {
			return fmt.Errorf("m3ua.listen: %w", err)
		}
		defer ml.Close()
		log.Info().Str("m3ua", ml.Addr().String()).Msg("second front")
		serve = append(serve, func() { second.Serve(ml) })
	}
	if sig.Enabled && len(sig.BGP.Peers) > 0 {
		if speaker, err = bgp.New(sig.BGP, cfg.Limits.BGP(), l.Post, log); err != nil {
			return err
		}
		speaking.Go(func() { speaker.Run(ctx) })
	}
	for i, cmd := range cfg.Known {
		list, err := cmd.List(fronts, true)
		if err != nil {
			return fmt.Errorf("known.cmds[%d]: %w", i, err)
		}
		known = append(known, list)
	}
	follow := &feed.Feed{
		Address: cfg.Channel, Cursor: cfg.Cursor, Front: fronts, Limits: cfg.Limits.Feed, Post: l.Post, Log: log,
	}
	serve = append(serve, func() { follow.Run(ctx) })

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for _, ev := range known {
			l.Post(ev)
		}
		for _, s := range serve {
			go s()
		}
		<-signals
		log.Info().Msg("stopping")
		first.Stop()
		l.Post(core.Stop{})
	}()
	log.Info().Str("listen", listener.Addr().String()).Msg("started")
	l.Run(ctx)
	log.Info().Msg("stopped")
	return nil
}

// signalling reads the file of the second front. Without one there is only the first.
func signalling() (config.Signalling, error) {
	path, named := os.LookupEnv("ELMSEAM_SIGNALLING")
	if !named {
		path = signallingFile
	}
	s, err := config.LoadSignalling(path)
	if !named && errors.Is(err, fs.ErrNotExist) {
		return config.Signalling{}, nil
	}
	return s, err
}
