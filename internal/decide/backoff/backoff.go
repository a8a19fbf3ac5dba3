package backoff

import (
	"math/rand/v2"
	"time"
)

// Config bounds the calls of one node to one service.
type Config struct {
	Min   time.Duration // upper bound of the delay after the first failure
	Max   time.Duration // upper bound of the delay after any number of failures
	Rate  float64       // calls a second that the node may make on average
	Burst float64       // calls that the node may make at once
}

// DefaultConfig returns the bounds for calls to the platform's store. When the
// store recovers, the first calls of the relays are spread over Max.
func DefaultConfig() Config {
	return Config{Min: 200 * time.Millisecond, Max: 4 * time.Second, Rate: 2, Burst: 4}
}

// Pacer schedules the calls of one node: a token bucket limits their rate, and a
// random delay follows each failure. It is not safe for concurrent use.
type Pacer struct {
	cfg        Config
	rng        *rand.Rand
	failures   int
	tokens     float64
	refilledAt time.Time // last refill of tokens
	notBefore  time.Time // end of the delay after a failure
}

// New returns a pacer with a full token bucket and no failures. rng draws the
// delays.
func New(cfg Config, rng *rand.Rand) *Pacer {
	return &Pacer{cfg: cfg, rng: rng, tokens: cfg.Burst}
}

// Next returns the earliest time of the next call, which is not before now.
func (p *Pacer) Next(now time.Time) time.Time {
	p.refill(now)
	at := now
	if p.tokens < 1 {
		at = now.Add(time.Duration((1 - p.tokens) / p.cfg.Rate * float64(time.Second)))
	}
	if at.Before(p.notBefore) {
		at = p.notBefore
	}
	return at
}

// Called takes a token for a call that starts now.
func (p *Pacer) Called(now time.Time) {
	p.refill(now)
	p.tokens--
}

// Done records whether a call succeeded.
func (p *Pacer) Done(now time.Time, ok bool) {
	if ok {
		p.failures = 0
		p.notBefore = time.Time{}
		return
	}
	ceiling := min(p.cfg.Max, p.cfg.Min<<min(p.failures, 16))
	p.failures++
	p.notBefore = now.Add(time.Duration(p.rng.Int64N(int64(ceiling)) + 1))
}

// Failures returns the number of consecutive failures.
func (p *Pacer) Failures() int { return p.failures }

func (p *Pacer) refill(now time.Time) {
	if !p.refilledAt.IsZero() && now.After(p.refilledAt) {
		p.tokens = min(p.cfg.Burst, p.tokens+now.Sub(p.refilledAt).Seconds()*p.cfg.Rate)
	}
	p.refilledAt = now
}
