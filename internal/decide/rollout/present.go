package rollout

import "time"

// absentGrace is how long a pool waits for replicas of its present version before
// another version takes its place without an order.
const absentGrace = 5 * time.Second

// Member is a usable replica of a pool.
type Member struct {
	Version string
	Start   int64 // its start in Unix milliseconds; 0: unknown
}

// Present is the version of a pool that gets requests without an order. A version
// that no order names gets none beside it. It is not safe for concurrent use.
type Present struct {
	version     string
	known       bool
	absentSince time.Time // zero: it has replicas
}

// Version returns the present version; ok is false if it is not known.
func (p *Present) Version() (version string, ok bool) { return p.version, p.known }

// Set sets the version after a completed order.
func (p *Present) Set(version string) {
	p.version, p.known, p.absentSince = version, true, time.Time{}
}

// Observe records the usable replicas of the pool, except those of excluded versions,
// which are those of orders that are under way or were rolled back. It reports
// whether the version has changed. The version that started first is the present
// one.
func (p *Present) Observe(now time.Time, members []Member, excluded map[string]bool) bool {
	first, found := Member{}, false
	for _, m := range members {
		if p.known && m.Version == p.version {
			p.absentSince = time.Time{}
			return false
		}
		if excluded[m.Version] {
			continue
		}
		if !found || m.Start < first.Start || m.Start == first.Start && m.Version < first.Version {
			first, found = m, true
		}
	}
	if !found {
		return false
	}
	if p.known {
		if p.absentSince.IsZero() {
			p.absentSince = now
		}
		if now.Sub(p.absentSince) < absentGrace {
			return false
		}
	}
	p.Set(first.Version)
	return true
}
