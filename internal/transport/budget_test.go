package transport

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"
)

// A burst of messages for a peer that reads used to close its connection where the goroutine that writes had had no turn yet: the length of
// the queue counted as a sign that the peer does not read. All of it must arrive, on one processor too.
func TestBurstClosesConnectionOfReadingPeer(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, burst := range map[string]struct{ count, size int }{"small": {5000, 20}, "medium": {400, 3000}, "large": {200, 16 << 10}} {
		t.Run(name, func(t *testing.T) {
			conn, peer := tcpPair(t)
			outbox := NewOutbox(conn, Limits{InitialBufferSize: 4 << 10, MaxQueuedBytes: 32 << 10, WriteTimeout: time.Minute}, NewBudget(4<<20))
			received := make(chan int64)
			go func() {
				n, _ := io.Copy(io.Discard, peer)
				received <- n
			}()
			for range burst.count {
				outbox.Send(Message{Data: make([]byte, burst.size)})
			}
			outbox.Finish(func() {})
			if n := <-received; n != int64(burst.count*burst.size) {
				t.Errorf("the peer received %d bytes of %d", n, burst.count*burst.size)
			}
		})
	}
}

// When the queues of all connections together exceed their budget, those whose peers do not read are closed. Connections whose peers read
// stay open, also if more is queued for them, and nothing stays counted for closed ones.
func TestBudgetClosesConnectionsOfStalledPeers(t *testing.T) {
	budget := NewBudget(6 << 20)
	limits := Limits{InitialBufferSize: 4 << 10, MaxQueuedBytes: 32 << 10, WriteTimeout: time.Minute}
	var stalled []*Outbox
	for range 4 {
		conn, _ := tcpPair(t)
		conn.(*net.TCPConn).SetWriteBuffer(8 << 10)
		outbox := NewOutbox(conn, limits, budget)
		for outbox.queuedSize() < 1400<<10 {
			outbox.Send(Message{Data: make([]byte, 16<<10)})
		}
		stalled = append(stalled, outbox)
	}
	time.Sleep(2 * stalledAfter)
	conn, peer := tcpPair(t)
	reading := NewOutbox(conn, limits, budget)
	const total = 352 << 14
	for range total >> 14 { // with what is queued for the stalled ones, more than the budget
		reading.enqueue(Message{Data: make([]byte, 16<<10)})
	}
	budget.reclaim()
	reading.Finish(func() {})
	if n, err := io.Copy(io.Discard, peer); n != total || err != nil {
		t.Errorf("the peer that reads received %d bytes of %d, then %v", n, total, err)
	}
	closed := 0
	for _, outbox := range stalled {
		if outbox.queuedSize() == 0 {
			closed++
		}
		outbox.Close()
	}
	if closed == 0 {
		t.Error("no connection of a stalled peer was closed")
	}
	for deadline := time.Now().Add(10 * time.Second); budget.used.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are counted for closed connections", budget.used.Load())
		}
	}
}

// A peer that is not read while much is queued for it is read again when it has read, when the connection ends, and on an interrupt.
func TestWaitForRoomEnds(t *testing.T) {
	for name, end := range map[string]func(outbox *Outbox, peer net.Conn, interrupt func()){
		"read":        func(_ *Outbox, peer net.Conn, _ func()) { go io.Copy(io.Discard, peer) },
		"closed":      func(outbox *Outbox, _ net.Conn, _ func()) { outbox.Close() },
		"finished":    func(outbox *Outbox, _ net.Conn, _ func()) { outbox.Finish(func() {}) },
		"interrupted": func(_ *Outbox, _ net.Conn, interrupt func()) { interrupt() },
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := tcpPair(t)
			outbox := NewOutbox(conn, Limits{InitialBufferSize: 4 << 10, MaxQueuedBytes: 32 << 10, WriteTimeout: time.Minute}, NewBudget(64<<20))
			defer outbox.Close()
			for range 1024 {
				outbox.Send(Message{Data: make([]byte, 16<<10)})
			}
			interrupted := make(chan struct{})
			ended := make(chan struct{})
			go func() {
				outbox.WaitForRoom(func() bool { return isClosed(interrupted) })
				close(ended)
			}()
			select {
			case <-ended:
				t.Fatal("there was no wait: the test did not reach its case")
			case <-time.After(20 * time.Millisecond):
			}
			end(outbox, peer, func() { close(interrupted); outbox.Interrupt() })
			select {
			case <-ended:
			case <-time.After(10 * time.Second):
				t.Fatal("the wait has not ended")
			}
		})
	}
}

// An interrupt that came just while WaitForRoom looked at its condition was lost, and the wait went on until the peer read.
func TestInterruptWhileConditionIsChecked(t *testing.T) {
	conn, _ := tcpPair(t)
	outbox := NewOutbox(conn, Limits{InitialBufferSize: 4 << 10, MaxQueuedBytes: 32 << 10, WriteTimeout: time.Minute}, NewBudget(64<<20))
	defer outbox.Close()
	for range 1024 {
		outbox.Send(Message{Data: make([]byte, 16<<10)})
	}
	for !outbox.load(time.Now()).stalled { // nothing is written any more that would end the wait
		time.Sleep(time.Millisecond)
	}
	checks := 0
	ended := make(chan struct{})
	go func() {
		outbox.WaitForRoom(func() bool {
			if checks++; checks == 1 { // the interrupt comes after this check and before the wait
				go outbox.Interrupt()
				time.Sleep(20 * time.Millisecond)
			}
			return checks > 1
		})
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the interrupt was lost")
	}
}

// isClosed says whether a channel on which nothing is sent is closed.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
