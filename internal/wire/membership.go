package wire

import (
	"elmseam"
	"elmseam/internal/membership"
	"elmseam/internal/settings"
)

// member is an instance's part in its tier's membership.
type member struct {
	reducer   *membership.Reducer
	timers    map[uint32]membership.Token // by the wire's token
	lastToken uint32
}

// EnableMembership has every instance that starts from now on take part in its tier's membership, where the settings permit peer
// messages. The simulator prices them; the adapter has them off unless it is told otherwise.
func (h *Host) EnableMembership(l membership.Limits) { h.membershipLimits = &l }

// join begins the part of the current instance.
func (h *Host) startMembership(settingsText []byte, seed uint64, now elmseam.Time) {
	delete(h.members, h.current)
	if h.membershipLimits == nil {
		return
	}
	deployment, err := settings.DecodeDeployment(settingsText)
	if err != nil || !deployment.PeerMessagesEnabled || deployment.Self < 0 {
		return
	}
	reducer, effects, err := membership.New(membership.Config{Self: deployment.Self, TierSize: deployment.TierSize, Limits: *h.membershipLimits, Seed: seed}, now)
	if err != nil {
		h.reportFailure(err.Error())
		return
	}
	m := &member{reducer: reducer, timers: make(map[uint32]membership.Token)}
	h.members[h.current] = m
	h.applyMembershipEffects(m, effects)
}

// step hands the current instance's part an event, if it has one.
func (h *Host) stepMembership(now elmseam.Time, ev membership.Event) {
	if m := h.members[h.current]; m != nil {
		h.applyMembershipEffects(m, m.reducer.Step(now, ev))
	}
}

// due hands a timer on that is membership's. Its tokens are counted down from the top; a call of the same number, should
// one ever come, is woken beside it, which changes nothing.
func (h *Host) fireMembershipTimer(now elmseam.Time, token uint32) {
	if m := h.members[h.current]; m != nil {
		if membershipToken, found := m.timers[token]; found {
			delete(m.timers, token)
			h.applyMembershipEffects(m, m.reducer.Step(now, membership.TimerFired{Token: membershipToken}))
		}
	}
}

// carry writes down what membership asks for, and tells the controller how careful to be.
func (h *Host) applyMembershipEffects(m *member, effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			h.selectReplyInstance()
			rec := h.reply.addRecord(actionPeerData)
			byteOrder.PutUint16(rec[1:], uint16(e.To))
			byteOrder.PutUint32(rec[3:], uint32(len(h.reply.tail)))
			byteOrder.PutUint32(rec[7:], uint32(len(e.Data)))
			h.reply.tail = append(h.reply.tail, e.Data...)
		case membership.Timer:
			m.lastToken--
			m.timers[m.lastToken] = e.Token
			h.encodeAction(elmseam.SetTimer{Token: m.lastToken, At: e.At})
		case membership.StateChanged:
			if controller := h.instances[h.current]; controller != nil {
				controller.SetColdQuotaFraction(m.reducer.View().ColdQuotaFactor())
			}
		}
	}
}

// peerData reads a message of another instance.
func (b *Batch) decodePeerData(rec []byte) (membership.Datagram, error) {
	data, err := b.tailBytes(byteOrder.Uint32(rec[3:]), byteOrder.Uint32(rec[7:]), 1)
	return membership.Datagram{From: int(byteOrder.Uint16(rec[1:])), Data: data}, err
}
