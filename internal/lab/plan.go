package lab

import (
	"fmt"
	"slices"
	"time"
)

// ActionKind is what the lab does at one moment of a run.
type ActionKind int

const (
	ActKill              ActionKind = iota // SIGKILL (or SIGTERM where Term) to Places; they are in trouble from now on
	ActLaunch                              // Places started again under their names and addresses; out of trouble once ready
	ActPause                               // SIGSTOP to Places
	ActResume                              // SIGCONT to Places; out of trouble once ready
	ActNetworkConditions                   // the relay's weather becomes Weather
	ActReset                               // the connections between Places and Server reset
	ActStall                               // those connections silent (Stall) or speaking again
	ActSlow                                // Server works Factor times slower (1: as it should)
	ActMaintenance                         // Places asked for, or withdrawn (Retire), at the door of Via
	ActServerStatus                        // Server told Status on the command channel; Retire where it drains or goes
)

var actionKindNames = [...]string{"kill", "launch", "pause", "resume", "weather", "reset", "stall", "slow", "order", "tell"}

func (k ActionKind) String() string {
	if k >= 0 && int(k) < len(actionKindNames) {
		return actionKindNames[k]
	}
	return fmt.Sprintf("Act(%d)", int(k))
}

// Action is one step of a run's plan.
type Action struct {
	At         time.Duration
	Kind       ActionKind
	Fault      int // the fault it comes from, by place in the scenario; -1 for a server's late start
	Members    []int
	Server     string
	Term       bool
	Stall      bool
	Factor     float64
	Status     string
	Withdraw     bool
	Via        int
	Conditions NetworkConditions
}

// network are the kinds of fault that change the relay's weather.
var networkFaultKinds = []string{"partition", "loss", "duplicate", "delay", "reorder"}

// Plan turns a checked scenario into the actions of its run, in the order of their times (those of one moment in
// the order of the faults). It does no I/O. Faults of the network overlap: at each moment the weather is all the
// network faults standing then, together (chances of loss compound, delays add, the latest partition holds).
// tellStarts says whether the late starts of servers are told on the channel.
func Plan(s *Scenario, announceStarts bool) []Action {
	var plan []Action
	addAction := func(a Action) { plan = append(plan, a) }
	allMembers := make([]int, s.Softswitches)
	for i := range allMembers {
		allMembers[i] = i
	}
	var conditionChanges []time.Duration
	for i, fault := range s.Faults {
		members := s.memberIndexes(fault.Target)
		end := fault.At.Duration + fault.Duration.Duration
		switch fault.Kind {
		case "kill", "term", "restart":
			if fault.Kind == "restart" {
				members = allMembers
			}
			addAction(Action{At: fault.At.Duration, Kind: ActKill, Fault: i, Members: members, Term: fault.Kind == "term"})
			if fault.Duration.Duration > 0 {
				addAction(Action{At: end, Kind: ActLaunch, Fault: i, Members: members})
			}
		case "pause":
			addAction(Action{At: fault.At.Duration, Kind: ActPause, Fault: i, Members: members})
			addAction(Action{At: end, Kind: ActResume, Fault: i, Members: members})
		case "reset":
			addAction(Action{At: fault.At.Duration, Kind: ActReset, Fault: i, Members: members, Server: fault.Server})
		case "stall":
			addAction(Action{At: fault.At.Duration, Kind: ActStall, Fault: i, Members: members, Server: fault.Server, Stall: true})
			addAction(Action{At: end, Kind: ActStall, Fault: i, Members: members, Server: fault.Server})
		case "slow":
			addAction(Action{At: fault.At.Duration, Kind: ActSlow, Fault: i, Server: fault.Server, Factor: fault.Factor})
			addAction(Action{At: end, Kind: ActSlow, Fault: i, Server: fault.Server, Factor: 1})
		case "drain", "gone":
			status := map[string]string{"drain": "terminating", "gone": "terminated"}[fault.Kind]
			addAction(Action{At: fault.At.Duration, Kind: ActServerStatus, Fault: i, Server: fault.Server, Status: status, Withdraw: true})
		case "maintain", "withdraw":
			addAction(Action{At: fault.At.Duration, Kind: ActMaintenance, Fault: i, Members: members, Via: s.indexByName[fault.Via], Withdraw: fault.Kind == "withdraw"})
		default: // of the network
			conditionChanges = append(conditionChanges, fault.At.Duration)
			if fault.Duration.Duration > 0 {
				conditionChanges = append(conditionChanges, end)
			}
		}
	}
	slices.Sort(conditionChanges)
	for _, at := range slices.Compact(conditionChanges) {
		addAction(Action{At: at, Kind: ActNetworkConditions, Fault: s.networkFaultAt(at), Conditions: s.conditionsAt(at)})
	}
	if announceStarts {
		for _, server := range s.Servers {
			if server.StartAt.Duration > 0 {
				addAction(Action{At: server.StartAt.Duration, Kind: ActServerStatus, Fault: -1, Server: server.Name, Status: "in_service"})
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Action) int {
		if a.At != b.At {
			return int(a.At - b.At)
		}
		return a.Fault - b.Fault
	})
	return plan
}

// weather is the weather at a moment: every network fault that stands then, together. A fault with no For stands to
// the end of the run.
func (s *Scenario) conditionsAt(at time.Duration) NetworkConditions {
	var conditions NetworkConditions
	for _, fault := range s.Faults {
		if !slices.Contains(networkFaultKinds, fault.Kind) || at < fault.At.Duration || (fault.Duration.Duration > 0 && at >= fault.At.Duration+fault.Duration.Duration) {
			continue
		}
		switch fault.Kind {
		case "partition":
			conditions.Groups, conditions.OneWay = map[int]int{}, fault.OneWay
			for group, names := range fault.Groups {
				for _, index := range s.memberIndexes(names) {
					conditions.Groups[index] = group
				}
			}
		case "loss":
			conditions.Loss = 1 - (1-conditions.Loss)*(1-fault.Probability)
		case "duplicate":
			conditions.Duplicate = max(conditions.Duplicate, fault.Probability)
		case "delay":
			conditions.Delay += fault.Delay.Duration
		case "reorder":
			conditions.Reorder = max(conditions.Reorder, fault.Delay.Duration)
		}
	}
	return conditions
}

// faultAt is the first network fault that begins or ends at a moment.
func (s *Scenario) networkFaultAt(at time.Duration) int {
	for i, fault := range s.Faults {
		if slices.Contains(networkFaultKinds, fault.Kind) && (fault.At.Duration == at || fault.At.Duration+fault.Duration.Duration == at) {
			return i
		}
	}
	return -1
}

// places are the softswitches of these names, by place.
func (s *Scenario) memberIndexes(names []string) []int {
	var indexes []int
	for _, name := range names {
		indexes = append(indexes, s.indexByName[name])
	}
	return indexes
}
