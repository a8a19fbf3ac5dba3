package entry

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// hedgers holds the hedger of each pool and implements fanout.Hedger. It is safe
// for concurrent use.
type hedgers struct {
	mu     sync.Mutex // guards byPool
	byPool map[string]*hedge.Hedger
}

func newHedgers() *hedgers { return &hedgers{byPool: map[string]*hedge.Hedger{}} }

// pool returns the hedger of a pool; mu must be held.
func (h *hedgers) pool(name string) *hedge.Hedger {
	p := h.byPool[name]
	if p == nil {
		p = hedge.New()
		h.byPool[name] = p
	}
	return p
}

// countFirst counts the first attempts of a fan-out's parts.
func (h *hedgers) countFirst(parts []fanout.Part) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range parts {
		h.pool(parts[i].Pool).CountFirst()
	}
}

// observe records the latency of a first attempt, and the load of the replica.
// Failed attempts are ignored, except those that were cancelled or reached their
// deadline: their latency is a lower bound, and is recorded if it is at least the
// hedge delay.
func (h *hedgers) observe(pool string, a fanout.Action, took time.Duration, err error, l *swpb.ReplicaLoad) {
	if v := verdict.Of(err); v != nil && v.Cause != verdict.Cancelled && v.Cause != verdict.Deadline {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pool(pool)
	delay, known := p.Delay()
	if a.Attempt == 1 && (err == nil || (known && took >= delay)) {
		p.Observe(took)
	}
	if l.GetLimit() > 0 {
		p.ObserveLoad(float64(l.GetInFlight()+l.GetWaiting()) / float64(l.GetLimit()))
	}
}

// Delay implements fanout.Hedger.
func (h *hedgers) Delay(pool string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool(pool).Delay()
}

// Allow implements fanout.Hedger.
func (h *hedgers) Allow(_ time.Time, pool string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool(pool).Allow()
}
