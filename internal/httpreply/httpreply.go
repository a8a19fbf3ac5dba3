// Package httpreply checks what a peer sent before it is parsed as an HTTP reply. The HTTP
// library takes some bytes for a reply that are none: it reads a status of 000 as 200, and
// accepts statuses above 599, any protocol version, names of fields with blanks, lines that
// continue the one before, and replies whose end is ambiguous: with both a length and chunks,
// or with chunks in HTTP/1.0.
//
// Bytes that fail a check prove nothing about whether the request was executed.
package httpreply

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// The statuses of a final reply.
const (
	MinStatus = 200
	MaxStatus = 599
)

// ErrStatusLine is the error of a status line or a status.
var ErrStatusLine = errors.New("no status line of HTTP/1.0 or HTTP/1.1 with a status from 200 to 599")

// IsMalformed reports whether an error of this package says that bytes are no HTTP reply.
func IsMalformed(err error) bool {
	for _, malformed := range []error{ErrStatusLine, ErrField, ErrFraming, ErrRepeated} {
		if errors.Is(err, malformed) {
			return true
		}
	}
	return false
}

// protocol is what a reply begins with.
const protocol = "HTTP/1."

// The fixed positions in a status line, such as "HTTP/1.1 200 OK".
const (
	versionEnd    = len("HTTP/1.1")
	statusEnd     = versionEnd + len(" 200")
	statusLineMin = statusEnd + 1 // with a space or the end of the line
)

// CheckStatusLine returns ErrStatusLine if a reply that begins with some bytes has no valid
// status line. Fewer bytes than one has are checked as far as they go.
func CheckStatusLine(b []byte) error {
	b = b[:min(len(b), statusLineMin)]
	for i, c := range b {
		var ok bool
		switch {
		case i < versionEnd-1:
			ok = c == protocol[i]
		case i < versionEnd:
			ok = c == '0' || c == '1'
		case i == versionEnd:
			ok = c == ' '
		case i == versionEnd+1:
			ok = '2' <= c && c <= '5'
		case i < statusEnd:
			ok = '0' <= c && c <= '9'
		default:
			ok = c == ' ' || c == '\r' || c == '\n'
		}
		if !ok {
			return fmt.Errorf("%w: %q", ErrStatusLine, b)
		}
	}
	return nil
}

// PeekHead checks the head of the next reply, which has to fit into the buffer of br. Its
// status line is checked as it comes in. single is as in CheckHead.
func PeekHead(br *bufio.Reader, single ...string) error {
	for n := 1; ; n = br.Buffered() + 1 {
		_, err := br.Peek(n)
		switch {
		case errors.Is(err, io.EOF) && br.Buffered() > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		head, _ := br.Peek(br.Buffered())
		if err := CheckStatusLine(head); err != nil {
			return err
		}
		if end := headEnd(head); end > 0 {
			return CheckHead(head[:end], single...)
		}
	}
}

// headEnd returns the length of the head that b begins with, 0 if it doesn't end in b.
func headEnd(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		line := b[at : at+i]
		at += i + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
}
