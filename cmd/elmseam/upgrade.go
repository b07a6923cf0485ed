package main

import (
	"net"
	"os"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/rs/zerolog"

	"elmseam/internal/config"
	"elmseam/internal/core"
	"elmseam/internal/handover"
	"elmseam/internal/loop"
	"elmseam/internal/platform"
)

// upgrader performs this process's hand-overs: from a predecessor when it starts, and to a successor when it stops.
type upgrader struct {
	socketPath, listenAddr string // path of the hand-over socket, and address for callers
	handOverLimits         handover.Limits
	loop                   *loop.Loop
	platform               *platform.Platform
	listener               net.Listener // for callers
	memoryLimiter          *memoryLimiter
	log                    zerolog.Logger
	sampledLog             zerolog.Logger // rate-limited, for lines logged once per connection

	predecessor       *handover.Peer // nil if there was no predecessor
	onPredecessorGone func()         // called when the predecessor has ended; may be nil

	mu                sync.Mutex                  // guards the fields below
	successorListener *net.UnixListener           // where a successor connects
	takenOverConns    map[core.ConnID]core.ConnID // this process's id of each connection taken over, by the predecessor's id
	successor         *handover.Peer              // it has the callers' listener too; nil: none; kept if it disconnects after the transfer began
	listenerClosing   bool                        // the callers' listener is being closed
	successorServing  bool                        // the successor serves callers
	stopRequested     bool                        // a stop of this process was requested
	transferBegun     bool                        // the transfer of callers' connections has begun; it is never reset
	transferredConns  map[core.ConnID]bool        // callers' connections that the successor has; nil without a successor
}

// takeOver obtains the callers' listener from a running process that serves the address. It returns false if there is no
// such process, if that process refuses, or if the hand-over fails. If that process is exiting, takeOver first waits, for at
// most ExitTimeout, until it has ended.
func (u *upgrader) takeOver(listenAddr string) bool {
	if addr, err := net.ResolveTCPAddr("tcp", listenAddr); err == nil {
		listenAddr = addr.String()
	}
	predecessor, listener, err := handover.RequestListener(u.socketPath, listenAddr, u.handOverLimits)
	if err != nil {
		u.log.Debug().Err(err).Msg("nothing to take over")
		return false
	}
	u.predecessor, u.listener, u.takenOverConns = predecessor, listener, make(map[core.ConnID]core.ConnID)
	u.log.Info().Msg("taking over from a running process")
	return true
}

// followPredecessor handles the predecessor's messages until its connection ends.
func (u *upgrader) followPredecessor() {
	defer func() {
		u.predecessor.Close()
		if u.onPredecessorGone != nil { // before releases that the predecessor has not handled are sent to servers
			u.onPredecessorGone()
		}
		u.loop.Post(core.Predecessor{})
		u.memoryLimiter.addProcesses(-1)
		u.listenForSuccessor()
		u.log.Info().Msg("predecessor disconnected")
	}()
	for {
		msg, file, err := u.predecessor.Receive()
		if err != nil {
			return
		}
		switch msg.Kind {
		case handover.KindTransferring: // from now on, the next successor must find this process
			u.listenForSuccessor()
			u.loop.Post(core.Predecessor{Present: true, Transferring: true})
		case handover.KindCallerConn:
			u.adoptCallerConn(msg, file)
		case handover.KindAttempted:
			u.loop.Post(core.AttemptedElsewhere{IDs: msg.IDs})
		case handover.KindCallsEnded:
			u.loop.Post(core.EndedCalls{IDs: msg.IDs})
		case handover.KindEffect:
			u.mu.Lock()
			connID := u.takenOverConns[msg.Conn]
			u.mu.Unlock()
			u.loop.Post(core.Relayed{Protocol: msg.Protocol, Conn: connID, Effect: msg.ToEffect()})
		}
	}
}

// adoptCallerConn serves a caller's connection that the predecessor transferred. It informs the predecessor when the
// connection has ended, or if it can't be used.
func (u *upgrader) adoptCallerConn(msg handover.Message, file *os.File) {
	if file == nil {
		return
	}
	conn, err := net.FileConn(file)
	file.Close()
	if err != nil {
		u.log.Warn().Err(err).Msg("caller's connection not taken over")
		u.predecessor.Send(handover.Message{Kind: handover.KindCallerDown, Conn: msg.Conn})
		return
	}
	connID := u.loop.NewConnID()
	u.mu.Lock()
	u.takenOverConns[msg.Conn] = connID
	u.mu.Unlock()
	callerUp := core.CallerUp{Conn: connID, Protocol: platform.Protocol, Used: msg.Used, Open: msg.Pending, Established: msg.Established}
	u.platform.Adopt(conn, msg.Unprocessed, callerUp, func() {
		u.mu.Lock()
		delete(u.takenOverConns, msg.Conn)
		u.mu.Unlock()
		u.predecessor.Send(handover.Message{Kind: handover.KindCallerDown, Conn: msg.Conn})
	})
	u.sampledLog.Info().Uint64("link", uint64(connID)).Msg("caller's connection taken over")
}

// announceAttempts names calls of this process, which have been sent to servers, to the other process of a hand-over.
func (u *upgrader) announceAttempts(ids []core.ID) {
	u.mu.Lock()
	successor := u.successor
	u.mu.Unlock()
	for _, other := range []*handover.Peer{u.predecessor, successor} {
		if other != nil {
			other.Send(handover.Message{Kind: handover.KindAttempted, IDs: ids})
		}
	}
}

// sendToPredecessor forwards an event about a call that this process does not know, and the predecessor may.
func (u *upgrader) sendToPredecessor(request core.ToPredecessor) {
	if u.predecessor == nil {
		return
	}
	switch event := request.Event.(type) {
	case core.CallerEnd:
		var predecessorConn core.ConnID
		u.mu.Lock()
		for predecessorID, ownID := range u.takenOverConns {
			if ownID == event.From {
				predecessorConn = predecessorID
			}
		}
		u.mu.Unlock()
		u.predecessor.Send(handover.Message{Kind: handover.KindCallerEnd, Conn: predecessorConn, ID: event.ID})
	case core.ServerEnd:
		u.predecessor.Send(handover.Message{Kind: handover.KindServerEnd, Server: event.Server, ID: event.ID, Reason: event.Reason})
	}
}

// reportServingToPredecessor informs the predecessor that this process serves callers from now on, so that the predecessor
// transfers its callers' connections when it is stopped.
func (u *upgrader) reportServingToPredecessor() {
	if u.predecessor != nil {
		u.predecessor.Send(handover.Message{Kind: handover.KindServing})
	}
}

// maxPendingSuccessors is the largest number of processes whose first message is awaited at a time. A silent one must not delay a successor.
const maxPendingSuccessors = 4

// listenForSuccessor opens the hand-over socket for successors, unless it is open or this process is transferring its callers'
// connections. If that fails, there is no hand-over to a successor.
func (u *upgrader) listenForSuccessor() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.successorListener != nil || u.socketPath == "" || u.transferBegun {
		return
	}
	listener, err := handover.Listen(u.socketPath)
	if err != nil {
		u.log.Info().Err(err).Msg("hand-over to a successor is not available")
		return
	}
	u.successorListener = listener
	go func() {
		pending := make(chan struct{}, maxPendingSuccessors)
		for {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			pending <- struct{}{}
			go func() {
				u.acceptSuccessor(conn)
				<-pending
			}()
		}
	}()
}

// acceptSuccessor answers a process that asks to take over, and follows it if it may.
func (u *upgrader) acceptSuccessor(conn *net.UnixConn) {
	successor, err := handover.AwaitHello(conn, u.listenAddr, u.handOverLimits)
	if err == nil {
		err = u.offerListener(successor)
	}
	if err != nil {
		u.log.Warn().Err(err).Msg("hand-over to a successor refused or failed")
		return
	}
	u.log.Info().Msg("successor connected")
	u.memoryLimiter.addProcesses(1)
	go u.followSuccessor(successor)
}

// offerListener sends a successor the callers' listener. It refuses if another process is already taking over, or if the listener is being
// closed or can't be passed on. It closes the connection on an error.
func (u *upgrader) offerListener(successor *handover.Peer) error {
	u.mu.Lock()
	listener, ok := u.listener.(syscall.Conn)
	refusal := ""
	switch {
	case u.successor != nil:
		refusal = "another process is taking over"
	case u.listenerClosing:
		refusal = handover.ReasonExiting
	case !ok:
		refusal = "the listener can't be handed over"
	}
	if refusal != "" {
		u.mu.Unlock()
		return successor.Refuse(refusal)
	}
	defer u.mu.Unlock() // after the listener is sent: closeListener has to know whether it is shared
	if err := successor.SendFile(handover.Message{Kind: handover.KindListener, Version: handover.Version}, listener); err != nil {
		successor.Close()
		return err
	}
	u.successor, u.transferredConns = successor, make(map[core.ConnID]bool)
	return nil
}

// followSuccessor handles the successor's messages until its connection ends.
func (u *upgrader) followSuccessor(successor *handover.Peer) {
	for {
		msg, file, err := successor.Receive()
		if file != nil {
			file.Close()
		}
		if err != nil {
			break
		}
		switch msg.Kind {
		case handover.KindServing:
			u.mu.Lock()
			u.successorServing = true
			u.mu.Unlock()
			u.loop.Post(core.Successor{Serving: true})
			u.transferIfReady()
		case handover.KindCallerDown:
			u.mu.Lock()
			delete(u.transferredConns, msg.Conn)
			u.mu.Unlock()
			u.loop.Post(core.CallerDown{Conn: msg.Conn})
		case handover.KindAttempted:
			u.loop.Post(core.AttemptedElsewhere{IDs: msg.IDs})
		case handover.KindCallerEnd:
			u.loop.Post(core.CallerEnd{ID: msg.ID, From: msg.Conn})
		case handover.KindServerEnd:
			u.loop.Post(core.ServerEnd{Server: msg.Server, ID: msg.ID, Reason: msg.Reason})
		}
	}
	successor.Close()
	u.mu.Lock()
	transferredConns := u.transferredConns
	u.transferredConns = nil
	if !u.transferBegun {
		u.successor, u.successorServing = nil, false
		if u.stopRequested {
			u.platform.MarkStopping()
		}
	}
	u.mu.Unlock()
	u.memoryLimiter.addProcesses(-1)
	u.log.Warn().Msg("successor disconnected")
	u.loop.Post(core.Successor{})
	for connID := range transferredConns {
		u.loop.Post(core.CallerDown{Conn: connID})
	}
}

// requestStop records that a stop of this process was requested, starts the transfer to a successor that serves, and reports
// whether there is a successor.
func (u *upgrader) requestStop() bool {
	u.mu.Lock()
	u.stopRequested = true
	hasSuccessor := u.successor != nil
	u.mu.Unlock()
	u.transferIfReady()
	return hasSuccessor
}

// closeListener closes the callers' listener. If the successor shares the listener, only this process's descriptor is
// closed: the socket stays unchanged, and the connections in its accept queue are left to the successor. Otherwise the
// connections in the queue are accepted first.
func (u *upgrader) closeListener() {
	u.mu.Lock()
	u.listenerClosing = true
	shared := u.successor != nil
	u.mu.Unlock()
	if shared {
		u.listener.Close()
	} else {
		u.platform.CloseListener()
	}
}

// transferIfReady starts the transfer of the callers' connections once the successor serves and a stop of this process was
// requested.
func (u *upgrader) transferIfReady() {
	u.mu.Lock()
	startsTransfer := u.successorServing && u.stopRequested && !u.transferBegun
	if startsTransfer {
		u.transferBegun = true
		if u.successorListener != nil {
			u.successorListener.Close()
		}
		u.listener.Close() // the successor shares the listener, so connections in the accept queue are not refused
		u.platform.SetSuccessor(u)
		u.successor.Send(handover.Message{Kind: handover.KindTransferring})
	}
	u.mu.Unlock() // the loop may need the mutex before it handles the event posted below
	if !startsTransfer {
		return
	}
	u.loop.Post(core.HandOver{})
	u.log.Info().Msg("hand-over to the successor started")
}

// Transfer sends a caller's connection and its state to the successor. If the successor has disconnected meanwhile, the
// connection counts as ended.
func (u *upgrader) Transfer(transfer core.Transfer, unprocessed []byte, conn syscall.Conn) error {
	u.mu.Lock()
	successor := u.successor
	u.mu.Unlock()
	err := successor.SendFile(handover.Message{Kind: handover.KindCallerConn, Conn: transfer.To, Unprocessed: unprocessed, Pending: transfer.Open, Established: transfer.Established, Used: transfer.Used}, conn)
	if err != nil {
		return err
	}
	u.mu.Lock()
	successorGone := u.transferredConns == nil
	if !successorGone {
		u.transferredConns[transfer.To] = true
	}
	u.mu.Unlock()
	if successorGone {
		// The successor may have read from the connection before it exited, so this process cannot go on reading.
		u.loop.Post(core.CallerDown{Conn: transfer.To})
	}
	return nil
}

// ForwardEffect sends the successor an effect of this process's core, such as a release, for a caller whose connection the
// successor has. A connection id of 0 stands for any of the successor's connections.
func (u *upgrader) ForwardEffect(connID core.ConnID, effect core.Effect) {
	u.sendToSuccessor(platform.Protocol, connID, effect)
}

// sendToSuccessor sends the successor an effect of this process's core, if there is a successor and a hand-over message for
// the effect.
func (u *upgrader) sendToSuccessor(protocol core.Protocol, connID core.ConnID, effect core.Effect) {
	u.mu.Lock()
	successor := u.successor
	u.mu.Unlock()
	if msg, ok := handover.FromEffect(protocol, connID, effect); ok && successor != nil {
		successor.Send(msg)
	}
}

// finishHandOver closes the connection to the successor, if there is one. If callers' connections were transferred, it first
// sends the successor the ids of the calls that have ended recently, as repeated messages about them may still arrive there.
func (u *upgrader) finishHandOver(reducer *core.Core) {
	u.mu.Lock()
	successor, transferBegun := u.successor, u.transferBegun
	u.mu.Unlock()
	if successor == nil {
		return
	}
	if transferBegun {
		successor.Send(handover.Message{Kind: handover.KindCallsEnded, IDs: reducer.RecentlyEnded(u.handOverLimits.MaxEndedCalls)})
		successor.Flush()
	}
	successor.Close()
}

// memoryLimiter sets this process's memory limit. During a hand-over, the configured limit is divided among the processes
// that run side by side.
type memoryLimiter struct {
	mu             sync.Mutex // guards the fields below
	limits         config.Limits
	otherProcesses int // processes that run beside this one
}

// addProcesses adds change, which may be negative, to the number of processes that run beside this one.
func (m *memoryLimiter) addProcesses(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.otherProcesses += change
	m.applyLimits()
}

// setLimits applies the limits of a new configuration.
func (m *memoryLimiter) setLimits(limits config.Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = limits
	m.applyLimits()
}

// applyLimits sets the memory limit to this process's share, and the garbage collector's percentage.
func (m *memoryLimiter) applyLimits() {
	debug.SetMemoryLimit(m.limits.MemoryLimit / int64(1+m.otherProcesses))
	debug.SetGCPercent(m.limits.GCPercent)
}
