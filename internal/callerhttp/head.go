package callerhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
)

const (
	// headBuffer is the size of a connection's read buffer at first. Most heads fit.
	headBuffer = 2 << 10
	// fieldBytes is what a decoded header field takes besides its text: 56 bytes and a
	// name at the HTTP library, 32 bytes and two strings in the request that is passed
	// on, and the slices' growth.
	fieldBytes = 256
	// freeFields is the number of header fields that the charge of a request covers.
	freeFields = 16
	// maxPooledFields bounds the header fields of a request whose buffers are used again.
	maxPooledFields = 64
)

// Errors of requests that are not read whole.
var (
	errNoBytes       = errors.New("no bytes left in the budget")
	errTooManyFields = errors.New("too many header fields")
	errHeadTooLarge  = errors.New("the head is too large")
)

// awaitHead reads until the buffer holds a whole head, and returns the number of its
// lines. Header fields are decoded only then, and their memory is drawn before: a
// decoded field takes many times the bytes of a short line.
func (c *conn) awaitHead(limits *Limits, account *membudget.Account) (lines int, err error) {
	var s headScanner
	for {
		buf, _ := c.br.Peek(c.br.Buffered())
		if s.scan(buf) {
			break
		}
		if limits.Fields > 0 && s.lines > limits.Fields {
			return 0, errTooManyFields
		}
		if len(buf) == c.br.Size() {
			if len(buf) >= limits.HeaderBytes {
				return 0, errHeadTooLarge
			}
			if !c.growBuffer(limits, account) {
				return 0, errNoBytes
			}
		}
		if _, err := c.br.Peek(len(buf) + 1); err != nil {
			return 0, headError(err)
		}
		account.Moved(c.br.Buffered() - len(buf))
	}
	if limits.Fields > 0 && s.lines > limits.Fields {
		return 0, errTooManyFields
	}
	if extra := s.lines - freeFields; extra > 0 && !account.Take(extra*fieldBytes) {
		return 0, errNoBytes
	}
	return s.lines, nil
}

// headError is the error of a head that stops before its end.
func headError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growBuffer doubles the read buffer, within the limit on heads.
func (c *conn) growBuffer(limits *Limits, account *membudget.Account) bool {
	size := min(2*c.br.Size(), limits.HeaderBytes)
	if !account.Take(size) {
		return false
	}
	c.resize(size)
	c.widen(account, size)
	return true
}

// resize replaces the read buffer by one of another size, with what has been read.
func (c *conn) resize(size int) {
	unread, _ := c.br.Peek(c.br.Buffered())
	c.br = bufio.NewReaderSize(&resumedReader{begin: unread, nc: c.nc}, size)
	_, _ = c.br.Peek(len(unread))
}

// shrink returns to a small read buffer after a request with a large head.
func (c *conn) shrink() {
	if c.br.Size() > headBuffer && c.br.Buffered() <= headBuffer {
		c.resize(headBuffer)
	}
}

// resumedReader reads a connection of which some bytes have been read before.
type resumedReader struct {
	begin []byte
	nc    net.Conn
}

// Read implements io.Reader.
func (r *resumedReader) Read(p []byte) (int, error) {
	if len(r.begin) == 0 {
		return r.nc.Read(p)
	}
	n := copy(p, r.begin)
	if r.begin = r.begin[n:]; len(r.begin) == 0 {
		r.begin = nil // the former buffer is free
	}
	return n, nil
}

// headScanner finds the end of a head in a buffer that grows.
type headScanner struct {
	scanned int // bytes of whole lines
	lines   int
}

// scan counts the lines of a head that have become whole. It reports whether the empty
// line that ends the head has arrived. Empty lines before the request line don't count.
func (s *headScanner) scan(buf []byte) bool {
	for {
		n := bytes.IndexByte(buf[s.scanned:], '\n')
		if n < 0 {
			return false
		}
		line := buf[s.scanned : s.scanned+n]
		s.scanned += n + 1
		switch empty := len(line) == 0 || len(line) == 1 && line[0] == '\r'; {
		case !empty:
			s.lines++
		case s.lines > 0:
			return true
		}
	}
}

// isHeadTooLarge reports whether a request is refused for its head.
func isHeadTooLarge(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small) || errors.Is(err, errHeadTooLarge) || errors.Is(err, errTooManyFields)
}
