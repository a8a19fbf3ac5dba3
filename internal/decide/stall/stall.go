package stall

import "time"

const (
	// maxBudgetShare is the share of the time to the deadline after which a
	// connection counts as stalled at the latest.
	maxBudgetShare = 0.25
	// typicalFactor is the number of typical execution times for which a
	// connection may receive no bytes.
	typicalFactor = 4
	// minStall is the shortest time without bytes that counts as a stall.
	minStall = time.Millisecond
	// probesToFail is the number of consecutive probes that must report a
	// request that is not idempotent as missing before it fails.
	probesToFail = 2
	// retryShare limits the requests that are retried although the upstream
	// may still be executing them, as a share of all requests.
	retryShare = 0.01
	// retryBurst is the largest number of such retries that can accumulate.
	retryBurst = 5
)

// Action is the next step for a request.
type Action uint8

// The actions.
const (
	// Wait does nothing until NextCheck.
	Wait Action = iota + 1
	// Probe requests the upstream's status on a new connection, with
	// ProbeTimeout.
	Probe
	// Retry closes the connection, cancels the execution and retries the
	// request on another connection.
	Retry
	// Fail fails the request at once; it may have been executed.
	Fail
)

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Answered bool // the upstream answered the probe
	Missing  bool // the upstream reports fewer requests than are in flight to it
}

// RetryBudget limits the requests of one replica that are retried although the
// upstream may still be executing them. It is not safe for concurrent use.
type RetryBudget struct{ tokens float64 }

// Sent counts one request that was sent.
func (b *RetryBudget) Sent() { b.tokens = min(b.tokens+retryShare, retryBurst) }

// Allow takes one retry from the budget, if there is one left.
func (b *RetryBudget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Monitor watches one request on one connection. It is not safe for concurrent
// use.
type Monitor struct {
	after      time.Duration
	lastBytes  time.Time
	idempotent bool
	probes     int // since the last bytes
	missed     int // consecutive probes that reported the request as missing
}

// New returns the monitor of a request that was sent at now. after is the time
// without bytes that the operator's settings allow, budget the time left until
// the deadline, and typical the usual execution time, or 0 if unknown.
func New(now time.Time, after, budget, typical time.Duration, idempotent bool) *Monitor {
	after = max(after, typicalFactor*typical)
	after = min(after, time.Duration(maxBudgetShare*float64(budget)))
	return &Monitor{after: max(after, minStall), lastBytes: now, idempotent: idempotent}
}

// OnBytes records that bytes were received at a time.
func (m *Monitor) OnBytes(at time.Time) {
	if at.After(m.lastBytes) {
		m.lastBytes = at
		m.probes = 0
		m.missed = 0
	}
}

// NextCheck returns when Decide must be called next.
func (m *Monitor) NextCheck() time.Time { return m.lastBytes.Add(m.after * time.Duration(m.probes+1)) }

// ProbeTimeout returns how long a probe may take.
func (m *Monitor) ProbeTimeout() time.Duration { return m.after }

// Decide returns Probe if the connection has received no bytes for too long, and
// Wait otherwise.
func (m *Monitor) Decide(now time.Time) Action {
	if now.Before(m.NextCheck()) {
		return Wait
	}
	m.probes++
	return Probe
}

// OnProbeResult returns what follows from the result of a probe. A retry is taken
// from the budget only if the upstream may still be executing the request.
func (m *Monitor) OnProbeResult(r ProbeResult, retries *RetryBudget) Action {
	if !r.Answered {
		return Fail
	}
	if !r.Missing {
		m.missed = 0
		if m.idempotent && m.probes > 1 && retries.Allow() {
			return Retry
		}
		return Wait
	}
	m.missed++
	switch {
	case m.idempotent:
		return Retry
	case m.missed >= probesToFail:
		return Fail
	}
	return Wait
}
