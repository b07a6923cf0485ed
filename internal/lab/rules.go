package lab

import "time"

// Rules are the limits that the checker applies to a whole fleet. All but the slacks come from the settings that
// the softswitches are given (WIRE section 9, PROTOCOL "The rules on sockets").
type Rules struct {
	MaxAttempts int // attempts of one call at all servers, of all softswitches together
	// ReleaseGuard is the wait after a cancel or a reset before the call is sent again
	// (family-info.release-guard-us).
	ReleaseGuard time.Duration
	// DrainGrace is the time after which a server that drains or is gone gets no new attempt
	// (obligations.drain-grace-us).
	DrainGrace time.Duration
	// OverloadMultiple times its present capacity is the rate of attempts that a cold server may get
	// (obligations.tip-multiple).
	OverloadMultiple float64
	OverloadAfter    time.Duration // window in which these attempts are counted (obligations.tip-after-us)
	ColdInitialShare float64       // share of its capacity that a server starts with (obligations.cold-from)
	ColdRamp         time.Duration // time from a server's start until it is warm (obligations.ramp-time-us)
	// Slack is the tolerance for the release guard, the drain grace and the give-up, and the margin on both sides of a span in
	// which the lab itself lagged; 50 ms on sockets.
	Slack     time.Duration
	ColdSlack int // attempts in a window above a cold server's budget that chance may cause
}

// RampedCapacity returns what a server can handle at a time, in set-ups a second. startedAt is the time of its cold
// start; negative: warm from the beginning. The capacity grows linearly from the share ColdInitialShare to all of it over
// ColdRamp. The lab's stand-in servers warm up that way; WIRE does not prescribe the curve.
func (r Rules) RampedCapacity(capacity float64, startedAt, at time.Duration) float64 {
	switch {
	case startedAt >= 0 && at < startedAt:
		return 0 // not started yet
	case startedAt < 0 || at-startedAt >= r.ColdRamp || r.ColdRamp <= 0:
		return capacity
	}
	return capacity * (r.ColdInitialShare + (1-r.ColdInitialShare)*float64(max(0, at-startedAt))/float64(r.ColdRamp))
}
