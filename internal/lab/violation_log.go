package lab

import (
	"slices"
	"time"
)

// observedViolation is one observation of a broken rule.
type observedViolation struct {
	rule, detail string
	at           time.Duration // since the start of the run
}

// violationLog keeps the violations that a checker saw, and the spans in which the lab itself lagged: what is seen in those, widened by the
// slack on both sides, may be the lab's own delay.
type violationLog struct {
	slack    time.Duration
	observed []observedViolation
	lagSpans [][2]time.Duration // start and end
}

// record records a violation.
func (l *violationLog) record(rule string, at time.Duration, detail string) {
	l.observed = append(l.observed, observedViolation{rule, detail, at})
}

// recordLag records a span in which the lab lagged. It also counts for violations recorded before.
func (l *violationLog) recordLag(from, to time.Duration) {
	l.lagSpans = append(l.lagSpans, [2]time.Duration{from, to})
}

// judged returns the violations outside of the lab's lag, in the order of their records, and the number of the others.
func (l *violationLog) judged() (violations []observedViolation, unjudged int) {
	for _, observed := range l.observed {
		if l.inLagSpan(observed.at) {
			unjudged++
			continue
		}
		violations = append(violations, observed)
	}
	return violations, unjudged
}

// inLagSpan reports whether a time lies in a span of the lab's lag, widened by the slack.
func (l *violationLog) inLagSpan(at time.Duration) bool {
	return slices.ContainsFunc(l.lagSpans, func(span [2]time.Duration) bool {
		return at >= span[0]-l.slack && at <= span[1]+l.slack
	})
}
