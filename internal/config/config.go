// Package config reads a softswitch's configuration file, environment variables and TOML files, and fixes its sizes,
// counts and times.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/feed"
	"elmseam/internal/m3ua"
	"elmseam/internal/settings"
	"elmseam/internal/transport"
)

// Config is the complete configuration of a softswitch.
type Config struct {
	Name            string              // name of this softswitch
	Listen          string              // host:port that callers connect to
	Mgmt            string              // host:port of the admin endpoint; empty: no admin endpoint
	Seed            uint64              // seed of the random decisions
	CommandChannel  string              // host:port of the command channel
	Cursor          int64               // position in the command channel after InitialCommands
	InitialCommands []feed.Command      // commands of the channel that the file already contains
	Settings        elmseam.Settings    // settings of the decision module
	Deployment      settings.Deployment // settings that the decision module does not use, or not in this form
	Limits          Limits

	PeerListen string   // host:port on which the tier's datagrams arrive
	Peers      []string // addresses of the tier's softswitches, by index

	callerQueues *transport.Budget // memory of what is queued for callers, for all fronts
	serverQueues *transport.Budget // memory of what is queued for servers, for all fronts

	sockets               int  // file descriptors that the process may hold
	socketsSharedWithM3UA bool // ShareSocketsWithM3UA was called
	document              any  // the configuration file as it was read, without the environment's values
}

// configFile is the JSON form of the configuration file.
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

// Load reads the configuration file that the environment variable ROUTER_CONFIG names; ROUTER_NAME, ROUTER_LISTEN and
// ROUTER_MGMT, if not empty, override its fields. The text of an error is one line that names the field or the variable.
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
	var document any
	if err := json.Unmarshal(text, &document); err != nil {
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
	cfg, err := buildConfig(parsed)
	if err == nil {
		cfg.document = document
	}
	return cfg, err
}

// buildConfig checks the fields of a configuration file and derives the limits from them.
func buildConfig(parsed configFile) (*Config, error) {
	cfg := &Config{Name: parsed.Name, Listen: parsed.Listen, Mgmt: parsed.Mgmt, CommandChannel: parsed.Channel,
		Cursor: parsed.Initial.Cursor, InitialCommands: parsed.Initial.Cmds,
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
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number", parsed.Seed)
	}
	if parsed.Limits.MemoryMB <= 0 {
		return nil, fmt.Errorf("limits.memory_mb: %d is not positive", parsed.Limits.MemoryMB)
	}
	if parsed.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d is too few, at least %d are needed", parsed.Limits.Sockets, minSockets)
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
	cfg.sockets = parsed.Limits.Sockets
	cfg.Limits = buildLimits(parsed, cfg.Deployment)
	cfg.callerQueues, cfg.serverQueues = transport.NewBudget(cfg.Limits.CallerQueueBytes), transport.NewBudget(cfg.Limits.ServerQueueBytes)
	return cfg, nil
}

// ShareSocketsWithM3UA sets a part of the file descriptors aside for M3UA callers. Reload keeps it so.
func (c *Config) ShareSocketsWithM3UA() {
	shares := divideSockets(c.sockets, true)
	c.socketsSharedWithM3UA = true
	c.Limits.Core.Transient[m3ua.Protocol] = false
	c.Limits.MaxM3UACallers, c.Limits.Core.MaxServerConns = shares.m3uaCallers, shares.servers
}

// ApplyQueueLimits has the queues of open connections keep to the limits of this configuration.
func (c *Config) ApplyQueueLimits() {
	c.callerQueues.SetMax(c.Limits.CallerQueueBytes)
	c.serverQueues.SetMax(c.Limits.ServerQueueBytes)
}

// Reload reads the configuration again. The new file must contain every part of the running one: see checkComplete. The classes of the old
// configuration keep their indexes.
func Reload(getenv func(string) string, old *Config) (*Config, error) {
	cfg, err := Load(getenv)
	if err != nil {
		return nil, err
	}
	if err := checkComplete("", old.document, cfg.document); err != nil {
		return nil, err
	}
	if err := settings.CheckCellsKept(old.Deployment, cfg.Deployment); err != nil {
		return nil, err
	}
	if old.socketsSharedWithM3UA {
		cfg.ShareSocketsWithM3UA()
	}
	cfg.callerQueues, cfg.serverQueues = old.callerQueues, old.serverQueues // open connections count there
	settings.KeepClassIndexes(old.Deployment, &cfg.Deployment, &cfg.Settings, old.Settings)
	return cfg, nil
}
