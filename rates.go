package elmseam

// What budgets and rates are kept in. Nothing here decides.

import (
	"math"
	"time"
)

// bucket is a budget of set-ups that refills with time.
type bucket struct {
	tokens float64
	at     Time
}

// refill adds what has come in at a rate since the last time and says whether one set-up has room.
func (b *bucket) refill(now Time, rate, burst float64) bool {
	b.tokens = min(b.tokens+rate*(now-b.at).Seconds(), burst)
	b.at = now
	return b.tokens >= 1
}

// spread is refill for a budget that is small beside one set-up: a set-up that has room is not kept for later
// than within, so that those of many senders, saved up, do not come at once.
func (b *bucket) spread(now Time, rate, burst float64, within time.Duration) bool {
	room := rate * within.Seconds()
	if b.refill(now, rate, burst); room < 1 && b.tokens > 1+room {
		b.tokens = math.Mod(b.tokens, 1)
	}
	return b.tokens >= 1
}

// counter is a count in which what is long ago fades.
type counter struct {
	count float64
	at    Time // last added to
}

// now is the count with what has faded.
func (n counter) now(now Time) float64 { return n.count * decay((now - n.at).Seconds()) }

// add counts one more.
func (n *counter) add(now Time) { n.count, n.at = n.now(now)+1, now }

// decay is the weight of what happened dt seconds ago.
func decay(dt float64) float64 { return math.Exp(-dt / rateMemory) }
