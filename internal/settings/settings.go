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
type micros float64

func (m micros) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Microsecond))
}

// bootInfo is what the wire tells of a deployment; keys that are not named here are ignored.
type bootInfo struct {
	Discovery      string  `json:"discovery"`
	OverShareWorth float64 `json:"over-share-worth"`
	FamilyInfo     struct {
		ClassCells   [][]int `json:"class-cells"`
		OwnNumber    int     `json:"own-number"`
		ReleaseGuard micros  `json:"release-guard-us"`
		Retransmit   micros  `json:"retransmit-us"`
	} `json:"family-info"`
	Limits struct {
		Cancel        bool   `json:"cancel"`
		MaxAttempts   int    `json:"max-attempts"`
		MaxRetryAfter micros `json:"max-retry-after-us"`
		RetryAfter    bool   `json:"retry-after"`
	} `json:"limits"`
	LoadReport struct {
		Columns []string `json:"columns"`
		Via     string   `json:"via"`
	} `json:"load-report"`
	Obligations struct {
		ColdFrom    float64 `json:"cold-from"`
		RampTime    micros  `json:"ramp-time-us"`
		TipAfter    micros  `json:"tip-after-us"`
		TipMultiple float64 `json:"tip-multiple"`
	} `json:"obligations"`
	Classes []struct {
		Name      string  `json:"name"`
		Effect    string  `json:"effect"`
		Gain      float64 `json:"gain"`
		HardLimit micros  `json:"hard-limit-us"`
		Objective micros  `json:"objective-us"`
	} `json:"request-classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance-per-s"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
}

var figures = map[string]elmseam.LoadMetric{
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
func LoadMetric(name string) elmseam.LoadMetric { return figures[name] }

var repeats = map[string]elmseam.RetryPolicy{
	"free":        elmseam.RetryAlways,
	"guarded":     elmseam.RetryGuarded,
	"single_shot": elmseam.RetryNever,
}

// Decode reads the settings that the decision module starts with.
func Decode(text []byte) (elmseam.Settings, error) {
	var info bootInfo
	info.FamilyInfo.OwnNumber = -1
	if err := json.Unmarshal(text, &info); err != nil {
		return elmseam.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := elmseam.Settings{
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
		s.MaxRetryAfter = info.Limits.MaxRetryAfter.duration()
	}
	if info.LoadReport.Via != "off" {
		for _, name := range info.LoadReport.Columns {
			s.ReportMetrics = append(s.ReportMetrics, figures[name])
		}
	}
	for i, c := range info.Classes {
		repeat, known := repeats[c.Effect]
		if !known && c.Effect != "" {
			return s, fmt.Errorf("settings: class %d: unknown effect %q", i, c.Effect)
		}
		class := elmseam.Class{Aim: c.Objective.duration(), Deadline: c.HardLimit.duration(), Worth: c.Gain, Retry: repeat}
		if i < len(info.FamilyInfo.ClassCells) {
			class.Cells = info.FamilyInfo.ClassCells[i]
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range info.Tenants {
		s.Tenants = append(s.Tenants, elmseam.Tenant{Name: t.Name, Allowance: t.Allowance})
	}
	return s, nil
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
func (n Deployment) ClassIndexes() map[string]int {
	names := make(map[string]int)
	for i, c := range n.Classes {
		if !c.Removed {
			names[c.Name] = i
		}
	}
	return names
}

// KeepClassIndexes gives the classes the places they had in an earlier configuration, as calls in hand know them by
// their place. Those that are no more keep theirs.
func KeepClassIndexes(old Deployment, n *Deployment, s *elmseam.Settings, was elmseam.Settings) {
	place := n.ClassIndexes()
	var classes []Class
	var rules []elmseam.Class
	for i, c := range old.Classes {
		at, there := place[c.Name]
		if !there {
			c.Removed = true
			classes, rules = append(classes, c), append(rules, was.Classes[i])
			continue
		}
		delete(place, c.Name)
		classes, rules = append(classes, n.Classes[at]), append(rules, s.Classes[at])
	}
	for i, c := range n.Classes {
		if at, there := place[c.Name]; there && at == i {
			classes, rules = append(classes, c), append(rules, s.Classes[i])
		}
	}
	n.Classes, s.Classes = classes, rules
}

// needed are the keys that the settings of a softswitch must hold, by the object they stand in. A file that was cut
// short and closed again would else be taken for one that asks for zeros.
var needed = map[string][]string{
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
	if err := holds(text, "", "settings."); err != nil {
		return err
	}
	for _, part := range []string{"family-info", "limits", "load-report", "obligations"} {
		if err := holds(top[part], part, "settings."+part+"."); err != nil {
			return err
		}
	}
	var classes []json.RawMessage
	if err := json.Unmarshal(top["request-classes"], &classes); err != nil {
		return fmt.Errorf("settings.request-classes: %w", err)
	}
	for i, class := range classes {
		field := fmt.Sprintf("settings.request-classes[%d].", i)
		if err := holds(class, "request-classes", field); err != nil {
			return err
		}
		var c struct {
			HardLimit micros `json:"hard-limit-us"`
		}
		if err := json.Unmarshal(class, &c); err != nil || c.HardLimit.duration() <= 0 {
			return fmt.Errorf("%shard-limit-us: %v is not over 0", field, float64(c.HardLimit))
		}
	}
	var l struct {
		MaxAttempts int `json:"max-attempts"`
	}
	if err := json.Unmarshal(top["limits"], &l); err != nil || l.MaxAttempts <= 0 {
		return fmt.Errorf("settings.limits.max-attempts: %d is not over 0", l.MaxAttempts)
	}
	return agrees(text)
}

// agrees says whether settings contradict themselves: one that is in force by chance would decide.
func agrees(text []byte) error {
	var info bootInfo
	if err := json.Unmarshal(text, &info); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(info.Classes) == 0 {
		return fmt.Errorf("settings.request-classes: no class")
	}
	names := make(map[string]bool)
	for i, c := range info.Classes {
		if names[c.Name] {
			return fmt.Errorf("settings.request-classes[%d].name: %q is there twice", i, c.Name)
		}
		names[c.Name] = true
	}
	clear(names)
	for i, name := range info.LoadReport.Columns {
		if names[name] {
			return fmt.Errorf("settings.load-report.columns[%d]: %q is there twice", i, name)
		}
		names[name] = true
	}
	clear(names)
	shares := 0.0
	for i, t := range info.Tenants {
		field := fmt.Sprintf("settings.tenants[%d].", i)
		switch {
		case t.Name == "":
			return fmt.Errorf("%sname: missing", field)
		case names[t.Name]:
			return fmt.Errorf("%sname: %q is there twice", field, t.Name)
		case !(t.Allowance >= 0):
			return fmt.Errorf("%sallowance-per-s: %v is negative", field, t.Allowance)
		case !(t.Share >= 0):
			return fmt.Errorf("%sshare: %v is negative", field, t.Share)
		}
		names[t.Name] = true
		if shares += t.Share; shares > 1+rounding {
			return fmt.Errorf("%sshare: with those before it the shares come to %.3g, which is over 1", field, shares)
		}
	}
	if w := info.OverShareWorth; !(w >= 0 && w <= 1) {
		return fmt.Errorf("settings.over-share-worth: %v is no part of a call's worth", w)
	}
	return nil
}

// rounding is what shares, told with a few digits, may be over 1 together.
const rounding = 0.01

// holds names the first key that an object lacks.
func holds(text []byte, part, field string) error {
	var have map[string]json.RawMessage
	if err := json.Unmarshal(text, &have); err != nil {
		return fmt.Errorf("%s: %w", strings.TrimSuffix(field, "."), err)
	}
	for _, key := range needed[part] {
		if v, there := have[key]; !there || string(v) == "null" {
			return fmt.Errorf("%s%s: missing", field, key)
		}
	}
	return nil
}

// DecodeDeployment reads the part of the settings that concerns sockets. Keys it doesn't name are ignored.
func DecodeDeployment(text []byte) (Deployment, error) {
	var info struct {
		FamilyInfo struct {
			ClassCells [][]int   `json:"class-cells"`
			ClassHold  []micros  `json:"class-hold-us"`
			Widths     []float64 `json:"widths"`
		} `json:"family-info"`
		Limits struct {
			Connect   micros `json:"connect-timeout-us"`
			KeepAlive micros `json:"keepalive-us"`
			MaxOpen   int    `json:"max-open"`
			Peers     bool   `json:"peer-messages"`
			Probes    bool   `json:"probes"`
		} `json:"limits"`
		Me         *float64 `json:"me"`
		Zone       *float64 `json:"zone"`
		Tier       float64  `json:"peers-total"`
		LoadReport struct {
			Columns []string `json:"columns"`
		} `json:"load-report"`
		Classes []struct {
			Name      string `json:"name"`
			HardLimit micros `json:"hard-limit-us"`
			Objective micros `json:"objective-us"`
		} `json:"request-classes"`
	}
	if err := json.Unmarshal(text, &info); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	n := Deployment{
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
		n.Zone = int(min(max(*info.Zone, -1), 127))
	}
	if info.Me != nil {
		n.Self = int(*info.Me)
	}
	for i, c := range info.Classes {
		if c.Name == "" {
			return n, fmt.Errorf("settings: request-classes[%d].name: missing", i)
		}
		class := Class{Name: c.Name, MaxWait: c.HardLimit.duration()}
		if i < len(info.FamilyInfo.ClassCells) {
			class.Cells = info.FamilyInfo.ClassCells[i]
		}
		if i < len(info.FamilyInfo.Widths) {
			class.Lines = info.FamilyInfo.Widths[i]
		}
		if i < len(info.FamilyInfo.ClassHold) {
			n.MaxMeanHold = max(n.MaxMeanHold, info.FamilyInfo.ClassHold[i].duration())
		}
		n.Classes = append(n.Classes, class)
		n.MaxWait = max(n.MaxWait, class.MaxWait)
		if aim := c.Objective.duration(); aim > 0 && (n.MinAim == 0 || aim < n.MinAim) {
			n.MinAim = aim
		}
	}
	if names := n.ClassIndexes(); len(names) < len(n.Classes) {
		return n, fmt.Errorf("settings: request-classes: %d names for %d classes", len(names), len(n.Classes))
	}
	return n, nil
}
