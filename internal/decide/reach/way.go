package reach

import "time"

// Way is the connections of a VM to one replica.
type Way struct {
	RefusedAt time.Time // when one could not be opened, if none was opened since; zero: not so
	Open      int       // connections
	Idle      int       // connections without a request
	Waiting   int       // requests that wait for a connection
}

// Access is how soon a request can be sent to a replica.
type Access uint8

// The ways of access, best last.
const (
	Unreachable Access = iota // not in time: no further connection can be opened
	Queued                    // when an open connection becomes free
	Ready                     // at once, or after a connection was opened
)

// Access returns how soon a request that is typically served within a latency, and has
// some time left, can be sent.
func (w Way) Access(typical, left time.Duration) Access {
	switch {
	case w.RefusedAt.IsZero() || w.Idle > 0:
		return Ready
	case w.Open == 0:
		return Unreachable
	}
	turns := w.Waiting/w.Open + 1 // requests before it on the same connection
	if time.Duration(turns+1)*typical > left {
		return Unreachable
	}
	return Queued
}

// refusedLately reports whether a connection could not be opened lately.
func (w Way) refusedLately(now time.Time) bool {
	return !w.RefusedAt.IsZero() && now.Sub(w.RefusedAt) < refusalAge
}

// judgeDegraded returns the pools to most of whose replicas no connection can be opened. A
// pool that was degraded remains so until connections were opened again, however long ago
// the last attempt was.
func (m *Machine) judgeDegraded(now time.Time, replicas []Replica) map[string]bool {
	var refused, of map[string]int
	for _, r := range replicas {
		if r.Way.refusedLately(now) || m.cuts.Degraded[r.Pool] && !r.Way.RefusedAt.IsZero() {
			if refused == nil {
				refused, of = map[string]int{}, map[string]int{}
			}
			refused[r.Pool]++
		}
	}
	if refused == nil {
		return nil
	}
	for _, r := range replicas {
		of[r.Pool]++
	}
	var degraded map[string]bool
	for pool, n := range refused {
		if n < min(minTroubled, of[pool]) || 2*n < of[pool] {
			continue
		}
		if degraded == nil {
			degraded = map[string]bool{}
		}
		degraded[pool] = true
	}
	return degraded
}
