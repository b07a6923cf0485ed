// Package handover connects two processes of the program on one machine while the newer takes over from the older:
// messages, some with an open file, over a Unix socket. What they mean is decided elsewhere.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"elmseam/internal/core"
)

// Version is that of the messages. Processes of different versions hand nothing over.
const Version = 1

// Limits are the sizes and times of a hand-over.
type Limits struct {
	HelloTimeout   time.Duration // to be answered, or to say who one is
	ExitTimeout    time.Duration // that a process which is ending is waited for
	WriteTimeout   time.Duration // a message may take; a peer that takes none for so long is given up
	MaxMessageSize int           // the longest message
	MaxQueuedBytes int           // bytes that may wait for the peer
	MaxEndedCalls  int           // ended calls that are named
}

// ReasonExiting is why a process that closes its listener gives it to nobody. Who is told so waits until that process has gone, and
// can then listen itself.
const ReasonExiting = "this process is ending"

// Kind says what a message is.
type Kind string

// The kinds, and who sends them.
const (
	Hello        Kind = "hello"       // new: who it is
	Listener     Kind = "listener"    // old, with the callers' listener
	Refused      Kind = "refused"     // old: why not
	Serving      Kind = "serving"     // new: it serves
	Transferring Kind = "moving"      // old: it hands its callers on from now on
	CallerConn   Kind = "caller"      // old, with a caller's connection
	Effect       Kind = "effect"      // old, for a caller
	CallsEnded   Kind = "over"        // old: calls that have ended
	CallerDown   Kind = "caller_down" // new: a caller's connection has ended
	CallerEnd    Kind = "caller_end"  // new, of a call that it does not know
	ServerEnd    Kind = "server_end"  // new, the same
)

// Message is what one process tells the other. A field that its kind has no use for is empty.
type Message struct {
	Kind          Kind          `json:"kind"`
	Version       int           `json:"version,omitempty"`
	Listen        string        `json:"listen,omitempty"`
	RefusalReason string        `json:"why,omitempty"`
	Conn          core.ConnID   `json:"link,omitempty"` // by the old one's count
	Protocol      core.Protocol `json:"front,omitempty"`
	Unprocessed   []byte        `json:"rest,omitempty"` // read from the connection and not yet taken
	Pending       []core.ID     `json:"open,omitempty"`
	Established   []core.ID     `json:"stand,omitempty"`
	Asked         bool          `json:"asked,omitempty"`
	Effect        string        `json:"effect,omitempty"`
	ID            core.ID       `json:"id,omitempty"`
	Desc          []byte        `json:"desc,omitempty"`
	Reason        core.Reason   `json:"reason,omitempty"`
	RetryAfter    time.Duration `json:"retry,omitempty"`
	Server        string        `json:"server,omitempty"`
	IDs           []core.ID     `json:"ids,omitempty"`
}

// SocketPath is where the process of a name is found; "" where there is no folder for it.
func SocketPath(dir, name string) string {
	if dir == "" {
		return ""
	}
	return filepath.Join(dir, "elmseam-"+strings.ReplaceAll(name, "/", "_")+".sock")
}

// Peer is the other process.
type Peer struct {
	conn    *net.UnixConn
	limits  Limits
	readBuf []byte
	writeMu sync.Mutex // held for each message

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	writing     bool
	closed      bool
}

func newPeer(conn *net.UnixConn, limits Limits) *Peer {
	return &Peer{conn: conn, limits: limits, readBuf: make([]byte, limits.MaxMessageSize)}
}

// Close ends the connection.
func (p *Peer) Close() {
	p.mu.Lock()
	p.closed, p.queue = true, nil
	p.mu.Unlock()
	p.conn.Close()
}

// Send queues a message. It never waits; a peer that falls behind too far is given up.
func (p *Peer) Send(m Message) {
	payload, err := json.Marshal(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if p.queuedBytes += len(payload); err != nil || len(payload) > p.limits.MaxMessageSize || p.queuedBytes > p.limits.MaxQueuedBytes {
		p.closed, p.queue = true, nil
		p.conn.Close()
		return
	}
	p.queue = append(p.queue, payload)
	if !p.writing {
		p.writing = true
		go p.writeLoop()
	}
}

// run writes what is queued.
func (p *Peer) writeLoop() {
	for {
		p.mu.Lock()
		if p.closed || len(p.queue) == 0 {
			p.writing = false
			p.mu.Unlock()
			return
		}
		payload := p.queue[0]
		p.queue = p.queue[1:]
		p.queuedBytes -= len(payload)
		p.mu.Unlock()
		if p.writeMessage(payload, nil) != nil {
			p.Close()
		}
	}
}

// packet writes one message whole.
func (p *Peer) writeMessage(payload, rights []byte) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(p.limits.WriteTimeout))
	_, _, err := p.conn.WriteMsgUnix(payload, rights, nil)
	return err
}

// SendFile sends a message with an open file, and waits until it is with the peer's machine.
func (p *Peer) SendFile(m Message, source syscall.Conn) error {
	payload, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(payload) > p.limits.MaxMessageSize {
		return fmt.Errorf("a message of %d bytes", len(payload))
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	var writeErr error
	// Not by File and its Fd: that would make the file blocking for both processes.
	if err := raw.Control(func(fd uintptr) { writeErr = p.writeMessage(payload, syscall.UnixRights(int(fd))) }); err != nil {
		return err
	}
	return writeErr
}

// Flush waits until what is queued is written, not for long.
func (p *Peer) Flush() {
	for deadline := time.Now().Add(p.limits.WriteTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		idle := !p.writing
		p.mu.Unlock()
		if idle {
			return
		}
	}
}

var errTruncated = errors.New("a message was cut short")

// Receive waits for a message, and the file that comes with it.
func (p *Peer) Receive() (m Message, file *os.File, err error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, flags, _, err := p.conn.ReadMsgUnix(p.readBuf, oob)
	if err != nil {
		return m, nil, err
	}
	if file, err = parseFile(oob[:oobn]); err != nil {
		return m, nil, err
	}
	switch {
	case n == 0 && oobn == 0:
		err = net.ErrClosed
	case flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
		err = errTruncated
	default:
		err = json.Unmarshal(p.readBuf[:n], &m)
	}
	if err != nil && file != nil {
		file.Close()
		file = nil
	}
	return m, file, err
}

// fileIn is the file that came beside a message, if one did.
func parseFile(oob []byte) (*os.File, error) {
	if len(oob) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(messages) != 1 {
		return nil, fmt.Errorf("%d control messages: %w", len(messages), errTruncated)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, fmt.Errorf("%d files: %w", len(fds), errTruncated)
	}
	syscall.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "handed over"), nil
}

// RequestListener asks the process that serves an address for its listener. An error says why there is none to be had.
func RequestListener(path, listen string, limits Limits) (*Peer, net.Listener, error) {
	if path == "" {
		return nil, nil, errors.New("no folder for a socket")
	}
	conn, err := net.DialTimeout("unixpacket", path, limits.HelloTimeout)
	if err != nil {
		return nil, nil, err
	}
	p := newPeer(conn.(*net.UnixConn), limits)
	conn.SetReadDeadline(time.Now().Add(limits.HelloTimeout))
	p.Send(Message{Kind: Hello, Version: Version, Listen: listen})
	m, file, err := p.Receive()
	if err == nil && m.Kind == Refused && m.RefusalReason == ReasonExiting {
		conn.SetReadDeadline(time.Now().Add(limits.ExitTimeout))
		p.Receive()
	}
	if err == nil && (m.Kind != Listener || file == nil) {
		err = fmt.Errorf("%s: %s", m.Kind, m.RefusalReason)
	}
	var listener net.Listener
	if file != nil {
		if err == nil {
			listener, err = net.FileListener(file)
		}
		file.Close()
	}
	if err != nil {
		p.Close()
		return nil, nil, err
	}
	conn.SetReadDeadline(time.Time{})
	return p, listener, nil
}

// Listen waits at the path for successors. Whatever has been left there is replaced at once.
func Listen(path string) (*net.UnixListener, error) {
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(tempPath)
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: tempPath, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // a successor's may stand there by then
	if err = os.Chmod(tempPath, 0o600); err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		os.Remove(tempPath)
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// AcceptSuccessor hears who has come, and gives the listener where that is what it wants. Why says that it can't be had.
func AcceptSuccessor(conn *net.UnixConn, listen, refusal string, listener syscall.Conn, limits Limits) (*Peer, error) {
	p := newPeer(conn, limits)
	conn.SetReadDeadline(time.Now().Add(limits.HelloTimeout))
	m, file, err := p.Receive()
	if file != nil {
		file.Close()
	}
	if err == nil {
		switch {
		case m.Kind != Hello || m.Version != Version:
			refusal = fmt.Sprintf("version %d is spoken here", Version)
		case m.Listen != listen:
			refusal = fmt.Sprintf("%s is served here", listen)
		}
		if refusal != "" {
			p.Send(Message{Kind: Refused, Version: Version, RefusalReason: refusal})
			p.Flush()
			err = errors.New(refusal)
		} else {
			err = p.SendFile(Message{Kind: Listener, Version: Version}, listener)
		}
	}
	conn.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return p, nil
	case refusal == ReasonExiting: // the connection's end, with the process, tells that it has gone
		go func() { p.Receive(); p.Close() }()
	default:
		p.Close()
	}
	return nil, err
}
