package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// Messages and parameters of M3UA (RFC 4666) and ISUP (ITU-T Q.763) that the stand-ins use.
const (
	m3NTFY, m3DATA, m3DUNA, m3DAVA     = 0x0001, 0x0101, 0x0201, 0x0202
	m3ASPUP, m3BEAT                    = 0x0301, 0x0303
	m3ASPUPACK, m3BEATACK              = 0x0304, 0x0306
	m3ASPAC, m3ASPACACK                = 0x0401, 0x0403
	tagContext, tagHeartbeat           = 0x0006, 0x0009
	tagStatus, tagData                 = 0x000d, 0x0210
	asInactive, asActive               = 1<<16 | 2, 1<<16 | 3
	isIAM, isACM, isANM, isREL, isRLC  = 0x01, 0x06, 0x09, 0x0c, 0x10
	isRSC                              = 0x12
	serviceISUP                        = 5
	networkIndicator, routingContextID = 2, 1
)

// m3Message is an M3UA message.
type m3Message struct {
	kind   uint16
	params map[uint16][]byte
}

// m3Param is one parameter of a message to send.
type m3Param struct {
	tag   uint16
	value []byte
}

// u32 returns a four-byte parameter.
func u32(tag uint16, n uint32) m3Param { return m3Param{tag, binary.BigEndian.AppendUint32(nil, n)} }

// buildM3 encodes a message.
func buildM3(kind uint16, params ...m3Param) []byte {
	b := []byte{1, 0, byte(kind >> 8), byte(kind), 0, 0, 0, 0}
	for _, p := range params {
		b = binary.BigEndian.AppendUint16(b, p.tag)
		b = binary.BigEndian.AppendUint16(b, uint16(4+len(p.value)))
		b = append(b, p.value...)
		b = append(b, make([]byte, -len(p.value)&3)...)
	}
	binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
	return b
}

// readM3 reads the next message of a connection.
func readM3(conn net.Conn) (msg m3Message, err error) {
	header := make([]byte, 8)
	if _, err = io.ReadFull(conn, header); err != nil {
		return msg, err
	}
	size := binary.BigEndian.Uint32(header[4:])
	if header[0] != 1 || size < 8 || size > 16<<10 {
		return msg, errors.New("framing lost")
	}
	body := make([]byte, size-8)
	if _, err = io.ReadFull(conn, body); err != nil {
		return msg, err
	}
	msg.kind, msg.params = binary.BigEndian.Uint16(header[2:]), make(map[uint16][]byte)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint16(body[2:]))
		if n < 4 || n > len(body) {
			return msg, errors.New("invalid parameter")
		}
		msg.params[binary.BigEndian.Uint16(body)] = body[4:n]
		body = body[min((n+3)&^3, len(body)):]
	}
	return msg, nil
}

// isup is an ISUP message on a circuit.
type isup struct {
	opc, dpc uint32
	cic      uint16
	kind     byte
	category byte
	digits   string
	desc     string
	cause    int
}

// encode returns the DATA message that carries the ISUP message.
func (m isup) encode() []byte {
	b := binary.BigEndian.AppendUint32(nil, m.opc)
	b = binary.BigEndian.AppendUint32(b, m.dpc)
	b = append(b, serviceISUP, networkIndicator, 0, byte(m.cic&15))
	b = binary.LittleEndian.AppendUint16(b, m.cic)
	b = append(b, m.kind)
	var mandatory []byte
	switch m.kind {
	case isIAM:
		b = append(b, 0, 0x60, 0x01, m.category, 0)
		mandatory = []byte{0x03, 0x10}
		for i := 0; i+1 < len(m.digits); i += 2 {
			var low, high byte
			fmt.Sscanf(m.digits[i:i+1], "%x", &low)
			fmt.Sscanf(m.digits[i+1:i+2], "%x", &high)
			mandatory = append(mandatory, low|high<<4)
		}
	case isACM:
		b = append(b, 0x16, 0x14)
	case isREL:
		mandatory = []byte{0x80, 0x80 | byte(m.cause)}
	}
	pointer := byte(0)
	if m.desc != "" {
		if pointer = 1; mandatory != nil {
			pointer = byte(len(mandatory)) + 2
		}
	}
	if mandatory != nil {
		b = append(append(b, 2, pointer, byte(len(mandatory))), mandatory...)
	} else if m.kind != isRSC {
		b = append(b, pointer)
	}
	if m.desc != "" { // the descriptions of the cases fit into one parameter
		b = append(b, 0x20, byte(len(m.desc)))
		b = append(append(b, m.desc...), 0)
	}
	return buildM3(m3DATA, u32(tagContext, routingContextID), m3Param{tagData, b})
}

// decodeISUP returns the ISUP message in a DATA message.
func decodeISUP(msg m3Message) (m isup, err error) {
	data := msg.params[tagData]
	if len(data) < 15 {
		return m, errors.New("truncated DATA")
	}
	m = isup{opc: binary.BigEndian.Uint32(data), dpc: binary.BigEndian.Uint32(data[4:]), cic: binary.LittleEndian.Uint16(data[12:]), kind: data[14], cause: -1}
	rest := data[15:]
	switch m.kind {
	case isIAM:
		if len(rest) < 5 {
			return m, errors.New("truncated IAM")
		}
		m.category, rest = rest[3], rest[5:]
	case isACM:
		rest = rest[min(2, len(rest)):]
	case isRSC:
		return m, nil
	}
	if m.kind == isIAM || m.kind == isREL {
		if len(rest) < 3 || int(rest[0])+1+int(rest[rest[0]]) > len(rest) {
			return m, errors.New("truncated mandatory parameter")
		}
		mandatory := rest[int(rest[0])+1:][:rest[rest[0]]]
		if m.kind == isREL {
			m.cause = int(mandatory[1] & 0x7f)
		} else {
			for _, c := range mandatory[2:] {
				m.digits += fmt.Sprintf("%x%x", c&15, c>>4)
			}
		}
		rest = rest[1:]
	}
	if len(rest) == 0 || rest[0] == 0 || int(rest[0]) >= len(rest) {
		return m, nil
	}
	var desc bytes.Buffer
	for rest = rest[rest[0]:]; len(rest) >= 2 && rest[0] != 0 && 2+int(rest[1]) <= len(rest); rest = rest[2+int(rest[1]):] {
		if rest[0] == 0x20 {
			desc.Write(rest[2 : 2+int(rest[1])])
		}
	}
	m.desc = desc.String()
	return m, nil
}
