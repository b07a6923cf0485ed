package swarm

import (
	"math"
	"testing"
	"time"

	"elmseam/internal/membership"
)

// TestPiggybackAddsNoDatagrams checks that knowledge of servers is piggybacked on the datagrams of membership without adding
// datagrams, and that members that receive a report from a server every ten seconds know far newer reports of other members.
func TestPiggybackAddsNoDatagrams(t *testing.T) {
	experiment := Experiment{Members: 30, Limits: membership.Defaults(), Seed: 1, MaxDelay: 5 * time.Millisecond, WarmUp: 15 * time.Second, MeasureDuration: 10 * time.Second}
	without, err := experiment.Run()
	if err != nil {
		t.Fatal(err)
	}
	experiment.Servers, experiment.ReportInterval = 8, 10*time.Second
	with, err := experiment.Run()
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(with.DatagramRate-without.DatagramRate) > 0.02*without.DatagramRate || with.ByteRate <= without.ByteRate {
		t.Errorf("%.2f datagrams per member and second with knowledge, %.2f without; %.0f bytes with, %.0f without", with.DatagramRate, without.DatagramRate, with.ByteRate, without.ByteRate)
	}
	if with.NewestKnownAge > with.OwnAge/4 || with.NewestKnownAge <= 0 {
		t.Errorf("mean age of the newest known report is %v, of the newest own report %v", with.NewestKnownAge, with.OwnAge)
	}
}
