package admission

import (
	"slices"
	"time"
)

// The constants of the limits.
const (
	startLimit = 64
	minLimit   = 2
	// share of the time given that a request may take on average before the
	// route's limit falls, and the same for urgent routes.
	share       = 0.33
	urgentShare = 0.5
	// tolerance is how many times its best average a request may take on
	// average, however little time is given.
	tolerance = 2.5
	// fall is the factor of the limit at one fall, and fallPause the least time
	// between two falls, in which the last one takes effect.
	fall      = 0.9
	fallPause = 100 * time.Millisecond
	// averageShift makes each request count 1/32 in the moving averages.
	averageShift = 5
	// bestLife is the time in which the best average moves to a lasting worse
	// one.
	bestLife = time.Minute
	// maxWaiting bounds the requests that wait, as a multiple of the limit.
	maxWaiting = 2
	// minRetry and maxRetry bound the advice of a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Request is what admission needs to know of a request.
type Request struct {
	ID       uint64 // unique among the requests in hand
	Route    string
	Urgent   bool
	Deadline time.Time
}

// Decision says what becomes of a request.
type Decision struct {
	RequestID  uint64
	Admit      bool
	Wait       bool          // a later decision follows under the ticket
	RetryAfter time.Duration // when refused
}

// Controller decides for one process. It is not safe for concurrent use. The
// cost of a decision is linear in the number of routes with waiting requests.
type Controller struct {
	max      int // requests in hand of all routes
	inFlight int
	routes   map[string]*route
	turns    []*route // routes with waiting requests, next one first
}

// route is what is learned of one route and who waits for it.
type route struct {
	urgent   bool
	limit    float64
	inFlight int
	given    time.Duration // moving average of the time that callers give
	took     time.Duration // moving average of the time that requests take
	best     time.Duration // least took, with drift
	learned  int           // requests learned from, up to 1<<averageShift
	seen     time.Time     // when took was last moved
	fallAt   time.Time     // no fall before
	queue    []Request
}

// New returns a controller that never takes more than most in hand.
func New(most int) *Controller {
	return &Controller{max: most, routes: map[string]*route{}}
}

// InFlight returns the number of requests in hand.
func (c *Controller) InFlight() int { return c.inFlight }

// Offer decides on a new request.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	rt := c.route(r.Route)
	rt.urgent = r.Urgent
	rt.given += (r.Deadline.Sub(now) - rt.given) >> averageShift
	if len(rt.queue) == 0 && c.hasRoom(rt) {
		c.admit(rt)
		return Decision{RequestID: r.ID, Admit: true}
	}
	wait := rt.expectedWait()
	if len(rt.queue) >= maxWaiting*int(rt.limit) || now.Add(wait+rt.took).After(r.Deadline) {
		return Decision{RequestID: r.ID, RetryAfter: advice(wait)}
	}
	if len(rt.queue) == 0 {
		c.turns = append(c.turns, rt)
	}
	rt.queue = append(rt.queue, r)
	return Decision{RequestID: r.ID, Wait: true}
}

func (c *Controller) hasRoom(rt *route) bool {
	return c.inFlight < c.max && rt.inFlight < int(rt.limit)
}

func (c *Controller) admit(rt *route) {
	c.inFlight++
	rt.inFlight++
}

// expectedWait is the time until a request that comes now has its turn.
func (rt *route) expectedWait() time.Duration {
	return time.Duration(float64(rt.took) * float64(len(rt.queue)+1) / rt.limit)
}

func advice(wait time.Duration) time.Duration { return max(minRetry, min(wait, maxRetry)) }

// Done takes in that a request of a route has ended after took, and returns
// the decisions on those that waited. Only requests that were served teach the
// controller.
func (c *Controller) Done(now time.Time, routeName string, took time.Duration, served bool) []Decision {
	rt := c.route(routeName)
	c.inFlight--
	rt.inFlight--
	if served {
		rt.learn(now, took)
	}
	return c.advance(now)
}

// advance lets in those whose turn has come, and refuses those that can't be
// answered in time any more.
func (c *Controller) advance(now time.Time) []Decision {
	var out []Decision
	for {
		rt := c.nextTurn()
		if rt == nil {
			return out
		}
		r := c.take(rt)
		if now.Add(rt.took).After(r.Deadline) {
			out = append(out, Decision{RequestID: r.ID, RetryAfter: advice(rt.expectedWait())})
			continue
		}
		c.admit(rt)
		out = append(out, Decision{RequestID: r.ID, Admit: true})
	}
}

// nextTurn returns the route that may let a request in next: the first urgent
// one with room, else the first one with room, or nil.
func (c *Controller) nextTurn() *route {
	var next *route
	for _, rt := range c.turns {
		switch {
		case !c.hasRoom(rt):
		case rt.urgent:
			return rt
		case next == nil:
			next = rt
		}
	}
	return next
}

// take removes the oldest waiting request of a route and moves the route to
// the end of the turns.
func (c *Controller) take(rt *route) Request {
	r := rt.queue[0]
	rt.queue = rt.queue[1:]
	c.endTurn(rt)
	if len(rt.queue) > 0 {
		c.turns = append(c.turns, rt)
	}
	return r
}

func (c *Controller) endTurn(rt *route) {
	c.turns = slices.DeleteFunc(c.turns, func(t *route) bool { return t == rt })
}

// CancelWait removes a request that waits no longer, and reports whether it still
// waited.
func (c *Controller) CancelWait(r Request) bool {
	rt := c.route(r.Route)
	i := slices.IndexFunc(rt.queue, func(q Request) bool { return q.ID == r.ID })
	if i < 0 {
		return false
	}
	rt.queue = slices.Delete(rt.queue, i, i+1)
	if len(rt.queue) == 0 {
		c.endTurn(rt)
	}
	return true
}

// learn takes in how long a served request took, and moves the limit.
func (rt *route) learn(now time.Time, took time.Duration) {
	if rt.learned == 0 {
		rt.took, rt.seen = took, now
	}
	rt.took += (took - rt.took) >> averageShift
	if rt.learned < 1<<averageShift {
		rt.learned++
		rt.best = rt.took
		return
	}
	drift := min(1, float64(now.Sub(rt.seen))/float64(bestLife))
	rt.best = min(rt.best+time.Duration(drift*float64(rt.took-rt.best)), rt.took)
	rt.seen = now
	switch {
	case rt.took > rt.target():
		if !now.Before(rt.fallAt) {
			rt.limit = max(minLimit, rt.limit*fall)
			rt.fallAt = now.Add(fallPause)
		}
	case float64(rt.inFlight+1) >= rt.limit/2:
		rt.limit += 1 / rt.limit
	}
}

// target is the average time above which the limit falls.
func (rt *route) target() time.Duration {
	s := share
	if rt.urgent {
		s = urgentShare
	}
	return max(time.Duration(s*float64(rt.given)), time.Duration(tolerance*float64(rt.best)))
}

func (c *Controller) route(name string) *route {
	rt := c.routes[name]
	if rt == nil {
		rt = &route{limit: startLimit}
		c.routes[name] = rt
	}
	return rt
}
