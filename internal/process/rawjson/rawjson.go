// Package rawjson splits a JSON document into its parts without decoding them, so that one part that can't be decoded, for example
// because it is nested too deeply, does not invalidate the others.
package rawjson

import (
	"encoding/json"
	"errors"
)

// ErrSyntax reports a document that is not an object or array of the expected form. Parts of it may be invalid without an error.
var ErrSyntax = errors.New("not the expected JSON object or array")

// Fields returns the values of an object's fields. Of fields with the same name the last one counts.
func Fields(object []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	s := splitter{data: object}
	err := s.each('{', '}', func() error {
		var name string
		if err := json.Unmarshal(s.value(), &name); err != nil {
			return ErrSyntax
		}
		if s.next() != ':' {
			return ErrSyntax
		}
		s.at++
		fields[name] = s.value()
		return nil
	})
	return fields, err
}

// Elements returns the elements of an array. It accepts null as an empty one.
func Elements(array []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	s := splitter{data: array}
	if string(s.value()) == "null" {
		return nil, nil
	}
	s.at = 0
	err := s.each('[', ']', func() error {
		elements = append(elements, s.value())
		return nil
	})
	return elements, err
}

// splitter reads a document from its start.
type splitter struct {
	data []byte
	at   int
}

// next skips white space and returns the byte after it, or 0 at the end.
func (s *splitter) next() byte {
	for ; s.at < len(s.data); s.at++ {
		switch c := s.data[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// each calls part at the start of each part between the brackets, which has to read the part.
func (s *splitter) each(open, end byte, part func() error) error {
	if s.next() != open {
		return ErrSyntax
	}
	s.at++
	for first := true; ; first = false {
		c := s.next()
		if c == end && first {
			break
		}
		start := s.at
		if err := part(); err != nil {
			return err
		}
		if s.at == start {
			return ErrSyntax
		}
		if c = s.next(); c == end {
			break
		}
		if c != ',' {
			return ErrSyntax
		}
		s.at++
	}
	s.at++
	if s.next() != 0 {
		return ErrSyntax
	}
	return nil
}

// value reads one value. It only looks for the end of the value: strings, brackets at any depth, and the separators after it.
func (s *splitter) value() json.RawMessage {
	s.next()
	start, depth := s.at, 0
	for ; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '"':
			s.skipString()
			if depth == 0 && s.at < len(s.data) {
				s.at++
				return s.data[start:s.at]
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.data[start:s.at]
			}
			if depth--; depth == 0 {
				s.at++
				return s.data[start:s.at]
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.data[start:s.at]
			}
		}
	}
	return s.data[start:min(s.at, len(s.data))]
}

// skipString moves to the closing quote of the string that begins here.
func (s *splitter) skipString() {
	for s.at++; s.at < len(s.data) && s.data[s.at] != '"'; s.at++ {
		if s.data[s.at] == '\\' {
			s.at++
		}
	}
}
