package elmseam

// What budgets and rates are kept in. Nothing here decides.

import (
	"math"
	"time"
)

// bucket is a budget of set-ups that refills with time.
type bucket struct {
	tokens    float64
	updatedAt Time
}

// refill adds what has come in at a rate since the last time and says whether one set-up has room.
func (b *bucket) refill(now Time, rate, burst float64) bool {
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	return b.tokens >= 1
}

// spread is refill for a budget that is small beside one set-up: a set-up that has room is not kept for later
// than within, so that those of many senders, saved up, do not come at once.
func (b *bucket) refillCapped(now Time, rate, burst float64, saveTime time.Duration) bool {
	saved := rate * saveTime.Seconds()
	if b.refill(now, rate, burst); saved < 1 && b.tokens > 1+saved {
		b.tokens = math.Mod(b.tokens, 1)
	}
	return b.tokens >= 1
}

// counter is a count in which what is long ago fades.
type decayingCounter struct {
	count     float64
	updatedAt Time // last added to
}

// now is the count with what has faded.
func (counter decayingCounter) value(now Time) float64 {
	return counter.count * decayFactor((now - counter.updatedAt).Seconds())
}

// add counts one more.
func (counter *decayingCounter) add(now Time) {
	counter.count, counter.updatedAt = counter.value(now)+1, now
}

// decay is the weight of what happened dt seconds ago.
func decayFactor(seconds float64) float64 { return math.Exp(-seconds / rateTimeConstant) }
