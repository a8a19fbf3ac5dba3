package fanout

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The limits of one part.
const (
	maxAttempts = 4
	// minRetryTime is the time to the deadline below which a part is not retried.
	minRetryTime = time.Millisecond
)

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	cfg          Config
	parts        []partState
	open         int // parts that have not ended
	actions      []Action
	worstVerdict *verdict.Error // of all attempts, in the order of verdict.Worse
	answered     bool           // some attempt was answered with a part
	retryAfter   time.Duration  // the longest RetryAfter of any verdict
	counts       Counts
	missing      int  // parts that ended uncovered
	needsRestart bool // abandoned in order to be restarted on a newer snapshot
	abandoned    bool // open parts were abandoned because too few could be covered
}

type partState struct {
	Outcome
	ended        bool
	attempts     []attempt
	tried        []string
	hedgeAt      time.Time // zero: no hedge is due
	retryAt      time.Time // zero: no retry is due
	snapshotGone int       // attempts whose replica no longer had the pinned snapshot
}

type attempt struct {
	replica  string
	inFlight bool
}

// New returns the machine of a request that has not been started.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, parts: make([]partState, len(cfg.Parts)), open: len(cfg.Parts), worstVerdict: cfg.PriorVerdict}
}

// Start sends the first attempt of every part. The returned actions are valid
// until the next call of a method.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	for i := range m.parts {
		if !m.parts[i].ended {
			m.send(now, i)
		}
	}
	return m.actions
}

// OnReply processes a reply and returns the actions that follow from it.
func (m *Machine) OnReply(now time.Time, r Reply) []Action {
	m.actions = m.actions[:0]
	p := &m.parts[r.Part]
	n := int(r.Attempt) - 1
	if n < 0 || n >= len(p.attempts) || !p.attempts[n].inFlight {
		m.counts.Dropped++
		m.recordVerdict(r.Verdict)
		return nil
	}
	p.attempts[n].inFlight = false
	v := m.check(&r)
	if v == nil {
		m.answered = true
		m.cover(r, p.attempts[n].replica)
		return m.actions
	}
	m.recordVerdict(v)
	m.onFailure(now, r.Part, v)
	return m.actions
}

// OnTimer sends the retries and hedges that are due, and ends the request at its
// deadline.
func (m *Machine) OnTimer(now time.Time) []Action {
	m.actions = m.actions[:0]
	if !now.Before(m.cfg.Deadline) {
		m.expire(now)
		return m.actions
	}
	for i := range m.parts {
		p := &m.parts[i]
		if p.ended {
			continue
		}
		if !p.retryAt.IsZero() && !now.Before(p.retryAt) {
			p.retryAt = time.Time{}
			m.send(now, i)
		}
		if !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt) {
			p.hedgeAt = time.Time{}
			m.hedge(now, i)
		}
	}
	return m.actions
}

// NextTimer returns the time at which OnTimer must be called next.
func (m *Machine) NextTimer() time.Time {
	next := m.cfg.Deadline
	for i := range m.parts {
		p := &m.parts[i]
		if p.ended {
			continue
		}
		next = earlier(next, p.hedgeAt)
		next = earlier(next, p.retryAt)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Done reports whether every part has ended.
func (m *Machine) Done() bool { return m.open == 0 }

// Outcome returns the result of a part that has ended.
func (m *Machine) Outcome(part int) Outcome { return m.parts[part].Outcome }

// Counts returns the counts so far.
func (m *Machine) Counts() Counts { return m.counts }

// NeedsRestart reports whether the request was abandoned and must be restarted,
// because replicas no longer have the pinned snapshot.
func (m *Machine) NeedsRestart() bool { return m.needsRestart }

// Abandoned reports whether open parts were abandoned because MinCovered could
// no longer be reached.
func (m *Machine) Abandoned() bool { return m.abandoned }

// Verdict returns the verdict on the whole request if it is refused. Its outcome
// is NotRun only if no attempt can have been executed.
func (m *Machine) Verdict() *verdict.Error {
	v := verdict.New(verdict.NotRun, verdict.NoReplica, "no part was sent")
	if m.worstVerdict != nil {
		v = m.worstVerdict.WithRetryAfter(m.retryAfter)
	}
	if m.answered {
		v.Outcome = max(v.Outcome, verdict.RanFailed)
	}
	return v
}

// check returns why a reply can't be merged, or nil.
func (m *Machine) check(r *Reply) *verdict.Error {
	if r.Verdict != nil {
		return r.Verdict
	}
	part := &m.cfg.Parts[r.Part]
	switch {
	case r.RequestID != m.cfg.RequestID || r.EchoAttempt != r.Attempt:
		m.counts.Dropped++
		return verdict.Newf(verdict.MayHaveRun, verdict.BadAnswer, "answer is for request %q, attempt %d", r.RequestID, r.EchoAttempt)
	case m.cfg.Snapshot != 0 && r.Snapshot != m.cfg.Snapshot:
		m.counts.Dropped++
		return verdict.Newf(verdict.RanFailed, verdict.SnapshotGone, "answer is from snapshot %d, asked for %d", r.Snapshot, m.cfg.Snapshot)
	case part.Hi != 0 && (r.Lo != part.Lo || r.Hi != part.Hi):
		m.counts.Dropped++
		return verdict.Newf(verdict.RanFailed, verdict.BadAnswer, "answer covers %d-%d, asked for %d-%d", r.Lo, r.Hi, part.Lo, part.Hi)
	}
	return nil
}

// recordVerdict keeps the worst verdict of all attempts and the longest
// RetryAfter.
func (m *Machine) recordVerdict(v *verdict.Error) {
	m.worstVerdict = verdict.Worse(m.worstVerdict, v)
	if v != nil {
		m.retryAfter = max(m.retryAfter, v.RetryAfter)
	}
}

// send starts an attempt at a replica that the chooser picks, or ends the part
// if there is none.
func (m *Machine) send(now time.Time, i int) {
	p := &m.parts[i]
	replica, ok := m.cfg.Chooser.Choose(i, p.tried)
	if ok {
		m.dispatch(now, i, replica, false)
		return
	}
	m.endUncovered(now, i, verdict.New(verdict.NotRun, verdict.NoReplica, "no replica of the shard can be asked"))
}

// dispatch starts an attempt at replica.
func (m *Machine) dispatch(now time.Time, i int, replica string, hedge bool) {
	p := &m.parts[i]
	p.tried = append(p.tried, replica)
	p.attempts = append(p.attempts, attempt{replica: replica, inFlight: true})
	m.counts.Sent++
	if hedge {
		m.counts.Hedges++
	}
	m.actions = append(m.actions, Action{Kind: Send, Part: i, Attempt: uint32(len(p.attempts)), Replica: replica, Hedge: hedge})
	m.armHedge(now, i)
}

// armHedge sets the time of a hedge for the first attempt of a part. An attempt
// that probes an ejected replica is hedged at once, so that the caller doesn't
// wait for a slow reply.
func (m *Machine) armHedge(now time.Time, i int) {
	p := &m.parts[i]
	if m.cfg.Hedger == nil || !m.cfg.Idempotent || len(p.attempts) != 1 {
		return
	}
	if m.cfg.Chooser.Probing(i, p.tried[0]) {
		p.hedgeAt = now
		return
	}
	if d, ok := m.cfg.Hedger.Delay(m.cfg.Parts[i].Pool); ok {
		p.hedgeAt = now.Add(d)
	}
}

// hedge sends a late part to another replica if that one has capacity and the
// budget allows it. Without capacity the hedge is postponed.
func (m *Machine) hedge(now time.Time, i int) {
	p := &m.parts[i]
	if !p.hasInFlight() || len(p.attempts) >= maxAttempts {
		return
	}
	replica, ok := m.cfg.Chooser.Choose(i, p.tried)
	if !ok {
		return
	}
	if !m.cfg.Chooser.HasCapacity(i, replica) {
		p.hedgeAt = now.Add(hedge.RecheckInterval)
		return
	}
	if m.cfg.Hedger.Allow(now, m.cfg.Parts[i].Pool) {
		m.dispatch(now, i, replica, true)
	}
}

// cover accepts a reply, ends its part and cancels the part's other attempts.
func (m *Machine) cover(r Reply, replica string) {
	p := &m.parts[r.Part]
	p.Outcome = Outcome{Covered: true, Payload: r.Payload, Snapshot: r.Snapshot, Winner: replica}
	m.finish(r.Part)
}

// onFailure retries a part after a failed attempt, or ends it.
func (m *Machine) onFailure(now time.Time, i int, v *verdict.Error) {
	p := &m.parts[i]
	if v.Cause == verdict.SnapshotGone {
		p.snapshotGone++
	}
	if p.hasInFlight() || !p.retryAt.IsZero() {
		return
	}
	if !m.mayRetry(now, i, v) {
		m.endUncovered(now, i, v)
		return
	}
	m.counts.Retries++
	if replica, ok := m.cfg.Chooser.Choose(i, p.tried); ok {
		m.dispatch(now, i, replica, false)
		return
	}
	// Every replica was tried: start over after the RetryAfter of the last one.
	if v.Cause == verdict.SnapshotGone || v.RetryAfter <= 0 || !now.Add(v.RetryAfter).Before(m.cfg.Deadline) {
		m.endUncovered(now, i, v)
		return
	}
	p.tried = p.tried[:0]
	p.retryAt = now.Add(v.RetryAfter)
}

// mayRetry reports whether a part may be retried after v.
func (m *Machine) mayRetry(now time.Time, i int, v *verdict.Error) bool {
	p := &m.parts[i]
	if len(p.attempts) >= maxAttempts || m.cfg.Deadline.Sub(now) < minRetryTime {
		return false
	}
	if v.Outcome != verdict.NotRun && !m.cfg.Idempotent {
		return false
	}
	switch v.Cause {
	case verdict.Poison, verdict.BadRequest, verdict.TooLarge, verdict.Cancelled, verdict.Deadline:
		return false
	}
	return m.cfg.Retrier == nil || rejectedBeforeExecution(v) || m.cfg.Retrier.Allow(now, m.cfg.Parts[i].Pool)
}

// rejectedBeforeExecution reports whether an attempt ended before it reached an
// upstream, for a reason that holds for one replica or one process, so that a
// retry on another replica costs upstreams no more than the first attempt did.
// Such retries are limited by maxAttempts alone, otherwise a change of the
// replicas' owners could use up the retry budget.
func rejectedBeforeExecution(v *verdict.Error) bool {
	if v.Outcome != verdict.NotRun {
		return false
	}
	switch v.Cause {
	case verdict.NotOwner, verdict.Cold, verdict.PeerLost, verdict.ShuttingDown, verdict.Draining:
		return true
	}
	return false
}

// endUncovered ends a part without an answer, and abandons the request if that
// makes it pointless or calls for a restart.
func (m *Machine) endUncovered(now time.Time, i int, v *verdict.Error) {
	p := &m.parts[i]
	m.recordVerdict(v)
	p.Verdict = v
	m.finish(i)
	m.missing++
	if p.snapshotGone > 0 && !m.needsRestart && m.cfg.Restarter != nil && m.cfg.Restarter.CanRestart(now) {
		m.needsRestart = true
		m.abandon(v)
		return
	}
	if len(m.parts)-m.missing < m.cfg.MinCovered {
		m.abandoned = m.abandoned || m.open > 0
		m.abandon(v)
	}
	if v.Cause == verdict.Poison {
		m.abandon(v)
	}
}

// abandon ends the parts that are still open, since the request can't be
// answered with them.
func (m *Machine) abandon(v *verdict.Error) {
	for i := range m.parts {
		p := &m.parts[i]
		if p.ended {
			continue
		}
		p.Verdict = v
		if p.hasInFlight() {
			m.recordVerdict(verdict.New(verdict.MayHaveRun, v.Cause, v.Detail))
		}
		m.missing++
		m.finish(i)
	}
}

// finish ends a part and cancels its attempts in flight.
func (m *Machine) finish(i int) {
	p := &m.parts[i]
	p.ended = true
	m.open--
	for n := range p.attempts {
		if p.attempts[n].inFlight {
			p.attempts[n].inFlight = false
			m.actions = append(m.actions, Action{Kind: Cancel, Part: i, Attempt: uint32(n + 1), Replica: p.attempts[n].replica})
		}
	}
}

// expire ends every open part at the deadline. A part with an attempt in flight
// may have been executed.
func (m *Machine) expire(now time.Time) {
	for i := range m.parts {
		p := &m.parts[i]
		if p.ended {
			continue
		}
		v := verdict.New(verdict.NotRun, verdict.Deadline, "deadline passed before the part was sent")
		if p.hasInFlight() {
			v = verdict.New(verdict.MayHaveRun, verdict.Deadline, "no reply before the deadline")
		}
		m.endUncovered(now, i, v)
	}
}

func (p *partState) hasInFlight() bool {
	for i := range p.attempts {
		if p.attempts[i].inFlight {
			return true
		}
	}
	return false
}
