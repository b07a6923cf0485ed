package mgmt

import (
	"fmt"
	"strings"

	"elmseam/internal/core"
	"elmseam/internal/probe"
)

// The calls there are.
const (
	pathReady   = "/ops/readiness"
	pathStats   = "/ops/stats"
	pathMembers = "/ops/members"
	pathServers = "/ops/servers"
	pathWork    = "/ops/maintenance"
	pathDrain   = "/ops/drain/start"
	pathResume  = "/ops/drain/stop"
)

// StatsText shows figures, one a line. Classes go by their names.
func StatsText(f core.Stats, names []string) string {
	var b strings.Builder
	for i, name := range names {
		var class core.ClassStats
		if i < len(f.Classes) {
			class = f.Classes[i]
		}
		fmt.Fprintf(&b, "app.transactions.%s.answered=%d\n", name, class.Answered)
		fmt.Fprintf(&b, "app.transactions.%s.deferred=%d\n", name, class.Deferred)
		fmt.Fprintf(&b, "app.transactions.%s.errored=%d\n", name, class.Errored)
	}
	fmt.Fprintf(&b, "app.sends=%d\n", f.Sends)
	fmt.Fprintf(&b, "app.current=%d\n", f.Current)
	fmt.Fprintf(&b, "app.cluster_size=%d\n", f.ClusterSize)
	fmt.Fprintf(&b, "app.cluster_unhealthy=%d\n", f.ClusterUnhealthy)
	fmt.Fprintf(&b, "app.conf_loaded=%d\n", f.ConfigsLoaded)
	fmt.Fprintf(&b, "app.conf_invalid=%d\n", f.ConfigsInvalid)
	return b.String()
}

// probeText shows the figures of probes, one a line.
func probeText(f probe.Counters) string {
	return lines("probes", []figure{{"sent", f.Sent}, {"answered", f.Answered}, {"failed", f.Failed}, {"held", f.RateLimited}, {"late", f.Late}})
}
