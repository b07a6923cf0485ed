// Package settings decodes and validates the settings of a deployment, in the JSON form that the simulator and the
// platform share.
package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"elmseam"
)

// microseconds is a duration in the form of the settings: a number of microseconds.
type microseconds float64

// duration converts the number to a time.Duration.
func (m microseconds) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Microsecond))
}

// wireSettings is the JSON form of the settings that concern the decision module. Other keys are ignored.
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

// loadMetricByName maps the names of a load report's values (its columns) to their meanings.
var loadMetricByName = map[string]elmseam.LoadMetric{
	"spare":       elmseam.LoadMetricFreeLines,
	"total":       elmseam.LoadMetricTotalLines,
	"outstanding": elmseam.LoadMetricOutstanding,
	"backlog":     elmseam.LoadMetricQueue,
	"utilization": elmseam.LoadMetricUtilisation,
	"recent_ms":   elmseam.LoadMetricWait,
	"allowed":     elmseam.LoadMetricRate,
	"cut_by":      elmseam.LoadMetricHoldBackShare,
}

// LoadMetricByName returns the meaning of a value of a load report by its name; LoadMetricUnknown for other names.
func LoadMetricByName(name string) elmseam.LoadMetric { return loadMetricByName[name] }

// retryPolicyByEffect maps the values of a class's key "effect" to retry policies. Without the key, or with an empty value, the
// policy is elmseam.RetryAlways.
var retryPolicyByEffect = map[string]elmseam.RetryPolicy{
	"free":        elmseam.RetryAlways,
	"guarded":     elmseam.RetryGuarded,
	"single_shot": elmseam.RetryNever,
}

// Decode decodes the settings of the decision module. It fails for an unknown "effect", and doesn't check the settings for
// missing keys: see Validate.
func Decode(text []byte) (elmseam.Settings, error) {
	var parsed wireSettings
	parsed.FamilyInfo.OwnNumber = -1
	if err := json.Unmarshal(text, &parsed); err != nil {
		return elmseam.Settings{}, fmt.Errorf("settings: %w", err)
	}
	decoded := elmseam.Settings{
		OverShareWorth:     parsed.OverShareWorth,
		MaxAttempts:        parsed.Limits.MaxAttempts,
		CanCancel:          parsed.Limits.Cancel,
		OwnCell:            parsed.FamilyInfo.OwnNumber,
		RetransmitInterval: parsed.FamilyInfo.Retransmit.duration(),
		ReleaseGuard:       parsed.FamilyInfo.ReleaseGuard.duration(),
		ColdInitialShare:   parsed.Obligations.ColdFrom,
		ColdRamp:           parsed.Obligations.RampTime.duration(),
		OverloadMultiple:   parsed.Obligations.TipMultiple,
		OverloadAfter:      parsed.Obligations.TipAfter.duration(),
		ListOnRequest:      parsed.Discovery == "ask",
	}
	if parsed.Limits.RetryAfter {
		decoded.MaxRetryAfter = parsed.Limits.MaxRetryAfter.duration()
	}
	if parsed.LoadReport.Via != "off" {
		for _, name := range parsed.LoadReport.Columns {
			decoded.ReportMetrics = append(decoded.ReportMetrics, loadMetricByName[name])
		}
	}
	for i, entry := range parsed.Classes {
		retryPolicy, found := retryPolicyByEffect[entry.Effect]
		if !found && entry.Effect != "" {
			return decoded, fmt.Errorf("settings: class %d: unknown effect %q", i, entry.Effect)
		}
		class := elmseam.Class{Aim: entry.Objective.duration(), Deadline: entry.HardLimit.duration(), Worth: entry.Gain, Retry: retryPolicy}
		if i < len(parsed.FamilyInfo.ClassCells) {
			class.Cells = parsed.FamilyInfo.ClassCells[i]
		}
		decoded.Classes = append(decoded.Classes, class)
	}
	for _, tenant := range parsed.Tenants {
		decoded.Tenants = append(decoded.Tenants, elmseam.Tenant{Name: tenant.Name, Allowance: tenant.Allowance})
	}
	return decoded, nil
}

// Deployment holds the settings that a softswitch on sockets needs beside those of the decision module.
type Deployment struct {
	Classes             []Class       // classes of call, by index
	ReportMetrics       []string      // names of the values of a load report, in order, also if reports are off
	ConnectTimeout      time.Duration // a server that takes longer to connect to counts as unreachable
	MaxDeadline         time.Duration // longest Deadline of all classes
	MinAim              time.Duration // shortest aim of the classes that have one: the time within which a call should be established
	MaxOpenCalls        int           // max. calls open at the same time
	Self                int           // index of this softswitch in the tier; -1: not given
	Zone                int           // zone of this softswitch, at most 127; -1: not given
	TierSize            int           // number of softswitches in the tier; 0: not given
	PeerMessagesEnabled bool          // datagrams between softswitches are permitted
	ProbesEnabled       bool          // probes of connections to servers are permitted
}

// Class is a class of call under the name that callers use.
type Class struct {
	Name     string
	Deadline time.Duration // time after which the caller gives up
	Cells    []int         // cells (server groups) of the first choice; empty: any
	Lines    float64       // lines that a call takes; 0: not given
	Removed  bool          // not in the current configuration; calls in progress may still have this class
}

// ClassIndexes returns the indexes of the classes by name, without removed classes.
func (d Deployment) ClassIndexes() map[string]int {
	indexes := make(map[string]int)
	for i, class := range d.Classes {
		if !class.Removed {
			indexes[class.Name] = i
		}
	}
	return indexes
}

// KeepClassIndexes reorders the classes of the current configuration so that each class keeps the index it had in the
// old one, because calls in progress refer to their class by index. Classes that the current configuration lacks keep
// their index and are marked as removed; new classes follow at the end.
func KeepClassIndexes(oldDeployment Deployment, currentDeployment *Deployment, currentSettings *elmseam.Settings, oldSettings elmseam.Settings) {
	currentIndexes := currentDeployment.ClassIndexes()
	var classes []Class
	var controllerClasses []elmseam.Class
	for i, class := range oldDeployment.Classes {
		index, found := currentIndexes[class.Name]
		if !found {
			class.Removed = true
			classes, controllerClasses = append(classes, class), append(controllerClasses, oldSettings.Classes[i])
			continue
		}
		delete(currentIndexes, class.Name)
		classes, controllerClasses = append(classes, currentDeployment.Classes[index]), append(controllerClasses, currentSettings.Classes[index])
	}
	for i, class := range currentDeployment.Classes {
		if index, found := currentIndexes[class.Name]; found && index == i {
			classes, controllerClasses = append(classes, class), append(controllerClasses, currentSettings.Classes[i])
		}
	}
	currentDeployment.Classes, currentSettings.Classes = classes, controllerClasses
}

// requiredKeysBySection lists the keys that the settings must contain, by the object that contains them; "" is the outermost
// object. Without this check a truncated file whose braces were closed again would be read as settings
// whose values are zero.
var requiredKeysBySection = map[string][]string{
	"":                {"request-classes", "family-info", "limits", "load-report", "obligations"},
	"family-info":     {"own-number", "release-guard-us", "retransmit-us"},
	"limits":          {"max-attempts", "max-open", "connect-timeout-us", "retry-after", "max-retry-after-us", "cancel"},
	"load-report":     {"columns", "via"},
	"obligations":     {"cold-from", "ramp-time-us", "tip-after-us", "tip-multiple"},
	"request-classes": {"name", "effect", "gain", "hard-limit-us", "objective-us"},
}

// Validate checks that the settings contain every required key, that max-attempts and the classes' hard limits are
// positive, that lists with an entry per class have one for each, that the tenants' shares and allowances and over-share-worth are in
// their ranges, and that the settings don't contradict themselves. The text of an error is one line that names the field.
func Validate(text []byte) error {
	var topLevelKeys map[string]json.RawMessage
	if err := json.Unmarshal(text, &topLevelKeys); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := checkRequiredKeys(text, "", "settings."); err != nil {
		return err
	}
	for _, section := range []string{"family-info", "limits", "load-report", "obligations"} {
		if err := checkRequiredKeys(topLevelKeys[section], section, "settings."+section+"."); err != nil {
			return err
		}
	}
	var classes []json.RawMessage
	if err := json.Unmarshal(topLevelKeys["request-classes"], &classes); err != nil {
		return fmt.Errorf("settings.request-classes: %w", err)
	}
	for i, class := range classes {
		field := fmt.Sprintf("settings.request-classes[%d].", i)
		if err := checkRequiredKeys(class, "request-classes", field); err != nil {
			return err
		}
		var classLimits struct {
			HardLimit microseconds `json:"hard-limit-us"`
		}
		if err := json.Unmarshal(class, &classLimits); err != nil {
			return fmt.Errorf("%shard-limit-us: %w", field, err)
		}
		if classLimits.HardLimit.duration() <= 0 {
			return fmt.Errorf("%shard-limit-us: %v is not positive", field, float64(classLimits.HardLimit))
		}
	}
	if err := checkPerClassLists(topLevelKeys[perClassSection], len(classes)); err != nil {
		return err
	}
	var limits struct {
		MaxAttempts int `json:"max-attempts"`
	}
	if err := json.Unmarshal(topLevelKeys["limits"], &limits); err != nil {
		return fmt.Errorf("settings.limits.max-attempts: %w", err)
	}
	if limits.MaxAttempts <= 0 {
		return fmt.Errorf("settings.limits.max-attempts: %d is not positive", limits.MaxAttempts)
	}
	return checkConsistency(text)
}

// checkConsistency returns an error where the settings name a class, a tenant or a column of the load report twice, since
// only one of the two would take effect. It also returns one where they have no class or a value out of range.
func checkConsistency(text []byte) error {
	var parsed wireSettings
	if err := json.Unmarshal(text, &parsed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(parsed.Classes) == 0 {
		return fmt.Errorf("settings.request-classes: no classes")
	}
	seenNames := make(map[string]bool)
	for i, class := range parsed.Classes {
		if seenNames[class.Name] {
			return fmt.Errorf("settings.request-classes[%d].name: duplicate class %q", i, class.Name)
		}
		seenNames[class.Name] = true
	}
	clear(seenNames)
	for i, name := range parsed.LoadReport.Columns {
		if seenNames[name] {
			return fmt.Errorf("settings.load-report.columns[%d]: duplicate column %q", i, name)
		}
		seenNames[name] = true
	}
	clear(seenNames)
	shareSum := 0.0
	for i, tenant := range parsed.Tenants {
		field := fmt.Sprintf("settings.tenants[%d].", i)
		switch {
		case tenant.Name == "":
			return fmt.Errorf("%sname: missing", field)
		case seenNames[tenant.Name]:
			return fmt.Errorf("%sname: duplicate tenant %q", field, tenant.Name)
		case !(tenant.Allowance >= 0):
			return fmt.Errorf("%sallowance-per-s: %v is negative", field, tenant.Allowance)
		case !(tenant.Share >= 0):
			return fmt.Errorf("%sshare: %v is negative", field, tenant.Share)
		}
		seenNames[tenant.Name] = true
		if shareSum += tenant.Share; shareSum > 1+shareSumTolerance {
			return fmt.Errorf("%sshare: the shares up to this tenant sum to %.3g, which is more than 1", field, shareSum)
		}
	}
	if worth := parsed.OverShareWorth; !(worth >= 0 && worth <= 1) {
		return fmt.Errorf("settings.over-share-worth: %v is not between 0 and 1", worth)
	}
	return nil
}

// shareSumTolerance is how far the sum of the tenants' shares may exceed 1, because the shares are rounded to a few digits.
const shareSumTolerance = 0.01

// checkRequiredKeys returns an error that names the first required key that is missing or null in the JSON object text,
// with prefix before the key. section is the object's key in requiredKeysBySection.
func checkRequiredKeys(text []byte, section, prefix string) error {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		return fmt.Errorf("%s: %w", strings.TrimSuffix(prefix, "."), err)
	}
	for _, key := range requiredKeysBySection[section] {
		if value, found := object[key]; !found || string(value) == "null" {
			return fmt.Errorf("%s%s: missing", prefix, key)
		}
	}
	return nil
}

// DecodeDeployment decodes the settings that Deployment holds. Other keys are ignored. It fails for a class without a name
// and for two classes of the same name.
func DecodeDeployment(text []byte) (Deployment, error) {
	var parsed struct {
		FamilyInfo struct {
			ClassCells [][]int   `json:"class-cells"`
			Widths     []float64 `json:"widths"`
		} `json:"family-info"`
		Limits struct {
			Connect microseconds `json:"connect-timeout-us"`
			MaxOpen int          `json:"max-open"`
			Peers   bool         `json:"peer-messages"`
			Probes  bool         `json:"probes"`
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
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	deployment := Deployment{
		ReportMetrics:       parsed.LoadReport.Columns,
		ConnectTimeout:      parsed.Limits.Connect.duration(),
		MaxOpenCalls:        parsed.Limits.MaxOpen,
		Self:                -1,
		Zone:                -1,
		TierSize:            int(parsed.Tier),
		PeerMessagesEnabled: parsed.Limits.Peers,
		ProbesEnabled:       parsed.Limits.Probes,
	}
	if parsed.Zone != nil {
		deployment.Zone = int(min(max(*parsed.Zone, -1), 127))
	}
	if parsed.Me != nil {
		deployment.Self = int(*parsed.Me)
	}
	for i, entry := range parsed.Classes {
		if entry.Name == "" {
			return deployment, fmt.Errorf("settings: request-classes[%d].name: missing", i)
		}
		class := Class{Name: entry.Name, Deadline: entry.HardLimit.duration()}
		if i < len(parsed.FamilyInfo.ClassCells) {
			class.Cells = parsed.FamilyInfo.ClassCells[i]
		}
		if i < len(parsed.FamilyInfo.Widths) {
			class.Lines = parsed.FamilyInfo.Widths[i]
		}
		deployment.Classes = append(deployment.Classes, class)
		deployment.MaxDeadline = max(deployment.MaxDeadline, class.Deadline)
		if aim := entry.Objective.duration(); aim > 0 && (deployment.MinAim == 0 || aim < deployment.MinAim) {
			deployment.MinAim = aim
		}
	}
	if indexes := deployment.ClassIndexes(); len(indexes) < len(deployment.Classes) {
		return deployment, fmt.Errorf("settings: request-classes: %d different names for %d classes", len(indexes), len(deployment.Classes))
	}
	return deployment, nil
}
