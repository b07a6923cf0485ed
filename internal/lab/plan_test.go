package lab

import (
	"fmt"
	"testing"
	"time"
)

// The plan overlaps the network's faults: the weather at each moment is all of them that stand then.
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
			conditions = append(conditions, fmt.Sprintf("%v loss %.2f cut %v", action.At, action.Conditions.Loss, action.Conditions.Groups))
		}
		if action.Kind == ActKill && action.Fault == 4 && len(action.Members) != 3 {
			t.Errorf("a restart kills %v, want every softswitch", action.Members)
		}
	}
	wantConditions := []string{"1s loss 0.50 cut map[]", "2s loss 0.75 cut map[0:0 1:1 2:1]", "3s loss 0.50 cut map[0:0 1:1 2:1]",
		"4s loss 0.00 cut map[0:0 1:1 2:1]"}
	if fmt.Sprint(conditions) != fmt.Sprint(wantConditions) {
		t.Errorf("weather %q, want %q", conditions, wantConditions)
	}
	wantKinds := []ActionKind{ActNetworkConditions, ActKill, ActKill, ActLaunch, ActNetworkConditions, ActServerStatus, ActNetworkConditions, ActNetworkConditions}
	if fmt.Sprint(kinds) != fmt.Sprint(wantKinds) {
		t.Errorf("acts %v, want %v", kinds, wantKinds)
	}
	for _, action := range Plan(scenario, false) {
		if action.Kind == ActServerStatus {
			t.Error("a late start told where the lab keeps it back")
		}
	}
}
