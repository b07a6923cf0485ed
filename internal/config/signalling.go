package config

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"elmseam/internal/bgp"
	"elmseam/internal/m3ua"
	"elmseam/internal/platform"
)

// SignallingFile is the file that tells of the second front. The platform knows nothing of it.
type SignallingFile struct {
	Enabled bool            `toml:"enabled"`
	M3UA    m3ua.FileConfig `toml:"m3ua"`
	BGP     bgp.Config      `toml:"bgp"`
}

// LoadSignalling reads the file. An error is one line that names the field.
func LoadSignalling(path string) (s SignallingFile, err error) {
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, fmt.Errorf("%s: %s: unknown field", path, unknown[0])
	}
	if s.Enabled {
		if err := s.M3UA.Check(); err != nil {
			return s, fmt.Errorf("%s: m3ua.%w", path, err)
		}
	}
	return s, nil
}

// Platform is what the platform's front is told.
func (c *Config) Platform() platform.Config {
	return platform.Config{
		Deployment: c.Deployment, CallerConn: c.Limits.CallerConn, ServerConn: c.Limits.ServerConn, DialTimeout: c.Limits.DialTimeout, MaxCallers: c.Limits.MaxCallers,
	}
}

// M3UA is what the second front is told beside its file.
func (c *Config) M3UA(file m3ua.FileConfig) m3ua.Config {
	return m3ua.Config{
		FileConfig: file, Deployment: c.Deployment, CallerConn: c.Limits.CallerConn, ServerConn: c.Limits.ServerConn,
		DialTimeout: c.Limits.DialTimeout, MaxCallers: c.Limits.MaxCallers / 4, ConfirmTimeout: c.Limits.ConfirmTimeout,
	}
}

// BGP are the limits of the BGP speaker.
func (l Limits) BGP() bgp.Limits {
	return bgp.Limits{
		ConnectTimeout: l.Feed.ConnectTimeout, RetryMin: 250 * time.Millisecond, RetryMax: 30 * time.Second,
		MaxRoutes: l.Core.MaxRoutes, Conn: l.CallerConn,
	}
}
