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

// NetworkConditions is what happens to datagrams between softswitches now. It does no I/O; the relay asks it of each datagram.
type NetworkConditions struct {
	Groups    map[int]int // softswitch → group; those in different groups don't hear each other
	OneWay    bool        // only datagrams from group 0 to the others are dropped
	Loss      float64
	Duplicate float64
	Delay     time.Duration
	Reorder   time.Duration // each datagram held a random share of this
}

// Delivery is what becomes of one datagram: dropped, or sent once or twice after these delays.
type Delivery struct {
	Drop   bool
	Delays []time.Duration
}

// Deliver says what becomes of a datagram from one softswitch to another.
func (w *NetworkConditions) Deliver(from, to int, r *rand.Rand) Delivery {
	if w.Groups != nil {
		gf, gt := w.Groups[from], w.Groups[to]
		if gf != gt && (!w.OneWay || gf == 0) {
			return Delivery{Drop: true}
		}
	}
	if w.Loss > 0 && r.Float64() < w.Loss {
		return Delivery{Drop: true}
	}
	delay := func() time.Duration {
		d := w.Delay
		if w.Reorder > 0 {
			d += time.Duration(r.Int64N(int64(w.Reorder)))
		}
		return d
	}
	f := Delivery{Delays: []time.Duration{delay()}}
	if w.Duplicate > 0 && r.Float64() < w.Duplicate {
		f.Delays = append(f.Delays, delay())
	}
	return f
}

// Relay carries the datagrams between softswitches. Each softswitch is told the relay's address for each peer, and
// for peers_all; the relay knows a sender by its source address and passes a datagram on from the address that the
// receiver knows for the sender, so that no kernel or root feature is needed for a partition.
type Relay struct {
	faces    []*net.UDPConn // the address that stands for each softswitch
	all      *net.UDPConn   // peers_all
	real     []*net.UDPAddr // each softswitch's peer_listen
	by       map[string]int // source address → softswitch
	mu       sync.Mutex
	w        NetworkConditions
	rand     *rand.Rand
	stop     chan struct{}
	wg       sync.WaitGroup
	Counters RelayCounters
}

// RelayCounters are the relay's figures.
type RelayCounters struct {
	Forwarded, Dropped, Duplicated, UnknownSender, Oversized, Bytes atomic.Int64
}

// NewRelay opens a face for each of the softswitches whose peer_listen addresses are given, on hosts of its own.
func NewRelay(hosts []string, allHost string, real []*net.UDPAddr, seed uint64) (*Relay, error) {
	r := &Relay{real: real, by: make(map[string]int), rand: rand.New(rand.NewPCG(seed, 0x72656c)), stop: make(chan struct{})}
	for i, a := range real {
		r.by[a.String()] = i
	}
	open := func(host string) (*net.UDPConn, error) {
		return net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	}
	for _, h := range hosts {
		c, err := open(h)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.faces = append(r.faces, c)
	}
	var err error
	if r.all, err = open(allHost); err != nil {
		r.Close()
		return nil, err
	}
	for i, c := range r.faces {
		r.wg.Add(1)
		go r.serve(c, []int{i})
	}
	every := make([]int, len(real))
	for i := range every {
		every[i] = i
	}
	r.wg.Add(1)
	go r.serve(r.all, every)
	return r, nil
}

// PeerAddresses are the addresses each softswitch is told for its peers, by place; All is the one for peers_all.
func (r *Relay) PeerAddresses() []string {
	var out []string
	for _, c := range r.faces {
		out = append(out, c.LocalAddr().String())
	}
	return out
}

// AllPeersAddress is the address told for peers_all.
func (r *Relay) AllPeersAddress() string { return r.all.LocalAddr().String() }

// SetConditions changes the weather.
func (r *Relay) SetConditions(w NetworkConditions) {
	r.mu.Lock()
	r.w = w
	r.mu.Unlock()
}

func (r *Relay) serve(c *net.UDPConn, to []int) {
	defer r.wg.Done()
	b := make([]byte, 64<<10)
	for {
		n, from, err := c.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		src, ok := r.by[from.String()]
		switch {
		case !ok:
			r.Counters.UnknownSender.Add(1)
			continue
		case n > MaxDatagram:
			r.Counters.Oversized.Add(1)
			continue
		}
		data := append([]byte(nil), b[:n]...)
		for _, dst := range to {
			if dst != src {
				r.pass(src, dst, data)
			}
		}
	}
}

func (r *Relay) pass(src, dst int, data []byte) {
	r.mu.Lock()
	fate := r.w.Deliver(src, dst, r.rand)
	r.mu.Unlock()
	if fate.Drop {
		r.Counters.Dropped.Add(1)
		return
	}
	if len(fate.Delays) > 1 {
		r.Counters.Duplicated.Add(1)
	}
	for _, d := range fate.Delays {
		send := func() {
			r.faces[src].WriteToUDP(data, r.real[dst])
			r.Counters.Forwarded.Add(1)
			r.Counters.Bytes.Add(int64(len(data)))
		}
		if d <= 0 {
			send()
			continue
		}
		select {
		case <-r.stop:
			return
		default:
			time.AfterFunc(d, func() {
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
	for _, c := range r.faces {
		c.Close()
	}
	if r.all != nil {
		r.all.Close()
	}
	r.wg.Wait()
}
