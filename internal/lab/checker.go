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
	First  time.Duration // since the start of the run
	Count  int           // how often the violation was seen
	Detail string        // of the first time
}

// SecondStats is one row of the per-second table.
type SecondStats struct {
	// Set-ups: Offered by the second in which they were sent, the other counts by the second of their end. Excused
	// set-ups stayed unanswered because of a fault that the lab injected.
	Offered, Served, Refused, Lost, Excused int
	Arrivals                                map[string]int // attempts that reached each server
	Lagged                                  bool           // the lab itself lagged, see RecordLag
}

// Checker checks what the lab sees of the fleet from outside against the rules. It does no I/O and reads no clock:
// every event carries its time as an offset from the start of the run. Events of one call or one server must come in
// the order of their times; the runner passes all events in under one lock.
type Checker struct {
	rules      Rules
	setUps     map[uint64]*setUpState // by the call's id
	calls      map[uint64]*callState  // by the id that servers see, which is the set-up's id
	servers    map[string]*serverState
	violations map[string]*Violation // by rule
	seconds    []SecondStats         // index: second of the run
	lagSpans   [][2]time.Duration    // start and end of each span in which the lab itself lagged
}

// setUpState is what the checker knows of a caller's set-up.
type setUpState struct {
	sent, giveUp time.Duration // times; giveUp is when the caller stops waiting
	memberIndex  int           // the softswitch that the set-up was sent to
	finalAnswers int           // final answers received so far
	resolved     bool          // answered, or recorded as unanswered
	served       bool          // the call was established
}

// callState is what the checker knows of a call's attempts at servers.
type callState struct {
	outstandingAt string        // server with an outstanding attempt; "" if there is none
	attempts      int           // attempts so far
	guardFrom     time.Duration // end of the last attempt to which the release guard applies; -1 if none
}

// serverState is what the checker knows of a server.
type serverState struct {
	retiredAt      time.Duration   // when the command channel first said that the server drains or is gone; -1: not retired
	startedAt      time.Duration   // time of a cold start; -1 for a server that is warm from the beginning
	capacity       float64         // set-ups a second when warm
	recentAttempts []time.Duration // times of the attempts in the cold budget's last window
}

// NewChecker makes a checker for these rules.
func NewChecker(rules Rules) *Checker {
	return &Checker{rules: rules, setUps: make(map[uint64]*setUpState), calls: make(map[uint64]*callState),
		servers: make(map[string]*serverState), violations: make(map[string]*Violation)}
}

// secondAt returns the row of the second that contains a time, and makes the rows up to it.
func (c *Checker) secondAt(at time.Duration) *SecondStats {
	i := max(0, int(at/time.Second))
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, SecondStats{Arrivals: make(map[string]int)})
	}
	return &c.seconds[i]
}

// recordViolation counts a violation of a rule and keeps the detail of the first one. A violation inside a span of
// the lab's own lag that was recorded before is ignored.
func (c *Checker) recordViolation(rule string, at time.Duration, format string, args ...any) {
	if c.inLagSpan(at) {
		return
	}
	violation := c.violations[rule]
	if violation == nil {
		violation = &Violation{Rule: rule, First: at, Detail: fmt.Sprintf(format, args...)}
		c.violations[rule] = violation
	}
	violation.Count++
}

// RecordLag marks a span in which the lab lagged: violations that are recorded from now on with a time inside the span,
// widened by the slack, are ignored. Violations recorded before stay.
func (c *Checker) RecordLag(from, to time.Duration) {
	c.lagSpans = append(c.lagSpans, [2]time.Duration{from, to})
	for second := from / time.Second; second <= to/time.Second; second++ {
		c.secondAt(second * time.Second).Lagged = true
	}
}

// inLagSpan reports whether a time lies in a span of the lab's lag, widened by the slack on both sides.
func (c *Checker) inLagSpan(at time.Duration) bool {
	for _, span := range c.lagSpans {
		if at >= span[0]-c.rules.Slack && at <= span[1]+c.rules.Slack {
			return true
		}
	}
	return false
}

// AddServer registers a server. startedAt is the time of a cold start, or negative for a server that is warm from the
// beginning; capacity is in set-ups a second when warm.
func (c *Checker) AddServer(name string, capacity float64, startedAt time.Duration) {
	c.servers[name] = &serverState{retiredAt: -1, startedAt: startedAt, capacity: capacity}
}

// RecordRetirement records that the command channel informs the softswitches, from the time at, that a server is draining
// or gone. Only the first call for a server counts.
func (c *Checker) RecordRetirement(name string, at time.Duration) {
	if s := c.servers[name]; s != nil && s.retiredAt < 0 {
		s.retiredAt = at
	}
}

// RecordSetUp records a caller's set-up that is about to be written to a softswitch; the caller waits for the answer
// until giveUp. RecordNotWritten takes the set-up back.
func (c *Checker) RecordSetUp(at time.Duration, id uint64, memberIndex int, giveUp time.Duration) {
	c.setUps[id] = &setUpState{sent: at, giveUp: giveUp, memberIndex: memberIndex}
	c.secondAt(at).Offered++
}

// RecordNotWritten takes back a set-up that could not be written whole: no answer is expected for it.
func (c *Checker) RecordNotWritten(id uint64) {
	if s := c.setUps[id]; s != nil {
		c.secondAt(s.sent).Offered--
		delete(c.setUps, id)
	}
}

// RecordFinalAnswer records a final answer to a set-up: served says that the call is established, otherwise the
// set-up was refused. After RecordUnanswered a refusal is not counted, but a served call is, in addition to the set-up
// that was lost or excused.
func (c *Checker) RecordFinalAnswer(at time.Duration, id uint64, served bool) {
	s := c.setUps[id]
	if s == nil {
		c.recordViolation("answer to no set-up", at, "call %016x", id)
		return
	}
	s.finalAnswers++
	if s.finalAnswers == 2 {
		c.recordViolation("two final answers", at, "call %016x", id)
		return
	}
	if s.resolved && !served {
		return // a refusal that crossed the caller's give-up
	}
	s.resolved = true
	if s.served = served; served {
		c.secondAt(at).Served++
	} else {
		c.secondAt(at).Refused++
	}
}

// RecoveryStats compares a restarted softswitch with the other softswitches: the share of the set-ups sent to it that
// were served and the same share of the set-ups sent to the others, for each second since its first call after the
// restart.
type RecoveryStats struct {
	Name  string        // of the restarted softswitch
	First time.Duration // time of the first call after the restart
	Share []float64     // index: second since First; -1 for a second without calls
	Peers []float64     // as Share, for all other softswitches together
}

// Recovery compares a softswitch with the others for the given number of seconds, counted from the first set-up that
// was sent to the softswitch at the time after or later. It returns nil if there was no such set-up.
func (c *Checker) Recovery(index int, after time.Duration, seconds int) *RecoveryStats {
	first := time.Duration(-1)
	for _, s := range c.setUps {
		if s.memberIndex == index && s.sent >= after && (first < 0 || s.sent < first) {
			first = s.sent
		}
	}
	if first < 0 {
		return nil
	}
	stats := &RecoveryStats{Name: MemberName(index), First: first, Share: make([]float64, seconds),
		Peers: make([]float64, seconds)}
	offered, served := make([][2]float64, seconds), make([][2]float64, seconds)
	for _, s := range c.setUps {
		i := int((s.sent - first) / time.Second)
		if s.sent < first || i >= seconds {
			continue
		}
		group := 0
		if s.memberIndex != index {
			group = 1
		}
		if offered[i][group]++; s.served {
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
	s := c.setUps[id]
	if s == nil || s.resolved {
		return
	}
	s.resolved = true
	if excused {
		c.secondAt(at).Excused++
		return
	}
	c.secondAt(at).Lost++
	if at+c.rules.Slack < s.giveUp {
		c.recordViolation("set-up lost", at, "call %016x: the caller's connection ended without an answer", id)
	} else {
		c.recordViolation("no final answer before give-up", at, "call %016x sent at %v", id, s.sent)
	}
}

// RecordAttempt records that an attempt of a call reached a server whole.
func (c *Checker) RecordAttempt(at time.Duration, server string, id uint64) {
	call := c.calls[id]
	if call == nil {
		call = &callState{guardFrom: -1}
		c.calls[id] = call
	}
	if call.outstandingAt != "" {
		c.recordViolation("two attempts out", at, "call %016x at %s and %s", id, call.outstandingAt, server)
	}
	call.attempts++
	if call.attempts == c.rules.MaxAttempts+1 {
		c.recordViolation("too many attempts", at, "call %016x: %d attempts", id, call.attempts)
	}
	if call.guardFrom >= 0 && at+c.rules.Slack < call.guardFrom+c.rules.ReleaseGuard {
		c.recordViolation("release gap", at, "call %016x sent again after %v", id, at-call.guardFrom)
	}
	call.outstandingAt = server
	c.secondAt(at).Arrivals[server]++
	s := c.servers[server]
	if s == nil {
		c.recordViolation("unknown server", at, "%s", server)
		return
	}
	if s.retiredAt >= 0 && at > s.retiredAt+c.rules.DrainGrace+c.rules.Slack {
		c.recordViolation("new attempt at a retired server", at,
			"call %016x at %s, %v after the softswitches were informed", id, server, at-s.retiredAt)
	}
	c.checkColdBudget(at, server, s)
}

// checkColdBudget checks that a server that has just started gets at most tip-multiple x present capacity x window
// attempts in every window, plus ColdSlack.
func (c *Checker) checkColdBudget(at time.Duration, name string, s *serverState) {
	if s.startedAt < 0 || at-s.startedAt > c.rules.ColdRamp+c.rules.OverloadAfter {
		s.recentAttempts = nil
		return
	}
	s.recentAttempts = append(s.recentAttempts, at)
	windowStart := at - c.rules.OverloadAfter
	i := sort.Search(len(s.recentAttempts), func(i int) bool { return s.recentAttempts[i] > windowStart })
	s.recentAttempts = slices.Delete(s.recentAttempts, 0, i)
	budget := c.rules.OverloadMultiple * c.Capacity(name, at) * c.rules.OverloadAfter.Seconds()
	if attempts := len(s.recentAttempts); float64(attempts) > budget+float64(c.rules.ColdSlack) {
		c.recordViolation("cold server pushed over", at, "%s: %d attempts in %v, budget %.1f", name, attempts,
			c.rules.OverloadAfter, budget)
	}
}

// Capacity returns the capacity that the checker assumes for a server at a time, in set-ups a second.
func (c *Checker) Capacity(name string, at time.Duration) float64 {
	s := c.servers[name]
	if s == nil {
		return 0
	}
	return c.rules.RampedCapacity(s.capacity, s.startedAt, at)
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
		call.guardFrom = at
	}
}

// CheckOpen checks the set-ups that are still unanswered at the end of a run: a set-up whose give-up time has passed by
// more than the slack is a violation.
func (c *Checker) CheckOpen(at time.Duration) {
	for id, s := range c.setUps {
		if !s.resolved && at > s.giveUp+c.rules.Slack {
			c.RecordUnanswered(s.giveUp, id, false)
		}
	}
}

// Violations returns the violated rules, ordered by the time of the first violation.
func (c *Checker) Violations() []Violation {
	var violations []Violation
	for _, violation := range c.violations {
		violations = append(violations, *violation)
	}
	slices.SortFunc(violations, func(a, b Violation) int { return int(a.First - b.First) })
	return violations
}

// PerSecond returns the rows of the per-second table.
func (c *Checker) PerSecond() []SecondStats { return c.seconds }
