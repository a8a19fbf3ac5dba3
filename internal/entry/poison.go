package entry

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// poisonBoard knows the requests that crash upstreams. It is safe for
// concurrent use.
type poisonBoard struct {
	mu    sync.Mutex // guards board
	board *poison.Aggregator
}

func newPoisonBoard() *poisonBoard { return &poisonBoard{board: poison.NewAggregator()} }

// merge takes in what an owner suspects.
func (p *poisonBoard) merge(owner string, list []*swpb.PoisonSuspect) {
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
	p.board.Update(owner, suspects)
}

// refuse returns the refusal of a request that crashes upstreams, or nil.
func (p *poisonBoard) refuse(now time.Time, fingerprint uint64) *verdict.Error {
	p.mu.Lock()
	wait, bad := p.board.Refuse(now, fingerprint)
	p.mu.Unlock()
	if !bad {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Poison, "runs of this request were followed by crashes of upstreams").WithRetryAfter(wait)
}
