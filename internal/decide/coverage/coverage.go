package coverage

import (
	"fmt"
	"strings"
)

// Part is one shard of the pinned snapshot.
type Part struct {
	Pool    string
	Lo, Hi  uint32 // key range [Lo, Hi)
	Covered bool   // its answer was merged
}

// Missing is a key range of a pool that is not in the answer.
type Missing struct {
	Pool   string
	Lo, Hi uint32
}

// String returns the header form, "pool:lo-hi".
func (m Missing) String() string { return fmt.Sprintf("%s:%d-%d", m.Pool, m.Lo, m.Hi) }

// Coverage states, in shards, which part of the snapshot an answer covers.
type Coverage struct {
	Covered int
	Total   int
	Missing []Missing // adjacent ranges of a pool are joined
}

// Of returns the coverage of parts, which must be ordered by pool and range.
func Of(parts []Part) Coverage {
	c := Coverage{Total: len(parts)}
	for _, p := range parts {
		if p.Covered {
			c.Covered++
			continue
		}
		last := len(c.Missing) - 1
		if last >= 0 && c.Missing[last].Pool == p.Pool && c.Missing[last].Hi == p.Lo {
			c.Missing[last].Hi = p.Hi
			continue
		}
		c.Missing = append(c.Missing, Missing{Pool: p.Pool, Lo: p.Lo, Hi: p.Hi})
	}
	return c
}

// Share returns the covered share, 0 to 1. It is 0 if there are no shards.
func (c Coverage) Share() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// Complete reports whether there are shards and all of them are covered.
func (c Coverage) Complete() bool { return c.Total > 0 && c.Covered == c.Total }

// String returns the header form, "covered/total".
func (c Coverage) String() string { return fmt.Sprintf("%d/%d", c.Covered, c.Total) }

// MissingList returns the header form of the missing ranges.
func (c Coverage) MissingList() string {
	list := make([]string, len(c.Missing))
	for i, m := range c.Missing {
		list[i] = m.String()
	}
	return strings.Join(list, ",")
}
