// Command elmseam is one softswitch. The environment tells it where to listen and what it must know.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"elmseam/internal/config"
	"elmseam/internal/core"
	"elmseam/internal/feed"
	"elmseam/internal/loop"
	"elmseam/internal/platform"
)

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
	debug.SetMemoryLimit(cfg.Limits.Memory)
	log := zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Str("node", cfg.Name).Logger()

	c, err := core.New(cfg.Settings, cfg.Seed, cfg.Limits.Core)
	if err != nil {
		return err
	}
	l := loop.New(c, cfg.Limits.Inbox, func(bool) {}, log)
	front := platform.New(platform.Config{
		Classes: cfg.Node.Classes, Columns: cfg.Node.Columns, Link: cfg.Limits.Link,
		Dial: cfg.Limits.Dial, Callers: cfg.Limits.Callers,
	}, l, log)
	l.Dialer(platform.Front, front.Dial)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var known []core.Event
	for i, cmd := range cfg.Known {
		list, err := cmd.List(platform.Front, true)
		if err != nil {
			return fmt.Errorf("known.cmds[%d]: %w", i, err)
		}
		known = append(known, list)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for _, ev := range known {
			l.Post(ev)
		}
		go front.Serve(listener)
		f := &feed.Feed{
			Address: cfg.Channel, Cursor: cfg.Cursor, Front: platform.Front, Limits: cfg.Limits.Feed,
			Post: l.Post, Log: log,
		}
		go f.Run(ctx)
		<-signals
		log.Info().Msg("stopping")
		front.Stop()
		l.Post(core.Stop{})
	}()
	log.Info().Str("listen", cfg.Listen).Msg("started")
	l.Run(ctx)
	log.Info().Msg("stopped")
	return nil
}
