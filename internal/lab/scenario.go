// Package lab is the project's emulator of the world round a fleet of softswitches: it starts several processes of
// the program, plays stand-in activation servers, a command channel and callers round them, relays the datagrams
// between them, injects faults by a timed schedule, and holds what it sees from outside against the rules.
//
// The judge (judge.go) and the scenario (this file) do no I/O; the rest of the package does sockets and processes.
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

// Scenario is one experiment, read from a TOML file. Times are Go durations ("1500ms"); rates are set-ups a second.
type Scenario struct {
	Name            string        `toml:"name"`
	Duration        Duration      `toml:"duration"`     // of the load; the run ends when the last give-up has passed
	Seed            uint64        `toml:"seed"`         // of every random choice the lab makes
	Softswitches    int           `toml:"softswitches"` // named n1..nN
	GiveUp          Duration      `toml:"give_up"`      // how long a caller waits for its answer
	Classes         []string      `toml:"classes"`      // the set-ups' classes, in turn; by default "voice"
	Settings        string        `toml:"settings"`     // the settings object as JSON; the lab's own by default
	Servers         []Server      `toml:"server"`       // the stand-in activation servers
	Load            []LoadStep    `toml:"load"`         // the callers' rate, a step function of time
	Faults          []Fault       `toml:"fault"`        // the schedule
	SampleInterval  Duration      `toml:"sample"`       // between samples of the softswitches' doors; 250ms by default
	MaxLag          Duration      `toml:"lag"`          // the lab's own lag past which a step is not judged; 20ms
	CallerConns     int           `toml:"callers"`      // connections of callers to each softswitch; 2 by default
	StartTimeout    Duration      `toml:"start"`        // how long a softswitch may take to become ready; 10s
	QuietPeriod     Duration      `toml:"quiet"`        // after the load, before the run ends; the give-up by default
	PeersEnabled    bool          `toml:"peers"`        // whether the softswitches are told their peers
	RandomFaults    []RandomFault `toml:"random_fault"` // faults drawn from the seed
	Tolerance       float64       `toml:"tolerance"`    // share by which the lab's counts may differ from the doors'
	ConvergenceTime Duration      `toml:"agree"`        // the softswitches' views must agree so long after the last fault; 0: not judged

	MaintenanceBudget int      `toml:"budget"`     // softswitches that may be out for work at once, by the judge; 0: not judged
	WorkDuration      Duration `toml:"work_takes"` // the lab's operator works on one that is ready for so long; 0: it never does
	WorkMethod        string   `toml:"work_by"`    // and then: "release" (at its door) or "restart" (SIGTERM, and a new process)
	ExpectMaintained  []string `toml:"maintained"` // must each have been maintained, once, at the end

	Membership map[string]any `toml:"membership"` // the softswitches' members file but for enabled; none: membership is off

	TotalCapacity float64 `toml:"-"` // filled: all servers' capacity
	indexByName   map[string]int
}

// Server is a stand-in activation server.
type Server struct {
	Name          string   `toml:"name"`
	Capacity      float64  `toml:"capacity"` // set-ups a second when warm
	Lines         int      `toml:"lines"`    // calls that may stand at once
	HoldTime      Duration `toml:"hold"`     // how long an answered call stands
	MaxQueueDelay Duration `toml:"queue"`    // the longest wait for its processor before it refuses as swamped
	StartAt       Duration `toml:"start"`    // a late, cold start; 0 is there and warm from the beginning
}

// LoadStep is the callers' rate from a moment on.
type LoadStep struct {
	At     Duration  `toml:"at"`
	Rate   float64   `toml:"rate"`
	Shares []float64 `toml:"shares"` // of each softswitch, in any unit; none: all alike
}

// Duration is a time.Duration written as text.
type Duration struct{ time.Duration }

// UnmarshalText reads "1500ms" and the like.
func (d *Duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// Limits bound what a scenario may ask for, so that every run is bounded in count and time.
var Limits = struct {
	Softswitches, Servers, Faults int
	Duration                      time.Duration
	Rate                          float64
}{Softswitches: 16, Servers: 32, Faults: 256, Duration: 10 * time.Minute, Rate: 20000}

// ReadScenario reads and checks a scenario file. An error is one line that names the field.
func ReadScenario(path string) (*Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, un := range meta.Undecoded() {
		if un[0] != "membership" { // its own reader checks that
			return nil, fmt.Errorf("%s: unknown field", un)
		}
	}
	return &s, s.Check()
}

// Check fills defaults and checks every field; the error names the first that makes no sense.
func (s *Scenario) Check() error {
	setDefault := func(d *Duration, v time.Duration) {
		if d.Duration == 0 {
			d.Duration = v
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
		return fmt.Errorf("server: %d of them, not in [1, %d]", len(s.Servers), Limits.Servers)
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
	s.TotalCapacity = 0
	for i := range s.Servers {
		v := &s.Servers[i]
		setDefault(&v.HoldTime, time.Second)
		setDefault(&v.MaxQueueDelay, 300*time.Millisecond)
		if v.Lines == 0 {
			v.Lines = 256
		}
		field := fmt.Sprintf("server[%d]", i)
		switch {
		case v.Name == "" || serverNames[v.Name]:
			return fmt.Errorf("%s.name: %q missing or twice", field, v.Name)
		case v.Capacity <= 0 || v.Capacity > Limits.Rate:
			return fmt.Errorf("%s.capacity: %v, not in (0, %v]", field, v.Capacity, Limits.Rate)
		case v.Lines < 1 || v.Lines > 100000:
			return fmt.Errorf("%s.lines: %d", field, v.Lines)
		case v.StartAt.Duration < 0:
			return fmt.Errorf("%s.start: %v", field, v.StartAt)
		}
		serverNames[v.Name] = true
		s.TotalCapacity += v.Capacity
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
		return fmt.Errorf("work_by: %q, neither release nor restart", s.WorkMethod)
	}
	for _, m := range s.ExpectMaintained {
		if _, ok := s.indexByName[m]; !ok {
			return fmt.Errorf("maintained: no softswitch %q", m)
		}
	}
	if s.ConvergenceTime.Duration < 0 || s.ConvergenceTime.Duration > time.Minute || s.ConvergenceTime.Duration > 0 && s.Membership == nil {
		return fmt.Errorf("agree: %v, not in [0, 1m] or no [membership]", s.ConvergenceTime)
	}
	if len(s.Load) == 0 {
		return fmt.Errorf("load: missing")
	}
	for i, l := range s.Load {
		if l.Rate < 0 || l.Rate > Limits.Rate || (i > 0 && l.At.Duration < s.Load[i-1].At.Duration) {
			return fmt.Errorf("load[%d]: rate %v or time %v out of order", i, l.Rate, l.At)
		}
		if n := len(l.Shares); n > 0 && (n != s.Softswitches || slices.Min(l.Shares) < 0 || slices.Max(l.Shares) <= 0) {
			return fmt.Errorf("load[%d].shares: %v, not one of each softswitch, none under and one over 0", i, l.Shares)
		}
	}
	if err := s.drawRandomFaults(); err != nil {
		return err
	}
	if len(s.Faults) > Limits.Faults {
		return fmt.Errorf("fault: %d of them, over %d", len(s.Faults), Limits.Faults)
	}
	for i, f := range s.Faults {
		if err := s.checkFault(f, serverNames); err != nil {
			return fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	return nil
}

// membersText is the members file that each softswitch is given.
func (s *Scenario) membersFileText() (string, error) {
	settings := map[string]any{"enabled": s.Membership != nil}
	maps.Copy(settings, s.Membership)
	var b strings.Builder
	err := toml.NewEncoder(&b).Encode(settings)
	return b.String(), err
}

// MemberName is the name of the softswitch at a place, from 0.
func MemberName(i int) string { return fmt.Sprintf("n%d", i+1) }

// Shares are those of the softswitches at a moment; nil: all alike.
func (s *Scenario) SharesAt(at time.Duration) (shares []float64) {
	for _, l := range s.Load {
		if l.At.Duration <= at {
			shares = l.Shares
		}
	}
	return shares
}

// Rate is the callers' rate at a moment.
func (s *Scenario) RateAt(at time.Duration) float64 {
	rate := 0.0
	for _, l := range s.Load {
		if l.At.Duration <= at {
			rate = l.Rate
		}
	}
	return rate
}
