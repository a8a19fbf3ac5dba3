package direct

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/topk"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Retry-After of refusals that don't depend on load.
const (
	retryNotReady  = 500 * time.Millisecond // the tables are read within about this time after a start
	retryNoReplica = time.Second            // upstreams are available again within seconds
	// retryFailed applies when all attempts failed. Within about this time other
	// replicas are chosen, and paused ones continue.
	retryFailed = 300 * time.Millisecond
)

// jitter returns a random duration between 0.5 d and 1.5 d, so that callers that were
// refused at the same time don't retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d))
}

// call is one request in progress. Only the goroutine that serves the request
// accesses it; ended attempts arrive on the results channel.
type call struct {
	s     *Service
	req   *Request
	rev   *tablesRevision
	route *tables.Route
	// team is the team that the request runs for; nil: none.
	team     *tables.Team
	withKeys bool             // the tables had teams when the request arrived
	priority int              // of the team, or else of the route
	wire     connpool.Request // what replicas get
	pools    []string         // by part
	stats    *routeStats
	typical  time.Duration // typical latency of an attempt
	machine  *gather.Machine

	began       time.Time // when it was taken up here
	deadline    time.Time
	answerBy    time.Time // shortly before the latency objective
	hedgeAfter  time.Duration
	fingerprint uint64
	results     chan *attempt
	replies     []*connpool.Reply // by part; nil: none yet
	tried       [][]string        // replicas that got an attempt, by part
	maxAttempts int               // replicas that may execute a part
	budgetParts []retry.Part      // by part; guarded by s.mu
	inFlight    []*attempt
	worst       *verdict.Error  // worst verdict of the failed attempts
	failedReply *connpool.Reply // reply of a replica that failed to execute the request, for the caller
	sentByKind  [3]int          // attempts sent, by gather.Kind
	span        trace.Span      // nil: not sampled
	queued      int             // most bytes for other VMs in the link when attempts were sent
	limitWait   time.Duration   // after which the replicas' limits have room for a part that was not sent
	unconnected bool            // a part was not sent for want of a connection
	keyRefusal  *verdict.Error  // why attempts are no longer sent for the caller's key; nil: they are
	counted     bool            // the request is counted for its team; guarded by s.mu
	unanswered  bool            // the call has ended without an answer; guarded by s.mu
}

// attempt is one attempt of a call.
type attempt struct {
	call    *call
	part    int
	kind    gather.Kind
	replica *replica
	cold    bool             // the replica was cold when it was chosen
	limited bool             // it named a limit
	move    *move            // of the pool when it was placed; nil: none
	class   rollout.Class    // of the replica
	wire    connpool.Attempt // the attempt as it is sent
	span    trace.Span       // nil: not sampled
}

// Serve answers a request.
func (s *Service) Serve(req *Request) *Answer {
	span := s.startSpan(req, "request")
	c, refusal := s.newCall(req)
	if refusal != nil {
		s.logRefusal(req, c, refusal)
		ans := &Answer{Refusal: refusal}
		endSpan(span, nil, ans)
		return ans
	}
	c.span = span
	ans := c.run()
	c.observeTime(ans, time.Now())
	c.recordEnd(ans)
	s.logEnd(c, ans)
	endSpan(span, c, ans)
	return ans
}

// newCall finds the route of a request and prepares the call. The error is a
// refusal; the call is then nil or incomplete.
func (s *Service) newCall(req *Request) (*call, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.inForce
	if rev == nil || !s.upstreamsRead {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "no tables in force yet").WithRetryAfter(jitter(retryNotReady))
	}
	route := rev.index.Find(req.Host, req.Path)
	if route == nil {
		return nil, verdict.Newf(verdict.NotRun, verdict.UnknownRoute, "no route for this host and path at revision %d", rev.tables.Revision)
	}
	c := &call{s: s, req: req, rev: rev, route: route, fingerprint: fingerprint(req)}
	team, v := s.authorize(req, route.Public)
	if v != nil {
		return c, v
	}
	c.join(team)
	if after, poisoned := s.suspects.Refuse(req.Arrived, c.fingerprint); poisoned {
		return c, verdict.New(verdict.NotRun, verdict.Poison, "requests like this one crash upstreams").WithRetryAfter(after)
	}
	limit := req.Limit(route.Deadline)
	if limit < minBudget {
		return c, verdict.Newf(verdict.NotRun, verdict.Deadline, "%d ms are too short for an answer", req.Budget.Milliseconds()).WithRetryAfter(jitter(retryNotReady))
	}
	c.deadline, c.began = req.Arrived.Add(limit), time.Now()
	c.pools = s.poolsFor(route)
	c.stats = s.statsOf(route.Name)
	c.typical = c.typicalLatency()
	c.wire.BodyOnly = route.Merge == tables.MergeTop
	c.prepare()
	if v := s.checkServable(c); v != nil {
		return c, v
	}
	if v := s.checkEnding(c, c.began); v != nil {
		return c, v
	}
	return c, s.admit(c, c.began)
}

// checkServable returns a refusal if too few parts of a call can be sent now. s.mu is
// held.
func (s *Service) checkServable(c *call) *verdict.Error {
	usable, sendable, now := 0, 0, time.Now()
	wait := time.Duration(0)
	for _, name := range c.pools {
		d, ok := s.limitWait(c, s.poolOf(name), now)
		switch {
		case ok && d == 0:
			usable, sendable = usable+1, sendable+1
		case ok:
			usable++
			wait = max(wait, d)
		}
	}
	need := c.minParts()
	switch {
	case usable < need:
		return verdict.Newf(verdict.NotRun, verdict.NoReplica, "%d of %d parts have a replica, %d are needed", usable, len(c.pools), need).WithRetryAfter(jitter(retryNoReplica))
	case sendable < need:
		for _, name := range c.pools {
			s.deniedByLimits(c, s.poolOf(name), now)
		}
		return verdict.Newf(verdict.NotRun, verdict.Overload, "the limits of the replicas have room for %d of %d parts, %d are needed", sendable, len(c.pools), need).WithRetryAfter(jitter(wait))
	}
	return nil
}

// poolsFor returns the pools that a request is sent to: all pools of the route for a
// query, and one that is drawn by weight for an action. s.mu is held.
func (s *Service) poolsFor(route *tables.Route) []string {
	if route.Kind == tables.Query || len(route.Pools) == 1 || len(route.Weights) != len(route.Pools) {
		return route.Pools
	}
	total := 0.0
	for _, w := range route.Weights {
		total += w
	}
	draw := s.rng.Float64() * total
	for i, w := range route.Weights {
		if draw -= w; draw < 0 {
			return route.Pools[i : i+1]
		}
	}
	return route.Pools[:1]
}

// typicalLatency is the typical latency of an attempt. Until it has been observed, it
// is derived from the latency objective.
func (c *call) typicalLatency() time.Duration {
	if median, ok := c.stats.median.Value(); ok {
		return median
	}
	return time.Duration(assumedLatencyShare * float64(c.objective()))
}

// objective is the latency objective of the route, or its deadline if it has none.
func (c *call) objective() time.Duration { return objectiveOf(c.route) }

func objectiveOf(route *tables.Route) time.Duration {
	if route.Objective > 0 {
		return route.Objective
	}
	return route.Deadline
}

// minParts is the fewest parts that make an answer.
func (c *call) minParts() int {
	if c.route.Kind != tables.Query {
		return 1
	}
	return minParts(c.route, len(c.pools))
}

// minParts is the fewest of a query's parts that make an answer.
func minParts(route *tables.Route, parts int) int {
	const rounding = 1e-9 // error of a share times a count
	return max(1, int(math.Ceil(route.MinCoverage*float64(parts)-rounding)))
}

// prepare sets the times of the call and creates its state machine and buffers.
func (c *call) prepare() {
	n := len(c.pools)
	attempts := c.route.MaxAttempts
	if attempts <= 0 {
		attempts = 2
	}
	if c.req.MaxAttempts > 0 {
		attempts = min(attempts, c.req.MaxAttempts)
	}
	c.maxAttempts = attempts
	objective := c.objective()
	c.hedgeAfter = time.Duration(maxHedgeDelayShare * float64(objective))
	if tail, ok := c.stats.tail.Value(); ok {
		c.hedgeAfter = min(c.hedgeAfter, time.Duration(hedgeFactor*float64(tail)))
	}
	c.answerBy = gather.AnswerBy(c.req.Arrived, objective, c.req.Travel)
	c.machine = gather.New(gather.Config{
		Parts: n, MinParts: c.minParts(), MaxAttempts: attempts, Idempotent: c.route.Idempotent,
		AnswerBy: c.answerBy, Deadline: c.deadline, HedgeAfter: c.hedgeAfter,
	})
	c.results = make(chan *attempt, n*(attempts+maxUnexecuted))
	c.replies = make([]*connpool.Reply, n)
	c.tried = make([][]string, n)
	c.budgetParts = make([]retry.Part, n)
}

// run sends attempts and handles their results until the call has an answer.
func (c *call) run() *Answer {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	leave := c.req.Leave
	if h := c.handOverUnsent(); h != nil {
		return &Answer{HandOver: h}
	}
	for {
		outcome, next := c.step(time.Now())
		if outcome != gather.Pending {
			c.cancelAttempts(lateAnswerGrace)
			if h := c.handOverUnconnected(outcome); h != nil {
				return &Answer{HandOver: h}
			}
			return c.answer(outcome)
		}
		timer.Reset(time.Until(next))
		select {
		case a := <-c.results:
			c.handleResult(a)
			c.handlePending()
		case <-timer.C:
		case <-leave:
			leave = nil
			if h := c.handOver(); h != nil {
				c.cancelAttempts(0)
				return &Answer{HandOver: h}
			}
		case <-c.req.Disconnected:
			c.cancelAttempts(disconnectGrace)
			return &Answer{Refusal: verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller has left")}
		case <-c.req.Terminating:
			c.cancelAttempts(disconnectGrace)
			return c.terminationAnswer()
		}
	}
}

// terminationAnswer is the answer if the process has to end: the parts received so
// far if they are enough, otherwise a refusal.
func (c *call) terminationAnswer() *Answer {
	if c.machine.Received() >= c.minParts() {
		return c.answer(gather.Answer)
	}
	return &Answer{Refusal: c.refusal(verdict.ShuttingDown, "the process must end")}
}

// handlePending handles the results that are already in the channel.
func (c *call) handlePending() {
	for {
		select {
		case a := <-c.results:
			c.handleResult(a)
		default:
			return
		}
	}
}

// step sends all attempts that are due. It returns the outcome and when the next
// decision is due.
func (c *call) step(now time.Time) (gather.Outcome, time.Time) {
	for {
		c.machine.SetOneByOne(c.machine.Received() == 0 && c.s.suspects.Crashes(c.fingerprint) > 0)
		plan, outcome, next := c.machine.Decide(now)
		if outcome != gather.Pending || len(plan) == 0 {
			return outcome, next
		}
		c.s.mu.Lock()
		started := make([]*attempt, 0, len(plan))
		for _, planned := range plan {
			if a := c.place(now, planned); a != nil {
				started = append(started, a)
			}
		}
		c.s.mu.Unlock()
		c.queued = max(c.queued, c.s.queued())
		for _, a := range started {
			a.replica.conns.Send(&a.wire)
		}
	}
}

// cancelAttempts cancels the attempts in flight. Their replies are still read for the
// grace period.
func (c *call) cancelAttempts(grace time.Duration) {
	for _, a := range c.inFlight {
		a.replica.conns.Cancel(&a.wire, grace)
	}
}

// answer returns the caller's answer for the outcome of the state machine.
func (c *call) answer(o gather.Outcome) *Answer {
	switch {
	case o == gather.Answer && c.route.Merge == tables.MergeTop:
		return &Answer{Gathered: c.merge()}
	case o == gather.Answer:
		return &Answer{Reply: c.replies[0]}
	case c.failedReply != nil && c.route.Kind != tables.Query:
		return &Answer{Reply: c.failedReply}
	case o == gather.Expired:
		return &Answer{Refusal: c.refusal(verdict.Deadline, "no answer before the deadline")}
	}
	return &Answer{Refusal: c.refusal(verdict.LowCoverage, "the needed parts can't be had")}
}

// recordEnd shares what is suspected of a request that ends without an answer. Its
// attempts in flight may still crash replicas.
func (c *call) recordEnd(a *Answer) {
	if a.HandOver != nil || a.Gathered != nil || a.Reply != nil && a.Reply.OK() {
		return
	}
	c.s.mu.Lock()
	c.unanswered = true
	c.s.mu.Unlock()
	c.s.suspects.RecordEnd(c.fingerprint)
}

// merge merges the parts received.
func (c *call) merge() *Gathered {
	g := &Gathered{}
	var bodies [][]byte
	for _, p := range c.replies {
		if p == nil {
			g.Missing++
			continue
		}
		g.Receipts = append(g.Receipts, p.Receipt)
		bodies = append(bodies, p.Body)
	}
	g.Body = topk.Merge(bodies, c.route.Top)
	return g
}

// refusal is the verdict on a call without an answer. It states that the request was
// not executed only if that is certain for every attempt.
func (c *call) refusal(cause verdict.Cause, detail string) *verdict.Error {
	v := verdict.New(verdict.NotRun, cause, detail)
	if c.worst != nil {
		v = verdict.New(c.worst.Outcome, c.worst.Cause, detail+": "+c.worst.Detail)
	}
	if c.machine.Received() > 0 || len(c.inFlight) > 0 {
		v.Outcome = verdict.MayHaveRun
	}
	if c.keyRefusal != nil && v.Outcome == verdict.NotRun {
		return c.keyRefusal
	}
	if c.limitWait > 0 {
		return v.WithRetryAfter(jitter(c.limitWait))
	}
	return v.WithRetryAfter(jitter(retryFailed))
}

// fingerprint is a hash that identifies the content of a request.
func fingerprint(req *Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{req.Method, req.Host, req.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}
