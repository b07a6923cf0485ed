package lab

import "time"

func (r *runner) attemptReceived(server string, id uint64) {
	r.mu.Lock()
	r.checker.RecordAttempt(r.now(), server, id)
	r.mu.Unlock()
}

func (r *runner) attemptEnded(server string, id uint64, outcome AttemptOutcome) {
	r.mu.Lock()
	r.checker.RecordAttemptEnd(r.now(), server, id, outcome)
	r.mu.Unlock()
}

// capacity is what a stand-in can do at a moment: cold from its start, warm after the ramp.
func (r *runner) capacity(server string, at time.Duration) float64 {
	config := r.servers[server]
	startedAt := time.Duration(-1)
	if config.StartAt.Duration > 0 && r.options.SelfTestFault != "weak cold servers" {
		startedAt = config.StartAt.Duration
	}
	return r.checker.rules.RampedCapacity(config.Capacity, startedAt, at)
}

func (r *runner) setUpSent(id uint64, memberIndex int, giveUp time.Duration) {
	r.mu.Lock()
	r.checker.RecordSetUp(r.now(), id, memberIndex, giveUp)
	r.mu.Unlock()
}

func (r *runner) finalAnswer(id uint64, served bool, desc string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served && !isStandInDescription(desc, id) {
		r.checker.recordViolation("answer made by no server", r.now(), "call %016x: %q", id, desc)
	}
	r.checker.RecordFinalAnswer(r.now(), id, served)
}

func (r *runner) setUpNotWritten(id uint64) {
	r.mu.Lock()
	r.checker.Withdraw(id)
	r.mu.Unlock()
}

func (r *runner) setUpUnanswered(id uint64, memberIndex int) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := now - r.scenario.GiveUp.Duration
	r.checker.RecordUnanswered(now, id, r.members[memberIndex].disturbedDuring(sent-time.Second, now))
}
