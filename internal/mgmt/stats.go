package mgmt

import (
	"fmt"
	"strings"

	"elmseam"
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
	text.WriteString(failureStatsText(stats.Failures))
	return text.String()
}

// failureStatsText formats the statistics of failures.
func failureStatsText(failures core.FailureStats) string {
	values := []statValue{{"connections_replaced", failures.ConnsReplaced}, {"server_outages", failures.ServerOutages},
		{"servers_lost", failures.ServersLost}, {"servers_unreachable", uint64(failures.ServersUnreachable)},
		{"calls_cut", failures.CallsCut}, {"calls_moved", failures.CallsMoved}, {"releases_waiting", uint64(failures.ReleasesWaiting)},
		{"releases_dropped", failures.ReleasesDropped}, {"server_releases_waiting", uint64(failures.ServerReleasesWaiting)},
		{"unknown_releases.servers", failures.UnknownServerReleases}, {"unknown_releases.callers", failures.UnknownCallerReleases}}
	for cause, count := range failures.FailedAttempts {
		if name := attemptCauseNames[elmseam.Cause(cause)]; name != "" {
			values = append(values, statValue{"attempts." + name, count})
		}
	}
	for reason, count := range failures.Refusals {
		values = append(values, statValue{"refusals." + core.RefusalReason(reason).String(), count})
	}
	return formatStatLines("failures", values)
}

// attemptCauseNames are the names under which attempts that ended without an answer are counted.
var attemptCauseNames = map[elmseam.Cause]string{
	elmseam.CauseBusy: "error", elmseam.CauseFull: "full", elmseam.CauseTimeout: "timeout", elmseam.CauseUnreachable: "unreachable",
	elmseam.CauseReset: "reset", elmseam.CauseCancelled: "cancelled", elmseam.CauseNotSent: "not_sent",
}

// probeStatsText formats the counters of connection probes.
func probeStatsText(counters probe.Counters) string {
	return formatStatLines("probes", []statValue{{"sent", counters.Sent}, {"answered", counters.Answered},
		{"failed", counters.Failed}, {"held", counters.RateLimited}, {"late", counters.Unexpected}})
}
