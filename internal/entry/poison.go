package entry

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// poisonAggregator identifies requests that crash upstreams, from the suspects of
// all owners. It is safe for concurrent use.
type poisonAggregator struct {
	mu         sync.Mutex // guards aggregator
	aggregator *poison.Aggregator
}

func newPoisonAggregator() *poisonAggregator {
	return &poisonAggregator{aggregator: poison.NewAggregator()}
}

// update replaces the suspects of an owner.
func (p *poisonAggregator) update(owner string, list []*swpb.PoisonSuspect) {
	now := time.Now()
	suspects := make([]poison.Suspect, 0, len(list))
	for _, s := range list {
		suspect := poison.Suspect{Fingerprint: s.GetFingerprint()}
		for _, age := range s.GetCrashAgesUs() {
			suspect.Crashes = append(suspect.Crashes, now.Add(-time.Duration(age)*time.Microsecond))
		}
		suspects = append(suspects, suspect)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aggregator.Update(owner, suspects)
}

// refuse returns the verdict on a request that crashes upstreams, or nil.
func (p *poisonAggregator) refuse(now time.Time, fingerprint uint64) *verdict.Error {
	p.mu.Lock()
	wait, bad := p.aggregator.Refuse(now, fingerprint)
	p.mu.Unlock()
	if !bad {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Poison, "runs of this request were followed by crashes of upstreams").WithRetryAfter(wait)
}
