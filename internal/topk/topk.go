// Package topk merges the parts of a query whose result is the greatest records
// of all parts. A record has RecordBytes bytes; records compare byte by byte.
package topk

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record. A shorter remainder at the end of a part is
// ignored.
const RecordBytes = 16

// Merge returns the k greatest records of the parts, greatest first, including
// duplicates.
func Merge(parts [][]byte, k int) []byte {
	var all [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
			all = append(all, p[:RecordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, min(k, len(all))*RecordBytes)
	for _, r := range all[:min(k, len(all))] {
		out = append(out, r...)
	}
	return out
}
