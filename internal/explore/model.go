// Package explore is a model checker for the softswitch. It searches the state space of small models, which consist of the
// production code and a simulated environment, for states that violate an invariant. The main model, CallModel, runs the
// core and the controller with a few calls and servers; further models run the circuits of the M3UA protocol and the
// protocols between the members of a tier. The actions that lead to a violation of an invariant are a counterexample, which is
// shrunk, can be written as a trace and replayed.
package explore

import (
	"reflect"
	"time"

	"github.com/zeebo/xxh3"
)

// Model is a state machine whose states Run searches. Replay rebuilds a state from the actions that lead to it, so a model
// must be deterministic.
type Model interface {
	EnabledActions() []Action // returns the actions possible in the current state, always in the same order
	TryApply(Action) bool     // applies an action if it is enabled, and reports whether it was
	Terminal() bool           // reports whether the state is a terminal state, and may check invariants of such states
	Digest() xxh3.Uint128     // returns the digest of the state; states with equal digests have the same successors
	apply(Action)             // applies an action that EnabledActions has returned
	checkDeadlock()           // checks a state without enabled actions that is not terminal
	violation() *Violation    // returns the first violation, or nil
	modelTime() time.Duration // returns the time of the model
}

// The names of the models, values of Config.Model.
const (
	ModelCalls       = "calls"    // the core and the controller
	ModelCircuits    = "circuits" // the circuits of the M3UA signalling protocol to a server
	ModelMembership  = "members"  // the membership of a tier
	ModelMaintenance = "works"    // the maintenance of a tier's members that operators request
	ModelBudget      = "parts"    // the quotas of a cold server's budget in a tier
)

// New returns the initial state of the model that the configuration names, or an error for an invalid configuration.
// NewCallModel also returns a violation in its initial state as an error; other models keep it.
func New(cfg Config) (Model, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	switch cfg.Model {
	case ModelCircuits:
		return newCircuitModel(cfg), nil
	case ModelMembership:
		return newMembershipModel(cfg), nil
	case ModelMaintenance:
		return newMaintenanceModel(cfg), nil
	case ModelBudget:
		return newBudgetModel(cfg), nil
	}
	return NewCallModel(cfg)
}

// Digest returns the digest of the core, the controller and their simulated environment.
func (m *CallModel) Digest() xxh3.Uint128     { return digestOf(m) }
func (m *CallModel) violation() *Violation    { return m.Violation }
func (m *CallModel) modelTime() time.Duration { return m.Now }

// digestOf returns the canonical digest of a model. The digest covers every field, also fields added later, except the
// configuration, hooks and the core's buffer of effects; of a function or channel it covers only whether it is nil. Each
// pointer is followed once, and maps are sorted by their keys.
func digestOf(model any) xxh3.Uint128 {
	d := digestPool.Get().(*encoder)
	defer digestPool.Put(d)
	d.buf, d.visited = d.buf[:0], d.visited[:0]
	d.appendValue(reflect.ValueOf(model).Elem())
	return xxh3.Hash128(d.buf)
}
