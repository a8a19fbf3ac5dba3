// Package replybody reads bodies of replies in pieces, as they come in, and bounds the bytes
// of all that are being read. So neither replies without end nor large lengths that are
// stated use up the memory of the process.
package replybody

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
)

const (
	// step is how much of a body is read at a time, and the most that is read without
	// being counted.
	step = 32 << 10
	// maxUnfinished bounds the bodies beyond step of all replies that are being read:
	// about a sixth of a VM's memory.
	maxUnfinished = 48 << 20
)

// The errors of Read.
var (
	ErrTooLarge = errors.New("body exceeds its limit")
	ErrNoRoom   = errors.New("the bodies of replies leave no room")
)

// memory counts the bytes of replies that are being read.
type memory struct{ used atomic.Int64 }

// grow counts n more bytes. It reports whether they are within the limit.
func (m *memory) grow(n int) bool {
	if m.used.Add(int64(n)) > maxUnfinished {
		m.used.Add(int64(-n))
		return false
	}
	return true
}

func (m *memory) release(n int) { m.used.Add(int64(-n)) }

// unfinished is shared by all connections of the process.
var unfinished memory

// room is what a reply that is being read may use: all such replies together are limited,
// and each draws on the account of its request, where its body stays until the caller has
// it.
type room struct {
	unfinished *memory
	account    *membudget.Account // nil: no limit
}

// grow draws n more bytes for a reply of which some have been read. A small reply is
// read in any case.
func (r room) grow(n, read int) bool {
	if !r.unfinished.grow(n) {
		return false
	}
	if !r.hold(n, read) {
		r.unfinished.release(n)
		return false
	}
	return true
}

// hold draws n more bytes on the account alone.
func (r room) hold(n, read int) bool {
	if read+n <= 2*step {
		r.account.Force(n)
		return true
	}
	return r.account.Take(n)
}

// release returns n bytes that grow has drawn.
func (r room) release(n int) {
	r.unfinished.release(n)
	r.account.Return(n)
}

// Read reads r to its end. expected is the size if it is known, else 0; limit is the largest
// size. account is that of the request, nil: none. The body is read in pieces that are joined
// at the end, so that one without end leaves no copies of its beginning behind.
func Read(r io.Reader, expected, limit int, account *membudget.Account) ([]byte, error) {
	m := room{&unfinished, account}
	counted := 0
	defer func() { m.release(counted) }()
	var pieces [][]byte // full ones
	total := 0          // bytes in pieces
	piece := make([]byte, 0, min(max(expected, 512), step))
	m.account.Force(cap(piece))
	for {
		if expected > 0 && total+len(piece) == expected {
			return m.join(pieces, piece, total)
		}
		if len(piece) == cap(piece) {
			pieces, total = append(pieces, piece), total+len(piece)
			more := max(total, step)
			if expected > total {
				more = min(more, expected-total)
			}
			if !m.grow(more, total) {
				return nil, ErrNoRoom
			}
			counted += more
			piece = make([]byte, 0, more)
		}
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		switch {
		case total+len(piece) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return m.join(pieces, piece, total)
		case err != nil:
			return nil, err
		}
	}
}

// join returns the body in one piece. total is the bytes in pieces, which are still
// counted meanwhile.
func (r room) join(pieces [][]byte, last []byte, total int) ([]byte, error) {
	if len(pieces) == 0 {
		return last, nil
	}
	if !r.hold(total+len(last), 0) {
		return nil, ErrNoRoom
	}
	return slices.Concat(append(pieces, last)...), nil
}
