package lab

import (
	"fmt"
	"slices"
	"time"
)

// ActionKind is the kind of an action of the lab.
type ActionKind int

// The kinds of actions. Members, Server and the other capitalised words are fields of Action.
const (
	ActKill              ActionKind = iota // SIGKILL, or SIGTERM if Term, to Members; they count as disturbed from now on
	ActLaunch                              // Members started again; disturbed until they are ready or waitReady fails
	ActPause                               // SIGSTOP to Members; they count as disturbed from now on
	ActResume                              // SIGCONT to Members; disturbed until they are ready or waitReady fails
	ActNetworkConditions                   // the relay applies Conditions
	ActReset                               // the connections between Members and Server reset
	ActStall                               // set-ups on the same connections get no answer (Stall true), or get one again
	ActSlow                                // Server works Factor times slower (1: normal speed)
	ActMaintenance                         // maintenance of Members requested or (Withdraw) withdrawn at Via
	ActServerStatus                        // Server's Status published; terminated: Server's connections reset too
)

// actionKindNames are the kinds' names in the log.
var actionKindNames = [...]string{"kill", "launch", "pause", "resume", "weather", "reset", "stall", "slow", "order", "tell"}

// String returns the kind's name in the log.
func (k ActionKind) String() string {
	if k >= 0 && int(k) < len(actionKindNames) {
		return actionKindNames[k]
	}
	return fmt.Sprintf("ActionKind(%d)", int(k))
}

// Action is one step of a run's plan. Which fields count depends on the kind.
type Action struct {
	At         time.Duration // since the start of the run
	Kind       ActionKind
	Fault      int     // index of the scenario's fault that causes the action; -1 for a server's late start
	Members    []int   // indexes of softswitches
	Server     string  // name
	Term       bool    // SIGTERM instead of SIGKILL
	Stall      bool    // whether set-ups get no answer from now on, or get one again
	Factor     float64 // factor on a server's service time
	Status     string  // a server's new status, as the command channel names it
	Withdraw   bool    // withdraws a maintenance request; with ActServerStatus: the server drains or is gone
	Via        int     // index of the softswitch whose admin endpoint gets a maintenance request
	Conditions NetworkConditions
}

// networkFaultKinds are the kinds of fault that change the network conditions.
var networkFaultKinds = []string{"partition", "loss", "duplicate", "delay", "reorder"}

// Plan turns a checked scenario into the actions of its run, ordered by time; actions of the same time are in the
// order of their faults. It does no I/O. Network faults can overlap: the conditions at a time combine all network
// faults that are active then (probabilities of loss compound, delays add up, the latest partition and the greatest
// Duplicate and Reorder apply).
// announceStarts says whether the late starts of servers are published on the command channel.
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
			addAction(Action{At: fault.At.Duration, Kind: ActStall, Fault: i, Members: members, Server: fault.Server,
				Stall: true})
			addAction(Action{At: end, Kind: ActStall, Fault: i, Members: members, Server: fault.Server})
		case "slow":
			addAction(Action{At: fault.At.Duration, Kind: ActSlow, Fault: i, Server: fault.Server, Factor: fault.Factor})
			addAction(Action{At: end, Kind: ActSlow, Fault: i, Server: fault.Server, Factor: 1})
		case "drain", "gone":
			status := map[string]string{"drain": "terminating", "gone": "terminated"}[fault.Kind]
			addAction(Action{At: fault.At.Duration, Kind: ActServerStatus, Fault: i, Server: fault.Server,
				Status: status, Withdraw: true})
		case "maintain", "withdraw":
			addAction(Action{At: fault.At.Duration, Kind: ActMaintenance, Fault: i, Members: members,
				Via: s.indexByName[fault.Via], Withdraw: fault.Kind == "withdraw"})
		default: // network faults
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
				addAction(Action{At: server.StartAt.Duration, Kind: ActServerStatus, Fault: -1, Server: server.Name,
					Status: "in_service"})
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

// conditionsAt combines all network faults that are active at a time. A fault without a duration stays active until
// the end of the run.
func (s *Scenario) conditionsAt(at time.Duration) NetworkConditions {
	var conditions NetworkConditions
	for _, fault := range s.Faults {
		if !slices.Contains(networkFaultKinds, fault.Kind) || at < fault.At.Duration ||
			(fault.Duration.Duration > 0 && at >= fault.At.Duration+fault.Duration.Duration) {
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

// networkFaultAt returns the index of the first network fault that begins or ends at a time, or -1.
func (s *Scenario) networkFaultAt(at time.Duration) int {
	for i, fault := range s.Faults {
		if slices.Contains(networkFaultKinds, fault.Kind) &&
			(fault.At.Duration == at || fault.At.Duration+fault.Duration.Duration == at) {
			return i
		}
	}
	return -1
}

// memberIndexes returns the indexes of the softswitches with these names.
func (s *Scenario) memberIndexes(names []string) []int {
	var indexes []int
	for _, name := range names {
		indexes = append(indexes, s.indexByName[name])
	}
	return indexes
}
