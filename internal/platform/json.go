package platform

import (
	"errors"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// line is one JSON line of a server.
type serverMessage struct {
	op, call, desc   string
	cause            int
	loadReport, note string
}

var errJSON = errors.New("broken JSON")

// maxDepth is how deep values may nest; the protocol needs two.
const maxNesting = 16

// parseLine reads a line. Keys it doesn't know are passed over.
func parseServerMessage(b []byte) (msg serverMessage, err error) {
	s := jsonScanner{data: b}
	msg.cause = -1
	err = s.readObject(func(key string) error {
		switch key {
		case "op":
			return s.readText(&msg.op)
		case "call":
			return s.readText(&msg.call)
		case "desc":
			return s.readText(&msg.desc)
		case "why":
			var text string
			if err := s.readText(&text); err != nil {
				return err
			}
			n, err := strconv.Atoi(text)
			msg.cause = n
			return err
		case "with":
			return s.readObject(func(key string) error {
				switch key {
				case "load":
					return s.readText(&msg.loadReport)
				case "note":
					return s.readText(&msg.note)
				}
				return s.skipValue(0)
			})
		}
		return s.skipValue(0)
	})
	if err == nil && s.peek() != 0 {
		err = errJSON
	}
	return msg, err
}

// scanner reads JSON from its front.
type jsonScanner struct {
	data []byte
	pos  int
}

// peek is the next byte after white space; 0 at the end.
func (s *jsonScanner) peek() byte {
	for ; s.pos < len(s.data); s.pos++ {
		switch c := s.data[s.pos]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// eat consumes a byte if it comes next.
func (s *jsonScanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.pos++
	return true
}

// object reads an object; each is called with a key and reads its value.
func (s *jsonScanner) readObject(readValue func(key string) error) error {
	if !s.consume('{') {
		return errJSON
	}
	if s.consume('}') {
		return nil
	}
	for {
		key, err := s.readString()
		if err != nil {
			return err
		}
		if !s.consume(':') {
			return errJSON
		}
		if err := readValue(key); err != nil {
			return err
		}
		if s.consume('}') {
			return nil
		}
		if !s.consume(',') {
			return errJSON
		}
	}
}

// text reads a string, or a number as it is written.
func (s *jsonScanner) readText(into *string) (err error) {
	if s.peek() == '"' {
		*into, err = s.readString()
		return err
	}
	start := s.pos
	if err := s.skipValue(0); err != nil {
		return err
	}
	*into = string(s.data[start:s.pos])
	return nil
}

// str reads a string.
func (s *jsonScanner) readString() (string, error) {
	if !s.consume('"') {
		return "", errJSON
	}
	var out []byte
	for s.pos < len(s.data) {
		c := s.data[s.pos]
		s.pos++
		switch {
		case c == '"':
			return string(out), nil
		case c < ' ':
			return "", errJSON
		case c != '\\':
			out = append(out, c)
			continue
		case s.pos == len(s.data):
			return "", errJSON
		}
		c = s.data[s.pos]
		s.pos++
		switch c {
		case '"', '\\', '/':
			out = append(out, c)
		case 'b':
			out = append(out, '\b')
		case 'f':
			out = append(out, '\f')
		case 'n':
			out = append(out, '\n')
		case 'r':
			out = append(out, '\r')
		case 't':
			out = append(out, '\t')
		case 'u':
			r, ok := s.readHex4()
			if !ok {
				return "", errJSON
			}
			if utf16.IsSurrogate(r) && s.pos+1 < len(s.data) && s.data[s.pos] == '\\' && s.data[s.pos+1] == 'u' {
				s.pos += 2
				low, ok := s.readHex4()
				if !ok {
					return "", errJSON
				}
				r = utf16.DecodeRune(r, low)
			}
			out = utf8.AppendRune(out, r)
		default:
			return "", errJSON
		}
	}
	return "", errJSON
}

func (s *jsonScanner) readHex4() (rune, bool) {
	if s.pos+4 > len(s.data) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(s.data[s.pos:s.pos+4]), 16, 32)
	s.pos += 4
	return rune(n), err == nil
}

// pass passes over a value.
func (s *jsonScanner) skipValue(depth int) error {
	if depth > maxNesting {
		return errJSON
	}
	switch c := s.peek(); {
	case c == '"':
		_, err := s.readString()
		return err
	case c == '{':
		return s.readObject(func(string) error { return s.skipValue(depth + 1) })
	case c == '[':
		s.pos++
		if s.consume(']') {
			return nil
		}
		for {
			if err := s.skipValue(depth + 1); err != nil {
				return err
			}
			if s.consume(']') {
				return nil
			}
			if !s.consume(',') {
				return errJSON
			}
		}
	}
	start := s.pos
	for s.pos < len(s.data) && (s.data[s.pos] >= '0' && s.data[s.pos] <= '9' || s.data[s.pos] >= 'a' && s.data[s.pos] <= 'z' ||
		s.data[s.pos] == '-' || s.data[s.pos] == '+' || s.data[s.pos] == '.' || s.data[s.pos] == 'E') {
		s.pos++
	}
	literal := string(s.data[start:s.pos])
	if _, err := strconv.ParseFloat(literal, 64); err != nil && literal != "true" && literal != "false" && literal != "null" {
		return errJSON
	}
	return nil
}

const hexDigits = "0123456789abcdef"

// appendText writes a JSON string.
func appendString[T string | []byte](b []byte, text T) []byte {
	b = append(b, '"')
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, '\\', 'n')
		case c == '\r':
			b = append(b, '\\', 'r')
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
