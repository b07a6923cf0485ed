package circuits

import (
	"testing"
	"time"
)

const confirmTimeout = 15 * time.Second

// A server's release crosses ours: the circuit is free when ours is confirmed, not before, and a late RLC frees no
// circuit that a new call has taken.
func TestCrossingReleases(t *testing.T) {
	c, now := New(1), time.Unix(1000, 0)
	c.Allocate(1)
	c.Release(1, now)
	if _, ended := c.Released(0); ended {
		t.Error("the server's release frees a circuit whose release by us is on its way")
	}
	if _, ok := c.Allocate(2); ok {
		t.Error("the circuit is taken before the server has confirmed")
	}
	c.Confirmed(0, now)
	if _, ok := c.Allocate(2); !ok {
		t.Error("the circuit is not free after the confirmation")
	}
	if c.Confirmed(0, now); len(c.Calls()) != 1 {
		t.Error("a late confirmation frees the circuit of a new call")
	}
}

// A REL that was overdue has gone out twice: after one RLC the other may be on its way, and a call that took the circuit
// between the two would lose it to the second while the server's answer to it is under way; that would pass for the
// answer to the next call. A server that confirms only one doesn't cost the circuit either.
func TestRepeatedReleaseAwaitsBothRLCs(t *testing.T) {
	c, now := New(1), time.Unix(1000, 0)
	c.Allocate(1)
	c.Release(1, now)
	now = now.Add(confirmTimeout)
	if cics := c.Overdue(now, confirmTimeout); len(cics) != 1 {
		t.Fatalf("overdue: %v", cics)
	}
	c.Confirmed(0, now)
	if _, ok := c.Allocate(2); ok {
		t.Error("the circuit is taken while a second RLC may be on its way")
	}
	c.Confirmed(0, now)
	if _, ok := c.Allocate(3); !ok {
		t.Error("the circuit is not free after both")
	}
	c.Release(3, now)
	now = now.Add(confirmTimeout)
	c.Overdue(now, confirmTimeout)
	c.Confirmed(0, now)
	now = now.Add(confirmTimeout)
	c.Overdue(now, confirmTimeout)
	if c.Free() != 1 {
		t.Error("a server that confirms once costs the circuit")
	}
}

// What a connection that has ended had on its way is lost with it: set-ups are given up, their circuits are released
// on the next connection, and calls that stand keep theirs. Numbers that no circuit has change nothing.
func TestConnLost(t *testing.T) {
	c, now := New(3), time.Unix(1000, 0)
	c.Allocate(1)
	c.Allocate(2)
	c.Answered(1)
	c.Allocate(3)
	c.Release(3, now)
	c.ConnLost(now)
	if cics := c.Unconfirmed(now); len(cics) != 2 || len(c.Calls()) != 1 {
		t.Errorf("unconfirmed %v, calls %v", cics, c.Calls())
	}
	for _, cic := range []uint16{0, 2, 3, 65535} {
		c.Confirmed(cic, now)
		c.Answered(cic)
		c.Released(cic)
	}
	if call, ended := c.Released(1); !ended || call != 2 || c.Free() != 3 {
		t.Errorf("the call that stood: %d, %v; %d free", call, ended, c.Free())
	}
}
