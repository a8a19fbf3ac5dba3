// Package share splits a bound that holds for all VMs together into a part for
// each, so that the parts add up to no more than the bound whichever VMs vanish
// or can't see each other. All VMs that know the same nodes compute the same
// parts.
package share

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// Of returns this node's part of total, which is given out in whole units: each
// node gets the same, and the units left over go to the nodes ranked first for
// the key. A node that isn't among nodes gets none of those.
func Of(total int, key, self string, nodes []string) int {
	n := max(len(nodes), 1)
	each, left := total/n, total%n
	if left == 0 {
		return each
	}
	ahead, mine := 0, ownership.Score(key, self)
	found := false
	for _, node := range nodes {
		if node == self {
			found = true
			continue
		}
		if s := ownership.Score(key, node); s > mine || s == mine && node < self {
			ahead++
		}
	}
	if found && ahead < left {
		return each + 1
	}
	return each
}

// Rate bounds the events of a sliding second. It is not safe for concurrent use.
type Rate struct {
	times []time.Time // of the last second, oldest first
}

// second is the window of a Rate, with room for the way: events that leave
// further apart may arrive closer together.
const second = 1200 * time.Millisecond

// Allows reports whether another event keeps within perSecond.
func (r *Rate) Allows(now time.Time, perSecond int) bool {
	for len(r.times) > 0 && now.Sub(r.times[0]) >= second {
		r.times = r.times[1:]
	}
	return len(r.times) < perSecond
}

// Count takes an event.
func (r *Rate) Count(now time.Time) { r.times = append(r.times, now) }
