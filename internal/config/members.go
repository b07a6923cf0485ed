package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
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

// MembersFile is the members file (deploy/members.toml): whether this softswitch takes part in its tier's membership,
// and with which limits. Limits that the file omits have the values of membership.Defaults.
type MembersFile struct {
	Enabled        bool         `toml:"enabled"`
	Period         tomlDuration `toml:"period"`        // time between two probes
	ProbeTimeout   tomlDuration `toml:"timeout"`       // wait for the answer to a direct probe
	IndirectProbes int          `toml:"indirect"`      // members asked to probe a member indirectly after ProbeTimeout
	SuspicionMin   float64      `toml:"suspicion_min"` // min. suspicion time, in periods times max(1, log10 n); n: members not dead or left
	SuspicionMax   float64      `toml:"suspicion_max"` // max. suspicion time (no confirmations), as a multiple of the min.; 1: always the min.
	Confirmations  int          `toml:"confirm"`       // independent confirmations of a suspicion that shorten it to the min. time
	RetransmitMult int          `toml:"retransmit"`    // transmissions of an update, in multiples of ⌈log10(n+1)⌉; n: members of the tier
	MaxHealth      int          `toml:"health"`        // max. local health multiplier; 0: local health is not used
	StallThreshold tomlDuration `toml:"stall"`         // lateness of the period timer beyond which the process counts as paused; 0: never
	ReclaimPeriods int          `toml:"reclaim"`       // protocol periods between two probes of members considered dead

	Maintenance Maintenance `toml:"maintenance"`
	Quotas      Quotas      `toml:"parts"`
	Knowledge   Knowledge   `toml:"knowledge"`

	keys []string // keys that the file contains, with those of its tables
}

// Knowledge is the [knowledge] table of the members file: whether this softswitch shares its observations of the
// servers with its tier. Limits that the file omits have the values of knowledge.Defaults.
type Knowledge struct {
	Enabled      bool         `toml:"enabled"`
	HalfLife     tomlDuration `toml:"half_life"` // age at which a load report's weight is halved
	SlowHalfLife tomlDuration `toml:"lasting"`   // the same for a report's rates and failures, which change slowly
	MaxAge       tomlDuration `toml:"forget"`    // age from which an observation is ignored
	Fanout       int          `toml:"ask"`       // members that a newly started softswitch queries at a time
}

// knowledgeLimits returns the limits of the knowledge protocol: the defaults with the values of the [knowledge] table.
func (k Knowledge) knowledgeLimits() knowledge.Limits {
	limits := knowledge.Defaults()
	limits.HalfLife, limits.SlowHalfLife, limits.MaxAge, limits.Fanout = k.HalfLife.Duration, k.SlowHalfLife.Duration, k.MaxAge.Duration, k.Fanout
	return limits
}

// Quotas is the [parts] table of the members file: whether units of a cold server's budget move between softswitches.
// Limits that the file omits have the values of budget.Defaults.
type Quotas struct {
	Enabled    bool         `toml:"enabled"`
	Lease      tomlDuration `toml:"lease"`   // lease of a unit of a budget; after its expiry a dead member's units are granted to others
	MaxDrift   float64      `toml:"drift"`   // max. fraction by which the rates of the members' clocks differ
	MaxMembers int          `toml:"members"` // largest tier in which units move between members
}

// budgetLimits returns the limits of the budget protocol: the defaults with the values of the [parts] table.
func (q Quotas) budgetLimits() budgets.Limits {
	limits := budgets.Defaults()
	limits.Lease, limits.MaxDrift, limits.MaxMembers = q.Lease.Duration, q.MaxDrift, q.MaxMembers
	return limits
}

// Maintenance is the [maintenance] table of the members file: whether this softswitch takes part in its tier's ordered
// maintenance. Limits that the file omits have the values of maintenance.Defaults.
type Maintenance struct {
	Enabled      bool         `toml:"enabled"`
	Budget       countOrShare `toml:"budget"` // members that may be out for maintenance at the same time
	Lease        tomlDuration `toml:"lease"`  // lease of the slot (within Budget) of a draining member
	WorkLease    tomlDuration `toml:"work"`   // lease of the slot of a member that is ready for work
	RoundTimeout tomlDuration `toml:"round"`  // time in which a majority has to answer, and interval between two checks of the request queue
	MaxDrift     float64      `toml:"drift"`  // max. fraction by which the rates of the members' clocks differ
}

// countOrShare is a number of members (2) or a share of the tier ("20%").
type countOrShare struct {
	Count int     // number of members, used while Share is 0
	Share float64 // fraction of the tier's size, 0 to 1
}

// UnmarshalTOML reads an integer, or a string with a percentage. An integer far out of range becomes one that is just out
// of range, for maintenance.Limits.Check to reject.
func (c *countOrShare) UnmarshalTOML(value any) error {
	*c = countOrShare{}
	switch value := value.(type) {
	case int64:
		c.Count = int(min(max(value, -1), maintenance.MaxSlots+1))
		return nil
	case string:
		if percentText, ok := strings.CutSuffix(value, "%"); ok {
			if percent, err := strconv.ParseFloat(percentText, 64); err == nil && percent > 0 && percent <= 100 {
				c.Share = percent / 100
				return nil
			}
		}
	}
	return fmt.Errorf("maintenance.budget: %v is neither an integer nor a percentage such as \"20%%\"", value)
}

// memberCount returns the number of members that c stands for in a tier of the given size. A share gives at least 1 and at most
// maintenance.MaxSlots.
func (c countOrShare) memberCount(tierSize int) int {
	if c.Share > 0 {
		return min(max(int(c.Share*float64(tierSize)), 1), maintenance.MaxSlots)
	}
	return c.Count
}

// maintenanceLimits returns the limits of the maintenance protocol for a tier of the given size: the defaults with the values of
// the [maintenance] table.
func (m Maintenance) maintenanceLimits(tierSize int) maintenance.Limits {
	limits := maintenance.Defaults()
	limits.Budget, limits.Lease, limits.WorkLease = m.Budget.memberCount(tierSize), m.Lease.Duration, m.WorkLease.Duration
	limits.RoundTimeout, limits.MaxDrift = m.RoundTimeout.Duration, m.MaxDrift
	return limits
}

// MaintenanceBudget returns the number of members of a tier of the given size that may be out for maintenance at the
// same time.
func (m MembersFile) MaintenanceBudget(tierSize int) int {
	return m.Maintenance.Budget.memberCount(tierSize)
}

// tomlDuration is a time.Duration that is written as text in a TOML file.
type tomlDuration struct{ time.Duration }

// UnmarshalText parses a text such as "500ms" with time.ParseDuration.
func (d *tomlDuration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// LoadMembers reads the members file. explicit says that an operator named the path. If not, the file may be missing, and
// membership is then off. The text of an error is one line that names the path and, for an invalid file, the field.
func LoadMembers(path string, pathSet bool) (MembersFile, error) {
	text, err := os.ReadFile(path)
	switch {
	case !pathSet && errors.Is(err, fs.ErrNotExist):
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

// ReloadMembers reads the members file again. The new file must contain every key of the running one, as a limit that it omits would silently
// get its default.
func ReloadMembers(path string, pathSet bool, running MembersFile) (MembersFile, error) {
	file, err := LoadMembers(path, pathSet)
	if err != nil {
		return file, err
	}
	for _, key := range running.keys {
		if !slices.Contains(file.keys, key) {
			return file, fmt.Errorf("%s: %s: missing", path, key)
		}
	}
	return file, nil
}

// ParseMembers parses the text of a members file. The text of an error is one line that names the field.
func ParseMembers(text string) (MembersFile, error) {
	membershipDefaults := membership.Defaults()
	file := MembersFile{
		Period: tomlDuration{membershipDefaults.Period}, ProbeTimeout: tomlDuration{membershipDefaults.ProbeTimeout},
		IndirectProbes: membershipDefaults.IndirectProbes, SuspicionMin: membershipDefaults.SuspicionMin,
		SuspicionMax: membershipDefaults.SuspicionMax, Confirmations: membershipDefaults.Confirmations,
		RetransmitMult: membershipDefaults.RetransmitMult, MaxHealth: membershipDefaults.MaxHealth,
		StallThreshold: tomlDuration{membershipDefaults.StallThreshold}, ReclaimPeriods: membershipDefaults.ReclaimPeriods,
	}
	maintenanceDefaults := maintenance.Defaults()
	file.Maintenance = Maintenance{Budget: countOrShare{Count: maintenanceDefaults.Budget},
		Lease: tomlDuration{maintenanceDefaults.Lease}, WorkLease: tomlDuration{maintenanceDefaults.WorkLease},
		RoundTimeout: tomlDuration{maintenanceDefaults.RoundTimeout}, MaxDrift: maintenanceDefaults.MaxDrift}
	budgetDefaults := budgets.Defaults()
	file.Quotas = Quotas{Lease: tomlDuration{budgetDefaults.Lease}, MaxDrift: budgetDefaults.MaxDrift, MaxMembers: budgetDefaults.MaxMembers}
	knowledgeDefaults := knowledge.Defaults()
	file.Knowledge = Knowledge{HalfLife: tomlDuration{knowledgeDefaults.HalfLife},
		SlowHalfLife: tomlDuration{knowledgeDefaults.SlowHalfLife}, MaxAge: tomlDuration{knowledgeDefaults.MaxAge},
		Fanout: knowledgeDefaults.Fanout}
	meta, err := toml.Decode(text, &file)
	if err != nil {
		return file, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return file, fmt.Errorf("%s: unknown field", unknown[0])
	}
	for _, key := range meta.Keys() {
		file.keys = append(file.keys, key.String())
	}
	if err := file.Maintenance.maintenanceLimits(1).Check(); err != nil {
		return file, fmt.Errorf("maintenance.%w", err)
	}
	if err := file.Quotas.budgetLimits().Check(); err != nil {
		return file, fmt.Errorf("parts.%w", err)
	}
	if err := file.Knowledge.knowledgeLimits().Check(); err != nil {
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
	return file, file.membershipLimits().Check()
}

// membershipLimits returns the limits of the membership protocol: the defaults with the values of the members file.
func (m MembersFile) membershipLimits() membership.Limits {
	limits := membership.Defaults()
	limits.Period, limits.ProbeTimeout, limits.IndirectProbes = m.Period.Duration, m.ProbeTimeout.Duration, m.IndirectProbes
	limits.SuspicionMin, limits.SuspicionMax, limits.Confirmations = m.SuspicionMin, m.SuspicionMax, m.Confirmations
	limits.RetransmitMult, limits.MaxHealth, limits.StallThreshold, limits.ReclaimPeriods = m.RetransmitMult, m.MaxHealth, m.StallThreshold.Duration, m.ReclaimPeriods
	return limits
}

// TierConfig returns the configuration of the tier's datagram socket and the events that start the tier's protocols in
// the core: membership and, where the members file enables them, maintenance, knowledge and the cold servers' quotas. The
// caller checks file.Enabled. TierConfig fills Limits.Membership and, where maintenance is enabled, Limits.Maintenance. An
// error names the field "peers"; peers.New checks the other fields. If the settings don't allow datagrams between
// softswitches, permitted is false and the other results are zero.
func (c *Config) TierConfig(file MembersFile) (socket peers.Config, startEvents []core.Event, permitted bool, err error) {
	if !c.Deployment.PeerMessagesEnabled {
		return socket, startEvents, false, nil
	}
	c.Limits.Membership = file.membershipLimits()
	switch count := len(c.Peers); {
	case count == 0:
		return socket, startEvents, true, errors.New("peers: missing")
	case c.Deployment.TierSize != 0 && c.Deployment.TierSize != count:
		return socket, startEvents, true, fmt.Errorf("peers: %d addresses, but settings.peers-total is %d", count, c.Deployment.TierSize)
	}
	socket = peers.Config{ListenAddress: c.PeerListen, Addresses: c.Peers, Self: c.Deployment.Self, Limits: c.Limits.Peers}
	startEvents = append(startEvents, core.StartMembership{Config: membership.Config{Self: c.Deployment.Self,
		TierSize: len(c.Peers), Limits: c.Limits.Membership, Seed: c.Seed}})
	if file.Maintenance.Enabled {
		c.Limits.Maintenance = file.Maintenance.maintenanceLimits(len(c.Peers))
		startEvents = append(startEvents, core.StartMaintenance{Config: maintenance.Config{Self: c.Deployment.Self,
			TierSize: len(c.Peers), Zone: c.Deployment.Zone, Name: c.Name,
			Limits: c.Limits.Maintenance, Seed: c.Seed}})
	}
	if file.Knowledge.Enabled {
		startEvents = append(startEvents, core.StartKnowledge{Config: knowledge.Config{Self: c.Deployment.Self,
			TierSize: len(c.Peers), Limits: file.Knowledge.knowledgeLimits(), Seed: c.Seed}})
	}
	if file.Quotas.Enabled {
		startEvents = append(startEvents, core.StartBudget{Config: budgets.Config{Self: c.Deployment.Self,
			TierSize: len(c.Peers), Limits: file.Quotas.budgetLimits(), Seed: c.Seed}})
	}
	return socket, startEvents, true, nil
}
