package callerhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
)

const (
	// bodyStep is the first piece of a body, which the charge of a request covers.
	bodyStep = 4 << 10
	// minFieldLine is the shortest line of a field.
	minFieldLine = 3
	// maxChunkOverhead bounds the framing of a chunked body beyond 16 bytes a chunk
	// and twice its data.
	maxChunkOverhead = 16 << 10
)

// errChunk marks a body that is not chunked as HTTP/1.1 has it.
var errChunk = errors.New("malformed chunk")

// bodyReader reads a request's body. Its buffer grows with the bytes that arrive, and
// not by the length that the request states.
type bodyReader struct {
	br      *bufio.Reader
	limit   int
	account *membudget.Account
	conn    *conn // whose receive buffer has to hold the body

	body     []byte
	overhead int // of chunks, as maxChunkOverhead has it
}

// readInto reads the body of a request whose head has been read.
func (b *bodyReader) readInto(req *fasthttp.Request) error {
	var err error
	switch n := req.Header.ContentLength(); {
	case n > b.limit:
		return fasthttp.ErrBodyTooLarge
	case n > 0:
		b.expect(n)
		err = b.append(n, n)
	case n == -1:
		if err = b.readChunks(); err == nil {
			err = b.readTrailer(req)
		}
	default:
		return nil
	}
	if err != nil {
		return err
	}
	if len(b.body) > 0 {
		req.SwapBody(b.body)
	}
	return nil
}

// expect makes room for so many more bytes of the body.
func (b *bodyReader) expect(n int) {
	if n -= b.br.Buffered(); n > bodyStep {
		b.conn.widen(b.account, n)
	}
}

// append reads n bytes of a body that has at most most bytes.
func (b *bodyReader) append(n, most int) error {
	for n > 0 {
		if len(b.body) == cap(b.body) {
			if err := b.grow(most); err != nil {
				return err
			}
		}
		m, err := b.br.Read(b.body[len(b.body):min(cap(b.body), len(b.body)+n)])
		b.body = b.body[:len(b.body)+m]
		n -= m
		if cap(b.body) > bodyStep {
			b.account.Moved(m)
		}
		switch {
		case n == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// grow doubles the buffer, up to a size.
func (b *bodyReader) grow(most int) error {
	former := cap(b.body)
	size := min(max(2*former, bodyStep), most)
	if size > bodyStep && !b.account.Take(size) {
		return errNoBytes
	}
	body := make([]byte, len(b.body), size)
	copy(body, b.body)
	b.body = body
	if former > bodyStep {
		b.account.Return(former)
	}
	return nil
}

// readChunks reads chunks up to the last one.
func (b *bodyReader) readChunks() error {
	for {
		n, err := b.nextChunk()
		if err != nil || n == 0 {
			return err
		}
		if n > b.limit-len(b.body) {
			return fasthttp.ErrBodyTooLarge
		}
		b.expect(n)
		if err := b.append(n, b.limit); err != nil {
			return err
		}
		var end [2]byte
		if _, err := io.ReadFull(b.br, end[:]); err != nil {
			return headError(err)
		}
		if string(end[:]) != "\r\n" {
			return fmt.Errorf("%w: no line end after its data", errChunk)
		}
	}
}

// nextChunk reads the size of the next chunk.
func (b *bodyReader) nextChunk() (int, error) {
	line, err := b.br.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return 0, fmt.Errorf("%w: long extension", errChunk)
	case err != nil:
		return 0, headError(err)
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return 0, fmt.Errorf("%w: line end of its size", errChunk)
	}
	size, _, _ := bytes.Cut(text, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: size %.20q", errChunk, size)
	}
	if b.overhead = max(0, b.overhead+len(line)-16-2*int(n)); b.overhead > maxChunkOverhead {
		return 0, fmt.Errorf("%w: long extensions", errChunk)
	}
	return int(n), nil
}

// readTrailer reads what follows the last chunk, within the read buffer. Its fields are
// decoded as they arrive, so that the most that the buffer can hold are drawn before.
func (b *bodyReader) readTrailer(req *fasthttp.Request) error {
	if begin, err := b.br.Peek(2); err == nil && string(begin) == "\r\n" {
		_, _ = b.br.Discard(2)
		return nil
	}
	if !b.account.Take(b.br.Size() / minFieldLine * fieldBytes) {
		return errNoBytes
	}
	err := req.Header.ReadTrailer(b.br)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
