package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// notReadyRetry is the advice of refusals for want of tables or snapshots.
const notReadyRetry = time.Second

// plan says which parts a request has and which replicas can serve each.
type plan struct {
	snapshot uint64 // 0: any, for actions
	parts    []fanout.Part
	replicas [][]*replica // by part
	versions []versions   // by part
}

// versions says which software versions of a rollout may serve a part: first
// those of first, "" being any, and when none is left those of next.
type versions struct{ first, next string }

// versionsFor returns the versions that a request to a pool must go to. What
// is meant for the new version may end at the old one, never the other way.
func versionsFor(c *catalogue, pool *tables.Pool, now time.Time, requestID string) versions {
	first := c.state.VersionFor(pool, now, requestID)
	if first == "" || first == pool.Rollout.From {
		return versions{first, first}
	}
	return versions{first, pool.Rollout.From}
}

// planQuery makes a part of every shard of the pinned snapshot.
func planQuery(c *catalogue, pinned *snapshot.Pinned, now time.Time, requestID string) (*plan, *verdict.Error) {
	if pinned == nil || pinned.Covered == 0 {
		v := verdict.New(verdict.NotRun, verdict.NothingCovered, "no replica is known to hold any snapshot of the route's pools")
		return nil, v.WithRetryAfter(notReadyRetry)
	}
	p := &plan{
		snapshot: pinned.Snapshot,
		parts:    make([]fanout.Part, 0, pinned.Total),
		replicas: make([][]*replica, 0, pinned.Total),
		versions: make([]versions, 0, pinned.Total),
	}
	for _, m := range pinned.Maps {
		v := versionsFor(c, c.state.Tables.Pools[m.Pool], now, requestID)
		for i := range m.Shards {
			sh := &m.Shards[i]
			p.parts = append(p.parts, fanout.Part{Pool: m.Pool, Shard: sh.Index, Lo: sh.Lo, Hi: sh.Hi})
			p.replicas = append(p.replicas, c.find(sh.Replicas))
			p.versions = append(p.versions, v)
		}
	}
	return p, nil
}

// planAction makes one part. The key chooses the shard, so that a request sent
// again goes to the same one.
func planAction(c *catalogue, r *tables.Route, key string, now time.Time, requestID string) *plan {
	pool := c.state.Tables.Pools[r.Pools[0]]
	shard := int(xxhash.Sum64String(key) % uint64(max(pool.Shards, 1)))
	var ids []string
	for i := range pool.Upstreams {
		u := &pool.Upstreams[i]
		if u.Shard == shard && isEligible(c.state, pool.Name, u) {
			ids = append(ids, u.ID)
		}
	}
	return &plan{
		parts:    []fanout.Part{{Pool: pool.Name, Shard: uint32(shard)}},
		replicas: [][]*replica{c.find(ids)},
		versions: []versions{versionsFor(c, pool, now, requestID)},
	}
}

// find returns the replicas of ids.
func (c *catalogue) find(ids []string) []*replica {
	out := make([]*replica, 0, len(ids))
	for _, id := range ids {
		if r := c.replicas[id]; r != nil {
			out = append(out, r)
		}
	}
	return out
}
