package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one scheduled fault. Which fields count depends on the kind:
//
//	kill, term         the Target softswitches' processes end (SIGKILL or SIGTERM); they are restarted under the
//	                   same names and addresses after Duration (0: never)
//	pause              the Target softswitches are stopped (SIGSTOP) for Duration
//	restart            every softswitch is killed at once, and all are restarted after Duration (0: never)
//	partition          datagrams between Groups are dropped for Duration; with OneWay only those from the first
//	                   group to the others; a softswitch in no group counts to the first
//	loss, duplicate    datagrams are dropped or sent twice with Probability, for Duration
//	delay, reorder     datagrams are delayed by Delay for Duration (reorder: by a random part of Delay, so that
//	                   they overtake each other)
//	reset, stall       the connections between the Target softswitches and Server are reset, or set-ups on them
//	                   get no answer for Duration
//	slow               Server works Factor times slower for Duration
//	drain, gone        the command channel reports Server as draining or gone (gone: Server also resets its
//	                   connections and closes new ones at once)
//	maintain, withdraw maintenance of the Target softswitches is requested or withdrawn at the admin endpoint
//	                   of Via
//
// A network fault (partition to reorder) with a Duration of 0 lasts to the end of the run.
type Fault struct {
	At          Duration   `toml:"at"` // since the start of the load
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

// RandomFault draws Count faults of a kind at times in [From, To). The seed decides the times, the softswitches,
// the servers, the groups of a partition and whether the partition is one-way; Duration, Probability, Delay and Factor
// are the same for all faults drawn.
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

// randomFaultKinds are the kinds that can be drawn. Restarts of all softswitches, changes of the server list and
// requests for maintenance have to be scheduled explicitly.
var randomFaultKinds = []string{"kill", "term", "pause", "partition", "loss", "duplicate", "delay", "reorder",
	"reset", "stall", "slow"}

// faultKinds are all kinds of scheduled faults.
var faultKinds = []string{"kill", "term", "pause", "restart", "partition", "loss", "duplicate", "delay", "reorder",
	"reset", "stall", "slow", "drain", "gone", "maintain", "withdraw"}

// checkFault checks one fault. The error begins with the name of the invalid field.
func (s *Scenario) checkFault(fault Fault, serverNames map[string]bool) error {
	if !slices.Contains(faultKinds, fault.Kind) {
		return fmt.Errorf("kind: %q is not one of %v", fault.Kind, faultKinds)
	}
	if fault.At.Duration < 0 || fault.At.Duration > s.Duration.Duration {
		return fmt.Errorf("at: %v, not within the load's duration", fault.At)
	}
	for _, name := range fault.Target {
		if _, ok := s.indexByName[name]; !ok {
			return fmt.Errorf("target: no softswitch %q", name)
		}
	}
	for _, group := range fault.Groups {
		for _, name := range group {
			if _, ok := s.indexByName[name]; !ok {
				return fmt.Errorf("groups: no softswitch %q", name)
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
			return fmt.Errorf("groups: %d groups, want at least two", len(fault.Groups))
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
		return fmt.Errorf("for: %v, negative", fault.Duration)
	}
	return nil
}

// drawRandomFaults adds the random faults to Faults, the same ones for the same seed.
func (s *Scenario) drawRandomFaults() error {
	rng := rand.New(rand.NewPCG(s.Seed, 0x6c6162))
	for i, spec := range s.RandomFaults {
		switch {
		case !slices.Contains(randomFaultKinds, spec.Kind):
			return fmt.Errorf("random_fault[%d].kind: %q is not one of %v", i, spec.Kind, randomFaultKinds)
		case spec.Kind == "partition" && s.Softswitches < 2:
			return fmt.Errorf("random_fault[%d].kind: a partition needs at least two softswitches", i)
		case spec.Count < 1 || spec.Count > 64:
			return fmt.Errorf("random_fault[%d].count: %d, not in [1, 64]", i, spec.Count)
		case spec.To.Duration <= spec.From.Duration || spec.To.Duration > s.Duration.Duration:
			return fmt.Errorf("random_fault[%d].to: %v, want a time after from and within the load's duration", i, spec.To)
		}
		for range spec.Count {
			at := spec.From.Duration + time.Duration(rng.Int64N(int64(spec.To.Duration-spec.From.Duration)))
			fault := Fault{At: Duration{at}, Kind: spec.Kind, Duration: spec.Duration, Probability: spec.Probability,
				Delay: spec.Delay, Factor: spec.Factor,
				Target: []string{MemberName(rng.IntN(s.Softswitches))}, Server: s.Servers[rng.IntN(len(s.Servers))].Name}
			if spec.Kind == "partition" {
				fault.Groups, fault.OneWay = s.randomGroups(rng), rng.IntN(2) == 0
			}
			s.Faults = append(s.Faults, fault)
		}
	}
	return nil
}

// randomGroups splits the softswitches, of which there must be at least two, at random into two groups; neither is empty.
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

// lastFaultEnd returns the time at which the last fault has ended. A fault without a duration ends at its start.
func (s *Scenario) lastFaultEnd() (end time.Duration) {
	for _, fault := range s.Faults {
		end = max(end, fault.At.Duration+fault.Duration.Duration)
	}
	return end
}
