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

// TierStatus is the answer of /ops/members: this softswitch's view of its tier.
type TierStatus struct {
	Self              int            `json:"self"`      // index of this softswitch in its tier
	Health            int            `json:"health"`    // local health multiplier; 0 is best
	Majority          bool           `json:"majority"`  // more than half of the tier is available
	ColdQuotaFraction float64        `json:"coldShare"` // fraction used of the own quota of a cold server's budget, 0 to 1
	Members           []MemberStatus `json:"members"`   // by index
}

// MemberStatus is the state of one member of the tier in this softswitch's view.
type MemberStatus struct {
	Index             int    `json:"number"`
	Address           string `json:"address"`
	State             string `json:"state"`       // unknown, alive, draining, suspect, dead or left
	Incarnation       uint64 `json:"incarnation"` // 0: not known
	StateAgeMS        int64  `json:"forMs"`       // time in this state, in milliseconds
	LastDatagramAgeMS *int64 `json:"heardMs"`     // age of its last datagram, in milliseconds; null: none received, or this softswitch
}

// membersJSON formats the answer of /ops/members. addresses are the members' addresses, by index.
func membersJSON(snapshot loop.Snapshot, addresses []string) string {
	stats := snapshot.Members
	now := membership.Time(snapshot.At.UnixNano())
	ageMS := func(since membership.Time) int64 { return max(int64((now-since)/time.Millisecond), 0) }
	status := TierStatus{Self: stats.Self, Health: stats.Health, Majority: stats.Majority(), ColdQuotaFraction: stats.ColdQuotaFraction}
	for i, entry := range stats.Members {
		member := MemberStatus{Index: i, State: entry.State.String(), Incarnation: entry.Incarnation}
		if i < len(addresses) {
			member.Address = addresses[i]
		}
		if entry.Since > 0 {
			member.StateAgeMS = ageMS(entry.Since)
		}
		if entry.LastReceived > 0 {
			age := ageMS(entry.LastReceived)
			member.LastDatagramAgeMS = &age
		}
		status.Members = append(status.Members, member)
	}
	encoded, _ := json.Marshal(status)
	return string(encoded) + "\n"
}

// membershipStatsText formats the counters of membership and of the tier's socket as lines "app.members.NAME=VALUE".
func membershipStatsText(stats core.MemberStats, socketCounters peers.Counters) string {
	var text strings.Builder
	for _, line := range []struct {
		name  string
		value uint64
	}{
		{"tier", uint64(stats.TierSize)}, {"there", uint64(stats.Available)}, {"suspects", uint64(stats.Suspects)}, {"down", uint64(stats.Down)},
		{"unknown", uint64(stats.Unknown)}, {"health", uint64(stats.Health)},
		{"probes", stats.Probes}, {"indirect", stats.IndirectProbes}, {"acks", stats.Acks}, {"nacks", stats.Nacks}, {"failed", stats.FailedProbes},
		{"suspicions", stats.Suspicions}, {"deaths", stats.Deaths}, {"refutations", stats.Refutations}, {"stalls", stats.Stalls},
		{"sent", stats.Sent}, {"sent_bytes", stats.SentBytes}, {"heard", stats.Received},
		{"dropped_garbled", stats.Malformed}, {"dropped_version", stats.VersionMismatches},
		{"dropped_stranger", stats.UnknownSenders + socketCounters.UnknownSenders},
		{"dropped_flood", socketCounters.RateLimited}, {"unwritten", socketCounters.SendDrops},
	} {
		fmt.Fprintf(&text, "app.members.%s=%d\n", line.name, line.value)
	}
	return text.String()
}
