// Package census decides which VMs share what is bounded for all of them, from
// counts of the entries that each VM keeps in the platform's store.
//
// The pattern it answers: VMs restart within seconds and their entries lapse in
// outages, while bounds are worked out from the number of VMs. What was shared
// out among more VMs is safe among fewer, not the other way round; so a VM that
// has been seen goes on being counted for a while.
package census

import "time"

// Keep is how long a VM is counted after it was last seen: the life of its
// entry, so that a VM that is back in that time takes its own place again.
const Keep = 30 * time.Second

// The times of counts: CountEvery lies between two, since VMs come and go seldom,
// and NextCount after a start all VMs that started with it have entered.
const (
	CountEvery = 10 * time.Second
	NextCount  = 1500 * time.Millisecond
)

// Book is what one VM knows of all. It is not safe for concurrent use.
type Book struct {
	self string
	seen map[string]time.Time
}

// New returns the book of a VM that knows nobody, not even that it is alone.
func New(self string) *Book { return &Book{self: self, seen: map[string]time.Time{}} }

// Count takes the names that the store holds now. Nothing is learned from none:
// then nobody has entered yet, not this VM either.
func (b *Book) Count(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		b.seen[name] = now
	}
	b.seen[b.self] = now
	for name, at := range b.seen {
		if now.Sub(at) > Keep {
			delete(b.seen, name)
		}
	}
}

// Nodes returns all VMs that count, in no order; none: not known yet.
func (b *Book) Nodes() []string {
	out := make([]string, 0, len(b.seen))
	for name := range b.seen {
		out = append(out, name)
	}
	return out
}
