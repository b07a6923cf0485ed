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
type drainers struct{ hand, work bool }

// plan begins maintenance. A second Plan changes nothing.
func (c *Core) plan(ev StartMaintenance) {
	if c.work != nil || c.fleet == nil {
		return
	}
	work, out, err := maintenance.New(ev.Config, c.now)
	if err != nil {
		c.do(Violation{Rule: err.Error()})
		return
	}
	c.work = work
	c.works(out)
	for m, e := range c.fleet.Members() {
		c.toWork(maintenance.MemberAvailability{Member: m, Available: e.State.Available()})
	}
	c.toWork(maintenance.Serving{Serving: c.serving})
}

// toWork hands maintenance an event.
func (c *Core) toWork(ev maintenance.Event) {
	if c.work != nil {
		c.works(c.work.Step(c.now, ev))
	}
}

// works carries out what maintenance asks for.
func (c *Core) works(out []maintenance.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case maintenance.Send:
			c.do(SendToMember{To: e.To, Data: e.Data})
		case maintenance.Timer:
			c.timer(e.At, Token{kind: tokenWork, work: e.Token})
		case maintenance.RequestChanged:
			c.do(MaintenanceProgress{e})
		case maintenance.Drain:
			c.by.work = e.On
			c.drain(c.by.hand || c.by.work)
			c.do(DrainChanged{On: c.draining})
		}
	}
}

// byHand drains for an operator. One who takes callers back while the softswitch is out for work ends that.
func (c *Core) byHand(on bool) {
	c.by.hand = on
	if !on && c.by.work {
		c.toWork(maintenance.Cancel{Members: []int{c.self}})
	}
	c.drain(c.by.hand || c.by.work)
}

// empty tells maintenance, once, that nothing is left here.
func (c *Core) empty() {
	if c.work != nil && c.work.AwaitsDrained() && c.away() && len(c.calls) == 0 {
		c.toWork(maintenance.Drained{})
	}
}

// peerThere tells maintenance who is there: one that is merely suspected keeps its place.
func (c *Core) peerThere(m int, s membership.State) {
	c.toWork(maintenance.MemberAvailability{Member: m, Available: s.Available() || s == membership.Suspect})
}

// MaintenanceStats are what operators are shown of the tier's maintenance.
type MaintenanceStats struct {
	maintenance.Status
	Self  int
	Names []string // of the tier's softswitches, by number, where they have told them
}

// maintained are the figures of maintenance; nil where there is none.
func (c *Core) maintained() *MaintenanceStats {
	if c.work == nil {
		return nil
	}
	return &MaintenanceStats{Status: c.work.Status(), Self: c.self, Names: slices.Clone(c.work.Names())}
}
