package direct

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/topk"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Retry-After for refusals that don't depend on load.
const (
	retryNotReady  = 500 * time.Millisecond // tables are read within about this time after a start
	retryNoReplica = time.Second            // upstreams come back within seconds
	// retryFailed is for a request whose replicas failed it: about the time in
	// which others are found and paused ones go on.
	retryFailed = 300 * time.Millisecond
)

// jitter returns a time of half of d to one and a half, so that callers who were
// refused together don't come back together.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d))
}

// call is one request in hand. Its goroutine owns it; results come over a
// channel.
type call struct {
	s       *Service
	req     *Request
	rev     *tablesRevision
	route   *tables.Route
	pools   []string // of the parts
	stats   *routeStats
	typical time.Duration // typical latency of an attempt
	machine *gather.Machine

	deadline    time.Time
	answerBy    time.Time // just before the objective
	hedgeAfter  time.Duration
	fingerprint uint64
	results     chan *attempt
	replies     []*connpool.Reply // by part; nil: not in
	tried       [][]string        // replicas asked, by part
	inFlight    []*attempt
	worst       *verdict.Error  // of the attempts that brought nothing
	failedReply *connpool.Reply // a replica's own failure
	sentByKind  [3]int          // by gather.Kind
	span        trace.Span      // nil: not sampled
}

// attempt is one flight of a call.
type attempt struct {
	call    *call
	part    int
	kind    gather.Kind
	replica *replica
	wire    connpool.Attempt
	span    trace.Span // nil: not sampled
}

// Serve answers a request.
func (s *Service) Serve(req *Request) *Answer {
	span := s.startSpan(req)
	c, refusal := s.newCall(req)
	if refusal != nil {
		s.logRefusal(req, c, refusal)
		ans := &Answer{Refusal: refusal}
		endSpan(span, nil, ans)
		return ans
	}
	c.span = span
	ans := c.run()
	s.logEnd(c, ans)
	endSpan(span, c, ans)
	return ans
}

// newCall finds the route and prepares the call. The error is a refusal.
func (s *Service) newCall(req *Request) (*call, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	force := s.inForce
	if force == nil || !s.upstreamsRead {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "no tables in force yet").After(jitter(retryNotReady))
	}
	route := force.index.Find(req.Host, req.Path)
	if route == nil {
		return nil, verdict.Newf(verdict.NotRun, verdict.UnknownRoute, "no route for this host and path at revision %d", force.tables.Revision)
	}
	c := &call{s: s, req: req, rev: force, route: route, fingerprint: fingerprint(req)}
	if after, poisoned := s.poison.Refuse(req.Arrived, c.fingerprint); poisoned {
		return c, verdict.New(verdict.NotRun, verdict.Poison, "requests like this one crash upstreams").After(after)
	}
	limit := route.Deadline
	if req.Budget > 0 {
		limit = min(limit, req.Budget-budgetMargin)
	}
	if limit < minBudget {
		return c, verdict.Newf(verdict.NotRun, verdict.Deadline, "%d ms are too short for an answer", req.Budget.Milliseconds()).After(jitter(retryNotReady))
	}
	c.deadline = req.Arrived.Add(limit)
	c.pools = s.poolsFor(route)
	c.stats = s.statsOf(route.Name)
	c.typical = c.typicalLatency()
	req.BodyOnly = route.Merge == tables.MergeTop
	c.prepare()
	if n, need := s.servableParts(c), c.minParts(); n < need {
		return c, verdict.Newf(verdict.NotRun, verdict.NoReplica, "%d of %d parts have a replica, %d are needed", n, len(c.pools), need).After(jitter(retryNoReplica))
	}
	return c, nil
}

// poolsFor returns the pools of a request's parts: all of a query, one of an
// action. s.mu is held.
func (s *Service) poolsFor(route *tables.Route) []string {
	if route.Kind == tables.Query || len(route.Pools) == 1 || len(route.Weights) != len(route.Pools) {
		return route.Pools
	}
	total := 0.0
	for _, w := range route.Weights {
		total += w
	}
	at := s.rng.Float64() * total
	for i, w := range route.Weights {
		if at -= w; at < 0 {
			return route.Pools[i : i+1]
		}
	}
	return route.Pools[:1]
}

// typicalLatency is the typical latency of an attempt, or a guess from the
// objective until it is learned.
func (c *call) typicalLatency() time.Duration {
	if usual, ok := c.stats.median.Value(); ok {
		return usual
	}
	return time.Duration(assumedLatencyShare * float64(c.objective()))
}

// objective is the latency within which an answer is worth most.
func (c *call) objective() time.Duration {
	if c.route.Objective > 0 {
		return c.route.Objective
	}
	return c.route.Deadline
}

// minParts is the number of parts without which there is no answer.
func (c *call) minParts() int {
	if c.route.Kind != tables.Query {
		return 1
	}
	const rounding = 1e-9 // of a share times a count
	return max(1, int(math.Ceil(c.route.MinCoverage*float64(len(c.pools))-rounding)))
}

// servableParts counts the parts that some replica can take. s.mu is held.
func (s *Service) servableParts(c *call) int {
	n := 0
	for _, name := range c.pools {
		for _, r := range s.poolOf(name).replicas {
			if s.eligible(c, r) {
				n++
				break
			}
		}
	}
	return n
}

// prepare makes the machine and the room for results.
func (c *call) prepare() {
	n := len(c.pools)
	attempts := c.route.MaxAttempts
	if attempts <= 0 {
		attempts = 2
	}
	objective := c.objective()
	c.hedgeAfter = time.Duration(maxHedgeDelayShare * float64(objective))
	if late, ok := c.stats.tail.Value(); ok {
		c.hedgeAfter = min(c.hedgeAfter, time.Duration(hedgeStretch*float64(late)))
	}
	c.answerBy = c.req.Arrived.Add(objective - answerMargin)
	c.machine = gather.New(gather.Config{
		Parts: n, MinParts: c.minParts(), MaxAttempts: attempts, Idempotent: c.route.Idempotent,
		AnswerBy: c.answerBy, Deadline: c.deadline, HedgeAfter: c.hedgeAfter,
	})
	c.results = make(chan *attempt, n*(attempts+maxUnexecuted))
	c.replies = make([]*connpool.Reply, n)
	c.tried = make([][]string, n)
}

// run carries the call to its end.
func (c *call) run() *Answer {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		outcome, wake := c.step(time.Now())
		if outcome != gather.Pending {
			c.cancelAttempts(lateAnswerGrace)
			return c.answer(outcome)
		}
		timer.Reset(time.Until(wake))
		select {
		case a := <-c.results:
			c.handleResult(a)
			c.handlePending()
		case <-timer.C:
		case <-c.req.Disconnected:
			c.cancelAttempts(disconnectGrace)
			return &Answer{Refusal: verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller has left")}
		case <-c.req.Terminating:
			c.cancelAttempts(disconnectGrace)
			return c.terminationAnswer()
		}
	}
}

// terminationAnswer is the answer of a process that must end: what is in, if it is
// enough.
func (c *call) terminationAnswer() *Answer {
	if c.machine.Received() >= c.minParts() {
		return c.answer(gather.Answer)
	}
	return &Answer{Refusal: c.refusal(verdict.ShuttingDown, "the process must end")}
}

// handlePending takes the results that have come meanwhile.
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

// step decides, and sends what was decided.
func (c *call) step(now time.Time) (gather.Outcome, time.Time) {
	for {
		sends, outcome, wake := c.machine.Decide(now)
		if outcome != gather.Pending || len(sends) == 0 {
			return outcome, wake
		}
		c.s.mu.Lock()
		started := make([]*attempt, 0, len(sends))
		for _, send := range sends {
			if a := c.place(now, send); a != nil {
				started = append(started, a)
			}
		}
		c.s.mu.Unlock()
		for _, a := range started {
			a.replica.conns.Send(&a.wire)
		}
	}
}

// cancelAttempts tells the links that nobody waits for the attempts in flight.
func (c *call) cancelAttempts(after time.Duration) {
	for _, a := range c.inFlight {
		a.replica.conns.Cancel(&a.wire, after)
	}
}

// answer turns the end of the machine into what the caller gets.
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

// merge joins the parts that are in.
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

// refusal is the verdict on a call without an answer. It says that the request
// did not run only if that is known of every attempt.
func (c *call) refusal(cause verdict.Cause, detail string) *verdict.Error {
	v := verdict.New(verdict.NotRun, cause, detail)
	if c.worst != nil {
		v = verdict.New(c.worst.Outcome, c.worst.Cause, detail+": "+c.worst.Detail)
	}
	if c.machine.Received() > 0 || len(c.inFlight) > 0 {
		v.Outcome = verdict.MayHaveRun
	}
	return v.After(jitter(retryFailed))
}

// fingerprint tells requests apart that ask for different things.
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
