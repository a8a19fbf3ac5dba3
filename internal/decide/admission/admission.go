package admission

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialLimit = 64
	minLimit     = 2
	// budgetShare is the share of the time until the deadline that requests may
	// take on average before the route's limit falls. urgentBudgetShare is the
	// same for the most urgent rank.
	budgetShare       = 0.33
	urgentBudgetShare = 0.5
	// latencyTolerance keeps the limit from falling while the average latency is
	// below this multiple of the baseline, however short the deadlines are.
	latencyTolerance = 2.5
	// decreaseFactor is applied to the limit at each decrease. decreaseInterval
	// is the minimum time between two decreases, so that one takes effect before
	// the next.
	decreaseFactor   = 0.9
	decreaseInterval = 100 * time.Millisecond
	// averageShift gives each request a weight of 1/32 in the moving averages.
	averageShift = 5
	// baselineDrift is the time in which the baseline rises to a latency that
	// stays higher.
	baselineDrift = time.Minute
	// maxQueueFactor bounds a route's waiting requests, as a multiple of its
	// limit.
	maxQueueFactor = 2
)

// Request describes a caller's request.
type Request struct {
	ID       uint64 // unique among the waiting requests and those in flight
	Route    string
	Rank     Rank
	Deadline time.Time
}

// Decision is the outcome for one request, which is refused if neither Admit nor
// Wait is set.
type Decision struct {
	RequestID  uint64
	Admit      bool
	Wait       bool          // a later decision with the same RequestID follows
	RetryAfter time.Duration // delay to advise to the caller of a refused request
}

// Controller admits the requests of one process. It is not safe for concurrent
// use. The cost of a decision is linear in the number of routes with waiting
// requests.
type Controller struct {
	max      int // limit on the requests in flight of all routes
	inFlight int
	routes   map[string]*route
	pending  []*route // routes with waiting requests, in round-robin order
	shares   shares
	returns  returns
	rng      *rand.Rand
}

// route is the limit of one route, the averages that it follows, and the
// requests that wait.
type route struct {
	name         string
	rank         Rank
	limit        float64
	inFlight     int
	avgBudget    time.Duration // moving average of the time until the deadline on arrival
	avgLatency   time.Duration // moving average of the latency of served requests
	baseline     time.Duration // lowest avgLatency; drifts up towards the current one
	samples      int           // latencies observed, at most 1<<averageShift
	updatedAt    time.Time     // last drift of the baseline, at first the first sample
	nextDecrease time.Time     // earliest time of the next decrease of the limit
	queue        []Request     // waiting, oldest first
}

// New returns a controller that admits at most maxInFlight requests at a time. rng draws
// the delays advised with refusals.
func New(maxInFlight int, rng *rand.Rand) *Controller {
	return &Controller{max: maxInFlight, routes: map[string]*route{}, shares: newShares(), rng: rng}
}

// InFlight returns the number of admitted requests that have not ended.
func (c *Controller) InFlight() int { return c.inFlight }

// Offer admits a new request, queues it, or refuses it.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	rt := c.route(r.Route)
	rt.rank = r.Rank
	rt.avgBudget += (r.Deadline.Sub(now) - rt.avgBudget) >> averageShift
	if len(rt.queue) == 0 && c.hasRoom(rt) {
		return c.admit(now, rt, r)
	}
	wait := rt.expectedWait()
	if len(rt.queue) >= maxQueueFactor*int(rt.limit) || now.Add(wait+rt.avgLatency).After(r.Deadline) {
		return c.refuse(now, rt, r)
	}
	if len(rt.queue) == 0 {
		c.pending = append(c.pending, rt)
	}
	rt.queue = append(rt.queue, r)
	return Decision{RequestID: r.ID, Wait: true}
}

func (c *Controller) hasRoom(rt *route) bool {
	return c.inFlight < c.max && rt.inFlight < int(rt.limit)
}

func (c *Controller) admit(now time.Time, rt *route, r Request) Decision {
	c.inFlight++
	rt.inFlight++
	c.shares.count(now, rt.name, true)
	return Decision{RequestID: r.ID, Admit: true}
}

func (c *Controller) refuse(now time.Time, rt *route, r Request) Decision {
	c.shares.count(now, rt.name, false)
	return Decision{RequestID: r.ID, RetryAfter: c.returns.retryAfter(now, rt.expectedWait(), c.rng)}
}

// expectedWait estimates how long a request that arrives now waits before it is
// admitted.
func (rt *route) expectedWait() time.Duration {
	return time.Duration(float64(rt.avgLatency) * float64(len(rt.queue)+1) / rt.limit)
}

// Done records the end of an admitted request after latency, and returns the
// decisions on waiting requests. Only the latency of served requests influences
// the limit.
func (c *Controller) Done(now time.Time, routeName string, latency time.Duration, served bool) []Decision {
	rt := c.route(routeName)
	c.inFlight--
	rt.inFlight--
	if served {
		rt.observe(now, latency)
	}
	return c.dispatch(now)
}

// dispatch admits waiting requests while there is room, and refuses those that
// can no longer be answered before their deadlines.
func (c *Controller) dispatch(now time.Time) []Decision {
	var out []Decision
	for {
		rt := c.nextRoute(now)
		if rt == nil {
			return out
		}
		r := c.dequeue(rt)
		if now.Add(rt.avgLatency).After(r.Deadline) {
			out = append(out, c.refuse(now, rt, r))
			continue
		}
		out = append(out, c.admit(now, rt, r))
	}
}

// nextRoute returns the route whose oldest waiting request is admitted next, or nil: among
// those with room, the first one that gets less than its floor, else the first one of the
// most urgent rank.
func (c *Controller) nextRoute(now time.Time) *route {
	var next *route
	for _, rt := range c.pending {
		switch {
		case !c.hasRoom(rt):
		case c.shares.belowFloor(now, rt.name):
			return rt
		case next == nil || rt.rank.Before(next.rank):
			next = rt
		}
	}
	return next
}

// dequeue removes the oldest waiting request of a route and moves the route to
// the end of the round-robin order.
func (c *Controller) dequeue(rt *route) Request {
	r := rt.queue[0]
	rt.queue = rt.queue[1:]
	c.removePending(rt)
	if len(rt.queue) > 0 {
		c.pending = append(c.pending, rt)
	}
	return r
}

func (c *Controller) removePending(rt *route) {
	c.pending = slices.DeleteFunc(c.pending, func(other *route) bool { return other == rt })
}

// CancelWait removes a waiting request. It returns false if the request was not
// waiting, because a decision on it had already been made.
func (c *Controller) CancelWait(r Request) bool {
	rt := c.route(r.Route)
	i := slices.IndexFunc(rt.queue, func(q Request) bool { return q.ID == r.ID })
	if i < 0 {
		return false
	}
	rt.queue = slices.Delete(rt.queue, i, i+1)
	if len(rt.queue) == 0 {
		c.removePending(rt)
	}
	return true
}

// observe records the latency of a served request and adapts the limit. The
// limit stays until there are enough samples for a baseline.
func (rt *route) observe(now time.Time, latency time.Duration) {
	if rt.samples == 0 {
		rt.avgLatency, rt.updatedAt = latency, now
	}
	rt.avgLatency += (latency - rt.avgLatency) >> averageShift
	if rt.samples < 1<<averageShift {
		rt.samples++
		rt.baseline = rt.avgLatency
		return
	}
	drift := min(1, float64(now.Sub(rt.updatedAt))/float64(baselineDrift))
	rt.baseline = min(rt.baseline+time.Duration(drift*float64(rt.avgLatency-rt.baseline)), rt.avgLatency)
	rt.updatedAt = now
	switch {
	case rt.avgLatency > rt.target():
		if !now.Before(rt.nextDecrease) {
			rt.limit = max(minLimit, rt.limit*decreaseFactor)
			rt.nextDecrease = now.Add(decreaseInterval)
		}
	case float64(rt.inFlight+1) >= rt.limit/2:
		rt.limit += 1 / rt.limit
	}
}

// target is the average latency above which the limit falls.
func (rt *route) target() time.Duration {
	share := budgetShare
	if rt.rank == (Rank{}) {
		share = urgentBudgetShare
	}
	return max(time.Duration(share*float64(rt.avgBudget)), time.Duration(latencyTolerance*float64(rt.baseline)))
}

func (c *Controller) route(name string) *route {
	rt := c.routes[name]
	if rt == nil {
		rt = &route{name: name, limit: initialLimit}
		c.routes[name] = rt
	}
	return rt
}
