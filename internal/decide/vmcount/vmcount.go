// Package vmcount decides which VMs share what is bounded for all of them, from
// counts of the entries that each VM keeps in the platform's store.
//
// The pattern it answers: VMs restart within seconds and their entries lapse in
// outages, while bounds are worked out from the number of VMs. What was shared
// out among more VMs is safe among fewer, not the other way round; so a VM that
// has been seen goes on being counted for a while.
package vmcount

import "time"

// Retention is how long a VM is counted after it was last seen: the life of its
// entry, so that a VM that is back in that time takes its own place again.
const Retention = 30 * time.Second

// The times of counts: CountInterval lies between two, since VMs come and go seldom,
// and RecountDelay after a start all VMs that started with it have entered.
const (
	CountInterval = 10 * time.Second
	RecountDelay  = 1500 * time.Millisecond
)

// Counter is what one VM knows of all. It is not safe for concurrent use.
type Counter struct {
	self string
	seen map[string]time.Time
}

// New returns the book of a VM that knows nobody, not even that it is alone.
func New(self string) *Counter { return &Counter{self: self, seen: map[string]time.Time{}} }

// Observe takes the names that the store holds now. Nothing is learned from none:
// then nobody has entered yet, not this VM either.
func (b *Counter) Observe(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		b.seen[name] = now
	}
	b.seen[b.self] = now
	for name, at := range b.seen {
		if now.Sub(at) > Retention {
			delete(b.seen, name)
		}
	}
}

// VMs returns all VMs that count, in no order; none: not known yet.
func (b *Counter) VMs() []string {
	out := make([]string, 0, len(b.seen))
	for name := range b.seen {
		out = append(out, name)
	}
	return out
}
