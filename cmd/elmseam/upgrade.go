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

// upgrade is this process's part in hand-overs: from an older one at its start, and to a newer one at its end.
type upgrader struct {
	socketPath, listenAddr string // the socket of hand-overs, and where callers come
	limits                 handover.Limits
	loop                   *loop.Loop
	platform               *platform.Platform
	listener               net.Listener
	memory                 *memoryShare
	log                    zerolog.Logger
	sampledLog             zerolog.Logger // of what comes in masses

	predecessor *handover.Peer // the predecessor; nil: there was none

	mu               sync.Mutex
	hostListener     *net.UnixListener
	localConns       map[core.ConnID]core.ConnID // the predecessor's names of connections, and ours
	successor        *handover.Peer              // the successor
	listenerShared   bool                        // which has the listener too
	listenerClosing  bool                        // the listener is being closed
	successorServing bool                        // it serves
	stopping         bool                        // and this process is to end
	transferring     bool                        // and hands its callers on
	transferred      map[core.ConnID]bool
}

// take gets the listener of a process that serves the address, if there is one.
func (u *upgrader) takeOver(listenAddr string) bool {
	if addr, err := net.ResolveTCPAddr("tcp", listenAddr); err == nil {
		listenAddr = addr.String()
	}
	predecessor, l, err := handover.RequestListener(u.socketPath, listenAddr, u.limits)
	if err != nil {
		u.log.Debug().Err(err).Msg("nothing to take over")
		return false
	}
	u.predecessor, u.listener, u.localConns = predecessor, l, make(map[core.ConnID]core.ConnID)
	u.log.Info().Msg("taking over from a running process")
	return true
}

// follow hears what the predecessor says, until it has gone.
func (u *upgrader) followPredecessor() {
	defer func() {
		u.predecessor.Close()
		u.loop.Post(core.Predecessor{})
		u.memory.addProcesses(-1)
		u.listenForSuccessor()
		u.log.Info().Msg("the predecessor has gone")
	}()
	for {
		m, file, err := u.predecessor.Receive()
		if err != nil {
			return
		}
		switch m.Kind {
		case handover.Transferring: // the next one is to find this process
			u.listenForSuccessor()
			u.loop.Post(core.Predecessor{Present: true, Transferring: true})
		case handover.CallerConn:
			u.adoptConn(m, file)
		case handover.CallsEnded:
			u.loop.Post(core.EndedCalls{IDs: m.IDs})
		case handover.Effect:
			u.mu.Lock()
			connID := u.localConns[m.Conn]
			u.mu.Unlock()
			u.loop.Post(core.Relayed{Protocol: m.Protocol, Conn: connID, Effect: m.ToEffect()})
		}
	}
}

// adopt serves a connection of the predecessor's.
func (u *upgrader) adoptConn(m handover.Message, file *os.File) {
	if file == nil {
		return
	}
	conn, err := net.FileConn(file)
	file.Close()
	if err != nil {
		u.log.Warn().Err(err).Msg("a caller's connection can't be taken over")
		u.predecessor.Send(handover.Message{Kind: handover.CallerDown, Conn: m.Conn})
		return
	}
	connID := u.loop.NewConnID()
	u.mu.Lock()
	u.localConns[m.Conn] = connID
	u.mu.Unlock()
	up := core.CallerUp{Conn: connID, Protocol: platform.Protocol, HadSetUp: m.Asked, Open: m.Pending, Established: m.Established}
	u.platform.Adopt(conn, m.Unprocessed, up, func() {
		u.mu.Lock()
		delete(u.localConns, m.Conn)
		u.mu.Unlock()
		u.predecessor.Send(handover.Message{Kind: handover.CallerDown, Conn: m.Conn})
	})
	u.sampledLog.Info().Uint64("link", uint64(connID)).Msg("a caller's connection taken over")
}

// toPredecessor passes on what concerns a call that is not known here.
func (u *upgrader) sendToPredecessor(e core.ToPredecessor) {
	if u.predecessor == nil {
		return
	}
	switch ev := e.Event.(type) {
	case core.CallerEnd:
		var from core.ConnID
		u.mu.Lock()
		for theirs, ours := range u.localConns {
			if ours == ev.From {
				from = theirs
			}
		}
		u.mu.Unlock()
		u.predecessor.Send(handover.Message{Kind: handover.CallerEnd, Conn: from, ID: ev.ID})
	case core.ServerEnd:
		u.predecessor.Send(handover.Message{Kind: handover.ServerEnd, Server: ev.Server, ID: ev.ID, Reason: ev.Reason})
	}
}

// serving tells the predecessor that it can go.
func (u *upgrader) reportServing() {
	if u.predecessor != nil {
		u.predecessor.Send(handover.Message{Kind: handover.Serving})
	}
}

// wait has successors find this process. Where that can't be had there is no hand-over.
func (u *upgrader) listenForSuccessor() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.hostListener != nil || u.socketPath == "" || u.transferring {
		return
	}
	listener, err := handover.Listen(u.socketPath)
	if err != nil {
		u.log.Info().Err(err).Msg("no hand-over to a newer process")
		return
	}
	u.hostListener = listener
	go func() {
		for {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			u.acceptSuccessor(conn)
		}
	}()
}

// meet hears a process that has come to take over. One at a time can.
func (u *upgrader) acceptSuccessor(conn *net.UnixConn) {
	u.mu.Lock()
	refusal := ""
	listener, ok := u.listener.(syscall.Conn)
	switch {
	case u.successor != nil:
		refusal = "another process is taking over"
	case u.listenerClosing:
		refusal = handover.ReasonExiting
	case !ok:
		refusal = "the listener can't be handed over"
	default:
		u.listenerShared = true
	}
	u.mu.Unlock()
	successor, err := handover.AcceptSuccessor(conn, u.listenAddr, refusal, listener, u.limits)
	if err != nil {
		u.mu.Lock()
		u.listenerShared = u.successor != nil
		u.mu.Unlock()
		u.log.Warn().Err(err).Msg("hand-over refused")
		return
	}
	u.log.Info().Msg("a newer process has come")
	u.memory.addProcesses(1)
	u.mu.Lock()
	u.successor, u.transferred = successor, make(map[core.ConnID]bool)
	u.mu.Unlock()
	go u.followSuccessor(successor)
}

// serve hears what the successor says, until it has gone.
func (u *upgrader) followSuccessor(successor *handover.Peer) {
	for {
		m, file, err := successor.Receive()
		if file != nil {
			file.Close()
		}
		if err != nil {
			break
		}
		switch m.Kind {
		case handover.Serving:
			u.mu.Lock()
			u.successorServing = true
			u.mu.Unlock()
			u.transferIfReady()
		case handover.CallerDown:
			u.mu.Lock()
			delete(u.transferred, m.Conn)
			u.mu.Unlock()
			u.loop.Post(core.CallerDown{Conn: m.Conn})
		case handover.CallerEnd:
			u.loop.Post(core.CallerEnd{ID: m.ID, From: m.Conn})
		case handover.ServerEnd:
			u.loop.Post(core.ServerEnd{Server: m.Server, ID: m.ID, Reason: m.Reason})
		}
	}
	successor.Close()
	u.mu.Lock()
	transferred := u.transferred
	u.transferred = nil
	if !u.transferring {
		u.successor, u.successorServing, u.listenerShared = nil, false, false
		if u.stopping {
			u.platform.MarkStopping()
		}
	}
	u.mu.Unlock()
	u.memory.addProcesses(-1)
	u.log.Warn().Msg("the newer process has gone")
	for connID := range transferred {
		u.loop.Post(core.CallerDown{Conn: connID})
	}
}

// stop takes in that this process is to end, and says whether a successor is there.
func (u *upgrader) requestStop() bool {
	u.mu.Lock()
	u.stopping = true
	hasSuccessor := u.successor != nil
	u.mu.Unlock()
	u.transferIfReady()
	return hasSuccessor
}

// closeListener has the listener closed. Where a successor has it too, whoever waits there is the successor's, and nothing may
// be changed about it.
func (u *upgrader) closeListener() {
	u.mu.Lock()
	u.listenerClosing = true
	shared := u.listenerShared
	u.mu.Unlock()
	if shared {
		u.listener.Close()
	} else {
		u.platform.CloseListener()
	}
}

// move hands the callers on when the successor serves and this process is to end.
func (u *upgrader) transferIfReady() {
	u.mu.Lock()
	starts := u.successorServing && u.stopping && !u.transferring
	if starts {
		u.transferring = true
		if u.hostListener != nil {
			u.hostListener.Close()
		}
		u.listener.Close() // the successor has the same: nobody who waits there is turned away
		u.platform.SetSuccessor(u)
		u.successor.Send(handover.Message{Kind: handover.Transferring})
	}
	u.mu.Unlock() // the loop may want it before it takes the event
	if !starts {
		return
	}
	u.loop.Post(core.HandOver{})
	u.log.Info().Msg("handing over")
}

// Transfer is handed a caller's connection for the successor.
func (u *upgrader) Transfer(transfer core.Transfer, unprocessed []byte, conn syscall.Conn) error {
	u.mu.Lock()
	successor := u.successor
	u.mu.Unlock()
	err := successor.SendFile(handover.Message{Kind: handover.CallerConn, Conn: transfer.To, Unprocessed: unprocessed, Pending: transfer.Open, Established: transfer.Established, Asked: transfer.HadSetUp}, conn)
	if err != nil {
		return err
	}
	u.mu.Lock()
	successorGone := u.transferred == nil
	if !successorGone {
		u.transferred[transfer.To] = true
	}
	u.mu.Unlock()
	if successorGone { // it may have read of it: nobody can go on there
		u.loop.Post(core.CallerDown{Conn: transfer.To})
	}
	return nil
}

// ForwardEffect passes on what is for a caller whose connection the successor has, or with a link of 0 any.
func (u *upgrader) ForwardEffect(connID core.ConnID, e core.Effect) {
	u.sendToSuccessor(platform.Protocol, connID, e)
}

func (u *upgrader) sendToSuccessor(protocol core.Protocol, connID core.ConnID, e core.Effect) {
	u.mu.Lock()
	successor := u.successor
	u.mu.Unlock()
	if m, ok := handover.FromEffect(protocol, connID, e); ok && successor != nil {
		successor.Send(m)
	}
}

// leave tells the successor what it may hear of again, and goes.
func (u *upgrader) finish(reducer *core.Core) {
	u.mu.Lock()
	successor, transferring := u.successor, u.transferring
	u.mu.Unlock()
	if successor == nil {
		return
	}
	if transferring {
		successor.Send(handover.Message{Kind: handover.CallsEnded, IDs: reducer.RecentlyEnded(u.limits.MaxEndedCalls)})
		successor.Flush()
	}
	successor.Close()
}

// memory is what this process takes of the memory that it may share with others.
type memoryShare struct {
	mu             sync.Mutex
	limits         config.Limits
	otherProcesses int
}

// share counts one process more or less beside this one.
func (m *memoryShare) addProcesses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.otherProcesses += n
	m.apply()
}

// configure takes limits in.
func (m *memoryShare) setLimits(l config.Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = l
	m.apply()
}

// collect sets the garbage collector to the part there is.
func (m *memoryShare) apply() {
	debug.SetMemoryLimit(m.limits.MemoryLimit / int64(1+m.otherProcesses))
	debug.SetGCPercent(m.limits.GCPercent)
}
