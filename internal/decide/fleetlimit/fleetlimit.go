// Package fleetlimit splits fleet-wide limits into shares for the VMs, so that the
// shares add up to no more than the limit whichever VMs fail or can't see each
// other. All VMs that know the same nodes compute the same shares.
package fleetlimit

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/ownership"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

// Share returns this node's share of total, which is split in whole units. Each
// node gets the same number of units, and the remainder goes to the nodes that
// rank first for key. A node that isn't among nodes gets none of the remainder.
func Share(total int, key, self string, nodes []string) int {
	n := max(len(nodes), 1)
	each, remainder := total/n, total%n
	if remainder == 0 {
		return each
	}
	rank, selfScore := 0, ownership.Score(key, self)
	found := false
	for _, node := range nodes {
		if node == self {
			found = true
			continue
		}
		if s := ownership.Score(key, node); s > selfScore || s == selfScore && node < self {
			rank++
		}
	}
	if found && rank < remainder {
		return each + 1
	}
	return each
}

// ratioMargin and slackMargin scale the fleet-wide limits on extra attempts down to
// what the VMs use. The rest covers processes that start, requests that leave the
// measured window before the extra attempts that they allow, and VMs that don't count
// a new VM yet.
const (
	ratioMargin = 0.85
	slackMargin = 0.8
)

// AssumedVMs is the number of VMs that is assumed while the VMs are unknown. It is
// above the size of the largest deployment.
const AssumedVMs = 100

// VMCount is the number of VMs that share the limits, given the known nodes.
func VMCount(nodes []string) int {
	if len(nodes) == 0 {
		return AssumedVMs
	}
	return len(nodes)
}

// ExtraLimits returns a VM's limits on the extra attempts at a pool, given the
// fleet-wide ones: share for each first attempt, and slack in addition in each window.
// A process that has just started gets what the margins leave, so that the limits are
// also kept if all VMs restart after they have used their steady ones.
func ExtraLimits(share, slack float64, nodes []string) retry.Limits {
	slack /= float64(VMCount(nodes))
	steady := retry.Limit{Share: share * ratioMargin, Slack: slack * slackMargin}
	return retry.Limits{Steady: steady, Start: retry.Limit{Share: share - steady.Share, Slack: slack - steady.Slack}}
}

// ColdRate is a VM's share of the requests a second that all VMs together may send
// to a cold replica.
func ColdRate(total int, replica, self string, nodes []string) int {
	if len(nodes) == 0 {
		return total / AssumedVMs
	}
	return Share(total, replica, self, nodes)
}

// Connections is how many connections to a replica a VM may open, and whether they are
// scarce: there is less than one for each VM. total is what the replica accepts. Half of it
// is for the sharing VMs of its own region, which send it nearly all of its requests, half
// for those of other regions. So those of the own region, which keep their connections, fit
// once more beside the ones of lost VMs, which the replica doesn't know to be lost.
func Connections(total, sharing int) (limit int, scarce bool) {
	limit = total / 2 / max(sharing, 1)
	return max(limit, 1), limit < 1
}

// RateLimiter limits the events in a sliding window of a second. An event is reserved
// before it is known when it happens. It is not safe for concurrent use.
type RateLimiter struct {
	reserved  int
	times     []time.Time // of the events within window, oldest first
	notBefore time.Time   // no event is allowed earlier
}

// window is longer than the second that the limit is meant for, because events may
// arrive closer together than they were sent.
const window = 1200 * time.Millisecond

// SettleTime is the time after its start by which a process has counted the VMs
// that started with it: by then they have registered, and the process has counted
// again after vmcount.RecountDelay and a call to the store.
const SettleTime = 2 * time.Second

// Start records that the process starts now. No event is allowed for SettleTime:
// the previous process on the same VM may just have used its share, and VMs that
// start together don't know each other yet.
func (r *RateLimiter) Start(now time.Time) { r.notBefore = now.Add(SettleTime) }

// Allows reports whether another event now would be within perSecond.
func (r *RateLimiter) Allows(now time.Time, perSecond int) bool {
	for len(r.times) > 0 && now.Sub(r.times[0]) >= window {
		r.times = r.times[1:]
	}
	return r.reserved+len(r.times) < perSecond && !now.Before(r.notBefore)
}

// Reserve reserves an event, which counts until it is recorded.
func (r *RateLimiter) Reserve() { r.reserved++ }

// Record records when a reserved event happened; zero: it didn't.
func (r *RateLimiter) Record(at time.Time) {
	r.reserved--
	if at.IsZero() {
		return
	}
	if n := len(r.times); n > 0 && at.Before(r.times[n-1]) {
		at = r.times[n-1] // keeps the order; counts the event for longer
	}
	r.times = append(r.times, at)
}
