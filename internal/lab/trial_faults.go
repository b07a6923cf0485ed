package lab

import (
	"fmt"
	"time"
)

// minReboot is the shortest time in which a machine returns with a new process.
const minReboot = 1200 * time.Millisecond

// playStep plays one fault.
func (t *trial) playStep(step TrialStep) {
	server, member := step.Server-1, step.Softswitch-1
	switch step.Kind {
	case StepCutOff, StepVanish:
		t.cutOff(server, step.Duration, step.NewProcess)
	case StepHang:
		t.hang(server, step.Duration)
	case StepDie:
		t.die(server, step.Duration)
	case StepReplace:
		t.replace(server, step.Duration, step.Pause)
	case StepTakeOver:
		t.takeOver(step)
	case StepSignals:
		t.signalInSeries(member, step.Count)
	case StepReset:
		t.servers[server].resetConns()
	case StepLate:
		t.late(server, step.Duration)
	case StepDiscovery:
		mode, _ := parseChannelMode(step.Mode) // checked before
		t.failChannel(mode, step.Duration, step.Drain, server)
	case StepSilence:
		t.channel.silenceStreams()
	case StepReconfigure:
		t.reconfigure(member, step.Count)
	case StepKill:
		t.kill(member, step.Duration)
	case StepRestart:
		t.rollingRestart(member, step.Count, step.Duration)
	}
}

// atServer plays a fault at a server, unless another one is under way there.
func (t *trial) atServer(index int, fault func(server *trialServer)) {
	t.exclusively(fmt.Sprint("server", index), func() { fault(t.servers[index]) })
}

// atMember plays a fault at a softswitch, unless another one is under way there.
func (t *trial) atMember(index int, fault func(m *trialMember)) {
	t.exclusively(fmt.Sprint("member", index), func() { fault(t.members[index]) })
}

// cutOff makes a server's machine unreachable. Afterwards it goes on, or has a new process that knows no call.
func (t *trial) cutOff(index int, duration time.Duration, newProcess bool) {
	t.atServer(index, func(server *trialServer) {
		t.record("%s cut off for %v, new process: %v", server.currentName(), duration, newProcess)
		server.setState(serverVanished)
		if newProcess {
			server.loseCalls("machine vanished")
			time.Sleep(minReboot) // even if the callers stop
			t.wait(duration - minReboot)
			server.resetConns()
			server.startCold()
		} else {
			t.wait(duration)
		}
		server.setState(serverServing)
		if newProcess && t.rngUint64()%2 == 0 { // otherwise the list never notices
			t.channel.publish(false, serverChange{server.currentName(), "in_service", time.Now().UnixMilli()})
		}
		t.record("%s back", server.currentName())
	})
}

// hang makes a server's process hang.
func (t *trial) hang(index int, duration time.Duration) {
	t.atServer(index, func(server *trialServer) {
		t.record("%s hangs for %v", server.currentName(), duration)
		server.setState(serverHung)
		t.wait(duration)
		server.setState(serverServing)
		t.record("%s goes on", server.currentName())
	})
}

// die ends a server's process and starts another one under the same name and address, which the list names with its start.
func (t *trial) die(index int, duration time.Duration) {
	t.atServer(index, func(server *trialServer) {
		t.record("%s dies for %v", server.currentName(), duration)
		server.setState(serverDead)
		server.loseCalls("process died")
		server.resetConns()
		t.wait(duration)
		server.startCold()
		server.setState(serverServing)
		t.channel.publish(false, serverChange{server.currentName(), "in_service", time.Now().UnixMilli()})
		t.record("%s restarted", server.currentName())
	})
}

// replace drains a server, ends its process, and starts another server under the same address.
func (t *trial) replace(index int, drain, pause time.Duration) {
	t.atServer(index, func(server *trialServer) {
		former := server.currentName()
		t.record("%s drains", former)
		t.channel.publish(false, serverChange{former, "terminating", 0})
		t.wait(drain)
		t.channel.publish(false, serverChange{former, "terminated", 0})
		t.replaceProcess(server, pause, false)
		name := server.currentName()
		t.channel.publish(false, serverChange{name, "in_service", time.Now().UnixMilli()})
		t.record("%s in place of %s", name, former)
	})
}

// late makes new connections to a server come up only after a time.
func (t *trial) late(index int, duration time.Duration) {
	t.atServer(index, func(server *trialServer) {
		for _, listener := range server.listeners {
			listener.SetMode(listenerModes[serverVanished])
		}
		t.wait(duration)
		server.setState(serverServing)
	})
}

// failChannel makes the command channel fail. With drain, a server drains close to its return.
func (t *trial) failChannel(mode channelMode, duration time.Duration, drain bool, server int) {
	t.exclusively("channel", func() {
		t.record("discovery %s for %v", mode, duration)
		t.channel.setMode(mode)
		t.wait(duration * 9 / 10)
		if drain {
			t.tasks.Go(func() { t.replace(server, 3*time.Second, time.Second) })
		}
		t.wait(duration / 10)
		t.channel.setMode(channelServing)
		t.record("discovery back")
	})
}

// reconfigure gives a softswitch new configurations in quick succession, each of which moves the command channel.
func (t *trial) reconfigure(index, count int) {
	t.atMember(index, func(m *trialMember) {
		for range count {
			m.reload()
			t.wait(50 * time.Millisecond)
		}
	})
}

// kill kills a softswitch and starts it again.
func (t *trial) kill(index int, duration time.Duration) {
	t.atMember(index, func(m *trialMember) {
		t.record("n%d killed", index+1)
		m.kill(unknownTime)
		t.wait(duration)
		m.restart()
	})
}

// rollingRestart restarts softswitches one after another, each with SIGTERM and, if it has not ended by then, SIGKILL at the earliest time.
func (t *trial) rollingRestart(first, count int, pause time.Duration) {
	for i := range count {
		index := (first + i) % len(t.members)
		t.atMember(index, func(m *trialMember) {
			m.terminate()
			t.wait(pause / 3)
			m.restart()
		})
	}
}
