package lab

import "time"

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

// RampedCapacity is what a server of a capacity that started at a moment (negative: warm from the beginning) can do at
// another: it grows in a straight line from cold-from of its capacity to all of it after the ramp. The lab's
// stand-ins warm up that way; WIRE leaves the way open.
func (r Rules) RampedCapacity(capacity float64, startedAt, at time.Duration) float64 {
	switch {
	case startedAt >= 0 && at < startedAt:
		return 0 // not there yet
	case startedAt < 0 || at-startedAt >= r.Ramp || r.Ramp <= 0:
		return capacity
	}
	return capacity * (r.ColdFrom + (1-r.ColdFrom)*float64(max(0, at-startedAt))/float64(r.Ramp))
}
