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

// pendingRequest is one request of the entry process that is in progress.
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
	done       func(req *pendingRequest)
	timerAt    time.Time
}

// sendQuery sends a query now.
func (sim *querySim) sendQuery(id string, deadline time.Duration) {
	sim.h.deadlines[id] = sim.now + deadline
	pinned := snapshot.Pin(sim.pools())
	if pinned == nil {
		sim.refuse(id, verdict.NotRun)
		return
	}
	req := &pendingRequest{sim: sim, id: id, deadline: sim.now + deadline, startedAt: sim.now, idempotent: true, done: (*pendingRequest).finishQuery}
	req.startQuery(pinned, nil)
}

// startQuery starts a fan-out on a pinned snapshot; prior is the verdict of an
// earlier fan-out of the same query.
func (req *pendingRequest) startQuery(pinned *snapshot.Pinned, prior *verdict.Error) {
	req.pinned = pinned
	req.choices = nil
	req.cfg = fanout.Config{RequestID: req.id, Snapshot: pinned.Snapshot, Idempotent: true, PriorVerdict: prior, Hedger: simHedger{req.sim}, Retrier: req.sim}
	if prior == nil && !req.sim.noRestarts {
		req.cfg.Restarter = req
	}
	for _, m := range pinned.Maps {
		for _, s := range m.Shards {
			req.cfg.Parts = append(req.cfg.Parts, fanout.Part{Pool: m.Pool, Shard: s.Index, Lo: s.Lo, Hi: s.Hi})
			req.choices = append(req.choices, s.Replicas)
			req.sim.hedgers[m.Pool].CountFirst()
			req.sim.budgets[m.Pool].CountFirst(1)
		}
	}
	if req.sim.mergeAll {
		req.cfg.Snapshot = 0
		for i := range req.cfg.Parts {
			req.cfg.Parts[i].Hi = 0
		}
	}
	req.launch()
}

func (req *pendingRequest) launch() {
	req.cfg.Deadline = queryEpoch.Add(req.deadline)
	if req.sim.ignoreDeadlines {
		req.cfg.Deadline = queryEpoch.Add(2 * horizon)
	}
	req.cfg.Chooser = req
	req.machine = fanout.New(req.cfg)
	req.perform(req.machine.Start(req.sim.clock()))
}

// CanRestart implements fanout.Restarter. A query restarts only if more time
// is left than it has used, and on a newer snapshot that is held completely.
func (req *pendingRequest) CanRestart(time.Time) bool {
	req.sim.updateReports()
	req.nextPinned = snapshot.PinAbove(req.pinned.Snapshot, req.sim.pools())
	return req.deadline-req.sim.now > req.sim.now-req.startedAt && req.nextPinned != nil && req.nextPinned.Full()
}

// HasCapacity implements fanout.Chooser.
func (req *pendingRequest) HasCapacity(int, string) bool { return true }

// Probing implements fanout.Chooser.
func (req *pendingRequest) Probing(int, string) bool { return false }

// Choose implements fanout.Chooser.
func (req *pendingRequest) Choose(part int, tried []string) (string, bool) {
	var cands []pick.Candidate
	var ids []string
	for _, id := range req.choices[part] {
		if !slices.Contains(tried, id) {
			ids = append(ids, id)
			cands = append(cands, pick.Candidate{Own: req.sim.replica(id).inFlight})
		}
	}
	n := pick.TwoChoices(req.sim.rng, cands)
	if n < 0 {
		return "", false
	}
	return ids[n], true
}

// simHedger implements fanout.Hedger.
type simHedger struct{ *querySim }

// Delay implements fanout.Hedger.
func (sim simHedger) Delay(pool string) (time.Duration, bool) { return sim.hedgers[pool].Delay() }

// Allow implements fanout.Hedger.
func (sim simHedger) Allow(_ time.Time, pool string) bool { return sim.hedgers[pool].Allow() }

// Allow implements fanout.Retrier.
func (sim *querySim) Allow(now time.Time, pool string) bool { return sim.budgets[pool].Allow(now) }

func (sim *querySim) replica(id string) *upstreamReplica {
	i := slices.IndexFunc(sim.replicas, func(r *upstreamReplica) bool { return r.id == id })
	return sim.replicas[i]
}

// perform carries out the actions of the fan-out machine.
func (req *pendingRequest) perform(actions []fanout.Action) {
	for _, a := range slices.Clone(actions) {
		if a.Kind == fanout.Send && !req.sim.entryKilled {
			req.send(a)
		}
	}
	if req.sim.entryKilled {
		return
	}
	if req.machine.Done() {
		if done := req.done; done != nil {
			req.done = nil
			done(req)
		}
		return
	}
	if wake := req.machine.NextTimer(); req.timerAt.IsZero() || wake.Before(req.timerAt) {
		req.timerAt = wake
		m := req.machine
		req.sim.schedule(wake.Sub(queryEpoch), func() {
			if req.machine == m {
				req.timerAt = time.Time{}
				req.perform(m.OnTimer(req.sim.clock()))
			}
		})
	}
}

func (req *pendingRequest) send(a fanout.Action) {
	sim, m := req.sim, req.machine
	r := sim.replica(a.Replica)
	pa := partAttempt{request: req.id, key: req.key, part: req.cfg.Parts[a.Part], attempt: a.Attempt, snapshot: req.cfg.Snapshot, idempotent: req.idempotent, replica: r, isRetry: a.Attempt > 1}
	res := sim.correctResponse(pa)
	if sim.respond != nil {
		res = sim.respond(pa)
	}
	r.inFlight++
	sentAt := sim.now
	sim.after(min(res.delay, time.Second), func() {
		r.inFlight--
		if res.executed {
			sim.h.executions = append(sim.h.executions, execution{key: cmp.Or(pa.key, pa.request), request: pa.request, idempotent: pa.idempotent, at: sim.now})
		}
	})
	if res.noReply {
		return
	}
	deliver := func() {
		if sim.entryKilled || req.machine != m {
			return
		}
		res.reply.Part, res.reply.Attempt = a.Part, a.Attempt
		if a.Attempt == 1 {
			sim.hedgers[pa.part.Pool].Observe(sim.now - sentAt)
		}
		req.perform(m.OnReply(sim.clock(), res.reply))
	}
	sim.after(res.delay, deliver)
	if res.duplicated {
		sim.after(res.delay+time.Millisecond, deliver)
	}
}

// correctResponse is the response of a replica without a fault.
func (sim *querySim) correctResponse(pa partAttempt) response {
	held, ok := pa.replica.held[pa.snapshot]
	if pa.snapshot == 0 {
		held, ok = pa.replica.held[1], true
		held.Snapshot = 1
	}
	if !ok {
		return sim.failedResponse(pa, verdict.NotRun, verdict.SnapshotGone)
	}
	token := fmt.Sprintf("%s/%s/%d/%d-%d/%d", pa.request, pa.part.Pool, held.Snapshot, held.Lo, held.Hi, pa.attempt)
	sim.payloads[token] = payloadSource{pa.request, pa.part.Pool, held.Snapshot, held.Lo, held.Hi}
	return response{delay: pa.replica.latency, executed: true, reply: fanout.Reply{
		RequestID: pa.request, EchoAttempt: pa.attempt, Snapshot: held.Snapshot, Lo: held.Lo, Hi: held.Hi, Payload: []byte(token),
	}}
}

// failedResponse is a response with a verdict instead of an answer.
func (sim *querySim) failedResponse(_ partAttempt, o verdict.Outcome, c verdict.Cause) response {
	return response{delay: time.Millisecond, executed: o != verdict.NotRun, reply: fanout.Reply{Verdict: verdict.New(o, c, "fault")}}
}

// finishQuery restarts a query on the next snapshot, or records its answer or
// refusal.
func (req *pendingRequest) finishQuery() {
	if req.machine.NeedsRestart() {
		req.done = (*pendingRequest).finishQuery
		req.timerAt = time.Time{}
		req.startQuery(req.nextPinned, req.machine.Verdict())
		return
	}
	parts := make([]coverage.Part, len(req.cfg.Parts))
	a := answer{request: req.id, forID: req.id}
	var got []payloadSource
	for i, p := range req.cfg.Parts {
		out := req.machine.Outcome(i)
		parts[i] = coverage.Part{Pool: p.Pool, Lo: p.Lo, Hi: p.Hi, Covered: out.Covered || req.sim.countSent}
		if !out.Covered {
			continue
		}
		src, complete := req.sim.payloads[string(out.Payload)]
		a.truncated = a.truncated || !complete
		if src.request != req.id {
			a.forID = src.request
		}
		a.snapshots = append(a.snapshots, src.snapshot)
		got = append(got, src)
	}
	if len(got) == 0 {
		req.sim.refuse(req.id, req.machine.Verdict().Outcome)
		return
	}
	a.reported = coverage.Of(parts).Share()
	a.actual = req.sim.actualCoverage(req.pinned.Snapshot, got)
	req.sim.h.answers = append(req.sim.h.answers, a)
	req.sim.h.finishedAt[req.id] = req.sim.now
}

// actualCoverage returns the share of the snapshot's shards whose whole range is
// in the parts.
func (sim *querySim) actualCoverage(id uint64, got []payloadSource) float64 {
	covered, total := 0, 0
	for pool, count := range sim.shards[id] {
		total += count
		for shard := range count {
			lo, hi := uint32(tables.KeySpace*shard/count), uint32(tables.KeySpace*(shard+1)/count)
			if slices.ContainsFunc(got, func(src payloadSource) bool { return src.pool == pool && src.lo <= lo && hi <= src.hi }) {
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
