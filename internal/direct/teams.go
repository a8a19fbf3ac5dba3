package direct

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/boottime"
	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/apikey"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// teamKeys is the API keys of the tables in force. It is immutable. Attempts that wait for
// a connection are checked against it under the mutex of a pool, so it is read without s.mu.
type teamKeys struct {
	index *apikey.Index
	most  int // the most urgent priority of all teams
}

// newTeamKeys returns the keys of tables, or nil if they have no teams.
func newTeamKeys(t *tables.Tables) *teamKeys {
	if t.Teams == nil {
		return nil
	}
	k := &teamKeys{index: apikey.NewIndex(t.Teams), most: math.MaxInt}
	for _, team := range t.Teams {
		if team.HasPriority {
			k.most = min(k.most, team.Priority)
		}
	}
	return k
}

// KeysConfirmed records that the tables in force were the latest ones at an instant of
// package boottime, or later.
func (s *Service) KeysConfirmed(asOf time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce == nil {
		return
	}
	s.knowledge.Confirm(asOf)
	until, _ := s.knowledge.UsableUntil(apikey.Bound(s.opts.Revocation))
	s.keysUsableUntil.Store(int64(until))
	if boottime.Now() < until && s.keysOutdated.Swap(false) {
		s.log.Info("keys").Dur("age", boottime.Now()-asOf).Msg("knowledge of API keys is confirmed again")
	}
}

// keysUsable reports whether the knowledge of API keys is new enough to accept one.
func (s *Service) keysUsable() bool {
	return s.opts.Revocation <= 0 || boottime.Now() < time.Duration(s.keysUsableUntil.Load())
}

// authorize returns the team that a request runs for, or why it must not run. The team is
// nil if the tables have no teams, and for a request to a public route without a usable
// key.
func (s *Service) authorize(req *Request, public bool) (*tables.Team, *verdict.Error) {
	k := s.keys.Load()
	if k == nil {
		if req.Team != "" {
			return nil, verdict.New(verdict.NotRun, verdict.NotReady, "the tables in force have no teams yet").WithRetryAfter(jitter(retryNotReady))
		}
		return nil, nil
	}
	team, v := s.teamOf(k, req)
	if v == nil || !public || req.Team != "" {
		return team, v
	}
	return nil, nil
}

// teamOf returns the team of a request's key, or why the key can't be accepted.
func (s *Service) teamOf(k *teamKeys, req *Request) (*tables.Team, *verdict.Error) {
	c := &req.Credential
	if c.Fault != apikey.OK {
		return nil, verdict.New(verdict.NotRun, verdict.Unauthorized, c.Fault.String())
	}
	if !s.keysUsable() {
		s.outdated()
		return nil, verdict.New(verdict.NotRun, verdict.KeysOutdated, "the API keys known to this VM may have been revoked").WithRetryAfter(jitter(retryKeys))
	}
	team := k.index.Find(c.Digest)
	switch {
	case req.HandedOver && (team == nil || req.Team != "" && team.Name != req.Team):
		// The other VM knows the key, so one of the two has newer tables.
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "the VMs know different API keys").WithRetryAfter(jitter(retryNotReady))
	case team == nil:
		return nil, verdict.New(verdict.NotRun, verdict.Unauthorized, "the API key is not known")
	}
	return team, nil
}

// outdated logs the first refusal because of outdated knowledge.
func (s *Service) outdated() {
	if !s.keysOutdated.Swap(true) {
		s.metrics.count("keys_outdated")
		s.log.Warn("keys").Dur("bound", s.opts.Revocation).Msg("knowledge of API keys is too old; requests with keys are refused until it is confirmed")
	}
}

// join makes the call run for a team, or for none.
func (c *call) join(team *tables.Team) {
	c.team, c.wire = team, c.req.Request
	c.withKeys = c.s.keys.Load() != nil
	switch {
	case c.withKeys:
		c.req.PassThrough = nil // it holds the key, whose digest is enough from here on
	case c.req.PassThrough != nil:
		c.wire.Header = c.req.PassThrough
	}
	if team != nil {
		c.wire.Team = team.Name
	}
	c.priority = priorityOf(c.route, team)
	c.counted = c.req.Counted
}

// priorityOf returns the priority of a request: that of its team, or else that of its
// route.
func priorityOf(route *tables.Route, team *tables.Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return route.Priority
}

// refuseKey returns why no further attempt of the call may be sent, or nil: its key was
// revoked, the knowledge of keys has become too old, or teams came into force, whose keys
// must not reach a replica.
func (c *call) refuseKey() *verdict.Error {
	k := c.s.keys.Load()
	switch {
	case k == nil || c.team == nil && c.withKeys:
		return nil // no teams, or a public route
	case c.team == nil:
		return verdict.New(verdict.NotRun, verdict.NotReady, "teams have come into force").WithRetryAfter(jitter(retryNotReady))
	}
	team, v := c.s.teamOf(k, c.req)
	if v == nil && team.Name != c.team.Name {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "the API key belongs to another team now")
	}
	return v
}

// mayUse reports whether the call's request may be sent to a region.
func (c *call) mayUse(region string) bool {
	if len(c.route.Regions) > 0 && !slices.Contains(c.route.Regions, region) {
		return false
	}
	return c.team == nil || len(c.team.Regions) == 0 || slices.Contains(c.team.Regions, region)
}

// begins reports whether the attempt is the first one of a request with a team that is
// known to have begun at a replica. s.mu is held.
func (a *attempt) begins() bool {
	c, reply := a.call, a.wire.Reply
	if c.team == nil || c.counted || reply == nil || reply.NotRun || c.s.opts.Began == nil {
		return false
	}
	c.counted = true
	return true
}

// regionsOf returns the test whether a request's body may be sent to a region; nil: it may
// be sent to all.
func regionsOf(route *tables.Route, team *tables.Team) func(region string) bool {
	if team == nil || len(team.Regions)+len(route.Regions) == 0 {
		return nil
	}
	c := call{route: route, team: team}
	return c.mayUse
}

// HeaderFor returns the header with which a request is handed over: without what names the
// caller's key and team if the tables have teams.
func (n *Need) HeaderFor(req *Request) []connpool.Header {
	if !n.Teams && req.PassThrough != nil {
		return req.PassThrough
	}
	return req.Header
}

// refusesKey reports whether an attempt was ended since its caller's key is no longer
// accepted, which says nothing of the replica.
func refusesKey(err *verdict.Error) bool {
	return err.Outcome == verdict.NotRun && (err.Cause == verdict.Unauthorized || err.Cause == verdict.KeysOutdated || err.Cause == verdict.NotReady)
}

// logTeams logs and counts the teams of new tables. s.mu is held.
func (s *Service) logTeams(t *tables.Tables, k *teamKeys) {
	s.metrics.set("teams", int64(len(t.Teams)))
	if k == nil {
		return
	}
	s.metrics.set("keys_ambiguous", int64(k.index.Ambiguous()))
	line := s.log.Info("tables")
	if k.index.Ambiguous() > 0 {
		line = s.log.Warn("tables")
	}
	line.Uint64("revision", t.Revision).Int("teams", len(t.Teams)).Int("ambiguous_keys", k.index.Ambiguous()).Msg("teams in force")
}
