package platform

import (
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// serverMessage is a message from a server, which is one line of JSON. A text field whose JSON value is not a string holds the
// value as it was written.
type serverMessage struct {
	op, call, desc   string
	cause            int // the key "why"; -1 if the message has none
	loadReport, note string
}

// maxNesting is the maximum nesting of values that skipValue accepts; the protocol needs two levels.
const maxNesting = 16

// parseServerMessage decodes a line. It skips unknown keys.
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
	if err == nil && !s.atEnd() {
		err = errJSON
	}
	return msg, err
}

// jsonScanner reads JSON values one after another.
type jsonScanner struct {
	data []byte
	pos  int // index of the next byte in data
}

// peek skips white space and returns the next byte without consuming it, or 0 at the end of the data.
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

// atEnd reports whether nothing but white space is left.
func (s *jsonScanner) atEnd() bool {
	s.peek()
	return s.pos == len(s.data)
}

// consume consumes c, which is not 0, if it is the next byte after white space, and reports whether it was.
func (s *jsonScanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.pos++
	return true
}

// readObject reads an object. It calls readValue after each key, to read the key's value.
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

// readText reads a value into target: a string without its quotes, any other value as it is written.
func (s *jsonScanner) readText(target *string) (err error) {
	if s.peek() == '"' {
		*target, err = s.readString()
		return err
	}
	start := s.pos
	if err := s.skipValue(0); err != nil {
		return err
	}
	*target = string(s.data[start:s.pos])
	return nil
}

// readString reads a string and decodes its escapes.
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

// readHex4 reads the four hexadecimal digits of a \u escape.
func (s *jsonScanner) readHex4() (rune, bool) {
	if s.pos+4 > len(s.data) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(s.data[s.pos:s.pos+4]), 16, 32)
	s.pos += 4
	return rune(n), err == nil
}

// skipValue reads a value at the given nesting depth and drops it.
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

// hexDigits are the hexadecimal digits, by value, of the \u escapes that appendString writes.
const hexDigits = "0123456789abcdef"

// appendString appends text to b as a JSON string.
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
