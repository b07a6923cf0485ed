// Package backoff decides how long to wait before a failed request is made again. It does no I/O and reads no clock.
package backoff

import "time"

// Limits bound the waits.
type Limits struct {
	Base time.Duration // longest wait after the first failure; it doubles with each further one
	Max  time.Duration // longest wait after any failure
}

// Backoff is an exponential backoff with full jitter: after each failure in a row the longest wait doubles, and the wait is a random part of
// it, so that many clients of a service that fails do not come back in step. It is not safe for concurrent use.
type Backoff struct {
	limits  Limits
	random  func() float64 // returns a random number from 0 to 1
	ceiling time.Duration  // longest wait after the next failure
}

// New returns a backoff without failures. random returns random numbers from 0 to 1.
func New(limits Limits, random func() float64) *Backoff {
	return &Backoff{limits: limits, random: random, ceiling: limits.Base}
}

// Next records a failure and returns the wait before the next request.
func (b *Backoff) Next() time.Duration {
	ceiling := min(b.ceiling, b.limits.Max)
	b.ceiling = min(2*ceiling, b.limits.Max)
	return time.Duration(b.random() * float64(ceiling))
}

// Reset records a success.
func (b *Backoff) Reset() { b.ceiling = b.limits.Base }
