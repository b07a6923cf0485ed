package wire

import (
	"fmt"
	"time"

	"elmseam"
)

// encodeAction appends the record of one action of the current instance to the reply.
func (h *Host) encodeAction(action elmseam.Action) {
	h.selectReplyInstance()
	switch action := action.(type) {
	case elmseam.Send:
		record := h.reply.addRecord(actionSend)
		byteOrder.PutUint32(record[1:], uint32(action.Call))
		putServerID(record[5:], action.Server)
		putMicroseconds(record[11:], action.Timeout)
	case elmseam.Refuse:
		record := h.reply.addRecord(actionRefuse)
		byteOrder.PutUint32(record[1:], uint32(action.Call))
		putMicroseconds(record[5:], action.RetryAfter)
	case elmseam.Fail:
		byteOrder.PutUint32(h.reply.addRecord(actionFail)[1:], uint32(action.Call))
	case elmseam.Cancel:
		record := h.reply.addRecord(actionCancel)
		byteOrder.PutUint32(record[1:], uint32(action.Call))
		record[5] = byte(action.Attempt)
	case elmseam.SetTimer:
		record := h.reply.addRecord(actionSetTimer)
		byteOrder.PutUint32(record[1:], action.Token)
		byteOrder.PutUint64(record[5:], uint64((action.At+time.Microsecond-1)/time.Microsecond))
	case elmseam.Subscribe:
		h.reply.addRecord(actionSubscribe)[1] = 1
	default:
		panic(fmt.Sprintf("no wire encoding for action %T", action))
	}
}

// putMicroseconds writes a duration as a 32-bit number of microseconds, rounded down.
func putMicroseconds(b []byte, d time.Duration) { byteOrder.PutUint32(b, uint32(d/time.Microsecond)) }

// putServerID writes the address and the port that decodeServerID packed.
func putServerID(b []byte, id elmseam.ServerID) {
	byteOrder.PutUint32(b, uint32(id))
	byteOrder.PutUint16(b[4:], uint16(id>>32))
}
