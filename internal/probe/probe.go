// Package probe decides which connections to servers may be probed, that is, asked whether they still carry data, and
// counts the results. A probe costs the server work and may have a price, so the total rate of probes is limited. The
// package does no I/O and reads no clock.
package probe

import "time"

// Limits limits the probes.
type Limits struct {
	Permitted bool          // whether the settings allow probes at all
	Rate      float64       // max rate, in probes a second, to all servers together
	Burst     float64       // max number of probes sent at once, after a time without probes
	Timeout   time.Duration // a probe without an answer for that time has failed
}

// Counters counts probes since the start of the process.
type Counters struct {
	Sent        uint64 // probes sent
	Answered    uint64 // answers accepted
	Failed      uint64 // probes without an answer in time, or whose connection was closed first
	RateLimited uint64 // requests refused because of the limited rate
	Unexpected  uint64 // answers that match no outstanding probe: repeated, too late, or on another connection
}

// ID identifies a probe.
type ID uint64

// Prober keeps the outstanding probes, at most one for each connection.
type Prober struct {
	limits           Limits
	counters         Counters
	probeTokens      float64       // tokens of the token bucket that limits the rate: each probe takes one
	tokensRefilledAt time.Duration // when probeTokens was last updated
	lastID           ID            // of the last probe sent
	outstandingConns map[ID]uint64 // connection of each outstanding probe
}

// New returns a prober that may begin with limits.Burst probes at once.
func New(l Limits) *Prober {
	return &Prober{limits: l, probeTokens: l.Burst, outstandingConns: make(map[ID]uint64)}
}

// Configure replaces the limits. Outstanding probes stay outstanding.
func (p *Prober) Configure(l Limits) { p.limits = l }

// Counters returns the current counters.
func (p *Prober) Counters() Counters { return p.counters }

// Verdict says what may be done about a connection that may be dead.
type Verdict uint8

// The verdicts about a connection.
const (
	VerdictForbidden Verdict = iota // the settings allow no probes: whether the connection is dead has to be decided without one
	VerdictWait                     // a probe is outstanding on the connection, or the max rate of probes is reached: ask again later
	VerdictSend                     // the probe has to be sent now
)

// Request reports whether a connection may be probed. For VerdictSend it records the probe as sent, and also returns its id and
// the deadline for the answer.
func (p *Prober) Request(now time.Duration, conn uint64) (verdict Verdict, id ID, deadline time.Duration) {
	if !p.limits.Permitted {
		return VerdictForbidden, 0, 0
	}
	for _, probedConn := range p.outstandingConns {
		if probedConn == conn {
			return VerdictWait, 0, 0
		}
	}
	p.probeTokens = min(p.probeTokens+p.limits.Rate*max(now-p.tokensRefilledAt, 0).Seconds(), p.limits.Burst)
	if p.tokensRefilledAt = now; p.probeTokens < 1 {
		p.counters.RateLimited++
		return VerdictWait, 0, 0
	}
	p.probeTokens--
	p.lastID++
	p.outstandingConns[p.lastID] = conn
	p.counters.Sent++
	return VerdictSend, p.lastID, now + p.limits.Timeout
}

// Answered handles an answer to a probe and reports whether it is accepted: only the first one of each probe, and only on the
// connection that was probed.
func (p *Prober) Answered(id ID, conn uint64) bool {
	if probedConn, outstanding := p.outstandingConns[id]; !outstanding || probedConn != conn {
		p.counters.Unexpected++
		return false
	}
	delete(p.outstandingConns, id)
	p.counters.Answered++
	return true
}

// Expire ends a probe at its deadline, as failed, and reports whether the probe was still outstanding.
func (p *Prober) Expire(id ID) bool {
	if _, outstanding := p.outstandingConns[id]; !outstanding {
		return false
	}
	delete(p.outstandingConns, id)
	p.counters.Failed++
	return true
}

// ConnClosed ends the probe that is outstanding on a closed connection, if any, as failed.
func (p *Prober) ConnClosed(conn uint64) {
	for id, probedConn := range p.outstandingConns {
		if probedConn == conn {
			p.Expire(id)
		}
	}
}
