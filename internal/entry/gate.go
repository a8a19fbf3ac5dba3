package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/admission"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// overloadRetryAfter is the retry time advised when [entry] max-in-flight requests
// are in flight, or when a request waited for admission until its deadline.
const overloadRetryAfter = time.Second

// gate admits requests by the decisions of an admission.Controller or, with
// admission control disabled, by their number alone. It is safe for concurrent use.
type gate struct {
	maxInFlight int
	enabled     bool

	mu         sync.Mutex // guards the fields below
	inFlight   int
	controller *admission.Controller
	lastID     uint64 // of an admission.Request
	waiting    map[uint64]chan admission.Decision
}

func newGate(s settings.Entry) *gate {
	return &gate{
		maxInFlight: s.MaxInFlight, enabled: s.Admission,
		controller: admission.New(s.MaxInFlight, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waiting:    map[uint64]chan admission.Decision{},
	}
}

// rankOf returns the rank of a route's requests. Tables with this gate name urgent routes
// only.
func rankOf(r *routeRef) admission.Rank {
	if r.Urgent {
		return admission.Rank{}
	}
	return admission.Rank{Route: 1}
}

// admit returns nil once req may be served, or the verdict of its refusal. It may
// wait for the decision.
func (g *gate) admit(req *request) *verdict.Error {
	g.mu.Lock()
	if !g.enabled {
		defer g.mu.Unlock()
		return g.admitByCount()
	}
	g.lastID++
	r := admission.Request{ID: g.lastID, Route: req.route.Name, Rank: rankOf(req.route), Deadline: req.deadline}
	d := g.controller.Offer(time.Now(), r)
	var decided chan admission.Decision
	if d.Wait {
		decided = make(chan admission.Decision, 1)
		g.waiting[r.ID] = decided
	}
	g.mu.Unlock()
	if d.Wait {
		d = g.await(r, decided)
	}
	if d.Admit {
		return nil
	}
	v := verdict.New(verdict.NotRun, verdict.Overload, "the request can't be answered in time; too much work is in hand")
	return v.WithRetryAfter(d.RetryAfter)
}

// admitByCount admits a request unless too many are in flight.
func (g *gate) admitByCount() *verdict.Error {
	if g.inFlight >= g.maxInFlight {
		return verdict.New(verdict.NotRun, verdict.Overload, "too many requests are in hand").WithRetryAfter(overloadRetryAfter)
	}
	g.inFlight++
	return nil
}

// await waits for the decision on a queued request, at most until its deadline.
func (g *gate) await(r admission.Request, decided chan admission.Decision) admission.Decision {
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller.CancelWait(r) {
		delete(g.waiting, r.ID)
		return admission.Decision{RetryAfter: overloadRetryAfter}
	}
	return <-decided // decided after the timer expired
}

// release records the end of an admitted request. served reports whether its
// latency indicates the load.
func (g *gate) release(req *request, took time.Duration, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.enabled {
		g.inFlight--
		return
	}
	for _, d := range g.controller.Done(time.Now(), req.route.Name, took, served) {
		g.waiting[d.RequestID] <- d
		delete(g.waiting, d.RequestID)
	}
}
