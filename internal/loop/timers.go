package loop

import (
	"container/heap"
	"slices"

	"elmseam/internal/core"
)

// minTimersToPurge is the number of pending timers below which obsolete ones are not looked for.
const minTimersToPurge = 1024

// timerQueue holds the pending timers. The core never cancels a timer, and those of calls that have ended would stay until they fire:
// callers whose set-ups are refused at once would fill the memory with them. So the queue drops the obsolete timers whenever it has
// grown to twice what the last purge left, which keeps it at twice the useful timers, at a constant cost for each.
type timerQueue struct {
	heap    timerHeap
	purgeAt int // number of timers at which the obsolete ones are dropped
}

// push adds a timer. obsolete says whether a timer can have no effect any more.
func (q *timerQueue) push(timer core.Timer, obsolete func(core.Token) bool) {
	if len(q.heap) >= max(q.purgeAt, minTimersToPurge) {
		q.heap = slices.DeleteFunc(q.heap, func(pending core.Timer) bool { return obsolete(pending.Token) })
		heap.Init(&q.heap)
		q.purgeAt = 2 * len(q.heap)
	}
	heap.Push(&q.heap, timer)
}

// next returns the time of the timer that fires first. It returns false if no timer is pending.
func (q *timerQueue) next() (at core.Time, pending bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].At, true
}

// pop removes the timer that fires first and returns it. There must be one.
func (q *timerQueue) pop() core.Timer { return heap.Pop(&q.heap).(core.Timer) }

// timerHeap is a heap of timers, ordered by their times; the timer that fires first is at index 0. It implements heap.Interface.
type timerHeap []core.Timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].At < t[j].At }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(core.Timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
