package circuits

import (
	"testing"
	"time"
)

// confirmTimeout is the time after which Overdue repeats an unconfirmed REL.
const confirmTimeout = 15 * time.Second

// The server's release crosses the one sent here: the circuit becomes free when the server confirms, not before, and
// a late RLC does not free a circuit that a new call uses.
func TestCrossingReleases(t *testing.T) {
	c, now := New(1), time.Unix(1000, 0)
	c.Allocate(1)
	c.Release(1, now)
	if _, ended := c.Released(0); ended {
		t.Error("the server's release ended a call that was already released here")
	}
	if _, ok := c.Allocate(2); ok {
		t.Error("the circuit was allocated before the server confirmed the release")
	}
	c.Confirmed(0, now)
	if _, ok := c.Allocate(2); !ok {
		t.Error("the circuit is not free after the confirmation")
	}
	if c.Confirmed(0, now); len(c.Calls()) != 1 {
		t.Error("a late confirmation frees the circuit of a new call")
	}
}

// An overdue REL was sent twice: after one RLC the other may be on its way. If a call took the circuit between the two
// RLCs and was released, the second one would confirm that release too early, and an answer to this call that is under
// way would be taken for the answer to the next call. A server that confirms only once must not cost the circuit either.
func TestRepeatedReleaseAwaitsBothRLCs(t *testing.T) {
	c, now := New(1), time.Unix(1000, 0)
	c.Allocate(1)
	c.Release(1, now)
	now = now.Add(confirmTimeout)
	if cics := c.Overdue(now, confirmTimeout); len(cics) != 1 {
		t.Fatalf("circuits with an overdue release: %v, want one", cics)
	}
	c.Confirmed(0, now)
	if _, ok := c.Allocate(2); ok {
		t.Error("the circuit was allocated while a second RLC may be on its way")
	}
	c.Confirmed(0, now)
	if _, ok := c.Allocate(3); !ok {
		t.Error("the circuit is not free after both RLCs")
	}
	c.Release(3, now)
	now = now.Add(confirmTimeout)
	c.Overdue(now, confirmTimeout)
	c.Confirmed(0, now)
	now = now.Add(confirmTimeout)
	c.Overdue(now, confirmTimeout)
	if c.Free() != 1 {
		t.Error("the circuit stays unusable if the server confirms only once")
	}
}

// When a connection ends, messages in transit are lost: outstanding set-ups are given up, their circuits are
// released on the next connection, and established calls keep their circuits. Circuit numbers out of range change
// nothing.
func TestConnLost(t *testing.T) {
	c, now := New(3), time.Unix(1000, 0)
	c.Allocate(1)
	c.Allocate(2)
	c.Answered(1)
	c.Allocate(3)
	c.Release(3, now)
	c.ConnLost(now)
	if cics := c.Unconfirmed(now); len(cics) != 2 || len(c.Calls()) != 1 {
		t.Errorf("circuits to release %v and calls %v after the connection ended, want two circuits and one call", cics, c.Calls())
	}
	for _, cic := range []uint16{0, 2, 3, 65535} {
		c.Confirmed(cic, now)
		c.Answered(cic)
		c.Released(cic)
	}
	if call, ended := c.Released(1); !ended || call != 2 || c.Free() != 3 {
		t.Errorf("the established call: %d, %v; %d free", call, ended, c.Free())
	}
}
