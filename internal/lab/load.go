package lab

import "time"

// generateLoad sends set-ups at the scenario's rate to the ready softswitches, in turn or by their shares, until the
// end of the load or a stop. It measures its own lag and reports a tick's lag above MaxLag to the checker (RecordLag).
func (r *runner) generateLoad() {
	const tick = 5 * time.Millisecond
	dueSetUps, nextMember, setUpCount := 0.0, 0, 0
	accumulatedShares := make([]float64, len(r.members))
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
		dueSetUps += r.scenario.RateAt(tickAt) * tick.Seconds()
		for ; dueSetUps >= 1; dueSetUps-- {
			if shares := r.scenario.SharesAt(tickAt); shares != nil {
				nextMember = nextByShare(accumulatedShares, shares)
			}
			if !r.sendSetUpToNextReady(&nextMember, r.scenario.Classes[setUpCount%len(r.scenario.Classes)]) {
				r.mu.Lock()
				r.unsent++
				r.mu.Unlock()
			}
			setUpCount++
		}
		tickAt += tick
		if d := tickAt - r.now(); d > 0 {
			time.Sleep(d)
		}
	}
}

// nextByShare picks the next softswitch by smooth weighted round robin: each softswitch's entry in
// accumulatedShares grows by its share, and the softswitch with the highest entry is picked. Its entry is then reduced by
// the sum of all shares.
func nextByShare(accumulatedShares, shares []float64) (best int) {
	total := 0.0
	for i, share := range shares {
		accumulatedShares[i] += share
		if total += share; accumulatedShares[i] > accumulatedShares[best] {
			best = i
		}
	}
	accumulatedShares[best] -= total
	return best
}

// sendSetUpToNextReady sends one set-up to the next ready softswitch, on one of the callers' connections to it. It
// reports whether a softswitch could be reached.
func (r *runner) sendSetUpToNextReady(nextMember *int, class string) bool {
	for range len(r.members) {
		index := *nextMember % len(r.members)
		*nextMember++
		m := r.members[index]
		if !m.isReady() {
			continue
		}
		conn := r.callerConnTo(index, *nextMember%r.scenario.CallerConns)
		if conn == nil {
			continue
		}
		if conn.sendSetUp(r.callIDs.Uint64()|1, class, r.scenario.GiveUp.Duration) == nil {
			return true
		}
	}
	return false
}

// callerConnTo returns a callers' connection to a softswitch, dialled anew if the last one in this slot has ended; nil if
// the dial fails.
func (r *runner) callerConnTo(index, slot int) *callerConn {
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
