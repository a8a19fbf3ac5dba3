package direct

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// handOver returns how another VM may serve the call, or nil if none may. Attempts in
// flight count as executed: a cut may be one-way, and only the answers lost.
func (c *call) handOver() *HandOver {
	c.s.mu.Lock()
	cut := c.s.reach.Cuts().All
	c.s.mu.Unlock()
	if !cut || !c.route.Idempotent || c.machine.Received() >= c.minParts() || c.attemptsLeft() < 1 {
		return nil
	}
	return c.newHandOver(c.refusal(verdict.NoReplica, "the VM is cut off from the replicas"))
}

// attemptsLeft is the number of replicas that may still execute a part.
func (c *call) attemptsLeft() int { return c.maxAttempts - c.machine.MaxExecutions() }

// newHandOver hands the call over, with the refusal for the case that no VM takes it.
func (c *call) newHandOver(refusal *verdict.Error) *HandOver {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	counted := c.counted
	c.counted = true // the other VM counts what begins from now on
	return &HandOver{MaxAttempts: c.attemptsLeft(), Counted: counted, Refusal: refusal}
}

// unconnectedDetail is the detail of refusals for want of a connection.
const unconnectedDetail = "no connection to a replica is free, and none can be opened"

// handOverUnsent returns how another VM may serve a call of which nothing was sent yet, or
// nil if each part can be sent from here.
func (c *call) handOverUnsent() *HandOver {
	if !c.req.MayHandOver || c.connected(time.Now()) {
		return nil
	}
	h := c.newHandOver(c.refusal(verdict.ConnectFailed, unconnectedDetail))
	h.Unconnected = true
	return h
}

// handOverUnconnected returns how another VM may serve a call that has failed here because
// a part got no connection, or nil if that is not why, or what was sent may not run again.
func (c *call) handOverUnconnected(o gather.Outcome) *HandOver {
	if o != gather.Failed || !c.req.MayHandOver || !c.unconnected || c.attemptsLeft() < 1 {
		return nil
	}
	refusal := c.refusal(verdict.ConnectFailed, unconnectedDetail)
	if refusal.Outcome != verdict.NotRun && (!c.route.Idempotent || c.failedReply != nil) {
		return nil
	}
	h := c.newHandOver(refusal)
	h.Unconnected = true
	return h
}

// connected reports whether each part of the call can be sent now, as far as connections
// are concerned.
func (c *call) connected(now time.Time) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	degraded := c.s.reach.Cuts().Degraded
	for _, name := range c.pools {
		if degraded[name] && !c.hasAccess(now, c.s.poolOf(name)) {
			return false
		}
	}
	return true
}

// hasAccess reports whether some replica of a pool can be sent a part now. s.mu is held.
func (c *call) hasAccess(now time.Time, p *pool) bool {
	for _, r := range p.replicas {
		if c.s.eligible(c, r) && c.access(now, r) == reach.Ready {
			return true
		}
	}
	return false
}

// access is how soon the call can be sent to a replica. s.mu is held.
func (c *call) access(now time.Time, r *replica) reach.Access {
	return r.conns.Way().Access(c.typical, c.deadline.Sub(now))
}

// neededAccess is the access that a replica of a degraded pool needs to be sent a part.
func (c *call) neededAccess() reach.Access {
	if c.req.MayHandOver {
		return reach.Ready
	}
	return reach.Unreachable
}

// Need is what a request needs of the replicas.
type Need struct {
	Pools    []string
	MinParts int           // the fewest pools that make an answer
	Deadline time.Duration // of the route

	Teams   bool                     // the tables have teams
	Team    string                   // that the request runs for; "": none
	Allowed func(region string) bool // regions of VMs that the request's body may go to; nil: all
	Refusal *verdict.Error           // the caller's key can't be accepted; nil: it can
}

// Missing returns how many of the pools are cut off.
func (n *Need) Missing(isCut func(pool string) bool) int {
	missing := 0
	for _, pool := range n.Pools {
		if isCut(pool) {
			missing++
		}
	}
	return missing
}

// ServableWithout reports whether a request can be served without the pools that are
// cut off.
func (n *Need) ServableWithout(isCut func(pool string) bool) bool {
	return len(n.Pools)-n.Missing(isCut) >= n.MinParts
}

// NeedOf returns what a request needs; ok is false if it has no route. A request that goes
// to one of several pools, by their weights, needs all of them.
func (s *Service) NeedOf(req *Request) (need Need, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce == nil {
		return Need{}, false
	}
	route := s.inForce.index.Find(req.Host, req.Path)
	if route == nil {
		return Need{}, false
	}
	need = Need{Pools: route.Pools, MinParts: len(route.Pools), Deadline: route.Deadline}
	if route.Kind == tables.Query {
		need.MinParts = minParts(route, len(route.Pools))
	}
	team, refusal := s.authorize(req, route.Public)
	need.Teams, need.Refusal, need.Allowed = s.keys.Load() != nil, refusal, regionsOf(route, team)
	if team != nil {
		need.Team = team.Name
	}
	return need, true
}

// Priority returns the priority of a request, that of its team or else of its route, and
// the least priority value of all teams and routes, which is the most urgent.
func (s *Service) Priority(req *Request) (priority, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce == nil {
		return 0, 0
	}
	route := s.inForce.index.Find(req.Host, req.Path)
	if route == nil {
		return 0, 0
	}
	most = route.Priority
	for _, r := range s.inForce.tables.Routes {
		most = min(most, r.Priority)
	}
	if k := s.keys.Load(); k != nil {
		most = min(most, k.most)
	}
	team, _ := s.authorize(req, true)
	return priorityOf(route, team), most
}

// maxProbes bounds the connections that are opened at a time when one of the replicas can
// be reached again.
const maxProbes = 16

// ProbeCut opens a connection to one of the replicas that the VM seems to be cut off from,
// or can open no connection to, chosen at random. If that succeeds, it tries more of the
// latter, so that no replica gets all requests because it was the first to be reached. It
// returns when all have succeeded or failed.
func (s *Service) ProbeCut(ctx context.Context) {
	lost, refused := s.unreachable()
	if all := slices.Concat(lost, refused); len(all) == 0 || !s.probe(ctx, all[0]) {
		return
	}
	var wg sync.WaitGroup
	for _, r := range refused[:min(maxProbes, len(refused))] {
		wg.Go(func() { s.probe(ctx, r) })
	}
	wg.Wait()
}

// probe opens a connection to a replica and reports whether that has succeeded.
func (s *Service) probe(ctx context.Context, r *replica) bool {
	err := r.conns.Probe(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.add("reach_probes", 1)
	if err != nil {
		s.log.Info("reach").Err(err).Str("upstream", r.status.ID).Msg("replica still can't be reached")
		return false
	}
	r.path.Heard(time.Now())
	s.log.Info("reach").Str("upstream", r.status.ID).Str("pool", r.status.Pool).Msg("replica can be reached again")
	return true
}

// unreachable returns, each in random order, the replicas that the VM seems to be cut off
// from, and those of other pools to which it can open no connection.
func (s *Service) unreachable() (lost, refused []*replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cuts := s.reach.Cuts()
	for _, r := range s.replicas {
		switch {
		case s.zonesOutOfService[r.status.Zone]:
		case cuts.Has(r.status.Pool):
			lost = append(lost, r)
		case cuts.Degraded[r.status.Pool] && !r.conns.Way().RefusedAt.IsZero():
			refused = append(refused, r)
		}
	}
	for _, list := range [][]*replica{lost, refused} {
		s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return lost, refused
}
