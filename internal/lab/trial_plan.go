package lab

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// trialClass is the class of all set-ups of a trial.
const trialClass = "activate"

// TrialPlan says what happens in a trial. The seed draws it (DrawTrial), or a file gives it (ReadTrialPlan).
type TrialPlan struct {
	Seed           uint64        `toml:"seed"` // of all random numbers of the trial, besides the plan
	Softswitches   int           `toml:"softswitches"`
	Servers        int           `toml:"servers"`
	Length         time.Duration `toml:"length"`          // how long the callers send set-ups
	Deadline       time.Duration `toml:"deadline"`        // longest time that a caller waits
	HoldTime       time.Duration `toml:"hold"`            // mean duration of a call
	ServiceTime    time.Duration `toml:"service"`         // longest time in which a server answers
	ReportInterval time.Duration `toml:"report_interval"` // of the servers; 0: none
	Capacity       float64       `toml:"capacity"`        // set-ups a second of a warm server
	Interval       time.Duration `toml:"interval"`        // mean time between two set-ups to one softswitch
	Connections    int           `toml:"connections"`     // callers' connections to one softswitch
	Sockets        int           `toml:"sockets"`         // limit on descriptors
	Rude           float64       `toml:"rude"`            // share of the callers that give up early, repeat at once, leave or write slowly
	ServerFaults   ServerFaults  `toml:"server_faults"`
	Steps          []TrialStep   `toml:"step"` // in the order of their times
}

// ServerFaults are the probabilities and times of what goes wrong at the servers in ordinary operation.
type ServerFaults struct {
	Refuse     float64       `toml:"refuse"`      // probability for each set-up, as those below
	Fail       float64       `toml:"fail"`        // an error
	Reset      float64       `toml:"reset"`       // the connection is reset
	Spoil      float64       `toml:"spoil"`       // the answer can't be read
	Double     float64       `toml:"double"`      // the answer comes twice
	Mute       float64       `toml:"mute"`        // no answer
	CloseEarly float64       `toml:"close_early"` // probability for each connection
	Pieces     bool          `toml:"pieces"`      // lines are written in pieces
	IdleClose  time.Duration `toml:"idle_close"`  // idle connections are closed after this time; 0: never
}

// StepKind is the kind of a fault of a trial.
type StepKind string

// The kinds of faults. Server, Softswitch and the other capitalised words are fields of TrialStep.
const (
	StepCutOff      StepKind = "cut off"     // the machine of Server is unreachable for Duration, and goes on
	StepVanish      StepKind = "vanish"      // the same; with NewProcess, a process returns that knows none of the calls
	StepHang        StepKind = "hang"        // the process of Server does nothing for Duration; its kernel takes connections
	StepDie         StepKind = "die"         // the process of Server ends and is restarted after Duration
	StepReplace     StepKind = "replace"     // Server drains for Duration, ends, and after Pause another one has its address
	StepTakeOver    StepKind = "take over"   // another process has the address of Server after Duration; the list tells after Pause, as Mode says; Count times
	StepReset       StepKind = "reset"       // all connections to Server are reset
	StepLate        StepKind = "late"        // new connections to Server come up after Duration
	StepDiscovery   StepKind = "discovery"   // discovery fails as Mode says for Duration; with Drain, Server drains close to its return
	StepSilence     StepKind = "silence"     // the open streams of discovery fall silent
	StepReconfigure StepKind = "reconfigure" // Softswitch gets Count new configurations in quick succession
	StepKill        StepKind = "kill"        // Softswitch is killed and restarted after Duration
	StepSignals     StepKind = "signals"     // Softswitch gets Count new configurations and two SIGTERM in quick succession, and is restarted
	StepRestart     StepKind = "restart"     // Count softswitches from Softswitch on are restarted in turn, with a pause of Duration / 3
)

// TrialStep is one fault. Which fields count depends on the kind.
type TrialStep struct {
	At         time.Duration `toml:"at"` // since the callers began
	Kind       StepKind      `toml:"kind"`
	Server     int           `toml:"server,omitempty"`     // number, from 1
	Softswitch int           `toml:"softswitch,omitempty"` // number, from 1
	Duration   time.Duration `toml:"for,omitempty"`
	Pause      time.Duration `toml:"pause,omitempty"`
	Early      time.Duration `toml:"early,omitempty"` // by which the list tells the start of a process before the former one's end
	NewProcess bool          `toml:"new_process,omitempty"`
	Drain      bool          `toml:"drain,omitempty"`
	Mode       string        `toml:"mode,omitempty"` // how discovery fails, or in which order the list tells
	Count      int           `toml:"count,omitempty"`
}

// settle is the time after the callers' last set-up until a trial ends, in which calls end and releases come due.
const settle = 12 * time.Second

// planDrawer draws a plan.
type planDrawer struct {
	rng *rand.Rand
	// pauses draws the pauses of replacements.
	pauses *rand.Rand
}

// between draws a time.
func (d planDrawer) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)+1))
}

// chance is true with a probability.
func (d planDrawer) chance(probability float64) bool { return d.rng.Float64() < probability }

// DrawTrial draws the trial of a seed.
func DrawTrial(seed uint64) TrialPlan {
	d := planDrawer{rng: rand.New(rand.NewPCG(seed, 0x747269616c)), pauses: rand.New(rand.NewPCG(seed, 0x7061757365))}
	plan := TrialPlan{
		Seed: seed, Softswitches: 1 + d.rng.IntN(3), Servers: 2 + d.rng.IntN(2), Length: d.between(14*time.Second, 24*time.Second),
		Deadline: d.between(400*time.Millisecond, 3500*time.Millisecond), HoldTime: d.between(time.Second, 9*time.Second),
		ServiceTime: d.between(2*time.Millisecond, 60*time.Millisecond), ReportInterval: d.between(110*time.Millisecond, 890*time.Millisecond),
		Interval: d.between(8*time.Millisecond, 60*time.Millisecond), Connections: 2 + d.rng.IntN(6), Sockets: 64 << d.rng.IntN(5),
	}
	if d.chance(0.15) {
		plan.ReportInterval = 0
	}
	if d.chance(0.2) { // a crowd
		plan.Connections, plan.Interval = plan.Sockets/4, 4*time.Millisecond
	}
	plan.Connections = min(plan.Connections, plan.Sockets/4)
	rate := float64(plan.Softswitches) * float64(time.Second) / float64(plan.Interval)
	plan.Capacity = rate / float64(plan.Servers) * (0.9 + 2*d.rng.Float64())
	if d.chance(0.5) {
		plan.Rude = 0.05 + 0.25*d.rng.Float64()
	}
	plan.ServerFaults = d.drawServerFaults()
	for at := d.between(time.Second, 3*time.Second); at < plan.Length; at += d.between(200*time.Millisecond, 3500*time.Millisecond) {
		step := d.drawStep(plan)
		step.At = at
		plan.Steps = append(plan.Steps, step)
	}
	return plan
}

// drawServerFaults draws what goes wrong at the servers in ordinary operation.
func (d planDrawer) drawServerFaults() (faults ServerFaults) {
	for _, probability := range []*float64{&faults.Refuse, &faults.Fail, &faults.Reset, &faults.Spoil, &faults.Double, &faults.Mute, &faults.CloseEarly} {
		if d.chance(0.25) {
			*probability = 0.05 * d.rng.Float64()
		}
	}
	faults.Pieces = d.chance(0.2)
	if d.chance(0.2) {
		faults.IdleClose = d.between(300*time.Millisecond, 3*time.Second)
	}
	return faults
}

// drawStep draws one fault.
func (d planDrawer) drawStep(plan TrialPlan) TrialStep {
	server, softswitch := 1+d.rng.IntN(plan.Servers), 1+d.rng.IntN(plan.Softswitches)
	short, long := d.between(300*time.Millisecond, 3*time.Second), d.between(time.Second, 12*time.Second)
	switch d.rng.IntN(12) {
	case 0:
		return TrialStep{Kind: StepCutOff, Server: server, Duration: short}
	case 1:
		return TrialStep{Kind: StepVanish, Server: server, Duration: long, NewProcess: d.chance(0.6)}
	case 2:
		return TrialStep{Kind: StepHang, Server: server, Duration: long}
	case 3:
		return TrialStep{Kind: StepDie, Server: server, Duration: short}
	case 4, 5:
		return TrialStep{Kind: StepReplace, Server: server, Duration: short, Pause: time.Duration(d.pauses.Int64N(int64(2 * time.Second)))}
	case 6:
		return TrialStep{Kind: StepReset, Server: server}
	case 7:
		return TrialStep{Kind: StepLate, Server: server, Duration: d.between(200*time.Millisecond, time.Second)}
	case 8:
		mode := channelMode(1 + d.rng.IntN(int(channelModeCount)-1))
		return TrialStep{Kind: StepDiscovery, Mode: mode.String(), Duration: long, Drain: d.chance(0.6), Server: server}
	case 9:
		if d.chance(0.5) {
			return TrialStep{Kind: StepSilence}
		}
		return TrialStep{Kind: StepReconfigure, Softswitch: softswitch, Count: 1 + d.rng.IntN(4)}
	case 10:
		return TrialStep{Kind: StepKill, Softswitch: softswitch, Duration: short}
	}
	return TrialStep{Kind: StepRestart, Softswitch: softswitch, Count: 1 + d.rng.IntN(plan.Softswitches), Duration: short}
}

// settings returns the settings object of the trial's softswitches.
func (p TrialPlan) settings() json.RawMessage {
	text, _ := json.Marshal(map[string]any{
		"request-classes": []any{map[string]any{"name": trialClass, "effect": "free", "gain": 1,
			"objective-us": p.Deadline.Microseconds() / 2, "hard-limit-us": p.Deadline.Microseconds()}},
		"family-info": map[string]any{"own-number": -1, "topology": "groups", "release-guard-us": 200000, "retransmit-us": 500000},
		"limits": map[string]any{"max-attempts": 4, "max-open": 2000, "connect-timeout-us": 500000, "retry-after": true,
			"max-retry-after-us": 2000000, "cancel": true},
		"load-report": map[string]any{"columns": []string{"spare", "total", "cut_by"}, "via": "inline"},
		"obligations": map[string]any{"cold-from": 0.3, "ramp-time-us": 14000000, "tip-multiple": 2.5, "tip-after-us": 1000000, "drain-grace-us": 250000},
	})
	return text
}
