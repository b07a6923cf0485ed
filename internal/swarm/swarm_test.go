package swarm

import (
	"math"
	"testing"
	"time"

	"elmseam/internal/membership"
)

// What members tell each other of servers rides on membership's datagrams: no more of these go out, and who hears of a
// server itself every ten seconds knows far newer reports of others.
func TestPiggybackAddsNoDatagrams(t *testing.T) {
	experiment := Experiment{Members: 30, Limits: membership.Defaults(), Seed: 1, MaxDelay: 5 * time.Millisecond, WarmUp: 15 * time.Second, Measured: 10 * time.Second}
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
		t.Errorf("%.2f datagrams a member and second, %.2f without; %.0f bytes, %.0f without", with.DatagramRate, without.DatagramRate, with.ByteRate, without.ByteRate)
	}
	if with.AnyAge > with.OwnAge/4 || with.AnyAge <= 0 {
		t.Errorf("the newest report known is %v old, the newest own one %v", with.AnyAge, with.OwnAge)
	}
}
