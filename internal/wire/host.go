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
	eventHealth         = 16
	eventKilled         = 17
	eventArrival        = 18
	eventServerList     = 19
	eventOutcome        = 20
	eventTimerFired     = 21
	eventListUpdate     = 22
	eventEstablished    = 23
	eventCallerGone     = 24
	eventSelectInstance = 25
	eventStarted        = 26
	eventPeerData       = 27
)

// Action codes.
const (
	actionSelectInstance = 16
	actionSend           = 17
	actionSetTimer       = 18
	actionFail           = 20
	actionCancel         = 21
	actionInstanceFailed = 23
	actionSubscribe      = 24
	actionPeerData       = 25
	actionRefuse         = 26
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
	flagTransit     = 8
	flagInterrupted = 16
)

// maxLists is how many numbered lists there can be.
const maxServerLists = 16

// causes maps the wire's outcome codes.
var causeByCode = map[byte]elmseam.Cause{
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
	instances        map[uint16]*elmseam.Controller
	serverLists      map[uint32][]elmseam.ListEntry
	current          uint16 // instance that the events are for
	replyInstance    uint16 // instance that the last context record named
	hasReplyInstance bool
	actions          []elmseam.Action
	reply            Reply
	membershipLimits *membership.Limits // of the tier's membership; nil: it is off
	members          map[uint16]*member
}

// NewHost makes a host without instances.
func NewHost() *Host {
	return &Host{
		instances:   make(map[uint16]*elmseam.Controller),
		serverLists: make(map[uint32][]elmseam.ListEntry),
		members:     make(map[uint16]*member),
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
		if err := h.handleBatch(batch); err != nil {
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
func (h *Host) handleBatch(b *Batch) error {
	h.hasReplyInstance = false
	now := time.Duration(b.Clock) * time.Microsecond
	for i := range b.Len() {
		if err := h.handleRecord(b, b.record(i), now); err != nil {
			return fmt.Errorf("batch %d record %d: %w", b.Seq, i, err)
		}
	}
	return nil
}

// event handles one record.
func (h *Host) handleRecord(b *Batch, rec []byte, now elmseam.Time) error {
	switch rec[0] {
	case eventSelectInstance:
		h.current = byteOrder.Uint16(rec[1:])
		return nil
	case eventServerList:
		entries, err := b.tailBytes(byteOrder.Uint32(rec[5:]), byteOrder.Uint32(rec[9:]), listEntrySize)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		listNumber := byteOrder.Uint32(rec[1:])
		if listNumber >= maxServerLists {
			return fmt.Errorf("list %d: %d is the last number", listNumber, maxServerLists-1)
		}
		h.serverLists[listNumber] = decodeListEntries(entries)
		return nil
	case eventKilled:
		delete(h.instances, h.current)
		delete(h.members, h.current)
		return nil
	case eventStarted:
		settingsText, err := b.tailBytes(byteOrder.Uint32(rec[9:]), byteOrder.Uint32(rec[13:]), 1)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		h.startInstance(settingsText, byteOrder.Uint64(rec[1:]))
		h.startMembership(settingsText, byteOrder.Uint64(rec[1:]), now)
		return nil
	case eventPeerData:
		datagram, err := b.decodePeerData(rec)
		if err != nil {
			return fmt.Errorf("peer data: %w", err)
		}
		h.stepMembership(now, datagram)
		return nil
	case eventTimerFired:
		h.fireMembershipTimer(now, byteOrder.Uint32(rec[1:]))
	}
	ev, err := h.decodeEvent(rec)
	if err != nil {
		return err
	}
	if controller := h.instances[h.current]; controller != nil {
		h.runController(controller, now, ev)
	}
	return nil
}

// start makes the current instance anew.
func (h *Host) startInstance(settingsText []byte, seed uint64) {
	delete(h.instances, h.current)
	controllerSettings, err := settings.Decode(settingsText)
	if err == nil {
		var controller *elmseam.Controller
		if controller, err = elmseam.New(controllerSettings, seed); err == nil {
			h.instances[h.current] = controller
			return
		}
	}
	h.reportFailure(err.Error())
}

// handle passes an event to a controller and writes down its actions. A panic there is reported as
// the wire's failure action.
func (h *Host) runController(controller *elmseam.Controller, now elmseam.Time, ev elmseam.Event) {
	defer func() {
		if recovered := recover(); recovered != nil {
			delete(h.instances, h.current)
			h.reportFailure(fmt.Sprintf("panic: %v", recovered))
		}
	}()
	h.actions = controller.Handle(now, ev, h.actions[:0])
	for _, action := range h.actions {
		h.encodeAction(action)
	}
}

// broken declares that the current instance has failed.
func (h *Host) reportFailure(reason string) {
	h.selectReplyInstance()
	h.reply.addTextRecord(actionInstanceFailed, reason)
}

// speak names the current instance unless the last record was its own already.
func (h *Host) selectReplyInstance() {
	if h.hasReplyInstance && h.replyInstance == h.current {
		return
	}
	h.replyInstance, h.hasReplyInstance = h.current, true
	byteOrder.PutUint16(h.reply.addRecord(actionSelectInstance)[1:], h.current)
}

// decode reads an event that is for a controller.
func (h *Host) decodeEvent(rec []byte) (elmseam.Event, error) {
	switch rec[0] {
	case eventArrival:
		return decodeArrival(rec), nil
	case eventEstablished:
		return elmseam.Established{
			Call: elmseam.CallID(byteOrder.Uint32(rec[1:])), Server: decodeServerID(rec[5:]), SetUpTime: decodeMicroseconds(rec[12:]),
		}, nil
	case eventOutcome:
		return decodeOutcome(rec)
	case eventCallerGone:
		return elmseam.CallerGone{Call: elmseam.CallID(byteOrder.Uint32(rec[1:]))}, nil
	case eventTimerFired:
		return elmseam.TimerFired{Token: byteOrder.Uint32(rec[1:])}, nil
	case eventHealth:
		report, err := decodeLoadReport(rec[12:])
		return elmseam.Health{Server: decodeServerID(rec[1:]), OK: rec[7] == 10, Report: report}, err
	case eventListUpdate:
		return h.decodeListUpdate(rec)
	}
	return nil, fmt.Errorf("unknown event code %d", rec[0])
}

// decodeUpdate reads what the list of core servers says, by the numbered list that it refers to.
func (h *Host) decodeListUpdate(rec []byte) (elmseam.Event, error) {
	listNumber, scope := byteOrder.Uint32(rec[5:]), rec[9]
	if scope == scopeFailed {
		return elmseam.ListFailed{}, nil
	}
	entries, found := h.serverLists[listNumber]
	if !found {
		return nil, fmt.Errorf("update: no list %d was sent", listNumber)
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
	flags := byteOrder.Uint16(rec[23:])
	return elmseam.Arrival{
		Call:        elmseam.CallID(byteOrder.Uint32(rec[1:])),
		Class:       int(byteOrder.Uint16(rec[5:])),
		Number:      byteOrder.Uint64(rec[11:]),
		Tenant:      int(byteOrder.Uint32(rec[19:])),
		Transit:     flags&flagTransit != 0,
		Interrupted: flags&flagInterrupted != 0,
		TimeLeft:    decodeMicroseconds(rec[25:]),
		Cell:        int(decodeFloat32(rec[37:])),
	}
}

func decodeOutcome(rec []byte) (elmseam.Outcome, error) {
	cause, found := causeByCode[rec[15]]
	if !found {
		return elmseam.Outcome{}, fmt.Errorf("outcome: unknown code %d", rec[15])
	}
	report, err := decodeLoadReport(rec[22:])
	outcome := elmseam.Outcome{
		Call:    elmseam.CallID(byteOrder.Uint32(rec[1:])),
		Final:   rec[5] != 0,
		Attempt: int(rec[6]),
		Cause:   cause,
		Server:  decodeServerID(rec[16:]),
		Report:  report,
	}
	refusal := byteOrder.Uint32(rec[11:])
	switch refusalKind := refusal & 15; {
	case refusalKind == 3, refusalKind == 2 && cause == elmseam.CauseFull && refusal&16 != 0:
		outcome.Refusal = elmseam.RefusalProcessor
	case refusalKind == 4:
		outcome.Refusal = elmseam.RefusalNumber
	}
	if refusal&15 == 3 {
		outcome.Wait = time.Duration(refusal>>4) * time.Millisecond
	}
	return outcome, err
}

// decodeReport reads a load report of at most four values.
func decodeLoadReport(b []byte) (elmseam.Report, error) {
	count := int(b[0])
	if count > 4 {
		return nil, fmt.Errorf("load report of %d values", count)
	}
	if count == 0 {
		return nil, nil
	}
	report := make(elmseam.Report, count)
	for i := range report {
		report[i] = decodeFloat32(b[1+4*i:])
	}
	return report, nil
}

func decodeListEntries(data []byte) []elmseam.ListEntry {
	entries := make([]elmseam.ListEntry, 0, len(data)/listEntrySize)
	for ; len(data) >= listEntrySize; data = data[listEntrySize:] {
		entries = append(entries, elmseam.ListEntry{
			Server:  decodeServerID(data),
			Cell:    int(byteOrder.Uint16(data[8:])),
			Phase:   elmseam.Phase(data[10]),
			Started: time.Duration(byteOrder.Uint64(data[15:])) * time.Microsecond,
		})
	}
	return entries
}

// encode writes one action down.
func (h *Host) encodeAction(a elmseam.Action) {
	h.selectReplyInstance()
	switch a := a.(type) {
	case elmseam.Send:
		rec := h.reply.addRecord(actionSend)
		byteOrder.PutUint32(rec[1:], uint32(a.Call))
		putServerID(rec[5:], a.Server)
		putMicroseconds(rec[11:], a.Timeout)
	case elmseam.Refuse:
		rec := h.reply.addRecord(actionRefuse)
		byteOrder.PutUint32(rec[1:], uint32(a.Call))
		putMicroseconds(rec[5:], a.RetryAfter)
	case elmseam.Fail:
		byteOrder.PutUint32(h.reply.addRecord(actionFail)[1:], uint32(a.Call))
	case elmseam.Cancel:
		rec := h.reply.addRecord(actionCancel)
		byteOrder.PutUint32(rec[1:], uint32(a.Call))
		rec[5] = byte(a.Attempt)
	case elmseam.SetTimer:
		rec := h.reply.addRecord(actionSetTimer)
		byteOrder.PutUint32(rec[1:], a.Token)
		byteOrder.PutUint64(rec[5:], uint64((a.At+time.Microsecond-1)/time.Microsecond))
	case elmseam.Subscribe:
		h.reply.addRecord(actionSubscribe)[1] = 1
	default:
		panic(fmt.Sprintf("no wire form for %T", a))
	}
}

func decodeMicroseconds(b []byte) time.Duration {
	return time.Duration(byteOrder.Uint32(b)) * time.Microsecond
}

func putMicroseconds(b []byte, d time.Duration) { byteOrder.PutUint32(b, uint32(d/time.Microsecond)) }

// serverID packs an address and a port; the module compares it and never looks inside.
func decodeServerID(b []byte) elmseam.ServerID {
	return elmseam.ServerID(uint64(byteOrder.Uint32(b)) | uint64(byteOrder.Uint16(b[4:]))<<32)
}

func putServerID(b []byte, id elmseam.ServerID) {
	byteOrder.PutUint32(b, uint32(id))
	byteOrder.PutUint16(b[4:], uint16(id>>32))
}
