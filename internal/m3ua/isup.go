package m3ua

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Message types after ITU-T Q.763, table 4.
const (
	isupIAM = 0x01
	isupACM = 0x06
	isupANM = 0x09
	isupREL = 0x0c
	isupRLC = 0x10
	isupRSC = 0x12
)

// Optional parameters.
const (
	optEnd      = 0x00
	optUserUser = 0x20 // the description; one of over 255 bytes comes in several, in order
)

const (
	isupHeaderSize = 3 // circuit and type
	iamFixedSize   = 5 // nature of connection, forward call indicators, category, medium
	maxOptionSize  = 255
	maxDigits      = 64
)

// call is an ISUP message taken apart.
type isupMessage struct {
	kind       byte
	category   byte // of the calling party: the class
	digits     string
	desc       []byte
	cause      int
	retryAfter time.Duration // to stay away for, beside a cause
}

// parseISUP reads a message behind its circuit.
func parseISUP(b []byte) (msg isupMessage, err error) {
	malformed := func(detail string) (isupMessage, error) {
		return msg, &protocolError{errParamValue, fmt.Sprintf("ISUP message %#02x: %s", b[2], detail), false}
	}
	if len(b) < isupHeaderSize {
		return msg, &protocolError{errParamField, "an ISUP message is cut short", false}
	}
	msg.kind, msg.cause = b[2], -1
	p := b[isupHeaderSize:]
	variable := false
	switch msg.kind {
	case isupIAM:
		if len(p) < iamFixedSize {
			return malformed("cut short")
		}
		msg.category = p[3]
		p, variable = p[iamFixedSize:], true
	case isupACM:
		if len(p) < 2 {
			return malformed("cut short")
		}
		p = p[2:]
	case isupREL:
		variable = true
	case isupRSC:
		return msg, nil
	case isupANM, isupRLC:
	default:
		return malformed("unknown type")
	}
	if variable {
		if len(p) < 2 || int(p[0]) >= len(p) || int(p[0])+1+int(p[p[0]]) > len(p) || p[0] == 0 {
			return malformed("its mandatory part is cut short")
		}
		mandatory := p[p[0]+1:][:p[p[0]]]
		if msg.kind == isupIAM {
			if msg.digits, err = parseDigits(mandatory); err != nil {
				return malformed(err.Error())
			}
		} else {
			if len(mandatory) < 2 {
				return malformed("no cause")
			}
			msg.cause = int(mandatory[1] & 0x7f)
			if ms, err := strconv.ParseUint(string(mandatory[2:]), 10, 31); err == nil {
				msg.retryAfter = time.Duration(ms) * time.Millisecond
			}
		}
		p = p[1:]
	}
	if len(p) == 0 || p[0] == 0 {
		return msg, nil // no optional part
	}
	if int(p[0]) >= len(p) {
		return malformed("its optional part is cut short")
	}
	for p = p[p[0]:]; ; {
		switch {
		case len(p) > 0 && p[0] == optEnd:
			return msg, nil
		case len(p) < 2 || 2+int(p[1]) > len(p):
			return malformed("an optional parameter is cut short")
		case p[0] == optUserUser:
			msg.desc = append(msg.desc, p[2:2+int(p[1])]...)
		}
		p = p[2+int(p[1]):]
	}
}

// parseDigits reads a called party number: digits are half bytes, the low one first.
func parseDigits(b []byte) (string, error) {
	if len(b) < 2 || len(b) > 2+maxDigits/2 {
		return "", fmt.Errorf("a called number of %d bytes", len(b))
	}
	var s strings.Builder
	for _, c := range b[2:] {
		fmt.Fprintf(&s, "%x%x", c&15, c>>4)
	}
	digits := s.String()
	if b[0]&0x80 != 0 && digits != "" { // an odd number of digits
		digits = digits[:len(digits)-1]
	}
	return digits, nil
}

// digitsOf packs a called number; not every key of the platform is one.
func packDigits(digits string) ([]byte, bool) {
	if len(digits) > maxDigits {
		return nil, false
	}
	b := []byte{0x03, 0x10}
	if len(digits)%2 == 1 {
		b[0] |= 0x80
	}
	for i := range len(digits) {
		n, err := strconv.ParseUint(digits[i:i+1], 16, 8)
		if err != nil || digits[i] >= 'A' && digits[i] <= 'F' {
			return nil, false
		}
		if i%2 == 0 {
			b = append(b, byte(n))
		} else {
			b[len(b)-1] |= byte(n << 4)
		}
	}
	return b, true
}

// appendISUP writes a message, its circuit first.
func buildISUP(cic uint16, msg isupMessage) ([]byte, error) {
	b := binary.LittleEndian.AppendUint16(nil, cic)
	b = append(b, msg.kind)
	var mandatory []byte
	switch msg.kind {
	case isupIAM:
		b = append(b, 0, 0x60, 0x01, msg.category, 0)
		var ok bool
		if mandatory, ok = packDigits(msg.digits); !ok {
			return nil, fmt.Errorf("the number %.70q can't be dialled", msg.digits)
		}
	case isupACM:
		b = append(b, 0x16, 0x14)
	case isupREL:
		mandatory = []byte{0x80, 0x80 | byte(msg.cause)}
		if msg.retryAfter > 0 {
			mandatory = strconv.AppendInt(mandatory, msg.retryAfter.Milliseconds(), 10)
		}
	}
	optionalPointer := byte(0) // none
	if len(msg.desc) > 0 {
		if optionalPointer = 1; mandatory != nil {
			optionalPointer = byte(len(mandatory)) + 2 // behind the mandatory part
		}
	}
	if mandatory != nil {
		b = append(b, 2, optionalPointer, byte(len(mandatory)))
		b = append(b, mandatory...)
	} else if msg.kind != isupRSC {
		b = append(b, optionalPointer)
	}
	for desc := msg.desc; len(desc) > 0; {
		n := min(len(desc), maxOptionSize)
		b = append(append(b, optUserUser, byte(n)), desc[:n]...)
		desc = desc[n:]
	}
	if len(msg.desc) > 0 {
		b = append(b, optEnd)
	}
	return b, nil
}
