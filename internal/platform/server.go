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
	p    *Platform
	name string
	link core.ConnID
	out  *link.Outbox

	linger time.Duration
}

func (s *server) Close() { s.out.Close() }

func (s *server) Flush() { s.out.Flush() }

// HandleEffect writes an effect for a server.
func (s *server) HandleEffect(e core.Effect) []core.Event {
	switch e := e.(type) {
	case core.Offer:
		s.out.Post(link.Item{
			Data: appendOffer(nil, e, s.p.loop.Now()), ID: uint64(e.ID), Retractable: true, Deadline: s.p.loop.WallTime(e.Until),
			OnWritten: func() { s.p.loop.Post(core.OfferWritten{Server: s.name, ID: e.ID}) },
			OnExpired: func() { s.p.loop.Post(core.NotSent{Server: s.name, Conn: s.link, ID: e.ID}) },
		})
	case core.End:
		if s.out.Retract(uint64(e.ID)) {
			return []core.Event{core.NotSent{Server: s.name, Conn: s.link, ID: e.ID}}
		}
		it := link.Item{Data: appendEnd(nil, e.ID, q850.NormalClearing)}
		if e.Notify {
			it.OnWritten = func() { s.p.loop.Post(core.EndWritten{Server: s.name, Conn: s.link, ID: e.ID}) }
		}
		s.out.Post(it)
	case core.Probe:
		s.out.Post(link.Item{Data: fmt.Appendf(nil, `{"op":"test","call":"%016x","with":{},"why":%d}`+"\n", uint64(e.ID), askReport)})
	case core.GracefulClose: // what was written last can still be read
		s.out.Finish(func() { time.AfterFunc(s.linger, s.out.Close) })
	case core.Withdraw:
		var back []core.Event
		for _, id := range s.out.RetractAll() {
			back = append(back, core.NotSent{Server: s.name, Conn: s.link, ID: core.ID(id)})
		}
		return back
	}
	return nil
}

// askReport is the cause of a test that is answered with a report.
const askReport = 1

// appendOffer writes a set-up.
func appendOffer(b []byte, e core.Offer, now core.Time) []byte {
	b = fmt.Appendf(b, `{"op":"offer","call":"%016x","with":{"class":`, uint64(e.ID))
	b = appendText(b, e.Class)
	if e.NumberText != "" {
		b = appendText(append(b, `,"key":`...), e.NumberText)
	}
	left := max(e.Until-now, time.Millisecond)
	b = fmt.Appendf(b, `,"left":"%d"},"desc":`, left.Milliseconds())
	return append(appendText(b, e.Desc), '}', '\n')
}

// appendEnd writes a give-up or a release.
func appendEnd(b []byte, id core.ID, cause int) []byte {
	return fmt.Appendf(b, `{"op":"end","call":"%016x","with":{},"why":%d}`+"\n", uint64(id), cause)
}

// Dial makes a connection to a server and reads it to its end. It is a loop.Dialer.
func (p *Platform) Dial(e core.Dial) {
	told := p.told.Load()
	conn, err := net.DialTimeout("tcp", e.Address, told.DialTimeout)
	if err != nil {
		p.log.Debug().Err(err).Str("server", e.Server).Msg("server out of reach")
		p.loop.Post(core.ServerDown{Server: e.Server, Address: e.Address})
		return
	}
	p.open.Add(1)
	defer p.open.Add(-1)
	defer conn.Close()
	s := &server{p: p, name: e.Server, link: p.loop.NewConnID(), out: link.NewOutbox(conn, told.ServerConn), linger: told.ServerConn.LingerTimeout}
	p.loop.Attach(s.link, s, core.ServerUp{Server: e.Server, Address: e.Address, Conn: s.link})
	err = s.read(conn, told.ServerConn)
	p.log.Info().Err(err).Str("server", e.Server).Msg("connection to server ended")
	p.loop.Post(core.ServerDown{Server: e.Server, Conn: s.link})
}

// read takes in a server's lines.
func (s *server) read(conn net.Conn, limits link.Limits) error {
	in := link.NewBuffer(limits.InitialBufferSize, limits.MaxMessageSize)
	var told time.Time // its state, last
	partial := false
	silent := false
	for {
		wait := s.p.pulse.silence(limits.MaxSilence)
		switch now := time.Now(); {
		case len(in.Bytes()) > 0 && !partial: // the line must be whole by then
			partial = true
			conn.SetReadDeadline(now.Add(limits.LineTimeout))
		case partial:
		case told.IsZero() || wait == 0:
			conn.SetReadDeadline(time.Time{})
		case silent: // an interval later it is looked at again
			conn.SetReadDeadline(now.Add(wait / pulseTimes))
		default:
			conn.SetReadDeadline(now.Add(wait))
		}
		err := in.Fill(conn)
		switch {
		case err == nil:
			silent = false
		case errors.Is(err, os.ErrDeadlineExceeded) && !partial && wait > 0:
			silent = true
			s.p.loop.Post(core.ServerSilent{Server: s.name, Conn: s.link, For: wait})
			continue
		default:
			return err
		}
		for {
			b := in.Bytes()
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				break
			}
			l, err := parseLine(b[:end])
			if err == nil {
				err = s.take(l)
			}
			if err != nil { // the end of the attempt it was for, and of no other
				s.p.loud.Warn().Err(err).Str("server", s.name).Int("bytes", end).Msg("a server's message can't be read")
				s.p.loop.Post(core.ServerMalformed{Server: s.name, Conn: s.link, ID: callIn(b[:end])})
			} else if now := time.Now(); l.op == "group" {
				if !told.IsZero() {
					s.p.pulse.told(now.Sub(told))
				}
				told = now
			}
			partial = false
			in.Skip(end + 1)
		}
	}
}

// callNamed is how a line names the call it is for.
var callNamed = regexp.MustCompile(`"call"\s*:\s*"([0-9a-fA-F]{16})"`)

// callIn is the call that a line names which can't be read; 0: none, or more than one.
func callIn(b []byte) core.ID {
	named := callNamed.FindAllSubmatch(b, 2)
	if len(named) != 1 {
		return 0
	}
	id, _ := strconv.ParseUint(string(named[0][1]), 16, 64)
	return core.ID(id)
}

// pulse tells when a connection has died that stays open. Servers tell the state of their group at intervals of
// their own; when a few of them have passed without a line, nothing that is out there will be answered either.
// What one connection has taught holds for the next.
type pulse struct {
	mu       sync.Mutex
	interval time.Duration // the longest of late
	seen     int
}

// Intervals that must have been seen, how many of the longest make a silence, and how slowly that one fades.
const (
	pulseSeen  = 3
	pulseTimes = 3
	pulseFade  = 32
)

// told takes in the time between two states.
func (p *pulse) told(interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen++
	p.interval = max(interval, p.interval+(interval-p.interval)/pulseFade)
}

// silence is how long a connection may bring nothing; 0: for ever.
func (p *pulse) silence(most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen < pulseSeen {
		return 0
	}
	return min(pulseTimes*p.interval, most)
}

// take passes a server's message on.
func (s *server) take(l line) error {
	var id core.ID
	if l.op != "group" {
		n, err := strconv.ParseUint(l.call, 16, 64)
		if err != nil {
			return fmt.Errorf("call %q: %w", l.call, errJSON)
		}
		id = core.ID(n)
	}
	report := report(l.load)
	switch l.op {
	case "accept":
		s.p.loop.Post(core.ServerAnswer{Server: s.name, Conn: s.link, ID: id, Desc: []byte(l.desc), Report: report})
	case "end":
		s.p.loop.Post(core.ServerEnd{
			Server: s.name, Conn: s.link, ID: id, Reason: q850.ReasonFromCause(l.why), Refusal: q850.RefusalFromNote(l.note), Report: report,
			RefusalOnly: refuses(l.why),
		})
	case "group":
		if report != nil {
			s.p.loop.Post(core.ServerReport{Server: s.name, Conn: s.link, Report: report})
		}
	case "test":
		s.out.Post(link.Item{Data: fmt.Appendf(nil, `{"op":"tested","call":"%016x","with":{},"why":1}`+"\n", uint64(id))})
	case "tested":
		s.p.loop.Post(core.ServerProbeAnswer{Server: s.name, Conn: s.link, ID: probe.ID(id), Report: report})
	case "ringing", "ended":
	default:
		return fmt.Errorf("a message of the unknown type %q", l.op)
	}
	return nil
}

// refuses says whether a cause is the answer to a set-up, and never the end of a call that stands.
func refuses(cause int) bool {
	switch q850.ReasonFromCause(cause) {
	case core.Normal, core.Reset:
		return false
	}
	return true
}

// report reads a load report: each value by its name, whatever the order.
func report(text string) (r core.Report) {
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(value, 64)
		if f := settings.LoadMetric(name); err == nil && f != 0 && len(r) < mostTold {
			r = append(r, core.LoadValue{Metric: f, Value: n})
		}
	}
	return r
}

// mostTold is more than the values that a report has.
const mostTold = 16
