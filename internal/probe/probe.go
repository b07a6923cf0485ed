// Package probe decides which connection to a server may be asked whether it still carries anything, and counts what came of
// it. A probe costs the server work and may have a price, so all together are bounded in rate. It does no I/O and reads
// no clock.
package probe

import "time"

// Limits bound the probes.
type Limits struct {
	Permitted bool          // by the settings
	Rate      float64       // probes a second, to all servers together
	Burst     float64       // and so many at once
	Timeout   time.Duration // without an answer by then a probe has failed
}

// Counters count probes from the start of the process.
type Counters struct {
	Sent        uint64
	Answered    uint64
	Failed      uint64 // no answer came in time, or the connection ended first
	RateLimited uint64 // not sent, as the rate is bounded
	Late        uint64 // answers to none that is out: a second one, or one that comes too late
}

// ID names a probe.
type ID uint64

// Prober keeps the probes that are out, at most one to a connection.
type Prober struct {
	limits      Limits
	counters    Counters
	tokens      float64
	refilledAt  time.Duration // when they were last counted
	lastID      ID
	outstanding map[ID]uint64 // by the connection
}

// New makes a prober that may begin with a burst.
func New(l Limits) *Prober {
	return &Prober{limits: l, tokens: l.Burst, outstanding: make(map[ID]uint64)}
}

// Configure replaces the limits. A probe that is out stays out.
func (p *Prober) Configure(l Limits) { p.limits = l }

// Counters are the figures of now.
func (p *Prober) Counters() Counters { return p.counters }

// Verdict is what may be done about a connection in doubt.
type Verdict uint8

// The verdicts.
const (
	Forbidden Verdict = iota // no probe may be sent: the connection has to be judged without one
	Wait                     // one is out there, or there is no budget: it is looked at again
	Send
)

// Request says whether a connection may be probed, and if so, under which name and until when an answer is waited for.
func (p *Prober) Request(now time.Duration, conn uint64) (v Verdict, id ID, deadline time.Duration) {
	if !p.limits.Permitted {
		return Forbidden, 0, 0
	}
	for _, probed := range p.outstanding {
		if probed == conn {
			return Wait, 0, 0
		}
	}
	p.tokens = min(p.tokens+p.limits.Rate*max(now-p.refilledAt, 0).Seconds(), p.limits.Burst)
	if p.refilledAt = now; p.tokens < 1 {
		p.counters.RateLimited++
		return Wait, 0, 0
	}
	p.tokens--
	p.lastID++
	p.outstanding[p.lastID] = conn
	p.counters.Sent++
	return Send, p.lastID, now + p.limits.Timeout
}

// Answered takes in an answer, which counts once and on the connection that was asked.
func (p *Prober) Answered(id ID, conn uint64) bool {
	if probed, outstanding := p.outstanding[id]; !outstanding || probed != conn {
		p.counters.Late++
		return false
	}
	delete(p.outstanding, id)
	p.counters.Answered++
	return true
}

// Expire ends a probe whose time is up, and says whether it was still out.
func (p *Prober) Expire(id ID) bool {
	if _, outstanding := p.outstanding[id]; !outstanding {
		return false
	}
	delete(p.outstanding, id)
	p.counters.Failed++
	return true
}

// ConnClosed takes in that a connection is no more: nobody waits for what was asked there.
func (p *Prober) ConnClosed(conn uint64) {
	for id, probed := range p.outstanding {
		if probed == conn {
			p.Expire(id)
		}
	}
}
