package wire

import (
	"elmseam"
	"elmseam/internal/membership"
	"elmseam/internal/settings"
)

// member is an instance's part in its tier's membership.
type member struct {
	r      *membership.Reducer
	timers map[uint32]membership.Token // by the wire's token
	last   uint32
}

// EnableMembership has every instance that starts from now on take part in its tier's membership, where the settings permit peer
// messages. The simulator prices them; the adapter has them off unless it is told otherwise.
func (h *Host) EnableMembership(l membership.Limits) { h.limits = &l }

// join begins the part of the current instance.
func (h *Host) join(text []byte, seed uint64, now elmseam.Time) {
	delete(h.members, h.current)
	if h.limits == nil {
		return
	}
	n, err := settings.DecodeDeployment(text)
	if err != nil || !n.PeerMessagesEnabled || n.Self < 0 {
		return
	}
	r, out, err := membership.New(membership.Config{Self: n.Self, TierSize: n.TierSize, Limits: *h.limits, Seed: seed}, now)
	if err != nil {
		h.broken(err.Error())
		return
	}
	m := &member{r: r, timers: make(map[uint32]membership.Token)}
	h.members[h.current] = m
	h.carry(m, out)
}

// step hands the current instance's part an event, if it has one.
func (h *Host) step(now elmseam.Time, ev membership.Event) {
	if m := h.members[h.current]; m != nil {
		h.carry(m, m.r.Step(now, ev))
	}
}

// due hands a timer on that is membership's. Its tokens are counted down from the top; a call of the same number, should
// one ever come, is woken beside it, which changes nothing.
func (h *Host) due(now elmseam.Time, token uint32) {
	if m := h.members[h.current]; m != nil {
		if t, ours := m.timers[token]; ours {
			delete(m.timers, token)
			h.carry(m, m.r.Step(now, membership.TimerFired{Token: t}))
		}
	}
}

// carry writes down what membership asks for, and tells the controller how careful to be.
func (h *Host) carry(m *member, out []membership.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case membership.Send:
			h.speak()
			rec := h.reply.add(acAnnounce)
			le.PutUint16(rec[1:], uint16(e.To))
			le.PutUint32(rec[3:], uint32(len(h.reply.tail)))
			le.PutUint32(rec[7:], uint32(len(e.Data)))
			h.reply.tail = append(h.reply.tail, e.Data...)
		case membership.Timer:
			m.last--
			m.timers[m.last] = e.Token
			h.encode(elmseam.SetTimer{Token: m.last, At: e.At})
		case membership.StateChanged:
			if c := h.instances[h.current]; c != nil {
				c.SetColdQuotaFraction(m.r.View().ColdQuotaFactor())
			}
		}
	}
}

// peerData reads a message of another instance.
func (b *Batch) peerData(rec []byte) (membership.Datagram, error) {
	data, err := b.span(le.Uint32(rec[3:]), le.Uint32(rec[7:]), 1)
	return membership.Datagram{From: int(le.Uint16(rec[1:])), Data: data}, err
}
