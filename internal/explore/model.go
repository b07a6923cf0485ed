package explore

import (
	"reflect"
	"time"

	"github.com/zeebo/xxh3"
)

// Model is something whose states are explored.
type Model interface {
	EnabledActions() []Action // all things that can happen next, always in the same order
	TryApply(Action) bool     // has one happen, and says no to what can't
	Terminal() bool           // nothing is left to happen that matters
	Digest() xxh3.Uint128     // two with one digest go on alike
	apply(Action)             // has one of Actions happen
	checkDeadlock()           // judges a state in which nothing can happen
	violation() *Violation    // the first rule that was broken
	clock() time.Duration
}

// The models.
const (
	ModelCalls       = "calls"    // the core and the decision module
	ModelCircuits    = "circuits" // the second front's circuits to a server
	ModelMembership  = "members"  // the tier's membership
	ModelMaintenance = "works"    // its ordered maintenance
	ModelBudget      = "parts"    // its parts of a cold server's budget
)

// New is where the exploration of a model begins.
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

// Digest is that of the core, the module and all around them.
func (m *CallModel) Digest() xxh3.Uint128  { return digestOf(m) }
func (m *CallModel) violation() *Violation { return m.Violation }
func (m *CallModel) clock() time.Duration  { return m.Now }

// digestOf is a canonical digest of a model: every field that there is, so that one that is added later counts by
// itself. It follows pointers once and takes maps in the order of their keys. Only what the last step of the core has
// left lying is passed over.
func digestOf(model any) xxh3.Uint128 {
	d := digestPool.Get().(*encoder)
	defer digestPool.Put(d)
	d.buf, d.visited = d.buf[:0], d.visited[:0]
	d.appendValue(reflect.ValueOf(model).Elem())
	return xxh3.Hash128(d.buf)
}
