package gather

import "time"

// Config describes a request.
type Config struct {
	Parts       int
	MinParts    int // parts without which there is no answer, at least 1
	MaxAttempts int // replicas that may run one part, at least 1
	Idempotent  bool
	AnswerBy    time.Time     // just before the objective: answer with what is in
	Deadline    time.Time     // the end of the caller's patience or of the route's time
	HedgeAfter  time.Duration // age of an attempt that makes its part late; 0: no hedges
}

// maxRejections bounds how often one part is sent again after replicas that
// did not run it: beyond that they are all full.
const maxRejections = 3

// Attempt is one attempt to be made.
type Attempt struct {
	Part int
	Kind Kind
}

// Kind says which budget an attempt draws on.
type Kind uint8

// The budgets.
const (
	First Kind = iota // none: the first send of the part
	Retry             // after a failure
	Hedge             // beside an attempt that is late
)

// String returns the budget's name in logs.
func (e Kind) String() string {
	return [...]string{"first", "retry", "hedge"}[e]
}

// Outcome says how the request ends.
type Outcome uint8

// The outcomes.
const (
	Pending Outcome = iota
	Answer          // with the parts that are in
	Failed          // the needed parts can't be had any more
	Expired         // the deadline has passed
)

// Result is how an attempt ended.
type Result uint8

// The results.
const (
	Served   Result = iota
	NotSent         // no byte went out
	Rejected        // the replica says that it did not run it
	NoAnswer        // it ran, or may have, and brought no answer
)

// part is the state of one part.
type part struct {
	in       bool
	flights  []time.Time // attempts without a result, by when they were sent
	runs     int         // attempts that run, or may have run
	rejected int
	hedged   bool // a hedge was asked for
	dead     bool // nothing more can be sent
}

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	parts   []part
	in      int // parts that are in
	lost    int // parts that can't come any more
	pending []Attempt
}

// New returns the machine of a request whose parts are all to be sent.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, parts: make([]part, cfg.Parts), pending: make([]Attempt, 0, cfg.Parts)}
	for i := range m.parts {
		m.pending = append(m.pending, Attempt{Part: i})
	}
	return m
}

// Received returns the number of parts that are in.
func (m *Machine) Received() int { return m.in }

// CanSkipPart reports whether a part may be left out by choice. Half of the
// parts that the request can do without are kept for those that fail.
func (m *Machine) CanSkipPart() bool { return 2*(m.lost+1) <= m.cfg.Parts-m.cfg.MinParts }

// Sent tells that a Send was carried out.
func (m *Machine) Sent(now time.Time, part int) {
	p := &m.parts[part]
	p.flights = append(p.flights, now)
	p.runs++
}

// Unsendable tells that a Send could not be carried out: there is no replica
// left for the part, or no budget.
func (m *Machine) Unsendable(s Attempt) {
	p := &m.parts[s.Part]
	if s.Kind != Hedge && len(p.flights) == 0 {
		m.lose(p)
	}
}

// Ended takes the end of an attempt that was sent at a time.
func (m *Machine) Ended(part int, sentAt time.Time, r Result) {
	p := &m.parts[part]
	for i, at := range p.flights {
		if at.Equal(sentAt) {
			p.flights = append(p.flights[:i], p.flights[i+1:]...)
			break
		}
	}
	switch {
	case p.in:
	case r == Served:
		p.in = true
		m.in++
		if p.dead {
			p.dead = false
			m.lost--
		}
	default:
		m.failed(part, p, r)
	}
}

func (m *Machine) failed(i int, p *part, r Result) {
	if r == NotSent || r == Rejected {
		p.runs--
		p.rejected++
	}
	safe := m.cfg.Idempotent || r == NotSent || r == Rejected
	switch {
	case safe && p.runs < m.cfg.MaxAttempts && p.rejected <= maxRejections:
		m.pending = append(m.pending, Attempt{Part: i, Kind: Retry})
	case len(p.flights) == 0:
		m.lose(p)
	}
}

func (m *Machine) lose(p *part) {
	if !p.dead && !p.in {
		p.dead = true
		m.lost++
	}
}

// Decide returns the attempts to be made now, how the request stands, and when
// to ask again without an event.
func (m *Machine) Decide(now time.Time) ([]Attempt, Outcome, time.Time) {
	if out := m.outcome(now); out != Pending {
		return nil, out, time.Time{}
	}
	sends := m.pending
	m.pending = nil
	wake := m.cfg.Deadline
	if now.Before(m.cfg.AnswerBy) {
		wake = m.cfg.AnswerBy
	}
	for i := range m.parts {
		late, again := m.late(now, &m.parts[i])
		if late {
			m.parts[i].hedged = true
			sends = append(sends, Attempt{Part: i, Kind: Hedge})
		} else if !again.IsZero() && again.Before(wake) {
			wake = again
		}
	}
	return sends, Pending, wake
}

// outcome says whether the request is over.
func (m *Machine) outcome(now time.Time) Outcome {
	enough := m.in >= m.cfg.MinParts
	switch {
	case m.in+m.lost == m.cfg.Parts && enough,
		enough && !now.Before(m.cfg.AnswerBy):
		return Answer
	case m.cfg.Parts-m.lost < m.cfg.MinParts:
		return Failed
	case !now.Before(m.cfg.Deadline):
		return Expired
	}
	return Pending
}

// late reports whether a part is to be hedged now, or when it would be.
func (m *Machine) late(now time.Time, p *part) (bool, time.Time) {
	if m.cfg.HedgeAfter <= 0 || !m.cfg.Idempotent || p.in || p.hedged || len(p.flights) != 1 || p.runs >= m.cfg.MaxAttempts {
		return false, time.Time{}
	}
	at := p.flights[0].Add(m.cfg.HedgeAfter)
	return !now.Before(at), at
}
