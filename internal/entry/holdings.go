package entry

import (
	"maps"
	"sync"

	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// holding is what an owner last reported about one replica.
type holding struct {
	unavailable bool // gets no new requests
	shards      []snapshot.HeldShard
}

// isUnavailable reports whether a replica in state s gets no new requests until its
// owner reports another state.
func isUnavailable(s swpb.ReplicaState) bool {
	return s == swpb.ReplicaState_REPLICA_STATE_DOWN || s == swpb.ReplicaState_REPLICA_STATE_DRAINING
}

// poolHoldings holds the holdings of one pool's replicas by replica ID.
type poolHoldings map[string]holding

// holdings records the views of all owners. It is safe for concurrent use.
type holdings struct {
	changed chan struct{}

	mu     sync.Mutex // guards the fields below
	byPool map[string]poolHoldings
	dirty  map[string]bool // pools changed since the last collect
}

func newHoldings() *holdings {
	return &holdings{changed: make(chan struct{}, 1), byPool: map[string]poolHoldings{}, dirty: map[string]bool{}}
}

// collect returns copies of the pools that changed since the last call, or of all
// pools.
func (h *holdings) collect(all bool) map[string]poolHoldings {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]poolHoldings{}
	for name, p := range h.byPool {
		if all || h.dirty[name] {
			out[name] = maps.Clone(p)
		}
	}
	h.dirty = map[string]bool{}
	return out
}

// forPool returns a copy of one pool's holdings.
func (h *holdings) forPool(pool string) poolHoldings {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.byPool[pool])
}

// update records the replicas of an owner's view.
func (h *holdings) update(views []*swpb.ReplicaView) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range views {
		held := make([]snapshot.HeldShard, 0, len(v.GetSnapshots()))
		for _, s := range v.GetSnapshots() {
			held = append(held, snapshot.HeldShard{
				Snapshot: s.GetSnapshot(), Lo: s.GetRange().GetLo(), Hi: s.GetRange().GetHi(),
				Shard: s.GetShard(), ShardCount: s.GetShardCount(),
			})
		}
		pool := h.byPool[v.GetPool()]
		if pool == nil {
			pool = poolHoldings{}
			h.byPool[v.GetPool()] = pool
		}
		pool[v.GetReplica()] = holding{unavailable: isUnavailable(v.GetState()), shards: held}
		h.dirty[v.GetPool()] = true
	}
	h.notifyChanged()
}

// removeSnapshot removes a snapshot that a replica turned out not to hold. It
// stays removed until the owner's next view.
func (h *holdings) removeSnapshot(pool, replica string, id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, ok := h.byPool[pool][replica]
	if !ok {
		return
	}
	kept := make([]snapshot.HeldShard, 0, len(old.shards))
	for _, s := range old.shards {
		if s.Snapshot != id {
			kept = append(kept, s)
		}
	}
	if len(kept) == len(old.shards) {
		return
	}
	old.shards = kept
	h.byPool[pool][replica] = old
	h.dirty[pool] = true
	h.notifyChanged()
}

func (h *holdings) notifyChanged() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}
