package config

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"elmseam/internal/bgp"
	"elmseam/internal/m3ua"
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

// BGP are the limits of the BGP speaker.
func (l Limits) BGP() bgp.Limits {
	return bgp.Limits{
		Connect: l.Feed.Connect, RetryLeast: 250 * time.Millisecond, RetryMost: 30 * time.Second,
		Routes: 10000, Link: l.Link,
	}
}
