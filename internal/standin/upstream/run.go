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

// noBudget stands for a run without a deadline.
const noBudget = time.Minute

// job is one request at the replica on its way through run.
type job struct {
	life   *life
	key    runKey
	route  string
	body   []byte
	record *Record
	until  time.Time
	stop   chan struct{}
	held   wire.Held
	faults Faults
	rng    *rand.Rand
}

// run serves PathRun: it waits for a slot, works, and fills in the answer.
func (r *Replica) run(l *life, req *fasthttp.Request, resp *fasthttp.Response) AnswerFault {
	j, status := r.begin(l, req)
	defer l.forget(j.key, j.stop)
	if status == 0 {
		status = r.work(j)
	}
	r.describe(j, status, resp)
	if status != fasthttp.StatusOK || j.rng.Float64() >= j.faults.AnswerRate {
		return AnswerIntact
	}
	return j.faults.Answer
}

// begin reads the request, records it, and returns the status with which it is
// refused at once, or 0.
func (r *Replica) begin(l *life, req *fasthttp.Request) (*job, int) {
	now := time.Now()
	j := &job{
		life: l, key: runKey{header(req, wire.HeaderRequestID), header(req, wire.HeaderAttempt)},
		route: header(req, wire.HeaderRoute), body: bytes.Clone(req.Body()), stop: make(chan struct{}),
	}
	seed := xxhash.Sum64String(r.cfg.ID + "\x00" + j.key.request + "\x00" + j.key.attempt)
	j.rng = rand.New(rand.NewPCG(r.cfg.Seed, seed))
	budget, err := strconv.ParseInt(header(req, wire.HeaderBudget), 10, 64)
	j.until = now.Add(time.Duration(budget) * time.Microsecond)
	if err != nil || budget <= 0 {
		j.until = now.Add(noBudget)
	}
	asked, _ := strconv.ParseUint(header(req, wire.HeaderSnapshot), 10, 64)
	active, waiting := l.slots.load()
	r.mu.Lock()
	defer r.mu.Unlock()
	j.faults = r.faults
	cold := r.coldness() > 0
	if cold {
		r.coldPeak = max(r.coldPeak, active+waiting+1)
	}
	held, found := r.find(asked)
	j.held = held
	j.record = r.ledger.open(Record{
		Request: j.key.request, Attempt: j.key.attempt, Route: j.route, Pool: r.cfg.Pool,
		Replica: r.cfg.ID, Zone: r.cfg.Zone, Version: r.cfg.Version, Snapshot: held.Snapshot, Lo: held.Lo,
		Idempotent: header(req, wire.HeaderIdempotent) != "no", PayloadHash: PayloadHash(j.body),
		Arrived: now, Cold: cold, Outstanding: active + waiting + 1, Outcome: OutcomePending,
	})
	l.remember(j.key, j.stop)
	switch {
	case r.faults.RejectAll || j.key.request == "":
		return j, r.refuse(j, OutcomeRejected, wire.StatusShed)
	case !found:
		return j, r.refuse(j, OutcomeSnapshotGone, wire.StatusSnapshotGone)
	}
	return j, 0
}

func (r *Replica) refuse(j *job, o Outcome, status int) int {
	r.ledger.end(j.record, time.Now(), o)
	return status
}

// find returns the snapshot asked, or the newest for 0. r.mu is held.
func (r *Replica) find(asked uint64) (wire.Held, bool) {
	var best wire.Held
	for _, h := range r.held {
		if h.Snapshot == asked || asked == 0 && h.Snapshot > best.Snapshot {
			best = h
		}
	}
	return best, best.Snapshot != 0
}

// work waits for a slot and runs the request; it returns the HTTP status.
func (r *Replica) work(j *job) int {
	switch j.life.slots.acquire(j.until, j.stop, true) {
	case queueFull:
		if r.fallsOver() {
			r.ledger.end(j.record, time.Now(), OutcomeCrashed)
			r.crash(j.life)
		}
		return r.refuse(j, OutcomeRejected, wire.StatusShed)
	case expired:
		return r.refuse(j, OutcomeExpired, wire.StatusShed)
	case cancelled:
		return r.refuse(j, OutcomeCancelled, wire.StatusCancelled)
	}
	defer j.life.slots.release()
	now := time.Now()
	r.ledger.start(j.record, now)
	if j.faults.Poison != "" && bytes.Contains(j.body, []byte(j.faults.Poison)) {
		r.ledger.end(j.record, now, OutcomeCrashed)
		r.crash(j.life)
		return fasthttp.StatusInternalServerError
	}
	need := r.serviceTime(j)
	if left := j.until.Sub(now); need > left {
		return r.giveUp(j, left)
	}
	if !j.pause(need) {
		return r.stopped(j)
	}
	if j.faults.strikes(j.route) && j.rng.Float64() < j.faults.ErrorRate {
		return r.refuse(j, OutcomeFailed, fasthttp.StatusInternalServerError)
	}
	r.warm()
	return r.refuse(j, OutcomeAnswered, fasthttp.StatusOK)
}

// fallsOver says whether the replica is cold, and so does not survive a full
// queue.
func (r *Replica) fallsOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldness() > 0
}

func (r *Replica) warm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmth++
}

// giveUp works until the deadline and then stops.
func (r *Replica) giveUp(j *job, left time.Duration) int {
	if !j.pause(left) {
		return r.stopped(j)
	}
	return r.refuse(j, OutcomeExpired, fasthttp.StatusGatewayTimeout)
}

func (r *Replica) stopped(j *job) int {
	select {
	case <-j.life.ended:
		return r.refuse(j, OutcomeCrashed, fasthttp.StatusInternalServerError)
	default:
		return r.refuse(j, OutcomeCancelled, wire.StatusCancelled)
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
	case <-j.life.ended:
		return false
	}
}

// serviceTime draws the time that the job takes.
func (r *Replica) serviceTime(j *job) time.Duration {
	s := r.cfg.Service
	draw := math.Exp(s.Sigma*j.rng.NormFloat64() - s.Sigma*s.Sigma/2)
	active, _ := j.life.slots.load()
	r.mu.Lock()
	defer r.mu.Unlock()
	factor := j.faults.slowdown(j.route, active)
	factor *= 1 + r.coldness()*max(0, r.cfg.Cold.SlowFactor-1)
	return time.Duration(float64(s.Mean) * draw * factor)
}

// describe fills in the headers and the body of the answer.
func (r *Replica) describe(j *job, status int, resp *fasthttp.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &resp.Header
	h.Set(wire.HeaderRequestID, j.key.request)
	h.Set(wire.HeaderAttempt, j.key.attempt)
	h.Set(wire.HeaderLoad, r.load(j.life).String())
	h.Set(wire.HeaderState, r.state())
	h.Set(wire.HeaderStartID, j.life.startID)
	h.Set(wire.HeaderVersion, r.cfg.Version)
	ids := make([]uint64, len(r.held))
	for i, s := range r.held {
		ids[i] = s.Snapshot
	}
	h.Set(wire.HeaderSnapshots, wire.FormatSnapshots(ids))
	resp.SetStatusCode(status)
	if status == wire.StatusShed || status == wire.StatusSnapshotGone || status == wire.StatusCancelled && !j.record.Ran {
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

func (l *life) remember(k runKey, stop chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[k] = stop
}

func (l *life) forget(k runKey, stop chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[k] == stop {
		delete(l.runs, k)
	}
}
