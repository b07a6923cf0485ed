package core

import (
	"slices"

	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// The maintenance reducer (internal/maintenance), which lets the members of the tier be taken out of service in an order, runs
// inside the core beside membership, which tells it which members are available. When it is this softswitch's turn, the softswitch
// drains as on an operator's request. When its last call has ended, it reports that it is ready for the maintenance work.

type (
	// StartMaintenance begins to take part in the tier's ordered maintenance. It has no effect without a StartMembership before
	// it.
	StartMaintenance struct{ Config maintenance.Config }
	// MaintenanceRequest is an operator's request to the tier's maintenance: a maintenance.Request or a maintenance.Cancel, which
	// name members by their indexes.
	MaintenanceRequest struct{ Event maintenance.Event }
)

func (StartMaintenance) event()   {}
func (MaintenanceRequest) event() {}

type (
	// DrainChanged says whether this softswitch drains, after its turn for maintenance has begun or ended.
	DrainChanged struct{ On bool }
	// MaintenanceProgress reports that the maintenance of a member has reached another stage.
	MaintenanceProgress struct{ maintenance.RequestChanged }
)

func (DrainChanged) effect()        {}
func (MaintenanceProgress) effect() {}

// drainReasons says who has requested that this softswitch drains. The softswitch drains as long as at least one reason is set.
type drainReasons struct{ operator, maintenance bool }

// startMaintenance starts the maintenance reducer. A second StartMaintenance has no effect.
func (c *Core) startMaintenance(ev StartMaintenance) {
	if c.maintenance != nil || c.membership == nil {
		return
	}
	reducer, effects, err := maintenance.New(ev.Config, c.now)
	if err != nil {
		c.emit(Violation{Rule: err.Error()})
		return
	}
	c.maintenance = reducer
	c.applyMaintenanceEffects(effects)
	for index, member := range c.membership.Members() {
		c.stepMaintenance(maintenance.MemberAvailability{Member: index, Available: member.State.Available()})
	}
	c.stepMaintenance(maintenance.Serving{Serving: c.serving})
}

// stepMaintenance gives the maintenance reducer an event and carries out its effects.
func (c *Core) stepMaintenance(ev maintenance.Event) {
	if c.maintenance != nil {
		c.applyMaintenanceEffects(c.maintenance.Step(c.now, ev))
	}
}

// applyMaintenanceEffects carries out effects of the maintenance reducer.
func (c *Core) applyMaintenanceEffects(effects []maintenance.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case maintenance.Send:
			c.emit(SendToMember{To: effect.To, Data: effect.Data})
		case maintenance.Timer:
			c.setTimer(effect.At, Token{kind: tokenMaintenance, maintenance: effect.Token})
		case maintenance.RequestChanged:
			c.emit(MaintenanceProgress{effect})
		case maintenance.Drain:
			c.drainReasons.maintenance = effect.On
			c.setDraining(c.drainReasons.operator || c.drainReasons.maintenance)
			c.emit(DrainChanged{On: c.draining})
		}
	}
}

// operatorDrain begins or ends a drain on an operator's request. Ending the drain during this softswitch's maintenance also cancels
// that maintenance.
func (c *Core) operatorDrain(on bool) {
	c.drainReasons.operator = on
	if !on && c.drainReasons.maintenance {
		c.stepMaintenance(maintenance.Cancel{Members: []int{c.selfIndex}})
	}
	c.setDraining(c.drainReasons.operator || c.drainReasons.maintenance)
}

// reportDrained tells the maintenance reducer, once, that this softswitch refuses set-ups and has no call left.
func (c *Core) reportDrained() {
	if c.maintenance != nil && c.maintenance.AwaitsDrained() && c.drainRefuses() && len(c.calls) == 0 {
		c.stepMaintenance(maintenance.Drained{})
	}
}

// updateMaintenanceAvailability tells the maintenance reducer whether a member is available. A suspected member still counts as available
// and keeps its place in the order.
func (c *Core) updateMaintenanceAvailability(member int, state membership.State) {
	c.stepMaintenance(maintenance.MemberAvailability{Member: member, Available: state.Available() || state == membership.StateSuspect})
}

// MaintenanceStats is the state of the tier's maintenance, as shown to operators.
type MaintenanceStats struct {
	maintenance.Status
	Self  int      // index of this softswitch
	Names []string // names of the members, by index; empty where a member has not sent its name
}

// maintenanceStats returns the state of the maintenance; nil if there is no ordered maintenance.
func (c *Core) maintenanceStats() *MaintenanceStats {
	if c.maintenance == nil {
		return nil
	}
	return &MaintenanceStats{Status: c.maintenance.Status(), Self: c.selfIndex, Names: slices.Clone(c.maintenance.Names())}
}
