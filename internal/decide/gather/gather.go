package gather

import "time"

// Config holds the limits of one request.
type Config struct {
	Parts       int
	MinParts    int // the fewest parts that make an answer, at least 1
	MaxAttempts int // replicas that may execute one part, at least 1
	Idempotent  bool
	AnswerBy    time.Time     // shortly before the latency objective: answer if MinParts have been received
	Deadline    time.Time     // the caller's deadline or the route's timeout
	HedgeAfter  time.Duration // age at which an attempt is late and its part may be hedged; 0 disables hedges
}

// maxRejections limits how often one part is sent again after replicas that did
// not execute it. After that many, all replicas are taken to be full.
const maxRejections = 3

// Attempt is an attempt that the caller of Decide has to start.
type Attempt struct {
	Part int
	Kind Kind
}

// Kind distinguishes first attempts from extra ones, which have budgets of their own.
type Kind uint8

// The kinds of attempts.
const (
	First Kind = iota // the first attempt of a part, without a budget
	Retry             // after an attempt that failed
	Hedge             // in parallel to an attempt that is late
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"first", "retry", "hedge"}[k]
}

// Outcome is the state of a request: pending, or how it ended.
type Outcome uint8

// The outcomes.
const (
	Pending Outcome = iota
	Answer          // with the parts received so far
	Failed          // too few parts can still be received
	Expired         // the deadline has passed
)

// Result is the end of an attempt.
type Result uint8

// The results.
const (
	Served   Result = iota
	NotSent         // no byte was sent
	Rejected        // the replica reported that it did not execute it
	NoAnswer        // it was or may have been executed, and gave no answer
)

// part is the state of one part.
type part struct {
	received   bool
	inFlight   []time.Time // send times of the attempts without a result
	executions int         // attempts that were or may have been executed, or are in flight
	rejected   int         // attempts that were not executed
	hedged     bool        // a hedge was requested
	givenUp    bool        // no more attempts can be made
}

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	parts    []part
	received int // parts received
	givenUp  int // parts that can't be received any more
	pending  []Attempt
	// oneByOne states that attempts are sent one at a time.
	oneByOne bool
}

// New returns the machine of a request. The first call of Decide returns a first
// attempt for each part.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, parts: make([]part, cfg.Parts), pending: make([]Attempt, 0, cfg.Parts)}
	for i := range m.parts {
		m.pending = append(m.pending, Attempt{Part: i})
	}
	return m
}

// Received returns the number of parts received.
func (m *Machine) Received() int { return m.received }

// MaxExecutions returns the most attempts at a part that were or may have been executed,
// or are in flight.
func (m *Machine) MaxExecutions() int {
	most := 0
	for _, p := range m.parts {
		most = max(most, p.executions)
	}
	return most
}

// CanSkipPart reports whether one more part may be skipped by choice. Half of
// the parts that may be missing are reserved for parts that fail.
func (m *Machine) CanSkipPart() bool { return 2*(m.givenUp+1) <= m.cfg.Parts-m.cfg.MinParts }

// Needs reports whether an answer isn't possible any more if one more part is given up.
func (m *Machine) Needs() bool { return m.cfg.Parts-m.givenUp <= m.cfg.MinParts }

// SetOneByOne sets whether attempts are sent one at a time, and none is hedged: each
// waits until those before it have ended or are late. It limits the harm of a request
// that may crash replicas.
func (m *Machine) SetOneByOne(yes bool) { m.oneByOne = yes }

// Sent records that an attempt was sent.
func (m *Machine) Sent(now time.Time, part int) {
	p := &m.parts[part]
	p.inFlight = append(p.inFlight, now)
	p.executions++
}

// Unsendable records that an attempt returned by Decide could not be sent, for
// lack of a replica or of budget, or because its part was skipped.
func (m *Machine) Unsendable(a Attempt) {
	p := &m.parts[a.Part]
	if a.Kind != Hedge && len(p.inFlight) == 0 {
		m.giveUp(p)
	}
}

// Ended records the result of the attempt of a part that was sent at sentAt.
func (m *Machine) Ended(part int, sentAt time.Time, r Result) {
	p := &m.parts[part]
	for i, at := range p.inFlight {
		if at.Equal(sentAt) {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			break
		}
	}
	switch {
	case p.received:
	case r == Served:
		p.received = true
		m.received++
		if p.givenUp {
			p.givenUp = false
			m.givenUp--
		}
	default:
		m.attemptFailed(part, p, r)
	}
}

func (m *Machine) attemptFailed(i int, p *part, r Result) {
	if r == NotSent || r == Rejected {
		p.executions--
		p.rejected++
	}
	safe := m.cfg.Idempotent || r == NotSent || r == Rejected
	switch {
	case safe && p.executions < m.cfg.MaxAttempts && p.rejected <= maxRejections:
		m.pending = append(m.pending, Attempt{Part: i, Kind: Retry})
	case len(p.inFlight) == 0:
		m.giveUp(p)
	}
}

func (m *Machine) giveUp(p *part) {
	if !p.givenUp && !p.received {
		p.givenUp = true
		m.givenUp++
	}
}

// Decide returns the attempts to start now, the outcome so far, and the time at
// which to call it again if nothing is recorded before.
func (m *Machine) Decide(now time.Time) ([]Attempt, Outcome, time.Time) {
	if outcome := m.outcome(now); outcome != Pending {
		return nil, outcome, time.Time{}
	}
	wake := m.cfg.Deadline
	if now.Before(m.cfg.AnswerBy) {
		wake = m.cfg.AnswerBy
	}
	if m.oneByOne {
		attempts, at := m.nextOne(now)
		if !at.IsZero() && at.Before(wake) {
			wake = at
		}
		return attempts, Pending, wake
	}
	attempts := m.pending
	m.pending = nil
	for i := range m.parts {
		due, at := m.hedgeDue(now, &m.parts[i])
		if due {
			m.parts[i].hedged = true
			attempts = append(attempts, Attempt{Part: i, Kind: Hedge})
		} else if !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	return attempts, Pending, wake
}

// nextOne returns the next pending attempt if those in flight are late, or else the
// time from which they are; that time is zero if nothing is pending.
func (m *Machine) nextOne(now time.Time) ([]Attempt, time.Time) {
	if len(m.pending) == 0 {
		return nil, time.Time{}
	}
	var late time.Time
	for _, p := range m.parts {
		for _, at := range p.inFlight {
			if t := at.Add(m.cfg.HedgeAfter); t.After(late) {
				late = t
			}
		}
	}
	if now.Before(late) {
		return nil, late
	}
	next := m.pending[:1:1]
	m.pending = m.pending[1:]
	return next, time.Time{}
}

// outcome returns how the request ends, or Pending.
func (m *Machine) outcome(now time.Time) Outcome {
	enough := m.received >= m.cfg.MinParts
	switch {
	case m.received+m.givenUp == m.cfg.Parts && enough,
		enough && !now.Before(m.cfg.AnswerBy):
		return Answer
	case m.cfg.Parts-m.givenUp < m.cfg.MinParts:
		return Failed
	case !now.Before(m.cfg.Deadline):
		return Expired
	}
	return Pending
}

// hedgeDue reports whether a part is to be hedged now, and the time from which
// it is; that time is zero if the part gets no hedge.
func (m *Machine) hedgeDue(now time.Time, p *part) (bool, time.Time) {
	if m.cfg.HedgeAfter <= 0 || !m.cfg.Idempotent || p.received || p.hedged || len(p.inFlight) != 1 || p.executions >= m.cfg.MaxAttempts {
		return false, time.Time{}
	}
	at := p.inFlight[0].Add(m.cfg.HedgeAfter)
	return !now.Before(at), at
}
