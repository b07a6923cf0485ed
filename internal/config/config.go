// Package config reads what a softswitch is told at its start, and holds every limit it keeps.
package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/feed"
	"elmseam/internal/handover"
	"elmseam/internal/link"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
	"elmseam/internal/mgmt"
	"elmseam/internal/peers"
	"elmseam/internal/platform"
	"elmseam/internal/probe"
	"elmseam/internal/settings"
)

// Limits are all sizes, counts and times. They are filled by Load, at the start and for each reload, and handed down.
type Limits struct {
	Core       core.Limits
	CallerConn link.Limits // of a caller's connection

	ServerConn link.Limits

	Feed           feed.Limits
	DialTimeout    time.Duration // to connect to a server
	ConfirmTimeout time.Duration // a release not confirmed by then is sent again
	MaxCallers     int           // connections of callers at once
	EventQueue     int           // events that wait for the core
	StatsInterval  time.Duration // between snapshots of the figures
	Mgmt           mgmt.Limits

	HandOver    handover.Limits
	Peers       peers.Limits
	Membership  membership.Limits  // filled by Tier, from the members' file
	Maintenance maintenance.Limits // and so are these
	MemoryLimit int64              // bytes the garbage collector aims to stay under
	GCPercent   int                // per cent that the heap may grow by before that
}

// Config is all that a softswitch is told.
type Config struct {
	Name            string
	Listen          string
	Mgmt            string // where operators call; empty: nowhere
	Seed            uint64
	CommandChannel  string
	Cursor          int64
	InitialCommands []feed.Command
	Settings        elmseam.Settings
	Deployment      settings.Deployment
	Limits          Limits

	PeerListen string   // where datagrams of the tier come
	Peers      []string // its softswitches' addresses, by number

	keys map[string]json.RawMessage // of the file, outermost
}

// file is the form of the configuration file.
type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Mgmt   string `json:"mgmt"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`

	Channel string `json:"channel"`
	Known   struct {
		Cursor int64          `json:"cursor"`
		Cmds   []feed.Command `json:"cmds"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration that the environment names. An error is one line that names the field.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if v := getenv("ROUTER_NAME"); v != "" {
		f.Name = v
	}
	if v := getenv("ROUTER_LISTEN"); v != "" {
		f.Listen = v
	}
	if v := getenv("ROUTER_MGMT"); v != "" {
		f.Mgmt = v
	}
	c, err := build(f)
	if err == nil {
		c.keys = keys
	}
	return c, err
}

// build checks the fields and fills the limits.
func build(f file) (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Mgmt: f.Mgmt, CommandChannel: f.Channel, Cursor: f.Known.Cursor, InitialCommands: f.Known.Cmds,
		PeerListen: f.PeerListen, Peers: f.Peers}
	if c.Name == "" {
		return nil, fmt.Errorf("name: missing")
	}
	for _, a := range []struct{ field, address string }{{"listen", f.Listen}, {"channel", f.Channel}} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return nil, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	if f.Mgmt != "" {
		if _, _, err := net.SplitHostPort(f.Mgmt); err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not hex", f.Seed)
	}
	if f.Limits.MemoryMB <= 0 {
		return nil, fmt.Errorf("limits.memory_mb: %d", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < leastSockets {
		return nil, fmt.Errorf("limits.sockets: %d, %d are needed", f.Limits.Sockets, leastSockets)
	}
	for i, cmd := range c.InitialCommands {
		if _, err := cmd.List(func(string) core.Protocol { return "" }, true); err != nil {
			return nil, fmt.Errorf("known.cmds[%d]: %w", i, err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if err = settings.Validate(f.Settings); err != nil {
		return nil, err
	}
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return nil, err
	}
	if c.Deployment, err = settings.DecodeDeployment(f.Settings); err != nil {
		return nil, err
	}
	if _, err = elmseam.New(c.Settings, c.Seed); err != nil {
		return nil, err
	}
	c.Limits = limits(f, c.Deployment)
	return c, nil
}

// Reload reads the configuration again: it must hold what the earlier one held. The classes of the earlier one keep their places.
func Reload(getenv func(string) string, old *Config) (*Config, error) {
	c, err := Load(getenv)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(old.keys)) { // what the environment says stands in for none
		if v, there := c.keys[key]; !there || string(v) == "null" {
			return nil, fmt.Errorf("%s: missing", key)
		}
	}
	settings.KeepClassIndexes(old.Deployment, &c.Deployment, &c.Settings, old.Settings)
	return c, nil
}

const leastSockets = 32

// scarceSockets is where descriptors begin to be scarce. A few go to the program itself: its streams and pollers, listeners,
// the command channel, a dial that is broken off.
const (
	scarceSockets = 200
	ownSockets    = 14
)

// endedSize is about what it takes to remember a call that is over, in bytes.
const endedSize = 128

// limits fills the one set of limits, from what the platform tells where it does.
func limits(f file, n settings.Deployment) Limits {
	message := 16 << 10
	memory := int64(f.Limits.MemoryMB) << 20
	callers := f.Limits.Sockets / 2       // callers that behave hold a third; a quarter may come to the second front
	if f.Limits.Sockets < scarceSockets { // servers need the rest
		callers = f.Limits.Sockets * 2 / 5
	}
	l := Limits{
		Core: core.Limits{
			AnswerMargin:        15 * time.Millisecond,
			Rebind:              100 * time.Millisecond, // a crossing close shows within 50 ms
			MinRedial:           100 * time.Millisecond,
			MaxRedial:           500 * time.Millisecond,
			ConnsPerServer:      map[core.Protocol]int{platform.Protocol: 2},
			MaxServerConns:      f.Limits.Sockets - callers - ownSockets,
			UnresponsiveAfter:   100 * time.Millisecond, // any answer takes less where the server isn't pressed
			MaxRemovedServers:   16,
			MaxPendingReleases:  1000,
			ServerLostAfter:     5 * time.Second,        // releases are owed 8 s after the end at the latest
			ReportedDrainTTL:    10 * time.Second,       // a list is up to 7 s late
			DrainGrace:          500 * time.Millisecond, // the front asks every 0.1 s and sends new ones for 0.2 s more
			DrainRefuseAfter:    1500 * time.Millisecond,
			DrainCheckInterval:  20 * time.Millisecond,
			DrainIdle:           20 * time.Millisecond,
			Transient:           map[core.Protocol]bool{platform.Protocol: true},
			MaxTransferredCalls: 4000, // they fit into one message
			HandOverGrace:       100 * time.Millisecond,
			StopGrace:           700 * time.Millisecond,
			MaxStopWait:         max(n.MaxWait, 3*time.Second) + 600*time.Millisecond,
			StopLinger:          60 * time.Millisecond, // what crosses a close does so within 50 ms
			MaxCallerConns:      callers - callers/8,   // the rest are on their way in or out
			NewConnGrace:        250 * time.Millisecond,
			MaxOpen:             n.MaxOpenCalls,
			MaxEndedCalls:       int(memory / 8 / endedSize),
			Probe:               probe.Limits{Permitted: n.ProbesEnabled, Rate: 1, Burst: 2, Timeout: 1500 * time.Millisecond},
			MaxRoutes:           10000,
			RetryHint:           max(n.MinAim/4, 50*time.Millisecond), // a redial can still stand in time
			EndedCallTTL:        max(n.MaxWait, 10*time.Second) * 6,
		},
		CallerConn: link.Limits{
			InitialBufferSize: 4 << 10, MaxMessageSize: message, MaxQueuedBytes: 1 << 20,
			WriteTimeout: 5 * time.Second, FlushTimeout: 50 * time.Millisecond,
			MessageTimeout: 2500 * time.Millisecond, IdleTimeout: max(n.MaxWait, 10*time.Second) + 2*time.Second,
			LingerTimeout: 250 * time.Millisecond, MaxLingerBytes: 256 << 10,
		},
		Feed: feed.Limits{
			ConnectTimeout: time.Second, ReadTimeout: 2500 * time.Millisecond, // a comment comes each second
			RenewAfter: 5 * time.Second, // what is told counts as heard after 7 s
			RetryDelay: 100 * time.Millisecond, MaxEventSize: 1 << 20, InitialBufferSize: 4 << 10,
		},
		DialTimeout:    n.ConnectTimeout,
		ConfirmTimeout: 15 * time.Second, // T1 of Q.764 at its least
		MaxCallers:     callers,
		EventQueue:     4096,
		StatsInterval:  50 * time.Millisecond, // they may be 0.5 s old
		Mgmt:           mgmt.Limits{MaxConns: min(16, f.Limits.Sockets/16), MaxRequestSize: 8 << 10, ReadTimeout: 2 * time.Second, WriteTimeout: time.Second, MaxStatsAge: 2 * time.Second, MaxOrders: 16},
		HandOver: handover.Limits{
			HelloTimeout: time.Second, ExitTimeout: 2 * time.Second, WriteTimeout: time.Second, MaxMessageSize: 128 << 10, MaxQueuedBytes: 4 << 20, MaxEndedCalls: 4096,
		},
		Peers:       peers.Limits{Queue: 256, Rate: 400, Retry: 100 * time.Millisecond},
		MemoryLimit: memory * 6 / 10,
		GCPercent:   200,
	}
	// Callers that read nothing and set-ups that stay open hold no more than a quarter of the memory each.
	l.ServerConn = l.CallerConn
	l.ServerConn.LineTimeout, l.ServerConn.MaxSilence = 500*time.Millisecond, 3*time.Second
	l.ServerConn.LingerTimeout = 50 * time.Millisecond // they close at once; a descriptor may be needed
	l.CallerConn.MaxQueuedBytes = min(l.CallerConn.MaxQueuedBytes, max(int(memory/4)/callers, 2*message))
	l.Core.MaxCallBytes = int(memory / 4)
	if l.DialTimeout <= 0 {
		l.DialTimeout = 500 * time.Millisecond
	}
	if l.Core.MaxOpen <= 0 {
		l.Core.MaxOpen = 20000
	}
	return l
}
