package explore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"elmseam/internal/budget"
	"elmseam/internal/circuits"
	"elmseam/internal/core"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// Config says which model is searched, and its size.
type Config struct {
	Model    string        `json:"model,omitempty"` // one of the Model constants; empty: ModelCalls
	Servers  int           `json:"servers"`         // servers, circuits (ModelCircuits) or members (models of a tier)
	Calls    int           `json:"calls"`           // calls, or half seconds in which faults are injected (models of a tier)
	Attempts int           `json:"attempts"`        // maximum attempts per call (ModelCalls)
	Faults   int           `json:"faults"`          // maximum number of faults in total; see ActionKind
	Pauses   int           `json:"pauses"`          // maximum number of pauses of time (ModelCalls), of the server or of members
	GiveUp   time.Duration `json:"wait"`            // time that callers wait for an answer (ModelCalls)
	Seed     uint64        `json:"seed"`            // seed of the controller or of the members' reducers

	CoreHook              core.Hook      `json:"-"` // disables guards of the core, hides events or replaces decisions, in tests
	DisabledCircuitGuards circuits.Guard `json:"-"` // guards of the circuits to disable, in tests

	DisabledMembershipGuards  membership.Guard  `json:"-"` // guards of the membership to disable, in tests
	DisabledMaintenanceGuards maintenance.Guard `json:"-"` // guards of the maintenance to disable, in tests
	DisabledBudgetGuards      budget.Guard      `json:"-"` // guards of the budget to disable, in tests
}

// Check returns an error that names the first value that is out of range, or nil. All values must be in range, also those
// that the model does not use.
func (c Config) Check() error {
	for _, field := range []struct {
		name            string
		value, min, max int
	}{{"servers", c.Servers, 1, 4}, {"calls", c.Calls, 1, 8}, {"attempts", c.Attempts, 1, 8}, {"faults", c.Faults, 0, 16}, {"pauses", c.Pauses, 0, 16}} {
		if field.value < field.min || field.value > field.max {
			return fmt.Errorf("%s: %d is not between %d and %d", field.name, field.value, field.min, field.max)
		}
	}
	if models := []string{"", ModelCalls, ModelCircuits, ModelMembership, ModelMaintenance, ModelBudget}; !slices.Contains(models, c.Model) {
		return fmt.Errorf("model: %q is not one of %s", c.Model, strings.Join(models[1:], ", "))
	}
	if c.GiveUp < 100*time.Millisecond || c.GiveUp > time.Minute {
		return fmt.Errorf("wait: %v is not between 100ms and 1m0s", c.GiveUp)
	}
	return nil
}
