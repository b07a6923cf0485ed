// Package bgp is a small speaker after RFC 4271 for IPv4 unicast. It announces the service address while
// this program takes calls, and hears which servers' addresses its peers withdraw. It installs no routes.
package bgp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// Message types.
const (
	msgOpen         = 1
	msgUpdate       = 2
	msgNotification = 3
	msgKeepalive    = 4
)

// Error codes of a NOTIFICATION, the subcode in the low byte.
const (
	errLength      = 1<<8 | 2
	errType        = 1<<8 | 3
	errMarker      = 1<<8 | 1
	errVersion     = 2<<8 | 1
	errPeerAS      = 2<<8 | 2
	errHoldTime    = 2<<8 | 6
	errAttributes  = 3<<8 | 1
	errNetwork     = 3<<8 | 10
	errHoldExpired = 4 << 8
	errState       = 5 << 8
	errPrefixes    = 6<<8 | 1 // too many of them
	errCease       = 6<<8 | 2 // administrative shutdown
)

const (
	headSize   = 19
	markerSize = 16
	mostSize   = 4096
	openSize   = 10
	version    = 4
	asTrans    = 23456 // stands for an AS of four bytes (RFC 6793)
)

// Attributes that an announcement carries.
const (
	attrOrigin    = 1
	attrASPath    = 2
	attrNextHop   = 3
	attrLocalPref = 5
)

// fault is a malformed message, with the code for a NOTIFICATION.
type fault struct {
	code uint16
	what string
}

func (f *fault) Error() string { return f.what }

// errShort says that a message is not whole yet.
var errShort = errors.New("not whole")

// parse reads the first message of b and says how long it is.
func parse(b []byte) (kind byte, body []byte, n int, err error) {
	if len(b) < headSize {
		return 0, nil, 0, errShort
	}
	for _, c := range b[:markerSize] {
		if c != 0xff {
			return 0, nil, 0, &fault{errMarker, "no marker"}
		}
	}
	n = int(binary.BigEndian.Uint16(b[markerSize:]))
	kind = b[markerSize+2]
	least, most := headSize, mostSize
	switch kind {
	case msgOpen:
		least += openSize
	case msgUpdate:
		least += 4
	case msgNotification:
		least += 2
	case msgKeepalive:
		most = headSize
	default:
		return kind, nil, n, &fault{errType, fmt.Sprintf("message type %d", kind)}
	}
	switch {
	case n < least || n > most:
		return kind, nil, n, &fault{errLength, fmt.Sprintf("a message of type %d with %d bytes", kind, n)}
	case len(b) < n:
		return kind, nil, n, errShort
	}
	return kind, b[headSize:n], n, nil
}

// build writes a message.
func build(kind byte, body []byte) []byte {
	b := make([]byte, markerSize, headSize+len(body))
	for i := range b {
		b[i] = 0xff
	}
	b = binary.BigEndian.AppendUint16(b, uint16(headSize+len(body)))
	return append(append(b, kind), body...)
}

// open is an OPEN.
type open struct {
	as   uint32
	hold uint16 // seconds
	id   netip.Addr
}

func (o open) build() []byte {
	short := uint16(asTrans)
	if o.as < 1<<16 {
		short = uint16(o.as)
	}
	b := binary.BigEndian.AppendUint16([]byte{version}, short)
	b = binary.BigEndian.AppendUint16(b, o.hold)
	b = append(b, o.id.AsSlice()...)
	// One optional parameter, capabilities: IPv4 unicast, an AS of four bytes.
	caps := []byte{1, 4, 0, 1, 0, 1, 65, 4}
	caps = binary.BigEndian.AppendUint32(caps, o.as)
	b = append(b, byte(2+len(caps)), 2, byte(len(caps)))
	return build(msgOpen, append(b, caps...))
}

// parseOpen reads an OPEN.
func parseOpen(b []byte) (o open, wide bool, err error) {
	if b[0] != version {
		return o, false, &fault{errVersion, fmt.Sprintf("version %d", b[0])}
	}
	o.as, o.hold = uint32(binary.BigEndian.Uint16(b[1:])), binary.BigEndian.Uint16(b[3:])
	o.id = netip.AddrFrom4([4]byte(b[5:9]))
	if o.hold == 1 || o.hold == 2 {
		return o, false, &fault{errHoldTime, fmt.Sprintf("hold time %d", o.hold)}
	}
	short := &fault{2 << 8, "optional parameters are cut short"}
	if int(b[9]) != len(b)-openSize {
		return o, false, short
	}
	for p := b[openSize:]; len(p) > 0; {
		if len(p) < 2 || len(p) < 2+int(p[1]) {
			return o, false, short
		}
		caps := p[2 : 2+int(p[1])]
		if p[0] != 2 {
			caps = nil
		}
		p = p[2+int(p[1]):]
		for len(caps) > 0 {
			if len(caps) < 2 || len(caps) < 2+int(caps[1]) {
				return o, false, short
			}
			if caps[0] == 65 && caps[1] == 4 {
				o.as, wide = binary.BigEndian.Uint32(caps[2:]), true
			}
			caps = caps[2+int(caps[1]):]
		}
	}
	return o, wide, nil
}

// update is an UPDATE, as far as it concerns this speaker.
type update struct {
	withdrawn, announced []netip.Prefix
	whole                bool // an End-of-RIB (RFC 4724): the peer has told all that it has
}

// parseUpdate reads an UPDATE.
func parseUpdate(b []byte) (u update, err error) {
	short := &fault{errAttributes, "an UPDATE is cut short"}
	u.whole = len(b) == 4
	n := int(binary.BigEndian.Uint16(b))
	if len(b) < 2+n+2 {
		return u, short
	}
	if u.withdrawn, err = parsePrefixes(b[2 : 2+n]); err != nil {
		return u, err
	}
	b = b[2+n:]
	attrs := int(binary.BigEndian.Uint16(b))
	if len(b) < 2+attrs {
		return u, short
	}
	for p := b[2 : 2+attrs]; len(p) > 0; {
		size, head := 0, 3
		switch {
		case len(p) < 3:
			return u, short
		case p[0]&0x10 == 0:
			size = int(p[2])
		case len(p) < 4:
			return u, short
		default:
			size, head = int(binary.BigEndian.Uint16(p[2:])), 4
		}
		if len(p) < head+size {
			return u, short
		}
		p = p[head+size:]
	}
	u.announced, err = parsePrefixes(b[2+attrs:])
	return u, err
}

func parsePrefixes(b []byte) (ps []netip.Prefix, err error) {
	for len(b) > 0 {
		bits := int(b[0])
		n := (bits + 7) / 8
		if bits > 32 || len(b) < 1+n {
			return nil, &fault{errNetwork, "a prefix is cut short"}
		}
		var a [4]byte
		copy(a[:], b[1:1+n])
		ps = append(ps, netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked())
		b = b[1+n:]
	}
	return ps, nil
}

func appendPrefix(b []byte, p netip.Prefix) []byte {
	a := p.Addr().As4()
	return append(append(b, byte(p.Bits())), a[:(p.Bits()+7)/8]...)
}

// withdrawal is an UPDATE that takes a prefix back.
func withdrawal(p netip.Prefix) []byte {
	w := appendPrefix(nil, p)
	b := binary.BigEndian.AppendUint16(nil, uint16(len(w)))
	return build(msgUpdate, append(append(b, w...), 0, 0))
}

// announcement is an UPDATE that announces a prefix. wide says that the peer knows an AS of four bytes.
func announcement(p netip.Prefix, next netip.Addr, as uint32, external, wide bool) []byte {
	attrs := []byte{0x40, attrOrigin, 1, 0}
	switch {
	case !external:
		attrs = append(attrs, 0x40, attrASPath, 0)
	case wide:
		attrs = append(attrs, 0x40, attrASPath, 6, 2, 1)
		attrs = binary.BigEndian.AppendUint32(attrs, as)
	default:
		attrs = append(attrs, 0x40, attrASPath, 4, 2, 1)
		attrs = binary.BigEndian.AppendUint16(attrs, uint16(min(as, asTrans)))
	}
	attrs = append(append(attrs, 0x40, attrNextHop, 4), next.AsSlice()...)
	if !external {
		attrs = append(attrs, 0x40, attrLocalPref, 4, 0, 0, 0, 100)
	}
	b := binary.BigEndian.AppendUint16([]byte{0, 0}, uint16(len(attrs)))
	return build(msgUpdate, appendPrefix(append(b, attrs...), p))
}
