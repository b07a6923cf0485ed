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
	isupHead = 3 // circuit and type
	iamFixed = 5 // nature of connection, forward call indicators, category, medium
	maxOpt   = 255
	maxDigit = 64
)

// call is an ISUP message taken apart.
type call struct {
	kind     byte
	category byte // of the calling party: the class
	digits   string
	desc     []byte
	cause    int
	retry    time.Duration // to stay away for, beside a cause
}

// parseISUP reads a message behind its circuit.
func parseISUP(b []byte) (c call, err error) {
	broken := func(what string) (call, error) {
		return c, &protocolError{errParamValue, fmt.Sprintf("ISUP message %#02x: %s", b[2], what), false}
	}
	if len(b) < isupHead {
		return c, &protocolError{errParamField, "an ISUP message is cut short", false}
	}
	c.kind, c.cause = b[2], -1
	p := b[isupHead:]
	variable := false
	switch c.kind {
	case isupIAM:
		if len(p) < iamFixed {
			return broken("cut short")
		}
		c.category = p[3]
		p, variable = p[iamFixed:], true
	case isupACM:
		if len(p) < 2 {
			return broken("cut short")
		}
		p = p[2:]
	case isupREL:
		variable = true
	case isupRSC:
		return c, nil
	case isupANM, isupRLC:
	default:
		return broken("unknown type")
	}
	if variable {
		if len(p) < 2 || int(p[0]) >= len(p) || int(p[0])+1+int(p[p[0]]) > len(p) || p[0] == 0 {
			return broken("its mandatory part is cut short")
		}
		part := p[p[0]+1:][:p[p[0]]]
		if c.kind == isupIAM {
			if c.digits, err = parseDigits(part); err != nil {
				return broken(err.Error())
			}
		} else {
			if len(part) < 2 {
				return broken("no cause")
			}
			c.cause = int(part[1] & 0x7f)
			if ms, err := strconv.ParseUint(string(part[2:]), 10, 31); err == nil {
				c.retry = time.Duration(ms) * time.Millisecond
			}
		}
		p = p[1:]
	}
	if len(p) == 0 || p[0] == 0 {
		return c, nil // no optional part
	}
	if int(p[0]) >= len(p) {
		return broken("its optional part is cut short")
	}
	for p = p[p[0]:]; ; {
		switch {
		case len(p) > 0 && p[0] == optEnd:
			return c, nil
		case len(p) < 2 || 2+int(p[1]) > len(p):
			return broken("an optional parameter is cut short")
		case p[0] == optUserUser:
			c.desc = append(c.desc, p[2:2+int(p[1])]...)
		}
		p = p[2+int(p[1]):]
	}
}

// parseDigits reads a called party number: digits are half bytes, the low one first.
func parseDigits(b []byte) (string, error) {
	if len(b) < 2 || len(b) > 2+maxDigit/2 {
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
func digitsOf(key string) ([]byte, bool) {
	if len(key) > maxDigit {
		return nil, false
	}
	b := []byte{0x03, 0x10}
	if len(key)%2 == 1 {
		b[0] |= 0x80
	}
	for i := range len(key) {
		n, err := strconv.ParseUint(key[i:i+1], 16, 8)
		if err != nil || key[i] >= 'A' && key[i] <= 'F' {
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
func appendISUP(cic uint16, c call) ([]byte, error) {
	b := binary.LittleEndian.AppendUint16(nil, cic)
	b = append(b, c.kind)
	var part []byte
	switch c.kind {
	case isupIAM:
		b = append(b, 0, 0x60, 0x01, c.category, 0)
		var ok bool
		if part, ok = digitsOf(c.digits); !ok {
			return nil, fmt.Errorf("the number %.70q can't be dialled", c.digits)
		}
	case isupACM:
		b = append(b, 0x16, 0x14)
	case isupREL:
		part = []byte{0x80, 0x80 | byte(c.cause)}
		if c.retry > 0 {
			part = strconv.AppendInt(part, c.retry.Milliseconds(), 10)
		}
	}
	opt := byte(0) // none
	if len(c.desc) > 0 {
		if opt = 1; part != nil {
			opt = byte(len(part)) + 2 // behind the mandatory part
		}
	}
	if part != nil {
		b = append(b, 2, opt, byte(len(part)))
		b = append(b, part...)
	} else if c.kind != isupRSC {
		b = append(b, opt)
	}
	for desc := c.desc; len(desc) > 0; {
		n := min(len(desc), maxOpt)
		b = append(append(b, optUserUser, byte(n)), desc[:n]...)
		desc = desc[n:]
	}
	if len(c.desc) > 0 {
		b = append(b, optEnd)
	}
	return b, nil
}
