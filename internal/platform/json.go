package platform

import (
	"errors"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// line is one JSON line of a server.
type line struct {
	op, call, desc string
	why            int
	load, note     string
}

var errJSON = errors.New("broken JSON")

// maxDepth is how deep values may nest; the protocol needs two.
const maxDepth = 16

// parseLine reads a line. Keys it doesn't know are passed over.
func parseLine(b []byte) (l line, err error) {
	s := scanner{b: b}
	l.why = -1
	err = s.object(func(key string) error {
		switch key {
		case "op":
			return s.text(&l.op)
		case "call":
			return s.text(&l.call)
		case "desc":
			return s.text(&l.desc)
		case "why":
			var text string
			if err := s.text(&text); err != nil {
				return err
			}
			n, err := strconv.Atoi(text)
			l.why = n
			return err
		case "with":
			return s.object(func(key string) error {
				switch key {
				case "load":
					return s.text(&l.load)
				case "note":
					return s.text(&l.note)
				}
				return s.pass(0)
			})
		}
		return s.pass(0)
	})
	if err == nil && s.peek() != 0 {
		err = errJSON
	}
	return l, err
}

// scanner reads JSON from its front.
type scanner struct {
	b []byte
	i int
}

// peek is the next byte after white space; 0 at the end.
func (s *scanner) peek() byte {
	for ; s.i < len(s.b); s.i++ {
		switch c := s.b[s.i]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// eat consumes a byte if it comes next.
func (s *scanner) eat(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.i++
	return true
}

// object reads an object; each is called with a key and reads its value.
func (s *scanner) object(each func(key string) error) error {
	if !s.eat('{') {
		return errJSON
	}
	if s.eat('}') {
		return nil
	}
	for {
		key, err := s.str()
		if err != nil {
			return err
		}
		if !s.eat(':') {
			return errJSON
		}
		if err := each(key); err != nil {
			return err
		}
		if s.eat('}') {
			return nil
		}
		if !s.eat(',') {
			return errJSON
		}
	}
}

// text reads a string, or a number as it is written.
func (s *scanner) text(into *string) (err error) {
	if s.peek() == '"' {
		*into, err = s.str()
		return err
	}
	start := s.i
	if err := s.pass(0); err != nil {
		return err
	}
	*into = string(s.b[start:s.i])
	return nil
}

// str reads a string.
func (s *scanner) str() (string, error) {
	if !s.eat('"') {
		return "", errJSON
	}
	var out []byte
	for s.i < len(s.b) {
		c := s.b[s.i]
		s.i++
		switch {
		case c == '"':
			return string(out), nil
		case c < ' ':
			return "", errJSON
		case c != '\\':
			out = append(out, c)
			continue
		case s.i == len(s.b):
			return "", errJSON
		}
		c = s.b[s.i]
		s.i++
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
			r, ok := s.hex4()
			if !ok {
				return "", errJSON
			}
			if utf16.IsSurrogate(r) && s.i+1 < len(s.b) && s.b[s.i] == '\\' && s.b[s.i+1] == 'u' {
				s.i += 2
				low, ok := s.hex4()
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

func (s *scanner) hex4() (rune, bool) {
	if s.i+4 > len(s.b) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(s.b[s.i:s.i+4]), 16, 32)
	s.i += 4
	return rune(n), err == nil
}

// pass passes over a value.
func (s *scanner) pass(depth int) error {
	if depth > maxDepth {
		return errJSON
	}
	switch c := s.peek(); {
	case c == '"':
		_, err := s.str()
		return err
	case c == '{':
		return s.object(func(string) error { return s.pass(depth + 1) })
	case c == '[':
		s.i++
		if s.eat(']') {
			return nil
		}
		for {
			if err := s.pass(depth + 1); err != nil {
				return err
			}
			if s.eat(']') {
				return nil
			}
			if !s.eat(',') {
				return errJSON
			}
		}
	}
	start := s.i
	for s.i < len(s.b) && (s.b[s.i] >= '0' && s.b[s.i] <= '9' || s.b[s.i] >= 'a' && s.b[s.i] <= 'z' ||
		s.b[s.i] == '-' || s.b[s.i] == '+' || s.b[s.i] == '.' || s.b[s.i] == 'E') {
		s.i++
	}
	word := string(s.b[start:s.i])
	if _, err := strconv.ParseFloat(word, 64); err != nil && word != "true" && word != "false" && word != "null" {
		return errJSON
	}
	return nil
}

const hexDigits = "0123456789abcdef"

// appendText writes a JSON string.
func appendText[T string | []byte](b []byte, text T) []byte {
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
