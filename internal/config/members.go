package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	budgets "elmseam/internal/budget"
	"elmseam/internal/core"
	"elmseam/internal/knowledge"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
	"elmseam/internal/peers"
)

// Members is the file that tells whether this softswitch takes part in its tier's membership, and how. What it leaves
// out is membership.Defaults.
type Members struct {
	Enabled      bool     `toml:"enabled"`
	Period       duration `toml:"period"`
	Timeout      duration `toml:"timeout"`
	Indirect     int      `toml:"indirect"`
	SuspicionMin float64  `toml:"suspicion_min"`
	SuspicionMax float64  `toml:"suspicion_max"`
	Confirm      int      `toml:"confirm"`
	Retransmit   int      `toml:"retransmit"`
	Health       int      `toml:"health"`
	Stall        duration `toml:"stall"`
	Reclaim      int      `toml:"reclaim"`

	Maintenance Maintenance `toml:"maintenance"`
	Parts       Parts       `toml:"parts"`
	Knowledge   Knowledge   `toml:"knowledge"`
}

// Knowledge is the part of the file that tells whether this softswitch shares what it has seen of the servers with its tier.
// What it leaves out is knowledge.Defaults.
type Knowledge struct {
	Enabled  bool     `toml:"enabled"`
	HalfLife duration `toml:"half_life"`
	Lasting  duration `toml:"lasting"`
	Forget   duration `toml:"forget"`
	Ask      int      `toml:"ask"`
}

func (k Knowledge) limits() knowledge.Limits {
	l := knowledge.Defaults()
	l.HalfLife, l.Lasting, l.Forget, l.Ask = k.HalfLife.Duration, k.Lasting.Duration, k.Forget.Duration, k.Ask
	return l
}

// Parts is the part of the file that tells whether parts of a just-started server's budget move between softswitches. What
// it leaves out is budget.Defaults.
type Parts struct {
	Enabled bool     `toml:"enabled"`
	Lease   duration `toml:"lease"`
	Drift   float64  `toml:"drift"`
	Members int      `toml:"members"`
}

func (p Parts) limits() budgets.Limits {
	l := budgets.Defaults()
	l.Lease, l.Drift, l.Members = p.Lease.Duration, p.Drift, p.Members
	return l
}

// Maintenance is the part of the file that tells whether this softswitch takes part in its tier's ordered maintenance. What
// it leaves out is maintenance.Defaults.
type Maintenance struct {
	Enabled bool     `toml:"enabled"`
	Budget  budget   `toml:"budget"`
	Lease   duration `toml:"lease"`
	Work    duration `toml:"work"`
	Round   duration `toml:"round"`
	Drift   float64  `toml:"drift"`
}

// budget is a count, or a share of the tier: 2 or "20%".
type budget struct {
	Count int
	Share float64
}

// UnmarshalTOML reads a number or a text.
func (b *budget) UnmarshalTOML(v any) error {
	*b = budget{}
	switch v := v.(type) {
	case int64:
		b.Count = int(min(max(v, -1), maintenance.Slots+1))
		return nil
	case string:
		if share, ok := strings.CutSuffix(v, "%"); ok {
			if s, err := strconv.ParseFloat(share, 64); err == nil && s > 0 && s <= 100 {
				b.Share = s / 100
				return nil
			}
		}
	}
	return fmt.Errorf("maintenance.budget: %v is neither a number nor a share such as \"20%%\"", v)
}

// of is the budget of a tier: at least one.
func (b budget) of(tier int) int {
	if b.Share > 0 {
		return min(max(int(b.Share*float64(tier)), 1), maintenance.Slots)
	}
	return b.Count
}

func (m Maintenance) limits(tier int) maintenance.Limits {
	l := maintenance.Defaults()
	l.Budget, l.Lease, l.Work = m.Budget.of(tier), m.Lease.Duration, m.Work.Duration
	l.Round, l.Drift = m.Round.Duration, m.Drift
	return l
}

// Budget is how many of a tier may be out for work at once, by the file.
func (m Members) Budget(tier int) int { return m.Maintenance.Budget.of(tier) }

// duration is a time written as text.
type duration struct{ time.Duration }

// UnmarshalText reads "500ms" and the like.
func (d *duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// LoadMembers reads the file. Without one that was not named there is no membership. An error is one line that names
// the field.
func LoadMembers(path string, named bool) (Members, error) {
	text, err := os.ReadFile(path)
	switch {
	case !named && errors.Is(err, fs.ErrNotExist):
		return Members{}, nil
	case err != nil:
		return Members{}, err
	}
	m, err := ParseMembers(string(text))
	if err != nil {
		return m, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// ParseMembers reads the file's text. An error is one line that names the field.
func ParseMembers(text string) (Members, error) {
	l := membership.Defaults()
	m := Members{
		Period: duration{l.Period}, Timeout: duration{l.Timeout}, Indirect: l.Indirect, SuspicionMin: l.SuspicionMin,
		SuspicionMax: l.SuspicionMax, Confirm: l.Confirm, Retransmit: l.Retransmit, Health: l.Health,
		Stall: duration{l.Stall}, Reclaim: l.Reclaim,
	}
	w := maintenance.Defaults()
	m.Maintenance = Maintenance{Budget: budget{Count: w.Budget}, Lease: duration{w.Lease}, Work: duration{w.Work},
		Round: duration{w.Round}, Drift: w.Drift}
	b := budgets.Defaults()
	m.Parts = Parts{Lease: duration{b.Lease}, Drift: b.Drift, Members: b.Members}
	k := knowledge.Defaults()
	m.Knowledge = Knowledge{HalfLife: duration{k.HalfLife}, Lasting: duration{k.Lasting}, Forget: duration{k.Forget}, Ask: k.Ask}
	meta, err := toml.Decode(text, &m)
	if err != nil {
		return m, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return m, fmt.Errorf("%s: unknown field", unknown[0])
	}
	if err := m.Maintenance.limits(1).Check(); err != nil {
		return m, fmt.Errorf("maintenance.%w", err)
	}
	if err := m.Parts.limits().Check(); err != nil {
		return m, fmt.Errorf("parts.%w", err)
	}
	if err := m.Knowledge.limits().Check(); err != nil {
		return m, fmt.Errorf("knowledge.%w", err)
	}
	if m.Knowledge.Enabled && !m.Enabled {
		return m, errors.New("knowledge.enabled: needs membership (enabled = true)")
	}
	if m.Parts.Enabled && !m.Enabled {
		return m, errors.New("parts.enabled: needs membership (enabled = true)")
	}
	if m.Maintenance.Enabled && !m.Enabled {
		return m, errors.New("maintenance.enabled: needs membership (enabled = true)")
	}
	return m, m.limits().Check()
}

func (m Members) limits() membership.Limits {
	l := membership.Defaults()
	l.Period, l.Timeout, l.Indirect = m.Period.Duration, m.Timeout.Duration, m.Indirect
	l.SuspicionMin, l.SuspicionMax, l.Confirm = m.SuspicionMin, m.SuspicionMax, m.Confirm
	l.Retransmit, l.Health, l.Stall, l.Reclaim = m.Retransmit, m.Health, m.Stall.Duration, m.Reclaim
	return l
}

// Tier is what the socket of the tier's datagrams is told, and how the core joins: membership and, where the file says
// so, maintenance. Needed are the platform's addresses and the own number; an error names the field. Permitted says
// whether the settings allow datagrams at all.
func (c *Config) Tier(m Members) (sock peers.Config, join []core.Event, permitted bool, err error) {
	if !c.Node.PeerMessages {
		return sock, join, false, nil
	}
	c.Limits.Member = m.limits()
	switch n := len(c.Peers); {
	case n == 0:
		return sock, join, true, errors.New("peers: missing")
	case c.Node.Tier != 0 && c.Node.Tier != n:
		return sock, join, true, fmt.Errorf("peers: %d of them, settings.peers-total says %d", n, c.Node.Tier)
	}
	sock = peers.Config{Listen: c.PeerListen, Peers: c.Peers, Self: c.Node.Me, Limits: c.Limits.Peers}
	join = append(join, core.Join{Config: membership.Config{Self: c.Node.Me, Tier: len(c.Peers), Limits: c.Limits.Member, Seed: c.Seed}})
	if m.Maintenance.Enabled {
		c.Limits.Work = m.Maintenance.limits(len(c.Peers))
		join = append(join, core.Plan{Config: maintenance.Config{Self: c.Node.Me, Tier: len(c.Peers), Zone: c.Node.Zone, Name: c.Name,
			Limits: c.Limits.Work, Seed: c.Seed}})
	}
	if m.Knowledge.Enabled {
		join = append(join, core.Know{Config: knowledge.Config{Self: c.Node.Me, Tier: len(c.Peers), Limits: m.Knowledge.limits(), Seed: c.Seed}})
	}
	if m.Parts.Enabled {
		join = append(join, core.Share{Config: budgets.Config{Self: c.Node.Me, Tier: len(c.Peers), Limits: m.Parts.limits(), Seed: c.Seed}})
	}
	return sock, join, true, nil
}
