package core

import (
	"elmseam/internal/budget"
	"elmseam/internal/datagram"
	"elmseam/internal/knowledge"
	"elmseam/internal/maintenance"
	"elmseam/internal/membership"
)

// The tier's membership runs inside the core: its datagrams come through the inbox like all else, so a softswitch
// whose core stands still answers no probe, and is suspected for it. What is learned of the others changes one
// decision, the part of a cold server's budget, and only for the less (membership.View.ColdShare).

type (
	// StartMembership begins this softswitch's part in its tier. Without one there is no membership.
	StartMembership struct{ Config membership.Config }
	// MemberDatagram is a datagram of another softswitch of the tier, by its number.
	MemberDatagram struct {
		From int
		Data []byte
	}
)

func (StartMembership) event() {}
func (MemberDatagram) event()  {}

type (
	// SendToMember is a datagram to another softswitch of the tier, by its number.
	SendToMember struct {
		To   int
		Data []byte
	}
	// MemberChanged says that another softswitch of the tier is held to be in another state now.
	MemberChanged struct{ membership.StateChanged }
)

func (SendToMember) effect()  {}
func (MemberChanged) effect() {}

// MemberStats are what operators are shown of the tier.
type MemberStats struct {
	membership.Counters
	membership.View
	Self      int
	Members   []membership.Member
	Health    int     // local health multiplier, 0 the best
	ColdShare float64 // part of its own part of a cold server's budget that this softswitch takes
}

// join begins membership. A second Join changes nothing.
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
	c.membershipEffects(effects)
	c.controller.SetColdQuotaFraction(c.membership.View().ColdQuotaFactor())
	if c.draining || c.stopping {
		c.stepMembership(membership.Drain{On: true})
	}
}

// peer hands a datagram to the protocol that its first byte names; what none knows, membership counts.
func (c *Core) memberDatagram(ev MemberDatagram) {
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
		if err != nil { // membership counts it
			data = ev.Data
		}
		c.stepMembership(membership.Datagram{From: ev.From, Data: data})
		if len(piggyback) > 0 && c.knowledge != nil {
			c.stepKnowledge(knowledge.Piggyback{From: ev.From, Data: piggyback})
		}
	}
}

// toPeers hands membership an event.
func (c *Core) stepMembership(ev membership.Event) {
	if c.membership != nil {
		c.membershipEffects(c.membership.Step(c.now, ev))
	}
}

// peers carries out what membership asks for.
func (c *Core) membershipEffects(effects []membership.Effect) {
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
				c.maintenanceAvailability(effect.Member, effect.New)
				c.budgetAvailability(effect.Member, effect.New)
				c.knowledgeAvailability(effect.Member, effect.Old, effect.New)
			}
		}
	}
	if changed {
		c.controller.SetColdQuotaFraction(c.membership.View().ColdQuotaFactor())
	}
}

// members are the figures of the tier; nil where there is no membership.
func (c *Core) memberStats() *MemberStats {
	if c.membership == nil {
		return nil
	}
	view := c.membership.View()
	return &MemberStats{
		Counters: c.membership.Counters(), View: view, Self: c.selfIndex, Members: c.membership.Members(),
		Health: c.membership.Health(), ColdShare: view.ColdQuotaFactor(),
	}
}
