package entry

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
)

// retryBudgets holds the retry budget of each pool and implements fanout.Retrier.
// It is safe for concurrent use.
type retryBudgets struct {
	mu     sync.Mutex // guards byPool
	byPool map[string]*retry.Budget
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{byPool: map[string]*retry.Budget{}} }

// countFirst counts the first attempts of a fan-out's parts.
func (b *retryBudgets) countFirst(parts []fanout.Part) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := 0; i < len(parts); {
		n := 1
		for i+n < len(parts) && parts[i+n].Pool == parts[i].Pool {
			n++
		}
		b.pool(now, parts[i].Pool).CountFirst(n)
		i += n
	}
}

// Allow implements fanout.Retrier.
func (b *retryBudgets) Allow(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool(now, pool).Allow(now)
}

func (b *retryBudgets) pool(now time.Time, name string) *retry.Budget {
	p := b.byPool[name]
	if p == nil {
		p = retry.NewBudget(now)
		b.byPool[name] = p
	}
	return p
}
