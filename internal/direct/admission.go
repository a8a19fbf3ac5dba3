package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/admission"
	"github.com/sapphirewall/sapphirewall/internal/decide/gather"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// admitter decides which requests are begun. Service.mu guards it.
type admitter struct {
	mode  Mode
	judge *admission.Judge
	// rivals has the routes that compete with a route, by its name, for one revision.
	rivals   map[string]rivals
	revision *tablesRevision
	parts    []admission.Part // buffer
}

// rivals is the order of a route among those that share a pool with it.
type rivals struct {
	ranks     []admission.Rank // of the routes with a shared pool, also its own
	strictest time.Duration    // shortest objective of the more urgent ones; 0: there are none
	others    bool             // there are less urgent ones
}

func newAdmitter(mode Mode) admitter {
	return admitter{mode: mode, judge: admission.NewJudge(), rivals: map[string]rivals{}}
}

// rivalsOf returns the routes that compete with a route.
func (a *admitter) rivalsOf(rev *tablesRevision, route *tables.Route) rivals {
	if a.revision != rev {
		a.revision, a.rivals = rev, map[string]rivals{}
	}
	r, ok := a.rivals[route.Name]
	if !ok {
		r = findRivals(rev.tables.Routes, route)
		a.rivals[route.Name] = r
	}
	return r
}

func findRivals(routes map[string]*tables.Route, route *tables.Route) rivals {
	var out rivals
	used := make(map[string]bool, len(route.Pools))
	for _, name := range route.Pools {
		used[name] = true
	}
	for _, other := range routes {
		if !sharesPool(other, used) {
			continue
		}
		rank := admission.Rank{Route: other.Priority}
		out.others = out.others || other.Priority > route.Priority
		out.ranks = append(out.ranks, rank)
		if objective := objectiveOf(other); other.Priority < route.Priority && (out.strictest == 0 || objective < out.strictest) {
			out.strictest = objective
		}
	}
	return out
}

func sharesPool(r *tables.Route, pools map[string]bool) bool {
	for _, name := range r.Pools {
		if pools[name] {
			return true
		}
	}
	return false
}

// admit returns a refusal if a request can't be expected to be served in time with the
// free capacity of its pools, or has to give way to more urgent ones. s.mu is held.
func (s *Service) admit(c *call, now time.Time) *verdict.Error {
	parts, observed := s.admission.parts[:0], false
	for _, name := range c.pools {
		p := s.poolOf(name)
		if p.room == nil {
			parts = append(parts, admission.Part{})
			continue
		}
		observed = true
		parts = append(parts, p.room.Expect(now, len(p.replicas)))
	}
	s.admission.parts = parts
	if !observed {
		return nil
	}
	rank := c.rank()
	r := s.admission.rivalsOf(c.rev, c.route)
	level := rank.Level(r.ranks)
	aim, left := c.answerBy.Sub(now), c.attemptDeadline(gather.First).Sub(now)
	if aim <= 0 { // handed over late, or read late: only the deadline is left
		left = c.deadline.Sub(now)
		aim = left
	}
	ruling := s.admission.judge.Decide(now, &admission.Ask{
		Kind: c.route.Name, Team: c.teamName(), Level: level, Foremost: level == 0 && r.others, Strictest: r.strictest,
		Aim: aim, Left: left, Parts: parts, MinParts: c.minParts(),
	}, s.rng)
	if ruling.Floor {
		s.metrics.add("admission_floor", 1)
	}
	if ruling.Admit {
		return nil
	}
	s.metrics.add("admission_refused", 1)
	return verdict.Newf(verdict.NotRun, verdict.Overload, "the replicas have no room in time: expected wait %d ms, level %d",
		min(ruling.Wait, time.Hour).Milliseconds(), level).WithRetryAfter(ruling.RetryAfter)
}

// rank is the order of the call among those that compete for free capacity. The most urgent
// team has the rank of requests without a team.
func (c *call) rank() admission.Rank {
	r := admission.Rank{Route: c.route.Priority}
	if k := c.s.keys.Load(); k != nil && c.team != nil && c.team.HasPriority {
		r.Team = max(0, c.team.Priority-k.most)
	}
	return r
}

// teamName is the name of the call's team; "": none.
func (c *call) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// observeRoom records what the end of an attempt shows of the free capacity of its pool.
// s.mu is held.
func (s *Service) observeRoom(now time.Time, a *attempt) {
	w, p, id := &a.wire, s.poolOf(a.call.pools[a.part]), a.replica.status.ID
	if s.admission.mode == Off || w.Reply != nil && w.Reply.Misdirected {
		return
	}
	if p.room == nil {
		if s.admission.mode != On && (w.Reply == nil || !w.Reply.HasLoad || w.Reply.Load.Pace == 0) {
			return
		}
		p.room = admission.NewRoom()
	}
	switch {
	case w.Reply != nil && w.Reply.HasLoad:
		took := time.Duration(0)
		if w.Reply.OK() {
			took = now.Sub(w.AssignedAt)
		}
		l := w.Reply.Load
		p.room.Report(now, id, admission.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace}, took)
	case w.Reply != nil && w.Reply.NotRun:
		p.room.Rejected(now, id)
	case w.Err != nil && w.Err.Cause == verdict.ConnectionSilent:
		p.room.Silent(now, id)
	}
}
