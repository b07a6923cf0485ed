package lab

import (
	"fmt"
	"testing"
	"time"
)

// The conditions at each time combine all network faults that are active then.
func TestPlanCombinesNetworkFaults(t *testing.T) {
	scenario := shortScenario("plan",
		Fault{At: Duration{time.Second}, Kind: "loss", Probability: 0.5, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{2 * time.Second}, Kind: "loss", Probability: 0.5, Duration: Duration{2 * time.Second}},
		Fault{At: Duration{2 * time.Second}, Kind: "partition", Groups: [][]string{{"n1"}, {"n2", "n3"}}, OneWay: true},
		Fault{At: Duration{time.Second}, Kind: "kill", Target: []string{"n2"}, Duration: Duration{500 * ms}},
		Fault{At: Duration{time.Second}, Kind: "restart"})
	scenario.Servers = append(scenario.Servers, Server{Name: "late", Capacity: 10, StartAt: Duration{3 * time.Second}})
	if err := scenario.Check(); err != nil {
		t.Fatal(err)
	}
	var conditions []string
	var kinds []ActionKind
	for _, action := range Plan(scenario, true) {
		kinds = append(kinds, action.Kind)
		if action.Kind == ActNetworkConditions {
			conditions = append(conditions, fmt.Sprintf("%v loss %.2f groups %v", action.At, action.Conditions.Loss,
				action.Conditions.Groups))
		}
		if action.Kind == ActKill && action.Fault == 4 && len(action.Members) != 3 {
			t.Errorf("a restart kills %v, want all softswitches", action.Members)
		}
	}
	wantConditions := []string{"1s loss 0.50 groups map[]", "2s loss 0.75 groups map[0:0 1:1 2:1]",
		"3s loss 0.50 groups map[0:0 1:1 2:1]", "4s loss 0.00 groups map[0:0 1:1 2:1]"}
	if fmt.Sprint(conditions) != fmt.Sprint(wantConditions) {
		t.Errorf("conditions %q, want %q", conditions, wantConditions)
	}
	wantKinds := []ActionKind{ActNetworkConditions, ActKill, ActKill, ActLaunch, ActNetworkConditions,
		ActServerStatus, ActNetworkConditions, ActNetworkConditions}
	if fmt.Sprint(kinds) != fmt.Sprint(wantKinds) {
		t.Errorf("action kinds %v, want %v", kinds, wantKinds)
	}
	for _, action := range Plan(scenario, false) {
		if action.Kind == ActServerStatus {
			t.Error("a late start is published although announceStarts is false")
		}
	}
}
