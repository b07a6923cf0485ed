package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one entry of the schedule. Which fields count depends on the kind:
//
//	kill, term         target softswitches; restarted under the same name and address after For (0: never)
//	pause              target softswitches stopped (SIGSTOP) for For
//	restart            every softswitch killed at once, all restarted after For
//	partition          datagrams between Groups dropped for For; OneWay drops only from the first group to the others
//	loss, duplicate    datagrams dropped or doubled with chance Share for For
//	delay, reorder     datagrams held By (reorder: a random share of By, so they pass each other) for For
//	reset, stall       the connections between target softswitches and Server reset, or left silent for For
//	slow               Server works Factor times slower for For
//	drain, gone        Server told draining or gone on the command channel
//	maintain, withdraw target softswitches asked for, or withdrawn, at the door of Via
type Fault struct {
	At          Duration   `toml:"at"`
	Kind        string     `toml:"kind"`
	Target      []string   `toml:"target"`
	Server      string     `toml:"server"`
	Duration    Duration   `toml:"for"`
	Groups      [][]string `toml:"groups"`
	OneWay      bool       `toml:"one_way"`
	Probability float64    `toml:"share"`
	Delay       Duration   `toml:"by"`
	Factor      float64    `toml:"factor"`
	Via         string     `toml:"via"`
}

// RandomFault draws Count faults of a kind at moments in [From, To): softswitches, servers and the sides of a partition
// are chosen from the seed, and whether it is one-way; For, Share, By and Factor are every one's.
type RandomFault struct {
	Kind        string   `toml:"kind"`
	Count       int      `toml:"count"`
	From        Duration `toml:"from"`
	To          Duration `toml:"to"`
	Duration    Duration `toml:"for"`
	Probability float64  `toml:"share"`
	Delay       Duration `toml:"by"`
	Factor      float64  `toml:"factor"`
}

// drawn are the kinds that can be drawn. What the channel tells, and what operators ask for, is the scenario's to say.
var randomFaultKinds = []string{"kill", "term", "pause", "partition", "loss", "duplicate", "delay", "reorder", "reset", "stall", "slow"}

var faultKinds = []string{"kill", "term", "pause", "restart", "partition", "loss", "duplicate", "delay", "reorder",
	"reset", "stall", "slow", "drain", "gone", "maintain", "withdraw"}

func (s *Scenario) checkFault(fault Fault, serverNames map[string]bool) error {
	if !slices.Contains(faultKinds, fault.Kind) {
		return fmt.Errorf("kind: %q is none of %v", fault.Kind, faultKinds)
	}
	if fault.At.Duration < 0 || fault.At.Duration > s.Duration.Duration {
		return fmt.Errorf("at: %v, not within the run", fault.At)
	}
	for _, t := range fault.Target {
		if _, ok := s.indexByName[t]; !ok {
			return fmt.Errorf("target: no softswitch %q", t)
		}
	}
	for _, g := range fault.Groups {
		for _, t := range g {
			if _, ok := s.indexByName[t]; !ok {
				return fmt.Errorf("groups: no softswitch %q", t)
			}
		}
	}
	switch fault.Kind {
	case "kill", "term", "pause":
		if len(fault.Target) == 0 {
			return fmt.Errorf("target: missing")
		}
	case "maintain", "withdraw":
		if _, ok := s.indexByName[fault.Via]; !ok {
			return fmt.Errorf("via: no softswitch %q", fault.Via)
		}
		if len(fault.Target) == 0 {
			return fmt.Errorf("target: missing")
		}
		if s.Membership == nil || s.MaintenanceBudget < 1 {
			return fmt.Errorf("kind: %q needs [membership] with maintenance, and budget", fault.Kind)
		}
	case "partition":
		if len(fault.Groups) < 2 {
			return fmt.Errorf("groups: %d, at least two", len(fault.Groups))
		}
	case "loss", "duplicate":
		if fault.Probability <= 0 || fault.Probability > 1 {
			return fmt.Errorf("share: %v, not in (0, 1]", fault.Probability)
		}
	case "delay", "reorder":
		if fault.Delay.Duration <= 0 || fault.Delay.Duration > time.Minute {
			return fmt.Errorf("by: %v, not in (0, 1m]", fault.Delay)
		}
	case "reset", "stall", "slow", "drain", "gone":
		if !serverNames[fault.Server] {
			return fmt.Errorf("server: no server %q", fault.Server)
		}
		if fault.Kind == "slow" && (fault.Factor < 1 || fault.Factor > 1000) {
			return fmt.Errorf("factor: %v, not in [1, 1000]", fault.Factor)
		}
	}
	if fault.Duration.Duration < 0 {
		return fmt.Errorf("for: %v", fault.Duration)
	}
	return nil
}

// draw turns the random faults into timed ones, the same for the same seed.
func (s *Scenario) drawRandomFaults() error {
	rng := rand.New(rand.NewPCG(s.Seed, 0x6c6162))
	for i, spec := range s.RandomFaults {
		switch {
		case !slices.Contains(randomFaultKinds, spec.Kind):
			return fmt.Errorf("random_fault[%d].kind: %q is none of %v", i, spec.Kind, randomFaultKinds)
		case spec.Kind == "partition" && s.Softswitches < 2:
			return fmt.Errorf("random_fault[%d].kind: a partition of one softswitch", i)
		case spec.Count < 1 || spec.Count > 64:
			return fmt.Errorf("random_fault[%d].count: %d, not in [1, 64]", i, spec.Count)
		case spec.To.Duration <= spec.From.Duration || spec.To.Duration > s.Duration.Duration:
			return fmt.Errorf("random_fault[%d].to: %v, not after from and within the run", i, spec.To)
		}
		for range spec.Count {
			at := spec.From.Duration + time.Duration(rng.Int64N(int64(spec.To.Duration-spec.From.Duration)))
			fault := Fault{At: Duration{at}, Kind: spec.Kind, Duration: spec.Duration, Probability: spec.Probability, Delay: spec.Delay, Factor: spec.Factor,
				Target: []string{MemberName(rng.IntN(s.Softswitches))}, Server: s.Servers[rng.IntN(len(s.Servers))].Name}
			if spec.Kind == "partition" {
				fault.Groups, fault.OneWay = s.randomGroups(rng), rng.IntN(2) == 0
			}
			s.Faults = append(s.Faults, fault)
		}
	}
	return nil
}

// sides are two, neither empty, drawn at random.
func (s *Scenario) randomGroups(rng *rand.Rand) [][]string {
	groups := make([][]string, 2)
	order, firstSize := rng.Perm(s.Softswitches), 1+rng.IntN(s.Softswitches-1)
	for i, index := range order {
		group := 0
		if i >= firstSize {
			group = 1
		}
		groups[group] = append(groups[group], MemberName(index))
	}
	return groups
}

// lastFault is when the last fault has ended.
func (s *Scenario) lastFaultEnd() (at time.Duration) {
	for _, f := range s.Faults {
		at = max(at, f.At.Duration+f.Duration.Duration)
	}
	return at
}
