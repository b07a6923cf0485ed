package config

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"elmseam/internal/bgp"
	"elmseam/internal/m3ua"
	"elmseam/internal/platform"
)

// Signalling is the file that tells of the second front. The platform knows nothing of it.
type Signalling struct {
	Enabled bool       `toml:"enabled"`
	M3UA    m3ua.File  `toml:"m3ua"`
	BGP     bgp.Config `toml:"bgp"`
}

// LoadSignalling reads the file. An error is one line that names the field.
func LoadSignalling(path string) (s Signalling, err error) {
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
		Node: c.Node, Link: c.Limits.Link, ServerLink: c.Limits.ServerLink, Dial: c.Limits.Dial, Callers: c.Limits.Callers,
	}
}

// M3UA is what the second front is told beside its file.
func (c *Config) M3UA(file m3ua.File) m3ua.Config {
	return m3ua.Config{
		File: file, Node: c.Node, Link: c.Limits.Link, ServerLink: c.Limits.ServerLink,
		Dial: c.Limits.Dial, Callers: c.Limits.Callers / 4, Confirm: c.Limits.Confirm,
	}
}

// BGP are the limits of the BGP speaker.
func (l Limits) BGP() bgp.Limits {
	return bgp.Limits{
		Connect: l.Feed.Connect, RetryLeast: 250 * time.Millisecond, RetryMost: 30 * time.Second,
		Routes: l.Core.Routes, Link: l.Link,
	}
}
