package lab

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Rules are the figures the judge holds a whole fleet to. They come from the settings that the softswitches are given
// (WIRE section 9, PROTOCOL "The rules on sockets"); every time limit is extended by Slack.
type Rules struct {
	MaxAttempts  int           // attempts of one call, all softswitches together
	ReleaseGuard time.Duration // family-info.release-guard-us: after a cancel or reset, before the call is sent again
	DrainGrace   time.Duration // obligations.drain-grace-us: nothing new to a draining or gone server after it
	TipMultiple  float64       // obligations.tip-multiple
	TipWindow    time.Duration // obligations.tip-after-us: the window of the cold-server budget
	ColdFrom     float64       // obligations.cold-from: the share of its capacity a server starts at
	Ramp         time.Duration // obligations.ramp-time-us: warm after this
	Slack        time.Duration // 50 ms on sockets
	ColdSlack    int           // attempts over the budget that chance may bring
}

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
	rules   Rules
	setups  map[uint64]*setup
	calls   map[uint64]*callState // by the id that servers see, which is the set-up's
	servers map[string]*serverState
	breach  map[string]*Violation
	seconds []SecondStats
	blind   [][2]time.Duration // spans in which the lab itself lagged
}

type setup struct {
	sent, giveUp time.Duration
	to           int // softswitch
	finals       int
	settled      bool // judged, answered or excused
	served       bool
}

type callState struct {
	out      string        // server with an attempt out; "" none
	attempts int           // in all
	gapFrom  time.Duration // end of the last attempt that calls for the release gap; -1 none
}

type serverState struct {
	retired  time.Duration // since it drains or is gone; -1 not
	started  time.Duration // cold start; -1 warm from the beginning
	capacity float64       // set-ups a second when warm
	arrivals []time.Duration
}

// NewChecker makes a judge for these rules.
func NewChecker(r Rules) *Checker {
	return &Checker{rules: r, setups: make(map[uint64]*setup), calls: make(map[uint64]*callState),
		servers: make(map[string]*serverState), breach: make(map[string]*Violation)}
}

func (j *Checker) second(at time.Duration) *SecondStats {
	i := max(0, int(at/time.Second))
	for len(j.seconds) <= i {
		j.seconds = append(j.seconds, SecondStats{Arrivals: make(map[string]int)})
	}
	return &j.seconds[i]
}

func (j *Checker) broke(rule string, at time.Duration, format string, args ...any) {
	if j.isBlind(at) {
		return
	}
	b := j.breach[rule]
	if b == nil {
		b = &Violation{Rule: rule, First: at, Detail: fmt.Sprintf(format, args...)}
		j.breach[rule] = b
	}
	b.Count++
}

// RecordLag marks a span in which the lab lagged: no timing rule is judged inside it.
func (j *Checker) RecordLag(from, to time.Duration) {
	j.blind = append(j.blind, [2]time.Duration{from, to})
	for s := from / time.Second; s <= to/time.Second; s++ {
		j.second(s * time.Second).Lagged = true
	}
}

func (j *Checker) isBlind(at time.Duration) bool {
	for _, b := range j.blind {
		if at >= b[0]-j.rules.Slack && at <= b[1]+j.rules.Slack {
			return true
		}
	}
	return false
}

// AddServer names a server. started is the moment of a cold start, or negative for one warm from the beginning.
func (j *Checker) AddServer(name string, capacity float64, started time.Duration) {
	j.servers[name] = &serverState{retired: -1, started: started, capacity: capacity}
}

// Retire says that a server has been told draining or gone, at the moment the last softswitch was told.
func (j *Checker) Retire(name string, at time.Duration) {
	if s := j.servers[name]; s != nil && s.retired < 0 {
		s.retired = at
	}
}

// RecordSetUp is a caller's set-up to a softswitch, written whole, that its caller waits for until giveUp.
func (j *Checker) RecordSetUp(at time.Duration, id uint64, to int, giveUp time.Duration) {
	j.setups[id] = &setup{sent: at, giveUp: giveUp, to: to}
	j.second(at).Offered++
}

// Withdraw takes back a set-up that could not be written whole after all: nothing is owed for it.
func (j *Checker) Withdraw(id uint64) {
	if s := j.setups[id]; s != nil {
		j.second(s.sent).Offered--
		delete(j.setups, id)
	}
}

// RecordFinalAnswer is a final answer to a set-up: served says it stands, else it was refused.
func (j *Checker) RecordFinalAnswer(at time.Duration, id uint64, served bool) {
	s := j.setups[id]
	if s == nil {
		j.broke("answer to no set-up", at, "call %016x", id)
		return
	}
	s.finals++
	if s.finals == 2 {
		j.broke("two final answers", at, "call %016x", id)
		return
	}
	if s.settled && !served {
		return // the refusal of one given up, crossing
	}
	s.settled = true
	if s.served = served; served {
		j.second(at).Served++
	} else {
		j.second(at).Refused++
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
func (j *Checker) Recovery(place int, after time.Duration, seconds int) *RecoveryStats {
	first := time.Duration(-1)
	for _, s := range j.setups {
		if s.to == place && s.sent >= after && (first < 0 || s.sent < first) {
			first = s.sent
		}
	}
	if first < 0 {
		return nil
	}
	r := &RecoveryStats{Name: MemberName(place), First: first, Share: make([]float64, seconds), Peers: make([]float64, seconds)}
	offered, served := make([][2]float64, seconds), make([][2]float64, seconds)
	for _, s := range j.setups {
		i := int((s.sent - first) / time.Second)
		if s.sent < first || i >= seconds {
			continue
		}
		who := 0
		if s.to != place {
			who = 1
		}
		if offered[i][who]++; s.served {
			served[i][who]++
		}
	}
	for i := range seconds {
		for who, share := range [][]float64{r.Share, r.Peers} {
			if share[i] = -1; offered[i][who] > 0 {
				share[i] = served[i][who] / offered[i][who]
			}
		}
	}
	return r
}

// RecordUnanswered says that a set-up's caller gave up without a final answer, or lost its connection. excused says that
// a fault the lab made (a kill, a pause, a stop) stood in its way; such a set-up is counted, not judged.
func (j *Checker) RecordUnanswered(at time.Duration, id uint64, excused bool) {
	s := j.setups[id]
	if s == nil || s.settled {
		return
	}
	s.settled = true
	if excused {
		j.second(at).Excused++
		return
	}
	j.second(at).Lost++
	if at+j.rules.Slack < s.giveUp {
		j.broke("set-up lost", at, "call %016x: its connection ended with no answer", id)
	} else {
		j.broke("no final answer before give-up", at, "call %016x sent at %v", id, s.sent)
	}
}

// RecordAttempt says that an attempt of a call reached a server whole.
func (j *Checker) RecordAttempt(at time.Duration, server string, id uint64) {
	c := j.calls[id]
	if c == nil {
		c = &callState{gapFrom: -1}
		j.calls[id] = c
	}
	if c.out != "" {
		j.broke("two attempts out", at, "call %016x at %s and %s", id, c.out, server)
	}
	c.attempts++
	if c.attempts == j.rules.MaxAttempts+1 {
		j.broke("too many attempts", at, "call %016x: %d", id, c.attempts)
	}
	if c.gapFrom >= 0 && at+j.rules.Slack < c.gapFrom+j.rules.ReleaseGuard {
		j.broke("release gap", at, "call %016x again after %v", id, at-c.gapFrom)
	}
	c.out = server
	j.second(at).Arrivals[server]++
	s := j.servers[server]
	if s == nil {
		j.broke("unknown server", at, "%s", server)
		return
	}
	if s.retired >= 0 && at > s.retired+j.rules.DrainGrace+j.rules.Slack {
		j.broke("new attempt at a retired server", at, "call %016x at %s, %v after it was told", id, server, at-s.retired)
	}
	j.cold(at, server, s)
}

// cold holds a just-started server to its budget over every window: tip-multiple x present capacity x window.
func (j *Checker) cold(at time.Duration, name string, s *serverState) {
	if s.started < 0 || at-s.started > j.rules.Ramp+j.rules.TipWindow {
		s.arrivals = nil
		return
	}
	s.arrivals = append(s.arrivals, at)
	from := at - j.rules.TipWindow
	i := sort.Search(len(s.arrivals), func(i int) bool { return s.arrivals[i] > from })
	s.arrivals = slices.Delete(s.arrivals, 0, i)
	budget := j.rules.TipMultiple * j.Capacity(name, at) * j.rules.TipWindow.Seconds()
	if n := len(s.arrivals); float64(n) > budget+float64(j.rules.ColdSlack) {
		j.broke("cold server pushed over", at, "%s: %d attempts in %v, budget %.1f", name, n, j.rules.TipWindow, budget)
	}
}

// Capacity is what a server can do at a moment, in set-ups a second, as the judge holds it to.
func (j *Checker) Capacity(name string, at time.Duration) float64 {
	s := j.servers[name]
	if s == nil {
		return 0
	}
	return j.rules.RampedCapacity(s.capacity, s.started, at)
}

// RampedCapacity is what a server of a capacity that started at a moment (negative: warm from the beginning) can do at
// another: it grows in a straight line from cold-from of its capacity to all of it after the ramp. The lab's
// stand-ins warm up that way; WIRE leaves the way open.
func (r Rules) RampedCapacity(capacity float64, started, at time.Duration) float64 {
	switch {
	case started >= 0 && at < started:
		return 0 // not there yet
	case started < 0 || at-started >= r.Ramp || r.Ramp <= 0:
		return capacity
	}
	return capacity * (r.ColdFrom + (1-r.ColdFrom)*float64(max(0, at-started))/float64(r.Ramp))
}

// RecordAttemptEnd says that an attempt ended at its server, and how.
func (j *Checker) RecordAttemptEnd(at time.Duration, server string, id uint64, how AttemptOutcome) {
	c := j.calls[id]
	if c == nil || c.out != server {
		return
	}
	c.out = ""
	if how == Cancelled || how == ConnectionReset {
		c.gapFrom = at
	}
}

// CheckOpen judges what is still open at the end of a run: a set-up unanswered past its give-up is a breach.
func (j *Checker) CheckOpen(at time.Duration) {
	for id, s := range j.setups {
		if !s.settled && at > s.giveUp+j.rules.Slack {
			j.RecordUnanswered(s.giveUp, id, false)
		}
	}
}

// Violations are the broken invariants, first seen first.
func (j *Checker) Violations() []Violation {
	var out []Violation
	for _, b := range j.breach {
		out = append(out, *b)
	}
	slices.SortFunc(out, func(a, b Violation) int { return int(a.First - b.First) })
	return out
}

// PerSecond are the rows of the per-second table.
func (j *Checker) PerSecond() []SecondStats { return j.seconds }
