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

// Machine paces the calls of one node. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	rng        *rand.Rand
	failures   int
	tokens     float64
	refilledAt time.Time // last refill of tokens
	notBefore  time.Time // end of the delay after a failure
}

// New returns a machine whose token bucket is full.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{cfg: cfg, rng: rng, tokens: cfg.Burst}
}

// Next returns the earliest time of the next call, which is not before now.
func (m *Machine) Next(now time.Time) time.Time {
	m.refill(now)
	at := now
	if m.tokens < 1 {
		at = now.Add(time.Duration((1 - m.tokens) / m.cfg.Rate * float64(time.Second)))
	}
	if at.Before(m.notBefore) {
		at = m.notBefore
	}
	return at
}

// Called takes a token for a call that starts now.
func (m *Machine) Called(now time.Time) {
	m.refill(now)
	m.tokens--
}

// Done records whether a call succeeded.
func (m *Machine) Done(now time.Time, ok bool) {
	if ok {
		m.failures = 0
		m.notBefore = time.Time{}
		return
	}
	ceiling := min(m.cfg.Max, m.cfg.Min<<min(m.failures, 16))
	m.failures++
	m.notBefore = now.Add(time.Duration(m.rng.Int64N(int64(ceiling)) + 1))
}

// Failures returns the number of consecutive failures.
func (m *Machine) Failures() int { return m.failures }

func (m *Machine) refill(now time.Time) {
	if !m.refilledAt.IsZero() && now.After(m.refilledAt) {
		m.tokens = min(m.cfg.Burst, m.tokens+now.Sub(m.refilledAt).Seconds()*m.cfg.Rate)
	}
	m.refilledAt = now
}
