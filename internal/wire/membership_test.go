package wire

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"elmseam/internal/membership"
)

// frame is a batch of records with a tail.
func encodeBatch(clock uint64, records [][]byte, tail []byte) []byte {
	b := byteOrder.AppendUint32(nil, 1)
	b = byteOrder.AppendUint32(b, uint32(len(records)*eventRecordSize+len(tail)))
	b = byteOrder.AppendUint32(b, uint32(len(records)))
	b = byteOrder.AppendUint64(b, clock)
	for _, r := range records {
		b = append(append(b, r...), make([]byte, eventRecordSize-len(r))...)
	}
	return append(b, tail...)
}

// Two instances of one tier find each other by announcements and timers on the wire, in the simulator's time; where the
// adapter is not told to, or the settings don't permit it, nothing of that kind is written.
func TestMembershipExchange(t *testing.T) {
	settings := func(me int, permitted bool) string {
		return strings.Replace(strings.Replace(validSettings, `"max-attempts": 4`, fmt.Sprintf(`"max-attempts": 4, "peer-messages": %t`, permitted), 1),
			`{"request-classes"`, fmt.Sprintf(`{"me": %d, "peers-total": 2, "request-classes"`, me), 1)
	}
	for _, c := range []struct{ told, permitted, want bool }{{true, true, true}, {false, true, false}, {true, false, false}} {
		h := NewHost()
		if c.told {
			h.EnableMembership(membership.Defaults())
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
			if err := h.Serve(bytes.NewReader(encodeBatch(clock, records, tail)), &out, func() error { return nil }); err != nil {
				t.Fatal(err)
			}
			reply := out.Bytes()
			actionCount := int(byteOrder.Uint32(reply[4:]))
			actionRecords, tail := reply[replyHeaderSize:replyHeaderSize+actionCount*actionRecordSize], reply[replyHeaderSize+actionCount*actionRecordSize:]
			instance := uint16(0)
			for ; len(actionRecords) > 0; actionRecords = actionRecords[actionRecordSize:] {
				switch actionRecords[0] {
				case actionSelectInstance:
					instance = byteOrder.Uint16(actionRecords[1:])
				case actionSetTimer:
					timers = append(timers, pendingTimer{byteOrder.Uint64(actionRecords[5:]), instance, byteOrder.Uint32(actionRecords[1:])})
				case actionPeerData:
					peerMessages++
					data := tail[byteOrder.Uint32(actionRecords[3:]):][:byteOrder.Uint32(actionRecords[7:])]
					peerRecord := byteOrder.AppendUint16([]byte{eventPeerData}, instance) // instances are numbered as they are in the tier
					peerRecord = byteOrder.AppendUint32(byteOrder.AppendUint32(peerRecord, 0), uint32(len(data)))
					serveBatch(clock, [][]byte{byteOrder.AppendUint16([]byte{eventSelectInstance}, byteOrder.Uint16(actionRecords[1:])), peerRecord}, data)
				}
			}
		}
		for i := range 2 {
			tail := settings(i, c.permitted)
			startRecord := byteOrder.AppendUint32(byteOrder.AppendUint32(append([]byte{eventStarted}, make([]byte, 8)...), 0), uint32(len(tail)))
			serveBatch(1e9, [][]byte{byteOrder.AppendUint16([]byte{eventSelectInstance}, uint16(i)), startRecord}, []byte(tail))
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
		if (peerMessages > 0) != c.want {
			t.Errorf("%+v: %d announcements", c, peerMessages)
		}
		for i := range 2 {
			if m := h.members[uint16(i)]; (m != nil) != c.want || m != nil && m.reducer.Members()[1-i].State != membership.Alive {
				t.Errorf("%+v: instance %d: %+v", c, i, m)
			}
		}
	}
}
