package lab

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// AttemptOutcome is how an attempt ended, as its server saw it.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	OutcomeAnswered        AttemptOutcome = iota // the server answered: the call is established
	OutcomeRefused                               // the server refused the attempt
	OutcomeCancelled                             // the softswitch cancelled the attempt: the release guard applies
	OutcomeConnectionReset                       // the attempt's connection ended: the release guard applies
)

// Violation is a rule that was broken: when it was first seen, how often, and the detail of the first time.
type Violation struct {
	Rule   string        // the rule, in the words of the verdict
	First  time.Duration // when the violation was first seen, since the start of the run
	Count  int           // how often the violation was seen
	Detail string        // what happened the first time
}

// SecondStats counts the events of one second of the run: a row of the per-second table (Result.WriteTable).
type SecondStats struct {
	// Set-ups: Offered by the second in which they were sent, the other counts by the second of their end. Excused
	// set-ups stayed unanswered because of a fault that the lab injected.
	Offered, Served, Refused, Lost, Excused int
	Arrivals                                map[string]int // attempts that reached each server
	Lagged                                  bool           // the lab itself lagged in this second (RecordLag)
}

// Checker checks what the lab sees of the fleet from outside against the rules. It does no I/O and reads no clock:
// every event carries its time as an offset from the start of the run. Events of one call or one server must come in
// the order of their times; the runner passes all events in under one lock.
type Checker struct {
	rules      Rules
	setUps     map[uint64]*setUpState // by the call's id
	calls      map[uint64]*callState  // by the id that servers see, which is the set-up's id
	servers    map[string]*serverState
	violations violationLog
	seconds    []SecondStats // one row for each second of the run
}

// maxDetails is the number of violations of which the details are kept.
const maxDetails = 1000

// setUpState is what the checker knows of a caller's set-up.
type setUpState struct {
	sentAt, giveUpAt time.Duration // times; giveUpAt is when the caller stops waiting
	memberIndex      int           // the softswitch that the set-up was sent to
	finalAnswers     int           // final answers received so far
	resolved         bool          // answered, or recorded as unanswered
	served           bool          // the call was established
}

// callState is what the checker knows of a call's attempts at servers.
type callState struct {
	outstandingAt    string        // server with an outstanding attempt; "" if there is none
	attempts         int           // attempts so far
	releaseGuardFrom time.Duration // end of the last attempt to which the release guard applies; -1 if none
}

// serverState is what the checker knows of a server.
type serverState struct {
	retiredAt      time.Duration   // when the command channel first said that the server drains or is gone; -1: not retired
	startedAt      time.Duration   // time of a cold start; -1 for a server that is warm from the beginning
	capacity       float64         // set-ups a second when warm
	recentAttempts []time.Duration // times of the attempts in the last window of a cold server's budget
}

// NewChecker makes a checker for these rules.
func NewChecker(rules Rules) *Checker {
	return &Checker{rules: rules, setUps: make(map[uint64]*setUpState), calls: make(map[uint64]*callState),
		servers: make(map[string]*serverState), violations: violationLog{slack: rules.Slack}}
}

// secondStatsAt returns the row of the second that contains a time, and makes the rows up to it.
func (c *Checker) secondStatsAt(at time.Duration) *SecondStats {
	i := max(0, int(at/time.Second))
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, SecondStats{Arrivals: make(map[string]int)})
	}
	return &c.seconds[i]
}

// recordViolation records a violation of a rule.
func (c *Checker) recordViolation(rule string, at time.Duration, format string, args ...any) {
	detail := ""
	if len(c.violations.observed) < maxDetails {
		detail = fmt.Sprintf(format, args...)
	}
	c.violations.record(rule, at, detail)
}

// RecordLag marks a span in which the lab lagged: violations with a time inside the span, widened by the slack, are ignored.
func (c *Checker) RecordLag(from, to time.Duration) {
	c.violations.recordLag(from, to)
	for second := from / time.Second; second <= to/time.Second; second++ {
		c.secondStatsAt(second * time.Second).Lagged = true
	}
}

// AddServer registers a server. startedAt is the time of a cold start, or negative for a server that is warm from the
// beginning; capacity is in set-ups a second when warm.
func (c *Checker) AddServer(name string, capacity float64, startedAt time.Duration) {
	c.servers[name] = &serverState{retiredAt: -1, startedAt: startedAt, capacity: capacity}
}

// RecordRetirement records that the command channel informs the softswitches, from the time at, that a server is draining
// or gone. Only the first call for a server counts.
func (c *Checker) RecordRetirement(name string, at time.Duration) {
	if state := c.servers[name]; state != nil && state.retiredAt < 0 {
		state.retiredAt = at
	}
}

// RecordSetUp records a caller's set-up that is about to be written to a softswitch; the caller waits for the answer
// until giveUpAt. RecordNotWritten takes the set-up back.
func (c *Checker) RecordSetUp(at time.Duration, id uint64, memberIndex int, giveUpAt time.Duration) {
	c.setUps[id] = &setUpState{sentAt: at, giveUpAt: giveUpAt, memberIndex: memberIndex}
	c.secondStatsAt(at).Offered++
}

// RecordNotWritten takes back a set-up that could not be written whole: no answer is expected for it.
func (c *Checker) RecordNotWritten(id uint64) {
	if setUp := c.setUps[id]; setUp != nil {
		c.secondStatsAt(setUp.sentAt).Offered--
		delete(c.setUps, id)
	}
}

// RecordFinalAnswer records a final answer to a set-up: served says that the call is established, otherwise the
// set-up was refused. An answer after RecordUnanswered is not counted: each set-up counts once.
func (c *Checker) RecordFinalAnswer(at time.Duration, id uint64, served bool) {
	setUp := c.setUps[id]
	if setUp == nil {
		c.recordViolation("answer to no set-up", at, "call %016x", id)
		return
	}
	setUp.finalAnswers++
	if setUp.finalAnswers >= 2 {
		c.recordViolation("two final answers", at, "call %016x: answer %d", id, setUp.finalAnswers)
		return
	}
	if setUp.resolved {
		return // the answer crossed the caller's give-up
	}
	setUp.resolved = true
	if setUp.served = served; served {
		c.secondStatsAt(at).Served++
	} else {
		c.secondStatsAt(at).Refused++
	}
}

// RecoveryStats compares a restarted softswitch with the other softswitches: the share of the set-ups sent to it that
// were served and the same share of the set-ups sent to the others, for each second since its first call after the
// restart.
type RecoveryStats struct {
	Name  string        // of the restarted softswitch
	First time.Duration // time of the first call after the restart
	Share []float64     // index: second since First; -1 for a second without calls
	Peers []float64     // the same share for all other softswitches together
}

// Recovery compares a softswitch with the others for the given number of seconds, counted from the first set-up that
// was sent to the softswitch at the time after or later. It returns nil if there was no such set-up.
func (c *Checker) Recovery(index int, after time.Duration, seconds int) *RecoveryStats {
	first := time.Duration(-1)
	for _, setUp := range c.setUps {
		if setUp.memberIndex == index && setUp.sentAt >= after && (first < 0 || setUp.sentAt < first) {
			first = setUp.sentAt
		}
	}
	if first < 0 {
		return nil
	}
	stats := &RecoveryStats{Name: MemberName(index), First: first, Share: make([]float64, seconds),
		Peers: make([]float64, seconds)}
	offered, served := make([][2]float64, seconds), make([][2]float64, seconds) // [second][0: the softswitch, 1: the others]
	for _, setUp := range c.setUps {
		i := int((setUp.sentAt - first) / time.Second)
		if setUp.sentAt < first || i >= seconds {
			continue
		}
		group := 0
		if setUp.memberIndex != index {
			group = 1
		}
		if offered[i][group]++; setUp.served {
			served[i][group]++
		}
	}
	for i := range seconds {
		for group, share := range [][]float64{stats.Share, stats.Peers} {
			if share[i] = -1; offered[i][group] > 0 {
				share[i] = served[i][group] / offered[i][group]
			}
		}
	}
	return stats
}

// RecordUnanswered records that a set-up's caller gave up without a final answer, or lost its connection. excused
// says that a fault that the lab injected (a kill, a pause, a stop) prevented the answer; such a set-up is counted,
// but is no violation. An unknown set-up, or one that is resolved already, is left as it is.
func (c *Checker) RecordUnanswered(at time.Duration, id uint64, excused bool) {
	setUp := c.setUps[id]
	if setUp == nil || setUp.resolved {
		return
	}
	setUp.resolved = true
	if excused {
		c.secondStatsAt(at).Excused++
		return
	}
	c.secondStatsAt(at).Lost++
	if at+c.rules.Slack < setUp.giveUpAt {
		c.recordViolation("set-up lost", at, "call %016x: the caller's connection ended without an answer", id)
	} else {
		c.recordViolation("no final answer before give-up", at, "call %016x sent at %v", id, setUp.sentAt)
	}
}

// RecordAttempt records that an attempt of a call reached a server whole.
func (c *Checker) RecordAttempt(at time.Duration, server string, id uint64) {
	call := c.calls[id]
	if call == nil {
		call = &callState{releaseGuardFrom: -1}
		c.calls[id] = call
	}
	if call.outstandingAt != "" {
		c.recordViolation("two attempts out", at, "call %016x at %s and %s", id, call.outstandingAt, server)
	}
	call.attempts++
	if call.attempts == c.rules.MaxAttempts+1 {
		c.recordViolation("too many attempts", at, "call %016x: %d attempts", id, call.attempts)
	}
	if call.releaseGuardFrom >= 0 && at+c.rules.Slack < call.releaseGuardFrom+c.rules.ReleaseGuard {
		c.recordViolation("release gap", at, "call %016x sent again after %v", id, at-call.releaseGuardFrom)
	}
	call.outstandingAt = server
	c.secondStatsAt(at).Arrivals[server]++
	state := c.servers[server]
	if state == nil {
		c.recordViolation("unknown server", at, "%s", server)
		return
	}
	if state.retiredAt >= 0 && at > state.retiredAt+c.rules.DrainGrace+c.rules.Slack {
		c.recordViolation("new attempt at a retired server", at,
			"call %016x at %s, %v after the softswitches were informed", id, server, at-state.retiredAt)
	}
	c.checkColdBudget(at, server, state)
}

// checkColdBudget checks the budget of a server that has just started: in every window of OverloadAfter it may get
// OverloadMultiple x its present capacity x OverloadAfter attempts, plus ColdSlack.
func (c *Checker) checkColdBudget(at time.Duration, name string, state *serverState) {
	if state.startedAt < 0 || at-state.startedAt > c.rules.ColdRamp+c.rules.OverloadAfter {
		state.recentAttempts = nil
		return
	}
	state.recentAttempts = append(state.recentAttempts, at)
	windowStart := at - c.rules.OverloadAfter
	i := sort.Search(len(state.recentAttempts), func(i int) bool { return state.recentAttempts[i] > windowStart })
	state.recentAttempts = slices.Delete(state.recentAttempts, 0, i)
	budget := c.rules.OverloadMultiple * c.Capacity(name, at) * c.rules.OverloadAfter.Seconds()
	if attempts := len(state.recentAttempts); float64(attempts) > budget+float64(c.rules.ColdSlack) {
		c.recordViolation("cold server pushed over", at, "%s: %d attempts in %v, budget %.1f", name, attempts,
			c.rules.OverloadAfter, budget)
	}
}

// Capacity returns the capacity that the checker assumes for a server at a time, in set-ups a second.
func (c *Checker) Capacity(name string, at time.Duration) float64 {
	state := c.servers[name]
	if state == nil {
		return 0
	}
	return c.rules.RampedCapacity(state.capacity, state.startedAt, at)
}

// RecordAttemptEnd records that an attempt ended at its server, and how. It is ignored if the call has no outstanding
// attempt at this server.
func (c *Checker) RecordAttemptEnd(at time.Duration, server string, id uint64, outcome AttemptOutcome) {
	call := c.calls[id]
	if call == nil || call.outstandingAt != server {
		return
	}
	call.outstandingAt = ""
	if outcome == OutcomeCancelled || outcome == OutcomeConnectionReset {
		call.releaseGuardFrom = at
	}
}

// CheckOpen checks the set-ups that are still unanswered at the end of a run: a set-up whose give-up time has passed by
// more than the slack is a violation.
func (c *Checker) CheckOpen(at time.Duration) {
	for id, setUp := range c.setUps {
		if !setUp.resolved && at > setUp.giveUpAt+c.rules.Slack {
			c.RecordUnanswered(setUp.giveUpAt, id, false)
		}
	}
}

// Violations returns the violated rules, ordered by the time of the first violation. Violations during the lab's own lag are left out.
func (c *Checker) Violations() []Violation {
	byRule := make(map[string]*Violation)
	judged, _ := c.violations.judged()
	for _, observed := range judged {
		violation := byRule[observed.rule]
		if violation == nil {
			violation = &Violation{Rule: observed.rule, First: observed.at, Detail: observed.detail}
			byRule[observed.rule] = violation
		}
		violation.Count++
	}
	var violations []Violation
	for _, violation := range byRule {
		violations = append(violations, *violation)
	}
	slices.SortFunc(violations, func(a, b Violation) int { return int(a.First - b.First) })
	return violations
}

// PerSecond returns the rows of the per-second table, one for each second of the run.
func (c *Checker) PerSecond() []SecondStats { return c.seconds }
