package lab

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Largest values of a plan, so that every trial is limited in size and time.
const (
	maxTrialSoftswitches = 5
	maxTrialServers      = 5
	maxTrialSteps        = 200
	maxTrialLength       = 10 * time.Minute
)

// ReadTrialPlan reads and checks the plan of a trial. The error is one line that names the invalid field.
func ReadTrialPlan(path string) (TrialPlan, error) {
	var plan TrialPlan
	meta, err := toml.DecodeFile(path, &plan)
	if err != nil {
		return plan, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return plan, fmt.Errorf("%s: %s: unknown field", path, unknown[0])
	}
	if err := plan.check(); err != nil {
		return plan, fmt.Errorf("%s: %w", path, err)
	}
	return plan, nil
}

// encode returns the plan in the form that ReadTrialPlan reads.
func (p TrialPlan) encode() ([]byte, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(p)
	return text.Bytes(), err
}

// check returns an error that names the first invalid field.
func (p TrialPlan) check() error {
	switch {
	case p.Softswitches < 1 || p.Softswitches > maxTrialSoftswitches:
		return fmt.Errorf("softswitches: %d, not in [1, %d]", p.Softswitches, maxTrialSoftswitches)
	case p.Servers < 1 || p.Servers > maxTrialServers:
		return fmt.Errorf("servers: %d, not in [1, %d]", p.Servers, maxTrialServers)
	case p.Length <= 0 || p.Length > maxTrialLength:
		return fmt.Errorf("length: %v, not in (0, %v]", p.Length, maxTrialLength)
	case p.Deadline < 100*time.Millisecond || p.Deadline > time.Minute:
		return fmt.Errorf("deadline: %v, not in [100ms, 1m]", p.Deadline)
	case p.HoldTime <= 0:
		return fmt.Errorf("hold: %v is not positive", p.HoldTime)
	case p.ServiceTime < 0:
		return fmt.Errorf("service: %v is negative", p.ServiceTime)
	case p.ReportInterval < 0:
		return fmt.Errorf("report_interval: %v is negative", p.ReportInterval)
	case !(p.Capacity > 0):
		return fmt.Errorf("capacity: %v is not positive", p.Capacity)
	case p.Interval < time.Millisecond:
		return fmt.Errorf("interval: %v, under 1ms", p.Interval)
	case p.Connections < 1:
		return fmt.Errorf("connections: %d is not positive", p.Connections)
	case p.Sockets < 32:
		return fmt.Errorf("sockets: %d, under 32", p.Sockets)
	case !(p.Rude >= 0 && p.Rude <= 1):
		return fmt.Errorf("rude: %v, not in [0, 1]", p.Rude)
	case len(p.Steps) > maxTrialSteps:
		return fmt.Errorf("step: %d steps, more than %d", len(p.Steps), maxTrialSteps)
	}
	if err := p.ServerFaults.check(); err != nil {
		return err
	}
	for i, step := range p.Steps {
		if i > 0 && step.At < p.Steps[i-1].At {
			return fmt.Errorf("step[%d].at: %v is before the step above it", i, step.At)
		}
		if err := p.checkStep(step); err != nil {
			return fmt.Errorf("step[%d].%w", i, err)
		}
	}
	return nil
}

// check returns an error that names the first invalid field.
func (f ServerFaults) check() error {
	for name, probability := range map[string]float64{"refuse": f.Refuse, "fail": f.Fail, "reset": f.Reset, "spoil": f.Spoil,
		"double": f.Double, "mute": f.Mute, "close_early": f.CloseEarly} {
		if !(probability >= 0 && probability <= 1) {
			return fmt.Errorf("server_faults.%s: %v, not in [0, 1]", name, probability)
		}
	}
	if f.IdleClose < 0 {
		return fmt.Errorf("server_faults.idle_close: %v is negative", f.IdleClose)
	}
	return nil
}

// The kinds of steps by what they need.
var (
	serverSteps     = []StepKind{StepCutOff, StepVanish, StepHang, StepDie, StepReplace, StepTakeOver, StepReset, StepLate}
	softswitchSteps = []StepKind{StepReconfigure, StepKill, StepSignals, StepRestart}
	otherSteps      = []StepKind{StepDiscovery, StepSilence}
)

// checkStep returns an error that names the first invalid field of a step.
func (p TrialPlan) checkStep(step TrialStep) error {
	needsServer := slices.Contains(serverSteps, step.Kind) || step.Kind == StepDiscovery && step.Drain
	needsSoftswitch := slices.Contains(softswitchSteps, step.Kind)
	switch {
	case !needsServer && !needsSoftswitch && !slices.Contains(otherSteps, step.Kind):
		return fmt.Errorf("kind: %q is not one of %q", step.Kind, slices.Concat(serverSteps, softswitchSteps, otherSteps))
	case step.At < 0 || step.At > p.Length:
		return fmt.Errorf("at: %v, not in [0, %v]", step.At, p.Length)
	case step.Duration < 0:
		return fmt.Errorf("for: %v is negative", step.Duration)
	case step.Pause < 0:
		return fmt.Errorf("pause: %v is negative", step.Pause)
	case needsServer && (step.Server < 1 || step.Server > p.Servers):
		return fmt.Errorf("server: %d, not in [1, %d]", step.Server, p.Servers)
	case needsSoftswitch && (step.Softswitch < 1 || step.Softswitch > p.Softswitches):
		return fmt.Errorf("softswitch: %d, not in [1, %d]", step.Softswitch, p.Softswitches)
	case step.Kind == StepRestart && (step.Count < 1 || step.Count > p.Softswitches):
		return fmt.Errorf("count: %d, not in [1, %d]", step.Count, p.Softswitches)
	case step.Early < 0:
		return fmt.Errorf("early: %v is negative", step.Early)
	case step.Kind == StepTakeOver && (step.Count < 0 || step.Count > 10):
		return fmt.Errorf("count: %d, not in [0, 10]", step.Count)
	case step.Kind == StepTakeOver && !slices.Contains(takeOverOrders, takeOverOrder(step.Mode)):
		return fmt.Errorf("mode: %q is not one of %q", step.Mode, takeOverOrders)
	case (step.Kind == StepReconfigure || step.Kind == StepSignals) && (step.Count < 1 || step.Count > 100):
		return fmt.Errorf("count: %d, not in [1, 100]", step.Count)
	}
	if step.Kind == StepDiscovery {
		_, err := parseChannelMode(step.Mode)
		return err
	}
	return nil
}
