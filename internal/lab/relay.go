package lab

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// MaxDatagram is the size in bytes of the largest datagram between softswitches (PROTOCOL, "Between softswitches").
const MaxDatagram = 256

// Relay carries the datagrams between softswitches under the simulated network conditions. Each softswitch is
// configured with an address of the relay for each peer and for peers_all. The relay knows a sender by its source
// address and forwards the datagram from the address that the receiver has for the sender, so that a partition needs
// no kernel feature and no root rights.
type Relay struct {
	peerConns      []*net.UDPConn // by softswitch: the socket at which its peers reach it
	allPeersConn   *net.UDPConn   // the socket for peers_all
	memberAddrs    []*net.UDPAddr // by softswitch: its peer_listen address
	memberBySource map[string]int // source address -> index of the softswitch
	mu             sync.Mutex     // guards conditions and rng
	conditions     NetworkConditions
	rng            *rand.Rand
	stop           chan struct{} // closed to end the relay
	wg             sync.WaitGroup
	Counters       RelayCounters
}

// RelayCounters are the relay's counters, of datagrams except for Bytes. Forwarded and Bytes count a duplicated datagram
// twice.
type RelayCounters struct {
	Forwarded, Dropped, Duplicated, UnknownSenders, Oversized, Bytes atomic.Int64
}

// NewRelay opens a socket on each of the hosts, one for each of the softswitches whose peer_listen addresses are
// given, and one for peers_all on allHost.
func NewRelay(hosts []string, allHost string, memberAddrs []*net.UDPAddr, seed uint64) (*Relay, error) {
	r := &Relay{memberAddrs: memberAddrs, memberBySource: make(map[string]int),
		rng: rand.New(rand.NewPCG(seed, 0x72656c)), stop: make(chan struct{})}
	for i, addr := range memberAddrs {
		r.memberBySource[addr.String()] = i
	}
	listenUDP := func(host string) (*net.UDPConn, error) {
		return net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	}
	for _, host := range hosts {
		conn, err := listenUDP(host)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.peerConns = append(r.peerConns, conn)
	}
	var err error
	if r.allPeersConn, err = listenUDP(allHost); err != nil {
		r.Close()
		return nil, err
	}
	for i, conn := range r.peerConns {
		r.wg.Add(1)
		go r.serve(conn, []int{i})
	}
	allMembers := make([]int, len(memberAddrs))
	for i := range allMembers {
		allMembers[i] = i
	}
	r.wg.Add(1)
	go r.serve(r.allPeersConn, allMembers)
	return r, nil
}

// PeerAddresses returns the addresses with which the softswitches are configured for their peers, by index of the
// peer.
func (r *Relay) PeerAddresses() []string {
	var addresses []string
	for _, conn := range r.peerConns {
		addresses = append(addresses, conn.LocalAddr().String())
	}
	return addresses
}

// AllPeersAddress returns the address for peers_all.
func (r *Relay) AllPeersAddress() string { return r.allPeersConn.LocalAddr().String() }

// SetConditions changes the network conditions for datagrams that arrive from now on.
func (r *Relay) SetConditions(conditions NetworkConditions) {
	r.mu.Lock()
	r.conditions = conditions
	r.mu.Unlock()
}

// serve forwards the datagrams that arrive at a socket to its destinations, but not back to the sender, until the
// socket is closed.
func (r *Relay) serve(conn *net.UDPConn, destinations []int) {
	defer r.wg.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		sender, ok := r.memberBySource[from.String()]
		switch {
		case !ok:
			r.Counters.UnknownSenders.Add(1)
			continue
		case n > MaxDatagram:
			r.Counters.Oversized.Add(1)
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		for _, receiver := range destinations {
			if receiver != sender {
				r.forward(sender, receiver, data)
			}
		}
	}
}

// forward delivers one datagram, or drops it, as the present conditions decide.
func (r *Relay) forward(sender, receiver int, data []byte) {
	r.mu.Lock()
	delivery := r.conditions.DrawDelivery(sender, receiver, r.rng)
	r.mu.Unlock()
	if delivery.Drop {
		r.Counters.Dropped.Add(1)
		return
	}
	if len(delivery.Delays) > 1 {
		r.Counters.Duplicated.Add(1)
	}
	for _, delay := range delivery.Delays {
		send := func() {
			r.peerConns[sender].WriteToUDP(data, r.memberAddrs[receiver])
			r.Counters.Forwarded.Add(1)
			r.Counters.Bytes.Add(int64(len(data)))
		}
		if delay <= 0 {
			send()
			continue
		}
		select {
		case <-r.stop:
			return
		default:
			time.AfterFunc(delay, func() {
				select {
				case <-r.stop:
				default:
					send()
				}
			})
		}
	}
}

// Close closes the sockets and waits for their readers. Delayed datagrams are dropped.
func (r *Relay) Close() {
	select {
	case <-r.stop:
		return
	default:
		close(r.stop)
	}
	for _, conn := range r.peerConns {
		conn.Close()
	}
	if r.allPeersConn != nil {
		r.allPeersConn.Close()
	}
	r.wg.Wait()
}
