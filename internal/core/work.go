package core

import (
	"slices"

	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// Ordered maintenance runs inside the core beside membership, which tells it who is there. When the turn of this softswitch
// has come it drains as an operator would have it drain; when nothing is left on it, it says that it is ready for work.

type (
	// StartMaintenance begins this softswitch's part in its tier's ordered maintenance. It needs a Join before.
	StartMaintenance struct{ Config maintenance.Config }
	// MaintenanceRequest is what an operator asks of the tier's maintenance: a Request or a Cancel, of members by their numbers.
	MaintenanceRequest struct{ Event maintenance.Event }
)

func (StartMaintenance) event()   {}
func (MaintenanceRequest) event() {}

type (
	// DrainChanged says whether this softswitch drains, when its turn for work has come or is over.
	DrainChanged struct{ On bool }
	// MaintenanceProgress says how far a softswitch's maintenance is now.
	MaintenanceProgress struct{ maintenance.RequestChanged }
)

func (DrainChanged) effect()        {}
func (MaintenanceProgress) effect() {}

// drainers are those who may want a softswitch drained: it is as long as one does.
type drainReasons struct{ operator, maintenance bool }

// plan begins maintenance. A second Plan changes nothing.
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
	c.maintenanceEffects(effects)
	for index, member := range c.membership.Members() {
		c.stepMaintenance(maintenance.MemberAvailability{Member: index, Available: member.State.Available()})
	}
	c.stepMaintenance(maintenance.Serving{Serving: c.serving})
}

// toWork hands maintenance an event.
func (c *Core) stepMaintenance(ev maintenance.Event) {
	if c.maintenance != nil {
		c.maintenanceEffects(c.maintenance.Step(c.now, ev))
	}
}

// works carries out what maintenance asks for.
func (c *Core) maintenanceEffects(effects []maintenance.Effect) {
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

// byHand drains for an operator. One who takes callers back while the softswitch is out for work ends that.
func (c *Core) operatorDrain(on bool) {
	c.drainReasons.operator = on
	if !on && c.drainReasons.maintenance {
		c.stepMaintenance(maintenance.Cancel{Members: []int{c.selfIndex}})
	}
	c.setDraining(c.drainReasons.operator || c.drainReasons.maintenance)
}

// empty tells maintenance, once, that nothing is left here.
func (c *Core) reportDrained() {
	if c.maintenance != nil && c.maintenance.AwaitsDrained() && c.drainRefuses() && len(c.calls) == 0 {
		c.stepMaintenance(maintenance.Drained{})
	}
}

// peerThere tells maintenance who is there: one that is merely suspected keeps its place.
func (c *Core) maintenanceAvailability(member int, state membership.State) {
	c.stepMaintenance(maintenance.MemberAvailability{Member: member, Available: state.Available() || state == membership.Suspect})
}

// MaintenanceStats are what operators are shown of the tier's maintenance.
type MaintenanceStats struct {
	maintenance.Status
	Self  int
	Names []string // of the tier's softswitches, by number, where they have told them
}

// maintained are the figures of maintenance; nil where there is none.
func (c *Core) maintenanceStats() *MaintenanceStats {
	if c.maintenance == nil {
		return nil
	}
	return &MaintenanceStats{Status: c.maintenance.Status(), Self: c.selfIndex, Names: slices.Clone(c.maintenance.Names())}
}
