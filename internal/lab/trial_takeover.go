package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// takeOverOrder says in which events the list tells that another process has a server's address.
type takeOverOrder string

// The orders.
const (
	takeOverInOneEvent takeOverOrder = "in one event" // the former server is gone and the next one ready
	takeOverGoneFirst  takeOverOrder = "gone first"   // the former server is gone, and half a pause later the next one is ready
	takeOverReadyFirst takeOverOrder = "ready first"  // the other way round
	takeOverSameName   takeOverOrder = "same name"    // the process has another start under the same name
)

// takeOverOrders are all orders.
var takeOverOrders = []takeOverOrder{takeOverInOneEvent, takeOverGoneFirst, takeOverReadyFirst, takeOverSameName}

// takeOver ends the process of a server and starts another one at its address, several times in a row. The list tells each time later.
func (t *trial) takeOver(step TrialStep) {
	t.atServer(step.Server-1, func(server *trialServer) {
		for range max(step.Count, 1) {
			former, order := server.currentName(), takeOverOrder(step.Mode)
			startedAt := t.replaceProcess(server, step.Duration, order == takeOverSameName)
			next := serverChange{server.currentName(), "in_service", startedAt.Add(-step.Early).UnixMilli()}
			t.record("%s took the address of %s, told %s in %v", next.name, former, order, step.Pause)
			t.wait(step.Pause)
			t.publishTakeOver(order, serverChange{former, "terminated", 0}, next, step.Pause/2)
		}
	})
}

// replaceProcess ends the process of a server, with its calls and connections, and starts another one. It returns when the former one ended.
func (t *trial) replaceProcess(server *trialServer, pause time.Duration, sameName bool) (endedAt time.Time) {
	endedAt = time.Now()
	server.setState(serverDead)
	server.loseCalls("process replaced")
	server.resetConns()
	t.wait(pause)
	if !sameName {
		t.mu.Lock()
		t.renamed++
		name := fmt.Sprintf("%s-%d", server.currentName()[:2], t.renamed)
		t.mu.Unlock()
		server.rename(name)
	}
	server.startCold()
	server.setState(serverServing)
	return endedAt
}

// publishTakeOver has the list tell of another process, with a pause between two events.
func (t *trial) publishTakeOver(order takeOverOrder, gone, next serverChange, pause time.Duration) {
	switch order {
	case takeOverInOneEvent:
		t.channel.publish(false, gone, next)
	case takeOverGoneFirst:
		t.channel.publish(false, gone)
		t.wait(pause)
		t.channel.publish(false, next)
	case takeOverReadyFirst:
		t.channel.publish(false, next)
		t.wait(pause)
		t.channel.publish(false, gone)
	case takeOverSameName:
		t.channel.publish(false, next)
	}
}

// signalInSeries gives a softswitch new configurations and SIGTERM in quick succession, SIGTERM twice, and kills it at the earliest.
func (t *trial) signalInSeries(index, count int) {
	t.atMember(index, func(m *trialMember) {
		for range count {
			m.reload()
			t.wait(20 * time.Millisecond)
		}
		again := time.AfterFunc(100*time.Millisecond, func() { m.signal(syscall.SIGHUP); m.signal(syscall.SIGTERM) })
		defer again.Stop()
		m.terminate()
		m.restart()
	})
}

// AddTakeOvers adds to a plan processes that take the address of others, which the list tells late, and signals in series. Both are drawn
// from the plan's seed, and leave what is drawn without them as it is.
func AddTakeOvers(plan TrialPlan) TrialPlan {
	d := planDrawer{rng: rand.New(rand.NewPCG(plan.Seed, 0x74616b656f766572))}
	plan.Steps = slices.Clone(plan.Steps)
	for at := d.between(500*time.Millisecond, 2*time.Second); at < plan.Length; at += d.between(2*time.Second, 6*time.Second) {
		step := d.drawTakeOver(plan)
		if d.chance(0.2) {
			step = TrialStep{Kind: StepSignals, Softswitch: 1 + d.rng.IntN(plan.Softswitches), Count: 1 + d.rng.IntN(3)}
		}
		step.At = at
		plan.Steps = append(plan.Steps, step)
	}
	slices.SortStableFunc(plan.Steps, func(a, b TrialStep) int { return int(a.At - b.At) })
	return plan
}

// drawTakeOver draws a step of the kind StepTakeOver.
func (d planDrawer) drawTakeOver(plan TrialPlan) TrialStep {
	step := TrialStep{Kind: StepTakeOver, Server: 1 + d.rng.IntN(plan.Servers), Mode: string(takeOverOrders[d.rng.IntN(len(takeOverOrders))]),
		Pause: d.between(0, 3*time.Second), Count: 1}
	if d.chance(0.5) { // otherwise the next process listens at once
		step.Duration = d.between(time.Millisecond, 300*time.Millisecond)
	}
	if d.chance(0.6) {
		step.Early = d.between(time.Millisecond, 400*time.Millisecond)
	}
	if d.chance(0.3) {
		step.Count = 2 + d.rng.IntN(2)
	}
	return step
}
