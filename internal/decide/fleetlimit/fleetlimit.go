// Package fleetlimit splits a bound that holds for all VMs together into a part for
// each, so that the parts add up to no more than the bound whichever VMs vanish
// or can't see each other. All VMs that know the same nodes compute the same
// parts.
package fleetlimit

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
)

// Share returns this node's part of total, which is given out in whole units: each
// node gets the same, and the units left over go to the nodes ranked first for
// the key. A node that isn't among nodes gets none of those.
func Share(total int, key, self string, nodes []string) int {
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

// The parts of the bounds on extra sends that are used. The rest covers windows
// that cut a burst in two, requests that never arrived, and VMs that don't count
// a newcomer yet.
const (
	ratioUsed = 0.85
	slackUsed = 0.8
)

// AssumedVMs is the number of VMs that share what is bounded for all while nothing is
// known of them: more than the largest deployment of today has.
const AssumedVMs = 100

// VMCount is the number of VMCount among which bounds are shared out, by the nodes that
// a VM knows.
func VMCount(nodes []string) int {
	if len(nodes) == 0 {
		return AssumedVMs
	}
	return len(nodes)
}

// ExtraRatio is the number of extra sends that a VM allows itself for each first one,
// by the bound for all.
func ExtraRatio(bound float64) float64 { return bound * ratioUsed }

// ExtraSlack is a VM's part of the extra sends that all may make beside.
func ExtraSlack(bound float64, nodes []string) float64 {
	return bound * slackUsed / float64(VMCount(nodes))
}

// ColdRate is a VM's part of the requests that a cold replica bears in a second.
func ColdRate(total int, replica, self string, nodes []string) int {
	if len(nodes) == 0 {
		return total / AssumedVMs
	}
	return Share(total, replica, self, nodes)
}

// RateLimiter bounds the events of a sliding second. It is not safe for concurrent use.
type RateLimiter struct {
	times []time.Time // of the last second, oldest first
	from  time.Time   // nothing is allowed before
}

// second is the window of a Rate, with room for the way: events that leave
// further apart may arrive closer together.
const second = 1200 * time.Millisecond

// SettleTime is how long after its start a process knows the VMs that started with
// it: they have entered and it has counted again (vmcount.RecountDelay), with a call to
// the store.
const SettleTime = 2 * time.Second

// Start tells that the process begins now. Until SettleTime nothing is allowed: the
// process before it on the same VM may have sent its part just now, and VMs that
// start together don't know each other yet.
func (r *RateLimiter) Start(now time.Time) { r.from = now.Add(SettleTime) }

// Allows reports whether another event keeps within perSecond.
func (r *RateLimiter) Allows(now time.Time, perSecond int) bool {
	for len(r.times) > 0 && now.Sub(r.times[0]) >= second {
		r.times = r.times[1:]
	}
	return len(r.times) < perSecond && !now.Before(r.from)
}

// Record takes an event.
func (r *RateLimiter) Record(now time.Time) { r.times = append(r.times, now) }
