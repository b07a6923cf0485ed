package core

import (
	"elmseam/internal/budget"
	"elmseam/internal/datagram"
	"elmseam/internal/knowledge"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// The membership reducer of the tier runs inside the core. Its datagrams come through the inbox of the core like all other events,
// so a softswitch whose core has stalled answers no membership probes and is suspected. Without the reducers of maintenance, budget
// and knowledge, which are told which members are available, the states of the other members change only one decision: the fraction
// of its own quota of a cold server's budget that this softswitch uses, which they can only lower (membership.View.ColdQuotaFraction).

type (
	// StartMembership makes this softswitch a member of its tier. Without this event there is no membership.
	StartMembership struct{ Config membership.Config }
	// MemberDatagram is a datagram from another member of the tier; From is the index of that member.
	MemberDatagram struct {
		From int
		Data []byte
	}
)

func (StartMembership) event() {}
func (MemberDatagram) event()  {}

type (
	// SendToMember sends a datagram to another member of the tier; To is the index of that member.
	SendToMember struct {
		To   int
		Data []byte
	}
	// MemberChanged reports that the state of another member of the tier, as seen from here, has changed.
	MemberChanged struct{ membership.StateChanged }
)

func (SendToMember) effect()  {}
func (MemberChanged) effect() {}

// MemberStats is the state of the tier, as shown to operators.
type MemberStats struct {
	membership.Counters
	membership.View
	Self              int                 // index of this softswitch
	Members           []membership.Member // by index
	Health            int                 // local health multiplier; 0 is best
	ColdQuotaFraction float64             // fraction, 0 to 1, of its own quota of a cold server's budget that this softswitch uses
}

// startMembership starts the membership reducer. A second StartMembership has no effect.
func (c *Core) startMembership(ev StartMembership) {
	if c.membership != nil {
		return
	}
	reducer, effects, err := membership.New(ev.Config, c.now)
	if err != nil {
		c.emit(Violation{Rule: err.Error()})
		return
	}
	c.membership, c.selfIndex = reducer, ev.Config.Self
	c.applyMembershipEffects(effects)
	c.controller.SetColdQuotaFraction(c.membership.View().ColdQuotaFraction())
	if c.draining || c.stopping {
		c.stepMembership(membership.Drain{On: true})
	}
}

// handleMemberDatagram gives a datagram to the reducer whose version its first byte names. Any other datagram goes to the membership
// reducer, which counts the malformed ones. The data piggybacked on a membership datagram goes to the knowledge reducer.
func (c *Core) handleMemberDatagram(ev MemberDatagram) {
	version := byte(membership.Version)
	if len(ev.Data) > 0 {
		version = ev.Data[0]
	}
	switch {
	case c.maintenance != nil && version == maintenance.Version:
		c.stepMaintenance(maintenance.Datagram{From: ev.From, Data: ev.Data})
	case c.budget != nil && version == budget.Version:
		c.stepBudget(budget.Datagram{From: ev.From, Data: ev.Data})
		c.applyColdRates()
	case c.knowledge != nil && version == knowledge.Version:
		c.reportObservations()
		c.stepKnowledge(knowledge.Datagram{From: ev.From, Data: ev.Data})
	default:
		data, piggyback, err := datagram.SplitPiggyback(ev.Data)
		if err != nil { // membership counts it as malformed
			data = ev.Data
		}
		c.stepMembership(membership.Datagram{From: ev.From, Data: data})
		if len(piggyback) > 0 && c.knowledge != nil {
			c.stepKnowledge(knowledge.Piggyback{From: ev.From, Data: piggyback})
		}
	}
}

// stepMembership gives the membership reducer an event and carries out its effects.
func (c *Core) stepMembership(ev membership.Event) {
	if c.membership != nil {
		c.applyMembershipEffects(c.membership.Step(c.now, ev))
	}
}

// applyMembershipEffects carries out effects of the membership reducer.
func (c *Core) applyMembershipEffects(effects []membership.Effect) {
	changed := false
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.Send:
			c.emit(SendToMember{To: effect.To, Data: c.appendPiggyback(effect.Data)})
		case membership.Timer:
			c.setTimer(effect.At, Token{kind: tokenMembership, membership: effect.Token})
		case membership.StateChanged:
			changed = true
			if effect.Member != c.selfIndex {
				c.emit(MemberChanged{effect})
				c.updateMaintenanceAvailability(effect.Member, effect.New)
				c.updateBudgetAvailability(effect.Member, effect.New)
				c.updateKnowledgeAvailability(effect.Member, effect.Old, effect.New)
			}
		}
	}
	if changed {
		c.controller.SetColdQuotaFraction(c.membership.View().ColdQuotaFraction())
	}
}

// memberStats returns the state of the tier; nil if there is no membership.
func (c *Core) memberStats() *MemberStats {
	if c.membership == nil {
		return nil
	}
	view := c.membership.View()
	return &MemberStats{
		Counters: c.membership.Counters(), View: view, Self: c.selfIndex, Members: c.membership.Members(),
		Health: c.membership.Health(), ColdQuotaFraction: view.ColdQuotaFraction(),
	}
}
