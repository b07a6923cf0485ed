package platform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/transport"
)

// callerReader reads the messages of a caller.
//
// A connection on which the first message, or one that has begun, is not complete within the message timeout, or which is idle
// for the idle timeout, has to be closed, as it holds a file descriptor that others need. The core decides when to close it,
// since a set-up may still be pending on the connection. Until then an idle connection is read on; after an incomplete or
// malformed message all further data is dropped.
type callerReader struct {
	platform *Platform
	conn     *callerConn
	limits   transport.Limits
	buf      *transport.Buffer

	// messageDeadline is when the first message, or one that has begun, must be complete, however slowly it arrives; zero: none is due.
	messageDeadline time.Time
	receivedAt      core.Time        // when the bytes in buf that were read last arrived
	discardedSetUps map[core.ID]bool // set-ups that were not posted, as the caller had given them up or left
	peerClosed      bool             // the caller had closed its side before what was read last was handled
	malformed       bool             // a malformed message came on the connection while it was being closed
}

// readCaller reads a caller's messages until the connection ends or the successor has it. unparsed holds bytes that a predecessor
// has read; used says whether a set-up or the end of a call has already come on the connection.
func (p *Platform) readCaller(c *callerConn, limits transport.Limits, unparsed []byte, used bool) {
	r := &callerReader{platform: p, conn: c, limits: limits, buf: transport.NewBuffer(limits.InitialBufferSize, limits.MaxMessageSize)}
	if !used || len(unparsed) > 0 {
		r.messageDeadline = time.Now().Add(limits.MessageTimeout)
	}
	if r.fill(unparsed) != nil || !r.run() {
		c.events.Post(core.CallerDown{Conn: c.connID})
	}
}

// fill puts bytes into the buffer that were read before.
func (r *callerReader) fill(unparsed []byte) error {
	for reader := bytes.NewReader(unparsed); reader.Len() > 0; {
		if err := r.buf.Fill(reader); err != nil {
			return err
		}
	}
	return nil
}

// run reads until the connection ends or the successor has it, and reports whether the successor has it.
func (r *callerReader) run() (transferred bool) {
	for {
		r.conn.outbox.WaitForRoom(r.conn.transferring.Load)
		r.setReadDeadline()
		err := r.buf.Fill(r.conn.conn)
		switch timedOut := errors.Is(err, os.ErrDeadlineExceeded); {
		case r.conn.closingGracefully.Load():
			if err == nil {
				r.conn.readUntilClosed(r.buf, r.handleReleases)
			}
			return false
		case timedOut && r.conn.transferring.Load():
			var keptHere bool
			if transferred, keptHere = r.transfer(); !keptHere {
				return transferred
			}
			continue
		case timedOut && !r.messageDeadline.IsZero(), err == transport.ErrTooLong:
			r.endMalformed()
			return false
		case timedOut:
			r.conn.events.Post(core.CallerIdle{Conn: r.conn.connID})
			continue
		case err != nil:
			return false
		}
		r.peerClosed = r.peerClosed || transport.PeerClosed(r.conn.conn) // the caller may have left while its data waited to be read
		if !r.handleMessages() {
			r.endMalformed()
			return false
		}
		runtime.Gosched() // a caller that sends at full speed gets one turn like any other
	}
}

// setReadDeadline sets when the next bytes must have arrived.
func (r *callerReader) setReadDeadline() {
	deadline := r.messageDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(r.limits.IdleTimeout)
	}
	r.conn.setReadDeadline(deadline)
}

// transfer transfers the connection to the successor. It reports whether the successor has it and, if not, whether it is read on here. The
// time that a failed transfer took does not count against the message that has begun.
func (r *callerReader) transfer() (transferred, keptHere bool) {
	begunAt := time.Now()
	transferred, keptHere = r.conn.transferToSuccessor(r.buf.Bytes())
	switch {
	case transferred:
		r.conn.events.Post(core.Transferred{Conn: r.conn.connID})
	case keptHere:
		if !r.messageDeadline.IsZero() {
			r.messageDeadline = r.messageDeadline.Add(time.Since(begunAt))
		}
		r.conn.events.Post(core.TransferFailed{Conn: r.conn.connID})
	case r.conn.closingGracefully.Load():
		r.conn.readUntilClosed(r.buf, r.handleReleases)
	}
	return transferred, keptHere
}

// handleMessages handles the messages that are complete. It returns false after a malformed one.
func (r *callerReader) handleMessages() bool {
	r.receivedAt = r.platform.loop.Now()
	for {
		msg, size, err := parseFrame(r.buf.Bytes(), r.limits.MaxMessageSize)
		if err == errIncomplete {
			break
		}
		if err == nil {
			err = r.handleMessage(msg, r.buf.Bytes()[size:])
		}
		if err != nil {
			r.platform.sampledLog.Warn().Err(err).Stringer("caller", r.conn.conn.RemoteAddr()).Msg("malformed message from a caller")
			if msg.msgType == typeSetUp {
				r.refuseSetUp(msg.callID)
			}
			return false
		}
		r.buf.Skip(size)
		r.messageDeadline = time.Time{}
	}
	if len(r.buf.Bytes()) > 0 && r.messageDeadline.IsZero() {
		r.messageDeadline = time.Now().Add(r.limits.MessageTimeout)
	}
	return true
}

// handleMessage handles a message. following holds the bytes that were read after it. A set-up whose caller no longer waits for an answer is
// discarded.
func (r *callerReader) handleMessage(msg frame, following []byte) error {
	if msg.msgType == typeSetUp && (r.peerClosed || containsGiveUp(following, msg.callID)) {
		r.discardSetUp(msg.callID)
		return nil
	}
	return r.conn.handleFrame(msg, r.receivedAt, r.takeDiscarded(msg.callID))
}

// refuseSetUp has the core refuse a set-up.
func (r *callerReader) refuseSetUp(id core.ID) {
	r.conn.events.Post(core.SetUp{ID: id, From: r.conn.connID, Class: -1, At: r.receivedAt})
}

// endMalformed has the core close the connection after a message that is malformed or incomplete, and drops what still comes. The discarded
// set-ups are refused, as the messages that give them up are malformed or follow a malformed one.
func (r *callerReader) endMalformed() {
	for id := range r.discardedSetUps {
		r.refuseSetUp(id)
	}
	r.conn.events.Post(core.CallerMalformed{Conn: r.conn.connID})
	r.conn.readUntilClosed(r.buf, r.discardInput)
}

// discardInput drops all that was read.
func (r *callerReader) discardInput() { r.buf.Skip(len(r.buf.Bytes())) }

// handleReleases handles the complete releases on a connection that is being closed, as their calls would stand at the servers otherwise.
// Other messages are dropped: a caller sends a set-up that crosses the close again. So is all input after a malformed message.
func (r *callerReader) handleReleases() {
	for !r.malformed {
		msg, size, err := parseFrame(r.buf.Bytes(), r.limits.MaxMessageSize)
		switch {
		case err == errIncomplete:
			return
		case err != nil:
			r.malformed = true
		case msg.msgType == typeSetUp:
			r.discardSetUp(msg.callID)
		case msg.msgType == typeRelease:
			r.conn.events.Post(core.CallerEnd{ID: msg.callID, From: r.conn.connID, SetUpDiscarded: r.takeDiscarded(msg.callID)})
		}
		r.buf.Skip(size)
	}
	r.discardInput()
}

// maxDiscardedSetUps is the number of discarded set-ups that are remembered on a connection. The end of a forgotten one goes to all servers.
const maxDiscardedSetUps = 300

// discardSetUp records that a set-up is not posted.
func (r *callerReader) discardSetUp(id core.ID) {
	if r.discardedSetUps == nil {
		r.discardedSetUps = make(map[core.ID]bool)
	}
	if len(r.discardedSetUps) < maxDiscardedSetUps {
		r.discardedSetUps[id] = true
	}
}

// takeDiscarded says whether the set-up of a call was discarded, and forgets that.
func (r *callerReader) takeDiscarded(id core.ID) bool {
	discarded := r.discardedSetUps[id]
	delete(r.discardedSetUps, id)
	return discarded
}

// containsGiveUp reports whether b, the bytes read after the set-up of call id, contains the whole release message by which the caller gives
// up that set-up.
func containsGiveUp(b []byte, id core.ID) bool {
	for len(b) >= lengthSize+headerSize {
		size := lengthSize + int(binary.BigEndian.Uint16(b))
		if len(b) < size {
			return false
		}
		if b[lengthSize] == typeRelease && binary.BigEndian.Uint64(b[lengthSize+1:]) == uint64(id) {
			return true
		}
		b = b[size:]
	}
	return false
}

// handleFrame posts the event for a caller's message and answers the message if the protocol requires that. setUpDiscarded
// means that the set-up which a release message ends was never posted.
func (c *callerConn) handleFrame(msg frame, receivedAt core.Time, setUpDiscarded bool) error {
	switch msg.msgType {
	case typeSetUp:
		c.events.Post(c.platform.setUpEvent(c.connID, msg, receivedAt))
	case typeRelease:
		c.events.Post(core.CallerEnd{ID: msg.callID, From: c.connID, SetUpDiscarded: setUpDiscarded})
		c.outbox.Send(transport.Message{Data: appendFrame(nil, typeReleaseAck, msg.callID, nil)})
	case typeTest:
		passed := byte(1)
		if c.platform.stopping.Load() || c.platform.draining.Load() {
			passed = 0
		}
		c.outbox.Send(transport.Message{Data: appendFrame(nil, typeTested, msg.callID, appendParam(nil, paramCause, passed))})
		c.events.Post(core.CallerTested{Conn: c.connID})
	case typeProgress, typeReleaseAck, typeGroup, typeTested:
	default:
		return fmt.Errorf("unknown message type %d", msg.msgType)
	}
	return nil
}
