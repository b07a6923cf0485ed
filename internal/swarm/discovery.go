package swarm

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"elmseam/internal/backoff"
)

// DiscoveryOutage describes an outage of discovery in discrete-event time: all followers lose their connection when it begins and call again
// until it is over. Calls during the outage fail at once.
type DiscoveryOutage struct {
	Followers int
	Duration  time.Duration
	Retry     backoff.Limits
	Seed      uint64 // seed of all random numbers of the run
}

// DiscoveryLoad is the result of a DiscoveryOutage.
type DiscoveryLoad struct {
	Calls       int             // calls that failed during the outage
	CallRate    float64         // calls per follower and second in the second half of the outage
	PeakCalls   int             // most calls within discoveryPeakSpan, from a second after the outage began until its end
	ReturnCalls int             // calls within discoveryPeakSpan after the end of the outage
	Delays      []time.Duration // time of each follower from the end of the outage to its next call, in ascending order
}

// discoveryPeakSpan is the span over which calls are counted for a peak.
const discoveryPeakSpan = 100 * time.Millisecond

// Run plays the outage. The same outage has the same result on any machine.
func (o DiscoveryOutage) Run() DiscoveryLoad {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var pending callQueue
	for range o.Followers {
		pending = append(pending, &scheduledCall{backoff: backoff.New(o.Retry, rng.Float64)})
	}
	heap.Init(&pending)
	var load DiscoveryLoad
	var failedAt []time.Duration
	for pending.Len() > 0 {
		call := pending[0]
		if call.at >= o.Duration {
			heap.Pop(&pending)
			load.Delays = append(load.Delays, call.at-o.Duration)
			continue
		}
		failedAt = append(failedAt, call.at)
		call.at += call.backoff.Next()
		heap.Fix(&pending, 0)
	}
	load.Calls = len(failedAt)
	load.CallRate = o.callRate(failedAt)
	load.PeakCalls = peakCalls(failedAt)
	for _, delay := range load.Delays {
		if delay < discoveryPeakSpan {
			load.ReturnCalls++
		}
	}
	return load
}

// callRate returns the calls per follower and second in the second half of the outage.
func (o DiscoveryOutage) callRate(failedAt []time.Duration) float64 {
	first, _ := slices.BinarySearch(failedAt, o.Duration/2)
	return float64(len(failedAt)-first) / float64(o.Followers) / (o.Duration / 2).Seconds()
}

// peakCalls returns the most calls within discoveryPeakSpan, without those of the first second.
func peakCalls(failedAt []time.Duration) (peak int) {
	start, _ := slices.BinarySearch(failedAt, time.Second)
	for end := start; end < len(failedAt); end++ {
		for failedAt[end]-failedAt[start] >= discoveryPeakSpan {
			start++
		}
		peak = max(peak, end-start+1)
	}
	return peak
}

// scheduledCall is the next call of a follower.
type scheduledCall struct {
	at      time.Duration // since the outage began
	backoff *backoff.Backoff
}

// callQueue is a heap of calls, the next one first.
type callQueue []*scheduledCall

func (q callQueue) Len() int           { return len(q) }
func (q callQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q callQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds a call; it is for container/heap.
func (q *callQueue) Push(call any) { *q = append(*q, call.(*scheduledCall)) }

// Pop removes the last call; it is for container/heap.
func (q *callQueue) Pop() any {
	last := len(*q) - 1
	call := (*q)[last]
	*q = (*q)[:last]
	return call
}
