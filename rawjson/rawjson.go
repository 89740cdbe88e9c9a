// Package rawjson splits JSON objects and arrays into their parts without decoding these, whatever is in
// them and however deep it is nested, so that a part that cannot be decoded costs only itself. What a part
// holds is checked no further than is needed to find its end.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

var (
	errShort = errors.New("rawjson: the data ends early")
	errForm  = errors.New("rawjson: not an object or array of the expected form")
)

// Members calls visit with the name and the value of each member of an object, in order. A name that is no
// JSON string is empty.
func Members(data []byte, visit func(name string, value []byte)) error {
	return split(data, '{', '}', func(s *scanner) error {
		if s.peek() != '"' {
			return errForm
		}
		raw, err := s.value()
		if err != nil {
			return err
		}
		if s.next() != ':' {
			return errForm
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		visit(unquote(raw), value)
		return nil
	})
}

// unquote returns the text of a JSON string; empty if it is none.
func unquote(raw []byte) string {
	inner := raw[1 : len(raw)-1]
	if !bytes.ContainsFunc(inner, func(r rune) bool { return r == '\\' || r < ' ' || r >= utf8.RuneSelf }) {
		return string(inner)
	}
	var name string
	if json.Unmarshal(raw, &name) != nil {
		return ""
	}
	return name
}

// Elements calls visit with each element of an array, in order.
func Elements(data []byte, visit func(value []byte)) error {
	return split(data, '[', ']', func(s *scanner) error {
		value, err := s.value()
		if err == nil {
			visit(value)
		}
		return err
	})
}

// split reads parts, separated by commas, between two brackets that enclose all of the data.
func split(data []byte, first, last byte, part func(*scanner) error) error {
	s := &scanner{data: data}
	if s.next() != first {
		return errForm
	}
	if s.peek() == last {
		s.at++
		return s.end()
	}
	for {
		if err := part(s); err != nil {
			return err
		}
		switch s.next() {
		case ',':
		case last:
			return s.end()
		case 0:
			return errShort
		default:
			return errForm
		}
	}
}

// scanner reads data from a position on.
type scanner struct {
	data []byte
	at   int
}

// peek skips white space and returns the byte after it; 0 at the end.
func (s *scanner) peek() byte {
	for s.at < len(s.data) {
		switch c := s.data[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

// next is peek, and goes on after that byte.
func (s *scanner) next() byte {
	c := s.peek()
	s.at = min(s.at+1, len(s.data))
	return c
}

// end returns an error unless only white space is left.
func (s *scanner) end() error {
	if s.peek(); s.at < len(s.data) {
		return errForm
	}
	return nil
}

// value returns the bytes of the value at the position and goes on after it.
func (s *scanner) value() ([]byte, error) {
	switch s.peek() {
	case '}', ']', ',', ':':
		return nil, errForm
	}
	from := s.at
	for depth := 0; ; {
		if s.at == len(s.data) {
			return nil, errShort
		}
		switch s.data[s.at] {
		case '{', '[':
			depth++
			s.at++
		case '}', ']':
			depth--
			s.at++
		case '"':
			if !s.skipString() {
				return nil, errShort
			}
		default:
			s.skipScalar()
		}
		if depth == 0 {
			return s.data[from:s.at], nil
		}
	}
}

// skipString goes on after the string at the position, and returns false if it does not end.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	s.at = len(s.data)
	return false
}

// skipScalar goes on after a scalar other than a string, or after one byte between values.
func (s *scanner) skipScalar() {
	from := s.at
	for ; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '{', '}', '[', ']', '"', ',', ':', ' ', '\t', '\r', '\n':
			s.at = max(s.at, from+1)
			return
		}
	}
}
