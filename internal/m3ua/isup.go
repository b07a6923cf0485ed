package m3ua

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ISUP message types (ITU-T Q.763, table 4).
const (
	isupIAM = 0x01 // initial address: a set-up
	isupACM = 0x06 // address complete: the set-up has arrived
	isupANM = 0x09 // answer
	isupREL = 0x0c // release, give-up or refusal
	isupRLC = 0x10 // release complete: confirms a REL or RSC
	isupRSC = 0x12 // reset circuit: ends the call on the circuit
)

// Optional parameters (ITU-T Q.763).
const (
	optionEnd      = 0x00
	optionUserUser = 0x20 // part of the call's description; a description of over 255 bytes takes several of these parameters, in order
)

// Sizes of parts of an ISUP message, in bytes, and the maximum length of a called number.
const (
	isupHeaderSize = 3   // circuit identification code and message type
	iamFixedSize   = 5   // nature of connection, forward call indicators, calling party's category, transmission medium
	maxOptionSize  = 255 // bytes in an optional parameter
	maxDigits      = 64  // digits of a called number
)

// isupMessage is a parsed ISUP message. Only the fields that its kind carries are set.
type isupMessage struct {
	kind       byte
	category   byte // calling party's category, which stands for the class of the call
	digits     string
	desc       []byte        // description of the call
	cause      int           // cause value of ITU-T Q.850; -1 if there is none
	retryAfter time.Duration // wait that a REL asks for before the next set-up; 0 if it asks for none
}

// parseISUP parses an ISUP message that starts with its circuit identification code. The cause is -1 in messages
// without one.
func parseISUP(b []byte) (msg isupMessage, err error) {
	malformed := func(detail string) (isupMessage, error) {
		return msg, &protocolError{errCodeInvalidParamValue, fmt.Sprintf("ISUP message %#02x: %s", b[2], detail), false}
	}
	if len(b) < isupHeaderSize {
		return msg, &protocolError{errCodeParamFieldError, "truncated ISUP message", false}
	}
	msg.kind, msg.cause = b[2], -1
	rest := b[isupHeaderSize:]
	hasMandatoryPart := false
	switch msg.kind {
	case isupIAM:
		if len(rest) < iamFixedSize {
			return malformed("truncated")
		}
		msg.category = rest[3]
		rest, hasMandatoryPart = rest[iamFixedSize:], true
	case isupACM:
		if len(rest) < 2 {
			return malformed("truncated")
		}
		rest = rest[2:]
	case isupREL:
		hasMandatoryPart = true
	case isupRSC:
		return msg, nil
	case isupANM, isupRLC:
	default:
		return malformed("unknown message type")
	}
	if hasMandatoryPart {
		if len(rest) < 2 || int(rest[0]) >= len(rest) || int(rest[0])+1+int(rest[rest[0]]) > len(rest) || rest[0] == 0 {
			return malformed("truncated mandatory parameter")
		}
		mandatory := rest[rest[0]+1:][:rest[rest[0]]]
		if msg.kind == isupIAM {
			if msg.digits, err = parseDigits(mandatory); err != nil {
				return malformed(err.Error())
			}
		} else {
			if len(mandatory) < 2 {
				return malformed("truncated cause indicators")
			}
			msg.cause = int(mandatory[1] & 0x7f)
			if ms, err := strconv.ParseUint(string(mandatory[2:]), 10, 31); err == nil {
				msg.retryAfter = time.Duration(ms) * time.Millisecond
			}
		}
		rest = rest[1:]
	}
	if len(rest) == 0 || rest[0] == 0 {
		return msg, nil // no optional part
	}
	if int(rest[0]) >= len(rest) {
		return malformed("truncated optional part")
	}
	for rest = rest[rest[0]:]; ; {
		switch {
		case len(rest) > 0 && rest[0] == optionEnd:
			return msg, nil
		case len(rest) < 2 || 2+int(rest[1]) > len(rest):
			return malformed("truncated optional parameter")
		case rest[0] == optionUserUser:
			msg.desc = append(msg.desc, rest[2:2+int(rest[1])]...)
		}
		rest = rest[2+int(rest[1]):]
	}
}

// parseDigits decodes a called party number. Each byte holds two digits, the first one in the low half.
func parseDigits(b []byte) (string, error) {
	if len(b) < 2 || len(b) > 2+maxDigits/2 {
		return "", fmt.Errorf("invalid called number of %d bytes", len(b))
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

// packDigits encodes a called party number. It reports false if the text is too long or holds other characters than
// lower-case hexadecimal digits: the platform's protocol also allows texts that are no called number.
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

// buildISUP encodes an ISUP message, which starts with its circuit identification code. It fails if the called number
// cannot be encoded.
func buildISUP(cic uint16, msg isupMessage) ([]byte, error) {
	b := binary.LittleEndian.AppendUint16(nil, cic)
	b = append(b, msg.kind)
	var mandatory []byte
	switch msg.kind {
	case isupIAM:
		b = append(b, 0, 0x60, 0x01, msg.category, 0)
		var ok bool
		if mandatory, ok = packDigits(msg.digits); !ok {
			return nil, fmt.Errorf("called number %.70q cannot be encoded", msg.digits)
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
			optionalPointer = byte(len(mandatory)) + 2 // the optional part follows the mandatory part
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
		b = append(append(b, optionUserUser, byte(n)), desc[:n]...)
		desc = desc[n:]
	}
	if len(msg.desc) > 0 {
		b = append(b, optionEnd)
	}
	return b, nil
}
