package platform

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"elmseam/internal/core"
	"elmseam/internal/link"
	"elmseam/internal/probe"
	"elmseam/internal/q850"
	"elmseam/internal/settings"
)

// server is the sending side of a connection to a server.
type server struct {
	platform *Platform
	name     string
	connID   core.ConnID
	outbox   *link.Outbox

	lingerTimeout time.Duration
}

func (s *server) Close() { s.outbox.Close() }

func (s *server) Flush() { s.outbox.Flush() }

// HandleEffect writes an effect for a server.
func (s *server) HandleEffect(e core.Effect) []core.Event {
	switch e := e.(type) {
	case core.Offer:
		s.outbox.Post(link.Item{
			Data: appendOffer(nil, e, s.platform.loop.Now()), ID: uint64(e.ID), Retractable: true, Deadline: s.platform.loop.WallTime(e.Until),
			OnWritten: func() { s.platform.loop.Post(core.OfferWritten{Server: s.name, ID: e.ID}) },
			OnExpired: func() { s.platform.loop.Post(core.NotSent{Server: s.name, Conn: s.connID, ID: e.ID}) },
		})
	case core.End:
		if s.outbox.Retract(uint64(e.ID)) {
			return []core.Event{core.NotSent{Server: s.name, Conn: s.connID, ID: e.ID}}
		}
		item := link.Item{Data: appendEnd(nil, e.ID, q850.NormalClearing)}
		if e.Notify {
			item.OnWritten = func() { s.platform.loop.Post(core.EndWritten{Server: s.name, Conn: s.connID, ID: e.ID}) }
		}
		s.outbox.Post(item)
	case core.Probe:
		s.outbox.Post(link.Item{Data: fmt.Appendf(nil, `{"op":"test","call":"%016x","with":{},"why":%d}`+"\n", uint64(e.ID), testCauseReport)})
	case core.GracefulClose: // what was written last can still be read
		s.outbox.Finish(func() { time.AfterFunc(s.lingerTimeout, s.outbox.Close) })
	case core.Withdraw:
		var notSent []core.Event
		for _, id := range s.outbox.RetractAll() {
			notSent = append(notSent, core.NotSent{Server: s.name, Conn: s.connID, ID: core.ID(id)})
		}
		return notSent
	}
	return nil
}

// askReport is the cause of a test that is answered with a report.
const testCauseReport = 1

// appendOffer writes a set-up.
func appendOffer(b []byte, e core.Offer, now core.Time) []byte {
	b = fmt.Appendf(b, `{"op":"offer","call":"%016x","with":{"class":`, uint64(e.ID))
	b = appendString(b, e.Class)
	if e.NumberText != "" {
		b = appendString(append(b, `,"key":`...), e.NumberText)
	}
	timeLeft := max(e.Until-now, time.Millisecond)
	b = fmt.Appendf(b, `,"left":"%d"},"desc":`, timeLeft.Milliseconds())
	return append(appendString(b, e.Desc), '}', '\n')
}

// appendEnd writes a give-up or a release.
func appendEnd(b []byte, id core.ID, cause int) []byte {
	return fmt.Appendf(b, `{"op":"end","call":"%016x","with":{},"why":%d}`+"\n", uint64(id), cause)
}

// Dial makes a connection to a server and reads it to its end. It is a loop.Dialer.
func (p *Platform) Dial(e core.Dial) {
	cfg := p.config.Load()
	conn, err := net.DialTimeout("tcp", e.Address, cfg.DialTimeout)
	if err != nil {
		p.log.Debug().Err(err).Str("server", e.Server).Msg("server out of reach")
		p.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	p.openConns.Add(1)
	defer p.openConns.Add(-1)
	defer conn.Close()
	s := &server{platform: p, name: e.Server, connID: p.loop.NewConnID(), outbox: link.NewOutbox(conn, cfg.ServerConn), lingerTimeout: cfg.ServerConn.LingerTimeout}
	p.loop.Attach(s.connID, s, core.ServerUp{Server: e.Server, Address: e.Address, Conn: s.connID})
	err = s.readLines(conn, cfg.ServerConn)
	p.log.Info().Err(err).Str("server", e.Server).Msg("connection to server ended")
	p.loop.Post(core.ServerDown{Server: e.Server, Conn: s.connID})
}

// read takes in a server's lines.
func (s *server) readLines(conn net.Conn, limits link.Limits) error {
	buf := link.NewBuffer(limits.InitialBufferSize, limits.MaxMessageSize)
	var lastReport time.Time // its state, last
	partial := false
	silent := false
	for {
		silenceTimeout := s.platform.silence.timeout(limits.MaxSilence)
		switch now := time.Now(); {
		case len(buf.Bytes()) > 0 && !partial: // the line must be whole by then
			partial = true
			conn.SetReadDeadline(now.Add(limits.LineTimeout))
		case partial:
		case lastReport.IsZero() || silenceTimeout == 0:
			conn.SetReadDeadline(time.Time{})
		case silent: // an interval later it is looked at again
			conn.SetReadDeadline(now.Add(silenceTimeout / silenceIntervals))
		default:
			conn.SetReadDeadline(now.Add(silenceTimeout))
		}
		err := buf.Fill(conn)
		switch {
		case err == nil:
			silent = false
		case errors.Is(err, os.ErrDeadlineExceeded) && !partial && silenceTimeout > 0:
			silent = true
			s.platform.loop.Post(core.ServerSilent{Server: s.name, Conn: s.connID, For: silenceTimeout})
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
			if err != nil { // the end of the attempt it was for, and of no other
				s.platform.sampledLog.Warn().Err(err).Str("server", s.name).Int("bytes", lineEnd).Msg("a server's message can't be read")
				s.platform.loop.Post(core.ServerMalformed{Server: s.name, Conn: s.connID, ID: callIDIn(b[:lineEnd])})
			} else if now := time.Now(); msg.op == "group" {
				if !lastReport.IsZero() {
					s.platform.silence.observe(now.Sub(lastReport))
				}
				lastReport = now
			}
			partial = false
			buf.Skip(lineEnd + 1)
		}
	}
}

// callNamed is how a line names the call it is for.
var callField = regexp.MustCompile(`"call"\s*:\s*"([0-9a-fA-F]{16})"`)

// callIn is the call that a line names which can't be read; 0: none, or more than one.
func callIDIn(b []byte) core.ID {
	matches := callField.FindAllSubmatch(b, 2)
	if len(matches) != 1 {
		return 0
	}
	id, _ := strconv.ParseUint(string(matches[0][1]), 16, 64)
	return core.ID(id)
}

// pulse tells when a connection has died that stays open. Servers tell the state of their group at intervals of
// their own; when a few of them have passed without a line, nothing that is out there will be answered either.
// What one connection has taught holds for the next.
type silenceDetector struct {
	mu          sync.Mutex
	maxInterval time.Duration // the longest of late
	intervals   int
}

// Intervals that must have been seen, how many of the longest make a silence, and how slowly that one fades.
const (
	minIntervals     = 3
	silenceIntervals = 3
	maxIntervalDecay = 32
)

// told takes in the time between two states.
func (d *silenceDetector) observe(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.intervals++
	d.maxInterval = max(interval, d.maxInterval+(interval-d.maxInterval)/maxIntervalDecay)
}

// silence is how long a connection may bring nothing; 0: for ever.
func (d *silenceDetector) timeout(maxSilence time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.intervals < minIntervals {
		return 0
	}
	return min(silenceIntervals*d.maxInterval, maxSilence)
}

// take passes a server's message on.
func (s *server) handleMessage(msg serverMessage) error {
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
		s.platform.loop.Post(core.ServerAnswer{Server: s.name, Conn: s.connID, ID: id, Desc: []byte(msg.desc), Report: report})
	case "end":
		s.platform.loop.Post(core.ServerEnd{
			Server: s.name, Conn: s.connID, ID: id, Reason: q850.ReasonFromCause(msg.cause), Refusal: q850.RefusalFromNote(msg.note), Report: report,
			RefusalOnly: isRefusalCause(msg.cause),
		})
	case "group":
		if report != nil {
			s.platform.loop.Post(core.ServerReport{Server: s.name, Conn: s.connID, Report: report})
		}
	case "test":
		s.outbox.Post(link.Item{Data: fmt.Appendf(nil, `{"op":"tested","call":"%016x","with":{},"why":1}`+"\n", uint64(id))})
	case "tested":
		s.platform.loop.Post(core.ServerProbeAnswer{Server: s.name, Conn: s.connID, ID: probe.ID(id), Report: report})
	case "ringing", "ended":
	default:
		return fmt.Errorf("a message of the unknown type %q", msg.op)
	}
	return nil
}

// refuses says whether a cause is the answer to a set-up, and never the end of a call that stands.
func isRefusalCause(cause int) bool {
	switch q850.ReasonFromCause(cause) {
	case core.Normal, core.Reset:
		return false
	}
	return true
}

// report reads a load report: each value by its name, whatever the order.
func parseReport(text string) (values core.Report) {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		number, err := strconv.ParseFloat(value, 64)
		if metric := settings.LoadMetric(name); err == nil && metric != 0 && len(values) < maxReportValues {
			values = append(values, core.LoadValue{Metric: metric, Value: number})
		}
	}
	return values
}

// mostTold is more than the values that a report has.
const maxReportValues = 16
