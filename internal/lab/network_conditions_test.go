package lab

import (
	"math/rand/v2"
	"testing"
)

// Partitions drop by direction; loss and duplication come with their probabilities.
func TestNetworkConditions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	conditions := NetworkConditions{Groups: map[int]int{0: 0, 1: 0, 2: 1}, OneWay: true}
	if !conditions.DrawDelivery(0, 2, rng).Drop || conditions.DrawDelivery(2, 0, rng).Drop || conditions.DrawDelivery(0, 1, rng).Drop {
		t.Fatal("a one-way partition drops only from the first group to the others")
	}
	conditions.OneWay = false
	if !conditions.DrawDelivery(2, 0, rng).Drop {
		t.Fatal("a two-way partition drops in both directions")
	}
	conditions = NetworkConditions{Loss: 0.3, Duplicate: 0.5, Reorder: 10 * ms}
	lost, duplicated := 0, 0
	for range 10000 {
		delivery := conditions.DrawDelivery(0, 1, rng)
		if delivery.Drop {
			lost++
		} else if len(delivery.Delays) == 2 {
			duplicated++
		}
	}
	if lost < 2800 || lost > 3200 || duplicated < 3300 || duplicated > 3700 {
		t.Fatalf("lost %d, duplicated %d of 10000", lost, duplicated)
	}
}
