// Package bgp implements a small BGP speaker (RFC 4271) for IPv4 unicast. It announces the service address while the program
// accepts calls, and reports which servers' addresses its peers announce and withdraw. It installs no routes.
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

// Errors of a NOTIFICATION (RFC 4271, section 4.5; subcodes of code 6 in RFC 4486): the code in the high byte, the subcode in the
// low byte.
const (
	codeBadLength           = 1<<8 | 2
	codeBadType             = 1<<8 | 3
	codeNotSynchronized     = 1<<8 | 1
	codeUnsupportedVersion  = 2<<8 | 1
	codeBadPeerAS           = 2<<8 | 2
	codeBadHoldTime         = 2<<8 | 6
	codeMalformedAttributes = 3<<8 | 1
	codeInvalidNetwork      = 3<<8 | 10
	codeHoldTimerExpired    = 4 << 8
	codeFSMError            = 5 << 8
	codeTooManyPrefixes     = 6<<8 | 1 // maximum number of prefixes reached
	codeAdminShutdown       = 6<<8 | 2
)

// Sizes in bytes, and other constants of the protocol.
const (
	headerSize      = 19
	markerSize      = 16
	maxMessageSize  = 4096
	minOpenBody     = 10 // size of an OPEN's body without optional parameters
	protocolVersion = 4
	asTrans         = 23456 // AS_TRANS: replaces a four-byte AS number in a two-byte field (RFC 6793)
)

// twoByteAS returns an AS number as it appears in a two-byte field.
func twoByteAS(as uint32) uint16 {
	if as < 1<<16 {
		return uint16(as)
	}
	return asTrans
}

// Types of the path attributes of an announcement.
const (
	attrOrigin    = 1
	attrASPath    = 2
	attrNextHop   = 3
	attrLocalPref = 5
)

// messageError describes a violation of the protocol by the peer.
type messageError struct {
	code uint16 // for the NOTIFICATION, one of the code constants
	text string // for the log
}

// Error returns the description of the error.
func (e *messageError) Error() string { return e.text }

// errIncomplete is returned by parseMessage when the message is not complete yet.
var errIncomplete = errors.New("incomplete message")

// parseMessage parses the first message in b. body is the message without its header, size is the size of the whole message.
// The error is errIncomplete or a *messageError.
func parseMessage(b []byte) (kind byte, body []byte, size int, err error) {
	if len(b) < headerSize {
		return 0, nil, 0, errIncomplete
	}
	for _, c := range b[:markerSize] {
		if c != 0xff {
			return 0, nil, 0, &messageError{codeNotSynchronized, "marker is not all ones"}
		}
	}
	size = int(binary.BigEndian.Uint16(b[markerSize:]))
	kind = b[markerSize+2]
	minSize, maxSize := headerSize, maxMessageSize
	switch kind {
	case msgOpen:
		minSize += minOpenBody
	case msgUpdate:
		minSize += 4
	case msgNotification:
		minSize += 2
	case msgKeepalive:
		maxSize = headerSize
	default:
		return kind, nil, size, &messageError{codeBadType, fmt.Sprintf("unknown message type %d", kind)}
	}
	switch {
	case size < minSize || size > maxSize:
		return kind, nil, size, &messageError{codeBadLength, fmt.Sprintf("message of type %d has the invalid length %d", kind, size)}
	case len(b) < size:
		return kind, nil, size, errIncomplete
	}
	return kind, b[headerSize:size], size, nil
}

// buildMessage returns a message with its header.
func buildMessage(kind byte, body []byte) []byte {
	b := make([]byte, markerSize, headerSize+len(body))
	for i := range b {
		b[i] = 0xff
	}
	b = binary.BigEndian.AppendUint16(b, uint16(headerSize+len(body)))
	return append(append(b, kind), body...)
}

// openMessage holds the fields of an OPEN message.
type openMessage struct {
	as       uint32
	holdTime uint16 // seconds
	routerID netip.Addr
}

// encode returns the OPEN message with its header.
func (o openMessage) encode() []byte {
	b := binary.BigEndian.AppendUint16([]byte{protocolVersion}, twoByteAS(o.as))
	b = binary.BigEndian.AppendUint16(b, o.holdTime)
	b = append(b, o.routerID.AsSlice()...)
	// One optional parameter holds the capabilities: multiprotocol with IPv4 unicast, and four-byte AS numbers.
	capabilities := []byte{1, 4, 0, 1, 0, 1, 65, 4}
	capabilities = binary.BigEndian.AppendUint32(capabilities, o.as)
	b = append(b, byte(2+len(capabilities)), 2, byte(len(capabilities)))
	return buildMessage(msgOpen, append(b, capabilities...))
}

// parseOpen parses the body of an OPEN message, which has at least minOpenBody bytes. fourByteAS reports whether the peer
// supports four-byte AS numbers.
func parseOpen(b []byte) (msg openMessage, fourByteAS bool, err error) {
	if b[0] != protocolVersion {
		return msg, false, &messageError{codeUnsupportedVersion, fmt.Sprintf("unsupported BGP version %d", b[0])}
	}
	msg.as, msg.holdTime = uint32(binary.BigEndian.Uint16(b[1:])), binary.BigEndian.Uint16(b[3:])
	msg.routerID = netip.AddrFrom4([4]byte(b[5:9]))
	if msg.holdTime == 1 || msg.holdTime == 2 {
		return msg, false, &messageError{codeBadHoldTime, fmt.Sprintf("invalid hold time of %d s", msg.holdTime)}
	}
	truncated := &messageError{2 << 8, "truncated optional parameters"}
	if int(b[9]) != len(b)-minOpenBody {
		return msg, false, truncated
	}
	for params := b[minOpenBody:]; len(params) > 0; {
		if len(params) < 2 || len(params) < 2+int(params[1]) {
			return msg, false, truncated
		}
		capabilities := params[2 : 2+int(params[1])]
		if params[0] != 2 {
			capabilities = nil
		}
		params = params[2+int(params[1]):]
		for len(capabilities) > 0 {
			if len(capabilities) < 2 || len(capabilities) < 2+int(capabilities[1]) {
				return msg, false, truncated
			}
			if capabilities[0] == 65 && capabilities[1] == 4 {
				msg.as, fourByteAS = binary.BigEndian.Uint32(capabilities[2:]), true
			}
			capabilities = capabilities[2+int(capabilities[1]):]
		}
	}
	return msg, fourByteAS, nil
}

// updateMessage holds those fields of an UPDATE message that this speaker uses.
type updateMessage struct {
	withdrawn, announced []netip.Prefix
	endOfRIB             bool // an End-of-RIB marker (RFC 4724): the peer has sent all its routes
}

// parseUpdate parses the body of an UPDATE message, which has at least 4 bytes. It checks that each path attribute is complete
// and ignores the types and values of the attributes.
func parseUpdate(b []byte) (msg updateMessage, err error) {
	truncated := &messageError{codeMalformedAttributes, "truncated UPDATE"}
	msg.endOfRIB = len(b) == 4
	withdrawnSize := int(binary.BigEndian.Uint16(b))
	if len(b) < 2+withdrawnSize+2 {
		return msg, truncated
	}
	if msg.withdrawn, err = parsePrefixes(b[2 : 2+withdrawnSize]); err != nil {
		return msg, err
	}
	b = b[2+withdrawnSize:]
	attrsSize := int(binary.BigEndian.Uint16(b))
	if len(b) < 2+attrsSize {
		return msg, truncated
	}
	for attrs := b[2 : 2+attrsSize]; len(attrs) > 0; {
		size, attrHeaderSize := 0, 3
		switch {
		case len(attrs) < 3:
			return msg, truncated
		case attrs[0]&0x10 == 0:
			size = int(attrs[2])
		case len(attrs) < 4:
			return msg, truncated
		default:
			size, attrHeaderSize = int(binary.BigEndian.Uint16(attrs[2:])), 4
		}
		if len(attrs) < attrHeaderSize+size {
			return msg, truncated
		}
		attrs = attrs[attrHeaderSize+size:]
	}
	msg.announced, err = parsePrefixes(b[2+attrsSize:])
	return msg, err
}

// parsePrefixes parses a list of encoded IPv4 prefixes.
func parsePrefixes(b []byte) (prefixes []netip.Prefix, err error) {
	for len(b) > 0 {
		bits := int(b[0])
		size := (bits + 7) / 8
		if bits > 32 || len(b) < 1+size {
			return nil, &messageError{codeInvalidNetwork, "truncated or invalid prefix"}
		}
		var addr [4]byte
		copy(addr[:], b[1:1+size])
		prefixes = append(prefixes, netip.PrefixFrom(netip.AddrFrom4(addr), bits).Masked())
		b = b[1+size:]
	}
	return prefixes, nil
}

// appendPrefix appends an encoded IPv4 prefix to b.
func appendPrefix(b []byte, prefix netip.Prefix) []byte {
	addr := prefix.Addr().As4()
	return append(append(b, byte(prefix.Bits())), addr[:(prefix.Bits()+7)/8]...)
}

// buildWithdrawal returns an UPDATE message that withdraws a prefix.
func buildWithdrawal(prefix netip.Prefix) []byte {
	withdrawn := appendPrefix(nil, prefix)
	b := binary.BigEndian.AppendUint16(nil, uint16(len(withdrawn)))
	return buildMessage(msgUpdate, append(append(b, withdrawn...), 0, 0))
}

// buildAnnouncement returns an UPDATE message that announces a prefix. externalPeer says that the peer is in another AS,
// fourByteAS that it supports four-byte AS numbers.
func buildAnnouncement(prefix netip.Prefix, nextHop netip.Addr, as uint32, externalPeer, fourByteAS bool) []byte {
	attrs := []byte{0x40, attrOrigin, 1, 0}
	switch {
	case !externalPeer:
		attrs = append(attrs, 0x40, attrASPath, 0)
	case fourByteAS:
		attrs = append(attrs, 0x40, attrASPath, 6, 2, 1)
		attrs = binary.BigEndian.AppendUint32(attrs, as)
	default:
		attrs = append(attrs, 0x40, attrASPath, 4, 2, 1)
		attrs = binary.BigEndian.AppendUint16(attrs, twoByteAS(as))
	}
	attrs = append(append(attrs, 0x40, attrNextHop, 4), nextHop.AsSlice()...)
	if !externalPeer {
		attrs = append(attrs, 0x40, attrLocalPref, 4, 0, 0, 0, 100)
	}
	b := binary.BigEndian.AppendUint16([]byte{0, 0}, uint16(len(attrs)))
	return buildMessage(msgUpdate, appendPrefix(append(b, attrs...), prefix))
}
