package elmseam

// Token buckets and decaying counters, in which budgets and rates are kept. This file makes no decisions.

import (
	"math"
	"time"
)

// bucket is a budget of set-ups that refills with time.
type bucket struct {
	tokens    float64 // set-ups allowed at the last refill, less those sent since; may be negative
	updatedAt Time    // time of the last refill
}

// refill adds the tokens that have accrued since the last refill, at a rate in set-ups per second and up to
// burst, and returns whether the budget allows one set-up.
func (b *bucket) refill(now Time, rate, burst float64) bool {
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	return b.tokens >= 1
}

// refillCapped is refill for a budget that may earn less than one set-up within saveTime. Such a budget drops
// a saved set-up that is not used within saveTime, so that the saved set-ups of many softswitches do not
// come at once.
func (b *bucket) refillCapped(now Time, rate, burst float64, saveTime time.Duration) bool {
	saved := rate * saveTime.Seconds()
	if b.refill(now, rate, burst); saved < 1 && b.tokens > 1+saved {
		b.tokens = math.Mod(b.tokens, 1)
	}
	return b.tokens >= 1
}

// decayingCounter is a count that decays exponentially with the time constant rateTimeConstant.
type decayingCounter struct {
	count     float64 // value at updatedAt
	updatedAt Time    // time of the last addition
}

// value returns the count, decayed until now.
func (d decayingCounter) value(now Time) float64 {
	return d.count * decayFactor((now - d.updatedAt).Seconds())
}

// add adds one to the count.
func (d *decayingCounter) add(now Time) {
	d.count, d.updatedAt = d.value(now)+1, now
}

// decayFactor returns the weight of an event that happened the given number of seconds ago.
func decayFactor(seconds float64) float64 { return math.Exp(-seconds / rateTimeConstant) }
