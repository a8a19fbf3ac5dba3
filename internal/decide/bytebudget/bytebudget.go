// Package bytebudget decides who may use a process's memory for requests when it is
// short. It addresses many clients that send large requests, or don't read large answers,
// at the same time: one such client must leave room for all others, and of the unfinished
// requests those go first whose bytes come slowest.
package bytebudget

import "time"

const (
	// largeShare is the share of the budget that is open to what is large. The rest is
	// for requests that are small and complete.
	largeShare = 0.75
	// clientFactor is how many times the free bytes one client may hold, so that a
	// single client gets at most two thirds of what is open (a dynamic threshold, as in
	// buffers of switches that are shared by ports).
	clientFactor = 2
	// grace is how long a transfer is never considered slow. It covers several round
	// trips between regions.
	grace = 500 * time.Millisecond
	// spareFactor is the part of the free large bytes that one request may use to come in
	// faster.
	spareFactor = 1.0 / 8
	// minSpare is the least that makes a difference, in bytes.
	minSpare = 4 << 10
)

// Limits are the bytes that requests may use.
type Limits struct {
	Total int64 // for all
	Large int64 // for all, before more is taken for what is large
}

// LimitsFor returns the limits for a total.
func LimitsFor(total int64) Limits {
	return Limits{Total: total, Large: int64(largeShare * float64(total))}
}

// Small reports whether n more bytes for a small request fit.
func (l Limits) Small(used, n int64) bool { return used+n <= l.Total }

// Fits reports whether n more large bytes fit.
func (l Limits) Fits(used, n int64) bool { return used+n <= l.Large }

// Fair reports whether a client that holds some large bytes may take n more of them.
func (l Limits) Fair(used, client, n int64) bool {
	return client+n <= clientFactor*(l.Large-used-n)
}

// Spare returns how many of n bytes that are useful, but not needed, may be used. They become
// fewer the more are in use, so that there are always some left for what is needed.
func (l Limits) Spare(used, n int64) int64 {
	n = min(n, int64(spareFactor*float64(l.Large-used)))
	if n < minSpare {
		return 0
	}
	return n
}

// Transfer is a request or an answer that is on its way from or to a client.
type Transfer struct {
	Since time.Time // when it began
	Moved int64     // bytes so far
}

// Slowest returns the index of the transfer with the lowest rate among those that are
// past their grace time, or -1 if there is none.
func Slowest(now time.Time, transfers []Transfer) int {
	slowest, lowest := -1, 0.0
	for i, t := range transfers {
		took := now.Sub(t.Since)
		if took < grace {
			continue
		}
		if rate := float64(t.Moved) / took.Seconds(); slowest < 0 || rate < lowest {
			slowest, lowest = i, rate
		}
	}
	return slowest
}

// ConnectionLimit returns how many connections of callers may be open among so many
// descriptors; 0: any number. A quarter, and at least minReserve, is reserved for
// replicas, other VMs, the store, and the ready and admin addresses.
func ConnectionLimit(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(descriptors-max(descriptors/4, minReserve), 1)
}

// minReserve is enough for a few connections to each of a dozen servers.
const minReserve = 48
