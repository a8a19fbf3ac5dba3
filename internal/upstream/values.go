package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrBadHeader is returned for a header value of the wrong form.
var ErrBadHeader = errors.New("upstream: malformed header")

// Load is what an upstream reports of itself.
type Load struct {
	Slots    int
	InFlight int
	Queue    int
}

// Range is the key range [Lo, Hi).
type Range struct {
	Lo uint32
	Hi uint32
}

// String returns the header form of l.
func (l Load) String() string {
	return fmt.Sprintf("slots=%d in-flight=%d queue=%d", l.Slots, l.InFlight, l.Queue)
}

// ParseLoad reads the header form of a load.
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

// String returns the header form of r.
func (r Range) String() string {
	return fmt.Sprintf("%d-%d", r.Lo, r.Hi)
}

// ParseRange reads the header form of a key range; it must not be empty.
func ParseRange(s string) (Range, error) {
	a, b, ok := strings.Cut(s, "-")
	lo, errLo := strconv.ParseUint(a, 10, 32)
	hi, errHi := strconv.ParseUint(b, 10, 32)
	if !ok || errLo != nil || errHi != nil || lo >= hi {
		return Range{}, fmt.Errorf("%w: range %q", ErrBadHeader, s)
	}
	return Range{Lo: uint32(lo), Hi: uint32(hi)}, nil
}

// FormatSnapshots returns the header form of a list of snapshots.
func FormatSnapshots(ids []uint64) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = strconv.FormatUint(id, 10)
	}
	return strings.Join(parts, ",")
}

// ParseSnapshots reads the header form of a list of snapshots.
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

// HeldSnapshot is one snapshot in a status document.
type HeldSnapshot struct {
	Snapshot   uint64 `json:"snapshot"`
	Lo         uint32 `json:"lo"`
	Hi         uint32 `json:"hi"`
	Shard      uint32 `json:"shard"`
	ShardCount uint32 `json:"shard_count"`
}

// Status is the body of GET PathStatus; the headers of a run's answer are set
// on it as well.
type Status struct {
	StartID   string         `json:"start_id"`
	Version   string         `json:"version"`
	State     string         `json:"state"`
	Slots     int            `json:"slots"`
	InFlight  int            `json:"in_flight"`
	Queue     int            `json:"queue"`
	Snapshots []HeldSnapshot `json:"snapshots"`
}
