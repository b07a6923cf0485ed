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

// MembersFile is the file that tells whether this softswitch takes part in its tier's membership, and how. What it leaves
// out is membership.Defaults.
type MembersFile struct {
	Enabled        bool     `toml:"enabled"`
	Period         duration `toml:"period"`
	Timeout        duration `toml:"timeout"`
	IndirectProbes int      `toml:"indirect"`
	SuspicionMin   float64  `toml:"suspicion_min"`
	SuspicionMax   float64  `toml:"suspicion_max"`
	Confirmations  int      `toml:"confirm"`
	RetransmitMult int      `toml:"retransmit"`
	MaxHealth      int      `toml:"health"`
	StallThreshold duration `toml:"stall"`
	ReclaimPeriods int      `toml:"reclaim"`

	Maintenance Maintenance `toml:"maintenance"`
	Quotas      Quotas      `toml:"parts"`
	Knowledge   Knowledge   `toml:"knowledge"`
}

// Knowledge is the part of the file that tells whether this softswitch shares what it has seen of the servers with its tier.
// What it leaves out is knowledge.Defaults.
type Knowledge struct {
	Enabled      bool     `toml:"enabled"`
	HalfLife     duration `toml:"half_life"`
	SlowHalfLife duration `toml:"lasting"`
	MaxAge       duration `toml:"forget"`
	Fanout       int      `toml:"ask"`
}

func (k Knowledge) limits() knowledge.Limits {
	l := knowledge.Defaults()
	l.HalfLife, l.SlowHalfLife, l.MaxAge, l.Fanout = k.HalfLife.Duration, k.SlowHalfLife.Duration, k.MaxAge.Duration, k.Fanout
	return l
}

// Quotas is the part of the file that tells whether parts of a just-started server's budget move between softswitches. What
// it leaves out is budget.Defaults.
type Quotas struct {
	Enabled    bool     `toml:"enabled"`
	Lease      duration `toml:"lease"`
	MaxDrift   float64  `toml:"drift"`
	MaxMembers int      `toml:"members"`
}

func (p Quotas) limits() budgets.Limits {
	l := budgets.Defaults()
	l.Lease, l.MaxDrift, l.MaxMembers = p.Lease.Duration, p.MaxDrift, p.MaxMembers
	return l
}

// Maintenance is the part of the file that tells whether this softswitch takes part in its tier's ordered maintenance. What
// it leaves out is maintenance.Defaults.
type Maintenance struct {
	Enabled      bool     `toml:"enabled"`
	Budget       budget   `toml:"budget"`
	Lease        duration `toml:"lease"`
	WorkLease    duration `toml:"work"`
	RoundTimeout duration `toml:"round"`
	MaxDrift     float64  `toml:"drift"`
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
	l.Budget, l.Lease, l.WorkLease = m.Budget.of(tier), m.Lease.Duration, m.WorkLease.Duration
	l.Round, l.MaxDrift = m.RoundTimeout.Duration, m.MaxDrift
	return l
}

// MaintenanceBudget is how many of a tier may be out for work at once, by the file.
func (m MembersFile) MaintenanceBudget(tier int) int { return m.Maintenance.Budget.of(tier) }

// duration is a time written as text.
type duration struct{ time.Duration }

// UnmarshalText reads "500ms" and the like.
func (d *duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// LoadMembers reads the file. Without one that was not named there is no membership. An error is one line that names
// the field.
func LoadMembers(path string, named bool) (MembersFile, error) {
	text, err := os.ReadFile(path)
	switch {
	case !named && errors.Is(err, fs.ErrNotExist):
		return MembersFile{}, nil
	case err != nil:
		return MembersFile{}, err
	}
	m, err := ParseMembers(string(text))
	if err != nil {
		return m, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// ParseMembers reads the file's text. An error is one line that names the field.
func ParseMembers(text string) (MembersFile, error) {
	l := membership.Defaults()
	m := MembersFile{
		Period: duration{l.Period}, Timeout: duration{l.Timeout}, IndirectProbes: l.Indirect, SuspicionMin: l.SuspicionMin,
		SuspicionMax: l.SuspicionMax, Confirmations: l.Confirm, RetransmitMult: l.Retransmit, MaxHealth: l.MaxHealth,
		StallThreshold: duration{l.StallThreshold}, ReclaimPeriods: l.ReclaimPeriods,
	}
	w := maintenance.Defaults()
	m.Maintenance = Maintenance{Budget: budget{Count: w.Budget}, Lease: duration{w.Lease}, WorkLease: duration{w.WorkLease},
		RoundTimeout: duration{w.Round}, MaxDrift: w.MaxDrift}
	b := budgets.Defaults()
	m.Quotas = Quotas{Lease: duration{b.Lease}, MaxDrift: b.MaxDrift, MaxMembers: b.MaxMembers}
	k := knowledge.Defaults()
	m.Knowledge = Knowledge{HalfLife: duration{k.HalfLife}, SlowHalfLife: duration{k.SlowHalfLife}, MaxAge: duration{k.MaxAge}, Fanout: k.Fanout}
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
	if err := m.Quotas.limits().Check(); err != nil {
		return m, fmt.Errorf("parts.%w", err)
	}
	if err := m.Knowledge.limits().Check(); err != nil {
		return m, fmt.Errorf("knowledge.%w", err)
	}
	if m.Knowledge.Enabled && !m.Enabled {
		return m, errors.New("knowledge.enabled: needs membership (enabled = true)")
	}
	if m.Quotas.Enabled && !m.Enabled {
		return m, errors.New("parts.enabled: needs membership (enabled = true)")
	}
	if m.Maintenance.Enabled && !m.Enabled {
		return m, errors.New("maintenance.enabled: needs membership (enabled = true)")
	}
	return m, m.limits().Check()
}

func (m MembersFile) limits() membership.Limits {
	l := membership.Defaults()
	l.Period, l.Timeout, l.Indirect = m.Period.Duration, m.Timeout.Duration, m.IndirectProbes
	l.SuspicionMin, l.SuspicionMax, l.Confirm = m.SuspicionMin, m.SuspicionMax, m.Confirmations
	l.Retransmit, l.MaxHealth, l.StallThreshold, l.ReclaimPeriods = m.RetransmitMult, m.MaxHealth, m.StallThreshold.Duration, m.ReclaimPeriods
	return l
}

// TierConfig is what the socket of the tier's datagrams is told, and how the core joins: membership and, where the file says
// so, maintenance. Needed are the platform's addresses and the own number; an error names the field. Permitted says
// whether the settings allow datagrams at all.
func (c *Config) TierConfig(m MembersFile) (sock peers.Config, join []core.Event, permitted bool, err error) {
	if !c.Deployment.PeerMessagesEnabled {
		return sock, join, false, nil
	}
	c.Limits.Membership = m.limits()
	switch n := len(c.Peers); {
	case n == 0:
		return sock, join, true, errors.New("peers: missing")
	case c.Deployment.TierSize != 0 && c.Deployment.TierSize != n:
		return sock, join, true, fmt.Errorf("peers: %d of them, settings.peers-total says %d", n, c.Deployment.TierSize)
	}
	sock = peers.Config{Listen: c.PeerListen, Peers: c.Peers, Self: c.Deployment.Self, Limits: c.Limits.Peers}
	join = append(join, core.StartMembership{Config: membership.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Limits: c.Limits.Membership, Seed: c.Seed}})
	if m.Maintenance.Enabled {
		c.Limits.Maintenance = m.Maintenance.limits(len(c.Peers))
		join = append(join, core.StartMaintenance{Config: maintenance.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Zone: c.Deployment.Zone, Name: c.Name,
			Limits: c.Limits.Maintenance, Seed: c.Seed}})
	}
	if m.Knowledge.Enabled {
		join = append(join, core.StartKnowledge{Config: knowledge.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Limits: m.Knowledge.limits(), Seed: c.Seed}})
	}
	if m.Quotas.Enabled {
		join = append(join, core.StartBudget{Config: budgets.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Limits: m.Quotas.limits(), Seed: c.Seed}})
	}
	return sock, join, true, nil
}
