package handover

import "elmseam/internal/core"

// FromEffect is the message for what a caller is told. A Link of 0: on any connection.
func FromEffect(protocol core.Protocol, conn core.ConnID, e core.Effect) (m Message, ok bool) {
	m = Message{Kind: Effect, Protocol: protocol, Conn: conn}
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

// ToEffect is what such a message says.
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
