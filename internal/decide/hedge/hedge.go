package hedge

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/quantile"
)

const (
	// MaxShare bounds hedges as a share of fresh sub-requests.
	MaxShare = 0.04
	// Quantile of the latency after which a part is late.
	Quantile = 1 - MaxShare
	// burst is the number of hedges that can be saved up.
	burst = 10
	// MinDelay is the shortest delay before a hedge.
	MinDelay = 500 * time.Microsecond
	// loadWeight is the weight of one reading of the load.
	loadWeight = 1.0 / 16
	// The load, as in-flight and waiting requests over limits, up to which
	// the whole budget is granted, and from which nothing is.
	fullBudgetLoad = 0.85
	noBudgetLoad   = 0.95
)

// Hedger holds what is known of one pool. It is not safe for concurrent use.
type Hedger struct {
	delay  *quantile.Tracker
	tokens float64 // hedges that can be afforded
	load   float64 // smoothed
}

// New returns a Hedger that knows nothing and has no budget yet.
func New() *Hedger { return &Hedger{delay: quantile.New(Quantile, MinDelay)} }

// Sent counts one fresh sub-request: neither hedge nor retry. It earns a share
// of a hedge.
func (h *Hedger) CountFirst() {
	h.tokens = min(h.tokens+MaxShare*h.grant(), burst)
}

// Observe learns from the latency of a first attempt. For one that was given
// up after its hedge won, pass the time that it had: the quantile needs no
// more than on which side of it a latency lies. Latencies of hedges are not
// passed.
func (h *Hedger) Observe(latency time.Duration) { h.delay.Observe(latency) }

// ObserveLoad takes one reading of the load of the pool's replicas: requests
// in flight and waiting over the limit. 1 means that all slots are taken.
func (h *Hedger) ObserveLoad(load float64) {
	h.load += (load - h.load) * loadWeight
}

// Delay is the time after which a part without an answer is late; false while
// too few latencies have been seen.
func (h *Hedger) Delay() (time.Duration, bool) { return h.delay.Value() }

// Take reports whether a late part may be sent again now, and if so spends the
// budget for it.
func (h *Hedger) Allow() bool {
	if _, learned := h.delay.Value(); !learned || h.tokens < 1 || h.grant() == 0 {
		return false
	}
	h.tokens--
	return true
}

// grant is the share of the budget that the load leaves, 0 to 1.
func (h *Hedger) grant() float64 {
	left := (noBudgetLoad - h.load) / (noBudgetLoad - fullBudgetLoad)
	return max(0, min(1, left))
}
