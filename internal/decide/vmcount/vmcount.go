// Package vmcount counts the VMs that share the fleet-wide limits, from the
// registrations that the VMs keep in the platform's store.
//
// VMs restart within seconds, and registrations expire while the store is
// unavailable. Shares that were computed for more VMs are safe among fewer, but
// not the other way round. So a VM is still counted for a while after it was last
// seen.
package vmcount

import "time"

// Retention is how long a VM is counted after it was last seen. It equals the
// lifetime of a registration, so that a VM that restarts within it keeps its
// place.
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
	self     string
	lastSeen map[string]time.Time
}

// New returns an empty counter for the VM self, which is not counted itself before
// the first observation.
func New(self string) *Counter { return &Counter{self: self, lastSeen: map[string]time.Time{}} }

// Observe records that the VMs names are registered now, and drops VMs that were
// last seen longer than Retention ago. An empty list changes nothing: it means
// that no VM has registered yet, not even this one.
func (c *Counter) Observe(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		c.lastSeen[name] = now
	}
	c.lastSeen[c.self] = now
	for name, at := range c.lastSeen {
		if now.Sub(at) > Retention {
			delete(c.lastSeen, name)
		}
	}
}

// VMs returns the names of all counted VMs, in no order. It is empty while the
// VMs are unknown.
func (c *Counter) VMs() []string {
	out := make([]string, 0, len(c.lastSeen))
	for name := range c.lastSeen {
		out = append(out, name)
	}
	return out
}
