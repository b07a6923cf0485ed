package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// loopbackAddress returns the loopback address that is reserved for a softswitch in one of the lab's networks: 1
// softswitches, 2 stand-in servers, 3 command channel, 4 relay.
func loopbackAddress(network, index int) string { return fmt.Sprintf("127.0.%d.%d", network, index+1) }

// startFleetAndEnvironment starts the stand-in servers, the command channel, the relay and the
// softswitches, and waits until every softswitch is ready.
func (r *runner) startFleetAndEnvironment() error {
	tierSize := r.scenario.Softswitches
	var hosts [4][]string // by network (0 softswitches, 1 stand-in servers, 2 command channel, 3 relay), by softswitch
	for i := range tierSize {
		for network := range hosts {
			hosts[network] = append(hosts[network], loopbackAddress(network+1, i))
		}
	}
	for _, serverConfig := range r.scenario.Servers {
		startedAt := time.Duration(-1)
		if serverConfig.StartAt.Duration > 0 {
			startedAt = serverConfig.StartAt.Duration
		}
		checkedCapacity := serverConfig.Capacity
		if r.options.SelfTestFault == "weak cold servers" {
			startedAt, checkedCapacity = 0, serverConfig.Capacity/10
		}
		r.checker.AddServer(serverConfig.Name, checkedCapacity, startedAt)
		server, err := newStandInServer(serverConfig, r, hosts[1])
		if err != nil {
			return err
		}
		r.servers[serverConfig.Name] = server
		r.serverOrder = append(r.serverOrder, serverConfig.Name)
	}
	var err error
	if r.commandChannel, err = newCommandChannel(hosts[2],
		func(name string, memberIndex int) string { return r.servers[name].addressForMember(memberIndex) }); err != nil {
		return err
	}
	var initialServers []serverChange
	for _, serverConfig := range r.scenario.Servers {
		if serverConfig.StartAt.Duration == 0 || r.options.SelfTestFault == "weak cold servers" {
			initialServers = append(initialServers, serverChange{name: serverConfig.Name, status: "in_service"})
		}
	}
	r.commandChannel.publish(true, initialServers...)
	text, err := r.scenario.membersFileText()
	if err != nil {
		return err
	}
	r.membersFile = filepath.Join(r.options.OutDir, "members.toml")
	if err := os.WriteFile(r.membersFile, []byte(text), 0o600); err != nil {
		return err
	}
	for i := range tierSize {
		softswitch := &member{index: i, name: MemberName(i), dir: filepath.Join(r.options.OutDir, MemberName(i))}
		if err := os.MkdirAll(softswitch.dir, 0o755); err != nil {
			return err
		}
		for _, port := range []struct {
			to      *string
			network string
		}{{&softswitch.listenAddr, "tcp"}, {&softswitch.mgmtAddr, "tcp"}, {&softswitch.peerAddr, "udp"}} {
			if *port.to, err = r.pickPort(port.network, hosts[0][i]); err != nil {
				return err
			}
		}
		r.members = append(r.members, softswitch)
	}
	var memberAddrs []*net.UDPAddr
	for _, softswitch := range r.members {
		addr, err := net.ResolveUDPAddr("udp", softswitch.peerAddr)
		if err != nil {
			return err
		}
		memberAddrs = append(memberAddrs, addr)
	}
	if r.relay, err = NewRelay(hosts[3], "127.0.4.250", memberAddrs, r.scenario.Seed); err != nil {
		return err
	}
	for _, softswitch := range r.members {
		if err := r.launch(softswitch); err != nil {
			return err
		}
	}
	// If another program takes a port between its choice and the softswitch's start, the softswitch's process exits.
	// Any softswitch that exits before it is ready gets new ports for callers and for the admin endpoint, which no
	// caller knows yet, at most three times in all. The port for datagrams stays, because the relay has it already.
	for attempt := 0; ; attempt++ {
		err := r.waitReady(r.members)
		var exited *exitedAtStart
		if !errors.As(err, &exited) || attempt == 3 {
			return err
		}
		softswitch := exited.member
		if softswitch.listenAddr, err = r.pickPort("tcp", hosts[0][softswitch.index]); err != nil {
			return err
		}
		if softswitch.mgmtAddr, err = r.pickPort("tcp", hosts[0][softswitch.index]); err != nil {
			return err
		}
		r.options.Log.Warn().Str("softswitch", softswitch.name).Msg("process exited before it was ready; starting with new ports")
		if err := r.launch(softswitch); err != nil {
			return err
		}
	}
}

// exitedAtStart is the error for a softswitch whose process exited before it was ready.
type exitedAtStart struct{ member *member }

// Error names the softswitch and the log of its process.
func (e *exitedAtStart) Error() string {
	return fmt.Sprintf("%s exited before it was ready; its log is %s", e.member.name, filepath.Join(e.member.dir, "log.jsonl"))
}

// launch starts a member's process with a configuration that contains the present list of servers.
func (r *runner) launch(softswitch *member) error {
	var peers []string
	allPeersAddr := ""
	if r.scenario.PeersEnabled {
		peers, allPeersAddr = r.relay.PeerAddresses(), r.relay.AllPeersAddress()
	}
	seed := softswitch.nextSeed(r.scenario.Seed)
	settings, err := r.memberSettings(softswitch.index)
	if err != nil {
		return err
	}
	return softswitch.startProcess(r.options.Binary,
		memberConfig(softswitch, seed, r.commandChannel.listeners[softswitch.index].Addr().String(),
			r.commandChannel.initialState(softswitch.index), peers, allPeersAddr, settings), r.membersFile)
}

// waitReady waits until all the given members are ready, at most for the scenario's start timeout. The error is an
// exitedAtStart if the process of a member that is not ready has exited.
func (r *runner) waitReady(members []*member) error {
	deadline := time.Now().Add(r.scenario.StartTimeout.Duration)
	for _, softswitch := range members {
		for softswitch.pollAdminEndpoint(); !softswitch.isReady(); softswitch.pollAdminEndpoint() {
			if !softswitch.running() {
				return &exitedAtStart{softswitch}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s not ready within %v", softswitch.name, r.scenario.StartTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// teardown closes the callers' connections and ends the processes, the stand-in servers, the command channel and the
// relay.
func (r *runner) teardown() {
	r.connMu.Lock()
	for _, conns := range r.callerConns {
		for _, conn := range conns {
			if conn != nil {
				conn.close()
			}
		}
	}
	r.connMu.Unlock()
	var wg sync.WaitGroup
	for _, m := range r.members {
		wg.Add(1)
		go func() { defer wg.Done(); m.stopProcess(syscall.SIGKILL, time.Second) }()
	}
	wg.Wait()
	for _, server := range r.servers {
		server.close()
	}
	if r.commandChannel != nil {
		r.commandChannel.close()
	}
	if r.relay != nil {
		r.relay.Close()
	}
}
