package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"elmseam/internal/core"
)

// Message types, parameter codes and sizes of the callers' protocol.
const (
	typeSetUp      = 1
	typeProgress   = 6 // ignored if a caller sends it
	typeAnswer     = 9
	typeRelease    = 12 // from a caller: give-up or release; to a caller: refusal or release
	typeReleaseAck = 16 // answer to a caller's typeRelease
	typeGroup      = 43 // ignored if a caller sends it
	typeTest       = 52 // asks whether the softswitch takes new calls
	typeTested     = 53 // answer to typeTest; paramCause is 1 if it does, else 0

	paramClass              = 16 // name of the request class
	paramTimeLeft           = 19 // milliseconds until the caller gives up, in decimal
	paramTenant             = 22 // name of the tenant
	paramNumber             = 28 // called number
	paramExtras             = 31 // "name:value" pairs, separated by semicolons
	paramRetryAfter         = 34 // milliseconds that a caller is to wait before a retry, in decimal
	paramCause              = 58
	paramDesc               = 61 // description of the call, passed on unchanged
	lengthSize              = 2  // bytes of the length before a message
	headerSize              = 9  // bytes of a message's type and call id
	paramHeaderSize         = 3  // bytes of a parameter's code and length
	rejectionParamsCapacity = 32 // bytes that the parameters of a rejection usually fit in
)

// frame is a decoded message from a caller, with its parameters in the protocol's own text form. A parameter that is absent
// leaves its field empty.
type frame struct {
	msgType  byte
	callID   core.ID
	class    string
	timeLeft string

	tenant string

	numberText string
	extras     string
	cause      int // -1 if the message has no cause
	desc       []byte
}

// parseFrame decodes the message at the start of b and returns it with its size in bytes, including the length field. A message
// of more than maxSize bytes is an error. With the error of a malformed parameter, msg still has the message's type and call id.
func parseFrame(b []byte, maxSize int) (msg frame, size int, err error) {
	if len(b) < lengthSize {
		return msg, 0, errIncomplete
	}
	size = lengthSize + int(binary.BigEndian.Uint16(b))
	switch {
	case size < lengthSize+headerSize || size > maxSize:
		return msg, 0, fmt.Errorf("invalid message size of %d bytes", size)
	case len(b) < size:
		return msg, 0, errIncomplete
	}
	msg.msgType, msg.callID, msg.cause = b[2], core.ID(binary.BigEndian.Uint64(b[3:])), -1
	for params := b[lengthSize+headerSize : size]; len(params) > 0; {
		if len(params) < paramHeaderSize || len(params) < paramHeaderSize+int(binary.BigEndian.Uint16(params[1:])) {
			return msg, 0, errors.New("truncated parameter")
		}
		code, value := params[0], params[paramHeaderSize:paramHeaderSize+int(binary.BigEndian.Uint16(params[1:]))]
		params = params[paramHeaderSize+len(value):]
		switch code {
		case paramClass:
			msg.class = string(value)
		case paramTimeLeft:
			msg.timeLeft = string(value)
		case paramTenant:
			msg.tenant = string(value)
		case paramNumber:
			msg.numberText = string(value)
		case paramExtras:
			msg.extras = string(value)
		case paramCause:
			if len(value) != 1 {
				return msg, 0, errors.New("cause parameter is not one byte long")
			}
			msg.cause = int(value[0])
		case paramDesc:
			msg.desc = append([]byte(nil), value...)
		}
	}
	return msg, size, nil
}

// appendFrame appends an encoded message to b. params are parameters encoded by appendParam.
func appendFrame(b []byte, msgType byte, id core.ID, params []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(headerSize+len(params)))
	b = append(b, msgType)
	b = binary.BigEndian.AppendUint64(b, uint64(id))
	return append(b, params...)
}

// appendParam appends an encoded parameter to b.
func appendParam(b []byte, code byte, value ...byte) []byte {
	b = append(b, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
	return append(b, value...)
}

// rejectionFrame encodes the final answer to a set-up that did not lead to an established call. A retryAfter of 0 is left out.
func rejectionFrame(id core.ID, cause byte, retryAfter time.Duration) []byte {
	params := appendParam(make([]byte, 0, rejectionParamsCapacity), paramCause, cause)
	if retryAfter > 0 {
		params = appendParam(params, paramRetryAfter, strconv.AppendInt(nil, retryAfter.Milliseconds(), 10)...)
	}
	return appendFrame(nil, typeRelease, id, params)
}
