package upstream

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	wire "github.com/sapphirewall/sapphirewall/internal/upstream"
)

// defaultBudget is the time allowed for a request without a budget.
const defaultBudget = time.Minute

// job is one request at the replica, from arrival to answer.
type job struct {
	process  *process
	key      runKey
	route    string
	body     []byte
	record   *Record
	deadline time.Time
	stop     chan struct{}
	held     wire.HeldSnapshot
	faults   Faults
	rng      *rand.Rand
}

// run serves PathRun: it waits for a slot, executes the request and fills in the
// answer. It returns the fault with which to send the answer.
func (r *Replica) run(p *process, req *fasthttp.Request, resp *fasthttp.Response) AnswerFault {
	j, status := r.begin(p, req)
	defer p.removeRun(j.key, j.stop)
	if status == 0 {
		status = r.execute(j)
	}
	r.writeResponse(j, status, resp)
	if status != fasthttp.StatusOK || j.rng.Float64() >= j.faults.AnswerRate {
		return AnswerIntact
	}
	return j.faults.Answer
}

// begin reads and records the request. It returns the status with which the
// request is rejected at once, or 0.
func (r *Replica) begin(p *process, req *fasthttp.Request) (*job, int) {
	now := time.Now()
	j := &job{
		process: p, key: runKey{header(req, wire.HeaderRequestID), header(req, wire.HeaderAttempt)},
		route: header(req, wire.HeaderRoute), body: bytes.Clone(req.Body()), stop: make(chan struct{}),
	}
	seed := xxhash.Sum64String(r.cfg.ID + "\x00" + j.key.request + "\x00" + j.key.attempt)
	j.rng = rand.New(rand.NewPCG(r.cfg.Seed, seed))
	budget, err := strconv.ParseInt(header(req, wire.HeaderBudget), 10, 64)
	j.deadline = now.Add(time.Duration(budget) * time.Microsecond)
	if err != nil || budget <= 0 {
		j.deadline = now.Add(defaultBudget)
	}
	requested, _ := strconv.ParseUint(header(req, wire.HeaderSnapshot), 10, 64)
	active, waiting := p.slots.load()
	r.mu.Lock()
	defer r.mu.Unlock()
	j.faults = r.faults
	cold := r.coldFraction() > 0
	if cold {
		r.coldPeak = max(r.coldPeak, active+waiting+1)
	}
	held, found := r.findSnapshot(requested)
	j.held = held
	j.record = r.requests.open(Record{
		Request: j.key.request, Attempt: j.key.attempt, Route: j.route, Pool: r.cfg.Pool,
		Replica: r.cfg.ID, Zone: r.cfg.Zone, Version: r.cfg.Version, Snapshot: held.Snapshot, Lo: held.Lo,
		Idempotent: header(req, wire.HeaderIdempotent) != "no", PayloadHash: PayloadHash(j.body),
		Arrived: now, Cold: cold, Outstanding: active + waiting + 1, Outcome: OutcomePending,
	})
	p.addRun(j.key, j.stop)
	switch {
	case r.faults.RejectAll || j.key.request == "":
		return j, r.finish(j, OutcomeRejected, wire.StatusRejected)
	case !found:
		return j, r.finish(j, OutcomeSnapshotGone, wire.StatusSnapshotGone)
	}
	return j, 0
}

func (r *Replica) finish(j *job, o Outcome, status int) int {
	r.requests.end(j.record, time.Now(), o)
	return status
}

// findSnapshot returns the requested snapshot, or the newest for 0. The caller
// must hold r.mu.
func (r *Replica) findSnapshot(requested uint64) (wire.HeldSnapshot, bool) {
	var best wire.HeldSnapshot
	for _, h := range r.held {
		if h.Snapshot == requested || requested == 0 && h.Snapshot > best.Snapshot {
			best = h
		}
	}
	return best, best.Snapshot != 0
}

// execute waits for a slot and executes the request; it returns the HTTP status.
func (r *Replica) execute(j *job) int {
	switch j.process.slots.acquire(j.deadline, j.stop, true) {
	case queueFull:
		if r.crashesWhenFull() {
			r.requests.end(j.record, time.Now(), OutcomeCrashed)
			r.crash(j.process)
		}
		return r.finish(j, OutcomeRejected, wire.StatusRejected)
	case expired:
		return r.finish(j, OutcomeExpired, wire.StatusRejected)
	case cancelled:
		return r.finish(j, OutcomeCancelled, wire.StatusCancelled)
	}
	defer j.process.slots.release()
	now := time.Now()
	r.requests.start(j.record, now)
	if j.faults.Poison != "" && bytes.Contains(j.body, []byte(j.faults.Poison)) {
		r.requests.end(j.record, now, OutcomeCrashed)
		r.crash(j.process)
		return fasthttp.StatusInternalServerError
	}
	need := r.serviceTime(j)
	if left := j.deadline.Sub(now); need > left {
		return r.runToDeadline(j, left)
	}
	if !j.pause(need) {
		return r.interrupted(j)
	}
	if j.faults.appliesTo(j.route) && j.rng.Float64() < j.faults.ErrorRate {
		return r.finish(j, OutcomeFailed, fasthttp.StatusInternalServerError)
	}
	r.countWarmup()
	return r.finish(j, OutcomeAnswered, fasthttp.StatusOK)
}

// crashesWhenFull reports whether a full queue makes the replica crash; that holds
// while it is cold.
func (r *Replica) crashesWhenFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldFraction() > 0
}

func (r *Replica) countWarmup() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmupDone++
}

// runToDeadline executes the request until the deadline and then ends it as
// expired.
func (r *Replica) runToDeadline(j *job, left time.Duration) int {
	if !j.pause(left) {
		return r.interrupted(j)
	}
	return r.finish(j, OutcomeExpired, fasthttp.StatusGatewayTimeout)
}

func (r *Replica) interrupted(j *job) int {
	select {
	case <-j.process.ended:
		return r.finish(j, OutcomeCrashed, fasthttp.StatusInternalServerError)
	default:
		return r.finish(j, OutcomeCancelled, wire.StatusCancelled)
	}
}

func (j *job) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-j.stop:
		return false
	case <-j.process.ended:
		return false
	}
}

// serviceTime returns a random service time for the job.
func (r *Replica) serviceTime(j *job) time.Duration {
	s := r.cfg.Service
	draw := math.Exp(s.Sigma*j.rng.NormFloat64() - s.Sigma*s.Sigma/2)
	active, _ := j.process.slots.load()
	r.mu.Lock()
	defer r.mu.Unlock()
	factor := j.faults.slowdown(j.route, active)
	factor *= 1 + r.coldFraction()*max(0, r.cfg.Cold.SlowFactor-1)
	return time.Duration(float64(s.Mean) * draw * factor)
}

// writeResponse sets the status, headers and body of the answer.
func (r *Replica) writeResponse(j *job, status int, resp *fasthttp.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &resp.Header
	h.Set(wire.HeaderRequestID, j.key.request)
	h.Set(wire.HeaderAttempt, j.key.attempt)
	h.Set(wire.HeaderLoad, r.load(j.process).String())
	h.Set(wire.HeaderState, r.state())
	h.Set(wire.HeaderStartID, j.process.startID)
	h.Set(wire.HeaderVersion, r.cfg.Version)
	ids := make([]uint64, len(r.held))
	for i, s := range r.held {
		ids[i] = s.Snapshot
	}
	h.Set(wire.HeaderSnapshots, wire.FormatSnapshots(ids))
	resp.SetStatusCode(status)
	if status == wire.StatusRejected || status == wire.StatusSnapshotGone || status == wire.StatusCancelled && !j.record.Ran {
		h.Set(wire.HeaderNotRun, "yes")
	}
	if status != fasthttp.StatusOK {
		resp.SetBodyString(fmt.Sprintf("status %d\n", status))
		return
	}
	h.Set(wire.HeaderSnapshot, strconv.FormatUint(j.held.Snapshot, 10))
	h.Set(wire.HeaderRange, wire.Range{Lo: j.held.Lo, Hi: j.held.Hi}.String())
	h.Set(wire.HeaderShard, fmt.Sprintf("%d/%d", j.held.Shard, j.held.ShardCount))
	h.SetContentType("application/json")
	part := NewPart(j.key.request, r.cfg.Pool, j.held.Snapshot, j.held.Lo, j.held.Hi, j.body)
	if r.cfg.SumRoutes[j.route] {
		resp.SetBody(strconv.AppendUint(nil, part.Sum, 10))
		return
	}
	resp.SetBody(part.JSON())
}

func (p *process) addRun(k runKey, stop chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[k] = stop
}

func (p *process) removeRun(k runKey, stop chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[k] == stop {
		delete(p.runs, k)
	}
}
