package core

import "time"

// keptAnswer is an established call whose server's answer is kept, in case its caller sends the set-up again on a new connection because
// the answer was lost with the first one.
type keptAnswer struct {
	call *call
	at   Time // when the answer came
}

// answerKeepTime is how long the answer of a server is kept, if there is room: longer than any write to a caller may take.
const answerKeepTime = 10 * time.Second

// setKeptBytes records how much memory a call takes.
func (c *Core) setKeptBytes(call *call, size int) {
	c.callBytes += size - call.keptBytes
	call.keptBytes = size
}

// keepAnswer keeps the answer of a call that has just been established, and drops older ones that have expired or for which there is no
// room.
func (c *Core) keepAnswer(call *call) {
	c.setKeptBytes(call, c.limits.CallOverhead+len(call.answerDesc))
	c.keptAnswers = append(c.keptAnswers, keptAnswer{call, c.now})
	for c.keptAnswers[0].at < c.now-answerKeepTime || len(c.keptAnswers) > max(c.limits.MaxOpen, 1) {
		c.dropOldestAnswer()
	}
	c.makeRoom(0)
}

// makeRoom drops kept answers, the oldest first, until the calls take at least size bytes less than MaxCallBytes. It reports whether they do.
func (c *Core) makeRoom(size int) bool {
	for c.callBytes+size > c.limits.MaxCallBytes {
		if len(c.keptAnswers) == 0 {
			return false
		}
		c.dropOldestAnswer()
	}
	return true
}

// dropOldestAnswer drops the answer that has been kept longest. Its call may have ended.
func (c *Core) dropOldestAnswer() {
	call := c.keptAnswers[0].call
	c.keptAnswers[0] = keptAnswer{}
	c.keptAnswers = c.keptAnswers[1:]
	call.answerDesc, call.answerDropped = nil, true
	if c.calls[call.ID] == call {
		c.setKeptBytes(call, c.limits.CallOverhead)
	}
}
