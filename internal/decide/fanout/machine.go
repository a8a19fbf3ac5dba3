package fanout

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The bounds of one part.
const (
	maxAttempts = 4
	// minRetryTime is the time left below which a part is not sent again.
	minRetryTime = time.Millisecond
)

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	parts   []partState
	open    int // parts that have not ended
	actions []Action
	worst   *verdict.Error // the least promising verdict of any attempt
	ran     bool           // some attempt was answered with a part
	retry   time.Duration  // the longest advice of any verdict
	counts  Counts
	missing int  // parts that ended without an answer
	restart bool // given up to begin anew on a newer snapshot
	cut     bool // parts were given up because too few could be covered
}

type partState struct {
	Outcome
	ended    bool
	attempts []attempt
	tried    []string
	hedgeAt  time.Time // zero: no hedge
	retryAt  time.Time // zero: no retry waits
	gone     int       // attempts that found the snapshot gone
}

type attempt struct {
	replica string
	open    bool
}

// New returns the machine of a request that has not been started.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, parts: make([]partState, len(cfg.Parts)), open: len(cfg.Parts), worst: cfg.Prior}
}

// Start sends every part once. The returned actions are valid until the next
// call of a method.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	for i := range m.parts {
		if !m.parts[i].ended {
			m.send(now, i)
		}
	}
	return m.actions
}

// OnReply takes in a reply.
func (m *Machine) OnReply(now time.Time, r Reply) []Action {
	m.actions = m.actions[:0]
	p := &m.parts[r.Part]
	n := int(r.Attempt) - 1
	if n < 0 || n >= len(p.attempts) || !p.attempts[n].open {
		m.counts.Dropped++
		m.note(r.Verdict)
		return nil
	}
	p.attempts[n].open = false
	v := m.judge(&r)
	if v == nil {
		m.ran = true
		m.win(r, p.attempts[n].replica)
		return m.actions
	}
	m.note(v)
	m.lose(now, r.Part, v)
	return m.actions
}

// OnTime acts on the times that have come.
func (m *Machine) OnTime(now time.Time) []Action {
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

// Wake is the next time at which OnTime has something to do.
func (m *Machine) Wake() time.Time {
	wake := m.cfg.Deadline
	for i := range m.parts {
		p := &m.parts[i]
		if p.ended {
			continue
		}
		wake = earlier(wake, p.hedgeAt)
		wake = earlier(wake, p.retryAt)
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Done reports whether every part has ended.
func (m *Machine) Done() bool { return m.open == 0 }

// Outcome returns how a part ended.
func (m *Machine) Outcome(part int) Outcome { return m.parts[part].Outcome }

// Counts returns the sums so far.
func (m *Machine) Counts() Counts { return m.counts }

// Restart reports whether the request was given up to begin anew, because the
// pinned snapshot has left beneath it.
func (m *Machine) Restart() bool { return m.restart }

// GaveUp reports whether parts were given up because too few others could
// still be covered.
func (m *Machine) GaveUp() bool { return m.cut }

// Verdict is the verdict on the whole request if it is refused: it is NotRun
// only if no attempt may have run.
func (m *Machine) Verdict() *verdict.Error {
	v := verdict.New(verdict.NotRun, verdict.NoReplica, "no part was sent")
	if m.worst != nil {
		v = m.worst.After(m.retry)
	}
	if m.ran {
		v.Outcome = max(v.Outcome, verdict.RanFailed)
	}
	return v
}

// judge returns why a reply can't be merged, or nil.
func (m *Machine) judge(r *Reply) *verdict.Error {
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

// note keeps the least promising verdict of all attempts, and the longest
// advice when to come back.
func (m *Machine) note(v *verdict.Error) {
	m.worst = verdict.Worse(m.worst, v)
	if v != nil {
		m.retry = max(m.retry, v.RetryAfter)
	}
}

// send starts an attempt at a replica of the chooser's choice, or ends the part
// when no replica is left.
func (m *Machine) send(now time.Time, i int) {
	p := &m.parts[i]
	replica, ok := m.cfg.Chooser.Choose(i, p.tried)
	if ok {
		m.dispatch(now, i, replica, false)
		return
	}
	m.end(now, i, verdict.New(verdict.NotRun, verdict.NoReplica, "no replica of the shard can be asked"))
}

// dispatch starts an attempt at replica.
func (m *Machine) dispatch(now time.Time, i int, replica string, hedge bool) {
	p := &m.parts[i]
	p.tried = append(p.tried, replica)
	p.attempts = append(p.attempts, attempt{replica: replica, open: true})
	m.counts.Sent++
	if hedge {
		m.counts.Hedges++
	}
	m.actions = append(m.actions, Action{Kind: Send, Part: i, Attempt: uint32(len(p.attempts)), Replica: replica, Hedge: hedge})
	m.armHedge(now, i)
}

// armHedge sets the time of a hedge for the first attempt of a part. One at a
// replica on trial is hedged at once: callers must not wait for what is learned.
func (m *Machine) armHedge(now time.Time, i int) {
	p := &m.parts[i]
	if m.cfg.Hedger == nil || !m.cfg.Idempotent || len(p.attempts) != 1 {
		return
	}
	if m.cfg.Chooser.OnTrial(i, p.tried[0]) {
		p.hedgeAt = now
		return
	}
	if d, ok := m.cfg.Hedger.Delay(m.cfg.Parts[i].Pool); ok {
		p.hedgeAt = now.Add(d)
	}
}

// hedge asks another replica for a late part if that one has room and the
// budget allows; without room it is tried again a little later.
func (m *Machine) hedge(now time.Time, i int) {
	p := &m.parts[i]
	if !p.hasOpen() || len(p.attempts) >= maxAttempts {
		return
	}
	replica, ok := m.cfg.Chooser.Choose(i, p.tried)
	if !ok {
		return
	}
	if !m.cfg.Chooser.HasRoom(i, replica) {
		p.hedgeAt = now.Add(hedge.RecheckInterval)
		return
	}
	if m.cfg.Hedger.Allow(now, m.cfg.Parts[i].Pool) {
		m.dispatch(now, i, replica, true)
	}
}

// win merges a reply, ends its part and cancels the losers.
func (m *Machine) win(r Reply, replica string) {
	p := &m.parts[r.Part]
	p.Outcome = Outcome{Covered: true, Payload: r.Payload, Snapshot: r.Snapshot, Winner: replica}
	m.finish(r.Part)
}

// lose decides what follows a failed attempt.
func (m *Machine) lose(now time.Time, i int, v *verdict.Error) {
	p := &m.parts[i]
	if v.Cause == verdict.SnapshotGone {
		p.gone++
	}
	if p.hasOpen() || !p.retryAt.IsZero() {
		return
	}
	if !m.mayRetry(now, i, v) {
		m.end(now, i, v)
		return
	}
	m.counts.Retries++
	if replica, ok := m.cfg.Chooser.Choose(i, p.tried); ok {
		m.dispatch(now, i, replica, false)
		return
	}
	// Every replica was tried: go round again once the last one expects it.
	if v.Cause == verdict.SnapshotGone || v.RetryAfter <= 0 || !now.Add(v.RetryAfter).Before(m.cfg.Deadline) {
		m.end(now, i, v)
		return
	}
	p.tried = p.tried[:0]
	p.retryAt = now.Add(v.RetryAfter)
}

// mayRetry says whether a part may be sent again after v.
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
	return m.cfg.Retrier == nil || endedBefore(v) || m.cfg.Retrier.Allow(now, m.cfg.Parts[i].Pool)
}

// endedBefore reports whether an attempt ended between our own processes for a
// reason of one replica or one process, so that asking another replica costs
// upstreams no more than the first attempt did. Such retries are bounded by
// maxAttempts alone, else a hand-over of replicas could use up the budget.
func endedBefore(v *verdict.Error) bool {
	if v.Outcome != verdict.NotRun {
		return false
	}
	switch v.Cause {
	case verdict.NotOwner, verdict.Cold, verdict.PeerLost, verdict.ShuttingDown, verdict.Draining:
		return true
	}
	return false
}

// end closes a part without an answer.
func (m *Machine) end(now time.Time, i int, v *verdict.Error) {
	p := &m.parts[i]
	m.note(v)
	p.Verdict = v
	m.finish(i)
	m.missing++
	if p.gone > 0 && !m.restart && m.cfg.Restarter != nil && m.cfg.Restarter.CanRestart(now) {
		m.restart = true
		m.giveUp(v)
		return
	}
	if len(m.parts)-m.missing < m.cfg.MinCovered {
		m.cut = m.cut || m.open > 0
		m.giveUp(v)
	}
	if v.Cause == verdict.Poison {
		m.giveUp(v)
	}
}

// giveUp ends the parts that are still open, since no answer can come of them.
func (m *Machine) giveUp(v *verdict.Error) {
	for i := range m.parts {
		p := &m.parts[i]
		if p.ended {
			continue
		}
		p.Verdict = v
		if p.hasOpen() {
			m.note(verdict.New(verdict.MayHaveRun, v.Cause, v.Detail))
		}
		m.missing++
		m.finish(i)
	}
}

// finish closes a part and cancels the attempts that are still open.
func (m *Machine) finish(i int) {
	p := &m.parts[i]
	p.ended = true
	m.open--
	for n := range p.attempts {
		if p.attempts[n].open {
			p.attempts[n].open = false
			m.actions = append(m.actions, Action{Kind: Cancel, Part: i, Attempt: uint32(n + 1), Replica: p.attempts[n].replica})
		}
	}
}

// expire ends every part that is still open. A part with an attempt in flight
// may have run.
func (m *Machine) expire(now time.Time) {
	for i := range m.parts {
		p := &m.parts[i]
		if p.ended {
			continue
		}
		v := verdict.New(verdict.NotRun, verdict.Deadline, "deadline passed before the part was sent")
		if p.hasOpen() {
			v = verdict.New(verdict.MayHaveRun, verdict.Deadline, "no reply before the deadline")
		}
		m.end(now, i, v)
	}
}

func (p *partState) hasOpen() bool {
	for i := range p.attempts {
		if p.attempts[i].open {
			return true
		}
	}
	return false
}
