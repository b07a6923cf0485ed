package handover

import "elmseam/internal/core"

// FromEffect converts an effect for a caller to a message to the successor. A conn of 0 names no particular connection of the
// successor. ok is false for an effect that is not sent to the successor.
func FromEffect(protocol core.Protocol, conn core.ConnID, e core.Effect) (msg Message, ok bool) {
	msg = Message{Kind: KindEffect, Protocol: protocol, Conn: conn}
	switch e := e.(type) {
	case core.Answered:
		msg.Effect, msg.ID, msg.Desc = "answered", e.ID, e.Desc
	case core.Rejected:
		msg.Effect, msg.ID, msg.Reason, msg.RetryAfter = "rejected", e.ID, e.Reason, e.RetryAfter
	case core.Released:
		msg.Effect, msg.ID, msg.Reason = "released", e.ID, e.Reason
	default:
		return msg, false
	}
	return msg, true
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
