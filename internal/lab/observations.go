package lab

import "time"

// attemptReceived implements serverObserver: it passes the attempt to the checker.
func (r *runner) attemptReceived(server string, id uint64) {
	r.mu.Lock()
	r.checker.RecordAttempt(r.now(), server, id)
	r.mu.Unlock()
}

// attemptEnded implements serverObserver: it passes the end of the attempt to the checker.
func (r *runner) attemptEnded(server string, id uint64, outcome AttemptOutcome) {
	r.mu.Lock()
	r.checker.RecordAttemptEnd(r.now(), server, id, outcome)
	r.mu.Unlock()
}

// capacity returns what a stand-in server can handle at a time, in set-ups a second: it ramps up after a late start.
func (r *runner) capacity(server string, at time.Duration) float64 {
	standIn := r.servers[server]
	startedAt := time.Duration(-1)
	if standIn.StartAt.Duration > 0 && r.options.SelfTestFault != "weak cold servers" {
		startedAt = standIn.StartAt.Duration
	}
	return r.checker.rules.RampedCapacity(standIn.Capacity, startedAt, at)
}

// setUpSent implements callerObserver: it passes the set-up to the checker.
func (r *runner) setUpSent(id uint64, memberIndex int, giveUpAt time.Duration) {
	r.mu.Lock()
	r.checker.RecordSetUp(r.now(), id, memberIndex, giveUpAt)
	r.mu.Unlock()
}

// finalAnswer implements callerObserver: it passes the answer to the checker. It also checks that the description of an
// established call was made by a stand-in server for that call.
func (r *runner) finalAnswer(id uint64, served bool, desc string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served && !descriptionIsFromStandIn(desc, id) {
		r.checker.recordViolation("answer made by no server", r.now(), "call %016x: %q", id, desc)
	}
	r.checker.RecordFinalAnswer(r.now(), id, served)
}

// setUpNotWritten implements callerObserver: the checker takes the set-up back.
func (r *runner) setUpNotWritten(id uint64) {
	r.mu.Lock()
	r.checker.RecordNotWritten(id)
	r.mu.Unlock()
}

// setUpUnanswered implements callerObserver. The set-up is excused if the lab disturbed its softswitch at a
// time between one second before the earliest time at which the set-up can have been sent, and now.
func (r *runner) setUpUnanswered(id uint64, memberIndex int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := now - r.scenario.GiveUp.Duration
	r.checker.RecordUnanswered(now, id, r.members[memberIndex].disturbedDuring(sent-time.Second, now))
}
