package control

import (
	"sync"
	"time"
)

// processTimeout is the time without a poll after which a process of this VM counts
// as not running, so that its address is no longer announced.
const processTimeout = 2 * time.Second

// localProcs tracks which processes of this VM poll, by role.
type localProcs struct {
	mu       sync.Mutex           // guards the maps
	polling  map[string]int       // polls in progress
	lastPoll map[string]time.Time // last start or end of a poll
}

func newLocalProcs() *localProcs {
	return &localProcs{polling: map[string]int{}, lastPoll: map[string]time.Time{}}
}

// startPoll records the start of a poll by a process with the given roles; the
// returned function records its end.
func (p *localProcs) startPoll(roles []string) func() {
	p.count(roles, 1)
	return func() { p.count(roles, -1) }
}

func (p *localProcs) count(roles []string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range roles {
		p.polling[r] += by
		p.lastPoll[r] = time.Now()
	}
}

// isRunning reports whether a process of the role is polling or has polled within
// processTimeout.
func (p *localProcs) isRunning(role string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.lastPoll[role]
	return ok && (p.polling[role] > 0 || time.Since(last) < processTimeout)
}
