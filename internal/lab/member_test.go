package lab

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestOverlappingFaultsEndEarly guards against a span of faults that ends with the first of several faults.
func TestOverlappingFaultsEndEarly(t *testing.T) {
	m := &member{}
	m.markFaultSpan(1*time.Second, true)
	m.markFaultSpan(2*time.Second, true)
	if !m.markFaultSpan(3*time.Second, false) || !m.disturbedDuring(4*time.Second, 5*time.Second) {
		t.Error("the first end closes the span of both faults")
	}
	if m.markFaultSpan(6*time.Second, false) || m.disturbedDuring(7*time.Second, 8*time.Second) {
		t.Error("the last end does not close the span")
	}
	m.markFaultSpan(9*time.Second, false)
	if m.markFaultSpan(10*time.Second, true); !m.disturbedDuring(11*time.Second, 12*time.Second) {
		t.Error("an end without a fault closes a later span")
	}
}

// TestSeedsDependOnOrder guards against seeds of softswitches that depend on the order in which they are started.
func TestSeedsDependOnOrder(t *testing.T) {
	first, second := &member{index: 0}, &member{index: 1}
	seeds := map[uint64]bool{first.nextSeed(7): true, second.nextSeed(7): true, (&member{index: 0}).nextSeed(8): true}
	if first.nextSeed(7) != (&member{index: 0}).nextSeed(7) {
		t.Error("the seed of a process depends on more than the run, the member and its starts")
	}
	first.starts++
	seeds[first.nextSeed(7)] = true
	if len(seeds) != 4 {
		t.Errorf("%d different seeds of four", len(seeds))
	}
}

// TestEmptySharesSendAllToFirst guards against a load with 'shares = []', of which every set-up went to the first softswitch.
func TestEmptySharesSendAllToFirst(t *testing.T) {
	scenario := &Scenario{Load: []LoadStep{{Rate: 1, Shares: []float64{}}}}
	if shares := scenario.SharesAt(time.Second); shares != nil {
		t.Errorf("shares %v, want equal ones", shares)
	}
}

// constantCapacity is an observer of stand-in servers that all have the same capacity.
type constantCapacity float64

func (constantCapacity) now() time.Duration                          { return time.Duration(time.Now().UnixNano()) }
func (constantCapacity) attemptReceived(string, uint64)              {}
func (constantCapacity) attemptEnded(string, uint64, AttemptOutcome) {}
func (c constantCapacity) capacity(string, time.Duration) float64    { return float64(c) }

// TestStandInOverbooked guards against a stand-in server that accepts more set-ups than it has lines, and answers tests during a stall.
func TestStandInOverbooked(t *testing.T) {
	config := Server{Name: "s", Lines: 1, HoldTime: Duration{time.Hour}, MaxQueueDelay: Duration{time.Hour}}
	server, err := newStandInServer(config, constantCapacity(10), []string{"127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	defer server.close()
	conn, err := net.Dial("tcp", server.addressForMember(0))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, blocked := exchange(t, conn, `{"op":"offer","call":"01"}`+"\n"+`{"op":"offer","call":"02"}`+"\n", 500*time.Millisecond)
	if accepted != 1 || blocked != 1 {
		t.Errorf("%d set-ups accepted and %d blocked on one line", accepted, blocked)
	}
	server.setStalled([]int{0}, true)
	conn.Write([]byte(`{"op":"test","call":"03"}` + "\n"))
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 1000)); err == nil {
		t.Errorf("%d bytes during a stall", n)
	}
}

// exchange sends lines to a stand-in server, and counts the set-ups that it accepts and blocks within a time.
func exchange(t *testing.T, conn net.Conn, lines string, wait time.Duration) (accepted, blocked int) {
	t.Helper()
	if _, err := io.WriteString(conn, lines); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(wait))
	answers, _ := io.ReadAll(conn)
	return strings.Count(string(answers), `"op":"accept"`), strings.Count(string(answers), `"blocked"`)
}
