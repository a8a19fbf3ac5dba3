package entry

import (
	"maps"
	"sync"

	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// holding is what an owner last told of the snapshots of a replica.
type holding struct {
	closed bool // takes no new work
	held   []snapshot.HeldShard
}

// takesNoWork reports whether a replica in a state receives no new work until
// its owner tells another state.
func takesNoWork(s swpb.ReplicaState) bool {
	return s == swpb.ReplicaState_REPLICA_STATE_DOWN || s == swpb.ReplicaState_REPLICA_STATE_DRAINING
}

// poolHoldings is what the replicas of one pool hold, by replica id.
type poolHoldings map[string]holding

// holdings collects what all owners tell. It is safe for concurrent use.
type holdings struct {
	changed chan struct{}

	mu     sync.Mutex // guards the fields below
	byPool map[string]poolHoldings
	dirty  map[string]bool // pools changed since the last take
}

func newHoldings() *holdings {
	return &holdings{changed: make(chan struct{}, 1), byPool: map[string]poolHoldings{}, dirty: map[string]bool{}}
}

// take returns copies of the pools that changed since the last take, or of all
// pools.
func (h *holdings) take(all bool) map[string]poolHoldings {
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

// of returns what the replicas of one pool hold.
func (h *holdings) of(pool string) poolHoldings {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.byPool[pool])
}

// put takes in an owner's view.
func (h *holdings) put(views []*swpb.ReplicaView) {
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
		pool[v.GetReplica()] = holding{closed: takesNoWork(v.GetState()), held: held}
		h.dirty[v.GetPool()] = true
	}
	h.signal()
}

// forget drops a snapshot that a replica turned out not to hold, until its
// owner tells anew.
func (h *holdings) forget(pool, replica string, id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, ok := h.byPool[pool][replica]
	if !ok {
		return
	}
	kept := make([]snapshot.HeldShard, 0, len(old.held))
	for _, s := range old.held {
		if s.Snapshot != id {
			kept = append(kept, s)
		}
	}
	if len(kept) == len(old.held) {
		return
	}
	old.held = kept
	h.byPool[pool][replica] = old
	h.dirty[pool] = true
	h.signal()
}

func (h *holdings) signal() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}
