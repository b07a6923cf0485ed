package elmseam

// The servers, as the server list names them.

import (
	"slices"
	"time"
)

// server is what this softswitch knows of a server.
type server struct {
	id        ServerID
	cell      int   // cell number from the server list
	phase     Phase // state from the server list
	startedAt Time  // start of the server's process; 0: long ago

	reportedHoldBack float64 // hold-back share last reported, by the server or the tier; 1 after a block
	ownHoldBack      float64 // hold-back share of the last report to this softswitch
	ownHoldBackAt    Time    // time of that report
	holdBackExpiry   Time    // time at which reportedHoldBack expires
	blocked          bool    // no set-ups until holdBackExpiry, then trials
	blockedAt        Time    // time of the last block, not of one that only an expired report caused
	trialPending     bool    // a trial is unanswered
	lineHoldBack     float64 // hold-back share that the free lines ask for
	freeLines        float64 // free lines last reported, less the set-ups sent since
	lineShortUntil   Time    // a refusal for want of a line makes the server short of lines until then
	reusableLines    float64 // lines that calls of this softswitch have freed and no call has taken again
	lineTryBudget    bucket  // budget of set-ups for free lines that no own call has freed
	thinningCredit   float64 // credit earned by set-ups at the admitted share; one that passes uses 1

	minSetUpTime     time.Duration // shortest set-up time seen, taken for the round trip; 0: none
	tierMinSetUpTime time.Duration // set-up time told by the tier before one was seen; 0: none
	answerDelay      time.Duration // set-up time of the last call beyond maxRoundTrip
	answerDelayAt    Time          // time of that call's answer
	pendingAttempts  []*attempt    // unanswered attempts, oldest first

	establishedCounter decayingCounter // calls of this softswitch that the server established
	rateBeforeRestart  float64         // highest known rate of such calls before the last restart, per second
	failureWeight      int             // weight of consecutive failures
	tierFailureWeight  int             // weight that counts at least, as the server fails for the tier
	blockedForErrors   bool            // blocked for errors: the server answers, and not every call fails

	maxReportedRate float64 // highest rate reported, in set-ups per second
	totalLines      float64 // lines last reported in all; 0: not reported
	maxLines        float64 // most lines ever reported: the processor is still dimensioned for these
	coldBudget      bucket  // budget while the server is cold
	allottedRate    float64 // quota allotted by the tier (see SetColdRate); negative: use the own quota
	divertBudget    bucket  // budget of diverted calls
	trialBudget     bucket  // budget of trials while the server is blocked
}

// removedServer is what is remembered of a server that has left the list, as the server may come back.
type removedServer struct {
	id                      ServerID
	maxLines, lastKnownRate float64       // server.maxLines and the last known rate in set-ups per second
	minSetUpTime            time.Duration // server.minSetUpTime
	tierMinSetUpTime        time.Duration // server.tierMinSetUpTime
	removedAt               Time          // time at which the server was dropped
}

// requestServerList asks for the server list where the list comes only on request.
func (c *Controller) requestServerList() {
	if c.settings.ListOnRequest && !c.subscribed && c.now >= c.subscribeAt {
		c.subscribed = true
		c.emit(Subscribe{})
	}
}

// applyFullList replaces the server list. Servers that the new list does not name are gone.
func (c *Controller) applyFullList(ev ListFull) {
	for _, s := range c.servers {
		s.phase = PhaseGone
	}
	for _, e := range ev.Entries {
		c.applyListEntry(e)
	}
	c.dropGoneServers()
}

// dropGoneServers removes the servers that are gone and have no pending attempt, so that replaced servers
// do not accumulate, and remembers the last of them for a while.
func (c *Controller) dropGoneServers() {
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		drop := s.phase == PhaseGone && len(s.pendingAttempts) == 0
		if drop {
			delete(c.serversByID, s.id)
			c.removedServers = append(c.removedServers, removedServer{
				s.id, s.maxLines, c.lastKnownRate(s), s.minSetUpTime, s.tierMinSetUpTime, c.now,
			})
		}
		return drop
	})
	c.removedServers = slices.DeleteFunc(c.removedServers, func(old removedServer) bool {
		return c.now > old.removedAt+removedServerTTL
	})
	c.removedServers = c.removedServers[max(len(c.removedServers)-maxRemovedServers, 0):]
}

// lastKnownRate returns the rate of calls that a server establishes for this softswitch, in calls per
// second, or the rate before its restart if that is higher. The rate is computed at the server's last answer,
// as a server that restarts has been down for a while.
func (c *Controller) lastKnownRate(s *server) float64 {
	return max(s.rateBeforeRestart, c.rateAt(s.establishedCounter, s.establishedCounter.updatedAt))
}

// newServer makes the state of a server that is new in the list. A server that comes back while it is
// remembered as removed keeps its most lines, rate and set-up time.
func (c *Controller) newServer(id ServerID) *server {
	s := &server{id: id, allottedRate: -1}
	for _, old := range c.removedServers {
		if old.id == id {
			s.maxLines, s.rateBeforeRestart = old.maxLines, old.lastKnownRate
			s.minSetUpTime, s.tierMinSetUpTime = old.minSetUpTime, old.tierMinSetUpTime
		}
	}
	return s
}

// applyListEntry updates a server from its list entry. A restarted server loses its reports and failures.
func (c *Controller) applyListEntry(entry ListEntry) {
	s := c.serversByID[entry.Server]
	if s == nil {
		s = c.newServer(entry.Server)
		c.serversByID[entry.Server] = s
		c.servers = append(c.servers, s)
	} else if s.startedAt != entry.Started {
		*s = server{
			id: s.id, allottedRate: -1, pendingAttempts: s.pendingAttempts, minSetUpTime: s.minSetUpTime,
			tierMinSetUpTime: s.tierMinSetUpTime,
			maxLines:         s.maxLines, rateBeforeRestart: c.lastKnownRate(s),
		}
	}
	s.cell, s.phase, s.startedAt = entry.Cell, entry.Phase, entry.Started
	// Budgets accrue from now on: set-ups saved up since the server started would be sent at once.
	if s.coldBudget.updatedAt == 0 {
		s.coldBudget, s.divertBudget = bucket{c.rng.Float64(), c.now}, bucket{c.rng.Float64(), c.now}
	}
}
