package config

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"elmseam/internal/bgp"
	"elmseam/internal/m3ua"
	"elmseam/internal/platform"
)

// SignallingFile is the signalling file (deploy/m3ua.toml), which configures the M3UA protocol and its BGP
// announcements. The platform doesn't know this file.
type SignallingFile struct {
	Enabled bool            `toml:"enabled"`
	M3UA    m3ua.FileConfig `toml:"m3ua"`
	BGP     bgp.Config      `toml:"bgp"`
}

// LoadSignalling reads the signalling file. It checks the [m3ua] table if the file is enabled; bgp.New checks the [bgp]
// table. The text of an error is one line that names the path and, for an invalid file, the field.
func LoadSignalling(path string) (file SignallingFile, err error) {
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return file, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return file, fmt.Errorf("%s: %s: unknown field", path, unknown[0])
	}
	if file.Enabled {
		if err := file.M3UA.Check(); err != nil {
			return file, fmt.Errorf("%s: m3ua.%w", path, err)
		}
	}
	return file, nil
}

// Platform returns the configuration of the platform protocol.
func (c *Config) Platform() platform.Config {
	return platform.Config{
		Deployment: c.Deployment, CallerConn: c.Limits.CallerConn, ServerConn: c.Limits.ServerConn,
		ConnectTimeout: c.Limits.ConnectTimeout, MaxCallerConns: c.Limits.MaxCallerConns, CallerQueues: c.callerQueues, ServerQueues: c.serverQueues,
	}
}

// M3UA returns the configuration of the M3UA protocol: the [m3ua] table of the signalling file, the deployment's settings
// and the limits.
func (c *Config) M3UA(file m3ua.FileConfig) m3ua.Config {
	return m3ua.Config{
		FileConfig: file, Deployment: c.Deployment, CallerConn: c.Limits.CallerConn, ServerConn: c.Limits.ServerConn,
		ConnectTimeout: c.Limits.ConnectTimeout, MaxCallerConns: c.Limits.MaxM3UACallers, ConfirmTimeout: c.Limits.ConfirmTimeout,
		CallerQueues: c.callerQueues, ServerQueues: c.serverQueues, Name: c.Name,
	}
}

// BGP returns the limits of the BGP speaker.
func (l Limits) BGP() bgp.Limits {
	return bgp.Limits{
		ConnectTimeout: l.Feed.ConnectTimeout, MinRetryDelay: 250 * time.Millisecond, MaxRetryDelay: 30 * time.Second,
		MaxRoutes: l.Core.MaxRoutes, Conn: l.CallerConn,
	}
}
