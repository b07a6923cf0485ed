package wire

import (
	"fmt"
	"time"

	"elmseam"
)

// encodeAction appends the record of one action of the current instance to the reply.
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
		panic(fmt.Sprintf("no wire encoding for action %T", a))
	}
}

// putMicroseconds writes a duration as a 32-bit number of microseconds, rounded down.
func putMicroseconds(b []byte, d time.Duration) { byteOrder.PutUint32(b, uint32(d/time.Microsecond)) }

// putServerID writes the address and the port that decodeServerID packed.
func putServerID(b []byte, id elmseam.ServerID) {
	byteOrder.PutUint32(b, uint32(id))
	byteOrder.PutUint16(b[4:], uint16(id>>32))
}
