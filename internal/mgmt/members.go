package mgmt

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/membership"
	"elmseam/internal/peers"
)

// TierStatus is the answer of /ops/members: what this softswitch holds of its tier.
type TierStatus struct {
	Self      int            `json:"self"`      // own number
	Health    int            `json:"health"`    // local health multiplier, 0 the best
	Majority  bool           `json:"majority"`  // more than half of the tier is there
	ColdShare float64        `json:"coldShare"` // part of its own part of a cold server's budget that it takes
	Members   []MemberStatus `json:"members"`   // by number
}

// MemberStatus is one softswitch of the tier as this one holds it.
type MemberStatus struct {
	Index             int    `json:"number"`
	Address           string `json:"address"`
	State             string `json:"state"`       // unknown, alive, draining, suspect, dead or left
	Incarnation       uint64 `json:"incarnation"` // 0: none heard of
	StateAgeMS        int64  `json:"forMs"`       // it has been in this state, in milliseconds
	LastDatagramAgeMS *int64 `json:"heardMs"`     // since its last datagram; null: none came, or it is this one
}

// membersJSON shows the tier.
func membersJSON(f loop.Snapshot, addresses []string) string {
	m := f.Members
	now := membership.Time(f.At.UnixNano())
	ms := func(since membership.Time) int64 { return max(int64((now-since)/time.Millisecond), 0) }
	t := TierStatus{Self: m.Self, Health: m.Health, Majority: m.Majority(), ColdShare: m.ColdShare}
	for i, e := range m.Members {
		one := MemberStatus{Index: i, State: e.State.String(), Incarnation: e.Incarnation}
		if i < len(addresses) {
			one.Address = addresses[i]
		}
		if e.Since > 0 {
			one.StateAgeMS = ms(e.Since)
		}
		if e.LastReceived > 0 {
			heard := ms(e.LastReceived)
			one.LastDatagramAgeMS = &heard
		}
		t.Members = append(t.Members, one)
	}
	b, _ := json.Marshal(t)
	return string(b) + "\n"
}

// memberText shows the figures of membership, one a line.
func memberText(m core.MemberStats, c peers.Counters) string {
	var b strings.Builder
	for _, l := range []struct {
		name  string
		value uint64
	}{
		{"tier", uint64(m.TierSize)}, {"there", uint64(m.Available)}, {"suspects", uint64(m.Suspects)}, {"down", uint64(m.Down)},
		{"unknown", uint64(m.Unknown)}, {"health", uint64(m.Health)},
		{"probes", m.Probes}, {"indirect", m.Indirect}, {"acks", m.Acks}, {"nacks", m.Nacks}, {"failed", m.Failed},
		{"suspicions", m.Suspicions}, {"deaths", m.Deaths}, {"refutations", m.Refutations}, {"stalls", m.Stalls},
		{"sent", m.Sent}, {"sent_bytes", m.SentBytes}, {"heard", m.Received},
		{"dropped_garbled", m.Malformed}, {"dropped_version", m.VersionMismatches}, {"dropped_stranger", m.UnknownSenders + c.UnknownSenders},
		{"dropped_flood", c.RateLimited}, {"unwritten", c.SendDrops},
	} {
		fmt.Fprintf(&b, "app.members.%s=%d\n", l.name, l.value)
	}
	return b.String()
}
