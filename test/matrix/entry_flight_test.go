package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/coverage"
	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/pick"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// flight is one request under way.
type pendingRequest struct {
	sim        *querySim
	id, key    string
	deadline   time.Duration
	startedAt  time.Duration
	pinned     *snapshot.Pinned
	nextPinned *snapshot.Pinned
	machine    *fanout.Machine
	cfg        fanout.Config
	choices    [][]string
	idempotent bool
	done       func(f *pendingRequest)
	timerAt    time.Time
}

// ask sends a query now.
func (sim *querySim) sendQuery(id string, deadline time.Duration) {
	sim.h.deadlines[id] = sim.now + deadline
	pinned := snapshot.Pin(sim.pools())
	if pinned == nil {
		sim.refuse(id, verdict.NotRun)
		return
	}
	f := &pendingRequest{sim: sim, id: id, deadline: sim.now + deadline, startedAt: sim.now, idempotent: true, done: (*pendingRequest).finishQuery}
	f.startQuery(pinned, nil)
}

// fly starts a machine on a pinned snapshot.
func (f *pendingRequest) startQuery(pinned *snapshot.Pinned, prior *verdict.Error) {
	f.pinned = pinned
	f.choices = nil
	f.cfg = fanout.Config{RequestID: f.id, Snapshot: pinned.Snapshot, Idempotent: true, PriorVerdict: prior, Hedger: simHedger{f.sim}, Retrier: f.sim}
	if prior == nil && !f.sim.noRestarts {
		f.cfg.Restarter = f
	}
	for _, m := range pinned.Maps {
		for _, s := range m.Shards {
			f.cfg.Parts = append(f.cfg.Parts, fanout.Part{Pool: m.Pool, Shard: s.Index, Lo: s.Lo, Hi: s.Hi})
			f.choices = append(f.choices, s.Replicas)
			f.sim.hedgers[m.Pool].CountFirst()
			f.sim.budgets[m.Pool].CountFirst(1)
		}
	}
	if f.sim.mergeAll {
		f.cfg.Snapshot = 0
		for i := range f.cfg.Parts {
			f.cfg.Parts[i].Hi = 0
		}
	}
	f.launch()
}

func (f *pendingRequest) launch() {
	f.cfg.Deadline = queryEpoch.Add(f.deadline)
	if f.sim.ignoreDeadlines {
		f.cfg.Deadline = queryEpoch.Add(2 * horizon)
	}
	f.cfg.Chooser = f
	f.machine = fanout.New(f.cfg)
	f.perform(f.machine.Start(f.sim.clock()))
}

// CanRestart implements fanout.Restarter.
func (f *pendingRequest) CanRestart(time.Time) bool {
	f.sim.updateReports()
	f.nextPinned = snapshot.PinAbove(f.pinned.Snapshot, f.sim.pools())
	return f.deadline-f.sim.now > f.sim.now-f.startedAt && f.nextPinned != nil && f.nextPinned.Full()
}

// HasCapacity implements fanout.Chooser.
func (f *pendingRequest) HasCapacity(int, string) bool { return true }

// Probing implements fanout.Chooser.
func (f *pendingRequest) Probing(int, string) bool { return false }

// Choose implements fanout.Chooser.
func (f *pendingRequest) Choose(part int, tried []string) (string, bool) {
	var cands []pick.Candidate
	var ids []string
	for _, id := range f.choices[part] {
		if !slices.Contains(tried, id) {
			ids = append(ids, id)
			cands = append(cands, pick.Candidate{Own: f.sim.replica(id).inFlight})
		}
	}
	n := pick.TwoChoices(f.sim.rng, cands)
	if n < 0 {
		return "", false
	}
	return ids[n], true
}

// worldHedger implements fanout.Hedger.
type simHedger struct{ *querySim }

// Delay implements fanout.Hedger.
func (w simHedger) Delay(pool string) (time.Duration, bool) { return w.hedgers[pool].Delay() }

// Allow implements fanout.Hedger.
func (w simHedger) Allow(_ time.Time, pool string) bool { return w.hedgers[pool].Allow() }

// Allow implements fanout.Retrier.
func (sim *querySim) Allow(now time.Time, pool string) bool { return sim.budgets[pool].Allow(now) }

func (sim *querySim) replica(id string) *upstreamReplica {
	i := slices.IndexFunc(sim.replicas, func(r *upstreamReplica) bool { return r.id == id })
	return sim.replicas[i]
}

// do carries out the actions of the machine.
func (f *pendingRequest) perform(actions []fanout.Action) {
	for _, a := range slices.Clone(actions) {
		if a.Kind == fanout.Send && !f.sim.entryKilled {
			f.send(a)
		}
	}
	if f.sim.entryKilled {
		return
	}
	if f.machine.Done() {
		if done := f.done; done != nil {
			f.done = nil
			done(f)
		}
		return
	}
	if wake := f.machine.NextTimer(); f.timerAt.IsZero() || wake.Before(f.timerAt) {
		f.timerAt = wake
		m := f.machine
		f.sim.schedule(wake.Sub(queryEpoch), func() {
			if f.machine == m {
				f.timerAt = time.Time{}
				f.perform(m.OnTimer(f.sim.clock()))
			}
		})
	}
}

func (f *pendingRequest) send(a fanout.Action) {
	sim, m := f.sim, f.machine
	r := sim.replica(a.Replica)
	s := partAttempt{request: f.id, key: f.key, part: f.cfg.Parts[a.Part], attempt: a.Attempt, snapshot: f.cfg.Snapshot, idempotent: f.idempotent, replica: r, isRetry: a.Attempt > 1}
	res := sim.correctResponse(s)
	if sim.respond != nil {
		res = sim.respond(s)
	}
	r.inFlight++
	sentAt := sim.now
	sim.after(min(res.delay, time.Second), func() {
		r.inFlight--
		if res.executed {
			sim.h.executions = append(sim.h.executions, execution{key: cmp.Or(s.key, s.request), request: s.request, idempotent: s.idempotent, at: sim.now})
		}
	})
	if res.noReply {
		return
	}
	deliver := func() {
		if sim.entryKilled || f.machine != m {
			return
		}
		res.reply.Part, res.reply.Attempt = a.Part, a.Attempt
		if a.Attempt == 1 {
			sim.hedgers[s.part.Pool].Observe(sim.now - sentAt)
		}
		f.perform(m.OnReply(sim.clock(), res.reply))
	}
	sim.after(res.delay, deliver)
	if res.duplicated {
		sim.after(res.delay+time.Millisecond, deliver)
	}
}

// good is the response of a sound replica.
func (sim *querySim) correctResponse(s partAttempt) response {
	held, ok := s.replica.held[s.snapshot]
	if s.snapshot == 0 {
		held, ok = s.replica.held[1], true
		held.Snapshot = 1
	}
	if !ok {
		return sim.failedResponse(s, verdict.NotRun, verdict.SnapshotGone)
	}
	token := fmt.Sprintf("%s/%s/%d/%d-%d/%d", s.request, s.part.Pool, held.Snapshot, held.Lo, held.Hi, s.attempt)
	sim.payloads[token] = payloadSource{s.request, s.part.Pool, held.Snapshot, held.Lo, held.Hi}
	return response{delay: s.replica.latency, executed: true, reply: fanout.Reply{
		RequestID: s.request, EchoAttempt: s.attempt, Snapshot: held.Snapshot, Lo: held.Lo, Hi: held.Hi, Payload: []byte(token),
	}}
}

// fails is a response with a verdict.
func (sim *querySim) failedResponse(_ partAttempt, o verdict.Outcome, c verdict.Cause) response {
	return response{delay: time.Millisecond, executed: o != verdict.NotRun, reply: fanout.Reply{Verdict: verdict.New(o, c, "fault")}}
}

// answer ends a query: it begins anew, or is answered, or refused.
func (f *pendingRequest) finishQuery() {
	if f.machine.NeedsRestart() {
		f.done = (*pendingRequest).finishQuery
		f.timerAt = time.Time{}
		f.startQuery(f.nextPinned, f.machine.Verdict())
		return
	}
	parts := make([]coverage.Part, len(f.cfg.Parts))
	a := answer{request: f.id, forID: f.id}
	var got []payloadSource
	for i, p := range f.cfg.Parts {
		out := f.machine.Outcome(i)
		parts[i] = coverage.Part{Pool: p.Pool, Lo: p.Lo, Hi: p.Hi, Covered: out.Covered || f.sim.countSent}
		if !out.Covered {
			continue
		}
		t, complete := f.sim.payloads[string(out.Payload)]
		a.truncated = a.truncated || !complete
		if t.request != f.id {
			a.forID = t.request
		}
		a.snapshots = append(a.snapshots, t.snapshot)
		got = append(got, t)
	}
	if len(got) == 0 {
		f.sim.refuse(f.id, f.machine.Verdict().Outcome)
		return
	}
	a.reported = coverage.Of(parts).Share()
	a.actual = f.sim.actualCoverage(f.pinned.Snapshot, got)
	f.sim.h.answers = append(f.sim.h.answers, a)
	f.sim.h.finishedAt[f.id] = f.sim.now
}

// actual is the share of the snapshot's true shards that the parts hold.
func (sim *querySim) actualCoverage(id uint64, got []payloadSource) float64 {
	covered, total := 0, 0
	for pool, count := range sim.shards[id] {
		total += count
		for shard := range count {
			lo, hi := uint32(tables.KeySpace*shard/count), uint32(tables.KeySpace*(shard+1)/count)
			if slices.ContainsFunc(got, func(t payloadSource) bool { return t.pool == pool && t.lo <= lo && hi <= t.hi }) {
				covered++
			}
		}
	}
	return float64(covered) / float64(total)
}

func (sim *querySim) refuse(id string, o verdict.Outcome) {
	sim.h.refusals = append(sim.h.refusals, refusal{id, o})
	sim.h.finishedAt[id] = sim.now
}
