package mgmt

import (
	"fmt"
	"strings"

	"elmseam/internal/core"
	"elmseam/internal/probe"
)

// Paths of the admin endpoint.
const (
	pathReady       = "/ops/readiness"
	pathStats       = "/ops/stats"
	pathMembers     = "/ops/members"
	pathServers     = "/ops/servers"
	pathMaintenance = "/ops/maintenance"
	pathDrainStart  = "/ops/drain/start"
	pathDrainStop   = "/ops/drain/stop"
)

// StatsText formats statistics as lines "app.NAME=VALUE". classNames are the names of the classes, by index.
func StatsText(stats core.Stats, classNames []string) string {
	var text strings.Builder
	for i, name := range classNames {
		var class core.ClassStats
		if i < len(stats.Classes) {
			class = stats.Classes[i]
		}
		fmt.Fprintf(&text, "app.transactions.%s.answered=%d\n", name, class.Answered)
		fmt.Fprintf(&text, "app.transactions.%s.deferred=%d\n", name, class.Deferred)
		fmt.Fprintf(&text, "app.transactions.%s.errored=%d\n", name, class.Errored)
	}
	fmt.Fprintf(&text, "app.sends=%d\n", stats.Sends)
	fmt.Fprintf(&text, "app.current=%d\n", stats.Current)
	fmt.Fprintf(&text, "app.cluster_size=%d\n", stats.ClusterSize)
	fmt.Fprintf(&text, "app.cluster_unhealthy=%d\n", stats.ClusterUnhealthy)
	fmt.Fprintf(&text, "app.conf_loaded=%d\n", stats.ConfigsLoaded)
	fmt.Fprintf(&text, "app.conf_invalid=%d\n", stats.ConfigsInvalid)
	return text.String()
}

// probeStatsText formats the counters of connection probes.
func probeStatsText(counters probe.Counters) string {
	return formatStatLines("probes", []statValue{{"sent", counters.Sent}, {"answered", counters.Answered},
		{"failed", counters.Failed}, {"held", counters.RateLimited}, {"late", counters.Unexpected}})
}
