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

	topLevelKeys map[string]json.RawMessage // of the file, outermost
}

// file is the form of the configuration file.
type configFile struct {
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
	Initial struct {
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
	var parsed configFile
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if value := getenv("ROUTER_NAME"); value != "" {
		parsed.Name = value
	}
	if value := getenv("ROUTER_LISTEN"); value != "" {
		parsed.Listen = value
	}
	if value := getenv("ROUTER_MGMT"); value != "" {
		parsed.Mgmt = value
	}
	cfg, err := build(parsed)
	if err == nil {
		cfg.topLevelKeys = keys
	}
	return cfg, err
}

// build checks the fields and fills the limits.
func build(parsed configFile) (*Config, error) {
	cfg := &Config{Name: parsed.Name, Listen: parsed.Listen, Mgmt: parsed.Mgmt, CommandChannel: parsed.Channel, Cursor: parsed.Initial.Cursor, InitialCommands: parsed.Initial.Cmds,
		PeerListen: parsed.PeerListen, Peers: parsed.Peers}
	if cfg.Name == "" {
		return nil, fmt.Errorf("name: missing")
	}
	for _, entry := range []struct{ field, address string }{{"listen", parsed.Listen}, {"channel", parsed.Channel}} {
		if _, _, err := net.SplitHostPort(entry.address); err != nil {
			return nil, fmt.Errorf("%s: %w", entry.field, err)
		}
	}
	if parsed.Mgmt != "" {
		if _, _, err := net.SplitHostPort(parsed.Mgmt); err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
	}
	var err error
	if cfg.Seed, err = strconv.ParseUint(parsed.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not hex", parsed.Seed)
	}
	if parsed.Limits.MemoryMB <= 0 {
		return nil, fmt.Errorf("limits.memory_mb: %d", parsed.Limits.MemoryMB)
	}
	if parsed.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d, %d are needed", parsed.Limits.Sockets, minSockets)
	}
	for i, cmd := range cfg.InitialCommands {
		if _, err := cmd.List(func(string) core.Protocol { return "" }, true); err != nil {
			return nil, fmt.Errorf("known.cmds[%d]: %w", i, err)
		}
	}
	if len(parsed.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if err = settings.Validate(parsed.Settings); err != nil {
		return nil, err
	}
	if cfg.Settings, err = settings.Decode(parsed.Settings); err != nil {
		return nil, err
	}
	if cfg.Deployment, err = settings.DecodeDeployment(parsed.Settings); err != nil {
		return nil, err
	}
	if _, err = elmseam.New(cfg.Settings, cfg.Seed); err != nil {
		return nil, err
	}
	cfg.Limits = buildLimits(parsed, cfg.Deployment)
	return cfg, nil
}

// Reload reads the configuration again: it must hold what the earlier one held. The classes of the earlier one keep their places.
func Reload(getenv func(string) string, old *Config) (*Config, error) {
	cfg, err := Load(getenv)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(old.topLevelKeys)) { // what the environment says stands in for none
		if value, found := cfg.topLevelKeys[key]; !found || string(value) == "null" {
			return nil, fmt.Errorf("%s: missing", key)
		}
	}
	settings.KeepClassIndexes(old.Deployment, &cfg.Deployment, &cfg.Settings, old.Settings)
	return cfg, nil
}

const minSockets = 32

// scarceSockets is where descriptors begin to be scarce. A few go to the program itself: its streams and pollers, listeners,
// the command channel, a dial that is broken off.
const (
	scarceSocketsBelow = 200
	reservedSockets    = 14
)

// endedSize is about what it takes to remember a call that is over, in bytes.
const endedCallBytes = 128

// limits fills the one set of limits, from what the platform tells where it does.
func buildLimits(parsed configFile, deployment settings.Deployment) Limits {
	maxMessageSize := 16 << 10
	memoryBytes := int64(parsed.Limits.MemoryMB) << 20
	maxCallers := parsed.Limits.Sockets / 2         // callers that behave hold a third; a quarter may come to the second front
	if parsed.Limits.Sockets < scarceSocketsBelow { // servers need the rest
		maxCallers = parsed.Limits.Sockets * 2 / 5
	}
	all := Limits{
		Core: core.Limits{
			AnswerMargin:        15 * time.Millisecond,
			Rebind:              100 * time.Millisecond, // a crossing close shows within 50 ms
			MinRedial:           100 * time.Millisecond,
			MaxRedial:           500 * time.Millisecond,
			ConnsPerServer:      map[core.Protocol]int{platform.Protocol: 2},
			MaxServerConns:      parsed.Limits.Sockets - maxCallers - reservedSockets,
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
			MaxStopWait:         max(deployment.MaxWait, 3*time.Second) + 600*time.Millisecond,
			StopLinger:          60 * time.Millisecond,     // what crosses a close does so within 50 ms
			MaxCallerConns:      maxCallers - maxCallers/8, // the rest are on their way in or out
			NewConnGrace:        250 * time.Millisecond,
			MaxOpen:             deployment.MaxOpenCalls,
			MaxEndedCalls:       int(memoryBytes / 8 / endedCallBytes),
			Probe:               probe.Limits{Permitted: deployment.ProbesEnabled, Rate: 1, Burst: 2, Timeout: 1500 * time.Millisecond},
			MaxRoutes:           10000,
			RetryHint:           max(deployment.MinAim/4, 50*time.Millisecond), // a redial can still stand in time
			EndedCallTTL:        max(deployment.MaxWait, 10*time.Second) * 6,
		},
		CallerConn: link.Limits{
			InitialBufferSize: 4 << 10, MaxMessageSize: maxMessageSize, MaxQueuedBytes: 1 << 20,
			WriteTimeout: 5 * time.Second, FlushTimeout: 50 * time.Millisecond,
			MessageTimeout: 2500 * time.Millisecond, IdleTimeout: max(deployment.MaxWait, 10*time.Second) + 2*time.Second,
			LingerTimeout: 250 * time.Millisecond, MaxLingerBytes: 256 << 10,
		},
		Feed: feed.Limits{
			ConnectTimeout: time.Second, ReadTimeout: 2500 * time.Millisecond, // a comment comes each second
			RenewAfter: 5 * time.Second, // what is told counts as heard after 7 s
			RetryDelay: 100 * time.Millisecond, MaxEventSize: 1 << 20, InitialBufferSize: 4 << 10,
		},
		DialTimeout:    deployment.ConnectTimeout,
		ConfirmTimeout: 15 * time.Second, // T1 of Q.764 at its least
		MaxCallers:     maxCallers,
		EventQueue:     4096,
		StatsInterval:  50 * time.Millisecond, // they may be 0.5 s old
		Mgmt:           mgmt.Limits{MaxConns: min(16, parsed.Limits.Sockets/16), MaxRequestSize: 8 << 10, ReadTimeout: 2 * time.Second, WriteTimeout: time.Second, MaxStatsAge: 2 * time.Second, MaxOrders: 16},
		HandOver: handover.Limits{
			HelloTimeout: time.Second, ExitTimeout: 2 * time.Second, WriteTimeout: time.Second, MaxMessageSize: 128 << 10, MaxQueuedBytes: 4 << 20, MaxEndedCalls: 4096,
		},
		Peers:       peers.Limits{Queue: 256, Rate: 400, Retry: 100 * time.Millisecond},
		MemoryLimit: memoryBytes * 6 / 10,
		GCPercent:   200,
	}
	// Callers that read nothing and set-ups that stay open hold no more than a quarter of the memory each.
	all.ServerConn = all.CallerConn
	all.ServerConn.LineTimeout, all.ServerConn.MaxSilence = 500*time.Millisecond, 3*time.Second
	all.ServerConn.LingerTimeout = 50 * time.Millisecond // they close at once; a descriptor may be needed
	all.CallerConn.MaxQueuedBytes = min(all.CallerConn.MaxQueuedBytes, max(int(memoryBytes/4)/maxCallers, 2*maxMessageSize))
	all.Core.MaxCallBytes = int(memoryBytes / 4)
	if all.DialTimeout <= 0 {
		all.DialTimeout = 500 * time.Millisecond
	}
	if all.Core.MaxOpen <= 0 {
		all.Core.MaxOpen = 20000
	}
	return all
}
