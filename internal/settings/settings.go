// Package settings reads what a deployment tells each softswitch of itself, in the form that the
// simulator and the platform share.
package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"elmseam"
)

// micros is a time on the wire.
type microseconds float64

func (m microseconds) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Microsecond))
}

// bootInfo is what the wire tells of a deployment; keys that are not named here are ignored.
type wireSettings struct {
	Discovery      string  `json:"discovery"`
	OverShareWorth float64 `json:"over-share-worth"`
	FamilyInfo     struct {
		ClassCells   [][]int      `json:"class-cells"`
		OwnNumber    int          `json:"own-number"`
		ReleaseGuard microseconds `json:"release-guard-us"`
		Retransmit   microseconds `json:"retransmit-us"`
	} `json:"family-info"`
	Limits struct {
		Cancel        bool         `json:"cancel"`
		MaxAttempts   int          `json:"max-attempts"`
		MaxRetryAfter microseconds `json:"max-retry-after-us"`
		RetryAfter    bool         `json:"retry-after"`
	} `json:"limits"`
	LoadReport struct {
		Columns []string `json:"columns"`
		Via     string   `json:"via"`
	} `json:"load-report"`
	Obligations struct {
		ColdFrom    float64      `json:"cold-from"`
		RampTime    microseconds `json:"ramp-time-us"`
		TipAfter    microseconds `json:"tip-after-us"`
		TipMultiple float64      `json:"tip-multiple"`
	} `json:"obligations"`
	Classes []struct {
		Name      string       `json:"name"`
		Effect    string       `json:"effect"`
		Gain      float64      `json:"gain"`
		HardLimit microseconds `json:"hard-limit-us"`
		Objective microseconds `json:"objective-us"`
	} `json:"request-classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance-per-s"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
}

var loadMetrics = map[string]elmseam.LoadMetric{
	"spare":       elmseam.LoadMetricFreeLines,
	"total":       elmseam.LoadMetricTotalLines,
	"outstanding": elmseam.LoadMetricOutstanding,
	"backlog":     elmseam.LoadMetricQueue,
	"utilization": elmseam.LoadMetricUtilisation,
	"recent_ms":   elmseam.LoadMetricWait,
	"allowed":     elmseam.LoadMetricRate,
	"cut_by":      elmseam.LoadMetricHoldBackShare,
}

// LoadMetric is what a value of a load report means, by its name.
func LoadMetric(name string) elmseam.LoadMetric { return loadMetrics[name] }

var retryPolicies = map[string]elmseam.RetryPolicy{
	"free":        elmseam.RetryAlways,
	"guarded":     elmseam.RetryGuarded,
	"single_shot": elmseam.RetryNever,
}

// Decode reads the settings that the decision module starts with.
func Decode(text []byte) (elmseam.Settings, error) {
	var info wireSettings
	info.FamilyInfo.OwnNumber = -1
	if err := json.Unmarshal(text, &info); err != nil {
		return elmseam.Settings{}, fmt.Errorf("settings: %w", err)
	}
	decoded := elmseam.Settings{
		OverShareWorth:     info.OverShareWorth,
		MaxAttempts:        info.Limits.MaxAttempts,
		CanCancel:          info.Limits.Cancel,
		OwnCell:            info.FamilyInfo.OwnNumber,
		RetransmitInterval: info.FamilyInfo.Retransmit.duration(),
		ReleaseGuard:       info.FamilyInfo.ReleaseGuard.duration(),
		ColdInitialShare:   info.Obligations.ColdFrom,
		ColdRamp:           info.Obligations.RampTime.duration(),
		OverloadMultiple:   info.Obligations.TipMultiple,
		OverloadAfter:      info.Obligations.TipAfter.duration(),
		ListOnRequest:      info.Discovery == "ask",
	}
	if info.Limits.RetryAfter {
		decoded.MaxRetryAfter = info.Limits.MaxRetryAfter.duration()
	}
	if info.LoadReport.Via != "off" {
		for _, name := range info.LoadReport.Columns {
			decoded.ReportMetrics = append(decoded.ReportMetrics, loadMetrics[name])
		}
	}
	for i, entry := range info.Classes {
		retry, found := retryPolicies[entry.Effect]
		if !found && entry.Effect != "" {
			return decoded, fmt.Errorf("settings: class %d: unknown effect %q", i, entry.Effect)
		}
		class := elmseam.Class{Aim: entry.Objective.duration(), Deadline: entry.HardLimit.duration(), Worth: entry.Gain, Retry: retry}
		if i < len(info.FamilyInfo.ClassCells) {
			class.Cells = info.FamilyInfo.ClassCells[i]
		}
		decoded.Classes = append(decoded.Classes, class)
	}
	for _, tenant := range info.Tenants {
		decoded.Tenants = append(decoded.Tenants, elmseam.Tenant{Name: tenant.Name, Allowance: tenant.Allowance})
	}
	return decoded, nil
}

// Deployment is what a softswitch on sockets needs beside the decisions.
type Deployment struct {
	Classes             []Class       // in order
	ReportMetrics       []string      // names of the values of a load report, in order
	ConnectTimeout      time.Duration // a connection not made by then counts as unreachable
	KeepAlive           time.Duration // idle connections are closed by the far side after this
	MaxWait             time.Duration // of a caller of any class
	MinAim              time.Duration // the shortest time that a class is wanted to stand within
	MaxMeanHold         time.Duration // the longest that calls of a class last on average
	MaxOpenCalls        int           // calls that may be open at once
	Self                int           // the own number in the tier; -1: not told
	Zone                int           // the own zone; -1: not told
	TierSize            int           // softswitches in the tier; 0: not told
	PeerMessagesEnabled bool          // datagrams between them are permitted
	ProbesEnabled       bool          // tests of servers are
}

// Class is a class of call as callers name it.
type Class struct {
	Name    string
	MaxWait time.Duration // how long a caller waits at most
	Cells   []int         // that may be its first choice; none listed: any
	Lines   float64       // lines a call takes; 0: not told
	Removed bool          // taken out by a new configuration: calls in hand still have it
}

// ClassIndexes are the classes that calls may be of, with their places.
func (d Deployment) ClassIndexes() map[string]int {
	indexes := make(map[string]int)
	for i, c := range d.Classes {
		if !c.Removed {
			indexes[c.Name] = i
		}
	}
	return indexes
}

// KeepClassIndexes gives the classes the places they had in an earlier configuration, as calls in hand know them by
// their place. Those that are no more keep theirs.
func KeepClassIndexes(old Deployment, current *Deployment, currentSettings *elmseam.Settings, oldSettings elmseam.Settings) {
	indexes := current.ClassIndexes()
	var classes []Class
	var moduleClasses []elmseam.Class
	for i, class := range old.Classes {
		index, found := indexes[class.Name]
		if !found {
			class.Removed = true
			classes, moduleClasses = append(classes, class), append(moduleClasses, oldSettings.Classes[i])
			continue
		}
		delete(indexes, class.Name)
		classes, moduleClasses = append(classes, current.Classes[index]), append(moduleClasses, currentSettings.Classes[index])
	}
	for i, class := range current.Classes {
		if index, found := indexes[class.Name]; found && index == i {
			classes, moduleClasses = append(classes, class), append(moduleClasses, currentSettings.Classes[i])
		}
	}
	current.Classes, currentSettings.Classes = classes, moduleClasses
}

// needed are the keys that the settings of a softswitch must hold, by the object they stand in. A file that was cut
// short and closed again would else be taken for one that asks for zeros.
var requiredKeys = map[string][]string{
	"":                {"request-classes", "family-info", "limits", "load-report", "obligations"},
	"family-info":     {"own-number", "release-guard-us", "retransmit-us"},
	"limits":          {"max-attempts", "max-open", "connect-timeout-us", "retry-after", "max-retry-after-us", "cancel"},
	"load-report":     {"columns", "via"},
	"obligations":     {"cold-from", "ramp-time-us", "tip-after-us", "tip-multiple"},
	"request-classes": {"name", "effect", "gain", "hard-limit-us", "objective-us"},
}

// Validate says whether settings hold every key that is needed, and figures that calls can live by. An error is one
// line that names the field.
func Validate(text []byte) error {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := checkRequiredKeys(text, "", "settings."); err != nil {
		return err
	}
	for _, section := range []string{"family-info", "limits", "load-report", "obligations"} {
		if err := checkRequiredKeys(top[section], section, "settings."+section+"."); err != nil {
			return err
		}
	}
	var classes []json.RawMessage
	if err := json.Unmarshal(top["request-classes"], &classes); err != nil {
		return fmt.Errorf("settings.request-classes: %w", err)
	}
	for i, class := range classes {
		field := fmt.Sprintf("settings.request-classes[%d].", i)
		if err := checkRequiredKeys(class, "request-classes", field); err != nil {
			return err
		}
		var limit struct {
			HardLimit microseconds `json:"hard-limit-us"`
		}
		if err := json.Unmarshal(class, &limit); err != nil || limit.HardLimit.duration() <= 0 {
			return fmt.Errorf("%shard-limit-us: %v is not over 0", field, float64(limit.HardLimit))
		}
	}
	var limits struct {
		MaxAttempts int `json:"max-attempts"`
	}
	if err := json.Unmarshal(top["limits"], &limits); err != nil || limits.MaxAttempts <= 0 {
		return fmt.Errorf("settings.limits.max-attempts: %d is not over 0", limits.MaxAttempts)
	}
	return checkConsistency(text)
}

// agrees says whether settings contradict themselves: one that is in force by chance would decide.
func checkConsistency(text []byte) error {
	var info wireSettings
	if err := json.Unmarshal(text, &info); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(info.Classes) == 0 {
		return fmt.Errorf("settings.request-classes: no class")
	}
	seen := make(map[string]bool)
	for i, class := range info.Classes {
		if seen[class.Name] {
			return fmt.Errorf("settings.request-classes[%d].name: %q is there twice", i, class.Name)
		}
		seen[class.Name] = true
	}
	clear(seen)
	for i, name := range info.LoadReport.Columns {
		if seen[name] {
			return fmt.Errorf("settings.load-report.columns[%d]: %q is there twice", i, name)
		}
		seen[name] = true
	}
	clear(seen)
	shares := 0.0
	for i, tenant := range info.Tenants {
		field := fmt.Sprintf("settings.tenants[%d].", i)
		switch {
		case tenant.Name == "":
			return fmt.Errorf("%sname: missing", field)
		case seen[tenant.Name]:
			return fmt.Errorf("%sname: %q is there twice", field, tenant.Name)
		case !(tenant.Allowance >= 0):
			return fmt.Errorf("%sallowance-per-s: %v is negative", field, tenant.Allowance)
		case !(tenant.Share >= 0):
			return fmt.Errorf("%sshare: %v is negative", field, tenant.Share)
		}
		seen[tenant.Name] = true
		if shares += tenant.Share; shares > 1+shareTolerance {
			return fmt.Errorf("%sshare: with those before it the shares come to %.3g, which is over 1", field, shares)
		}
	}
	if worth := info.OverShareWorth; !(worth >= 0 && worth <= 1) {
		return fmt.Errorf("settings.over-share-worth: %v is no part of a call's worth", worth)
	}
	return nil
}

// rounding is what shares, told with a few digits, may be over 1 together.
const shareTolerance = 0.01

// holds names the first key that an object lacks.
func checkRequiredKeys(text []byte, section, prefix string) error {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		return fmt.Errorf("%s: %w", strings.TrimSuffix(prefix, "."), err)
	}
	for _, key := range requiredKeys[section] {
		if value, found := object[key]; !found || string(value) == "null" {
			return fmt.Errorf("%s%s: missing", prefix, key)
		}
	}
	return nil
}

// DecodeDeployment reads the part of the settings that concerns sockets. Keys it doesn't name are ignored.
func DecodeDeployment(text []byte) (Deployment, error) {
	var info struct {
		FamilyInfo struct {
			ClassCells [][]int        `json:"class-cells"`
			ClassHold  []microseconds `json:"class-hold-us"`
			Widths     []float64      `json:"widths"`
		} `json:"family-info"`
		Limits struct {
			Connect   microseconds `json:"connect-timeout-us"`
			KeepAlive microseconds `json:"keepalive-us"`
			MaxOpen   int          `json:"max-open"`
			Peers     bool         `json:"peer-messages"`
			Probes    bool         `json:"probes"`
		} `json:"limits"`
		Me         *float64 `json:"me"`
		Zone       *float64 `json:"zone"`
		Tier       float64  `json:"peers-total"`
		LoadReport struct {
			Columns []string `json:"columns"`
		} `json:"load-report"`
		Classes []struct {
			Name      string       `json:"name"`
			HardLimit microseconds `json:"hard-limit-us"`
			Objective microseconds `json:"objective-us"`
		} `json:"request-classes"`
	}
	if err := json.Unmarshal(text, &info); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		ReportMetrics:       info.LoadReport.Columns,
		ConnectTimeout:      info.Limits.Connect.duration(),
		KeepAlive:           info.Limits.KeepAlive.duration(),
		MaxOpenCalls:        info.Limits.MaxOpen,
		Self:                -1,
		Zone:                -1,
		TierSize:            int(info.Tier),
		PeerMessagesEnabled: info.Limits.Peers,
		ProbesEnabled:       info.Limits.Probes,
	}
	if info.Zone != nil {
		d.Zone = int(min(max(*info.Zone, -1), 127))
	}
	if info.Me != nil {
		d.Self = int(*info.Me)
	}
	for i, entry := range info.Classes {
		if entry.Name == "" {
			return d, fmt.Errorf("settings: request-classes[%d].name: missing", i)
		}
		class := Class{Name: entry.Name, MaxWait: entry.HardLimit.duration()}
		if i < len(info.FamilyInfo.ClassCells) {
			class.Cells = info.FamilyInfo.ClassCells[i]
		}
		if i < len(info.FamilyInfo.Widths) {
			class.Lines = info.FamilyInfo.Widths[i]
		}
		if i < len(info.FamilyInfo.ClassHold) {
			d.MaxMeanHold = max(d.MaxMeanHold, info.FamilyInfo.ClassHold[i].duration())
		}
		d.Classes = append(d.Classes, class)
		d.MaxWait = max(d.MaxWait, class.MaxWait)
		if aim := entry.Objective.duration(); aim > 0 && (d.MinAim == 0 || aim < d.MinAim) {
			d.MinAim = aim
		}
	}
	if indexes := d.ClassIndexes(); len(indexes) < len(d.Classes) {
		return d, fmt.Errorf("settings: request-classes: %d names for %d classes", len(indexes), len(d.Classes))
	}
	return d, nil
}
