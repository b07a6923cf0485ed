package wire

import (
	"fmt"
	"math"
	"time"

	"elmseam"
)

// decodeEvent decodes an event record that is meant for a controller.
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

// decodeListUpdate decodes a server list update. Its entries are those of the numbered list that the record refers to.
func (h *Host) decodeListUpdate(rec []byte) (elmseam.Event, error) {
	listNumber, scope := byteOrder.Uint32(rec[5:]), rec[9]
	if scope == listScopeFailed {
		return elmseam.ListFailed{}, nil
	}
	entries, found := h.serverLists[listNumber]
	if !found {
		return nil, fmt.Errorf("server list update: no list %d was sent", listNumber)
	}
	switch scope {
	case listScopeDelta:
		return elmseam.ListDelta{Entries: entries}, nil
	case listScopeFull, listScopeCached:
		return elmseam.ListFull{Entries: entries, Cached: scope == listScopeCached}, nil
	}
	return nil, fmt.Errorf("server list update: unknown scope %d", scope)
}

// decodeArrival decodes the arrival of a call. The time left is in microseconds on the wire, the first-choice cell a float.
func decodeArrival(rec []byte) elmseam.Arrival {
	flags := byteOrder.Uint16(rec[23:])
	return elmseam.Arrival{
		Call:        elmseam.CallID(byteOrder.Uint32(rec[1:])),
		Class:       int(byteOrder.Uint16(rec[5:])),
		Number:      byteOrder.Uint64(rec[11:]),
		Tenant:      int(byteOrder.Uint32(rec[19:])),
		Transit:     flags&arrivalFlagTransit != 0,
		Interrupted: flags&arrivalFlagInterrupted != 0,
		TimeLeft:    decodeMicroseconds(rec[25:]),
		Cell:        int(decodeFloat32(rec[37:])),
	}
}

// decodeOutcome decodes the end of an attempt. The low four bits of the refusal field are the kind of refusal:
//   - kind 3: the server's processor is full; the bits above hold the wait that the server asks for, in milliseconds;
//   - kind 2 with bit 4 set, in an outcome with CauseFull: the server's processor is full;
//   - kind 4: all lines of the called number are busy.
//
// Other kinds have no meaning here.
func decodeOutcome(rec []byte) (elmseam.Outcome, error) {
	cause, found := causeByCode[rec[15]]
	if !found {
		return elmseam.Outcome{}, fmt.Errorf("outcome: unknown outcome code %d", rec[15])
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

// decodeLoadReport decodes a load report: a byte with the number of values, at most four, and the values as floats.
func decodeLoadReport(b []byte) (elmseam.Report, error) {
	count := int(b[0])
	if count > 4 {
		return nil, fmt.Errorf("load report has %d values, more than 4", count)
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

// decodeListEntries decodes the entries of a server list. Start times are in microseconds on the wire.
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

// decodeMicroseconds reads a duration given as a 32-bit number of microseconds.
func decodeMicroseconds(b []byte) time.Duration {
	return time.Duration(byteOrder.Uint32(b)) * time.Microsecond
}

// decodeServerID packs an IPv4 address and a port into one id. The decision module only compares ids.
func decodeServerID(b []byte) elmseam.ServerID {
	return elmseam.ServerID(uint64(byteOrder.Uint32(b)) | uint64(byteOrder.Uint16(b[4:]))<<32)
}

// decodeFloat32 reads a single-precision float.
func decodeFloat32(b []byte) float64 { return float64(math.Float32frombits(byteOrder.Uint32(b))) }
