// Package m3ua implements M3UA-style signalling over TCP: messages as in RFC 4666, framed by the length in
// their common header, with ISUP-style calls in their payload. Older clients connect as ASPs (application
// server processes) of this program; towards a server this program acts as an ASP itself. The package only
// translates between messages and the core's events and effects; the core takes every decision.
package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Message classes and types (RFC 4666, 3.1): the class is in the high byte, the type in the low byte.
const (
	msgERR      = 0x0000
	msgNTFY     = 0x0001
	msgDATA     = 0x0101
	msgDUNA     = 0x0201 // destination unavailable
	msgDAVA     = 0x0202 // destination available
	msgDAUD     = 0x0203 // destination state audit: asks for a DUNA or DAVA
	msgSCON     = 0x0204 // signalling congestion
	msgDUPU     = 0x0205
	msgDRST     = 0x0206
	msgASPUP    = 0x0301
	msgASPDN    = 0x0302
	msgBEAT     = 0x0303
	msgASPUPACK = 0x0304
	msgASPDNACK = 0x0305
	msgBEATACK  = 0x0306
	msgASPAC    = 0x0401
	msgASPIA    = 0x0402
	msgASPACACK = 0x0403
	msgASPIAACK = 0x0404
)

// Parameter tags (RFC 4666, 3.2).
const (
	tagRoutingContext = 0x0006
	tagHeartbeat      = 0x0009
	tagErrorCode      = 0x000c
	tagStatus         = 0x000d
	tagAffectedPC     = 0x0012
	tagCongestion     = 0x0205
	tagProtocolData   = 0x0210
)

// Error codes of an ERR message (RFC 4666, 3.8.1).
const (
	errCodeInvalidVersion        = 0x01
	errCodeUnsupportedClass      = 0x03
	errCodeUnsupportedType       = 0x04
	errCodeUnexpectedMessage     = 0x06
	errCodeProtocolError         = 0x07
	errCodeInvalidParamValue     = 0x11
	errCodeParamFieldError       = 0x12
	errCodeMissingParam          = 0x16
	errCodeInvalidRoutingContext = 0x19
)

// Values of the Status parameter of NTFY (RFC 4666, 3.8.2): type in the high half, information in the low half. AS stands for
// application server.
const (
	statusASInactive = 1<<16 | 2
	statusASActive   = 1<<16 | 3
	statusASPending  = 1<<16 | 4
)

// Version of the protocol, sizes in bytes, and the service indicator of the payload (RFC 4666, 3.1 and 3.3.1).
const (
	version                = 1
	headerSize             = 8
	paramHeaderSize        = 4
	protocolDataHeaderSize = 12 // point codes, service and network indicator, priority and link selection
	serviceIndicatorISUP   = 5  // service indicator of ISUP
)

// protocolError describes a malformed or unexpected message. code is the error code of the ERR message that answers it.
type protocolError struct {
	code   uint32
	detail string
	fatal  bool // where the next message begins is unknown: nothing after this message can be read
}

// Error returns the description of the error.
func (e *protocolError) Error() string { return e.detail }

// errIncomplete is returned by parseMessage when the buffer does not yet hold a whole message.
var errIncomplete = errors.New("incomplete message")

// message is a parsed M3UA message. Its parameters point into the buffer that was parsed: a list of them would take many times the memory
// of a message with very many short ones.
type message struct {
	kind   uint16 // class in the high byte, type in the low byte
	params []byte // well-formed parameters
}

// param is one parameter of a message: its tag, and its value without padding.
type param struct {
	tag   uint16
	value []byte
}

// paramValue returns the value of the first parameter with the given tag.
func (m message) paramValue(tag uint16) ([]byte, bool) {
	for rest := m.params; len(rest) > 0; {
		var p param
		if p, rest, _ = cutParam(rest); p.tag == tag {
			return p.value, true
		}
	}
	return nil, false
}

// uint32Value returns the value of a four-byte parameter. It reports false if the parameter is missing or has another
// size.
func (m message) uint32Value(tag uint16) (uint32, bool) {
	v, ok := m.paramValue(tag)
	if !ok || len(v) != 4 {
		return 0, false
	}
	return binary.BigEndian.Uint32(v), true
}

// parseMessage parses the first message in b, which may be at most maxSize bytes long, and returns its size. The
// size is 0 if the message is incomplete or the framing is lost.
func parseMessage(b []byte, maxSize int) (msg message, size int, err error) {
	if len(b) < headerSize {
		return msg, 0, errIncomplete
	}
	length := binary.BigEndian.Uint32(b[4:])
	switch {
	case b[0] != version:
		return msg, 0, &protocolError{errCodeInvalidVersion, fmt.Sprintf("unsupported version %d", b[0]), true}
	case length < headerSize || length > uint32(maxSize):
		return msg, 0, &protocolError{errCodeProtocolError, fmt.Sprintf("invalid message length %d", length), true}
	case len(b) < int(length):
		return msg, 0, errIncomplete
	}
	size = int(length)
	msg.kind = binary.BigEndian.Uint16(b[2:])
	for rest := b[headerSize:size]; len(rest) > 0; {
		if _, rest, err = cutParam(rest); err != nil {
			return msg, size, err
		}
	}
	msg.params = b[headerSize:size]
	return msg, size, nil
}

// cutParam returns the first parameter in b, and what follows it and its padding.
func cutParam(b []byte) (p param, rest []byte, err error) {
	if len(b) < paramHeaderSize {
		return p, nil, &protocolError{errCodeParamFieldError, "truncated parameter header", false}
	}
	size := int(binary.BigEndian.Uint16(b[2:]))
	if size < paramHeaderSize || size > len(b) {
		return p, nil, &protocolError{errCodeParamFieldError, fmt.Sprintf("invalid parameter length %d", size), false}
	}
	return param{binary.BigEndian.Uint16(b), b[paramHeaderSize:size]}, b[min((size+3)&^3, len(b)):], nil
}

// buildMessage encodes a message.
func buildMessage(kind uint16, params ...param) []byte {
	b := []byte{version, 0, byte(kind >> 8), byte(kind), 0, 0, 0, 0}
	for _, p := range params {
		b = binary.BigEndian.AppendUint16(b, p.tag)
		b = binary.BigEndian.AppendUint16(b, uint16(paramHeaderSize+len(p.value)))
		b = append(b, p.value...)
		b = append(b, make([]byte, -len(p.value)&3)...)
	}
	binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
	return b
}

// uint32Param returns a four-byte parameter.
func uint32Param(tag uint16, n uint32) param {
	return param{tag, binary.BigEndian.AppendUint32(nil, n)}
}

// circuitID identifies a circuit between two signalling points. A call occupies one circuit from its set-up to its end.
type circuitID struct {
	opc, dpc uint32 // origin and destination point code, as in the message that seizes the circuit
	cic      uint16 // circuit identification code
}

// reverse returns the circuit as the other side's messages identify it, with the point codes swapped.
func (c circuitID) reverse() circuitID { return circuitID{c.dpc, c.opc, c.cic} }

// buildData encodes a DATA message that carries an ISUP message on a circuit.
func buildData(circ circuitID, networkIndicator byte, routingContext uint32, isup []byte) []byte {
	protocolData := binary.BigEndian.AppendUint32(nil, circ.opc)
	protocolData = binary.BigEndian.AppendUint32(protocolData, circ.dpc)
	protocolData = append(protocolData, serviceIndicatorISUP, networkIndicator, 0, byte(circ.cic&15))
	protocolData = append(protocolData, isup...)
	return buildMessage(msgDATA, uint32Param(tagRoutingContext, routingContext), param{tagProtocolData, protocolData})
}

// parseData returns the circuit and the ISUP message that a DATA message carries. The ISUP message begins with its circuit
// identification code. A DATA without a routing context is accepted.
func parseData(msg message, routingContext uint32) (circ circuitID, isup []byte, err error) {
	if rc, ok := msg.uint32Value(tagRoutingContext); ok && rc != routingContext {
		return circ, nil, &protocolError{errCodeInvalidRoutingContext, fmt.Sprintf("unknown routing context %d", rc), false}
	}
	data, ok := msg.paramValue(tagProtocolData)
	switch {
	case !ok:
		return circ, nil, &protocolError{errCodeMissingParam, "DATA without protocol data parameter", false}
	case len(data) < protocolDataHeaderSize+isupHeaderSize:
		return circ, nil, &protocolError{errCodeParamFieldError, "truncated protocol data", false}
	case data[8] != serviceIndicatorISUP:
		return circ, nil, &protocolError{errCodeInvalidParamValue, fmt.Sprintf("unsupported service indicator %d", data[8]), false}
	}
	circ = circuitID{
		binary.BigEndian.Uint32(data), binary.BigEndian.Uint32(data[4:]), binary.LittleEndian.Uint16(data[protocolDataHeaderSize:]),
	}
	return circ, data[protocolDataHeaderSize:], nil
}

// affectedPointCodes returns the point codes that a DUNA, DAVA or SCON reports on.
func affectedPointCodes(msg message) ([]uint32, error) {
	v, ok := msg.paramValue(tagAffectedPC)
	if !ok {
		return nil, &protocolError{errCodeMissingParam, "no affected point code parameter", false}
	}
	if len(v) == 0 || len(v)%4 != 0 {
		return nil, &protocolError{errCodeParamFieldError, "truncated affected point code parameter", false}
	}
	var pointCodes []uint32
	for ; len(v) > 0; v = v[4:] {
		pointCodes = append(pointCodes, binary.BigEndian.Uint32(v)&0xffffff) // the high byte is a mask, which is ignored
	}
	return pointCodes, nil
}
