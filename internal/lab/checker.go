package lab

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// How an attempt ended, as its server saw it.
type AttemptOutcome int

const (
	Answered        AttemptOutcome = iota // the server answered: the call stands
	Refused                               // the server refused it
	Cancelled                             // the softswitch gave it up: the release gap applies
	ConnectionReset                       // its connection ended under it: the release gap applies
)

// Violation is a broken invariant: its first moment, how often it was seen, and what was seen first.
type Violation struct {
	Rule   string
	First  time.Duration // since the start of the run
	Count  int
	Detail string
}

// SecondStats is one row of the per-second table.
type SecondStats struct {
	Offered, Served, Refused, Lost, Excused int
	Arrivals                                map[string]int // attempts that reached each server
	Lagged                                  bool           // the lab lagged: timing was not judged
}

// Checker holds what the lab sees of the fleet from outside against the rules. It does no I/O and reads no clock: every
// event carries its time, as an offset from the start of the run. Events must come in the order of their times
// within one call and one server; the runner feeds them under one lock.
type Checker struct {
	rules      Rules
	setUps     map[uint64]*setUpState
	calls      map[uint64]*callState // by the id that servers see, which is the set-up's
	servers    map[string]*serverState
	violations map[string]*Violation
	seconds    []SecondStats
	lagSpans   [][2]time.Duration // spans in which the lab itself lagged
}

type setUpState struct {
	sent, giveUp time.Duration
	memberIndex  int // softswitch
	finalAnswers int
	resolved     bool // judged, answered or excused
	served       bool
}

type callState struct {
	outstandingAt string        // server with an attempt out; "" none
	attempts      int           // in all
	guardFrom     time.Duration // end of the last attempt that calls for the release gap; -1 none
}

type serverState struct {
	retiredAt      time.Duration // since it drains or is gone; -1 not
	startedAt      time.Duration // cold start; -1 warm from the beginning
	capacity       float64       // set-ups a second when warm
	recentAttempts []time.Duration
}

// NewChecker makes a judge for these rules.
func NewChecker(rules Rules) *Checker {
	return &Checker{rules: rules, setUps: make(map[uint64]*setUpState), calls: make(map[uint64]*callState),
		servers: make(map[string]*serverState), violations: make(map[string]*Violation)}
}

func (c *Checker) secondAt(at time.Duration) *SecondStats {
	i := max(0, int(at/time.Second))
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, SecondStats{Arrivals: make(map[string]int)})
	}
	return &c.seconds[i]
}

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

// RecordLag marks a span in which the lab lagged: no timing rule is judged inside it.
func (c *Checker) RecordLag(from, to time.Duration) {
	c.lagSpans = append(c.lagSpans, [2]time.Duration{from, to})
	for second := from / time.Second; second <= to/time.Second; second++ {
		c.secondAt(second * time.Second).Lagged = true
	}
}

func (c *Checker) inLagSpan(at time.Duration) bool {
	for _, span := range c.lagSpans {
		if at >= span[0]-c.rules.Slack && at <= span[1]+c.rules.Slack {
			return true
		}
	}
	return false
}

// AddServer names a server. started is the moment of a cold start, or negative for one warm from the beginning.
func (c *Checker) AddServer(name string, capacity float64, startedAt time.Duration) {
	c.servers[name] = &serverState{retiredAt: -1, startedAt: startedAt, capacity: capacity}
}

// Retire says that a server has been told draining or gone, at the moment the last softswitch was told.
func (c *Checker) RecordRetirement(name string, at time.Duration) {
	if s := c.servers[name]; s != nil && s.retiredAt < 0 {
		s.retiredAt = at
	}
}

// RecordSetUp is a caller's set-up to a softswitch, written whole, that its caller waits for until giveUp.
func (c *Checker) RecordSetUp(at time.Duration, id uint64, memberIndex int, giveUp time.Duration) {
	c.setUps[id] = &setUpState{sent: at, giveUp: giveUp, memberIndex: memberIndex}
	c.secondAt(at).Offered++
}

// Withdraw takes back a set-up that could not be written whole after all: nothing is owed for it.
func (c *Checker) Withdraw(id uint64) {
	if s := c.setUps[id]; s != nil {
		c.secondAt(s.sent).Offered--
		delete(c.setUps, id)
	}
}

// RecordFinalAnswer is a final answer to a set-up: served says it stands, else it was refused.
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
		return // the refusal of one given up, crossing
	}
	s.resolved = true
	if s.served = served; served {
		c.secondAt(at).Served++
	} else {
		c.secondAt(at).Refused++
	}
}

// RecoveryStats is how a softswitch served that came back: its share of the set-ups sent to it that were answered, and its peers'
// of theirs, in each second since its first call.
type RecoveryStats struct {
	Name  string
	First time.Duration // its first call
	Share []float64     // negative: no call came in that second
	Peers []float64
}

// Recovery says how the softswitch at a place served in so many seconds from its first call after a moment on; nil: none came.
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
	stats := &RecoveryStats{Name: MemberName(index), First: first, Share: make([]float64, seconds), Peers: make([]float64, seconds)}
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

// RecordUnanswered says that a set-up's caller gave up without a final answer, or lost its connection. excused says that
// a fault the lab made (a kill, a pause, a stop) stood in its way; such a set-up is counted, not judged.
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
		c.recordViolation("set-up lost", at, "call %016x: its connection ended with no answer", id)
	} else {
		c.recordViolation("no final answer before give-up", at, "call %016x sent at %v", id, s.sent)
	}
}

// RecordAttempt says that an attempt of a call reached a server whole.
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
		c.recordViolation("too many attempts", at, "call %016x: %d", id, call.attempts)
	}
	if call.guardFrom >= 0 && at+c.rules.Slack < call.guardFrom+c.rules.ReleaseGuard {
		c.recordViolation("release gap", at, "call %016x again after %v", id, at-call.guardFrom)
	}
	call.outstandingAt = server
	c.secondAt(at).Arrivals[server]++
	s := c.servers[server]
	if s == nil {
		c.recordViolation("unknown server", at, "%s", server)
		return
	}
	if s.retiredAt >= 0 && at > s.retiredAt+c.rules.DrainGrace+c.rules.Slack {
		c.recordViolation("new attempt at a retired server", at, "call %016x at %s, %v after it was told", id, server, at-s.retiredAt)
	}
	c.checkColdBudget(at, server, s)
}

// cold holds a just-started server to its budget over every window: tip-multiple x present capacity x window.
func (c *Checker) checkColdBudget(at time.Duration, name string, s *serverState) {
	if s.startedAt < 0 || at-s.startedAt > c.rules.Ramp+c.rules.TipWindow {
		s.recentAttempts = nil
		return
	}
	s.recentAttempts = append(s.recentAttempts, at)
	windowStart := at - c.rules.TipWindow
	i := sort.Search(len(s.recentAttempts), func(i int) bool { return s.recentAttempts[i] > windowStart })
	s.recentAttempts = slices.Delete(s.recentAttempts, 0, i)
	budget := c.rules.TipMultiple * c.Capacity(name, at) * c.rules.TipWindow.Seconds()
	if attempts := len(s.recentAttempts); float64(attempts) > budget+float64(c.rules.ColdSlack) {
		c.recordViolation("cold server pushed over", at, "%s: %d attempts in %v, budget %.1f", name, attempts, c.rules.TipWindow, budget)
	}
}

// Capacity is what a server can do at a moment, in set-ups a second, as the judge holds it to.
func (c *Checker) Capacity(name string, at time.Duration) float64 {
	s := c.servers[name]
	if s == nil {
		return 0
	}
	return c.rules.RampedCapacity(s.capacity, s.startedAt, at)
}

// RecordAttemptEnd says that an attempt ended at its server, and how.
func (c *Checker) RecordAttemptEnd(at time.Duration, server string, id uint64, outcome AttemptOutcome) {
	call := c.calls[id]
	if call == nil || call.outstandingAt != server {
		return
	}
	call.outstandingAt = ""
	if outcome == Cancelled || outcome == ConnectionReset {
		call.guardFrom = at
	}
}

// CheckOpen judges what is still open at the end of a run: a set-up unanswered past its give-up is a breach.
func (c *Checker) CheckOpen(at time.Duration) {
	for id, s := range c.setUps {
		if !s.resolved && at > s.giveUp+c.rules.Slack {
			c.RecordUnanswered(s.giveUp, id, false)
		}
	}
}

// Violations are the broken invariants, first seen first.
func (c *Checker) Violations() []Violation {
	var violations []Violation
	for _, violation := range c.violations {
		violations = append(violations, *violation)
	}
	slices.SortFunc(violations, func(a, violation Violation) int { return int(a.First - violation.First) })
	return violations
}

// PerSecond are the rows of the per-second table.
func (c *Checker) PerSecond() []SecondStats { return c.seconds }
