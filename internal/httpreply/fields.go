package httpreply

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// The errors of CheckHead and CheckField.
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
	var f framing
	values := make([][]byte, len(single))
	first := true
	for line := range bytes.Lines(head) {
		line = trimLineEnd(line)
		switch {
		case len(line) == 0:
			return f.check()
		case first:
			if hasControl(line) {
				return fmt.Errorf("%w: %.40q", ErrStatusLine, line)
			}
			first, f.http10 = false, bytes.HasPrefix(line, http10)
			continue
		}
		name, value, err := splitField(line)
		if err == nil {
			err = f.observe(name, value)
		}
		if err == nil {
			err = observeSingle(single, values, name, value)
		}
		if err != nil {
			return err
		}
	}
	return f.check()
}

// observeSingle records the value of a field that has one of the names in single.
func observeSingle(single []string, values [][]byte, name, value []byte) error {
	for i, s := range single {
		switch {
		case len(name) != len(s) || !strings.EqualFold(string(name), s):
		case values[i] == nil:
			values[i] = value
		case !bytes.Equal(values[i], value):
			return fmt.Errorf("%w: %s: %.40q, %.40q", ErrRepeated, s, values[i], value)
		}
	}
	return nil
}

// CheckField checks one line of a head or a trailer, with or without its line end.
func CheckField(line []byte) error {
	_, _, err := splitField(trimLineEnd(line))
	return err
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
}

// splitField returns the name of a field and its value, which isn't nil.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) || hasControl(value) {
		return nil, nil, fmt.Errorf("%w: %.40q", ErrField, line)
	}
	if value = bytes.Trim(value, " \t"); value == nil { // only blanks
		value = []byte{}
	}
	return name, value, nil
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
