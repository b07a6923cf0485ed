package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/probe"
	"elmseam/internal/q850"
	"elmseam/internal/settings"
	"elmseam/internal/transport"
)

// serverConn is a connection to a server. Its methods Close, Flush and HandleEffect make it the loop.EffectHandler of that
// connection; readLines receives the server's messages.
type serverConn struct {
	platform *Platform
	name     string // name of the server
	connID   core.ConnID
	events   *loop.Source // posts what comes on the connection
	outbox   *transport.Outbox

	lingerTimeout time.Duration // between the half-close and the close of a graceful close
}

// Close closes the connection immediately.
func (s *serverConn) Close() { s.outbox.Close() }

// Flush waits for a short, bounded time until all queued messages are written.
func (s *serverConn) Flush() { s.outbox.Flush() }

// HandleEffect sends the message for an effect to the server. It returns core.NotSent for offers that it could not queue or could withdraw.
func (s *serverConn) HandleEffect(e core.Effect) []core.Event {
	switch e := e.(type) {
	case core.Offer:
		queued := s.outbox.Send(transport.Message{
			Data: appendOffer(nil, e, s.platform.loop.Now()), ID: uint64(e.ID), Withdrawable: true, Deadline: s.platform.loop.WallTime(e.Until),
			OnWritten: func() { s.platform.loop.Post(core.OfferWritten{Server: s.name, ID: e.ID}) },
			OnExpired: func() { s.platform.loop.Post(core.NotSent{Server: s.name, Conn: s.connID, ID: e.ID}) },
		})
		if !queued {
			return []core.Event{core.NotSent{Server: s.name, Conn: s.connID, ID: e.ID}}
		}
	case core.End:
		if s.outbox.Withdraw(uint64(e.ID)) {
			return []core.Event{core.NotSent{Server: s.name, Conn: s.connID, ID: e.ID}}
		}
		message := transport.Message{Data: appendEnd(nil, e.ID, q850.NormalClearing), Optional: e.Unknown}
		if e.Notify {
			message.OnWritten = func() { s.platform.loop.Post(core.EndWritten{Server: s.name, Conn: s.connID, ID: e.ID}) }
		}
		if !s.outbox.Send(message) && e.Unknown {
			s.platform.sampledLog.Warn().Str("server", s.name).Uint64("call", uint64(e.ID)).Msg("release of an unknown call dropped: the server's queue is full or closed")
		}
	case core.Probe:
		s.outbox.Send(transport.Message{Data: fmt.Appendf(nil, `{"op":"test","call":"%016x","with":{},"why":%d}`+"\n", uint64(e.ID), testCauseLoadReport)})
	case core.GracefulClose: // the server gets lingerTimeout to read the last messages
		s.outbox.Finish(func() { time.AfterFunc(s.lingerTimeout, s.outbox.Close) })
	case core.Withdraw:
		var notSent []core.Event
		for _, id := range s.outbox.WithdrawAll() {
			notSent = append(notSent, core.NotSent{Server: s.name, Conn: s.connID, ID: core.ID(id)})
		}
		return notSent
	}
	return nil
}

// testCauseLoadReport is the value of the key "why" in a test message that asks the server for a load report in its answer.
const testCauseLoadReport = 1

// appendOffer appends the message that offers a set-up to a server. The time left in it is at least 1 ms.
func appendOffer(b []byte, e core.Offer, now core.Time) []byte {
	b = fmt.Appendf(b, `{"op":"offer","call":"%016x","with":{"class":`, uint64(e.ID))
	b = appendString(b, e.ClassName)
	if e.NumberText != "" {
		b = appendString(append(b, `,"key":`...), e.NumberText)
	}
	timeLeft := max(e.Until-now, time.Millisecond)
	b = fmt.Appendf(b, `,"left":"%d"},"desc":`, timeLeft.Milliseconds())
	return append(appendString(b, e.Desc), '}', '\n')
}

// appendEnd appends the message that gives an attempt up or releases a call.
func appendEnd(b []byte, id core.ID, cause int) []byte {
	return fmt.Appendf(b, `{"op":"end","call":"%016x","with":{},"why":%d}`+"\n", uint64(id), cause)
}

// Dial connects to a server and reads the connection until it ends. It is a loop.Dialer.
func (p *Platform) Dial(e core.Dial) {
	cfg := p.config.Load()
	conn, err := net.DialTimeout("tcp", e.Address, cfg.ConnectTimeout)
	if err != nil {
		p.log.Debug().Err(err).Str("server", e.Server).Msg("server unreachable")
		p.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address, End: connEnd(err)})
		return
	}
	p.connsOutsideAcceptor.Add(1)
	defer p.connsOutsideAcceptor.Add(-1)
	defer conn.Close()
	s := &serverConn{platform: p, name: e.Server, connID: p.loop.NewConnID(), events: p.loop.NewSource(), outbox: transport.NewOutbox(conn, cfg.ServerConn, cfg.ServerQueues),
		lingerTimeout: cfg.ServerConn.LingerTimeout}
	p.log.Info().Str("server", e.Server).Uint64("conn", uint64(s.connID)).Str("address", e.Address).Msg("connection to server made")
	p.loop.Attach(s.connID, s, core.ServerUp{Server: e.Server, Address: e.Address, Conn: s.connID})
	err = s.readLines(conn, cfg.ServerConn)
	p.log.Info().Err(err).Str("server", e.Server).Uint64("conn", uint64(s.connID)).Msg("connection to server ended")
	s.events.Post(core.ServerDown{Server: e.Server, Conn: s.connID, End: connEnd(err)})
}

// connEnd says what the server's side did when a connection ended, or could not be made, with the error.
func connEnd(err error) core.ConnEnd {
	switch {
	case errors.Is(err, io.EOF):
		return core.ConnEndClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ECONNREFUSED):
		return core.ConnEndReset
	}
	return core.ConnEndSilent
}

// readLines reads a server's messages until the connection ends, and returns the error that ended it.
func (s *serverConn) readLines(conn net.Conn, limits transport.Limits) error {
	buf := transport.NewBuffer(limits.InitialBufferSize, limits.MaxMessageSize)
	var lastReport time.Time // when the server's last state report arrived; zero: none yet
	lineBegun := false       // a line has arrived in part, and the read deadline for its rest is set
	reportedSilent := false  // the core was told that the server is silent, and nothing has come since
	for {
		silenceTimeout := s.platform.serverSilence.silenceTimeout(limits.MaxSilence)
		switch now := time.Now(); {
		case len(buf.Bytes()) > 0 && !lineBegun: // the rest of the line must arrive within the line timeout
			lineBegun = true
			conn.SetReadDeadline(now.Add(limits.LineTimeout))
		case lineBegun:
		case lastReport.IsZero() || silenceTimeout == 0:
			conn.SetReadDeadline(time.Time{})
		case reportedSilent: // reported as silent: check again at most one report interval later
			conn.SetReadDeadline(now.Add(silenceTimeout / intervalsUntilSilent))
		default:
			conn.SetReadDeadline(now.Add(silenceTimeout))
		}
		err := buf.Fill(conn)
		switch {
		case err == nil:
			reportedSilent = false
		case errors.Is(err, os.ErrDeadlineExceeded) && !lineBegun && silenceTimeout > 0:
			reportedSilent = true
			s.events.Post(core.ServerSilent{Server: s.name, Conn: s.connID, SilentFor: silenceTimeout})
			continue
		default:
			return err
		}
		for {
			b := buf.Bytes()
			lineEnd := bytes.IndexByte(b, '\n')
			if lineEnd < 0 {
				break
			}
			msg, err := parseServerMessage(b[:lineEnd])
			if err == nil {
				err = s.handleMessage(msg)
			}
			if err != nil { // the core ends only the attempt that the message was for
				s.platform.sampledLog.Warn().Err(err).Str("server", s.name).Int("bytes", lineEnd).Msg("malformed message from a server")
				s.events.Post(core.ServerMalformed{Server: s.name, Conn: s.connID, ID: callIDOfMalformedLine(b[:lineEnd])})
			} else if now := time.Now(); msg.op == "group" {
				if !lastReport.IsZero() {
					s.platform.serverSilence.observeInterval(now.Sub(lastReport))
				}
				lastReport = now
			}
			lineBegun = false
			buf.Skip(lineEnd + 1)
		}
	}
}

// callIDField matches the field of a line that names the line's call.
var callIDField = regexp.MustCompile(`"call"\s*:\s*"([0-9a-fA-F]{16})"`)

// callIDOfMalformedLine returns the id of the call that a malformed line names, or 0 if the line has no callIDField or more
// than one.
func callIDOfMalformedLine(b []byte) core.ID {
	matches := callIDField.FindAllSubmatch(b, 2)
	if len(matches) != 1 {
		return 0
	}
	id, _ := strconv.ParseUint(string(matches[0][1]), 16, 64)
	return core.ID(id)
}

// silenceDetector detects connections that are open but dead. Servers send reports of their group's state at intervals of their
// own choice. When several such intervals have passed without a line from a server, the set-ups outstanding on the connection
// will not be answered either. One detector serves all connections, so a new connection uses the intervals seen before it, once
// its first report has arrived.
type silenceDetector struct {
	mu            sync.Mutex    // guards the fields below
	maxInterval   time.Duration // recent maximum of the time between two reports
	intervalCount int           // number of intervals observed
}

// Parameters of silenceDetector.
const (
	minObservedIntervals = 3  // intervals that must be observed before any connection counts as silent
	intervalsUntilSilent = 3  // number of maximum intervals without a line after which a connection counts as silent
	maxIntervalDecay     = 32 // an interval shorter than the maximum lowers the maximum by 1/32 of their difference
)

// observeInterval records the time between two state reports on one connection.
func (d *silenceDetector) observeInterval(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.intervalCount++
	d.maxInterval = max(interval, d.maxInterval+(interval-d.maxInterval)/maxIntervalDecay)
}

// silenceTimeout returns how long a connection may stay without a line, at most maxSilence. 0 means without limit, as long as
// too few intervals have been observed.
func (d *silenceDetector) silenceTimeout(maxSilence time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.intervalCount < minObservedIntervals {
		return 0
	}
	return min(intervalsUntilSilent*d.maxInterval, maxSilence)
}

// handleMessage posts the event for a server's message and answers the message if the protocol requires that.
func (s *serverConn) handleMessage(msg serverMessage) error {
	var id core.ID
	if msg.op != "group" {
		n, err := strconv.ParseUint(msg.call, 16, 64)
		if err != nil {
			return fmt.Errorf("call %q: %w", msg.call, errJSON)
		}
		id = core.ID(n)
	}
	report := parseReport(msg.loadReport)
	switch msg.op {
	case "accept":
		s.events.Post(core.ServerAnswer{Server: s.name, Conn: s.connID, ID: id, Desc: []byte(msg.desc), Report: report})
	case "end":
		s.events.Post(core.ServerEnd{
			Server: s.name, Conn: s.connID, ID: id, Reason: q850.ReasonFromCause(msg.cause), Refusal: q850.RefusalFromNote(msg.note), Report: report,
			RefusalOnly: isRefusalCause(msg.cause),
		})
	case "group":
		if report != nil {
			s.events.Post(core.ServerReport{Server: s.name, Conn: s.connID, Report: report})
		}
	case "test":
		s.outbox.Send(transport.Message{Data: fmt.Appendf(nil, `{"op":"tested","call":"%016x","with":{},"why":1}`+"\n", uint64(id))})
	case "tested":
		s.events.Post(core.ServerProbeAnswer{Server: s.name, Conn: s.connID, ID: probe.ID(id), Report: report})
	case "ringing", "ended":
	default:
		return fmt.Errorf("unknown message type %q", msg.op)
	}
	return nil
}

// isRefusalCause reports whether a cause can only refuse a set-up, never release an established call.
func isRefusalCause(cause int) bool {
	switch q850.ReasonFromCause(cause) {
	case core.ReasonNormal, core.ReasonReset:
		return false
	}
	return true
}

// parseReport decodes a load report, "name:value" pairs in any order, separated by semicolons. It skips unknown and malformed
// values, and values beyond maxReportValues.
func parseReport(text string) (values core.Report) {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		number, err := strconv.ParseFloat(value, 64)
		if metric := settings.LoadMetricByName(name); err == nil && metric != 0 && len(values) < maxReportValues {
			values = append(values, core.LoadValue{Metric: metric, Value: number})
		}
	}
	return values
}

// maxReportValues is the maximum number of values taken from a report, more than the protocol defines.
const maxReportValues = 16
