package stall

import "time"

const (
	// budgetShare is the part of the time left after which a connection is
	// suspected at the latest.
	budgetShare = 0.25
	// typicalFactor is how much longer than a typical run a connection may
	// be silent.
	typicalFactor = 4
	// minAfter is the shortest silence that is suspected.
	minAfter = time.Millisecond
	// sureProbes is the number of probes in a row that must miss a request
	// which can't be sent again before it is given up.
	sureProbes = 2
	// resendShare bounds the requests that are sent again although the
	// upstream may still be working on them, as a share of all.
	resendShare = 0.01
	// resendBurst is the number of these that can be saved up.
	resendBurst = 5
)

// Action says what to do.
type Action uint8

// The actions.
const (
	// Wait waits until NextCheck.
	Wait Action = iota + 1
	// Probe asks for the upstream's status on a new connection, for at most
	// ProbeTimeout.
	Probe
	// Retry closes the connection, cancels the run and sends the request
	// again on another connection.
	Retry
	// Fail gives the request up at once; it may have run.
	Fail
)

// ProbeResult is what a probe showed.
type ProbeResult struct {
	Answered bool // the upstream answered the probe
	Missing  bool // it works on fewer requests than were sent to it
}

// RetryBudget bounds the requests of one replica that are sent again on a guess. It
// is not safe for concurrent use.
type RetryBudget struct{ tokens float64 }

// Sent counts one request.
func (b *RetryBudget) Sent() { b.tokens = min(b.tokens+resendShare, resendBurst) }

// Allow spends the budget for one request, if there is any.
func (b *RetryBudget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Monitor follows one request on one connection. It is not safe for concurrent
// use.
type Monitor struct {
	after      time.Duration
	heard      time.Time
	idempotent bool
	probes     int
	missed     int
}

// New begins to watch a request that was sent at now. budget is the time left
// until its deadline, typical the time of a run, or 0 if unknown, after the
// silence that the operator's settings allow.
func New(now time.Time, after, budget, typical time.Duration, idempotent bool) *Monitor {
	after = max(after, typicalFactor*typical)
	after = min(after, time.Duration(budgetShare*float64(budget)))
	return &Monitor{after: max(after, minAfter), heard: now, idempotent: idempotent}
}

// OnBytes notes that bytes came at a time.
func (w *Monitor) OnBytes(at time.Time) {
	if at.After(w.heard) {
		w.heard = at
		w.probes = 0
		w.missed = 0
	}
}

// NextCheck is when Decide must be asked next.
func (w *Monitor) NextCheck() time.Time { return w.heard.Add(w.after * time.Duration(w.probes+1)) }

// ProbeTimeout is how long a probe may take.
func (w *Monitor) ProbeTimeout() time.Duration { return w.after }

// Decide returns Probe once the silence has lasted too long, else Listen.
func (w *Monitor) Decide(now time.Time) Action {
	if now.Before(w.NextCheck()) {
		return Wait
	}
	w.probes++
	return Probe
}

// OnProbeResult takes the result of a probe. guess is spent only for a request that
// the upstream may be working on.
func (w *Monitor) OnProbeResult(r ProbeResult, guess *RetryBudget) Action {
	if !r.Answered {
		return Fail
	}
	if !r.Missing {
		w.missed = 0
		if w.idempotent && w.probes > 1 && guess.Allow() {
			return Retry
		}
		return Wait
	}
	w.missed++
	switch {
	case w.idempotent:
		return Retry
	case w.missed >= sureProbes:
		return Fail
	}
	return Wait
}
