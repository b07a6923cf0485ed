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
func frame(clock uint64, records [][]byte, tail []byte) []byte {
	b := le.AppendUint32(nil, 1)
	b = le.AppendUint32(b, uint32(len(records)*eventSize+len(tail)))
	b = le.AppendUint32(b, uint32(len(records)))
	b = le.AppendUint64(b, clock)
	for _, r := range records {
		b = append(append(b, r...), make([]byte, eventSize-len(r))...)
	}
	return append(b, tail...)
}

// Two instances of one tier find each other by announcements and timers on the wire, in the simulator's time; where the
// adapter is not told to, or the settings don't permit it, nothing of that kind is written.
func TestMembersOnTheWire(t *testing.T) {
	settings := func(me int, permitted bool) string {
		return strings.Replace(strings.Replace(goodSettings, `"max-attempts": 4`, fmt.Sprintf(`"max-attempts": 4, "peer-messages": %t`, permitted), 1),
			`{"request-classes"`, fmt.Sprintf(`{"me": %d, "peers-total": 2, "request-classes"`, me), 1)
	}
	for _, c := range []struct{ told, permitted, want bool }{{true, true, true}, {false, true, false}, {true, false, false}} {
		h := NewHost()
		if c.told {
			h.EnableMembership(membership.Defaults())
		}
		type due struct {
			at       uint64
			instance uint16
			token    uint32
		}
		var timers []due
		announced := 0
		var play func(clock uint64, records [][]byte, tail []byte)
		play = func(clock uint64, records [][]byte, tail []byte) {
			var out bytes.Buffer
			if err := h.Serve(bytes.NewReader(frame(clock, records, tail)), &out, func() error { return nil }); err != nil {
				t.Fatal(err)
			}
			reply := out.Bytes()
			n := int(le.Uint32(reply[4:]))
			acts, text := reply[replyHeader:replyHeader+n*actionSize], reply[replyHeader+n*actionSize:]
			at := uint16(0)
			for ; len(acts) > 0; acts = acts[actionSize:] {
				switch acts[0] {
				case acContext:
					at = le.Uint16(acts[1:])
				case acDefer:
					timers = append(timers, due{le.Uint64(acts[5:]), at, le.Uint32(acts[1:])})
				case acAnnounce:
					announced++
					data := text[le.Uint32(acts[3:]):][:le.Uint32(acts[7:])]
					rec := le.AppendUint16([]byte{evPeerData}, at) // instances are numbered as they are in the tier
					rec = le.AppendUint32(le.AppendUint32(rec, 0), uint32(len(data)))
					play(clock, [][]byte{le.AppendUint16([]byte{evTo}, le.Uint16(acts[1:])), rec}, data)
				}
			}
		}
		for i := range 2 {
			text := settings(i, c.permitted)
			up := le.AppendUint32(le.AppendUint32(append([]byte{evUp}, make([]byte, 8)...), 0), uint32(len(text)))
			play(1e9, [][]byte{le.AppendUint16([]byte{evTo}, uint16(i)), up}, []byte(text))
		}
		for range 200 {
			if len(timers) == 0 {
				break
			}
			slices.SortStableFunc(timers, func(a, b due) int { return int(a.at) - int(b.at) })
			d := timers[0]
			timers = timers[1:]
			play(d.at, [][]byte{le.AppendUint16([]byte{evTo}, d.instance), le.AppendUint32([]byte{evDue}, d.token)}, nil)
		}
		if (announced > 0) != c.want {
			t.Errorf("%+v: %d announcements", c, announced)
		}
		for i := range 2 {
			if m := h.members[uint16(i)]; (m != nil) != c.want || m != nil && m.r.Members()[1-i].State != membership.Alive {
				t.Errorf("%+v: instance %d: %+v", c, i, m)
			}
		}
	}
}
