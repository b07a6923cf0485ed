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
	ProbeTimeout   duration `toml:"timeout"`
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
	Enabled      bool         `toml:"enabled"`
	Budget       countOrShare `toml:"budget"`
	Lease        duration     `toml:"lease"`
	WorkLease    duration     `toml:"work"`
	RoundTimeout duration     `toml:"round"`
	MaxDrift     float64      `toml:"drift"`
}

// budget is a count, or a share of the tier: 2 or "20%".
type countOrShare struct {
	Count int
	Share float64
}

// UnmarshalTOML reads a number or a text.
func (b *countOrShare) UnmarshalTOML(v any) error {
	*b = countOrShare{}
	switch v := v.(type) {
	case int64:
		b.Count = int(min(max(v, -1), maintenance.Slots+1))
		return nil
	case string:
		if percentText, ok := strings.CutSuffix(v, "%"); ok {
			if percent, err := strconv.ParseFloat(percentText, 64); err == nil && percent > 0 && percent <= 100 {
				b.Share = percent / 100
				return nil
			}
		}
	}
	return fmt.Errorf("maintenance.budget: %v is neither a number nor a share such as \"20%%\"", v)
}

// of is the budget of a tier: at least one.
func (b countOrShare) forTier(tier int) int {
	if b.Share > 0 {
		return min(max(int(b.Share*float64(tier)), 1), maintenance.Slots)
	}
	return b.Count
}

func (m Maintenance) limits(tier int) maintenance.Limits {
	l := maintenance.Defaults()
	l.Budget, l.Lease, l.WorkLease = m.Budget.forTier(tier), m.Lease.Duration, m.WorkLease.Duration
	l.Round, l.MaxDrift = m.RoundTimeout.Duration, m.MaxDrift
	return l
}

// MaintenanceBudget is how many of a tier may be out for work at once, by the file.
func (m MembersFile) MaintenanceBudget(tier int) int { return m.Maintenance.Budget.forTier(tier) }

// duration is a time written as text.
type duration struct{ time.Duration }

// UnmarshalText reads "500ms" and the like.
func (d *duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// LoadMembers reads the file. Without one that was not named there is no membership. An error is one line that names
// the field.
func LoadMembers(path string, explicit bool) (MembersFile, error) {
	text, err := os.ReadFile(path)
	switch {
	case !explicit && errors.Is(err, fs.ErrNotExist):
		return MembersFile{}, nil
	case err != nil:
		return MembersFile{}, err
	}
	file, err := ParseMembers(string(text))
	if err != nil {
		return file, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// ParseMembers reads the file's text. An error is one line that names the field.
func ParseMembers(text string) (MembersFile, error) {
	membershipDefaults := membership.Defaults()
	file := MembersFile{
		Period: duration{membershipDefaults.Period}, ProbeTimeout: duration{membershipDefaults.Timeout}, IndirectProbes: membershipDefaults.Indirect, SuspicionMin: membershipDefaults.SuspicionMin,
		SuspicionMax: membershipDefaults.SuspicionMax, Confirmations: membershipDefaults.Confirm, RetransmitMult: membershipDefaults.Retransmit, MaxHealth: membershipDefaults.MaxHealth,
		StallThreshold: duration{membershipDefaults.StallThreshold}, ReclaimPeriods: membershipDefaults.ReclaimPeriods,
	}
	maintenanceDefaults := maintenance.Defaults()
	file.Maintenance = Maintenance{Budget: countOrShare{Count: maintenanceDefaults.Budget}, Lease: duration{maintenanceDefaults.Lease}, WorkLease: duration{maintenanceDefaults.WorkLease},
		RoundTimeout: duration{maintenanceDefaults.Round}, MaxDrift: maintenanceDefaults.MaxDrift}
	budgetDefaults := budgets.Defaults()
	file.Quotas = Quotas{Lease: duration{budgetDefaults.Lease}, MaxDrift: budgetDefaults.MaxDrift, MaxMembers: budgetDefaults.MaxMembers}
	knowledgeDefaults := knowledge.Defaults()
	file.Knowledge = Knowledge{HalfLife: duration{knowledgeDefaults.HalfLife}, SlowHalfLife: duration{knowledgeDefaults.SlowHalfLife}, MaxAge: duration{knowledgeDefaults.MaxAge}, Fanout: knowledgeDefaults.Fanout}
	meta, err := toml.Decode(text, &file)
	if err != nil {
		return file, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return file, fmt.Errorf("%s: unknown field", unknown[0])
	}
	if err := file.Maintenance.limits(1).Check(); err != nil {
		return file, fmt.Errorf("maintenance.%w", err)
	}
	if err := file.Quotas.limits().Check(); err != nil {
		return file, fmt.Errorf("parts.%w", err)
	}
	if err := file.Knowledge.limits().Check(); err != nil {
		return file, fmt.Errorf("knowledge.%w", err)
	}
	if file.Knowledge.Enabled && !file.Enabled {
		return file, errors.New("knowledge.enabled: needs membership (enabled = true)")
	}
	if file.Quotas.Enabled && !file.Enabled {
		return file, errors.New("parts.enabled: needs membership (enabled = true)")
	}
	if file.Maintenance.Enabled && !file.Enabled {
		return file, errors.New("maintenance.enabled: needs membership (enabled = true)")
	}
	return file, file.limits().Check()
}

func (m MembersFile) limits() membership.Limits {
	l := membership.Defaults()
	l.Period, l.Timeout, l.Indirect = m.Period.Duration, m.ProbeTimeout.Duration, m.IndirectProbes
	l.SuspicionMin, l.SuspicionMax, l.Confirm = m.SuspicionMin, m.SuspicionMax, m.Confirmations
	l.Retransmit, l.MaxHealth, l.StallThreshold, l.ReclaimPeriods = m.RetransmitMult, m.MaxHealth, m.StallThreshold.Duration, m.ReclaimPeriods
	return l
}

// TierConfig is what the socket of the tier's datagrams is told, and how the core joins: membership and, where the file says
// so, maintenance. Needed are the platform's addresses and the own number; an error names the field. Permitted says
// whether the settings allow datagrams at all.
func (c *Config) TierConfig(file MembersFile) (socket peers.Config, startEvents []core.Event, permitted bool, err error) {
	if !c.Deployment.PeerMessagesEnabled {
		return socket, startEvents, false, nil
	}
	c.Limits.Membership = file.limits()
	switch count := len(c.Peers); {
	case count == 0:
		return socket, startEvents, true, errors.New("peers: missing")
	case c.Deployment.TierSize != 0 && c.Deployment.TierSize != count:
		return socket, startEvents, true, fmt.Errorf("peers: %d of them, settings.peers-total says %d", count, c.Deployment.TierSize)
	}
	socket = peers.Config{Listen: c.PeerListen, Peers: c.Peers, Self: c.Deployment.Self, Limits: c.Limits.Peers}
	startEvents = append(startEvents, core.StartMembership{Config: membership.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Limits: c.Limits.Membership, Seed: c.Seed}})
	if file.Maintenance.Enabled {
		c.Limits.Maintenance = file.Maintenance.limits(len(c.Peers))
		startEvents = append(startEvents, core.StartMaintenance{Config: maintenance.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Zone: c.Deployment.Zone, Name: c.Name,
			Limits: c.Limits.Maintenance, Seed: c.Seed}})
	}
	if file.Knowledge.Enabled {
		startEvents = append(startEvents, core.StartKnowledge{Config: knowledge.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Limits: file.Knowledge.limits(), Seed: c.Seed}})
	}
	if file.Quotas.Enabled {
		startEvents = append(startEvents, core.StartBudget{Config: budgets.Config{Self: c.Deployment.Self, TierSize: len(c.Peers), Limits: file.Quotas.limits(), Seed: c.Seed}})
	}
	return socket, startEvents, true, nil
}
