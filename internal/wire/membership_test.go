package wire

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"elmseam/internal/membership"
)

// encodeBatch returns a batch with the given clock, in microseconds, the records, each padded to its full size, and the tail.
func encodeBatch(clock uint64, records [][]byte, tail []byte) []byte {
	batch := byteOrder.AppendUint32(nil, 1)
	batch = byteOrder.AppendUint32(batch, uint32(len(records)*eventRecordSize+len(tail)))
	batch = byteOrder.AppendUint32(batch, uint32(len(records)))
	batch = byteOrder.AppendUint64(batch, clock)
	for _, record := range records {
		batch = append(append(batch, record...), make([]byte, eventRecordSize-len(record))...)
	}
	return append(batch, tail...)
}

// TestMembershipExchange checks that two instances of a tier come to consider each other alive by peer messages and timers on
// the wire, in simulated time, and that no peer message is written where membership is not enabled or the settings don't
// permit peer messages.
func TestMembershipExchange(t *testing.T) {
	settingsFor := func(self int, permitted bool) string {
		return strings.Replace(strings.Replace(validSettings, `"max-attempts": 4`, fmt.Sprintf(`"max-attempts": 4, "peer-messages": %t`, permitted), 1),
			`{"request-classes"`, fmt.Sprintf(`{"me": %d, "peers-total": 2, "request-classes"`, self), 1)
	}
	for _, tc := range []struct{ enabled, permitted, want bool }{{true, true, true}, {false, true, false}, {true, false, false}} {
		host := NewHost()
		if tc.enabled {
			host.EnableMembership(membership.Defaults())
		}
		type pendingTimer struct {
			at       uint64
			instance uint16
			token    uint32
		}
		var timers []pendingTimer
		peerMessages := 0
		var serveBatch func(clock uint64, records [][]byte, tail []byte)
		serveBatch = func(clock uint64, records [][]byte, tail []byte) {
			var out bytes.Buffer
			if err := host.Serve(bytes.NewReader(encodeBatch(clock, records, tail)), &out, func() error { return nil }); err != nil {
				t.Fatal(err)
			}
			reply := out.Bytes()
			actionCount := int(byteOrder.Uint32(reply[4:]))
			actionRecords, replyTail := reply[replyHeaderSize:replyHeaderSize+actionCount*actionRecordSize], reply[replyHeaderSize+actionCount*actionRecordSize:]
			instance := uint16(0)
			for ; len(actionRecords) > 0; actionRecords = actionRecords[actionRecordSize:] {
				switch actionRecords[0] {
				case actionSelectInstance:
					instance = byteOrder.Uint16(actionRecords[1:])
				case actionSetTimer:
					timers = append(timers, pendingTimer{byteOrder.Uint64(actionRecords[5:]), instance, byteOrder.Uint32(actionRecords[1:])})
				case actionPeerData:
					peerMessages++
					data := replyTail[byteOrder.Uint32(actionRecords[3:]):][:byteOrder.Uint32(actionRecords[7:])]
					peerRecord := byteOrder.AppendUint16([]byte{eventPeerData}, instance) // the instance number is the member's index in the tier
					peerRecord = byteOrder.AppendUint32(byteOrder.AppendUint32(peerRecord, 0), uint32(len(data)))
					serveBatch(clock, [][]byte{byteOrder.AppendUint16([]byte{eventSelectInstance}, byteOrder.Uint16(actionRecords[1:])), peerRecord}, data)
				}
			}
		}
		for i := range 2 {
			settingsText := settingsFor(i, tc.permitted)
			startRecord := byteOrder.AppendUint32(byteOrder.AppendUint32(append([]byte{eventStarted}, make([]byte, 8)...), 0), uint32(len(settingsText)))
			serveBatch(1e9, [][]byte{byteOrder.AppendUint16([]byte{eventSelectInstance}, uint16(i)), startRecord}, []byte(settingsText))
		}
		for range 200 {
			if len(timers) == 0 {
				break
			}
			slices.SortStableFunc(timers, func(a, b pendingTimer) int { return int(a.at) - int(b.at) })
			next := timers[0]
			timers = timers[1:]
			serveBatch(next.at, [][]byte{byteOrder.AppendUint16([]byte{eventSelectInstance}, next.instance), byteOrder.AppendUint32([]byte{eventTimerFired}, next.token)}, nil)
		}
		if (peerMessages > 0) != tc.want {
			t.Errorf("%+v: %d peer messages were written", tc, peerMessages)
		}
		for i := range 2 {
			if m := host.members[uint16(i)]; (m != nil) != tc.want || m != nil && m.reducer.Members()[1-i].State != membership.StateAlive {
				t.Errorf("%+v: instance %d: membership %+v, want the other instance alive, or no membership", tc, i, m)
			}
		}
	}
}
