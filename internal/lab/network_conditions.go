package lab

import (
	"math/rand/v2"
	"time"
)

// NetworkConditions describes what the simulated network does to datagrams between softswitches at present. It does
// no I/O; the relay calls DrawDelivery for each datagram.
type NetworkConditions struct {
	Groups    map[int]int   // softswitch index -> group (missing: 0); groups don't reach each other; nil: no partition
	OneWay    bool          // only datagrams from group 0 to the other groups are dropped
	Loss      float64       // probability that a datagram is dropped
	Duplicate float64       // probability that a datagram is sent twice
	Delay     time.Duration // delay added to every datagram
	Reorder   time.Duration // each datagram is delayed by a further random time below this
}

// Delivery is what becomes of one datagram: it is dropped, or sent once or twice after these delays.
type Delivery struct {
	Drop   bool
	Delays []time.Duration
}

// DrawDelivery decides what becomes of a datagram from one softswitch to another.
func (c *NetworkConditions) DrawDelivery(from, to int, rng *rand.Rand) Delivery {
	if c.Groups != nil {
		fromGroup, toGroup := c.Groups[from], c.Groups[to]
		if fromGroup != toGroup && (!c.OneWay || fromGroup == 0) {
			return Delivery{Drop: true}
		}
	}
	if c.Loss > 0 && rng.Float64() < c.Loss {
		return Delivery{Drop: true}
	}
	drawDelay := func() time.Duration {
		d := c.Delay
		if c.Reorder > 0 {
			d += time.Duration(rng.Int64N(int64(c.Reorder)))
		}
		return d
	}
	delivery := Delivery{Delays: []time.Duration{drawDelay()}}
	if c.Duplicate > 0 && rng.Float64() < c.Duplicate {
		delivery.Delays = append(delivery.Delays, drawDelay())
	}
	return delivery
}
