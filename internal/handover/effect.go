package handover

import "elmseam/internal/core"

// FromEffect converts an effect for a caller to a message. A conn of 0 stands for any of the successor's connections. ok is
// false for an effect that is not relayed.
func FromEffect(protocol core.Protocol, conn core.ConnID, e core.Effect) (m Message, ok bool) {
	m = Message{Kind: KindEffect, Protocol: protocol, Conn: conn}
	switch e := e.(type) {
	case core.Answered:
		m.Effect, m.ID, m.Desc = "answered", e.ID, e.Desc
	case core.Rejected:
		m.Effect, m.ID, m.Reason, m.RetryAfter = "rejected", e.ID, e.Reason, e.RetryAfter
	case core.Released:
		m.Effect, m.ID, m.Reason = "released", e.ID, e.Reason
	default:
		return m, false
	}
	return m, true
}

// ToEffect converts a message that FromEffect built back to its effect, with To left 0. It returns nil if the effect is unknown.
func (m Message) ToEffect() core.Effect {
	switch m.Effect {
	case "answered":
		return core.Answered{ID: m.ID, Desc: m.Desc}
	case "rejected":
		return core.Rejected{ID: m.ID, Reason: m.Reason, RetryAfter: m.RetryAfter}
	case "released":
		return core.Released{ID: m.ID, Reason: m.Reason}
	}
	return nil
}
