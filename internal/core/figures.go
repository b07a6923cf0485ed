package core

import (
	"slices"

	"elmseam/internal/probe"
)

// ClassStats count the requests of a class by their final answers.
type ClassStats struct {
	Answered uint64 // it stands
	Deferred uint64 // refused: trying again is harmless
	Errored  uint64 // failed
}

// Stats are what operators are shown. The counts start with the process.
type Stats struct {
	Classes                       []ClassStats // by place; a class that a new configuration drops keeps its own
	Sends                         uint64       // attempts written whole to servers
	Current                       int          // requests taken and not yet ended
	ClusterSize                   int          // servers in the list
	ClusterUnhealthy              int          // those of them that get nothing new now
	ConfigsLoaded, ConfigsInvalid uint64       // configurations taken over and turned down
	Ready                         bool         // this process can serve
	Draining                      bool
	Stopping                      bool
	Probes                        *probe.Counters   // of connections in doubt; nil: none is permitted
	Members                       *MemberStats      // of the tier; nil: there is no membership
	Maintenance                   *MaintenanceStats // of its maintenance; nil: there is none
	Knowledge                     *KnowledgeStats   // of what the tier knows of the servers; nil: it is off
	Quotas                        *QuotaStats       // of its parts of cold servers' budgets; nil: they don't move
}

// Stats are the figures of now. What they hold is the caller's.
func (c *Core) Stats(now Time) Stats {
	stats := c.stats
	stats.Classes = slices.Clone(stats.Classes)
	stats.Current, stats.Draining, stats.Stopping = len(c.calls), c.draining, c.stopping
	if c.limits.Probe.Permitted {
		probes := c.prober.Counters()
		stats.Probes = &probes
	}
	stats.Members, stats.Maintenance, stats.Quotas, stats.Knowledge = c.memberStats(), c.maintenanceStats(), c.quotaStats(), c.knowledgeStats()
	for _, s := range c.serverOrder {
		if s.Phase == 0 { // gone, and kept for what is left of it
			continue
		}
		stats.ClusterSize++
		if s.usableConns() == 0 || c.controller.Blocked(s.id, max(now, c.now)) {
			stats.ClusterUnhealthy++
		} else {
			stats.Ready = c.serving
		}
	}
	return stats
}

// count takes in a final answer of a class.
func (c *Core) countAnswer(class int, answered bool, reason Reason) {
	if class < 0 || class >= len(c.stats.Classes) {
		return
	}
	switch classStats := &c.stats.Classes[class]; {
	case answered:
		classStats.Answered++
	case reason == Congested || reason == Full || reason == Unsent:
		classStats.Deferred++
	default:
		classStats.Errored++
	}
}

// room makes room for the figures of so many classes.
func (s *Stats) growClasses(classes int) {
	for len(s.Classes) < classes {
		s.Classes = append(s.Classes, ClassStats{})
	}
}
