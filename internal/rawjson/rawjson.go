// Package rawjson splits JSON documents into their parts without decoding the parts, so that
// one that can't be decoded does not hide the others. It only looks for the end of a part:
// nesting, sizes of numbers and the content of strings are left to the decoder of the part.
package rawjson

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Errors of Members and Elements.
var (
	ErrKind      = errors.New("rawjson: value of another type")
	ErrSyntax    = errors.New("rawjson: malformed or cut")
	ErrDuplicate = errors.New("rawjson: a name twice")
)

// Members returns the members of the object that b contains. The values refer to b. The
// error wraps one of the errors above.
func Members(b []byte) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	err := split(b, '{', '}', func(s *scanner) error {
		name, err := s.name()
		if err != nil {
			return err
		}
		if _, known := out[name]; known {
			return errors.Wrapf(ErrDuplicate, "%.40q", name)
		}
		out[name], err = s.value()
		return err
	})
	return out, err
}

// Elements returns the elements of the array that b contains. They refer to b. The error
// wraps one of the errors above.
func Elements(b []byte) ([]json.RawMessage, error) {
	var out []json.RawMessage
	err := split(b, '[', ']', func(s *scanner) error {
		v, err := s.value()
		out = append(out, v)
		return err
	})
	return out, err
}

// split calls part for each part of the object or array that b contains, with the scanner
// at the beginning of the part.
func split(b []byte, open, end byte, part func(*scanner) error) error {
	s := &scanner{rest: b}
	if !s.skip(open) {
		return errors.Wrapf(ErrKind, "not a %c", open)
	}
	for first := true; !s.skip(end); first = false {
		if !first && !s.skip(',') {
			return ErrSyntax
		}
		if err := part(s); err != nil {
			return err
		}
	}
	s.space()
	if len(s.rest) > 0 {
		return ErrSyntax
	}
	return nil
}

type scanner struct{ rest []byte }

func (s *scanner) space() {
	for len(s.rest) > 0 && isSpace(s.rest[0]) {
		s.rest = s.rest[1:]
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// skip skips spaces and then c, and reports whether c was there.
func (s *scanner) skip(c byte) bool {
	s.space()
	if len(s.rest) == 0 || s.rest[0] != c {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

// name reads the name of a member and the colon behind it.
func (s *scanner) name() (string, error) {
	s.space()
	size := stringSize(s.rest)
	if size == 0 {
		return "", ErrSyntax
	}
	var name string
	if err := json.Unmarshal(s.rest[:size], &name); err != nil {
		return "", errors.Wrap(ErrSyntax, err.Error())
	}
	s.rest = s.rest[size:]
	if !s.skip(':') {
		return "", ErrSyntax
	}
	return name, nil
}

// value reads one value, however deep.
func (s *scanner) value() (json.RawMessage, error) {
	s.space()
	size := valueSize(s.rest)
	if size == 0 {
		return nil, ErrSyntax
	}
	v := s.rest[:size:size]
	s.rest = s.rest[size:]
	return v, nil
}

// valueSize returns the size of the value at the beginning of b, 0 if it is cut or there is
// none.
func valueSize(b []byte) int {
	depth := 0
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case c == '"':
			size := stringSize(b[i:])
			if size == 0 {
				return 0
			}
			i += size - 1
		case c == '{' || c == '[':
			depth++
			continue
		case c == '}' || c == ']':
			if depth == 0 {
				return 0 // there is no value
			}
			depth--
		case depth > 0:
			continue
		default:
			return literalSize(b)
		}
		if depth == 0 {
			return i + 1
		}
	}
	return 0
}

// stringSize returns the size of the string at the beginning of b, 0 if it is cut or there
// is none.
func stringSize(b []byte) int {
	if len(b) == 0 || b[0] != '"' {
		return 0
	}
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// literalSize returns the size of what is neither a string, nor an object or an array.
func literalSize(b []byte) int {
	for i, c := range b {
		if isSpace(c) || c == ',' || c == '}' || c == ']' || c == ':' || c == '"' {
			return i
		}
	}
	return len(b)
}
