package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// notReadyRetryAfter is the retry time advised when tables or snapshots are missing
// or coverage is too low.
const notReadyRetryAfter = time.Second

// plan holds the parts of a request and the replicas that can serve each of them.
type plan struct {
	snapshot uint64 // 0 for actions: any snapshot
	parts    []fanout.Part
	replicas [][]*replica // by part
	versions []versions   // by part
}

// versions holds the software versions that may serve a part during a rollout:
// preferred, or any version if that is "", and fallback when no replica of
// preferred can be chosen.
type versions struct{ preferred, fallback string }

// versionsFor returns the versions that may serve a request to a pool. A request
// assigned to the new version may fall back to the old one, but not the reverse.
func versionsFor(c *catalogue, pool *tables.Pool, now time.Time, requestID string) versions {
	preferred := c.state.VersionFor(pool, now, requestID)
	if preferred == "" || preferred == pool.Rollout.From {
		return versions{preferred, preferred}
	}
	return versions{preferred, pool.Rollout.From}
}

// planQuery plans one part for each shard of the pinned snapshot.
func planQuery(c *catalogue, pinned *snapshot.Pinned, now time.Time, requestID string) (*plan, *verdict.Error) {
	if pinned == nil || pinned.Covered == 0 {
		v := verdict.New(verdict.NotRun, verdict.NothingCovered, "no replica is known to hold any snapshot of the route's pools")
		return nil, v.WithRetryAfter(notReadyRetryAfter)
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
			p.replicas = append(p.replicas, c.replicasByID(sh.Replicas))
			p.versions = append(p.versions, v)
		}
	}
	return p, nil
}

// planAction plans a single part. The key selects the shard, so that a repeated
// request goes to the same shard.
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
		replicas: [][]*replica{c.replicasByID(ids)},
		versions: []versions{versionsFor(c, pool, now, requestID)},
	}
}

// replicasByID returns the replicas with the given IDs. Unknown IDs are skipped.
func (c *catalogue) replicasByID(ids []string) []*replica {
	out := make([]*replica, 0, len(ids))
	for _, id := range ids {
		if r := c.replicas[id]; r != nil {
			out = append(out, r)
		}
	}
	return out
}
