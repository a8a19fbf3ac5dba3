package control

import (
	"sync"
	"time"
)

// processTimeout is how long a process of this VM may fail to poll before its
// address is left out of the member.
const processTimeout = 2 * time.Second

// localProcs tracks which processes of this VM poll.
type localProcs struct {
	mu       sync.Mutex // guards the maps
	polling  map[string]int
	lastPoll map[string]time.Time
}

func newLocalProcs() *localProcs {
	return &localProcs{polling: map[string]int{}, lastPoll: map[string]time.Time{}}
}

// startPoll notes a poll of a process that fills roles; the returned function
// notes its end.
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

// isRunning reports whether a process of the role polls, or did lately.
func (p *localProcs) isRunning(role string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.lastPoll[role]
	return ok && (p.polling[role] > 0 || time.Since(last) < processTimeout)
}
