package delta

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// MaxTextBytes limits the text that Apply may produce.
const MaxTextBytes = 16 << 20

// ErrBadDelta means that a delta is malformed or does not fit the old text.
var ErrBadDelta = errors.New("delta: malformed, or made from a different text")

// Separators that end the units of a text.
const (
	Lines   = '\n'
	Objects = '}' // of JSON
)

// Make returns the delta from old to text, by the units that a separator ends, such as
// lines. It is a sequence of entries, each with
// the index of the first unit to copy from old, the number of units to copy, the
// length of the new text that follows, and that text. The numbers are unsigned
// varints. Make takes time linear in the size of both texts.
func Make(old, text []byte, sep byte) []byte {
	oldLines := bytes.SplitAfter(old, []byte{sep})
	lineIndex := make(map[string]int, len(oldLines))
	for i := len(oldLines) - 1; i >= 0; i-- {
		lineIndex[string(oldLines[i])] = i
	}
	var out, added []byte
	first, count := 0, 0
	flush := func() {
		if count == 0 && len(added) == 0 {
			return
		}
		out = binary.AppendUvarint(out, uint64(first))
		out = binary.AppendUvarint(out, uint64(count))
		out = binary.AppendUvarint(out, uint64(len(added)))
		out = append(out, added...)
		first, count, added = 0, 0, nil
	}
	for _, line := range bytes.SplitAfter(text, []byte{sep}) {
		next := first + count
		if len(added) == 0 && count > 0 && next < len(oldLines) && bytes.Equal(oldLines[next], line) {
			count++
			continue
		}
		i, found := lineIndex[string(line)]
		if !found {
			added = append(added, line...)
			continue
		}
		flush()
		first, count = i, 1
	}
	flush()
	return out
}

// Apply returns the text that results from applying delta to old, by the separator that
// it was made with. The caller must
// check the digest of the result, since a delta made from a different text may
// apply without an error.
func Apply(old, delta []byte, sep byte) ([]byte, error) {
	oldLines := bytes.SplitAfter(old, []byte{sep})
	var out []byte
	for len(delta) > 0 {
		var header [3]uint64
		for i := range header {
			n, size := binary.Uvarint(delta)
			if size <= 0 {
				return nil, ErrBadDelta
			}
			header[i] = n
			delta = delta[size:]
		}
		first, count, added := header[0], header[1], header[2]
		lines := uint64(len(oldLines))
		if first > lines || count > lines-first || added > uint64(len(delta)) {
			return nil, ErrBadDelta
		}
		for _, line := range oldLines[first : first+count] {
			out = append(out, line...)
			if len(out) > MaxTextBytes {
				return nil, ErrBadDelta
			}
		}
		out = append(out, delta[:added]...)
		delta = delta[added:]
		if len(out) > MaxTextBytes {
			return nil, ErrBadDelta
		}
	}
	return out, nil
}
