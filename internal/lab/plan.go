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

var actNames = [...]string{"kill", "launch", "pause", "resume", "weather", "reset", "stall", "slow", "order", "tell"}

func (a ActionKind) String() string {
	if a >= 0 && int(a) < len(actNames) {
		return actNames[a]
	}
	return fmt.Sprintf("Act(%d)", int(a))
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
	Retire     bool
	Via        int
	Conditions NetworkConditions
}

// network are the kinds of fault that change the relay's weather.
var network = []string{"partition", "loss", "duplicate", "delay", "reorder"}

// Plan turns a checked scenario into the actions of its run, in the order of their times (those of one moment in
// the order of the faults). It does no I/O. Faults of the network overlap: at each moment the weather is all the
// network faults standing then, together (chances of loss compound, delays add, the latest partition holds).
// tellStarts says whether the late starts of servers are told on the channel.
func Plan(s *Scenario, tellStarts bool) []Action {
	var plan []Action
	add := func(a Action) { plan = append(plan, a) }
	all := make([]int, s.Softswitches)
	for i := range all {
		all[i] = i
	}
	var weatherAt []time.Duration
	for i, f := range s.Faults {
		places := s.places(f.Target)
		end := f.At.Duration + f.Duration.Duration
		switch f.Kind {
		case "kill", "term", "restart":
			if f.Kind == "restart" {
				places = all
			}
			add(Action{At: f.At.Duration, Kind: ActKill, Fault: i, Members: places, Term: f.Kind == "term"})
			if f.Duration.Duration > 0 {
				add(Action{At: end, Kind: ActLaunch, Fault: i, Members: places})
			}
		case "pause":
			add(Action{At: f.At.Duration, Kind: ActPause, Fault: i, Members: places})
			add(Action{At: end, Kind: ActResume, Fault: i, Members: places})
		case "reset":
			add(Action{At: f.At.Duration, Kind: ActReset, Fault: i, Members: places, Server: f.Server})
		case "stall":
			add(Action{At: f.At.Duration, Kind: ActStall, Fault: i, Members: places, Server: f.Server, Stall: true})
			add(Action{At: end, Kind: ActStall, Fault: i, Members: places, Server: f.Server})
		case "slow":
			add(Action{At: f.At.Duration, Kind: ActSlow, Fault: i, Server: f.Server, Factor: f.Factor})
			add(Action{At: end, Kind: ActSlow, Fault: i, Server: f.Server, Factor: 1})
		case "drain", "gone":
			status := map[string]string{"drain": "terminating", "gone": "terminated"}[f.Kind]
			add(Action{At: f.At.Duration, Kind: ActServerStatus, Fault: i, Server: f.Server, Status: status, Retire: true})
		case "maintain", "withdraw":
			add(Action{At: f.At.Duration, Kind: ActMaintenance, Fault: i, Members: places, Via: s.names[f.Via], Retire: f.Kind == "withdraw"})
		default: // of the network
			weatherAt = append(weatherAt, f.At.Duration)
			if f.Duration.Duration > 0 {
				weatherAt = append(weatherAt, end)
			}
		}
	}
	slices.Sort(weatherAt)
	for _, at := range slices.Compact(weatherAt) {
		add(Action{At: at, Kind: ActNetworkConditions, Fault: s.faultAt(at), Conditions: s.weather(at)})
	}
	if tellStarts {
		for _, v := range s.Servers {
			if v.StartAt.Duration > 0 {
				add(Action{At: v.StartAt.Duration, Kind: ActServerStatus, Fault: -1, Server: v.Name, Status: "in_service"})
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
func (s *Scenario) weather(at time.Duration) NetworkConditions {
	var w NetworkConditions
	for _, f := range s.Faults {
		if !slices.Contains(network, f.Kind) || at < f.At.Duration || (f.Duration.Duration > 0 && at >= f.At.Duration+f.Duration.Duration) {
			continue
		}
		switch f.Kind {
		case "partition":
			w.Groups, w.OneWay = map[int]int{}, f.OneWay
			for g, names := range f.Groups {
				for _, p := range s.places(names) {
					w.Groups[p] = g
				}
			}
		case "loss":
			w.Loss = 1 - (1-w.Loss)*(1-f.Probability)
		case "duplicate":
			w.Duplicate = max(w.Duplicate, f.Probability)
		case "delay":
			w.Delay += f.Delay.Duration
		case "reorder":
			w.Reorder = max(w.Reorder, f.Delay.Duration)
		}
	}
	return w
}

// faultAt is the first network fault that begins or ends at a moment.
func (s *Scenario) faultAt(at time.Duration) int {
	for i, f := range s.Faults {
		if slices.Contains(network, f.Kind) && (f.At.Duration == at || f.At.Duration+f.Duration.Duration == at) {
			return i
		}
	}
	return -1
}

// places are the softswitches of these names, by place.
func (s *Scenario) places(names []string) []int {
	var out []int
	for _, n := range names {
		out = append(out, s.names[n])
	}
	return out
}
