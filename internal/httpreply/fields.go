package httpreply

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strings"
)

// The errors of fields.
var (
	ErrField    = errors.New("malformed header field")
	ErrFraming  = errors.New("reply whose end is ambiguous")
	ErrRepeated = errors.New("header field with two values")
)

// CheckHead checks the fields of a reply's head, and the text of its status line. A name
// that isn't a token, such as one with a blank at its end, is an error, since readers differ
// in what they take it for, and so is a line that continues the one before. single are names
// of fields that have one value: another one is an error, since readers differ in which of
// them they take.
func CheckHead(head []byte, single ...string) error {
	c := newFieldChecker(single)
	first := true
	for line := range bytes.Lines(head) {
		line = trimLineEnd(line)
		switch {
		case len(line) == 0:
			return c.framing.check()
		case first:
			if hasControl(line) {
				return fmt.Errorf("%w: %.40q", ErrStatusLine, line)
			}
			first, c.framing.http10 = false, bytes.HasPrefix(line, http10)
			continue
		}
		name, value, err := splitField(line)
		if err == nil {
			err = c.observe(name, value)
		}
		if err != nil {
			return err
		}
	}
	return c.framing.check()
}

// CheckDecoded checks a reply that another process has read, perhaps less strictly: its
// status, and the names and values of its fields. single is as in CheckHead.
func CheckDecoded(status int, fields iter.Seq2[string, string], single ...string) error {
	if status < MinStatus || status > MaxStatus {
		return fmt.Errorf("%w: %d", ErrStatusLine, status)
	}
	c := newFieldChecker(single)
	for name, value := range fields {
		err := checkField([]byte(name), []byte(value))
		if err == nil {
			err = c.observe([]byte(name), []byte(value))
		}
		if err != nil {
			return err
		}
	}
	return c.framing.check()
}

// CheckField checks one line of a head or a trailer, with or without its line end.
func CheckField(line []byte) error {
	_, _, err := splitField(trimLineEnd(line))
	return err
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
}

// splitField returns the name and the value of a field.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return nil, nil, fmt.Errorf("%w: %.40q", ErrField, line)
	}
	return name, value, checkField(name, value)
}

func checkField(name, value []byte) error {
	if !isToken(name) || hasControl(value) {
		return fmt.Errorf("%w: %.40q: %.40q", ErrField, name, value)
	}
	return nil
}

// fieldChecker checks whether the fields of one reply go together.
type fieldChecker struct {
	framing framing
	single  []string // as in CheckHead
	values  [][]byte // of the fields in single; nil: none so far
}

func newFieldChecker(single []string) *fieldChecker {
	return &fieldChecker{single: single, values: make([][]byte, len(single))}
}

func (c *fieldChecker) observe(name, value []byte) error {
	value = bytes.Trim(value, " \t")
	if err := c.framing.observe(name, value); err != nil {
		return err
	}
	return c.observeSingle(name, value)
}

func (c *fieldChecker) observeSingle(name, value []byte) error {
	for i, single := range c.single {
		switch {
		case len(name) != len(single) || !strings.EqualFold(string(name), single):
		case c.values[i] == nil:
			c.values[i] = append([]byte{}, value...) // not nil, also if it is empty
		case !bytes.Equal(c.values[i], value):
			return fmt.Errorf("%w: %s: %.40q, %.40q", ErrRepeated, name, c.values[i], value)
		}
	}
	return nil
}

// tokenChars are the characters of a token of HTTP.
var tokenChars = func() (is [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz" {
		is[c] = true
	}
	return is
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChars[c] {
			return false
		}
	}
	return len(b) > 0
}

// hasControl reports whether b has a control byte other than a tab.
func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// framing is what a head says of where the body ends.
type framing struct {
	http10          bool // which has no transfer codings, so that readers differ in whether they decode one
	length, chunked bool
}

var (
	http10           = []byte("HTTP/1.0")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunkedCoding    = []byte("chunked")
)

func (f *framing) observe(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, contentLength):
		if f.length || !isDecimal(value) {
			return fmt.Errorf("%w: length %.40q", ErrFraming, value)
		}
		f.length = true
	case bytes.EqualFold(name, transferEncoding):
		if f.http10 || f.chunked || !bytes.EqualFold(value, chunkedCoding) {
			return fmt.Errorf("%w: coding %.40q", ErrFraming, value)
		}
		f.chunked = true
	}
	return nil
}

func (f *framing) check() error {
	if f.chunked && f.length {
		return fmt.Errorf("%w: both a length and chunks", ErrFraming)
	}
	return nil
}

func isDecimal(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}
