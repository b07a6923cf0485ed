package wire

import (
	"fmt"
	"io"
	"time"

	"elmseam"
	"elmseam/internal/membership"
	"elmseam/internal/settings"
)

// Event codes.
const (
	evHealth   = 16
	evKilled   = 17
	evArrival  = 18
	evManifest = 19
	evDone     = 20
	evDue      = 21
	evUpdate   = 22
	evAckFirst = 23
	evVanished = 24
	evTo       = 25
	evUp       = 26
	evPeerData = 27
)

// Action codes.
const (
	acContext  = 16
	acForward  = 17
	acDefer    = 18
	acFailure  = 20
	acDrop     = 21
	acBroken   = 23
	acWatch    = 24
	acAnnounce = 25
	acDeny     = 26
)

// Scopes of a list update.
const (
	scopeDelta = iota
	scopeFull
	scopeCached
	scopeFailed
)

// Request flags.
const (
	flagTransit = 8
	flagCut     = 16
)

// maxLists is how many numbered lists there can be.
const maxLists = 16

// causes maps the wire's outcome codes.
var causes = map[byte]elmseam.Cause{
	10: elmseam.CauseEnded,
	20: elmseam.CauseBusy,
	30: elmseam.CauseFull,
	40: elmseam.CauseTimeout,
	50: elmseam.CauseUnreachable,
	60: elmseam.CauseReset,
	70: elmseam.CauseCancelled,
	80: elmseam.CauseNotSent,
}

// Host runs one Controller for each instance of a stream of batches. The instances share nothing.
type Host struct {
	instances map[uint16]*elmseam.Controller
	lists     map[uint32][]elmseam.ListEntry
	current   uint16 // instance that the events are for
	spoken    uint16 // instance that the last context record named
	hasSpoken bool
	actions   []elmseam.Action
	reply     Reply
	limits    *membership.Limits // of the tier's membership; nil: it is off
	members   map[uint16]*member
}

// NewHost makes a host without instances.
func NewHost() *Host {
	return &Host{
		instances: make(map[uint16]*elmseam.Controller),
		lists:     make(map[uint32][]elmseam.ListEntry),
		members:   make(map[uint16]*member),
	}
}

// Serve answers batches from r on w, one write a batch, until the input ends between two of them.
func (h *Host) Serve(r io.Reader, w io.Writer, flush func() error) error {
	for {
		batch, err := ReadBatch(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.answer(batch); err != nil {
			return err
		}
		if err := h.reply.WriteTo(w, batch.Seq); err != nil {
			return err
		}
		if err := flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// answer handles the events of a batch in order.
func (h *Host) answer(b *Batch) error {
	h.hasSpoken = false
	now := time.Duration(b.Clock) * time.Microsecond
	for i := range b.Len() {
		if err := h.event(b, b.record(i), now); err != nil {
			return fmt.Errorf("batch %d record %d: %w", b.Seq, i, err)
		}
	}
	return nil
}

// event handles one record.
func (h *Host) event(b *Batch, rec []byte, now elmseam.Time) error {
	switch rec[0] {
	case evTo:
		h.current = le.Uint16(rec[1:])
		return nil
	case evManifest:
		raw, err := b.span(le.Uint32(rec[5:]), le.Uint32(rec[9:]), entrySize)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		slot := le.Uint32(rec[1:])
		if slot >= maxLists {
			return fmt.Errorf("list %d: %d is the last number", slot, maxLists-1)
		}
		h.lists[slot] = decodeEntries(raw)
		return nil
	case evKilled:
		delete(h.instances, h.current)
		delete(h.members, h.current)
		return nil
	case evUp:
		text, err := b.span(le.Uint32(rec[9:]), le.Uint32(rec[13:]), 1)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		h.start(text, le.Uint64(rec[1:]))
		h.join(text, le.Uint64(rec[1:]), now)
		return nil
	case evPeerData:
		d, err := b.peerData(rec)
		if err != nil {
			return fmt.Errorf("peer data: %w", err)
		}
		h.step(now, d)
		return nil
	case evDue:
		h.due(now, le.Uint32(rec[1:]))
	}
	ev, err := h.decode(rec)
	if err != nil {
		return err
	}
	if c := h.instances[h.current]; c != nil {
		h.handle(c, now, ev)
	}
	return nil
}

// start makes the current instance anew.
func (h *Host) start(text []byte, seed uint64) {
	delete(h.instances, h.current)
	set, err := settings.Decode(text)
	if err == nil {
		var c *elmseam.Controller
		if c, err = elmseam.New(set, seed); err == nil {
			h.instances[h.current] = c
			return
		}
	}
	h.broken(err.Error())
}

// handle passes an event to a controller and writes down its actions. A panic there is reported as
// the wire's failure action.
func (h *Host) handle(c *elmseam.Controller, now elmseam.Time, ev elmseam.Event) {
	defer func() {
		if p := recover(); p != nil {
			delete(h.instances, h.current)
			h.broken(fmt.Sprintf("panic: %v", p))
		}
	}()
	h.actions = c.Handle(now, ev, h.actions[:0])
	for _, a := range h.actions {
		h.encode(a)
	}
}

// broken declares that the current instance has failed.
func (h *Host) broken(text string) {
	h.speak()
	h.reply.addText(acBroken, text)
}

// speak names the current instance unless the last record was its own already.
func (h *Host) speak() {
	if h.hasSpoken && h.spoken == h.current {
		return
	}
	h.spoken, h.hasSpoken = h.current, true
	le.PutUint16(h.reply.add(acContext)[1:], h.current)
}

// decode reads an event that is for a controller.
func (h *Host) decode(rec []byte) (elmseam.Event, error) {
	switch rec[0] {
	case evArrival:
		return decodeArrival(rec), nil
	case evAckFirst:
		return elmseam.Established{
			Call: elmseam.CallID(le.Uint32(rec[1:])), Server: serverID(rec[5:]), SetUpTime: duration(rec[12:]),
		}, nil
	case evDone:
		return decodeOutcome(rec)
	case evVanished:
		return elmseam.CallerGone{Call: elmseam.CallID(le.Uint32(rec[1:]))}, nil
	case evDue:
		return elmseam.TimerFired{Token: le.Uint32(rec[1:])}, nil
	case evHealth:
		report, err := decodeReport(rec[12:])
		return elmseam.Health{Server: serverID(rec[1:]), OK: rec[7] == 10, Report: report}, err
	case evUpdate:
		return h.decodeUpdate(rec)
	}
	return nil, fmt.Errorf("unknown event code %d", rec[0])
}

// decodeUpdate reads what the list of core servers says, by the numbered list that it refers to.
func (h *Host) decodeUpdate(rec []byte) (elmseam.Event, error) {
	slot, scope := le.Uint32(rec[5:]), rec[9]
	if scope == scopeFailed {
		return elmseam.ListFailed{}, nil
	}
	entries, known := h.lists[slot]
	if !known {
		return nil, fmt.Errorf("update: no list %d was sent", slot)
	}
	switch scope {
	case scopeDelta:
		return elmseam.ListDelta{Entries: entries}, nil
	case scopeFull, scopeCached:
		return elmseam.ListFull{Entries: entries, Cached: scope == scopeCached}, nil
	}
	return nil, fmt.Errorf("update: unknown scope %d", scope)
}

func decodeArrival(rec []byte) elmseam.Arrival {
	flags := le.Uint16(rec[23:])
	return elmseam.Arrival{
		Call:        elmseam.CallID(le.Uint32(rec[1:])),
		Class:       int(le.Uint16(rec[5:])),
		Number:      le.Uint64(rec[11:]),
		Tenant:      int(le.Uint32(rec[19:])),
		Transit:     flags&flagTransit != 0,
		Interrupted: flags&flagCut != 0,
		TimeLeft:    duration(rec[25:]),
		Cell:        int(float(rec[37:])),
	}
}

func decodeOutcome(rec []byte) (elmseam.Outcome, error) {
	cause, known := causes[rec[15]]
	if !known {
		return elmseam.Outcome{}, fmt.Errorf("outcome: unknown code %d", rec[15])
	}
	report, err := decodeReport(rec[22:])
	out := elmseam.Outcome{
		Call:    elmseam.CallID(le.Uint32(rec[1:])),
		Final:   rec[5] != 0,
		Attempt: int(rec[6]),
		Cause:   cause,
		Server:  serverID(rec[16:]),
		Report:  report,
	}
	why := le.Uint32(rec[11:])
	switch note := why & 15; {
	case note == 3, note == 2 && cause == elmseam.CauseFull && why&16 != 0:
		out.Refusal = elmseam.RefusalProcessor
	case note == 4:
		out.Refusal = elmseam.RefusalNumber
	}
	if why&15 == 3 {
		out.Wait = time.Duration(why>>4) * time.Millisecond
	}
	return out, err
}

// decodeReport reads a load report of at most four values.
func decodeReport(b []byte) (elmseam.Report, error) {
	n := int(b[0])
	if n > 4 {
		return nil, fmt.Errorf("load report of %d values", n)
	}
	if n == 0 {
		return nil, nil
	}
	report := make(elmseam.Report, n)
	for i := range report {
		report[i] = float(b[1+4*i:])
	}
	return report, nil
}

func decodeEntries(raw []byte) []elmseam.ListEntry {
	entries := make([]elmseam.ListEntry, 0, len(raw)/entrySize)
	for ; len(raw) >= entrySize; raw = raw[entrySize:] {
		entries = append(entries, elmseam.ListEntry{
			Server:  serverID(raw),
			Cell:    int(le.Uint16(raw[8:])),
			Phase:   elmseam.Phase(raw[10]),
			Started: time.Duration(le.Uint64(raw[15:])) * time.Microsecond,
		})
	}
	return entries
}

// encode writes one action down.
func (h *Host) encode(a elmseam.Action) {
	h.speak()
	switch a := a.(type) {
	case elmseam.Send:
		rec := h.reply.add(acForward)
		le.PutUint32(rec[1:], uint32(a.Call))
		putServer(rec[5:], a.Server)
		putDuration(rec[11:], a.Timeout)
	case elmseam.Refuse:
		rec := h.reply.add(acDeny)
		le.PutUint32(rec[1:], uint32(a.Call))
		putDuration(rec[5:], a.RetryAfter)
	case elmseam.Fail:
		le.PutUint32(h.reply.add(acFailure)[1:], uint32(a.Call))
	case elmseam.Cancel:
		rec := h.reply.add(acDrop)
		le.PutUint32(rec[1:], uint32(a.Call))
		rec[5] = byte(a.Attempt)
	case elmseam.SetTimer:
		rec := h.reply.add(acDefer)
		le.PutUint32(rec[1:], a.Token)
		le.PutUint64(rec[5:], uint64((a.At+time.Microsecond-1)/time.Microsecond))
	case elmseam.Subscribe:
		h.reply.add(acWatch)[1] = 1
	default:
		panic(fmt.Sprintf("no wire form for %T", a))
	}
}

func duration(b []byte) time.Duration { return time.Duration(le.Uint32(b)) * time.Microsecond }

func putDuration(b []byte, d time.Duration) { le.PutUint32(b, uint32(d/time.Microsecond)) }

// serverID packs an address and a port; the module compares it and never looks inside.
func serverID(b []byte) elmseam.ServerID {
	return elmseam.ServerID(uint64(le.Uint32(b)) | uint64(le.Uint16(b[4:]))<<32)
}

func putServer(b []byte, id elmseam.ServerID) {
	le.PutUint32(b, uint32(id))
	le.PutUint16(b[4:], uint16(id>>32))
}
