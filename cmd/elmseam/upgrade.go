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
type upgrade struct {
	path, listen string // the socket of hand-overs, and where callers come
	limits       handover.Limits
	loop         *loop.Loop
	front        *platform.Platform
	listener     net.Listener
	memory       *memory
	log          zerolog.Logger
	loud         zerolog.Logger // of what comes in masses

	old *handover.Peer // the predecessor; nil: there was none

	mu       sync.Mutex
	host     *net.UnixListener
	links    map[core.ConnID]core.ConnID // the predecessor's names of connections, and ours
	next     *handover.Peer              // the successor
	lent     bool                        // which has the listener too
	ended    bool                        // the listener is being closed
	ready    bool                        // it serves
	stopping bool                        // and this process is to end
	moving   bool                        // and hands its callers on
	passed   map[core.ConnID]bool
}

// take gets the listener of a process that serves the address, if there is one.
func (u *upgrade) take(listen string) bool {
	if a, err := net.ResolveTCPAddr("tcp", listen); err == nil {
		listen = a.String()
	}
	old, l, err := handover.RequestListener(u.path, listen, u.limits)
	if err != nil {
		u.log.Debug().Err(err).Msg("nothing to take over")
		return false
	}
	u.old, u.listener, u.links = old, l, make(map[core.ConnID]core.ConnID)
	u.log.Info().Msg("taking over from a running process")
	return true
}

// follow hears what the predecessor says, until it has gone.
func (u *upgrade) follow() {
	defer func() {
		u.old.Close()
		u.loop.Post(core.Predecessor{})
		u.memory.share(-1)
		u.wait()
		u.log.Info().Msg("the predecessor has gone")
	}()
	for {
		m, file, err := u.old.Receive()
		if err != nil {
			return
		}
		switch m.Kind {
		case handover.Transferring: // the next one is to find this process
			u.wait()
			u.loop.Post(core.Predecessor{Present: true, Transferring: true})
		case handover.CallerConn:
			u.adopt(m, file)
		case handover.CallsEnded:
			u.loop.Post(core.EndedCalls{IDs: m.IDs})
		case handover.Effect:
			u.mu.Lock()
			to := u.links[m.Conn]
			u.mu.Unlock()
			u.loop.Post(core.Relayed{Protocol: m.Protocol, Conn: to, Effect: m.ToEffect()})
		}
	}
}

// adopt serves a connection of the predecessor's.
func (u *upgrade) adopt(m handover.Message, file *os.File) {
	if file == nil {
		return
	}
	conn, err := net.FileConn(file)
	file.Close()
	if err != nil {
		u.log.Warn().Err(err).Msg("a caller's connection can't be taken over")
		u.old.Send(handover.Message{Kind: handover.CallerDown, Conn: m.Conn})
		return
	}
	ours := u.loop.NewConnID()
	u.mu.Lock()
	u.links[m.Conn] = ours
	u.mu.Unlock()
	up := core.CallerUp{Conn: ours, Protocol: platform.Protocol, HadSetUp: m.Asked, Open: m.Pending, Established: m.Established}
	u.front.Adopt(conn, m.Unprocessed, up, func() {
		u.mu.Lock()
		delete(u.links, m.Conn)
		u.mu.Unlock()
		u.old.Send(handover.Message{Kind: handover.CallerDown, Conn: m.Conn})
	})
	u.loud.Info().Uint64("link", uint64(ours)).Msg("a caller's connection taken over")
}

// toPredecessor passes on what concerns a call that is not known here.
func (u *upgrade) toPredecessor(e core.ToPredecessor) {
	if u.old == nil {
		return
	}
	switch ev := e.Event.(type) {
	case core.CallerEnd:
		var from core.ConnID
		u.mu.Lock()
		for of, ours := range u.links {
			if ours == ev.From {
				from = of
			}
		}
		u.mu.Unlock()
		u.old.Send(handover.Message{Kind: handover.CallerEnd, Conn: from, ID: ev.ID})
	case core.ServerEnd:
		u.old.Send(handover.Message{Kind: handover.ServerEnd, Server: ev.Server, ID: ev.ID, Reason: ev.Reason})
	}
}

// serving tells the predecessor that it can go.
func (u *upgrade) serving() {
	if u.old != nil {
		u.old.Send(handover.Message{Kind: handover.Serving})
	}
}

// wait has successors find this process. Where that can't be had there is no hand-over.
func (u *upgrade) wait() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.host != nil || u.path == "" || u.moving {
		return
	}
	host, err := handover.Listen(u.path)
	if err != nil {
		u.log.Info().Err(err).Msg("no hand-over to a newer process")
		return
	}
	u.host = host
	go func() {
		for {
			conn, err := host.AcceptUnix()
			if err != nil {
				return
			}
			u.meet(conn)
		}
	}()
}

// meet hears a process that has come to take over. One at a time can.
func (u *upgrade) meet(conn *net.UnixConn) {
	u.mu.Lock()
	why := ""
	listener, ok := u.listener.(syscall.Conn)
	switch {
	case u.next != nil:
		why = "another process is taking over"
	case u.ended:
		why = handover.ReasonExiting
	case !ok:
		why = "the listener can't be handed over"
	default:
		u.lent = true
	}
	u.mu.Unlock()
	next, err := handover.AcceptSuccessor(conn, u.listen, why, listener, u.limits)
	if err != nil {
		u.mu.Lock()
		u.lent = u.next != nil
		u.mu.Unlock()
		u.log.Warn().Err(err).Msg("hand-over refused")
		return
	}
	u.log.Info().Msg("a newer process has come")
	u.memory.share(1)
	u.mu.Lock()
	u.next, u.passed = next, make(map[core.ConnID]bool)
	u.mu.Unlock()
	go u.serve(next)
}

// serve hears what the successor says, until it has gone.
func (u *upgrade) serve(next *handover.Peer) {
	for {
		m, file, err := next.Receive()
		if file != nil {
			file.Close()
		}
		if err != nil {
			break
		}
		switch m.Kind {
		case handover.Serving:
			u.mu.Lock()
			u.ready = true
			u.mu.Unlock()
			u.move()
		case handover.CallerDown:
			u.mu.Lock()
			delete(u.passed, m.Conn)
			u.mu.Unlock()
			u.loop.Post(core.CallerDown{Conn: m.Conn})
		case handover.CallerEnd:
			u.loop.Post(core.CallerEnd{ID: m.ID, From: m.Conn})
		case handover.ServerEnd:
			u.loop.Post(core.ServerEnd{Server: m.Server, ID: m.ID, Reason: m.Reason})
		}
	}
	next.Close()
	u.mu.Lock()
	passed := u.passed
	u.passed = nil
	if !u.moving {
		u.next, u.ready, u.lent = nil, false, false
		if u.stopping {
			u.front.MarkStopping()
		}
	}
	u.mu.Unlock()
	u.memory.share(-1)
	u.log.Warn().Msg("the newer process has gone")
	for l := range passed {
		u.loop.Post(core.CallerDown{Conn: l})
	}
}

// stop takes in that this process is to end, and says whether a successor is there.
func (u *upgrade) stop() bool {
	u.mu.Lock()
	u.stopping = true
	succeeded := u.next != nil
	u.mu.Unlock()
	u.move()
	return succeeded
}

// closeListener has the listener closed. Where a successor has it too, whoever waits there is the successor's, and nothing may
// be changed about it.
func (u *upgrade) closeListener() {
	u.mu.Lock()
	u.ended = true
	lent := u.lent
	u.mu.Unlock()
	if lent {
		u.listener.Close()
	} else {
		u.front.CloseListener()
	}
}

// move hands the callers on when the successor serves and this process is to end.
func (u *upgrade) move() {
	u.mu.Lock()
	begins := u.ready && u.stopping && !u.moving
	if begins {
		u.moving = true
		if u.host != nil {
			u.host.Close()
		}
		u.listener.Close() // the successor has the same: nobody who waits there is turned away
		u.front.SetSuccessor(u)
		u.next.Send(handover.Message{Kind: handover.Transferring})
	}
	u.mu.Unlock() // the loop may want it before it takes the event
	if !begins {
		return
	}
	u.loop.Post(core.HandOver{})
	u.log.Info().Msg("handing over")
}

// Transfer is handed a caller's connection for the successor.
func (u *upgrade) Transfer(pass core.Transfer, rest []byte, conn syscall.Conn) error {
	u.mu.Lock()
	next := u.next
	u.mu.Unlock()
	err := next.SendFile(handover.Message{Kind: handover.CallerConn, Conn: pass.To, Unprocessed: rest, Pending: pass.Open, Established: pass.Established, Asked: pass.HadSetUp}, conn)
	if err != nil {
		return err
	}
	u.mu.Lock()
	gone := u.passed == nil
	if !gone {
		u.passed[pass.To] = true
	}
	u.mu.Unlock()
	if gone { // it may have read of it: nobody can go on there
		u.loop.Post(core.CallerDown{Conn: pass.To})
	}
	return nil
}

// ForwardEffect passes on what is for a caller whose connection the successor has, or with a link of 0 any.
func (u *upgrade) ForwardEffect(link core.ConnID, e core.Effect) {
	u.tell(platform.Protocol, link, e)
}

func (u *upgrade) tell(front core.Protocol, link core.ConnID, e core.Effect) {
	u.mu.Lock()
	next := u.next
	u.mu.Unlock()
	if m, ok := handover.FromEffect(front, link, e); ok && next != nil {
		next.Send(m)
	}
}

// leave tells the successor what it may hear of again, and goes.
func (u *upgrade) leave(c *core.Core) {
	u.mu.Lock()
	next, moving := u.next, u.moving
	u.mu.Unlock()
	if next == nil {
		return
	}
	if moving {
		next.Send(handover.Message{Kind: handover.CallsEnded, IDs: c.RecentlyEnded(u.limits.MaxEndedCalls)})
		next.Flush()
	}
	next.Close()
}

// memory is what this process takes of the memory that it may share with others.
type memory struct {
	mu     sync.Mutex
	limits config.Limits
	others int
}

// share counts one process more or less beside this one.
func (m *memory) share(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others += n
	m.collect()
}

// configure takes limits in.
func (m *memory) configure(l config.Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = l
	m.collect()
}

// collect sets the garbage collector to the part there is.
func (m *memory) collect() {
	debug.SetMemoryLimit(m.limits.MemoryLimit / int64(1+m.others))
	debug.SetGCPercent(m.limits.GCPercent)
}
