package hedge

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/quantile"
)

const (
	// MaxShare limits hedges as a share of first attempts.
	MaxShare = 0.04
	// Quantile is the quantile of the latencies after which a part is late.
	Quantile = 1 - MaxShare
	// burst is the number of unused hedges that can accumulate.
	burst = 10
	// MinDelay is the minimum delay before a hedge.
	MinDelay = 500 * time.Microsecond
	// loadWeight is the weight of one observation in the smoothed load.
	loadWeight = 1.0 / 16
	// fullBudgetLoad and noBudgetLoad are the loads, as requests in flight and
	// waiting over the limit, up to which the whole budget is granted and from
	// which none of it is.
	fullBudgetLoad = 0.85
	noBudgetLoad   = 0.95
)

// Hedger decides on the hedges of one pool. It is not safe for concurrent use.
type Hedger struct {
	delay  *quantile.Tracker
	tokens float64 // hedges that the budget allows now
	load   float64 // smoothed
}

// New returns a Hedger without observations and without a budget.
func New() *Hedger { return &Hedger{delay: quantile.New(Quantile, MinDelay)} }

// CountFirst counts one first attempt, which adds a share of a hedge to the
// budget.
func (h *Hedger) CountFirst() {
	h.tokens = min(h.tokens+MaxShare*h.grant(), burst)
}

// Observe records the latency of a first attempt. For one that was abandoned
// after its hedge won, pass the time until then: the quantile depends only on
// which side of it a latency lies. Latencies of hedges are not passed.
func (h *Hedger) Observe(latency time.Duration) { h.delay.Observe(latency) }

// ObserveLoad records the load of the pool's replicas: requests in flight and
// waiting over the limit. 1 means that all slots are taken.
func (h *Hedger) ObserveLoad(load float64) {
	h.load += (load - h.load) * loadWeight
}

// Delay returns the time after which a part without an answer is late, or false
// while too few latencies have been observed.
func (h *Hedger) Delay() (time.Duration, bool) { return h.delay.Value() }

// Allow reports whether a late part may be hedged now, and if so deducts the
// hedge from the budget.
func (h *Hedger) Allow() bool {
	if _, known := h.delay.Value(); !known || h.tokens < 1 || h.grant() == 0 {
		return false
	}
	h.tokens--
	return true
}

// grant returns the share of the budget that the load allows, 0 to 1.
func (h *Hedger) grant() float64 {
	share := (noBudgetLoad - h.load) / (noBudgetLoad - fullBudgetLoad)
	return max(0, min(1, share))
}
