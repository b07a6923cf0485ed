// Package handover carries messages between two processes of the program on one machine while the successor takes over
// from the predecessor. The messages, some with an open file attached, travel over a Unix socket. The package defines
// their format; its users decide what to do with them.
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

// Version is the version of the message format. Processes with different versions refuse the hand-over.
const Version = 1

// Limits are the timeouts and size limits of a hand-over.
type Limits struct {
	HelloTimeout   time.Duration // max time to connect, to receive KindHello, and to receive the answer to it
	ExitTimeout    time.Duration // how long a successor waits for an exiting predecessor to end
	WriteTimeout   time.Duration // max time to write a message (a queued one that exceeds it closes the connection), and max wait of Flush
	MaxMessageSize int           // max size of an encoded message, in bytes
	MaxQueuedBytes int           // max bytes queued for the peer; beyond it the connection is closed
	MaxEndedCalls  int           // max number of ids in a KindCallsEnded message
}

// ReasonExiting is the refusal reason of a process that is exiting and closes its listener. The refused process waits until
// the exiting one has ended, at most for Limits.ExitTimeout, and then listens itself.
const ReasonExiting = "this process is ending"

// Kind is the type of a message.
type Kind string

// Kinds of messages. The comments name the sender.
const (
	KindHello        Kind = "hello"       // successor: asks for the listener of an address
	KindListener     Kind = "listener"    // predecessor: carries the callers' listener
	KindRefused      Kind = "refused"     // predecessor: refuses the hand-over, with a reason
	KindServing      Kind = "serving"     // successor: ready to serve callers
	KindTransferring Kind = "moving"      // predecessor: starts to transfer its callers' connections
	KindCallerConn   Kind = "caller"      // predecessor: carries a caller's connection
	KindEffect       Kind = "effect"      // predecessor: an effect for a caller
	KindCallsEnded   Kind = "over"        // predecessor: ids of calls that have ended
	KindAttempted    Kind = "attempted"   // both: ids of calls that have been sent to a server
	KindCallerDown   Kind = "caller_down" // successor: a transferred connection was closed
	KindCallerEnd    Kind = "caller_end"  // successor: a caller released a call that the successor does not know
	KindServerEnd    Kind = "server_end"  // successor: a server ended a call that the successor does not know
)

// Message is one message between the two processes. Fields that its kind does not use are empty.
type Message struct {
	Kind          Kind          `json:"kind"`
	Version       int           `json:"version,omitempty"` // format version, see [Version]
	Listen        string        `json:"listen,omitempty"`  // the callers' address whose listener is requested
	RefusalReason string        `json:"why,omitempty"`     // reason of a KindRefused message
	Conn          core.ConnID   `json:"link,omitempty"`    // id of a connection in the predecessor; 0: none in particular
	Protocol      core.Protocol `json:"front,omitempty"`   // signalling protocol of the caller that an effect is for
	Unprocessed   []byte        `json:"rest,omitempty"`    // bytes read from the connection and not yet processed
	Pending       []core.ID     `json:"open,omitempty"`    // calls of the connection without a final answer
	Established   []core.ID     `json:"stand,omitempty"`   // established calls of the connection
	Used          bool          `json:"asked,omitempty"`   // the connection has carried a set-up or the end of a call
	Effect        string        `json:"effect,omitempty"`  // "answered", "rejected" or "released"
	ID            core.ID       `json:"id,omitempty"`      // the call that the message is about
	Desc          []byte        `json:"desc,omitempty"`    // description in an answer
	Reason        core.Reason   `json:"reason,omitempty"`  // why a call was rejected, released or ended by a server
	RetryAfter    time.Duration `json:"retry,omitempty"`   // wait recommended to a rejected caller, in nanoseconds
	Server        string        `json:"server,omitempty"`  // name of the server that ended the call
	IDs           []core.ID     `json:"ids,omitempty"`     // the calls of a KindCallsEnded or KindAttempted message
}

// SocketPath returns the path of the hand-over socket of the process with the given name, or "" if dir is empty.
func SocketPath(dir, name string) string {
	if dir == "" {
		return ""
	}
	return filepath.Join(dir, "elmseam-"+strings.ReplaceAll(name, "/", "_")+".sock")
}

// Peer is the connection to the other process.
type Peer struct {
	conn    *net.UnixConn
	limits  Limits
	readBuf []byte

	mu          sync.Mutex // guards the fields below
	queue       []queuedMessage
	queuedBytes int  // total size of the messages in queue that Send has queued
	writing     bool // writeLoop is running
	closed      bool
}

// queuedMessage is a message that waits to be written.
type queuedMessage struct {
	payload     []byte
	controlData []byte     // socket control data; nil: no file is attached
	result      chan error // receives the result of the write; nil: nobody waits for it
}

// newPeer returns the peer at the other end of conn.
func newPeer(conn *net.UnixConn, limits Limits) *Peer {
	return &Peer{conn: conn, limits: limits, readBuf: make([]byte, limits.MaxMessageSize)}
}

// Close closes the connection and drops the queue.
func (p *Peer) Close() {
	p.mu.Lock()
	p.closeLocked()
	p.mu.Unlock()
}

// closeLocked is Close for callers that hold p.mu.
func (p *Peer) closeLocked() {
	p.closed = true
	for _, queued := range p.queue {
		if queued.result != nil {
			queued.result <- net.ErrClosed
		}
	}
	p.queue = nil
	p.conn.Close()
}

// Send queues a message. It never blocks. The connection is closed if the message is too large or cannot be encoded, or if the
// queue is full. After Close the message is dropped.
func (p *Peer) Send(msg Message) {
	payload, err := json.Marshal(msg)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if p.queuedBytes += len(payload); err != nil || len(payload) > p.limits.MaxMessageSize || p.queuedBytes > p.limits.MaxQueuedBytes {
		p.closeLocked()
		return
	}
	p.enqueue(queuedMessage{payload: payload})
}

// enqueue adds a message to the queue. The caller holds p.mu.
func (p *Peer) enqueue(msg queuedMessage) {
	p.queue = append(p.queue, msg)
	if !p.writing {
		p.writing = true
		go p.writeLoop()
	}
}

// writeLoop writes the queued messages and returns when the queue is empty or the connection is closed.
func (p *Peer) writeLoop() {
	for {
		p.mu.Lock()
		if p.closed || len(p.queue) == 0 {
			p.writing = false
			p.mu.Unlock()
			return
		}
		msg := p.queue[0]
		p.queue = p.queue[1:]
		if msg.result == nil {
			p.queuedBytes -= len(msg.payload)
		}
		p.mu.Unlock()
		p.conn.SetWriteDeadline(time.Now().Add(p.limits.WriteTimeout))
		_, _, err := p.conn.WriteMsgUnix(msg.payload, msg.controlData, nil)
		switch {
		case msg.result != nil:
			msg.result <- err
		case err != nil:
			p.Close()
		}
	}
}

// SendFile sends a message with the file descriptor of source attached, after the messages that are queued. It blocks until the message is
// in the socket's buffer. After an error the connection stays open.
func (p *Peer) SendFile(msg Message, source syscall.Conn) error {
	payload, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	if len(payload) > p.limits.MaxMessageSize {
		return fmt.Errorf("message of %d bytes exceeds the size limit", len(payload))
	}
	rawConn, err := source.SyscallConn()
	if err != nil {
		return err
	}
	var writeErr error
	// File().Fd() is not used here: it would put the file into blocking mode for both processes.
	if err := rawConn.Control(func(fd uintptr) { writeErr = p.sendAndWait(payload, syscall.UnixRights(int(fd))) }); err != nil {
		return err
	}
	return writeErr
}

// sendAndWait queues a message with socket control data and waits until it is written.
func (p *Peer) sendAndWait(payload, controlData []byte) error {
	result := make(chan error, 1)
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return net.ErrClosed
	}
	p.enqueue(queuedMessage{payload, controlData, result})
	p.mu.Unlock()
	return <-result
}

// Flush waits until the queue is written or dropped, for at most limits.WriteTimeout.
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

// errTruncated is the error for a message of which the kernel did not deliver all bytes or control data, or whose control data
// is not one file.
var errTruncated = errors.New("message truncated")

// Receive waits for the next message and returns it with the file attached to it, or nil if there is none. It returns an
// error once either side has closed the connection. It must not be called concurrently.
func (p *Peer) Receive() (msg Message, file *os.File, err error) {
	controlData := make([]byte, syscall.CmsgSpace(4))
	n, controlSize, flags, _, err := p.conn.ReadMsgUnix(p.readBuf, controlData)
	if err != nil {
		return msg, nil, err
	}
	if file, err = fileFromControlData(controlData[:controlSize]); err != nil {
		return msg, nil, err
	}
	switch {
	case n == 0 && controlSize == 0:
		err = net.ErrClosed
	case flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
		err = errTruncated
	default:
		err = json.Unmarshal(p.readBuf[:n], &msg)
	}
	if err != nil && file != nil {
		file.Close()
		file = nil
	}
	return msg, file, err
}

// fileFromControlData returns the file that is attached to a message, given the message's socket control data. It returns nil if
// controlData is empty.
func fileFromControlData(controlData []byte) (*os.File, error) {
	if len(controlData) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(controlData)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	var fds []int
	for _, message := range messages {
		if messageFDs, err := syscall.ParseUnixRights(&message); err == nil {
			fds = append(fds, messageFDs...)
		}
	}
	if len(fds) != 1 {
		for _, fd := range fds {
			syscall.Close(fd)
		}
		return nil, fmt.Errorf("%d files, want 1: %w", len(fds), errTruncated)
	}
	syscall.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "handed over"), nil
}

// RequestListener asks the process behind the socket at path for its listener of the address listen. It fails if path is empty,
// no process answers or the process refuses. After a refusal with ReasonExiting it returns when the process has ended, or after
// limits.ExitTimeout.
func RequestListener(path, listen string, limits Limits) (*Peer, net.Listener, error) {
	if path == "" {
		return nil, nil, errors.New("no directory for the hand-over socket")
	}
	conn, err := net.DialTimeout("unixpacket", path, limits.HelloTimeout)
	if err != nil {
		return nil, nil, err
	}
	p := newPeer(conn.(*net.UnixConn), limits)
	conn.SetReadDeadline(time.Now().Add(limits.HelloTimeout))
	p.Send(Message{Kind: KindHello, Version: Version, Listen: listen})
	msg, file, err := p.Receive()
	if err == nil && msg.Kind == KindRefused && msg.RefusalReason == ReasonExiting {
		conn.SetReadDeadline(time.Now().Add(limits.ExitTimeout))
		p.Receive()
	}
	if err == nil && (msg.Kind != KindListener || file == nil) {
		err = fmt.Errorf("%s: %s", msg.Kind, msg.RefusalReason)
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

// Listen listens on a Unix socket at path for successors. A socket that exists there is replaced atomically.
func Listen(path string) (*net.UnixListener, error) {
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(tempPath)
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: tempPath, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // path may be a successor's socket by the time of Close
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

// AwaitHello receives the KindHello message of a process that has connected. If the process speaks another version of the format or asks for
// another address than listen, AwaitHello refuses. It closes the connection on an error.
func AwaitHello(conn *net.UnixConn, listen string, limits Limits) (*Peer, error) {
	p := newPeer(conn, limits)
	conn.SetReadDeadline(time.Now().Add(limits.HelloTimeout))
	msg, file, err := p.Receive()
	if file != nil {
		file.Close()
	}
	conn.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		p.Close()
		return nil, err
	case msg.Kind != KindHello || msg.Version != Version:
		return nil, p.Refuse(fmt.Sprintf("version %d is spoken here", Version))
	case msg.Listen != listen:
		return nil, p.Refuse(fmt.Sprintf("%s is served here", listen))
	}
	return p, nil
}

// Refuse tells the successor why it is refused, and returns the reason as an error. It closes the connection, unless the reason is
// ReasonExiting: that successor waits for the end of the connection, which comes when this process ends.
func (p *Peer) Refuse(reason string) error {
	p.Send(Message{Kind: KindRefused, Version: Version, RefusalReason: reason})
	p.Flush()
	if reason == ReasonExiting {
		go func() { p.Receive(); p.Close() }()
	} else {
		p.Close()
	}
	return errors.New(reason)
}
