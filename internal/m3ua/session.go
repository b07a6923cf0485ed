package m3ua

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/transport"
)

// session is the part that callerConn and serverConn share: reading, heartbeats and error reports.
type session struct {
	m3ua        *M3UA
	conn        net.Conn
	limits      transport.Limits
	events      *loop.Source // posts what comes on the connection
	outbox      *transport.Outbox
	paced       bool                                  // a peer that does not read is not read either
	peerClosed  bool                                  // a caller had closed its side before what was read last was handled
	handleOther func(msg message, at core.Time) error // handles the messages that dispatch does not
	lastInputAt core.Time                             // when the peer last sent something, or when the session began
}

// newSession returns a session on an open connection. What it queues counts in the budget.
func (m *M3UA) newSession(conn net.Conn, limits transport.Limits, queues *transport.Budget) session {
	return session{m3ua: m, conn: conn, limits: limits, events: m.loop.NewSource(), outbox: transport.NewOutbox(conn, limits, queues), lastInputAt: m.loop.Now()}
}

// errMessageTimeout ends a connection whose peer takes longer than MessageTimeout to send one message.
var errMessageTimeout = errors.New("message was not complete in time")

// send queues a message.
func (s *session) send(kind uint16, params ...param) {
	s.outbox.Send(transport.Message{Data: buildMessage(kind, params...)})
}

// read reads and dispatches messages until the connection ends. It answers a malformed or unexpected message with an
// ERR, and returns if the framing is lost or the peer has sent maxMalformedMessages of such messages. It sends
// heartbeats to a silent peer, and returns when the peer has sent nothing after maxUnansweredHeartbeats of them. It also
// returns if a message is not complete within MessageTimeout, whether the peer stopped sending or sends byte by byte.
// The error is never nil.
func (s *session) read() error {
	buf := transport.NewBuffer(s.limits.InitialBufferSize, s.limits.MaxMessageSize)
	heartbeatInterval := time.Duration(s.m3ua.HeartbeatMS) * time.Millisecond
	malformedCount, unansweredHeartbeats := 0, 0
	var messageDeadline time.Time // by when the message being read must be complete; zero between messages
	for {
		if s.paced {
			runtime.Gosched() // a caller that sends at full speed gets one turn like any other
			s.outbox.WaitForRoom(func() bool { return false })
		}
		readDeadline := time.Now().Add(heartbeatInterval)
		if !messageDeadline.IsZero() && messageDeadline.Before(readDeadline) {
			readDeadline = messageDeadline
		}
		s.conn.SetReadDeadline(readDeadline)
		err := buf.Fill(s.conn)
		if !messageDeadline.IsZero() && !time.Now().Before(messageDeadline) {
			return errMessageTimeout
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && unansweredHeartbeats < maxUnansweredHeartbeats {
			unansweredHeartbeats++
			s.send(msgBEAT, param{tagHeartbeat, []byte("elmseam")})
			continue
		}
		if err != nil {
			return err
		}
		unansweredHeartbeats = 0
		receivedAt := s.m3ua.loop.Now()
		s.lastInputAt = receivedAt
		s.peerClosed = s.peerClosed || s.paced && transport.PeerClosed(s.conn)
		for {
			msg, size, err := parseMessage(buf.Bytes(), s.limits.MaxMessageSize)
			if err == errIncomplete {
				break
			}
			messageDeadline = time.Time{} // the next message gets a deadline of its own
			if err == nil {
				err = s.dispatch(msg, receivedAt)
			}
			if protoErr, ok := err.(*protocolError); ok {
				if malformedCount++; malformedCount == 1 {
					s.m3ua.sampledLog.Warn().Err(err).Stringer("peer", s.conn.RemoteAddr()).Msg("malformed signalling")
				}
				s.send(msgERR, uint32Param(tagErrorCode, protoErr.code))
				if protoErr.fatal || malformedCount >= maxMalformedMessages {
					return err
				}
			} else if err != nil {
				return err
			}
			buf.Skip(size)
		}
		if len(buf.Bytes()) > 0 && messageDeadline.IsZero() {
			messageDeadline = time.Now().Add(s.limits.MessageTimeout)
		}
	}
}

// maxUnansweredHeartbeats is the number of heartbeats in a row that a silent peer is sent before its connection is
// closed.
const maxUnansweredHeartbeats = 2

// maxMalformedMessages is the number of malformed or unexpected messages after which a connection is closed.
const maxMalformedMessages = 8

// dispatch handles the messages that both callers and servers may send, and passes all others to handleOther.
func (s *session) dispatch(msg message, receivedAt core.Time) error {
	switch msg.kind {
	case msgBEAT:
		var reply []param
		if v, ok := msg.paramValue(tagHeartbeat); ok {
			reply = append(reply, param{tagHeartbeat, append([]byte(nil), v...)})
		}
		s.send(msgBEATACK, reply...)
		return nil
	case msgBEATACK, msgDUPU, msgDRST:
		return nil
	case msgERR:
		code, _ := msg.uint32Value(tagErrorCode)
		s.m3ua.sampledLog.Warn().Uint32("code", code).Stringer("peer", s.conn.RemoteAddr()).Msg("peer reports an error")
		return nil
	}
	return s.handleOther(msg, receivedAt)
}

// unexpectedMessage returns the error for a message of unknown class or type, or that the peer may not send, at all or in
// the present state.
func unexpectedMessage(kind uint16) error {
	switch {
	case kind>>8 > 4:
		return &protocolError{errCodeUnsupportedClass, fmt.Sprintf("unsupported message class %d", kind>>8), false}
	case kind == msgNTFY || kind == msgDATA || kind>>8 == 2 && kind&0xff <= 6 && kind&0xff > 0 ||
		kind>>8 == 3 && kind&0xff <= 6 && kind&0xff > 0 || kind>>8 == 4 && kind&0xff <= 4 && kind&0xff > 0:
		return &protocolError{errCodeUnexpectedMessage, fmt.Sprintf("unexpected message %#04x", kind), false}
	}
	return &protocolError{errCodeUnsupportedType, fmt.Sprintf("unknown message type %#04x", kind), false}
}
