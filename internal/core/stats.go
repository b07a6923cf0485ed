package core

import (
	"slices"

	"elmseam/internal/probe"
)

// ClassStats counts the set-ups of a class by their final answers. Not counted are set-ups of an unknown class or with the id of another
// call, and those whose caller has gone.
type ClassStats struct {
	Answered uint64 // the call was established
	Deferred uint64 // refused: the caller may safely try again
	Errored  uint64 // the set-up failed
}

// Stats is the state of the core and its counters since the start of the process, as shown to operators.
type Stats struct {
	Classes                       []ClassStats // by index of the class; the counters of a class that a new configuration drops are kept
	Sends                         uint64       // offers to servers that have been written completely
	Current                       int          // calls accepted and not yet ended
	ClusterSize                   int          // servers in the list
	ClusterUnhealthy              int          // servers of ClusterSize that get no new set-ups now
	ConfigsLoaded, ConfigsInvalid uint64       // new configurations that came into force, and new ones that were invalid
	Ready                         bool         // this process can serve new calls
	Draining                      bool
	Stopping                      bool
	Failures                      FailureStats
	Probes                        *probe.Counters   // probes of silent connections; nil: no probe is permitted
	Members                       *MemberStats      // membership of the tier; nil: no membership
	Maintenance                   *MaintenanceStats // ordered maintenance of the tier; nil: no ordered maintenance
	Knowledge                     *KnowledgeStats   // knowledge of the servers shared in the tier; nil: not shared
	Quotas                        *QuotaStats       // quotas of cold servers' budgets; nil: the quotas are fixed
}

// Stats returns the state and the counters at the time now. The result shares no memory with the core.
func (c *Core) Stats(now Time) Stats {
	stats := c.stats
	stats.Classes = slices.Clone(stats.Classes)
	stats.Current, stats.Draining, stats.Stopping = len(c.calls), c.draining, c.stopping
	if c.limits.Probe.Permitted {
		probes := c.prober.Counters()
		stats.Probes = &probes
	}
	stats.Members, stats.Maintenance, stats.Quotas, stats.Knowledge = c.memberStats(), c.maintenanceStats(), c.quotaStats(), c.knowledgeStats()
	stats.Failures.ReleasesWaiting = len(c.pendingReleases)
	for _, s := range c.serverOrder {
		if s.unreachable {
			stats.Failures.ServersUnreachable++
		}
		stats.Failures.ServerReleasesWaiting += len(s.pendingReleases)
		if s.Phase == 0 { // phase 0 is Gone: the server is kept only for its remaining calls
			continue
		}
		stats.ClusterSize++
		if s.usableConnCount() == 0 || c.controller.Blocked(s.id, max(now, c.now)) {
			stats.ClusterUnhealthy++
		} else {
			stats.Ready = c.serving
		}
	}
	return stats
}

// countAnswer counts a final answer to a set-up of a class. The reason matters only if the call was not established.
func (c *Core) countAnswer(class int, answered bool, reason Reason) {
	if class < 0 || class >= len(c.stats.Classes) {
		return
	}
	switch classStats := &c.stats.Classes[class]; {
	case answered:
		classStats.Answered++
	case reason == ReasonCongested || reason == ReasonFull || reason == ReasonUnsent:
		classStats.Deferred++
	default:
		classStats.Errored++
	}
}

// growClassStats extends the counters to the number of classes.
func (s *Stats) growClassStats(classCount int) {
	for len(s.Classes) < classCount {
		s.Classes = append(s.Classes, ClassStats{})
	}
}
