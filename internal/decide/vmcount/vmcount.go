// Package vmcount counts the VMs that share the fleet-wide limits, from the
// registrations that the VMs keep in the platform's store.
//
// VMs restart within seconds, and registrations expire while the store is
// unavailable. Shares that were computed for more VMs are safe among fewer, but
// not the other way round. So a VM is dropped only when the store's lists have lacked
// it for a while; time in which there were no lists doesn't count.
package vmcount

import "time"

// Retention is how long a VM is counted that the store's lists lack. It equals the
// lifetime of a registration: within it, each VM that the store lost has registered
// again.
const Retention = 30 * time.Second

// Timing of the counts. CountInterval is the time between two counts; VMs are
// seldom added or removed. RecountDelay is the time between the first count after
// a start and the second one; by then all VMs that started together have
// registered.
const (
	CountInterval = 10 * time.Second
	RecountDelay  = 1500 * time.Millisecond
)

// Counter is the set of VMs that one VM currently counts. It is not safe for
// concurrent use.
type Counter struct {
	self string
	// missingSince is, by VM, the time of the first list that lacked it since it was
	// last seen; zero: none did.
	missingSince map[string]time.Time
}

// New returns an empty counter for the VM self, which is not counted itself before
// the first observation.
func New(self string) *Counter {
	return &Counter{self: self, missingSince: map[string]time.Time{}}
}

// Observe records that the VMs names serve now, as they or other VMs say. There may
// be more.
func (c *Counter) Observe(names []string) {
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		c.missingSince[name] = time.Time{}
	}
	c.missingSince[c.self] = time.Time{}
}

// ObserveList records that the VMs names, and no others, are registered in the store
// now. It drops VMs that the lists have lacked for longer than Retention. An empty list
// changes nothing: it means that no VM has registered yet, not even this one.
func (c *Counter) ObserveList(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	before := c.missingSince
	c.missingSince = make(map[string]time.Time, len(before))
	for name, since := range before {
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) <= Retention {
			c.missingSince[name] = since
		}
	}
	c.Observe(names)
}

// VMs returns the names of all counted VMs, in no order. It is empty while the
// VMs are unknown.
func (c *Counter) VMs() []string {
	out := make([]string, 0, len(c.missingSince))
	for name := range c.missingSince {
		out = append(out, name)
	}
	return out
}
