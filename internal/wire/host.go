package wire

import (
	"fmt"
	"io"
	"time"

	"elmseam"
	"elmseam/internal/membership"
	"elmseam/internal/settings"
)

// Host runs one Controller for each instance (simulated softswitch) that a stream of batches addresses. The instances
// share nothing but the numbered server lists and the membership limits.
type Host struct {
	controllers      map[uint16]*elmseam.Controller // by the instance number on the wire
	serverLists      map[uint32][]elmseam.ListEntry // by list number
	currentInstance  uint16                         // instance that the events being read are for
	replyInstance    uint16                         // instance that the last actionSelectInstance of the reply named
	hasReplyInstance bool                           // the reply being built names an instance already
	actions          []elmseam.Action               // buffer for the controller's actions on one event
	reply            Reply                          // reply to the batch being handled
	membershipLimits *membership.Limits             // limits of the tier's membership protocol; nil: the protocol is off
	members          map[uint16]*member             // instances that take part in membership, by instance number
}

// NewHost returns a host without instances. The events of the stream start and kill them.
func NewHost() *Host {
	return &Host{
		controllers: make(map[uint16]*elmseam.Controller),
		serverLists: make(map[uint32][]elmseam.ListEntry),
		members:     make(map[uint16]*member),
	}
}

// Serve reads batches from input and writes a reply to each to output, then calls flush, until the input ends between two
// batches. It returns an error for malformed input and for a failed read, write or flush.
func (h *Host) Serve(input io.Reader, output io.Writer, flush func() error) error {
	for {
		batch, err := ReadBatch(input)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(batch); err != nil {
			return err
		}
		if err := h.reply.WriteTo(output, batch.Seq); err != nil {
			return err
		}
		if err := flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// handleBatch handles the events of a batch in order and collects the actions in h.reply.
func (h *Host) handleBatch(batch *Batch) error {
	h.hasReplyInstance = false
	now := time.Duration(batch.Clock) * time.Microsecond
	for i := range batch.Len() {
		if err := h.handleRecord(batch, batch.record(i), now); err != nil {
			return fmt.Errorf("batch %d record %d: %w", batch.Seq, i, err)
		}
	}
	return nil
}

// handleRecord handles one event record: it changes the instances or the server lists, or passes the event to the
// current instance. A valid event for a controller that is not running is ignored; the instance's membership, if it takes
// part in one, still gets its peer messages and timers.
func (h *Host) handleRecord(batch *Batch, rec []byte, now elmseam.Time) error {
	switch rec[0] {
	case eventSelectInstance:
		h.currentInstance = byteOrder.Uint16(rec[1:])
		return nil
	case eventServerList:
		entries, err := batch.tailItems(byteOrder.Uint32(rec[5:]), byteOrder.Uint32(rec[9:]), listEntrySize)
		if err != nil {
			return fmt.Errorf("server list: %w", err)
		}
		listNumber := byteOrder.Uint32(rec[1:])
		if listNumber >= maxServerLists {
			return fmt.Errorf("server list %d: the highest list number is %d", listNumber, maxServerLists-1)
		}
		h.serverLists[listNumber] = decodeListEntries(entries)
		return nil
	case eventKilled:
		delete(h.controllers, h.currentInstance)
		delete(h.members, h.currentInstance)
		return nil
	case eventStarted:
		settingsText, err := batch.tailItems(byteOrder.Uint32(rec[9:]), byteOrder.Uint32(rec[13:]), 1)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		delete(h.members, h.currentInstance)
		if h.startInstance(settingsText, byteOrder.Uint64(rec[1:])) {
			h.startMembership(settingsText, byteOrder.Uint64(rec[1:]), now)
		}
		return nil
	case eventPeerData:
		datagram, err := batch.decodePeerData(rec)
		if err != nil {
			return fmt.Errorf("peer data: %w", err)
		}
		h.stepMembership(now, datagram)
		return nil
	case eventTimerFired:
		h.fireMembershipTimer(now, byteOrder.Uint32(rec[1:]))
	}
	event, err := h.decodeEvent(rec)
	if err != nil {
		return err
	}
	if controller := h.controllers[h.currentInstance]; controller != nil {
		h.runController(controller, now, event)
	}
	return nil
}

// startInstance replaces the current instance by a new one with the given settings and seed. Invalid settings are
// reported as the instance's failure; the result is false then.
func (h *Host) startInstance(settingsText []byte, seed uint64) bool {
	delete(h.controllers, h.currentInstance)
	controllerSettings, err := settings.Decode(settingsText)
	if err == nil {
		var controller *elmseam.Controller
		if controller, err = elmseam.New(controllerSettings, seed); err == nil {
			h.controllers[h.currentInstance] = controller
			return true
		}
	}
	h.reportInstanceFailure(err.Error())
	return false
}

// endInstance removes the current instance, which has failed, and reports the failure.
func (h *Host) endInstance(failure string) {
	delete(h.controllers, h.currentInstance)
	delete(h.members, h.currentInstance)
	h.reportInstanceFailure(failure)
}

// runController passes an event to a controller and appends the resulting actions to the reply. A panic ends the instance.
func (h *Host) runController(controller *elmseam.Controller, now elmseam.Time, event elmseam.Event) {
	defer func() {
		if recovered := recover(); recovered != nil {
			h.endInstance(fmt.Sprintf("panic: %v", recovered))
		}
	}()
	h.actions = controller.Handle(now, event, h.actions[:0])
	for _, action := range h.actions {
		h.encodeAction(action)
	}
}

// reportInstanceFailure appends an action that says that the current instance has failed, and why.
func (h *Host) reportInstanceFailure(reason string) {
	h.selectReplyInstance()
	h.reply.addTextRecord(actionInstanceFailed, reason)
}

// selectReplyInstance appends an actionSelectInstance for the current instance, unless the last action record of the
// reply came from that instance already.
func (h *Host) selectReplyInstance() {
	if h.hasReplyInstance && h.replyInstance == h.currentInstance {
		return
	}
	h.replyInstance, h.hasReplyInstance = h.currentInstance, true
	byteOrder.PutUint16(h.reply.addRecord(actionSelectInstance)[1:], h.currentInstance)
}
