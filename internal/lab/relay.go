package lab

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// MaxDatagram is the largest datagram between softswitches (PROTOCOL, "Between softswitches").
const MaxDatagram = 256

// Relay carries the datagrams between softswitches. Each softswitch is told the relay's address for each peer, and
// for peers_all; the relay knows a sender by its source address and passes a datagram on from the address that the
// receiver knows for the sender, so that no kernel or root feature is needed for a partition.
type Relay struct {
	peerConns      []*net.UDPConn // the address that stands for each softswitch
	allPeersConn   *net.UDPConn   // peers_all
	memberAddrs    []*net.UDPAddr // each softswitch's peer_listen
	memberBySource map[string]int // source address → softswitch
	mu             sync.Mutex
	conditions     NetworkConditions
	rand           *rand.Rand
	stop           chan struct{}
	wg             sync.WaitGroup
	Counters       RelayCounters
}

// RelayCounters are the relay's figures.
type RelayCounters struct {
	Forwarded, Dropped, Duplicated, UnknownSender, Oversized, Bytes atomic.Int64
}

// NewRelay opens a face for each of the softswitches whose peer_listen addresses are given, on hosts of its own.
func NewRelay(hosts []string, allHost string, memberAddrs []*net.UDPAddr, seed uint64) (*Relay, error) {
	r := &Relay{memberAddrs: memberAddrs, memberBySource: make(map[string]int), rand: rand.New(rand.NewPCG(seed, 0x72656c)), stop: make(chan struct{})}
	for i, addr := range memberAddrs {
		r.memberBySource[addr.String()] = i
	}
	open := func(host string) (*net.UDPConn, error) {
		return net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	}
	for _, host := range hosts {
		conn, err := open(host)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.peerConns = append(r.peerConns, conn)
	}
	var err error
	if r.allPeersConn, err = open(allHost); err != nil {
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

// PeerAddresses are the addresses each softswitch is told for its peers, by place; All is the one for peers_all.
func (r *Relay) PeerAddresses() []string {
	var addresses []string
	for _, conn := range r.peerConns {
		addresses = append(addresses, conn.LocalAddr().String())
	}
	return addresses
}

// AllPeersAddress is the address told for peers_all.
func (r *Relay) AllPeersAddress() string { return r.allPeersConn.LocalAddr().String() }

// SetConditions changes the weather.
func (r *Relay) SetConditions(conditions NetworkConditions) {
	r.mu.Lock()
	r.conditions = conditions
	r.mu.Unlock()
}

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
		src, ok := r.memberBySource[from.String()]
		switch {
		case !ok:
			r.Counters.UnknownSender.Add(1)
			continue
		case n > MaxDatagram:
			r.Counters.Oversized.Add(1)
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		for _, dst := range destinations {
			if dst != src {
				r.forward(src, dst, data)
			}
		}
	}
}

func (r *Relay) forward(src, dst int, data []byte) {
	r.mu.Lock()
	delivery := r.conditions.Deliver(src, dst, r.rand)
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
			r.peerConns[src].WriteToUDP(data, r.memberAddrs[dst])
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

// Close ends the relay and waits for it.
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
