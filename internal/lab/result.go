package lab

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Result is the outcome of a run. Counts are of set-ups unless the field's comment says otherwise.
type Result struct {
	Scenario   string      `json:"scenario"`
	Passed     bool        `json:"held"` // no rule was violated
	Violations []Violation `json:"breaches"`
	Offered    int         `json:"offered"`
	Served     int         `json:"served"`
	Refused    int         `json:"refused"` // answered with a refusal
	Lost       int         `json:"lost"`    // not answered, and not excused
	Excused    int         `json:"excused"` // not answered because of an injected fault
	// Unsent counts the set-ups for which no softswitch could be reached.
	Unsent   int           `json:"unsent"`
	MaxLag   time.Duration `json:"lag_max_ns"`  // greatest lag of the lab's load generator
	LagSpans int           `json:"blind_spans"` // ticks of the load generator whose lag was above the scenario's MaxLag
	// AdminServed is the number of answered calls by the softswitches' own counters, over all their processes.
	AdminServed    int64           `json:"door_served"`
	Datagrams      map[string]int  `json:"datagrams"` // the relay's counters
	Starts         map[string]int  `json:"starts"`    // processes started, by softswitch
	InjectedFaults []InjectedFault `json:"faults"`

	// Detections has an entry for each kill, stop and pause of a softswitch. If membership is off, the entries lack the
	// observations of the other softswitches.
	// FalseDeaths, the maps of counters and MaintenanceRuns are filled only if membership is on.
	Detections  []*Detection `json:"detections,omitempty"`
	FalseDeaths []FalseDeath `json:"false_deaths,omitempty"`
	// These four maps hold those counters of the admin endpoints that only grow, summed over all softswitches and all
	// their processes.
	MembershipCounters  map[string]int64  `json:"members,omitempty"`
	MaintenanceCounters map[string]int64  `json:"maintenance,omitempty"`
	KnowledgeCounters   map[string]int64  `json:"knowledge,omitempty"`
	BudgetCounters      map[string]int64  `json:"parts,omitempty"`
	MaintenanceRuns     []*MaintenanceRun `json:"works,omitempty"`
	Recoveries          []*RecoveryStats  `json:"returns,omitempty"` // after faults of kind "kill" with a restart
	// MaxOutOfService is the greatest number of softswitches that were out for maintenance in one sample, as
	// CheckMaintenanceBudget counts them; 0 without a maintenance budget.
	MaxOutOfService int           `json:"most_out"`
	Elapsed         time.Duration `json:"span_ns"` // from the start of the load to the end of the run

	seconds          []SecondStats
	serverNames      []string    // in the order of the scenario
	viewsBySecond    [][]string  // by second, by softswitch: the states it reports, as initials
	readyBySecond    [][]bool    // by second, by softswitch: ready at the second's last sample
	capacityBySecond [][]float64 // by second, by server: set-ups a second at the second's start, without slowdowns
}

// ServerNames returns the names of the servers, in the order of the scenario.
func (res *Result) ServerNames() []string { return res.serverNames }

// Seconds returns the counts of each second of the run.
func (res *Result) Seconds() []SecondStats { return res.seconds }

// collectResult collects the run's counts and adds the violations that show only at the end: oversized datagrams,
// and counts that differ from those of the admin endpoints.
func (r *runner) collectResult() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{Scenario: r.scenario.Name, Violations: r.checker.Violations(), Unsent: r.unsent, MaxLag: r.maxLag,
		LagSpans: r.lagSpans, seconds: r.checker.PerSecond(), serverNames: r.serverOrder, Starts: map[string]int{},
		InjectedFaults: r.injectedFaults, MembershipCounters: map[string]int64{},
		MaintenanceCounters: map[string]int64{}, KnowledgeCounters: map[string]int64{},
		BudgetCounters: map[string]int64{}, readyBySecond: r.readyBySecond, viewsBySecond: r.viewsBySecond,
		Detections: r.tierChecker.detections, FalseDeaths: r.tierChecker.falseDeaths,
		MaintenanceRuns: r.tierChecker.maintenanceRuns, MaxOutOfService: r.tierChecker.maxOutOfService, Elapsed: r.now()}
	res.Violations = append(res.Violations, r.tierChecker.Violations()...)
	for _, fault := range r.scenario.Faults {
		for _, index := range r.scenario.memberIndexes(fault.Target) {
			if recovery := r.checker.Recovery(index, fault.At.Duration+fault.Duration.Duration,
				recoverySeconds); fault.Kind == "kill" && fault.Duration.Duration > 0 && recovery != nil {
				res.Recoveries = append(res.Recoveries, recovery)
			}
		}
	}
	for i := range res.seconds {
		var row []float64
		for _, name := range r.serverOrder {
			row = append(row, r.capacity(name, time.Duration(i)*time.Second))
		}
		res.capacityBySecond = append(res.capacityBySecond, row)
	}
	for _, s := range res.seconds {
		res.Offered += s.Offered
		res.Served += s.Served
		res.Refused += s.Refused
		res.Lost += s.Lost
		res.Excused += s.Excused
	}
	anyRestarted := false
	sumsByGroup := map[string]map[string]int64{"members": res.MembershipCounters,
		"maintenance": res.MaintenanceCounters, "knowledge": res.KnowledgeCounters, "parts": res.BudgetCounters}
	for _, m := range r.members {
		res.AdminServed += m.counters["answered"]
		for key, value := range m.counters {
			group, name, _ := strings.Cut(key, ".")
			if sums := sumsByGroup[group]; sums != nil && monotonicCounters[name] {
				sums[name] += value
			}
		}
		res.Starts[m.name] = m.starts
		anyRestarted = anyRestarted || m.starts > 1 || !m.running()
	}
	counters := &r.relay.Counters
	res.Datagrams = map[string]int{"passed": int(counters.Forwarded.Load()), "dropped": int(counters.Dropped.Load()),
		"doubled": int(counters.Duplicated.Load()), "strangers": int(counters.UnknownSenders.Load()),
		"oversized": int(counters.Oversized.Load()), "bytes": int(counters.Bytes.Load())}
	if counters.Oversized.Load() > 0 {
		res.Violations = append(res.Violations,
			Violation{Rule: "datagram over 256 bytes", Count: int(counters.Oversized.Load())})
	}
	// If no softswitch was restarted or killed, the lab's count must agree with the admin endpoints' count within the
	// tolerance and two set-ups more.
	if diff := float64(res.AdminServed - int64(res.Served)); !anyRestarted &&
		abs(diff) > r.scenario.Tolerance*float64(max(res.Served, 1))+2 {
		res.Violations = append(res.Violations, Violation{Rule: "counts disagree with the doors", Count: 1,
			Detail: fmt.Sprintf("the lab counted %d served set-ups, the admin endpoints %d", res.Served, res.AdminServed)})
	}
	res.Passed = len(res.Violations) == 0
	return res
}

// recoverySeconds is the number of seconds for which a restarted softswitch is compared with the others.
const recoverySeconds = 5

// tierCounterGroups are the prefixes of the tier protocols' counters at the admin endpoints.
var tierCounterGroups = []string{"members", "maintenance", "knowledge", "parts"}

// monotonicCounters are the counters of these groups that only grow in a process, so that the values of all processes
// can be summed.
var monotonicCounters = map[string]bool{"probes": true, "indirect": true, "acks": true, "nacks": true,
	"failed": true, "told": true, "stale": true, "unlisted": true, "answered": true, "claims": true,
	"inherited": true, "expired": true, "borrowed": true, "lent": true, "suspicions": true, "deaths": true,
	"refutations": true, "stalls": true, "sent": true, "sent_bytes": true, "heard": true, "asked": true,
	"granted": true, "renewed": true, "lost": true, "yes": true, "no": true, "dropped_garbled": true,
	"dropped_version": true, "dropped_stranger": true, "dropped_flood": true, "unwritten": true}

// abs returns the absolute value.
func abs(f float64) float64 {
	if f < 0 {
		return -f
	}
	return f
}

// WriteTable writes the per-second table as CSV: the set-ups offered, served, refused, lost and excused; whether the
// lab lagged; for each server the attempts that reached it and its capacity; for each softswitch whether it was ready
// and, if membership is on, the states that it reports for the tier's members, as initials.
func (res *Result) WriteTable(path string) error {
	var b strings.Builder
	b.WriteString("second,offered,served,refused,lost,excused,blind")
	for _, s := range res.serverNames {
		fmt.Fprintf(&b, ",load:%s,capacity:%s", s, s)
	}
	tierSize := 0
	if len(res.readyBySecond) > 0 {
		tierSize = len(res.readyBySecond[0])
	}
	for i := range tierSize {
		fmt.Fprintf(&b, ",ready:%s", MemberName(i))
	}
	hasViews := slices.ContainsFunc(res.viewsBySecond, func(v []string) bool { return len(v) > 0 })
	for i := range tierSize {
		if hasViews {
			fmt.Fprintf(&b, ",view:%s", MemberName(i))
		}
	}
	b.WriteString("\n")
	for i, s := range res.seconds {
		fmt.Fprintf(&b, "%d,%d,%d,%d,%d,%d,%t", i, s.Offered, s.Served, s.Refused, s.Lost, s.Excused, s.Lagged)
		for k, name := range res.serverNames {
			fmt.Fprintf(&b, ",%d,%.0f", s.Arrivals[name], res.capacityBySecond[i][k])
		}
		for k := range tierSize {
			ready := i < len(res.readyBySecond) && res.readyBySecond[i][k]
			fmt.Fprintf(&b, ",%d", map[bool]int{true: 1}[ready])
		}
		for k := range tierSize {
			if hasViews && i < len(res.viewsBySecond) && len(res.viewsBySecond[i]) > 0 {
				fmt.Fprintf(&b, ",%s", res.viewsBySecond[i][k])
			} else if hasViews {
				b.WriteString(",")
			}
		}
		b.WriteString("\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
