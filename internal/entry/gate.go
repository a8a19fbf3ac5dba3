package entry

import (
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/admission"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// overloadRetry is the advice when [entry] max-in-flight requests are in hand.
const overloadRetry = time.Second

// gate lets requests in by admission's decisions. It is safe for concurrent
// use.
type gate struct {
	most    int
	enabled bool

	mu         sync.Mutex // guards the fields below
	inFlight   int
	controller *admission.Controller
	last       uint64 // ticket
	waiting    map[uint64]chan admission.Decision
}

func newGate(s settings.Entry) *gate {
	return &gate{
		most: s.MaxInFlight, enabled: s.Admission,
		controller: admission.New(s.MaxInFlight),
		waiting:    map[uint64]chan admission.Decision{},
	}
}

// enter waits until req may be served, or returns why it is refused.
func (g *gate) enter(req *request) *verdict.Error {
	g.mu.Lock()
	if !g.enabled {
		defer g.mu.Unlock()
		return g.count()
	}
	g.last++
	r := admission.Request{ID: g.last, Route: req.route.Name, Urgent: req.route.Urgent, Deadline: req.deadline}
	d := g.controller.Offer(time.Now(), r)
	var turn chan admission.Decision
	if d.Wait {
		turn = make(chan admission.Decision, 1)
		g.waiting[r.ID] = turn
	}
	g.mu.Unlock()
	if d.Wait {
		d = g.await(r, turn)
	}
	if d.Admit {
		return nil
	}
	v := verdict.New(verdict.NotRun, verdict.Overload, "the request can't be answered in time; too much work is in hand")
	return v.WithRetryAfter(d.RetryAfter)
}

// count lets a request in unless too many are in hand.
func (g *gate) count() *verdict.Error {
	if g.inFlight >= g.most {
		return verdict.New(verdict.NotRun, verdict.Overload, "too many requests are in hand").WithRetryAfter(overloadRetry)
	}
	g.inFlight++
	return nil
}

// await waits for the decision on a request, at most until its deadline.
func (g *gate) await(r admission.Request, turn chan admission.Decision) admission.Decision {
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case d := <-turn:
		return d
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller.CancelWait(r) {
		delete(g.waiting, r.ID)
		return admission.Decision{RetryAfter: overloadRetry}
	}
	return <-turn // decided meanwhile
}

// leave ends a request that was let in. served tells whether the time it took
// says something about the load.
func (g *gate) leave(req *request, took time.Duration, served bool) {
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
