package lab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"elmseam/internal/config"
)

// Scenario is one experiment, read from a TOML file. Times are Go durations ("1500ms"); rates are in set-ups a
// second.
type Scenario struct {
	Name           string        `toml:"name"`
	Duration       Duration      `toml:"duration"`     // how long the load lasts; for the run's end, see QuietPeriod and ConvergenceTime
	Seed           uint64        `toml:"seed"`         // seed of every random choice that the lab makes
	Softswitches   int           `toml:"softswitches"` // number of softswitches; they are named n1..nN
	GiveUp         Duration      `toml:"give_up"`      // how long a caller waits for its answer; 1500ms by default
	Classes        []string      `toml:"classes"`      // classes of the set-ups, used in turn; by default "voice"
	Settings       string        `toml:"settings"`     // the settings object as JSON; by default DefaultSettings
	Servers        []Server      `toml:"server"`       // the stand-in servers
	Load           []LoadStep    `toml:"load"`         // the callers' rate, a step function of time
	Faults         []Fault       `toml:"fault"`        // the faults at fixed times; Check adds the random ones
	SampleInterval Duration      `toml:"sample"`       // interval of the samples of the admin endpoints; 250ms by default
	MaxLag         Duration      `toml:"lag"`          // load generator's lag above which violations are ignored; 20ms by default
	CallerConns    int           `toml:"callers"`      // number of callers' connections to each softswitch; 2 by default
	StartTimeout   Duration      `toml:"start"`        // how long softswitches started together may take to be ready; 10s by default
	QuietPeriod    Duration      `toml:"quiet"`        // from the last give-up to the run's end, at least; GiveUp by default
	PeersEnabled   bool          `toml:"peers"`        // whether the softswitches know their peers
	RandomFaults   []RandomFault `toml:"random_fault"` // faults drawn from the seed
	// Tolerance is the share by which the lab's count of served set-ups may differ from the admin endpoints' count;
	// 0.02 by default.
	Tolerance float64 `toml:"tolerance"`
	// ConvergenceTime is the least time between the end of the last fault and the end of the run, when the softswitches'
	// views must agree and ExpectMaintained is checked; 0: neither is checked.
	ConvergenceTime Duration `toml:"agree"`

	// MaintenanceBudget is the number of softswitches that may be out for maintenance at once; 0: not checked, and
	// no operator works.
	MaintenanceBudget int `toml:"budget"`
	// WorkDuration is how long the lab's operator works on a softswitch that is ready for maintenance; 0: never.
	WorkDuration Duration `toml:"work_takes"`
	// WorkMethod is how the operator ends the work: "release" (a request to the admin endpoint; the default) or
	// "restart" (SIGTERM and a new process).
	WorkMethod string `toml:"work_by"`
	// ExpectMaintained are softswitches that must each have been ready for maintenance exactly once, and be back in
	// service, at the end; checked only with a ConvergenceTime.
	ExpectMaintained []string `toml:"maintained"`

	// Membership is the softswitches' members file without "enabled"; nil: membership is off.
	Membership map[string]any `toml:"membership"`

	indexByName map[string]int // index of each softswitch; filled by Check
}

// Server is a stand-in server.
type Server struct {
	Name     string   `toml:"name"`
	Capacity float64  `toml:"capacity"` // set-ups a second when warm
	Lines    int      `toml:"lines"`    // established calls at which further set-ups are refused as blocked; 256 by default
	HoldTime Duration `toml:"hold"`     // how long an answered call stays established; 1s by default
	// MaxQueueDelay is the longest wait for the server's processor; a set-up that would wait longer is refused as
	// swamped. 300ms by default.
	MaxQueueDelay Duration `toml:"queue"`
	StartAt       Duration `toml:"start"` // time of a late, cold start; 0: running and warm from the beginning
}

// LoadStep is the callers' rate from a time on.
type LoadStep struct {
	At     Duration  `toml:"at"`
	Rate   float64   `toml:"rate"`   // set-ups a second
	Shares []float64 `toml:"shares"` // each softswitch's share of the load, in any unit; none: equal shares
}

// Duration is a time.Duration that is written as text in a scenario.
type Duration struct{ time.Duration }

// UnmarshalText parses a Go duration such as "1500ms".
func (d *Duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// Limits are the maximum values of a scenario, so that every run is limited in size and time. Rate is in set-ups a second
// and also limits the servers' capacities.
var Limits = struct {
	Softswitches, Servers, Faults int
	Duration                      time.Duration
	Rate                          float64
}{Softswitches: 16, Servers: 32, Faults: 256, Duration: 10 * time.Minute, Rate: 20000}

// ReadScenario reads and checks a scenario file. The error is one line that names the invalid field.
func ReadScenario(path string) (*Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range meta.Undecoded() {
		if key[0] != "membership" { // config.ParseMembers checks these fields
			return nil, fmt.Errorf("%s: unknown field", key)
		}
	}
	return &s, s.Check()
}

// Check fills in defaults, checks the fields, adds the random faults to Faults and sorts Faults by time. A second call
// would add the random faults again. The error names the first invalid field found; Run checks Settings.
func (s *Scenario) Check() error {
	setDefault := func(d *Duration, value time.Duration) {
		if d.Duration == 0 {
			d.Duration = value
		}
	}
	setDefault(&s.GiveUp, 1500*time.Millisecond)
	setDefault(&s.SampleInterval, 250*time.Millisecond)
	setDefault(&s.MaxLag, 20*time.Millisecond)
	setDefault(&s.StartTimeout, 10*time.Second)
	setDefault(&s.QuietPeriod, s.GiveUp.Duration)
	if s.CallerConns == 0 {
		s.CallerConns = 2
	}
	if len(s.Classes) == 0 {
		s.Classes = []string{"voice"}
	}
	if s.Tolerance == 0 {
		s.Tolerance = 0.02
	}
	switch {
	case s.Name == "":
		return fmt.Errorf("name: missing")
	case s.Duration.Duration <= 0 || s.Duration.Duration > Limits.Duration:
		return fmt.Errorf("duration: %v, not in (0, %v]", s.Duration, Limits.Duration)
	case s.Softswitches < 1 || s.Softswitches > Limits.Softswitches:
		return fmt.Errorf("softswitches: %d, not in [1, %d]", s.Softswitches, Limits.Softswitches)
	case s.GiveUp.Duration < 100*time.Millisecond || s.GiveUp.Duration > time.Minute:
		return fmt.Errorf("give_up: %v, not in [100ms, 1m]", s.GiveUp)
	case len(s.Servers) == 0 || len(s.Servers) > Limits.Servers:
		return fmt.Errorf("server: %d servers, not in [1, %d]", len(s.Servers), Limits.Servers)
	case s.CallerConns < 1 || s.CallerConns > 64:
		return fmt.Errorf("callers: %d, not in [1, 64]", s.CallerConns)
	case s.SampleInterval.Duration < 10*time.Millisecond:
		return fmt.Errorf("sample: %v, under 10ms", s.SampleInterval)
	case s.Tolerance < 0 || s.Tolerance > 1:
		return fmt.Errorf("tolerance: %v, not in [0, 1]", s.Tolerance)
	}
	s.indexByName = make(map[string]int)
	for i := range s.Softswitches {
		s.indexByName[MemberName(i)] = i
	}
	serverNames := map[string]bool{}
	for i := range s.Servers {
		server := &s.Servers[i]
		setDefault(&server.HoldTime, time.Second)
		setDefault(&server.MaxQueueDelay, 300*time.Millisecond)
		if server.Lines == 0 {
			server.Lines = 256
		}
		field := fmt.Sprintf("server[%d]", i)
		switch {
		case server.Name == "" || serverNames[server.Name]:
			return fmt.Errorf("%s.name: %q is empty or used twice", field, server.Name)
		case server.Capacity <= 0 || server.Capacity > Limits.Rate:
			return fmt.Errorf("%s.capacity: %v, not in (0, %v]", field, server.Capacity, Limits.Rate)
		case server.Lines < 1 || server.Lines > 100000:
			return fmt.Errorf("%s.lines: %d, not in [1, 100000]", field, server.Lines)
		case server.StartAt.Duration < 0:
			return fmt.Errorf("%s.start: %v, negative", field, server.StartAt)
		}
		serverNames[server.Name] = true
	}
	if s.Membership != nil {
		text, err := s.membersFileText()
		if err == nil {
			_, err = config.ParseMembers(text)
		}
		if err != nil {
			return fmt.Errorf("membership: %w", err)
		}
		if !s.PeersEnabled {
			return fmt.Errorf("membership: needs peers = true")
		}
	}
	if s.WorkMethod != "" && s.WorkMethod != "release" && s.WorkMethod != "restart" {
		return fmt.Errorf("work_by: %q, want release or restart", s.WorkMethod)
	}
	for _, name := range s.ExpectMaintained {
		if _, ok := s.indexByName[name]; !ok {
			return fmt.Errorf("maintained: no softswitch %q", name)
		}
	}
	if s.ConvergenceTime.Duration < 0 || s.ConvergenceTime.Duration > time.Minute ||
		s.ConvergenceTime.Duration > 0 && s.Membership == nil {
		return fmt.Errorf("agree: %v, not in [0, 1m], or set without [membership]", s.ConvergenceTime)
	}
	if len(s.Load) == 0 {
		return fmt.Errorf("load: missing")
	}
	for i, step := range s.Load {
		if step.Rate < 0 || step.Rate > Limits.Rate || (i > 0 && step.At.Duration < s.Load[i-1].At.Duration) {
			return fmt.Errorf("load[%d]: rate %v out of range, or time %v before the previous step", i, step.Rate, step.At)
		}
		if n := len(step.Shares); n > 0 && (n != s.Softswitches || slices.Min(step.Shares) < 0 || slices.Max(step.Shares) <= 0) {
			return fmt.Errorf("load[%d].shares: %v, want one share for each softswitch, none negative and at least one positive", i, step.Shares)
		}
	}
	if err := s.drawRandomFaults(); err != nil {
		return err
	}
	if len(s.Faults) > Limits.Faults {
		return fmt.Errorf("fault: %d faults, more than %d", len(s.Faults), Limits.Faults)
	}
	for i, fault := range s.Faults {
		if err := s.checkFault(fault, serverNames); err != nil {
			return fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	return nil
}

// membersFileText returns the members file that every softswitch reads.
func (s *Scenario) membersFileText() (string, error) {
	settings := map[string]any{"enabled": s.Membership != nil}
	maps.Copy(settings, s.Membership)
	var b strings.Builder
	err := toml.NewEncoder(&b).Encode(settings)
	return b.String(), err
}

// MemberName returns the name of the softswitch with an index, from 0.
func MemberName(index int) string { return fmt.Sprintf("n%d", index+1) }

// SharesAt returns the softswitches' shares of the load at a time; nil: equal shares.
func (s *Scenario) SharesAt(at time.Duration) (shares []float64) {
	for _, step := range s.Load {
		if step.At.Duration <= at {
			shares = step.Shares
		}
	}
	if len(shares) == 0 {
		return nil
	}
	return shares
}

// RateAt returns the callers' rate at a time, in set-ups a second.
func (s *Scenario) RateAt(at time.Duration) float64 {
	rate := 0.0
	for _, step := range s.Load {
		if step.At.Duration <= at {
			rate = step.Rate
		}
	}
	return rate
}
