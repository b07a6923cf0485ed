package lab

import "time"

// load sends set-ups at the scenario's rate, to the softswitches that are ready, in turn; it measures its own lag
// and tells the judge where it lagged so that no timing is judged there.
func (r *runner) generateLoad() {
	const tick = 5 * time.Millisecond
	due, next, class := 0.0, 0, 0
	credit := make([]float64, len(r.members))
	tickAt := time.Duration(0)
	for tickAt < r.scenario.Duration.Duration {
		select {
		case <-r.options.Stop:
			return
		default:
		}
		now := r.now()
		if lag := now - tickAt; lag > r.scenario.MaxLag.Duration {
			r.mu.Lock()
			r.checker.RecordLag(tickAt, now)
			r.lagSpans++
			r.mu.Unlock()
		}
		if lag := now - tickAt; lag > r.maxLag {
			r.maxLag = lag
		}
		due += r.scenario.RateAt(tickAt) * tick.Seconds()
		for ; due >= 1; due-- {
			if shares := r.scenario.SharesAt(tickAt); shares != nil {
				next = nextByShare(credit, shares)
			}
			if !r.sendSetUp(&next, r.scenario.Classes[class%len(r.scenario.Classes)]) {
				r.mu.Lock()
				r.unsent++
				r.mu.Unlock()
			}
			class++
		}
		tickAt += tick
		if d := tickAt - r.now(); d > 0 {
			time.Sleep(d)
		}
	}
}

// whose turn it is by shares: each gains its share, and who has most gives all of one turn (smooth weighted round robin).
func nextByShare(credit, shares []float64) (best int) {
	total := 0.0
	for i, share := range shares {
		credit[i] += share
		if total += share; credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return best
}

// send sends one set-up to the next ready softswitch, on one of its callers' connections.
func (r *runner) sendSetUp(next *int, class string) bool {
	for range len(r.members) {
		index := *next % len(r.members)
		*next++
		m := r.members[index]
		if !m.isReady() {
			continue
		}
		conn := r.connTo(index, *next%r.scenario.CallerConns)
		if conn == nil {
			continue
		}
		if conn.setUp(r.rand.Uint64()|1, class, r.scenario.GiveUp.Duration) == nil {
			return true
		}
	}
	return false
}

// conn is a caller's connection to a softswitch, dialled anew where the last one has ended.
func (r *runner) connTo(index, slot int) *callerConn {
	r.connMu.Lock()
	defer r.connMu.Unlock()
	for len(r.callerConns[index]) < r.scenario.CallerConns {
		r.callerConns[index] = append(r.callerConns[index], nil)
	}
	conn := r.callerConns[index][slot]
	if conn != nil {
		select {
		case <-conn.done:
			conn = nil
		default:
			return conn
		}
	}
	conn, err := dialCaller(r.members[index].listenAddr, index, r)
	if err != nil {
		return nil
	}
	r.callerConns[index][slot] = conn
	return conn
}
