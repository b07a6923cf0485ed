package wire

import (
	"elmseam"
	"elmseam/internal/membership"
	"elmseam/internal/settings"
)

// member is an instance that takes part in the membership protocol of its tier.
type member struct {
	reducer        *membership.Reducer         // membership state machine of the instance
	pendingTimers  map[uint32]membership.Token // pending membership timers, by the timer token on the wire
	lastTimerToken uint32                      // timer token used last, 0 before the first; tokens are counted down from the highest number
}

// EnableMembership makes every instance that starts after the call take part in the membership protocol of its tier, if
// the instance's settings permit peer messages and give its index. Membership is off by default, because the simulator
// charges for peer messages.
func (h *Host) EnableMembership(limits membership.Limits) { h.membershipLimits = &limits }

// startMembership makes the current instance a member of its tier, if membership is enabled and permitted by the settings.
// Invalid tier settings are reported as the instance's failure.
func (h *Host) startMembership(settingsText []byte, seed uint64, now elmseam.Time) {
	if h.membershipLimits == nil {
		return
	}
	deployment, err := settings.DecodeDeployment(settingsText)
	if err != nil || !deployment.PeerMessagesEnabled || deployment.Self < 0 {
		return
	}
	reducer, effects, err := membership.New(membership.Config{Self: deployment.Self, TierSize: deployment.TierSize, Limits: *h.membershipLimits, Seed: seed}, now)
	if err != nil {
		h.endInstance(err.Error())
		return
	}
	instance := &member{reducer: reducer, pendingTimers: make(map[uint32]membership.Token)}
	h.members[h.currentInstance] = instance
	h.applyMembershipEffects(instance, effects)
}

// stepMembership passes an event to the membership reducer of the current instance, if the instance is a member.
func (h *Host) stepMembership(now elmseam.Time, event membership.Event) {
	if instance := h.members[h.currentInstance]; instance != nil {
		h.applyMembershipEffects(instance, instance.reducer.Step(now, event))
	}
}

// fireMembershipTimer passes the timer with the given token to the membership reducer, if the timer belongs to membership.
// Membership takes its tokens from the highest number downwards. A call whose id equals such a token also gets the timer
// event, which has no effect on the call before one of the call's own timers is due.
func (h *Host) fireMembershipTimer(now elmseam.Time, token uint32) {
	if instance := h.members[h.currentInstance]; instance != nil {
		if membershipToken, found := instance.pendingTimers[token]; found {
			delete(instance.pendingTimers, token)
			h.applyMembershipEffects(instance, instance.reducer.Step(now, membership.TimerFired{Token: membershipToken}))
		}
	}
}

// applyMembershipEffects appends the peer messages and timers that membership asks for to the reply. When the state of a
// member changes, the function sets the fraction of the own quota of a cold server's budget that the controller may use.
func (h *Host) applyMembershipEffects(instance *member, effects []membership.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.Send:
			h.selectReplyInstance()
			record := h.reply.addRecord(actionPeerData)
			byteOrder.PutUint16(record[1:], uint16(effect.To))
			byteOrder.PutUint32(record[3:], uint32(len(h.reply.tail)))
			byteOrder.PutUint32(record[7:], uint32(len(effect.Data)))
			h.reply.tail = append(h.reply.tail, effect.Data...)
		case membership.Timer:
			instance.lastTimerToken--
			instance.pendingTimers[instance.lastTimerToken] = effect.Token
			h.encodeAction(elmseam.SetTimer{Token: instance.lastTimerToken, At: effect.At})
		case membership.StateChanged:
			if controller := h.controllers[h.currentInstance]; controller != nil {
				controller.SetColdQuotaFraction(instance.reducer.View().ColdQuotaFraction())
			}
		}
	}
}

// decodePeerData decodes a message from another instance. The message itself is in the tail.
func (b *Batch) decodePeerData(rec []byte) (membership.Datagram, error) {
	data, err := b.tailItems(byteOrder.Uint32(rec[3:]), byteOrder.Uint32(rec[7:]), 1)
	return membership.Datagram{From: int(byteOrder.Uint16(rec[1:])), Data: data}, err
}
