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
func (c *Core) join(ev StartMembership) {
	if c.fleet != nil {
		return
	}
	fleet, out, err := membership.New(ev.Config, c.now)
	if err != nil {
		c.do(Violation{Rule: err.Error()})
		return
	}
	c.fleet, c.self = fleet, ev.Config.Self
	c.peers(out)
	c.ctl.SetColdQuotaFraction(c.fleet.View().ColdQuotaFactor())
	if c.draining || c.stopping {
		c.toPeers(membership.Drain{On: true})
	}
}

// peer hands a datagram to the protocol that its first byte names; what none knows, membership counts.
func (c *Core) peer(ev MemberDatagram) {
	version := byte(membership.Version)
	if len(ev.Data) > 0 {
		version = ev.Data[0]
	}
	switch {
	case c.work != nil && version == maintenance.Version:
		c.toWork(maintenance.Datagram{From: ev.From, Data: ev.Data})
	case c.parts != nil && version == budget.Version:
		c.toParts(budget.Datagram{From: ev.From, Data: ev.Data})
		c.allot()
	case c.knows != nil && version == knowledge.Version:
		c.seen()
		c.toKnow(knowledge.Datagram{From: ev.From, Data: ev.Data})
	default:
		bare, rider, err := datagram.SplitPiggyback(ev.Data)
		if err != nil { // membership counts it
			bare = ev.Data
		}
		c.toPeers(membership.Datagram{From: ev.From, Data: bare})
		if len(rider) > 0 && c.knows != nil {
			c.toKnow(knowledge.Piggyback{From: ev.From, Data: rider})
		}
	}
}

// toPeers hands membership an event.
func (c *Core) toPeers(ev membership.Event) {
	if c.fleet != nil {
		c.peers(c.fleet.Step(c.now, ev))
	}
}

// peers carries out what membership asks for.
func (c *Core) peers(out []membership.Effect) {
	changed := false
	for _, e := range out {
		switch e := e.(type) {
		case membership.Send:
			c.do(SendToMember{To: e.To, Data: c.ride(e.Data)})
		case membership.Timer:
			c.timer(e.At, Token{kind: tokenMember, member: e.Token})
		case membership.StateChanged:
			changed = true
			if e.Member != c.self {
				c.do(MemberChanged{e})
				c.peerThere(e.Member, e.New)
				c.partThere(e.Member, e.New)
				c.knowThere(e.Member, e.Old, e.New)
			}
		}
	}
	if changed {
		c.ctl.SetColdQuotaFraction(c.fleet.View().ColdQuotaFactor())
	}
}

// members are the figures of the tier; nil where there is no membership.
func (c *Core) members() *MemberStats {
	if c.fleet == nil {
		return nil
	}
	v := c.fleet.View()
	return &MemberStats{
		Counters: c.fleet.Counters(), View: v, Self: c.self, Members: c.fleet.Members(),
		Health: c.fleet.Health(), ColdShare: v.ColdQuotaFactor(),
	}
}
