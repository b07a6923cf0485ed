package lab

import (
	"math/rand/v2"
	"time"
)

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
func (c *NetworkConditions) Deliver(from, to int, rng *rand.Rand) Delivery {
	if c.Groups != nil {
		fromGroup, toGroup := c.Groups[from], c.Groups[to]
		if fromGroup != toGroup && (!c.OneWay || fromGroup == 0) {
			return Delivery{Drop: true}
		}
	}
	if c.Loss > 0 && rng.Float64() < c.Loss {
		return Delivery{Drop: true}
	}
	delay := func() time.Duration {
		d := c.Delay
		if c.Reorder > 0 {
			d += time.Duration(rng.Int64N(int64(c.Reorder)))
		}
		return d
	}
	delivery := Delivery{Delays: []time.Duration{delay()}}
	if c.Duplicate > 0 && rng.Float64() < c.Duplicate {
		delivery.Delays = append(delivery.Delays, delay())
	}
	return delivery
}
