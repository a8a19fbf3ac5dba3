package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrBadHeader is returned for a header value that can't be parsed.
var ErrBadHeader = errors.New("upstream: malformed header")

// Load is the load that an upstream reports.
type Load struct {
	Slots    int // requests that it can execute at once
	InFlight int // requests in execution
	Queue    int // requests waiting for a slot
}

// Range is the key range [Lo, Hi).
type Range struct {
	Lo uint32
	Hi uint32
}

// String formats l as the value of HeaderLoad.
func (l Load) String() string {
	return fmt.Sprintf("slots=%d in-flight=%d queue=%d", l.Slots, l.InFlight, l.Queue)
}

// ParseLoad parses the value of HeaderLoad. It ignores unknown names.
func ParseLoad(s string) (Load, error) {
	var l Load
	for _, field := range strings.Fields(s) {
		name, value, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return Load{}, fmt.Errorf("%w: load %q", ErrBadHeader, s)
		}
		switch name {
		case "slots":
			l.Slots = n
		case "in-flight":
			l.InFlight = n
		case "queue":
			l.Queue = n
		}
	}
	return l, nil
}

// String formats r as the value of HeaderRange.
func (r Range) String() string {
	return fmt.Sprintf("%d-%d", r.Lo, r.Hi)
}

// ParseRange parses the value of HeaderRange. An empty range is an error. The
// text of the error becomes part of a verdict's detail.
func ParseRange(s string) (Range, error) {
	a, b, ok := strings.Cut(s, "-")
	lo, errLo := strconv.ParseUint(a, 10, 32)
	hi, errHi := strconv.ParseUint(b, 10, 32)
	if !ok || errLo != nil || errHi != nil || lo >= hi {
		return Range{}, fmt.Errorf("%w: range %q", ErrBadHeader, s)
	}
	return Range{Lo: uint32(lo), Hi: uint32(hi)}, nil
}

// FormatSnapshots formats ids as the value of HeaderSnapshots.
func FormatSnapshots(ids []uint64) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = strconv.FormatUint(id, 10)
	}
	return strings.Join(parts, ",")
}

// ParseSnapshots parses the value of HeaderSnapshots.
func ParseSnapshots(s string) ([]uint64, error) {
	if s == "" {
		return nil, nil
	}
	var out []uint64
	for _, part := range strings.Split(s, ",") {
		id, err := strconv.ParseUint(strings.TrimSpace(part), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: snapshots %q", ErrBadHeader, s)
		}
		out = append(out, id)
	}
	return out, nil
}

// HeldSnapshot is a snapshot that an upstream holds, with the key range and the
// shard that it has of it.
type HeldSnapshot struct {
	Snapshot   uint64 `json:"snapshot"`
	Lo         uint32 `json:"lo"`
	Hi         uint32 `json:"hi"`
	Shard      uint32 `json:"shard"`
	ShardCount uint32 `json:"shard_count"`
}

// Status is the JSON body of an answer to GET PathStatus. That answer also
// carries the headers of an answer to PathRun.
type Status struct {
	StartID   string         `json:"start_id"`
	Version   string         `json:"version"`
	State     string         `json:"state"`
	Slots     int            `json:"slots"`
	InFlight  int            `json:"in_flight"`
	Queue     int            `json:"queue"`
	Snapshots []HeldSnapshot `json:"snapshots"`
}
